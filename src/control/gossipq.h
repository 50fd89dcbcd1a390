/**
 * @file gossipq.h
 * Queue of deltas that probes carry along, each for a limited number of sends.
 * A newer delta about the same subject replaces the older one.
 */
#ifndef CONTROL_GOSSIPQ_H
#define CONTROL_GOSSIPQ_H

#include "wire/msg.h"

struct gossipq;

struct gossipq *gossipq_new(void);
void gossipq_free(struct gossipq *q);

/** Queues a member or suspect delta for @p sends transmissions. */
void gossipq_put(struct gossipq *q, const struct gossip *g, int sends);

/** Copies up to @p max deltas for one send each, those with the most sends
 * left first. Drops deltas without sends left. @return number of deltas */
int gossipq_take(struct gossipq *q, struct gossip *out, int max);
int gossipq_size(const struct gossipq *q);

/** Number of sends with which a delta reaches all of @p nodes members with
 * high probability. */
int gossipq_send_count(int nodes);

#endif
