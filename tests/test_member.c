/* Guards against dead members that stay in the view, live members that are
 * removed from the view, nodes that stay fresh when partitioned or with an old
 * configuration, and restarted voters that count towards a majority before
 * they have the documents that their predecessor acknowledged. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/clean.h"
#include "control/contact.h"
#include "control/member.h"
#include "control/strikes.h"
#include "tests/vnet.h"

#define SECOND INT64_C(1000000)
#define NODES_MAX 64

struct world {
    struct vnet net;
    struct member *m[NODES_MAX];
    struct outbox *out;
    int64_t revisions[NODES_MAX][DOC_COUNT];
    struct roster *roster;
};

static int
collect_no_gossip(void *arg, struct gossip *out, int max)
{
    (void)arg;
    (void)out;
    (void)max;
    return 0;
}

static void
ignore_gossip(void *arg, int64_t now_us, const struct gossip *g)
{
    (void)arg;
    (void)now_us;
    (void)g;
}

static void
drain(struct world *w, int node)
{
    struct control_action a;
    while (outbox_take(w->out, &a)) {
        vnet_perform_action(&w->net, node, &a);
    }
    outbox_clear(w->out);
}

static void
step(void *arg, int node, const struct control_event *ev)
{
    struct world *w = arg;
    struct member *m = w->m[node];
    if (ev->kind == CONTROL_EV_MSG) {
        member_handle_msg(m, w->net.now_us, &ev->msg, w->out);
    }
    else {
        member_tick(m, w->net.now_us, w->out);
    }
    member_fresh_until_us(m, w->net.now_us);
    drain(w, node);
}

static int64_t
wakeup(void *arg, int node)
{
    return member_next_wakeup_us(((struct world *)arg)->m[node]);
}

static void
start(struct world *w, int i, uint64_t incarnation)
{
    struct member_options o = {
        .node = w->net.ids[i],
        .incarnation = incarnation,
        .address = STR_LIT("tcp://127.0.0.1:1"),
        .region = STR_LIT("s"),
        .seed = 77,
        .callbacks = {w, collect_no_gossip, ignore_gossip},
    };
    member_free(w->m[i]);
    w->m[i] = member_new(&o, w->net.now_us);
    member_set_roster(w->m[i], w->net.now_us, w->roster);
    member_set_revisions(w->m[i], w->revisions[i], 0);
    w->net.wakeup_time_us[i] = w->net.now_us;
}

/* Creates members that have all read the store once, at time 0. */
static struct world *
world_new(int count, uint64_t seed)
{
    struct world *w = mem_calloc(1, sizeof(*w));
    CLEANUP(buf_free) struct buf text = {0};
    buf_printf(&text, "{\"members\":[");
    for (int i = 0; i < count; i++) {
        buf_printf(&text,
                   "%s{\"id\":\"%016x\",\"address\":\"a\",\"region\":\"s\","
                   "\"incarnation\":1,\"vote\":true}",
                   i ? "," : "", i + 1);
    }
    buf_printf(&text, "]}");
    g_assert_cmpint(roster_parse(buf_str(&text), &w->roster), ==, ST_OK);
    vnet_init(&w->net, count, seed, w);
    w->net.step = step;
    w->net.wakeup = wakeup;
    w->out = outbox_new();
    for (int i = 0; i < count; i++) {
        w->revisions[i][DOC_CONFIG] = 5;
        w->revisions[i][DOC_ROSTER] = 6;
        start(w, i, 1);
        member_record_store_contact(w->m[i], 0);
        g_assert_true(member_fresh_until_us(w->m[i], 0) > 0);
    }
    return w;
}

static void
world_free(struct world *w)
{
    for (int i = 0; i < w->net.count; i++) {
        member_free(w->m[i]);
    }
    vnet_clear(&w->net);
    outbox_free(w->out);
    roster_free(w->roster);
    free(w);
}

static int64_t
freshness_left_us(struct world *w, int i)
{
    return member_fresh_until_us(w->m[i], w->net.now_us) - w->net.now_us;
}

static bool
sees_alive(struct world *w, int i, int other)
{
    return view_find(member_view(w->m[i]), w->net.ids[other])->alive;
}

/* The store is down all the time. Freshness must never come close to its end,
 * and no live member may be considered dead. */
static void
test_no_false_deaths(void)
{
    static const struct {
        int count;
        int64_t min_freshness_us;
    } rows[] = {{1, SECOND}, {2, SECOND},  {5, SECOND},
                {9, SECOND}, {16, SECOND}, {50, SECOND}};
    for (size_t r = 0; r < G_N_ELEMENTS(rows); r++) {
        struct world *w = world_new(rows[r].count, r);
        for (int64_t t = 3 * SECOND; t < 30 * SECOND; t += SECOND / 10) {
            vnet_run_until(&w->net, t);
            for (int i = 0; i < w->net.count; i++) {
                g_assert_cmpint(freshness_left_us(w, i), >=,
                                rows[r].min_freshness_us);
                g_assert_cmpint(view_alive_count(member_view(w->m[i])), ==,
                                w->net.count);
            }
        }
        world_free(w);
    }
}

static void
test_death_and_return(void)
{
    /* Bounds of the design page: 4.5 s at 5 nodes. In larger rosters a round
     * robin of n / 2 rounds, shared by all members, is added in the worst
     * case. */
    static const struct {
        int count;
        double loss;
        int64_t detection_limit_us;
    } rows[] = {{3, 0, 4500000},  {5, 0, 4500000},  {5, 0.1, 6000000},
                {16, 0, 6000000}, {50, 0, 8000000}, {50, 0.1, 10000000}};
    for (size_t r = 0; r < G_N_ELEMENTS(rows); r++) {
        struct world *w = world_new(rows[r].count, 100 + r);
        w->net.loss = rows[r].loss;
        vnet_run_until(&w->net, 5 * SECOND);
        w->net.up[1] = false;
        vnet_run_until(&w->net, 5 * SECOND + rows[r].detection_limit_us);
        for (int i = 0; i < w->net.count; i++) {
            g_assert_true(i == 1 || !sees_alive(w, i, 1));
        }
        /* A new process with the same id is alive again. */
        w->net.loss = 0;
        w->net.up[1] = true;
        start(w, 1, 2);
        vnet_run_until(&w->net, 20 * SECOND);
        for (int i = 0; i < w->net.count; i++) {
            g_assert_cmpint(view_alive_count(member_view(w->m[i])), ==,
                            w->net.count);
            g_assert_cmpint(freshness_left_us(w, i), >, 0);
        }
        world_free(w);
    }
}

/* Partitions some nodes for a time. Nodes without a majority must stop being
 * fresh within the freshness time, and all nodes must be fresh again soon
 * after the end of the partition. */
static void
test_partition(void)
{
    static const struct {
        int count;
        int partitioned; /* number of nodes, the last ones, that are
                            partitioned */
        int64_t cut_us;
    } rows[] = {{5, 2, 3 * SECOND},  {5, 2, 60 * SECOND}, {5, 1, SECOND},
                {4, 2, 10 * SECOND}, {9, 4, 10 * SECOND}, {2, 1, 5 * SECOND}};
    for (size_t r = 0; r < G_N_ELEMENTS(rows); r++) {
        struct world *w = world_new(rows[r].count, 200 + r);
        int majority_count = rows[r].count - rows[r].partitioned;
        int64_t fresh = contact_freshness_us(rows[r].count);
        int64_t heal = 10 * SECOND + rows[r].cut_us;
        vnet_run_until(&w->net, 10 * SECOND);
        for (int i = majority_count; i < w->net.count; i++) {
            w->net.partition_id[i] = 1;
        }
        for (int64_t t = 10 * SECOND; t < heal; t += SECOND / 5) {
            vnet_run_until(&w->net, t);
            for (int i = 0; i < w->net.count; i++) {
                bool majority =
                    i < majority_count && majority_count > rows[r].count / 2;
                if (majority || t > 10 * SECOND + fresh) {
                    g_assert_cmpint(freshness_left_us(w, i) > 0, ==, majority);
                    g_assert_cmpint(member_has_majority(w->m[i], t), ==,
                                    majority);
                }
            }
        }
        memset(w->net.partition_id, 0, sizeof(w->net.partition_id));
        vnet_run_until(&w->net, heal + 6 * SECOND);
        for (int i = 0; i < w->net.count; i++) {
            g_assert_cmpint(freshness_left_us(w, i), >, 0);
            g_assert_cmpint(view_alive_count(member_view(w->m[i])), ==,
                            w->net.count);
        }
        world_free(w);
    }
}

/* Guards against a node that, after a silence of all members, waits for its
 * next round to get the gossip that it missed, and against a node that pings
 * the sender of every message. */
static void
test_ping_after_silence(void)
{
    static const struct {
        int64_t at_us;
        int pings;
    } rows[] = {{5 * SECOND, 1}, {5 * SECOND + 1000, 0}, {7 * SECOND, 1}};
    struct world *w = world_new(3, 1);
    for (size_t r = 0; r < G_N_ELEMENTS(rows); r++) {
        struct control_action a;
        int pings = 0;
        outbox_clear(w->out);
        member_record_message(w->m[0], rows[r].at_us, w->net.ids[1], w->out);
        while (outbox_take(w->out, &a)) {
            pings += a.kind == CONTROL_ACT_SEND &&
                     a.send.msg.type == MSG_PING && a.send.to == w->net.ids[1];
        }
        g_assert_cmpint(pings, ==, rows[r].pings);
    }
    world_free(w);
}

/* A node counts a contact only if it has the sender's documents. */
static void
test_contact_needs_documents(void)
{
    static const struct {
        enum doc_kind kind;
        bool config_invalid; /* the newer configuration does not parse here */
        bool fresh;
    } rows[] = {{DOC_CONFIG, false, false},
                {DOC_CONFIG, true, true},
                {DOC_ROSTER, false, false},
                {DOC_VMS, false, true}};
    for (size_t r = 0; r < G_N_ELEMENTS(rows); r++) {
        struct world *w = world_new(3, 300 + r);
        for (int i = 0; i < 2; i++) {
            w->revisions[i][rows[r].kind] = 9;
            member_set_revisions(w->m[i], w->revisions[i], 0);
        }
        member_set_revisions(w->m[2], w->revisions[2],
                             rows[r].config_invalid ? 9 : 0);
        vnet_run_until(&w->net, 10 * SECOND);
        g_assert_cmpint(freshness_left_us(w, 2) > 0, ==, rows[r].fresh);
        g_assert_cmpint(freshness_left_us(w, 0), >, 0);
        world_free(w);
    }
}

/* One of three voters is partitioned and one restarts: no majority is left
 * that has the documents which were acknowledged before. Without the
 * partition, the restarted voter has contact with two others and counts. */
static void
test_unsynchronized(void)
{
    for (int partitioned = 0; partitioned < 2; partitioned++) {
        struct world *w = world_new(3, 400);
        vnet_run_until(&w->net, 5 * SECOND);
        w->net.partition_id[0] = partitioned;
        start(w, 2, 2);
        vnet_run_until(&w->net, 15 * SECOND);
        g_assert_cmpint(member_is_synchronized(w->m[2]), ==, !partitioned);
        g_assert_cmpint(freshness_left_us(w, 2) > 0, ==, !partitioned);
        g_assert_cmpint(freshness_left_us(w, 1) > 0, ==, !partitioned);
        /* A read of the store makes the process synchronized. */
        member_record_store_contact(w->m[2], w->net.now_us);
        g_assert_cmpint(freshness_left_us(w, 2), >, 0);
        vnet_run_until(&w->net, 20 * SECOND);
        g_assert_cmpint(freshness_left_us(w, 1), >, 0);
        world_free(w);
    }
}

static void
test_leave(void)
{
    struct world *w = world_new(5, 500);
    enum member_state state = MEMBER_ALIVE;
    int64_t since;
    vnet_run_until(&w->net, 5 * SECOND);
    w->net.partition_id[4] = 1; /* misses the LEAVE, learns of it by gossip */
    member_announce_leave(w->m[0], w->net.now_us, w->out);
    drain(w, 0);
    vnet_run_until(&w->net, 6 * SECOND);
    w->net.partition_id[4] = 0;
    /* The leaving node still answers and pings, but stays out of the view. */
    vnet_run_until(&w->net, 9 * SECOND);
    for (int i = 1; i < 5; i++) {
        g_assert_false(sees_alive(w, i, 0));
        member_get_state(w->m[i], 1, &state, &since);
        g_assert_cmpint(state, ==, MEMBER_LEFT);
    }
    world_free(w);
}

static void
test_confirmed(void)
{
    struct world *w = world_new(5, 600);
    struct str s = STR_LIT("s");
    vnet_run_until(&w->net, 3 * SECOND);
    g_assert_true(member_is_confirmed(w->m[0], s, DOC_CONFIG, 5));
    g_assert_false(member_is_confirmed(w->m[0], s, DOC_CONFIG, 6));
    member_record_ack(w->m[0], 2, 1, DOC_CONFIG, 6);
    member_record_ack(w->m[0], 3, 1, DOC_CONFIG, 6);
    g_assert_false(member_is_confirmed(w->m[0], s, DOC_CONFIG, 6));
    /* An acknowledgement by an earlier process does not count. */
    member_record_ack(w->m[0], 4, 0, DOC_CONFIG, 6);
    g_assert_false(member_is_confirmed(w->m[0], s, DOC_CONFIG, 6));
    member_record_ack(w->m[0], 4, 1, DOC_CONFIG, 6);
    g_assert_true(member_is_confirmed(w->m[0], s, DOC_CONFIG, 6));
    g_assert_true(member_is_confirmed(w->m[0], STR_LIT("t"), DOC_CONFIG, 6));
    g_assert_cmpint(member_newest_revision(w->m[0], DOC_CONFIG), ==, 6);
    /* A new process in the roster has none of its predecessor's documents. */
    w->roster->members[3].incarnation = 2;
    member_set_roster(w->m[0], w->net.now_us, w->roster);
    g_assert_false(member_is_confirmed(w->m[0], s, DOC_CONFIG, 6));
    world_free(w);
}

static void
test_freshness_time_and_strikes(void)
{
    static const struct {
        int members;
        int64_t fresh_us;
    } rows[] = {{5, 2000000},
                {8, 2000000},
                {9, 2500000},
                {50, 3500000},
                {390, 5000000}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_assert_cmpint(contact_freshness_us(rows[i].members), ==,
                        rows[i].fresh_us);
    }
    /* Rows of time in s, strikes, and whether the notice is new. */
    static const int strikes[][3] = {
        {0, 1, 1}, {0, 1, 0}, {1, 2, 1}, {1, 1, 0},   {2, 0, 1},
        {2, 0, 0}, {3, 2, 0}, {4, 3, 1}, {400, 1, 1}, {401, 0, 1}};
    struct strikes *s = strikes_new();
    for (size_t i = 0; i < G_N_ELEMENTS(strikes); i++) {
        struct suspect_notice n = {{1, 2}, strikes[i][1], 300 * SECOND};
        g_assert_cmpint(strikes_apply(s, strikes[i][0] * SECOND, &n), ==,
                        strikes[i][2]);
    }
    g_assert_cmpint(strikes_content_count(s), ==, 1);
    strikes_free(s);
    struct roster *bad = NULL;
    g_assert_cmpint(
        roster_parse(STR_LIT("{\"members\":[{\"id\":\"x\"}]}"), &bad), ==,
        ST_INVALID);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/member/small", test_freshness_time_and_strikes);
    g_test_add_func("/member/steady", test_no_false_deaths);
    g_test_add_func("/member/death", test_death_and_return);
    g_test_add_func("/member/partition", test_partition);
    g_test_add_func("/member/missed", test_ping_after_silence);
    g_test_add_func("/member/merge_rule", test_contact_needs_documents);
    g_test_add_func("/member/unsettled", test_unsynchronized);
    g_test_add_func("/member/leave", test_leave);
    g_test_add_func("/member/confirmed", test_confirmed);
    return g_test_run();
}
