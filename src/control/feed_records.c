#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "base/log.h"
#include "control/feed_state.h"

/* Cold times in records are rounded and some milliseconds old. */
/* Largest share of a machine's cores that a node may register. */
#define MAX_CPU_MILLI 1000000
#define COLD_TIME_MARGIN_US (300 * MS)
/* The store may come back from a copy that is some seconds old. */
#define MAX_COPY_AGE_US (60 * SECOND)

void
feed_record_free(gpointer p)
{
    struct endpoint_entry *r = p;
    endpoint_record_free(&r->info);
    free(r);
}

/* Configuration and endpoints */

static void
set_routing(struct feed *f, const struct kv_item *item)
{
    struct routing *r = NULL;
    if (f->codec->routing(item->value, &r) != ST_OK) {
        LOG_EVENT(LOG_ERROR, "configuration_unreadable",
                  LOG_INT("revision", item->revision),
                  LOG_CSTR("error", err_last()));
        return;
    }
    if (item->revision <= f->routing_revision) {
        /* A list repeats the known configuration. */
        if (!f->routing || routing_version(r) != routing_version(f->routing)) {
            LOG_EVENT(LOG_WARN, "configuration_revision_ignored",
                      LOG_INT("version", routing_version(r)),
                      LOG_INT("revision", item->revision),
                      LOG_INT("known", f->routing_revision),
                      LOG_INT("era", f->era));
        }
        routing_unref(r);
        return;
    }
    f->routing_revision = item->revision;
    if (f->routing && routing_version(r) < routing_version(f->routing)) {
        LOG_EVENT(LOG_WARN, "configuration_older_ignored",
                  LOG_INT("version", routing_version(r)));
        routing_unref(r);
        return;
    }
    LOG_EVENT(LOG_INFO, "configuration",
              LOG_INT("version", routing_version(r)),
              LOG_INT("revision", item->revision),
              LOG_INT("routes", routing_route_count(r)));
    routing_unref(f->routing);
    f->routing = r;
    f->site_changed = true;
    feed_note_configuration(f);
}

static int64_t
service_cold_us(const struct feed *f, struct str service)
{
    int i = f->routing ? routing_find_service(f->routing, service) : -1;
    return i < 0 ? 0 : routing_service(f->routing, i)->cold_us;
}

/* Removed endpoints are remembered for as long as an older copy of the store
 * may list them. */
static void
remember_departed(struct feed *f, int64_t now_us, const char *id,
                  const struct endpoint_entry *r)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, f->departed);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct departed_endpoint *old = v;
        if (now_us - old->removed_us > MAX_COPY_AGE_US) {
            g_hash_table_iter_remove(&it);
        }
    }
    struct departed_endpoint *d = g_new(struct departed_endpoint, 1);
    *d = (struct departed_endpoint){r->info.started_ms, now_us};
    g_hash_table_replace(f->departed, g_strdup(id), d);
}

/* Whether a record of an older copy describes an endpoint as it was before it
 * started draining, was removed or restarted.
 * @param old the known record; NULL: none */
static bool
is_outdated(const struct feed *f, int64_t now_us, const char *id,
            const struct endpoint_entry *old,
            const struct endpoint_record *info)
{
    if (!feed_is_copy_list(f, now_us, FEED_RANGE_ENDPOINTS)) {
        return false;
    }
    const struct departed_endpoint *d = g_hash_table_lookup(f->departed, id);
    if (d && info->started_ms <= d->started_ms) {
        return true;
    }
    return old && (info->started_ms < old->info.started_ms ||
                   (info->started_ms == old->info.started_ms &&
                    old->info.draining && !info->draining));
}

/* The time until which an endpoint is cold; 0: it is warm.
 * @param old the known record; NULL: none */
static int64_t
cold_until_us(const struct feed *f, int64_t now_us,
              const struct endpoint_entry *old,
              const struct endpoint_record *info)
{
    bool restarted = !old || old->info.started_ms != info->started_ms;
    /* The remaining time in an older copy was right when it was written. */
    if (!restarted && feed_is_copy_list(f, now_us, FEED_RANGE_ENDPOINTS)) {
        return old->cold_until_us;
    }
    if (info->cold_us > 0) {
        return now_us + info->cold_us + COLD_TIME_MARGIN_US;
    }
    if (restarted && f->range_watches[FEED_RANGE_ENDPOINTS].listed_once) {
        return now_us + service_cold_us(f, info->service) +
               COLD_TIME_MARGIN_US;
    }
    return old && !restarted && old->cold_until_us > now_us
               ? old->cold_until_us
               : 0;
}

static void
set_endpoint(struct feed *f, int64_t now_us, struct str id,
             const struct kv_item *item)
{
    struct endpoint_record info = {0};
    CLEANUP_FREE char *key = g_strndup(id.ptr, id.len);
    struct endpoint_entry *old = g_hash_table_lookup(f->records, key);
    if (f->codec->endpoint(item->value, &info) != ST_OK) {
        LOG_EVENT(LOG_WARN, "endpoint_record_ignored", LOG_STR("endpoint", id),
                  LOG_CSTR("error", err_last()));
        if (old) {
            old->seen_in_list = true;
        }
        return;
    }
    if (is_outdated(f, now_us, key, old, &info)) {
        f->range_watches[FEED_RANGE_ENDPOINTS].ignored_of_copy = true;
        LOG_EVENT(LOG_INFO, "endpoint_of_copy_ignored",
                  LOG_STR("endpoint", id), LOG_STR("address", info.address),
                  LOG_INT("revision", item->revision));
        if (old && old->info.started_ms == info.started_ms) {
            old->seen_in_list = true;
        }
        endpoint_record_free(&info);
        return;
    }
    if (old && old->era == f->era_count && old->revision == item->revision &&
        !old->removed_us) {
        /* A list repeats the record; its cold time is running already. */
        old->seen_in_list = true;
        endpoint_record_free(&info);
        return;
    }
    info.id = str_dup(id);
    struct endpoint_entry *r = mem_calloc(1, sizeof(*r));
    r->info = info;
    r->era = f->era_count;
    r->revision = item->revision;
    r->seen_in_list = true;
    r->cold_until_us = cold_until_us(f, now_us, old, &info);
    bool restarted = f->range_watches[FEED_RANGE_ENDPOINTS].listed_once &&
                     (!old || old->info.started_ms != info.started_ms);
    bool in_first_list = !f->range_watches[FEED_RANGE_ENDPOINTS].listed_once;
    if (!in_first_list && (!old || old->info.draining != info.draining ||
                           restarted || old->removed_us)) {
        LOG_EVENT(LOG_INFO, "endpoint", LOG_STR("endpoint", id),
                  LOG_STR("service", info.service),
                  LOG_STR("address", info.address), LOG_STR("zone", info.zone),
                  LOG_INT("draining", info.draining),
                  LOG_INT("cold_ms", info.cold_us / MS),
                  LOG_INT("revision", item->revision));
    }
    g_hash_table_remove(f->departed, key);
    g_hash_table_replace(f->records, g_strdup(key), r);
    f->site_changed = true;
}

static void
remove_endpoint(struct feed *f, int64_t now_us, const char *key,
                struct endpoint_entry *r)
{
    if (!r || r->removed_us) {
        return;
    }
    bool held = now_us < f->removed_hold_end_us && !r->info.draining;
    LOG_EVENT(LOG_INFO, "endpoint_removed", LOG_CSTR("endpoint", key),
              LOG_STR("address", r->info.address), LOG_INT("held", held));
    if (held) {
        r->removed_us = now_us;
    }
    else {
        remember_departed(f, now_us, key, r);
        g_hash_table_remove(f->records, key);
    }
    f->site_changed = true;
}

/* Endpoints of a zone that returns to service may have become cold meanwhile,
 * so their cold time starts again. */
static void
mark_zone_cold(struct feed *f, int64_t now_us, const char *zone)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, f->records);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct endpoint_entry *r = v;
        int64_t cold = service_cold_us(f, r->info.service);
        if (str_eq_cstr(r->info.zone, zone) && cold > 0) {
            r->cold_until_us = now_us + cold + COLD_TIME_MARGIN_US;
        }
    }
}

static void
update_node_state(struct feed *f, const GHashTable *table)
{
    if (table == f->nodes) {
        f->watchers_stale = true;
        f->nodes_version++;
    }
}

static void
add_name(struct feed *f, GHashTable *table, const char *event, struct str name)
{
    char *key = g_strndup(name.ptr, name.len);
    if (!g_hash_table_contains(table, key)) {
        if (table != f->nodes ||
            f->range_watches[FEED_RANGE_NODES].listed_once) {
            LOG_EVENT(LOG_INFO, event, LOG_STR("name", name));
        }
        f->site_changed = true;
        update_node_state(f, table);
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
    LOG_EVENT(LOG_INFO, event, LOG_CSTR("name", key));
    if (table == f->evacuated_zones) {
        mark_zone_cold(f, now_us, key);
    }
    g_hash_table_remove(table, key);
    f->site_changed = true;
    update_node_state(f, table);
}

static void
set_registration(struct feed *f, const char *node, struct str registered)
{
    const char *old = g_hash_table_lookup(f->registrations, node);
    if (!old || !str_eq_cstr(registered, old)) {
        g_hash_table_replace(f->registrations, g_strdup(node),
                             g_strndup(registered.ptr, registered.len));
        f->site_changed = true;
        f->nodes_version++;
    }
}

static void
set_capacity(struct feed *f, const char *node, const struct kv_item *item)
{
    int64_t cpu_milli = 0;
    if (!item->deleted && (!str_to_i64(item->value, &cpu_milli) ||
                           cpu_milli <= 0 || cpu_milli > MAX_CPU_MILLI)) {
        LOG_EVENT(LOG_WARN, "capacity_ignored", LOG_CSTR("name", node),
                  LOG_INT("bytes", item->value.len));
        cpu_milli = 0;
    }
    gpointer value = GINT_TO_POINTER((int)cpu_milli);
    if (g_hash_table_lookup(f->capacities, node) == value) {
        return;
    }
    if (cpu_milli > 0) {
        g_hash_table_replace(f->capacities, g_strdup(node), value);
    }
    else {
        g_hash_table_remove(f->capacities, node);
    }
    f->site_changed = true;
    f->nodes_version++;
}

void
feed_apply_item(struct feed *f, int64_t now_us, const struct kv_item *item)
{
    struct str name = {0};
    enum feed_key_kind kind = f->codec->classify(item->key, &name);
    char *key = g_strndup(name.ptr ? name.ptr : "", name.len);
    switch (kind) {
    case FEED_KEY_CONFIGURATION:
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
    case FEED_KEY_ZONE_OUT:
        if (item->deleted) {
            remove_name(f, now_us, f->evacuated_zones, "zone_in", key);
        }
        else if (feed_is_copy_list(f, now_us, FEED_RANGE_OPERATOR) &&
                 !g_hash_table_contains(f->evacuated_zones, key)) {
            /* This node knows that the zone was taken back. */
            f->range_watches[FEED_RANGE_OPERATOR].ignored_of_copy = true;
            LOG_EVENT(LOG_WARN, "zone_out_of_copy_ignored",
                      LOG_STR("name", name),
                      LOG_INT("revision", item->revision));
        }
        else {
            add_name(f, f->evacuated_zones, "zone_out", name);
        }
        break;
    case FEED_KEY_NODE:
        if (item->deleted) {
            if (strcmp(key, f->node) == 0) {
                feed_note_own_removal(f, now_us, item->revision);
            }
            remove_name(f, now_us, f->nodes, "node_gone", key);
        }
        else {
            add_name(f, f->nodes, "node_joined", name);
            set_registration(f, key, item->value);
        }
        break;
    case FEED_KEY_CAPACITY:
        set_capacity(f, key, item);
        break;
    case FEED_KEY_ORDER:
        feed_apply_order(f, now_us, key, item);
        break;
    case FEED_KEY_ROLLOUT:
        feed_apply_rollout(f, key, item);
        break;
    case FEED_KEY_OTHER:
        break;
    }
    g_free(key);
}

/* Names are marked 1 before the first page of a list and 2 when a page
 * contains them. */
static void
mark_names_unseen(GHashTable *table)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, table);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        g_hash_table_iter_replace(&it, GINT_TO_POINTER(1));
    }
}

/* Marks all entries of a key range as unseen, before the first page of a list.
 */
void
feed_mark_unseen(struct feed *f, enum feed_range range)
{
    GHashTableIter it;
    gpointer v;
    feed_mark_rollouts_unseen(f, range);
    switch (range) {
    case FEED_RANGE_OPERATOR:
        mark_names_unseen(f->evacuated_zones);
        break;
    case FEED_RANGE_NODES:
        mark_names_unseen(f->nodes);
        break;
    case FEED_RANGE_ENDPOINTS:
        g_hash_table_iter_init(&it, f->records);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            ((struct endpoint_entry *)v)->seen_in_list = false;
        }
        break;
    case FEED_RANGE_COUNT:
        break;
    }
}

static bool
find_unseen_name(GHashTable *table, char **key)
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
remove_unseen_names(struct feed *f, int64_t now_us, GHashTable *table,
                    const char *event)
{
    char *key;
    while (find_unseen_name(table, &key)) {
        remove_name(f, now_us, table, event, key);
        g_free(key);
    }
}

static void
remove_unseen_endpoints(struct feed *f, int64_t now_us)
{
    GList *ids = g_hash_table_get_keys(f->records);
    for (GList *l = ids; l; l = l->next) {
        struct endpoint_entry *r = g_hash_table_lookup(f->records, l->data);
        if (!r->seen_in_list) {
            char *id = g_strdup(l->data);
            remove_endpoint(f, now_us, id, r);
            g_free(id);
        }
    }
    g_list_free(ids);
}

/* Removes the entries that a complete list did not contain. An older copy of
 * the store does not contain the newest zones and nodes. */
void
feed_remove_unseen(struct feed *f, int64_t now_us, enum feed_range range)
{
    feed_remove_unseen_rollouts(f, now_us, range);
    switch (range) {
    case FEED_RANGE_OPERATOR:
        if (!feed_is_copy_list(f, now_us, range)) {
            remove_unseen_names(f, now_us, f->evacuated_zones, "zone_in");
        }
        break;
    case FEED_RANGE_NODES:
        if (!feed_is_copy_list(f, now_us, range)) {
            remove_unseen_names(f, now_us, f->nodes, "node_gone");
        }
        break;
    case FEED_RANGE_ENDPOINTS:
        remove_unseen_endpoints(f, now_us);
        break;
    case FEED_RANGE_COUNT:
        break;
    }
}

/* Records that an older copy lacks cannot be written again while the store
 * does not answer. */
int64_t
feed_removed_due_us(const struct feed *f)
{
    bool waits = f->copy_end_us[FEED_RANGE_ENDPOINTS] &&
                 f->range_watches[FEED_RANGE_ENDPOINTS].failing;
    return f->removed_hold_end_us && !waits ? f->removed_hold_end_us
                                            : INT64_MAX;
}

void
feed_drop_unreturned(struct feed *f, int64_t now_us)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    if (now_us < feed_removed_due_us(f)) {
        return;
    }
    f->removed_hold_end_us = 0;
    g_hash_table_iter_init(&it, f->records);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        if (((struct endpoint_entry *)v)->removed_us) {
            LOG_EVENT(LOG_INFO, "endpoint_not_back",
                      LOG_CSTR("endpoint", (const char *)k));
            remember_departed(f, now_us, k, v);
            g_hash_table_iter_remove(&it);
            f->site_changed = true;
        }
    }
}
