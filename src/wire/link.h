/**
 * @file link.h
 * ZeroMQ transport between nodes, on the control thread: one bound ROUTER
 * socket receives from all peers, and one DEALER socket sends to each peer.
 * No call blocks; a message that cannot be queued at once is dropped.
 */
#ifndef WIRE_LINK_H
#define WIRE_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/str.h"
#include "wire/msg.h"

/** A node that may connect to this node and receive messages from it. */
struct link_peer {
    struct str address;    /**< "tcp://IP:PORT" */
    struct str public_key; /**< Z85, 40 characters */
};

struct link_options {
    struct str address; /**< to bind; with port "*" the system chooses one */
    struct str public_key; /**< Z85; empty: no CURVE, all peers allowed */
    struct str secret_key;
    int peer_count; /**< peers that link_set_peers does not remove */
    const struct link_peer *peers;
    bool reply;           /**< without an outgoing connection, send over the
                               connection on which the node sent last */
    int removed_peer_ms;  /**< removed peers stay connected for this long, so
                        that  they can finish; 0: they are disconnected at once
                      */
    int connect_queue_ms; /**< messages to a peer that is not connected yet
                       wait at most this long; 0: they are dropped */
    void *ctx;
    /** Called with each decoded message; its strings are valid during the
     * call only. */
    void (*message)(void *ctx, const struct msg *m);
    /** Called by link_process_events when messages to this node begin to be
     * dropped, and not again until one has been sent. */
    void (*unreachable)(void *ctx, uint64_t node);
};

struct link;

enum status link_new(const struct link_options *opts, struct link **out);
void link_free(struct link *l);

/** @return the bound address, owned by the link */
const char *link_bound_address(const struct link *l);

/** Replaces the allowed peers, except those of the options. */
void link_set_peers(struct link *l, const struct link_peer *peers, int count);

/**
 * Sends to a node at @p address; empty: over the connection on which the
 * node sent last.
 * @return false if the message was dropped
 */
bool link_send(struct link *l, uint64_t node, struct str address,
               const struct msg *m);

/** Whether a message can probably be sent without a new connection. */
bool link_has_connection(const struct link *l, uint64_t node,
                         struct str address);

/** Closes the connection to @p address; the next message opens a new one.
 * libzmq does not retry a connection whose key the peer did not know yet. */
void link_reset_connection(struct link *l, struct str address);

/** A descriptor that is readable when link_process_events has work. link_send
 * may create work as well. */
int link_fd(const struct link *l);
/** Receives waiting messages and flushes queued ones.
 * @return true if more messages may be waiting */
bool link_process_events(struct link *l);

/** Appends the metrics as text. */
void link_write_metrics(const struct link *l, struct buf *out);

#endif
