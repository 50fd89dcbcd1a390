/* Guards against calls whose response is truncated or belongs to another
 * attempt, or whose request was sent twice, being reported as complete or as
 * not sent. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/clean.h"
#include "edge/http_out.h"
#include "tests/peer.h"

#define TIMEOUT_US 20000000
#define MAX_RESPONSE_BYTES 65536
#define SMALL_CHUNKS 60000

struct event_record {
    struct buf text;
    int finished;
    int bytes_events;
};

struct rig {
    struct loop *loop;
    struct http_out *out;
    struct event_record recorded;
};

static void
on_event(void *ctx, const struct flow_event *ev)
{
    static const char *const faults[] = {
#define X(id, name) name,
        CALL_FAULT_LIST(X)
#undef X
    };
    struct event_record *s = ctx;
    switch (ev->kind) {
    case FLOW_EV_CALL_BYTES:
        s->bytes_events++;
        break;
    case FLOW_EV_CALL_TOKEN:
        buf_printf(&s->text, "%d:%.*s ", ev->call_token.index,
                   STR_FMT(ev->call_token.text));
        break;
    case FLOW_EV_CALL_DONE:
        buf_printf(&s->text, "done %d %.*s", ev->call_done.http_status,
                   STR_FMT(ev->call_done.body));
        if (ev->call_done.report.start_id.len) {
            buf_printf(&s->text, " start=%.*s",
                       STR_FMT(ev->call_done.report.start_id));
        }
        if (ev->call_done.report.has_load) {
            buf_printf(&s->text, " load=%d/%d/%d",
                       ev->call_done.report.in_flight,
                       ev->call_done.report.queued, ev->call_done.report.cold);
        }
        if (ev->call_done.report.leaving) {
            buf_printf(&s->text, " leaving");
        }
        s->finished++;
        break;
    case FLOW_EV_CALL_FAILED:
        buf_printf(&s->text, "%s%s", faults[ev->call_failed.fault],
                   ev->call_failed.unsent ? " unsent" : "");
        s->finished++;
        break;
    case FLOW_EV_PROBE:
        buf_printf(&s->text, "probe %.*s %d", STR_FMT(ev->probe.endpoint),
                   ev->probe.ok);
        s->finished++;
        break;
    default:
        break;
    }
}

static void
rig_open(struct rig *r)
{
    *r = (struct rig){.loop = loop_new()};
    struct http_out_options opts = {.ctx = &r->recorded,
                                    .event = on_event,
                                    .max_response_bytes = MAX_RESPONSE_BYTES};
    r->out = http_out_new(r->loop, &opts);
}

static void
rig_close(struct rig *r)
{
    http_out_free(r->out);
    loop_free(r->loop);
    buf_free(&r->recorded.text);
}

static void
pump(struct rig *r)
{
    int64_t now = loop_now_us();
    int64_t wakeup_us = http_out_next_wakeup_us(r->out);
    loop_run_once(r->loop, wakeup_us < now + 10000 ? wakeup_us : now + 10000);
    http_out_process_events(r->out, loop_now_us());
}

static void
wait_finished(struct rig *r, int n)
{
    int64_t end = loop_now_us() + TIMEOUT_US;
    while (r->recorded.finished < n) {
        g_assert_cmpint(loop_now_us(), <, end);
        pump(r);
    }
}

static void
start(struct rig *r, int port, uint64_t attempt, bool stream,
      bool check_deadline_at_send, int64_t timeout_us)
{
    char url[64];
    snprintf(url, sizeof(url), "http://127.0.0.1:%d/x", port);
    struct flow_action a = {.kind = FLOW_ACT_CALL};
    a.call.attempt = attempt;
    a.call.request_id = STR_LIT("r1");
    a.call.stage_name = STR_LIT("s1");
    a.call.url = str_from_cstr(url);
    a.call.body = STR_LIT("{}");
    a.call.deadline_us = loop_now_us() + timeout_us;
    a.call.stream = stream;
    a.call.check_deadline_at_send = check_deadline_at_send;
    http_out_start_call(r->out, &a, STR_LIT(""));
}

#define OK "HTTP/1.1 200 OK\r\nX-Attempt: $A\r\n"
#define SSE OK "Content-Type: text/event-stream\r\n"
#define CHUNK(t) "data: {\"choices\":[{\"text\":\"" t "\"}]}\n\n"

static void
test_answers(void)
{
    static const struct {
        const char *script;
        bool stream;
        const char *expected;
    } rows[] = {
        {"accept|read|>" OK "Content-Length: 2\r\n\r\nhi", false,
         "done 200 hi"},
        {"accept|read|>" OK "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"
         "0\r\n\r\n",
         false, "done 200 hi"},
        {"accept|read|>HTTP/1.1 503 No\r\nX-Attempt: $A\r\nX-Leaving: 1\r\n"
         "Connection: close\r\nContent-Length: 0\r\nX-Start-Id: b7\r\n"
         "Endpoint-Load-Metrics: {\"in_flight\":3,\"queue\":4,"
         "\"cold\":true}\r\n\r\n|close",
         false, "done 503  start=b7 load=3/4/1 leaving"},
        {"accept|read|>" OK "Content-Length: 0\r\n"
         "Endpoint-Load-Metrics: {\"in_flight\":4294967297,\"queue\":-9}"
         "\r\n\r\n",
         false, "done 200  load=1000000/0/0"},
        {"accept|read|>HTTP/1.1 302 Go\r\nX-Attempt: $A\r\n"
         "Location: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n",
         false, "done 302 "},
        /* Truncated responses. */
        {"accept|read|>" OK "Content-Length: 9\r\n\r\nhi|close", false,
         "truncated"},
        {"accept|read|>" OK "Content-Length: 9\r\n\r\nhi|reset", false,
         "truncated"},
        {"accept|read|>" OK "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n|"
         "close",
         false, "truncated"},
        {"accept|read|>" OK "\r\nhi|close", false, "truncated"},
        {"accept|read|>" OK "Content-Length: 99999\r\n\r\n|hold", false,
         "timeout"},
        /* Responses with no or another X-Attempt. */
        {"accept|read|>HTTP/1.1 200 OK\r\nX-Attempt: 8\r\n"
         "Content-Length: 2\r\n\r\nhi|hold",
         false, "crossed"},
        {"accept|read|>HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi|hold",
         false, "crossed"},
        {"accept|read|>HTTP/1.1 200 OK\r\nX-Attempt: $A0\r\n"
         "Content-Length: 2\r\n\r\nhi|hold",
         false, "crossed"},
        {"accept|read|>HTTP/1.1 103 Hints\r\nX-Attempt: $A\r\n\r\n"
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi|hold",
         false, "crossed"},
        /* Connections that are reset or send nothing. */
        {"accept|read|close", false, "reset"},
        {"accept|read|reset", false, "reset"},
        {"accept|read|>HTTP/1.1 200 OK\r\nX-Att|close", false, "reset"},
        {"accept|read|hold", false, "timeout"},
        {"accept|read|>garbage\r\n\r\n|close", false, "reset"},
        /* Statuses that do not exist, and lines that are no status line. */
        {"accept|read|>HTTP/1.1 999 x\r\nX-Attempt: $A\r\n"
         "Content-Length: 2\r\n\r\nhi|hold",
         false, "truncated"},
        {"accept|read|>HTTP/1.1 000 OK\r\nX-Attempt: $A\r\n"
         "Content-Length: 2\r\n\r\nhi|hold",
         false, "reset"},
        {"accept|read|>HTTP/1.1 200.5 OK\r\nX-Attempt: $A\r\n"
         "Content-Length: 2\r\n\r\nhi|hold",
         false, "truncated"},
        {"accept|read|>HTTP/2 200\r\nX-Attempt: $A\r\n"
         "Content-Length: 2\r\n\r\nhi|hold",
         false, "truncated"},
        /* Streams. */
        {"accept|read|>" SSE "\r\n" CHUNK("a") CHUNK("b") "data: [DONE]\n\n|"
                                                          "close",
         true, "0:a 1:b done 200 "},
        {"accept|read|>" SSE "Content-Length: 14\r\n\r\ndata: [DONE]\n\n",
         true, "done 200 "},
        {"accept|read|>" SSE "\r\n" CHUNK("a") "|close", true,
         "0:a truncated"},
        {"accept|read|>" SSE "Content-Length: 41\r\n\r\n" CHUNK("a"), true,
         "0:a truncated"},
        {"accept|read|>" SSE "\r\n" CHUNK("a") "data: [DONE]|close", true,
         "0:a truncated"},
        {"accept|read|>" SSE "\r\n" CHUNK("a") "data: {\"x\":1}\n\n|hold",
         true, "0:a truncated"},
        {"accept|read|>" OK "Content-Length: 2\r\n\r\nhi", true, "truncated"},
        {"accept|read|>HTTP/1.1 500 No\r\nX-Attempt: $A\r\n"
         "Content-Length: 2\r\n\r\nhi",
         true, "done 500 hi"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct rig r;
        struct peer *p = peer_start(rows[i].script);
        bool times_out = strstr(rows[i].expected, "timeout") != NULL;
        rig_open(&r);
        start(&r, peer_port(p), 7, rows[i].stream, false,
              times_out ? 100000 : TIMEOUT_US);
        wait_finished(&r, 1);
        g_test_message("%s", rows[i].script);
        g_assert_cmpstr(r.recorded.text.ptr, ==, rows[i].expected);
        rig_close(&r);
        g_assert_cmpint(peer_join(p), ==, 1);
    }
}

static void
test_unsent(void)
{
    struct rig r;
    rig_open(&r);
    start(&r, peer_closed_port(), 1, false, false, TIMEOUT_US);
    wait_finished(&r, 1);
    start(&r, 1, 2, false, false, -1);
    wait_finished(&r, 2);
    struct flow_action a = {.kind = FLOW_ACT_CALL};
    a.call.attempt = 3;
    a.call.url = STR_LIT("http://localhost:1/");
    a.call.deadline_us = loop_now_us() + TIMEOUT_US;
    http_out_start_call(r.out, &a, STR_LIT(""));
    wait_finished(&r, 3);
    g_assert_cmpstr(r.recorded.text.ptr, ==,
                    "refused unsenttimeout unsentrefused unsent");
    rig_close(&r);
}

/* A request on a reused connection that is reset may have been received: it
 * must neither be reported as unsent nor be resent by libcurl. */
static void
test_reused_reset(void)
{
    struct rig r;
    struct peer *p = peer_start("accept|read|>" OK
                                "Content-Length: 2\r\n\r\nhi|read|reset");
    rig_open(&r);
    start(&r, peer_port(p), 1, false, false, TIMEOUT_US);
    wait_finished(&r, 1);
    start(&r, peer_port(p), 2, false, false, TIMEOUT_US);
    wait_finished(&r, 2);
    g_assert_cmpstr(r.recorded.text.ptr, ==, "done 200 hireset");
    rig_close(&r);
    g_assert_cmpint(peer_join(p), ==, 2);
}

/* The late response of a cancelled call must not be taken as the response of
 * the next call. */
static void
test_cancel_closes(void)
{
    struct rig r;
    struct peer *p =
        peer_start("accept|read|>" OK "Content-Length: 9\r\n\r\n|hold|"
                   "accept|read|>" OK "Content-Length: 2\r\n\r\nhi");
    rig_open(&r);
    start(&r, peer_port(p), 1, false, false, TIMEOUT_US);
    int64_t end = loop_now_us() + TIMEOUT_US;
    while (r.recorded.bytes_events == 0) {
        g_assert_cmpint(loop_now_us(), <, end);
        pump(&r);
    }
    http_out_cancel_call(r.out, 1);
    g_assert_cmpint(http_out_open_calls(r.out), ==, 0);
    start(&r, peer_port(p), 2, false, false, TIMEOUT_US);
    wait_finished(&r, 1);
    g_assert_cmpstr(r.recorded.text.ptr, ==, "done 200 hi");
    rig_close(&r);
    peer_join(p);
}

/* Guards against a response whose framing never ends, which keeps the thread
 * busy until the deadline. */
static void
test_endless_chunk_size(void)
{
    CLEANUP_FREE char *extension = g_strnfill(1 << 20, 'x');
    CLEANUP_FREE char *script =
        g_strdup_printf("accept|read|>" OK "Transfer-Encoding: chunked\r\n\r\n"
                        "2;%s|hold",
                        extension);
    struct rig r;
    struct peer *p = peer_start(script);
    rig_open(&r);
    start(&r, peer_port(p), 1, false, false, TIMEOUT_US / 10);
    wait_finished(&r, 1);
    g_assert_cmpstr(r.recorded.text.ptr, ==, "truncated");
    rig_close(&r);
    peer_join(p);
}

/* Guards against a response in the smallest chunks being taken for one. */
static void
test_small_chunks(void)
{
    struct buf script = {0};
    buf_printf(&script,
               "accept|read|>" OK "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < SMALL_CHUNKS; i++) {
        buf_printf(&script, "1\r\nx\r\n");
    }
    buf_printf(&script, "0\r\n\r\n|hold");
    struct rig r;
    struct peer *p = peer_start(script.ptr);
    rig_open(&r);
    start(&r, peer_port(p), 1, false, false, TIMEOUT_US);
    wait_finished(&r, 1);
    g_assert_cmpuint(r.recorded.text.len, ==,
                     strlen("done 200 ") + SMALL_CHUNKS);
    rig_close(&r);
    peer_join(p);
    buf_free(&script);
}

static void
test_probe(void)
{
    struct rig r;
    struct peer *p =
        peer_start("accept|read|>HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                   "\r\nok|close|accept|read|>HTTP/1.1 500 No\r\n"
                   "Content-Length: 0\r\n\r\n|close");
    char url[64];
    rig_open(&r);
    snprintf(url, sizeof(url), "http://127.0.0.1:%d/health", peer_port(p));
    http_out_start_probe(r.out, STR_LIT("e1"), str_from_cstr(url));
    wait_finished(&r, 1);
    http_out_start_probe(r.out, STR_LIT("e2"), str_from_cstr(url));
    wait_finished(&r, 2);
    g_assert_cmpstr(r.recorded.text.ptr, ==, "probe e1 1probe e2 0");
    rig_close(&r);
    peer_join(p);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/http-out/answers", test_answers);
    g_test_add_func("/http-out/unsent", test_unsent);
    g_test_add_func("/http-out/reused-reset", test_reused_reset);
    g_test_add_func("/http-out/cancel-closes", test_cancel_closes);
    g_test_add_func("/http-out/endless-chunk-size", test_endless_chunk_size);
    g_test_add_func("/http-out/small-chunks", test_small_chunks);
    g_test_add_func("/http-out/probe", test_probe);
    return g_test_run();
}
