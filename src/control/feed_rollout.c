#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/log.h"
#include "control/feed_state.h"

/* The order for the roll-out of a service. */
struct order_entry {
    struct rollout_order order;
    bool seen_in_list;
};

static void
change_free(gpointer p)
{
    struct feed_rollout_change *c = p;
    if (c) {
        str_free(&c->service);
        str_free(&c->record);
        free(c);
    }
}

void
feed_rollout_init(struct feed *f)
{
    f->orders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
    f->rollouts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_queue_init(&f->rollout_changes);
}

void
feed_rollout_free(struct feed *f)
{
    g_hash_table_destroy(f->orders);
    g_hash_table_destroy(f->rollouts);
    g_queue_clear_full(&f->rollout_changes, change_free);
    change_free(f->rollout_taken);
}

bool
feed_next_rollout(struct feed *f, struct feed_rollout_change *out)
{
    change_free(f->rollout_taken);
    f->rollout_taken = g_queue_pop_head(&f->rollout_changes);
    if (!f->rollout_taken) {
        return false;
    }
    *out = *f->rollout_taken;
    return true;
}

static struct feed_rollout_change *
push_change(struct feed *f, const char *service, bool is_order)
{
    struct feed_rollout_change *c = mem_calloc(1, sizeof(*c));
    c->service = str_dup(str_from_cstr(service));
    c->is_order = is_order;
    g_queue_push_tail(&f->rollout_changes, c);
    return c;
}

/* All nodes compute the same id, and another one when an order is written
 * again. */
static uint64_t
order_id(const struct kv_item *item)
{
    uint64_t pair[2] = {hash64(item->value), (uint64_t)item->revision};
    return hash64(str_from_bytes((const char *)pair, sizeof(pair)));
}

static void
remove_order(struct feed *f, const char *service)
{
    if (g_hash_table_contains(f->orders, service)) {
        push_change(f, service, true);
        g_hash_table_remove(f->orders, service);
    }
}

void
feed_apply_order(struct feed *f, int64_t now_us, const char *service,
                 const struct kv_item *item)
{
    struct order_entry *old = g_hash_table_lookup(f->orders, service);
    struct rollout_order order = {0};
    if (item->deleted) {
        remove_order(f, service);
        return;
    }
    if (f->codec->order(item->value, &order) != ST_OK) {
        LOG_EVENT(LOG_WARN, "rollout_order_ignored",
                  LOG_CSTR("service", service), LOG_CSTR("error", err_last()));
        if (old) {
            old->seen_in_list = true;
        }
        return;
    }
    order.id = order_id(item);
    if (old && old->order.id == order.id) {
        old->seen_in_list = true;
        return;
    }
    if (old && feed_is_copy_list(f, now_us, FEED_RANGE_OPERATOR)) {
        /* The copy may be older than the order that this node knows. */
        old->seen_in_list = true;
        f->range_watches[FEED_RANGE_OPERATOR].ignored_of_copy = true;
        return;
    }
    struct order_entry *e = mem_calloc(1, sizeof(*e));
    e->order = order;
    e->seen_in_list = true;
    g_hash_table_replace(f->orders, g_strdup(service), e);
    push_change(f, service, true)->order = order;
}

void
feed_apply_rollout(struct feed *f, const char *service,
                   const struct kv_item *item)
{
    struct feed_rollout_change *c = push_change(f, service, false);
    if (item->deleted) {
        g_hash_table_remove(f->rollouts, service);
        return;
    }
    c->record = str_dup(item->value);
    c->revision = item->revision;
    g_hash_table_replace(f->rollouts, g_strdup(service), GINT_TO_POINTER(2));
}

void
feed_mark_rollouts_unseen(struct feed *f, enum feed_range range)
{
    GHashTableIter it;
    gpointer v;
    if (range == FEED_RANGE_OPERATOR) {
        g_hash_table_iter_init(&it, f->orders);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            ((struct order_entry *)v)->seen_in_list = false;
        }
    }
    if (range == FEED_RANGE_NODES) {
        g_hash_table_iter_init(&it, f->rollouts);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            g_hash_table_iter_replace(&it, GINT_TO_POINTER(1));
        }
    }
}

/* An older copy of the store may lack the newest orders, which stay. A record
 * that it lacks is written again by its decider, who has to know. */
void
feed_remove_unseen_rollouts(struct feed *f, int64_t now_us,
                            enum feed_range range)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    if (range == FEED_RANGE_OPERATOR && !feed_is_copy_list(f, now_us, range)) {
        g_hash_table_iter_init(&it, f->orders);
        while (g_hash_table_iter_next(&it, &k, &v)) {
            if (!((struct order_entry *)v)->seen_in_list) {
                push_change(f, k, true);
                g_hash_table_iter_remove(&it);
            }
        }
    }
    if (range == FEED_RANGE_NODES) {
        g_hash_table_iter_init(&it, f->rollouts);
        while (g_hash_table_iter_next(&it, &k, &v)) {
            if (GPOINTER_TO_INT(v) == 1) {
                push_change(f, k, false);
                g_hash_table_iter_remove(&it);
            }
        }
    }
}
