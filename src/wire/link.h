/**
 * @file link.h
 * ZeroMQ transport between nodes, on the control thread: one bound ROUTER
 * for all incoming messages and one DEALER for each peer that is sent to.
 * Nothing blocks; a message that cannot be queued at once is dropped.
 */
#ifndef WIRE_LINK_H
#define WIRE_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/str.h"
#include "wire/msg.h"

/** A node that may connect and be sent to. */
struct link_peer {
    struct str address;    /**< "tcp://IP:PORT" */
    struct str public_key; /**< Z85, 40 characters */
};

struct link_options {
    struct str address;    /**< to bind; port "*" is chosen by the system */
    struct str public_key; /**< Z85; empty: no CURVE, all peers allowed */
    struct str secret_key;
    int peer_count; /**< always allowed, whatever link_set_peers says */
    const struct link_peer *peers;
    bool reply;   /**< a node that is not connected to is answered over the
                       connection on which it was heard */
    int leave_ms; /**< peers that are not allowed any more may still finish
                       what they do for this long; 0: they are cut off */
    int early_ms; /**< messages to a peer that is not connected yet wait this
                       long; 0: they are dropped */
    void *ctx;
    /** A decoded message; its strings are valid during the call. */
    void (*message)(void *ctx, const struct msg *m);
    /** Messages to this node have begun to be dropped; called by link_run,
     * once until one could be sent again. */
    void (*lost)(void *ctx, uint64_t node);
};

struct link;

enum status link_new(const struct link_options *opts, struct link **out);
void link_free(struct link *l);

/** The bound address, owned by the link. */
const char *link_address(const struct link *l);

/** Replaces the allowed peers besides those of the options. */
void link_set_peers(struct link *l, const struct link_peer *peers, int count);

/**
 * Sends to a node at @p address; empty: over the connection on which the
 * node was last heard.
 * @return false if the message was dropped
 */
bool link_send(struct link *l, uint64_t node, struct str address,
               const struct msg *m);

/** Whether a message can be sent without a new connection, as far as known. */
bool link_reachable(const struct link *l, uint64_t node, struct str address);

/** Opens the connection to @p address anew with the next message. libzmq gives
 * a connection up for good when the peer did not know its key yet. */
void link_reset(struct link *l, struct str address);

/** Readable when link_run has work; link_send may also give it some. */
int link_fd(const struct link *l);
/** Receives waiting messages. @return true if more may wait */
bool link_run(struct link *l);

void link_metrics(const struct link *l, struct buf *out);

#endif
