/**
 * @file claim_bucket.h
 * The owning side of one claim bucket: takes the bucket's record by writing a
 * higher epoch, answers from memory while it can prove that it still owns the
 * record, and group-commits changes by compare-and-swap.
 *
 * Why two holders are impossible: a grant is answered only after the write
 * that holds it is known to be durable, and every write is a CAS on the
 * revision that this owner last knew, so a deposed owner cannot write.
 *
 * Why OPENED is true: an owner answers only within BUCKET_PROOF_US after it
 * began a store operation that showed its ownership, and a new owner commits
 * no claim before BUCKET_TAKE_WAIT_US after its take was confirmed, by which
 * time the former owner's proof has run out.
 */
#ifndef CONTROL_CLAIM_BUCKET_H
#define CONTROL_CLAIM_BUCKET_H

#include "control/claim_table.h"
#include "store/store.h"

#define BUCKET_PROOF_US 1000000
/* A tenth longer than the proof, since the clocks of two nodes may run at
 * slightly different rates. */
#define BUCKET_TAKE_WAIT_US 1100000
#define BUCKET_DEPOSED_US 2000000
struct bucket;

enum bucket_want { BUCKET_WANT_NOTHING, BUCKET_WANT_READ, BUCKET_WANT_WRITE };

struct bucket *bucket_new(int number);
void bucket_free(struct bucket *b);

/** An ask that reached this node as the owner of the bucket. */
void bucket_ask(struct bucket *b, struct claim_host *h, int64_t now_us,
                const struct claim_ask *ask);

/** The store operation that the bucket wants next and from when on. */
enum bucket_want bucket_wants(const struct bucket *b, int64_t now_us,
                              int64_t *from_us);

/**
 * Begins the wanted operation. @p value receives the bytes of a CAS and must
 * outlive the use of @p op. @return false if nothing is to be done any more
 */
bool bucket_start(struct bucket *b, struct claim_host *h, int64_t now_us,
                  uint64_t id, struct store_op *op, struct buf *value);

/** The result of the operation begun last. */
void bucket_result(struct bucket *b, struct claim_host *h, int64_t now_us,
                   const struct store_result *r);

/** Forgets what is not being written, since another node owns the bucket.
 * Unanswered askers repeat to the new owner. */
void bucket_release(struct bucket *b);

/** True if no change waits for a commit. */
bool bucket_settled(const struct bucket *b);

#endif
