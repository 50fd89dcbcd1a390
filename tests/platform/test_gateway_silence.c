/* Runs nodes and servers as processes while healthy servers hold all work for
 * a second or two and go on. Guards against answers that are cut or thrown
 * away for it, repeats above the shared limit, actions that run twice, and
 * refusals of requests that have run. */
#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/platform/rig_platform.h"
#include "tests/proc.h"

#define MS 1000LL
#define EVENTS 20
#define STREAM_US (1000 * MS)
#define SETTINGS                                                              \
    "{\"events\":%d,\"event_gap_us\":50000,\"delay_us\":100000,"              \
    "\"tag_events\":1,\"read_inputs\":%d,\"silent_us\":%" G_GINT64_FORMAT     \
    ",\"silent_from_us\":%" G_GINT64_FORMAT                                   \
    ",\"silent_every_us\":%" G_GINT64_FORMAT "}"
#define SILENCE_PERIOD_US (2600 * MS)
/* Pause between two silences at least. */
#define SPEECH_MIN_US (800 * MS)
/* A request has an answer this long after its route's timeout at the latest.
 */
#define LATE_MAX_US (500 * MS)
#define FIRST_SILENCE_US (700 * MS)
#define LOAD_US (3600 * MS)
/* All requests of a case lie in one window of the limit, 10 s. */
#define WINDOW_US (10000 * MS)
#define REPEAT_RATIO 0.2
#define REPEAT_SLACK 3
#define PLAIN_TIMEOUT_MS 4000
/* Longer than any request may take. */
#define READ_TIMEOUT_S 12
#define REFUSED_WAIT_US (100 * MS)

enum service { DESK, POOL, SERVICES };

struct route {
    const char *name;
    const char *host;
    const char *headers;
    enum service service;
    int64_t timeout_us;
    int callers;
    bool once;
    bool stream;
};

static const struct route routes[] = {
    {"stream", "stream", "Camphorfall-Pieces: 0,0\r\n", POOL, 5000 * MS, 6,
     false, true},
    {"staged", "stream",
     "Camphorfall-Pieces: 1,2\r\nCamphorfall-Piece-Key: k\r\n", POOL,
     5000 * MS, 12, false, true},
    {"check", "check", "", DESK, PLAIN_TIMEOUT_MS *MS, 6, false, false},
    {"action", "action", "", DESK, PLAIN_TIMEOUT_MS *MS, 6, true, false},
};

struct silence {
    const char *path;
    int64_t silent_us;
    bool silent[PR_SERVERS];
};

/* Servers that fall silent together: 0, 1: desk; 2, 3: pool; 4, 5: ledger. */
#define ONE                                                                   \
    {                                                                         \
        [0] = true, [2] = true                                                \
    }
#define ALL                                                                   \
    {                                                                         \
        [0] = true, true, true, true                                          \
    }
#define WITH_STAGES                                                           \
    {                                                                         \
        true, true, true, true, true, true                                    \
    }

static const struct silence rows[] = {
    {"/gateway-silence/one-800ms", 800 * MS, ONE},
    {"/gateway-silence/all-800ms", 800 * MS, ALL},
    {"/gateway-silence/one-1300ms", 1300 * MS, ONE},
    {"/gateway-silence/all-1300ms", 1300 * MS, ALL},
    {"/gateway-silence/one-1800ms", 1800 * MS, ONE},
    {"/gateway-silence/all-1800ms", 1800 * MS, ALL},
    /* Longer than a stream waits before it goes on elsewhere. */
    {"/gateway-silence/one-2900ms", 2900 * MS, ONE},
    {"/gateway-silence/stages-1300ms", 1300 * MS, WITH_STAGES},
};

struct request {
    char id[24];
    const struct route *route;
    int node;
    int64_t took_us;
    int status;    /* 0: no head */
    size_t bytes;  /* received */
    bool complete; /* the framing shows the end of the answer */
    bool own;      /* complete, and the whole answer to this request */
    /* From the servers' records. */
    int arrivals;
    int runs;
};

struct load {
    struct platform_rig rig;
    GMutex lock;
    GPtrArray *requests; /* struct request */
    GHashTable *by_id;   /* borrowed id -> struct request */
    _Atomic int stop;
};

struct caller {
    struct load *load;
    const struct route *route;
    int node;
    int fd;           /* -1: not connected */
    int64_t delay_us; /* before the first request */
    GThread *thread;
};

static int
connect_to(int port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct timeval limit = {.tv_sec = READ_TIMEOUT_S};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    g_assert_cmpint(connect(fd, (struct sockaddr *)&at, sizeof(at)), ==, 0);
    return fd;
}

/* Decodes the chunks in @p text. @return whether the last one is there */
static bool
decode_chunks(const char *text, GString *body)
{
    char *end;
    size_t n;
    while ((n = strtoul(text, &end, 16)) > 0 &&
           g_str_has_prefix(end, "\r\n") && strlen(end) >= n + 4) {
        g_string_append_len(body, end + 2, (gssize)n);
        text = end + 2 + n + 2;
    }
    return n == 0 && g_str_has_prefix(text, "0\r\n\r\n");
}

/* Reads the status, and the body into @p body as far as it is there.
 * @return whether the answer is complete */
static bool
parse_answer(const char *text, int *status, GString *body)
{
    const char *end = strstr(text, "\r\n\r\n");
    const char *length = strstr(text, "\r\nContent-Length: ");
    g_string_truncate(body, 0);
    if (!end) {
        return false;
    }
    *status = atoi(text + strlen("HTTP/1.1 "));
    if (!length || length > end) {
        return decode_chunks(end + 4, body);
    }
    g_string_append(body, end + 4);
    return body->len >=
           strtoul(length + strlen("\r\nContent-Length: "), NULL, 10);
}

/* Whether an answer with status 200 is the server's whole answer to this
 * request, and nothing else. */
static bool
is_own_answer(const struct request *q, const char *head, const char *body)
{
    char *seal = g_strdup_printf(".%s\r\n", q->id);
    GString *want = g_string_new(NULL);
    bool own = strstr(head, seal) != NULL;
    g_free(seal);
    if (q->route->stream) {
        for (int i = 0; i < EVENTS; i++) {
            g_string_append_printf(want, "id: %d\ndata: e%d %s\n\n", i, i,
                                   q->id);
        }
        own &= strcmp(body, want->str) == 0;
    }
    else {
        g_string_printf(want, " to %s", q->id);
        own &= g_str_has_prefix(body, "answer of desk-") &&
               g_str_has_suffix(body, want->str);
    }
    g_string_free(want, TRUE);
    return own;
}

/* Sends a request on the caller's connection and reads the answer. */
static void
run_request(struct caller *c, struct request *q)
{
    GString *in = g_string_new(NULL);
    GString *body = g_string_new(NULL);
    char some[4096];
    ssize_t n = 1;
    if (c->fd < 0) {
        c->fd = connect_to(c->load->rig.nodes[c->node].port);
    }
    char *out = g_strdup_printf(
        "POST /x/y?z=1 HTTP/1.1\r\nHost: %s\r\n" PR_KEY
        "Camphorfall-Request-Id: %s\r\n%sContent-Length: %zu\r\n\r\n%s",
        q->route->host, q->id, q->route->headers, strlen(q->id), q->id);
    int64_t begin_us = g_get_monotonic_time();
    send(c->fd, out, strlen(out), MSG_NOSIGNAL);
    while (!q->complete && (n = recv(c->fd, some, sizeof(some), 0)) > 0) {
        g_string_append_len(in, some, n);
        q->complete = parse_answer(in->str, &q->status, body);
    }
    q->took_us = g_get_monotonic_time() - begin_us;
    q->bytes = in->len;
    q->own = q->complete && is_own_answer(q, in->str, body->str);
    if (n <= 0 || strstr(in->str, "\r\nConnection: close\r\n")) {
        close(c->fd);
        c->fd = -1;
    }
    g_free(out);
    g_string_free(body, TRUE);
    g_string_free(in, TRUE);
}

static gpointer
run_caller(gpointer p)
{
    static _Atomic unsigned next;
    struct caller *c = p;
    g_usleep((gulong)c->delay_us);
    while (!atomic_load(&c->load->stop)) {
        struct request *q = g_new0(struct request, 1);
        g_snprintf(q->id, sizeof(q->id), "%08x%08x", (unsigned)getpid(),
                   atomic_fetch_add(&next, 1));
        q->route = c->route;
        q->node = c->node;
        run_request(c, q);
        g_mutex_lock(&c->load->lock);
        g_ptr_array_add(c->load->requests, q);
        g_hash_table_insert(c->load->by_id, q->id, q);
        g_mutex_unlock(&c->load->lock);
        if (q->status != 200) {
            g_usleep(REFUSED_WAIT_US);
        }
    }
    if (c->fd >= 0) {
        close(c->fd);
    }
    return NULL;
}

static void
run_callers(struct load *l)
{
    GArray *callers = g_array_new(FALSE, TRUE, sizeof(struct caller));
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        for (int k = 0; k < routes[i].callers; k++) {
            struct caller c = {.load = l,
                               .route = &routes[i],
                               .node = k % PR_NODES,
                               .fd = -1,
                               .delay_us = k * STREAM_US / routes[i].callers};
            g_array_append_val(callers, c);
        }
    }
    for (guint i = 0; i < callers->len; i++) {
        struct caller *c = &g_array_index(callers, struct caller, i);
        c->thread = g_thread_new("caller", run_caller, c);
    }
    g_usleep(LOAD_US);
    atomic_store(&l->stop, 1);
    for (guint i = 0; i < callers->len; i++) {
        g_thread_join(g_array_index(callers, struct caller, i).thread);
    }
    g_array_free(callers, TRUE);
}

/* Reads which requests arrived at a server and ran. @return the number of
 * those that no caller has sent */
static int
read_arrivals(struct load *l, int server)
{
    struct buf out = {0};
    int unknown = 0;
    g_assert_cmpint(proc_http_request(l->rig.servers[server].port, "GET",
                                      "/control/arrivals", "", STR_LIT(""),
                                      &out),
                    ==, 200);
    json_t *all = json_loadb(out.ptr, out.len, 0, NULL);
    size_t i;
    const json_t *it;
    json_array_foreach(all, i, it)
    {
        struct request *q = g_hash_table_lookup(
            l->by_id, json_string_value(json_array_get(it, 1)));
        if (q) {
            q->arrivals++;
            q->runs += json_is_true(json_array_get(it, 2));
        }
        unknown += q == NULL;
    }
    json_decref(all);
    buf_free(&out);
    return unknown;
}

/* @return what a rule does not allow about a request; NULL: nothing */
static const char *
find_violation(const struct request *q)
{
    bool late = q->took_us >= q->route->timeout_us;
    if (q->route->once && q->runs > 1) {
        return "ran twice";
    }
    if (q->took_us > q->route->timeout_us + LATE_MAX_US) {
        return "had no answer in time";
    }
    if (!q->complete) {
        /* A request that crosses the end of an idle connection. */
        bool crossed = q->bytes == 0 && q->arrivals == 0;
        return late || crossed ? NULL
               : q->bytes > 0  ? "cut"
                               : "closed without an answer";
    }
    if (q->status == 200) {
        return q->own ? NULL : "not the server's whole answer";
    }
    if (q->status == 503) {
        return q->runs > 0 ? "refused, but has run" : NULL;
    }
    return late ? NULL : "failed";
}

static void
set_servers(struct load *l, const struct silence *row)
{
    int64_t from_us = g_get_monotonic_time() + FIRST_SILENCE_US;
    for (int i = 0; i < PR_SERVERS; i++) {
        bool engine = i == 2 || i == 3;
        char *text = g_strdup_printf(
            SETTINGS, engine ? EVENTS : 0, engine,
            row->silent[i] ? (gint64)row->silent_us : 0, (gint64)from_us,
            (gint64)MAX(SILENCE_PERIOD_US, row->silent_us + SPEECH_MIN_US));
        platform_rig_post_control(&l->rig, l->rig.servers[i].port, text);
        g_free(text);
    }
}

/* Logs the results by route. @return the number of violations */
static int
check_requests(struct load *l)
{
    int violations = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        int requests = 0;
        int answered = 0;
        int refused = 0;
        int late = 0;
        int repeats = 0;
        int bad = 0;
        for (guint k = 0; k < l->requests->len; k++) {
            const struct request *q = g_ptr_array_index(l->requests, k);
            if (q->route != &routes[i]) {
                continue;
            }
            const char *why = find_violation(q);
            requests++;
            answered += q->own;
            refused += q->status == 503;
            late += q->took_us >= q->route->timeout_us;
            repeats += MAX(q->arrivals - 1, 0);
            bad += why != NULL;
            if (why) {
                g_test_message("%s %s at node %d: %s, status %d, %d ms, %zu "
                               "bytes, %d arrivals, %d runs",
                               routes[i].name, q->id, q->node, why, q->status,
                               (int)(q->took_us / MS), q->bytes, q->arrivals,
                               q->runs);
            }
        }
        g_test_message("%s: %d requests, %d answered, %d refused, %d late, "
                       "%d repeats, %d violations",
                       routes[i].name, requests, answered, refused, late,
                       repeats, bad);
        if (answered * 2 < requests) {
            g_test_message("%s: less than half was answered", routes[i].name);
            bad++;
        }
        violations += bad;
    }
    return violations;
}

/* @return whether the repeats at a service are within the shared limit */
static bool
is_within_limit(const struct load *l, enum service service)
{
    int requests = 0;
    int repeats = 0;
    for (guint i = 0; i < l->requests->len; i++) {
        const struct request *q = g_ptr_array_index(l->requests, i);
        if (q->route->service == service) {
            requests++;
            repeats += MAX(q->arrivals - 1, 0);
        }
    }
    int allowed = (int)(REPEAT_RATIO * requests) + REPEAT_SLACK;
    g_test_message("%s: %d repeats, %d allowed",
                   service == POOL ? "pool" : "desk", repeats, allowed);
    return repeats <= allowed;
}

static void
open_load(struct load *l)
{
    memset(l, 0, sizeof(*l));
    g_mutex_init(&l->lock);
    l->requests = g_ptr_array_new_with_free_func(g_free);
    l->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    platform_rig_open_without_nodes(&l->rig);
    l->rig.repeat_slack = REPEAT_SLACK;
    l->rig.plain_timeout_ms = PLAIN_TIMEOUT_MS;
    platform_rig_set_credentials(&l->rig, "\"key-1\"");
    for (int i = 0; i < PR_SERVERS; i++) {
        platform_rig_set_server_state(&l->rig, i, "ready");
    }
    platform_rig_start_nodes(&l->rig);
}

static void
close_load(struct load *l)
{
    platform_rig_close(&l->rig);
    g_hash_table_unref(l->by_id);
    g_ptr_array_free(l->requests, TRUE);
    g_mutex_clear(&l->lock);
}

static void
test_silence(gconstpointer p)
{
    struct load l;
    int unknown = 0;
    long gone = 0;
    bool protocol_error = false;
    open_load(&l);
    int64_t begin_us = g_get_monotonic_time();
    set_servers(&l, p);
    run_callers(&l);
    g_assert_cmpint(g_get_monotonic_time() - begin_us, <, WINDOW_US);
    for (int i = 0; i < PR_SERVERS; i++) {
        platform_rig_post_control(&l.rig, l.rig.servers[i].port,
                                  "{\"silent_us\":0}");
    }
    for (int i = 0; i < 4; i++) {
        unknown += read_arrivals(&l, i);
        gone += platform_rig_server_stat(&l.rig, i, "inputs_gone");
    }
    for (int i = 0; i < PR_SERVERS; i++) {
        protocol_error |= platform_rig_server_stat(&l.rig, i, "bad") != 0;
    }
    int violations = check_requests(&l);
    bool desk_ok = is_within_limit(&l, DESK);
    bool pool_ok = is_within_limit(&l, POOL);
    g_test_message("%ld calls whose inputs were gone, case took %d ms", gone,
                   (int)((g_get_monotonic_time() - begin_us) / MS));
    close_load(&l);
    g_assert_false(protocol_error);
    g_assert_cmpint(unknown, ==, 0);
    /* Not an assertion, which would end the program before the other cases. */
    if (violations > 0 || !desk_ok || !pool_ok) {
        g_test_fail();
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_test_add_data_func(rows[i].path, &rows[i], test_silence);
    }
    return g_test_run();
}
