/**
 * @file types.h
 * What enters and leaves the forwarding core. Strings are views; those of a
 * request hold until it has ended, those of outputs during the call.
 */
#ifndef FORWARD_TYPES_H
#define FORWARD_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#include "base/errkind.h"
#include "base/hash.h"
#include "base/str.h"
#include "model/routing.h"
#include "model/stage_work.h"

#define FORWARD_MAX_PARTS PREFILL_MAX_PARTS

/** A part of a prompt that other requests may share. */
struct prompt_part {
    uint64_t id;
    int tokens;
};

/** A caller's request. */
struct forward_request {
    uint64_t id; /**< of the exchange with the caller */
    struct str request_id;
    struct str host;
    struct str path; /**< without the query */
    struct str credential;
    struct digest content; /**< of method, target, caller and body */
    int64_t patience_us;   /**< how long the caller waits; -1: not told */
    int64_t resume_after;  /**< last event the caller has; -1: none */
    int prompt_tokens;     /**< 0: not told */
    int output_tokens;     /**< at most; 0: not told */
    int part_count;
    struct prompt_part parts[FORWARD_MAX_PARTS];
    int piece_counts[ROUTING_MAX_STAGES]; /**< pieces of each stage */
    struct str piece_key;
};

/** A request to be sent to an endpoint. */
struct forward_call {
    uint64_t id;
    uint64_t request;
    struct str address;
    struct str endpoint;  /**< id that the endpoint must have */
    struct str team;      /**< empty: none */
    int64_t left_ms;      /**< time the endpoint is given */
    int urgency;          /**< 0 (first) to 9; -1: not told */
    int64_t resume_after; /**< -1: from the start */
    int input_count;
    const struct str *inputs; /**< results of stages */
    bool once; /**< must not be sent on a connection that may be stale */
    int64_t timeout_ms;
};

/** One piece of a stage in a call. */
struct piece_item {
    struct str request_id;
    int stage;
    int piece;
    int64_t left_ms;
    struct str key; /**< for stages that need no results */
    int input_count;
    const struct str *inputs;
};

struct pieces_call {
    uint64_t id;
    struct str address;
    struct str endpoint;
    int64_t timeout_ms;
    int item_count;
    const struct piece_item *items;
};

/** Results that are no longer needed, at the endpoint that made them. */
struct release_call {
    struct str address;
    int handle_count;
    const struct str *handles;
};

/** Asks an endpoint for the room that is left for results. */
struct room_call {
    uint64_t id;
    struct str address;
    int64_t timeout_ms;
};

/** What an answer says besides its status and body. */
struct answer_meta {
    bool same_request;   /**< repeats the id of the request */
    bool sealed;         /**< bears the endpoint's signature */
    bool not_executed;   /**< the endpoint states that it did not run it */
    bool other_instance; /**< another endpoint has the address */
    bool encoded;        /**< the body is not the endpoint's own */
    bool leaving;        /**< the endpoint closes the connection */
    int64_t length;      /**< of the body; -1: not told */
    int running;         /**< load of the endpoint; -1: not told */
    int waiting;
};

struct piece_result {
    enum piece_outcome outcome;
    struct str handle; /**< PIECE_DONE */
};

/** How a call ended. */
enum call_end {
    CALL_END_WHOLE,   /**< the answer was whole */
    CALL_END_UNSENT,  /**< no byte was sent */
    CALL_END_BROKEN,  /**< sent; no whole answer */
    CALL_END_GARBAGE, /**< sent; what came is no answer */
};

/** Effects. Called from inside the core's functions. */
struct forward_io {
    void *ctx;
    void (*send)(void *ctx, const struct forward_call *call);
    void (*send_pieces)(void *ctx, const struct pieces_call *call);
    void (*release)(void *ctx, const struct release_call *call);
    void (*ask_room)(void *ctx, const struct room_call *call);
    /** Sends to another node; may be lost. */
    void (*tell)(void *ctx, uint64_t node, const struct stage_msg *m);
    /** Opens the connection to a node that does not answer anew. */
    void (*reconnect)(void *ctx, uint64_t node);
    void (*cancel)(void *ctx, uint64_t call);
    /** Keeps status and headers of the head being handed in, for begin. */
    void (*keep_head)(void *ctx, uint64_t request);
    /** Begins the caller's answer with the kept head.
     * @param length of the body, -1 if unknown */
    void (*begin)(void *ctx, uint64_t request, int64_t length);
    /** Stops reading the answer of a call until the caller has taken what it
     * was given; then forward_taken is called. */
    void (*hold)(void *ctx, uint64_t call, uint64_t request);
    /** @return bytes that the caller has not taken yet */
    size_t (*body)(void *ctx, uint64_t request, struct str bytes);
    void (*finish)(void *ctx, uint64_t request);
    /** Ends an answer so that it does not look complete. */
    void (*abort)(void *ctx, uint64_t request);
    void (*refuse)(void *ctx, uint64_t request, enum errkind kind,
                   const char *why, int64_t retry_after_ms);
};

#endif
