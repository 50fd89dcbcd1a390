#include "bench/fuzz.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "bench/deploy.h"

#define NODES 5
#define FAULT_WINDOW_US 12000000
#define HEAL_US 14000000
#define QUIET_US 6000000
#define END_US 40000000
/* Longer than any target of the checks, counted from the last fault's end. */
#define CHECKED_US 10000000
#define RATE 25.0
#define BURST_RATE 400.0

static const char *const names[] = {
#define X(id, name) [FAULT_##id] = name,
    FAULT_LIST(X)
#undef X
};

struct session {
    const struct fuzz_plan *plan;
    struct world *w;
    struct oracle *o;
    struct rng rng;
    int64_t begin;
    bool on[FUZZ_MAX_STEPS];
    bool off[FUZZ_MAX_STEPS];
    uint64_t actions;
    int resend[64]; /* requests whose callers send again */
    int resend_count;
    int changes;
    int late_first;
};

const char *
fault_name(enum fault f)
{
    return names[f];
}

enum fault
fault_find(const char *name)
{
    int f = 0;
    while (f < FAULT_COUNT && strcmp(name, names[f]) != 0) {
        f++;
    }
    return f;
}

void
fuzz_plan(uint64_t seed, struct fuzz_plan *p)
{
    struct rng rng;
    rng_seed(&rng, seed * 7919 + 17);
    memset(p, 0, sizeof(*p));
    p->seed = seed;
    int pair = (int)(seed % FAULT_PAIRS);
    int a = 0;
    while (pair >= FAULT_COUNT - a) {
        pair -= FAULT_COUNT - a;
        a++;
    }
    int b = a + pair;
    int64_t at = 1000000 + (int64_t)rng_below(&rng, 3000000);
    p->steps[p->count++] = (struct fuzz_step){
        a, at, 3000000 + (int64_t)rng_below(&rng, 4000000), rng_next(&rng)};
    at += (int64_t)rng_below(&rng, 2500000);
    p->steps[p->count++] = (struct fuzz_step){
        b, at, 1000000 + (int64_t)rng_below(&rng, 5000000), rng_next(&rng)};
    int more = (int)rng_below(&rng, 4);
    for (int i = 0; i < more; i++) {
        p->steps[p->count++] = (struct fuzz_step){
            (enum fault)rng_below(&rng, FAULT_COUNT),
            (int64_t)rng_below(&rng, FAULT_WINDOW_US),
            500000 + (int64_t)rng_below(&rng, 5000000), rng_next(&rng)};
    }
}

static int
up_node(struct session *s, uint64_t pick)
{
    for (int i = 0; i < NODES; i++) {
        int n = (int)((pick + (uint64_t)i) % NODES);
        if (world_node_up(s->w, n)) {
            return n;
        }
    }
    return -1;
}

static void
edit(struct session *s, uint64_t pick, const char *path, const char *value,
     int zone, bool out)
{
    int n = up_node(s, pick);
    if (n < 0) {
        return;
    }
    char change[32];
    snprintf(change, sizeof(change), "c%d", ++s->changes);
    int64_t base = world_node_revision(s->w, n);
    int e = world_edit(s->w, n, path, value, "test", "op", change, base);
    oracle_edit(s->o, e, path, zone, out);
}

static void
zone_edit(struct session *s, uint64_t pick, bool out)
{
    char path[64];
    int zone = (int)(pick % 4);
    struct str name = world_fleet(s->w)->zones[zone].name;
    snprintf(path, sizeof(path), "zones_out/%.*s", STR_FMT(name));
    edit(s, pick / 7, path, out ? "{\"reason\":\"test\"}" : "null", zone, out);
}

static void
race(struct session *s, uint64_t pick)
{
    for (int i = 0; i < 4; i++) {
        char path[64];
        snprintf(path, sizeof(path), "exceptions/race-%d", s->changes);
        edit(s, pick + (uint64_t)i, path,
             "{\"scope\":\"pool/enc\",\"setting\":\"queue_limit\","
             "\"value\":200,\"reason\":\"test\"}",
             -1, false);
    }
}

static void
leaving(struct session *s, uint64_t pick, bool on)
{
    int i = (int)(pick % (uint64_t)world_endpoint_count(s->w));
    struct world_endpoint *e = world_endpoint(s->w, i);
    e->leaving = on;
    e->leaving_since = on ? world_now(s->w) : INT64_MAX;
    world_publish_vms(s->w);
}

static void
send(struct session *s, bool crash)
{
    struct world_request q = {0};
    uint64_t u = rng_below(&s->rng, 10);
    q.pipeline = crash   ? DEPLOY_ASK
                 : u < 4 ? DEPLOY_ASK
                 : u < 9 ? DEPLOY_ACTION
                         : DEPLOY_DOSSIER;
    q.team = (int)rng_below(&s->rng, DEPLOY_TEAMS);
    q.action = q.pipeline == DEPLOY_ACTION ? ++s->actions : 0;
    q.stream = q.pipeline == DEPLOY_ASK;
    q.content = crash ? 999999999 : 0;
    q.wrong = crash;
    int64_t deadline = q.pipeline == DEPLOY_DOSSIER ? 12000 : 4000;
    int i = world_send(s->w, -1, &q, deadline);
    if (i >= 0 && q.action && s->resend_count < 64) {
        s->resend[s->resend_count++] = i;
    }
}

/* Callers of unanswered or refused actions send again with the same key;
 * impatient ones do so while the first is still running. */
static void
resend(struct session *s)
{
    for (int i = 0; i < s->resend_count; i++) {
        const struct world_request r = *world_request(s->w, s->resend[i]);
        int64_t age = world_now(s->w) - r.sent_us;
        bool again = r.outcome == WORLD_LOST || r.outcome == WORLD_REFUSED ||
                     (r.outcome == WORLD_PENDING && age > 1500000);
        if (r.outcome == WORLD_ANSWERED || (again && age > 700000)) {
            s->resend[i--] = s->resend[--s->resend_count];
        }
        if (again && age > 700000) {
            struct world_request q = {.pipeline = r.pipeline,
                                      .team = r.team,
                                      .action = r.action,
                                      .content = r.content};
            int n = world_send(s->w, -1, &q, 4000);
            if (n >= 0 && rng_below(&s->rng, 3) && s->resend_count < 64) {
                s->resend[s->resend_count++] = n;
            }
            if (rng_below(&s->rng, 4) == 0) {
                world_caller_gone(s->w, (int)(world_request_count(s->w) - 1));
            }
        }
    }
}

static void
start_fault(struct session *s, const struct fuzz_step *f)
{
    struct world_knobs *k = world_knobs(s->w);
    int ep = (int)(f->pick % (uint64_t)world_endpoint_count(s->w));
    int n = up_node(s, f->pick);
    switch (f->fault) {
    case FAULT_STAGE_SLOW:
        for (int i = 0; i < world_endpoint_count(s->w); i++) {
            if (world_endpoint(s->w, i)->pool ==
                world_endpoint(s->w, ep)->pool) {
                world_endpoint(s->w, i)->slow = 4;
            }
        }
        break;
    case FAULT_ENDPOINT_DEATH:
        world_kill_endpoint(s->w, ep, f->for_us);
        break;
    case FAULT_NODE_DEATH:
        if (n >= 0) {
            world_kill_node(s->w, n, f->for_us);
        }
        break;
    case FAULT_COLD_TURN:
        world_chill_endpoint(s->w, ep);
        break;
    case FAULT_STORE_OUTAGE:
        k->store_down = true;
        break;
    case FAULT_STORE_SLOW:
        k->store_delay_us = 600000;
        break;
    case FAULT_STORE_LOST_ANSWERS:
        k->store_lose = 0.3;
        break;
    case FAULT_NODE_PAUSE:
        if (n >= 0) {
            world_pause_node(s->w, n, f->for_us);
        }
        break;
    case FAULT_OPERATOR_RACE:
        race(s, f->pick);
        break;
    case FAULT_SILENT_CONNECTION:
        world_endpoint(s->w, ep)->silent_nodes = f->pick >> 8;
        break;
    case FAULT_ZONE_CHANGE:
        zone_edit(s, f->pick, true);
        break;
    case FAULT_VM_LEAVING:
        leaving(s, f->pick, true);
        break;
    case FAULT_NODE_DRAIN:
        if (n >= 0) {
            world_drain_node(s->w, n, 1000000);
        }
        break;
    case FAULT_LINK_CUT:
        for (int i = 0; i < NODES; i++) {
            k->cut[i] |= 1ULL << (f->pick % NODES);
        }
        k->cut[f->pick % NODES] = ~0ULL;
        break;
    case FAULT_MESSAGE_LOSS:
        k->msg_loss = 0.3;
        k->msg_dup = 0.2;
        k->msg_jitter_us = 50000;
        break;
    case FAULT_BAD_ANSWERS:
        k->truncate = 0.05;
        k->cross = 0.05;
        k->twice = 0.1;
        k->late = 0.05;
        break;
    case FAULT_NODE_STORE_CUT:
        k->store_cut |= 1ULL << (f->pick % NODES);
        break;
    case FAULT_BURST:
    case FAULT_CRASH_REQUEST:
    case FAULT_COUNT:
        break;
    }
}

static void
end_fault(struct session *s, const struct fuzz_step *f)
{
    struct world_knobs *k = world_knobs(s->w);
    switch (f->fault) {
    case FAULT_STAGE_SLOW:
        for (int i = 0; i < world_endpoint_count(s->w); i++) {
            world_endpoint(s->w, i)->slow = 1;
        }
        break;
    case FAULT_STORE_OUTAGE:
        k->store_down = false;
        break;
    case FAULT_STORE_SLOW:
        k->store_delay_us = 0;
        break;
    case FAULT_STORE_LOST_ANSWERS:
        k->store_lose = 0;
        break;
    case FAULT_ZONE_CHANGE:
        zone_edit(s, f->pick, false);
        break;
    case FAULT_VM_LEAVING:
        leaving(s, f->pick, false);
        break;
    case FAULT_LINK_CUT:
        memset(k->cut, 0, sizeof(k->cut));
        break;
    case FAULT_MESSAGE_LOSS:
        k->msg_loss = k->msg_dup = 0;
        k->msg_jitter_us = 0;
        break;
    case FAULT_BAD_ANSWERS:
        k->truncate = k->cross = k->twice = k->late = 0;
        break;
    case FAULT_NODE_STORE_CUT:
        k->store_cut = 0;
        break;
    default:
        break;
    }
}

static bool
active(const struct session *s, enum fault f)
{
    for (int i = 0; i < s->plan->count; i++) {
        if (s->plan->steps[i].fault == f && s->on[i] && !s->off[i]) {
            return true;
        }
    }
    return false;
}

static void
step_faults(struct session *s)
{
    int64_t t = world_now(s->w) - s->begin;
    for (int i = 0; i < s->plan->count; i++) {
        const struct fuzz_step *f = &s->plan->steps[i];
        int64_t end = f->at_us + f->for_us;
        if (!s->on[i] && t >= f->at_us) {
            s->on[i] = true;
            start_fault(s, f);
        }
        if (!s->off[i] && s->on[i] && t >= (end < HEAL_US ? end : HEAL_US)) {
            s->off[i] = true;
            end_fault(s, f);
        }
    }
}

static void
drive(struct session *s)
{
    int64_t next = world_now(s->w);
    for (int64_t t = 0; t < HEAL_US + QUIET_US + END_US; t += 100000) {
        int64_t edge = s->begin + t;
        while (next < edge && t < HEAL_US + QUIET_US) {
            world_run(s->w, next);
            send(s, false);
            double rate = active(s, FAULT_BURST) ? BURST_RATE : RATE;
            next += 1 + (int64_t)rng_exp(&s->rng, 1e6 / rate);
        }
        world_run(s->w, edge);
        step_faults(s);
        if (active(s, FAULT_CRASH_REQUEST) && t % 400000 == 0) {
            send(s, true);
        }
        if (t < HEAL_US + QUIET_US) {
            resend(s);
        }
        if (t == HEAL_US + QUIET_US - 2000000) {
            s->late_first = world_request_count(s->w);
        }
        oracle_poll(s->o);
        if (t >= HEAL_US + CHECKED_US && t >= HEAL_US + QUIET_US &&
            world_quiet(s->w)) {
            return;
        }
    }
}

static void
collect(struct session *s, struct fuzz_result *out)
{
    out->requests = world_request_count(s->w);
    for (int i = 0; i < out->requests; i++) {
        bool ok = world_request(s->w, i)->outcome == WORLD_ANSWERED;
        out->answered += ok;
        out->late_requests += i >= s->late_first;
        out->late_answered += i >= s->late_first && ok;
    }
    for (int i = 0; i < INVARIANT_COUNT; i++) {
        out->violations[i] = oracle_violations(s->o, i);
        const char *first = oracle_first(s->o, i);
        snprintf(out->first[i], sizeof(out->first[i]), "%s",
                 first ? first : "");
    }
}

bool
fuzz_run(const struct fuzz_plan *p, struct fuzz_result *out)
{
    struct deploy d;
    struct session s = {.plan = p};
    bool ok = true;
    memset(out, 0, sizeof(*out));
    deploy_init(&d, DEPLOY_BOARD);
    rng_seed(&s.rng, p->seed + 99);
    s.w = deploy_world_mutated(&d, p->seed, NODES, p->mutation);
    s.o = oracle_new(s.w);
    if (!world_start(s.w, 20000000)) {
        out->violations[INVARIANT_CONFIG]++;
        snprintf(out->first[INVARIANT_CONFIG],
                 sizeof(out->first[INVARIANT_CONFIG]),
                 "nodes did not become ready");
        ok = false;
    }
    else {
        s.begin = world_now(s.w);
        drive(&s);
        oracle_end(s.o);
        collect(&s, out);
        for (int i = 0; i < INVARIANT_COUNT; i++) {
            ok = ok && out->violations[i] == 0;
        }
    }
    oracle_free(s.o);
    world_free(s.w);
    deploy_free(&d);
    return ok;
}

void
fuzz_shrink(struct fuzz_plan *p, enum invariant i)
{
    for (int k = p->count - 1; k >= 0; k--) {
        struct fuzz_plan q = *p;
        struct fuzz_result r;
        memmove(&q.steps[k], &q.steps[k + 1],
                (size_t)(q.count - k - 1) * sizeof(q.steps[0]));
        q.count--;
        fuzz_run(&q, &r);
        if (r.violations[i]) {
            *p = q;
        }
    }
}

void
fuzz_print(const struct fuzz_plan *p, const struct fuzz_result *r)
{
    printf("seed %" PRIu64 ":", p->seed);
    for (int i = 0; i < p->count; i++) {
        printf(" %s@%.2f+%.2f/%" PRIu64, names[p->steps[i].fault],
               (double)p->steps[i].at_us / 1e6,
               (double)p->steps[i].for_us / 1e6, p->steps[i].pick);
    }
    printf("\n");
    for (int i = 0; i < INVARIANT_COUNT; i++) {
        if (r->violations[i]) {
            printf("  %s violated %d times: %s\n", invariant_name(i),
                   r->violations[i], r->first[i]);
        }
    }
}

void
fuzz_pairs(const struct fuzz_plan *p, int matrix[FAULT_COUNT][FAULT_COUNT])
{
    for (int i = 0; i < p->count; i++) {
        for (int k = i + 1; k < p->count; k++) {
            const struct fuzz_step *a = &p->steps[i];
            const struct fuzz_step *b = &p->steps[k];
            if (a->at_us < b->at_us + b->for_us &&
                b->at_us < a->at_us + a->for_us) {
                int lo = a->fault < b->fault ? a->fault : b->fault;
                int hi = a->fault < b->fault ? b->fault : a->fault;
                matrix[lo][hi]++;
            }
        }
    }
}
