/**
 * @file kv.h
 * Operations on a shared key-value store with prefixes, watches, leases and
 * conditional writes. The control core emits kv_op and is fed kv_result; a
 * client performs them.
 */
#ifndef STORE_KV_H
#define STORE_KV_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

enum kv_op_kind {
    KV_LIST,  /**< items under prefix, after after_key; linearizable */
    KV_WATCH, /**< changes under prefix after revision, for wait_ms at most */
    KV_LEASE, /**< a lease of ttl_ms */
    KV_KEEP,  /**< renews lease */
    KV_END,   /**< ends lease */
    KV_PUT,   /**< writes value to key under lease (0: none) */
};

/** Strings are views that must hold until the operation is submitted. */
struct kv_op {
    uint64_t id; /**< chosen by the caller; repeated in the result */
    enum kv_op_kind kind;
    struct str prefix;
    struct str after_key;
    int64_t revision;
    int64_t wait_ms;
    int64_t lease;
    int64_t ttl_ms;
    struct str key;
    struct str value;
    int64_t timeout_ms;
    uint64_t via; /**< WATCH: a node that is asked instead; 0: the store */
    bool patient; /**< with via: see struct feed_ask */
};

enum kv_outcome {
    KV_OK,
    KV_COMPACTED, /**< WATCH: changes after revision are no longer kept */
    KV_NO_LEASE,  /**< KEEP, PUT: the lease has ended */
    KV_REFUSED,   /**< certain that nothing was done */
    KV_LOST,      /**< no readable answer: a write may have taken effect */
};

struct kv_item {
    struct str key;
    struct str value;
    int64_t revision;
    bool deleted; /**< WATCH: the key was removed */
};

/** Valid during the call that delivers it. */
struct kv_result {
    uint64_t id;
    enum kv_outcome outcome;
    int http_status;  /**< 0: no answer */
    int64_t revision; /**< of the store; PUT: of the write */
    int64_t lease;
    int64_t ttl_ms;
    bool more; /**< LIST: another page follows */
    int item_count;
    const struct kv_item *items;
};

#endif
