#include "flow/estimate.h"

/* Recent answers that dominate a sketch: a changed service time shows within
 * some hundred answers, and p99 still has a few samples above it. */
#define MEMORY 512
/* Of service times: at some calls a second and node a change must show within
 * seconds, and quantiles up to p99 are only margins here. */
#define SERVICE_MEMORY 64
#define STALE_US 1000000
/* Shorter parts of a stream say little of its pace. */
#define TOKENS_MIN 4

void
estimate_init(struct estimate *e)
{
    for (int i = 0; i < ESTIMATE_SIZES; i++) {
        hist_init(&e->service[i], SERVICE_MEMORY);
    }
    hist_init(&e->base, SERVICE_MEMORY);
    hist_init(&e->token, SERVICE_MEMORY);
    hist_init(&e->first, MEMORY);
    hist_init(&e->gap, 4 * MEMORY);
}

int
estimate_size(size_t body_len)
{
    int size = 0;
    for (size_t top = 256; body_len > top && size < ESTIMATE_SIZES - 1;
         top *= 4) {
        size++;
    }
    return size;
}

void
estimate_add(struct estimate *e, int64_t now_us, int size, int64_t us)
{
    hist_add(&e->service[size], us);
    e->learned_us = now_us;
}

void
estimate_base(struct estimate *e, int64_t now_us, int64_t us)
{
    hist_add(&e->base, us);
    e->learned_us = now_us;
}

void
estimate_tokens(struct estimate *e, int64_t now_us, int tokens, int64_t us)
{
    if (tokens >= TOKENS_MIN) {
        hist_add(&e->token, us / tokens);
        e->learned_us = now_us;
    }
}

static int64_t
by_size(const struct estimate *e, int size, double q)
{
    for (int d = 0; d < ESTIMATE_SIZES; d++) {
        if (size + d < ESTIMATE_SIZES &&
            hist_count(&e->service[size + d]) > 0) {
            return hist_quantile(&e->service[size + d], q);
        }
        if (size - d >= 0 && hist_count(&e->service[size - d]) > 0) {
            return hist_quantile(&e->service[size - d], q);
        }
    }
    return 0;
}

int64_t
estimate_service(const struct estimate *e, int64_t now_us, int size,
                 int tokens, double q)
{
    int64_t us =
        tokens > 0 && hist_count(&e->token) > 0
            ? hist_quantile(&e->base, q) + tokens * hist_quantile(&e->token, q)
            : by_size(e, size, q);
    int64_t age = (now_us - e->learned_us) / STALE_US;
    return age > 0 ? us >> (age < 40 ? age : 40) : us;
}

bool
estimate_enough(const struct hist *h)
{
    return hist_count(h) >= ESTIMATE_ENOUGH;
}

int64_t
estimate_at(const struct hist *h, double q, int64_t otherwise)
{
    return estimate_enough(h) ? hist_quantile(h, q) : otherwise;
}
