/**
 * @file limit.h
 * Adaptive limit of this core's calls in flight on one endpoint. It starts at
 * this node's share of the endpoint's slots. For an endpoint with load reports
 * it follows the reported queue; for others, additive increase and
 * multiplicative decrease on the latency gradient (recent average against the
 * latency without load).
 */
#ifndef FLOW_LIMIT_H
#define FLOW_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct limit {
    double value;
    int cap;
    int nodes;        /**< that share the endpoint */
    double recent_us; /**< fast moving average of latency */
    double base_us;   /**< low percentile, without load */
    int64_t cut_us;   /**< time of the last decrease */
};

/** Starts at the share of one node in the cap, which is max_in_flight. */
void limit_init(struct limit *l, int cap, int nodes);

/** Changes the cap and the number of nodes; a limit at its old cap or share
 * follows. */
void limit_set_cap(struct limit *l, int cap, int nodes);

/** Learns from a load report: calls that the endpoint runs and queues.
 * @p in_flight: this core's calls there, the answered one included. */
void limit_report(struct limit *l, int running, int queued, int in_flight);

/** Learns from an answer. @p latency_us must not depend on the length of the
 * answer. @p in_flight counts the answered call.
 * @p overload: the endpoint refused for load (429, 503). */
void limit_answer(struct limit *l, int64_t now_us, int64_t latency_us,
                  int in_flight, bool overload);
int limit_get(const struct limit *l);

#endif
