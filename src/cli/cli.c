#include "cli/cli.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>
#include <zmq.h>

#include "base/clean.h"
#include "model/fleet.h"

struct command {
    const char *name;
    int min_args; /* not counting the name */
    int max_args;
    bool needs_reason;
    bool needs_node;
    int (*run)(const struct cli *c);
    const char *usage;
};

static void
decref(json_t **v)
{
    json_decref(*v);
}

/* Reads the revision of the configuration that an edit is based on; it is 0
 * without a configuration. @return enum cli_exit */
static int
read_base_revision(const struct cli *c, json_int_t *out)
{
    CLEANUP(decref) json_t *o = NULL;
    int rc = cli_get(c, "/admin/show", &o);
    *out = json_integer_value(json_object_get(o, "revision"));
    return rc;
}

static json_t *
new_edit(const struct cli *c, json_int_t base)
{
    char id[33];
    unsigned char raw[16];
    randombytes_buf(raw, sizeof(raw));
    sodium_bin2hex(id, sizeof(id), raw, sizeof(raw));
    return json_pack("{s:s,s:s,s:I}", "change", c->change ? c->change : id,
                     "by", c->by ? c->by : g_get_user_name(), "base", base);
}

/* Edits one setting. Takes ownership of value; a JSON null deletes the
 * setting. */
static int
edit(const struct cli *c, const char *path, json_t *value)
{
    json_int_t base;
    int rc = read_base_revision(c, &base);
    if (rc != CLI_DONE) {
        json_decref(value);
        return rc;
    }
    CLEANUP(decref) json_t *body = new_edit(c, base);
    json_object_set_new(body, "set",
                        json_pack("[{s:s,s:o,s:s}]", "path", path, "value",
                                  value, "reason", c->reason));
    return cli_post_edit(c, "/admin/edit", body);
}

static int
apply(const struct cli *c)
{
    json_int_t base;
    CLEANUP(decref) json_t *config = cli_load_config(c, c->args[0]);
    if (!config) {
        return CLI_USAGE;
    }
    CLEANUP(buf_free) struct buf errors = {0};
    char *text = json_dumps(config, JSON_COMPACT);
    struct fleet *fleet = NULL;
    enum status st = fleet_parse(str_from_cstr(text), &fleet, &errors);
    free(text);
    fleet_free(fleet);
    if (st != ST_OK) {
        fprintf(c->io.err, "%.*s", STR_FMT(buf_str(&errors)));
        return CLI_USAGE;
    }
    int rc = read_base_revision(c, &base);
    if (rc != CLI_DONE && rc != CLI_REFUSED) {
        return rc;
    }
    CLEANUP(decref) json_t *body = new_edit(c, base);
    json_object_set(body, "config", config);
    return cli_post_edit(c, "/admin/apply", body);
}

static int
show(const struct cli *c)
{
    CLEANUP(decref) json_t *o = NULL;
    int rc = cli_get(c, "/admin/show", &o);
    if (rc == CLI_DONE) {
        json_dumpf(c->json ? o : json_object_get(o, "config"), c->io.out,
                   JSON_INDENT(2) | JSON_ENCODE_ANY);
        fputc('\n', c->io.out);
    }
    return rc;
}

static int
diff(const struct cli *c)
{
    CLEANUP(decref) json_t *file = cli_load_config(c, c->args[0]);
    return file ? cli_show_diff(c, file) : CLI_USAGE;
}

/* Parses an argument as JSON; text that is not JSON becomes a string. */
static json_t *
parse_value(const char *text)
{
    json_t *v = json_loads(text, JSON_DECODE_ANY, NULL);
    return v ? v : json_string(text);
}

static int
set(const struct cli *c)
{
    return edit(c, c->args[0], parse_value(c->args[1]));
}

static int
unset(const struct cli *c)
{
    return edit(c, c->args[0], json_null());
}

static int
exception(const struct cli *c)
{
    bool add = strcmp(c->args[0], "add") == 0;
    if ((add && c->arg_count != 5) ||
        (!add && (strcmp(c->args[0], "remove") != 0 || c->arg_count != 2))) {
        fprintf(c->io.err, "usage: exception add NAME SCOPE SETTING VALUE, "
                           "exception remove NAME\n");
        return CLI_USAGE;
    }
    char *path = g_strconcat("exceptions/", c->args[1], NULL);
    json_t *v = json_null();
    if (add) {
        v = json_pack("{s:s,s:s,s:o,s:s}", "scope", c->args[2], "setting",
                      c->args[3], "value", parse_value(c->args[4]), "reason",
                      c->reason);
    }
    int rc = edit(c, path, v);
    g_free(path);
    return rc;
}

static int
set_out_of_service(const struct cli *c, const char *table)
{
    bool out = strcmp(c->args[0], "out") == 0;
    if (!out && strcmp(c->args[0], "in") != 0) {
        fprintf(c->io.err, "must be in or out: %s\n", c->args[0]);
        return CLI_USAGE;
    }
    char *path = g_strconcat(table, c->args[1], NULL);
    int rc = edit(c, path,
                  out ? json_pack("{s:s}", "reason", c->reason) : json_null());
    g_free(path);
    return rc;
}

static int
zone(const struct cli *c)
{
    return set_out_of_service(c, "zones_out/");
}

static int
vm(const struct cli *c)
{
    return set_out_of_service(c, "vms_out/");
}

static int
token(const struct cli *c)
{
    char line[4096];
    char hex[65];
    if (strcmp(c->args[0], "hash") != 0 ||
        !fgets(line, sizeof(line), c->io.in)) {
        fprintf(c->io.err, "usage: token hash < FILE\n");
        return CLI_USAGE;
    }
    line[strcspn(line, "\r\n")] = 0;
    fleet_format_token_hash(str_from_cstr(line), hex);
    fprintf(c->io.out, "%s\n", hex);
    return CLI_DONE;
}

static int
keys(const struct cli *c)
{
    char public[41];
    char secret[41];
    if (zmq_curve_keypair(public, secret) != 0) {
        fprintf(c->io.err, "the ZeroMQ library was built without CURVE\n");
        return CLI_REFUSED;
    }
    fprintf(c->io.out, "public_key = \"%s\"\nsecret_key = \"%s\"\n", public,
            secret);
    return CLI_DONE;
}

static const struct command commands[] = {
    {"apply", 1, 1, false, true, apply, "apply FILE"},
    {"show", 0, 0, false, true, show, "show"},
    {"diff", 1, 1, false, true, diff, "diff FILE"},
    {"set", 2, 2, true, true, set, "set PATH VALUE --reason TEXT"},
    {"unset", 1, 1, true, true, unset, "unset PATH --reason TEXT"},
    {"exception", 2, 5, true, true, exception,
     "exception add NAME SCOPE SETTING VALUE --reason TEXT\n"
     "  exception remove NAME --reason TEXT"},
    {"zone", 2, 2, true, true, zone, "zone out|in ZONE --reason TEXT"},
    {"vm", 2, 2, true, true, vm, "vm out|in VM --reason TEXT"},
    {"status", 0, 0, false, true, cli_show_status, "status"},
    {"rollouts", 0, 0, false, true, cli_show_rollouts, "rollouts"},
    {"run", 1, 2, false, true, cli_run_pipeline,
     "run PIPELINE [FILE] [--key KEY] [--stream] [--deadline-ms N]"},
    {"trace", 1, 1, false, true, cli_show_trace, "trace REQUEST-ID"},
    {"token", 1, 1, false, false, token, "token hash"},
    {"keys", 0, 0, false, false, keys, "keys"},
};

static void
usage(FILE *to, void **table)
{
    fprintf(to, "Usage: camphorfall COMMAND [OPTION]...\n\nCommands:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        fprintf(to, "  %s\n", commands[i].usage);
    }
    fprintf(to, "\nOptions:\n");
    arg_print_glossary(to, table, "  %-24s %s\n");
    fprintf(to, "\nExamples:\n"
                "  camphorfall --node http://10.0.0.1:8080 --token-file t "
                "status\n"
                "  camphorfall --node ... zone out okha --reason 'flood'\n"
                "  camphorfall --node ... set defaults/deadline_ms 6000 "
                "--reason 'agreed'\n"
                "  echo '{\"input\":\"...\"}' | camphorfall --node ... run "
                "ask --stream\n"
                "\nExit codes:\n");
#define X(id, code, text) fprintf(to, "  %d  %s\n", code, text);
    CLI_EXIT_LIST(X)
#undef X
}

static int
dispatch(struct cli *c, const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        const struct command *k = &commands[i];
        if (strcmp(name, k->name) != 0) {
            continue;
        }
        if (c->arg_count < k->min_args || c->arg_count > k->max_args) {
            fprintf(c->io.err, "usage: camphorfall %s\n", k->usage);
            return CLI_USAGE;
        }
        if (k->needs_reason && (!c->reason || !*c->reason)) {
            fprintf(c->io.err, "%s needs --reason\n", name);
            return CLI_USAGE;
        }
        if (k->needs_node && !c->node_count) {
            fprintf(c->io.err, "%s needs --node URL\n", name);
            return CLI_USAGE;
        }
        return k->run(c);
    }
    fprintf(c->io.err, "unknown command: %s (see --help)\n", name);
    return CLI_USAGE;
}

static bool
read_token(struct cli *c, const char *path)
{
    gchar *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        fprintf(c->io.err, "%s cannot be read\n", path);
        return false;
    }
    c->token = str_dup(str_from_cstr(g_strstrip(text)));
    g_free(text);
    return true;
}

static const char *
first(const struct arg_str *a)
{
    return a->count ? a->sval[0] : NULL;
}

int
cli_run(int argc, char **argv, struct cli_io io)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this text");
    struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
    struct arg_lit *stream = arg_lit0(NULL, "stream", "print tokens at once");
    struct arg_str *node = arg_strn(NULL, "node", "URL", 0, CLI_MAX_NODES,
                                    "a node; repeated: tried in turn");
    struct arg_str *secret =
        arg_str0(NULL, "token-file", "FILE", "file with the credential");
    struct arg_str *reason =
        arg_str0(NULL, "reason", "TEXT", "reason, stored with the change");
    struct arg_str *key =
        arg_str0(NULL, "key", "KEY", "Idempotency-Key of a request");
    struct arg_str *by = arg_str0(NULL, "by", "NAME", "who makes the change");
    struct arg_str *change =
        arg_str0(NULL, "change", "ID", "repeat the change with this id");
    struct arg_int *deadline =
        arg_int0(NULL, "deadline-ms", "N", "time for the request");
    struct arg_str *args = arg_strn(NULL, NULL, "COMMAND", 0, CLI_MAX_ARGS + 1,
                                    "and its arguments");
    struct arg_end *end = arg_end(10);
    void *table[] = {help, json, stream, node,     secret, reason,
                     key,  by,   change, deadline, args,   end};
    struct cli c = {.io = io};
    int rc = CLI_USAGE;
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
        return CLI_REFUSED;
    }
    int faults = arg_parse(argc, argv, table);
    if (help->count || argc == 1) {
        usage(help->count ? io.out : io.err, table);
        rc = help->count ? CLI_DONE : CLI_USAGE;
    }
    else if (faults) {
        arg_print_errors(io.err, end, "camphorfall");
    }
    else if (!args->count) {
        fprintf(io.err, "no command (see --help)\n");
    }
    else {
        c.json = json->count;
        c.stream = stream->count;
        c.reason = first(reason);
        c.key = first(key);
        c.by = first(by);
        c.change = first(change);
        c.deadline_ms = deadline->count ? deadline->ival[0] : 0;
        c.node_count = node->count;
        memcpy(c.nodes, node->sval, (size_t)node->count * sizeof(c.nodes[0]));
        c.arg_count = args->count - 1;
        memcpy(c.args, args->sval + 1,
               (size_t)c.arg_count * sizeof(c.args[0]));
        if (!secret->count || read_token(&c, secret->sval[0])) {
            rc = dispatch(&c, args->sval[0]);
        }
    }
    str_free(&c.token);
    arg_freetable(table, G_N_ELEMENTS(table));
    curl_global_cleanup();
    return rc;
}
