/**
 * @file credit_owner.h
 * The owner's side of one cold endpoint: counts credits and calls in flight,
 * grants while their sum is less than the in-flight limit, and raises the
 * limit with successes.
 *
 * Two owners cannot both grant: an owner grants only while a majority of the
 * region's roster has answered queries that the owner sent less than
 * CREDIT_LEASE_US ago, and a member that answered one owner answers no other
 * for CREDIT_PROMISE_US. Credits that a former owner granted are reported by
 * the members that answer, and have expired after the settle time for those
 * that do not. The settle time starts when the majority was reached, since the
 * former owner could grant until then. It starts again if the majority lapsed
 * and one of the members that restore it has answered another owner since its
 * last answer; any other majority in between had such a member too.
 */
#ifndef CONTROL_CREDIT_OWNER_H
#define CONTROL_CREDIT_OWNER_H

#include "base/rng.h"
#include "control/view.h"
#include "wire/msg.h"

#define CREDIT_LEASE_US 2000000
/* A tenth longer than the lease, since clocks may run at different rates. */
#define CREDIT_PROMISE_US 2200000
#define CREDIT_GRACE_US 500000
#define CREDIT_SETTLE_US (CREDIT_MAX_LIFETIME_US + CREDIT_GRACE_US)

/** State shared by the owners of one node; borrowed for a call. */
struct credit_context {
    uint64_t node;
    const struct view *view;
    bool majority; /**< contact with a majority of the region is recent */
    struct rng rng;
    uint64_t grants;
    uint64_t refusals;
    void *ctx;
    void (*send)(void *ctx, uint64_t to, const struct msg *m);
};

struct credit_limits {
    int initial_in_flight; /**< limit at the start */
    int max_in_flight;     /**< warm when the limit reaches this */
    int warm_successes;    /**< warm after this many, if the endpoint's report
                              says warm */
};

struct credit_owner;

/** Creates an owner. @p endpoint and @p region are borrowed for its
 * lifetime. */
struct credit_owner *credit_owner_new(struct str endpoint, struct str region,
                                      const struct credit_limits *limits,
                                      int64_t now_us);
void credit_owner_free(struct credit_owner *o);

void credit_owner_handle_request(struct credit_owner *o,
                                 struct credit_context *cx, int64_t now_us,
                                 uint64_t from,
                                 const struct credit_request *req);

/** Resets the limit to its start value: the endpoint has started again or
 * does not answer. */
void credit_owner_reset_limit(struct credit_owner *o);

/** Handles a released credit. @return true if the endpoint has become warm */
bool credit_owner_handle_release(struct credit_owner *o, uint64_t from,
                                 const struct credit_release *r);
void credit_owner_handle_state(struct credit_owner *o,
                               const struct credit_context *cx, int64_t now_us,
                               uint64_t from, const struct credit_state *s);

/** Sets a member's number of calls in flight without a credit. */
void credit_owner_set_in_flight(struct credit_owner *o, uint64_t from,
                                int in_flight);

/** Grants queued requests, refuses those that waited too long and sends
 * queries. @return the time of the next call */
int64_t credit_owner_tick(struct credit_owner *o, struct credit_context *cx,
                          int64_t now_us);

/** Refuses all queued requests, or answers that the endpoint is warm if @p
 * warm_seq is not 0. */
void credit_owner_close(struct credit_owner *o, struct credit_context *cx,
                        uint64_t warm_seq);

/** Returns the limit of requests in flight on the endpoint. */
int credit_owner_in_flight_limit(const struct credit_owner *o);

#endif
