#include "tests/platform/rig_platform.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/proc.h"

#define READINESS_MAX_POLLS 2000
#define READINESS_POLL_US 5000

static const struct {
    const char *id;
    const char *service;
    const char *events;
} server_specs[PR_SERVERS] = {
    {"desk-1", "desk", "0"},     {"desk-2", "desk", "0"},
    {"pool-1", "pool", "6"},     {"pool-2", "pool", "6"},
    {"ledger-1", "ledger", "0"}, {"ledger-2", "ledger", "0"},
};

void
platform_rig_put(const struct platform_rig *r, const char *key,
                 const char *text)
{
    char *path = g_strdup_printf("/control/item?key=%s", key);
    struct buf out = {0};
    g_assert_cmpint(proc_http_request(r->store.port, text ? "PUT" : "DELETE",
                                      path, "",
                                      str_from_cstr(text ? text : ""), &out),
                    ==, 200);
    buf_free(&out);
    g_free(path);
}

bool
platform_rig_get(const struct platform_rig *r, const char *key,
                 struct buf *out)
{
    char *path = g_strdup_printf("/kv-range?prefix=%s", key);
    struct buf body = {0};
    bool found = false;
    if (proc_http_request(r->store.port, "GET", path, "", STR_LIT(""),
                          &body) == 200) {
        json_t *doc = json_loadb(body.ptr, body.len, 0, NULL);
        const char *value = json_string_value(json_object_get(
            json_array_get(json_object_get(doc, "items"), 0), "value"));
        struct str text = str_from_base64(value);
        found = value != NULL;
        buf_clear(out);
        buf_append_str(out, text);
        str_free(&text);
        json_decref(doc);
    }
    buf_free(&body);
    g_free(path);
    return found;
}

void
platform_rig_register_server_at(struct platform_rig *r, int server,
                                const char *state, int port)
{
    const char *version = r->versions[server];
    char *key = g_strdup_printf("servers/%s", server_specs[server].id);
    char *text = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\","
        "\"slots\":8,\"state\":\"%s\",\"coldRemainingMs\":0,\"born\":%d%s%s%"
        "s}",
        server_specs[server].service, port, state ? state : "", server + 1,
        version ? ",\"version\":\"" : "", version ? version : "",
        version ? "\"" : "");
    platform_rig_put(r, key, state ? text : NULL);
    g_free(key);
    g_free(text);
}

void
platform_rig_set_server_state(struct platform_rig *r, int server,
                              const char *state)
{
    platform_rig_register_server_at(r, server, state, r->servers[server].port);
}

/* @param tenants the value of the configuration's member "tenants" */
static void
put_configuration(struct platform_rig *r, const char *tenants)
{
    GString *fillers = g_string_new(NULL);
    for (int i = 0; i < r->filler_routes; i++) {
        g_string_append_printf(
            fillers,
            ",{\"name\":\"filler-%d\",\"host\":\"filler-%d.example\","
            "\"prefix\":\"/filler/\",\"kind\":\"idempotent\",\"timeoutMs\":"
            "5000,\"targetLatencyMs\":100,\"service\":\"desk\","
            "\"maxAttempts\":2}",
            i, i);
    }
    char *text = g_strdup_printf(
        "{\"version\":%d,\"routes\":["
        "{\"name\":\"action\",\"host\":\"action\",\"prefix\":\"/\",\"kind\":"
        "\"non_idempotent\",\"timeoutMs\":%d,\"targetLatencyMs\":100,"
        "\"service\":\"desk\",\"maxAttempts\":1},"
        "{\"name\":\"check\",\"host\":\"check\",\"prefix\":\"/\",\"kind\":"
        "\"idempotent\",\"timeoutMs\":%d,\"targetLatencyMs\":100,"
        "\"service\":\"desk\",\"maxAttempts\":2},"
        "{\"name\":\"stream\",\"host\":\"stream\",\"prefix\":\"/\",\"kind\":"
        "\"streaming\",\"resumable\":true,\"timeoutMs\":5000,"
        "\"gapAimMs\":400,\"targetLatencyMs\":1000,\"service\":\"pool\","
        "\"maxAttempts\":2,"
        "\"stages\":[{\"service\":\"ledger\",\"after\":[],\"bytes\":8000},"
        "{\"service\":\"ledger\",\"after\":[0],\"bytes\":60000}]},"
        "{\"name\":\"order\",\"host\":\"order\",\"prefix\":\"/\",\"kind\":"
        "\"non_idempotent\",\"timeoutMs\":6000,\"targetLatencyMs\":100,"
        "\"service\":\"desk\",\"maxAttempts\":1},"
        "{\"name\":\"draft\",\"host\":\"draft\",\"prefix\":\"/\",\"kind\":"
        "\"streaming\",\"resumable\":false,\"timeoutMs\":6000,"
        "\"targetLatencyMs\":1000,\"service\":\"pool\",\"maxAttempts\":1}%s],"
        "\"services\":[{\"name\":\"desk\"},{\"name\":\"pool\",\"engine\":{"
        "\"slots\":8,\"kvCapacity\":100000}},{\"name\":\"ledger\",\"pieces\":"
        "{\"slots\":1,\"queue\":2,\"batch\":8,\"callMs\":100.0,\"itemMs\":0.1,"
        "\"roomMb\":36,\"handleS\":4}}],\"limits\":{\"headerBytes\":16384,"
        "\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":"
        "15000},\"tenants\":%s}",
        ++r->version, r->plain_timeout_ms, r->plain_timeout_ms, fillers->str,
        tenants);
    platform_rig_put(r, "op/config", text);
    g_free(text);
    g_string_free(fillers, TRUE);
}

void
platform_rig_set_credentials(struct platform_rig *r, const char *keys)
{
    char *tenants =
        g_strdup_printf("[{\"name\":\"team\",\"apiKeys\":[%s]}]", keys);
    put_configuration(r, tenants);
    g_free(tenants);
}

void
platform_rig_remove_teams(struct platform_rig *r)
{
    put_configuration(r, "[]");
}

static void
start(struct platform_rig *r, struct rig_process *p, const char *name,
      const char *program, const char *const *args)
{
    char *log = g_strdup_printf("%s/%s.log", r->dir, name);
    g_strlcpy(p->log, log, sizeof(p->log));
    g_free(log);
    p->pid = proc_start(program, args, p->log);
}

static void
start_server(struct platform_rig *r, int i)
{
    struct rig_process *p = &r->servers[i];
    const char *args[] = {"--id", server_specs[i].id, "--events",
                          server_specs[i].events, NULL};
    start(r, p, server_specs[i].id, "fake_server", args);
    p->port = (int)proc_wait_log_number(p->log, "listening ");
}

void
platform_rig_restart_server(struct platform_rig *r, int server)
{
    proc_signal_and_wait(r->servers[server].pid, 0);
    start_server(r, server);
    platform_rig_set_server_state(r, server, "ready");
}

void
platform_rig_start_node(struct platform_rig *r, int i)
{
    struct rig_process *p = &r->nodes[i];
    char path[96];
    char name[16];
    snprintf(name, sizeof(name), "node-%d", i);
    snprintf(path, sizeof(path), "%s/%s.toml", r->dir, name);
    bool first_start = !p->port;
    /* Keep the ports: callers read them while a node restarts. */
    if (first_start) {
        p->port = rig_find_free_port();
        r->ready_port[i] = rig_find_free_port();
        r->link_port[i] = rig_find_free_port();
    }
    char *text = g_strdup_printf(
        "[node]\nname = \"%s\"\nzone = \"a\"\n"
        "first_start = %s\n"
        "[callers]\naddress = \"127.0.0.1:%d\"\n"
        "[ready]\naddress = \"127.0.0.1:%d\"\n"
        "[link]\naddress = \"127.0.0.1:%d\"\n"
        "[store]\naddress = \"127.0.0.1:%d\"\n"
        "[stop]\nlimit_s = %d\nbalancer_ms = %d\n"
        "[bounds]\nrepeat_slack = %d\n%s%s",
        name, first_start ? "true" : "false", p->port, r->ready_port[i],
        r->link_port[i], r->store_port, r->stop_limit_s, r->stop_balancer_ms,
        r->repeat_slack,
        r->decides_rollouts ? "expose_share = 0.1\nexpose_slack = 50\n"
                              "rollback_ms = 5000\n"
                            : "",
        r->node_settings ? r->node_settings : "");
    g_file_set_contents(path, text, -1, NULL);
    g_free(text);
    const char *args[] = {path, NULL};
    start(r, p, name, "camphorfall-gateway", args);
}

void
platform_rig_wait_readiness(struct platform_rig *r, int i, int status)
{
    for (int k = 0; k < READINESS_MAX_POLLS; k++) {
        struct buf out = {0};
        int got = proc_http_request(r->ready_port[i], "GET", "/readiness", "",
                                    STR_LIT(""), &out);
        buf_free(&out);
        if (got == status) {
            return;
        }
        g_usleep(READINESS_POLL_US);
    }
    g_error("readiness of node %d does not return %d", i, status);
}

void
platform_rig_open_without_nodes(struct platform_rig *r)
{
    memset(r, 0, sizeof(*r));
    r->repeat_slack = 10;
    r->plain_timeout_ms = 2000;
    r->stop_limit_s = 4;
    r->stop_balancer_ms = 300;
    g_mutex_init(&r->lock);
    r->actions = g_ptr_array_new_with_free_func(g_free);
    snprintf(r->dir, sizeof(r->dir), "/tmp/cf-platform-XXXXXX");
    g_assert_nonnull(mkdtemp(r->dir));
    const char *none[] = {NULL};
    start(r, &r->store, "store", "fake_platform", none);
    r->store.port = (int)proc_wait_log_number(r->store.log, "listening ");
    r->store_port = r->store.port;
    for (int i = 0; i < PR_SERVERS; i++) {
        start_server(r, i);
    }
    platform_rig_set_credentials(r, "\"key-1\",\"key-2\"");
}

void
platform_rig_start_nodes(struct platform_rig *r)
{
    for (int i = 0; i < PR_NODES; i++) {
        platform_rig_start_node(r, i);
    }
    for (int i = 0; i < PR_NODES; i++) {
        platform_rig_wait_readiness(r, i, 200);
    }
}

void
platform_rig_register_servers(struct platform_rig *r)
{
    for (int i = 0; i < PR_SERVERS; i++) {
        platform_rig_set_server_state(r, i, "ready");
    }
}

void
platform_rig_open(struct platform_rig *r)
{
    platform_rig_open_without_nodes(r);
    platform_rig_register_servers(r);
    platform_rig_start_nodes(r);
}

static void
kill_process(struct rig_process *p)
{
    if (p->pid) {
        proc_signal_and_wait(p->pid, SIGKILL);
        p->pid = 0;
    }
}

void
platform_rig_close(struct platform_rig *r)
{
    for (int i = 0; i < PR_NODES; i++) {
        kill_process(&r->nodes[i]);
    }
    for (int i = 0; i < PR_SERVERS; i++) {
        kill_process(&r->servers[i]);
    }
    kill_process(&r->store);
    GDir *d = g_dir_open(r->dir, 0, NULL);
    const char *name;
    while (d && (name = g_dir_read_name(d))) {
        char *path = g_build_filename(r->dir, name, NULL);
        g_unlink(path);
        g_free(path);
    }
    g_dir_close(d);
    g_rmdir(r->dir);
    g_ptr_array_free(r->actions, TRUE);
    g_mutex_clear(&r->lock);
}

static int
count_runs_at(const struct platform_rig *r, int server, const char *id)
{
    char *path = g_strdup_printf("/control/ran?id=%s", id);
    struct buf out = {0};
    g_assert_cmpint(proc_http_request(r->servers[server].port, "GET", path, "",
                                      STR_LIT(""), &out),
                    ==, 200);
    int n = atoi(out.ptr);
    buf_free(&out);
    g_free(path);
    return n;
}

int
platform_rig_count_runs(const struct platform_rig *r, const char *id)
{
    int n = 0;
    for (int i = 0; i < PR_SERVERS; i++) {
        n += r->servers[i].pid ? count_runs_at(r, i, id) : 0;
    }
    return n;
}

int
platform_rig_count_violations(struct platform_rig *r)
{
    int violations = 0;
    for (guint i = 0; i < r->actions->len; i++) {
        const struct rig_action *a = g_ptr_array_index(r->actions, i);
        int runs = count_runs_at(r, 0, a->id) + count_runs_at(r, 1, a->id);
        if (runs > 1 || (runs > 0 && a->status == 503)) {
            g_test_message("action %s: status %d, ran %d times", a->id,
                           a->status, runs);
            violations++;
        }
    }
    return violations;
}

void
platform_rig_post_control(const struct platform_rig *r, int port,
                          const char *json)
{
    struct buf out = {0};
    (void)r;
    g_assert_cmpint(proc_http_request(port, "POST", "/control", "",
                                      str_from_cstr(json), &out),
                    ==, 200);
    buf_free(&out);
}

long
platform_rig_server_stat(const struct platform_rig *r, int server,
                         const char *name)
{
    struct buf out = {0};
    g_assert_cmpint(proc_http_request(r->servers[server].port, "GET",
                                      "/control/stats", "", STR_LIT(""), &out),
                    ==, 200);
    json_t *o = json_loadb(out.ptr, out.len, 0, NULL);
    const json_t *v = json_object_get(o, name);
    g_assert_nonnull(v);
    long n =
        json_is_boolean(v) ? json_is_true(v) : (long)json_integer_value(v);
    json_decref(o);
    buf_free(&out);
    return n;
}

int
platform_rig_count_ended_nodes(const struct platform_rig *r)
{
    int ended = 0;
    for (int i = 0; i < PR_NODES; i++) {
        siginfo_t info = {0};
        if (r->nodes[i].pid &&
            waitid(P_PID, (id_t)r->nodes[i].pid, &info,
                   WEXITED | WNOHANG | WNOWAIT) == 0 &&
            info.si_pid != 0) {
            g_test_message("node %d ended: status %d", i, info.si_status);
            ended++;
        }
    }
    return ended;
}

/* Decodes a body with chunked transfer encoding; leaves others unchanged.
 * @return false if the last chunk is missing */
static bool
decode_chunked(struct buf *b)
{
    struct buf out = {0};
    const char *p = b->ptr ? b->ptr : "";
    char *end;
    size_t n;
    while ((n = strtoul(p, &end, 16)) > 0 && g_str_has_prefix(end, "\r\n") &&
           strlen(end) >= n + 4) {
        buf_append(&out, end + 2, n);
        p = end + 2 + n + 2;
    }
    if (out.len == 0) {
        return true; /* not chunked */
    }
    bool ended = g_str_has_prefix(p, "0\r\n");
    buf_free(b);
    *b = out;
    return ended;
}

int
platform_rig_send_request(struct platform_rig *r, int node, const char *host,
                          const char *headers, struct buf *response)
{
    static _Atomic int next;
    char *id = g_strdup_printf("%08x%08x", (unsigned)getpid(),
                               (unsigned)atomic_fetch_add(&next, 1));
    char *all = g_strdup_printf("Host: %s\r\nCamphorfall-Request-Id: %s\r\n%s",
                                host, id, headers);
    int status = proc_http_request(r->nodes[node].port, "POST", "/x/y?z=1",
                                   all, STR_LIT("body"), response);
    if (strcmp(host, "action") == 0) {
        struct rig_action *a = g_new0(struct rig_action, 1);
        g_strlcpy(a->id, id, sizeof(a->id));
        a->status = status;
        g_mutex_lock(&r->lock);
        g_ptr_array_add(r->actions, a);
        g_mutex_unlock(&r->lock);
    }
    g_free(id);
    g_free(all);
    return decode_chunked(response) ? status : 0;
}
