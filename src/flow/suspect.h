/**
 * @file suspect.h
 * Counts strikes of request contents that were running on endpoints when these
 * died. A request with one strike runs alone on an endpoint. A request with
 * two strikes is refused until the hold time has passed.
 */
#ifndef FLOW_SUSPECT_H
#define FLOW_SUSPECT_H

#include "base/hash.h"

/** Strikes from which a request is refused. */
#define SUSPECT_QUARANTINE_STRIKES 2

struct suspects;

struct suspects *suspects_new(void);
void suspects_free(struct suspects *s);

/** Returns the strikes of a content; 0 if it is not suspect. */
int suspects_strikes(const struct suspects *s, int64_t now_us,
                     struct digest d);

/** Adds a strike, which is held for @p hold_us, and returns the new count. */
int suspects_add_strike(struct suspects *s, int64_t now_us, struct digest d,
                        int64_t hold_us);

/** Applies a notice: 0 strikes remove the content; otherwise the higher of the
 * old and new counts is kept. */
void suspects_apply_notice(struct suspects *s, int64_t now_us, struct digest d,
                           int strikes, int64_t hold_us);
int suspects_count(const struct suspects *s);

#endif
