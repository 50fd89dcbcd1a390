/**
 * @file suspect.h
 * Strikes of request contents that were running on endpoints when these
 * died. One strike: the request runs alone. Two: it is refused until the
 * hold has passed.
 */
#ifndef FLOW_SUSPECT_H
#define FLOW_SUSPECT_H

#include "base/hash.h"

#define SUSPECT_QUARANTINE 2

struct suspects;

struct suspects *suspects_new(void);
void suspects_free(struct suspects *s);

/** Strikes of a content; 0 if it is not suspect. */
int suspects_get(const struct suspects *s, int64_t now_us, struct digest d);

/** Adds a strike. @return the strikes now held */
int suspects_strike(struct suspects *s, int64_t now_us, struct digest d,
                    int64_t hold_us);

/** Applies a notice: 0 strikes clear, otherwise the higher count holds. */
void suspects_set(struct suspects *s, int64_t now_us, struct digest d,
                  int strikes, int64_t hold_us);
int suspects_count(const struct suspects *s);

#endif
