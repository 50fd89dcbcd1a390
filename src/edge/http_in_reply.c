#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "base/log.h"
#include "edge/http_in_state.h"

/* A caller that does not read its stream is disconnected when more bytes than
 * this are buffered. */
#define MAX_STREAM_BACKLOG_BYTES (8 << 20)
/* Bytes already sent are removed from the front of the buffer when there are
 * more of them than this. */
#define MAX_SENT_BYTES_IN_BUFFER (64 << 10)

static void
set_response(struct exchange *x, int status, const char *content_type,
             struct str body, int64_t retry_after_ms)
{
    x->response = MHD_create_response_from_buffer(body.len, (void *)body.ptr,
                                                  MHD_RESPMEM_MUST_COPY);
    x->status = status;
    MHD_add_response_header(x->response, "Content-Type", content_type);
    if (!x->conn->in->opts.raw) {
        MHD_add_response_header(x->response, "X-Request-Id", x->request_id);
    }
    if (retry_after_ms > 0) {
        char text[24];
        if (x->conn->in->opts.raw) {
            snprintf(text, sizeof(text), "%.3f", (double)retry_after_ms / 1e3);
        }
        else {
            snprintf(text, sizeof(text), "%" PRId64,
                     (retry_after_ms + 999) / 1000);
        }
        MHD_add_response_header(x->response, "Retry-After", text);
    }
    if (x->conn->in->draining) {
        MHD_add_response_header(x->response, "Connection", "close");
    }
    x->answered = true;
    http_in_charge_unread(x, body.len);
    http_in_set_state(x->conn, CONN_SENDING);
}

void
http_in_append_error(struct buf *out, enum errkind kind, struct str message,
                     struct str request_id)
{
    const struct errkind_info *e = errkind_info(kind);
    if (message.len == 0) {
        message = str_from_cstr(e->message);
    }
    json_t *j = json_pack("{s:{s:s,s:s,s:b,s:s%,s:s%}}", "error", "kind",
                          e->name, "ran", ran_name(e->ran), "retry", e->retry,
                          "message", message.ptr, message.len, "request_id",
                          request_id.ptr, request_id.len);
    if (!j) { /* the message is not UTF-8 */
        j = json_pack("{s:{s:s,s:s,s:b,s:s,s:s%}}", "error", "kind", e->name,
                      "ran", ran_name(e->ran), "retry", e->retry, "message",
                      e->message, "request_id", request_id.ptr,
                      request_id.len);
    }
    char *text = json_dumps(j, JSON_COMPACT);
    buf_append_str(out, str_from_cstr(text));
    free(text);
    json_decref(j);
}

void
http_in_set_error_response(struct exchange *x, enum errkind kind,
                           struct str message, int64_t retry_after_ms)
{
    struct buf text = {0};
    http_in_append_error(&text, kind, message,
                         str_from_bytes(x->request_id, 32));
    if (retry_after_ms <= 0 && errkind_info(kind)->http_status == 503) {
        retry_after_ms = 1000;
    }
    set_response(x, errkind_info(kind)->http_status, "application/json",
                 buf_str(&text), retry_after_ms);
    x->conn->in->count.refusals++;
    buf_free(&text);
}

static ssize_t
stream_read(void *cls, uint64_t pos, char *out, size_t max)
{
    struct exchange *x = cls;
    (void)pos;
    if (x->disconnected) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (x->answered) {
        http_in_free_body(x);
    }
    size_t n = x->out.len - x->out_offset;
    if (n == 0) {
        if (x->aborted) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        if (x->ended) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        x->suspended = true;
        MHD_suspend_connection(x->conn->mhd);
        return 0;
    }
    n = n < max ? n : max;
    memcpy(out, x->out.ptr + x->out_offset, n);
    x->out_offset += n;
    x->bytes_read += n;
    if (x->out_offset == x->out.len) {
        /* Large buffers would be kept by each stream that had a burst. */
        if (x->out.cap > MAX_SENT_BYTES_IN_BUFFER) {
            buf_free(&x->out);
        }
        buf_clear(&x->out);
        x->out_offset = 0;
    }
    else if (x->out_offset > MAX_SENT_BYTES_IN_BUFFER) {
        x->out.len -= x->out_offset;
        memmove(x->out.ptr, x->out.ptr + x->out_offset, x->out.len);
        x->out_offset = 0;
    }
    http_in_charge_unread(x, x->out.len > 0 ? x->out.cap : 0);
    return (ssize_t)n;
}

static void
begin_stream(struct exchange *x)
{
    x->response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 4096,
                                                    stream_read, x, NULL);
    x->status = 200;
    x->streaming = true;
    MHD_add_response_header(x->response, "Content-Type", "text/event-stream");
    MHD_add_response_header(x->response, "Cache-Control", "no-store");
    MHD_add_response_header(x->response, "X-Request-Id", x->request_id);
    if (x->conn->in->draining) {
        MHD_add_response_header(x->response, "Connection", "close");
    }
}

void
http_in_begin_response(struct http_in *in, uint64_t id, int status,
                       const struct http_header *headers, int count,
                       int64_t length)
{
    struct exchange *x = http_in_find_open(in, id);
    if (!x || x->streaming) {
        return;
    }
    x->response = MHD_create_response_from_callback(
        length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)length, 4096, stream_read, x,
        NULL);
    x->status = status;
    x->streaming = true;
    for (int i = 0; i < count; i++) {
        CLEANUP_FREE char *name = (char *)str_dup(headers[i].name).ptr;
        CLEANUP_FREE char *value = (char *)str_dup(headers[i].value).ptr;
        if (MHD_add_response_header(x->response, name, value) != MHD_YES) {
            LOG_EVENT(LOG_WARN, "answer_header_dropped",
                      LOG_STR("name", headers[i].name));
        }
    }
    if (in->draining) {
        MHD_add_response_header(x->response, "Connection", "close");
    }
    http_in_resume(x);
}

size_t
http_in_write_body(struct http_in *in, uint64_t id, struct str bytes)
{
    struct exchange *x = http_in_find_open(in, id);
    if (!x || !x->streaming) {
        return 0;
    }
    buf_append_str(&x->out, bytes);
    http_in_charge_unread(x, x->out.cap);
    http_in_resume(x);
    return x->out.len - x->out_offset;
}

void
http_in_abort(struct http_in *in, uint64_t id)
{
    struct exchange *x = http_in_find_open(in, id);
    if (x) {
        x->aborted = true;
        x->answered = true;
        http_in_set_state(x->conn, CONN_SENDING);
        http_in_resume(x);
    }
}

static void
push_event(struct exchange *x, const char *event, struct str data)
{
    if (!x->streaming) {
        begin_stream(x);
    }
    if (x->out.len - x->out_offset > MAX_STREAM_BACKLOG_BYTES) {
        http_in_handle_disconnect(x);
        return;
    }
    buf_append_str(&x->out, STR_LIT("event: "));
    buf_append_str(&x->out, str_from_cstr(event));
    buf_append_str(&x->out, STR_LIT("\ndata: "));
    buf_append_str(&x->out, data);
    buf_append_str(&x->out, STR_LIT("\n\n"));
    http_in_charge_unread(x, x->out.cap);
    http_in_resume(x);
}

void
http_in_send_response(struct http_in *in, uint64_t id, int status,
                      const char *content_type, struct str body)
{
    struct exchange *x = http_in_find_open(in, id);
    if (x && !x->streaming) {
        set_response(x, status, content_type, body, 0);
        http_in_resume(x);
    }
}

static void
end_stream(struct exchange *x)
{
    x->ended = true;
    x->answered = true;
    http_in_set_state(x->conn, CONN_SENDING);
    http_in_resume(x);
}

void
http_in_send_error(struct http_in *in, uint64_t id, enum errkind kind,
                   struct str message, int64_t retry_after_ms)
{
    struct exchange *x = http_in_find_open(in, id);
    if (!x) {
        return;
    }
    if (!x->streaming) {
        http_in_set_error_response(x, kind, message, retry_after_ms);
        http_in_resume(x);
        return;
    }
    struct buf text = {0};
    http_in_append_error(&text, kind, message,
                         str_from_bytes(x->request_id, 32));
    push_event(x, "error", buf_str(&text));
    buf_free(&text);
    in->count.refusals++;
    if (!x->disconnected) {
        end_stream(x);
    }
}

void
http_in_send_event(struct http_in *in, uint64_t id, const char *event,
                   struct str data)
{
    struct exchange *x = http_in_find_open(in, id);
    if (x) {
        push_event(x, event, data);
    }
}

void
http_in_end_stream(struct http_in *in, uint64_t id)
{
    struct exchange *x = http_in_find_open(in, id);
    if (x && x->streaming) {
        end_stream(x);
    }
}
