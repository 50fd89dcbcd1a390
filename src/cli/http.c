#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#include "base/clean.h"
#include "cli/cli.h"

#define REQUEST_TIMEOUT_MS 15000
#define CONNECT_TIMEOUT_MS 3000

struct response_sink {
    const struct cli_request *r;
    struct cli_response *a;
    CURL *easy;
};

void
cli_response_free(struct cli_response *a)
{
    buf_free(&a->body);
}

static size_t
on_bytes(char *p, size_t size, size_t n, void *ctx)
{
    struct response_sink *s = ctx;
    long status = 0;
    curl_easy_getinfo(s->easy, CURLINFO_RESPONSE_CODE, &status);
    if (s->r->on_body && status == 200) {
        s->r->on_body(s->r->ctx, str_from_bytes(p, size * n));
    }
    else {
        buf_append(&s->a->body, p, size * n);
    }
    return size * n;
}

void
cli_send_request(const struct cli *c, const char *node,
                 const struct cli_request *r, struct cli_response *a)
{
    CURL *e = curl_easy_init();
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
    struct response_sink sink = {r, a, e};
    char *url = g_strconcat(node, r->path, NULL);
    char error[CURL_ERROR_SIZE] = "";
    long status = 0;
    long request_bytes = 0;
    *a = (struct cli_response){0};
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
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS,
                     r->timeout_ms ? r->timeout_ms : (long)REQUEST_TIMEOUT_MS);
    CURLcode code = curl_easy_perform(e);
    curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(e, CURLINFO_REQUEST_SIZE, &request_bytes);
    a->sent = request_bytes > 0;
    a->status = code == CURLE_OK ? (int)status : 0;
    snprintf(a->message, sizeof(a->message), "%.60s: %.180s", node,
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

/* Prints the details of an error: who made a conflicting change, what is
 * invalid, or where a change has not taken effect. */
static void
print_details(const struct cli *c, json_t *details)
{
    const char *key;
    json_t *v;
    json_t *line;
    size_t i;
    json_object_foreach(details, key, v)
    {
        json_array_foreach(v, i, line)
        {
            const char *text = json_string_value(line);
            fprintf(c->io.err, "  %s: %s\n", key, text ? text : "-");
        }
    }
}

int
cli_print_refusal(const struct cli *c, const struct cli_response *a)
{
    CLEANUP(decref)
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
    if (!c->json) {
        print_details(c, json_object_get(e, "details"));
    }
    /* Without "ran" in the body, a 5xx status does not show whether the
     * request ran. */
    bool not_run = ran ? strcmp(ran, "not_run") == 0
                       : a->status >= 400 && a->status < 500;
    return not_run ? CLI_REFUSED : CLI_UNCONFIRMED;
}

int
cli_get(const struct cli *c, const char *path, json_t **out)
{
    int rc = CLI_NO_CONNECTION;
    struct cli_request r = {.method = "GET", .path = path};
    for (int i = 0; i < c->node_count; i++) {
        CLEANUP(cli_response_free) struct cli_response a;
        cli_send_request(c, c->nodes[i], &r, &a);
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
        cli_print_refusal(c, &a);
        rc = CLI_REFUSED;
        if (a.status < 500 && a.status != 404) {
            return rc;
        }
    }
    return rc;
}

int
cli_post_edit(const struct cli *c, const char *path, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    struct cli_request r = {
        .method = "POST", .path = path, .body = str_from_cstr(text)};
    bool may_have_applied = false;
    int rc = CLI_NO_CONNECTION;
    for (int i = 0; i < c->node_count; i++) {
        CLEANUP(cli_response_free) struct cli_response a;
        cli_send_request(c, c->nodes[i], &r, &a);
        if (a.status == 0) {
            fprintf(c->io.err, "%s\n", a.message);
            may_have_applied |= a.sent;
            continue;
        }
        if (a.status == 200) {
            fprintf(c->io.out, "%.*s\n", STR_FMT(buf_str(&a.body)));
            rc = CLI_DONE;
            may_have_applied = false;
            break;
        }
        rc = cli_print_refusal(c, &a);
        may_have_applied |= rc == CLI_UNCONFIRMED;
        if (a.status < 500) {
            may_have_applied = false;
            break;
        }
    }
    free(text);
    if (may_have_applied) {
        fprintf(c->io.err, "outcome not confirmed; repeat with --change %s\n",
                json_string_value(json_object_get(body, "change")));
        return CLI_UNCONFIRMED;
    }
    return rc;
}
