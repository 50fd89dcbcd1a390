/**
 * @file hist.h
 * Quantile sketch with logarithmic buckets (about 9% relative error) and
 * exponential decay, so that estimates follow a changing service time.
 */
#ifndef BASE_HIST_H
#define BASE_HIST_H

#include <stdint.h>

/* 8 buckets per octave over 32 octaves cover 1 us to over an hour. */
#define HIST_BUCKETS 256

struct hist {
    float weight[HIST_BUCKETS];
    float total;
    float halve_above; /**< weights are halved when total exceeds this */
};

/** Empties the sketch. @p recent_samples is the number of recent samples that
 * dominate (0: no decay). */
void hist_init(struct hist *h, float recent_samples);
void hist_add(struct hist *h, int64_t value);

/** Returns the value at quantile @p q in [0,1]; 0 if there are no samples. */
int64_t hist_quantile(const struct hist *h, double q);

/** Returns the total weight of the samples, which decay has reduced. */
double hist_total_weight(const struct hist *h);

/** Adds the samples of @p from to @p to. */
void hist_merge(struct hist *to, const struct hist *from);

#endif
