/**
 * @file attempt_timers.h
 * A binary heap of times, each for one attempt. Entries cannot be removed
 * early: the caller stores the valid time of each attempt and ignores the
 * others.
 */
#ifndef CONTROL_ATTEMPT_TIMERS_H
#define CONTROL_ATTEMPT_TIMERS_H

#include "model/control_request.h"

struct attempt_timer {
    int64_t at_us;
    struct attempt_id id;
};

/** Zero-initialized when empty. */
struct attempt_timers {
    struct attempt_timer *heap;
    size_t count;
    size_t cap;
};

void attempt_timers_free(struct attempt_timers *t);
void attempt_timers_add(struct attempt_timers *t, int64_t at_us,
                        const struct attempt_id *id);

/** Removes the earliest entry if it is due. @return false if none is due */
bool attempt_timers_pop(struct attempt_timers *t, int64_t now_us,
                        struct attempt_timer *out);

/** Returns the earliest time; INT64_MAX if there is none. */
int64_t attempt_timers_next(const struct attempt_timers *t);

#endif
