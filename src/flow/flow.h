/**
 * @file flow.h
 * The request path of one traffic thread as a state machine: admission,
 * queues, routing, retries, claims and complete answers for all requests of
 * the thread. It does no I/O: the caller passes events and the time, and
 * carries out the actions that result.
 *
 * Strings in events are borrowed for the duration of flow_handle_event.
 * Strings in actions are valid until the next flow_handle_event or flow_free.
 */
#ifndef FLOW_FLOW_H
#define FLOW_FLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "base/errkind.h"
#include "base/str.h"
#include "model/control_request.h"
#include "model/snapshot.h"

/** A caller's request as received; the flow core does all checks. */
struct flow_request {
    uint64_t req;          /**< unique per flow core, chosen by the edge */
    struct str request_id; /**< for logs, traces and endpoint headers */
    struct str pipeline;
    struct str token;    /**< bearer token; empty if missing */
    struct str key;      /**< Idempotency-Key; empty if missing */
    struct str deadline; /**< X-Deadline-Ms as text; empty if missing */
    struct str body;
    bool stream;
};

#define CALL_FAULT_LIST(X)                                                    \
    X(REFUSED, "refused") /* no connection was made */                        \
    X(RESET, "reset")     /* connection lost before the end of the answer */  \
    X(TRUNCATED, "truncated") /* answer ended without its end marker */       \
    X(CROSSED, "crossed")     /* answer belongs to another attempt */         \
    X(TIMEOUT, "timeout")     /* the call's deadline passed */

enum call_fault {
#define X(id, name) CALL_##id,
    CALL_FAULT_LIST(X)
#undef X
};

/** What the headers of an endpoint's answer report. */
struct endpoint_report {
    struct str start_id; /**< X-Start-Id header, may be empty */
    bool has_load;       /**< the next three fields are set */
    int in_flight;
    int queued;
    bool cold;
    bool leaving; /**< X-Leaving header was set */
};

enum flow_event_kind {
    FLOW_EV_TICK,
    FLOW_EV_SNAPSHOT,  /**< the core takes a reference */
    FLOW_EV_FRESHNESS, /**< new work may be sent until fresh_until_us */
    FLOW_EV_REQUEST,
    FLOW_EV_CALLER_GONE,
    FLOW_EV_CALL_BYTES, /**< bytes of an answer arrived; ends a silence */
    FLOW_EV_CALL_TOKEN, /**< one token of a streamed answer */
    FLOW_EV_CALL_DONE,  /**< complete answer */
    FLOW_EV_CALL_FAILED,
    FLOW_EV_PROBE,         /**< result of FLOW_ACT_PROBE */
    FLOW_EV_CONTROL_REPLY, /**< reply of the control core */
    FLOW_EV_DRAIN,         /**< refuse new requests, finish the open ones */
};

struct flow_event {
    enum flow_event_kind kind;
    union {
        struct snapshot *snapshot;
        int64_t fresh_until_us;
        struct flow_request request;
        uint64_t caller_gone; /**< req */
        uint64_t call_bytes;  /**< attempt */
        struct {
            uint64_t attempt;
            int index; /**< position in the complete answer, from 0 */
            struct str text;
        } call_token;
        struct {
            uint64_t attempt;
            int http_status;
            struct str body; /**< empty for a stream, whose text arrives by
                                  call_token */
            struct endpoint_report report;
        } call_done;
        struct {
            uint64_t attempt;
            enum call_fault fault;
            bool unsent; /**< it is certain that no byte was sent */
        } call_failed;
        struct {
            struct str endpoint;
            bool ok;
            struct endpoint_report report;
        } probe;
        struct reply reply;
    };
};

enum flow_action_kind {
    FLOW_ACT_CALL,
    FLOW_ACT_CANCEL,          /**< end an attempt and close its connection */
    FLOW_ACT_PROBE,           /**< GET /health on a new connection */
    FLOW_ACT_TOKEN,           /**< send one token to the caller */
    FLOW_ACT_ANSWER,          /**< send the complete answer to the caller */
    FLOW_ACT_REFUSE,          /**< send an error to the caller */
    FLOW_ACT_CONTROL_MESSAGE, /**< send a message to the control core */
    FLOW_ACT_SPAN,            /**< a finished span of a trace */
};

/** One finished part of a request. Times are now_us of the steps. */
struct flow_span {
    uint64_t req;
    const char *name; /**< static, such as "queue" or "call" */
    int stage;        /**< -1: none */
    uint64_t attempt; /**< 0: none */
    struct str endpoint;
    int64_t start_us;
    int64_t end_us;
    const char *outcome; /**< static */
};

struct flow_action {
    enum flow_action_kind kind;
    union {
        struct {
            uint64_t req;
            uint64_t attempt; /**< unique per node incarnation */
            int stage;
            struct str request_id;
            struct str stage_name;
            struct str endpoint;
            struct str url; /**< complete URL */
            struct str body;
            int64_t deadline_us; /**< absolute, in the clock of now_us */
            bool stream;
            bool fresh_connection;
            bool check_deadline_at_send; /**< non-repeatable: if the deadline
                                   has passed when the first byte would be
                                   sent, drop the call and report CALL_FAILED
                                   with unsent set */
        } call;
        uint64_t cancel; /**< attempt */
        struct {
            struct str endpoint;
            struct str url;
        } probe;
        struct {
            uint64_t req;
            int index;
            struct str text;
        } token;
        struct {
            uint64_t req;
            struct str body; /**< complete answer as JSON */
        } answer;
        struct {
            uint64_t req;
            enum errkind error;
            struct str message;
            int64_t retry_after_ms; /**< 0: none */
        } refuse;
        struct control_request ask;
        struct flow_span span;
    };
};

/** Routing and queue policy. The last two are simple baselines to compare
 * measurements with: they use no credits, hedges or estimates. */
enum flow_policy {
    FLOW_POLICY_FULL,
    FLOW_POLICY_ROUND_ROBIN,
    FLOW_POLICY_LEAST_IN_FLIGHT,
};

struct flow_options {
    uint64_t node;
    uint64_t incarnation;
    int thread; /**< 0..255, in the high byte of attempts and credits */
    uint64_t seed;
    enum flow_policy policy;
};

struct flow;

struct flow *flow_new(const struct flow_options *opts);
void flow_free(struct flow *f);

/** Handles one event and all timers that are due. Events for unknown requests
 * or attempts are ignored. */
void flow_handle_event(struct flow *f, int64_t now_us,
                       const struct flow_event *ev);

/** Removes the next action of the last step. @return false if there is none */
bool flow_next_action(struct flow *f, struct flow_action *out);

/** Returns when the core next needs an event, at least FLOW_EV_TICK;
 * INT64_MAX if never. */
int64_t flow_next_wakeup_us(const struct flow *f);

/** Number of requests that have not ended. */
int flow_open_requests(const struct flow *f);

/** Appends the metrics of the flow core as Prometheus text with a thread
 * label. */
void flow_write_metrics(const struct flow *f, struct buf *out);

#endif
