#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clean.h"
#include "base/log.h"
#include "forward/stage_pool_state.h"

/* Bytes that cross zones cost as much as waiting: 25 ms for each megabyte, and
 * no more than this. */
#define ZONE_US_PER_MB (25 * MS)
#define ZONE_PENALTY_MAX_US (200 * MS)
/* Results that are given back wait this long for company. */
#define RELEASE_WAIT_US (10 * MS)
/* A node is reminded of an ask that it has not repeated for this long. Nodes
 * repeat an open ask after 170 ms; results lie for four seconds. */
#define REMIND_US (500 * MS)
/* Queues of hundreds of jobs are looked through no more often than this. */
#define EXPIRE_EVERY_US (10 * MS)
#define COUNT_US (20 * MS)
/* Late pieces come by the dozen, and a line names all endpoints. */
#define LATE_LOG_US (500 * MS)
/* Span over which the speed of a queue is measured; a few calls. */
#define DRAIN_SPAN_US (500 * MS)
/* A request that holds results of this size elsewhere is served although it is
 * late, since others wait for the room. */
#define HELD_LARGE_BYTES 100000

char *
stage_pool_copy(struct str s)
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
    return x->node == y->node && x->ask == y->ask;
}

struct stage_pool *
stage_pool_new(const struct stage_pool_io *io)
{
    struct stage_pool *p = mem_zero(1, sizeof(*p));
    p->io = *io;
    p->remind_us = p->report_us = INT64_MAX;
    TAILQ_INIT(&p->jobs);
    TAILQ_INIT(&p->ended);
    p->jobs_by_key = g_hash_table_new(key_hash, key_equal);
    p->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    p->makers = g_hash_table_new_full(NULL, NULL, NULL, free);
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

/* Ended jobs are freed at the end of a step. */
static void
end_job(struct stage_pool *p, struct job *j)
{
    p->stats.queued -= j->waiting;
    g_hash_table_remove(p->jobs_by_key, &j->key);
    TAILQ_REMOVE(&p->jobs, j, link);
    TAILQ_INSERT_TAIL(&p->ended, j, link);
}

static void
reap(struct job_list *list)
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
    reap(&p->jobs);
    reap(&p->ended);
    g_hash_table_destroy(p->jobs_by_key);
    g_hash_table_destroy(p->calls);
    g_hash_table_destroy(p->makers);
    g_hash_table_destroy(p->releases);
    free(p);
}

static struct maker *
maker_of(struct stage_pool *p, struct endpoint *e)
{
    struct maker *m = g_hash_table_lookup(p->makers, e);
    if (!m) {
        m = mem_zero(1, sizeof(*m));
        m->endpoint = e;
        g_hash_table_insert(p->makers, e, m);
    }
    return m;
}

/* Results at an endpoint that has left are gone. */
static void
forget_maker(struct stage_pool *p, const struct endpoint *e)
{
    struct job *j;
    g_hash_table_remove(p->releases, e);
    TAILQ_FOREACH(j, &p->jobs, link)
    {
        for (int i = 0; i < j->piece_count; i++) {
            if (j->pieces[i].maker == e) {
                j->pieces[i].maker = NULL;
                g_clear_pointer(&j->pieces[i].handle, g_free);
            }
        }
    }
}

void
stage_pool_set(struct stage_pool *p, int64_t now_us,
               const struct piece_limits *limits,
               struct endpoint *const *endpoints, int count)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    p->limits = *limits;
    p->limits.batch = limits->batch > 0 ? limits->batch : 1;
    p->limits.slots = limits->slots > 0 ? limits->slots : 1;
    g_hash_table_iter_init(&it, p->makers);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        ((struct maker *)v)->listed = false;
    }
    for (int i = 0; i < count; i++) {
        struct maker *m = maker_of(p, endpoints[i]);
        if (!m->listed && !m->known) {
            stage_pool_doubt_room(p, m, now_us);
        }
        m->known = m->listed = true;
    }
    g_hash_table_iter_init(&it, p->makers);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        const struct maker *m = v;
        if (!m->listed && m->endpoint->calls_in_flight == 0) {
            forget_maker(p, k);
            g_hash_table_iter_remove(&it);
        }
    }
    p->dirty = true;
}

struct job *
stage_pool_find_job(const struct stage_pool *p, uint64_t node, uint64_t ask)
{
    const struct job_key key = {node, ask};
    return g_hash_table_lookup(p->jobs_by_key, &key);
}

static void
count_waiting(struct stage_pool *p, int64_t now_us)
{
    const struct job *j;
    if (p->counted_us && now_us - p->counted_us < COUNT_US) {
        return;
    }
    p->counted_us = now_us;
    memset(p->waiting, 0, sizeof(p->waiting));
    TAILQ_FOREACH(j, &p->jobs, link)
    {
        p->waiting[CLAMP(j->priority, 0, POOL_PRIORITIES - 1)] += j->waiting;
    }
}

/* Time until new pieces of this priority would begin. */
static int64_t
expected_wait(struct stage_pool *p, int64_t now_us, int priority)
{
    int ahead = 0;
    int open = 0;
    GHashTableIter it;
    gpointer v;
    count_waiting(p, now_us);
    for (int i = 0; i < POOL_PRIORITIES && i <= priority; i++) {
        ahead += p->waiting[i];
    }
    g_hash_table_iter_init(&it, p->makers);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        open += ((struct maker *)v)->listed;
    }
    if (open == 0) {
        return 0;
    }
    int64_t each = stage_pool_call_us(p, p->limits.batch) /
                   (p->limits.batch * open * (int64_t)p->limits.slots);
    return ahead * MAX(each, p->drain_us);
}

/* Measures how fast a queue that lasts gets shorter: besides the endpoints'
 * speed the room for results bounds it. */
static void
measure_drain(struct stage_pool *p, int64_t now_us)
{
    if (p->stats.queued == 0) {
        p->span_us = p->drain_us = 0;
        return;
    }
    if (p->span_us && now_us - p->span_us < DRAIN_SPAN_US) {
        return;
    }
    if (p->span_us) {
        int64_t pieces = MAX((int64_t)p->stats.pieces - p->span_pieces, 1);
        p->drain_us = (now_us - p->span_us) / pieces;
    }
    p->span_us = now_us;
    p->span_pieces = (int64_t)p->stats.pieces;
}

static void
acknowledge(struct stage_pool *p, int64_t now_us, const struct job_key *key,
            int priority)
{
    struct stage_msg m = {.kind = STAGE_MSG_ACK};
    m.ack = (struct stage_ack){key->ask, expected_wait(p, now_us, priority)};
    p->io.tell(p->io.ctx, key->node, &m);
}

void
stage_pool_tell_result(struct stage_pool *p, int64_t now_us,
                       const struct job *j, const struct piece *piece,
                       enum piece_outcome outcome)
{
    struct stage_msg m = {.kind = STAGE_MSG_RESULT};
    m.result =
        (struct stage_result){.ask = j->key.ask,
                              .piece = piece->number,
                              .outcome = outcome,
                              .handle = str_from(piece->handle),
                              .maker = piece->maker ? piece->maker->hash : 0,
                              .waited_us = now_us - j->asked_us};
    p->io.tell(p->io.ctx, j->key.node, &m);
}

/* A repeated ask names the pieces that its node has not heard of. */
static void
tell_again(struct stage_pool *p, int64_t now_us, struct job *j,
           const struct stage_ask *ask)
{
    j->heard_us = now_us;
    for (int i = 0; i < j->piece_count; i++) {
        const struct piece *piece = &j->pieces[i];
        for (int k = 0; k < ask->piece_count && piece->handle; k++) {
            if (ask->pieces[k] == piece->number) {
                stage_pool_tell_result(p, now_us, j, piece, PIECE_DONE);
                break;
            }
        }
    }
}

/* Higher priority first, then the order of arrival. */
static void
insert(struct stage_pool *p, struct job *j)
{
    struct job *at;
    TAILQ_FOREACH_REVERSE(at, &p->jobs, job_list, link)
    {
        if (at->priority <= j->priority) {
            TAILQ_INSERT_AFTER(&p->jobs, at, j, link);
            return;
        }
    }
    TAILQ_INSERT_HEAD(&p->jobs, j, link);
}

void
stage_pool_ask(struct stage_pool *p, int64_t now_us, uint64_t node,
               const struct stage_ask *ask)
{
    struct job *j = stage_pool_find_job(p, node, ask->ask);
    if (j) {
        acknowledge(p, now_us, &j->key, ask->priority);
        tell_again(p, now_us, j, ask);
        return;
    }
    j = mem_zero(1, sizeof(*j));
    j->key.node = node;
    j->key.ask = ask->ask;
    j->request_id = stage_pool_copy(ask->request_id);
    j->stage = ask->stage;
    j->priority = ask->priority;
    j->asked_us = j->heard_us = now_us;
    j->target_us = now_us + ask->target_left_us;
    j->dead_us = now_us + ask->dead_left_us;
    j->end_us = now_us + ask->end_left_us;
    j->forget_us = j->end_us + p->limits.keep_us;
    j->bytes = ask->bytes;
    j->started = ask->held_bytes >= HELD_LARGE_BYTES;
    j->zone = stage_pool_copy(ask->zone);
    j->zone_us = ask->zone_bytes * ZONE_US_PER_MB / 1000000;
    if (j->zone_us > ZONE_PENALTY_MAX_US) {
        j->zone_us = ZONE_PENALTY_MAX_US;
    }
    j->keyed = ask->keyed;
    j->piece_key = stage_pool_copy(ask->key);
    j->waiting = j->piece_count = ask->piece_count;
    j->pieces = mem_zero((size_t)ask->piece_count + 1, sizeof(struct piece));
    for (int i = 0; i < ask->piece_count; i++) {
        j->pieces[i].number = ask->pieces[i];
    }
    j->input_count = ask->input_count;
    j->inputs = mem_zero((size_t)ask->input_count + 1, sizeof(struct str));
    for (int i = 0; i < ask->input_count; i++) {
        j->inputs[i] = str_dup(ask->inputs[i]);
    }
    p->stats.queued += j->waiting;
    insert(p, j);
    g_hash_table_insert(p->jobs_by_key, &j->key, j);
    acknowledge(p, now_us, &j->key, ask->priority);
    p->dirty = true;
}

/* Results that are given back */

void
stage_pool_give_back(struct stage_pool *p, int64_t now_us, struct endpoint *e,
                     const char *handle, int64_t bytes)
{
    struct maker *m = g_hash_table_lookup(p->makers, e);
    if (m) {
        m->returning += bytes;
    }
    GPtrArray *list = g_hash_table_lookup(p->releases, e);
    if (!list) {
        list = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(p->releases, e, list);
    }
    g_ptr_array_add(list, g_strdup(handle));
    if (!p->release_us) {
        p->release_us = now_us + RELEASE_WAIT_US;
    }
}

static void
flush_releases(struct stage_pool *p, int64_t now_us)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    if (!p->release_us || now_us < p->release_us) {
        return;
    }
    p->release_us = 0;
    g_hash_table_iter_init(&it, p->releases);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        const struct endpoint *e = k;
        const GPtrArray *list = v;
        CLEAN_FREE struct str *handles = mem_zero(list->len, sizeof(*handles));
        for (guint i = 0; i < list->len; i++) {
            handles[i] = str_from(g_ptr_array_index(list, i));
        }
        struct release_call call = {e->address, (int)list->len, handles};
        p->io.release(p->io.ctx, &call);
        struct maker *m = g_hash_table_lookup(p->makers, e);
        if (m) {
            m->returning = 0;
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
    if (piece->maker) {
        struct maker *m = g_hash_table_lookup(p->makers, piece->maker);
        if (m) {
            m->room_used -= j->bytes;
        }
        stage_pool_give_back(p, now_us, piece->maker, piece->handle, j->bytes);
    }
    g_clear_pointer(&piece->handle, g_free);
}

static void
drop_job(struct stage_pool *p, int64_t now_us, struct job *j)
{
    for (int i = 0; i < j->piece_count; i++) {
        drop_result(p, now_us, j, &j->pieces[i]);
    }
    end_job(p, j);
    p->dirty = true;
}

/* Pieces that have not begun are another owner's now. */
static void
drop_waiting(struct stage_pool *p, struct job *j)
{
    for (int i = 0; i < j->piece_count; i++) {
        if (j->pieces[i].state == WAITING) {
            j->pieces[i].state = DONE;
        }
    }
    p->stats.queued -= j->waiting;
    j->waiting = 0;
}

bool
stage_pool_drop(struct stage_pool *p, int64_t now_us, uint64_t node,
                const struct stage_drop *drop)
{
    struct job *j = stage_pool_find_job(p, node, drop->ask);
    if (j && drop->keep_results) {
        drop_waiting(p, j);
    }
    else if (j) {
        drop_job(p, now_us, j);
    }
    return j != NULL;
}

/* Says why pieces came too late: what the endpoints of the pool were doing. */
static void
log_late(struct stage_pool *p, int64_t now_us, const struct job *j)
{
    GHashTableIter it;
    gpointer v;
    struct buf makers = {0};
    if (now_us - p->late_log_us < LATE_LOG_US) {
        return;
    }
    p->late_log_us = now_us;
    g_hash_table_iter_init(&it, p->makers);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct maker *m = v;
        buf_printf(&makers, "%.*s:open=%d,calls=%d,room_kb=%lld,slow=%.1f ",
                   STR_FMT(m->endpoint->id),
                   m->listed && endpoint_open(m->endpoint, now_us),
                   m->endpoint->calls_in_flight,
                   (long long)(stage_pool_room_left(p, m, now_us) / 1000),
                   stage_pool_slowness(m, now_us));
    }
    LOG_EVENT(LOG_INFO, "pieces_late", LOG_C("request", j->request_id),
              LOG_I("stage", j->stage), LOG_I("pieces", j->waiting),
              LOG_I("waited_ms", (now_us - j->asked_us) / MS),
              LOG_I("queued", p->stats.queued), LOG_I("kb", j->bytes / 1000),
              LOG_S("endpoints", buf_str(&makers)));
    buf_free(&makers);
}

/* Jobs whose pieces cannot begin in time end; so do forgotten ones. A node
 * that has not been heard of may have dropped its ask, or be a new process:
 * it answers an acknowledgement of an ask that it does not know with a drop.
 */
static void
expire(struct stage_pool *p, int64_t now_us)
{
    struct job *j;
    struct job *next;
    if (now_us < p->expire_us) {
        return;
    }
    p->expire_us = now_us + EXPIRE_EVERY_US;
    p->remind_us = INT64_MAX;
    for (j = TAILQ_FIRST(&p->jobs); j; j = next) {
        next = TAILQ_NEXT(j, link);
        if (now_us > j->forget_us) {
            drop_job(p, now_us, j);
            continue;
        }
        if (now_us - j->heard_us >= REMIND_US) {
            j->heard_us = now_us;
            acknowledge(p, now_us, &j->key, j->priority);
        }
        p->remind_us = MIN(p->remind_us, j->heard_us + REMIND_US);
        if (j->waiting == 0 || now_us <= j->dead_us) {
            continue;
        }
        struct piece *late = NULL;
        log_late(p, now_us, j);
        for (int i = 0; i < j->piece_count; i++) {
            if (j->pieces[i].state == WAITING) {
                j->pieces[i].state = DONE;
                j->waiting--;
                p->stats.queued--;
                p->stats.late++;
                late = &j->pieces[i];
            }
        }
        if (late) {
            stage_pool_tell_result(p, now_us, j, late, PIECE_LATE);
        }
    }
}

void
stage_pool_run(struct stage_pool *p, int64_t now_us)
{
    expire(p, now_us);
    stage_pool_hedge(p, now_us);
    stage_pool_ask_room(p, now_us);
    if (p->stats.queued > 0) {
        stage_pool_dispatch(p, now_us);
    }
    measure_drain(p, now_us);
    p->dirty = false;
    reap(&p->ended);
    flush_releases(p, now_us);
}

int64_t
stage_pool_wakeup(const struct stage_pool *p)
{
    int64_t at = p->release_us ? p->release_us : INT64_MAX;
    if (p->dirty) {
        return 0;
    }
    if (p->stats.queued > 0) {
        return 1; /* within the caller's shortest interval */
    }
    return MIN(MIN(at, p->remind_us), p->report_us);
}

void
stage_pool_stats(const struct stage_pool *p, struct stage_pool_stats *out)
{
    *out = p->stats;
}
