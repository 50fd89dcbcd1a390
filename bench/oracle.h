/**
 * @file oracle.h
 * Checks the invariants of the design by name against what callers,
 * endpoints and operators of a world see. Knows nothing of the product's
 * inner state but the configuration revision of each node.
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

/** Observes @p w, which must outlive the oracle. */
struct oracle *oracle_new(struct world *w);
void oracle_free(struct oracle *o);

/** Tells of an operator's edit just sent. @p zone: the zone that it takes
 * out (or in, with @p out false), -1 for other edits. @p path is stored. */
void oracle_edit(struct oracle *o, int edit, const char *path, int zone,
                 bool out);

/** To be called every 100 ms of virtual time. */
void oracle_poll(struct oracle *o);

/** After the last event: requests must have ended, edits be in force. */
void oracle_end(struct oracle *o);

/** Violations of one invariant, and the first violation's text; NULL if
 * there was none. */
int oracle_violations(const struct oracle *o, enum invariant i);
const char *oracle_first(const struct oracle *o, enum invariant i);

#endif
