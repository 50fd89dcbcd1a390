/**
 * @file claims.h
 * At-most-once claims: the asking side, which finds the bucket owner and
 * repeats requests until they are answered, and the owning side, which
 * group-commits claims into bucket records of the key-value service.
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

/** The resend horizon of the configuration in force. */
void claims_set_horizon(struct claims *c, int64_t horizon_us);

/** From a flow core of this node (thread). */
void claims_ask(struct claims *c, int64_t now_us, const struct view *v,
                int thread, const struct claim_ask *ask, struct outbox *out);

/** MSG_CLAIM and MSG_CLAIM_REPLY. */
void claims_msg(struct claims *c, int64_t now_us, const struct view *v,
                const struct msg *m, struct outbox *out);

/** Result of an operation whose id claims_owns_op accepts. */
void claims_store(struct claims *c, int64_t now_us, const struct view *v,
                  const struct store_result *r, struct outbox *out);
bool claims_owns_op(const struct claims *c, uint64_t op);

/** Timers, and consequences of a changed view. */
void claims_tick(struct claims *c, int64_t now_us, const struct view *v,
                 struct outbox *out);
int64_t claims_wakeup(const struct claims *c);

/** True if no commit is pending: a leaving node may go. */
bool claims_idle(const struct claims *c);
void claims_metrics(const struct claims *c, struct buf *out);

#endif
