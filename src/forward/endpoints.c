#include "forward/endpoints.h"

#include <math.h>
#include <stdlib.h>

#include "base/hash.h"
#include "base/log.h"

#define MS 1000LL
#define SECOND 1000000LL

/* Weight of the newest call in moving averages. */
#define FAILURE_WEIGHT 0.15
#define LATENCY_WEIGHT 0.2
#define SLOWNESS_WEIGHT 0.25
#define FAILURE_HALF_LIFE_US (3 * SECOND)
/* Number of consecutive failures that eject an endpoint, and for how long; the
 * time doubles with each further failure. A refused connection ejects at once.
 */
#define EJECT_FAILURES 4
#define EJECT_MIN_US (500 * MS)
#define EJECT_MAX_US (4 * SECOND)
/* An endpoint is taken for silent for this time after a call to it was given
 * up for that, unless something is received. */
#define SILENT_MEMORY_US (2 * SECOND)
/* An engine that sends no event of any of its streams for this time is silent:
 * twice the longest pause that callers take for normal. */
#define SILENT_STREAMS_US (500 * MS)
/* Share of an engine's memory that cached parts are assumed to fill. */
#define CACHE_SHARE 0.8
/* Limit on the counted prefill time of other nodes' prompts, since some of
 * them end early. The longest prompts take about a second to prefill. */
#define REMOTE_PREFILL_MAX_US (3 * SECOND)
/* Limits of what an endpoint may say of its load, so that a false report does
 * not exclude it or draw all work to it. */
#define LOAD_PERCENT_MIN 20
#define LOAD_PERCENT_MAX 1000
#define LOAD_PERCENT_AGE_US 400000
/* Upper bound of the slowness, so that a single call does not exclude an
 * endpoint. */
#define SLOWNESS_MAX 10.0

/* An endpoint that leaves is gone, and its record with it, within this time
 * after the record was missing for the first time. */
#define LEAVING_MEMORY_US (600 * SECOND)

struct part {
    int tokens;
    int64_t used_us;
};

struct endpoint *
endpoint_new(const struct cluster_endpoint *from)
{
    struct endpoint *e = mem_calloc(1, sizeof(*e));
    e->id = str_dup(from->id);
    e->address = str_dup(from->address);
    e->zone = str_dup(from->zone);
    e->version = str_dup(from->version);
    e->hash = hash64(from->id);
    e->slowness = 1.0;
    e->reported_running = -1;
    e->started_ms = from->started_ms;
    e->cached_parts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return e;
}

void
endpoint_free(struct endpoint *e)
{
    str_free(&e->id);
    str_free(&e->address);
    str_free(&e->zone);
    str_free(&e->version);
    g_hash_table_destroy(e->cached_parts);
    free(e);
}

void
endpoint_apply_load(struct endpoint *e, int64_t now_us, int percent)
{
    if (percent > 0) {
        e->load_percent = CLAMP(percent, LOAD_PERCENT_MIN, LOAD_PERCENT_MAX);
        e->load_percent_us = now_us;
    }
}

double
endpoint_load_factor(const struct endpoint *e, int64_t now_us)
{
    int64_t age = now_us - e->load_percent_us;
    if (e->load_percent == 0 || age >= LOAD_PERCENT_AGE_US) {
        return 1;
    }
    return 1 + (e->load_percent / 100.0 - 1) *
                   (1 - (double)MAX(age, 0) / LOAD_PERCENT_AGE_US);
}

static double
moving_average(double before, double value)
{
    return before > 0 ? before * (1 - LATENCY_WEIGHT) + value * LATENCY_WEIGHT
                      : value;
}

void
endpoint_record_success(struct endpoint *e, int64_t now_us, int64_t latency_us)
{
    e->failure_rate *= 1 - FAILURE_WEIGHT;
    e->consecutive_failures = 0;
    e->ejected_until_us = 0;
    if (latency_us > 0) {
        e->latency_us = moving_average(e->latency_us, (double)latency_us);
        e->normal_latency_us = moving_average(
            e->normal_latency_us,
            (double)latency_us / endpoint_load_factor(e, now_us));
    }
}

void
endpoint_record_failure(struct endpoint *e, int64_t now_us, bool refused)
{
    e->failure_rate = endpoint_failure_rate(e, now_us) * (1 - FAILURE_WEIGHT) +
                      FAILURE_WEIGHT;
    e->last_failure_us = now_us;
    e->consecutive_failures++;
    int over = refused ? e->consecutive_failures
                       : e->consecutive_failures - EJECT_FAILURES;
    if (over >= (refused ? 1 : 0)) {
        int64_t span = EJECT_MIN_US;
        for (int i = 1; i < over && span < EJECT_MAX_US; i++) {
            span *= 2;
        }
        e->ejected_until_us = now_us + span;
    }
    if (refused && e->cold_us > 0) {
        /* The endpoint was down; when it is back it has just started. */
        e->cold_until_us = now_us + EJECT_MAX_US + e->cold_us;
        endpoint_clear_cache(e);
    }
}

void
endpoint_record_duration(struct endpoint *e, int64_t actual_us,
                         int64_t expected_us)
{
    double ratio = (double)actual_us / (double)(expected_us + 1);
    ratio = ratio > SLOWNESS_MAX ? SLOWNESS_MAX : ratio;
    e->slowness =
        e->slowness * (1 - SLOWNESS_WEIGHT) + ratio * SLOWNESS_WEIGHT;
}

double
endpoint_failure_rate(const struct endpoint *e, int64_t now_us)
{
    if (e->failure_rate <= 0) {
        return 0;
    }
    return e->failure_rate *
           exp2(-(double)(now_us - e->last_failure_us) / FAILURE_HALF_LIFE_US);
}

void
endpoint_record_received(struct endpoint *e, int64_t now_us)
{
    e->received_us = now_us;
    e->silent_until_us = 0;
}

void
endpoint_record_silence(struct endpoint *e, int64_t now_us)
{
    endpoint_record_failure(e, now_us, false);
    e->silent_until_us = now_us + SILENT_MEMORY_US;
}

bool
endpoint_is_silent(const struct endpoint *e, int64_t now_us)
{
    return now_us < e->silent_until_us ||
           (e->streams > 0 && now_us - e->received_us >= SILENT_STREAMS_US);
}

void
endpoint_apply_response(struct endpoint *e, int64_t now_us, bool leaving,
                        int64_t pause_us)
{
    if (pause_us > 0 && now_us + pause_us > e->paused_until_us) {
        LOG_EVENT(LOG_INFO, "endpoint_paused", LOG_STR("endpoint", e->id),
                  LOG_INT("ms", pause_us / MS));
        e->paused_until_us = now_us + pause_us;
    }
    if (leaving && !e->leaving) {
        LOG_EVENT(LOG_INFO, "endpoint_leaving", LOG_STR("endpoint", e->id));
        e->leaving = true;
    }
}

bool
endpoint_is_remembered(const struct endpoint *e, int64_t now_us)
{
    return now_us < e->paused_until_us ||
           (e->leaving && now_us - e->unlisted_us < LEAVING_MEMORY_US);
}

void
endpoint_set_start(struct endpoint *e, int64_t started_ms)
{
    if (e->started_ms != started_ms) {
        e->started_ms = started_ms;
        engine_speed_clear(&e->speed);
        e->leaving = false;
        e->paused_until_us = 0;
    }
}

bool
endpoint_is_available(const struct endpoint *e, int64_t now_us)
{
    if (!e->usable || e->leaving || e->withheld ||
        now_us < e->ejected_until_us || now_us < e->paused_until_us) {
        return false;
    }
    return now_us >= e->cold_until_us || e->cold_requests_per_s <= 0 ||
           now_us >= e->cold_next_send_us;
}

void
endpoint_record_send(struct endpoint *e, int nodes, int64_t now_us)
{
    if (e->cold_requests_per_s > 0 && now_us < e->cold_until_us) {
        e->cold_next_send_us =
            now_us + (int64_t)((double)nodes / e->cold_requests_per_s * 1e6);
    }
}

int64_t
endpoint_cached_tokens(const struct endpoint *e, const uint64_t *chain,
                       const int *tokens, int count)
{
    int64_t held = 0;
    for (int i = 0; i < count; i++) {
        if (!g_hash_table_contains(e->cached_parts, &chain[i])) {
            break;
        }
        held += tokens[i];
    }
    return held;
}

int64_t
endpoint_used_tokens(const struct endpoint *e, int64_t since_us)
{
    GHashTableIter it;
    gpointer v;
    int64_t tokens = 0;
    g_hash_table_iter_init(&it, e->cached_parts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct part *p = v;
        tokens += p->used_us >= since_us ? p->tokens : 0;
    }
    return tokens;
}

/* Engines evict the least recently used parts. */
static void
evict_parts(struct endpoint *e)
{
    while (e->engine_tokens > 0 &&
           e->cached_tokens >
               (int64_t)(CACHE_SHARE * (double)e->engine_tokens)) {
        GHashTableIter it;
        gpointer k;
        gpointer v;
        gpointer oldest = NULL;
        int64_t oldest_us = INT64_MAX;
        g_hash_table_iter_init(&it, e->cached_parts);
        while (g_hash_table_iter_next(&it, &k, &v)) {
            const struct part *p = v;
            if (p->used_us < oldest_us) {
                oldest_us = p->used_us;
                oldest = k;
            }
        }
        if (!oldest) {
            return;
        }
        const struct part *p = g_hash_table_lookup(e->cached_parts, oldest);
        e->cached_tokens -= p->tokens;
        g_hash_table_remove(e->cached_parts, oldest);
    }
}

void
endpoint_cache_parts(struct endpoint *e, const uint64_t *chain,
                     const int *tokens, int count, int64_t now_us)
{
    for (int i = 0; i < count; i++) {
        struct part *p = g_hash_table_lookup(e->cached_parts, &chain[i]);
        if (!p) {
            uint64_t *key = g_new(uint64_t, 1);
            *key = chain[i];
            p = g_new0(struct part, 1);
            p->tokens = tokens[i];
            e->cached_tokens += tokens[i];
            g_hash_table_insert(e->cached_parts, key, p);
        }
        p->used_us = now_us;
    }
    evict_parts(e);
}

void
endpoint_apply_prefill_notice(struct endpoint *e,
                              const struct prefill_notice *n, int64_t now_us)
{
    e->remote_prefill_until_us =
        MAX(e->remote_prefill_until_us, now_us) +
        (int64_t)engine_speed_read_us(&e->speed, now_us, (double)n->tokens);
    e->remote_prefill_until_us =
        MIN(e->remote_prefill_until_us, now_us + REMOTE_PREFILL_MAX_US);
    endpoint_cache_parts(e, n->parts, n->part_tokens, n->part_count, now_us);
}

void
endpoint_clear_cache(struct endpoint *e)
{
    e->remote_prefill_until_us = 0;
    engine_load_clear_remote(&e->load);
    g_hash_table_remove_all(e->cached_parts);
    e->cached_tokens = 0;
}
