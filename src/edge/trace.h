/**
 * @file trace.h
 * Ring buffer of fixed size with the traces of the most recent requests of one
 * traffic thread. A trace is found by its request id and has one span per hop.
 * Traces contain no bodies and no credentials.
 */
#ifndef EDGE_TRACE_H
#define EDGE_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/str.h"
#include "flow/flow.h"

/** Spans beyond this number are counted in "dropped_spans" but not kept. */
#define TRACE_MAX_SPANS 32

struct trace_ring;

/** Reference to a trace in the ring; functions ignore the reference once the
 * trace has been overwritten. */
struct trace_ref {
    uint64_t number; /**< sequence number of the trace; 0: none */
};

struct trace_start {
    struct str request_id;  /**< 32 hex digits */
    struct str traceparent; /**< W3C traceparent header of the caller, may be
                               empty */
    struct str team;
    struct str pipeline;
    int64_t start_us; /**< monotonic */
    int64_t wall_ms;  /**< same instant in milliseconds since 1970 */
};

/** Creates a ring of @p capacity traces of about 3 KB each. */
struct trace_ring *trace_ring_new(int capacity);
void trace_ring_free(struct trace_ring *r);

/** Starts a trace. A malformed traceparent is ignored; the request id is then
 * used as the trace id. */
struct trace_ref trace_begin(struct trace_ring *r,
                             const struct trace_start *start);
void trace_add_span(struct trace_ring *r, struct trace_ref ref,
                    const struct flow_span *span);
/** @param outcome static string; not copied */
void trace_end(struct trace_ring *r, struct trace_ref ref, int64_t now_us,
               const char *outcome);

/** Size of a traceparent header value with its terminating NUL. */
#define TRACEPARENT_BYTES 56

/** Writes the traceparent value to send with a call attempt; an empty string
 * if the trace has been overwritten. */
void trace_format_traceparent(const struct trace_ring *r, struct trace_ref ref,
                              uint64_t attempt, char out[TRACEPARENT_BYTES]);

/**
 * Appends a trace as JSON.
 * @param team team that requests the trace; ignored for operators
 * @return ST_NOT_FOUND if there is no such trace or if it belongs to another
 * team
 */
enum status trace_append_json(const struct trace_ring *r,
                              struct str request_id, struct str team,
                              bool is_operator, struct buf *out);

#endif
