/**
 * @file budget.h
 * Token buckets that limit the calls to the key-value service, one bucket for
 * reads and one for writes. Time and seed are passed in.
 */
#ifndef STORE_BUDGET_H
#define STORE_BUDGET_H

#include <stdint.h>

#include "base/rng.h"

enum budget_kind { BUDGET_READ, BUDGET_WRITE, BUDGET_KINDS };

struct budget {
    double rate[BUDGET_KINDS];   /**< calls per second, per kind */
    double tokens[BUDGET_KINDS]; /**< calls that may be made now */
    int64_t refilled_us;         /**< when the tokens were last refilled */
    struct rng rng;
};

/** Starts with full buckets. A bucket holds the calls of 250 ms, at least one
 * call. */
void budget_init(struct budget *b, double reads_per_s, double writes_per_s,
                 uint64_t seed, int64_t now_us);

/** Changes the rates, for example when the number of nodes changes. */
void budget_set_rates(struct budget *b, int64_t now_us, double reads_per_s,
                      double writes_per_s);

/**
 * Takes a token for one call.
 * @return 0 if the call may be made now, else the time in us after which to
 * try again, with up to 25% jitter so that nodes do not call at the same time
 */
int64_t budget_take(struct budget *b, int64_t now_us, enum budget_kind kind);

#endif
