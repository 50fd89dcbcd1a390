#include "wire/link.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <zmq.h>

#include "base/address.h"
#include "base/clean.h"
#include "base/log.h"

#define KEY_BYTES 32
#define KEY_TEXT_LEN 40
#define MAX_SOCKETS 2048
#define SEND_QUEUE_MAX 256
#define RECEIVE_QUEUE_MAX 4096
/* libzmq ends a handshake that takes longer than this. */
#define HANDSHAKE_MS 2000
/* Maximum number of handshakes of unknown keys that wait for a reply. It is
 * more than the number of nodes that join at the same time. */
#define PENDING_ZAP_MAX 512
/* Maximum number of messages handled in one call, so that other work of the
 * event loop is not delayed. */
#define MAX_MESSAGES_PER_RUN 256

/* Maximum number of messages that wait for a connection to a peer. */
#define CONNECT_QUEUE_MAX 64
/* A silent connection is detected after two to five seconds; requests detect
 * owners that do not reply sooner. The accepting side times connections out by
 * HEARTBEAT_TTL_MS and sends no heartbeats of its own, since a fleet has many
 * idle connections. */
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
    char key[KEY_TEXT_LEN + 1];
    bool valid;        /* the address is "tcp://IP:PORT" */
    bool fixed;        /* from the options */
    bool allowed;      /* listed in the last link_set_peers call */
    gint64 removed_us; /* when link_set_peers first omitted it; 0: allowed */
    void *socket;      /* NULL until first used */
    struct link *link;
    uint64_t node;        /* destination of the last message */
    bool writable;        /* the last send succeeded */
    bool readable;        /* is in link->readable_peers: may have input */
    GQueue connect_queue; /* struct queued_msg, until the first connection */
};

/* A message that waits until the connection is established. */
struct queued_msg {
    struct buf bytes;
    gint64 queued_us;
};

/* Routing id that the ROUTER assigned to the connection of a node. */
struct reply_route {
    uint64_t node;
    size_t len;
    unsigned char id[255];
};

/* An authentication request that waits until its key is allowed. */
struct zap_request {
    size_t route_len;
    unsigned char route[32];
    size_t id_len;
    unsigned char id[32];
    char key[KEY_TEXT_LEN + 1];
    gint64 queued_us;
};

struct link {
    struct link_options opts;
    bool curve;
    char public_key[KEY_TEXT_LEN + 1];
    char secret_key[KEY_TEXT_LEN + 1];
    char bound_address[128];
    void *ctx;
    void *router;
    void *zap;
    int epoll;
    GHashTable *peers;         /* address -> struct peer */
    GHashTable *reply_routes;  /* node -> struct reply_route */
    GPtrArray *readable_peers; /* struct peer */
    GArray *unreachable_nodes; /* uint64_t, not reported yet */
    GArray *pending_zap;       /* struct zap_request, oldest first */
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

/* libzmq's descriptors are edge-triggered, and any call on a socket may
 * consume the event. So a socket that was written to is read as well. */
static void
mark_dirty(struct peer *p)
{
    if (!p->readable) {
        p->readable = true;
        g_ptr_array_add(p->link->readable_peers, p);
    }
}

static void
queued_msg_free(gpointer p)
{
    struct queued_msg *m = p;
    buf_free(&m->bytes);
    free(m);
}

static void
close_socket(struct peer *peer)
{
    g_queue_clear_full(&peer->connect_queue, queued_msg_free);
    if (peer->socket) {
        watch(peer->link, peer->socket, EPOLL_CTL_DEL, NULL);
        zmq_close(peer->socket);
        peer->socket = NULL;
    }
    if (peer->readable) {
        g_ptr_array_remove_fast(peer->link->readable_peers, peer);
        peer->readable = false;
    }
    peer->writable = false;
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
add_peer(struct link *l, const struct link_peer *p)
{
    char *address = g_strndup(p->address.ptr, p->address.len);
    struct peer *peer = g_hash_table_lookup(l->peers, address);
    char key[KEY_TEXT_LEN + 1] = "";
    if (p->public_key.len == KEY_TEXT_LEN) {
        memcpy(key, p->public_key.ptr, KEY_TEXT_LEN);
    }
    if (peer && strcmp(peer->key, key) != 0) {
        if (peer->fixed) {
            g_free(address);
            return peer;
        }
        /* Another node, with another key, now has this address. */
        g_hash_table_remove(l->peers, address);
        peer = NULL;
    }
    if (!peer) {
        peer = mem_calloc(1, sizeof(*peer));
        peer->address = address;
        peer->link = l;
        struct str ip;
        int port;
        peer->valid = address_split_url(p->address, "tcp://", &ip, &port);
        if (!peer->valid) {
            LOG_EVENT(LOG_WARN, "peer_address_ignored",
                      LOG_STR("address", p->address));
        }
        memcpy(peer->key, key, sizeof(key));
        g_hash_table_insert(l->peers, peer->address, peer);
        return peer;
    }
    g_free(address);
    return peer;
}

static void accept_allowed_zap(struct link *l);

static gboolean
remove_if_expired(gpointer address, gpointer value, gpointer ctx)
{
    struct peer *p = value;
    const struct link *l = ctx;
    gint64 now_us = g_get_monotonic_time();
    (void)address;
    if (p->fixed || p->allowed) {
        p->removed_us = 0;
        return FALSE;
    }
    p->removed_us = p->removed_us ? p->removed_us : now_us;
    return now_us - p->removed_us >= (gint64)l->opts.removed_peer_ms * 1000;
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
        add_peer(l, &peers[i])->allowed = true;
    }
    g_hash_table_foreach_remove(l->peers, remove_if_expired, l);
    accept_allowed_zap(l);
}

static bool
key_allowed(const struct link *l, const char *key)
{
    GHashTableIter it;
    gpointer value;
    /* The node's own key is allowed: it is in the roster as well. */
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
send_zap_reply(struct link *l, const struct zap_request *r, bool ok)
{
    l->count.denied += !ok;
    zmq_send(l->zap, r->route, r->route_len, ZMQ_SNDMORE);
    send_text(l->zap, "", ZMQ_SNDMORE);
    send_text(l->zap, "1.0", ZMQ_SNDMORE);
    zmq_send(l->zap, r->id, r->id_len, ZMQ_SNDMORE);
    /* 300 is a temporary failure, after which the peer connects again. After
     * 400 libzmq would never connect again. */
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
parse_zap_request(zmq_msg_t *frames, int n, struct zap_request *out)
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

/* A joining node may connect before this node has received its key. After a
 * refusal libzmq would let it wait for HANDSHAKE_MS, so the reply is delayed
 * until the key is known. */
static void
queue_zap_request(struct link *l, const struct zap_request *r)
{
    if (l->pending_zap->len == PENDING_ZAP_MAX) {
        send_zap_reply(
            l, &g_array_index(l->pending_zap, struct zap_request, 0), false);
        g_array_remove_index(l->pending_zap, 0);
    }
    l->count.held++;
    g_array_append_val(l->pending_zap, *r);
}

/* Refuses the requests of handshakes that libzmq has already ended. */
static void
refuse_expired_zap(struct link *l)
{
    gint64 before = g_get_monotonic_time() - HANDSHAKE_MS * 1000;
    while (l->pending_zap->len > 0) {
        const struct zap_request *r =
            &g_array_index(l->pending_zap, struct zap_request, 0);
        if (r->queued_us > before) {
            return;
        }
        send_zap_reply(l, r, false);
        g_array_remove_index(l->pending_zap, 0);
    }
}

static void
accept_allowed_zap(struct link *l)
{
    for (guint i = 0; i < l->pending_zap->len;) {
        const struct zap_request *r =
            &g_array_index(l->pending_zap, struct zap_request, i);
        if (key_allowed(l, r->key)) {
            send_zap_reply(l, r, true);
            g_array_remove_index(l->pending_zap, i);
        }
        else {
            i++;
        }
    }
}

/* Receives and handles one authentication request.
 * @return false if none is waiting */
static bool
handle_zap_request(struct link *l)
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
    if (!parse_zap_request(frames, n, &r)) {
        l->count.malformed++;
    }
    else if (key_allowed(l, r.key)) {
        send_zap_reply(l, &r, true);
    }
    else {
        r.queued_us = g_get_monotonic_time();
        queue_zap_request(l, &r);
    }
    for (int i = 0; i < n; i++) {
        zmq_msg_close(&frames[i]);
    }
    return true;
}

static void
set_reply_route(struct link *l, uint64_t node, const void *id, size_t len)
{
    struct reply_route *h = g_hash_table_lookup(l->reply_routes, &node);
    if (!h) {
        if (g_hash_table_size(l->reply_routes) >= MAX_SOCKETS) {
            return;
        }
        h = mem_calloc(1, sizeof(*h));
        h->node = node;
        g_hash_table_insert(l->reply_routes, &h->node, h);
    }
    h->len = len < sizeof(h->id) ? len : 0;
    memcpy(h->id, id, h->len);
}

static void
dispatch_message(struct link *l, zmq_msg_t *id, zmq_msg_t *m)
{
    struct msg msg;
    struct str bytes = str_from_bytes(zmq_msg_data(m), zmq_msg_size(m));
    if (msg_decode(bytes, &msg) != ST_OK) {
        l->count.malformed++;
        return;
    }
    if (id) {
        set_reply_route(l, msg.from, zmq_msg_data(id), zmq_msg_size(id));
    }
    l->count.received++;
    l->opts.message(l->opts.ctx, &msg);
}

/* Receives one message. On the ROUTER its first frame is the routing id of
 * the connection. @return false if none is waiting */
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
        dispatch_message(l, want == 2 ? &frames[0] : NULL, &frames[want - 1]);
    }
    else {
        l->count.malformed++;
    }
    for (int i = 0; i < n && i < want; i++) {
        zmq_msg_close(&frames[i]);
    }
    return true;
}

/* Sends the messages that waited for the connection and drops those that are
 * too old. */
static void
flush_connect_queue(struct link *l, struct peer *p)
{
    gint64 before =
        g_get_monotonic_time() - (gint64)l->opts.connect_queue_ms * 1000;
    struct queued_msg *m;
    while ((m = g_queue_peek_head(&p->connect_queue))) {
        bool old = m->queued_us < before;
        if (!old && zmq_send(p->socket, m->bytes.ptr, m->bytes.len,
                             ZMQ_DONTWAIT) < 0) {
            return;
        }
        p->writable |= !old;
        l->count.dropped += old;
        l->count.sent += !old;
        queued_msg_free(g_queue_pop_head(&p->connect_queue));
    }
}

static void
report_unreachable_nodes(struct link *l)
{
    while (l->unreachable_nodes->len > 0) {
        uint64_t node = g_array_index(l->unreachable_nodes, uint64_t,
                                      l->unreachable_nodes->len - 1);
        g_array_set_size(l->unreachable_nodes, l->unreachable_nodes->len - 1);
        if (l->opts.unreachable) {
            l->opts.unreachable(l->opts.ctx, node);
        }
    }
}

bool
link_process_events(struct link *l)
{
    struct epoll_event evs[64];
    int n = epoll_wait(l->epoll, evs, 64, 0);
    for (int i = 0; i < n; i++) {
        if (evs[i].data.ptr) {
            mark_dirty(evs[i].data.ptr);
        }
    }
    refuse_expired_zap(l);
    while (l->zap && handle_zap_request(l)) {
    }
    int handled_count = 0;
    while (handled_count < MAX_MESSAGES_PER_RUN && receive(l, l->router)) {
        handled_count++;
    }
    while (handled_count < MAX_MESSAGES_PER_RUN &&
           l->readable_peers->len > 0) {
        struct peer *p =
            g_ptr_array_index(l->readable_peers, l->readable_peers->len - 1);
        if (receive(l, p->socket)) {
            handled_count++;
            continue;
        }
        flush_connect_queue(l, p);
        p->readable = false;
        g_ptr_array_set_size(l->readable_peers,
                             (int)l->readable_peers->len - 1);
    }
    report_unreachable_nodes(l);
    return handled_count == MAX_MESSAGES_PER_RUN || l->readable_peers->len > 0;
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
    /* Queue messages only for established connections: old messages are
     * useless to a peer that returns after a failure. */
    set_int(p->socket, ZMQ_IMMEDIATE, 1);
    set_int(p->socket, ZMQ_SNDHWM, SEND_QUEUE_MAX);
    set_int(p->socket, ZMQ_LINGER, 200);
    set_int(p->socket, ZMQ_RECONNECT_IVL, 100);
    set_int(p->socket, ZMQ_RECONNECT_IVL_MAX, 1000);
    set_int(p->socket, ZMQ_CONNECT_TIMEOUT, 1000);
    set_int(p->socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
    set_int(p->socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
    set_int(p->socket, ZMQ_HEARTBEAT_TTL, HEARTBEAT_TTL_MS);
    if (l->curve) {
        zmq_setsockopt(p->socket, ZMQ_CURVE_SERVERKEY, p->key,
                       KEY_TEXT_LEN + 1);
        zmq_setsockopt(p->socket, ZMQ_CURVE_PUBLICKEY, l->public_key,
                       KEY_TEXT_LEN + 1);
        zmq_setsockopt(p->socket, ZMQ_CURVE_SECRETKEY, l->secret_key,
                       KEY_TEXT_LEN + 1);
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
open_peer(struct link *l, struct str address)
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
        p = add_peer(l, &open);
        p->allowed = true;
    }
    if (!p || !p->valid || (l->curve && !p->key[0]) ||
        (!p->socket && !open_socket(l, p))) {
        return NULL;
    }
    return p;
}

static bool
send_over_reply_route(struct link *l, uint64_t node)
{
    const struct reply_route *h = g_hash_table_lookup(l->reply_routes, &node);
    return h &&
           zmq_send(l->router, h->id, h->len, ZMQ_SNDMORE | ZMQ_DONTWAIT) >=
               0 &&
           zmq_send(l->router, l->out.ptr, l->out.len, ZMQ_DONTWAIT) >= 0;
}

static bool
queue_until_connected(struct link *l, struct peer *p)
{
    if (l->opts.connect_queue_ms == 0 || p->writable ||
        g_queue_get_length(&p->connect_queue) == CONNECT_QUEUE_MAX) {
        return false;
    }
    struct queued_msg *m = mem_calloc(1, sizeof(*m));
    buf_append_str(&m->bytes, buf_str(&l->out));
    m->queued_us = g_get_monotonic_time();
    g_queue_push_tail(&p->connect_queue, m);
    l->count.early++;
    return true;
}

static bool
send_to(struct link *l, struct peer *p, uint64_t node)
{
    flush_connect_queue(l, p);
    bool ok = g_queue_is_empty(&p->connect_queue) &&
              zmq_send(p->socket, l->out.ptr, l->out.len, ZMQ_DONTWAIT) >= 0;
    p->node = node;
    if (!ok && queue_until_connected(l, p)) {
        mark_dirty(p);
        return true;
    }
    mark_dirty(p);
    /* Before the first connection is established no message can be sent; this
     * does not mean that the node has failed. */
    if (!ok && p->writable) {
        g_array_append_val(l->unreachable_nodes, node);
    }
    p->writable = ok;
    return ok;
}

/* Finds the open connection to a node that is no longer an allowed peer. */
static struct peer *
find_removed_peer(const struct link *l, uint64_t node)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, l->peers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct peer *p = value;
        if (p->socket && p->removed_us && p->node == node) {
            return p;
        }
    }
    return NULL;
}

static bool
is_address_writable(const struct link *l, struct str address)
{
    CLEANUP_FREE char *text = g_strndup(address.ptr, address.len);
    const struct peer *p = text ? g_hash_table_lookup(l->peers, text) : NULL;
    return p && p->writable;
}

bool
link_has_connection(const struct link *l, uint64_t node, struct str address)
{
    return is_address_writable(l, address) ||
           (l->opts.reply && g_hash_table_contains(l->reply_routes, &node));
}

bool
link_send(struct link *l, uint64_t node, struct str address,
          const struct msg *m)
{
    buf_clear(&l->out);
    msg_encode(m, &l->out);
    bool back = (address.len == 0 ||
                 (l->opts.reply && !is_address_writable(l, address))) &&
                send_over_reply_route(l, node);
    struct peer *p = NULL;
    if (!back) {
        p = address.len ? open_peer(l, address) : find_removed_peer(l, node);
    }
    bool ok = back || (p && send_to(l, p, node));
    l->count.sent += ok;
    l->count.dropped += !ok;
    return ok;
}

void
link_reset_connection(struct link *l, struct str address)
{
    CLEANUP_FREE char *text = g_strndup(address.ptr, address.len);
    struct peer *p = text ? g_hash_table_lookup(l->peers, text) : NULL;
    if (p) {
        close_socket(p);
    }
}

const char *
link_bound_address(const struct link *l)
{
    return l->bound_address;
}

void
link_write_metrics(const struct link *l, struct buf *out)
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
    /* A reply over a closed connection fails instead of being dropped
     * silently. */
    set_int(l->router, ZMQ_ROUTER_MANDATORY, 1);
    set_int(l->router, ZMQ_RCVHWM, RECEIVE_QUEUE_MAX);
    set_int(l->router, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
    int64_t largest = MSG_MAX_BYTES;
    zmq_setsockopt(l->router, ZMQ_MAXMSGSIZE, &largest, sizeof(largest));
    if (l->curve) {
        set_int(l->router, ZMQ_CURVE_SERVER, 1);
        zmq_setsockopt(l->router, ZMQ_CURVE_SECRETKEY, l->secret_key,
                       KEY_TEXT_LEN + 1);
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
    size_t size = sizeof(l->bound_address);
    return rc == 0 && zmq_getsockopt(l->router, ZMQ_LAST_ENDPOINT,
                                     l->bound_address, &size) == 0;
}

enum status
link_new(const struct link_options *opts, struct link **out)
{
    if ((opts->public_key.len != 0 || opts->secret_key.len != 0) &&
        (opts->public_key.len != KEY_TEXT_LEN ||
         opts->secret_key.len != KEY_TEXT_LEN)) {
        return err_set(ST_INVALID, "link keys need 40 characters (Z85)");
    }
    struct link *l = mem_calloc(1, sizeof(*l));
    l->opts = *opts;
    l->curve = opts->public_key.len == KEY_TEXT_LEN;
    if (l->curve) {
        memcpy(l->public_key, opts->public_key.ptr, KEY_TEXT_LEN);
        memcpy(l->secret_key, opts->secret_key.ptr, KEY_TEXT_LEN);
    }
    l->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
    l->reply_routes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    l->readable_peers = g_ptr_array_new();
    l->unreachable_nodes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    l->pending_zap = g_array_new(FALSE, FALSE, sizeof(struct zap_request));
    l->epoll = epoll_create1(EPOLL_CLOEXEC);
    for (int i = 0; i < opts->peer_count; i++) {
        add_peer(l, &opts->peers[i])->fixed = true;
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
    /* The ZAP socket is closed last, since open handshakes wait for it. */
    if (l->zap) {
        zmq_close(l->zap);
    }
    zmq_ctx_term(l->ctx);
    close(l->epoll);
    g_hash_table_destroy(l->reply_routes);
    g_ptr_array_free(l->readable_peers, TRUE);
    g_array_free(l->unreachable_nodes, TRUE);
    g_array_free(l->pending_zap, TRUE);
    buf_free(&l->out);
    free(l);
}
