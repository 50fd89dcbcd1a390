/**
 * @file fuzz.h
 * Runs seeded sequences of requests and faults in a simulated world, checks
 * them with the oracle, reduces failing sequences and counts which pairs of
 * faults overlapped.
 */
#ifndef BENCH_FUZZ_H
#define BENCH_FUZZ_H

#include "bench/oracle.h"

/* id, name */
#define FAULT_LIST(X)                                                         \
    X(STAGE_SLOW, "stage_slow")                                               \
    X(ENDPOINT_DEATH, "endpoint_death")                                       \
    X(BURST, "burst")                                                         \
    X(NODE_DEATH, "node_death")                                               \
    X(COLD_TURN, "cold_turn")                                                 \
    X(STORE_OUTAGE, "store_outage")                                           \
    X(STORE_SLOW, "store_slow")                                               \
    X(STORE_LOST_ANSWERS, "store_lost_answers")                               \
    X(NODE_PAUSE, "node_pause")                                               \
    X(OPERATOR_RACE, "operator_race")                                         \
    X(CRASH_REQUEST, "crash_request")                                         \
    X(SILENT_CONNECTION, "silent_connection")                                 \
    X(ZONE_CHANGE, "zone_change")                                             \
    X(VM_LEAVING, "vm_leaving")                                               \
    X(NODE_DRAIN, "node_drain")                                               \
    X(LINK_CUT, "link_cut")                                                   \
    X(MESSAGE_LOSS, "message_loss")                                           \
    X(BAD_ANSWERS, "bad_answers")                                             \
    X(NODE_STORE_CUT, "node_store_cut")

enum fault {
#define X(id, name) FAULT_##id,
    FAULT_LIST(X)
#undef X
        FAULT_COUNT
};

#define FAULT_PAIR_COUNT (FAULT_COUNT * (FAULT_COUNT + 1) / 2)
#define FUZZ_MAX_FAULTS 64

/** One fault of a plan. */
struct fuzz_fault {
    enum fault kind;
    int64_t start_us; /**< counted from the start of the run */
    int64_t duration_us;
    uint64_t selector; /**< selects the node, endpoint or zone */
};

struct fuzz_plan {
    uint64_t seed;
    enum world_mutation mutation;
    int count;
    struct fuzz_fault faults[FUZZ_MAX_FAULTS];
};

struct fuzz_result {
    int violations[INVARIANT_COUNT];
    char first_violation[INVARIANT_COUNT][256];
    int requests;
    int answered;
    int late_answered; /**< answered ones of late_requests */
    int late_requests; /**< sent 4 s or more after the end of all faults */
};

const char *fault_name(enum fault f);
/** @return FAULT_COUNT if there is no fault of this name */
enum fault fault_by_name(const char *name);

/** Generates the plan of a seed: the two faults of pair number
 * seed % FAULT_PAIR_COUNT overlap, and up to three random faults are added. */
void fuzz_generate_plan(uint64_t seed, struct fuzz_plan *p);

/** Runs a plan. @return true if no invariant was violated */
bool fuzz_run_plan(const struct fuzz_plan *p, struct fuzz_result *out);

/** Removes each fault without which invariant @p i is still violated. */
void fuzz_shrink_plan(struct fuzz_plan *p, enum invariant i);

/** Prints the plan and its violations to stdout. */
void fuzz_print_failure(const struct fuzz_plan *p,
                        const struct fuzz_result *r);

/** Adds the pairs of faults that overlap in a plan to @p matrix; the smaller
 * fault number is the row. */
void fuzz_count_pairs(const struct fuzz_plan *p,
                      int matrix[FAULT_COUNT][FAULT_COUNT]);

#endif
