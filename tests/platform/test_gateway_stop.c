/* Stops nodes while callers go on using their connections until the process is
 * gone. Guards against requests that a node has read and that end without an
 * answer, refusals that are untrue, actions that run twice, and stops that
 * last too long.
 *
 * STOP_SEED=N draws the pauses of the callers from another seed. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clean.h"
#include "base/rng.h"
#include "tests/platform/rig_platform.h"
#include "tests/proc.h"

#define MS G_TIME_SPAN_MILLISECOND
#define PIECES "Camphorfall-Pieces: 1,8\r\nCamphorfall-Piece-Key: k\r\n"
/* Longest time from the end of a request that was read to the end of its
 * connection without an answer; the platform's default. */
#define LOSS_SLACK_US (200 * MS)
/* A node may close a connection that sends nothing for this long. */
#define SEND_SLACK_US (10 * MS)
#define PAUSE_MAX_US (20 * MS)
#define UPLOAD_STEP_US (50 * MS)
#define UPLOAD_STEP_BYTES 100
/* Events of the rig's streams. */
#define STREAM_EVENTS 6
#define CALLERS_MAX 64
#define RESPONSE_TIMEOUT_MS 20000

enum caller_kind {
    CALLER_FRESH,  /* a new connection for each request */
    CALLER_KEPT,   /* one connection, until the node closes it */
    CALLER_UPLOAD, /* fresh, and sends the body slowly */
};

enum outcome {
    OUTCOME_ANSWERED,
    OUTCOME_NOT_READ, /* the connection was reset, or the request was not sent
                         completely */
    OUTCOME_CUT,      /* no complete answer to a request that was sent */
};

struct record {
    char id[24];
    const char *host;
    enum outcome outcome;
    int status;
    bool uploading;  /* the body was not sent completely */
    bool begun;      /* the answer had begun */
    bool kept;       /* the connection had served a request before */
    gint64 open_us;  /* the connection was opened */
    gint64 begin_us; /* the request was begun */
    gint64 sent_us;  /* its last byte was sent */
    gint64 end_us;
};

struct scenario {
    struct platform_rig rig;
    gint64 upload_us;
    gint64 stagger_us;    /* the callers start within this time */
    gint64 term_us;       /* time of the first SIGTERM */
    gint64 drain_us;      /* nothing more is accepted from then on */
    gint64 finish_us;     /* open requests are ended then */
    gint64 nominal_us[2]; /* duration of a plain request and of a stream */
    gint64 last_sixth_us; /* start of the last sixth of the limit */
    _Atomic int stop;
    GMutex lock;
    GPtrArray *records;
};

struct caller {
    struct scenario *s;
    enum caller_kind kind;
    const char *host;
    int node;
    struct rng rng;
    GThread *thread;
};

static int
connect_to(int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool
send_text(int fd, const char *text)
{
    size_t n = strlen(text);
    return send(fd, text, n, MSG_NOSIGNAL) == (ssize_t)n;
}

/* Sends a chunked body step by step. Stops if an answer comes before its end.
 * @return false if the connection was reset */
static bool
upload(const struct caller *c, int fd, struct record *r)
{
    char step[UPLOAD_STEP_BYTES + 16];
    int head = snprintf(step, sizeof(step), "%x\r\n", UPLOAD_STEP_BYTES);
    memset(step + head, 'x', UPLOAD_STEP_BYTES);
    memcpy(step + head + UPLOAD_STEP_BYTES, "\r\n", 3);
    for (gint64 us = 0; us < c->s->upload_us; us += UPLOAD_STEP_US) {
        struct pollfd p = {.fd = fd, .events = POLLIN};
        if (poll(&p, 1, UPLOAD_STEP_US / MS) > 0) {
            r->uploading = true;
            return true;
        }
        if (!send_text(fd, step)) {
            r->uploading = true;
            return false;
        }
    }
    return send_text(fd, "0\r\n\r\n");
}

/* Reads an answer. @return whether the connection may be used again */
static bool
read_answer(int fd, struct record *r)
{
    CLEANUP(buf_free) struct buf in = {0};
    char piece[8192];
    size_t body;
    ssize_t n;
    struct timeval limit = {RESPONSE_TIMEOUT_MS / 1000, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    while ((n = read(fd, piece, sizeof(piece))) > 0) {
        buf_append(&in, piece, (size_t)n);
        if (proc_parse_response(&in, false, &r->status, &body)) {
            r->end_us = g_get_monotonic_time();
            r->outcome = OUTCOME_ANSWERED;
            return !strcasestr(in.ptr, "\r\nConnection: close");
        }
    }
    r->end_us = g_get_monotonic_time();
    r->begun = in.len > 0;
    r->outcome = n < 0 && errno == ECONNRESET && in.len == 0 ? OUTCOME_NOT_READ
                                                             : OUTCOME_CUT;
    return false;
}

/* @return whether the connection may be used again */
static bool
send_request(struct caller *c, int fd, bool kept, gint64 open_us)
{
    static _Atomic int next;
    bool chunked = c->kind == CALLER_UPLOAD;
    struct record *r = g_new0(struct record, 1);
    snprintf(r->id, sizeof(r->id), "%08x%08x", (unsigned)getpid(),
             (unsigned)atomic_fetch_add(&next, 1));
    r->host = c->host;
    r->kept = kept;
    r->open_us = open_us;
    r->begin_us = g_get_monotonic_time();
    char *text = g_strdup_printf(
        "POST /x HTTP/1.1\r\nHost: %s\r\nCamphorfall-Request-Id: %s\r\n" PR_KEY
        "%s%s",
        c->host, r->id, strcmp(c->host, "stream") == 0 ? PIECES : "",
        chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                : "Content-Length: 4\r\n\r\nbody");
    bool sent = send_text(fd, text) && (!chunked || upload(c, fd, r));
    r->sent_us = g_get_monotonic_time();
    bool usable = read_answer(fd, r);
    if (!sent && r->outcome != OUTCOME_ANSWERED && !r->uploading) {
        r->outcome = OUTCOME_NOT_READ;
    }
    g_free(text);
    g_mutex_lock(&c->s->lock);
    g_ptr_array_add(c->s->records, r);
    g_mutex_unlock(&c->s->lock);
    return usable;
}

static gpointer
run_caller(gpointer p)
{
    struct caller *c = p;
    int fd = -1;
    gint64 open_us = 0;
    g_usleep(rng_below(&c->rng, (uint64_t)c->s->stagger_us + 1));
    while (!atomic_load(&c->s->stop)) {
        bool kept = fd >= 0;
        if (!kept) {
            fd = connect_to(c->s->rig.nodes[c->node].port);
            open_us = g_get_monotonic_time();
        }
        if (fd < 0) {
            break; /* the node accepts no more connections */
        }
        bool usable = send_request(c, fd, kept, open_us);
        if (c->kind != CALLER_KEPT || !usable) {
            close(fd);
            fd = -1;
        }
        g_usleep(rng_below(&c->rng, PAUSE_MAX_US));
    }
    if (fd >= 0) {
        close(fd);
    }
    return NULL;
}

/* A row of the table, as "key=value" words. */
struct row {
    const char *name;
    int limit_s;
    int balancer_ms;
    int delay_ms;   /* of the answers to actions and checks */
    int gap_ms;     /* between the six events of a stream */
    int stage_ms;   /* of a stage, from the SIGTERM on */
    int upload_ms;  /* of a slow body */
    int warm_ms;    /* from the start of the callers to the SIGTERM */
    int nodes;      /* nodes that are stopped: the first ones */
    int callers_at; /* nodes that have callers */
    int hups;       /* number of SIGHUP and further SIGTERM during the stop */
    int served;     /* at least so many answers from servers */
    const char *callers; /* "KIND:HOST*COUNT,..." at each of these nodes */
};

static int
row_int(const char *text, const char *key)
{
    char *word = g_strdup_printf(" %s=", key);
    const char *at = strstr(text, word);
    g_assert_nonnull(at);
    int n = atoi(at + strlen(word));
    g_free(word);
    return n;
}

static int
start_callers(struct scenario *s, const struct row *row, struct caller *out,
              uint64_t seed)
{
    static const char *const kinds[] = {"fresh", "kept", "upload"};
    static const char *const hosts[] = {"action", "check", "order", "draft",
                                        "stream"};
    char **words = g_strsplit(row->callers, ",", -1);
    int count = 0;
    for (int w = 0; words[w]; w++) {
        char kind[16];
        char host[16];
        int n;
        g_assert_cmpint(
            sscanf(words[w], "%15[a-z]:%15[a-z]*%d", kind, host, &n), ==, 3);
        for (int i = 0; i < n * row->callers_at; i++) {
            struct caller *c = &out[count++];
            g_assert_cmpint(count, <=, CALLERS_MAX);
            *c = (struct caller){.s = s, .node = i % row->callers_at};
            for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++) {
                c->kind = strcmp(kinds[k], kind) == 0 ? (enum caller_kind)k
                                                      : c->kind;
            }
            g_assert_cmpstr(kinds[c->kind], ==, kind);
            for (size_t h = 0; h < G_N_ELEMENTS(hosts); h++) {
                c->host = strcmp(hosts[h], host) == 0 ? hosts[h] : c->host;
            }
            g_assert_nonnull(c->host);
            rng_seed(&c->rng, seed + (uint64_t)count);
            c->thread = g_thread_new("caller", run_caller, c);
        }
    }
    g_strfreev(words);
    return count;
}

static bool
is_stream(const struct record *r)
{
    return strcmp(r->host, "draft") == 0 || strcmp(r->host, "stream") == 0;
}

/* Whether a request may have been passed on although it could not end: the
 * node did not yet know that it would stop, or the request may be repeated and
 * took longer than usual, as at a server that lacks processor time. */
static bool
may_be_ended(const struct scenario *s, const struct record *r)
{
    bool repeatable =
        strcmp(r->host, "check") == 0 || strcmp(r->host, "stream") == 0;
    return r->begin_us < s->term_us ||
           (repeatable &&
            r->begin_us + s->nominal_us[is_stream(r)] < s->finish_us);
}

/* Whether a stream may be broken off. */
static bool
may_be_cut(const struct scenario *s, const struct record *r)
{
    return is_stream(r) && r->begun && may_be_ended(s, r);
}

static const char *
find_violation(const struct scenario *s, const struct record *r, int runs)
{
    if (runs > 1 && strcmp(r->host, "check") != 0 &&
        strcmp(r->host, "stream") != 0) {
        return "ran more than once";
    }
    if (r->uploading && r->outcome != OUTCOME_ANSWERED) {
        return r->end_us - r->begin_us > LOSS_SLACK_US
                   ? "a slow body got no answer"
                   : NULL;
    }
    switch (r->outcome) {
    case OUTCOME_ANSWERED:
        if (r->status == 503 && runs > 0) {
            return "refused as not run, but it ran";
        }
        if (r->status == 503 && r->begin_us < s->drain_us &&
            r->end_us > s->last_sixth_us) {
            return "taken, and refused only at the limit";
        }
        if (r->status == 502 && !may_be_ended(s, r)) {
            return "passed on, although it could not end in time";
        }
        return NULL;
    case OUTCOME_NOT_READ:
        return runs > 0 ? "passed on and reset" : NULL;
    case OUTCOME_CUT:
        if (runs > 0) {
            return may_be_cut(s, r) ? NULL : "passed on and cut";
        }
        /* A kept connection may be closed while a request is on its way. */
        if (r->kept || r->begin_us - r->open_us > SEND_SLACK_US) {
            return r->end_us - r->sent_us > LOSS_SLACK_US ? "read and cut late"
                                                          : NULL;
        }
        return "a new connection was accepted and got no answer";
    }
    return "unknown outcome";
}

static void
check_records(const struct scenario *s, const struct row *row)
{
    int violations = 0;
    int served = 0;
    int statuses[600] = {0};
    for (guint i = 0; i < s->records->len; i++) {
        const struct record *r = g_ptr_array_index(s->records, i);
        int runs = platform_rig_count_runs(&s->rig, r->id);
        const char *why = find_violation(s, r, runs);
        served += r->outcome == OUTCOME_ANSWERED && r->status == 200;
        statuses[r->outcome == OUTCOME_ANSWERED ? r->status
                                                : (int)r->outcome]++;
        if (why) {
            g_test_message(
                "%s %s: %s; begun %d, sent %d, ended %d ms after "
                "SIGTERM, status %d, ran %d times",
                r->host, r->id, why, (int)((r->begin_us - s->term_us) / MS),
                (int)((r->sent_us - s->term_us) / MS),
                (int)((r->end_us - s->term_us) / MS), r->status, runs);
            violations++;
        }
    }
    g_test_message("%s: 200 %d, 502 %d, 503 %d, not read %d, cut %d",
                   row->name, statuses[200], statuses[502], statuses[503],
                   statuses[OUTCOME_NOT_READ], statuses[OUTCOME_CUT]);
    g_assert_cmpint(violations, ==, 0);
    g_assert_cmpint(served, >=, row->served);
}

static void
signal_nodes(struct scenario *s, const struct row *row, int sig)
{
    for (int n = 0; n < row->nodes; n++) {
        kill(s->rig.nodes[n].pid, sig);
    }
}

/* Stops the nodes and checks how long they take. */
static void
stop_nodes(struct scenario *s, const struct row *row, struct rng *rng)
{
    for (int i = 4; i < PR_SERVERS; i++) {
        char text[64];
        snprintf(text, sizeof(text), "{\"stage_delay_us\":%d}",
                 row->stage_ms * 1000);
        platform_rig_post_control(&s->rig, s->rig.servers[i].port, text);
    }
    s->term_us = g_get_monotonic_time();
    s->drain_us = s->term_us + row->balancer_ms * MS;
    s->finish_us = s->term_us + row->limit_s * 1000 * MS * 7 / 8;
    s->nominal_us[0] = row->delay_ms * MS;
    s->nominal_us[1] = STREAM_EVENTS * row->gap_ms * MS;
    s->last_sixth_us = s->term_us + row->limit_s * 1000 * MS * 5 / 6;
    signal_nodes(s, row, SIGTERM);
    for (int i = 0; i < row->hups; i++) {
        g_usleep(rng_below(rng, (uint64_t)row->balancer_ms * MS / row->hups));
        signal_nodes(s, row, i % 2 ? SIGTERM : SIGHUP);
    }
    for (int n = 0; n < row->nodes; n++) {
        g_assert_cmpint(proc_signal_and_wait(s->rig.nodes[n].pid, 0), ==, 0);
        s->rig.nodes[n].pid = 0;
        g_assert_cmpint((g_get_monotonic_time() - s->term_us) / MS, <,
                        row->limit_s * 1000);
    }
}

static void
set_delays(struct scenario *s, const struct row *row)
{
    char text[64];
    for (int i = 0; i < 4; i++) {
        snprintf(text, sizeof(text), "{\"delay_us\":%d,\"event_gap_us\":%d}",
                 row->delay_ms * 1000, row->gap_ms * 1000);
        platform_rig_post_control(&s->rig, s->rig.servers[i].port, text);
    }
}

static void
run_row(const struct row *row)
{
    struct scenario s = {.upload_us = row->upload_ms * MS,
                         .stagger_us = MIN(row->delay_ms, row->warm_ms) * MS};
    struct caller callers[CALLERS_MAX];
    struct rng rng;
    const char *text = g_getenv("STOP_SEED");
    uint64_t seed = text ? g_ascii_strtoull(text, NULL, 10) : 1;
    rng_seed(&rng, seed);
    g_mutex_init(&s.lock);
    s.records = g_ptr_array_new_with_free_func(g_free);
    platform_rig_open_without_nodes(&s.rig);
    s.rig.stop_limit_s = row->limit_s;
    s.rig.stop_balancer_ms = row->balancer_ms;
    platform_rig_register_servers(&s.rig);
    platform_rig_start_nodes(&s.rig);
    set_delays(&s, row);
    int count = start_callers(&s, row, callers, seed * CALLERS_MAX);
    g_usleep((gulong)row->warm_ms * 1000);
    stop_nodes(&s, row, &rng);
    atomic_store(&s.stop, 1);
    for (int i = 0; i < count; i++) {
        g_thread_join(callers[i].thread);
    }
    check_records(&s, row);
    platform_rig_close(&s.rig);
    g_ptr_array_free(s.records, TRUE);
    g_mutex_clear(&s.lock);
}

/* late: requests that arrive late in the grace and would last beyond it.
 * long: requests that last longer than the whole grace.
 * uploads: bodies that are still being sent at each moment of the stop.
 * stages: requests whose stages take longer than the grace.
 * all: all nodes stop at once, with stages in progress at each of them.
 * others: callers at all nodes, of which one stops; it owns stage endpoints
 * that the others use.
 * reload: SIGHUP and further SIGTERM while the node stops. */
static const char *const table[] = {
    "late limit_s=4 balancer_ms=2300 delay_ms=1900 gap_ms=350 stage_ms=0 "
    "upload_ms=0 warm_ms=4300 nodes=1 callers_at=1 hups=0 served=30 "
    "callers=fresh:order*8,kept:check*4,fresh:draft*6,fresh:stream*4",
    "long limit_s=2 balancer_ms=600 delay_ms=4000 gap_ms=600 stage_ms=0 "
    "upload_ms=0 warm_ms=300 nodes=1 callers_at=1 hups=0 served=0 "
    "callers=fresh:order*4,kept:order*4,fresh:draft*2,fresh:stream*2",
    "uploads limit_s=3 balancer_ms=500 delay_ms=5 gap_ms=5 stage_ms=0 "
    "upload_ms=1500 warm_ms=1000 nodes=1 callers_at=1 hups=0 served=4 "
    "callers=upload:order*12,upload:stream*4,kept:check*2",
    "stages limit_s=4 balancer_ms=600 delay_ms=5 gap_ms=100 "
    "stage_ms=4000 upload_ms=0 warm_ms=2000 nodes=1 callers_at=1 hups=0 "
    "served=8 callers=fresh:stream*8",
    "all limit_s=4 balancer_ms=300 delay_ms=200 gap_ms=100 stage_ms=0 "
    "upload_ms=0 warm_ms=1200 nodes=3 callers_at=3 hups=0 served=60 "
    "callers=fresh:action*2,kept:check*3,fresh:draft*2,kept:stream*4",
    "others limit_s=3 balancer_ms=300 delay_ms=50 gap_ms=50 stage_ms=0 "
    "upload_ms=0 warm_ms=800 nodes=1 callers_at=3 hups=0 served=60 "
    "callers=fresh:action*2,kept:check*2,fresh:draft*2,fresh:stream*4",
    "reload limit_s=3 balancer_ms=800 delay_ms=100 gap_ms=50 stage_ms=0 "
    "upload_ms=0 warm_ms=500 nodes=2 callers_at=2 hups=6 served=30 "
    "callers=kept:action*4,fresh:check*4,kept:stream*3",
};

static void
test_row(gconstpointer p)
{
    const char *text = p;
    char name[16];
    g_assert_cmpint(sscanf(text, "%15s", name), ==, 1);
    const struct row row = {name,
                            row_int(text, "limit_s"),
                            row_int(text, "balancer_ms"),
                            row_int(text, "delay_ms"),
                            row_int(text, "gap_ms"),
                            row_int(text, "stage_ms"),
                            row_int(text, "upload_ms"),
                            row_int(text, "warm_ms"),
                            row_int(text, "nodes"),
                            row_int(text, "callers_at"),
                            row_int(text, "hups"),
                            row_int(text, "served"),
                            strstr(text, " callers=") + strlen(" callers=")};
    run_row(&row);
}

/* Guards against a process that does not end, or fails, if it is stopped while
 * it starts. */
static void
test_start(void)
{
    struct platform_rig r;
    struct rng rng;
    const char *text = g_getenv("STOP_SEED");
    rng_seed(&rng, text ? g_ascii_strtoull(text, NULL, 10) : 1);
    platform_rig_open_without_nodes(&r);
    r.stop_limit_s = 2;
    for (int i = 0; i < 6; i++) {
        platform_rig_start_node(&r, 0);
        g_usleep(rng_below(&rng, 60 * MS));
        gint64 term_us = g_get_monotonic_time();
        int rc = proc_signal_and_wait(r.nodes[0].pid, SIGTERM);
        r.nodes[0].pid = 0;
        /* Before it can take a request, the signal may end it at once. */
        g_assert_true(rc == 0 || rc == -SIGTERM);
        g_assert_cmpint((g_get_monotonic_time() - term_us) / MS, <, 2000);
    }
    platform_rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
        char name[16];
        char path[64];
        g_assert_cmpint(sscanf(table[i], "%15s", name), ==, 1);
        snprintf(path, sizeof(path), "/gateway-stop/%s", name);
        g_test_add_data_func(path, table[i], test_row);
    }
    g_test_add_func("/gateway-stop/start", test_start);
    return g_test_run();
}
