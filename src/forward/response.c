#include "base/log.h"
#include "forward/crashes.h"
#include "forward/engines.h"
#include "forward/state.h"
#include "forward/stop.h"
#include "forward/versions.h"

/* Maximum number of sends of one request that reached no endpoint or were
 * rejected without being run. */
#define UNSENT_MAX 6
/* An idempotent call without a response for this many times the usual latency
 * is cancelled and sent to another endpoint. */
#define SILENCE_FACTOR 6
#define SILENCE_MIN_US (250 * MS)
/* Healthy endpoints may be silent for a second or two and go on, so a
 * resumable stream is resumed at another one after STREAM_SILENCE_US without
 * an event: sooner if its caller would disconnect then, but not before
 * STREAM_SILENCE_MIN_US. */
#define STREAM_SILENCE_US (2500 * MS)
#define STREAM_SILENCE_MIN_US (1200 * MS)
/* Limits on responses, which are buffered until they are complete, and on
 * incomplete events. The largest ones of real endpoints have a few kilobytes;
 * a node has 260 MB and more. */
#define RESPONSE_MAX_BYTES (4u << 20)
#define EVENT_MAX_BYTES (256u << 10)
/* Default limit on all buffered responses together, without those that are
 * smaller than BUFFERED_CHECK_BYTES: hundreds of callers may wait for
 * endpoints that respond without end. */
#define BUFFERED_MAX_BYTES (16u << 20)
#define BUFFERED_CHECK_BYTES (32u << 10)
/* An empty buffer of a stream is kept up to this size: hundreds of streams may
 * have had a burst. */
#define KEPT_BUFFER_BYTES (16u << 10)
/* Reading of a stream is paused when its caller's backlog exceeds this. */
#define CALLER_BACKLOG_BYTES (256u << 10)
/* The limit is at least this many of the longest pauses that a route allows.
 */
#define SILENT_PAUSES 2
/* An engine fetches the stage results before it prefills the prompt. They are
 * released after this time, since other requests wait for their memory. All
 * but one in a thousand calls had fetched them by then, but not those at an
 * engine that is silent: this is checked again every FETCH_CHECK_US. */
#define FETCH_RESULTS_US (100 * MS)
#define FETCH_CHECK_US (50 * MS)
/* Time until the next look at a call that is silent but cannot be repeated. */
#define SILENCE_RETRY_US (500 * MS)

/* Returns the time without any sign of the current call's endpoint after which
 * a repeat is worth a send. */
static int64_t
silence_limit_us(const struct request *r)
{
    if (!req_is_stream(r)) {
        return MAX(SILENCE_FACTOR * (int64_t)r->endpoint->latency_us,
                   SILENCE_MIN_US);
    }
    int64_t limit_us = STREAM_SILENCE_US;
    if (r->state == REQ_RESPONDING) {
        if (r->route->caller_disconnect_us > 0) {
            limit_us = CLAMP(r->route->caller_disconnect_us / 2,
                             STREAM_SILENCE_MIN_US, STREAM_SILENCE_US);
        }
        limit_us = MAX(limit_us, SILENT_PAUSES * r->route->max_event_gap_us);
    }
    return limit_us;
}

/* Replaces the timer of an earlier check. */
static void
check_silence_at(struct forward *f, int64_t at_us, struct request *r)
{
    r->silence_check_us = at_us;
    timers_add(&f->timers, at_us, TIMER_SILENCE, r->call);
}

void
response_watch_silence(struct forward *f, int64_t now_us, struct request *r)
{
    if (req_is_repeatable(r)) {
        check_silence_at(f, now_us + silence_limit_us(r), r);
    }
}

void
response_watch_fetch(struct forward *f, int64_t now_us,
                     const struct request *r)
{
    timers_add(&f->timers, now_us + FETCH_RESULTS_US, TIMER_FETCH_TIMEOUT,
               r->call);
}

/* Removes a call that has no usable response. */
static void
detach_broken_call(struct forward *f, int64_t now_us, struct request *r,
                   const char *why)
{
    const struct endpoint *e = r->endpoint;
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
}

static void
send_repeat(struct forward *f, int64_t now_us, struct request *r)
{
    if (r->response_started) {
        f->counters.resumed++;
    }
    req_send_or_wait(f, now_us, r);
}

/* Handles a call that ended without a usable response.
 * @param broke its connection broke */
static void
handle_broken_call(struct forward *f, int64_t now_us, struct request *r,
                   bool broke, const char *why)
{
    versions_call_bad(f, now_us, r, broke);
    detach_broken_call(f, now_us, r, why);
    if (req_take_repeat(f, now_us, r)) {
        send_repeat(f, now_us, r);
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
        (!arrived || req_take_resend(f, now_us, r))) {
        req_send_or_wait(f, now_us, r);
        return;
    }
    returns_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT, why, 200, r->service);
}

/* Runs the stages of a request without a call again, unless they are running
 * again already. @return false if the limit of restarts is reached */
static bool
rerun_stages(struct forward *f, int64_t now_us, struct request *r)
{
    if (r->preparing) {
        req_send_or_wait(f, now_us, r);
        return true;
    }
    return pieces_restart(f, now_us, r);
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
        handle_call_not_run(f, now_us, r, true,
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
        if (!req_take_resend(f, now_us, r) || !rerun_stages(f, now_us, r)) {
            req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT,
                       "results of stages were lost", 200);
        }
        return;
    }
    endpoint_record_failure(e, now_us, false);
    handle_call_not_run(f, now_us, r, true,
                        "the endpoint rejected the request");
}

/* Records progress of the current call's response. */
static void
record_progress(struct forward *f, int64_t now_us, struct request *r)
{
    r->last_activity_us = now_us;
    if (r->preparing) {
        pieces_stop_preparing(f, now_us, r);
    }
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
    endpoint_record_received(e, now_us);
    if (meta->running >= 0) {
        e->reported_running = meta->running;
        e->reported_waiting = meta->waiting;
        e->load_report_us = now_us;
        endpoint_apply_load(e, now_us, meta->load_percent);
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
    record_progress(f, now_us, r);
    const char *why = NULL;
    if (status >= 500 && meta->same_request) {
        versions_call_bad(f, now_us, r, false);
    }
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
        handle_broken_call(f, now_us, r, false, why);
        return;
    }
    if (why && !crashes_is_blocked(f, r) && !stop_refuses(f, r, now_us) &&
        req_take_repeat(f, now_us, r)) {
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
            handle_broken_call(f, now_us, r, false,
                               "the stream was not resumed");
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
        engines_first_event(f, now_us, r);
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
        r->endpoint->streams--;
        f->io.pause_call(f->io.ctx, r->call, r->id);
    }
    r->last_event_id = id;
    size_t rest = r->response.len - whole;
    for (size_t i = 0; i < rest; i++) {
        r->response.ptr[i] = r->response.ptr[whole + i];
    }
    r->response.len = rest;
    if (rest == 0 && r->response.cap > KEPT_BUFFER_BYTES) {
        buf_free(&r->response);
    }
    return true;
}

void
forward_caller_caught_up(struct forward *f, int64_t now_us, uint64_t call)
{
    struct request *r = map_get(&f->calls, call);
    if (r && r->call_paused) {
        r->call_paused = false;
        r->last_activity_us = now_us;
        r->endpoint->streams++;
        endpoint_record_received(r->endpoint, now_us);
    }
}

static bool
is_relayed_stream(const struct request *r)
{
    return req_is_stream(r) && is_success_status(r->status);
}

/* Returns whether the current response exceeds the limit of one response. */
static bool
is_too_long(const struct request *r)
{
    size_t limit = is_relayed_stream(r) ? EVENT_MAX_BYTES : RESPONSE_MAX_BYTES;
    return r->response.len > limit;
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
    if (req_is_stream(r)) {
        versions_call_good(f, now_us, r);
        r->endpoint->streams++;
        response_watch_silence(f, now_us, r);
    }
}

static void
cancel_too_long(struct forward *f, int64_t now_us, struct request *r)
{
    f->counters.too_long++;
    endpoint_record_failure(r->endpoint, now_us, false);
    f->io.cancel_call(f->io.ctx, r->call);
    handle_broken_call(f, now_us, r, false, "the answer is too long");
}

/* If the buffered responses exceed their limit, cancels the largest one: those
 * of working endpoints are the smaller ones. */
static void
limit_buffered_bytes(struct forward *f, int64_t now_us,
                     const struct request *grown)
{
    struct request *largest = NULL;
    struct request *r;
    size_t sum = 0;
    size_t at = 0;
    if (grown->response.len < BUFFERED_CHECK_BYTES) {
        return;
    }
    while ((r = map_next(&f->requests, &at))) {
        if (r->response.len >= BUFFERED_CHECK_BYTES && r->call) {
            sum += r->response.len;
            largest = !largest || r->response.len > largest->response.len
                          ? r
                          : largest;
        }
    }
    size_t limit = f->opts.max_buffered_bytes > 0 ? f->opts.max_buffered_bytes
                                                  : BUFFERED_MAX_BYTES;
    if (largest && sum > limit) {
        cancel_too_long(f, now_us, largest);
    }
}

/* Handles bytes that were added to a response. */
static void
check_buffered_bytes(struct forward *f, int64_t now_us, struct request *r)
{
    if (is_too_long(r)) {
        cancel_too_long(f, now_us, r);
    }
    else {
        limit_buffered_bytes(f, now_us, r);
    }
}

void
forward_response_body(struct forward *f, int64_t now_us, uint64_t call,
                      struct str bytes)
{
    struct request *r = map_get(&f->calls, call);
    if (!r || !r->head_accepted) {
        return;
    }
    endpoint_record_received(r->endpoint, now_us);
    buf_append_str(&r->response, bytes);
    if (is_relayed_stream(r) && !relay_events(f, r)) {
        check_buffered_bytes(f, now_us, r);
        return;
    }
    record_progress(f, now_us, r);
    if (r->state == REQ_SENT) {
        handle_response_start(f, now_us, r);
    }
    check_buffered_bytes(f, now_us, r);
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
    versions_call_good(f, now_us, r);
    stop_record_call(f, r, now_us);
    crashes_request_answered(f, now_us, r);
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
    case CALL_END_TIMED_OUT:
        endpoint_record_failure(e, now_us, false);
        crashes_call_broken(f, now_us, r);
        handle_broken_call(f, now_us, r, true,
                           "the connection to the endpoint broke");
        return;
    case CALL_END_MALFORMED:
        endpoint_record_failure(e, now_us, false);
        handle_broken_call(f, now_us, r, false,
                           "what the endpoint sent is no answer");
        return;
    case CALL_END_COMPLETE:
        break;
    }
    if (!is_whole_response(r)) {
        crashes_call_broken(f, now_us, r);
        handle_broken_call(f, now_us, r, false, "the answer is not whole");
        return;
    }
    req_detach_call(f, r);
    finish_request(f, now_us, r);
}

/* Returns whether the request could be sent to another endpoint now that is
 * not silent itself. */
static bool
can_be_sent_elsewhere(const struct forward *f, const struct request *r,
                      int64_t now_us)
{
    struct place_query query = {
        .nodes = 1, .tried_count = r->tried_count, .skip_silent = true};
    for (int i = 0; i < r->tried_count; i++) {
        query.tried[i] = r->tried[i];
    }
    versions_withhold_for(f, now_us, r);
    return !crashes_is_blocked(f, r) && !stop_refuses(f, r, now_us) &&
           place_next_available_us(r->service->endpoints, &query, now_us) <=
               now_us;
}

static void
abandon_silent_call(struct forward *f, int64_t now_us, struct request *r)
{
    f->counters.silent++;
    versions_call_bad(f, now_us, r, false);
    endpoint_record_silence(r->endpoint, now_us);
    f->io.cancel_call(f->io.ctx, r->call);
    detach_broken_call(f, now_us, r, "the endpoint is silent");
    send_repeat(f, now_us, r);
}

void
response_handle_silence(struct forward *f, int64_t now_us, uint64_t call)
{
    struct request *r = map_get(&f->calls, call);
    if (!r || now_us < r->silence_check_us ||
        (!req_is_stream(r) && r->state == REQ_RESPONDING)) {
        return;
    }
    int64_t limit_us = silence_limit_us(r);
    int64_t due_us =
        (r->call_paused ? now_us : r->last_activity_us) + limit_us;
    if (now_us < due_us) {
        check_silence_at(f, due_us, r);
        return;
    }
    if (r->sends >= r->route->max_attempts) {
        return;
    }
    check_silence_at(f, now_us + SILENCE_RETRY_US, r);
    /* The endpoint may be healthy and go on, so its answer is abandoned only
     * for a repeat that can be sent. */
    if (r->preparing || !can_be_sent_elsewhere(f, r, now_us)) {
        return;
    }
    if (pieces_were_released(r)) {
        if (repeat_budget_allows(&r->service->budget, &f->opts.repeats,
                                 forward_node_count(f), now_us)) {
            pieces_prepare(f, now_us, r);
        }
        return;
    }
    if (req_take_repeat(f, now_us, r)) {
        abandon_silent_call(f, now_us, r);
    }
}

void
response_repeat_prepared(struct forward *f, int64_t now_us, struct request *r)
{
    if (!can_be_sent_elsewhere(f, r, now_us) ||
        !req_take_repeat(f, now_us, r)) {
        pieces_stop_preparing(f, now_us, r);
        return;
    }
    r->preparing = false;
    abandon_silent_call(f, now_us, r);
}

void
response_move_stream(struct forward *f, int64_t now_us, struct request *r)
{
    if (can_be_sent_elsewhere(f, r, now_us) && !pieces_were_released(r) &&
        req_take_repeat(f, now_us, r)) {
        f->io.cancel_call(f->io.ctx, r->call);
        detach_broken_call(f, now_us, r, "the service moves to a version");
        send_repeat(f, now_us, r);
    }
}

/* Returns whether the endpoint of a call may have been silent since the call
 * was sent: nothing came from it, and an endpoint of the service that has
 * streams to send sent nothing either. */
static bool
may_be_silent(const struct request *r, int64_t now_us)
{
    const GPtrArray *endpoints = r->service->endpoints;
    if (r->endpoint->received_us > r->sent_us) {
        return false;
    }
    for (guint i = 0; i < endpoints->len; i++) {
        const struct endpoint *e = g_ptr_array_index(endpoints, i);
        if (now_us < e->silent_until_us ||
            (e->streams > 0 && e->received_us <= r->sent_us)) {
            return true;
        }
    }
    return false;
}

void
response_handle_fetch_timeout(struct forward *f, int64_t now_us, uint64_t call)
{
    struct request *r = map_get(&f->calls, call);
    if (!r || r->results_released) {
        return;
    }
    if (may_be_silent(r, now_us)) {
        timers_add(&f->timers, now_us + FETCH_CHECK_US, TIMER_FETCH_TIMEOUT,
                   call);
        return;
    }
    pieces_release(f, now_us, r);
}

void
response_handle_deadline(struct forward *f, int64_t now_us, struct request *r)
{
    if (r->call) {
        versions_call_bad(f, now_us, r, false);
        f->io.cancel_call(f->io.ctx, r->call);
        endpoint_record_failure(r->endpoint, now_us, false);
        req_detach_call(f, r);
        r->may_have_run = true;
    }
    req_refuse(f, now_us, r, ERRKIND_DEADLINE_UNMEETABLE, "the time is over",
               0);
}
