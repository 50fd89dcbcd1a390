/**
 * @file rng.h
 * Seeded pseudo-random numbers (splitmix64) for decisions. Not for secrets.
 */
#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

struct rng {
    uint64_t state;
};

void rng_seed(struct rng *rng, uint64_t seed);
uint64_t rng_next(struct rng *rng);

/** Uniform in [0, n); 0 if n is 0. */
uint64_t rng_below(struct rng *rng, uint64_t n);

/** Uniform in [0, 1). */
double rng_unit(struct rng *rng);

/** Exponentially distributed with the given mean. */
double rng_exp(struct rng *rng, double mean);

#endif
