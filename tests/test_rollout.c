/* Guards against a roll-out that exposes callers to a bad version beyond the
 * operator's bounds, that stops at a good one, or that tells the operator to
 * stop old servers which still have requests. */
#include <glib.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "rollout/rollout.h"
#include "tests/rollout_sim.h"

#define MS 1000LL
#define SECOND 1000000LL
#define DURATION_US (12 * SECOND)
/* ROLLOUT_SEEDS=100 runs the number of seeds that the design page names. */
#define SUITE_SEEDS 4
/* Runs of the largest fleet, which take a second each. */
#define LARGE_SEEDS 1

static const char *const kind_names[] = {"good", "at-once", "slow",  "later",
                                         "load", "route",   "tenth", "noisy"};

static const struct size {
    int nodes;
    int servers;
    double rate;
} sizes[] = {{5, 6, 60}, {34, 40, 400}, {118, 140, 1500}, {390, 600, 3700}};

/* ROLLOUT_FIRST_SEED: seeds other than those that bounds were tried with. */
static uint64_t
first_seed(void)
{
    const char *text = getenv("ROLLOUT_FIRST_SEED");
    return text ? (uint64_t)atoi(text) : 1;
}

static int
seed_count(void)
{
    const char *text = getenv("ROLLOUT_SEEDS");
    return text ? atoi(text) : SUITE_SEEDS;
}

static struct sim *
new_sim(const struct size *z, enum sim_kind kind, uint64_t seed)
{
    struct sim_options o = {.nodes = z->nodes,
                            .servers = z->servers,
                            .rate = z->rate,
                            .kind = kind,
                            .duration_us = DURATION_US,
                            .seed = seed,
                            .loss = 0.01};
    struct sim *s = rollout_sim_new(&o);
    rollout_sim_run(s, SECOND);
    rollout_sim_order(s, "v2", DURATION_US);
    return s;
}

static bool
must_complete(enum sim_kind kind)
{
    return kind == SIM_GOOD || kind == SIM_NOISY;
}

/* Fails unless the bounds for a bad version are kept. */
static void
check_bounds(const struct sim *s)
{
    double bound = 0.1 * (double)s->requests_since_order + 50;
    g_assert_cmpfloat((double)s->exposed, <=, bound);
    if (s->bad_50_us) {
        g_assert_cmpint(s->last_new_us, <=, s->bad_50_us + 5 * SECOND);
    }
}

static void
check_outcome(const struct sim *s, enum sim_kind kind)
{
    g_assert_cmpint(s->finished_us, >, 0);
    g_assert_cmpint(s->finished_us, <=, s->order_us + s->opts.duration_us);
    g_assert_cmpint(s->old_at_completion, ==, 0);
    if (must_complete(kind)) {
        g_assert_cmpstr(s->status, ==, "completed");
        return;
    }
    g_assert_cmpstr(s->status, ==, "rolled_back");
    check_bounds(s);
}

struct kind_case {
    const struct size *size;
    enum sim_kind kind;
};

static void
test_kind(gconstpointer data)
{
    const struct kind_case *c = data;
    int seeds =
        MIN(seed_count(), c->size->nodes > 200 ? LARGE_SEEDS : INT_MAX);
    double most_share = 0;
    int64_t most_back_us = 0;
    int64_t most_time_us = 0;
    int wrong = 0;
    for (int i = 0; i < seeds; i++) {
        int seed = (int)first_seed() + i;
        struct sim *s = new_sim(c->size, c->kind, (uint64_t)seed);
        rollout_sim_run(s, DURATION_US + SECOND);
        double bound = 0.1 * (double)s->requests_since_order + 50;
        g_assert_cmpint(s->old_at_completion, ==, 0);
        most_share = MAX(most_share, (double)s->exposed / bound);
        if (s->bad_50_us) {
            most_back_us = MAX(most_back_us, s->last_new_us - s->bad_50_us);
        }
        most_time_us = MAX(most_time_us, s->finished_us - s->order_us);
        bool right =
            strcmp(s->status,
                   must_complete(c->kind) ? "completed" : "rolled_back") == 0;
        /* Two bad responses among few requests can be chance. */
        right |= !must_complete(c->kind) && s->bad_at_end <= 2;
        wrong += !right;
        if (!right ||
            (!must_complete(c->kind) && (double)s->exposed > bound)) {
            g_test_message("seed %d: %s, exposed %.2f of bound, %s", seed,
                           s->status, (double)s->exposed / bound, s->record);
        }
        rollout_sim_free(s);
    }
    g_test_message("%s at %d nodes, %d seeds: %d wrong, exposed at most %.2f "
                   "of the bound, last request %.2f s after the 50th bad "
                   "response, final after %.2f s at most",
                   kind_names[c->kind], c->size->nodes, seeds, wrong,
                   most_share, (double)most_back_us / SECOND,
                   (double)most_time_us / SECOND);
    g_assert_cmpint(wrong, ==, 0);
    g_assert_cmpfloat(must_complete(c->kind) ? 0 : most_share, <=, 1);
    g_assert_cmpint(most_back_us, <=, 5 * SECOND);
    g_assert_cmpint(most_time_us, <=, DURATION_US);
}

static const struct size few = {5, 4, 3};

/* Kills the writing node at a write; arg is its number, negative if the write
 * does not take effect. */
static bool
kill_writer(struct sim *s, int node, int write)
{
    int at = *(const int *)s->arg;
    if (write != abs(at)) {
        return true;
    }
    rollout_sim_kill(s, node);
    return at > 0;
}

static struct sim *
new_quiet_sim(enum sim_kind kind, uint64_t seed)
{
    return new_sim(&sizes[0], kind, seed);
}

/* Guards against steps that cannot be repeated: the decider is killed before
 * or after each of its writes. */
static void
test_decider_killed(void)
{
    for (int write = 1; write <= 9; write++) {
        for (int sign = -1; sign <= 1; sign += 2) {
            for (int k = SIM_GOOD; k <= SIM_BAD_AT_ONCE; k++) {
                int at = sign * write;
                struct sim *s =
                    new_quiet_sim((enum sim_kind)k, (uint64_t)write);
                s->on_write = kill_writer;
                s->arg = &at;
                rollout_sim_run(s, DURATION_US + 4 * SECOND);
                g_test_message("%s, write %d: %s after %.2f s, %s",
                               kind_names[k], at, s->status,
                               (double)(s->finished_us - s->order_us) / SECOND,
                               s->record);
                if (s->record_writes >= write) {
                    check_outcome(s, (enum sim_kind)k);
                }
                rollout_sim_free(s);
            }
        }
    }
}

/* Guards against traffic at a bad version while the decision cannot be
 * written: the store fails for 4 s at different times. */
static void
test_store_down(void)
{
    for (int start_s = 0; start_s <= 9; start_s++) {
        for (int k = SIM_GOOD; k <= SIM_BAD_AT_ONCE; k++) {
            struct sim *s = new_quiet_sim((enum sim_kind)k, (uint64_t)start_s);
            rollout_sim_run(s, start_s * SECOND);
            s->store_down = true;
            rollout_sim_run(s, 4 * SECOND);
            s->store_down = false;
            rollout_sim_run(s, 10 * SECOND);
            g_test_message("%s, down at %d s: %s after %.2f s, %s",
                           kind_names[k], start_s, s->status,
                           (double)(s->finished_us - s->order_us) / SECOND,
                           s->record);
            g_assert_cmpint(s->finished_us, >, 0);
            g_assert_cmpint(s->old_at_completion, ==, 0);
            if (k != SIM_GOOD) {
                g_assert_cmpstr(s->status, ==, "rolled_back");
                check_bounds(s);
            }
            rollout_sim_free(s);
        }
    }
}

/* Guards against a roll-out that is too late because each operation of the
 * store takes 300 ms. */
static void
test_store_slow(void)
{
    for (int k = SIM_GOOD; k < SIM_NOISY; k++) {
        struct sim_options o = {.nodes = 5,
                                .servers = 6,
                                .rate = 60,
                                .kind = (enum sim_kind)k,
                                .duration_us = DURATION_US,
                                .seed = 3,
                                .store_us = 300 * MS};
        struct sim *s = rollout_sim_new(&o);
        rollout_sim_run(s, SECOND);
        rollout_sim_order(s, "v2", DURATION_US);
        rollout_sim_run(s, DURATION_US + SECOND);
        check_outcome(s, (enum sim_kind)k);
        rollout_sim_free(s);
    }
}

/* Guards against decisions that are lost when the store comes back from an
 * older copy: after the end, the record is that of an earlier write. */
static void
test_older_copy(void)
{
    for (int write = 0; write <= 6; write++) {
        for (int k = SIM_GOOD; k <= SIM_BAD_AT_ONCE; k++) {
            struct sim *s = new_quiet_sim((enum sim_kind)k, 5);
            rollout_sim_run(s, DURATION_US);
            char before[32];
            g_strlcpy(before, s->status, sizeof(before));
            rollout_sim_restore(s, write);
            rollout_sim_run(s, 4 * SECOND);
            g_assert_cmpstr(s->status, ==, before);
            rollout_sim_free(s);
        }
    }
}

/* As above, in the middle of a roll-out. */
static void
test_older_copy_midway(void)
{
    for (int at_s = 2; at_s <= 10; at_s++) {
        for (int k = SIM_GOOD; k <= SIM_BAD_AT_ONCE; k++) {
            struct sim *s = new_quiet_sim((enum sim_kind)k, (uint64_t)at_s);
            rollout_sim_run(s, at_s * SECOND);
            rollout_sim_restore(s, s->record_writes / 2);
            rollout_sim_run(s, DURATION_US);
            check_outcome(s, (enum sim_kind)k);
            rollout_sim_free(s);
        }
    }
}

/* Guards against a replaced target that keeps traffic, and against an order
 * that is not taken up since another one was in progress. */
static void
test_order_replaced(void)
{
    for (int at_s = 1; at_s <= 8; at_s++) {
        struct sim *s = new_quiet_sim(SIM_GOOD, (uint64_t)at_s);
        struct rollout_record r;
        rollout_sim_run(s, at_s * SECOND);
        rollout_sim_order(s, "v3", DURATION_US);
        rollout_sim_run(s, SECOND);
        /* It may complete before the decider learns of the new order. */
        bool was_completed = strcmp(s->completed, "v2") == 0;
        rollout_sim_run(s, DURATION_US);
        g_assert_cmpstr(s->status, ==, "completed");
        g_assert_cmpstr(s->status_target, ==, "v3");
        g_assert_true(rollout_record_read(str_from_cstr(s->record), &r) ==
                      ST_OK);
        g_test_message("replaced after %d s: %s", at_s, s->record);
        g_assert_cmpstr(r.rejected, ==, was_completed ? "" : "v2");
        rollout_sim_free(s);
    }
}

/* Guards against an order that is written again: it must not move a completed
 * roll-out back, and must start a rolled back one again. */
static void
test_order_repeated(void)
{
    for (int at_s = 1; at_s <= 14; at_s++) {
        for (int k = SIM_GOOD; k <= SIM_BAD_AT_ONCE; k++) {
            struct sim *s = new_quiet_sim((enum sim_kind)k, (uint64_t)at_s);
            rollout_sim_run(s, at_s * SECOND);
            bool was_completed = strcmp(s->status, "completed") == 0;
            rollout_sim_order(s, "v2", DURATION_US);
            rollout_sim_run(s, 2 * SECOND);
            if (was_completed) {
                g_assert_cmpstr(s->status, ==, "completed");
            }
            rollout_sim_run(s, DURATION_US);
            check_outcome(s, (enum sim_kind)k);
            rollout_sim_free(s);
        }
    }
}

/* Guards against traffic at the new version after the order was withdrawn. */
static void
test_order_withdrawn(void)
{
    for (int at_s = 1; at_s <= 7; at_s++) {
        struct sim *s = new_quiet_sim(SIM_GOOD, (uint64_t)at_s);
        rollout_sim_run(s, at_s * SECOND);
        rollout_sim_order(s, NULL, DURATION_US);
        rollout_sim_run(s, 2 * SECOND);
        g_assert_cmpstr(s->status, ==, "rolled_back");
        g_assert_cmpint(s->last_new_us, <, s->order_us + SECOND);
        rollout_sim_free(s);
    }
}

/* Guards against nodes that go on sending to a bad version although they
 * cannot learn that it was rolled back. */
static void
test_node_cut_off(void)
{
    for (int how = 0; how < 3; how++) {
        struct sim *s = new_quiet_sim(SIM_BAD_AT_ONCE, 7);
        rollout_sim_run(s, 1500 * MS);
        s->nodes[2].cut_store = how != 1;
        s->nodes[2].cut_peers = how != 0;
        rollout_sim_run(s, 5 * SECOND);
        g_assert_false(
            rollout_traffic_allows_new(&s->nodes[2].traffic, s->now_us));
        rollout_sim_run(s, DURATION_US);
        check_outcome(s, SIM_BAD_AT_ONCE);
        rollout_sim_free(s);
    }
}

/* Guards against a roll-out that never ends for want of evidence. */
static void
test_few_requests(gconstpointer kind)
{
    struct kind_case c = {&few, (enum sim_kind)GPOINTER_TO_INT(kind)};
    test_kind(&c);
}

/* Guards against two nodes that decide at once: both cannot reach each other,
 * and both write. */
static void
test_two_deciders(void)
{
    for (int k = SIM_GOOD; k < SIM_NOISY; k++) {
        struct sim *s = new_quiet_sim((enum sim_kind)k, 9);
        s->opts.loss = 0.6;
        rollout_sim_run(s, DURATION_US + SECOND);
        g_test_message("%s: %s after %.2f s, %s", kind_names[k], s->status,
                       (double)(s->finished_us - s->order_us) / SECOND,
                       s->record);
        g_assert_cmpint(s->finished_us, >, 0);
        g_assert_cmpint(s->old_at_completion, ==, 0);
        if (k != SIM_GOOD) {
            check_bounds(s);
        }
        rollout_sim_free(s);
    }
}

/* Checks that the simulation detects a decider that ignores the exposure
 * bound. */
static void
test_ignored_budget(void)
{
    struct sim *s = new_quiet_sim(SIM_BAD_LATER, 7);
    struct rollout_options o = {.expose_share = 100,
                                .expose_slack = 100000,
                                .rollback_us = 5 * SECOND};
    for (int i = 0; i < s->opts.nodes; i++) {
        rollout_set_options(s->nodes[i].core, &o);
    }
    rollout_sim_run(s, DURATION_US + SECOND);
    g_assert_cmpfloat((double)s->exposed, >,
                      0.1 * (double)s->requests_since_order + 50);
    rollout_sim_free(s);
}

/* Guards against completion while requests of some seconds run on old
 * servers. */
static void
test_long_requests(void)
{
    for (uint64_t seed = 1; seed <= 4; seed++) {
        struct sim_options o = {.nodes = 5,
                                .servers = 6,
                                .rate = 60,
                                .kind = SIM_GOOD,
                                .duration_us = 20 * SECOND,
                                .seed = seed,
                                .long_us = 4 * SECOND};
        struct sim *s = rollout_sim_new(&o);
        rollout_sim_run(s, SECOND);
        rollout_sim_order(s, "v2", 20 * SECOND);
        rollout_sim_run(s, 21 * SECOND);
        check_outcome(s, SIM_GOOD);
        rollout_sim_free(s);
    }
}

/* Guards against completion while a node still sends requests to old servers,
 * as it learns of each step 1.5 s later than the others. */
static void
test_late_node(void)
{
    for (uint64_t seed = 1; seed <= 4; seed++) {
        struct sim_options o = {.nodes = 5,
                                .servers = 6,
                                .rate = 60,
                                .kind = SIM_GOOD,
                                .duration_us = 20 * SECOND,
                                .seed = seed};
        struct sim *s = rollout_sim_new(&o);
        s->nodes[1].watch_us = 1500 * MS;
        rollout_sim_run(s, SECOND);
        rollout_sim_order(s, "v2", 20 * SECOND);
        rollout_sim_run(s, 21 * SECOND);
        check_outcome(s, SIM_GOOD);
        rollout_sim_free(s);
    }
}

/* Guards against nodes that wait for the record although the decider has told
 * them that the version is bad: the store fails before it turns bad. */
static void
test_stop_without_store(void)
{
    for (uint64_t seed = 1; seed <= 4; seed++) {
        struct sim *s = new_sim(&sizes[1], SIM_GOOD, seed);
        rollout_sim_run(s, 1800 * MS);
        s->store_down = true;
        s->opts.kind = SIM_BAD_AT_ONCE;
        int64_t down_us = s->now_us;
        rollout_sim_run(s, 4 * SECOND);
        g_assert_cmpint(s->last_new_us, >, down_us);
        g_assert_cmpint(s->last_new_us, <, down_us + 1700 * MS);
        rollout_sim_free(s);
    }
}

static bool
refuse_write(struct sim *s, int node, int write)
{
    (void)s;
    (void)node;
    (void)write;
    return false;
}

/* Guards against nodes that go on after a withdrawal because no decider can
 * write it down. */
static void
test_withdrawn_without_writes(void)
{
    struct sim *s = new_quiet_sim(SIM_GOOD, 2);
    rollout_sim_run(s, 3 * SECOND);
    s->on_write = refuse_write;
    rollout_sim_order(s, NULL, DURATION_US);
    rollout_sim_run(s, 4 * SECOND);
    g_assert_cmpint(s->last_new_us, >, s->order_us - SECOND);
    g_assert_cmpint(s->last_new_us, <, s->order_us + SECOND);
    rollout_sim_free(s);
}

/* Guards against a record that another build or writer has damaged. */
static void
test_record_text(void)
{
    struct rollout_record r = {.order = 7,
                               .step = 3,
                               .phase = ROLLOUT_MOVE,
                               .share_ppm = 1000000,
                               .elapsed_us = 5,
                               .sent = {100, 20},
                               .failed = 1,
                               .target = "v2",
                               .decider = "node-1",
                               .reason = "good so far"};
    struct rollout_record back;
    struct buf text = {0};
    rollout_record_write(&r, &text);
    g_assert_true(rollout_record_read(buf_str(&text), &back) == ST_OK);
    g_assert_cmpmem(&r, sizeof(r), &back, sizeof(back));
    for (size_t n = 0; n < 30; n++) {
        g_assert_true(
            rollout_record_read(str_from_bytes(text.ptr, n), &back) != ST_OK);
    }
    g_assert_false(rollout_is_valid_name(STR_LIT("a b")));
    g_assert_false(rollout_is_valid_name(STR_LIT("")));
    buf_free(&text);
}

int
main(int argc, char **argv)
{
    static struct kind_case cases[G_N_ELEMENTS(sizes) * SIM_KIND_COUNT];
    int count = 0;
    g_test_init(&argc, &argv, NULL);
    log_init(getenv("ROLLOUT_LOG") ? LOG_INFO : LOG_ERROR, STR_LIT("sim"));
    for (size_t z = 0; z < G_N_ELEMENTS(sizes); z++) {
        for (int k = 0; k < SIM_KIND_COUNT; k++) {
            /* 2 of 100 failures cannot be told from 10 of 100 with the 100
             * requests that the smallest fleet may expose. */
            if (z == 0 && k == SIM_NOISY) {
                continue;
            }
            /* ROLLOUT_SEEDS runs all kinds in the largest fleet as well. */
            if (sizes[z].nodes > 200 && k > SIM_BAD_AT_ONCE &&
                !getenv("ROLLOUT_SEEDS")) {
                continue;
            }
            char *path = g_strdup_printf("/rollout/%s/%d", kind_names[k],
                                         sizes[z].nodes);
            cases[count] = (struct kind_case){&sizes[z], (enum sim_kind)k};
            g_test_add_data_func(path, &cases[count++], test_kind);
            g_free(path);
        }
    }
    g_test_add_data_func("/rollout/few/good", GINT_TO_POINTER(SIM_GOOD),
                         test_few_requests);
    g_test_add_data_func("/rollout/few/bad", GINT_TO_POINTER(SIM_BAD_AT_ONCE),
                         test_few_requests);
    g_test_add_func("/rollout/decider-killed", test_decider_killed);
    g_test_add_func("/rollout/store-down", test_store_down);
    g_test_add_func("/rollout/store-slow", test_store_slow);
    g_test_add_func("/rollout/older-copy", test_older_copy);
    g_test_add_func("/rollout/older-copy-midway", test_older_copy_midway);
    g_test_add_func("/rollout/order-replaced", test_order_replaced);
    g_test_add_func("/rollout/order-repeated", test_order_repeated);
    g_test_add_func("/rollout/order-withdrawn", test_order_withdrawn);
    g_test_add_func("/rollout/node-cut-off", test_node_cut_off);
    g_test_add_func("/rollout/two-deciders", test_two_deciders);
    g_test_add_func("/rollout/ignored-budget", test_ignored_budget);
    g_test_add_func("/rollout/long-requests", test_long_requests);
    g_test_add_func("/rollout/late-node", test_late_node);
    g_test_add_func("/rollout/stop-without-store", test_stop_without_store);
    g_test_add_func("/rollout/withdrawn-without-writes",
                    test_withdrawn_without_writes);
    g_test_add_func("/rollout/record-text", test_record_text);
    return g_test_run();
}
