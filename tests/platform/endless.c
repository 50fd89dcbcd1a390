#include "tests/platform/endless.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/str.h"

#define REQUEST_HEAD_MAX 8192

struct endless_server {
    int listener;
    int port;
    _Atomic bool stop;
    GMutex lock; /* of response */
    struct endless_response response;
    GThread *acceptor;
    GPtrArray *threads; /* GThread */
};

struct accepted {
    struct endless_server *e;
    struct endless_response response;
    int fd;
};

/* @return false if the client has closed the connection */
static bool
write_all(int fd, const char *p, size_t len)
{
    while (len > 0) {
        ssize_t n = send(fd, p, len, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        p += n;
        len -= (size_t)n;
    }
    return true;
}

static char *
replace_all(const char *text, const char *mark, const char *with)
{
    char **parts = g_strsplit(text, mark, -1);
    char *out = g_strjoinv(with, parts);
    g_strfreev(parts);
    return out;
}

static void
read_request_id(int fd, char *id, size_t max)
{
    char head[REQUEST_HEAD_MAX + 1];
    size_t len = 0;
    head[0] = 0;
    while (len < REQUEST_HEAD_MAX && !strstr(head, "\r\n\r\n")) {
        ssize_t n = recv(fd, head + len, REQUEST_HEAD_MAX - len, 0);
        if (n <= 0) {
            break;
        }
        len += (size_t)n;
        head[len] = 0;
    }
    const char *at = strstr(head, "Camphorfall-Request-Id: ");
    g_strlcpy(id, at ? at + strlen("Camphorfall-Request-Id: ") : "-", max);
    id[strcspn(id, "\r")] = 0;
}

static gpointer
serve(gpointer p)
{
    struct accepted *s = p;
    char id[128];
    read_request_id(s->fd, id, sizeof(id));
    char *begin = replace_all(s->response.begin, "{id}", id);
    char *fill = g_strnfill((gsize)s->response.fill_bytes, 'x');
    char *repeat = replace_all(s->response.repeat, "{x}", fill);
    bool open = write_all(s->fd, begin, strlen(begin));
    for (int n = 0; open && !s->e->stop; n++) {
        char number[16];
        g_snprintf(number, sizeof(number), "%d", n);
        char *text = replace_all(repeat, "{n}", number);
        open = write_all(s->fd, text, strlen(text));
        g_free(text);
        g_usleep((gulong)s->response.interval_ms * 1000);
    }
    close(s->fd);
    g_free(begin);
    g_free(fill);
    g_free(repeat);
    g_free(s);
    return NULL;
}

static gpointer
accept_all(gpointer p)
{
    struct endless_server *e = p;
    int fd;
    while ((fd = accept(e->listener, NULL, NULL)) >= 0) {
        struct timeval limit = {.tv_sec = 3};
        setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        struct accepted *s = g_new0(struct accepted, 1);
        g_mutex_lock(&e->lock);
        *s = (struct accepted){e, e->response, fd};
        g_mutex_unlock(&e->lock);
        g_ptr_array_add(e->threads, g_thread_new("endless", serve, s));
    }
    return NULL;
}

struct endless_server *
endless_server_new(void)
{
    struct endless_server *e = g_new0(struct endless_server, 1);
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(at);
    g_mutex_init(&e->lock);
    e->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(bind(e->listener, (void *)&at, sizeof(at)), ==, 0);
    g_assert_cmpint(listen(e->listener, 64), ==, 0);
    getsockname(e->listener, (void *)&at, &len);
    e->port = ntohs(at.sin_port);
    e->threads = g_ptr_array_new();
    return e;
}

void
endless_server_set_response(struct endless_server *e,
                            const struct endless_response *response)
{
    g_mutex_lock(&e->lock);
    e->response = *response;
    g_mutex_unlock(&e->lock);
    if (!e->acceptor) {
        e->acceptor = g_thread_new("accept", accept_all, e);
    }
}

int
endless_server_port(const struct endless_server *e)
{
    return e->port;
}

void
endless_server_free(struct endless_server *e)
{
    e->stop = true;
    shutdown(e->listener, SHUT_RDWR);
    g_thread_join(e->acceptor);
    for (guint i = 0; i < e->threads->len; i++) {
        g_thread_join(g_ptr_array_index(e->threads, i));
    }
    close(e->listener);
    g_ptr_array_free(e->threads, TRUE);
    g_mutex_clear(&e->lock);
    g_free(e);
}
