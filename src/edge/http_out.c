#include "edge/http_out_state.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"

#define MAX_IDLE_CONNECTIONS 4096

static void
clear_tokens(struct call *c)
{
    for (guint i = 0; i < c->tokens->len; i++) {
        str_free(&g_array_index(c->tokens, struct token, i).text);
    }
    g_array_set_size(c->tokens, 0);
}

static void
call_free(struct call *c)
{
    struct http_out *o = c->out;
    if (c->in_active_list) {
        struct call **p = &o->active;
        while (*p != c) {
            p = &(*p)->next_active;
        }
        *p = c->next_active;
    }
    if (c->easy) {
        curl_loop_remove(o->curl, c->easy);
        if (o->spare_count < MAX_SPARE_HANDLES) {
            o->spare[o->spare_count++] = c->easy;
        }
        else {
            curl_easy_cleanup(c->easy);
        }
    }
    if (c->tokens) {
        clear_tokens(c);
        g_array_free(c->tokens, TRUE);
    }
    str_free(&c->endpoint);
    str_free(&c->body);
    str_free(&c->start_id);
    c->out->buffered_bytes -= c->response_body.len;
    buf_free(&c->response_body);
    sse_free(&c->sse);
    free(c);
}

/* libcurl calls this right before it writes the request. It resends a request
 * on a new connection if a reused connection was lost before any response. The
 * endpoint may have received the first copy, so the second one is stopped. */
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
    if (c->check_deadline_at_send && loop_now_us() >= c->deadline_us) {
        c->deadline_passed = true;
        return CURL_PREREQFUNC_ABORT;
    }
    c->send_count++;
    return CURL_PREREQFUNC_OK;
}

/* Endpoints have numeric IP addresses; a host name would need a resolver. */
static bool
url_is_numeric(const char *url)
{
    unsigned char addr[16];
    char host[INET6_ADDRSTRLEN];
    const char *p = strstr(url, "://");
    if (!p) {
        return false;
    }
    p += 3;
    bool six = *p == '[';
    p += six;
    size_t n = strcspn(p, six ? "]" : ":/?#");
    if (n >= sizeof(host)) {
        return false;
    }
    memcpy(host, p, n);
    host[n] = 0;
    return inet_pton(six ? AF_INET6 : AF_INET, host, addr) == 1;
}

static CURL *
acquire_handle(struct http_out *o)
{
    if (o->spare_count > 0) {
        return o->spare[--o->spare_count];
    }
    CURL *e = curl_easy_init();
    curl_loop_set_options(o->curl, e);
    curl_easy_setopt(e, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(e, CURLOPT_TCP_KEEPIDLE, 10L);
    curl_easy_setopt(e, CURLOPT_TCP_KEEPINTVL, 5L);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, http_out_on_body);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, http_out_on_header);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
    return e;
}

static struct call *
call_new(struct http_out *o, const char *url, bool new_connection,
         int64_t timeout_ms)
{
    struct call *c = mem_calloc(1, sizeof(*c));
    c->out = o;
    c->tokens = g_array_new(FALSE, FALSE, sizeof(struct token));
    c->easy = acquire_handle(o);
    curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
    curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
    curl_easy_setopt(c->easy, CURLOPT_HEADERDATA, c);
    curl_easy_setopt(c->easy, CURLOPT_PREREQDATA, c);
    curl_easy_setopt(c->easy, CURLOPT_URL, url);
    curl_easy_setopt(c->easy, CURLOPT_FRESH_CONNECT, new_connection ? 1L : 0L);
    curl_loop_set_timeouts(c->easy, o->opts.connect_timeout_ms, timeout_ms);
    return c;
}

/* Appends a header. The list nodes are part of the call, which saves
 * allocations. */
static void
append_header(struct call *c, int *n, const char *text)
{
    c->headers[*n].data = (char *)text;
    if (*n > 0) {
        c->headers[*n - 1].next = &c->headers[*n];
    }
    ++*n;
}

static void format_header(struct call *c, int *n, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static void
format_header(struct call *c, int *n, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(c->header_text[*n], HEADER_BYTES, fmt, ap);
    va_end(ap);
    append_header(c, n, c->header_text[*n]);
}

/* Replaces a value that contains control characters, which could end the
 * header line. */
static struct str
safe_header_value(struct str s)
{
    for (size_t i = 0; i < s.len; i++) {
        if ((unsigned char)s.ptr[i] < ' ' || s.ptr[i] == 127) {
            return STR_LIT("-");
        }
    }
    return s;
}

void
http_out_start_call(struct http_out *o, const struct flow_action *a,
                    struct str traceparent)
{
    int64_t remaining_ms = (a->call.deadline_us - loop_now_us()) / 1000;
    CLEANUP_FREE char *url = (char *)str_dup(a->call.url).ptr;
    struct call *c = call_new(o, url, a->call.fresh_connection, remaining_ms);
    int n = 0;
    c->attempt = a->call.attempt;
    c->deadline_us = a->call.deadline_us;
    c->stream = a->call.stream;
    c->check_deadline_at_send = a->call.check_deadline_at_send;
    c->body = str_dup(a->call.body);
    append_header(c, &n, "Content-Type: application/json");
    append_header(c, &n, "Expect:");
    append_header(c, &n,
                  c->stream ? "Accept: text/event-stream"
                            : "Accept: application/json");
    format_header(c, &n, "X-Request-Id: %.*s",
                  STR_FMT(safe_header_value(a->call.request_id)));
    c->attempt_header.len = strlen("X-Attempt: ");
    c->attempt_header.ptr = c->header_text[n] + c->attempt_header.len;
    /* Each thread of each node numbers its attempts itself, so the number
     * alone does not distinguish this call from one of another node. */
    format_header(c, &n, "X-Attempt: %.*s-%" PRIu64,
                  STR_FMT(safe_header_value(a->call.request_id)), c->attempt);
    c->attempt_header = str_from_cstr(c->attempt_header.ptr);
    format_header(c, &n, "X-Stage: %.*s",
                  STR_FMT(safe_header_value(a->call.stage_name)));
    format_header(c, &n, "X-Deadline-Ms: %" PRId64,
                  remaining_ms > 0 ? remaining_ms : 0);
    if (traceparent.len) {
        format_header(c, &n, "traceparent: %.*s",
                      STR_FMT(safe_header_value(traceparent)));
    }
    curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
    curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, c->body.ptr);
    curl_easy_setopt(c->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     (curl_off_t)c->body.len);
    o->count.calls++;
    g_hash_table_insert(o->calls, &c->attempt, c);
    if (remaining_ms <= 0 || !url_is_numeric(url) ||
        curl_loop_add(o->curl, c->easy) != CURLM_OK) {
        c->deadline_passed = remaining_ms <= 0;
        g_ptr_array_add(o->failed_to_start, c);
    }
}

void
http_out_start_probe(struct http_out *o, struct str endpoint, struct str url)
{
    CLEANUP_FREE char *text = (char *)str_dup(url).ptr;
    struct call *c = call_new(o, text, true, o->opts.probe_timeout_ms);
    c->endpoint = str_dup(endpoint);
    curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, NULL);
    curl_easy_setopt(c->easy, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(c->easy, CURLOPT_FORBID_REUSE, 1L);
    o->count.probes++;
    g_ptr_array_add(o->probes, c);
    if (!url_is_numeric(text) || curl_loop_add(o->curl, c->easy) != CURLM_OK) {
        g_ptr_array_add(o->failed_to_start, c);
    }
}

static void
unregister_call(struct http_out *o, struct call *c)
{
    if (c->attempt) {
        g_hash_table_remove(o->calls, &c->attempt);
    }
    else {
        g_ptr_array_remove_fast(o->probes, c);
        curl_easy_setopt(c->easy, CURLOPT_FORBID_REUSE, 0L);
    }
    g_ptr_array_remove_fast(o->failed_to_start, c);
}

void
http_out_cancel_call(struct http_out *o, uint64_t attempt)
{
    struct call *c = g_hash_table_lookup(o->calls, &attempt);
    if (c) {
        unregister_call(o, c);
        o->count.cancelled++;
        /* libcurl closes the connection of an unfinished transfer that is
         * removed. */
        call_free(c);
    }
}

static void
emit(struct http_out *o, const struct flow_event *ev)
{
    o->opts.event(o->opts.ctx, ev);
}

/* Reports received bytes and tokens in order. The owner may cancel any call
 * inside the callback, so the call is looked up again after each event. */
static void
report_received(struct http_out *o)
{
    while (o->active) {
        struct call *c = o->active;
        uint64_t attempt = c->attempt;
        GArray *tokens = c->tokens;
        bool bytes = c->bytes_received && attempt;
        o->active = c->next_active;
        c->in_active_list = false;
        c->bytes_received = false;
        if (tokens->len > 0) {
            c->tokens = g_array_new(FALSE, FALSE, sizeof(struct token));
        }
        else {
            tokens = NULL;
        }
        if (bytes) {
            struct flow_event ev = {.kind = FLOW_EV_CALL_BYTES,
                                    .call_bytes = attempt};
            emit(o, &ev);
        }
        for (guint i = 0; tokens && i < tokens->len; i++) {
            struct token *t = &g_array_index(tokens, struct token, i);
            struct flow_event ev = {.kind = FLOW_EV_CALL_TOKEN};
            ev.call_token.attempt = attempt;
            ev.call_token.index = t->index;
            ev.call_token.text = t->text;
            if (g_hash_table_lookup(o->calls, &attempt)) {
                emit(o, &ev);
            }
            str_free(&t->text);
        }
        if (tokens) {
            g_array_free(tokens, TRUE);
        }
    }
}

static void
finish(struct http_out *o, struct call *c, CURLcode rc)
{
    struct flow_event ev = {.kind = FLOW_EV_CALL_DONE};
    long connects = 0;
    curl_easy_getinfo(c->easy, CURLINFO_NUM_CONNECTS, &connects);
    o->count.connections += (uint64_t)connects;
    if (!c->attempt) {
        ev.kind = FLOW_EV_PROBE;
        ev.probe.endpoint = c->endpoint;
        ev.probe.ok = rc == CURLE_OK && c->status == 200;
        ev.probe.report = c->report;
        ev.probe.report.start_id = c->start_id;
    }
    else {
        ev.call_done.attempt = c->attempt;
        http_out_set_result(c, rc, &ev);
        if (ev.kind == FLOW_EV_CALL_DONE) {
            o->count.done++;
        }
        else {
            o->count.failed++;
            o->count.unsent += ev.call_failed.unsent;
            o->count.crossed += c->attempt_mismatch;
        }
    }
    unregister_call(o, c);
    emit(o, &ev);
    call_free(c);
}

/* Reports the bytes of each call before the end of the call. */
static void
on_progress(void *ctx)
{
    struct http_out *o = ctx;
    report_received(o);
    while (o->failed_to_start->len > 0) {
        finish(o, g_ptr_array_index(o->failed_to_start, 0),
               CURLE_COULDNT_CONNECT);
    }
}

static void
on_done(void *ctx, CURL *easy, CURLcode rc)
{
    struct call *c = NULL;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&c);
    finish(ctx, c, rc);
}

void
http_out_process_events(struct http_out *o, int64_t now_us)
{
    curl_loop_process_events(o->curl, now_us);
}

int64_t
http_out_next_wakeup_us(const struct http_out *o)
{
    return o->failed_to_start->len > 0 ? 0 : curl_loop_next_wakeup_us(o->curl);
}

int
http_out_open_calls(const struct http_out *o)
{
    return (int)(g_hash_table_size(o->calls) + o->probes->len);
}

void
http_out_append_metrics(const struct http_out *o, int thread, struct buf *out)
{
#define X(id)                                                                 \
    buf_printf(out, "cf_http_out_" #id "_total{thread=\"%d\"} %" PRIu64 "\n", \
               thread, o->count.id);
    HTTP_OUT_COUNTER_LIST(X)
#undef X
    buf_printf(out, "cf_http_out_open{thread=\"%d\"} %d\n", thread,
               http_out_open_calls(o));
}

struct http_out *
http_out_new(struct loop *l, const struct http_out_options *opts)
{
    struct http_out *o = mem_calloc(1, sizeof(*o));
    o->opts = *opts;
    if (o->opts.connect_timeout_ms <= 0) {
        o->opts.connect_timeout_ms = 1000;
    }
    if (o->opts.probe_timeout_ms <= 0) {
        o->opts.probe_timeout_ms = 1000;
    }
    if (o->opts.max_response_bytes == 0) {
        o->opts.max_response_bytes = 16 << 20;
    }
    if (o->opts.max_idle_connections == 0) {
        o->opts.max_idle_connections = MAX_IDLE_CONNECTIONS;
    }
    o->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
    o->probes = g_ptr_array_new();
    o->failed_to_start = g_ptr_array_new();
    o->curl = curl_loop_new(l, o->opts.max_idle_connections, on_done,
                            on_progress, o);
    return o;
}

void
http_out_free(struct http_out *o)
{
    if (!o) {
        return;
    }
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, o->calls);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        call_free(v);
    }
    for (guint i = 0; i < o->probes->len; i++) {
        call_free(g_ptr_array_index(o->probes, i));
    }
    for (int i = 0; i < o->spare_count; i++) {
        curl_easy_cleanup(o->spare[i]);
    }
    curl_loop_free(o->curl);
    g_hash_table_destroy(o->calls);
    g_ptr_array_free(o->probes, TRUE);
    g_ptr_array_free(o->failed_to_start, TRUE);
    free(o);
}
