/**
 * @file limit.h
 * Adaptive limit of this core's calls in flight on one endpoint. The limit
 * starts at this node's share of the endpoint's slots. For an endpoint with
 * load reports it follows the reported queue. For other endpoints it uses
 * additive increase and multiplicative decrease on the latency gradient (ratio
 * of the recent average latency to the latency without load).
 */
#ifndef FLOW_LIMIT_H
#define FLOW_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct limit {
    double value;
    int cap;                  /**< upper bound of value */
    int nodes;                /**< number of nodes that share the endpoint */
    double recent_latency_us; /**< fast moving average of latency */
    double base_latency_us;   /**< latency without load, a low percentile */
    int64_t decreased_us;     /**< time of the last decrease */
};

/** Sets the limit to one node's share of the cap, which is max_in_flight. */
void limit_init(struct limit *l, int cap, int nodes);

/** Changes the cap and the number of nodes. A limit at its old cap or share is
 * set to the new one. */
void limit_set_cap(struct limit *l, int cap, int nodes);

/** Adjusts the limit by a load report: @p running and @p queued calls of the
 * endpoint. @p in_flight is the number of this core's calls to the endpoint,
 * including the answered one. */
void limit_apply_report(struct limit *l, int running, int queued,
                        int in_flight);

/** Adjusts the limit by an answer. @p latency_us must not depend on the length
 * of the answer. @p in_flight includes the answered call. @p overload: the
 * endpoint refused the call because of its load (429, 503). */
void limit_apply_answer(struct limit *l, int64_t now_us, int64_t latency_us,
                        int in_flight, bool overload);

/** Returns the current limit, at least 1. */
int limit_get(const struct limit *l);

#endif
