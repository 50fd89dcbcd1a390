#include "model/fleet.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* The state of one parse: the result, and the errors found so far. */
struct fleet_parser {
    struct fleet *f;
    struct buf *errors;
    int error_count;
};

static const struct {
    const char *name;
    int64_t min, max, default_value;
} setting_specs[] = {
#define X(id, name, min, max, default_value)                                  \
    [FLEET_##id] = {name, min, max, default_value},
    FLEET_SETTING_LIST(X)
#undef X
};

static const char *const kind_names[] = {
#define X(id, name, path) [STAGE_##id] = name,
    STAGE_KIND_LIST(X)
#undef X
};

static const char *const kind_paths[] = {
#define X(id, name, path) [STAGE_##id] = path,
    STAGE_KIND_LIST(X)
#undef X
};

static const char *const class_names[] = {
#define X(id, name) [CLASS_##id] = name,
    REQUEST_CLASS_LIST(X)
#undef X
};

const char *
fleet_setting_name(enum fleet_setting s)
{
    return setting_specs[s].name;
}

enum fleet_setting
fleet_find_setting(struct str name)
{
    int s = 0;
    while (s < FLEET_SETTING_COUNT &&
           !str_eq_cstr(name, setting_specs[s].name)) {
        s++;
    }
    return s;
}

const char *
stage_kind_name(enum stage_kind k)
{
    return kind_names[k];
}

const char *
request_class_name(enum request_class c)
{
    return class_names[c];
}

static struct str
json_text(const json_t *v)
{
    if (!json_is_string(v)) {
        return (struct str){0};
    }
    return str_from_bytes(json_string_value(v), json_string_length(v));
}

static void
report_error(struct fleet_parser *p, const char *path, const char *key,
             const char *message)
{
    buf_printf(p->errors, "%s%s%s: %s\n", path, key && *key ? "/" : "",
               key ? key : "", message);
    p->error_count++;
}

/* Reports an error for each key of obj that is not in the space-separated
 * list. */
static void
report_unknown_keys(struct fleet_parser *p, const char *path, json_t *obj,
                    const char *list)
{
    const char *key;
    json_t *v;
    json_object_foreach(obj, key, v)
    {
        size_t n = strlen(key);
        const char *at = list;
        bool known = false;
        /* The empty key is excluded: strstr matches it everywhere, and the
         * loop would not advance. */
        while (n > 0 && !known && (at = strstr(at, key))) {
            known = (at == list || at[-1] == ' ') && (at[n] == ' ' || !at[n]);
            at += n;
        }
        if (!known) {
            report_error(p, path, key, "unknown key");
        }
    }
}

static struct str
require_text(struct fleet_parser *p, const char *path, json_t *obj,
             const char *key)
{
    struct str s = json_text(json_object_get(obj, key));
    if (!s.len) {
        report_error(p, path, key, "must be a non-empty string");
    }
    return s;
}

static int
find_name(const char *const *names, int count, struct str s)
{
    for (int i = 0; i < count; i++) {
        if (str_eq_cstr(s, names[i])) {
            return i;
        }
    }
    return -1;
}

static int64_t
parse_setting(struct fleet_parser *p, const char *path, enum fleet_setting s,
              const json_t *v)
{
    int64_t min = setting_specs[s].min;
    int64_t max = setting_specs[s].max;
    if (!json_is_integer(v) || json_integer_value(v) < min ||
        json_integer_value(v) > max) {
        char message[96];
        snprintf(message, sizeof(message),
                 "must be an integer from %" PRId64 " to %" PRId64, min, max);
        report_error(p, path, setting_specs[s].name, message);
        return setting_specs[s].default_value;
    }
    return json_integer_value(v);
}

static void
parse_defaults(struct fleet_parser *p, json_t *obj)
{
    for (int s = 0; s < FLEET_SETTING_COUNT; s++) {
        p->f->defaults[s] = setting_specs[s].default_value;
    }
    const char *key;
    json_t *v;
    json_object_foreach(obj, key, v)
    {
        enum fleet_setting s = fleet_find_setting(str_from_cstr(key));
        if (s == FLEET_SETTING_COUNT) {
            report_error(p, "defaults", key, "unknown setting");
            continue;
        }
        p->f->defaults[s] = parse_setting(p, "defaults", s, v);
    }
}

/* Allocates an array with one zeroed element per key of obj. */
static void *
alloc_entries(json_t *obj, size_t size, int *count)
{
    *count = 0;
    return mem_calloc(json_object_size(obj), size);
}

static void
parse_zones(struct fleet_parser *p, json_t *obj, json_t *out)
{
    const char *key;
    json_t *v;
    p->f->zones =
        alloc_entries(obj, sizeof(struct fleet_zone), &p->f->zone_count);
    json_object_foreach(obj, key, v)
    {
        char path[128];
        snprintf(path, sizeof(path), "zones/%s", key);
        report_unknown_keys(p, path, v, "region");
        struct fleet_zone *z = &p->f->zones[p->f->zone_count++];
        z->name = str_from_cstr(key);
        z->region = require_text(p, path, v, "region");
    }
    json_object_foreach(out, key, v)
    {
        char path[128];
        snprintf(path, sizeof(path), "zones_out/%s", key);
        int z = fleet_find_zone(p->f, str_from_cstr(key));
        report_unknown_keys(p, path, v, "reason by");
        struct str reason = require_text(p, path, v, "reason");
        if (z < 0) {
            report_error(p, path, "", "no such zone");
            continue;
        }
        p->f->zones[z].out = true;
        p->f->zones[z].reason = reason;
    }
}

static void
parse_vms_out(struct fleet_parser *p, json_t *obj)
{
    const char *key;
    json_t *v;
    p->f->vms_out =
        alloc_entries(obj, sizeof(struct str), &p->f->vm_out_count);
    json_object_foreach(obj, key, v)
    {
        char path[128];
        snprintf(path, sizeof(path), "vms_out/%s", key);
        report_unknown_keys(p, path, v, "reason by");
        require_text(p, path, v, "reason");
        p->f->vms_out[p->f->vm_out_count++] = str_from_cstr(key);
    }
}

static void
parse_pools(struct fleet_parser *p, json_t *obj)
{
    const char *key;
    json_t *v;
    p->f->pools =
        alloc_entries(obj, sizeof(struct fleet_pool), &p->f->pool_count);
    json_object_foreach(obj, key, v)
    {
        char path[128];
        snprintf(path, sizeof(path), "pools/%s", key);
        report_unknown_keys(p, path, v, "kind fencing model");
        struct fleet_pool *pool = &p->f->pools[p->f->pool_count++];
        pool->name = str_from_cstr(key);
        int kind = find_name(kind_names, STAGE_KIND_COUNT,
                             json_text(json_object_get(v, "kind")));
        if (kind < 0) {
            report_error(
                p, path, "kind",
                "must be encode, retrieve, rerank, generate or service");
            kind = STAGE_SERVICE;
        }
        pool->kind = kind;
        json_t *fencing = json_object_get(v, "fencing");
        pool->fencing_checked = str_eq_cstr(json_text(fencing), "checked");
        if (fencing && !pool->fencing_checked &&
            !str_eq_cstr(json_text(fencing), "ignored")) {
            report_error(p, path, "fencing", "must be checked or ignored");
        }
        pool->model = json_text(json_object_get(v, "model"));
        memcpy(pool->settings, p->f->defaults, sizeof(pool->settings));
    }
}

static int
parse_positive_int(struct fleet_parser *p, const char *path, json_t *obj,
                   const char *key, int max, int default_value)
{
    json_t *v = json_object_get(obj, key);
    if (!v) {
        return default_value;
    }
    if (!json_is_integer(v) || json_integer_value(v) < 1 ||
        json_integer_value(v) > max) {
        report_error(p, path, key, "out of range");
        return default_value;
    }
    return (int)json_integer_value(v);
}

static void
parse_stage(struct fleet_parser *p, const char *path, json_t *v,
            struct fleet_stage *stage)
{
    report_unknown_keys(p, path, v,
                        "name pool path repeatable max_tokens top_k");
    stage->name = require_text(p, path, v, "name");
    struct str pool = require_text(p, path, v, "pool");
    stage->pool = fleet_find_pool(p->f, pool);
    if (stage->pool < 0) {
        report_error(p, path, "pool", "no such pool");
        stage->pool = 0;
        stage->kind = STAGE_SERVICE;
    }
    else {
        stage->kind = p->f->pools[stage->pool].kind;
    }
    json_t *route = json_object_get(v, "path");
    stage->path =
        route ? json_text(route) : str_from_cstr(kind_paths[stage->kind]);
    if (!stage->path.len || stage->path.ptr[0] != '/') {
        report_error(p, path, "path", "must begin with /");
    }
    json_t *repeatable_value = json_object_get(v, "repeatable");
    stage->repeatable = repeatable_value ? json_is_true(repeatable_value)
                                         : stage->kind != STAGE_SERVICE;
    if (stage->kind == STAGE_SERVICE && !json_is_boolean(repeatable_value)) {
        report_error(p, path, "repeatable",
                     "a service stage must say true or false");
    }
    if (stage->kind != STAGE_SERVICE && !stage->repeatable) {
        report_error(p, path, "repeatable",
                     "only a service stage may be non-repeatable");
    }
    stage->max_tokens =
        parse_positive_int(p, path, v, "max_tokens", 1000000, 256);
    stage->top_k = parse_positive_int(p, path, v, "top_k", 10000, 8);
}

static void
parse_pipelines(struct fleet_parser *p, json_t *obj)
{
    const char *key;
    json_t *v;
    p->f->pipelines = alloc_entries(obj, sizeof(struct fleet_pipeline),
                                    &p->f->pipeline_count);
    json_object_foreach(obj, key, v)
    {
        char path[160];
        snprintf(path, sizeof(path), "pipelines/%s", key);
        report_unknown_keys(p, path, v, "class stages");
        struct fleet_pipeline *pl = &p->f->pipelines[p->f->pipeline_count++];
        pl->name = str_from_cstr(key);
        int class = find_name(class_names, CLASS_COUNT,
                              json_text(json_object_get(v, "class")));
        if (class < 0) {
            report_error(p, path, "class",
                         "must be interactive, action or bulk");
            class = CLASS_INTERACTIVE;
        }
        pl->class = class;
        memcpy(pl->settings, p->f->defaults, sizeof(pl->settings));
        json_t *stages = json_object_get(v, "stages");
        size_t n = json_array_size(stages);
        if (n < 1 || n > FLEET_MAX_STAGES) {
            report_error(p, path, "stages", "must be a list of 1 to 8 stages");
            continue;
        }
        for (size_t i = 0; i < n; i++) {
            char at[200];
            snprintf(at, sizeof(at), "%s/stages/%zu", path, i);
            struct fleet_stage *stage = &pl->stages[pl->stage_count++];
            parse_stage(p, at, json_array_get(stages, i), stage);
            pl->needs_key |= !stage->repeatable;
        }
    }
}

static bool
decode_hash(struct str hex, unsigned char out[32])
{
    size_t len = 0;
    return hex.len == 64 &&
           sodium_hex2bin(out, 32, hex.ptr, hex.len, NULL, &len, NULL) == 0 &&
           len == 32;
}

static void
parse_hash(struct fleet_parser *p, const char *path, json_t *v,
           unsigned char out[32])
{
    if (!decode_hash(json_text(json_object_get(v, "token_hash")), out)) {
        report_error(p, path, "token_hash", "must be 64 hex digits");
    }
}

static void
parse_teams(struct fleet_parser *p, json_t *obj)
{
    const char *key;
    json_t *v;
    p->f->teams =
        alloc_entries(obj, sizeof(struct fleet_team), &p->f->team_count);
    json_object_foreach(obj, key, v)
    {
        char path[128];
        snprintf(path, sizeof(path), "teams/%s", key);
        report_unknown_keys(p, path, v, "token_hash");
        struct fleet_team *t = &p->f->teams[p->f->team_count++];
        t->name = str_from_cstr(key);
        memcpy(t->settings, p->f->defaults, sizeof(t->settings));
        parse_hash(p, path, v, t->token_hash);
    }
}

static void
parse_operators(struct fleet_parser *p, json_t *obj)
{
    const char *key;
    json_t *v;
    p->f->operators = alloc_entries(obj, sizeof(struct fleet_operator),
                                    &p->f->operator_count);
    json_object_foreach(obj, key, v)
    {
        char path[128];
        snprintf(path, sizeof(path), "operators/%s", key);
        report_unknown_keys(p, path, v, "token_hash role");
        struct fleet_operator *o = &p->f->operators[p->f->operator_count++];
        o->name = str_from_cstr(key);
        struct str role = json_text(json_object_get(v, "role"));
        o->may_edit = str_eq_cstr(role, "operator");
        if (!o->may_edit && !str_eq_cstr(role, "viewer")) {
            report_error(p, path, "role", "must be operator or viewer");
        }
        parse_hash(p, path, v, o->token_hash);
    }
}

/* Returns the resolved settings of the pool, pipeline or team that the scope
 * names, or NULL if there is none. */
static int64_t *
scope_settings(struct fleet *f, struct str scope)
{
    struct str pool = STR_LIT("pool/");
    struct str pipe = STR_LIT("pipeline/");
    struct str team = STR_LIT("team/");
    if (str_starts_with(scope, pool)) {
        int i = fleet_find_pool(
            f, str_from_bytes(scope.ptr + pool.len, scope.len - pool.len));
        return i < 0 ? NULL : f->pools[i].settings;
    }
    if (str_starts_with(scope, pipe)) {
        int i = fleet_find_pipeline(
            f, str_from_bytes(scope.ptr + pipe.len, scope.len - pipe.len));
        return i < 0 ? NULL : f->pipelines[i].settings;
    }
    if (str_starts_with(scope, team)) {
        struct str name =
            str_from_bytes(scope.ptr + team.len, scope.len - team.len);
        for (int i = 0; i < f->team_count; i++) {
            if (str_eq(f->teams[i].name, name)) {
                return f->teams[i].settings;
            }
        }
    }
    return NULL;
}

static void
parse_exceptions(struct fleet_parser *p, json_t *obj)
{
    const char *key;
    json_t *v;
    p->f->exceptions = alloc_entries(obj, sizeof(struct fleet_exception),
                                     &p->f->exception_count);
    json_object_foreach(obj, key, v)
    {
        char path[160];
        snprintf(path, sizeof(path), "exceptions/%s", key);
        report_unknown_keys(p, path, v, "scope setting value reason by");
        struct fleet_exception e = {0};
        e.scope = require_text(p, path, v, "scope");
        e.reason = require_text(p, path, v, "reason");
        e.setting =
            fleet_find_setting(json_text(json_object_get(v, "setting")));
        int64_t *to = scope_settings(p->f, e.scope);
        if (!to) {
            report_error(p, path, "scope",
                         "must be pool/NAME, pipeline/NAME or team/NAME");
        }
        if (e.setting == FLEET_SETTING_COUNT) {
            report_error(p, path, "setting", "unknown setting");
            continue;
        }
        e.value =
            parse_setting(p, path, e.setting, json_object_get(v, "value"));
        if (to) {
            to[e.setting] = e.value;
        }
        p->f->exceptions[p->f->exception_count++] = e;
    }
}

/* Checks that each section is a JSON object, and each entry of a section other
 * than defaults as well. The change history is skipped, because operators do
 * not write it. */
static void
check_sections(struct fleet_parser *p, json_t *doc)
{
    const char *section;
    json_t *v;
    json_object_foreach(doc, section, v)
    {
        const char *key;
        json_t *entry;
        if (strcmp(section, "changes") == 0) {
            continue;
        }
        if (!json_is_object(v)) {
            report_error(p, section, "", "must be a table");
            continue;
        }
        json_object_foreach(v, key, entry)
        {
            if (strcmp(section, "defaults") != 0 && !json_is_object(entry)) {
                report_error(p, section, key, "must be a table");
            }
        }
    }
}

enum status
fleet_parse(struct str in, struct fleet **out, struct buf *errors)
{
    json_error_t json_error;
    json_t *doc =
        json_loadb(in.ptr, in.len, JSON_REJECT_DUPLICATES, &json_error);
    if (!json_is_object(doc)) {
        buf_printf(errors, "line %d: %s\n", doc ? 1 : json_error.line,
                   doc ? "must be an object" : json_error.text);
        json_decref(doc);
        return err_set(ST_INVALID, "configuration is not a JSON object");
    }
    struct fleet_parser p = {mem_calloc(1, sizeof(struct fleet)), errors, 0};
    p.f->doc = doc;
    report_unknown_keys(
        &p, "", doc,
        "defaults exceptions zones zones_out vms_out pools pipelines "
        "teams operators changes");
    check_sections(&p, doc);
    parse_defaults(&p, json_object_get(doc, "defaults"));
    parse_zones(&p, json_object_get(doc, "zones"),
                json_object_get(doc, "zones_out"));
    parse_vms_out(&p, json_object_get(doc, "vms_out"));
    parse_pools(&p, json_object_get(doc, "pools"));
    parse_pipelines(&p, json_object_get(doc, "pipelines"));
    parse_teams(&p, json_object_get(doc, "teams"));
    parse_operators(&p, json_object_get(doc, "operators"));
    parse_exceptions(&p, json_object_get(doc, "exceptions"));
    if (p.error_count) {
        fleet_free(p.f);
        return err_set(ST_INVALID, "configuration has %d faults",
                       p.error_count);
    }
    *out = p.f;
    return ST_OK;
}

void
fleet_free(struct fleet *f)
{
    if (!f) {
        return;
    }
    json_decref(f->doc);
    free(f->zones);
    free(f->pools);
    free(f->pipelines);
    free(f->teams);
    free(f->operators);
    free(f->exceptions);
    free(f->vms_out);
    free(f);
}

int
fleet_find_zone(const struct fleet *f, struct str name)
{
    for (int i = 0; i < f->zone_count; i++) {
        if (str_eq(f->zones[i].name, name)) {
            return i;
        }
    }
    return -1;
}

int
fleet_find_pool(const struct fleet *f, struct str name)
{
    for (int i = 0; i < f->pool_count; i++) {
        if (str_eq(f->pools[i].name, name)) {
            return i;
        }
    }
    return -1;
}

int
fleet_find_pipeline(const struct fleet *f, struct str name)
{
    for (int i = 0; i < f->pipeline_count; i++) {
        if (str_eq(f->pipelines[i].name, name)) {
            return i;
        }
    }
    return -1;
}

static void
token_hash(struct str token, unsigned char out[32])
{
    crypto_generichash(out, 32, (const unsigned char *)token.ptr, token.len,
                       NULL, 0);
}

int
fleet_authenticate_team(const struct fleet *f, struct str token)
{
    unsigned char hash[32];
    int found = -1;
    token_hash(token, hash);
    for (int i = 0; i < f->team_count; i++) {
        if (sodium_memcmp(hash, f->teams[i].token_hash, 32) == 0) {
            found = i;
        }
    }
    return token.len ? found : -1;
}

int
fleet_authenticate_operator(const struct fleet *f, struct str token)
{
    unsigned char hash[32];
    int found = -1;
    token_hash(token, hash);
    for (int i = 0; i < f->operator_count; i++) {
        if (sodium_memcmp(hash, f->operators[i].token_hash, 32) == 0) {
            found = i;
        }
    }
    return token.len ? found : -1;
}

void
fleet_format_token_hash(struct str token, char hex[65])
{
    unsigned char hash[32];
    token_hash(token, hash);
    sodium_bin2hex(hex, 65, hash, 32);
}

bool
fleet_vm_out_of_service(const struct fleet *f, struct str vm)
{
    for (int i = 0; i < f->vm_out_count; i++) {
        if (str_eq(f->vms_out[i], vm)) {
            return true;
        }
    }
    return false;
}
