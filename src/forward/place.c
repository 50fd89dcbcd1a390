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
        if (!e->usable || e->leaving) {
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

static double
engine_cost_us(const struct endpoint *e, const struct place_query *query,
               int64_t now_us,
               const struct endpoint *const first[PREFERRED_ENGINES])
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
        if (e == first[i]) {
            cost -= engine_speed_read_us(
                &e->speed, now_us, assumed_cached_share[i] * shared_tokens);
            shared_tokens *= 1 - assumed_cached_share[i];
        }
    }
    cost += REPEATED_PREFILL_WEIGHT *
            engine_speed_read_us(&e->speed, now_us, shared_tokens);
    return cost * engine_speed_phase(&e->speed, now_us) +
           e->in_flight * engine_speed_running_us(&e->speed, now_us) *
               query->nodes;
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
    const struct endpoint *first[PREFERRED_ENGINES] = {NULL, NULL};
    if (query->prompt) {
        find_preferred_engines(endpoints, query->prompt, now_us, first);
    }
    for (guint i = 0; i < endpoints->len; i++) {
        struct endpoint *e = g_ptr_array_index(endpoints, i);
        if (!endpoint_is_available(e, now_us) ||
            is_excluded(query, e, now_us)) {
            continue;
        }
        double cost = query->prompt ? engine_cost_us(e, query, now_us, first)
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

int64_t
place_next_available_us(const GPtrArray *endpoints,
                        const struct place_query *query, int64_t now_us)
{
    int64_t next = INT64_MAX;
    for (guint i = 0; i < endpoints->len; i++) {
        const struct endpoint *e = g_ptr_array_index(endpoints, i);
        if (!e->usable || e->leaving || is_excluded(query, e, now_us)) {
            continue;
        }
        int64_t at = MAX(now_us, MAX(e->ejected_until_us, e->paused_until_us));
        if (e->cold_requests_per_s > 0 && at < e->cold_until_us &&
            e->cold_next_send_us > at) {
            at = e->cold_next_send_us;
        }
        next = at < next ? at : next;
    }
    return next;
}
