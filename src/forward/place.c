#include "forward/place.h"

#include <math.h>
#include <xxhash.h>

#define MS 1000LL

/* Cost of a failure rate of 1. */
#define FAILURE_COST_US (1500 * MS)
/* Cost of an endpoint that seems to be silent: sound ones go on within a
 * second or two. */
#define SILENT_COST_US (1000 * MS)
/* Assumed duration of a plain call to an endpoint without measurements. */
#define PLAIN_DEFAULT_US (20 * MS)
/* Share of the prompt's shared parts that the first and second engine in the
 * common order are assumed to cache, because other nodes send them there. */
static const double assumed_cached_share[] = {0.8, 0.3};
#define PREFERRED_ENGINES 2
/* Weight of prefilling a shared part again. It is higher than the wait of this
 * request alone, since it takes engine time from all requests. */
#define REPEATED_PREFILL_WEIGHT 2.0
/* Ratio of capability between two classes of engine speed. */
#define CLASS_WEIGHT 1.5
/* Engines are compared by their work if more than this share of them differs
 * from the mean in speed. */
#define DIFFERENT_SHARE 0.1
/* Cost of work that is twice an engine's share. With 200 ms, the busiest of
 * 140 engines had up to 1.36 of the mean, with 300 ms up to 1.29. Shares of
 * less than a few prompts are left to chance. */
#define IMBALANCE_COST_US (300 * MS)
#define IMBALANCE_TOKENS 3000.0
/* Spreading work means to read shared parts at more engines. At this inverse
 * of the share of their time for which engines read prompts, all of it is
 * needed for the work itself, and only queues and caches decide. */
#define SPREAD_LOSS 1.5
/* A prompt is long if it has more than this many times the mean of its service
 * to read. */
#define LONG_FACTOR 1.5
/* Part of the time in which a prompt is read that is lost to each request that
 * runs beside it. A step that reads a chunk takes about twice as long, and
 * what is late by that are later tokens, not the first one. */
#define RUNNING_WEIGHT 0.02
/* Time until the memory of engines that are full is checked again, unless a
 * request of this node ends. */
#define FULL_RETRY_US (20 * MS)
/* A part is in use for this many mean durations of a call after a request with
 * it was sent. */
#define USED_DURATIONS 1.5
/* Number of other nodes that hear of a prompt. */
#define NOTIFIED_NODES 32
/* Load reports older than this are ignored. */
#define MAX_REPORT_AGE_US (400 * MS)

void
place_prompt_init(struct place_prompt *p, const struct forward_request *r)
{
    uint64_t before = 0;
    int64_t sum = 0;
    p->count = r->part_count;
    for (int i = 0; i < r->part_count; i++) {
        uint64_t pair[2] = {before, r->parts[i].id};
        before = XXH3_64bits(pair, sizeof(pair));
        p->chain[i] = before;
        p->tokens[i] = r->parts[i].tokens;
        sum += r->parts[i].tokens;
    }
    p->total = r->prompt_tokens > sum ? r->prompt_tokens : sum;
}

int64_t
place_prefill_us(const struct endpoint *e, const struct place_prompt *p,
                 int64_t now_us, int64_t *uncached)
{
    int64_t left =
        p->total - endpoint_cached_tokens(e, p->chain, p->tokens, p->count);
    if (uncached) {
        *uncached = left;
    }
    return (int64_t)engine_speed_read_us(&e->speed, now_us,
                                         (double)(left + e->prefill_tokens)) +
           MAX(e->remote_prefill_until_us - now_us, 0);
}

double
place_remote_scale(int nodes)
{
    return nodes > NOTIFIED_NODES + 1 ? (double)(nodes - 1) / NOTIFIED_NODES
                                      : 1;
}

double
place_queued_tokens(const struct endpoint *e, int64_t now_us)
{
    return (double)e->prefill_tokens +
           (double)MAX(e->remote_prefill_until_us - now_us, 0) /
               engine_speed_read_us(&e->speed, now_us, 1);
}

/* Returns whether the query excludes an endpoint. */
static bool
is_excluded(const struct place_query *query, const struct endpoint *e,
            int64_t now_us)
{
    if (query->skip_silent && endpoint_is_silent(e, now_us)) {
        return true;
    }
    for (int i = 0; i < query->tried_count; i++) {
        if (query->tried[i] == e->hash) {
            return true;
        }
    }
    return false;
}

/* Rendezvous hashing (highest random weight): the same order on every node.
 * The weight of an engine is its capability, in classes, so that nodes whose
 * samples differ slightly agree; engines of one class are in the order of
 * their hashes. Source: Schindelhauer and Schomaker, "Weighted distributed
 * hash tables", 2005 (logarithmic method). */
static double
rendezvous_rank(const struct endpoint *e, uint64_t key, int64_t now_us)
{
    uint64_t pair[2] = {e->hash, key};
    double u = ((double)(XXH3_64bits(pair, sizeof(pair)) >> 11) + 0.5) /
               (double)(1ULL << 53);
    return pow(CLASS_WEIGHT, -engine_speed_class(&e->speed, now_us)) / -log(u);
}

/* Finds the endpoints that come first in the common order of the prompt's
 * shared parts, which are all parts but the last one. */
static void
find_preferred_engines(const GPtrArray *endpoints,
                       const struct place_prompt *p, int64_t now_us,
                       const struct endpoint *out[PREFERRED_ENGINES])
{
    out[0] = out[1] = NULL;
    if (p->count < 2) {
        return;
    }
    uint64_t key = p->chain[p->count - 2];
    double ranks[PREFERRED_ENGINES] = {0};
    for (guint i = 0; i < endpoints->len; i++) {
        const struct endpoint *e = g_ptr_array_index(endpoints, i);
        if (!e->usable || e->leaving || e->withheld) {
            continue;
        }
        double rank = rendezvous_rank(e, key, now_us);
        if (!out[0] || rank > ranks[0]) {
            out[1] = out[0];
            ranks[1] = ranks[0];
            out[0] = e;
            ranks[0] = rank;
        }
        else if (!out[1] || rank > ranks[1]) {
            out[1] = e;
            ranks[1] = rank;
        }
    }
}

/* What is compared between the engines of a service. */
struct engine_view {
    const struct endpoint *first[PREFERRED_ENGINES];
    double mean_work; /* of an engine of mean capability, in tokens; 0: the
                         engines are equally fast, so work is not compared */
    double imbalance_cost_us;
    double remote_scale;
    double expected_per_us; /* requests expected at an engine per us */
    double long_tokens; /* prompts of more tokens are long for this service; 0:
                           none are */
};

/* Compares the work of the engines only if some differ in speed: otherwise
 * queues and caches decide, as they do without this knowledge. */
static void
compare_engines(const GPtrArray *endpoints, const struct place_query *query,
                int64_t now_us, struct engine_view *v)
{
    double work = 0;
    double capability = 0;
    int count = 0;
    int different = 0;
    double us_per_token = 0;
    const struct engine_traffic *t = NULL;
    find_preferred_engines(endpoints, query->prompt, now_us, v->first);
    v->remote_scale = place_remote_scale(query->nodes);
    for (guint i = 0; i < endpoints->len; i++) {
        const struct endpoint *e = g_ptr_array_index(endpoints, i);
        if (!e->usable || e->leaving || !e->speed.model ||
            e->speed.model->fixed) {
            continue;
        }
        work += engine_load_work(&e->load, now_us);
        us_per_token = e->speed.model->us_per_token;
        capability += 1 / engine_speed_pace(&e->speed, now_us);
        different += engine_speed_class(&e->speed, now_us) != 0;
        t = e->traffic;
        count++;
    }
    if (t) {
        v->expected_per_us =
            engine_traffic_rate(t, now_us) / 1e6 / (double)count;
        v->long_tokens = LONG_FACTOR * t->uncached_mean;
    }
    if (different > DIFFERENT_SHARE * count) {
        v->mean_work = work / capability;
        /* Work per us that the mean engine gets, in us. */
        double used = engine_load_rate(v->mean_work) * us_per_token;
        v->imbalance_cost_us =
            IMBALANCE_COST_US * CLAMP(1 - SPREAD_LOSS * used, 0, 1);
    }
}

/* Cost of the work that an engine has got beyond its share; negative below it.
 */
static double
imbalance_cost_us(const struct endpoint *e, const struct engine_view *v,
                  int64_t now_us)
{
    double share = v->mean_work / engine_speed_pace(&e->speed, now_us);
    double over = engine_load_work(&e->load, now_us) - share;
    return v->imbalance_cost_us * over / (share + IMBALANCE_TOKENS);
}

/* Cost of a long prompt to the requests that run beside it, whose tokens come
 * more slowly while it is read, and to those that are expected meanwhile and
 * wait for it, half of the time on average. */
static double
neighbour_cost_us(const struct endpoint *e, const struct engine_view *v,
                  int64_t uncached, int64_t now_us)
{
    if (v->long_tokens <= 0 || (double)uncached <= v->long_tokens) {
        return 0;
    }
    double read_us = engine_speed_read_us(&e->speed, now_us, (double)uncached);
    double running = e->in_flight + v->remote_scale * engine_load_remote_count(
                                                          &e->load, now_us);
    return read_us *
           (RUNNING_WEIGHT * running + v->expected_per_us * read_us / 2);
}

static double
engine_cost_us(const struct endpoint *e, const struct place_query *query,
               int64_t now_us, const struct engine_view *v)
{
    const struct place_prompt *p = query->prompt;
    int64_t uncached;
    double cost = (double)place_prefill_us(e, p, now_us, &uncached);
    int64_t last_part_tokens =
        p->count > 0 ? p->tokens[p->count - 1] : p->total;
    double shared_tokens = uncached > last_part_tokens
                               ? (double)(uncached - last_part_tokens)
                               : 0;
    for (int i = 0; i < PREFERRED_ENGINES; i++) {
        if (e == v->first[i]) {
            cost -= engine_speed_read_us(
                &e->speed, now_us, assumed_cached_share[i] * shared_tokens);
            shared_tokens *= 1 - assumed_cached_share[i];
        }
    }
    cost += REPEATED_PREFILL_WEIGHT *
            engine_speed_read_us(&e->speed, now_us, shared_tokens);
    cost = cost * engine_speed_phase(&e->speed, now_us) +
           e->in_flight * engine_speed_running_us(&e->speed, now_us) *
               query->nodes;
    cost += neighbour_cost_us(e, v, uncached, now_us);
    return cost + (v->mean_work > 0 ? imbalance_cost_us(e, v, now_us) : 0);
}

/* Returns whether an engine has no memory left for a request. */
static bool
is_full(const struct endpoint *e, const struct place_query *query,
        int64_t now_us)
{
    if (!query->prompt || !e->speed.model || e->speed.model->fixed) {
        return false;
    }
    const struct place_prompt *p = query->prompt;
    struct engine_memory memory = {.limit_tokens = e->engine_tokens,
                                   .slots = e->engine_slots,
                                   .cached_tokens = e->cached_tokens,
                                   .remote_scale =
                                       place_remote_scale(query->nodes)};
    int64_t need = p->total -
                   endpoint_cached_tokens(e, p->chain, p->tokens, p->count) +
                   query->output_tokens;
    if (engine_load_fits(&e->load, &memory, e->in_flight, need, now_us)) {
        return false;
    }
    /* Not all parts that it caches are in use. */
    memory.cached_tokens = endpoint_used_tokens(
        e, now_us - (int64_t)(USED_DURATIONS * e->traffic->call_us));
    return !engine_load_fits(&e->load, &memory, e->in_flight, need, now_us);
}

static double
plain_cost_us(const struct endpoint *e, int64_t now_us)
{
    double call_us =
        (e->normal_latency_us > 0 ? e->normal_latency_us : PLAIN_DEFAULT_US) *
        endpoint_load_factor(e, now_us);
    int ahead = e->in_flight;
    if (e->reported_running >= 0 &&
        now_us - e->load_report_us < MAX_REPORT_AGE_US) {
        int reported = e->reported_running + e->reported_waiting;
        ahead = reported > ahead ? reported : ahead;
    }
    return call_us * (1 + ahead);
}

struct endpoint *
place_select(const GPtrArray *endpoints, const struct place_query *query,
             int64_t now_us)
{
    struct endpoint *best = NULL;
    double best_cost = 0;
    struct engine_view view = {0};
    if (query->prompt) {
        compare_engines(endpoints, query, now_us, &view);
    }
    for (guint i = 0; i < endpoints->len; i++) {
        struct endpoint *e = g_ptr_array_index(endpoints, i);
        if (!endpoint_is_available(e, now_us) ||
            is_excluded(query, e, now_us) || is_full(e, query, now_us)) {
            continue;
        }
        double cost = query->prompt ? engine_cost_us(e, query, now_us, &view)
                                    : plain_cost_us(e, now_us);
        cost += endpoint_failure_rate(e, now_us) * FAILURE_COST_US;
        cost += endpoint_is_silent(e, now_us) ? SILENT_COST_US : 0;
        if (!str_eq(e->zone, query->zone)) {
            cost += (double)query->zone_penalty_us;
        }
        if (!best || cost < best_cost) {
            best = e;
            best_cost = cost;
        }
    }
    return best;
}

bool
place_engines_full(const GPtrArray *endpoints, const struct place_query *query,
                   int64_t now_us)
{
    bool any = false;
    for (guint i = 0; i < endpoints->len; i++) {
        const struct endpoint *e = g_ptr_array_index(endpoints, i);
        if (endpoint_is_available(e, now_us) && !is_full(e, query, now_us)) {
            return false;
        }
        any |= e->usable;
    }
    return any;
}

int64_t
place_next_available_us(const GPtrArray *endpoints,
                        const struct place_query *query, int64_t now_us)
{
    int64_t next = INT64_MAX;
    for (guint i = 0; i < endpoints->len; i++) {
        const struct endpoint *e = g_ptr_array_index(endpoints, i);
        if (!e->usable || e->leaving || e->withheld ||
            is_excluded(query, e, now_us)) {
            continue;
        }
        int64_t at = MAX(now_us, MAX(e->ejected_until_us, e->paused_until_us));
        if (e->cold_requests_per_s > 0 && at < e->cold_until_us &&
            e->cold_next_send_us > at) {
            at = e->cold_next_send_us;
        }
        if (is_full(e, query, now_us)) {
            at = MAX(at, now_us + FULL_RETRY_US);
        }
        next = at < next ? at : next;
    }
    return next;
}
