#include "bench/world_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A call with a crash marker crashes the endpoint this long after it has
 * started. */
#define CRASH_AFTER_US 2000
#define CRASH_RESTART_US 2000000

/* Returns the number of the first marker, which is a number between two
 * marker letters, for example q17q; 0 if there is none. */
static uint64_t
find_marker(struct str body, char letter)
{
    for (size_t i = 0; i + 2 < body.len; i++) {
        if (body.ptr[i] != letter || body.ptr[i + 1] < '0' ||
            body.ptr[i + 1] > '9') {
            continue;
        }
        uint64_t v = 0;
        size_t k = i + 1;
        while (k < body.len && body.ptr[k] >= '0' && body.ptr[k] <= '9') {
            v = v * 10 + (uint64_t)(body.ptr[k++] - '0');
        }
        if (k < body.len && body.ptr[k] == letter) {
            return v;
        }
    }
    return 0;
}

/* Returns the integer after a JSON name; 0 if the name does not occur. */
static int
number(struct str body, const char *name)
{
    const char *at = memmem(body.ptr, body.len, name, strlen(name));
    return at ? atoi(at + strlen(name)) : 0;
}

static int
find_endpoint(const struct world *w, struct str id)
{
    for (int i = 0; i < w->endpoint_count; i++) {
        if (str_eq_cstr(id, w->endpoints[i].id)) {
            return i;
        }
    }
    return -1;
}

static int64_t
call_one_way_us(const struct world *w, const struct call *c)
{
    return world_one_way_us(w, world_node_zone(w, c->node),
                            w->endpoints[c->endpoint].zone);
}

static void
report(const struct world *w, int ep, struct delivery *d,
       struct endpoint_report *r)
{
    const struct world_endpoint *e = &w->endpoints[ep];
    snprintf(d->start_id, sizeof(d->start_id), "%s-%d", e->id, e->start_count);
    *r = (struct endpoint_report){.start_id = str_from_cstr(d->start_id),
                                  .has_load = true,
                                  .in_flight = e->running,
                                  .queued = e->queued,
                                  .cold = e->cold,
                                  .leaving = e->leaving &&
                                             w->options.mutation !=
                                                 WORLD_MUT_KEEP_LEAVING};
}

static void
deliver(struct world *w, uint64_t id, struct delivery *d, int64_t after)
{
    world_schedule_event(w,
                         w->now_us + call_one_way_us(w, &w->calls[id]) + after,
                         EV_CALL_DELIVER, w->calls[id].node, id, d);
}

static void
fail(struct world *w, uint64_t id, enum call_fault fault, bool unsent)
{
    struct call *c = &w->calls[id];
    struct delivery *d = mem_calloc(1, sizeof(*d));
    d->ev.kind = FLOW_EV_CALL_FAILED;
    d->ev.call_failed.attempt = c->attempt;
    d->ev.call_failed.fault = fault;
    d->ev.call_failed.unsent = unsent;
    deliver(w, id, d, 0);
}

static double
service_time_factor(struct world *w, const struct world_endpoint *e)
{
    double f = e->slow * (0.8 + 0.4 * rng_uniform(&w->rng));
    return e->cold ? f * e->model.cold_factor : f;
}

static void
count_action_run(struct world *w, uint64_t action)
{
    if (action >= w->action_cap) {
        uint64_t cap = action * 2 + 64;
        w->action_runs = mem_realloc(w->action_runs, cap, sizeof(int));
        memset(w->action_runs + w->action_cap, 0,
               (cap - w->action_cap) * sizeof(int));
        w->action_cap = cap;
    }
    w->action_runs[action]++;
}

static void
begin(struct world *w, uint64_t id)
{
    struct call *c = &w->calls[id];
    struct world_endpoint *e = &w->endpoints[c->endpoint];
    c->state = CALL_RUNNING;
    c->endpoint_start = e->start_count;
    e->running++;
    if (c->kind == STAGE_SERVICE && c->action) {
        count_action_run(w, c->action);
    }
    if (c->crashes_endpoint && c->kind != STAGE_SERVICE) {
        world_schedule_event(w, w->now_us + CRASH_AFTER_US, EV_CRASH,
                             c->endpoint, (uint64_t)e->start_count, NULL);
    }
    double f = service_time_factor(w, e);
    int64_t work = (int64_t)((double)e->model.base_us * f);
    if (c->kind == STAGE_GENERATE) {
        int64_t step = (int64_t)((double)e->model.token_us * f);
        int n = c->tokens - c->resume_from;
        for (int i = 0; i < n; i++) {
            world_schedule_event(w, w->now_us + work + step * i, EV_CALL_TOKEN,
                                 c->resume_from + i, id, NULL);
        }
        work += step * (n > 0 ? n : 0);
    }
    e->busy_us += work;
    world_schedule_event(w, w->now_us + work, EV_CALL_FINISH, c->endpoint, id,
                         NULL);
}

static void
enqueue(struct world *w, uint64_t id)
{
    struct call *c = &w->calls[id];
    int ep = c->endpoint;
    c->state = CALL_QUEUED;
    c->next_queued = NO_CALL;
    if (w->endpoints[ep].queued++ == 0 || w->queue_head[ep] == NO_CALL) {
        w->queue_head[ep] = id;
    }
    else {
        w->calls[w->queue_tail[ep]].next_queued = id;
    }
    w->queue_tail[ep] = id;
}

/* Skips the calls that were cancelled while queued. */
static void
start_queued(struct world *w, int ep)
{
    struct world_endpoint *e = &w->endpoints[ep];
    while (w->queue_head[ep] != NO_CALL && e->running < e->model.slots) {
        uint64_t id = w->queue_head[ep];
        w->queue_head[ep] = w->calls[id].next_queued;
        if (w->calls[id].state == CALL_QUEUED) {
            e->queued--;
            begin(w, id);
        }
    }
}

static void
crash(struct world *w, int ep)
{
    struct world_endpoint *e = &w->endpoints[ep];
    e->crashes++;
    world_kill_endpoint(w, ep, CRASH_RESTART_US);
}

static void
accept_call(struct world *w, uint64_t id)
{
    struct call *c = &w->calls[id];
    struct world_endpoint *e = &w->endpoints[c->endpoint];
    e->calls++;
    w->totals.calls++;
    int load = e->running + e->queued;
    if (e->cold && load >= e->model.cold_slots) {
        e->cold_overloads++;
        if (load >= 3 * e->model.cold_slots) {
            crash(w, c->endpoint);
            fail(w, id, CALL_RESET, false);
            c->state = CALL_FINISHED;
            return;
        }
    }
    if (e->running < e->model.slots) {
        begin(w, id);
        return;
    }
    enqueue(w, id);
}

static void
receive_call(struct world *w, uint64_t id)
{
    struct call *c = &w->calls[id];
    struct world_endpoint *e = &w->endpoints[c->endpoint];
    if (e->dead) {
        c->state = CALL_FINISHED;
        fail(w, id, CALL_REFUSED, true);
        return;
    }
    struct world_call_info info = {w->now_us, c->node,    c->endpoint,
                                   c->stage,  c->request, c->attempt,
                                   c->action};
    if (w->call_observer) {
        w->call_observer(w->call_observer_ctx, &info);
    }
    if (c->cancelled && c->kind != STAGE_SERVICE) {
        /* The connection was closed while the call was on its way. */
        c->state = CALL_FINISHED;
        return;
    }
    if (e->hung_nodes & (1ULL << c->node)) {
        if (!c->new_connection) {
            return; /* no answer is sent; the deadline ends the call */
        }
        /* A new connection works and replaces the hung connections. */
        e->hung_nodes &= ~(1ULL << c->node);
    }
    accept_call(w, id);
}

static struct str
body_of(const struct call *c)
{
    struct buf b = {0};
    unsigned long long q = c->content;
    switch (c->kind) {
    case STAGE_ENCODE:
        buf_printf(&b, "{\"data\":[{\"embedding\":[%llu,1]}]}", q);
        break;
    case STAGE_RETRIEVE:
        buf_printf(&b, "{\"documents\":[{\"text\":\"doc q%lluq\"}]}", q);
        break;
    case STAGE_RERANK:
        buf_printf(&b, "{\"results\":[{\"index\":0}]}");
        break;
    case STAGE_GENERATE:
        break;
    case STAGE_SERVICE:
    case STAGE_KIND_COUNT:
        buf_printf(&b, "{\"record\":\"q%lluq\"}", q);
        break;
    }
    return buf_take_str(&b);
}

/* Applies one of the active answer faults at random. @return true if the call
 * was failed */
static bool
inject_answer_fault(struct world *w, uint64_t id)
{
    double u = rng_uniform(&w->rng);
    if (u < w->faults.truncated_share) {
        fail(w, id, CALL_TRUNCATED, false);
        return true;
    }
    if (u < w->faults.truncated_share + w->faults.crossed_share) {
        if (w->options.mutation == WORLD_MUT_SWAP_ANSWERS) {
            w->calls[id].content += 1;
            return false;
        }
        fail(w, id, CALL_CROSSED, false);
        return true;
    }
    return false;
}

static struct delivery *
new_done_event(struct world *w, const struct call *c)
{
    struct delivery *d = mem_calloc(1, sizeof(*d));
    d->ev.kind = FLOW_EV_CALL_DONE;
    d->ev.call_done.attempt = c->attempt;
    d->ev.call_done.http_status = 200;
    d->text = body_of(c);
    d->ev.call_done.body = d->text;
    report(w, c->endpoint, d, &d->ev.call_done.report);
    return d;
}

static void
finish(struct world *w, uint64_t id)
{
    struct call *c = &w->calls[id];
    struct world_endpoint *e = &w->endpoints[c->endpoint];
    if (c->state != CALL_RUNNING || c->endpoint_start != e->start_count) {
        return;
    }
    c->state = CALL_FINISHED;
    e->running--;
    e->answers++;
    if (e->cold && e->answers >= e->model.warm_after_answers) {
        e->cold = false;
    }
    if (!inject_answer_fault(w, id)) {
        int64_t delay_us = rng_uniform(&w->rng) < w->faults.delayed_share
                               ? (int64_t)20000000
                               : 0;
        deliver(w, id, new_done_event(w, c), delay_us);
        if (rng_uniform(&w->rng) < w->faults.duplicated_share) {
            deliver(w, id, new_done_event(w, c), 500);
        }
    }
    start_queued(w, c->endpoint);
}

static void
token(struct world *w, const struct event *e)
{
    struct call *c = &w->calls[e->id];
    if (c->state != CALL_RUNNING ||
        c->endpoint_start != w->endpoints[c->endpoint].start_count ||
        c->cancelled) {
        return;
    }
    struct delivery *d = mem_calloc(1, sizeof(*d));
    struct buf b = {0};
    if (e->index == 0) {
        buf_printf(&b, "q%lluq", (unsigned long long)c->content);
    }
    else {
        buf_printf(&b, " t%d", e->index);
    }
    d->text = buf_take_str(&b);
    d->ev.kind = FLOW_EV_CALL_TOKEN;
    d->ev.call_token.attempt = c->attempt;
    d->ev.call_token.index = e->index;
    d->ev.call_token.text = d->text;
    deliver(w, e->id, d, 0);
}

static void
deliver_to_node(struct world *w, const struct event *e)
{
    struct delivery *d = e->data;
    struct call *c = &w->calls[e->id];
    bool end = d->ev.kind != FLOW_EV_CALL_TOKEN;
    /* The connection of a cancelled call is closed, so none of its answer
     * arrives; duplicate and delayed answers of finished calls do arrive. */
    if (w->nodes[e->index].up &&
        w->nodes[e->index].incarnation == c->incarnation && !c->cancelled) {
        c->delivered |= end;
        node_handle_flow_event(w, e->index, &d->ev);
    }
    str_free(&d->text);
    free(d);
}

static void
cancel_at_endpoint(struct world *w, uint64_t id)
{
    struct call *c = &w->calls[id];
    struct world_endpoint *e = &w->endpoints[c->endpoint];
    if (c->state == CALL_QUEUED) {
        e->queued--;
        c->state = CALL_FINISHED;
    }
    else if (c->state == CALL_RUNNING && c->endpoint_start == e->start_count &&
             c->kind != STAGE_SERVICE) {
        /* Engines stop a cancelled stream; services finish the call. */
        e->running--;
        c->state = CALL_FINISHED;
        start_queued(w, c->endpoint);
    }
}

static void
expire_call(struct world *w, uint64_t id)
{
    struct call *c = &w->calls[id];
    if (c->delivered || c->cancelled || !w->nodes[c->node].up ||
        w->nodes[c->node].incarnation != c->incarnation) {
        return;
    }
    c->cancelled = true;
    cancel_at_endpoint(w, id);
    struct flow_event ev = {.kind = FLOW_EV_CALL_FAILED};
    ev.call_failed.attempt = c->attempt;
    ev.call_failed.fault = CALL_TIMEOUT;
    node_handle_flow_event(w, c->node, &ev);
}

static enum stage_kind
kind_of(const struct world *w, int ep)
{
    return w->fleet->pools[w->endpoints[ep].pool].kind;
}

void
endpoint_start_call(struct world *w, int n, const struct flow_action *a)
{
    int ep = find_endpoint(w, a->call.endpoint);
    if (w->call_count == w->call_cap) {
        w->call_cap = w->call_cap ? w->call_cap * 2 : 1024;
        w->calls = mem_realloc(w->calls, w->call_cap, sizeof(*w->calls));
    }
    uint64_t id = w->call_count++;
    struct call *c = &w->calls[id];
    *c = (struct call){
        .node = n,
        .incarnation = w->nodes[n].incarnation,
        .attempt = a->call.attempt,
        .endpoint = ep,
        .stage = a->call.stage,
        .kind = kind_of(w, ep),
        .request = a->call.req,
        .content = find_marker(a->call.body, 'q'),
        .action = a->call.check_deadline_at_send
                      ? find_marker(a->call.body, 'a')
                      : 0,
        .crashes_endpoint =
            memmem(a->call.body.ptr, a->call.body.len, "CRASH", 5),
        .new_connection = a->call.fresh_connection,
        .resume_from = w->endpoints[ep].model.can_resume
                           ? number(a->call.body, "\"resume_from\":")
                           : 0,
        .tokens = number(a->call.body, "\"max_tokens\":"),
        .deadline_us = a->call.deadline_us,
    };
    gint64 *key = g_new(gint64, 1);
    *key = (gint64)a->call.attempt;
    g_hash_table_replace(w->nodes[n].attempts, key, GSIZE_TO_POINTER(id));
    if (a->call.check_deadline_at_send && w->now_us >= c->deadline_us) {
        c->state = CALL_FINISHED;
        fail(w, id, CALL_TIMEOUT, true);
        return;
    }
    world_schedule_event(w, w->now_us + call_one_way_us(w, c), EV_CALL_ARRIVE,
                         ep, id, NULL);
    world_schedule_event(
        w, c->deadline_us > w->now_us ? c->deadline_us : w->now_us,
        EV_CALL_DEADLINE, n, id, NULL);
}

void
endpoint_cancel_call(struct world *w, int n, uint64_t attempt)
{
    gint64 key = (gint64)attempt;
    gpointer value;
    if (!g_hash_table_lookup_extended(w->nodes[n].attempts, &key, NULL,
                                      &value)) {
        return;
    }
    uint64_t id = GPOINTER_TO_SIZE(value);
    w->calls[id].cancelled = true;
    cancel_at_endpoint(w, id);
}

void
endpoint_cancel_node_calls(struct world *w, int n)
{
    for (uint64_t i = 0; i < w->call_count; i++) {
        struct call *c = &w->calls[i];
        if (c->node == n && c->incarnation == w->nodes[n].incarnation &&
            !c->cancelled) {
            c->cancelled = true;
            cancel_at_endpoint(w, i);
        }
    }
}

void
endpoint_start_probe(struct world *w, int n, struct str id)
{
    int ep = find_endpoint(w, id);
    world_schedule_event(w,
                         w->now_us +
                             2 * world_one_way_us(w, world_node_zone(w, n),
                                                  w->endpoints[ep].zone),
                         EV_PROBE_RESULT, n, (uint64_t)ep, NULL);
}

static void
probe(struct world *w, const struct event *e)
{
    if (!w->nodes[e->index].up) {
        return;
    }
    struct world_endpoint *ep = &w->endpoints[e->id];
    struct delivery d = {0};
    d.ev.kind = FLOW_EV_PROBE;
    d.ev.probe.endpoint = str_from_cstr(ep->id);
    d.ev.probe.ok = !ep->dead;
    if (d.ev.probe.ok) {
        report(w, (int)e->id, &d, &d.ev.probe.report);
    }
    node_handle_flow_event(w, e->index, &d.ev);
}

void
endpoint_handle_event(struct world *w, const struct event *e)
{
    switch (e->kind) {
    case EV_CALL_ARRIVE:
        receive_call(w, e->id);
        break;
    case EV_CALL_TOKEN:
        token(w, e);
        break;
    case EV_CALL_FINISH:
        finish(w, e->id);
        break;
    case EV_CALL_DELIVER:
        deliver_to_node(w, e);
        break;
    case EV_CALL_DEADLINE:
        expire_call(w, e->id);
        break;
    case EV_CRASH:
        if (w->endpoints[e->index].start_count == (int)e->id &&
            !w->endpoints[e->index].dead) {
            crash(w, e->index);
        }
        break;
    case EV_ENDPOINT_UP:
        w->endpoints[e->index].dead = false;
        break;
    default:
        probe(w, e);
        break;
    }
}

static void
restart(struct world *w, int i)
{
    struct world_endpoint *e = &w->endpoints[i];
    e->start_count++;
    e->running = 0;
    e->queued = 0;
    e->answers = 0;
    e->cold = true;
    e->cold_since_us = w->now_us;
    e->hung_nodes = 0;
    w->queue_head[i] = NO_CALL;
    for (uint64_t k = 0; k < w->call_count; k++) {
        struct call *c = &w->calls[k];
        if (c->endpoint == i &&
            (c->state == CALL_RUNNING || c->state == CALL_QUEUED)) {
            c->state = CALL_FINISHED;
            fail(w, k, CALL_RESET, false);
        }
    }
}

void
world_kill_endpoint(struct world *w, int i, int64_t restart_after_us)
{
    restart(w, i);
    w->endpoints[i].dead = true;
    if (restart_after_us > 0) {
        world_schedule_event(w, w->now_us + restart_after_us, EV_ENDPOINT_UP,
                             i, 0, NULL);
    }
}

/* The endpoint restarts its model without closing its port: it is cold, has
 * a new start id, and has lost its calls in flight. */
void
world_restart_endpoint_cold(struct world *w, int i)
{
    restart(w, i);
}
