#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/hash.h"
#include "base/log.h"
#include "daemon/control_thread.h"
#include "daemon/traffic.h"
#include "edge/caller_budget.h"
#include "edge/loop.h"

#define RING_CAPACITY 4096
/* How long the node may take to leave the fleet: after its last requests have
 * ended it writes their claims and its departure to the store. */
#define LEAVE_FLEET_US 2000000

enum { EXIT_RUNTIME = 1, EXIT_USAGE = 2, EXIT_SETTINGS = 3 };

static const char usage[] =
    "Usage: camphorfalld FILE           run a node with the settings in FILE\n"
    "       camphorfalld --check FILE   only check the settings\n"
    "       camphorfalld --help\n"
    "\n"
    "The resources of the node:\n"
    "  POST /v1/pipelines/NAME   run a pipeline (team credential)\n"
    "  GET  /v1/traces/ID        trace of a request (team or operator)\n"
    "  GET  /healthz /readyz /metrics\n"
    "  GET  /admin/show /admin/status   operators and viewers\n"
    "  POST /admin/edit /admin/apply    operators\n"
    "Before any configuration exists, /admin/apply, /admin/show and\n"
    "/admin/status need no credential and are open from loopback addresses\n"
    "only, so that the first configuration can be applied on the node.\n"
    "\n"
    "SIGTERM or SIGINT: readiness fails at once; after [drain]\n"
    "balancer_wait_ms new requests are refused and open ones finish within\n"
    "[drain] limit_ms. A second signal skips the waits.\n"
    "\n"
    "Exit codes: 0 graceful end or settings in order, 1 runtime failure,\n"
    "2 wrong usage, 3 settings faulty.\n";

struct node {
    struct daemon_shared shared;
    struct settings settings;
    int threads;
    struct traffic **traffic;
    struct bridge **to_traffic;
    struct bridge **from_traffic;
    struct bridge *wake_control;
    struct control_thread *control;
    int started;
    bool control_started;
};

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

static enum status
read_file(struct str path, struct str *out)
{
    gsize len;
    char *text;
    if (path.len == 0) {
        return ST_OK;
    }
    if (!g_file_get_contents(path.ptr, &text, &len, NULL)) {
        return err_set(ST_IO, "cannot read %s", path.ptr);
    }
    *out = str_dup(str_from_bytes(text, len));
    g_free(text);
    return ST_OK;
}

static enum status
open_node(struct node *n)
{
    struct settings *set = &n->settings;
    struct timespec ts;
    enum status st;
    clock_gettime(CLOCK_REALTIME, &ts);
    n->threads = set->traffic_threads;
    n->shared.settings = set;
    n->shared.node = hash64(set->name);
    /* Increases with each start of the node. */
    n->shared.incarnation =
        (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
    n->shared.seed = set->seed;
    if (!set->seed) {
        randombytes_buf(&n->shared.seed, sizeof(n->shared.seed));
    }
    if ((st = read_file(set->tls_cert, &n->shared.tls_cert)) != ST_OK ||
        (st = read_file(set->tls_key, &n->shared.tls_key)) != ST_OK) {
        return st;
    }
    n->traffic = mem_calloc(n->threads, sizeof(struct traffic *));
    n->to_traffic = mem_calloc(n->threads, sizeof(struct bridge *));
    n->from_traffic = mem_calloc(n->threads, sizeof(struct bridge *));
    n->wake_control = bridge_new(2);
    int port = set->listen_port;
    for (int i = 0; i < n->threads; i++) {
        n->to_traffic[i] = bridge_new(RING_CAPACITY);
        n->from_traffic[i] = bridge_new(RING_CAPACITY);
        struct traffic_options opts = {&n->shared, i, port, n->from_traffic[i],
                                       n->to_traffic[i]};
        if ((st = traffic_new(&opts, &n->traffic[i])) != ST_OK) {
            return st;
        }
        port = traffic_port(n->traffic[i]);
    }
    struct control_thread_options control = {&n->shared, n->threads,
                                             n->to_traffic, n->from_traffic,
                                             n->wake_control};
    if ((st = control_thread_new(&control, &n->control)) != ST_OK ||
        (st = control_thread_start(n->control)) != ST_OK) {
        return st;
    }
    n->control_started = true;
    for (; n->started < n->threads; n->started++) {
        if ((st = traffic_start(n->traffic[n->started])) != ST_OK) {
            return st;
        }
    }
    LOG_EVENT(LOG_INFO, "started", LOG_STR("address", set->listen_address),
              LOG_INT("port", port), LOG_INT("threads", n->threads),
              LOG_STR("zone", set->zone));
    return ST_OK;
}

static void
set_phase(struct node *n, enum daemon_phase phase)
{
    atomic_store(&n->shared.phase, phase);
    for (int i = 0; i < n->threads; i++) {
        if (n->to_traffic && n->to_traffic[i]) {
            bridge_wake(n->to_traffic[i]);
        }
    }
    if (n->wake_control) {
        bridge_wake(n->wake_control);
    }
}

static void
close_node(struct node *n)
{
    set_phase(n, PHASE_STOPPING);
    for (int i = 0; i < n->started; i++) {
        traffic_join(n->traffic[i]);
    }
    if (n->control_started) {
        control_thread_join(n->control);
    }
    for (int i = 0; n->traffic && i < n->threads; i++) {
        traffic_free(n->traffic[i]);
        bridge_free(n->to_traffic[i]);
        bridge_free(n->from_traffic[i]);
    }
    if (n->control) {
        control_thread_free(n->control);
    }
    bridge_free(n->wake_control);
    free(n->traffic);
    free(n->to_traffic);
    free(n->from_traffic);
    str_free(&n->shared.tls_cert);
    str_free(&n->shared.tls_key);
    settings_free(&n->settings);
}

/* Waits for a signal. @return false after a time-out */
static bool
wait_signal(const sigset_t *signals, int64_t us)
{
    int64_t end = loop_now_us() + us;
    for (int64_t left_us; (left_us = end - loop_now_us()) > 0;) {
        struct timespec ts = {left_us / 1000000, left_us % 1000000 * 1000};
        if (sigtimedwait(signals, NULL, &ts) > 0) {
            return true;
        }
        if (errno == EAGAIN) {
            return false;
        }
    }
    return false;
}

static bool
all_threads_drained(const struct node *n)
{
    return atomic_load(&n->shared.drained_threads) == n->threads;
}

static bool
has_left_fleet(const struct node *n)
{
    return atomic_load(&n->shared.left_fleet);
}

/* Waits until @p done returns true, a signal arrives or @p us have passed.
 * @return true after a signal */
static bool
wait_until(const struct node *n, const sigset_t *signals,
           bool (*done)(const struct node *), int64_t us)
{
    int64_t end = loop_now_us() + us;
    bool signalled = false;
    while (!signalled && !done(n) && loop_now_us() < end) {
        signalled = wait_signal(signals, 5000);
    }
    return signalled;
}

static void
shut_down(struct node *n, const sigset_t *signals)
{
    int64_t start = loop_now_us();
    set_phase(n, PHASE_NOT_READY);
    LOG_EVENT(LOG_INFO, "leaving",
              LOG_INT("balancer_wait_ms", n->settings.balancer_wait_ms));
    bool signalled =
        wait_signal(signals, n->settings.balancer_wait_ms * 1000LL);
    set_phase(n, PHASE_DRAINING);
    signalled = signalled || wait_until(n, signals, all_threads_drained,
                                        n->settings.drain_limit_ms * 1000LL);
    set_phase(n, PHASE_LEAVING_FLEET);
    if (!signalled) {
        wait_until(n, signals, has_left_fleet, LEAVE_FLEET_US);
    }
    LOG_EVENT(LOG_INFO, "stopping",
              LOG_INT("ms", (loop_now_us() - start) / 1000),
              LOG_INT("drained", atomic_load(&n->shared.drained_threads)),
              LOG_INT("left", atomic_load(&n->shared.left_fleet)));
}

static int
run(struct node *n)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    /* All threads inherit the mask; only this thread waits for the signals. */
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    int rc = 0;
    if (open_node(n) != ST_OK) {
        LOG_EVENT(LOG_ERROR, "start_failed", LOG_CSTR("error", err_last()));
        rc = EXIT_RUNTIME;
    }
    else {
        int sig;
        sigwait(&signals, &sig);
        shut_down(n, &signals);
    }
    close_node(n);
    return rc;
}

int
main(int argc, char **argv)
{
    struct node n = {0};
    struct buf errors = {0};
    bool check = argc == 3 && strcmp(argv[1], "--check") == 0;
    if (argc == 2 && strcmp(argv[1], "--help") == 0) {
        fputs(usage, stdout);
        return 0;
    }
    if (!(check || (argc == 2 && argv[1][0] != '-'))) {
        fputs(usage, stderr);
        return EXIT_USAGE;
    }
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
        fputs("cannot initialise libraries\n", stderr);
        return EXIT_RUNTIME;
    }
    enum status st = settings_load(argv[argc - 1], &n.settings, &errors);
    if (st != ST_OK) {
        fprintf(stderr, "%.*s", STR_FMT(buf_str(&errors)));
        buf_free(&errors);
        return EXIT_SETTINGS;
    }
    buf_free(&errors);
    if (check) {
        settings_free(&n.settings);
        return 0;
    }
    caller_budget_limit_heap(n.settings.memory_mb);
    log_init(parse_log_level(n.settings.log_level), n.settings.name);
    int rc = run(&n);
    curl_global_cleanup();
    return rc;
}
