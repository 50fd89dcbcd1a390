/**
 * @file silence.h
 * How long a call may stay without a byte before its endpoint is probed on a
 * fresh connection.
 */
#ifndef FLOW_SILENCE_H
#define FLOW_SILENCE_H

#include "flow/estimate.h"

/**
 * Four times the p99 of the wait at hand, at least @p floor_us. Without
 * enough samples a third of @p left_us, the time until the deadline, so that
 * a repeated call still has a chance. @p started: bytes have come.
 */
int64_t silence_wait_us(const struct estimate *e, bool started,
                        int64_t floor_us, int64_t left_us);

#endif
