#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/forward_world_state.h"

static void
sim_event_free(struct sim_event *ev)
{
    for (int i = 0; i < ev->result_count; i++) {
        str_free(&ev->results[i].handle);
    }
    free(ev->results);
    g_free(ev->msg);
    if (ev->strings) {
        g_ptr_array_free(ev->strings, TRUE);
    }
    free(ev);
}

static bool
event_is_earlier(const struct sim_event *a, const struct sim_event *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

struct sim_event *
forward_world_schedule(struct forward_world *w, int64_t at_us,
                       enum sim_event_kind kind, int node)
{
    struct sim_event *ev = mem_calloc(1, sizeof(*ev));
    ev->at_us = at_us;
    ev->seq = ++w->seq;
    ev->kind = kind;
    ev->node = node;
    ev->endpoint = -1;
    ev->meta = (struct response_meta){.same_request = true,
                                      .sealed = true,
                                      .framed = true,
                                      .length = -1,
                                      .running = -1};
    g_ptr_array_add(w->events, ev);
    void **heap = w->events->pdata;
    for (guint i = w->events->len - 1; i > 0; i = (i - 1) / 2) {
        if (!event_is_earlier(heap[i], heap[(i - 1) / 2])) {
            break;
        }
        void *t = heap[i];
        heap[i] = heap[(i - 1) / 2];
        heap[(i - 1) / 2] = t;
    }
    return ev;
}

static struct sim_event *
pop_event(struct forward_world *w)
{
    void **heap = w->events->pdata;
    struct sim_event *first = heap[0];
    heap[0] = heap[w->events->len - 1];
    g_ptr_array_set_size(w->events, (gint)w->events->len - 1);
    guint n = w->events->len;
    for (guint i = 0;;) {
        guint least = i;
        for (guint k = 2 * i + 1; k <= 2 * i + 2 && k < n; k++) {
            least = event_is_earlier(heap[k], heap[least]) ? k : least;
        }
        if (least == i) {
            return first;
        }
        void *t = heap[i];
        heap[i] = heap[least];
        heap[least] = t;
        i = least;
    }
}

uint64_t
forward_world_call_key(int node, uint64_t call)
{
    return (uint64_t)(node + 1) << 48 ^ call;
}

/* Fails the test if the inputs of a call are results that were produced for
 * another request. */
static void
check_inputs(const struct forward_world *w, struct str request, int count,
             const struct str *inputs)
{
    for (int i = 0; i < count; i++) {
        g_assert_nonnull(inputs[i].ptr);
        char *key = g_strndup(inputs[i].ptr, inputs[i].len);
        const char *made_for = g_hash_table_lookup(w->result_owners, key);
        g_assert_nonnull(made_for);
        g_assert_true(str_eq_cstr(request, made_for));
        g_free(key);
    }
}

static int64_t
result_bytes(const struct forward_world *w, const struct piece_item *it)
{
    int64_t number = 0;
    str_to_i64(str_from_bytes(it->request_id.ptr + 1, it->request_id.len - 1),
               &number);
    const struct fw_request *r =
        forward_world_find_request(w, (uint64_t)number);
    /* Stage messages that a test made itself belong to no request. */
    return r ? w->routes[r->route].stage_bytes[it->stage] : 0;
}

/* Callbacks of the forwarding cores */

static void
io_send(void *ctx, const struct forward_call *call)
{
    struct sim_node *n = ctx;
    struct forward_world *w = n->world;
    struct sim_call *job = mem_calloc(1, sizeof(*job));
    job->node = n->index;
    job->call = call->id;
    job->request = call->request;
    job->resume_after = call->resume_after;
    job->urgency = call->urgency;
    char id[24];
    snprintf(id, sizeof(id), "r%llu", (unsigned long long)call->request);
    check_inputs(w, str_from_cstr(id), call->input_count, call->inputs);
    if (call->input_count > 0) {
        job->inputs = g_ptr_array_new_with_free_func(g_free);
    }
    for (int i = 0; i < call->input_count; i++) {
        g_ptr_array_add(job->inputs,
                        g_strndup(call->inputs[i].ptr, call->inputs[i].len));
    }
    forward_world_receive_call(
        w, forward_world_find_endpoint(w, call->address), job);
}

static void
io_send_pieces(void *ctx, const struct pieces_call *call)
{
    struct sim_node *n = ctx;
    struct forward_world *w = n->world;
    struct sim_call *job = mem_calloc(1, sizeof(*job));
    job->node = n->index;
    job->call = call->id;
    job->pieces = true;
    job->count = call->item_count < 128 ? call->item_count : 128;
    for (int i = 0; i < job->count; i++) {
        const struct piece_item *it = &call->items[i];
        snprintf(job->items[i].request, sizeof(job->items[i].request), "%.*s",
                 STR_FMT(it->request_id));
        job->items[i].bytes = result_bytes(w, it);
        check_inputs(w, it->request_id, it->input_count, it->inputs);
    }
    struct sim_endpoint *s = forward_world_find_endpoint(w, call->address);
    int64_t limit = w->now_us + call->timeout_ms * MS;
    struct sim_event *ev =
        forward_world_schedule(w, limit, SIM_PIECES_END, n->index);
    ev->call = call->id;
    ev->end = CALL_END_TIMED_OUT;
    forward_world_receive_call(w, s, job);
}

static void
io_release(void *ctx, const struct release_call *call)
{
    struct sim_node *n = ctx;
    struct sim_endpoint *s =
        forward_world_find_endpoint(n->world, call->address);
    s->spec->releases++;
    for (int i = 0; i < call->handle_count; i++) {
        char *key = g_strndup(call->handles[i].ptr, call->handles[i].len);
        const struct held_result *r = g_hash_table_lookup(s->results, key);
        if (r) {
            s->used_bytes -= r->bytes;
            s->spec->held--;
            g_hash_table_remove(s->results, key);
        }
        g_free(key);
    }
}

static void
io_ask_room(void *ctx, const struct report_call *call)
{
    struct sim_node *n = ctx;
    struct forward_world *w = n->world;
    struct sim_endpoint *s = forward_world_find_endpoint(w, call->address);
    struct sim_event *ev = forward_world_schedule(
        w, w->now_us + 2 * ONE_WAY_US, SIM_FREE_MEMORY, n->index);
    ev->call = call->id;
    ev->free_bytes =
        s->spec->dead || s->spec->silent ? -1 : forward_world_free_bytes(w, s);
}

static void
io_probe(void *ctx, const struct report_call *call)
{
    struct sim_node *n = ctx;
    struct forward_world *w = n->world;
    const struct sim_endpoint *s =
        forward_world_find_endpoint(w, call->address);
    struct sim_event *ev = forward_world_schedule(
        w, w->now_us + 2 * ONE_WAY_US, SIM_PROBED, n->index);
    ev->call = call->id;
    ev->probed = PROBE_ALIVE;
    if (s->spec->dead) {
        ev->probed = w->now_us < s->crashed_us + w->exit_us ? PROBE_BROKEN
                                                            : PROBE_REFUSED;
    }
}

static struct str
copy_str(GPtrArray *strings, struct str s)
{
    char *copy = g_strndup(s.ptr ? s.ptr : "", s.len);
    g_ptr_array_add(strings, copy);
    return str_from_bytes(copy, s.len);
}

static int
find_node(const struct forward_world *w, uint64_t hash)
{
    for (int i = 0; i < w->node_count; i++) {
        if (w->nodes[i].hash == hash) {
            return i;
        }
    }
    return -1;
}

static void
set_connected(struct forward_world *w, int a, int b, bool connected)
{
    w->connected[a * w->node_count + b] = connected;
    w->connected[b * w->node_count + a] = connected;
}

/* Occupies a node with work of this length. @return the end of the work */
static int64_t
occupy_node(struct sim_node *n, int64_t from_us, int64_t work_us)
{
    if (work_us == 0) {
        return from_us;
    }
    n->busy_until_us = MAX(n->busy_until_us, from_us) + work_us;
    return n->busy_until_us;
}

/* Returns when a message that is sent now arrives. */
static int64_t
message_arrival_us(struct forward_world *w, struct sim_node *from,
                   const struct sim_node *to)
{
    return occupy_node(from, w->now_us, w->message_us) + ONE_WAY_US +
           to->message_delay_us;
}

static void
io_send_message(void *ctx, uint64_t node, const struct stage_msg *m)
{
    struct sim_node *n = ctx;
    struct forward_world *w = n->world;
    if (w->drop_count > 0 && m->kind == w->drop_kind) {
        w->drop_count--;
        return;
    }
    int to = find_node(w, node);
    if (to < 0 || n->cut || w->nodes[to].cut) {
        return;
    }
    if (w->nodes[to].old_build && m->kind == STAGE_MSG_REQUEST) {
        g_assert_cmpuint(m->request.team, ==, 0);
        g_assert_cmpint(m->request.waited_before_us, ==, 0);
    }
    if (m->kind == STAGE_MSG_RESULTS &&
        (n->old_build || w->nodes[to].old_build)) {
        return;
    }
    struct sim_event *ev = forward_world_schedule(
        w, message_arrival_us(w, n, &w->nodes[to]), SIM_MESSAGE, to);
    ev->work_us = w->message_us;
    if (!w->connected[n->index * w->node_count + to]) {
        set_connected(w, n->index, to, true);
        ev->work_us += w->handshake_us;
    }
    w->nodes[to].received_messages++;
    w->message_counts[m->kind]++;
    ev->from = n->hash;
    ev->msg = g_new(struct stage_msg, 1);
    *ev->msg = *m;
    ev->strings = g_ptr_array_new_with_free_func(g_free);
    if (m->kind == STAGE_MSG_REQUEST) {
        struct stage_work_request *a = &ev->msg->request;
        a->request_id = copy_str(ev->strings, a->request_id);
        a->zone = copy_str(ev->strings, a->zone);
        a->key = copy_str(ev->strings, a->key);
        for (int k = 0; k < a->input_count; k++) {
            a->inputs[k] = copy_str(ev->strings, a->inputs[k]);
        }
    }
    else if (m->kind == STAGE_MSG_RESULT) {
        ev->msg->result.handle = copy_str(ev->strings, m->result.handle);
    }
    else if (m->kind == STAGE_MSG_RESULTS) {
        for (int k = 0; k < m->results.count; k++) {
            ev->msg->results.items[k].handle =
                copy_str(ev->strings, m->results.items[k].handle);
        }
    }
}

static void
io_reconnect(void *ctx, uint64_t node)
{
    struct sim_node *n = ctx;
    int to = find_node(n->world, node);
    n->world->reconnect_count++;
    if (to >= 0) {
        set_connected(n->world, n->index, to, true);
        occupy_node(&n->world->nodes[to], n->world->now_us,
                    n->world->handshake_us);
    }
}

static void
io_cancel(void *ctx, uint64_t call)
{
    struct sim_node *n = ctx;
    uint64_t *key = g_new(uint64_t, 1);
    *key = forward_world_call_key(n->index, call);
    g_hash_table_add(n->world->cancelled, key);
}

static void
io_keep_head(void *ctx, uint64_t request)
{
    struct sim_node *n = ctx;
    forward_world_find_request(n->world, request)->status = 200;
}

static void
io_begin(void *ctx, uint64_t request, int64_t length)
{
    struct sim_node *n = ctx;
    (void)length;
    forward_world_find_request(n->world, request)->first_byte_us =
        n->world->now_us;
}

static void
io_hold(void *ctx, uint64_t call, uint64_t request)
{
    struct sim_node *n = ctx;
    (void)call;
    (void)request;
    n->world->pause_count++;
}

static size_t
io_body(void *ctx, uint64_t request, struct str bytes)
{
    struct sim_node *n = ctx;
    buf_append_str(&forward_world_find_request(n->world, request)->body,
                   bytes);
    return n->world->backlog;
}

static void
end_request(struct sim_node *n, uint64_t request, enum fw_outcome end)
{
    struct fw_request *r = forward_world_find_request(n->world, request);
    g_assert_cmpint(r->end, ==, FW_OPEN);
    r->end = end;
    r->end_us = n->world->now_us;
}

static void
io_finish(void *ctx, uint64_t request)
{
    end_request(ctx, request, FW_ANSWERED);
}

static void
io_abort(void *ctx, uint64_t request)
{
    end_request(ctx, request, FW_ABORTED);
}

static void
io_refuse(void *ctx, uint64_t request, enum errkind kind,
          const char *refusal_reason, int64_t retry_after_ms)
{
    struct sim_node *n = ctx;
    struct fw_request *r = forward_world_find_request(n->world, request);
    r->refusal_reason = refusal_reason;
    r->status = errkind_info(kind)->http_status;
    r->retry_after_ms = retry_after_ms;
    end_request(n, request, r->status == 503 ? FW_REFUSED : FW_FAILED);
}

/* Set-up and control of the simulation */

static struct str
dup_cstr(const char *s)
{
    return str_dup(str_from_cstr(s));
}

static struct routing *
make_routing(struct forward_world *w, const struct fw_route *routes,
             int route_count)
{
    struct routing *rt = routing_new(1);
    for (int i = 0; i < w->service_count; i++) {
        const struct fw_service *from = &w->services[i];
        struct service s = {.name = dup_cstr(from->name),
                            .is_engine = from->engine,
                            .engine_slots = from->engine_slots,
                            .engine_tokens = from->engine_tokens
                                                 ? from->engine_tokens
                                                 : 500000,
                            .cold_requests_per_s = from->cold_requests_per_s,
                            .cold_us = from->cold_us,
                            .processes_pieces = from->pieces.batch > 0,
                            .pieces = from->pieces};
        routing_add_service(rt, &s);
    }
    struct routing_team team = {dup_cstr("team"), -1};
    routing_add_credential(rt, STR_LIT(CREDENTIAL),
                           routing_add_team(rt, &team));
    for (int i = 1; i <= FORWARD_WORLD_TEAMS; i++) {
        char name[32];
        char key[32];
        snprintf(name, sizeof(name), "team-%d", i);
        snprintf(key, sizeof(key), CREDENTIAL "-%d", i);
        struct routing_team more = {dup_cstr(name), -1};
        routing_add_credential(rt, str_from_cstr(key),
                               routing_add_team(rt, &more));
    }
    for (int i = 0; i < route_count; i++) {
        const struct fw_route *from = &routes[i];
        struct route r = {.name = dup_cstr(from->host),
                          .host = dup_cstr(from->host),
                          .prefix = dup_cstr("/"),
                          .kind = from->kind,
                          .resumable = from->resumable,
                          .timeout_us = from->timeout_us,
                          .target_us = from->target_us,
                          .caller_disconnect_us = from->caller_disconnect_us,
                          .max_event_gap_us = from->max_event_gap_us,
                          .priority = from->priority,
                          .max_attempts = from->max_attempts,
                          .target_count = 1,
                          .stage_count = from->stage_count};
        r.targets[0] = (struct route_target){
            routing_find_service(rt, str_from_cstr(from->service)), 1};
        for (int k = 0; k < from->stage_count; k++) {
            r.stages[k].service = routing_find_service(
                rt, str_from_cstr(from->stage_service[k]));
            r.stages[k].after = from->stage_after[k];
            r.stages[k].bytes = from->stage_bytes[k];
            for (int m = 0; m < k; m++) {
                r.stages[m].feeds_stage |= from->stage_after[k] >> m & 1;
            }
        }
        routing_add_route(rt, &r);
    }
    return rt;
}

void
forward_world_publish_view(struct forward_world *w, const bool *removed)
{
    struct cluster_view *cluster_view = cluster_view_new(
        w->routing, w->node_count, w->endpoint_count, w->node_count);
    for (int i = 0; i < w->node_count; i++) {
        char text[32];
        snprintf(text, sizeof(text), "tcp://%d key%d", i,
                 w->nodes[i].start_count);
        cluster_view_add_node(cluster_view, str_from_cstr(w->nodes[i].name),
                              str_from_cstr(text), 0);
    }
    cluster_view_sort_nodes(cluster_view);
    cluster_view->nodes_version = ++w->nodes_version;
    for (int i = 0; i < w->endpoint_count; i++) {
        const struct fw_endpoint *e = w->sim_endpoints[i].spec;
        char address[24];
        snprintf(address, sizeof(address), "%d", i);
        struct endpoint_record rec = {.id = str_from_cstr(e->id),
                                      .address = str_from_cstr(address),
                                      .zone = str_from_cstr(e->zone),
                                      .version = str_from_cstr(e->version),
                                      .slots = e->slots,
                                      .started_ms = e->started_ms};
        w->sim_endpoints[i].removed = removed && removed[i];
        if (!w->sim_endpoints[i].removed) {
            cluster_view_add_endpoint(
                cluster_view, &rec,
                routing_find_service(w->routing, str_from_cstr(e->service)),
                e->cold_until_us);
        }
    }
    for (int i = 0; i < w->node_count; i++) {
        forward_set_site(w->nodes[i].core, w->now_us, cluster_view);
    }
    cluster_view_unref(cluster_view);
}

static void
start_node(const struct forward_world *w, struct sim_node *n)
{
    n->start_count++;
    struct forward_options opts = {.node = str_from_cstr(n->name),
                                   .zone = STR_LIT("a"),
                                   .repeats = w->repeats,
                                   .predecessor_until_us =
                                       n->start_count > 1 ? w->now_us : 0,
                                   .max_store_age_us = MAX_STORE_AGE_US,
                                   .ignore_teams = w->ignore_teams,
                                   .seed = w->seed + (uint64_t)n->index +
                                           1000 * (uint64_t)n->start_count};
    const struct forward_io io = {n,
                                  io_send,
                                  io_send_pieces,
                                  io_release,
                                  io_ask_room,
                                  io_send_message,
                                  io_reconnect,
                                  io_cancel,
                                  io_keep_head,
                                  io_begin,
                                  io_hold,
                                  io_body,
                                  io_finish,
                                  io_abort,
                                  io_refuse,
                                  io_probe};
    n->core = forward_new(&opts, &io);
}

struct forward_world *
forward_world_new(int nodes, const struct fw_service *services,
                  int service_count, const struct fw_route *routes,
                  int route_count, struct fw_endpoint *endpoints,
                  int endpoint_count, uint64_t seed)
{
    struct forward_world *w = mem_calloc(1, sizeof(*w));
    w->seed = seed;
    rng_seed(&w->rng, seed);
    w->result_owners =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    w->repeats = (struct repeat_limit){0.2, 100, 10000 * MS};
    w->now_us = 1000 * MS;
    w->services = services;
    w->routes = routes;
    w->route_count = route_count;
    w->service_count = service_count;
    w->requests = g_ptr_array_new();
    w->events = g_ptr_array_new();
    w->cancelled =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    w->deadly_arrivals_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    w->crashes_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    w->arrivals = g_array_new(FALSE, FALSE, sizeof(struct sim_arrival));
    w->endpoint_count = endpoint_count;
    w->sim_endpoints =
        mem_calloc((size_t)endpoint_count, sizeof(struct sim_endpoint));
    for (int i = 0; i < endpoint_count; i++) {
        w->sim_endpoints[i].spec = &endpoints[i];
        g_queue_init(&w->sim_endpoints[i].waiting);
        g_queue_init(&w->sim_endpoints[i].unread);
        w->sim_endpoints[i].results =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    w->routing = make_routing(w, routes, route_count);
    w->node_count = nodes;
    w->nodes = mem_calloc((size_t)nodes, sizeof(struct sim_node));
    w->connected = mem_calloc((size_t)nodes * (size_t)nodes, sizeof(bool));
    for (int i = 0; i < nodes; i++) {
        struct sim_node *n = &w->nodes[i];
        n->world = w;
        n->index = i;
        snprintf(n->name, sizeof(n->name), "node-%d", i);
        n->hash = hash64(str_from_cstr(n->name));
        start_node(w, n);
    }
    forward_world_publish_view(w, NULL);
    return w;
}

static void
sim_queue_clear(GQueue *calls)
{
    struct sim_call *job;
    while ((job = g_queue_pop_head(calls))) {
        forward_world_free_call(job);
    }
}

void
forward_world_free(struct forward_world *w)
{
    for (int i = 0; i < w->node_count; i++) {
        forward_free(w->nodes[i].core);
    }
    for (int i = 0; i < w->endpoint_count; i++) {
        sim_queue_clear(&w->sim_endpoints[i].waiting);
        sim_queue_clear(&w->sim_endpoints[i].unread);
        forward_world_engine_stop(&w->sim_endpoints[i]);
        g_hash_table_destroy(w->sim_endpoints[i].results);
    }
    for (guint i = 0; i < w->events->len; i++) {
        sim_event_free(g_ptr_array_index(w->events, i));
    }
    for (guint i = 0; i < w->requests->len; i++) {
        struct fw_request *r = g_ptr_array_index(w->requests, i);
        buf_free(&r->body);
        free(r);
    }
    routing_unref(w->routing);
    g_ptr_array_free(w->events, TRUE);
    g_ptr_array_free(w->requests, TRUE);
    g_array_free(w->deadly_arrivals_us, TRUE);
    g_array_free(w->crashes_us, TRUE);
    g_array_free(w->arrivals, TRUE);
    g_hash_table_destroy(w->cancelled);
    g_hash_table_destroy(w->result_owners);
    free(w->connected);
    free(w->nodes);
    free(w->sim_endpoints);
    free(w);
}

static void
update_options(struct forward_world *w)
{
    for (int i = 0; i < w->node_count; i++) {
        const struct forward_options opts = {.repeats = w->repeats,
                                             .max_store_age_us =
                                                 MAX_STORE_AGE_US,
                                             .ignore_teams = w->ignore_teams};
        forward_set_options(w->nodes[i].core, &opts);
    }
}

void
forward_world_set_repeat_limit(struct forward_world *w,
                               const struct repeat_limit *limit)
{
    w->repeats = *limit;
    update_options(w);
}

void
forward_world_set_ignore_teams(struct forward_world *w, bool ignore)
{
    w->ignore_teams = ignore;
    update_options(w);
}

void
forward_world_set_cut(struct forward_world *w, int node, bool cut)
{
    w->nodes[node].cut = cut;
}

void
forward_world_set_old_build(struct forward_world *w, int node)
{
    w->nodes[node].old_build = true;
}

void
forward_world_set_message_delay(struct forward_world *w, int node,
                                int64_t delay_us)
{
    w->nodes[node].message_delay_us = delay_us;
}

void
forward_world_set_processing_times(struct forward_world *w, int64_t message_us,
                                   int64_t handshake_us)
{
    w->message_us = message_us;
    w->handshake_us = handshake_us;
}

void
forward_world_set_fixed_engines(struct forward_world *w)
{
    for (int i = 0; i < w->node_count; i++) {
        forward_set_fixed_engines(w->nodes[i].core);
    }
}

void
forward_world_set_caller_backlog(struct forward_world *w, size_t backlog)
{
    w->backlog = backlog;
}

int
forward_world_pause_count(const struct forward_world *w)
{
    return w->pause_count;
}

void
forward_world_pause_node(struct forward_world *w, int node,
                         int64_t duration_us)
{
    w->nodes[node].paused_until_us = w->now_us + duration_us;
}

int
forward_world_received_messages(const struct forward_world *w, int node)
{
    return w->nodes[node].received_messages;
}

int
forward_world_message_count(const struct forward_world *w,
                            enum stage_msg_kind kind)
{
    return w->message_counts[kind];
}

int
forward_world_reconnect_count(const struct forward_world *w)
{
    return w->reconnect_count;
}

/* Returns whether an event concerns an endpoint and no node. */
static bool
is_endpoint_event(enum sim_event_kind kind)
{
    return kind == SIM_SLOT_FREE || kind == SIM_CRASH || kind == SIM_RESTART ||
           kind == SIM_RESUME || kind == SIM_ENGINE_STEP;
}

void
forward_world_restart_node(struct forward_world *w, int node)
{
    struct sim_node *n = &w->nodes[node];
    for (guint i = 0; i < w->requests->len; i++) {
        struct fw_request *r = g_ptr_array_index(w->requests, i);
        if (r->node == node && r->end == FW_OPEN) {
            r->end = FW_ABORTED;
            r->end_us = w->now_us;
        }
    }
    /* Messages that the process would send while it ends are lost. */
    n->cut = true;
    forward_free(n->core);
    n->cut = false;
    for (guint i = 0; i < w->events->len; i++) {
        struct sim_event *ev = g_ptr_array_index(w->events, i);
        if (ev->node == node && !is_endpoint_event(ev->kind)) {
            ev->kind = SIM_DROPPED;
        }
    }
    for (int i = 0; i < w->node_count; i++) {
        set_connected(w, node, i, false);
    }
    start_node(w, n);
    bool *removed = g_new0(bool, w->endpoint_count);
    for (int i = 0; i < w->endpoint_count; i++) {
        removed[i] = w->sim_endpoints[i].removed;
    }
    forward_world_publish_view(w, removed);
    g_free(removed);
}

void
forward_world_drop_messages(struct forward_world *w, enum stage_msg_kind kind,
                            int count)
{
    w->drop_kind = kind;
    w->drop_count = count;
}

void
forward_world_set_store_lost(struct forward_world *w, int node, bool lost)
{
    w->nodes[node].store_lost = lost;
}

int
forward_world_send_request(struct forward_world *w, int node,
                           const struct fw_request_spec *ask)
{
    struct fw_request *r = mem_calloc(1, sizeof(*r));
    g_ptr_array_add(w->requests, r);
    r->id = w->requests->len;
    r->node = node;
    for (int i = 0; i < w->route_count; i++) {
        r->route = strcmp(w->routes[i].host, ask->host) == 0 ? i : r->route;
    }
    r->sent_us = w->now_us;
    snprintf(r->name, sizeof(r->name), "r%llu", (unsigned long long)r->id);
    uint64_t content = ask->content ? ask->content : r->id * 7919;
    struct forward_request in = {
        .id = r->id,
        .request_id = str_from_cstr(r->name),
        .host = str_from_cstr(ask->host),
        .path = STR_LIT("/x"),
        .credential = ask->key ? str_from_cstr(ask->key) : STR_LIT(CREDENTIAL),
        .content = {content, content},
        .caller_timeout_us = ask->caller_timeout_us,
        .resume_after = -1,
        .prompt_tokens = ask->prompt_tokens,
        .max_output_tokens = ask->output_tokens,
        .piece_key = STR_LIT("key")};
    r->prompt_tokens = ask->prompt_tokens;
    if (ask->shared_prompt_id) {
        r->shared_tokens = ask->shared_tokens ? ask->shared_tokens
                                              : ask->prompt_tokens * 3 / 4;
        in.parts[in.part_count++] =
            (struct prompt_part){ask->shared_prompt_id, r->shared_tokens};
        if (ask->second_part) {
            in.parts[in.part_count++] =
                (struct prompt_part){ask->second_part, 0};
        }
        in.parts[in.part_count++] = (struct prompt_part){
            content, ask->prompt_tokens - r->shared_tokens};
    }
    r->content = content;
    r->parts[0] = ask->shared_prompt_id;
    r->parts[1] = ask->second_part;
    for (int i = 0; i < 4; i++) {
        in.piece_counts[i] = ask->pieces[i];
    }
    struct sim_node *n = &w->nodes[node];
    if (!n->store_lost) {
        forward_set_store_contact(n->core, w->now_us);
    }
    forward_accept(n->core, w->now_us, &in);
    return (int)w->requests->len - 1;
}

void
forward_world_disconnect_caller(struct forward_world *w, int request)
{
    struct fw_request *r = g_ptr_array_index(w->requests, request);
    if (r->end == FW_OPEN) {
        r->end = FW_ABORTED;
        r->end_us = w->now_us;
        forward_caller_disconnected(w->nodes[r->node].core, w->now_us, r->id);
    }
}

const struct fw_request *
forward_world_request(const struct forward_world *w, int index)
{
    return g_ptr_array_index(w->requests, index);
}

int
forward_world_request_count(const struct forward_world *w)
{
    return (int)w->requests->len;
}

static void
dispatch_event(struct forward_world *w, struct sim_event *ev)
{
    struct sim_node *n = &w->nodes[ev->node];
    uint64_t key = forward_world_call_key(ev->node, ev->call);
    if (ev->kind == SIM_SLOT_FREE) {
        struct sim_endpoint *s = &w->sim_endpoints[ev->endpoint];
        s->running--;
        forward_world_start_calls(w, s);
        return;
    }
    if (ev->kind == SIM_CRASH) {
        /* Endpoints drop a request whose connection was closed. */
        if (g_hash_table_contains(w->cancelled, &key)) {
            return;
        }
        g_array_append_val(w->crashes_us, w->now_us);
        forward_world_crash_endpoint(w, ev->endpoint, w->deadly_down_us);
        return;
    }
    if (ev->kind == SIM_RESTART) {
        w->sim_endpoints[ev->endpoint].spec->dead = false;
        return;
    }
    if (ev->kind == SIM_ENGINE_STEP) {
        forward_world_engine_step(w, &w->sim_endpoints[ev->endpoint]);
        return;
    }
    if (ev->kind == SIM_RESUME) {
        forward_world_resume_endpoint(w, &w->sim_endpoints[ev->endpoint]);
        return;
    }
    if (ev->kind != SIM_MESSAGE && g_hash_table_contains(w->cancelled, &key)) {
        return;
    }
    switch (ev->kind) {
    case SIM_CALL_HEAD:
        forward_response_head(n->core, w->now_us, ev->call, ev->status,
                              &ev->meta);
        break;
    case SIM_CALL_BYTES:
        forward_response_body(n->core, w->now_us, ev->call,
                              str_from_cstr(ev->text));
        break;
    case SIM_CALL_END:
        forward_call_ended(n->core, w->now_us, ev->call, ev->end);
        break;
    case SIM_PIECES_END:
        forward_pieces_call_ended(n->core, w->now_us, ev->call, ev->end,
                                  ev->status, &ev->meta, ev->result_count,
                                  ev->results);
        break;
    case SIM_FREE_MEMORY:
        forward_memory_reported(n->core, w->now_us, ev->call, ev->free_bytes);
        break;
    case SIM_PROBED:
        forward_endpoint_probed(n->core, w->now_us, ev->call, ev->probed);
        break;
    case SIM_MESSAGE:
        if (!n->cut) {
            forward_handle_stage_msg(n->core, w->now_us, ev->from, ev->msg);
        }
        break;
    case SIM_SLOT_FREE:
    case SIM_CRASH:
    case SIM_RESTART:
    case SIM_RESUME:
    case SIM_ENGINE_STEP:
    case SIM_DROPPED:
        break;
    }
}

/* @param ev is freed */
static void
reschedule(struct forward_world *w, struct sim_event *ev, int64_t at_us)
{
    struct sim_event *later =
        forward_world_schedule(w, at_us, ev->kind, ev->node);
    uint64_t seq = later->seq;
    *later = *ev;
    later->at_us = at_us;
    later->seq = seq;
    free(ev);
}

/* Reschedules an event of a paused node for the end of the pause. @return
 * true if it was rescheduled; @p ev is then freed */
static bool
defer_if_paused(struct forward_world *w, struct sim_event *ev)
{
    int64_t until_us = w->nodes[ev->node].paused_until_us;
    if (is_endpoint_event(ev->kind) || w->now_us > until_us) {
        return false;
    }
    reschedule(w, ev, until_us + STEP_US);
    return true;
}

/* Reschedules a message for the time at which its node has done the work that
 * came before it and that of the message. @return true if it was rescheduled;
 * @p ev is then freed */
static bool
defer_for_work(struct forward_world *w, struct sim_event *ev)
{
    if (ev->work_us == 0) {
        return false;
    }
    int64_t done_us = occupy_node(&w->nodes[ev->node], w->now_us, ev->work_us);
    ev->work_us = 0;
    reschedule(w, ev, done_us);
    return true;
}

void
forward_world_run_until(struct forward_world *w, int64_t until_us)
{
    while (w->now_us < until_us) {
        while (w->events->len > 0) {
            const struct sim_event *next = g_ptr_array_index(w->events, 0);
            if (next->at_us > w->now_us) {
                break;
            }
            struct sim_event *ev = pop_event(w);
            if (defer_if_paused(w, ev) || defer_for_work(w, ev)) {
                continue;
            }
            dispatch_event(w, ev);
            sim_event_free(ev);
        }
        for (int i = 0; i < w->node_count; i++) {
            struct sim_node *n = &w->nodes[i];
            if (!n->store_lost) {
                forward_set_store_contact(n->core, w->now_us);
            }
            if (w->now_us >= n->paused_until_us &&
                forward_next_wakeup_us(n->core) <= w->now_us) {
                forward_run(n->core, w->now_us);
            }
        }
        w->now_us += STEP_US;
    }
}

int64_t
forward_world_now_us(const struct forward_world *w)
{
    return w->now_us;
}

struct forward *
forward_world_core(struct forward_world *w, int node)
{
    return w->nodes[node].core;
}
