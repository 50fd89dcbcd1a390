/* Guards against refused callers that all return at once, that are told times
 * which they do not heed, or that gain by retrying early, and against notices
 * and memory without a bound. */
#include <glib.h>

#include "base/rng.h"
#include "forward/return_slots.h"

#define MS 1000LL
#define SECOND 1000000LL
#define START (100 * SECOND)

static struct return_query
query(uint64_t content, int rank)
{
    return (struct return_query){.service = 1,
                                 .content = content,
                                 .rank = rank,
                                 .earliest_us = 100 * MS,
                                 .remaining_us = 3 * SECOND};
}

/* Sets the room to a number of requests per second. */
static struct return_slots *
new_slots(int room_per_s)
{
    struct return_slots *s = return_slots_new();
    for (int i = 0; i < 2 * room_per_s; i++) {
        return_slots_record_taken(
            s, 1, START - 2 * SECOND + (i + 1) * SECOND / room_per_s);
    }
    return s;
}

/* Guards against returns above the room, or later than a third of the time
 * left, and against a spread that leaves room unused. */
static void
test_spread(void)
{
    struct return_slots *s = new_slots(20);
    int by_slot[20] = {0};
    int promised = 0;
    for (uint64_t i = 0; i < 100; i++) {
        struct return_query q = query(i * 7919 * 1000, 0);
        struct return_plan p = return_slots_plan(s, &q, START);
        g_assert_cmpint(p.delay_us, >=, 150 * MS);
        g_assert_cmpint(p.delay_us, <=, SECOND);
        if (p.promised) {
            promised++;
            by_slot[MIN(p.delay_us / (50 * MS), 19)]++;
        }
    }
    /* 20 a second for up to a second; the slots begin after 150 ms. */
    g_assert_cmpint(promised, >=, 18);
    g_assert_cmpint(promised, <=, 21);
    for (int i = 0; i < 20; i++) {
        g_assert_cmpint(by_slot[i], <=, 3);
    }
    g_assert_cmpint(return_slots_promised(s, 1, START + SECOND, START), ==,
                    promised);
    g_assert_cmpint(return_slots_promised(s, 2, START + SECOND, START), ==, 0);
    return_slots_free(s);
}

/* Guards against less urgent callers that leave no room to more urgent ones,
 * and to those that were refused before. */
static void
test_rank(void)
{
    struct return_slots *s = new_slots(20);
    int promised[4] = {0};
    for (uint64_t i = 0; i < 160; i++) {
        int kind = (int)(i / 40);
        struct return_query q = query(i * 104729, kind == 0   ? 2
                                                  : kind == 1 ? 1
                                                  : kind == 2 ? 2
                                                              : 0);
        q.returning = kind == 2;
        promised[kind] += return_slots_plan(s, &q, START).promised;
    }
    g_test_message("promised %d %d %d %d", promised[0], promised[1],
                   promised[2], promised[3]);
    g_assert_cmpint(promised[0], <=, 10);
    g_assert_cmpint(promised[1], >=, 4);
    /* 20 a second from 150 ms to 1 s, less what the others have. */
    g_assert_cmpint(promised[2], >=, 17 - promised[0] - promised[1]);
    g_assert_cmpint(promised[2], >, 0);
    /* All of the room is promised. */
    g_assert_cmpint(promised[3], ==, 0);
    return_slots_free(s);
}

/* Guards against callers that gain by an early retry, that are preferred more
 * than once, and against a first attempt that is forgotten. */
static void
test_arrive(void)
{
    struct return_slots *s = new_slots(20);
    struct return_query q = query(42, 1);
    int64_t first = 0;
    q.waited_us = 300 * MS;
    struct return_plan p = return_slots_plan(s, &q, START);
    g_assert_true(p.promised);
    g_assert_cmpint(return_slots_arrive(s, 43, START, &first), ==,
                    RETURN_NONE);
    g_assert_cmpint(return_slots_arrive(s, 42, START + 10 * MS, &first), ==,
                    RETURN_EARLY);
    struct return_plan again = return_slots_plan(s, &q, START + 10 * MS);
    g_assert_cmpint(again.delay_us + 10 * MS, >=, p.delay_us);
    int64_t due = START + MAX(p.delay_us, again.delay_us + 10 * MS);
    g_assert_cmpint(return_slots_arrive(s, 42, due, &first), ==,
                    RETURN_IN_TIME);
    g_assert_cmpint(first, <=, START + 10 * MS - 300 * MS);
    g_assert_cmpint(return_slots_arrive(s, 42, due, &first), ==, RETURN_NONE);
    /* Too late. */
    q.content = 44;
    p = return_slots_plan(s, &q, START);
    g_assert_cmpint(
        return_slots_arrive(s, 44, START + p.delay_us + RETURN_LATE_US + 1,
                            &first),
        ==, RETURN_NONE);
    return_slots_free(s);
}

/* Guards against a time that the caller does not heed although an earlier one
 * exists, and a promise for a caller that has no time left. */
static void
test_remaining(void)
{
    struct return_slots *s = new_slots(20);
    struct return_query q = query(1, 0);
    q.earliest_us = 2 * SECOND;
    struct return_plan p = return_slots_plan(s, &q, START);
    g_assert_true(p.promised);
    g_assert_cmpint(p.delay_us, >=, 700 * MS);
    g_assert_cmpint(p.delay_us, <=, SECOND);
    q.remaining_us = 300 * MS;
    q.content = 2;
    g_assert_false(return_slots_plan(s, &q, START).promised);
    return_slots_free(s);
}

/* Guards against a node that does not recognize a caller which another node
 * has refused, and notices at an unbounded rate. */
static void
test_notices(void)
{
    struct return_slots *a = new_slots(20);
    struct return_slots *b = return_slots_new();
    struct return_notice n;
    struct return_query q = query(5, 0);
    int64_t first = 0;
    q.waited_us = 40 * MS;
    struct return_plan p = return_slots_plan(a, &q, START);
    g_assert_cmpint(return_slots_notice_due_us(a), ==, START + 20 * MS);
    g_assert_false(return_slots_next_notice(a, START, &n));
    g_assert_true(return_slots_next_notice(a, START + 20 * MS, &n));
    g_assert_true(return_slots_notice_due_us(a) == INT64_MAX);
    g_assert_cmpint(n.count, ==, 1);
    return_slots_handle_notice(b, &n, START + 20 * MS);
    return_slots_handle_notice(b, &n, START + 20 * MS);
    g_assert_cmpint(return_slots_expected_count(b), ==, 1);
    g_assert_cmpint(return_slots_arrive(b, 5, START + p.delay_us, &first), ==,
                    RETURN_IN_TIME);
    g_assert_cmpint(first, ==, START - 40 * MS);
    /* 1,000 refusals per second for ten seconds. */
    int notices = 0;
    for (uint64_t i = 0; i < 10000; i++) {
        int64_t now = START + SECOND + (int64_t)i * MS;
        q.content = 1000 + i;
        return_slots_record_taken(a, 1, now);
        return_slots_plan(a, &q, now);
        while (return_slots_next_notice(a, now, &n)) {
            notices++;
            g_assert_cmpint(n.count, <=, RETURN_NOTICE_MAX);
        }
        g_assert_cmpint(return_slots_expected_count(a), <=,
                        RETURN_SLOTS_MAX_EXPECTED);
    }
    g_assert_cmpint(notices, <=, 5 + 26);
    g_assert_cmpint(notices, >=, 25);
    return_slots_free(a);
    return_slots_free(b);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/return_slots/spread", test_spread);
    g_test_add_func("/return_slots/rank", test_rank);
    g_test_add_func("/return_slots/arrive", test_arrive);
    g_test_add_func("/return_slots/remaining", test_remaining);
    g_test_add_func("/return_slots/notices", test_notices);
    return g_test_run();
}
