#include "tests/peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

struct peer {
    pthread_t thread;
    int listener;
    int port;
    char *script;
    int requests;
};

static int
listen_any(int *port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(a);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&a, sizeof(a)), ==, 0);
    g_assert_cmpint(listen(fd, 64), ==, 0);
    getsockname(fd, (struct sockaddr *)&a, &len);
    *port = ntohs(a.sin_port);
    return fd;
}

static void
read_request(struct peer *p, int fd, char attempt[32])
{
    struct buf in = {0};
    char chunk[4096];
    size_t expected_len = SIZE_MAX;
    while (in.len < expected_len) {
        ssize_t n = read(fd, chunk, sizeof(chunk));
        if (n <= 0) {
            break;
        }
        buf_append(&in, chunk, (size_t)n);
        char *end = strstr(in.ptr, "\r\n\r\n");
        if (end && expected_len == SIZE_MAX) {
            char *length = strcasestr(in.ptr, "Content-Length:");
            char *id = strcasestr(in.ptr, "X-Attempt: ");
            expected_len =
                (size_t)(end + 4 - in.ptr) +
                (length && length < end ? strtoul(length + 15, NULL, 10) : 0);
            if (id) {
                g_strlcpy(attempt, id + 11, 32);
                *strchrnul(attempt, '\r') = 0;
            }
        }
    }
    p->requests += expected_len != SIZE_MAX;
    buf_free(&in);
}

static void
write_text(int fd, const char *text, const char *attempt)
{
    char **parts = g_strsplit(text, "$A", -1);
    char *message = g_strjoinv(attempt, parts);
    send(fd, message, strlen(message), MSG_NOSIGNAL);
    g_strfreev(parts);
    g_free(message);
}

static void *
run(void *arg)
{
    struct peer *p = arg;
    char **steps = g_strsplit(p->script, "|", -1);
    char attempt[32] = "";
    char byte[256];
    int fd = -1;
    for (char **s = steps; *s; s++) {
        if (strcmp(*s, "accept") == 0) {
            fd = accept(p->listener, NULL, NULL);
        }
        else if (strcmp(*s, "read") == 0) {
            read_request(p, fd, attempt);
        }
        else if (strcmp(*s, "hold") == 0) {
            while (read(fd, byte, sizeof(byte)) > 0) {
            }
        }
        else if (strcmp(*s, "close") == 0 || strcmp(*s, "reset") == 0) {
            struct linger l = {(*s)[0] == 'r', 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
            close(fd);
            fd = -1;
        }
        else if (**s == '>') {
            write_text(fd, *s + 1, attempt);
        }
        else {
            g_error("unknown step: %s", *s);
        }
    }
    if (fd >= 0) {
        close(fd);
    }
    g_strfreev(steps);
    return NULL;
}

struct peer *
peer_start(const char *script)
{
    struct peer *p = mem_calloc(1, sizeof(*p));
    p->listener = listen_any(&p->port);
    p->script = g_strdup(script);
    pthread_create(&p->thread, NULL, run, p);
    return p;
}

int
peer_port(const struct peer *p)
{
    return p->port;
}

int
peer_join(struct peer *p)
{
    pthread_join(p->thread, NULL);
    int n = p->requests;
    close(p->listener);
    g_free(p->script);
    free(p);
    return n;
}

int
peer_closed_port(void)
{
    int port;
    close(listen_any(&port));
    return port;
}

int
client_connect(int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(connect(fd, (struct sockaddr *)&a, sizeof(a)), ==, 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

void
client_send(int fd, struct str bytes)
{
    while (bytes.len > 0) {
        ssize_t n = send(fd, bytes.ptr, bytes.len, MSG_NOSIGNAL);
        if (n < 0) {
            return; /* closed or full; the test checks the response */
        }
        bytes = str_from_bytes(bytes.ptr + n, bytes.len - (size_t)n);
    }
}

bool
client_read(int fd, struct buf *in)
{
    char chunk[16384];
    for (;;) {
        ssize_t n = read(fd, chunk, sizeof(chunk));
        if (n <= 0) {
            return n < 0 && errno == EAGAIN;
        }
        buf_append(in, chunk, (size_t)n);
    }
}
