#include "bench/world_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
queue_ask(struct node *nd, const struct ask *a)
{
    nd->asks =
        mem_grow(nd->asks, (size_t)nd->ask_count + 1, sizeof(struct ask *));
    nd->asks[nd->ask_count++] = ask_dup(a);
}

/* Applies the broken variant to a reply on its way to the flow core. */
static struct reply
mutate_reply(const struct world *w, struct reply r)
{
    if (w->opt.mutation == WORLD_MUT_GRANT_ALL && r.kind == REPLY_CLAIM &&
        r.claim.state != CLAIM_CLOSED) {
        r.claim.state =
            r.claim.verb == CLAIM_VERB_OPEN ? CLAIM_OPENED : CLAIM_GRANTED;
    }
    if (w->opt.mutation == WORLD_MUT_CREDIT_ALL && r.kind == REPLY_CREDIT) {
        r.credit.granted = true;
    }
    return r;
}

static void
queue_reply(struct node *nd, const struct reply *r)
{
    nd->replies = mem_grow(nd->replies, (size_t)nd->reply_count + 1,
                           sizeof(struct reply *));
    nd->replies[nd->reply_count++] = reply_dup(r);
}

static void
caller_event(struct world *w, int n, const struct flow_action *a)
{
    struct flow_action *copy = mem_zero(1, sizeof(*copy));
    *copy = *a;
    switch (a->kind) {
    case FLOW_ACT_TOKEN:
        copy->token.text = str_dup(a->token.text);
        break;
    case FLOW_ACT_ANSWER:
        copy->answer.body = str_dup(a->answer.body);
        w->requests[a->answer.req].told = true;
        break;
    default:
        w->requests[a->refuse.req].told = true;
        copy->refuse.message = (struct str){0};
        break;
    }
    world_push(w, w->now + w->opt.client_us, EV_CALLER_DONE, n,
               w->nodes[n].gen, copy);
}

static void
flow_action(struct world *w, int n, const struct flow_action *a)
{
    switch (a->kind) {
    case FLOW_ACT_CALL:
        endpoint_call(w, n, a);
        break;
    case FLOW_ACT_CANCEL:
        endpoint_cancel(w, n, a->cancel);
        break;
    case FLOW_ACT_PROBE:
        endpoint_probe(w, n, a->probe.endpoint);
        break;
    case FLOW_ACT_TOKEN:
    case FLOW_ACT_ANSWER:
    case FLOW_ACT_REFUSE:
        caller_event(w, n, a);
        break;
    case FLOW_ACT_ASK:
        queue_ask(&w->nodes[n], &a->ask);
        break;
    case FLOW_ACT_SPAN:
        break;
    }
}

static void
step_flow(struct world *w, int n, const struct flow_event *ev)
{
    struct node *nd = &w->nodes[n];
    struct flow_action a;
    flow_step(nd->flow, w->now, ev);
    while (flow_next(nd->flow, &a)) {
        flow_action(w, n, &a);
    }
}

static void
send_msg(struct world *w, int n, const struct control_action *a)
{
    uint64_t to = a->send.to;
    if (to < 1 || to > (uint64_t)w->opt.nodes) {
        return;
    }
    int t = (int)to - 1;
    struct buf b = {0};
    msg_encode(&a->send.msg, &b);
    w->totals.messages++;
    w->totals.message_bytes += (int64_t)b.len;
    int copies = rng_unit(&w->rng) < w->knobs.msg_dup ? 2 : 1;
    for (int i = 0; i < copies; i++) {
        if ((w->knobs.cut[n] & (1ULL << t)) ||
            rng_unit(&w->rng) < w->knobs.msg_loss) {
            continue;
        }
        struct str *data = mem_zero(1, sizeof(*data));
        *data = str_dup(buf_str(&b));
        int64_t at =
            w->now +
            world_one_way(w, world_node_zone(w, n), world_node_zone(w, t)) +
            (int64_t)rng_below(&w->rng, (uint64_t)w->knobs.msg_jitter_us + 1);
        world_push(w, at, EV_MSG, t, 0, data);
    }
    buf_free(&b);
}

static void
admin_done(struct world *w, const struct admin_reply *r)
{
    if (r->id >= (uint64_t)w->edit_count ||
        w->edits[r->id].result != ERRKIND_COUNT) {
        return;
    }
    struct edit *e = &w->edits[r->id];
    e->result = r->error;
    e->done_us = w->now;
    json_t *o =
        json_loadb(r->body.ptr ? r->body.ptr : "", r->body.len, 0, NULL);
    e->revision = json_integer_value(json_object_get(o, "revision"));
    json_decref(o);
}

/* Some variants go on with the first snapshot; one goes back to it at the
 * third change. */
static void
take_snapshot(struct world *w, struct node *nd, struct snapshot *s)
{
    enum world_mutation m = w->opt.mutation;
    bool stale = m == WORLD_MUT_KEEP_ZONE || m == WORLD_MUT_KEEP_LEAVING;
    bool older = m == WORLD_MUT_REVERT && nd->first_snap &&
                 s->config_revision > nd->first_snap->config_revision + 1;
    if (!nd->first_snap && s->endpoint_count) {
        nd->first_snap = snapshot_ref(s);
    }
    else if (nd->first_snap && (stale || older)) {
        snapshot_unref(s);
        s = snapshot_ref(nd->first_snap);
    }
    snapshot_unref(nd->snap);
    nd->snap = s;
}

static void
control_action(struct world *w, int n, const struct control_action *a)
{
    struct node *nd = &w->nodes[n];
    struct flow_event ev = {0};
    struct reply r;
    switch (a->kind) {
    case CONTROL_ACT_SEND:
        send_msg(w, n, a);
        break;
    case CONTROL_ACT_STORE:
        store_submit(w, n, &a->store);
        break;
    case CONTROL_ACT_REPLY:
    case CONTROL_ACT_NOTICE:
        r = mutate_reply(w, a->reply.reply);
        queue_reply(nd, &r);
        break;
    case CONTROL_ACT_SNAPSHOT:
        take_snapshot(w, nd, a->snapshot);
        ev.kind = FLOW_EV_SNAPSHOT;
        ev.snapshot = nd->snap;
        step_flow(w, n, &ev);
        break;
    case CONTROL_ACT_FRESH:
        nd->fresh_until = a->fresh_until_us;
        ev.kind = FLOW_EV_FRESH;
        ev.fresh_until_us = a->fresh_until_us;
        step_flow(w, n, &ev);
        break;
    case CONTROL_ACT_ADMIN:
        admin_done(w, &a->admin);
        break;
    case CONTROL_ACT_LEFT:
        nd->left = true;
        break;
    }
}

static void
step_control(struct world *w, int n, const struct control_event *ev)
{
    struct node *nd = &w->nodes[n];
    struct control_action a;
    control_step(nd->control, w->now, ev);
    while (control_next(nd->control, &a)) {
        control_action(w, n, &a);
    }
}

/* Moves asks and replies between the cores until both are quiet. */
static void
exchange(struct world *w, int n)
{
    struct node *nd = &w->nodes[n];
    while (nd->ask_count || nd->reply_count) {
        struct ask **asks = nd->asks;
        struct reply **replies = nd->replies;
        int ask_count = nd->ask_count;
        int reply_count = nd->reply_count;
        nd->asks = NULL;
        nd->replies = NULL;
        nd->ask_count = nd->reply_count = 0;
        for (int i = 0; i < reply_count; i++) {
            struct flow_event ev = {.kind = FLOW_EV_REPLY,
                                    .reply = *replies[i]};
            step_flow(w, n, &ev);
            reply_free(replies[i]);
        }
        for (int i = 0; i < ask_count; i++) {
            struct control_event ev = {.kind = CONTROL_EV_ASK};
            ev.ask.ask = *asks[i];
            step_control(w, n, &ev);
            ask_free(asks[i]);
        }
        free(asks);
        free(replies);
    }
}

static void
plan_tick(struct world *w, int n)
{
    struct node *nd = &w->nodes[n];
    int64_t at = flow_wakeup(nd->flow);
    int64_t c = control_wakeup(nd->control);
    at = c < at ? c : at;
    at = at <= w->now ? w->now + 1 : at;
    if (at != INT64_MAX && at != nd->tick_at) {
        nd->tick_at = at;
        world_push(w, at, EV_NODE_TICK, n, nd->gen, NULL);
    }
}

static void
settle(struct world *w, int n)
{
    struct node *nd = &w->nodes[n];
    exchange(w, n);
    if (nd->drain_begun && !nd->leave_begun &&
        flow_open_requests(nd->flow) == 0) {
        struct control_event ev = {.kind = CONTROL_EV_LEAVE};
        nd->leave_begun = true;
        step_control(w, n, &ev);
        exchange(w, n);
    }
    if (nd->drain_begun && nd->left && flow_open_requests(nd->flow) == 0) {
        int64_t back = nd->back_us;
        node_stop(w, n, true);
        if (back > 0) {
            world_push(w, w->now + back, EV_NODE_START, n, 0, NULL);
        }
        return;
    }
    plan_tick(w, n);
}

void
node_flow(struct world *w, int n, const struct flow_event *ev)
{
    if (w->nodes[n].up) {
        step_flow(w, n, ev);
        settle(w, n);
    }
}

void
node_control(struct world *w, int n, const struct control_event *ev)
{
    if (w->nodes[n].up) {
        step_control(w, n, ev);
        settle(w, n);
    }
}

void
node_start(struct world *w, int n)
{
    struct node *nd = &w->nodes[n];
    if (nd->up) {
        return;
    }
    uint64_t gen = nd->gen + 1;
    struct control_peer peers[WORLD_MAX_NODES];
    char addresses[WORLD_MAX_NODES][32];
    char name[32];
    int count = 0;
    for (int i = 0; i < w->opt.nodes; i++) {
        snprintf(addresses[i], sizeof(addresses[i]), "tcp://10.0.0.%d:7000",
                 i + 1);
        if (i != n) {
            peers[count++] =
                (struct control_peer){(uint64_t)i + 1, str_from(addresses[i])};
        }
    }
    snprintf(name, sizeof(name), "node-%d", n + 1);
    const struct fleet_zone *z = &w->fleet->zones[world_node_zone(w, n)];
    struct control_options co = {
        .node = (uint64_t)n + 1,
        .name = str_from(name),
        .incarnation = gen,
        .address = str_from(addresses[n]),
        .zone = z->name,
        .region = z->region,
        .seed = w->opt.seed * 1000 + (uint64_t)n * 10 + gen,
        .claim_buckets = 64,
        .store_writes_per_s = w->opt.store_writes_per_s,
        .peer_count = count,
        .peers = peers,
    };
    struct flow_options fo = {.node = (uint64_t)n + 1,
                              .incarnation = gen,
                              .seed = co.seed + 5,
                              .policy = w->opt.policy};
    memset(nd, 0, sizeof(*nd));
    nd->gen = gen;
    nd->attempts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    nd->flow = flow_new(&fo);
    nd->control = control_new(&co, w->now);
    nd->up = true;
    struct control_event ev = {.kind = CONTROL_EV_TICK};
    node_control(w, n, &ev);
}

void
node_stop(struct world *w, int n, bool planned)
{
    struct node *nd = &w->nodes[n];
    if (!nd->up) {
        return;
    }
    endpoint_drop_node(w, n);
    nd->up = false;
    flow_free(nd->flow);
    control_free(nd->control);
    snapshot_unref(nd->snap);
    snapshot_unref(nd->first_snap);
    g_hash_table_destroy(nd->attempts);
    for (int i = 0; i < nd->ask_count; i++) {
        ask_free(nd->asks[i]);
    }
    for (int i = 0; i < nd->reply_count; i++) {
        reply_free(nd->replies[i]);
    }
    free(nd->asks);
    free(nd->replies);
    uint64_t gen = nd->gen;
    memset(nd, 0, sizeof(*nd));
    nd->gen = gen;
    nd->was_drained = planned;
    for (int i = 0; i < w->request_count; i++) {
        struct world_request *r = &w->requests[i];
        if (r->node == n && r->outcome == WORLD_PENDING && !r->told) {
            r->outcome = WORLD_LOST;
            r->planned = planned;
            r->done_us = w->now;
        }
    }
}

static void
tick(struct world *w, const struct event *e)
{
    struct node *nd = &w->nodes[e->a];
    if (!nd->up || nd->gen != e->b || e->at != nd->tick_at) {
        return;
    }
    nd->tick_at = 0;
    struct flow_event fe = {.kind = FLOW_EV_TICK};
    struct control_event ce = {.kind = CONTROL_EV_TICK};
    step_flow(w, e->a, &fe);
    step_control(w, e->a, &ce);
    settle(w, e->a);
}

static void
receive(struct world *w, const struct event *e)
{
    struct str *bytes = e->data;
    struct control_event ev = {.kind = CONTROL_EV_MSG};
    if (w->nodes[e->a].up && msg_decode(*bytes, &ev.msg) == ST_OK) {
        node_control(w, e->a, &ev);
    }
    str_free(bytes);
    free(bytes);
}

static void
begin_drain(struct world *w, const struct event *e)
{
    struct node *nd = &w->nodes[e->a];
    if (!nd->up || nd->gen != e->b) {
        return;
    }
    nd->drain_begun = true;
    struct flow_event fe = {.kind = FLOW_EV_DRAIN};
    node_flow(w, e->a, &fe);
}

void
node_event(struct world *w, const struct event *e)
{
    switch (e->kind) {
    case EV_DRAIN:
        begin_drain(w, e);
        break;
    case EV_NODE_TICK:
        tick(w, e);
        break;
    case EV_NODE_START:
        node_start(w, e->a);
        break;
    default:
        receive(w, e);
        break;
    }
}
