#include <jansson.h>
#include <string.h>
#include <strings.h>

#include "base/number.h"
#include "edge/http_out_state.h"
#include "edge/status_line.h"

/* Reported numbers of requests above this one count as it. */
#define MAX_LOAD 1000000
/* Responses up to this size are buffered also when the share is exhausted:
 * those of working endpoints have a few kilobytes. */
#define SMALL_RESPONSE_BYTES (32u << 10)

static void
mark_active(struct call *c)
{
    if (!c->in_active_list) {
        c->in_active_list = true;
        c->next_active = c->out->active;
        c->out->active = c;
    }
}

static bool
on_sse_event(void *ctx, struct str data)
{
    struct call *c = ctx;
    if (c->done_received) {
        return true;
    }
    if (str_eq(data, STR_LIT("[DONE]"))) {
        c->done_received = true;
        return true;
    }
    struct sse_token t;
    if (!sse_token(data, &t)) {
        c->invalid_event = true;
        return false;
    }
    if (t.has_text) {
        int index = t.index >= 0 ? t.index : c->next_index;
        struct token token = {index, t.text};
        c->next_index = index + 1;
        g_array_append_val(c->tokens, token);
    }
    return true;
}

size_t
http_out_on_body(char *p, size_t size, size_t n, void *ctx)
{
    struct call *c = ctx;
    size_t len = size * n;
    c->bytes_received = true;
    mark_active(c);
    if (c->stream && c->status == 200 && c->event_stream) {
        return sse_parse(&c->sse, p, len, on_sse_event, c) ? len : 0;
    }
    if (c->response_body.len + len > c->out->opts.max_response_bytes) {
        c->too_large = true;
        return 0;
    }
    size_t limit = c->out->opts.max_buffered_bytes;
    if (limit > 0 && c->out->buffered_bytes + len > limit &&
        c->response_body.len + len > SMALL_RESPONSE_BYTES &&
        c->out->buffered_bytes > c->response_body.len) {
        c->too_large = true;
        return 0;
    }
    buf_append(&c->response_body, p, len);
    c->out->buffered_bytes += len;
    return len;
}

static bool
match_header(struct str line, struct str name, struct str *value)
{
    if (line.len <= name.len || line.ptr[name.len] != ':' ||
        strncasecmp(line.ptr, name.ptr, name.len) != 0) {
        return false;
    }
    *value = str_trim(
        str_from_bytes(line.ptr + name.len + 1, line.len - name.len - 1));
    return true;
}

static int
read_load(const json_t *metrics, const char *key)
{
    return (int)number_clamp(json_integer_value(json_object_get(metrics, key)),
                             0, MAX_LOAD);
}

static void
parse_load_metrics(struct call *c, struct str v)
{
    json_t *j = json_loadb(v.ptr, v.len, 0, NULL);
    if (json_is_object(j)) {
        c->report.has_load = true;
        c->report.in_flight = read_load(j, "in_flight");
        c->report.queued = read_load(j, "queue");
        c->report.cold = json_is_true(json_object_get(j, "cold"));
    }
    json_decref(j);
}

size_t
http_out_on_header(char *p, size_t size, size_t n, void *ctx)
{
    struct call *c = ctx;
    struct str line = str_from_bytes(p, size * n);
    struct str v;
    c->bytes_received = true;
    mark_active(c);
    if (str_starts_with(line, STR_LIT("HTTP/"))) {
        c->status = status_line_parse(line);
        c->attempt_matches = false;
        if (c->status < 0) {
            return 0; /* makes libcurl end the call */
        }
    }
    else if (match_header(line, STR_LIT("X-Attempt"), &v)) {
        c->attempt_matches =
            c->attempt_header.len && str_eq(v, c->attempt_header);
    }
    else if (match_header(line, STR_LIT("X-Start-Id"), &v)) {
        str_free(&c->start_id);
        c->start_id = str_dup(v);
    }
    else if (match_header(line, STR_LIT("Endpoint-Load-Metrics"), &v)) {
        parse_load_metrics(c, v);
    }
    else if (match_header(line, STR_LIT("X-Leaving"), &v)) {
        c->report.leaving = !str_eq_cstr(v, "0") && !str_eq_cstr(v, "false");
    }
    else if (match_header(line, STR_LIT("Content-Type"), &v)) {
        c->event_stream = str_starts_with(v, STR_LIT("text/event-stream"));
    }
    else if (match_header(line, STR_LIT("Content-Length"), &v) ||
             match_header(line, STR_LIT("Transfer-Encoding"), &v)) {
        c->has_framing = true;
    }
    else if (str_trim(str_from_bytes(p, line.len)).len == 0 &&
             c->status >= 200) {
        c->headers_done = true;
        if (c->attempt && !c->attempt_matches) {
            c->attempt_mismatch = true;
            return 0;
        }
    }
    return line.len;
}

static void
set_failed(struct flow_event *ev, enum call_fault fault, bool unsent)
{
    uint64_t attempt = ev->call_done.attempt;
    ev->kind = FLOW_EV_CALL_FAILED;
    ev->call_failed.attempt = attempt;
    ev->call_failed.fault = fault;
    ev->call_failed.unsent = unsent;
}

void
http_out_set_result(const struct call *c, CURLcode rc, struct flow_event *ev)
{
    bool unsent = c->send_count == 0;
    if (c->attempt_mismatch) {
        set_failed(ev, CALL_CROSSED, false);
    }
    else if (c->deadline_passed || (rc == CURLE_OPERATION_TIMEDOUT &&
                                    loop_now_us() >= c->deadline_us - 2000)) {
        set_failed(ev, CALL_TIMEOUT, unsent);
    }
    else if (unsent) {
        set_failed(ev, CALL_REFUSED, true);
    }
    else if (c->invalid_event || c->too_large || rc == CURLE_PARTIAL_FILE ||
             rc == CURLE_WRITE_ERROR) {
        set_failed(ev, CALL_TRUNCATED, false);
    }
    else if (rc != CURLE_OK || !c->headers_done) {
        set_failed(ev, c->headers_done ? CALL_TRUNCATED : CALL_RESET, false);
    }
    else if (c->stream && c->status == 200 &&
             (!c->event_stream || !c->done_received)) {
        set_failed(ev, CALL_TRUNCATED, false);
    }
    else if (!(c->stream && c->status == 200) && !c->has_framing &&
             c->status != 204) {
        /* A response without a length ends with its connection, so a complete
         * one cannot be distinguished from a truncated one. */
        set_failed(ev, CALL_TRUNCATED, false);
    }
    else {
        ev->call_done.http_status = c->status;
        ev->call_done.body = buf_str(&c->response_body);
        ev->call_done.report = c->report;
        ev->call_done.report.start_id = c->start_id;
    }
}
