/**
 * @file view.h
 * The members that one node knows, and the assignment of owners among these by
 * rendezvous hashing. The membership module owns the view; other modules
 * borrow it for one call.
 */
#ifndef CONTROL_VIEW_H
#define CONTROL_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

struct view_member {
    uint64_t node;
    uint64_t incarnation; /**< 0: no message received yet */
    struct str name;
    struct str address;
    struct str zone;
    struct str region;
    bool alive;     /**< neither dead nor left (a suspect member is alive until
                         its timeout); true for the node itself */
    bool in_roster; /**< recorded in the roster document */
};

struct view {
    uint64_t self;
    uint64_t version; /**< increases with each change of membership or
                           liveness */
    int count;
    const struct view_member *members;
};

/** Finds the member with this id; NULL if there is none. */
const struct view_member *view_find(const struct view *v, uint64_t node);
int view_alive_count(const struct view *v);

/**
 * Finds the alive roster member with the highest rendezvous weight for
 * @p item among the members of @p region (empty: all regions). Chooses an
 * alive member of another region only if @p region has none.
 * @return node id, 0 if no member is alive
 */
uint64_t view_owner(const struct view *v, struct str item, struct str region);

/** True if the weight of @p node is among the @p n highest for @p item. */
bool view_is_in_top(const struct view *v, struct str item, int n,
                    uint64_t node);

#endif
