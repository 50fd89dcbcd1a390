#include "fakes/http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* libmicrohttpd does not watch the socket of a suspended connection, so the
 * server checks at this interval whether clients have disconnected. */
#define SWEEP_INTERVAL_US 50000

struct fh_req_priv {
    struct fh_req req;
    struct MHD_Connection *conn;
    struct MHD_Response *response;
    int status;
    struct buf in;
    struct buf out;    /* body bytes that MHD has not read yet */
    struct buf method; /* copied: MHD's string is valid in one call only */
    struct buf path;
    GPtrArray *headers; /* of the response: name, value, name, value... */
    bool handled;
    bool suspended;
    bool drop_connection;
    bool streaming;
    bool ended;
    bool complete;
    size_t truncate_at; /* truncated responses: bytes that are sent */
    size_t sent;
    uint64_t connection_serial; /* 1: the first connection of the server */
    GList link;
};

struct timer {
    int64_t due;
    uint64_t id;
    void (*fn)(void *arg);
    void *arg;
};

struct fh {
    struct MHD_Daemon *daemon;
    int epfd;
    struct fh_options opts;
    GTree *timers;            /* struct timer by due, id */
    GHashTable *timers_by_id; /* id -> struct timer */
    uint64_t next_timer;
    uint64_t next_serial;
    uint64_t silenced_up_to;
    GQueue requests;
    int64_t next_sweep;
    bool stopping;
    bool has_resumed; /* a connection was resumed since the last MHD_run */
};

int64_t
fh_now_us(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static int
timer_cmp(const void *a, const void *b, void *unused)
{
    const struct timer *x = a;
    const struct timer *y = b;
    (void)unused;
    if (x->due != y->due) {
        return x->due < y->due ? -1 : 1;
    }
    return (x->id > y->id) - (x->id < y->id);
}

uint64_t
fh_add_timer(struct fh *h, int64_t delay_us, void (*fn)(void *arg), void *arg)
{
    struct timer *t = g_new(struct timer, 1);
    *t = (struct timer){fh_now_us() + (delay_us > 0 ? delay_us : 0),
                        ++h->next_timer, fn, arg};
    g_tree_insert(h->timers, t, t);
    g_hash_table_insert(h->timers_by_id, &t->id, t);
    return t->id;
}

void
fh_cancel_timer(struct fh *h, uint64_t id)
{
    struct timer *t = g_hash_table_lookup(h->timers_by_id, &id);
    if (t) {
        g_hash_table_remove(h->timers_by_id, &id);
        g_tree_remove(h->timers, t);
        g_free(t);
    }
}

static struct timer *
first_timer(struct fh *h)
{
    GTreeNode *n = g_tree_node_first(h->timers);
    return n ? g_tree_node_value(n) : NULL;
}

static void
run_timers(struct fh *h)
{
    int64_t now = fh_now_us();
    struct timer *t;
    while ((t = first_timer(h)) && t->due <= now) {
        void (*fn)(void *) = t->fn;
        void *arg = t->arg;
        fh_cancel_timer(h, t->id);
        fn(arg);
    }
}

static bool
is_silenced(const struct fh_req_priv *p)
{
    return p->connection_serial <= p->req.h->silenced_up_to &&
           !p->req.h->stopping &&
           !str_starts_with(p->req.path, STR_LIT("/control"));
}

static void
resume_connection(struct fh_req_priv *p)
{
    if (p->suspended) {
        p->suspended = false;
        p->req.h->has_resumed = true;
        MHD_resume_connection(p->conn);
    }
}

static void
hold(struct fh_req_priv *p)
{
    p->suspended = true;
    MHD_suspend_connection(p->conn);
}

static enum MHD_Result
on_access(void *cls, struct MHD_Connection *conn, const char *url,
          const char *method, const char *version, const char *data,
          size_t *size, void **slot)
{
    struct fh *h = cls;
    struct fh_req_priv *p = *slot;
    (void)version;
    if (!p) {
        const union MHD_ConnectionInfo *info =
            MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
        p = g_new0(struct fh_req_priv, 1);
        p->req.h = h;
        p->req.priv = p;
        p->conn = conn;
        p->connection_serial =
            info ? (uint64_t)(uintptr_t)info->socket_context : 0;
        p->headers = g_ptr_array_new_with_free_func(g_free);
        p->link.data = p;
        buf_append_str(&p->method, str_from_cstr(method));
        buf_append_str(&p->path, str_from_cstr(url));
        p->req.method = buf_str(&p->method);
        p->req.path = buf_str(&p->path);
        g_queue_push_tail_link(&h->requests, &p->link);
        *slot = p;
        return MHD_YES;
    }
    if (*size) {
        buf_append(&p->in, data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (!p->handled) {
        p->handled = true;
        p->req.body = buf_str(&p->in);
        if (!is_silenced(p)) {
            h->opts.handler(h->opts.ctx, &p->req);
        }
    }
    if (p->drop_connection || (h->stopping && !p->response)) {
        return MHD_NO;
    }
    if (p->response && !is_silenced(p)) {
        enum MHD_Result ok =
            MHD_queue_response(conn, (unsigned)p->status, p->response);
        MHD_destroy_response(p->response);
        p->response = NULL;
        return ok;
    }
    hold(p);
    return MHD_YES;
}

static void
on_completed(void *cls, struct MHD_Connection *conn, void **slot,
             enum MHD_RequestTerminationCode code)
{
    struct fh *h = cls;
    struct fh_req_priv *p = *slot;
    (void)conn;
    (void)code;
    if (!p) {
        return;
    }
    *slot = NULL;
    if (p->req.on_end) {
        p->req.on_end(&p->req);
    }
    g_queue_unlink(&h->requests, &p->link);
    if (p->response) {
        MHD_destroy_response(p->response);
    }
    g_ptr_array_free(p->headers, TRUE);
    buf_free(&p->in);
    buf_free(&p->out);
    buf_free(&p->method);
    buf_free(&p->path);
    g_free(p);
}

static void
on_connection(void *cls, struct MHD_Connection *conn, void **context,
              enum MHD_ConnectionNotificationCode code)
{
    struct fh *h = cls;
    (void)conn;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        *context = (void *)(uintptr_t)++h->next_serial;
    }
}

struct fh *
fh_new(const struct fh_options *opts)
{
    struct fh *h = g_new0(struct fh, 1);
    struct sockaddr_in at = {.sin_family = AF_INET};
    h->opts = *opts;
    h->timers = g_tree_new_full(timer_cmp, NULL, NULL, NULL);
    h->timers_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    at.sin_port = htons((uint16_t)opts->port);
    inet_pton(AF_INET, opts->address ? opts->address : "127.0.0.1",
              &at.sin_addr);
    h->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, h,
        MHD_OPTION_SOCK_ADDR, &at, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
        MHD_OPTION_CONNECTION_LIMIT, 8192u, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, h, MHD_OPTION_NOTIFY_CONNECTION, on_connection, h,
        MHD_OPTION_END);
    if (!h->daemon) {
        fh_free(h);
        return NULL;
    }
    h->epfd =
        MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    return h;
}

static gboolean
free_timer(void *key, void *value, void *unused)
{
    (void)value;
    (void)unused;
    g_free(key);
    return FALSE;
}

void
fh_free(struct fh *h)
{
    if (h->daemon) {
        /* MHD must not be stopped while connections are suspended. */
        h->stopping = true;
        for (GList *l = h->requests.head; l; l = l->next) {
            struct fh_req_priv *p = l->data;
            p->drop_connection = true;
            p->ended = true;
            p->complete = false;
            resume_connection(p);
        }
        MHD_run(h->daemon);
        MHD_stop_daemon(h->daemon);
    }
    g_hash_table_destroy(h->timers_by_id);
    g_tree_foreach(h->timers, free_timer, NULL);
    g_tree_destroy(h->timers);
    g_free(h);
}

int
fh_port(const struct fh *h)
{
    return MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

static void
sweep(struct fh *h)
{
    GList *next;
    for (GList *l = h->requests.head; l; l = next) {
        struct fh_req_priv *p = l->data;
        char byte;
        next = l->next;
        if (!p->suspended) {
            continue;
        }
        int fd =
            MHD_get_connection_info(p->conn, MHD_CONNECTION_INFO_CONNECTION_FD)
                ->connect_fd;
        ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
            p->drop_connection = true;
            p->ended = true;
            p->complete = false;
            resume_connection(p);
        }
    }
}

void
fh_run_once(struct fh *h, int wait_ms)
{
    MHD_UNSIGNED_LONG_LONG mhd_ms;
    int64_t wait_us = (int64_t)wait_ms * 1000;
    int64_t now = fh_now_us();
    struct timer *t = first_timer(h);
    if (t && t->due - now < wait_us) {
        wait_us = t->due > now ? t->due - now : 0;
    }
    if (wait_us > SWEEP_INTERVAL_US) {
        wait_us = SWEEP_INTERVAL_US;
    }
    if (MHD_get_timeout(h->daemon, &mhd_ms) == MHD_YES &&
        (int64_t)mhd_ms * 1000 < wait_us) {
        wait_us = (int64_t)mhd_ms * 1000;
    }
    /* A resumed connection does not make the epoll set of MHD readable. */
    if (h->has_resumed) {
        wait_us = 0;
    }
    /* The epoll set of MHD is edge-triggered: only MHD may read its events. */
    struct pollfd fd = {.fd = h->epfd, .events = POLLIN};
    struct timespec ts = {wait_us / 1000000, wait_us % 1000000 * 1000};
    ppoll(&fd, 1, &ts, NULL);
    run_timers(h);
    /* Sends the responses of timers at once: MHD does not signal its epoll set
     * for them, so that the next wait would delay them until it ends. */
    h->has_resumed = false;
    MHD_run(h->daemon);
    if (now >= h->next_sweep) {
        h->next_sweep = now + SWEEP_INTERVAL_US;
        sweep(h);
    }
}

static volatile sig_atomic_t ended;

static void
on_signal(int sig)
{
    (void)sig;
    ended = 1;
}

int
fh_serve(struct fh *h)
{
    struct sigaction sa = {.sa_handler = on_signal};
    sigaction(SIGTERM, &sa, NULL);
    sigaction(SIGINT, &sa, NULL);
    signal(SIGPIPE, SIG_IGN);
    printf("listening %d\n", fh_port(h));
    fflush(stdout);
    /* A signal that arrives just before the wait is noticed after at most
     * SWEEP_INTERVAL_US. */
    while (!ended) {
        fh_run_once(h, 1000);
    }
    fh_free(h);
    return 0;
}

const char *
fh_request_header(const struct fh_req *r, const char *name)
{
    return MHD_lookup_connection_value(r->priv->conn, MHD_HEADER_KIND, name);
}

const char *
fh_query_argument(const struct fh_req *r, const char *name)
{
    return MHD_lookup_connection_value(r->priv->conn, MHD_GET_ARGUMENT_KIND,
                                       name);
}

void
fh_add_header(struct fh_req *r, const char *name, const char *value)
{
    g_ptr_array_add(r->priv->headers, g_strdup(name));
    g_ptr_array_add(r->priv->headers, g_strdup(value));
}

static void
answer(struct fh_req_priv *p, int status, const char *type,
       struct MHD_Response *response)
{
    GPtrArray *hs = p->headers;
    if (p->status || p->drop_connection) {
        MHD_destroy_response(response);
        return;
    }
    if (type) {
        MHD_add_response_header(response, "Content-Type", type);
    }
    for (guint i = 0; i + 1 < hs->len; i += 2) {
        MHD_add_response_header(response, hs->pdata[i], hs->pdata[i + 1]);
    }
    p->response = response;
    p->status = status;
    if (!is_silenced(p)) {
        resume_connection(p);
    }
}

void
fh_reply(struct fh_req *r, int status, const char *type, struct str body)
{
    answer(r->priv, status, type,
           MHD_create_response_from_buffer(body.len, (void *)body.ptr,
                                           MHD_RESPMEM_MUST_COPY));
}

void
fh_reply_json(struct fh_req *r, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    fh_reply(r, status, "application/json", str_from_cstr(text));
    free(text);
}

static ssize_t
read_truncated(void *cls, uint64_t pos, char *to, size_t max)
{
    struct fh_req_priv *p = cls;
    if (pos >= p->truncate_at) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    size_t n = p->truncate_at - (size_t)pos < max
                   ? p->truncate_at - (size_t)pos
                   : max;
    memcpy(to, p->out.ptr + pos, n);
    return (ssize_t)n;
}

void
fh_reply_truncated(struct fh_req *r, int status, struct str body)
{
    struct fh_req_priv *p = r->priv;
    buf_append_str(&p->out, body);
    p->truncate_at = body.len / 2;
    answer(p, status, "application/json",
           MHD_create_response_from_callback(body.len, 4096, read_truncated, p,
                                             NULL));
}

void
fh_drop_connection(struct fh_req *r)
{
    struct fh_req_priv *p = r->priv;
    p->drop_connection = true;
    resume_connection(p);
}

static ssize_t
read_stream(void *cls, uint64_t pos, char *to, size_t max)
{
    struct fh_req_priv *p = cls;
    (void)pos;
    if (is_silenced(p) && !p->drop_connection) {
        hold(p);
        return 0;
    }
    size_t left = p->out.len - p->sent;
    if (left) {
        size_t n = left < max ? left : max;
        memcpy(to, p->out.ptr + p->sent, n);
        p->sent += n;
        if (p->sent == p->out.len) {
            buf_clear(&p->out);
            p->sent = 0;
        }
        return (ssize_t)n;
    }
    if (p->ended || p->req.h->stopping) {
        return p->complete ? MHD_CONTENT_READER_END_OF_STREAM
                           : MHD_CONTENT_READER_END_WITH_ERROR;
    }
    hold(p);
    return 0;
}

void
fh_stream_begin(struct fh_req *r, const char *type)
{
    struct fh_req_priv *p = r->priv;
    p->streaming = true;
    answer(p, 200, type,
           MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 4096,
                                             read_stream, p, NULL));
}

void
fh_stream_write(struct fh_req *r, struct str bytes)
{
    buf_append_str(&r->priv->out, bytes);
    if (!is_silenced(r->priv)) {
        resume_connection(r->priv);
    }
}

void
fh_stream_end(struct fh_req *r, bool complete)
{
    r->priv->ended = true;
    r->priv->complete = complete;
    if (!is_silenced(r->priv)) {
        resume_connection(r->priv);
    }
}

void
fh_silence_connections(struct fh *h)
{
    h->silenced_up_to = h->next_serial;
}

static void
usage(const char *program, const char *what, const struct fh_option *opts,
      int count)
{
    fprintf(stderr, "usage: %s [--OPTION VALUE]...\n%s\n", program, what);
    for (int i = 0; i < count; i++) {
        fprintf(stderr, "  --%-18s %s\n", opts[i].name, opts[i].help);
    }
    exit(2);
}

void
fh_options(int argc, char **argv, const char *what,
           const struct fh_option *opts, int count)
{
    for (int a = 1; a < argc; a += 2) {
        int i = 0;
        while (i < count && (strncmp(argv[a], "--", 2) != 0 ||
                             strcmp(argv[a] + 2, opts[i].name) != 0)) {
            i++;
        }
        if (i == count || a + 1 >= argc) {
            usage(argv[0], what, opts, count);
        }
        char *end = "";
        if (opts[i].i) {
            *opts[i].i = strtoll(argv[a + 1], &end, 10);
        }
        else if (opts[i].d) {
            *opts[i].d = strtod(argv[a + 1], &end);
        }
        else {
            *opts[i].s = argv[a + 1];
        }
        if (*end) {
            usage(argv[0], what, opts, count);
        }
    }
}
