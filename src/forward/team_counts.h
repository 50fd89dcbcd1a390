/**
 * @file team_counts.h
 * Counts of requests by team for the metrics. Memory and output are bounded.
 */
#ifndef FORWARD_TEAM_COUNTS_H
#define FORWARD_TEAM_COUNTS_H

#include <stdint.h>

#include "base/str.h"

/** Teams that are counted; further ones are counted together. */
#define TEAM_COUNTS_MAX_TEAMS 512
/** Teams in the metrics: those with the most refusals and then sends. */
#define TEAM_COUNTS_MAX_SHOWN 20

enum team_count { TEAM_SENT, TEAM_REFUSED, TEAM_COUNT_COUNT };

struct team_counts;

struct team_counts *team_counts_new(void);
/** @param t may be NULL */
void team_counts_free(struct team_counts *t);
/** @param team hash of the name; 0: no team, which is not counted */
void team_counts_add(struct team_counts *t, uint64_t team, struct str name,
                     enum team_count what);
/** Appends the metrics in text format. */
void team_counts_metrics(const struct team_counts *t, struct buf *out);

#endif
