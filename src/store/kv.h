/**
 * @file kv.h
 * Operations on a shared key-value store with prefixes, watches, leases and
 * conditional writes. The feed emits kv_op; a client performs the operations
 * and passes each kv_result back.
 */
#ifndef STORE_KV_H
#define STORE_KV_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

enum kv_op_kind {
    KV_LIST,  /**< items under prefix after after_key; linearizable */
    KV_WATCH, /**< changes under prefix after revision; waits up to wait_ms */
    KV_LEASE_GRANT,  /**< grants a lease of ttl_ms */
    KV_LEASE_RENEW,  /**< renews lease */
    KV_LEASE_REVOKE, /**< revokes lease */
    KV_PUT,          /**< writes value to key under lease (0: none) */
    KV_PUT_IF,       /**< as PUT without a lease, if key has if_revision */
};

/** Strings are not owned and must stay valid until the operation is submitted.
 */
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
    struct str second_key; /**< PUT: written with the first one, under the same
                              lease */
    struct str second_value; /**< empty: there is only one key */
    int64_t if_revision;     /**< PUT_IF: 0: the key does not exist */
    int64_t timeout_ms;  /**< until the response begins; then it may take as
                            long as its size and the link require */
    bool new_connection; /**< the others may be silent */
    uint64_t
        via_node; /**< WATCH: hash of a node to query instead; 0: the store */
    bool wait_for_contact; /**< if via_node is set: see struct feed_query */
};

enum kv_outcome {
    KV_OK,
    KV_COMPACTED,       /**< WATCH: the store no longer keeps the changes after
                           revision */
    KV_TOO_LARGE,       /**< WATCH: the changes after revision are likely to be
                           larger than a list */
    KV_CONFLICT,        /**< PUT_IF: key has another revision */
    KV_LEASE_EXPIRED,   /**< renewal or PUT: the lease has expired */
    KV_NOT_EXECUTED,    /**< the operation was certainly not executed */
    KV_OUTCOME_UNKNOWN, /**< no valid response: a write may have taken effect
                         */
};

struct kv_item {
    struct str key;
    struct str value;
    int64_t revision;
    bool deleted; /**< WATCH: the key was removed */
};

/** Valid only during the call that passes it. */
struct kv_result {
    uint64_t id;
    enum kv_outcome outcome;
    int http_status; /**< 0: no response */
    int64_t era; /**< of the store that responded, see feed.h; 0: unknown */
    int64_t revision; /**< current revision of the store; PUT: of the write */
    int64_t lease;
    int64_t ttl_ms;
    bool has_more; /**< LIST: there is another page */
    int item_count;
    const struct kv_item *items;
};

#endif
