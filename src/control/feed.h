/**
 * @file feed.h
 * Replicates the platform's store: lists it once, then watches it, and keeps
 * the newest configuration, endpoint records, zones out of service and nodes.
 * Registers this node under a lease. A state machine without I/O; times are
 * microseconds of a clock that also counts while the machine is suspended.
 *
 * Era: the store may come back from an older copy of its data, and then gives
 * revisions out again. Its era rises by one each time, so revisions of
 * different eras are never compared.
 *
 * Contact: the store has answered a call for the operator's records that was
 * sent at feed_contact_us, so this node knows all writes that were
 * acknowledged to the operator before that time. A node that has no recent
 * contact when it sees a store that came back from an older copy has contact
 * only when the operator has had time to write again.
 */
#ifndef CONTROL_FEED_H
#define CONTROL_FEED_H

#include "base/err.h"
#include "model/feed_relay.h"
#include "model/cluster_view.h"
#include "rollout/record.h"
#include "store/kv.h"

enum feed_key_kind {
    FEED_KEY_CONFIGURATION, /**< the configuration */
    FEED_KEY_ENDPOINT,      /**< an endpoint's record */
    FEED_KEY_ZONE_OUT,      /**< a zone that is out of service */
    FEED_KEY_NODE,          /**< a node of this system */
    FEED_KEY_CAPACITY,      /**< what a node's machine can do */
    FEED_KEY_ORDER,         /**< the operator's order for a service */
    FEED_KEY_ROLLOUT,       /**< the record of a service's roll-out */
    FEED_KEY_OTHER,         /**< ignored */
};

/** Key ranges of the store, each with a watch of its own. */
enum feed_range {
    FEED_RANGE_OPERATOR,  /**< configuration and zones out of service */
    FEED_RANGE_ENDPOINTS, /**< endpoints' records */
    FEED_RANGE_NODES,     /**< nodes of this system */
    FEED_RANGE_COUNT      /**< number of key ranges */
};

/** Parses the keys and values of the store. */
struct feed_codec {
    struct str prefixes[FEED_RANGE_COUNT]; /**< of the keys of each range */
    /** @param name receives the endpoint id, zone or node in the key */
    enum feed_key_kind (*classify)(struct str key, struct str *name);
    /** @return ST_INVALID if the bytes are not a configuration */
    enum status (*routing)(struct str bytes, struct routing **out);
    /** @return ST_INVALID if the bytes do not describe an endpoint */
    enum status (*endpoint)(struct str bytes, struct endpoint_record *out);
    /** Appends the key under which a node registers. */
    void (*node_key)(struct buf *out, struct str name);
    /** Appends the key of a node's capacity; in the same key range. */
    void (*capacity_key)(struct buf *out, struct str name);
    /** Reads target and duration of an order for a roll-out.
     * @return ST_INVALID if the bytes do not describe one */
    enum status (*order)(struct str bytes, struct rollout_order *out);
};

struct feed;

/** @param node name of this node
 * @param registered the value that this node registers, see
 * cluster_view_add_node */
struct feed *feed_new(const struct feed_codec *codec, struct str node,
                      struct str registered, uint64_t seed);
void feed_free(struct feed *f);

/** Sets what this node registers of its machine, before the first operation.
 * @param cpu_milli its share of a core, in thousandths; 0: nothing is
 * registered */
void feed_set_capacity(struct feed *f, int cpu_milli);

/** The next operation to submit. If its via is set, it goes to that node as a
 * feed_query with the operation's id and key range. Also answers the queries
 * of other nodes that have waited for the maximum time.
 * @return false if there is none now */
bool feed_next_op(struct feed *f, int64_t now_us, struct kv_op *out);
/** The store has begun to answer an operation; the result follows. */
void feed_handle_answering(struct feed *f, int64_t now_us, uint64_t op);
/** Handles the result of an operation. */
void feed_handle_result(struct feed *f, int64_t now_us,
                        const struct kv_result *r);

/** The key range of an operation; FEED_RANGE_COUNT: none of the newest
 * list or watch calls has this id.
 */
enum feed_range feed_range_of_op(const struct feed *f, uint64_t op);
/** Handles a query of another node. */
void feed_handle_peer_query(struct feed *f, int64_t now_us, uint64_t node,
                            const struct feed_query *ask);
/** Handles the reply of a node that this one has queried. */
void feed_handle_peer_reply(struct feed *f, int64_t now_us,
                            const struct feed_reply *answer);
/** The next reply to send to @p node. Its strings are valid until the next
 * call into the feed. @return false if there is none */
bool feed_next_peer_reply(struct feed *f, uint64_t *node,
                          struct feed_reply *out);
/** The time at which feed_next_op, feed_next_peer_reply or feed_take_site may
 * return something new. */
int64_t feed_next_wakeup_us(const struct feed *f);

/** The cluster view if it has changed since the last call; the caller owns one
 * reference. NULL if it has not changed or no configuration is known. */
struct cluster_view *feed_take_site(struct feed *f, int64_t now_us);

/** A change of an order for a roll-out, or of the record of one. */
struct feed_rollout_change {
    struct str service;
    bool is_order;
    struct rollout_order order; /**< target empty: withdrawn */
    struct str record;          /**< text; empty: the key does not exist */
    int64_t revision;           /**< of the record */
};
/** The next change, in the order in which they became known. Its strings are
 * valid until the next call into the feed. @return false if there is none */
bool feed_next_rollout(struct feed *f, struct feed_rollout_change *out);

/** Time of the contact: the send time of the newest answered call that shows
 * the store's state; 0 if there was none. */
int64_t feed_contact_us(const struct feed *f);

/** Starts to end the registration, because the node leaves. */
void feed_start_deregistration(struct feed *f, int64_t now_us);
/** Whether the registration has ended or, for a leaving node, was never made.
 */
bool feed_is_deregistered(const struct feed *f);

#endif
