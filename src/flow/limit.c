#include "flow/limit.h"

/* Service time above this multiple of the floor means queueing inside the
 * endpoint. Batching engines slow down up to about 2x at full batches. */
#define GRADIENT 2.5
#define DECREASE 0.85

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
limit_answer(struct limit *l, int64_t now_us, int64_t service_us,
             int in_flight, bool overload)
{
    if (overload) {
        cut(l, now_us);
        return;
    }
    double us = (double)(service_us > 1 ? service_us : 1);
    l->recent_us += (us - l->recent_us) * (l->recent_us > 0 ? 0.2 : 1);
    if (l->floor_us <= 0 || us < l->floor_us) {
        l->floor_us = us;
    }
    else {
        /* The floor rises slowly, so that a lasting change of the service
         * time is not taken for load for ever. */
        l->floor_us += (us - l->floor_us) * 0.01;
    }
    if (l->recent_us > GRADIENT * l->floor_us && in_flight > 1) {
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
