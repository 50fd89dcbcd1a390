/* Guards against results of a stage that are taken for those of another
 * request, as when a server writes an earlier response once more on a
 * connection that is in use again. */
#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/platform/rig_platform.h"

#define PIECES PR_KEY "Camphorfall-Pieces: 1,8\r\nCamphorfall-Piece-Key: k\r\n"
#define REQUEST_MAX_BYTES 65536
#define RUN_US 20000

/* A server of stages that, as it gets a request on a connection that was in
 * use before, first writes its previous response again. */
struct repeating_server {
    int listener;
    int port;
    _Atomic int foreign; /* inputs that are results of another request */
    _Atomic int repeated;
    GThread *acceptor;
    GPtrArray *threads; /* GThread */
};

struct connection {
    struct repeating_server *s;
    int fd;
};

/* Reads a request. @return its body, NULL at the end of the connection */
static char *
read_request(int fd, char *target, size_t max)
{
    GString *in = g_string_new(NULL);
    char *body = NULL;
    char some[4096];
    while (!body && in->len < REQUEST_MAX_BYTES) {
        ssize_t n = recv(fd, some, sizeof(some), 0);
        if (n <= 0) {
            break;
        }
        g_string_append_len(in, some, n);
        const char *end = strstr(in->str, "\r\n\r\n");
        const char *length = strstr(in->str, "Content-Length: ");
        size_t bytes =
            end && length && length < end
                ? strtoul(length + strlen("Content-Length: "), NULL, 10)
                : 0;
        if (end && in->str + in->len >= end + 4 + bytes) {
            body = g_strndup(end + 4, bytes);
        }
    }
    if (body) {
        const char *at = strchr(in->str, ' ') + 1;
        g_strlcpy(target, at, max);
        target[strcspn(target, " ")] = 0;
    }
    g_string_free(in, TRUE);
    return body;
}

/* Makes results whose handles name the request, and counts inputs that do not.
 */
static json_t *
make_results(struct repeating_server *s, const char *body)
{
    json_t *doc = json_loads(body, 0, NULL);
    json_t *results = json_array();
    size_t i;
    const json_t *it;
    json_array_foreach(json_object_get(doc, "items"), i, it)
    {
        const char *id = json_string_value(json_object_get(it, "id"));
        size_t k;
        const json_t *input;
        json_array_foreach(json_object_get(it, "inputs"), k, input)
        {
            s->foreign += strstr(json_string_value(input), id) == NULL;
        }
        char *handle = g_strdup_printf(
            "127.0.0.1:%d/%s-%d-%d", s->port, id,
            (int)json_integer_value(json_object_get(it, "stage")),
            (int)json_integer_value(json_object_get(it, "piece")));
        json_array_append_new(results, json_pack("{s:s}", "handle", handle));
        g_free(handle);
    }
    json_decref(doc);
    return json_pack("{s:o}", "items", results);
}

static char *
format_response(json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    char *out = g_strdup_printf("HTTP/1.1 200 OK\r\n"
                                "Content-Type: application/json\r\n"
                                "Content-Length: %zu\r\n\r\n%s",
                                strlen(text), text);
    free(text);
    json_decref(body);
    return out;
}

static gpointer
serve(gpointer p)
{
    struct connection *c = p;
    char *previous = NULL;
    char target[256];
    char *body;
    while ((body = read_request(c->fd, target, sizeof(target)))) {
        bool run = strcmp(target, "/stage-run") == 0;
        char *response = format_response(
            run ? make_results(c->s, body)
                : json_pack("{s:i,s:i}", "freeMb", 36, "queued", 0));
        if (run && previous) {
            c->s->repeated++;
            send(c->fd, previous, strlen(previous), MSG_NOSIGNAL);
        }
        g_usleep(run ? RUN_US : 0);
        send(c->fd, response, strlen(response), MSG_NOSIGNAL);
        if (run) {
            g_free(previous);
            previous = response;
        }
        else {
            g_free(response);
        }
        g_free(body);
    }
    close(c->fd);
    g_free(previous);
    g_free(c);
    return NULL;
}

static gpointer
accept_all(gpointer p)
{
    struct repeating_server *s = p;
    int fd;
    while ((fd = accept(s->listener, NULL, NULL)) >= 0) {
        struct timeval limit = {.tv_sec = 6};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        struct connection *c = g_new0(struct connection, 1);
        *c = (struct connection){s, fd};
        g_ptr_array_add(s->threads, g_thread_new("serve", serve, c));
    }
    return NULL;
}

static void
server_open(struct repeating_server *s)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(at);
    memset(s, 0, sizeof(*s));
    s->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(bind(s->listener, (void *)&at, sizeof(at)), ==, 0);
    g_assert_cmpint(listen(s->listener, 64), ==, 0);
    getsockname(s->listener, (void *)&at, &len);
    s->port = ntohs(at.sin_port);
    s->threads = g_ptr_array_new();
    s->acceptor = g_thread_new("accept", accept_all, s);
}

static void
server_close(struct repeating_server *s)
{
    shutdown(s->listener, SHUT_RDWR);
    g_thread_join(s->acceptor);
    for (guint i = 0; i < s->threads->len; i++) {
        g_thread_join(g_ptr_array_index(s->threads, i));
    }
    close(s->listener);
    g_ptr_array_free(s->threads, TRUE);
}

static void
test_repeated_response(void)
{
    struct platform_rig r;
    struct repeating_server s;
    platform_rig_open(&r);
    server_open(&s);
    for (int i = 4; i < 6; i++) {
        platform_rig_register_server_at(&r, i, "ready", s.port);
    }
    g_usleep(500000);
    int answered = 0;
    for (int i = 0; i < 12; i++) {
        struct buf out = {0};
        answered += platform_rig_send_request(&r, i % PR_NODES, "stream",
                                              PIECES, &out) == 200;
        buf_free(&out);
    }
    platform_rig_close(&r);
    server_close(&s);
    g_test_message("%d answered, %d responses repeated", answered, s.repeated);
    g_assert_cmpint(s.foreign, ==, 0);
    g_assert_cmpint(answered, ==, 12);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/gateway/repeated-stage-response",
                    test_repeated_response);
    return g_test_run();
}
