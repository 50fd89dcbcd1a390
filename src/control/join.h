/**
 * @file join.h
 * Changes of the roster by this node, each a single CAS on cf/roster. The node
 * adds itself when it joins and removes itself when it leaves. The owner of
 * the roster also removes members that are dead for 30 s and grants votes.
 *
 * Changes of the set of voters are made one at a time, and only after a
 * majority of the region's voters has the current roster in force. So voters
 * that are partitioned from the others, for instance with a whole region, are
 * not removed while they still work with their own majority. A dead voter
 * whose region has no such majority is removed after an hour.
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

/** Starts to remove this node from the roster. */
void join_start_leave(struct join *j, int64_t now_us);

/** True when a leave was started and this node is no longer in the roster or
 * the leave has timed out. */
bool join_is_leave_done(const struct join *j, const struct docs *d,
                        int64_t now_us);

void join_tick(struct join *j, int64_t now_us, struct docs *d,
               struct member *m, struct outbox *out);
/** True if @p op is the id of a store operation of this module. */
bool join_owns_op(const struct join *j, uint64_t op);
void join_handle_store_result(struct join *j, int64_t now_us, struct docs *d,
                              struct member *m, const struct store_result *r,
                              struct outbox *out);
int64_t join_next_wakeup_us(const struct join *j);

/** True if the roster in force contains this process. */
bool join_is_in_roster(const struct join *j, const struct docs *d);
void join_metrics(const struct join *j, struct buf *out);

#endif
