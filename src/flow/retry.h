/**
 * @file retry.h
 * Budgets and backoff of retries and hedges. A budget earns a share of each
 * call of the demand and is spent by repeated calls.
 */
#ifndef FLOW_RETRY_H
#define FLOW_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"

/** Calls of one stage that were sent; unsent ones are not counted. */
#define RETRY_CALLS_MAX 4
/** Calls of one stage that failed unsent. */
#define RETRY_UNSENT_MAX 16

struct retry_budget {
    double tokens;
};

/** A few repeats are free, so that a quiet pool can retry at all. */
void retry_init(struct retry_budget *b);

/** Credits one call of the demand. */
void retry_earn(struct retry_budget *b, int64_t percent);

/** Takes one repeat from both budgets, or from none. */
bool retry_spend(struct retry_budget *a, struct retry_budget *b);

/** Wait before repeat number @p n (from 0), exponential with full jitter. */
int64_t retry_backoff_us(struct rng *rng, int n);

#endif
