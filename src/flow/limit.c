#include "flow/limit.h"

/* A recent latency above this multiple of the base means queueing inside the
 * endpoint. The base lies near the tenth percentile, at about 0.6 of the
 * mean, so this is about 1.8 times the unloaded mean. */
#define GRADIENT_MAX 3.0
#define DECREASE_FACTOR 0.85
/* Weight of a sample in the moving average of latency. */
#define RECENT_WEIGHT 0.1
/* Weights of a sample in the base latency. The base falls fast and rises
 * slowly, and ten times more slowly during overload: lasting overload must not
 * raise the base, but a lasting change of the endpoint must do so within a few
 * thousand answers. */
#define BASE_FALL_WEIGHT 0.02
#define BASE_RISE_WEIGHT 0.001
/* A reported queue of up to the running calls divided by this does not lower
 * the limit: it keeps all slots busy between an answer and the next call. */
#define ALLOWED_QUEUE_DIVISOR 4
/* Decrease per answer that reports a longer queue. */
#define QUEUED_DECREASE 0.5

/* Shares are rounded up, so the sum over all nodes exceeds the slots by less
 * than the number of nodes. */
static int
node_share(int slots, int nodes)
{
    return nodes > 1 ? (slots + nodes - 1) / nodes : slots;
}

void
limit_init(struct limit *l, int cap, int nodes)
{
    *l = (struct limit){
        .value = node_share(cap, nodes), .cap = cap, .nodes = nodes};
}

void
limit_set_cap(struct limit *l, int cap, int nodes)
{
    if (l->value == node_share(l->cap, l->nodes)) {
        l->value = node_share(cap, nodes);
    }
    else if (l->value >= l->cap || l->value > cap) {
        l->value = cap;
    }
    l->cap = cap;
    l->nodes = nodes;
}

void
limit_apply_report(struct limit *l, int running, int queued, int in_flight)
{
    if (queued > running / ALLOWED_QUEUE_DIVISOR) {
        /* An endpoint with a queue has all of its slots in use. */
        int minimum = node_share(running, l->nodes);
        double value = l->value - QUEUED_DECREASE;
        l->value = value > minimum      ? value
                   : minimum < l->value ? minimum
                                        : l->value;
    }
    else if (queued == 0 && in_flight >= (int)l->value) {
        l->value += 1 / l->value;
    }
    l->value = l->value > l->cap ? l->cap : l->value < 1 ? 1 : l->value;
}

static void
decrease_limit(struct limit *l, int64_t now_us)
{
    /* At most one decrease per service time: calls that were sent before it
     * are still slow. */
    if (now_us - l->decreased_us < (int64_t)l->recent_latency_us) {
        return;
    }
    l->decreased_us = now_us;
    l->value *= DECREASE_FACTOR;
    if (l->value < 1) {
        l->value = 1;
    }
}

void
limit_apply_answer(struct limit *l, int64_t now_us, int64_t latency_us,
                   int in_flight, bool overload)
{
    if (overload) {
        decrease_limit(l, now_us);
        return;
    }
    double us = (double)(latency_us > 1 ? latency_us : 1);
    if (l->base_latency_us <= 0) {
        l->recent_latency_us = us;
        l->base_latency_us = us / 2;
    }
    l->recent_latency_us += (us - l->recent_latency_us) * RECENT_WEIGHT;
    bool is_queueing =
        l->recent_latency_us > GRADIENT_MAX * l->base_latency_us;
    double rise_weight =
        is_queueing ? BASE_RISE_WEIGHT / 10 : BASE_RISE_WEIGHT;
    l->base_latency_us +=
        (us - l->base_latency_us) *
        (us < l->base_latency_us ? BASE_FALL_WEIGHT : rise_weight);
    if (is_queueing && in_flight > 1) {
        decrease_limit(l, now_us);
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
