#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    MAX_ITEMS = 256,
    MAX_CHANGES = 2048,
    MAX_HEAD = 256 << 10,
    HISTORY_S = 20, /* platform.historyS */
    CHUNK = 12500
};

static FILE *record;
static struct timespec begin;

double
rig_now_s(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)(t.tv_sec - begin.tv_sec) +
           (double)(t.tv_nsec - begin.tv_nsec) / 1e9;
}

void
rig_sleep(double seconds)
{
    struct timespec t = {(time_t)seconds,
                         (long)((seconds - (double)(time_t)seconds) * 1e9)};
    if (seconds > 0) {
        nanosleep(&t, NULL);
    }
}

static void
write_line(FILE *f, const char *fmt, va_list ap)
{
    fprintf(f, "%8.3f s  ", rig_now_s());
    vfprintf(f, fmt, ap);
    fputc('\n', f);
    fflush(f);
}

void
rig_record(const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    write_line(record, fmt, ap);
    va_end(ap);
    va_start(ap, fmt);
    write_line(stdout, fmt, ap);
    va_end(ap);
}

static int
listen_on_loopback(int *port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(a);
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
        listen(fd, 512) != 0 ||
        getsockname(fd, (struct sockaddr *)&a, &len) != 0) {
        perror("listen");
        exit(2);
    }
    *port = ntohs(a.sin_port);
    return fd;
}

static int
free_port(void)
{
    int port;
    close(listen_on_loopback(&port));
    return port;
}

static int
connect_to(int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

static bool
send_all(int fd, const char *p, size_t len)
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

/* HTTP of the stand-ins */

struct http_request {
    char method[16];
    char target[1024];
    char *head; /* header lines, each ended by CR LF */
    char *body;
    size_t body_len;
    int header_count;
};

struct http_reader {
    int fd;
    char *buf;
    size_t len;
    size_t cap;
};

static bool
read_more(struct http_reader *in)
{
    if (in->len + 65536 + 1 > in->cap) {
        in->cap = (in->len + 65536) * 2;
        in->buf = realloc(in->buf, in->cap);
    }
    ssize_t n = recv(in->fd, in->buf + in->len, 65536, 0);
    if (n <= 0) {
        return false;
    }
    in->len += (size_t)n;
    in->buf[in->len] = 0;
    return true;
}

/* Copies the value of a header; "" if it is missing. */
static bool
find_header(const char *head, const char *name, char *out, size_t size)
{
    size_t name_len = strlen(name);
    out[0] = 0;
    for (const char *line = head; *line;) {
        const char *end = strstr(line, "\r\n");
        if (!end) {
            return false;
        }
        if (strncasecmp(line, name, name_len) == 0 && line[name_len] == ':') {
            const char *v = line + name_len + 1;
            while (*v == ' ') {
                v++;
            }
            size_t len =
                (size_t)(end - v) < size - 1 ? (size_t)(end - v) : size - 1;
            memcpy(out, v, len);
            out[len] = 0;
            return true;
        }
        line = end + 2;
    }
    return false;
}

/* Reads one request as a strict server: a message ends after its
 * Content-Length. @return false at the end of the connection */
static bool
read_request(struct http_reader *in, struct http_request *r)
{
    char *end;
    char length[32];
    memset(r, 0, sizeof(*r));
    if (!in->buf) {
        in->cap = 65536 * 2;
        in->buf = malloc(in->cap);
        in->buf[0] = 0;
    }
    while (!(end = strstr(in->buf, "\r\n\r\n"))) {
        if (in->len > MAX_HEAD || !read_more(in)) {
            return false;
        }
    }
    size_t head_len = (size_t)(end - in->buf) + 4;
    r->head = strndup(in->buf, head_len - 2);
    if (sscanf(r->head, "%15s %1023s", r->method, r->target) != 2) {
        return false;
    }
    char *headers = strstr(r->head, "\r\n") + 2;
    for (const char *p = headers; (p = strstr(p, "\r\n")); p += 2) {
        r->header_count++;
    }
    memmove(r->head, headers, strlen(headers) + 1);
    find_header(r->head, "Content-Length", length, sizeof(length));
    r->body_len = (size_t)atol(length);
    while (in->len < head_len + r->body_len) {
        if (!read_more(in)) {
            return false;
        }
    }
    r->body = strndup("", 0);
    r->body = realloc(r->body, r->body_len + 1);
    memcpy(r->body, in->buf + head_len, r->body_len);
    r->body[r->body_len] = 0;
    in->len -= head_len + r->body_len;
    memmove(in->buf, in->buf + head_len + r->body_len, in->len);
    in->buf[in->len] = 0;
    return true;
}

static void
request_free(struct http_request *r)
{
    free(r->head);
    free(r->body);
}

static void
start_thread(void *(*run)(void *), void *arg)
{
    pthread_t t;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attr, 512 << 10);
    if (pthread_create(&t, &attr, run, arg) != 0) {
        perror("pthread_create");
        exit(2);
    }
    pthread_attr_destroy(&attr);
}

/* The store. Values are kept as base64 text. */

struct item {
    char key[200];
    char *value; /* NULL: a change that removed the item */
    int64_t revision;
    int64_t lease;
    double at_s;
};

static struct {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    struct item items[MAX_ITEMS];
    int item_count;
    struct item changes[MAX_CHANGES];
    int change_count;
    int64_t revision;
    int64_t last_lease;
} store = {.lock = PTHREAD_MUTEX_INITIALIZER,
           .changed = PTHREAD_COND_INITIALIZER,
           .revision = 1};

static char *
to_base64(const char *p, size_t len)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
                                 "stuvwxyz0123456789+/";
    char *out = malloc(len * 4 / 3 + 8);
    size_t n = 0;
    for (size_t i = 0; i < len; i += 3) {
        uint32_t v = (uint32_t)(unsigned char)p[i] << 16;
        v |= i + 1 < len ? (uint32_t)(unsigned char)p[i + 1] << 8 : 0;
        v |= i + 2 < len ? (uint32_t)(unsigned char)p[i + 2] : 0;
        out[n++] = digits[v >> 18 & 63];
        out[n++] = digits[v >> 12 & 63];
        out[n++] = i + 1 < len ? digits[v >> 6 & 63] : '=';
        out[n++] = i + 2 < len ? digits[v & 63] : '=';
    }
    out[n] = 0;
    return out;
}

static struct item *
find_item(const char *key)
{
    for (int i = 0; i < store.item_count; i++) {
        if (strcmp(store.items[i].key, key) == 0) {
            return &store.items[i];
        }
    }
    return NULL;
}

/* The lock is held. */
static void
add_change(const char *key, const char *value)
{
    if (store.change_count == MAX_CHANGES) {
        fprintf(stderr, "too many changes\n");
        exit(2);
    }
    struct item *c = &store.changes[store.change_count++];
    snprintf(c->key, sizeof(c->key), "%s", key);
    c->value = value ? strdup(value) : NULL;
    c->revision = store.revision;
    c->at_s = rig_now_s();
    pthread_cond_broadcast(&store.changed);
}

/* The lock is held. */
static void
put_item(const char *key, const char *value, int64_t lease)
{
    struct item *i = find_item(key);
    if (!i) {
        if (store.item_count == MAX_ITEMS) {
            fprintf(stderr, "too many items\n");
            exit(2);
        }
        i = &store.items[store.item_count++];
        snprintf(i->key, sizeof(i->key), "%s", key);
        i->value = NULL;
    }
    free(i->value);
    i->value = strdup(value);
    i->lease = lease;
    i->revision = ++store.revision;
    add_change(key, value);
}

/* The lock is held. */
static void
remove_item(struct item *i)
{
    char key[200];
    snprintf(key, sizeof(key), "%s", i->key);
    free(i->value);
    *i = store.items[--store.item_count];
    store.revision++;
    add_change(key, NULL);
}

void
rig_put_json(const char *key, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);
    char *b64 = to_base64(text, strlen(text));
    pthread_mutex_lock(&store.lock);
    put_item(key, b64, 0);
    pthread_mutex_unlock(&store.lock);
    free(b64);
    free(text);
    json_decref(value);
}

static bool
query_text(const char *target, const char *name, char *out, size_t size)
{
    char key[32];
    snprintf(key, sizeof(key), "%s=", name);
    out[0] = 0;
    for (const char *p = strchr(target, '?'); p; p = strchr(p, '&')) {
        p++;
        if (strncmp(p, key, strlen(key)) == 0) {
            size_t n = 0;
            for (p += strlen(key); *p && *p != '&' && n + 1 < size; p++) {
                unsigned c = (unsigned char)*p;
                if (*p == '%' && sscanf(p + 1, "%2x", &c) == 1) {
                    p += 2;
                }
                out[n++] = (char)c;
            }
            out[n] = 0;
            return true;
        }
    }
    return false;
}

static json_t *
item_json(const struct item *i)
{
    json_t *o = json_pack("{s:s,s:I}", "key", i->key, "revision",
                          (json_int_t)i->revision);
    if (i->value) {
        json_object_set_new(o, "value", json_string(i->value));
        json_object_set_new(o, "lease", json_integer(i->lease));
    }
    else {
        json_object_set_new(o, "tombstone", json_true());
    }
    return o;
}

/* The lock is held. */
static json_t *
list_range(const char *prefix)
{
    json_t *list = json_array();
    for (int i = 0; i < store.item_count; i++) {
        if (strncmp(store.items[i].key, prefix, strlen(prefix)) == 0) {
            json_array_append_new(list, item_json(&store.items[i]));
        }
    }
    return json_pack("{s:o,s:b,s:I}", "items", list, "morePages", 0,
                     "currentRev", (json_int_t)store.revision);
}

/* The lock is held. @return NULL if no event exists after the revision */
static json_t *
list_events(const char *prefix, int64_t after)
{
    json_t *list = json_array();
    for (int i = 0; i < store.change_count; i++) {
        const struct item *c = &store.changes[i];
        if (c->revision > after &&
            strncmp(c->key, prefix, strlen(prefix)) == 0) {
            json_array_append_new(list, item_json(c));
        }
    }
    if (json_array_size(list) == 0) {
        json_decref(list);
        return NULL;
    }
    return json_pack("{s:o,s:I}", "events", list, "currentRev",
                     (json_int_t)store.revision);
}

/* Whether a change after this revision is older than the history that the
 * store keeps. The lock is held. */
static bool
is_history_gone(int64_t after)
{
    for (int i = 0; i < store.change_count; i++) {
        if (store.changes[i].revision > after) {
            return rig_now_s() - store.changes[i].at_s > HISTORY_S;
        }
    }
    return false;
}

static int
watch(const char *target, json_t **out)
{
    char prefix[200];
    char text[32];
    query_text(target, "prefix", prefix, sizeof(prefix));
    query_text(target, "after", text, sizeof(text));
    int64_t after = atoll(text);
    query_text(target, "waitMs", text, sizeof(text));
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += atol(text) / 1000;
    until.tv_nsec += atol(text) % 1000 * 1000000;
    if (until.tv_nsec >= 1000000000) {
        until.tv_sec++;
        until.tv_nsec -= 1000000000;
    }
    if (is_history_gone(after)) {
        *out = json_object();
        return 410;
    }
    while (!(*out = list_events(prefix, after))) {
        if (pthread_cond_timedwait(&store.changed, &store.lock, &until) ==
            ETIMEDOUT) {
            *out = list_events(prefix, after);
            break;
        }
    }
    if (!*out) {
        *out = json_pack("{s:[],s:I}", "events", "currentRev",
                         (json_int_t)store.revision);
    }
    return 200;
}

static int
transact(const char *body, json_t **out)
{
    json_t *doc = json_loads(body, 0, NULL);
    json_t *w;
    size_t i;
    json_array_foreach(json_object_get(doc, "writes"), i, w)
    {
        put_item(json_string_value(json_object_get(w, "key")),
                 json_string_value(json_object_get(w, "value")),
                 json_integer_value(json_object_get(w, "lease")));
    }
    json_decref(doc);
    *out = json_pack("{s:I}", "revision", (json_int_t)store.revision);
    return 200;
}

static void
end_lease(int64_t lease)
{
    for (int i = store.item_count - 1; i >= 0; i--) {
        if (store.items[i].lease == lease) {
            remove_item(&store.items[i]);
        }
    }
}

/* The lock is held. Leases do not expire: a case takes less than two minutes,
 * and the rules that are checked do not depend on it. */
static int
handle_store_call(const struct http_request *r, json_t **out)
{
    char prefix[200];
    if (strncmp(r->target, "/kv-range", 9) == 0) {
        query_text(r->target, "prefix", prefix, sizeof(prefix));
        *out = list_range(prefix);
        return 200;
    }
    if (strncmp(r->target, "/kv-watch", 9) == 0) {
        return watch(r->target, out);
    }
    if (strcmp(r->target, "/kv-txn") == 0) {
        return transact(r->body, out);
    }
    if (strcmp(r->target, "/kv-lease") == 0) {
        *out = json_pack("{s:I,s:i}", "lease", (json_int_t)++store.last_lease,
                         "ttlMs", 10000);
        return 200;
    }
    if (strncmp(r->target, "/kv-keep/", 9) == 0) {
        *out = json_pack("{s:i}", "ttlMs", 10000);
        return 200;
    }
    if (strncmp(r->target, "/kv-lease-end/", 14) == 0) {
        end_lease(atoll(r->target + 14));
        *out = json_object();
        return 200;
    }
    *out = json_object();
    return 404;
}

/* Waits until the link has passed on all earlier bytes and these. */
static void
use_link(struct store_port *p, size_t bytes)
{
    static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
    if (p->bytes_per_s <= 0) {
        return;
    }
    pthread_mutex_lock(&lock);
    double now = rig_now_s();
    p->next_free_s = (p->next_free_s > now ? p->next_free_s : now) +
                     (double)bytes / p->bytes_per_s;
    double until = p->next_free_s;
    pthread_mutex_unlock(&lock);
    rig_sleep(until - now);
}

static bool
send_over_link(struct store_port *p, int fd, const char *bytes, size_t len)
{
    for (size_t at = 0; at < len; at += CHUNK) {
        size_t n = len - at < CHUNK ? len - at : CHUNK;
        use_link(p, n);
        if (!send_all(fd, bytes + at, n)) {
            return false;
        }
    }
    return true;
}

struct connection {
    struct store_port *port;
    struct server *server;
    int fd;
};

static void *
serve_store(void *arg)
{
    struct connection *c = arg;
    struct http_reader in = {.fd = c->fd};
    struct http_request r;
    while (read_request(&in, &r)) {
        json_t *body = NULL;
        int status = 503;
        if (!c->port->busy) {
            pthread_mutex_lock(&store.lock);
            status = handle_store_call(&r, &body);
            pthread_mutex_unlock(&store.lock);
        }
        request_free(&r);
        char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("{}");
        char head[160];
        json_decref(body);
        int n = snprintf(head, sizeof(head),
                         "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                         "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n",
                         status, strlen(text));
        bool ok = send_all(c->fd, head, (size_t)n) &&
                  send_over_link(c->port, c->fd, text, strlen(text));
        free(text);
        if (!ok) {
            break;
        }
    }
    close(c->fd);
    free(in.buf);
    free(c);
    return NULL;
}

static void *
accept_store(void *arg)
{
    struct store_port *p = arg;
    for (;;) {
        struct connection *c = calloc(1, sizeof(*c));
        int on = 1;
        c->port = p;
        c->fd = accept4(p->fd, NULL, NULL, SOCK_CLOEXEC);
        setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        start_thread(serve_store, c);
    }
    return NULL;
}

/* Servers */

static struct {
    pthread_mutex_t lock;
    struct arrival arrivals[RIG_ARRIVALS];
    int arrival_count;
    struct piece pieces[RIG_ARRIVALS];
    int piece_count;
} seen = {.lock = PTHREAD_MUTEX_INITIALIZER};

static void
note_arrival(const struct server *s, const struct http_request *r)
{
    char inputs[65536];
    pthread_mutex_lock(&seen.lock);
    if (seen.arrival_count < RIG_ARRIVALS) {
        struct arrival *a = &seen.arrivals[seen.arrival_count++];
        a->at_s = rig_now_s();
        snprintf(a->server, sizeof(a->server), "%s", s->id);
        snprintf(a->method, sizeof(a->method), "%s", r->method);
        snprintf(a->target, sizeof(a->target), "%.*s",
                 (int)sizeof(a->target) - 1, r->target);
        find_header(r->head, "Camphorfall-Request-Id", a->id, sizeof(a->id));
        find_header(r->head, "Camphorfall-Tenant", a->tenant,
                    sizeof(a->tenant));
        find_header(r->head, "Camphorfall-Expect-Instance", a->expected,
                    sizeof(a->expected));
        find_header(r->head, "Camphorfall-Deadline-Ms", a->deadline,
                    sizeof(a->deadline));
        a->header_count = r->header_count;
        a->input_count = -1;
        if (find_header(r->head, "Camphorfall-Inputs", inputs,
                        sizeof(inputs))) {
            a->input_count = 1;
            for (const char *p = inputs; (p = strchr(p, ',')); p++) {
                a->input_count++;
            }
        }
    }
    pthread_mutex_unlock(&seen.lock);
}

static bool
send_text(int fd, const char *fmt, ...)
{
    char text[1024];
    va_list ap;
    va_start(ap, fmt);
    int n = vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    return send_all(fd, text, (size_t)n);
}

static bool
send_json(int fd, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    bool ok = send_text(fd,
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json"
                        "\r\nContent-Length: %zu\r\n\r\n",
                        strlen(text)) &&
              send_all(fd, text, strlen(text));
    json_decref(body);
    free(text);
    return ok;
}

static bool
run_pieces(struct server *s, int fd, const struct http_request *r)
{
    json_t *doc = json_loads(r->body, 0, NULL);
    json_t *results = json_array();
    json_t *it;
    size_t i;
    pthread_mutex_lock(&seen.lock);
    json_array_foreach(json_object_get(doc, "items"), i, it)
    {
        char handle[64];
        const json_t *inputs = json_object_get(it, "inputs");
        snprintf(handle, sizeof(handle), "%s/%llx", s->address,
                 0x5c1e07a2ULL + (unsigned long long)s->next_handle++);
        json_array_append_new(results, json_pack("{s:s}", "handle", handle));
        if (seen.piece_count < RIG_ARRIVALS) {
            struct piece *p = &seen.pieces[seen.piece_count++];
            snprintf(p->id, sizeof(p->id), "%s",
                     json_string_value(json_object_get(it, "id")));
            p->stage = (int)json_integer_value(json_object_get(it, "stage"));
            p->number = (int)json_integer_value(json_object_get(it, "piece"));
            p->input_count = inputs ? (int)json_array_size(inputs) : -1;
        }
    }
    pthread_mutex_unlock(&seen.lock);
    json_decref(doc);
    rig_sleep(s->batch_ms / 1e3);
    return send_json(fd, json_pack("{s:o}", "items", results));
}

static bool
send_stream(const struct server *s, int fd, const char *id)
{
    bool ok = send_text(fd,
                        "HTTP/1.1 200 OK\r\nCamphorfall-Request-Id: %s\r\n"
                        "Camphorfall-Response-Seal: s.%s\r\nContent-Type: "
                        "text/event-stream\r\nTransfer-Encoding: chunked"
                        "\r\n\r\n",
                        id, s->id);
    for (int i = 0; ok && i < 3; i++) {
        char event[64];
        int n = snprintf(event, sizeof(event), "id: %d\ndata: event\n\n", i);
        ok = send_text(fd, "%x\r\n%s\r\n", (unsigned)n, event);
    }
    return ok && send_text(fd, "0\r\n\r\n");
}

/* Sends header lines without a value, just below 64 KiB of them, then a byte
 * now and then until the caller closes. */
static bool
send_endless_head(int fd)
{
    enum { LINES = 16200, LINE_BYTES = 4 };
    char *lines = malloc(LINES * LINE_BYTES + 1);
    for (int i = 0; i < LINES; i++) {
        memcpy(lines + (ptrdiff_t)i * LINE_BYTES, "a:\r\n", LINE_BYTES);
    }
    bool ok = send_text(fd, "HTTP/1.1 200 OK\r\n") &&
              send_all(fd, lines, LINES * LINE_BYTES);
    free(lines);
    while (ok) {
        rig_sleep(0.5);
        ok = send_all(fd, "a", 1);
    }
    return false;
}

static bool
answer(struct server *s, int fd, const struct http_request *r)
{
    char id[64];
    char expected[64];
    if (strcmp(r->target, "/stage-free") == 0) {
        return send_json(fd, json_object());
    }
    if (strcmp(r->target, "/report") == 0) {
        return send_json(fd, json_pack("{s:i,s:i,s:i}", "queued", 0, "busy", 0,
                                       "freeMb", 40));
    }
    if (find_header(r->head, "Camphorfall-Expect-Instance", expected,
                    sizeof(expected)) &&
        strcmp(expected, s->id) != 0) {
        return send_text(fd,
                         "HTTP/1.1 421 Misdirected Request\r\n"
                         "Camphorfall-Instance-Id: %s\r\n"
                         "Content-Length: 0\r\n\r\n",
                         s->id);
    }
    if (strcmp(r->target, "/stage-run") == 0) {
        return run_pieces(s, fd, r);
    }
    note_arrival(s, r);
    if (s->endless) {
        return send_endless_head(fd);
    }
    find_header(r->head, "Camphorfall-Request-Id", id, sizeof(id));
    if (s->streams) {
        rig_sleep(s->head_ms / 1e3);
        return send_stream(s, fd, id);
    }
    return send_text(fd,
                     "HTTP/1.1 200 OK\r\nCamphorfall-Request-Id: %s\r\n"
                     "Camphorfall-Response-Seal: s.%s\r\n"
                     "Content-Length: 4\r\n\r\ndone",
                     id, s->id);
}

static void *
serve_server(void *arg)
{
    struct connection *c = arg;
    struct http_reader in = {.fd = c->fd};
    struct http_request r;
    while (read_request(&in, &r)) {
        bool ok = answer(c->server, c->fd, &r);
        request_free(&r);
        if (!ok) {
            break;
        }
    }
    close(c->fd);
    free(in.buf);
    free(c);
    return NULL;
}

static void *
accept_server(void *arg)
{
    struct server *s = arg;
    for (;;) {
        struct connection *c = calloc(1, sizeof(*c));
        int on = 1;
        c->server = s;
        c->fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);
        setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        start_thread(serve_server, c);
    }
    return NULL;
}

struct server *
rig_add_server(struct rig *r, const char *service, bool streams, int batch_ms)
{
    struct server *s = &r->servers[r->server_count];
    int port;
    s->fd = listen_on_loopback(&port);
    s->streams = streams;
    s->batch_ms = batch_ms;
    snprintf(s->id, sizeof(s->id), "i-%08x",
             0x7f3a91c2U + (unsigned)r->server_count * 7919U);
    snprintf(s->service, sizeof(s->service), "%s", service);
    snprintf(s->address, sizeof(s->address), "127.0.0.1:%d", port);
    snprintf(s->zone, sizeof(s->zone), "z%d", r->server_count % 2);
    r->server_count++;
    start_thread(accept_server, s);
    return s;
}

int
rig_arrivals(struct arrival *out, int max)
{
    pthread_mutex_lock(&seen.lock);
    int n = seen.arrival_count < max ? seen.arrival_count : max;
    memcpy(out, seen.arrivals, (size_t)n * sizeof(*out));
    pthread_mutex_unlock(&seen.lock);
    return n;
}

int
rig_pieces(struct piece *out, int max)
{
    pthread_mutex_lock(&seen.lock);
    int n = seen.piece_count < max ? seen.piece_count : max;
    memcpy(out, seen.pieces, (size_t)n * sizeof(*out));
    pthread_mutex_unlock(&seen.lock);
    return n;
}

int
rig_runs(const char *id)
{
    int runs = 0;
    pthread_mutex_lock(&seen.lock);
    for (int i = 0; i < seen.arrival_count; i++) {
        runs += strcmp(seen.arrivals[i].id, id) == 0;
    }
    pthread_mutex_unlock(&seen.lock);
    return runs;
}

/* Gateways and clients */

json_t *
rig_config(int version, json_t *routes, json_t *services, json_t *tenants)
{
    return json_pack("{s:i,s:o,s:o,s:{s:i,s:i,s:i,s:i},s:o}", "version",
                     version, "routes", routes, "services", services, "limits",
                     "headerBytes", 16384, "bodyBytes", 4194304,
                     "headerTimeoutMs", 3000, "idleTimeoutMs", 15000,
                     "tenants", tenants);
}

size_t
rig_exchange(int port, const char *bytes, size_t len, int quiet_ms, char *out,
             size_t size)
{
    size_t n = 0;
    int fd = connect_to(port);
    out[0] = 0;
    if (fd < 0) {
        return 0;
    }
    if (send_all(fd, bytes, len)) {
        struct pollfd p = {fd, POLLIN, 0};
        while (n + 1 < size && poll(&p, 1, quiet_ms) == 1) {
            ssize_t got = recv(fd, out + n, size - n - 1, 0);
            if (got <= 0) {
                break;
            }
            n += (size_t)got;
        }
        out[n] = 0;
    }
    close(fd);
    return n;
}

int
rig_request(int port, const char *bytes, size_t len, int timeout_ms)
{
    char head[65536];
    size_t n = 0;
    int status = 0;
    int fd = connect_to(port);
    if (fd < 0) {
        return 0;
    }
    if (send_all(fd, bytes, len)) {
        struct pollfd p = {fd, POLLIN, 0};
        head[0] = 0;
        while (!strstr(head, "\r\n\r\n") && n + 1 < sizeof(head) &&
               poll(&p, 1, timeout_ms) == 1) {
            ssize_t got = recv(fd, head + n, sizeof(head) - n - 1, 0);
            if (got <= 0) {
                break;
            }
            n += (size_t)got;
            head[n] = 0;
        }
        if (strstr(head, "\r\n\r\n")) {
            sscanf(head, "HTTP/1.1 %d", &status);
        }
    }
    close(fd);
    return status;
}

int
rig_request_kept(int *fd, int port, const char *bytes, size_t len)
{
    char in[8192];
    size_t n = 0;
    in[0] = 0;
    if (*fd < 0) {
        *fd = connect_to(port);
    }
    if (*fd < 0) {
        return 0;
    }
    if (send_all(*fd, bytes, len)) {
        ssize_t got;
        while (n + 1 < sizeof(in) &&
               (got = recv(*fd, in + n, sizeof(in) - n - 1, 0)) > 0) {
            n += (size_t)got;
            in[n] = 0;
            if (strstr(in, "\r\n0\r\n\r\n")) {
                return 1;
            }
        }
    }
    close(*fd);
    *fd = -1;
    return n == 0 ? -1 : 0;
}

/* The template of the deploy file, filled in. */
static void
write_settings(const struct gateway *g, int i, int store_port,
               const struct rig_settings *s)
{
    FILE *f = fopen(g->settings, "w");
    fprintf(f,
            "[node]\nname = \"front-z%d-1\"\nzone = \"z%d\"\n"
            "first_start = true\n\n"
            "[callers]\naddress = \"127.0.0.1:%d\"\n\n"
            "[ready]\naddress = \"127.0.0.1:%d\"\n\n"
            "[link]\naddress = \"127.0.0.1:%d\"\n\n"
            "[store]\naddress = \"127.0.0.1:%d\"\n\n"
            "[stop]\nlimit_s = 8\n\n"
            "[bounds]\nrevoke_ms = 5000\nrepeat_ratio = 0.2\n"
            "repeat_slack = %d\nrepeat_window_s = 10\n\n"
            "[limits]\ncpu_share = %.2f\nmemory_mb = %d\nfiles = %d\n\n"
            "[log]\nlevel = \"info\"\n",
            i, i, g->front, g->ready, g->link, store_port, s->repeat_slack,
            s->cpu_share, s->memory_mb, s->files);
    fclose(f);
}

/* The command of deploy/system.toml: target/camphorfall-gateway, started in
 * the root of the repository with CAMPHORFALL_CONFIG. */
static void
start_gateway(struct gateway *g)
{
    char config[256];
    snprintf(config, sizeof(config), "CAMPHORFALL_CONFIG=%s", g->settings);
    g->pid = fork();
    if (g->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        char *const args[] = {"target/camphorfall-gateway", NULL};
        char *const env[] = {config, "PATH=/usr/bin:/bin", "LANG=C", NULL};
        int fd = open(g->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, 1);
        dup2(fd, 2);
        execve(args[0], args, env);
        _exit(127);
    }
}

static void
choose_ports(struct gateway *g)
{
    g->front = free_port();
    g->ready = free_port();
    g->link = free_port();
}

/* Copies the log of a gateway that did not become ready. */
static void
record_log(const struct gateway *g, int i)
{
    char line[512];
    FILE *f = fopen(g->log, "r");
    while (f && fgets(line, sizeof(line), f)) {
        line[strcspn(line, "\n")] = 0;
        rig_record("gateway %d: %s", i, line);
    }
    if (f) {
        fclose(f);
    }
}

/* Waits until a gateway is ready. One that could not start, as another program
 * took one of its ports, is started again. */
static bool
wait_until_ready(struct gateway *g, int i, int store_port,
                 const struct rig_settings *s)
{
    static const char text[] = "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n";
    for (int n = 0; n < 150; n++) {
        if (rig_request(g->ready, text, strlen(text), 500) == 200) {
            return true;
        }
        rig_sleep(0.1);
        if (waitpid(g->pid, NULL, WNOHANG) == g->pid) {
            rig_record("gateway %d has ended; it is started again", i);
            choose_ports(g);
            write_settings(g, i, store_port, s);
            start_gateway(g);
        }
    }
    record_log(g, i);
    return false;
}

bool
rig_start_gateways(struct rig *r, const struct rig_settings *s)
{
    bool ready = true;
    for (int i = 0; i < r->server_count; i++) {
        char key[64];
        snprintf(key, sizeof(key), "servers/%s", r->servers[i].id);
        rig_put_json(key, json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}",
                                    "service", r->servers[i].service,
                                    "address", r->servers[i].address, "zone",
                                    r->servers[i].zone, "version", "v1",
                                    "slots", 8, "state", "ready",
                                    "coldRemainingMs", 0, "sequence", 1,
                                    "born", (json_int_t)time(NULL) * 1000));
    }
    r->gateway_count = s->gateways;
    for (int i = 0; i < s->gateways; i++) {
        struct store_port *p = &r->store[i];
        struct gateway *g = &r->gateways[i];
        p->fd = listen_on_loopback(&p->port);
        p->bytes_per_s = s->link_mbps * 1e6 / 8;
        start_thread(accept_store, p);
        choose_ports(g);
        snprintf(g->settings, sizeof(g->settings), "%s/settings-%d.toml",
                 r->dir, i);
        snprintf(g->log, sizeof(g->log), "%s/gateway-%d.log", r->dir, i);
        write_settings(g, i, p->port, s);
        start_gateway(g);
    }
    for (int i = 0; i < s->gateways; i++) {
        ready &= wait_until_ready(&r->gateways[i], i, r->store[i].port, s);
    }
    /* Time for the gateways to find each other. */
    rig_sleep(2);
    return ready;
}

long
rig_memory_kb(const struct gateway *g)
{
    char path[64];
    char line[128];
    long kb = 0;
    snprintf(path, sizeof(path), "/proc/%d/status", (int)g->pid);
    FILE *f = fopen(path, "r");
    while (f && fgets(line, sizeof(line), f)) {
        if (sscanf(line, "VmRSS: %ld", &kb) == 1) {
            break;
        }
    }
    if (f) {
        fclose(f);
    }
    return kb;
}

struct memory_limit {
    struct rig *rig;
    const struct rig_settings *settings;
};

static void *
limit_memory(void *arg)
{
    const struct memory_limit *l = arg;
    for (;;) {
        rig_sleep(0.02);
        for (int i = 0; i < l->rig->gateway_count; i++) {
            struct gateway *g = &l->rig->gateways[i];
            long kb = rig_memory_kb(g);
            if (kb <= l->settings->memory_mb * 1024L) {
                continue;
            }
            kill(g->pid, SIGKILL);
            waitpid(g->pid, NULL, 0);
            g->ends++;
            rig_record("gateway %d has %ld kB of %d MB: killed, end %d", i, kb,
                       l->settings->memory_mb, g->ends);
            rig_sleep(1);
            start_gateway(g);
        }
    }
    return NULL;
}

void
rig_limit_memory(struct rig *r, const struct rig_settings *s)
{
    static struct memory_limit limit;
    limit = (struct memory_limit){r, s};
    start_thread(limit_memory, &limit);
}

static struct rig *opened;

static void
end_processes(void)
{
    for (int i = 0; opened && i < opened->gateway_count; i++) {
        pid_t pid = opened->gateways[i].pid;
        if (pid > 0) {
            kill(pid, SIGKILL);
            waitpid(pid, NULL, 0);
            opened->gateways[i].pid = 0;
        }
    }
}

static void
on_signal(int sig)
{
    end_processes();
    _exit(128 + sig);
}

void
rig_open(struct rig *r, const char *path)
{
    memset(r, 0, sizeof(*r));
    clock_gettime(CLOCK_MONOTONIC, &begin);
    signal(SIGPIPE, SIG_IGN);
    record = fopen(path, "w");
    if (!record) {
        perror(path);
        exit(2);
    }
    snprintf(r->dir, sizeof(r->dir), "/tmp/review-2-XXXXXX");
    if (!mkdtemp(r->dir)) {
        perror(r->dir);
        exit(2);
    }
    opened = r;
    atexit(end_processes);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
}

void
rig_close(struct rig *r)
{
    end_processes();
    for (int i = 0; i < r->gateway_count; i++) {
        unlink(r->gateways[i].settings);
        unlink(r->gateways[i].log);
    }
    rmdir(r->dir);
    fclose(record);
}
