#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clean.h"
#include "base/log.h"
#include "forward/crashes.h"
#include "forward/engines.h"
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
/* Part of the wait by which a request that begins to wait should be sent
 * before the last possible time: each send follows its opening by up to a few
 * ms, until the loop runs, which delays those after it. */
#define WAIT_MARGIN 0.02
#define NO_ENDPOINT_REFUSAL "no endpoint takes work"
/* Retry-After if it is not known when an endpoint takes work. */
#define NO_ENDPOINT_RETRY_MS 500
#define MAX_INPUTS 512
#define CONNECT_US (3 * MS)

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
    engines_call_ended(r->last_activity_us, r);
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
    if (r->state == REQ_WAITING) {
        wait_list_remove(&r->service->waiting, &r->wait);
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
              LOG_INT("above_share", r->share == REQ_SHARE_ABOVE),
              LOG_INT("returned", r->wait.returning),
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
        team_counts_add(f->team_counts, r->team_hash, r->team, TEAM_REFUSED);
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
fill_wait_entry(struct request *r)
{
    r->wait.item = r;
    r->wait.rank = r->priority;
    r->wait.team = r->team_hash;
    r->wait.by_us = req_caller_leaves_us(r);
}

static void
enqueue_waiting(struct request *r, int64_t at_us)
{
    struct service_state *s = r->service;
    if (r->state != REQ_WAITING) {
        r->state = REQ_WAITING;
        fill_wait_entry(r);
        wait_list_add(&s->waiting, &r->wait);
    }
    if (at_us < s->waiting_retry_us || s->waiting.count == 1) {
        s->waiting_retry_us = at_us;
    }
}

/* Lists when the endpoints that a request may use take requests.
 * @return their number */
static int
list_openings(const struct service_state *s, const struct place_query *query,
              int64_t now_us, struct wait_opening *out)
{
    int n = 0;
    for (guint i = 0; i < s->endpoints->len; i++) {
        const struct endpoint *e = g_ptr_array_index(s->endpoints, i);
        bool tried = false;
        for (int k = 0; k < query->tried_count; k++) {
            tried |= query->tried[k] == e->hash;
        }
        if (!e->usable || e->leaving || tried) {
            continue;
        }
        int64_t at = MAX(now_us, MAX(e->ejected_until_us, e->paused_until_us));
        out[n].interval_us = 0;
        if (e->cold_requests_per_s > 0 && at < e->cold_until_us) {
            at = MAX(at, e->cold_next_send_us);
            out[n].interval_us =
                (int64_t)(query->nodes / e->cold_requests_per_s * 1e6);
        }
        out[n++].at_us = at;
    }
    return n;
}

/* Puts a request into the waiting list, or refuses it if the endpoints take
 * only those before it in time. */
static void
wait_or_refuse(struct forward *f, int64_t now_us, struct request *r,
               const struct place_query *query, int64_t next_us)
{
    struct service_state *s = r->service;
    int64_t by_us =
        req_caller_leaves_us(r) - MAX(SEND_MIN_US, REFUSE_EARLY_US);
    if (!forward_uses_teams(f)) {
        enqueue_waiting(r, next_us);
        return;
    }
    CLEANUP_FREE struct wait_opening *openings =
        mem_calloc(s->endpoints->len + 1, sizeof(*openings));
    if (r->wait.order == 0) {
        by_us -= (int64_t)(WAIT_MARGIN * (double)(by_us - now_us));
    }
    int count = list_openings(s, query, now_us, openings);
    /* While the list is retried, those in it are before this one. */
    int ahead = s->waiting.count;
    if (!s->waiting_retried && ahead > 0) {
        fill_wait_entry(r);
        ahead = wait_list_ahead(&s->waiting, &r->wait, s->share, now_us);
    }
    if (wait_openings_until(openings, count, by_us) <= ahead) {
        f->counters.wait_refusals++;
        int64_t at =
            wait_openings_expected_us(openings, count, s->waiting.count);
        returns_refuse(
            f, now_us, r, ERRKIND_NO_ENDPOINT, NO_ENDPOINT_REFUSAL,
            at == INT64_MAX ? NO_ENDPOINT_RETRY_MS : (at - now_us) / MS, s);
        return;
    }
    enqueue_waiting(r, next_us);
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
        engines_call_started(f, now_us, r, e);
    }
    e->in_flight++;
    endpoint_record_send(e, forward_node_count(f), now_us);
    return_slots_record_taken(f->returns, r->service->hash, now_us);
    team_counts_add(f->team_counts, r->team_hash, r->team, TEAM_SENT);
    team_share_charge(r->service->share, r->team_hash, 1, now_us);
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
        .urgency =
            r->service->info.is_engine ? engines_urgency(f, now_us, r) : -1,
        .resume_after = r->last_event_id,
        .inputs = inputs,
        .input_count = pieces_result_handles(r, inputs, MAX_INPUTS),
        .fresh_connection = !req_is_repeatable(r),
        .timeout_ms = left / MS + 1};
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
        .output_tokens = engines_output_tokens(&r->in),
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
    if (r->service->waiting.count > 0 && !r->service->waiting_retried &&
        r->state != REQ_WAITING && forward_uses_teams(f)) {
        /* The requests that wait already may come first. */
        wait_or_refuse(f, now_us, r, &query, now_us);
        return;
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
        req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT, NO_ENDPOINT_REFUSAL,
                   next == INT64_MAX ? NO_ENDPOINT_RETRY_MS
                                     : (next - now_us) / MS);
        return;
    }
    f->counters.engines_full +=
        query.prompt && r->state != REQ_WAITING &&
        place_engines_full(r->service->endpoints, &query, now_us);
    wait_or_refuse(f, now_us, r, &query, next);
}

void
req_retry_waiting(struct forward *f, int64_t now_us, struct service_state *s)
{
    struct wait_list list = s->waiting;
    if (list.count == 0) {
        return;
    }
    /* Requests that keep waiting are added to a new list. */
    s->waiting = (struct wait_list){.last_order = list.last_order};
    s->waiting_retried = true;
    if (forward_uses_teams(f)) {
        wait_list_sort(&list, s->share, now_us);
    }
    for (int i = 0; i < list.count; i++) {
        struct request *r = list.entries[i]->item;
        r->state = REQ_RUNNING_STAGES;
        req_send_or_wait(f, now_us, r);
    }
    s->waiting_retried = false;
    wait_list_free(&list);
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
