#include <stdio.h>

#include "bench/forward_world_state.h"

/* Most prompt tokens that an engine reads in one step. */
#define CHUNK_TOKENS 512
/* Time that each stream adds to a step, relative to the shortest step. */
#define STREAM_SHARE 0.02
/* Tokens whose event is passed on: the first, then each of this many. */
#define EVENT_TOKENS 8

/* A request that runs at an engine. */
struct engine_job {
    struct sim_call *call;
    int unread;  /* prompt tokens to read */
    int written; /* output tokens */
    int tokens;  /* memory: own prompt tokens and all output */
    int event_id;
    int64_t last_token_us;
};

/* A shared part in the cache of an engine. */
struct cached_part {
    int tokens;
    int64_t used_us;
};

struct sim_engine {
    GPtrArray *running;  /* struct engine_job, oldest first */
    GHashTable *cache;   /* id of a shared part -> struct cached_part */
    int64_t used_tokens; /* of the running requests */
    int64_t cached_tokens;
    bool stepping;
};

static struct sim_engine *
engine_of(struct sim_endpoint *s)
{
    if (!s->engine) {
        s->engine = g_new0(struct sim_engine, 1);
        s->engine->running = g_ptr_array_new();
        s->engine->cache =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    }
    return s->engine;
}

static void
job_free(struct engine_job *j)
{
    forward_world_free_call(j->call);
    g_free(j);
}

void
forward_world_engine_stop(struct sim_endpoint *s)
{
    struct sim_engine *g = s->engine;
    for (guint i = 0; g && i < g->running->len; i++) {
        job_free(g_ptr_array_index(g->running, i));
    }
    if (g) {
        g_ptr_array_free(g->running, TRUE);
        g_hash_table_destroy(g->cache);
        g_free(g);
    }
    s->engine = NULL;
}

/* Evicts the least recently used shared parts until the rest fits beside the
 * running requests. */
static void
evict(struct sim_endpoint *s)
{
    struct sim_engine *g = s->engine;
    while (g->cached_tokens > 0 &&
           g->used_tokens + g->cached_tokens > s->spec->memory_tokens) {
        GHashTableIter it;
        gpointer k;
        gpointer v;
        gpointer oldest = NULL;
        int64_t oldest_us = INT64_MAX;
        g_hash_table_iter_init(&it, g->cache);
        while (g_hash_table_iter_next(&it, &k, &v)) {
            const struct cached_part *p = v;
            if (p->used_us < oldest_us) {
                oldest = k;
                oldest_us = p->used_us;
            }
        }
        const struct cached_part *p = g_hash_table_lookup(g->cache, oldest);
        g->cached_tokens -= p->tokens;
        g_hash_table_remove(g->cache, oldest);
    }
}

/* Returns the tokens of a request's shared part that are in the cache, and
 * caches it. */
static int
use_cache(struct forward_world *w, struct sim_endpoint *s,
          const struct fw_request *r)
{
    struct sim_engine *g = s->engine;
    if (r->shared_tokens == 0) {
        return 0;
    }
    struct cached_part *p = g_hash_table_lookup(g->cache, &r->parts[0]);
    if (p) {
        p->used_us = w->now_us;
        return p->tokens;
    }
    uint64_t *key = g_new(uint64_t, 1);
    *key = r->parts[0];
    p = g_new(struct cached_part, 1);
    *p = (struct cached_part){r->shared_tokens, w->now_us};
    g_hash_table_insert(g->cache, key, p);
    g->cached_tokens += p->tokens;
    return 0;
}

static bool
is_cancelled(const struct forward_world *w, const struct sim_call *c)
{
    uint64_t key = forward_world_call_key(c->node, c->call);
    return g_hash_table_contains(w->cancelled, &key);
}

/* Moves waiting requests to free slots, the most urgent ones first. */
static void
admit(struct forward_world *w, struct sim_endpoint *s)
{
    struct sim_engine *g = s->engine;
    while ((int)g->running->len < s->spec->slots &&
           !g_queue_is_empty(&s->waiting)) {
        GList *best = s->waiting.head;
        for (GList *l = best->next; l; l = l->next) {
            const struct sim_call *a = l->data;
            const struct sim_call *b = best->data;
            best = a->urgency < b->urgency ? l : best;
        }
        struct engine_job *j = g_new0(struct engine_job, 1);
        j->call = best->data;
        g_queue_delete_link(&s->waiting, best);
        const struct fw_request *r =
            forward_world_find_request(w, j->call->request);
        j->unread = r->prompt_tokens - use_cache(w, s, r);
        j->tokens =
            r->prompt_tokens - r->shared_tokens + s->spec->output_tokens;
        g->used_tokens += j->tokens;
        s->spec->read_tokens += j->unread;
        s->spec->max_held_tokens =
            MAX(s->spec->max_held_tokens, g->used_tokens);
        evict(s);
        g_ptr_array_add(g->running, j);
        s->spec->max_running = MAX(s->spec->max_running, (int)g->running->len);
    }
}

/* Returns the request whose prompt is read in the next step: the most urgent
 * one, the oldest of these. */
static struct engine_job *
next_to_read(const struct sim_engine *g)
{
    struct engine_job *best = NULL;
    for (guint i = 0; i < g->running->len; i++) {
        struct engine_job *j = g_ptr_array_index(g->running, i);
        if (j->unread > 0 &&
            (!best || j->call->urgency < best->call->urgency)) {
            best = j;
        }
    }
    return best;
}

static struct sim_event *
answer(struct forward_world *w, struct sim_endpoint *s,
       const struct sim_call *c, enum sim_event_kind kind)
{
    struct sim_event *ev =
        forward_world_schedule(w, w->now_us + ONE_WAY_US, kind, c->node);
    ev->call = c->call;
    ev->endpoint = (int)(s - w->sim_endpoints);
    ev->status = 200;
    ev->end = CALL_END_COMPLETE;
    ev->meta.running = (int)s->engine->running->len;
    ev->meta.waiting = (int)g_queue_get_length(&s->waiting);
    return ev;
}

static void
write_token(struct forward_world *w, struct sim_endpoint *s,
            struct engine_job *j)
{
    struct fw_request *r = forward_world_find_request(w, j->call->request);
    if (j->written == 0) {
        answer(w, s, j->call, SIM_CALL_HEAD);
    }
    else {
        r->longest_gap_us =
            MAX(r->longest_gap_us, w->now_us - j->last_token_us);
    }
    j->last_token_us = w->now_us;
    if (j->written % EVENT_TOKENS == 0) {
        struct sim_event *ev = answer(w, s, j->call, SIM_CALL_BYTES);
        snprintf(ev->text, sizeof(ev->text), "id: %d\ndata: e\n\n",
                 j->event_id++);
    }
    j->written++;
}

/* Starts the next step. Its length is set at its start. */
static void
start_step(struct forward_world *w, struct sim_endpoint *s)
{
    struct sim_engine *g = s->engine;
    const struct fw_endpoint *e = s->spec;
    if (g->stepping || g->running->len == 0) {
        return;
    }
    const struct engine_job *j = next_to_read(g);
    double chunk_us =
        j ? MIN(j->unread, CHUNK_TOKENS) * 1000.0 / e->tokens_per_ms : 0;
    double step_us =
        (double)e->step_us * (1 + STREAM_SHARE * (double)g->running->len);
    double length = MAX(chunk_us, step_us) * (e->slow > 0 ? e->slow : 1);
    struct sim_event *ev = forward_world_schedule(
        w, w->now_us + (int64_t)length, SIM_ENGINE_STEP, 0);
    ev->endpoint = (int)(s - w->sim_endpoints);
    g->stepping = true;
    s->spec->busy_us += (int64_t)length;
}

void
forward_world_engine_step(struct forward_world *w, struct sim_endpoint *s)
{
    struct sim_engine *g = s->engine;
    struct engine_job *read = next_to_read(g);
    g->stepping = false;
    if (read) {
        read->unread -= MIN(read->unread, CHUNK_TOKENS);
    }
    for (guint i = 0; i < g->running->len;) {
        struct engine_job *j = g_ptr_array_index(g->running, i);
        if (j->unread == 0) {
            write_token(w, s, j);
        }
        if (j->written == s->spec->output_tokens) {
            answer(w, s, j->call, SIM_CALL_END);
            s->spec->runs++;
        }
        if (j->written == s->spec->output_tokens || is_cancelled(w, j->call)) {
            g->used_tokens -= j->tokens;
            g_ptr_array_remove_index(g->running, i);
            job_free(j);
            continue;
        }
        i++;
    }
    forward_world_engine_start(w, s);
}

void
forward_world_engine_start(struct forward_world *w, struct sim_endpoint *s)
{
    engine_of(s);
    admit(w, s);
    s->running = (int)s->engine->running->len;
    start_step(w, s);
}
