/**
 * @file evidence.h
 * What nodes have counted of two versions of a service, and the statistical
 * tests that compare them. Without I/O. Made for 0 to 4,000 requests per
 * second and a tested version that gets 1 to 100 percent of them.
 */
#ifndef ROLLOUT_EVIDENCE_H
#define ROLLOUT_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#define ROLLOUT_MAX_ROUTES 6
/** Durations are counted in buckets whose limits grow by half: 2 ms to 33 s.
 */
#define ROLLOUT_BUCKETS 24

enum rollout_side { ROLLOUT_OLD, ROLLOUT_NEW, ROLLOUT_SIDES };

/** Counts of one route and version since the order. */
struct rollout_tally {
    int64_t sent;
    int64_t failed;                   /**< bad responses */
    int64_t buckets[ROLLOUT_BUCKETS]; /**< good responses, by duration */
};

struct rollout_route {
    uint64_t route; /**< hash of its name */
    struct rollout_tally sides[ROLLOUT_SIDES];
};

/** Counts of one node, or of all. */
struct rollout_counts {
    int64_t running[ROLLOUT_SIDES]; /**< requests in progress */
    int route_count;
    struct rollout_route routes[ROLLOUT_MAX_ROUTES];
};

/** Returns the row of a route, which is added if it is new. Routes beyond the
 * maximum share the last row. */
struct rollout_route *rollout_counts_route(struct rollout_counts *c,
                                           uint64_t route);
/** Upper limit of a bucket of durations. */
int64_t rollout_bucket_limit_us(int bucket);
/** Counts the end of a request. @param duration_us to the first byte for
 * streams */
void rollout_tally_end(struct rollout_tally *t, bool failed,
                       int64_t duration_us);
/** Adds @p sign (1 or -1) times @p from, except the requests in progress,
 * which are only added. */
void rollout_counts_add(struct rollout_counts *sum,
                        const struct rollout_counts *from, int sign);
int64_t rollout_counts_sent(const struct rollout_counts *c,
                            enum rollout_side side);
/** Number of responses, good and bad. */
int64_t rollout_counts_ended(const struct rollout_counts *c,
                             enum rollout_side side);
int64_t rollout_counts_failed(const struct rollout_counts *c,
                              enum rollout_side side);

/** Probability of @p k or more events among @p n with probability @p p each.
 */
double rollout_binomial_tail(int64_t n, int64_t k, double p);
/** How the new version's rates are judged. */
enum rollout_test {
    ROLLOUT_TEST_BAD,   /**< against an upper bound of the old version's rate,
                           for what a good version must not show */
    ROLLOUT_TEST_MOVED, /**< as DOUBT for failures and as BAD for slow
                           responses, when a decision cannot wait */
    ROLLOUT_TEST_DOUBT, /**< against the rate itself and from fewer bad
                           responses, for what needs more evidence */
};

/** Returns the smallest probability that the new version's failures or slow
 * responses are chance, over all routes and tests; 1 without evidence.
 * @param why receives a static text that names the test; may be NULL */
double rollout_chance(const struct rollout_counts *c, enum rollout_test test,
                      const char **why);

#endif
