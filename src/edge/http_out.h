/**
 * @file http_out.h
 * HTTP client for calls to endpoints over one curl multi handle: whole and
 * streamed responses, cancellation and health probes. Results are reported as
 * flow events.
 */
#ifndef EDGE_HTTP_OUT_H
#define EDGE_HTTP_OUT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/str.h"
#include "edge/loop.h"
#include "flow/flow.h"

struct http_out_options {
    void *ctx;
    /** Receives CALL_BYTES, CALL_TOKEN, CALL_DONE, CALL_FAILED and PROBE
     * events; never called inside http_out_start_call, http_out_cancel_call or
     * http_out_start_probe. The callback may start and cancel calls. */
    void (*event)(void *ctx, const struct flow_event *ev);
    int64_t connect_timeout_ms; /**< 0: 1000 */
    int64_t probe_timeout_ms;   /**< 0: 1000 */
    size_t max_response_bytes;  /**< 0: 16 MiB */
    /** Limit of all responses that are not yet whole; 0: none. When it is
     * exceeded, those longer than 32 KiB fail. */
    size_t max_buffered_bytes;
    int max_idle_connections; /**< 0: 4096 */
};

struct http_out;

struct http_out *http_out_new(struct loop *l,
                              const struct http_out_options *opts);
void http_out_free(struct http_out *o);

/** Starts a FLOW_ACT_CALL. @p traceparent may be empty. */
void http_out_start_call(struct http_out *o, const struct flow_action *call,
                         struct str traceparent);

/** Cancels a call without an event and closes its connection. */
void http_out_cancel_call(struct http_out *o, uint64_t attempt);

/** Starts a FLOW_ACT_PROBE on a new connection that is not reused. */
void http_out_start_probe(struct http_out *o, struct str endpoint,
                          struct str url);

/** Processes time-outs and reports events; must be called once per loop
 * iteration. */
void http_out_process_events(struct http_out *o, int64_t now_us);
/** @return monotonic time at which http_out_process_events must be called at
 * the latest; INT64_MAX if no time-out is pending */
int64_t http_out_next_wakeup_us(const struct http_out *o);

/** @return number of calls and probes that have not finished */
int http_out_open_calls(const struct http_out *o);

void http_out_append_metrics(const struct http_out *o, int thread,
                             struct buf *out);

#endif
