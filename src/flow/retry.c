#include "flow/retry.h"

#define START 3.0
#define MOST 20.0
#define BASE_US 5000
#define MOST_US 500000

void
retry_init(struct retry_budget *b)
{
    b->tokens = START;
}

void
retry_earn(struct retry_budget *b, int64_t percent)
{
    b->tokens += (double)percent / 100;
    if (b->tokens > MOST) {
        b->tokens = MOST;
    }
}

bool
retry_spend(struct retry_budget *a, struct retry_budget *b)
{
    /* Sums of hundredths fall short of a whole by rounding. */
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
    int64_t top = n > 7 ? MOST_US : (int64_t)BASE_US << n;
    top = top > MOST_US ? MOST_US : top;
    return 1000 + (int64_t)rng_below(rng, (uint64_t)top);
}
