#include "forward/forward.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "forward/crashes.h"
#include "forward/state.h"
#include "forward/versions.h"

/* An unknown route or credential is refused permanently only if the
 * configuration is at most this old; otherwise it may have been added since.
 */
#define CONFIG_FRESH_US (2500 * MS)
/* Retry-After of a refusal that another node may not give. */
#define RETRY_AFTER_MS 300
/* Number of recent latencies that the quantiles are computed from. */
#define HIST_SAMPLES 2000

struct forward *
forward_new(const struct forward_options *opts, const struct forward_io *io)
{
    struct forward *f = mem_calloc(1, sizeof(*f));
    f->opts = *opts;
    f->opts.zone = str_dup(opts->zone);
    f->io = *io;
    rng_seed(&f->rng, opts->seed);
    /* Owners keep the stage requests of the previous process under its ids,
     * and send their results for seconds after it has ended. A random start
     * avoids reusing these ids. */
    f->next_call = rng_next(&f->rng) >> 1;
    f->self = hash64(opts->node);
    f->requests_check_us = INT64_MAX;
    f->accept_until_us = f->finish_by_us = INT64_MAX;
    f->contact_due_us = f->owners_due_us = INT64_MAX;
    f->nodes_version = UINT64_MAX;
    g_queue_init(&f->inbox);
    crashes_init(f);
    f->returns = return_slots_new();
    f->team_counts = team_counts_new();
    hist_init(&f->latency, HIST_SAMPLES);
    hist_init(&f->first_byte, HIST_SAMPLES);
    return f;
}

static void
service_free(struct service_state *s)
{
    str_free(&s->info.name);
    g_ptr_array_free(s->endpoints, TRUE);
    wait_list_free(&s->waiting);
    team_share_free(s->share);
    free(s->rollout);
    free(s);
}

void
forward_free(struct forward *f)
{
    size_t at = 0;
    struct request *r;
    if (!f) {
        return;
    }
    while (at = 0, (r = map_next(&f->requests, &at))) {
        req_free(f, r);
    }
    void *v;
    for (at = 0; (v = map_next(&f->pending_requests, &at));) {
        free(v);
    }
    owners_free(f);
    crashes_free(f);
    return_slots_free(f->returns);
    team_counts_free(f->team_counts);
    versions_free(f);
    for (at = 0; (v = map_next(&f->services, &at));) {
        service_free(v);
    }
    for (at = 0; (v = map_next(&f->endpoints, &at));) {
        endpoint_free(v);
    }
    map_free(&f->requests);
    map_free(&f->calls);
    map_free(&f->pending_requests);
    map_free(&f->services);
    map_free(&f->endpoints);
    stop_free(f);
    timers_free(&f->timers);
    cluster_view_unref(f->cluster_view);
    str_free(&f->opts.zone);
    free(f);
}

int
forward_node_count(const struct forward *f)
{
    return f->cluster_view ? f->cluster_view->node_count : 1;
}

bool
forward_uses_teams(const struct forward *f)
{
    return !f->opts.ignore_teams && f->cluster_view &&
           routing_has_teams(f->cluster_view->routing);
}

static struct service_state *
update_service(struct forward *f, const struct service *info)
{
    uint64_t hash = hash64(info->name);
    struct service_state *s = map_get(&f->services, hash);
    if (!s) {
        s = mem_calloc(1, sizeof(*s));
        s->hash = hash;
        s->endpoints = g_ptr_array_new();
        s->share = team_share_new();
        repeat_budget_init(&s->budget, &f->opts.repeats,
                           f->opts.predecessor_until_us);
        s->groups = 1;
        engine_model_init(&s->engine_model);
        engine_traffic_init(&s->engine_traffic);
        s->info.name = str_dup(info->name);
        map_put(&f->services, hash, s);
    }
    struct str name = s->info.name;
    s->info = *info;
    s->info.name = name;
    s->info.health_path = (struct str){0};
    g_ptr_array_set_size(s->endpoints, 0);
    return s;
}

/* Frees endpoints that have left once nothing is in flight there. */
static void
free_unused(struct forward *f, int64_t now_us)
{
    GPtrArray *unused = g_ptr_array_new();
    size_t at = 0;
    struct endpoint *e;
    while ((e = map_next(&f->endpoints, &at))) {
        if (!e->usable && e->in_flight == 0 && e->calls_in_flight == 0 &&
            !endpoint_is_remembered(e, now_us)) {
            g_ptr_array_add(unused, e);
        }
    }
    for (guint i = 0; i < unused->len; i++) {
        e = g_ptr_array_index(unused, i);
        map_remove(&f->endpoints, e->hash);
        endpoint_free(e);
    }
    g_ptr_array_free(unused, TRUE);
}

static void
set_endpoint(struct forward *f, const struct cluster_endpoint *from)
{
    const struct service *info =
        routing_service(f->cluster_view->routing, from->service);
    struct endpoint *e = map_get(&f->endpoints, hash64(from->id));
    if (!e) {
        e = endpoint_new(from);
        map_put(&f->endpoints, e->hash, e);
    }
    else if (!str_eq(e->address, from->address)) {
        str_free(&e->address);
        e->address = str_dup(from->address);
    }
    if (!str_eq(e->version, from->version)) {
        str_free(&e->version);
        e->version = str_dup(from->version);
    }
    e->service = hash64(info->name);
    e->usable = true;
    endpoint_set_start(e, from->started_ms);
    e->cold_requests_per_s = info->cold_requests_per_s;
    e->cold_us = info->cold_us;
    e->engine_tokens = info->engine_tokens;
    e->engine_slots = info->engine_slots;
    if (from->cold_until_us > e->cold_until_us) {
        e->cold_until_us = from->cold_until_us;
        endpoint_clear_cache(e);
    }
    struct service_state *s = map_get(&f->services, hash64(info->name));
    e->speed.model = &s->engine_model;
    e->traffic = &s->engine_traffic;
    g_ptr_array_add(s->endpoints, e);
}

void
forward_set_site(struct forward *f, int64_t now_us,
                 struct cluster_view *cluster_view)
{
    size_t at = 0;
    void *v;
    cluster_view_unref(f->cluster_view);
    f->cluster_view = cluster_view_ref(cluster_view);
    while ((v = map_next(&f->endpoints, &at))) {
        struct endpoint *e = v;
        e->unlisted_us = e->usable ? now_us : e->unlisted_us;
        e->usable = false;
    }
    for (at = 0; (v = map_next(&f->services, &at));) {
        g_ptr_array_set_size(((struct service_state *)v)->endpoints, 0);
    }
    for (int i = 0; i < routing_service_count(cluster_view->routing); i++) {
        update_service(f, routing_service(cluster_view->routing, i));
    }
    for (int i = 0; i < cluster_view->endpoint_count; i++) {
        set_endpoint(f, &cluster_view->endpoints[i]);
    }
    /* Open requests may have planned with an endpoint that is freed below. */
    for (at = 0; (v = map_next(&f->requests, &at));) {
        struct request *r = v;
        if (r->planned_engine && !r->planned_engine->usable) {
            r->planned_engine = NULL;
        }
    }
    owners_set_site(f, now_us);
    for (at = 0; (v = map_next(&f->services, &at));) {
        versions_update(f, v);
    }
    free_unused(f, now_us);
    f->dispatch_needed = true;
}

void
forward_set_store_contact(struct forward *f, int64_t contact_us)
{
    f->contact_us = contact_us;
}

void
forward_set_options(struct forward *f, const struct forward_options *opts)
{
    f->opts.repeats = opts->repeats;
    f->opts.max_store_age_us = opts->max_store_age_us;
    f->opts.ignore_teams = opts->ignore_teams;
}

void
forward_set_fixed_engines(struct forward *f)
{
    size_t at = 0;
    struct service_state *s;
    while ((s = map_next(&f->services, &at))) {
        s->engine_model.fixed = true;
    }
}

bool
forward_accepts_teams(const struct forward *f, int64_t now_us)
{
    return f->cluster_view && f->contact_us &&
           now_us - f->contact_us <= f->opts.max_store_age_us;
}

static void
refuse_new(struct forward *f, const struct forward_request *in,
           enum errkind kind, const char *why, int64_t age_us,
           int64_t retry_ms)
{
    int status = errkind_info(kind)->http_status;
    char parts[REQ_PARTS_TEXT_BYTES];
    f->counters.refusals++;
    LOG_EVENT(LOG_INFO, "refused", LOG_STR("request", in->request_id),
              LOG_STR("host", in->host), LOG_STR("path", in->path),
              LOG_CSTR("why", why), LOG_INT("status", status),
              LOG_INT("contact_age_ms", age_us / MS),
              LOG_INT("config", f->cluster_view
                                    ? routing_version(f->cluster_view->routing)
                                    : -1),
              LOG_STR("parts", req_format_parts(in, parts)));
    f->io.refuse(f->io.ctx, in->id, kind, why, status == 503 ? retry_ms : 0);
}

/* Finds the route and the team. @return false if the request was refused */
static bool
authorize(struct forward *f, int64_t now_us, const struct forward_request *in,
          const struct route **route, int *team)
{
    int64_t age = f->contact_us ? now_us - f->contact_us : INT64_MAX / 2;
    if (!f->cluster_view) {
        refuse_new(f, in, ERRKIND_NOT_READY, "no configuration yet", age,
                   RETRY_AFTER_MS);
        return false;
    }
    const struct routing *rt = f->cluster_view->routing;
    *route = routing_find_route(rt, in->host, in->path);
    *team = -1;
    if (!*route) {
        refuse_new(f, in,
                   age > CONFIG_FRESH_US ? ERRKIND_NOT_READY
                                         : ERRKIND_NOT_FOUND,
                   "no route", age, RETRY_AFTER_MS);
        return false;
    }
    if ((*route)->is_public || !routing_requires_credentials(rt)) {
        return true;
    }
    if (age > f->opts.max_store_age_us) {
        refuse_new(f, in, ERRKIND_NOT_READY,
                   "credentials cannot be checked without the store", age,
                   RETRY_AFTER_MS);
        return false;
    }
    *team = routing_find_team_by_credential(rt, in->credential);
    if (*team < 0) {
        refuse_new(f, in,
                   age > CONFIG_FRESH_US ? ERRKIND_NOT_READY
                                         : ERRKIND_UNAUTHENTICATED,
                   "unknown credential", age, RETRY_AFTER_MS);
        return false;
    }
    return true;
}

/* Selects one of the route's services at random, by weight. */
static int
pick_target(struct forward *f, const struct route *route)
{
    double sum = 0;
    for (int i = 0; i < route->target_count; i++) {
        sum += route->targets[i].weight;
    }
    double at = rng_uniform(&f->rng) * sum;
    for (int i = 0; i < route->target_count; i++) {
        at -= route->targets[i].weight;
        if (at < 0) {
            return route->targets[i].service;
        }
    }
    return route->target_count > 0 ? route->targets[0].service : -1;
}

static struct request *
request_new(struct forward *f, int64_t now_us,
            const struct forward_request *in, const struct route *route,
            int team)
{
    struct request *r = mem_calloc(1, sizeof(*r));
    r->id = in->id;
    r->in = *in;
    r->cluster_view = cluster_view_ref(f->cluster_view);
    r->route = route;
    r->arrived_us = now_us;
    r->first_attempt_us = now_us;
    r->last_activity_us = now_us;
    r->priority = route->priority;
    r->last_event_id = in->resume_after;
    if (team >= 0) {
        const struct routing_team *t =
            routing_team(f->cluster_view->routing, team);
        r->team = t->name;
        r->team_hash = hash64(t->name);
        r->priority = t->priority >= 0 ? t->priority : route->priority;
    }
    int64_t left =
        in->caller_timeout_us >= 0 ? in->caller_timeout_us : route->timeout_us;
    if (route->timeout_us > 0 && route->timeout_us < left) {
        left = route->timeout_us;
    }
    r->deadline_us = now_us + left;
    r->target_us = now_us + route->target_us;
    r->response_start_by_us = r->deadline_us;
    if (route->caller_disconnect_us > 0 &&
        route->caller_disconnect_us < left) {
        r->response_start_by_us = now_us + route->caller_disconnect_us;
    }
    place_prompt_init(&r->prompt, in);
    map_put(&f->requests, r->id, r);
    timers_add(&f->timers, r->deadline_us, TIMER_DEADLINE, r->id);
    return r;
}

/* Sets whether the request's team is within its share of the service of the
 * final call. */
static void
set_share(const struct forward *f, int64_t now_us, struct request *r)
{
    struct service_state *s = r->service;
    if (!forward_uses_teams(f)) {
        return;
    }
    if (team_share_excess(s->share, r->team_hash, now_us) > 0) {
        s->above_share_us = now_us;
        r->share = REQ_SHARE_ABOVE;
    }
    else if (s->above_share_us &&
             now_us - s->above_share_us <= TEAM_SHARE_ACTIVE_US) {
        r->share = REQ_SHARE_WITHIN;
    }
}

void
forward_accept(struct forward *f, int64_t now_us,
               const struct forward_request *in)
{
    const struct route *route;
    int team;
    f->counters.requests++;
    if (now_us > f->accept_until_us) {
        refuse_new(f, in, ERRKIND_NOT_READY, STOP_REFUSAL,
                   now_us - f->contact_us, RETRY_AFTER_MS);
        return;
    }
    if (!authorize(f, now_us, in, &route, &team)) {
        return;
    }
    int target = pick_target(f, route);
    if (target < 0) {
        refuse_new(f, in, ERRKIND_NO_ENDPOINT, "the route has no service", 0,
                   RETRY_AFTER_MS);
        return;
    }
    bool trial = false;
    bool is_engine =
        routing_service(f->cluster_view->routing, target)->is_engine;
    if (crashes_refuses(f, now_us, in, route, is_engine, CRASH_OF_PARTS,
                        &trial)) {
        f->counters.part_refusals++;
        refuse_new(f, in, ERRKIND_NO_ENDPOINT, CRASHES_REFUSAL, 0,
                   CRASHES_RETRY_MS);
        return;
    }
    if (crashes_refuses(f, now_us, in, route, is_engine, CRASH_OF_CONTENT,
                        &trial)) {
        f->counters.poisonous++;
        refuse_new(f, in, ERRKIND_QUARANTINED,
                   "endpoints crashed while running this request", 0,
                   RETRY_AFTER_MS);
        return;
    }
    struct request *r = request_new(f, now_us, in, route, team);
    r->trial = trial;
    r->service = map_get(
        &f->services,
        hash64(routing_service(f->cluster_view->routing, target)->name));
    repeat_budget_request(&r->service->budget, now_us);
    if (!pieces_init(f, now_us, r)) {
        req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT, "a stage has no service",
                   0);
        return;
    }
    returns_arrive(f, now_us, r);
    set_share(f, now_us, r);
    /* A caller that returns in its time goes before new ones, whose wait does
     * not apply to it, unless it would take the time of other teams. */
    bool before_new = r->wait.returning && r->share != REQ_SHARE_ABOVE;
    int64_t send_us = now_us + (before_new ? pieces_remaining_us(r)
                                           : pieces_expected_us(now_us, r));
    if (stop_refuses(f, r, send_us)) {
        req_refuse(f, now_us, r, ERRKIND_NOT_READY, STOP_REFUSAL, 0);
        return;
    }
    int64_t ready_us = send_us + pieces_final_call_us(now_us, r);
    if (ready_us > r->response_start_by_us) {
        returns_refuse(f, now_us, r, ERRKIND_DEADLINE_UNMEETABLE,
                       "the stages take longer than the caller waits",
                       (ready_us - r->response_start_by_us) / MS,
                       waits_slowest_service(now_us, r));
        return;
    }
    timers_add(&f->timers, r->response_start_by_us - REFUSE_EARLY_US,
               TIMER_START_TIMEOUT, r->id);
    if (pieces_request_ready(f, now_us, r)) {
        req_send_or_wait(f, now_us, r);
    }
}

void
forward_caller_disconnected(struct forward *f, int64_t now_us,
                            uint64_t request)
{
    struct request *r = map_get(&f->requests, request);
    if (r) {
        f->counters.gone++;
        LOG_EVENT(LOG_INFO, "caller_gone",
                  LOG_STR("request", r->in.request_id),
                  LOG_STR("route", r->route->name), LOG_INT("state", r->state),
                  LOG_INT("ms", (now_us - r->arrived_us) / MS));
        r->last_activity_us = now_us;
        req_free(f, r);
    }
}

static void
handle_timer(struct forward *f, int64_t now_us, const struct timer *t)
{
    struct request *r;
    switch (t->kind) {
    case TIMER_DEADLINE:
        r = map_get(&f->requests, t->id);
        if (r) {
            response_handle_deadline(f, now_us, r);
        }
        break;
    case TIMER_START_TIMEOUT:
        r = map_get(&f->requests, t->id);
        if (r && !r->call && !r->response_started) {
            response_handle_deadline(f, now_us, r);
        }
        break;
    case TIMER_STAGE_DUE:
        r = map_get(&f->requests, t->id);
        if (r) {
            pieces_request_postponed(f, now_us, r);
        }
        break;
    case TIMER_FETCH_TIMEOUT:
        response_handle_fetch_timeout(f, now_us, t->id);
        break;
    case TIMER_SILENCE:
        response_handle_silence(f, now_us, t->id);
        break;
    default:
        break;
    }
}

/* Minimum time between runs while pieces wait for endpoints that do not accept
 * work. */
#define DISPATCH_RETRY_US (20 * MS)

void
forward_run(struct forward *f, int64_t now_us)
{
    struct timer t;
    while (timers_pop_due(&f->timers, now_us, &t)) {
        handle_timer(f, now_us, &t);
    }
    bool dispatch = f->dispatch_needed;
    size_t at = 0;
    struct service_state *s;
    f->dispatch_needed = false;
    while ((s = map_next(&f->services, &at))) {
        if (s->waiting.count > 0 &&
            (dispatch || now_us >= s->waiting_retry_us)) {
            req_retry_waiting(f, now_us, s);
        }
    }
    f->last_run_us = now_us;
    stop_run(f, now_us);
    returns_run(f, now_us);
    crashes_run(f, now_us);
    versions_run(f, now_us);
    owners_run(f, now_us);
}

int64_t
forward_next_wakeup_us(const struct forward *f)
{
    int64_t at = timers_next_due_us(&f->timers);
    int64_t owners = owners_next_wakeup_us(f);
    at = MIN(at, crashes_next_wakeup_us(f));
    at = MIN(at, return_slots_notice_due_us(f->returns));
    size_t i = 0;
    const struct service_state *s;
    while ((s = map_next(&f->services, &i))) {
        if (s->waiting.count > 0 && s->waiting_retry_us < at) {
            at = s->waiting_retry_us;
        }
    }
    if (f->dispatch_needed || owners == 0) {
        return 0;
    }
    if (owners < f->last_run_us + DISPATCH_RETRY_US) {
        owners = f->last_run_us + DISPATCH_RETRY_US;
    }
    return owners < at ? owners : at;
}

int
forward_open_requests(const struct forward *f)
{
    return (int)f->requests.count;
}

void
forward_metrics(const struct forward *f, struct buf *out)
{
#define X(id, help)                                                           \
    buf_printf(out,                                                           \
               "# HELP cf_forward_" #id "_total " help "\n"                   \
               "cf_forward_" #id "_total %" PRIu64 "\n",                      \
               f->counters.id);
    FORWARD_COUNTER_LIST(X)
#undef X
    static const double at[] = {0.5, 0.9, 0.99};
    for (size_t i = 0; i < G_N_ELEMENTS(at); i++) {
        buf_printf(out, "cf_forward_latency_us{quantile=\"%g\"} %" PRId64 "\n",
                   at[i], hist_quantile(&f->latency, at[i]));
        buf_printf(out,
                   "cf_forward_first_byte_us{quantile=\"%g\"} %" PRId64 "\n",
                   at[i], hist_quantile(&f->first_byte, at[i]));
    }
    team_counts_metrics(f->team_counts, out);
    buf_printf(out, "cf_forward_open %d\n", forward_open_requests(f));
    buf_printf(out, "cf_forward_nodes %d\n", forward_node_count(f));
}
