#include "control/claims.h"

#include <glib.h>
#include <stdio.h>

#include "base/clean.h"
#include "control/claim_bucket.h"
#include "control/attempt_timers.h"

#define RESEND_INTERVAL_MIN_US 50000
#define RESEND_INTERVAL_MAX_US 400000
/* DONE and ABANDON are less urgent than a request whose caller awaited. */
#define CLOSE_RESEND_INTERVAL_MAX_US 5000000
#define ABANDON_TIMEOUT_US 10000000
#define DONE_TIMEOUT_US 60000000
/* An attempt is kept for this time after its end, so that a late grant is
 * recognized and abandoned. */
#define ENDED_ATTEMPT_KEEP_US 30000000
#define HORIZON_DEFAULT_US 600000000
#define OP_ID_TAG 0x434cULL
/* Limit of store operations in flight while the store answers well. */
#define OPS_LIMIT_MAX 64
/* Reads are cheaper for the store; its read budget is about four times the
 * write budget. */
#define READS_PER_WRITE 4
/* A burst of a fifth of a second lets idle buckets start without a pacing
 * delay. */
#define TOKEN_BURST_S 0.2

#define REQUEST_COUNTER_LIST(X)                                               \
    X(ASKS, "claim_asks_total")                                               \
    X(REPEATS, "claim_repeats_total")                                         \
    X(UNAVAILABLE, "claim_unavailable_total")                                 \
    X(LATE_GRANTS, "claim_late_grants_total")                                 \
    X(CLOSE_TIMEOUTS, "claim_close_timeouts_total")

enum request_counter {
#define X(id, name) COUNT_##id,
    REQUEST_COUNTER_LIST(X)
#undef X
        COUNT_MAX
};

enum phase {
    PHASE_WAITING,  /* OPEN or CLAIM is unanswered */
    PHASE_ANSWERED, /* OPEN or CLAIM is answered */
    PHASE_CLOSING,  /* DONE or ABANDON is unacknowledged */
    PHASE_CLOSED,   /* ended, but kept */
};

/* One attempt of this node. */
struct attempt {
    struct attempt_id id;     /* first: the table's key */
    struct claim_request req; /* the last request; its answer is owned */
    enum phase phase;
    int thread;
    bool claim_sent;     /* CLAIM was sent: the owner may have granted it */
    bool grant_reported; /* the flow core received the grant */
    int64_t deadline_us;
    int64_t end_us; /* CLOSING: give up then; ANSWERED, CLOSED: free then */
    int64_t resend_us;
    int64_t resend_interval_us;
    int64_t timer_us; /* the valid timer of this attempt */
};

struct claims {
    struct claim_context context;
    struct bucket **buckets; /* NULL: not used yet */
    uint64_t *owners;
    int bucket_count;
    uint64_t view_version;
    GHashTable *attempts;
    struct attempt_timers timers;
    GHashTable *ops; /* operation id -> bucket number + 1 */
    uint64_t next_op;
    double ops_limit;    /* operations allowed in flight */
    double write_tokens; /* writes allowed now */
    double read_tokens;  /* reads allowed now */
    double write_rate_per_s;
    int store_writes_per_s;
    int64_t refill_us;
    int first_bucket;     /* served first by the next pass, so that each bucket
                             gets its turn */
    GQueue local_replies; /* struct claim_reply, for attempts of this node */
    int64_t wakeup_us;
    struct outbox *out; /* borrowed for the current call */
    uint64_t counters[COUNT_MAX];
};

static guint
id_hash(gconstpointer p)
{
    return (guint)((const struct attempt_id *)p)->seq;
}

static gboolean
id_equal(gconstpointer a, gconstpointer b)
{
    return attempt_eq(a, b);
}

static void
attempt_free(gpointer p)
{
    struct attempt *a = p;
    str_free(&a->req.answer);
    free(a);
}

static void
send_to(struct claims *c, uint64_t to, const struct msg *m)
{
    const struct view_member *member = view_find(c->context.view, to);
    if (member) {
        struct control_action a = {.kind = CONTROL_ACT_SEND};
        a.send.to = to;
        a.send.address = member->address;
        a.send.msg = *m;
        a.send.msg.from = c->context.node;
        a.send.msg.incarnation = c->context.incarnation;
        outbox_push(c->out, &a);
    }
}

/* Queues replies to this node until the bucket function has returned. */
static void
on_bucket_reply(void *ctx, uint64_t to, const struct claim_reply *r)
{
    struct claims *c = ctx;
    if (to == c->context.node) {
        struct claim_reply *l = mem_calloc(1, sizeof(*l));
        *l = *r;
        l->answer = str_dup(r->answer);
        g_queue_push_tail(&c->local_replies, l);
        return;
    }
    struct msg m = {.type = MSG_CLAIM_REPLY, .claim_reply = *r};
    send_to(c, to, &m);
}

struct claims *
claims_new(const struct claims_options *opts)
{
    struct claims *c = mem_calloc(1, sizeof(*c));
    c->context.node = opts->node;
    c->context.incarnation = opts->incarnation;
    c->context.horizon_us = HORIZON_DEFAULT_US;
    c->context.ctx = c;
    c->context.reply = on_bucket_reply;
    rng_seed(&c->context.rng, opts->seed);
    c->bucket_count = opts->buckets > 0 ? opts->buckets : 1;
    c->buckets = mem_calloc((size_t)c->bucket_count, sizeof(struct bucket *));
    c->owners = mem_calloc((size_t)c->bucket_count, sizeof(*c->owners));
    c->store_writes_per_s = opts->store_writes_per_s;
    c->attempts = g_hash_table_new_full(id_hash, id_equal, NULL, attempt_free);
    c->ops = g_hash_table_new_full(g_int64_hash, g_int64_equal, free, NULL);
    c->ops_limit = OPS_LIMIT_MAX;
    c->refill_us = INT64_MIN;
    c->wakeup_us = INT64_MAX;
    g_queue_init(&c->local_replies);
    return c;
}

void
claims_free(struct claims *c)
{
    if (!c) {
        return;
    }
    for (int i = 0; i < c->bucket_count; i++) {
        bucket_free(c->buckets[i]);
    }
    struct claim_reply *l;
    while ((l = g_queue_pop_head(&c->local_replies))) {
        str_free(&l->answer);
        free(l);
    }
    g_hash_table_destroy(c->attempts);
    g_hash_table_destroy(c->ops);
    free(c->buckets);
    free(c->owners);
    attempt_timers_free(&c->timers);
    free(c);
}

void
claims_set_horizon(struct claims *c, int64_t horizon_us)
{
    c->context.horizon_us = horizon_us;
}

static void
attempt_set_timer(struct claims *c, struct attempt *a, int64_t at_us)
{
    a->timer_us = at_us;
    attempt_timers_add(&c->timers, at_us, &a->id);
}

static int
bucket_of(const struct claims *c, const struct digest *key)
{
    return (int)(key->lo % (uint64_t)c->bucket_count);
}

static struct bucket *
get_bucket(struct claims *c, int n)
{
    if (!c->buckets[n]) {
        c->buckets[n] = bucket_new(n);
    }
    return c->buckets[n];
}

/* Updates the owners after a change of the view and releases the buckets of
 * other nodes. */
static void
update_view(struct claims *c, const struct view *v)
{
    c->context.view = v;
    if (c->view_version == v->version && c->write_rate_per_s > 0) {
        return;
    }
    int alive = view_alive_count(v);
    c->view_version = v->version;
    c->write_rate_per_s =
        (double)c->store_writes_per_s / (alive > 0 ? alive : 1);
    c->write_rate_per_s =
        c->write_rate_per_s > 0.1 ? c->write_rate_per_s : 0.1;
    for (int i = 0; i < c->bucket_count; i++) {
        char item[32];
        int len = snprintf(item, sizeof(item), "claims/%d", i);
        c->owners[i] =
            view_owner(v, str_from_bytes(item, (size_t)len), STR_LIT(""));
        if (c->buckets[i] && c->owners[i] != c->context.node) {
            bucket_release(c->buckets[i]);
        }
    }
}

/* Sends the attempt's last request to the owner of its bucket. */
static void
attempt_send_request(struct claims *c, int64_t now_us, struct attempt *a)
{
    int n = bucket_of(c, &a->req.key);
    struct claim_request req = a->req;
    req.valid_us = a->deadline_us > now_us ? a->deadline_us - now_us : 0;
    a->resend_us = now_us + a->resend_interval_us;
    int64_t max = a->phase == PHASE_CLOSING ? CLOSE_RESEND_INTERVAL_MAX_US
                                            : RESEND_INTERVAL_MAX_US;
    a->resend_interval_us =
        a->resend_interval_us * 2 < max ? a->resend_interval_us * 2 : max;
    a->claim_sent = a->claim_sent || req.verb == CLAIM_VERB_CLAIM;
    if (c->owners[n] == c->context.node) {
        bucket_handle_request(get_bucket(c, n), &c->context, now_us, &req);
    }
    else if (c->owners[n] != 0) {
        if (req.answer.len > CLAIM_ANSWER_MAX_BYTES + 1) {
            req.answer.len = CLAIM_ANSWER_MAX_BYTES + 1;
        }
        struct msg m = {.type = MSG_CLAIM, .claim = req};
        send_to(c, c->owners[n], &m);
    }
}

static void
attempt_schedule_timer(struct claims *c, struct attempt *a)
{
    int64_t at_us = a->end_us;
    if (a->phase == PHASE_WAITING) {
        at_us = a->resend_us < a->deadline_us ? a->resend_us : a->deadline_us;
    }
    else if (a->phase == PHASE_CLOSING) {
        at_us = a->resend_us < a->end_us ? a->resend_us : a->end_us;
    }
    attempt_set_timer(c, a, at_us);
}

static void
send_to_flow(struct claims *c, const struct attempt *a,
             const struct claim_reply *r)
{
    struct control_action act = {.kind = CONTROL_ACT_REPLY};
    act.reply.thread = a->thread;
    act.reply.reply.kind = REPLY_CLAIM;
    act.reply.reply.claim = *r;
    outbox_push(c->out, &act);
}

static void
reply_unavailable(struct claims *c, const struct attempt *a,
                  enum claim_verb verb)
{
    struct claim_reply r = {.verb = verb,
                            .state = CLAIM_UNAVAILABLE,
                            .key = a->req.key,
                            .attempt = a->id};
    c->counters[COUNT_UNAVAILABLE]++;
    send_to_flow(c, a, &r);
}

static void
begin(struct claims *c, int64_t now_us, struct attempt *a, enum phase phase)
{
    a->phase = phase;
    a->resend_interval_us = RESEND_INTERVAL_MIN_US;
    attempt_send_request(c, now_us, a);
    attempt_schedule_timer(c, a);
}

static void
abandon(struct claims *c, int64_t now_us, struct attempt *a)
{
    a->req.verb = CLAIM_VERB_ABANDON;
    a->end_us = now_us + ABANDON_TIMEOUT_US;
    begin(c, now_us, a, PHASE_CLOSING);
}

static void
remember(struct claims *c, int64_t now_us, struct attempt *a, enum phase phase)
{
    a->phase = phase;
    a->end_us = (a->deadline_us > now_us ? a->deadline_us : now_us) +
                ENDED_ATTEMPT_KEEP_US;
    attempt_schedule_timer(c, a);
}

/* Handles a reply of an owner, local or remote. */
static void
on_reply(struct claims *c, int64_t now_us, const struct claim_reply *r)
{
    struct attempt *a = g_hash_table_lookup(c->attempts, &r->attempt);
    /* A grant to a forgotten attempt is not abandoned: the attempt may have
     * sent its call. */
    if (!a || !digest_eq(a->req.key, r->key)) {
        return;
    }
    if (r->state == CLAIM_CLOSED) {
        if (a->phase == PHASE_CLOSING && a->req.verb == r->verb) {
            remember(c, now_us, a, PHASE_CLOSED);
            if (r->verb == CLAIM_VERB_ABANDON) {
                send_to_flow(c, a, r);
            }
        }
        return;
    }
    bool awaited = a->phase == PHASE_WAITING && a->req.verb == r->verb;
    if (r->state == CLAIM_GRANTED && r->verb == CLAIM_VERB_CLAIM) {
        if (awaited && now_us < a->deadline_us) {
            a->grant_reported = true;
            remember(c, now_us, a, PHASE_ANSWERED);
            send_to_flow(c, a, r);
            return;
        }
        if (awaited) {
            reply_unavailable(c, a, CLAIM_VERB_CLAIM);
            abandon(c, now_us, a);
            return;
        }
        bool call_unsent =
            a->phase == PHASE_ANSWERED || a->req.verb == CLAIM_VERB_ABANDON;
        if (!a->grant_reported && call_unsent && a->phase != PHASE_CLOSING) {
            c->counters[COUNT_LATE_GRANTS]++;
            abandon(c, now_us, a);
        }
        return;
    }
    if (awaited) {
        remember(c, now_us, a, PHASE_ANSWERED);
        send_to_flow(c, a, r);
    }
}

static void
handle_local_replies(struct claims *c, int64_t now_us)
{
    struct claim_reply *l;
    while ((l = g_queue_pop_head(&c->local_replies))) {
        on_reply(c, now_us, l);
        str_free(&l->answer);
        free(l);
    }
}

static void
refill_tokens(struct claims *c, int64_t now_us)
{
    double burst_tokens = c->write_rate_per_s * TOKEN_BURST_S > 1
                              ? c->write_rate_per_s * TOKEN_BURST_S
                              : 1;
    double elapsed_s = c->refill_us == INT64_MIN
                           ? 1e6
                           : (double)(now_us - c->refill_us) / 1e6;
    c->write_tokens =
        MIN(c->write_tokens + elapsed_s * c->write_rate_per_s, burst_tokens);
    c->read_tokens =
        MIN(c->read_tokens + elapsed_s * c->write_rate_per_s * READS_PER_WRITE,
            burst_tokens * READS_PER_WRITE);
    c->refill_us = now_us;
}

/* Starts the due store operations of the buckets, within the limit of
 * operations in flight and this node's share of the budget, and computes
 * the next wakeup time. */
static void
pump(struct claims *c, int64_t now_us)
{
    int64_t next_us = attempt_timers_next(&c->timers);
    refill_tokens(c, now_us);
    int first_denied = -1;
    for (int k = 0; k < c->bucket_count; k++) {
        int n = (c->first_bucket + k) % c->bucket_count;
        int64_t from_us;
        if (!c->buckets[n]) {
            continue;
        }
        enum bucket_op_type next =
            bucket_next_op(c->buckets[n], now_us, &from_us);
        if (next == BUCKET_OP_NONE || from_us > now_us) {
            next_us = from_us < next_us ? from_us : next_us;
            continue;
        }
        double *tokens =
            next == BUCKET_OP_READ ? &c->read_tokens : &c->write_tokens;
        bool limit_reached = g_hash_table_size(c->ops) >= (guint)c->ops_limit;
        if (limit_reached || *tokens < 1) {
            double rate_per_s = c->write_rate_per_s *
                                (next == BUCKET_OP_READ ? READS_PER_WRITE : 1);
            int64_t at_us =
                now_us + 1 + (int64_t)((1 - *tokens) / rate_per_s * 1e6);
            /* With the limit reached, the next result lets operations
             * start. */
            next_us = !limit_reached && at_us < next_us ? at_us : next_us;
            first_denied = first_denied < 0 ? n : first_denied;
            continue;
        }
        CLEANUP(buf_free) struct buf value = {0};
        struct control_action a = {.kind = CONTROL_ACT_STORE};
        uint64_t id = OP_ID_TAG << 48 | ++c->next_op;
        if (bucket_start_op(c->buckets[n], &c->context, now_us, id, &a.store,
                            &value)) {
            int64_t *key = mem_calloc(1, sizeof(*key));
            *key = (int64_t)id;
            *tokens -= 1;
            g_hash_table_insert(c->ops, key, GINT_TO_POINTER(n + 1));
            outbox_push(c->out, &a);
        }
    }
    if (first_denied >= 0) {
        c->first_bucket = first_denied;
    }
    c->wakeup_us = next_us;
}

static void
finish(struct claims *c, int64_t now_us)
{
    handle_local_replies(c, now_us);
    pump(c, now_us);
    c->context.view = NULL;
    c->out = NULL;
}

static struct attempt *
attempt_new(struct claims *c, int64_t now_us, int thread,
            const struct claim_request *req)
{
    struct attempt *a = mem_calloc(1, sizeof(*a));
    a->id = req->attempt;
    a->thread = thread;
    a->req = *req;
    a->req.answer = (struct str){0};
    a->phase = PHASE_ANSWERED;
    a->deadline_us = now_us + (req->valid_us > 0 ? req->valid_us : 0);
    g_hash_table_replace(c->attempts, &a->id, a);
    return a;
}

void
claims_handle_request(struct claims *c, int64_t now_us, const struct view *v,
                      int thread, const struct claim_request *req,
                      struct outbox *out)
{
    struct attempt *a = g_hash_table_lookup(c->attempts, &req->attempt);
    bool closing;
    c->out = out;
    update_view(c, v);
    c->counters[COUNT_ASKS]++;
    if (!a) {
        a = attempt_new(c, now_us, thread, req);
    }
    closing = a->phase == PHASE_CLOSING || a->phase == PHASE_CLOSED;
    switch (req->verb) {
    case CLAIM_VERB_OPEN:
    case CLAIM_VERB_CLAIM:
        if (closing) {
            reply_unavailable(c, a, req->verb);
        }
        else if (a->grant_reported) {
            struct claim_reply r = {.verb = CLAIM_VERB_CLAIM,
                                    .state = CLAIM_GRANTED,
                                    .key = a->req.key,
                                    .attempt = a->id};
            send_to_flow(c, a, &r);
        }
        else if (req->valid_us <= 0) {
            reply_unavailable(c, a, req->verb);
            abandon(c, now_us, a);
        }
        else if (a->phase != PHASE_WAITING || a->req.verb != req->verb) {
            a->req.verb = req->verb;
            a->deadline_us = now_us + req->valid_us;
            begin(c, now_us, a, PHASE_WAITING);
        }
        break;
    case CLAIM_VERB_DONE:
        if (!closing) {
            a->req.verb = CLAIM_VERB_DONE;
            a->req.http_status = req->http_status;
            a->req.answer = str_dup(req->answer);
            a->end_us = now_us + DONE_TIMEOUT_US;
            begin(c, now_us, a, PHASE_CLOSING);
        }
        break;
    case CLAIM_VERB_ABANDON:
        /* After CLOSED the request is sent again: whether the key is free
         * may have changed. */
        if (a->phase != PHASE_CLOSING) {
            abandon(c, now_us, a);
        }
        break;
    }
    finish(c, now_us);
}

void
claims_handle_message(struct claims *c, int64_t now_us, const struct view *v,
                      const struct msg *m, struct outbox *out)
{
    c->out = out;
    update_view(c, v);
    if (m->type == MSG_CLAIM && m->claim.attempt.node == m->from) {
        int n = bucket_of(c, &m->claim.key);
        /* A request for a bucket of another owner is ignored; the sender
         * sends it to the owner in its next view. */
        if (c->owners[n] == c->context.node) {
            bucket_handle_request(get_bucket(c, n), &c->context, now_us,
                                  &m->claim);
        }
    }
    else if (m->type == MSG_CLAIM_REPLY) {
        on_reply(c, now_us, &m->claim_reply);
    }
    finish(c, now_us);
}

bool
claims_owns_op(const struct claims *c, uint64_t op)
{
    (void)c;
    return op >> 48 == OP_ID_TAG;
}

void
claims_handle_store_result(struct claims *c, int64_t now_us,
                           const struct view *v, const struct store_result *r,
                           struct outbox *out)
{
    int64_t id = (int64_t)r->id;
    int n = GPOINTER_TO_INT(g_hash_table_lookup(c->ops, &id));
    c->out = out;
    update_view(c, v);
    if (n > 0) {
        g_hash_table_remove(c->ops, &id);
        /* While the store fails, fewer operations are started at once, down
         * to one; successes raise the limit again. */
        bool failed =
            r->outcome == STORE_FAILED || r->outcome == STORE_OUTCOME_UNKNOWN;
        c->ops_limit = failed ? MAX(1, c->ops_limit / 2)
                              : MIN(OPS_LIMIT_MAX, c->ops_limit + 1);
        bucket_handle_result(c->buckets[n - 1], &c->context, now_us, r);
    }
    finish(c, now_us);
}

static void
on_timer(struct claims *c, int64_t now_us, struct attempt *a)
{
    switch (a->phase) {
    case PHASE_WAITING:
        if (now_us < a->deadline_us) {
            c->counters[COUNT_REPEATS]++;
            attempt_send_request(c, now_us, a);
            attempt_schedule_timer(c, a);
            break;
        }
        reply_unavailable(c, a, a->req.verb);
        if (a->claim_sent) {
            abandon(c, now_us, a);
        }
        else {
            remember(c, now_us, a, PHASE_CLOSED);
        }
        break;
    case PHASE_CLOSING:
        if (now_us < a->end_us) {
            c->counters[COUNT_REPEATS]++;
            attempt_send_request(c, now_us, a);
            attempt_schedule_timer(c, a);
            break;
        }
        c->counters[COUNT_CLOSE_TIMEOUTS]++;
        remember(c, now_us, a, PHASE_CLOSED);
        break;
    case PHASE_ANSWERED:
    case PHASE_CLOSED:
        g_hash_table_remove(c->attempts, &a->id);
        break;
    }
}

void
claims_tick(struct claims *c, int64_t now_us, const struct view *v,
            struct outbox *out)
{
    struct attempt_timer t;
    c->out = out;
    update_view(c, v);
    while (attempt_timers_pop(&c->timers, now_us, &t)) {
        struct attempt *a = g_hash_table_lookup(c->attempts, &t.id);
        if (a && a->timer_us == t.at_us) {
            on_timer(c, now_us, a);
        }
    }
    finish(c, now_us);
}

int64_t
claims_next_wakeup_us(const struct claims *c)
{
    return c->wakeup_us;
}

bool
claims_is_idle(const struct claims *c)
{
    GHashTableIter it;
    gpointer p;
    for (int i = 0; i < c->bucket_count; i++) {
        if (c->buckets[i] && !bucket_is_idle(c->buckets[i])) {
            return false;
        }
    }
    g_hash_table_iter_init(&it, c->attempts);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const struct attempt *a = p;
        if (a->phase == PHASE_WAITING || a->phase == PHASE_CLOSING) {
            return false;
        }
    }
    return true;
}

void
claims_write_metrics(const struct claims *c, struct buf *out)
{
    static const char *const names[] = {
#define X(id, name) name,
        REQUEST_COUNTER_LIST(X)
#undef X
    };
    static const char *const bucket_names[] = {
#define X(id, name) name,
        CLAIM_COUNTER_LIST(X)
#undef X
    };
    for (int i = 0; i < COUNT_MAX; i++) {
        buf_printf(out, "%s %llu\n", names[i],
                   (unsigned long long)c->counters[i]);
    }
    for (int i = 0; i < CLAIM_COUNT_MAX; i++) {
        buf_printf(out, "%s %llu\n", bucket_names[i],
                   (unsigned long long)c->context.counters[i]);
    }
}
