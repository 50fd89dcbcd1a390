/**
 * @file estimate.h
 * Quantile sketches of one pool, learned from its answers: service time by
 * size class, time to the first byte, and gaps between bytes of streams.
 */
#ifndef FLOW_ESTIMATE_H
#define FLOW_ESTIMATE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/hist.h"

#define ESTIMATE_SIZES 6
/* Fewer samples give no usable p95 or p99. */
#define ESTIMATE_ENOUGH 20

struct estimate {
    struct hist service[ESTIMATE_SIZES]; /**< microseconds */
    struct hist first;
    struct hist gap;
};

void estimate_init(struct estimate *e);

/** Size class of a call body: 256 B, 1 KB, 4 KB, 16 KB, 64 KB, more. */
int estimate_size(size_t body_len);

/** Service time at quantile @p q; 0 if nothing is known. A class without
 * samples takes its nearest neighbour's value. */
int64_t estimate_service(const struct estimate *e, int size, double q);

/** Quantile @p q of @p h, or @p otherwise with fewer than ESTIMATE_ENOUGH
 * samples. */
int64_t estimate_at(const struct hist *h, double q, int64_t otherwise);

#endif
