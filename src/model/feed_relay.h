/**
 * @file feed_relay.h
 * How nodes share the watches of the store. A few watchers wait at the store;
 * other nodes ask one of them, which answers with the next change or after a
 * bounded time. An answer tells how old the watcher's own contact with the
 * store is, so the asker knows everything that was acknowledged that long
 * before it asked. Loss and repeats are harmless: an ask without an answer
 * goes to another watcher or to the store itself.
 */
#ifndef MODEL_FEED_RELAY_H
#define MODEL_FEED_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

#define FEED_RELAY_ITEMS 64
#define FEED_AGE_UNKNOWN INT64_MAX

/** Asks for the changes of a part of the store after a revision. */
struct feed_ask {
    uint64_t ask; /**< chosen by the asking node */
    int track;    /**< enum feed_track */
    int64_t revision;
    bool patient; /**< a watcher without contact may keep it until it has */
};

struct feed_relay_item {
    struct str key;
    struct str value;
    int64_t revision;
    bool deleted;
};

struct feed_answer {
    uint64_t ask;
    bool known;       /**< false: the watcher cannot tell; ask the store */
    int64_t age_us;   /**< of the watcher's contact; FEED_AGE_UNKNOWN: none */
    int64_t revision; /**< all changes up to it are known after the items */
    int item_count;
    struct feed_relay_item items[FEED_RELAY_ITEMS];
};

#endif
