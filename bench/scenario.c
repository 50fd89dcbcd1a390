#include "bench/scenario.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hist.h"
#include "bench/fluid.h"

#define WARM_US 25000000
#define TAIL_US 40000000
#define BURST_US 5000000
#define BURST_FACTOR 3.0

static const struct {
    const char *name;
    double load;
} table[] = {
#define X(id, name, load) [SCENARIO_##id] = {name, load},
    SCENARIO_LIST(X)
#undef X
};

/* One run: the world, its arrivals and what was counted before them. */
struct run {
    const struct deploy *d;
    enum scenario s;
    struct world *w;
    struct rng rng;
    double rate; /* requests a second without the fault */
    int64_t begin, fault, end;
    int first_request;
    int64_t calls_before;
    bool fault_done;
    int crash_sends;
    uint64_t actions;
    double *capacity[16];
    double *arrivals[DEPLOY_PIPELINES];
};

const char *
scenario_name(enum scenario s)
{
    return table[s].name;
}

static int
pick(struct rng *rng, const double *share, int n)
{
    double u = rng_unit(rng);
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
        crash ? DEPLOY_ASK : pick(&r->rng, r->d->share, DEPLOY_PIPELINES);
    q.team = team >= 0 ? team : pick(&r->rng, r->d->team_share, DEPLOY_TEAMS);
    q.action = q.pipeline == DEPLOY_ACTION ? ++r->actions : 0;
    q.stream = q.pipeline == DEPLOY_ASK;
    q.content = crash ? 999999999 : 0;
    q.wrong = crash; /* asks world_send for the crash marker */
    world_send(r->w, -1, &q, r->d->deadline_ms[q.pipeline]);
    int64_t step = (world_now(r->w) - r->begin) / FLUID_STEP_US;
    if (world_now(r->w) >= r->begin && world_now(r->w) < r->end && !crash) {
        r->arrivals[q.pipeline][step] += 1;
    }
}

static int
gen_pool(const struct run *r)
{
    return fleet_pool_find(world_fleet(r->w), STR_LIT("gen"));
}

static void
start_fault(struct run *r)
{
    int seen = 0;
    r->fault_done = true;
    for (int i = 0; i < world_endpoint_count(r->w); i++) {
        struct world_endpoint *e = world_endpoint(r->w, i);
        if (e->pool != gen_pool(r)) {
            continue;
        }
        seen++;
        switch (r->s) {
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
                world_chill_endpoint(r->w, i);
            }
            break;
        case SCENARIO_SILENT:
            e->silent_nodes = ~0ULL;
            break;
        default:
            break;
        }
    }
}

static double
rate_now(const struct run *r)
{
    int64_t now = world_now(r->w);
    if (now < r->begin) {
        double up = (double)(now - (r->begin - WARM_US)) / WARM_US;
        return r->rate * (0.2 + 0.8 * (up > 0.8 ? 1 : up));
    }
    if (r->s == SCENARIO_BURST && now >= r->fault &&
        now < r->fault + BURST_US) {
        return r->rate / table[r->s].load * BURST_FACTOR;
    }
    if (r->s == SCENARIO_FLOOD && now >= r->fault) {
        return r->rate * 4;
    }
    return r->rate;
}

/* In the flood the added requests are all of the largest team. */
static int
team_now(struct run *r)
{
    bool flood = r->s == SCENARIO_FLOOD && world_now(r->w) >= r->fault;
    return flood && rng_unit(&r->rng) < 0.75 ? 0 : -1;
}

static void
note_capacity(struct run *r, int64_t step)
{
    for (int i = 0; i < world_endpoint_count(r->w); i++) {
        const struct world_endpoint *e = world_endpoint(r->w, i);
        if (!e->dead) {
            double factor = e->slow * (e->cold ? e->model.cold_slow : 1);
            int slots = e->cold ? e->model.cold_slots : e->model.slots;
            r->capacity[e->pool][step] += slots / factor * FLUID_STEP_US / 1e6;
        }
    }
}

static void
drive(struct run *r)
{
    int64_t steps = (r->end - r->begin + TAIL_US) / FLUID_STEP_US;
    int64_t step = 0;
    int64_t next = world_now(r->w);
    bool started = false;
    while (step < steps) {
        int64_t edge = r->begin + step * FLUID_STEP_US;
        if (next >= r->end || next > edge) {
            world_run(r->w, edge);
            if (!started && edge >= r->begin) {
                started = true;
                r->first_request = world_request_count(r->w);
                r->calls_before = world_totals(r->w).calls;
            }
            if (edge >= r->fault && !r->fault_done) {
                start_fault(r);
            }
            if (r->s == SCENARIO_CRASHER && edge >= r->fault &&
                r->crash_sends < 20 && step % 10 == 0) {
                r->crash_sends++;
                send_one(r, -1, true);
            }
            note_capacity(r, step++);
            continue;
        }
        world_run(r->w, next);
        send_one(r, team_now(r), false);
        next += 1 + (int64_t)rng_exp(&r->rng, 1e6 / rate_now(r));
    }
}

static void
bound_of(struct run *r, struct scenario_result *out)
{
    double best[DEPLOY_PIPELINES] = {1, 1, 1};
    int steps = (int)((r->end - r->begin) / FLUID_STEP_US);
    for (int p = 0; p < world_fleet(r->w)->pool_count; p++) {
        struct fluid_pool f = {.steps = steps,
                               .tail = TAIL_US / FLUID_STEP_US,
                               .capacity = r->capacity[p]};
        double share[FLUID_CLASSES];
        for (int k = 0; k < FLUID_CLASSES; k++) {
            f.arrivals[k] = r->arrivals[k];
            f.work[k] = deploy_work(r->d, r->w, k, p);
            f.deadline[k] =
                (int)((double)r->d->deadline_ms[k] / 100 - f.work[k] * 10);
        }
        fluid_bound(&f, share);
        for (int k = 0; k < FLUID_CLASSES; k++) {
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
    bool ok = whole && q->done_us <= q->deadline_us + r->d->client_us;
    out->wrong += q->wrong || q->answers > 1;
    out->untrue += q->claim_open_ran;
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
        out->doubled += world_action_runs(r->w, q->action) > 1;
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
    bound_of(r, out);
}

void
scenario_run(const struct deploy *d, enum scenario s, enum flow_policy policy,
             uint64_t seed, int seconds, struct scenario_result *out)
{
    struct run r = {.d = d, .s = s};
    memset(out, 0, sizeof(*out));
    rng_seed(&r.rng, seed ^ 0x5eed);
    r.w = deploy_world(d, seed, policy, 5);
    r.rate = deploy_capacity(d, r.w) * table[s].load;
    if (!world_start(r.w, 20000000)) {
        fprintf(stderr, "%s: nodes did not become ready\n", table[s].name);
        exit(1);
    }
    r.begin = world_now(r.w) + WARM_US;
    r.fault = r.begin + 5000000;
    r.end = r.begin + (int64_t)seconds * 1000000;
    size_t steps = (size_t)((r.end - r.begin + TAIL_US) / FLUID_STEP_US) + 1;
    for (int p = 0; p < 16; p++) {
        r.capacity[p] = mem_zero(steps, sizeof(double));
    }
    for (int k = 0; k < DEPLOY_PIPELINES; k++) {
        r.arrivals[k] = mem_zero(steps, sizeof(double));
    }
    drive(&r);
    collect(&r, out);
    for (int p = 0; p < 16; p++) {
        free(r.capacity[p]);
    }
    for (int k = 0; k < DEPLOY_PIPELINES; k++) {
        free(r.arrivals[k]);
    }
    world_free(r.w);
}
