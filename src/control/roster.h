/**
 * @file roster.h
 * The roster document `cf/roster`, which lists the nodes of the fleet.
 *
 * Shape: {"members":[{"id":"00000000000000a1","name":"n1","address":
 * "tcp://10.0.0.1:7000","zone":"okha","region":"s","incarnation":7,
 * "key":"Z85","vote":true}]}
 *
 * Only members with a vote (voters) count towards majorities. A node joins
 * without a vote unless its region has no voter. Votes are granted and removed
 * one at a time, and only while a majority of the region's voters has the
 * current roster in force, so that majorities of consecutive rosters always
 * intersect.
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

/** Parses the document; empty text gives an empty roster.
 * @return ST_OK or ST_INVALID */
enum status roster_parse(struct str text, struct roster **out);
void roster_free(struct roster *r);
const struct roster_member *roster_find(const struct roster *r, uint64_t node);

/** Number of voters of a region. */
int roster_count_voters(const struct roster *r, struct str region);

/** Appends the document with @p m added or in place of the member with the
 * same id. */
void roster_write_with(const struct roster *r, const struct roster_member *m,
                       struct buf *out);

/** Appends the document without the member. */
void roster_write_without(const struct roster *r, uint64_t node,
                          struct buf *out);

#endif
