#include "bench/world_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
queue_control_request(struct node *nd, const struct control_request *a)
{
    nd->control_requests = mem_realloc(nd->control_requests,
                                       (size_t)nd->control_request_count + 1,
                                       sizeof(struct control_request *));
    nd->control_requests[nd->control_request_count++] = control_request_dup(a);
}

/* Applies the broken variant to a reply on its way to the flow core. */
static struct reply
mutate_reply(const struct world *w, struct reply r)
{
    if (w->options.mutation == WORLD_MUT_GRANT_ALL && r.kind == REPLY_CLAIM &&
        r.claim.state != CLAIM_CLOSED) {
        r.claim.state =
            r.claim.verb == CLAIM_VERB_OPEN ? CLAIM_OPENED : CLAIM_GRANTED;
    }
    if (w->options.mutation == WORLD_MUT_CREDIT_ALL &&
        r.kind == REPLY_CREDIT) {
        r.credit.granted = true;
    }
    return r;
}

static void
queue_control_reply(struct node *nd, const struct reply *r)
{
    nd->control_replies =
        mem_realloc(nd->control_replies, (size_t)nd->control_reply_count + 1,
                    sizeof(struct reply *));
    nd->control_replies[nd->control_reply_count++] = reply_dup(r);
}

static void
send_to_caller(struct world *w, int n, const struct flow_action *a)
{
    struct flow_action *copy = mem_calloc(1, sizeof(*copy));
    *copy = *a;
    switch (a->kind) {
    case FLOW_ACT_TOKEN:
        copy->token.text = str_dup(a->token.text);
        break;
    case FLOW_ACT_ANSWER:
        copy->answer.body = str_dup(a->answer.body);
        w->requests[a->answer.req].answer_sent = true;
        break;
    default:
        w->requests[a->refuse.req].answer_sent = true;
        copy->refuse.message = (struct str){0};
        break;
    }
    world_schedule_event(w, w->now_us + w->options.client_latency_us,
                         EV_CALLER_RECEIVE, n, w->nodes[n].incarnation, copy);
}

static void
apply_flow_action(struct world *w, int n, const struct flow_action *a)
{
    switch (a->kind) {
    case FLOW_ACT_CALL:
        endpoint_start_call(w, n, a);
        break;
    case FLOW_ACT_CANCEL:
        endpoint_cancel_call(w, n, a->cancel);
        break;
    case FLOW_ACT_PROBE:
        endpoint_start_probe(w, n, a->probe.endpoint);
        break;
    case FLOW_ACT_TOKEN:
    case FLOW_ACT_ANSWER:
    case FLOW_ACT_REFUSE:
        send_to_caller(w, n, a);
        break;
    case FLOW_ACT_CONTROL_MESSAGE:
        queue_control_request(&w->nodes[n], &a->ask);
        break;
    case FLOW_ACT_SPAN:
        break;
    }
}

static void
run_flow(struct world *w, int n, const struct flow_event *ev)
{
    struct node *nd = &w->nodes[n];
    struct flow_action a;
    flow_handle_event(nd->flow, w->now_us, ev);
    while (flow_next_action(nd->flow, &a)) {
        apply_flow_action(w, n, &a);
    }
}

static void
send_msg(struct world *w, int n, const struct control_action *a)
{
    uint64_t to = a->send.to;
    if (to < 1 || to > (uint64_t)w->options.nodes) {
        return;
    }
    int t = (int)to - 1;
    struct buf b = {0};
    msg_encode(&a->send.msg, &b);
    w->totals.messages++;
    w->totals.message_bytes += (int64_t)b.len;
    int copies = rng_uniform(&w->rng) < w->faults.message_duplication ? 2 : 1;
    for (int i = 0; i < copies; i++) {
        if ((w->faults.cut[n] & (1ULL << t)) ||
            rng_uniform(&w->rng) < w->faults.message_loss) {
            continue;
        }
        struct str *data = mem_calloc(1, sizeof(*data));
        *data = str_dup(buf_str(&b));
        int64_t at =
            w->now_us +
            world_one_way_us(w, world_node_zone(w, n), world_node_zone(w, t)) +
            (int64_t)rng_below(&w->rng,
                               (uint64_t)w->faults.message_jitter_us + 1);
        world_schedule_event(w, at, EV_MESSAGE, t, 0, data);
    }
    buf_free(&b);
}

static void
finish_edit(struct world *w, const struct admin_reply *r)
{
    if (r->id >= (uint64_t)w->edit_count ||
        w->edits[r->id].result != ERRKIND_COUNT) {
        return;
    }
    struct edit *e = &w->edits[r->id];
    e->result = r->error;
    e->done_us = w->now_us;
    json_t *o =
        json_loadb(r->body.ptr ? r->body.ptr : "", r->body.len, 0, NULL);
    e->revision = json_integer_value(json_object_get(o, "revision"));
    json_decref(o);
}

/* Installs a snapshot. Some broken variants keep using the first snapshot;
 * one goes back to it at the third change. */
static void
take_snapshot(struct world *w, struct node *nd, struct snapshot *s)
{
    enum world_mutation m = w->options.mutation;
    bool stale = m == WORLD_MUT_KEEP_ZONE || m == WORLD_MUT_KEEP_LEAVING;
    bool older = m == WORLD_MUT_REVERT && nd->first_snapshot &&
                 s->config_revision > nd->first_snapshot->config_revision + 1;
    if (!nd->first_snapshot && s->endpoint_count) {
        nd->first_snapshot = snapshot_ref(s);
    }
    else if (nd->first_snapshot && (stale || older)) {
        snapshot_unref(s);
        s = snapshot_ref(nd->first_snapshot);
    }
    snapshot_unref(nd->snapshot);
    nd->snapshot = s;
}

static void
apply_control_action(struct world *w, int n, const struct control_action *a)
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
    case CONTROL_ACT_NOTIFY_ALL:
        r = mutate_reply(w, a->reply.reply);
        queue_control_reply(nd, &r);
        break;
    case CONTROL_ACT_SNAPSHOT:
        take_snapshot(w, nd, a->snapshot);
        ev.kind = FLOW_EV_SNAPSHOT;
        ev.snapshot = nd->snapshot;
        run_flow(w, n, &ev);
        break;
    case CONTROL_ACT_FRESHNESS:
        nd->fresh_deadline_us = a->fresh_until_us;
        ev.kind = FLOW_EV_FRESHNESS;
        ev.fresh_until_us = a->fresh_until_us;
        run_flow(w, n, &ev);
        break;
    case CONTROL_ACT_ADMIN:
        finish_edit(w, &a->admin);
        break;
    case CONTROL_ACT_LEAVE_DONE:
        nd->leave_done = true;
        break;
    }
}

static void
run_control(struct world *w, int n, const struct control_event *ev)
{
    struct node *nd = &w->nodes[n];
    struct control_action a;
    control_handle_event(nd->control, w->now_us, ev);
    while (control_next_action(nd->control, &a)) {
        apply_control_action(w, n, &a);
    }
}

/* Passes requests and replies between the flow core and the control
 * core until neither has any left. */
static void
exchange_messages(struct world *w, int n)
{
    struct node *nd = &w->nodes[n];
    while (nd->control_request_count || nd->control_reply_count) {
        struct control_request **pending_requests = nd->control_requests;
        struct reply **pending_replies = nd->control_replies;
        int pending_request_count = nd->control_request_count;
        int pending_reply_count = nd->control_reply_count;
        nd->control_requests = NULL;
        nd->control_replies = NULL;
        nd->control_request_count = nd->control_reply_count = 0;
        for (int i = 0; i < pending_reply_count; i++) {
            struct flow_event ev = {.kind = FLOW_EV_CONTROL_REPLY,
                                    .reply = *pending_replies[i]};
            run_flow(w, n, &ev);
            reply_free(pending_replies[i]);
        }
        for (int i = 0; i < pending_request_count; i++) {
            struct control_event ev = {.kind = CONTROL_EV_REQUEST};
            ev.ask.ask = *pending_requests[i];
            run_control(w, n, &ev);
            control_request_free(pending_requests[i]);
        }
        free(pending_requests);
        free(pending_replies);
    }
}

static void
schedule_tick(struct world *w, int n)
{
    struct node *nd = &w->nodes[n];
    int64_t at = flow_next_wakeup_us(nd->flow);
    int64_t c = control_next_wakeup_us(nd->control);
    at = c < at ? c : at;
    at = at <= w->now_us ? w->now_us + 1 : at;
    if (at != INT64_MAX && at != nd->tick_at_us) {
        nd->tick_at_us = at;
        world_schedule_event(w, at, EV_NODE_TICK, n, nd->incarnation, NULL);
    }
}

static void
finish_step(struct world *w, int n)
{
    struct node *nd = &w->nodes[n];
    exchange_messages(w, n);
    if (nd->drain_started && !nd->leave_requested &&
        flow_open_requests(nd->flow) == 0) {
        struct control_event ev = {.kind = CONTROL_EV_LEAVE};
        nd->leave_requested = true;
        run_control(w, n, &ev);
        exchange_messages(w, n);
    }
    if (nd->drain_started && nd->leave_done &&
        flow_open_requests(nd->flow) == 0) {
        int64_t back = nd->restart_after_us;
        node_stop(w, n, true);
        if (back > 0) {
            world_schedule_event(w, w->now_us + back, EV_NODE_START, n, 0,
                                 NULL);
        }
        return;
    }
    schedule_tick(w, n);
}

void
node_handle_flow_event(struct world *w, int n, const struct flow_event *ev)
{
    if (w->nodes[n].up) {
        run_flow(w, n, ev);
        finish_step(w, n);
    }
}

void
node_handle_control_event(struct world *w, int n,
                          const struct control_event *ev)
{
    if (w->nodes[n].up) {
        run_control(w, n, ev);
        finish_step(w, n);
    }
}

void
node_start(struct world *w, int n)
{
    struct node *nd = &w->nodes[n];
    if (nd->up) {
        return;
    }
    uint64_t incarnation = nd->incarnation + 1;
    struct control_peer peers[WORLD_MAX_NODES];
    char addresses[WORLD_MAX_NODES][32];
    char name[32];
    int count = 0;
    for (int i = 0; i < w->options.nodes; i++) {
        snprintf(addresses[i], sizeof(addresses[i]), "tcp://10.0.0.%d:7000",
                 i + 1);
        if (i != n) {
            peers[count++] = (struct control_peer){
                (uint64_t)i + 1, str_from_cstr(addresses[i])};
        }
    }
    snprintf(name, sizeof(name), "node-%d", n + 1);
    const struct fleet_zone *z = &w->fleet->zones[world_node_zone(w, n)];
    struct control_options co = {
        .node = (uint64_t)n + 1,
        .name = str_from_cstr(name),
        .incarnation = incarnation,
        .address = str_from_cstr(addresses[n]),
        .zone = z->name,
        .region = z->region,
        .seed = w->options.seed * 1000 + (uint64_t)n * 10 + incarnation,
        .claim_buckets = 64,
        .store_writes_per_s = w->options.store_writes_per_s,
        .peer_count = count,
        .peers = peers,
    };
    struct flow_options fo = {.node = (uint64_t)n + 1,
                              .incarnation = incarnation,
                              .seed = co.seed + 5,
                              .policy = w->options.policy};
    memset(nd, 0, sizeof(*nd));
    nd->incarnation = incarnation;
    nd->attempts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    nd->flow = flow_new(&fo);
    nd->control = control_new(&co, w->now_us);
    nd->up = true;
    struct control_event ev = {.kind = CONTROL_EV_TICK};
    node_handle_control_event(w, n, &ev);
}

void
node_stop(struct world *w, int n, bool graceful_stop)
{
    struct node *nd = &w->nodes[n];
    if (!nd->up) {
        return;
    }
    endpoint_cancel_node_calls(w, n);
    nd->up = false;
    flow_free(nd->flow);
    control_free(nd->control);
    snapshot_unref(nd->snapshot);
    snapshot_unref(nd->first_snapshot);
    g_hash_table_destroy(nd->attempts);
    for (int i = 0; i < nd->control_request_count; i++) {
        control_request_free(nd->control_requests[i]);
    }
    for (int i = 0; i < nd->control_reply_count; i++) {
        reply_free(nd->control_replies[i]);
    }
    free(nd->control_requests);
    free(nd->control_replies);
    uint64_t incarnation = nd->incarnation;
    memset(nd, 0, sizeof(*nd));
    nd->incarnation = incarnation;
    nd->was_drained = graceful_stop;
    for (int i = 0; i < w->request_count; i++) {
        struct world_request *r = &w->requests[i];
        if (r->node == n && r->outcome == WORLD_PENDING && !r->answer_sent) {
            r->outcome = WORLD_LOST;
            r->graceful_stop = graceful_stop;
            r->done_us = w->now_us;
        }
    }
}

static void
tick(struct world *w, const struct event *e)
{
    struct node *nd = &w->nodes[e->index];
    if (!nd->up || nd->incarnation != e->id || e->at_us != nd->tick_at_us) {
        return;
    }
    nd->tick_at_us = 0;
    struct flow_event fe = {.kind = FLOW_EV_TICK};
    struct control_event ce = {.kind = CONTROL_EV_TICK};
    run_flow(w, e->index, &fe);
    run_control(w, e->index, &ce);
    finish_step(w, e->index);
}

static void
receive(struct world *w, const struct event *e)
{
    struct str *bytes = e->data;
    struct control_event ev = {.kind = CONTROL_EV_MSG};
    if (w->nodes[e->index].up && msg_decode(*bytes, &ev.msg) == ST_OK) {
        node_handle_control_event(w, e->index, &ev);
    }
    str_free(bytes);
    free(bytes);
}

static void
start_drain(struct world *w, const struct event *e)
{
    struct node *nd = &w->nodes[e->index];
    if (!nd->up || nd->incarnation != e->id) {
        return;
    }
    nd->drain_started = true;
    struct flow_event fe = {.kind = FLOW_EV_DRAIN};
    node_handle_flow_event(w, e->index, &fe);
}

void
node_handle_event(struct world *w, const struct event *e)
{
    switch (e->kind) {
    case EV_DRAIN_START:
        start_drain(w, e);
        break;
    case EV_NODE_TICK:
        tick(w, e);
        break;
    case EV_NODE_START:
        node_start(w, e->index);
        break;
    default:
        receive(w, e);
        break;
    }
}
