#include "bench/world_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval at which the load balancer checks the readiness of nodes. */
#define BALANCER_INTERVAL_US 500000

/* A draining node goes on serving for this long after its readiness check
 * fails. */
#define BALANCER_DRAIN_US 1000000

static bool
before(const struct event *a, const struct event *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

void
world_schedule_event(struct world *w, int64_t at_us, enum event_kind kind,
                     int index, uint64_t id, void *data)
{
    if (w->heap_count == w->heap_cap) {
        w->heap_cap = w->heap_cap ? w->heap_cap * 2 : 1024;
        w->heap = mem_realloc(w->heap, w->heap_cap, sizeof(*w->heap));
    }
    struct event e = {at_us, w->seq++, kind, index, id, data};
    size_t i = w->heap_count++;
    while (i > 0 && before(&e, &w->heap[(i - 1) / 2])) {
        w->heap[i] = w->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    w->heap[i] = e;
}

static struct event
pop(struct world *w)
{
    struct event top = w->heap[0];
    struct event e = w->heap[--w->heap_count];
    size_t i = 0;
    for (;;) {
        size_t c = 2 * i + 1;
        if (c >= w->heap_count) {
            break;
        }
        if (c + 1 < w->heap_count && before(&w->heap[c + 1], &w->heap[c])) {
            c++;
        }
        if (!before(&w->heap[c], &e)) {
            break;
        }
        w->heap[i] = w->heap[c];
        i = c;
    }
    w->heap[i] = e;
    return top;
}

int64_t
world_one_way_us(const struct world *w, int zone_a, int zone_b)
{
    return zone_a == zone_b ? 100 : w->options.zone_latency_us;
}

int
world_node_zone(const struct world *w, int node)
{
    return node % w->fleet->zone_count;
}

struct world *
world_new(const struct world_options *o)
{
    struct world *w = mem_calloc(1, sizeof(*w));
    struct buf errors = {0};
    w->options = *o;
    rng_seed(&w->rng, o->seed);
    if (fleet_parse(str_from_cstr(o->config), &w->fleet, &errors) != ST_OK) {
        fprintf(stderr, "world: %s\n", errors.ptr);
        abort();
    }
    buf_free(&errors);
    for (int i = 0; i < WORLD_MAX_ENDPOINTS; i++) {
        w->queue_head[i] = NO_CALL;
    }
    w->now_us = 1000000;
    return w;
}

static void
free_event(struct event *e)
{
    if (!e->data) {
        return;
    }
    switch (e->kind) {
    case EV_MESSAGE:
        str_free(e->data);
        break;
    case EV_STORE_RESULT:
        str_free(&((struct store_result *)e->data)->value);
        break;
    case EV_CALL_DELIVER:
        str_free(&((struct delivery *)e->data)->text);
        break;
    case EV_CALLER_RECEIVE: {
        struct flow_action *a = e->data;
        if (a->kind == FLOW_ACT_TOKEN) {
            str_free(&a->token.text);
        }
        else if (a->kind == FLOW_ACT_ANSWER) {
            str_free(&a->answer.body);
        }
        break;
    }
    case EV_REQUEST_ARRIVE:
        str_free(e->data);
        break;
    default:
        break;
    }
    free(e->data);
}

void
world_free(struct world *w)
{
    for (int n = 0; n < w->options.nodes; n++) {
        node_stop(w, n, false);
    }
    for (size_t i = 0; i < w->heap_count; i++) {
        free_event(&w->heap[i]);
    }
    store_free(w);
    fleet_free(w->fleet);
    free(w->heap);
    free(w->calls);
    free(w->requests);
    free(w->edits);
    free(w->action_runs);
    free(w);
}

int
world_add_endpoint(struct world *w, const char *id, const char *vm,
                   const char *pool, const char *zone,
                   const struct world_endpoint_model *m)
{
    struct world_endpoint *e = &w->endpoints[w->endpoint_count];
    snprintf(e->id, sizeof(e->id), "%s", id);
    snprintf(e->vm, sizeof(e->vm), "%s", vm);
    e->pool = fleet_find_pool(w->fleet, str_from_cstr(pool));
    e->zone = fleet_find_zone(w->fleet, str_from_cstr(zone));
    e->model = *m;
    e->slow = 1;
    e->listed = true;
    e->leaving_since_us = INT64_MAX;
    return w->endpoint_count++;
}

void
world_publish_vms(struct world *w)
{
    struct buf b = {0};
    const char *sep = "";
    buf_printf(&b, "{\"vms\":[");
    for (int i = 0; i < w->endpoint_count; i++) {
        const struct world_endpoint *e = &w->endpoints[i];
        if (!e->listed) {
            continue;
        }
        struct str pool = w->fleet->pools[e->pool].name;
        struct str zone = w->fleet->zones[e->zone].name;
        buf_printf(&b,
                   "%s{\"vm\":\"%s\",\"zone\":\"%.*s\",\"state\":\"%s\","
                   "\"endpoints\":[{\"id\":\"%s\",\"pool\":\"%.*s\","
                   "\"url\":\"http://%s\"}]}",
                   sep, e->vm, STR_FMT(zone), e->leaving ? "leaving" : "live",
                   e->id, STR_FMT(pool), e->id);
        sep = ",";
    }
    buf_printf(&b, "]}");
    store_put(w, "platform/vms", buf_str(&b));
    buf_free(&b);
}

bool
world_start_nodes(struct world *w, int64_t limit_us)
{
    store_put(w, "cf/config", str_from_cstr(w->options.config));
    world_publish_vms(w);
    for (int n = 0; n < w->options.nodes; n++) {
        node_start(w, n);
    }
    world_schedule_event(w, w->now_us + 1000, EV_BALANCER_CHECK, 0, 0, NULL);
    int64_t end = w->now_us + limit_us;
    while (w->now_us < end) {
        int ready = 0;
        world_run_until(w, w->now_us + 50000);
        for (int n = 0; n < w->options.nodes; n++) {
            ready += world_node_is_ready(w, n) && w->nodes[n].snapshot;
        }
        if (ready == w->options.nodes) {
            return true;
        }
    }
    return false;
}

bool
world_node_paused(struct world *w, int node)
{
    return w->nodes[node].up && w->nodes[node].paused_until_us > w->now_us;
}

/* Reschedules an event of a paused node for the end of the pause. Returns
 * false if the event can be handled now. */
static bool
defer_if_paused(struct world *w, const struct event *e)
{
    switch (e->kind) {
    case EV_NODE_TICK:
    case EV_MESSAGE:
    case EV_STORE_RESULT:
    case EV_CALL_DELIVER:
    case EV_CALL_DEADLINE:
    case EV_PROBE_RESULT:
    case EV_DRAIN_START:
        if (world_node_paused(w, e->index)) {
            struct node *nd = &w->nodes[e->index];
            if (e->kind == EV_NODE_TICK && nd->tick_at_us == e->at_us) {
                nd->tick_at_us = nd->paused_until_us;
            }
            world_schedule_event(w, nd->paused_until_us, e->kind, e->index,
                                 e->id, e->data);
            return true;
        }
        return false;
    case EV_REQUEST_ARRIVE: {
        int n = w->requests[e->index].node;
        if (world_node_paused(w, n)) {
            world_schedule_event(w, w->nodes[n].paused_until_us, e->kind,
                                 e->index, e->id, e->data);
            return true;
        }
        return false;
    }
    default:
        return false;
    }
}

static void
deliver_request(struct world *w, const struct event *e)
{
    struct str *body = e->data;
    struct world_request *r = &w->requests[e->index];
    char id[32];
    char key[32];
    char deadline[32];
    char token[64];
    if (!w->nodes[r->node].up) {
        r->outcome = r->outcome == WORLD_PENDING ? WORLD_LOST : r->outcome;
        r->graceful_stop = w->nodes[r->node].was_drained;
        r->done_us = w->now_us;
    }
    else if (r->outcome == WORLD_PENDING) {
        snprintf(id, sizeof(id), "r%d", e->index);
        snprintf(key, sizeof(key), "k%" PRIu64, r->action);
        snprintf(deadline, sizeof(deadline), "%" PRId64,
                 (r->deadline_us - r->sent_us) / 1000);
        snprintf(token, sizeof(token), "token-%.*s",
                 STR_FMT(w->fleet->teams[r->team].name));
        struct flow_event ev = {.kind = FLOW_EV_REQUEST};
        ev.request = (struct flow_request){
            .req = (uint64_t)e->index,
            .request_id = str_from_cstr(id),
            .pipeline = w->fleet->pipelines[r->pipeline].name,
            .token = str_from_cstr(token),
            .key = r->action ? str_from_cstr(key) : (struct str){0},
            .deadline = str_from_cstr(deadline),
            .body = *body,
            .stream = r->stream,
        };
        node_handle_flow_event(w, r->node, &ev);
    }
    str_free(body);
    free(body);
}

/* An answer is correct if it contains the marker of its own request and no
 * other marker. */
static bool
answer_is_own(const struct world_request *r, struct str body)
{
    char mine[32];
    int n = snprintf(mine, sizeof(mine), "q%" PRIu64 "q", r->content);
    const char *p = body.ptr;
    const char *end = body.ptr + body.len;
    bool found = false;
    while (p && p < end && (p = memchr(p, 'q', (size_t)(end - p)))) {
        const char *q = p + 1;
        while (q < end && *q >= '0' && *q <= '9') {
            q++;
        }
        if (q > p + 1 && q < end && *q == 'q') {
            if (q - p + 1 != n || memcmp(p, mine, (size_t)n) != 0) {
                return false;
            }
            found = true;
        }
        p++;
    }
    return found;
}

static void
deliver_token(struct world *w, struct world_request *r,
              const struct flow_action *a)
{
    char want[32];
    if (a->token.index == 0) {
        snprintf(want, sizeof(want), "q%" PRIu64 "q", r->content);
        r->first_token_us = w->now_us;
    }
    else {
        snprintf(want, sizeof(want), " t%d", a->token.index);
    }
    r->wrong |=
        a->token.index != r->tokens || !str_eq_cstr(a->token.text, want);
    r->tokens++;
}

static void
deliver_to_caller(struct world *w, const struct event *e)
{
    struct flow_action *a = e->data;
    uint64_t req = a->kind == FLOW_ACT_TOKEN    ? a->token.req
                   : a->kind == FLOW_ACT_ANSWER ? a->answer.req
                                                : a->refuse.req;
    struct world_request *r = &w->requests[req];
    if (a->kind == FLOW_ACT_TOKEN) {
        deliver_token(w, r, a);
        str_free(&a->token.text);
        free(a);
        return;
    }
    r->answers++;
    if (w->options.mutation == WORLD_MUT_REPLAY_ANSWER) {
        r->answers++;
    }
    if (r->outcome == WORLD_PENDING) {
        r->done_us = w->now_us;
        if (a->kind == FLOW_ACT_ANSWER) {
            r->outcome = WORLD_ANSWERED;
            r->wrong |= !answer_is_own(r, a->answer.body);
        }
        else {
            r->outcome = WORLD_REFUSED;
            r->error = a->refuse.error;
            if (w->options.mutation == WORLD_MUT_DENY_RUN &&
                errkind_info(r->error)->ran != RAN_NOT) {
                r->error = ERRKIND_OVERLOADED;
            }
            r->ran_despite_not_run = r->action &&
                                     errkind_info(r->error)->ran == RAN_NOT &&
                                     world_action_runs(w, r->action) > 0;
        }
    }
    if (a->kind == FLOW_ACT_ANSWER) {
        str_free(&a->answer.body);
    }
    free(a);
}

static void
record_store_fault(struct world *w)
{
    const struct world_faults *k = &w->faults;
    if (k->store_down || k->store_cut_nodes || k->store_delay_us > 200000) {
        w->last_store_fault_us = w->now_us;
    }
}

int64_t
world_store_ok_since_us(struct world *w)
{
    record_store_fault(w);
    return w->last_store_fault_us == w->now_us ? INT64_MAX
                                               : w->last_store_fault_us;
}

struct str
world_store_value(const struct world *w, const char *key)
{
    for (int i = 0; i < w->store_count; i++) {
        if (str_eq_cstr(w->store[i].key, key)) {
            return w->store[i].value;
        }
    }
    return (struct str){0};
}

static void
run_balancer(struct world *w)
{
    for (int n = 0; n < w->options.nodes; n++) {
        w->nodes[n].in_rotation = w->nodes[n].up && !world_node_paused(w, n) &&
                                  !w->nodes[n].draining &&
                                  world_node_is_ready(w, n);
    }
    record_store_fault(w);
    world_schedule_event(w, w->now_us + BALANCER_INTERVAL_US,
                         EV_BALANCER_CHECK, 0, 0, NULL);
}

static void
dispatch(struct world *w, const struct event *e)
{
    switch (e->kind) {
    case EV_NODE_TICK:
    case EV_NODE_START:
    case EV_MESSAGE:
    case EV_DRAIN_START:
        node_handle_event(w, e);
        break;
    case EV_STORE_EXEC:
    case EV_STORE_RESULT:
    case EV_STORE_TIMEOUT:
        store_handle_event(w, e);
        break;
    case EV_REQUEST_ARRIVE:
        deliver_request(w, e);
        break;
    case EV_CALLER_RECEIVE:
        deliver_to_caller(w, e);
        break;
    case EV_BALANCER_CHECK:
        run_balancer(w);
        break;
    default:
        endpoint_handle_event(w, e);
        break;
    }
}

void
world_run_until(struct world *w, int64_t until_us)
{
    while (w->heap_count && w->heap[0].at_us <= until_us) {
        struct event e = pop(w);
        w->now_us = e.at_us > w->now_us ? e.at_us : w->now_us;
        if (!defer_if_paused(w, &e)) {
            dispatch(w, &e);
        }
    }
    w->now_us = until_us > w->now_us ? until_us : w->now_us;
}

bool
world_is_idle(const struct world *w)
{
    for (int i = 0; i < w->request_count; i++) {
        if (w->requests[i].outcome == WORLD_PENDING) {
            return false;
        }
    }
    for (size_t i = 0; i < w->heap_count; i++) {
        enum event_kind k = w->heap[i].kind;
        if (k == EV_REQUEST_ARRIVE || k == EV_CALLER_RECEIVE ||
            k == EV_DRAIN_START ||
            (k >= EV_CALL_ARRIVE && k <= EV_CALL_DELIVER)) {
            return false;
        }
    }
    return true;
}

static int
pick_ready_node(struct world *w)
{
    int ok[WORLD_MAX_NODES];
    int count = 0;
    for (int n = 0; n < w->options.nodes; n++) {
        if (w->nodes[n].in_rotation) {
            ok[count++] = n;
        }
    }
    return count ? ok[rng_below(&w->rng, (uint64_t)count)] : -1;
}

int
world_send_request(struct world *w, int node, const struct world_request *r,
                   int64_t deadline_ms)
{
    node = node < 0 ? pick_ready_node(w) : node;
    if (node < 0) {
        return -1;
    }
    if (w->request_count == w->request_cap) {
        w->request_cap = w->request_cap ? w->request_cap * 2 : 1024;
        w->requests = mem_realloc(w->requests, (size_t)w->request_cap,
                                  sizeof(*w->requests));
    }
    int i = w->request_count++;
    struct world_request *q = &w->requests[i];
    *q = *r;
    q->node = node;
    q->sent_us = w->now_us;
    q->deadline_us = w->now_us + deadline_ms * 1000;
    q->outcome = WORLD_PENDING;
    q->content = r->content ? r->content : (uint64_t)i + 1;
    struct buf b = {0};
    buf_printf(&b, "{\"input\":\"%sask q%" PRIu64 "q\"",
               q->wrong ? "CRASH " : "", q->content);
    if (q->action) {
        buf_printf(&b, ",\"action_id\":\"a%" PRIu64 "a\"", q->action);
    }
    buf_printf(&b, "}");
    q->wrong = false;
    struct str *body = mem_calloc(1, sizeof(*body));
    *body = buf_take_str(&b);
    world_schedule_event(w, w->now_us + w->options.client_latency_us,
                         EV_REQUEST_ARRIVE, i, 0, body);
    return i;
}

void
world_disconnect_caller(struct world *w, int request)
{
    struct world_request *r = &w->requests[request];
    if (r->outcome != WORLD_PENDING) {
        return;
    }
    r->outcome = WORLD_DISCONNECTED;
    struct flow_event ev = {.kind = FLOW_EV_CALLER_GONE,
                            .caller_gone = (uint64_t)request};
    node_handle_flow_event(w, r->node, &ev);
}

void
world_kill_node(struct world *w, int node, int64_t restart_after_us)
{
    if (w->nodes[node].up) {
        node_stop(w, node, false);
        if (restart_after_us > 0) {
            world_schedule_event(w, w->now_us + restart_after_us,
                                 EV_NODE_START, node, 0, NULL);
        }
    }
}

void
world_pause_node(struct world *w, int node, int64_t duration_us)
{
    w->nodes[node].paused_until_us = w->now_us + duration_us;
}

void
world_start_drain(struct world *w, int node, int64_t restart_after_us)
{
    struct node *nd = &w->nodes[node];
    if (!nd->up || nd->draining) {
        return;
    }
    nd->draining = true;
    nd->in_rotation = false;
    for (int i = 0; i < w->request_count; i++) {
        struct world_request *r = &w->requests[i];
        r->open_at_drain |= r->node == node && r->outcome == WORLD_PENDING;
    }
    nd->restart_after_us = restart_after_us;
    if (w->options.mutation == WORLD_MUT_CUT_DRAIN) {
        node_stop(w, node, true);
        if (restart_after_us > 0) {
            world_schedule_event(w, w->now_us + restart_after_us,
                                 EV_NODE_START, node, 0, NULL);
        }
        return;
    }
    world_schedule_event(w, w->now_us + BALANCER_DRAIN_US, EV_DRAIN_START,
                         node, nd->incarnation, NULL);
}

int
world_send_edit(struct world *w, int node, const char *path,
                const char *value_json, const char *reason, const char *by,
                const char *change, int64_t base)
{
    w->edits =
        mem_realloc(w->edits, (size_t)w->edit_count + 1, sizeof(*w->edits));
    int id = w->edit_count++;
    w->edits[id] = (struct edit){ERRKIND_COUNT, 0, 0};
    struct buf b = {0};
    buf_printf(&b,
               "{\"change\":\"%s\",\"by\":\"%s\",\"base\":%" PRId64
               ",\"set\":[{\"path\":\"%s\",\"value\":%s,\"reason\":\"%s\"}]}",
               change, by, base, path, value_json, reason);
    struct control_event ev = {.kind = CONTROL_EV_ADMIN};
    ev.admin.id = (uint64_t)id;
    ev.admin.verb = ADMIN_EDIT;
    ev.admin.body = buf_str(&b);
    ev.admin.deadline_us = w->now_us + 8000000;
    node_handle_control_event(w, node, &ev);
    buf_free(&b);
    return id;
}

enum errkind
world_edit_result(const struct world *w, int edit, int64_t *done_us,
                  int64_t *revision)
{
    if (done_us) {
        *done_us = w->edits[edit].done_us;
    }
    if (revision) {
        *revision = w->edits[edit].revision;
    }
    return w->edits[edit].result;
}
