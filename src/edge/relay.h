/**
 * @file relay.h
 * HTTP client that passes responses on unchanged, as their bytes arrive. It
 * uses one curl loop and never resends a request by itself.
 */
#ifndef EDGE_RELAY_H
#define EDGE_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "edge/http_in.h"
#include "edge/loop.h"

struct relay_call {
    uint64_t id;        /**< chosen by the owner; not 0 */
    struct str address; /**< "IP:PORT" */
    struct str method;
    struct str target;                 /**< path and query; sent unchanged */
    const struct http_header *headers; /**< copied */
    int header_count;
    struct str body;     /**< must stay valid until the call has ended */
    bool new_connection; /**< use a new connection and close it afterwards */
    /** Close the connection after a response with a status of 400 or more. A
     * server may write a refusal once more on its connection; if the same
     * request were sent again there, its id would not tell the two apart. */
    bool close_after_error;
    int64_t connect_timeout_ms; /**< time-out of connecting */
    int64_t timeout_ms;         /**< for the whole call */
    /** Until the first byte of the response; 0: only timeout_ms applies. */
    int64_t first_byte_timeout_ms;
    /** If there is a limit for the first byte: the longest time from then in
     * which fewer than RELAY_MIN_PROGRESS_BYTES arrive; 0: no limit. */
    int64_t stall_timeout_ms;
};

/** See relay_call.stall_timeout_ms. Small enough for a slow link and too large
 * for a server that sends a byte now and then. */
#define RELAY_MIN_PROGRESS_BYTES 4096

/** Limit of the total size of all headers and trailers of one response, in
 * bytes. */
#define RELAY_MAX_HEADER_BYTES (64 << 10)

enum relay_result {
    RELAY_COMPLETE,         /**< the response was complete */
    RELAY_NOT_SENT,         /**< no byte of the request was sent */
    RELAY_REFUSED,          /**< as RELAY_NOT_SENT; the endpoint refused the
                        connection */
    RELAY_CLOSED_UNSENT,    /**< as RELAY_NOT_SENT; the endpoint accepted the
                        connection and closed it */
    RELAY_INCOMPLETE,       /**< sent; the response is missing or incomplete */
    RELAY_INVALID_RESPONSE, /**< sent; the received bytes are not a valid
                        response, or its headers and trailers exceed
                        RELAY_MAX_HEADER_BYTES */
    RELAY_TIMEOUT, /**< sent; the response was incomplete at a time limit */
};

const char *relay_result_name(enum relay_result r);

struct relay_response_head {
    int status;
    const struct http_header *headers;
    int header_count;
    int64_t length; /**< bytes of the body; -1: unknown */
};

/** Callbacks of the owner. They are called from relay_process_events and from
 * loop events, never inside relay_start_call or relay_cancel_call, and may
 * start and cancel calls. */
struct relay_callbacks {
    void *ctx;
    void (*head)(void *ctx, uint64_t id,
                 const struct relay_response_head *head);
    void (*bytes)(void *ctx, uint64_t id, struct str bytes);
    void (*end)(void *ctx, uint64_t id, enum relay_result result);
};

struct relay;

/** @param max_idle_connections that are kept open for later calls */
struct relay *relay_new(struct loop *l, struct relay_callbacks callbacks,
                        int max_idle_connections);
void relay_free(struct relay *r);
/** Enables TCP keepalive on new connections, for calls that wait long for a
 * response. */
void relay_enable_keepalive(struct relay *r);
void relay_start_call(struct relay *r, const struct relay_call *call);
/** Cancels a call without a callback and closes its connection. */
void relay_cancel_call(struct relay *r, uint64_t id);
/** Pauses or resumes reading a response. */
void relay_set_paused(struct relay *r, uint64_t id, bool pause);
void relay_process_events(struct relay *r, int64_t now_us);
/** @return monotonic time at which relay_process_events must be called at the
 * latest; INT64_MAX if no time-out is pending */
int64_t relay_next_wakeup_us(const struct relay *r);
/** @return number of calls that have not ended */
int relay_open_calls(const struct relay *r);
/** Connections opened and calls started since relay_new. */
uint64_t relay_connections_opened(const struct relay *r);
uint64_t relay_calls_started(const struct relay *r);

#endif
