/**
 * @file confedit.h
 * Operators' edits of the configuration as a state machine: read, apply,
 * write by CAS, and wait until a majority of the voters of each region has
 * the change in force.
 *
 * Answers: ERRKIND_NONE {"revision","change"}; CONFLICT {"conflicts"};
 * BAD_REQUEST {"faults"}; NOT_ACCEPTED: certain that nothing is stored and
 * nothing will be; CHANGE_UNCONFIRMED {"revision","regions"}: stored, but not
 * confirmed in these regions, or {"stored":"unknown"} when no answer of the
 * store told whether the write took effect.
 */
#ifndef CONTROL_CONFEDIT_H
#define CONTROL_CONFEDIT_H

#include "control/docs.h"
#include "control/member.h"

struct confedit;

struct confedit *confedit_new(uint64_t node, uint64_t seed);
void confedit_free(struct confedit *c);

/** Begins an edit (edit.h); it is answered by CONTROL_ACT_ADMIN at its
 * deadline at the latest. @p whole: the body holds a whole configuration. */
void confedit_begin(struct confedit *c, int64_t now_us, struct docs *d,
                    struct member *m, uint64_t id, bool whole, struct str body,
                    int64_t deadline_us, struct outbox *out);

/** Timers, and consequences of acknowledgements. */
void confedit_tick(struct confedit *c, int64_t now_us, struct docs *d,
                   struct member *m, struct outbox *out);
bool confedit_owns_op(const struct confedit *c, uint64_t op);
void confedit_store(struct confedit *c, int64_t now_us, struct docs *d,
                    struct member *m, const struct store_result *r,
                    struct outbox *out);
int64_t confedit_wakeup(const struct confedit *c);

/** Edits not yet answered. */
int confedit_open(const struct confedit *c);
void confedit_metrics(const struct confedit *c, struct buf *out);

#endif
