#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/forward_world_state.h"

struct sim_endpoint *
forward_world_find_endpoint(struct forward_world *w, struct str address)
{
    int64_t n = -1;
    str_to_i64(address, &n);
    return n >= 0 && n < w->endpoint_count ? &w->sim_endpoints[n] : NULL;
}

const struct fw_service *
forward_world_find_service(const struct forward_world *w,
                           const struct sim_endpoint *s)
{
    for (int i = 0; i < w->service_count; i++) {
        if (strcmp(w->services[i].name, s->spec->service) == 0) {
            return &w->services[i];
        }
    }
    return NULL;
}

struct fw_request *
forward_world_find_request(const struct forward_world *w, uint64_t id)
{
    return id >= 1 && id <= w->requests->len
               ? g_ptr_array_index(w->requests, id - 1)
               : NULL;
}

/* Time between the head of a response and the first event. */
#define FIRST_EVENT_US (20 * MS)

/* Schedules an event of a call that runs at an endpoint. */
static struct sim_event *
schedule_answer(struct forward_world *w, const struct sim_endpoint *s,
                const struct sim_call *job, int64_t at_us,
                enum sim_event_kind kind)
{
    struct sim_event *ev = forward_world_schedule(w, at_us, kind, job->node);
    ev->call = job->call;
    ev->endpoint = (int)(s - w->sim_endpoints);
    ev->meta.leaving = s->spec->leaving;
    ev->meta.load_percent = s->spec->load_percent;
    return ev;
}

static bool
has_deadly_content(const struct forward_world *w, const struct fw_request *r)
{
    return w->deadly_content && r->content == w->deadly_content;
}

static bool
has_deadly_part(const struct forward_world *w, const struct fw_request *r)
{
    return w->deadly_part &&
           (r->parts[0] == w->deadly_part || r->parts[1] == w->deadly_part);
}

static void
answer_request(struct forward_world *w, struct sim_endpoint *s,
               struct sim_call *job, int64_t done_us)
{
    struct fw_endpoint *e = s->spec;
    struct fw_request *r = forward_world_find_request(w, job->request);
    struct sim_event *ev =
        schedule_answer(w, s, job, done_us + ONE_WAY_US, SIM_CALL_HEAD);
    e->runs++;
    r->runs++;
    ev->status = e->fail_next_requests > 0 ? 500 : 200;
    e->fail_next_requests -= e->fail_next_requests > 0;
    if (e->stale_refusals > 0) {
        e->stale_refusals--;
        struct sim_event *stale = schedule_answer(
            w, s, job, w->now_us + 2 * ONE_WAY_US, SIM_CALL_HEAD);
        stale->status = 503;
        stale->meta.not_executed = true;
        stale->meta.same_request = false;
    }
    bool breaks = e->break_next_requests > 0;
    e->break_next_requests -= breaks;
    if (breaks) {
        ev->kind = SIM_CALL_END;
        ev->end = CALL_END_BROKEN;
        return;
    }
    if (has_deadly_content(w, r)) {
        struct sim_event *crash =
            forward_world_schedule(w, done_us, SIM_CRASH, job->node);
        crash->endpoint = (int)(s - w->sim_endpoints);
        crash->call = job->call;
        ev->kind = SIM_CALL_END;
        ev->end = CALL_END_BROKEN;
        return;
    }
    if (has_deadly_part(w, r)) {
        struct sim_event *crash = forward_world_schedule(
            w, done_us + FIRST_EVENT_US, SIM_CRASH, job->node);
        crash->endpoint = (int)(s - w->sim_endpoints);
        crash->call = job->call;
        schedule_answer(w, s, job, crash->at_us + ONE_WAY_US, SIM_CALL_END)
            ->end = CALL_END_BROKEN;
        return;
    }
    int64_t at = done_us + ONE_WAY_US;
    if (e->empty_next_streams > 0) {
        e->empty_next_streams--;
        ev->meta.framed = false;
        schedule_answer(w, s, job, at, SIM_CALL_END)->end = CALL_END_COMPLETE;
        return;
    }
    int events = e->events > 0 ? e->events : 1;
    for (int i = job->resume_after + 1; i < events || i == 0; i++) {
        struct sim_event *b = schedule_answer(w, s, job, at, SIM_CALL_BYTES);
        if (e->events > 0) {
            snprintf(b->text, sizeof(b->text), "id: %d\ndata: e%d\n\n", i, i);
        }
        else {
            snprintf(b->text, sizeof(b->text), "answer");
        }
        at += e->event_gap_us > 0 ? e->event_gap_us : 10 * MS;
        if (e->break_after_event > 0 && i == e->break_after_event) {
            e->break_after_event = 0;
            schedule_answer(w, s, job, at, SIM_CALL_END)->end =
                CALL_END_BROKEN;
            return;
        }
    }
    schedule_answer(w, s, job, at, SIM_CALL_END)->end = CALL_END_COMPLETE;
}

static void
answer_pieces(struct forward_world *w, struct sim_endpoint *s,
              struct sim_call *job, int64_t done_us)
{
    struct sim_event *ev =
        schedule_answer(w, s, job, done_us + ONE_WAY_US, SIM_PIECES_END);
    ev->status = 200;
    ev->end = CALL_END_COMPLETE;
    ev->result_count = job->count;
    ev->results = mem_calloc((size_t)job->count, sizeof(*ev->results));
    for (int i = 0; i < job->count; i++) {
        ev->results[i].outcome =
            job->items[i].fits ? PIECE_DONE : PIECE_NO_MEMORY;
        if (job->items[i].fits) {
            ev->results[i].handle =
                str_dup(str_from_cstr(job->items[i].handle));
        }
        s->spec->no_memory_results += !job->items[i].fits;
    }
}

int64_t
forward_world_free_bytes(struct forward_world *w, struct sim_endpoint *s)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->results);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct held_result *r = v;
        if (r->expires_us <= w->now_us) {
            s->used_bytes -= r->bytes;
            s->spec->held--;
            g_hash_table_iter_remove(&it);
        }
    }
    return s->spec->result_memory_bytes
               ? s->spec->result_memory_bytes - s->used_bytes
               : INT64_MAX;
}

static void
hold_results(struct forward_world *w, struct sim_endpoint *s,
             struct sim_call *job, int64_t expires_us)
{
    for (int i = 0; i < job->count; i++) {
        job->items[i].fits =
            forward_world_free_bytes(w, s) >= job->items[i].bytes;
        if (!job->items[i].fits) {
            continue;
        }
        snprintf(job->items[i].handle, sizeof(job->items[i].handle), "h%llu",
                 (unsigned long long)++w->handle_count);
        g_hash_table_insert(w->result_owners, g_strdup(job->items[i].handle),
                            g_strdup(job->items[i].request));
        struct held_result *r = g_new(struct held_result, 1);
        *r = (struct held_result){job->items[i].bytes, expires_us};
        g_hash_table_insert(s->results, g_strdup(job->items[i].handle), r);
        s->used_bytes += job->items[i].bytes;
        s->spec->held++;
        if (s->spec->held > s->spec->max_held_results) {
            s->spec->max_held_results = s->spec->held;
        }
    }
}

void
forward_world_free_call(struct sim_call *job)
{
    if (job->inputs) {
        g_ptr_array_free(job->inputs, TRUE);
    }
    free(job);
}

/* Returns whether all results that a call reads are still stored. */
static bool
has_inputs(const struct forward_world *w, const struct sim_call *job)
{
    for (guint i = 0; job->inputs && i < job->inputs->len; i++) {
        bool found = false;
        for (int k = 0; k < w->endpoint_count && !found; k++) {
            found = g_hash_table_contains(w->sim_endpoints[k].results,
                                          job->inputs->pdata[i]);
        }
        if (!found) {
            return false;
        }
    }
    return true;
}

static void
reject_call(struct forward_world *w, const struct sim_endpoint *s, int node,
            uint64_t call, bool pieces, int status)
{
    struct sim_event *ev =
        forward_world_schedule(w, w->now_us + 2 * ONE_WAY_US,
                               pieces ? SIM_PIECES_END : SIM_CALL_HEAD, node);
    ev->call = call;
    ev->status = status;
    ev->meta.not_executed = true;
    ev->meta.other_instance = s->spec->other_instance;
    ev->meta.retry_after_us = s->spec->retry_after_us;
    ev->end = CALL_END_COMPLETE;
}

void
forward_world_start_calls(struct forward_world *w, struct sim_endpoint *s)
{
    if (s->spec->tokens_per_ms > 0) {
        forward_world_engine_start(w, s);
        return;
    }
    while (s->running < s->spec->slots && !g_queue_is_empty(&s->waiting) &&
           w->now_us >= s->paused_until_us) {
        struct sim_call *job = g_queue_pop_head(&s->waiting);
        if (!has_inputs(w, job)) {
            reject_call(w, s, job->node, job->call, false, 409);
            forward_world_free_call(job);
            continue;
        }
        const struct fw_service *info = forward_world_find_service(w, s);
        double length = (double)s->spec->work_us;
        if (job->pieces) {
            length = (double)(info->pieces.call_us +
                              job->count * info->pieces.item_us);
        }
        s->running++;
        if (s->running > s->spec->max_running) {
            s->spec->max_running = s->running;
        }
        double factor = s->spec->slow > 0 ? s->spec->slow : 1;
        factor *= s->spec->load_percent ? s->spec->load_percent / 100.0 : 1;
        int64_t done = w->now_us + (int64_t)(length * factor);
        if (job->pieces) {
            hold_results(w, s, job, done + info->pieces.result_ttl_us);
        }
        struct sim_event *turn =
            forward_world_schedule(w, done, SIM_SLOT_FREE, job->node);
        turn->endpoint = (int)(s - w->sim_endpoints);
        if (!s->spec->silent) {
            if (job->pieces) {
                answer_pieces(w, s, job, done);
            }
            else {
                answer_request(w, s, job, done);
            }
        }
        forward_world_free_call(job);
    }
}

void
forward_world_fail_unsent(struct forward_world *w, int node, uint64_t call,
                          bool pieces)
{
    struct sim_event *ev =
        forward_world_schedule(w, w->now_us + 2 * ONE_WAY_US,
                               pieces ? SIM_PIECES_END : SIM_CALL_END, node);
    ev->call = call;
    ev->end = CALL_END_UNSENT;
}

void
forward_world_receive_call(struct forward_world *w, struct sim_endpoint *s,
                           struct sim_call *job)
{
    struct fw_endpoint *e = s->spec;
    if (e->dead) {
        forward_world_fail_unsent(w, job->node, job->call, job->pieces);
        forward_world_free_call(job);
        return;
    }
    if (w->now_us < s->paused_until_us) {
        g_queue_push_tail(&s->unread, job);
        return;
    }
    e->calls++;
    e->pieces += job->pieces ? job->count : 0;
    e->last_arrival_us = w->now_us;
    if (!job->pieces) {
        struct sim_arrival a = {w->now_us, job->request, e->service};
        g_array_append_val(w->arrivals, a);
    }
    const struct fw_request *request =
        job->pieces ? NULL : forward_world_find_request(w, job->request);
    if (request &&
        (has_deadly_part(w, request) || has_deadly_content(w, request))) {
        g_array_append_val(w->deadly_arrivals_us, w->now_us);
    }
    if (e->other_instance) {
        e->rejected++;
        reject_call(w, s, job->node, job->call, job->pieces, 421);
        forward_world_free_call(job);
        return;
    }
    if (e->retry_after_us > 0 ||
        (int)g_queue_get_length(&s->waiting) + s->running >=
            e->slots + e->queue) {
        e->rejected++;
        reject_call(w, s, job->node, job->call, job->pieces, 503);
        forward_world_free_call(job);
        return;
    }
    g_queue_push_tail(&s->waiting, job);
    forward_world_start_calls(w, s);
}

struct broken_call {
    int node;
    uint64_t call;
    bool pieces;
};

/* Drops the events of the calls that run at an endpoint. @return the calls,
 * each once */
static GArray *
drop_running_calls(const struct forward_world *w, int endpoint)
{
    GArray *broken = g_array_new(FALSE, FALSE, sizeof(struct broken_call));
    for (guint i = 0; i < w->events->len; i++) {
        struct sim_event *ev = g_ptr_array_index(w->events, i);
        /* Responses that were sent before the break still arrive. */
        bool answer = ev->kind == SIM_CALL_HEAD ||
                      ev->kind == SIM_CALL_BYTES || ev->kind == SIM_CALL_END ||
                      ev->kind == SIM_PIECES_END;
        if (ev->endpoint != endpoint || ev->kind == SIM_RESTART ||
            (answer && ev->at_us <= w->now_us + ONE_WAY_US)) {
            continue;
        }
        struct broken_call b = {ev->node, ev->call,
                                ev->kind == SIM_PIECES_END};
        ev->kind = SIM_DROPPED;
        for (guint k = 0; answer && k < broken->len; k++) {
            const struct broken_call *o =
                &g_array_index(broken, struct broken_call, k);
            answer = o->node != b.node || o->call != b.call;
        }
        if (answer) {
            g_array_append_val(broken, b);
        }
    }
    return broken;
}

void
forward_world_break_calls(struct forward_world *w, struct sim_endpoint *s)
{
    struct sim_call *job;
    GArray *broken = drop_running_calls(w, (int)(s - w->sim_endpoints));
    while ((job = g_queue_pop_head(&s->waiting))) {
        struct broken_call b = {job->node, job->call, job->pieces};
        g_array_append_val(broken, b);
        forward_world_free_call(job);
    }
    for (guint i = 0; i < broken->len; i++) {
        const struct broken_call *b =
            &g_array_index(broken, struct broken_call, i);
        struct sim_event *ev = forward_world_schedule(
            w, w->now_us + ONE_WAY_US,
            b->pieces ? SIM_PIECES_END : SIM_CALL_END, b->node);
        ev->call = b->call;
        ev->end = CALL_END_BROKEN;
    }
    g_array_free(broken, TRUE);
    s->running = 0;
    forward_world_engine_stop(s);
}

void
forward_world_set_deadly_part(struct forward_world *w, uint64_t part,
                              int64_t down_us)
{
    w->deadly_part = part;
    w->deadly_down_us = down_us;
}

void
forward_world_set_deadly_content(struct forward_world *w, uint64_t content,
                                 int64_t down_us)
{
    w->deadly_content = content;
    w->deadly_down_us = down_us;
}

void
forward_world_set_exit_time(struct forward_world *w, int64_t exit_us)
{
    w->exit_us = exit_us;
}

void
forward_world_crash_endpoint(struct forward_world *w, int endpoint,
                             int64_t down_us)
{
    struct sim_endpoint *s = &w->sim_endpoints[endpoint];
    struct sim_event *up =
        forward_world_schedule(w, w->now_us + down_us, SIM_RESTART, 0);
    up->endpoint = endpoint;
    s->spec->dead = true;
    s->crashed_us = w->now_us;
    forward_world_break_calls(w, s);
}

void
forward_world_reset_connections(struct forward_world *w, int endpoint)
{
    forward_world_break_calls(w, &w->sim_endpoints[endpoint]);
}

int
forward_world_crash_count(const struct forward_world *w)
{
    return (int)w->crashes_us->len;
}

int64_t
forward_world_crash_us(const struct forward_world *w, int n)
{
    return g_array_index(w->crashes_us, int64_t, n);
}

int
forward_world_deadly_arrivals(const struct forward_world *w, int64_t since_us)
{
    int n = 0;
    for (guint i = 0; i < w->deadly_arrivals_us->len; i++) {
        n += g_array_index(w->deadly_arrivals_us, int64_t, i) >= since_us;
    }
    return n;
}
