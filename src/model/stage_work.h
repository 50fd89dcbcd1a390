/**
 * @file stage_work.h
 * Messages between nodes about stages. The node that owns a group of endpoints
 * batches pieces from all nodes into full calls. Lost, repeated and reordered
 * messages are harmless: the requesting node repeats a request until it has
 * all results; a result carries the id of its request and its piece; and the
 * owner acknowledges a request again if it has not been repeated, to which the
 * requesting node replies with a drop if the request has ended.
 */
#ifndef MODEL_STAGE_WORK_H
#define MODEL_STAGE_WORK_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "model/part_notice.h"
#include "model/return_notice.h"

/** Maximum number of pieces in a request; larger stages need several. */
#define STAGE_MAX_PIECES 64
/** Maximum number of pieces in a call to an endpoint, whose response is read
 * into memory of this size. */
#define STAGE_MAX_BATCH 256
/** Maximum number of results that each piece of a request needs. */
#define STAGE_MAX_INPUTS 256

/** Outcome of a piece. */
#define PIECE_OUTCOME_LIST(X)                                                 \
    X(DONE)                                                                   \
    X(LATE)       /* its deadline passed before its turn */                   \
    X(INPUT_GONE) /* an input no longer exists */                             \
    X(NO_MEMORY)  /* no memory for the result */                              \
    X(ERROR)      /* the endpoint failed */

enum piece_outcome {
#define X(id) PIECE_##id,
    PIECE_OUTCOME_LIST(X)
#undef X
        PIECE_OUTCOME_COUNT
};

/** Requests pieces of one stage of a caller's request. Strings are views. */
struct stage_work_request {
    uint64_t correlation_id; /**< id chosen by the requesting node; a later
                       process of the node must not reuse it */
    uint64_t service;        /**< hash of its name */
    int group;               /**< group of the service's endpoints */
    struct str request_id;
    int stage;
    int priority;
    int64_t target_left_us; /**< time until the latest start that meets the
                                 latency objective; 0 if past */
    int64_t expiry_left_us; /**< time until the latest useful start */
    int64_t end_left_us;    /**< time until the caller stops waiting */
    int64_t bytes;          /**< approximate size of a result */
    struct str zone;        /**< where its inputs are stored or its results are
                                 read; may be empty */
    int64_t zone_bytes; /**< bytes that cross zones if the pieces are processed
                             in another zone */
    int64_t held_bytes; /**< bytes of results that the request keeps until its
                             pieces are done */
    bool keyed;         /**< the stage needs only the key, no results of other
                             stages */
    struct str key;
    int piece_count;
    int pieces[STAGE_MAX_PIECES];
    int input_count;
    struct str inputs[STAGE_MAX_INPUTS];
    /* The fields below are sent only to nodes that have shown that they know
     * them, since builds without them reject the message. */
    uint64_t team; /**< hash of the team's name; 0: none, or not sent */
    int64_t waited_before_us; /**< time since the caller's first refused
                                 attempt; 0: none, or not sent */
};

/** Acknowledges that the owner has received a request. */
struct stage_ack {
    uint64_t correlation_id;
    int64_t wait_us; /**< expected time until its pieces start */
};

/** Reports the outcome of a piece. */
struct stage_result {
    uint64_t correlation_id;
    int piece;
    enum piece_outcome outcome;
    struct str handle; /**< PIECE_DONE only */
    uint64_t maker; /**< hash of the id of the endpoint that has the result */
    int64_t waited_us; /**< time from the request to the call */
};

/** Reports the pieces of one request that one call has done. Without pieces it
 * shows that its sender knows this message and the last fields of struct
 * stage_work_request; builds without them ignore it. */
struct stage_results {
    uint64_t correlation_id; /**< without pieces: whether the receiver is to
                                show the same; 0: no */
    uint64_t maker;          /**< as in struct stage_result */
    int64_t waited_us;       /**< as in struct stage_result */
    int count;
    struct {
        int piece;
        struct str handle;
    } items[STAGE_MAX_PIECES];
};

/** Reports that a request has ended: the owner drops its queued pieces and
 * releases its results. */
struct stage_drop {
    uint64_t correlation_id;
    bool keep_results; /**< drop only the pieces that have not started */
};

/** Maximum number of parts of a prompt. */
#define PREFILL_MAX_PARTS PART_NOTICE_MAX_PARTS

/** Reports that an engine was sent a long prompt. A lost notice only makes the
 * next choice of an engine worse. */
struct prefill_notice {
    uint64_t endpoint; /**< hash of its id */
    int64_t tokens;    /**< tokens that it has to prefill */
    int part_count;
    uint64_t parts[PREFILL_MAX_PARTS]; /**< digest of each part and all parts
                                          before it */
    int part_tokens[PREFILL_MAX_PARTS];
};

/** Maximum number of first events in one notice. */
#define ENGINE_NOTICE_MAX 4

/** Reports how long engines took for first events, at most once a second. A
 * lost notice only delays what is known of their speed. */
struct engine_notice {
    int count;
    struct {
        uint64_t endpoint; /**< hash of its id */
        int64_t actual_us; /**< time from the request to the first event */
        int64_t tokens;    /**< prompt tokens read until then */
        int running;       /**< requests that ran beside it */
    } samples[ENGINE_NOTICE_MAX];
};

struct stage_msg {
    enum stage_msg_kind {
        STAGE_MSG_REQUEST,
        STAGE_MSG_ACK,
        STAGE_MSG_RESULT,
        STAGE_MSG_DROP,
        STAGE_MSG_PREFILL,
        STAGE_MSG_PARTS,
        STAGE_MSG_RESULTS,
        STAGE_MSG_RETURNS,
        STAGE_MSG_ENGINES,
        STAGE_MSG_KIND_COUNT
    } kind;
    union {
        struct stage_work_request request;
        struct stage_ack ack;
        struct stage_result result;
        struct stage_drop drop;
        struct prefill_notice prefill;
        struct part_notice parts;
        struct stage_results results;
        struct return_notice returns;
        struct engine_notice engines;
    };
};

#endif
