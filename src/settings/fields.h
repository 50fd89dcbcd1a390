/**
 * @file fields.h
 * Reads the scalar values of a settings file as described by a table of fields
 * and checks their names, types and ranges.
 */
#ifndef SETTINGS_FIELDS_H
#define SETTINGS_FIELDS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/str.h"

enum settings_field_kind {
    FIELD_TEXT,          /**< struct str */
    FIELD_INT,           /**< int */
    FIELD_BOOL,          /**< bool */
    FIELD_SEED,          /**< uint64_t */
    FIELD_REAL,          /**< double; a number with or without fraction */
    FIELD_ROUNDED_INT,   /**< int; a fraction is rounded down */
    FIELD_SECONDS_AS_MS, /**< int, milliseconds; the file has seconds, with or
                        without fraction */
};

struct settings_field {
    const char *table;
    const char *key;
    enum settings_field_kind kind;
    size_t offset;
    int64_t min;
    int64_t max;
    int64_t default_number; /**< default except for FIELD_TEXT; in thousandths
                         for FIELD_REAL; in milliseconds, as min and max are,
                         for FIELD_SECONDS_AS_MS */
    const char *default_text; /**< default of FIELD_TEXT; NULL: required */
};

/** Collects the errors of one settings file. */
struct settings_report {
    const char *path;
    struct buf *errors;
    int error_count;
};

/** Appends "FILE: KEY: message" to the errors and counts it. */
void settings_report_error(struct settings_report *c, const char *key,
                           const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** Converts TOML text to JSON. @return an owned object; NULL: not TOML, the
 * error is reported and err_last set */
json_t *settings_read_toml(struct settings_report *c, struct str toml);

/** Fills the members of @p out and reports all errors.
 * @param other_keys "TABLE.KEY" of keys read elsewhere; ends with NULL */
void settings_read_fields(struct settings_report *c,
                          const struct settings_field *fields, size_t count,
                          const char *const *other_keys, json_t *doc,
                          void *out);
void settings_free_fields(const struct settings_field *fields, size_t count,
                          void *out);

/** Returns a view of a JSON string. */
struct str settings_json_text(const json_t *v);
/** Reports an error if the log level is unknown. */
void settings_check_log_level(struct settings_report *c, struct str level);

/** Reads a whole file; the caller frees *text with g_free. */
enum status settings_read_file(const char *path, gchar **text, gsize *len,
                               struct buf *errors);

#endif
