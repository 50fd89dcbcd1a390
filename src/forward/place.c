#include "forward/place.h"

#include <xxhash.h>

#define MS 1000LL

/* Cost of a failure rate of 1. */
#define FAILURE_COST_US (1500 * MS)
/* Cost of an endpoint that seems to be silent: sound ones go on within a
 * second or two. */
#define SILENT_COST_US (1000 * MS)
/* Cost of each request that is already running at an engine: a larger batch
 * makes each of its steps longer. */
#define BATCH_COST_US 300
/* Assumed duration of a plain call to an endpoint without measurements. */
#define PLAIN_DEFAULT_US (20 * MS)
/* Share of the prompt's shared parts that the first and second engine in the
 * common order are assumed to cache, because other nodes send them there. */
static const double assumed_cached_share[] = {0.8, 0.3};
#define PREFERRED_ENGINES 2
/* Weight of prefilling a shared part again. It is higher than the wait of this
 * request alone, since it takes engine time from all requests. */
#define REPEATED_PREFILL_WEIGHT 2.0
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
    return (left + e->prefill_tokens) * MS / ENGINE_TOKENS_PER_MS +
           MAX(e->remote_prefill_until_us - now_us, 0);
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

/* Rendezvous hashing (highest random weight): the same order on every node. */
static uint64_t
rendezvous_rank(const struct endpoint *e, uint64_t key)
{
    uint64_t pair[2] = {e->hash, key};
    return XXH3_64bits(pair, sizeof(pair));
}

/* Finds the endpoints that come first in the common order of the prompt's
 * shared parts, which are all parts but the last one. */
static void
find_preferred_engines(const GPtrArray *endpoints,
                       const struct place_prompt *p,
                       const struct endpoint *out[PREFERRED_ENGINES])
{
    out[0] = out[1] = NULL;
    if (p->count < 2) {
        return;
    }
    uint64_t key = p->chain[p->count - 2];
    for (guint i = 0; i < endpoints->len; i++) {
        const struct endpoint *e = g_ptr_array_index(endpoints, i);
        if (!e->usable || e->leaving || e->withheld) {
            continue;
        }
        if (!out[0] ||
            rendezvous_rank(e, key) > rendezvous_rank(out[0], key)) {
            out[1] = out[0];
            out[0] = e;
        }
        else if (!out[1] ||
                 rendezvous_rank(e, key) > rendezvous_rank(out[1], key)) {
            out[1] = e;
        }
    }
}

static double
prefill_cost_us(int64_t tokens)
{
    return (double)tokens * MS / ENGINE_TOKENS_PER_MS;
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
            cost -= prefill_cost_us(
                (int64_t)(assumed_cached_share[i] * shared_tokens));
            shared_tokens *= 1 - assumed_cached_share[i];
        }
    }
    cost += REPEATED_PREFILL_WEIGHT * prefill_cost_us((int64_t)shared_tokens);
    return cost * e->slowness + e->in_flight * BATCH_COST_US * query->nodes;
}

static double
plain_cost_us(const struct endpoint *e, int64_t now_us)
{
    double call_us = e->latency_us > 0 ? e->latency_us : PLAIN_DEFAULT_US;
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
        find_preferred_engines(endpoints, query->prompt, first);
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
        if (!e->usable || e->leaving || e->withheld ||
            is_excluded(query, e, now_us)) {
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
