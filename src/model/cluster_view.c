#include "model/cluster_view.h"

#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/hash.h"

/* Length and characters of a public key (Z85, ZeroMQ RFC 32). */
#define LINK_KEY_LEN 40
#define LINK_KEY_CHARACTERS                                                   \
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"          \
    ".-:+=^!/*?&<>()[]{}@%$#"

struct cluster_view *
cluster_view_new(struct routing *routing, int node_count, int capacity,
                 int nodes)
{
    struct cluster_view *s = mem_calloc(1, sizeof(*s));
    atomic_init(&s->refs, 1);
    s->routing = routing_ref(routing);
    s->node_count = node_count > 0 ? node_count : 1;
    s->endpoints =
        mem_calloc((size_t)capacity + 1, sizeof(struct cluster_endpoint));
    s->alive = mem_calloc((size_t)nodes + 1, sizeof(struct cluster_node));
    return s;
}

struct cluster_view *
cluster_view_ref(struct cluster_view *s)
{
    atomic_fetch_add(&s->refs, 1);
    return s;
}

void
cluster_view_unref(struct cluster_view *s)
{
    if (!s || atomic_fetch_sub(&s->refs, 1) != 1) {
        return;
    }
    for (int i = 0; i < s->endpoint_count; i++) {
        str_free(&s->endpoints[i].id);
        str_free(&s->endpoints[i].address);
        str_free(&s->endpoints[i].zone);
        str_free(&s->endpoints[i].version);
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
cluster_view_add_endpoint(struct cluster_view *s,
                          const struct endpoint_record *e, int service,
                          int64_t cold_until_us)
{
    struct cluster_endpoint *to = &s->endpoints[s->endpoint_count++];
    to->id = str_dup(e->id);
    to->address = str_dup(e->address);
    to->zone = str_dup(e->zone);
    to->version = str_dup(e->version);
    to->service = service;
    to->slots = e->slots;
    to->cold_until_us = cold_until_us;
    to->started_ms = e->started_ms;
}

/* Splits "ADDRESS KEY". */
static bool
split_registration(struct str registered, struct str *address, struct str *key)
{
    const char *space =
        registered.len ? memchr(registered.ptr, ' ', registered.len) : NULL;
    if (!space) {
        return false;
    }
    size_t len = (size_t)(space - registered.ptr);
    *address = str_from_bytes(registered.ptr, len);
    *key = str_from_bytes(space + 1, registered.len - len - 1);
    return true;
}

static bool
is_link_key(struct str key)
{
    size_t i = 0;
    while (i < key.len && memchr(LINK_KEY_CHARACTERS, key.ptr[i],
                                 sizeof(LINK_KEY_CHARACTERS) - 1)) {
        i++;
    }
    return i == key.len && key.len == LINK_KEY_LEN;
}

bool
cluster_view_is_registration(struct str registered)
{
    struct str address;
    struct str key;
    struct str ip;
    int port;
    return split_registration(registered, &address, &key) &&
           address_split_url(address, "tcp://", &ip, &port) &&
           is_link_key(key);
}

void
cluster_view_add_node(struct cluster_view *s, struct str name,
                      struct str registered, int cpu_milli)
{
    struct cluster_node *n = &s->alive[s->alive_count++];
    struct str address;
    struct str key;
    n->hash = hash64(name);
    n->cpu_milli = cpu_milli;
    if (split_registration(registered, &address, &key)) {
        n->address = str_dup(address);
        n->key = str_dup(key);
    }
}

static int
compare_hash(const void *a, const void *b)
{
    const struct cluster_node *x = a;
    const struct cluster_node *y = b;
    return (x->hash > y->hash) - (x->hash < y->hash);
}

void
cluster_view_sort_nodes(struct cluster_view *s)
{
    int strongest = 0;
    for (int i = 0; i < s->alive_count; i++) {
        strongest = s->alive[i].cpu_milli > strongest ? s->alive[i].cpu_milli
                                                      : strongest;
    }
    for (int i = 0; i < s->alive_count; i++) {
        struct cluster_node *n = &s->alive[i];
        n->weak = n->cpu_milli > 0 && n->cpu_milli < strongest / 2;
    }
    qsort(s->alive, (size_t)s->alive_count, sizeof(s->alive[0]), compare_hash);
}

int
cluster_view_lower_bound(const struct cluster_view *s, uint64_t hash)
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

const struct cluster_node *
cluster_view_find_node(const struct cluster_view *s, uint64_t hash)
{
    int i = cluster_view_lower_bound(s, hash);
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
    str_free(&e->version);
    *e = (struct endpoint_record){0};
}
