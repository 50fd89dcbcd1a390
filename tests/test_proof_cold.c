/* COLD with real processes. Guards against more requests at a cold engine,
 * from all nodes together, than it can handle. */
#include <signal.h>

#include "tests/rig_fleet.h"

#define CALLERS 15
/* Answers until the engine is warm; engine[] passes it as an option. */
#define WARM_AFTER 60

static const char *const engine[] = {"--kind",
                                     "encode",
                                     "--cold",
                                     "1",
                                     "--cold-doubles",
                                     "1",
                                     "--warm-after",
                                     G_STRINGIFY(WARM_AFTER),
                                     "--base-us",
                                     "20000",
                                     "--prefill-us",
                                     "0",
                                     "--slots",
                                     "256",
                                     NULL};

static void
fleet(struct rig *r)
{
    rig_open_store_only(r);
    fleet_add_endpoint(r, "fake_engine", "enc", "okha", engine);
    fleet_put_vms(r);
    fleet_start_nodes(r, RIG_NODES, "");
}

static void
wait_until_reported(struct rig *r, bool cold)
{
    for (int i = 0; i < RIG_NODES; i++) {
        WAIT_FOR(fleet_status_number(r, i, "\"cold\":") == cold);
    }
}

/* Five nodes send while an engine starts, and starts again. No call above its
 * capacity is allowed: no call may be under way to a process that is not
 * running yet, and each node knows before the start that the engine is cold.
 */
static void
test_restart(void)
{
    struct rig r;
    fleet(&r);
    struct rig_endpoint *e = &r.endpoints[0];
    struct load *l = load_start(&r, send_embed, CALLERS, RIG_NODES, 4000);
    for (int start = 0; start < 2; start++) {
        WAIT_FOR(fake_get_stat(e->port, "cold") == 0);
        g_test_message("start %d: %d answers, overload %d, at most %d", start,
                       (int)fake_get_stat(e->port, "answers"),
                       (int)fake_get_stat(e->port, "overload"),
                       (int)fake_get_stat(e->port, "overload_max"));
        g_assert_cmpint(fake_get_stat(e->port, "answers"), >=, 60);
        g_assert_cmpint(fake_get_stat(e->port, "overload"), ==, 0);
        if (start == 0) {
            wait_until_reported(&r, false);
            proc_signal_and_wait(e->pid, SIGKILL);
            e->pid = 0;
            wait_until_reported(&r, true);
            fleet_start_endpoint(&r, e);
        }
    }
    g_array_unref(load_stop(l));
    rig_close(&r);
}

/* As above, with an engine that is killed while it is warming up and has more
 * capacity than at its start. Each node has had a refused connection before
 * the engine starts again, since the requests of all callers were refused. */
static void
test_restart_warming(void)
{
    struct rig r;
    fleet(&r);
    struct rig_endpoint *e = &r.endpoints[0];
    struct load *l = load_start(&r, send_embed, CALLERS, RIG_NODES, 2000);
    WAIT_FOR(fake_get_stat(e->port, "bears") >= 8);
    proc_signal_and_wait(e->pid, SIGKILL);
    e->pid = 0;
    /* Credits that were granted before the engine was killed are used up
     * after the first round; the second round meets the closed port. */
    load_wait_round(l);
    load_wait_round(l);
    fleet_start_endpoint(&r, e);
    WAIT_FOR(fake_get_stat(e->port, "cold") == 0);
    g_assert_cmpint(fake_get_stat(e->port, "overload"), ==, 0);
    g_array_unref(load_stop(l));
    rig_close(&r);
}

/* An engine turns cold without notice. Calls above its capacity are
 * allowed if a node sent them before it was notified: they have ended when
 * every node reports the endpoint as cold and the engine's load is within its
 * capacity. No later call may exceed the capacity. */
static void
test_without_notice(void)
{
    struct rig r;
    fleet(&r);
    struct rig_endpoint *e = &r.endpoints[0];
    struct load *l = load_start(&r, send_embed, CALLERS, RIG_NODES, 4000);
    wait_until_reported(&r, false);
    /* The engine stays cold until each node reports it as cold: on a busy
     * machine that may take longer than the engine needs to warm up. */
    fake_send_control(
        e->port, "{\"warm_after\":1000000,\"cold\":true,\"new_start\":true}");
    wait_until_reported(&r, true);
    fake_send_control(e->port, "{\"warm_after\":" G_STRINGIFY(WARM_AFTER) "}");
    WAIT_FOR(fake_get_stat(e->port, "in_flight") <= 2);
    int64_t before = fake_get_stat(e->port, "overload");
    WAIT_FOR(fake_get_stat(e->port, "cold") == 0);
    g_assert_cmpint(fake_get_stat(e->port, "overload"), ==, before);
    g_array_unref(load_stop(l));
    rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/proof/cold/restart", test_restart);
    g_test_add_func("/proof/cold/restart-warming", test_restart_warming);
    g_test_add_func("/proof/cold/without-notice", test_without_notice);
    return g_test_run();
}
