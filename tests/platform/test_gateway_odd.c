/* Guards against odd entries of other writers and odd requests of callers that
 * end a process of the forwarding daemon, or after which it no longer follows
 * the store. */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "tests/platform/endless.h"
#include "tests/platform/rig_platform.h"
#include "tests/proc.h"

#define PIECES PR_KEY "Camphorfall-Pieces: 1,8\r\nCamphorfall-Piece-Key: k\r\n"
#define LINK_KEY "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7"
#define DEEP "[[[[deep" /* replaced by nested arrays */
#define MAX_DEPTH 200000

static int
ask(struct platform_rig *r, int node, const char *host, const char *headers)
{
    CLEANUP(buf_free) struct buf out = {0};
    return platform_rig_send_request(r, node, host, headers, &out);
}

static void
wait_for_status(struct platform_rig *r, int node, const char *host,
                const char *headers, int status)
{
    for (int i = 0; i < 400; i++) {
        if (ask(r, node, host, headers) == status) {
            return;
        }
        g_usleep(25000);
    }
    g_error("%s at node %d never returned status %d", host, node, status);
}

/* Sends sound requests to a node until it is told to stop. */
struct caller {
    struct platform_rig *r;
    int node;
    _Atomic bool stop;
    int requests;
    int failures;
};

static gpointer
send_requests(gpointer p)
{
    struct caller *c = p;
    while (!c->stop) {
        int status = ask(c->r, c->node, "check", PR_KEY);
        c->failures += status != 200;
        status = ask(c->r, c->node, "stream", PIECES);
        c->failures += status != 200;
        c->requests += 2;
        g_usleep(20000);
    }
    return NULL;
}

static void
start_callers(struct platform_rig *r, struct caller *callers,
              GThread **threads)
{
    for (int n = 0; n < PR_NODES; n++) {
        callers[n] = (struct caller){.r = r, .node = n};
        threads[n] = g_thread_new("caller", send_requests, &callers[n]);
    }
}

static void
stop_callers(struct caller *callers, GThread **threads)
{
    for (int n = 0; n < PR_NODES; n++) {
        callers[n].stop = true;
        g_thread_join(threads[n]);
        g_test_message("node %d: %d requests, %d failures", n,
                       callers[n].requests, callers[n].failures);
        g_assert_cmpint(callers[n].failures, ==, 0);
        g_assert_cmpint(callers[n].requests, >, 0);
    }
}

/* Writes an entry whose value may contain DEEP. */
static void
put_odd(const struct platform_rig *r, const char *key, const char *value)
{
    const char *at = strstr(value, DEEP);
    CLEANUP(buf_free) struct buf text = {0};
    buf_append(&text, value, at ? (size_t)(at - value) : strlen(value));
    if (at) {
        for (int i = 0; i < MAX_DEPTH; i++) {
            buf_append(&text, "[", 1);
        }
        for (int i = 0; i < MAX_DEPTH; i++) {
            buf_append(&text, "]", 1);
        }
        buf_append_str(&text, str_from_cstr(at + strlen(DEEP)));
    }
    platform_rig_put(r, key, text.ptr ? text.ptr : "");
}

static bool
log_contains(const char *path, const char *text)
{
    CLEANUP_FREE char *log = NULL;
    g_assert_true(g_file_get_contents(path, &log, NULL, NULL));
    return strstr(log, text) != NULL;
}

#define SERVER(address, members)                                              \
    "{\"service\":\"desk\",\"address\":\"" address                            \
    "\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":"  \
    "0" members "}"

static const struct {
    const char *key;
    const char *value;
} odd_entries[] = {
    {"servers/o-1", ""},
    {"servers/o-2", DEEP},
    {"servers/o-3", SERVER("127.0.0.1:9", ",\"x\":" DEEP)},
    {"servers/o-4", SERVER("127.0.0.1:9", ",\"slots\":1e308")},
    {"servers/o-5", SERVER("127.0.0.1:9", ",\"slots\":-2147483649")},
    {"servers/o-6", SERVER("127.0.0.1:9", ",\"slots\":1e400")},
    {"servers/o-7", SERVER("127.0.0.1:9", ",\"coldRemainingMs\":1e308")},
    {"servers/o-8",
     SERVER("127.0.0.1:9", ",\"coldRemainingMs\":9223372036854775807")},
    {"servers/o-9", SERVER("127.0.0.1:9", ",\"born\":-9223372036854775808")},
    {"servers/o-10", SERVER("127.0.0.1:0", ",\"slots\":8")},
    {"servers/o-11", SERVER("127.0.0.1:65536", ",\"slots\":8")},
    {"servers/o-12", SERVER("127.0.0.1:4294967377", ",\"slots\":8")},
    {"servers/o-13", SERVER("127.0.0.1:-1", ",\"slots\":8")},
    {"servers/o-14", SERVER("no-such-host:9", ",\"slots\":8")},
    {"servers/o-15", "\xff\xfe\x01"},
    {"servers/o-16", "{\"service\":\"desk\",\"address\":\"127.0.0.1:9\","
                     "\"zone\":\"a\",\"state\":\"ready\"}"},
    {"servers/", SERVER("127.0.0.1:9", "")},
    {"op/config", DEEP},
    {"op/config", "{\"version\":1e308}"},
    {"op/config", "{\"version\":9007199254740993,\"routes\":" DEEP "}"},
    {"op/config", "{\"version\":900,\"routes\":[{\"name\":\"check\",\"host\":"
                  "\"check\",\"prefix\":\"/\",\"timeoutMs\":1e308}]}"},
    {"op/config", "{\"version\":901,\"services\":[{\"name\":\"desk\","
                  "\"pieces\":{\"batch\":2147483647,\"slots\":-1}}]}"},
    {"op/config", "[]"},
    {"op/config", ""},
    {"op/evacuate/", DEEP},
    {"op/evacuate/no-such-zone", DEEP},
    {"op/other", DEEP},
    {"camphorfall/nodes/o-1", ""},
    {"camphorfall/nodes/o-2", DEEP},
    {"camphorfall/nodes/o-3", "tcp://127.0.0.1:99999 " LINK_KEY},
    {"camphorfall/nodes/o-4", "tcp://127.0.0.1:0 " LINK_KEY},
    {"camphorfall/nodes/o-5", "tcp://no-such-host:9 " LINK_KEY},
    {"camphorfall/nodes/o-6", "inproc://o " LINK_KEY},
    {"camphorfall/nodes/o-7", "ipc:///tmp/o " LINK_KEY},
    {"camphorfall/nodes/o-8", "tcp://127.0.0.1:9 short"},
    {"camphorfall/nodes/o-9", "tcp://127.0.0.1:9 "
                              "\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f"
                              "\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f"
                              "\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f"
                              "\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f"},
    {"camphorfall/nodes/", "tcp://127.0.0.1:9 " LINK_KEY},
};

/* Guards against entries of another writer beside which sound requests fail or
 * later changes of the store do not come into force. */
static void
test_odd_entries(void)
{
    struct platform_rig r;
    struct caller callers[PR_NODES];
    GThread *threads[PR_NODES];
    platform_rig_open(&r);
    platform_rig_set_server_state(&r, 1, NULL);
    start_callers(&r, callers, threads);
    for (size_t i = 0; i < G_N_ELEMENTS(odd_entries); i++) {
        put_odd(&r, odd_entries[i].key, odd_entries[i].value);
        g_usleep(20000);
    }
    g_usleep(2000000);
    stop_callers(callers, threads);
    g_assert_cmpint(platform_rig_count_ended_nodes(&r), ==, 0);
    for (int n = 0; n < PR_NODES; n++) {
        g_assert_true(
            log_contains(r.nodes[n].log, "event=endpoint_record_ignored"));
        g_assert_true(
            log_contains(r.nodes[n].log, "event=configuration_unreadable"));
        g_assert_true(
            log_contains(r.nodes[n].log, "event=registration_ignored"));
        g_assert_false(
            log_contains(r.nodes[n].log, "event=node_joined name=o"));
    }
    /* A new server takes the place of the old one. */
    platform_rig_set_server_state(&r, 1, "ready");
    platform_rig_set_server_state(&r, 0, NULL);
    g_usleep(1500000);
    long old_runs = platform_rig_server_stat(&r, 0, "runs");
    long new_runs = platform_rig_server_stat(&r, 1, "runs");
    for (int i = 0; i < 4 * PR_NODES; i++) {
        g_assert_cmpint(ask(&r, i % PR_NODES, "check", PR_KEY), ==, 200);
    }
    g_assert_cmpint(platform_rig_server_stat(&r, 0, "runs"), ==, old_runs);
    g_assert_cmpint(platform_rig_server_stat(&r, 1, "runs"), ==,
                    new_runs + 4 * PR_NODES);
    /* A sound configuration replaces the odd one. */
    platform_rig_set_credentials(&r, "\"key-1\",\"key-3\"");
    for (int n = 0; n < PR_NODES; n++) {
        wait_for_status(&r, n, "check", "Camphorfall-Key: key-3\r\n", 200);
    }
    /* A node that starts reads the odd entries as a list. */
    proc_signal_and_wait(r.nodes[0].pid, SIGKILL);
    platform_rig_start_node(&r, 0);
    platform_rig_wait_readiness(&r, 0, 200);
    for (int n = 0; n < PR_NODES; n++) {
        wait_for_status(&r, n, "stream", PIECES, 200);
    }
    g_assert_cmpint(platform_rig_count_ended_nodes(&r), ==, 0);
    g_assert_cmpint(platform_rig_count_violations(&r), ==, 0);
    platform_rig_close(&r);
}

/* Guards against pieces of sound requests that are refused together with a
 * piece whose id or key the call cannot carry. */
static void
test_odd_texts(void)
{
    struct platform_rig r;
    struct caller callers[PR_NODES];
    GThread *threads[PR_NODES];
    platform_rig_open(&r);
    start_callers(&r, callers, threads);
    for (int i = 0; i < 20 * PR_NODES; i++) {
        g_assert_cmpint(ask(&r, i % PR_NODES, "stream",
                            PR_KEY "Camphorfall-Pieces: 1,8\r\n"
                                   "Camphorfall-Piece-Key: \xff\r\n"),
                        ==, 400);
        g_usleep(20000);
    }
    stop_callers(callers, threads);
    for (int i = 0; i < PR_SERVERS; i++) {
        g_assert_cmpint(platform_rig_server_stat(&r, i, "bad"), ==, 0);
    }
    platform_rig_close(&r);
}

/* Guards against a request whose numbers end the process that reads it. */
static void
test_odd_requests(void)
{
    static const struct {
        const char *headers;
        int status;
    } rows[] = {
        {"Camphorfall-Pieces: 2147483648\r\n", 400},
        {"Camphorfall-Pieces: 2000000000,2000000000\r\n", 400},
        {"Camphorfall-Pieces: 1025\r\n", 400},
        {"Camphorfall-Pieces: -1\r\n", 400},
        {"Camphorfall-Deadline-Ms: 9223372036854775807\r\n"
         "Camphorfall-Pieces: 1\r\nCamphorfall-Piece-Key: k\r\n",
         200},
        /* No engine reads these tokens before the caller leaves. */
        {"Camphorfall-Token-Usage: 9223372036854775807,2147483648\r\n"
         "Camphorfall-Prompt-Prefix: a:4294967295,b:2147483647\r\n",
         503},
    };
    struct platform_rig r;
    platform_rig_open(&r);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *headers = g_strdup_printf(PR_KEY "%s", rows[i].headers);
        for (int n = 0; n < PR_NODES; n++) {
            int status = ask(&r, n, "stream", headers);
            g_test_message("%s: %d", rows[i].headers, status);
            g_assert_cmpint(platform_rig_count_ended_nodes(&r), ==, 0);
            g_assert_cmpint(status, ==, rows[i].status);
        }
        g_free(headers);
    }
    for (int n = 0; n < PR_NODES; n++) {
        g_assert_cmpint(ask(&r, n, "stream", PIECES), ==, 200);
    }
    platform_rig_close(&r);
}

#define SEALED(status)                                                        \
    "HTTP/1.1 " status "\r\nCamphorfall-Request-Id: {id}\r\n"                 \
    "Camphorfall-Response-Seal: odd.{id}\r\nContent-Length: 2\r\n\r\nok"

/* Guards against a status that does not exist that callers get as an answer.
 */
static void
test_odd_statuses(void)
{
    static const char *const rows[] = {SEALED("000 OK"), SEALED("600 x"),
                                       SEALED("999 x"), SEALED("200.5 OK")};
    static const char *const hosts[] = {"check", "action"};
    struct platform_rig r;
    struct endless_server *odd = endless_server_new();
    platform_rig_open(&r);
    for (int i = 0; i < 2; i++) {
        platform_rig_register_server_at(&r, i, "ready",
                                        endless_server_port(odd));
    }
    g_usleep(1000000);
    for (size_t i = 0; i < G_N_ELEMENTS(rows) * G_N_ELEMENTS(hosts); i++) {
        struct endless_response response = {rows[i / 2], "", 0, 20};
        endless_server_set_response(odd, &response);
        int status = ask(&r, (int)i % PR_NODES, hosts[i % 2], PR_KEY);
        g_test_message("%.13s, %s: %d", rows[i / 2], hosts[i % 2], status);
        g_assert_cmpint(status, ==, 502);
    }
    platform_rig_close(&r);
    endless_server_free(odd);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/gateway-odd/entries", test_odd_entries);
    g_test_add_func("/gateway-odd/texts", test_odd_texts);
    g_test_add_func("/gateway-odd/requests", test_odd_requests);
    g_test_add_func("/gateway-odd/statuses", test_odd_statuses);
    return g_test_run();
}
