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
#include "forward/stop.h"
#include "platform/platform.h"
#include "wire/link.h"

#define MS 1000LL
#define DEFAULT_HEADER_TIMEOUT_MS 5000
#define DEFAULT_IDLE_TIMEOUT_MS 60000
/* The loop runs at least this often, so that a stalled thread is noticed. */
#define MAX_TURN_US (200 * MS)
#define ROLLOUT_REPORT_US (80 * MS)
/* While the node drains, requests whose body takes longer are refused before
 * its end; most bodies arrive with their head. */
#define SLOW_BODY_US (200 * MS)
#define DEFAULT_MAX_BODY_BYTES (8 << 20)

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

struct exchange *
gateway_find_exchange(const struct gateway_traffic *t, uint64_t id)
{
    return g_hash_table_lookup(t->exchanges, &id);
}

/* Callbacks of the forwarding core that concern callers */

static void
io_keep_head(void *ctx, uint64_t request)
{
    struct gateway_traffic *t = ctx;
    struct exchange *x = gateway_find_exchange(t, request);
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
    struct exchange *x = gateway_find_exchange(t, request);
    http_in_begin_response(t->in, request, x->status,
                           (const void *)x->head->data, (int)x->head->len,
                           length);
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
        case BRIDGE_ROLLOUT:
            forward_set_rollout(t->forward, gateway_now_us(), &m->rollout);
            break;
        default:
            break;
        }
        bridge_msg_free(m);
    }
}

static void
apply_phase(struct gateway_traffic *t, int phase)
{
    if (phase != GATEWAY_RUNNING && !t->draining) {
        t->draining = true;
        forward_begin_stop(t->forward, t->shared->stop.accept_until_us,
                           t->shared->stop.finish_by_us);
        http_in_start_draining(t->in);
    }
    if (phase >= GATEWAY_DRAINING) {
        http_in_close_idle(t->in);
        http_in_refuse_receiving(t->in,
                                 phase == GATEWAY_DRAINING ? SLOW_BODY_US : 0);
    }
    if (phase >= GATEWAY_FINISHING) {
        http_in_stop_listening(t->in);
        forward_end_requests(t->forward, gateway_now_us());
    }
}

/* Reports the counts of roll-outs, if any is in progress. */
static void
report_rollouts(struct gateway_traffic *t, int64_t now_us)
{
    struct rollout_report report;
    int at = 0;
    if (now_us < t->next_rollout_report_us) {
        return;
    }
    t->next_rollout_report_us = now_us + ROLLOUT_REPORT_US;
    t->reports_rollouts = false;
    while ((at = forward_rollout_report(t->forward, now_us, at, &report)) >
           0) {
        struct bridge_msg *m = bridge_msg_new(BRIDGE_ROLLOUT_REPORT);
        m->report = mem_calloc(1, sizeof(*m->report));
        *m->report = report;
        t->reports_rollouts = true;
        bridge_push(t->to_control, m);
    }
}

static void
report_open_requests(struct gateway_traffic *t, int phase)
{
    /* Counted only then, as it visits all connections without a request. */
    int receiving =
        phase >= GATEWAY_DRAINING ? http_in_receiving_requests(t->in) : 0;
    atomic_store(&t->shared->receiving, receiving);
    atomic_store(&t->shared->open_requests,
                 http_in_open_requests(t->in) - receiving);
    atomic_store(&t->shared->applied_phase, phase);
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
        int phase = atomic_load(&t->shared->phase);
        apply_phase(t, phase);
        forward_set_store_contact(t->forward,
                                  atomic_load(&t->shared->store_contact_us));
        atomic_store(&t->shared->accepts_requests,
                     forward_accepts_teams(t->forward, now));
        atomic_store(&t->shared->last_turn_us, now);
        int64_t loop_now = loop_now_us();
        http_in_process_events(t->in, loop_now);
        gateway_calls_process_events(t, loop_now);
        if (t->link_ready) {
            t->link_ready = link_process_events(t->link);
        }
        forward_run(t->forward, gateway_now_us());
        report_open_requests(t, phase);
        report_rollouts(t, now);
        int64_t until =
            earliest(loop_now + MAX_TURN_US,
                     gateway_to_loop_time(forward_next_wakeup_us(t->forward)));
        until = earliest(until, http_in_next_wakeup_us(t->in, loop_now));
        until = earliest(until, relay_next_wakeup_us(t->relay));
        until = t->link_ready ? loop_now : until;
        if (t->reports_rollouts) {
            until = earliest(until, loop_now + ROLLOUT_REPORT_US);
        }
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
    gateway_calls_close(t);
    http_in_free(t->in);
    if (t->bridge_source) {
        loop_remove(t->loop, t->bridge_source);
    }
    g_hash_table_destroy(t->exchanges);
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
    struct caller_budget budget = gateway_caller_budget(set);
    struct http_in_options in = {.max_connections = budget.connections,
                                 .budget = budget,
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
    struct forward_io io = {.ctx = t,
                            .send_message = gateway_link_send,
                            .reconnect = gateway_link_reconnect,
                            .save_head = io_keep_head,
                            .begin_response = io_begin,
                            .send_body = io_body,
                            .finish_response = io_finish,
                            .abort_response = io_abort,
                            .refuse = io_refuse};
    address_split(set->listen, &in.address, &in.port);
    t->shared = shared;
    t->from_control = from_control;
    t->to_control = to_control;
    t->loop = loop_new();
    t->exchanges = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         exchange_free);
    t->node = hash64(set->name);
    gateway_calls_open(t, &io);
    t->forward = forward_new(&opts, &io);
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
