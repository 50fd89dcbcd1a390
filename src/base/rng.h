/**
 * @file rng.h
 * Seeded pseudo-random numbers (splitmix64). Must not be used for secrets.
 */
#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

struct rng {
    uint64_t state;
};

void rng_seed(struct rng *rng, uint64_t seed);
uint64_t rng_next(struct rng *rng);

/** Returns a uniform number in [0, n); 0 if n is 0. */
uint64_t rng_below(struct rng *rng, uint64_t n);

/** Returns a uniform number in [0, 1). */
double rng_uniform(struct rng *rng);

/** Returns an exponentially distributed number with the given mean. */
double rng_exp(struct rng *rng, double mean);

#endif
