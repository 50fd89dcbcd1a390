/* Guards against a team whose burst is at the expense of others, use that is
 * remembered for too long, an excess without a second team, and memory or time
 * that grows with the number of teams. */
#include <glib.h>

#include "base/rng.h"
#include "forward/team_share.h"

#define MS 1000LL
#define SECOND 1000000LL

/* Guards against a single team, or teams of the same size, that are reported
 * above their share: without contention between teams nothing may change. */
static void
test_equal(void)
{
    struct team_share *s = team_share_new();
    for (int i = 0; i < 1000; i++) {
        team_share_charge(s, 7, 1 + i % 3, i * 5 * MS);
        g_assert_cmpfloat(team_share_excess(s, 7, i * 5 * MS), ==, 0);
    }
    int64_t start = 100 * SECOND;
    for (int i = 0; i < 4000; i++) {
        team_share_charge(s, (uint64_t)(i % 16), 1, start + i * MS);
        if (i >= 16) {
            g_assert_cmpfloat(
                team_share_excess(s, (uint64_t)(i % 16), start + i * MS), ==,
                0);
        }
    }
    team_share_free(s);
}

/* Guards against a burst that is not seen, or that puts steady teams above
 * their share. */
static void
test_burst(void)
{
    struct team_share *s = team_share_new();
    int64_t now = 0;
    for (int i = 0; i < 400; i++, now += 10 * MS) {
        team_share_charge(s, 1, 20, now);
        team_share_charge(s, (uint64_t)(2 + i % 8), 1, now);
    }
    g_assert_cmpfloat(team_share_excess(s, 1, now), >, 0);
    for (uint64_t team = 2; team < 10; team++) {
        g_assert_cmpfloat(team_share_excess(s, team, now), ==, 0);
    }
    /* A team that has just come, and requests without a team. */
    g_assert_cmpfloat(team_share_excess(s, 99, now), ==, 0);
    g_assert_cmpfloat(team_share_excess(s, 0, now), ==, 0);
    g_assert_cmpint(team_share_active_count(s, now), ==, 11);
    team_share_free(s);
}

/* Guards against use that does not decay, and teams without work that keep
 * lowering the share of others. */
static void
test_decay(void)
{
    struct team_share *s = team_share_new();
    for (int i = 0; i < 100; i++) {
        team_share_charge(s, 1, 10, 0);
    }
    team_share_charge(s, 2, 10, 0);
    double first = team_share_excess(s, 1, 0);
    g_assert_cmpfloat(first, >, 0);
    team_share_charge(s, 2, 0, 2 * SECOND);
    g_assert_cmpfloat_with_epsilon(team_share_excess(s, 1, 2 * SECOND),
                                   (first + 10) / 2 - 10, 1e-6);
    /* Team 2 has had no work for longer than TEAM_SHARE_ACTIVE_US. */
    g_assert_cmpfloat(team_share_excess(s, 1, 4 * SECOND), ==, 0);
    g_assert_cmpint(team_share_active_count(s, 4 * SECOND), ==, 1);
    /* Over many renewals of the epoch. */
    team_share_charge(s, 2, 100, 1000 * SECOND);
    g_assert_cmpfloat(team_share_excess(s, 1, 1000 * SECOND), ==, 0);
    g_assert_cmpfloat(team_share_use(s, 2, 1000 * SECOND), ==, 100);
    /* A clock that stands still or goes back changes nothing. */
    g_assert_cmpfloat(team_share_use(s, 2, 0), ==, 100);
    team_share_free(s);
}

/* Guards against memory that grows with the number of teams, and sums that
 * drift from the use of the teams. */
static void
test_many_teams(void)
{
    struct team_share *s = team_share_new();
    struct rng rng;
    int64_t now = 0;
    rng_seed(&rng, 5);
    for (int i = 0; i < 300000; i++) {
        now += (int64_t)rng_below(&rng, 2000);
        uint64_t team = rng_below(&rng, i % 2 ? 230 : 5000);
        team_share_charge(s, team, (double)rng_below(&rng, 50), now);
        if (i % 5 == 0) {
            team_share_excess(s, rng_below(&rng, 5000), now);
        }
        g_assert_cmpint(team_share_team_count(s), <=, TEAM_SHARE_MAX_TEAMS);
        g_assert_cmpint(team_share_active_count(s, now), <=,
                        team_share_team_count(s));
    }
    /* With all teams idle but two, the share is the mean of these two. The
     * tolerance of one charge is 25 on average, plus 2000 / 50 for the last
     * one. */
    now += 10 * SECOND;
    team_share_charge(s, 1, 2000, now);
    team_share_charge(s, 2, 0, now);
    double use = team_share_use(s, 1, now) + team_share_use(s, 2, now);
    g_assert_cmpfloat_with_epsilon(
        team_share_excess(s, 1, now),
        team_share_use(s, 1, now) - 1.3 * use / 2 - 65, 15);
    team_share_free(s);
}

/* Serves one request each 10 ms, the one with the lowest excess first, while
 * team 1 always has work and teams 2 to 4 have @p other_ms between requests.
 * @return the part of the capacity that team 1 gets */
static double
play(int64_t other_ms)
{
    struct team_share *s = team_share_new();
    int waiting[4] = {0};
    int served[4] = {0};
    for (int64_t ms = 0; ms < 20000; ms++) {
        waiting[0] = 1;
        for (int i = 1; i < 4; i++) {
            waiting[i] += (ms + i) % other_ms == 0;
        }
        if (ms % 10) {
            continue;
        }
        int best = -1;
        double least = 0;
        for (int i = 0; i < 4; i++) {
            double e = waiting[i] > 0
                           ? team_share_excess(s, (uint64_t)i + 1, ms * MS)
                           : 0;
            if (waiting[i] > 0 && (best < 0 || e < least)) {
                best = i;
                least = e;
            }
        }
        waiting[best]--;
        served[best]++;
        team_share_charge(s, (uint64_t)best + 1, 1, ms * MS);
    }
    team_share_free(s);
    return served[0] / 2000.0;
}

/* Guards against capacity that stays unused by others, and a team that gets
 * more than its share while others wait. */
static void
test_capacity(void)
{
    /* Three teams need a tenth each: the rest goes to team 1. */
    g_assert_cmpfloat(play(100), >, 0.69);
    /* All four always have work: a quarter each, within the tolerance. */
    g_assert_cmpfloat(play(10), >, 0.2);
    g_assert_cmpfloat(play(10), <, 0.33);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/team_share/equal", test_equal);
    g_test_add_func("/team_share/burst", test_burst);
    g_test_add_func("/team_share/decay", test_decay);
    g_test_add_func("/team_share/many_teams", test_many_teams);
    g_test_add_func("/team_share/capacity", test_capacity);
    return g_test_run();
}
