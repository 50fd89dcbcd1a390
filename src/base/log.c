#define G_LOG_DOMAIN "camphorfall"
#include "base/log.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static enum log_level lowest = LOG_INFO;
static char node_name[64];

static bool
plain(struct str s)
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
quoted(struct buf *out, struct str s)
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
        else if (plain(f->s)) {
            buf_append_str(out, f->s);
        }
        else {
            quoted(out, f->s);
        }
    }
}

static GLogWriterOutput
writer(GLogLevelFlags flags, const GLogField *fields, gsize n, gpointer data)
{
    (void)flags;
    (void)data;
    for (gsize i = 0; i < n; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            fprintf(stderr, "%s\n", (const char *)fields[i].value);
        }
    }
    return G_LOG_WRITER_HANDLED;
}

void
log_init(enum log_level level, struct str node)
{
    lowest = level;
    snprintf(node_name, sizeof(node_name), "%.*s", STR_FMT(node));
    g_log_set_writer_func(writer, NULL, NULL);
}

void
log_write(enum log_level level, const char *event,
          const struct log_field *fields)
{
    static const char *const names[] = {"debug", "info", "warn", "error"};
    static const GLogLevelFlags flags[] = {G_LOG_LEVEL_DEBUG, G_LOG_LEVEL_INFO,
                                           G_LOG_LEVEL_MESSAGE,
                                           G_LOG_LEVEL_WARNING};
    if (level < lowest) {
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
