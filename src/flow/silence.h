/**
 * @file silence.h
 * The time without received bytes after which the endpoint of a call is probed
 * on a new connection.
 */
#ifndef FLOW_SILENCE_H
#define FLOW_SILENCE_H

#include "flow/estimate.h"

/**
 * Returns four times the p99 of the time to the first byte or, if @p started
 * (bytes were received), of the gap between bytes; at least @p floor_us.
 * Without enough samples it returns a third of @p left_us, the time until the
 * deadline, so that a repeated call can still meet the deadline.
 */
int64_t silence_timeout_us(const struct estimate *e, bool started,
                           int64_t floor_us, int64_t left_us);

#endif
