#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clean.h"
#include "base/hash.h"
#include "control/feed_state.h"

/* A watcher that does not respond is skipped for this time. */
#define SUSPECT_US (5 * SECOND)
/* While this node has no contact, a watcher is skipped for this time only, so
 * that all watchers are tried in turn. */
#define OUTAGE_SUSPECT_US (2 * SECOND)
/* Limits of the changes that a watcher caches for nodes that are behind. */
#define MAX_CACHED_CHANGES 256
#define MAX_CACHED_BYTES (256 * 1024)
#define MAX_PEER_QUERIES 1024
/* A query is answered after this time even if there are no changes, so that
 * the querying node knows that the watcher is alive and how old its contact
 * is. For the other key ranges, the queries for the operator's range show
 * that. */
#define OPERATOR_QUERY_HOLD_US SECOND
#define QUERY_HOLD_US (4 * SECOND)
/* A watch of the operator's range is answered within 1.3 s, and a result with
 * a change sets the contact to the time at which the watch was sent. A watcher
 * whose contact is older than two such watches is skipped. */
#define STALE_CONTACT_US (3 * SECOND)

static void
cached_change_free(struct range_watch *rw, struct cached_change *r)
{
    rw->cached_bytes -= r->value.len;
    g_free(r->key);
    str_free(&r->value);
    free(r);
}

/* Drops the oldest changes above the limits of count and size. */
void
feed_trim_cached_changes(struct range_watch *rw, guint max_changes)
{
    while (g_queue_get_length(&rw->cached) > max_changes ||
           (rw->cached_bytes > MAX_CACHED_BYTES && max_changes > 0)) {
        struct cached_change *r = g_queue_pop_head(&rw->cached);
        if (!r) {
            return;
        }
        rw->cached_after = r->revision;
        cached_change_free(rw, r);
    }
}

/* Shared watches */

static void
queue_reply(struct feed *f, int64_t now_us, const struct range_watch *rw,
            const struct peer_query *query, bool known)
{
    struct due_reply *a = mem_calloc(1, sizeof(*a));
    int64_t contact_us = feed_contact_us(f);
    *a = (struct due_reply){.node = query->node,
                            .track = rw->range,
                            .id = query->id,
                            .revision = query->revision,
                            .known = known,
                            .age_us = contact_us && !rw->failing
                                          ? now_us - contact_us
                                          : FEED_AGE_UNKNOWN};
    g_queue_push_tail(&f->due_replies, a);
}

void
feed_cache_change(struct range_watch *rw, const struct kv_item *item)
{
    struct cached_change *r = mem_calloc(1, sizeof(*r));
    r->key = g_strndup(item->key.ptr, item->key.len);
    r->value = str_dup(item->value);
    r->revision = item->revision;
    r->deleted = item->deleted;
    rw->cached_bytes += r->value.len;
    g_queue_push_tail(&rw->cached, r);
    feed_trim_cached_changes(rw, MAX_CACHED_CHANGES);
}

/* The store's revision also rises with changes of other key ranges, so only
 * the cached changes of this range count. */
static bool
has_changes_after(const struct range_watch *rw, int64_t revision)
{
    const GList *newest = rw->cached.tail;
    return newest &&
           ((const struct cached_change *)newest->data)->revision > revision;
}

int64_t
feed_query_hold_us(enum feed_range range)
{
    return range == FEED_RANGE_OPERATOR ? OPERATOR_QUERY_HOLD_US
                                        : QUERY_HOLD_US;
}

bool
feed_is_reply_stale(const struct feed_reply *answer)
{
    return answer->age_us != FEED_AGE_UNKNOWN &&
           answer->age_us > STALE_CONTACT_US;
}

/* Moves a query that is not answered yet to the front of the array. */
static void
retain_query(struct range_watch *rw, guint *retained, guint i)
{
    g_array_index(rw->peer_queries, struct peer_query, (*retained)++) =
        g_array_index(rw->peer_queries, struct peer_query, i);
}

/* Also answers the queries that were held until this node has contact again.
 */
void
feed_answer_queries(struct feed *f, int64_t now_us, struct range_watch *rw)
{
    guint retained = 0;
    for (guint i = 0; i < rw->peer_queries->len; i++) {
        struct peer_query *a =
            &g_array_index(rw->peer_queries, struct peer_query, i);
        bool known = a->revision >= rw->cached_after;
        if (known && !a->hold_until_contact &&
            !has_changes_after(rw, a->revision)) {
            retain_query(rw, &retained, i);
            continue;
        }
        queue_reply(f, now_us, rw, a, known);
    }
    g_array_set_size(rw->peer_queries, retained);
}

static int64_t
query_due_us(const struct range_watch *rw, const struct peer_query *a)
{
    return a->hold_until_contact
               ? INT64_MAX
               : a->received_us + feed_query_hold_us(rw->range);
}

void
feed_answer_expired_queries(struct feed *f, int64_t now_us)
{
    for (int k = 0; k < FEED_RANGE_COUNT; k++) {
        struct range_watch *rw = &f->range_watches[k];
        guint retained = 0;
        for (guint i = 0; i < rw->peer_queries->len; i++) {
            struct peer_query *a =
                &g_array_index(rw->peer_queries, struct peer_query, i);
            if (now_us < query_due_us(rw, a)) {
                retain_query(rw, &retained, i);
                continue;
            }
            queue_reply(f, now_us, rw, a, true);
        }
        g_array_set_size(rw->peer_queries, retained);
    }
}

int64_t
feed_replies_due_us(const struct feed *f)
{
    int64_t at = f->due_replies.length > 0 ? 0 : INT64_MAX;
    for (int k = 0; k < FEED_RANGE_COUNT; k++) {
        const struct range_watch *rw = &f->range_watches[k];
        for (guint i = 0; i < rw->peer_queries->len; i++) {
            int64_t due = query_due_us(
                rw, &g_array_index(rw->peer_queries, struct peer_query, i));
            at = due < at ? due : at;
        }
    }
    return at;
}

void
feed_drop_queries(struct feed *f, int64_t now_us)
{
    for (GList *l = f->due_replies.head; l; l = l->next) {
        ((struct due_reply *)l->data)->known = false;
    }
    for (int k = 0; k < FEED_RANGE_COUNT; k++) {
        struct range_watch *rw = &f->range_watches[k];
        for (guint i = 0; i < rw->peer_queries->len; i++) {
            queue_reply(f, now_us, rw,
                        &g_array_index(rw->peer_queries, struct peer_query, i),
                        false);
        }
        g_array_set_size(rw->peer_queries, 0);
    }
}

/* Whether the cached changes continue from the revision in a query. A node of
 * a build without eras may still have a revision of an older era; if it is
 * above those of this one, only the store has the changes. */
static bool
is_comparable(struct feed *f, int64_t now_us, const struct range_watch *rw,
              const struct feed_query *ask)
{
    int64_t era = feed_query_era(ask->correlation_id);
    return feed_is_peer_era(f, now_us, era) ||
           (era == 0 && ask->revision <= rw->revision);
}

void
feed_handle_peer_query(struct feed *f, int64_t now_us, uint64_t node,
                       const struct feed_query *ask)
{
    struct peer_query a = {node, ask->correlation_id, ask->revision, now_us,
                           ask->wait_for_contact};
    if (ask->track < 0 || ask->track >= FEED_RANGE_COUNT) {
        return;
    }
    struct range_watch *rw = &f->range_watches[ask->track];
    if (!is_comparable(f, now_us, rw, ask)) {
        queue_reply(f, now_us, rw, &a, false);
        return;
    }
    bool disconnected = rw->failing || !rw->watching;
    if ((disconnected && !a.hold_until_contact) ||
        rw->peer_queries->len >= MAX_PEER_QUERIES ||
        a.revision < rw->cached_after) {
        queue_reply(f, now_us, rw, &a, false);
        return;
    }
    if (has_changes_after(rw, a.revision) ||
        (a.hold_until_contact && !disconnected)) {
        queue_reply(f, now_us, rw, &a, true);
        return;
    }
    g_array_append_val(rw->peer_queries, a);
}

bool
feed_next_peer_reply(struct feed *f, uint64_t *node, struct feed_reply *out)
{
    CLEANUP_FREE struct due_reply *a = g_queue_pop_head(&f->due_replies);
    if (!a) {
        return false;
    }
    const struct range_watch *rw = &f->range_watches[a->track];
    memset(out, 0, sizeof(*out));
    *node = a->node;
    out->correlation_id = a->id;
    out->known = a->known && a->revision >= rw->cached_after;
    out->age_us = a->age_us;
    out->revision = rw->revision;
    out->era = feed_query_era(a->id) ? f->era : 0;
    out->version = f->routing ? routing_version(f->routing) : 0;
    for (const GList *l = rw->cached.head; l && out->known; l = l->next) {
        const struct cached_change *r = l->data;
        if (r->revision <= a->revision) {
            continue;
        }
        if (out->item_count == FEED_RELAY_MAX_ITEMS) {
            out->revision = out->items[out->item_count - 1].revision;
            out->age_us = FEED_AGE_UNKNOWN;
            break;
        }
        out->items[out->item_count++] = (struct feed_relay_item){
            str_from_cstr(r->key), r->value, r->revision, r->deleted};
    }
    return true;
}

static uint64_t
compute_rank(uint64_t node, uint64_t key)
{
    uint64_t pair[2] = {node, key};
    return XXH3_64bits(pair, sizeof(pair));
}

static bool
is_suspect(const struct feed *f, int64_t now_us, uint64_t node)
{
    const int64_t *until = g_hash_table_lookup(f->suspected_until, &node);
    return until && now_us < *until;
}

void
feed_set_suspect(struct feed *f, int64_t now_us, uint64_t node, bool failing)
{
    uint64_t *key = g_new(uint64_t, 1);
    int64_t *until = g_new(int64_t, 1);
    *key = node;
    *until = now_us + (failing ? OUTAGE_SUSPECT_US : SUSPECT_US);
    g_hash_table_replace(f->suspected_until, key, until);
}

/* Selects the nodes of highest rank as watchers. */
static void
rank_watchers(struct feed *f)
{
    guint count = g_hash_table_size(f->nodes);
    guint wanted = MIN_WATCHERS;
    GHashTableIter it;
    gpointer k;
    while (4 * wanted * wanted < count) {
        wanted++;
    }
    g_array_set_size(f->watchers, 0);
    g_hash_table_iter_init(&it, f->nodes);
    while (g_hash_table_iter_next(&it, &k, NULL)) {
        uint64_t node = hash64(str_from_cstr(k));
        struct watcher w = {node, compute_rank(node, 0)};
        guint at = f->watchers->len;
        while (at > 0 &&
               g_array_index(f->watchers, struct watcher, at - 1).rank <
                   w.rank) {
            at--;
        }
        if (at < wanted) {
            g_array_insert_val(f->watchers, at, w);
            g_array_set_size(f->watchers, MIN(f->watchers->len, wanted));
        }
    }
    f->watchers_stale = false;
}

/* Returns the watcher that this node queries, or 0 if this node watches the
 * store itself. The watcher is the same for all key ranges, so that its
 * silence is detected for all of them. */
uint64_t
feed_choose_watcher(struct feed *f, int64_t now_us)
{
    uint64_t own_rank = compute_rank(f->self_hash, 0);
    uint64_t best = 0;
    uint64_t best_rank = 0;
    if (g_hash_table_size(f->nodes) <= MAX_DIRECT_NODES) {
        return 0;
    }
    if (f->watchers_stale) {
        rank_watchers(f);
    }
    for (guint i = 0; i < f->watchers->len; i++) {
        const struct watcher *w =
            &g_array_index(f->watchers, struct watcher, i);
        if (w->node == f->self_hash || w->rank < own_rank) {
            return 0;
        }
        uint64_t rank = compute_rank(w->node, f->self_hash);
        if (!is_suspect(f, now_us, w->node) && rank > best_rank) {
            best = w->node;
            best_rank = rank;
        }
    }
    return best;
}

void
feed_reject_queries(struct feed *f, int64_t now_us, struct range_watch *rw)
{
    guint retained = 0;
    for (guint i = 0; i < rw->peer_queries->len; i++) {
        struct peer_query *a =
            &g_array_index(rw->peer_queries, struct peer_query, i);
        if (a->hold_until_contact) {
            retain_query(rw, &retained, i);
            continue;
        }
        queue_reply(f, now_us, rw, a, false);
    }
    g_array_set_size(rw->peer_queries, retained);
}
