/* Guards against callers that end a process by exhausting its memory or its
 * descriptors: large bodies that stop before their end, chunked bodies, bodies
 * over the limit, heads that never end, idle connections, pipelined requests
 * and responses that are not read. Each case starts the programs with lowered
 * limits and a small crowd. Neither times nor the share of requests served are
 * checked. The crowds and bounds are those with which the cases fail on the
 * code without shares for callers. */
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/crowd.h"
#include "tests/peer.h"
#include "tests/platform/endless.h"
#include "tests/platform/rig_platform.h"
#include "tests/rig_fleet.h"

/* Limits of the tests' settings. The platform reserves RESERVED_FILES of the
 * descriptors. */
#define MEMORY_MB 64
#define FILES 700
#define RESERVED_FILES 200
#define LIMITS "[limits]\nmemory_mb = 64\nfiles = 700\n"
/* The smallest machine. */
#define SMALLEST_MEMORY_MB 120
#define SMALLEST_FILES 3075
#define SMALLEST_LIMITS "[limits]\nmemory_mb = 120\nfiles = 3075\n"

#define GATEWAY_BODY_BYTES (4 << 20)
#define DAEMON_BODY_BYTES (1 << 20)
/* Callers stop this far before the end of their bodies. */
#define MISSING_BYTES (64 << 10)
#define HEAD_BYTES 16384
#define PIPELINED_REQUESTS 200
#define UNREAD_CALLERS 32
#define UNREAD_BYTES 3000000
#define UNREAD_INTERVAL_MS 40
#define UNREAD_WINDOW 4096

/* Sanitizers multiply the memory and the work of a case: they run a part of
 * each crowd and do not check memory. */
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
#define CROWD_SHARE 4
#else
#define CROWD_SHARE 1
#endif

#define DEADLINE "Camphorfall-Deadline-Ms: 3000\r\n"
#define GATEWAY_HEAD                                                          \
    "POST /x/y?z=1 HTTP/1.1\r\nHost: check\r\n"                               \
    "Camphorfall-Request-Id: 0123456789abcdef\r\n" PR_KEY DEADLINE
#define DAEMON_HEAD                                                           \
    "POST /v1/pipelines/embed HTTP/1.1\r\nHost: x\r\n" RIG_TEAM_HEADER        \
    "Content-Type: application/json\r\nX-Deadline-Ms: 3000\r\n"

enum content {
    CONTENT_WHOLE,  /* Content-Length, then the body */
    CONTENT_CHUNKS, /* chunks of chunk_bytes */
    CONTENT_HEAD,   /* a head without end */
    CONTENT_PIPELINE,
    CONTENT_NONE /* nothing at all */
};

struct caller_kind {
    const char *name;
    enum content content;
    int callers;
    size_t body_bytes; /* announced, or of the head; 0: the limit */
    size_t sent_bytes; /* of the body; 0: up to MISSING_BYTES before its end */
    size_t chunk_bytes;
    size_t turn_bytes;
    int trickle_turns;
    bool many_addresses;
};

static const struct caller_kind kinds[] = {
    {"bodies", CONTENT_WHOLE, 32, 0, 0, 0, 8 << 20, 0, false},
    {"bodies-in-parts", CONTENT_WHOLE, 32, 0, 0, 0, 16384, 0, false},
    {"whole-bodies", CONTENT_WHOLE, 32, 0, 4 << 20, 0, 16384, 0, false},
    {"bodies-by-single-bytes", CONTENT_WHOLE, 32, 0, 0, 0, 65536, 200, false},
    {"chunks", CONTENT_CHUNKS, 32, 0, 0, 65536, 65536, 0, true},
    {"one-byte-chunks", CONTENT_CHUNKS, 200, 0, 400 << 10, 1, 65536, 0, false},
    {"announced-over-the-limit", CONTENT_WHOLE, 32, 64 << 20, 8 << 20, 0,
     65536, 0, false},
    {"announced-little-over-the-limit", CONTENT_WHOLE, 32, 4800 << 10,
     4736 << 10, 0, 65536, 0, false},
    {"unannounced-over-the-limit", CONTENT_CHUNKS, 32, 0, 4736 << 10, 65536,
     65536, 0, false},
    {"heads-without-end", CONTENT_HEAD, 600, 15000, 0, 0, 1024, 0, false},
    {"idle-from-one-address", CONTENT_NONE, 600, 0, 0, 0, 1024, 0, false},
    {"idle-from-many-addresses", CONTENT_NONE, 600, 0, 0, 0, 1024, 0, true},
    {"pipelined", CONTENT_PIPELINE, 32, 1024, 0, 0, 65536, 0, false},
};

static bool
checks_memory(void)
{
    const char *dir = g_getenv("CF_BUILD_DIR");
    return dir && g_str_has_suffix(dir, "release");
}

static void
append_body(struct buf *out, size_t bytes)
{
    char *fill = g_strnfill(bytes, 'x');
    buf_append(out, fill, bytes);
    g_free(fill);
}

/* Appends what a caller of this kind sends. */
static void
append_content(struct buf *out, const struct caller_kind *k, const char *head,
               size_t limit)
{
    size_t body = k->body_bytes ? k->body_bytes : limit;
    size_t sent = k->sent_bytes ? k->sent_bytes : body - MISSING_BYTES;
    switch (k->content) {
    case CONTENT_WHOLE:
        buf_printf(out, "%sContent-Length: %zu\r\n\r\n", head, body);
        append_body(out, sent);
        break;
    case CONTENT_CHUNKS:
        buf_printf(out, "%sTransfer-Encoding: chunked\r\n\r\n", head);
        for (size_t n = 0; n < sent; n += k->chunk_bytes) {
            buf_printf(out, "%zx\r\n", k->chunk_bytes);
            append_body(out, k->chunk_bytes);
            buf_append_str(out, STR_LIT("\r\n"));
        }
        break;
    case CONTENT_HEAD:
        buf_printf(out, "%sX-Long: ", head);
        append_body(out, body);
        break;
    case CONTENT_PIPELINE:
        for (int i = 0; i < PIPELINED_REQUESTS; i++) {
            buf_printf(out, "%sContent-Length: %zu\r\n\r\n", head, body);
            append_body(out, body);
        }
        break;
    case CONTENT_NONE:
        break;
    }
}

static void
check_process(const char *name, pid_t pid, const struct crowd *c)
{
    long peak_kb = crowd_peak_kb(pid);
    g_test_message("%s: peak %ld kB of %d, descriptors %d of %d", name,
                   peak_kb, MEMORY_MB * 1024, c->max_files,
                   FILES - RESERVED_FILES);
    g_assert_cmpint(kill(pid, 0), ==, 0);
    g_assert_cmpint(c->max_files, <=, FILES - RESERVED_FILES);
    if (checks_memory()) {
        g_assert_cmpint(peak_kb, <=, MEMORY_MB * 1024);
    }
}

/* Sends the crowd to a process.
 * @param ask sends an ordinary request; returns its status */
static void
run_crowd(const struct caller_kind *k, const char *head, size_t limit,
          pid_t pid, int port, int (*ask)(void *ctx), void *ctx)
{
    struct buf bytes = {0};
    struct crowd *c = g_new0(struct crowd, 1);
    append_content(&bytes, k, head, limit);
    struct crowd_plan plan = {.callers = k->content == CONTENT_NONE ||
                                                 k->content == CONTENT_HEAD
                                             ? k->callers
                                             : k->callers / CROWD_SHARE,
                              .bytes = buf_str(&bytes),
                              .turn_bytes = k->turn_bytes,
                              .many_addresses = k->many_addresses,
                              .trickle_turns = k->trickle_turns,
                              .trickle = STR_LIT("x")};
    crowd_open(c, &plan, pid, port);
    int during = ask(ctx);
    crowd_sample(c, 0);
    crowd_close(c);
    int after = ask(ctx);
    g_test_message("ordinary request: %d during, %d after", during, after);
    check_process(k->name, pid, c);
    g_assert_cmpint(during, ==, 200);
    g_assert_cmpint(after, ==, 200);
    buf_free(&bytes);
    g_free(c);
}

static int
ask_gateway(void *ctx)
{
    struct buf out = {0};
    int status =
        platform_rig_send_request(ctx, 0, "check", PR_KEY DEADLINE, &out);
    buf_free(&out);
    return status;
}

static void
open_gateway(struct platform_rig *r, const char *limits)
{
    platform_rig_open_without_nodes(r);
    r->node_settings = limits;
    platform_rig_register_servers(r);
    platform_rig_start_node(r, 0);
    platform_rig_wait_readiness(r, 0, 200);
}

static void
test_gateway(gconstpointer p)
{
    struct platform_rig r;
    open_gateway(&r, LIMITS);
    g_assert_cmpint(ask_gateway(&r), ==, 200);
    run_crowd(p, GATEWAY_HEAD, GATEWAY_BODY_BYTES, r.nodes[0].pid,
              r.nodes[0].port, ask_gateway, &r);
    g_assert_cmpint(platform_rig_count_ended_nodes(&r), ==, 0);
    platform_rig_close(&r);
}

static int
ask_daemon(void *ctx)
{
    return send_embed(ctx, 0, "ordinary", 5000).status;
}

static void
test_daemon(gconstpointer p)
{
    struct caller_kind k = *(const struct caller_kind *)p;
    struct rig r;
    rig_open(&r, NULL);
    rig_start_node(&r, 0, LIMITS);
    rig_configure(&r);
    rig_wait_ready(&r, 0, 200);
    WAIT_FOR(ask_daemon(&r) == 200);
    if (k.content == CONTENT_WHOLE || k.content == CONTENT_CHUNKS) {
        /* The limit of a body is a quarter of the gateway's. */
        k.callers = k.callers < 100 ? 4 * k.callers : k.callers;
        k.body_bytes /= 4;
        k.sent_bytes /= k.chunk_bytes == 1 ? 1 : 4;
    }
    run_crowd(&k, DAEMON_HEAD, DAEMON_BODY_BYTES, r.nodes[0].pid,
              r.nodes[0].port, ask_daemon, &r);
    rig_close(&r);
}

/* Callers that send a request and do not read the response.
 * @param host of the requests; both servers of its service answer alike */
static void
run_unread(const char *host, int first_server, int callers,
           const struct endless_response *response)
{
    struct platform_rig r;
    struct crowd *all = g_new0(struct crowd, UNREAD_CALLERS);
    open_gateway(&r, LIMITS);
    struct endless_server *endless = endless_server_new();
    endless_server_set_response(endless, response);
    for (int i = 0; i < 2; i++) {
        platform_rig_register_server_at(&r, first_server + i, "ready",
                                        endless_server_port(endless));
    }
    g_usleep(500000);
    struct buf bytes = {0};
    buf_printf(&bytes,
               "POST /x/y?z=1 HTTP/1.1\r\nHost: %s\r\n"
               "Camphorfall-Request-Id: 0123456789abcdef\r\n" PR_KEY
               "Camphorfall-Pieces: 0,0\r\nContent-Length: 0\r\n\r\n",
               host);
    struct crowd_plan plan = {.callers = callers,
                              .bytes = buf_str(&bytes),
                              .turn_bytes = bytes.len,
                              .small_window = UNREAD_WINDOW};
    int max_files = 0;
    /* One after another, so that the limit of all responses that are not yet
     * whole is not met. */
    for (int i = 0; i < UNREAD_CALLERS / CROWD_SHARE; i++) {
        crowd_open(&all[i], &plan, r.nodes[0].pid, r.nodes[0].port);
        crowd_sample(&all[i], UNREAD_INTERVAL_MS);
        max_files = MAX(max_files, all[i].max_files);
    }
    all[0].max_files = max_files;
    for (int i = 0; i < 2; i++) {
        platform_rig_set_server_state(&r, i, "ready");
    }
    g_usleep(500000);
    int during = ask_gateway(&r);
    for (int i = 0; i < UNREAD_CALLERS / CROWD_SHARE; i++) {
        crowd_close(&all[i]);
    }
    int after = ask_gateway(&r);
    g_test_message("ordinary request: %d during, %d after", during, after);
    check_process(host, r.nodes[0].pid, &all[0]);
    g_assert_cmpint(during, ==, 200);
    g_assert_cmpint(after, ==, 200);
    platform_rig_close(&r);
    endless_server_free(endless);
    buf_free(&bytes);
    g_free(all);
}

#define SEALED                                                                \
    "HTTP/1.1 200 OK\r\nCamphorfall-Request-Id: {id}\r\n"                     \
    "Camphorfall-Response-Seal: x.{id}\r\n"

static void
test_unread_responses(void)
{
    static const struct endless_response response = {
        SEALED "Content-Length: 3000000\r\n\r\n", "{x}", 16384, 0};
    run_unread("check", 0, 1, &response);
}

/* Each caller may have 256 KiB of a stream in the node. */
static void
test_unread_streams(void)
{
    static const struct endless_response response = {
        SEALED "Content-Type: text/event-stream\r\n\r\n",
        "id: {n}\ndata: {x}\n\n", 8000, 0};
    run_unread("stream", 2, 8, &response);
}

/* One request at every limit is served on the smallest machine. */
static void
test_single(void)
{
    struct platform_rig r;
    struct buf headers = {0};
    struct buf body = {0};
    struct buf out = {0};
    open_gateway(&r, SMALLEST_LIMITS);
    buf_printf(&headers,
               "Host: check\r\nCamphorfall-Request-Id: 0123456789abcdef\r\n"
               "%s%sX-Long: ",
               PR_KEY, DEADLINE);
    /* Room for the request line and the headers of proc_http_request. */
    append_body(&headers, HEAD_BYTES - headers.len - 256);
    buf_append_str(&headers, STR_LIT("\r\n"));
    buf_append(&headers, "", 1);
    append_body(&body, GATEWAY_BODY_BYTES);
    int status = proc_http_request(r.nodes[0].port, "POST", "/x/y?z=1",
                                   headers.ptr, buf_str(&body), &out);
    long peak_kb = crowd_peak_kb(r.nodes[0].pid);
    g_test_message("status %d, peak %ld kB", status, peak_kb);
    g_assert_cmpint(status, ==, 200);
    if (checks_memory()) {
        g_assert_cmpint(peak_kb, <=, SMALLEST_MEMORY_MB * 1024);
    }
    buf_free(&headers);
    buf_free(&body);
    buf_free(&out);
    platform_rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    /* A failed case must not hide the others. */
    g_test_set_nonfatal_assertions();
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        char *path = g_strdup_printf("/callers/gateway/%s", kinds[i].name);
        g_test_add_data_func(path, &kinds[i], test_gateway);
        g_free(path);
        path = g_strdup_printf("/callers/daemon/%s", kinds[i].name);
        g_test_add_data_func(path, &kinds[i], test_daemon);
        g_free(path);
    }
    g_test_add_func("/callers/gateway/unread-responses",
                    test_unread_responses);
    g_test_add_func("/callers/gateway/unread-streams", test_unread_streams);
    g_test_add_func("/callers/gateway/single", test_single);
    return g_test_run();
}
