/**
 * @file request.h
 * Life of a request: checks on arrival, refusal with a truthful kind, answer,
 * and end.
 */
#ifndef FLOW_REQUEST_H
#define FLOW_REQUEST_H

#include "flow/compose.h"
#include "flow/core.h"

void request_arrive(struct flow *f, const struct flow_request *in);
void request_caller_gone(struct flow *f, uint64_t req);
void request_deadline(struct flow *f, uint64_t req);

/** All claims are open: admission, then the first stage. */
void request_admit(struct flow *f, struct request *r);

/**
 * Refuses the request and ends it. The kind given is what happened; the kind
 * that the caller gets follows from it and from what is known of the
 * request's actions, so that `ran` is true. A sent non-repeatable call goes
 * on, so that its answer is recorded. Before a keyed request with an open
 * claim is refused as not run, its claims are abandoned, and their owners say
 * whether the keys are free: the owner that opened them may be gone, and
 * another attempt may have run meanwhile.
 */
void request_refuse(struct flow *f, struct request *r, enum errkind kind,
                    const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/** The claims of a refused request have ended; @p known: all owners answered.
 * Tells the caller. */
void request_closed(struct flow *f, struct request *r, bool known);

/** All stages have results: answers and ends the request. */
void request_finish(struct flow *f, struct request *r);

/** Ends a request without a word to the caller. */
void request_end(struct flow *f, struct request *r);

/** Takes the request out of every queue and list it waits in. */
void request_unlink(struct request *r);

void request_compose_in(const struct request *r, struct compose_in *in);
bool request_keyed(const struct request *r);

/** Frees the memory; only for the core. */
void request_destroy(struct request *r);

#endif
