/**
 * @file sse.h
 * Incremental parser for the server-sent events of streamed completions. It
 * splits the byte stream into `data` payloads and parses one token from a
 * payload.
 */
#ifndef EDGE_SSE_H
#define EDGE_SSE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/str.h"

struct sse {
    struct buf line; /**< unfinished line */
    struct buf data; /**< payload of the unfinished event */
    bool has_data;
    bool skip_lf; /**< the last byte was CR; an LF right after it is
                       skipped */
};

/** Longest accepted event in bytes. */
#define SSE_MAX_EVENT_BYTES (1 << 20)
#define SSE_MAX_TOKEN_INDEX 1000000000

/** Called with the payload of each event. Returning false stops parsing. */
typedef bool sse_event_fn(void *ctx, struct str data);

/** Parses the next bytes of the stream.
 * @return false if an event is longer than SSE_MAX_EVENT_BYTES or @p fn
 * returned false */
bool sse_parse(struct sse *s, const char *p, size_t len, sse_event_fn *fn,
               void *ctx);
/** Frees the buffers and resets the parser. */
void sse_free(struct sse *s);

/** A completion chunk, as {"choices":[{"text":T}],"token_index":I}. */
struct sse_token {
    struct str text; /**< owned */
    int index;       /**< position in the whole response; -1: not given */
    bool has_text;
};

/** Parses a payload.
 * @return false if the payload is not a completion chunk, or its index is not
 * in [0, SSE_MAX_TOKEN_INDEX] */
bool sse_token(struct str data, struct sse_token *out);

#endif
