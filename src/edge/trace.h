/**
 * @file trace.h
 * Traces of recent requests of one traffic thread in a ring of fixed size:
 * one span per hop, by request id. Holds no bodies and no credentials.
 */
#ifndef EDGE_TRACE_H
#define EDGE_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/str.h"
#include "flow/flow.h"

/** Later spans of one request are only counted. */
#define TRACE_MAX_SPANS 32

struct trace_ring;

/** A trace in the ring; void once the ring has wrapped. */
struct trace_ref {
    uint64_t number; /**< 0: none */
};

struct trace_start {
    struct str request_id;  /**< 32 hex digits */
    struct str traceparent; /**< W3C header of the caller, may be empty */
    struct str team;
    struct str pipeline;
    int64_t start_us; /**< monotonic */
    int64_t wall_ms;  /**< the same instant since 1970 */
};

/** @p capacity traces are kept; about 3 KB each. */
struct trace_ring *trace_new(int capacity);
void trace_free(struct trace_ring *r);

/** A malformed traceparent is ignored: the request id is the trace id. */
struct trace_ref trace_begin(struct trace_ring *r,
                             const struct trace_start *start);
void trace_span(struct trace_ring *r, struct trace_ref ref,
                const struct flow_span *span);
/** @p outcome is a static string. */
void trace_end(struct trace_ring *r, struct trace_ref ref, int64_t now_us,
               const char *outcome);

/** Length of a traceparent header with its NUL. */
#define TRACE_PARENT_BYTES 56

/** The traceparent to pass on with a call; empty if the trace is gone. */
void trace_parent(const struct trace_ring *r, struct trace_ref ref,
                  uint64_t attempt, char out[TRACE_PARENT_BYTES]);

/**
 * Appends a trace as JSON.
 * @param team the asking team; ignored for operators
 * @return ST_NOT_FOUND also for another team's trace
 */
enum status trace_json(const struct trace_ring *r, struct str request_id,
                       struct str team, bool is_operator, struct buf *out);

#endif
