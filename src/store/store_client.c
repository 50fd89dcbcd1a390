#include "store/store_client.h"

#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/clean.h"
#include "base/number.h"
#include "store/budget.h"

/* A value of 1 MB is 1.4 MB in base64. The response to a conflicting CAS
 * contains the value, too. */
#define MAX_RESPONSE_BYTES (4 * 1024 * 1024)
#define MAX_EPOLL_EVENTS 32

struct call {
    struct store_client *c;
    struct store_op op; /* its strings are owned */
    int64_t deadline_us;
    int tried_urls; /* number of URLs tried */
    int url_index;
    CURL *easy; /* NULL: the call waits for the budget */
    struct curl_slist *headers;
    char *body;
    struct buf response;
    bool watch_done; /* a watch has received its event */
    struct store_result result;
    GList link;
};

struct store_client {
    CURLM *multi;
    int epfd;
    struct store_client_callback sink;
    struct budget budget;
    int url_count;
    struct str *urls;
    int url_index; /* index of the URL that answered last */
    GQueue waiting;
    GQueue running;
    int64_t now_us;
    int64_t curl_timer_us;
    int64_t budget_timer_us;
};

static int
on_socket(CURL *easy, curl_socket_t s, int poll_events, void *ctx,
          void *registered)
{
    struct store_client *c = ctx;
    struct epoll_event ev = {.data.fd = s};
    (void)easy;
    if (poll_events == CURL_POLL_REMOVE) {
        epoll_ctl(c->epfd, EPOLL_CTL_DEL, s, NULL);
        return 0;
    }
    ev.events |= poll_events & CURL_POLL_IN ? EPOLLIN : 0;
    ev.events |= poll_events & CURL_POLL_OUT ? EPOLLOUT : 0;
    epoll_ctl(c->epfd, registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, s, &ev);
    curl_multi_assign(c->multi, s, c);
    return 0;
}

static int
on_timer(CURLM *multi, long ms, void *ctx)
{
    struct store_client *c = ctx;
    (void)multi;
    c->curl_timer_us = ms < 0 ? INT64_MAX : c->now_us + ms * 1000;
    return 0;
}

struct store_client *
store_client_new(const struct store_client_options *opts,
                 struct store_client_callback sink, int64_t now_us)
{
    if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
        return NULL;
    }
    struct store_client *c = mem_calloc(1, sizeof(*c));
    c->multi = curl_multi_init();
    c->epfd = epoll_create1(EPOLL_CLOEXEC);
    c->sink = sink;
    c->now_us = now_us;
    c->curl_timer_us = INT64_MAX;
    c->budget_timer_us = INT64_MAX;
    c->url_count = opts->url_count;
    c->urls = mem_calloc((size_t)opts->url_count, sizeof(struct str));
    for (int i = 0; i < opts->url_count; i++) {
        c->urls[i] = str_dup(opts->urls[i]);
    }
    budget_init(&c->budget, opts->reads_per_s, opts->writes_per_s, opts->seed,
                now_us);
    curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
    curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, on_timer);
    curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
    return c;
}

static void
release_transfer(struct call *call)
{
    if (call->easy) {
        curl_multi_remove_handle(call->c->multi, call->easy);
        curl_easy_cleanup(call->easy);
        call->easy = NULL;
    }
    curl_slist_free_all(call->headers);
    call->headers = NULL;
    g_free(call->body);
    call->body = NULL;
    buf_free(&call->response);
}

static void
free_call(struct call *call)
{
    str_free(&call->op.key);
    str_free(&call->op.value);
    str_free(&call->result.value);
    free(call);
}

void
store_client_free(struct store_client *c)
{
    GList *l;
    while ((l = g_queue_pop_head_link(&c->running))) {
        struct call *call = l->data;
        release_transfer(call);
        free_call(call);
    }
    while ((l = g_queue_pop_head_link(&c->waiting))) {
        free_call(l->data);
    }
    curl_multi_cleanup(c->multi);
    close(c->epfd);
    for (int i = 0; i < c->url_count; i++) {
        str_free(&c->urls[i]);
    }
    free(c->urls);
    free(c);
    curl_global_cleanup();
}

void
store_client_submit(struct store_client *c, int64_t now_us,
                    const struct store_op *op)
{
    struct call *call = mem_calloc(1, sizeof(*call));
    call->c = c;
    call->op = *op;
    call->op.key = str_dup(op->key);
    call->op.value = str_dup(op->value);
    call->deadline_us = now_us + op->timeout_us;
    call->link.data = call;
    g_queue_push_tail_link(&c->waiting, &call->link);
    c->budget_timer_us = now_us;
}

static char *
base64(struct str s)
{
    return g_base64_encode((const unsigned char *)s.ptr, s.len);
}

/* The JSON gateway of etcd writes 64-bit numbers as strings. The result leaves
 * room for the next revision. */
static int64_t
int_member(json_t *o, const char *key)
{
    json_t *v = json_object_get(o, key);
    int64_t n = json_integer_value(v);
    if (json_is_string(v)) {
        str_to_i64(str_from_cstr(json_string_value(v)), &n);
    }
    return number_clamp(n, 0, INT64_MAX - 1);
}

static char *
build_request_body(const struct call *call, const char **path)
{
    char *key = base64(call->op.key);
    char *value = NULL;
    char *body = NULL;
    switch (call->op.kind) {
    case STORE_GET:
        *path = "/v3/kv/range";
        body = g_strdup_printf("{\"key\":\"%s\"}", key);
        break;
    case STORE_CAS:
        *path = "/v3/kv/txn";
        value = base64(call->op.value);
        body = g_strdup_printf(
            "{\"compare\":[{\"key\":\"%s\",\"target\":\"MOD\","
            "\"result\":\"EQUAL\",\"mod_revision\":\"%" PRId64 "\"}],"
            "\"success\":[{\"request_put\":{\"key\":\"%s\",\"value\":\"%s\"}}"
            "],\"failure\":[{\"request_range\":{\"key\":\"%s\"}}]}",
            key, call->op.expect, key, value, key);
        break;
    case STORE_WATCH:
        *path = "/v3/watch";
        body = g_strdup_printf(
            "{\"create_request\":{\"key\":\"%s\",\"start_revision\":\"%" PRId64
            "\"}}",
            key, call->op.expect + 1);
        break;
    }
    g_free(key);
    g_free(value);
    return body;
}

static void
json_release(json_t **v)
{
    json_decref(*v);
}

/* Parses one line of a watch stream. @return true if it ends the operation */
static bool
parse_watch_line(struct call *call, struct str line)
{
    CLEANUP(json_release) json_t *o = json_loadb(line.ptr, line.len, 0, NULL);
    json_t *events = json_object_get(json_object_get(o, "result"), "events");
    size_t i;
    json_t *e;
    json_array_foreach(events, i, e)
    {
        json_t *kv = json_object_get(e, "kv");
        int64_t rev = int_member(kv, "mod_revision");
        const char *type = json_string_value(json_object_get(e, "type"));
        if (rev <= call->op.expect || rev <= call->result.revision) {
            continue;
        }
        bool gone = type && strcmp(type, "DELETE") == 0;
        str_free(&call->result.value);
        call->result.revision = rev;
        call->result.outcome = gone ? STORE_NOT_FOUND : STORE_OK;
        call->result.value = gone ? (struct str){0}
                                  : str_from_base64(json_string_value(
                                        json_object_get(kv, "value")));
        call->watch_done = true;
    }
    return call->watch_done;
}

static size_t
on_response_data(char *p, size_t size, size_t n, void *ctx)
{
    struct call *call = ctx;
    size_t len = size * n;
    if (call->response.len + len > MAX_RESPONSE_BYTES) {
        return 0;
    }
    buf_append(&call->response, p, len);
    if (call->op.kind != STORE_WATCH) {
        return len;
    }
    char *end;
    size_t from = 0;
    while ((end = memchr(call->response.ptr + from, '\n',
                         call->response.len - from))) {
        size_t at = (size_t)(end - call->response.ptr);
        if (parse_watch_line(
                call, str_from_bytes(call->response.ptr + from, at - from))) {
            return 0; /* aborts the transfer; the result is complete */
        }
        from = at + 1;
    }
    memmove(call->response.ptr, call->response.ptr + from,
            call->response.len - from);
    call->response.len -= from;
    return len;
}

static void
start_transfer(struct store_client *c, struct call *call)
{
    const char *path = NULL;
    call->url_index = (c->url_index + call->tried_urls) % c->url_count;
    call->tried_urls++;
    call->body = build_request_body(call, &path);
    call->easy = curl_easy_init();
    struct str base = c->urls[call->url_index];
    char *url = g_strdup_printf("%.*s%s", STR_FMT(base), path);
    long remaining_ms = (long)((call->deadline_us - c->now_us + 999) / 1000);
    long url_timeout_ms =
        remaining_ms / (c->url_count - call->tried_urls + 1) + 1;
    CURL *e = call->easy;
    /* Without this header libcurl sends bodies above 1 MB only after
     * "100 Continue". */
    call->headers = curl_slist_append(NULL, "Expect:");
    call->headers =
        curl_slist_append(call->headers, "Content-Type: application/json");
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, call->headers);
    curl_easy_setopt(e, CURLOPT_POSTFIELDS, call->body);
    curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)strlen(call->body));
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_response_data);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(e, CURLOPT_PRIVATE, call);
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS,
                     call->op.kind == STORE_GET ? url_timeout_ms
                                                : remaining_ms);
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, url_timeout_ms);
    if (call->op.kind == STORE_CAS) {
        /* libcurl silently repeats a request if a reused connection closes
         * before the response. A repeated CAS would conflict with its own
         * first write. */
        curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
    }
    g_free(url);
    g_queue_push_tail_link(&c->running, &call->link);
    curl_multi_add_handle(c->multi, e);
}

static void
report_result(struct call *call, enum store_outcome outcome)
{
    struct store_client *c = call->c;
    call->result.id = call->op.id;
    call->result.outcome = outcome;
    c->sink.done(c->sink.ctx, &call->result);
    free_call(call);
}

/* Parses the response to a GET or CAS. @return false if it is malformed */
static bool
parse_response(struct call *call, enum store_outcome *outcome)
{
    CLEANUP(json_release)
    json_t *o = json_loadb(call->response.ptr ? call->response.ptr : "",
                           call->response.len, 0, NULL);
    json_t *head = json_object_get(o, "header");
    json_t *first = json_array_get(json_object_get(o, "responses"), 0);
    json_t *kv;
    if (!json_is_object(head)) {
        return false;
    }
    if (call->op.kind == STORE_GET) {
        kv = json_array_get(json_object_get(o, "kvs"), 0);
        *outcome = kv ? STORE_OK : STORE_NOT_FOUND;
        call->result.revision = int_member(kv, "mod_revision");
        call->result.value =
            str_from_base64(json_string_value(json_object_get(kv, "value")));
        return true;
    }
    if (json_is_true(json_object_get(o, "succeeded"))) {
        *outcome = STORE_OK;
        call->result.revision = int_member(head, "revision");
        return true;
    }
    kv = json_array_get(
        json_object_get(json_object_get(first, "response_range"), "kvs"), 0);
    *outcome = STORE_CONFLICT;
    call->result.revision = int_member(kv, "mod_revision");
    return true;
}

static void
retry_or_report(struct call *call, enum store_outcome outcome)
{
    struct store_client *c = call->c;
    release_transfer(call);
    if (outcome == STORE_FAILED && call->tried_urls < c->url_count &&
        c->now_us < call->deadline_us) {
        g_queue_push_head_link(&c->waiting, &call->link);
        c->budget_timer_us = c->now_us;
        return;
    }
    if (outcome == STORE_FAILED || outcome == STORE_OUTCOME_UNKNOWN) {
        /* The next operation starts with the next URL. */
        c->url_index = (call->url_index + 1) % c->url_count;
    }
    report_result(call, outcome);
}

static bool
was_never_sent(CURL *easy, CURLcode code)
{
    long request_bytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    return code == CURLE_COULDNT_CONNECT || request_bytes == 0;
}

static void
handle_transfer_end(struct call *call, CURLcode code)
{
    long status = 0;
    enum store_outcome outcome = STORE_FAILED;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    g_queue_unlink(&call->c->running, &call->link);
    if (call->watch_done) {
        call->c->url_index = call->url_index;
        outcome = call->result.outcome;
        release_transfer(call);
        report_result(call, outcome);
        return;
    }
    if (call->op.kind != STORE_WATCH && code == CURLE_OK && status == 200 &&
        parse_response(call, &outcome)) {
        call->c->url_index = call->url_index;
        release_transfer(call);
        report_result(call, outcome);
        return;
    }
    bool refused = code == CURLE_OK && status >= 400 && status < 500;
    if (call->op.kind == STORE_CAS && !refused &&
        !was_never_sent(call->easy, code)) {
        outcome = STORE_OUTCOME_UNKNOWN;
    }
    retry_or_report(call, outcome);
}

static void
start_waiting_calls(struct store_client *c)
{
    c->budget_timer_us = INT64_MAX;
    GList *next;
    int64_t wait[BUDGET_KINDS] = {0};
    for (GList *l = c->waiting.head; l; l = next) {
        struct call *call = l->data;
        next = l->next;
        if (c->now_us >= call->deadline_us) {
            g_queue_unlink(&c->waiting, l);
            report_result(call, STORE_FAILED);
            /* The callback may have submitted operations, which changes the
             * queue. */
            next = c->waiting.head;
            continue;
        }
        enum budget_kind k =
            call->op.kind == STORE_CAS ? BUDGET_WRITE : BUDGET_READ;
        if (!wait[k]) {
            wait[k] = budget_take(&c->budget, c->now_us, k);
            if (!wait[k]) {
                g_queue_unlink(&c->waiting, l);
                start_transfer(c, call);
                continue;
            }
        }
        int64_t due = c->now_us + wait[k];
        due = due < call->deadline_us ? due : call->deadline_us;
        c->budget_timer_us =
            due < c->budget_timer_us ? due : c->budget_timer_us;
    }
}

void
store_client_process_events(struct store_client *c, int64_t now_us)
{
    struct epoll_event events[MAX_EPOLL_EVENTS];
    int running;
    c->now_us = now_us;
    if (now_us >= c->budget_timer_us) {
        start_waiting_calls(c);
    }
    int n = epoll_wait(c->epfd, events, MAX_EPOLL_EVENTS, 0);
    for (int i = 0; i < n; i++) {
        int poll_events = events[i].events & EPOLLIN ? CURL_CSELECT_IN : 0;
        poll_events |= events[i].events & EPOLLOUT ? CURL_CSELECT_OUT : 0;
        poll_events |=
            events[i].events & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0;
        curl_multi_socket_action(c->multi, events[i].data.fd, poll_events,
                                 &running);
    }
    if (now_us >= c->curl_timer_us) {
        c->curl_timer_us = INT64_MAX;
        curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
    CURLMsg *m;
    while ((m = curl_multi_info_read(c->multi, &n))) {
        char *call = NULL;
        curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &call);
        handle_transfer_end((struct call *)(void *)call, m->data.result);
    }
}

int
store_client_fd(const struct store_client *c)
{
    return c->epfd;
}

int64_t
store_client_next_wakeup_us(const struct store_client *c)
{
    return c->curl_timer_us < c->budget_timer_us ? c->curl_timer_us
                                                 : c->budget_timer_us;
}

void
store_client_set_rates(struct store_client *c, int64_t now_us,
                       double reads_per_s, double writes_per_s)
{
    budget_set_rates(&c->budget, now_us, reads_per_s, writes_per_s);
}

int
store_client_pending_count(const struct store_client *c)
{
    return (int)(c->waiting.length + c->running.length);
}
