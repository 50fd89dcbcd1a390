#include "bench/world_internal.h"

#include <stdlib.h>

/* Network latency to the store and its service time. */
#define STORE_ONE_WAY_US 1000
#define STORE_SERVICE_US 1000

static struct store_entry *
find_entry(struct world *w, struct str key, bool create)
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
        mem_realloc(w->store, (size_t)w->store_count + 1, sizeof(*w->store));
    struct store_entry *e = &w->store[w->store_count++];
    *e = (struct store_entry){.key = str_dup(key), .value = {0}};
    return e;
}

static void
finish(struct world *w, uint64_t id, enum store_outcome outcome,
       int64_t revision, struct str value, int64_t after)
{
    struct store_call *c = w->store_calls[id];
    if (c->finished) {
        return;
    }
    c->finished = true;
    struct store_result *r = mem_calloc(1, sizeof(*r));
    *r = (struct store_result){c->op.id, outcome, revision, str_dup(value)};
    world_schedule_event(w, w->now_us + after, EV_STORE_RESULT, c->node, id,
                         r);
}

static void
wake_watches(struct world *w, const struct store_entry *e)
{
    for (uint64_t i = 0; i < w->store_call_count; i++) {
        struct store_call *c = w->store_calls[i];
        if (c && c->watching && !c->finished && str_eq(c->op.key, e->key) &&
            e->revision > c->op.expect) {
            finish(w, i, STORE_OK, e->revision, e->value,
                   STORE_ONE_WAY_US + w->faults.store_delay_us);
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
    write_entry(w, find_entry(w, str_from_cstr(key), true), value);
}

static void
compare_and_swap(struct world *w, uint64_t id, struct store_call *c,
                 int64_t back)
{
    w->totals.store_writes++;
    struct store_entry *e = find_entry(w, c->op.key, false);
    int64_t have = e ? e->revision : 0;
    if (have != c->op.expect) {
        finish(w, id, STORE_CONFLICT, have, (struct str){0}, back);
        return;
    }
    e = find_entry(w, c->op.key, true);
    write_entry(w, e, c->op.value);
    if (rng_uniform(&w->rng) < w->faults.store_result_loss) {
        return; /* the timeout reports STORE_OUTCOME_UNKNOWN */
    }
    finish(w, id, STORE_OK, e->revision, (struct str){0}, back);
}

static void
execute(struct world *w, uint64_t id)
{
    struct store_call *c = w->store_calls[id];
    if (!c || c->finished) {
        return;
    }
    w->totals.store_calls++;
    bool cut = w->faults.store_cut_nodes & (1ULL << c->node);
    if (w->faults.store_down || cut) {
        /* Half of the calls fail because the port is closed, the others
         * get no answer. */
        if (rng_below(&w->rng, 2) == 0) {
            finish(w, id, STORE_FAILED, 0, (struct str){0}, STORE_ONE_WAY_US);
        }
        return;
    }
    int64_t back = STORE_ONE_WAY_US + w->faults.store_delay_us / 2;
    struct store_entry *e = find_entry(w, c->op.key, false);
    switch (c->op.kind) {
    case STORE_GET:
        finish(w, id, e ? STORE_OK : STORE_NOT_FOUND, e ? e->revision : 0,
               e ? e->value : (struct str){0}, back);
        break;
    case STORE_CAS:
        compare_and_swap(w, id, c, back);
        break;
    case STORE_WATCH:
        if (e && e->revision > c->op.expect) {
            finish(w, id, STORE_OK, e->revision, e->value, back);
            break;
        }
        c->watching = true;
        break;
    }
}

void
store_submit(struct world *w, int n, const struct store_op *op)
{
    struct store_call *c = mem_calloc(1, sizeof(*c));
    c->op = *op;
    c->op.key = str_dup(op->key);
    c->op.value = str_dup(op->value);
    c->node = n;
    c->incarnation = w->nodes[n].incarnation;
    uint64_t id = w->store_call_count++;
    if ((id & (id + 1)) == 0) {
        w->store_calls = mem_realloc(w->store_calls, 2 * id + 2,
                                     sizeof(struct store_call *));
    }
    w->store_calls[id] = c;
    world_schedule_event(w,
                         w->now_us + STORE_ONE_WAY_US + STORE_SERVICE_US +
                             w->faults.store_delay_us / 2,
                         EV_STORE_EXEC, n, id, NULL);
    world_schedule_event(w, w->now_us + op->timeout_us, EV_STORE_TIMEOUT, n,
                         id, NULL);
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
deliver_result(struct world *w, const struct event *e)
{
    struct store_result *r = e->data;
    struct store_call *c = w->store_calls[e->id];
    struct control_event ev = {.kind = CONTROL_EV_STORE, .store = *r};
    if (c && c->incarnation == w->nodes[e->index].incarnation &&
        w->nodes[e->index].up) {
        node_handle_control_event(w, e->index, &ev);
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
    if (!c->finished) {
        c->finished = true;
        struct store_result *r = mem_calloc(1, sizeof(*r));
        *r = (struct store_result){c->op.id, STORE_OUTCOME_UNKNOWN, 0, {0}};
        world_schedule_event(w, w->now_us, EV_STORE_RESULT, c->node, id, r);
        /* Freed by store_free, because the result event still reads it.
         */
        c->watching = false;
        return;
    }
    release(w, id);
}

void
store_handle_event(struct world *w, const struct event *e)
{
    switch (e->kind) {
    case EV_STORE_EXEC:
        execute(w, e->id);
        break;
    case EV_STORE_RESULT:
        deliver_result(w, e);
        break;
    default:
        expire(w, e->id);
        break;
    }
}

void
store_free(struct world *w)
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
