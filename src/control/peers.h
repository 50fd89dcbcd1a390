/**
 * @file peers.h
 * The table of members of the membership module, and the view built from the
 * table. Internal to member.c.
 */
#ifndef CONTROL_PEERS_H
#define CONTROL_PEERS_H

#include "control/roster.h"
#include "control/view.h"
#include "wire/msg.h"

struct peer {
    uint64_t node;
    uint64_t process_incarnation; /**< of the newest process that sent a
                                       message */
    uint64_t state_incarnation;   /**< of the membership state; a refutation
                                       raises this number */
    uint64_t roster_incarnation;  /**< recorded in the roster */
    struct str name, address, zone, region; /**< owned */
    bool in_roster;
    bool vote;
    enum member_state state;
    int64_t since_us;        /**< last change of the state */
    int64_t last_message_us; /**< last message from the member */
    int64_t revisions[DOC_COUNT];
};

/** Identity of this node. struct peers owns its copies of the strings. */
struct peers_self {
    uint64_t node;
    uint64_t process_incarnation;
    struct str name, address, zone, region;
};

struct peers {
    struct peers_self self;
    int count;
    struct peer *list; /**< roster members in roster order, then this node or
                            seeds that are not in the roster */
    bool view_changed;
    struct view view;
    struct view_member *view_members;
};

void peers_init(struct peers *p, const struct peers_self *self);
void peers_clear(struct peers *p);
struct peer *peers_find(const struct peers *p, uint64_t node);

/** Adds a node of which only the id and the address are known. */
void peers_add_seed(struct peers *p, uint64_t node, struct str address);

/** Replaces the table by the members of the roster. Keeps the state of members
 * that were in the table before. */
void peers_set_roster(struct peers *p, int64_t now_us, const struct roster *r);
void peers_set_state(struct peers *p, int64_t now_us, struct peer *peer,
                     enum member_state state);
const struct view *peers_view(struct peers *p);

/** Like member_is_confirmed; @p own is this node's revision. */
bool peers_is_confirmed(const struct peers *p, struct str region,
                        enum doc_kind kind, int64_t revision, int64_t own);

#endif
