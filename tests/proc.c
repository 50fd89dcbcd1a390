#include "tests/proc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "base/clean.h"
#include "model/fleet.h"

#define TIMEOUT_MS 20000

static void
sleep_ms(long ms)
{
    struct timespec ts = {0, ms * 1000000};
    nanosleep(&ts, NULL);
}

pid_t
proc_start(const char *program, const char *const *args, const char *log)
{
    const char *dir = getenv("CF_BUILD_DIR");
    CLEANUP_FREE char *path =
        g_build_filename(dir ? dir : "build/release", program, NULL);
    const char *argv[32] = {path};
    for (int i = 0; args && args[i] && i < 30; i++) {
        argv[i + 1] = args[i];
    }
    /* Lines of an earlier run must not be read as lines of this run. A device
     * such as /dev/null is not unlinked: that would break the machine. */
    if (g_file_test(log, G_FILE_TEST_IS_REGULAR)) {
        g_unlink(log);
    }
    pid_t pid = fork();
    if (pid == 0) {
        /* The child must not outlive a test that aborts. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = open(log, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execv(path, (char *const *)argv);
        _exit(127);
    }
    return pid;
}

int
proc_signal_and_wait(pid_t pid, int sig)
{
    int rc = 0;
    if (sig) {
        kill(pid, sig);
    }
    waitpid(pid, &rc, 0);
    return WIFEXITED(rc) ? WEXITSTATUS(rc) : -WTERMSIG(rc);
}

int64_t
proc_cpu_us(pid_t pid)
{
    char path[64];
    char *text = NULL;
    long ticks = 0;
    snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        /* utime and stime, fields 14 and 15; the split starts at field 3,
         * after the name in parentheses. */
        char **f = g_strsplit(strrchr(text, ')') + 2, " ", 15);
        ticks = strtol(f[11], NULL, 10) + strtol(f[12], NULL, 10);
        g_strfreev(f);
        g_free(text);
    }
    return ticks * 1000000L / sysconf(_SC_CLK_TCK);
}

long
proc_wait_log_number(const char *log, const char *key)
{
    for (int i = 0; i < TIMEOUT_MS / 5; i++) {
        char *text = NULL;
        if (g_file_get_contents(log, &text, NULL, NULL)) {
            char *p = strstr(text, key);
            bool whole = p && strchr(p, '\n');
            long n = p ? strtol(p + strlen(key), NULL, 10) : 0;
            if (whole) {
                g_free(text);
                return n;
            }
            if (i == TIMEOUT_MS / 5 - 1) {
                fprintf(stderr, "%s\n", text);
            }
            g_free(text);
        }
        sleep_ms(5);
    }
    fprintf(stderr, "no \"%s\" in %s\n", key, log);
    exit(1);
}

/* The ports are below the range that the system chooses for connections, so
 * that no connection takes a port that is bound later or after a restart. */
int
rig_find_free_port(void)
{
    static int next;
    for (int i = 0; i < 1000; i++) {
        int port =
            10000 +
            (int)(((unsigned)getpid() * 61U + (unsigned)next++) % 20000U);
        struct sockaddr_in a = {.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)port),
                                .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int rc = bind(fd, (struct sockaddr *)&a, sizeof(a));
        close(fd);
        if (rc == 0) {
            return port;
        }
    }
    g_error("no free port");
}

bool
proc_parse_response(const struct buf *in, bool closed, int *status,
                    size_t *body)
{
    const char *end = in->len ? strstr(in->ptr, "\r\n\r\n") : NULL;
    if (!end) {
        return false;
    }
    const char *length = strcasestr(in->ptr, "\r\nContent-Length:");
    *body = (size_t)(end + 4 - in->ptr);
    *status = (int)strtol(in->ptr + 9, NULL, 10);
    if (length && length < end) {
        return in->len >= *body + strtoul(length + 17, NULL, 10);
    }
    return closed || strstr(end, "\r\n0\r\n\r\n");
}

int
proc_http_request(int port, const char *method, const char *path,
                  const char *headers, struct str body, struct buf *answer)
{
    CLEANUP(buf_free) struct buf out = {0};
    CLEANUP(buf_free) struct buf in = {0};
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct timeval tv = {TIMEOUT_MS / 1000, 0};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int status = 0;
    size_t at = 0;
    char piece[8192];
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
    buf_printf(&out,
               "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s"
               "Content-Length: %zu\r\n\r\n",
               method, path, headers, body.len);
    buf_append_str(&out, body);
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0) {
        send(fd, out.ptr, out.len, MSG_NOSIGNAL);
        ssize_t n;
        while ((n = read(fd, piece, sizeof(piece))) > 0) {
            buf_append(&in, piece, (size_t)n);
        }
        if (!proc_parse_response(&in, n == 0, &status, &at)) {
            status = 0;
        }
    }
    close(fd);
    if (answer) {
        buf_clear(answer);
        buf_append(answer, in.ptr + at, status ? in.len - at : 0);
    }
    return status;
}

static void
token(struct buf *out, const char *text)
{
    char hex[65];
    fleet_format_token_hash(str_from_cstr(text), hex);
    buf_printf(out, "\"token_hash\":\"%s\"", hex);
}

static void
append_config(struct buf *out)
{
    buf_printf(out,
               "{\"change\":\"c1\",\"base\":0,\"config\":{"
               "\"defaults\":{\"deadline_ms\":5000,\"max_in_flight\":256},"
               "\"zones\":{\"okha\":{\"region\":\"s\"},\"mandvi\":"
               "{\"region\":\"s\"},\"veraval\":{\"region\":\"s\"}},"
               "\"pools\":{\"enc\":{\"kind\":\"encode\"},"
               "\"gen\":{\"kind\":\"generate\"},"
               "\"led\":{\"kind\":\"service\"}},\"pipelines\":{"
               "\"tell\":{\"class\":\"interactive\",\"stages\":["
               "{\"name\":\"g\",\"pool\":\"gen\",\"max_tokens\":40}]},"
               "\"embed\":{\"class\":\"interactive\",\"stages\":["
               "{\"name\":\"e\",\"pool\":\"enc\"}]},"
               "\"order\":{\"class\":\"action\",\"stages\":["
               "{\"name\":\"l\",\"pool\":\"led\",\"path\":\"/orders\","
               "\"repeatable\":false}]}},\"teams\":{\"board\":{");
    token(out, "team-token");
    buf_printf(out, "},\"other\":{");
    token(out, "other-token");
    buf_printf(out, "}},\"operators\":{\"ann\":{\"role\":\"operator\",");
    token(out, "operator-token");
    buf_printf(out, "},\"vic\":{\"role\":\"viewer\",");
    token(out, "viewer-token");
    buf_printf(out, "}}}}");
}

void
rig_put_key(struct rig *r, const char *key, struct str bytes)
{
    CLEANUP(buf_free) struct buf put = {0};
    CLEANUP_FREE char *k = g_base64_encode((const guchar *)key, strlen(key));
    CLEANUP_FREE char *v =
        g_base64_encode((const guchar *)bytes.ptr, bytes.len);
    buf_printf(&put, "{\"key\":\"%s\",\"value\":\"%s\"}", k, v);
    if (proc_http_request(r->kv_port, "POST", "/v3/kv/put", "", buf_str(&put),
                          NULL) != 200) {
        g_error("cannot put %s", key);
    }
}

static void
put_vm_list(struct rig *r)
{
    CLEANUP(buf_free) struct buf vms = {0};
    buf_printf(&vms,
               "{\"vms\":[{\"vm\":\"v1\",\"zone\":\"okha\",\"state\":\"live\","
               "\"endpoints\":[{\"id\":\"enc-1\",\"pool\":\"enc\",\"url\":"
               "\"http://127.0.0.1:%d\"},{\"id\":\"led-1\",\"pool\":\"led\","
               "\"url\":\"http://127.0.0.1:%d\"}]}]}",
               r->engine_port, r->service_port);
    rig_put_key(r, "platform/vms", buf_str(&vms));
}

void
rig_open_store_only(struct rig *r)
{
    char log[96];
    *r = (struct rig){0};
    snprintf(r->dir, sizeof(r->dir), "%s/cf-rig-XXXXXX", g_get_tmp_dir());
    if (!g_mkdtemp(r->dir)) {
        g_error("no temporary folder");
    }
    snprintf(log, sizeof(log), "%s/kv.log", r->dir);
    r->kv = proc_start("fake_kv", NULL, log);
    r->kv_port = (int)proc_wait_log_number(log, "listening ");
}

void
rig_open(struct rig *r, const char *const *engine_args)
{
    char log[96];
    const char *engine[24] = {"--kind", "encode"};
    rig_open_store_only(r);
    for (int i = 0; engine_args && engine_args[i] && i < 20; i++) {
        engine[i + 2] = engine_args[i];
    }
    snprintf(log, sizeof(log), "%s/engine.log", r->dir);
    r->engine = proc_start("fake_engine", engine, log);
    r->engine_port = (int)proc_wait_log_number(log, "listening ");
    snprintf(log, sizeof(log), "%s/service.log", r->dir);
    r->service = proc_start("fake_service", NULL, log);
    r->service_port = (int)proc_wait_log_number(log, "listening ");
    put_vm_list(r);
}

void
rig_start_node(struct rig *r, int i, const char *toml)
{
    struct rig_node *n = &r->nodes[i];
    CLEANUP(buf_free) struct buf text = {0};
    char path[96];
    if (!n->link_port) {
        n->link_port = rig_find_free_port();
    }
    /* A log of its own for each start, so that the earlier ones are kept. */
    snprintf(path, sizeof(path), "%s/n%d-%d.log", r->dir, i, n->starts++);
    memcpy(n->log, path, sizeof(path));
    snprintf(path, sizeof(path), "%s/n%d.toml", r->dir, i);
    buf_printf(&text,
               "[node]\nname = \"n%d\"\nzone = \"%s\"\nregion = \"s\"\n"
               "[link]\naddress = \"tcp://127.0.0.1:%d\"\n"
               "[store]\nurls = [\"http://127.0.0.1:%d\"]\n"
               "[drain]\nbalancer_wait_ms = 300\nlimit_ms = 10000\n"
               "[http]\naddress = \"127.0.0.1\"\nport = 0\nplain = true\n%s",
               i, n->zone ? n->zone : "okha", n->link_port, r->kv_port, toml);
    g_file_set_contents(path, text.ptr, (gssize)text.len, NULL);
    const char *args[] = {path, NULL};
    n->pid = proc_start("camphorfalld", args, n->log);
    proc_wait_log_number(n->log, "event=started");
    n->port = (int)proc_wait_log_number(n->log, " port=");
}

void
rig_configure(struct rig *r)
{
    CLEANUP(buf_free) struct buf text = {0};
    CLEANUP(buf_free) struct buf answer = {0};
    append_config(&text);
    int status = 0;
    /* The change is not confirmed before the node has joined the roster. */
    for (int i = 0; i < 40 && status != 200; i++) {
        status = proc_http_request(r->nodes[0].port, "POST", "/admin/apply",
                                   "", buf_str(&text), &answer);
        if (status == 401) {
            status = 200; /* the first attempt was stored */
        }
        if (status != 200) {
            sleep_ms(100);
        }
    }
    if (status != 200) {
        g_error("cannot apply the configuration: %d %s", status,
                answer.ptr ? answer.ptr : "");
    }
}

void
rig_wait_ready(struct rig *r, int i, int status)
{
    int got = -1;
    for (int k = 0; k < TIMEOUT_MS / 10; k++) {
        got = proc_http_request(r->nodes[i].port, "GET", "/readyz", "",
                                STR_LIT(""), NULL);
        if (got == status) {
            return;
        }
        sleep_ms(10);
    }
    char *log = NULL;
    g_file_get_contents(r->nodes[i].log, &log, NULL, NULL);
    g_error("/readyz of node %d is %d, not %d\n%s", i, got, status, log);
}

void
rig_close(struct rig *r)
{
    for (int i = 0; i < RIG_NODES; i++) {
        if (r->nodes[i].pid) {
            proc_signal_and_wait(r->nodes[i].pid, SIGKILL);
        }
    }
    for (int i = 0; i < r->endpoint_count; i++) {
        if (r->endpoints[i].pid) {
            proc_signal_and_wait(r->endpoints[i].pid, SIGKILL);
        }
    }
    pid_t fakes[] = {r->kv, r->engine, r->service};
    for (int i = 0; i < 3; i++) {
        if (fakes[i]) {
            proc_signal_and_wait(fakes[i], SIGKILL);
        }
    }
    GDir *d = g_dir_open(r->dir, 0, NULL);
    const char *name;
    while (d && (name = g_dir_read_name(d))) {
        CLEANUP_FREE char *path = g_build_filename(r->dir, name, NULL);
        g_unlink(path);
    }
    if (d) {
        g_dir_close(d);
    }
    g_rmdir(r->dir);
}
