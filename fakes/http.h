/**
 * @file http.h
 * A small HTTP server on libmicrohttpd for the fakes and the tests: one
 * thread, one handler, immediate or deferred responses, timers, streams, and
 * the connection faults that clients must survive.
 */
#ifndef FAKES_HTTP_H
#define FAKES_HTTP_H

#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

struct fh;

/** One request. It is valid until @c on_end has been called. */
struct fh_req {
    struct fh *h;
    struct str method; /**< borrowed; path and body too */
    struct str path;   /**< without query */
    struct str body;
    void *user;                       /**< for the handler */
    void (*on_end)(struct fh_req *r); /**< called when the request ends, with
                                       or without a response; may be NULL */
    struct fh_req_priv *priv;
};

struct fh_options {
    const char *address; /**< an IPv4 address; NULL: 127.0.0.1 */
    int port;            /**< 0: chosen by the system */
    /** Called once for each request, after its whole body was received. */
    void (*handler)(void *ctx, struct fh_req *r);
    void *ctx;
};

struct fh *fh_new(const struct fh_options *opts);
void fh_free(struct fh *h);
int fh_port(const struct fh *h);

/** Waits for events for at most @p wait_ms and processes them. */
void fh_run_once(struct fh *h, int wait_ms);

/** Prints "listening PORT", serves until SIGTERM or SIGINT, and frees @p h.
 * @return exit code 0 */
int fh_serve(struct fh *h);

/** The monotonic clock in microseconds. */
int64_t fh_now_us(void);

/** The value of a request header, borrowed; NULL: none. */
const char *fh_request_header(const struct fh_req *r, const char *name);

/** The value of a query argument, borrowed; NULL: none. */
const char *fh_query_argument(const struct fh_req *r, const char *name);

/** Adds a header to the response; call it before the response is sent. */
void fh_add_header(struct fh_req *r, const char *name, const char *value);

/** Sends the response. The request ends soon after. */
void fh_reply(struct fh_req *r, int status, const char *type, struct str body);
/** Sends a JSON response; takes ownership of the reference @p body. */
void fh_reply_json(struct fh_req *r, int status, json_t *body);
/** Announces the length of the whole body, sends half of it and closes the
 * connection. */
void fh_reply_truncated(struct fh_req *r, int status, struct str body);
/** Closes the connection without a response. */
void fh_drop_connection(struct fh_req *r);

/** Starts a chunked response of unknown length. */
void fh_stream_begin(struct fh_req *r, const char *type);
void fh_stream_write(struct fh_req *r, struct str bytes);
/** Ends a chunked response. If @p complete is false, the connection is closed
 * without the last chunk. */
void fh_stream_end(struct fh_req *r, bool complete);

/**
 * Sends no further bytes on the connections that are open now; connections
 * opened later work. Requests with paths below /control are not affected.
 */
void fh_silence_connections(struct fh *h);

/** Runs @p fn once after a delay. @return timer id for fh_cancel_timer */
uint64_t fh_add_timer(struct fh *h, int64_t delay_us, void (*fn)(void *arg),
                      void *arg);
void fh_cancel_timer(struct fh *h, uint64_t timer);

/** A "--name value" option; its value goes to the pointer that is not NULL. */
struct fh_option {
    const char *name;
    int64_t *i;
    double *d;
    const char **s;
    const char *help;
};
/** Parses the command line. Prints the usage and exits with 2 on an unknown
 * option or a missing or invalid value. */
void fh_options(int argc, char **argv, const char *what,
                const struct fh_option *opts, int count);

#endif
