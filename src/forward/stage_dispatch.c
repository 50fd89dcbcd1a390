#include <stdlib.h>

#include "base/clean.h"
#include "base/log.h"
#include "forward/stage_pool_state.h"

/* A call that takes this many times its expected length is given up. */
#define CALL_PATIENCE 4
#define CALL_SLACK_MS 400
/* Connecting and both ways of a call. */
#define CALL_TRAVEL_US (3 * MS)
/* A rejected call is repeated after this time. */
#define REJECTED_WAIT_US (40 * MS)
/* After this many times its expected length the pieces of a call are also
 * given to another endpoint; endpoints slow down by factors of four or five.
 */
#define HEDGE_FACTOR 2
#define HEDGE_SLACK_US (60 * MS)
/* Jobs of one order without an endpoint that a step looks at; those behind
 * them seldom find one, and a long queue must not take the processor's time.
 */
#define LOOK_JOBS 256
/* Slowness of an endpoint fades by half in this time, so that it is tried
 * again. */
#define SLOW_HALF_US (2 * SECOND)

int64_t
stage_pool_call_us(const struct stage_pool *p, int items)
{
    return p->limits.call_us + items * p->limits.item_us + CALL_TRAVEL_US;
}

double
stage_pool_slowness(const struct maker *m, int64_t now_us)
{
    double over = m->endpoint->slowness - 1;
    double halves = (double)(now_us - m->paced_us) / SLOW_HALF_US;
    return over > 0 ? 1 + over / (1 + halves) : 1;
}

/* Choosing what to send where */

static bool
wants_zone(const struct job *j, const struct maker *m)
{
    return !j->zone[0] || str_eq_c(m->endpoint->zone, j->zone);
}

/* Jobs that hold results are served first, so that their room comes free; then
 * those that can be on time; then late ones. */
enum order { ORDER_STARTED, ORDER_TIMELY, ORDER_LATE, ORDER_COUNT };

static enum order
order_of(const struct job *j, int64_t now_us)
{
    if (j->started) {
        return ORDER_STARTED;
    }
    return now_us > j->target_us ? ORDER_LATE : ORDER_TIMELY;
}

static struct job *
next_job(const struct stage_pool *p, int64_t now_us, const struct job *after,
         enum order order)
{
    struct job *j = after ? TAILQ_NEXT(after, link) : TAILQ_FIRST(&p->jobs);
    for (; j; j = TAILQ_NEXT(j, link)) {
        if (j->waiting > 0 && order_of(j, now_us) == order) {
            return j;
        }
    }
    return NULL;
}

/* Room of all endpoints that is not needed for the other pieces of jobs that
 * have begun. */
static int64_t
room_unreserved(const struct stage_pool *p, int64_t now_us)
{
    int64_t room = 0;
    const struct job *j;
    GHashTableIter it;
    gpointer v;
    if (p->limits.room_bytes <= 0) {
        return INT64_MAX;
    }
    g_hash_table_iter_init(&it, p->makers);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct maker *m = v;
        int64_t left = stage_pool_room_left(p, m, now_us);
        if (m->listed && endpoint_open(m->endpoint, now_us) && left > 0) {
            room += left;
        }
    }
    TAILQ_FOREACH(j, &p->jobs, link)
    {
        if (j->sent_any) {
            room -= j->waiting * j->bytes;
        }
    }
    return room;
}

/* A job that has not begun needs room for all its pieces, since partly made
 * jobs that wait for each other's room would all wait. A job that no pool of
 * this size could hold is let through. */
static bool
may_begin(const struct stage_pool *p, const struct job *j)
{
    if (j->sent_any || p->limits.room_bytes <= 0) {
        return true;
    }
    int64_t all = (int64_t)g_hash_table_size(p->makers) * p->limits.room_bytes;
    int64_t need = j->waiting * j->bytes;
    return need > all / 2 || need <= p->unreserved;
}

static bool
is_free(const struct stage_pool *p, const struct maker *m, int64_t now_us)
{
    return m->listed && endpoint_open(m->endpoint, now_us) &&
           m->endpoint->calls_in_flight < p->limits.slots &&
           now_us >= m->rejected_us + REJECTED_WAIT_US;
}

/* Expected end of a call of this job at the endpoint. */
static double
finish_time(const struct stage_pool *p, const struct maker *m,
            const struct job *j, int64_t now_us, bool busy)
{
    double cost = stage_pool_slowness(m, now_us) *
                      (double)stage_pool_call_us(p, p->limits.batch) +
                  endpoint_failures(m->endpoint, now_us) * SECOND;
    if (busy && m->busy_until_us > now_us) {
        cost += (double)(m->busy_until_us - now_us);
    }
    if (!wants_zone(j, m)) {
        cost += (double)j->zone_us;
    }
    return cost;
}

/* The best endpoint for a job if it is free now; NULL if it is better to
 * wait for a busy one, or none takes work. */
static struct maker *
choose(const struct stage_pool *p, const struct job *j, int64_t now_us)
{
    struct maker *best = NULL;
    double best_cost = 0;
    bool best_free = false;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->makers);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct maker *m = v;
        bool idle = is_free(p, m, now_us);
        bool busy = m->listed && endpoint_open(m->endpoint, now_us) && !idle;
        if (!(idle || busy) ||
            (idle && stage_pool_room_left(p, m, now_us) < j->bytes)) {
            continue;
        }
        double cost = finish_time(p, m, j, now_us, busy);
        if (!best || cost < best_cost) {
            best = m;
            best_cost = cost;
            best_free = idle;
        }
    }
    return best_free ? best : NULL;
}

struct filling {
    struct pool_call *call;
    struct piece_item *items;
    int64_t room;
};

static void
take_pieces(struct stage_pool *p, int64_t now_us, struct job *j,
            struct filling *f)
{
    int64_t need = j->sent_any ? 0 : j->waiting * j->bytes;
    for (int i = 0; i < j->piece_count && f->call->count < p->limits.batch;
         i++) {
        struct piece *piece = &j->pieces[i];
        if (piece->state != WAITING || f->room < j->bytes) {
            continue;
        }
        struct piece_item *it = &f->items[f->call->count];
        it->request_id = str_from(j->request_id);
        it->stage = j->stage;
        it->piece = piece->number;
        it->left_ms = (j->end_us - now_us) / MS;
        it->key = str_from(j->piece_key);
        it->inputs = j->keyed ? NULL : j->inputs;
        it->input_count = j->input_count;
        f->call->items[f->call->count].node = j->key.node;
        f->call->items[f->call->count].ask = j->key.ask;
        f->call->items[f->call->count].piece = i;
        f->call->items[f->call->count].bytes = j->bytes;
        f->call->count++;
        f->room -= j->bytes;
        j->started = j->sent_any = true;
        piece->state = SENT;
        piece->tries++;
        piece->calls++;
        j->waiting--;
        p->stats.queued--;
    }
    if (j->sent_any && p->limits.room_bytes > 0) {
        p->unreserved -= need;
    }
}

static void
start_call(struct stage_pool *p, int64_t now_us, struct maker *m,
           struct job *first)
{
    size_t batch = (size_t)p->limits.batch;
    struct pool_call *c =
        mem_zero(1, sizeof(*c) + batch * sizeof(c->items[0]));
    CLEAN_FREE struct piece_item *items = mem_zero(batch, sizeof(*items));
    int64_t room = stage_pool_room_left(p, m, now_us);
    struct filling f = {c, items, room};
    take_pieces(p, now_us, first, &f);
    for (int order = 0; order < ORDER_COUNT; order++) {
        struct job *j = NULL;
        while (c->count < p->limits.batch &&
               (j = next_job(p, now_us, j, (enum order)order))) {
            /* Others wait for an endpoint in their zone for a time. */
            bool fits = wants_zone(j, m) || now_us - j->asked_us > j->zone_us;
            if (fits && may_begin(p, j)) {
                take_pieces(p, now_us, j, &f);
            }
        }
    }
    c->id = p->io.next_call(p->io.ctx);
    c->maker = m;
    c->sent_us = now_us;
    c->expected_us = stage_pool_call_us(p, c->count);
    m->room_used += room - f.room;
    m->busy_until_us = now_us + (int64_t)(stage_pool_slowness(m, now_us) *
                                          (double)c->expected_us);
    m->endpoint->calls_in_flight++;
    g_hash_table_insert(p->calls, &c->id, c);
    p->stats.calls++;
    p->stats.pieces += (uint64_t)c->count;
    struct pieces_call call = {
        .id = c->id,
        .address = m->endpoint->address,
        .endpoint = m->endpoint->id,
        .timeout_ms = CALL_PATIENCE * c->expected_us / MS + CALL_SLACK_MS,
        .item_count = c->count,
        .items = items};
    p->io.send_pieces(p->io.ctx, &call);
}

static bool
any_free(const struct stage_pool *p, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->makers);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (is_free(p, v, now_us)) {
            return true;
        }
    }
    return false;
}

void
stage_pool_dispatch(struct stage_pool *p, int64_t now_us)
{
    if (!any_free(p, now_us)) {
        return;
    }
    p->unreserved = room_unreserved(p, now_us);
    for (int order = 0; order < ORDER_COUNT; order++) {
        struct job *j = NULL;
        int unplaced = 0;
        while (unplaced < LOOK_JOBS &&
               (j = next_job(p, now_us, j, (enum order)order))) {
            struct maker *m = NULL;
            while (j->waiting > 0 && may_begin(p, j) &&
                   (m = choose(p, j, now_us))) {
                start_call(p, now_us, m, j);
            }
            unplaced += j->waiting > 0;
        }
    }
}

/* Calls that take far longer than expected: their pieces go elsewhere as
 * well. */
void
stage_pool_hedge(struct stage_pool *p, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->calls);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct pool_call *c = v;
        int64_t limit = HEDGE_FACTOR * c->expected_us + HEDGE_SLACK_US;
        if (c->hedged || now_us - c->sent_us < limit) {
            continue;
        }
        c->hedged = true;
        endpoint_pace(c->maker->endpoint, now_us - c->sent_us, c->expected_us);
        c->maker->paced_us = now_us;
        LOG_EVENT(
            LOG_INFO, "pieces_slow", LOG_S("endpoint", c->maker->endpoint->id),
            LOG_I("count", c->count), LOG_I("ms", (now_us - c->sent_us) / MS),
            LOG_I("expected_ms", c->expected_us / MS));
        for (int i = 0; i < c->count; i++) {
            struct job *j =
                stage_pool_find_job(p, c->items[i].node, c->items[i].ask);
            struct piece *piece = j ? &j->pieces[c->items[i].piece] : NULL;
            if (piece && piece->state == SENT && piece->tries < PIECE_TRIES) {
                piece->state = WAITING;
                j->waiting++;
                p->stats.queued++;
                p->dirty = true;
            }
        }
    }
}
