/**
 * @file outbox.h
 * Queue of the actions that the control modules emit. Strings in actions are
 * copied into the outbox and are valid until outbox_clear.
 */
#ifndef CONTROL_OUTBOX_H
#define CONTROL_OUTBOX_H

#include <stdbool.h>
#include <stdint.h>

#include "base/errkind.h"
#include "base/str.h"
#include "model/control_request.h"
#include "model/snapshot.h"
#include "store/store.h"
#include "wire/msg.h"

enum control_action_kind {
    CONTROL_ACT_SEND,       /**< a message to another node */
    CONTROL_ACT_STORE,      /**< an operation on the key-value service */
    CONTROL_ACT_REPLY,      /**< a reply to one flow core */
    CONTROL_ACT_NOTIFY_ALL, /**< a reply to all flow cores of this node */
    CONTROL_ACT_SNAPSHOT,   /**< a new snapshot for all flow cores */
    CONTROL_ACT_FRESHNESS,  /**< new work may be sent until fresh_until_us */
    CONTROL_ACT_ADMIN,      /**< the answer to an operator's request */
    CONTROL_ACT_LEAVE_DONE, /**< the graceful leave is complete */
};

/** Answer to CONTROL_EV_ADMIN. */
struct admin_reply {
    uint64_t id;
    enum errkind error; /**< ERRKIND_NONE: success */
    struct str body;    /**< JSON */
};

struct control_action {
    enum control_action_kind kind;
    union {
        struct {
            uint64_t to;
            struct str address; /**< "tcp://IP:PORT" */
            struct msg msg;
        } send;
        struct store_op store;
        struct {
            int thread;
            struct reply reply;
        } reply;
        struct snapshot *snapshot; /**< the receiver owns the reference */
        int64_t fresh_until_us;
        struct admin_reply admin;
    };
};

struct outbox;

struct outbox *outbox_new(void);
void outbox_free(struct outbox *o);

/** Appends a deep copy of the action. The outbox takes ownership of the
 * reference to a snapshot. */
void outbox_push(struct outbox *o, const struct control_action *a);

/** Takes the oldest action; its strings stay valid until outbox_clear. */
bool outbox_take(struct outbox *o, struct control_action *out);

/** Drops all actions and releases their memory. */
void outbox_clear(struct outbox *o);

#endif
