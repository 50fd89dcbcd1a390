#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/prctl.h>

#include "base/address.h"
#include "base/hash.h"
#include "base/log.h"
#include "daemon/gateway_traffic_state.h"
#include "edge/http_in.h"
#include "edge/relay.h"
#include "forward/forward.h"
#include "platform/platform.h"
#include "wire/link.h"

#define MS 1000LL
/* After this time without a connection another endpoint is tried. */
#define CONNECT_TIMEOUT_MS 400
#define RELEASE_TIMEOUT_MS 1000
#define DEFAULT_HEADER_TIMEOUT_MS 5000
#define DEFAULT_IDLE_TIMEOUT_MS 60000
/* The answer to a pieces call holds a hundred results of some hundred
 * bytes; that to a memory query holds a report. */
#define STAGE_ANSWER_MAX_BYTES (1u << 20)
/* A paused call is read again when at most this much is left to send to the
 * caller. */
#define RESUME_BACKLOG_BYTES (32u << 10)
/* The loop runs at least this often, so that a stalled thread is noticed. */
#define MAX_TURN_US (200 * MS)
#define DEFAULT_MAX_BODY_BYTES (8 << 20)

/* A caller's request and the head of the response. */
struct exchange {
    uint64_t id;
    struct http_in_request request; /* its strings are valid until the
                                       response ends */
    int status;
    GArray *head; /* struct http_header; strings are owned */
};

enum out_call_kind {
    OUT_REQUEST,
    OUT_PIECES,
    OUT_RELEASE,
    OUT_MEMORY_QUERY,
    OUT_PROBE
};

/* An open call to an endpoint. */
struct out_call {
    enum out_call_kind kind;
    struct exchange *exchange;         /* OUT_REQUEST */
    struct platform_post_request post; /* OUT_PIECES, OUT_RELEASE */
    int status;
    struct response_meta meta;
    struct buf body; /* body of the response; not for OUT_REQUEST */
};

static void
clear_head(struct exchange *x)
{
    for (guint i = 0; i < x->head->len; i++) {
        struct http_header *h = &g_array_index(x->head, struct http_header, i);
        str_free(&h->name);
        str_free(&h->value);
    }
    g_array_set_size(x->head, 0);
}

static void
exchange_free(gpointer p)
{
    struct exchange *x = p;
    clear_head(x);
    g_array_free(x->head, TRUE);
    free(x);
}

static void
out_call_free(gpointer p)
{
    struct out_call *c = p;
    platform_post_request_free(&c->post);
    buf_free(&c->body);
    free(c);
}

static struct exchange *
find_exchange(struct gateway_traffic *t, uint64_t id)
{
    return g_hash_table_lookup(t->exchanges, &id);
}

static struct out_call *
add_call(struct gateway_traffic *t, uint64_t id, enum out_call_kind kind)
{
    struct out_call *c = mem_calloc(1, sizeof(*c));
    uint64_t *key = g_new(uint64_t, 1);
    *key = id;
    c->kind = kind;
    g_hash_table_insert(t->calls, key, c);
    return c;
}

/* Callbacks of the forwarding core */

static void
io_send(void *ctx, const struct forward_call *call)
{
    struct gateway_traffic *t = ctx;
    struct exchange *x = find_exchange(t, call->request);
    struct http_header headers[PLATFORM_MAX_HEADERS];
    struct buf text = {0};
    int count =
        platform_write_request_headers(&x->request, call, &text, headers);
    struct out_call *c = add_call(t, call->id, OUT_REQUEST);
    c->exchange = x;
    struct relay_call r = {.id = call->id,
                           .address = call->address,
                           .method = x->request.method,
                           .target = x->request.target,
                           .headers = headers,
                           .header_count = count,
                           .body = x->request.body,
                           .new_connection = call->fresh_connection,
                           .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                           .timeout_ms = call->timeout_ms};
    relay_start_call(t->relay, &r);
    buf_free(&text);
}

static void
start_post(struct gateway_traffic *t, uint64_t id, struct out_call *c,
           struct str address, int64_t timeout_ms)
{
    struct relay_call r = {
        .id = id,
        .address = address,
        .method = STR_LIT("POST"),
        .target = str_from_cstr(c->post.target),
        .headers = c->post.headers,
        .header_count = c->post.header_count,
        .body = buf_str(&c->post.body),
        /* Results bear no id of their call, so an earlier response that
         * arrives once more could not be told apart. */
        .new_connection = c->kind == OUT_PIECES,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .timeout_ms = timeout_ms};
    relay_start_call(t->relay, &r);
}

static void
io_send_pieces(void *ctx, const struct pieces_call *call)
{
    struct gateway_traffic *t = ctx;
    struct out_call *c = add_call(t, call->id, OUT_PIECES);
    platform_write_pieces_request(call, &c->post);
    start_post(t, call->id, c, call->address, call->timeout_ms);
}

static void
io_release(void *ctx, const struct release_call *call)
{
    struct gateway_traffic *t = ctx;
    /* The highest bit is clear in all ids of the core. */
    uint64_t id = ++t->last_release_id | 1ULL << 63;
    struct out_call *c = add_call(t, id, OUT_RELEASE);
    platform_write_release_request(call, &c->post);
    start_post(t, id, c, call->address, RELEASE_TIMEOUT_MS);
}

static void
query_report(struct gateway_traffic *t, enum out_call_kind kind,
             const struct report_call *call)
{
    add_call(t, call->id, kind);
    struct relay_call r = {.id = call->id,
                           .address = call->address,
                           .method = STR_LIT("GET"),
                           .target = str_from_cstr(platform_report_path),
                           .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                           .timeout_ms = call->timeout_ms};
    relay_start_call(t->relay, &r);
}

static void
io_ask_room(void *ctx, const struct report_call *call)
{
    query_report(ctx, OUT_MEMORY_QUERY, call);
}

static void
io_probe(void *ctx, const struct report_call *call)
{
    query_report(ctx, OUT_PROBE, call);
}

static enum probe_result
probe_result_from_relay(enum relay_result result)
{
    switch (result) {
    case RELAY_REFUSED:
        return PROBE_REFUSED;
    case RELAY_INCOMPLETE:
        return PROBE_BROKEN;
    case RELAY_COMPLETE:
    case RELAY_NOT_SENT:
    case RELAY_INVALID_RESPONSE:
    case RELAY_TIMEOUT:
        break;
    }
    return PROBE_ALIVE;
}

static void
finish_memory_query(struct gateway_traffic *t, uint64_t id,
                    const struct out_call *c, enum relay_result result)
{
    bool whole = result == RELAY_COMPLETE && c->status == 200;
    int64_t room = whole ? platform_read_free_memory(buf_str(&c->body)) : -1;
    if (room < 0) {
        LOG_EVENT(LOG_INFO, "room_unknown",
                  LOG_CSTR("result", relay_result_name(result)),
                  LOG_INT("status", c->status));
    }
    forward_memory_reported(t->forward, gateway_now_us(), id, room);
}

static void
io_cancel(void *ctx, uint64_t call)
{
    struct gateway_traffic *t = ctx;
    relay_cancel_call(t->relay, call);
    g_hash_table_remove(t->calls, &call);
}

static void
io_keep_head(void *ctx, uint64_t request)
{
    struct gateway_traffic *t = ctx;
    struct exchange *x = find_exchange(t, request);
    struct http_header pass[PLATFORM_MAX_HEADERS];
    int n = platform_copy_response_headers(t->response_head->headers,
                                           t->response_head->header_count,
                                           pass, PLATFORM_MAX_HEADERS);
    clear_head(x);
    x->status = t->response_head->status;
    for (int i = 0; i < n; i++) {
        struct http_header h = {str_dup(pass[i].name), str_dup(pass[i].value)};
        g_array_append_val(x->head, h);
    }
}

static void
io_begin(void *ctx, uint64_t request, int64_t length)
{
    struct gateway_traffic *t = ctx;
    struct exchange *x = find_exchange(t, request);
    http_in_begin_response(t->in, request, x->status,
                           (const void *)x->head->data, (int)x->head->len,
                           length);
}

struct paused_call {
    uint64_t call;
    uint64_t request;
};

static void
io_hold(void *ctx, uint64_t call, uint64_t request)
{
    struct gateway_traffic *t = ctx;
    struct paused_call h = {call, request};
    relay_set_paused(t->relay, call, true);
    g_array_append_val(t->paused_calls, h);
}

/* Resumes the calls whose callers have caught up. */
static void
resume_paused_calls(struct gateway_traffic *t)
{
    for (guint i = 0; i < t->paused_calls->len;) {
        struct paused_call h =
            g_array_index(t->paused_calls, struct paused_call, i);
        if (http_in_write_body(t->in, h.request, STR_LIT("")) >
            RESUME_BACKLOG_BYTES) {
            i++;
            continue;
        }
        g_array_remove_index_fast(t->paused_calls, i);
        forward_caller_caught_up(t->forward, gateway_now_us(), h.call);
        relay_set_paused(t->relay, h.call, false);
    }
}

static size_t
io_body(void *ctx, uint64_t request, struct str bytes)
{
    struct gateway_traffic *t = ctx;
    return http_in_write_body(t->in, request, bytes);
}

static void
io_finish(void *ctx, uint64_t request)
{
    struct gateway_traffic *t = ctx;
    http_in_end_stream(t->in, request);
    g_hash_table_remove(t->exchanges, &request);
}

static void
io_abort(void *ctx, uint64_t request)
{
    struct gateway_traffic *t = ctx;
    http_in_abort(t->in, request);
    g_hash_table_remove(t->exchanges, &request);
}

static void
io_refuse(void *ctx, uint64_t request, enum errkind kind, const char *why,
          int64_t retry_after_ms)
{
    struct gateway_traffic *t = ctx;
    http_in_send_error(t->in, request, kind, str_from_cstr(why),
                       retry_after_ms);
    g_hash_table_remove(t->exchanges, &request);
}

/* Events of calls */

static void
on_head(void *ctx, uint64_t id, const struct relay_response_head *head)
{
    struct gateway_traffic *t = ctx;
    struct out_call *c = g_hash_table_lookup(t->calls, &id);
    struct str request_id = {0};
    if (!c) {
        return;
    }
    if (c->kind == OUT_REQUEST) {
        struct forward_request r;
        platform_read_request(&c->exchange->request, &r);
        request_id = r.request_id;
    }
    platform_read_response_headers(head->status, head->headers,
                                   head->header_count, request_id, &c->meta);
    c->status = head->status;
    if (c->kind == OUT_REQUEST) {
        /* forward_response_head may cancel the call, which frees c. */
        struct response_meta meta = c->meta;
        t->response_head = head;
        forward_response_head(t->forward, gateway_now_us(), id, head->status,
                              &meta);
        t->response_head = NULL;
    }
}

static void on_end(void *ctx, uint64_t id, enum relay_result result);

static void
on_bytes(void *ctx, uint64_t id, struct str bytes)
{
    struct gateway_traffic *t = ctx;
    struct out_call *c = g_hash_table_lookup(t->calls, &id);
    if (!c) {
        return;
    }
    if (c->kind == OUT_REQUEST) {
        forward_response_body(t->forward, gateway_now_us(), id, bytes);
    }
    else if (c->body.len + bytes.len > STAGE_ANSWER_MAX_BYTES) {
        LOG_EVENT(LOG_WARN, "answer_too_long", LOG_INT("kind", c->kind),
                  LOG_INT("bytes", c->body.len + bytes.len));
        relay_cancel_call(t->relay, id);
        on_end(t, id, RELAY_INVALID_RESPONSE);
    }
    else {
        buf_append_str(&c->body, bytes);
    }
}

static enum call_end
call_end_from_relay(enum relay_result result)
{
    switch (result) {
    case RELAY_COMPLETE:
        return CALL_END_COMPLETE;
    case RELAY_NOT_SENT:
    case RELAY_REFUSED:
        return CALL_END_UNSENT;
    case RELAY_INVALID_RESPONSE:
        return CALL_END_MALFORMED;
    case RELAY_TIMEOUT:
        return CALL_END_TIMED_OUT;
    case RELAY_INCOMPLETE:
        break;
    }
    return CALL_END_BROKEN;
}

static void
finish_pieces_call(struct gateway_traffic *t, uint64_t id, struct out_call *c,
                   enum call_end end)
{
    struct piece_result results[STAGE_MAX_BATCH];
    int count = 0;
    if (end == CALL_END_COMPLETE && c->status == 200) {
        count = platform_read_piece_results(buf_str(&c->body), results,
                                            STAGE_MAX_BATCH);
    }
    forward_pieces_call_ended(t->forward, gateway_now_us(), id, end, c->status,
                              &c->meta, count, results);
    platform_free_piece_results(results, count);
}

static void
on_end(void *ctx, uint64_t id, enum relay_result result)
{
    struct gateway_traffic *t = ctx;
    gpointer key = NULL;
    gpointer value = NULL;
    /* The call is removed first, since the core may start other calls
     * below. */
    if (!g_hash_table_steal_extended(t->calls, &id, &key, &value)) {
        return;
    }
    struct out_call *c = value;
    switch (c->kind) {
    case OUT_REQUEST:
        forward_call_ended(t->forward, gateway_now_us(), id,
                           call_end_from_relay(result));
        break;
    case OUT_PIECES:
        finish_pieces_call(t, id, c, call_end_from_relay(result));
        break;
    case OUT_MEMORY_QUERY:
        finish_memory_query(t, id, c, result);
        break;
    case OUT_PROBE:
        forward_endpoint_probed(t->forward, gateway_now_us(), id,
                                probe_result_from_relay(result));
        break;
    case OUT_RELEASE:
        if (result != RELAY_COMPLETE) {
            LOG_EVENT(LOG_DEBUG, "release_failed",
                      LOG_CSTR("result", relay_result_name(result)));
        }
        break;
    }
    g_free(key);
    out_call_free(c);
}

/* Events of callers */

static void
on_request(void *ctx, const struct http_in_request *in)
{
    struct gateway_traffic *t = ctx;
    struct forward_request r;
    if (platform_read_request(in, &r) != ST_OK) {
        LOG_EVENT(LOG_INFO, "refused", LOG_CSTR("why", err_last()),
                  LOG_STR("request", r.request_id), LOG_INT("status", 400));
        http_in_send_error(t->in, in->id, ERRKIND_BAD_REQUEST,
                           str_from_cstr(err_last()), 0);
        return;
    }
    struct exchange *x = mem_calloc(1, sizeof(*x));
    x->id = in->id;
    x->request = *in;
    x->head = g_array_new(FALSE, FALSE, sizeof(struct http_header));
    g_hash_table_insert(t->exchanges, &x->id, x);
    forward_accept(t->forward, gateway_now_us(), &r);
}

static void
on_gone(void *ctx, uint64_t id)
{
    struct gateway_traffic *t = ctx;
    forward_caller_disconnected(t->forward, gateway_now_us(), id);
    g_hash_table_remove(t->exchanges, &id);
}

/* Events of the control thread */

static void
set_peers(struct gateway_traffic *t, const struct cluster_view *cluster_view)
{
    struct link_peer *peers =
        mem_calloc((size_t)cluster_view->alive_count + 1, sizeof(*peers));
    int count = 0;
    for (int i = 0; i < cluster_view->alive_count; i++) {
        const struct cluster_node *n = &cluster_view->alive[i];
        if (n->hash != t->node && n->address.len > 0) {
            peers[count++] = (struct link_peer){n->address, n->key};
        }
    }
    link_set_peers(t->link, peers, count);
    free(peers);
}

static void
apply_cluster_view(struct gateway_traffic *t,
                   struct cluster_view *cluster_view)
{
    const struct caller_limits *l =
        routing_caller_limits(cluster_view->routing);
    if (!t->cluster_view ||
        t->cluster_view->nodes_version != cluster_view->nodes_version) {
        set_peers(t, cluster_view);
    }
    cluster_view_unref(t->cluster_view);
    t->cluster_view = cluster_view_ref(cluster_view);
    forward_set_site(t->forward, gateway_now_us(), cluster_view);
    http_in_set_max_body(t->in, l->body_bytes > 0 ? (size_t)l->body_bytes
                                                  : DEFAULT_MAX_BODY_BYTES);
    http_in_set_timeouts(t->in,
                         l->header_timeout_ms > 0 ? (int)l->header_timeout_ms
                                                  : DEFAULT_HEADER_TIMEOUT_MS,
                         l->idle_timeout_ms > 0 ? (int)l->idle_timeout_ms
                                                : DEFAULT_IDLE_TIMEOUT_MS);
}

static void
send_metrics(struct gateway_traffic *t)
{
    struct bridge_msg *m = bridge_msg_new(BRIDGE_METRICS);
    struct buf text = {0};
    forward_metrics(t->forward, &text);
    http_in_append_metrics(t->in, &text);
    buf_printf(&text, "cf_endpoint_connections_total %llu\n",
               (unsigned long long)relay_connections_opened(t->relay));
    m->text = buf_take_str(&text);
    bridge_push(t->to_control, m);
}

static void
on_bridge(void *ctx, uint32_t events)
{
    struct gateway_traffic *t = ctx;
    struct bridge_msg *m;
    (void)events;
    bridge_clear_wake(t->from_control);
    while ((m = bridge_pop(t->from_control))) {
        switch (m->kind) {
        case BRIDGE_CLUSTER_VIEW:
            apply_cluster_view(t, m->cluster_view);
            break;
        case BRIDGE_FORWARD_OPTIONS:
            forward_set_options(t->forward, &m->forward);
            break;
        case BRIDGE_NODE_MESSAGE:
            gateway_link_send_encoded(t, m);
            break;
        case BRIDGE_METRICS:
            send_metrics(t);
            break;
        default:
            break;
        }
        bridge_msg_free(m);
    }
}

static void
apply_phase(struct gateway_traffic *t)
{
    int phase = atomic_load(&t->shared->phase);
    if (phase != GATEWAY_RUNNING && !t->draining) {
        t->draining = true;
        http_in_start_draining(t->in);
    }
    if (phase >= GATEWAY_DRAINING) {
        forward_drain(t->forward);
        http_in_close_idle(t->in);
    }
}

static int64_t
earliest(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

static void *
run(void *ctx)
{
    struct gateway_traffic *t = ctx;
    prctl(PR_SET_NAME, "traffic");
    while (atomic_load(&t->shared->phase) != GATEWAY_STOPPING) {
        int64_t now = gateway_now_us();
        apply_phase(t);
        forward_set_store_contact(t->forward,
                                  atomic_load(&t->shared->store_contact_us));
        atomic_store(&t->shared->accepts_requests,
                     forward_accepts_teams(t->forward, now));
        atomic_store(&t->shared->last_turn_us, now);
        int64_t loop_now = loop_now_us();
        http_in_process_events(t->in, loop_now);
        relay_process_events(t->relay, loop_now);
        resume_paused_calls(t);
        if (t->link_ready) {
            t->link_ready = link_process_events(t->link);
        }
        forward_run(t->forward, gateway_now_us());
        atomic_store(&t->shared->open_requests, http_in_open_requests(t->in));
        int64_t until =
            earliest(loop_now + MAX_TURN_US,
                     gateway_to_loop_time(forward_next_wakeup_us(t->forward)));
        until = earliest(until, http_in_next_wakeup_us(t->in, loop_now));
        until = earliest(until, relay_next_wakeup_us(t->relay));
        until = t->link_ready ? loop_now : until;
        loop_run_once(t->loop, until);
    }
    return NULL;
}

static void
traffic_free(struct gateway_traffic *t)
{
    forward_free(t->forward);
    if (t->link_source) {
        loop_remove(t->loop, t->link_source);
    }
    if (t->link) {
        link_free(t->link);
    }
    cluster_view_unref(t->cluster_view);
    relay_free(t->relay);
    http_in_free(t->in);
    if (t->bridge_source) {
        loop_remove(t->loop, t->bridge_source);
    }
    g_hash_table_destroy(t->calls);
    g_hash_table_destroy(t->exchanges);
    g_array_free(t->paused_calls, TRUE);
    loop_free(t->loop);
    free(t);
}

enum status
gateway_traffic_start(struct gateway_shared *shared,
                      struct bridge *from_control, struct bridge *to_control,
                      struct gateway_traffic **out)
{
    const struct gateway_settings *set = shared->settings;
    struct gateway_traffic *t = mem_calloc(1, sizeof(*t));
    struct http_in_options in = {.max_connections = set->max_connections,
                                 .receive_timeout_ms =
                                     DEFAULT_HEADER_TIMEOUT_MS,
                                 .idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS,
                                 .max_header_bytes = set->max_header_bytes,
                                 .raw = true,
                                 .seed = shared->seed,
                                 .ctx = t,
                                 .request = on_request,
                                 .gone = on_gone};
    struct forward_options opts = gateway_forward_options(set, shared->seed);
    opts.predecessor_until_us = set->first_start ? 0 : gateway_now_us();
    const struct forward_io io = {t,
                                  io_send,
                                  io_send_pieces,
                                  io_release,
                                  io_ask_room,
                                  gateway_link_send,
                                  gateway_link_reconnect,
                                  io_cancel,
                                  io_keep_head,
                                  io_begin,
                                  io_hold,
                                  io_body,
                                  io_finish,
                                  io_abort,
                                  io_refuse,
                                  io_probe};
    const struct relay_callbacks sink = {t, on_head, on_bytes, on_end};
    address_split(set->listen, &in.address, &in.port);
    t->shared = shared;
    t->from_control = from_control;
    t->to_control = to_control;
    t->loop = loop_new();
    t->exchanges = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         exchange_free);
    t->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                     out_call_free);
    t->paused_calls = g_array_new(FALSE, FALSE, sizeof(struct paused_call));
    t->node = hash64(set->name);
    t->forward = forward_new(&opts, &io);
    t->relay = relay_new(t->loop, sink);
    enum status st = http_in_new(t->loop, &in, &t->in);
    if (st == ST_OK) {
        st = gateway_link_open(t, set);
    }
    if (st != ST_OK) {
        traffic_free(t);
        return st;
    }
    t->bridge_source =
        loop_add(t->loop, bridge_fd(from_control), EPOLLIN, on_bridge, t);
    if (pthread_create(&t->thread, NULL, run, t) != 0) {
        traffic_free(t);
        return err_set(ST_IO, "cannot start the traffic thread");
    }
    *out = t;
    return ST_OK;
}

void
gateway_traffic_join(struct gateway_traffic *t)
{
    pthread_join(t->thread, NULL);
    traffic_free(t);
}
