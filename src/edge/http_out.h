/**
 * @file http_out.h
 * Calls to endpoints over one curl multi handle: whole and streamed answers,
 * cancellation and probes. Results are handed out as flow events.
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
    /** Receives CALL_BYTES, CALL_TOKEN, CALL_DONE, CALL_FAILED and PROBE,
     * never from inside http_out_start, http_out_cancel or http_out_probe.
     * Calls may be started and cancelled inside. */
    void (*event)(void *ctx, const struct flow_event *ev);
    int64_t connect_timeout_ms; /**< 0: 1000 */
    int64_t probe_timeout_ms;   /**< 0: 1000 */
    size_t max_answer_bytes;    /**< 0: 16 MiB */
};

struct http_out;

struct http_out *http_out_new(struct loop *l,
                              const struct http_out_options *opts);
void http_out_free(struct http_out *o);

/** Starts a FLOW_ACT_CALL. @p traceparent may be empty. */
void http_out_start(struct http_out *o, const struct flow_action *call,
                    struct str traceparent);

/** Abandons a call without an event; its connection is closed. */
void http_out_cancel(struct http_out *o, uint64_t attempt);

/** Starts a FLOW_ACT_PROBE on a connection of its own. */
void http_out_probe(struct http_out *o, struct str endpoint, struct str url);

/** Runs time-outs and hands out events; call once per turn of the loop. */
void http_out_run(struct http_out *o, int64_t now_us);
int64_t http_out_wakeup(const struct http_out *o);

/** Calls and probes not yet finished. */
int http_out_open(const struct http_out *o);

void http_out_metrics(const struct http_out *o, int thread, struct buf *out);

#endif
