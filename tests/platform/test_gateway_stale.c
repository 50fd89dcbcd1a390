/* Guards against a server that writes a refusal (503, not executed) a second
 * time as the next request arrives on the connection: a request that is sent
 * again there is executed, and must not end with the 503 of its first attempt,
 * which says that it was not. */
#include <arpa/inet.h>
#include <glib.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/platform/rig_platform.h"

#define REQUEST_MAX 8192
#define REQUESTS 3
#define IDEMPOTENT PR_KEY "Camphorfall-Deadline-Ms: 2000\r\n"
#define BODY "body" /* of platform_rig_send_request */

/* Refuses the first request on each connection, writes the refusal again as
 * the next one arrives, and runs that one. */
struct refuser {
    int listener;
    int port;
    GThread *acceptor;
    GPtrArray *threads; /* GThread */
    _Atomic int refused;
    _Atomic int executed;
};

struct served {
    struct refuser *r;
    int fd;
};

/* Reads one request and its id. @return false at the end of the connection */
static bool
read_request(int fd, char *id, size_t max)
{
    char text[REQUEST_MAX + 1];
    size_t len = 0;
    text[0] = 0;
    for (;;) {
        const char *end = strstr(text, "\r\n\r\n");
        if (end && strlen(end) >= strlen("\r\n\r\n" BODY)) {
            break;
        }
        ssize_t n = recv(fd, text + len, REQUEST_MAX - len, 0);
        if (n <= 0) {
            return false;
        }
        len += (size_t)n;
        text[len] = 0;
    }
    const char *at = strstr(text, "Camphorfall-Request-Id: ");
    g_assert_nonnull(at);
    g_strlcpy(id, at + strlen("Camphorfall-Request-Id: "), max);
    id[strcspn(id, "\r")] = 0;
    return true;
}

static void
write_text(int fd, const char *text)
{
    send(fd, text, strlen(text), MSG_NOSIGNAL);
}

static gpointer
serve(gpointer p)
{
    struct served *s = p;
    char id[64];
    if (read_request(s->fd, id, sizeof(id))) {
        char *refusal = g_strdup_printf(
            "HTTP/1.1 503 Service Unavailable\r\nCamphorfall-Request-Id: %s"
            "\r\nCamphorfall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            id);
        atomic_fetch_add(&s->r->refused, 1);
        write_text(s->fd, refusal);
        while (read_request(s->fd, id, sizeof(id))) {
            write_text(s->fd, refusal);
            atomic_fetch_add(&s->r->executed, 1);
        }
        g_free(refusal);
    }
    close(s->fd);
    g_free(s);
    return NULL;
}

static gpointer
accept_all(gpointer p)
{
    struct refuser *r = p;
    int fd;
    while ((fd = accept(r->listener, NULL, NULL)) >= 0) {
        struct timeval limit = {.tv_sec = 5};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        struct served *s = g_new0(struct served, 1);
        *s = (struct served){r, fd};
        g_ptr_array_add(r->threads, g_thread_new("refuser", serve, s));
    }
    return NULL;
}

static void
refuser_open(struct refuser *r)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(at);
    memset(r, 0, sizeof(*r));
    r->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(bind(r->listener, (void *)&at, sizeof(at)), ==, 0);
    g_assert_cmpint(listen(r->listener, 64), ==, 0);
    getsockname(r->listener, (void *)&at, &len);
    r->port = ntohs(at.sin_port);
    r->threads = g_ptr_array_new();
    r->acceptor = g_thread_new("accept", accept_all, r);
}

static void
refuser_close(struct refuser *r)
{
    shutdown(r->listener, SHUT_RDWR);
    g_thread_join(r->acceptor);
    for (guint i = 0; i < r->threads->len; i++) {
        g_thread_join(g_ptr_array_index(r->threads, i));
    }
    close(r->listener);
    g_ptr_array_free(r->threads, TRUE);
}

static void
test_stale_refusal(void)
{
    struct platform_rig r;
    struct refuser refuser;
    platform_rig_open_without_nodes(&r);
    r.repeat_slack = 1000;
    refuser_open(&refuser);
    platform_rig_register_server_at(&r, 0, "ready", refuser.port);
    platform_rig_start_node(&r, 0);
    platform_rig_wait_readiness(&r, 0, 200);
    for (int i = 0; i < REQUESTS; i++) {
        struct buf out = {0};
        int executed = atomic_load(&refuser.executed);
        int status =
            platform_rig_send_request(&r, 0, "check", IDEMPOTENT, &out);
        executed = atomic_load(&refuser.executed) - executed;
        g_test_message("request %d: status %d, executed %d times", i, status,
                       executed);
        g_assert_true(status != 503 || executed == 0);
        buf_free(&out);
    }
    g_assert_cmpint(atomic_load(&refuser.refused), >, 0);
    platform_rig_close(&r);
    refuser_close(&refuser);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    /* The processes and threads are ended also if a check fails. */
    g_test_set_nonfatal_assertions();
    g_test_add_func("/gateway-stale/refusal", test_stale_refusal);
    return g_test_run();
}
