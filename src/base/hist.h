/**
 * @file hist.h
 * Quantile sketch with logarithmic buckets (about 9% relative error) and
 * exponential forgetting, so that estimates follow a changing service time.
 */
#ifndef BASE_HIST_H
#define BASE_HIST_H

#include <stdint.h>

/* 8 buckets per octave over 32 octaves cover 1 us to over an hour. */
#define HIST_BUCKETS 256

struct hist {
    float weight[HIST_BUCKETS];
    float total;
    float limit; /**< weights are halved when total exceeds this */
};

/** @p memory is the number of recent samples that dominate (0: no decay). */
void hist_init(struct hist *h, float memory);
void hist_add(struct hist *h, int64_t value);

/** The value at quantile @p q in [0,1]; 0 if there are no samples. */
int64_t hist_quantile(const struct hist *h, double q);
double hist_count(const struct hist *h);
void hist_merge(struct hist *to, const struct hist *from);

#endif
