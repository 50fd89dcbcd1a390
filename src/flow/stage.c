#include "flow/stage.h"

#include "flow/admit.h"
#include "flow/call.h"
#include "flow/claim.h"
#include "flow/credit.h"
#include "flow/health.h"
#include "flow/pool.h"
#include "flow/request.h"
#include "flow/silence.h"

/* One request in this many requests a credit although warm endpoints have
 * room, so that cold endpoints warm up before they are needed. */
#define WARM_UP_ONE_IN 8

/* While other requests wait, a request must be able to meet its deadline with
 * the stage time at this quantile; otherwise it is refused. */
#define BUSY_QUANTILE 0.95

#define REQUEST_OF(e)                                                         \
    ((struct request *)((char *)(e)-offsetof(struct request, entry)))

static const struct fleet_stage *
current_stage(const struct request *r)
{
    return &r->pipeline->stages[r->stage];
}

/* True once a non-repeatable stage was claimed: from then on the request is
 * no longer refused because of an estimate. */
static bool
has_claimed_action(const struct request *r)
{
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        enum claim_step s = r->claims[i].step;
        if (s == CLAIM_STEP_GRANTED || s == CLAIM_STEP_SENT ||
            s == CLAIM_STEP_DONE) {
            return true;
        }
    }
    return false;
}

/* Repeats the checks whose result may change while a request waits.
 * @p need_us: estimate of the time to its end. @return false if the request
 * was refused */
static bool
check_can_continue(struct flow *f, struct request *r, int64_t need_us)
{
    if (f->now_us >= r->deadline_us) {
        request_refuse(f, r, ERRKIND_DEADLINE_EXCEEDED, "in stage %d",
                       r->stage);
        return false;
    }
    if (!f->full_policy) {
        return true;
    }
    if (suspects_strikes(f->suspects, f->now_us, r->content) >=
        SUSPECT_QUARANTINE_STRIKES) {
        request_refuse(f, r, ERRKIND_QUARANTINED, "try another content");
        return false;
    }
    if (!has_claimed_action(r) && !admit_can_meet_deadline(f, r, need_us)) {
        request_refuse(f, r, ERRKIND_DEADLINE_UNMEETABLE,
                       "needs about %lld ms", (long long)(need_us / MS));
        return false;
    }
    return true;
}

static void
list_append(struct request **list, struct request *r)
{
    while (*list) {
        list = &(*list)->next;
    }
    r->next = NULL;
    *list = r;
}

static void
enqueue(struct flow *f, struct request *r, int64_t need_us)
{
    struct pool *p = r->pools[r->stage];
    r->entry = (struct fairq_entry){
        .team = r->team->id,
        .weight = r->team_settings[FLEET_TEAM_WEIGHT],
        .cost_us = admit_stage_service_us(f, r, r->stage, 0.5),
        .need_us = need_us,
        .deadline_us = r->deadline_us,
        .class = r->pipeline->class,
    };
    r->state = REQ_QUEUED;
    r->wait_start_us = f->now_us;
    struct fairq_entry *out = fairq_push(p->queue, f->now_us, &r->entry);
    pool_schedule_dispatch(f, p);
    if (f->full_policy && rng_below(&f->rng, WARM_UP_ONE_IN) == 0) {
        credit_request_for_queue(f, p, 1);
    }
    if (out) {
        request_refuse(f, REQUEST_OF(out), ERRKIND_OVERLOADED, "pool %.*s",
                       STR_FMT(p->name));
    }
}

void
stage_start_next(struct flow *f, struct request *r)
{
    int next = 0;
    while (next < r->pipeline->stage_count && r->results[next]) {
        next++;
    }
    if (next == r->pipeline->stage_count) {
        request_finish(f, r);
        return;
    }
    if (r->detached) {
        request_end(f, r);
        return;
    }
    r->stage = next;
    r->calls_sent = r->calls_unsent = r->tried_count = r->tokens = 0;
    r->tried_zone = -1;
    buf_clear(&r->text);
    struct compose_input in;
    request_fill_compose_input(r, &in);
    str_free(&r->call_body);
    r->call_body = compose_call_body(&in, next, 0);
    r->prefix = compose_prompt_hash(&in, next);
    struct pool *p = r->pools[next];
    if (pool_usable_count(p) == 0) {
        request_refuse(f, r, ERRKIND_NO_ENDPOINT, "pool %.*s",
                       STR_FMT(p->name));
        return;
    }
    int64_t need_us = f->full_policy ? admit_remaining_us(f, r) : 0;
    if (!check_can_continue(f, r, need_us)) {
        return;
    }
    retry_budget_earn(&p->retries, p->settings[FLEET_RETRY_BUDGET_PCT]);
    retry_budget_earn(&p->hedges, p->settings[FLEET_HEDGE_BUDGET_PCT]);
    retry_budget_earn(&r->team->retries, p->settings[FLEET_RETRY_BUDGET_PCT]);
    retry_budget_earn(&r->team->hedges, p->settings[FLEET_HEDGE_BUDGET_PCT]);
    bool suspect = f->full_policy &&
                   suspects_strikes(f->suspects, f->now_us, r->content) > 0;
    if (suspect && current_stage(r)->repeatable) {
        stage_make_ready(f, r);
        return;
    }
    enqueue(f, r, need_us);
}

void
stage_make_ready(struct flow *f, struct request *r)
{
    struct pool *p = r->pools[r->stage];
    r->state = REQ_OPENING; /* a state in which it is in no list */
    int64_t need_us =
        f->full_policy ? admit_stage_service_us(f, r, r->stage, 0.5) : 0;
    if (!check_can_continue(f, r, need_us)) {
        return;
    }
    bool suspect = f->full_policy &&
                   suspects_strikes(f->suspects, f->now_us, r->content) > 0;
    r->state = suspect ? REQ_SUSPECT : REQ_READY;
    r->wait_start_us = f->now_us;
    list_append(suspect ? &p->suspects : &p->ready, r);
    pool_schedule_dispatch(f, p);
}

static struct str
build_url(struct flow *f, const struct endpoint *ep, const struct request *r)
{
    struct buf b = {0};
    buf_append_str(&b, ep->url);
    buf_append_str(&b, current_stage(r)->path);
    struct str url = core_copy_str(f, buf_str(&b));
    buf_free(&b);
    return url;
}

static struct str
build_body(struct flow *f, const struct request *r)
{
    if (current_stage(r)->kind != STAGE_GENERATE || r->tokens == 0) {
        /* A copy, because a hedge that loses within the same step is still
         * in the actions after r->call_body was freed. */
        return core_copy_str(f, r->call_body);
    }
    struct compose_input in;
    request_fill_compose_input(r, &in);
    struct str s = compose_call_body(&in, r->stage, r->tokens);
    struct str kept = core_copy_str(f, s);
    str_free(&s);
    return kept;
}

static void
arm_call_timers(struct flow *f, const struct request *r, struct call *c,
                bool fresh)
{
    struct pool *p = c->ep->pool;
    if (!f->full_policy) {
        return;
    }
    int64_t left_us = r->deadline_us - f->now_us;
    c->silence_us =
        silence_timeout_us(&p->estimate, false,
                           p->settings[FLEET_SILENCE_FLOOR_MS] * MS, left_us);
    if (fresh && !estimate_has_enough_samples(&p->estimate.first)) {
        /* A connection opened for this call is not stale, and the service
         * time is unknown: a slow answer must not be abandoned again. */
        c->silence_us = left_us;
    }
    call_arm_silence_timer(f, c, f->now_us + c->silence_us);
    int64_t p95 = estimate_quantile_or(&p->estimate.first, 0.95, -1);
    if (p95 > 0 && !c->hedge && !c->runs_alone &&
        current_stage(r)->repeatable) {
        timers_add(&f->timers, f->now_us + p95, TIMER_HEDGE, c->attempt);
    }
}

bool
stage_send_call(struct flow *f, struct request *r, struct endpoint *ep,
                bool hedge)
{
    const struct fleet_stage *s = current_stage(r);
    struct credit *credit = NULL;
    if (f->full_policy && ep->cold && !(credit = credit_take(f, ep))) {
        return false;
    }
    struct call *c = mem_calloc(1, sizeof(*c));
    c->attempt = core_next_seq(f);
    c->r = r;
    c->ep = ep;
    c->credit = credit;
    c->stage = r->stage;
    c->hedge = hedge;
    c->runs_alone = r->state == REQ_SUSPECT;
    c->start_us = c->last_byte_us = f->now_us;
    c->resume_from = r->tokens;
    c->next_index = -1;
    c->text_pos = r->text.len;
    c->next = r->calls;
    r->calls = c;
    map_put(&f->calls, c->attempt, c);
    ep->in_flight++;
    if (c->runs_alone) {
        ep->runs_suspect = true;
        ep->reserved_for_suspect = false;
    }
    if (credit) {
        core_add_span(f, r, "credit", r->stage, c, credit_requested_us(credit),
                      "granted");
    }
    if (!hedge) {
        core_add_span(f, r, "queue", r->stage, c, r->wait_start_us, "ok");
    }
    r->state = REQ_CALLING;
    r->calls_sent++;
    if (!s->repeatable) {
        r->claims[r->stage].step = CLAIM_STEP_SENT;
    }
    struct flow_action *a = core_add_action(f, FLOW_ACT_CALL);
    a->call.req = r->req;
    a->call.attempt = c->attempt;
    a->call.stage = r->stage;
    a->call.request_id = r->request_id;
    a->call.stage_name = s->name;
    a->call.endpoint = ep->id;
    a->call.deadline_us = r->deadline_us;
    a->call.stream = s->kind == STAGE_GENERATE;
    a->call.fresh_connection = r->fresh_connection;
    a->call.check_deadline_at_send = !s->repeatable;
    struct str url = build_url(f, ep, r);
    struct str body = build_body(f, r);
    a->call.url = url;
    a->call.body = body;
    arm_call_timers(f, r, c, r->fresh_connection);
    r->fresh_connection = false;
    health_probe_if_stale(f, ep);
    return true;
}

/* Refuses all waiting requests of a pool without usable endpoints. */
static void
refuse_waiting(struct flow *f, struct pool *p)
{
    struct request *r;
    while ((r = p->suspects ? p->suspects : p->ready)) {
        request_refuse(f, r, ERRKIND_NO_ENDPOINT, "pool %.*s",
                       STR_FMT(p->name));
    }
    struct fairq_entry *e;
    while ((e = fairq_peek(p->queue, f->now_us))) {
        request_refuse(f, REQUEST_OF(e), ERRKIND_NO_ENDPOINT, "pool %.*s",
                       STR_FMT(p->name));
    }
}

/* Sends the requests of a list that find an endpoint; the others stay in
 * order. @return the number that stay */
static int
dispatch_list(struct flow *f, struct pool *p, struct request **list, bool idle)
{
    int waiting = 0;
    struct request *r = *list;
    *list = NULL;
    while (r) {
        struct request *next = r->next;
        struct endpoint *ep = pool_choose_endpoint(f, p, r, idle);
        if (!ep || !stage_send_call(f, r, ep, false)) {
            list_append(list, r);
            waiting++;
        }
        r = next;
    }
    return waiting;
}

static void
dispatch_queue(struct flow *f, struct pool *p)
{
    struct fairq_entry *e;
    while ((e = fairq_peek(p->queue, f->now_us))) {
        struct request *r = REQUEST_OF(e);
        int64_t need_us = e->cost_us;
        if (f->full_policy && fairq_length(p->queue) > 1) {
            need_us = admit_stage_service_us(f, r, r->stage, BUSY_QUANTILE) +
                      admit_later_stages_us(f, r);
        }
        if (!check_can_continue(f, r, need_us)) {
            continue;
        }
        struct endpoint *ep = pool_choose_endpoint(f, p, r, false);
        if (!ep) {
            return;
        }
        fairq_remove(p->queue, e);
        fairq_count_served(p->queue, e);
        if (!current_stage(r)->repeatable) {
            claim_request_grant(f, r);
            continue;
        }
        if (!stage_send_call(f, r, ep, false)) {
            stage_make_ready(f, r);
            return;
        }
    }
}

void
stage_dispatch(struct flow *f, struct pool *p)
{
    bool has_work = p->suspects || p->ready || fairq_length(p->queue) > 0;
    if (!p->suspects) {
        for (int i = 0; i < p->count; i++) {
            p->endpoints[i]->reserved_for_suspect = false;
        }
    }
    if (!has_work || !core_is_fresh(f)) {
        return;
    }
    if (pool_usable_count(p) == 0) {
        refuse_waiting(f, p);
        return;
    }
    int waiting = dispatch_list(f, p, &p->suspects, true);
    waiting += dispatch_list(f, p, &p->ready, false);
    dispatch_queue(f, p);
    waiting += fairq_length(p->queue);
    if (f->full_policy && waiting > 0) {
        credit_request_for_queue(f, p, waiting);
    }
}

void
stage_on_timer(struct flow *f, uint64_t req)
{
    struct request *r = map_get(&f->requests, req);
    if (!r || f->now_us < r->wait_end_us) {
        return;
    }
    if (r->state == REQ_BACKOFF) {
        stage_make_ready(f, r);
    }
    else if (r->state == REQ_PROBING) {
        request_remove_from_lists(r);
        call_on_crash_probe(f, r, true);
    }
    else if (r->state == REQ_ENDING_CLAIMS) {
        request_on_claims_ended(f, r, false);
    }
}

void
stage_refuse_status(struct flow *f, struct request *r, int stage,
                    int http_status)
{
    struct str name = r->pipeline->stages[stage].name;
    bool rejected = http_status / 100 == 4;
    bool action = !r->pipeline->stages[stage].repeatable;
    request_refuse(f, r,
                   rejected ? ERRKIND_UPSTREAM_REJECTED
                   : action ? ERRKIND_OUTCOME_UNKNOWN
                            : ERRKIND_UPSTREAM_FAILED,
                   "stage %.*s answered %d", STR_FMT(name), http_status);
}

void
stage_cancel_calls(struct flow *f, struct request *r)
{
    while (r->calls) {
        call_cancel(f, r->calls, "cancelled");
    }
}
