/* Guards against exit codes that report an uncertain outcome as certain, edits
 * that are repeated with another change id, requests that are sent twice, and
 * truncated streams that are reported as complete. */
#include <glib.h>
#include <stdatomic.h>
#include <string.h>

#include "cli/cli.h"
#include "fakes/http.h"

#define REFUSING "http://127.0.0.1:9"
#define ERR(kind, ran)                                                        \
    "{\"error\":{\"kind\":\"" kind "\",\"ran\":\"" ran "\","                  \
    "\"message\":\"m\"}}"

/* A stand-in for a node: the response that it sends and the requests that it
 * received. */
struct node {
    struct fh *h;
    GThread *thread;
    atomic_bool stop;
    int status; /* for POST requests; 0: closes the connection */
    const char *body;
    const char *type;
    int posts;
    GString *bodies;
    char url[64];
};

static void
handle(void *ctx, struct fh_req *r)
{
    struct node *n = ctx;
    if (str_eq_cstr(r->method, "GET")) {
        bool trace = str_starts_with(r->path, STR_LIT("/v1/traces/"));
        bool rollouts = str_eq_cstr(r->path, "/rollouts");
        const char *out =
            rollouts
                ? "{\"rollouts\":[{\"service\":\"desk\",\"target\":\"v2\"}]}"
            : trace ? "{\"spans\":[{\"name\":\"request\",\"start_us\":0,"
                      "\"end_us\":9000,\"outcome\":\"ok\"},{\"name\":\"call\","
                      "\"stage\":1,\"endpoint\":\"e1\",\"start_us\":1000,"
                      "\"end_us\":3000,\"outcome\":\"ok\",\"parent\":"
                      "\"request\"}]}"
                    : "{\"revision\":4,\"config\":{\"zones\":{}}}";
        fh_reply(r, 200, "application/json", str_from_cstr(out));
        return;
    }
    n->posts++;
    g_string_append_printf(n->bodies, "%.*s\n", STR_FMT(r->body));
    if (n->status) {
        fh_reply(r, n->status, n->type, str_from_cstr(n->body));
    }
    else {
        fh_drop_connection(r);
    }
}

static void *
serve(void *arg)
{
    struct node *n = arg;
    while (!n->stop) {
        fh_run_once(n->h, 10);
    }
    return NULL;
}

static void
start(struct node *n, int status, const char *body, const char *type)
{
    *n = (struct node){.status = status, .body = body, .type = type};
    n->bodies = g_string_new(NULL);
    n->h = fh_new(&(struct fh_options){NULL, 0, handle, n});
    snprintf(n->url, sizeof(n->url), "http://127.0.0.1:%d", fh_port(n->h));
    n->thread = g_thread_new("node", serve, n);
}

static void
stop(struct node *n)
{
    n->stop = true;
    g_thread_join(n->thread);
}

static void
release(struct node *n)
{
    fh_free(n->h);
    g_string_free(n->bodies, TRUE);
}

/* "A" and "B" in the command line stand for the URLs of the two nodes. */
static int
run(const char *line, const char *a, const char *b, const char *in, char **out)
{
    char **argv = g_strsplit(line, " ", 0);
    char *text = NULL;
    size_t len = 0;
    for (int i = 0; argv[i]; i++) {
        if (strcmp(argv[i], "A") == 0 || strcmp(argv[i], "B") == 0) {
            const char *url = *argv[i] == 'A' ? a : b;
            g_free(argv[i]);
            argv[i] = g_strdup(url);
        }
    }
    FILE *to = open_memstream(&text, &len);
    FILE *from = fmemopen((void *)in, strlen(in), "r");
    int rc =
        cli_run((int)g_strv_length(argv), argv, (struct cli_io){from, to, to});
    fclose(to);
    fclose(from);
    g_strfreev(argv);
    *out = text;
    return rc;
}

static void
test_table(void)
{
    static const char *const sse = "text/event-stream";
    static const char *const js = "application/json";
    /* Command line, responses of both nodes, exit code, number of POST
     * requests at both nodes, text that must be printed. */
    static const struct {
        const char *line;
        int a_status;
        const char *a;
        int b_status;
        const char *b;
        int exit_code, a_posts, b_posts;
        const char *output;
    } rows[] = {
        {"c --help", 1, "", 1, "", 0, 0, 0, "Exit codes"},
        {"c zone out okha --node A", 1, "", 1, "", 2, 0, 0, "--reason"},
        {"c fly", 1, "", 1, "", 2, 0, 0, "unknown command"},
        {"c show --colour", 1, "", 1, "", 2, 0, 0, "colour"},
        {"c show --node " REFUSING, 1, "", 1, "", 4, 0, 0, ""},
        {"c show --node " REFUSING " --node A", 1, "", 1, "", 0, 0, 0,
         "zones"},
        {"c status --node A", 1, "", 1, "", 0, 0, 0, "revision"},
        {"c rollouts --node A", 1, "", 1, "", 0, 0, 0, "target"},
        {"c trace x --node A", 1, "", 1, "", 0, 0, 0, "  call"},
        {"c zone out okha --reason r --node A", 200, "{}", 1, "", 0, 1, 0, ""},
        {"c zone in okha --reason r --node A --node B", 0, "", 200, "{}", 0, 1,
         1, ""},
        {"c unset p --reason r --node A --node B", 0, "", 0, "", 3, 1, 1,
         "repeat with --change"},
        {"c set p 1 --reason r --node A --node B", 409,
         "{\"error\":{\"kind\":\"conflict\",\"ran\":\"not_run\","
         "\"message\":\"m\",\"details\":{\"conflicts\":[\"p by asha\"]}}}",
         200, "{}", 1, 1, 0, "conflict: m\n  conflicts: p by asha"},
        {"c vm out v --reason r --node A --node B", 504,
         ERR("change_unconfirmed", "may_have_run"), 503,
         ERR("not_ready", "not_run"), 3, 1, 1, "not confirmed"},
        {"c run p --node " REFUSING " --node A --key k", 200,
         "{\"output\":\"text\"}", 1, "", 0, 1, 0, "text"},
        {"c run p --node A --node B", 0, "", 200, "{}", 3, 1, 0, ""},
        {"c run p --node A", 503, ERR("overloaded", "not_run"), 1, "", 1, 1, 0,
         "overloaded"},
        {"c run p --node A", 502, ERR("outcome_unknown", "may_have_run"), 1,
         "", 3, 1, 0, "outcome_unknown"},
        {"c run p --stream --node A", 200,
         "event: token\ndata: {\"text\":\"hi\"}\n\nevent: done\ndata: {}\n\n",
         1, "", 0, 1, 0, "hi"},
        {"c run p --stream --node A", 200,
         "event: token\ndata: {\"text\":\"hi\"}\n\n", 1, "", 3, 1, 0,
         "ended early"},
        {"c token hash", 1, "", 1, "", 0, 0, 0, ""},
        {"c keys", 1, "", 1, "", 0, 0, 0, "secret_key"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct node a;
        struct node b;
        char *out = NULL;
        bool stream = strstr(rows[i].line, "--stream") != NULL;
        start(&a, rows[i].a_status, rows[i].a, stream ? sse : js);
        start(&b, rows[i].b_status, rows[i].b, js);
        int rc = run(rows[i].line, a.url, b.url, "{\"input\":\"x\"}", &out);
        stop(&a);
        stop(&b);
        if (rc != rows[i].exit_code || a.posts != rows[i].a_posts ||
            b.posts != rows[i].b_posts || !strstr(out, rows[i].output)) {
            g_error("row %zu: exit %d, posts %d %d: %s", i, rc, a.posts,
                    b.posts, out);
        }
        /* A repeated edit has the same change id and therefore the same
         * body. */
        if (b.posts) {
            g_assert_cmpstr(a.bodies->str, ==, b.bodies->str);
        }
        free(out);
        release(&a);
        release(&b);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cli/table", test_table);
    return g_test_run();
}
