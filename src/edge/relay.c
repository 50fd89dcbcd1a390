#include "edge/relay.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "base/clean.h"
#include "base/log.h"
#include "edge/curl_loop.h"
#include "edge/status_line.h"

/* Bytes of one response that are received before they are passed on. libcurl
 * reads up to 1.6 MB at a time, and hundreds of endpoints may send at once. */
#define MAX_RECEIVED_BYTES (32u << 10)
/* A connection that has been idle for longer than this is not reused, because
 * endpoints close idle connections after a few seconds. */
#define MAX_REUSE_IDLE_S 2L
/* A connection with bytes unacknowledged for this time is closed. */
#define USER_TIMEOUT_MS 3000
/* With relay_enable_keepalive, TCP keepalive probes start after this time
 * without traffic, so that a dead connection is closed within seconds while a
 * call waits for its response. */
#define KEEPALIVE_IDLE_S 2
#define MAX_SPARE_HANDLES 64
/* libcurl drops a time-out that is due within 1 ms after it has handled
 * another one of the same call. Calls that are open this long after their
 * limit are ended here. */
#define OVERDUE_US 20000
/* Overdue calls are looked for at most this often. */
#define OVERDUE_CHECK_US 50000

struct call {
    struct relay *relay;
    uint64_t id;
    CURL *easy;
    struct curl_slist *headers;
    int send_count; /* how often libcurl was about to write the request */
    bool in_active_list;
    bool head_complete;
    bool head_reported;
    bool bad_status_line;
    bool close_after_error;
    bool paused;
    bool full; /* libcurl was told to wait until received is passed on */
    size_t head_bytes; /* of all headers and trailers */
    size_t request_body_bytes;
    int status;
    int64_t length;
    bool chunked;
    int64_t overdue_us; /* monotonic */
    int64_t stall_timeout_us;
    int64_t stalled_us;       /* monotonic; when the call ends if no more bytes
                                 arrive; INT64_MAX: it does not */
    size_t progress_bytes;    /* received since stalled_us was set */
    bool responding;          /* a byte of the response has arrived */
    GArray *response_headers; /* struct http_header; strings are owned */
    struct buf received;      /* received bytes not yet reported */
    struct call *next_active;
};

struct relay {
    struct curl_loop *curl;
    struct relay_callbacks callbacks;
    GHashTable *calls; /* struct call by id */
    struct call *active;
    GArray *failed_to_start; /* ids of calls that could not be started */
    CURL *spare[MAX_SPARE_HANDLES];
    int spare_count;
    bool keepalive;
    int64_t overdue_check_us; /* next check; INT64_MAX: no call is open */
    uint64_t connections_opened;
    uint64_t calls_started;
};

const char *
relay_result_name(enum relay_result r)
{
    static const char *const names[] = {"complete", "unsent", "refused",
                                        "closed",   "broken", "garbage",
                                        "timeout"};
    return names[r];
}

static void
clear_headers(struct call *c)
{
    for (guint i = 0; i < c->response_headers->len; i++) {
        struct http_header *h =
            &g_array_index(c->response_headers, struct http_header, i);
        str_free(&h->name);
        str_free(&h->value);
    }
    g_array_set_size(c->response_headers, 0);
}

static void
call_free(struct call *c)
{
    struct relay *r = c->relay;
    if (c->in_active_list) {
        struct call **p = &r->active;
        while (*p != c) {
            p = &(*p)->next_active;
        }
        *p = c->next_active;
    }
    curl_loop_remove(r->curl, c->easy);
    if (r->spare_count < MAX_SPARE_HANDLES) {
        curl_easy_reset(c->easy);
        r->spare[r->spare_count++] = c->easy;
    }
    else {
        curl_easy_cleanup(c->easy);
    }
    curl_slist_free_all(c->headers);
    clear_headers(c);
    g_array_free(c->response_headers, TRUE);
    buf_free(&c->received);
    free(c);
}

static void
mark_active(struct call *c)
{
    if (!c->in_active_list) {
        c->in_active_list = true;
        c->next_active = c->relay->active;
        c->relay->active = c;
    }
}

static void
add_response_header(struct call *c, const char *p, size_t len)
{
    const char *colon = memchr(p, ':', len);
    if (!colon) {
        return;
    }
    struct http_header h = {str_dup(str_from_bytes(p, (size_t)(colon - p))),
                            str_dup(str_trim(str_from_bytes(
                                colon + 1, len - (size_t)(colon + 1 - p))))};
    if (strcasecmp(h.name.ptr, "content-length") == 0 &&
        !str_to_i64(h.value, &c->length)) {
        c->length = -1;
    }
    c->chunked |= strcasecmp(h.name.ptr, "transfer-encoding") == 0 &&
                  h.value.len > 0 && strcasestr(h.value.ptr, "chunked");
    g_array_append_val(c->response_headers, h);
}

static void
note_progress(struct call *c, size_t bytes)
{
    if (c->stalled_us == INT64_MAX) {
        return;
    }
    c->progress_bytes += bytes;
    if (!c->responding || c->progress_bytes >= RELAY_MIN_PROGRESS_BYTES) {
        c->responding = true;
        c->progress_bytes = 0;
        c->stalled_us = c->stall_timeout_us > 0
                            ? loop_now_us() + c->stall_timeout_us
                            : INT64_MAX;
    }
}

static size_t
on_header(char *p, size_t size, size_t n, void *ctx)
{
    struct call *c = ctx;
    size_t len = size * n;
    note_progress(c, len);
    c->head_bytes += len;
    if (c->head_bytes > RELAY_MAX_HEADER_BYTES) {
        return 0; /* makes libcurl end the call */
    }
    if (c->head_complete) {
        return len; /* this line is a trailer */
    }
    if (len > 5 && memcmp(p, "HTTP/", 5) == 0) {
        clear_headers(c);
        c->status = status_line_parse(str_from_bytes(p, len));
        if (c->status < 0) {
            c->bad_status_line = true;
            return 0;
        }
        c->length = -1;
        c->chunked = false;
        return len;
    }
    if (str_trim(str_from_bytes(p, len)).len > 0) {
        add_response_header(c, p, len);
        return len;
    }
    if (c->status >= 200) {
        if (c->close_after_error && c->status >= 400) {
            /* libcurl reads this when the response has ended. */
            curl_easy_setopt(c->easy, CURLOPT_FORBID_REUSE, 1L);
        }
        c->head_complete = true;
        mark_active(c);
    }
    return len;
}

static size_t
on_body(char *p, size_t size, size_t n, void *ctx)
{
    struct call *c = ctx;
    if (c->paused) {
        return CURL_WRITEFUNC_PAUSE;
    }
    if (c->received.len >= MAX_RECEIVED_BYTES) {
        c->full = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    note_progress(c, size * n);
    buf_append(&c->received, p, size * n);
    mark_active(c);
    return size * n;
}

/* libcurl calls this right before it writes the request. It resends a request
 * on a new connection if a reused connection was lost before any response. The
 * server may have received the first copy, so the second one is stopped. */
static int
on_prereq(void *ctx, char *remote, char *local, int remote_port,
          int local_port)
{
    struct call *c = ctx;
    (void)remote;
    (void)local;
    (void)remote_port;
    (void)local_port;
    if (c->send_count > 0) {
        return CURL_PREREQFUNC_ABORT;
    }
    c->send_count++;
    return CURL_PREREQFUNC_OK;
}

static int
on_new_socket(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
    static const int on = 1;
    static const int idle_s = KEEPALIVE_IDLE_S;
    int limit_ms = USER_TIMEOUT_MS;
    const struct relay *r = ctx;
    (void)purpose;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof(limit_ms));
    if (r->keepalive) {
        setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &on, sizeof(on));
    }
    return CURL_SOCKOPT_OK;
}

static bool
has_header(const struct relay_call *call, const char *name)
{
    for (int i = 0; i < call->header_count; i++) {
        if (call->headers[i].name.len == strlen(name) &&
            strncasecmp(call->headers[i].name.ptr, name, strlen(name)) == 0) {
            return true;
        }
    }
    return false;
}

static void
set_headers(struct call *c, const struct relay_call *call)
{
    /* Headers that libcurl adds by default; an empty entry suppresses them. */
    static const char *const added[] = {"Accept", "Content-Type", "Expect"};
    struct buf line = {0};
    for (int i = 0; i < call->header_count; i++) {
        buf_clear(&line);
        buf_append_str(&line, call->headers[i].name);
        /* libcurl requires "Name;" for a header with an empty value. */
        buf_append_str(&line, call->headers[i].value.len ? STR_LIT(": ")
                                                         : STR_LIT(";"));
        buf_append_str(&line, call->headers[i].value);
        c->headers = curl_slist_append(c->headers, line.ptr);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(added); i++) {
        if (!has_header(call, added[i])) {
            buf_clear(&line);
            buf_printf(&line, "%s:", added[i]);
            c->headers = curl_slist_append(c->headers, line.ptr);
        }
    }
    buf_free(&line);
    curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
}

static void
set_request(struct call *c, const struct relay_call *call)
{
    CURL *e = c->easy;
    CLEANUP_FREE char *method = (char *)str_dup(call->method).ptr;
    CLEANUP_FREE char *target = (char *)str_dup(call->target).ptr;
    CLEANUP_FREE char *address = (char *)str_dup(call->address).ptr;
    char *url = g_strdup_printf("http://%s/", address);
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, target);
    if (strcmp(method, "HEAD") == 0) {
        curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
    }
    else if (call->body.len == 0 && strcmp(method, "GET") == 0) {
        curl_easy_setopt(e, CURLOPT_HTTPGET, 1L);
    }
    else {
        curl_easy_setopt(e, CURLOPT_POST, 1L);
        curl_easy_setopt(e, CURLOPT_POSTFIELDS,
                         call->body.ptr ? call->body.ptr : "");
        curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)call->body.len);
        curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, method);
    }
    g_free(url);
}

/* When end_overdue_calls ends the call. */
static int64_t
call_limit_us(const struct call *c)
{
    return MIN(c->overdue_us, c->stalled_us);
}

void
relay_start_call(struct relay *r, const struct relay_call *call)
{
    struct call *c = mem_calloc(1, sizeof(*c));
    c->relay = r;
    c->id = call->id;
    c->length = -1;
    c->request_body_bytes = call->body.len;
    c->close_after_error = call->close_after_error;
    c->response_headers =
        g_array_new(FALSE, FALSE, sizeof(struct http_header));
    c->easy =
        r->spare_count > 0 ? r->spare[--r->spare_count] : curl_easy_init();
    CURL *e = c->easy;
    curl_loop_set_options(r->curl, e);
    curl_easy_setopt(e, CURLOPT_PRIVATE, c);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, c);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, c);
    curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, on_new_socket);
    curl_easy_setopt(e, CURLOPT_SOCKOPTDATA, r);
    curl_loop_set_timeouts(e, call->connect_timeout_ms, call->timeout_ms);
    curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, MAX_REUSE_IDLE_S);
    curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, call->new_connection ? 1L : 0L);
    curl_easy_setopt(e, CURLOPT_FORBID_REUSE, call->new_connection ? 1L : 0L);
    curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
    set_headers(c, call);
    set_request(c, call);
    r->calls_started++;
    int64_t now_us = loop_now_us();
    c->overdue_us = now_us + MAX(call->timeout_ms, 1) * 1000 + OVERDUE_US;
    c->stall_timeout_us = call->stall_timeout_ms * 1000;
    c->stalled_us = call->first_byte_timeout_ms > 0
                        ? now_us + call->first_byte_timeout_ms * 1000
                        : INT64_MAX;
    r->overdue_check_us = MIN(r->overdue_check_us, call_limit_us(c));
    g_hash_table_insert(r->calls, &c->id, c);
    if (curl_loop_add(r->curl, e) != CURLM_OK) {
        g_array_append_val(r->failed_to_start, c->id);
    }
}

void
relay_cancel_call(struct relay *r, uint64_t id)
{
    struct call *c = g_hash_table_lookup(r->calls, &id);
    if (c) {
        g_hash_table_remove(r->calls, &id);
        call_free(c);
    }
}

void
relay_set_paused(struct relay *r, uint64_t id, bool pause)
{
    struct call *c = g_hash_table_lookup(r->calls, &id);
    if (c && c->paused != pause) {
        c->paused = pause;
        if (!pause) {
            curl_easy_pause(c->easy, CURLPAUSE_CONT);
        }
    }
}

static void
report_head(struct relay *r, struct call *c)
{
    struct relay_response_head h = {c->status,
                                    (const void *)c->response_headers->data,
                                    (int)c->response_headers->len, c->length};
    c->head_reported = true;
    r->callbacks.head(r->callbacks.ctx, c->id, &h);
}

/* Reports the head and the received bytes of a call. The owner may cancel any
 * call inside a callback, so the call is looked up again after each one. */
static void
report_received(struct relay *r, struct call *c)
{
    uint64_t id = c->id;
    if (c->head_complete && !c->head_reported) {
        report_head(r, c);
        c = g_hash_table_lookup(r->calls, &id);
    }
    if (c && c->received.len > 0) {
        struct buf bytes = c->received;
        c->received = (struct buf){0};
        r->callbacks.bytes(r->callbacks.ctx, id, buf_str(&bytes));
        buf_free(&bytes);
        c = g_hash_table_lookup(r->calls, &id);
    }
    if (c && c->full) {
        c->full = false;
        if (!c->paused) {
            curl_easy_pause(c->easy, CURLPAUSE_CONT);
        }
    }
}

static void
finish(struct relay *r, struct call *c, enum relay_result result)
{
    uint64_t id = c->id;
    c->full = false; /* libcurl has no more to pass on */
    report_received(r, c);
    c = g_hash_table_lookup(r->calls, &id);
    if (!c) {
        return;
    }
    g_hash_table_remove(r->calls, &id);
    call_free(c);
    r->callbacks.end(r->callbacks.ctx, id, result);
}

static void
on_progress(void *ctx)
{
    struct relay *r = ctx;
    while (r->active) {
        struct call *c = r->active;
        r->active = c->next_active;
        c->in_active_list = false;
        report_received(r, c);
    }
    while (r->failed_to_start->len > 0) {
        uint64_t id = g_array_index(r->failed_to_start, uint64_t, 0);
        g_array_remove_index(r->failed_to_start, 0);
        struct call *c = g_hash_table_lookup(r->calls, &id);
        if (c) {
            finish(r, c, RELAY_NOT_SENT);
        }
    }
}

/* Whether the error is caused by a response that violates the protocol and not
 * by the connection. libcurl reports a header line longer than its own limit
 * as CURLE_OUT_OF_MEMORY. */
static bool
is_protocol_error(CURLcode rc)
{
    return rc == CURLE_WEIRD_SERVER_REPLY ||
           rc == CURLE_UNSUPPORTED_PROTOCOL ||
           rc == CURLE_BAD_CONTENT_ENCODING || rc == CURLE_OUT_OF_MEMORY;
}

/* The result of a call of which nothing was sent. libcurl reports a connection
 * that is reset before it has seen it as one that could not be made. */
static enum relay_result
unsent_result(CURLcode rc, long os_error)
{
    if (rc == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED) {
        return RELAY_REFUSED;
    }
    bool closed = (rc == CURLE_COULDNT_CONNECT && os_error == ECONNRESET) ||
                  rc == CURLE_SEND_ERROR || rc == CURLE_RECV_ERROR;
    return closed ? RELAY_CLOSED_UNSENT : RELAY_NOT_SENT;
}

/* Whether the end of the connection is taken for the end of the response
 * although the server had not received the request: it may as well have failed
 * in the middle of the response. libcurl sends no more of a request after a
 * status of 300 or more. */
static bool
has_ended_early(const struct call *c)
{
    curl_off_t sent = 0;
    curl_easy_getinfo(c->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    bool ends_with_connection =
        c->length < 0 && !c->chunked && c->status != 204;
    return ends_with_connection && c->status < 300 &&
           (size_t)sent < c->request_body_bytes;
}

static void
on_done(void *ctx, CURL *easy, CURLcode rc)
{
    struct relay *r = ctx;
    struct call *c = NULL;
    long connects = 0;
    long sent = 0;
    long os_error = 0;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&c);
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
    curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &os_error);
    r->connections_opened += (uint64_t)connects;
    enum relay_result result = RELAY_INCOMPLETE;
    if (rc == CURLE_OK && c->head_complete) {
        result = has_ended_early(c) ? RELAY_INCOMPLETE : RELAY_COMPLETE;
    }
    else if (c->send_count == 0 || (sent == 0 && c->send_count < 2)) {
        result = unsent_result(rc, os_error);
    }
    else if (rc == CURLE_OPERATION_TIMEDOUT) {
        result = RELAY_TIMEOUT;
    }
    else if (c->bad_status_line || c->head_bytes > RELAY_MAX_HEADER_BYTES ||
             is_protocol_error(rc)) {
        result = RELAY_INVALID_RESPONSE;
    }
    finish(r, c, result);
}

/* Ends the calls whose response has stalled, and those that libcurl should
 * have ended. */
static void
end_overdue_calls(struct relay *r, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;
    GArray *overdue = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    int64_t next_us = INT64_MAX;
    g_hash_table_iter_init(&it, r->calls);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct call *c = v;
        if (call_limit_us(c) <= now_us) {
            g_array_append_val(overdue, c->id);
        }
        else {
            next_us = MIN(next_us, call_limit_us(c));
        }
    }
    r->overdue_check_us = MAX(next_us, now_us + OVERDUE_CHECK_US);
    if (next_us == INT64_MAX) {
        r->overdue_check_us = INT64_MAX;
    }
    for (guint i = 0; i < overdue->len; i++) {
        uint64_t id = g_array_index(overdue, uint64_t, i);
        struct call *c = g_hash_table_lookup(r->calls, &id);
        if (c) {
            if (c->overdue_us <= now_us) {
                LOG_EVENT(LOG_INFO, "call_overdue",
                          LOG_INT("ms", (now_us - c->overdue_us) / 1000));
            }
            finish(r, c, c->send_count > 0 ? RELAY_TIMEOUT : RELAY_NOT_SENT);
        }
    }
    g_array_free(overdue, TRUE);
}

void
relay_process_events(struct relay *r, int64_t now_us)
{
    curl_loop_process_events(r->curl, now_us);
    if (now_us >= r->overdue_check_us) {
        end_overdue_calls(r, now_us);
    }
}

int64_t
relay_next_wakeup_us(const struct relay *r)
{
    return r->failed_to_start->len > 0
               ? 0
               : MIN(curl_loop_next_wakeup_us(r->curl), r->overdue_check_us);
}

int
relay_open_calls(const struct relay *r)
{
    return (int)g_hash_table_size(r->calls);
}

uint64_t
relay_connections_opened(const struct relay *r)
{
    return r->connections_opened;
}

uint64_t
relay_calls_started(const struct relay *r)
{
    return r->calls_started;
}

struct relay *
relay_new(struct loop *l, struct relay_callbacks callbacks,
          int max_idle_connections)
{
    struct relay *r = mem_calloc(1, sizeof(*r));
    r->callbacks = callbacks;
    r->overdue_check_us = INT64_MAX;
    r->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
    r->failed_to_start = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    r->curl = curl_loop_new(l, max_idle_connections, on_done, on_progress, r);
    return r;
}

void
relay_enable_keepalive(struct relay *r)
{
    r->keepalive = true;
}

void
relay_free(struct relay *r)
{
    if (!r) {
        return;
    }
    GList *calls = g_hash_table_get_values(r->calls);
    for (GList *l = calls; l; l = l->next) {
        call_free(l->data);
    }
    g_list_free(calls);
    for (int i = 0; i < r->spare_count; i++) {
        curl_easy_cleanup(r->spare[i]);
    }
    curl_loop_free(r->curl);
    g_hash_table_destroy(r->calls);
    g_array_free(r->failed_to_start, TRUE);
    free(r);
}
