#include "flow/estimate.h"

/* Recent answers that dominate a sketch: a changed service time shows within
 * some hundred answers, and p99 still has a few samples above it. */
#define MEMORY 512

void
estimate_init(struct estimate *e)
{
    for (int i = 0; i < ESTIMATE_SIZES; i++) {
        hist_init(&e->service[i], MEMORY);
    }
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

int64_t
estimate_service(const struct estimate *e, int size, double q)
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
estimate_at(const struct hist *h, double q, int64_t otherwise)
{
    return hist_count(h) < ESTIMATE_ENOUGH ? otherwise : hist_quantile(h, q);
}
