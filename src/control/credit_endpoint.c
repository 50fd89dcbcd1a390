#include "control/credit_endpoint.h"

/* Flow cores report their calls in flight within this time after the
 * notice. */
#define COUNT_TIMEOUT_US 100000

static guint
str_hash(gconstpointer p)
{
    return (guint)hash64(*(const struct str *)p);
}

static gboolean
str_equal(gconstpointer a, gconstpointer b)
{
    return str_eq(*(const struct str *)a, *(const struct str *)b);
}

static void
endpoint_free(gpointer p)
{
    struct endpoint *e = p;
    credit_owner_free(e->owner);
    g_hash_table_destroy(e->pending_requests);
    g_hash_table_destroy(e->held_credits);
    str_free(&e->id);
    str_free(&e->start_id);
    str_free(&e->region);
    free(e->in_flight);
    free(e);
}

GHashTable *
endpoint_table_new(void)
{
    return g_hash_table_new_full(str_hash, str_equal, NULL, endpoint_free);
}

struct endpoint *
endpoint_find(const struct credits *c, struct str id)
{
    return g_hash_table_lookup(c->endpoints, &id);
}

struct endpoint *
endpoint_add(struct credits *c, struct str id)
{
    struct endpoint *e = mem_calloc(1, sizeof(*e));
    e->id = str_dup(id);
    e->cold = true;
    e->cold_since_us = INT64_MIN / 2;
    e->owner_wakeup_us = INT64_MAX;
    e->limits = (struct credit_limits){1, 1, 1};
    e->in_flight = mem_calloc((size_t)c->opts.threads, sizeof(int));
    e->pending_requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    e->held_credits =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    g_hash_table_insert(c->endpoints, &e->id, e);
    return e;
}

bool
endpoint_is_owner(struct credits *c, struct endpoint *e)
{
    const struct view *v = c->context.view;
    if (e->owner_view_version != v->version || e->owner_node == 0) {
        e->owner_node = view_owner(v, e->id, e->region);
        e->owner_view_version = v->version;
    }
    return e->owner_node == c->opts.node;
}

void
credits_reply_to_flow(struct credits *c, struct str endpoint, uint64_t credit,
                      int thread, bool granted, int64_t retry_us)
{
    struct control_action a = {.kind = CONTROL_ACT_REPLY};
    a.reply.thread = thread;
    a.reply.reply.kind = REPLY_CREDIT;
    a.reply.reply.credit.credit = credit;
    a.reply.reply.credit.endpoint = endpoint;
    a.reply.reply.credit.granted = granted;
    a.reply.reply.credit.retry_us = retry_us;
    outbox_push(c->out, &a);
}

void
endpoint_remove_owner(struct credits *c, struct endpoint *e, uint64_t warm_seq)
{
    if (e->owner) {
        credit_owner_close(e->owner, &c->context, warm_seq);
        credit_owner_free(e->owner);
        e->owner = NULL;
        e->owner_wakeup_us = INT64_MAX;
    }
}

void
endpoint_set_state(struct credits *c, int64_t now_us, struct endpoint *e,
                   bool cold, uint64_t seq, struct str start_id)
{
    bool changed = e->cold != cold;
    bool started = start_id.len > 0 && !str_eq(start_id, e->start_id);
    e->cold = cold;
    e->seq = seq;
    e->gossip_count = 0;
    if (started) {
        str_free(&e->start_id);
        e->start_id = str_dup(start_id);
    }
    if (cold) {
        /* A new cold start begins at the lowest limit again. */
        endpoint_remove_owner(c, e, 0);
        c->cold_starts++;
    }
    if (!changed && !started) {
        return;
    }
    if (cold && changed) {
        e->cold_since_us = now_us;
        for (int i = 0; i < c->opts.threads; i++) {
            e->in_flight[i] = -1;
        }
    }
    else if (changed) {
        GHashTableIter it;
        gpointer p;
        g_hash_table_iter_init(&it, e->pending_requests);
        while (g_hash_table_iter_next(&it, NULL, &p)) {
            const struct pending_request *w = p;
            credits_reply_to_flow(c, e->id, w->credit, w->thread, true, 0);
        }
        g_hash_table_remove_all(e->pending_requests);
        g_hash_table_remove_all(e->held_credits);
        endpoint_remove_owner(c, e, seq);
        c->warm_ups++;
    }
    if (e->listed) {
        struct control_action a = {.kind = CONTROL_ACT_NOTIFY_ALL};
        a.reply.reply.kind = REPLY_ENDPOINT;
        a.reply.reply.endpoint =
            (struct endpoint_notice){e->id, cold, e->start_id};
        outbox_push(c->out, &a);
    }
}

bool
endpoint_apply_change(struct credits *c, int64_t now_us, struct endpoint *e,
                      bool cold, uint64_t seq, struct str start_id)
{
    /* Of two changes with the same number, cold is the safe one. */
    if (seq < e->seq || (seq == e->seq && (!cold || e->cold))) {
        return false;
    }
    endpoint_set_state(c, now_us, e, cold, seq, start_id);
    return true;
}

int
endpoint_calls_without_credit(const struct credits *c,
                              const struct endpoint *e)
{
    int n = 0;
    for (int i = 0; i < c->opts.threads; i++) {
        n += e->in_flight[i] > 0 ? e->in_flight[i] : 0;
    }
    return n;
}

bool
endpoint_calls_reported(const struct credits *c, const struct endpoint *e,
                        int64_t now_us)
{
    bool all = true;
    for (int i = 0; i < c->opts.threads; i++) {
        all = all && e->in_flight[i] >= 0;
    }
    return all || now_us - e->cold_since_us >= COUNT_TIMEOUT_US;
}
