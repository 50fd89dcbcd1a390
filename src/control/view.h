/**
 * @file view.h
 * The membership as one node sees it, and rendezvous ownership over it. The
 * membership module owns the view; other modules borrow it for one call.
 */
#ifndef CONTROL_VIEW_H
#define CONTROL_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

struct view_member {
    uint64_t node;
    uint64_t incarnation; /**< 0: not heard from yet */
    struct str name;
    struct str address;
    struct str zone;
    struct str region;
    bool alive;     /**< neither suspect-expired, dead nor left; true for the
                         node itself */
    bool in_roster; /**< recorded in the roster document */
};

struct view {
    uint64_t self;
    uint64_t version; /**< rises with each change of membership or liveness */
    int count;
    const struct view_member *members;
};

/** The member with this id; NULL if there is none. */
const struct view_member *view_find(const struct view *v, uint64_t node);
int view_alive_count(const struct view *v);

/**
 * The alive roster member with the highest rendezvous weight for @p item.
 * @p region restricts the choice; empty: all regions. An alive member of
 * another region is chosen only if the region has none.
 * @return node id, 0 if no member is alive
 */
uint64_t view_owner(const struct view *v, struct str item, struct str region);

/** True if @p node is among the @p n highest weights for @p item. */
bool view_among(const struct view *v, struct str item, int n, uint64_t node);

#endif
