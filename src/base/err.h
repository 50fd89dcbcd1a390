/**
 * @file err.h
 * Status codes of internal functions, and the calling thread's last error
 * message. Responses to callers use the error kinds of errkind.h.
 */
#ifndef BASE_ERR_H
#define BASE_ERR_H

#define STATUS_LIST(X)                                                        \
    X(OK, "ok")                                                               \
    X(INVALID, "invalid")                                                     \
    X(NOT_FOUND, "not_found")                                                 \
    X(CONFLICT, "conflict")                                                   \
    X(UNAVAILABLE, "unavailable")                                             \
    X(UNKNOWN_OUTCOME, "unknown_outcome")                                     \
    X(TOO_LARGE, "too_large")                                                 \
    X(IO, "io")                                                               \
    X(INTERNAL, "internal")

enum status {
#define X(id, name) ST_##id,
    STATUS_LIST(X)
#undef X
};

const char *status_name(enum status st);

/** Sets the calling thread's last error message and returns @p st. */
enum status err_set(enum status st, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** Returns the calling thread's last error message; never NULL. */
const char *err_last(void);

#endif
