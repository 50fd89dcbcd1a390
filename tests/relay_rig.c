#include "tests/relay_rig.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

int
listen_on_port(int backlog, int *port)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    struct timeval wait = {0, 100000};
    socklen_t len = sizeof(a);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    g_assert_cmpint(bind(fd, (struct sockaddr *)&a, sizeof(a)), ==, 0);
    g_assert_cmpint(listen(fd, backlog), ==, 0);
    getsockname(fd, (struct sockaddr *)&a, &len);
    *port = ntohs(a.sin_port);
    return fd;
}

void
server_open(struct test_server *s, void *(*run)(void *arg))
{
    memset(s, 0, sizeof(*s));
    s->fd = listen_on_port(16, &s->port);
    pthread_create(&s->thread, NULL, run, s);
}

int
server_accept(struct test_server *s)
{
    int fd = -1;
    while (fd < 0 && !atomic_load(&s->stop)) {
        fd = accept(s->fd, NULL, NULL);
    }
    return fd;
}

void
server_close(struct test_server *s)
{
    atomic_store(&s->stop, true);
    pthread_join(s->thread, NULL);
    close(s->fd);
}

static void
on_head(void *ctx, uint64_t id, const struct relay_response_head *head)
{
    struct outcome *o = ctx;
    (void)id;
    o->status = head->status;
}

void
ignore_head(void *ctx, uint64_t id, const struct relay_response_head *head)
{
    (void)ctx;
    (void)id;
    (void)head;
}

void
ignore_bytes(void *ctx, uint64_t id, struct str bytes)
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
    o->ended = true;
    o->result = result;
}

void
client_open(struct client *c)
{
    memset(c, 0, sizeof(*c));
    c->loop = loop_new();
    c->relay = relay_new(
        c->loop,
        (struct relay_callbacks){&c->outcome, on_head, ignore_bytes, on_end},
        IDLE_CONNECTIONS);
}

void
client_close(struct client *c)
{
    relay_free(c->relay);
    loop_free(c->loop);
}

enum relay_result
client_run(struct client *c, int port, struct relay_call *call)
{
    char address[32];
    snprintf(address, sizeof(address), "127.0.0.1:%d", port);
    call->id = ++c->last_call;
    call->address = str_from_cstr(address);
    c->outcome = (struct outcome){0};
    relay_start_call(c->relay, call);
    for (;;) {
        relay_process_events(c->relay, loop_now_us());
        if (c->outcome.ended) {
            break;
        }
        loop_run_once(c->loop, relay_next_wakeup_us(c->relay));
    }
    return c->outcome.result;
}
