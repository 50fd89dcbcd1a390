#include "wire/link.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <zmq.h>

#include "base/clean.h"

#define KEY_BYTES 32
#define KEY_TEXT 40
#define MAX_SOCKETS 2048
#define SEND_LIMIT 256
#define RECEIVE_LIMIT 4096
/* A handshake that is not over by then is ended by libzmq. */
#define HANDSHAKE_MS 2000
/* Handshakes of unknown keys that wait to be answered; more than nodes join at
 * the same time. */
#define HELD_MAX 512
/* Messages handled in one turn, so that other work of the loop gets its
 * share. */
#define BATCH 256

/* Messages that wait for a connection to be established. */
#define EARLY_MAX 64
/* A silent connection is noticed after two to five seconds; owners that do not
 * answer are noticed sooner by the asks. The accepting side is told by
 * HEARTBEAT_TTL_MS and sends none of its own, since a fleet has many idle
 * connections. */
#define HEARTBEAT_MS 2000
#define HEARTBEAT_TIMEOUT_MS 3000
#define HEARTBEAT_TTL_MS 6000

#define COUNTER_LIST(X)                                                       \
    X(sent)                                                                   \
    X(dropped)                                                                \
    X(received)                                                               \
    X(malformed)                                                              \
    X(denied)                                                                 \
    X(held)                                                                   \
    X(early)

struct peer {
    char *address;
    char key[KEY_TEXT + 1];
    bool fixed;     /* from the options */
    bool allowed;   /* in the last link_set_peers */
    gint64 left_us; /* the first time it was not; 0: it is */
    void *socket;   /* NULL until first used */
    struct link *link;
    uint64_t node; /* last addressed */
    bool up;       /* the last message was queued */
    bool dirty;    /* in link->dirty: may have input */
    GQueue early;  /* struct early_msg, for the first connection */
};

/* A message that waits for a connection. */
struct early_msg {
    struct buf bytes;
    gint64 came_us;
};

/* Identity that the ROUTER gave to the connection of a node. */
struct heard {
    uint64_t node;
    size_t len;
    unsigned char id[255];
};

/* A handshake that waits for the decision on its key. */
struct zap_request {
    size_t route_len;
    unsigned char route[32];
    size_t id_len;
    unsigned char id[32];
    char key[KEY_TEXT + 1];
    gint64 came_us;
};

struct link {
    struct link_options opts;
    bool curve;
    char public_key[KEY_TEXT + 1];
    char secret_key[KEY_TEXT + 1];
    char bound[128];
    void *ctx;
    void *router;
    void *zap;
    int epoll;
    GHashTable *peers; /* address -> struct peer */
    GHashTable *heard; /* node -> struct heard */
    GPtrArray *dirty;
    GArray *lost; /* uint64_t, nodes to be reported */
    GArray *held; /* struct zap_request, oldest first */
    struct buf out;
#define X(id) uint64_t id;
    struct {
        COUNTER_LIST(X)
    } count;
#undef X
};

static void
set_int(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void
watch(struct link *l, void *socket, int op, void *what)
{
    int fd;
    size_t size = sizeof(fd);
    struct epoll_event ev = {.events = EPOLLIN, .data.ptr = what};
    if (zmq_getsockopt(socket, ZMQ_FD, &fd, &size) == 0) {
        epoll_ctl(l->epoll, op, fd, &ev);
    }
}

/* libzmq's descriptors signal a change once. Any call on a socket may take
 * the signal, so a socket that was written to is read as well. */
static void
mark_dirty(struct peer *p)
{
    if (!p->dirty) {
        p->dirty = true;
        g_ptr_array_add(p->link->dirty, p);
    }
}

static void
early_free(gpointer p)
{
    struct early_msg *m = p;
    buf_free(&m->bytes);
    free(m);
}

static void
close_socket(struct peer *peer)
{
    g_queue_clear_full(&peer->early, early_free);
    if (peer->socket) {
        watch(peer->link, peer->socket, EPOLL_CTL_DEL, NULL);
        zmq_close(peer->socket);
        peer->socket = NULL;
    }
    if (peer->dirty) {
        g_ptr_array_remove_fast(peer->link->dirty, peer);
        peer->dirty = false;
    }
    peer->up = false;
}

static void
peer_free(void *p)
{
    struct peer *peer = p;
    close_socket(peer);
    g_free(peer->address);
    free(peer);
}

static struct peer *
peer_put(struct link *l, const struct link_peer *p)
{
    char *address = g_strndup(p->address.ptr, p->address.len);
    struct peer *peer = g_hash_table_lookup(l->peers, address);
    char key[KEY_TEXT + 1] = "";
    if (p->public_key.len == KEY_TEXT) {
        memcpy(key, p->public_key.ptr, KEY_TEXT);
    }
    if (peer && strcmp(peer->key, key) != 0) {
        if (peer->fixed) {
            g_free(address);
            return peer;
        }
        /* The node was replaced by one with another key. */
        g_hash_table_remove(l->peers, address);
        peer = NULL;
    }
    if (!peer) {
        peer = mem_zero(1, sizeof(*peer));
        peer->address = address;
        peer->link = l;
        memcpy(peer->key, key, sizeof(key));
        g_hash_table_insert(l->peers, peer->address, peer);
        return peer;
    }
    g_free(address);
    return peer;
}

static void answer_held(struct link *l);

static gboolean
is_stale(gpointer address, gpointer value, gpointer ctx)
{
    struct peer *p = value;
    const struct link *l = ctx;
    gint64 now_us = g_get_monotonic_time();
    (void)address;
    if (p->fixed || p->allowed) {
        p->left_us = 0;
        return FALSE;
    }
    p->left_us = p->left_us ? p->left_us : now_us;
    return now_us - p->left_us >= (gint64)l->opts.leave_ms * 1000;
}

static void
clear_allowed(gpointer address, gpointer value, gpointer ctx)
{
    (void)address;
    (void)ctx;
    ((struct peer *)value)->allowed = false;
}

void
link_set_peers(struct link *l, const struct link_peer *peers, int count)
{
    g_hash_table_foreach(l->peers, clear_allowed, NULL);
    for (int i = 0; i < count; i++) {
        peer_put(l, &peers[i])->allowed = true;
    }
    g_hash_table_foreach_remove(l->peers, is_stale, l);
    answer_held(l);
}

static bool
key_allowed(const struct link *l, const char *key)
{
    GHashTableIter it;
    gpointer value;
    /* The node itself is a member of its own roster. */
    if (strcmp(key, l->public_key) == 0) {
        return true;
    }
    g_hash_table_iter_init(&it, l->peers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (strcmp(((struct peer *)value)->key, key) == 0) {
            return true;
        }
    }
    return false;
}

static void
send_text(void *socket, const char *text, int flags)
{
    zmq_send(socket, text, strlen(text), flags);
}

static void
answer_zap(struct link *l, const struct zap_request *r, bool ok)
{
    l->count.denied += !ok;
    zmq_send(l->zap, r->route, r->route_len, ZMQ_SNDMORE);
    send_text(l->zap, "", ZMQ_SNDMORE);
    send_text(l->zap, "1.0", ZMQ_SNDMORE);
    zmq_send(l->zap, r->id, r->id_len, ZMQ_SNDMORE);
    /* 300 is a temporary failure, after which the peer connects again. After
     * 400 libzmq would give up for good. */
    send_text(l->zap, ok ? "200" : "300", ZMQ_SNDMORE);
    send_text(l->zap, "", ZMQ_SNDMORE);
    send_text(l->zap, "", ZMQ_SNDMORE);
    send_text(l->zap, "", 0);
}

/* Frames of a request of the ZeroMQ authentication protocol (RFC 27) as a
 * ROUTER receives it. */
enum zap_frame {
    ZAP_ROUTE,
    ZAP_EMPTY,
    ZAP_VERSION,
    ZAP_ID,
    ZAP_DOMAIN,
    ZAP_ADDRESS,
    ZAP_IDENTITY,
    ZAP_MECHANISM,
    ZAP_CREDENTIALS,
    ZAP_FRAMES
};

static bool
copy_frame(zmq_msg_t *m, unsigned char *out, size_t max, size_t *len)
{
    *len = zmq_msg_size(m);
    if (*len > max) {
        return false;
    }
    memcpy(out, zmq_msg_data(m), *len);
    return true;
}

/* @return false if the request is not one of a CURVE handshake */
static bool
read_zap(zmq_msg_t *frames, int n, struct zap_request *out)
{
    return n == ZAP_FRAMES &&
           copy_frame(&frames[ZAP_ROUTE], out->route, sizeof(out->route),
                      &out->route_len) &&
           copy_frame(&frames[ZAP_ID], out->id, sizeof(out->id),
                      &out->id_len) &&
           zmq_msg_size(&frames[ZAP_MECHANISM]) == 5 &&
           memcmp(zmq_msg_data(&frames[ZAP_MECHANISM]), "CURVE", 5) == 0 &&
           zmq_msg_size(&frames[ZAP_CREDENTIALS]) == KEY_BYTES &&
           zmq_z85_encode(out->key, zmq_msg_data(&frames[ZAP_CREDENTIALS]),
                          KEY_BYTES);
}

/* A node that joins may be ahead of what is known here, and libzmq would let
 * it wait for HANDSHAKE_MS after a refusal, so the answer waits for its key.
 */
static void
hold_zap(struct link *l, const struct zap_request *r)
{
    if (l->held->len == HELD_MAX) {
        answer_zap(l, &g_array_index(l->held, struct zap_request, 0), false);
        g_array_remove_index(l->held, 0);
    }
    l->count.held++;
    g_array_append_val(l->held, *r);
}

/* Refuses handshakes that libzmq has ended by now. */
static void
drop_held(struct link *l)
{
    gint64 before = g_get_monotonic_time() - HANDSHAKE_MS * 1000;
    while (l->held->len > 0) {
        const struct zap_request *r =
            &g_array_index(l->held, struct zap_request, 0);
        if (r->came_us > before) {
            return;
        }
        answer_zap(l, r, false);
        g_array_remove_index(l->held, 0);
    }
}

static void
answer_held(struct link *l)
{
    for (guint i = 0; i < l->held->len;) {
        const struct zap_request *r =
            &g_array_index(l->held, struct zap_request, i);
        if (key_allowed(l, r->key)) {
            answer_zap(l, r, true);
            g_array_remove_index(l->held, i);
        }
        else {
            i++;
        }
    }
}

/* Takes one request of the authentication protocol. */
static bool
run_zap(struct link *l)
{
    zmq_msg_t frames[ZAP_FRAMES];
    struct zap_request r = {0};
    int n = 0;
    int more = 1;
    while (more) {
        zmq_msg_t m;
        zmq_msg_init(&m);
        if (zmq_msg_recv(&m, l->zap, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&m);
            return false;
        }
        more = zmq_msg_more(&m);
        if (n < ZAP_FRAMES) {
            frames[n++] = m;
        }
        else {
            zmq_msg_close(&m);
        }
    }
    if (!read_zap(frames, n, &r)) {
        l->count.malformed++;
    }
    else if (key_allowed(l, r.key)) {
        answer_zap(l, &r, true);
    }
    else {
        r.came_us = g_get_monotonic_time();
        hold_zap(l, &r);
    }
    for (int i = 0; i < n; i++) {
        zmq_msg_close(&frames[i]);
    }
    return true;
}

static void
remember(struct link *l, uint64_t node, const void *id, size_t len)
{
    struct heard *h = g_hash_table_lookup(l->heard, &node);
    if (!h) {
        if (g_hash_table_size(l->heard) >= MAX_SOCKETS) {
            return;
        }
        h = mem_zero(1, sizeof(*h));
        h->node = node;
        g_hash_table_insert(l->heard, &h->node, h);
    }
    h->len = len < sizeof(h->id) ? len : 0;
    memcpy(h->id, id, h->len);
}

static void
take(struct link *l, zmq_msg_t *id, zmq_msg_t *m)
{
    struct msg msg;
    struct str bytes = str_of(zmq_msg_data(m), zmq_msg_size(m));
    if (msg_decode(bytes, &msg) != ST_OK) {
        l->count.malformed++;
        return;
    }
    if (id) {
        remember(l, msg.from, zmq_msg_data(id), zmq_msg_size(id));
    }
    l->count.received++;
    l->opts.message(l->opts.ctx, &msg);
}

/* Receives one message. On the ROUTER the connection's identity comes
 * first. @return false if none waits */
static bool
receive(struct link *l, void *socket)
{
    zmq_msg_t frames[2];
    int want = socket == l->router ? 2 : 1;
    int n = 0;
    int more = 1;
    while (more) {
        zmq_msg_t m;
        zmq_msg_init(&m);
        if (zmq_msg_recv(&m, socket, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&m);
            return false;
        }
        more = zmq_msg_more(&m);
        if (n < want) {
            frames[n] = m;
        }
        else {
            zmq_msg_close(&m);
        }
        n++;
    }
    if (n == want) {
        take(l, want == 2 ? &frames[0] : NULL, &frames[want - 1]);
    }
    else {
        l->count.malformed++;
    }
    for (int i = 0; i < n && i < want; i++) {
        zmq_msg_close(&frames[i]);
    }
    return true;
}

/* Sends what has waited for the connection and is not too old. */
static void
flush_early(struct link *l, struct peer *p)
{
    gint64 before = g_get_monotonic_time() - (gint64)l->opts.early_ms * 1000;
    struct early_msg *m;
    while ((m = g_queue_peek_head(&p->early))) {
        bool old = m->came_us < before;
        if (!old && zmq_send(p->socket, m->bytes.ptr, m->bytes.len,
                             ZMQ_DONTWAIT) < 0) {
            return;
        }
        p->up |= !old;
        l->count.dropped += old;
        l->count.sent += !old;
        early_free(g_queue_pop_head(&p->early));
    }
}

static void
report_lost(struct link *l)
{
    while (l->lost->len > 0) {
        uint64_t node = g_array_index(l->lost, uint64_t, l->lost->len - 1);
        g_array_set_size(l->lost, l->lost->len - 1);
        if (l->opts.lost) {
            l->opts.lost(l->opts.ctx, node);
        }
    }
}

bool
link_run(struct link *l)
{
    struct epoll_event evs[64];
    int n = epoll_wait(l->epoll, evs, 64, 0);
    for (int i = 0; i < n; i++) {
        if (evs[i].data.ptr) {
            mark_dirty(evs[i].data.ptr);
        }
    }
    drop_held(l);
    while (l->zap && run_zap(l)) {
    }
    int taken = 0;
    while (taken < BATCH && receive(l, l->router)) {
        taken++;
    }
    while (taken < BATCH && l->dirty->len > 0) {
        struct peer *p = g_ptr_array_index(l->dirty, l->dirty->len - 1);
        if (receive(l, p->socket)) {
            taken++;
            continue;
        }
        flush_early(l, p);
        p->dirty = false;
        g_ptr_array_set_size(l->dirty, (int)l->dirty->len - 1);
    }
    report_lost(l);
    return taken == BATCH || l->dirty->len > 0;
}

int
link_fd(const struct link *l)
{
    return l->epoll;
}

static bool
open_socket(struct link *l, struct peer *p)
{
    p->socket = zmq_socket(l->ctx, ZMQ_DEALER);
    if (!p->socket) {
        return false;
    }
    /* A message waits only for an established connection: what is old when
     * a dead peer returns is of no use to it. */
    set_int(p->socket, ZMQ_IMMEDIATE, 1);
    set_int(p->socket, ZMQ_SNDHWM, SEND_LIMIT);
    set_int(p->socket, ZMQ_LINGER, 200);
    set_int(p->socket, ZMQ_RECONNECT_IVL, 100);
    set_int(p->socket, ZMQ_RECONNECT_IVL_MAX, 1000);
    set_int(p->socket, ZMQ_CONNECT_TIMEOUT, 1000);
    set_int(p->socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
    set_int(p->socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
    set_int(p->socket, ZMQ_HEARTBEAT_TTL, HEARTBEAT_TTL_MS);
    if (l->curve) {
        zmq_setsockopt(p->socket, ZMQ_CURVE_SERVERKEY, p->key, KEY_TEXT + 1);
        zmq_setsockopt(p->socket, ZMQ_CURVE_PUBLICKEY, l->public_key,
                       KEY_TEXT + 1);
        zmq_setsockopt(p->socket, ZMQ_CURVE_SECRETKEY, l->secret_key,
                       KEY_TEXT + 1);
    }
    if (zmq_connect(p->socket, p->address) != 0) {
        zmq_close(p->socket);
        p->socket = NULL;
        return false;
    }
    watch(l, p->socket, EPOLL_CTL_ADD, p);
    return true;
}

static struct peer *
peer_at(struct link *l, struct str address)
{
    char text[128];
    if (address.len >= sizeof(text)) {
        return NULL;
    }
    memcpy(text, address.ptr, address.len);
    text[address.len] = 0;
    struct peer *p = g_hash_table_lookup(l->peers, text);
    if (!p && !l->curve && g_hash_table_size(l->peers) < MAX_SOCKETS - 16) {
        struct link_peer open = {.address = address};
        p = peer_put(l, &open);
        p->allowed = true;
    }
    if (!p || (l->curve && !p->key[0]) || (!p->socket && !open_socket(l, p))) {
        return NULL;
    }
    return p;
}

static bool
send_back(struct link *l, uint64_t node)
{
    const struct heard *h = g_hash_table_lookup(l->heard, &node);
    return h &&
           zmq_send(l->router, h->id, h->len, ZMQ_SNDMORE | ZMQ_DONTWAIT) >=
               0 &&
           zmq_send(l->router, l->out.ptr, l->out.len, ZMQ_DONTWAIT) >= 0;
}

static bool
keep_early(struct link *l, struct peer *p)
{
    if (l->opts.early_ms == 0 || p->up ||
        g_queue_get_length(&p->early) == EARLY_MAX) {
        return false;
    }
    struct early_msg *m = mem_zero(1, sizeof(*m));
    buf_append_str(&m->bytes, buf_str(&l->out));
    m->came_us = g_get_monotonic_time();
    g_queue_push_tail(&p->early, m);
    l->count.early++;
    return true;
}

static bool
send_to(struct link *l, struct peer *p, uint64_t node)
{
    flush_early(l, p);
    bool ok = g_queue_is_empty(&p->early) &&
              zmq_send(p->socket, l->out.ptr, l->out.len, ZMQ_DONTWAIT) >= 0;
    p->node = node;
    if (!ok && keep_early(l, p)) {
        mark_dirty(p);
        return true;
    }
    mark_dirty(p);
    /* Nothing can be queued before the first connection is established; that
     * says nothing about the node. */
    if (!ok && p->up) {
        g_array_append_val(l->lost, node);
    }
    p->up = ok;
    return ok;
}

/* The connection to a node that has left the allowed peers. */
static struct peer *
leaving_peer(const struct link *l, uint64_t node)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, l->peers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct peer *p = value;
        if (p->socket && p->left_us && p->node == node) {
            return p;
        }
    }
    return NULL;
}

static bool
link_up(const struct link *l, struct str address)
{
    CLEAN_FREE char *text = g_strndup(address.ptr, address.len);
    const struct peer *p = text ? g_hash_table_lookup(l->peers, text) : NULL;
    return p && p->up;
}

bool
link_reachable(const struct link *l, uint64_t node, struct str address)
{
    return link_up(l, address) ||
           (l->opts.reply && g_hash_table_contains(l->heard, &node));
}

bool
link_send(struct link *l, uint64_t node, struct str address,
          const struct msg *m)
{
    buf_clear(&l->out);
    msg_encode(m, &l->out);
    bool back =
        (address.len == 0 || (l->opts.reply && !link_up(l, address))) &&
        send_back(l, node);
    struct peer *p = NULL;
    if (!back) {
        p = address.len ? peer_at(l, address) : leaving_peer(l, node);
    }
    bool ok = back || (p && send_to(l, p, node));
    l->count.sent += ok;
    l->count.dropped += !ok;
    return ok;
}

void
link_reset(struct link *l, struct str address)
{
    CLEAN_FREE char *text = g_strndup(address.ptr, address.len);
    struct peer *p = text ? g_hash_table_lookup(l->peers, text) : NULL;
    if (p) {
        close_socket(p);
    }
}

const char *
link_address(const struct link *l)
{
    return l->bound;
}

void
link_metrics(const struct link *l, struct buf *out)
{
#define X(id)                                                                 \
    buf_printf(out, "cf_link_" #id "_total %" PRIu64 "\n", l->count.id);
    COUNTER_LIST(X)
#undef X
    buf_printf(out, "cf_link_peers %u\n", g_hash_table_size(l->peers));
}

static bool
bind_router(struct link *l)
{
    l->router = zmq_socket(l->ctx, ZMQ_ROUTER);
    set_int(l->router, ZMQ_LINGER, 0);
    /* A reply to a connection that has gone fails instead of vanishing. */
    set_int(l->router, ZMQ_ROUTER_MANDATORY, 1);
    set_int(l->router, ZMQ_RCVHWM, RECEIVE_LIMIT);
    set_int(l->router, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
    int64_t largest = MSG_MAX_BYTES;
    zmq_setsockopt(l->router, ZMQ_MAXMSGSIZE, &largest, sizeof(largest));
    if (l->curve) {
        set_int(l->router, ZMQ_CURVE_SERVER, 1);
        zmq_setsockopt(l->router, ZMQ_CURVE_SECRETKEY, l->secret_key,
                       KEY_TEXT + 1);
        zmq_setsockopt(l->router, ZMQ_ZAP_DOMAIN, "nodes", 5);
        l->zap = zmq_socket(l->ctx, ZMQ_ROUTER);
        set_int(l->zap, ZMQ_LINGER, 0);
        if (zmq_bind(l->zap, "inproc://zeromq.zap.01") != 0) {
            return false;
        }
    }
    char *address = g_strndup(l->opts.address.ptr, l->opts.address.len);
    int rc = zmq_bind(l->router, address);
    g_free(address);
    watch(l, l->router, EPOLL_CTL_ADD, NULL);
    if (l->zap) {
        watch(l, l->zap, EPOLL_CTL_ADD, NULL);
    }
    size_t size = sizeof(l->bound);
    return rc == 0 &&
           zmq_getsockopt(l->router, ZMQ_LAST_ENDPOINT, l->bound, &size) == 0;
}

enum status
link_new(const struct link_options *opts, struct link **out)
{
    if ((opts->public_key.len != 0 || opts->secret_key.len != 0) &&
        (opts->public_key.len != KEY_TEXT ||
         opts->secret_key.len != KEY_TEXT)) {
        return err_set(ST_INVALID, "link keys need 40 characters (Z85)");
    }
    struct link *l = mem_zero(1, sizeof(*l));
    l->opts = *opts;
    l->curve = opts->public_key.len == KEY_TEXT;
    if (l->curve) {
        memcpy(l->public_key, opts->public_key.ptr, KEY_TEXT);
        memcpy(l->secret_key, opts->secret_key.ptr, KEY_TEXT);
    }
    l->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
    l->heard = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    l->dirty = g_ptr_array_new();
    l->lost = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    l->held = g_array_new(FALSE, FALSE, sizeof(struct zap_request));
    l->epoll = epoll_create1(EPOLL_CLOEXEC);
    for (int i = 0; i < opts->peer_count; i++) {
        peer_put(l, &opts->peers[i])->fixed = true;
    }
    l->ctx = zmq_ctx_new();
    zmq_ctx_set(l->ctx, ZMQ_MAX_SOCKETS, MAX_SOCKETS);
    if (!bind_router(l)) {
        int e = errno;
        link_free(l);
        return err_set(ST_IO, "cannot bind %.*s: %s", STR_FMT(opts->address),
                       zmq_strerror(e));
    }
    *out = l;
    return ST_OK;
}

void
link_free(struct link *l)
{
    if (!l) {
        return;
    }
    g_hash_table_destroy(l->peers);
    if (l->router) {
        zmq_close(l->router);
    }
    /* The ZAP handler closes last: open handshakes wait for it. */
    if (l->zap) {
        zmq_close(l->zap);
    }
    zmq_ctx_term(l->ctx);
    close(l->epoll);
    g_hash_table_destroy(l->heard);
    g_ptr_array_free(l->dirty, TRUE);
    g_array_free(l->lost, TRUE);
    g_array_free(l->held, TRUE);
    buf_free(&l->out);
    free(l);
}
