/* Runs processes of the forwarding daemon against stand-ins of the platform.
 * Guards against actions that run twice, broken streams that look complete,
 * removed credentials that still work, servers that receive requests after
 * they started draining, and requests that are aborted by a planned stop. */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "tests/platform/rig_platform.h"
#include "tests/proc.h"

#define PIECES PR_KEY "Camphorfall-Pieces: 1,8\r\nCamphorfall-Piece-Key: k\r\n"

static int
ask(struct platform_rig *r, int node, const char *host, const char *headers)
{
    struct buf out = {0};
    int status = platform_rig_send_request(r, node, host, headers, &out);
    buf_free(&out);
    return status;
}

/* Repeats a request until it gets this status. */
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

static void
test_forward(void)
{
    struct platform_rig r;
    struct buf out = {0};
    platform_rig_open(&r);
    for (int n = 0; n < PR_NODES; n++) {
        g_assert_cmpint(
            platform_rig_send_request(&r, n, "action", PR_KEY, &out), ==, 200);
        g_assert_nonnull(strstr(out.ptr, "to body"));
        buf_clear(&out);
        g_assert_cmpint(
            platform_rig_send_request(&r, n, "stream", PIECES, &out), ==, 200);
        g_assert_cmpstr(out.ptr, ==,
                        "id: 0\ndata: e0\n\nid: 1\ndata: e1\n\n"
                        "id: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
                        "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\n");
        buf_clear(&out);
    }
    g_assert_cmpint(ask(&r, 0, "nowhere", PR_KEY), ==, 404);
    g_assert_cmpint(ask(&r, 0, "check", "Camphorfall-Key: other\r\n"), ==,
                    401);
    /* Nine pieces for each of three requests, all released; the pieces of a
     * slow call may be computed twice. */
    long pieces = platform_rig_server_stat(&r, 4, "pieces") +
                  platform_rig_server_stat(&r, 5, "pieces");
    g_assert_cmpint(pieces, >=, 27);
    for (int i = 0; i < PR_SERVERS; i++) {
        g_assert_cmpint(platform_rig_server_stat(&r, i, "bad"), ==, 0);
    }
    for (int i = 0;
         i < 400 && platform_rig_server_stat(&r, 4, "held") +
                            platform_rig_server_stat(&r, 5, "held") >
                        0;
         i++) {
        g_usleep(10000);
    }
    g_assert_cmpint(platform_rig_server_stat(&r, 4, "held"), ==, 0);
    g_assert_cmpint(platform_rig_server_stat(&r, 5, "held"), ==, 0);
    buf_free(&out);
    platform_rig_close(&r);
}

static void
test_faults(void)
{
    struct platform_rig r;
    struct buf out = {0};
    platform_rig_open(&r);
    /* One server rejects the request: the other runs it. */
    platform_rig_post_control(&r, r.servers[0].port, "{\"shed\":1}");
    platform_rig_post_control(&r, r.servers[1].port, "{\"shed\":0}");
    g_assert_cmpint(ask(&r, 0, "action", PR_KEY), ==, 200);
    /* The request runs, but its response is lost: an action gets an error, a
     * check is retried. */
    platform_rig_post_control(&r, r.servers[0].port, "{\"drop_after\":1}");
    platform_rig_post_control(&r, r.servers[1].port, "{\"drop_after\":1}");
    g_assert_cmpint(ask(&r, 0, "action", PR_KEY), ==, 502);
    platform_rig_post_control(&r, r.servers[0].port, "{\"drop_after\":0}");
    platform_rig_post_control(&r, r.servers[1].port, "{\"drop_after\":0}");
    platform_rig_post_control(&r, r.servers[0].port, "{\"drop_after\":1}");
    g_assert_cmpint(ask(&r, 0, "check", PR_KEY), ==, 200);
    /* A stream that breaks is resumed at the other server. */
    platform_rig_post_control(&r, r.servers[2].port, "{\"break_at\":2}");
    platform_rig_post_control(&r, r.servers[3].port, "{\"break_at\":-1}");
    for (int i = 0; i < 2; i++) {
        buf_clear(&out);
        g_assert_cmpint(
            platform_rig_send_request(&r, 1, "stream", PIECES, &out), ==, 200);
        g_assert_true(g_str_has_suffix(out.ptr, "data: e5\n\n"));
        g_assert_cmpuint(out.len, ==, 6 * strlen("id: 0\ndata: e0\n\n"));
    }
    g_assert_cmpint(platform_rig_count_violations(&r), ==, 0);
    /* A dead server that is still in the store. */
    proc_signal_and_wait(r.servers[0].pid, SIGKILL);
    r.servers[0].pid = 0;
    for (int i = 0; i < 6; i++) {
        g_assert_cmpint(ask(&r, i % PR_NODES, "action", PR_KEY), ==, 200);
    }
    buf_free(&out);
    platform_rig_close(&r);
}

static void
test_operator(void)
{
    struct platform_rig r;
    platform_rig_open(&r);
    /* A removed credential stops working at all nodes. */
    g_assert_cmpint(ask(&r, 2, "check", "Camphorfall-Key: key-2\r\n"), ==,
                    200);
    platform_rig_set_credentials(&r, "\"key-1\"");
    for (int n = 0; n < PR_NODES; n++) {
        wait_for_status(&r, n, "check", "Camphorfall-Key: key-2\r\n", 401);
    }
    /* A draining server receives no more requests. */
    platform_rig_set_server_state(&r, 0, "draining");
    for (int k = 0; k < 4; k++) {
        g_usleep(300000);
        ask(&r, k % PR_NODES, "check", PR_KEY);
    }
    long before = platform_rig_server_stat(&r, 0, "runs");
    for (int i = 0; i < 9; i++) {
        g_assert_cmpint(ask(&r, i % PR_NODES, "action", PR_KEY), ==, 200);
    }
    g_assert_cmpint(platform_rig_server_stat(&r, 0, "runs"), ==, before);
    /* Without the store, nodes soon stop accepting credentials; when it
     * returns, they accept them again. */
    platform_rig_post_control(&r, r.store.port, "{\"mode\":\"busy\"}");
    wait_for_status(&r, 0, "check", PR_KEY, 503);
    platform_rig_wait_readiness(&r, 0, 503);
    platform_rig_post_control(&r, r.store.port, "{\"mode\":\"ok\"}");
    wait_for_status(&r, 0, "check", PR_KEY, 200);
    platform_rig_wait_readiness(&r, 0, 200);
    platform_rig_close(&r);
}

/* Runs tools/run_explain.sh for a request id on the nodes' logs. */
static char *
run_explain(const struct platform_rig *r, const char *id)
{
    char *out = NULL;
    int rc = 0;
    char *command =
        g_strdup_printf("tools/explain.sh %s %s %s %s", id, r->nodes[0].log,
                        r->nodes[1].log, r->nodes[2].log);
    g_assert_true(g_spawn_command_line_sync(command, &out, NULL, &rc, NULL));
    g_assert_cmpint(rc, ==, 0);
    g_free(command);
    return out;
}

/* Guards against logs that do not lead from a request id to the cause of its
 * failure as docs/OPERATIONS.md describes. */
static void
test_explain(void)
{
    struct platform_rig r;
    struct buf out = {0};
    platform_rig_open(&r);
    platform_rig_post_control(&r, r.servers[0].port, "{\"drop_after\":1}");
    platform_rig_post_control(&r, r.servers[1].port, "{\"drop_after\":1}");
    g_assert_cmpint(platform_rig_send_request(&r, 1, "action", PR_KEY, &out),
                    ==, 502);
    const struct rig_action *a =
        g_ptr_array_index(r.actions, r.actions->len - 1);
    char *text = run_explain(&r, a->id);
    g_assert_nonnull(strstr(text, "event=call_broken"));
    g_assert_nonnull(strstr(text, "event=failed"));
    g_assert_nonnull(strstr(text, "maybe_ran=1"));
    g_free(text);
    for (int i = 0; i < 2; i++) {
        proc_signal_and_wait(r.servers[i].pid, SIGKILL);
        r.servers[i].pid = 0;
    }
    buf_clear(&out);
    g_assert_cmpint(platform_rig_send_request(&r, 2, "action", PR_KEY, &out),
                    ==, 503);
    a = g_ptr_array_index(r.actions, r.actions->len - 1);
    text = run_explain(&r, a->id);
    g_assert_nonnull(strstr(text, "event=call_not_run"));
    g_assert_nonnull(strstr(text, "event=refused"));
    g_assert_nonnull(strstr(text, "-- endpoint=desk-"));
    g_free(text);
    buf_free(&out);
    platform_rig_close(&r);
}

/* Sends requests to node 0 until server 0 gets one. @return the number that
 * arrived there in the 40 requests after that */
static long
arrivals_after_first(struct platform_rig *r)
{
    long before = platform_rig_server_stat(r, 0, "arrivals");
    for (int i = 0; i < 400; i++) {
        g_assert_cmpint(ask(r, 0, "check", PR_KEY), ==, 200);
        if (platform_rig_server_stat(r, 0, "arrivals") > before) {
            break;
        }
    }
    before = platform_rig_server_stat(r, 0, "arrivals");
    for (int i = 0; i < 40; i++) {
        g_assert_cmpint(ask(r, 0, "check", PR_KEY), ==, 200);
    }
    return platform_rig_server_stat(r, 0, "arrivals") - before;
}

/* Guards against servers that get requests although a response of theirs has
 * asked for none, for a time or for good. */
static void
test_server_headers(void)
{
    struct platform_rig r;
    platform_rig_open(&r);
    platform_rig_post_control(&r, r.servers[0].port,
                              "{\"shed\":1,\"retry_after_s\":60}");
    g_assert_cmpint(arrivals_after_first(&r), ==, 0);
    platform_rig_close(&r);
    platform_rig_open(&r);
    platform_rig_post_control(&r, r.servers[0].port, "{\"leaving\":1}");
    g_assert_cmpint(arrivals_after_first(&r), ==, 0);
    platform_rig_close(&r);
}

/* Guards against a prompt part that crashes servers at each node in turn, and
 * against requests that are refused since they share another part with it. */
static void
test_crashing_part(void)
{
    static const char deadly[] =
        PR_KEY "Camphorfall-Pieces: 0,0\r\n"
               "Camphorfall-Prompt-Prefix: 309:100,29a:10,1:10\r\n";
    static const char sound[] =
        PR_KEY "Camphorfall-Pieces: 0,0\r\n"
               "Camphorfall-Prompt-Prefix: 309:100,2:10\r\n";
    static const char crash_on_part[] = "{\"crash_part\":666}";
    struct platform_rig r;
    platform_rig_open(&r);
    for (int i = 2; i < 4; i++) {
        platform_rig_post_control(&r, r.servers[i].port, crash_on_part);
    }
    int status = ask(&r, 0, "stream", deadly);
    g_assert_true(status == 502 || status == 503);
    for (int i = 2; i < 4; i++) {
        platform_rig_restart_server(&r, i);
        platform_rig_post_control(&r, r.servers[i].port, crash_on_part);
    }
    g_usleep(1500000);
    for (int n = 0; n < PR_NODES; n++) {
        g_assert_cmpint(ask(&r, n, "stream", deadly), ==, 503);
        wait_for_status(&r, n, "stream", sound, 200);
        g_assert_cmpint(ask(&r, n, "stream", deadly), ==, 503);
    }
    for (int i = 2; i < 4; i++) {
        g_assert_cmpint(platform_rig_server_stat(&r, i, "bad"), ==, 0);
    }
    platform_rig_close(&r);
}

struct slow_request {
    struct platform_rig *r;
    int status;
};

static gpointer
send_slow_request(gpointer p)
{
    struct slow_request *s = p;
    s->status = ask(s->r, 0, "action", PR_KEY);
    return NULL;
}

static void
test_stop(void)
{
    struct platform_rig r;
    platform_rig_open(&r);
    platform_rig_post_control(&r, r.servers[0].port, "{\"delay_us\":600000}");
    platform_rig_post_control(&r, r.servers[1].port, "{\"delay_us\":600000}");
    struct slow_request s = {&r, 0};
    long before = platform_rig_server_stat(&r, 0, "runs") +
                  platform_rig_server_stat(&r, 1, "runs");
    GThread *t = g_thread_new("ask", send_slow_request, &s);
    while (platform_rig_server_stat(&r, 0, "runs") +
               platform_rig_server_stat(&r, 1, "runs") ==
           before) {
        g_usleep(5000);
    }
    kill(r.nodes[0].pid, SIGTERM);
    platform_rig_wait_readiness(&r, 0, 503);
    g_thread_join(t);
    g_assert_cmpint(s.status, ==, 200);
    g_assert_cmpint(proc_signal_and_wait(r.nodes[0].pid, 0), ==, 0);
    r.nodes[0].pid = 0;
    /* The other nodes continue to serve, and a restarted node joins again. */
    g_assert_cmpint(ask(&r, 1, "check", PR_KEY), ==, 200);
    platform_rig_start_node(&r, 0);
    platform_rig_wait_readiness(&r, 0, 200);
    g_assert_cmpint(ask(&r, 0, "stream", PIECES), ==, 200);
    platform_rig_close(&r);
}

/* Guards against a process that crashes without logging where: its log would
 * just end. */
static void
test_crash(void)
{
    struct platform_rig r;
    char *text = NULL;
    platform_rig_open(&r);
    g_assert_cmpint(ask(&r, 1, "check", PR_KEY), ==, 200);
    kill(r.nodes[1].pid, SIGSEGV);
    for (int i = 0; i < 500; i++) {
        g_free(text);
        g_assert_true(g_file_get_contents(r.nodes[1].log, &text, NULL, NULL));
        if (strstr(text, "camphorfall-gateway(")) {
            break;
        }
        g_usleep(10000);
    }
    const char *at = strstr(text, "event=crash signal=11 thread=");
    g_assert_nonnull(at);
    g_assert_nonnull(strstr(at, " last_event="));
    g_assert_nonnull(strstr(at, "camphorfall-gateway("));
    g_free(text);
    proc_signal_and_wait(r.nodes[1].pid, SIGKILL);
    r.nodes[1].pid = 0;
    platform_rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/gateway/forward", test_forward);
    g_test_add_func("/gateway/faults", test_faults);
    g_test_add_func("/gateway/operator", test_operator);
    g_test_add_func("/gateway/explain", test_explain);
    g_test_add_func("/gateway/server-headers", test_server_headers);
    g_test_add_func("/gateway/crashing-part", test_crashing_part);
    g_test_add_func("/gateway/stop", test_stop);
    g_test_add_func("/gateway/crash", test_crash);
    return g_test_run();
}
