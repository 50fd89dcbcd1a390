/**
 * @file claim_bucket.h
 * The owner's side of one claim bucket: takes over the bucket's record by
 * writing a higher epoch, answers from memory while its ownership is
 * confirmed, and commits changes in groups by compare-and-swap (CAS).
 *
 * Two attempts cannot hold one key: a grant is sent only after the write that
 * contains it is known to be durable, and every write is a CAS on the revision
 * that this owner last knew, so a former owner cannot write.
 *
 * OPENED replies are valid: an owner replies only within BUCKET_OWNERSHIP_US
 * after the start of a store operation that confirmed its ownership, and a new
 * owner commits no claim before BUCKET_TAKEOVER_WAIT_US after its takeover was
 * confirmed. By then the former owner's confirmation has expired.
 */
#ifndef CONTROL_CLAIM_BUCKET_H
#define CONTROL_CLAIM_BUCKET_H

#include "control/claim_table.h"
#include "store/store.h"

#define BUCKET_OWNERSHIP_US 1000000
/* A tenth longer than BUCKET_OWNERSHIP_US, since the clocks of two nodes
 * may run at slightly different rates. */
#define BUCKET_TAKEOVER_WAIT_US 1100000
/* A node that lost a bucket ignores requests for it for this time. */
#define BUCKET_LOST_PAUSE_US 2000000
struct bucket;

enum bucket_op_type { BUCKET_OP_NONE, BUCKET_OP_READ, BUCKET_OP_WRITE };

struct bucket *bucket_new(int number);
void bucket_free(struct bucket *b);

/** Handles a request sent to this node as the owner of the bucket. */
void bucket_handle_request(struct bucket *b, struct claim_context *cx,
                           int64_t now_us, const struct claim_request *req);

/** Returns the type of the next store operation and the earliest time to
 * start it in @p from_us; INT64_MAX if there is none. */
enum bucket_op_type bucket_next_op(const struct bucket *b, int64_t now_us,
                                   int64_t *from_us);

/**
 * Starts the next operation. @p value receives the bytes of a CAS and must
 * outlive the use of @p op.
 * @return false if there is no operation to start now
 */
bool bucket_start_op(struct bucket *b, struct claim_context *cx,
                     int64_t now_us, uint64_t id, struct store_op *op,
                     struct buf *value);

/** Handles the result of the operation started last. */
void bucket_handle_result(struct bucket *b, struct claim_context *cx,
                          int64_t now_us, const struct store_result *r);

/** Clears the bucket, at once or after the operation in flight, since
 * another node owns it now. The senders of unanswered requests send them
 * again to the new owner. */
void bucket_release(struct bucket *b);

/** Returns true if no change waits for a commit. */
bool bucket_is_idle(const struct bucket *b);

#endif
