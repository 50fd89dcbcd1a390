/**
 * @file timers.h
 * Binary heap of timers. A timer refers to its object by id; if the object no
 * longer exists, the timer is ignored when it expires.
 */
#ifndef FLOW_TIMERS_H
#define FLOW_TIMERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum timer_kind {
    TIMER_DEADLINE,      /**< id: req */
    TIMER_RETRY,         /**< id: req */
    TIMER_SILENCE,       /**< id: attempt */
    TIMER_HEDGE,         /**< id: attempt */
    TIMER_CREDIT,        /**< id: credit */
    TIMER_ENDPOINT,      /**< id: hash of the endpoint id */
    TIMER_POOL,          /**< id: hash of the pool name */
    TIMER_START_TIMEOUT, /**< id: req */
    TIMER_STAGE_DUE,     /**< id: req */
    TIMER_FETCH_TIMEOUT, /**< id: call */
};

struct timer {
    int64_t at_us;
    uint64_t id;
    enum timer_kind kind;
};

/** A zero-initialised heap is empty. */
struct timers {
    struct timer *heap;
    size_t count;
    size_t cap;
};

void timers_add(struct timers *t, int64_t at_us, enum timer_kind kind,
                uint64_t id);

/** Removes the earliest timer into @p out if it is due at @p now_us; returns
 * false if none is due. */
bool timers_pop_due(struct timers *t, int64_t now_us, struct timer *out);

/** Returns the time of the earliest timer; INT64_MAX if there is none. */
int64_t timers_next_due_us(const struct timers *t);
void timers_free(struct timers *t);

#endif
