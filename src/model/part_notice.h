/**
 * @file part_notice.h
 * Messages between nodes about prompt parts and request contents that crash
 * endpoints. A content counts as a single part. Lost, repeated and reordered
 * messages are harmless: evidence is kept for each endpoint and time, answers
 * only by their latest time, and blocks are sent again while they last.
 */
#ifndef MODEL_PART_NOTICE_H
#define MODEL_PART_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of parts in a notice; that of a prompt. */
#define PART_NOTICE_MAX_PARTS 24

/** What is blamed for a crash. */
enum crash_subject {
    CRASH_OF_PARTS,   /**< prompt parts, whatever else the request holds */
    CRASH_OF_CONTENT, /**< a whole request: route, caller, target and body */
    CRASH_SUBJECT_COUNT
};

struct part_notice {
    enum part_notice_kind {
        PART_CRASHED,  /**< a call with these parts broke as its endpoint
                          crashed */
        PART_ANSWERED, /**< an endpoint answered a request with the part */
        PART_BLOCKED,  /**< requests with all of these parts are refused */
        PART_NOTICE_KIND_COUNT
    } kind;
    int64_t age_us;    /**< time since the crash, the answer, or the last crash
                          or trial of the blocked parts */
    uint64_t endpoint; /**< PART_CRASHED: hash of its id */
    bool head_sent;    /**< PART_CRASHED: the response head had been sent, or,
                          of a content, it had broken an earlier call */
    int trials;        /**< PART_BLOCKED: requests let through since */
    int part_count;
    uint64_t parts[PART_NOTICE_MAX_PARTS];
    enum crash_subject subject;
};

#endif
