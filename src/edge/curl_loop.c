#include "edge/curl_loop.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/str.h"

/* A socket of libcurl that is registered in the epoll loop. */
struct socket_watch {
    struct curl_loop *owner;
    curl_socket_t fd;
    uint32_t events;
    bool idle; /* no transfer uses the connection */
    struct loop_source *source;
};

struct curl_loop {
    struct loop *loop;
    CURLM *multi;
    int64_t timer_due_us; /* monotonic; INT64_MAX: no time-out is pending */
    GPtrArray *sockets;   /* of struct socket_watch; indexed by descriptor */
    void (*done)(void *ctx, CURL *easy, CURLcode rc);
    void (*progress)(void *ctx);
    void *ctx;
};

static void on_socket_ready(void *ctx, uint32_t events);

static struct socket_watch *
watch_of(struct curl_loop *c, curl_socket_t fd)
{
    if ((guint)fd >= c->sockets->len) {
        g_ptr_array_set_size(c->sockets, fd + 64);
    }
    return g_ptr_array_index(c->sockets, fd);
}

static void
remove_watch(struct curl_loop *c, curl_socket_t fd)
{
    struct socket_watch *w = watch_of(c, fd);
    if (w) {
        loop_remove(c->loop, w->source);
        free(w);
        g_ptr_array_index(c->sockets, fd) = NULL;
    }
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *unused)
{
    struct curl_loop *c = ctx;
    struct socket_watch *w = watch_of(c, fd);
    (void)easy;
    (void)unused;
    if (what == CURL_POLL_REMOVE) {
        if (w) {
            w->idle = true;
        }
        return 0;
    }
    uint32_t events = (what & CURL_POLL_IN ? EPOLLIN : 0) |
                      (what & CURL_POLL_OUT ? EPOLLOUT : 0);
    if (!w) {
        w = mem_calloc(1, sizeof(*w));
        w->owner = c;
        w->fd = fd;
        w->source = loop_add(c->loop, fd, events, on_socket_ready, w);
        g_ptr_array_index(c->sockets, fd) = w;
    }
    else if (w->events != events) {
        loop_modify(c->loop, w->source, events);
    }
    w->events = events;
    w->idle = false;
    return 0;
}

static int
on_close(void *ctx, curl_socket_t fd)
{
    remove_watch(ctx, fd);
    return close(fd);
}

static int
on_timer(CURLM *multi, long ms, void *ctx)
{
    struct curl_loop *c = ctx;
    (void)multi;
    c->timer_due_us = ms < 0 ? INT64_MAX : loop_now_us() + ms * 1000LL;
    return 0;
}

/* Reports progress and the finished transfers to the owner. */
static void
collect(struct curl_loop *c)
{
    CURLMsg *m;
    int left;
    if (c->progress) {
        c->progress(c->ctx);
    }
    while ((m = curl_multi_info_read(c->multi, &left))) {
        if (m->msg == CURLMSG_DONE) {
            c->done(c->ctx, m->easy_handle, m->data.result);
        }
    }
}

static void
on_socket_ready(void *ctx, uint32_t events)
{
    struct socket_watch *w = ctx;
    struct curl_loop *c = w->owner;
    int running;
    if (w->idle) {
        /* The peer closed the connection or sent bytes that no transfer
         * waits for. libcurl detects this before it reuses the
         * connection. */
        remove_watch(c, w->fd);
        return;
    }
    int mask = (events & EPOLLIN ? CURL_CSELECT_IN : 0) |
               (events & EPOLLOUT ? CURL_CSELECT_OUT : 0) |
               (events & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);
    curl_multi_socket_action(c->multi, w->fd, mask, &running);
    collect(c);
}

void
curl_loop_process_events(struct curl_loop *c, int64_t now_us)
{
    if (c->timer_due_us <= now_us) {
        int running;
        c->timer_due_us = INT64_MAX;
        curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
    collect(c);
}

int64_t
curl_loop_next_wakeup_us(const struct curl_loop *c)
{
    return c->timer_due_us;
}

void
curl_loop_set_options(struct curl_loop *c, CURL *e)
{
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(e, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, on_close);
    curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, c);
}

CURLMcode
curl_loop_add(struct curl_loop *c, CURL *easy)
{
    return curl_multi_add_handle(c->multi, easy);
}

void
curl_loop_remove(struct curl_loop *c, CURL *easy)
{
    curl_multi_remove_handle(c->multi, easy);
}

struct curl_loop *
curl_loop_new(struct loop *l, long max_idle_connections,
              void (*done)(void *ctx, CURL *easy, CURLcode rc),
              void (*progress)(void *ctx), void *ctx)
{
    struct curl_loop *c = mem_calloc(1, sizeof(*c));
    c->loop = l;
    c->done = done;
    c->progress = progress;
    c->ctx = ctx;
    c->timer_due_us = INT64_MAX;
    c->sockets = g_ptr_array_new();
    c->multi = curl_multi_init();
    curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
    curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, on_timer);
    curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
    curl_multi_setopt(c->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
    curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS, max_idle_connections);
    return c;
}

void
curl_loop_free(struct curl_loop *c)
{
    if (c) {
        curl_multi_cleanup(c->multi);
        g_ptr_array_free(c->sockets, TRUE);
        free(c);
    }
}
