#include "flow/pool.h"

#include <stdlib.h>
#include <string.h>

#include "flow/admit.h"
#include "flow/credit.h"

/* Entries of the table from prompt prefix to endpoint. */
#define AFFINITY_SLOTS 1024
/* Cost factor of endpoints in other zones: these are used when the local zone
 * is worse by more than this. */
#define REMOTE_ZONE_COST 1.5
/* Prefix affinity applies up to this multiple of the mean load. */
#define AFFINITY_LOAD_MAX 1.25
/* An older load report is not used. */
#define REPORT_VALID_US (1 * SECOND)

struct pool *
pool_find_or_add(struct flow *f, struct str name)
{
    uint64_t hash = hash64(name);
    struct pool *p = map_get(&f->pools, hash);
    if (!p) {
        p = mem_calloc(1, sizeof(*p));
        p->name = str_dup(name);
        p->hash = hash;
        p->index = -1;
        p->queue = fairq_new(!f->full_policy);
        p->affinity = mem_calloc(AFFINITY_SLOTS, sizeof(*p->affinity));
        estimate_init(&p->estimate);
        retry_budget_init(&p->retries);
        retry_budget_init(&p->hedges);
        map_put(&f->pools, hash, p);
    }
    return p;
}

struct team *
pool_find_or_add_team(struct flow *f, struct str name)
{
    uint64_t hash = hash64(name);
    struct team *t = map_get(&f->teams, hash);
    if (!t) {
        t = mem_calloc(1, sizeof(*t));
        t->name = str_dup(name);
        t->id = hash;
        retry_budget_init(&t->retries);
        retry_budget_init(&t->hedges);
        map_put(&f->teams, hash, t);
    }
    return t;
}

void
pool_schedule_dispatch(struct flow *f, struct pool *p)
{
    if (!p->dirty) {
        p->dirty = true;
        p->dirty_next = f->dirty;
        f->dirty = p;
    }
}

void
pool_schedule_dispatch_all(struct flow *f)
{
    size_t at = 0;
    struct pool *p;
    while ((p = map_next(&f->pools, &at))) {
        pool_schedule_dispatch(f, p);
    }
}

void
pool_endpoint_free(struct endpoint *ep)
{
    str_free(&ep->id);
    str_free(&ep->url);
    str_free(&ep->start_id);
    free(ep);
}

static void
apply_endpoint(struct flow *f, const struct snapshot *s,
               const struct snapshot_endpoint *in)
{
    uint64_t hash = hash64(in->id);
    struct endpoint *ep = map_get(&f->endpoints, hash);
    struct pool *p = pool_find_or_add(f, s->fleet->pools[in->pool].name);
    int cap = (int)p->settings[FLEET_MAX_IN_FLIGHT];
    if (!ep) {
        ep = mem_calloc(1, sizeof(*ep));
        ep->id = str_dup(in->id);
        ep->hash = hash;
        ep->url = str_dup(in->url);
        hist_init(&ep->warm, 256);
        limit_init(&ep->limit, cap, s->node_count);
        map_put(&f->endpoints, hash, ep);
    }
    else if (!str_eq(ep->url, in->url)) {
        str_free(&ep->url);
        ep->url = str_dup(in->url);
    }
    ep->pool = p;
    ep->zone = in->zone;
    ep->usable = in->usable;
    ep->removed = false;
    limit_set_cap(&ep->limit, cap, s->node_count);
    /* A snapshot may be older than this node's detection of a cold endpoint
     * and still say warm; only a notice ends the cold state of such an
     * endpoint. */
    if (in->cold || !ep->detected) {
        ep->cold = in->cold;
    }
    p->endpoints = mem_realloc(p->endpoints, (size_t)p->count + 1,
                               sizeof(struct endpoint *));
    p->endpoints[p->count++] = ep;
}

/* Removes the endpoints that are not in the newest snapshot, as soon as
 * nothing refers to them. */
static void
remove_gone_endpoints(struct flow *f)
{
    struct map kept = {0};
    size_t at = 0;
    struct endpoint *ep;
    while ((ep = map_next(&f->endpoints, &at))) {
        if (ep->removed && ep->in_flight == 0 && ep->credits == 0 &&
            !ep->probe_waiters) {
            ep->next_removed = f->removed_endpoints;
            f->removed_endpoints = ep;
            continue;
        }
        map_put(&kept, ep->hash, ep);
    }
    map_free(&f->endpoints);
    f->endpoints = kept;
}

void
pool_apply_snapshot(struct flow *f, struct snapshot *s)
{
    snapshot_ref(s);
    size_t at = 0;
    struct pool *p;
    while ((p = map_next(&f->pools, &at))) {
        p->index = -1;
        p->count = 0;
        p->settings = s->fleet->defaults;
    }
    for (int i = 0; i < s->fleet->pool_count; i++) {
        p = pool_find_or_add(f, s->fleet->pools[i].name);
        p->index = i;
        p->settings = s->fleet->pools[i].settings;
        fairq_configure(p->queue, (int)p->settings[FLEET_QUEUE_LIMIT],
                        p->settings[FLEET_BULK_MAX_WAIT_MS] * MS);
    }
    at = 0;
    struct endpoint *ep;
    while ((ep = map_next(&f->endpoints, &at))) {
        ep->removed = true;
        ep->usable = false;
    }
    for (int i = 0; i < s->endpoint_count; i++) {
        apply_endpoint(f, s, &s->endpoints[i]);
    }
    snapshot_unref(f->snap);
    f->snap = s;
    remove_gone_endpoints(f);
    pool_schedule_dispatch_all(f);
}

bool
pool_endpoint_usable(const struct endpoint *ep)
{
    return ep->usable && !ep->removed && !ep->leaving;
}

int
pool_usable_count(const struct pool *p)
{
    int n = 0;
    for (int i = 0; i < p->count; i++) {
        n += pool_endpoint_usable(p->endpoints[i]);
    }
    return n;
}

static int
effective_limit(const struct flow *f, const struct endpoint *ep)
{
    if (!f->full_policy) {
        return ep->limit.cap;
    }
    int n = (int)(limit_get(&ep->limit) *
                  outlier_limit_share(&ep->outlier, f->now_us));
    return n < 1 ? 1 : n;
}

int
pool_endpoint_free_slots(const struct flow *f, const struct endpoint *ep)
{
    if (!pool_endpoint_usable(ep)) {
        return 0;
    }
    int free_slots = effective_limit(f, ep) - ep->in_flight;
    if (!f->full_policy) {
        return free_slots > 0 ? free_slots : 0;
    }
    if (ep->outlier.ejected || ep->runs_suspect) {
        return 0;
    }
    if (ep->cold) {
        int credits = credit_usable_count(f, ep);
        free_slots = credits < free_slots ? credits : free_slots;
    }
    return free_slots > 0 ? free_slots : 0;
}

double
pool_capacity(const struct flow *f, const struct pool *p)
{
    double sum = 0;
    for (int i = 0; i < p->count; i++) {
        const struct endpoint *ep = p->endpoints[i];
        if (!pool_endpoint_usable(ep) || ep->outlier.ejected) {
            continue;
        }
        sum += ep->cold && f->full_policy ? 1 + ep->in_flight
                                          : effective_limit(f, ep);
    }
    return sum;
}

static bool
was_tried(const struct request *r, const struct endpoint *ep)
{
    for (int i = 0; i < r->tried_count; i++) {
        if (r->tried[i] == ep->hash) {
            return true;
        }
    }
    return false;
}

/* Expected completion time, in arbitrary units within one pool. */
static double
completion_cost(const struct flow *f, const struct endpoint *ep,
                const struct request *r, double service_us)
{
    double load = ep->in_flight;
    if (f->now_us - ep->reported_us < REPORT_VALID_US &&
        ep->reported_load > ep->in_flight) {
        /* Calls of other nodes count half, since the report lags. */
        load += (ep->reported_load - ep->in_flight) * 0.5;
    }
    double us =
        ep->outlier.latency_us > 0 ? ep->outlier.latency_us : service_us;
    double cost = (load + 1) * (us > 1 ? us : 1) / effective_limit(f, ep);
    /* The low latency of calls that fail fast must not attract calls. */
    cost /= 1.05 - outlier_failure_rate(&ep->outlier, f->now_us);
    if (r->tried_zone >= 0) {
        return ep->zone == r->tried_zone ? cost * 4 : cost;
    }
    bool local =
        !f->snap || f->snap->own_zone < 0 || ep->zone == f->snap->own_zone;
    return local ? cost : cost * REMOTE_ZONE_COST;
}

static struct endpoint *
choose_by_affinity(struct flow *f, struct pool *p, const struct request *r)
{
    int64_t affinity_us = p->settings[FLEET_AFFINITY_MS] * MS;
    struct affinity_slot *s = &p->affinity[r->prefix % AFFINITY_SLOTS];
    if (r->tried_count || s->prefix != r->prefix || !r->prefix ||
        f->now_us - s->seen_us > affinity_us) {
        return NULL;
    }
    struct endpoint *ep = map_get(&f->endpoints, s->endpoint);
    if (!ep || ep->pool != p || ep->cold || ep->reserved_for_suspect ||
        pool_endpoint_free_slots(f, ep) == 0) {
        return NULL;
    }
    int total = 1;
    int n = 0;
    for (int i = 0; i < p->count; i++) {
        if (pool_endpoint_usable(p->endpoints[i])) {
            total += p->endpoints[i]->in_flight;
            n++;
        }
    }
    double bound = AFFINITY_LOAD_MAX * total / n;
    return ep->in_flight + 1 <= (bound < 1 ? 1 : bound) ? ep : NULL;
}

static struct endpoint *
choose_without_estimates(struct flow *f, struct pool *p)
{
    struct endpoint *best = NULL;
    for (int i = 0; i < p->count; i++) {
        int at = (p->next + i) % p->count;
        struct endpoint *ep = p->endpoints[at];
        if (pool_endpoint_free_slots(f, ep) == 0) {
            continue;
        }
        if (f->opts.policy == FLOW_POLICY_ROUND_ROBIN) {
            p->next = (at + 1) % p->count;
            return ep;
        }
        if (!best || ep->in_flight < best->in_flight) {
            best = ep;
        }
    }
    p->next = (p->next + 1) % p->count;
    return best;
}

/* Reserves the least loaded endpoint, so that it becomes idle. */
static void
reserve_least_loaded(struct flow *f, struct pool *p)
{
    struct endpoint *best = NULL;
    for (int i = 0; i < p->count; i++) {
        struct endpoint *ep = p->endpoints[i];
        if (!pool_endpoint_usable(ep) || ep->outlier.ejected || ep->cold) {
            continue;
        }
        if (ep->reserved_for_suspect) {
            return;
        }
        if (!best || ep->in_flight < best->in_flight) {
            best = ep;
        }
    }
    /* The last warm endpoint stays available to other requests. */
    if (best && pool_capacity(f, p) > effective_limit(f, best)) {
        best->reserved_for_suspect = true;
    }
}

struct endpoint *
pool_choose_endpoint(struct flow *f, struct pool *p, const struct request *r,
                     bool idle)
{
    if (p->count == 0) {
        return NULL;
    }
    if (!f->full_policy) {
        return choose_without_estimates(f, p);
    }
    bool generate = r->pipeline->stages[r->stage].kind == STAGE_GENERATE;
    struct endpoint *best =
        generate && !idle ? choose_by_affinity(f, p, r) : NULL;
    if (best) {
        return best;
    }
    double service_us = (double)admit_stage_service_us(f, r, r->stage, 0.5);
    double best_cost = 0;
    struct endpoint *best_tried = NULL; /* best of the tried endpoints */
    double best_tried_cost = 0;
    bool untried = false;
    p->next = (p->next + 1) % p->count;
    for (int i = 0; i < p->count; i++) {
        struct endpoint *ep = p->endpoints[(p->next + i) % p->count];
        bool tried = was_tried(r, ep);
        untried |= !tried && pool_endpoint_usable(ep) && !ep->cold &&
                   !ep->outlier.ejected;
        if (pool_endpoint_free_slots(f, ep) == 0 ||
            (idle && ep->in_flight > 0) ||
            (!idle && ep->reserved_for_suspect)) {
            continue;
        }
        double cost = completion_cost(f, ep, r, service_us);
        /* Credits expire soon and help an endpoint to become warm, so cold
         * endpoints with credits are used first. */
        cost = ep->cold ? cost * 0.01 : cost;
        if (tried ? !best_tried || cost < best_tried_cost
                  : !best || cost < best_cost) {
            *(tried ? &best_tried : &best) = ep;
            *(tried ? &best_tried_cost : &best_cost) = cost;
        }
    }
    best = best || untried ? best : best_tried;
    if (best && generate) {
        p->affinity[r->prefix % AFFINITY_SLOTS] =
            (struct affinity_slot){r->prefix, best->hash, f->now_us};
    }
    if (idle && !best) {
        reserve_least_loaded(f, p);
    }
    return best;
}

void
pool_free_all(struct flow *f)
{
    size_t at = 0;
    struct endpoint *ep;
    while ((ep = map_next(&f->endpoints, &at))) {
        pool_endpoint_free(ep);
    }
    map_free(&f->endpoints);
    at = 0;
    struct pool *p;
    while ((p = map_next(&f->pools, &at))) {
        str_free(&p->name);
        fairq_free(p->queue);
        free(p->endpoints);
        free(p->affinity);
        free(p);
    }
    map_free(&f->pools);
    at = 0;
    struct team *t;
    while ((t = map_next(&f->teams, &at))) {
        str_free(&t->name);
        free(t);
    }
    map_free(&f->teams);
}
