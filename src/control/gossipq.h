/**
 * @file gossipq.h
 * Deltas waiting to be piggybacked on probes, each for a limited number of
 * sends. A newer delta about the same subject replaces the older one.
 */
#ifndef CONTROL_GOSSIPQ_H
#define CONTROL_GOSSIPQ_H

#include "wire/msg.h"

struct gossipq;

struct gossipq *gossipq_new(void);
void gossipq_free(struct gossipq *q);

/** Queues a member or suspect delta for @p sends transmissions. */
void gossipq_put(struct gossipq *q, const struct gossip *g, int sends);

/** Takes up to @p max deltas, least-sent first. @return their number */
int gossipq_take(struct gossipq *q, struct gossip *out, int max);
int gossipq_size(const struct gossipq *q);

/** Sends that reach all of @p nodes members with high probability. */
int gossipq_sends(int nodes);

#endif
