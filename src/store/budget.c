#include "store/budget.h"

/* Calls come in small groups; a quarter of a second of them may be made at
 * once without exceeding a limit that counts per second. */
#define BURST_S 0.25
#define JITTER 0.25
#define MIN_RATE 0.001

static double
burst(double rate)
{
    return rate * BURST_S > 1 ? rate * BURST_S : 1;
}

static void
fill(struct budget *b, int64_t now_us)
{
    if (now_us <= b->filled_us) {
        return;
    }
    double s = (double)(now_us - b->filled_us) / 1e6;
    b->filled_us = now_us;
    for (int k = 0; k < BUDGET_KINDS; k++) {
        double t = b->tokens[k] + s * b->rate[k];
        b->tokens[k] = t < burst(b->rate[k]) ? t : burst(b->rate[k]);
    }
}

void
budget_set(struct budget *b, int64_t now_us, double reads_per_s,
           double writes_per_s)
{
    fill(b, now_us);
    b->rate[BUDGET_READ] = reads_per_s > MIN_RATE ? reads_per_s : MIN_RATE;
    b->rate[BUDGET_WRITE] = writes_per_s > MIN_RATE ? writes_per_s : MIN_RATE;
    for (int k = 0; k < BUDGET_KINDS; k++) {
        if (b->tokens[k] > burst(b->rate[k])) {
            b->tokens[k] = burst(b->rate[k]);
        }
    }
}

void
budget_init(struct budget *b, double reads_per_s, double writes_per_s,
            uint64_t seed, int64_t now_us)
{
    *b = (struct budget){.filled_us = now_us};
    rng_seed(&b->rng, seed);
    budget_set(b, now_us, reads_per_s, writes_per_s);
    for (int k = 0; k < BUDGET_KINDS; k++) {
        b->tokens[k] = burst(b->rate[k]);
    }
}

int64_t
budget_take(struct budget *b, int64_t now_us, enum budget_kind kind)
{
    fill(b, now_us);
    if (b->tokens[kind] >= 1) {
        b->tokens[kind] -= 1;
        return 0;
    }
    double wait = (1 - b->tokens[kind]) / b->rate[kind] * 1e6;
    return (int64_t)(wait * (1 + JITTER * rng_unit(&b->rng))) + 1;
}
