/**
 * @file http_out_state.h
 * State of calls, private to http_out.c and http_out_answer.c.
 */
#ifndef EDGE_HTTP_OUT_STATE_H
#define EDGE_HTTP_OUT_STATE_H

#include <curl/curl.h>
#include <glib.h>

#include "edge/curl_loop.h"
#include "edge/http_out.h"
#include "edge/sse.h"

/** Maximum number of curl easy handles that are kept for reuse. */
#define MAX_SPARE_HANDLES 256

enum { MAX_HEADERS = 9, HEADER_BYTES = 160 };

struct token {
    int index;
    struct str text;
};

/** A call, or a probe if it has no attempt number. */
struct call {
    struct http_out *out;
    CURL *easy;
    uint64_t attempt; /* 0: a probe */
    struct str endpoint;
    struct str body;
    int64_t deadline_us;
    bool stream;
    bool check_deadline_at_send; /* check the deadline right before sending */
    bool in_active_list;         /* is in out->active */
    int send_count; /* how often libcurl was about to write the request */
    bool deadline_passed;  /* the deadline had passed before the request was
                              sent */
    bool attempt_mismatch; /* the response has no or another X-Attempt */
    bool too_large;
    bool done_received; /* "data: [DONE]" was received */
    bool invalid_event; /* an event was not a completion chunk */
    bool headers_done;
    struct str attempt_header; /* value sent in X-Attempt */
    bool attempt_matches;
    bool event_stream;
    bool has_framing; /* has Content-Length or Transfer-Encoding */
    int status;
    int next_index;
    struct buf response_body;
    struct sse sse;
    struct endpoint_report report;
    struct str start_id;
    bool bytes_received; /* bytes were received since the last event */
    GArray *tokens;      /* struct token; not yet reported */
    struct curl_slist headers[MAX_HEADERS];
    char header_text[MAX_HEADERS][HEADER_BYTES];
    struct call *next_active;
};

#define HTTP_OUT_COUNTER_LIST(X)                                              \
    X(calls)                                                                  \
    X(done)                                                                   \
    X(failed)                                                                 \
    X(unsent)                                                                 \
    X(cancelled)                                                              \
    X(crossed)                                                                \
    X(probes)                                                                 \
    X(connections)

struct http_out {
    struct http_out_options opts;
    struct curl_loop *curl;
    size_t buffered_bytes; /* of the responses that are not yet whole */
    GHashTable *calls;     /* struct call by attempt */
    GPtrArray *probes;
    struct call *active; /* calls with tokens or bytes to report */
    GPtrArray
        *failed_to_start; /* calls that http_out_process_events will report */
    CURL *spare[MAX_SPARE_HANDLES];
    int spare_count;
#define X(id) uint64_t id;
    struct {
        HTTP_OUT_COUNTER_LIST(X)
    } count;
#undef X
};

/** Callbacks of libcurl for the body and the headers of a response. */
size_t http_out_on_body(char *p, size_t size, size_t n, void *ctx);
size_t http_out_on_header(char *p, size_t size, size_t n, void *ctx);

/** Fills in a CALL_DONE or CALL_FAILED event for a finished transfer. */
void http_out_set_result(const struct call *c, CURLcode rc,
                         struct flow_event *ev);

#endif
