/**
 * @file gateway_rollout.h
 * Connects the roll-outs of this node to the feed, the store, the traffic
 * thread and other nodes. Runs in the control thread.
 */
#ifndef DAEMON_GATEWAY_ROLLOUT_H
#define DAEMON_GATEWAY_ROLLOUT_H

#include "control/feed.h"
#include "daemon/bridge.h"
#include "platform/store.h"
#include "settings/gateway_settings.h"
#include "wire/msg.h"

struct gateway_rollout;

struct gateway_rollout *
gateway_rollout_new(const struct gateway_settings *settings);
void gateway_rollout_free(struct gateway_rollout *g);
void gateway_rollout_set_settings(struct gateway_rollout *g,
                                  const struct gateway_settings *settings);
/** Takes a reference of @p view. */
void gateway_rollout_set_view(struct gateway_rollout *g,
                              struct cluster_view *view);
/** Handles the counts of the traffic thread. */
void gateway_rollout_set_counts(struct gateway_rollout *g,
                                const struct rollout_report *own);
/** Handles a message of another node. */
void gateway_rollout_handle_message(struct gateway_rollout *g, int64_t now_us,
                                    uint64_t from,
                                    const struct rollout_report *m);
/** Handles the result of a write. @return false if it is not of a roll-out */
bool gateway_rollout_handle_result(struct gateway_rollout *g, int64_t now_us,
                                   const struct kv_result *r);
/** Takes the changes of the feed, decides, and starts writes and messages.
 * @param send sends a message to a node, with @p ctx */
void gateway_rollout_run(
    struct gateway_rollout *g, int64_t now_us, struct feed *feed,
    struct platform_store *store, struct bridge *to_traffic,
    void (*send)(void *ctx, uint64_t node, const struct msg *m), void *ctx);
int64_t gateway_rollout_next_wakeup_us(const struct gateway_rollout *g);
/** Appends all roll-outs as JSON, see rollout_show. */
void gateway_rollout_show(const struct gateway_rollout *g, int64_t now_us,
                          struct buf *out);
void gateway_rollout_metrics(const struct gateway_rollout *g, int64_t now_us,
                             struct buf *out);

#endif
