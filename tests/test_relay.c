/* Guards against connections that are closed before the request is sent being
 * reported as if no connection had been made in time, against responses that
 * are read too late on a connection that follows a failed one, and against
 * large responses that are cut although they make progress. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/relay_rig.h"

#define CALLS 200
#define TIMEOUT_MS 2000
#define SHORT_TIMEOUT_MS 100
#define TIMEOUT_ROUNDS 6
/* Connections that fill the queue of a listening socket. */
#define QUEUED_CONNECTIONS 4
/* The server responds after this time. */
#define RESPONSE_DELAY_MS 50
/* Limit on the time of a call that the server answers at once. */
#define PROMPT_US 1000000

static void
respond_to_all(int fd)
{
    static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                   "\r\nok";
    char request[4096];
    struct timeval wait = {5, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    while (recv(fd, request, sizeof(request), 0) > 0) {
        usleep(RESPONSE_DELAY_MS * 1000);
        send(fd, response, sizeof(response) - 1, MSG_NOSIGNAL);
    }
    close(fd);
}

static void *
respond_on_connections(void *arg)
{
    struct test_server *s = arg;
    while (!atomic_load(&s->stop)) {
        int fd = accept(s->fd, NULL, NULL);
        if (fd >= 0) {
            respond_to_all(fd);
        }
    }
    return NULL;
}

/* Closes each connection with a reset as soon as it is made, like a process
 * that ends. */
static void *
close_connections(void *arg)
{
    struct test_server *s = arg;
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

/* @param connect_timeout_ms also the time-out of the call */
static enum relay_result
client_call(struct client *c, int port, int64_t connect_timeout_ms,
            bool new_connection)
{
    struct relay_call call = {.method = STR_LIT("GET"),
                              .target = STR_LIT("/"),
                              .new_connection = new_connection,
                              .connect_timeout_ms = connect_timeout_ms,
                              .timeout_ms = connect_timeout_ms};
    return client_run(c, port, &call);
}

static void
test_closed_while_connecting(void)
{
    struct test_server s;
    struct client c;
    int counts[RELAY_TIMEOUT + 1] = {0};
    client_open(&c);
    server_open(&s, close_connections);
    for (int i = 1; i <= CALLS; i++) {
        counts[client_call(&c, s.port, TIMEOUT_MS, true)]++;
    }
    g_test_message("%d not sent, %d closed, %d incomplete",
                   counts[RELAY_NOT_SENT], counts[RELAY_CLOSED_UNSENT],
                   counts[RELAY_INCOMPLETE]);
    server_close(&s);
    client_close(&c);
    g_assert_cmpint(counts[RELAY_CLOSED_UNSENT] + counts[RELAY_INCOMPLETE], ==,
                    CALLS);
}

/* @return a port on which no connection can be made: its queue is full */
static int
open_full_queue(int fds[QUEUED_CONNECTIONS + 1])
{
    int port;
    fds[0] = listen_on_port(0, &port);
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port)};
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (int i = 1; i <= QUEUED_CONNECTIONS; i++) {
        fds[i] =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        int rc = connect(fds[i], (struct sockaddr *)&a, sizeof(a));
        g_assert_true(rc == 0 || errno == EINPROGRESS);
    }
    return port;
}

/* Guards against a connection whose responses are noticed only at the next
 * time-out, because its descriptor was that of a connection that failed. */
static void
test_after_failed_connection(void)
{
    enum { SILENT, REFUSED };
    static const struct {
        const char *name;
        int failure;
        bool new_connection;
    } rows[] = {
        {"no answer, then a new connection", SILENT, true},
        {"no answer, then a kept connection", SILENT, false},
        {"refused, then a new connection", REFUSED, true},
        {"refused, then a kept connection", REFUSED, false},
    };
    int fds[QUEUED_CONNECTIONS + 1];
    int refused_port;
    int silent_port = open_full_queue(fds);
    close(listen_on_port(16, &refused_port));
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct test_server s;
        struct client c;
        client_open(&c);
        server_open(&s, respond_on_connections);
        enum relay_result failed = client_call(
            &c, rows[i].failure == SILENT ? silent_port : refused_port,
            SHORT_TIMEOUT_MS, true);
        g_assert_cmpint(failed, ==,
                        rows[i].failure == SILENT ? RELAY_NOT_SENT
                                                  : RELAY_REFUSED);
        for (int k = 0; k < 2; k++) {
            int64_t start_us = loop_now_us();
            g_assert_cmpint(
                client_call(&c, s.port, TIMEOUT_MS, rows[i].new_connection),
                ==, RELAY_COMPLETE);
            int64_t took_us = loop_now_us() - start_us;
            g_test_message("%s: call %d took %d us", rows[i].name, k + 1,
                           (int)took_us);
            g_assert_cmpint(took_us, <, PROMPT_US);
        }
        client_close(&c);
        server_close(&s);
    }
    for (int i = 0; i <= QUEUED_CONNECTIONS; i++) {
        close(fds[i]);
    }
}

struct timed_calls {
    int ended;
    enum relay_result results[3];
};

static void
on_timed_end(void *ctx, uint64_t id, enum relay_result result)
{
    struct timed_calls *t = ctx;
    t->results[id - 1] = result;
    t->ended++;
}

/* Guards against a call that never ends because the time-out of the whole call
 * follows another one by 1 ms, which libcurl loses in one of five calls. */
static void
test_timeouts(void)
{
    static const struct {
        int connect_ms;
        int timeout_ms;
    } rows[] = {{5000, 201}, {300, 301}, {300, 300}, {200, 305}, {200, 211}};
    int port;
    char address[32];
    int fd = listen_on_port(16, &port);
    snprintf(address, sizeof(address), "127.0.0.1:%d", port);
    for (size_t i = 0; i < TIMEOUT_ROUNDS * G_N_ELEMENTS(rows); i++) {
        int timeout_ms = rows[i % G_N_ELEMENTS(rows)].timeout_ms;
        struct timed_calls t = {0};
        struct loop *l = loop_new();
        struct relay *r =
            relay_new(l,
                      (struct relay_callbacks){&t, ignore_head, ignore_bytes,
                                               on_timed_end},
                      IDLE_CONNECTIONS);
        for (int k = 0; k < 3; k++) {
            struct relay_call call = {
                .id = (uint64_t)k + 1,
                .address = str_from_cstr(address),
                .method = STR_LIT("GET"),
                .target = STR_LIT("/"),
                .connect_timeout_ms = rows[i % G_N_ELEMENTS(rows)].connect_ms,
                .timeout_ms = timeout_ms + 20 * k};
            relay_start_call(r, &call);
        }
        int64_t end_us = loop_now_us() + timeout_ms * 1000 + PROMPT_US;
        for (bool last = false; t.ended < 3 && !last;) {
            last = loop_now_us() >= end_us;
            relay_process_events(r, loop_now_us());
            int64_t wakeup_us = relay_next_wakeup_us(r);
            loop_run_once(l, MIN(wakeup_us, end_us));
            relay_process_events(r, loop_now_us());
        }
        g_assert_cmpint(t.ended, ==, 3);
        for (int k = 0; k < 3; k++) {
            g_assert_cmpint(t.results[k], ==, RELAY_TIMEOUT);
        }
        relay_free(r);
        loop_free(l);
        while ((port = accept(fd, NULL, NULL)) >= 0) {
            close(port);
        }
    }
    close(fd);
}

#define FIRST_BYTE_TIMEOUT_MS 300
#define STALL_TIMEOUT_MS 200
#define SLOW_BODY_BYTES 60000
#define SLOW_PAUSE_US 50000

/* How a server sends a response of SLOW_BODY_BYTES. */
struct slow_response {
    const char *name;
    int pieces; /* in which it sends the body, with a pause after each */
    int bytes;  /* that it sends; the head counts as none */
    bool sends_head;
    enum relay_result result;
    int limit_ms; /* of the time until the call ends */
};

struct slow_server {
    struct test_server server; /* first, as the thread receives it */
    const struct slow_response *response;
};

static void
respond_slowly(int fd, const struct slow_response *r, _Atomic bool *stop)
{
    char request[4096];
    char piece[SLOW_BODY_BYTES] = {0};
    recv(fd, request, sizeof(request), 0);
    if (r->sends_head) {
        int n = snprintf(request, sizeof(request),
                         "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
                         SLOW_BODY_BYTES);
        send(fd, request, (size_t)n, MSG_NOSIGNAL);
    }
    for (int i = 0; i < r->pieces && !atomic_load(stop); i++) {
        usleep(SLOW_PAUSE_US);
        send(fd, piece, (size_t)(r->bytes / r->pieces), MSG_NOSIGNAL);
    }
    while (!atomic_load(stop)) {
        usleep(SLOW_PAUSE_US);
    }
    close(fd);
}

static void *
respond_slowly_once(void *arg)
{
    struct slow_server *s = arg;
    int fd = server_accept(&s->server);
    if (fd >= 0) {
        respond_slowly(fd, s->response, &s->server.stop);
    }
    return NULL;
}

static void
test_slow_responses(void)
{
    static const struct slow_response rows[] = {
        {"in time", 1, SLOW_BODY_BYTES, true, RELAY_COMPLETE, 1000},
        {"slow, with progress", 20, SLOW_BODY_BYTES, true, RELAY_COMPLETE,
         5000},
        {"no response", 0, 0, false, RELAY_TIMEOUT, 1000},
        {"nothing after the head", 0, 0, true, RELAY_TIMEOUT, 1000},
        {"nothing after a half", 10, SLOW_BODY_BYTES / 2, true, RELAY_TIMEOUT,
         2000},
        {"a byte now and then", 100, 100, true, RELAY_TIMEOUT, 1000},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct slow_server s = {.response = &rows[i]};
        struct client c;
        client_open(&c);
        server_open(&s.server, respond_slowly_once);
        struct relay_call call = {.method = STR_LIT("GET"),
                                  .target = STR_LIT("/"),
                                  .connect_timeout_ms = TIMEOUT_MS,
                                  .timeout_ms = 10 * TIMEOUT_MS,
                                  .first_byte_timeout_ms =
                                      FIRST_BYTE_TIMEOUT_MS,
                                  .stall_timeout_ms = STALL_TIMEOUT_MS};
        int64_t start_us = loop_now_us();
        client_run(&c, s.server.port, &call);
        int64_t took_us = loop_now_us() - start_us;
        g_test_message("%s: %s after %d us", rows[i].name,
                       relay_result_name(c.outcome.result), (int)took_us);
        g_assert_cmpint(c.outcome.result, ==, rows[i].result);
        g_assert_cmpint(took_us, <, rows[i].limit_ms * 1000);
        server_close(&s.server);
        client_close(&c);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/relay/closed-while-connecting",
                    test_closed_while_connecting);
    g_test_add_func("/relay/after-failed-connection",
                    test_after_failed_connection);
    g_test_add_func("/relay/time-outs", test_timeouts);
    g_test_add_func("/relay/slow-responses", test_slow_responses);
    return g_test_run();
}
