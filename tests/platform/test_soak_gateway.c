/* Soak test of the forwarding daemon: processes on loopback with random
 * injected faults. Nodes are stopped, paused, killed and restarted; proxies
 * inject faults between nodes and servers or the store; callers keep sending
 * requests. Guards against actions that run more than once or run although
 * they were refused, streams that are incomplete or out of order, answers that
 * are cut while all servers are sound, and removed credentials that still
 * work. Silent servers hold all work for a time and go on; they are sound.
 *
 * SOAK_SEED=N runs one seed, SOAK_SEEDS=N the first N seeds, SOAK_STEPS=N sets
 * the number of faults per seed.
 */
#include <glib.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "tests/platform/proxy.h"
#include "tests/platform/rig_platform.h"
#include "tests/proc.h"

#define CALLERS 6
#define STEPS 25
#define STEP_US 120000
/* Faults that leave the servers sound, after the others are cleared. */
#define SOUND_STEPS 12
#define SOUND_STEP_US 250000
#define SILENCE_MIN_US 800000
#define SILENCE_MAX_US 1800000
/* Between two silences of a server. */
#define SILENCE_REST_US 2000000
#define STREAM_TIMEOUT_US 5000000
#define PIECES PR_KEY "Camphorfall-Pieces: 1,8\r\nCamphorfall-Piece-Key: k\r\n"
/* Seeds that failed once, each with a line on the cause. */
static const uint64_t regressions[] = {
    1, 2, /* streams of servers that were silent for a second were cut */
};

struct soak {
    struct platform_rig rig;
    struct proxy *servers[PR_SERVERS];
    struct proxy *store;
    struct rng rng;
    bool paused[PR_NODES];
    int64_t silent_until_us[PR_SERVERS];
    /* INT64_MAX while a server or the node may be out of order. */
    _Atomic int64_t servers_sound_from_us;
    _Atomic int64_t node_sound_from_us[PR_NODES];
    _Atomic int cut;
    _Atomic int stop;
    _Atomic int request_count;
    _Atomic int served;
    _Atomic int incomplete_streams; /* incomplete streams */
};

static const char complete_stream[] =
    "id: 0\ndata: e0\n\nid: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
    "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\nid: 5\ndata: e5\n\n";

struct caller {
    struct soak *s;
    int index;
};

static void
check_response(struct soak *s, const char *host, int status,
               const struct buf *out)
{
    if (status != 200) {
        return;
    }
    atomic_fetch_add(&s->served, 1);
    if (strcmp(host, "stream") == 0 &&
        g_strcmp0(out->ptr, complete_stream) != 0) {
        g_test_message("a stream is incomplete: %s", out->ptr);
        atomic_fetch_add(&s->incomplete_streams, 1);
    }
}

/* Counts answers that ended early or did not come although the servers and the
 * node were sound all the while. */
static void
check_cut(struct soak *s, int node, const char *host, int64_t begin_us)
{
    int64_t took_us = g_get_monotonic_time() - begin_us;
    if (begin_us > atomic_load(&s->servers_sound_from_us) &&
        begin_us > atomic_load(&s->node_sound_from_us[node]) &&
        took_us < STREAM_TIMEOUT_US) {
        g_test_message("%s at node %d: no whole answer after %d ms", host,
                       node, (int)(took_us / 1000));
        atomic_fetch_add(&s->cut, 1);
    }
}

/* Sends requests to the nodes in turn. One request in four is an action; the
 * servers are queried about its id at the end. */
static gpointer
run_caller(gpointer p)
{
    static const char *const hosts[] = {"action", "check", "stream", "check"};
    struct caller *c = p;
    struct soak *s = c->s;
    for (int i = c->index; !atomic_load(&s->stop); i++) {
        struct buf out = {0};
        const char *host = hosts[i % 4];
        int64_t begin_us = g_get_monotonic_time();
        int status = platform_rig_send_request(
            &s->rig, i % PR_NODES, host,
            strcmp(host, "stream") == 0 ? PIECES : PR_KEY, &out);
        atomic_fetch_add(&s->request_count, 1);
        check_response(s, host, status, &out);
        if (status == 0) {
            check_cut(s, i % PR_NODES, host, begin_us);
        }
        buf_free(&out);
        g_usleep(8000);
    }
    return NULL;
}

static void
resume(struct soak *s, int n)
{
    if (s->paused[n]) {
        kill(s->rig.nodes[n].pid, SIGCONT);
        s->paused[n] = false;
    }
}

/* Ends a node with a signal and starts it again. */
static void
restart(struct soak *s, int n, int sig)
{
    struct rig_process *p = &s->rig.nodes[n];
    atomic_store(&s->node_sound_from_us[n], INT64_MAX);
    resume(s, n);
    proc_signal_and_wait(p->pid, sig);
    p->pid = 0;
    platform_rig_start_node(&s->rig, n);
}

/* Lets one server or all fall silent at the same moment. */
static void
silence(struct soak *s)
{
    bool all = rng_below(&s->rng, 3) == 0;
    int one = (int)rng_below(&s->rng, PR_SERVERS);
    int64_t silent_us =
        SILENCE_MIN_US +
        (int64_t)rng_below(&s->rng, SILENCE_MAX_US - SILENCE_MIN_US + 1);
    int64_t from_us = g_get_monotonic_time() + 50000;
    for (int i = 0; i < PR_SERVERS; i++) {
        if ((all || i == one) &&
            from_us > s->silent_until_us[i] + SILENCE_REST_US) {
            char *text =
                g_strdup_printf("{\"silent_us\":%" G_GINT64_FORMAT
                                ",\"silent_from_us\":%" G_GINT64_FORMAT "}",
                                (gint64)silent_us, (gint64)from_us);
            platform_rig_post_control(&s->rig, s->rig.servers[i].port, text);
            g_free(text);
            s->silent_until_us[i] = from_us + silent_us;
        }
    }
}

static void
fault(struct soak *s)
{
    int n = (int)rng_below(&s->rng, PR_NODES);
    int e = (int)rng_below(&s->rng, PR_SERVERS);
    enum proxy_fault f = (enum proxy_fault)rng_below(&s->rng, PROXY_FAULTS);
    struct platform_rig *r = &s->rig;
    int kind = (int)rng_below(&s->rng, 13);
    if (kind >= 6 && kind != 10) {
        atomic_store(&s->servers_sound_from_us, INT64_MAX);
    }
    switch (kind) {
    case 0:
        restart(s, n, SIGKILL);
        break;
    case 1:
        restart(s, n, SIGTERM);
        break;
    case 2:
        if (s->paused[n]) {
            resume(s, n);
        }
        else {
            atomic_store(&s->node_sound_from_us[n], INT64_MAX);
            kill(r->nodes[n].pid, SIGSTOP);
            s->paused[n] = true;
        }
        break;
    case 3:
        kill(r->nodes[n].pid, SIGHUP);
        break;
    case 4:
        proxy_set_fault(s->store, f);
        break;
    case 5:
        proxy_reset_connections(s->store);
        break;
    case 6:
        proxy_reset_connections(s->servers[e]);
        break;
    case 7:
        platform_rig_post_control(r, r->servers[e].port, "{\"drop_after\":2}");
        break;
    case 8:
        platform_rig_post_control(r, r->servers[e].port, "{\"shed\":3}");
        break;
    case 9:
        platform_rig_post_control(r, r->servers[e].port, "{\"break_at\":3}");
        break;
    case 10:
        silence(s);
        break;
    default:
        proxy_set_fault(s->servers[e], f);
        break;
    }
}

static void
fault_with_sound_servers(struct soak *s)
{
    int n = (int)rng_below(&s->rng, PR_NODES);
    switch (rng_below(&s->rng, 6)) {
    case 0:
        restart(s, n, rng_below(&s->rng, 2) ? SIGTERM : SIGKILL);
        platform_rig_wait_readiness(&s->rig, n, 200);
        atomic_store(&s->node_sound_from_us[n], g_get_monotonic_time());
        break;
    case 1:
        kill(s->rig.nodes[n].pid, SIGHUP);
        break;
    case 2:
        proxy_reset_connections(s->store);
        break;
    default:
        silence(s);
        break;
    }
}

static void
clear_faults(struct soak *s)
{
    proxy_set_fault(s->store, PROXY_PASS);
    proxy_reset_connections(s->store);
    for (int i = 0; i < PR_SERVERS; i++) {
        proxy_set_fault(s->servers[i], PROXY_PASS);
        proxy_reset_connections(s->servers[i]);
        platform_rig_post_control(
            &s->rig, s->rig.servers[i].port,
            "{\"drop_after\":0,\"shed\":0,\"break_at\":-1}");
    }
    for (int i = 0; i < PR_NODES; i++) {
        resume(s, i);
        platform_rig_wait_readiness(&s->rig, i, 200);
        atomic_store(&s->node_sound_from_us[i], g_get_monotonic_time());
    }
    atomic_store(&s->servers_sound_from_us, g_get_monotonic_time());
}

static void
open_soak(struct soak *s, uint64_t seed)
{
    memset(s, 0, sizeof(*s));
    rng_seed(&s->rng, seed);
    platform_rig_open_without_nodes(&s->rig);
    for (int i = 0; i < PR_SERVERS; i++) {
        s->servers[i] = proxy_new(s->rig.servers[i].port);
        platform_rig_post_control(&s->rig, s->rig.servers[i].port,
                                  "{\"event_gap_us\":50000}");
        platform_rig_register_server_at(&s->rig, i, "ready",
                                        proxy_port(s->servers[i]));
    }
    s->store = proxy_new(s->rig.store.port);
    s->rig.store_port = proxy_port(s->store);
    platform_rig_start_nodes(&s->rig);
}

static void
close_soak(struct soak *s)
{
    platform_rig_close(&s->rig);
    for (int i = 0; i < PR_SERVERS; i++) {
        proxy_free(s->servers[i]);
    }
    proxy_free(s->store);
}

/* Checks that no guarantee was violated and that nodes still follow the
 * store. */
static void
check_end(struct soak *s, uint64_t seed)
{
    struct buf out = {0};
    long protocol_errors = 0;
    for (int i = 0; i < PR_SERVERS; i++) {
        protocol_errors += platform_rig_server_stat(&s->rig, i, "bad");
    }
    g_test_message("seed %llu: requests %d served %d bad %ld",
                   (unsigned long long)seed, s->request_count, s->served,
                   protocol_errors);
    g_assert_cmpint(s->incomplete_streams, ==, 0);
    g_assert_cmpint(s->cut, ==, 0);
    g_assert_cmpint(protocol_errors, ==, 0);
    g_assert_cmpint(platform_rig_count_violations(&s->rig), ==, 0);
    platform_rig_set_credentials(&s->rig, "\"key-2\"");
    for (int n = 0; n < PR_NODES; n++) {
        int status = 200;
        for (int i = 0; i < 400 && status != 401; i++) {
            buf_clear(&out);
            status =
                platform_rig_send_request(&s->rig, n, "check", PR_KEY, &out);
            g_usleep(20000);
        }
        g_assert_cmpint(status, ==, 401);
    }
    buf_free(&out);
}

static void
run_seed(uint64_t seed)
{
    struct soak s;
    struct caller callers[CALLERS];
    GThread *threads[CALLERS];
    const char *steps = g_getenv("SOAK_STEPS");
    open_soak(&s, seed);
    for (int i = 0; i < CALLERS; i++) {
        callers[i] = (struct caller){&s, i};
        threads[i] = g_thread_new("caller", run_caller, &callers[i]);
    }
    for (int i = 0; i < (steps ? atoi(steps) : STEPS); i++) {
        g_usleep(STEP_US);
        fault(&s);
    }
    clear_faults(&s);
    for (int i = 0; i < SOUND_STEPS; i++) {
        g_usleep(SOUND_STEP_US);
        fault_with_sound_servers(&s);
    }
    g_usleep(STEP_US);
    atomic_store(&s.stop, 1);
    for (int i = 0; i < CALLERS; i++) {
        g_thread_join(threads[i]);
    }
    check_end(&s, seed);
    close_soak(&s);
}

static void
test_soak(void)
{
    const char *one = g_getenv("SOAK_SEED");
    const char *many = g_getenv("SOAK_SEEDS");
    if (one) {
        run_seed(g_ascii_strtoull(one, NULL, 10));
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(regressions); i++) {
        run_seed(regressions[i]);
    }
    for (int i = 2; many && i <= atoi(many); i++) {
        run_seed((uint64_t)i);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/soak/gateway", test_soak);
    return g_test_run();
}
