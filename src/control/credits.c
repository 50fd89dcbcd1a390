#include "control/credits.h"

#include "control/credit_endpoint.h"

#define RESEND_INTERVAL_US 250000
#define MAX_SENDS 4
#define RETRY_DELAY_US 100000
#define RETRY_UNKNOWN_DELAY_US 500000
/* A credit that expired during its call is still reported for this time. */
#define EXPIRED_CREDIT_KEEP_US 60000000
/* Number of times that a change to warm is gossiped; enough for 390 nodes
 * with 8 changes per message, since every receiver passes it on as well. */
#define WARM_GOSSIP_COUNT 24
#define UNLISTED_KEEP_US 600000000
#define UNLISTED_MAX 8192

struct local_msg {
    struct msg msg;
    struct str endpoint; /* owned */
};

/* Returns the endpoint's name in a message about credits. */
static struct str *
msg_endpoint(struct msg *m)
{
    switch (m->type) {
    case MSG_CREDIT:
        return &m->credit.endpoint;
    case MSG_CREDIT_REPLY:
        return &m->credit_reply.endpoint;
    case MSG_CREDIT_RELEASE:
        return &m->credit_release.endpoint;
    case MSG_CREDIT_QUERY:
        return &m->credit_query.endpoint;
    case MSG_CREDIT_STATE:
        return &m->credit_state.endpoint;
    case MSG_COLD:
        return &m->cold.endpoint;
    default:
        return NULL;
    }
}

/* Queues messages to this node until the current event has been handled. */
static void
send_to(void *ctx, uint64_t to, const struct msg *m)
{
    struct credits *c = ctx;
    if (to == c->opts.node) {
        struct local_msg *l = mem_calloc(1, sizeof(*l));
        l->msg = *m;
        l->msg.from = to;
        l->msg.incarnation = c->opts.incarnation;
        l->endpoint = str_dup(*msg_endpoint(&l->msg));
        *msg_endpoint(&l->msg) = l->endpoint;
        if (m->type == MSG_COLD) {
            l->msg.cold.start_id = (struct str){0};
        }
        g_queue_push_tail(&c->local_messages, l);
        return;
    }
    const struct view_member *member = view_find(c->context.view, to);
    if (member) {
        struct control_action a = {.kind = CONTROL_ACT_SEND};
        a.send.to = to;
        a.send.address = member->address;
        a.send.msg = *m;
        a.send.msg.from = c->opts.node;
        a.send.msg.incarnation = c->opts.incarnation;
        outbox_push(c->out, &a);
    }
}

struct credits *
credits_new(const struct credits_options *opts)
{
    struct credits *c = mem_calloc(1, sizeof(*c));
    c->opts = *opts;
    c->opts.threads = opts->threads > 0 ? opts->threads : 1;
    c->context.node = opts->node;
    c->context.ctx = c;
    c->context.send = send_to;
    rng_seed(&c->context.rng, opts->seed);
    c->endpoints = endpoint_table_new();
    c->first_call_us = INT64_MIN;
    c->wakeup_us = INT64_MAX;
    g_queue_init(&c->local_messages);
    return c;
}

void
credits_free(struct credits *c)
{
    if (c) {
        g_hash_table_destroy(c->endpoints);
        free(c);
    }
}

static void
send_request_to_owner(struct credits *c, int64_t now_us, struct endpoint *e,
                      struct pending_request *w)
{
    struct msg m = {.type = MSG_CREDIT,
                    .credit = {.credit = w->credit,
                               .endpoint = e->id,
                               .lifetime_us = w->lifetime_us,
                               .renew = w->renew,
                               .sent = (uint64_t)now_us}};
    w->send_count++;
    w->resend_us = now_us + RESEND_INTERVAL_US;
    c->wakeup_us = MIN(c->wakeup_us, w->resend_us);
    endpoint_is_owner(c, e);
    if (e->owner_node) {
        send_to(c, e->owner_node, &m);
    }
}

static void
release(struct credits *c, uint64_t to, const struct endpoint *e,
        const struct credit_release *r)
{
    struct msg m = {.type = MSG_CREDIT_RELEASE, .credit_release = *r};
    m.credit_release.endpoint = e->id;
    if (to) {
        send_to(c, to, &m);
    }
}

static void
tick_owner(struct credits *c, int64_t now_us, struct endpoint *e)
{
    if (e->owner && !endpoint_is_owner(c, e)) {
        endpoint_remove_owner(c, e, 0);
    }
    if (e->owner) {
        e->owner_wakeup_us = credit_owner_tick(e->owner, &c->context, now_us);
        c->wakeup_us = MIN(c->wakeup_us, e->owner_wakeup_us);
    }
}

static struct credit_owner *
get_owner(int64_t now_us, struct endpoint *e)
{
    if (!e->owner) {
        e->owner = credit_owner_new(e->id, e->region, &e->limits, now_us);
    }
    return e->owner;
}

static void
on_credit(struct credits *c, int64_t now_us, const struct msg *m)
{
    struct endpoint *e = endpoint_find(c, m->credit.endpoint);
    struct msg r = {.type = MSG_CREDIT_REPLY,
                    .credit_reply = {.credit = m->credit.credit,
                                     .sent = m->credit.sent,
                                     .endpoint = m->credit.endpoint,
                                     .retry_us = RETRY_DELAY_US}};
    if (e && !e->cold) {
        r.credit_reply.warm_seq = e->seq;
        send_to(c, m->from, &r);
        return;
    }
    if (!e || !e->listed || !endpoint_is_owner(c, e)) {
        send_to(c, m->from, &r);
        return;
    }
    credit_owner_handle_request(get_owner(now_us, e), &c->context, now_us,
                                m->from, &m->credit);
    tick_owner(c, now_us, e);
}

static void
on_release(struct credits *c, int64_t now_us, const struct msg *m)
{
    struct endpoint *e = endpoint_find(c, m->credit_release.endpoint);
    if (!e || !e->owner) {
        return;
    }
    if (credit_owner_handle_release(e->owner, m->from, &m->credit_release)) {
        endpoint_set_state(c, now_us, e, false, e->seq + 1, (struct str){0});
        return;
    }
    tick_owner(c, now_us, e);
}

static void
on_reply(struct credits *c, int64_t now_us, const struct msg *m)
{
    const struct credit_reply *r = &m->credit_reply;
    struct endpoint *e = endpoint_find(c, r->endpoint);
    if (!e) {
        return;
    }
    if (r->warm_seq) {
        if (!endpoint_apply_change(c, now_us, e, false, r->warm_seq,
                                   (struct str){0}) &&
            e->cold) {
            struct msg cold = {
                .type = MSG_COLD,
                .cold = {.endpoint = e->id,
                         .start_id = e->start_id,
                         .in_flight = endpoint_calls_without_credit(c, e),
                         .seq = e->seq}};
            send_to(c, m->from, &cold);
        }
        return;
    }
    struct pending_request *w =
        g_hash_table_lookup(e->pending_requests, &r->credit);
    /* The owner may no longer count a grant for a request sent before the
     * promise: another node may have owned the endpoint since. */
    bool from_promised_owner = e->promised_node == m->from &&
                               e->promised_incarnation == m->incarnation &&
                               (int64_t)r->sent >= e->promised_us;
    if (r->granted && (!w || !from_promised_owner)) {
        /* A late grant, or one of an owner that has no promise of this node
         * any more, is returned; a repeated grant of a credit in use is
         * ignored. */
        if (e->cold && !g_hash_table_contains(e->held_credits, &r->credit)) {
            struct credit_release unused = {.credit = r->credit,
                                            .sent = r->sent};
            release(c, m->from, e, &unused);
        }
        return;
    }
    if (!w) {
        return;
    }
    if (r->granted) {
        struct held_credit *h =
            g_hash_table_lookup(e->held_credits, &w->credit);
        int64_t expires_us = (int64_t)r->sent + w->lifetime_us;
        bool late = expires_us <= now_us;
        if (late && !h) {
            struct credit_release unused = {.credit = r->credit,
                                            .sent = r->sent};
            release(c, m->from, e, &unused);
        }
        else if (!late && !h) {
            h = mem_calloc(1, sizeof(*h));
            h->credit = w->credit;
            g_hash_table_insert(e->held_credits, &h->credit, h);
        }
        if (!late) {
            h->thread = w->thread;
            h->expires_us = expires_us;
        }
        credits_reply_to_flow(c, e->id, w->credit, w->thread, !late,
                              late ? RETRY_DELAY_US : 0);
    }
    else {
        credits_reply_to_flow(c, e->id, w->credit, w->thread, false,
                              r->retry_us);
    }
    g_hash_table_remove(e->pending_requests, &r->credit);
}

static void
on_query(struct credits *c, int64_t now_us, const struct msg *m)
{
    const struct credit_query *q = &m->credit_query;
    struct endpoint *e = endpoint_find(c, q->endpoint);
    if (!e) {
        if (g_hash_table_size(c->endpoints) >= UNLISTED_MAX) {
            return;
        }
        e = endpoint_add(c, q->endpoint);
        e->unlisted_us = now_us;
    }
    /* An earlier process of this node may have answered another owner. */
    if (now_us - c->first_call_us < CREDIT_PROMISE_US ||
        (e->cold && !endpoint_calls_reported(c, e, now_us)) ||
        (e->promised_node && e->promised_node != m->from &&
         now_us < e->promise_until_us)) {
        return;
    }
    if (e->promised_node != m->from ||
        e->promised_incarnation != m->incarnation) {
        e->promised_node = m->from;
        e->promised_incarnation = m->incarnation;
        e->promised_query = q->query;
        e->promised_us = now_us;
    }
    e->promise_until_us = now_us + CREDIT_PROMISE_US;
    struct msg r = {.type = MSG_CREDIT_STATE};
    struct credit_state *s = &r.credit_state;
    s->endpoint = e->id;
    s->query = q->query;
    s->bound = e->promised_query;
    s->warm_seq = e->cold ? 0 : e->seq;
    s->in_flight = endpoint_calls_without_credit(c, e);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, e->held_credits);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const struct held_credit *h = p;
        if (s->count < MSG_MAX_CREDITS) {
            s->credits[s->count++] = h->credit;
        }
        else {
            s->in_flight++;
        }
    }
    send_to(c, m->from, &r);
}

static void
on_state(struct credits *c, int64_t now_us, const struct msg *m)
{
    const struct credit_state *s = &m->credit_state;
    struct endpoint *e = endpoint_find(c, s->endpoint);
    if (!e || !e->cold) {
        return;
    }
    if (s->warm_seq) {
        /* The member may send calls without credits until it knows of the
         * cold start, so this does not count as an answer. */
        if (!endpoint_apply_change(c, now_us, e, false, s->warm_seq,
                                   (struct str){0})) {
            struct msg cold = {.type = MSG_COLD,
                               .cold = {.endpoint = e->id,
                                        .start_id = e->start_id,
                                        .seq = e->seq}};
            send_to(c, m->from, &cold);
        }
        return;
    }
    if (e->owner) {
        credit_owner_handle_state(e->owner, &c->context, now_us, m->from, s);
        tick_owner(c, now_us, e);
    }
}

static void
on_cold(struct credits *c, int64_t now_us, const struct msg *m)
{
    struct endpoint *e = endpoint_find(c, m->cold.endpoint);
    if (!e) {
        return;
    }
    if (m->from != c->opts.node) {
        endpoint_apply_change(c, now_us, e, true, m->cold.seq,
                              m->cold.start_id);
    }
    if (e->cold && e->listed && endpoint_is_owner(c, e)) {
        credit_owner_set_in_flight(get_owner(now_us, e), m->from,
                                   m->cold.in_flight);
        if (m->cold.detected) {
            credit_owner_reset_limit(e->owner);
        }
        tick_owner(c, now_us, e);
    }
}

static void
handle(struct credits *c, int64_t now_us, const struct msg *m)
{
    switch (m->type) {
    case MSG_CREDIT:
        on_credit(c, now_us, m);
        break;
    case MSG_CREDIT_RELEASE:
        on_release(c, now_us, m);
        break;
    case MSG_CREDIT_REPLY:
        on_reply(c, now_us, m);
        break;
    case MSG_CREDIT_QUERY:
        on_query(c, now_us, m);
        break;
    case MSG_CREDIT_STATE:
        on_state(c, now_us, m);
        break;
    case MSG_COLD:
        on_cold(c, now_us, m);
        break;
    default:
        break;
    }
}

static void
begin(struct credits *c, int64_t now_us, const struct view *v,
      struct outbox *out)
{
    c->context.view = v;
    c->out = out;
    c->first_call_us =
        c->first_call_us == INT64_MIN ? now_us : c->first_call_us;
}

static void
finish(struct credits *c, int64_t now_us)
{
    struct local_msg *l;
    while ((l = g_queue_pop_head(&c->local_messages))) {
        handle(c, now_us, &l->msg);
        str_free(&l->endpoint);
        free(l);
    }
    c->context.view = NULL;
    c->out = NULL;
}

static gboolean
unlisted_too_long(gpointer key, gpointer value, gpointer data)
{
    const struct endpoint *e = value;
    (void)key;
    return !e->listed && *(int64_t *)data - e->unlisted_us > UNLISTED_KEEP_US;
}

void
credits_apply_snapshot(struct credits *c, int64_t now_us, const struct view *v,
                       const struct snapshot *s, struct outbox *out)
{
    GHashTableIter it;
    gpointer p;
    begin(c, now_us, v, out);
    g_autoptr(GHashTable) present = g_hash_table_new(NULL, NULL);
    for (int i = 0; i < s->endpoint_count; i++) {
        const struct snapshot_endpoint *se = &s->endpoints[i];
        const int64_t *set = s->fleet->pools[se->pool].settings;
        struct endpoint *e = endpoint_find(c, se->id);
        e = e ? e : endpoint_add(c, se->id);
        struct credit_limits limits = {(int)set[FLEET_COLD_CONCURRENCY],
                                       (int)set[FLEET_MAX_IN_FLIGHT],
                                       (int)set[FLEET_WARM_SUCCESSES]};
        struct str region = s->fleet->zones[se->zone].region;
        bool first_listing = !e->ever_listed;
        bool relisted = !e->listed && !first_listing;
        if (!str_eq(region, e->region)) {
            endpoint_remove_owner(c, e, 0);
            str_free(&e->region);
            e->region = str_dup(region);
            e->owner_node = 0;
        }
        e->limits = limits;
        e->listed = e->ever_listed = true;
        g_hash_table_add(present, e);
        /* All nodes number the change in the same way. The first snapshot
         * of this process does not show which endpoints are new: their
         * number stays 0. */
        if (relisted || (first_listing && e->seq == 0 && c->has_snapshot)) {
            endpoint_set_state(c, now_us, e, true, e->seq + 1,
                               (struct str){0});
        }
    }
    g_hash_table_iter_init(&it, c->endpoints);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct endpoint *e = p;
        if (e->listed && !g_hash_table_contains(present, e)) {
            e->listed = false;
            e->unlisted_us = now_us;
            endpoint_remove_owner(c, e, 0);
        }
    }
    g_hash_table_foreach_remove(c->endpoints, unlisted_too_long, &now_us);
    c->has_snapshot = true;
    finish(c, now_us);
}

bool
credits_endpoint_is_cold(const struct credits *c, struct str endpoint)
{
    const struct endpoint *e = endpoint_find(c, endpoint);
    return !e || e->cold;
}

static void
request_credit(struct credits *c, int64_t now_us, int thread,
               const struct credit_request *req)
{
    struct endpoint *e = endpoint_find(c, req->endpoint);
    if (!e || !e->listed || !e->cold) {
        bool warm = e && e->listed;
        credits_reply_to_flow(c, req->endpoint, req->credit, thread, warm,
                              warm ? 0 : RETRY_UNKNOWN_DELAY_US);
        return;
    }
    if (g_hash_table_contains(e->pending_requests, &req->credit)) {
        return;
    }
    const struct held_credit *h =
        g_hash_table_lookup(e->held_credits, &req->credit);
    struct pending_request *w = mem_calloc(1, sizeof(*w));
    w->credit = req->credit;
    w->thread = thread;
    w->lifetime_us = CLAMP(req->lifetime_us, 0, CREDIT_MAX_LIFETIME_US);
    w->renew = h != NULL;
    g_hash_table_insert(e->pending_requests, &w->credit, w);
    send_request_to_owner(c, now_us, e, w);
}

static void
release_credit(struct credits *c, int64_t now_us,
               const struct credit_release *r)
{
    struct endpoint *e = endpoint_find(c, r->endpoint);
    if (!e || !e->cold) {
        return;
    }
    g_hash_table_remove(e->held_credits, &r->credit);
    g_hash_table_remove(e->pending_requests, &r->credit);
    struct credit_release last = *r;
    last.sent = (uint64_t)now_us;
    release(c, e->promised_node, e, &last);
}

static void
report_cold(struct credits *c, int64_t now_us, int thread,
            const struct cold_notice *n)
{
    struct endpoint *e = endpoint_find(c, n->endpoint);
    if (!e || thread < 0 || thread >= c->opts.threads) {
        return;
    }
    bool restarted = n->start_id.len > 0 && e->start_id.len > 0 &&
                     !str_eq(n->start_id, e->start_id);
    if (n->detected && (!e->cold || restarted)) {
        endpoint_set_state(c, now_us, e, true, e->seq + 1, n->start_id);
    }
    else if (n->start_id.len > 0 && e->start_id.len == 0) {
        e->start_id = str_dup(n->start_id);
    }
    if (!e->cold) {
        return;
    }
    e->in_flight[thread] = n->in_flight;
    endpoint_is_owner(c, e);
    if (e->owner_node) {
        struct msg m = {
            .type = MSG_COLD,
            .cold = {.endpoint = e->id,
                     .start_id = e->start_id,
                     .in_flight = endpoint_calls_without_credit(c, e),
                     .detected = n->detected,
                     .seq = e->seq}};
        send_to(c, e->owner_node, &m);
    }
}

void
credits_handle_request(struct credits *c, int64_t now_us, const struct view *v,
                       int thread, const struct control_request *req,
                       struct outbox *out)
{
    begin(c, now_us, v, out);
    switch (req->kind) {
    case CONTROL_REQUEST_CREDIT:
        request_credit(c, now_us, thread, &req->credit);
        break;
    case CONTROL_REQUEST_CREDIT_RELEASE:
        release_credit(c, now_us, &req->credit_release);
        break;
    case CONTROL_REQUEST_COLD:
        report_cold(c, now_us, thread, &req->cold);
        break;
    case CONTROL_REQUEST_CLAIM:
    case CONTROL_REQUEST_SUSPECT:
        break;
    }
    finish(c, now_us);
}

void
credits_handle_message(struct credits *c, int64_t now_us, const struct view *v,
                       const struct msg *m, struct outbox *out)
{
    begin(c, now_us, v, out);
    handle(c, now_us, m);
    finish(c, now_us);
}

bool
credits_apply_gossip(struct credits *c, int64_t now_us, const struct gossip *g,
                     struct outbox *out)
{
    struct endpoint *e;
    bool is_new;
    if (g->kind != GOSSIP_ENDPOINT || g->endpoint.seq == 0) {
        return false;
    }
    e = endpoint_find(c, g->endpoint.endpoint);
    if (!e) {
        if (g_hash_table_size(c->endpoints) >= UNLISTED_MAX) {
            return false;
        }
        e = endpoint_add(c, g->endpoint.endpoint);
        e->unlisted_us = now_us;
    }
    c->out = out;
    /* Requests queued at an owner that learns of the warm endpoint here are
     * answered without the view, so the replies are not sent. Their nodes
     * repeat them and are informed then. */
    static const struct view empty_view;
    c->context.view = &empty_view;
    is_new = endpoint_apply_change(c, now_us, e, g->endpoint.cold,
                                   g->endpoint.seq, g->endpoint.start_id);
    finish(c, now_us);
    return is_new;
}

int
credits_collect_gossip(struct credits *c, struct gossip *out, int max)
{
    struct endpoint *best[MSG_MAX_GOSSIP];
    GHashTableIter it;
    gpointer p;
    int n = 0;
    max = MIN(max, MSG_MAX_GOSSIP);
    g_hash_table_iter_init(&it, c->endpoints);
    while (max > 0 && g_hash_table_iter_next(&it, NULL, &p)) {
        struct endpoint *e = p;
        /* Changes to cold are repeated while the endpoint is cold: a node
         * that missed the change would go on sending without credits. */
        if (e->seq == 0 ||
            (!e->cold && e->gossip_count >= WARM_GOSSIP_COUNT) ||
            (n == max && best[n - 1]->gossip_count <= e->gossip_count)) {
            continue;
        }
        int i = n < max ? n++ : n - 1;
        while (i > 0 && best[i - 1]->gossip_count > e->gossip_count) {
            best[i] = best[i - 1];
            i--;
        }
        best[i] = e;
    }
    for (int i = 0; i < n; i++) {
        best[i]->gossip_count++;
        out[i] = (struct gossip){.kind = GOSSIP_ENDPOINT,
                                 .endpoint = {best[i]->id, best[i]->start_id,
                                              best[i]->seq, best[i]->cold}};
    }
    return n;
}

static void
tick_requests(struct credits *c, int64_t now_us, struct endpoint *e)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, e->held_credits);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        if (now_us - ((struct held_credit *)p)->expires_us >
            EXPIRED_CREDIT_KEEP_US) {
            g_hash_table_iter_remove(&it);
        }
    }
    g_hash_table_iter_init(&it, e->pending_requests);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct pending_request *w = p;
        if (now_us >= w->resend_us && w->send_count >= MAX_SENDS) {
            credits_reply_to_flow(c, e->id, w->credit, w->thread, false,
                                  RETRY_DELAY_US);
            g_hash_table_iter_remove(&it);
            continue;
        }
        if (now_us >= w->resend_us) {
            send_request_to_owner(c, now_us, e, w);
        }
        c->wakeup_us = MIN(c->wakeup_us, w->resend_us);
    }
}

void
credits_tick(struct credits *c, int64_t now_us, const struct view *v,
             bool majority, struct outbox *out)
{
    GHashTableIter it;
    gpointer p;
    begin(c, now_us, v, out);
    c->context.majority = majority;
    c->wakeup_us = INT64_MAX;
    g_hash_table_iter_init(&it, c->endpoints);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        tick_requests(c, now_us, p);
        struct endpoint *e = p;
        if (e->owner &&
            (now_us >= e->owner_wakeup_us || !endpoint_is_owner(c, e))) {
            tick_owner(c, now_us, e);
        }
        c->wakeup_us = MIN(c->wakeup_us, e->owner_wakeup_us);
    }
    finish(c, now_us);
}

int64_t
credits_next_wakeup_us(const struct credits *c)
{
    return c->wakeup_us;
}

void
credits_write_metrics(const struct credits *c, struct buf *out)
{
    GHashTableIter it;
    gpointer p;
    int cold = 0;
    g_hash_table_iter_init(&it, c->endpoints);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const struct endpoint *e = p;
        cold += e->listed && e->cold;
    }
    buf_printf(out,
               "cold_endpoints %d\ncold_starts_total %llu\n"
               "warm_ups_total %llu\ncredits_granted_total %llu\n"
               "credits_refused_total %llu\n",
               cold, (unsigned long long)c->cold_starts,
               (unsigned long long)c->warm_ups,
               (unsigned long long)c->context.grants,
               (unsigned long long)c->context.refusals);
}
