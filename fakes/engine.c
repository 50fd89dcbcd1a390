#include "fakes/engine.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/hash.h"

struct prefix_cache {
    int entries;
    GQueue *recent; /* uint64_t hashes as pointers, most recently used first */
};

struct prefix_cache *
prefix_cache_new(int entries)
{
    struct prefix_cache *c = mem_calloc(1, sizeof(*c));
    c->entries = entries;
    c->recent = g_queue_new();
    return c;
}

void
prefix_cache_free(struct prefix_cache *c)
{
    g_queue_free(c->recent);
    free(c);
}

int
prefix_cache_lookup(struct prefix_cache *c, struct str prompt)
{
    size_t n =
        prompt.len < ENGINE_PREFIX_BYTES ? prompt.len : ENGINE_PREFIX_BYTES;
    void *key = (void *)(uintptr_t)hash64(str_from_bytes(prompt.ptr, n));
    bool hit = g_queue_remove(c->recent, key);
    g_queue_push_head(c->recent, key);
    if ((int)g_queue_get_length(c->recent) > c->entries) {
        g_queue_pop_tail(c->recent);
    }
    return hit ? engine_count_tokens(str_from_bytes(prompt.ptr, n)) : 0;
}

int
engine_count_tokens(struct str prompt)
{
    return (int)(prompt.len / 4) + 1;
}

struct str
engine_request_prompt(json_t *body)
{
    static const char *const names[] = {"prompt", "input", "query"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        json_t *v = json_object_get(body, names[i]);
        if (json_is_string(v)) {
            return str_from_bytes(json_string_value(v), json_string_length(v));
        }
    }
    return STR_LIT("");
}

int
engine_completion_tokens(struct str prompt, int max_tokens)
{
    int half = max_tokens / 2;
    return max_tokens - (int)(hash64(prompt) % (uint64_t)(half + 1));
}

void
engine_format_token(struct str prompt, int index, uint64_t variant,
                    char out[16])
{
    static const char *const words[] = {"oar",   "paddle", "timber", "tide",
                                        "meter", "valve",  "permit", "grain"};
    uint64_t h = hash64(prompt) ^ variant;
    h = (h ^ (uint64_t)index) * 0x9e3779b97f4a7c15u;
    snprintf(out, 16, " %s%d", words[h >> 61], index);
}

static json_t *
embedding_response(json_t *body, uint64_t variant)
{
    struct str in = engine_request_prompt(body);
    json_t *v = json_array();
    uint64_t h = hash64(in) ^ variant;
    for (int i = 0; i < 8; i++) {
        json_array_append_new(v, json_real((double)(h >> 40) / (1 << 24)));
        h = h * 6364136223846793005u + 1442695040888963407u;
    }
    return json_pack("{s:s,s:[{s:s,s:i,s:o}],s:{s:i,s:i}}", "object", "list",
                     "data", "object", "embedding", "index", 0, "embedding", v,
                     "usage", "prompt_tokens", engine_count_tokens(in),
                     "total_tokens", engine_count_tokens(in));
}

static json_t *
documents_response(json_t *body)
{
    json_t *docs = json_array();
    struct str q = engine_request_prompt(body);
    int k = (int)json_integer_value(json_object_get(body, "top_k"));
    for (int i = 0; i < (k ? k : 8); i++) {
        char id[32];
        char text[96];
        snprintf(id, sizeof(id), "doc-%u",
                 (unsigned)((hash64(q) + (uint64_t)i) % 1000));
        snprintf(text, sizeof(text), "Rule %s on the handling of records.",
                 id);
        json_array_append_new(docs,
                              json_pack("{s:s,s:s,s:f}", "id", id, "text",
                                        text, "score", 1.0 / (1 + i)));
    }
    return json_pack("{s:o}", "documents", docs);
}

static json_t *
ranking_response(json_t *body)
{
    json_t *rows = json_array();
    json_t *docs = json_object_get(body, "documents");
    int n = (int)json_integer_value(json_object_get(body, "top_n"));
    int have = (int)json_array_size(docs);
    int rows_out = n > 0 && n < have ? n : have;
    for (int i = 0; i < rows_out; i++) {
        json_array_append_new(rows,
                              json_pack("{s:i,s:f}", "index", have - 1 - i,
                                        "relevance_score", 1.0 / (1 + i)));
    }
    return json_pack("{s:o}", "results", rows);
}

static json_t *
completion_response(json_t *body, uint64_t variant)
{
    struct buf text = {0};
    char token[16];
    struct str prompt = engine_request_prompt(body);
    int max = (int)json_integer_value(json_object_get(body, "max_tokens"));
    int n = engine_completion_tokens(prompt, max > 0 ? max : 16);
    for (int i = 0; i < n; i++) {
        engine_format_token(prompt, i, variant, token);
        buf_append_str(&text, str_from_cstr(token));
    }
    json_t *out = json_pack(
        "{s:s,s:[{s:i,s:s#,s:s}],s:{s:i,s:i}}", "object", "text_completion",
        "choices", "index", 0, "text", text.ptr ? text.ptr : "", (int)text.len,
        "finish_reason", "stop", "usage", "prompt_tokens",
        engine_count_tokens(prompt), "completion_tokens", n);
    buf_free(&text);
    return out;
}

json_t *
engine_build_response(enum stage_kind kind, json_t *body, uint64_t variant)
{
    switch (kind) {
    case STAGE_ENCODE:
        return embedding_response(body, variant);
    case STAGE_RETRIEVE:
        return documents_response(body);
    case STAGE_RERANK:
        return ranking_response(body);
    case STAGE_GENERATE:
        return completion_response(body, variant);
    case STAGE_SERVICE:
    case STAGE_KIND_COUNT:
        break;
    }
    return json_object();
}

void
engine_cold_set(struct engine_cold *c, bool cold)
{
    c->cold = cold;
    c->capacity = c->cold_capacity;
    c->answers_since_cold = 0;
    c->answers_at_capacity = 0;
}

void
engine_cold_count_answer(struct engine_cold *c)
{
    if (!c->cold) {
        return;
    }
    c->answers_since_cold++;
    c->answers_at_capacity++;
    if (c->doubles_capacity && c->answers_at_capacity >= c->capacity) {
        c->capacity *= 2;
        c->answers_at_capacity = 0;
    }
    c->cold = c->answers_since_cold < c->warm_after_answers;
}

bool
engine_cold_count_arrival(struct engine_cold *c, int load)
{
    if (!c->cold || load <= c->capacity) {
        return false;
    }
    c->overload++;
    if (load - c->capacity > c->overload_max) {
        c->overload_max = load - c->capacity;
    }
    return true;
}
