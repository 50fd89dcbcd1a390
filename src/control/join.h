/**
 * @file join.h
 * Changes of the roster by this node, each a single CAS on cf/roster: joining
 * and leaving, and as owner of the roster the removal of members that are
 * dead for 30 s and the granting of votes.
 *
 * Changes of the set of voters are made one at a time, and only after a
 * majority of the region's voters has the current roster in force. So voters
 * that are cut off, for instance with a whole region, are not removed behind
 * their back while they still work by their own majority. A dead voter whose
 * region has no such majority is removed after an hour.
 */
#ifndef CONTROL_JOIN_H
#define CONTROL_JOIN_H

#include "control/docs.h"
#include "control/member.h"

struct join_options {
    struct roster_member self; /**< strings are copied; vote is ignored */
    uint64_t seed;
};

struct join;

struct join *join_new(const struct join_options *opts, int64_t now_us);
void join_free(struct join *j);

/** Begins to leave: this node will be removed from the roster. */
void join_leave(struct join *j, int64_t now_us);

/** True when nothing remains to be done for a leave, or its time is up. */
bool join_left(const struct join *j, const struct docs *d, int64_t now_us);

void join_tick(struct join *j, int64_t now_us, struct docs *d,
               struct member *m, struct outbox *out);
bool join_owns_op(const struct join *j, uint64_t op);
void join_store(struct join *j, int64_t now_us, struct docs *d,
                struct member *m, const struct store_result *r,
                struct outbox *out);
int64_t join_wakeup(const struct join *j);

/** True if the roster in force has this process. */
bool join_done(const struct join *j, const struct docs *d);
void join_metrics(const struct join *j, struct buf *out);

#endif
