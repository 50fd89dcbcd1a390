#include "model/edit.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "model/fleet.h"

#define MAX_SETTINGS 256
#define MAX_RECORDED_PATHS 64
#define MAX_NAME_BYTES 200

struct edit_setting {
    struct str path;
    json_t *value; /* borrowed from doc; json null deletes */
    struct str reason;
};

struct edit {
    json_t *doc; /* owned; everything below points into it */
    struct str change;
    struct str by;
    int64_t base;
    json_t *config; /* replacement of the whole document, or NULL */
    int setting_count;
    struct edit_setting *settings;
};

static void
json_cleanup(json_t **v)
{
    json_decref(*v);
}

static struct str
json_text(const json_t *obj, const char *key)
{
    const json_t *v = json_object_get(obj, key);
    if (!json_is_string(v)) {
        return (struct str){0};
    }
    return str_from_bytes(json_string_value(v), json_string_length(v));
}

/* Returns true if entries of the path's section need a reason. */
static bool
needs_reason(struct str path)
{
    return str_starts_with(path, STR_LIT("exceptions/")) ||
           str_starts_with(path, STR_LIT("zones_out/")) ||
           str_starts_with(path, STR_LIT("vms_out/"));
}

/* Returns the part of the path at *at and advances *at past the part and the
 * slash. */
static struct str
next_part(struct str path, size_t *at)
{
    size_t from = *at;
    while (*at < path.len && path.ptr[*at] != '/') {
        ++*at;
    }
    struct str part = str_from_bytes(path.ptr + from, *at - from);
    *at += *at < path.len;
    return part;
}

static const char *
check_path(struct str path)
{
    size_t at = 0;
    if (!path.len || path.len > MAX_NAME_BYTES) {
        return "path must have 1 to 200 bytes";
    }
    if (path.ptr[path.len - 1] == '/') {
        return "path has an empty part";
    }
    while (at < path.len) {
        if (!next_part(path, &at).len) {
            return "path has an empty part";
        }
    }
    at = 0;
    if (str_eq_cstr(next_part(path, &at), "changes")) {
        return "changes cannot be edited";
    }
    return NULL;
}

static bool
paths_overlap(struct str a, struct str b)
{
    struct str shorter = a.len <= b.len ? a : b;
    struct str longer = a.len <= b.len ? b : a;
    return str_starts_with(longer, shorter) &&
           (shorter.len == 0 || shorter.len == longer.len ||
            longer.ptr[shorter.len] == '/');
}

static void
parse_settings(struct edit *e, json_t *list, struct buf *errors)
{
    size_t n = json_array_size(list);
    if (n < 1 || n > MAX_SETTINGS) {
        buf_printf(errors, "set: must be a list of 1 to %d settings\n",
                   MAX_SETTINGS);
        return;
    }
    e->settings = mem_calloc(n, sizeof(*e->settings));
    for (size_t i = 0; i < n; i++) {
        json_t *v = json_array_get(list, i);
        struct edit_setting *s = &e->settings[e->setting_count];
        *s = (struct edit_setting){json_text(v, "path"),
                                   json_object_get(v, "value"),
                                   json_text(v, "reason")};
        const char *error = check_path(s->path);
        if (error) {
            buf_printf(errors, "set/%zu: %s\n", i, error);
            continue;
        }
        if (!s->value) {
            buf_printf(errors, "set/%zu: value is missing; null deletes\n", i);
            continue;
        }
        for (int k = 0; k < e->setting_count; k++) {
            if (paths_overlap(e->settings[k].path, s->path)) {
                buf_printf(errors, "set/%zu: path overlaps with set/%d\n", i,
                           k);
            }
        }
        e->setting_count++;
    }
}

enum status
edit_parse(struct str body, bool whole, struct edit **out, struct buf *errors)
{
    json_error_t json_error;
    size_t before = errors->len;
    json_t *doc =
        json_loadb(body.ptr, body.len, JSON_REJECT_DUPLICATES, &json_error);
    if (!json_is_object(doc)) {
        buf_printf(errors, "line %d: %s\n", doc ? 1 : json_error.line,
                   doc ? "must be an object" : json_error.text);
        json_decref(doc);
        return err_set(ST_INVALID, "edit is not a JSON object");
    }
    struct edit *e = mem_calloc(1, sizeof(*e));
    json_t *base = json_object_get(doc, "base");
    e->doc = doc;
    e->change = json_text(doc, "change");
    e->by = json_text(doc, "by");
    e->base = json_integer_value(base);
    if (!e->change.len || e->change.len > MAX_NAME_BYTES) {
        buf_printf(errors, "change: must have 1 to 200 bytes\n");
    }
    if (!e->by.len || e->by.len > MAX_NAME_BYTES) {
        buf_printf(errors, "by: must have 1 to 200 bytes\n");
    }
    if (!json_is_integer(base) || e->base < 0) {
        buf_printf(errors, "base: must be the revision that was read\n");
    }
    if (whole) {
        e->config = json_object_get(doc, "config");
        if (!json_is_object(e->config)) {
            buf_printf(errors, "config: must be an object\n");
        }
    }
    else {
        parse_settings(e, json_object_get(doc, "set"), errors);
    }
    if (errors->len != before) {
        edit_free(e);
        return err_set(ST_INVALID, "edit has faults");
    }
    *out = e;
    return ST_OK;
}

void
edit_free(struct edit *e)
{
    if (e) {
        json_decref(e->doc);
        free(e->settings);
        free(e);
    }
}

struct str
edit_change(const struct edit *e)
{
    return e->change;
}

int64_t
edit_base(const struct edit *e)
{
    return e->base;
}

static const json_t *
find_change(const json_t *doc, struct str change)
{
    size_t i;
    json_t *c;
    json_array_foreach(json_object_get(doc, "changes"), i, c)
    {
        if (str_eq(json_text(c, "change"), change)) {
            return c;
        }
    }
    return NULL;
}

bool
edit_document_has_change(struct str doc, struct str change)
{
    CLEANUP(json_cleanup) json_t *j = json_loadb(doc.ptr, doc.len, 0, NULL);
    return find_change(j, change) != NULL;
}

/* Returns true if the edit touches the path; an edit that replaces the
 * whole document touches all paths. */
static bool
edit_touches(const struct edit *e, struct str path)
{
    for (int i = 0; i < e->setting_count; i++) {
        if (paths_overlap(e->settings[i].path, path)) {
            return true;
        }
    }
    return e->config != NULL;
}

static bool
find_conflicts(const struct edit *e, const json_t *doc, int64_t revision,
               struct buf *messages)
{
    json_t *changes = json_object_get(doc, "changes");
    bool found = false;
    bool base_recorded = e->base == revision;
    size_t i;
    json_t *c;
    json_array_foreach(changes, i, c)
    {
        size_t k;
        json_t *p;
        int64_t base = json_integer_value(json_object_get(c, "base"));
        if (base < e->base) {
            continue;
        }
        base_recorded = true;
        json_array_foreach(json_object_get(c, "paths"), k, p)
        {
            struct str path =
                str_from_bytes(json_string_value(p), json_string_length(p));
            if (edit_touches(e, path)) {
                found = true;
                buf_printf(messages,
                           "%.*s was changed by %.*s (change %.*s)\n",
                           STR_FMT(path), STR_FMT(json_text(c, "by")),
                           STR_FMT(json_text(c, "change")));
            }
        }
    }
    const json_t *oldest = json_array_get(changes, 0);
    if (!found && json_array_size(changes) >= EDIT_MAX_CHANGES &&
        json_integer_value(json_object_get(oldest, "base")) > e->base) {
        found = true;
        buf_printf(messages,
                   "base %" PRId64 " is older than the last %d changes: read "
                   "the configuration again\n",
                   e->base, EDIT_MAX_CHANGES);
    }
    if (!base_recorded) {
        /* The paths that such a write changed are unknown. */
        found = true;
        buf_printf(messages,
                   "the configuration was replaced without a recorded "
                   "change since the base: read it again\n");
    }
    return found;
}

/* Returns the value to store (owned): entries that need a reason get the
 * reason and the author added. */
static json_t *
complete_value(const struct edit *e, struct str path, const json_t *value,
               struct str reason, struct buf *messages)
{
    size_t at = 0;
    struct str rest;
    next_part(path, &at);
    next_part(path, &at);
    rest = str_from_bytes(path.ptr + at, path.len - at);
    json_t *v = json_is_true(value) ? json_object() : json_deep_copy(value);
    if (!needs_reason(path) || rest.len) {
        return v;
    }
    if (!json_is_object(v)) {
        buf_printf(messages, "%.*s: must be an object\n", STR_FMT(path));
        return v;
    }
    if (reason.len) {
        json_object_set_new(v, "reason", json_stringn(reason.ptr, reason.len));
    }
    if (!json_text(v, "reason").len) {
        buf_printf(messages, "%.*s: a reason is required\n", STR_FMT(path));
    }
    json_object_set_new(v, "by", json_stringn(e->by.ptr, e->by.len));
    return v;
}

static void
apply_setting(const struct edit *e, const struct edit_setting *s, json_t *doc,
              struct buf *messages)
{
    json_t *at = doc;
    size_t pos = 0;
    bool is_delete = json_is_null(s->value);
    char key[MAX_NAME_BYTES + 1] = "";
    while (json_is_object(at)) {
        struct str part = next_part(s->path, &pos);
        memcpy(key, part.ptr, part.len);
        key[part.len] = 0;
        if (pos >= s->path.len) {
            break;
        }
        json_t *next = json_object_get(at, key);
        if (!next && !is_delete) {
            next = json_object();
            json_object_set_new(at, key, next);
        }
        at = next;
    }
    if (!json_is_object(at) || (is_delete && !json_object_get(at, key))) {
        buf_printf(messages, "%.*s: no such setting\n", STR_FMT(s->path));
        return;
    }
    if (is_delete) {
        json_object_del(at, key);
        return;
    }
    json_object_set_new(
        at, key, complete_value(e, s->path, s->value, s->reason, messages));
}

static void
add_path(json_t *paths, const char *section, const char *key)
{
    json_array_append_new(paths, json_sprintf("%s%s%s", section,
                                              key ? "/" : "", key ? key : ""));
}

/* Appends the paths of a section at which a and b differ, two levels deep. */
static void
diff_section(json_t *paths, const char *section, json_t *a, json_t *b)
{
    const char *key;
    json_t *v;
    if (json_equal(a, b)) {
        return;
    }
    if ((a && !json_is_object(a)) || (b && !json_is_object(b))) {
        add_path(paths, section, NULL);
        return;
    }
    json_object_foreach(a, key, v)
    {
        if (!json_equal(v, json_object_get(b, key))) {
            add_path(paths, section, key);
        }
    }
    json_object_foreach(b, key, v)
    {
        if (!json_object_get(a, key)) {
            add_path(paths, section, key);
        }
    }
}

static json_t *
diff_documents(json_t *from, json_t *to)
{
    json_t *paths = json_array();
    const char *key;
    json_t *v;
    json_object_foreach(from, key, v)
    {
        if (strcmp(key, "changes") != 0) {
            diff_section(paths, key, v, json_object_get(to, key));
        }
    }
    json_object_foreach(to, key, v)
    {
        if (!json_object_get(from, key)) {
            diff_section(paths, key, NULL, v);
        }
    }
    if (json_array_size(paths) > MAX_RECORDED_PATHS) {
        /* The empty path overlaps with all other paths. */
        json_array_clear(paths);
        json_array_append_new(paths, json_string(""));
    }
    return paths;
}

static void
record_change(const struct edit *e, json_t *doc, int64_t revision,
              json_t *paths)
{
    json_t *changes = json_object_get(doc, "changes");
    if (!json_is_array(changes)) {
        changes = json_array();
        json_object_set_new(doc, "changes", changes);
    }
    json_array_append_new(
        changes, json_pack("{s:s% s:s% s:I s:o}", "change", e->change.ptr,
                           e->change.len, "by", e->by.ptr, e->by.len, "base",
                           (json_int_t)revision, "paths", paths));
    while (json_array_size(changes) > EDIT_MAX_CHANGES) {
        json_array_remove(changes, 0);
    }
}

static json_t *
build_document(const struct edit *e, json_t *old, int64_t revision,
               struct buf *messages)
{
    json_t *doc;
    json_t *paths;
    if (e->config) {
        doc = json_deep_copy(e->config);
        json_object_del(doc, "changes");
        paths = diff_documents(old, doc);
        if (json_object_get(old, "changes")) {
            json_object_set(doc, "changes", json_object_get(old, "changes"));
        }
    }
    else {
        doc = json_incref(old);
        paths = json_array();
        for (int i = 0; i < e->setting_count; i++) {
            const struct edit_setting *s = &e->settings[i];
            apply_setting(e, s, doc, messages);
            json_array_append_new(paths,
                                  json_stringn(s->path.ptr, s->path.len));
        }
    }
    record_change(e, doc, revision, paths);
    return doc;
}

enum edit_outcome
edit_apply(const struct edit *e, struct str in, int64_t revision,
           struct buf *out, struct buf *messages)
{
    CLEANUP(json_cleanup)
    json_t *old = in.len ? json_loadb(in.ptr, in.len, 0, NULL) : json_object();
    if (!json_is_object(old)) {
        buf_printf(messages,
                   "the stored configuration is not a JSON object\n");
        return EDIT_INVALID;
    }
    const json_t *previous = find_change(old, e->change);
    if (previous) {
        if (str_eq(json_text(previous, "by"), e->by)) {
            return EDIT_DUPLICATE;
        }
        buf_printf(messages, "change: the id was used by %.*s\n",
                   STR_FMT(json_text(previous, "by")));
        return EDIT_INVALID;
    }
    if (e->base > revision) {
        buf_printf(messages,
                   "base: newer than the configuration (%" PRId64 ")\n",
                   revision);
        return EDIT_INVALID;
    }
    if (find_conflicts(e, old, revision, messages)) {
        return EDIT_CONFLICT;
    }
    size_t before = messages->len;
    CLEANUP(json_cleanup)
    json_t *doc = build_document(e, old, revision, messages);
    CLEANUP_FREE char *serialized = json_dumps(doc, JSON_COMPACT);
    struct fleet *f = NULL;
    if (fleet_parse(str_from_cstr(serialized), &f, messages) == ST_OK) {
        fleet_free(f);
    }
    if (strlen(serialized) > EDIT_MAX_DOCUMENT_BYTES) {
        buf_printf(messages, "the configuration would exceed %d bytes\n",
                   EDIT_MAX_DOCUMENT_BYTES);
    }
    if (messages->len != before) {
        return EDIT_INVALID;
    }
    buf_append_str(out, str_from_cstr(serialized));
    return EDIT_APPLIED;
}

void
edit_redact_token_hashes(json_t *config)
{
    static const char *const sections[] = {"teams", "operators"};
    for (int i = 0; i < 2; i++) {
        const char *key;
        json_t *v;
        json_object_foreach(json_object_get(config, sections[i]), key, v)
        {
            json_object_del(v, "token_hash");
        }
    }
}
