/**
 * @file credit_endpoint.h
 * The state that a node keeps for each endpoint, cold or warm. Internal to the
 * credits module: shared by credits.c, which handles requests and messages,
 * and credit_endpoint.c, which updates the state.
 */
#ifndef CONTROL_CREDIT_ENDPOINT_H
#define CONTROL_CREDIT_ENDPOINT_H

#include <glib.h>

#include "control/credit_owner.h"
#include "control/credits.h"

/** A request of a flow core that the owner has not answered. */
struct pending_request {
    uint64_t credit; /* first: the table's key */
    int thread;
    int64_t lifetime_us;
    int64_t resend_us;
    int send_count;
    bool renew;
};

/** A credit that a flow core of this node holds. */
struct held_credit {
    uint64_t credit; /* first: the table's key */
    int thread;
    int64_t expires_us;
};

/** The state of one endpoint. */
struct endpoint {
    struct str id; /* first: the table's key */
    struct str start_id;
    struct str region;
    bool listed;
    bool ever_listed;
    int64_t unlisted_us;
    bool cold;
    uint64_t seq; /* number of the last change of state */
    int gossip_count;
    struct credit_limits limits;
    int *in_flight; /* by thread; -1: not reported since it became cold */
    int64_t cold_since_us;
    uint64_t promised_node; /* owner that has a promise; 0: none */
    uint64_t promised_incarnation;
    uint64_t promised_query;
    int64_t promised_us; /* grants for requests sent earlier are not used */
    int64_t promise_until_us; /* no other owner is answered until then */
    uint64_t owner_node;
    uint64_t owner_view_version; /* of the view that owner_node is from */
    struct credit_owner *owner;  /* not NULL: this node is the owner */
    int64_t owner_wakeup_us;
    GHashTable *pending_requests;
    GHashTable *held_credits;
};

struct credits {
    struct credits_options opts;
    struct credit_context context;
    GHashTable *endpoints;
    bool has_snapshot;
    int64_t first_call_us; /* INT64_MIN: no call yet */
    int64_t wakeup_us;
    GQueue local_messages; /* struct local_msg, messages to this node */
    struct outbox *out;    /* borrowed for the current call */
    uint64_t cold_starts;
    uint64_t warm_ups;
};

/** Creates a table from name to struct endpoint. */
GHashTable *endpoint_table_new(void);

struct endpoint *endpoint_find(const struct credits *c, struct str id);
struct endpoint *endpoint_add(struct credits *c, struct str id);

/** Finds the endpoint's owner in the view. @return true if it is this node */
bool endpoint_is_owner(struct credits *c, struct endpoint *e);

/** Ends the ownership of this node; queued requests are refused, or answered
 * that the endpoint is warm if @p warm_seq is not 0. */
void endpoint_remove_owner(struct credits *c, struct endpoint *e,
                           uint64_t warm_seq);

/** Sets the state and notifies the flow cores if it or the start id changed.
 */
void endpoint_set_state(struct credits *c, int64_t now_us, struct endpoint *e,
                        bool cold, uint64_t seq, struct str start_id);

/** Sets the state if the change is newer. @return true if it was */
bool endpoint_apply_change(struct credits *c, int64_t now_us,
                           struct endpoint *e, bool cold, uint64_t seq,
                           struct str start_id);

/** Returns the number of calls in flight without a credit, of all flow
 * cores. */
int endpoint_calls_without_credit(const struct credits *c,
                                  const struct endpoint *e);

/** Returns true if all flow cores have reported their calls in flight, or
 * had the time to. */
bool endpoint_calls_reported(const struct credits *c, const struct endpoint *e,
                             int64_t now_us);

/** Answers a flow core's request. */
void credits_reply_to_flow(struct credits *c, struct str endpoint,
                           uint64_t credit, int thread, bool granted,
                           int64_t retry_us);

#endif
