#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#include "base/clean.h"
#include "cli/cli.h"

#define TIMEOUT_MS 15000
#define CONNECT_MS 3000

struct sink {
    const struct cli_request *r;
    struct cli_answer *a;
    CURL *easy;
};

void
cli_answer_free(struct cli_answer *a)
{
    buf_free(&a->body);
}

static size_t
on_bytes(char *p, size_t size, size_t n, void *ctx)
{
    struct sink *s = ctx;
    long status = 0;
    curl_easy_getinfo(s->easy, CURLINFO_RESPONSE_CODE, &status);
    if (s->r->bytes && status == 200) {
        s->r->bytes(s->r->ctx, str_of(p, size * n));
    }
    else {
        buf_append(&s->a->body, p, size * n);
    }
    return size * n;
}

void
cli_call(const struct cli *c, const char *node, const struct cli_request *r,
         struct cli_answer *a)
{
    CURL *e = curl_easy_init();
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
    struct sink sink = {r, a, e};
    char *url = g_strconcat(node, r->path, NULL);
    char error[CURL_ERROR_SIZE] = "";
    long status = 0;
    long request_bytes = 0;
    *a = (struct cli_answer){0};
    headers = curl_slist_append(headers, "Content-Type: application/json");
    if (c->token.len) {
        char *auth =
            g_strdup_printf("Authorization: Bearer %.*s", STR_FMT(c->token));
        headers = curl_slist_append(headers, auth);
        g_free(auth);
    }
    for (int i = 0; r->headers && r->headers[i]; i++) {
        headers = curl_slist_append(headers, r->headers[i]);
    }
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, headers);
    if (strcmp(r->method, "POST") == 0) {
        curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)r->body.len);
        curl_easy_setopt(e, CURLOPT_COPYPOSTFIELDS,
                         r->body.ptr ? r->body.ptr : "");
    }
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_bytes);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, &sink);
    curl_easy_setopt(e, CURLOPT_ERRORBUFFER, error);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS,
                     r->timeout_ms ? r->timeout_ms : (long)TIMEOUT_MS);
    CURLcode code = curl_easy_perform(e);
    curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(e, CURLINFO_REQUEST_SIZE, &request_bytes);
    a->sent = request_bytes > 0;
    a->status = code == CURLE_OK ? (int)status : 0;
    snprintf(a->message, sizeof(a->message), "%.99s: %.150s", node,
             *error ? error : curl_easy_strerror(code));
    curl_slist_free_all(headers);
    curl_easy_cleanup(e);
    g_free(url);
}

static void
decref(json_t **v)
{
    json_decref(*v);
}

int
cli_refusal(const struct cli *c, const struct cli_answer *a)
{
    CLEAN(decref)
    json_t *o =
        json_loadb(a->body.ptr ? a->body.ptr : "", a->body.len, 0, NULL);
    json_t *e = json_object_get(o, "error");
    const char *kind = json_string_value(json_object_get(e, "kind"));
    const char *why = json_string_value(json_object_get(e, "message"));
    const char *ran = json_string_value(json_object_get(e, "ran"));
    if (c->json && o) {
        json_dumpf(o, c->io.out, JSON_INDENT(2));
        fputc('\n', c->io.out);
    }
    fprintf(c->io.err, "%s: %s%s\n", kind ? kind : "refused",
            why ? why : "the answer has no error kind",
            json_is_true(json_object_get(e, "retry")) ? " (a retry can help)"
                                                      : "");
    json_t *conflicts = json_object_get(o, "conflicts");
    if (!conflicts) {
        conflicts = json_object_get(e, "conflicts");
    }
    if (conflicts && !c->json) {
        json_dumpf(conflicts, c->io.err, JSON_INDENT(2));
        fputc('\n', c->io.err);
    }
    /* Without a readable "ran", a 5xx proves nothing. */
    bool not_run = ran ? strcmp(ran, "not_run") == 0
                       : a->status >= 400 && a->status < 500;
    return not_run ? CLI_REFUSED : CLI_UNCONFIRMED;
}

int
cli_read(const struct cli *c, const char *path, json_t **out)
{
    int rc = CLI_NO_CONNECTION;
    struct cli_request r = {.method = "GET", .path = path};
    for (int i = 0; i < c->node_count; i++) {
        CLEAN(cli_answer_free) struct cli_answer a;
        cli_call(c, c->nodes[i], &r, &a);
        if (a.status == 200) {
            *out =
                json_loadb(a.body.ptr ? a.body.ptr : "", a.body.len, 0, NULL);
            if (*out) {
                return CLI_DONE;
            }
        }
        if (a.status == 0) {
            fprintf(c->io.err, "%s\n", a.message);
            continue;
        }
        cli_refusal(c, &a);
        rc = CLI_REFUSED;
        if (a.status < 500 && a.status != 404) {
            return rc;
        }
    }
    return rc;
}

int
cli_edit(const struct cli *c, const char *path, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    struct cli_request r = {
        .method = "POST", .path = path, .body = str_from(text)};
    bool maybe = false;
    int rc = CLI_NO_CONNECTION;
    for (int i = 0; i < c->node_count; i++) {
        CLEAN(cli_answer_free) struct cli_answer a;
        cli_call(c, c->nodes[i], &r, &a);
        if (a.status == 0) {
            fprintf(c->io.err, "%s\n", a.message);
            maybe |= a.sent;
            continue;
        }
        if (a.status == 200) {
            fprintf(c->io.out, "%.*s\n", STR_FMT(buf_str(&a.body)));
            rc = CLI_DONE;
            maybe = false;
            break;
        }
        rc = cli_refusal(c, &a);
        maybe |= rc == CLI_UNCONFIRMED;
        if (a.status < 500) {
            maybe = false;
            break;
        }
    }
    free(text);
    if (maybe) {
        fprintf(c->io.err, "outcome not confirmed; repeat with --change %s\n",
                json_string_value(json_object_get(body, "change")));
        return CLI_UNCONFIRMED;
    }
    return rc;
}
