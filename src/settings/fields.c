#include "settings/fields.h"

#include <inttypes.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "settings/toml.h"

/* The fields and other known keys of one kind of settings file. */
struct field_table {
    const struct settings_field *fields;
    size_t count;
    const char *const *other_keys;
};

void
settings_report_error(struct settings_report *c, const char *key,
                      const char *fmt, ...)
{
    char detail[256];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(detail, sizeof(detail), fmt, ap);
    va_end(ap);
    buf_printf(c->errors, "%s: %s: %s\n", c->path, key, detail);
    c->error_count++;
}

struct str
settings_json_text(const json_t *v)
{
    return str_from_bytes(json_string_value(v), json_string_length(v));
}

static bool
is_known_table(const struct field_table *t, const char *name)
{
    for (size_t i = 0; i < t->count; i++) {
        if (strcmp(t->fields[i].table, name) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_known_key(const struct field_table *t, const char *table, const char *key)
{
    char name[256];
    snprintf(name, sizeof(name), "%s.%s", table, key);
    for (size_t i = 0; i < t->count; i++) {
        if (strcmp(t->fields[i].table, table) == 0 &&
            strcmp(t->fields[i].key, key) == 0) {
            return true;
        }
    }
    for (size_t i = 0; t->other_keys[i]; i++) {
        if (strcmp(t->other_keys[i], name) == 0) {
            return true;
        }
    }
    return false;
}

static void
report_unknown_names(struct settings_report *c, const struct field_table *t,
                     json_t *doc)
{
    const char *table;
    const char *key;
    json_t *obj;
    json_t *v;
    json_object_foreach(doc, table, obj)
    {
        if (!is_known_table(t, table)) {
            settings_report_error(c, table, "unknown table");
            continue;
        }
        if (!json_is_object(obj)) {
            settings_report_error(c, table, "must be a table");
            continue;
        }
        json_object_foreach(obj, key, v)
        {
            if (!is_known_key(t, table, key)) {
                char name[256];
                snprintf(name, sizeof(name), "%s.%s", table, key);
                settings_report_error(c, name, "unknown key");
            }
        }
    }
}

static void
read_text(struct settings_report *c, const struct settings_field *f,
          const char *name, const json_t *v, struct str *out)
{
    struct str s = str_from_cstr(f->default_text);
    if (!v && !f->default_text) {
        settings_report_error(c, name, "must be given");
    }
    else if (v && !json_is_string(v)) {
        settings_report_error(c, name, "must be a string");
    }
    else if (v) {
        s = settings_json_text(v);
        if ((int64_t)s.len < f->min || (int64_t)s.len > f->max ||
            memchr(s.ptr, 0, s.len)) {
            settings_report_error(c, name,
                                  "must have %" PRId64 " to %" PRId64
                                  " bytes, without NUL",
                                  f->min, f->max);
            s = str_from_cstr(f->default_text);
        }
    }
    *out = str_dup(s);
}

static int64_t
read_int(struct settings_report *c, const struct settings_field *f,
         const char *name, const json_t *v)
{
    if (!v) {
        return f->default_number;
    }
    if (!json_is_integer(v)) {
        settings_report_error(c, name, "must be an integer");
        return f->default_number;
    }
    int64_t n = json_integer_value(v);
    if (n < f->min || n > f->max) {
        settings_report_error(c, name, "must be from %" PRId64 " to %" PRId64,
                              f->min, f->max);
        return f->default_number;
    }
    return n;
}

static double
read_real(struct settings_report *c, const struct settings_field *f,
          const char *name, const json_t *v)
{
    if (v && !json_is_number(v)) {
        settings_report_error(c, name, "must be a number");
    }
    else if (v) {
        double n = json_number_value(v);
        if (n >= (double)f->min && n <= (double)f->max) {
            return n;
        }
        settings_report_error(c, name, "must be from %" PRId64 " to %" PRId64,
                              f->min, f->max);
    }
    return (double)f->default_number / 1000;
}

/* Returns the number in units of 1/@p unit, rounded down. */
static int
read_rounded_down(struct settings_report *c, const struct settings_field *f,
                  const char *name, const json_t *v, int unit)
{
    double n = json_is_number(v) ? floor(json_number_value(v) * unit) : 0;
    if (!v) {
        return (int)f->default_number;
    }
    if (!json_is_number(v)) {
        settings_report_error(c, name, "must be a number");
    }
    else if (!(n >= (double)f->min && n <= (double)f->max)) {
        settings_report_error(c, name, "must be from %g to %g",
                              (double)f->min / unit, (double)f->max / unit);
    }
    else {
        return (int)n;
    }
    return (int)f->default_number;
}

static void
read_value(struct settings_report *c, const struct settings_field *f,
           json_t *doc, void *out)
{
    char name[128];
    snprintf(name, sizeof(name), "%s.%s", f->table, f->key);
    json_t *v = json_object_get(json_object_get(doc, f->table), f->key);
    void *at = (char *)out + f->offset;
    switch (f->kind) {
    case FIELD_TEXT:
        read_text(c, f, name, v, at);
        break;
    case FIELD_INT:
        *(int *)at = (int)read_int(c, f, name, v);
        break;
    case FIELD_SEED:
        *(uint64_t *)at = (uint64_t)read_int(c, f, name, v);
        break;
    case FIELD_REAL:
        *(double *)at = read_real(c, f, name, v);
        break;
    case FIELD_ROUNDED_INT:
        *(int *)at = read_rounded_down(c, f, name, v, 1);
        break;
    case FIELD_SECONDS_AS_MS:
        *(int *)at = read_rounded_down(c, f, name, v, 1000);
        break;
    case FIELD_BOOL:
        if (v && !json_is_boolean(v)) {
            settings_report_error(c, name, "must be true or false");
        }
        *(bool *)at = v ? json_is_true(v) : f->default_number;
        break;
    }
}

void
settings_check_log_level(struct settings_report *c, struct str level)
{
    static const char *const levels[] = {"debug", "info", "warn", "error"};
    for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
        if (str_eq_cstr(level, levels[i])) {
            return;
        }
    }
    settings_report_error(c, "log.level",
                          "must be debug, info, warn or error");
}

json_t *
settings_read_toml(struct settings_report *c, struct str toml)
{
    struct toml_error error = {0};
    json_t *doc = toml_to_json(toml.ptr, toml.len, &error);
    if (!doc) {
        buf_printf(c->errors, "%s: line %d, column %d: %s\n", c->path,
                   error.line, error.column, error.message);
        err_set(ST_INVALID, "%s is not TOML", c->path);
    }
    return doc;
}

void
settings_read_fields(struct settings_report *c,
                     const struct settings_field *fields, size_t count,
                     const char *const *other_keys, json_t *doc, void *out)
{
    struct field_table t = {fields, count, other_keys};
    report_unknown_names(c, &t, doc);
    for (size_t i = 0; i < count; i++) {
        read_value(c, &fields[i], doc, out);
    }
}

void
settings_free_fields(const struct settings_field *fields, size_t count,
                     void *out)
{
    for (size_t i = 0; i < count; i++) {
        if (fields[i].kind == FIELD_TEXT) {
            str_free((struct str *)((char *)out + fields[i].offset));
        }
    }
}

enum status
settings_read_file(const char *path, gchar **text, gsize *len,
                   struct buf *errors)
{
    GError *e = NULL;
    if (g_file_get_contents(path, text, len, &e)) {
        return ST_OK;
    }
    buf_printf(errors, "%s: cannot be read: %s\n", path, e->message);
    g_error_free(e);
    return err_set(ST_IO, "%s cannot be read", path);
}
