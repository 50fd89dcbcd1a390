/* Guards against callers that occupy resources because they are slow, send too
 * much or have disconnected, against ambiguous requests that are accepted, and
 * against streams that never end. */
#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clean.h"
#include "edge/http_in.h"
#include "tests/peer.h"
#include "tests/tls_pair.h"

#define TIMEOUT_US 20000000

struct rig {
    struct loop *loop;
    struct http_in *in;
    struct buf log; /* requests received and callers disconnected */
    uint64_t last;  /* id of the last request on /hold */
    int64_t clock_offset_us;
};

static void
on_request(void *ctx, const struct http_in_request *r)
{
    struct rig *g = ctx;
    buf_printf(&g->log, "%.*s %.*s key=%.*s token=%.*s body=%zu;",
               STR_FMT(r->method), STR_FMT(r->path), STR_FMT(r->key),
               STR_FMT(r->token), r->body.len);
    g_assert_cmpint(r->request_id.len, ==, 32);
    g_assert_true(r->loopback);
    g->last = r->id;
    if (str_eq_cstr(r->path, "/echo")) {
        http_in_send_response(g->in, r->id, 200, "text/plain", r->body);
    }
}

static void
on_gone(void *ctx, uint64_t id)
{
    struct rig *g = ctx;
    g_assert_cmpint(id, ==, g->last);
    buf_printf(&g->log, "gone;");
}

static void
rig_open_with(struct rig *g, int per_caller, bool tls, bool raw)
{
    *g = (struct rig){.loop = loop_new()};
    struct http_in_options opts = {
        .address = STR_LIT("127.0.0.1"),
        .tls_cert = str_from_cstr(tls ? TLS_CERT : ""),
        .tls_key = str_from_cstr(tls ? TLS_KEY : ""),
        .max_connections = 64,
        .max_connections_per_caller = per_caller,
        .receive_timeout_ms = 10000,
        .max_header_bytes = 2048,
        .raw = raw,
        .thread = 3,
        .ctx = g,
        .request = on_request,
        .gone = on_gone,
    };
    g_assert_cmpint(http_in_new(g->loop, &opts, &g->in), ==, ST_OK);
    http_in_set_max_body(g->in, 1000);
    buf_printf(&g->log, "%s", "");
}

static void
rig_open_tls(struct rig *g, int per_caller, bool tls)
{
    rig_open_with(g, per_caller, tls, false);
}

static void
rig_open_raw(struct rig *g)
{
    rig_open_with(g, 0, false, true);
}

static void
rig_open(struct rig *g, int per_caller)
{
    rig_open_tls(g, per_caller, false);
}

static void
rig_close(struct rig *g)
{
    http_in_free(g->in);
    loop_free(g->loop);
    buf_free(&g->log);
}

static void
pump(struct rig *g)
{
    int64_t now = loop_now_us();
    int64_t wakeup_us = http_in_next_wakeup_us(g->in, now);
    loop_run_once(g->loop, wakeup_us < now + 2000 ? wakeup_us : now + 2000);
    http_in_process_events(g->in, loop_now_us() + g->clock_offset_us);
}

/* Runs the server while the client has neither read @p expected nor reached
 * the end of the connection. NULL: runs to the end of the connection. */
static void
read_until_text(struct rig *g, int fd, struct buf *in, const char *expected)
{
    int64_t end = loop_now_us() + TIMEOUT_US;
    while (client_read(fd, in)) {
        if (expected && in->ptr && strstr(in->ptr, expected)) {
            return;
        }
        g_assert_cmpint(loop_now_us(), <, end);
        pump(g);
    }
    if (expected && !(in->ptr && strstr(in->ptr, expected))) {
        g_error("no \"%s\" in \"%s\"", expected, in->ptr ? in->ptr : "");
    }
}

static void
run_until_logged(struct rig *g, const char *expected)
{
    int64_t end = loop_now_us() + TIMEOUT_US;
    while (!strstr(g->log.ptr, expected)) {
        g_assert_cmpint(loop_now_us(), <, end);
        pump(g);
    }
}

#define POST(path) "POST " path " HTTP/1.1\r\nHost: x\r\n"

static void
test_requests(void)
{
    static char big[4000];
    memset(big, 'a', sizeof(big) - 1);
    CLEANUP_FREE char *large_header =
        g_strdup_printf("GET /echo HTTP/1.1\r\nHost: x\r\nX: %s\r\n\r\n", big);
    CLEANUP_FREE char *chunked = g_strdup_printf(
        POST("/echo") "Transfer-Encoding: chunked\r\n\r\nf9f\r\n%s\r\n0\r\n"
                      "\r\n",
        big);
    CLEANUP_FREE char *long_body =
        g_strdup_printf(POST("/echo") "Content-Length: 3999\r\n\r\n%s", big);
    const struct {
        const char *in, *out, *log;
    } rows[] = {
        {"GET /echo HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200",
         "GET /echo key= token= body=0;"},
        {POST("/echo") "Content-Length: 2\r\nauthorization: bearer t1\r\n"
                       "IDEMPOTENCY-KEY: k1\r\n\r\nhi",
         "\r\n\r\nhi", "POST /echo key=k1 token=t1 body=2;"},
        {POST("/echo") "Transfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n"
                       "0\r\n\r\n",
         "\r\n\r\nhi", "POST /echo key= token= body=2;"},
        {POST("/echo") "Authorization: Basic eDp5\r\nContent-Length: 0\r\n"
                       "\r\n",
         "HTTP/1.1 200", "POST /echo key= token= body=0;"},
        {long_body, "\"kind\":\"too_large\"", ""},
        {chunked, "\"kind\":\"too_large\"", ""},
        {POST("/echo") "Content-Length: 99999999\r\n"
                       "Expect: 100-continue\r\n\r\n",
         "HTTP/1.1 413", ""},
        {large_header, "\"kind\":\"too_large\"", ""},
        {POST("/echo") "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"
                       "\r\n0\r\n\r\n",
         "HTTP/1.1 400", ""},
        {POST("/echo") "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"
                       "Content-Length: 0\r\n\r\n",
         "\"kind\":\"bad_request\"", ""},
        {POST("/echo") "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n"
                       "Content-Length: 0\r\n\r\n",
         "\"kind\":\"bad_request\"", ""},
        /* libmicrohttpd closes the connection without a response. */
        {"nonsense\r\n\r\n", NULL, ""},
    };
    struct rig g;
    rig_open(&g, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        CLEANUP(buf_free) struct buf in = {0};
        int fd = client_connect(http_in_port(g.in));
        buf_clear(&g.log);
        client_send(fd, str_from_cstr(rows[i].in));
        g_test_message("row %zu", i);
        read_until_text(&g, fd, &in, rows[i].out);
        g_assert_cmpstr(g.log.ptr, ==, rows[i].log);
        close(fd);
    }
    rig_close(&g);
}

/* Guards against slow senders: bytes that arrive one after another must not
 * extend the time limit of a request. */
static void
test_slow_sender(void)
{
    static const char *const prefixes[] = {
        "", "GET /ec", POST("/echo") "Content-Length: 5\r\n\r\nab"};
    struct rig g;
    rig_open(&g, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(prefixes); i++) {
        CLEANUP(buf_free) struct buf in = {0};
        int fd = client_connect(http_in_port(g.in));
        client_send(fd, str_from_cstr(prefixes[i]));
        for (int k = 0; k < 5; k++) {
            pump(&g);
        }
        g.clock_offset_us = 10500000;
        read_until_text(&g, fd, &in, NULL);
        g.clock_offset_us = 0;
        g_assert_nonnull(strstr(in.ptr, "\"kind\":\"slow_sender\""));
        g_assert_cmpstr(g.log.ptr, ==, "");
        close(fd);
    }
    rig_close(&g);
}

/* Guards against a memory leak: a response that the caller does not read must
 * be freed after a time-out. */
/* Guards against bodies that are still being sent when the server stops: their
 * callers must get an answer, and not lose it because unread bytes reset the
 * connection. */
static void
test_refuse_receiving(void)
{
    CLEANUP(buf_free) struct buf in = {0};
    struct rig g;
    rig_open(&g, 0);
    int fd = client_connect(http_in_port(g.in));
    client_send(fd, STR_LIT(POST("/echo") "Content-Length: 9\r\n\r\nbody"));
    while (http_in_receiving_requests(g.in) == 0) {
        pump(&g);
    }
    http_in_refuse_receiving(g.in, 5000000);
    for (int k = 0; k < 5; k++) {
        pump(&g);
    }
    g_assert_true(client_read(fd, &in));
    g_assert_cmpint(in.len, ==, 0);
    g.clock_offset_us = 6000000;
    pump(&g);
    http_in_refuse_receiving(g.in, 5000000);
    client_send(fd, STR_LIT("rest!"));
    read_until_text(&g, fd, &in, NULL);
    g_assert_nonnull(strstr(in.ptr, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(in.ptr, "\"ran\":\"not_run\""));
    g_assert_nonnull(strstr(in.ptr, "Connection: close"));
    g_assert_null(strstr(strstr(in.ptr, "HTTP/1.1") + 1, "HTTP/1.1"));
    g_assert_cmpstr(g.log.ptr, ==, "");
    int64_t end = loop_now_us() + TIMEOUT_US;
    while (http_in_open_requests(g.in) > 0) {
        g_assert_cmpint(loop_now_us(), <, end);
        pump(&g);
    }
    close(fd);
    rig_close(&g);
}

/* Guards against requests on kept connections that the server reads and does
 * not answer, as it closes the connection at that moment. */
static void
test_close_idle(void)
{
    static const char request[] = "GET /echo HTTP/1.1\r\nHost: x\r\n\r\n";
    enum { BY_TIME, BY_STOP, HALF_A_HEAD, CASES };
    for (int i = 0; i < CASES; i++) {
        CLEANUP(buf_free) struct buf in = {0};
        struct rig g;
        rig_open_raw(&g);
        int fd = client_connect(http_in_port(g.in));
        client_send(fd, str_from_cstr(request));
        read_until_text(&g, fd, &in, "HTTP/1.1 200");
        buf_clear(&in);
        buf_clear(&g.log);
        if (i == HALF_A_HEAD) {
            client_send(fd, str_from_bytes(request, 25));
            for (int k = 0; k < 5; k++) {
                pump(&g);
            }
            http_in_close_idle(g.in);
            client_send(fd, str_from_cstr(request + 25));
        }
        else {
            client_send(fd, str_from_cstr(request));
        }
        if (i == BY_TIME) {
            g.clock_offset_us = 61000000;
        }
        else {
            http_in_close_idle(g.in);
        }
        http_in_process_events(g.in, loop_now_us() + g.clock_offset_us);
        read_until_text(&g, fd, &in, "HTTP/1.1 200");
        /* Without a request it is closed. */
        if (i == BY_TIME) {
            g.clock_offset_us = 122000000;
        }
        else {
            http_in_close_idle(g.in);
        }
        read_until_text(&g, fd, &in, NULL);
        close(fd);
        rig_close(&g);
    }
}

static void
test_slow_reader(void)
{
    CLEANUP_FREE char *large = g_strnfill(8 << 20, 'a');
    struct rig g;
    rig_open(&g, 0);
    int fd = client_connect(http_in_port(g.in));
    client_send(fd, STR_LIT("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n"));
    run_until_logged(&g, "/hold");
    http_in_send_response(g.in, g.last, 200, "text/plain",
                          str_from_cstr(large));
    for (int k = 0; k < 5; k++) {
        pump(&g);
    }
    g_assert_cmpint(http_in_open_requests(g.in), ==, 1);
    g.clock_offset_us = 61000000;
    int64_t end = loop_now_us() + TIMEOUT_US;
    while (http_in_open_requests(g.in) > 0) {
        g_assert_cmpint(loop_now_us(), <, end);
        pump(&g);
    }
    close(fd);
    rig_close(&g);
}

static void
test_gone(void)
{
    struct rig g;
    rig_open(&g, 0);
    for (int half = 0; half < 2; half++) {
        int fd = client_connect(http_in_port(g.in));
        buf_clear(&g.log);
        client_send(fd, STR_LIT("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n"));
        run_until_logged(&g, "/hold");
        if (half) {
            shutdown(fd, SHUT_WR);
        }
        else {
            close(fd);
        }
        run_until_logged(&g, "gone;");
        http_in_send_response(g.in, g.last, 200, "text/plain",
                              STR_LIT("late"));
        while (http_in_open_requests(g.in) > 0) {
            pump(&g);
        }
        if (half) {
            CLEANUP(buf_free) struct buf in = {0};
            read_until_text(&g, fd, &in, NULL);
            g_assert_cmpint(in.len, ==, 0);
            close(fd);
        }
    }
    rig_close(&g);
}

static void
test_later_and_pipelined(void)
{
    CLEANUP(buf_free) struct buf in = {0};
    struct rig g;
    rig_open(&g, 0);
    int fd = client_connect(http_in_port(g.in));
    client_send(fd, STR_LIT("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n"
                            "GET /hold HTTP/1.1\r\nHost: x\r\n\r\n"));
    run_until_logged(&g, "/hold");
    uint64_t first = g.last;
    http_in_send_response(g.in, first, 200, "text/plain", STR_LIT("one"));
    read_until_text(&g, fd, &in, "one");
    run_until_logged(&g, ";GET /hold");
    /* A response to the id of a completed request must not be sent to the
     * next request of the connection. */
    http_in_send_response(g.in, first, 200, "text/plain", STR_LIT("twice"));
    http_in_send_error(g.in, g.last, ERRKIND_OVERLOADED, STR_LIT("busy"),
                       1500);
    read_until_text(&g, fd, &in, "\"message\":\"busy\"");
    g_assert_nonnull(strstr(in.ptr, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(in.ptr, "Retry-After: 2"));
    g_assert_null(strstr(in.ptr, "twice"));
    close(fd);
    rig_close(&g);
}

static void
test_stream(void)
{
    static const char *const endings[] = {"done", "error", "cut"};
    struct rig g;
    rig_open(&g, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(endings); i++) {
        CLEANUP(buf_free) struct buf in = {0};
        int fd = client_connect(http_in_port(g.in));
        buf_clear(&g.log);
        client_send(fd, STR_LIT("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n"));
        run_until_logged(&g, "/hold");
        http_in_send_event(g.in, g.last, "token", STR_LIT("1"));
        read_until_text(&g, fd, &in, "event: token\ndata: 1\n\n");
        http_in_send_event(g.in, g.last, "token", STR_LIT("2"));
        read_until_text(&g, fd, &in, "event: token\ndata: 2\n\n");
        if (i == 0) {
            http_in_send_event(g.in, g.last, "done", STR_LIT("{}"));
            http_in_end_stream(g.in, g.last);
            read_until_text(&g, fd, &in, "event: done\ndata: {}\n\n\r\n0\r\n");
        }
        else if (i == 1) {
            http_in_send_error(g.in, g.last, ERRKIND_UPSTREAM_FAILED,
                               STR_LIT(""), 0);
            read_until_text(&g, fd, &in, "event: error\ndata: {\"error\"");
            read_until_text(&g, fd, &in, "\r\n0\r\n");
        }
        else {
            close(fd);
            run_until_logged(&g, "gone;");
            http_in_send_event(g.in, g.last, "token", STR_LIT("3"));
            continue;
        }
        close(fd);
    }
    rig_close(&g);
}

static void
test_connections_per_caller(void)
{
    struct rig g;
    int fds[3];
    rig_open(&g, 2);
    for (int i = 0; i < 3; i++) {
        fds[i] = client_connect(http_in_port(g.in));
        client_send(fds[i], STR_LIT("GET /echo HTTP/1.1\r\nHost: x\r\n\r\n"));
    }
    for (int i = 0; i < 3; i++) {
        CLEANUP(buf_free) struct buf in = {0};
        read_until_text(&g, fds[i], &in, i < 2 ? "HTTP/1.1 200" : NULL);
        g_assert_cmpint(in.len > 0, ==, i < 2);
    }
    for (int i = 0; i < 3; i++) {
        close(fds[i]);
    }
    rig_close(&g);
}

/* Guards against leaks and hangs when the server is freed while a request is
 * open. */
static void
test_free_while_open(void)
{
    struct rig g;
    rig_open(&g, 0);
    int fd = client_connect(http_in_port(g.in));
    client_send(fd, STR_LIT("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n"));
    run_until_logged(&g, "/hold");
    rig_close(&g);
    close(fd);
}

struct tls_client {
    int port;
    CURLcode rc;
    struct buf in;
    _Atomic bool done;
};

static size_t
tls_body(char *p, size_t size, size_t n, void *ctx)
{
    buf_append(ctx, p, size * n);
    return size * n;
}

static void *
tls_run(void *arg)
{
    struct tls_client *c = arg;
    char url[64];
    struct curl_blob ca = {TLS_CERT, strlen(TLS_CERT), CURL_BLOB_COPY};
    CURL *e = curl_easy_init();
    snprintf(url, sizeof(url), "https://127.0.0.1:%d/hold", c->port);
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_CAINFO_BLOB, &ca);
    curl_easy_setopt(e, CURLOPT_POSTFIELDS, "hi");
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, tls_body);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, &c->in);
    c->rc = curl_easy_perform(e);
    curl_easy_cleanup(e);
    c->done = true;
    return NULL;
}

/* Guards against TLS streams that are lost after a pause. */
static void
test_tls(void)
{
    struct rig g;
    pthread_t t;
    rig_open_tls(&g, 0, true);
    struct tls_client c = {.port = http_in_port(g.in)};
    pthread_create(&t, NULL, tls_run, &c);
    run_until_logged(&g, "body=2");
    http_in_send_event(g.in, g.last, "token", STR_LIT("1"));
    for (int k = 0; k < 5; k++) {
        pump(&g);
    }
    http_in_send_event(g.in, g.last, "done", STR_LIT("{}"));
    http_in_end_stream(g.in, g.last);
    int64_t end = loop_now_us() + TIMEOUT_US;
    while (!c.done) {
        g_assert_cmpint(loop_now_us(), <, end);
        pump(&g);
    }
    pthread_join(t, NULL);
    g_assert_cmpint(c.rc, ==, CURLE_OK);
    g_assert_cmpstr(c.in.ptr, ==,
                    "event: token\ndata: 1\n\nevent: done\ndata: {}\n\n");
    buf_free(&c.in);
    rig_close(&g);
}

#define LARGE_HEAD_BYTES 16384
#define LARGE_BODY_BYTES 65536
/* Bytes of a body that are read at least at a time, and turns of the loop
 * besides. */
#define MIN_READ_BYTES 2048
#define OTHER_TURNS 8

/* A head at its limit must leave room to read the body: in steps of some 100
 * bytes, a body of 4 MB took 0.7 s of processor time. */
static void
test_large_head(void)
{
    struct rig g = {.loop = loop_new()};
    CLEANUP(buf_free) struct buf out = {0};
    CLEANUP(buf_free) struct buf in = {0};
    int turns = 0;
    const struct http_in_options opts = {.address = STR_LIT("127.0.0.1"),
                                         .max_connections = 4,
                                         .receive_timeout_ms = 10000,
                                         .max_header_bytes = LARGE_HEAD_BYTES,
                                         .raw = true,
                                         .ctx = &g,
                                         .request = on_request,
                                         .gone = on_gone};
    g_assert_cmpint(http_in_new(g.loop, &opts, &g.in), ==, ST_OK);
    char *head = g_strnfill(LARGE_HEAD_BYTES - 200, 'x');
    char *body = g_strnfill(LARGE_BODY_BYTES, 'x');
    buf_printf(&g.log, "%s", "");
    buf_printf(&out, POST("/echo") "X-Long: %s\r\nContent-Length: %d\r\n\r\n",
               head, LARGE_BODY_BYTES);
    buf_append(&out, body, LARGE_BODY_BYTES);
    int fd = client_connect(http_in_port(g.in));
    client_send(fd, buf_str(&out));
    while (!strstr(g.log.ptr, "body=65536;")) {
        pump(&g);
        turns++;
        g_assert_cmpint(turns, <=,
                        (int)out.len / MIN_READ_BYTES + OTHER_TURNS);
    }
    g_test_message("%d turns", turns);
    read_until_text(&g, fd, &in, "xxxx");
    close(fd);
    g_free(head);
    g_free(body);
    rig_close(&g);
}

#define BODY_SHARE_BYTES 65536
/* Longer than the receipt of the ordinary bodies below, on the rig's clock. */
#define STALL_US 400000

static int
connect_and_send(struct rig *g, const char *path, int announced, int sent)
{
    CLEANUP(buf_free) struct buf out = {0};
    char *body = g_strnfill((gsize)sent, 'x');
    buf_printf(&out,
               "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s",
               path, announced, body);
    int fd = client_connect(http_in_port(g->in));
    client_send(fd, buf_str(&out));
    g_free(body);
    return fd;
}

static void
wait_body_bytes(struct rig *g, const char *expected)
{
    int64_t end = loop_now_us() + TIMEOUT_US;
    for (;;) {
        CLEANUP(buf_free) struct buf text = {0};
        http_in_append_metrics(g->in, &text);
        if (strstr(text.ptr, expected)) {
            return;
        }
        g_assert_cmpint(loop_now_us(), <, end);
        pump(g);
    }
}

/* When the share of bodies is exhausted, the body that made least progress is
 * dropped, also if a single byte of it arrives now and then, and its caller
 * gets a refusal. Guards against ordinary bodies that are refused instead. */
static void
test_body_share(void)
{
    struct rig g = {.loop = loop_new()};
    CLEANUP(buf_free) struct buf in = {0};
    CLEANUP(buf_free) struct buf refused = {0};
    const struct http_in_options opts = {
        .address = STR_LIT("127.0.0.1"),
        .max_connections = 8,
        .receive_timeout_ms = 10000,
        .max_header_bytes = 2048,
        .budget = {.body_bytes = BODY_SHARE_BYTES},
        .raw = true,
        .ctx = &g,
        .request = on_request,
        .gone = on_gone};
    g_assert_cmpint(http_in_new(g.loop, &opts, &g.in), ==, ST_OK);
    http_in_set_max_body(g.in, 1 << 20);
    buf_printf(&g.log, "%s", "");
    int stalled = connect_and_send(&g, "/stalled", 40000, 32000);
    wait_body_bytes(&g, "cf_http_in_body_bytes{thread=\"0\"} 32768\n");
    int ordinary = connect_and_send(&g, "/echo", 30000, 20000);
    g.clock_offset_us = STALL_US;
    wait_body_bytes(&g, "cf_http_in_body_bytes{thread=\"0\"} 65536\n");
    client_send(stalled, STR_LIT("x"));
    for (int i = 0; i < 10; i++) {
        pump(&g);
    }
    int large = connect_and_send(&g, "/echo", 20000, 20000);
    read_until_text(&g, large, &in, "xxxx");
    read_until_text(&g, stalled, &refused, "HTTP/1.1 503");
    g_assert_nonnull(strstr(refused.ptr, "Retry-After"));
    char *rest = g_strnfill(10000, 'x');
    client_send(ordinary, str_from_cstr(rest));
    buf_clear(&in);
    read_until_text(&g, ordinary, &in, "HTTP/1.1 200");
    g_assert_null(strstr(g.log.ptr, "/stalled"));
    close(stalled);
    close(ordinary);
    close(large);
    g_free(rest);
    rig_close(&g);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/http-in/requests", test_requests);
    g_test_add_func("/http-in/slow-sender", test_slow_sender);
    g_test_add_func("/http-in/refuse-receiving", test_refuse_receiving);
    g_test_add_func("/http-in/close-idle", test_close_idle);
    g_test_add_func("/http-in/slow-reader", test_slow_reader);
    g_test_add_func("/http-in/gone", test_gone);
    g_test_add_func("/http-in/later-and-pipelined", test_later_and_pipelined);
    g_test_add_func("/http-in/stream", test_stream);
    g_test_add_func("/http-in/connections-per-caller",
                    test_connections_per_caller);
    g_test_add_func("/http-in/free-while-open", test_free_while_open);
    g_test_add_func("/http-in/large-head", test_large_head);
    g_test_add_func("/http-in/body-share", test_body_share);
    g_test_add_func("/http-in/tls", test_tls);
    return g_test_run();
}
