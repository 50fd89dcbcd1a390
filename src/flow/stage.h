/**
 * @file stage.h
 * Runs a request through its stages: builds bodies, checks admission, queues
 * the request, chooses an endpoint and sends the calls.
 */
#ifndef FLOW_STAGE_H
#define FLOW_STAGE_H

#include "flow/core.h"

/** Starts the first stage without a result, or finishes the request. */
void stage_start_next(struct flow *f, struct request *r);

/** Marks the current stage as ready to be sent (again), before queued
 * requests. */
void stage_make_ready(struct flow *f, struct request *r);

/** Sends as many of the pool's waiting requests as its endpoints have room
 * for. */
void stage_dispatch(struct flow *f, struct pool *p);

/** Sends the current stage's call. @return false if the endpoint is cold and
 * its credit has expired */
bool stage_send_call(struct flow *f, struct request *r, struct endpoint *ep,
                     bool hedge);

/** Handles the end of a backoff, or of a wait for a probe or for claims. */
void stage_on_timer(struct flow *f, uint64_t req);

/** Refuses the request because of a complete answer whose HTTP status is not
 * 2xx. */
void stage_refuse_status(struct flow *f, struct request *r, int stage,
                         int http_status);

/** Cancels all calls of the request. */
void stage_cancel_calls(struct flow *f, struct request *r);

#endif
