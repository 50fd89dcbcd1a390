/**
 * @file feed.h
 * Replicates the platform's store: lists it once, then watches it, and keeps
 * the newest configuration, endpoint records, zones out of service and nodes.
 * Registers this node under a lease. A state machine without I/O; times are
 * microseconds of a clock that also counts while the machine is suspended.
 *
 * Contact: the store has answered a call for the operator's records that was
 * sent at feed_contact_us, so this node knows all writes that were
 * acknowledged to the operator before that time.
 */
#ifndef CONTROL_FEED_H
#define CONTROL_FEED_H

#include "base/err.h"
#include "model/feed_relay.h"
#include "model/site.h"
#include "store/kv.h"

enum feed_key {
    FEED_KEY_ROUTING,    /**< the configuration */
    FEED_KEY_ENDPOINT,   /**< an endpoint's record */
    FEED_KEY_EVACUATION, /**< a zone that is out of service */
    FEED_KEY_NODE,       /**< a node of this system */
    FEED_KEY_OTHER,      /**< ignored */
};

/** Key ranges of the store, each with a watch of its own. */
enum feed_track {
    FEED_TRACK_OPERATOR,  /**< configuration and zones out of service */
    FEED_TRACK_ENDPOINTS, /**< endpoints' records */
    FEED_TRACK_NODES,     /**< nodes of this system */
    FEED_TRACKS           /**< number of key ranges */
};

/** Parses the keys and values of the store. */
struct feed_codec {
    struct str prefixes[FEED_TRACKS]; /**< of the keys of each range */
    /** @param name receives the endpoint id, zone or node in the key */
    enum feed_key (*classify)(struct str key, struct str *name);
    /** @return ST_INVALID if the bytes are not a configuration */
    enum status (*routing)(struct str bytes, struct routing **out);
    /** @return ST_INVALID if the bytes do not describe an endpoint */
    enum status (*endpoint)(struct str bytes, struct endpoint_record *out);
    /** Appends the key under which a node registers. */
    void (*node_key)(struct buf *out, struct str name);
};

struct feed;

/** @param node name of this node
 * @param registered the value that this node registers, see site_add_node */
struct feed *feed_new(const struct feed_codec *codec, struct str node,
                      struct str registered, uint64_t seed);
void feed_free(struct feed *f);

/** The next operation to submit. If its via is set, it goes to that node as a
 * feed_ask with the operation's id and key range. Also answers the queries of
 * other nodes that have waited for the maximum time.
 * @return false if there is none now */
bool feed_next_op(struct feed *f, int64_t now_us, struct kv_op *out);
/** Handles the result of an operation. */
void feed_result(struct feed *f, int64_t now_us, const struct kv_result *r);

/** The key range of an operation; FEED_TRACKS: none of the newest
 * list or watch calls has this id.
 */
enum feed_track feed_track_of(const struct feed *f, uint64_t op);
/** Handles a query of another node. */
void feed_peer_ask(struct feed *f, int64_t now_us, uint64_t node,
                   const struct feed_ask *ask);
/** Handles the reply of a node that this one has queried. */
void feed_peer_answer(struct feed *f, int64_t now_us,
                      const struct feed_answer *answer);
/** The next reply to send to @p node. Its strings are valid until the next
 * call into the feed. @return false if there is none */
bool feed_next_answer(struct feed *f, uint64_t *node, struct feed_answer *out);
/** The time at which feed_next_op, feed_next_answer or feed_site may return
 * something new. */
int64_t feed_wakeup(const struct feed *f);

/** The site if it has changed since the last call; the caller owns one
 * reference. NULL if it has not changed or no configuration is known. */
struct site *feed_site(struct feed *f, int64_t now_us);

/** Time of the contact: the send time of the newest answered call that shows
 * the store's state; 0 if there was none. */
int64_t feed_contact_us(const struct feed *f);

/** Starts to end the registration, because the node leaves. */
void feed_leave(struct feed *f, int64_t now_us);
/** Whether the registration has ended or, for a leaving node, was never made.
 */
bool feed_left(const struct feed *f);

#endif
