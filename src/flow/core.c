#include "flow/core.h"

#include <stdlib.h>
#include <string.h>

#include "flow/pool.h"
#include "flow/request.h"

#define ARENA_BLOCK 16384

struct arena_block {
    struct arena_block *next;
    size_t used;
    size_t cap;
    char bytes[];
};

struct flow_action *
core_add_action(struct flow *f, enum flow_action_kind kind)
{
    if (f->action_count == f->action_cap) {
        f->action_cap = f->action_cap ? f->action_cap * 2 : 32;
        f->actions =
            mem_realloc(f->actions, f->action_cap, sizeof(*f->actions));
    }
    struct flow_action *a = &f->actions[f->action_count++];
    memset(a, 0, sizeof(*a));
    a->kind = kind;
    return a;
}

struct control_request *
core_add_control_message(struct flow *f, enum control_request_kind kind)
{
    struct control_request *a =
        &core_add_action(f, FLOW_ACT_CONTROL_MESSAGE)->ask;
    a->kind = kind;
    return a;
}

struct str
core_copy_str(struct flow *f, struct str s)
{
    struct arena_block *b = f->arena;
    if (!b || b->cap - b->used < s.len + 1) {
        size_t cap = s.len + 1 > ARENA_BLOCK ? s.len + 1 : ARENA_BLOCK;
        b = mem_calloc(1, sizeof(*b) + cap);
        b->cap = cap;
        b->next = f->arena;
        f->arena = b;
    }
    char *p = b->bytes + b->used;
    if (s.len) {
        memcpy(p, s.ptr, s.len);
    }
    p[s.len] = 0;
    b->used += s.len + 1;
    return (struct str){p, s.len};
}

void
core_add_span(struct flow *f, const struct request *r, const char *name,
              int stage, const struct call *c, int64_t start_us,
              const char *outcome)
{
    core_add_action(f, FLOW_ACT_SPAN)->span = (struct flow_span){
        .req = r->req,
        .name = name,
        .stage = stage,
        .attempt = c ? c->attempt : 0,
        .endpoint = c ? c->ep->id : (struct str){0},
        .start_us = start_us,
        .end_us = f->now_us,
        .outcome = outcome,
    };
}

uint64_t
core_next_seq(struct flow *f)
{
    return (uint64_t)f->opts.thread << 56 | ++f->seq;
}

bool
core_is_fresh(const struct flow *f)
{
    return f->now_us < f->fresh_until_us;
}

static void
arena_reset(struct flow *f, bool all)
{
    while (f->arena && (all || f->arena->next)) {
        struct arena_block *b = f->arena;
        f->arena = b->next;
        free(b);
    }
    if (f->arena) {
        f->arena->used = 0;
    }
}

static void
free_dead(struct flow *f)
{
    while (f->ended_requests) {
        struct request *r = f->ended_requests;
        f->ended_requests = r->ended_next;
        request_destroy(r);
    }
    while (f->ended_calls) {
        struct call *c = f->ended_calls;
        f->ended_calls = c->ended_next;
        free(c);
    }
    while (f->removed_endpoints) {
        struct endpoint *ep = f->removed_endpoints;
        f->removed_endpoints = ep->next_removed;
        pool_endpoint_free(ep);
    }
}

void
core_begin_step(struct flow *f, int64_t now_us)
{
    /* Time never runs backwards, even if the caller passes an older time. */
    f->now_us = now_us > f->now_us ? now_us : f->now_us;
    f->action_count = f->action_next = 0;
    arena_reset(f, false);
    free_dead(f);
}

void
core_free(struct flow *f)
{
    arena_reset(f, true);
    free_dead(f);
    free(f->actions);
}
