#include "flow/request.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "flow/admit.h"
#include "flow/claim.h"
#include "flow/pool.h"
#include "flow/stage.h"

/* A sent non-repeatable call whose end is never reported is dropped this
 * long after the request's deadline. The edge ends calls at the deadline, so
 * this only bounds memory. */
#define LINGER_US (30 * SECOND)
/* Wait for the end of claims before a refusal; several message round trips. */
#define CLOSE_US (250 * MS)

bool
request_keyed(const struct request *r)
{
    return r->pipeline->needs_key;
}

void
request_compose_in(const struct request *r, struct compose_in *in)
{
    *in = (struct compose_in){
        .fleet = r->snap->fleet,
        .pipeline = r->pipeline,
        .request = r->json,
        .results = r->results,
        .request_id = r->request_id,
        .replayed = r->replayed,
    };
}

static void
emit_refusal(struct flow *f, uint64_t req, enum errkind kind,
             struct str message)
{
    struct flow_action *a = core_emit(f, FLOW_ACT_REFUSE);
    a->refuse.req = req;
    a->refuse.error = kind;
    a->refuse.message = core_keep(f, message);
    /* Enough for the load balancer to choose another node, or for a queue
     * to drain. */
    a->refuse.retry_after_ms = errkind_info(kind)->retry ? 1000 : 0;
    f->refused[kind]++;
}

/* Parses X-Deadline-Ms; the pipeline's default caps it. */
static bool
deadline_of(struct str text, int64_t cap_ms, int64_t *out_us)
{
    int64_t ms = cap_ms;
    if (text.len && (!str_to_i64(text, &ms) || ms <= 0)) {
        return false;
    }
    *out_us = (ms < cap_ms ? ms : cap_ms) * MS;
    return true;
}

static enum errkind
check(struct flow *f, const struct flow_request *in, struct request *r,
      const char **why)
{
    const struct fleet *fleet = f->snap->fleet;
    int t = fleet_team_auth(fleet, in->token);
    if (t < 0) {
        return ERRKIND_UNAUTHENTICATED;
    }
    int p = fleet_pipeline_find(fleet, in->pipeline);
    if (p < 0) {
        return ERRKIND_NOT_FOUND;
    }
    r->pipeline = &fleet->pipelines[p];
    const int64_t *settings = r->pipeline->settings;
    if (in->body.len > (size_t)settings[FLEET_MAX_BODY_BYTES]) {
        return ERRKIND_TOO_LARGE;
    }
    if (request_keyed(r) && !in->key.len) {
        return ERRKIND_KEY_REQUIRED;
    }
    int64_t wait_us;
    if (!deadline_of(in->deadline, settings[FLEET_DEADLINE_MS], &wait_us)) {
        *why = "X-Deadline-Ms must be a positive integer";
        return ERRKIND_BAD_REQUEST;
    }
    r->deadline_us = f->now_us + wait_us;
    r->json = json_loadb(in->body.len ? in->body.ptr : "", in->body.len,
                         JSON_ALLOW_NUL, NULL);
    if (!json_is_object(r->json)) {
        *why = "the body must be a JSON object";
        return ERRKIND_BAD_REQUEST;
    }
    if (f->draining || !core_fresh(f)) {
        *why = f->draining ? "the node is stopping" : NULL;
        return request_keyed(r) ? ERRKIND_CLAIM_UNKNOWN : ERRKIND_NOT_READY;
    }
    r->team = pool_team(f, fleet->teams[t].name);
    r->team_settings = fleet->teams[t].settings;
    return ERRKIND_NONE;
}

void
request_arrive(struct flow *f, const struct flow_request *in)
{
    if (map_get(&f->requests, in->req)) {
        return;
    }
    f->counts[COUNT_REQUESTS]++;
    if (!f->snap) {
        /* Whether the pipeline has an action is not known here. */
        emit_refusal(f, in->req,
                     in->key.len ? ERRKIND_CLAIM_UNKNOWN : ERRKIND_NOT_READY,
                     STR_LIT("no configuration yet"));
        return;
    }
    struct request *r = mem_zero(1, sizeof(*r));
    const char *why = NULL;
    enum errkind kind = check(f, in, r, &why);
    if (kind) {
        emit_refusal(f, in->req, kind,
                     str_from(why ? why : errkind_info(kind)->message));
        json_decref(r->json);
        free(r);
        return;
    }
    r->req = in->req;
    r->request_id = str_dup(in->request_id);
    r->snap = snapshot_ref(f->snap);
    r->stream = in->stream;
    r->arrived_us = r->stage_us = f->now_us;
    r->tried_zone = -1;
    struct str parts[] = {r->pipeline->name, in->body};
    r->content = digest_of(parts, 2);
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        int p = r->pipeline->stages[i].pool;
        r->pools[i] = pool_get(f, r->snap->fleet->pools[p].name);
    }
    map_put(&f->requests, r->req, r);
    timers_add(&f->timers, r->deadline_us, TIMER_DEADLINE, r->req);
    if (request_keyed(r)) {
        r->state = REQ_OPENING;
        claim_open(f, r, in->key);
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
    r->counted = true;
    stage_begin(f, r);
}

/* What is known of the request's actions, as evidence for `ran`. */
struct evidence {
    bool maybe;  /* an action may have been performed */
    bool ran;    /* an action was performed */
    bool opened; /* no earlier attempt has run any of them */
};

static struct evidence
weigh(const struct request *r)
{
    struct evidence e = {.opened = true};
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        const struct stage_claim *cl = &r->claims[i];
        switch (cl->step) {
        case CLAIM_STEP_SENT:
            e.maybe = true;
            break;
        case CLAIM_STEP_DONE:
            /* 2xx: performed; 4xx: refused by the service; others tell
             * nothing of the action. */
            if (cl->http_status / 100 == 2) {
                e.ran = true;
            }
            else if (cl->http_status / 100 != 4) {
                e.maybe = true;
            }
            break;
        case CLAIM_STEP_OPENING:
        case CLAIM_STEP_CLOSED:
            e.opened = false;
            break;
        case CLAIM_STEP_CLOSING:
        case CLAIM_STEP_NONE:
        case CLAIM_STEP_OPENED:
        case CLAIM_STEP_CLAIMING:
        case CLAIM_STEP_GRANTED:
            break;
        }
    }
    return e;
}

static enum errkind
truthful(const struct request *r, enum errkind kind)
{
    struct evidence e = weigh(r);
    if (!request_keyed(r)) {
        return kind;
    }
    if (e.maybe || kind == ERRKIND_OUTCOME_UNKNOWN) {
        return ERRKIND_OUTCOME_UNKNOWN;
    }
    if (e.ran) {
        return kind == ERRKIND_ANSWER_NOT_KEPT ? kind : ERRKIND_ACTION_DONE;
    }
    if (!e.opened && errkind_info(kind)->ran == RAN_NOT &&
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

/* The caller needs nothing more. */
static void
detach(struct flow *f, struct request *r)
{
    r->detached = true;
    if (r->counted) {
        r->team->open--;
        r->counted = false;
    }
    if (action_running(r)) {
        timers_add(&f->timers, r->deadline_us + LINGER_US, TIMER_DEADLINE,
                   r->req);
        return;
    }
    if (r->state != REQ_PROBING) {
        request_end(f, r);
    }
}

static void
tell(struct flow *f, struct request *r, enum errkind kind, struct str detail)
{
    struct buf text = {0};
    buf_printf(&text, "%s: %.*s", errkind_info(kind)->message,
               STR_FMT(detail));
    emit_refusal(f, r->req, kind, buf_str(&text));
    buf_free(&text);
    detach(f, r);
}

/* @return true if the caller is told later, by request_closed */
static bool
close_first(struct flow *f, struct request *r, enum errkind kind,
            struct str detail)
{
    if (!request_keyed(r) || errkind_info(kind)->ran != RAN_NOT ||
        r->state == REQ_PROBING || !claim_check_free(f, r)) {
        return false;
    }
    request_unlink(r);
    stage_cancel_all(f, r);
    if (r->counted) {
        r->team->open--;
        r->counted = false;
    }
    r->state = REQ_CLOSING;
    r->refusal = kind;
    r->refusal_text = str_dup(detail);
    r->retry_us = f->now_us + CLOSE_US;
    timers_add(&f->timers, r->retry_us, TIMER_RETRY, r->req);
    return true;
}

void
request_refuse(struct flow *f, struct request *r, enum errkind kind,
               const char *fmt, ...)
{
    if (r->state == REQ_OVER || r->state == REQ_CLOSING) {
        return;
    }
    if (r->detached) {
        detach(f, r);
        return;
    }
    enum errkind told = truthful(r, kind);
    char text[200];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    /* A verdict on its content is due: it cannot wait for its claims too. */
    if (r->state == REQ_PROBING && request_keyed(r) &&
        errkind_info(told)->ran == RAN_NOT) {
        told = ERRKIND_CLAIM_UNKNOWN;
    }
    if (!close_first(f, r, told, str_from(text))) {
        tell(f, r, told, str_from(text));
    }
}

void
request_closed(struct flow *f, struct request *r, bool known)
{
    bool free = known && !r->key_taken;
    tell(f, r, free ? r->refusal : ERRKIND_CLAIM_UNKNOWN, r->refusal_text);
}

void
request_finish(struct flow *f, struct request *r)
{
    if (!r->detached) {
        struct compose_in in;
        request_compose_in(r, &in);
        struct str body = compose_answer(&in);
        struct flow_action *a = core_emit(f, FLOW_ACT_ANSWER);
        a->answer.req = r->req;
        a->answer.body = core_keep(f, body);
        str_free(&body);
        f->counts[COUNT_ANSWERS]++;
    }
    if (suspects_get(f->suspects, f->now_us, r->content)) {
        suspects_set(f->suspects, f->now_us, r->content, 0, 0);
        core_ask(f, ASK_SUSPECT)->suspect =
            (struct suspect_notice){.content = r->content};
    }
    request_end(f, r);
}

static void
list_del(struct request **list, struct request *r)
{
    while (*list && *list != r) {
        list = &(*list)->next;
    }
    if (*list) {
        *list = r->next;
    }
}

void
request_unlink(struct request *r)
{
    struct pool *p = r->pools[r->stage];
    switch (r->state) {
    case REQ_QUEUED:
        fairq_remove(p->queue, &r->entry);
        break;
    case REQ_READY:
        list_del(&p->ready, r);
        break;
    case REQ_ALONE:
        list_del(&p->suspects, r);
        break;
    case REQ_PROBING:
        for (struct request **at = &r->lost->waiting; *at;
             at = &(*at)->probe_next) {
            if (*at == r) {
                *at = r->probe_next;
                break;
            }
        }
        r->lost = NULL;
        break;
    case REQ_OPENING:
    case REQ_CLAIMING:
    case REQ_CALLING:
    case REQ_BACKOFF:
    case REQ_CLOSING:
    case REQ_OVER:
        break;
    }
}

void
request_end(struct flow *f, struct request *r)
{
    if (r->state == REQ_OVER) {
        return;
    }
    request_unlink(r);
    stage_cancel_all(f, r);
    claim_close(f, r);
    if (r->counted) {
        r->team->open--;
        r->counted = false;
    }
    r->state = REQ_OVER;
    map_del(&f->requests, r->req);
    r->dead_next = f->dead;
    f->dead = r;
}

void
request_caller_gone(struct flow *f, uint64_t req)
{
    struct request *r = map_get(&f->requests, req);
    if (r && !r->detached) {
        detach(f, r);
    }
}

void
request_deadline(struct flow *f, uint64_t req)
{
    struct request *r = map_get(&f->requests, req);
    if (!r || f->now_us < r->deadline_us) {
        return;
    }
    if (r->detached) {
        if (f->now_us >= r->deadline_us + LINGER_US) {
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
    case REQ_ALONE:
    case REQ_CALLING:
    case REQ_BACKOFF:
    case REQ_PROBING:
    case REQ_CLOSING:
    case REQ_OVER:
        request_refuse(f, r,
                       core_fresh(f) || r->state == REQ_CALLING
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
    str_free(&r->refusal_text);
    buf_free(&r->text);
    for (int i = 0; i < FLEET_MAX_STAGES; i++) {
        json_decref(r->results[i]);
    }
    json_decref(r->json);
    snapshot_unref(r->snap);
    free(r);
}
