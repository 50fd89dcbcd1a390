/**
 * @file return_slots.h
 * When refused callers should return, and which requests are such returns.
 *
 * Each node gives times within its part of the room, which is what the service
 * takes from it per second: they are spread over the time in which the caller
 * heeds them, and urgent ranks and callers that were refused before get the
 * earlier ones. Other nodes learn of them by notices at a bounded rate. All
 * state is bounded and lost with the process; a loss costs only preferences.
 * Made for tens of refusals per second and node. Does no I/O. Times are in
 * microseconds of one clock.
 */
#ifndef FORWARD_RETURN_SLOTS_H
#define FORWARD_RETURN_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

#include "model/return_notice.h"

/** Expected returns that are remembered; of more, the oldest is forgotten. */
#define RETURN_SLOTS_MAX_EXPECTED 4096
/** A caller that returns later than this after its time counts as new. */
#define RETURN_LATE_US 1000000
/** A caller may return this much earlier: the time told has whole ms. */
#define RETURN_EARLY_US 2000
/** Time over which the room is measured. */
#define RETURN_ROOM_US 2000000

struct return_slots;

struct return_slots *return_slots_new(void);
/** @param s may be NULL */
void return_slots_free(struct return_slots *s);

/** A refused request. */
struct return_query {
    uint64_t service;     /**< hash of the name of what has no room */
    uint64_t content;     /**< digest of the request */
    int rank;             /**< 0: most urgent */
    int64_t waited_us;    /**< since its first attempt */
    bool returning;       /**< it was refused before and came in its time */
    int64_t earliest_us;  /**< time until there may be room */
    int64_t remaining_us; /**< time that the caller has left */
};

struct return_plan {
    int64_t delay_us;
    bool promised; /**< the caller is preferred if it returns then; otherwise
                      more callers were told to return than there is room */
};

/** Records that the service has taken a request of this node: its part of the
 * room is what was taken in the last RETURN_ROOM_US. */
void return_slots_record_taken(struct return_slots *s, uint64_t service,
                               int64_t now_us);

/** Chooses when a refused caller should return, and, with a promise, expects
 * it and puts it into the next notice. */
struct return_plan return_slots_plan(struct return_slots *s,
                                     const struct return_query *q,
                                     int64_t now_us);

/** Returns the number of promised returns to a service from now on to
 * @p until_us, absolute. */
int return_slots_promised(const struct return_slots *s, uint64_t service,
                          int64_t until_us, int64_t now_us);

/** What an arriving request is. */
enum return_kind {
    RETURN_NONE,    /**< new, or nothing is known of it */
    RETURN_EARLY,   /**< it was told to return later; treated as new */
    RETURN_IN_TIME, /**< it returns as told; no longer expected afterwards */
};

/** @param first_us set for RETURN_IN_TIME: time of its first attempt */
enum return_kind return_slots_arrive(struct return_slots *s, uint64_t content,
                                     int64_t now_us, int64_t *first_us);

/** Expects the returns that another node reports. */
void return_slots_handle_notice(struct return_slots *s,
                                const struct return_notice *n, int64_t now_us);

/** Fills in the next notice. @return false if none is due */
bool return_slots_next_notice(struct return_slots *s, int64_t now_us,
                              struct return_notice *out);
/** Returns when the next notice is due; INT64_MAX: there is none. */
int64_t return_slots_notice_due_us(const struct return_slots *s);

/** Returns the number of expected returns. */
int return_slots_expected_count(const struct return_slots *s);

#endif
