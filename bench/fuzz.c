#include "bench/fuzz.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "bench/deploy.h"

#define NODES 5
#define FAULT_WINDOW_US 12000000
#define FAULTS_END_US 14000000
#define RECOVERY_US 6000000
#define MAX_SETTLE_US 40000000
/* The checks go on for this long after the last fault's end. It is longer
 * than any time limit of the oracle. */
#define MIN_CHECKED_US 10000000
#define REQUESTS_PER_S 25.0
#define BURST_REQUESTS_PER_S 400.0

static const char *const names[] = {
#define X(id, name) [FAULT_##id] = name,
    FAULT_LIST(X)
#undef X
};

struct fuzz_session {
    const struct fuzz_plan *plan;
    struct world *world;
    struct oracle *oracle;
    struct rng rng;
    int64_t begin_us;
    bool started[FUZZ_MAX_FAULTS];
    bool ended[FUZZ_MAX_FAULTS];
    uint64_t last_action;
    int resend_queue[64]; /* indexes of requests that may be sent again */
    int resend_count;
    int change_count;
    int first_late_request;
};

const char *
fault_name(enum fault f)
{
    return names[f];
}

enum fault
fault_by_name(const char *name)
{
    int f = 0;
    while (f < FAULT_COUNT && strcmp(name, names[f]) != 0) {
        f++;
    }
    return f;
}

void
fuzz_generate_plan(uint64_t seed, struct fuzz_plan *p)
{
    struct rng rng;
    rng_seed(&rng, seed * 7919 + 17);
    memset(p, 0, sizeof(*p));
    p->seed = seed;
    int pair = (int)(seed % FAULT_PAIR_COUNT);
    int a = 0;
    while (pair >= FAULT_COUNT - a) {
        pair -= FAULT_COUNT - a;
        a++;
    }
    int b = a + pair;
    int64_t at = 1000000 + (int64_t)rng_below(&rng, 3000000);
    p->faults[p->count++] = (struct fuzz_fault){
        a, at, 3000000 + (int64_t)rng_below(&rng, 4000000), rng_next(&rng)};
    at += (int64_t)rng_below(&rng, 2500000);
    p->faults[p->count++] = (struct fuzz_fault){
        b, at, 1000000 + (int64_t)rng_below(&rng, 5000000), rng_next(&rng)};
    int more = (int)rng_below(&rng, 4);
    for (int i = 0; i < more; i++) {
        p->faults[p->count++] = (struct fuzz_fault){
            (enum fault)rng_below(&rng, FAULT_COUNT),
            (int64_t)rng_below(&rng, FAULT_WINDOW_US),
            500000 + (int64_t)rng_below(&rng, 5000000), rng_next(&rng)};
    }
}

static int
find_running_node(struct fuzz_session *s, uint64_t selector)
{
    for (int i = 0; i < NODES; i++) {
        int n = (int)((selector + (uint64_t)i) % NODES);
        if (world_node_is_up(s->world, n)) {
            return n;
        }
    }
    return -1;
}

static void
edit(struct fuzz_session *s, uint64_t selector, const char *path,
     const char *value, int zone, bool taken_out)
{
    int n = find_running_node(s, selector);
    if (n < 0) {
        return;
    }
    char change[32];
    snprintf(change, sizeof(change), "c%d", ++s->change_count);
    int64_t base = world_node_revision(s->world, n);
    int e =
        world_send_edit(s->world, n, path, value, "test", "op", change, base);
    oracle_record_edit(s->oracle, e, path, zone, taken_out);
}

static void
edit_zone(struct fuzz_session *s, uint64_t selector, bool taken_out)
{
    char path[64];
    int zone = (int)(selector % 4);
    struct str name = world_fleet(s->world)->zones[zone].name;
    snprintf(path, sizeof(path), "zones_out/%.*s", STR_FMT(name));
    edit(s, selector / 7, path, taken_out ? "{\"reason\":\"test\"}" : "null",
         zone, taken_out);
}

static void
send_racing_edits(struct fuzz_session *s, uint64_t selector)
{
    for (int i = 0; i < 4; i++) {
        char path[64];
        snprintf(path, sizeof(path), "exceptions/race-%d", s->change_count);
        edit(s, selector + (uint64_t)i, path,
             "{\"scope\":\"pool/enc\",\"setting\":\"queue_limit\","
             "\"value\":200,\"reason\":\"test\"}",
             -1, false);
    }
}

static void
set_endpoint_leaving(struct fuzz_session *s, uint64_t selector,
                     bool is_leaving)
{
    int i = (int)(selector % (uint64_t)world_endpoint_count(s->world));
    struct world_endpoint *e = world_endpoint(s->world, i);
    e->leaving = is_leaving;
    e->leaving_since_us = is_leaving ? world_now_us(s->world) : INT64_MAX;
    world_publish_vms(s->world);
}

static void
send(struct fuzz_session *s, bool crash)
{
    struct world_request q = {0};
    uint64_t u = rng_below(&s->rng, 10);
    q.pipeline = crash   ? DEPLOY_ASK
                 : u < 4 ? DEPLOY_ASK
                 : u < 9 ? DEPLOY_ACTION
                         : DEPLOY_DOSSIER;
    q.team = (int)rng_below(&s->rng, DEPLOY_TEAMS);
    q.action = q.pipeline == DEPLOY_ACTION ? ++s->last_action : 0;
    q.stream = q.pipeline == DEPLOY_ASK;
    q.content = crash ? 999999999 : 0;
    q.wrong = crash;
    int64_t deadline = q.pipeline == DEPLOY_DOSSIER ? 12000 : 4000;
    int i = world_send_request(s->world, -1, &q, deadline);
    if (i >= 0 && q.action && s->resend_count < 64) {
        s->resend_queue[s->resend_count++] = i;
    }
}

/* Sends refused and lost actions again with the same key, and also actions
 * that have been pending for more than 1.5 s: a caller may retry while the
 * first request is still running. */
static void
resend(struct fuzz_session *s)
{
    for (int i = 0; i < s->resend_count; i++) {
        const struct world_request r =
            *world_request(s->world, s->resend_queue[i]);
        int64_t age = world_now_us(s->world) - r.sent_us;
        bool again = r.outcome == WORLD_LOST || r.outcome == WORLD_REFUSED ||
                     (r.outcome == WORLD_PENDING && age > 1500000);
        if (r.outcome == WORLD_ANSWERED || (again && age > 700000)) {
            s->resend_queue[i--] = s->resend_queue[--s->resend_count];
        }
        if (again && age > 700000) {
            struct world_request q = {.pipeline = r.pipeline,
                                      .team = r.team,
                                      .action = r.action,
                                      .content = r.content};
            int n = world_send_request(s->world, -1, &q, 4000);
            if (n >= 0 && rng_below(&s->rng, 3) && s->resend_count < 64) {
                s->resend_queue[s->resend_count++] = n;
            }
            if (rng_below(&s->rng, 4) == 0) {
                world_disconnect_caller(
                    s->world, (int)(world_request_count(s->world) - 1));
            }
        }
    }
}

static void
start_fault(struct fuzz_session *s, const struct fuzz_fault *f)
{
    struct world_faults *k = world_faults(s->world);
    int ep = (int)(f->selector % (uint64_t)world_endpoint_count(s->world));
    int n = find_running_node(s, f->selector);
    switch (f->kind) {
    case FAULT_STAGE_SLOW:
        for (int i = 0; i < world_endpoint_count(s->world); i++) {
            if (world_endpoint(s->world, i)->pool ==
                world_endpoint(s->world, ep)->pool) {
                world_endpoint(s->world, i)->slow = 4;
            }
        }
        break;
    case FAULT_ENDPOINT_DEATH:
        world_kill_endpoint(s->world, ep, f->duration_us);
        break;
    case FAULT_NODE_DEATH:
        if (n >= 0) {
            world_kill_node(s->world, n, f->duration_us);
        }
        break;
    case FAULT_COLD_TURN:
        world_restart_endpoint_cold(s->world, ep);
        break;
    case FAULT_STORE_OUTAGE:
        k->store_down = true;
        break;
    case FAULT_STORE_SLOW:
        k->store_delay_us = 600000;
        break;
    case FAULT_STORE_LOST_ANSWERS:
        k->store_result_loss = 0.3;
        break;
    case FAULT_NODE_PAUSE:
        if (n >= 0) {
            world_pause_node(s->world, n, f->duration_us);
        }
        break;
    case FAULT_OPERATOR_RACE:
        send_racing_edits(s, f->selector);
        break;
    case FAULT_SILENT_CONNECTION:
        world_endpoint(s->world, ep)->hung_nodes = f->selector >> 8;
        break;
    case FAULT_ZONE_CHANGE:
        edit_zone(s, f->selector, true);
        break;
    case FAULT_VM_LEAVING:
        set_endpoint_leaving(s, f->selector, true);
        break;
    case FAULT_NODE_DRAIN:
        if (n >= 0) {
            world_start_drain(s->world, n, 1000000);
        }
        break;
    case FAULT_LINK_CUT:
        for (int i = 0; i < NODES; i++) {
            k->cut[i] |= 1ULL << (f->selector % NODES);
        }
        k->cut[f->selector % NODES] = ~0ULL;
        break;
    case FAULT_MESSAGE_LOSS:
        k->message_loss = 0.3;
        k->message_duplication = 0.2;
        k->message_jitter_us = 50000;
        break;
    case FAULT_BAD_ANSWERS:
        k->truncated_share = 0.05;
        k->crossed_share = 0.05;
        k->duplicated_share = 0.1;
        k->delayed_share = 0.05;
        break;
    case FAULT_NODE_STORE_CUT:
        k->store_cut_nodes |= 1ULL << (f->selector % NODES);
        break;
    case FAULT_BURST:
    case FAULT_CRASH_REQUEST:
    case FAULT_COUNT:
        break;
    }
}

static void
end_fault(struct fuzz_session *s, const struct fuzz_fault *f)
{
    struct world_faults *k = world_faults(s->world);
    switch (f->kind) {
    case FAULT_STAGE_SLOW:
        for (int i = 0; i < world_endpoint_count(s->world); i++) {
            world_endpoint(s->world, i)->slow = 1;
        }
        break;
    case FAULT_STORE_OUTAGE:
        k->store_down = false;
        break;
    case FAULT_STORE_SLOW:
        k->store_delay_us = 0;
        break;
    case FAULT_STORE_LOST_ANSWERS:
        k->store_result_loss = 0;
        break;
    case FAULT_ZONE_CHANGE:
        edit_zone(s, f->selector, false);
        break;
    case FAULT_VM_LEAVING:
        set_endpoint_leaving(s, f->selector, false);
        break;
    case FAULT_LINK_CUT:
        memset(k->cut, 0, sizeof(k->cut));
        break;
    case FAULT_MESSAGE_LOSS:
        k->message_loss = k->message_duplication = 0;
        k->message_jitter_us = 0;
        break;
    case FAULT_BAD_ANSWERS:
        k->truncated_share = k->crossed_share = k->duplicated_share =
            k->delayed_share = 0;
        break;
    case FAULT_NODE_STORE_CUT:
        k->store_cut_nodes = 0;
        break;
    default:
        break;
    }
}

static bool
fault_is_active(const struct fuzz_session *s, enum fault f)
{
    for (int i = 0; i < s->plan->count; i++) {
        if (s->plan->faults[i].kind == f && s->started[i] && !s->ended[i]) {
            return true;
        }
    }
    return false;
}

static void
update_faults(struct fuzz_session *s)
{
    int64_t t = world_now_us(s->world) - s->begin_us;
    for (int i = 0; i < s->plan->count; i++) {
        const struct fuzz_fault *f = &s->plan->faults[i];
        int64_t end = f->start_us + f->duration_us;
        if (!s->started[i] && t >= f->start_us) {
            s->started[i] = true;
            start_fault(s, f);
        }
        if (!s->ended[i] && s->started[i] &&
            t >= (end < FAULTS_END_US ? end : FAULTS_END_US)) {
            s->ended[i] = true;
            end_fault(s, f);
        }
    }
}

static void
run_session(struct fuzz_session *s)
{
    int64_t next_arrival_us = world_now_us(s->world);
    for (int64_t t = 0; t < FAULTS_END_US + RECOVERY_US + MAX_SETTLE_US;
         t += 100000) {
        int64_t step_end_us = s->begin_us + t;
        while (next_arrival_us < step_end_us &&
               t < FAULTS_END_US + RECOVERY_US) {
            world_run_until(s->world, next_arrival_us);
            send(s, false);
            double rate = fault_is_active(s, FAULT_BURST)
                              ? BURST_REQUESTS_PER_S
                              : REQUESTS_PER_S;
            next_arrival_us += 1 + (int64_t)rng_exp(&s->rng, 1e6 / rate);
        }
        world_run_until(s->world, step_end_us);
        update_faults(s);
        if (fault_is_active(s, FAULT_CRASH_REQUEST) && t % 400000 == 0) {
            send(s, true);
        }
        if (t < FAULTS_END_US + RECOVERY_US) {
            resend(s);
        }
        if (t == FAULTS_END_US + RECOVERY_US - 2000000) {
            s->first_late_request = world_request_count(s->world);
        }
        oracle_poll(s->oracle);
        if (t >= FAULTS_END_US + MIN_CHECKED_US &&
            t >= FAULTS_END_US + RECOVERY_US && world_is_idle(s->world)) {
            return;
        }
    }
}

static void
collect(struct fuzz_session *s, struct fuzz_result *out)
{
    out->requests = world_request_count(s->world);
    for (int i = 0; i < out->requests; i++) {
        bool ok = world_request(s->world, i)->outcome == WORLD_ANSWERED;
        out->answered += ok;
        out->late_requests += i >= s->first_late_request;
        out->late_answered += i >= s->first_late_request && ok;
    }
    for (int i = 0; i < INVARIANT_COUNT; i++) {
        out->violations[i] = oracle_violation_count(s->oracle, i);
        const char *first = oracle_first_violation(s->oracle, i);
        snprintf(out->first_violation[i], sizeof(out->first_violation[i]),
                 "%s", first ? first : "");
    }
}

bool
fuzz_run_plan(const struct fuzz_plan *p, struct fuzz_result *out)
{
    struct deploy d;
    struct fuzz_session s = {.plan = p};
    bool ok = true;
    memset(out, 0, sizeof(*out));
    deploy_init(&d, DEPLOY_BOARD);
    rng_seed(&s.rng, p->seed + 99);
    s.world = deploy_new_mutated_world(&d, p->seed, NODES, p->mutation);
    s.oracle = oracle_new(s.world);
    if (!world_start_nodes(s.world, 20000000)) {
        out->violations[INVARIANT_CONFIG]++;
        snprintf(out->first_violation[INVARIANT_CONFIG],
                 sizeof(out->first_violation[INVARIANT_CONFIG]),
                 "nodes did not become ready");
        ok = false;
    }
    else {
        s.begin_us = world_now_us(s.world);
        run_session(&s);
        oracle_check_end(s.oracle);
        collect(&s, out);
        for (int i = 0; i < INVARIANT_COUNT; i++) {
            ok = ok && out->violations[i] == 0;
        }
    }
    oracle_free(s.oracle);
    world_free(s.world);
    deploy_free(&d);
    return ok;
}

void
fuzz_shrink_plan(struct fuzz_plan *p, enum invariant i)
{
    for (int k = p->count - 1; k >= 0; k--) {
        struct fuzz_plan q = *p;
        struct fuzz_result r;
        memmove(&q.faults[k], &q.faults[k + 1],
                (size_t)(q.count - k - 1) * sizeof(q.faults[0]));
        q.count--;
        fuzz_run_plan(&q, &r);
        if (r.violations[i]) {
            *p = q;
        }
    }
}

void
fuzz_print_failure(const struct fuzz_plan *p, const struct fuzz_result *r)
{
    printf("seed %" PRIu64 ":", p->seed);
    for (int i = 0; i < p->count; i++) {
        printf(" %s@%.2f+%.2f/%" PRIu64, names[p->faults[i].kind],
               (double)p->faults[i].start_us / 1e6,
               (double)p->faults[i].duration_us / 1e6, p->faults[i].selector);
    }
    printf("\n");
    for (int i = 0; i < INVARIANT_COUNT; i++) {
        if (r->violations[i]) {
            printf("  %s violated %d times: %s\n", invariant_name(i),
                   r->violations[i], r->first_violation[i]);
        }
    }
}

void
fuzz_count_pairs(const struct fuzz_plan *p,
                 int matrix[FAULT_COUNT][FAULT_COUNT])
{
    for (int i = 0; i < p->count; i++) {
        for (int k = i + 1; k < p->count; k++) {
            const struct fuzz_fault *a = &p->faults[i];
            const struct fuzz_fault *b = &p->faults[k];
            if (a->start_us < b->start_us + b->duration_us &&
                b->start_us < a->start_us + a->duration_us) {
                int low = a->kind < b->kind ? a->kind : b->kind;
                int high = a->kind < b->kind ? b->kind : a->kind;
                matrix[low][high]++;
            }
        }
    }
}
