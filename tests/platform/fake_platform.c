/* Stand-in for the platform's store: items with revisions, long-polling
 * watches and leases. PUT /control/item?key=K stores a body as the operator
 * would, DELETE removes the item. POST /control {"mode":"ok|busy|silent"}
 * makes the store reject calls (busy) or not respond (silent).
 * POST /control {"copy":true} copies the data, and {"restore":true} returns to
 * that copy: what was written since is lost, leases too, revisions are given
 * out again and the era in the header of all responses rises by one. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/http.h"

#define HISTORY 4096

/* Entries of a transaction. */
#define MAX_TRANSACTION 32

struct item {
    char *key;
    char *value; /* base64 */
    int64_t revision;
    int64_t lease;
};

struct change {
    char *key;
    char *value; /* NULL: removed */
    int64_t revision;
};

struct lease {
    int64_t id;
    int64_t ttl_ms;
    uint64_t timer;
};

struct watcher {
    struct fh_req *req;
    char *prefix;
    int64_t after;
    uint64_t timer;
};

static struct {
    struct fh *h;
    GHashTable *items; /* key -> struct item */
    GPtrArray *changes;
    GHashTable *leases;
    GPtrArray *watchers;
    int64_t revision;
    int64_t next_lease;
    enum { OK, BUSY, SILENT } mode;
    int64_t calls;
    int64_t era;
    struct {
        GHashTable *items;
        int64_t revision;
        int64_t next_lease;
    } copy;
} st = {.revision = 1, .era = 1};

static void
item_free(gpointer p)
{
    struct item *i = p;
    g_free(i->key);
    g_free(i->value);
    g_free(i);
}

static void
reply(struct fh_req *r, int status, json_t *body)
{
    char *era = g_strdup_printf("%" PRId64, st.era);
    fh_add_header(r, "Store-Era", era);
    fh_reply_json(r, status, body);
    g_free(era);
}

static json_t *
events_after(const char *prefix, int64_t after)
{
    json_t *list = json_array();
    for (guint i = 0; i < st.changes->len; i++) {
        const struct change *c = g_ptr_array_index(st.changes, i);
        if (c->revision <= after || !g_str_has_prefix(c->key, prefix)) {
            continue;
        }
        json_t *e = json_pack("{s:s,s:I}", "key", c->key, "revision",
                              (json_int_t)c->revision);
        if (c->value) {
            json_object_set_new(e, "value", json_string(c->value));
        }
        else {
            json_object_set_new(e, "tombstone", json_true());
        }
        json_array_append_new(list, e);
    }
    return list;
}

static void
complete_watch(struct watcher *w)
{
    if (w->req) {
        json_t *events = events_after(w->prefix, w->after);
        struct fh_req *r = w->req;
        w->req = NULL;
        r->user = NULL;
        reply(r, 200,
              json_pack("{s:o,s:I}", "events", events, "currentRev",
                        (json_int_t)st.revision));
    }
    if (w->timer) {
        fh_cancel_timer(st.h, w->timer);
    }
    g_ptr_array_remove_fast(st.watchers, w);
    g_free(w->prefix);
    g_free(w);
}

static void
changed(const char *key, const char *value)
{
    struct change *c = g_new0(struct change, 1);
    c->key = g_strdup(key);
    c->value = g_strdup(value);
    c->revision = st.revision;
    g_ptr_array_add(st.changes, c);
    for (guint i = 0; i < st.watchers->len;) {
        struct watcher *w = g_ptr_array_index(st.watchers, i);
        if (g_str_has_prefix(key, w->prefix)) {
            complete_watch(w);
        }
        else {
            i++;
        }
    }
}

static void
put(const char *key, const char *value, int64_t lease)
{
    struct item *i = g_new0(struct item, 1);
    i->key = g_strdup(key);
    i->value = g_strdup(value);
    i->revision = ++st.revision;
    i->lease = lease;
    g_hash_table_replace(st.items, i->key, i);
    changed(key, value);
}

static void
drop(const char *key)
{
    char *copy = g_strdup(key);
    if (g_hash_table_remove(st.items, copy)) {
        st.revision++;
        changed(copy, NULL);
    }
    g_free(copy);
}

static void
end_lease(struct lease *l)
{
    GList *keys = g_hash_table_get_keys(st.items);
    int64_t id = l->id;
    fh_cancel_timer(st.h, l->timer);
    g_hash_table_remove(st.leases, &id);
    for (GList *k = keys; k; k = k->next) {
        const struct item *i = g_hash_table_lookup(st.items, k->data);
        if (i && i->lease == id) {
            drop(i->key);
        }
    }
    g_list_free(keys);
}

static void
expire_lease(void *arg)
{
    struct lease *l = arg;
    l->timer = 0;
    end_lease(l);
}

static void
on_watch_timeout(void *arg)
{
    struct watcher *w = arg;
    w->timer = 0;
    complete_watch(w);
}

static void
on_watcher_disconnected(struct fh_req *r)
{
    struct watcher *w = r->user;
    if (w) {
        w->req = NULL;
        complete_watch(w);
    }
}

static void
watch(struct fh_req *r)
{
    const char *prefix = fh_query_argument(r, "prefix");
    const char *after = fh_query_argument(r, "after");
    const char *wait = fh_query_argument(r, "waitMs");
    struct watcher *w = g_new0(struct watcher, 1);
    w->req = r;
    w->prefix = g_strdup(prefix ? prefix : "");
    w->after = after ? g_ascii_strtoll(after, NULL, 10) : 0;
    g_ptr_array_add(st.watchers, w);
    if (w->after > st.revision) {
        w->req = NULL;
        complete_watch(w);
        reply(r, 410, json_object());
        return;
    }
    json_t *events = events_after(w->prefix, w->after);
    bool has_events = json_array_size(events) > 0;
    json_decref(events);
    if (has_events) {
        complete_watch(w);
        return;
    }
    r->user = w;
    r->on_end = on_watcher_disconnected;
    w->timer =
        fh_add_timer(st.h, (wait ? g_ascii_strtoll(wait, NULL, 10) : 0) * 1000,
                     on_watch_timeout, w);
}

static void
range(struct fh_req *r)
{
    const char *prefix = fh_query_argument(r, "prefix");
    json_t *list = json_array();
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, st.items);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct item *i = v;
        if (g_str_has_prefix(i->key, prefix ? prefix : "")) {
            json_array_append_new(list,
                                  json_pack("{s:s,s:s,s:I}", "key", i->key,
                                            "value", i->value, "revision",
                                            (json_int_t)i->revision));
        }
    }
    reply(r, 200,
          json_pack("{s:o,s:b,s:I}", "items", list, "morePages", 0,
                    "currentRev", (json_int_t)st.revision));
}

static void
new_lease(struct fh_req *r, const json_t *body)
{
    struct lease *l = g_new0(struct lease, 1);
    l->id = ++st.next_lease;
    l->ttl_ms = json_integer_value(json_object_get(body, "ttlMs"));
    l->timer = fh_add_timer(st.h, l->ttl_ms * 1000, expire_lease, l);
    g_hash_table_insert(st.leases, &l->id, l);
    reply(r, 200,
          json_pack("{s:I,s:I}", "lease", (json_int_t)l->id, "ttlMs",
                    (json_int_t)l->ttl_ms));
}

static struct lease *
find_lease(const struct fh_req *r)
{
    const char *slash = g_strrstr_len(r->path.ptr, (gssize)r->path.len, "/");
    int64_t id = g_ascii_strtoll(slash + 1, NULL, 10);
    return g_hash_table_lookup(st.leases, &id);
}

static void
renew_lease(struct fh_req *r)
{
    struct lease *l = find_lease(r);
    if (!l) {
        reply(r, 404, json_object());
        return;
    }
    fh_cancel_timer(st.h, l->timer);
    l->timer = fh_add_timer(st.h, l->ttl_ms * 1000, expire_lease, l);
    reply(r, 200, json_pack("{s:I}", "ttlMs", (json_int_t)l->ttl_ms));
}

static void
transact(struct fh_req *r, const json_t *body)
{
    size_t i;
    const json_t *w;
    const json_t *conditions = json_object_get(body, "ifRevision");
    if (json_array_size(conditions) +
            json_array_size(json_object_get(body, "writes")) +
            json_array_size(json_object_get(body, "remove")) >
        MAX_TRANSACTION) {
        reply(r, 400, json_object());
        return;
    }
    json_array_foreach(conditions, i, w)
    {
        const struct item *old = g_hash_table_lookup(
            st.items, json_string_value(json_object_get(w, "key")));
        if ((old ? old->revision : 0) !=
            json_integer_value(json_object_get(w, "revision"))) {
            reply(r, 412, json_object());
            return;
        }
    }
    json_array_foreach(json_object_get(body, "writes"), i, w)
    {
        int64_t lease = json_integer_value(json_object_get(w, "lease"));
        if (lease && !g_hash_table_lookup(st.leases, &lease)) {
            reply(r, 404, json_object());
            return;
        }
        put(json_string_value(json_object_get(w, "key")),
            json_string_value(json_object_get(w, "value")), lease);
    }
    reply(r, 200, json_pack("{s:I}", "revision", (json_int_t)st.revision));
}

static GHashTable *
copy_items(GHashTable *items)
{
    GHashTable *to =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, item_free);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, items);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct item *i = g_memdup2(v, sizeof(*i));
        i->key = g_strdup(i->key);
        i->value = g_strdup(i->value);
        g_hash_table_insert(to, i->key, i);
    }
    return to;
}

static void
copy_data(void)
{
    if (st.copy.items) {
        g_hash_table_destroy(st.copy.items);
    }
    st.copy.items = copy_items(st.items);
    st.copy.revision = st.revision;
    st.copy.next_lease = st.next_lease;
}

static void
drop_leases_after(int64_t last)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, st.leases);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lease *l = v;
        if (l->id > last) {
            fh_cancel_timer(st.h, l->timer);
            g_hash_table_iter_remove(&it);
        }
    }
}

static void
restore_data(void)
{
    if (!st.copy.items) {
        return;
    }
    st.era++;
    g_hash_table_destroy(st.items);
    st.items = copy_items(st.copy.items);
    st.revision = st.copy.revision;
    while (st.changes->len > 0 && ((const struct change *)g_ptr_array_index(
                                       st.changes, st.changes->len - 1))
                                          ->revision > st.revision) {
        g_ptr_array_set_size(st.changes, (gint)st.changes->len - 1);
    }
    drop_leases_after(st.copy.next_lease);
    st.next_lease = st.copy.next_lease;
    while (st.watchers->len > 0) {
        struct watcher *w = g_ptr_array_index(st.watchers, 0);
        struct fh_req *r = w->req;
        w->req = NULL;
        complete_watch(w);
        if (r) {
            r->user = NULL;
            fh_drop_connection(r);
        }
    }
}

static void
control(struct fh_req *r)
{
    const char *key = fh_query_argument(r, "key");
    if (str_eq_cstr(r->method, "PUT") && key) {
        char *value =
            g_base64_encode((const guchar *)r->body.ptr, r->body.len);
        put(key, value, 0);
        g_free(value);
    }
    else if (str_eq_cstr(r->method, "DELETE") && key) {
        drop(key);
    }
    else if (str_eq_cstr(r->method, "POST")) {
        json_t *o = json_loadb(r->body.ptr, r->body.len, 0, NULL);
        const char *mode = json_string_value(json_object_get(o, "mode"));
        if (json_is_true(json_object_get(o, "copy"))) {
            copy_data();
        }
        if (json_is_true(json_object_get(o, "restore"))) {
            restore_data();
        }
        st.mode = g_strcmp0(mode, "busy") == 0     ? BUSY
                  : g_strcmp0(mode, "silent") == 0 ? SILENT
                                                   : OK;
        json_decref(o);
    }
    reply(r, 200, json_pack("{s:I}", "calls", (json_int_t)st.calls));
}

static void
handler(void *ctx, struct fh_req *r)
{
    (void)ctx;
    if (str_starts_with(r->path, STR_LIT("/control"))) {
        control(r);
        return;
    }
    st.calls++;
    if (st.mode == SILENT) {
        return;
    }
    if (st.mode == BUSY) {
        reply(r, 503, json_object());
        return;
    }
    json_t *body =
        json_loadb(r->body.ptr ? r->body.ptr : "", r->body.len, 0, NULL);
    if (str_eq_cstr(r->path, "/kv-range")) {
        range(r);
    }
    else if (str_eq_cstr(r->path, "/kv-watch")) {
        watch(r);
    }
    else if (str_eq_cstr(r->path, "/kv-txn")) {
        transact(r, body);
    }
    else if (str_eq_cstr(r->path, "/kv-lease")) {
        new_lease(r, body);
    }
    else if (str_starts_with(r->path, STR_LIT("/kv-keep/"))) {
        renew_lease(r);
    }
    else if (str_starts_with(r->path, STR_LIT("/kv-lease-end/"))) {
        struct lease *l = find_lease(r);
        if (l) {
            end_lease(l);
        }
        reply(r, l ? 200 : 404, json_object());
    }
    else {
        reply(r, 404, json_object());
    }
    json_decref(body);
}

int
main(int argc, char **argv)
{
    int64_t port = 0;
    const struct fh_option opts[] = {{"port", &port, NULL, NULL, "0: any"}};
    fh_options(argc, argv, "Stand-in for the platform's store.", opts, 1);
    st.items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, item_free);
    st.changes = g_ptr_array_new();
    st.leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    st.watchers = g_ptr_array_new();
    struct fh_options o = {.port = (int)port, .handler = handler};
    st.h = fh_new(&o);
    if (!st.h) {
        fprintf(stderr, "cannot listen on port %d\n", (int)port);
        return 1;
    }
    return fh_serve(st.h);
}
