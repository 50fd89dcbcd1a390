#include "control/claim_bucket.h"

#include <stdio.h>

#include "base/log.h"

#define STORE_TIMEOUT_US 1000000
#define BACKOFF_MIN_US 100000
#define BACKOFF_MAX_US 3000000
/* Limit of requests that wait for the store; more are dropped, and their
 * senders send them again. */
#define MAX_QUEUED_REQUESTS 2048
/* A queued DONE or ABANDON is dropped after this time; its sender sends it
 * again. */
#define CLOSE_QUEUE_TIMEOUT_US 30000000

struct queued_request {
    struct claim_request req; /* its answer is owned */
    int64_t expires_us;
};

enum op { OP_NONE, OP_READ, OP_TAKE_OVER, OP_VERIFY, OP_WRITE, OP_RESOLVE };

struct bucket {
    char key[32];
    bool owned;
    bool takeover_ready;     /* the record was read and may be taken over */
    bool record_is_new;      /* the record did not exist before */
    bool release_pending;    /* forget the bucket when the operation ends */
    bool takeover_attempted; /* a takeover was sent since the last reset */
    bool write_unresolved;   /* read back the outcome of the last write */
    bool write_may_apply;    /* the unresolved write may still take effect */
    enum op op;
    int64_t op_start_us;
    int64_t revision;
    uint64_t epoch;
    uint64_t last_read_epoch; /* as read before the takeover */
    uint64_t write_id;        /* of the last takeover or write */
    int64_t confirmed_us; /* start of the last operation that confirmed it */
    int64_t writes_from_us;
    int64_t retry_from_us;
    int64_t ignore_until_us;
    int64_t backoff_us;
    struct claim_table table;
    GQueue queue; /* struct queued_request */
};

static void
queued_request_free(gpointer p)
{
    struct queued_request *w = p;
    str_free(&w->req.answer);
    free(w);
}

struct bucket *
bucket_new(int number)
{
    struct bucket *b = mem_calloc(1, sizeof(*b));
    snprintf(b->key, sizeof(b->key), "cf/claims/%d", number);
    claim_table_init(&b->table);
    g_queue_init(&b->queue);
    return b;
}

static void
forget(struct bucket *b)
{
    b->owned = b->takeover_ready = b->write_unresolved = b->release_pending =
        false;
    b->record_is_new = b->takeover_attempted = false;
    claim_table_clear(&b->table);
    g_queue_clear_full(&b->queue, queued_request_free);
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
ownership_confirmed(const struct bucket *b, int64_t now_us)
{
    return b->owned && now_us - b->confirmed_us < BUCKET_OWNERSHIP_US;
}

void
bucket_handle_request(struct bucket *b, struct claim_context *cx,
                      int64_t now_us, const struct claim_request *req)
{
    if (now_us < b->ignore_until_us || b->release_pending) {
        return;
    }
    if (ownership_confirmed(b, now_us) && !b->write_unresolved) {
        claim_table_handle_request(&b->table, cx, now_us, req);
        return;
    }
    for (GList *l = b->queue.head; l; l = l->next) {
        struct queued_request *w = l->data;
        if (w->req.verb == req->verb &&
            attempt_eq(&w->req.attempt, &req->attempt)) {
            return;
        }
    }
    if (g_queue_get_length(&b->queue) >= MAX_QUEUED_REQUESTS) {
        return;
    }
    struct queued_request *w = mem_calloc(1, sizeof(*w));
    w->req = *req;
    w->req.answer = str_dup(req->answer);
    w->expires_us = now_us + claim_clamp_valid_us(req->valid_us);
    if (req->verb == CLAIM_VERB_DONE || req->verb == CLAIM_VERB_ABANDON) {
        w->expires_us = now_us + CLOSE_QUEUE_TIMEOUT_US;
    }
    g_queue_push_tail(&b->queue, w);
}

/* Handles the queued requests while ownership is confirmed. */
static void
drain(struct bucket *b, struct claim_context *cx, int64_t now_us)
{
    struct queued_request *w;
    while (ownership_confirmed(b, now_us) && !b->write_unresolved &&
           (w = g_queue_pop_head(&b->queue))) {
        if (w->expires_us > now_us) {
            w->req.valid_us = w->expires_us - now_us;
            claim_table_handle_request(&b->table, cx, now_us, &w->req);
        }
        queued_request_free(w);
    }
}

enum bucket_op_type
bucket_next_op(const struct bucket *b, int64_t now_us, int64_t *from_us)
{
    bool has_queued = !g_queue_is_empty((GQueue *)&b->queue);
    int64_t earliest_us =
        b->retry_from_us > now_us ? b->retry_from_us : now_us;
    *from_us = INT64_MAX;
    if (b->op != OP_NONE || b->release_pending) {
        return BUCKET_OP_NONE;
    }
    if (!b->owned) {
        if (!has_queued) {
            return BUCKET_OP_NONE;
        }
        *from_us = earliest_us;
        return b->takeover_ready ? BUCKET_OP_WRITE : BUCKET_OP_READ;
    }
    if (b->write_unresolved) {
        *from_us = earliest_us;
        return BUCKET_OP_READ;
    }
    int64_t due_us = b->table.write_due_us;
    if (due_us != INT64_MAX) {
        due_us = due_us > b->writes_from_us ? due_us : b->writes_from_us;
        due_us = due_us > earliest_us ? due_us : earliest_us;
    }
    if (has_queued && earliest_us < due_us) {
        *from_us = earliest_us;
        return BUCKET_OP_READ;
    }
    if (due_us == INT64_MAX) {
        return BUCKET_OP_NONE;
    }
    *from_us = due_us;
    return BUCKET_OP_WRITE;
}

bool
bucket_start_op(struct bucket *b, struct claim_context *cx, int64_t now_us,
                uint64_t id, struct store_op *op, struct buf *value)
{
    int64_t earliest_us;
    for (GList *l = b->queue.head; l;) {
        GList *next = l->next;
        struct queued_request *w = l->data;
        if (w->expires_us <= now_us) {
            queued_request_free(w);
            g_queue_delete_link(&b->queue, l);
        }
        l = next;
    }
    if (b->owned) {
        claim_table_remove_expired(&b->table, cx, now_us);
    }
    enum bucket_op_type next = bucket_next_op(b, now_us, &earliest_us);
    if (next == BUCKET_OP_NONE || earliest_us > now_us) {
        return false;
    }
    *op = (struct store_op){.id = id,
                            .kind = STORE_GET,
                            .key = str_from_cstr(b->key),
                            .timeout_us = STORE_TIMEOUT_US};
    b->op_start_us = now_us;
    if (next == BUCKET_OP_READ) {
        b->op = !b->owned             ? OP_READ
                : b->write_unresolved ? OP_RESOLVE
                                      : OP_VERIFY;
        cx->counters[CLAIM_COUNT_READS]++;
        return true;
    }
    b->op = b->owned ? OP_WRITE : OP_TAKE_OVER;
    b->write_id = ++cx->write_id;
    struct claim_header header = {cx->node, cx->incarnation, b->epoch,
                                  b->write_id, 0};
    claim_table_encode(&b->table, now_us, &header, value);
    op->kind = STORE_CAS;
    op->value = buf_str(value);
    op->expect = b->revision;
    cx->counters[CLAIM_COUNT_WRITES]++;
    return true;
}

static void
back_off(struct bucket *b, struct claim_context *cx, int64_t now_us)
{
    int64_t base = b->backoff_us ? b->backoff_us * 2 : BACKOFF_MIN_US;
    b->backoff_us = base > BACKOFF_MAX_US ? BACKOFF_MAX_US : base;
    b->retry_from_us =
        now_us + b->backoff_us / 2 +
        (int64_t)rng_below(&cx->rng, (uint64_t)b->backoff_us / 2 + 1);
    cx->counters[CLAIM_COUNT_STORE_ERRORS]++;
}

static void
lose_ownership(struct bucket *b, struct claim_context *cx, int64_t now_us,
               const struct claim_header *header)
{
    LOG_EVENT(LOG_INFO, "claim_bucket_lost", LOG_CSTR("key", b->key),
              LOG_INT("epoch", header->epoch));
    cx->counters[CLAIM_COUNT_DEPOSED]++;
    forget(b);
    b->ignore_until_us = now_us + BUCKET_LOST_PAUSE_US;
}

static void
take_ownership(struct bucket *b, struct claim_context *cx, int64_t now_us,
               int64_t revision)
{
    b->owned = true;
    b->takeover_ready = false;
    b->revision = revision;
    b->backoff_us = 0;
    b->confirmed_us = b->op_start_us;
    b->writes_from_us =
        b->record_is_new ? now_us : now_us + BUCKET_TAKEOVER_WAIT_US;
    cx->counters[CLAIM_COUNT_TAKES]++;
}

/* Handles the record read before a takeover, or after a takeover of unknown
 * outcome. */
static void
on_read(struct bucket *b, struct claim_context *cx, int64_t now_us,
        const struct store_result *r)
{
    struct claim_header header = {0};
    size_t offset = 0;
    if (r->outcome == STORE_NOT_FOUND) {
        claim_table_clear(&b->table);
        b->record_is_new = b->takeover_ready = true;
        b->revision = 0;
        b->last_read_epoch = 0;
        b->epoch = 1;
        return;
    }
    bool decoded = claim_header_decode(r->value, &header, &offset) == ST_OK;
    bool own_record = decoded && header.owner == cx->node &&
                      header.incarnation == cx->incarnation;
    if (decoded && !own_record && b->takeover_attempted &&
        header.epoch > b->last_read_epoch) {
        lose_ownership(b, cx, now_us, &header);
        return;
    }
    if (!decoded ||
        !claim_table_load(&b->table, now_us, r->value, offset, header.count)) {
        /* A grant without the recorded claims could let two attempts run
         * with one key. */
        LOG_EVENT(LOG_ERROR, "claim_record_malformed",
                  LOG_CSTR("key", b->key));
        forget(b);
        b->retry_from_us = now_us + BACKOFF_MAX_US;
        return;
    }
    if (own_record && b->takeover_attempted &&
        header.write_id == b->write_id) {
        b->epoch = header.epoch;
        take_ownership(b, cx, now_us, r->revision);
        return;
    }
    b->record_is_new = false;
    b->takeover_ready = true;
    b->revision = r->revision;
    b->last_read_epoch = header.epoch;
    b->epoch = header.epoch + 1;
}

static void
on_takeover(struct bucket *b, struct claim_context *cx, int64_t now_us,
            const struct store_result *r)
{
    /* A takeover writes claims that are durable already, so no reply is
     * sent. */
    claim_table_write_committed(&b->table, cx, false);
    if (r->outcome == STORE_OK) {
        take_ownership(b, cx, now_us, r->revision);
        return;
    }
    if (r->outcome == STORE_FAILED) {
        back_off(b, cx, now_us);
    }
    /* Otherwise the record is read again; its write id shows whether the
     * takeover took effect. */
    cx->counters[CLAIM_COUNT_RESOLVED] += r->outcome == STORE_OUTCOME_UNKNOWN;
    b->takeover_ready = false;
    b->takeover_attempted = true;
}

/* Completes the last write, which is known to be durable. */
static void
committed(struct bucket *b, struct claim_context *cx, int64_t now_us,
          int64_t revision)
{
    b->revision = revision;
    b->write_unresolved = false;
    b->backoff_us = 0;
    b->confirmed_us = b->op_start_us;
    /* The result may have been delayed by a pause of this process. */
    claim_table_write_committed(&b->table, cx, ownership_confirmed(b, now_us));
}

static void
on_write(struct bucket *b, struct claim_context *cx, int64_t now_us,
         const struct store_result *r)
{
    switch (r->outcome) {
    case STORE_OK:
        committed(b, cx, now_us, r->revision);
        break;
    case STORE_FAILED:
        claim_table_write_failed(&b->table, cx, now_us, false);
        back_off(b, cx, now_us);
        break;
    case STORE_OUTCOME_UNKNOWN:
        cx->counters[CLAIM_COUNT_RESOLVED]++;
        /* fall through */
    case STORE_CONFLICT:
    case STORE_NOT_FOUND:
        b->write_unresolved = true;
        b->write_may_apply = r->outcome == STORE_OUTCOME_UNKNOWN;
        break;
    }
}

/* Handles a read while the bucket is owned: after a write of unknown
 * outcome, or to verify that this node still owns the record. */
static void
on_ownership_read(struct bucket *b, struct claim_context *cx, int64_t now_us,
                  const struct store_result *r)
{
    struct claim_header header = {0};
    size_t offset = 0;
    bool own_record = false;
    if (r->outcome == STORE_OK &&
        claim_header_decode(r->value, &header, &offset) == ST_OK) {
        own_record = header.owner == cx->node &&
                     header.incarnation == cx->incarnation &&
                     header.epoch == b->epoch;
    }
    if (!own_record) {
        /* This includes a missing or malformed record: start again with a
         * read. */
        lose_ownership(b, cx, now_us, &header);
        return;
    }
    b->backoff_us = 0;
    if (b->write_unresolved && header.write_id == b->write_id) {
        committed(b, cx, now_us, r->revision);
        return;
    }
    /* An earlier write of this owner may have taken effect late. All of
     * that write's claims are in memory as uncertain, and the next write
     * replaces the record. */
    b->revision = r->revision;
    b->confirmed_us = b->op_start_us;
    if (b->write_unresolved) {
        b->write_unresolved = false;
        claim_table_write_failed(&b->table, cx, now_us, b->write_may_apply);
    }
}

void
bucket_handle_result(struct bucket *b, struct claim_context *cx,
                     int64_t now_us, const struct store_result *r)
{
    enum op op = b->op;
    bool read = op == OP_READ || op == OP_VERIFY || op == OP_RESOLVE;
    b->op = OP_NONE;
    if (read &&
        (r->outcome == STORE_FAILED || r->outcome == STORE_OUTCOME_UNKNOWN)) {
        back_off(b, cx, now_us);
    }
    else {
        switch (op) {
        case OP_READ:
            on_read(b, cx, now_us, r);
            break;
        case OP_TAKE_OVER:
            on_takeover(b, cx, now_us, r);
            break;
        case OP_WRITE:
            on_write(b, cx, now_us, r);
            break;
        case OP_VERIFY:
        case OP_RESOLVE:
            on_ownership_read(b, cx, now_us, r);
            break;
        case OP_NONE:
            break;
        }
    }
    if (b->release_pending) {
        forget(b);
        return;
    }
    drain(b, cx, now_us);
}

void
bucket_release(struct bucket *b)
{
    if (b->op == OP_NONE) {
        forget(b);
    }
    else {
        b->release_pending = true;
    }
}

bool
bucket_is_idle(const struct bucket *b)
{
    return b->table.write_due_us == INT64_MAX && !b->write_unresolved &&
           b->op != OP_WRITE && b->op != OP_TAKE_OVER &&
           g_queue_is_empty((GQueue *)&b->queue);
}
