#include "tests/vnet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define IMMEDIATE_TICKS_MAX 8

enum kind { EV_MESSAGE, EV_STORE_RESULT, EV_LATE_WRITE, EV_WATCH };

struct vnet_event {
    int64_t at_us;
    uint64_t seq;
    enum kind kind;
    int node;
    int process;
    struct str bytes; /* owned: message, or value of a store result */
    struct store_result result;
    struct store_op op; /* key and value owned */
};

void
vnet_init(struct vnet *s, int count, uint64_t seed, void *arg)
{
    memset(s, 0, sizeof(*s));
    rng_seed(&s->rng, seed);
    s->count = count;
    s->arg = arg;
    s->delay_us = 500;
    s->jitter_us = 500;
    for (int i = 0; i < count; i++) {
        s->ids[i] = (uint64_t)i + 1;
        s->up[i] = true;
        s->wakeup_time_us[i] = 0;
    }
}

static void
release(struct vnet_event *e)
{
    str_free(&e->bytes);
    str_free(&e->op.key);
    str_free(&e->op.value);
}

void
vnet_clear(struct vnet *s)
{
    for (size_t i = 0; i < s->heap_count; i++) {
        release(&s->heap[i]);
    }
    for (int i = 0; i < s->key_count; i++) {
        str_free(&s->keys[i].value);
    }
    free(s->heap);
}

static bool
before(const struct vnet_event *a, const struct vnet_event *b)
{
    return a->at_us < b->at_us || (a->at_us == b->at_us && a->seq < b->seq);
}

static void
push(struct vnet *s, struct vnet_event e)
{
    if (s->heap_count == s->heap_cap) {
        s->heap_cap = s->heap_cap ? s->heap_cap * 2 : 256;
        s->heap = mem_realloc(s->heap, s->heap_cap, sizeof(*s->heap));
    }
    e.seq = s->next_seq++;
    size_t i = s->heap_count++;
    while (i && before(&e, &s->heap[(i - 1) / 2])) {
        s->heap[i] = s->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    s->heap[i] = e;
}

static struct vnet_event
pop(struct vnet *s)
{
    struct vnet_event top = s->heap[0];
    struct vnet_event last = s->heap[--s->heap_count];
    size_t i = 0;
    for (;;) {
        size_t k = 2 * i + 1;
        if (k >= s->heap_count) {
            break;
        }
        if (k + 1 < s->heap_count && before(&s->heap[k + 1], &s->heap[k])) {
            k++;
        }
        if (!before(&s->heap[k], &last)) {
            break;
        }
        s->heap[i] = s->heap[k];
        i = k;
    }
    s->heap[i] = last;
    return top;
}

struct vnet_key *
vnet_key(struct vnet *s, struct str key)
{
    for (int i = 0; i < s->key_count; i++) {
        if (str_eq_cstr(key, s->keys[i].name)) {
            return &s->keys[i];
        }
    }
    struct vnet_key *k = &s->keys[s->key_count++];
    memcpy(k->name, key.ptr, key.len);
    return k;
}

/* Completes the open watches of a key that was written. */
static void
wake_watches(struct vnet *s, const struct vnet_key *k)
{
    for (size_t i = 0; i < s->heap_count; i++) {
        struct vnet_event *e = &s->heap[i];
        if (e->kind == EV_WATCH && str_eq_cstr(e->op.key, k->name) &&
            e->result.outcome == STORE_OUTCOME_UNKNOWN) {
            struct vnet_event hit = {.kind = EV_STORE_RESULT,
                                     .at_us = s->now_us + 1000,
                                     .node = e->node,
                                     .process = e->process,
                                     .bytes = str_dup(k->value)};
            hit.result =
                (struct store_result){e->op.id, STORE_OK, k->revision, {0}};
            e->result.outcome = STORE_NOT_FOUND; /* the watch is completed */
            push(s, hit);
        }
    }
}

static void
put(struct vnet *s, struct vnet_key *k, struct str value)
{
    str_free(&k->value);
    k->value = str_dup(value);
    k->revision = ++s->revision;
    wake_watches(s, k);
}

int64_t
vnet_put_key(struct vnet *s, const char *key, struct str value)
{
    struct vnet_key *k = vnet_key(s, str_from_cstr(key));
    put(s, k, value);
    return k->revision;
}

static void
perform_store_op(struct vnet *s, int node, const struct store_op *op)
{
    struct vnet_event e = {
        .kind = EV_STORE_RESULT, .node = node, .process = s->process[node]};
    struct vnet_key *k = vnet_key(s, op->key);
    bool lost = s->store_loss > 0 && rng_uniform(&s->rng) < s->store_loss;
    int64_t fast_answer_us =
        s->now_us + 1000 + (int64_t)rng_below(&s->rng, 2000);
    s->store_calls++;
    e.result.id = op->id;
    e.at_us = fast_answer_us;
    if (s->store_down || s->store_unreachable[node]) {
        bool refused = rng_below(&s->rng, 2);
        e.result.outcome = refused ? STORE_FAILED : STORE_OUTCOME_UNKNOWN;
        e.at_us = refused ? fast_answer_us : s->now_us + op->timeout_us;
        push(s, e);
        return;
    }
    switch (op->kind) {
    case STORE_GET:
        e.result.outcome = k->revision ? STORE_OK : STORE_NOT_FOUND;
        e.result.revision = k->revision;
        e.bytes = str_dup(k->value);
        s->store_bytes += (int64_t)k->value.len;
        break;
    case STORE_WATCH:
        if (k->revision > op->expect) {
            e.result.outcome = STORE_OK;
            e.result.revision = k->revision;
            e.bytes = str_dup(k->value);
            break;
        }
        e.kind = EV_WATCH;
        e.op = *op;
        e.op.key = str_dup(op->key);
        e.op.value = (struct str){0};
        e.result.outcome = STORE_OUTCOME_UNKNOWN;
        e.at_us = s->now_us + op->timeout_us;
        push(s, e);
        return;
    case STORE_CAS:
        if (lost && rng_below(&s->rng, 2)) {
            /* The write is applied late, before or after the time-out of the
             * caller. */
            struct vnet_event late = {.kind = EV_LATE_WRITE, .op = *op};
            late.at_us = s->now_us + (int64_t)rng_below(&s->rng, 3000000);
            late.op.key = str_dup(op->key);
            late.op.value = str_dup(op->value);
            push(s, late);
        }
        else if (k->revision != op->expect) {
            e.result.outcome = STORE_CONFLICT;
        }
        else if (!lost || rng_below(&s->rng, 2)) {
            put(s, k, op->value);
            e.result.revision = k->revision;
        }
        break;
    }
    if (lost) {
        str_free(&e.bytes);
        e.result.outcome = STORE_OUTCOME_UNKNOWN;
        e.at_us = s->now_us + op->timeout_us;
    }
    push(s, e);
}

static int
node_index(const struct vnet *s, uint64_t id)
{
    return id >= 1 && id <= (uint64_t)s->count ? (int)id - 1 : -1;
}

void
vnet_perform_action(struct vnet *s, int node, const struct control_action *a)
{
    if (a->kind == CONTROL_ACT_STORE) {
        perform_store_op(s, node, &a->store);
    }
    if (a->kind != CONTROL_ACT_SEND) {
        return;
    }
    int to = node_index(s, a->send.to);
    struct buf bytes = {0};
    msg_encode(&a->send.msg, &bytes);
    s->messages++;
    s->bytes += (int64_t)bytes.len;
    if (to < 0 || s->partition_id[to] != s->partition_id[node] ||
        rng_uniform(&s->rng) < s->loss ||
        (bytes.len > 400 && rng_uniform(&s->rng) < s->large_message_loss)) {
        buf_free(&bytes);
        return;
    }
    struct vnet_event e = {.kind = EV_MESSAGE, .node = to};
    e.at_us = s->now_us + s->delay_us +
              (int64_t)rng_below(&s->rng, (uint64_t)s->jitter_us + 1);
    e.bytes = buf_take_str(&bytes);
    push(s, e);
}

void
vnet_dispatch_event(struct vnet *s, int node, const struct control_event *ev)
{
    s->step(s->arg, node, ev);
    s->wakeup_time_us[node] = s->wakeup(s->arg, node);
}

static void
deliver(struct vnet *s, struct vnet_event *e)
{
    struct control_event ev = {0};
    struct vnet_key *k;
    switch (e->kind) {
    case EV_MESSAGE:
        ev.kind = CONTROL_EV_MSG;
        if (s->up[e->node] && msg_decode(e->bytes, &ev.msg) == ST_OK) {
            vnet_dispatch_event(s, e->node, &ev);
        }
        break;
    case EV_WATCH:
        if (e->result.outcome != STORE_OUTCOME_UNKNOWN) {
            break;
        }
        e->result.id = e->op.id;
        /* fall through */
    case EV_STORE_RESULT:
        ev.kind = CONTROL_EV_STORE;
        ev.store = e->result;
        ev.store.value = e->bytes;
        if (s->up[e->node] && e->process == s->process[e->node]) {
            vnet_dispatch_event(s, e->node, &ev);
        }
        break;
    case EV_LATE_WRITE:
        k = vnet_key(s, e->op.key);
        if (k->revision == e->op.expect) {
            put(s, k, e->op.value);
        }
        break;
    }
}

void
vnet_run_until(struct vnet *s, int64_t until_us)
{
    static const struct control_event tick = {.kind = CONTROL_EV_TICK};
    for (;;) {
        int64_t at = s->heap_count ? s->heap[0].at_us : INT64_MAX;
        int node = -1;
        for (int i = 0; i < s->count; i++) {
            int64_t wake = s->wakeup_time_us[i];
            if (wake < s->paused_until_us[i]) {
                wake = s->paused_until_us[i];
            }
            if (s->up[i] && wake < at) {
                at = wake;
                node = i;
            }
        }
        if (at > until_us) {
            break;
        }
        if (at > s->now_us) {
            s->now_us = at;
        }
        if (node >= 0) {
            vnet_dispatch_event(s, node, &tick);
            /* A control core that always requests an immediate tick would use
             * a whole processor in the daemon. */
            bool now = s->wakeup_time_us[node] <= s->now_us;
            s->immediate_ticks[node] = now ? s->immediate_ticks[node] + 1 : 0;
            if (s->immediate_ticks[node] > IMMEDIATE_TICKS_MAX) {
                fprintf(stderr, "node %d requests immediate ticks endlessly\n",
                        node);
                abort();
            }
            continue;
        }
        struct vnet_event e = pop(s);
        if (e.kind != EV_LATE_WRITE &&
            s->paused_until_us[e.node] > s->now_us) {
            e.at_us = s->paused_until_us[e.node];
            push(s, e);
            continue;
        }
        deliver(s, &e);
        release(&e);
    }
    s->now_us = until_us;
}
