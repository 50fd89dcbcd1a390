/**
 * @file peers.h
 * The table of members that the membership module keeps, and the view made
 * of it. Internal to member.c.
 */
#ifndef CONTROL_PEERS_H
#define CONTROL_PEERS_H

#include "control/roster.h"
#include "control/view.h"
#include "wire/msg.h"

struct peer {
    uint64_t node;
    uint64_t process;  /**< incarnation of the process heard from */
    uint64_t rank;     /**< incarnation of its membership state; refutation
                            raises it */
    uint64_t recorded; /**< incarnation in the roster */
    struct str name, address, zone, region; /**< owned */
    bool in_roster;
    bool vote;
    enum member_state state;
    int64_t since_us; /**< of the state */
    int64_t heard_us; /**< last message from it */
    int64_t revisions[DOC_COUNT];
};

/** Identity of this node; strings are owned. */
struct peers_self {
    uint64_t node;
    uint64_t process;
    struct str name, address, zone, region;
};

struct peers {
    struct peers_self self;
    int count;
    struct peer *list; /**< roster members in order, then others */
    bool view_changed;
    struct view view;
    struct view_member *view_members;
};

void peers_init(struct peers *p, const struct peers_self *self);
void peers_clear(struct peers *p);
struct peer *peers_find(const struct peers *p, uint64_t node);

/** Adds a node that is known by its address alone. */
void peers_seed(struct peers *p, uint64_t node, struct str address);

/** Replaces the table by the roster; what is known of members that stay is
 * kept. */
void peers_roster(struct peers *p, int64_t now_us, const struct roster *r);
void peers_set_state(struct peers *p, int64_t now_us, struct peer *peer,
                     enum member_state state);
const struct view *peers_view(struct peers *p);

/** As member_confirmed; @p own is this node's revision. */
bool peers_confirmed(const struct peers *p, struct str region,
                     enum doc_kind kind, int64_t revision, int64_t own);

#endif
