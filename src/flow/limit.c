#include "flow/limit.h"

/* Recent latency above this multiple of the long-term one means queueing
 * inside the endpoint. Batching engines slow down up to about 1.5x at full
 * batches. */
#define GRADIENT 2.0
#define DECREASE 0.85
#define RECENT 0.1
#define LONG 0.01

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
    if (l->long_us <= 0) {
        l->recent_us = l->long_us = us;
    }
    l->recent_us += (us - l->recent_us) * RECENT;
    l->long_us += (us - l->long_us) * LONG;
    if (l->long_us > GRADIENT * l->recent_us) {
        /* Recovers from a time of overload, which raised the average. */
        l->long_us *= 0.95;
    }
    if (l->recent_us > GRADIENT * l->long_us && in_flight > 1) {
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
