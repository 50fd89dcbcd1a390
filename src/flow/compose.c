#include "flow/compose.h"

#include <stdlib.h>

#include "base/hash.h"

static json_t *
request_text(const struct compose_input *in)
{
    static const char *const names[] = {"input", "query", "prompt"};
    for (size_t i = 0; i < sizeof(names) / sizeof(*names); i++) {
        json_t *v = json_object_get(in->request, names[i]);
        if (json_is_string(v)) {
            return json_incref(v);
        }
    }
    char *all = json_dumps(in->request, JSON_COMPACT);
    json_t *v = json_string(all ? all : "");
    free(all);
    return v;
}

/* The result of the last stage before @p stage that has one of two kinds; a
 * borrowed reference, or NULL. */
static json_t *
find_newest_result(const struct compose_input *in, int stage,
                   enum stage_kind kind_a, enum stage_kind kind_b)
{
    for (int i = stage - 1; i >= 0; i--) {
        enum stage_kind k = in->pipeline->stages[i].kind;
        if (in->results[i] && (k == kind_a || k == kind_b)) {
            return in->results[i];
        }
    }
    return NULL;
}

static struct str
doc_text(json_t *doc)
{
    json_t *t = json_is_object(doc) ? json_object_get(doc, "text") : doc;
    return json_is_string(t)
               ? str_from_bytes(json_string_value(t), json_string_length(t))
               : (struct str){0};
}

static json_t *
doc_texts(json_t *docs)
{
    json_t *out = json_array();
    size_t i;
    json_t *doc;
    json_array_foreach(docs, i, doc)
    {
        struct str t = doc_text(doc);
        json_array_append_new(out, t.ptr ? json_stringn(t.ptr, t.len)
                                         : json_deep_copy(doc));
    }
    return out;
}

/* The documents come before the request text, so that prompts with the same
 * documents begin alike and engines can reuse their prefix cache. */
static json_t *
build_prompt(const struct compose_input *in, int stage)
{
    struct buf b = {0};
    json_t *docs = find_newest_result(in, stage, STAGE_RERANK, STAGE_RETRIEVE);
    size_t i;
    json_t *doc;
    json_array_foreach(docs, i, doc)
    {
        buf_append_str(&b, doc_text(doc));
        buf_append(&b, "\n\n", 2);
    }
    json_t *text = request_text(in);
    buf_append(&b, json_string_value(text), json_string_length(text));
    json_decref(text);
    json_t *out = json_stringn(b.ptr, b.len);
    buf_free(&b);
    return out;
}

static json_t *
results_by_name(const struct compose_input *in, int stage)
{
    json_t *out = json_object();
    for (int i = 0; i < stage; i++) {
        const struct fleet_stage *s = &in->pipeline->stages[i];
        if (in->results[i] && s->kind != STAGE_ENCODE) {
            json_object_setn(out, s->name.ptr, s->name.len, in->results[i]);
        }
    }
    return out;
}

static json_t *
build_call_body(const struct compose_input *in, int stage, int resume_from)
{
    const struct fleet_stage *s = &in->pipeline->stages[stage];
    struct str model = in->fleet->pools[s->pool].model;
    json_t *o = json_object();
    if (model.len) {
        json_object_set_new(o, "model", json_stringn(model.ptr, model.len));
    }
    json_t *v;
    switch (s->kind) {
    case STAGE_ENCODE:
        json_object_set_new(o, "input", request_text(in));
        break;
    case STAGE_RETRIEVE:
        json_object_set_new(o, "query", request_text(in));
        json_object_set_new(o, "top_k", json_integer(s->top_k));
        v = find_newest_result(in, stage, STAGE_ENCODE, STAGE_ENCODE);
        if (v) {
            json_object_set(o, "embedding", v);
        }
        break;
    case STAGE_RERANK:
        json_object_set_new(o, "query", request_text(in));
        json_object_set_new(o, "top_n", json_integer(s->top_k));
        v = find_newest_result(in, stage, STAGE_RETRIEVE, STAGE_RERANK);
        v = v ? doc_texts(v)
              : json_deep_copy(json_object_get(in->request, "documents"));
        json_object_set_new(o, "documents", v ? v : json_array());
        break;
    case STAGE_GENERATE:
        json_object_set_new(o, "prompt", build_prompt(in, stage));
        json_object_set_new(o, "max_tokens", json_integer(s->max_tokens));
        json_object_set_new(o, "stream", json_true());
        json_object_set_new(o, "priority",
                            json_integer((int)in->pipeline->class));
        if (resume_from > 0) {
            json_object_set_new(o, "resume_from", json_integer(resume_from));
        }
        json_object_set_new(
            o, "request_id",
            json_stringn(in->request_id.ptr, in->request_id.len));
        break;
    case STAGE_SERVICE:
    case STAGE_KIND_COUNT:
        json_object_set(o, "request", in->request);
        json_object_set_new(o, "results", results_by_name(in, stage));
        break;
    }
    return o;
}

/* Writes a JSON value as text and releases the reference. */
static struct str
dump_and_release(json_t *o)
{
    char *s = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    return str_from_cstr(s ? s : mem_calloc(1, 1));
}

struct str
compose_call_body(const struct compose_input *in, int stage, int resume_from)
{
    return dump_and_release(build_call_body(in, stage, resume_from));
}

uint64_t
compose_prompt_hash(const struct compose_input *in, int stage)
{
    if (in->pipeline->stages[stage].kind != STAGE_GENERATE) {
        return 0;
    }
    json_t *prompt = build_prompt(in, stage);
    size_t len = json_string_length(prompt);
    uint64_t hash = hash64(
        str_from_bytes(json_string_value(prompt), len < 1024 ? len : 1024));
    json_decref(prompt);
    return hash;
}

/* The documents in the order of the rerank's @p rows; NULL if a row
 * has no document. */
static json_t *
reorder_documents(const struct compose_input *in, int stage, json_t *rows)
{
    json_t *docs = find_newest_result(in, stage, STAGE_RETRIEVE, STAGE_RERANK);
    if (!docs) {
        docs = json_object_get(in->request, "documents");
    }
    json_t *out = json_array();
    size_t i;
    json_t *row;
    json_array_foreach(rows, i, row)
    {
        json_t *index = json_object_get(row, "index");
        json_t *doc = json_is_integer(index) && json_integer_value(index) >= 0
                          ? json_array_get(docs, json_integer_value(index))
                          : json_object_get(row, "document");
        if (!doc) {
            json_decref(out);
            return NULL;
        }
        json_array_append(out, doc);
    }
    return out;
}

static json_t *
get_member(json_t *o, const char *name, bool (*is_type)(const json_t *))
{
    json_t *v = json_object_get(o, name);
    return v && is_type(v) ? json_incref(v) : NULL;
}

static bool
is_array(const json_t *v)
{
    return json_is_array(v);
}

static json_t *
extract_result(const struct compose_input *in, int stage, json_t *o)
{
    json_t *v;
    switch (in->pipeline->stages[stage].kind) {
    case STAGE_ENCODE:
        v = json_array_get(json_object_get(o, "data"), 0);
        return get_member(v, "embedding", is_array);
    case STAGE_RETRIEVE:
        return get_member(o, "documents", is_array);
    case STAGE_RERANK:
        v = json_object_get(o, "results");
        return json_is_array(v) ? reorder_documents(in, stage, v) : NULL;
    case STAGE_GENERATE:
        v = json_array_get(json_object_get(o, "choices"), 0);
        v = json_object_get(v, "text");
        return json_is_string(v) ? json_incref(v) : NULL;
    case STAGE_SERVICE:
    case STAGE_KIND_COUNT:
        break;
    }
    return json_incref(o);
}

json_t *
compose_result(const struct compose_input *in, int stage, struct str body)
{
    json_t *o = json_loadb(body.ptr ? body.ptr : "", body.len,
                           JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);
    if (!o && !in->pipeline->stages[stage].repeatable) {
        o = body.len ? json_stringn(body.ptr, body.len) : NULL;
        return o ? o : json_null();
    }
    if (!o) {
        return NULL;
    }
    json_t *v = extract_result(in, stage, o);
    json_decref(o);
    return v;
}

struct str
compose_answer(const struct compose_input *in)
{
    const struct fleet_pipeline *p = in->pipeline;
    json_t *o = json_object();
    json_object_set_new(o, "request_id",
                        json_stringn(in->request_id.ptr, in->request_id.len));
    json_object_set_new(o, "pipeline", json_stringn(p->name.ptr, p->name.len));
    json_t *last = in->results[p->stage_count - 1];
    json_object_set_new(o, "output", last ? json_incref(last) : json_null());
    json_t *stages = json_array();
    for (int i = 0; i < p->stage_count; i++) {
        const struct fleet_stage *s = &p->stages[i];
        json_t *row = json_object();
        json_object_set_new(row, "name",
                            json_stringn(s->name.ptr, s->name.len));
        json_object_set_new(row, "kind",
                            json_string(stage_kind_name(s->kind)));
        if (in->replayed & 1u << i) {
            json_object_set_new(row, "replayed", json_true());
        }
        if (in->results[i] && s->kind == STAGE_SERVICE) {
            json_object_set(row, "output", in->results[i]);
        }
        json_array_append_new(stages, row);
    }
    json_object_set_new(o, "stages", stages);
    return dump_and_release(o);
}
