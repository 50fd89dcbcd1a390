/* Service while zones, nodes, the configuration and the key-value service
 * change: seconds until the last new work to a drained zone, attainment
 * around it, requests cut by a rolling replacement, seconds until changes
 * are in force, and service during an outage of the key-value service. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/deploy.h"
#include "bench/oracle.h"

#define NODES 5
#define SECOND 1000000
#define LOAD 0.6

struct traffic {
    const struct deploy *d;
    struct world *w;
    struct rng rng;
    double rate;
    int64_t next;
    uint64_t actions;
    int zone; /* watched for new work, -1: none */
    int64_t zone_accepted_us;
    int64_t zone_last_us;
};

static void
watch_call(void *ctx, const struct world_call_info *c)
{
    struct traffic *t = ctx;
    if (t->zone >= 0 && t->zone_accepted_us &&
        world_endpoint(t->w, c->endpoint)->zone == t->zone) {
        t->zone_last_us = c->now_us;
    }
}

static void
begin(struct traffic *t, const struct deploy *d, uint64_t seed)
{
    *t = (struct traffic){.d = d, .zone = -1};
    rng_seed(&t->rng, seed ^ 0xf1ee);
    t->w = deploy_world(d, seed, FLOW_POLICY_FULL, NODES);
    t->rate = deploy_capacity(d, t->w) * LOAD;
    world_on_call(t->w, watch_call, t);
    if (!world_start(t->w, 20 * SECOND)) {
        fprintf(stderr, "nodes did not become ready\n");
        exit(1);
    }
    t->next = world_now(t->w);
}

static void
send(struct traffic *t)
{
    struct world_request q = {0};
    double u = rng_unit(&t->rng);
    q.pipeline = u < t->d->share[0]                    ? DEPLOY_ASK
                 : u < t->d->share[0] + t->d->share[1] ? DEPLOY_ACTION
                                                       : DEPLOY_DOSSIER;
    q.team = (int)rng_below(&t->rng, DEPLOY_TEAMS);
    q.action = q.pipeline == DEPLOY_ACTION ? ++t->actions : 0;
    q.stream = q.pipeline == DEPLOY_ASK;
    world_send(t->w, -1, &q, t->d->deadline_ms[q.pipeline]);
}

/* Open-loop arrivals until the virtual time; the rate rises in the first
 * 20 s, so that cold endpoints warm first. */
static void
drive(struct traffic *t, int64_t until)
{
    while (t->next < until) {
        world_run(t->w, t->next);
        send(t);
        double up = (double)world_now(t->w) / (25.0 * SECOND);
        double rate = t->rate * (up < 0.2 ? 0.2 : up > 1 ? 1 : up);
        t->next += 1 + (int64_t)rng_exp(&t->rng, SECOND / rate);
    }
    world_run(t->w, until);
}

static int
edit(struct traffic *t, int node, const char *path, const char *value,
     const char *by)
{
    static int changes;
    char change[32];
    snprintf(change, sizeof(change), "bench-%d", ++changes);
    return world_edit(t->w, node, path, value, "bench", by, change,
                      world_node_revision(t->w, node));
}

/* Runs until the edit has its answer. @return its time, 0 if refused */
static int64_t
await(struct traffic *t, int e)
{
    int64_t done = 0;
    while (world_edit_result(t->w, e, &done, NULL) == ERRKIND_COUNT) {
        drive(t, world_now(t->w) + 10000);
    }
    return world_edit_result(t->w, e, &done, NULL) == ERRKIND_NONE ? done : 0;
}

struct share {
    int offered[DEPLOY_PIPELINES];
    int attained[DEPLOY_PIPELINES];
};

static void
count(struct traffic *t, int first, int last, struct share *s)
{
    memset(s, 0, sizeof(*s));
    for (int i = first; i < last; i++) {
        const struct world_request *r = world_request(t->w, i);
        s->offered[r->pipeline]++;
        s->attained[r->pipeline] += r->outcome == WORLD_ANSWERED &&
                                    !r->wrong &&
                                    r->done_us <= r->deadline_us + 10000;
    }
}

static double
pct(const struct share *s, int k)
{
    return s->offered[k] ? 100.0 * s->attained[k] / s->offered[k] : 100;
}

enum trouble { TROUBLE_NONE, TROUBLE_STORE_SLOW, TROUBLE_CUT, TROUBLE_COUNT };
static const char *const troubles[] = {"plain", "store_slow", "node_cut"};

static int
by_value(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

/* Seconds from the command's return to the last new work in the zone. */
static double
zone_out_once(const struct deploy *d, uint64_t seed, enum trouble trouble)
{
    struct traffic t;
    char path[64];
    begin(&t, d, seed);
    drive(&t, 30 * SECOND);
    if (trouble == TROUBLE_STORE_SLOW) {
        world_knobs(t.w)->store_delay_us = 400000;
    }
    if (trouble == TROUBLE_CUT) {
        for (int i = 0; i < NODES; i++) {
            world_knobs(t.w)->cut[i] |= 1ULL << 4;
        }
        world_knobs(t.w)->cut[4] = ~0ULL;
        world_knobs(t.w)->store_cut = 1ULL << 4;
    }
    t.zone = (int)(seed % 4);
    struct str zone = world_fleet(t.w)->zones[t.zone].name;
    snprintf(path, sizeof(path), "zones_out/%.*s", STR_FMT(zone));
    int e = edit(&t, (int)(seed % 4), path, "{\"reason\":\"bench\"}", "op");
    t.zone_accepted_us = await(&t, e);
    int64_t accepted = t.zone_accepted_us;
    drive(&t, world_now(t.w) + 8 * SECOND);
    double s = accepted ? (double)(t.zone_last_us - accepted) / SECOND : 99;
    world_free(t.w);
    return s > 0 ? s : 0;
}

static void
bench_zone_out(const struct deploy *d, struct buf *last)
{
    for (int k = 0; k < TROUBLE_COUNT; k++) {
        double runs[20];
        for (int i = 0; i < 20; i++) {
            runs[i] = zone_out_once(d, (uint64_t)i + 1, k);
        }
        qsort(runs, 20, sizeof(*runs), by_value);
        printf("%-8s zone out, %-10s last new work p50 %.3f s, max %.3f s "
               "(target 3)\n",
               d->name, troubles[k], runs[9], runs[19]);
        buf_printf(last, "%s_zone_out_%s_max_s=%.3f ", d->name, troubles[k],
                   runs[19]);
    }
}

/* Attainment in the 30 s around a zone's leaving and its return. */
static void
bench_zone_service(const struct deploy *d, struct buf *last)
{
    struct share out[2];
    struct share in[2];
    for (int drain = 0; drain < 2; drain++) {
        struct traffic t;
        char path[64];
        begin(&t, d, 7);
        drive(&t, 35 * SECOND);
        int first = world_request_count(t.w);
        drive(&t, 50 * SECOND);
        struct str zone = world_fleet(t.w)->zones[1].name;
        snprintf(path, sizeof(path), "zones_out/%.*s", STR_FMT(zone));
        if (drain) {
            edit(&t, 0, path, "{\"reason\":\"bench\"}", "op");
        }
        drive(&t, 65 * SECOND);
        int middle = world_request_count(t.w);
        drive(&t, 70 * SECOND);
        int third = world_request_count(t.w);
        drive(&t, 85 * SECOND);
        if (drain) {
            edit(&t, 2, path, "null", "op");
        }
        drive(&t, 100 * SECOND);
        int end = world_request_count(t.w);
        world_run(t.w, 140 * SECOND);
        count(&t, first, middle, &out[drain]);
        count(&t, third, end, &in[drain]);
        world_free(t.w);
    }
    static const char *const classes[] = {"interactive", "action", "bulk"};
    for (int k = 0; k < DEPLOY_PIPELINES; k++) {
        printf("%-8s %-11s around zone out %6.2f%% (without %6.2f%%), around "
               "zone in %6.2f%% (without %6.2f%%)\n",
               d->name, classes[k], pct(&out[1], k), pct(&out[0], k),
               pct(&in[1], k), pct(&in[0], k));
        buf_printf(last, "%s_%s_out=%.2f %s_%s_in=%.2f ", d->name, classes[k],
                   pct(&out[1], k), d->name, classes[k], pct(&in[1], k));
    }
}

static void
bench_rolling(const struct deploy *d, struct buf *last)
{
    struct traffic t;
    begin(&t, d, 11);
    drive(&t, 30 * SECOND);
    int first = world_request_count(t.w);
    for (int n = 0; n < NODES; n++) {
        world_drain_node(t.w, n, 2 * SECOND);
        drive(&t, world_now(t.w) + 20 * SECOND);
    }
    int end = world_request_count(t.w);
    world_run(t.w, world_now(t.w) + 40 * SECOND);
    int cut = 0;
    struct share s;
    for (int i = first; i < end; i++) {
        cut += world_request(t.w, i)->outcome == WORLD_LOST;
    }
    count(&t, first, end, &s);
    printf("%-8s rolling replacement of %d nodes: %d requests, %d cut "
           "(target 0), interactive %.2f%%\n",
           d->name, NODES, end - first, cut, pct(&s, 0));
    buf_printf(last, "%s_rolling_cut=%d ", d->name, cut);
    world_free(t.w);
}

static bool
in_force(struct traffic *t, int64_t revision)
{
    for (int n = 0; n < NODES; n++) {
        if (world_node_up(t->w, n) &&
            world_node_revision(t->w, n) < revision) {
            return false;
        }
    }
    return true;
}

/* 100 changes by two racing operators, 20% of store answers lost. */
static void
bench_changes(const struct deploy *d, struct buf *last)
{
    struct traffic t;
    double worst = 0;
    double sum = 0;
    int accepted = 0;
    int other = 0;
    begin(&t, d, 13);
    drive(&t, 25 * SECOND);
    world_knobs(t.w)->store_lose = 0.2;
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
        int64_t sent = world_now(t.w);
        for (int k = 0; k < 2; k++) {
            int64_t revision = 0;
            if (!await(&t, e[k])) {
                other++;
                continue;
            }
            world_edit_result(t.w, e[k], NULL, &revision);
            while (!in_force(&t, revision) &&
                   world_now(t.w) < sent + 20 * SECOND) {
                drive(&t, world_now(t.w) + 10000);
            }
            double s = (double)(world_now(t.w) - sent) / SECOND;
            worst = s > worst ? s : worst;
            sum += s;
            accepted++;
        }
    }
    struct str text = world_store_value(t.w, "cf/config");
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
    buf_printf(last, "%s_changes_accepted=%d %s_changes_max_s=%.3f ", d->name,
               accepted, d->name, worst);
    world_free(t.w);
}

/* Service during a 60 s outage against the same run without it. */
static void
bench_outage(const struct deploy *d, struct buf *last)
{
    struct share s[2];
    int64_t calls[2];
    int64_t after[2];
    int untrue = 0;
    for (int down = 0; down < 2; down++) {
        struct traffic t;
        begin(&t, d, 17);
        drive(&t, 30 * SECOND);
        int first = world_request_count(t.w);
        world_knobs(t.w)->store_down = down;
        int64_t before = world_totals(t.w).store_calls;
        drive(&t, 90 * SECOND);
        calls[down] = world_totals(t.w).store_calls - before;
        world_knobs(t.w)->store_down = false;
        int end = world_request_count(t.w);
        before = world_totals(t.w).store_calls;
        drive(&t, 95 * SECOND);
        after[down] = world_totals(t.w).store_calls - before;
        world_run(t.w, 140 * SECOND);
        count(&t, first, end, &s[down]);
        for (int i = first; i < end; i++) {
            untrue += world_request(t.w, i)->claim_open_ran;
        }
        world_free(t.w);
    }
    printf("%-8s 60 s store outage: interactive %.2f%% (without %.2f%%), bulk "
           "%.2f%% (%.2f%%), action %.2f%% (%.2f%%), untrue refusals %d, "
           "store calls/s %.1f (%.1f), first 5 s after %.1f\n",
           d->name, pct(&s[1], 0), pct(&s[0], 0), pct(&s[1], 2), pct(&s[0], 2),
           pct(&s[1], 1), pct(&s[0], 1), untrue, (double)calls[1] / 60,
           (double)calls[0] / 60, (double)after[1] / 5);
    buf_printf(last, "%s_outage_interactive=%.2f %s_no_outage=%.2f ", d->name,
               pct(&s[1], 0), d->name, pct(&s[0], 0));
}

int
main(int argc, char **argv)
{
    if (argc > 2) {
        fprintf(stderr, "usage: bench_fleet [board|utility]\n"
                        "exit codes: 0 done, 2 usage\n");
        return 2;
    }
    struct buf last = {0};
    for (int k = 0; k < DEPLOY_COUNT; k++) {
        struct deploy d;
        deploy_init(&d, k);
        if (argc < 2 || strcmp(argv[1], d.name) == 0) {
            bench_zone_out(&d, &last);
            bench_zone_service(&d, &last);
            bench_rolling(&d, &last);
            bench_changes(&d, &last);
            bench_outage(&d, &last);
        }
        deploy_free(&d);
    }
    printf("%s\n", last.ptr ? last.ptr : "");
    buf_free(&last);
    return 0;
}
