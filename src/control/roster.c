#include "control/roster.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct str
text(const json_t *obj, const char *key)
{
    const json_t *v = json_object_get(obj, key);
    if (!json_is_string(v)) {
        return (struct str){0};
    }
    return str_from_bytes(json_string_value(v), json_string_length(v));
}

static bool
parse_id(struct str hex, uint64_t *out)
{
    char tmp[17] = {0};
    char *end;
    if (hex.len != 16) {
        return false;
    }
    memcpy(tmp, hex.ptr, 16);
    *out = strtoull(tmp, &end, 16);
    return *end == 0 && *out != 0;
}

static enum status
parse_member(const json_t *v, struct roster_member *m)
{
    *m = (struct roster_member){
        .name = text(v, "name"),
        .address = text(v, "address"),
        .zone = text(v, "zone"),
        .region = text(v, "region"),
        .key = text(v, "key"),
        .vote = json_is_true(json_object_get(v, "vote")),
        .incarnation =
            (uint64_t)json_integer_value(json_object_get(v, "incarnation")),
    };
    if (!parse_id(text(v, "id"), &m->node)) {
        return err_set(ST_INVALID, "roster: id must be 16 hex digits");
    }
    if (!m->address.len || !m->region.len) {
        return err_set(ST_INVALID, "roster: member needs address and region");
    }
    return ST_OK;
}

enum status
roster_parse(struct str in, struct roster **out)
{
    json_error_t je;
    json_t *doc = in.len ? json_loadb(in.ptr, in.len, 0, &je)
                         : json_pack("{s:[]}", "members");
    json_t *list = json_object_get(doc, "members");
    if (!json_is_array(list)) {
        json_decref(doc);
        return err_set(ST_INVALID, "roster: needs an array members");
    }
    struct roster *r = mem_calloc(1, sizeof(*r));
    r->doc = doc;
    r->members = mem_calloc(json_array_size(list), sizeof(*r->members));
    size_t i;
    json_t *v;
    json_array_foreach(list, i, v)
    {
        struct roster_member m;
        if (parse_member(v, &m) != ST_OK || roster_find(r, m.node)) {
            roster_free(r);
            return err_set(ST_INVALID, "roster: bad member %zu", i);
        }
        r->members[r->count++] = m;
    }
    *out = r;
    return ST_OK;
}

void
roster_free(struct roster *r)
{
    if (r) {
        json_decref(r->doc);
        free(r->members);
        free(r);
    }
}

const struct roster_member *
roster_find(const struct roster *r, uint64_t node)
{
    for (int i = 0; r && i < r->count; i++) {
        if (r->members[i].node == node) {
            return &r->members[i];
        }
    }
    return NULL;
}

int
roster_count_voters(const struct roster *r, struct str region)
{
    int n = 0;
    for (int i = 0; r && i < r->count; i++) {
        n += r->members[i].vote && str_eq(r->members[i].region, region);
    }
    return n;
}

static void
put(json_t *list, const struct roster_member *m)
{
    char id[17];
    snprintf(id, sizeof(id), "%016" PRIx64, m->node);
    json_array_append_new(
        list,
        json_pack("{s:s s:s% s:s% s:s% s:s% s:I s:s% s:b}", "id", id, "name",
                  m->name.ptr ? m->name.ptr : "", m->name.len, "address",
                  m->address.ptr, m->address.len, "zone",
                  m->zone.ptr ? m->zone.ptr : "", m->zone.len, "region",
                  m->region.ptr, m->region.len, "incarnation",
                  (json_int_t)m->incarnation, "key",
                  m->key.ptr ? m->key.ptr : "", m->key.len, "vote", m->vote));
}

/* Writes the document with the members other than skip. The member extra, if
 * not NULL, takes the place of skip or comes last. */
static void
dump(const struct roster *r, uint64_t skip, const struct roster_member *extra,
     struct buf *out)
{
    json_t *list = json_array();
    for (int i = 0; r && i < r->count; i++) {
        if (r->members[i].node != skip) {
            put(list, &r->members[i]);
        }
        else if (extra) {
            put(list, extra);
            extra = NULL;
        }
    }
    if (extra) {
        put(list, extra);
    }
    json_t *doc = json_pack("{s:o}", "members", list);
    char *s = json_dumps(doc, JSON_COMPACT);
    if (!s) {
        abort();
    }
    buf_append_str(out, str_from_cstr(s));
    free(s);
    json_decref(doc);
}

void
roster_write_with(const struct roster *r, const struct roster_member *m,
                  struct buf *out)
{
    dump(r, m->node, m, out);
}

void
roster_write_without(const struct roster *r, uint64_t node, struct buf *out)
{
    dump(r, node, NULL, out);
}
