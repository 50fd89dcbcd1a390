/**
 * @file feed.h
 * Follows the platform's store: lists it once, then watches it, and keeps the
 * newest configuration, endpoint records, zones out of service and nodes.
 * Registers this node under a lease. A state machine without I/O; times are
 * microseconds of a clock that also counts while the machine is suspended.
 *
 * Contact: the store answered a call for the operator's records that was sent
 * at feed_contact_us, so everything that was acknowledged to the operator
 * before that moment is known here.
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
    FEED_KEY_OTHER,
};

/** Parts of the store that are followed, each by a watch of its own. */
enum feed_track {
    FEED_TRACK_OPERATOR,  /**< configuration and zones out of service */
    FEED_TRACK_ENDPOINTS, /**< endpoints' records */
    FEED_TRACK_NODES,     /**< nodes of this system */
    FEED_TRACKS
};

/** Reads the store's records. */
struct feed_codec {
    struct str prefixes[FEED_TRACKS]; /**< of the keys of each part */
    /** @param name receives the id, zone or node that the key names */
    enum feed_key (*classify)(struct str key, struct str *name);
    /** @return ST_INVALID if the bytes are not a configuration */
    enum status (*routing)(struct str bytes, struct routing **out);
    /** @return ST_INVALID if the bytes do not describe an endpoint */
    enum status (*endpoint)(struct str bytes, struct endpoint_record *out);
    /** Appends the key under which a node registers. */
    void (*node_key)(struct buf *out, struct str name);
};

struct feed;

/** @param registered what other nodes are told of this one, see
 *  site_add_node */
struct feed *feed_new(const struct feed_codec *codec, struct str node,
                      struct str registered, uint64_t seed);
void feed_free(struct feed *f);

/** The next operation to submit; one with via set goes to that node as an ask
 * with the operation's id and the track. Also answers asks of other nodes that
 * have waited long enough. @return false if there is none now */
bool feed_next_op(struct feed *f, int64_t now_us, struct kv_op *out);
void feed_result(struct feed *f, int64_t now_us, const struct kv_result *r);

/** The part of the store that an operation is about. */
enum feed_track feed_track_of(const struct feed *f, uint64_t op);
/** Another node asks this one. */
void feed_peer_ask(struct feed *f, int64_t now_us, uint64_t node,
                   const struct feed_ask *ask);
/** A node that this one asked has answered. */
void feed_peer_answer(struct feed *f, int64_t now_us,
                      const struct feed_answer *answer);
/** An answer to send. Strings hold until the next call into the feed.
 * @return false if there is none */
bool feed_next_answer(struct feed *f, uint64_t *node, struct feed_answer *out);
/** When feed_next_op or feed_site may have something new. */
int64_t feed_wakeup(const struct feed *f);

/** The site if it has changed since the last call, with one reference; NULL
 * if not or if no configuration is known. */
struct site *feed_site(struct feed *f, int64_t now_us);

/** Send time of the newest answered call that shows the store's state; 0 if
 * there was none. */
int64_t feed_contact_us(const struct feed *f);

/** The node leaves: its registration is ended. */
void feed_leave(struct feed *f, int64_t now_us);
/** True when the registration has ended or was never made. */
bool feed_left(const struct feed *f);

#endif
