/**
 * @file roster.h
 * The roster document `cf/roster`: which nodes belong to the fleet.
 *
 * Shape: {"members":[{"id":"00000000000000a1","name":"n1","address":
 * "tcp://10.0.0.1:7000","zone":"okha","region":"s","incarnation":7,
 * "key":"Z85","vote":true}]}
 *
 * Majorities are counted over members with a vote. A node joins without one
 * unless its region has no voter. Votes are given and taken one at a time,
 * and only while a majority of the region's voters has the current roster in
 * force, so that majorities of consecutive rosters always intersect.
 */
#ifndef CONTROL_ROSTER_H
#define CONTROL_ROSTER_H

#include <jansson.h>

#include "base/err.h"
#include "base/str.h"

struct roster_member {
    uint64_t node;
    uint64_t incarnation;
    struct str name;
    struct str address;
    struct str zone;
    struct str region;
    struct str key; /**< CURVE public key, Z85; may be empty */
    bool vote;
};

struct roster {
    int count;
    struct roster_member *members;
    json_t *doc; /**< owned; all strings point into it */
};

/** Empty text gives an empty roster. @return ST_OK or ST_INVALID */
enum status roster_parse(struct str text, struct roster **out);
void roster_free(struct roster *r);
const struct roster_member *roster_find(const struct roster *r, uint64_t node);

/** Voters of a region. */
int roster_voters(const struct roster *r, struct str region);

/** Appends the document with @p m added, or replacing the member with its
 * id. */
void roster_with(const struct roster *r, const struct roster_member *m,
                 struct buf *out);

/** Appends the document without the member. */
void roster_without(const struct roster *r, uint64_t node, struct buf *out);

#endif
