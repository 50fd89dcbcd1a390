/* Guards against a node that, while it is being stopped, sends requests that
 * cannot end in time, or refuses those that can. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward/stop.h"

#define MS 1000LL
#define FINISH_BY_US (7400 * MS)

/* "send MS deadline MS KIND [calls MS...] ANSWER": a request that is sent
 * and must end at these times after the SIGTERM; the route's calls before took
 * so long ("60x3": three of them 60 ms). Open requests are ended after 7,400
 * ms. */
static const char *const table[] = {
    /* It ends at its deadline in any case. */
    "send 2300 deadline 7400 once calls: yes",
    "send 2300 deadline 7400 once calls: 5000 5000 yes",
    /* Nothing is known of the route. */
    "send 0 deadline 7401 once calls: no",
    "send 0 deadline 7401 repeatable calls: no",
    "send 2300 deadline 7400 repeatable calls: yes",
    /* Short actions with a long deadline are taken, with time for a second of
     * silence and for outliers. */
    "send 2300 deadline 12000 once calls: 60 60 60 60 60 60 yes",
    "send 5700 deadline 12000 once calls: 60 60 60 60 60 60 yes",
    "send 5850 deadline 12000 once calls: 60 60 60 60 60 60 no",
    "send 7200 deadline 12000 repeatable calls: 60 60 60 60 60 60 yes",
    /* Long ones are not. */
    "send 0 deadline 12000 once calls: 6000 6000 6000 6000 no",
    "send 0 deadline 12000 repeatable calls: 6000 6000 6000 6000 yes",
    "send 1500 deadline 12000 repeatable calls: 6000 6000 6000 6000 no",
    /* Durations that vary. */
    "send 2300 deadline 12000 once calls: 500 2500 500 2500 500 2500 no",
    "send 2300 deadline 12000 repeatable calls: 500 2500 500 2500 500 yes",
    /* One slow call does not close the route for good. */
    "send 2300 deadline 12000 once calls: 4000 60 60 60 60 no",
    "send 2300 deadline 12000 once calls: 4000 60x19 yes",
};

static void
test_can_finish(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
        int send;
        int deadline;
        char kind[16];
        struct call_duration d = {0};
        g_assert_cmpint(sscanf(table[i], "send %d deadline %d %15s", &send,
                               &deadline, kind),
                        ==, 3);
        char **words = g_strsplit(
            strstr(table[i], "calls: ") + strlen("calls: "), " ", -1);
        int last = (int)g_strv_length(words) - 1;
        for (int k = 0; k < last; k++) {
            const char *times = strchr(words[k], 'x');
            for (int n = times ? atoi(times + 1) : 1; n > 0; n--) {
                call_duration_add(&d, atoi(words[k]) * MS);
            }
        }
        const struct stop_query q = {send * MS, deadline * MS,
                                     strcmp(kind, "repeatable") == 0, &d};
        g_test_message("%s", table[i]);
        g_assert_cmpstr(stop_can_finish(FINISH_BY_US, &q) ? "yes" : "no", ==,
                        words[last]);
        g_strfreev(words);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/forward-stop/can-finish", test_can_finish);
    return g_test_run();
}
