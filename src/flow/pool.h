/**
 * @file pool.h
 * State of the pools, endpoints and teams of one flow core, which is kept from
 * snapshot to snapshot, and the choice of an endpoint for a call.
 */
#ifndef FLOW_POOL_H
#define FLOW_POOL_H

#include "flow/core.h"

/** Applies a new snapshot: settings, endpoints, and which of these are usable.
 * Keeps a reference to @p s. */
void pool_apply_snapshot(struct flow *f, struct snapshot *s);

/** Returns the pool or team of this name, which is created if needed. */
struct pool *pool_find_or_add(struct flow *f, struct str name);
struct team *pool_find_or_add_team(struct flow *f, struct str name);

/** Schedules the pool for dispatch at the end of the step. */
void pool_schedule_dispatch(struct flow *f, struct pool *p);
void pool_schedule_dispatch_all(struct flow *f);

/** Returns true if the endpoint is in service: it may get calls when it has
 * free slots (and credits, if it is cold). */
bool pool_endpoint_usable(const struct endpoint *ep);

/** Returns the number of endpoints in service, regardless of their load. */
int pool_usable_count(const struct pool *p);

/** Returns the number of further calls that may be sent to the endpoint. A
 * cold endpoint gets at most as many as it has unused credits. */
int pool_endpoint_free_slots(const struct flow *f, const struct endpoint *ep);

/** Returns the maximum number of calls in flight on all endpoints of the pool.
 */
double pool_capacity(const struct flow *f, const struct pool *p);

/**
 * Chooses the endpoint for the next call of a request; NULL if none has a free
 * slot. With @p idle, only an endpoint without calls in flight is chosen; if
 * there is none, an endpoint is reserved, so that it gets no new calls until
 * it is idle.
 */
struct endpoint *pool_choose_endpoint(struct flow *f, struct pool *p,
                                      const struct request *r, bool idle);

void pool_endpoint_free(struct endpoint *ep);
void pool_free_all(struct flow *f);

#endif
