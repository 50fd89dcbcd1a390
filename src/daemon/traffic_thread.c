#include "daemon/traffic_state.h"

#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <time.h>

#include "base/log.h"

#define TRACE_RING_CAPACITY 1024
#define PUBLISH_INTERVAL_US 1000000
/* An edit may hold 1 MB of settings. */
#define MIN_BODY_LIMIT_BYTES (2 << 20)
#define STREAM_TOKEN_BYTES 64

/* A pipeline request from its arrival to its answer. */
struct open_request {
    uint64_t req;
    struct trace_ref trace;
    char request_id[33];
    char pipeline[40];
    char team[40];
    int64_t start_us;
    int calls;
    int stages; /* highest stage called, plus one */
    bool stream;
    bool needs_key;
};

static struct open_request *
find_open_request(struct traffic *t, uint64_t req)
{
    return g_hash_table_lookup(t->open_requests, &req);
}

static void
copy(char *to, size_t size, struct str s)
{
    size_t n = s.len < size - 1 ? s.len : size - 1;
    memcpy(to, s.ptr ? s.ptr : "", n);
    to[n] = 0;
}

/* Logs the end of a request and removes it from the table. */
static void
close_request(struct traffic *t, struct open_request *o, const char *outcome,
              const char *ran)
{
    int64_t now = loop_now_us();
    trace_end(t->traces, o->trace, now, outcome);
    LOG_EVENT(
        LOG_INFO, "request", LOG_CSTR("request", o->request_id),
        LOG_CSTR("pipeline", o->pipeline),
        LOG_CSTR("team", o->team[0] ? o->team : "-"),
        LOG_CSTR("outcome", outcome), LOG_CSTR("ran", ran),
        LOG_INT("ms", (now - o->start_us) / 1000),
        LOG_INT("stages", o->stages),
        LOG_INT("retries", o->calls > o->stages ? o->calls - o->stages : 0));
    g_hash_table_remove(t->open_requests, &o->req);
}

static void
start_call(struct traffic *t, const struct flow_action *a)
{
    struct open_request *o = find_open_request(t, a->call.req);
    char parent[TRACEPARENT_BYTES] = "";
    if (o) {
        o->calls++;
        o->stages =
            a->call.stage + 1 > o->stages ? a->call.stage + 1 : o->stages;
        trace_format_traceparent(t->traces, o->trace, a->call.attempt, parent);
    }
    http_out_start_call(t->out, a, str_from_cstr(parent));
}

static void
send_token(struct traffic *t, const struct flow_action *a)
{
    json_t *j = json_pack("{s:i,s:s%}", "index", a->token.index, "text",
                          a->token.text.ptr ? a->token.text.ptr : "",
                          a->token.text.len);
    char *text = j ? json_dumps(j, JSON_COMPACT) : NULL;
    if (text) {
        http_in_send_event(t->in, a->token.req, "token", str_from_cstr(text));
    }
    free(text);
    json_decref(j);
}

static void
send_answer(struct traffic *t, const struct flow_action *a)
{
    struct open_request *o = find_open_request(t, a->answer.req);
    if (!o) {
        return;
    }
    if (o->stream) {
        http_in_send_event(t->in, o->req, "done", a->answer.body);
        http_in_end_stream(t->in, o->req);
    }
    else {
        http_in_send_response(t->in, o->req, 200, "application/json",
                              a->answer.body);
    }
    close_request(t, o, "ok", "ran");
}

static void
send_refusal(struct traffic *t, const struct flow_action *a)
{
    const struct errkind_info *e = errkind_info(a->refuse.error);
    struct open_request *o = find_open_request(t, a->refuse.req);
    if (!o) {
        return;
    }
    http_in_send_error(t->in, o->req, a->refuse.error, a->refuse.message,
                       a->refuse.retry_after_ms);
    close_request(t, o, e->name, ran_name(e->ran));
}

static void
perform(struct traffic *t, const struct flow_action *a)
{
    struct bridge_msg *m;
    struct open_request *o;
    switch (a->kind) {
    case FLOW_ACT_CALL:
        start_call(t, a);
        break;
    case FLOW_ACT_CANCEL:
        http_out_cancel_call(t->out, a->cancel);
        break;
    case FLOW_ACT_PROBE:
        http_out_start_probe(t->out, a->probe.endpoint, a->probe.url);
        break;
    case FLOW_ACT_TOKEN:
        send_token(t, a);
        break;
    case FLOW_ACT_ANSWER:
        send_answer(t, a);
        break;
    case FLOW_ACT_REFUSE:
        send_refusal(t, a);
        break;
    case FLOW_ACT_CONTROL_MESSAGE:
        m = bridge_msg_new(BRIDGE_CONTROL_REQUEST);
        m->thread = t->opts.thread;
        m->ask = control_request_dup(&a->ask);
        bridge_push(t->opts.to_control, m);
        break;
    case FLOW_ACT_SPAN:
        o = find_open_request(t, a->span.req);
        if (o) {
            trace_add_span(t->traces, o->trace, &a->span);
        }
        break;
    }
}

static void
step(struct traffic *t, const struct flow_event *ev)
{
    struct flow_action a;
    flow_handle_event(t->flow, loop_now_us(), ev);
    while (flow_next_action(t->flow, &a)) {
        perform(t, &a);
    }
}

/* Passes one event to the core and performs the resulting actions. If a caller
 * disconnects during an action, the core is notified afterwards. */
static void
handle_event(struct traffic *t, const struct flow_event *ev)
{
    step(t, ev);
    while (t->gone_callers->len > 0) {
        struct flow_event gone = {.kind = FLOW_EV_CALLER_GONE};
        gone.caller_gone =
            g_array_index(t->gone_callers, uint64_t, t->gone_callers->len - 1);
        g_array_set_size(t->gone_callers, t->gone_callers->len - 1);
        struct open_request *o = find_open_request(t, gone.caller_gone);
        if (o) {
            close_request(t, o, "caller_gone",
                          o->needs_key ? "may_have_run" : "not_run");
        }
        step(t, &gone);
    }
}

static void
on_call_event(void *ctx, const struct flow_event *ev)
{
    handle_event(ctx, ev);
}

static void
on_gone(void *ctx, uint64_t id)
{
    struct traffic *t = ctx;
    if (find_open_request(t, id)) {
        g_array_append_val(t->gone_callers, id);
    }
}

static void
begin_request(struct traffic *t, const struct http_in_request *r,
              struct str pipeline)
{
    struct open_request *o = mem_calloc(1, sizeof(*o));
    const struct fleet *f = t->snapshot ? t->snapshot->fleet : NULL;
    int team = f ? fleet_authenticate_team(f, r->token) : -1;
    int index = f ? fleet_find_pipeline(f, pipeline) : -1;
    o->req = r->id;
    o->start_us = loop_now_us();
    o->stream = r->stream;
    o->needs_key = index >= 0 && f->pipelines[index].needs_key;
    copy(o->request_id, sizeof(o->request_id), r->request_id);
    copy(o->pipeline, sizeof(o->pipeline), pipeline);
    if (team >= 0) {
        struct timespec ts;
        clock_gettime(CLOCK_REALTIME, &ts);
        copy(o->team, sizeof(o->team), f->teams[team].name);
        struct trace_start start = {
            .request_id = r->request_id,
            .traceparent = r->traceparent,
            .team = f->teams[team].name,
            .pipeline = pipeline,
            .start_us = o->start_us,
            .wall_ms = ts.tv_sec * 1000LL + ts.tv_nsec / 1000000,
        };
        o->trace = trace_begin(t->traces, &start);
    }
    g_hash_table_insert(t->open_requests, &o->req, o);
}

static void
on_request(void *ctx, const struct http_in_request *r)
{
    struct traffic *t = ctx;
    struct str prefix = STR_LIT("/v1/pipelines/");
    if (!str_starts_with(r->path, prefix)) {
        resources_handle_request(t, r);
        return;
    }
    if (!str_eq_cstr(r->method, "POST")) {
        http_in_send_error(t->in, r->id, ERRKIND_BAD_REQUEST,
                           STR_LIT("pipelines take POST"), 0);
        return;
    }
    struct str name =
        str_from_bytes(r->path.ptr + prefix.len, r->path.len - prefix.len);
    begin_request(t, r, name);
    struct flow_event ev = {.kind = FLOW_EV_REQUEST};
    ev.request = (struct flow_request){
        .req = r->id,
        .request_id = r->request_id,
        .pipeline = name,
        .token = r->token,
        .key = r->key,
        .deadline = r->deadline,
        .body = r->body,
        .stream = r->stream,
    };
    handle_event(t, &ev);
}

static void
take_snapshot(struct traffic *t, struct snapshot *s)
{
    struct flow_event ev = {.kind = FLOW_EV_SNAPSHOT, .snapshot = s};
    size_t body = MIN_BODY_LIMIT_BYTES;
    for (int i = 0; i < s->fleet->pipeline_count; i++) {
        size_t n =
            (size_t)s->fleet->pipelines[i].settings[FLEET_MAX_BODY_BYTES];
        body = n > body ? n : body;
    }
    http_in_set_max_body(t->in, body);
    handle_event(t, &ev);
    if (t->snapshot) {
        snapshot_unref(t->snapshot);
    }
    t->snapshot = snapshot_ref(s);
}

static void
handle_message(struct traffic *t, struct bridge_msg *m)
{
    struct flow_event ev = {0};
    switch (m->kind) {
    case BRIDGE_SNAPSHOT:
        take_snapshot(t, m->snapshot);
        break;
    case BRIDGE_FRESHNESS:
        ev.kind = FLOW_EV_FRESHNESS;
        ev.fresh_until_us = m->at_us;
        handle_event(t, &ev);
        break;
    case BRIDGE_CONTROL_REPLY:
        ev.kind = FLOW_EV_CONTROL_REPLY;
        ev.reply = *m->reply;
        handle_event(t, &ev);
        break;
    case BRIDGE_RESULT:
    case BRIDGE_TRACE_GET:
        resources_handle_message(t, m);
        break;
    case BRIDGE_CONTROL_REQUEST:
    case BRIDGE_ADMIN_REQUEST:
    case BRIDGE_METRICS:
    case BRIDGE_CLUSTER_VIEW:
    case BRIDGE_FORWARD_OPTIONS:
    case BRIDGE_NODE_MESSAGE:
    case BRIDGE_ROLLOUT:
    case BRIDGE_ROLLOUT_REPORT:
        break;
    }
    bridge_msg_free(m);
}

static void
on_bridge(void *ctx, uint32_t events)
{
    struct traffic *t = ctx;
    struct bridge_msg *m;
    (void)events;
    bridge_clear_wake(t->opts.from_control);
    while ((m = bridge_pop(t->opts.from_control))) {
        handle_message(t, m);
    }
}

static int64_t
min_us(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

static void
drain(struct traffic *t, int phase)
{
    if (phase >= PHASE_DRAINING && !t->draining) {
        struct flow_event ev = {.kind = FLOW_EV_DRAIN};
        t->draining = true;
        http_in_start_draining(t->in);
        handle_event(t, &ev);
    }
    if (t->draining && !t->drained && flow_open_requests(t->flow) == 0 &&
        http_in_open_requests(t->in) == 0) {
        t->drained = true;
        atomic_fetch_add(&t->opts.shared->drained_threads, 1);
    }
}

static void
publish(struct traffic *t, int64_t now)
{
    if (t->opts.shared->settings->traffic_threads < 2 ||
        now < t->next_publish_us) {
        return;
    }
    t->next_publish_us = now + PUBLISH_INTERVAL_US;
    struct bridge_msg *m = bridge_msg_new(BRIDGE_METRICS);
    struct buf text = {0};
    m->thread = t->opts.thread;
    flow_write_metrics(t->flow, &text);
    http_in_append_metrics(t->in, &text);
    http_out_append_metrics(t->out, t->opts.thread, &text);
    m->text = buf_take_str(&text);
    bridge_push(t->opts.to_control, m);
}

/* Refuses the requests that are still open at the drain limit. The outcome of
 * a request that needs a key is unknown, since its action may have been sent;
 * any other request can be sent again. */
static void
refuse_open_requests(struct traffic *t)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, t->open_requests);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct open_request *o = value;
        enum errkind kind =
            o->needs_key ? ERRKIND_OUTCOME_UNKNOWN : ERRKIND_NOT_READY;
        http_in_send_error(t->in, o->req, kind, STR_LIT("the node stopped"),
                           0);
        LOG_EVENT(LOG_WARN, "request_cut", LOG_CSTR("request", o->request_id),
                  LOG_CSTR("pipeline", o->pipeline),
                  LOG_CSTR("outcome", errkind_info(kind)->name));
    }
    for (int i = 0; i < 3; i++) {
        http_in_process_events(t->in, loop_now_us());
        loop_run_once(t->loop, 0);
    }
}

static void
run_once(struct traffic *t)
{
    int64_t now = loop_now_us();
    int64_t wake = min_us(http_in_next_wakeup_us(t->in, now),
                          resources_next_wakeup_us(t));
    wake = min_us(wake, http_out_next_wakeup_us(t->out));
    wake = min_us(wake, flow_next_wakeup_us(t->flow));
    if (t->opts.shared->settings->traffic_threads > 1) {
        wake = min_us(wake, t->next_publish_us);
    }
    if (!bridge_flush(t->opts.to_control)) {
        wake = min_us(wake, now + 1000);
    }
    if (t->draining && !t->drained) {
        wake = min_us(wake, now + 10000);
    }
    loop_run_once(t->loop, wake);
    now = loop_now_us();
    if (flow_next_wakeup_us(t->flow) <= now) {
        struct flow_event tick = {.kind = FLOW_EV_TICK};
        handle_event(t, &tick);
    }
    http_out_process_events(t->out, now);
    http_in_process_events(t->in, now);
    if (t->gone_callers->len > 0) {
        struct flow_event tick = {.kind = FLOW_EV_TICK};
        handle_event(t, &tick);
    }
    resources_expire(t, now);
    publish(t, now);
}

static void *
run(void *arg)
{
    struct traffic *t = arg;
    struct daemon_shared *s = t->opts.shared;
    for (;;) {
        int phase = atomic_load(&s->phase);
        if (phase == PHASE_STOPPING) {
            break;
        }
        drain(t, phase);
        run_once(t);
    }
    refuse_open_requests(t);
    return NULL;
}

enum status
traffic_new(const struct traffic_options *opts, struct traffic **out)
{
    const struct settings *set = opts->shared->settings;
    struct traffic *t = mem_calloc(1, sizeof(*t));
    int threads = set->traffic_threads > 0 ? set->traffic_threads : 1;
    t->opts = *opts;
    t->loop = loop_new();
    t->open_requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    t->gone_callers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    t->pending = g_array_new(FALSE, FALSE, sizeof(struct pending_query));
    t->traces = trace_ring_new(TRACE_RING_CAPACITY);
    struct caller_budget budget = caller_budget_new(&(
        struct caller_budget_limits){.memory_mb = set->memory_mb,
                                     .files = set->files,
                                     .max_connections = set->max_connections,
                                     .max_header_bytes = set->max_header_bytes,
                                     .threads = threads});
    struct http_in_options in = {
        .address = set->listen_address,
        .port = opts->port,
        .tls_cert = opts->shared->tls_cert,
        .tls_key = opts->shared->tls_key,
        .max_connections = budget.connections,
        .budget = budget,
        .max_connections_per_caller =
            (set->max_connections_per_caller + threads - 1) / threads,
        .receive_timeout_ms = set->receive_timeout_ms,
        .max_header_bytes = set->max_header_bytes,
        .thread = opts->thread,
        .seed = opts->shared->seed ^
                (uint64_t)(opts->thread + 1) * 0x9e3779b97f4a7c15ULL,
        .ctx = t,
        .request = on_request,
        .gone = on_gone,
    };
    struct http_out_options call = {
        .ctx = t,
        .event = on_call_event,
        .max_buffered_bytes = budget.buffered_bytes,
        .max_idle_connections =
            set->files > 0 ? budget.endpoint_connections : 0};
    struct flow_options flow = {
        .node = opts->shared->node,
        .incarnation = opts->shared->incarnation,
        .thread = opts->thread,
        .seed = opts->shared->seed + (uint64_t)opts->thread,
    };
    enum status st = http_in_new(t->loop, &in, &t->in);
    if (st == ST_OK) {
        http_in_set_max_body(t->in, MIN_BODY_LIMIT_BYTES);
        t->out = http_out_new(t->loop, &call);
        t->flow = flow_new(&flow);
        t->bridge_source = loop_add(t->loop, bridge_fd(opts->from_control),
                                    EPOLLIN, on_bridge, t);
        *out = t;
        return ST_OK;
    }
    traffic_free(t);
    return st;
}

int
traffic_port(const struct traffic *t)
{
    return http_in_port(t->in);
}

enum status
traffic_start(struct traffic *t)
{
    if (pthread_create(&t->thread, NULL, run, t) != 0) {
        return err_set(ST_IO, "cannot start a thread");
    }
    return ST_OK;
}

void
traffic_join(struct traffic *t)
{
    pthread_join(t->thread, NULL);
}

void
traffic_free(struct traffic *t)
{
    if (!t) {
        return;
    }
    http_out_free(t->out);
    http_in_free(t->in);
    if (t->bridge_source) {
        loop_remove(t->loop, t->bridge_source);
    }
    if (t->flow) {
        flow_free(t->flow);
    }
    if (t->snapshot) {
        snapshot_unref(t->snapshot);
    }
    trace_ring_free(t->traces);
    g_hash_table_destroy(t->open_requests);
    g_array_free(t->gone_callers, TRUE);
    g_array_free(t->pending, TRUE);
    loop_free(t->loop);
    free(t);
}
