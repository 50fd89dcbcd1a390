/**
 * @file confedit.h
 * State machine for operators' edits of the configuration. It reads the
 * configuration, applies the edit, writes the result by CAS, and waits until a
 * majority of the voters of each region has the change in force.
 *
 * Answers: ERRKIND_NONE {"revision","change"}; CONFLICT {"conflicts"};
 * BAD_REQUEST {"faults"}; NOT_ACCEPTED: the change is not stored and will not
 * be; CHANGE_UNCONFIRMED {"revision","regions"}: the change is stored, but not
 * confirmed in these regions, or {"stored":"unknown"} if the store never
 * reported whether the write took effect.
 */
#ifndef CONTROL_CONFEDIT_H
#define CONTROL_CONFEDIT_H

#include "control/docs.h"
#include "control/member.h"

struct confedit;

struct confedit *confedit_new(uint64_t node, uint64_t seed);
void confedit_free(struct confedit *c);

/** Starts an edit (edit.h), which is answered by CONTROL_ACT_ADMIN at its
 * deadline at the latest. If @p full_document is set, the body contains a
 * whole configuration. */
void confedit_start(struct confedit *c, int64_t now_us, struct docs *d,
                    struct member *m, uint64_t id, bool full_document,
                    struct str body, int64_t deadline_us, struct outbox *out);

/** Handles due timers and received acknowledgements. */
void confedit_tick(struct confedit *c, int64_t now_us, struct docs *d,
                   struct member *m, struct outbox *out);
/** True if @p op is the id of a store operation of this module. */
bool confedit_owns_op(const struct confedit *c, uint64_t op);
void confedit_handle_store_result(struct confedit *c, int64_t now_us,
                                  struct docs *d, struct member *m,
                                  const struct store_result *r,
                                  struct outbox *out);
int64_t confedit_next_wakeup_us(const struct confedit *c);

/** Number of edits that are not yet answered. */
int confedit_open_count(const struct confedit *c);
void confedit_metrics(const struct confedit *c, struct buf *out);

#endif
