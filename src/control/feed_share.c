#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clean.h"
#include "base/hash.h"
#include "control/feed_state.h"

/* A watcher that does not answer is passed over for this time. */
#define WATCHER_SUSPECT_US (5 * SECOND)
/* While this node has no contact, the watchers are asked in turn. */
#define WATCHER_RETRY_US (2 * SECOND)
/* Changes that a watcher keeps for nodes that are behind. */
#define RECENT_ITEMS 256
#define RECENT_BYTES (256 * 1024)
#define ASKS_MAX 1024

static void
recent_free(struct track *t, struct recent *r)
{
    t->recent_bytes -= r->value.len;
    g_free(r->key);
    str_free(&r->value);
    free(r);
}

/* Drops the oldest changes beyond a number and a size. */
void
feed_forget_recent(struct track *t, guint most)
{
    while (g_queue_get_length(&t->recent) > most ||
           (t->recent_bytes > RECENT_BYTES && most > 0)) {
        struct recent *r = g_queue_pop_head(&t->recent);
        if (!r) {
            return;
        }
        t->recent_from = r->revision;
        recent_free(t, r);
    }
}

/* Watches that nodes share */

static void
push_answer(struct feed *f, const struct track *t,
            const struct waiting_ask *ask, bool known, bool fresh)
{
    struct ready_answer *a = mem_zero(1, sizeof(*a));
    *a = (struct ready_answer){ask->node,     t->which, ask->ask,
                               ask->revision, known,    fresh};
    g_queue_push_tail(&f->answers, a);
}

void
feed_keep_recent(struct track *t, const struct kv_item *item)
{
    struct recent *r = mem_zero(1, sizeof(*r));
    r->key = g_strndup(item->key.ptr, item->key.len);
    r->value = str_dup(item->value);
    r->revision = item->revision;
    r->deleted = item->deleted;
    t->recent_bytes += r->value.len;
    g_queue_push_tail(&t->recent, r);
    feed_forget_recent(t, RECENT_ITEMS);
}

/* The store's revision rises with changes of other parts, too; only changes
 * of this part are news. */
static bool
has_news(const struct track *t, int64_t revision)
{
    const GList *newest = t->recent.tail;
    return newest &&
           ((const struct recent *)newest->data)->revision > revision;
}

/* After an answer of the store: nodes that waited are told of changes, and
 * those whose asks came before the call was sent that there are no others. */
void
feed_answer_asks(struct feed *f, struct track *t)
{
    guint left = 0;
    for (guint i = 0; i < t->asks->len; i++) {
        struct waiting_ask *a = &g_array_index(t->asks, struct waiting_ask, i);
        bool fresh = a->came_us <= t->sent_us;
        bool known = a->revision >= t->recent_from;
        if (known && !fresh && !has_news(t, a->revision)) {
            g_array_index(t->asks, struct waiting_ask, left++) = *a;
            continue;
        }
        push_answer(f, t, a, known, fresh);
    }
    g_array_set_size(t->asks, left);
}

void
feed_peer_ask(struct feed *f, int64_t now_us, uint64_t node,
              const struct feed_ask *ask)
{
    struct waiting_ask a = {node, ask->ask, ask->revision, now_us,
                            ask->patient};
    if (ask->track < 0 || ask->track >= FEED_TRACKS) {
        return;
    }
    struct track *t = &f->tracks[ask->track];
    if (((t->failing || !t->following) && !a.patient) ||
        t->asks->len >= ASKS_MAX || a.revision < t->recent_from) {
        push_answer(f, t, &a, false, false);
        return;
    }
    if (has_news(t, a.revision)) {
        push_answer(f, t, &a, true, false);
        return;
    }
    g_array_append_val(t->asks, a);
}

bool
feed_next_answer(struct feed *f, uint64_t *node, struct feed_answer *out)
{
    CLEAN_FREE struct ready_answer *a = g_queue_pop_head(&f->answers);
    if (!a) {
        return false;
    }
    const struct track *t = &f->tracks[a->track];
    memset(out, 0, sizeof(*out));
    *node = a->node;
    out->ask = a->ask;
    out->known = a->known && a->revision >= t->recent_from;
    out->fresh = a->fresh;
    out->revision = t->revision;
    for (const GList *l = t->recent.head; l && out->known; l = l->next) {
        const struct recent *r = l->data;
        if (r->revision <= a->revision) {
            continue;
        }
        if (out->item_count == FEED_RELAY_ITEMS) {
            out->revision = out->items[out->item_count - 1].revision;
            out->fresh = false;
            break;
        }
        out->items[out->item_count++] = (struct feed_relay_item){
            str_from(r->key), r->value, r->revision, r->deleted};
    }
    return true;
}

static uint64_t
rank_of(uint64_t node, uint64_t key)
{
    uint64_t pair[2] = {node, key};
    return XXH3_64bits(pair, sizeof(pair));
}

static bool
suspect(const struct feed *f, int64_t now_us, uint64_t node)
{
    const int64_t *until = g_hash_table_lookup(f->suspects, &node);
    return until && now_us < *until;
}

void
feed_set_suspect(struct feed *f, int64_t now_us, uint64_t node, bool failing)
{
    uint64_t *key = g_new(uint64_t, 1);
    int64_t *until = g_new(int64_t, 1);
    *key = node;
    *until = now_us + (failing ? WATCHER_RETRY_US : WATCHER_SUSPECT_US);
    g_hash_table_replace(f->suspects, key, until);
}

/* The watcher of a part of the store that this node asks; 0 if this node is
 * to watch itself. */
uint64_t
feed_choose_watcher(const struct feed *f, int64_t now_us,
                    enum feed_track which)
{
    guint count = g_hash_table_size(f->nodes);
    guint wanted = MIN_WATCHERS;
    while (4 * wanted * wanted < count) {
        wanted++;
    }
    /* The keys of restarted nodes cannot be learned from them. */
    if (count <= DIRECT_NODES || which == FEED_TRACK_NODES) {
        return 0;
    }
    /* This node watches if fewer than wanted others rank above it. */
    uint64_t own = rank_of(f->self, (uint64_t)which);
    uint64_t best = 0;
    uint64_t best_rank = 0;
    guint above = 0;
    GHashTableIter it;
    gpointer k;
    g_hash_table_iter_init(&it, f->nodes);
    while (g_hash_table_iter_next(&it, &k, NULL)) {
        uint64_t node = hash64(str_from(k));
        uint64_t rank = rank_of(node, (uint64_t)which);
        if (node == f->self || rank <= own) {
            continue;
        }
        above++;
        guint higher = 0;
        GHashTableIter other;
        gpointer o;
        g_hash_table_iter_init(&other, f->nodes);
        while (higher < wanted && g_hash_table_iter_next(&other, &o, NULL)) {
            higher += rank_of(hash64(str_from(o)), (uint64_t)which) > rank;
        }
        uint64_t mine = rank_of(node, f->self);
        if (higher < wanted && !suspect(f, now_us, node) && mine > best_rank) {
            best = node;
            best_rank = mine;
        }
    }
    return above < wanted ? 0 : best;
}

void
feed_refuse_asks(struct feed *f, struct track *t)
{
    guint left = 0;
    for (guint i = 0; i < t->asks->len; i++) {
        struct waiting_ask *a = &g_array_index(t->asks, struct waiting_ask, i);
        if (a->patient) {
            g_array_index(t->asks, struct waiting_ask, left++) = *a;
            continue;
        }
        push_answer(f, t, a, false, false);
    }
    g_array_set_size(t->asks, left);
}
