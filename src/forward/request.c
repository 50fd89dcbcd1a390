#include <stdlib.h>

#include "base/log.h"
#include "forward/state.h"

/* Sends of one request that reached no endpoint, or that an endpoint rejected
 * without running it. */
#define UNSENT_MAX 6
/* An idempotent call without an answer for this many times the usual latency
 * is given up and sent elsewhere. */
#define SILENCE_FACTOR 6
#define SILENCE_MIN_US (250 * MS)
/* A stream that may be resumed goes on elsewhere after this silence. Callers
 * leave after two seconds or more. */
#define STREAM_SILENCE_US (1200 * MS)
/* Answers that are held until they are whole, and parts of events. The
 * largest ones of real endpoints have some kilobytes; a node has 260 MB and
 * more. */
#define ANSWER_MAX_BYTES (4u << 20)
#define EVENT_MAX_BYTES (256u << 10)
/* All held answers together; checked when one is larger than a share. */
#define HELD_MAX_BYTES (16u << 20)
#define HELD_SHARE_BYTES (512u << 10)
/* Beyond this backlog of its caller, a stream is read no further. */
#define CALLER_BACKLOG_BYTES (256u << 10)
/* A stream is silent if no event comes for this many of the longest pauses
 * that its route allows, and for STREAM_SILENCE_US. */
#define SILENT_PAUSES 2
/* Before its first event a stream may wait behind other prompts. */
#define FIRST_SILENCE_US (2500 * MS)
/* Cost of another zone for plain calls: a round trip. */
#define ZONE_PENALTY_US (1 * MS)
/* Results that lie in another zone cost the transfer of their bytes. */
#define RESULT_ZONE_PENALTY_US (250 * MS)
#define LARGE_BYTES 200000
/* Waiting for an endpoint is worth while up to this time. */
#define WAIT_FOR_ENDPOINT_US (700 * MS)
/* A refusal asks the caller back after this time at least. */
#define RETRY_AFTER_MS 150
/* Time that an endpoint needs at least. */
#define SEND_MIN_US (10 * MS)
/* Endpoints are given slightly less time than the caller waits, so that an
 * answer can travel back. */
#define RETURN_US (5 * MS)
#define MAX_INPUTS 512
/* An endpoint fetches the results of stages before it reads the prompt; they
 * are given back after this time, since their room is what others wait for.
 * All but one in a thousand calls had fetched them by then. */
#define FETCH_US (100 * MS)
#define CONNECT_US (3 * MS)
#define FIRST_TOKEN_US (25 * MS)
#define STRIKE_HOLD_US (120 * SECOND)

static bool
repeatable(const struct request *r)
{
    switch (r->route->kind) {
    case REPEAT_IDEMPOTENT:
        return true;
    case REPEAT_ONCE:
        return false;
    case REPEAT_STREAM:
        return r->route->resumable;
    }
    return false;
}

int64_t
req_by_us(const struct request *r)
{
    return r->begun ? r->deadline_us : r->begin_by_us;
}

static bool
is_stream(const struct request *r)
{
    return r->route->kind == REPEAT_STREAM;
}

void
req_end_call(struct forward *f, struct request *r)
{
    if (!r->call) {
        return;
    }
    map_del(&f->calls, r->call);
    r->call = 0;
    r->endpoint->in_flight--;
    r->endpoint->reading -= r->reading;
    r->reading = 0;
    r->endpoint = NULL;
    f->dispatch = true;
}

static void
cancel_call(struct forward *f, struct request *r)
{
    if (r->call) {
        f->io.cancel(f->io.ctx, r->call);
        req_end_call(f, r);
    }
}

static void
stop_waiting(struct request *r)
{
    struct svc *s = r->svc;
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
    int64_t now_us = r->heard_us;
    cancel_call(f, r);
    stop_waiting(r);
    pieces_drop(f, now_us, r);
    map_del(&f->requests, r->id);
    for (int i = 0; i < r->route->stage_count; i++) {
        free(r->stages[i].pieces);
    }
    site_unref(r->site);
    buf_free(&r->answer);
    free(r);
}

static void
log_end(const struct request *r, int64_t now_us, const char *event,
        const char *why)
{
    LOG_EVENT(
        LOG_INFO, event, LOG_S("request", r->in.request_id),
        LOG_S("route", r->route->name), LOG_S("team", r->team),
        LOG_C("why", why), LOG_I("status", r->status),
        LOG_I("ms", (now_us - r->arrived_us) / MS),
        LOG_I("sent_ms", r->sent_us ? (r->sent_us - r->arrived_us) / MS : -1),
        LOG_I("first_ms",
              r->first_us ? (r->first_us - r->arrived_us) / MS : -1),
        LOG_I("sends", r->sends), LOG_I("unsent", r->unsent),
        LOG_I("maybe_ran", r->maybe_ran),
        LOG_I("left_ms", (r->deadline_us - now_us) / MS),
        LOG_I("config", routing_version(r->site->routing)));
}

void
req_refuse(struct forward *f, int64_t now_us, struct request *r,
           enum errkind kind, const char *why, int64_t retry_ms)
{
    bool promise = errkind_info(kind)->http_status == 503;
    r->maybe_ran |= r->call != 0;
    /* After a send that may have run, no answer may promise otherwise. */
    if (promise && r->maybe_ran) {
        kind = ERRKIND_OUTCOME_UNKNOWN;
        promise = false;
    }
    if (promise) {
        f->count.refusals++;
        retry_ms = retry_ms > RETRY_AFTER_MS ? retry_ms : RETRY_AFTER_MS;
    }
    else {
        f->count.failures++;
    }
    r->status = errkind_info(kind)->http_status;
    log_end(r, now_us, promise ? "refused" : "failed", why);
    if (r->begun) {
        f->io.abort(f->io.ctx, r->id);
    }
    else {
        f->io.refuse(f->io.ctx, r->id, kind, why, promise ? retry_ms : 0);
    }
    r->heard_us = now_us;
    req_free(f, r);
}

static void
wait_for_endpoint(struct request *r, int64_t at_us)
{
    struct svc *s = r->svc;
    if (r->state != REQ_WAITING) {
        r->state = REQ_WAITING;
        if (s->waiting_count == s->waiting_cap) {
            s->waiting_cap = s->waiting_cap ? s->waiting_cap * 2 : 16;
            s->waiting = mem_grow(s->waiting, (size_t)s->waiting_cap,
                                  sizeof(struct request *));
        }
        s->waiting[s->waiting_count++] = r;
    }
    if (at_us < s->waiting_due_us || s->waiting_count == 1) {
        s->waiting_due_us = at_us;
    }
}

static bool
large_results(const struct request *r)
{
    for (int i = 0; i < r->route->stage_count; i++) {
        if (r->stages[i].count > 0 && !r->route->stages[i].feeds_stage &&
            r->route->stages[i].bytes >= LARGE_BYTES) {
            return true;
        }
    }
    return false;
}

/* Zone in which most results of the last stages lie. */
static struct str
results_zone(const struct forward *f, const struct request *r)
{
    for (int i = 0; i < r->route->stage_count; i++) {
        if (r->route->stages[i].bytes >= LARGE_BYTES &&
            r->stages[i].count > 0) {
            const struct endpoint *e =
                map_get(&f->endpoints, r->stages[i].pieces[0].maker_hash);
            if (e) {
                return e->zone;
            }
        }
    }
    return f->opts.zone;
}

static void
send_call(struct forward *f, int64_t now_us, struct request *r,
          struct endpoint *e)
{
    struct str inputs[MAX_INPUTS];
    int64_t left = r->deadline_us - now_us;
    r->state = REQ_SENT;
    r->call = ++f->next_call;
    r->endpoint = e;
    r->sent_us = now_us;
    r->heard_us = now_us;
    r->accepted = false;
    r->held = false;
    r->sends++;
    if (r->tried_count < PLACE_MAX_TRIED) {
        r->tried[r->tried_count++] = e->hash;
    }
    r->expected_us = CONNECT_US + (int64_t)e->latency_us;
    if (r->svc->info.is_engine) {
        int64_t uncached;
        r->expected_us =
            FIRST_TOKEN_US + place_read_us(e, &r->prompt, now_us, &uncached);
        owners_notify_prefill(f, r, e, uncached);
        r->reading = uncached;
        e->reading += uncached;
        endpoint_hold(e, r->prompt.chain, r->prompt.tokens, r->prompt.count,
                      now_us);
    }
    e->in_flight++;
    endpoint_sent(e, forward_nodes(f), now_us);
    map_put(&f->calls, r->call, r);
    f->count.sends++;
    struct forward_call call = {
        .id = r->call,
        .request = r->id,
        .address = e->address,
        .endpoint = e->id,
        .team = r->team,
        .left_ms = (left - RETURN_US) / MS,
        .urgency = r->svc->info.is_engine ? r->priority : -1,
        .resume_after = r->last_event,
        .inputs = inputs,
        .input_count = pieces_inputs(r, inputs, MAX_INPUTS),
        .once = !repeatable(r),
        .timeout_ms = left / MS + 1};
    if (call.urgency > 9) {
        call.urgency = 9;
    }
    LOG_EVENT(LOG_DEBUG, "sent", LOG_S("request", r->in.request_id),
              LOG_S("endpoint", e->id), LOG_I("send", r->sends));
    f->io.send(f->io.ctx, &call);
    if (call.input_count > 0) {
        timers_add(&f->timers, now_us + FETCH_US, TIMER_FETCHED, r->call);
    }
    if (repeatable(r)) {
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
    struct place_ask ask = {.prompt =
                                r->svc->info.is_engine ? &r->prompt : NULL,
                            .zone = f->opts.zone,
                            .zone_penalty_us = ZONE_PENALTY_US,
                            .nodes = forward_nodes(f),
                            .tried_count = r->tried_count};
    int64_t by_us = req_by_us(r);
    if (now_us + SEND_MIN_US > by_us) {
        req_refuse(f, now_us, r, ERRKIND_DEADLINE_UNMEETABLE,
                   "no time is left", 0);
        return;
    }
    if (pieces_lost(r)) {
        if (!pieces_restart(f, now_us, r)) {
            req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT,
                       "results of stages were given back", 200);
        }
        return;
    }
    for (int i = 0; i < r->tried_count; i++) {
        ask.tried[i] = r->tried[i];
    }
    if (large_results(r)) {
        ask.zone = results_zone(f, r);
        ask.zone_penalty_us = RESULT_ZONE_PENALTY_US;
    }
    struct endpoint *e = place_choose(r->svc->endpoints, &ask, now_us);
    if (!e && ask.tried_count > 0) {
        /* All others are closed; one that was tried may do by now. */
        ask.tried_count = r->maybe_ran ? ask.tried_count : 0;
        e = place_choose(r->svc->endpoints, &ask, now_us);
    }
    if (e) {
        stop_waiting(r);
        send_call(f, now_us, r, e);
        return;
    }
    int64_t next = place_next_us(r->svc->endpoints, &ask, now_us);
    if (next == INT64_MAX || next - now_us > WAIT_FOR_ENDPOINT_US ||
        next + SEND_MIN_US > by_us) {
        req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT, "no endpoint takes work",
                   next == INT64_MAX ? 500 : (next - now_us) / MS);
        return;
    }
    wait_for_endpoint(r, next);
}

void
req_retry_waiting(struct forward *f, int64_t now_us, struct svc *s)
{
    int count = s->waiting_count;
    struct request **list = s->waiting;
    if (count == 0) {
        return;
    }
    /* Requests that go on waiting are added to a new list. */
    s->waiting = NULL;
    s->waiting_count = 0;
    s->waiting_cap = 0;
    for (int i = 0; i < count; i++) {
        list[i]->state = REQ_STAGES;
        req_send_or_wait(f, now_us, list[i]);
    }
    free(list);
}

/* Strikes of requests that were running when endpoints died */

uint64_t
req_strike_key(const struct forward_request *in, const struct route *route)
{
    return in->content.lo ^ hash64(route->name);
}

static void
strike(struct forward *f, int64_t now_us, const struct request *r)
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
    s->until_us = now_us + STRIKE_HOLD_US;
}

static bool
may_repeat(struct forward *f, int64_t now_us, struct request *r)
{
    if (!repeatable(r) || r->sends >= r->route->max_attempts) {
        return false;
    }
    if (now_us + SEND_MIN_US > r->deadline_us) {
        return false;
    }
    if (!repeat_budget_take(&r->svc->budget, &f->opts.repeats,
                            forward_nodes(f), now_us)) {
        f->count.repeats_denied++;
        return false;
    }
    f->count.repeats++;
    return true;
}

/* The call under way has ended without an answer to give. */
static void
call_broken(struct forward *f, int64_t now_us, struct request *r,
            const char *why)
{
    struct endpoint *e = r->endpoint;
    LOG_EVENT(LOG_INFO, "call_broken", LOG_S("request", r->in.request_id),
              LOG_S("endpoint", e->id), LOG_C("why", why),
              LOG_I("ms", (now_us - r->sent_us) / MS),
              LOG_I("last_event", r->last_event));
    f->count.broken++;
    r->maybe_ran = true;
    req_end_call(f, r);
    buf_clear(&r->answer);
    if (may_repeat(f, now_us, r)) {
        if (r->begun) {
            f->count.resumed++;
        }
        req_send_or_wait(f, now_us, r);
        return;
    }
    req_refuse(f, now_us, r, ERRKIND_OUTCOME_UNKNOWN, why, 0);
}

/* The endpoint surely did not run the request. */
static void
call_not_run(struct forward *f, int64_t now_us, struct request *r,
             bool arrived, const char *why)
{
    LOG_EVENT(LOG_INFO, "call_not_run", LOG_S("request", r->in.request_id),
              LOG_S("endpoint", r->endpoint->id), LOG_C("why", why),
              LOG_I("ms", (now_us - r->sent_us) / MS));
    req_end_call(f, r);
    r->sends--;
    r->unsent++;
    buf_clear(&r->answer);
    if (r->unsent < UNSENT_MAX &&
        (!arrived || repeat_budget_take(&r->svc->budget, &f->opts.repeats,
                                        forward_nodes(f), now_us))) {
        req_send_or_wait(f, now_us, r);
        return;
    }
    req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT, why, 200);
}

static void
not_executed(struct forward *f, int64_t now_us, struct request *r, int status,
             const struct answer_meta *meta)
{
    struct endpoint *e = r->endpoint;
    f->count.not_executed++;
    f->io.cancel(f->io.ctx, r->call);
    if (meta->other_instance) {
        endpoint_bad(e, now_us, true);
        call_not_run(f, now_us, r, false, "another endpoint has the address");
        return;
    }
    if (status == 409) {
        LOG_EVENT(LOG_INFO, "results_gone", LOG_S("request", r->in.request_id),
                  LOG_S("endpoint", e->id), LOG_I("given_back", r->freed),
                  LOG_I("ms", (now_us - r->sent_us) / MS));
        req_end_call(f, r);
        r->sends--;
        if (!pieces_restart(f, now_us, r)) {
            req_refuse(f, now_us, r, ERRKIND_UPSTREAM_FAILED,
                       "results of stages were lost", 200);
        }
        return;
    }
    endpoint_bad(e, now_us, false);
    call_not_run(f, now_us, r, true, "the endpoint rejected the request");
}

static bool
good_status(int status)
{
    return status >= 200 && status < 300;
}

void
forward_head(struct forward *f, int64_t now_us, uint64_t call, int status,
             const struct answer_meta *meta)
{
    struct request *r = map_get(&f->calls, call);
    if (!r) {
        return;
    }
    struct endpoint *e = r->endpoint;
    r->heard_us = now_us;
    if (meta->running >= 0) {
        e->running = meta->running;
        e->waiting = meta->waiting;
        e->reported_us = now_us;
    }
    if (meta->not_executed || meta->other_instance) {
        not_executed(f, now_us, r, status, meta);
        return;
    }
    const char *why = NULL;
    if (!meta->same_request) {
        f->count.crossed++;
        why = "the answer belongs to another request";
    }
    else if (meta->encoded || (good_status(status) && !meta->sealed)) {
        why = "the answer is not the endpoint's";
    }
    else if (status >= 500 && repeatable(r) && !r->begun) {
        why = "the endpoint failed";
    }
    if (why && (status < 500 || !meta->sealed || !meta->same_request ||
                meta->encoded)) {
        endpoint_bad(e, now_us, false);
        f->io.cancel(f->io.ctx, r->call);
        call_broken(f, now_us, r, why);
        return;
    }
    if (why && may_repeat(f, now_us, r)) {
        endpoint_bad(e, now_us, false);
        f->io.cancel(f->io.ctx, r->call);
        r->maybe_ran = true;
        req_end_call(f, r);
        req_send_or_wait(f, now_us, r);
        return;
    }
    if (status >= 500) {
        endpoint_bad(e, now_us, false);
    }
    else {
        endpoint_good(e, now_us, now_us - r->sent_us);
    }
    r->accepted = true;
    r->maybe_ran = true;
    if (r->begun) {
        /* A resumed stream keeps the head of its first endpoint. */
        if (!good_status(status)) {
            f->io.cancel(f->io.ctx, r->call);
            call_broken(f, now_us, r, "the stream was not resumed");
        }
        return;
    }
    r->status = status;
    r->length = meta->length;
    f->io.keep_head(f->io.ctx, r->id);
}

static void
first_byte(struct forward *f, int64_t now_us, struct request *r)
{
    hist_add(&f->first, now_us - r->arrived_us);
    r->first_us = now_us;
    if (r->svc->info.is_engine) {
        endpoint_pace(r->endpoint, now_us - r->sent_us, r->expected_us);
        r->endpoint->reading -= r->reading;
        r->reading = 0;
        pieces_drop(f, now_us, r);
    }
}

/* @return false if no event is whole */
static bool
pass_events(struct forward *f, struct request *r)
{
    int64_t id = r->last_event;
    size_t whole = stream_whole(&r->answer, &id);
    if (whole == 0) {
        return false;
    }
    if (!r->begun) {
        r->begun = true;
        f->io.begin(f->io.ctx, r->id, -1);
    }
    size_t backlog =
        f->io.body(f->io.ctx, r->id, str_of(r->answer.ptr, whole));
    if (backlog > CALLER_BACKLOG_BYTES && !r->held) {
        r->held = true;
        f->io.hold(f->io.ctx, r->call, r->id);
    }
    r->last_event = id;
    size_t rest = r->answer.len - whole;
    for (size_t i = 0; i < rest; i++) {
        r->answer.ptr[i] = r->answer.ptr[whole + i];
    }
    r->answer.len = rest;
    return true;
}

void
forward_taken(struct forward *f, int64_t now_us, uint64_t call)
{
    struct request *r = map_get(&f->calls, call);
    if (r) {
        r->held = false;
        r->heard_us = now_us;
    }
}

static bool
passes_events(const struct request *r)
{
    return is_stream(r) && good_status(r->status);
}

/* Whether the answer under way takes more memory than a node gives it. */
static bool
too_long(const struct forward *f, const struct request *r)
{
    size_t limit = passes_events(r) ? EVENT_MAX_BYTES : ANSWER_MAX_BYTES;
    size_t sum = 0;
    size_t at = 0;
    const struct request *other;
    if (r->answer.len > limit || r->answer.len < HELD_SHARE_BYTES) {
        return r->answer.len > limit;
    }
    while ((other = map_next(&f->requests, &at))) {
        sum += other->answer.len;
    }
    return sum > HELD_MAX_BYTES;
}

/* The first byte of a plain answer, or the first event of a stream. */
static void
answer_begins(struct forward *f, int64_t now_us, struct request *r)
{
    r->state = REQ_ANSWER;
    first_byte(f, now_us, r);
    if (is_stream(r) && repeatable(r)) {
        timers_add(&f->timers, now_us + STREAM_SILENCE_US, TIMER_SILENCE,
                   r->call);
    }
}

static void
end_too_long(struct forward *f, int64_t now_us, struct request *r)
{
    f->count.too_long++;
    endpoint_bad(r->endpoint, now_us, false);
    f->io.cancel(f->io.ctx, r->call);
    call_broken(f, now_us, r, "the answer is too long");
}

void
forward_bytes(struct forward *f, int64_t now_us, uint64_t call,
              struct str bytes)
{
    struct request *r = map_get(&f->calls, call);
    if (!r || !r->accepted) {
        return;
    }
    buf_append_str(&r->answer, bytes);
    if (passes_events(r) && !pass_events(f, r)) {
        if (too_long(f, r)) {
            end_too_long(f, now_us, r);
        }
        return;
    }
    r->heard_us = now_us;
    if (r->state == REQ_SENT) {
        answer_begins(f, now_us, r);
    }
    if (too_long(f, r)) {
        end_too_long(f, now_us, r);
    }
}

static void
finish(struct forward *f, int64_t now_us, struct request *r)
{
    if (!r->begun) {
        f->io.begin(f->io.ctx, r->id, (int64_t)r->answer.len);
        f->io.body(f->io.ctx, r->id, buf_str(&r->answer));
    }
    f->io.finish(f->io.ctx, r->id);
    f->count.answers++;
    uint64_t key = req_strike_key(&r->in, r->route);
    g_hash_table_remove(f->strikes, &key);
    hist_add(&f->latency, now_us - r->arrived_us);
    log_end(r, now_us, "answered", "whole");
    req_free(f, r);
}

void
forward_end(struct forward *f, int64_t now_us, uint64_t call,
            enum call_end end)
{
    struct request *r = map_get(&f->calls, call);
    if (!r) {
        return;
    }
    struct endpoint *e = r->endpoint;
    r->heard_us = now_us;
    switch (end) {
    case CALL_END_UNSENT:
        f->count.unsent++;
        endpoint_bad(e, now_us, true);
        call_not_run(f, now_us, r, false, "no connection to the endpoint");
        return;
    case CALL_END_BROKEN:
        endpoint_bad(e, now_us, false);
        if (now_us < r->deadline_us && (!r->accepted || is_stream(r))) {
            strike(f, now_us, r);
        }
        call_broken(f, now_us, r, "the connection to the endpoint broke");
        return;
    case CALL_END_GARBAGE:
        endpoint_bad(e, now_us, false);
        call_broken(f, now_us, r, "what the endpoint sent is no answer");
        return;
    case CALL_END_WHOLE:
        break;
    }
    if (!r->accepted ||
        (is_stream(r) && good_status(r->status) && r->answer.len > 0)) {
        /* A stream ends after a whole event. */
        call_broken(f, now_us, r, "the answer is not whole");
        return;
    }
    req_end_call(f, r);
    finish(f, now_us, r);
}

void
req_silence(struct forward *f, int64_t now_us, uint64_t call)
{
    struct request *r = map_get(&f->calls, call);
    if (!r) {
        return;
    }
    bool stream = is_stream(r);
    int64_t limit =
        r->state == REQ_ANSWER
            ? MAX(STREAM_SILENCE_US, SILENT_PAUSES * r->route->gap_us)
        : stream ? FIRST_SILENCE_US
                 : SILENCE_MIN_US;
    int64_t due = r->heard_us + limit;
    if (r->held) {
        due = now_us + limit;
    }
    if (now_us < due) {
        timers_add(&f->timers, due, TIMER_SILENCE, call);
        return;
    }
    if (!stream && r->state == REQ_ANSWER) {
        return;
    }
    if (r->sends >= r->route->max_attempts) {
        return;
    }
    struct place_ask ask = {.nodes = 1, .tried_count = r->tried_count};
    for (int i = 0; i < r->tried_count; i++) {
        ask.tried[i] = r->tried[i];
    }
    if (place_next_us(r->svc->endpoints, &ask, now_us) > now_us) {
        timers_add(&f->timers, now_us + limit, TIMER_SILENCE, call);
        return;
    }
    endpoint_bad(r->endpoint, now_us, false);
    f->io.cancel(f->io.ctx, call);
    call_broken(f, now_us, r, "the endpoint is silent");
}

void
req_deadline(struct forward *f, int64_t now_us, struct request *r)
{
    if (r->call) {
        f->io.cancel(f->io.ctx, r->call);
        endpoint_bad(r->endpoint, now_us, false);
        req_end_call(f, r);
        r->maybe_ran = true;
    }
    req_refuse(f, now_us, r, ERRKIND_DEADLINE_UNMEETABLE, "the time is over",
               0);
}
