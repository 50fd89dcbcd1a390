/* Guards against responses that are not whole, or that are none, being
 * reported as complete ones. */
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/relay_rig.h"

#define TIMEOUT_MS 2000
/* More than the buffers of both sockets hold. */
#define UPLOAD_BYTES (16 << 20)

enum early_end {
    EARLY_RESET,      /* the connection is reset */
    EARLY_CLOSE,      /* it is closed while bytes of the request are unread */
    EARLY_FIN_RESET,  /* the server's direction ends before the connection is
                         reset, as if no byte of the request were unread */
    EARLY_READ_CLOSE, /* it is closed after the whole request was read */
};

/* A response that begins before the server has read the request. */
struct early_response {
    const char *head;
    int read_bytes; /* of the request before the response */
    int pieces;     /* of the body, with a pause after each in which the server
                       reads on */
    enum early_end end;
    int pause_ms; /* before the end */
    enum relay_result result;
};

struct early_server {
    struct test_server server; /* first, as the thread receives it */
    const struct early_response *response;
};

/* @return the number of bytes read; fewer at the end of the request */
static size_t
read_request_bytes(int fd, size_t bytes)
{
    char buffer[65536];
    size_t sum = 0;
    while (sum < bytes) {
        size_t wanted = MIN(sizeof(buffer), bytes - sum);
        ssize_t n = recv(fd, buffer, wanted, 0);
        if (n <= 0) {
            break;
        }
        sum += (size_t)n;
    }
    return sum;
}

static void *
respond_early(void *arg)
{
    struct early_server *s = arg;
    const struct early_response *r = s->response;
    struct linger reset = {1, 0};
    struct timeval wait = {0, 200000};
    int fd = server_accept(&s->server);
    g_assert_cmpint(fd, >=, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    read_request_bytes(fd, (size_t)r->read_bytes);
    send(fd, r->head, strlen(r->head), MSG_NOSIGNAL);
    for (int i = 0; i < r->pieces; i++) {
        send(fd, "piece,", 6, MSG_NOSIGNAL);
        usleep(20000);
        read_request_bytes(fd, 100000);
    }
    usleep((useconds_t)r->pause_ms * 1000);
    switch (r->end) {
    case EARLY_RESET:
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        break;
    case EARLY_CLOSE:
        break;
    case EARLY_FIN_RESET:
        shutdown(fd, SHUT_WR);
        usleep(100000);
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        break;
    case EARLY_READ_CLOSE:
        read_request_bytes(fd, 2 * UPLOAD_BYTES);
        break;
    }
    close(fd);
    return NULL;
}

#define EARLY_HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
#define NO_LENGTH EARLY_HEAD "\r\n"
#define NO_LENGTH_CLOSE EARLY_HEAD "Connection: close\r\n\r\n"
#define HTTP_1_0 "HTTP/1.0 200 OK\r\n\r\n"
#define EVENTS "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
#define LENGTH_24 EARLY_HEAD "Content-Length: 24\r\n\r\n"
#define LENGTH_12 EARLY_HEAD "Content-Length: 12\r\n\r\n"

/* Guards against a part of a response that counts as a whole one, because the
 * server ends the connection while the request is still being sent. */
static void
test_early_responses(void)
{
    static const char *const heads[] = {NO_LENGTH, NO_LENGTH_CLOSE, HTTP_1_0,
                                        EVENTS, LENGTH_24};
    static const enum early_end ends[] = {EARLY_RESET, EARLY_CLOSE,
                                          EARLY_FIN_RESET};
    static const int reads[] = {1, 1000000};
    static const int pauses_ms[] = {0, 100};
    static const struct early_response whole[] = {
        {NO_LENGTH, 1, 2, EARLY_READ_CLOSE, 0, RELAY_COMPLETE},
        {NO_LENGTH, 2 * UPLOAD_BYTES, 2, EARLY_RESET, 0, RELAY_INCOMPLETE},
        {NO_LENGTH, 2 * UPLOAD_BYTES, 2, EARLY_CLOSE, 0, RELAY_COMPLETE},
        {LENGTH_12, 1, 2, EARLY_READ_CLOSE, 0, RELAY_COMPLETE},
    };
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct early_response));
    g_array_append_vals(rows, whole, G_N_ELEMENTS(whole));
    for (size_t i = 0; i < G_N_ELEMENTS(heads) * G_N_ELEMENTS(ends) *
                               G_N_ELEMENTS(reads) * G_N_ELEMENTS(pauses_ms);
         i++) {
        size_t n = i;
        struct early_response r = {.pieces = 2, .result = RELAY_INCOMPLETE};
        r.head = heads[n % G_N_ELEMENTS(heads)];
        n /= G_N_ELEMENTS(heads);
        r.end = ends[n % G_N_ELEMENTS(ends)];
        n /= G_N_ELEMENTS(ends);
        r.read_bytes = reads[n % G_N_ELEMENTS(reads)];
        n /= G_N_ELEMENTS(reads);
        r.pause_ms = pauses_ms[n];
        g_array_append_val(rows, r);
    }
    char *upload = g_strnfill(UPLOAD_BYTES, 'u');
    int failures = 0;
    for (guint i = 0; i < rows->len; i++) {
        const struct early_response *r =
            &g_array_index(rows, struct early_response, i);
        struct early_server s = {.response = r};
        struct client c;
        client_open(&c);
        server_open(&s.server, respond_early);
        struct relay_call call = {.method = STR_LIT("POST"),
                                  .target = STR_LIT("/"),
                                  .body = {upload, UPLOAD_BYTES},
                                  .connect_timeout_ms = TIMEOUT_MS,
                                  .timeout_ms = TIMEOUT_MS};
        client_run(&c, s.server.port, &call);
        if ((c.outcome.result == RELAY_COMPLETE) !=
            (r->result == RELAY_COMPLETE)) {
            failures++;
            g_test_message("%s end %d, %d bytes read, %d ms: %s", r->head,
                           (int)r->end, r->read_bytes, r->pause_ms,
                           relay_result_name(c.outcome.result));
        }
        server_close(&s.server);
        client_close(&c);
    }
    g_free(upload);
    g_array_free(rows, TRUE);
    g_assert_cmpint(failures, ==, 0);
}

struct odd_server {
    struct test_server server; /* first, as the thread receives it */
    const char *head;
};

static void *
respond_oddly(void *arg)
{
    struct odd_server *s = arg;
    char request[4096];
    int fd = server_accept(&s->server);
    g_assert_cmpint(fd, >=, 0);
    recv(fd, request, sizeof(request), 0);
    send(fd, s->head, strlen(s->head), MSG_NOSIGNAL);
    send(fd, "\r\nok", 4, MSG_NOSIGNAL);
    close(fd);
    return NULL;
}

/* Guards against bytes that are no status line of HTTP/1, and statuses that do
 * not exist, that count as an answer. */
static void
test_status_lines(void)
{
    static const struct {
        const char *line;
        int status; /* 0: there is no answer */
    } rows[] = {
        {"HTTP/1.1 200 OK", 200},
        {"HTTP/1.0 200 OK", 200},
        {"HTTP/1.1 200 ", 200},
        {"HTTP/1.1 599 x", 599},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 x", 204},
        {"HTTP/1.1 000 OK", 0},
        {"HTTP/1.1 0 OK", 0},
        {"HTTP/1.1 001 OK", 0},
        {"HTTP/1.1 099 OK", 0},
        {"HTTP/1.1 99 OK", 0},
        {"HTTP/1.1 20 OK", 0},
        {"HTTP/1.1 2 OK", 0},
        {"HTTP/1.1 600 x", 0},
        {"HTTP/1.1 999 x", 0},
        {"HTTP/1.1 1000 x", 0},
        {"HTTP/1.1 2000 OK", 0},
        {"HTTP/1.1 200abc", 0},
        {"HTTP/1.1 200.5 OK", 0},
        {"HTTP/1.1 -200 OK", 0},
        {"HTTP/1.1 +200 OK", 0},
        {"HTTP/1.1 +20 OK", 0},
        {"HTTP/1.1 -20 OK", 0},
        {"HTTP/1.1 0x0 OK", 0},
        {"HTTP/1.1 abc OK", 0},
        {"HTTP/1.1 OK", 0},
        {"HTTP/1.1 ", 0},
        {"HTTP/1.1", 0},
        {"HTTP/1.1  200 OK", 0},
        {"HTTP/1.1\t200 OK", 0},
        {"HTTP/1.1200 OK", 0},
        {"HTTP/1.2 200 OK", 0},
        {"HTTP/1.9 200 OK", 0},
        {"HTTP/0.9 200 OK", 0},
        {"HTTP/2 200", 0},
        {"HTTP/2.0 200 OK", 0},
        {"HTTP/3 200", 0},
        {"HTTP/11 200 OK", 0},
        {"HTTP/1.10 200 OK", 0},
        {"HTTP/ 200 OK", 0},
        {"http/1.1 200 OK", 0},
        {" HTTP/1.1 200 OK", 0},
        {"\r\nHTTP/1.1 200 OK", 0},
        {"ICY 200 OK", 0},
        {"RTSP/1.0 200 OK", 0},
        {"200 OK", 0},
        {"HTTP/1.1 101 Switching Protocols", 0},
        {"HTTP/1.1 100 Continue", 0},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 x", 0},
        {"HTTP/1.1 200 OK\r\nHTTP/1.1 000 x", 0},
        {"HTTP/1.1 000 OK\r\nHTTP/1.1 200 OK", 0},
        {"HTTP/1.1 500 x\r\nHTTP/1.1 200 OK", 0},
    };
    static const char *const framings[] = {"", "Content-Length: 2\r\n"};
    int failures = 0;
    for (size_t i = 0; i < 2 * G_N_ELEMENTS(rows); i++) {
        int status = rows[i / 2].status;
        char *head =
            g_strdup_printf("%s\r\n%s", rows[i / 2].line, framings[i % 2]);
        struct odd_server s = {.head = head};
        struct client c;
        client_open(&c);
        server_open(&s.server, respond_oddly);
        struct relay_call call = {.method = STR_LIT("GET"),
                                  .target = STR_LIT("/"),
                                  .connect_timeout_ms = TIMEOUT_MS,
                                  .timeout_ms = TIMEOUT_MS};
        bool complete = client_run(&c, s.server.port, &call) == RELAY_COMPLETE;
        if (complete != (status != 0) ||
            (complete && c.outcome.status != status)) {
            failures++;
            g_test_message("%s: %s, status %d", head,
                           relay_result_name(c.outcome.result),
                           c.outcome.status);
        }
        server_close(&s.server);
        client_close(&c);
        g_free(head);
    }
    g_assert_cmpint(failures, ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/relay-odd/early-responses", test_early_responses);
    g_test_add_func("/relay-odd/status-lines", test_status_lines);
    return g_test_run();
}
