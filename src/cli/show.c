/* Loads configuration files; prints differences and the status table. */
#include <glib.h>
#include <string.h>

#include "base/clean.h"
#include "cli/cli.h"
#include "settings/toml.h"

static void
decref(json_t **v)
{
    json_decref(*v);
}

json_t *
cli_load_config(const struct cli *c, const char *path)
{
    gchar *text = NULL;
    gsize len = 0;
    json_t *doc = NULL;
    if (!g_file_get_contents(path, &text, &len, NULL)) {
        fprintf(c->io.err, "%s cannot be read\n", path);
        return NULL;
    }
    if (g_str_has_suffix(path, ".toml")) {
        struct toml_error f = {0};
        doc = toml_to_json(text, len, &f);
        if (!doc) {
            fprintf(c->io.err, "%s: line %d, column %d: %s\n", path, f.line,
                    f.column, f.message);
        }
    }
    else {
        json_error_t e;
        doc = json_loadb(text, len, JSON_REJECT_DUPLICATES, &e);
        if (!doc) {
            fprintf(c->io.err, "%s: line %d, column %d: %s\n", path, e.line,
                    e.column, e.text);
        }
    }
    g_free(text);
    return doc;
}

static void
print_value(const struct cli *c, char sign, const char *path, const json_t *v)
{
    char *text = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
    fprintf(c->io.out, "%c %s = %s\n", sign, path, text);
    free(text);
}

/* Prints the differences between two configurations. Nodes do not show token
 * hashes and add the list of changes; these differences are left out.
 * @return number of differences */
static int
print_differences(const struct cli *c, const char *path, json_t *now,
                  json_t *next)
{
    int n = 0;
    const char *key;
    json_t *v;
    const char *name = strrchr(path, '/');
    if (json_equal(now, next) || strcmp(path, "changes") == 0 ||
        (name && !now && strcmp(name, "/token_hash") == 0)) {
        return 0;
    }
    if (!json_is_object(now) || !json_is_object(next)) {
        if (now) {
            print_value(c, '-', path, now);
        }
        if (next) {
            print_value(c, '+', path, next);
        }
        return 1;
    }
    json_object_foreach(now, key, v)
    {
        char *at = g_strconcat(path, *path ? "/" : "", key, NULL);
        n += print_differences(c, at, v, json_object_get(next, key));
        g_free(at);
    }
    json_object_foreach(next, key, v)
    {
        if (!json_object_get(now, key)) {
            char *at = g_strconcat(path, *path ? "/" : "", key, NULL);
            n += print_differences(c, at, NULL, v);
            g_free(at);
        }
    }
    return n;
}

int
cli_show_diff(const struct cli *c, json_t *file)
{
    CLEANUP(decref) json_t *o = NULL;
    int rc = cli_get(c, "/admin/show", &o);
    if (rc == CLI_DONE &&
        !print_differences(c, "", json_object_get(o, "config"), file)) {
        fprintf(c->io.out, "no difference\n");
    }
    return rc;
}

/* Prints a cell of the status table; width is that of its column. */
static void
print_cell(const struct cli *c, json_t *v, int width)
{
    char *text = json_is_string(v)
                     ? g_strdup(json_string_value(v))
                     : json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
    fprintf(c->io.out, "%-*s  ", width, text ? text : "-");
    free(text);
}

static void
print_table(const struct cli *c, const char *title, json_t *rows)
{
    size_t i;
    const char *key;
    json_t *row;
    json_t *v;
    fprintf(c->io.out, "%s\n ", title);
    json_object_foreach(json_array_get(rows, 0), key, v)
    {
        fprintf(c->io.out, " %-14s ", key);
    }
    json_array_foreach(rows, i, row)
    {
        fputs("\n  ", c->io.out);
        json_object_foreach(json_array_get(rows, 0), key, v)
        {
            print_cell(c, json_object_get(row, key), 14);
        }
    }
    fputc('\n', c->io.out);
}

/* Prints an object of the node at @p path, its lists as tables. */
static int
show_object(const struct cli *c, const char *path)
{
    CLEANUP(decref) json_t *o = NULL;
    const char *key;
    json_t *v;
    int rc = cli_get(c, path, &o);
    if (rc != CLI_DONE) {
        return rc;
    }
    if (c->json) {
        json_dumpf(o, c->io.out, JSON_INDENT(2));
        fputc('\n', c->io.out);
        return rc;
    }
    json_object_foreach(o, key, v)
    {
        if (json_is_array(v) && json_is_object(json_array_get(v, 0))) {
            print_table(c, key, v);
        }
        else {
            fprintf(c->io.out, "%-16s", key);
            print_cell(c, v, 0);
            fputc('\n', c->io.out);
        }
    }
    return rc;
}

int
cli_show_status(const struct cli *c)
{
    return show_object(c, "/admin/status");
}

int
cli_show_rollouts(const struct cli *c)
{
    return show_object(c, "/rollouts");
}
