/**
 * @file oracle.h
 * Checks the invariants of the design by name against what callers,
 * endpoints and operators of a simulated world observe. The only internal
 * state of the product that it reads is the configuration revision of each
 * node and the time until which the node's configuration counts as fresh.
 */
#ifndef BENCH_ORACLE_H
#define BENCH_ORACLE_H

#include "bench/world.h"

#define INVARIANT_LIST(X)                                                     \
    X(RESULT)                                                                 \
    X(COLD)                                                                   \
    X(ZONE_OUT)                                                               \
    X(ANSWER)                                                                 \
    X(NOT_RUN)                                                                \
    X(ONCE)                                                                   \
    X(LEAVING)                                                                \
    X(DRAIN)                                                                  \
    X(CONFIG)

enum invariant {
#define X(id) INVARIANT_##id,
    INVARIANT_LIST(X)
#undef X
        INVARIANT_COUNT
};

const char *invariant_name(enum invariant i);

struct oracle;

/** Creates an oracle that observes @p w, which must outlive it. */
struct oracle *oracle_new(struct world *w);
void oracle_free(struct oracle *o);

/** Records an operator's edit that was just sent. @p zone: the zone that the
 * edit takes out (or brings back, if @p taken_out is false), -1 for other
 * edits. @p path is copied. */
void oracle_record_edit(struct oracle *o, int edit, const char *path, int zone,
                        bool taken_out);

/** Checks all running nodes. The caller calls this every 100 ms of virtual
 * time. */
void oracle_poll(struct oracle *o);

/** Checks all requests and edits after the last event: each request must have
 * ended, each accepted edit must be stored. */
void oracle_check_end(struct oracle *o);

/** @return number of violations of one invariant */
int oracle_violation_count(const struct oracle *o, enum invariant i);

/** @return text of the first violation, NULL if there was none */
const char *oracle_first_violation(const struct oracle *o, enum invariant i);

#endif
