#include "control/claim_bucket.h"

#include <stdio.h>

#include "base/log.h"

#define STORE_TIMEOUT_US 1000000
#define BACKOFF_MIN_US 100000
#define BACKOFF_MAX_US 3000000
/* Asks that wait for the store; more are dropped, and their askers repeat. */
#define WAITING_MAX 2048
/* A waiting DONE or ABANDON is dropped after this; its asker repeats. */
#define CLOSE_WAIT_US 30000000

struct waiting {
    struct claim_ask ask; /* its answer is owned */
    int64_t until_us;
};

enum op { OP_NONE, OP_READ, OP_TAKE, OP_PROVE, OP_WRITE, OP_RESOLVE };

struct bucket {
    char key[32];
    bool owned;
    bool take_ready; /* read; the take may be written */
    bool created;    /* the record did not exist before */
    bool released;   /* to be forgotten when the operation has ended */
    bool attempted;  /* a take was sent since the bucket was forgotten */
    bool unresolved; /* the last write's outcome is to be read back */
    bool maybe;      /* the unresolved write may still take effect */
    enum op op;
    int64_t op_start_us;
    int64_t revision;
    uint64_t epoch;
    uint64_t seen_epoch; /* as read before the take */
    uint64_t write_id;   /* of the last take or write */
    int64_t proof_us; /* start of the last operation that showed ownership */
    int64_t grants_from_us;
    int64_t not_before_us;
    int64_t deposed_until_us;
    int64_t backoff_us;
    struct claim_table table;
    GQueue waiting; /* struct waiting */
};

static void
waiting_free(gpointer p)
{
    struct waiting *w = p;
    str_free(&w->ask.answer);
    free(w);
}

struct bucket *
bucket_new(int number)
{
    struct bucket *b = mem_zero(1, sizeof(*b));
    snprintf(b->key, sizeof(b->key), "cf/claims/%d", number);
    claim_table_init(&b->table);
    g_queue_init(&b->waiting);
    return b;
}

static void
forget(struct bucket *b)
{
    b->owned = b->take_ready = b->unresolved = b->released = false;
    b->created = b->attempted = false;
    claim_table_clear(&b->table);
    g_queue_clear_full(&b->waiting, waiting_free);
}

void
bucket_free(struct bucket *b)
{
    if (!b) {
        return;
    }
    forget(b);
    claim_table_free(&b->table);
    free(b);
}

static bool
proven(const struct bucket *b, int64_t now_us)
{
    return b->owned && now_us - b->proof_us < BUCKET_PROOF_US;
}

void
bucket_ask(struct bucket *b, struct claim_host *h, int64_t now_us,
           const struct claim_ask *ask)
{
    if (now_us < b->deposed_until_us || b->released) {
        return;
    }
    if (proven(b, now_us) && !b->unresolved) {
        claim_table_ask(&b->table, h, now_us, ask);
        return;
    }
    for (GList *l = b->waiting.head; l; l = l->next) {
        struct waiting *w = l->data;
        if (w->ask.verb == ask->verb &&
            attempt_eq(&w->ask.attempt, &ask->attempt)) {
            return;
        }
    }
    if (g_queue_get_length(&b->waiting) >= WAITING_MAX) {
        return;
    }
    struct waiting *w = mem_zero(1, sizeof(*w));
    w->ask = *ask;
    w->ask.answer = str_dup(ask->answer);
    w->until_us = now_us + claim_valid_us(ask->valid_us);
    if (ask->verb == CLAIM_VERB_DONE || ask->verb == CLAIM_VERB_ABANDON) {
        w->until_us = now_us + CLOSE_WAIT_US;
    }
    g_queue_push_tail(&b->waiting, w);
}

/* Answers what waited for a proof of ownership. */
static void
drain(struct bucket *b, struct claim_host *h, int64_t now_us)
{
    struct waiting *w;
    while (proven(b, now_us) && !b->unresolved &&
           (w = g_queue_pop_head(&b->waiting))) {
        if (w->until_us > now_us) {
            w->ask.valid_us = w->until_us - now_us;
            claim_table_ask(&b->table, h, now_us, &w->ask);
        }
        waiting_free(w);
    }
}

enum bucket_want
bucket_wants(const struct bucket *b, int64_t now_us, int64_t *from_us)
{
    bool waits = !g_queue_is_empty((GQueue *)&b->waiting);
    int64_t from = b->not_before_us > now_us ? b->not_before_us : now_us;
    *from_us = INT64_MAX;
    if (b->op != OP_NONE || b->released) {
        return BUCKET_WANT_NOTHING;
    }
    if (!b->owned) {
        if (!waits) {
            return BUCKET_WANT_NOTHING;
        }
        *from_us = from;
        return b->take_ready ? BUCKET_WANT_WRITE : BUCKET_WANT_READ;
    }
    if (b->unresolved) {
        *from_us = from;
        return BUCKET_WANT_READ;
    }
    int64_t due = b->table.dirty_due_us;
    if (due != INT64_MAX) {
        due = due > b->grants_from_us ? due : b->grants_from_us;
        due = due > from ? due : from;
    }
    if (waits && from < due) {
        *from_us = from;
        return BUCKET_WANT_READ;
    }
    if (due == INT64_MAX) {
        return BUCKET_WANT_NOTHING;
    }
    *from_us = due;
    return BUCKET_WANT_WRITE;
}

bool
bucket_start(struct bucket *b, struct claim_host *h, int64_t now_us,
             uint64_t id, struct store_op *op, struct buf *value)
{
    int64_t from;
    for (GList *l = b->waiting.head; l;) {
        GList *next = l->next;
        struct waiting *w = l->data;
        if (w->until_us <= now_us) {
            waiting_free(w);
            g_queue_delete_link(&b->waiting, l);
        }
        l = next;
    }
    if (b->owned) {
        claim_table_purge(&b->table, h, now_us);
    }
    enum bucket_want want = bucket_wants(b, now_us, &from);
    if (want == BUCKET_WANT_NOTHING || from > now_us) {
        return false;
    }
    *op = (struct store_op){.id = id,
                            .kind = STORE_GET,
                            .key = str_from(b->key),
                            .timeout_us = STORE_TIMEOUT_US};
    b->op_start_us = now_us;
    if (want == BUCKET_WANT_READ) {
        b->op = !b->owned ? OP_READ : b->unresolved ? OP_RESOLVE : OP_PROVE;
        h->counters[CLAIM_COUNT_READS]++;
        return true;
    }
    b->op = b->owned ? OP_WRITE : OP_TAKE;
    b->write_id = ++h->write_id;
    struct claim_header head = {h->node, h->incarnation, b->epoch, b->write_id,
                                0};
    claim_table_encode(&b->table, now_us, &head, value);
    op->kind = STORE_CAS;
    op->value = buf_str(value);
    op->expect = b->revision;
    h->counters[CLAIM_COUNT_WRITES]++;
    return true;
}

static void
back_off(struct bucket *b, struct claim_host *h, int64_t now_us)
{
    int64_t base = b->backoff_us ? b->backoff_us * 2 : BACKOFF_MIN_US;
    b->backoff_us = base > BACKOFF_MAX_US ? BACKOFF_MAX_US : base;
    b->not_before_us =
        now_us + b->backoff_us / 2 +
        (int64_t)rng_below(&h->rng, (uint64_t)b->backoff_us / 2 + 1);
    h->counters[CLAIM_COUNT_STORE_ERRORS]++;
}

static void
lose(struct bucket *b, struct claim_host *h, int64_t now_us,
     const struct claim_header *head)
{
    LOG_EVENT(LOG_INFO, "claim_bucket_lost", LOG_C("key", b->key),
              LOG_I("epoch", head->epoch));
    h->counters[CLAIM_COUNT_DEPOSED]++;
    forget(b);
    b->deposed_until_us = now_us + BUCKET_DEPOSED_US;
}

static void
own(struct bucket *b, struct claim_host *h, int64_t now_us, int64_t revision)
{
    b->owned = true;
    b->take_ready = false;
    b->revision = revision;
    b->backoff_us = 0;
    b->proof_us = b->op_start_us;
    b->grants_from_us = b->created ? now_us : now_us + BUCKET_TAKE_WAIT_US;
    h->counters[CLAIM_COUNT_TAKES]++;
}

/* The record as read before a take, or after a take of unknown outcome. */
static void
on_read(struct bucket *b, struct claim_host *h, int64_t now_us,
        const struct store_result *r)
{
    struct claim_header head = {0};
    size_t at = 0;
    if (r->outcome == STORE_ABSENT) {
        claim_table_clear(&b->table);
        b->created = b->take_ready = true;
        b->revision = 0;
        b->seen_epoch = 0;
        b->epoch = 1;
        return;
    }
    bool good = claim_header_decode(r->value, &head, &at) == ST_OK;
    bool mine =
        good && head.owner == h->node && head.incarnation == h->incarnation;
    if (good && !mine && b->attempted && head.epoch > b->seen_epoch) {
        lose(b, h, now_us, &head);
        return;
    }
    if (!good ||
        !claim_table_load(&b->table, now_us, r->value, at, head.count)) {
        /* Granting without knowing the claims would break ONCE. */
        LOG_EVENT(LOG_ERROR, "claim_record_malformed", LOG_C("key", b->key));
        forget(b);
        b->not_before_us = now_us + BACKOFF_MAX_US;
        return;
    }
    if (mine && b->attempted && head.write_id == b->write_id) {
        b->epoch = head.epoch;
        own(b, h, now_us, r->revision);
        return;
    }
    b->created = false;
    b->take_ready = true;
    b->revision = r->revision;
    b->seen_epoch = head.epoch;
    b->epoch = head.epoch + 1;
}

static void
on_take(struct bucket *b, struct claim_host *h, int64_t now_us,
        const struct store_result *r)
{
    /* A take writes claims that are durable already: nothing is answered. */
    claim_table_committed(&b->table, h, false);
    if (r->outcome == STORE_OK) {
        own(b, h, now_us, r->revision);
        return;
    }
    if (r->outcome == STORE_FAILED) {
        back_off(b, h, now_us);
    }
    /* Otherwise read again; the write id tells whether the take counted. */
    h->counters[CLAIM_COUNT_RESOLVED] += r->outcome == STORE_LOST;
    b->take_ready = false;
    b->attempted = true;
}

/* The last write is known to be durable. */
static void
committed(struct bucket *b, struct claim_host *h, int64_t now_us,
          int64_t revision)
{
    b->revision = revision;
    b->unresolved = false;
    b->backoff_us = 0;
    b->proof_us = b->op_start_us;
    /* The result may have waited while this process was paused. */
    claim_table_committed(&b->table, h, proven(b, now_us));
}

static void
on_write(struct bucket *b, struct claim_host *h, int64_t now_us,
         const struct store_result *r)
{
    switch (r->outcome) {
    case STORE_OK:
        committed(b, h, now_us, r->revision);
        break;
    case STORE_FAILED:
        claim_table_not_committed(&b->table, h, now_us, false);
        back_off(b, h, now_us);
        break;
    case STORE_LOST:
        h->counters[CLAIM_COUNT_RESOLVED]++;
        /* fall through */
    case STORE_CONFLICT:
    case STORE_ABSENT:
        b->unresolved = true;
        b->maybe = r->outcome == STORE_LOST;
        break;
    }
}

/* A read while the bucket is owned: after a write of unknown outcome, or to
 * prove that the record is still this node's. */
static void
on_check(struct bucket *b, struct claim_host *h, int64_t now_us,
         const struct store_result *r)
{
    struct claim_header head = {0};
    size_t at = 0;
    bool mine = false;
    if (r->outcome == STORE_OK &&
        claim_header_decode(r->value, &head, &at) == ST_OK) {
        mine = head.owner == h->node && head.incarnation == h->incarnation &&
               head.epoch == b->epoch;
    }
    if (!mine) {
        /* Also when the record is gone or malformed: start from reading. */
        lose(b, h, now_us, &head);
        return;
    }
    b->backoff_us = 0;
    if (b->unresolved && head.write_id == b->write_id) {
        committed(b, h, now_us, r->revision);
        return;
    }
    /* An earlier write of this owner may have taken effect late. Memory holds
     * all of its claims as uncertain, and the next write replaces it. */
    b->revision = r->revision;
    b->proof_us = b->op_start_us;
    if (b->unresolved) {
        b->unresolved = false;
        claim_table_not_committed(&b->table, h, now_us, b->maybe);
    }
}

void
bucket_result(struct bucket *b, struct claim_host *h, int64_t now_us,
              const struct store_result *r)
{
    enum op op = b->op;
    bool read = op == OP_READ || op == OP_PROVE || op == OP_RESOLVE;
    b->op = OP_NONE;
    if (read && (r->outcome == STORE_FAILED || r->outcome == STORE_LOST)) {
        back_off(b, h, now_us);
    }
    else {
        switch (op) {
        case OP_READ:
            on_read(b, h, now_us, r);
            break;
        case OP_TAKE:
            on_take(b, h, now_us, r);
            break;
        case OP_WRITE:
            on_write(b, h, now_us, r);
            break;
        case OP_PROVE:
        case OP_RESOLVE:
            on_check(b, h, now_us, r);
            break;
        case OP_NONE:
            break;
        }
    }
    if (b->released) {
        forget(b);
        return;
    }
    drain(b, h, now_us);
}

void
bucket_release(struct bucket *b)
{
    if (b->op == OP_NONE) {
        forget(b);
    }
    else {
        b->released = true;
    }
}

bool
bucket_settled(const struct bucket *b)
{
    return b->table.dirty_due_us == INT64_MAX && !b->unresolved &&
           b->op != OP_WRITE && b->op != OP_TAKE &&
           g_queue_is_empty((GQueue *)&b->waiting);
}
