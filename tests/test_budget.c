/* Guards against nodes that exceed their share of the calls to the key-value
 * service, nodes that call at the same time, and reads that use up the share
 * of writes. */
#include <glib.h>

#include "store/budget.h"

static void
test_rate(void)
{
    /* A rate and the bounds of the number of calls in 10 s: rate x 10 s plus
     * one full bucket. */
    static const struct {
        double rate;
        int min_calls, max_calls;
    } rows[] = {{100, 990, 1026}, {2, 19, 21}, {0.5, 5, 6}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct budget b;
        int calls_made = 0;
        budget_init(&b, rows[i].rate, 1, 7, 0);
        for (int64_t now = 0; now < 10000000;) {
            int64_t wait_us = budget_take(&b, now, BUDGET_READ);
            calls_made += wait_us == 0;
            now += wait_us < 1000 ? 1000 : 1000 * (wait_us / 1000 / 8 + 1);
        }
        g_assert_cmpint(calls_made, >=, rows[i].min_calls);
        g_assert_cmpint(calls_made, <=, rows[i].max_calls);
    }
}

static void
test_kinds_are_separate(void)
{
    struct budget a;
    struct budget b;
    budget_init(&a, 4, 4, 1, 0);
    budget_init(&b, 4, 4, 2, 0);
    g_assert_cmpint(budget_take(&a, 0, BUDGET_READ), ==, 0);
    int64_t wait_us = budget_take(&a, 0, BUDGET_READ);
    g_assert_cmpint(wait_us, >, 250000);
    g_assert_cmpint(wait_us, <=, 312501);
    g_assert_cmpint(budget_take(&a, 0, BUDGET_WRITE), ==, 0);
    budget_take(&b, 0, BUDGET_READ);
    g_assert_cmpint(budget_take(&b, 0, BUDGET_READ), !=, wait_us);
    budget_set_rates(&a, 0, 4000, 4);
    g_assert_cmpint(budget_take(&a, 250, BUDGET_READ), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/budget/rate", test_rate);
    g_test_add_func("/budget/separate", test_kinds_are_separate);
    return g_test_run();
}
