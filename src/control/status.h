/**
 * @file status.h
 * JSON answers to the operator verbs "show" and "status".
 */
#ifndef CONTROL_STATUS_H
#define CONTROL_STATUS_H

#include "control/docs.h"
#include "control/member.h"
#include "model/snapshot.h"

/** Input of the status answer; all pointers are borrowed. */
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
    bool (*is_cold)(void *arg, struct str endpoint);
};

/** Appends {"revision","config"} without token hashes. */
void status_write_config(const struct docs *d, struct buf *out);

/** Appends
 * {"node","ready","leaving","fresh_ms","store_age_ms","revisions","nodes",
 * "zones","pools","open_edits"}; times in ms, null if never. */
void status_write_report(const struct status_input *in, struct buf *out);

#endif
