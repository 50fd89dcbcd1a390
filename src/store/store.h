/**
 * @file store.h
 * Operations on the platform's key-value service. The control core emits
 * store_op; store_client.c performs the operations over HTTP and passes each
 * store_result back.
 */
#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

enum store_op_kind {
    STORE_GET,
    STORE_CAS,   /**< put if mod_revision == expect (0: key is absent) */
    STORE_WATCH, /**< wait until mod_revision of the key exceeds expect;
                      ends with its first result */
};

struct store_op {
    uint64_t id; /**< chosen by the caller; repeated in the result */
    enum store_op_kind kind;
    struct str key;
    struct str value; /**< CAS: the new value */
    int64_t expect;   /**< CAS, WATCH: a mod_revision */
    int64_t timeout_us;
};

enum store_outcome {
    STORE_OK,
    STORE_NOT_FOUND, /**< GET: the key does not exist; WATCH: it was deleted */
    STORE_CONFLICT,  /**< CAS: the revision differs; nothing was written */
    STORE_FAILED,    /**< nothing was written, for certain */
    STORE_OUTCOME_UNKNOWN, /**< no valid response: a CAS may have taken effect
                            */
};

struct store_result {
    uint64_t id;
    enum store_outcome outcome;
    int64_t revision; /**< mod_revision of the key after the operation */
    struct str value; /**< GET, WATCH */
};

#endif
