#include "flow/retry.h"

#define INITIAL_TOKENS 3.0
#define TOKENS_MAX 20.0
#define BACKOFF_BASE_US 5000
#define BACKOFF_MAX_US 500000

void
retry_budget_init(struct retry_budget *b)
{
    b->tokens = INITIAL_TOKENS;
}

void
retry_budget_earn(struct retry_budget *b, int64_t percent)
{
    b->tokens += (double)percent / 100;
    if (b->tokens > TOKENS_MAX) {
        b->tokens = TOKENS_MAX;
    }
}

bool
retry_budget_spend(struct retry_budget *a, struct retry_budget *b)
{
    /* A sum of hundredths may be just below 1 because of rounding. */
    if (a->tokens < 0.999 || b->tokens < 0.999) {
        return false;
    }
    a->tokens -= 1;
    b->tokens -= 1;
    return true;
}

int64_t
retry_backoff_us(struct rng *rng, int n)
{
    int64_t max_us = n > 7 ? BACKOFF_MAX_US : (int64_t)BACKOFF_BASE_US << n;
    max_us = max_us > BACKOFF_MAX_US ? BACKOFF_MAX_US : max_us;
    return 1000 + (int64_t)rng_below(rng, (uint64_t)max_us);
}
