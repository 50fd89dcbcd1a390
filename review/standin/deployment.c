#include "review/standin/deployment.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/proc.h"

#define READY_TIMEOUT_US 15000000

int64_t
dep_now_us(void)
{
    return g_get_monotonic_time();
}

bool
dep_has_trouble(void)
{
    return g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
}

static void
fail(struct deployment *r, const char *why)
{
    dep_record(r, "the case could not run: %s", why);
    fprintf(stderr, "%s\n", why);
    dep_close(r);
    exit(2);
}

void
dep_record(struct deployment *r, const char *format, ...)
{
    va_list ap;
    va_start(ap, format);
    vfprintf(r->record, format, ap);
    va_end(ap);
    fputc('\n', r->record);
    fflush(r->record);
}

static pid_t
start(const char *const *argv, const char *config, const char *log)
{
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        if (config) {
            setenv("CAMPHORFALL_CONFIG", config, 1);
        }
        execv(argv[0], (char *const *)argv);
        _exit(127);
    }
    return pid;
}

static void
put(struct deployment *r, const char *key, const char *text)
{
    char *path = g_strdup_printf("/control/item?key=%s", key);
    struct buf out = {0};
    int status =
        proc_http_request(r->store_port, text ? "PUT" : "DELETE", path, "",
                          str_from_cstr(text ? text : ""), &out);
    buf_free(&out);
    g_free(path);
    if (status != 200) {
        fail(r, "the store does not answer");
    }
}

static void
put_entry(struct deployment *r, int i)
{
    static int sequence;
    struct dep_server *s = &r->servers[i];
    char *key = g_strdup_printf("servers/%s", s->id);
    char *text = g_strdup_printf(
        "{\"service\":\"desk\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\","
        "\"version\":\"1\",\"slots\":16,\"state\":\"ready\","
        "\"coldRemainingMs\":0,\"sequence\":%d,\"born\":%" G_GINT64_FORMAT "}",
        s->port, ++sequence, (gint64)s->born_ms);
    put(r, key, text);
    g_free(key);
    g_free(text);
}

void
dep_write_entry(struct deployment *r, int i)
{
    g_mutex_lock(&r->lock);
    put_entry(r, i);
    r->servers[i].registered = true;
    g_mutex_unlock(&r->lock);
}

int64_t
dep_remove_entry(struct deployment *r, int i)
{
    char *key = g_strdup_printf("servers/%s", r->servers[i].id);
    g_mutex_lock(&r->lock);
    r->servers[i].registered = false;
    put(r, key, NULL);
    int64_t at_us = dep_now_us();
    g_mutex_unlock(&r->lock);
    g_free(key);
    return at_us;
}

void
dep_start_server(struct deployment *r, int i)
{
    struct dep_server *s = &r->servers[i];
    char port[16];
    char work[16];
    char log[96];
    char runs[96];
    if (!s->port) {
        s->port = rig_find_free_port();
    }
    snprintf(s->id, sizeof(s->id), "i-%d-%d", i, ++s->starts);
    snprintf(port, sizeof(port), "%d", s->port);
    snprintf(work, sizeof(work), "%d", r->server_work_ms);
    snprintf(log, sizeof(log), "%s/server-%d.log", r->dir, i);
    snprintf(runs, sizeof(runs), "%s/runs-%d", r->dir, i);
    const char *argv[] = {"target/review/server",
                          "--port",
                          port,
                          "--id",
                          s->id,
                          "--work-ms",
                          work,
                          "--runs",
                          runs,
                          "--crashes",
                          r->server_crashes ? "1" : "0",
                          NULL};
    s->born_ms = g_get_real_time() / 1000;
    s->pid = start(argv, NULL, log);
}

void
dep_kill_server(struct deployment *r, int i)
{
    proc_signal_and_wait(r->servers[i].pid, SIGKILL);
    r->servers[i].pid = 0;
}

bool
dep_server_ended(struct deployment *r, int i)
{
    pid_t pid = r->servers[i].pid;
    if (!pid || waitpid(pid, NULL, WNOHANG) != pid) {
        return false;
    }
    r->servers[i].pid = 0;
    return true;
}

/* Each server renews its entry, one after the other. */
static gpointer
heartbeats(gpointer ctx)
{
    struct deployment *r = ctx;
    for (int i = 0; !g_atomic_int_get(&r->stop); i = (i + 1) % DEP_SERVERS) {
        g_usleep(HEARTBEAT_MS * 1000 / DEP_SERVERS);
        g_mutex_lock(&r->lock);
        if (r->servers[i].registered && r->servers[i].pid) {
            put_entry(r, i);
        }
        g_mutex_unlock(&r->lock);
    }
    return NULL;
}

static void
put_configuration(struct deployment *r)
{
    put(r, "op/config",
        "{\"version\":3,\"routes\":["
        "{\"name\":\"action\",\"host\":\"action\",\"prefix\":\"/\",\"kind\":"
        "\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":100,"
        "\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2},"
        "{\"name\":\"check\",\"host\":\"check\",\"prefix\":\"/\",\"kind\":"
        "\"idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":100,"
        "\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2}],"
        "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\","
        "\"maxConnections\":370}],\"limits\":{\"headerBytes\":16384,"
        "\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":"
        "15000},\"tenants\":[{\"name\":\"team\",\"apiKeys\":[\"key-1\"]}]}");
}

static void
start_node(struct deployment *r, int i)
{
    char path[96];
    char log[96];
    r->nodes[i].port = rig_find_free_port();
    r->nodes[i].ready_port = rig_find_free_port();
    snprintf(path, sizeof(path), "%s/node-%d.toml", r->dir, i);
    snprintf(log, sizeof(log), "%s/node-%d.log", r->dir, i);
    /* As deploy/settings.toml.tmpl is filled for a small deployment. */
    char *text = g_strdup_printf(
        "[node]\nname = \"front-%d\"\nzone = \"a\"\nfirst_start = true\n"
        "[callers]\naddress = \"127.0.0.1:%d\"\n"
        "[ready]\naddress = \"127.0.0.1:%d\"\n"
        "[link]\naddress = \"127.0.0.1:%d\"\n"
        "[store]\naddress = \"127.0.0.1:%d\"\n"
        "[stop]\nlimit_s = 8\n"
        "[bounds]\nrevoke_ms = 5000\nrepeat_ratio = 0.2\n"
        "repeat_slack = 58\nrepeat_window_s = 10\n[log]\nlevel = \"info\"\n",
        i, r->nodes[i].port, r->nodes[i].ready_port, rig_find_free_port(),
        proxy_port(r->proxy));
    g_file_set_contents(path, text, -1, NULL);
    g_free(text);
    const char *argv[] = {"target/camphorfall-gateway", NULL};
    r->nodes[i].pid = start(argv, path, log);
}

static void
wait_ready(struct deployment *r, int port, const char *path)
{
    int64_t by_us = dep_now_us() + READY_TIMEOUT_US;
    for (;;) {
        struct buf out = {0};
        int status =
            proc_http_request(port, "GET", path, "", STR_LIT(""), &out);
        buf_free(&out);
        if (status == 200) {
            return;
        }
        if (dep_now_us() > by_us) {
            fail(r, "a process does not become ready");
        }
        g_usleep(20000);
    }
}

void
dep_open(struct deployment *r, const char *folder, int work_ms, bool crashes)
{
    char *path = g_build_filename(folder, "record.txt", NULL);
    char log[96];
    char port[16];
    memset(r, 0, sizeof(*r));
    r->record = fopen(path, "w");
    g_free(path);
    snprintf(r->dir, sizeof(r->dir), "/tmp/cf-review-XXXXXX");
    if (!r->record || !g_mkdtemp(r->dir)) {
        fputs("no folder can be written\n", stderr);
        exit(2);
    }
    g_mutex_init(&r->lock);
    r->requests = g_array_new(FALSE, TRUE, sizeof(struct sent_request));
    r->server_work_ms = work_ms;
    r->server_crashes = crashes;
    r->store_port = rig_find_free_port();
    snprintf(port, sizeof(port), "%d", r->store_port);
    snprintf(log, sizeof(log), "%s/store.log", r->dir);
    const char *store[] = {"target/fake_platform", "--port", port, NULL};
    r->store = start(store, NULL, log);
    wait_ready(r, r->store_port, "/control/ready");
    r->proxy = proxy_new(r->store_port);
    put_configuration(r);
    for (int i = 0; i < DEP_SERVERS; i++) {
        dep_start_server(r, i);
        wait_ready(r, r->servers[i].port, "/health");
        dep_write_entry(r, i);
    }
    r->heartbeat = g_thread_new("heartbeats", heartbeats, r);
    for (int i = 0; i < DEP_NODES; i++) {
        start_node(r, i);
    }
    for (int i = 0; i < DEP_NODES; i++) {
        wait_ready(r, r->nodes[i].ready_port, "/readiness");
    }
}

void
dep_close(struct deployment *r)
{
    g_atomic_int_set(&r->stop, 1);
    if (r->heartbeat) {
        g_thread_join(r->heartbeat);
    }
    for (int i = 0; i < DEP_NODES; i++) {
        if (r->nodes[i].pid) {
            proc_signal_and_wait(r->nodes[i].pid, SIGKILL);
        }
    }
    for (int i = 0; i < DEP_SERVERS; i++) {
        if (r->servers[i].pid) {
            dep_kill_server(r, i);
        }
    }
    proc_signal_and_wait(r->store, SIGKILL);
    if (r->proxy) {
        proxy_free(r->proxy);
    }
    GDir *d = g_getenv("KEEP_LOGS") ? NULL : g_dir_open(r->dir, 0, NULL);
    const char *name;
    while (d && (name = g_dir_read_name(d))) {
        char *path = g_build_filename(r->dir, name, NULL);
        g_unlink(path);
        g_free(path);
    }
    if (d) {
        g_dir_close(d);
        g_rmdir(r->dir);
    }
    fclose(r->record);
}

int
dep_send(struct deployment *r, int node, char kind, const char *body)
{
    struct sent_request q = {.kind = kind, .node = node};
    snprintf(q.id, sizeof(q.id), "%08x%08x", (unsigned)getpid(),
             (unsigned)g_atomic_int_add(&r->next_id, 1));
    char *headers =
        g_strdup_printf("Host: %s\r\nCamphorfall-Request-Id: %s\r\n"
                        "Camphorfall-Deadline-Ms: 1500\r\n"
                        "Camphorfall-Key: key-1\r\n",
                        kind == 'a' ? "action" : "check", q.id);
    struct buf out = {0};
    q.sent_us = dep_now_us();
    q.status = proc_http_request(r->nodes[node].port, "POST", "/desk/entry",
                                 headers, str_from_cstr(body), &out);
    q.ended_us = dep_now_us();
    buf_free(&out);
    g_free(headers);
    g_mutex_lock(&r->lock);
    g_array_append_val(r->requests, q);
    g_mutex_unlock(&r->lock);
    return q.status;
}

const struct sent_request *
dep_find_request(struct deployment *r, const char *id)
{
    for (guint i = 0; i < r->requests->len; i++) {
        const struct sent_request *q =
            &g_array_index(r->requests, struct sent_request, i);
        if (strcmp(q->id, id) == 0) {
            return q;
        }
    }
    return NULL;
}

static gint
by_time(gconstpointer a, gconstpointer b)
{
    const struct run_line *x = a;
    const struct run_line *y = b;
    return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

GArray *
dep_runs(struct deployment *r)
{
    GArray *all = g_array_new(FALSE, TRUE, sizeof(struct run_line));
    for (int i = 0; i < DEP_SERVERS; i++) {
        char path[96];
        char *text = NULL;
        snprintf(path, sizeof(path), "%s/runs-%d", r->dir, i);
        if (!g_file_get_contents(path, &text, NULL, NULL)) {
            continue;
        }
        char **lines = g_strsplit(text, "\n", -1);
        for (char **l = lines; *l; l++) {
            struct run_line x = {.server = i};
            char what[16];
            gint64 at;
            if (sscanf(*l, "%" G_GINT64_FORMAT " %15s %23s", &at, what,
                       x.id) != 3) {
                continue;
            }
            x.at_us = at;
            if (strcmp(what, "runs") == 0) {
                g_array_append_val(all, x);
                continue;
            }
            for (guint k = all->len; k > 0; k--) {
                struct run_line *y =
                    &g_array_index(all, struct run_line, k - 1);
                if (y->server == i && strcmp(y->id, x.id) == 0) {
                    y->answered = true;
                    break;
                }
            }
        }
        g_strfreev(lines);
        g_free(text);
    }
    g_array_sort(all, by_time);
    return all;
}

void
dep_record_all(struct deployment *r, const GArray *runs, int64_t zero_us)
{
    dep_record(r, "requests: sent at ms, id, a (action) or c (check), node, "
                  "status (0: no answer), ms until the end");
    for (guint i = 0; i < r->requests->len; i++) {
        const struct sent_request *q =
            &g_array_index(r->requests, struct sent_request, i);
        dep_record(r, "sent %7.1f %s %c front-%d %d %.1f",
                   (double)(q->sent_us - zero_us) / 1e3, q->id, q->kind,
                   q->node, q->status,
                   (double)(q->ended_us - q->sent_us) / 1e3);
    }
    dep_record(r, "runs: begun at ms, id, server, answered");
    for (guint i = 0; i < runs->len; i++) {
        const struct run_line *x = &g_array_index(runs, struct run_line, i);
        dep_record(r, "run %7.1f %s server-%d %s",
                   (double)(x->at_us - zero_us) / 1e3, x->id, x->server,
                   x->answered ? "answered" : "cut off");
    }
}
