/**
 * @file control.h
 * The control core of a node. One state machine without I/O covers membership,
 * documents, freshness, operators' edits, claim buckets, credits for cold
 * endpoints, and orders.
 */
#ifndef CONTROL_CONTROL_H
#define CONTROL_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "control/outbox.h"

enum control_event_kind {
    CONTROL_EV_TICK,
    CONTROL_EV_MSG,         /**< a message from another node */
    CONTROL_EV_STORE,       /**< result of a CONTROL_ACT_STORE */
    CONTROL_EV_REQUEST,     /**< a request of a flow core */
    CONTROL_EV_ADMIN,       /**< an operator's request */
    CONTROL_EV_LEAVE,       /**< start a graceful leave */
    CONTROL_EV_LINK_FAILED, /**< the link to a node failed; probe the node now
                             */
};

#define ADMIN_VERB_LIST(X)                                                    \
    X(SHOW, "show")     /* configuration and its revision */                  \
    X(STATUS, "status") /* nodes, zones, endpoints, freshness */              \
    X(EDIT, "edit")     /* {"change","by","base","set":[{path,value,          \
                           reason}]}; value null deletes */                   \
    X(APPLY, "apply")   /* {"change","by","base","config":{...}} */

enum admin_verb {
#define X(id, name) ADMIN_##id,
    ADMIN_VERB_LIST(X)
#undef X
};

struct control_event {
    enum control_event_kind kind;
    union {
        struct msg msg;
        struct store_result store;
        struct {
            int thread;
            struct control_request ask;
        } ask;
        struct {
            uint64_t id; /**< copied to the admin_reply */
            enum admin_verb verb;
            struct str body; /**< JSON; may be empty */
            int64_t deadline_us;
        } admin;
        uint64_t failed_node; /**< id of the node whose link failed */
    };
};

struct control_peer {
    uint64_t node;
    struct str address;
};

struct control_options {
    uint64_t node; /**< 64-bit id, from the name in the settings */
    struct str name;
    uint64_t incarnation; /**< must exceed that of earlier processes of the
                               node, for instance the wall clock in ms */
    struct str address;   /**< where other nodes reach this one */
    struct str zone;
    struct str region;
    struct str curve_public_key; /**< Z85, 40 characters; may be empty */
    uint64_t seed;
    int claim_buckets;
    int store_writes_per_s; /**< limit for the whole fleet */
    int threads;            /**< flow cores of this node; 0 counts as 1 */
    int peer_count;         /**< seeds from the settings */
    const struct control_peer *peers;
};

struct control;

/** Strings of @p opts are copied. */
struct control *control_new(const struct control_options *opts,
                            int64_t now_us);
void control_free(struct control *c);

void control_handle_event(struct control *c, int64_t now_us,
                          const struct control_event *ev);

/** Takes the next action. Its strings are valid until the next event is
 * handled, which drops actions that were not taken. A message with an empty
 * address is sent on the connection on which the last message of the node
 * arrived. */
bool control_next_action(struct control *c, struct control_action *out);

/** Time at which the core next needs CONTROL_EV_TICK. */
int64_t control_next_wakeup_us(const struct control *c);

/** True if the node has a configuration, has a VM list or knows that there is
 * none, is in the roster, is fresh, and is not leaving. */
bool control_is_ready(const struct control *c, int64_t now_us);

/** Appends the core's counters as Prometheus text. */
void control_metrics(const struct control *c, struct buf *out);

#endif
