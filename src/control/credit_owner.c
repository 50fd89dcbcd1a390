#include "control/credit_owner.h"

#include <glib.h>

#define QUERY_INTERVAL_US 200000
#define LEASE_RENEW_INTERVAL_US 1000000
/* Queries continue for this time after the last request, so that a short
 * pause does not cost a new round before the next grant. */
#define QUERY_LINGER_US 30000000
/* A reported credit is counted for this time, so that some of the next
 * answers can be lost. */
#define REPORTED_CREDIT_US 4000000
#define SERVE_INTERVAL_US 50000
#define QUEUE_TIMEOUT_US 800000
#define RETRY_DELAY_US 100000
#define MAX_QUEUED_REQUESTS 1024

struct credit_key {
    uint64_t node;
    uint64_t credit;
};

struct granted_credit {
    struct credit_key key; /* first: the table's key */
    uint64_t sent; /* of the newest request, by the requester's clock */
    int64_t expires_us;
};

struct member {
    uint64_t node; /* first: the table's key */
    bool answered; /* its credits are known */
    uint64_t query;
    int64_t lease_start_us; /* when the query that it answered last was sent */
    int in_flight;
    int credit_count;     /* credits that it has now */
    uint64_t last_served; /* grant_count at the last grant to it */
};

struct queued_request {
    uint64_t node;
    struct credit_request req; /* without its strings */
    int64_t expires_us;
};

struct credit_owner {
    struct str endpoint;
    struct str region;
    struct credit_limits limits;
    int in_flight_limit;
    int successes_at_limit;
    int successes;
    bool reported_warm;
    uint64_t grant_count;
    int64_t term_start_us; /* answers to earlier queries do not count */
    int64_t settled_us;    /* members without an answer hold no credit then */
    int64_t majority_until_us; /* end of the majority's leases */
    bool majority_lapsed;      /* the majority's leases have expired */
    bool used_other_owner;     /* and a member has answered another owner */
    int64_t next_query_us;
    int64_t last_request_us;
    GHashTable *granted;
    GHashTable *members;
    GQueue queue;
};

static guint
credit_key_hash(gconstpointer p)
{
    const struct credit_key *k = p;
    return (guint)(k->node * 31 + k->credit);
}

static gboolean
credit_key_equal(gconstpointer a, gconstpointer b)
{
    const struct credit_key *x = a;
    const struct credit_key *y = b;
    return x->node == y->node && x->credit == y->credit;
}

struct credit_owner *
credit_owner_new(struct str endpoint, struct str region,
                 const struct credit_limits *limits, int64_t now_us)
{
    struct credit_owner *o = mem_calloc(1, sizeof(*o));
    o->endpoint = endpoint;
    o->region = region;
    o->limits = *limits;
    credit_owner_reset_limit(o);
    o->term_start_us = now_us;
    o->last_request_us = now_us;
    o->next_query_us = now_us;
    o->majority_lapsed = o->used_other_owner = true;
    o->granted =
        g_hash_table_new_full(credit_key_hash, credit_key_equal, NULL, free);
    o->members =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    g_queue_init(&o->queue);
    return o;
}

void
credit_owner_free(struct credit_owner *o)
{
    if (!o) {
        return;
    }
    g_hash_table_destroy(o->granted);
    g_hash_table_destroy(o->members);
    g_queue_clear_full(&o->queue, free);
    free(o);
}

int
credit_owner_in_flight_limit(const struct credit_owner *o)
{
    return o->in_flight_limit;
}

static bool
in_region_roster(const struct credit_owner *o, const struct view_member *m)
{
    return m && m->in_roster && str_eq(m->region, o->region);
}

static struct member *
get_member(struct credit_owner *o, uint64_t node)
{
    struct member *m = g_hash_table_lookup(o->members, &node);
    if (!m) {
        m = mem_calloc(1, sizeof(*m));
        m->node = node;
        m->lease_start_us = INT64_MIN / 2;
        g_hash_table_insert(o->members, &m->node, m);
    }
    return m;
}

static void
record_grant(struct credit_owner *o, uint64_t node, uint64_t credit,
             uint64_t sent, int64_t expires_us)
{
    struct credit_key key = {node, credit};
    struct granted_credit *g = g_hash_table_lookup(o->granted, &key);
    if (!g) {
        g = mem_calloc(1, sizeof(*g));
        g->key = key;
        g_hash_table_insert(o->granted, &g->key, g);
    }
    g->sent = MAX(g->sent, sent);
    g->expires_us = MAX(g->expires_us, expires_us);
}

/* Counts the granted credits and the calls in flight without one, and
 * updates each member's number of credits. */
static int
count_in_use(struct credit_owner *o, const struct credit_context *cx,
             int64_t now_us)
{
    GHashTableIter it;
    gpointer p;
    int n = 0;
    g_hash_table_iter_init(&it, o->members);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct member *m = p;
        m->credit_count = 0;
        n += in_region_roster(o, view_find(cx->view, m->node)) ? m->in_flight
                                                               : 0;
    }
    g_hash_table_iter_init(&it, o->granted);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct granted_credit *g = p;
        if (g->expires_us <= now_us) {
            g_hash_table_iter_remove(&it);
            continue;
        }
        get_member(o, g->key.node)->credit_count++;
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

/* Updates the end of the majority's leases. @return true if they last.
 * While they last without a gap, no other owner can have granted a credit. */
static bool
hold(struct credit_owner *o, const struct credit_context *cx, int64_t now_us)
{
    g_autoptr(GArray) leases = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (int i = 0; i < cx->view->count; i++) {
        const struct view_member *v = &cx->view->members[i];
        if (in_region_roster(o, v)) {
            g_array_append_val(leases, get_member(o, v->node)->lease_start_us);
        }
    }
    if (leases->len == 0) {
        return false;
    }
    g_array_sort(leases, newest_first);
    int64_t until =
        g_array_index(leases, int64_t, leases->len / 2) + CREDIT_LEASE_US;
    o->majority_lapsed = o->majority_lapsed || now_us >= o->majority_until_us;
    if (now_us >= until) {
        return false;
    }
    o->majority_until_us = until;
    if (o->majority_lapsed && o->used_other_owner) {
        GHashTableIter it;
        gpointer p;
        g_hash_table_iter_init(&it, o->members);
        while (g_hash_table_iter_next(&it, NULL, &p)) {
            struct member *m = p;
            m->answered = now_us - m->lease_start_us < CREDIT_LEASE_US;
        }
        o->settled_us = now_us + CREDIT_SETTLE_US;
    }
    o->majority_lapsed = o->used_other_owner = false;
    return true;
}

static bool
may_grant(struct credit_owner *o, const struct credit_context *cx,
          int64_t now_us)
{
    bool all = true;
    if (!hold(o, cx, now_us) || !cx->majority) {
        return false;
    }
    for (int i = 0; i < cx->view->count; i++) {
        const struct view_member *v = &cx->view->members[i];
        all = all &&
              (!in_region_roster(o, v) || get_member(o, v->node)->answered);
    }
    return all || now_us >= o->settled_us;
}

static void
answer(struct credit_owner *o, struct credit_context *cx, uint64_t to,
       const struct credit_request *req, bool granted, int64_t retry_us,
       uint64_t warm_seq)
{
    struct msg m = {.type = MSG_CREDIT_REPLY,
                    .credit_reply = {.credit = req->credit,
                                     .sent = req->sent,
                                     .endpoint = o->endpoint,
                                     .granted = granted,
                                     .retry_us = retry_us,
                                     .warm_seq = warm_seq}};
    cx->grants += granted;
    cx->refusals += !granted;
    cx->send(cx->ctx, to, &m);
}

static int64_t
retry_delay_us(struct credit_context *cx)
{
    return RETRY_DELAY_US / 2 + (int64_t)rng_below(&cx->rng, RETRY_DELAY_US);
}

void
credit_owner_handle_request(struct credit_owner *o, struct credit_context *cx,
                            int64_t now_us, uint64_t from,
                            const struct credit_request *req)
{
    o->last_request_us = now_us;
    if (!in_region_roster(o, view_find(cx->view, from)) ||
        g_queue_get_length(&o->queue) >= MAX_QUEUED_REQUESTS) {
        answer(o, cx, from, req, false, 5 * retry_delay_us(cx), 0);
        return;
    }
    for (GList *l = o->queue.head; l; l = l->next) {
        struct queued_request *w = l->data;
        if (w->node == from && w->req.credit == req->credit) {
            w->req.sent = MAX(w->req.sent, req->sent);
            return;
        }
    }
    struct queued_request *w = mem_calloc(1, sizeof(*w));
    w->node = from;
    w->req = *req;
    w->req.endpoint = (struct str){0};
    w->expires_us = now_us + QUEUE_TIMEOUT_US;
    g_queue_push_tail(&o->queue, w);
}

void
credit_owner_reset_limit(struct credit_owner *o)
{
    o->in_flight_limit =
        MIN(o->limits.initial_in_flight, o->limits.max_in_flight);
    o->successes_at_limit = 0;
    o->successes = 0;
    o->reported_warm = false;
}

bool
credit_owner_handle_release(struct credit_owner *o, uint64_t from,
                            const struct credit_release *r)
{
    struct credit_key key = {from, r->credit};
    for (GList *l = o->queue.head; l; l = l->next) {
        struct queued_request *w = l->data;
        if (w->node == from && w->req.credit == r->credit &&
            w->req.sent <= r->sent) {
            free(w);
            g_queue_delete_link(&o->queue, l);
            break;
        }
    }
    /* A repeated release is not a second success, and a release that
     * crossed a newer request for the same credit does not end the grant. */
    const struct granted_credit *g = g_hash_table_lookup(o->granted, &key);
    if (!g || g->sent > r->sent || !g_hash_table_remove(o->granted, &key) ||
        !r->used || !r->ok) {
        return false;
    }
    switch (r->report) {
    case CREDIT_REPORT_COLD:
        /* Cold after a report of warm means a new cold start. */
        if (o->reported_warm) {
            credit_owner_reset_limit(o);
        }
        o->successes++;
        o->in_flight_limit =
            MIN(o->limits.initial_in_flight, o->limits.max_in_flight);
        o->successes_at_limit = 0;
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
    o->successes_at_limit++;
    if (o->successes_at_limit >= o->in_flight_limit) {
        o->successes_at_limit = 0;
        o->in_flight_limit *= 2;
    }
    return o->in_flight_limit >= o->limits.max_in_flight &&
           o->successes >= o->limits.initial_in_flight;
}

void
credit_owner_handle_state(struct credit_owner *o,
                          const struct credit_context *cx, int64_t now_us,
                          uint64_t from, const struct credit_state *s)
{
    struct member *m = get_member(o, from);
    if ((int64_t)s->query < o->term_start_us || s->query <= m->query) {
        return;
    }
    hold(o, cx, now_us);
    o->used_other_owner = o->used_other_owner || s->bound > m->query;
    m->query = s->query;
    m->lease_start_us = (int64_t)s->query;
    m->answered = true;
    m->in_flight = s->in_flight;
    for (int i = 0; i < s->count; i++) {
        /* The remaining lifetime of the credit is not known, and a call may
         * outlast it. */
        struct credit_key key = {from, s->credits[i]};
        bool was_granted = g_hash_table_contains(o->granted, &key);
        record_grant(
            o, from, s->credits[i], 0,
            now_us + (was_granted ? REPORTED_CREDIT_US : CREDIT_SETTLE_US));
    }
}

void
credit_owner_set_in_flight(struct credit_owner *o, uint64_t from,
                           int in_flight)
{
    get_member(o, from)->in_flight = in_flight;
}

static bool
is_granted(struct credit_owner *o, const struct queued_request *w)
{
    struct credit_key key = {w->node, w->req.credit};
    return g_hash_table_contains(o->granted, &key);
}

/* Returns the request to grant next. Renewals go first, since their calls
 * are running; then the node with the fewest credits, and of these nodes
 * the one whose last grant is the oldest. */
static GList *
next_to_serve(struct credit_owner *o)
{
    GList *best = NULL;
    int fewest = 0;
    uint64_t longest = 0;
    for (GList *l = o->queue.head; l; l = l->next) {
        const struct queued_request *w = l->data;
        const struct member *m = get_member(o, w->node);
        int credit_count = is_granted(o, w) ? -2
                           : w->req.renew   ? -1
                                            : m->credit_count;
        if (!best || credit_count < fewest ||
            (credit_count == fewest && m->last_served < longest)) {
            best = l;
            fewest = credit_count;
            longest = m->last_served;
        }
    }
    return best;
}

static void
serve(struct credit_owner *o, struct credit_context *cx, int64_t now_us)
{
    int used = count_in_use(o, cx, now_us);
    GList *l;
    while ((l = next_to_serve(o))) {
        struct queued_request *w = l->data;
        int new_credits = is_granted(o, w) ? 0 : 1;
        if (used + new_credits > o->in_flight_limit) {
            return;
        }
        used += new_credits;
        struct member *m = get_member(o, w->node);
        m->credit_count += new_credits;
        m->last_served = new_credits ? ++o->grant_count : m->last_served;
        record_grant(o, w->node, w->req.credit, w->req.sent,
                     now_us + w->req.lifetime_us + CREDIT_GRACE_US);
        answer(o, cx, w->node, &w->req, true, 0, 0);
        free(w);
        g_queue_delete_link(&o->queue, l);
    }
}

static void
send_queries(struct credit_owner *o, struct credit_context *cx, int64_t now_us)
{
    o->next_query_us = now_us + LEASE_RENEW_INTERVAL_US;
    for (int i = 0; i < cx->view->count; i++) {
        const struct view_member *v = &cx->view->members[i];
        if (!in_region_roster(o, v)) {
            continue;
        }
        int64_t renew_us =
            get_member(o, v->node)->lease_start_us + LEASE_RENEW_INTERVAL_US;
        if (renew_us > now_us) {
            o->next_query_us = MIN(o->next_query_us, renew_us);
            continue;
        }
        if (v->alive) {
            o->next_query_us =
                MIN(o->next_query_us, now_us + QUERY_INTERVAL_US);
        }
        struct msg q = {.type = MSG_CREDIT_QUERY,
                        .credit_query = {.endpoint = o->endpoint,
                                         .query = (uint64_t)now_us}};
        cx->send(cx->ctx, v->node, &q);
    }
}

int64_t
credit_owner_tick(struct credit_owner *o, struct credit_context *cx,
                  int64_t now_us)
{
    bool active = now_us - o->last_request_us < QUERY_LINGER_US;
    if (active && now_us >= o->next_query_us) {
        send_queries(o, cx, now_us);
    }
    if (may_grant(o, cx, now_us)) {
        serve(o, cx, now_us);
    }
    int64_t wake = active ? o->next_query_us : INT64_MAX;
    for (GList *l = o->queue.head; l;) {
        GList *next = l->next;
        struct queued_request *w = l->data;
        if (w->expires_us <= now_us) {
            answer(o, cx, w->node, &w->req, false, retry_delay_us(cx), 0);
            free(w);
            g_queue_delete_link(&o->queue, l);
        }
        else {
            /* A credit may become free by its expiry. */
            wake = MIN(wake, now_us + SERVE_INTERVAL_US);
        }
        l = next;
    }
    return wake;
}

void
credit_owner_close(struct credit_owner *o, struct credit_context *cx,
                   uint64_t warm_seq)
{
    struct queued_request *w;
    while ((w = g_queue_pop_head(&o->queue))) {
        answer(o, cx, w->node, &w->req, warm_seq != 0,
               warm_seq ? 0 : retry_delay_us(cx), warm_seq);
        free(w);
    }
}
