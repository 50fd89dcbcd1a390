/* Guards against a planned stop that takes requests too long, cuts open ones
 * before its time, or outlasts its limit. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/gateway_stop.h"

#define MS 1000LL

static const char *const phases[] = {"running", "not_ready", "draining",
                                     "finishing", "stopping"};

/* Steps of stops: "limit MS balancer MS", then "at MS open N [registered]
 * PHASE"; the traffic thread has acted on the phase before. "open N+M": and M
 * requests are being received. */
static const char *const table[] = {
    /* An idle node ends once its registration has ended. */
    "limit 8000 balancer 2300",
    "at 0 open 0 registered not_ready",
    "at 2299 open 0 registered not_ready",
    "at 2300 open 0 registered draining",
    "at 2320 open 0 registered draining",
    "at 2500 open 0 finishing",
    "at 2520 open 0 stopping",
    /* The registration cannot be ended: the store is away. */
    "limit 8000 balancer 2300",
    "at 2300 open 0 registered draining",
    "at 2699 open 0 registered draining",
    "at 2700 open 0 registered finishing",
    /* Open requests are not ended in the first five sixths of the limit. */
    "limit 8000 balancer 2300",
    "at 2310 open 3 draining",
    "at 7399 open 3 draining",
    "at 7400 open 3 finishing",
    "at 7420 open 3 finishing",
    "at 7440 open 0 stopping",
    /* A caller that does not read its answer. */
    "limit 8000 balancer 2300",
    "at 2310 open 1 draining",
    "at 7405 open 1 finishing",
    "at 7499 open 1 finishing",
    "at 7500 open 1 stopping",
    /* Bodies that are still being sent neither hold up the stop nor are cut
     * without time to answer them. */
    "limit 8000 balancer 2300",
    "at 2310 open 0+2 draining",
    "at 2330 open 0+2 finishing",
    "at 2350 open 0+2 finishing",
    "at 2430 open 0+2 stopping",
    "limit 8000 balancer 2300",
    "at 2310 open 0+2 draining",
    "at 2330 open 0+2 finishing",
    "at 2350 open 0+0 stopping",
    /* Short limits. */
    "limit 2000 balancer 600",
    "at 600 open 1 draining",
    "at 1749 open 1 draining",
    "at 1750 open 1 finishing",
    "at 1800 open 1 stopping",
    "limit 1000 balancer 900",
    "at 874 open 1 not_ready",
    "at 875 open 1 draining",
    "at 876 open 1 finishing",
    "at 900 open 1 stopping",
};

static void
test_phases(void)
{
    const int64_t start = 5000000;
    struct gateway_stop s = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
        int limit;
        int balancer;
        int at;
        int open;
        int receiving;
        char phase[16];
        if (sscanf(table[i], "limit %d balancer %d", &limit, &balancer) == 2) {
            gateway_stop_begin(&s, start, limit * MS, balancer * MS);
            continue;
        }
        bool registered = strstr(table[i], " registered ") != NULL;
        const char *more = strchr(table[i], '+');
        receiving = more ? atoi(more + 1) : 0;
        g_assert_cmpint(sscanf(table[i], "at %d open %d", &at, &open), ==, 2);
        g_strlcpy(phase, strrchr(table[i], ' ') + 1, sizeof(phase));
        const struct gateway_stop_report r = {s.phase, open, receiving,
                                              !registered};
        enum gateway_phase next =
            gateway_stop_advance(&s, start + at * MS, &r);
        g_test_message("%s", table[i]);
        g_assert_cmpstr(phases[next], ==, phase);
    }
}

/* Guards against an exit before the traffic thread has ended the requests that
 * arrived after the last report. */
static void
test_stale_report(void)
{
    struct gateway_stop s;
    gateway_stop_begin(&s, 0, 8000 * MS, 2300 * MS);
    struct gateway_stop_report r = {GATEWAY_NOT_READY, 0, 0, true};
    gateway_stop_advance(&s, 2300 * MS, &r);
    g_assert_cmpint(gateway_stop_advance(&s, 2400 * MS, &r), ==,
                    GATEWAY_DRAINING);
    r.applied = GATEWAY_DRAINING;
    g_assert_cmpint(gateway_stop_advance(&s, 2420 * MS, &r), ==,
                    GATEWAY_FINISHING);
    g_assert_cmpint(gateway_stop_advance(&s, 2440 * MS, &r), ==,
                    GATEWAY_FINISHING);
    r.applied = GATEWAY_FINISHING;
    g_assert_cmpint(gateway_stop_advance(&s, 2460 * MS, &r), ==,
                    GATEWAY_STOPPING);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stop-plan/phases", test_phases);
    g_test_add_func("/stop-plan/stale-report", test_stale_report);
    return g_test_run();
}
