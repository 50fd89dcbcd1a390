#include "edge/curl_loop.h"

#include <errno.h>
#include <glib.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "base/str.h"

/* Limit on the bytes of a response that are neither header nor body. libcurl
 * skips the extension of a chunk size without a limit. The smallest chunk has
 * five bytes of framing for one byte of body, and an incomplete header line,
 * which libcurl limits to 100 KiB, is not counted as header yet. */
#define FRAMING_MAX_BYTES (128 * 1024)
#define READ_PER_USED_BYTE_MAX 16

/* libcurl loses a time-out that is due 1 ms after another one of the same
 * transfer, so time-outs that are closer than this are merged. */
#define TIMEOUT_DISTANCE_MS 5
/* Addresses are numeric, so no second address is ever tried. */
#define HAPPY_EYEBALLS_MS 3600000L
/* The default of libcurl, 300 s, which is not reached. */
#define CONNECT_TIMEOUT_DEFAULT 0L

/* A socket of libcurl that is registered in the epoll loop. */
struct socket_watch {
    struct curl_loop *owner;
    curl_socket_t fd;
    uint32_t events;
    bool idle;           /* no transfer uses the connection */
    CURL *easy;          /* the latest transfer */
    int64_t read_before; /* read_bytes when it began */
    int64_t used_before; /* used_bytes when it began */
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

/* Bytes of headers and body that a transfer has got so far. */
static int64_t
used_bytes(CURL *easy)
{
    curl_off_t body = 0;
    long headers = 0;
    curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &body);
    curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &headers);
    return body + headers;
}

/* Bytes that libcurl has read from a connection. */
static int64_t
read_bytes(curl_socket_t fd)
{
    struct tcp_info info = {0};
    socklen_t len = sizeof(info);
    int queued = 0;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0 ||
        ioctl(fd, FIONREAD, &queued) != 0) {
        LOG_EVENT(LOG_WARN, "socket_query_failed",
                  LOG_CSTR("error", g_strerror(errno)));
        return 0;
    }
    return (int64_t)info.tcpi_bytes_received - queued;
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *unused)
{
    struct curl_loop *c = ctx;
    struct socket_watch *w = watch_of(c, fd);
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
    if (w->idle || w->easy != easy) {
        w->easy = easy;
        w->read_before = read_bytes(fd);
        w->used_before = used_bytes(easy);
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

/* libcurl does not call on_close for a socket whose connection failed, and the
 * kernel removes a closed socket from epoll. Its watch must not be taken for
 * that of a new socket with the same descriptor. */
static curl_socket_t
on_open(void *ctx, curlsocktype purpose, struct curl_sockaddr *address)
{
    struct curl_loop *c = ctx;
    (void)purpose;
    int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                    address->protocol);
    if (fd < 0) {
        LOG_EVENT(LOG_WARN, "socket_failed",
                  LOG_CSTR("error", g_strerror(errno)));
        return CURL_SOCKET_BAD;
    }
    remove_watch(c, fd);
    return fd;
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

/* Ends the transfer on a socket if most of what it receives is neither header
 * nor body. */
static void
check_framing(struct curl_loop *c, curl_socket_t fd)
{
    const struct socket_watch *w = watch_of(c, fd);
    if (!w || w->idle) {
        return;
    }
    int64_t read = read_bytes(fd) - w->read_before;
    if (read <= FRAMING_MAX_BYTES) {
        return;
    }
    int64_t used = used_bytes(w->easy) - w->used_before;
    if (read > FRAMING_MAX_BYTES + READ_PER_USED_BYTE_MAX * used) {
        LOG_EVENT(LOG_WARN, "framing_too_long", LOG_INT("read", read),
                  LOG_INT("used", used));
        c->done(c->ctx, w->easy, CURLE_WEIRD_SERVER_REPLY);
    }
}

static void
on_socket_ready(void *ctx, uint32_t events)
{
    struct socket_watch *w = ctx;
    struct curl_loop *c = w->owner;
    curl_socket_t fd = w->fd;
    int running;
    if (w->idle) {
        /* The peer closed the connection or sent bytes that no transfer
         * waits for. libcurl detects this before it reuses the
         * connection. */
        remove_watch(c, fd);
        return;
    }
    int mask = (events & EPOLLIN ? CURL_CSELECT_IN : 0) |
               (events & EPOLLOUT ? CURL_CSELECT_OUT : 0) |
               (events & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);
    /* The watch may be freed from here on. */
    curl_multi_socket_action(c->multi, fd, mask, &running);
    if (events & EPOLLIN) {
        check_framing(c, fd);
    }
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
    curl_easy_setopt(e, CURLOPT_HAPPY_EYEBALLS_TIMEOUT_MS, HAPPY_EYEBALLS_MS);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(e, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(e, CURLOPT_OPENSOCKETFUNCTION, on_open);
    curl_easy_setopt(e, CURLOPT_OPENSOCKETDATA, c);
    curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, on_close);
    curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, c);
}

void
curl_loop_set_timeouts(CURL *e, int64_t connect_ms, int64_t total_ms)
{
    int64_t total = total_ms > 0 ? total_ms : 1;
    bool limits_connecting = connect_ms + TIMEOUT_DISTANCE_MS < total;
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
                     limits_connecting ? (long)connect_ms
                                       : CONNECT_TIMEOUT_DEFAULT);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)total);
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
        for (guint fd = 0; fd < c->sockets->len; fd++) {
            remove_watch(c, (curl_socket_t)fd);
        }
        g_ptr_array_free(c->sockets, TRUE);
        free(c);
    }
}
