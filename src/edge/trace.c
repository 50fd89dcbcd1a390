#include "edge/trace.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define NAME_BYTES 40

struct span {
    const char *name;
    const char *outcome;
    int stage;
    uint64_t attempt;
    char endpoint[NAME_BYTES];
    int64_t start_us;
    int64_t end_us;
};

struct trace {
    uint64_t number; /* sequence number; 0: slot is unused */
    char request_id[33];
    char trace_id[33];
    char parent_id[17]; /* span id of the caller; empty if none */
    char flags[3];
    char team[NAME_BYTES];
    char pipeline[NAME_BYTES];
    int64_t start_us;
    int64_t end_us; /* 0: the request is still running */
    int64_t wall_ms;
    const char *outcome;
    int span_count;
    int dropped_spans;
    struct span spans[TRACE_MAX_SPANS];
};

struct trace_ring {
    int capacity;
    uint64_t last_number;
    struct trace traces[];
};

struct trace_ring *
trace_ring_new(int capacity)
{
    struct trace_ring *r =
        mem_calloc(1, sizeof(*r) + (size_t)capacity * sizeof(struct trace));
    r->capacity = capacity;
    return r;
}

void
trace_ring_free(struct trace_ring *r)
{
    free(r);
}

static struct trace *
slot(const struct trace_ring *r, uint64_t number)
{
    return (struct trace *)&r->traces[number % (uint64_t)r->capacity];
}

static struct trace *
find(const struct trace_ring *r, struct trace_ref ref)
{
    struct trace *t = slot(r, ref.number);
    return ref.number && t->number == ref.number ? t : NULL;
}

/* Copies a string and truncates it to size - 1 bytes. */
static void
copy(char *to, size_t size, struct str s)
{
    size_t n = s.len < size - 1 ? s.len : size - 1;
    memcpy(to, s.ptr ? s.ptr : "", n);
    to[n] = 0;
}

static bool
is_nonzero_hex(const char *p, size_t n)
{
    bool zero = true;
    for (size_t i = 0; i < n; i++) {
        if (!((p[i] >= '0' && p[i] <= '9') || (p[i] >= 'a' && p[i] <= 'f'))) {
            return false;
        }
        zero = zero && p[i] == '0';
    }
    return !zero;
}

/* Parses VERSION-TRACE_ID-PARENT_ID-FLAGS. Versions after 00 may append
 * fields. */
static bool
parse_traceparent(struct trace *t, struct str v)
{
    const char *p = v.ptr;
    if (v.len < 55 || p[2] != '-' || p[35] != '-' || p[52] != '-' ||
        (v.len > 55 && (str_starts_with(v, STR_LIT("00")) || p[55] != '-')) ||
        str_starts_with(v, STR_LIT("ff")) || !is_nonzero_hex(p + 3, 32) ||
        !is_nonzero_hex(p + 36, 16)) {
        return false;
    }
    copy(t->trace_id, sizeof(t->trace_id), str_from_bytes(p + 3, 32));
    copy(t->parent_id, sizeof(t->parent_id), str_from_bytes(p + 36, 16));
    copy(t->flags, sizeof(t->flags),
         is_nonzero_hex(p + 53, 2) ? str_from_bytes(p + 53, 2)
                                   : STR_LIT("00"));
    return true;
}

struct trace_ref
trace_begin(struct trace_ring *r, const struct trace_start *s)
{
    struct trace *t = slot(r, ++r->last_number);
    t->number = r->last_number;
    t->start_us = s->start_us;
    t->end_us = 0;
    t->wall_ms = s->wall_ms;
    t->outcome = NULL;
    t->span_count = 0;
    t->dropped_spans = 0;
    copy(t->request_id, sizeof(t->request_id), s->request_id);
    copy(t->team, sizeof(t->team), s->team);
    copy(t->pipeline, sizeof(t->pipeline), s->pipeline);
    if (!parse_traceparent(t, s->traceparent)) {
        copy(t->trace_id, sizeof(t->trace_id), s->request_id);
        t->parent_id[0] = 0;
        copy(t->flags, sizeof(t->flags), STR_LIT("00"));
    }
    return (struct trace_ref){r->last_number};
}

void
trace_add_span(struct trace_ring *r, struct trace_ref ref,
               const struct flow_span *s)
{
    struct trace *t = find(r, ref);
    if (!t) {
        return;
    }
    if (t->span_count == TRACE_MAX_SPANS) {
        t->dropped_spans++;
        return;
    }
    struct span *p = &t->spans[t->span_count++];
    p->name = s->name;
    p->outcome = s->outcome;
    p->stage = s->stage;
    p->attempt = s->attempt;
    p->start_us = s->start_us;
    p->end_us = s->end_us;
    copy(p->endpoint, sizeof(p->endpoint), s->endpoint);
}

void
trace_end(struct trace_ring *r, struct trace_ref ref, int64_t now_us,
          const char *outcome)
{
    struct trace *t = find(r, ref);
    if (t) {
        t->end_us = now_us;
        t->outcome = outcome;
    }
}

/* Span ids are derived from the request id and the attempt number, so that
 * the span of a call has the id that was sent to the endpoint. */
static uint64_t
span_id(const struct trace *t, uint64_t n)
{
    struct str parts[] = {str_from_bytes(t->request_id, 32),
                          str_from_bytes((const char *)&n, sizeof(n))};
    uint64_t id = digest_compute(parts, 2).lo;
    return id ? id : 1;
}

void
trace_format_traceparent(const struct trace_ring *r, struct trace_ref ref,
                         uint64_t attempt, char out[TRACEPARENT_BYTES])
{
    const struct trace *t = find(r, ref);
    out[0] = 0;
    if (t && strlen(t->trace_id) == 32) {
        snprintf(out, TRACEPARENT_BYTES, "00-%s-%016" PRIx64 "-%s",
                 t->trace_id, span_id(t, attempt), t->flags);
    }
}

static json_t *
span_json(const struct trace *t, const struct span *s, int i)
{
    char id[17];
    char root[17];
    snprintf(
        id, sizeof(id), "%016" PRIx64,
        span_id(t, s->attempt ? s->attempt : UINT64_MAX - (uint64_t)i - 1));
    snprintf(root, sizeof(root), "%016" PRIx64, span_id(t, 0));
    json_t *j = json_pack("{s:s,s:s,s:s,s:I,s:I,s:s}", "span_id", id,
                          "parent_id", root, "name", s->name ? s->name : "",
                          "start_us", (json_int_t)(s->start_us - t->start_us),
                          "duration_us", (json_int_t)(s->end_us - s->start_us),
                          "outcome", s->outcome ? s->outcome : "");
    if (s->stage >= 0) {
        json_object_set_new(j, "stage", json_integer(s->stage));
    }
    if (s->attempt) {
        char attempt[24];
        snprintf(attempt, sizeof(attempt), "%" PRIu64, s->attempt);
        json_object_set_new(j, "attempt", json_string(attempt));
    }
    if (s->endpoint[0]) {
        json_object_set_new(j, "endpoint", json_string(s->endpoint));
    }
    return j;
}

static const struct trace *
find_by_request_id(const struct trace_ring *r, struct str id)
{
    for (int i = 0; i < r->capacity; i++) {
        const struct trace *t = &r->traces[i];
        if (t->number && str_eq_cstr(id, t->request_id)) {
            return t;
        }
    }
    return NULL;
}

enum status
trace_append_json(const struct trace_ring *r, struct str request_id,
                  struct str team, bool is_operator, struct buf *out)
{
    const struct trace *t = find_by_request_id(r, request_id);
    if (!t ||
        (!is_operator && (team.len == 0 || !str_eq_cstr(team, t->team)))) {
        return err_set(ST_NOT_FOUND, "no such trace");
    }
    char root[17];
    snprintf(root, sizeof(root), "%016" PRIx64, span_id(t, 0));
    json_t *spans = json_array();
    for (int i = 0; i < t->span_count; i++) {
        json_array_append_new(spans, span_json(t, &t->spans[i], i));
    }
    json_t *j = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:s,s:i,s:o}", "request_id",
        t->request_id, "trace_id", t->trace_id, "span_id", root, "team",
        t->team, "pipeline", t->pipeline, "start_ms", (json_int_t)t->wall_ms,
        "duration_us", (json_int_t)(t->end_us ? t->end_us - t->start_us : -1),
        "outcome", t->outcome ? t->outcome : "running", "dropped_spans",
        t->dropped_spans, "spans", spans);
    if (!j) {
        return err_set(ST_INTERNAL, "trace is not valid text");
    }
    if (t->parent_id[0]) {
        json_object_set_new(j, "parent_id", json_string(t->parent_id));
    }
    char *text = json_dumps(j, JSON_COMPACT);
    buf_append_str(out, str_from_cstr(text));
    free(text);
    json_decref(j);
    return ST_OK;
}
