/**
 * @file claim_table.h
 * The claims of one bucket in memory: durable ones, those that wait for a
 * commit, open attempts, and closed attempts whose late messages are ignored.
 * Decides the answers; claim_bucket.h decides when it may be asked.
 */
#ifndef CONTROL_CLAIM_TABLE_H
#define CONTROL_CLAIM_TABLE_H

#include <glib.h>

#include "base/rng.h"
#include "control/claim_record.h"
#include "control/view.h"

/** Largest record, in bytes; the store takes 1 MB. */
#define CLAIM_RECORD_MAX (900 * 1024)

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

/** What all buckets of one node share. */
struct claim_host {
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
    int64_t dirty_due_us; /**< when to write; INT64_MAX: nothing to write */
    size_t bytes;         /**< upper bound of the record's size */
    GHashTable *slots;    /**< digest -> one claim */
    GHashTable *opens;    /**< digest -> an open attempt */
    GHashTable *closed;   /**< attempt_id -> when to forget it */
};

/** Longest validity of an attempt that is counted. */
#define CLAIM_VALID_MAX_US 3600000000LL

static inline bool
attempt_eq(const struct attempt_id *a, const struct attempt_id *b)
{
    return a->seq == b->seq && a->node == b->node &&
           a->incarnation == b->incarnation;
}

/** A validity from the wire, within 0 and CLAIM_VALID_MAX_US. */
static inline int64_t
claim_valid_us(int64_t us)
{
    return us < 0 ? 0 : us > CLAIM_VALID_MAX_US ? CLAIM_VALID_MAX_US : us;
}

void claim_table_init(struct claim_table *t);
void claim_table_free(struct claim_table *t);
void claim_table_clear(struct claim_table *t);

/** Answers one ask, at once or after a commit. */
void claim_table_ask(struct claim_table *t, struct claim_host *h,
                     int64_t now_us, const struct claim_ask *ask);

/** Replaces all claims by those of a record, which are durable.
 * @return false if the record is malformed */
bool claim_table_load(struct claim_table *t, int64_t now_us, struct str bytes,
                      size_t at, uint32_t count);

/** Appends the record with all wanted claims and marks them as being
 * written. @c count of @p head is filled in. */
void claim_table_encode(struct claim_table *t, int64_t now_us,
                        struct claim_header *head, struct buf *out);

/** The write encoded last is durable: sends the answers that it allows. Grants
 * are left to the next repeated ask unless ownership is @p proven now. */
void claim_table_committed(struct claim_table *t, struct claim_host *h,
                           bool proven);

/** The write encoded last has not taken effect. @p lost: it still may. */
void claim_table_not_committed(struct claim_table *t, struct claim_host *h,
                               int64_t now_us, bool lost);

/** Drops what has expired. */
void claim_table_purge(struct claim_table *t, const struct claim_host *h,
                       int64_t now_us);

#endif
