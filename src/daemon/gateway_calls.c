#include <stdlib.h>

#include "base/log.h"
#include "daemon/gateway_traffic_state.h"
#include "edge/http_in.h"
#include "edge/relay.h"
#include "forward/forward.h"
#include "platform/platform.h"

/* After this time without a connection another endpoint is tried. */
#define CONNECT_TIMEOUT_MS 400
#define RELEASE_TIMEOUT_MS 1000
/* The answer to a pieces call holds a hundred results of some hundred
 * bytes; that to a memory query holds a report. */
#define STAGE_ANSWER_MAX_BYTES (1u << 20)
/* A paused call is read again when at most this much is left to send to the
 * caller. */
#define RESUME_BACKLOG_BYTES (32u << 10)

enum out_call_kind {
    OUT_REQUEST,
    OUT_PIECES,
    OUT_RELEASE,
    OUT_MEMORY_QUERY,
    OUT_PROBE
};

/* An open call to an endpoint. */
struct out_call {
    enum out_call_kind kind;
    struct exchange *exchange;         /* OUT_REQUEST */
    struct platform_post_request post; /* OUT_PIECES, OUT_RELEASE */
    int status;
    struct response_meta meta;
    struct buf body; /* body of the response; not for OUT_REQUEST */
};

static void
out_call_free(gpointer p)
{
    struct out_call *c = p;
    platform_post_request_free(&c->post);
    buf_free(&c->body);
    free(c);
}

static struct out_call *
add_call(struct gateway_traffic *t, uint64_t id, enum out_call_kind kind)
{
    struct out_call *c = mem_calloc(1, sizeof(*c));
    uint64_t *key = g_new(uint64_t, 1);
    *key = id;
    c->kind = kind;
    g_hash_table_insert(t->calls, key, c);
    return c;
}

/* Callbacks of the forwarding core */

static void
io_send(void *ctx, const struct forward_call *call)
{
    struct gateway_traffic *t = ctx;
    struct exchange *x = gateway_find_exchange(t, call->request);
    struct http_header headers[PLATFORM_MAX_HEADERS];
    struct buf text = {0};
    int count =
        platform_write_request_headers(&x->request, call, &text, headers);
    struct out_call *c = add_call(t, call->id, OUT_REQUEST);
    c->exchange = x;
    struct relay_call r = {.id = call->id,
                           .address = call->address,
                           .method = x->request.method,
                           .target = x->request.target,
                           .headers = headers,
                           .header_count = count,
                           .body = x->request.body,
                           .new_connection = call->fresh_connection,
                           .close_after_error = true,
                           .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                           .timeout_ms = call->timeout_ms};
    relay_start_call(t->relay, &r);
    buf_free(&text);
}

static void
start_post(struct gateway_traffic *t, uint64_t id, struct out_call *c,
           struct str address, int64_t timeout_ms)
{
    struct relay_call r = {
        .id = id,
        .address = address,
        .method = STR_LIT("POST"),
        .target = str_from_cstr(c->post.target),
        .headers = c->post.headers,
        .header_count = c->post.header_count,
        .body = buf_str(&c->post.body),
        /* Results bear no id of their call, so an earlier response that
         * arrives once more could not be told apart. */
        .new_connection = c->kind == OUT_PIECES,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .timeout_ms = timeout_ms};
    relay_start_call(t->relay, &r);
}

static void
io_send_pieces(void *ctx, const struct pieces_call *call)
{
    struct gateway_traffic *t = ctx;
    struct out_call *c = add_call(t, call->id, OUT_PIECES);
    platform_write_pieces_request(call, &c->post);
    start_post(t, call->id, c, call->address, call->timeout_ms);
}

static void
io_release(void *ctx, const struct release_call *call)
{
    struct gateway_traffic *t = ctx;
    /* The highest bit is clear in all ids of the core. */
    uint64_t id = ++t->last_release_id | 1ULL << 63;
    struct out_call *c = add_call(t, id, OUT_RELEASE);
    platform_write_release_request(call, &c->post);
    start_post(t, id, c, call->address, RELEASE_TIMEOUT_MS);
}

static void
query_report(struct gateway_traffic *t, enum out_call_kind kind,
             const struct report_call *call)
{
    add_call(t, call->id, kind);
    struct relay_call r = {.id = call->id,
                           .address = call->address,
                           .method = STR_LIT("GET"),
                           .target = str_from_cstr(platform_report_path),
                           .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                           .timeout_ms = call->timeout_ms};
    relay_start_call(t->relay, &r);
}

static void
io_ask_room(void *ctx, const struct report_call *call)
{
    query_report(ctx, OUT_MEMORY_QUERY, call);
}

static void
io_probe(void *ctx, const struct report_call *call)
{
    query_report(ctx, OUT_PROBE, call);
}

static enum probe_result
probe_result_from_relay(enum relay_result result)
{
    switch (result) {
    case RELAY_REFUSED:
        return PROBE_REFUSED;
    case RELAY_CLOSED_UNSENT:
    case RELAY_INCOMPLETE:
        return PROBE_BROKEN;
    case RELAY_COMPLETE:
    case RELAY_NOT_SENT:
    case RELAY_INVALID_RESPONSE:
    case RELAY_TIMEOUT:
        break;
    }
    return PROBE_ALIVE;
}

static void
finish_memory_query(struct gateway_traffic *t, uint64_t id,
                    const struct out_call *c, enum relay_result result)
{
    bool whole = result == RELAY_COMPLETE && c->status == 200;
    int64_t room = whole ? platform_read_free_memory(buf_str(&c->body)) : -1;
    if (room < 0) {
        LOG_EVENT(LOG_INFO, "room_unknown",
                  LOG_CSTR("result", relay_result_name(result)),
                  LOG_INT("status", c->status));
    }
    forward_memory_reported(t->forward, gateway_now_us(), id, room);
}

static void
io_cancel(void *ctx, uint64_t call)
{
    struct gateway_traffic *t = ctx;
    relay_cancel_call(t->relay, call);
    g_hash_table_remove(t->calls, &call);
}

struct paused_call {
    uint64_t call;
    uint64_t request;
};

static void
io_hold(void *ctx, uint64_t call, uint64_t request)
{
    struct gateway_traffic *t = ctx;
    struct paused_call h = {call, request};
    relay_set_paused(t->relay, call, true);
    g_array_append_val(t->paused_calls, h);
}

/* Resumes the calls whose callers have caught up. */
static void
resume_paused_calls(struct gateway_traffic *t)
{
    for (guint i = 0; i < t->paused_calls->len;) {
        struct paused_call h =
            g_array_index(t->paused_calls, struct paused_call, i);
        if (http_in_write_body(t->in, h.request, STR_LIT("")) >
            RESUME_BACKLOG_BYTES) {
            i++;
            continue;
        }
        g_array_remove_index_fast(t->paused_calls, i);
        forward_caller_caught_up(t->forward, gateway_now_us(), h.call);
        relay_set_paused(t->relay, h.call, false);
    }
}

/* Events of calls */

static void
on_head(void *ctx, uint64_t id, const struct relay_response_head *head)
{
    struct gateway_traffic *t = ctx;
    struct out_call *c = g_hash_table_lookup(t->calls, &id);
    struct str request_id = {0};
    if (!c) {
        return;
    }
    if (c->kind == OUT_REQUEST) {
        struct forward_request r;
        platform_read_request(&c->exchange->request, &r);
        request_id = r.request_id;
    }
    platform_read_response_headers(head->status, head->headers,
                                   head->header_count, request_id, &c->meta);
    c->status = head->status;
    if (c->kind == OUT_REQUEST) {
        /* forward_response_head may cancel the call, which frees c. */
        struct response_meta meta = c->meta;
        t->response_head = head;
        forward_response_head(t->forward, gateway_now_us(), id, head->status,
                              &meta);
        t->response_head = NULL;
    }
}

static void on_end(void *ctx, uint64_t id, enum relay_result result);

static void
on_bytes(void *ctx, uint64_t id, struct str bytes)
{
    struct gateway_traffic *t = ctx;
    struct out_call *c = g_hash_table_lookup(t->calls, &id);
    if (!c) {
        return;
    }
    if (c->kind == OUT_REQUEST) {
        forward_response_body(t->forward, gateway_now_us(), id, bytes);
    }
    else if (c->body.len + bytes.len > STAGE_ANSWER_MAX_BYTES) {
        LOG_EVENT(LOG_WARN, "answer_too_long", LOG_INT("kind", c->kind),
                  LOG_INT("bytes", c->body.len + bytes.len));
        relay_cancel_call(t->relay, id);
        on_end(t, id, RELAY_INVALID_RESPONSE);
    }
    else {
        buf_append_str(&c->body, bytes);
    }
}

static enum call_end
call_end_from_relay(enum relay_result result)
{
    switch (result) {
    case RELAY_COMPLETE:
        return CALL_END_COMPLETE;
    case RELAY_NOT_SENT:
    case RELAY_REFUSED:
    case RELAY_CLOSED_UNSENT:
        return CALL_END_UNSENT;
    case RELAY_INVALID_RESPONSE:
        return CALL_END_MALFORMED;
    case RELAY_TIMEOUT:
        return CALL_END_TIMED_OUT;
    case RELAY_INCOMPLETE:
        break;
    }
    return CALL_END_BROKEN;
}

static void
finish_pieces_call(struct gateway_traffic *t, uint64_t id, struct out_call *c,
                   enum call_end end)
{
    struct piece_result results[STAGE_MAX_BATCH];
    int count = 0;
    if (end == CALL_END_COMPLETE && c->status == 200) {
        count = platform_read_piece_results(buf_str(&c->body), results,
                                            STAGE_MAX_BATCH);
    }
    forward_pieces_call_ended(t->forward, gateway_now_us(), id, end, c->status,
                              &c->meta, count, results);
    platform_free_piece_results(results, count);
}

static void
on_end(void *ctx, uint64_t id, enum relay_result result)
{
    struct gateway_traffic *t = ctx;
    gpointer key = NULL;
    gpointer value = NULL;
    /* The call is removed first, since the core may start other calls
     * below. */
    if (!g_hash_table_steal_extended(t->calls, &id, &key, &value)) {
        return;
    }
    struct out_call *c = value;
    switch (c->kind) {
    case OUT_REQUEST:
        forward_call_ended(t->forward, gateway_now_us(), id,
                           call_end_from_relay(result));
        break;
    case OUT_PIECES:
        finish_pieces_call(t, id, c, call_end_from_relay(result));
        break;
    case OUT_MEMORY_QUERY:
        finish_memory_query(t, id, c, result);
        break;
    case OUT_PROBE:
        forward_endpoint_probed(t->forward, gateway_now_us(), id,
                                probe_result_from_relay(result));
        break;
    case OUT_RELEASE:
        if (result != RELAY_COMPLETE) {
            LOG_EVENT(LOG_DEBUG, "release_failed",
                      LOG_CSTR("result", relay_result_name(result)));
        }
        break;
    }
    g_free(key);
    out_call_free(c);
}

void
gateway_calls_open(struct gateway_traffic *t, struct forward_io *io)
{
    const struct relay_callbacks sink = {t, on_head, on_bytes, on_end};
    t->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                     out_call_free);
    t->paused_calls = g_array_new(FALSE, FALSE, sizeof(struct paused_call));
    t->relay = relay_new(
        t->loop, sink,
        gateway_caller_budget(t->shared->settings).endpoint_connections);
    io->send_call = io_send;
    io->send_pieces = io_send_pieces;
    io->release_results = io_release;
    io->query_memory = io_ask_room;
    io->probe_endpoint = io_probe;
    io->cancel_call = io_cancel;
    io->pause_call = io_hold;
}

void
gateway_calls_close(struct gateway_traffic *t)
{
    relay_free(t->relay);
    g_hash_table_destroy(t->calls);
    g_array_free(t->paused_calls, TRUE);
}

void
gateway_calls_process_events(struct gateway_traffic *t, int64_t loop_now_us)
{
    relay_process_events(t->relay, loop_now_us);
    resume_paused_calls(t);
}
