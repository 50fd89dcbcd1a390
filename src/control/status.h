/**
 * @file status.h
 * Answers to the operator verbs "show" and "status" as JSON.
 */
#ifndef CONTROL_STATUS_H
#define CONTROL_STATUS_H

#include "control/docs.h"
#include "control/member.h"
#include "model/snapshot.h"

/** What the status answer is made of; all borrowed. */
struct status_input {
    int64_t now_us;
    const struct docs *docs;
    struct member *member;
    const struct snapshot *snapshot; /**< NULL before the first */
    int64_t fresh_until_us;
    bool ready;
    bool leaving;
    int open_edits;
    void *arg;
    /** True if the endpoint is cold. */
    bool (*cold)(void *arg, struct str endpoint);
};

/** {"revision","config"} without token hashes. */
void status_show(const struct docs *d, struct buf *out);

/** {"node","ready","leaving","fresh_ms","store_age_ms","revisions","nodes",
 * "zones","pools","open_edits"}; times in ms, null if never. */
void status_report(const struct status_input *in, struct buf *out);

#endif
