/**
 * @file relay.h
 * Calls over HTTP whose answers are handed on piece by piece, unchanged. One
 * curl loop; nothing is repeated behind the caller's back.
 */
#ifndef EDGE_RELAY_H
#define EDGE_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "edge/http_in.h"
#include "edge/loop.h"

struct relay_call {
    uint64_t id;        /**< chosen by the caller, not 0 */
    struct str address; /**< "IP:PORT" */
    struct str method;
    struct str target;                 /**< path and query, sent as they are */
    const struct http_header *headers; /**< copied */
    int header_count;
    struct str body; /**< must stay valid until the call has ended */
    bool fresh;      /**< on a new connection that is not kept */
    int64_t connect_ms;
    int64_t timeout_ms; /**< for the whole call */
};

/** Bytes of all heads and trailers of one answer. */
#define RELAY_HEAD_MAX (64 << 10)

enum relay_result {
    RELAY_COMPLETE, /**< the answer was whole */
    RELAY_UNSENT,   /**< no byte of the request was sent */
    RELAY_BROKEN,   /**< sent; the answer is missing or not whole */
    RELAY_GARBAGE,  /**< sent; what came is no answer, or its head or trailers
                         are longer than RELAY_HEAD_MAX */
    RELAY_TIMEOUT,  /**< sent; not whole at the time limit */
};

const char *relay_result_name(enum relay_result r);

struct relay_head {
    int status;
    const struct http_header *headers;
    int header_count;
    int64_t length; /**< -1: not told */
};

/** Called from relay_run and loop events, never from inside relay_start or
 * relay_cancel. Calls may be started and cancelled inside. */
struct relay_sink {
    void *ctx;
    void (*head)(void *ctx, uint64_t id, const struct relay_head *head);
    void (*bytes)(void *ctx, uint64_t id, struct str bytes);
    void (*end)(void *ctx, uint64_t id, enum relay_result result);
};

struct relay;

struct relay *relay_new(struct loop *l, struct relay_sink sink);
void relay_free(struct relay *r);
/** New connections are probed while nothing comes, for calls that wait long.
 */
void relay_keepalive(struct relay *r);
void relay_start(struct relay *r, const struct relay_call *call);
/** Ends a call without a callback; its connection is closed. */
void relay_cancel(struct relay *r, uint64_t id);
/** Stops and resumes reading an answer. */
void relay_pause(struct relay *r, uint64_t id, bool pause);
void relay_run(struct relay *r, int64_t now_us);
int64_t relay_wakeup(const struct relay *r);
int relay_open(const struct relay *r);
/** Connections made and calls started since the start. */
uint64_t relay_connections(const struct relay *r);
uint64_t relay_calls(const struct relay *r);

#endif
