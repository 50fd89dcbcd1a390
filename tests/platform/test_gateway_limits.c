/* Guards against the effects of servers whose responses never end: a node
 * whose memory grows until it is killed, that delays other callers, or that
 * returns an incomplete response as a complete one. */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/peer.h"
#include "tests/platform/endless.h"
#include "tests/platform/rig_platform.h"
#include "tests/proc.h"

/* A node has at least 260 MB and calls several servers at once. */
#define GROWTH_MAX_KB (16 * 1024)
/* Maximum latency of concurrent requests to other services, and the time that
 * a stream of the stand-in takes by itself. */
#define LATENCY_MAX_US 50000
#define STREAM_US 30000
/* Processor time that a connection may take from the others, and what a
 * request to another service needs at most. */
#define CONNECTION_CPU_MAX_US 20000
#define REQUEST_CPU_MAX_US 1000
#define REQUESTS 3
#define ATTEMPTS 2

#define SEALED                                                                \
    "Camphorfall-Request-Id: {id}\r\nCamphorfall-Response-Seal: x.{id}\r\n"
#define PLAIN "HTTP/1.1 200 OK\r\n" SEALED
#define EVENTS PLAIN "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

#define DEADLINE "Camphorfall-Deadline-Ms: 3000\r\n"
#define PIECES "Camphorfall-Pieces: 1,2\r\nCamphorfall-Piece-Key: k\r\n"
#define NO_PIECES "Camphorfall-Pieces: 0,0\r\n"

/* Memory and latency are only checked in release builds, since sanitizers keep
 * freed memory and slow the processes down. */
static bool
is_release_build(void)
{
    const char *dir = g_getenv("CF_BUILD_DIR");
    return dir && g_str_has_suffix(dir, "release");
}

static long
peak_kb(pid_t pid)
{
    char path[64];
    char *text = NULL;
    g_snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    const char *at = strstr(text, "VmHWM:");
    long kb = at ? strtol(at + 6, NULL, 10) : 0;
    g_free(text);
    return kb;
}

struct background_load {
    struct platform_rig *r;
    const char *host;
    const char *headers;
    _Atomic bool stop;
    gint64 max_latency_us;
    int failed;
    int request_count;
};

static gpointer
run_background_load(gpointer p)
{
    struct background_load *b = p;
    while (!b->stop) {
        struct buf out = {0};
        gint64 begin = g_get_monotonic_time();
        int status =
            platform_rig_send_request(b->r, 0, b->host, b->headers, &out);
        gint64 took = g_get_monotonic_time() - begin;
        b->max_latency_us = MAX(b->max_latency_us, took);
        b->failed += status != 200;
        b->request_count++;
        buf_free(&out);
        g_usleep(2000);
    }
    return NULL;
}

struct endless_case {
    const char *name;
    const char *host; /* of the request */
    struct endless_response response;
};

static const struct endless_case rows[] = {
    {"body without length", "check", {PLAIN "\r\n", "{x}", 16384, 0}},
    {"chunks", "check", {PLAIN CHUNKED, "4000\r\n{x}\r\n", 16384, 0}},
    {"chunk header", "check", {PLAIN CHUNKED, "0000{x}", 1024, 0}},
    {"trailers", "check", {PLAIN CHUNKED "0\r\n", "T{n}: {x}\r\n", 900, 0}},
    {"headers", "check", {PLAIN, "H{n}: {x}\r\n", 900, 0}},
    {"one header", "check", {PLAIN "H: ", "{x}", 1024, 0}},
    {"interim heads",
     "check",
     {"", "HTTP/1.1 103 Early Hints\r\nH: {x}\r\n\r\n", 200, 0}},
    {"status line", "check", {"HTTP/1.1 200 ", "{x}", 1024, 0}},
    {"no response", "check", {"", "{x}\r\n", 1000, 0}},
    {"action's body", "action", {PLAIN "\r\n", "{x}", 16384, 0}},
    {"error body",
     "check",
     {"HTTP/1.1 500 Internal Server Error\r\n" SEALED "\r\n", "{x}", 16384,
      0}},
    {"one event", "stream", {EVENTS "\r\nid: 0\ndata: ", "{x}", 16384, 0}},
    {"lines without an event", "stream", {EVENTS "\r\n", ": {x}\n", 900, 0}},
    {"event, then single bytes",
     "stream",
     {EVENTS "\r\nid: 0\ndata: e0\n\n", "x", 0, 200}},
    {"response to piece requests", "staged", {PLAIN "\r\n", "{x}", 16384, 0}},
    {"stream's chunks",
     "stream",
     {EVENTS CHUNKED, "4000\r\n{x}\r\n", 16384, 0}},
};

/* Runs one case while one or both servers of the service send endless
 * responses. */
static void
run_case(struct platform_rig *r, struct endless_server *endless,
         const struct endless_case *test, int endless_servers)
{
    bool pieces_case = strcmp(test->host, "staged") == 0;
    bool stream = pieces_case || strcmp(test->host, "stream") == 0;
    const char *host = pieces_case ? "stream" : test->host;
    const char *headers = PR_KEY DEADLINE;
    if (stream) {
        headers =
            pieces_case ? PR_KEY PIECES DEADLINE : PR_KEY NO_PIECES DEADLINE;
    }
    int first = pieces_case ? 4 : stream ? 2 : 0;
    endless_server_set_response(endless, &test->response);
    /* Remove the servers first, so that nodes discard their state of them. */
    for (int i = 0; i < 2; i++) {
        platform_rig_set_server_state(r, first + i, NULL);
    }
    g_usleep(500000);
    for (int i = 0; i < 2; i++) {
        if (i < endless_servers) {
            platform_rig_register_server_at(r, first + i, "ready",
                                            endless_server_port(endless));
        }
        else {
            platform_rig_set_server_state(r, first + i, "ready");
        }
    }
    g_usleep(500000);
    struct background_load b = {
        .r = r,
        .host = stream ? "check" : "stream",
        .headers = stream ? PR_KEY : PR_KEY "Camphorfall-Pieces: 0,0\r\n"};
    long before = peak_kb(r->nodes[0].pid);
    int64_t cpu_before_us = proc_cpu_us(r->nodes[0].pid);
    GThread *t = g_thread_new("beside", run_background_load, &b);
    for (int i = 0; i < REQUESTS; i++) {
        struct buf out = {0};
        int status = platform_rig_send_request(r, 0, host, headers, &out);
        const char *text = out.ptr ? out.ptr : "";
        /* A response with status 200 must come from the working server. */
        if (status == 200 && !strstr(text, "answer of") &&
            !strstr(text, "data: e5")) {
            g_error("%s: not the response of the server: %.80s", test->name,
                    text);
        }
        if (endless_servers < 2 && strcmp(test->host, "action") != 0) {
            g_assert_cmpint(status, ==, 200);
        }
        buf_free(&out);
    }
    b.stop = true;
    g_thread_join(t);
    long growth_kb = peak_kb(r->nodes[0].pid) - before;
    int64_t cpu_us = proc_cpu_us(r->nodes[0].pid) - cpu_before_us;
    g_test_message("%s, %d endless: peak grew by %ld kB, maximum latency of "
                   "others %ld us in %d requests, %ld ms of processor time",
                   test->name, endless_servers, growth_kb,
                   (long)b.max_latency_us, b.request_count,
                   (long)(cpu_us / 1000));
    g_assert_cmpint(b.failed, ==, 0);
    if (is_release_build()) {
        g_assert_cmpint(growth_kb, <, GROWTH_MAX_KB);
        g_assert_cmpint(b.max_latency_us, <,
                        LATENCY_MAX_US + (stream ? 0 : STREAM_US));
        g_assert_cmpint(cpu_us, <,
                        REQUESTS * ATTEMPTS * CONNECTION_CPU_MAX_US +
                            b.request_count * REQUEST_CPU_MAX_US);
    }
    for (int i = 0; i < 2; i++) {
        platform_rig_set_server_state(r, first + i, NULL);
        platform_rig_set_server_state(r, first + i, "ready");
    }
    g_usleep(400000);
    g_assert_cmpint(kill(r->nodes[0].pid, 0), ==, 0);
}

static void
test_endless(void)
{
    struct platform_rig r;
    platform_rig_open_without_nodes(&r);
    for (int i = 0; i < PR_SERVERS; i++) {
        platform_rig_set_server_state(&r, i, "ready");
    }
    /* Each case needs some retries. */
    r.repeat_slack = 1000;
    platform_rig_start_nodes(&r);
    struct endless_server *endless = endless_server_new();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        for (int n = 1; n <= 2; n++) {
            run_case(&r, endless, &rows[i], n);
        }
    }
    g_assert_cmpint(platform_rig_count_violations(&r), ==, 0);
    endless_server_free(endless);
    platform_rig_close(&r);
}

#ifdef __SANITIZE_THREAD__
/* The thread sanitizer allows fewer threads; it does not check memory. */
#define MANY_CALLERS 100
#else
#define MANY_CALLERS 600
#endif
/* Half of the memory of the smallest node. */
#define MANY_GROWTH_MAX_KB (130 * 1024)

struct endless_caller {
    struct platform_rig *r;
    const char *host;
    const char *headers;
};

static gpointer
call_endless(gpointer p)
{
    const struct endless_caller *c = p;
    struct buf out = {0};
    int status = platform_rig_send_request(c->r, 0, c->host, c->headers, &out);
    buf_free(&out);
    return GINT_TO_POINTER(status);
}

/* Guards against a node that runs out of memory when all servers of a service
 * answer hundreds of callers without end, each by less than the limit of one
 * answer. */
static void
test_many_endless(void)
{
    static const struct {
        const char *host;
        const char *headers;
        struct endless_response response;
    } cases[] = {
        {"check", PR_KEY DEADLINE, {PLAIN "\r\n", "{x}", 16384, 0}},
        {"check", PR_KEY DEADLINE, {PLAIN "\r\n", "{x}", 4096, 20}},
        {"check", PR_KEY DEADLINE, {PLAIN, "H{n}: {x}\r\n", 900, 5}},
        {"stream",
         PR_KEY NO_PIECES DEADLINE,
         {EVENTS "\r\nid: 0\ndata: ", "{x}", 4096, 20}},
    };
    struct platform_rig r;
    platform_rig_open(&r);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct endless_caller c = {&r, cases[i].host, cases[i].headers};
        GThread *threads[MANY_CALLERS];
        int answered = 0;
        struct endless_server *endless = endless_server_new();
        endless_server_set_response(endless, &cases[i].response);
        for (int k = 0; k < 4; k++) {
            platform_rig_register_server_at(&r, k, "ready",
                                            endless_server_port(endless));
        }
        g_usleep(500000);
        long before = peak_kb(r.nodes[0].pid);
        for (int k = 0; k < MANY_CALLERS; k++) {
            threads[k] = g_thread_new("caller", call_endless, &c);
        }
        for (int k = 0; k < MANY_CALLERS; k++) {
            answered += GPOINTER_TO_INT(g_thread_join(threads[k])) == 200;
        }
        long growth_kb = peak_kb(r.nodes[0].pid) - before;
        g_test_message("%s, %zu: %d answered, peak grew by %ld kB", c.host, i,
                       answered, growth_kb);
        g_assert_cmpint(answered, ==, 0);
        if (is_release_build()) {
            g_assert_cmpint(growth_kb, <, MANY_GROWTH_MAX_KB);
        }
        platform_rig_wait_readiness(&r, 0, 200);
        endless_server_free(endless);
    }
    g_assert_cmpint(platform_rig_count_ended_nodes(&r), ==, 0);
    platform_rig_close(&r);
}

/* Checks that no event is missing. @return the number after the last one */
static int64_t
check_events(const char *text, int64_t next)
{
    const char *at = strstr(text, "id: ");
    while (at && strstr(at, "\n\n")) {
        g_assert_cmpint(g_ascii_strtoll(at + 4, NULL, 10), ==, next);
        next++;
        at = strstr(at + 4, "id: ");
    }
    return next;
}

/* A caller that reads more slowly than the endpoint sends. Guards against a
 * node that buffers all data that the caller has not read, and against missing
 * events after reading was paused. */
static void
test_slow_caller(void)
{
    static const struct endless_response answer = {
        EVENTS "\r\n", "id: {n}\ndata: {x}\n\n", 1000, 0};
    struct platform_rig r;
    struct buf in = {0};
    platform_rig_open(&r);
    struct endless_server *endless = endless_server_new();
    endless_server_set_response(endless, &answer);
    for (int i = 2; i < 4; i++) {
        platform_rig_register_server_at(&r, i, "ready",
                                        endless_server_port(endless));
    }
    g_usleep(500000);
    long before = peak_kb(r.nodes[0].pid);
    int fd = client_connect(r.nodes[0].port);
    client_send(fd, STR_LIT("POST /x/y?z=1 HTTP/1.1\r\nHost: stream\r\n"
                            "Camphorfall-Request-Id: 0123456789abcdef\r\n"
                            "Content-Length: 0\r\n" PR_KEY NO_PIECES
                            "Camphorfall-Deadline-Ms: 4000\r\n\r\n"));
    for (int i = 0; i < 100; i++) {
        char some[16384];
        ssize_t n = recv(fd, some, sizeof(some), 0);
        if (n > 0) {
            buf_append(&in, some, (size_t)n);
        }
        g_usleep(20000);
    }
    long growth_kb = peak_kb(r.nodes[0].pid) - before;
    /* The text has chunk sizes between events; each event has one data line.
     */
    buf_append(&in, "", 1);
    int64_t events = check_events(in.ptr, 0);
    g_test_message("peak grew by %ld kB, %ld events received", growth_kb,
                   (long)events);
    g_assert_cmpint(events, >, 500);
    if (is_release_build()) {
        g_assert_cmpint(growth_kb, <, GROWTH_MAX_KB);
    }
    close(fd);
    endless_server_free(endless);
    buf_free(&in);
    platform_rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/gateway/endless", test_endless);
    g_test_add_func("/gateway/many-endless", test_many_endless);
    g_test_add_func("/gateway/slow-caller", test_slow_caller);
    return g_test_run();
}
