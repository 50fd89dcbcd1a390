/* Guards against sample configurations that the parser refuses, VM lists
 * that name unknown pools or zones, and pools whose endpoints are all in one
 * zone. */
#include <glib.h>
#include <string.h>

#include "base/clean.h"
#include "cli/cli.h"
#include "model/snapshot.h"

static void
check(const char *name, int models, int services)
{
    char *config_path = g_strdup_printf("examples/%s.toml", name);
    char *list = g_strdup_printf("examples/%s-vms.json", name);
    struct cli cli = {.io = {stdin, stdout, stderr}};
    CLEANUP(buf_free) struct buf errors = {0};
    struct fleet *f = NULL;
    struct vmlist *v = NULL;
    char *vms = NULL;
    json_t *doc = cli_load_config(&cli, config_path);
    char *config_text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    if (fleet_parse(str_from_cstr(config_text), &f, &errors) != ST_OK) {
        g_error("%s: %s", config_path, errors.ptr);
    }
    g_assert_true(g_file_get_contents(list, &vms, NULL, NULL));
    g_assert_cmpint(vmlist_parse(str_from_cstr(vms), &v, &errors), ==, ST_OK);
    g_assert_cmpint(errors.len, ==, 0);
    g_assert_cmpint(v->endpoint_count, ==, models + services);
    g_assert_cmpint(f->zone_count, ==, 4);
    g_assert_cmpint(f->team_count, ==, 5);
    int longest = 0;
    int classes = 0;
    for (int i = 0; i < f->pipeline_count; i++) {
        int n = f->pipelines[i].stage_count;
        longest = n > longest ? n : longest;
        classes |= 1 << f->pipelines[i].class;
        g_assert_cmpint(f->pipelines[i].class == CLASS_ACTION, ==,
                        f->pipelines[i].needs_key);
    }
    g_assert_cmpint(longest, ==, 4);
    g_assert_cmpint(classes, ==, 7);
    struct snapshot *s = snapshot_new(f, v, 1, f->zones[0].name);
    g_assert_cmpint(s->endpoint_count, ==, models + services);
    for (int p = 0; p < f->pool_count; p++) {
        unsigned zones = 0;
        for (int i = 0; i < s->endpoint_count; i++) {
            if (s->endpoints[i].pool == p) {
                zones |= 1u << s->endpoints[i].zone;
            }
        }
        /* Each pool must have endpoints in at least two zones, so that one
         * zone can be taken out. */
        g_assert_cmpuint(zones & (zones - 1), !=, 0);
    }
    snapshot_unref(s);
    free(config_text);
    g_free(vms);
    g_free(config_path);
    g_free(list);
}

static void
test_board(void)
{
    check("board", 10, 18);
}

static void
test_utility(void)
{
    check("utility", 20, 18);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/examples/board", test_board);
    g_test_add_func("/examples/utility", test_utility);
    return g_test_run();
}
