#include "flow/limit.h"

/* Recent latency above this multiple of the base means queueing inside the
 * endpoint. The base lies near the tenth percentile, at about 0.6 of the
 * mean, so this is about 1.8 times the unloaded mean. */
#define GRADIENT 3.0
#define DECREASE 0.85
#define RECENT 0.1
/* Steps of the base. It falls fast and rises slowly, and ten times more
 * slowly during overload: lasting overload must not become the measure,
 * a lasting change of the endpoint must, within some thousand answers. */
#define FALL 0.02
#define RISE 0.001

void
limit_init(struct limit *l, int cap)
{
    *l = (struct limit){.value = cap, .cap = cap};
}

void
limit_set_cap(struct limit *l, int cap)
{
    if (l->value >= l->cap || l->value > cap) {
        l->value = cap;
    }
    l->cap = cap;
}

static void
cut(struct limit *l, int64_t now_us)
{
    /* One cut per service time: calls sent before it still answer slowly. */
    if (now_us - l->cut_us < (int64_t)l->recent_us) {
        return;
    }
    l->cut_us = now_us;
    l->value *= DECREASE;
    if (l->value < 1) {
        l->value = 1;
    }
}

void
limit_answer(struct limit *l, int64_t now_us, int64_t latency_us,
             int in_flight, bool overload)
{
    if (overload) {
        cut(l, now_us);
        return;
    }
    double us = (double)(latency_us > 1 ? latency_us : 1);
    if (l->base_us <= 0) {
        l->recent_us = us;
        l->base_us = us / 2;
    }
    l->recent_us += (us - l->recent_us) * RECENT;
    bool steep = l->recent_us > GRADIENT * l->base_us;
    double rise = steep ? RISE / 10 : RISE;
    l->base_us += (us - l->base_us) * (us < l->base_us ? FALL : rise);
    if (steep && in_flight > 1) {
        cut(l, now_us);
    }
    else if (in_flight * 2 >= (int)l->value) {
        l->value += 1 / l->value;
    }
    if (l->value > l->cap) {
        l->value = l->cap;
    }
}

int
limit_get(const struct limit *l)
{
    return l->value < 1 ? 1 : (int)l->value;
}
