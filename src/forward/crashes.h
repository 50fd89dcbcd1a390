/**
 * @file crashes.h
 * Refuses requests whose prompt parts or contents crash endpoints. A call that
 * breaks before its response has a body makes this node probe the endpoint; if
 * it refuses connections, the call is evidence against the prompt parts and
 * the content, which is passed on to all nodes. Private to src/forward.
 */
#ifndef FORWARD_CRASHES_H
#define FORWARD_CRASHES_H

#include "forward/state.h"

void crashes_init(struct forward *f);
void crashes_free(struct forward *f);

/** Handles a call that broke; call this while the request still has its
 * endpoint. */
void crashes_call_broken(struct forward *f, int64_t now_us,
                         const struct request *r);
/** Handles the first byte of a successful response. */
void crashes_response_started(struct forward *f, int64_t now_us,
                              const struct request *r);
/** Handles the end of a whole response. */
void crashes_request_answered(struct forward *f, int64_t now_us,
                              const struct request *r);
/** Returns whether a new request has to be refused for its parts or for its
 * content. Lets one through from time to time and sets @p trial then. */
bool crashes_refuses(struct forward *f, int64_t now_us,
                     const struct forward_request *in,
                     const struct route *route, bool is_engine,
                     enum crash_subject subject, bool *trial);
/** Returns whether the parts or the content of an open request have been
 * blocked since it arrived. */
bool crashes_is_blocked(const struct forward *f, const struct request *r);
void crashes_handle_notice(struct forward *f, int64_t now_us,
                           const struct part_notice *n);
/** Another node has started and knows no blocks yet. */
void crashes_node_started(struct forward *f, int64_t now_us);
/** Sends the blocks to nodes that may not know them, at intervals. */
void crashes_run(struct forward *f, int64_t now_us);
int64_t crashes_next_wakeup_us(const struct forward *f);

/** Reason of a refusal. */
#define CRASHES_REFUSAL "endpoints crash when they answer this request"
/** Retry-After of a refusal: the parts stay blocked for much longer, and a
 * caller whose request is sound may return once answers have cleared it. */
#define CRASHES_RETRY_MS 5000

#endif
