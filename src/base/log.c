#define G_LOG_DOMAIN "camphorfall"
#include "base/log.h"

#include <glib.h>
#include <inttypes.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static enum log_level min_level = LOG_INFO;
static char node_name[64];

/* Limits the log volume under load: a node of the planned size answers about
 * ten requests a second, with three lines for each. */
#define LINES_PER_S 200
#define LINES_BURST 1000

static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t dropped_lines; /* since the last written line */
static struct {
    int64_t filled_ms;
    int64_t lines;
} rate_bucket = {0, LINES_BURST};

static bool
needs_no_quotes(struct str s)
{
    for (size_t i = 0; i < s.len; i++) {
        unsigned char c = (unsigned char)s.ptr[i];
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c >= 127) {
            return false;
        }
    }
    return s.len > 0;
}

static void
append_quoted(struct buf *out, struct str s)
{
    buf_append(out, "\"", 1);
    for (size_t i = 0; i < s.len; i++) {
        unsigned char c = (unsigned char)s.ptr[i];
        if (c == '"' || c == '\\') {
            buf_printf(out, "\\%c", c);
        }
        else if (c < ' ' || c == 127) {
            buf_printf(out, "\\x%02x", c);
        }
        else {
            buf_append(out, &c, 1);
        }
    }
    buf_append(out, "\"", 1);
}

void
log_format(struct buf *out, const char *event, const struct log_field *fields)
{
    buf_printf(out, "event=%s", event);
    for (const struct log_field *f = fields; f->kind != LOG_FIELD_END; f++) {
        buf_printf(out, " %s=", f->key);
        if (f->kind == LOG_FIELD_INT) {
            buf_printf(out, "%" PRId64, f->i);
        }
        else if (needs_no_quotes(f->s)) {
            buf_append_str(out, f->s);
        }
        else {
            append_quoted(out, f->s);
        }
    }
}

/* Takes one line from the token bucket of the rate limit; returns false if it
 * is empty, and the line must be dropped. */
static bool
take_line(struct timespec now)
{
    int64_t ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    int64_t earned = (ms - rate_bucket.filled_ms) * LINES_PER_S / 1000;
    if (earned > 0 || earned < -LINES_BURST) {
        rate_bucket.lines =
            earned < 0 || rate_bucket.lines + earned > LINES_BURST
                ? LINES_BURST
                : rate_bucket.lines + earned;
        rate_bucket.filled_ms = ms;
    }
    if (rate_bucket.lines <= 0) {
        return false;
    }
    rate_bucket.lines--;
    return true;
}

/* Writes one line unless that would block: a pipe that is ready for writing
 * accepts PIPE_BUF bytes without blocking. */
static bool
write_if_ready(const char *text, size_t len)
{
    struct pollfd p = {STDOUT_FILENO, POLLOUT, 0};
    if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT)) {
        return false;
    }
    return write(STDOUT_FILENO, text, len < PIPE_BUF ? len : PIPE_BUF) > 0;
}

static GLogWriterOutput
write_log_message(GLogLevelFlags flags, const GLogField *fields, gsize n,
                  gpointer data)
{
    (void)flags;
    (void)data;
    for (gsize i = 0; i < n; i++) {
        if (strcmp(fields[i].key, "MESSAGE") != 0) {
            continue;
        }
        struct buf line = {0};
        pthread_mutex_lock(&log_lock);
        if (dropped_lines > 0) {
            buf_printf(&line, "event=log_lines_dropped count=%" PRIu64 "\n",
                       dropped_lines);
        }
        buf_printf(&line, "%s", (const char *)fields[i].value);
        if (line.len >= PIPE_BUF) {
            line.len = PIPE_BUF - 1;
        }
        buf_append(&line, "\n", 1);
        struct timespec now;
        clock_gettime(CLOCK_MONOTONIC, &now);
        if (take_line(now) && write_if_ready(line.ptr, line.len)) {
            dropped_lines = 0;
        }
        else {
            dropped_lines++;
        }
        pthread_mutex_unlock(&log_lock);
        buf_free(&line);
    }
    return G_LOG_WRITER_HANDLED;
}

static __thread const char *last_event;

const char *
log_last_event(void)
{
    return last_event;
}

void
log_init(enum log_level level, struct str node)
{
    min_level = level;
    snprintf(node_name, sizeof(node_name), "%.*s", STR_FMT(node));
    g_log_set_writer_func(write_log_message, NULL, NULL);
}

void
log_write(enum log_level level, const char *event,
          const struct log_field *fields)
{
    static const char *const names[] = {"debug", "info", "warn", "error"};
    static const GLogLevelFlags flags[] = {G_LOG_LEVEL_DEBUG, G_LOG_LEVEL_INFO,
                                           G_LOG_LEVEL_MESSAGE,
                                           G_LOG_LEVEL_WARNING};
    last_event = event;
    if (level < min_level) {
        return;
    }
    struct timespec ts;
    clock_gettime(CLOCK_REALTIME, &ts);
    struct buf line = {0};
    buf_printf(&line, "ts=%lld.%03ld level=%s node=%s ", (long long)ts.tv_sec,
               ts.tv_nsec / 1000000, names[level],
               node_name[0] ? node_name : "-");
    log_format(&line, event, fields);
    g_log_structured(G_LOG_DOMAIN, flags[level], "MESSAGE", "%s", line.ptr);
    buf_free(&line);
}
