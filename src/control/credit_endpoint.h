/**
 * @file credit_endpoint.h
 * What a node knows of one endpoint, cold or warm. Internal to the credits
 * module: shared by credits.c, which follows asks and messages, and
 * credit_endpoint.c, which keeps states.
 */
#ifndef CONTROL_CREDIT_ENDPOINT_H
#define CONTROL_CREDIT_ENDPOINT_H

#include <glib.h>

#include "control/credit_owner.h"
#include "control/credits.h"

/** An ask of a flow core that the owner has not answered. */
struct pending {
    uint64_t credit; /* first: the table's key */
    int thread;
    int64_t lifetime_us;
    int64_t next_us;
    int tries;
    bool renew;
};

/** A credit of a flow core of this node. */
struct held {
    uint64_t credit; /* first: the table's key */
    int thread;
    int64_t expires_us;
};

/** One endpoint. */
struct endpoint {
    struct str id; /* first: the table's key */
    struct str start_id;
    struct str region;
    bool listed;
    bool ever_listed;
    int64_t unlisted_us;
    bool cold;
    uint64_t seq;
    int sent;
    struct credit_limits limits;
    int *in_flight; /* by thread; -1: not told since it turned cold */
    int64_t cold_since_us;
    uint64_t bound_node; /* 0: none */
    uint64_t bound_incarnation;
    uint64_t bound_query;
    int64_t bound_us;   /* grants for asks sent before are not used */
    int64_t promise_us; /* no other owner is answered until then */
    uint64_t owner_node;
    uint64_t owner_version;     /* of the view that owner_node is from */
    struct credit_owner *owner; /* this node is the owner */
    int64_t owner_due_us;
    GHashTable *pending;
    GHashTable *held;
};

struct credits {
    struct credits_options opts;
    struct credit_host host;
    GHashTable *endpoints;
    bool seen_snapshot;
    int64_t boot_us; /* INT64_MIN: not called yet */
    int64_t wakeup_us;
    GQueue local;       /* struct local_msg, to this node */
    struct outbox *out; /* borrowed for the current call */
    uint64_t colds;
    uint64_t warms;
};

/** A table from name to struct endpoint. */
GHashTable *endpoints_new(void);

struct endpoint *endpoint_find(const struct credits *c, struct str id);
struct endpoint *endpoint_add(struct credits *c, struct str id);

/** Finds the endpoint's owner in the view. @return true if it is this node */
bool endpoint_is_owner(struct credits *c, struct endpoint *e);

/** Stops owning; waiting asks are refused, or told that it is warm. */
void endpoint_drop_owner(struct credits *c, struct endpoint *e,
                         uint64_t warm_seq);

/** Sets the state and tells the flow cores if it or the start id changed.
 */
void endpoint_set(struct credits *c, int64_t now_us, struct endpoint *e,
                  bool cold, uint64_t seq, struct str start_id);

/** Sets the state if it is newer. @return true if it was */
bool endpoint_learn(struct credits *c, int64_t now_us, struct endpoint *e,
                    bool cold, uint64_t seq, struct str start_id);

/** Calls of all flow cores that are in flight without a credit. */
int endpoint_uncounted(const struct credits *c, const struct endpoint *e);

/** True if all flow cores have told, or had the time to. */
bool endpoint_counted(const struct credits *c, const struct endpoint *e,
                      int64_t now_us);

/** Answers a flow core's ask. */
void credits_to_flow(struct credits *c, struct str endpoint, uint64_t credit,
                     int thread, bool granted, int64_t retry_us);

#endif
