#include "bench/scenario.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hist.h"
#include "bench/fluid.h"

#define WARM_UP_US 25000000
#define DRAIN_US 40000000
#define BURST_DURATION_US 5000000
#define BURST_FACTOR 3.0

static const struct {
    const char *name;
    double load;
} table[] = {
#define X(id, name, load) [SCENARIO_##id] = {name, load},
    SCENARIO_LIST(X)
#undef X
};

/* One run: the world, its arrivals, and counts taken before the measured
 * time. */
struct run {
    const struct deploy *deploy;
    enum scenario scenario;
    struct world *w;
    struct rng rng;
    double rate_per_s; /* of requests, without the fault */
    int64_t begin_us, fault_us, end_us;
    int first_request;
    int64_t calls_before;
    bool fault_started;
    int crash_sends;
    uint64_t action_count;
    double *capacity_slot_s[16];        /* by pool and step */
    double *arrivals[DEPLOY_PIPELINES]; /* by pipeline and step */
};

const char *
scenario_name(enum scenario s)
{
    return table[s].name;
}

static int
pick_weighted(struct rng *rng, const double *share, int n)
{
    double u = rng_uniform(rng);
    for (int i = 0; i < n - 1; i++) {
        if (u < share[i]) {
            return i;
        }
        u -= share[i];
    }
    return n - 1;
}

static void
send_one(struct run *r, int team, bool crash)
{
    struct world_request q = {0};
    q.pipeline =
        crash ? DEPLOY_ASK
              : pick_weighted(&r->rng, r->deploy->share, DEPLOY_PIPELINES);
    q.team = team >= 0
                 ? team
                 : pick_weighted(&r->rng, r->deploy->team_share, DEPLOY_TEAMS);
    q.action = q.pipeline == DEPLOY_ACTION ? ++r->action_count : 0;
    q.stream = q.pipeline == DEPLOY_ASK;
    q.content = crash ? 999999999 : 0;
    q.wrong = crash; /* makes world_send_request add the crash marker */
    world_send_request(r->w, -1, &q, r->deploy->deadline_ms[q.pipeline]);
    int64_t step = (world_now_us(r->w) - r->begin_us) / FLUID_STEP_US;
    if (world_now_us(r->w) >= r->begin_us && world_now_us(r->w) < r->end_us &&
        !crash) {
        r->arrivals[q.pipeline][step] += 1;
    }
}

static int
generator_pool(const struct run *r)
{
    return fleet_find_pool(world_fleet(r->w), STR_LIT("gen"));
}

static void
start_fault(struct run *r)
{
    int seen = 0;
    r->fault_started = true;
    for (int i = 0; i < world_endpoint_count(r->w); i++) {
        struct world_endpoint *e = world_endpoint(r->w, i);
        if (e->pool != generator_pool(r)) {
            continue;
        }
        seen++;
        switch (r->scenario) {
        case SCENARIO_SLOW_STAGE:
            e->slow = 4;
            break;
        case SCENARIO_KILL_THIRD:
            if (seen % 3 == 0) {
                world_kill_endpoint(r->w, i, 0);
            }
            break;
        case SCENARIO_COLD:
            if (seen % 2 == 0) {
                world_restart_endpoint_cold(r->w, i);
            }
            break;
        case SCENARIO_SILENT:
            e->hung_nodes = ~0ULL;
            break;
        default:
            break;
        }
    }
}

static double
current_rate_per_s(const struct run *r)
{
    int64_t now = world_now_us(r->w);
    if (now < r->begin_us) {
        double up = (double)(now - (r->begin_us - WARM_UP_US)) / WARM_UP_US;
        return r->rate_per_s * (0.2 + 0.8 * (up > 0.8 ? 1 : up));
    }
    if (r->scenario == SCENARIO_BURST && now >= r->fault_us &&
        now < r->fault_us + BURST_DURATION_US) {
        return r->rate_per_s / table[r->scenario].load * BURST_FACTOR;
    }
    if (r->scenario == SCENARIO_FLOOD && now >= r->fault_us) {
        return r->rate_per_s * 4;
    }
    return r->rate_per_s;
}

/* Picks the team of a request. In the flood the added requests, three of
 * four, are all of the largest team. */
static int
pick_team(struct run *r)
{
    bool flood =
        r->scenario == SCENARIO_FLOOD && world_now_us(r->w) >= r->fault_us;
    return flood && rng_uniform(&r->rng) < 0.75 ? 0 : -1;
}

static void
record_capacity(struct run *r, int64_t step)
{
    for (int i = 0; i < world_endpoint_count(r->w); i++) {
        const struct world_endpoint *e = world_endpoint(r->w, i);
        if (!e->dead) {
            double factor = e->slow * (e->cold ? e->model.cold_factor : 1);
            int slots = e->cold ? e->model.cold_slots : e->model.slots;
            r->capacity_slot_s[e->pool][step] +=
                slots / factor * FLUID_STEP_US / 1e6;
        }
    }
}

static void
drive(struct run *r)
{
    int64_t steps = (r->end_us - r->begin_us + DRAIN_US) / FLUID_STEP_US;
    int64_t step = 0;
    int64_t next = world_now_us(r->w);
    bool started = false;
    while (step < steps) {
        int64_t edge = r->begin_us + step * FLUID_STEP_US;
        if (next >= r->end_us || next > edge) {
            world_run_until(r->w, edge);
            if (!started && edge >= r->begin_us) {
                started = true;
                r->first_request = world_request_count(r->w);
                r->calls_before = world_totals(r->w).calls;
            }
            if (edge >= r->fault_us && !r->fault_started) {
                start_fault(r);
            }
            if (r->scenario == SCENARIO_CRASHER && edge >= r->fault_us &&
                r->crash_sends < 20 && step % 10 == 0) {
                r->crash_sends++;
                send_one(r, -1, true);
            }
            record_capacity(r, step++);
            continue;
        }
        world_run_until(r->w, next);
        send_one(r, pick_team(r), false);
        next += 1 + (int64_t)rng_exp(&r->rng, 1e6 / current_rate_per_s(r));
    }
}

static void
compute_bound(struct run *r, struct scenario_result *out)
{
    double best[DEPLOY_PIPELINES] = {1, 1, 1};
    int steps = (int)((r->end_us - r->begin_us) / FLUID_STEP_US);
    for (int p = 0; p < world_fleet(r->w)->pool_count; p++) {
        struct fluid_pool f = {.steps = steps,
                               .tail = DRAIN_US / FLUID_STEP_US,
                               .capacity = r->capacity_slot_s[p]};
        double share[FLUID_CLASS_COUNT];
        for (int k = 0; k < FLUID_CLASS_COUNT; k++) {
            f.arrivals[k] = r->arrivals[k];
            f.work[k] = deploy_work_s(r->deploy, r->w, k, p);
            f.deadline[k] = (int)((double)r->deploy->deadline_ms[k] / 100 -
                                  f.work[k] * 10);
        }
        fluid_compute_bound(&f, share);
        for (int k = 0; k < FLUID_CLASS_COUNT; k++) {
            best[k] = share[k] < best[k] ? share[k] : best[k];
        }
    }
    double n = 0;
    double all = 0;
    for (int k = 0; k < DEPLOY_PIPELINES; k++) {
        for (int i = 0; i < steps; i++) {
            n += best[k] * r->arrivals[k][i];
            all += r->arrivals[k][i];
        }
    }
    out->bound = all > 0 ? n / all : 1;
}

static void
count_request(struct run *r, const struct world_request *q,
              struct scenario_result *out, struct hist *first)
{
    bool whole = q->outcome == WORLD_ANSWERED && !q->wrong;
    bool ok =
        whole && q->done_us <= q->deadline_us + r->deploy->client_latency_us;
    out->wrong += q->wrong || q->answers > 1;
    out->false_not_run += q->ran_despite_not_run;
    out->pending += q->outcome == WORLD_PENDING;
    if (q->content == 999999999) {
        return;
    }
    out->offered++;
    out->attained += ok;
    out->late += whole && !ok;
    out->lost += q->outcome == WORLD_LOST;
    out->class_offered[q->pipeline]++;
    out->class_attained[q->pipeline] += ok;
    out->team_offered[q->team]++;
    out->team_attained[q->team] += ok;
    if (q->outcome == WORLD_REFUSED) {
        out->refused[q->error]++;
    }
    if (q->action) {
        out->doubled_actions += world_action_runs(r->w, q->action) > 1;
    }
    if (q->first_token_us) {
        hist_add(first, q->first_token_us - q->sent_us);
    }
}

static void
collect(struct run *r, struct scenario_result *out)
{
    struct hist first;
    double stages = 0;
    hist_init(&first, 0);
    for (int i = r->first_request; i < world_request_count(r->w); i++) {
        const struct world_request *q = world_request(r->w, i);
        count_request(r, q, out, &first);
        if (q->outcome == WORLD_ANSWERED) {
            stages += world_fleet(r->w)->pipelines[q->pipeline].stage_count;
        }
    }
    double calls = (double)(world_totals(r->w).calls - r->calls_before);
    out->calls_per_offered = out->offered ? calls / out->offered : 0;
    out->retries_over_demand = stages > 0 ? calls / stages - 1 : 0;
    out->first_token_p95_us = hist_quantile(&first, 0.95);
    for (int i = 0; i < world_endpoint_count(r->w); i++) {
        const struct world_endpoint *e = world_endpoint(r->w, i);
        out->cold_overloads += e->cold_overloads;
        out->crashes += e->crashes;
        out->busy_s[e->pool] += (double)e->busy_us / 1e6;
    }
    compute_bound(r, out);
}

void
scenario_run(const struct deploy *d, enum scenario s, enum flow_policy policy,
             uint64_t seed, int seconds, struct scenario_result *out)
{
    struct run r = {.deploy = d, .scenario = s};
    memset(out, 0, sizeof(*out));
    rng_seed(&r.rng, seed ^ 0x5eed);
    r.w = deploy_new_world(d, seed, policy, 5);
    r.rate_per_s = deploy_capacity_per_s(d, r.w) * table[s].load;
    if (!world_start_nodes(r.w, 20000000)) {
        fprintf(stderr, "%s: nodes did not become ready\n", table[s].name);
        exit(1);
    }
    r.begin_us = world_now_us(r.w) + WARM_UP_US;
    r.fault_us = r.begin_us + 5000000;
    r.end_us = r.begin_us + (int64_t)seconds * 1000000;
    size_t steps =
        (size_t)((r.end_us - r.begin_us + DRAIN_US) / FLUID_STEP_US) + 1;
    for (int p = 0; p < 16; p++) {
        r.capacity_slot_s[p] = mem_calloc(steps, sizeof(double));
    }
    for (int k = 0; k < DEPLOY_PIPELINES; k++) {
        r.arrivals[k] = mem_calloc(steps, sizeof(double));
    }
    drive(&r);
    collect(&r, out);
    for (int p = 0; p < 16; p++) {
        free(r.capacity_slot_s[p]);
    }
    for (int k = 0; k < DEPLOY_PIPELINES; k++) {
        free(r.arrivals[k]);
    }
    world_free(r.w);
}
