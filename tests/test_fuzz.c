/* Stateful fuzzing of the real decision code against the oracle. Guards
 * against violations of the invariants under every pair of faults, and
 * against an oracle that does not detect such violations. */
#include <glib.h>
#include <string.h>

#include "bench/fuzz.h"

/* Runs one seed for each pair of faults. More than half of the requests sent
 * 4 s or more after the end of all faults must be answered. */
static void
test_pair(gconstpointer data)
{
    struct fuzz_plan p;
    struct fuzz_result r;
    fuzz_generate_plan(GPOINTER_TO_SIZE(data), &p);
    if (!fuzz_run_plan(&p, &r)) {
        fuzz_print_failure(&p, &r);
        g_test_fail();
    }
    g_assert_cmpint(r.late_answered * 2, >, r.late_requests);
}

/* Each mutation breaks one rule of the product. The oracle must report the
 * expected invariant for at least one of 8 seeds with the listed faults,
 * which exercise that rule. */
static const struct {
    enum world_mutation mutation;
    enum invariant expected;
    const char *faults[3];
} rows[] = {
    {WORLD_MUT_GRANT_ALL, INVARIANT_ONCE, {"node_death", "message_loss"}},
    {WORLD_MUT_DENY_RUN, INVARIANT_NOT_RUN, {"endpoint_death", "node_pause"}},
    {WORLD_MUT_CREDIT_ALL, INVARIANT_COLD, {"cold_turn", "burst"}},
    {WORLD_MUT_KEEP_ZONE, INVARIANT_ZONE_OUT, {"zone_change"}},
    {WORLD_MUT_KEEP_LEAVING, INVARIANT_LEAVING, {"vm_leaving"}},
    {WORLD_MUT_SWAP_ANSWERS, INVARIANT_ANSWER, {"bad_answers"}},
    {WORLD_MUT_REPLAY_ANSWER, INVARIANT_RESULT, {"stage_slow"}},
    {WORLD_MUT_CUT_DRAIN, INVARIANT_DRAIN, {"node_drain", "burst"}},
    {WORLD_MUT_REVERT, INVARIANT_CONFIG, {"operator_race", "zone_change"}},
};

static void
test_broken(gconstpointer data)
{
    size_t row = GPOINTER_TO_SIZE(data);
    bool caught = false;
    for (uint64_t seed = 1; seed <= 8 && !caught; seed++) {
        struct fuzz_plan p = {.seed = seed, .mutation = rows[row].mutation};
        struct fuzz_result r;
        for (int i = 0; i < 3 && rows[row].faults[i]; i++) {
            p.faults[p.count++] = (struct fuzz_fault){
                fault_by_name(rows[row].faults[i]), 2000000 + 200000 * i,
                7000000, seed * 31 + (uint64_t)i};
        }
        fuzz_run_plan(&p, &r);
        caught = r.violations[rows[row].expected] > 0;
    }
    g_assert_true(caught);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < FAULT_PAIR_COUNT; i++) {
        char path[64];
        g_snprintf(path, sizeof(path), "/fuzz/seed/%zu", i);
        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_pair);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char path[64];
        g_snprintf(path, sizeof(path), "/fuzz/broken/%s",
                   invariant_name(rows[i].expected));
        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_broken);
    }
    return g_test_run();
}
