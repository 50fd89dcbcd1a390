/**
 * @file scenario.h
 * Load experiments in the simulated world, each with one deployment, one
 * fault and one policy.
 */
#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include "bench/deploy.h"

/* Id, name, and load as a share of the capacity. */
#define SCENARIO_LIST(X)                                                      \
    X(STEADY_50, "steady50", 0.5)                                             \
    X(STEADY_80, "steady80", 0.8)                                             \
    X(STEADY_95, "steady95", 0.95)                                            \
    X(BURST, "burst", 0.6)           /* 5 s at three times capacity */        \
    X(SLOW_STAGE, "slow_stage", 0.8) /* generators four times slower */       \
    X(KILL_THIRD, "kill_third", 0.8) /* a third of the generators die */      \
    X(COLD, "cold", 0.7)             /* half of the generators turn cold */   \
    X(CRASHER, "crasher", 0.7)       /* one crashing request, sent again */   \
    X(SILENT, "silent", 0.7) /* open connections to the generators hang */    \
    X(FLOOD, "flood", 0.6)   /* the largest team adds 3 times the load */

enum scenario {
#define X(id, name, load) SCENARIO_##id,
    SCENARIO_LIST(X)
#undef X
        SCENARIO_COUNT
};

const char *scenario_name(enum scenario s);

struct scenario_result {
    int offered;
    int attained;
    int class_offered[DEPLOY_PIPELINES];
    int class_attained[DEPLOY_PIPELINES];
    int team_offered[DEPLOY_TEAMS];
    int team_attained[DEPLOY_TEAMS];
    int refused[ERRKIND_COUNT];
    int late; /**< answered after the deadline */
    int lost;
    int pending; /**< neither answered nor refused by the end: must be 0 */
    int wrong;   /**< must be 0 */
    int doubled_actions; /**< actions run more than once: must be 0 */
    int false_not_run;   /**< refused as not_run although it ran: must be 0 */
    double bound; /**< upper bound of the share attained, from the capacity
                     left */
    double calls_per_offered;
    double retries_over_demand; /**< calls above one per stage of the answered
                                   requests, as a share */
    int64_t cold_overloads;
    int64_t crashes;
    double busy_s[16]; /**< busy time by pool, in slot seconds */
    int64_t first_token_p95_us;
};

/** Runs one scenario for @p seconds of measured arrivals. */
void scenario_run(const struct deploy *d, enum scenario s,
                  enum flow_policy policy, uint64_t seed, int seconds,
                  struct scenario_result *out);

#endif
