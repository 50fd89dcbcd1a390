#include "control/claim_table.h"

#include "base/clean.h"

#define CLOSE_COMMIT_DELAY_US 200000
#define RUNNING_SLACK_US 1000000
/* A late duplicate of an abandoned attempt's message is ignored for this
 * time. */
#define CLOSED_ATTEMPT_KEEP_US 30000000
/* Answers are dropped until the record has this size, so that a full record
 * does not sort its entries for every claim. */
#define RECORD_TRIM_BYTES (CLAIM_RECORD_MAX_BYTES / 8 * 7)

enum slot_state { SLOT_NONE, SLOT_GRANTED, SLOT_DONE };

/* One claim in memory. */
struct slot {
    struct digest key; /* first: the table's key */
    struct digest body;
    struct attempt_id attempt;
    enum slot_state state;         /* to be written */
    enum slot_state durable_state; /* by the last confirmed write */
    enum slot_state written_state; /* in the write that is in flight */
    bool in_write;
    bool uncertain;       /* in a write whose outcome is unknown */
    bool removing;        /* abandoned; the next write leaves it out */
    bool grant_reply_due; /* send GRANTED after the commit */
    bool close_reply_due; /* send CLOSED after the commit */
    int http_status;
    bool answer_stored;
    struct str answer; /* owned */
    int64_t created_us;
    int64_t valid_us;
};

struct open_attempt {
    struct digest key; /* first: the table's key */
    struct digest body;
    struct attempt_id attempt;
    int64_t expires_us;
};

struct closed_attempt {
    struct attempt_id attempt; /* first: the table's key */
    int64_t expires_us;
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
    t->open_attempts = g_hash_table_new_full(key_hash, key_equal, NULL, free);
    t->closed_attempts =
        g_hash_table_new_full(attempt_hash, attempt_equal, NULL, free);
    t->write_due_us = INT64_MAX;
    t->bytes = 0;
}

void
claim_table_free(struct claim_table *t)
{
    g_hash_table_destroy(t->slots);
    g_hash_table_destroy(t->open_attempts);
    g_hash_table_destroy(t->closed_attempts);
}

void
claim_table_clear(struct claim_table *t)
{
    g_hash_table_remove_all(t->slots);
    g_hash_table_remove_all(t->open_attempts);
    g_hash_table_remove_all(t->closed_attempts);
    t->write_due_us = INT64_MAX;
    t->bytes = 0;
}

static void
answer(struct claim_context *cx, const struct claim_request *req,
       enum claim_state state, const struct slot *s)
{
    struct claim_reply r = {.verb = req->verb,
                            .state = state,
                            .key = req->key,
                            .attempt = req->attempt};
    if (state == CLAIM_DONE && s) {
        r.http_status = s->http_status;
        r.answer_stored = s->answer_stored;
        r.answer = s->answer;
    }
    cx->counters[CLAIM_COUNT_GRANTS] += state == CLAIM_GRANTED;
    cx->reply(cx->ctx, req->attempt.node, &r);
}

/* Acknowledges an ABANDON. @p other: another claim of the key, or NULL. */
static void
answer_abandoned(struct claim_table *t, struct claim_context *cx,
                 const struct digest *key, const struct attempt_id *attempt,
                 const struct slot *other)
{
    struct claim_reply r = {
        .verb = CLAIM_VERB_ABANDON,
        .state = CLAIM_CLOSED,
        .key = *key,
        .attempt = *attempt,
        .key_free = !other && !g_hash_table_contains(t->open_attempts, key)};
    cx->reply(cx->ctx, attempt->node, &r);
}

static void
answer_slot(struct claim_context *cx, const struct slot *s,
            enum claim_verb verb, enum claim_state state)
{
    struct claim_request req = {
        .verb = verb, .key = s->key, .attempt = s->attempt};
    answer(cx, &req, state, s);
}

static size_t
slot_bytes(const struct slot *s)
{
    return CLAIM_ENTRY_BYTES + s->answer.len;
}

static void
slot_remove(struct claim_table *t, struct slot *s)
{
    t->bytes -= slot_bytes(s);
    g_hash_table_remove(t->slots, &s->key);
}

/* A claim is kept longer than its attempt is valid, however short the
 * horizon is. */
static bool
slot_is_expired(const struct slot *s, const struct claim_context *cx,
                int64_t now_us)
{
    int64_t result_ttl_us = cx->horizon_us;
    if (s->state == SLOT_GRANTED &&
        s->valid_us + CLOSED_ATTEMPT_KEEP_US > result_ttl_us) {
        result_ttl_us = s->valid_us + CLOSED_ATTEMPT_KEEP_US;
    }
    return !s->in_write && !s->uncertain && s->state == s->durable_state &&
           !s->removing && now_us - s->created_us > result_ttl_us;
}

/* A claim in no write of unknown outcome need not be written when its
 * attempt's validity has ended. */
static bool
slot_is_obsolete(const struct slot *s, int64_t now_us)
{
    return s->state == SLOT_GRANTED && s->durable_state == SLOT_NONE &&
           !s->in_write && !s->uncertain &&
           now_us - s->created_us > s->valid_us;
}

static struct slot *
slot_find(struct claim_table *t, const struct claim_context *cx,
          int64_t now_us, const struct digest *key)
{
    struct slot *s = g_hash_table_lookup(t->slots, key);
    if (s && (slot_is_expired(s, cx, now_us) || slot_is_obsolete(s, now_us))) {
        slot_remove(t, s);
        s = NULL;
    }
    return s;
}

static struct open_attempt *
open_attempt_find(struct claim_table *t, int64_t now_us,
                  const struct digest *key)
{
    struct open_attempt *o = g_hash_table_lookup(t->open_attempts, key);
    if (o && o->expires_us <= now_us) {
        g_hash_table_remove(t->open_attempts, key);
        o = NULL;
    }
    return o;
}

static bool
attempt_is_running(const struct slot *s, const struct claim_context *cx,
                   int64_t now_us)
{
    const struct view_member *m = view_find(cx->view, s->attempt.node);
    return m && m->alive &&
           (m->incarnation == 0 || m->incarnation == s->attempt.incarnation) &&
           now_us - s->created_us <= s->valid_us + RUNNING_SLACK_US;
}

/* Returns the state that is sent to another attempt with the claim's key. */
static enum claim_state
state_for_other_attempt(const struct slot *s, const struct claim_context *cx,
                        int64_t now_us, const struct digest *body)
{
    if (!digest_eq(s->body, *body)) {
        return CLAIM_MISMATCH;
    }
    if (s->state == SLOT_DONE) {
        return CLAIM_DONE;
    }
    if (s->durable_state == SLOT_NONE || s->removing ||
        attempt_is_running(s, cx, now_us)) {
        return CLAIM_BUSY;
    }
    return CLAIM_HELD;
}

static void
schedule_write(struct claim_table *t, int64_t due_us)
{
    if (due_us < t->write_due_us) {
        t->write_due_us = due_us;
    }
}

void
claim_table_remove_expired(struct claim_table *t,
                           const struct claim_context *cx, int64_t now_us)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, t->slots);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        if (slot_is_expired(p, cx, now_us) || slot_is_obsolete(p, now_us)) {
            t->bytes -= slot_bytes(p);
            g_hash_table_iter_remove(&it);
        }
    }
    g_hash_table_iter_init(&it, t->open_attempts);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        if (((struct open_attempt *)p)->expires_us <= now_us) {
            g_hash_table_iter_remove(&it);
        }
    }
    g_hash_table_iter_init(&it, t->closed_attempts);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        if (((struct closed_attempt *)p)->expires_us <= now_us) {
            g_hash_table_iter_remove(&it);
        }
    }
}

static gint
compare_age(gconstpointer a, gconstpointer b)
{
    const struct slot *x = *(struct slot *const *)a;
    const struct slot *y = *(struct slot *const *)b;
    return (x->created_us > y->created_us) - (x->created_us < y->created_us);
}

/* Drops the oldest answers of a full record. @return false if the record is
 * still full */
static bool
make_room(struct claim_table *t, struct claim_context *cx, int64_t now_us,
          size_t need_bytes)
{
    if (t->bytes + need_bytes <= CLAIM_RECORD_MAX_BYTES) {
        return true;
    }
    claim_table_remove_expired(t, cx, now_us);
    g_autoptr(GPtrArray) kept = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, t->slots);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        if (((struct slot *)p)->answer.len > 0) {
            g_ptr_array_add(kept, p);
        }
    }
    g_ptr_array_sort(kept, compare_age);
    for (guint i = 0;
         i < kept->len && t->bytes + need_bytes > RECORD_TRIM_BYTES; i++) {
        struct slot *s = kept->pdata[i];
        t->bytes -= s->answer.len;
        str_free(&s->answer);
        s->answer_stored = false;
        cx->counters[CLAIM_COUNT_ANSWERS_DROPPED]++;
    }
    return t->bytes + need_bytes <= CLAIM_RECORD_MAX_BYTES;
}

static struct slot *
slot_add(struct claim_table *t, const struct claim_entry *e, int64_t now_us)
{
    struct slot *s = mem_calloc(1, sizeof(*s));
    s->key = e->key;
    s->body = e->body;
    s->attempt = e->attempt;
    s->state = e->done ? SLOT_DONE : SLOT_GRANTED;
    s->http_status = e->http_status;
    s->answer_stored = e->answer_stored;
    s->answer = e->answer.len ? str_dup(e->answer) : (struct str){0};
    s->created_us = now_us - e->age_us;
    s->valid_us = e->valid_us;
    t->bytes += slot_bytes(s);
    g_hash_table_replace(t->slots, &s->key, s);
    return s;
}

static void
on_open(struct claim_table *t, struct claim_context *cx, int64_t now_us,
        const struct claim_request *req, const struct slot *s)
{
    struct open_attempt *o = open_attempt_find(t, now_us, &req->key);
    if (s && attempt_eq(&s->attempt, &req->attempt)) {
        return; /* a late duplicate: this attempt has already claimed */
    }
    if (s) {
        answer(cx, req, state_for_other_attempt(s, cx, now_us, &req->body), s);
        return;
    }
    if (o && !attempt_eq(&o->attempt, &req->attempt)) {
        answer(cx, req,
               digest_eq(o->body, req->body) ? CLAIM_BUSY : CLAIM_MISMATCH,
               NULL);
        return;
    }
    if (!o) {
        o = mem_calloc(1, sizeof(*o));
        *o = (struct open_attempt){req->key, req->body, req->attempt, 0};
        g_hash_table_replace(t->open_attempts, &o->key, o);
    }
    o->expires_us = now_us + claim_clamp_valid_us(req->valid_us);
    answer(cx, req, CLAIM_OPENED, NULL);
}

static void
on_claim(struct claim_table *t, struct claim_context *cx, int64_t now_us,
         const struct claim_request *req, struct slot *s)
{
    struct open_attempt *o = open_attempt_find(t, now_us, &req->key);
    if (s && attempt_eq(&s->attempt, &req->attempt)) {
        if (s->state == SLOT_DONE) {
            answer(cx, req, CLAIM_DONE, s);
        }
        else if (s->durable_state == SLOT_GRANTED && !s->removing) {
            answer(cx, req, CLAIM_GRANTED, s);
        }
        else {
            s->grant_reply_due = true;
        }
        return;
    }
    if (s) {
        answer(cx, req, state_for_other_attempt(s, cx, now_us, &req->body), s);
        return;
    }
    if (o && !attempt_eq(&o->attempt, &req->attempt)) {
        answer(cx, req,
               digest_eq(o->body, req->body) ? CLAIM_BUSY : CLAIM_MISMATCH,
               NULL);
        return;
    }
    if (!make_room(t, cx, now_us, CLAIM_ENTRY_BYTES)) {
        cx->counters[CLAIM_COUNT_FULL]++;
        answer(cx, req, CLAIM_UNAVAILABLE, NULL);
        return;
    }
    struct claim_entry e = {.key = req->key,
                            .body = req->body,
                            .attempt = req->attempt,
                            .valid_us = claim_clamp_valid_us(req->valid_us)};
    s = slot_add(t, &e, now_us);
    s->grant_reply_due = true;
    g_hash_table_remove(t->open_attempts, &req->key);
    schedule_write(t, now_us);
}

static void
on_done(struct claim_table *t, struct claim_context *cx, int64_t now_us,
        const struct claim_request *req, struct slot *s)
{
    if (!s || !attempt_eq(&s->attempt, &req->attempt) || s->removing ||
        s->durable_state == SLOT_DONE) {
        answer(cx, req, CLAIM_CLOSED, NULL);
        return;
    }
    s->close_reply_due = true;
    if (s->state == SLOT_DONE) {
        return;
    }
    s->state = SLOT_DONE;
    s->created_us = now_us;
    s->http_status = req->http_status;
    if (req->answer.len <= CLAIM_ANSWER_MAX_BYTES &&
        make_room(t, cx, now_us, req->answer.len)) {
        s->answer_stored = true;
        s->answer = req->answer.len ? str_dup(req->answer) : (struct str){0};
        t->bytes += s->answer.len;
    }
    schedule_write(t, now_us + CLOSE_COMMIT_DELAY_US);
}

static void
on_abandon(struct claim_table *t, struct claim_context *cx, int64_t now_us,
           const struct claim_request *req, struct slot *s)
{
    struct open_attempt *o = open_attempt_find(t, now_us, &req->key);
    struct closed_attempt *c = mem_calloc(1, sizeof(*c));
    c->attempt = req->attempt;
    c->expires_us =
        now_us + claim_clamp_valid_us(req->valid_us) + CLOSED_ATTEMPT_KEEP_US;
    g_hash_table_replace(t->closed_attempts, &c->attempt, c);
    if (o && attempt_eq(&o->attempt, &req->attempt)) {
        g_hash_table_remove(t->open_attempts, &req->key);
    }
    if (!s || !attempt_eq(&s->attempt, &req->attempt) ||
        s->state == SLOT_DONE) {
        answer_abandoned(t, cx, &req->key, &req->attempt, s);
        return;
    }
    if (s->durable_state == SLOT_NONE && !s->in_write && !s->uncertain) {
        slot_remove(t, s);
        answer_abandoned(t, cx, &req->key, &req->attempt, NULL);
        return;
    }
    s->removing = s->close_reply_due = true;
    s->grant_reply_due = false;
    schedule_write(t, now_us + CLOSE_COMMIT_DELAY_US);
}

void
claim_table_handle_request(struct claim_table *t, struct claim_context *cx,
                           int64_t now_us, const struct claim_request *req)
{
    struct slot *s = slot_find(t, cx, now_us, &req->key);
    bool is_closed = g_hash_table_contains(t->closed_attempts, &req->attempt);
    switch (req->verb) {
    case CLAIM_VERB_OPEN:
        if (!is_closed) {
            on_open(t, cx, now_us, req, s);
        }
        break;
    case CLAIM_VERB_CLAIM:
        if (!is_closed) {
            on_claim(t, cx, now_us, req, s);
        }
        break;
    case CLAIM_VERB_DONE:
        on_done(t, cx, now_us, req, s);
        break;
    case CLAIM_VERB_ABANDON:
        on_abandon(t, cx, now_us, req, s);
        break;
    }
}

bool
claim_table_load(struct claim_table *t, int64_t now_us, struct str bytes,
                 size_t offset, uint32_t count)
{
    g_hash_table_remove_all(t->slots);
    t->bytes = 0;
    for (uint32_t i = 0; i < count; i++) {
        struct claim_entry e;
        if (claim_entry_decode(bytes, &offset, &e) != ST_OK) {
            return false;
        }
        struct slot *s = slot_add(t, &e, now_us);
        s->durable_state = s->state;
    }
    return offset == bytes.len;
}

void
claim_table_encode(struct claim_table *t, int64_t now_us,
                   struct claim_header *header, struct buf *out)
{
    CLEANUP(buf_free) struct buf entries = {0};
    GHashTableIter it;
    gpointer p;
    header->count = 0;
    t->write_due_us = INT64_MAX;
    g_hash_table_iter_init(&it, t->slots);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct slot *s = p;
        s->in_write = true;
        s->written_state = s->removing ? SLOT_NONE : s->state;
        if (s->written_state == SLOT_NONE) {
            continue;
        }
        struct claim_entry e = {.key = s->key,
                                .body = s->body,
                                .attempt = s->attempt,
                                .done = s->state == SLOT_DONE,
                                .http_status = s->http_status,
                                .answer_stored = s->answer_stored,
                                .answer = s->answer,
                                .age_us = now_us - s->created_us,
                                .valid_us = s->valid_us};
        claim_entry_encode(&e, &entries);
        header->count++;
    }
    claim_header_encode(header, out);
    buf_append(out, entries.ptr, entries.len);
}

void
claim_table_write_committed(struct claim_table *t, struct claim_context *cx,
                            bool confirmed)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, t->slots);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct slot *s = p;
        /* The write changed the revision, so no earlier write can still
         * take effect. */
        s->uncertain = false;
        if (!s->in_write) {
            continue;
        }
        s->in_write = false;
        s->durable_state = s->written_state;
        if (s->removing && s->durable_state == SLOT_NONE) {
            answer_abandoned(t, cx, &s->key, &s->attempt, NULL);
            t->bytes -= slot_bytes(s);
            g_hash_table_iter_remove(&it);
            continue;
        }
        if (s->grant_reply_due && s->state == SLOT_GRANTED && !s->removing) {
            s->grant_reply_due = false;
            if (confirmed) {
                answer_slot(cx, s, CLAIM_VERB_CLAIM, CLAIM_GRANTED);
            }
        }
        if (s->close_reply_due && s->durable_state == SLOT_DONE) {
            s->close_reply_due = false;
            answer_slot(cx, s, CLAIM_VERB_DONE, CLAIM_CLOSED);
        }
    }
}

void
claim_table_write_failed(struct claim_table *t, struct claim_context *cx,
                         int64_t now_us, bool may_apply)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, t->slots);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct slot *s = p;
        bool was_in_write = s->in_write;
        s->in_write = false;
        s->uncertain = s->uncertain || (was_in_write && may_apply);
        if (s->removing && s->durable_state == SLOT_NONE && !s->uncertain) {
            /* The bucket may have another owner, with other claims, so the
             * key is not reported as free. */
            answer_abandoned(t, cx, &s->key, &s->attempt, s);
            t->bytes -= slot_bytes(s);
            g_hash_table_iter_remove(&it);
            continue;
        }
        if (s->state != s->durable_state || s->removing || s->uncertain) {
            schedule_write(t, now_us);
        }
    }
}
