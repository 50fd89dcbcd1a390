/* Measures the service while zones, nodes, the configuration and the
 * key-value service change: seconds until the last new work is sent to a
 * drained zone, attainment around that change, requests cut by a rolling
 * replacement, seconds until changes are in force, and attainment during an
 * outage of the key-value service. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/deploy.h"
#include "bench/oracle.h"

#define NODES 5
#define SECOND_US 1000000
#define LOAD_FRACTION 0.6

struct traffic {
    const struct deploy *d;
    struct world *world;
    struct rng rng;
    double rate_per_s;
    int64_t next_arrival_us;
    uint64_t actions;
    int watched_zone; /* zone whose new calls are recorded, -1: none */
    int64_t zone_accepted_us;
    int64_t zone_last_call_us;
};

static void
record_zone_call(void *ctx, const struct world_call_info *c)
{
    struct traffic *t = ctx;
    if (t->watched_zone >= 0 && t->zone_accepted_us &&
        world_endpoint(t->world, c->endpoint)->zone == t->watched_zone) {
        t->zone_last_call_us = c->now_us;
    }
}

static void
begin(struct traffic *t, const struct deploy *d, uint64_t seed)
{
    *t = (struct traffic){.d = d, .watched_zone = -1};
    rng_seed(&t->rng, seed ^ 0xf1ee);
    t->world = deploy_new_world(d, seed, FLOW_POLICY_FULL, NODES);
    t->rate_per_s = deploy_capacity_per_s(d, t->world) * LOAD_FRACTION;
    world_set_call_observer(t->world, record_zone_call, t);
    if (!world_start_nodes(t->world, 20 * SECOND_US)) {
        fprintf(stderr, "nodes did not become ready\n");
        exit(1);
    }
    t->next_arrival_us = world_now_us(t->world);
}

static void
send(struct traffic *t)
{
    struct world_request q = {0};
    double u = rng_uniform(&t->rng);
    q.pipeline = u < t->d->share[0]                    ? DEPLOY_ASK
                 : u < t->d->share[0] + t->d->share[1] ? DEPLOY_ACTION
                                                       : DEPLOY_DOSSIER;
    q.team = (int)rng_below(&t->rng, DEPLOY_TEAMS);
    q.action = q.pipeline == DEPLOY_ACTION ? ++t->actions : 0;
    q.stream = q.pipeline == DEPLOY_ASK;
    world_send_request(t->world, -1, &q, t->d->deadline_ms[q.pipeline]);
}

/* Sends open-loop traffic until this virtual time. The rate rises from 20% to
 * 100% in the 20 s before virtual time 25 s, so that cold endpoints warm up
 * first. */
static void
run_until(struct traffic *t, int64_t until_us)
{
    while (t->next_arrival_us < until_us) {
        world_run_until(t->world, t->next_arrival_us);
        send(t);
        double ramp = (double)world_now_us(t->world) / (25.0 * SECOND_US);
        double rate = t->rate_per_s * (ramp < 0.2 ? 0.2 : ramp > 1 ? 1 : ramp);
        t->next_arrival_us += 1 + (int64_t)rng_exp(&t->rng, SECOND_US / rate);
    }
    world_run_until(t->world, until_us);
}

static int
edit(struct traffic *t, int node, const char *path, const char *value,
     const char *by)
{
    static int changes;
    char change[32];
    snprintf(change, sizeof(change), "bench-%d", ++changes);
    return world_send_edit(t->world, node, path, value, "bench", by, change,
                           world_node_revision(t->world, node));
}

/* Runs until the edit is answered. @return when it was accepted, in
 * microseconds of virtual time, or 0 if it was refused */
static int64_t
wait_for_edit(struct traffic *t, int e)
{
    int64_t done = 0;
    while (world_edit_result(t->world, e, &done, NULL) == ERRKIND_COUNT) {
        run_until(t, world_now_us(t->world) + 10000);
    }
    return world_edit_result(t->world, e, &done, NULL) == ERRKIND_NONE ? done
                                                                       : 0;
}

struct attainment {
    int offered[DEPLOY_PIPELINES];
    int attained[DEPLOY_PIPELINES];
};

static void
count(struct traffic *t, int first, int end, struct attainment *s)
{
    memset(s, 0, sizeof(*s));
    for (int i = first; i < end; i++) {
        const struct world_request *r = world_request(t->world, i);
        s->offered[r->pipeline]++;
        s->attained[r->pipeline] += r->outcome == WORLD_ANSWERED &&
                                    !r->wrong &&
                                    r->done_us <= r->deadline_us + 10000;
    }
}

static double
pct(const struct attainment *s, int k)
{
    return s->offered[k] ? 100.0 * s->attained[k] / s->offered[k] : 100;
}

enum condition {
    CONDITION_NONE,
    CONDITION_STORE_SLOW,
    CONDITION_NODE_CUT,
    CONDITION_COUNT
};
static const char *const condition_names[] = {"plain", "store_slow",
                                              "node_cut"};

static int
by_value(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

/* Takes a zone out. @return seconds from the acceptance of the edit to the
 * last new call in the zone, 99 if the edit was refused */
static double
measure_zone_out(const struct deploy *d, uint64_t seed,
                 enum condition condition)
{
    struct traffic t;
    char path[64];
    begin(&t, d, seed);
    run_until(&t, 30 * SECOND_US);
    if (condition == CONDITION_STORE_SLOW) {
        world_faults(t.world)->store_delay_us = 400000;
    }
    if (condition == CONDITION_NODE_CUT) {
        for (int i = 0; i < NODES; i++) {
            world_faults(t.world)->cut[i] |= 1ULL << 4;
        }
        world_faults(t.world)->cut[4] = ~0ULL;
        world_faults(t.world)->store_cut_nodes = 1ULL << 4;
    }
    t.watched_zone = (int)(seed % 4);
    struct str zone = world_fleet(t.world)->zones[t.watched_zone].name;
    snprintf(path, sizeof(path), "zones_out/%.*s", STR_FMT(zone));
    int e = edit(&t, (int)(seed % 4), path, "{\"reason\":\"bench\"}", "op");
    t.zone_accepted_us = wait_for_edit(&t, e);
    int64_t accepted = t.zone_accepted_us;
    run_until(&t, world_now_us(t.world) + 8 * SECOND_US);
    double s =
        accepted ? (double)(t.zone_last_call_us - accepted) / SECOND_US : 99;
    world_free(t.world);
    return s > 0 ? s : 0;
}

static void
bench_zone_out(const struct deploy *d, struct buf *figures)
{
    for (int k = 0; k < CONDITION_COUNT; k++) {
        double runs[20];
        for (int i = 0; i < 20; i++) {
            runs[i] = measure_zone_out(d, (uint64_t)i + 1, k);
        }
        qsort(runs, 20, sizeof(*runs), by_value);
        printf("%-8s zone out, %-10s last new work p50 %.3f s, max %.3f s "
               "(target 3)\n",
               d->name, condition_names[k], runs[9], runs[19]);
        buf_printf(figures, "%s_zone_out_%s_max_s=%.3f ", d->name,
                   condition_names[k], runs[19]);
    }
}

/* Measures attainment in the 30 s around taking a zone out and around
 * bringing it back, each against the same run without these changes. */
static void
bench_zone_service(const struct deploy *d, struct buf *figures)
{
    struct attainment out[2];
    struct attainment in[2];
    for (int drain = 0; drain < 2; drain++) {
        struct traffic t;
        char path[64];
        begin(&t, d, 7);
        run_until(&t, 35 * SECOND_US);
        int first = world_request_count(t.world);
        run_until(&t, 50 * SECOND_US);
        struct str zone = world_fleet(t.world)->zones[1].name;
        snprintf(path, sizeof(path), "zones_out/%.*s", STR_FMT(zone));
        if (drain) {
            edit(&t, 0, path, "{\"reason\":\"bench\"}", "op");
        }
        run_until(&t, 65 * SECOND_US);
        int middle = world_request_count(t.world);
        run_until(&t, 70 * SECOND_US);
        int third = world_request_count(t.world);
        run_until(&t, 85 * SECOND_US);
        if (drain) {
            edit(&t, 2, path, "null", "op");
        }
        run_until(&t, 100 * SECOND_US);
        int end = world_request_count(t.world);
        world_run_until(t.world, 140 * SECOND_US);
        count(&t, first, middle, &out[drain]);
        count(&t, third, end, &in[drain]);
        world_free(t.world);
    }
    static const char *const classes[] = {"interactive", "action", "bulk"};
    for (int k = 0; k < DEPLOY_PIPELINES; k++) {
        printf("%-8s %-11s around zone out %6.2f%% (without %6.2f%%), around "
               "zone in %6.2f%% (without %6.2f%%)\n",
               d->name, classes[k], pct(&out[1], k), pct(&out[0], k),
               pct(&in[1], k), pct(&in[0], k));
        buf_printf(figures, "%s_%s_out=%.2f %s_%s_in=%.2f ", d->name,
                   classes[k], pct(&out[1], k), d->name, classes[k],
                   pct(&in[1], k));
    }
}

static void
bench_rolling(const struct deploy *d, struct buf *figures)
{
    struct traffic t;
    begin(&t, d, 11);
    run_until(&t, 30 * SECOND_US);
    int first = world_request_count(t.world);
    for (int n = 0; n < NODES; n++) {
        world_start_drain(t.world, n, 2 * SECOND_US);
        run_until(&t, world_now_us(t.world) + 20 * SECOND_US);
    }
    int end = world_request_count(t.world);
    world_run_until(t.world, world_now_us(t.world) + 40 * SECOND_US);
    int cut = 0;
    struct attainment s;
    for (int i = first; i < end; i++) {
        cut += world_request(t.world, i)->outcome == WORLD_LOST;
    }
    count(&t, first, end, &s);
    printf("%-8s rolling replacement of %d nodes: %d requests, %d cut "
           "(target 0), interactive %.2f%%\n",
           d->name, NODES, end - first, cut, pct(&s, 0));
    buf_printf(figures, "%s_rolling_cut=%d ", d->name, cut);
    world_free(t.world);
}

static bool
in_force(struct traffic *t, int64_t revision)
{
    for (int n = 0; n < NODES; n++) {
        if (world_node_is_up(t->world, n) &&
            world_node_revision(t->world, n) < revision) {
            return false;
        }
    }
    return true;
}

/* Sends 100 changes from two operators at the same time, while 20% of the
 * store's answers are lost. */
static void
bench_changes(const struct deploy *d, struct buf *figures)
{
    struct traffic t;
    double worst = 0;
    double sum = 0;
    int accepted = 0;
    int other = 0;
    begin(&t, d, 13);
    run_until(&t, 25 * SECOND_US);
    world_faults(t.world)->store_result_loss = 0.2;
    for (int i = 0; i < 50; i++) {
        int e[2];
        for (int k = 0; k < 2; k++) {
            char path[64];
            snprintf(path, sizeof(path), "exceptions/change-%d-%d", i, k);
            e[k] = edit(&t, (i + k * 2) % NODES, path,
                        "{\"scope\":\"pool/enc\",\"setting\":\"queue_limit\","
                        "\"value\":300,\"reason\":\"bench\"}",
                        k ? "op-b" : "op-a");
        }
        int64_t sent = world_now_us(t.world);
        for (int k = 0; k < 2; k++) {
            int64_t revision = 0;
            if (!wait_for_edit(&t, e[k])) {
                other++;
                continue;
            }
            world_edit_result(t.world, e[k], NULL, &revision);
            while (!in_force(&t, revision) &&
                   world_now_us(t.world) < sent + 20 * SECOND_US) {
                run_until(&t, world_now_us(t.world) + 10000);
            }
            double s = (double)(world_now_us(t.world) - sent) / SECOND_US;
            worst = s > worst ? s : worst;
            sum += s;
            accepted++;
        }
    }
    struct str text = world_store_value(t.world, "cf/config");
    json_t *doc = json_loadb(text.ptr, text.len, 0, NULL);
    int stored = 0;
    const char *key;
    json_t *v;
    json_object_foreach(json_object_get(doc, "exceptions"), key, v)
    {
        stored += strncmp(key, "change-", 7) == 0;
    }
    json_decref(doc);
    printf("%-8s 100 changes, two operators, 20%% answers lost: accepted %d, "
           "stored %d, others %d, in force mean %.3f s, max %.3f s "
           "(target 2)\n",
           d->name, accepted, stored, other, accepted ? sum / accepted : 0,
           worst);
    buf_printf(figures, "%s_changes_accepted=%d %s_changes_max_s=%.3f ",
               d->name, accepted, d->name, worst);
    world_free(t.world);
}

/* Compares attainment during a 60 s store outage with the same run without
 * the outage. */
static void
bench_outage(const struct deploy *d, struct buf *figures)
{
    struct attainment s[2];
    int64_t calls[2];
    int64_t after[2];
    int false_refusals = 0;
    for (int down = 0; down < 2; down++) {
        struct traffic t;
        begin(&t, d, 17);
        run_until(&t, 30 * SECOND_US);
        int first = world_request_count(t.world);
        world_faults(t.world)->store_down = down;
        int64_t before = world_totals(t.world).store_calls;
        run_until(&t, 90 * SECOND_US);
        calls[down] = world_totals(t.world).store_calls - before;
        world_faults(t.world)->store_down = false;
        int end = world_request_count(t.world);
        before = world_totals(t.world).store_calls;
        run_until(&t, 95 * SECOND_US);
        after[down] = world_totals(t.world).store_calls - before;
        world_run_until(t.world, 140 * SECOND_US);
        count(&t, first, end, &s[down]);
        for (int i = first; i < end; i++) {
            false_refusals += world_request(t.world, i)->ran_despite_not_run;
        }
        world_free(t.world);
    }
    printf("%-8s 60 s store outage: interactive %.2f%% (without %.2f%%), bulk "
           "%.2f%% (%.2f%%), action %.2f%% (%.2f%%), untrue refusals %d, "
           "store calls/s %.1f (%.1f), first 5 s after %.1f\n",
           d->name, pct(&s[1], 0), pct(&s[0], 0), pct(&s[1], 2), pct(&s[0], 2),
           pct(&s[1], 1), pct(&s[0], 1), false_refusals, (double)calls[1] / 60,
           (double)calls[0] / 60, (double)after[1] / 5);
    buf_printf(figures, "%s_outage_interactive=%.2f %s_no_outage=%.2f ",
               d->name, pct(&s[1], 0), d->name, pct(&s[0], 0));
}

int
main(int argc, char **argv)
{
    if (argc > 2) {
        fprintf(stderr, "usage: bench_fleet [board|utility]\n"
                        "exit codes: 0 done, 2 usage\n");
        return 2;
    }
    struct buf figures = {0};
    for (int k = 0; k < DEPLOY_COUNT; k++) {
        struct deploy d;
        deploy_init(&d, k);
        if (argc < 2 || strcmp(argv[1], d.name) == 0) {
            bench_zone_out(&d, &figures);
            bench_zone_service(&d, &figures);
            bench_rolling(&d, &figures);
            bench_changes(&d, &figures);
            bench_outage(&d, &figures);
        }
        deploy_free(&d);
    }
    printf("%s\n", figures.ptr ? figures.ptr : "");
    buf_free(&figures);
    return 0;
}
