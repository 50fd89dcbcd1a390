#include "bench/world_internal.h"

#include <stdlib.h>

/* One way to the service and its service time. */
#define STORE_TRIP_US 1000
#define STORE_WORK_US 1000

static struct store_entry *
entry(struct world *w, struct str key, bool create)
{
    for (int i = 0; i < w->store_count; i++) {
        if (str_eq(w->store[i].key, key)) {
            return &w->store[i];
        }
    }
    if (!create) {
        return NULL;
    }
    w->store =
        mem_grow(w->store, (size_t)w->store_count + 1, sizeof(*w->store));
    struct store_entry *e = &w->store[w->store_count++];
    *e = (struct store_entry){.key = str_dup(key), .value = {0}};
    return e;
}

static void
finish(struct world *w, uint64_t id, enum store_outcome outcome,
       int64_t revision, struct str value, int64_t after)
{
    struct store_call *c = w->store_calls[id];
    if (c->over) {
        return;
    }
    c->over = true;
    struct store_result *r = mem_zero(1, sizeof(*r));
    *r = (struct store_result){c->op.id, outcome, revision, str_dup(value)};
    world_push(w, w->now + after, EV_STORE_RESULT, c->node, id, r);
}

static void
wake_watches(struct world *w, const struct store_entry *e)
{
    for (uint64_t i = 0; i < w->store_call_count; i++) {
        struct store_call *c = w->store_calls[i];
        if (c && c->waiting && !c->over && str_eq(c->op.key, e->key) &&
            e->revision > c->op.expect) {
            finish(w, i, STORE_OK, e->revision, e->value,
                   STORE_TRIP_US + w->knobs.store_delay_us);
        }
    }
}

static void
write_entry(struct world *w, struct store_entry *e, struct str value)
{
    str_free(&e->value);
    e->value = str_dup(value);
    e->revision = ++w->store_revision;
    wake_watches(w, e);
}

void
store_put(struct world *w, const char *key, struct str value)
{
    write_entry(w, entry(w, str_from(key), true), value);
}

static void
cas(struct world *w, uint64_t id, struct store_call *c, int64_t back)
{
    w->totals.store_writes++;
    struct store_entry *e = entry(w, c->op.key, false);
    int64_t have = e ? e->revision : 0;
    if (have != c->op.expect) {
        finish(w, id, STORE_CONFLICT, have, (struct str){0}, back);
        return;
    }
    e = entry(w, c->op.key, true);
    write_entry(w, e, c->op.value);
    if (rng_unit(&w->rng) < w->knobs.store_lose) {
        return; /* the time-out reports STORE_LOST */
    }
    finish(w, id, STORE_OK, e->revision, (struct str){0}, back);
}

static void
exec(struct world *w, uint64_t id)
{
    struct store_call *c = w->store_calls[id];
    if (!c || c->over) {
        return;
    }
    w->totals.store_calls++;
    bool cut = w->knobs.store_cut & (1ULL << c->node);
    if (w->knobs.store_down || cut) {
        /* Half of the calls find the port closed, the others get no
         * answer. */
        if (rng_below(&w->rng, 2) == 0) {
            finish(w, id, STORE_FAILED, 0, (struct str){0}, STORE_TRIP_US);
        }
        return;
    }
    int64_t back = STORE_TRIP_US + w->knobs.store_delay_us / 2;
    struct store_entry *e = entry(w, c->op.key, false);
    switch (c->op.kind) {
    case STORE_GET:
        finish(w, id, e ? STORE_OK : STORE_ABSENT, e ? e->revision : 0,
               e ? e->value : (struct str){0}, back);
        break;
    case STORE_CAS:
        cas(w, id, c, back);
        break;
    case STORE_WATCH:
        if (e && e->revision > c->op.expect) {
            finish(w, id, STORE_OK, e->revision, e->value, back);
            break;
        }
        c->waiting = true;
        break;
    }
}

void
store_submit(struct world *w, int n, const struct store_op *op)
{
    struct store_call *c = mem_zero(1, sizeof(*c));
    c->op = *op;
    c->op.key = str_dup(op->key);
    c->op.value = str_dup(op->value);
    c->node = n;
    c->gen = w->nodes[n].gen;
    uint64_t id = w->store_call_count++;
    if ((id & (id + 1)) == 0) {
        w->store_calls =
            mem_grow(w->store_calls, 2 * id + 2, sizeof(struct store_call *));
    }
    w->store_calls[id] = c;
    world_push(w,
               w->now + STORE_TRIP_US + STORE_WORK_US +
                   w->knobs.store_delay_us / 2,
               EV_STORE_EXEC, n, id, NULL);
    world_push(w, w->now + op->timeout_us, EV_STORE_EXPIRE, n, id, NULL);
}

static void
release(struct world *w, uint64_t id)
{
    struct store_call *c = w->store_calls[id];
    if (c) {
        str_free(&c->op.key);
        str_free(&c->op.value);
        free(c);
        w->store_calls[id] = NULL;
    }
}

static void
result(struct world *w, const struct event *e)
{
    struct store_result *r = e->data;
    struct store_call *c = w->store_calls[e->b];
    struct control_event ev = {.kind = CONTROL_EV_STORE, .store = *r};
    if (c && c->gen == w->nodes[e->a].gen && w->nodes[e->a].up) {
        node_control(w, e->a, &ev);
    }
    str_free(&r->value);
    free(r);
}

static void
expire(struct world *w, uint64_t id)
{
    struct store_call *c = w->store_calls[id];
    if (!c) {
        return;
    }
    if (!c->over) {
        c->over = true;
        struct store_result *r = mem_zero(1, sizeof(*r));
        *r = (struct store_result){c->op.id, STORE_LOST, 0, {0}};
        world_push(w, w->now, EV_STORE_RESULT, c->node, id, r);
        /* Released when the run ends: its result is still to be read. */
        c->waiting = false;
        return;
    }
    release(w, id);
}

void
store_event(struct world *w, const struct event *e)
{
    switch (e->kind) {
    case EV_STORE_EXEC:
        exec(w, e->b);
        break;
    case EV_STORE_RESULT:
        result(w, e);
        break;
    default:
        expire(w, e->b);
        break;
    }
}

void
store_free_all(struct world *w)
{
    for (uint64_t i = 0; i < w->store_call_count; i++) {
        release(w, i);
    }
    free(w->store_calls);
    for (int i = 0; i < w->store_count; i++) {
        str_free(&w->store[i].key);
        str_free(&w->store[i].value);
    }
    free(w->store);
}
