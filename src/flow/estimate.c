#include "flow/estimate.h"

/* Number of recent samples that dominate a sketch: a changed latency shows
 * within a few hundred answers, and some samples still lie above p99. */
#define RECENT_SAMPLES 512
/* The same for service times. A node that makes a few calls a second must
 * notice a change within seconds, and p99 is only a safety margin here. */
#define RECENT_SERVICE_SAMPLES 64
/* Without new samples, service times are halved at this interval. */
#define STALE_HALVING_US 1000000
/* The time per token of shorter parts of a stream is not reliable. */
#define SAMPLE_TOKENS_MIN 4

void
estimate_init(struct estimate *e)
{
    for (int i = 0; i < ESTIMATE_SIZE_CLASSES; i++) {
        hist_init(&e->service[i], RECENT_SERVICE_SAMPLES);
    }
    hist_init(&e->first_token, RECENT_SERVICE_SAMPLES);
    hist_init(&e->per_token, RECENT_SERVICE_SAMPLES);
    hist_init(&e->first, RECENT_SAMPLES);
    hist_init(&e->gap, 4 * RECENT_SAMPLES);
}

int
estimate_size_class(size_t body_len)
{
    int size = 0;
    for (size_t top = 256; body_len > top && size < ESTIMATE_SIZE_CLASSES - 1;
         top *= 4) {
        size++;
    }
    return size;
}

void
estimate_add_service(struct estimate *e, int64_t now_us, int size, int64_t us)
{
    hist_add(&e->service[size], us);
    e->last_sample_us = now_us;
}

void
estimate_add_first_token(struct estimate *e, int64_t now_us, int64_t us)
{
    hist_add(&e->first_token, us);
    e->last_sample_us = now_us;
}

void
estimate_add_tokens(struct estimate *e, int64_t now_us, int tokens, int64_t us)
{
    if (tokens >= SAMPLE_TOKENS_MIN) {
        hist_add(&e->per_token, us / tokens);
        e->last_sample_us = now_us;
    }
}

static int64_t
service_us_by_size(const struct estimate *e, int size, double q)
{
    for (int d = 0; d < ESTIMATE_SIZE_CLASSES; d++) {
        if (size + d < ESTIMATE_SIZE_CLASSES &&
            hist_total_weight(&e->service[size + d]) > 0) {
            return hist_quantile(&e->service[size + d], q);
        }
        if (size - d >= 0 && hist_total_weight(&e->service[size - d]) > 0) {
            return hist_quantile(&e->service[size - d], q);
        }
    }
    return 0;
}

int64_t
estimate_service_us(const struct estimate *e, int64_t now_us, int size,
                    int tokens, double q)
{
    int64_t us = tokens > 0 && hist_total_weight(&e->per_token) > 0
                     ? hist_quantile(&e->first_token, q) +
                           tokens * hist_quantile(&e->per_token, q)
                     : service_us_by_size(e, size, q);
    int64_t age = (now_us - e->last_sample_us) / STALE_HALVING_US;
    return age > 0 ? us >> (age < 40 ? age : 40) : us;
}

bool
estimate_has_enough_samples(const struct hist *h)
{
    return hist_total_weight(h) >= ESTIMATE_MIN_SAMPLES;
}

int64_t
estimate_quantile_or(const struct hist *h, double q, int64_t otherwise)
{
    return estimate_has_enough_samples(h) ? hist_quantile(h, q) : otherwise;
}
