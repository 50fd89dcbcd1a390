/**
 * @file blame.h
 * Finds the prompt parts or the request contents that crash endpoints, from
 * the calls that broke when endpoints crashed and from what endpoints have
 * answered. A content counts as a single part. A crash
 * counts against the parts of the calls that were closest to it: those whose
 * response had a head and no body, or else those without a response. An answer
 * clears the crashes before it, so that a part that many requests share is not
 * blamed for the crashes that it happens to be near. Parts that always crash
 * together are blocked together, so that a sound one remains usable without
 * the other. A state machine without I/O; times are in microseconds.
 */
#ifndef FORWARD_BLAME_H
#define FORWARD_BLAME_H

#include "model/part_notice.h"

/** Requests that have all of these parts are refused. */
struct part_block {
    int part_count;
    uint64_t parts[PART_NOTICE_MAX_PARTS];
    int64_t last_us; /**< last crash or start of a trial */
    int trials;      /**< requests let through since it was blocked */
};

struct blame;

/** @param spread in [0, 1): differs between nodes, so that they do not try a
 * blocked part at the same time */
struct blame *blame_new(enum crash_subject subject, double spread);
void blame_free(struct blame *b);

/** Adds a call that broke as its endpoint crashed, with its age from now.
 * @param blocked set to the block that it causes or belongs to; NULL if none
 * @return whether the call was not known yet */
bool blame_add_crash(struct blame *b, int64_t now_us,
                     const struct part_notice *crash,
                     const struct part_block **blocked);

/** Records that an endpoint has begun to answer a request with the part.
 * @return whether the part was suspected, so that other nodes should know */
bool blame_add_answer(struct blame *b, int64_t now_us, int64_t answered_us,
                      uint64_t part);

/** Adds a block of another node. @return whether it was not known yet */
bool blame_add_block(struct blame *b, int64_t now_us,
                     const struct part_notice *notice);

/** Returns the block that applies to a request with these parts, without its
 * own last one; NULL if none does. */
struct part_block *blame_find_block(struct blame *b, const uint64_t *parts,
                                    int count);
/** Removes the blocks that no request has met for half a day. */
void blame_expire_blocks(struct blame *b, int64_t now_us);

/** Returns whether a request may be let through to find out whether the parts
 * still crash endpoints. */
bool blame_is_trial_due(const struct blame *b, int64_t now_us,
                        const struct part_block *block);
void blame_start_trial(struct part_block *block, int64_t now_us);

int blame_block_count(const struct blame *b);
const struct part_block *blame_block(const struct blame *b, int index);

#endif
