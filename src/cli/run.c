/* The commands "run" and "trace". */
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "base/clean.h"
#include "cli/cli.h"

static void
decref(json_t **v)
{
    json_decref(*v);
}

/* State of a streamed response. */
struct event_stream {
    const struct cli *c;
    struct buf unread; /* bytes after the last complete line */
    char event[16];
    bool done;
    struct cli_response error; /* its body is that of the error event */
};

static void
handle_line(struct event_stream *s, struct str line)
{
    struct str event = STR_LIT("event: ");
    struct str data = STR_LIT("data: ");
    if (str_starts_with(line, event)) {
        snprintf(s->event, sizeof(s->event), "%.*s", (int)(line.len - 7),
                 line.ptr + 7);
        return;
    }
    if (!str_starts_with(line, data)) {
        return;
    }
    struct str body = str_from_bytes(line.ptr + 6, line.len - 6);
    if (strcmp(s->event, "token") == 0) {
        CLEANUP(decref) json_t *o = json_loadb(body.ptr, body.len, 0, NULL);
        const char *text = json_string_value(json_object_get(o, "text"));
        fputs(text ? text : "", s->c->io.out);
        fflush(s->c->io.out);
    }
    else if (strcmp(s->event, "done") == 0) {
        s->done = true;
    }
    else if (strcmp(s->event, "error") == 0) {
        buf_append_str(&s->error.body, body);
        s->error.status = 500;
    }
}

static void
on_bytes(void *ctx, struct str bytes)
{
    struct event_stream *s = ctx;
    char *end;
    size_t from = 0;
    buf_append_str(&s->unread, bytes);
    while ((end = memchr(s->unread.ptr + from, '\n', s->unread.len - from))) {
        size_t at = (size_t)(end - s->unread.ptr);
        size_t len = at - from;
        len -= len && s->unread.ptr[at - 1] == '\r';
        handle_line(s, str_from_bytes(s->unread.ptr + from, len));
        from = at + 1;
    }
    memmove(s->unread.ptr, s->unread.ptr + from, s->unread.len - from);
    s->unread.len -= from;
}

static bool
read_body(const struct cli *c, struct buf *out)
{
    char chunk[4096];
    size_t n;
    FILE *f = c->arg_count > 1 ? fopen(c->args[1], "re") : c->io.in;
    if (!f) {
        fprintf(c->io.err, "%s cannot be read\n", c->args[1]);
        return false;
    }
    while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0) {
        buf_append(out, chunk, n);
    }
    if (f != c->io.in) {
        fclose(f);
    }
    return true;
}

static int
print_answer(const struct cli *c, const struct cli_response *a)
{
    CLEANUP(decref)
    json_t *o =
        json_loadb(a->body.ptr ? a->body.ptr : "", a->body.len, 0, NULL);
    json_t *output = json_object_get(o, "output");
    if (!c->json && json_is_string(output)) {
        fprintf(c->io.out, "%s\n", json_string_value(output));
    }
    else if (o) {
        json_dumpf(c->json || !output ? o : output, c->io.out,
                   JSON_INDENT(2) | JSON_ENCODE_ANY);
        fputc('\n', c->io.out);
    }
    return o ? CLI_DONE : CLI_UNCONFIRMED;
}

/* Tries the next node only if no byte of the request was sent before, so that
 * the request does not run twice. */
int
cli_run_pipeline(const struct cli *c)
{
    CLEANUP(buf_free) struct buf body = {0};
    char key[256];
    char deadline[64];
    const char *headers[4] = {0};
    int n = 0;
    if (!read_body(c, &body)) {
        return CLI_USAGE;
    }
    if (c->key) {
        snprintf(key, sizeof(key), "Idempotency-Key: %s", c->key);
        headers[n++] = key;
    }
    if (c->deadline_ms) {
        snprintf(deadline, sizeof(deadline), "X-Deadline-Ms: %d",
                 c->deadline_ms);
        headers[n++] = deadline;
    }
    if (c->stream) {
        headers[n++] = "Accept: text/event-stream";
    }
    char *path = g_strconcat("/v1/pipelines/", c->args[0], NULL);
    struct event_stream ev = {.c = c};
    struct cli_request r = {.method = "POST",
                            .path = path,
                            .body = buf_str(&body),
                            .headers = headers,
                            .timeout_ms = 3600000};
    r.on_body = c->stream ? on_bytes : NULL;
    r.ctx = &ev;
    int rc = CLI_NO_CONNECTION;
    for (int i = 0; i < c->node_count && rc == CLI_NO_CONNECTION; i++) {
        CLEANUP(cli_response_free) struct cli_response a;
        cli_send_request(c, c->nodes[i], &r, &a);
        if (a.status == 0) {
            fprintf(c->io.err, "%s\n", a.message);
            rc = a.sent ? CLI_UNCONFIRMED : CLI_NO_CONNECTION;
        }
        else if (a.status != 200) {
            rc = cli_print_refusal(c, &a);
        }
        else if (!c->stream) {
            rc = print_answer(c, &a);
        }
        else {
            fputc('\n', c->io.out);
            rc = ev.done ? CLI_DONE : CLI_UNCONFIRMED;
            if (ev.error.status) {
                rc = cli_print_refusal(c, &ev.error);
            }
            else if (!ev.done) {
                fprintf(c->io.err, "the stream ended early\n");
            }
        }
    }
    buf_free(&ev.unread);
    cli_response_free(&ev.error);
    g_free(path);
    return rc;
}

static const char *
text(json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));
    return s ? s : "";
}

/* Returns the id that children of the span have as their parent. */
static const char *
span_id(json_t *span)
{
    return json_object_get(span, "span_id") ? text(span, "span_id")
                                            : text(span, "name");
}

static const char *
span_parent(json_t *span)
{
    return json_object_get(span, "parent_id") ? text(span, "parent_id")
                                              : text(span, "parent");
}

static void
print_span(const struct cli *c, json_t *span, int depth)
{
    int64_t start = json_integer_value(json_object_get(span, "start_us"));
    json_t *end = json_object_get(span, "end_us");
    int64_t us =
        end ? json_integer_value(end) - start
            : json_integer_value(json_object_get(span, "duration_us"));
    json_t *stage = json_object_get(span, "stage");
    char name[96];
    char at[24] = "";
    if (json_is_integer(stage)) {
        snprintf(at, sizeof(at), "%" PRId64,
                 (int64_t)json_integer_value(stage));
    }
    snprintf(name, sizeof(name), "%*s%s", depth * 2, "", text(span, "name"));
    fprintf(c->io.out, "%-24s %-10s %-16s %10.3f ms  %9.3f ms  %s\n", name,
            *at ? at : text(span, "stage"), text(span, "endpoint"),
            (double)start / 1000, (double)us / 1000, text(span, "outcome"));
}

/* Prints the children of parent, or the roots if it is NULL: spans whose
 * parent is not in the list. The depth is limited, since spans that are each
 * other's parents would cause endless recursion. */
static void
print_tree(const struct cli *c, json_t *spans, const char *parent, int depth)
{
    size_t i;
    size_t k;
    json_t *s;
    json_t *p;
    json_array_foreach(spans, i, s)
    {
        bool mine = parent && strcmp(span_parent(s), parent) == 0;
        bool root = !parent;
        json_array_foreach(spans, k, p)
        {
            root &= p == s || strcmp(span_id(p), span_parent(s)) != 0;
        }
        if ((mine || root) && depth < 8) {
            print_span(c, s, depth);
            if (*span_id(s) && strcmp(span_id(s), span_parent(s)) != 0) {
                print_tree(c, spans, span_id(s), depth + 1);
            }
        }
    }
}

int
cli_show_trace(const struct cli *c)
{
    CLEANUP(decref) json_t *o = NULL;
    char *path = g_strconcat("/v1/traces/", c->args[0], NULL);
    int rc = cli_get(c, path, &o);
    g_free(path);
    if (rc != CLI_DONE) {
        return rc;
    }
    if (c->json) {
        json_dumpf(o, c->io.out, JSON_INDENT(2));
        fputc('\n', c->io.out);
        return rc;
    }
    fprintf(c->io.out, "%-24s %-10s %-16s %13s  %12s  %s\n", "span", "stage",
            "endpoint", "start", "time", "outcome");
    print_tree(c, json_object_get(o, "spans"), NULL, 0);
    return rc;
}
