#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "base/log.h"
#include "control/feed_state.h"

/* Cold times in records are rounded and some ms old. */
#define COLD_MARGIN_US (300 * MS)

void
feed_record_free(gpointer p)
{
    struct record *r = p;
    endpoint_record_free(&r->info);
    free(r);
}

/* Configuration and endpoints */

static void
set_routing(struct feed *f, const struct kv_item *item)
{
    struct routing *r = NULL;
    if (item->revision <= f->routing_revision) {
        return;
    }
    if (f->codec->routing(item->value, &r) != ST_OK) {
        LOG_EVENT(LOG_ERROR, "configuration_unreadable",
                  LOG_I("revision", item->revision),
                  LOG_C("error", err_last()));
        return;
    }
    f->routing_revision = item->revision;
    if (f->routing && routing_version(r) < routing_version(f->routing)) {
        LOG_EVENT(LOG_WARN, "configuration_older_ignored",
                  LOG_I("version", routing_version(r)));
        routing_unref(r);
        return;
    }
    LOG_EVENT(LOG_INFO, "configuration", LOG_I("version", routing_version(r)),
              LOG_I("revision", item->revision),
              LOG_I("routes", routing_route_count(r)));
    routing_unref(f->routing);
    f->routing = r;
    f->changed = true;
}

static int64_t
cold_time(const struct feed *f, struct str service)
{
    int i = f->routing ? routing_find_service(f->routing, service) : -1;
    return i < 0 ? 0 : routing_service(f->routing, i)->cold_us;
}

static void
set_endpoint(struct feed *f, int64_t now_us, struct str id,
             const struct kv_item *item)
{
    struct endpoint_record info = {0};
    CLEAN_FREE char *key = g_strndup(id.ptr, id.len);
    struct record *old = g_hash_table_lookup(f->records, key);
    if (f->codec->endpoint(item->value, &info) != ST_OK) {
        LOG_EVENT(LOG_WARN, "endpoint_record_ignored", LOG_S("endpoint", id),
                  LOG_C("error", err_last()));
        if (old) {
            old->listed = true;
        }
        return;
    }
    info.id = str_dup(id);
    struct record *r = mem_zero(1, sizeof(*r));
    r->info = info;
    r->listed = true;
    bool started = f->tracks[FEED_TRACK_ENDPOINTS].complete &&
                   (!old || old->info.born_ms != info.born_ms);
    if (info.cold_us > 0) {
        r->cold_until_us = now_us + info.cold_us + COLD_MARGIN_US;
    }
    else if (old && !started && old->cold_until_us > now_us) {
        r->cold_until_us = old->cold_until_us;
    }
    if (started && !(info.cold_us > 0)) {
        r->cold_until_us =
            now_us + cold_time(f, info.service) + COLD_MARGIN_US;
    }
    bool listed = !f->tracks[FEED_TRACK_ENDPOINTS].complete;
    if (!listed && (!old || old->info.draining != info.draining || started ||
                    old->missing_us)) {
        LOG_EVENT(LOG_INFO, "endpoint", LOG_S("endpoint", id),
                  LOG_S("service", info.service),
                  LOG_S("address", info.address), LOG_S("zone", info.zone),
                  LOG_I("draining", info.draining),
                  LOG_I("cold_ms", info.cold_us / MS),
                  LOG_I("revision", item->revision));
    }
    g_hash_table_replace(f->records, g_strdup(key), r);
    f->changed = true;
}

static void
remove_endpoint(struct feed *f, int64_t now_us, const char *key,
                struct record *r)
{
    if (!r || r->missing_us) {
        return;
    }
    bool held = now_us < f->hold_until_us && !r->info.draining;
    LOG_EVENT(LOG_INFO, "endpoint_removed", LOG_C("endpoint", key),
              LOG_S("address", r->info.address), LOG_I("held", held));
    if (held) {
        r->missing_us = now_us;
    }
    else {
        g_hash_table_remove(f->records, key);
    }
    f->changed = true;
}

/* Endpoints of a zone that comes back may have turned cold meanwhile. */
static void
zone_returned(struct feed *f, int64_t now_us, const char *zone)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, f->records);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct record *r = v;
        int64_t cold = cold_time(f, r->info.service);
        if (str_eq_c(r->info.zone, zone) && cold > 0) {
            r->cold_until_us = now_us + cold + COLD_MARGIN_US;
        }
    }
}

static void
nodes_changed(struct feed *f, const GHashTable *table)
{
    if (table == f->nodes) {
        f->watchers_old = true;
        f->nodes_version++;
    }
}

static void
set_name(struct feed *f, GHashTable *table, const char *event, struct str name)
{
    char *key = g_strndup(name.ptr, name.len);
    if (!g_hash_table_contains(table, key)) {
        if (table != f->nodes || f->tracks[FEED_TRACK_NODES].complete) {
            LOG_EVENT(LOG_INFO, event, LOG_S("name", name));
        }
        f->changed = true;
        nodes_changed(f, table);
    }
    g_hash_table_replace(table, key, GINT_TO_POINTER(2));
}

static void
remove_name(struct feed *f, int64_t now_us, GHashTable *table,
            const char *event, const char *key)
{
    if (!g_hash_table_contains(table, key)) {
        return;
    }
    LOG_EVENT(LOG_INFO, event, LOG_C("name", key));
    if (table == f->evacuations) {
        zone_returned(f, now_us, key);
    }
    g_hash_table_remove(table, key);
    f->changed = true;
    nodes_changed(f, table);
}

static void
set_address(struct feed *f, const char *node, struct str registered)
{
    const char *old = g_hash_table_lookup(f->addresses, node);
    if (!old || !str_eq_c(registered, old)) {
        g_hash_table_replace(f->addresses, g_strdup(node),
                             g_strndup(registered.ptr, registered.len));
        f->changed = true;
        f->nodes_version++;
    }
}

void
feed_apply(struct feed *f, int64_t now_us, const struct kv_item *item)
{
    struct str name = {0};
    enum feed_key kind = f->codec->classify(item->key, &name);
    char *key = g_strndup(name.ptr ? name.ptr : "", name.len);
    switch (kind) {
    case FEED_KEY_ROUTING:
        if (!item->deleted) {
            set_routing(f, item);
        }
        break;
    case FEED_KEY_ENDPOINT:
        if (item->deleted) {
            remove_endpoint(f, now_us, key,
                            g_hash_table_lookup(f->records, key));
        }
        else {
            set_endpoint(f, now_us, name, item);
        }
        break;
    case FEED_KEY_EVACUATION:
        if (item->deleted) {
            remove_name(f, now_us, f->evacuations, "zone_in", key);
        }
        else {
            set_name(f, f->evacuations, "zone_out", name);
        }
        break;
    case FEED_KEY_NODE:
        if (item->deleted) {
            remove_name(f, now_us, f->nodes, "node_gone", key);
        }
        else {
            set_name(f, f->nodes, "node_joined", name);
            set_address(f, key, item->value);
        }
        break;
    case FEED_KEY_OTHER:
        break;
    }
    g_free(key);
}

/* Names are marked 1 before the first page of a list and 2 when seen. */
static void
mark_unlisted(GHashTable *table)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, table);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        g_hash_table_iter_replace(&it, GINT_TO_POINTER(1));
    }
}

/* Marks everything of a part as not seen, before the first page of a list. */
void
feed_begin_list(struct feed *f, enum feed_track which)
{
    GHashTableIter it;
    gpointer v;
    switch (which) {
    case FEED_TRACK_OPERATOR:
        mark_unlisted(f->evacuations);
        break;
    case FEED_TRACK_NODES:
        mark_unlisted(f->nodes);
        break;
    case FEED_TRACK_ENDPOINTS:
        g_hash_table_iter_init(&it, f->records);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            ((struct record *)v)->listed = false;
        }
        break;
    case FEED_TRACKS:
        break;
    }
}

static bool
take_unlisted(GHashTable *table, char **key)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, table);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        if (GPOINTER_TO_INT(v) == 1) {
            *key = g_strdup(k);
            return true;
        }
    }
    return false;
}

static void
remove_unlisted(struct feed *f, int64_t now_us, GHashTable *table,
                const char *event)
{
    char *key;
    while (take_unlisted(table, &key)) {
        remove_name(f, now_us, table, event, key);
        g_free(key);
    }
}

static void
remove_unlisted_endpoints(struct feed *f, int64_t now_us)
{
    GList *ids = g_hash_table_get_keys(f->records);
    for (GList *l = ids; l; l = l->next) {
        struct record *r = g_hash_table_lookup(f->records, l->data);
        if (!r->listed) {
            char *id = g_strdup(l->data);
            remove_endpoint(f, now_us, id, r);
            g_free(id);
        }
    }
    g_list_free(ids);
}

/* What a complete list did not show has been removed. */
void
feed_end_list(struct feed *f, int64_t now_us, enum feed_track which)
{
    switch (which) {
    case FEED_TRACK_OPERATOR:
        remove_unlisted(f, now_us, f->evacuations, "zone_in");
        break;
    case FEED_TRACK_NODES:
        remove_unlisted(f, now_us, f->nodes, "node_gone");
        break;
    case FEED_TRACK_ENDPOINTS:
        remove_unlisted_endpoints(f, now_us);
        break;
    case FEED_TRACKS:
        break;
    }
}

void
feed_drop_missing(struct feed *f, int64_t now_us)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    if (!f->hold_until_us || now_us < f->hold_until_us) {
        return;
    }
    f->hold_until_us = 0;
    g_hash_table_iter_init(&it, f->records);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        if (((struct record *)v)->missing_us) {
            LOG_EVENT(LOG_INFO, "endpoint_not_back",
                      LOG_C("endpoint", (const char *)k));
            g_hash_table_iter_remove(&it);
            f->changed = true;
        }
    }
}
