#include "model/fleet.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* The state of one parse: where faults go and how many there were. */
struct parse {
    struct fleet *f;
    struct buf *errors;
    int faults;
};

static const struct {
    const char *name;
    int64_t lo, hi, def;
} setting_table[] = {
#define X(id, name, lo, hi, def) [FLEET_##id] = {name, lo, hi, def},
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
    REQ_CLASS_LIST(X)
#undef X
};

const char *
fleet_setting_name(enum fleet_setting s)
{
    return setting_table[s].name;
}

enum fleet_setting
fleet_setting_find(struct str name)
{
    int s = 0;
    while (s < FLEET_SETTING_COUNT && !str_eq_c(name, setting_table[s].name)) {
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
req_class_name(enum req_class c)
{
    return class_names[c];
}

static struct str
text_of(const json_t *v)
{
    if (!json_is_string(v)) {
        return (struct str){0};
    }
    return str_of(json_string_value(v), json_string_length(v));
}

static void
fault(struct parse *p, const char *path, const char *key, const char *why)
{
    buf_printf(p->errors, "%s%s%s: %s\n", path, key && *key ? "/" : "",
               key ? key : "", why);
    p->faults++;
}

/* Reports every key of obj that is not in the space-separated list. */
static void
only_keys(struct parse *p, const char *path, json_t *obj, const char *list)
{
    const char *key;
    json_t *v;
    json_object_foreach(obj, key, v)
    {
        size_t n = strlen(key);
        const char *at = list;
        bool known = false;
        /* strstr finds the empty key everywhere and would never end. */
        while (n > 0 && !known && (at = strstr(at, key))) {
            known = (at == list || at[-1] == ' ') && (at[n] == ' ' || !at[n]);
            at += n;
        }
        if (!known) {
            fault(p, path, key, "unknown key");
        }
    }
}

static struct str
need_text(struct parse *p, const char *path, json_t *obj, const char *key)
{
    struct str s = text_of(json_object_get(obj, key));
    if (!s.len) {
        fault(p, path, key, "must be a non-empty string");
    }
    return s;
}

static int
name_index(const char *const *names, int count, struct str s)
{
    for (int i = 0; i < count; i++) {
        if (str_eq_c(s, names[i])) {
            return i;
        }
    }
    return -1;
}

static int64_t
setting_value(struct parse *p, const char *path, enum fleet_setting s,
              const json_t *v)
{
    int64_t lo = setting_table[s].lo;
    int64_t hi = setting_table[s].hi;
    if (!json_is_integer(v) || json_integer_value(v) < lo ||
        json_integer_value(v) > hi) {
        char why[96];
        snprintf(why, sizeof(why),
                 "must be an integer from %" PRId64 " to %" PRId64, lo, hi);
        fault(p, path, setting_table[s].name, why);
        return setting_table[s].def;
    }
    return json_integer_value(v);
}

static void
parse_defaults(struct parse *p, json_t *obj)
{
    for (int s = 0; s < FLEET_SETTING_COUNT; s++) {
        p->f->defaults[s] = setting_table[s].def;
    }
    const char *key;
    json_t *v;
    json_object_foreach(obj, key, v)
    {
        enum fleet_setting s = fleet_setting_find(str_from(key));
        if (s == FLEET_SETTING_COUNT) {
            fault(p, "defaults", key, "unknown setting");
            continue;
        }
        p->f->defaults[s] = setting_value(p, "defaults", s, v);
    }
}

/* Object tables: one array element per key of obj. */
static void *
table(json_t *obj, size_t size, int *count)
{
    *count = 0;
    return mem_zero(json_object_size(obj), size);
}

static void
parse_zones(struct parse *p, json_t *obj, json_t *out)
{
    const char *key;
    json_t *v;
    p->f->zones = table(obj, sizeof(struct fleet_zone), &p->f->zone_count);
    json_object_foreach(obj, key, v)
    {
        char path[128];
        snprintf(path, sizeof(path), "zones/%s", key);
        only_keys(p, path, v, "region");
        struct fleet_zone *z = &p->f->zones[p->f->zone_count++];
        z->name = str_from(key);
        z->region = need_text(p, path, v, "region");
    }
    json_object_foreach(out, key, v)
    {
        char path[128];
        snprintf(path, sizeof(path), "zones_out/%s", key);
        int z = fleet_zone_find(p->f, str_from(key));
        only_keys(p, path, v, "reason by");
        struct str reason = need_text(p, path, v, "reason");
        if (z < 0) {
            fault(p, path, "", "no such zone");
            continue;
        }
        p->f->zones[z].out = true;
        p->f->zones[z].reason = reason;
    }
}

static void
parse_vms_out(struct parse *p, json_t *obj)
{
    const char *key;
    json_t *v;
    p->f->vms_out = table(obj, sizeof(struct str), &p->f->vm_out_count);
    json_object_foreach(obj, key, v)
    {
        char path[128];
        snprintf(path, sizeof(path), "vms_out/%s", key);
        only_keys(p, path, v, "reason by");
        need_text(p, path, v, "reason");
        p->f->vms_out[p->f->vm_out_count++] = str_from(key);
    }
}

static void
parse_pools(struct parse *p, json_t *obj)
{
    const char *key;
    json_t *v;
    p->f->pools = table(obj, sizeof(struct fleet_pool), &p->f->pool_count);
    json_object_foreach(obj, key, v)
    {
        char path[128];
        snprintf(path, sizeof(path), "pools/%s", key);
        only_keys(p, path, v, "kind fencing model");
        struct fleet_pool *pool = &p->f->pools[p->f->pool_count++];
        pool->name = str_from(key);
        int kind = name_index(kind_names, STAGE_KIND_COUNT,
                              text_of(json_object_get(v, "kind")));
        if (kind < 0) {
            fault(p, path, "kind",
                  "must be encode, retrieve, rerank, generate or service");
            kind = STAGE_SERVICE;
        }
        pool->kind = kind;
        json_t *fencing = json_object_get(v, "fencing");
        pool->fencing_checked = str_eq_c(text_of(fencing), "checked");
        if (fencing && !pool->fencing_checked &&
            !str_eq_c(text_of(fencing), "ignored")) {
            fault(p, path, "fencing", "must be checked or ignored");
        }
        pool->model = text_of(json_object_get(v, "model"));
        memcpy(pool->settings, p->f->defaults, sizeof(pool->settings));
    }
}

static int
small_int(struct parse *p, const char *path, json_t *obj, const char *key,
          int hi, int def)
{
    json_t *v = json_object_get(obj, key);
    if (!v) {
        return def;
    }
    if (!json_is_integer(v) || json_integer_value(v) < 1 ||
        json_integer_value(v) > hi) {
        fault(p, path, key, "out of range");
        return def;
    }
    return (int)json_integer_value(v);
}

static void
parse_stage(struct parse *p, const char *path, json_t *v,
            struct fleet_stage *st)
{
    only_keys(p, path, v, "name pool path repeatable max_tokens top_k");
    st->name = need_text(p, path, v, "name");
    struct str pool = need_text(p, path, v, "pool");
    st->pool = fleet_pool_find(p->f, pool);
    if (st->pool < 0) {
        fault(p, path, "pool", "no such pool");
        st->pool = 0;
        st->kind = STAGE_SERVICE;
    }
    else {
        st->kind = p->f->pools[st->pool].kind;
    }
    json_t *route = json_object_get(v, "path");
    st->path = route ? text_of(route) : str_from(kind_paths[st->kind]);
    if (!st->path.len || st->path.ptr[0] != '/') {
        fault(p, path, "path", "must begin with /");
    }
    json_t *rep = json_object_get(v, "repeatable");
    st->repeatable = rep ? json_is_true(rep) : st->kind != STAGE_SERVICE;
    if (st->kind == STAGE_SERVICE && !json_is_boolean(rep)) {
        fault(p, path, "repeatable", "a service stage must say true or false");
    }
    if (st->kind != STAGE_SERVICE && !st->repeatable) {
        fault(p, path, "repeatable",
              "only a service stage may be non-repeatable");
    }
    st->max_tokens = small_int(p, path, v, "max_tokens", 1000000, 256);
    st->top_k = small_int(p, path, v, "top_k", 10000, 8);
}

static void
parse_pipelines(struct parse *p, json_t *obj)
{
    const char *key;
    json_t *v;
    p->f->pipelines =
        table(obj, sizeof(struct fleet_pipeline), &p->f->pipeline_count);
    json_object_foreach(obj, key, v)
    {
        char path[160];
        snprintf(path, sizeof(path), "pipelines/%s", key);
        only_keys(p, path, v, "class stages");
        struct fleet_pipeline *pl = &p->f->pipelines[p->f->pipeline_count++];
        pl->name = str_from(key);
        int class = name_index(class_names, CLASS_COUNT,
                               text_of(json_object_get(v, "class")));
        if (class < 0) {
            fault(p, path, "class", "must be interactive, action or bulk");
            class = CLASS_INTERACTIVE;
        }
        pl->class = class;
        memcpy(pl->settings, p->f->defaults, sizeof(pl->settings));
        json_t *stages = json_object_get(v, "stages");
        size_t n = json_array_size(stages);
        if (n < 1 || n > FLEET_MAX_STAGES) {
            fault(p, path, "stages", "must be a list of 1 to 8 stages");
            continue;
        }
        for (size_t i = 0; i < n; i++) {
            char at[200];
            snprintf(at, sizeof(at), "%s/stages/%zu", path, i);
            struct fleet_stage *st = &pl->stages[pl->stage_count++];
            parse_stage(p, at, json_array_get(stages, i), st);
            pl->needs_key |= !st->repeatable;
        }
    }
}

static bool
hex_hash(struct str hex, unsigned char out[32])
{
    size_t len = 0;
    return hex.len == 64 &&
           sodium_hex2bin(out, 32, hex.ptr, hex.len, NULL, &len, NULL) == 0 &&
           len == 32;
}

static void
parse_hash(struct parse *p, const char *path, json_t *v, unsigned char out[32])
{
    if (!hex_hash(text_of(json_object_get(v, "token_hash")), out)) {
        fault(p, path, "token_hash", "must be 64 hex digits");
    }
}

static void
parse_teams(struct parse *p, json_t *obj)
{
    const char *key;
    json_t *v;
    p->f->teams = table(obj, sizeof(struct fleet_team), &p->f->team_count);
    json_object_foreach(obj, key, v)
    {
        char path[128];
        snprintf(path, sizeof(path), "teams/%s", key);
        only_keys(p, path, v, "token_hash");
        struct fleet_team *t = &p->f->teams[p->f->team_count++];
        t->name = str_from(key);
        memcpy(t->settings, p->f->defaults, sizeof(t->settings));
        parse_hash(p, path, v, t->token_hash);
    }
}

static void
parse_operators(struct parse *p, json_t *obj)
{
    const char *key;
    json_t *v;
    p->f->operators =
        table(obj, sizeof(struct fleet_operator), &p->f->operator_count);
    json_object_foreach(obj, key, v)
    {
        char path[128];
        snprintf(path, sizeof(path), "operators/%s", key);
        only_keys(p, path, v, "token_hash role");
        struct fleet_operator *o = &p->f->operators[p->f->operator_count++];
        o->name = str_from(key);
        struct str role = text_of(json_object_get(v, "role"));
        o->may_edit = str_eq_c(role, "operator");
        if (!o->may_edit && !str_eq_c(role, "viewer")) {
            fault(p, path, "role", "must be operator or viewer");
        }
        parse_hash(p, path, v, o->token_hash);
    }
}

/* The resolved settings that an exception's scope names; NULL if none. */
static int64_t *
scope_settings(struct fleet *f, struct str scope)
{
    struct str pool = STR_LIT("pool/");
    struct str pipe = STR_LIT("pipeline/");
    struct str team = STR_LIT("team/");
    if (str_starts(scope, pool)) {
        int i = fleet_pool_find(
            f, str_of(scope.ptr + pool.len, scope.len - pool.len));
        return i < 0 ? NULL : f->pools[i].settings;
    }
    if (str_starts(scope, pipe)) {
        int i = fleet_pipeline_find(
            f, str_of(scope.ptr + pipe.len, scope.len - pipe.len));
        return i < 0 ? NULL : f->pipelines[i].settings;
    }
    if (str_starts(scope, team)) {
        struct str name = str_of(scope.ptr + team.len, scope.len - team.len);
        for (int i = 0; i < f->team_count; i++) {
            if (str_eq(f->teams[i].name, name)) {
                return f->teams[i].settings;
            }
        }
    }
    return NULL;
}

static void
parse_exceptions(struct parse *p, json_t *obj)
{
    const char *key;
    json_t *v;
    p->f->exceptions =
        table(obj, sizeof(struct fleet_exception), &p->f->exception_count);
    json_object_foreach(obj, key, v)
    {
        char path[160];
        snprintf(path, sizeof(path), "exceptions/%s", key);
        only_keys(p, path, v, "scope setting value reason by");
        struct fleet_exception e = {0};
        e.scope = need_text(p, path, v, "scope");
        e.reason = need_text(p, path, v, "reason");
        e.setting = fleet_setting_find(text_of(json_object_get(v, "setting")));
        int64_t *to = scope_settings(p->f, e.scope);
        if (!to) {
            fault(p, path, "scope",
                  "must be pool/NAME, pipeline/NAME or team/NAME");
        }
        if (e.setting == FLEET_SETTING_COUNT) {
            fault(p, path, "setting", "unknown setting");
            continue;
        }
        e.value =
            setting_value(p, path, e.setting, json_object_get(v, "value"));
        if (to) {
            to[e.setting] = e.value;
        }
        p->f->exceptions[p->f->exception_count++] = e;
    }
}

/* Every section is a table, and so is each of its entries but those of
 * defaults; the list of changes is not operators' business. */
static void
check_sections(struct parse *p, json_t *doc)
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
            fault(p, section, "", "must be a table");
            continue;
        }
        json_object_foreach(v, key, entry)
        {
            if (strcmp(section, "defaults") != 0 && !json_is_object(entry)) {
                fault(p, section, key, "must be a table");
            }
        }
    }
}

enum status
fleet_parse(struct str in, struct fleet **out, struct buf *errors)
{
    json_error_t je;
    json_t *doc = json_loadb(in.ptr, in.len, JSON_REJECT_DUPLICATES, &je);
    if (!json_is_object(doc)) {
        buf_printf(errors, "line %d: %s\n", doc ? 1 : je.line,
                   doc ? "must be an object" : je.text);
        json_decref(doc);
        return err_set(ST_INVALID, "configuration is not a JSON object");
    }
    struct parse p = {mem_zero(1, sizeof(struct fleet)), errors, 0};
    p.f->doc = doc;
    only_keys(&p, "", doc,
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
    if (p.faults) {
        fleet_free(p.f);
        return err_set(ST_INVALID, "configuration has %d faults", p.faults);
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
fleet_zone_find(const struct fleet *f, struct str name)
{
    for (int i = 0; i < f->zone_count; i++) {
        if (str_eq(f->zones[i].name, name)) {
            return i;
        }
    }
    return -1;
}

int
fleet_pool_find(const struct fleet *f, struct str name)
{
    for (int i = 0; i < f->pool_count; i++) {
        if (str_eq(f->pools[i].name, name)) {
            return i;
        }
    }
    return -1;
}

int
fleet_pipeline_find(const struct fleet *f, struct str name)
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
fleet_team_auth(const struct fleet *f, struct str token)
{
    unsigned char h[32];
    int found = -1;
    token_hash(token, h);
    for (int i = 0; i < f->team_count; i++) {
        if (sodium_memcmp(h, f->teams[i].token_hash, 32) == 0) {
            found = i;
        }
    }
    return token.len ? found : -1;
}

int
fleet_operator_auth(const struct fleet *f, struct str token)
{
    unsigned char h[32];
    int found = -1;
    token_hash(token, h);
    for (int i = 0; i < f->operator_count; i++) {
        if (sodium_memcmp(h, f->operators[i].token_hash, 32) == 0) {
            found = i;
        }
    }
    return token.len ? found : -1;
}

void
fleet_token_hash(struct str token, char hex[65])
{
    unsigned char h[32];
    token_hash(token, h);
    sodium_bin2hex(hex, 65, h, 32);
}

bool
fleet_vm_out(const struct fleet *f, struct str vm)
{
    for (int i = 0; i < f->vm_out_count; i++) {
        if (str_eq(f->vms_out[i], vm)) {
            return true;
        }
    }
    return false;
}
