#include "rollout/evidence.h"

#include <math.h>
#include <stddef.h>

#define FIRST_LIMIT_US 2000.0
#define LIMIT_RATIO 1.5
/* Slow responses are compared with this many quantiles. */
#define QUANTILES 4

/* Parameters of the tests, by enum rollout_test. Rates of the old version are
 * assumed to be at least failure_rate, so that a few failures by chance are no
 * evidence at small counts. Slow responses come in groups, as durations also
 * depend on load and on what other requests run beside them, so they need more
 * evidence than one test per quantile would. */
static const struct {
    int min_bad;           /* fewer bad responses are no evidence */
    double failure_rate;   /* least rate of the old version */
    double old_deviations; /* the old version's rate is known only as well as
                              its counts tell */
    double slow_factor;    /* on the chance of slow responses */
} tests[] = {{3, 0.005, 2, 5 * QUANTILES},
             {2, 0.002, 0, 5 * QUANTILES},
             {2, 0.002, 0, QUANTILES}};
/* Smaller differences are no reason to roll back, however certain they are:
 * versions that differ by two failures in 100 are alike for callers. */
#define FAILURE_EXCESS 0.03
/* Durations are compared if the old version has this many. */
#define MIN_OLD_DURATIONS 20
/* A version is slow if its share of slow responses exceeds the old version's
 * by this: servers that have just started have cold caches. */
#define SLOW_EXCESS 0.08
/* Least rate of slow responses of the old version. */
#define MIN_SLOW_RATE 0.02
/* The old version is taken for good before it has many responses: as if it had
 * so many more. */
#define PRIOR_RESPONSES 20.0
#define PRIOR_BAD 0.1
/* Smaller differences are no reason to roll back, however certain they are:
 * versions that differ by two failures in 100 are alike for callers. */
#define FAILURE_EXCESS 0.03
/* Durations are compared if the old version has this many. */
#define MIN_OLD_DURATIONS 20
/* A version is slow if its share of slow responses exceeds the old version's
 * by this: servers that have just started have cold caches. */
#define SLOW_EXCESS 0.08

struct rollout_route *
rollout_counts_route(struct rollout_counts *c, uint64_t route)
{
    for (int i = 0; i < c->route_count; i++) {
        if (c->routes[i].route == route) {
            return &c->routes[i];
        }
    }
    if (c->route_count == ROLLOUT_MAX_ROUTES) {
        return &c->routes[ROLLOUT_MAX_ROUTES - 1];
    }
    c->routes[c->route_count] = (struct rollout_route){.route = route};
    return &c->routes[c->route_count++];
}

int64_t
rollout_bucket_limit_us(int bucket)
{
    return (int64_t)(FIRST_LIMIT_US * pow(LIMIT_RATIO, bucket));
}

void
rollout_tally_end(struct rollout_tally *t, bool failed, int64_t duration_us)
{
    if (failed) {
        t->failed++;
        return;
    }
    double limit = FIRST_LIMIT_US;
    int i = 0;
    while (i < ROLLOUT_BUCKETS - 1 && (double)duration_us > limit) {
        limit *= LIMIT_RATIO;
        i++;
    }
    t->buckets[i]++;
}

static void
add_tally(struct rollout_tally *sum, const struct rollout_tally *from,
          int sign)
{
    sum->sent += sign * from->sent;
    sum->failed += sign * from->failed;
    for (int i = 0; i < ROLLOUT_BUCKETS; i++) {
        sum->buckets[i] += sign * from->buckets[i];
    }
}

void
rollout_counts_add(struct rollout_counts *sum,
                   const struct rollout_counts *from, int sign)
{
    for (int side = 0; side < ROLLOUT_SIDES; side++) {
        sum->running[side] += sign > 0 ? from->running[side] : 0;
    }
    for (int i = 0; i < from->route_count; i++) {
        struct rollout_route *row =
            rollout_counts_route(sum, from->routes[i].route);
        for (int side = 0; side < ROLLOUT_SIDES; side++) {
            add_tally(&row->sides[side], &from->routes[i].sides[side], sign);
        }
    }
}

static int64_t
good_count(const struct rollout_tally *t)
{
    int64_t n = 0;
    for (int i = 0; i < ROLLOUT_BUCKETS; i++) {
        n += t->buckets[i];
    }
    return n;
}

int64_t
rollout_counts_sent(const struct rollout_counts *c, enum rollout_side side)
{
    int64_t n = 0;
    for (int i = 0; i < c->route_count; i++) {
        n += c->routes[i].sides[side].sent;
    }
    return n;
}

int64_t
rollout_counts_failed(const struct rollout_counts *c, enum rollout_side side)
{
    int64_t n = 0;
    for (int i = 0; i < c->route_count; i++) {
        n += c->routes[i].sides[side].failed;
    }
    return n;
}

int64_t
rollout_counts_ended(const struct rollout_counts *c, enum rollout_side side)
{
    int64_t n = rollout_counts_failed(c, side);
    for (int i = 0; i < c->route_count; i++) {
        n += good_count(&c->routes[i].sides[side]);
    }
    return n;
}

double
rollout_binomial_tail(int64_t n, int64_t k, double p)
{
    if (k <= 0 || p >= 1) {
        return 1;
    }
    if (k > n || p <= 0) {
        return 0;
    }
    if ((double)k <= (double)n * p) {
        return 1; /* Not evidence; the exact value does not matter. */
    }
    double term = exp(lgamma((double)n + 1) - lgamma((double)k + 1) -
                      lgamma((double)(n - k) + 1) + (double)k * log(p) +
                      (double)(n - k) * log1p(-p));
    double sum = 0;
    /* Terms above the mean fall, so the sum ends early. */
    for (int64_t i = k; i <= n && term > sum * 1e-9; i++) {
        sum += term;
        term *= (double)(n - i) / (double)(i + 1) * p / (1 - p);
    }
    return sum < 1 ? sum : 1;
}

/* An upper bound of the old version's rate. */
static double
old_rate(int64_t n, int64_t bad, enum rollout_test test)
{
    double weight = (double)n + PRIOR_RESPONSES;
    double rate = ((double)bad + PRIOR_BAD) / weight;
    return rate +
           tests[test].old_deviations * sqrt(rate * (1 - rate) / weight);
}

static double
old_failure_rate(const struct rollout_tally *old, enum rollout_test test)
{
    return old_rate(old->failed + good_count(old), old->failed, test);
}

/* Chance of the new version's failures if the true rate is @p rate. */
static double
failure_chance(const struct rollout_tally *fresh, double rate,
               enum rollout_test test)
{
    int64_t n = fresh->failed + good_count(fresh);
    if (fresh->failed < tests[test].min_bad ||
        (double)fresh->failed < (rate + FAILURE_EXCESS) * (double)n) {
        return 1;
    }
    return rollout_binomial_tail(n, fresh->failed,
                                 fmax(rate, tests[test].failure_rate));
}

/* The number of durations above bucket @p i. */
static int64_t
count_above(const struct rollout_tally *t, int i)
{
    int64_t n = 0;
    for (int k = i + 1; k < ROLLOUT_BUCKETS; k++) {
        n += t->buckets[k];
    }
    return n;
}

/* Compares the shares of responses that are slower than about 1.5 to 2.3
 * times several quantiles of the old version. */
static double
slow_chance(const struct rollout_tally *fresh, const struct rollout_tally *old,
            enum rollout_test test)
{
    static const double above[QUANTILES] = {0.5, 0.25, 0.1, 0.04};
    int64_t old_n = good_count(old);
    int64_t n = good_count(fresh);
    double least = 1;
    if (old_n < MIN_OLD_DURATIONS || n == 0) {
        return 1;
    }
    for (size_t q = 0; q < QUANTILES; q++) {
        int i = 0;
        while (i < ROLLOUT_BUCKETS - 1 &&
               (double)count_above(old, i) > above[q] * (double)old_n) {
            i++;
        }
        int64_t bad = count_above(fresh, i + 1);
        int64_t old_bad = count_above(old, i + 1);
        if ((double)bad / (double)n <
            (double)old_bad / (double)old_n + SLOW_EXCESS) {
            continue;
        }
        double rate =
            fmax(old_rate(old_n, old_bad, ROLLOUT_TEST_BAD), MIN_SLOW_RATE);
        double p = bad < tests[ROLLOUT_TEST_BAD].min_bad
                       ? 1
                       : rollout_binomial_tail(n, bad, rate) *
                             tests[test].slow_factor;
        least = p < least ? p : least;
    }
    return least;
}

double
rollout_chance(const struct rollout_counts *c, enum rollout_test test,
               const char **why)
{
    struct rollout_tally all[ROLLOUT_SIDES] = {{0}};
    const char *name = "no evidence against it";
    double least = 1;
    for (int i = 0; i < c->route_count; i++) {
        for (int side = 0; side < ROLLOUT_SIDES; side++) {
            add_tally(&all[side], &c->routes[i].sides[side], 1);
        }
    }
    /* A route has few responses, so its rate may be the one of all. */
    double all_rate = old_failure_rate(&all[ROLLOUT_OLD], test);
    for (int i = 0; i < c->route_count; i++) {
        const struct rollout_tally *sides = c->routes[i].sides;
        double rate =
            fmax(all_rate, old_failure_rate(&sides[ROLLOUT_OLD], test));
        /* Each route is one more chance of a false alarm. */
        double failures =
            failure_chance(&sides[ROLLOUT_NEW], rate, test) * c->route_count;
        double slow =
            slow_chance(&sides[ROLLOUT_NEW], &sides[ROLLOUT_OLD], test);
        if (failures < least) {
            least = failures;
            name = "failures on a route";
        }
        if (slow < least) {
            least = slow;
            name = "slow responses on a route";
        }
    }
    double failures = failure_chance(&all[ROLLOUT_NEW], all_rate, test);
    if (failures < least) {
        least = failures;
        name = "failures";
    }
    if (why) {
        *why = name;
    }
    return least;
}
