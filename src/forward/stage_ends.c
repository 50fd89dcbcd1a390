#include <stdlib.h>

#include "base/clean.h"
#include "base/log.h"
#include "forward/stage_pool_state.h"

/* Weight of a report in the mean load factor of the pool. */
#define LOAD_WEIGHT 0.05

static void
retry_piece(struct stage_pool *p, int64_t now_us, struct job *j,
            struct piece *piece, enum piece_outcome outcome)
{
    if (piece->state != PIECE_STATE_SENT || piece->calls > 0) {
        return; /* it is already queued, or another call may still complete it
                 */
    }
    if (piece->send_count >= MAX_PIECE_SENDS) {
        piece->state = PIECE_STATE_DONE;
        p->stats.failed++;
        stage_pool_send_result(p, now_us, j, piece, outcome);
        return;
    }
    piece->state = PIECE_STATE_WAITING;
    j->waiting_count++;
    p->stats.queued++;
    stage_pool_enqueue(p, j);
}

static void
complete_piece(struct stage_pool *p, int64_t now_us, struct job *j,
               struct piece *piece, struct pool_endpoint *pe,
               struct str handle)
{
    CLEANUP_FREE char *text = stage_pool_copy_str(handle);
    if (piece->handle || piece->state == PIECE_STATE_DONE) {
        pe->used_bytes -= j->result_bytes;
        stage_pool_release_result(p, now_us, pe->endpoint, text,
                                  j->result_bytes);
        return;
    }
    if (piece->state == PIECE_STATE_WAITING) {
        j->waiting_count--;
        p->stats.queued--;
    }
    piece->state = PIECE_STATE_DONE;
    piece->result_endpoint = pe->endpoint;
    piece->handle = g_strdup(text);
    piece->expires_us = now_us + p->limits.result_ttl_us;
    piece->result_expired = false;
    j->next_expiry_us = MIN(j->next_expiry_us, piece->expires_us);
    stage_pool_send_result(p, now_us, j, piece, PIECE_DONE);
}

static void
handle_item_result(struct stage_pool *p, int64_t now_us,
                   const struct pool_call *c, int i,
                   const struct piece_result *res)
{
    struct job *j =
        stage_pool_find_job(p, c->items[i].node, c->items[i].stage_request);
    if (!j) {
        /* The request has ended. */
        if (res->outcome == PIECE_DONE) {
            CLEANUP_FREE char *text = stage_pool_copy_str(res->handle);
            stage_pool_release_result(p, now_us, c->pool_endpoint->endpoint,
                                      text, c->items[i].bytes);
        }
        return;
    }
    struct piece *piece = &j->pieces[c->items[i].piece];
    piece->calls--;
    if (res->outcome == PIECE_DONE) {
        complete_piece(p, now_us, j, piece, c->pool_endpoint, res->handle);
        return;
    }
    c->pool_endpoint->used_bytes -= j->result_bytes;
    LOG_EVENT(LOG_INFO, "piece_failed", LOG_CSTR("request", j->request_id),
              LOG_STR("endpoint", c->pool_endpoint->endpoint->id),
              LOG_INT("stage", j->stage), LOG_INT("piece", piece->number),
              LOG_INT("outcome", res->outcome));
    if (res->outcome == PIECE_NO_MEMORY) {
        piece->send_count--;
    }
    if (res->outcome == PIECE_INPUT_GONE || res->outcome == PIECE_LATE) {
        if (piece->state == PIECE_STATE_SENT) {
            piece->state = PIECE_STATE_DONE;
            stage_pool_send_result(p, now_us, j, piece, res->outcome);
        }
        return;
    }
    retry_piece(p, now_us, j, piece, res->outcome);
}

static void
call_failed(struct stage_pool *p, int64_t now_us, const struct pool_call *c,
            enum call_end end, int status, const struct response_meta *meta)
{
    struct pool_endpoint *pe = c->pool_endpoint;
    bool rejected = end == CALL_END_COMPLETE && meta->not_executed;
    LOG_EVENT(LOG_INFO, "pieces_failed", LOG_STR("endpoint", pe->endpoint->id),
              LOG_INT("end", end), LOG_INT("status", status),
              LOG_INT("rejected", rejected), LOG_INT("count", c->count),
              LOG_INT("ms", (now_us - c->sent_us) / MS));
    if (rejected && !meta->other_instance) {
        p->stats.rejected++;
        pe->last_rejection_us = now_us;
    }
    else {
        /* An endpoint whose call timed out may be silent and go on. */
        endpoint_record_failure(
            pe->endpoint, now_us,
            (end != CALL_END_COMPLETE && end != CALL_END_TIMED_OUT) ||
                meta->other_instance);
    }
    for (int i = 0; i < c->count; i++) {
        struct job *j = stage_pool_find_job(p, c->items[i].node,
                                            c->items[i].stage_request);
        if (!j) {
            continue;
        }
        struct piece *piece = &j->pieces[c->items[i].piece];
        piece->calls--;
        pe->used_bytes -= j->result_bytes;
        if (rejected || end == CALL_END_UNSENT || end == CALL_END_TIMED_OUT) {
            piece->send_count--;
        }
        retry_piece(p, now_us, j, piece, PIECE_ERROR);
    }
}

bool
stage_pool_call_ended(struct stage_pool *p, int64_t now_us, uint64_t call,
                      enum call_end end, int status,
                      const struct response_meta *meta, int count,
                      const struct piece_result *results)
{
    struct pool_call *c = g_hash_table_lookup(p->calls, &call);
    if (!c) {
        return false;
    }
    struct pool_endpoint *pe = c->pool_endpoint;
    g_hash_table_steal(p->calls, &call);
    pe->endpoint->calls_in_flight--;
    pe->busy_until_us = 0;
    if (end == CALL_END_COMPLETE) {
        endpoint_apply_response(pe->endpoint, now_us, meta->leaving,
                                meta->retry_after_us);
        endpoint_apply_load(pe->endpoint, now_us, meta->load_percent);
        if (meta->load_percent > 0) {
            p->mean_load_factor +=
                LOAD_WEIGHT * (endpoint_load_factor(pe->endpoint, now_us) -
                               p->mean_load_factor);
        }
    }
    if (end != CALL_END_COMPLETE || status != 200 || count != c->count) {
        call_failed(p, now_us, c, end, status, meta);
    }
    else {
        endpoint_record_success(pe->endpoint, now_us, 0);
        endpoint_record_duration(pe->endpoint, now_us - c->sent_us,
                                 c->expected_us);
        pe->slowness_updated_us = now_us;
        p->collects_results = true;
        for (int i = 0; i < count; i++) {
            handle_item_result(p, now_us, c, i, &results[i]);
        }
        stage_pool_flush_results(p);
    }
    if (pe->endpoint->calls_in_flight == 0) {
        stage_pool_recount_memory(p, pe);
    }
    for (int i = 0; i < count && end == CALL_END_COMPLETE; i++) {
        if (results[i].outcome == PIECE_NO_MEMORY) {
            stage_pool_handle_no_memory(p, pe, now_us);
            break;
        }
    }
    p->dispatch_needed = true;
    free(c);
    return true;
}
