/* Guards against a node that acts on an old configuration or endpoint list:
 * changes lost between list and watch, contact measured from the wrong time,
 * endpoints dropped because of an outage of the store, and shared watches that
 * report wrong changes or a wrong contact age. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "control/feed.h"
#include "tests/feed_text.h"

#define MS 1000LL
#define SECOND 1000000LL

#define MAX_PENDING_OPS 16
/* Time of a response of a store that is 300 times as slow as usual. */
#define SLOW_STORE_MS 1200
/* The return of a store that was silent must be noticed within this time. */
#define PROBE_NOTICE_MS 800

struct feed_fixture {
    struct feed *f;
    int64_t now;
    struct kv_op ops[MAX_PENDING_OPS]; /* submitted, without a result yet */
    int count;
};

static void
fixture_init_as(struct feed_fixture *r, const char *node)
{
    memset(r, 0, sizeof(*r));
    r->now = 100 * SECOND;
    r->f = feed_new(&feed_text_codec, str_from_cstr(node),
                    STR_LIT("tcp://x key"), 5);
}

static void
fixture_init(struct feed_fixture *r)
{
    fixture_init_as(r, "node-0");
}

static void
collect_ops(struct feed_fixture *r)
{
    struct kv_op op;
    while (feed_next_op(r->f, r->now, &op)) {
        g_assert_cmpint(r->count, <, MAX_PENDING_OPS);
        r->ops[r->count++] = op;
    }
}

/* Removes and returns the pending operation of a kind for a prefix ("": any).
 */
static struct kv_op
take_op(struct feed_fixture *r, enum kv_op_kind kind, const char *prefix)
{
    collect_ops(r);
    for (int i = 0; i < r->count; i++) {
        struct kv_op op = r->ops[i];
        if (op.kind == kind &&
            str_starts_with(op.prefix, str_from_cstr(prefix))) {
            r->ops[i] = r->ops[--r->count];
            return op;
        }
    }
    g_error("no operation of kind %d for %s", kind, prefix);
}

static void
give_result(struct feed_fixture *r, const struct kv_op *op,
            enum kv_outcome outcome, int64_t revision,
            const struct kv_item *items, int count)
{
    struct kv_result res = {.id = op->id,
                            .outcome = outcome,
                            .revision = revision,
                            .lease = 7,
                            .item_count = count,
                            .items = items};
    feed_handle_result(r->f, r->now, &res);
}

static struct kv_item
make_item(const char *key, const char *value, int64_t revision)
{
    return (struct kv_item){str_from_cstr(key),
                            str_from_cstr(value ? value : ""), revision,
                            value == NULL};
}

/* Answers the first lists with a configuration and two endpoints at
 * revision 10. */
static void
list_initial_records(struct feed_fixture *r)
{
    struct kv_item config[] = {make_item("o/config", "3", 5)};
    struct kv_item list[] = {make_item("e/one", "pool ready 0 1", 6),
                             make_item("e/two", "pool ready 0 1", 7)};
    struct kv_op op = take_op(r, KV_LIST, "o/");
    give_result(r, &op, KV_OK, 10, config, 1);
    op = take_op(r, KV_LIST, "e/");
    give_result(r, &op, KV_OK, 10, list, 2);
    op = take_op(r, KV_LIST, "n/");
    give_result(r, &op, KV_OK, 10, NULL, 0);
    struct cluster_view *s = feed_take_site(r->f, r->now);
    g_assert_nonnull(s);
    g_assert_cmpint(s->endpoint_count, ==, 2);
    g_assert_cmpint(routing_version(s->routing), ==, 3);
    cluster_view_unref(s);
}

static int
new_site_endpoint_count(struct feed_fixture *r)
{
    struct cluster_view *s = feed_take_site(r->f, r->now);
    int n = s ? s->endpoint_count : -1;
    cluster_view_unref(s);
    return n;
}

static void
test_changes(void)
{
    static const struct {
        const char *key;
        const char *value;           /* NULL: the key is deleted */
        int new_site_endpoint_count; /* after the change; -1: no new cluster
                                        view */
    } rows[] = {
        {"e/two", "pool draining 0 1", 1},
        {"e/two", "pool ready 0 1", 2},
        {"e/three", "pool ready 0 2", 3},
        {"e/three", "\x01garbage", -1},
        {"e/four", "other ready 0 2", 3},
        {"e/three", NULL, 2},
        {"e/never", NULL, -1},
    };
    struct feed_fixture r;
    fixture_init(&r);
    list_initial_records(&r);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        int64_t revision = 11 + (int64_t)i;
        struct kv_item change[] = {
            make_item(rows[i].key, rows[i].value, revision)};
        r.now += SECOND;
        struct kv_op op = take_op(&r, KV_WATCH, "e/");
        g_assert_cmpint(op.revision, ==, revision - 1);
        give_result(&r, &op, KV_OK, revision, change, 1);
        /* A change must be applied without waiting for the next call. */
        bool due = feed_next_wakeup_us(r.f) <= r.now;
        g_assert_cmpint(due, ==, rows[i].new_site_endpoint_count >= 0);
        g_assert_cmpint(new_site_endpoint_count(&r), ==,
                        rows[i].new_site_endpoint_count);
    }
    /* A zone out of service, and an older configuration that must be ignored.
     */
    struct kv_item zone[] = {make_item("o/zone/a", "{}", 30),
                             make_item("o/config", "2", 31)};
    struct kv_op op = take_op(&r, KV_WATCH, "o/");
    give_result(&r, &op, KV_OK, 31, zone, 2);
    struct cluster_view *s = feed_take_site(r.f, r.now);
    g_assert_cmpint(s->endpoint_count, ==, 0);
    g_assert_cmpint(routing_version(s->routing), ==, 3);
    cluster_view_unref(s);
    feed_free(r.f);
}

/* The contact is the time at which an answered call was sent, not the time of
 * its result. */
static void
test_contact(void)
{
    struct feed_fixture r;
    fixture_init(&r);
    list_initial_records(&r);
    struct kv_op op = take_op(&r, KV_WATCH, "o/");
    int64_t sent = r.now;
    r.now += 900 * MS;
    g_assert_cmpint(feed_contact_us(r.f), <=, sent);
    give_result(&r, &op, KV_OK, 10, NULL, 0);
    g_assert_cmpint(feed_contact_us(r.f), ==, sent);
    op = take_op(&r, KV_WATCH, "o/");
    r.now += 900 * MS;
    give_result(&r, &op, KV_OUTCOME_UNKNOWN, 0, NULL, 0);
    g_assert_cmpint(feed_contact_us(r.f), ==, sent);
    /* Without changes the store answers when the wait time has ended, however
     * late the result arrives; with changes, at any time after the call. */
    r.now += SECOND;
    op = take_op(&r, KV_WATCH, "o/");
    give_result(&r, &op, KV_OK, 10, NULL, 0);
    op = take_op(&r, KV_WATCH, "o/");
    g_assert_cmpint(op.wait_ms, >=, 500);
    sent = r.now;
    r.now += op.wait_ms * MS + 300 * MS;
    give_result(&r, &op, KV_OK, 10, NULL, 0);
    g_assert_cmpint(feed_contact_us(r.f), >, sent + op.wait_ms * MS - 50 * MS);
    g_assert_cmpint(feed_contact_us(r.f), <=, sent + op.wait_ms * MS);
    op = take_op(&r, KV_WATCH, "o/");
    sent = r.now;
    r.now += op.wait_ms * MS;
    struct kv_item change[] = {make_item("o/config", "4", 11)};
    give_result(&r, &op, KV_OK, 11, change, 1);
    g_assert_cmpint(feed_contact_us(r.f), ==, sent);
    feed_free(r.f);
}

/* If the store has compacted its history, the feed lists the records again and
 * so finds the changes that the watch has missed. */
static void
test_compacted(void)
{
    struct feed_fixture r;
    fixture_init(&r);
    list_initial_records(&r);
    struct kv_op op = take_op(&r, KV_WATCH, "e/");
    give_result(&r, &op, KV_COMPACTED, 0, NULL, 0);
    struct kv_item list[] = {make_item("e/one", "pool ready 0 1", 6)};
    op = take_op(&r, KV_LIST, "e/");
    give_result(&r, &op, KV_OK, 40, list, 1);
    g_assert_cmpint(new_site_endpoint_count(&r), ==, 1);
    op = take_op(&r, KV_WATCH, "e/");
    g_assert_cmpint(op.revision, ==, 40);
    feed_free(r.f);
}

/* Records that expired during an outage of the store stay in effect until they
 * are written again or two seconds have passed. Without an outage they are
 * removed at once. */
static void
test_outage(void)
{
    struct feed_fixture r;
    struct kv_item gone[] = {make_item("e/two", NULL, 50)};
    fixture_init(&r);
    list_initial_records(&r);
    struct kv_op op = take_op(&r, KV_WATCH, "e/");
    r.now += 1400 * MS;
    give_result(&r, &op, KV_OK, 12, NULL, 0);
    op = take_op(&r, KV_WATCH, "e/");
    give_result(&r, &op, KV_OUTCOME_UNKNOWN, 0, NULL, 0);
    r.now += 5 * SECOND;
    op = take_op(&r, KV_WATCH, "e/");
    give_result(&r, &op, KV_OK, 50, gone, 1);
    g_assert_cmpint(new_site_endpoint_count(&r), ==, 2);
    r.now += 3 * SECOND;
    g_assert_cmpint(new_site_endpoint_count(&r), ==, 1);
    gone[0] = make_item("e/one", NULL, 51);
    op = take_op(&r, KV_WATCH, "e/");
    give_result(&r, &op, KV_OK, 51, gone, 1);
    g_assert_cmpint(new_site_endpoint_count(&r), ==, 0);
    feed_free(r.f);
}

/* Runs a node whose calls to the store get no connection until @p cut_end_us.
 * From then on they are answered at once, and one endpoint is gone.
 * @return when the endpoint was no longer in use */
static int64_t
run_cut(struct feed_fixture *r, int64_t cut_end_us)
{
    const int64_t connect_timeout_us = 500 * MS;
    const struct kv_item gone[] = {make_item("e/two", NULL, 50)};
    int64_t ends_us[MAX_PENDING_OPS] = {0};
    bool answered[MAX_PENDING_OPS] = {false};
    int known = 0;
    for (;;) {
        collect_ops(r);
        for (int i = known; i < r->count; i++) {
            answered[i] = r->now >= cut_end_us;
            ends_us[i] = r->now + (answered[i] ? MS : connect_timeout_us);
        }
        known = r->count;
        if (new_site_endpoint_count(r) == 1) {
            return r->now;
        }
        int first = 0;
        for (int i = 1; i < r->count; i++) {
            first = ends_us[i] < ends_us[first] ? i : first;
        }
        int64_t wakeup_us = feed_next_wakeup_us(r->f);
        if (r->count == 0 || wakeup_us < ends_us[first]) {
            r->now = MAX(r->now, wakeup_us);
            continue;
        }
        struct kv_op op = r->ops[first];
        bool in_touch = answered[first];
        r->now = MAX(r->now, ends_us[first]);
        known = --r->count;
        r->ops[first] = r->ops[r->count];
        answered[first] = answered[r->count];
        ends_us[first] = ends_us[r->count];
        bool news =
            in_touch && op.revision < 50 && str_eq_cstr(op.prefix, "e/");
        give_result(r, &op, in_touch ? KV_OK : KV_OUTCOME_UNKNOWN, 50, gone,
                    news);
    }
}

/* Guards against endpoints that have left and are still used when the node
 * counts as connected again: records that were removed while it was cut off
 * stay in effect from the time at which it notices that it no longer is. */
static void
test_end_of_cut(void)
{
    const int64_t connected_us = 3 * SECOND;
    for (int i = 0; i < 400; i++) {
        struct feed_fixture r;
        fixture_init(&r);
        feed_free(r.f);
        r.f = feed_new(&feed_text_codec, STR_LIT("node-0"),
                       STR_LIT("tcp://x key"), (uint64_t)i);
        list_initial_records(&r);
        int64_t cut_end_us = r.now + 6 * SECOND + i * 7 * MS;
        int64_t unused_us = run_cut(&r, cut_end_us);
        /* An outage of the store looks the same. */
        g_assert_cmpint(unused_us, >=, cut_end_us + 2 * SECOND);
        g_assert_cmpint(unused_us, <=, cut_end_us + connected_us);
        feed_free(r.f);
    }
}

/* An endpoint that starts after the first list is cold for the cold time of
 * its service. */
static void
test_restart_is_cold(void)
{
    struct feed_fixture r;
    fixture_init(&r);
    list_initial_records(&r);
    struct kv_item change[] = {make_item("e/one", "pool ready 0 99", 20)};
    struct kv_op op = take_op(&r, KV_WATCH, "e/");
    give_result(&r, &op, KV_OK, 20, change, 1);
    struct cluster_view *s = feed_take_site(r.f, r.now);
    for (int i = 0; i < s->endpoint_count; i++) {
        const struct cluster_endpoint *e = &s->endpoints[i];
        bool started = str_eq_cstr(e->id, "one");
        g_assert_cmpint(e->cold_until_us > r.now + 3 * SECOND, ==, started);
    }
    cluster_view_unref(s);
    feed_free(r.f);
}

static void
test_registration(void)
{
    struct feed_fixture r;
    fixture_init(&r);
    struct kv_op op = take_op(&r, KV_LEASE_GRANT, "");
    give_result(&r, &op, KV_OK, 0, NULL, 0);
    /* Other nodes send requests to a registered node, so it must know the
     * cluster view first. */
    collect_ops(&r);
    for (int i = 0; i < r.count; i++) {
        g_assert_cmpint(r.ops[i].kind, ==, KV_LIST);
    }
    list_initial_records(&r);
    op = take_op(&r, KV_PUT, "");
    g_assert_true(str_eq_cstr(op.key, "n/node-0"));
    g_assert_cmpint(op.lease, ==, 7);
    give_result(&r, &op, KV_OK, 9, NULL, 0);
    r.now += 4 * SECOND;
    op = take_op(&r, KV_LEASE_RENEW, "");
    /* The lease has expired: the node registers again. */
    give_result(&r, &op, KV_LEASE_EXPIRED, 0, NULL, 0);
    op = take_op(&r, KV_LEASE_GRANT, "");
    give_result(&r, &op, KV_OK, 0, NULL, 0);
    op = take_op(&r, KV_PUT, "");
    give_result(&r, &op, KV_OK, 9, NULL, 0);
    g_assert_false(feed_is_deregistered(r.f));
    feed_start_deregistration(r.f, r.now);
    op = take_op(&r, KV_LEASE_REVOKE, "");
    give_result(&r, &op, KV_OK, 0, NULL, 0);
    g_assert_true(feed_is_deregistered(r.f));
    feed_free(r.f);
}

/* Lists a fleet in which this node may or may not be a watcher. */
static void
list_nodes(struct feed_fixture *r, int nodes)
{
    struct kv_item list[64];
    char *keys[64];
    for (int i = 0; i < nodes; i++) {
        keys[i] = g_strdup_printf("n/node-%d", i);
        list[i] = make_item(keys[i], "tcp://x key", 8);
    }
    struct kv_item config[] = {make_item("o/config", "3", 5)};
    struct kv_op op = take_op(r, KV_LIST, "n/");
    give_result(r, &op, KV_OK, 10, list, nodes);
    op = take_op(r, KV_LIST, "o/");
    give_result(r, &op, KV_OK, 10, config, 1);
    for (int i = 0; i < nodes; i++) {
        g_free(keys[i]);
    }
}

/* A watcher holds a request until there are changes, for a second at most, and
 * reports the age of its own contact. */
static void
check_watcher(struct feed_fixture *r, struct kv_op op)
{
    struct feed_query ask = {
        .correlation_id = 77, .track = FEED_RANGE_OPERATOR, .revision = 10};
    uint64_t node;
    struct feed_reply out;
    r->now += 100 * MS;
    feed_handle_peer_query(r->f, r->now, 42, &ask);
    g_assert_false(feed_next_peer_reply(r->f, &node, &out));
    /* Changes of other key ranges are frequent and must not cause a response.
     */
    int64_t sent = r->now - 100 * MS;
    give_result(r, &op, KV_OK, 25, NULL, 0);
    g_assert_false(feed_next_peer_reply(r->f, &node, &out));
    op = take_op(r, KV_WATCH, "o/");
    g_assert_cmpint(feed_next_wakeup_us(r->f), <=, r->now + SECOND);
    r->now += SECOND;
    collect_ops(r);
    g_assert_true(feed_next_peer_reply(r->f, &node, &out));
    g_assert_cmpint(node, ==, 42);
    g_assert_true(out.known);
    g_assert_cmpint(out.age_us, ==, r->now - sent);
    /* Changes are sent at once. */
    r->now += 10 * MS;
    ask.correlation_id = 78;
    ask.revision = 25;
    feed_handle_peer_query(r->f, r->now, 42, &ask);
    struct kv_item config[] = {make_item("o/config", "4", 27)};
    give_result(r, &op, KV_OK, 27, config, 1);
    g_assert_true(feed_next_peer_reply(r->f, &node, &out));
    g_assert_cmpint(out.item_count, ==, 1);
    g_assert_cmpint(out.revision, ==, 27);
    /* A node that lacks older changes than the watcher has cached gets the
     * response "unknown". */
    ask.revision = 9;
    feed_handle_peer_query(r->f, r->now, 42, &ask);
    g_assert_true(feed_next_peer_reply(r->f, &node, &out));
    g_assert_false(out.known);
}

/* A node that queries a watcher: its contact is the send time of its request
 * minus the age of the watcher's contact, and never decreases. */
static void
check_requesting_node(struct feed_fixture *r, struct kv_op op)
{
    int64_t before = feed_contact_us(r->f);
    r->now += 300 * MS;
    struct feed_reply a = {.correlation_id = op.id,
                           .known = true,
                           .revision = 10,
                           .age_us = FEED_AGE_UNKNOWN};
    feed_handle_peer_reply(r->f, r->now, &a);
    g_assert_cmpint(feed_contact_us(r->f), ==, before);
    for (int k = 0; k < 2; k++) {
        op = take_op(r, KV_WATCH, "o/");
        a.correlation_id = op.id;
        a.age_us = (k ? 1900 : 400) * MS;
        before = MAX(before, r->now - a.age_us);
        r->now += 900 * MS;
        feed_handle_peer_reply(r->f, r->now, &a);
        g_assert_cmpint(feed_contact_us(r->f), ==, before);
    }
    /* If a watcher lacks the changes, the node queries the store at once, one
     * time. */
    op = take_op(r, KV_WATCH, "o/");
    a = (struct feed_reply){.correlation_id = op.id, .age_us = 100 * MS};
    feed_handle_peer_reply(r->f, r->now, &a);
    op = take_op(r, KV_WATCH, "o/");
    g_assert_cmpuint(op.via_node, ==, 0);
    g_assert_cmpint(op.wait_ms, <=, 1);
    give_result(r, &op, KV_OK, 20, NULL, 0);
    /* A watcher whose own contact is old is skipped. */
    op = take_op(r, KV_WATCH, "o/");
    uint64_t first = op.via_node;
    g_assert_cmpuint(first, !=, 0);
    a = (struct feed_reply){.correlation_id = op.id,
                            .known = true,
                            .revision = 20,
                            .age_us = 4 * SECOND};
    feed_handle_peer_reply(r->f, r->now, &a);
    op = take_op(r, KV_WATCH, "o/");
    g_assert_cmpuint(op.via_node, ==, 0);
    give_result(r, &op, KV_OK, 20, NULL, 0);
    /* A silent watcher is skipped for all key ranges, within the time limit
     * for changes. */
    op = take_op(r, KV_WATCH, "o/");
    g_assert_cmpuint(op.via_node, !=, 0);
    g_assert_cmpuint(op.via_node, !=, first);
    uint64_t second = op.via_node;
    r->now += 1500 * MS;
    op = take_op(r, KV_WATCH, "o/");
    g_assert_cmpuint(op.via_node, ==, 0);
    give_result(r, &op, KV_OK, 20, NULL, 0);
    struct kv_op nodes = {0};
    for (int i = 0; i < r->count; i++) {
        if (str_eq_cstr(r->ops[i].prefix, "n/") && r->ops[i].id > nodes.id) {
            nodes = r->ops[i];
        }
    }
    /* The watcher may have restarted, and only the store has its new public
     * key. */
    g_assert_cmpuint(second, !=, 0);
    g_assert_cmpuint(nodes.via_node, ==, 0);
}

static void
test_shared_watch(void)
{
    int watchers = 0;
    for (int i = 0; i < 30; i++) {
        struct feed_fixture r;
        char name[16];
        g_snprintf(name, sizeof(name), "node-%d", i);
        fixture_init_as(&r, name);
        list_nodes(&r, 30);
        struct kv_op op = take_op(&r, KV_WATCH, "o/");
        watchers += op.via_node == 0;
        if (op.via_node) {
            check_requesting_node(&r, op);
        }
        else {
            check_watcher(&r, op);
        }
        feed_free(r.f);
    }
    /* Half of the square root of the number of nodes, at least three. */
    g_assert_cmpint(watchers, ==, 3);
}

/* A node without contact queries the watchers in turn, and the store only when
 * a watcher is silent. A watcher with contact provides the changes. */
static void
check_node_without_contact(struct feed_fixture *r, struct kv_op op)
{
    struct feed_reply unknown = {.correlation_id = op.id,
                                 .age_us = FEED_AGE_UNKNOWN};
    feed_handle_peer_reply(r->f, r->now, &unknown);
    op = take_op(r, KV_WATCH, "o/");
    g_assert_cmpuint(op.via_node, ==, 0);
    give_result(r, &op, KV_NOT_EXECUTED, 0, NULL, 0);
    uint64_t first = 0;
    for (int k = 0; k < 3; k++) {
        r->now += SECOND;
        op = take_op(r, KV_WATCH, "o/");
        g_assert_cmpuint(op.via_node, !=, 0);
        g_assert_cmpuint(op.via_node, !=, first);
        g_assert_true(op.wait_for_contact);
        first = op.via_node;
        r->now += 1500 * MS;
        op = take_op(r, KV_WATCH, "o/");
        g_assert_cmpuint(op.via_node, ==, 0);
        give_result(r, &op, KV_NOT_EXECUTED, 0, NULL, 0);
    }
    /* A watcher that has listed the store again lacks the changes that another
     * node has missed; only the store has them. */
    r->now += SECOND;
    op = take_op(r, KV_WATCH, "o/");
    unknown.correlation_id = op.id;
    feed_handle_peer_reply(r->f, r->now, &unknown);
    op = take_op(r, KV_WATCH, "o/");
    g_assert_cmpuint(op.via_node, ==, 0);
    give_result(r, &op, KV_NOT_EXECUTED, 0, NULL, 0);
    r->now += SECOND;
    op = take_op(r, KV_WATCH, "o/");
    int64_t asked = r->now;
    struct feed_reply fresh = {.correlation_id = op.id,
                               .known = true,
                               .age_us = 200 * MS,
                               .revision = 30};
    feed_handle_peer_reply(r->f, r->now, &fresh);
    g_assert_cmpint(feed_contact_us(r->f), ==, asked - 200 * MS);
}

/* A watcher without contact, whose repeated call has got no response either,
 * responds "unknown" at once to nodes that have contact, and responds to nodes
 * without contact as soon as it has contact again. */
static void
check_watcher_without_contact(struct feed_fixture *r, const struct kv_op *op)
{
    uint64_t node;
    struct feed_reply out;
    struct feed_query ask = {
        .correlation_id = 77, .track = FEED_RANGE_OPERATOR, .revision = 10};
    give_result(r, op, KV_OUTCOME_UNKNOWN, 0, NULL, 0);
    feed_handle_peer_query(r->f, r->now, 42, &ask);
    g_assert_false(feed_next_peer_reply(r->f, &node, &out));
    struct kv_op repeat = take_op(r, KV_WATCH, "o/");
    give_result(r, &repeat, KV_OUTCOME_UNKNOWN, 0, NULL, 0);
    g_assert_true(feed_next_peer_reply(r->f, &node, &out));
    g_assert_false(out.known);
    ask.correlation_id = 78;
    feed_handle_peer_query(r->f, r->now, 42, &ask);
    g_assert_true(feed_next_peer_reply(r->f, &node, &out));
    g_assert_false(out.known);
    ask.wait_for_contact = true;
    feed_handle_peer_query(r->f, r->now, 43, &ask);
    for (int k = 0; k < 2; k++) {
        r->now += SECOND;
        struct kv_op again = take_op(r, KV_WATCH, "o/");
        g_assert_cmpuint(again.via_node, ==, 0);
        g_assert_false(feed_next_peer_reply(r->f, &node, &out));
        give_result(r, &again, k == 0 ? KV_OUTCOME_UNKNOWN : KV_OK, 30, NULL,
                    0);
    }
    g_assert_true(feed_next_peer_reply(r->f, &node, &out));
    g_assert_cmpint(node, ==, 43);
    g_assert_true(out.known);
    g_assert_cmpint(out.age_us, ==, 0);
}

static void
test_without_contact(void)
{
    int requesting_nodes = 0;
    for (int i = 0; i < 30; i++) {
        struct feed_fixture r;
        char name[16];
        g_snprintf(name, sizeof(name), "node-%d", i);
        fixture_init_as(&r, name);
        list_nodes(&r, 30);
        struct kv_op op = take_op(&r, KV_WATCH, "o/");
        requesting_nodes += op.via_node != 0;
        if (op.via_node) {
            check_node_without_contact(&r, op);
        }
        else {
            check_watcher_without_contact(&r, &op);
        }
        feed_free(r.f);
    }
    g_assert_cmpint(requesting_nodes, ==, 27);
}

/* A node that watches the store for others and knows two endpoints. */
static void
init_watcher(struct feed_fixture *r, int nodes)
{
    struct kv_item list[] = {make_item("e/one", "pool ready 0 1", 6),
                             make_item("e/two", "pool ready 0 1", 7)};
    for (int i = 0; i < nodes; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "node-%d", i);
        fixture_init_as(r, name);
        list_nodes(r, nodes);
        collect_ops(r);
        for (int k = 0; k < r->count; k++) {
            if (r->ops[k].kind == KV_WATCH && r->ops[k].via_node == 0 &&
                str_eq_cstr(r->ops[k].prefix, "o/")) {
                struct kv_op op = take_op(r, KV_LIST, "e/");
                give_result(r, &op, KV_OK, 10, list, 2);
                g_assert_cmpint(new_site_endpoint_count(r), ==, 2);
                return;
            }
        }
        feed_free(r->f);
    }
    g_error("none of %d nodes watches the store", nodes);
}

/* Guards against endpoints that are used after they have left, and against an
 * old configuration, because the node waits for a connection to the store that
 * has gone silent. */
static void
test_silent_connection(void)
{
    static const struct {
        const char *silent; /* range whose watch gets no response */
        int nodes;
        int64_t limit_ms; /* of the time until all ranges are called again */
    } rows[] = {
        {"o/", 0, 1700},
        {"e/", 0, 2000},
        {"o/", 30, 1900},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct feed_fixture r;
        struct kv_item gone[] = {make_item("e/two", NULL, 12)};
        if (rows[i].nodes) {
            init_watcher(&r, rows[i].nodes);
        }
        else {
            fixture_init(&r);
            list_initial_records(&r);
        }
        struct kv_op op = take_op(&r, KV_WATCH, rows[i].silent);
        g_assert_cmpuint(op.via_node, ==, 0);
        g_assert_cmpint(op.timeout_ms, <=, rows[i].limit_ms);
        r.now += op.timeout_ms * MS;
        give_result(&r, &op, KV_OUTCOME_UNKNOWN, 0, NULL, 0);
        r.count = 0;
        op = take_op(&r, KV_WATCH, rows[i].silent);
        /* A store that is only slow must not count as lost. */
        g_assert_cmpint(op.timeout_ms, >=, SLOW_STORE_MS);
        r.ops[r.count++] = op;
        op = take_op(&r, KV_WATCH, "e/");
        g_assert_cmpuint(op.via_node, ==, 0);
        g_assert_cmpint(op.wait_ms, <=, 1);
        give_result(&r, &op, KV_OK, 12, gone, 1);
        g_assert_cmpint(new_site_endpoint_count(&r), ==, 1);
        op = take_op(&r, KV_WATCH, "o/");
        g_assert_cmpuint(op.via_node, ==, 0);
        g_assert_cmpint(op.wait_ms, <=, 1);
        op = take_op(&r, KV_WATCH, "n/");
        g_assert_cmpuint(op.via_node, ==, 0);
        feed_free(r.f);
    }
}

static int
count_ops(struct feed_fixture *r, const char *prefix)
{
    int count = 0;
    collect_ops(r);
    for (int i = 0; i < r->count; i++) {
        count += str_eq_cstr(r->ops[i].prefix, prefix);
    }
    return count;
}

/* Guards against a watch that is repeated for ever although its answer is too
 * large. */
static void
test_too_many_changes(void)
{
    struct feed_fixture r;
    struct kv_item config[] = {make_item("o/config", "9", 30)};
    fixture_init(&r);
    list_initial_records(&r);
    struct kv_op op = take_op(&r, KV_WATCH, "o/");
    give_result(&r, &op, KV_NOT_EXECUTED, 0, NULL, 0);
    r.now += SECOND;
    op = take_op(&r, KV_WATCH, "o/");
    give_result(&r, &op, KV_TOO_LARGE, 0, NULL, 0);
    op = take_op(&r, KV_LIST, "o/");
    give_result(&r, &op, KV_OK, 40, config, 1);
    struct cluster_view *s = feed_take_site(r.f, r.now);
    g_assert_nonnull(s);
    g_assert_cmpint(routing_version(s->routing), ==, 9);
    cluster_view_unref(s);
    op = take_op(&r, KV_WATCH, "o/");
    g_assert_cmpint(op.revision, ==, 40);
    feed_free(r.f);
}

/* Guards against endpoints that are used after they have left, because a large
 * configuration is still being received after an outage. */
static void
test_slow_answer(void)
{
    struct feed_fixture r;
    struct kv_item gone[] = {make_item("e/two", NULL, 12)};
    fixture_init(&r);
    list_initial_records(&r);
    struct kv_op endpoints = take_op(&r, KV_WATCH, "e/");
    struct kv_op config = take_op(&r, KV_WATCH, "o/");
    give_result(&r, &endpoints, KV_NOT_EXECUTED, 0, NULL, 0);
    give_result(&r, &config, KV_NOT_EXECUTED, 0, NULL, 0);
    r.now += 3 * SECOND;
    config = take_op(&r, KV_WATCH, "o/");
    g_assert_cmpint(count_ops(&r, "e/"), ==, 0);
    int64_t back_us = r.now;
    feed_handle_answering(r.f, r.now, config.id);
    endpoints = take_op(&r, KV_WATCH, "e/");
    give_result(&r, &endpoints, KV_OK, 12, gone, 1);
    /* The endpoint may write its record again. */
    g_assert_cmpint(new_site_endpoint_count(&r), ==, 2);
    r.now = back_us + 2300 * MS;
    g_assert_cmpint(new_site_endpoint_count(&r), ==, 1);
    give_result(&r, &config, KV_OK, 12, NULL, 0);
    r.now = back_us + 3 * SECOND;
    g_assert_cmpint(new_site_endpoint_count(&r), ==, -1);
    feed_free(r.f);
}

/* Answers each call after a time; a call that it receives in an outage, or
 * that may not last so long, gets no answer. */
struct slow_store {
    int64_t sent_us[MAX_PENDING_OPS]; /* of the operations of the fixture */
    bool lost[MAX_PENDING_OPS];
    int count;
};

/* @return the time until a call for the operator's records is answered; -1: it
 * is not within @p limit_ms */
static int
run_slow_store(struct feed_fixture *r, struct slow_store *s, bool outage,
               int answer_ms, int limit_ms)
{
    int64_t begin_us = r->now;
    for (; r->now < begin_us + limit_ms * MS; r->now += 10 * MS) {
        collect_ops(r);
        for (; s->count < r->count; s->count++) {
            s->sent_us[s->count] = r->now;
            s->lost[s->count] = outage;
        }
        for (int i = 0; i < r->count;) {
            struct kv_op op = r->ops[i];
            int64_t took_ms = (r->now - s->sent_us[i]) / MS;
            bool answered = !s->lost[i] && took_ms >= answer_ms &&
                            took_ms <= op.timeout_ms;
            if (!answered && took_ms < op.timeout_ms) {
                i++;
                continue;
            }
            s->count = --r->count;
            r->ops[i] = r->ops[s->count];
            s->sent_us[i] = s->sent_us[s->count];
            s->lost[i] = s->lost[s->count];
            give_result(r, &op, answered ? KV_OK : KV_OUTCOME_UNKNOWN, 20,
                        NULL, 0);
            if (answered && str_eq_cstr(op.prefix, "o/")) {
                return (int)((r->now - begin_us) / MS);
            }
        }
    }
    return -1;
}

/* Guards against a node that has no contact as long as the store is slow,
 * because it probes a store that may be silent with a shorter time-out. */
static void
test_slow_after_outage(void)
{
    static const int answers_ms[] = {4, 600, SLOW_STORE_MS, 1400};
    for (size_t i = 0; i < G_N_ELEMENTS(answers_ms); i++) {
        for (int outage_ms = 3500; outage_ms < 4500; outage_ms += 150) {
            struct feed_fixture r;
            struct slow_store s = {0};
            fixture_init(&r);
            list_initial_records(&r);
            run_slow_store(&r, &s, true, 0, outage_ms);
            int took_ms = run_slow_store(&r, &s, false, answers_ms[i], 5000);
            g_test_message("answers after %d ms: contact after %d ms",
                           answers_ms[i], took_ms);
            g_assert_cmpint(took_ms, >=, 0);
            g_assert_cmpint(took_ms, <=, PROBE_NOTICE_MS + answers_ms[i]);
            feed_free(r.f);
        }
    }
}

/* Guards against a large answer that is given up and queried again because
 * another connection is silent. */
static void
test_answer_beside_silence(void)
{
    static const bool rows[] = {false, true};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct feed_fixture r;
        fixture_init(&r);
        list_initial_records(&r);
        struct kv_op config = take_op(&r, KV_WATCH, "o/");
        struct kv_op endpoints = take_op(&r, KV_WATCH, "e/");
        if (rows[i]) {
            feed_handle_answering(r.f, r.now, config.id);
        }
        r.now += endpoints.timeout_ms * MS;
        give_result(&r, &endpoints, KV_OUTCOME_UNKNOWN, 0, NULL, 0);
        g_assert_cmpint(count_ops(&r, "e/"), ==, 1);
        g_assert_cmpint(count_ops(&r, "o/"), ==, rows[i] ? 0 : 1);
        feed_free(r.f);
    }
}

/* Limits that nodes share grow only when a node has been missing for ten
 * seconds. */
static void
test_limit_sharing(void)
{
    struct feed_fixture r;
    fixture_init(&r);
    list_nodes(&r, 5);
    struct kv_op op = take_op(&r, KV_LIST, "e/");
    give_result(&r, &op, KV_OK, 10, NULL, 0);
    struct cluster_view *s = feed_take_site(r.f, r.now);
    g_assert_cmpint(s->node_count, ==, 5);
    cluster_view_unref(s);
    struct kv_item gone[] = {make_item("n/node-3", NULL, 20)};
    op = take_op(&r, KV_WATCH, "n/");
    give_result(&r, &op, KV_OK, 20, gone, 1);
    s = feed_take_site(r.f, r.now);
    g_assert_cmpint(s->node_count, ==, 5);
    g_assert_cmpint(s->alive_count, ==, 4);
    cluster_view_unref(s);
    r.now += 11 * SECOND;
    s = feed_take_site(r.f, r.now);
    g_assert_cmpint(s->node_count, ==, 4);
    cluster_view_unref(s);
    feed_free(r.f);
}

/* Guards against owners of endpoint groups on nodes with a small share of a
 * core: with 0.09 of a core, stages of a fleet of 63 nodes waited for the
 * owner for longer than for the endpoints. */
static void
test_capacity(void)
{
    static const struct {
        const char *node0;
        const char *node1;
        const char *node2;
        int weak; /* bit i: node-i */
    } rows[] = {
        {"500", "500", "250", 0},  {"500", "90", "250", 2},
        {"500", "249", "250", 2},  {"500", NULL, "90", 4},
        {"garbage", "500", "", 0}, {"-1", "500", "99999999999", 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const char *values[] = {rows[i].node0, rows[i].node1, rows[i].node2};
        struct feed_fixture r;
        fixture_init(&r);
        list_nodes(&r, 3);
        struct kv_op op = take_op(&r, KV_LIST, "e/");
        give_result(&r, &op, KV_OK, 10, NULL, 0);
        const struct kv_item items[] = {
            make_item("n/capacity/node-0", values[0], 20),
            make_item("n/capacity/node-1", values[1], 21),
            make_item("n/capacity/node-2", values[2], 22)};
        op = take_op(&r, KV_WATCH, "n/");
        give_result(&r, &op, KV_OK, 22, items, 3);
        struct cluster_view *s = feed_take_site(r.f, r.now);
        g_assert_cmpint(s->alive_count, ==, 3);
        for (int n = 0; n < 3; n++) {
            char name[16];
            g_snprintf(name, sizeof(name), "node-%d", n);
            const struct cluster_node *node =
                cluster_view_find_node(s, hash64(str_from_cstr(name)));
            g_assert_cmpint(node->weak, ==, rows[i].weak >> n & 1);
        }
        cluster_view_unref(s);
        feed_free(r.f);
    }
}

/* Guards against a registration without the capacity beside it: other nodes
 * would rank the node among the strong ones until it comes. */
static void
test_capacity_registration(void)
{
    for (int cpu_milli = 0; cpu_milli <= 90; cpu_milli += 90) {
        struct feed_fixture r;
        fixture_init(&r);
        feed_set_capacity(r.f, cpu_milli);
        list_initial_records(&r);
        struct kv_op op = take_op(&r, KV_LEASE_GRANT, "");
        give_result(&r, &op, KV_OK, 10, NULL, 0);
        op = take_op(&r, KV_PUT, "");
        g_assert_true(str_eq_cstr(op.key, "n/node-0"));
        g_assert_true(str_eq_cstr(op.second_value, cpu_milli ? "90" : ""));
        if (cpu_milli) {
            g_assert_true(str_eq_cstr(op.second_key, "n/capacity/node-0"));
        }
        feed_free(r.f);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/feed/changes", test_changes);
    g_test_add_func("/feed/contact", test_contact);
    g_test_add_func("/feed/compacted", test_compacted);
    g_test_add_func("/feed/outage", test_outage);
    g_test_add_func("/feed/silent-connection", test_silent_connection);
    g_test_add_func("/feed/too-many-changes", test_too_many_changes);
    g_test_add_func("/feed/slow-answer", test_slow_answer);
    g_test_add_func("/feed/slow-after-outage", test_slow_after_outage);
    g_test_add_func("/feed/answer-beside-silence", test_answer_beside_silence);
    g_test_add_func("/feed/end-of-cut", test_end_of_cut);
    g_test_add_func("/feed/cold", test_restart_is_cold);
    g_test_add_func("/feed/registration", test_registration);
    g_test_add_func("/feed/shared-watch", test_shared_watch);
    g_test_add_func("/feed/turned-away", test_without_contact);
    g_test_add_func("/feed/share", test_limit_sharing);
    g_test_add_func("/feed/capacity", test_capacity);
    g_test_add_func("/feed/capacity-registration", test_capacity_registration);
    return g_test_run();
}
