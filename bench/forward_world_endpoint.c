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

static void
answer_request(struct forward_world *w, struct sim_endpoint *s,
               struct sim_call *job, int64_t done_us)
{
    struct fw_endpoint *e = s->spec;
    struct fw_request *r = forward_world_find_request(w, job->request);
    struct sim_event *ev = forward_world_schedule(w, done_us + ONE_WAY_US,
                                                  SIM_CALL_HEAD, job->node);
    e->runs++;
    r->runs++;
    ev->call = job->call;
    ev->status = e->fail_next_requests > 0 ? 500 : 200;
    e->fail_next_requests -= e->fail_next_requests > 0;
    bool breaks = e->break_next_requests > 0;
    e->break_next_requests -= breaks;
    if (breaks) {
        ev->kind = SIM_CALL_END;
        ev->end = CALL_END_BROKEN;
        return;
    }
    int64_t at = done_us + ONE_WAY_US;
    int events = e->events > 0 ? e->events : 1;
    for (int i = job->resume_after + 1; i < events || i == 0; i++) {
        struct sim_event *b =
            forward_world_schedule(w, at, SIM_CALL_BYTES, job->node);
        b->call = job->call;
        if (e->events > 0) {
            snprintf(b->text, sizeof(b->text), "id: %d\ndata: e%d\n\n", i, i);
        }
        else {
            snprintf(b->text, sizeof(b->text), "answer");
        }
        at += 10 * MS;
        if (e->break_after_event > 0 && i == e->break_after_event) {
            e->break_after_event = 0;
            struct sim_event *end =
                forward_world_schedule(w, at, SIM_CALL_END, job->node);
            end->call = job->call;
            end->end = CALL_END_BROKEN;
            return;
        }
    }
    struct sim_event *end =
        forward_world_schedule(w, at, SIM_CALL_END, job->node);
    end->call = job->call;
    end->end = CALL_END_COMPLETE;
}

static void
answer_pieces(struct forward_world *w, struct sim_endpoint *s,
              struct sim_call *job, int64_t done_us)
{
    struct sim_event *ev = forward_world_schedule(w, done_us + ONE_WAY_US,
                                                  SIM_PIECES_END, job->node);
    ev->call = job->call;
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
forward_world_start_calls(struct forward_world *w, struct sim_endpoint *s)
{
    while (s->running < s->spec->slots && !g_queue_is_empty(&s->waiting)) {
        struct sim_call *job = g_queue_pop_head(&s->waiting);
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
        free(job);
    }
}

static void
reject_call(struct forward_world *w, int node, uint64_t call, bool pieces)
{
    struct sim_event *ev =
        forward_world_schedule(w, w->now_us + 2 * ONE_WAY_US,
                               pieces ? SIM_PIECES_END : SIM_CALL_HEAD, node);
    ev->call = call;
    ev->status = 503;
    ev->meta.not_executed = true;
    ev->end = CALL_END_COMPLETE;
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
        free(job);
        return;
    }
    e->calls++;
    e->pieces += job->pieces ? job->count : 0;
    e->last_arrival_us = w->now_us;
    if ((int)g_queue_get_length(&s->waiting) + s->running >=
        e->slots + e->queue) {
        e->rejected++;
        reject_call(w, job->node, job->call, job->pieces);
        free(job);
        return;
    }
    g_queue_push_tail(&s->waiting, job);
    forward_world_start_calls(w, s);
}
