/**
 * @file fields.h
 * Reads the single values of a settings file by a table of fields and checks
 * their names, types and ranges.
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
    FIELD_TEXT,    /**< struct str */
    FIELD_INT,     /**< int */
    FIELD_BOOL,    /**< bool */
    FIELD_SEED,    /**< uint64_t */
    FIELD_REAL,    /**< double; given as a number with or without fraction */
    FIELD_FLOOR,   /**< int; a fraction is rounded down */
    FIELD_SECONDS, /**< int, milliseconds; given in seconds, also fractions */
};

struct settings_field {
    const char *table;
    const char *key;
    enum settings_field_kind kind;
    size_t offset;
    int64_t lo;
    int64_t hi;
    int64_t number;   /**< default of all but FIELD_TEXT; in thousandths for
                           FIELD_REAL and, as lo and hi, for FIELD_SECONDS */
    const char *text; /**< default of FIELD_TEXT; NULL: must be given */
};

/** Where faults are reported. */
struct settings_check {
    const char *path;
    struct buf *errors;
    int faults;
};

/** Appends "FILE: KEY: message". */
void settings_fault(struct settings_check *c, const char *key, const char *fmt,
                    ...) __attribute__((format(printf, 3, 4)));

/** @return owned; NULL: not TOML, the fault is reported and err_last set */
json_t *settings_read_toml(struct settings_check *c, struct str toml);

/** Fills the members of @p out and reports every fault.
 * @param other_keys "TABLE.KEY" of keys read elsewhere; ends with NULL */
void settings_read_fields(struct settings_check *c,
                          const struct settings_field *fields, size_t count,
                          const char *const *other_keys, json_t *doc,
                          void *out);
void settings_free_fields(const struct settings_field *fields, size_t count,
                          void *out);

struct str settings_text(const json_t *v);
/** An IP number as text, IPv6 with or without brackets. */
bool settings_is_ip(struct str s);
/** Splits "IP:PORT"; @p ip is a view. */
bool settings_split_address(struct str s, struct str *ip, int *port);
void settings_check_level(struct settings_check *c, struct str level);

/** Reads a whole file; free with g_free. */
enum status settings_read_file(const char *path, gchar **text, gsize *len,
                               struct buf *errors);

#endif
