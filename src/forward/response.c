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

void
response_watch_silence(struct forward *f, int64_t now_us,
                       const struct request *r)
{
    if (req_is_repeatable(r)) {
        int64_t silence =
            req_is_stream(r)
                ? FIRST_SILENCE_US
                : SILENCE_FACTOR * (int64_t)r->endpoint->latency_us;
        silence = silence > SILENCE_MIN_US ? silence : SILENCE_MIN_US;
        timers_add(&f->timers, now_us + silence, TIMER_SILENCE, r->call);
    }
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
    if (req_take_repeat(f, now_us, r)) {
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
        f->counters.results_gone++;
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
    else if (status >= 500 && req_is_repeatable(r) && !r->response_started) {
        why = "the endpoint failed";
    }
    if (why && (status < 500 || !meta->sealed || !meta->same_request ||
                meta->content_encoded)) {
        endpoint_record_failure(e, now_us, false);
        f->io.cancel_call(f->io.ctx, r->call);
        handle_broken_call(f, now_us, r, why);
        return;
    }
    if (why && req_take_repeat(f, now_us, r)) {
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
    r->framed = meta->framed;
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
    return req_is_stream(r) && is_success_status(r->status);
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
    if (req_is_stream(r) && req_is_repeatable(r)) {
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
    stop_record_call(f, r, now_us);
    uint64_t key = req_strike_key(&r->in, r->route);
    g_hash_table_remove(f->strikes, &key);
    hist_add(&f->latency, now_us - r->arrived_us);
    req_log_outcome(r, now_us, "answered", "whole");
    req_free(f, r);
}

/* Returns whether a response whose end was received is whole. A response
 * without a length ends with its connection, so a stream must end after a
 * complete event. A stream that resumes an earlier one may have no event, but
 * then only the framing shows that it has ended. */
static bool
is_whole_response(const struct request *r)
{
    if (!r->head_accepted || !is_relayed_stream(r)) {
        return r->head_accepted;
    }
    return r->response.len == 0 && (r->state == REQ_RESPONDING ||
                                    (r->last_event_id >= 0 && r->framed));
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
        if (now_us < r->deadline_us &&
            (!r->head_accepted || req_is_stream(r))) {
            req_add_strike(f, now_us, r);
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
response_handle_silence(struct forward *f, int64_t now_us, uint64_t call)
{
    struct request *r = map_get(&f->calls, call);
    if (!r) {
        return;
    }
    bool stream = req_is_stream(r);
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
    f->counters.silent++;
    endpoint_record_failure(r->endpoint, now_us, false);
    f->io.cancel_call(f->io.ctx, call);
    handle_broken_call(f, now_us, r, "the endpoint is silent");
}

void
response_handle_deadline(struct forward *f, int64_t now_us, struct request *r)
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
