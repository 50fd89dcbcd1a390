#include "control/status.h"

#include <stdlib.h>

#include "model/edit.h"

/* Times outside of +/- this many ms stand for "never" and become null. */
#define NEVER_MS (INT64_C(1) << 40)

static json_t *
text(struct str s)
{
    return json_stringn(s.ptr ? s.ptr : "", s.len);
}

static void
dump(json_t *v, struct buf *out)
{
    char *s = json_dumps(v, JSON_COMPACT);
    if (!s) {
        abort();
    }
    buf_append_str(out, str_from_cstr(s));
    free(s);
    json_decref(v);
}

void
status_write_config(const struct docs *d, struct buf *out)
{
    struct doc doc = docs_get(d, DOC_CONFIG);
    json_t *config =
        json_loadb(doc.bytes.ptr ? doc.bytes.ptr : "", doc.bytes.len, 0, NULL);
    edit_redact_token_hashes(config);
    dump(json_pack("{s:I s:o}", "revision", (json_int_t)doc.revision, "config",
                   config ? config : json_null()),
         out);
}

static json_t *
ms_or_null(int64_t us)
{
    int64_t t = us / 1000;
    return t < NEVER_MS && t > -NEVER_MS ? json_integer(t) : json_null();
}

static json_t *
nodes(const struct status_input *in)
{
    static const char *const states[] = {"alive", "suspect", "dead", "left"};
    json_t *list = json_array();
    const struct view *v = member_view(in->member);
    for (int i = 0; i < v->count; i++) {
        const struct view_member *m = &v->members[i];
        const struct roster_member *r =
            roster_find(docs_roster(in->docs), m->node);
        enum member_state state = MEMBER_ALIVE;
        int64_t since = in->now_us;
        member_get_state(in->member, m->node, &state, &since);
        json_array_append_new(
            list,
            json_pack(
                "{s:o s:o s:o s:o s:s s:b s:b s:I}", "name", text(m->name),
                "zone", text(m->zone), "region", text(m->region), "address",
                text(m->address), "state", states[state], "in_roster",
                m->in_roster, "vote", r && r->vote, "config",
                (json_int_t)(m->node == v->self
                                 ? docs_get(in->docs, DOC_CONFIG).revision
                                 : member_known_revision(in->member, m->node,
                                                         DOC_CONFIG))));
    }
    return list;
}

static json_t *
zones(const struct fleet *f)
{
    json_t *list = json_array();
    for (int i = 0; i < f->zone_count; i++) {
        const struct fleet_zone *z = &f->zones[i];
        json_array_append_new(list, json_pack("{s:o s:o s:b s:o}", "name",
                                              text(z->name), "region",
                                              text(z->region), "out", z->out,
                                              "reason", text(z->reason)));
    }
    return list;
}

static json_t *
pools(const struct status_input *in)
{
    const struct snapshot *s = in->snapshot;
    json_t *list = json_array();
    for (int p = 0; p < s->fleet->pool_count; p++) {
        int total = 0;
        int usable = 0;
        int cold = 0;
        for (int i = 0; i < s->endpoint_count; i++) {
            const struct snapshot_endpoint *e = &s->endpoints[i];
            if (e->pool == p) {
                total++;
                usable += e->usable;
                cold += in->is_cold(in->arg, e->id);
            }
        }
        json_array_append_new(list, json_pack("{s:o s:i s:i s:i}", "name",
                                              text(s->fleet->pools[p].name),
                                              "endpoints", total, "usable",
                                              usable, "cold", cold));
    }
    return list;
}

void
status_write_report(const struct status_input *in, struct buf *out)
{
    const struct view *v = member_view(in->member);
    const struct view_member *self = view_find(v, v->self);
    json_t *revisions = json_pack(
        "{s:I s:I s:I}", "config",
        (json_int_t)docs_get(in->docs, DOC_CONFIG).revision, "roster",
        (json_int_t)docs_get(in->docs, DOC_ROSTER).revision, "vms",
        (json_int_t)docs_get(in->docs, DOC_VMS).revision);
    dump(json_pack("{s:o s:b s:b s:o s:o s:o s:o s:o s:o s:i}", "node",
                   text(self->name), "ready", in->ready, "leaving",
                   in->leaving, "fresh_ms",
                   ms_or_null(in->fresh_until_us - in->now_us), "store_age_ms",
                   ms_or_null(member_store_age_us(in->member, in->now_us)),
                   "revisions", revisions, "nodes", nodes(in), "zones",
                   in->snapshot ? zones(in->snapshot->fleet) : json_array(),
                   "pools", in->snapshot ? pools(in) : json_array(),
                   "open_edits", in->open_edits),
         out);
}
