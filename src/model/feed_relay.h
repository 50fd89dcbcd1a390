/**
 * @file feed_relay.h
 * Messages by which nodes share watches of the store. A few nodes (watchers)
 * watch the store; other nodes query a watcher, which replies with the next
 * changes or after a bounded time. The reply carries the time since the
 * watcher's own last contact with the store, so the querying node knows all
 * writes that were acknowledged that long before the query. Lost and repeated
 * messages are harmless: a node sends an unanswered query to another watcher
 * or to the store itself.
 */
#ifndef MODEL_FEED_RELAY_H
#define MODEL_FEED_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

#define FEED_RELAY_MAX_ITEMS 64
#define FEED_AGE_UNKNOWN INT64_MAX

/* The upper bits of a query's id are the era of the revision in it, see
 * control/feed.h; 0: unknown. Builds without eras reject a query with one more
 * field, and return the id unchanged. */
#define FEED_ERA_SHIFT 40
#define FEED_ERA_MASK 0xffffff

/** The id of a query.
 * @param number rises with each query */
static inline uint64_t
feed_query_id(int64_t era, uint64_t number)
{
    return ((uint64_t)era & FEED_ERA_MASK) << FEED_ERA_SHIFT | number;
}

static inline int64_t
feed_query_era(uint64_t id)
{
    return (int64_t)(id >> FEED_ERA_SHIFT);
}

/** Queries the changes in a part of the store after a revision. */
struct feed_query {
    uint64_t correlation_id; /**< see feed_query_id */
    int track;               /**< enum feed_range */
    int64_t revision;
    bool wait_for_contact; /**< a watcher without contact to the store may
                       delay its reply until it has contact again */
};

struct feed_relay_item {
    struct str key;
    struct str value;
    int64_t revision;
    bool deleted;
};

struct feed_reply {
    uint64_t correlation_id; /**< id of the query */
    bool known;       /**< false: the watcher cannot answer; query the store */
    int64_t age_us;   /**< time since the watcher's last contact with the
                           store; FEED_AGE_UNKNOWN: no contact */
    int64_t revision; /**< with the items, all changes up to this revision are
                           known */
    int64_t era;      /**< of the revisions; 0: the query's era is unknown, or
                           the replying node is of a build without eras */
    int64_t version;  /**< of the configuration that the replying node knows;
                           0: none. Sent with the era only. */
    int item_count;
    struct feed_relay_item items[FEED_RELAY_MAX_ITEMS];
};

#endif
