/* Guards against connections that are closed before the request is sent being
 * reported as if no connection had been made in time. */
#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/relay.h"

#define CALLS 200
#define TIMEOUT_MS 2000

/* Closes each connection with a reset as soon as it is made, like a process
 * that ends. */
struct closing_server {
    int fd;
    int port;
    pthread_t thread;
    _Atomic bool stop;
};

static void *
close_connections(void *arg)
{
    struct closing_server *s = arg;
    struct linger reset = {1, 0};
    while (!atomic_load(&s->stop)) {
        int fd = accept(s->fd, NULL, NULL);
        if (fd >= 0) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            close(fd);
        }
    }
    return NULL;
}

static void
server_open(struct closing_server *s)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    struct timeval wait = {0, 100000};
    socklen_t len = sizeof(a);
    memset(s, 0, sizeof(*s));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    s->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(s->fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    g_assert_cmpint(bind(s->fd, (struct sockaddr *)&a, sizeof(a)), ==, 0);
    g_assert_cmpint(listen(s->fd, 16), ==, 0);
    getsockname(s->fd, (struct sockaddr *)&a, &len);
    s->port = ntohs(a.sin_port);
    pthread_create(&s->thread, NULL, close_connections, s);
}

static void
server_close(struct closing_server *s)
{
    atomic_store(&s->stop, true);
    pthread_join(s->thread, NULL);
    close(s->fd);
}

struct outcome {
    bool ended;
    enum relay_result result;
};

static void
on_head(void *ctx, uint64_t id, const struct relay_response_head *head)
{
    (void)ctx;
    (void)id;
    (void)head;
}

static void
on_bytes(void *ctx, uint64_t id, struct str bytes)
{
    (void)ctx;
    (void)id;
    (void)bytes;
}

static void
on_end(void *ctx, uint64_t id, enum relay_result result)
{
    struct outcome *o = ctx;
    (void)id;
    *o = (struct outcome){true, result};
}

static void
test_closed_while_connecting(void)
{
    struct closing_server s;
    struct outcome o;
    int counts[RELAY_TIMEOUT + 1] = {0};
    char address[32];
    struct loop *l = loop_new();
    struct relay *r =
        relay_new(l, (struct relay_callbacks){&o, on_head, on_bytes, on_end});
    server_open(&s);
    snprintf(address, sizeof(address), "127.0.0.1:%d", s.port);
    for (int i = 1; i <= CALLS; i++) {
        struct relay_call call = {.id = (uint64_t)i,
                                  .address = str_from_cstr(address),
                                  .method = STR_LIT("GET"),
                                  .target = STR_LIT("/"),
                                  .new_connection = true,
                                  .connect_timeout_ms = TIMEOUT_MS,
                                  .timeout_ms = TIMEOUT_MS};
        o.ended = false;
        relay_start_call(r, &call);
        while (!o.ended) {
            relay_process_events(r, loop_now_us());
            loop_run_once(l, relay_next_wakeup_us(r));
        }
        counts[o.result]++;
    }
    g_test_message("%d not sent, %d closed, %d incomplete",
                   counts[RELAY_NOT_SENT], counts[RELAY_CLOSED_UNSENT],
                   counts[RELAY_INCOMPLETE]);
    server_close(&s);
    relay_free(r);
    loop_free(l);
    g_assert_cmpint(counts[RELAY_CLOSED_UNSENT] + counts[RELAY_INCOMPLETE], ==,
                    CALLS);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/relay/closed-while-connecting",
                    test_closed_while_connecting);
    return g_test_run();
}
