/**
 * @file timers.h
 * A binary heap of times, each for one attempt. Entries are not removed:
 * the holder of an attempt knows which of its times is valid.
 */
#ifndef CONTROL_TIMERS_H
#define CONTROL_TIMERS_H

#include "model/ask.h"

struct timer {
    int64_t at_us;
    struct attempt_id id;
};

/** Zero-initialized when empty. */
struct timers {
    struct timer *heap;
    size_t count;
    size_t cap;
};

void timers_free(struct timers *t);
void timers_add(struct timers *t, int64_t at_us, const struct attempt_id *id);

/** Takes the earliest time that is due. */
bool timers_pop(struct timers *t, int64_t now_us, struct timer *out);

/** The earliest time; INT64_MAX if there is none. */
int64_t timers_next(const struct timers *t);

#endif
