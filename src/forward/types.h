/**
 * @file types.h
 * Inputs and outputs of the forwarding core. Strings are views; those of a
 * request are valid until it has ended, those of outputs during the call.
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

/** A request received from a caller. */
struct forward_request {
    uint64_t id; /**< of the HTTP exchange with the caller */
    struct str request_id;
    struct str host;
    struct str path; /**< without the query */
    struct str credential;
    struct digest content; /**< digest of method, target, caller and body */
    int64_t caller_timeout_us; /**< how long the caller waits; -1: unknown */
    int64_t resume_after;  /**< last event the caller has received; -1: none */
    int prompt_tokens;     /**< 0: unknown */
    int max_output_tokens; /**< maximum; 0: unknown */
    int part_count;
    struct prompt_part parts[FORWARD_MAX_PARTS];
    int piece_counts[ROUTING_MAX_STAGES]; /**< number of pieces of each stage
                                           */
    struct str piece_key;
};

/** A request to be sent to an endpoint. */
struct forward_call {
    uint64_t id;
    uint64_t request;
    struct str address;
    struct str endpoint;  /**< expected id of the endpoint */
    struct str team;      /**< empty: no team */
    int64_t remaining_ms; /**< time limit for the endpoint */
    int urgency;          /**< 0 (most urgent) to 9; -1: not set */
    int64_t resume_after; /**< last event to skip; -1: from the start */
    int input_count;
    const struct str *inputs; /**< handles of stage results */
    bool fresh_connection; /**< needs a new connection, as an idle one may be
                              stale */
    int64_t timeout_ms;
};

/** One piece of a stage in a call. */
struct piece_item {
    struct str request_id;
    int stage;
    int piece;
    int64_t remaining_ms;
    struct str key; /**< used by stages that take no results as input */
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
    int reserve_count; /**< pieces sent ahead of more urgent ones */
    int late_count;    /**< pieces that cannot meet their latency objective */
};

/** Releases results that are no longer needed at the endpoint that holds them.
 */
struct release_call {
    struct str address;
    int handle_count;
    const struct str *handles;
};

/** Queries the report of an endpoint: the memory that it has left for results,
 * or only whether it accepts connections. */
struct report_call {
    uint64_t id;
    struct str address;
    int64_t timeout_ms;
};

/** Properties of a response besides its status and body. */
struct response_meta {
    bool same_request; /**< echoes the id of the request */
    bool sealed;       /**< has the endpoint's Response-Seal header */
    bool not_executed; /**< the endpoint states that it did not run the request
                        */
    bool other_instance;    /**< the address now belongs to another endpoint */
    bool content_encoded;   /**< has a Content-Encoding, so the body is not as
                       the   endpoint sent it */
    bool leaving;           /**< the endpoint is about to stop */
    int64_t retry_after_us; /**< pause that it asks for as it rejects the
                               request; 0: none */
    bool closes_connection; /**< the endpoint closes the connection after it */
    bool framed; /**< the body has a length or chunks; otherwise it ends with
                    the connection */
    int64_t length; /**< body length; -1: unknown */
    int running;    /**< load report of the endpoint; -1: unknown */
    int waiting;
    int load_percent; /**< how long work takes there at this moment; 100: as
                         usual; 0: not reported */
};

struct piece_result {
    enum piece_outcome outcome;
    struct str handle; /**< set for PIECE_DONE */
};

/** Outcome of a call. */
enum call_end {
    CALL_END_COMPLETE,  /**< the complete response was received */
    CALL_END_UNSENT,    /**< nothing was sent */
    CALL_END_BROKEN,    /**< sent, but no complete response was received */
    CALL_END_TIMED_OUT, /**< as CALL_END_BROKEN, since the call's time is over
                         */
    CALL_END_MALFORMED, /**< sent, and the response is malformed */
};

/** What a probe found out about an endpoint. */
enum probe_result {
    PROBE_ALIVE,   /**< it responded, or did not answer in time */
    PROBE_REFUSED, /**< it refuses connections */
    PROBE_BROKEN,  /**< it accepted a connection and closed it */
};

/** Callbacks for side effects. They are called from within the core's
 * functions. */
struct forward_io {
    void *ctx;
    void (*send_call)(void *ctx, const struct forward_call *call);
    void (*send_pieces)(void *ctx, const struct pieces_call *call);
    void (*release_results)(void *ctx, const struct release_call *call);
    void (*query_memory)(void *ctx, const struct report_call *call);
    /** Sends a message to another node; it may be lost. */
    void (*send_message)(void *ctx, uint64_t node, const struct stage_msg *m);
    /** Reopens the connection to a node that does not reply. */
    void (*reconnect)(void *ctx, uint64_t node);
    void (*cancel_call)(void *ctx, uint64_t call);
    /** Saves status and headers of the response head that is being handled,
     * for begin_response. */
    void (*save_head)(void *ctx, uint64_t request);
    /** Starts the response to the caller with the saved head.
     * @param length of the body, -1 if unknown */
    void (*begin_response)(void *ctx, uint64_t request, int64_t length);
    /** Pauses reading the response of a call until the caller has read its
     * backlog; then forward_caller_caught_up is called. */
    void (*pause_call)(void *ctx, uint64_t call, uint64_t request);
    /** @return bytes that the caller has not read yet */
    size_t (*send_body)(void *ctx, uint64_t request, struct str bytes);
    void (*finish_response)(void *ctx, uint64_t request);
    /** Ends a response so that it cannot be mistaken for a complete one. */
    void (*abort_response)(void *ctx, uint64_t request);
    void (*refuse)(void *ctx, uint64_t request, enum errkind kind,
                   const char *why, int64_t retry_after_ms);
    /** Queries the report of an endpoint to find out whether it accepts
     * connections; ends with forward_endpoint_probed. */
    void (*probe_endpoint)(void *ctx, const struct report_call *call);
};

#endif
