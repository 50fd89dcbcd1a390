#include "base/hist.h"

#include <math.h>
#include <string.h>

static int
bucket_of(int64_t value)
{
    if (value < 1) {
        return 0;
    }
    int b = (int)(log2((double)value) * 8.0);
    return b < 0 ? 0 : b >= HIST_BUCKETS ? HIST_BUCKETS - 1 : b;
}

void
hist_init(struct hist *h, float recent_samples)
{
    memset(h, 0, sizeof(*h));
    h->halve_above = recent_samples;
}

void
hist_add(struct hist *h, int64_t value)
{
    h->weight[bucket_of(value)] += 1;
    h->total += 1;
    if (h->halve_above > 0 && h->total > h->halve_above) {
        for (int i = 0; i < HIST_BUCKETS; i++) {
            h->weight[i] /= 2;
        }
        h->total /= 2;
    }
}

int64_t
hist_quantile(const struct hist *h, double q)
{
    if (h->total <= 0) {
        return 0;
    }
    double target = q * h->total;
    double sum = 0;
    int last = 0;
    for (int i = 0; i < HIST_BUCKETS; i++) {
        if (h->weight[i] <= 0) {
            continue;
        }
        sum += h->weight[i];
        last = i;
        if (sum >= target) {
            break;
        }
    }
    return (int64_t)exp2((last + 0.5) / 8.0);
}

double
hist_total_weight(const struct hist *h)
{
    return h->total;
}

void
hist_merge(struct hist *to, const struct hist *from)
{
    for (int i = 0; i < HIST_BUCKETS; i++) {
        to->weight[i] += from->weight[i];
    }
    to->total += from->total;
}
