#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "forward/crashes.h"
#include "forward/state.h"
#include "forward/versions.h"

/* Cost of another zone for plain calls: a round trip. */
#define ZONE_PENALTY_US (1 * MS)
/* Cost of another zone than the one of the results: the transfer of their
 * bytes. */
#define RESULT_ZONE_PENALTY_US (250 * MS)
#define ZONE_RESULT_MIN_BYTES 200000
/* Maximum wait for an endpoint; longer waits are refused. */
#define WAIT_FOR_ENDPOINT_US (700 * MS)
/* Minimum Retry-After of a refusal. */
#define RETRY_AFTER_MS 150
/* Minimum time that an endpoint needs. */
#define SEND_MIN_US (10 * MS)
/* Endpoints get slightly less time than the caller waits, to leave time for
 * the response to travel back. */
#define RESPONSE_TRAVEL_US (5 * MS)
#define MAX_INPUTS 512
#define CONNECT_US (3 * MS)
#define FIRST_TOKEN_US (25 * MS)

bool
req_is_repeatable(const struct request *r)
{
    switch (r->route->kind) {
    case REPEAT_IDEMPOTENT:
        return true;
    case REPEAT_AT_MOST_ONCE:
        return false;
    case REPEAT_STREAM:
        return r->route->resumable;
    }
    return false;
}

int64_t
req_caller_leaves_us(const struct request *r)
{
    return r->response_started ? r->deadline_us : r->response_start_by_us;
}

bool
req_is_stream(const struct request *r)
{
    return r->route->kind == REPEAT_STREAM;
}

void
req_detach_call(struct forward *f, struct request *r)
{
    if (!r->call) {
        return;
    }
    map_remove(&f->calls, r->call);
    r->call = 0;
    if (r->state == REQ_RESPONDING && req_is_stream(r) && !r->call_paused) {
        r->endpoint->streams--;
    }
    r->endpoint->in_flight--;
    r->endpoint->prefill_tokens -= r->prefill_tokens;
    r->prefill_tokens = 0;
    r->endpoint = NULL;
    f->dispatch_needed = true;
}

void
req_cancel_call(struct forward *f, struct request *r)
{
    if (r->call) {
        f->io.cancel_call(f->io.ctx, r->call);
        req_detach_call(f, r);
    }
}

static void
remove_waiting(struct request *r)
{
    struct service_state *s = r->service;
    if (r->state != REQ_WAITING) {
        return;
    }
    for (int i = 0; i < s->waiting_count; i++) {
        if (s->waiting[i] == r) {
            for (int k = i + 1; k < s->waiting_count; k++) {
                s->waiting[k - 1] = s->waiting[k];
            }
            s->waiting_count--;
            return;
        }
    }
}

void
req_free(struct forward *f, struct request *r)
{
    int64_t now_us = r->last_activity_us;
    req_cancel_call(f, r);
    remove_waiting(r);
    if (r->repeat_taken_us) {
        repeat_budget_give_back(&r->service->budget, now_us,
                                r->repeat_taken_us);
    }
    pieces_release(f, now_us, r);
    map_remove(&f->requests, r->id);
    for (int i = 0; i < r->route->stage_count; i++) {
        free(r->stages[i].pieces);
    }
    cluster_view_unref(r->cluster_view);
    buf_free(&r->response);
    free(r);
}

struct str
req_format_parts(const struct forward_request *in,
                 char text[REQ_PARTS_TEXT_BYTES])
{
    size_t len = 0;
    for (int i = 0; i < in->part_count; i++) {
        len += (size_t)snprintf(text + len, REQ_PARTS_TEXT_BYTES - len,
                                i > 0 ? ",%" PRIx64 : "%" PRIx64,
                                in->parts[i].id);
    }
    return str_from_bytes(text, len);
}

void
req_log_outcome(const struct request *r, int64_t now_us, const char *event,
                const char *why)
{
    char parts[REQ_PARTS_TEXT_BYTES];
    LOG_EVENT(LOG_INFO, event, LOG_STR("request", r->in.request_id),
              LOG_STR("route", r->route->name), LOG_STR("team", r->team),
              LOG_CSTR("why", why), LOG_INT("status", r->status),
              LOG_INT("ms", (now_us - r->arrived_us) / MS),
              LOG_INT("sent_ms",
                      r->sent_us ? (r->sent_us - r->arrived_us) / MS : -1),
              LOG_INT("first_ms", r->first_byte_us
                                      ? (r->first_byte_us - r->arrived_us) / MS
                                      : -1),
              LOG_INT("sends", r->sends), LOG_INT("unsent", r->unsent),
              LOG_INT("maybe_ran", r->may_have_run),
              LOG_INT("left_ms", (r->deadline_us - now_us) / MS),
              LOG_INT("config", routing_version(r->cluster_view->routing)),
              LOG_STR("parts", req_format_parts(&r->in, parts)));
}

void
req_refuse(struct forward *f, int64_t now_us, struct request *r,
           enum errkind kind, const char *why, int64_t retry_ms)
{
    bool promise = errkind_info(kind)->http_status == 503;
    r->may_have_run |= r->call != 0;
    /* After a send that may have run, no response may claim that the request
     * was not run. */
    if (promise && r->may_have_run) {
        kind = ERRKIND_OUTCOME_UNKNOWN;
        promise = false;
    }
    if (promise) {
        f->counters.refusals++;
        retry_ms = retry_ms > RETRY_AFTER_MS ? retry_ms : RETRY_AFTER_MS;
    }
    else {
        f->counters.failures++;
    }
    r->status = errkind_info(kind)->http_status;
    req_log_outcome(r, now_us, promise ? "refused" : "failed", why);
    if (r->response_started) {
        f->io.abort_response(f->io.ctx, r->id);
    }
    else {
        f->io.refuse(f->io.ctx, r->id, kind, why, promise ? retry_ms : 0);
    }
    r->last_activity_us = now_us;
    req_free(f, r);
}

static void
enqueue_waiting(struct request *r, int64_t at_us)
{
    struct service_state *s = r->service;
    if (r->state != REQ_WAITING) {
        r->state = REQ_WAITING;
        if (s->waiting_count == s->waiting_cap) {
            s->waiting_cap = s->waiting_cap ? s->waiting_cap * 2 : 16;
            s->waiting = mem_realloc(s->waiting, (size_t)s->waiting_cap,
                                     sizeof(struct request *));
        }
        s->waiting[s->waiting_count++] = r;
    }
    if (at_us < s->waiting_retry_us || s->waiting_count == 1) {
        s->waiting_retry_us = at_us;
    }
}

static bool
has_large_results(const struct request *r)
{
    for (int i = 0; i < r->route->stage_count; i++) {
        if (r->stages[i].count > 0 && !r->route->stages[i].feeds_stage &&
            r->route->stages[i].bytes >= ZONE_RESULT_MIN_BYTES) {
            return true;
        }
    }
    return false;
}

/* Zone in which most results of the last stages are stored. */
static struct str
results_zone(const struct forward *f, const struct request *r)
{
    for (int i = 0; i < r->route->stage_count; i++) {
        if (r->route->stages[i].bytes >= ZONE_RESULT_MIN_BYTES &&
            r->stages[i].count > 0) {
            const struct endpoint *e = map_get(
                &f->endpoints, r->stages[i].pieces[0].result_endpoint_hash);
            if (e) {
                return e->zone;
            }
        }
    }
    return f->opts.zone;
}

static void
start_call(struct forward *f, int64_t now_us, struct request *r,
           struct endpoint *e)
{
    struct str inputs[MAX_INPUTS];
    int64_t left = r->deadline_us - now_us;
    r->state = REQ_SENT;
    r->call = ++f->next_call;
    r->endpoint = e;
    r->sent_us = now_us;
    r->last_activity_us = now_us;
    r->head_accepted = false;
    r->call_paused = false;
    r->sends++;
    if (r->repeat_taken_us) {
        repeat_budget_move(&r->service->budget, now_us, r->repeat_taken_us);
        r->repeat_taken_us = 0;
    }
    if (r->tried_count < PLACE_MAX_TRIED) {
        r->tried[r->tried_count++] = e->hash;
    }
    r->expected_first_byte_us = CONNECT_US + (int64_t)e->latency_us;
    if (r->service->info.is_engine) {
        int64_t uncached;
        r->expected_first_byte_us =
            FIRST_TOKEN_US +
            place_prefill_us(e, &r->prompt, now_us, &uncached);
        owners_notify_prefill(f, r, e, uncached);
        r->prefill_tokens = uncached;
        e->prefill_tokens += uncached;
        endpoint_cache_parts(e, r->prompt.chain, r->prompt.tokens,
                             r->prompt.count, now_us);
    }
    e->in_flight++;
    endpoint_record_send(e, forward_node_count(f), now_us);
    map_put(&f->calls, r->call, r);
    f->counters.sends++;
    versions_call_sent(f, r);
    struct forward_call call = {
        .id = r->call,
        .request = r->id,
        .address = e->address,
        .endpoint = e->id,
        .team = r->team,
        .remaining_ms = (left - RESPONSE_TRAVEL_US) / MS,
        .urgency = r->service->info.is_engine ? r->priority : -1,
        .resume_after = r->last_event_id,
        .inputs = inputs,
        .input_count = pieces_result_handles(r, inputs, MAX_INPUTS),
        .fresh_connection = !req_is_repeatable(r),
        .timeout_ms = left / MS + 1};
    if (call.urgency > 9) {
        call.urgency = 9;
    }
    LOG_EVENT(LOG_DEBUG, "sent", LOG_STR("request", r->in.request_id),
              LOG_STR("endpoint", e->id), LOG_INT("send", r->sends));
    f->io.send_call(f->io.ctx, &call);
    response_watch_silence(f, now_us, r);
    if (call.input_count > 0) {
        response_watch_fetch(f, now_us, r);
    }
}

void
req_send_or_wait(struct forward *f, int64_t now_us, struct request *r)
{
    struct place_query query = {
        .prompt = r->service->info.is_engine ? &r->prompt : NULL,
        .zone = f->opts.zone,
        .zone_penalty_us = ZONE_PENALTY_US,
        .nodes = forward_node_count(f),
        .tried_count = r->tried_count};
    int64_t by_us = req_caller_leaves_us(r);
    if (r->preparing) {
        /* Its stages are running again already. */
        r->preparing = false;
        r->state = REQ_RUNNING_STAGES;
        return;
    }
    if (now_us + SEND_MIN_US > by_us) {
        req_refuse(f, now_us, r, ERRKIND_DEADLINE_UNMEETABLE,
                   "no time is left", 0);
        return;
    }
    if (stop_refuses(f, r, now_us)) {
        req_refuse(f, now_us, r, ERRKIND_NOT_READY, STOP_REFUSAL, 0);
        return;
    }
    if (crashes_is_blocked(f, r)) {
        f->counters.part_refusals++;
        req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT, CRASHES_REFUSAL,
                   CRASHES_RETRY_MS);
        return;
    }
    if (pieces_were_released(r)) {
        if (!pieces_restart(f, now_us, r)) {
            req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT,
                       "results of stages were given back", 200);
        }
        return;
    }
    for (int i = 0; i < r->tried_count; i++) {
        query.tried[i] = r->tried[i];
    }
    if (has_large_results(r)) {
        query.zone = results_zone(f, r);
        query.zone_penalty_us = RESULT_ZONE_PENALTY_US;
    }
    struct endpoint *e = versions_select(f, now_us, r, &query);
    if (!e && query.tried_count > 0) {
        /* All other endpoints are unavailable; one that was tried may accept
         * work by now. */
        query.tried_count = r->may_have_run ? query.tried_count : 0;
        e = versions_select(f, now_us, r, &query);
    }
    if (e) {
        remove_waiting(r);
        start_call(f, now_us, r, e);
        return;
    }
    int64_t next =
        place_next_available_us(r->service->endpoints, &query, now_us);
    if (next == INT64_MAX || next - now_us > WAIT_FOR_ENDPOINT_US ||
        next + SEND_MIN_US > by_us) {
        req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT, "no endpoint takes work",
                   next == INT64_MAX ? 500 : (next - now_us) / MS);
        return;
    }
    enqueue_waiting(r, next);
}

void
req_retry_waiting(struct forward *f, int64_t now_us, struct service_state *s)
{
    int count = s->waiting_count;
    struct request **list = s->waiting;
    if (count == 0) {
        return;
    }
    /* Requests that keep waiting are added to a new list. */
    s->waiting = NULL;
    s->waiting_count = 0;
    s->waiting_cap = 0;
    for (int i = 0; i < count; i++) {
        list[i]->state = REQ_RUNNING_STAGES;
        req_send_or_wait(f, now_us, list[i]);
    }
    free(list);
}

uint64_t
req_content_key(const struct forward_request *in, const struct route *route)
{
    uint64_t key = in->content.lo ^ hash64(route->name);
    for (int i = 0; i < in->part_count; i++) {
        uint64_t pair[2] = {key, in->parts[i].id};
        key = hash64(str_from_bytes((const char *)pair, sizeof(pair)));
    }
    return key;
}

/* Logs why a request is not sent again. @return false */
static bool
deny_repeat(struct forward *f, int64_t now_us, struct request *r,
            const char *why)
{
    struct repeat_budget *b = &r->service->budget;
    LOG_EVENT(LOG_INFO, "repeat_denied", LOG_STR("request", r->in.request_id),
              LOG_CSTR("why", why), LOG_INT("sends", r->sends),
              LOG_INT("used", window_sum(&b->repeats, now_us)),
              LOG_INT("requests", window_sum(&b->requests, now_us)),
              LOG_INT("nodes", forward_node_count(f)),
              LOG_INT("left_ms", (r->deadline_us - now_us) / MS));
    return false;
}

bool
req_take_resend(struct forward *f, int64_t now_us, struct request *r)
{
    if (!repeat_budget_take(&r->service->budget, &f->opts.repeats,
                            forward_node_count(f), now_us)) {
        f->counters.repeats_denied++;
        return deny_repeat(f, now_us, r, "the shared limit is reached");
    }
    f->counters.repeats++;
    r->repeat_taken_us = now_us;
    return true;
}

bool
req_take_repeat(struct forward *f, int64_t now_us, struct request *r)
{
    if (!req_is_repeatable(r)) {
        return false;
    }
    if (r->sends >= r->route->max_attempts) {
        return deny_repeat(f, now_us, r, "no attempt is left");
    }
    if (now_us + SEND_MIN_US > req_caller_leaves_us(r)) {
        return deny_repeat(f, now_us, r, "no time is left");
    }
    return req_take_resend(f, now_us, r);
}
