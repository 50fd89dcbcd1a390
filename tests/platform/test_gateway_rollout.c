/* Guards against roll-outs that do not work between real processes: an order
 * that the nodes do not follow, a bad version that gets more than its share,
 * and old servers that get requests after they were told to stop. */
#include <glib.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "cli/cli.h"
#include "tests/platform/rig_platform.h"
#include "tests/proc.h"

#define CALLERS_PER_NODE 4
#define CALLERS (PR_NODES * CALLERS_PER_NODE)
#define DURATION_S 12
/* Pause of a caller between its requests. */
#define CALLER_PAUSE_US 50000
#define PIECES PR_KEY "Camphorfall-Pieces: 1,8\r\nCamphorfall-Piece-Key: k\r\n"

/* Sends requests until it is told to stop. */
struct caller {
    struct platform_rig *r;
    int node;
    const char *host;
    _Atomic bool stop;
    _Atomic int requests;
    _Atomic int failures; /* responses other than 200 */
};

struct callers {
    struct caller list[CALLERS];
    GThread *threads[CALLERS];
};

static gpointer
send_requests(gpointer p)
{
    struct caller *c = p;
    while (!c->stop) {
        CLEANUP(buf_free) struct buf out = {0};
        int status = platform_rig_send_request(
            c->r, c->node, c->host,
            strcmp(c->host, "stream") == 0 ? PIECES : PR_KEY, &out);
        c->requests++;
        c->failures += status != 200;
        g_usleep(CALLER_PAUSE_US);
    }
    return NULL;
}

static void
start_callers(struct platform_rig *r, struct callers *all, const char *host)
{
    for (int i = 0; i < CALLERS; i++) {
        struct caller *c = &all->list[i];
        *c = (struct caller){.r = r, .node = i % PR_NODES, .host = host};
        all->threads[i] = g_thread_new("caller", send_requests, c);
    }
}

static void
count_requests(const struct callers *all, int *requests, int *failures)
{
    *requests = *failures = 0;
    for (int i = 0; i < CALLERS; i++) {
        *requests += all->list[i].requests;
        *failures += all->list[i].failures;
    }
}

static void
stop_callers(struct callers *all)
{
    for (int i = 0; i < CALLERS; i++) {
        all->list[i].stop = true;
    }
    for (int i = 0; i < CALLERS; i++) {
        g_thread_join(all->threads[i]);
    }
}

static void
open_rig(struct platform_rig *r, int old, int fresh)
{
    platform_rig_open_without_nodes(r);
    r->decides_rollouts = true;
    r->versions[old] = "v1";
    r->versions[fresh] = "v2";
    platform_rig_register_servers(r);
    platform_rig_start_nodes(r);
}

/* Plain responses take long enough for requests to overlap, as a single
 * request at a time goes to the endpoint that is known to be fast. */
static void
slow_desks(struct platform_rig *r)
{
    for (int i = 0; i < 2; i++) {
        platform_rig_post_control(r, r->servers[i].port,
                                  "{\"delay_us\":30000}");
    }
}

static void
write_order(struct platform_rig *r, const char *service)
{
    char *key = g_strdup_printf("op/rollout/%s", service);
    char *text = g_strdup_printf(
        "{\"service\":\"%s\",\"target\":\"v2\",\"durationS\":%d}", service,
        DURATION_S);
    platform_rig_put(r, key, text);
    g_free(key);
    g_free(text);
}

/* Waits until the status is final. @return the time since @p start_us */
static int64_t
wait_for_end(struct platform_rig *r, const char *service, int64_t start_us,
             char state[32])
{
    char *key = g_strdup_printf("status/rollout/%s", service);
    char *record_key = g_strdup_printf("camphorfall/rollout/%s", service);
    CLEANUP(buf_free) struct buf out = {0};
    int64_t at_us = 0;
    g_strlcpy(state, "none", 32);
    while ((at_us = g_get_monotonic_time() - start_us) <
           (DURATION_S + 4) * G_USEC_PER_SEC) {
        if (platform_rig_get(r, key, &out) && out.len > 0) {
            struct str text = buf_str(&out);
            const char *is =
                g_strstr_len(text.ptr, (gssize)text.len, "completed")
                    ? "completed"
                : g_strstr_len(text.ptr, (gssize)text.len, "rolled_back")
                    ? "rolled_back"
                    : "running";
            g_strlcpy(state, is, 32);
            if (strcmp(is, "running") != 0) {
                break;
            }
        }
        g_usleep(10000);
    }
    if (platform_rig_get(r, record_key, &out)) {
        g_test_message("%s after %.2f s: %.*s", state, (double)at_us / 1e6,
                       STR_FMT(buf_str(&out)));
    }
    g_free(key);
    g_free(record_key);
    return at_us;
}

/* The command line shows the roll-out, with its evidence and reason. */
static void
check_command(const struct platform_rig *r, const char *expected)
{
    char *url = g_strdup_printf("http://127.0.0.1:%d", r->ready_port[0]);
    char *argv[] = {"camphorfall", "--node", url, "rollouts", NULL};
    char *text = NULL;
    size_t len = 0;
    FILE *to = open_memstream(&text, &len);
    int rc = cli_run(4, argv, (struct cli_io){stdin, to, to});
    fclose(to);
    g_test_message("%s", text);
    g_assert_cmpint(rc, ==, CLI_DONE);
    g_assert_nonnull(strstr(text, "desk"));
    g_assert_nonnull(strstr(text, "v2"));
    g_assert_nonnull(strstr(text, expected));
    free(text);
    g_free(url);
}

/* The old server is killed at completion. No caller may notice, and it may
 * have no request then. */
static void
test_good(void)
{
    struct platform_rig r;
    struct callers all;
    char state[32];
    int requests;
    int failures;
    open_rig(&r, 0, 1);
    slow_desks(&r);
    start_callers(&r, &all, "check");
    g_usleep(G_USEC_PER_SEC);
    g_assert_cmpint(platform_rig_server_stat(&r, 1, "arrivals"), >, 0);
    int64_t start_us = g_get_monotonic_time();
    write_order(&r, "desk");
    int64_t took_us = wait_for_end(&r, "desk", start_us, state);
    long before = platform_rig_server_stat(&r, 0, "arrivals");
    check_command(&r, "all nodes have moved");
    g_assert_cmpstr(state, ==, "completed");
    g_assert_cmpint(took_us, <=, DURATION_S * G_USEC_PER_SEC);
    g_usleep(200000);
    g_assert_cmpint(platform_rig_server_stat(&r, 0, "arrivals"), ==, before);
    proc_signal_and_wait(r.servers[0].pid, SIGKILL);
    r.servers[0].pid = 0;
    platform_rig_set_server_state(&r, 0, NULL);
    g_usleep(G_USEC_PER_SEC);
    stop_callers(&all);
    count_requests(&all, &requests, &failures);
    g_test_message("%d requests, %d failures", requests, failures);
    g_assert_cmpint(failures, ==, 0);
    g_assert_cmpint(platform_rig_count_ended_nodes(&r), ==, 0);
    platform_rig_close(&r);
}

/* Some responses of the new version are failures: three of ten, or one of ten
 * if a node is killed, so that this is before the decision.
 * @param kill_node -1: none */
static void
check_bad(int kill_node)
{
    struct platform_rig r;
    struct callers all;
    char state[32];
    int before;
    int requests;
    int failures;
    open_rig(&r, 0, 1);
    int64_t start_us = g_get_monotonic_time();
    write_order(&r, "desk");
    g_usleep(G_USEC_PER_SEC); /* The order is known before the first request */
    long arrivals = platform_rig_server_stat(&r, 1, "arrivals");
    platform_rig_post_control(&r, r.servers[1].port,
                              kill_node >= 0 ? "{\"fail_tenths\":1}"
                                             : "{\"fail_tenths\":3}");
    start_callers(&r, &all, "check");
    count_requests(&all, &before, &failures);
    if (kill_node >= 0) {
        g_usleep(G_USEC_PER_SEC / 5);
        proc_signal_and_wait(r.nodes[kill_node].pid, SIGKILL);
        r.nodes[kill_node].pid = 0;
    }
    int64_t took_us = wait_for_end(&r, "desk", start_us, state);
    g_assert_cmpstr(state, ==, "rolled_back");
    g_assert_cmpint(took_us, <=, DURATION_S * G_USEC_PER_SEC);
    long exposed = platform_rig_server_stat(&r, 1, "arrivals") - arrivals;
    g_usleep(G_USEC_PER_SEC);
    long later = platform_rig_server_stat(&r, 1, "arrivals");
    g_usleep(G_USEC_PER_SEC);
    g_assert_cmpint(platform_rig_server_stat(&r, 1, "arrivals"), ==, later);
    /* The bound counts all requests until the deadline. */
    g_usleep((gulong)MAX(
        start_us + DURATION_S * G_USEC_PER_SEC - g_get_monotonic_time(), 0));
    count_requests(&all, &requests, &failures);
    requests -= failures; /* Those to a dead node did not reach the service. */
    g_assert_cmpint(platform_rig_server_stat(&r, 1, "arrivals"), ==, later);
    stop_callers(&all);
    g_test_message("%ld of %d requests exposed", exposed, requests);
    g_assert_cmpfloat((double)exposed, <=, 0.1 * requests + 50);
    platform_rig_close(&r);
}

static void
test_bad(void)
{
    check_bad(-1);
}

static void
test_bad_node_killed(void)
{
    for (int i = 0; i < PR_NODES; i++) {
        check_bad(i);
    }
}

/* Calls of pieces move as well. */
static void
test_stages(void)
{
    struct platform_rig r;
    struct callers all;
    char state[32];
    open_rig(&r, 4, 5);
    start_callers(&r, &all, "stream");
    g_usleep(G_USEC_PER_SEC);
    int64_t start_us = g_get_monotonic_time();
    write_order(&r, "ledger");
    wait_for_end(&r, "ledger", start_us, state);
    g_assert_cmpstr(state, ==, "completed");
    long before = platform_rig_server_stat(&r, 4, "calls");
    g_usleep(G_USEC_PER_SEC);
    g_assert_cmpint(platform_rig_server_stat(&r, 4, "calls"), ==, before);
    stop_callers(&all);
    platform_rig_close(&r);
}

/* Without the bounds in the settings, an order has no effect. */
static void
test_no_bounds(void)
{
    struct platform_rig r;
    struct callers all;
    CLEANUP(buf_free) struct buf out = {0};
    platform_rig_open_without_nodes(&r);
    r.versions[0] = "v1";
    r.versions[1] = "v2";
    platform_rig_register_servers(&r);
    platform_rig_start_nodes(&r);
    write_order(&r, "desk");
    slow_desks(&r);
    g_usleep(G_USEC_PER_SEC);
    start_callers(&r, &all, "check");
    g_usleep(2 * G_USEC_PER_SEC);
    stop_callers(&all);
    g_assert_cmpint(platform_rig_server_stat(&r, 0, "arrivals"), >, 10);
    g_assert_cmpint(platform_rig_server_stat(&r, 1, "arrivals"), >, 10);
    g_assert_false(platform_rig_get(&r, "status/rollout/desk", &out));
    platform_rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/gateway/rollout/good", test_good);
    g_test_add_func("/gateway/rollout/bad", test_bad);
    g_test_add_func("/gateway/rollout/bad-node-killed", test_bad_node_killed);
    g_test_add_func("/gateway/rollout/stages", test_stages);
    g_test_add_func("/gateway/rollout/no-bounds", test_no_bounds);
    return g_test_run();
}
