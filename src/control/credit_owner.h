/**
 * @file credit_owner.h
 * The owning side of one cold endpoint: counts credits and calls in flight,
 * grants while granted + in flight < bears, and raises bears with successes.
 *
 * Why two owners cannot both grant: an owner grants only while a majority of
 * the region's roster has answered queries that it sent less than
 * CREDIT_LEASE_US ago, and a member that answered one owner answers no other
 * for CREDIT_PROMISE_US. Credits that a former owner granted are reported by
 * the members that answer, and have expired after the settle time for those
 * that do not. The settle time starts when the majority was reached, since
 * the former owner could grant until then. It starts again if the majority
 * lapsed and one of the members that restore it has used another owner since
 * its last answer; any other majority in between had such a member too.
 */
#ifndef CONTROL_CREDIT_OWNER_H
#define CONTROL_CREDIT_OWNER_H

#include "base/rng.h"
#include "control/view.h"
#include "wire/msg.h"

#define CREDIT_LEASE_US 2000000
/* A tenth longer than the lease: clocks may run at different rates. */
#define CREDIT_PROMISE_US 2200000
#define CREDIT_GRACE_US 500000
#define CREDIT_SETTLE_US (CREDIT_LIFE_MAX_US + CREDIT_GRACE_US)

/** What the owners of one node share; borrowed for a call. */
struct credit_host {
    uint64_t node;
    const struct view *view;
    bool majority; /**< contact with a majority of the region is fresh */
    struct rng rng;
    uint64_t grants;
    uint64_t refusals;
    void *ctx;
    void (*send)(void *ctx, uint64_t to, const struct msg *m);
};

struct credit_limits {
    int start;          /**< bears at first */
    int max;            /**< warm when bears reaches this */
    int warm_successes; /**< warm after these if its report says so */
};

struct credit_owner;

/** @p endpoint and @p region are borrowed for the object's life. */
struct credit_owner *credit_owner_new(struct str endpoint, struct str region,
                                      const struct credit_limits *limits,
                                      int64_t now_us);
void credit_owner_free(struct credit_owner *o);

void credit_owner_ask(struct credit_owner *o, struct credit_host *h,
                      int64_t now_us, uint64_t from,
                      const struct credit_ask *ask);

/** The endpoint has started again or does not answer: back to the lowest
 * level. */
void credit_owner_restarted(struct credit_owner *o);

/** @return true if the endpoint has become warm */
bool credit_owner_release(struct credit_owner *o, uint64_t from,
                          const struct credit_release *r);
void credit_owner_state(struct credit_owner *o, const struct credit_host *h,
                        int64_t now_us, uint64_t from,
                        const struct credit_state *s);

/** A member's calls in flight without a credit. */
void credit_owner_count(struct credit_owner *o, uint64_t from, int in_flight);

/** Serves and refuses waiting asks and sends queries. @return when it is
 * needed again */
int64_t credit_owner_tick(struct credit_owner *o, struct credit_host *h,
                          int64_t now_us);

/** Refuses all waiting asks, telling that the endpoint is warm if
 * @p warm_seq is not 0. */
void credit_owner_close(struct credit_owner *o, struct credit_host *h,
                        uint64_t warm_seq);

/** Requests in progress that the endpoint is trusted with. */
int credit_owner_bears(const struct credit_owner *o);

#endif
