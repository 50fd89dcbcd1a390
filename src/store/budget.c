#include "store/budget.h"

/* Calls arrive in small bursts. A bucket holds the calls of a quarter of a
 * second, so a burst does not exceed a limit that counts per second. */
#define BUCKET_S 0.25
#define MAX_JITTER 0.25
#define MIN_RATE_PER_S 0.001

static double
bucket_capacity(double rate)
{
    return rate * BUCKET_S > 1 ? rate * BUCKET_S : 1;
}

static void
refill(struct budget *b, int64_t now_us)
{
    if (now_us <= b->refilled_us) {
        return;
    }
    double elapsed_s = (double)(now_us - b->refilled_us) / 1e6;
    b->refilled_us = now_us;
    for (int k = 0; k < BUDGET_KINDS; k++) {
        double tokens_now = b->tokens[k] + elapsed_s * b->rate[k];
        b->tokens[k] = tokens_now < bucket_capacity(b->rate[k])
                           ? tokens_now
                           : bucket_capacity(b->rate[k]);
    }
}

void
budget_set_rates(struct budget *b, int64_t now_us, double reads_per_s,
                 double writes_per_s)
{
    refill(b, now_us);
    b->rate[BUDGET_READ] =
        reads_per_s > MIN_RATE_PER_S ? reads_per_s : MIN_RATE_PER_S;
    b->rate[BUDGET_WRITE] =
        writes_per_s > MIN_RATE_PER_S ? writes_per_s : MIN_RATE_PER_S;
    for (int k = 0; k < BUDGET_KINDS; k++) {
        if (b->tokens[k] > bucket_capacity(b->rate[k])) {
            b->tokens[k] = bucket_capacity(b->rate[k]);
        }
    }
}

void
budget_init(struct budget *b, double reads_per_s, double writes_per_s,
            uint64_t seed, int64_t now_us)
{
    *b = (struct budget){.refilled_us = now_us};
    rng_seed(&b->rng, seed);
    budget_set_rates(b, now_us, reads_per_s, writes_per_s);
    for (int k = 0; k < BUDGET_KINDS; k++) {
        b->tokens[k] = bucket_capacity(b->rate[k]);
    }
}

int64_t
budget_take(struct budget *b, int64_t now_us, enum budget_kind kind)
{
    refill(b, now_us);
    if (b->tokens[kind] >= 1) {
        b->tokens[kind] -= 1;
        return 0;
    }
    double wait_us = (1 - b->tokens[kind]) / b->rate[kind] * 1e6;
    return (int64_t)(wait_us * (1 + MAX_JITTER * rng_uniform(&b->rng))) + 1;
}
