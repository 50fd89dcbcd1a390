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
/* Maximum number of jobs without an endpoint that a dispatch tries. The jobs
 * after them seldom find one, and a long queue must not use up the CPU time.
 */
#define MAX_UNPLACED_JOBS 256
/* Weight of the time for which a job waits for a busy endpoint while another
 * one is idle. With a weight of 1, jobs wait for a better endpoint while the
 * capacity of loaded ones is lost, and find it loaded too: in
 * /stage-load/changing-load 54% of rank 0 are on time, with 4 to 6 80%, and
 * 84% if jobs never wait. With 8, they still avoid an endpoint that is about
 * five times slower than the others, as one that is about to fail. */
#define IDLE_CAPACITY_WEIGHT 8
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

/* Memory that the waiting pieces of a started job need. */
static int64_t
needed_bytes(const struct job *j)
{
    return j->waiting_count * j->result_bytes;
}

static void
add_entry(struct stage_pool *p, const struct job *j, bool contended,
          int64_t now_us)
{
    /* Calls are filled up with other pieces when the queue is long, and then
     * take longer than this job's pieces alone. */
    int others = p->limits.batch - j->piece_count;
    int64_t fill_us = others > 0 && p->stats.queued >= p->limits.batch
                          ? others * p->limits.item_us
                          : 0;
    const struct stage_order_job job = {
        .rank = j->priority,
        .team_excess =
            contended ? team_share_excess(p->share, j->team, now_us)
                      : 0, /* of j->team, once forward/team_share exists */
        .received_us = j->received_us - j->waited_before_us,
        .latest_start_us = j->latest_start_us - fill_us,
        .latest_useful_start_us = j->latest_useful_start_us,
        .has_started = j->sent_any_piece,
        .holds_large_results = j->holds_large_results};
    struct stage_order_entry e = {.job = (struct job *)j,
                                  .pieces = j->waiting_count};
    stage_order_classify(&job, now_us, &e);
    g_array_append_val(p->entries, e);
}

/* Puts the waiting jobs in the order of service, and removes from the queue
 * those that no longer wait. Sets the memory that is not needed for the
 * remaining pieces of started jobs. */
static void
arrange_queue(struct stage_pool *p, int64_t now_us)
{
    /* If all waiting pieces fit into the next call of each endpoint, no team
     * takes capacity from another one. */
    bool contended = p->stats.queued > (int)p->candidates->len *
                                           p->limits.slots * p->limits.batch;
    struct job *j;
    struct job *next;
    g_array_set_size(p->entries, 0);
    for (j = TAILQ_FIRST(&p->queue); j; j = next) {
        next = TAILQ_NEXT(j, queue_link);
        if (j->waiting_count == 0) {
            TAILQ_REMOVE(&p->queue, j, queue_link);
            j->is_queued = false;
            continue;
        }
        if (j->sent_any_piece && p->limits.result_memory_bytes > 0) {
            p->unreserved_bytes -= needed_bytes(j);
        }
        add_entry(p, j, contended, now_us);
    }
    guint count = p->entries->len;
    g_array_set_size(p->order, count);
    g_array_set_size(p->reserve, count);
    p->reserve_credit = stage_order_arrange(
        (struct stage_order_entry *)(void *)p->entries->data, (int)count,
        p->reserve_credit, p->limits.batch,
        (struct stage_order_entry *)(void *)p->order->data,
        (struct stage_order_ref *)(void *)p->reserve->data);
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
    return needed_bytes(j) > total_bytes / 2 ||
           needed_bytes(j) <= p->unreserved_bytes;
}

static bool
is_free(const struct stage_pool *p, const struct pool_endpoint *pe,
        int64_t now_us)
{
    return pe->in_pool && endpoint_is_available(pe->endpoint, now_us) &&
           pe->endpoint->calls_in_flight < p->limits.slots &&
           now_us >= pe->last_rejection_us + REJECTION_DELAY_US;
}

/* Sets what is known of an endpoint for all jobs of a dispatch.
 * @return whether it accepts work, now or after its call */
static bool
set_candidate(const struct stage_pool *p, struct pool_endpoint *pe,
              int64_t now_us, struct candidate *out)
{
    if (!pe->in_pool || !endpoint_is_available(pe->endpoint, now_us)) {
        return false;
    }
    out->pool_endpoint = pe;
    out->is_idle = is_free(p, pe, now_us);
    out->free_bytes = stage_pool_free_bytes(p, pe, now_us);
    out->planned_count = 0;
    /* What a busy endpoint has reported no longer holds when it is idle. */
    double factor = out->is_idle ? endpoint_load_factor(pe->endpoint, now_us)
                                 : p->mean_load_factor;
    out->call_us = factor * stage_pool_slowness(pe, now_us) *
                   (double)stage_pool_call_duration_us(p, p->limits.batch);
    out->wait_us = !out->is_idle && pe->busy_until_us > now_us
                       ? (double)(pe->busy_until_us - now_us)
                       : 0;
    out->cost_us =
        out->call_us + endpoint_failure_rate(pe->endpoint, now_us) * SECOND;
    return true;
}

/* Collects the endpoints and their free memory. @return the number of idle
 * ones */
static int
collect_candidates(struct stage_pool *p, int64_t now_us)
{
    int idle = 0;
    GHashTableIter it;
    gpointer v;
    p->unreserved_bytes = p->limits.result_memory_bytes > 0 ? 0 : INT64_MAX;
    g_array_set_size(p->candidates, 0);
    g_hash_table_iter_init(&it, p->endpoints);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct candidate c = {0};
        if (!set_candidate(p, v, now_us, &c)) {
            continue;
        }
        if (c.free_bytes > 0 && p->limits.result_memory_bytes > 0) {
            p->unreserved_bytes += c.free_bytes;
        }
        idle += c.is_idle;
        g_array_append_val(p->candidates, c);
    }
    return idle;
}

/* Returns the best endpoint for a job; NULL if none accepts work.
 * @param wait_weight weight of the time until a busy endpoint is idle */
static struct candidate *
find_endpoint(const struct stage_pool *p, const struct job *j,
              double wait_weight)
{
    struct candidate *best = NULL;
    double best_cost = 0;
    for (guint i = 0; i < p->candidates->len; i++) {
        struct candidate *c =
            &g_array_index(p->candidates, struct candidate, i);
        if (c->is_idle && c->free_bytes < j->result_bytes) {
            continue;
        }
        double cost = c->cost_us + wait_weight * c->wait_us;
        if (!is_preferred_zone(j, c->pool_endpoint)) {
            cost += (double)j->zone_cost_us;
        }
        if (!best || cost < best_cost) {
            best = c;
            best_cost = cost;
        }
    }
    return best;
}

/* Returns the best endpoint for a job, which may be a busy one that is worth
 * waiting for; NULL if no endpoint accepts work. */
static struct candidate *
select_endpoint(const struct stage_pool *p, const struct job *j)
{
    struct candidate *best = find_endpoint(p, j, IDLE_CAPACITY_WEIGHT);
    if (best && best->is_idle && !is_preferred_zone(j, best->pool_endpoint)) {
        /* The transfers between zones are worth a wait. */
        best = find_endpoint(p, j, 1);
    }
    return best;
}

/* Counts a job that waits for the next call of a busy endpoint, so that the
 * jobs after it do not wait for the same call when it is full, while slower
 * endpoints are idle. */
static void
plan_job(const struct stage_pool *p, const struct job *j, struct candidate *c)
{
    c->planned_count += j->waiting_count;
    while (c->planned_count >= p->limits.batch) {
        c->planned_count -= p->limits.batch;
        c->wait_us += c->call_us;
    }
}

struct batch_fill {
    struct pool_call *call;
    struct piece_item *items;
    int64_t free_bytes;
    int reserve_count;
    int late_count;
};

static void
add_pieces(struct stage_pool *p, int64_t now_us, struct job *j,
           bool from_reserve, struct batch_fill *f)
{
    int64_t newly_needed_bytes = j->sent_any_piece ? 0 : needed_bytes(j);
    int before = f->call->count;
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
        j->sent_any_piece = true;
        piece->state = PIECE_STATE_SENT;
        piece->sent_us = now_us;
        piece->send_count++;
        piece->calls++;
        j->waiting_count--;
        p->stats.queued--;
    }
    if (j->sent_any_piece && p->limits.result_memory_bytes > 0) {
        p->unreserved_bytes -= newly_needed_bytes;
    }
    int added = f->call->count - before;
    f->reserve_count += from_reserve ? added : 0;
    f->late_count += now_us > j->latest_start_us ? added : 0;
    team_share_charge(p->share, j->team, added, now_us);
    p->reserve_credit = stage_order_charge(p->reserve_credit, from_reserve,
                                           added, p->limits.batch);
}

/* Fills a call with the pieces of the job at index @p first in the order of
 * service, and of those after it. */
static void
start_call(struct stage_pool *p, int64_t now_us, struct pool_endpoint *pe,
           guint first)
{
    size_t batch = (size_t)p->limits.batch;
    struct pool_call *c =
        mem_calloc(1, sizeof(*c) + batch * sizeof(c->items[0]));
    CLEANUP_FREE struct piece_item *items = mem_calloc(batch, sizeof(*items));
    int64_t free_bytes = stage_pool_free_bytes(p, pe, now_us);
    struct batch_fill f = {c, items, free_bytes, 0, 0};
    for (guint i = first; i < p->order->len && c->count < p->limits.batch;
         i++) {
        const struct stage_order_entry *e =
            &g_array_index(p->order, struct stage_order_entry, i);
        struct job *j = e->job;
        /* Other jobs wait some time for an endpoint in their zone. */
        bool fits = i == first || is_preferred_zone(j, pe) ||
                    now_us - j->received_us > j->zone_cost_us;
        if (j->waiting_count > 0 && fits && may_start(p, j)) {
            add_pieces(p, now_us, j, e->from_reserve, &f);
        }
    }
    c->id = p->io.next_call(p->io.ctx);
    c->pool_endpoint = pe;
    c->sent_us = now_us;
    c->expected_us =
        (int64_t)(endpoint_load_factor(pe->endpoint, now_us) *
                  (double)stage_pool_call_duration_us(p, c->count));
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
                               .items = items,
                               .reserve_count = f.reserve_count,
                               .late_count = f.late_count};
    p->io.send_pieces(p->io.ctx, &call);
}

void
stage_pool_dispatch(struct stage_pool *p, int64_t now_us)
{
    int unplaced = 0;
    int idle = collect_candidates(p, now_us);
    if (idle == 0) {
        return;
    }
    arrange_queue(p, now_us);
    for (guint i = 0;
         i < p->order->len && idle > 0 && unplaced < MAX_UNPLACED_JOBS; i++) {
        struct job *j =
            g_array_index(p->order, struct stage_order_entry, i).job;
        while (j->waiting_count > 0 && may_start(p, j)) {
            struct candidate *c = select_endpoint(p, j);
            if (!c || !c->is_idle) {
                if (c) {
                    plan_job(p, j, c);
                }
                break;
            }
            start_call(p, now_us, c->pool_endpoint, i);
            set_candidate(p, c->pool_endpoint, now_us, c);
            idle -= !c->is_idle;
        }
        unplaced += j->waiting_count > 0;
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
                stage_pool_enqueue(p, j);
                p->dispatch_needed = true;
            }
        }
    }
}
