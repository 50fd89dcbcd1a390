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
    struct hist base;   /**< of streams: time to the first token */
    struct hist token;  /**< of streams: time per token after the first */
    int64_t learned_us; /**< time of the newest sample of these */
    struct hist first;
    struct hist gap;
};

void estimate_init(struct estimate *e);

/** Size class of a call body: 256 B, 1 KB, 4 KB, 16 KB, 64 KB, more. */
int estimate_size(size_t body_len);

/** Learns a whole answer's service time. */
void estimate_add(struct estimate *e, int64_t now_us, int size, int64_t us);
/** Learns from a stream: its first token after @p us. */
void estimate_base(struct estimate *e, int64_t now_us, int64_t us);
/** Learns from a stream: @p tokens more in @p us. */
void estimate_tokens(struct estimate *e, int64_t now_us, int tokens,
                     int64_t us);

/** Service time at quantile @p q; 0 if nothing is known. A class without
 * samples takes its nearest neighbour's value. @p tokens: at most so many will
 * be generated, 0 for other stages. Without new samples the value is halved
 * every second, so that a refusal by estimate cannot last without end. */
int64_t estimate_service(const struct estimate *e, int64_t now_us, int size,
                         int tokens, double q);

/** True with at least ESTIMATE_ENOUGH samples. */
bool estimate_enough(const struct hist *h);

/** Quantile @p q of @p h, or @p otherwise with fewer than ESTIMATE_ENOUGH
 * samples. */
int64_t estimate_at(const struct hist *h, double q, int64_t otherwise);

#endif
