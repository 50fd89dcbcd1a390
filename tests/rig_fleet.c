#include "tests/rig_fleet.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "base/clean.h"
#include "fakes/engine.h"

#define CALLERS_MAX 32
#define STREAM_TOKENS 40 /* max_tokens of the pipeline "tell" */

void
fleet_start_endpoint(struct rig *r, struct rig_endpoint *e)
{
    char log[96];
    char port[16];
    const char *args[24] = {"--port", port};
    int n = 2;
    for (int i = 0; e->args && e->args[i] && n < 20; i++) {
        args[n++] = e->args[i];
    }
    snprintf(port, sizeof(port), "%d", e->port);
    snprintf(log, sizeof(log), "%s/%s.log", r->dir, e->id);
    e->pid = proc_start(e->program, args, log);
    e->port = (int)proc_wait_log_number(log, "listening ");
}

struct rig_endpoint *
fleet_add_endpoint(struct rig *r, const char *program, const char *pool,
                   const char *zone, const char *const *args)
{
    g_assert_cmpint(r->endpoint_count, <, RIG_ENDPOINTS_MAX);
    struct rig_endpoint *e = &r->endpoints[r->endpoint_count];
    snprintf(e->id, sizeof(e->id), "%s-%d", pool, r->endpoint_count++);
    e->program = program;
    e->pool = pool;
    e->zone = zone;
    e->args = args;
    e->port = rig_find_free_port();
    fleet_start_endpoint(r, e);
    return e;
}

void
fleet_put_vms(struct rig *r)
{
    CLEANUP(buf_free) struct buf out = {0};
    buf_printf(&out, "{\"vms\":[");
    for (int i = 0; i < r->endpoint_count; i++) {
        struct rig_endpoint *e = &r->endpoints[i];
        buf_printf(&out,
                   "%s{\"vm\":\"v%d\",\"zone\":\"%s\",\"state\":\"%s\","
                   "\"endpoints\":[{\"id\":\"%s\",\"pool\":\"%s\",\"url\":"
                   "\"http://127.0.0.1:%d\"}]}",
                   i ? "," : "", i, e->zone, e->leaving ? "leaving" : "live",
                   e->id, e->pool, e->port);
    }
    buf_printf(&out, "]}");
    rig_put_key(r, "platform/vms", buf_str(&out));
}

void
fleet_start_node(struct rig *r, int i, const char *toml)
{
    CLEANUP(buf_free) struct buf text = {0};
    buf_printf(&text, "%s", toml);
    for (int k = 0; k < RIG_NODES; k++) {
        if (k != i && r->nodes[k].pid) {
            buf_printf(&text,
                       "[[link.peer]]\nname = \"n%d\"\n"
                       "address = \"tcp://127.0.0.1:%d\"\n",
                       k, r->nodes[k].link_port);
        }
    }
    rig_start_node(r, i, text.ptr ? text.ptr : "");
}

void
fleet_start_nodes(struct rig *r, int n, const char *toml)
{
    for (int i = 0; i < n; i++) {
        fleet_start_node(r, i, toml);
    }
    rig_configure(r);
    for (int i = 0; i < n; i++) {
        rig_wait_ready(r, i, 200);
    }
    for (int i = 0; i < n; i++) {
        WAIT_FOR(fleet_count_alive(r, i) == n);
    }
}

void
fleet_kill_node(struct rig *r, int i)
{
    proc_signal_and_wait(r->nodes[i].pid, SIGKILL);
    r->nodes[i].pid = 0;
}

int
fleet_count_alive(struct rig *r, int i)
{
    CLEANUP(buf_free) struct buf out = {0};
    int n = 0;
    if (proc_http_request(r->nodes[i].port, "GET", "/admin/status",
                          RIG_VIEWER_HEADER, STR_LIT(""), &out) != 200) {
        return -1;
    }
    for (const char *p = out.ptr; (p = strstr(p, "\"state\":\"alive\""));) {
        n++;
        p++;
    }
    return n;
}

int64_t
fleet_status_number(struct rig *r, int i, const char *key)
{
    CLEANUP(buf_free) struct buf out = {0};
    const char *p = NULL;
    if (proc_http_request(r->nodes[i].port, "GET", "/admin/status",
                          RIG_VIEWER_HEADER, STR_LIT(""), &out) == 200) {
        p = strstr(out.ptr, key);
    }
    return p ? g_ascii_strtoll(p + strlen(key), NULL, 10) : -1;
}

pid_t
fleet_start_cli(struct rig *r, int first, int nodes,
                const char *const *command)
{
    static int runs;
    char urls[RIG_NODES][40];
    char token[96];
    char log[96];
    const char *args[30];
    int n = 0;
    for (int i = 0; i < nodes; i++) {
        snprintf(urls[i], sizeof(urls[i]), "http://127.0.0.1:%d",
                 r->nodes[(first + i) % nodes].port);
        args[n++] = "--node";
        args[n++] = urls[i];
    }
    snprintf(token, sizeof(token), "%s/operator", r->dir);
    g_file_set_contents(token, "operator-token", -1, NULL);
    args[n++] = "--token-file";
    args[n++] = token;
    while (*command && n < 29) {
        args[n++] = *command++;
    }
    args[n] = NULL;
    snprintf(log, sizeof(log), "%s/cli-%d.log", r->dir, runs++);
    return proc_start("camphorfall", args, log);
}

void
fake_send_control(int port, const char *json)
{
    g_assert_cmpint(proc_http_request(port, "POST", "/control", "",
                                      str_from_cstr(json), NULL),
                    ==, 200);
}

static json_t *
stats_json(int port)
{
    CLEANUP(buf_free) struct buf out = {0};
    proc_http_request(port, "GET", "/control/stats", "", STR_LIT(""), &out);
    return out.len ? json_loadb(out.ptr, out.len, 0, NULL) : NULL;
}

static int64_t
number(json_t *o, const char *name)
{
    json_t *v = json_object_get(o, name);
    return json_is_boolean(v) ? json_is_true(v) : json_integer_value(v);
}

int64_t
fake_get_stat(int port, const char *name)
{
    json_t *o = stats_json(port);
    int64_t n = o ? number(o, name) : -1;
    json_decref(o);
    return n;
}

json_t *
fake_get_actions(int port)
{
    json_t *o = stats_json(port);
    g_assert_nonnull(o);
    json_t *actions = json_incref(json_object_get(o, "actions"));
    json_decref(o);
    return actions;
}

int64_t
fake_count_action(int port, const char *action)
{
    json_t *actions = fake_get_actions(port);
    int64_t n = number(actions, action);
    json_decref(actions);
    return n;
}

void
fake_wait_idle(int port)
{
    WAIT_FOR(fake_get_stat(port, "in_flight") == 0);
}

static void
copy(char *to, size_t size, json_t *from)
{
    const char *s = json_string_value(from);
    snprintf(to, size, "%s", s ? s : "");
}

static struct outcome
send_json(struct rig *r, int node, const char *path, const char *headers,
          const char *name, json_t *body, struct buf *answer)
{
    struct outcome o = {.node = node};
    CLEANUP_FREE char *text = json_dumps(body, JSON_COMPACT);
    gint64 begin_us = g_get_monotonic_time();
    snprintf(o.name, sizeof(o.name), "%s", name);
    o.status = proc_http_request(r->nodes[node].port, "POST", path, headers,
                                 str_from_cstr(text), answer);
    /* With chunked encoding the JSON follows the size of its chunk. */
    const char *start = o.status ? strchr(answer->ptr, '{') : NULL;
    json_t *j = start ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
    json_t *e = json_object_get(j, "error");
    copy(o.kind, sizeof(o.kind), json_object_get(e, "kind"));
    copy(o.ran, sizeof(o.ran), json_object_get(e, "ran"));
    if (e) {
        const char *why = json_string_value(json_object_get(e, "message"));
        g_test_message("%s at node %d: %s after %d ms: %s", name, node, o.kind,
                       (int)((g_get_monotonic_time() - begin_us) / 1000),
                       why ? why : "");
    }
    o.replayed = json_is_true(json_object_get(j, "replayed"));
    json_decref(j);
    return o;
}

struct outcome
send_order(struct rig *r, int node, const char *name, int deadline_ms)
{
    CLEANUP(buf_free) struct buf answer = {0};
    char headers[256];
    snprintf(headers, sizeof(headers),
             RIG_TEAM_HEADER "Idempotency-Key: %s\r\nX-Deadline-Ms: %d\r\n",
             name, deadline_ms);
    json_t *body = json_pack("{s:s}", "action_id", name);
    struct outcome o = send_json(r, node, "/v1/pipelines/order", headers, name,
                                 body, &answer);
    o.correct = o.status == 200 && strstr(answer.ptr, name);
    json_decref(body);
    return o;
}

struct outcome
send_embed(struct rig *r, int node, const char *name, int deadline_ms)
{
    CLEANUP(buf_free) struct buf answer = {0};
    char headers[256];
    snprintf(headers, sizeof(headers), RIG_TEAM_HEADER "X-Deadline-Ms: %d\r\n",
             deadline_ms);
    json_t *body = json_pack("{s:s}", "input", name);
    json_t *want = engine_build_response(STAGE_ENCODE, body, 0);
    struct outcome o = send_json(r, node, "/v1/pipelines/embed", headers, name,
                                 body, &answer);
    json_t *vector = json_object_get(
        json_array_get(json_object_get(want, "data"), 0), "embedding");
    CLEANUP_FREE char *text = json_dumps(vector, JSON_COMPACT);
    o.correct = o.status == 200 && strstr(answer.ptr, text);
    json_decref(want);
    json_decref(body);
    return o;
}

void
fleet_start_with_service(struct rig *r, int nodes)
{
    static const char *const args[] = {"--report-load", "1", NULL};
    rig_open_store_only(r);
    fleet_add_endpoint(r, "fake_service", "led", "okha", args);
    fleet_put_vms(r);
    fleet_start_nodes(r, nodes, "");
    /* The few credits of a new endpoint would delay most of the actions. */
    for (int i = 0; i < FLEET_WARM_UP_ACTIONS; i++) {
        char name[24];
        g_snprintf(name, sizeof(name), "warm-%d.", i);
        WAIT_FOR(send_order(r, i % nodes, name, 4000).correct);
    }
}

void
outcome_check(const struct outcome *o, int64_t recorded)
{
    g_test_message("%s at node %d: %d %s %s, recorded %d", o->name, o->node,
                   o->status, o->kind, o->ran, (int)recorded);
    if (o->status == 200) {
        g_assert_true(o->correct);
        g_assert_cmpint(recorded, ==, 1);
    }
    else if (strcmp(o->ran, "not_run") == 0) {
        g_assert_cmpint(recorded, ==, 0);
    }
    else if (strcmp(o->ran, "ran") == 0) {
        g_assert_cmpint(recorded, ==, 1);
    }
}

struct outcome
send_stream(struct rig *r, int node, const char *name, int deadline_ms)
{
    CLEANUP(buf_free) struct buf answer = {0};
    char headers[256];
    snprintf(headers, sizeof(headers),
             RIG_TEAM_HEADER
             "X-Deadline-Ms: %d\r\nAccept: text/event-stream\r\n",
             deadline_ms);
    json_t *body = json_pack("{s:s}", "input", name);
    struct outcome o =
        send_json(r, node, "/v1/pipelines/tell", headers, name, body, &answer);
    struct str prompt = engine_request_prompt(body);
    int count = engine_completion_tokens(prompt, STREAM_TOKENS);
    int events = 0;
    const char *p = answer.len ? answer.ptr : "";
    for (const char *e = p; (e = strstr(e, "event: token")); e++) {
        events++;
    }
    for (int i = 0; p && i < count; i++) {
        char token[18];
        token[0] = '"';
        engine_format_token(prompt, i, 0, token + 1);
        g_strlcat(token, "\"", sizeof(token));
        p = strstr(p, token);
    }
    bool done = answer.len && strstr(answer.ptr, "event: done");
    bool refused = !done && answer.len && strstr(answer.ptr, "event: error");
    o.correct = o.status == 200 && done && p && events == count;
    /* A stream that ends with an error event counts as refused. */
    if (!o.correct) {
        g_test_message("%s: %d tokens of %d: %s", name, events, count,
                       answer.len ? answer.ptr : "");
    }
    if (refused) {
        g_strlcpy(o.kind, "stream_error", sizeof(o.kind));
    }
    json_decref(body);
    return o;
}

struct load {
    struct rig *rig;
    struct outcome (*send_request)(struct rig *, int, const char *, int);
    int callers;
    int nodes;
    int deadline_ms;
    atomic_int next;
    atomic_int count;
    atomic_int answers;
    atomic_bool stop;
    atomic_bool skip_unready;
    pthread_mutex_t lock;
    GArray *outcomes;
    pthread_t threads[CALLERS_MAX];
    atomic_int current_request[CALLERS_MAX]; /* newest request of a thread */
    atomic_int callers_started;
};

static void *
run_caller(void *arg)
{
    struct load *l = arg;
    int self = l->callers_started++;
    while (!l->stop) {
        int n = l->next++;
        l->current_request[self] = n;
        int node = n % l->nodes;
        char name[24];
        if (l->skip_unready &&
            proc_http_request(l->rig->nodes[node].port, "GET", "/readyz", "",
                              STR_LIT(""), NULL) != 200) {
            g_usleep(2000);
            continue;
        }
        snprintf(name, sizeof(name), "load-%06d-", n);
        struct outcome o = l->send_request(l->rig, node, name, l->deadline_ms);
        pthread_mutex_lock(&l->lock);
        g_array_append_val(l->outcomes, o);
        pthread_mutex_unlock(&l->lock);
        l->count++;
        l->answers += o.correct;
        if (!o.correct) {
            g_usleep(5000);
        }
    }
    return NULL;
}

struct load *
load_start(struct rig *r,
           struct outcome (*send_request)(struct rig *, int, const char *,
                                          int),
           int callers, int nodes, int deadline_ms)
{
    struct load *l = mem_calloc(1, sizeof(*l));
    l->rig = r;
    l->send_request = send_request;
    l->callers = callers;
    l->nodes = nodes;
    l->deadline_ms = deadline_ms;
    l->outcomes = g_array_new(FALSE, FALSE, sizeof(struct outcome));
    pthread_mutex_init(&l->lock, NULL);
    for (int i = 0; i < callers; i++) {
        pthread_create(&l->threads[i], NULL, run_caller, l);
    }
    return l;
}

void
load_skip_unready(struct load *l)
{
    l->skip_unready = true;
}

int
load_count_outcomes(struct load *l)
{
    return l->count;
}

int
load_count_correct(struct load *l)
{
    return l->answers;
}

void
load_wait_answers(struct load *l, int n)
{
    int from = l->answers;
    WAIT_FOR(load_count_correct(l) >= from + n);
}

void
load_wait_round(struct load *l)
{
    int next = l->next;
    for (int i = 0; i < l->callers; i++) {
        WAIT_FOR(l->current_request[i] >= next);
    }
}

GArray *
load_stop(struct load *l)
{
    l->stop = true;
    for (int i = 0; i < l->callers; i++) {
        pthread_join(l->threads[i], NULL);
    }
    GArray *out = l->outcomes;
    pthread_mutex_destroy(&l->lock);
    free(l);
    return out;
}
