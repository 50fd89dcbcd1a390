#include "model/routing.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define MAX_HOST_BYTES 256

struct routing {
    atomic_int refs;
    int64_t version;
    struct caller_limits limits;
    GPtrArray *routes; /* struct route, owned */
    GHashTable *
        routes_by_host; /* host -> GPtrArray of routes, longest prefix first */
    GArray *services;
    GHashTable *service_index; /* name -> index + 1 */
    bool requires_credentials;
    GArray *teams;
    GHashTable *keys; /* credential -> team index + 1 */
};

static char *
to_c_string(struct str s)
{
    return g_strndup(s.ptr ? s.ptr : "", s.len);
}

struct routing *
routing_new(int64_t version)
{
    struct routing *r = mem_calloc(1, sizeof(*r));
    atomic_init(&r->refs, 1);
    r->version = version;
    r->routes = g_ptr_array_new();
    r->routes_by_host = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    r->services = g_array_new(FALSE, TRUE, sizeof(struct service));
    r->service_index =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    r->teams = g_array_new(FALSE, TRUE, sizeof(struct routing_team));
    r->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return r;
}

struct routing *
routing_ref(struct routing *r)
{
    atomic_fetch_add(&r->refs, 1);
    return r;
}

void
routing_unref(struct routing *r)
{
    if (!r || atomic_fetch_sub(&r->refs, 1) != 1) {
        return;
    }
    for (guint i = 0; i < r->routes->len; i++) {
        struct route *route = g_ptr_array_index(r->routes, i);
        str_free(&route->name);
        str_free(&route->host);
        str_free(&route->prefix);
        free(route);
    }
    for (guint i = 0; i < r->services->len; i++) {
        struct service *s = &g_array_index(r->services, struct service, i);
        str_free(&s->name);
        str_free(&s->health_path);
    }
    for (guint i = 0; i < r->teams->len; i++) {
        str_free(&g_array_index(r->teams, struct routing_team, i).name);
    }
    g_ptr_array_free(r->routes, TRUE);
    g_hash_table_destroy(r->routes_by_host);
    g_array_free(r->services, TRUE);
    g_hash_table_destroy(r->service_index);
    g_array_free(r->teams, TRUE);
    g_hash_table_destroy(r->keys);
    free(r);
}

int64_t
routing_version(const struct routing *r)
{
    return r->version;
}

struct caller_limits *
routing_caller_limits(struct routing *r)
{
    return &r->limits;
}

int
routing_add_service(struct routing *r, const struct service *s)
{
    g_array_append_val(r->services, *s);
    int index = (int)r->services->len - 1;
    g_hash_table_insert(r->service_index, to_c_string(s->name),
                        GINT_TO_POINTER(index + 1));
    return index;
}

void
routing_add_route(struct routing *r, const struct route *route)
{
    struct route *copy = mem_calloc(1, sizeof(*copy));
    *copy = *route;
    g_ptr_array_add(r->routes, copy);
    char *host = to_c_string(copy->host);
    GPtrArray *list = g_hash_table_lookup(r->routes_by_host, host);
    if (!list) {
        list = g_ptr_array_new();
        g_hash_table_insert(r->routes_by_host, host, list);
    }
    else {
        g_free(host);
    }
    guint at = 0;
    while (at < list->len) {
        const struct route *other = g_ptr_array_index(list, at);
        if (other->prefix.len < copy->prefix.len) {
            break;
        }
        at++;
    }
    g_ptr_array_insert(list, (gint)at, copy);
}

void
routing_require_credentials(struct routing *r)
{
    r->requires_credentials = true;
}

int
routing_add_team(struct routing *r, const struct routing_team *t)
{
    routing_require_credentials(r);
    g_array_append_val(r->teams, *t);
    return (int)r->teams->len - 1;
}

void
routing_add_credential(struct routing *r, struct str key, int team)
{
    g_hash_table_insert(r->keys, to_c_string(key), GINT_TO_POINTER(team + 1));
}

int
routing_service_count(const struct routing *r)
{
    return (int)r->services->len;
}

const struct service *
routing_service(const struct routing *r, int index)
{
    return &g_array_index(r->services, struct service, index);
}

static int
lookup_index(GHashTable *table, struct str name)
{
    char *key = to_c_string(name);
    int index = GPOINTER_TO_INT(g_hash_table_lookup(table, key)) - 1;
    g_free(key);
    return index;
}

int
routing_find_service(const struct routing *r, struct str name)
{
    return lookup_index(r->service_index, name);
}

bool
routing_has_teams(const struct routing *r)
{
    return r->teams->len > 0;
}

bool
routing_requires_credentials(const struct routing *r)
{
    return r->requires_credentials;
}

const struct routing_team *
routing_team(const struct routing *r, int index)
{
    return &g_array_index(r->teams, struct routing_team, index);
}

int
routing_find_team_by_credential(const struct routing *r, struct str key)
{
    return lookup_index(r->keys, key);
}

const struct route *
routing_find_route(const struct routing *r, struct str host, struct str path)
{
    char name[MAX_HOST_BYTES];
    size_t n = 0;
    while (n < host.len && n < sizeof(name) - 1 && host.ptr[n] != ':') {
        name[n] = g_ascii_tolower(host.ptr[n]);
        n++;
    }
    name[n] = 0;
    const GPtrArray *list = g_hash_table_lookup(r->routes_by_host, name);
    for (guint i = 0; list && i < list->len; i++) {
        const struct route *route = g_ptr_array_index(list, i);
        if (str_starts_with(path, route->prefix)) {
            return route;
        }
    }
    return NULL;
}

int
routing_route_count(const struct routing *r)
{
    return (int)r->routes->len;
}
