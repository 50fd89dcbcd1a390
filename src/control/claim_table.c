#include "control/claim_table.h"

#include "base/clean.h"

#define DONE_DELAY_US 200000
#define RUNNING_SLACK_US 1000000
/* A late duplicate of an abandoned attempt's message is ignored this long. */
#define CLOSED_KEEP_US 30000000
/* Answers are dropped down to this size at once, so that a full record does
 * not sort its entries for every claim. */
#define RECORD_LOW (CLAIM_RECORD_MAX / 8 * 7)

enum slot_state { SLOT_NONE, SLOT_GRANTED, SLOT_DONE };

/* One claim in memory. */
struct slot {
    struct digest key; /* first: the table's key */
    struct digest body;
    struct attempt_id attempt;
    enum slot_state state;   /* wanted */
    enum slot_state durable; /* by the last confirmed write */
    enum slot_state written; /* in the write that is in flight */
    bool in_write;
    bool uncertain; /* in a write whose outcome was never learned */
    bool removing;  /* abandoned; to be left out of the next write */
    bool reply;     /* GRANTED is owed */
    bool ack;       /* CLOSED is owed */
    int http_status;
    bool answer_kept;
    struct str answer; /* owned */
    int64_t born_us;
    int64_t valid_us;
};

struct opened {
    struct digest key; /* first: the table's key */
    struct digest body;
    struct attempt_id attempt;
    int64_t until_us;
};

struct closed {
    struct attempt_id attempt; /* first: the table's key */
    int64_t until_us;
};

static guint
key_hash(gconstpointer p)
{
    return (guint)((const struct digest *)p)->hi;
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
    const struct digest *x = a;
    const struct digest *y = b;
    return digest_eq(*x, *y);
}

static guint
attempt_hash(gconstpointer p)
{
    const struct attempt_id *a = p;
    return (guint)(a->seq * 31 + a->node);
}

static gboolean
attempt_equal(gconstpointer a, gconstpointer b)
{
    return attempt_eq(a, b);
}

static void
slot_free(gpointer p)
{
    struct slot *s = p;
    str_free(&s->answer);
    free(s);
}

void
claim_table_init(struct claim_table *t)
{
    t->slots = g_hash_table_new_full(key_hash, key_equal, NULL, slot_free);
    t->opens = g_hash_table_new_full(key_hash, key_equal, NULL, free);
    t->closed = g_hash_table_new_full(attempt_hash, attempt_equal, NULL, free);
    t->dirty_due_us = INT64_MAX;
    t->bytes = 0;
}

void
claim_table_free(struct claim_table *t)
{
    g_hash_table_destroy(t->slots);
    g_hash_table_destroy(t->opens);
    g_hash_table_destroy(t->closed);
}

void
claim_table_clear(struct claim_table *t)
{
    g_hash_table_remove_all(t->slots);
    g_hash_table_remove_all(t->opens);
    g_hash_table_remove_all(t->closed);
    t->dirty_due_us = INT64_MAX;
    t->bytes = 0;
}

static void
answer(struct claim_host *h, const struct claim_ask *ask,
       enum claim_state state, const struct slot *s)
{
    struct claim_reply r = {.verb = ask->verb,
                            .state = state,
                            .key = ask->key,
                            .attempt = ask->attempt};
    if (state == CLAIM_DONE && s) {
        r.http_status = s->http_status;
        r.answer_kept = s->answer_kept;
        r.answer = s->answer;
    }
    h->counters[CLAIM_COUNT_GRANTS] += state == CLAIM_GRANTED;
    h->reply(h->ctx, ask->attempt.node, &r);
}

/* Acknowledges an ABANDON. @p other: another claim of the key, or NULL. */
static void
answer_abandoned(struct claim_table *t, struct claim_host *h,
                 const struct digest *key, const struct attempt_id *attempt,
                 const struct slot *other)
{
    struct claim_reply r = {.verb = CLAIM_VERB_ABANDON,
                            .state = CLAIM_CLOSED,
                            .key = *key,
                            .attempt = *attempt,
                            .key_free = !other &&
                                        !g_hash_table_contains(t->opens, key)};
    h->reply(h->ctx, attempt->node, &r);
}

static void
answer_slot(struct claim_host *h, const struct slot *s, enum claim_verb verb,
            enum claim_state state)
{
    struct claim_ask ask = {
        .verb = verb, .key = s->key, .attempt = s->attempt};
    answer(h, &ask, state, s);
}

static size_t
slot_bytes(const struct slot *s)
{
    return CLAIM_ENTRY_BYTES + s->answer.len;
}

static void
slot_drop(struct claim_table *t, struct slot *s)
{
    t->bytes -= slot_bytes(s);
    g_hash_table_remove(t->slots, &s->key);
}

/* A claim outlives its attempt, however short the horizon is. */
static bool
slot_expired(const struct slot *s, const struct claim_host *h, int64_t now_us)
{
    int64_t keep = h->horizon_us;
    if (s->state == SLOT_GRANTED && s->valid_us + CLOSED_KEEP_US > keep) {
        keep = s->valid_us + CLOSED_KEEP_US;
    }
    return !s->in_write && !s->uncertain && s->state == s->durable &&
           !s->removing && now_us - s->born_us > keep;
}

/* A claim that was in no write of unknown outcome and whose asker has given
 * up need not be written. */
static bool
slot_pointless(const struct slot *s, int64_t now_us)
{
    return s->state == SLOT_GRANTED && s->durable == SLOT_NONE &&
           !s->in_write && !s->uncertain && now_us - s->born_us > s->valid_us;
}

static struct slot *
slot_find(struct claim_table *t, const struct claim_host *h, int64_t now_us,
          const struct digest *key)
{
    struct slot *s = g_hash_table_lookup(t->slots, key);
    if (s && (slot_expired(s, h, now_us) || slot_pointless(s, now_us))) {
        slot_drop(t, s);
        s = NULL;
    }
    return s;
}

static struct opened *
open_find(struct claim_table *t, int64_t now_us, const struct digest *key)
{
    struct opened *o = g_hash_table_lookup(t->opens, key);
    if (o && o->until_us <= now_us) {
        g_hash_table_remove(t->opens, key);
        o = NULL;
    }
    return o;
}

static bool
running(const struct slot *s, const struct claim_host *h, int64_t now_us)
{
    const struct view_member *m = view_find(h->view, s->attempt.node);
    return m && m->alive &&
           (m->incarnation == 0 || m->incarnation == s->attempt.incarnation) &&
           now_us - s->born_us <= s->valid_us + RUNNING_SLACK_US;
}

/* What an attempt is told about another attempt's claim. */
static enum claim_state
other_state(const struct slot *s, const struct claim_host *h, int64_t now_us,
            const struct digest *body)
{
    if (!digest_eq(s->body, *body)) {
        return CLAIM_MISMATCH;
    }
    if (s->state == SLOT_DONE) {
        return CLAIM_DONE;
    }
    if (s->durable == SLOT_NONE || s->removing || running(s, h, now_us)) {
        return CLAIM_BUSY;
    }
    return CLAIM_HELD;
}

static void
set_dirty(struct claim_table *t, int64_t due_us)
{
    if (due_us < t->dirty_due_us) {
        t->dirty_due_us = due_us;
    }
}

void
claim_table_purge(struct claim_table *t, const struct claim_host *h,
                  int64_t now_us)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, t->slots);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        if (slot_expired(p, h, now_us) || slot_pointless(p, now_us)) {
            t->bytes -= slot_bytes(p);
            g_hash_table_iter_remove(&it);
        }
    }
    g_hash_table_iter_init(&it, t->opens);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        if (((struct opened *)p)->until_us <= now_us) {
            g_hash_table_iter_remove(&it);
        }
    }
    g_hash_table_iter_init(&it, t->closed);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        if (((struct closed *)p)->until_us <= now_us) {
            g_hash_table_iter_remove(&it);
        }
    }
}

static gint
by_age(gconstpointer a, gconstpointer b)
{
    const struct slot *x = *(struct slot *const *)a;
    const struct slot *y = *(struct slot *const *)b;
    return (x->born_us > y->born_us) - (x->born_us < y->born_us);
}

/* Drops the oldest answers of a full record. @return false if it stays full */
static bool
make_room(struct claim_table *t, struct claim_host *h, int64_t now_us,
          size_t need)
{
    if (t->bytes + need <= CLAIM_RECORD_MAX) {
        return true;
    }
    claim_table_purge(t, h, now_us);
    g_autoptr(GPtrArray) kept = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, t->slots);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        if (((struct slot *)p)->answer.len > 0) {
            g_ptr_array_add(kept, p);
        }
    }
    g_ptr_array_sort(kept, by_age);
    for (guint i = 0; i < kept->len && t->bytes + need > RECORD_LOW; i++) {
        struct slot *s = kept->pdata[i];
        t->bytes -= s->answer.len;
        str_free(&s->answer);
        s->answer_kept = false;
        h->counters[CLAIM_COUNT_ANSWERS_DROPPED]++;
    }
    return t->bytes + need <= CLAIM_RECORD_MAX;
}

static struct slot *
slot_add(struct claim_table *t, const struct claim_entry *e, int64_t now_us)
{
    struct slot *s = mem_zero(1, sizeof(*s));
    s->key = e->key;
    s->body = e->body;
    s->attempt = e->attempt;
    s->state = e->done ? SLOT_DONE : SLOT_GRANTED;
    s->http_status = e->http_status;
    s->answer_kept = e->answer_kept;
    s->answer = e->answer.len ? str_dup(e->answer) : (struct str){0};
    s->born_us = now_us - e->age_us;
    s->valid_us = e->valid_us;
    t->bytes += slot_bytes(s);
    g_hash_table_replace(t->slots, &s->key, s);
    return s;
}

static void
on_open(struct claim_table *t, struct claim_host *h, int64_t now_us,
        const struct claim_ask *ask, const struct slot *s)
{
    struct opened *o = open_find(t, now_us, &ask->key);
    if (s && attempt_eq(&s->attempt, &ask->attempt)) {
        return; /* a late duplicate: this attempt has already claimed */
    }
    if (s) {
        answer(h, ask, other_state(s, h, now_us, &ask->body), s);
        return;
    }
    if (o && !attempt_eq(&o->attempt, &ask->attempt)) {
        answer(h, ask,
               digest_eq(o->body, ask->body) ? CLAIM_BUSY : CLAIM_MISMATCH,
               NULL);
        return;
    }
    if (!o) {
        o = mem_zero(1, sizeof(*o));
        *o = (struct opened){ask->key, ask->body, ask->attempt, 0};
        g_hash_table_replace(t->opens, &o->key, o);
    }
    o->until_us = now_us + claim_valid_us(ask->valid_us);
    answer(h, ask, CLAIM_OPENED, NULL);
}

static void
on_claim(struct claim_table *t, struct claim_host *h, int64_t now_us,
         const struct claim_ask *ask, struct slot *s)
{
    struct opened *o = open_find(t, now_us, &ask->key);
    if (s && attempt_eq(&s->attempt, &ask->attempt)) {
        if (s->state == SLOT_DONE) {
            answer(h, ask, CLAIM_DONE, s);
        }
        else if (s->durable == SLOT_GRANTED && !s->removing) {
            answer(h, ask, CLAIM_GRANTED, s);
        }
        else {
            s->reply = true;
        }
        return;
    }
    if (s) {
        answer(h, ask, other_state(s, h, now_us, &ask->body), s);
        return;
    }
    if (o && !attempt_eq(&o->attempt, &ask->attempt)) {
        answer(h, ask,
               digest_eq(o->body, ask->body) ? CLAIM_BUSY : CLAIM_MISMATCH,
               NULL);
        return;
    }
    if (!make_room(t, h, now_us, CLAIM_ENTRY_BYTES)) {
        h->counters[CLAIM_COUNT_FULL]++;
        answer(h, ask, CLAIM_UNAVAILABLE, NULL);
        return;
    }
    struct claim_entry e = {.key = ask->key,
                            .body = ask->body,
                            .attempt = ask->attempt,
                            .valid_us = claim_valid_us(ask->valid_us)};
    s = slot_add(t, &e, now_us);
    s->reply = true;
    g_hash_table_remove(t->opens, &ask->key);
    set_dirty(t, now_us);
}

static void
on_done(struct claim_table *t, struct claim_host *h, int64_t now_us,
        const struct claim_ask *ask, struct slot *s)
{
    if (!s || !attempt_eq(&s->attempt, &ask->attempt) || s->removing ||
        s->durable == SLOT_DONE) {
        answer(h, ask, CLAIM_CLOSED, NULL);
        return;
    }
    s->ack = true;
    if (s->state == SLOT_DONE) {
        return;
    }
    s->state = SLOT_DONE;
    s->born_us = now_us;
    s->http_status = ask->http_status;
    if (ask->answer.len <= CLAIM_ANSWER_MAX &&
        make_room(t, h, now_us, ask->answer.len)) {
        s->answer_kept = true;
        s->answer = ask->answer.len ? str_dup(ask->answer) : (struct str){0};
        t->bytes += s->answer.len;
    }
    set_dirty(t, now_us + DONE_DELAY_US);
}

static void
on_abandon(struct claim_table *t, struct claim_host *h, int64_t now_us,
           const struct claim_ask *ask, struct slot *s)
{
    struct opened *o = open_find(t, now_us, &ask->key);
    struct closed *c = mem_zero(1, sizeof(*c));
    c->attempt = ask->attempt;
    c->until_us = now_us + claim_valid_us(ask->valid_us) + CLOSED_KEEP_US;
    g_hash_table_replace(t->closed, &c->attempt, c);
    if (o && attempt_eq(&o->attempt, &ask->attempt)) {
        g_hash_table_remove(t->opens, &ask->key);
    }
    if (!s || !attempt_eq(&s->attempt, &ask->attempt) ||
        s->state == SLOT_DONE) {
        answer_abandoned(t, h, &ask->key, &ask->attempt, s);
        return;
    }
    if (s->durable == SLOT_NONE && !s->in_write && !s->uncertain) {
        slot_drop(t, s);
        answer_abandoned(t, h, &ask->key, &ask->attempt, NULL);
        return;
    }
    s->removing = s->ack = true;
    s->reply = false;
    set_dirty(t, now_us + DONE_DELAY_US);
}

void
claim_table_ask(struct claim_table *t, struct claim_host *h, int64_t now_us,
                const struct claim_ask *ask)
{
    struct slot *s = slot_find(t, h, now_us, &ask->key);
    bool is_closed = g_hash_table_contains(t->closed, &ask->attempt);
    switch (ask->verb) {
    case CLAIM_VERB_OPEN:
        if (!is_closed) {
            on_open(t, h, now_us, ask, s);
        }
        break;
    case CLAIM_VERB_CLAIM:
        if (!is_closed) {
            on_claim(t, h, now_us, ask, s);
        }
        break;
    case CLAIM_VERB_DONE:
        on_done(t, h, now_us, ask, s);
        break;
    case CLAIM_VERB_ABANDON:
        on_abandon(t, h, now_us, ask, s);
        break;
    }
}

bool
claim_table_load(struct claim_table *t, int64_t now_us, struct str bytes,
                 size_t at, uint32_t count)
{
    g_hash_table_remove_all(t->slots);
    t->bytes = 0;
    for (uint32_t i = 0; i < count; i++) {
        struct claim_entry e;
        if (claim_entry_decode(bytes, &at, &e) != ST_OK) {
            return false;
        }
        struct slot *s = slot_add(t, &e, now_us);
        s->durable = s->state;
    }
    return at == bytes.len;
}

void
claim_table_encode(struct claim_table *t, int64_t now_us,
                   struct claim_header *head, struct buf *out)
{
    CLEAN(buf_free) struct buf entries = {0};
    GHashTableIter it;
    gpointer p;
    head->count = 0;
    t->dirty_due_us = INT64_MAX;
    g_hash_table_iter_init(&it, t->slots);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct slot *s = p;
        s->in_write = true;
        s->written = s->removing ? SLOT_NONE : s->state;
        if (s->written == SLOT_NONE) {
            continue;
        }
        struct claim_entry e = {.key = s->key,
                                .body = s->body,
                                .attempt = s->attempt,
                                .done = s->state == SLOT_DONE,
                                .http_status = s->http_status,
                                .answer_kept = s->answer_kept,
                                .answer = s->answer,
                                .age_us = now_us - s->born_us,
                                .valid_us = s->valid_us};
        claim_entry_encode(&e, &entries);
        head->count++;
    }
    claim_header_encode(head, out);
    buf_append(out, entries.ptr, entries.len);
}

void
claim_table_committed(struct claim_table *t, struct claim_host *h, bool proven)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, t->slots);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct slot *s = p;
        /* The write moved the revision on, so no earlier write can still
         * take effect. */
        s->uncertain = false;
        if (!s->in_write) {
            continue;
        }
        s->in_write = false;
        s->durable = s->written;
        if (s->removing && s->durable == SLOT_NONE) {
            answer_abandoned(t, h, &s->key, &s->attempt, NULL);
            t->bytes -= slot_bytes(s);
            g_hash_table_iter_remove(&it);
            continue;
        }
        if (s->reply && s->state == SLOT_GRANTED && !s->removing) {
            s->reply = false;
            if (proven) {
                answer_slot(h, s, CLAIM_VERB_CLAIM, CLAIM_GRANTED);
            }
        }
        if (s->ack && s->durable == SLOT_DONE) {
            s->ack = false;
            answer_slot(h, s, CLAIM_VERB_DONE, CLAIM_CLOSED);
        }
    }
}

void
claim_table_not_committed(struct claim_table *t, struct claim_host *h,
                          int64_t now_us, bool lost)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, t->slots);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct slot *s = p;
        bool was = s->in_write;
        s->in_write = false;
        s->uncertain = s->uncertain || (was && lost);
        if (s->removing && s->durable == SLOT_NONE && !s->uncertain) {
            /* The bucket may have another owner, with other claims. */
            answer_abandoned(t, h, &s->key, &s->attempt, s);
            t->bytes -= slot_bytes(s);
            g_hash_table_iter_remove(&it);
            continue;
        }
        if (s->state != s->durable || s->removing || s->uncertain) {
            set_dirty(t, now_us);
        }
    }
}
