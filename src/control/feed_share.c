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
/* An ask without news is answered after this time. The asker learns so that
 * the watcher lives and how old its contact is; for the other parts of the
 * store the asks for the operator's part show that. */
#define OPERATOR_HOLD_US SECOND
#define HOLD_US (4 * SECOND)
/* A watch of the operator's part is answered within 1.3 s, and one that brings
 * a change shows the time at which it was sent; a watcher whose contact is
 * older than two of them is passed over. */
#define STALE_US (3 * SECOND)

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
push_answer(struct feed *f, int64_t now_us, const struct track *t,
            const struct waiting_ask *ask, bool known)
{
    struct ready_answer *a = mem_zero(1, sizeof(*a));
    int64_t contact_us = feed_contact_us(f);
    *a = (struct ready_answer){.node = ask->node,
                               .track = t->which,
                               .ask = ask->ask,
                               .revision = ask->revision,
                               .known = known,
                               .age_us = contact_us && !t->failing
                                             ? now_us - contact_us
                                             : FEED_AGE_UNKNOWN};
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

int64_t
feed_hold_us(enum feed_track which)
{
    return which == FEED_TRACK_OPERATOR ? OPERATOR_HOLD_US : HOLD_US;
}

bool
feed_is_stale(const struct feed_answer *answer)
{
    return answer->age_us != FEED_AGE_UNKNOWN && answer->age_us > STALE_US;
}

/* Asks that stay move to the front. */
static void
keep_ask(struct track *t, guint *left, guint i)
{
    g_array_index(t->asks, struct waiting_ask, (*left)++) =
        g_array_index(t->asks, struct waiting_ask, i);
}

/* Those that waited without contact are told that there is one again. */
void
feed_answer_asks(struct feed *f, int64_t now_us, struct track *t)
{
    guint left = 0;
    for (guint i = 0; i < t->asks->len; i++) {
        struct waiting_ask *a = &g_array_index(t->asks, struct waiting_ask, i);
        bool known = a->revision >= t->recent_from;
        if (known && !a->patient && !has_news(t, a->revision)) {
            keep_ask(t, &left, i);
            continue;
        }
        push_answer(f, now_us, t, a, known);
    }
    g_array_set_size(t->asks, left);
}

static int64_t
ask_due_us(const struct track *t, const struct waiting_ask *a)
{
    return a->patient ? INT64_MAX : a->came_us + feed_hold_us(t->which);
}

void
feed_answer_due(struct feed *f, int64_t now_us)
{
    for (int k = 0; k < FEED_TRACKS; k++) {
        struct track *t = &f->tracks[k];
        guint left = 0;
        for (guint i = 0; i < t->asks->len; i++) {
            struct waiting_ask *a =
                &g_array_index(t->asks, struct waiting_ask, i);
            if (now_us < ask_due_us(t, a)) {
                keep_ask(t, &left, i);
                continue;
            }
            push_answer(f, now_us, t, a, true);
        }
        g_array_set_size(t->asks, left);
    }
}

int64_t
feed_answers_wakeup(const struct feed *f)
{
    int64_t at = f->answers.length > 0 ? 0 : INT64_MAX;
    for (int k = 0; k < FEED_TRACKS; k++) {
        const struct track *t = &f->tracks[k];
        for (guint i = 0; i < t->asks->len; i++) {
            int64_t due =
                ask_due_us(t, &g_array_index(t->asks, struct waiting_ask, i));
            at = due < at ? due : at;
        }
    }
    return at;
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
    bool lost = t->failing || !t->following;
    if ((lost && !a.patient) || t->asks->len >= ASKS_MAX ||
        a.revision < t->recent_from) {
        push_answer(f, now_us, t, &a, false);
        return;
    }
    if (has_news(t, a.revision) || (a.patient && !lost)) {
        push_answer(f, now_us, t, &a, true);
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
    out->age_us = a->age_us;
    out->revision = t->revision;
    for (const GList *l = t->recent.head; l && out->known; l = l->next) {
        const struct recent *r = l->data;
        if (r->revision <= a->revision) {
            continue;
        }
        if (out->item_count == FEED_RELAY_ITEMS) {
            out->revision = out->items[out->item_count - 1].revision;
            out->age_us = FEED_AGE_UNKNOWN;
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

/* The nodes that watch: those of highest rank. */
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
        uint64_t node = hash64(str_from(k));
        struct watcher w = {node, rank_of(node, 0)};
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
    f->watchers_old = false;
}

/* The watcher that this node asks; 0 if this node is to watch itself. It is
 * the same one for all parts, so that its silence is noticed for all. */
uint64_t
feed_choose_watcher(struct feed *f, int64_t now_us)
{
    uint64_t own = rank_of(f->self, 0);
    uint64_t best = 0;
    uint64_t best_rank = 0;
    if (g_hash_table_size(f->nodes) <= DIRECT_NODES) {
        return 0;
    }
    if (f->watchers_old) {
        rank_watchers(f);
    }
    for (guint i = 0; i < f->watchers->len; i++) {
        const struct watcher *w =
            &g_array_index(f->watchers, struct watcher, i);
        if (w->node == f->self || w->rank < own) {
            return 0;
        }
        uint64_t mine = rank_of(w->node, f->self);
        if (!suspect(f, now_us, w->node) && mine > best_rank) {
            best = w->node;
            best_rank = mine;
        }
    }
    return best;
}

void
feed_refuse_asks(struct feed *f, int64_t now_us, struct track *t)
{
    guint left = 0;
    for (guint i = 0; i < t->asks->len; i++) {
        struct waiting_ask *a = &g_array_index(t->asks, struct waiting_ask, i);
        if (a->patient) {
            keep_ask(t, &left, i);
            continue;
        }
        push_answer(f, now_us, t, a, false);
    }
    g_array_set_size(t->asks, left);
}
