/* Guards against orders and records of roll-outs that a node misses, or gives
 * up for those of an older copy of the store. */
#include <glib.h>

#include "tests/feed_script.h"

static void
run_rows(const struct feed_script *rows, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        feed_script_run(&rows[i], "node-0", 1);
    }
}

static void
test_changes(void)
{
    static const struct feed_script rows[] = {
        {"an order is written and withdrawn",
         "put o/rollout/pool v2; run 200; order v2; delete o/rollout/pool; "
         "run 200; order; order-changes 2"},
        {"an order is replaced",
         "put o/rollout/pool v2; run 200; put o/rollout/pool v3; run 200; "
         "order v3; order-changes 2"},
        {"the same order is written again, and is another order",
         "put o/rollout/pool v2; run 200; put o/rollout/pool v2; run 200; "
         "order v2; order-changes 2"},
        {"a record is written and removed",
         "put n/rollout/pool text; run 200; record text; "
         "delete n/rollout/pool; run 200; record"},
        {"the node starts after the order",
         "put o/rollout/pool v2; put n/rollout/pool text; run 200; start; "
         "run 500; order v2; record text"},
        {"an order that cannot be read does not replace the last one",
         "put o/rollout/pool v2; run 200; put o/rollout/pool \x01; run 200; "
         "order v2"},
        {"the order is repeated by a list after an outage",
         "put o/rollout/pool v2; run 500; away; run 3000; back; run 3000; "
         "order v2; order-changes 1"},
    };
    run_rows(rows, G_N_ELEMENTS(rows));
}

static void
test_older_copy(void)
{
    static const struct feed_script rows[] = {
        {"the copy lacks the order, which the operator writes again",
         "copy; put o/rollout/pool v2; run 500; away; run 500; restored; "
         "run 700; order v2; put o/rollout/pool v2; run 3000; order v2"},
        {"the copy lacks the order, and nobody writes it again",
         "copy; put o/rollout/pool v2; run 500; away; run 500; restored; "
         "run 700; order v2; run 3000; order"},
        {"the copy has an earlier order, and the operator writes the newer "
         "one",
         "put o/rollout/pool v2; run 500; copy; put o/rollout/pool v3; "
         "run 500; away; run 500; restored; run 700; order v3; "
         "put o/rollout/pool v3; run 3000; order v3"},
        {"the copy has an earlier order, which counts in the end",
         "put o/rollout/pool v2; run 500; copy; put o/rollout/pool v3; "
         "run 500; away; run 500; restored; run 700; order v3; run 3000; "
         "order v2"},
        {"the decider must know that the copy has an earlier record",
         "put n/rollout/pool first; run 500; copy; put n/rollout/pool second; "
         "run 500; record second; away; run 500; restored; run 1000; "
         "record first"},
        {"the decider must know that the copy has no record",
         "copy; put n/rollout/pool first; run 500; away; run 500; restored; "
         "run 1000; record"},
    };
    run_rows(rows, G_N_ELEMENTS(rows));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/feed-rollout/changes", test_changes);
    g_test_add_func("/feed-rollout/older-copy", test_older_copy);
    return g_test_run();
}
