/**
 * @file strikes.h
 * Strikes against request contents that were running when endpoints died, as
 * gossip between nodes. Higher counts win; a cleared content ignores late
 * copies of the strikes that were cleared.
 */
#ifndef CONTROL_STRIKES_H
#define CONTROL_STRIKES_H

#include "model/ask.h"

struct strikes;

struct strikes *strikes_new(void);
void strikes_free(struct strikes *s);

/** Applies a notice. @return true if it was news, to be passed on */
bool strikes_apply(struct strikes *s, int64_t now_us,
                   const struct suspect_notice *n);
int strikes_count(const struct strikes *s);

#endif
