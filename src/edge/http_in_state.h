/**
 * @file http_in_state.h
 * State of the HTTP server, private to http_in.c, http_in_reply.c,
 * http_in_close.c and http_in_shares.c.
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
    bool aborted;    /* the response must not look complete */
    GArray *headers; /* struct http_header; raw mode */
    struct buf out;  /* stream bytes that MHD has not yet read */
    /* Memory of the body that counts against the share of bodies, from its
     * first byte to the response, and where the body was when it last made
     * progress. */
    size_t body_charge;
    int64_t body_mark_us;
    size_t body_mark_bytes;
    bool in_bodies; /* in the list of bodies that are being received */
    TAILQ_ENTRY(exchange) body_link;
    /* The same for the response bytes that the caller has not read. */
    size_t unread_charge;
    int64_t unread_mark_us;
    uint64_t unread_mark_bytes;
    uint64_t bytes_read;
    bool in_unread;
    TAILQ_ENTRY(exchange) unread_link;
    size_t out_offset; /* bytes of out that MHD has read; after an error:
                      bytes of the body that were discarded */
};

TAILQ_HEAD(exchange_list, exchange);

#define HTTP_IN_COUNTER_LIST(X)                                               \
    X(requests, "requests received")                                          \
    X(refusals, "error responses sent")                                       \
    X(gone, "callers that disconnected before their response")                \
    X(slow, "connections closed because of slow sending")                     \
    X(connections, "connections accepted")                                    \
    X(dropped_bodies, "incomplete bodies dropped, share exhausted")           \
    X(dropped_responses, "unread responses dropped, share exhausted")         \
    X(dropped_connections, "connections without progress closed, none free")

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
    int connection_count;
    size_t body_bytes;   /* charges of all request bodies */
    size_t unread_bytes; /* charges of all responses that were not read */
    struct exchange_list bodies; /* being received; least recent progress first
                                  */
    struct exchange_list unread; /* least recent progress first */
    int64_t next_check_us; /* next look for connections without progress */
    uint64_t logged_drops;
    int64_t last_drop_log_us;
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

/** Closes a connection; MHD frees it later. */
void http_in_close_connection(struct conn *c);
/** Returns whether the caller has sent something that was not read yet. */
bool http_in_has_unread_bytes(const struct conn *c);
/** Writes an error to a caller whose request is incomplete; the rest of the
 * request is read and discarded. Over TLS the error follows at its end. */
void http_in_refuse_incomplete(struct exchange *x, enum errkind kind);

/** Stores bytes of a body and drops bodies without progress if the share is
 * exhausted. @return false if this body was dropped */
bool http_in_store_body(struct exchange *x, const char *data, size_t n);
/** Ends the receipt of a body; it still counts against the share. */
void http_in_deliver_body(struct exchange *x);
/** Frees a body and its part of the share. */
void http_in_free_body(struct exchange *x);
/** Sets the memory of the response that the caller has not read. */
void http_in_charge_unread(struct exchange *x, size_t bytes);
/** Drops responses without progress if their share is exhausted, and
 * connections if none is free. Calls the owner's gone. */
void http_in_enforce_shares(struct http_in *in);
/** @return monotonic time at which http_in_enforce_shares must be called */
int64_t http_in_next_check_us(const struct http_in *in);
void http_in_append_share_metrics(const struct http_in *in, struct buf *out);

#endif
