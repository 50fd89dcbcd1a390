/* Starts the daemon and the fakes as processes. Guards against refusals that
 * contradict section 3 of the design page, secrets in logs, requests aborted
 * by a planned stop, and actions that are executed twice. */
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "tests/peer.h"
#include "tests/proc.h"

/* Stands for arrays nested DEPTH deep in a document. */
#define DEEP "[[[[deep"
#define DEPTH 200000
#define CLAIM_RECORDS 4
#define DAEMON "camphorfalld"
#define SECRET "teak-4711"

static struct rig
    rig; /* shared by the tests that neither start nor stop nodes */

static int
run_daemon(const char *a, const char *b)
{
    const char *args[] = {a, b, NULL};
    return proc_signal_and_wait(proc_start(DAEMON, args, "/dev/null"), 0);
}

static void
test_exit_codes(void)
{
    CLEANUP_FREE char *good = g_build_filename(rig.dir, "n0.toml", NULL);
    CLEANUP_FREE char *bad = g_build_filename(rig.dir, "bad.toml", NULL);
    g_file_set_contents(bad, "[node]\nname = 5\n", -1, NULL);
    g_assert_cmpint(run_daemon("--check", good), ==, 0);
    g_assert_cmpint(run_daemon("--help", NULL), ==, 0);
    g_assert_cmpint(run_daemon(NULL, NULL), ==, 2);
    g_assert_cmpint(run_daemon("--frobnicate", NULL), ==, 2);
    g_assert_cmpint(run_daemon("--check", bad), ==, 3);
    g_assert_cmpint(run_daemon(bad, NULL), ==, 3);
    /* The link address is in use by the running node. */
    g_assert_cmpint(run_daemon(good, NULL), ==, 1);
}

static void
test_bad_input(void)
{
    static const char big[] = "X-Long: ";
    CLEANUP_FREE char *fill = g_strnfill(20000, 'a');
    CLEANUP_FREE char *headers =
        g_strconcat(RIG_TEAM_HEADER, big, fill, "\r\n", NULL);
    CLEANUP_FREE char *body = g_strconcat("{\"input\":\"", fill, "\"}", NULL);
    CLEANUP_FREE char *large = g_strnfill(3000000, ' ');
    const struct {
        const char *method, *path, *headers, *body;
        int status;
        const char *kind, *ran;
    } rows[] = {
        {"POST", "/v1/pipelines/embed", "", "{}", 401, "unauthenticated",
         "not_run"},
        {"POST", "/v1/pipelines/embed", "Authorization: Bearer x\r\n", "{}",
         401, "unauthenticated", "not_run"},
        {"POST", "/v1/pipelines/embed", RIG_OPERATOR_HEADER, "{}", 401,
         "unauthenticated", "not_run"},
        {"POST", "/v1/pipelines/none", RIG_TEAM_HEADER, "{}", 404, "not_found",
         "not_run"},
        {"GET", "/v1/pipelines/embed", RIG_TEAM_HEADER, "", 400, "bad_request",
         "not_run"},
        {"POST", "/v1/pipelines/embed", RIG_TEAM_HEADER, "", 400,
         "bad_request", "not_run"},
        {"POST", "/v1/pipelines/embed", RIG_TEAM_HEADER, "[]", 400,
         "bad_request", "not_run"},
        {"POST", "/v1/pipelines/embed", RIG_TEAM_HEADER, "{\"a\":", 400,
         "bad_request", "not_run"},
        {"POST", "/v1/pipelines/embed",
         RIG_TEAM_HEADER "X-Deadline-Ms: soon\r\n", "{}", 400, "bad_request",
         "not_run"},
        {"POST", "/v1/pipelines/embed", RIG_TEAM_HEADER RIG_TEAM_HEADER, "{}",
         400, "bad_request", "not_run"},
        {"POST", "/v1/pipelines/order", RIG_TEAM_HEADER, "{}", 400,
         "key_required", "not_run"},
        {"POST", "/v1/pipelines/embed", headers, "{}", 413, "too_large",
         "not_run"},
        {"POST", "/v1/pipelines/embed", RIG_TEAM_HEADER, large, 413,
         "too_large", "not_run"},
        {"GET", "/none", "", "", 404, "not_found", "not_run"},
        {"GET", "/v1/traces/x", "", "", 401, "unauthenticated", "not_run"},
        {"GET", "/v1/traces/x", RIG_TEAM_HEADER, "", 404, "not_found",
         "not_run"},
        {"GET", "/admin/show", "", "", 401, "unauthenticated", "not_run"},
        {"GET", "/admin/show", RIG_TEAM_HEADER, "", 401, "unauthenticated",
         "not_run"},
        {"GET", "/admin/none", RIG_OPERATOR_HEADER, "", 404, "not_found",
         "not_run"},
        {"POST", "/admin/apply", "", "{}", 401, "unauthenticated", "not_run"},
        {"POST", "/admin/edit", RIG_VIEWER_HEADER, "{}", 403, "forbidden",
         "not_run"},
        {"GET", "/admin/edit", RIG_OPERATOR_HEADER, "", 400, "bad_request",
         "not_run"},
        {"POST", "/admin/edit", RIG_OPERATOR_HEADER, "no", 400, "bad_request",
         "not_run"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        CLEANUP(buf_free) struct buf answer = {0};
        int status = proc_http_request(rig.nodes[0].port, rows[i].method,
                                       rows[i].path, rows[i].headers,
                                       str_from_cstr(rows[i].body), &answer);
        CLEANUP_FREE char *want =
            g_strdup_printf("{\"error\":{\"kind\":\"%s\",\"ran\":\"%s\"",
                            rows[i].kind, rows[i].ran);
        g_test_message("row %zu: %s", i, answer.ptr);
        g_assert_cmpint(status, ==, rows[i].status);
        g_assert_true(g_str_has_prefix(answer.ptr, want));
    }
    g_assert_cmpint(proc_http_request(rig.nodes[0].port, "POST",
                                      "/v1/pipelines/embed", RIG_TEAM_HEADER,
                                      str_from_cstr(body), NULL),
                    ==, 200);
}

static char *
request_id(const struct buf *answer)
{
    const char *p = strstr(answer->ptr, "\"request_id\":\"");
    g_assert_nonnull(p);
    return g_strndup(p + 14, 32);
}

static void
test_trace_and_secrets(void)
{
    CLEANUP(buf_free) struct buf answer = {0};
    int port = rig.nodes[0].port;
    g_assert_cmpint(
        proc_http_request(port, "POST", "/v1/pipelines/embed", RIG_TEAM_HEADER,
                          STR_LIT("{\"input\":\"" SECRET "\"}"), &answer),
        ==, 200);
    CLEANUP_FREE char *id = request_id(&answer);
    CLEANUP_FREE char *path = g_strconcat("/v1/traces/", id, NULL);
    g_assert_cmpint(proc_http_request(port, "GET", path, RIG_OTHER_TEAM_HEADER,
                                      STR_LIT(""), NULL),
                    ==, 404);
    g_assert_cmpint(proc_http_request(port, "GET", path, RIG_OPERATOR_HEADER,
                                      STR_LIT(""), NULL),
                    ==, 200);
    g_assert_cmpint(proc_http_request(port, "GET", path, RIG_TEAM_HEADER,
                                      STR_LIT(""), &answer),
                    ==, 200);
    g_assert_nonnull(strstr(answer.ptr, "\"endpoint\":\"enc-1\""));
    g_assert_null(strstr(answer.ptr, SECRET));
    g_assert_cmpint(
        proc_http_request(port, "GET", "/metrics", "", STR_LIT(""), &answer),
        ==, 200);
    static const char *const counters[] = {
        "cf_http_in_requests_total{thread=\"0\"}", "cf_http_out_calls_total",
        "cf_link_sent_total", "process_resident_memory_bytes", "cf_ready 1"};
    for (size_t i = 0; i < G_N_ELEMENTS(counters); i++) {
        g_assert_nonnull(strstr(answer.ptr, counters[i]));
    }
    CLEANUP_FREE char *log = NULL;
    g_assert_true(g_file_get_contents(rig.nodes[0].log, &log, NULL, NULL));
    CLEANUP_FREE char *line = g_strdup_printf(
        "event=request request=%s pipeline=embed team=board outcome=ok", id);
    g_assert_nonnull(strstr(log, line));
    static const char *const secrets[] = {SECRET, "team-token",
                                          "operator-token"};
    for (size_t i = 0; i < G_N_ELEMENTS(secrets); i++) {
        g_assert_null(strstr(log, secrets[i]));
        g_assert_null(strstr(answer.ptr, secrets[i]));
    }
}

static void
test_operators(void)
{
    CLEANUP(buf_free) struct buf answer = {0};
    int port = rig.nodes[0].port;
    g_assert_cmpint(proc_http_request(port, "GET", "/admin/status",
                                      RIG_VIEWER_HEADER, STR_LIT(""), NULL),
                    ==, 200);
    g_assert_cmpint(proc_http_request(port, "GET", "/admin/show",
                                      RIG_VIEWER_HEADER, STR_LIT(""), &answer),
                    ==, 200);
    const char *revision = strstr(answer.ptr, "\"revision\":");
    g_assert_nonnull(revision);
    long base = strtol(revision + 11, NULL, 10);
    /* An edit that is based on an older revision conflicts. */
    for (int i = 0; i < 2; i++) {
        CLEANUP_FREE char *edit = g_strdup_printf(
            "{\"change\":\"e%d\",\"by\":\"somebody\",\"base\":%ld,\"set\":["
            "{\"path\":\"defaults/max_in_flight\",\"value\":128,"
            "\"reason\":\"test\"}]}",
            i, i ? base : 0);
        int status =
            proc_http_request(port, "POST", "/admin/edit", RIG_OPERATOR_HEADER,
                              str_from_cstr(edit), &answer);
        g_test_message("edit: %d %s", status, answer.ptr);
        g_assert_cmpint(status, ==, i ? 200 : 409);
        g_assert_cmpint(strstr(answer.ptr, "\"details\"") != NULL, ==, !i);
    }
    g_assert_cmpint(proc_http_request(port, "GET", "/admin/show",
                                      RIG_OPERATOR_HEADER, STR_LIT(""),
                                      &answer),
                    ==, 200);
    g_assert_nonnull(strstr(answer.ptr, "\"pipelines\""));
    /* The author of a change is taken from the credential. */
    g_assert_null(strstr(answer.ptr, "somebody"));
}

/* Two requests with the same key: the action is executed once and its answer
 * is replayed. */
static void
test_action_once(void)
{
    CLEANUP(buf_free) struct buf first = {0};
    CLEANUP(buf_free) struct buf second = {0};
    CLEANUP(buf_free) struct buf stats = {0};
    int port = rig.nodes[0].port;
    const char *headers = RIG_TEAM_HEADER "Idempotency-Key: k1\r\n";
    struct str body = STR_LIT("{\"action_id\":\"a1\"}");
    int status = proc_http_request(port, "POST", "/v1/pipelines/order",
                                   headers, body, &first);
    g_test_message("%s", first.ptr);
    g_assert_cmpint(status, ==, 200);
    g_assert_cmpint(proc_http_request(port, "POST", "/v1/pipelines/order",
                                      headers, body, &second),
                    ==, 200);
    g_assert_nonnull(strstr(second.ptr, "\"replayed\":true"));
    g_assert_cmpint(
        proc_http_request(port, "POST", "/v1/pipelines/order", headers,
                          STR_LIT("{\"action_id\":\"a2\"}"), &second),
        ==, 422);
    g_assert_cmpint(proc_http_request(rig.service_port, "GET",
                                      "/control/stats", "", STR_LIT(""),
                                      &stats),
                    ==, 200);
    g_assert_nonnull(strstr(stats.ptr, "\"records\":1"));
}

struct background {
    int port;
    int status;
};

static void *
ask(void *arg)
{
    struct background *b = arg;
    b->status =
        proc_http_request(b->port, "POST", "/v1/pipelines/embed",
                          RIG_TEAM_HEADER, STR_LIT("{\"input\":\"x\"}"), NULL);
    return NULL;
}

static void
wait_until_in_engine(const struct rig *r)
{
    gint64 end = g_get_monotonic_time() + 20 * G_USEC_PER_SEC;
    while (g_get_monotonic_time() < end) {
        CLEANUP(buf_free) struct buf stats = {0};
        proc_http_request(r->engine_port, "GET", "/control/stats", "",
                          STR_LIT(""), &stats);
        if (strstr(stats.ptr, "\"in_flight\":1")) {
            return;
        }
    }
    char *log = NULL;
    g_file_get_contents(r->nodes[0].log, &log, NULL, NULL);
    g_error("no request reached the engine\n%s", log);
}

/* Stops a node during a request: readiness fails first, so that the load
 * balancer notices, the request is answered, and the node exits with 0. */
static void
test_drain(void)
{
    static const char *const slow[] = {"--base-us", "1500000", NULL};
    struct rig r;
    rig_open(&r, slow);
    rig_start_node(&r, 0, "");
    rig_configure(&r);
    rig_wait_ready(&r, 0, 200);
    struct background b = {r.nodes[0].port, 0};
    pthread_t t;
    pthread_create(&t, NULL, ask, &b);
    wait_until_in_engine(&r);
    kill(r.nodes[0].pid, SIGTERM);
    rig_wait_ready(&r, 0, 503);
    g_assert_cmpint(proc_http_request(r.nodes[0].port, "GET", "/healthz", "",
                                      STR_LIT(""), NULL),
                    ==, 200);
    g_assert_cmpint(proc_signal_and_wait(r.nodes[0].pid, 0), ==, 0);
    r.nodes[0].pid = 0;
    pthread_join(t, NULL);
    g_assert_cmpint(b.status, ==, 200);
    rig_close(&r);
}

/* Two traffic threads and three nodes: requests at the other nodes succeed
 * after a node was killed, and each thread can return the traces of both
 * threads. */
static void
test_nodes(void)
{
    struct rig r;
    rig_open(&r, NULL);
    for (int i = 0; i < 3; i++) {
        rig_start_node(&r, i, "[traffic]\nthreads = 2\n");
    }
    rig_configure(&r);
    for (int i = 0; i < 3; i++) {
        rig_wait_ready(&r, i, 200);
    }
    /* Warms up the endpoint, which then needs no credits. The node that is
     * killed may be the owner of the credits, and a new owner waits for the
     * longest lifetime of a credit. */
    for (int i = 0; i < 60; i++) {
        struct background b = {r.nodes[i % 3].port, 0};
        ask(&b);
        g_assert_cmpint(b.status, ==, 200);
    }
    g_assert_cmpint(proc_signal_and_wait(r.nodes[1].pid, SIGKILL), ==,
                    -SIGKILL);
    r.nodes[1].pid = 0;
    for (int i = 0; i < 30; i++) {
        CLEANUP(buf_free) struct buf answer = {0};
        int port = r.nodes[i % 2 * 2].port;
        struct background b = {port, 0};
        ask(&b);
        g_assert_cmpint(b.status, ==, 200);
        g_assert_cmpint(proc_http_request(port, "POST", "/v1/pipelines/embed",
                                          RIG_TEAM_HEADER,
                                          STR_LIT("{\"input\":\"x\"}"),
                                          &answer),
                        ==, 200);
        CLEANUP_FREE char *id = request_id(&answer);
        CLEANUP_FREE char *path = g_strconcat("/v1/traces/", id, NULL);
        g_assert_cmpint(proc_http_request(port, "GET", path, RIG_TEAM_HEADER,
                                          STR_LIT(""), NULL),
                        ==, 200);
    }
    for (int i = 0; i < 3; i += 2) {
        g_assert_cmpint(proc_signal_and_wait(r.nodes[i].pid, SIGTERM), ==, 0);
        r.nodes[i].pid = 0;
    }
    rig_close(&r);
}

/* Writes an odd document; DEEP stands for nested arrays. */
static void
put_odd(struct rig *r, const char *key, const char *value)
{
    const char *at = strstr(value, DEEP);
    CLEANUP(buf_free) struct buf text = {0};
    buf_append(&text, value, at ? (size_t)(at - value) : strlen(value));
    for (int i = 0; at && i < DEPTH; i++) {
        buf_append(&text, "[", 1);
    }
    for (int i = 0; at && i < DEPTH; i++) {
        buf_append(&text, "]", 1);
    }
    buf_append_str(&text, str_from_cstr(at ? at + strlen(DEEP) : ""));
    rig_put_key(r, key, buf_str(&text));
}

/* Sends requests to a node until one succeeds, or until one fails. */
static void
wait_for_answer(const struct rig *r, int node, bool success)
{
    struct background b = {r->nodes[node].port, 0};
    gint64 end = g_get_monotonic_time() + 20 * G_USEC_PER_SEC;
    while (g_get_monotonic_time() < end) {
        ask(&b);
        if ((b.status == 200) == success) {
            return;
        }
        g_usleep(25000);
    }
    g_error("node %d answers %d", node, b.status);
}

#define ODD_VMS                                                               \
    "{},7,null,[],{\"vm\":\"x\"},{\"vm\":7,\"zone\":\"okha\",\"state\":"      \
    "\"live\"},"                                                              \
    "{\"vm\":\"x\",\"zone\":\"okha\",\"state\":\"odd\"},"                     \
    "{\"vm\":\"x\",\"zone\":\"okha\",\"state\":\"live\",\"endpoints\":["      \
    "{\"id\":\"o1\",\"pool\":\"enc\",\"url\":\"http://127.0.0.1:99999\"},"    \
    "{\"id\":\"o2\",\"pool\":\"enc\",\"url\":\"http://127.0.0.1:0\"},"        \
    "{\"id\":\"o3\",\"pool\":\"enc\",\"url\":\"http://no-such-host:9\"},"     \
    "{\"id\":\"o4\",\"pool\":\"enc\",\"url\":\"http://"                       \
    "127.0.0.1:4294967377\"},"                                                \
    "{\"id\":\"o5\",\"pool\":\"enc\",\"url\":\"x\"},{\"id\":7},[],{}]}"

/* Guards against documents of another writer that end a process, replace the
 * last good ones or keep later ones from being followed. */
static void
test_odd_documents(void)
{
    static const struct {
        const char *key;
        const char *value;
    } rows[] = {
        {"cf/config", DEEP},
        {"cf/config", "{\"defaults\":{\"deadline_ms\":1e308}}"},
        {"cf/config", "{\"defaults\":{\"deadline_ms\":9223372036854775808}}"},
        {"cf/config", "{\"defaults\":{\"deadline_ms\":-1}}"},
        {"cf/config", "{\"pools\":{\"enc\":" DEEP "}}"},
        {"cf/config", ""},
        {"cf/roster", DEEP},
        {"cf/roster", "{\"members\":" DEEP "}"},
        {"cf/roster", "{\"members\":[{\"id\":\"0000000000000001\",\"address\":"
                      "\"tcp://no-such-host:99999\",\"region\":7}]}"},
        {"platform/vms", DEEP},
        {"platform/vms", "{\"vms\":1e400}"},
        {"platform/vms", "{\"vms\":[" DEEP "]}"},
        {"platform/vms", "{\"vms\":7}"},
        {"platform/vms", "\xff"},
    };
    struct rig r;
    bool claims_logged = false;
    CLEANUP(buf_free) struct buf vms = {0};
    rig_open(&r, NULL);
    for (int i = 0; i < 3; i++) {
        rig_start_node(&r, i, "[claims]\nbuckets = 4\n");
    }
    rig_configure(&r);
    for (int i = 0; i < 3; i++) {
        rig_wait_ready(&r, i, 200);
        wait_for_answer(&r, i, true);
    }
    for (size_t k = 0; k < G_N_ELEMENTS(rows); k++) {
        put_odd(&r, rows[k].key, rows[k].value);
        g_usleep(100000);
        for (int i = 0; i < 3; i++) {
            struct background b = {r.nodes[i].port, 0};
            ask(&b);
            g_test_message("%s %s: %d", rows[k].key, rows[k].value, b.status);
            g_assert_cmpint(b.status, ==, 200);
        }
    }
    for (int k = 0; k < CLAIM_RECORDS; k++) {
        CLEANUP_FREE char *key = g_strdup_printf("cf/claims/%d", k);
        put_odd(&r, key, k % 2 ? DEEP : "\x96\x01\xcf\xff\xff\xff\xff");
    }
    for (int i = 0; i < 3; i++) {
        CLEANUP_FREE char *headers =
            g_strdup_printf(RIG_TEAM_HEADER "Idempotency-Key: odd-%d\r\n", i);
        /* Without its record a claim may be refused, but never lost. */
        g_assert_cmpint(proc_http_request(
                            r.nodes[i % 3].port, "POST", "/v1/pipelines/order",
                            headers, STR_LIT("{\"action_id\":\"a\"}"), NULL),
                        !=, 0);
        struct background b = {r.nodes[i % 3].port, 0};
        ask(&b);
        g_assert_cmpint(b.status, ==, 200);
    }
    rig_put_key(&r, "platform/vms", STR_LIT("{\"vms\":[" ODD_VMS "]}"));
    wait_for_answer(&r, 0, false);
    buf_printf(&vms,
               "{\"vms\":[" ODD_VMS ",{\"vm\":\"v1\",\"zone\":\"okha\","
               "\"state\":\"live\",\"endpoints\":[{\"id\":\"enc-1\",\"pool\":"
               "\"enc\",\"url\":\"http://127.0.0.1:%d\"}]}]}",
               r.engine_port);
    rig_put_key(&r, "platform/vms", buf_str(&vms));
    for (int i = 0; i < 3; i++) {
        wait_for_answer(&r, i, true);
    }
    for (int i = 0; i < 3; i++) {
        CLEANUP_FREE char *log = NULL;
        g_assert_true(g_file_get_contents(r.nodes[i].log, &log, NULL, NULL));
        claims_logged |= strstr(log, "event=claim_record_malformed") != NULL;
        g_assert_nonnull(strstr(log, "event=vms_ignored"));
        g_assert_nonnull(strstr(log, "event=document_unreadable doc=config"));
        g_assert_nonnull(strstr(log, "event=document_unreadable doc=roster"));
        g_assert_nonnull(strstr(log, "event=document_unreadable doc=vms"));
        g_assert_cmpint(proc_signal_and_wait(r.nodes[i].pid, SIGTERM), ==, 0);
        r.nodes[i].pid = 0;
    }
    g_assert_true(claims_logged);
    rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    rig_open(&rig, NULL);
    rig_start_node(&rig, 0, "");
    rig_configure(&rig);
    rig_wait_ready(&rig, 0, 200);
    g_test_add_func("/daemon/exit-codes", test_exit_codes);
    g_test_add_func("/daemon/bad-input", test_bad_input);
    g_test_add_func("/daemon/trace-and-secrets", test_trace_and_secrets);
    g_test_add_func("/daemon/action-once", test_action_once);
    g_test_add_func("/daemon/operators", test_operators);
    g_test_add_func("/daemon/drain", test_drain);
    g_test_add_func("/daemon/nodes", test_nodes);
    g_test_add_func("/daemon/odd-documents", test_odd_documents);
    int rc = g_test_run();
    rig_close(&rig);
    return rc;
}
