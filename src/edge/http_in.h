/**
 * @file http_in.h
 * HTTP server of one traffic thread (libmicrohttpd in external epoll mode).
 * Receives whole requests within limits and passes them to the owner, which
 * sends a response or a stream of server-sent events at any later time.
 *
 * A caller that closes or half-closes its connection while a request is open
 * is treated as disconnected, since the two cases cannot be distinguished
 * until something is written to the connection.
 */
#ifndef EDGE_HTTP_IN_H
#define EDGE_HTTP_IN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/errkind.h"
#include "base/str.h"
#include "edge/caller_budget.h"
#include "edge/loop.h"

/** One header of a request or a response. */
struct http_header {
    struct str name;
    struct str value;
};

/** A received request. Its strings are valid during the callback; in raw mode
 * they are valid until the response is complete or the caller has
 * disconnected. */
struct http_in_request {
    uint64_t id;
    struct str target; /**< raw mode: path and query as received */
    int header_count;  /**< raw mode: all headers, in order */
    const struct http_header *headers;
    struct str method;
    struct str path;
    struct str request_id; /**< 32 hex digits; the last two are the thread */
    struct str token;      /**< bearer token */
    struct str key;        /**< Idempotency-Key header */
    struct str deadline;   /**< X-Deadline-Ms header, not parsed */
    struct str traceparent;
    struct str body;
    bool stream;   /**< text/event-stream is accepted */
    bool loopback; /**< the caller's address is a loopback address */
};

struct http_in_options {
    struct str address;
    int port;            /**< 0: the system chooses a free port */
    struct str tls_cert; /**< PEM text; empty: plain HTTP */
    struct str tls_key;
    int max_connections;
    int max_connections_per_caller; /**< per IP address */
    /** Shares for what callers hold in memory; its connections are not used
     * here. */
    struct caller_budget budget;
    int receive_timeout_ms; /**< for the whole request, not per read */
    int max_header_bytes;
    int idle_timeout_ms; /**< 0: 60 s */
    /** Raw mode: requests have all headers and the unparsed target, and
     * responses have only the headers that the owner sets. */
    bool raw;
    int thread;    /**< number of the traffic thread */
    uint64_t seed; /**< seed of the random request ids */
    void *ctx;
    /** Called with each received request. The owner may respond inside the
     * callback or later. */
    void (*request)(void *ctx, const struct http_in_request *r);
    /** Called when the caller disconnects before the response is complete;
     * the id is invalid from then on. */
    void (*gone)(void *ctx, uint64_t id);
};

struct http_in;

enum status http_in_new(struct loop *l, const struct http_in_options *opts,
                        struct http_in **out);
void http_in_free(struct http_in *in);

int http_in_port(const struct http_in *in);

/** Sets the largest accepted body; larger ones are rejected. */
void http_in_set_max_body(struct http_in *in, size_t bytes);

/** Refuses new connections from now on. */
void http_in_stop_listening(struct http_in *in);

/** Makes all later responses carry "Connection: close". */
void http_in_start_draining(struct http_in *in);

/** Sends a response; ignored for unknown ids. The body is copied. */
void http_in_send_response(struct http_in *in, uint64_t id, int status,
                           const char *content_type, struct str body);

/**
 * Sends an error as JSON, or as an `error` event if a stream has started.
 * @param retry_after_ms 0: no Retry-After header
 */
void http_in_send_error(struct http_in *in, uint64_t id, enum errkind kind,
                        struct str message, int64_t retry_after_ms);

/** Sends one server-sent event and starts the stream if necessary.
 * @param data must not contain line breaks */
void http_in_send_event(struct http_in *in, uint64_t id, const char *event,
                        struct str data);
/** Ends a stream that has been started. */
void http_in_end_stream(struct http_in *in, uint64_t id);

/** Starts a response with the owner's headers (raw mode).
 * @param length bytes of the body; -1: unknown */
void http_in_begin_response(struct http_in *in, uint64_t id, int status,
                            const struct http_header *headers, int count,
                            int64_t length);
/** Appends bytes to the body of a response that has been started.
 * @return bytes that are buffered and not yet sent to the caller */
size_t http_in_write_body(struct http_in *in, uint64_t id, struct str bytes);
/** Closes the connection of a request without completing its response, so
 * that the caller cannot take the response as complete. */
void http_in_abort(struct http_in *in, uint64_t id);

/** Refuses the requests that have been received for longer than
 * @p older_than_us and are not complete, with status 503. */
void http_in_refuse_receiving(struct http_in *in, int64_t older_than_us);

/** Closes the kept-alive connections on which no next request has begun to
 * arrive. */
void http_in_close_idle(struct http_in *in);
/** Replaces the time-outs of the options. */
void http_in_set_timeouts(struct http_in *in, int receive_timeout_ms,
                          int idle_timeout_ms);

/** Appends the JSON text of an error. An empty @p message stands for the
 * default message of @p kind. */
void http_in_append_error(struct buf *out, enum errkind kind,
                          struct str message, struct str request_id);

/** Runs pending work; must be called once per loop iteration. */
void http_in_process_events(struct http_in *in, int64_t now_us);
/** @return monotonic time at which http_in_process_events must be called even
 * if no event occurs; INT64_MAX: no time limit */
int64_t http_in_next_wakeup_us(const struct http_in *in, int64_t now_us);

/** @return number of requests whose head has been received and whose response
 * is not yet complete */
int http_in_open_requests(const struct http_in *in);
/** @return number of these that are not yet received completely, also those
 * that are refused and read to their end */
int http_in_receiving_requests(const struct http_in *in);

void http_in_append_metrics(const struct http_in *in, struct buf *out);

#endif
