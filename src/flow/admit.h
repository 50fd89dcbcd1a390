/**
 * @file admit.h
 * Deadline check at admission: compares the p50 service times and queue waits
 * of the remaining stages with the time left until the deadline.
 */
#ifndef FLOW_ADMIT_H
#define FLOW_ADMIT_H

#include "flow/core.h"

/** Estimated service time of a stage of the request at quantile @p q. */
int64_t admit_stage_service_us(const struct flow *f, const struct request *r,
                               int stage, double q);

/** Estimated service time of the stages after the current one, without queue
 * waits. */
int64_t admit_later_stages_us(const struct flow *f, const struct request *r);

/** Expected time from now until the current and all later stages are done,
 * queue waits included. */
int64_t admit_remaining_us(const struct flow *f, const struct request *r);

/** Returns false if the estimate says that the request cannot meet its
 * deadline. A pool with no call in flight and no other queued request always
 * admits: its estimate may be out of date, and only new calls correct it. */
bool admit_can_meet_deadline(const struct flow *f, const struct request *r,
                             int64_t need_us);

#endif
