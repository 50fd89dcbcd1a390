/* Guards against accepted changes that are lost or reverted, nodes that send
 * work by an older configuration, edits with a false answer, and fleets that
 * do not come together after faults. */
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
    bool unsure;      /* some answer left open whether it is stored */
    int64_t revision; /* accepted */
    int64_t answered_us;
    int64_t deadline_us;
};

struct run {
    struct fleet_sim *f;
    struct rng rng;
    uint64_t seed;
    int count;
    struct edit_record edits[EDITS_MAX];
    int64_t seen[VNET_NODES_MAX]; /* newest configuration of the process */
};

/* An edit may be asked several times; each is answered. */
static void
on_admin(void *arg, int node, const struct admin_reply *r)
{
    struct run *run = arg;
    struct edit_record *e = &run->edits[r->id % EDITS_MAX];
    CLEAN_FREE char *body = g_strndup(r->body.ptr, r->body.len);
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
    e->unsure |= r->error == ERRKIND_CHANGE_UNCONFIRMED;
    json_decref(j);
}

/* What must hold after every step. */
static void
on_step(void *arg, int node)
{
    struct run *run = arg;
    const struct fleet_node *n = &run->f->nodes[node];
    int64_t fresh = contact_fresh_time(run->f->net.count);
    if (n->config < run->seen[node]) {
        g_error("seed %" G_GUINT64_FORMAT ": node %d went back", run->seed,
                node);
    }
    run->seen[node] = n->config;
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
any_up(struct run *run)
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
    fleet_sim_admin(run->f, node, (uint64_t)i, ADMIN_EDIT, e->body,
                    e->deadline_us);
}

static void
new_edit(struct run *run)
{
    int node = any_up(run);
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

/* Splits the nodes in two, at random or by region; the second part may lose
 * the store as well. */
static void
cut(struct run *run, int regions, bool store_too)
{
    struct vnet *s = &run->f->net;
    for (int i = 0; i < s->count; i++) {
        bool random = regions != run->f->regions || regions == 1;
        s->group[i] = random ? (int)rng_below(&run->rng, 2) : i % regions;
        s->no_store[i] = store_too && s->group[i] == 1;
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
        memset(s->group, 0, sizeof(s->group));
        if (rng_below(&run->rng, 2)) {
            memset(s->no_store, 0, sizeof(s->no_store));
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
        s->large_loss = rng_below(&run->rng, 2) ? 0.9 : 0;
        s->jitter_us = rng_below(&run->rng, 2) ? 300000 : 500;
        break;
    case 6:
        s->no_store[node] = !s->no_store[node];
        break;
    case 7:
        fleet_sim_kill(run->f, node);
        break;
    case 8:
        run->seen[node] = 0;
        fleet_sim_start(run->f, node);
        break;
    case 9:
        s->paused_until_us[node] =
            s->now_us + (int64_t)rng_below(&run->rng, 6 * SECOND);
        break;
    default:
        /* An operator who got no clear answer asks again elsewhere. */
        if (run->count) {
            int i = (int)rng_below(&run->rng, (uint64_t)run->count);
            node = any_up(run);
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
    memset(s->group, 0, sizeof(s->group));
    memset(s->no_store, 0, sizeof(s->no_store));
    s->loss = 0;
    s->large_loss = 0;
    s->jitter_us = 500;
    s->store_down = false;
    s->store_loss = 0;
    for (int i = 0; i < s->count; i++) {
        if (s->paused_until_us[i] > s->now_us) {
            s->paused_until_us[i] = s->now_us;
        }
        if (!s->up[i]) {
            run->seen[i] = 0;
            fleet_sim_start(run->f, i);
        }
    }
}

/* The record in the store decides: changes answered as done are in it, those
 * answered as refused are not, and each path has the value of the last change
 * of it. No run makes more changes than the record keeps. */
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
        bool stored = edit_contains(doc, str_from(e->change));
        bool refused = e->answered && !e->revision && !e->unsure;
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
    /* Long runs reach the removal of dead members. */
    bool lasting = seed % 16 == 0;
    int64_t t = 6 * SECOND;
    int64_t end = t + (lasting ? 120 : 25) * SECOND;
    run.f = fleet_sim_new(count, regions, seed);
    run.f->arg = &run;
    run.f->on_admin = on_admin;
    run.f->on_step = on_step;
    fleet_sim_run(run.f, t);
    while (t < end) {
        t += (int64_t)rng_below(&run.rng, (lasting ? 4 : 1) * SECOND);
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
    if (fleet_sim_converged(run.f) != count) {
        g_error("seed %" G_GUINT64_FORMAT ": %d of %d nodes converged", seed,
                fleet_sim_converged(run.f), count);
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
    const char *one = g_getenv("CF_SEED");
    if (one) {
        random_run(g_ascii_strtoull(one, NULL, 10));
        return;
    }
    for (uint64_t seed = 1; seed <= 200; seed++) {
        random_run(seed);
    }
    g_test_message("accepted %d, unconfirmed %d, conflict %d, refused %d",
                   accepted, unconfirmed, conflicts, refused);
    /* Each kind of answer must have been exercised. */
    g_assert_cmpint(accepted, >, 200);
    g_assert_cmpint(unconfirmed, >, 20);
    g_assert_cmpint(conflicts, >, 20);
    g_assert_cmpint(refused, >, 20);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/control/random", test_random);
    return g_test_run();
}
