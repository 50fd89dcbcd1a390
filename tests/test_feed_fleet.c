/* Guards against a fleet that costs the store more than it grows, and against
 * nodes that are cut off from changes when a node that watches for them dies
 * or loses the store. Plays many feeds over a model of the store. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "tests/feed_text.h"

#define MS 1000LL
#define SECOND 1000000LL
/* One way between nodes and to the store. */
#define TRIP_US (2 * MS)
/* Credentials must be gone after 5 s; nodes trust them for 0.95 of it. */
#define CONTACT_MAX_US (4750 * MS)
/* A change is in force after this time on the smaller deployments. */
#define APPLY_MAX_US (2 * SECOND)
#define MAX_NODES 400

enum event_kind { EVENT_CALL, EVENT_RESULT, EVENT_ASK, EVENT_ANSWER };

struct event {
    int64_t at_us;
    enum event_kind kind;
    int node;   /* that gets it; EVENT_CALL: that sent it */
    int starts; /* of that node, since messages end with their process */
    uint64_t from;
    struct kv_op op;
    enum kv_outcome outcome;
    int64_t revision; /* the store's when the result was made */
    int64_t after;    /* results have the changes from here on */
    bool list;
    struct feed_ask ask;
    struct feed_answer answer;
};

struct change {
    char *key;
    char *value; /* NULL: removed */
    int64_t revision;
};

struct node {
    char name[16];
    struct feed *feed; /* NULL: down */
    uint64_t hash;
    int starts;
    bool cut; /* from the store */
    int64_t calls;
    struct site *site; /* newest; NULL: none yet */
    int64_t version;
    int64_t version_us; /* since when it knows it */
    int64_t oldest_us;  /* largest age of its contact */
};

struct fleet {
    int64_t now;
    int count;
    struct node nodes[MAX_NODES];
    GPtrArray *events;  /* struct event, by time */
    GPtrArray *waiting; /* struct event of watches at the store */
    GPtrArray *changes; /* struct change */
    int64_t revision;
    int64_t calls;
    int64_t renewals;
    bool judged; /* ages of contacts are kept */
};

static void
push(struct fleet *f, const struct event *e)
{
    guint at = f->events->len;
    struct event *copy = g_memdup2(e, sizeof(*e));
    while (at > 0 &&
           ((struct event *)g_ptr_array_index(f->events, at - 1))->at_us >
               e->at_us) {
        at--;
    }
    g_ptr_array_insert(f->events, (int)at, copy);
}

static void
reply(struct fleet *f, const struct event *call, enum kv_outcome outcome)
{
    struct event e = *call;
    e.kind = EVENT_RESULT;
    e.at_us = f->now + TRIP_US;
    e.outcome = outcome;
    e.revision = f->revision;
    e.after = call->op.kind == KV_WATCH ? call->op.revision : 0;
    e.list = call->op.kind == KV_LIST;
    push(f, &e);
}

static bool
has_news(const struct fleet *f, const struct kv_op *op)
{
    for (guint i = f->changes->len; i-- > 0;) {
        const struct change *c = g_ptr_array_index(f->changes, i);
        if (c->revision <= op->revision) {
            return false;
        }
        if (str_starts(str_from(c->key), op->prefix)) {
            return true;
        }
    }
    return false;
}

/* Answers the watches that have waited long enough or have news. */
static void
answer_watches(struct fleet *f)
{
    for (guint i = 0; i < f->waiting->len;) {
        struct event *w = g_ptr_array_index(f->waiting, i);
        bool news = has_news(f, &w->op);
        if (!news && f->now < w->at_us + w->op.wait_ms * MS) {
            i++;
            continue;
        }
        reply(f, w, KV_OK);
        g_ptr_array_remove_index_fast(f->waiting, i);
    }
}

static void
change(struct fleet *f, const char *key, const char *value)
{
    struct change *c = g_new0(struct change, 1);
    *c = (struct change){g_strdup(key), g_strdup(value), ++f->revision};
    g_ptr_array_add(f->changes, c);
    answer_watches(f);
}

static void
at_store(struct fleet *f, const struct event *e)
{
    struct node *n = &f->nodes[e->node];
    n->calls++;
    if (n->cut || !n->feed || n->starts != e->starts) {
        reply(f, e, KV_LOST);
        return;
    }
    f->calls += e->op.kind != KV_KEEP;
    f->renewals += e->op.kind == KV_KEEP;
    if (e->op.kind == KV_WATCH) {
        struct event *w = g_memdup2(e, sizeof(*e));
        g_ptr_array_add(f->waiting, w);
        answer_watches(f);
        return;
    }
    if (e->op.kind == KV_PUT) {
        char *key = g_strdup_printf("n/%s", n->name);
        char *value = g_strdup_printf("tcp://x key%d", n->starts);
        change(f, key, value);
        g_free(value);
        g_free(key);
    }
    reply(f, e, KV_OK);
}

static void
give_result(struct fleet *f, const struct event *e, struct node *n)
{
    GArray *items = g_array_new(FALSE, TRUE, sizeof(struct kv_item));
    GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
    bool ok = e->outcome == KV_OK && !n->cut;
    for (guint i = f->changes->len; ok && i-- > 0;) {
        const struct change *c = g_ptr_array_index(f->changes, i);
        if (c->revision > e->revision || c->revision <= e->after ||
            !str_starts(str_from(c->key), e->op.prefix) ||
            e->op.prefix.len == 0 || !g_hash_table_add(newest, c->key) ||
            (e->list && !c->value)) {
            continue;
        }
        struct kv_item it = {str_from(c->key), str_from(c->value), c->revision,
                             !c->value};
        g_array_prepend_val(items, it);
    }
    struct kv_result r = {.id = e->op.id,
                          .outcome = n->cut ? KV_LOST : e->outcome,
                          .revision = e->revision,
                          .lease = 1,
                          .item_count = (int)items->len,
                          .items = (void *)items->data};
    feed_result(n->feed, f->now, &r);
    g_array_free(items, TRUE);
    g_hash_table_destroy(newest);
}

static int
node_of(const struct fleet *f, uint64_t hash)
{
    for (int i = 0; i < f->count; i++) {
        if (f->nodes[i].hash == hash) {
            return i;
        }
    }
    return -1;
}

/* A node can only connect to a process whose key it knows. */
static bool
knows(const struct fleet *f, int from, int to)
{
    const struct node *n = &f->nodes[to];
    const struct site_node *s =
        f->nodes[from].site ? site_find_node(f->nodes[from].site, n->hash)
                            : NULL;
    char key[16];
    g_snprintf(key, sizeof(key), "key%d", n->starts);
    return s && str_eq_c(s->key, key);
}

static void
handle(struct fleet *f, const struct event *e)
{
    struct node *n = &f->nodes[e->node];
    if (e->kind == EVENT_CALL) {
        at_store(f, e);
        return;
    }
    if (!n->feed || (e->kind == EVENT_RESULT && n->starts != e->starts)) {
        return;
    }
    if (e->kind == EVENT_RESULT) {
        give_result(f, e, n);
    }
    else if (e->kind == EVENT_ASK) {
        if (knows(f, node_of(f, e->from), e->node)) {
            feed_peer_ask(n->feed, f->now, e->from, &e->ask);
        }
    }
    else {
        feed_peer_answer(n->feed, f->now, &e->answer);
    }
}

static void
run_node(struct fleet *f, int i)
{
    struct node *n = &f->nodes[i];
    struct kv_op op;
    struct event e = {.at_us = f->now + TRIP_US,
                      .node = i,
                      .starts = n->starts,
                      .from = n->hash};
    while (n->feed && feed_next_op(n->feed, f->now, &op)) {
        e.op = op;
        e.kind = EVENT_CALL;
        e.node = i;
        if (op.via) {
            e.kind = EVENT_ASK;
            e.node = node_of(f, op.via);
            e.ask = (struct feed_ask){op.id, feed_track_of(n->feed, op.id),
                                      op.revision, op.patient};
        }
        if (e.node >= 0) {
            push(f, &e);
        }
    }
    uint64_t to;
    while (n->feed && feed_next_answer(n->feed, &to, &e.answer)) {
        e.kind = EVENT_ANSWER;
        e.node = node_of(f, to);
        push(f, &e);
    }
    struct site *s = n->feed ? feed_site(n->feed, f->now) : NULL;
    if (s && routing_version(s->routing) != n->version) {
        n->version = routing_version(s->routing);
        n->version_us = f->now;
    }
    if (s) {
        site_unref(n->site);
        n->site = s;
    }
    if (f->judged && n->feed && !n->cut) {
        n->oldest_us = MAX(n->oldest_us, f->now - feed_contact_us(n->feed));
    }
}

static void
run_until(struct fleet *f, int64_t end)
{
    while (f->now < end) {
        f->now += MS;
        while (f->events->len > 0) {
            struct event *e = g_ptr_array_index(f->events, 0);
            if (e->at_us > f->now) {
                break;
            }
            g_ptr_array_steal_index(f->events, 0);
            handle(f, e);
            g_free(e);
        }
        answer_watches(f);
        for (int i = 0; i < f->count; i++) {
            if (f->nodes[i].feed && (feed_wakeup(f->nodes[i].feed) <= f->now ||
                                     f->now % (10 * MS) == 0)) {
                run_node(f, i);
            }
        }
    }
}

static void
start(struct fleet *f, int i)
{
    struct node *n = &f->nodes[i];
    g_snprintf(n->name, sizeof(n->name), "node-%d", i);
    n->hash = hash64(str_from(n->name));
    char value[24];
    n->starts++;
    g_snprintf(value, sizeof(value), "tcp://x key%d", n->starts);
    n->version = 0;
    n->feed = feed_new(&feed_text_codec, str_from(n->name), str_from(value),
                       (uint64_t)i + (uint64_t)n->starts);
}

/* The registration of a node that was killed ends with its lease. */
static void
stop(struct fleet *f, int i)
{
    feed_free(f->nodes[i].feed);
    f->nodes[i].feed = NULL;
    site_unref(f->nodes[i].site);
    f->nodes[i].site = NULL;
}

static struct fleet *
fleet_new(int count)
{
    struct fleet *f = g_new0(struct fleet, 1);
    f->count = count;
    f->now = 100 * SECOND;
    f->events = g_ptr_array_new_with_free_func(g_free);
    f->waiting = g_ptr_array_new_with_free_func(g_free);
    f->changes = g_ptr_array_new();
    change(f, "o/config", "1");
    change(f, "e/one", "pool ready 0 1");
    for (int i = 0; i < count; i++) {
        start(f, i);
    }
    run_until(f, f->now + 10 * SECOND);
    f->judged = true;
    return f;
}

static void
fleet_free(struct fleet *f)
{
    for (int i = 0; i < f->count; i++) {
        stop(f, i);
    }
    for (guint i = 0; i < f->changes->len; i++) {
        struct change *c = g_ptr_array_index(f->changes, i);
        g_free(c->key);
        g_free(c->value);
        g_free(c);
    }
    g_ptr_array_free(f->changes, TRUE);
    g_ptr_array_free(f->waiting, TRUE);
    g_ptr_array_free(f->events, TRUE);
    g_free(f);
}

/* Every node that runs and is not cut off knows the version. */
static void
check(const struct fleet *f, int64_t version, int64_t since_us)
{
    for (int i = 0; i < f->count; i++) {
        const struct node *n = &f->nodes[i];
        g_assert_cmpint(n->oldest_us, <, CONTACT_MAX_US);
        if (n->feed && !n->cut) {
            g_assert_cmpint(n->version, ==, version);
            g_assert_cmpint(n->version_us, <=, since_us + APPLY_MAX_US);
        }
    }
}

/* Calls of a minute without changes, renewals of leases aside. */
static int64_t
calm_calls(int nodes, int64_t *renewals)
{
    struct fleet *f = fleet_new(nodes);
    f->calls = 0;
    f->renewals = 0;
    run_until(f, f->now + 60 * SECOND);
    int64_t calls = f->calls;
    *renewals = f->renewals;
    g_test_message("%d nodes: %ld calls a minute and %ld renewals", nodes,
                   (long)calls, (long)*renewals);
    check(f, 1, f->now);
    fleet_free(f);
    return calls;
}

static void
test_calls(void)
{
    int64_t renewals;
    int64_t small = calm_calls(30, &renewals);
    g_assert_cmpint(renewals, <=, 30 * 20);
    /* Four times the nodes have twice the watchers. */
    g_assert_cmpint(calm_calls(120, &renewals), <=, 2 * small + small / 2);
    g_assert_cmpint(renewals, <=, 120 * 20);
}

/* Twenty of 118 nodes are restarted one after the other: each costs its own
 * few calls and those of the watchers, not some of every node. */
static void
test_restarts(void)
{
    struct fleet *f = fleet_new(118);
    int64_t calm;
    f->calls = 0;
    run_until(f, f->now + 20 * SECOND);
    calm = f->calls;
    f->calls = 0;
    for (int i = 0; i < 20; i++) {
        char *key = g_strdup_printf("n/node-%d", i);
        stop(f, i);
        change(f, key, NULL);
        run_until(f, f->now + 500 * MS);
        start(f, i);
        run_until(f, f->now + 500 * MS);
        g_free(key);
    }
    f->judged = false;
    int64_t each = (f->calls - calm) / 20;
    g_test_message("%ld calls a restart", (long)each);
    g_assert_cmpint(each, <=, 40);
    fleet_free(f);
}

/* The node that has made most calls since the last time. */
static int
busiest(struct fleet *f)
{
    int best = -1;
    for (int i = 0; i < f->count; i++) {
        struct node *n = &f->nodes[i];
        if (n->feed && !n->cut &&
            (best < 0 || n->calls > f->nodes[best].calls)) {
            best = i;
        }
    }
    for (int i = 0; i < f->count; i++) {
        f->nodes[i].calls = 0;
    }
    return best;
}

/* The nodes that make most calls are the watchers: they die or lose the store
 * one after the other, and a change comes at each of these moments. */
static void
test_watchers_lost(void)
{
    for (int cut = 0; cut < 2; cut++) {
        struct fleet *f = fleet_new(60);
        for (int k = 0; k < 12; k++) {
            int i = busiest(f);
            char version[16];
            g_snprintf(version, sizeof(version), "%d", k + 2);
            f->nodes[i].cut = cut;
            if (!cut) {
                stop(f, i);
            }
            run_until(f, f->now + (k % 4) * 300 * MS);
            int64_t at = f->now;
            change(f, "o/config", version);
            run_until(f, f->now + 3 * SECOND);
            check(f, k + 2, at);
        }
        fleet_free(f);
    }
}

/* All nodes lose power and come back before their leases have ended, so that
 * each first reads the keys of the processes before. */
static void
test_restart_of_all(void)
{
    struct fleet *f = fleet_new(118);
    f->judged = false;
    for (int i = 0; i < f->count; i++) {
        stop(f, i);
    }
    run_until(f, f->now + SECOND);
    for (int i = 0; i < f->count; i++) {
        start(f, i);
        run_until(f, f->now + 3 * MS);
    }
    run_until(f, f->now + SECOND);
    f->calls = 0;
    int64_t at = f->now;
    change(f, "o/config", "2");
    run_until(f, f->now + 3 * SECOND);
    check(f, 2, at);
    int strangers = 0;
    for (int i = 0; i < f->count; i++) {
        for (int k = 0; k < f->count; k++) {
            strangers += i != k && !knows(f, i, k);
        }
    }
    g_assert_cmpint(strangers, ==, 0);
    f->judged = true;
    run_until(f, f->now + 20 * SECOND);
    check(f, 2, at);
    g_test_message("%ld calls in the 23 s after the first", (long)f->calls);
    fleet_free(f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/feed-fleet/calls", test_calls);
    g_test_add_func("/feed-fleet/restarts", test_restarts);
    g_test_add_func("/feed-fleet/watchers-lost", test_watchers_lost);
    g_test_add_func("/feed-fleet/restart-of-all", test_restart_of_all);
    return g_test_run();
}
