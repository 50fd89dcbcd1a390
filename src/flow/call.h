/**
 * @file call.h
 * Handles what happens to a sent call: bytes, tokens, complete answers,
 * faults, silence and hedges.
 */
#ifndef FLOW_CALL_H
#define FLOW_CALL_H

#include "flow/core.h"

void call_on_bytes(struct flow *f, uint64_t attempt);
void call_on_token(struct flow *f, uint64_t attempt, int index,
                   struct str text);
void call_on_answer(struct flow *f, uint64_t attempt, int http_status,
                    struct str body, const struct endpoint_report *report);
void call_on_failure(struct flow *f, uint64_t attempt, enum call_fault fault,
                     bool unsent);

/** Ends a call and has its connection closed. */
void call_cancel(struct flow *f, struct call *c, const char *outcome);

/** Continues a request after the probe of the endpoint that lost its call.
 * @p died: the endpoint is dead, and the request counts as the cause. The
 * request must be in no list. */
void call_on_crash_probe(struct flow *f, struct request *r, bool died);

/** Sets the call's silence timer; it replaces the earlier one. */
void call_arm_silence_timer(struct flow *f, struct call *c, int64_t at_us);
void call_on_silence_timer(struct flow *f, uint64_t attempt);

/** Continues or ends the silent calls of an endpoint whose probe has ended. */
void call_on_probe_result(struct flow *f, const struct endpoint *ep, bool ok);
void call_on_hedge_timer(struct flow *f, uint64_t attempt);

#endif
