#include "model/edit.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "model/fleet.h"

#define SETS_MAX 256
#define PATHS_MAX 64
#define NAME_MAX_BYTES 200

struct set {
    struct str path;
    json_t *value; /* borrowed from doc; json null deletes */
    struct str reason;
};

struct edit {
    json_t *doc; /* owned; everything below points into it */
    struct str change;
    struct str by;
    int64_t base;
    json_t *config; /* whole document, or NULL */
    int count;
    struct set *sets;
};

static void
json_clean(json_t **v)
{
    json_decref(*v);
}

static struct str
text(const json_t *obj, const char *key)
{
    const json_t *v = json_object_get(obj, key);
    if (!json_is_string(v)) {
        return (struct str){0};
    }
    return str_of(json_string_value(v), json_string_length(v));
}

/* Sections whose entries need a reason. */
static bool
needs_reason(struct str path)
{
    return str_starts(path, STR_LIT("exceptions/")) ||
           str_starts(path, STR_LIT("zones_out/")) ||
           str_starts(path, STR_LIT("vms_out/"));
}

/* One part of a path; moves *at behind it. */
static struct str
next_part(struct str path, size_t *at)
{
    size_t from = *at;
    while (*at < path.len && path.ptr[*at] != '/') {
        ++*at;
    }
    struct str part = str_of(path.ptr + from, *at - from);
    *at += *at < path.len;
    return part;
}

static const char *
path_fault(struct str path)
{
    size_t at = 0;
    if (!path.len || path.len > NAME_MAX_BYTES) {
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
    if (str_eq_c(next_part(path, &at), "changes")) {
        return "changes cannot be edited";
    }
    return NULL;
}

static bool
overlap(struct str a, struct str b)
{
    struct str low = a.len <= b.len ? a : b;
    struct str high = a.len <= b.len ? b : a;
    return str_starts(high, low) &&
           (low.len == 0 || low.len == high.len || high.ptr[low.len] == '/');
}

static void
parse_sets(struct edit *e, json_t *list, struct buf *errors)
{
    size_t n = json_array_size(list);
    if (n < 1 || n > SETS_MAX) {
        buf_printf(errors, "set: must be a list of 1 to %d settings\n",
                   SETS_MAX);
        return;
    }
    e->sets = mem_zero(n, sizeof(*e->sets));
    for (size_t i = 0; i < n; i++) {
        json_t *v = json_array_get(list, i);
        struct set *s = &e->sets[e->count];
        *s = (struct set){text(v, "path"), json_object_get(v, "value"),
                          text(v, "reason")};
        const char *fault = path_fault(s->path);
        if (fault) {
            buf_printf(errors, "set/%zu: %s\n", i, fault);
            continue;
        }
        if (!s->value) {
            buf_printf(errors, "set/%zu: value is missing; null deletes\n", i);
            continue;
        }
        for (int k = 0; k < e->count; k++) {
            if (overlap(e->sets[k].path, s->path)) {
                buf_printf(errors, "set/%zu: path overlaps with set/%d\n", i,
                           k);
            }
        }
        e->count++;
    }
}

enum status
edit_parse(struct str body, bool whole, struct edit **out, struct buf *errors)
{
    json_error_t je;
    size_t before = errors->len;
    json_t *doc = json_loadb(body.ptr, body.len, JSON_REJECT_DUPLICATES, &je);
    if (!json_is_object(doc)) {
        buf_printf(errors, "line %d: %s\n", doc ? 1 : je.line,
                   doc ? "must be an object" : je.text);
        json_decref(doc);
        return err_set(ST_INVALID, "edit is not a JSON object");
    }
    struct edit *e = mem_zero(1, sizeof(*e));
    json_t *base = json_object_get(doc, "base");
    e->doc = doc;
    e->change = text(doc, "change");
    e->by = text(doc, "by");
    e->base = json_integer_value(base);
    if (!e->change.len || e->change.len > NAME_MAX_BYTES) {
        buf_printf(errors, "change: must have 1 to 200 bytes\n");
    }
    if (!e->by.len || e->by.len > NAME_MAX_BYTES) {
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
        parse_sets(e, json_object_get(doc, "set"), errors);
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
        free(e->sets);
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
        if (str_eq(text(c, "change"), change)) {
            return c;
        }
    }
    return NULL;
}

bool
edit_contains(struct str doc, struct str change)
{
    CLEAN(json_clean) json_t *j = json_loadb(doc.ptr, doc.len, 0, NULL);
    return find_change(j, change) != NULL;
}

/* The paths that the edit touches; a whole document touches all. */
static bool
touches(const struct edit *e, struct str path)
{
    for (int i = 0; i < e->count; i++) {
        if (overlap(e->sets[i].path, path)) {
            return true;
        }
    }
    return e->config != NULL;
}

static bool
conflicts(const struct edit *e, const json_t *doc, int64_t revision,
          struct buf *why)
{
    json_t *changes = json_object_get(doc, "changes");
    bool found = false;
    bool recorded = e->base == revision;
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
        recorded = true;
        json_array_foreach(json_object_get(c, "paths"), k, p)
        {
            struct str path =
                str_of(json_string_value(p), json_string_length(p));
            if (touches(e, path)) {
                found = true;
                buf_printf(why, "%.*s was changed by %.*s (change %.*s)\n",
                           STR_FMT(path), STR_FMT(text(c, "by")),
                           STR_FMT(text(c, "change")));
            }
        }
    }
    const json_t *oldest = json_array_get(changes, 0);
    if (!found && json_array_size(changes) >= EDIT_CHANGES_KEPT &&
        json_integer_value(json_object_get(oldest, "base")) > e->base) {
        found = true;
        buf_printf(why,
                   "base %" PRId64 " is older than the last %d changes: read "
                   "the configuration again\n",
                   e->base, EDIT_CHANGES_KEPT);
    }
    if (!recorded) {
        /* Nothing tells which paths such a write changed. */
        found = true;
        buf_printf(why, "the configuration was replaced without a recorded "
                        "change since the base: read it again\n");
    }
    return found;
}

/* The value to store: entries that need a reason get it and the author. */
static json_t *
complete(const struct edit *e, struct str path, const json_t *value,
         struct str reason, struct buf *why)
{
    size_t at = 0;
    struct str rest;
    next_part(path, &at);
    next_part(path, &at);
    rest = str_of(path.ptr + at, path.len - at);
    json_t *v = json_is_true(value) ? json_object() : json_deep_copy(value);
    if (!needs_reason(path) || rest.len) {
        return v;
    }
    if (!json_is_object(v)) {
        buf_printf(why, "%.*s: must be an object\n", STR_FMT(path));
        return v;
    }
    if (reason.len) {
        json_object_set_new(v, "reason", json_stringn(reason.ptr, reason.len));
    }
    if (!text(v, "reason").len) {
        buf_printf(why, "%.*s: a reason is required\n", STR_FMT(path));
    }
    json_object_set_new(v, "by", json_stringn(e->by.ptr, e->by.len));
    return v;
}

static void
apply_set(const struct edit *e, const struct set *s, json_t *doc,
          struct buf *why)
{
    json_t *at = doc;
    size_t pos = 0;
    bool del = json_is_null(s->value);
    char key[NAME_MAX_BYTES + 1] = "";
    while (json_is_object(at)) {
        struct str part = next_part(s->path, &pos);
        memcpy(key, part.ptr, part.len);
        key[part.len] = 0;
        if (pos >= s->path.len) {
            break;
        }
        json_t *next = json_object_get(at, key);
        if (!next && !del) {
            next = json_object();
            json_object_set_new(at, key, next);
        }
        at = next;
    }
    if (!json_is_object(at) || (del && !json_object_get(at, key))) {
        buf_printf(why, "%.*s: no such setting\n", STR_FMT(s->path));
        return;
    }
    if (del) {
        json_object_del(at, key);
        return;
    }
    json_object_set_new(at, key,
                        complete(e, s->path, s->value, s->reason, why));
}

static void
add_path(json_t *paths, const char *section, const char *key)
{
    json_array_append_new(paths, json_sprintf("%s%s%s", section,
                                              key ? "/" : "", key ? key : ""));
}

/* Paths at which one side differs from the other, two levels deep. */
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
diff(json_t *from, json_t *to)
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
    if (json_array_size(paths) > PATHS_MAX) {
        /* The empty path overlaps with all others. */
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
    while (json_array_size(changes) > EDIT_CHANGES_KEPT) {
        json_array_remove(changes, 0);
    }
}

static json_t *
changed(const struct edit *e, json_t *old, int64_t revision, struct buf *why)
{
    json_t *doc;
    json_t *paths;
    if (e->config) {
        doc = json_deep_copy(e->config);
        json_object_del(doc, "changes");
        paths = diff(old, doc);
        if (json_object_get(old, "changes")) {
            json_object_set(doc, "changes", json_object_get(old, "changes"));
        }
    }
    else {
        doc = json_incref(old);
        paths = json_array();
        for (int i = 0; i < e->count; i++) {
            const struct set *s = &e->sets[i];
            apply_set(e, s, doc, why);
            json_array_append_new(paths,
                                  json_stringn(s->path.ptr, s->path.len));
        }
    }
    record_change(e, doc, revision, paths);
    return doc;
}

enum edit_outcome
edit_apply(const struct edit *e, struct str in, int64_t revision,
           struct buf *out, struct buf *why)
{
    CLEAN(json_clean)
    json_t *old = in.len ? json_loadb(in.ptr, in.len, 0, NULL) : json_object();
    if (!json_is_object(old)) {
        buf_printf(why, "the stored configuration is not a JSON object\n");
        return EDIT_FAULTY;
    }
    const json_t *same = find_change(old, e->change);
    if (same) {
        if (str_eq(text(same, "by"), e->by)) {
            return EDIT_REPEATED;
        }
        buf_printf(why, "change: the id was used by %.*s\n",
                   STR_FMT(text(same, "by")));
        return EDIT_FAULTY;
    }
    if (e->base > revision) {
        buf_printf(why, "base: newer than the configuration (%" PRId64 ")\n",
                   revision);
        return EDIT_FAULTY;
    }
    if (conflicts(e, old, revision, why)) {
        return EDIT_CONFLICT;
    }
    size_t before = why->len;
    CLEAN(json_clean) json_t *doc = changed(e, old, revision, why);
    CLEAN_FREE char *dump = json_dumps(doc, JSON_COMPACT);
    struct fleet *f = NULL;
    if (fleet_parse(str_from(dump), &f, why) == ST_OK) {
        fleet_free(f);
    }
    if (strlen(dump) > EDIT_DOCUMENT_MAX) {
        buf_printf(why, "the configuration would exceed %d bytes\n",
                   EDIT_DOCUMENT_MAX);
    }
    if (why->len != before) {
        return EDIT_FAULTY;
    }
    buf_append_str(out, str_from(dump));
    return EDIT_APPLIED;
}

void
edit_redact(json_t *config)
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
