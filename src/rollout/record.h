/**
 * @file record.h
 * Orders of the operator, the decision record of a roll-out, and what nodes
 * tell each other of it.
 */
#ifndef ROLLOUT_RECORD_H
#define ROLLOUT_RECORD_H

#include "base/err.h"
#include "base/str.h"
#include "rollout/evidence.h"

/** Longest name of a version or service, with a NUL. */
#define ROLLOUT_NAME_BYTES 64

/** Shares are in millionths. */
#define ROLLOUT_PPM 1000000

enum rollout_phase {
    ROLLOUT_OBSERVE,     /**< the new version gets a share */
    ROLLOUT_MOVE,        /**< it gets all requests; may be taken back */
    ROLLOUT_CLOSE,       /**< as MOVE; nodes without contact stay with it */
    ROLLOUT_COMPLETED,   /**< the old servers may stop */
    ROLLOUT_ROLLED_BACK, /**< the new version gets no request */
    ROLLOUT_PHASE_COUNT
};

/** The operator's order to move a service to a version. */
struct rollout_order {
    uint64_t id; /**< differs for each time that an order was written */
    char target[ROLLOUT_NAME_BYTES];
    int64_t duration_us;
};

/** The decision record, which any node can read to take over. */
struct rollout_record {
    uint64_t order; /**< id of the order that it belongs to */
    int64_t step;   /**< rises with each write, over all orders */
    enum rollout_phase phase;
    int share_ppm;      /**< share of the new version, in millionths */
    int64_t elapsed_us; /**< since the order, when it was written */
    int64_t sent[ROLLOUT_SIDES]; /**< requests by version since the order */
    int64_t failed;              /**< bad responses of the new version */
    char target[ROLLOUT_NAME_BYTES];
    char rejected[ROLLOUT_NAME_BYTES]; /**< another version that is not to be
                                          used; empty: none */
    char decider[ROLLOUT_NAME_BYTES];
    char reason[ROLLOUT_NAME_BYTES];
};

/** Message between a node and the decider. Holds totals, so its loss,
 * repetition and reordering are harmless. */
struct rollout_report {
    uint64_t service;   /**< hash of its name */
    uint64_t order;     /**< id of the order */
    int64_t step;       /**< of the record that the sender acts on */
    bool is_ack;        /**< acknowledgement; has no counts */
    bool stop;          /**< acknowledgement: the new version is bad */
    int64_t longest_us; /**< longest request at an old server */
    struct rollout_counts counts;
};

const char *rollout_phase_name(enum rollout_phase p);
/** Whether the roll-out has neither completed nor been rolled back. */
bool rollout_is_running(const struct rollout_record *r);
/** Returns whether a text can be a version or service in a record: 1 to 63
 * visible ASCII characters without quotes and backslashes. */
bool rollout_is_valid_name(struct str name);
/** Copies a valid name; others become empty. */
void rollout_copy_name(char out[ROLLOUT_NAME_BYTES], struct str name);
/** Appends the text of a record. */
void rollout_record_write(const struct rollout_record *r, struct buf *out);
/** @return ST_INVALID if the text is no record */
enum status rollout_record_read(struct str text, struct rollout_record *out);

#endif
