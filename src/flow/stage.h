/**
 * @file stage.h
 * Takes a request through its stages: body, admission, queue, endpoint, and
 * the sending of calls.
 */
#ifndef FLOW_STAGE_H
#define FLOW_STAGE_H

#include "flow/core.h"

/** Starts the first stage without a result, or finishes the request. */
void stage_begin(struct flow *f, struct request *r);

/** The current stage may be sent (again): it goes before queued work. */
void stage_ready(struct flow *f, struct request *r);

/** Sends what the pool's endpoints have room for. */
void stage_dispatch(struct flow *f, struct pool *p);

/** Sends the current stage's call. @return false if the endpoint is cold and
 * its credit has expired */
bool stage_send(struct flow *f, struct request *r, struct endpoint *ep,
                bool hedge);

/** End of a backoff, or of the wait for a probe. */
void stage_timer(struct flow *f, uint64_t req);

/** Refuses for a whole answer of HTTP status other than 2xx. */
void stage_refuse_status(struct flow *f, struct request *r, int stage,
                         int http_status);

/** Cancels the calls of the request, if any. */
void stage_cancel_all(struct flow *f, struct request *r);

#endif
