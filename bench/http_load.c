#include "bench/http_load.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define LIMIT_NS 60000000000LL

struct conn {
    int fd;
    int64_t sent_ns;
    struct buf in;
};

static int64_t
now_ns(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return ts.tv_sec * 1000000000LL + ts.tv_nsec;
}

static bool
dial(struct conn *c, int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int one = 1;
    c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(c->fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        return false;
    }
    setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    fcntl(c->fd, F_SETFL, O_NONBLOCK);
    return true;
}

static void
fire(struct conn *c, struct str request)
{
    buf_clear(&c->in);
    c->sent_ns = now_ns();
    send(c->fd, request.ptr, request.len, MSG_NOSIGNAL);
}

/* @return length of the whole answer, 0 while it is incomplete */
static size_t
whole(const struct buf *in)
{
    const char *end = in->len ? strstr(in->ptr, "\r\n\r\n") : NULL;
    const char *length =
        end ? strcasestr(in->ptr, "\r\nContent-Length:") : NULL;
    if (!length || length > end) {
        return 0;
    }
    size_t n = (size_t)(end + 4 - in->ptr) + strtoul(length + 17, NULL, 10);
    return in->len >= n ? n : 0;
}

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

struct http_load_result
http_load_run(const struct http_load *l)
{
    struct http_load_result r = {0};
    struct conn *conns = mem_zero((size_t)l->connections, sizeof(*conns));
    int64_t *times = mem_zero((size_t)l->requests, sizeof(*times));
    int ep = epoll_create1(EPOLL_CLOEXEC);
    int done = 0;
    int64_t begin = now_ns();
    int64_t start = begin;
    for (int i = 0; i < l->connections; i++) {
        struct epoll_event ev = {.events = EPOLLIN, .data.ptr = &conns[i]};
        if (!dial(&conns[i], l->port)) {
            r.bad++;
            continue;
        }
        epoll_ctl(ep, EPOLL_CTL_ADD, conns[i].fd, &ev);
        fire(&conns[i], l->request);
    }
    while (done < l->warm_up + l->requests && r.bad < l->connections + 100 &&
           now_ns() - begin < LIMIT_NS) {
        struct epoll_event evs[64];
        int n = epoll_wait(ep, evs, 64, 1000);
        for (int i = 0; i < n; i++) {
            struct conn *c = evs[i].data.ptr;
            char piece[16384];
            ssize_t got = read(c->fd, piece, sizeof(piece));
            if (got <= 0) {
                r.bad += errno != EAGAIN || got == 0;
                if (got == 0) {
                    epoll_ctl(ep, EPOLL_CTL_DEL, c->fd, NULL);
                }
                continue;
            }
            buf_append(&c->in, piece, (size_t)got);
            if (!whole(&c->in)) {
                continue;
            }
            int64_t now = now_ns();
            r.bad += strncmp(c->in.ptr, "HTTP/1.1 200", 12) != 0;
            if (done >= l->warm_up && done < l->warm_up + l->requests) {
                times[done - l->warm_up] = now - c->sent_ns;
            }
            if (++done == l->warm_up) {
                start = now;
            }
            fire(c, l->request);
        }
    }
    int64_t end = now_ns();
    int measured = done - l->warm_up;
    if (measured > 0) {
        measured = measured < l->requests ? measured : l->requests;
        qsort(times, (size_t)measured, sizeof(*times), compare);
        r.p50_ns = times[measured / 2];
        r.p99_ns = times[measured * 99L / 100];
        r.per_s = measured * 1e9 / (double)(end - start);
    }
    for (int i = 0; i < l->connections; i++) {
        close(conns[i].fd);
        buf_free(&conns[i].in);
    }
    close(ep);
    free(conns);
    free(times);
    return r;
}
