#include <math.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/stat.h>

#include "base/address.h"
#include "base/log.h"
#include "control/feed.h"
#include "daemon/gateway.h"
#include "daemon/gateway_rollout.h"
#include "edge/http_in.h"
#include "edge/loop.h"
#include "platform/platform.h"
#include "platform/store.h"
#include "wire/msg.h"

#define MS 1000LL
#define SECOND 1000000LL
/* The settings file is checked this often, since it may change without a
 * SIGHUP. */
#define SETTINGS_CHECK_US (2 * SECOND)
/* The node is not ready if the loop of the traffic thread has not run for this
 * long. */
#define STALL_US (1500 * MS)
#define PROBE_CONNECTIONS 64
#define PROBE_TIMEOUT_MS 5000
#define PROBE_HEADER_BYTES 4096

struct gateway_control {
    pthread_t thread;
    struct gateway_shared *shared;
    struct bridge *to_traffic;
    struct bridge *from_traffic;
    struct bridge *wake;
    struct gateway_settings current; /* as read last */
    time_t settings_mtime;
    int64_t next_settings_check_us;
    struct loop *loop;
    struct loop_source *sources[2];
    struct platform_store *store;
    struct feed *feed;
    struct gateway_rollout *rollout;
    struct http_in *ready_server;
    struct http_in *metrics_server; /* NULL: ready_server serves metrics */
    GArray *metrics_requests;       /* ids of open requests for metrics */
    bool was_ready;
    bool leaving;
};

static void
on_store(void *ctx, const struct kv_result *r)
{
    struct gateway_control *c = ctx;
    int64_t now_us = gateway_now_us();
    if (!gateway_rollout_handle_result(c->rollout, now_us, r)) {
        feed_handle_result(c->feed, now_us, r);
    }
}

static void
on_store_answering(void *ctx, uint64_t id)
{
    struct gateway_control *c = ctx;
    feed_handle_answering(c->feed, gateway_now_us(), id);
}

static bool
is_ready(struct gateway_control *c)
{
    int64_t now = gateway_now_us();
    bool stalled = now - atomic_load(&c->shared->last_turn_us) > STALL_US;
    bool accepts_requests = atomic_load(&c->shared->accepts_requests);
    bool running = atomic_load(&c->shared->phase) == GATEWAY_RUNNING;
    bool ready = running && accepts_requests && !stalled;
    if (ready != c->was_ready) {
        LOG_EVENT(LOG_INFO, ready ? "ready" : "not_ready",
                  LOG_INT("running", running),
                  LOG_INT("trusted", accepts_requests),
                  LOG_INT("stalled", stalled));
        c->was_ready = ready;
    }
    return ready;
}

static void
answer_ready(struct gateway_control *c, uint64_t id)
{
    if (is_ready(c)) {
        http_in_send_response(c->ready_server, id, 200, "text/plain",
                              STR_LIT("ready\n"));
    }
    else {
        http_in_send_error(c->ready_server, id, ERRKIND_NOT_READY, STR_LIT(""),
                           0);
    }
}

static void
request_metrics(struct gateway_control *c, uint64_t id)
{
    g_array_append_val(c->metrics_requests, id);
    bridge_push(c->to_traffic, bridge_msg_new(BRIDGE_METRICS));
}

static void
on_metrics_request(void *ctx, const struct http_in_request *r)
{
    request_metrics(ctx, r->id);
}

static void
answer_rollouts(struct gateway_control *c, uint64_t id)
{
    struct buf out = {0};
    gateway_rollout_show(c->rollout, gateway_now_us(), &out);
    http_in_send_response(c->ready_server, id, 200, "application/json",
                          buf_str(&out));
    buf_free(&out);
}

static void
on_ready_request(void *ctx, const struct http_in_request *r)
{
    struct gateway_control *c = ctx;
    if (str_eq_cstr(r->path, platform_readiness_path)) {
        answer_ready(c, r->id);
    }
    else if (!c->metrics_server && str_eq_cstr(r->path, "/metrics")) {
        request_metrics(c, r->id);
    }
    else if (str_eq_cstr(r->path, "/rollouts")) {
        answer_rollouts(c, r->id);
    }
    else {
        http_in_send_error(c->ready_server, r->id, ERRKIND_NOT_FOUND,
                           STR_LIT(""), 0);
    }
}

static void
on_probe_gone(void *ctx, uint64_t id)
{
    struct gateway_control *c = ctx;
    for (guint i = 0; i < c->metrics_requests->len; i++) {
        if (g_array_index(c->metrics_requests, uint64_t, i) == id) {
            g_array_remove_index(c->metrics_requests, i);
            return;
        }
    }
}

static void
answer_metrics(struct gateway_control *c, struct str text)
{
    struct buf out = {0};
    struct http_in *in =
        c->metrics_server ? c->metrics_server : c->ready_server;
    int64_t contact = feed_contact_us(c->feed);
    buf_append_str(&out, text);
    buf_printf(&out, "cf_store_calls_total %llu\n",
               (unsigned long long)platform_store_request_count(c->store));
    buf_printf(&out, "cf_store_contact_age_ms %lld\n",
               contact ? (long long)((gateway_now_us() - contact) / MS) : -1);
    gateway_rollout_metrics(c->rollout, gateway_now_us(), &out);
    for (guint i = 0; i < c->metrics_requests->len; i++) {
        http_in_send_response(in,
                              g_array_index(c->metrics_requests, uint64_t, i),
                              200, "text/plain; version=0.0.4", buf_str(&out));
    }
    g_array_set_size(c->metrics_requests, 0);
    buf_free(&out);
}

static void
handle_peer_message(struct gateway_control *c, const struct bridge_msg *b)
{
    struct msg m;
    if (msg_decode(b->text, &m) != ST_OK) {
        LOG_EVENT(LOG_ERROR, "message_unreadable",
                  LOG_CSTR("error", err_last()));
        return;
    }
    if (m.type == MSG_FEED_ASK) {
        feed_handle_peer_query(c->feed, gateway_now_us(), b->id,
                               &m.feed_query);
    }
    else if (m.type == MSG_FEED_ANSWER) {
        feed_handle_peer_reply(c->feed, gateway_now_us(), &m.feed_reply);
    }
    else if (m.type == MSG_ROLLOUT) {
        gateway_rollout_handle_message(c->rollout, gateway_now_us(), b->id,
                                       &m.rollout_report);
    }
}

static void
send_peer_message(void *ctx, uint64_t node, const struct msg *m)
{
    struct gateway_control *c = ctx;
    struct bridge_msg *b = bridge_msg_new(BRIDGE_NODE_MESSAGE);
    struct buf text = {0};
    msg_encode(m, &text);
    b->id = node;
    b->text = buf_take_str(&text);
    bridge_push(c->to_traffic, b);
}

static void
on_bridge(void *ctx, uint32_t events)
{
    struct gateway_control *c = ctx;
    struct bridge_msg *m;
    (void)events;
    bridge_clear_wake(c->from_traffic);
    while ((m = bridge_pop(c->from_traffic))) {
        if (m->kind == BRIDGE_METRICS) {
            answer_metrics(c, m->text);
        }
        else if (m->kind == BRIDGE_NODE_MESSAGE) {
            handle_peer_message(c, m);
        }
        else if (m->kind == BRIDGE_ROLLOUT_REPORT) {
            gateway_rollout_set_counts(c->rollout, m->report);
        }
        bridge_msg_free(m);
    }
}

static void
on_wake(void *ctx, uint32_t events)
{
    struct gateway_control *c = ctx;
    (void)events;
    bridge_clear_wake(c->wake);
}

static time_t
modification_time(const char *path)
{
    struct stat st;
    return stat(path, &st) == 0 ? st.st_mtime : 0;
}

static void
read_settings(struct gateway_control *c)
{
    struct gateway_settings next;
    struct buf errors = {0};
    if (gateway_settings_load(c->shared->settings_path, &next, &errors) !=
        ST_OK) {
        LOG_EVENT(LOG_ERROR, "settings_kept",
                  LOG_STR("why", buf_str(&errors)));
        buf_free(&errors);
        return;
    }
    buf_free(&errors);
    if (!str_eq(next.listen, c->current.listen) ||
        !str_eq(next.ready, c->current.ready)) {
        LOG_EVENT(LOG_WARN, "addresses_need_restart",
                  LOG_STR("address", next.listen));
    }
    if (!str_eq(next.store, c->current.store)) {
        platform_store_set_address(c->store, next.store);
    }
    struct bridge_msg *m = bridge_msg_new(BRIDGE_FORWARD_OPTIONS);
    m->forward = gateway_forward_options(&next, c->shared->seed);
    m->forward.zone = (struct str){0};
    bridge_push(c->to_traffic, m);
    gateway_rollout_set_settings(c->rollout, &next);
    gateway_settings_free(&c->current);
    c->current = next;
    LOG_EVENT(LOG_INFO, "reloaded", LOG_STR("store", next.store),
              LOG_INT("revoke_ms", next.revoke_ms),
              LOG_INT("repeat_slack", next.repeat_slack));
}

static void
reload_changed_settings(struct gateway_control *c, int64_t now_us)
{
    bool asked = atomic_exchange(&c->shared->reload, 0);
    if (!asked && now_us < c->next_settings_check_us) {
        return;
    }
    c->next_settings_check_us = now_us + SETTINGS_CHECK_US;
    time_t at = modification_time(c->shared->settings_path);
    if (asked || at != c->settings_mtime) {
        c->settings_mtime = at;
        read_settings(c);
    }
}

static void
apply_phase(struct gateway_control *c, int64_t now_us)
{
    if (!c->leaving && atomic_load(&c->shared->phase) >= GATEWAY_DRAINING) {
        c->leaving = true;
        feed_start_deregistration(c->feed, now_us);
    }
    if (c->leaving && feed_is_deregistered(c->feed)) {
        atomic_store(&c->shared->deregistered, 1);
    }
}

static void
follow_store(struct gateway_control *c, int64_t now_us)
{
    struct kv_op op;
    while (feed_next_op(c->feed, now_us, &op)) {
        if (op.via_node) {
            struct msg m = {.type = MSG_FEED_ASK};
            m.feed_query =
                (struct feed_query){op.id, feed_range_of_op(c->feed, op.id),
                                    op.revision, op.wait_for_contact};
            send_peer_message(c, op.via_node, &m);
        }
        else {
            platform_store_submit(c->store, &op);
        }
    }
    struct msg answer = {.type = MSG_FEED_ANSWER};
    uint64_t node;
    while (feed_next_peer_reply(c->feed, &node, &answer.feed_reply)) {
        send_peer_message(c, node, &answer);
    }
    struct cluster_view *cluster_view = feed_take_site(c->feed, now_us);
    if (cluster_view) {
        struct bridge_msg *m = bridge_msg_new(BRIDGE_CLUSTER_VIEW);
        m->cluster_view = cluster_view;
        gateway_rollout_set_view(c->rollout, cluster_view);
        bridge_push(c->to_traffic, m);
    }
    gateway_rollout_run(c->rollout, now_us, c->feed, c->store, c->to_traffic,
                        send_peer_message, c);
    /* Stored after the cluster view that was current at that contact. */
    atomic_store(&c->shared->store_contact_us, feed_contact_us(c->feed));
    bridge_flush(c->to_traffic);
}

static int64_t
earliest(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

static void *
run(void *ctx)
{
    struct gateway_control *c = ctx;
    prctl(PR_SET_NAME, "control");
    while (atomic_load(&c->shared->phase) != GATEWAY_STOPPING) {
        int64_t now = gateway_now_us();
        reload_changed_settings(c, now);
        apply_phase(c, now);
        follow_store(c, now);
        int64_t loop_now = loop_now_us();
        platform_store_process_events(c->store, loop_now);
        http_in_process_events(c->ready_server, loop_now);
        int64_t until = gateway_to_loop_time(
            earliest(earliest(feed_next_wakeup_us(c->feed),
                              gateway_rollout_next_wakeup_us(c->rollout)),
                     c->next_settings_check_us));
        until = earliest(until, platform_store_next_wakeup_us(c->store));
        until =
            earliest(until, http_in_next_wakeup_us(c->ready_server, loop_now));
        if (c->metrics_server) {
            http_in_process_events(c->metrics_server, loop_now);
            until = earliest(
                until, http_in_next_wakeup_us(c->metrics_server, loop_now));
        }
        loop_run_once(c->loop, until);
    }
    return NULL;
}

static void
gateway_control_free(struct gateway_control *c)
{
    http_in_free(c->metrics_server);
    http_in_free(c->ready_server);
    platform_store_free(c->store);
    feed_free(c->feed);
    gateway_rollout_free(c->rollout);
    for (int i = 0; i < 2; i++) {
        if (c->sources[i]) {
            loop_remove(c->loop, c->sources[i]);
        }
    }
    gateway_settings_free(&c->current);
    g_array_free(c->metrics_requests, TRUE);
    loop_free(c->loop);
    free(c);
}

static enum status
open_probe_server(struct gateway_control *c, struct str address,
                  void (*request)(void *ctx, const struct http_in_request *r),
                  struct http_in **out)
{
    struct http_in_options opts = {.max_connections = PROBE_CONNECTIONS,
                                   .receive_timeout_ms = PROBE_TIMEOUT_MS,
                                   .max_header_bytes = PROBE_HEADER_BYTES,
                                   .raw = true,
                                   .seed = c->shared->seed,
                                   .ctx = c,
                                   .request = request,
                                   .gone = on_probe_gone};
    address_split(address, &opts.address, &opts.port);
    return http_in_new(c->loop, &opts, out);
}

enum status
gateway_control_start(struct gateway_shared *shared, struct bridge *to_traffic,
                      struct bridge *from_traffic, struct bridge *wake,
                      struct gateway_control **out)
{
    const struct gateway_settings *set = shared->settings;
    struct gateway_control *c = mem_calloc(1, sizeof(*c));
    struct buf errors = {0};
    c->shared = shared;
    c->to_traffic = to_traffic;
    c->from_traffic = from_traffic;
    c->wake = wake;
    c->metrics_requests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    c->loop = loop_new();
    c->settings_mtime = modification_time(shared->settings_path);
    c->next_settings_check_us = gateway_now_us() + SETTINGS_CHECK_US;
    enum status st =
        gateway_settings_load(shared->settings_path, &c->current, &errors);
    buf_free(&errors);
    struct buf registered = {0};
    buf_printf(&registered, "tcp://%.*s %s", STR_FMT(set->link),
               shared->link_public);
    c->feed = feed_new(&platform_codec, set->name, buf_str(&registered),
                       shared->seed);
    feed_set_capacity(c->feed, (int)lround(set->cpu_share * 1000));
    buf_free(&registered);
    c->rollout = gateway_rollout_new(set);
    c->store = platform_store_new(
        c->loop, set->store,
        (struct platform_store_callbacks){c, on_store_answering, on_store});
    if (st == ST_OK) {
        st = open_probe_server(c, set->ready, on_ready_request,
                               &c->ready_server);
    }
    if (st == ST_OK && set->metrics.len > 0) {
        st = open_probe_server(c, set->metrics, on_metrics_request,
                               &c->metrics_server);
    }
    if (st != ST_OK) {
        gateway_control_free(c);
        return st;
    }
    c->sources[0] =
        loop_add(c->loop, bridge_fd(from_traffic), EPOLLIN, on_bridge, c);
    c->sources[1] = loop_add(c->loop, bridge_fd(wake), EPOLLIN, on_wake, c);
    if (pthread_create(&c->thread, NULL, run, c) != 0) {
        gateway_control_free(c);
        return err_set(ST_IO, "cannot start the control thread");
    }
    *out = c;
    return ST_OK;
}

void
gateway_control_join(struct gateway_control *c)
{
    pthread_join(c->thread, NULL);
    gateway_control_free(c);
}
