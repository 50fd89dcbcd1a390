#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/forward_world_state.h"

struct shop *
forward_world_shop(struct forward_world *w, struct str address)
{
    int64_t n = -1;
    str_to_i64(address, &n);
    return n >= 0 && n < w->endpoint_count ? &w->shops[n] : NULL;
}

const struct fw_service *
forward_world_service(const struct forward_world *w, const struct shop *s)
{
    for (int i = 0; i < w->service_count; i++) {
        if (strcmp(w->services[i].name, s->spec->service) == 0) {
            return &w->services[i];
        }
    }
    return NULL;
}

struct fw_request *
forward_world_by_id(const struct forward_world *w, uint64_t id)
{
    return id >= 1 && id <= w->requests->len
               ? g_ptr_array_index(w->requests, id - 1)
               : NULL;
}

static void
answer_request(struct forward_world *w, struct shop *s, struct work *k,
               int64_t done_us)
{
    struct fw_endpoint *e = s->spec;
    struct fw_request *r = forward_world_by_id(w, k->request);
    struct happening *h =
        forward_world_plan(w, done_us + TRAVEL_US, H_HEAD, k->node);
    e->runs++;
    r->runs++;
    h->call = k->call;
    h->status = e->fail_next > 0 ? 500 : 200;
    e->fail_next -= e->fail_next > 0;
    bool breaks = e->break_next > 0;
    e->break_next -= breaks;
    if (breaks) {
        h->kind = H_END;
        h->end = CALL_END_BROKEN;
        return;
    }
    int64_t at = done_us + TRAVEL_US;
    int events = e->events > 0 ? e->events : 1;
    for (int i = k->resume_after + 1; i < events || i == 0; i++) {
        struct happening *b = forward_world_plan(w, at, H_BYTES, k->node);
        b->call = k->call;
        if (e->events > 0) {
            snprintf(b->text, sizeof(b->text), "id: %d\ndata: e%d\n\n", i, i);
        }
        else {
            snprintf(b->text, sizeof(b->text), "answer");
        }
        at += 10 * MS;
        if (e->break_after > 0 && i == e->break_after) {
            e->break_after = 0;
            struct happening *end = forward_world_plan(w, at, H_END, k->node);
            end->call = k->call;
            end->end = CALL_END_BROKEN;
            return;
        }
    }
    struct happening *end = forward_world_plan(w, at, H_END, k->node);
    end->call = k->call;
    end->end = CALL_END_WHOLE;
}

static void
answer_pieces(struct forward_world *w, struct shop *s, struct work *k,
              int64_t done_us)
{
    struct happening *h =
        forward_world_plan(w, done_us + TRAVEL_US, H_PIECES, k->node);
    h->call = k->call;
    h->status = 200;
    h->end = CALL_END_WHOLE;
    h->result_count = k->count;
    h->results = mem_zero((size_t)k->count, sizeof(*h->results));
    for (int i = 0; i < k->count; i++) {
        h->results[i].outcome = k->items[i].room ? PIECE_DONE : PIECE_ROOM;
        if (k->items[i].room) {
            h->results[i].handle = str_dup(str_from(k->items[i].handle));
        }
        s->spec->no_room += !k->items[i].room;
    }
}

int64_t
forward_world_room(struct forward_world *w, struct shop *s)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->results);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct held_result *r = v;
        if (r->expires_us <= w->now_us) {
            s->used -= r->bytes;
            s->spec->held--;
            g_hash_table_iter_remove(&it);
        }
    }
    return s->spec->room_bytes ? s->spec->room_bytes - s->used : INT64_MAX;
}

static void
hold_results(struct forward_world *w, struct shop *s, struct work *k,
             int64_t expires_us)
{
    for (int i = 0; i < k->count; i++) {
        k->items[i].room = forward_world_room(w, s) >= k->items[i].bytes;
        if (!k->items[i].room) {
            continue;
        }
        snprintf(k->items[i].handle, sizeof(k->items[i].handle), "h%llu",
                 (unsigned long long)++w->handles);
        g_hash_table_insert(w->made_for, g_strdup(k->items[i].handle),
                            g_strdup(k->items[i].request));
        struct held_result *r = g_new(struct held_result, 1);
        *r = (struct held_result){k->items[i].bytes, expires_us};
        g_hash_table_insert(s->results, g_strdup(k->items[i].handle), r);
        s->used += k->items[i].bytes;
        s->spec->held++;
        if (s->spec->held > s->spec->max_held) {
            s->spec->max_held = s->spec->held;
        }
    }
}

void
forward_world_work(struct forward_world *w, struct shop *s)
{
    while (s->running < s->spec->slots && !g_queue_is_empty(&s->waiting)) {
        struct work *k = g_queue_pop_head(&s->waiting);
        const struct fw_service *info = forward_world_service(w, s);
        double length = (double)s->spec->work_us;
        if (k->pieces) {
            length = (double)(info->pieces.call_us +
                              k->count * info->pieces.item_us);
        }
        s->running++;
        if (s->running > s->spec->max_running) {
            s->spec->max_running = s->running;
        }
        double factor = s->spec->slow > 0 ? s->spec->slow : 1;
        int64_t done = w->now_us + (int64_t)(length * factor);
        if (k->pieces) {
            hold_results(w, s, k, done + info->pieces.keep_us);
        }
        struct happening *turn = forward_world_plan(w, done, H_TURN, k->node);
        turn->endpoint = (int)(s - w->shops);
        if (!s->spec->silent) {
            if (k->pieces) {
                answer_pieces(w, s, k, done);
            }
            else {
                answer_request(w, s, k, done);
            }
        }
        free(k);
    }
}

static void
reject(struct forward_world *w, int node, uint64_t call, bool pieces)
{
    struct happening *h = forward_world_plan(w, w->now_us + 2 * TRAVEL_US,
                                             pieces ? H_PIECES : H_HEAD, node);
    h->call = call;
    h->status = 503;
    h->meta.not_executed = true;
    h->end = CALL_END_WHOLE;
}

void
forward_world_unsent(struct forward_world *w, int node, uint64_t call,
                     bool pieces)
{
    struct happening *h = forward_world_plan(w, w->now_us + 2 * TRAVEL_US,
                                             pieces ? H_PIECES : H_END, node);
    h->call = call;
    h->end = CALL_END_UNSENT;
}

void
forward_world_arrive(struct forward_world *w, struct shop *s, struct work *k)
{
    struct fw_endpoint *e = s->spec;
    if (e->dead) {
        forward_world_unsent(w, k->node, k->call, k->pieces);
        free(k);
        return;
    }
    e->calls++;
    e->pieces += k->pieces ? k->count : 0;
    e->last_us = w->now_us;
    if ((int)g_queue_get_length(&s->waiting) + s->running >=
        e->slots + e->queue) {
        e->rejected++;
        reject(w, k->node, k->call, k->pieces);
        free(k);
        return;
    }
    g_queue_push_tail(&s->waiting, k);
    forward_world_work(w, s);
}
