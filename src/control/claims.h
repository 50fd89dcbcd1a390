/**
 * @file claims.h
 * At-most-once claims. The requesting side finds the bucket's owner and
 * repeats requests until they are answered; the owning side commits claims in
 * groups to the bucket records in the key-value service.
 */
#ifndef CONTROL_CLAIMS_H
#define CONTROL_CLAIMS_H

#include "control/outbox.h"
#include "control/view.h"

struct claims_options {
    uint64_t node;
    uint64_t incarnation;
    uint64_t seed;
    int buckets;
    int store_writes_per_s; /**< whole fleet; divided by alive nodes */
};

struct claims;

struct claims *claims_new(const struct claims_options *opts);
void claims_free(struct claims *c);

/** Sets the resend horizon of the current configuration. */
void claims_set_horizon(struct claims *c, int64_t horizon_us);

/** Handles a request of a flow core of this node; @p thread is its traffic
 * thread. */
void claims_handle_request(struct claims *c, int64_t now_us,
                           const struct view *v, int thread,
                           const struct claim_request *req,
                           struct outbox *out);

/** Handles a MSG_CLAIM or MSG_CLAIM_REPLY from another node. */
void claims_handle_message(struct claims *c, int64_t now_us,
                           const struct view *v, const struct msg *m,
                           struct outbox *out);

/** Handles the result of a store operation whose id claims_owns_op accepts. */
void claims_handle_store_result(struct claims *c, int64_t now_us,
                                const struct view *v,
                                const struct store_result *r,
                                struct outbox *out);
bool claims_owns_op(const struct claims *c, uint64_t op);

/** Handles due timers and a changed view. */
void claims_tick(struct claims *c, int64_t now_us, const struct view *v,
                 struct outbox *out);
int64_t claims_next_wakeup_us(const struct claims *c);

/** Returns true if no commit or unanswered request is pending, so that a
 * leaving node may stop. */
bool claims_is_idle(const struct claims *c);
void claims_write_metrics(const struct claims *c, struct buf *out);

#endif
