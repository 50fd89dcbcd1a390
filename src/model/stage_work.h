/**
 * @file stage_work.h
 * What nodes tell each other about stages: the node that owns a group of
 * endpoints gathers pieces from all nodes into full calls. Loss, repeats and
 * reordering are harmless: an ask is repeated until all its results are there,
 * results name their ask and piece, and an owner acknowledges an ask again
 * that has not been repeated, which is answered with a drop if it has ended.
 */
#ifndef MODEL_STAGE_WORK_H
#define MODEL_STAGE_WORK_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/** Pieces in one ask; a stage with more needs several. */
#define STAGE_MAX_PIECES 64
/** Results that each piece of an ask needs. */
#define STAGE_MAX_INPUTS 256

/** How one piece ended. */
#define PIECE_OUTCOME_LIST(X)                                                 \
    X(DONE)                                                                   \
    X(LATE)  /* its time was over at its turn */                              \
    X(GONE)  /* an input no longer exists */                                  \
    X(ROOM)  /* no memory for the result */                                   \
    X(ERROR) /* the endpoint failed */

enum piece_outcome {
#define X(id) PIECE_##id,
    PIECE_OUTCOME_LIST(X)
#undef X
        PIECE_OUTCOME_COUNT
};

/** Asks for pieces of one stage of one request. Strings are views. */
struct stage_ask {
    uint64_t ask;     /**< chosen by the asking node; a later process of the
                           node must not choose it again */
    uint64_t service; /**< hash of its name */
    int group;        /**< of the service's endpoints */
    struct str request_id;
    int stage;
    int priority;
    int64_t target_left_us; /**< latest start to be on time; may be past: 0 */
    int64_t dead_left_us;   /**< latest start to be of any use */
    int64_t end_left_us;    /**< until the caller stops waiting */
    int64_t bytes;          /**< approximate size of a result */
    struct str zone;    /**< where its inputs lie or its results are read; or
                             empty */
    int64_t zone_bytes; /**< that cross zones if it is made elsewhere */
    int64_t held_bytes; /**< of results that the request holds until its
                             pieces are made */
    bool keyed;         /**< the stage needs no results but the key */
    struct str key;
    int piece_count;
    int pieces[STAGE_MAX_PIECES];
    int input_count;
    struct str inputs[STAGE_MAX_INPUTS];
};

/** The owner has the ask. */
struct stage_ack {
    uint64_t ask;
    int64_t wait_us; /**< expected until its pieces begin */
};

/** One piece has ended. */
struct stage_result {
    uint64_t ask;
    int piece;
    enum piece_outcome outcome;
    struct str handle; /**< PIECE_DONE */
    uint64_t maker;    /**< hash of the endpoint's id */
    int64_t waited_us; /**< from the ask to the call */
};

/** The ask has ended: queued pieces are dropped, results given back. */
struct stage_drop {
    uint64_t ask;
    bool keep_results; /**< only pieces that were not begun are dropped */
};

/** Parts of one prompt. */
#define PREFILL_MAX_PARTS 24

/** An engine was sent a long prompt. Lost notices only make the next choice of
 * an engine worse. */
struct prefill_notice {
    uint64_t endpoint; /**< hash of its id */
    int64_t tokens;    /**< that it has to read */
    int part_count;
    uint64_t parts[PREFILL_MAX_PARTS]; /**< digest of each part and those
                                          before it */
    int part_tokens[PREFILL_MAX_PARTS];
};

struct stage_msg {
    enum stage_msg_kind {
        STAGE_MSG_ASK,
        STAGE_MSG_ACK,
        STAGE_MSG_RESULT,
        STAGE_MSG_DROP,
        STAGE_MSG_PREFILL
    } kind;
    union {
        struct stage_ask ask;
        struct stage_ack ack;
        struct stage_result result;
        struct stage_drop drop;
        struct prefill_notice prefill;
    };
};

#endif
