/* Guards against accepted changes that are lost or reverted, nodes that send
 * work by an outdated configuration, edits with a wrong answer, and fleets
 * that do not converge after faults. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/clean.h"
#include "control/contact.h"
#include "model/edit.h"
#include "tests/fleet_sim.h"

#define SECOND INT64_C(1000000)
#define EDITS_MAX 60
#define PATHS 6

struct edit_record {
    char change[16];
    char body[256];
    int path;
    int value;
    bool answered;
    enum errkind error;
    bool outcome_unknown; /* an answer was CHANGE_UNCONFIRMED */
    int64_t revision;     /* in which it was accepted; 0: not accepted */
    int64_t answered_us;
    int64_t deadline_us;
};

struct run {
    struct fleet_sim *f;
    struct rng rng;
    uint64_t seed;
    int count;
    struct edit_record edits[EDITS_MAX];
    int64_t newest_config[VNET_NODES_MAX]; /* newest configuration of each
                                              process */
};

/* Handles an answer. An edit may be requested several times, and each request
 * is answered. */
static void
on_admin(void *arg, int node, const struct admin_reply *r)
{
    struct run *run = arg;
    struct edit_record *e = &run->edits[r->id % EDITS_MAX];
    CLEANUP_FREE char *body = g_strndup(r->body.ptr, r->body.len);
    json_t *j = json_loads(body, 0, NULL);
    int64_t resumed = run->f->net.paused_until_us[node];
    int64_t due = e->deadline_us > resumed ? e->deadline_us : resumed;
    g_assert_nonnull(j);
    g_assert_cmpint(run->f->net.now_us, <=, due + SECOND / 100);
    if (r->error == ERRKIND_NONE && !e->revision) {
        e->revision = json_integer_value(json_object_get(j, "revision"));
        e->answered_us = run->f->net.now_us;
        g_assert_cmpint(e->revision, >, 0);
    }
    e->answered = true;
    e->error = r->error;
    e->outcome_unknown |= r->error == ERRKIND_CHANGE_UNCONFIRMED;
    json_decref(j);
}

/* Checks the invariants after every step of a node. */
static void
on_step(void *arg, int node)
{
    struct run *run = arg;
    const struct fleet_node *n = &run->f->nodes[node];
    int64_t fresh = contact_freshness_us(run->f->net.count);
    if (n->config < run->newest_config[node]) {
        g_error("seed %" G_GUINT64_FORMAT
                ": node %d uses an older configuration",
                run->seed, node);
    }
    run->newest_config[node] = n->config;
    for (int i = 0; i < run->count; i++) {
        const struct edit_record *e = &run->edits[i];
        if (e->revision > n->config &&
            n->fresh_until_us > e->answered_us + fresh) {
            g_error("seed %" G_GUINT64_FORMAT ": node %d is fresh until "
                    "%" G_GINT64_FORMAT " without %s (%" G_GINT64_FORMAT
                    ", accepted at %" G_GINT64_FORMAT ")",
                    run->seed, node, n->fresh_until_us, e->change, e->revision,
                    e->answered_us);
        }
    }
}

static int
pick_running_node(struct run *run)
{
    int n = run->f->net.count;
    int at = (int)rng_below(&run->rng, (uint64_t)n);
    for (int i = 0; i < n; i++) {
        int k = (at + i) % n;
        if (run->f->net.up[k] &&
            run->f->net.paused_until_us[k] <= run->f->net.now_us) {
            return k;
        }
    }
    return -1;
}

static void
ask(struct run *run, int node, int i)
{
    struct edit_record *e = &run->edits[i];
    e->deadline_us = run->f->net.now_us + SECOND +
                     (int64_t)rng_below(&run->rng, 8 * SECOND);
    e->answered = false;
    fleet_sim_send_admin_request(run->f, node, (uint64_t)i, ADMIN_EDIT,
                                 e->body, e->deadline_us);
}

static void
new_edit(struct run *run)
{
    int node = pick_running_node(run);
    if (node < 0 || run->count == EDITS_MAX) {
        return;
    }
    int i = run->count++;
    struct edit_record *e = &run->edits[i];
    e->path = (int)rng_below(&run->rng, PATHS);
    e->value = 1000 + i;
    snprintf(e->change, sizeof(e->change), "c%d", i);
    snprintf(e->body, sizeof(e->body),
             "{\"change\":\"c%d\",\"by\":\"op%d\",\"base\":%" G_GINT64_FORMAT
             ",\"set\":[{\"path\":\"pools/p%d\",\"value\":{\"kind\":"
             "\"encode\",\"model\":\"%d\"}}]}",
             i, i % 3, run->f->nodes[node].config, e->path, e->value);
    ask(run, node, i);
}

/* Partitions the nodes into two groups, at random or by region. The second
 * group may also lose contact with the store. */
static void
cut(struct run *run, int regions, bool lose_store)
{
    struct vnet *s = &run->f->net;
    for (int i = 0; i < s->count; i++) {
        bool random = regions != run->f->regions || regions == 1;
        s->partition_id[i] =
            random ? (int)rng_below(&run->rng, 2) : i % regions;
        s->store_unreachable[i] = lose_store && s->partition_id[i] == 1;
    }
}

static void
disturb(struct run *run)
{
    struct vnet *s = &run->f->net;
    int node = (int)rng_below(&run->rng, (uint64_t)s->count);
    switch (rng_below(&run->rng, 12)) {
    case 0:
        cut(run, 2, rng_below(&run->rng, 2));
        break;
    case 1:
        cut(run, run->f->regions, rng_below(&run->rng, 2));
        break;
    case 2:
        memset(s->partition_id, 0, sizeof(s->partition_id));
        if (rng_below(&run->rng, 2)) {
            memset(s->store_unreachable, 0, sizeof(s->store_unreachable));
        }
        break;
    case 3:
        s->store_down = !s->store_down;
        break;
    case 4:
        s->store_loss = rng_below(&run->rng, 2) ? 0.3 : 0;
        break;
    case 5:
        s->loss = rng_below(&run->rng, 2) ? 0.2 : 0;
        s->large_message_loss = rng_below(&run->rng, 2) ? 0.9 : 0;
        s->jitter_us = rng_below(&run->rng, 2) ? 300000 : 500;
        break;
    case 6:
        s->store_unreachable[node] = !s->store_unreachable[node];
        break;
    case 7:
        fleet_sim_kill(run->f, node);
        break;
    case 8:
        run->newest_config[node] = 0;
        fleet_sim_start(run->f, node);
        break;
    case 9:
        s->paused_until_us[node] =
            s->now_us + (int64_t)rng_below(&run->rng, 6 * SECOND);
        break;
    default:
        /* An operator whose change is unconfirmed repeats the request at
         * another node. */
        if (run->count) {
            int i = (int)rng_below(&run->rng, (uint64_t)run->count);
            node = pick_running_node(run);
            if (node >= 0 && run->edits[i].answered &&
                run->edits[i].error == ERRKIND_CHANGE_UNCONFIRMED) {
                ask(run, node, i);
            }
        }
        break;
    }
}

static void
heal(struct run *run)
{
    struct vnet *s = &run->f->net;
    memset(s->partition_id, 0, sizeof(s->partition_id));
    memset(s->store_unreachable, 0, sizeof(s->store_unreachable));
    s->loss = 0;
    s->large_message_loss = 0;
    s->jitter_us = 500;
    s->store_down = false;
    s->store_loss = 0;
    for (int i = 0; i < s->count; i++) {
        if (s->paused_until_us[i] > s->now_us) {
            s->paused_until_us[i] = s->now_us;
        }
        if (!s->up[i]) {
            run->newest_config[i] = 0;
            fleet_sim_start(run->f, i);
        }
    }
}

/* Checks the stored configuration: it contains each change that was answered
 * as done and no change that was answered as refused, and each path has the
 * value of its last change. No run makes more changes than the document's list
 * of changes can hold. */
static void
check_end(struct run *run)
{
    struct str doc = vnet_key(&run->f->net, STR_LIT("cf/config"))->value;
    json_t *j = json_loadb(doc.ptr, doc.len, 0, NULL);
    int value[PATHS] = {0};
    size_t at;
    json_t *c;
    for (int i = 0; i < run->count; i++) {
        const struct edit_record *e = &run->edits[i];
        bool stored = edit_document_has_change(doc, str_from_cstr(e->change));
        bool refused = e->answered && !e->revision && !e->outcome_unknown;
        if ((e->revision && !stored) || (refused && stored)) {
            g_error("seed %" G_GUINT64_FORMAT ": %s: answer %s, stored %d",
                    run->seed, e->change, errkind_info(e->error)->name,
                    stored);
        }
    }
    json_array_foreach(json_object_get(j, "changes"), at, c)
    {
        const char *id = json_string_value(json_object_get(c, "change"));
        const struct edit_record *e = &run->edits[atoi(id + 1)];
        value[e->path] = e->value;
    }
    for (int p = 0; p < PATHS; p++) {
        char want[64];
        snprintf(want, sizeof(want),
                 "\"p%d\":{\"kind\":\"encode\",\"model\":\"%d\"}", p,
                 value[p]);
        if (value[p] && !strstr(doc.ptr, want)) {
            g_error("seed %" G_GUINT64_FORMAT ": path p%d lost value %d",
                    run->seed, p, value[p]);
        }
    }
    json_decref(j);
}

static int accepted, unconfirmed, conflicts, refused;

static void
random_run(uint64_t seed)
{
    struct run run = {.seed = seed};
    rng_seed(&run.rng, seed);
    int regions = 1 + (int)rng_below(&run.rng, 2);
    int count = 3 + (int)rng_below(&run.rng, 4);
    /* Only long runs last until dead members are removed. */
    bool long_run = seed % 16 == 0;
    int64_t t = 6 * SECOND;
    int64_t end = t + (long_run ? 120 : 25) * SECOND;
    run.f = fleet_sim_new(count, regions, seed);
    run.f->arg = &run;
    run.f->on_admin = on_admin;
    run.f->on_step = on_step;
    fleet_sim_run(run.f, t);
    while (t < end) {
        t += (int64_t)rng_below(&run.rng, (long_run ? 4 : 1) * SECOND);
        fleet_sim_run(run.f, t);
        if (rng_below(&run.rng, 3) == 0) {
            disturb(&run);
        }
        else {
            new_edit(&run);
        }
    }
    heal(&run);
    fleet_sim_run(run.f, t + 15 * SECOND);
    if (fleet_sim_count_converged(run.f) != count) {
        g_error("seed %" G_GUINT64_FORMAT ": %d of %d nodes converged", seed,
                fleet_sim_count_converged(run.f), count);
    }
    check_end(&run);
    for (int i = 0; i < run.count; i++) {
        accepted += run.edits[i].revision > 0;
        unconfirmed += run.edits[i].error == ERRKIND_CHANGE_UNCONFIRMED;
        conflicts += run.edits[i].error == ERRKIND_CONFLICT;
        refused += run.edits[i].error == ERRKIND_NOT_ACCEPTED;
    }
    fleet_sim_free(run.f);
}

static void
test_random(void)
{
    const char *single_seed = g_getenv("CF_SEED");
    if (single_seed) {
        random_run(g_ascii_strtoull(single_seed, NULL, 10));
        return;
    }
    for (uint64_t seed = 1; seed <= 200; seed++) {
        random_run(seed);
    }
    g_test_message("accepted %d, unconfirmed %d, conflict %d, refused %d",
                   accepted, unconfirmed, conflicts, refused);
    /* Each kind of answer must have occurred. */
    g_assert_cmpint(accepted, >, 200);
    g_assert_cmpint(unconfirmed, >, 20);
    g_assert_cmpint(conflicts, >, 20);
    g_assert_cmpint(refused, >, 20);
}

static char last_answer[8192];
static enum errkind last_error;

static void
record_answer(void *arg, int node, const struct admin_reply *r)
{
    (void)arg;
    (void)node;
    last_error = r->error;
    g_strlcpy(last_answer, r->body.ptr, sizeof(last_answer));
}

/* Counts the members of the stored roster, or those with a vote. */
static int
count_in_roster(struct fleet_sim *f, const char *pattern)
{
    struct str doc = vnet_key(&f->net, STR_LIT("cf/roster"))->value;
    int n = 0;
    for (const char *p = doc.ptr; (p = strstr(p, pattern)); p++) {
        n++;
    }
    return n;
}

/* Nodes join, leave, die and return. Also checks the answers to operators. */
static void
test_node_lifecycle(void)
{
    struct fleet_sim *f = fleet_sim_new(5, 1, 3);
    f->on_admin = record_answer;
    fleet_sim_run(f, 10 * SECOND);
    g_assert_cmpint(fleet_sim_count_converged(f), ==, 5);
    g_assert_cmpint(count_in_roster(f, "\"id\""), ==, 5);
    g_assert_cmpint(count_in_roster(f, "\"vote\":true"), ==, 5);

    fleet_sim_send_admin_request(f, 1, 1, ADMIN_SHOW, "", 11 * SECOND);
    g_assert_null(strstr(last_answer, "token_hash"));
    g_assert_nonnull(strstr(last_answer, "\"clerks\""));
    fleet_sim_send_admin_request(f, 1, 2, ADMIN_STATUS, "", 11 * SECOND);
    g_assert_nonnull(strstr(last_answer, "\"ready\":true"));
    g_assert_nonnull(strstr(last_answer, "\"endpoints\":2,\"usable\":2"));
    g_assert_cmpint(f->nodes[3].usable, ==, 2);
    fleet_sim_send_admin_request(
        f, 1, 3, ADMIN_EDIT,
        "{\"change\":\"out\",\"by\":\"ann\",\"base\":1,"
        "\"set\":[{\"path\":\"zones_out/z0\",\"value\":true,"
        "\"reason\":\"flood\"}]}",
        20 * SECOND);
    fleet_sim_run(f, 11 * SECOND);
    g_assert_cmpint(last_error, ==, ERRKIND_NONE);
    for (int i = 0; i < 5; i++) {
        g_assert_cmpint(f->nodes[i].usable, ==, 1);
    }

    /* Requests of flow cores reach the owners on other nodes. */
    for (int i = 0; i < 4; i++) {
        struct control_event claim = {.kind = CONTROL_EV_REQUEST};
        claim.ask.ask.kind = CONTROL_REQUEST_CLAIM;
        claim.ask.ask.claim = (struct claim_request){
            .verb = CLAIM_VERB_OPEN,
            .key = {(uint64_t)i, 7},
            .attempt = {f->net.ids[i], f->nodes[i].incarnation, 1},
            .valid_us = 5 * SECOND};
        vnet_dispatch_event(&f->net, i, &claim);
        struct control_event credit = {.kind = CONTROL_EV_REQUEST};
        credit.ask.ask.kind = CONTROL_REQUEST_CREDIT;
        credit.ask.ask.credit =
            (struct credit_request){.credit = (uint64_t)i + 1,
                                    .endpoint = STR_LIT("e1"),
                                    .lifetime_us = SECOND / 10};
        vnet_dispatch_event(&f->net, i, &credit);
        fleet_sim_run(f, f->net.now_us + SECOND);
        g_assert_cmpint(f->nodes[i].claims_opened, ==, 1);
        g_assert_cmpint(f->nodes[i].granted, ==, 1);
        credit.ask.ask.kind = CONTROL_REQUEST_CREDIT_RELEASE;
        credit.ask.ask.credit_release = (struct credit_release){
            .credit = (uint64_t)i + 1, .endpoint = STR_LIT("e1")};
        vnet_dispatch_event(&f->net, i, &credit);
    }

    struct control_event ev = {.kind = CONTROL_EV_REQUEST};
    ev.ask.ask.kind = CONTROL_REQUEST_SUSPECT;
    ev.ask.ask.suspect = (struct suspect_notice){{1, 2}, 1, 300 * SECOND};
    vnet_dispatch_event(&f->net, 2, &ev);
    fleet_sim_run(f, 18 * SECOND);
    for (int i = 0; i < 5; i++) {
        g_assert_cmpint(f->nodes[i].suspect_notices, ==, 1);
    }

    fleet_sim_request_leave(f, 4);
    fleet_sim_run(f, 21 * SECOND);
    g_assert_true(f->nodes[4].left);
    g_assert_false(fleet_sim_is_ready(f, 4));
    g_assert_cmpint(count_in_roster(f, "\"id\""), ==, 4);
    fleet_sim_kill(f, 4);

    fleet_sim_kill(f, 3);
    fleet_sim_run(f, 50 * SECOND);
    g_assert_cmpint(count_in_roster(f, "\"id\""), ==, 4);
    fleet_sim_run(f, 60 * SECOND);
    g_assert_cmpint(count_in_roster(f, "\"id\""), ==, 3);
    fleet_sim_start(f, 3);
    fleet_sim_start(f, 4);
    fleet_sim_run(f, 67 * SECOND);
    g_assert_cmpint(fleet_sim_count_converged(f), ==, 5);
    g_assert_cmpint(count_in_roster(f, "\"vote\":true"), ==, 5);
    fleet_sim_free(f);
}

/* A partitioned region continues to work with its own majority. Its nodes stay
 * in the roster, so that no change counts as confirmed without them. */
static void
test_region_cut(void)
{
    struct fleet_sim *f = fleet_sim_new(6, 2, 4);
    f->on_admin = record_answer;
    fleet_sim_run(f, 10 * SECOND);
    for (int i = 1; i < 6; i += 2) {
        f->net.partition_id[i] = 1;
        f->net.store_unreachable[i] = true;
    }
    fleet_sim_run(f, 80 * SECOND);
    g_assert_cmpint(count_in_roster(f, "\"vote\":true"), ==, 6);
    fleet_sim_send_admin_request(
        f, 0, 1, ADMIN_EDIT,
        "{\"change\":\"c\",\"by\":\"ann\",\"base\":1,"
        "\"set\":[{\"path\":\"defaults/queue_limit\",\"value\":"
        "9}]}",
        85 * SECOND);
    fleet_sim_run(f, 86 * SECOND);
    g_assert_cmpint(last_error, ==, ERRKIND_CHANGE_UNCONFIRMED);
    g_assert_nonnull(strstr(last_answer, "\"regions\":[\"r1\"]"));
    for (int i = 0; i < 6; i++) {
        g_assert_true(fleet_sim_is_ready(f, i));
    }
    memset(f->net.partition_id, 0, sizeof(f->net.partition_id));
    memset(f->net.store_unreachable, 0, sizeof(f->net.store_unreachable));
    fleet_sim_run(f, 91 * SECOND);
    g_assert_cmpint(fleet_sim_count_converged(f), ==, 6);
    fleet_sim_free(f);
}

/* Nodes that join while all voters are partitioned get no vote: the voters
 * still work with their own majority, and no change may be confirmed without
 * them. */
static void
test_join_without_vote(void)
{
    struct fleet_sim *f = fleet_sim_new(6, 1, 6);
    f->on_admin = record_answer;
    for (int i = 3; i < 6; i++) {
        fleet_sim_kill(f, i);
    }
    fleet_sim_run(f, 10 * SECOND);
    for (int i = 0; i < 3; i++) {
        f->net.partition_id[i] = 1;
        f->net.store_unreachable[i] = true;
        fleet_sim_start(f, 3 + i);
    }
    fleet_sim_run(f, 50 * SECOND);
    g_assert_cmpint(count_in_roster(f, "\"id\""), ==, 6);
    g_assert_cmpint(count_in_roster(f, "\"vote\":true"), ==, 3);
    fleet_sim_send_admin_request(
        f, 4, 1, ADMIN_EDIT,
        "{\"change\":\"c\",\"by\":\"ann\",\"base\":1,"
        "\"set\":[{\"path\":\"defaults/queue_limit\",\"value\":"
        "9}]}",
        55 * SECOND);
    fleet_sim_run(f, 56 * SECOND);
    g_assert_cmpint(last_error, ==, ERRKIND_CHANGE_UNCONFIRMED);
    for (int i = 0; i < 6; i++) {
        g_assert_true(fleet_sim_is_ready(f, i));
    }
    memset(f->net.partition_id, 0, sizeof(f->net.partition_id));
    memset(f->net.store_unreachable, 0, sizeof(f->net.store_unreachable));
    fleet_sim_run(f, 66 * SECOND);
    g_assert_cmpint(fleet_sim_count_converged(f), ==, 6);
    g_assert_cmpint(count_in_roster(f, "\"vote\":true"), ==, 6);
    fleet_sim_free(f);
}

/* A node that starts during a store outage gets the documents from its peers.
 * If all nodes start during an outage, no node knows which changes were
 * accepted, so none is ready before the store is available again. */
static void
test_start_in_outage(void)
{
    struct fleet_sim *f = fleet_sim_new(5, 1, 5);
    fleet_sim_run(f, 10 * SECOND);
    f->net.store_down = true;
    fleet_sim_kill(f, 2);
    fleet_sim_run(f, 12 * SECOND);
    fleet_sim_start(f, 2);
    fleet_sim_run(f, 40 * SECOND);
    for (int i = 0; i < 5; i++) {
        g_assert_cmpint(f->nodes[i].fresh_until_us, >, f->net.now_us);
        g_assert_cmpint(f->nodes[i].config, ==, f->nodes[0].config);
    }
    for (int i = 0; i < 5; i++) {
        fleet_sim_start(f, i);
    }
    fleet_sim_run(f, 60 * SECOND);
    for (int i = 0; i < 5; i++) {
        g_assert_false(fleet_sim_is_ready(f, i));
    }
    f->net.store_down = false;
    fleet_sim_run(f, 75 * SECOND);
    g_assert_cmpint(fleet_sim_count_converged(f), ==, 5);
    fleet_sim_free(f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/control/life", test_node_lifecycle);
    g_test_add_func("/control/region_cut", test_region_cut);
    g_test_add_func("/control/join_without_vote", test_join_without_vote);
    g_test_add_func("/control/start_in_outage", test_start_in_outage);
    g_test_add_func("/control/random", test_random);
    return g_test_run();
}
