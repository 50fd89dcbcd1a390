/**
 * @file feed_relay.h
 * How nodes share the watches of the store. A few watchers wait at the store;
 * other nodes ask one of them and are answered from its next answer. An answer
 * is as good as the store's own: it is fresh only if the watcher's call was
 * sent after the ask had come. Loss and repeats are harmless: an ask without
 * an answer goes to the store itself.
 */
#ifndef MODEL_FEED_RELAY_H
#define MODEL_FEED_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

#define FEED_RELAY_ITEMS 64

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
    bool fresh;       /**< the store was asked after the ask had come */
    int64_t revision; /**< all changes up to it are known after the items */
    int item_count;
    struct feed_relay_item items[FEED_RELAY_ITEMS];
};

#endif
