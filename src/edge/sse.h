/**
 * @file sse.h
 * Server-sent events of streamed completions: splits the byte stream into
 * `data` payloads and reads one token from a payload.
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
    bool skip_lf; /**< the last byte was CR */
};

/** Longest accepted event in bytes. */
#define SSE_MAX_EVENT (1 << 20)

/** Called with one event's payload; false stops the feed. */
typedef bool sse_fn(void *ctx, struct str data);

/** @return false if an event is too long or @p fn stopped the feed */
bool sse_feed(struct sse *s, const char *p, size_t len, sse_fn *fn, void *ctx);
/** Forgets all state and frees its memory. */
void sse_free(struct sse *s);

/** A completion chunk, as {"choices":[{"text":T}],"token_index":I}. */
struct sse_token {
    struct str text; /**< owned */
    int index;       /**< position in the whole answer; -1: not given */
    bool has_text;
};

/** @return false if the payload is no completion chunk */
bool sse_token(struct str data, struct sse_token *out);

#endif
