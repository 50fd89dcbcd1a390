/**
 * @file estimate.h
 * Latency estimates of one pool: quantile sketches of its calls' service time
 * by size class, time to the first byte, and gaps between bytes of streams.
 */
#ifndef FLOW_ESTIMATE_H
#define FLOW_ESTIMATE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/hist.h"

#define ESTIMATE_SIZE_CLASSES 6
/* With fewer samples p95 and p99 are not usable. */
#define ESTIMATE_MIN_SAMPLES 20

struct estimate {
    struct hist service[ESTIMATE_SIZE_CLASSES]; /**< microseconds */
    struct hist first_token; /**< streams: microseconds to the first token */
    struct hist per_token;   /**< streams: microseconds per later token */
    int64_t last_sample_us;  /**< time of the newest sample of those above */
    struct hist first;       /**< microseconds to the first byte */
    struct hist gap; /**< microseconds between received bytes of a call */
};

void estimate_init(struct estimate *e);

/** Returns the size class of a call body; the classes end at 256 B, 1 KB,
 * 4 KB, 16 KB and 64 KB, and the last has no upper bound. */
int estimate_size_class(size_t body_len);

/** Adds the service time of a complete answer. */
void estimate_add_service(struct estimate *e, int64_t now_us, int size,
                          int64_t us);
/** Adds the time from the start of a stream to its first token. */
void estimate_add_first_token(struct estimate *e, int64_t now_us, int64_t us);
/** Adds the pace of a stream: @p tokens later tokens in @p us. */
void estimate_add_tokens(struct estimate *e, int64_t now_us, int tokens,
                         int64_t us);

/** Returns the service time at quantile @p q, or 0 without samples. A size
 * class without samples takes the value of the nearest class that has some.
 * @p tokens is the maximum number of generated tokens, 0 for stages that
 * generate none. Without new samples the value is halved every second, so that
 * an estimate that refuses all requests expires. */
int64_t estimate_service_us(const struct estimate *e, int64_t now_us, int size,
                            int tokens, double q);

/** Returns true if @p h has at least ESTIMATE_MIN_SAMPLES samples. */
bool estimate_has_enough_samples(const struct hist *h);

/** Returns quantile @p q of @p h, or @p otherwise with fewer than
 * ESTIMATE_MIN_SAMPLES samples. */
int64_t estimate_quantile_or(const struct hist *h, double q,
                             int64_t otherwise);

#endif
