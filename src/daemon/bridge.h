/**
 * @file bridge.h
 * A one-way message queue between the control thread and a traffic thread: a
 * single-producer single-consumer ring with an eventfd. When the ring is full,
 * the producer keeps the message in an overflow queue, so none is lost.
 */
#ifndef DAEMON_BRIDGE_H
#define DAEMON_BRIDGE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/errkind.h"
#include "base/str.h"
#include "control/control.h"
#include "forward/forward.h"
#include "model/control_request.h"
#include "model/cluster_view.h"
#include "model/snapshot.h"
#include "rollout/rollout.h"

/** The fields that each kind of message uses. */
enum bridge_kind {
    BRIDGE_SNAPSHOT,      /**< to traffic: snapshot */
    BRIDGE_FRESHNESS,     /**< to traffic: at_us (end of freshness) */
    BRIDGE_CONTROL_REPLY, /**< to traffic: reply */
    BRIDGE_RESULT, /**< both ways: id, thread, error, text; the answer to
                      BRIDGE_ADMIN_REQUEST, BRIDGE_METRICS and
                      BRIDGE_TRACE_GET */
    BRIDGE_CONTROL_REQUEST, /**< to control: ask */
    BRIDGE_ADMIN_REQUEST, /**< to control: id, verb, text, at_us (deadline) */
    BRIDGE_METRICS,       /**< to control: id (0: no answer), text */
    BRIDGE_CLUSTER_VIEW,  /**< to traffic: cluster view */
    BRIDGE_FORWARD_OPTIONS, /**< to traffic: forward */
    BRIDGE_NODE_MESSAGE,   /**< both ways: id (node), text (encoded message) */
    BRIDGE_ROLLOUT,        /**< to traffic: rollout */
    BRIDGE_ROLLOUT_REPORT, /**< to control: report */
    BRIDGE_TRACE_GET, /**< both ways: id, thread, text, team, is_operator */
};

struct bridge_msg {
    enum bridge_kind kind;
    uint64_t id;
    int thread; /**< sender of the request, or thread that receives it */
    int64_t at_us;
    enum admin_verb verb;
    enum errkind error;
    bool is_operator;
    struct str text; /**< owned */
    struct str team; /**< owned */
    struct snapshot *snapshot;
    struct cluster_view *cluster_view;
    struct forward_options forward;
    struct rollout_directive rollout;
    struct rollout_report *report; /**< owned */
    struct control_request *ask;
    struct reply *reply;
};

struct bridge;

/** Creates a queue. @p capacity is a power of two. */
struct bridge *bridge_new(unsigned capacity);
/** Frees the queue and its unread messages. */
void bridge_free(struct bridge *b);

/** Returns an empty message; the caller frees it with bridge_msg_free or
 * pushes it. */
struct bridge_msg *bridge_msg_new(enum bridge_kind kind);
void bridge_msg_free(struct bridge_msg *m);

/** Producer: sends the message and takes ownership of it. */
void bridge_push(struct bridge *b, struct bridge_msg *m);
/** Producer: moves messages of the overflow queue into the ring.
 * @return false if the overflow queue is not empty afterwards */
bool bridge_flush(struct bridge *b);

/** Returns a descriptor that is readable when there may be messages. */
int bridge_fd(const struct bridge *b);
/** Consumer: resets the descriptor; call it before bridge_pop when the
 * descriptor has become readable. */
void bridge_clear_wake(struct bridge *b);
/** Consumer: removes and returns the oldest message, which the caller owns;
 * NULL if there is none. */
struct bridge_msg *bridge_pop(struct bridge *b);
/** Any thread: makes the descriptor readable without a message. */
void bridge_wake(struct bridge *b);

#endif
