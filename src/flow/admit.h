/**
 * @file admit.h
 * Whether a request can still meet its deadline: the p50 of the remaining
 * stages, their queue waits included, against the time left.
 */
#ifndef FLOW_ADMIT_H
#define FLOW_ADMIT_H

#include "flow/core.h"

/** Service time of a stage of the request at quantile @p q. */
int64_t admit_service_us(const struct flow *f, const struct request *r,
                         int stage, double q);

/** Time that the stages after the current one take without queues. */
int64_t admit_rest_us(const struct flow *f, const struct request *r);

/** Expected time from now until the end of the stages from r->stage on. */
int64_t admit_need_us(const struct flow *f, const struct request *r);

/** False if the deadline is out of reach by estimate. A pool with nothing in
 * flight admits in any case: its estimate may be out of date, and nothing
 * else would correct it. */
bool admit_ok(const struct flow *f, const struct request *r, int64_t need_us);

#endif
