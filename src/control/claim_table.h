/**
 * @file claim_table.h
 * The claims of one bucket in memory: durable claims, claims that wait for a
 * commit, open attempts, and closed attempts whose late messages are ignored.
 * Determines the replies; claim_bucket.h determines when requests may be
 * handled.
 */
#ifndef CONTROL_CLAIM_TABLE_H
#define CONTROL_CLAIM_TABLE_H

#include <glib.h>

#include "base/rng.h"
#include "control/claim_record.h"
#include "control/view.h"

/** Largest record, in bytes; the store accepts values of up to 1 MB. */
#define CLAIM_RECORD_MAX_BYTES (900 * 1024)

#define CLAIM_COUNTER_LIST(X)                                                 \
    X(GRANTS, "claim_grants_total")                                           \
    X(READS, "claim_store_reads_total")                                       \
    X(WRITES, "claim_store_writes_total")                                     \
    X(TAKES, "claim_bucket_takes_total")                                      \
    X(DEPOSED, "claim_bucket_losses_total")                                   \
    X(RESOLVED, "claim_lost_answers_total")                                   \
    X(STORE_ERRORS, "claim_store_errors_total")                               \
    X(ANSWERS_DROPPED, "claim_answers_dropped_total")                         \
    X(FULL, "claim_bucket_full_total")

enum claim_counter {
#define X(id, name) CLAIM_COUNT_##id,
    CLAIM_COUNTER_LIST(X)
#undef X
        CLAIM_COUNT_MAX
};

/** State shared by all buckets of one node. */
struct claim_context {
    uint64_t node;
    uint64_t incarnation;
    struct rng rng;
    int64_t horizon_us;
    uint64_t write_id;       /**< of the newest write */
    const struct view *view; /**< borrowed for the current call */
    uint64_t counters[CLAIM_COUNT_MAX];
    void *ctx;
    /** Sends a reply to a node, possibly this one; must not call back into
     * the bucket. */
    void (*reply)(void *ctx, uint64_t to, const struct claim_reply *r);
};

/** The state of one bucket in memory; use through the functions below. */
struct claim_table {
    int64_t write_due_us; /**< when to write; INT64_MAX: nothing to write */
    size_t bytes;         /**< upper bound of the record's size */
    GHashTable *slots;    /**< digest -> struct slot, one claim */
    GHashTable *open_attempts;   /**< digest -> struct open_attempt */
    GHashTable *closed_attempts; /**< attempt_id -> struct closed_attempt */
};

/** Upper bound of an attempt's validity; longer ones are clamped. */
#define CLAIM_VALID_MAX_US 3600000000LL

static inline bool
attempt_eq(const struct attempt_id *a, const struct attempt_id *b)
{
    return a->seq == b->seq && a->node == b->node &&
           a->incarnation == b->incarnation;
}

/** Clamps a validity from a message to 0..CLAIM_VALID_MAX_US. */
static inline int64_t
claim_clamp_valid_us(int64_t us)
{
    return us < 0 ? 0 : us > CLAIM_VALID_MAX_US ? CLAIM_VALID_MAX_US : us;
}

void claim_table_init(struct claim_table *t);
void claim_table_free(struct claim_table *t);
void claim_table_clear(struct claim_table *t);

/** Handles one request; the reply is sent at once or after a commit. */
void claim_table_handle_request(struct claim_table *t,
                                struct claim_context *cx, int64_t now_us,
                                const struct claim_request *req);

/** Replaces all claims with those of a record, which are durable. @p offset
 * is that of the record's first entry. @return false if the record is
 * malformed */
bool claim_table_load(struct claim_table *t, int64_t now_us, struct str bytes,
                      size_t offset, uint32_t count);

/** Appends the record with all claims to be written to @p out and marks the
 * claims as being written. Sets @c count of @p header. */
void claim_table_encode(struct claim_table *t, int64_t now_us,
                        struct claim_header *header, struct buf *out);

/** Handles a successful write of the last encoded record: sends the replies
 * that depend on it. A grant is left to the next repeated request unless
 * ownership is @p confirmed now. */
void claim_table_write_committed(struct claim_table *t,
                                 struct claim_context *cx, bool confirmed);

/** Handles a write of the last encoded record that has not taken effect. @p
 * may_apply: the write may still take effect. */
void claim_table_write_failed(struct claim_table *t, struct claim_context *cx,
                              int64_t now_us, bool may_apply);

/** Removes expired claims and attempts. */
void claim_table_remove_expired(struct claim_table *t,
                                const struct claim_context *cx,
                                int64_t now_us);

#endif
