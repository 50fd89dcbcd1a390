/**
 * @file call.h
 * What becomes of a sent call: bytes, tokens, whole answers, faults, silence
 * and hedges.
 */
#ifndef FLOW_CALL_H
#define FLOW_CALL_H

#include "flow/core.h"

void call_bytes(struct flow *f, uint64_t attempt);
void call_token(struct flow *f, uint64_t attempt, int index, struct str text);
void call_answer(struct flow *f, uint64_t attempt, int http_status,
                 struct str body, const struct call_report *report);
void call_failed(struct flow *f, uint64_t attempt, enum call_fault fault,
                 bool unsent);

/** Abandons a call and closes its connection. */
void call_cancel(struct flow *f, struct call *c, const char *outcome);

/** A lost call's endpoint was probed: @p died says whether the request is to
 * blame. The request waits in no list. */
void call_verdict(struct flow *f, struct request *r, bool died);

/** Arms the silence rule's timer; earlier ones are void. */
void call_listen(struct flow *f, struct call *c, int64_t at_us);
void call_silence_timer(struct flow *f, uint64_t attempt);

/** A probe of the endpoint ended: decides on its silent calls. */
void call_probed(struct flow *f, const struct endpoint *ep, bool ok);
void call_hedge_timer(struct flow *f, uint64_t attempt);

#endif
