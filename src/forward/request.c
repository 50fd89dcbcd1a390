#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "forward/crashes.h"
#include "forward/state.h"

/* Maximum number of sends of one request that reached no endpoint or were
 * rejected without being run. */
#define UNSENT_MAX 6
/* An idempotent call without a response for this many times the usual latency
 * is cancelled and sent to another endpoint. */
#define SILENCE_FACTOR 6
#define SILENCE_MIN_US (250 * MS)
/* A resumable stream is resumed at another endpoint after this time without an
 * event. Callers disconnect after two seconds or more. */
#define STREAM_SILENCE_US (1200 * MS)
/* Limits on responses, which are buffered until they are complete, and on
 * incomplete events. The largest ones of real endpoints have a few kilobytes;
 * a node has 260 MB and more. */
#define RESPONSE_MAX_BYTES (4u << 20)
#define EVENT_MAX_BYTES (256u << 10)
/* Limit on all buffered responses together, checked when one is larger than
 * BUFFERED_CHECK_BYTES. */
#define BUFFERED_MAX_BYTES (16u << 20)
#define BUFFERED_CHECK_BYTES (512u << 10)
/* Reading of a stream is paused when its caller's backlog exceeds this. */
#define CALLER_BACKLOG_BYTES (256u << 10)
/* A stream is silent if no event comes for this many of the longest pauses
 * that its route allows, and for STREAM_SILENCE_US. */
#define SILENT_PAUSES 2
/* Time limit before the first event, since a stream may wait behind other
 * prompts. */
#define FIRST_SILENCE_US (2500 * MS)
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
/* An endpoint fetches the stage results before it prefills the prompt. They
 * are released after this time, since other requests wait for their memory.
 * All but one in a thousand calls had fetched them by then. */
#define FETCH_RESULTS_US (100 * MS)
#define CONNECT_US (3 * MS)
#define FIRST_TOKEN_US (25 * MS)
#define STRIKE_EXPIRY_US (120 * SECOND)

static bool
is_repeatable(const struct request *r)
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

static bool
is_stream(const struct request *r)
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
    r->endpoint->in_flight--;
    r->endpoint->prefill_tokens -= r->prefill_tokens;
    r->prefill_tokens = 0;
    r->endpoint = NULL;
    f->dispatch_needed = true;
}

static void
cancel_call(struct forward *f, struct request *r)
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
    cancel_call(f, r);
    remove_waiting(r);
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

static void
log_outcome(const struct request *r, int64_t now_us, const char *event,
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
    log_outcome(r, now_us, promise ? "refused" : "failed", why);
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
        .fresh_connection = !is_repeatable(r),
        .timeout_ms = left / MS + 1};
    if (call.urgency > 9) {
        call.urgency = 9;
    }
    LOG_EVENT(LOG_DEBUG, "sent", LOG_STR("request", r->in.request_id),
              LOG_STR("endpoint", e->id), LOG_INT("send", r->sends));
    f->io.send_call(f->io.ctx, &call);
    if (call.input_count > 0) {
        timers_add(&f->timers, now_us + FETCH_RESULTS_US, TIMER_FETCH_TIMEOUT,
                   r->call);
    }
    if (is_repeatable(r)) {
        int64_t silence = is_stream(r)
                              ? FIRST_SILENCE_US
                              : SILENCE_FACTOR * (int64_t)e->latency_us;
        silence = silence > SILENCE_MIN_US ? silence : SILENCE_MIN_US;
        timers_add(&f->timers, now_us + silence, TIMER_SILENCE, r->call);
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
    if (now_us + SEND_MIN_US > by_us) {
        req_refuse(f, now_us, r, ERRKIND_DEADLINE_UNMEETABLE,
                   "no time is left", 0);
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
    struct endpoint *e = place_select(r->service->endpoints, &query, now_us);
    if (!e && query.tried_count > 0) {
        /* All other endpoints are unavailable; one that was tried may accept
         * work by now. */
        query.tried_count = r->may_have_run ? query.tried_count : 0;
        e = place_select(r->service->endpoints, &query, now_us);
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

/* Strikes of requests that were running when endpoints crashed */

uint64_t
req_strike_key(const struct forward_request *in, const struct route *route)
{
    return in->content.lo ^ hash64(route->name);
}

static void
add_strike(struct forward *f, int64_t now_us, const struct request *r)
{
    uint64_t key = req_strike_key(&r->in, r->route);
    struct strike *s = g_hash_table_lookup(f->strikes, &key);
    if (!s) {
        uint64_t *copy = g_new(uint64_t, 1);
        *copy = key;
        s = g_new0(struct strike, 1);
        g_hash_table_insert(f->strikes, copy, s);
    }
    s->count++;
    s->until_us = now_us + STRIKE_EXPIRY_US;
}

static bool
try_take_repeat(struct forward *f, int64_t now_us, struct request *r)
{
    if (!is_repeatable(r) || r->sends >= r->route->max_attempts) {
        return false;
    }
    if (now_us + SEND_MIN_US > r->deadline_us) {
        return false;
    }
    if (!repeat_budget_take(&r->service->budget, &f->opts.repeats,
                            forward_node_count(f), now_us)) {
        f->counters.repeats_denied++;
        return false;
    }
    f->counters.repeats++;
    return true;
}

/* Handles a call that ended without a usable response. */
static void
handle_broken_call(struct forward *f, int64_t now_us, struct request *r,
                   const char *why)
{
    struct endpoint *e = r->endpoint;
    char parts[REQ_PARTS_TEXT_BYTES];
    LOG_EVENT(LOG_INFO, "call_broken", LOG_STR("request", r->in.request_id),
              LOG_STR("endpoint", e->id), LOG_CSTR("why", why),
              LOG_INT("ms", (now_us - r->sent_us) / MS),
              LOG_INT("last_event", r->last_event_id),
              LOG_INT("head", r->head_accepted),
              LOG_INT("begun", r->state == REQ_RESPONDING),
              LOG_INT("bytes", r->response.len),
              LOG_INT("other_calls", e->in_flight - 1),
              LOG_STR("parts", req_format_parts(&r->in, parts)));
    f->counters.broken++;
    r->may_have_run = true;
    r->trial = false;
    req_detach_call(f, r);
    buf_clear(&r->response);
    if (try_take_repeat(f, now_us, r)) {
        if (r->response_started) {
            f->counters.resumed++;
        }
        req_send_or_wait(f, now_us, r);
        return;
    }
    req_refuse(f, now_us, r, ERRKIND_OUTCOME_UNKNOWN, why, 0);
}

/* Handles a call that the endpoint certainly did not run. */
static void
handle_call_not_run(struct forward *f, int64_t now_us, struct request *r,
                    bool arrived, const char *why)
{
    LOG_EVENT(LOG_INFO, "call_not_run", LOG_STR("request", r->in.request_id),
              LOG_STR("endpoint", r->endpoint->id), LOG_CSTR("why", why),
              LOG_INT("ms", (now_us - r->sent_us) / MS));
    req_detach_call(f, r);
    r->sends--;
    r->unsent++;
    buf_clear(&r->response);
    if (r->unsent < UNSENT_MAX &&
        (!arrived || repeat_budget_take(&r->service->budget, &f->opts.repeats,
                                        forward_node_count(f), now_us))) {
        req_send_or_wait(f, now_us, r);
        return;
    }
    req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT, why, 200);
}

static void
handle_not_executed(struct forward *f, int64_t now_us, struct request *r,
                    int status, const struct response_meta *meta)
{
    struct endpoint *e = r->endpoint;
    f->counters.not_executed++;
    f->io.cancel_call(f->io.ctx, r->call);
    if (meta->other_instance) {
        endpoint_record_failure(e, now_us, true);
        handle_call_not_run(f, now_us, r, false,
                            "another endpoint has the address");
        return;
    }
    if (status == 409) {
        LOG_EVENT(LOG_INFO, "results_gone",
                  LOG_STR("request", r->in.request_id),
                  LOG_STR("endpoint", e->id),
                  LOG_INT("given_back", r->results_released),
                  LOG_INT("ms", (now_us - r->sent_us) / MS));
        req_detach_call(f, r);
        r->sends--;
        if (!pieces_restart(f, now_us, r)) {
            req_refuse(f, now_us, r, ERRKIND_UPSTREAM_FAILED,
                       "results of stages were lost", 200);
        }
        return;
    }
    endpoint_record_failure(e, now_us, false);
    handle_call_not_run(f, now_us, r, true,
                        "the endpoint rejected the request");
}

static bool
is_success_status(int status)
{
    return status >= 200 && status < 300;
}

void
forward_response_head(struct forward *f, int64_t now_us, uint64_t call,
                      int status, const struct response_meta *meta)
{
    struct request *r = map_get(&f->calls, call);
    if (!r) {
        return;
    }
    struct endpoint *e = r->endpoint;
    r->last_activity_us = now_us;
    if (meta->running >= 0) {
        e->reported_running = meta->running;
        e->reported_waiting = meta->waiting;
        e->load_report_us = now_us;
    }
    if (meta->same_request) {
        endpoint_apply_response(e, now_us, meta->leaving,
                                meta->retry_after_us);
    }
    /* A faulty endpoint may write an earlier refusal once more. */
    if (meta->same_request && (meta->not_executed || meta->other_instance)) {
        handle_not_executed(f, now_us, r, status, meta);
        return;
    }
    const char *why = NULL;
    if (!meta->same_request) {
        f->counters.crossed++;
        why = "the answer belongs to another request";
    }
    else if (meta->content_encoded ||
             (is_success_status(status) && !meta->sealed)) {
        why = "the answer is not the endpoint's";
    }
    else if (status >= 500 && is_repeatable(r) && !r->response_started) {
        why = "the endpoint failed";
    }
    if (why && (status < 500 || !meta->sealed || !meta->same_request ||
                meta->content_encoded)) {
        endpoint_record_failure(e, now_us, false);
        f->io.cancel_call(f->io.ctx, r->call);
        handle_broken_call(f, now_us, r, why);
        return;
    }
    if (why && try_take_repeat(f, now_us, r)) {
        endpoint_record_failure(e, now_us, false);
        f->io.cancel_call(f->io.ctx, r->call);
        r->may_have_run = true;
        req_detach_call(f, r);
        req_send_or_wait(f, now_us, r);
        return;
    }
    if (status >= 500) {
        endpoint_record_failure(e, now_us, false);
    }
    else {
        endpoint_record_success(e, now_us, now_us - r->sent_us);
    }
    r->head_accepted = true;
    r->may_have_run = true;
    if (r->response_started) {
        /* A resumed stream keeps the response head of its first endpoint. */
        if (!is_success_status(status)) {
            f->io.cancel_call(f->io.ctx, r->call);
            handle_broken_call(f, now_us, r, "the stream was not resumed");
        }
        return;
    }
    r->status = status;
    r->length = meta->length;
    f->io.save_head(f->io.ctx, r->id);
}

static void
record_first_byte(struct forward *f, int64_t now_us, struct request *r)
{
    hist_add(&f->first_byte, now_us - r->arrived_us);
    r->first_byte_us = now_us;
    if (r->service->info.is_engine) {
        endpoint_record_duration(r->endpoint, now_us - r->sent_us,
                                 r->expected_first_byte_us);
        r->endpoint->prefill_tokens -= r->prefill_tokens;
        r->prefill_tokens = 0;
        pieces_release(f, now_us, r);
    }
}

/* Sends the complete events to the caller. @return false if no event is
 * complete */
static bool
relay_events(struct forward *f, struct request *r)
{
    int64_t id = r->last_event_id;
    size_t whole = stream_complete_bytes(&r->response, &id);
    if (whole == 0) {
        return false;
    }
    if (!r->response_started) {
        r->response_started = true;
        f->io.begin_response(f->io.ctx, r->id, -1);
    }
    size_t backlog = f->io.send_body(f->io.ctx, r->id,
                                     str_from_bytes(r->response.ptr, whole));
    if (backlog > CALLER_BACKLOG_BYTES && !r->call_paused) {
        r->call_paused = true;
        f->io.pause_call(f->io.ctx, r->call, r->id);
    }
    r->last_event_id = id;
    size_t rest = r->response.len - whole;
    for (size_t i = 0; i < rest; i++) {
        r->response.ptr[i] = r->response.ptr[whole + i];
    }
    r->response.len = rest;
    return true;
}

void
forward_caller_caught_up(struct forward *f, int64_t now_us, uint64_t call)
{
    struct request *r = map_get(&f->calls, call);
    if (r) {
        r->call_paused = false;
        r->last_activity_us = now_us;
    }
}

static bool
is_relayed_stream(const struct request *r)
{
    return is_stream(r) && is_success_status(r->status);
}

/* Returns whether the current response exceeds the limits on buffered bytes.
 */
static bool
exceeds_buffer_limit(const struct forward *f, const struct request *r)
{
    size_t limit = is_relayed_stream(r) ? EVENT_MAX_BYTES : RESPONSE_MAX_BYTES;
    size_t sum = 0;
    size_t at = 0;
    const struct request *other;
    if (r->response.len > limit || r->response.len < BUFFERED_CHECK_BYTES) {
        return r->response.len > limit;
    }
    while ((other = map_next(&f->requests, &at))) {
        sum += other->response.len;
    }
    return sum > BUFFERED_MAX_BYTES;
}

/* Handles the first byte of a plain response, or the first event of a stream.
 */
static void
handle_response_start(struct forward *f, int64_t now_us, struct request *r)
{
    r->state = REQ_RESPONDING;
    record_first_byte(f, now_us, r);
    if (is_success_status(r->status)) {
        crashes_response_started(f, now_us, r);
    }
    if (is_stream(r) && is_repeatable(r)) {
        timers_add(&f->timers, now_us + STREAM_SILENCE_US, TIMER_SILENCE,
                   r->call);
    }
}

static void
cancel_too_long(struct forward *f, int64_t now_us, struct request *r)
{
    f->counters.too_long++;
    endpoint_record_failure(r->endpoint, now_us, false);
    f->io.cancel_call(f->io.ctx, r->call);
    handle_broken_call(f, now_us, r, "the answer is too long");
}

void
forward_response_body(struct forward *f, int64_t now_us, uint64_t call,
                      struct str bytes)
{
    struct request *r = map_get(&f->calls, call);
    if (!r || !r->head_accepted) {
        return;
    }
    buf_append_str(&r->response, bytes);
    if (is_relayed_stream(r) && !relay_events(f, r)) {
        if (exceeds_buffer_limit(f, r)) {
            cancel_too_long(f, now_us, r);
        }
        return;
    }
    r->last_activity_us = now_us;
    if (r->state == REQ_SENT) {
        handle_response_start(f, now_us, r);
    }
    if (exceeds_buffer_limit(f, r)) {
        cancel_too_long(f, now_us, r);
    }
}

static void
finish_request(struct forward *f, int64_t now_us, struct request *r)
{
    if (!r->response_started) {
        f->io.begin_response(f->io.ctx, r->id, (int64_t)r->response.len);
        f->io.send_body(f->io.ctx, r->id, buf_str(&r->response));
    }
    f->io.finish_response(f->io.ctx, r->id);
    f->counters.answers++;
    uint64_t key = req_strike_key(&r->in, r->route);
    g_hash_table_remove(f->strikes, &key);
    hist_add(&f->latency, now_us - r->arrived_us);
    log_outcome(r, now_us, "answered", "whole");
    req_free(f, r);
}

/* Returns whether a response whose end was received is whole. A response
 * without a length ends with its connection, so a stream must end after a
 * complete event. It may have none only if it resumes an earlier one. */
static bool
is_whole_response(const struct request *r)
{
    if (!r->head_accepted || !is_relayed_stream(r)) {
        return r->head_accepted;
    }
    return r->response.len == 0 &&
           (r->state == REQ_RESPONDING || r->last_event_id >= 0);
}

void
forward_call_ended(struct forward *f, int64_t now_us, uint64_t call,
                   enum call_end end)
{
    struct request *r = map_get(&f->calls, call);
    if (!r) {
        return;
    }
    struct endpoint *e = r->endpoint;
    r->last_activity_us = now_us;
    switch (end) {
    case CALL_END_UNSENT:
        f->counters.unsent++;
        endpoint_record_failure(e, now_us, true);
        handle_call_not_run(f, now_us, r, false,
                            "no connection to the endpoint");
        return;
    case CALL_END_BROKEN:
        endpoint_record_failure(e, now_us, false);
        if (now_us < r->deadline_us && (!r->head_accepted || is_stream(r))) {
            add_strike(f, now_us, r);
        }
        crashes_call_broken(f, now_us, r);
        handle_broken_call(f, now_us, r,
                           "the connection to the endpoint broke");
        return;
    case CALL_END_MALFORMED:
        endpoint_record_failure(e, now_us, false);
        handle_broken_call(f, now_us, r,
                           "what the endpoint sent is no answer");
        return;
    case CALL_END_COMPLETE:
        break;
    }
    if (!is_whole_response(r)) {
        crashes_call_broken(f, now_us, r);
        handle_broken_call(f, now_us, r, "the answer is not whole");
        return;
    }
    req_detach_call(f, r);
    finish_request(f, now_us, r);
}

void
req_handle_silence(struct forward *f, int64_t now_us, uint64_t call)
{
    struct request *r = map_get(&f->calls, call);
    if (!r) {
        return;
    }
    bool stream = is_stream(r);
    int64_t limit = r->state == REQ_RESPONDING
                        ? MAX(STREAM_SILENCE_US,
                              SILENT_PAUSES * r->route->max_event_gap_us)
                    : stream ? FIRST_SILENCE_US
                             : SILENCE_MIN_US;
    int64_t due = r->last_activity_us + limit;
    if (r->call_paused) {
        due = now_us + limit;
    }
    if (now_us < due) {
        timers_add(&f->timers, due, TIMER_SILENCE, call);
        return;
    }
    if (!stream && r->state == REQ_RESPONDING) {
        return;
    }
    if (r->sends >= r->route->max_attempts) {
        return;
    }
    struct place_query query = {.nodes = 1, .tried_count = r->tried_count};
    for (int i = 0; i < r->tried_count; i++) {
        query.tried[i] = r->tried[i];
    }
    if (place_next_available_us(r->service->endpoints, &query, now_us) >
        now_us) {
        timers_add(&f->timers, now_us + limit, TIMER_SILENCE, call);
        return;
    }
    endpoint_record_failure(r->endpoint, now_us, false);
    f->io.cancel_call(f->io.ctx, call);
    handle_broken_call(f, now_us, r, "the endpoint is silent");
}

void
req_handle_deadline(struct forward *f, int64_t now_us, struct request *r)
{
    if (r->call) {
        f->io.cancel_call(f->io.ctx, r->call);
        endpoint_record_failure(r->endpoint, now_us, false);
        req_detach_call(f, r);
        r->may_have_run = true;
    }
    req_refuse(f, now_us, r, ERRKIND_DEADLINE_UNMEETABLE, "the time is over",
               0);
}
