#include "base/log.h"
#include "forward/stage_pool_state.h"

/* Share of an endpoint's room that is filled; sizes are approximate. */
#define ROOM_SHARE 0.9
/* An endpoint that may hold results which this owner does not know is asked
 * for its free room this often. A call takes about as long. */
#define REPORT_GAP_US (200 * MS)
#define REPORT_TIMEOUT_MS 500
/* Reports are in whole megabytes, so they tell little of a smaller room. */
#define REPORT_ROOM_BYTES 8000000
#define REPORT_ROUNDING_BYTES 500000

int64_t
stage_pool_room_known(const struct stage_pool *p, const struct maker *m)
{
    return (int64_t)(ROOM_SHARE * (double)p->limits.room_bytes) -
           m->room_used - m->returning;
}

/* Results that this owner does not know lie there until they expire. */
int64_t
stage_pool_room_left(const struct stage_pool *p, const struct maker *m,
                     int64_t now_us)
{
    if (p->limits.room_bytes <= 0) {
        return INT64_MAX;
    }
    int64_t age = now_us - m->foreign_us;
    int64_t foreign = 0;
    if (m->foreign > 0 && age < p->limits.keep_us) {
        foreign = (int64_t)((double)m->foreign *
                            (1 - (double)age / (double)p->limits.keep_us));
    }
    return stage_pool_room_known(p, m) - foreign;
}

/* Room of results whose jobs are gone is found by counting what is left. */
void
stage_pool_recount_room(struct stage_pool *p, struct maker *m)
{
    const struct job *j;
    m->room_used = 0;
    TAILQ_FOREACH(j, &p->jobs, link)
    {
        for (int i = 0; i < j->piece_count; i++) {
            if (j->pieces[i].handle && j->pieces[i].maker == m->endpoint) {
                m->room_used += j->bytes;
            }
        }
    }
}

void
stage_pool_doubt_room(struct stage_pool *p, struct maker *m, int64_t now_us)
{
    if (p->limits.room_bytes >= REPORT_ROOM_BYTES) {
        m->doubt_until_us = now_us + p->limits.keep_us;
        p->report_us = MIN(p->report_us, now_us);
    }
}

void
stage_pool_no_room(struct stage_pool *p, struct maker *m, int64_t now_us)
{
    m->foreign = stage_pool_room_known(p, m);
    m->foreign_us = now_us;
    stage_pool_doubt_room(p, m, now_us);
}

/* Asks the endpoints in doubt for their free room. */
void
stage_pool_ask_room(struct stage_pool *p, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;
    if (now_us < p->report_us) {
        return;
    }
    p->report_us = INT64_MAX;
    g_hash_table_iter_init(&it, p->makers);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct maker *m = v;
        if (!m->listed || now_us >= m->doubt_until_us) {
            continue;
        }
        p->report_us = now_us + REPORT_GAP_US;
        if (!m->report_call && endpoint_open(m->endpoint, now_us)) {
            struct room_call call = {p->io.next_call(p->io.ctx),
                                     m->endpoint->address, REPORT_TIMEOUT_MS};
            m->report_call = call.id;
            m->used_at_report = m->room_used + m->returning;
            p->io.ask_room(p->io.ctx, &call);
        }
    }
}

bool
stage_pool_room(struct stage_pool *p, int64_t now_us, uint64_t call,
                int64_t free_bytes)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->makers);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct maker *m = v;
        if (m->report_call != call) {
            continue;
        }
        m->report_call = 0;
        if (free_bytes >= 0) {
            int64_t used =
                p->limits.room_bytes - free_bytes - REPORT_ROUNDING_BYTES;
            m->foreign = MAX(used - m->used_at_report, 0);
            m->foreign_us = now_us;
            p->dirty = true;
            LOG_EVENT(LOG_DEBUG, "room_reported",
                      LOG_S("endpoint", m->endpoint->id),
                      LOG_I("free_kb", free_bytes / 1000),
                      LOG_I("foreign_kb", m->foreign / 1000));
        }
        return true;
    }
    return false;
}
