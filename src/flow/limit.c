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
/* A reported queue up to this part of the running calls keeps all slots busy
 * between an answer and the next call. */
#define SPARE 4
/* Decrease per answer that reports a longer queue. */
#define QUEUED_STEP 0.5

/* With the shares rounded up, the nodes together pass the slots by less than
 * their number. */
static int
share(int slots, int nodes)
{
    return nodes > 1 ? (slots + nodes - 1) / nodes : slots;
}

void
limit_init(struct limit *l, int cap, int nodes)
{
    *l =
        (struct limit){.value = share(cap, nodes), .cap = cap, .nodes = nodes};
}

void
limit_set_cap(struct limit *l, int cap, int nodes)
{
    if (l->value == share(l->cap, l->nodes)) {
        l->value = share(cap, nodes);
    }
    else if (l->value >= l->cap || l->value > cap) {
        l->value = cap;
    }
    l->cap = cap;
    l->nodes = nodes;
}

void
limit_report(struct limit *l, int running, int queued, int in_flight)
{
    if (queued > running / SPARE) {
        /* An endpoint that queues runs as many calls as it has slots. */
        int least = share(running, l->nodes);
        double value = l->value - QUEUED_STEP;
        l->value = value > least ? value : least < l->value ? least : l->value;
    }
    else if (queued == 0 && in_flight >= (int)l->value) {
        l->value += 1 / l->value;
    }
    l->value = l->value > l->cap ? l->cap : l->value < 1 ? 1 : l->value;
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
