/**
 * @file log.h
 * Structured logs through GLib: one line of key=value pairs for each event,
 * on standard output. Writing never blocks: lines above a rate limit, and
 * lines for which the output has no space, are dropped, and their number is
 * logged with the next line that is written.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdint.h>

#include "base/str.h"

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

enum log_field_kind { LOG_FIELD_END, LOG_FIELD_STR, LOG_FIELD_INT };

struct log_field {
    enum log_field_kind kind;
    const char *key;
    struct str s;
    int64_t i;
};

#define LOG_STR(key, str)                                                     \
    {                                                                         \
        LOG_FIELD_STR, (key), (str), 0                                        \
    }
#define LOG_CSTR(key, cstr)                                                   \
    {                                                                         \
        LOG_FIELD_STR, (key), str_from_cstr(cstr), 0                          \
    }
#define LOG_INT(key, n)                                                       \
    {                                                                         \
        LOG_FIELD_INT, (key), {0}, (int64_t)(n)                               \
    }

/**
 * Writes one line, for example
 * LOG_EVENT(LOG_INFO, "zone_out", LOG_STR("zone", z), LOG_INT("version", v)).
 */
#define LOG_EVENT(level, event, ...)                                          \
    log_write((level), (event),                                               \
              (struct log_field[]){__VA_ARGS__ __VA_OPT__(, ){0}})

void log_write(enum log_level level, const char *event,
               const struct log_field *fields);

/** Returns the name of the calling thread's newest event, written or not; NULL
 * if there is none. */
const char *log_last_event(void);

/** Sets the lowest level that is written and the node name of each line. */
void log_init(enum log_level min_level, struct str node);

/** Appends fields as key=value text; values are quoted where needed. */
void log_format(struct buf *out, const char *event,
                const struct log_field *fields);

#endif
