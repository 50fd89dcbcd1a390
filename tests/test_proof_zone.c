/* ZONE_OUT and LEAVING with real processes. Guards against new requests
 * to a zone that is out of service or to an endpoint that is leaving, later
 * than 3 s after the command returned or the endpoint was reported as leaving.
 */
#include <signal.h>

#include "tests/rig_fleet.h"

#define TARGET_US (3 * G_USEC_PER_SEC) /* target of the design page */
#define PAUSED_NODE (RIG_NODES - 1)

static const char *const engine[] = {"--kind", "encode", NULL};

static void
fleet(struct rig *r)
{
    static const char *const zones[] = {"mandvi", "mandvi", "okha", "veraval"};
    rig_open_store_only(r);
    for (int i = 0; i < 4; i++) {
        fleet_add_endpoint(r, "fake_engine", "enc", zones[i], engine);
    }
    fleet_put_vms(r);
    fleet_start_nodes(r, RIG_NODES, "");
}

static int64_t
count_requests(struct rig *r)
{
    return fake_get_stat(r->endpoints[0].port, "requests") +
           fake_get_stat(r->endpoints[1].port, "requests");
}

static int
zone(struct rig *r, const char *where)
{
    const char *command[] = {"zone",     where,  "mandvi",
                             "--reason", "test", NULL};
    return proc_signal_and_wait(fleet_start_cli(r, 0, PAUSED_NODE, command),
                                0);
}

/* Runs the command under load, then also with a slow store, and with a node
 * that is stopped before the command and resumed after the target time. */
static void
test_zone_out(void)
{
    static const struct {
        const char *kv;
        bool pause;
    } rows[] = {{"{}", false}, {"{\"delay_ms\":300}", false}, {"{}", true}};
    struct rig r;
    fleet(&r);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct load *l = load_start(&r, send_embed, 12, PAUSED_NODE, 4000);
        int64_t before = count_requests(&r);
        WAIT_FOR(count_requests(&r) >= before + 50);
        for (int k = 0; k < 5; k++) {
            WAIT_FOR(send_embed(&r, PAUSED_NODE, "paused", 4000).correct);
        }
        fake_send_control(r.kv_port, rows[i].kv);
        if (rows[i].pause) {
            kill(r.nodes[PAUSED_NODE].pid, SIGSTOP);
        }
        g_assert_cmpint(zone(&r, "out"), ==, 0);
        g_usleep(TARGET_US);
        int64_t out = count_requests(&r);
        load_wait_answers(l, 150);
        if (rows[i].pause) {
            kill(r.nodes[PAUSED_NODE].pid, SIGCONT);
        }
        for (int k = 0; k < 20; k++) {
            WAIT_FOR(send_embed(&r, PAUSED_NODE, "resumed", 4000).correct);
        }
        g_assert_cmpint(count_requests(&r), ==, out);
        fake_send_control(r.kv_port, "{\"delay_ms\":0}");
        g_assert_cmpint(zone(&r, "in"), ==, 0);
        g_array_unref(load_stop(l));
    }
    rig_close(&r);
}

/* One VM is listed as leaving; one engine sends X-Leaving in its responses. */
static void
test_leaving(void)
{
    struct rig r;
    fleet(&r);
    struct load *l = load_start(&r, send_embed, 12, RIG_NODES, 4000);
    for (int i = 0; i < 2; i++) {
        struct rig_endpoint *e = &r.endpoints[i];
        WAIT_FOR(fake_get_stat(e->port, "requests") >= 50);
        if (i == 0) {
            e->leaving = true;
            fleet_put_vms(&r);
        }
        else {
            fake_send_control(e->port, "{\"leaving\":true}");
            WAIT_FOR(fake_get_stat(e->port, "while_leaving") > 0);
        }
        g_usleep(TARGET_US);
        int64_t before = fake_get_stat(e->port, "requests");
        load_wait_answers(l, 150);
        g_assert_cmpint(fake_get_stat(e->port, "requests"), ==, before);
    }
    g_array_unref(load_stop(l));
    rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/proof/zone-out", test_zone_out);
    g_test_add_func("/proof/leaving", test_leaving);
    return g_test_run();
}
