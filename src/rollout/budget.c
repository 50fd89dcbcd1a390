#include "rollout/rollout_state.h"

/* Part of the budget that is planned with; the rest is for requests that are
 * sent before a decision is known to all nodes. */
#define PLANNED_PART 0.85
/* Later requests are expected at this part of the rate so far, since a burst
 * may have been seen. */
#define EXPECTED_PART 0.7
/* Observation uses this part of the budget if it is small, since a version
 * whose every tenth response is bad shows only after about 60 responses, and
 * less if that many are a small part of it: the rest is for a version that
 * turns bad as all traffic moves. */
#define OBSERVE_PART 0.85
#define OBSERVE_MIN_PART 0.35
#define OBSERVE_ENOUGH 150.0
/* Old servers must keep enough traffic to compare with. */
#define MAX_SHARE 0.7
/* One new server has this many times the load of an old one at the share that
 * is sought, as a version may be bad under load only. If the budget does not
 * allow it for all of the time, less is used of it at first. */
#define LOAD_FACTOR 1.2
#define UNLOADED_PART 0.4
/* The share is planned for this time at least. */
#define MIN_HORIZON_US (500 * MS)
/* Time from the move to completion without requests in progress: three writes
 * to a slow store, each followed by a watch and a report take SETTLE_MIN_US,
 * and as much again if the decider is killed meanwhile. A short order leaves
 * SETTLE_PART for it, so that the new version is observed for some time. */
#define SETTLE_MIN_US (2500 * MS)
#define SETTLE_MAX_US (5000 * MS)
#define SETTLE_PART 0.35
/* Steps that wait for a report of each node. */
#define STEP_REPORTS 2
#define LONGEST_FACTOR 1.2
/* The new version is observed for at least this part of the time. */
#define MIN_OBSERVED_PART 0.4

double
rollout_budget_total(const struct rollout_budget *b)
{
    double seen = (double)(b->sent[ROLLOUT_OLD] + b->sent[ROLLOUT_NEW]);
    double left_us = (double)(b->duration_us - b->elapsed_us);
    double expected =
        b->elapsed_us > 0 && left_us > 0
            ? seen / (double)b->elapsed_us * left_us * EXPECTED_PART
            : 0;
    return PLANNED_PART *
           (b->expose_share * (seen + expected) + b->expose_slack);
}

int
rollout_budget_share(const struct rollout_budget *b)
{
    double total = rollout_budget_total(b);
    double part = OBSERVE_PART * total;
    double enough = MAX(OBSERVE_MIN_PART * total, OBSERVE_ENOUGH);
    /* After the time of the move, only a doubt about the version keeps it. */
    part = b->elapsed_us < b->move_us ? MIN(part, enough) : total;
    double seen = (double)(b->sent[ROLLOUT_OLD] + b->sent[ROLLOUT_NEW]);
    double left_us = (double)MAX(b->move_us - b->elapsed_us, MIN_HORIZON_US);
    double expected =
        b->elapsed_us > 0 ? seen / (double)b->elapsed_us * left_us : 0;
    double room = part - (double)b->sent[ROLLOUT_NEW];
    if (room <= 0) {
        return 0;
    }
    double share = expected > 0 ? room / expected : MAX_SHARE;
    double loaded = LOAD_FACTOR / MAX(b->old_servers, 1);
    if (share < MIN(loaded, MAX_SHARE)) {
        share *= UNLOADED_PART;
    }
    return (int)(MIN(share, MAX_SHARE) * PPM);
}

int64_t
rollout_move_time_us(int64_t duration_us, int64_t longest_us, int64_t tick_us)
{
    int64_t settle_us = (int64_t)(SETTLE_PART * (double)duration_us);
    settle_us = CLAMP(settle_us, SETTLE_MIN_US, SETTLE_MAX_US);
    int64_t need_us = settle_us + STEP_REPORTS * tick_us +
                      (int64_t)(LONGEST_FACTOR * (double)longest_us);
    int64_t least_us = (int64_t)(MIN_OBSERVED_PART * (double)duration_us);
    return MAX(duration_us - need_us, least_us);
}
