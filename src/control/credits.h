/**
 * @file credits.h
 * Credits for cold endpoints: the requesting side, the owning side, and the
 * gossip about which endpoints are cold.
 */
#ifndef CONTROL_CREDITS_H
#define CONTROL_CREDITS_H

#include "control/outbox.h"
#include "control/view.h"

struct credits_options {
    uint64_t node;
    uint64_t incarnation;
    uint64_t seed;
    int threads; /**< number of flow cores of this node */
};

struct credits;

struct credits *credits_new(const struct credits_options *opts);
void credits_free(struct credits *c);

/** Applies the endpoints and settings of a new configuration; the snapshot
 * is borrowed. An endpoint that was not known before is cold. */
void credits_snapshot(struct credits *c, int64_t now_us, const struct view *v,
                      const struct snapshot *s, struct outbox *out);

/** Returns true if the endpoint is cold or unknown to this node. */
bool credits_cold(const struct credits *c, struct str endpoint);

/** Handles ASK_CREDIT, ASK_CREDIT_RELEASE and ASK_COLD from a flow core. */
void credits_ask(struct credits *c, int64_t now_us, const struct view *v,
                 int thread, const struct ask *req, struct outbox *out);

/** Handles MSG_CREDIT* and MSG_COLD. */
void credits_msg(struct credits *c, int64_t now_us, const struct view *v,
                 const struct msg *m, struct outbox *out);

/** Applies one GOSSIP_ENDPOINT. @return true if it was new and must be
 * passed on. Emits CONTROL_ACT_NOTICE on a change. */
bool credits_gossip_in(struct credits *c, int64_t now_us,
                       const struct gossip *g, struct outbox *out);

/** Copies up to @p max endpoint states to gossip, least often sent first.
 * Strings are valid until the next call on this object. */
int credits_gossip_out(struct credits *c, struct gossip *out, int max);

/** Handles due timers. @p majority: contact with a majority of the own
 * region is recent. */
void credits_tick(struct credits *c, int64_t now_us, const struct view *v,
                  bool majority, struct outbox *out);
int64_t credits_wakeup(const struct credits *c);
void credits_metrics(const struct credits *c, struct buf *out);

#endif
