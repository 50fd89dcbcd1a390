#include "edge/http_in_state.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "base/clean.h"

/* Default time after which an idle kept-alive connection is closed. */
#define DEFAULT_IDLE_TIMEOUT_US 60000000
/* A connection with bytes unacknowledged for this time is closed, so that a
 * caller behind a network partition does not occupy the connection. */
#define USER_TIMEOUT_MS 10000
/* A body that exceeds its limit by at most this size is still read, so that
 * the sender receives the error response instead of a connection reset. */
#define MAX_DISCARDED_BYTES (1 << 20)
#define DEFAULT_MAX_BODY_BYTES (1 << 20)
#define SLOT_BITS 24
/* Time within which a caller must read its response. */
#define SEND_TIMEOUT_US 60000000

struct exchange *
http_in_find_open(const struct http_in *in, uint64_t id)
{
    uint64_t slot = id & ((1 << SLOT_BITS) - 1);
    struct exchange *x =
        slot < (uint64_t)in->slot_count ? in->slots[slot] : NULL;
    return x && x->id == id && !x->disconnected && !x->answered ? x : NULL;
}

void
http_in_set_state(struct conn *c, enum conn_state to)
{
    struct http_in *in = c->in;
    if (c->state != CONN_PROCESSING) {
        TAILQ_REMOVE(&in->conns_by_state[c->state], c, link);
    }
    c->state = to;
    c->state_since_us = in->now_us;
    if (to != CONN_PROCESSING) {
        TAILQ_INSERT_TAIL(&in->conns_by_state[to], c, link);
    }
}

void
http_in_resume(struct exchange *x)
{
    if (x->suspended) {
        x->suspended = false;
        MHD_resume_connection(x->conn->mhd);
    }
    x->conn->in->run_needed = true;
}

void
http_in_handle_disconnect(struct exchange *x)
{
    struct http_in *in = x->conn->in;
    if (x->disconnected || x->answered) {
        return;
    }
    x->disconnected = true;
    in->count.gone++;
    if (x->delivered && !in->stopping) {
        in->opts.gone(in->opts.ctx, x->id);
    }
    http_in_resume(x);
}

static void
on_hangup(void *ctx, uint32_t events)
{
    struct conn *c = ctx;
    if (!(events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))) {
        return;
    }
    c->peer_closed = true;
    if (c->exchange && c->exchange->delivered) {
        http_in_handle_disconnect(c->exchange);
    }
}

static void
on_connection_change(void *cls, struct MHD_Connection *mhd, void **socket_ctx,
                     enum MHD_ConnectionNotificationCode code)
{
    struct http_in *in = cls;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        struct conn *c = mem_calloc(1, sizeof(*c));
        c->in = in;
        c->mhd = mhd;
        c->fd = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
                    ->connect_fd;
        c->state = CONN_PROCESSING;
        http_in_set_state(c, CONN_RECEIVING);
        int limit_ms = USER_TIMEOUT_MS;
        setsockopt(c->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
                   sizeof(limit_ms));
        /* The source is registered once per connection and reports no
         * incoming data. */
        c->hangup_source =
            loop_add(in->loop, c->fd, EPOLLRDHUP | EPOLLET, on_hangup, c);
        *socket_ctx = c;
        in->count.connections++;
        in->connection_count++;
        return;
    }
    struct conn *c = *socket_ctx;
    if (c) {
        in->connection_count--;
        /* MHD accepts the next connection in its next run. */
        in->run_needed = true;
        http_in_set_state(c, CONN_PROCESSING);
        loop_remove(in->loop, c->hangup_source);
        str_free(&c->target);
        free(c);
    }
}

static struct exchange *
open_exchange(struct http_in *in, struct conn *c)
{
    if (in->free_slot_count == 0) {
        int n = in->slot_count ? in->slot_count * 2 : 64;
        in->slots = mem_realloc(in->slots, n, sizeof(struct exchange *));
        in->free_slots = mem_realloc(in->free_slots, n, sizeof(int));
        for (int i = n - 1; i >= in->slot_count; i--) {
            in->slots[i] = NULL;
            in->free_slots[in->free_slot_count++] = i;
        }
        in->slot_count = n;
    }
    struct exchange *x = mem_calloc(1, sizeof(*x));
    int slot = in->free_slots[--in->free_slot_count];
    in->slots[slot] = x;
    x->id = ++in->last_sequence << SLOT_BITS | (uint64_t)slot;
    x->conn = c;
    c->exchange = x;
    snprintf(x->request_id, sizeof(x->request_id),
             "%016" PRIx64 "%014" PRIx64 "%02x", rng_next(&in->rng),
             rng_next(&in->rng) >> 8, in->opts.thread & 0xff);
    in->open_count++;
    in->count.requests++;
    return x;
}

static void
completed(void *cls, struct MHD_Connection *mhd, void **con_cls,
          enum MHD_RequestTerminationCode code)
{
    struct http_in *in = cls;
    struct exchange *x = *con_cls;
    (void)mhd;
    if (!x) {
        return;
    }
    x->suspended = false;
    if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK || !x->answered) {
        http_in_handle_disconnect(x);
    }
    http_in_set_state(x->conn, CONN_IDLE);
    x->conn->exchange = NULL;
    int slot = (int)(x->id & ((1 << SLOT_BITS) - 1));
    in->slots[slot] = NULL;
    in->free_slots[in->free_slot_count++] = slot;
    in->open_count--;
    if (x->response) {
        MHD_destroy_response(x->response);
    }
    http_in_free_body(x);
    http_in_charge_unread(x, 0);
    buf_free(&x->out);
    if (x->headers) {
        g_array_free(x->headers, TRUE);
    }
    free(x);
    *con_cls = NULL;
}

struct header_scan {
    struct exchange *x;
    size_t bytes;
    bool has_length;
    bool has_transfer_encoding;
    bool expects_continue; /* Expect: 100-continue */
    int64_t length;
    int token_count;
    int key_count;
    int deadline_count;
};

static bool
is(const char *name, size_t len, struct str expected)
{
    return len == expected.len && strncasecmp(name, expected.ptr, len) == 0;
}

static enum MHD_Result
scan_header(void *cls, enum MHD_ValueKind kind, const char *name,
            size_t name_len, const char *value, size_t value_len)
{
    struct header_scan *s = cls;
    struct http_in_request *r = &s->x->r;
    struct str v = str_from_bytes(value ? value : "", value_len);
    (void)kind;
    s->bytes += name_len + value_len + 4;
    if (s->x->headers) {
        struct http_header h = {str_from_bytes(name, name_len), v};
        g_array_append_val(s->x->headers, h);
    }
    switch (name_len) {
    case 6:
        if (is(name, name_len, STR_LIT("accept"))) {
            r->stream = memmem(v.ptr, v.len, "text/event-stream", 17) != NULL;
        }
        else if (is(name, name_len, STR_LIT("expect"))) {
            s->expects_continue = true;
        }
        break;
    case 11:
        if (is(name, name_len, STR_LIT("traceparent"))) {
            r->traceparent = v;
        }
        break;
    case 13:
        if (is(name, name_len, STR_LIT("authorization"))) {
            s->token_count++;
            if (v.len > 7 && strncasecmp(v.ptr, "Bearer ", 7) == 0) {
                r->token = str_from_bytes(v.ptr + 7, v.len - 7);
            }
        }
        else if (is(name, name_len, STR_LIT("x-deadline-ms"))) {
            s->deadline_count++;
            r->deadline = v;
        }
        break;
    case 14:
        if (is(name, name_len, STR_LIT("content-length"))) {
            s->has_length = str_to_i64(v, &s->length);
        }
        break;
    case 15:
        if (is(name, name_len, STR_LIT("idempotency-key"))) {
            s->key_count++;
            r->key = v;
        }
        break;
    case 17:
        if (is(name, name_len, STR_LIT("transfer-encoding"))) {
            s->has_transfer_encoding = true;
        }
        break;
    default:
        break;
    }
    return MHD_YES;
}

static bool
is_from_loopback(struct MHD_Connection *mhd)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    const struct sockaddr *a = info ? info->client_addr : NULL;
    if (a && a->sa_family == AF_INET) {
        const struct sockaddr_in *in4 = (const void *)a;
        return ntohl(in4->sin_addr.s_addr) >> 24 == 127;
    }
    if (a && a->sa_family == AF_INET6) {
        const struct sockaddr_in6 *in6 = (const void *)a;
        return IN6_IS_ADDR_LOOPBACK(&in6->sin6_addr);
    }
    return false;
}

/* Handles the first callback of MHD for a request: its headers are complete,
 * its body has not been read. */
static struct exchange *
begin(struct http_in *in, struct MHD_Connection *mhd, const char *url,
      const char *method)
{
    struct conn *c =
        MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context;
    if (c->state != CONN_RECEIVING) {
        http_in_set_state(c, CONN_RECEIVING);
    }
    struct exchange *x = open_exchange(in, c);
    struct header_scan s = {.x = x};
    if (in->opts.raw) {
        x->headers = g_array_new(FALSE, FALSE, sizeof(struct http_header));
        x->r.target = c->target;
    }
    x->r.id = x->id;
    x->r.method = str_from_cstr(method);
    x->r.path = str_from_cstr(url);
    x->r.request_id = str_from_bytes(x->request_id, 32);
    MHD_get_connection_values_n(mhd, MHD_HEADER_KIND, scan_header, &s);
    x->r.loopback = is_from_loopback(mhd);
    if (s.bytes > (size_t)in->opts.max_header_bytes) {
        x->error_kind = ERRKIND_TOO_LARGE;
        x->error_message = "headers are too large";
    }
    else if ((s.has_length && s.has_transfer_encoding) || s.token_count > 1 ||
             s.key_count > 1 || s.deadline_count > 1) {
        /* Two lengths or two credentials make a request ambiguous. */
        x->error_kind = ERRKIND_BAD_REQUEST;
        x->error_message = "contradicting headers";
    }
    else if (s.has_length && s.length > (int64_t)in->max_body_bytes) {
        x->error_kind = ERRKIND_TOO_LARGE;
        x->error_message = "body is too large";
    }
    x->reject_before_body =
        x->error_kind &&
        (s.expects_continue ||
         s.length > (int64_t)in->max_body_bytes + MAX_DISCARDED_BYTES);
    return x;
}

/* Stores the next bytes of a body, or discards them after an error. Returns
 * false if the connection must be closed. */
static bool
receive(struct http_in *in, struct exchange *x, const char *data, size_t *size)
{
    size_t n = *size;
    if (x->body.len + n > in->max_body_bytes && !x->error_kind) {
        x->error_kind = ERRKIND_TOO_LARGE;
        x->error_message = "body is too large";
    }
    if (x->error_kind || !http_in_store_body(x, data, n)) {
        http_in_free_body(x);
        /* Counts the bytes of the body without storing them. */
        x->out_offset += n;
        if (x->out_offset > in->max_body_bytes + MAX_DISCARDED_BYTES) {
            return false;
        }
    }
    *size = 0;
    return true;
}

static enum MHD_Result
send_response(struct exchange *x)
{
    enum MHD_Result ok =
        MHD_queue_response(x->conn->mhd, (unsigned)x->status, x->response);
    MHD_destroy_response(x->response);
    x->response = NULL;
    if (x->answered) {
        http_in_free_body(x);
    }
    return ok;
}

/* MHD calls this when the headers of a request are complete, for each piece of
 * the body and at the end of the request. */
static enum MHD_Result
handle(void *cls, struct MHD_Connection *mhd, const char *url,
       const char *method, const char *version, const char *data, size_t *size,
       void **con_cls)
{
    struct http_in *in = cls;
    struct exchange *x = *con_cls;
    (void)version;
    if (!x) {
        x = begin(in, mhd, url, method);
        *con_cls = x;
        if (x->reject_before_body) {
            http_in_set_state(x->conn, CONN_PROCESSING);
            http_in_set_error_response(x, x->error_kind,
                                       str_from_cstr(x->error_message), 0);
            return send_response(x);
        }
        return MHD_YES;
    }
    if (*size > 0) {
        return receive(in, x, data, size) ? MHD_YES : MHD_NO;
    }
    if (!x->delivered && !x->answered && !x->disconnected) {
        http_in_set_state(x->conn, CONN_PROCESSING);
        if (x->conn->peer_closed) {
            http_in_handle_disconnect(x);
            return MHD_NO;
        }
        if (x->error_kind) {
            http_in_set_error_response(x, x->error_kind,
                                       str_from_cstr(x->error_message), 0);
            return send_response(x);
        }
        x->delivered = true;
        x->r.body = buf_str(&x->body);
        if (x->headers) {
            x->r.headers =
                (const struct http_header *)(void *)x->headers->data;
            x->r.header_count = (int)x->headers->len;
        }
        http_in_deliver_body(x);
        in->opts.request(in->opts.ctx, &x->r);
        if (!in->opts.raw) {
            /* The owner has a copy, so the share stays in use. */
            buf_free(&x->body);
            x->r.body = (struct str){0};
        }
    }
    if (x->disconnected || (x->aborted && !x->response)) {
        return MHD_NO;
    }
    if (!x->response) {
        x->suspended = true;
        MHD_suspend_connection(mhd);
        return MHD_YES;
    }
    return send_response(x);
}

/* MHD calls this with each request line before it reads the headers. */
static void *
save_target(void *cls, const char *uri, struct MHD_Connection *mhd)
{
    struct conn *c =
        MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context;
    (void)cls;
    str_free(&c->target);
    c->target = str_dup(str_from_cstr(uri));
    if (c->state == CONN_IDLE) {
        http_in_set_state(c, CONN_RECEIVING);
    }
    return NULL;
}

/* Replaces MHD's unescaping, because the path is compared as it was sent. */
static size_t
keep_path_escaped(void *cls, struct MHD_Connection *mhd, char *text)
{
    (void)cls;
    (void)mhd;
    return strlen(text);
}

static void
on_daemon_ready(void *ctx, uint32_t events)
{
    (void)events;
    ((struct http_in *)ctx)->run_needed = true;
}

void
http_in_process_events(struct http_in *in, int64_t now_us)
{
    MHD_UNSIGNED_LONG_LONG ms = 1;
    in->now_us = now_us;
    http_in_expire(in);
    http_in_enforce_shares(in);
    /* A time-out of zero means that MHD has already buffered input, such as a
     * pipelined request. */
    if (in->run_needed ||
        (MHD_get_timeout(in->daemon, &ms) == MHD_YES && ms == 0)) {
        in->run_needed = false;
        MHD_run(in->daemon);
    }
}

int64_t
http_in_next_wakeup_us(const struct http_in *in, int64_t now_us)
{
    if (in->run_needed) {
        return now_us;
    }
    int64_t wakeup_us = http_in_next_check_us(in);
    MHD_UNSIGNED_LONG_LONG ms = 0;
    if (MHD_get_timeout(in->daemon, &ms) == MHD_YES) {
        wakeup_us = MIN(wakeup_us, now_us + (int64_t)ms * 1000);
    }
    for (int s = 0; s < CONN_STATES; s++) {
        const struct conn *c = TAILQ_FIRST(&in->conns_by_state[s]);
        int64_t due_us =
            c ? c->state_since_us + in->state_timeout_us[s] + 1 : INT64_MAX;
        wakeup_us = due_us < wakeup_us ? due_us : wakeup_us;
    }
    return wakeup_us;
}

int
http_in_open_requests(const struct http_in *in)
{
    return in->open_count;
}

int
http_in_port(const struct http_in *in)
{
    return MHD_get_daemon_info(in->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void
http_in_set_max_body(struct http_in *in, size_t bytes)
{
    in->max_body_bytes = bytes;
}

void
http_in_start_draining(struct http_in *in)
{
    in->draining = true;
}

void
http_in_set_timeouts(struct http_in *in, int receive_timeout_ms,
                     int idle_timeout_ms)
{
    in->state_timeout_us[CONN_RECEIVING] = receive_timeout_ms * 1000LL;
    in->state_timeout_us[CONN_IDLE] = idle_timeout_ms * 1000LL;
}

void
http_in_append_metrics(const struct http_in *in, struct buf *out)
{
#define X(id, text)                                                           \
    buf_printf(out, "cf_http_in_" #id "_total{thread=\"%d\"} %" PRIu64 "\n",  \
               in->opts.thread, in->count.id);
    HTTP_IN_COUNTER_LIST(X)
#undef X
    http_in_append_share_metrics(in, out);
    buf_printf(out, "cf_http_in_open{thread=\"%d\"} %d\n", in->opts.thread,
               in->open_count);
}

enum status
http_in_new(struct loop *l, const struct http_in_options *opts,
            struct http_in **out)
{
    struct sockaddr_storage addr = {0};
    struct sockaddr_in *in4 = (void *)&addr;
    struct sockaddr_in6 *in6 = (void *)&addr;
    char text[INET6_ADDRSTRLEN];
    snprintf(text, sizeof(text), "%.*s", STR_FMT(opts->address));
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    if (inet_pton(AF_INET, text, &in4->sin_addr) == 1) {
        in4->sin_family = AF_INET;
        in4->sin_port = htons((uint16_t)opts->port);
    }
    else if (inet_pton(AF_INET6, text, &in6->sin6_addr) == 1) {
        in6->sin6_family = AF_INET6;
        in6->sin6_port = htons((uint16_t)opts->port);
        flags |= MHD_USE_IPv6;
    }
    else {
        return err_set(ST_INVALID, "not a numeric IP address: %s", text);
    }
    struct MHD_OptionItem tls[] = {
        {MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)opts->tls_cert.ptr},
        {MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)opts->tls_key.ptr},
        {MHD_OPTION_HTTPS_PRIORITIES, 0,
         "NORMAL:-VERS-TLS1.0:-VERS-TLS1.1:-VERS-DTLS-ALL"},
        {MHD_OPTION_END, 0, NULL},
    };
    if (opts->tls_cert.len == 0) {
        tls[0].option = MHD_OPTION_END;
    }
    else {
        flags |= MHD_USE_TLS;
    }
    struct MHD_OptionItem raw[] = {
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)save_target, NULL},
        {MHD_OPTION_UNESCAPE_CALLBACK, (intptr_t)keep_path_escaped, NULL},
        {MHD_OPTION_END, 0, NULL},
    };
    if (!opts->raw) {
        raw[0].option = MHD_OPTION_END;
    }
    struct http_in *in = mem_calloc(1, sizeof(*in));
    in->opts = *opts;
    in->loop = l;
    in->max_body_bytes = DEFAULT_MAX_BODY_BYTES;
    in->now_us = loop_now_us();
    in->state_timeout_us[CONN_RECEIVING] = opts->receive_timeout_ms * 1000LL;
    in->state_timeout_us[CONN_SENDING] = SEND_TIMEOUT_US;
    in->state_timeout_us[CONN_IDLE] = opts->idle_timeout_ms > 0
                                          ? opts->idle_timeout_ms * 1000LL
                                          : DEFAULT_IDLE_TIMEOUT_US;
    for (int s = 0; s < CONN_STATES; s++) {
        TAILQ_INIT(&in->conns_by_state[s]);
    }
    TAILQ_INIT(&in->bodies);
    TAILQ_INIT(&in->unread);
    rng_seed(&in->rng, opts->seed);
    /* MHD reads into half of a connection's memory, where the head stays. It
     * has room for headers up to the limit, so that this server rejects larger
     * headers with its own JSON error instead of MHD's text page, and for the
     * next bytes of the body. */
    in->daemon = MHD_start_daemon(
        flags, (uint16_t)opts->port, NULL, NULL, handle, in,
        MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&addr,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)opts->max_connections, MHD_OPTION_PER_IP_CONNECTION_LIMIT,
        (unsigned)opts->max_connections_per_caller,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        HTTP_IN_CONNECTION_BYTES(opts->max_header_bytes),
        MHD_OPTION_NOTIFY_COMPLETED, completed, in,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection_change, in,
        MHD_OPTION_ARRAY, tls, MHD_OPTION_ARRAY, raw, MHD_OPTION_END);
    if (!in->daemon) {
        free(in);
        return err_set(ST_IO, "cannot listen on %s:%d", text, opts->port);
    }
    int fd =
        MHD_get_daemon_info(in->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    in->listening = true;
    in->source = loop_add(l, fd, EPOLLIN, on_daemon_ready, in);
    *out = in;
    return ST_OK;
}

void
http_in_free(struct http_in *in)
{
    if (!in) {
        return;
    }
    /* MHD must not be stopped while connections are suspended. */
    in->stopping = true;
    for (int i = 0; i < in->slot_count; i++) {
        if (in->slots[i]) {
            http_in_handle_disconnect(in->slots[i]);
            http_in_resume(in->slots[i]);
        }
    }
    MHD_run(in->daemon);
    loop_remove(in->loop, in->source);
    MHD_stop_daemon(in->daemon);
    free(in->slots);
    free(in->free_slots);
    free(in);
}
