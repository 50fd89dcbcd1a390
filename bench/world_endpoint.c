#include "bench/world_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A crash marker ends the endpoint this long after the call starts. */
#define CRASH_AFTER_US 2000
#define RESTART_US 2000000

/* The number between two marker letters, for example q17q; 0 if none. */
static uint64_t
marker(struct str body, char letter)
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

/* The integer after a JSON name; 0 if the name does not occur. */
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
        if (str_eq_c(id, w->endpoints[i].id)) {
            return i;
        }
    }
    return -1;
}

static int64_t
trip(const struct world *w, const struct call *c)
{
    return world_one_way(w, world_node_zone(w, c->node),
                         w->endpoints[c->endpoint].zone);
}

static void
report(const struct world *w, int ep, struct delivery *d,
       struct call_report *r)
{
    const struct world_endpoint *e = &w->endpoints[ep];
    snprintf(d->start_id, sizeof(d->start_id), "%s-%d", e->id, e->start_count);
    *r = (struct call_report){
        .start_id = str_from(d->start_id),
        .has_load = true,
        .in_flight = e->running,
        .queued = e->queued,
        .cold = e->cold,
        .leaving = e->leaving && w->opt.mutation != WORLD_MUT_KEEP_LEAVING};
}

static void
deliver(struct world *w, uint64_t id, struct delivery *d, int64_t after)
{
    world_push(w, w->now + trip(w, &w->calls[id]) + after, EV_CALL_DELIVER,
               w->calls[id].node, id, d);
}

static void
fail(struct world *w, uint64_t id, enum call_fault fault, bool unsent)
{
    struct call *c = &w->calls[id];
    struct delivery *d = mem_zero(1, sizeof(*d));
    d->ev.kind = FLOW_EV_CALL_FAILED;
    d->ev.call_failed.attempt = c->attempt;
    d->ev.call_failed.fault = fault;
    d->ev.call_failed.unsent = unsent;
    deliver(w, id, d, 0);
}

static double
factor(struct world *w, const struct world_endpoint *e)
{
    double f = e->slow * (0.8 + 0.4 * rng_unit(&w->rng));
    return e->cold ? f * e->model.cold_slow : f;
}

static void
note_action(struct world *w, uint64_t action)
{
    if (action >= w->action_cap) {
        uint64_t cap = action * 2 + 64;
        w->action_runs = mem_grow(w->action_runs, cap, sizeof(int));
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
    c->start = e->start_count;
    e->running++;
    if (c->kind == STAGE_SERVICE && c->action) {
        note_action(w, c->action);
    }
    if (c->crashes && c->kind != STAGE_SERVICE) {
        world_push(w, w->now + CRASH_AFTER_US, EV_CRASH, c->endpoint,
                   (uint64_t)e->start_count, NULL);
    }
    double f = factor(w, e);
    int64_t work = (int64_t)((double)e->model.base_us * f);
    if (c->kind == STAGE_GENERATE) {
        int64_t step = (int64_t)((double)e->model.token_us * f);
        int n = c->tokens - c->resume_from;
        for (int i = 0; i < n; i++) {
            world_push(w, w->now + work + step * i, EV_CALL_TOKEN,
                       c->resume_from + i, id, NULL);
        }
        work += step * (n > 0 ? n : 0);
    }
    e->busy_us += work;
    world_push(w, w->now + work, EV_CALL_FINISH, c->endpoint, id, NULL);
}

static void
enqueue(struct world *w, uint64_t id)
{
    struct call *c = &w->calls[id];
    int ep = c->endpoint;
    c->state = CALL_QUEUED;
    c->next = NO_CALL;
    if (w->endpoints[ep].queued++ == 0 || w->queue_head[ep] == NO_CALL) {
        w->queue_head[ep] = id;
    }
    else {
        w->calls[w->queue_tail[ep]].next = id;
    }
    w->queue_tail[ep] = id;
}

/* Calls that were cancelled while queued are passed over here. */
static void
start_queued(struct world *w, int ep)
{
    struct world_endpoint *e = &w->endpoints[ep];
    while (w->queue_head[ep] != NO_CALL && e->running < e->model.slots) {
        uint64_t id = w->queue_head[ep];
        w->queue_head[ep] = w->calls[id].next;
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
    world_kill_endpoint(w, ep, RESTART_US);
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
            c->state = CALL_OVER;
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
arrive(struct world *w, uint64_t id)
{
    struct call *c = &w->calls[id];
    struct world_endpoint *e = &w->endpoints[c->endpoint];
    if (e->dead) {
        c->state = CALL_OVER;
        fail(w, id, CALL_REFUSED, true);
        return;
    }
    struct world_call_info info = {w->now,   c->node,    c->endpoint,
                                   c->stage, c->request, c->attempt,
                                   c->action};
    if (w->on_call) {
        w->on_call(w->on_call_ctx, &info);
    }
    if (c->cancelled && c->kind != STAGE_SERVICE) {
        /* The connection was closed while the call was on its way. */
        c->state = CALL_OVER;
        return;
    }
    if (e->silent_nodes & (1ULL << c->node)) {
        if (!c->fresh) {
            return; /* nothing comes back; the deadline ends it */
        }
        /* A new connection works and replaces the pool of hung ones. */
        e->silent_nodes &= ~(1ULL << c->node);
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
    return buf_take(&b);
}

/* Applies the switched-on answer faults. @return true if one was applied */
static bool
faulty(struct world *w, uint64_t id)
{
    double u = rng_unit(&w->rng);
    if (u < w->knobs.truncate) {
        fail(w, id, CALL_TRUNCATED, false);
        return true;
    }
    if (u < w->knobs.truncate + w->knobs.cross) {
        if (w->opt.mutation == WORLD_MUT_SWAP_ANSWERS) {
            w->calls[id].content += 1;
            return false;
        }
        fail(w, id, CALL_CROSSED, false);
        return true;
    }
    return false;
}

static struct delivery *
done_event(struct world *w, const struct call *c)
{
    struct delivery *d = mem_zero(1, sizeof(*d));
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
    if (c->state != CALL_RUNNING || c->start != e->start_count) {
        return;
    }
    c->state = CALL_OVER;
    e->running--;
    e->answers++;
    if (e->cold && e->answers >= e->model.warm_after) {
        e->cold = false;
    }
    if (!faulty(w, id)) {
        int64_t late =
            rng_unit(&w->rng) < w->knobs.late ? (int64_t)20000000 : 0;
        deliver(w, id, done_event(w, c), late);
        if (rng_unit(&w->rng) < w->knobs.twice) {
            deliver(w, id, done_event(w, c), 500);
        }
    }
    start_queued(w, c->endpoint);
}

static void
token(struct world *w, const struct event *e)
{
    struct call *c = &w->calls[e->b];
    if (c->state != CALL_RUNNING ||
        c->start != w->endpoints[c->endpoint].start_count || c->cancelled) {
        return;
    }
    struct delivery *d = mem_zero(1, sizeof(*d));
    struct buf b = {0};
    if (e->a == 0) {
        buf_printf(&b, "q%lluq", (unsigned long long)c->content);
    }
    else {
        buf_printf(&b, " t%d", e->a);
    }
    d->text = buf_take(&b);
    d->ev.kind = FLOW_EV_CALL_TOKEN;
    d->ev.call_token.attempt = c->attempt;
    d->ev.call_token.index = e->a;
    d->ev.call_token.text = d->text;
    deliver(w, e->b, d, 0);
}

static void
delivered(struct world *w, const struct event *e)
{
    struct delivery *d = e->data;
    struct call *c = &w->calls[e->b];
    bool end = d->ev.kind != FLOW_EV_CALL_TOKEN;
    /* A cancelled call's connection is closed, so nothing of it arrives;
     * doubled and late answers of finished calls do. */
    if (w->nodes[e->a].up && w->nodes[e->a].gen == c->gen && !c->cancelled) {
        c->delivered |= end;
        node_flow(w, e->a, &d->ev);
    }
    str_free(&d->text);
    free(d);
}

static void
stop_running(struct world *w, uint64_t id)
{
    struct call *c = &w->calls[id];
    struct world_endpoint *e = &w->endpoints[c->endpoint];
    if (c->state == CALL_QUEUED) {
        e->queued--;
        c->state = CALL_OVER;
    }
    else if (c->state == CALL_RUNNING && c->start == e->start_count &&
             c->kind != STAGE_SERVICE) {
        /* Engines stop a cancelled stream; services run on. */
        e->running--;
        c->state = CALL_OVER;
        start_queued(w, c->endpoint);
    }
}

static void
call_deadline(struct world *w, uint64_t id)
{
    struct call *c = &w->calls[id];
    if (c->delivered || c->cancelled || !w->nodes[c->node].up ||
        w->nodes[c->node].gen != c->gen) {
        return;
    }
    c->cancelled = true;
    stop_running(w, id);
    struct flow_event ev = {.kind = FLOW_EV_CALL_FAILED};
    ev.call_failed.attempt = c->attempt;
    ev.call_failed.fault = CALL_TIMEOUT;
    node_flow(w, c->node, &ev);
}

static enum stage_kind
kind_of(const struct world *w, int ep)
{
    return w->fleet->pools[w->endpoints[ep].pool].kind;
}

void
endpoint_call(struct world *w, int n, const struct flow_action *a)
{
    int ep = find_endpoint(w, a->call.endpoint);
    if (w->call_count == w->call_cap) {
        w->call_cap = w->call_cap ? w->call_cap * 2 : 1024;
        w->calls = mem_grow(w->calls, w->call_cap, sizeof(*w->calls));
    }
    uint64_t id = w->call_count++;
    struct call *c = &w->calls[id];
    *c = (struct call){
        .node = n,
        .gen = w->nodes[n].gen,
        .attempt = a->call.attempt,
        .endpoint = ep,
        .stage = a->call.stage,
        .kind = kind_of(w, ep),
        .request = a->call.req,
        .content = marker(a->call.body, 'q'),
        .action = a->call.final_check ? marker(a->call.body, 'a') : 0,
        .crashes = memmem(a->call.body.ptr, a->call.body.len, "CRASH", 5),
        .fresh = a->call.fresh_connection,
        .resume_from = w->endpoints[ep].model.resumes
                           ? number(a->call.body, "\"resume_from\":")
                           : 0,
        .tokens = number(a->call.body, "\"max_tokens\":"),
        .deadline_us = a->call.deadline_us,
    };
    gint64 *key = g_new(gint64, 1);
    *key = (gint64)a->call.attempt;
    g_hash_table_replace(w->nodes[n].attempts, key, GSIZE_TO_POINTER(id));
    if (a->call.final_check && w->now >= c->deadline_us) {
        c->state = CALL_OVER;
        fail(w, id, CALL_TIMEOUT, true);
        return;
    }
    world_push(w, w->now + trip(w, c), EV_CALL_ARRIVE, ep, id, NULL);
    world_push(w, c->deadline_us > w->now ? c->deadline_us : w->now,
               EV_CALL_DEADLINE, n, id, NULL);
}

void
endpoint_cancel(struct world *w, int n, uint64_t attempt)
{
    gint64 key = (gint64)attempt;
    gpointer value;
    if (!g_hash_table_lookup_extended(w->nodes[n].attempts, &key, NULL,
                                      &value)) {
        return;
    }
    uint64_t id = GPOINTER_TO_SIZE(value);
    w->calls[id].cancelled = true;
    stop_running(w, id);
}

void
endpoint_drop_node(struct world *w, int n)
{
    for (uint64_t i = 0; i < w->call_count; i++) {
        struct call *c = &w->calls[i];
        if (c->node == n && c->gen == w->nodes[n].gen && !c->cancelled) {
            c->cancelled = true;
            stop_running(w, i);
        }
    }
}

void
endpoint_probe(struct world *w, int n, struct str id)
{
    int ep = find_endpoint(w, id);
    world_push(w,
               w->now + 2 * world_one_way(w, world_node_zone(w, n),
                                          w->endpoints[ep].zone),
               EV_PROBE, n, (uint64_t)ep, NULL);
}

static void
probe(struct world *w, const struct event *e)
{
    if (!w->nodes[e->a].up) {
        return;
    }
    struct world_endpoint *ep = &w->endpoints[e->b];
    struct delivery d = {0};
    d.ev.kind = FLOW_EV_PROBE;
    d.ev.probe.endpoint = str_from(ep->id);
    d.ev.probe.ok = !ep->dead;
    if (d.ev.probe.ok) {
        report(w, (int)e->b, &d, &d.ev.probe.report);
    }
    node_flow(w, e->a, &d.ev);
}

void
endpoint_event(struct world *w, const struct event *e)
{
    switch (e->kind) {
    case EV_CALL_ARRIVE:
        arrive(w, e->b);
        break;
    case EV_CALL_TOKEN:
        token(w, e);
        break;
    case EV_CALL_FINISH:
        finish(w, e->b);
        break;
    case EV_CALL_DELIVER:
        delivered(w, e);
        break;
    case EV_CALL_DEADLINE:
        call_deadline(w, e->b);
        break;
    case EV_CRASH:
        if (w->endpoints[e->a].start_count == (int)e->b &&
            !w->endpoints[e->a].dead) {
            crash(w, e->a);
        }
        break;
    case EV_ENDPOINT_BACK:
        w->endpoints[e->a].dead = false;
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
    e->cold_since = w->now;
    e->silent_nodes = 0;
    w->queue_head[i] = NO_CALL;
    for (uint64_t k = 0; k < w->call_count; k++) {
        struct call *c = &w->calls[k];
        if (c->endpoint == i &&
            (c->state == CALL_RUNNING || c->state == CALL_QUEUED)) {
            c->state = CALL_OVER;
            fail(w, k, CALL_RESET, false);
        }
    }
}

void
world_kill_endpoint(struct world *w, int i, int64_t back_us)
{
    restart(w, i);
    w->endpoints[i].dead = true;
    if (back_us > 0) {
        world_push(w, w->now + back_us, EV_ENDPOINT_BACK, i, 0, NULL);
    }
}

/* The endpoint restarts its model without closing its port: cold, with a
 * new start id, and its calls in flight are lost. */
void
world_chill_endpoint(struct world *w, int i)
{
    restart(w, i);
}
