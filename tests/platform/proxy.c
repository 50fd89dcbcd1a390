#include "tests/platform/proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/str.h"
#include "edge/loop.h"

#define POLL_TIMEOUT_MS 10
#define DELAY_US 150000
#define CHUNK 16384
/* Bytes that a slow connection forwards at a time, and how much time it makes
 * up for after a turn that came late. */
#define SLOW_CHUNK 4096
#define SLOW_BURST_US 20000
/* Maximum number of buffered bytes per direction; beyond it the sender has to
 * wait. */
#define BUFFER_MAX_BYTES 65536

/* One direction of a connection. */
struct half_connection {
    int from;
    int to;
    struct buf buffer;
    int64_t due_us;  /* when to forward the buffered bytes */
    int bytes_per_s; /* 0: no limit */
    bool ended;
};

struct proxied_connection {
    struct half_connection up; /* client to target */
    struct half_connection down;
    bool silent;
    bool lost; /* data from the target was discarded */
    bool closed;
};

struct proxy {
    pthread_t thread;
    int listener;
    int port;
    int target;
    _Atomic int fault;
    _Atomic int resets;
    _Atomic int bytes_per_s;
    int last_resets;
    int last_fault;
    _Atomic int stop;
    GPtrArray *connections;
};

static int
listen_any(int *port)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    socklen_t len = sizeof(a);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&a, sizeof(a)), ==, 0);
    g_assert_cmpint(listen(fd, 256), ==, 0);
    getsockname(fd, (struct sockaddr *)&a, &len);
    *port = ntohs(a.sin_port);
    return fd;
}

static void
close_connection(struct proxied_connection *p, bool reset)
{
    struct linger l = {1, 0};
    int fds[] = {p->up.from, p->down.from};
    for (int i = 0; i < 2; i++) {
        if (reset) {
            setsockopt(fds[i], SOL_SOCKET, SO_LINGER, &l, sizeof(l));
        }
        close(fds[i]);
    }
    buf_free(&p->up.buffer);
    buf_free(&p->down.buffer);
    p->closed = true;
}

static void
accept_connection(struct proxy *x, int fault)
{
    int fd = accept4(x->listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd < 0) {
        return;
    }
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)x->target)};
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fault == PROXY_REFUSE ||
        connect(to, (struct sockaddr *)&a, sizeof(a)) != 0) {
        struct linger l = {1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
        close(fd);
        close(to);
        return;
    }
    fcntl(to, F_SETFL, O_NONBLOCK);
    struct proxied_connection *p = mem_calloc(1, sizeof(*p));
    p->up.from = p->down.to = fd;
    p->up.to = p->down.from = to;
    g_ptr_array_add(x->connections, p);
}

/* Reads the available bytes. @return false if the connection has failed */
static bool
fill(struct half_connection *p, int64_t now_us, bool delayed)
{
    char chunk[CHUNK];
    while (!p->ended && p->buffer.len < BUFFER_MAX_BYTES) {
        ssize_t n = recv(p->from, chunk, sizeof(chunk), 0);
        if (n == 0) {
            p->ended = true;
        }
        if (n <= 0) {
            return n == 0 || errno == EAGAIN || errno == EINTR;
        }
        if (p->buffer.len == 0) {
            p->due_us = MAX(p->due_us, now_us + (delayed ? DELAY_US : 0));
        }
        buf_append(&p->buffer, chunk, (size_t)n);
    }
    return true;
}

static bool
send_due_bytes(struct half_connection *p, int64_t now_us)
{
    while (p->buffer.len > 0 && now_us >= p->due_us) {
        size_t len = p->bytes_per_s > 0 ? MIN(p->buffer.len, SLOW_CHUNK)
                                        : p->buffer.len;
        ssize_t n = send(p->to, p->buffer.ptr, len, MSG_NOSIGNAL);
        if (n <= 0) {
            return n < 0 && (errno == EAGAIN || errno == EINTR);
        }
        memmove(p->buffer.ptr, p->buffer.ptr + n, p->buffer.len - (size_t)n);
        p->buffer.len -= (size_t)n;
        if (p->bytes_per_s > 0) {
            p->due_us = MAX(p->due_us, now_us - SLOW_BURST_US) +
                        n * 1000000 / p->bytes_per_s;
        }
    }
    if (p->ended && p->buffer.len == 0) {
        shutdown(p->to, SHUT_WR);
    }
    return true;
}

static void
serve(struct proxied_connection *p, int fault, int bytes_per_s, int64_t now_us)
{
    bool delayed = fault == PROXY_DELAY;
    if (p->silent) {
        return;
    }
    p->down.bytes_per_s = bytes_per_s;
    bool ok = fill(&p->up, now_us, delayed) && send_due_bytes(&p->up, now_us);
    ok = ok && fill(&p->down, now_us, delayed);
    /* TCP delivers nothing after a gap. */
    p->lost |= fault == PROXY_ONE_WAY && p->down.buffer.len > 0;
    if (p->lost) {
        p->down.buffer.len = 0;
    }
    ok = ok && send_due_bytes(&p->down, now_us);
    if (!ok) {
        close_connection(p, true);
    }
    else if (p->up.ended && p->down.ended && p->up.buffer.len == 0 &&
             p->down.buffer.len == 0) {
        close_connection(p, false);
    }
}

static void
sweep(struct proxy *x)
{
    for (guint i = 0; i < x->connections->len;) {
        struct proxied_connection *p = g_ptr_array_index(x->connections, i);
        if (p->closed) {
            free(p);
            g_ptr_array_remove_index_fast(x->connections, i);
        }
        else {
            i++;
        }
    }
}

static void
wait_for_bytes(const struct proxy *x)
{
    struct pollfd *fds = mem_calloc(2 * x->connections->len + 1, sizeof(*fds));
    nfds_t n = 0;
    fds[n++] = (struct pollfd){x->listener, POLLIN, 0};
    for (guint i = 0; i < x->connections->len; i++) {
        const struct proxied_connection *p =
            g_ptr_array_index(x->connections, i);
        if (!p->silent && !p->up.ended) {
            fds[n++] = (struct pollfd){p->up.from, POLLIN, 0};
        }
        if (!p->silent && !p->down.ended &&
            p->down.buffer.len < BUFFER_MAX_BYTES) {
            fds[n++] = (struct pollfd){p->down.from, POLLIN, 0};
        }
    }
    poll(fds, n, POLL_TIMEOUT_MS);
    free(fds);
}

static void *
run(void *ctx)
{
    struct proxy *x = ctx;
    while (!atomic_load(&x->stop)) {
        wait_for_bytes(x);
        int fault = atomic_load(&x->fault);
        int resets = atomic_load(&x->resets);
        accept_connection(x, fault);
        for (guint i = 0; i < x->connections->len; i++) {
            struct proxied_connection *p =
                g_ptr_array_index(x->connections, i);
            if (resets != x->last_resets) {
                close_connection(p, true);
                continue;
            }
            p->silent |= fault == PROXY_SILENCE && fault != x->last_fault;
            serve(p, fault, atomic_load(&x->bytes_per_s), loop_now_us());
        }
        x->last_resets = resets;
        x->last_fault = fault;
        sweep(x);
    }
    return NULL;
}

struct proxy *
proxy_new(int target)
{
    struct proxy *x = mem_calloc(1, sizeof(*x));
    x->target = target;
    x->connections = g_ptr_array_new();
    x->listener = listen_any(&x->port);
    pthread_create(&x->thread, NULL, run, x);
    return x;
}

void
proxy_free(struct proxy *x)
{
    atomic_store(&x->stop, 1);
    pthread_join(x->thread, NULL);
    for (guint i = 0; i < x->connections->len; i++) {
        struct proxied_connection *p = g_ptr_array_index(x->connections, i);
        close_connection(p, true);
        free(p);
    }
    g_ptr_array_free(x->connections, TRUE);
    close(x->listener);
    free(x);
}

int
proxy_port(const struct proxy *x)
{
    return x->port;
}

void
proxy_set_fault(struct proxy *x, enum proxy_fault fault)
{
    atomic_store(&x->fault, (int)fault);
}

void
proxy_set_speed(struct proxy *x, int bytes_per_s)
{
    atomic_store(&x->bytes_per_s, bytes_per_s);
}

void
proxy_reset_connections(struct proxy *x)
{
    atomic_fetch_add(&x->resets, 1);
}
