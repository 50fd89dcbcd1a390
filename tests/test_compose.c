/* Guards against stages that get the wrong input, answers of the wrong shape
 * that count as complete, and documents in the wrong order after a rerank. */
#include <glib.h>

#include "base/clean.h"
#include "flow/compose.h"

static const char config[] =
    "{\"pools\":{\"e\":{\"kind\":\"encode\",\"model\":\"m\"},"
    "\"r\":{\"kind\":\"retrieve\"},\"k\":{\"kind\":\"rerank\"},"
    "\"g\":{\"kind\":\"generate\"},\"s\":{\"kind\":\"service\"}},"
    "\"pipelines\":{\"p\":{\"class\":\"action\",\"stages\":["
    "{\"name\":\"e\",\"pool\":\"e\"},"
    "{\"name\":\"r\",\"pool\":\"r\",\"top_k\":3},"
    "{\"name\":\"k\",\"pool\":\"k\",\"top_k\":2},"
    "{\"name\":\"g\",\"pool\":\"g\",\"max_tokens\":9},"
    "{\"name\":\"s\",\"pool\":\"s\",\"path\":\"/s\",\"repeatable\":false}]}}}";

/* For each stage: the call body, an incomplete answer, and a complete one. */
static const char *const rows[][3] = {
    {"{\"model\":\"m\",\"input\":\"q?\"}", "{\"data\":[]}",
     "{\"data\":[{\"embedding\":[5]}]}"},
    {"{\"query\":\"q?\",\"top_k\":3,\"embedding\":[5]}", "{\"documents\":7}",
     "{\"documents\":[{\"text\":\"A\"},\"B\",{\"text\":\"C\"}]}"},
    {"{\"query\":\"q?\",\"top_n\":2,\"documents\":[\"A\",\"B\",\"C\"]}",
     "{\"results\":[{\"index\":3}]}",
     "{\"results\":[{\"index\":2},{\"index\":0}]}"},
    {"{\"prompt\":\"C\\n\\nA\\n\\nq?\",\"max_tokens\":9,\"stream\":true,"
     "\"priority\":1,\"resume_from\":4,\"request_id\":\"R\"}",
     "{\"choices\":[]}", "{\"choices\":[{\"text\":\"T\"}]}"},
    {"{\"request\":{\"input\":\"q?\"},\"results\":{\"r\":[{\"text\":\"A\"},"
     "\"B\",{\"text\":\"C\"}],\"k\":[{\"text\":\"C\"},{\"text\":\"A\"}],"
     "\"g\":\"T\"}}",
     NULL, "not JSON"},
};

static void
test_stages(void)
{
    CLEANUP(buf_free) struct buf errors = {0};
    struct fleet *f = NULL;
    g_assert_cmpint(fleet_parse(str_from_cstr(config), &f, &errors), ==,
                    ST_OK);
    json_t *request = json_pack("{s:s}", "input", "q?");
    json_t *results[FLEET_MAX_STAGES] = {0};
    struct compose_input in = {f,       f->pipelines, request,
                               results, STR_LIT("R"), 1};
    for (int i = 0; i < 5; i++) {
        CLEANUP(str_free) struct str body = compose_call_body(&in, i, 4);
        g_assert_cmpstr(body.ptr, ==, rows[i][0]);
        g_assert_true(!rows[i][1] ||
                      !compose_result(&in, i, str_from_cstr(rows[i][1])));
        results[i] = compose_result(&in, i, str_from_cstr(rows[i][2]));
        g_assert_nonnull(results[i]);
    }
    CLEANUP(str_free) struct str answer = compose_answer(&in);
    g_assert_cmpstr(answer.ptr, ==,
                    "{\"request_id\":\"R\",\"pipeline\":\"p\",\"output\":"
                    "\"not JSON\",\"stages\":[{\"name\":\"e\",\"kind\":"
                    "\"encode\",\"replayed\":true},{\"name\":\"r\",\"kind\":"
                    "\"retrieve\"},{\"name\":\"k\",\"kind\":\"rerank\"},"
                    "{\"name\":\"g\",\"kind\":\"generate\"},{\"name\":\"s\","
                    "\"kind\":\"service\",\"output\":\"not JSON\"}]}");
    for (int i = 0; i < 5; i++) {
        json_decref(results[i]);
    }
    json_decref(request);
    fleet_free(f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/compose/stages", test_stages);
    return g_test_run();
}
