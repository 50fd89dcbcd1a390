#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <zmq.h>

#include "base/crash.h"
#include "base/log.h"
#include "daemon/gateway.h"
#include "edge/loop.h"

#define MS 1000LL
#define RING_CAPACITY 256
#define POLL_US (20 * MS)
/* The removal of a credential must take effect within the operator's bound,
 * revoke_ms. Credentials are trusted while the last contact with the store is
 * younger than this share of the bound. All changes acknowledged before that
 * contact are known, so a request accepted in this time was sent within the
 * bound. The rest of the bound covers clock differences. */
#define MAX_STORE_AGE_SHARE 0.95

enum { EXIT_RUNTIME = 1, EXIT_USAGE = 2, EXIT_SETTINGS = 3 };

static const char usage[] =
    "Usage: camphorfall-gateway FILE           run a forwarding node\n"
    "       camphorfall-gateway --check FILE   only check the settings\n"
    "       camphorfall-gateway --help\n"
    "\n"
    "Without FILE the environment variable CAMPHORFALL_CONFIG names it.\n"
    "SIGHUP reads the settings again. SIGTERM or SIGINT: readiness fails at\n"
    "once; open requests finish within [stop] limit_s.\n"
    "\n"
    "Exit codes: 0 graceful end or settings in order, 1 runtime failure,\n"
    "2 wrong usage, 3 settings faulty.\n";

struct gateway {
    struct gateway_settings settings;
    struct gateway_shared shared;
    struct bridge *to_traffic;
    struct bridge *from_traffic;
    struct bridge *wake;
    struct gateway_control *control;
    struct gateway_traffic *traffic;
};

int64_t
gateway_now_us(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return ts.tv_sec * 1000000LL + ts.tv_nsec / 1000;
}

int64_t
gateway_to_loop_time(int64_t at_us)
{
    if (at_us == INT64_MAX) {
        return at_us;
    }
    return loop_now_us() + (at_us - gateway_now_us());
}

struct forward_options
gateway_forward_options(const struct gateway_settings *s, uint64_t seed)
{
    return (struct forward_options){
        .node = s->name,
        .zone = s->zone,
        .repeats = {s->repeat_ratio, s->repeat_slack,
                    s->repeat_window_ms * MS},
        .max_store_age_us =
            (int64_t)(MAX_STORE_AGE_SHARE * (double)s->revoke_ms * 1000),
        .max_buffered_bytes = gateway_caller_budget(s).buffered_bytes,
        .seed = seed};
}

struct caller_budget
gateway_caller_budget(const struct gateway_settings *s)
{
    return caller_budget_new(
        &(struct caller_budget_limits){.memory_mb = s->memory_mb,
                                       .files = s->files,
                                       .max_connections = s->max_connections,
                                       .max_header_bytes = s->max_header_bytes,
                                       .threads = 1});
}

static enum log_level
parse_log_level(struct str name)
{
    static const char *const names[] = {"debug", "info", "warn", "error"};
    for (int i = 0; i < 4; i++) {
        if (str_eq_cstr(name, names[i])) {
            return (enum log_level)i;
        }
    }
    return LOG_INFO;
}

static void
set_phase(struct gateway *g, enum gateway_phase phase)
{
    atomic_store(&g->shared.phase, phase);
    bridge_wake(g->to_traffic);
    bridge_wake(g->wake);
}

static enum status
start(struct gateway *g, const char *path)
{
    struct gateway_shared *sh = &g->shared;
    sh->settings = &g->settings;
    sh->settings_path = path;
    sh->seed = g->settings.seed;
    if (!sh->seed) {
        randombytes_buf(&sh->seed, sizeof(sh->seed));
    }
    /* Other nodes read the public key from the registration in the store. */
    if (zmq_curve_keypair(sh->link_public, sh->link_secret) != 0) {
        return err_set(ST_INTERNAL, "cannot make a key pair");
    }
    g->to_traffic = bridge_new(RING_CAPACITY);
    g->from_traffic = bridge_new(RING_CAPACITY);
    g->wake = bridge_new(2);
    enum status st =
        gateway_traffic_start(sh, g->to_traffic, g->from_traffic, &g->traffic);
    if (st == ST_OK) {
        st = gateway_control_start(sh, g->to_traffic, g->from_traffic, g->wake,
                                   &g->control);
    }
    return st;
}

static void
stop(struct gateway *g)
{
    set_phase(g, GATEWAY_STOPPING);
    if (g->control) {
        gateway_control_join(g->control);
    }
    if (g->traffic) {
        gateway_traffic_join(g->traffic);
    }
    bridge_free(g->to_traffic);
    bridge_free(g->from_traffic);
    bridge_free(g->wake);
}

/* Waits for a signal. @return the signal's number, 0 after a time-out */
static int
wait_signal(const sigset_t *signals, int64_t us)
{
    struct timespec ts = {us / 1000000, us % 1000000 * 1000};
    int sig = sigtimedwait(signals, NULL, &ts);
    return sig > 0 ? sig : 0;
}

/* After SIGTERM or SIGINT: the load balancer sends callers to this node until
 * it has seen that the node is not ready. Then the process ends with its last
 * request. Requests that are open at the time limit are ended. */
static void
shut_down(struct gateway *g, const sigset_t *signals)
{
    struct gateway_shared *sh = &g->shared;
    struct gateway_stop stop;
    int64_t start_us = gateway_now_us();
    enum gateway_phase phase = GATEWAY_NOT_READY;
    LOG_EVENT(LOG_INFO, "stopping", LOG_INT("open", sh->open_requests),
              LOG_INT("limit_ms", g->settings.stop_limit_ms));
    gateway_stop_begin(&stop, start_us, g->settings.stop_limit_ms * MS,
                       g->settings.balancer_drain_ms * MS);
    sh->stop = stop.plan;
    set_phase(g, phase);
    while (phase != GATEWAY_STOPPING) {
        wait_signal(signals, POLL_US);
        /* The phase is read before the number that goes with it. */
        enum gateway_phase applied = atomic_load(&sh->applied_phase);
        const struct gateway_stop_report report = {
            applied, atomic_load(&sh->open_requests),
            atomic_load(&sh->receiving), atomic_load(&sh->deregistered)};
        enum gateway_phase next =
            gateway_stop_advance(&stop, gateway_now_us(), &report);
        if (next == GATEWAY_FINISHING && phase != next &&
            report.open_requests > 0) {
            LOG_EVENT(LOG_WARN, "stop_limit_reached",
                      LOG_INT("open", report.open_requests));
        }
        /* While the node drains, the traffic thread closes the connections
         * that have become idle. */
        if (next != phase || next == GATEWAY_DRAINING) {
            set_phase(g, next);
        }
        phase = next;
    }
    LOG_EVENT(LOG_INFO, "stopped",
              LOG_INT("ms", (gateway_now_us() - start_us) / MS),
              LOG_INT("open", atomic_load(&g->shared.open_requests)));
}

static int
run(struct gateway *g, const char *path)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    /* All threads inherit the mask; only this thread waits for the signals. */
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    int rc = 0;
    if (start(g, path) != ST_OK) {
        LOG_EVENT(LOG_ERROR, "start_failed", LOG_CSTR("error", err_last()));
        rc = EXIT_RUNTIME;
    }
    else {
        int sig = 0;
        LOG_EVENT(LOG_INFO, "started", LOG_STR("address", g->settings.listen),
                  LOG_STR("zone", g->settings.zone),
                  LOG_STR("store", g->settings.store),
                  LOG_INT("first_start", g->settings.first_start));
        while (sigwait(&signals, &sig) == 0 && sig == SIGHUP) {
            atomic_store(&g->shared.reload, 1);
            bridge_wake(g->wake);
        }
        shut_down(g, &signals);
    }
    stop(g);
    return rc;
}

int
main(int argc, char **argv)
{
    struct gateway g = {0};
    struct buf errors = {0};
    bool check = argc >= 2 && strcmp(argv[1], "--check") == 0;
    const char *path =
        argc > 1 + check ? argv[1 + check] : getenv("CAMPHORFALL_CONFIG");
    if (argc == 2 && strcmp(argv[1], "--help") == 0) {
        fputs(usage, stdout);
        return 0;
    }
    if (argc > 2 + check || !path || path[0] == '-') {
        fputs(usage, stderr);
        return EXIT_USAGE;
    }
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
        fputs("cannot initialise libraries\n", stderr);
        return EXIT_RUNTIME;
    }
    if (gateway_settings_load(path, &g.settings, &errors) != ST_OK) {
        fprintf(stderr, "%.*s", STR_FMT(buf_str(&errors)));
        buf_free(&errors);
        return EXIT_SETTINGS;
    }
    buf_free(&errors);
    int rc = 0;
    if (!check) {
        caller_budget_limit_heap(g.settings.memory_mb);
        log_init(parse_log_level(g.settings.log_level), g.settings.name);
        crash_init();
        rc = run(&g, path);
    }
    gateway_settings_free(&g.settings);
    curl_global_cleanup();
    return rc;
}
