/**
 * @file request.h
 * Lifecycle of a request: checks on arrival, refusal with an error kind whose
 * `ran` is true, answer, and end.
 */
#ifndef FLOW_REQUEST_H
#define FLOW_REQUEST_H

#include "flow/compose.h"
#include "flow/core.h"

void request_on_arrival(struct flow *f, const struct flow_request *in);
void request_on_caller_gone(struct flow *f, uint64_t req);
void request_on_deadline(struct flow *f, uint64_t req);

/** Admits a request whose claims are all open and starts its first stage. */
void request_admit(struct flow *f, struct request *r);

/**
 * Refuses the request and ends it. @p kind is what happened; the kind that
 * the caller gets follows from it and from what is known of the request's
 * actions, so that `ran` is true. A non-repeatable call that was sent
 * continues, so that its answer is recorded. Before a request that has a key
 * and an open claim is refused as not run, its claims are abandoned, and their
 * owners reply whether the keys are free: the owner that opened the claims may
 * be gone, and another attempt may have run in the meantime.
 */
void request_refuse(struct flow *f, struct request *r, enum errkind kind,
                    const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/** Sends the delayed refusal of a request whose claims have ended. @p known:
 * all owners replied. */
void request_on_claims_ended(struct flow *f, struct request *r, bool known);

/** Answers and ends a request whose stages all have results. */
void request_finish(struct flow *f, struct request *r);

/** Ends a request without sending anything to the caller. */
void request_end(struct flow *f, struct request *r);

/** Removes the request from the queue or list that it waits in. */
void request_remove_from_lists(struct request *r);

void request_fill_compose_input(const struct request *r,
                                struct compose_input *in);

/** True if the pipeline has a non-repeatable stage. */
bool request_needs_key(const struct request *r);

/** Frees the memory of an ended request; only core.c and flow.c call this. */
void request_destroy(struct request *r);

#endif
