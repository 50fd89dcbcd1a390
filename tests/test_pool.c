/* Guards against calls sent to an endpoint although a better one has a free
 * slot, and against concurrency limits, ejections, estimates and waits that
 * change in the wrong direction. */
#include <glib.h>

#include "flow/outlier.h"
#include "flow/limit.h"
#include "flow/retry.h"
#include "flow/silence.h"
#include "flow/suspect.h"
#include "tests/flow_script.h"

/* Guards against prompts with a common prefix that are spread over endpoints,
 * and against an endpoint that a frequent prefix overloads. */
static void
test_affinity(void)
{
    flow_script(FLOW_POLICY_FULL,
                "> snap gen:g1@z1 gen:g2@z1 gen:g3@z1 gen:g4@z1\n"
                "> fresh 100000\n"
                "> req 1 gen body={\"input\":\"a\"}\ncall a1 r1 g g2\n"
                "> token a1 0 x\n> done a1 200\nanswer r1\n"
                "> req 2 gen body={\"input\":\"a\"}\ncall a2 r2 g g2\n"
                "> req 3 gen body={\"input\":\"a\"}\ncall a3 r3 g g3\n"
                "> req 4 gen body={\"input\":\"a\"}\ncall a4 r4 g g4\n");
}

/* Guards against limits that ignore queueing in an endpoint, fall below 1,
 * never recover, or shrink because answers vary. */
static void
test_limit(void)
{
    struct limit l;
    int64_t now = 0;
    limit_init(&l, 16, 1);
    for (int i = 0; i < 400; i++) {
        limit_apply_answer(&l, now += 100000, 10000 + i * 7919 % 10000, 16,
                           false);
    }
    g_assert_cmpint(limit_get(&l), ==, 16);
    for (int i = 0; i < 100; i++) {
        limit_apply_answer(&l, now += 200000, 100000, 16, false);
    }
    g_assert_cmpint(limit_get(&l), ==, 1);
    for (int i = 0; i < 400; i++) {
        limit_apply_answer(&l, now += 100000, 12000, 16, false);
    }
    g_assert_cmpint(limit_get(&l), ==, 16);
    limit_set_cap(&l, 4, 1);
    g_assert_cmpint(limit_get(&l), ==, 4);
}

/* Guards against limits of several nodes that together cause a queue inside
 * the endpoint, or that leave its slots empty when only one node has work. */
static void
test_limit_report(void)
{
    static const struct {
        int running, queued, in_flight, answers, expected;
    } rows[] = {
        {8, 0, 1, 100, 2},  /* not in use: stays at its share of 8 / 5 */
        {6, 0, 8, 100, 8},  /* only this node is busy: grows to the cap */
        {8, 2, 8, 100, 8},  /* a short queue keeps the slots busy */
        {8, 3, 8, 100, 2},  /* a longer queue: falls to the share, not below */
        {4, 30, 2, 100, 1}, /* fewer slots than the cap */
        {4, 30, 2, 100, 1}, /* never below 1 */
    };
    struct limit l;
    limit_init(&l, 8, 5);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        for (int k = 0; k < rows[i].answers; k++) {
            limit_apply_report(&l, rows[i].running, rows[i].queued,
                               rows[i].in_flight);
        }
        g_assert_cmpint(limit_get(&l), ==, rows[i].expected);
    }
    limit_set_cap(&l, 8, 2);
    g_assert_cmpint(limit_get(&l), ==, 1);
}

/* Guards against ejections that do not get longer or do not end, ejections of
 * too many endpoints, and ejections for failures of the whole pool. */
static void
test_outlier(void)
{
    struct outlier o = {0};
    static const int seconds[] = {5, 10, 20, 40, 60, 60};
    for (int i = 0; i < 10; i++) {
        g_assert_false(outlier_detected(&o, 0, 0));
        outlier_record_call(&o, 0, false);
    }
    g_assert_true(outlier_detected(&o, 0, 0));
    g_assert_false(outlier_detected(&o, 0.8, 0));
    for (int i = 0; i < 6; i++) {
        outlier_eject(&o, 0);
        g_assert_cmpint(o.until_us, ==, seconds[i] * 1000000LL);
    }
    outlier_end_ejection(&o, 1000000);
    g_assert_cmpfloat(outlier_limit_share(&o, 2000000), <, 0.25);
    g_assert_cmpfloat(outlier_limit_share(&o, 11000000), ==, 1);
    g_assert_cmpint(outlier_ejected_max(10, 30), ==, 3);
    g_assert_cmpint(outlier_ejected_max(3, 30), ==, 0);
}

/* Guards against an old estimate that refuses all requests and so gets no new
 * samples, and against long generations that make a pool look slow. */
static void
test_estimate(void)
{
    static const struct {
        int64_t at_us;
        int tokens;
        int64_t low_us, high_us;
    } rows[] = {
        {1000000, 24, 370000, 450000},   /* 120 ms plus 24 x 12 ms */
        {1000000, 96, 1150000, 1400000}, /* 120 ms plus 96 x 12 ms */
        {1000000, 0, 370000, 450000},    /* not a stream: by size class */
        {4000000, 24, 46000, 57000},     /* no samples for 3 s: an eighth */
        {90000000, 96, 0, 0},            /* no samples for 89 s: no refusals */
    };
    struct estimate e;
    estimate_init(&e);
    for (int i = 0; i < 50; i++) {
        estimate_add_first_token(&e, 1000000, 120000);
        estimate_add_tokens(&e, 1000000, 24, 24 * 12000);
        estimate_add_tokens(&e, 1000000, 1, 900000); /* too few tokens */
        estimate_add_service(&e, 1000000, 0, 408000);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        int64_t us =
            estimate_service_us(&e, rows[i].at_us, 0, rows[i].tokens, 0.5);
        g_assert_cmpint(us, >=, rows[i].low_us);
        g_assert_cmpint(us, <=, rows[i].high_us);
    }
}

/* Guards against retry storms, endpoints that are probed for silence too early
 * and strikes that are lost or never expire. */
static void
test_bounds(void)
{
    struct retry_budget a;
    struct retry_budget b;
    int spent = 0;
    retry_budget_init(&a);
    retry_budget_init(&b);
    for (int i = 0; i < 1000; i++) {
        retry_budget_earn(&a, 10);
        retry_budget_earn(&b, 100);
        spent += retry_budget_spend(&a, &b);
    }
    g_assert_cmpint(spent, <=, 103);
    struct estimate e;
    estimate_init(&e);
    g_assert_cmpint(silence_timeout_us(&e, false, 250000, 3000000), ==,
                    1000000);
    for (int i = 0; i < 100; i++) {
        hist_add(&e.first, 500000);
        hist_add(&e.gap, 1000);
    }
    g_assert_cmpint(silence_timeout_us(&e, false, 250000, 1), >, 1800000);
    g_assert_cmpint(silence_timeout_us(&e, true, 250000, 1), ==, 250000);
    struct suspects *s = suspects_new();
    struct digest d = {1, 2};
    g_assert_cmpint(suspects_add_strike(s, 0, d, 100), ==, 1);
    suspects_apply_notice(s, 50, d, 2, 100);
    suspects_apply_notice(s, 60, d, 1, 10);
    g_assert_cmpint(suspects_strikes(s, 149, d), ==, 2);
    g_assert_cmpint(suspects_strikes(s, 150, d), ==, 0);
    suspects_free(s);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pool/affinity", test_affinity);
    g_test_add_func("/pool/limit", test_limit);
    g_test_add_func("/pool/limit_report", test_limit_report);
    g_test_add_func("/pool/outlier", test_outlier);
    g_test_add_func("/pool/estimate", test_estimate);
    g_test_add_func("/pool/bounds", test_bounds);
    return g_test_run();
}
