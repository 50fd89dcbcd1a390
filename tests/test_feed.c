/* Guards against a node that acts on an old configuration or endpoint list:
 * changes lost between list and watch, contact counted from the wrong moment,
 * endpoints dropped for an outage of the store, and watches shared untruly. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "control/feed.h"
#include "tests/feed_text.h"

#define MS 1000LL
#define SECOND 1000000LL

#define PENDING 16

struct rig {
    struct feed *f;
    int64_t now;
    struct kv_op ops[PENDING]; /* submitted, not answered */
    int count;
};

static void
rig_init_as(struct rig *r, const char *node)
{
    memset(r, 0, sizeof(*r));
    r->now = 100 * SECOND;
    r->f =
        feed_new(&feed_text_codec, str_from(node), STR_LIT("tcp://x key"), 5);
}

static void
rig_init(struct rig *r)
{
    rig_init_as(r, "node-0");
}

static void
submit(struct rig *r)
{
    struct kv_op op;
    while (feed_next_op(r->f, r->now, &op)) {
        g_assert_cmpint(r->count, <, PENDING);
        r->ops[r->count++] = op;
    }
}

/* Takes the pending operation of a kind for a prefix ("": any). */
static struct kv_op
pending(struct rig *r, enum kv_op_kind kind, const char *prefix)
{
    submit(r);
    for (int i = 0; i < r->count; i++) {
        struct kv_op op = r->ops[i];
        if (op.kind == kind && str_starts(op.prefix, str_from(prefix))) {
            r->ops[i] = r->ops[--r->count];
            return op;
        }
    }
    g_error("no operation of kind %d for %s", kind, prefix);
}

static void
answer(struct rig *r, const struct kv_op *op, enum kv_outcome outcome,
       int64_t revision, const struct kv_item *items, int count)
{
    struct kv_result res = {.id = op->id,
                            .outcome = outcome,
                            .revision = revision,
                            .lease = 7,
                            .item_count = count,
                            .items = items};
    feed_result(r->f, r->now, &res);
}

static struct kv_item
item(const char *key, const char *value, int64_t revision)
{
    return (struct kv_item){str_from(key), str_from(value ? value : ""),
                            revision, value == NULL};
}

/* Lists a configuration and two endpoints at revision 10. */
static void
start(struct rig *r)
{
    struct kv_item config[] = {item("o/config", "3", 5)};
    struct kv_item list[] = {item("e/one", "pool ready 0 1", 6),
                             item("e/two", "pool ready 0 1", 7)};
    struct kv_op op = pending(r, KV_LIST, "o/");
    answer(r, &op, KV_OK, 10, config, 1);
    op = pending(r, KV_LIST, "e/");
    answer(r, &op, KV_OK, 10, list, 2);
    op = pending(r, KV_LIST, "n/");
    answer(r, &op, KV_OK, 10, NULL, 0);
    struct site *s = feed_site(r->f, r->now);
    g_assert_nonnull(s);
    g_assert_cmpint(s->endpoint_count, ==, 2);
    g_assert_cmpint(routing_version(s->routing), ==, 3);
    site_unref(s);
}

static int
endpoints(struct rig *r)
{
    struct site *s = feed_site(r->f, r->now);
    int n = s ? s->endpoint_count : -1;
    site_unref(s);
    return n;
}

static void
test_changes(void)
{
    static const struct {
        const char *key;
        const char *value; /* NULL: removed */
        int endpoints;     /* after it; -1: no new site */
    } rows[] = {
        {"e/two", "pool draining 0 1", 1},
        {"e/two", "pool ready 0 1", 2},
        {"e/three", "pool ready 0 2", 3},
        {"e/three", "\x01garbage", -1},
        {"e/four", "other ready 0 2", 3},
        {"e/three", NULL, 2},
        {"e/never", NULL, -1},
    };
    struct rig r;
    rig_init(&r);
    start(&r);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        int64_t revision = 11 + (int64_t)i;
        struct kv_item change[] = {item(rows[i].key, rows[i].value, revision)};
        r.now += SECOND;
        struct kv_op op = pending(&r, KV_WATCH, "e/");
        g_assert_cmpint(op.revision, ==, revision - 1);
        answer(&r, &op, KV_OK, revision, change, 1);
        /* A change must not wait for the next call to be in force. */
        bool due = feed_wakeup(r.f) <= r.now;
        g_assert_cmpint(due, ==, rows[i].endpoints >= 0);
        g_assert_cmpint(endpoints(&r), ==, rows[i].endpoints);
    }
    /* A zone out of service, and an older configuration that must not hold. */
    struct kv_item zone[] = {item("o/zone/a", "{}", 30),
                             item("o/config", "2", 31)};
    struct kv_op op = pending(&r, KV_WATCH, "o/");
    answer(&r, &op, KV_OK, 31, zone, 2);
    struct site *s = feed_site(r.f, r.now);
    g_assert_cmpint(s->endpoint_count, ==, 0);
    g_assert_cmpint(routing_version(s->routing), ==, 3);
    site_unref(s);
    feed_free(r.f);
}

/* The contact is the send time of an answered call, not that of the answer. */
static void
test_contact(void)
{
    struct rig r;
    rig_init(&r);
    start(&r);
    struct kv_op op = pending(&r, KV_WATCH, "o/");
    int64_t sent = r.now;
    r.now += 900 * MS;
    g_assert_cmpint(feed_contact_us(r.f), <=, sent);
    answer(&r, &op, KV_OK, 10, NULL, 0);
    g_assert_cmpint(feed_contact_us(r.f), ==, sent);
    op = pending(&r, KV_WATCH, "o/");
    r.now += 900 * MS;
    answer(&r, &op, KV_LOST, 0, NULL, 0);
    g_assert_cmpint(feed_contact_us(r.f), ==, sent);
    /* Without news the store answers when the wait has ended, whenever that
     * arrives; with news, at any time after the call. */
    r.now += SECOND;
    op = pending(&r, KV_WATCH, "o/");
    answer(&r, &op, KV_OK, 10, NULL, 0);
    op = pending(&r, KV_WATCH, "o/");
    g_assert_cmpint(op.wait_ms, >=, 500);
    sent = r.now;
    r.now += op.wait_ms * MS + 300 * MS;
    answer(&r, &op, KV_OK, 10, NULL, 0);
    g_assert_cmpint(feed_contact_us(r.f), >, sent + op.wait_ms * MS - 50 * MS);
    g_assert_cmpint(feed_contact_us(r.f), <=, sent + op.wait_ms * MS);
    op = pending(&r, KV_WATCH, "o/");
    sent = r.now;
    r.now += op.wait_ms * MS;
    struct kv_item change[] = {item("o/config", "4", 11)};
    answer(&r, &op, KV_OK, 11, change, 1);
    g_assert_cmpint(feed_contact_us(r.f), ==, sent);
    feed_free(r.f);
}

/* History that is gone: the list shows what the watch has missed. */
static void
test_compacted(void)
{
    struct rig r;
    rig_init(&r);
    start(&r);
    struct kv_op op = pending(&r, KV_WATCH, "e/");
    answer(&r, &op, KV_COMPACTED, 0, NULL, 0);
    struct kv_item list[] = {item("e/one", "pool ready 0 1", 6)};
    op = pending(&r, KV_LIST, "e/");
    answer(&r, &op, KV_OK, 40, list, 1);
    g_assert_cmpint(endpoints(&r), ==, 1);
    op = pending(&r, KV_WATCH, "e/");
    g_assert_cmpint(op.revision, ==, 40);
    feed_free(r.f);
}

/* Records that lapsed while the store was away hold until they are back or
 * two seconds have passed; without an outage they go at once. */
static void
test_outage(void)
{
    struct rig r;
    struct kv_item gone[] = {item("e/two", NULL, 50)};
    rig_init(&r);
    start(&r);
    struct kv_op op = pending(&r, KV_WATCH, "e/");
    r.now += 1400 * MS;
    answer(&r, &op, KV_OK, 12, NULL, 0);
    op = pending(&r, KV_WATCH, "e/");
    answer(&r, &op, KV_LOST, 0, NULL, 0);
    r.now += 5 * SECOND;
    op = pending(&r, KV_WATCH, "e/");
    answer(&r, &op, KV_OK, 50, gone, 1);
    g_assert_cmpint(endpoints(&r), ==, 2);
    r.now += 3 * SECOND;
    g_assert_cmpint(endpoints(&r), ==, 1);
    gone[0] = item("e/one", NULL, 51);
    op = pending(&r, KV_WATCH, "e/");
    answer(&r, &op, KV_OK, 51, gone, 1);
    g_assert_cmpint(endpoints(&r), ==, 0);
    feed_free(r.f);
}

/* An endpoint that starts during traffic is cold for its service's time. */
static void
test_cold(void)
{
    struct rig r;
    rig_init(&r);
    start(&r);
    struct kv_item change[] = {item("e/one", "pool ready 0 99", 20)};
    struct kv_op op = pending(&r, KV_WATCH, "e/");
    answer(&r, &op, KV_OK, 20, change, 1);
    struct site *s = feed_site(r.f, r.now);
    for (int i = 0; i < s->endpoint_count; i++) {
        const struct site_endpoint *e = &s->endpoints[i];
        bool started = str_eq_c(e->id, "one");
        g_assert_cmpint(e->cold_until_us > r.now + 3 * SECOND, ==, started);
    }
    site_unref(s);
    feed_free(r.f);
}

static void
test_registration(void)
{
    struct rig r;
    rig_init(&r);
    struct kv_op op = pending(&r, KV_LEASE, "");
    answer(&r, &op, KV_OK, 0, NULL, 0);
    /* Others ask a registered node, so it must know the site. */
    submit(&r);
    for (int i = 0; i < r.count; i++) {
        g_assert_cmpint(r.ops[i].kind, ==, KV_LIST);
    }
    start(&r);
    op = pending(&r, KV_PUT, "");
    g_assert_true(str_eq_c(op.key, "n/node-0"));
    g_assert_cmpint(op.lease, ==, 7);
    answer(&r, &op, KV_OK, 9, NULL, 0);
    r.now += 4 * SECOND;
    op = pending(&r, KV_KEEP, "");
    /* The lease has lapsed: the node registers again. */
    answer(&r, &op, KV_NO_LEASE, 0, NULL, 0);
    op = pending(&r, KV_LEASE, "");
    answer(&r, &op, KV_OK, 0, NULL, 0);
    op = pending(&r, KV_PUT, "");
    answer(&r, &op, KV_OK, 9, NULL, 0);
    g_assert_false(feed_left(r.f));
    feed_leave(r.f, r.now);
    op = pending(&r, KV_END, "");
    answer(&r, &op, KV_OK, 0, NULL, 0);
    g_assert_true(feed_left(r.f));
    feed_free(r.f);
}

/* A fleet in which this node is or is not a watcher. */
static void
join(struct rig *r, int nodes)
{
    struct kv_item list[64];
    char *keys[64];
    for (int i = 0; i < nodes; i++) {
        keys[i] = g_strdup_printf("n/node-%d", i);
        list[i] = item(keys[i], "tcp://x key", 8);
    }
    struct kv_item config[] = {item("o/config", "3", 5)};
    struct kv_op op = pending(r, KV_LIST, "n/");
    answer(r, &op, KV_OK, 10, list, nodes);
    op = pending(r, KV_LIST, "o/");
    answer(r, &op, KV_OK, 10, config, 1);
    for (int i = 0; i < nodes; i++) {
        g_free(keys[i]);
    }
}

/* A watcher keeps an ask until there is news, for a second at most, and tells
 * how old its own contact is. */
static void
check_watcher(struct rig *r, struct kv_op op)
{
    struct feed_ask ask = {
        .ask = 77, .track = FEED_TRACK_OPERATOR, .revision = 10};
    uint64_t node;
    struct feed_answer out;
    r->now += 100 * MS;
    feed_peer_ask(r->f, r->now, 42, &ask);
    g_assert_false(feed_next_answer(r->f, &node, &out));
    /* Other parts of the store change all the time: no reason to answer. */
    int64_t sent = r->now - 100 * MS;
    answer(r, &op, KV_OK, 25, NULL, 0);
    g_assert_false(feed_next_answer(r->f, &node, &out));
    op = pending(r, KV_WATCH, "o/");
    g_assert_cmpint(feed_wakeup(r->f), <=, r->now + SECOND);
    r->now += SECOND;
    submit(r);
    g_assert_true(feed_next_answer(r->f, &node, &out));
    g_assert_cmpint(node, ==, 42);
    g_assert_true(out.known);
    g_assert_cmpint(out.age_us, ==, r->now - sent);
    /* Changes are passed on at once. */
    r->now += 10 * MS;
    ask.ask = 78;
    ask.revision = 25;
    feed_peer_ask(r->f, r->now, 42, &ask);
    struct kv_item config[] = {item("o/config", "4", 27)};
    answer(r, &op, KV_OK, 27, config, 1);
    g_assert_true(feed_next_answer(r->f, &node, &out));
    g_assert_cmpint(out.item_count, ==, 1);
    g_assert_cmpint(out.revision, ==, 27);
    /* A node that is behind what the watcher keeps is told nothing. */
    ask.revision = 9;
    feed_peer_ask(r->f, r->now, 42, &ask);
    g_assert_true(feed_next_answer(r->f, &node, &out));
    g_assert_false(out.known);
}

/* A node that asks a watcher: its contact is older than its own ask by the age
 * of the watcher's, and never moves back. */
static void
check_asker(struct rig *r, struct kv_op op)
{
    int64_t before = feed_contact_us(r->f);
    r->now += 300 * MS;
    struct feed_answer a = {.ask = op.id,
                            .known = true,
                            .revision = 10,
                            .age_us = FEED_AGE_UNKNOWN};
    feed_peer_answer(r->f, r->now, &a);
    g_assert_cmpint(feed_contact_us(r->f), ==, before);
    for (int k = 0; k < 2; k++) {
        op = pending(r, KV_WATCH, "o/");
        a.ask = op.id;
        a.age_us = (k ? 1900 : 400) * MS;
        before = MAX(before, r->now - a.age_us);
        r->now += 900 * MS;
        feed_peer_answer(r->f, r->now, &a);
        g_assert_cmpint(feed_contact_us(r->f), ==, before);
    }
    /* What a watcher cannot tell is asked of the store, once and at once. */
    op = pending(r, KV_WATCH, "o/");
    a = (struct feed_answer){.ask = op.id, .age_us = 100 * MS};
    feed_peer_answer(r->f, r->now, &a);
    op = pending(r, KV_WATCH, "o/");
    g_assert_cmpuint(op.via, ==, 0);
    g_assert_cmpint(op.wait_ms, <=, 1);
    answer(r, &op, KV_OK, 20, NULL, 0);
    /* A watcher whose own contact is old is passed over. */
    op = pending(r, KV_WATCH, "o/");
    uint64_t first = op.via;
    g_assert_cmpuint(first, !=, 0);
    a = (struct feed_answer){
        .ask = op.id, .known = true, .revision = 20, .age_us = 4 * SECOND};
    feed_peer_answer(r->f, r->now, &a);
    op = pending(r, KV_WATCH, "o/");
    g_assert_cmpuint(op.via, ==, 0);
    answer(r, &op, KV_OK, 20, NULL, 0);
    /* So is a silent one, for all parts and within the time of a change. */
    op = pending(r, KV_WATCH, "o/");
    g_assert_cmpuint(op.via, !=, 0);
    g_assert_cmpuint(op.via, !=, first);
    uint64_t second = op.via;
    r->now += 1500 * MS;
    op = pending(r, KV_WATCH, "o/");
    g_assert_cmpuint(op.via, ==, 0);
    answer(r, &op, KV_OK, 20, NULL, 0);
    struct kv_op nodes = {0};
    for (int i = 0; i < r->count; i++) {
        if (str_eq_c(r->ops[i].prefix, "n/") && r->ops[i].id > nodes.id) {
            nodes = r->ops[i];
        }
    }
    /* It may have restarted, and only the store has its new key. */
    g_assert_cmpuint(second, !=, 0);
    g_assert_cmpuint(nodes.via, ==, 0);
}

static void
test_shared_watch(void)
{
    int watchers = 0;
    for (int i = 0; i < 30; i++) {
        struct rig r;
        char name[16];
        g_snprintf(name, sizeof(name), "node-%d", i);
        rig_init_as(&r, name);
        join(&r, 30);
        struct kv_op op = pending(&r, KV_WATCH, "o/");
        watchers += op.via == 0;
        if (op.via) {
            check_asker(&r, op);
        }
        else {
            check_watcher(&r, op);
        }
        feed_free(r.f);
    }
    /* Half of the square root of the number of nodes, three at least. */
    g_assert_cmpint(watchers, ==, 3);
}

/* A node without contact asks the watchers in turn, and the store only when
 * one of them is silent; it learns of changes from one that has contact. */
static void
check_turned_away(struct rig *r, struct kv_op op)
{
    struct feed_answer unknown = {.ask = op.id, .age_us = FEED_AGE_UNKNOWN};
    feed_peer_answer(r->f, r->now, &unknown);
    op = pending(r, KV_WATCH, "o/");
    g_assert_cmpuint(op.via, ==, 0);
    answer(r, &op, KV_REFUSED, 0, NULL, 0);
    uint64_t first = 0;
    for (int k = 0; k < 3; k++) {
        r->now += SECOND;
        op = pending(r, KV_WATCH, "o/");
        g_assert_cmpuint(op.via, !=, 0);
        g_assert_cmpuint(op.via, !=, first);
        g_assert_true(op.patient);
        first = op.via;
        r->now += 1500 * MS;
        op = pending(r, KV_WATCH, "o/");
        g_assert_cmpuint(op.via, ==, 0);
        answer(r, &op, KV_REFUSED, 0, NULL, 0);
    }
    /* A watcher that has relisted cannot tell what a node behind it has
     * missed; only the store can. */
    r->now += SECOND;
    op = pending(r, KV_WATCH, "o/");
    unknown.ask = op.id;
    feed_peer_answer(r->f, r->now, &unknown);
    op = pending(r, KV_WATCH, "o/");
    g_assert_cmpuint(op.via, ==, 0);
    answer(r, &op, KV_REFUSED, 0, NULL, 0);
    r->now += SECOND;
    op = pending(r, KV_WATCH, "o/");
    int64_t asked = r->now;
    struct feed_answer fresh = {
        .ask = op.id, .known = true, .age_us = 200 * MS, .revision = 30};
    feed_peer_answer(r->f, r->now, &fresh);
    g_assert_cmpint(feed_contact_us(r->f), ==, asked - 200 * MS);
}

/* A watcher without contact tells nodes that have it so at once, and answers
 * those that have none as soon as its own contact is back. */
static void
check_patient_asks(struct rig *r, const struct kv_op *op)
{
    uint64_t node;
    struct feed_answer out;
    struct feed_ask ask = {
        .ask = 77, .track = FEED_TRACK_OPERATOR, .revision = 10};
    answer(r, op, KV_LOST, 0, NULL, 0);
    feed_peer_ask(r->f, r->now, 42, &ask);
    g_assert_true(feed_next_answer(r->f, &node, &out));
    g_assert_false(out.known);
    ask.patient = true;
    feed_peer_ask(r->f, r->now, 43, &ask);
    for (int k = 0; k < 2; k++) {
        r->now += SECOND;
        struct kv_op again = pending(r, KV_WATCH, "o/");
        g_assert_cmpuint(again.via, ==, 0);
        g_assert_false(feed_next_answer(r->f, &node, &out));
        answer(r, &again, k == 0 ? KV_LOST : KV_OK, 30, NULL, 0);
    }
    g_assert_true(feed_next_answer(r->f, &node, &out));
    g_assert_cmpint(node, ==, 43);
    g_assert_true(out.known);
    g_assert_cmpint(out.age_us, ==, 0);
}

static void
test_turned_away(void)
{
    int askers = 0;
    for (int i = 0; i < 30; i++) {
        struct rig r;
        char name[16];
        g_snprintf(name, sizeof(name), "node-%d", i);
        rig_init_as(&r, name);
        join(&r, 30);
        struct kv_op op = pending(&r, KV_WATCH, "o/");
        askers += op.via != 0;
        if (op.via) {
            check_turned_away(&r, op);
        }
        else {
            check_patient_asks(&r, &op);
        }
        feed_free(r.f);
    }
    g_assert_cmpint(askers, ==, 27);
}

/* Limits that nodes share grow only when a node has been away for long. */
static void
test_share(void)
{
    struct rig r;
    rig_init(&r);
    join(&r, 5);
    struct kv_op op = pending(&r, KV_LIST, "e/");
    answer(&r, &op, KV_OK, 10, NULL, 0);
    struct site *s = feed_site(r.f, r.now);
    g_assert_cmpint(s->node_count, ==, 5);
    site_unref(s);
    struct kv_item gone[] = {item("n/node-3", NULL, 20)};
    op = pending(&r, KV_WATCH, "n/");
    answer(&r, &op, KV_OK, 20, gone, 1);
    s = feed_site(r.f, r.now);
    g_assert_cmpint(s->node_count, ==, 5);
    g_assert_cmpint(s->alive_count, ==, 4);
    site_unref(s);
    r.now += 11 * SECOND;
    s = feed_site(r.f, r.now);
    g_assert_cmpint(s->node_count, ==, 4);
    site_unref(s);
    feed_free(r.f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/feed/changes", test_changes);
    g_test_add_func("/feed/contact", test_contact);
    g_test_add_func("/feed/compacted", test_compacted);
    g_test_add_func("/feed/outage", test_outage);
    g_test_add_func("/feed/cold", test_cold);
    g_test_add_func("/feed/registration", test_registration);
    g_test_add_func("/feed/shared-watch", test_shared_watch);
    g_test_add_func("/feed/turned-away", test_turned_away);
    g_test_add_func("/feed/share", test_share);
    return g_test_run();
}
