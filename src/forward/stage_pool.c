#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clean.h"
#include "base/log.h"
#include "forward/stage_pool_state.h"

/* Cost of transfers between zones, expressed as waiting time: 25 ms for each
 * megabyte, up to ZONE_PENALTY_MAX_US. */
#define ZONE_US_PER_MB (25 * MS)
#define ZONE_PENALTY_MAX_US (200 * MS)
/* Results wait this long before release, so that releases can be batched. */
#define RELEASE_DELAY_US (10 * MS)
/* A node is reminded of a stage request that it has not repeated for this
 * long. Nodes repeat a pending request after 170 ms; results are kept for four
 * seconds. */
#define REMINDER_INTERVAL_US (500 * MS)
/* Minimum interval between scans of the job list, which may hold hundreds of
 * jobs. */
#define EXPIRE_INTERVAL_US (10 * MS)
/* Interval of dispatches while pieces wait and nothing has happened: an
 * endpoint may accept work again, or a job may take one in another zone. A
 * call takes at least 150 ms. */
#define DISPATCH_INTERVAL_US (5 * MS)
#define COUNT_INTERVAL_US (20 * MS)
/* Minimum interval between pieces_late log lines: late pieces come by the
 * dozen, and a line lists all endpoints. */
#define LATE_LOG_INTERVAL_US (500 * MS)
/* Interval over which the speed of the queue is measured; a few calls. */
#define SPEED_INTERVAL_US (500 * MS)
/* Endpoints may be silent for a second or two and go on as before, so
 * intervals without a piece say nothing of the speed until this time has
 * passed. */
#define STALL_MAX_US (2500 * MS)
/* A request that holds results of this size at other endpoints is served even
 * if it is late, since others wait for that memory. */
#define LARGE_HELD_BYTES 100000

char *
stage_pool_copy_str(struct str s)
{
    return g_strndup(s.ptr ? s.ptr : "", s.len);
}

static guint
key_hash(gconstpointer p)
{
    const struct job_key *k = p;
    return (guint)XXH3_64bits(k, sizeof(*k));
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
    const struct job_key *x = a;
    const struct job_key *y = b;
    return x->node == y->node && x->stage_request == y->stage_request;
}

struct stage_pool *
stage_pool_new(const struct stage_pool_io *io)
{
    struct stage_pool *p = mem_calloc(1, sizeof(*p));
    p->io = *io;
    p->share = team_share_new();
    p->reminder_due_us = p->memory_query_due_us = INT64_MAX;
    TAILQ_INIT(&p->jobs);
    TAILQ_INIT(&p->ended);
    TAILQ_INIT(&p->queue);
    p->mean_load_factor = 1;
    p->entries = g_array_new(FALSE, FALSE, sizeof(struct stage_order_entry));
    p->order = g_array_new(FALSE, FALSE, sizeof(struct stage_order_entry));
    p->reserve = g_array_new(FALSE, FALSE, sizeof(struct stage_order_ref));
    p->candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    p->jobs_by_key = g_hash_table_new(key_hash, key_equal);
    p->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    p->endpoints = g_hash_table_new_full(NULL, NULL, NULL, free);
    p->releases = g_hash_table_new_full(NULL, NULL, NULL,
                                        (GDestroyNotify)g_ptr_array_unref);
    return p;
}

static void
job_free(struct job *j)
{
    for (int i = 0; i < j->piece_count; i++) {
        g_free(j->pieces[i].handle);
    }
    for (int i = 0; i < j->input_count; i++) {
        str_free(&j->inputs[i]);
    }
    g_free(j->request_id);
    g_free(j->zone);
    g_free(j->piece_key);
    free(j->pieces);
    free(j->inputs);
    free(j);
}

void
stage_pool_enqueue(struct stage_pool *p, struct job *j)
{
    if (!j->is_queued) {
        j->is_queued = true;
        TAILQ_INSERT_TAIL(&p->queue, j, queue_link);
    }
}

/* Unlinks a job, which is freed at the end of stage_pool_run. */
static void
unlink_job(struct stage_pool *p, struct job *j)
{
    p->stats.queued -= j->waiting_count;
    g_hash_table_remove(p->jobs_by_key, &j->key);
    if (j->is_queued) {
        TAILQ_REMOVE(&p->queue, j, queue_link);
        j->is_queued = false;
    }
    TAILQ_REMOVE(&p->jobs, j, link);
    TAILQ_INSERT_TAIL(&p->ended, j, link);
}

static void
free_jobs(struct job_list *list)
{
    struct job *j;
    while ((j = TAILQ_FIRST(list))) {
        TAILQ_REMOVE(list, j, link);
        job_free(j);
    }
}

void
stage_pool_free(struct stage_pool *p)
{
    if (!p) {
        return;
    }
    free_jobs(&p->jobs);
    free_jobs(&p->ended);
    g_hash_table_destroy(p->jobs_by_key);
    g_hash_table_destroy(p->calls);
    g_hash_table_destroy(p->endpoints);
    g_hash_table_destroy(p->releases);
    team_share_free(p->share);
    g_array_free(p->entries, TRUE);
    g_array_free(p->order, TRUE);
    g_array_free(p->reserve, TRUE);
    g_array_free(p->candidates, TRUE);
    free(p);
}

static struct pool_endpoint *
get_pool_endpoint(struct stage_pool *p, struct endpoint *e)
{
    struct pool_endpoint *pe = g_hash_table_lookup(p->endpoints, e);
    if (!pe) {
        pe = mem_calloc(1, sizeof(*pe));
        pe->endpoint = e;
        g_hash_table_insert(p->endpoints, e, pe);
    }
    return pe;
}

/* Removes the references to results at an endpoint that has left. */
static void
forget_endpoint_results(struct stage_pool *p, const struct endpoint *e)
{
    struct job *j;
    g_hash_table_remove(p->releases, e);
    TAILQ_FOREACH(j, &p->jobs, link)
    {
        for (int i = 0; i < j->piece_count; i++) {
            if (j->pieces[i].result_endpoint == e) {
                j->pieces[i].result_endpoint = NULL;
                g_clear_pointer(&j->pieces[i].handle, g_free);
            }
        }
    }
}

void
stage_pool_configure(struct stage_pool *p, int64_t now_us,
                     const struct piece_limits *limits,
                     struct endpoint *const *endpoints, int count)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    p->limits = *limits;
    p->limits.batch = limits->batch > 0 ? limits->batch : 1;
    p->limits.slots = limits->slots > 0 ? limits->slots : 1;
    g_hash_table_iter_init(&it, p->endpoints);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        ((struct pool_endpoint *)v)->in_pool = false;
    }
    for (int i = 0; i < count; i++) {
        struct pool_endpoint *pe = get_pool_endpoint(p, endpoints[i]);
        if (!pe->in_pool && !pe->was_in_pool) {
            stage_pool_start_memory_queries(p, pe, now_us);
        }
        pe->was_in_pool = pe->in_pool = true;
    }
    g_hash_table_iter_init(&it, p->endpoints);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        const struct pool_endpoint *pe = v;
        if (!pe->in_pool && pe->endpoint->calls_in_flight == 0) {
            forget_endpoint_results(p, k);
            g_hash_table_iter_remove(&it);
        }
    }
    p->dispatch_needed = true;
}

struct job *
stage_pool_find_job(const struct stage_pool *p, uint64_t node,
                    uint64_t stage_request)
{
    const struct job_key key = {node, stage_request};
    return g_hash_table_lookup(p->jobs_by_key, &key);
}

static void
count_waiting(struct stage_pool *p, int64_t now_us)
{
    const struct job *j;
    if (p->counted_us && now_us - p->counted_us < COUNT_INTERVAL_US) {
        return;
    }
    p->counted_us = now_us;
    memset(p->waiting, 0, sizeof(p->waiting));
    TAILQ_FOREACH(j, &p->queue, queue_link)
    {
        p->waiting[CLAMP(j->priority, 0, POOL_PRIORITIES - 1)] +=
            j->waiting_count;
    }
}

/* Estimates the time until new pieces of this priority would start. */
static int64_t
expected_wait_us(struct stage_pool *p, int64_t now_us, int priority)
{
    int ahead = 0;
    int open = 0;
    GHashTableIter it;
    gpointer v;
    count_waiting(p, now_us);
    for (int i = 0; i < POOL_PRIORITIES && i <= priority; i++) {
        ahead += p->waiting[i];
    }
    g_hash_table_iter_init(&it, p->endpoints);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        open += ((struct pool_endpoint *)v)->in_pool;
    }
    if (open == 0) {
        return 0;
    }
    int64_t piece_us = stage_pool_call_duration_us(p, p->limits.batch) /
                       (p->limits.batch * open * (int64_t)p->limits.slots);
    return ahead * MAX(piece_us, p->us_per_piece);
}

/* Measures how fast a lasting queue shrinks: the memory for results limits it
 * as well as the speed of the endpoints. */
static void
measure_queue_speed(struct stage_pool *p, int64_t now_us)
{
    if (p->stats.queued == 0) {
        p->interval_start_us = p->us_per_piece = 0;
        p->last_progress_us = now_us;
        return;
    }
    if (p->interval_start_us &&
        now_us - p->interval_start_us < SPEED_INTERVAL_US) {
        return;
    }
    int64_t pieces = (int64_t)p->stats.pieces - p->interval_start_pieces;
    if (pieces > 0) {
        p->last_progress_us = now_us;
    }
    if (p->interval_start_us &&
        (pieces > 0 || now_us - p->last_progress_us >= STALL_MAX_US)) {
        p->us_per_piece = (now_us - p->interval_start_us) / MAX(pieces, 1);
    }
    p->interval_start_us = now_us;
    p->interval_start_pieces = (int64_t)p->stats.pieces;
}

static void
send_ack(struct stage_pool *p, int64_t now_us, const struct job_key *key,
         int priority)
{
    struct stage_msg m = {.kind = STAGE_MSG_ACK};
    m.ack = (struct stage_ack){key->stage_request,
                               expected_wait_us(p, now_us, priority)};
    p->io.send_message(p->io.ctx, key->node, &m);
}

void
stage_pool_flush_results(struct stage_pool *p)
{
    struct stage_results *r = &p->pending_results;
    struct stage_msg m = {.kind = STAGE_MSG_RESULTS};
    p->collects_results = false;
    if (r->count == 1) {
        m.kind = STAGE_MSG_RESULT;
        m.result = (struct stage_result){.correlation_id = r->correlation_id,
                                         .piece = r->items[0].piece,
                                         .outcome = PIECE_DONE,
                                         .handle = r->items[0].handle,
                                         .maker = r->maker,
                                         .waited_us = r->waited_us};
    }
    else {
        m.results = *r;
    }
    if (r->count > 0) {
        r->count = 0;
        p->io.send_message(p->io.ctx, p->pending_results_node, &m);
    }
}

/* Adds a result to those of the same request, or sends those of another one.
 */
static void
collect_result(struct stage_pool *p, uint64_t node,
               const struct stage_result *result)
{
    struct stage_results *r = &p->pending_results;
    if (r->count > 0 &&
        (p->pending_results_node != node ||
         r->correlation_id != result->correlation_id ||
         r->waited_us != result->waited_us || r->count == STAGE_MAX_PIECES)) {
        stage_pool_flush_results(p);
        p->collects_results = true;
    }
    p->pending_results_node = node;
    r->correlation_id = result->correlation_id;
    r->maker = result->maker;
    r->waited_us = result->waited_us;
    r->items[r->count].piece = result->piece;
    r->items[r->count++].handle = result->handle;
}

void
stage_pool_send_result(struct stage_pool *p, int64_t now_us,
                       const struct job *j, const struct piece *piece,
                       enum piece_outcome outcome)
{
    struct stage_msg m = {.kind = STAGE_MSG_RESULT};
    m.result = (struct stage_result){
        .correlation_id = j->key.stage_request,
        .piece = piece->number,
        .outcome = outcome,
        .handle = str_from_cstr(piece->handle),
        .maker = piece->result_endpoint ? piece->result_endpoint->hash : 0,
        .waited_us = MAX(
            (piece->sent_us ? piece->sent_us : now_us) - j->received_us, 0)};
    if (p->collects_results && outcome == PIECE_DONE) {
        collect_result(p, j->key.node, &m.result);
        return;
    }
    p->io.send_message(p->io.ctx, j->key.node, &m);
}

static bool
is_listed(const struct stage_work_request *request, int number)
{
    for (int k = 0; k < request->piece_count; k++) {
        if (request->pieces[k] == number) {
            return true;
        }
    }
    return false;
}

/* Sends the results that a repeated request lists as missing. */
static void
resend_results(struct stage_pool *p, int64_t now_us, struct job *j,
               const struct stage_work_request *request)
{
    j->last_request_us = now_us;
    for (int i = 0; i < j->piece_count; i++) {
        struct piece *piece = &j->pieces[i];
        if (!is_listed(request, piece->number)) {
            continue;
        }
        if (piece->handle) {
            stage_pool_send_result(p, now_us, j, piece, PIECE_DONE);
        }
        else if (piece->result_expired) {
            /* The result did not reach the node while it existed. */
            piece->result_expired = false;
            piece->state = PIECE_STATE_WAITING;
            j->waiting_count++;
            p->stats.queued++;
            stage_pool_enqueue(p, j);
            p->dispatch_needed = true;
        }
    }
}

void
stage_pool_add_request(struct stage_pool *p, int64_t now_us, uint64_t node,
                       const struct stage_work_request *request)
{
    struct job *j = stage_pool_find_job(p, node, request->correlation_id);
    if (j) {
        send_ack(p, now_us, &j->key, request->priority);
        resend_results(p, now_us, j, request);
        return;
    }
    j = mem_calloc(1, sizeof(*j));
    j->key.node = node;
    j->key.stage_request = request->correlation_id;
    j->request_id = stage_pool_copy_str(request->request_id);
    j->stage = request->stage;
    j->priority = request->priority;
    j->received_us = j->last_request_us = now_us;
    j->latest_start_us = now_us + request->target_left_us;
    j->latest_useful_start_us = now_us + request->expiry_left_us;
    j->deadline_us = now_us + request->end_left_us;
    j->results_expire_us = j->deadline_us + p->limits.result_ttl_us;
    j->next_expiry_us = INT64_MAX;
    j->result_bytes = request->bytes;
    j->holds_large_results = request->held_bytes >= LARGE_HELD_BYTES;
    j->zone = stage_pool_copy_str(request->zone);
    j->zone_cost_us = request->zone_bytes * ZONE_US_PER_MB / 1000000;
    if (j->zone_cost_us > ZONE_PENALTY_MAX_US) {
        j->zone_cost_us = ZONE_PENALTY_MAX_US;
    }
    j->team = request->team;
    j->waited_before_us = request->waited_before_us;
    j->keyed = request->keyed;
    j->piece_key = stage_pool_copy_str(request->key);
    j->waiting_count = j->piece_count = request->piece_count;
    j->pieces =
        mem_calloc((size_t)request->piece_count + 1, sizeof(struct piece));
    for (int i = 0; i < request->piece_count; i++) {
        j->pieces[i].number = request->pieces[i];
    }
    j->input_count = request->input_count;
    j->inputs =
        mem_calloc((size_t)request->input_count + 1, sizeof(struct str));
    for (int i = 0; i < request->input_count; i++) {
        j->inputs[i] = str_dup(request->inputs[i]);
    }
    p->stats.queued += j->waiting_count;
    TAILQ_INSERT_TAIL(&p->jobs, j, link);
    if (j->waiting_count > 0) {
        stage_pool_enqueue(p, j);
    }
    g_hash_table_insert(p->jobs_by_key, &j->key, j);
    send_ack(p, now_us, &j->key, request->priority);
    p->dispatch_needed = true;
}

/* Release of results */

static void
schedule_release(struct stage_pool *p, int64_t at_us)
{
    if (!p->release_due_us || at_us < p->release_due_us) {
        p->release_due_us = at_us;
    }
}

void
stage_pool_release_result(struct stage_pool *p, int64_t now_us,
                          struct endpoint *e, const char *handle,
                          int64_t bytes)
{
    struct pool_endpoint *pe = g_hash_table_lookup(p->endpoints, e);
    if (pe) {
        pe->releasing_bytes += bytes;
    }
    GPtrArray *list = g_hash_table_lookup(p->releases, e);
    if (!list) {
        list = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(p->releases, e, list);
    }
    g_ptr_array_add(list, g_strdup(handle));
    schedule_release(p, MAX(now_us + RELEASE_DELAY_US, e->paused_until_us));
}

static void
flush_releases(struct stage_pool *p, int64_t now_us)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    if (!p->release_due_us || now_us < p->release_due_us) {
        return;
    }
    p->release_due_us = 0;
    g_hash_table_iter_init(&it, p->releases);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        const struct endpoint *e = k;
        const GPtrArray *list = v;
        if (now_us < e->paused_until_us) {
            schedule_release(p, e->paused_until_us);
            continue;
        }
        CLEANUP_FREE struct str *handles =
            mem_calloc(list->len, sizeof(*handles));
        for (guint i = 0; i < list->len; i++) {
            handles[i] = str_from_cstr(g_ptr_array_index(list, i));
        }
        struct release_call call = {e->address, (int)list->len, handles};
        p->io.release_results(p->io.ctx, &call);
        struct pool_endpoint *pe = g_hash_table_lookup(p->endpoints, e);
        if (pe) {
            pe->releasing_bytes = 0;
        }
        g_hash_table_iter_remove(&it);
    }
}

static void
drop_result(struct stage_pool *p, int64_t now_us, struct job *j,
            struct piece *piece)
{
    if (!piece->handle) {
        return;
    }
    if (piece->result_endpoint) {
        struct pool_endpoint *pe =
            g_hash_table_lookup(p->endpoints, piece->result_endpoint);
        if (pe) {
            pe->used_bytes -= j->result_bytes;
        }
        stage_pool_release_result(p, now_us, piece->result_endpoint,
                                  piece->handle, j->result_bytes);
    }
    g_clear_pointer(&piece->handle, g_free);
}

static void
drop_job(struct stage_pool *p, int64_t now_us, struct job *j)
{
    for (int i = 0; i < j->piece_count; i++) {
        drop_result(p, now_us, j, &j->pieces[i]);
    }
    unlink_job(p, j);
    p->dispatch_needed = true;
}

/* Drops pieces that have not started, because another owner runs them now. */
static void
drop_waiting(struct stage_pool *p, struct job *j)
{
    for (int i = 0; i < j->piece_count; i++) {
        if (j->pieces[i].state == PIECE_STATE_WAITING) {
            j->pieces[i].state = PIECE_STATE_DONE;
        }
    }
    p->stats.queued -= j->waiting_count;
    j->waiting_count = 0;
}

bool
stage_pool_drop_request(struct stage_pool *p, int64_t now_us, uint64_t node,
                        const struct stage_drop *drop)
{
    struct job *j = stage_pool_find_job(p, node, drop->correlation_id);
    if (j && drop->keep_results) {
        drop_waiting(p, j);
    }
    else if (j) {
        drop_job(p, now_us, j);
    }
    return j != NULL;
}

/* Logs why pieces are late: the state of all endpoints of the pool. */
static void
log_late(struct stage_pool *p, int64_t now_us, const struct job *j)
{
    GHashTableIter it;
    gpointer v;
    struct buf states = {0};
    if (now_us - p->last_late_log_us < LATE_LOG_INTERVAL_US) {
        return;
    }
    p->last_late_log_us = now_us;
    g_hash_table_iter_init(&it, p->endpoints);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct pool_endpoint *pe = v;
        buf_printf(&states, "%.*s:open=%d,calls=%d,room_kb=%lld,slow=%.1f ",
                   STR_FMT(pe->endpoint->id),
                   pe->in_pool && endpoint_is_available(pe->endpoint, now_us),
                   pe->endpoint->calls_in_flight,
                   (long long)(stage_pool_free_bytes(p, pe, now_us) / 1000),
                   stage_pool_slowness(pe, now_us));
    }
    LOG_EVENT(LOG_INFO, "pieces_late", LOG_CSTR("request", j->request_id),
              LOG_INT("stage", j->stage), LOG_INT("pieces", j->waiting_count),
              LOG_INT("waited_ms", (now_us - j->received_us) / MS),
              LOG_INT("queued", p->stats.queued),
              LOG_INT("kb", j->result_bytes / 1000),
              LOG_STR("endpoints", buf_str(&states)));
    buf_free(&states);
}

/* Ends jobs whose pieces cannot start in time, and jobs whose results have
 * expired. Reminds nodes that have not repeated a request: the node may have
 * dropped it, or be a new process. It replies to an acknowledgement of an
 * unknown request with a drop. */
static void
expire_jobs(struct stage_pool *p, int64_t now_us)
{
    struct job *j;
    struct job *next;
    if (now_us < p->expire_due_us) {
        return;
    }
    p->expire_due_us = now_us + EXPIRE_INTERVAL_US;
    p->reminder_due_us = INT64_MAX;
    for (j = TAILQ_FIRST(&p->jobs); j; j = next) {
        next = TAILQ_NEXT(j, link);
        if (now_us > j->results_expire_us) {
            drop_job(p, now_us, j);
            continue;
        }
        if (now_us >= j->next_expiry_us) {
            stage_pool_expire_results(p, now_us, j);
        }
        if (now_us - j->last_request_us >= REMINDER_INTERVAL_US) {
            j->last_request_us = now_us;
            send_ack(p, now_us, &j->key, j->priority);
        }
        p->reminder_due_us =
            MIN(p->reminder_due_us, j->last_request_us + REMINDER_INTERVAL_US);
        if (j->waiting_count == 0 || now_us <= j->latest_useful_start_us) {
            continue;
        }
        struct piece *late = NULL;
        log_late(p, now_us, j);
        for (int i = 0; i < j->piece_count; i++) {
            if (j->pieces[i].state == PIECE_STATE_WAITING) {
                j->pieces[i].state = PIECE_STATE_DONE;
                j->waiting_count--;
                p->stats.queued--;
                p->stats.late++;
                late = &j->pieces[i];
            }
        }
        if (late) {
            stage_pool_send_result(p, now_us, j, late, PIECE_LATE);
        }
    }
}

void
stage_pool_run(struct stage_pool *p, int64_t now_us)
{
    expire_jobs(p, now_us);
    stage_pool_hedge_slow_calls(p, now_us);
    stage_pool_query_memory(p, now_us);
    if (p->stats.queued > 0 &&
        (p->dispatch_needed || now_us >= p->dispatch_due_us)) {
        stage_pool_dispatch(p, now_us);
        p->dispatch_due_us = now_us + DISPATCH_INTERVAL_US;
    }
    measure_queue_speed(p, now_us);
    p->dispatch_needed = false;
    free_jobs(&p->ended);
    flush_releases(p, now_us);
}

int64_t
stage_pool_next_wakeup_us(const struct stage_pool *p)
{
    int64_t at = p->release_due_us ? p->release_due_us : INT64_MAX;
    if (p->dispatch_needed) {
        return 0;
    }
    if (p->stats.queued > 0) {
        at = MIN(at, p->dispatch_due_us);
    }
    return MIN(MIN(at, p->reminder_due_us), p->memory_query_due_us);
}

void
stage_pool_stats(const struct stage_pool *p, struct stage_pool_stats *out)
{
    *out = p->stats;
}
