/**
 * @file strikes.h
 * Strikes against request contents that were running when endpoints died,
 * exchanged between nodes by gossip. Higher counts replace lower ones; a
 * cleared content ignores late copies of the strikes that were cleared.
 */
#ifndef CONTROL_STRIKES_H
#define CONTROL_STRIKES_H

#include "model/control_request.h"

struct strikes;

struct strikes *strikes_new(void);
void strikes_free(struct strikes *s);

/** Applies a notice. @return true if it was new and must be passed on */
bool strikes_apply(struct strikes *s, int64_t now_us,
                   const struct suspect_notice *n);
int strikes_content_count(const struct strikes *s);

#endif
