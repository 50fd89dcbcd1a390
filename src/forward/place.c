#include "forward/place.h"

#include <xxhash.h>

#define MS 1000LL

/* A failing endpoint is as far away as this much time. */
#define FAILURE_COST_US (1500 * MS)
/* Cost of each request that runs at an engine already: a larger batch makes
 * each of its steps longer. */
#define BATCH_COST_US 300
/* A plain call that was never timed is taken to last this long. */
#define PLAIN_DEFAULT_US (20 * MS)
/* Share of the shared parts that the engines which are first and second in the
 * common order are taken to hold, because other nodes send them there. */
static const double common_share[] = {0.8, 0.3};
#define COMMON_ENGINES 2
/* Reading a shared part once more takes an engine's time from all requests, so
 * it weighs this much more than the time that this request waits for it. */
#define REREAD_WEIGHT 2.0
/* Load reports older than this say nothing. */
#define REPORT_AGE_US (400 * MS)

void
place_prompt(struct place_prompt *p, const struct forward_request *r)
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
place_read_us(const struct endpoint *e, const struct place_prompt *p,
              int64_t now_us, int64_t *uncached)
{
    int64_t left = p->total - endpoint_held(e, p->chain, p->tokens, p->count);
    if (uncached) {
        *uncached = left;
    }
    return (left + e->reading) * MS / ENGINE_TOKENS_PER_MS +
           MAX(e->told_until_us - now_us, 0);
}

static bool
tried(const struct place_ask *ask, const struct endpoint *e)
{
    for (int i = 0; i < ask->tried_count; i++) {
        if (ask->tried[i] == e->hash) {
            return true;
        }
    }
    return false;
}

/* Highest random weight: the same order on every node. */
static uint64_t
rank(const struct endpoint *e, uint64_t key)
{
    uint64_t pair[2] = {e->hash, key};
    return XXH3_64bits(pair, sizeof(pair));
}

/* The endpoints that come first in the common order of the prompt's shared
 * parts, which are all but the last one. */
static void
first_in_order(const GPtrArray *endpoints, const struct place_prompt *p,
               const struct endpoint *out[COMMON_ENGINES])
{
    out[0] = out[1] = NULL;
    if (p->count < 2) {
        return;
    }
    uint64_t key = p->chain[p->count - 2];
    for (guint i = 0; i < endpoints->len; i++) {
        const struct endpoint *e = g_ptr_array_index(endpoints, i);
        if (!e->usable) {
            continue;
        }
        if (!out[0] || rank(e, key) > rank(out[0], key)) {
            out[1] = out[0];
            out[0] = e;
        }
        else if (!out[1] || rank(e, key) > rank(out[1], key)) {
            out[1] = e;
        }
    }
}

static double
read_cost(int64_t tokens)
{
    return (double)tokens * MS / ENGINE_TOKENS_PER_MS;
}

static double
engine_cost(const struct endpoint *e, const struct place_ask *ask,
            int64_t now_us, const struct endpoint *const first[COMMON_ENGINES])
{
    const struct place_prompt *p = ask->prompt;
    int64_t uncached;
    double cost = (double)place_read_us(e, p, now_us, &uncached);
    int64_t own = p->count > 0 ? p->tokens[p->count - 1] : p->total;
    double again = uncached > own ? (double)(uncached - own) : 0;
    for (int i = 0; i < COMMON_ENGINES; i++) {
        if (e == first[i]) {
            cost -= read_cost((int64_t)(common_share[i] * again));
            again *= 1 - common_share[i];
        }
    }
    cost += REREAD_WEIGHT * read_cost((int64_t)again);
    return cost * e->slowness + e->in_flight * BATCH_COST_US * ask->nodes;
}

static double
plain_cost(const struct endpoint *e, int64_t now_us)
{
    double each = e->latency_us > 0 ? e->latency_us : PLAIN_DEFAULT_US;
    int ahead = e->in_flight;
    if (e->running >= 0 && now_us - e->reported_us < REPORT_AGE_US) {
        int reported = e->running + e->waiting;
        ahead = reported > ahead ? reported : ahead;
    }
    return each * (1 + ahead);
}

struct endpoint *
place_choose(const GPtrArray *endpoints, const struct place_ask *ask,
             int64_t now_us)
{
    struct endpoint *best = NULL;
    double best_cost = 0;
    const struct endpoint *first[COMMON_ENGINES] = {NULL, NULL};
    if (ask->prompt) {
        first_in_order(endpoints, ask->prompt, first);
    }
    for (guint i = 0; i < endpoints->len; i++) {
        struct endpoint *e = g_ptr_array_index(endpoints, i);
        if (!endpoint_open(e, now_us) || tried(ask, e)) {
            continue;
        }
        double cost = ask->prompt ? engine_cost(e, ask, now_us, first)
                                  : plain_cost(e, now_us);
        cost += endpoint_failures(e, now_us) * FAILURE_COST_US;
        if (!str_eq(e->zone, ask->zone)) {
            cost += (double)ask->zone_penalty_us;
        }
        if (!best || cost < best_cost) {
            best = e;
            best_cost = cost;
        }
    }
    return best;
}

int64_t
place_next_us(const GPtrArray *endpoints, const struct place_ask *ask,
              int64_t now_us)
{
    int64_t next = INT64_MAX;
    for (guint i = 0; i < endpoints->len; i++) {
        const struct endpoint *e = g_ptr_array_index(endpoints, i);
        if (!e->usable || tried(ask, e)) {
            continue;
        }
        int64_t at = now_us;
        if (e->ejected_until_us > at) {
            at = e->ejected_until_us;
        }
        if (e->cold_per_s > 0 && at < e->cold_until_us &&
            e->cold_next_us > at) {
            at = e->cold_next_us;
        }
        next = at < next ? at : next;
    }
    return next;
}
