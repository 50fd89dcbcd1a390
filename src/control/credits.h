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
void credits_apply_snapshot(struct credits *c, int64_t now_us,
                            const struct view *v, const struct snapshot *s,
                            struct outbox *out);

/** Returns true if the endpoint is cold or unknown to this node. */
bool credits_endpoint_is_cold(const struct credits *c, struct str endpoint);

/** Handles CONTROL_REQUEST_CREDIT, CONTROL_REQUEST_CREDIT_RELEASE and
 * CONTROL_REQUEST_COLD from a flow core. */
void credits_handle_request(struct credits *c, int64_t now_us,
                            const struct view *v, int thread,
                            const struct control_request *req,
                            struct outbox *out);

/** Handles MSG_CREDIT* and MSG_COLD. */
void credits_handle_message(struct credits *c, int64_t now_us,
                            const struct view *v, const struct msg *m,
                            struct outbox *out);

/** Applies one GOSSIP_ENDPOINT. @return true if it was new and must be
 * passed on. Emits CONTROL_ACT_NOTIFY_ALL on a change. */
bool credits_apply_gossip(struct credits *c, int64_t now_us,
                          const struct gossip *g, struct outbox *out);

/** Copies up to @p max endpoint states to gossip, least often sent first.
 * Strings are valid until the next call on this object. */
int credits_collect_gossip(struct credits *c, struct gossip *out, int max);

/** Handles due timers. @p majority: contact with a majority of the own
 * region is recent. */
void credits_tick(struct credits *c, int64_t now_us, const struct view *v,
                  bool majority, struct outbox *out);
int64_t credits_next_wakeup_us(const struct credits *c);
void credits_write_metrics(const struct credits *c, struct buf *out);

#endif
