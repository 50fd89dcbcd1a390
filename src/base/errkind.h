/**
 * @file errkind.h
 * All error kinds that callers and operators see. Each kind determines the
 * HTTP status, whether a non-repeatable call ran, and whether a retry can
 * help.
 */
#ifndef BASE_ERRKIND_H
#define BASE_ERRKIND_H

#include <stdbool.h>

/** Whether the non-repeatable action of a refused request was performed. */
enum ran {
    RAN_NOT,   /**< no byte of a non-repeatable call was sent */
    RAN_MAYBE, /**< it may have been performed */
    RAN_YES,   /**< it was performed */
};

/* id, name, HTTP status, ran, retry can help, default message */
#define ERRKIND_LIST(X)                                                       \
    X(BAD_REQUEST, "bad_request", 400, RAN_NOT, false, "malformed request")   \
    X(UNAUTHENTICATED, "unauthenticated", 401, RAN_NOT, false,                \
      "missing or wrong credentials")                                         \
    X(FORBIDDEN, "forbidden", 403, RAN_NOT, false, "not allowed")             \
    X(NOT_FOUND, "not_found", 404, RAN_NOT, false, "no such resource")        \
    X(TOO_LARGE, "too_large", 413, RAN_NOT, false, "request too large")       \
    X(SLOW_SENDER, "slow_sender", 408, RAN_NOT, true,                         \
      "request was not received in time")                                     \
    X(KEY_REQUIRED, "key_required", 400, RAN_NOT, false,                      \
      "this pipeline needs an Idempotency-Key")                               \
    X(KEY_REUSED, "key_reused", 422, RAN_NOT, false,                          \
      "Idempotency-Key was used with another body")                           \
    X(QUARANTINED, "quarantined", 422, RAN_NOT, false,                        \
      "this request was running when endpoints crashed")                      \
    X(TEAM_LIMIT, "team_limit", 429, RAN_NOT, true,                           \
      "the team's limit is reached")                                          \
    X(OVERLOADED, "overloaded", 503, RAN_NOT, true, "queue is full")          \
    X(DEADLINE_UNMEETABLE, "deadline_unmeetable", 503, RAN_NOT, true,         \
      "the deadline cannot be met")                                           \
    X(DEADLINE_EXCEEDED, "deadline_exceeded", 504, RAN_NOT, true,             \
      "the deadline passed")                                                  \
    X(NO_ENDPOINT, "no_endpoint", 503, RAN_NOT, true,                         \
      "no endpoint in service")                                               \
    X(NOT_READY, "not_ready", 503, RAN_NOT, true, "the node is not ready")    \
    X(STORE_UNAVAILABLE, "store_unavailable", 503, RAN_NOT, true,             \
      "the key-value service did not answer in time")                         \
    X(UPSTREAM_FAILED, "upstream_failed", 502, RAN_NOT, true,                 \
      "an endpoint failed")                                                   \
    X(UPSTREAM_REJECTED, "upstream_rejected", 502, RAN_NOT, false,            \
      "an endpoint rejected the request")                                     \
    X(CLAIM_UNKNOWN, "claim_unknown", 503, RAN_MAYBE, true,                   \
      "an earlier request with this key could not be looked up")              \
    X(IN_PROGRESS, "in_progress", 409, RAN_MAYBE, true,                       \
      "a request with this key is running")                                   \
    X(OUTCOME_UNKNOWN, "outcome_unknown", 502, RAN_MAYBE, false,              \
      "the action may have been performed")                                   \
    X(ACTION_DONE, "action_done", 502, RAN_YES, true,                         \
      "the action was performed, a later stage failed")                       \
    X(ANSWER_NOT_KEPT, "answer_not_kept", 409, RAN_YES, false,                \
      "the action was performed, its answer was not kept")                    \
    X(INTERNAL, "internal", 500, RAN_MAYBE, false, "internal error")          \
    X(CONFLICT, "conflict", 409, RAN_NOT, false,                              \
      "the setting was changed by somebody else")                             \
    X(NOT_ACCEPTED, "not_accepted", 503, RAN_NOT, true,                       \
      "the change was not stored")                                            \
    X(CHANGE_UNCONFIRMED, "change_unconfirmed", 504, RAN_MAYBE, true,         \
      "the change is not confirmed to be in force")

enum errkind {
    ERRKIND_NONE,
#define X(id, name, status, ran, retry, msg) ERRKIND_##id,
    ERRKIND_LIST(X)
#undef X
        ERRKIND_COUNT
};

/** Response properties of an error kind. */
struct errkind_info {
    const char *name;
    int http_status;
    enum ran ran;
    bool retry; /**< a retry can help */
    const char *message;
};

/** Returns the properties of a kind; ERRKIND_NONE has the name "none" and
 * status 200. */
const struct errkind_info *errkind_info(enum errkind kind);

/** Returns the name of @p ran in responses. */
const char *ran_name(enum ran ran);

#endif
