/**
 * @file byte_targets.h
 * One function for each decoder that reads untrusted bytes: the message
 * codec, claim records, settings, configuration, VM list, roster, edits and
 * server-sent events. The test over the committed corpus and the libFuzzer
 * program share them.
 */
#ifndef TESTS_BYTE_TARGETS_H
#define TESTS_BYTE_TARGETS_H

#include "base/str.h"

#define BYTE_TARGET_LIST(X)                                                   \
    X(msg)                                                                    \
    X(claim_record)                                                           \
    X(settings)                                                               \
    X(fleet)                                                                  \
    X(vmlist)                                                                 \
    X(roster)                                                                 \
    X(edit)                                                                   \
    X(sse)                                                                    \
    X(platform_endpoint)                                                      \
    X(platform_routing)                                                       \
    X(platform_reply)                                                         \
    X(platform_headers)

enum byte_target {
#define X(name) BYTE_##name,
    BYTE_TARGET_LIST(X)
#undef X
        BYTE_TARGET_COUNT
};

const char *byte_target_name(enum byte_target t);

/** Decodes one input. It must neither crash nor leak memory, whatever the
 * bytes are. */
void byte_target_run(enum byte_target t, struct str bytes);

#endif
