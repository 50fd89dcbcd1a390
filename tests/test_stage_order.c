/* Guards against an order of stage jobs that lets less urgent work or large
 * results pass more urgent work, spends a place on a job that is late while
 * another one can be on time, or starves a rank. */
#include <glib.h>

#include "forward/stage_order.h"

#define MS 1000LL
#define SECOND 1000000LL
#define NOW (100 * SECOND)
#define MAX_JOBS 64

struct queue {
    struct stage_order_job jobs[MAX_JOBS];
    struct stage_order_entry entries[MAX_JOBS];
    struct stage_order_entry order[MAX_JOBS];
    struct stage_order_ref scratch[MAX_JOBS];
    int pieces[MAX_JOBS];
    int count;
};

/* Adds a job that arrived 10 ms ago. @param left_ms to its latest start, may
 * be negative */
static struct stage_order_job *
add(struct queue *q, int rank, int64_t left_ms)
{
    struct stage_order_job *j = &q->jobs[q->count];
    *j = (struct stage_order_job){.rank = rank,
                                  .received_us = NOW - 10 * MS,
                                  .latest_start_us = NOW + left_ms * MS,
                                  .latest_useful_start_us = NOW + 4 * SECOND};
    q->pieces[q->count++] = 1;
    return j;
}

static int64_t
arrange(struct queue *q, int64_t credit, int batch)
{
    for (int i = 0; i < q->count; i++) {
        q->entries[i].job = &q->jobs[i];
        q->entries[i].pieces = q->pieces[i];
        stage_order_classify(&q->jobs[i], NOW, &q->entries[i]);
    }
    return stage_order_arrange(q->entries, q->count, credit, batch, q->order,
                               q->scratch);
}

/* Checks that the jobs come in the order of the given indices. */
static void
assert_order(const struct queue *q, const int *expected)
{
    for (int i = 0; i < q->count; i++) {
        g_assert_cmpint(
            (int)((struct stage_order_job *)q->order[i].job - q->jobs), ==,
            expected[i]);
    }
}

/* Rank first, then the least time left. */
static void
test_rank_and_time(void)
{
    struct queue q = {0};
    add(&q, 2, 5);
    add(&q, 0, 900);
    add(&q, 1, 10);
    add(&q, 0, 300);
    add(&q, 1, 700);
    arrange(&q, 0, 10);
    assert_order(&q, (const int[]){3, 1, 2, 4, 0});
}

/* A late job yields to jobs of its rank and of the next one that can be on
 * time, but not to still less urgent ones, and the least late one is first. */
static void
test_late(void)
{
    struct queue q = {0};
    add(&q, 0, -500);
    add(&q, 0, -20);
    add(&q, 0, 800);
    add(&q, 1, 800);
    add(&q, 1, -10);
    add(&q, 2, 800);
    arrange(&q, 0, 10);
    assert_order(&q, (const int[]){2, 3, 1, 0, 5, 4});
}

/* Large results come first in their rank only, and a team above its share
 * after those within it, before the time left counts. */
static void
test_holders_and_teams(void)
{
    struct queue q = {0};
    add(&q, 1, 100)->holds_large_results = true;
    add(&q, 0, 900);
    add(&q, 0, 100)->team_excess = 2;
    add(&q, 0, 950)->holds_large_results = true;
    add(&q, 0, 990)->has_started = true;
    add(&q, 0, 10)->team_excess = 3;
    arrange(&q, 0, 10);
    assert_order(&q, (const int[]){4, 3, 1, 2, 5, 0});
}

/* Work that the urgent rank would starve gets its share of the pieces in each
 * sequence of places, and it gets no more than that. */
static void
test_reserve(void)
{
    static const int batches[] = {1, 10, 70};
    for (size_t b = 0; b < G_N_ELEMENTS(batches); b++) {
        int64_t credit = 0;
        int urgent = 0;
        int starving = 0;
        for (int round = 0; round < 600; round++) {
            struct queue q = {0};
            for (int i = 0; i < 20; i++) {
                add(&q, 0, 500);
            }
            for (int i = 0; i < 20; i++) {
                struct stage_order_job *j = add(&q, 2, -1000);
                j->received_us = NOW - 3 * SECOND;
                j->latest_useful_start_us = NOW + SECOND;
                j->holds_large_results = i % 2 == 0;
            }
            credit = arrange(&q, credit, batches[b]);
            for (int i = 0; i < MIN(batches[b], 10); i++) {
                const struct stage_order_job *j = q.order[i].job;
                g_assert_cmpint(q.order[i].from_reserve, ==, j->rank == 2);
                urgent += j->rank == 0;
                starving += j->rank == 2;
                credit = stage_order_charge(credit, q.order[i].from_reserve, 1,
                                            batches[b]);
            }
        }
        double share = (double)starving / (starving + urgent);
        g_assert_cmpfloat(share, >, 0.9 / STAGE_ORDER_RESERVE_SHARE);
        g_assert_cmpfloat(share, <, 1.1 / STAGE_ORDER_RESERVE_SHARE);
    }
}

/* Time without work in the reserve gives it no claim on later places, and
 * late work of the most urgent rank has no reserve. */
static void
test_no_reserve(void)
{
    struct queue q = {0};
    int64_t credit = 0;
    for (int i = 0; i < 1000; i++) {
        credit = stage_order_charge(credit, false, 10, 10);
    }
    add(&q, 0, -2000)->received_us = NOW - 10 * SECOND;
    add(&q, 0, 500);
    add(&q, 1, 500);
    credit = arrange(&q, credit, 10);
    g_assert_cmpint(credit, ==, 0);
    assert_order(&q, (const int[]){1, 2, 0});
    struct queue none = {0};
    g_assert_cmpint(arrange(&none, 5, 10), ==, 0);
}

/* Every job has exactly one place, whatever the credit. */
static void
test_complete(void)
{
    for (int seed = 0; seed < 500; seed++) {
        struct queue q = {0};
        bool seen[MAX_JOBS] = {false};
        GRand *rand = g_rand_new_with_seed((guint32)seed);
        int count = g_rand_int_range(rand, 1, MAX_JOBS);
        for (int i = 0; i < count; i++) {
            struct stage_order_job *j = add(&q, g_rand_int_range(rand, 0, 5),
                                            g_rand_int_range(rand, -300, 300));
            j->has_started = g_rand_int_range(rand, 0, 4) == 0;
            j->holds_large_results = g_rand_int_range(rand, 0, 4) == 0;
            j->received_us -= g_rand_int_range(rand, 0, 8) * SECOND;
            q.pieces[i] = g_rand_int_range(rand, 1, 65);
        }
        arrange(&q, g_rand_int_range(rand, -200, 200), 10);
        for (int i = 0; i < count; i++) {
            int at = (int)((struct stage_order_job *)q.order[i].job - q.jobs);
            g_assert_false(seen[at]);
            seen[at] = true;
        }
        g_rand_free(rand);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stage-order/rank-and-time", test_rank_and_time);
    g_test_add_func("/stage-order/late", test_late);
    g_test_add_func("/stage-order/holders-and-teams", test_holders_and_teams);
    g_test_add_func("/stage-order/reserve", test_reserve);
    g_test_add_func("/stage-order/no-reserve", test_no_reserve);
    g_test_add_func("/stage-order/complete", test_complete);
    return g_test_run();
}
