#include "control/credit_owner.h"

#include <glib.h>

#define QUERY_EVERY_US 200000
#define RENEW_EVERY_US 1000000
/* Queries go on this long after the last ask, so that a short lull does not
 * cost a new round before the next grant. */
#define ACTIVE_US 30000000
/* A listed credit is counted until some of the next answers can be lost. */
#define LISTED_US 4000000
#define SERVE_EVERY_US 50000
#define WAIT_US 800000
#define RETRY_US 100000
#define WAITING_MAX 1024

struct given_key {
    uint64_t node;
    uint64_t credit;
};

struct given {
    struct given_key key; /* first: the table's key */
    uint64_t sent;        /* of the newest ask, by the asker's clock */
    int64_t expires_us;
};

struct member {
    uint64_t node; /* first: the table's key */
    bool answered; /* its credits are known */
    uint64_t query;
    int64_t lease_us; /* when the query that it answered last was sent */
    int in_flight;
    int given;       /* credits it has now */
    uint64_t served; /* when it was last granted one, as a count */
};

struct waiting {
    uint64_t node;
    struct credit_ask ask; /* without its strings */
    int64_t until_us;
};

struct credit_owner {
    struct str endpoint;
    struct str region;
    struct credit_limits limits;
    int bears;
    int level_successes;
    int successes;
    bool reported_warm;
    uint64_t grants;
    int64_t term_us;   /* answers to earlier queries do not count */
    int64_t settle_us; /* members that have not answered hold nothing then */
    int64_t held_us;   /* the majority's leases last until then */
    bool lapsed;       /* they have run out */
    bool rebound;      /* and a member has used another owner */
    int64_t query_us;  /* next query */
    int64_t active_us; /* last ask */
    GHashTable *given;
    GHashTable *members;
    GQueue waiting;
};

static guint
given_hash(gconstpointer p)
{
    const struct given_key *k = p;
    return (guint)(k->node * 31 + k->credit);
}

static gboolean
given_equal(gconstpointer a, gconstpointer b)
{
    const struct given_key *x = a;
    const struct given_key *y = b;
    return x->node == y->node && x->credit == y->credit;
}

struct credit_owner *
credit_owner_new(struct str endpoint, struct str region,
                 const struct credit_limits *limits, int64_t now_us)
{
    struct credit_owner *o = mem_zero(1, sizeof(*o));
    o->endpoint = endpoint;
    o->region = region;
    o->limits = *limits;
    credit_owner_restarted(o);
    o->term_us = now_us;
    o->active_us = now_us;
    o->query_us = now_us;
    o->lapsed = o->rebound = true;
    o->given = g_hash_table_new_full(given_hash, given_equal, NULL, free);
    o->members =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    g_queue_init(&o->waiting);
    return o;
}

void
credit_owner_free(struct credit_owner *o)
{
    if (!o) {
        return;
    }
    g_hash_table_destroy(o->given);
    g_hash_table_destroy(o->members);
    g_queue_clear_full(&o->waiting, free);
    free(o);
}

int
credit_owner_bears(const struct credit_owner *o)
{
    return o->bears;
}

static bool
in_group(const struct credit_owner *o, const struct view_member *m)
{
    return m && m->in_roster && str_eq(m->region, o->region);
}

static struct member *
member_of(struct credit_owner *o, uint64_t node)
{
    struct member *m = g_hash_table_lookup(o->members, &node);
    if (!m) {
        m = mem_zero(1, sizeof(*m));
        m->node = node;
        m->lease_us = INT64_MIN / 2;
        g_hash_table_insert(o->members, &m->node, m);
    }
    return m;
}

static void
give(struct credit_owner *o, uint64_t node, uint64_t credit, uint64_t sent,
     int64_t expires_us)
{
    struct given_key key = {node, credit};
    struct given *g = g_hash_table_lookup(o->given, &key);
    if (!g) {
        g = mem_zero(1, sizeof(*g));
        g->key = key;
        g_hash_table_insert(o->given, &g->key, g);
    }
    g->sent = MAX(g->sent, sent);
    g->expires_us = MAX(g->expires_us, expires_us);
}

/* Credits given, calls in flight without one, and each member's share. */
static int
in_use(struct credit_owner *o, const struct credit_host *h, int64_t now_us)
{
    GHashTableIter it;
    gpointer p;
    int n = 0;
    g_hash_table_iter_init(&it, o->members);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct member *m = p;
        m->given = 0;
        n += in_group(o, view_find(h->view, m->node)) ? m->in_flight : 0;
    }
    g_hash_table_iter_init(&it, o->given);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct given *g = p;
        if (g->expires_us <= now_us) {
            g_hash_table_iter_remove(&it);
            continue;
        }
        member_of(o, g->key.node)->given++;
        n++;
    }
    return n;
}

static gint
newest_first(gconstpointer a, gconstpointer b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x < y) - (x > y);
}

/* Follows the majority's leases. While they last without a gap, no other
 * owner can have granted anything. */
static bool
hold(struct credit_owner *o, const struct credit_host *h, int64_t now_us)
{
    g_autoptr(GArray) leases = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (int i = 0; i < h->view->count; i++) {
        const struct view_member *v = &h->view->members[i];
        if (in_group(o, v)) {
            g_array_append_val(leases, member_of(o, v->node)->lease_us);
        }
    }
    if (leases->len == 0) {
        return false;
    }
    g_array_sort(leases, newest_first);
    int64_t until =
        g_array_index(leases, int64_t, leases->len / 2) + CREDIT_LEASE_US;
    o->lapsed = o->lapsed || now_us >= o->held_us;
    if (now_us >= until) {
        return false;
    }
    o->held_us = until;
    if (o->lapsed && o->rebound) {
        GHashTableIter it;
        gpointer p;
        g_hash_table_iter_init(&it, o->members);
        while (g_hash_table_iter_next(&it, NULL, &p)) {
            struct member *m = p;
            m->answered = now_us - m->lease_us < CREDIT_LEASE_US;
        }
        o->settle_us = now_us + CREDIT_SETTLE_US;
    }
    o->lapsed = o->rebound = false;
    return true;
}

static bool
may_grant(struct credit_owner *o, const struct credit_host *h, int64_t now_us)
{
    bool all = true;
    if (!hold(o, h, now_us) || !h->majority) {
        return false;
    }
    for (int i = 0; i < h->view->count; i++) {
        const struct view_member *v = &h->view->members[i];
        all = all && (!in_group(o, v) || member_of(o, v->node)->answered);
    }
    return all || now_us >= o->settle_us;
}

static void
answer(struct credit_owner *o, struct credit_host *h, uint64_t to,
       const struct credit_ask *ask, bool granted, int64_t retry_us,
       uint64_t warm_seq)
{
    struct msg m = {.type = MSG_CREDIT_REPLY,
                    .credit_reply = {.credit = ask->credit,
                                     .sent = ask->sent,
                                     .endpoint = o->endpoint,
                                     .granted = granted,
                                     .retry_us = retry_us,
                                     .warm_seq = warm_seq}};
    h->grants += granted;
    h->refusals += !granted;
    h->send(h->ctx, to, &m);
}

static int64_t
retry_after(struct credit_host *h)
{
    return RETRY_US / 2 + (int64_t)rng_below(&h->rng, RETRY_US);
}

void
credit_owner_ask(struct credit_owner *o, struct credit_host *h, int64_t now_us,
                 uint64_t from, const struct credit_ask *ask)
{
    o->active_us = now_us;
    if (!in_group(o, view_find(h->view, from)) ||
        g_queue_get_length(&o->waiting) >= WAITING_MAX) {
        answer(o, h, from, ask, false, 5 * retry_after(h), 0);
        return;
    }
    for (GList *l = o->waiting.head; l; l = l->next) {
        struct waiting *w = l->data;
        if (w->node == from && w->ask.credit == ask->credit) {
            w->ask.sent = MAX(w->ask.sent, ask->sent);
            return;
        }
    }
    struct waiting *w = mem_zero(1, sizeof(*w));
    w->node = from;
    w->ask = *ask;
    w->ask.endpoint = (struct str){0};
    w->until_us = now_us + WAIT_US;
    g_queue_push_tail(&o->waiting, w);
}

void
credit_owner_restarted(struct credit_owner *o)
{
    o->bears = MIN(o->limits.start, o->limits.max);
    o->level_successes = 0;
    o->successes = 0;
    o->reported_warm = false;
}

bool
credit_owner_release(struct credit_owner *o, uint64_t from,
                     const struct credit_release *r)
{
    struct given_key key = {from, r->credit};
    for (GList *l = o->waiting.head; l; l = l->next) {
        struct waiting *w = l->data;
        if (w->node == from && w->ask.credit == r->credit &&
            w->ask.sent <= r->sent) {
            free(w);
            g_queue_delete_link(&o->waiting, l);
            break;
        }
    }
    /* A repeated release is no second success, and one that crossed a newer
     * ask of the same credit ends nothing. */
    const struct given *g = g_hash_table_lookup(o->given, &key);
    if (!g || g->sent > r->sent || !g_hash_table_remove(o->given, &key) ||
        !r->used || !r->ok) {
        return false;
    }
    switch (r->report) {
    case CREDIT_REPORT_COLD:
        /* After a report of warm this is a new cold start. */
        if (o->reported_warm) {
            credit_owner_restarted(o);
        }
        o->successes++;
        o->bears = MIN(o->limits.start, o->limits.max);
        o->level_successes = 0;
        return false;
    case CREDIT_REPORT_WARM:
        o->reported_warm = true;
        if (++o->successes >= o->limits.warm_successes) {
            return true;
        }
        break;
    case CREDIT_REPORT_NONE:
    case CREDIT_REPORT_COUNT:
        if (o->successes < o->limits.warm_successes) {
            o->successes++;
            return false;
        }
        break;
    }
    o->level_successes++;
    if (o->level_successes >= o->bears) {
        o->level_successes = 0;
        o->bears *= 2;
    }
    return o->bears >= o->limits.max && o->successes >= o->limits.start;
}

void
credit_owner_state(struct credit_owner *o, const struct credit_host *h,
                   int64_t now_us, uint64_t from, const struct credit_state *s)
{
    struct member *m = member_of(o, from);
    if ((int64_t)s->query < o->term_us || s->query <= m->query) {
        return;
    }
    hold(o, h, now_us);
    o->rebound = o->rebound || s->bound > m->query;
    m->query = s->query;
    m->lease_us = (int64_t)s->query;
    m->answered = true;
    m->in_flight = s->in_flight;
    for (int i = 0; i < s->count; i++) {
        /* Its remaining life is not known, and a call may outlast it. */
        struct given_key key = {from, s->credits[i]};
        bool had = g_hash_table_contains(o->given, &key);
        give(o, from, s->credits[i], 0,
             now_us + (had ? LISTED_US : CREDIT_SETTLE_US));
    }
}

void
credit_owner_count(struct credit_owner *o, uint64_t from, int in_flight)
{
    member_of(o, from)->in_flight = in_flight;
}

static bool
known(struct credit_owner *o, const struct waiting *w)
{
    struct given_key key = {w->node, w->ask.credit};
    return g_hash_table_contains(o->given, &key);
}

/* Renewals go first, since their calls are running; then the node with the
 * fewest credits, of these the one that was served longest ago. */
static GList *
next_served(struct credit_owner *o)
{
    GList *best = NULL;
    int fewest = 0;
    uint64_t longest = 0;
    for (GList *l = o->waiting.head; l; l = l->next) {
        const struct waiting *w = l->data;
        const struct member *m = member_of(o, w->node);
        int given = known(o, w) ? -2 : w->ask.renew ? -1 : m->given;
        if (!best || given < fewest ||
            (given == fewest && m->served < longest)) {
            best = l;
            fewest = given;
            longest = m->served;
        }
    }
    return best;
}

static void
serve(struct credit_owner *o, struct credit_host *h, int64_t now_us)
{
    int used = in_use(o, h, now_us);
    GList *l;
    while ((l = next_served(o))) {
        struct waiting *w = l->data;
        int more = known(o, w) ? 0 : 1;
        if (used + more > o->bears) {
            return;
        }
        used += more;
        struct member *m = member_of(o, w->node);
        m->given += more;
        m->served = more ? ++o->grants : m->served;
        give(o, w->node, w->ask.credit, w->ask.sent,
             now_us + w->ask.lifetime_us + CREDIT_GRACE_US);
        answer(o, h, w->node, &w->ask, true, 0, 0);
        free(w);
        g_queue_delete_link(&o->waiting, l);
    }
}

static void
query(struct credit_owner *o, struct credit_host *h, int64_t now_us)
{
    o->query_us = now_us + RENEW_EVERY_US;
    for (int i = 0; i < h->view->count; i++) {
        const struct view_member *v = &h->view->members[i];
        if (!in_group(o, v)) {
            continue;
        }
        int64_t renew_us = member_of(o, v->node)->lease_us + RENEW_EVERY_US;
        if (renew_us > now_us) {
            o->query_us = MIN(o->query_us, renew_us);
            continue;
        }
        if (v->alive) {
            o->query_us = MIN(o->query_us, now_us + QUERY_EVERY_US);
        }
        struct msg q = {.type = MSG_CREDIT_QUERY,
                        .credit_query = {.endpoint = o->endpoint,
                                         .query = (uint64_t)now_us}};
        h->send(h->ctx, v->node, &q);
    }
}

int64_t
credit_owner_tick(struct credit_owner *o, struct credit_host *h,
                  int64_t now_us)
{
    bool active = now_us - o->active_us < ACTIVE_US;
    if (active && now_us >= o->query_us) {
        query(o, h, now_us);
    }
    if (may_grant(o, h, now_us)) {
        serve(o, h, now_us);
    }
    int64_t wake = active ? o->query_us : INT64_MAX;
    for (GList *l = o->waiting.head; l;) {
        GList *next = l->next;
        struct waiting *w = l->data;
        if (w->until_us <= now_us) {
            answer(o, h, w->node, &w->ask, false, retry_after(h), 0);
            free(w);
            g_queue_delete_link(&o->waiting, l);
        }
        else {
            /* A credit may come free by its expiry. */
            wake = MIN(wake, now_us + SERVE_EVERY_US);
        }
        l = next;
    }
    return wake;
}

void
credit_owner_close(struct credit_owner *o, struct credit_host *h,
                   uint64_t warm_seq)
{
    struct waiting *w;
    while ((w = g_queue_pop_head(&o->waiting))) {
        answer(o, h, w->node, &w->ask, warm_seq != 0,
               warm_seq ? 0 : retry_after(h), warm_seq);
        free(w);
    }
}
