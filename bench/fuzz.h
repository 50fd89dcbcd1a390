/**
 * @file fuzz.h
 * Seeded sequences of requests and faults over the world, checked by the
 * oracle; shrinking of failing sequences; the matrix of fault pairs.
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

#define FAULT_PAIRS (FAULT_COUNT * (FAULT_COUNT + 1) / 2)
#define FUZZ_MAX_STEPS 64

/** One fault of a sequence. */
struct fuzz_step {
    enum fault fault;
    int64_t at_us; /**< after the start */
    int64_t for_us;
    uint64_t pick; /**< which node, endpoint, zone */
};

struct fuzz_plan {
    uint64_t seed;
    enum world_mutation mutation;
    int count;
    struct fuzz_step steps[FUZZ_MAX_STEPS];
};

struct fuzz_result {
    int violations[INVARIANT_COUNT];
    char first[INVARIANT_COUNT][256];
    int requests;
    int answered;
    int late_answered; /**< of those sent after all faults ended */
    int late_requests;
};

const char *fault_name(enum fault f);
enum fault fault_find(const char *name);

/** The plan of a seed: pair number seed % FAULT_PAIRS overlaps, and a few
 * more faults are drawn. */
void fuzz_plan(uint64_t seed, struct fuzz_plan *p);

/** Runs a plan. @return true if no invariant was violated */
bool fuzz_run(const struct fuzz_plan *p, struct fuzz_result *out);

/** Removes steps as long as the same invariant is still violated. */
void fuzz_shrink(struct fuzz_plan *p, enum invariant i);
void fuzz_print(const struct fuzz_plan *p, const struct fuzz_result *r);

/** Counts the pairs of faults that overlap in a plan. */
void fuzz_pairs(const struct fuzz_plan *p,
                int matrix[FAULT_COUNT][FAULT_COUNT]);

#endif
