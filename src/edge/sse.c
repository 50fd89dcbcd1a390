#include "edge/sse.h"

#include <jansson.h>
#include <string.h>

static bool
process_line(struct sse *s, sse_event_fn *fn, void *ctx)
{
    struct str line = buf_str(&s->line);
    bool ok = true;
    if (line.len == 0) {
        if (s->has_data) {
            ok = fn(ctx, buf_str(&s->data));
        }
        buf_clear(&s->data);
        s->has_data = false;
    }
    else if (str_starts_with(line, STR_LIT("data:"))) {
        size_t skip = line.len > 5 && line.ptr[5] == ' ' ? 6 : 5;
        if (s->has_data) {
            buf_append(&s->data, "\n", 1);
        }
        buf_append(&s->data, line.ptr + skip, line.len - skip);
        s->has_data = true;
    }
    buf_clear(&s->line);
    return ok;
}

bool
sse_parse(struct sse *s, const char *p, size_t len, sse_event_fn *fn,
          void *ctx)
{
    const char *end = p + len;
    while (p < end) {
        if (s->skip_lf && *p == '\n') {
            s->skip_lf = false;
            p++;
            continue;
        }
        s->skip_lf = false;
        const char *q = p;
        while (q < end && *q != '\n' && *q != '\r') {
            q++;
        }
        if (s->line.len + s->data.len + (size_t)(q - p) >
            SSE_MAX_EVENT_BYTES) {
            return false;
        }
        buf_append(&s->line, p, (size_t)(q - p));
        if (q == end) {
            break;
        }
        s->skip_lf = *q == '\r';
        p = q + 1;
        if (!process_line(s, fn, ctx)) {
            return false;
        }
    }
    return true;
}

void
sse_free(struct sse *s)
{
    buf_free(&s->line);
    buf_free(&s->data);
    *s = (struct sse){0};
}

bool
sse_token(struct str data, struct sse_token *out)
{
    json_t *j = json_loadb(data.ptr, data.len, 0, NULL);
    json_t *choice = json_array_get(json_object_get(j, "choices"), 0);
    *out = (struct sse_token){.index = -1};
    if (!json_is_object(choice)) {
        json_decref(j);
        return false;
    }
    json_t *text = json_object_get(choice, "text");
    json_t *index = json_object_get(j, "token_index");
    int64_t n = json_is_integer(index) ? json_integer_value(index) : -1;
    if (json_is_integer(index) && (n < 0 || n > SSE_MAX_TOKEN_INDEX)) {
        json_decref(j);
        return false;
    }
    /* The last chunk has an empty text and no index; it carries no
     * token. */
    if (json_is_string(text) &&
        (json_string_length(text) > 0 || json_is_integer(index))) {
        out->has_text = true;
        out->text = str_dup(
            str_from_bytes(json_string_value(text), json_string_length(text)));
    }
    out->index = (int)n;
    json_decref(j);
    return true;
}
