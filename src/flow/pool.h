/**
 * @file pool.h
 * Pools, endpoints and teams as one flow core sees them, kept over snapshots,
 * and the choice of an endpoint for a call.
 */
#ifndef FLOW_POOL_H
#define FLOW_POOL_H

#include "flow/core.h"

/** Takes over a new snapshot: settings, endpoints, and which are usable. */
void pool_snapshot(struct flow *f, struct snapshot *s);

struct pool *pool_get(struct flow *f, struct str name);
struct team *pool_team(struct flow *f, struct str name);

/** Marks the pool for dispatch at the end of the step. */
void pool_touch(struct flow *f, struct pool *p);
void pool_touch_all(struct flow *f);

/** In service: may get work when it has room (and credits, if cold). */
bool pool_endpoint_usable(const struct endpoint *ep);

/** Endpoints in service, whatever their load. */
int pool_usable_count(const struct pool *p);

/** Calls that the endpoint may still take, 0 if none. A cold one takes as
 * many as there are unused credits. */
int pool_room(const struct flow *f, const struct endpoint *ep);

/** Calls in flight that the pool's endpoints may have together. */
double pool_capacity(const struct flow *f, const struct pool *p);

/**
 * The endpoint for the next call of a request; NULL if none has room.
 * @p idle: only an endpoint with nothing in flight; if there is none, one is
 * kept free of new work until it is idle.
 */
struct endpoint *pool_choose(struct flow *f, struct pool *p,
                             const struct request *r, bool idle);

void pool_endpoint_free(struct endpoint *ep);
void pool_free_all(struct flow *f);

#endif
