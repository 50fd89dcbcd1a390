/* Guards against servers whose answers never end: a node that grows until it
 * is killed, that keeps other callers waiting, or that gives a caller
 * something that is not its whole answer. */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/peer.h"
#include "tests/platform/endless.h"
#include "tests/platform/rig_platform.h"
#include "tests/proc.h"

/* A node has 260 MB and more, and calls several servers. */
#define GROWTH_MAX_KB (16 * 1024)
/* Longest wait of callers of other services beside it, and the time that a
 * stream of the stand-in takes by itself. */
#define WAIT_MAX_US 50000
#define STREAM_US 30000

#define SEALED                                                                \
    "Camphorfall-Request-Id: {id}\r\nCamphorfall-Response-Seal: x.{id}\r\n"
#define PLAIN "HTTP/1.1 200 OK\r\n" SEALED
#define EVENTS PLAIN "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

#define DEADLINE "Camphorfall-Deadline-Ms: 3000\r\n"
#define PIECES "Camphorfall-Pieces: 1,2\r\nCamphorfall-Piece-Key: k\r\n"
#define NO_PIECES "Camphorfall-Pieces: 0,0\r\n"

/* Sanitizers keep freed memory and slow everything down. */
static bool
measured(void)
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

struct beside {
    struct platform_rig *r;
    const char *host;
    const char *headers;
    _Atomic bool stop;
    gint64 longest_us;
    int failed;
    int asked;
};

static gpointer
ask_beside(gpointer p)
{
    struct beside *b = p;
    while (!b->stop) {
        struct buf out = {0};
        gint64 begin = g_get_monotonic_time();
        int status = platform_rig_ask(b->r, 0, b->host, b->headers, &out);
        gint64 took = g_get_monotonic_time() - begin;
        b->longest_us = MAX(b->longest_us, took);
        b->failed += status != 200;
        b->asked++;
        buf_free(&out);
        g_usleep(2000);
    }
    return NULL;
}

struct row {
    const char *name;
    const char *host; /* of the request */
    struct endless_answer answer;
};

static const struct row rows[] = {
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
    {"no answer", "check", {"", "{x}\r\n", 1000, 0}},
    {"action's body", "action", {PLAIN "\r\n", "{x}", 16384, 0}},
    {"error body",
     "check",
     {"HTTP/1.1 500 Internal Server Error\r\n" SEALED "\r\n", "{x}", 16384,
      0}},
    {"one event", "stream", {EVENTS "\r\nid: 0\ndata: ", "{x}", 16384, 0}},
    {"lines without an event", "stream", {EVENTS "\r\n", ": {x}\n", 900, 0}},
    {"event, then a byte now and then",
     "stream",
     {EVENTS "\r\nid: 0\ndata: e0\n\n", "x", 0, 200}},
    {"answer about stages", "staged", {PLAIN "\r\n", "{x}", 16384, 0}},
    {"stream's chunks",
     "stream",
     {EVENTS CHUNKED, "4000\r\n{x}\r\n", 16384, 0}},
};

/* Both servers of the service answer without end, or one of them does. */
static void
play(struct platform_rig *r, struct endless *bad, const struct row *row,
     int bad_servers)
{
    bool staged = strcmp(row->host, "staged") == 0;
    bool stream = staged || strcmp(row->host, "stream") == 0;
    const char *host = staged ? "stream" : row->host;
    const char *headers = PR_KEY DEADLINE;
    if (stream) {
        headers = staged ? PR_KEY PIECES DEADLINE : PR_KEY NO_PIECES DEADLINE;
    }
    int first = staged ? 4 : stream ? 2 : 0;
    endless_set(bad, &row->answer);
    /* Nodes forget what they know of servers that have left. */
    for (int i = 0; i < 2; i++) {
        platform_rig_record(r, first + i, NULL);
    }
    g_usleep(500000);
    for (int i = 0; i < 2; i++) {
        if (i < bad_servers) {
            platform_rig_record_at(r, first + i, "ready", endless_port(bad));
        }
        else {
            platform_rig_record(r, first + i, "ready");
        }
    }
    g_usleep(500000);
    struct beside b = {
        .r = r,
        .host = stream ? "check" : "stream",
        .headers = stream ? PR_KEY : PR_KEY "Camphorfall-Pieces: 0,0\r\n"};
    long before = peak_kb(r->nodes[0].pid);
    GThread *t = g_thread_new("beside", ask_beside, &b);
    for (int i = 0; i < 3; i++) {
        struct buf out = {0};
        int status = platform_rig_ask(r, 0, host, headers, &out);
        const char *text = out.ptr ? out.ptr : "";
        /* A whole answer is one of the sound server. */
        if (status == 200 && !strstr(text, "answer of") &&
            !strstr(text, "data: e5")) {
            g_error("%s: not the server's answer: %.80s", row->name, text);
        }
        if (bad_servers < 2 && strcmp(row->host, "action") != 0) {
            g_assert_cmpint(status, ==, 200);
        }
        buf_free(&out);
    }
    b.stop = true;
    g_thread_join(t);
    long grown = peak_kb(r->nodes[0].pid) - before;
    g_test_message("%s, %d bad: peak grew by %ld kB, longest wait beside it "
                   "%ld us in %d requests",
                   row->name, bad_servers, grown, (long)b.longest_us, b.asked);
    g_assert_cmpint(b.failed, ==, 0);
    if (measured()) {
        g_assert_cmpint(grown, <, GROWTH_MAX_KB);
        g_assert_cmpint(b.longest_us, <,
                        WAIT_MAX_US + (stream ? 0 : STREAM_US));
    }
    for (int i = 0; i < 2; i++) {
        platform_rig_record(r, first + i, NULL);
        platform_rig_record(r, first + i, "ready");
    }
    g_usleep(400000);
    g_assert_cmpint(kill(r->nodes[0].pid, 0), ==, 0);
}

static void
test_endless(void)
{
    struct platform_rig r;
    platform_rig_open_stopped(&r);
    for (int i = 0; i < PR_SERVERS; i++) {
        platform_rig_record(&r, i, "ready");
    }
    /* Each row needs some repeats. */
    r.repeat_slack = 1000;
    platform_rig_start_nodes(&r);
    struct endless *bad = endless_new();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        for (int n = 1; n <= 2; n++) {
            play(&r, bad, &rows[i], n);
        }
    }
    g_assert_cmpint(platform_rig_untrue(&r), ==, 0);
    endless_free(bad);
    platform_rig_close(&r);
}

/* Reads the events that have come and checks that none is missing. */
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

/* A caller that reads slower than the endpoint sends. Guards against a node
 * that holds what it does not take, and against gaps where reading stopped. */
static void
test_slow_caller(void)
{
    static const struct endless_answer answer = {
        EVENTS "\r\n", "id: {n}\ndata: {x}\n\n", 1000, 0};
    struct platform_rig r;
    struct buf in = {0};
    platform_rig_open(&r);
    struct endless *bad = endless_new();
    endless_set(bad, &answer);
    for (int i = 2; i < 4; i++) {
        platform_rig_record_at(&r, i, "ready", endless_port(bad));
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
    long grown = peak_kb(r.nodes[0].pid) - before;
    /* Chunk sizes stand between the events; each event is one line of data. */
    buf_append(&in, "", 1);
    int64_t events = check_events(in.ptr, 0);
    g_test_message("peak grew by %ld kB, %ld events taken", grown,
                   (long)events);
    g_assert_cmpint(events, >, 500);
    if (measured()) {
        g_assert_cmpint(grown, <, GROWTH_MAX_KB);
    }
    close(fd);
    endless_free(bad);
    buf_free(&in);
    platform_rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/gateway/endless", test_endless);
    g_test_add_func("/gateway/slow-caller", test_slow_caller);
    return g_test_run();
}
