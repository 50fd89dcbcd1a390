#include <stdlib.h>

#include "base/clean.h"
#include "base/log.h"
#include "forward/stage_pool_state.h"

static void
piece_again(struct stage_pool *p, int64_t now_us, struct job *j,
            struct piece *piece, enum piece_outcome outcome)
{
    if (piece->state != SENT || piece->calls > 0) {
        return; /* it waits already, or another call may still make it */
    }
    if (piece->tries >= PIECE_TRIES) {
        piece->state = DONE;
        p->stats.failed++;
        stage_pool_tell_result(p, now_us, j, piece, outcome);
        return;
    }
    piece->state = WAITING;
    j->waiting++;
    p->stats.queued++;
}

static void
piece_done(struct stage_pool *p, int64_t now_us, struct job *j,
           struct piece *piece, struct maker *m, struct str handle)
{
    CLEAN_FREE char *text = stage_pool_copy(handle);
    if (piece->handle || piece->state == DONE) {
        m->room_used -= j->bytes;
        stage_pool_give_back(p, now_us, m->endpoint, text, j->bytes);
        return;
    }
    if (piece->state == WAITING) {
        j->waiting--;
        p->stats.queued--;
    }
    piece->state = DONE;
    piece->maker = m->endpoint;
    piece->handle = g_strdup(text);
    stage_pool_tell_result(p, now_us, j, piece, PIECE_DONE);
}

static void
item_ended(struct stage_pool *p, int64_t now_us, const struct pool_call *c,
           int i, const struct piece_result *res)
{
    struct job *j = stage_pool_find_job(p, c->items[i].node, c->items[i].ask);
    if (!j) {
        /* Its request has ended. */
        if (res->outcome == PIECE_DONE) {
            CLEAN_FREE char *text = stage_pool_copy(res->handle);
            stage_pool_give_back(p, now_us, c->maker->endpoint, text,
                                 c->items[i].bytes);
        }
        return;
    }
    struct piece *piece = &j->pieces[c->items[i].piece];
    piece->calls--;
    if (res->outcome == PIECE_DONE) {
        piece_done(p, now_us, j, piece, c->maker, res->handle);
        return;
    }
    c->maker->room_used -= j->bytes;
    LOG_EVENT(LOG_INFO, "piece_failed", LOG_C("request", j->request_id),
              LOG_S("endpoint", c->maker->endpoint->id),
              LOG_I("stage", j->stage), LOG_I("piece", piece->number),
              LOG_I("outcome", res->outcome));
    if (res->outcome == PIECE_ROOM) {
        piece->tries--;
    }
    if (res->outcome == PIECE_GONE || res->outcome == PIECE_LATE) {
        if (piece->state == SENT) {
            piece->state = DONE;
            stage_pool_tell_result(p, now_us, j, piece, res->outcome);
        }
        return;
    }
    piece_again(p, now_us, j, piece, res->outcome);
}

static void
call_failed(struct stage_pool *p, int64_t now_us, const struct pool_call *c,
            enum call_end end, int status, const struct answer_meta *meta)
{
    struct maker *m = c->maker;
    bool rejected = end == CALL_END_WHOLE && meta->not_executed;
    LOG_EVENT(LOG_INFO, "pieces_failed", LOG_S("endpoint", m->endpoint->id),
              LOG_I("end", end), LOG_I("status", status),
              LOG_I("rejected", rejected), LOG_I("count", c->count),
              LOG_I("ms", (now_us - c->sent_us) / MS));
    if (rejected && !meta->other_instance) {
        p->stats.rejected++;
        m->rejected_us = now_us;
    }
    else {
        endpoint_bad(m->endpoint, now_us,
                     end != CALL_END_WHOLE || meta->other_instance);
    }
    for (int i = 0; i < c->count; i++) {
        struct job *j =
            stage_pool_find_job(p, c->items[i].node, c->items[i].ask);
        if (!j) {
            continue;
        }
        struct piece *piece = &j->pieces[c->items[i].piece];
        piece->calls--;
        m->room_used -= j->bytes;
        if (rejected || end == CALL_END_UNSENT) {
            piece->tries--;
        }
        piece_again(p, now_us, j, piece, PIECE_ERROR);
    }
}

bool
stage_pool_end(struct stage_pool *p, int64_t now_us, uint64_t call,
               enum call_end end, int status, const struct answer_meta *meta,
               int count, const struct piece_result *results)
{
    struct pool_call *c = g_hash_table_lookup(p->calls, &call);
    if (!c) {
        return false;
    }
    struct maker *m = c->maker;
    g_hash_table_steal(p->calls, &call);
    m->endpoint->calls_in_flight--;
    m->busy_until_us = 0;
    if (end != CALL_END_WHOLE || status != 200 || count != c->count) {
        call_failed(p, now_us, c, end, status, meta);
    }
    else {
        endpoint_good(m->endpoint, now_us, 0);
        endpoint_pace(m->endpoint, now_us - c->sent_us, c->expected_us);
        m->paced_us = now_us;
        for (int i = 0; i < count; i++) {
            item_ended(p, now_us, c, i, &results[i]);
        }
    }
    if (m->endpoint->calls_in_flight == 0) {
        stage_pool_recount_room(p, m);
    }
    for (int i = 0; i < count && end == CALL_END_WHOLE; i++) {
        if (results[i].outcome == PIECE_ROOM) {
            stage_pool_no_room(p, m, now_us);
            break;
        }
    }
    p->dirty = true;
    free(c);
    return true;
}
