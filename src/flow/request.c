#include "flow/request.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "flow/admit.h"
#include "flow/claim.h"
#include "flow/pool.h"
#include "flow/stage.h"

/* A non-repeatable call that was sent and whose end is never reported is
 * dropped this long after the request's deadline. The HTTP client ends calls
 * at the deadline, so this only bounds memory. */
#define ACTION_LINGER_US (30 * SECOND)
/* Longest wait for the end of claims before a refusal: several message round
 * trips. */
#define CLAIMS_END_WAIT_US (250 * MS)

bool
request_needs_key(const struct request *r)
{
    return r->pipeline->needs_key;
}

void
request_fill_compose_input(const struct request *r, struct compose_input *in)
{
    *in = (struct compose_input){
        .fleet = r->snap->fleet,
        .pipeline = r->pipeline,
        .request = r->body_json,
        .results = r->results,
        .request_id = r->request_id,
        .replayed = r->replayed_stages,
    };
}

static void
emit_refusal(struct flow *f, uint64_t req, enum errkind kind,
             struct str message)
{
    struct flow_action *a = core_add_action(f, FLOW_ACT_REFUSE);
    a->refuse.req = req;
    a->refuse.error = kind;
    a->refuse.message = core_copy_str(f, message);
    /* One second lets the load balancer choose another node, or a queue
     * drain. */
    a->refuse.retry_after_ms = errkind_info(kind)->retry ? 1000 : 0;
    f->refused_counts[kind]++;
}

/* Parses X-Deadline-Ms. @p cap_ms, the pipeline's deadline, is its upper bound
 * and its default. */
static bool
parse_deadline(struct str text, int64_t cap_ms, int64_t *out_us)
{
    int64_t ms = cap_ms;
    if (text.len && (!str_to_i64(text, &ms) || ms <= 0)) {
        return false;
    }
    *out_us = (ms < cap_ms ? ms : cap_ms) * MS;
    return true;
}

static enum errkind
check_request(struct flow *f, const struct flow_request *in, struct request *r,
              const char **detail)
{
    const struct fleet *fleet = f->snap->fleet;
    int t = fleet_authenticate_team(fleet, in->token);
    if (t < 0) {
        return ERRKIND_UNAUTHENTICATED;
    }
    int p = fleet_find_pipeline(fleet, in->pipeline);
    if (p < 0) {
        return ERRKIND_NOT_FOUND;
    }
    r->pipeline = &fleet->pipelines[p];
    const int64_t *settings = r->pipeline->settings;
    if (in->body.len > (size_t)settings[FLEET_MAX_BODY_BYTES]) {
        return ERRKIND_TOO_LARGE;
    }
    if (request_needs_key(r) && !in->key.len) {
        return ERRKIND_KEY_REQUIRED;
    }
    int64_t wait_us;
    if (!parse_deadline(in->deadline, settings[FLEET_DEADLINE_MS], &wait_us)) {
        *detail = "X-Deadline-Ms must be a positive integer";
        return ERRKIND_BAD_REQUEST;
    }
    r->deadline_us = f->now_us + wait_us;
    r->body_json = json_loadb(in->body.len ? in->body.ptr : "", in->body.len,
                              JSON_ALLOW_NUL, NULL);
    if (!json_is_object(r->body_json)) {
        *detail = "the body must be a JSON object";
        return ERRKIND_BAD_REQUEST;
    }
    if (f->draining || !core_is_fresh(f)) {
        *detail = f->draining ? "the node is stopping" : NULL;
        return request_needs_key(r) ? ERRKIND_CLAIM_UNKNOWN
                                    : ERRKIND_NOT_READY;
    }
    r->team = pool_find_or_add_team(f, fleet->teams[t].name);
    r->team_settings = fleet->teams[t].settings;
    return ERRKIND_NONE;
}

void
request_on_arrival(struct flow *f, const struct flow_request *in)
{
    if (map_get(&f->requests, in->req)) {
        return;
    }
    f->counts[COUNT_REQUESTS]++;
    if (!f->snap) {
        /* Without a snapshot it is not known whether the pipeline has a
         * non-repeatable stage. */
        emit_refusal(f, in->req,
                     in->key.len ? ERRKIND_CLAIM_UNKNOWN : ERRKIND_NOT_READY,
                     STR_LIT("no configuration yet"));
        return;
    }
    struct request *r = mem_calloc(1, sizeof(*r));
    const char *detail = NULL;
    enum errkind kind = check_request(f, in, r, &detail);
    if (kind) {
        emit_refusal(
            f, in->req, kind,
            str_from_cstr(detail ? detail : errkind_info(kind)->message));
        json_decref(r->body_json);
        free(r);
        return;
    }
    r->req = in->req;
    r->request_id = str_dup(in->request_id);
    r->snap = snapshot_ref(f->snap);
    r->stream = in->stream;
    r->arrived_us = r->wait_start_us = f->now_us;
    r->tried_zone = -1;
    struct str parts[] = {r->pipeline->name, in->body};
    r->content = digest_compute(parts, 2);
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        int p = r->pipeline->stages[i].pool;
        r->pools[i] = pool_find_or_add(f, r->snap->fleet->pools[p].name);
    }
    map_put(&f->requests, r->req, r);
    timers_add(&f->timers, r->deadline_us, TIMER_DEADLINE, r->req);
    if (request_needs_key(r)) {
        r->state = REQ_OPENING;
        claim_open_all(f, r, in->key);
        return;
    }
    request_admit(f, r);
}

void
request_admit(struct flow *f, struct request *r)
{
    if (r->team->open >= r->team_settings[FLEET_TEAM_MAX_IN_FLIGHT]) {
        request_refuse(f, r, ERRKIND_TEAM_LIMIT, "%d requests are open",
                       r->team->open);
        return;
    }
    r->team->open++;
    r->counted_in_team = true;
    stage_start_next(f, r);
}

/* What is known of a request's non-repeatable stages (its actions). */
struct action_evidence {
    bool may_have_run; /* an action may have been performed */
    bool ran;          /* an action was performed */
    bool all_opened;   /* no earlier attempt has run any action */
};

static struct action_evidence
collect_evidence(const struct request *r)
{
    struct action_evidence e = {.all_opened = true};
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        const struct stage_claim *cl = &r->claims[i];
        switch (cl->step) {
        case CLAIM_STEP_SENT:
            e.may_have_run = true;
            break;
        case CLAIM_STEP_DONE:
            /* 2xx: performed; 4xx: refused by the service; after any other
             * status the action may have been performed or not. */
            if (cl->http_status / 100 == 2) {
                e.ran = true;
            }
            else if (cl->http_status / 100 != 4) {
                e.may_have_run = true;
            }
            break;
        case CLAIM_STEP_OPENING:
        case CLAIM_STEP_ENDED:
            e.all_opened = false;
            break;
        case CLAIM_STEP_ABANDONING:
        case CLAIM_STEP_NONE:
        case CLAIM_STEP_OPENED:
        case CLAIM_STEP_CLAIMING:
        case CLAIM_STEP_GRANTED:
            break;
        }
    }
    return e;
}

/* The error kind that is true for the caller when @p kind happened. */
static enum errkind
refusal_for_caller(const struct request *r, enum errkind kind)
{
    struct action_evidence e = collect_evidence(r);
    if (!request_needs_key(r)) {
        return kind;
    }
    if (e.may_have_run || kind == ERRKIND_OUTCOME_UNKNOWN) {
        return ERRKIND_OUTCOME_UNKNOWN;
    }
    if (e.ran) {
        return kind == ERRKIND_ANSWER_NOT_KEPT ? kind : ERRKIND_ACTION_DONE;
    }
    if (!e.all_opened && errkind_info(kind)->ran == RAN_NOT &&
        kind != ERRKIND_KEY_REUSED) {
        return ERRKIND_CLAIM_UNKNOWN;
    }
    return kind;
}

static bool
action_running(const struct request *r)
{
    return r->calls && !r->pipeline->stages[r->stage].repeatable &&
           r->claims[r->stage].step == CLAIM_STEP_SENT;
}

/* Ends the request unless a sent action or a probe is still awaited. The
 * caller gets nothing more. */
static void
detach(struct flow *f, struct request *r)
{
    r->detached = true;
    if (r->counted_in_team) {
        r->team->open--;
        r->counted_in_team = false;
    }
    if (action_running(r)) {
        timers_add(&f->timers, r->deadline_us + ACTION_LINGER_US,
                   TIMER_DEADLINE, r->req);
        return;
    }
    if (r->state != REQ_PROBING) {
        request_end(f, r);
    }
}

static void
send_refusal(struct flow *f, struct request *r, enum errkind kind,
             struct str detail)
{
    struct buf text = {0};
    buf_printf(&text, "%s: %.*s", errkind_info(kind)->message,
               STR_FMT(detail));
    emit_refusal(f, r->req, kind, buf_str(&text));
    buf_free(&text);
    detach(f, r);
}

/* Abandons the claims of a request that is refused as not run.
 * @return true if request_on_claims_ended sends the refusal later */
static bool
end_claims_first(struct flow *f, struct request *r, enum errkind kind,
                 struct str detail)
{
    if (!request_needs_key(r) || errkind_info(kind)->ran != RAN_NOT ||
        r->state == REQ_PROBING || !claim_abandon_and_check_keys(f, r)) {
        return false;
    }
    request_remove_from_lists(r);
    stage_cancel_calls(f, r);
    if (r->counted_in_team) {
        r->team->open--;
        r->counted_in_team = false;
    }
    r->state = REQ_ENDING_CLAIMS;
    r->refusal_kind = kind;
    r->refusal_detail = str_dup(detail);
    r->wait_end_us = f->now_us + CLAIMS_END_WAIT_US;
    timers_add(&f->timers, r->wait_end_us, TIMER_RETRY, r->req);
    return true;
}

void
request_refuse(struct flow *f, struct request *r, enum errkind kind,
               const char *fmt, ...)
{
    if (r->state == REQ_ENDED || r->state == REQ_ENDING_CLAIMS) {
        return;
    }
    if (r->detached) {
        detach(f, r);
        return;
    }
    enum errkind reported = refusal_for_caller(r, kind);
    char text[200];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    /* The request waits for a probe, which decides about its content; it
     * cannot wait for its claims at the same time. */
    if (r->state == REQ_PROBING && request_needs_key(r) &&
        errkind_info(reported)->ran == RAN_NOT) {
        reported = ERRKIND_CLAIM_UNKNOWN;
    }
    if (!end_claims_first(f, r, reported, str_from_cstr(text))) {
        send_refusal(f, r, reported, str_from_cstr(text));
    }
}

void
request_on_claims_ended(struct flow *f, struct request *r, bool known)
{
    bool keys_free = known && !r->key_taken;
    send_refusal(f, r, keys_free ? r->refusal_kind : ERRKIND_CLAIM_UNKNOWN,
                 r->refusal_detail);
}

void
request_finish(struct flow *f, struct request *r)
{
    if (!r->detached) {
        struct compose_input in;
        request_fill_compose_input(r, &in);
        struct str body = compose_answer(&in);
        struct flow_action *a = core_add_action(f, FLOW_ACT_ANSWER);
        a->answer.req = r->req;
        a->answer.body = core_copy_str(f, body);
        str_free(&body);
        f->counts[COUNT_ANSWERS]++;
    }
    if (suspects_strikes(f->suspects, f->now_us, r->content)) {
        suspects_apply_notice(f->suspects, f->now_us, r->content, 0, 0);
        core_add_control_message(f, CONTROL_REQUEST_SUSPECT)->suspect =
            (struct suspect_notice){.content = r->content};
    }
    request_end(f, r);
}

static void
list_remove(struct request **list, struct request *r)
{
    while (*list && *list != r) {
        list = &(*list)->next;
    }
    if (*list) {
        *list = r->next;
    }
}

void
request_remove_from_lists(struct request *r)
{
    struct pool *p = r->pools[r->stage];
    switch (r->state) {
    case REQ_QUEUED:
        fairq_remove(p->queue, &r->entry);
        break;
    case REQ_READY:
        list_remove(&p->ready, r);
        break;
    case REQ_SUSPECT:
        list_remove(&p->suspects, r);
        break;
    case REQ_PROBING:
        for (struct request **at = &r->probed_endpoint->probe_waiters; *at;
             at = &(*at)->probe_next) {
            if (*at == r) {
                *at = r->probe_next;
                break;
            }
        }
        r->probed_endpoint = NULL;
        break;
    case REQ_OPENING:
    case REQ_CLAIMING:
    case REQ_CALLING:
    case REQ_BACKOFF:
    case REQ_ENDING_CLAIMS:
    case REQ_ENDED:
        break;
    }
}

void
request_end(struct flow *f, struct request *r)
{
    if (r->state == REQ_ENDED) {
        return;
    }
    request_remove_from_lists(r);
    stage_cancel_calls(f, r);
    claim_abandon_unsent(f, r);
    if (r->counted_in_team) {
        r->team->open--;
        r->counted_in_team = false;
    }
    r->state = REQ_ENDED;
    map_remove(&f->requests, r->req);
    r->ended_next = f->ended_requests;
    f->ended_requests = r;
}

void
request_on_caller_gone(struct flow *f, uint64_t req)
{
    struct request *r = map_get(&f->requests, req);
    if (r && !r->detached) {
        detach(f, r);
    }
}

void
request_on_deadline(struct flow *f, uint64_t req)
{
    struct request *r = map_get(&f->requests, req);
    if (!r || f->now_us < r->deadline_us) {
        return;
    }
    if (r->detached) {
        if (f->now_us >= r->deadline_us + ACTION_LINGER_US) {
            request_end(f, r);
        }
        return;
    }
    switch (r->state) {
    case REQ_OPENING:
        request_refuse(f, r, ERRKIND_CLAIM_UNKNOWN, "no answer in time");
        break;
    case REQ_CLAIMING:
        request_refuse(f, r, ERRKIND_STORE_UNAVAILABLE, "no claim in time");
        break;
    case REQ_QUEUED:
    case REQ_READY:
    case REQ_SUSPECT:
    case REQ_CALLING:
    case REQ_BACKOFF:
    case REQ_PROBING:
    case REQ_ENDING_CLAIMS:
    case REQ_ENDED:
        request_refuse(f, r,
                       core_is_fresh(f) || r->state == REQ_CALLING
                           ? ERRKIND_DEADLINE_EXCEEDED
                           : ERRKIND_NOT_READY,
                       "in stage %d", r->stage);
        break;
    }
}

void
request_destroy(struct request *r)
{
    str_free(&r->request_id);
    str_free(&r->call_body);
    str_free(&r->refusal_detail);
    buf_free(&r->text);
    for (int i = 0; i < FLEET_MAX_STAGES; i++) {
        json_decref(r->results[i]);
    }
    json_decref(r->body_json);
    snapshot_unref(r->snap);
    free(r);
}
