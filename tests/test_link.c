/* Guards against messages from unknown keys being accepted, calls that block
 * on dead peers, and peers that stay disconnected after a restart. */
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "tests/peer.h"
#include "wire/link.h"

#define LIMIT_US (20 * G_USEC_PER_SEC)

struct node {
    struct link *link;
    char public_key[41];
    char secret_key[41];
    int received;
    int unreachable;
    int connect_queue_ms;
    bool reply;
    int removed_peer_ms;
    uint64_t last_sender;
};

static void
on_message(void *ctx, const struct msg *m)
{
    struct node *n = ctx;
    n->received++;
    n->last_sender = m->from;
}

static void
on_lost(void *ctx, uint64_t node)
{
    struct node *n = ctx;
    g_assert_cmpint(node, ==, 7);
    n->unreachable++;
}

static void
open_node(struct node *n, const char *address, bool curve,
          const struct node *peer)
{
    struct link_peer p = {0};
    if (peer) {
        p.address = str_from_cstr(link_bound_address(peer->link));
        p.public_key = str_from_cstr(peer->public_key);
    }
    if (curve && !n->public_key[0]) {
        zmq_curve_keypair(n->public_key, n->secret_key);
    }
    struct link_options opts = {
        .address = str_from_cstr(address),
        .public_key = str_from_cstr(n->public_key),
        .secret_key = str_from_cstr(n->secret_key),
        .peer_count = peer ? 1 : 0,
        .peers = &p,
        .reply = n->reply,
        .removed_peer_ms = n->removed_peer_ms,
        .connect_queue_ms = n->connect_queue_ms,
        .ctx = n,
        .message = on_message,
        .unreachable = on_lost,
    };
    g_assert_cmpint(link_new(&opts, &n->link), ==, ST_OK);
}

static bool
send_ping(struct node *n, const char *address, uint64_t from)
{
    struct msg m = {.type = MSG_PING, .from = from};
    return link_send(n->link, 7, str_from_cstr(address), &m);
}

static void
run(struct node *n, int count)
{
    struct pollfd p[4];
    for (int i = 0; i < count; i++) {
        p[i] = (struct pollfd){.fd = link_fd(n[i].link), .events = POLLIN};
        while (link_process_events(n[i].link)) {
        }
    }
    poll(p, (nfds_t)count, 5);
}

/* Sends until the receiver has received one more message. */
static void
deliver(struct node *n, int count, int from, int to)
{
    int before = n[to].received;
    gint64 end = g_get_monotonic_time() + LIMIT_US;
    while (n[to].received == before) {
        g_assert_cmpint(g_get_monotonic_time(), <, end);
        send_ping(&n[from], link_bound_address(n[to].link),
                  (uint64_t)from + 1);
        run(n, count);
    }
    g_assert_cmpint(n[to].last_sender, ==, from + 1);
}

static void
test_both_ways(void)
{
    for (int curve = 0; curve < 2; curve++) {
        struct node n[2] = {0};
        open_node(&n[0], "tcp://127.0.0.1:*", curve, NULL);
        open_node(&n[1], "tcp://127.0.0.1:*", curve, &n[0]);
        struct link_peer p = {str_from_cstr(link_bound_address(n[1].link)),
                              str_from_cstr(n[1].public_key)};
        link_set_peers(n[0].link, &p, 1);
        deliver(n, 2, 0, 1);
        deliver(n, 2, 1, 0);
        link_free(n[1].link);
        link_free(n[0].link);
    }
}

/* A joining node must receive replies before its address is known. Guards
 * against joins that never complete. */
static void
test_reply_over_connection(void)
{
    struct node n[2] = {0};
    open_node(&n[0], "tcp://127.0.0.1:*", false, NULL);
    open_node(&n[1], "tcp://127.0.0.1:*", false, &n[0]);
    struct msg m = {.type = MSG_ACK, .from = 1};
    g_assert_false(link_send(n[0].link, 2, STR_LIT(""), &m));
    deliver(n, 2, 1, 0);
    g_assert_true(link_send(n[0].link, 2, STR_LIT(""), &m));
    gint64 end = g_get_monotonic_time() + LIMIT_US;
    while (n[1].received == 0) {
        g_assert_cmpint(g_get_monotonic_time(), <, end);
        run(n, 2);
    }
    g_assert_cmpint(n[1].last_sender, ==, 1);
    link_free(n[1].link);
    link_free(n[0].link);
}

static int64_t
read_counter(struct node *n, const char *name)
{
    struct buf out = {0};
    link_write_metrics(n->link, &out);
    char *p = strstr(out.ptr, name);
    int64_t v = g_ascii_strtoll(p + strlen(name), NULL, 10);
    buf_free(&out);
    return v;
}

static void
test_unknown_key(void)
{
    struct node n[2] = {0};
    open_node(&n[0], "tcp://127.0.0.1:*", true, NULL);
    open_node(&n[1], "tcp://127.0.0.1:*", true, &n[0]);
    gint64 end = g_get_monotonic_time() + LIMIT_US;
    while (read_counter(&n[0], "cf_link_denied_total ") == 0) {
        g_assert_cmpint(g_get_monotonic_time(), <, end);
        send_ping(&n[1], link_bound_address(n[0].link), 2);
        run(n, 2);
    }
    g_assert_cmpint(n[0].received, ==, 0);
    /* The node is accepted once it is an allowed peer, and no longer after it
     * has been removed. */
    struct link_peer p = {str_from_cstr(link_bound_address(n[1].link)),
                          str_from_cstr(n[1].public_key)};
    link_set_peers(n[0].link, &p, 1);
    deliver(n, 2, 1, 0);
    link_set_peers(n[0].link, NULL, 0);
    g_assert_false(send_ping(&n[0], link_bound_address(n[1].link), 1));
    link_free(n[1].link);
    link_free(n[0].link);
}

static void
test_restarted_and_dead_peer(void)
{
    struct node n[2] = {0};
    open_node(&n[0], "tcp://127.0.0.1:*", true, NULL);
    open_node(&n[1], "tcp://127.0.0.1:*", true, &n[0]);
    struct link_peer p = {str_from_cstr(link_bound_address(n[1].link)),
                          str_from_cstr(n[1].public_key)};
    char address[128];
    g_strlcpy(address, link_bound_address(n[1].link), sizeof(address));
    link_set_peers(n[0].link, &p, 1);
    p.address = str_from_cstr(address);
    deliver(n, 2, 0, 1);
    link_free(n[1].link);
    /* While no peer is listening, messages are dropped and no call blocks. */
    int dropped = 0;
    gint64 end = g_get_monotonic_time() + LIMIT_US;
    while (dropped < 100) {
        g_assert_cmpint(g_get_monotonic_time(), <, end);
        dropped += !send_ping(&n[0], address, 1);
        run(n, 1);
    }
    g_assert_cmpint(n[0].unreachable, ==, 1);
    open_node(&n[1], address, true, &n[0]);
    deliver(n, 2, 0, 1);
    link_free(n[1].link);
    link_free(n[0].link);
}

/* Bytes that do not come from a node must not stop the link. */
static void
test_garbage(void)
{
    struct node n[2] = {0};
    open_node(&n[0], "tcp://127.0.0.1:*", false, NULL);
    open_node(&n[1], "tcp://127.0.0.1:*", false, NULL);
    int port =
        (int)strtol(strrchr(link_bound_address(n[0].link), ':') + 1, NULL, 10);
    int fd = client_connect(port);
    client_send(fd, STR_LIT("GET / HTTP/1.1\r\n\r\n"));
    void *ctx = zmq_ctx_new();
    void *s = zmq_socket(ctx, ZMQ_DEALER);
    zmq_connect(s, link_bound_address(n[0].link));
    zmq_send(s, "nonsense", 8, 0);
    zmq_send(s, "a", 1, ZMQ_SNDMORE);
    zmq_send(s, "b", 1, ZMQ_SNDMORE);
    zmq_send(s, "c", 1, 0);
    gint64 end = g_get_monotonic_time() + LIMIT_US;
    while (read_counter(&n[0], "cf_link_malformed_total ") < 2) {
        g_assert_cmpint(g_get_monotonic_time(), <, end);
        run(n, 2);
    }
    deliver(n, 2, 1, 0);
    zmq_close(s);
    zmq_ctx_term(ctx);
    close(fd);
    link_free(n[1].link);
    link_free(n[0].link);
}

/* Guards against the loss of the message that opens a connection: a request
 * would be delayed until it is repeated. */
static void
test_first_message(void)
{
    struct node n[2] = {0};
    open_node(&n[0], "tcp://127.0.0.1:*", true, NULL);
    n[1].connect_queue_ms = 10000;
    open_node(&n[1], "tcp://127.0.0.1:*", true, &n[0]);
    struct link_peer p = {str_from_cstr(link_bound_address(n[1].link)),
                          str_from_cstr(n[1].public_key)};
    link_set_peers(n[0].link, &p, 1);
    for (int i = 0; i < 3; i++) {
        g_assert_true(send_ping(&n[1], link_bound_address(n[0].link), 2));
    }
    gint64 end = g_get_monotonic_time() + LIMIT_US;
    while (n[0].received < 3) {
        g_assert_cmpint(g_get_monotonic_time(), <, end);
        run(n, 2);
    }
    g_assert_cmpint(read_counter(&n[1], "cf_link_dropped_total "), ==, 0);
    /* Without a peer: messages that are too old are dropped, and the queue is
     * bounded. */
    link_free(n[0].link);
    link_free(n[1].link);
    n[1] = (struct node){.connect_queue_ms = 20};
    open_node(&n[1], "tcp://127.0.0.1:*", false, NULL);
    for (int i = 0; i < 200; i++) {
        send_ping(&n[1], "tcp://127.0.0.1:1", 2);
    }
    g_assert_cmpint(read_counter(&n[1], "cf_link_early_total "), ==, 64);
    g_usleep(30 * 1000);
    send_ping(&n[1], "tcp://127.0.0.1:1", 2);
    g_assert_cmpint(read_counter(&n[1], "cf_link_dropped_total "), ==, 200);
    link_free(n[1].link);
}

/* Guards against a second handshake for replies, and against nodes that are
 * considered disconnected although replies can be sent to them. */
static void
test_answer_over_asking_connection(void)
{
    struct node n[2] = {{.reply = true},
                        {.reply = true, .connect_queue_ms = 10000}};
    open_node(&n[0], "tcp://127.0.0.1:*", true, NULL);
    open_node(&n[1], "tcp://127.0.0.1:*", true, &n[0]);
    struct link_peer p = {str_from_cstr(link_bound_address(n[1].link)),
                          str_from_cstr(n[1].public_key)};
    link_set_peers(n[0].link, &p, 1);
    struct msg m = {.type = MSG_ACK, .from = 1};
    g_assert_false(link_has_connection(n[0].link, 2, p.address));
    deliver(n, 2, 1, 0);
    g_assert_true(link_has_connection(n[0].link, 2, p.address));
    g_assert_true(link_has_connection(
        n[1].link, 7, str_from_cstr(link_bound_address(n[0].link))));
    for (int i = 0; i < 20; i++) {
        g_assert_true(link_send(n[0].link, 2, p.address, &m));
    }
    gint64 end = g_get_monotonic_time() + LIMIT_US;
    while (n[1].received < 20) {
        g_assert_cmpint(g_get_monotonic_time(), <, end);
        run(n, 2);
    }
    /* No message had to wait for another connection. */
    g_assert_cmpint(read_counter(&n[0], "cf_link_early_total "), ==, 0);
    g_assert_cmpint(read_counter(&n[0], "cf_link_dropped_total "), ==, 0);
    link_free(n[1].link);
    link_free(n[0].link);
}

/* A stopping node is removed from the allowed peers before it sends its last
 * replies. Guards against the loss of these replies: other nodes would repeat
 * its work. */
static void
test_leaving(void)
{
    struct node n[2] = {{.reply = true, .removed_peer_ms = 60000},
                        {.reply = true, .removed_peer_ms = 60000}};
    open_node(&n[0], "tcp://127.0.0.1:*", true, NULL);
    open_node(&n[1], "tcp://127.0.0.1:*", true, &n[0]);
    struct link_peer p = {str_from_cstr(link_bound_address(n[1].link)),
                          str_from_cstr(n[1].public_key)};
    link_set_peers(n[0].link, &p, 1);
    deliver(n, 2, 0, 1);
    link_set_peers(n[0].link, NULL, 0);
    /* The removed node replies over the connection of the requesting node,
     * receives a message without an address, and opens a new connection. */
    struct msg m = {.type = MSG_ACK, .from = 2};
    g_assert_true(link_send(n[1].link, 1, STR_LIT(""), &m));
    g_assert_true(link_send(n[0].link, 7, STR_LIT(""), &m));
    gint64 end = g_get_monotonic_time() + LIMIT_US;
    int before = n[1].received;
    while (n[0].received < 1 || n[1].received < before + 1) {
        g_assert_cmpint(g_get_monotonic_time(), <, end);
        run(n, 2);
    }
    deliver(n, 2, 1, 0);
    link_free(n[1].link);
    link_free(n[0].link);
}

/* A node may connect before the other node knows its key. libzmq retries a
 * refused handshake after two seconds only, within which the node would be
 * considered dead. The connection must work as soon as the key is known. */
static void
test_early_key(void)
{
    struct node n[2] = {0};
    open_node(&n[0], "tcp://127.0.0.1:*", true, NULL);
    open_node(&n[1], "tcp://127.0.0.1:*", true, &n[0]);
    gint64 end = g_get_monotonic_time() + LIMIT_US;
    while (read_counter(&n[0], "cf_link_held_total ") == 0) {
        g_assert_cmpint(g_get_monotonic_time(), <, end);
        send_ping(&n[1], link_bound_address(n[0].link), 2);
        run(n, 2);
    }
    g_assert_cmpint(n[0].received, ==, 0);
    struct link_peer p = {str_from_cstr(link_bound_address(n[1].link)),
                          str_from_cstr(n[1].public_key)};
    link_set_peers(n[0].link, &p, 1);
    gint64 known = g_get_monotonic_time();
    deliver(n, 2, 1, 0);
    g_assert_cmpint(g_get_monotonic_time() - known, <, G_USEC_PER_SEC);
    g_assert_cmpint(read_counter(&n[0], "cf_link_denied_total "), ==, 0);
    link_free(n[1].link);
    link_free(n[0].link);
}

/* Guards against addresses of another writer that make libzmq resolve a host
 * name, which blocks its thread and with it all connections, or open a socket
 * of another kind. */
static void
test_odd_addresses(void)
{
    static const char *const rows[] = {
        "tcp://localhost:9",
        "tcp://127.0.0.1:0",
        "tcp://127.0.0.1:99999",
        "tcp://127.0.0.1:-1",
        "tcp://127.0.0.1",
        "tcp://*:9",
        "tcp://127.0.0.1:9;x",
        "inproc://x",
        "ipc:///tmp/cf-odd",
        "inproc://zeromq.zap.01",
        "epgm://127.0.0.1;239.192.1.1:9",
        "x",
        "://",
    };
    for (int curve = 0; curve < 2; curve++) {
        struct node n = {.connect_queue_ms = 400};
        open_node(&n, "tcp://127.0.0.1:*", curve, NULL);
        for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
            struct link_peer p = {str_from_cstr(rows[i]),
                                  str_from_cstr(n.public_key)};
            g_test_message("%s", rows[i]);
            link_set_peers(n.link, &p, 1);
            g_assert_false(send_ping(&n, rows[i], 1));
            run(&n, 1);
        }
        link_free(n.link);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/link/both-ways", test_both_ways);
    g_test_add_func("/link/reply-over-connection", test_reply_over_connection);
    g_test_add_func("/link/first-message", test_first_message);
    g_test_add_func("/link/answer-over-asking-connection",
                    test_answer_over_asking_connection);
    g_test_add_func("/link/leaving", test_leaving);
    g_test_add_func("/link/early-key", test_early_key);
    g_test_add_func("/link/unknown-key", test_unknown_key);
    g_test_add_func("/link/restarted-and-dead-peer",
                    test_restarted_and_dead_peer);
    g_test_add_func("/link/garbage", test_garbage);
    g_test_add_func("/link/odd-addresses", test_odd_addresses);
    return g_test_run();
}
