#include "model/site.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

struct site *
site_new(struct routing *routing, int node_count, int capacity, int nodes)
{
    struct site *s = mem_zero(1, sizeof(*s));
    atomic_init(&s->refs, 1);
    s->routing = routing_ref(routing);
    s->node_count = node_count > 0 ? node_count : 1;
    s->endpoints =
        mem_zero((size_t)capacity + 1, sizeof(struct site_endpoint));
    s->alive = mem_zero((size_t)nodes + 1, sizeof(struct site_node));
    return s;
}

struct site *
site_ref(struct site *s)
{
    atomic_fetch_add(&s->refs, 1);
    return s;
}

void
site_unref(struct site *s)
{
    if (!s || atomic_fetch_sub(&s->refs, 1) != 1) {
        return;
    }
    for (int i = 0; i < s->endpoint_count; i++) {
        str_free(&s->endpoints[i].id);
        str_free(&s->endpoints[i].address);
        str_free(&s->endpoints[i].zone);
    }
    for (int i = 0; i < s->alive_count; i++) {
        str_free(&s->alive[i].address);
        str_free(&s->alive[i].key);
    }
    routing_unref(s->routing);
    free(s->alive);
    free(s->endpoints);
    free(s);
}

void
site_add(struct site *s, const struct endpoint_record *e, int service,
         int64_t cold_until_us)
{
    struct site_endpoint *to = &s->endpoints[s->endpoint_count++];
    to->id = str_dup(e->id);
    to->address = str_dup(e->address);
    to->zone = str_dup(e->zone);
    to->service = service;
    to->slots = e->slots;
    to->cold_until_us = cold_until_us;
    to->born_ms = e->born_ms;
}

void
site_add_node(struct site *s, struct str name, struct str registered)
{
    struct site_node *n = &s->alive[s->alive_count++];
    const char *space =
        registered.len ? memchr(registered.ptr, ' ', registered.len) : NULL;
    n->hash = hash64(name);
    if (space) {
        size_t len = (size_t)(space - registered.ptr);
        n->address = str_dup(str_of(registered.ptr, len));
        n->key = str_dup(str_of(space + 1, registered.len - len - 1));
    }
}

static int
compare_hash(const void *a, const void *b)
{
    const struct site_node *x = a;
    const struct site_node *y = b;
    return (x->hash > y->hash) - (x->hash < y->hash);
}

void
site_sort_nodes(struct site *s)
{
    qsort(s->alive, (size_t)s->alive_count, sizeof(s->alive[0]), compare_hash);
}

int
site_node_at(const struct site *s, uint64_t hash)
{
    int lo = 0;
    int hi = s->alive_count;
    while (lo < hi) {
        int mid = lo + (hi - lo) / 2;
        if (s->alive[mid].hash < hash) {
            lo = mid + 1;
        }
        else {
            hi = mid;
        }
    }
    return lo;
}

const struct site_node *
site_find_node(const struct site *s, uint64_t hash)
{
    int i = site_node_at(s, hash);
    return i < s->alive_count && s->alive[i].hash == hash ? &s->alive[i]
                                                          : NULL;
}

void
endpoint_record_free(struct endpoint_record *e)
{
    str_free(&e->id);
    str_free(&e->service);
    str_free(&e->address);
    str_free(&e->zone);
    *e = (struct endpoint_record){0};
}
