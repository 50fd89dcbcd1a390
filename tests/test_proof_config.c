/* CONFIG and DRAIN with real processes. Guards against accepted changes that
 * are lost or reverted, nodes that keep an old configuration, and planned
 * stops that abort requests. */
#include <signal.h>
#include <string.h>

#include "base/clean.h"
#include "tests/rig_fleet.h"

#define NODES 3
#define EDITS 6
#define APPLY_LIMIT_US (8 * G_USEC_PER_SEC) /* target of the design page */

static const char revision[] = "\"revisions\":{\"config\":";

static int64_t
get_setting(struct rig *r, int node, const char *name)
{
    CLEANUP(buf_free) struct buf out = {0};
    CLEANUP_FREE char *key = g_strdup_printf("\"%s\":", name);
    if (proc_http_request(r->nodes[node].port, "GET", "/admin/show",
                          RIG_OPERATOR_HEADER, STR_LIT(""), &out) != 200) {
        return -1;
    }
    const char *p = strstr(out.ptr, "\"defaults\":");
    p = p ? strstr(p, key) : NULL;
    return p ? g_ascii_strtoll(p + strlen(key), NULL, 10) : -1;
}

/* Returns whether all nodes report the same revision, at least @p least, and
 * both settings. */
static bool
in_force(struct rig *r, int nodes, int64_t least, const int64_t want[2])
{
    int64_t first = fleet_status_number(r, 0, revision);
    for (int i = 0; i < nodes; i++) {
        if (first < least || fleet_status_number(r, i, revision) != first ||
            get_setting(r, i, "deadline_ms") != want[0] ||
            get_setting(r, i, "max_in_flight") != want[1]) {
            return false;
        }
    }
    return true;
}

/* Two operators change different settings at the same time on two nodes, while
 * responses to store writes are lost; both repeat an unconfirmed change with
 * the same id. Then a node starts during an outage of the store, and the
 * outage ends. */
static void
test_config(void)
{
    static const char *const paths[] = {"defaults/deadline_ms",
                                        "defaults/max_in_flight"};
    int64_t accepted[2] = {0};
    struct rig r;
    rig_open_store_only(&r);
    fleet_add_endpoint(&r, "fake_service", "led", "okha", NULL);
    fleet_put_vms(&r);
    fleet_start_nodes(&r, NODES, "");
    fake_send_control(r.kv_port, "{\"lose_answers\":0.4,\"delay_ms\":40}");
    int64_t last = 0;
    for (int n = 0; n < EDITS; n++) {
        bool pending[2] = {true, true};
        gint64 guard = g_get_monotonic_time() + WAIT_LIMIT_US;
        while (pending[0] || pending[1]) {
            pid_t pids[2] = {0};
            for (int who = 0; who < 2; who++) {
                CLEANUP_FREE char *value =
                    g_strdup_printf("%d", (who ? 100 : 4000) + n);
                CLEANUP_FREE char *change = g_strdup_printf("c-%d-%d", who, n);
                const char *command[] = {"set",      paths[who], value,
                                         "--reason", "race",     "--change",
                                         change,     NULL};
                pids[who] = pending[who]
                                ? fleet_start_cli(&r, who, NODES, command)
                                : 0;
            }
            for (int who = 0; who < 2; who++) {
                int rc = pids[who] ? proc_signal_and_wait(pids[who], 0) : 0;
                g_test_message("edit %d of %d: exit code %d", n, who, rc);
                if (pending[who] && rc == 0) {
                    accepted[who] = (who ? 100 : 4000) + n;
                    pending[who] = false;
                }
            }
            g_assert_cmpint(g_get_monotonic_time(), <, guard);
        }
        int64_t now = fleet_status_number(&r, 0, revision);
        g_assert_cmpint(now, >=, last);
        last = now;
    }
    gint64 end = g_get_monotonic_time() + APPLY_LIMIT_US;
    while (!in_force(&r, NODES, last, accepted)) {
        g_assert_cmpint(g_get_monotonic_time(), <, end);
    }
    g_assert_cmpint(fake_get_stat(r.kv_port, "lost"), >, 0);
    last = fleet_status_number(&r, 0, revision);

    fake_send_control(r.kv_port,
                      "{\"lose_answers\":0,\"delay_ms\":0,\"outage\":true}");
    fleet_start_node(&r, NODES, "");
    WAIT_FOR(fleet_status_number(&r, NODES, revision) == last);
    g_assert_true(in_force(&r, NODES + 1, last, accepted));
    fake_send_control(r.kv_port, "{\"outage\":false}");
    rig_wait_ready(&r, NODES, 200);
    for (int i = 0; i <= NODES; i++) {
        WAIT_FOR(fleet_count_alive(&r, i) == NODES + 1);
        g_assert_cmpint(fleet_status_number(&r, i, revision), ==, last);
    }
    g_assert_true(in_force(&r, NODES + 1, last, accepted));
    rig_close(&r);
}

/* All nodes are restarted one after the other under load; the callers skip
 * nodes whose /readyz is not 200. Calls take twice as long as a node waits for
 * the balancer, so that some are running when that wait ends. */
static void
test_drain(void)
{
    static const char *const engine[] = {"--kind", "encode", "--base-us",
                                         "600000", NULL};
    struct rig r;
    rig_open_store_only(&r);
    for (int i = 0; i < 3; i++) {
        fleet_add_endpoint(&r, "fake_engine", "enc", "okha", engine);
    }
    fleet_put_vms(&r);
    fleet_start_nodes(&r, RIG_NODES, "");
    struct load *l = load_start(&r, send_embed, 10, RIG_NODES, 5000);
    load_skip_unready(l);
    for (int i = 0; i < RIG_NODES; i++) {
        load_wait_answers(l, 15);
        g_assert_cmpint(proc_signal_and_wait(r.nodes[i].pid, SIGTERM), ==, 0);
        r.nodes[i].pid = 0;
        fleet_start_node(&r, i, "");
        rig_wait_ready(&r, i, 200);
    }
    load_wait_answers(l, 15);
    GArray *all = load_stop(l);
    for (guint i = 0; i < all->len; i++) {
        struct outcome *o = &g_array_index(all, struct outcome, i);
        g_test_message("%s at node %d: %d %s", o->name, o->node, o->status,
                       o->kind);
        g_assert_cmpint(o->status, !=, 0);
        g_assert_cmpstr(o->kind, !=, "not_ready");
    }
    g_array_unref(all);
    rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/proof/config", test_config);
    g_test_add_func("/proof/drain", test_drain);
    return g_test_run();
}
