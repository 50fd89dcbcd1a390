/**
 * @file retry.h
 * Budgets and backoff of retries and hedges. A budget earns a percentage of a
 * token for each first call and spends one token for each repeated call.
 */
#ifndef FLOW_RETRY_H
#define FLOW_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"

/** Maximum number of sent calls of one stage; calls that failed before they
 * were sent are not counted. */
#define RETRY_CALLS_MAX 4
/** Maximum number of calls of one stage that failed before they were sent. */
#define RETRY_UNSENT_CALLS_MAX 16

struct retry_budget {
    double tokens;
};

/** Starts a budget with a few tokens, so that a pool with little traffic can
 * retry too. */
void retry_budget_init(struct retry_budget *b);

/** Adds @p percent hundredths of a token, for one first call. */
void retry_budget_earn(struct retry_budget *b, int64_t percent);

/** Takes one token from both budgets and returns true; takes nothing and
 * returns false if one of them has none. */
bool retry_budget_spend(struct retry_budget *a, struct retry_budget *b);

/** Returns the wait before repeat number @p n (from 0): exponential backoff
 * with full jitter. */
int64_t retry_backoff_us(struct rng *rng, int n);

#endif
