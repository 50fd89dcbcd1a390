#include "flow/silence.h"

int64_t
silence_timeout_us(const struct estimate *e, bool started, int64_t floor_us,
                   int64_t left_us)
{
    const struct hist *h = started ? &e->gap : &e->first;
    int64_t p99 = estimate_quantile_or(h, 0.99, -1);
    int64_t us = p99 < 0 ? left_us / 3 : 4 * p99;
    return us > floor_us ? us : floor_us;
}
