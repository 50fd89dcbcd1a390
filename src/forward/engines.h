/**
 * @file engines.h
 * Engine part of the forwarding core: times first events and passes them on to
 * other nodes, counts the work sent to engines, and sets the urgency of calls.
 * Private to src/forward.
 */
#ifndef FORWARD_ENGINES_H
#define FORWARD_ENGINES_H

#include "forward/state.h"

/** Returns the memory that the output of a request may need, in tokens. */
int64_t engines_output_tokens(const struct forward_request *in);
/** Counts a call that is about to be sent to an engine. */
void engines_call_started(struct forward *f, int64_t now_us, struct request *r,
                          struct endpoint *e);
/** Counts the end of a call, for whatever reason. */
void engines_call_ended(int64_t now_us, struct request *r);
/** Handles the first event of a call. */
void engines_first_event(struct forward *f, int64_t now_us,
                         const struct request *r);
/** Returns the urgency of a call to an engine, 0 (first) to 9: by rank, then
 * by the time left to the latency objective. */
int engines_urgency(struct forward *f, int64_t now_us,
                    const struct request *r);
/** Handles first events that another node has timed. */
void engines_handle_notice(struct forward *f, int64_t now_us,
                           const struct engine_notice *n);
/** Counts a prompt that another node has sent. */
void engines_handle_prefill_notice(const struct forward *f, int64_t now_us,
                                   struct endpoint *e,
                                   const struct prefill_notice *n);

#endif
