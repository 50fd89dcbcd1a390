#include <stdlib.h>

#include "base/clean.h"
#include "base/log.h"
#include "forward/stage_pool_state.h"

/* A call times out after this many times its expected duration plus
 * CALL_TIMEOUT_SLACK_MS. */
#define CALL_TIMEOUT_FACTOR 4
#define CALL_TIMEOUT_SLACK_MS 400
/* Time for connecting and for both directions of a call. */
#define CALL_OVERHEAD_US (3 * MS)
/* Time before an endpoint that rejected a call gets another one. */
#define REJECTION_DELAY_US (40 * MS)
/* After this many times its expected duration, the pieces of a call are also
 * given to another endpoint. Slow endpoints are slower by a factor of four or
 * five. */
#define HEDGE_FACTOR 2
#define HEDGE_SLACK_US (60 * MS)
/* Maximum number of jobs of one order without an endpoint that a dispatch
 * tries. The jobs after them seldom find one, and a long queue must not use up
 * the CPU time. */
#define MAX_UNPLACED_JOBS 256
/* Time in which the excess of an endpoint's slowness falls by half, so that it
 * is tried again. */
#define SLOWNESS_HALF_LIFE_US (2 * SECOND)

int64_t
stage_pool_call_duration_us(const struct stage_pool *p, int items)
{
    return p->limits.call_us + items * p->limits.item_us + CALL_OVERHEAD_US;
}

double
stage_pool_slowness(const struct pool_endpoint *pe, int64_t now_us)
{
    double over = pe->endpoint->slowness - 1;
    double halves =
        (double)(now_us - pe->slowness_updated_us) / SLOWNESS_HALF_LIFE_US;
    return over > 0 ? 1 + over / (1 + halves) : 1;
}

/* Selection of pieces and endpoints */

static bool
is_preferred_zone(const struct job *j, const struct pool_endpoint *pe)
{
    return !j->zone[0] || str_eq_cstr(pe->endpoint->zone, j->zone);
}

/* Jobs that hold results come first, so that their memory is freed; then those
 * that can meet their target; then late ones. */
enum order { ORDER_STARTED, ORDER_ON_TIME, ORDER_LATE, ORDER_COUNT };

static enum order
job_order(const struct job *j, int64_t now_us)
{
    if (j->holds_results) {
        return ORDER_STARTED;
    }
    return now_us > j->latest_start_us ? ORDER_LATE : ORDER_ON_TIME;
}

static struct job *
next_job(const struct stage_pool *p, int64_t now_us, const struct job *after,
         enum order order)
{
    struct job *j = after ? TAILQ_NEXT(after, link) : TAILQ_FIRST(&p->jobs);
    for (; j; j = TAILQ_NEXT(j, link)) {
        if (j->waiting_count > 0 && job_order(j, now_us) == order) {
            return j;
        }
    }
    return NULL;
}

/* Memory of all endpoints that is not needed for the remaining pieces of
 * started jobs. */
static int64_t
unreserved_memory_bytes(const struct stage_pool *p, int64_t now_us)
{
    int64_t free_bytes = 0;
    const struct job *j;
    GHashTableIter it;
    gpointer v;
    if (p->limits.result_memory_bytes <= 0) {
        return INT64_MAX;
    }
    g_hash_table_iter_init(&it, p->endpoints);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct pool_endpoint *pe = v;
        int64_t left = stage_pool_free_bytes(p, pe, now_us);
        if (pe->in_pool && endpoint_is_available(pe->endpoint, now_us) &&
            left > 0) {
            free_bytes += left;
        }
    }
    TAILQ_FOREACH(j, &p->jobs, link)
    {
        if (j->sent_any_piece) {
            free_bytes -= j->waiting_count * j->result_bytes;
        }
    }
    return free_bytes;
}

/* Returns whether the job may start. A job that has not started needs memory
 * for all its pieces, since partly completed jobs that wait for each other's
 * memory would deadlock. A job that is too large for any pool of this size is
 * let through. */
static bool
may_start(const struct stage_pool *p, const struct job *j)
{
    if (j->sent_any_piece || p->limits.result_memory_bytes <= 0) {
        return true;
    }
    int64_t total_bytes = (int64_t)g_hash_table_size(p->endpoints) *
                          p->limits.result_memory_bytes;
    int64_t needed_bytes = j->waiting_count * j->result_bytes;
    return needed_bytes > total_bytes / 2 ||
           needed_bytes <= p->unreserved_bytes;
}

static bool
is_free(const struct stage_pool *p, const struct pool_endpoint *pe,
        int64_t now_us)
{
    return pe->in_pool && endpoint_is_available(pe->endpoint, now_us) &&
           pe->endpoint->calls_in_flight < p->limits.slots &&
           now_us >= pe->last_rejection_us + REJECTION_DELAY_US;
}

/* Cost of running the job at the endpoint: the expected end of a call, plus
 * penalties for failures and another zone. */
static double
job_cost_us(const struct stage_pool *p, const struct pool_endpoint *pe,
            const struct job *j, int64_t now_us, bool busy)
{
    double cost = stage_pool_slowness(pe, now_us) *
                      (double)stage_pool_call_duration_us(p, p->limits.batch) +
                  endpoint_failure_rate(pe->endpoint, now_us) * SECOND;
    if (busy && pe->busy_until_us > now_us) {
        cost += (double)(pe->busy_until_us - now_us);
    }
    if (!is_preferred_zone(j, pe)) {
        cost += (double)j->zone_cost_us;
    }
    return cost;
}

/* Returns the best endpoint for a job if it is free now; NULL if it is better
 * to wait for a busy one or if no endpoint accepts work. */
static struct pool_endpoint *
select_endpoint(const struct stage_pool *p, const struct job *j,
                int64_t now_us)
{
    struct pool_endpoint *best = NULL;
    double best_cost = 0;
    bool best_free = false;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->endpoints);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct pool_endpoint *pe = v;
        bool idle = is_free(p, pe, now_us);
        bool busy = pe->in_pool &&
                    endpoint_is_available(pe->endpoint, now_us) && !idle;
        if (!(idle || busy) ||
            (idle && stage_pool_free_bytes(p, pe, now_us) < j->result_bytes)) {
            continue;
        }
        double cost = job_cost_us(p, pe, j, now_us, busy);
        if (!best || cost < best_cost) {
            best = pe;
            best_cost = cost;
            best_free = idle;
        }
    }
    return best_free ? best : NULL;
}

struct batch_fill {
    struct pool_call *call;
    struct piece_item *items;
    int64_t free_bytes;
};

static void
add_pieces(struct stage_pool *p, int64_t now_us, struct job *j,
           struct batch_fill *f)
{
    int64_t needed_bytes =
        j->sent_any_piece ? 0 : j->waiting_count * j->result_bytes;
    for (int i = 0; i < j->piece_count && f->call->count < p->limits.batch;
         i++) {
        struct piece *piece = &j->pieces[i];
        if (piece->state != PIECE_STATE_WAITING ||
            f->free_bytes < j->result_bytes) {
            continue;
        }
        struct piece_item *it = &f->items[f->call->count];
        it->request_id = str_from_cstr(j->request_id);
        it->stage = j->stage;
        it->piece = piece->number;
        it->remaining_ms = (j->deadline_us - now_us) / MS;
        it->key = str_from_cstr(j->piece_key);
        it->inputs = j->keyed ? NULL : j->inputs;
        it->input_count = j->input_count;
        f->call->items[f->call->count].node = j->key.node;
        f->call->items[f->call->count].stage_request = j->key.stage_request;
        f->call->items[f->call->count].piece = i;
        f->call->items[f->call->count].bytes = j->result_bytes;
        f->call->count++;
        f->free_bytes -= j->result_bytes;
        j->holds_results = j->sent_any_piece = true;
        piece->state = PIECE_STATE_SENT;
        piece->send_count++;
        piece->calls++;
        j->waiting_count--;
        p->stats.queued--;
    }
    if (j->sent_any_piece && p->limits.result_memory_bytes > 0) {
        p->unreserved_bytes -= needed_bytes;
    }
}

static void
start_call(struct stage_pool *p, int64_t now_us, struct pool_endpoint *pe,
           struct job *first)
{
    size_t batch = (size_t)p->limits.batch;
    struct pool_call *c =
        mem_calloc(1, sizeof(*c) + batch * sizeof(c->items[0]));
    CLEANUP_FREE struct piece_item *items = mem_calloc(batch, sizeof(*items));
    int64_t free_bytes = stage_pool_free_bytes(p, pe, now_us);
    struct batch_fill f = {c, items, free_bytes};
    add_pieces(p, now_us, first, &f);
    for (int order = 0; order < ORDER_COUNT; order++) {
        struct job *j = NULL;
        while (c->count < p->limits.batch &&
               (j = next_job(p, now_us, j, (enum order)order))) {
            /* Other jobs wait some time for an endpoint in their zone. */
            bool fits = is_preferred_zone(j, pe) ||
                        now_us - j->received_us > j->zone_cost_us;
            if (fits && may_start(p, j)) {
                add_pieces(p, now_us, j, &f);
            }
        }
    }
    c->id = p->io.next_call(p->io.ctx);
    c->pool_endpoint = pe;
    c->sent_us = now_us;
    c->expected_us = stage_pool_call_duration_us(p, c->count);
    pe->used_bytes += free_bytes - f.free_bytes;
    pe->busy_until_us = now_us + (int64_t)(stage_pool_slowness(pe, now_us) *
                                           (double)c->expected_us);
    pe->endpoint->calls_in_flight++;
    g_hash_table_insert(p->calls, &c->id, c);
    p->stats.calls++;
    p->stats.pieces += (uint64_t)c->count;
    struct pieces_call call = {.id = c->id,
                               .address = pe->endpoint->address,
                               .endpoint = pe->endpoint->id,
                               .timeout_ms =
                                   CALL_TIMEOUT_FACTOR * c->expected_us / MS +
                                   CALL_TIMEOUT_SLACK_MS,
                               .item_count = c->count,
                               .items = items};
    p->io.send_pieces(p->io.ctx, &call);
}

static bool
any_endpoint_free(const struct stage_pool *p, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->endpoints);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (is_free(p, v, now_us)) {
            return true;
        }
    }
    return false;
}

void
stage_pool_dispatch(struct stage_pool *p, int64_t now_us)
{
    if (!any_endpoint_free(p, now_us)) {
        return;
    }
    p->unreserved_bytes = unreserved_memory_bytes(p, now_us);
    for (int order = 0; order < ORDER_COUNT; order++) {
        struct job *j = NULL;
        int unplaced = 0;
        while (unplaced < MAX_UNPLACED_JOBS &&
               (j = next_job(p, now_us, j, (enum order)order))) {
            struct pool_endpoint *pe = NULL;
            while (j->waiting_count > 0 && may_start(p, j) &&
                   (pe = select_endpoint(p, j, now_us))) {
                start_call(p, now_us, pe, j);
            }
            unplaced += j->waiting_count > 0;
        }
    }
}

/* Requeues the pieces of calls that take far longer than expected, so that
 * another endpoint runs them as well. */
void
stage_pool_hedge_slow_calls(struct stage_pool *p, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->calls);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct pool_call *c = v;
        int64_t limit = HEDGE_FACTOR * c->expected_us + HEDGE_SLACK_US;
        if (c->hedged || now_us - c->sent_us < limit) {
            continue;
        }
        c->hedged = true;
        endpoint_record_duration(c->pool_endpoint->endpoint,
                                 now_us - c->sent_us, c->expected_us);
        c->pool_endpoint->slowness_updated_us = now_us;
        LOG_EVENT(LOG_INFO, "pieces_slow",
                  LOG_STR("endpoint", c->pool_endpoint->endpoint->id),
                  LOG_INT("count", c->count),
                  LOG_INT("ms", (now_us - c->sent_us) / MS),
                  LOG_INT("expected_ms", c->expected_us / MS));
        for (int i = 0; i < c->count; i++) {
            struct job *j = stage_pool_find_job(p, c->items[i].node,
                                                c->items[i].stage_request);
            struct piece *piece = j ? &j->pieces[c->items[i].piece] : NULL;
            if (piece && piece->state == PIECE_STATE_SENT &&
                piece->send_count < MAX_PIECE_SENDS) {
                piece->state = PIECE_STATE_WAITING;
                j->waiting_count++;
                p->stats.queued++;
                p->dispatch_needed = true;
            }
        }
    }
}
