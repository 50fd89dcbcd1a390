/* Guards against documents that go back to an older revision, invalid
 * documents that replace valid ones, a number of store calls that grows with
 * the fleet, a burst of calls when the store recovers, and nodes that a pushed
 * document does not reach. */
#include <glib.h>
#include <string.h>

#include "base/clean.h"
#include "control/docs.h"
#include "tests/vnet.h"

#define SECOND INT64_C(1000000)
#define NODES_MAX 400
#define GOOD "{\"defaults\":{\"deadline_ms\":5000}}"

struct world {
    struct vnet net;
    struct docs *d[NODES_MAX];
    struct view_member members[NODES_MAX];
    struct view view[NODES_MAX];
    int64_t probe_us[NODES_MAX];
    struct outbox *out;
    int64_t docs_sent;
};

static void
drain(struct world *w, int node)
{
    struct control_action a;
    while (outbox_take(w->out, &a)) {
        w->docs_sent +=
            a.kind == CONTROL_ACT_SEND && a.send.msg.type == MSG_DOC;
        vnet_perform_action(&w->net, node, &a);
    }
    outbox_clear(w->out);
}

/* Simulates a probe: the node receives the revisions of two other nodes. */
static void
probe(struct world *w, int node)
{
    for (int i = 0; i < 2; i++) {
        int64_t revisions[DOC_COUNT];
        int peer = (int)rng_below(&w->net.rng, (uint64_t)w->net.count);
        if (!w->net.up[peer] ||
            w->net.partition_id[peer] != w->net.partition_id[node]) {
            continue;
        }
        for (int k = 0; k < DOC_COUNT; k++) {
            revisions[k] = docs_get(w->d[peer], (enum doc_kind)k).revision;
        }
        docs_handle_peer_revisions(w->d[node], w->net.now_us, &w->view[node],
                                   w->net.ids[peer], revisions, w->out);
    }
}

static void
step(void *arg, int node, const struct control_event *ev)
{
    struct world *w = arg;
    int64_t now = w->net.now_us;
    if (ev->kind == CONTROL_EV_MSG) {
        docs_handle_msg(w->d[node], now, &w->view[node], &ev->msg, w->out);
    }
    else if (ev->kind == CONTROL_EV_STORE) {
        docs_handle_store_result(w->d[node], now, &ev->store);
    }
    else {
        /* Contacts with the store reach all nodes unless the store is down. */
        docs_tick(w->d[node], now, &w->view[node],
                  w->net.store_down ? 10 * SECOND : 0, w->out);
        if (now >= w->probe_us[node]) {
            w->probe_us[node] = now + SECOND / 2;
            probe(w, node);
        }
    }
    drain(w, node);
}

static int64_t
wakeup(void *arg, int node)
{
    struct world *w = arg;
    int64_t at = docs_next_wakeup_us(w->d[node]);
    return at < w->probe_us[node] ? at : w->probe_us[node];
}

static struct world *
world_new(int count, uint64_t seed)
{
    struct world *w = mem_calloc(1, sizeof(*w));
    vnet_init(&w->net, count, seed, w);
    w->net.step = step;
    w->net.wakeup = wakeup;
    w->out = outbox_new();
    for (int i = 0; i < count; i++) {
        struct docs_options o = {w->net.ids[i], 1, seed};
        w->members[i] = (struct view_member){
            .node = w->net.ids[i], .alive = true, .in_roster = true};
        w->view[i] = (struct view){w->net.ids[i], 1, count, w->members};
        w->d[i] = docs_new(&o, 0);
    }
    vnet_put_key(&w->net, "cf/config", STR_LIT(GOOD));
    vnet_put_key(&w->net, "cf/roster", STR_LIT("{\"members\":[]}"));
    vnet_put_key(&w->net, "platform/vms", STR_LIT("{\"vms\":[]}"));
    return w;
}

static void
world_free(struct world *w)
{
    for (int i = 0; i < w->net.count; i++) {
        docs_free(w->d[i]);
    }
    vnet_clear(&w->net);
    outbox_free(w->out);
    free(w);
}

/* Documents in order of arrival, and the revision of this kind that is in
 * force afterwards. */
static const struct {
    enum doc_kind kind;
    int64_t revision;
    const char *bytes;
    int64_t in_force;
} rows[] = {
    {DOC_CONFIG, 10, GOOD, 10},
    {DOC_CONFIG, 9, "{}", 10},
    {DOC_CONFIG, 10, "{}", 10},
    {DOC_CONFIG, 11, "{\"colour\":1}", 10},
    {DOC_CONFIG, 11, "{\"defaults\":", 10},
    {DOC_CONFIG, 12, "{}", 12},
    {DOC_ROSTER, 3, "{\"members\":[{}]}", 0},
    {DOC_ROSTER, 3, "{\"members\":[]}", 3},
    {DOC_VMS, 4, "{}", 0},
    {DOC_VMS, 4, "{\"vms\":[]}", 4},
};

static void
test_rows(void)
{
    struct world *w = world_new(2, 1);
    CLEANUP(buf_free) struct buf metrics = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct msg m = {.type = MSG_DOC, .from = 2, .incarnation = 1};
        struct control_action a;
        int acks = 0;
        m.doc.doc = rows[i].kind;
        m.doc.revision = rows[i].revision;
        m.doc.bytes = str_from_cstr(rows[i].bytes);
        docs_handle_msg(w->d[0], 0, &w->view[0], &m, w->out);
        while (outbox_take(w->out, &a)) {
            g_assert_cmpint(a.send.msg.type, ==, MSG_DOC_ACK);
            acks += a.send.msg.doc.doc == rows[i].kind;
        }
        outbox_clear(w->out);
        g_assert_cmpint(docs_get(w->d[0], rows[i].kind).revision, ==,
                        rows[i].in_force);
        /* Only the document in force is acknowledged. */
        g_assert_cmpint(acks, ==, rows[i].revision <= rows[i].in_force);
    }
    docs_metrics(w->d[0], &metrics);
    g_assert_nonnull(strstr(metrics.ptr, "docs_rejected_total 4\n"));
    g_assert_nonnull(strstr(metrics.ptr, "docs_stale_total 1\n"));
    world_free(w);
}

/* If the stored configuration is invalid, the old one stays in force, and
 * reads still count as contact with the store. Reads from a store that lost
 * its data do not count. */
static void
test_faulty_store(void)
{
    struct world *w = world_new(3, 2);
    vnet_run_until(&w->net, 2 * SECOND);
    int64_t good = docs_get(w->d[0], DOC_CONFIG).revision;
    int64_t bad = vnet_put_key(&w->net, "cf/config", STR_LIT("{\"x\":1}"));
    vnet_run_until(&w->net, 6 * SECOND);
    g_assert_cmpint(docs_get(w->d[0], DOC_CONFIG).revision, ==, good);
    g_assert_cmpint(docs_invalid_revision(w->d[0]), ==, bad);
    g_assert_cmpint(docs_last_contact_us(w->d[0]), >, 5 * SECOND);
    vnet_key(&w->net, STR_LIT("cf/config"))->revision = 0;
    vnet_run_until(&w->net, 9 * SECOND);
    g_assert_cmpint(docs_get(w->d[0], DOC_CONFIG).revision, ==, good);
    g_assert_cmpint(docs_last_contact_us(w->d[0]), <, 7 * SECOND);
    world_free(w);
}

/* A read counts as contact at the time at which it was sent, and only if the
 * returned revision is not older than the one in force. */
static void
test_contact(void)
{
    static const struct {
        int64_t revision;
        bool counts;
    } reads[] = {{7, true}, {6, false}, {7, true}, {9, true}};
    struct world *w = world_new(1, 3);
    int64_t now = SECOND;
    for (size_t i = 0; i < G_N_ELEMENTS(reads); i++) {
        struct control_action a;
        struct store_result r = {.outcome = STORE_OK,
                                 .revision = reads[i].revision,
                                 .value = STR_LIT(GOOD)};
        int64_t before = docs_last_contact_us(w->d[0]);
        docs_tick(w->d[0], now, &w->view[0], 0, w->out);
        while (outbox_take(w->out, &a)) {
            r.id = str_eq_cstr(a.store.key, "cf/config") ? a.store.id : r.id;
        }
        outbox_clear(w->out);
        docs_handle_store_result(w->d[0], now + SECOND / 2, &r);
        g_assert_cmpint(docs_last_contact_us(w->d[0]), ==,
                        reads[i].counts ? now : before);
        now += SECOND;
    }
    world_free(w);
}

static void
test_store_calls(void)
{
    /* Each watcher makes 2 + 0.5 + 0.5 calls a second, plus the watches, which
     * last 30 s. During an outage, watchers back off to one read in 4 s (with
     * a random factor of 0.5 to 1.5). The other nodes back off as well and
     * together stay below 4 reads a second. */
    static const struct {
        int count;
        int watchers;
    } sizes[] = {{1, 3}, {5, 3}, {9, 3}, {10, 4}, {40, 7}, {390, 16}};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        int n = sizes[i].watchers;
        g_assert_cmpint(docs_watcher_count(sizes[i].count), ==, n);
        n = n < sizes[i].count ? n : sizes[i].count;
        struct world *w = world_new(sizes[i].count, 10 + i);
        vnet_run_until(&w->net, 10 * SECOND);
        int64_t before = w->net.store_calls;
        vnet_run_until(&w->net, 30 * SECOND);
        g_assert_cmpint(w->net.store_calls - before, <=,
                        20 * 3 * n * 12 / 10 + 2 * n);
        g_assert_cmpint(w->net.store_calls - before, >=, 20 * 3 * n * 8 / 10);
        w->net.store_down = true;
        vnet_run_until(&w->net, 40 * SECOND);
        before = w->net.store_calls;
        vnet_run_until(&w->net, 100 * SECOND);
        int others = (sizes[i].count - n) * 15;
        others = others < 240 ? others : 240;
        g_assert_cmpint(w->net.store_calls - before, <=,
                        (15 * n + others) * 3 / 2);
        /* When the store recovers, the number of calls within 100 ms stays
         * below the number that all watchers would send at once. */
        w->net.store_down = false;
        int64_t put =
            vnet_put_key(&w->net, "platform/vms", STR_LIT("{\"vms\":[{}]}"));
        int64_t peak = 0;
        for (int t = 1; t <= 80; t++) {
            before = w->net.store_calls;
            vnet_run_until(&w->net, 100 * SECOND + t * SECOND / 10);
            before = w->net.store_calls - before;
            peak = before > peak ? before : peak;
        }
        g_assert_cmpint(peak, <=, n + 4);
        for (int k = 0; k < w->net.count; k++) {
            g_assert_cmpint(docs_get(w->d[k], DOC_VMS).revision, ==, put);
        }
        world_free(w);
    }
}

/* A document written by one node reaches all alive nodes. With the tree, no
 * node sends more than 17 copies, and a node receives at most two copies on
 * average. */
static void
test_push(void)
{
    static const struct {
        int count;
        int dead_every; /* every n-th node is down; 0: none */
        int64_t delivery_limit_us;
    } sizes[] = {{5, 0, 10000},
                 {64, 0, 10000},
                 {390, 0, 10000},
                 {390, 7, 10000},
                 {390, 2, 10000}};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct world *w = world_new(sizes[i].count, 20 + i);
        int alive = sizes[i].count;
        vnet_run_until(&w->net, 5 * SECOND);
        for (int k = 1; sizes[i].dead_every && k < w->net.count; k++) {
            if (k % sizes[i].dead_every == 0) {
                w->net.up[k] = false;
                w->members[k].alive = false;
                alive--;
            }
        }
        w->docs_sent = 0;
        docs_apply(w->d[1], &w->view[1], DOC_CONFIG, 99, STR_LIT("{}"), true,
                   w->out);
        if (w->net.count > 64) {
            g_assert_cmpint(docs_get(w->d[1], DOC_CONFIG).revision, ==, 99);
        }
        drain(w, 1);
        g_assert_cmpint(w->docs_sent, <=, 64);
        vnet_run_until(&w->net, 5 * SECOND + sizes[i].delivery_limit_us);
        for (int k = 0; k < w->net.count; k++) {
            g_assert_true(!w->net.up[k] ||
                          docs_get(w->d[k], DOC_CONFIG).revision == 99);
        }
        g_assert_cmpint(w->docs_sent, <=, 2 * alive);
        world_free(w);
    }
}

/* Without the store, documents reach all nodes from the only node that has
 * them. */
static void
test_from_peers(void)
{
    struct world *w = world_new(5, 30);
    w->net.store_down = true;
    vnet_run_until(&w->net, 5 * SECOND);
    docs_apply(w->d[2], &w->view[2], DOC_CONFIG, 7, STR_LIT(GOOD), false,
               w->out);
    drain(w, 2);
    vnet_run_until(&w->net, 8 * SECOND);
    for (int k = 0; k < 5; k++) {
        g_assert_cmpint(docs_get(w->d[k], DOC_CONFIG).revision, ==, 7);
        g_assert_true(docs_is_known(w->d[k], DOC_CONFIG));
        g_assert_false(docs_is_known(w->d[k], DOC_VMS));
    }
    world_free(w);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/docs/rows", test_rows);
    g_test_add_func("/docs/faulty_store", test_faulty_store);
    g_test_add_func("/docs/contact", test_contact);
    g_test_add_func("/docs/store_calls", test_store_calls);
    g_test_add_func("/docs/push", test_push);
    g_test_add_func("/docs/from_peers", test_from_peers);
    return g_test_run();
}
