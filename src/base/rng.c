#include "base/rng.h"

#include <math.h>

void
rng_seed(struct rng *rng, uint64_t seed)
{
    rng->state = seed;
}

uint64_t
rng_next(struct rng *rng)
{
    uint64_t z = (rng->state += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

uint64_t
rng_below(struct rng *rng, uint64_t n)
{
    return n ? rng_next(rng) % n : 0;
}

double
rng_uniform(struct rng *rng)
{
    return (double)(rng_next(rng) >> 11) * 0x1.0p-53;
}

double
rng_exp(struct rng *rng, double mean)
{
    return -mean * log(1.0 - rng_uniform(rng));
}
