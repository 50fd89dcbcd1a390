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

#define TIME_LIMIT_NS 60000000000LL

struct connection {
    int fd;
    int64_t sent_ns;
    struct buf input;
};

static int64_t
now_ns(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return ts.tv_sec * 1000000000LL + ts.tv_nsec;
}

static bool
connect_to_port(struct connection *c, int port)
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
send_request(struct connection *c, struct str request)
{
    buf_clear(&c->input);
    c->sent_ns = now_ns();
    send(c->fd, request.ptr, request.len, MSG_NOSIGNAL);
}

/* @return length of the complete response, 0 while it is incomplete */
static size_t
response_length(const struct buf *input)
{
    const char *head_end = input->len ? strstr(input->ptr, "\r\n\r\n") : NULL;
    const char *length =
        head_end ? strcasestr(input->ptr, "\r\nContent-Length:") : NULL;
    if (!length || length > head_end) {
        return 0;
    }
    size_t n =
        (size_t)(head_end + 4 - input->ptr) + strtoul(length + 17, NULL, 10);
    return input->len >= n ? n : 0;
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
    struct connection *conns =
        mem_calloc((size_t)l->connections, sizeof(*conns));
    int64_t *latencies_ns =
        mem_calloc((size_t)l->requests, sizeof(*latencies_ns));
    int epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    int done = 0;
    int64_t begin_ns = now_ns();
    int64_t measure_start_ns = begin_ns;
    for (int i = 0; i < l->connections; i++) {
        struct epoll_event ev = {.events = EPOLLIN, .data.ptr = &conns[i]};
        if (!connect_to_port(&conns[i], l->port)) {
            r.failures++;
            continue;
        }
        epoll_ctl(epoll_fd, EPOLL_CTL_ADD, conns[i].fd, &ev);
        send_request(&conns[i], l->request);
    }
    while (done < l->warm_up_requests + l->requests &&
           r.failures < l->connections + 100 &&
           now_ns() - begin_ns < TIME_LIMIT_NS) {
        struct epoll_event ready[64];
        int n = epoll_wait(epoll_fd, ready, 64, 1000);
        for (int i = 0; i < n; i++) {
            struct connection *c = ready[i].data.ptr;
            char chunk[16384];
            ssize_t received = read(c->fd, chunk, sizeof(chunk));
            if (received <= 0) {
                r.failures += errno != EAGAIN || received == 0;
                if (received == 0) {
                    epoll_ctl(epoll_fd, EPOLL_CTL_DEL, c->fd, NULL);
                }
                continue;
            }
            buf_append(&c->input, chunk, (size_t)received);
            if (!response_length(&c->input)) {
                continue;
            }
            int64_t now = now_ns();
            r.failures += strncmp(c->input.ptr, "HTTP/1.1 200", 12) != 0;
            if (done >= l->warm_up_requests &&
                done < l->warm_up_requests + l->requests) {
                latencies_ns[done - l->warm_up_requests] = now - c->sent_ns;
            }
            if (++done == l->warm_up_requests) {
                measure_start_ns = now;
            }
            send_request(c, l->request);
        }
    }
    int64_t end_ns = now_ns();
    int measured = done - l->warm_up_requests;
    if (measured > 0) {
        measured = measured < l->requests ? measured : l->requests;
        qsort(latencies_ns, (size_t)measured, sizeof(*latencies_ns), compare);
        r.p50_ns = latencies_ns[measured / 2];
        r.p99_ns = latencies_ns[measured * 99L / 100];
        r.requests_per_s =
            measured * 1e9 / (double)(end_ns - measure_start_ns);
    }
    for (int i = 0; i < l->connections; i++) {
        close(conns[i].fd);
        buf_free(&conns[i].input);
    }
    close(epoll_fd);
    free(conns);
    free(latencies_ns);
    return r;
}
