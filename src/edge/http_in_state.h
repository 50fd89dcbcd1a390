/**
 * @file http_in_state.h
 * State of the HTTP server, private to http_in.c, http_in_reply.c and
 * http_in_close.c.
 */
#ifndef EDGE_HTTP_IN_STATE_H
#define EDGE_HTTP_IN_STATE_H

#include <glib.h>
#include <microhttpd.h>
#include <sys/queue.h>

#include "base/rng.h"
#include "edge/http_in.h"

/* Every state except PROCESSING has a time limit. */
enum conn_state {
    CONN_RECEIVING,
    CONN_SENDING,
    CONN_IDLE,
    CONN_PROCESSING,
    CONN_STATES = CONN_PROCESSING
};

struct conn {
    TAILQ_ENTRY(conn) link; /* in the list of its state; none for PROCESSING */
    enum conn_state state;
    int64_t state_since_us;
    struct http_in *in;
    struct MHD_Connection *mhd;
    int fd;
    bool peer_closed; /* the caller closed or half-closed the connection */
    struct loop_source *hangup_source;
    struct exchange *exchange; /* NULL: no request is open */
    struct str target;         /* owned; target of the request being received
                                  (raw mode) */
};
TAILQ_HEAD(conn_list, conn);

/** One request and its response. */
struct exchange {
    uint64_t id;
    struct conn *conn;
    char request_id[33];
    struct http_in_request r; /* header strings belong to MHD */
    struct buf body;
    enum errkind error_kind; /* error found while receiving */
    const char *error_message;
    bool reject_before_body; /* send the error without reading the body */
    struct MHD_Response *response;
    int status;
    bool delivered; /* passed to the owner */
    bool answered;  /* the response is set or the stream has ended */
    bool disconnected;
    bool suspended;
    bool streaming;
    bool ended;
    bool aborted;      /* the response must not look complete */
    GArray *headers;   /* struct http_header; raw mode */
    struct buf out;    /* stream bytes that MHD has not yet read */
    size_t out_offset; /* bytes of out that MHD has read; after an error:
                      bytes of the body that were discarded */
};

#define HTTP_IN_COUNTER_LIST(X)                                               \
    X(requests, "requests received")                                          \
    X(refusals, "error responses sent")                                       \
    X(gone, "callers that disconnected before their response")                \
    X(slow, "connections closed because of slow sending")                     \
    X(connections, "connections accepted")

struct http_in {
    struct http_in_options opts;
    struct loop *loop;
    struct MHD_Daemon *daemon;
    struct loop_source *source;
    bool run_needed; /* MHD has work for which no descriptor becomes ready */
    bool draining;
    bool listening;
    bool stopping;
    size_t max_body_bytes;
    struct conn_list conns_by_state[CONN_STATES]; /* oldest first */
    int64_t state_timeout_us[CONN_STATES];
    size_t body_bytes; /* bytes of all request bodies in memory */
    struct exchange **slots;
    int slot_count;
    int *free_slots;
    int free_slot_count;
    uint64_t last_sequence;
    int64_t now_us; /* time of the last http_in_process_events; accurate enough
                       for time-outs */
    int open_count;
    struct rng rng;
#define X(id, text) uint64_t id;
    struct {
        HTTP_IN_COUNTER_LIST(X)
    } count;
#undef X
};

/** @return the open request with this id whose response is not yet complete,
 * or NULL */
struct exchange *http_in_find_open(const struct http_in *in, uint64_t id);
/** Moves a connection into a state and starts the time limit of the state. */
void http_in_set_state(struct conn *c, enum conn_state to);
/** Makes MHD continue with a request. */
void http_in_resume(struct exchange *x);
/** Closes the connections that have exceeded the time limit of their state. */
void http_in_expire(struct http_in *in);
/** Handles the disconnection of a caller and notifies the owner. */
void http_in_handle_disconnect(struct exchange *x);
/** Sets an error as the response of a request. */
void http_in_set_error_response(struct exchange *x, enum errkind kind,
                                struct str message, int64_t retry_after_ms);

#endif
