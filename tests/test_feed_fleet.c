/* Guards against a fleet whose load on the store grows faster than its number
 * of nodes, and against nodes that miss changes when a watcher that they query
 * dies or is cut off from the store. Runs many feeds against a simulated
 * store. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "tests/feed_text.h"

#define MS 1000LL
#define SECOND 1000000LL
/* One-way delay between nodes and to the store. */
#define ONE_WAY_DELAY_US (2 * MS)
/* Credentials must be revoked after 5 s; nodes trust them for 0.95 of that
 * time. */
#define CONTACT_MAX_US (4750 * MS)
/* In smaller deployments a change takes effect within this time. */
#define APPLY_MAX_US (2 * SECOND)
#define MAX_NODES 400

enum event_kind {
    EVENT_CALL,
    EVENT_RESULT,
    EVENT_PEER_REQUEST,
    EVENT_PEER_RESPONSE
};

struct event {
    int64_t at_us;
    enum event_kind kind;
    int node;           /* the receiver; EVENT_CALL: the sender */
    int process_number; /* of the node's process: messages to a process that
                            has ended are lost */
    uint64_t from;
    struct kv_op op;
    enum kv_outcome outcome;
    int64_t revision; /* of the store when the result was created */
    int64_t era;      /* of the store when the result was created */
    int64_t after;    /* the result has the changes after this revision */
    bool list;
    struct feed_query ask;
    struct feed_reply answer;
};

struct change {
    char *key;
    char *value; /* NULL: the key is deleted */
    int64_t revision;
};

struct node {
    char name[16];
    struct feed *feed; /* NULL: not running */
    uint64_t hash;
    int process_number;
    bool cut_off; /* cut off from the store */
    bool lease_lost;
    int64_t calls;
    struct cluster_view *cluster_view; /* the newest; NULL: none yet */
    int64_t version;
    int64_t version_since_us;   /* since when the node knows this version */
    int64_t max_contact_age_us; /* largest age of the node's contact */
};

struct fleet {
    int64_t now;
    int count;
    struct node nodes[MAX_NODES];
    GPtrArray *events;       /* struct event, ordered by time */
    GPtrArray *open_watches; /* struct event of watches that the store holds */
    GPtrArray *changes;      /* struct change */
    int64_t revision;
    int64_t era;
    int64_t calls;
    int64_t renewals;
    bool record_contact_ages; /* whether max_contact_age_us is updated */
};

static void
schedule_event(struct fleet *f, const struct event *e)
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
schedule_result(struct fleet *f, const struct event *call,
                enum kv_outcome outcome)
{
    struct event e = *call;
    e.kind = EVENT_RESULT;
    e.at_us = f->now + ONE_WAY_DELAY_US;
    e.outcome = outcome;
    e.revision = f->revision;
    e.era = f->era;
    e.after = call->op.kind == KV_WATCH ? call->op.revision : 0;
    e.list = call->op.kind == KV_LIST;
    schedule_event(f, &e);
}

static bool
has_changes_after(const struct fleet *f, const struct kv_op *op)
{
    for (guint i = f->changes->len; i-- > 0;) {
        const struct change *c = g_ptr_array_index(f->changes, i);
        if (c->revision <= op->revision) {
            return false;
        }
        if (str_starts_with(str_from_cstr(c->key), op->prefix)) {
            return true;
        }
    }
    return false;
}

/* Answers the watches whose wait time has ended or that have changes. */
static void
answer_due_watches(struct fleet *f)
{
    for (guint i = 0; i < f->open_watches->len;) {
        struct event *w = g_ptr_array_index(f->open_watches, i);
        if (w->op.revision > f->revision) {
            schedule_result(f, w, KV_COMPACTED);
            g_ptr_array_remove_index_fast(f->open_watches, i);
            continue;
        }
        bool changed = has_changes_after(f, &w->op);
        if (!changed && f->now < w->at_us + w->op.wait_ms * MS) {
            i++;
            continue;
        }
        schedule_result(f, w, KV_OK);
        g_ptr_array_remove_index_fast(f->open_watches, i);
    }
}

static void
put_change(struct fleet *f, const char *key, const char *value)
{
    struct change *c = g_new0(struct change, 1);
    *c = (struct change){g_strdup(key), g_strdup(value), ++f->revision};
    g_ptr_array_add(f->changes, c);
    answer_due_watches(f);
}

static void
handle_store_call(struct fleet *f, const struct event *e)
{
    struct node *n = &f->nodes[e->node];
    n->calls++;
    if (n->cut_off || !n->feed || n->process_number != e->process_number) {
        schedule_result(f, e, KV_OUTCOME_UNKNOWN);
        return;
    }
    f->calls += e->op.kind != KV_LEASE_RENEW;
    f->renewals += e->op.kind == KV_LEASE_RENEW;
    if (e->op.kind == KV_WATCH) {
        struct event *w = g_memdup2(e, sizeof(*e));
        g_ptr_array_add(f->open_watches, w);
        answer_due_watches(f);
        return;
    }
    n->lease_lost = n->lease_lost && e->op.kind != KV_LEASE_GRANT;
    if (n->lease_lost &&
        (e->op.kind == KV_PUT || e->op.kind == KV_LEASE_RENEW)) {
        schedule_result(f, e, KV_LEASE_EXPIRED);
        return;
    }
    if (e->op.kind == KV_PUT) {
        char *key = g_strdup_printf("n/%s", n->name);
        char *value = g_strdup_printf("tcp://x key%d", n->process_number);
        put_change(f, key, value);
        g_free(value);
        g_free(key);
    }
    schedule_result(f, e, KV_OK);
}

static void
deliver_result(struct fleet *f, const struct event *e, struct node *n)
{
    GArray *items = g_array_new(FALSE, TRUE, sizeof(struct kv_item));
    GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
    bool ok = e->outcome == KV_OK && !n->cut_off;
    for (guint i = f->changes->len; ok && i-- > 0;) {
        const struct change *c = g_ptr_array_index(f->changes, i);
        if (c->revision > e->revision || c->revision <= e->after ||
            !str_starts_with(str_from_cstr(c->key), e->op.prefix) ||
            e->op.prefix.len == 0 || !g_hash_table_add(newest, c->key) ||
            (e->list && !c->value)) {
            continue;
        }
        struct kv_item it = {str_from_cstr(c->key), str_from_cstr(c->value),
                             c->revision, !c->value};
        g_array_prepend_val(items, it);
    }
    struct kv_result r = {.id = e->op.id,
                          .outcome =
                              n->cut_off ? KV_OUTCOME_UNKNOWN : e->outcome,
                          .era = n->cut_off ? 0 : e->era,
                          .revision = e->revision,
                          .lease = 1,
                          .item_count = (int)items->len,
                          .items = (void *)items->data};
    feed_handle_result(n->feed, f->now, &r);
    g_array_free(items, TRUE);
    g_hash_table_destroy(newest);
}

static int
find_node(const struct fleet *f, uint64_t hash)
{
    for (int i = 0; i < f->count; i++) {
        if (f->nodes[i].hash == hash) {
            return i;
        }
    }
    return -1;
}

/* A node can only connect to a process whose public key it knows. */
static bool
knows_public_key(const struct fleet *f, int from, int to)
{
    const struct node *n = &f->nodes[to];
    const struct cluster_node *s =
        f->nodes[from].cluster_view
            ? cluster_view_find_node(f->nodes[from].cluster_view, n->hash)
            : NULL;
    char key[16];
    g_snprintf(key, sizeof(key), "key%d", n->process_number);
    return s && str_eq_cstr(s->key, key);
}

static void
handle_event(struct fleet *f, const struct event *e)
{
    struct node *n = &f->nodes[e->node];
    if (e->kind == EVENT_CALL) {
        handle_store_call(f, e);
        return;
    }
    if (!n->feed ||
        (e->kind == EVENT_RESULT && n->process_number != e->process_number)) {
        return;
    }
    if (e->kind == EVENT_RESULT) {
        deliver_result(f, e, n);
    }
    else if (e->kind == EVENT_PEER_REQUEST) {
        if (knows_public_key(f, find_node(f, e->from), e->node)) {
            feed_handle_peer_query(n->feed, f->now, e->from, &e->ask);
        }
    }
    else {
        feed_handle_peer_reply(n->feed, f->now, &e->answer);
    }
}

static void
run_node(struct fleet *f, int i)
{
    struct node *n = &f->nodes[i];
    struct kv_op op;
    struct event e = {.at_us = f->now + ONE_WAY_DELAY_US,
                      .node = i,
                      .process_number = n->process_number,
                      .from = n->hash};
    while (n->feed && feed_next_op(n->feed, f->now, &op)) {
        e.op = op;
        e.kind = EVENT_CALL;
        e.node = i;
        if (op.via_node) {
            e.kind = EVENT_PEER_REQUEST;
            e.node = find_node(f, op.via_node);
            e.ask =
                (struct feed_query){op.id, feed_range_of_op(n->feed, op.id),
                                    op.revision, op.wait_for_contact};
        }
        if (e.node >= 0) {
            schedule_event(f, &e);
        }
    }
    uint64_t to;
    while (n->feed && feed_next_peer_reply(n->feed, &to, &e.answer)) {
        e.kind = EVENT_PEER_RESPONSE;
        e.node = find_node(f, to);
        schedule_event(f, &e);
    }
    struct cluster_view *s = n->feed ? feed_take_site(n->feed, f->now) : NULL;
    if (s && routing_version(s->routing) != n->version) {
        n->version = routing_version(s->routing);
        n->version_since_us = f->now;
    }
    if (s) {
        cluster_view_unref(n->cluster_view);
        n->cluster_view = s;
    }
    if (f->record_contact_ages && n->feed && !n->cut_off) {
        n->max_contact_age_us =
            MAX(n->max_contact_age_us, f->now - feed_contact_us(n->feed));
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
            handle_event(f, e);
            g_free(e);
        }
        answer_due_watches(f);
        for (int i = 0; i < f->count; i++) {
            if (f->nodes[i].feed &&
                (feed_next_wakeup_us(f->nodes[i].feed) <= f->now ||
                 f->now % (10 * MS) == 0)) {
                run_node(f, i);
            }
        }
    }
}

static void
start_node(struct fleet *f, int i)
{
    struct node *n = &f->nodes[i];
    g_snprintf(n->name, sizeof(n->name), "node-%d", i);
    n->hash = hash64(str_from_cstr(n->name));
    char value[24];
    n->process_number++;
    g_snprintf(value, sizeof(value), "tcp://x key%d", n->process_number);
    n->version = 0;
    n->feed = feed_new(&feed_text_codec, str_from_cstr(n->name),
                       str_from_cstr(value),
                       (uint64_t)i + (uint64_t)n->process_number);
}

/* The registration of a killed node stays until its lease ends. */
static void
stop_node(struct fleet *f, int i)
{
    feed_free(f->nodes[i].feed);
    f->nodes[i].feed = NULL;
    cluster_view_unref(f->nodes[i].cluster_view);
    f->nodes[i].cluster_view = NULL;
}

static struct fleet *
fleet_new(int count)
{
    struct fleet *f = g_new0(struct fleet, 1);
    f->count = count;
    f->now = 100 * SECOND;
    f->era = 1;
    f->events = g_ptr_array_new_with_free_func(g_free);
    f->open_watches = g_ptr_array_new_with_free_func(g_free);
    f->changes = g_ptr_array_new();
    put_change(f, "o/config", "1");
    put_change(f, "e/one", "pool ready 0 1");
    for (int i = 0; i < count; i++) {
        start_node(f, i);
    }
    run_until(f, f->now + 10 * SECOND);
    f->record_contact_ages = true;
    return f;
}

static void
fleet_free(struct fleet *f)
{
    for (int i = 0; i < f->count; i++) {
        stop_node(f, i);
    }
    for (guint i = 0; i < f->changes->len; i++) {
        struct change *c = g_ptr_array_index(f->changes, i);
        g_free(c->key);
        g_free(c->value);
        g_free(c);
    }
    g_ptr_array_free(f->changes, TRUE);
    g_ptr_array_free(f->open_watches, TRUE);
    g_ptr_array_free(f->events, TRUE);
    g_free(f);
}

/* Checks that every running node that is not cut off knows the version. */
static void
check_fleet(const struct fleet *f, int64_t version, int64_t since_us)
{
    for (int i = 0; i < f->count; i++) {
        const struct node *n = &f->nodes[i];
        g_assert_cmpint(n->max_contact_age_us, <, CONTACT_MAX_US);
        if (n->feed && !n->cut_off) {
            g_assert_cmpint(n->version, ==, version);
            g_assert_cmpint(n->version_since_us, <=, since_us + APPLY_MAX_US);
        }
    }
}

/* Returns the number of calls in a minute without changes, except for renewals
 * of leases. */
static int64_t
count_idle_calls(int nodes, int64_t *renewals)
{
    struct fleet *f = fleet_new(nodes);
    f->calls = 0;
    f->renewals = 0;
    run_until(f, f->now + 60 * SECOND);
    int64_t calls = f->calls;
    *renewals = f->renewals;
    g_test_message("%d nodes: %ld calls a minute and %ld renewals", nodes,
                   (long)calls, (long)*renewals);
    check_fleet(f, 1, f->now);
    fleet_free(f);
    return calls;
}

static void
test_calls(void)
{
    int64_t renewals;
    int64_t small = count_idle_calls(30, &renewals);
    g_assert_cmpint(renewals, <=, 30 * 20);
    /* Four times as many nodes have twice as many watchers. */
    g_assert_cmpint(count_idle_calls(120, &renewals), <=,
                    2 * small + small / 2);
    g_assert_cmpint(renewals, <=, 120 * 20);
}

/* Twenty of 118 nodes restart one after the other. A restart may cost a few
 * calls of the node itself and of the watchers, but not calls of every node.
 */
static void
test_restarts(void)
{
    struct fleet *f = fleet_new(118);
    int64_t idle_calls;
    f->calls = 0;
    run_until(f, f->now + 20 * SECOND);
    idle_calls = f->calls;
    f->calls = 0;
    for (int i = 0; i < 20; i++) {
        char *key = g_strdup_printf("n/node-%d", i);
        stop_node(f, i);
        put_change(f, key, NULL);
        run_until(f, f->now + 500 * MS);
        start_node(f, i);
        run_until(f, f->now + 500 * MS);
        g_free(key);
    }
    f->record_contact_ages = false;
    int64_t calls_per_restart = (f->calls - idle_calls) / 20;
    g_test_message("%ld calls a restart", (long)calls_per_restart);
    g_assert_cmpint(calls_per_restart, <=, 40);
    fleet_free(f);
}

/* Returns the node that has made most calls since the last call of this
 * function, and resets the counts. */
static int
take_busiest_node(struct fleet *f)
{
    int best = -1;
    for (int i = 0; i < f->count; i++) {
        struct node *n = &f->nodes[i];
        if (n->feed && !n->cut_off &&
            (best < 0 || n->calls > f->nodes[best].calls)) {
            best = i;
        }
    }
    for (int i = 0; i < f->count; i++) {
        f->nodes[i].calls = 0;
    }
    return best;
}

/* The nodes that make most calls are the watchers. They die or are cut off
 * from the store one after the other, and each time a change is written soon
 * after. */
static void
test_watchers_lost(void)
{
    for (int cut_off = 0; cut_off < 2; cut_off++) {
        struct fleet *f = fleet_new(60);
        for (int k = 0; k < 12; k++) {
            int i = take_busiest_node(f);
            char version[16];
            g_snprintf(version, sizeof(version), "%d", k + 2);
            f->nodes[i].cut_off = cut_off;
            if (!cut_off) {
                stop_node(f, i);
            }
            run_until(f, f->now + (k % 4) * 300 * MS);
            int64_t at = f->now;
            put_change(f, "o/config", version);
            run_until(f, f->now + 3 * SECOND);
            check_fleet(f, k + 2, at);
        }
        fleet_free(f);
    }
}

/* All nodes lose power and restart before their leases have ended, so that
 * each first reads the public keys of the previous processes. */
static void
test_restart_of_all(void)
{
    struct fleet *f = fleet_new(118);
    f->record_contact_ages = false;
    for (int i = 0; i < f->count; i++) {
        stop_node(f, i);
    }
    run_until(f, f->now + SECOND);
    for (int i = 0; i < f->count; i++) {
        start_node(f, i);
        run_until(f, f->now + 3 * MS);
    }
    run_until(f, f->now + SECOND);
    f->calls = 0;
    int64_t at = f->now;
    put_change(f, "o/config", "2");
    run_until(f, f->now + 3 * SECOND);
    check_fleet(f, 2, at);
    int unknown_keys = 0;
    for (int i = 0; i < f->count; i++) {
        for (int k = 0; k < f->count; k++) {
            unknown_keys += i != k && !knows_public_key(f, i, k);
        }
    }
    g_assert_cmpint(unknown_keys, ==, 0);
    f->record_contact_ages = true;
    run_until(f, f->now + 20 * SECOND);
    check_fleet(f, 2, at);
    g_test_message("%ld calls in the 23 s after the first", (long)f->calls);
    fleet_free(f);
}

/* Registrations that were written after the copy was made are lost with their
 * leases. */
static void
restore_store(struct fleet *f, int64_t copy_revision)
{
    for (guint i = f->changes->len; i-- > 0;) {
        struct change *c = g_ptr_array_index(f->changes, i);
        if (c->revision <= copy_revision) {
            break;
        }
        for (int k = 0; k < f->count; k++) {
            if (g_str_has_prefix(c->key, "n/") &&
                strcmp(c->key + 2, f->nodes[k].name) == 0) {
                f->nodes[k].lease_lost = true;
            }
        }
        g_free(c->key);
        g_free(c->value);
        g_free(c);
        g_ptr_array_remove_index(f->changes, i);
    }
    f->revision = copy_revision;
    f->era++;
    while (f->open_watches->len > 0) {
        schedule_result(f, g_ptr_array_index(f->open_watches, 0),
                        KV_OUTCOME_UNKNOWN);
        g_ptr_array_remove_index_fast(f->open_watches, 0);
    }
}

/* Guards against nodes that mix revisions of two eras in queries to watchers,
 * when the store comes back from an older copy: each node must know each
 * change in time, whatever node has noticed the restore first. */
static void
test_restored(void)
{
    for (int cut_off = 0; cut_off < 2; cut_off++) {
        struct fleet *f = fleet_new(60);
        f->record_contact_ages = false;
        int64_t copy = f->revision;
        /* These nodes restart after the copy was made, so their registrations
         * are lost. */
        for (int i = 0; i < 20; i++) {
            stop_node(f, i);
            start_node(f, i);
        }
        for (int k = 2; k < 6; k++) {
            char version[16];
            g_snprintf(version, sizeof(version), "%d", k);
            put_change(f, "o/config", version);
            run_until(f, f->now + SECOND);
        }
        /* Some nodes learn of the restore from others only. */
        for (int i = 30; cut_off && i < 40; i++) {
            f->nodes[i].cut_off = true;
        }
        restore_store(f, copy);
        put_change(f, "o/config", "5");
        for (int k = 6; k < 12; k++) {
            char version[16];
            run_until(f, f->now + (k % 3) * 300 * MS);
            int64_t at = f->now;
            g_snprintf(version, sizeof(version), "%d", k);
            put_change(f, "o/config", version);
            run_until(f, f->now + 2500 * MS);
            for (int i = 0; i < 10; i++) {
                f->nodes[30 + i].cut_off = false;
            }
            if (k > 6 || !cut_off) {
                check_fleet(f, k, at);
            }
        }
        for (int i = 0; i < f->count; i++) {
            g_assert_cmpint(f->nodes[i].cluster_view->alive_count, ==,
                            f->count);
        }
        fleet_free(f);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/feed-fleet/calls", test_calls);
    g_test_add_func("/feed-fleet/restarts", test_restarts);
    g_test_add_func("/feed-fleet/watchers-lost", test_watchers_lost);
    g_test_add_func("/feed-fleet/restart-of-all", test_restart_of_all);
    g_test_add_func("/feed-fleet/restored", test_restored);
    return g_test_run();
}
