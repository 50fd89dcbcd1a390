#include "base/log.h"
#include "forward/stage_pool_state.h"

/* Share of an endpoint's memory that is filled, since the sizes of results are
 * approximate. */
#define MEMORY_SHARE 0.9
/* Query interval for the free memory of an endpoint that may hold results
 * unknown to this owner. A stage call takes about as long. */
#define QUERY_INTERVAL_US (200 * MS)
#define QUERY_TIMEOUT_MS 500
/* Reports are rounded to megabytes, so they are useless for endpoints with
 * less memory than this. */
#define QUERY_MIN_BYTES 8000000
#define REPORT_ROUNDING_BYTES 500000

int64_t
stage_pool_known_free_bytes(const struct stage_pool *p,
                            const struct pool_endpoint *pe)
{
    return (int64_t)(MEMORY_SHARE * (double)p->limits.result_memory_bytes) -
           pe->used_bytes - pe->releasing_bytes;
}

/* Results that are unknown to this owner stay until they expire; they are
 * assumed to expire evenly. */
int64_t
stage_pool_free_bytes(const struct stage_pool *p,
                      const struct pool_endpoint *pe, int64_t now_us)
{
    if (p->limits.result_memory_bytes <= 0) {
        return INT64_MAX;
    }
    int64_t age = now_us - pe->unknown_bytes_us;
    int64_t unknown_bytes = 0;
    if (pe->unknown_bytes > 0 && age < p->limits.result_ttl_us) {
        unknown_bytes =
            (int64_t)((double)pe->unknown_bytes *
                      (1 - (double)age / (double)p->limits.result_ttl_us));
    }
    return stage_pool_known_free_bytes(p, pe) - unknown_bytes;
}

/* Recounts the memory in use from the remaining jobs; results of dropped jobs
 * are no longer counted. */
void
stage_pool_recount_memory(struct stage_pool *p, struct pool_endpoint *pe)
{
    const struct job *j;
    pe->used_bytes = 0;
    TAILQ_FOREACH(j, &p->jobs, link)
    {
        for (int i = 0; i < j->piece_count; i++) {
            if (j->pieces[i].handle &&
                j->pieces[i].result_endpoint == pe->endpoint) {
                pe->used_bytes += j->result_bytes;
            }
        }
    }
}

void
stage_pool_expire_results(struct stage_pool *p, int64_t now_us, struct job *j)
{
    j->next_expiry_us = INT64_MAX;
    for (int i = 0; i < j->piece_count; i++) {
        struct piece *piece = &j->pieces[i];
        if (!piece->handle) {
            continue;
        }
        if (now_us < piece->expires_us) {
            j->next_expiry_us = MIN(j->next_expiry_us, piece->expires_us);
            continue;
        }
        struct pool_endpoint *pe =
            g_hash_table_lookup(p->endpoints, piece->result_endpoint);
        if (pe) {
            pe->used_bytes -= j->result_bytes;
        }
        g_clear_pointer(&piece->handle, g_free);
        piece->result_expired = true;
        p->dispatch_needed = true;
    }
}

void
stage_pool_start_memory_queries(struct stage_pool *p, struct pool_endpoint *pe,
                                int64_t now_us)
{
    if (p->limits.result_memory_bytes >= QUERY_MIN_BYTES) {
        pe->query_until_us = now_us + p->limits.result_ttl_us;
        p->memory_query_due_us = MIN(p->memory_query_due_us, now_us);
    }
}

void
stage_pool_handle_no_memory(struct stage_pool *p, struct pool_endpoint *pe,
                            int64_t now_us)
{
    pe->unknown_bytes = stage_pool_known_free_bytes(p, pe);
    pe->unknown_bytes_us = now_us;
    stage_pool_start_memory_queries(p, pe, now_us);
}

/* Queries the free memory of endpoints that may hold unknown results. */
void
stage_pool_query_memory(struct stage_pool *p, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;
    if (now_us < p->memory_query_due_us) {
        return;
    }
    p->memory_query_due_us = INT64_MAX;
    g_hash_table_iter_init(&it, p->endpoints);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct pool_endpoint *pe = v;
        if (!pe->in_pool || now_us >= pe->query_until_us) {
            continue;
        }
        p->memory_query_due_us = now_us + QUERY_INTERVAL_US;
        if (!pe->memory_query && endpoint_is_available(pe->endpoint, now_us)) {
            struct report_call call = {p->io.next_call(p->io.ctx),
                                       pe->endpoint->address,
                                       QUERY_TIMEOUT_MS};
            pe->memory_query = call.id;
            pe->used_at_query_bytes = pe->used_bytes + pe->releasing_bytes;
            p->io.query_memory(p->io.ctx, &call);
        }
    }
}

bool
stage_pool_memory_reported(struct stage_pool *p, int64_t now_us, uint64_t call,
                           int64_t free_bytes)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->endpoints);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct pool_endpoint *pe = v;
        if (pe->memory_query != call) {
            continue;
        }
        pe->memory_query = 0;
        if (free_bytes >= 0) {
            int64_t used = p->limits.result_memory_bytes - free_bytes -
                           REPORT_ROUNDING_BYTES;
            pe->unknown_bytes = MAX(used - pe->used_at_query_bytes, 0);
            pe->unknown_bytes_us = now_us;
            p->dispatch_needed = true;
            LOG_EVENT(LOG_DEBUG, "room_reported",
                      LOG_STR("endpoint", pe->endpoint->id),
                      LOG_INT("free_kb", free_bytes / 1000),
                      LOG_INT("foreign_kb", pe->unknown_bytes / 1000));
        }
        return true;
    }
    return false;
}
