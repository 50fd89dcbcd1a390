/* Guards against edits that overwrite a concurrent change of another operator,
 * are applied twice, lose the record of who changed what, or are accepted with
 * errors or without a required reason. */
#include <glib.h>
#include <string.h>

#include "base/clean.h"
#include "model/edit.h"
#include "model/fleet.h"

#define START_DOCUMENT                                                        \
    "{\"defaults\":{\"deadline_ms\":8000},\"zones\":{\"okha\":{\"region\":"   \
    "\"s\"},\"mandvi\":{\"region\":\"s\"}},\"pools\":{\"enc\":{\"kind\":"     \
    "\"encode\"}}}"

/* Builds an edit: change id, author, base revision, list of settings. */
#define EDIT(id, by, base, set)                                               \
    "{\"change\":\"" id "\",\"by\":\"" by "\",\"base\":" #base                \
    ",\"set\":[" set "]}"
#define SET(path, value) "{\"path\":\"" path "\",\"value\":" value "}"
#define SET_WITH_REASON(path, value, why)                                     \
    "{\"path\":\"" path "\",\"value\":" value ",\"reason\":\"" why "\"}"

/* Applies an edit to *doc in place. Also returns EDIT_INVALID for a request
 * that does not parse. */
static enum edit_outcome
run(const char *body, bool whole, struct str *doc, int64_t revision,
    struct buf *messages)
{
    CLEANUP(buf_free) struct buf out = {0};
    struct edit *e = NULL;
    if (edit_parse(str_from_cstr(body), whole, &e, messages) != ST_OK) {
        return EDIT_INVALID;
    }
    enum edit_outcome r = edit_apply(e, *doc, revision, &out, messages);
    g_assert_true(edit_base(e) >= 0);
    edit_free(e);
    g_assert_cmpint(r == EDIT_APPLIED, ==, out.len > 0);
    if (r == EDIT_APPLIED) {
        str_free(doc);
        *doc = buf_take_str(&out);
    }
    return r;
}

/* The rows are applied in order. The revision starts at 10 and increases by 10
 * with each row that is applied. */
static const struct {
    const char *body;
    bool whole;
    enum edit_outcome expected;
    const char *expected_text; /* text in the new document or in the errors */
} rows[] = {
    {EDIT("c1", "ann", 10, SET("defaults/deadline_ms", "5000")), false,
     EDIT_APPLIED, "\"deadline_ms\":5000"},
    /* Another path with the same old base is merged. */
    {EDIT("c2", "bob", 10, SET_WITH_REASON("zones_out/okha", "true", "flood")),
     false, EDIT_APPLIED, "{\"reason\":\"flood\",\"by\":\"bob\"}"},
    /* The same path, an ancestor and a descendant of a changed path
     * conflict. */
    {EDIT("c3", "cid", 10, SET("defaults/deadline_ms", "1000")), false,
     EDIT_CONFLICT, "defaults/deadline_ms was changed by ann (change c1)"},
    {EDIT("c3", "cid", 10, SET("zones_out", "{}")), false, EDIT_CONFLICT,
     "zones_out/okha was changed by bob (change c2)"},
    {EDIT("c3", "cid", 20, SET("zones_out/okha/reason", "\"dry\"")), false,
     EDIT_CONFLICT, "zones_out/okha was changed by bob"},
    {EDIT("c3", "cid", 10, SET_WITH_REASON("vms_out/v1", "{}", "disk")), false,
     EDIT_APPLIED, "\"vms_out\":{\"v1\":{\"reason\":\"disk\""},
    /* A repeated change is recognized even if other changes followed. */
    {EDIT("c1", "ann", 10, SET("defaults/deadline_ms", "5000")), false,
     EDIT_DUPLICATE, NULL},
    {EDIT("c1", "eve", 10, SET("defaults/deadline_ms", "5000")), false,
     EDIT_INVALID, "the id was used by ann"},
    /* With the current revision as base, the edit no longer conflicts. */
    {EDIT("c4", "cid", 40, SET("defaults/deadline_ms", "1000")), false,
     EDIT_APPLIED, "\"deadline_ms\":1000"},
    {EDIT("c5", "cid", 50, SET("zones_out/okha", "null")), false, EDIT_APPLIED,
     "\"zones_out\":{}"},
    {EDIT("c6", "cid", 60, SET("zones_out/okha", "null")), false, EDIT_INVALID,
     "zones_out/okha: no such setting"},
    {EDIT("c6", "cid", 60, SET("zones_out/okha", "true")), false, EDIT_INVALID,
     "zones_out/okha: a reason is required"},
    {EDIT("c6", "cid", 60, SET("vms_out/v1", "{}")), false, EDIT_INVALID,
     "vms_out/v1: a reason is required"},
    {EDIT("c6", "cid", 60,
          SET("exceptions/x1", "{\"scope\":\"pool/enc\",\"setting\":"
                               "\"queue_limit\",\"value\":5}")),
     false, EDIT_INVALID, "exceptions/x1: a reason is required"},
    {EDIT("c6", "cid", 60, SET("defaults/deadline_ms/x", "1")), false,
     EDIT_INVALID, "no such setting"},
    /* All errors are reported together and nothing is applied. */
    {EDIT("c6", "cid", 60,
          SET("defaults/deadline_ms", "1") "," SET("defaults/colour", "1")),
     false, EDIT_INVALID, "defaults/colour: unknown setting"},
    {EDIT("c6", "cid", 60, SET("changes", "[]")), false, EDIT_INVALID,
     "changes cannot be edited"},
    {EDIT("c6", "cid", 60, SET("a//b", "1")), false, EDIT_INVALID,
     "empty part"},
    {EDIT("c6", "cid", 60,
          SET("defaults", "{}") "," SET("defaults/deadline_ms", "1")),
     false, EDIT_INVALID, "overlaps with set/0"},
    {EDIT("c6", "cid", 61, SET("defaults", "{}")), false, EDIT_INVALID,
     "base: newer"},
    {"{\"by\":\"a\"}", false, EDIT_INVALID, "change: must have"},
    {"[]", false, EDIT_INVALID, "must be an object"},
    /* A whole document conflicts with any later change, and keeps the change
     * history. */
    {"{\"change\":\"c7\",\"by\":\"dan\",\"base\":50,\"config\":{}}", true,
     EDIT_CONFLICT, "zones_out/okha was changed by cid"},
    {"{\"change\":\"c7\",\"by\":\"dan\",\"base\":60,\"config\":" START_DOCUMENT
     "}",
     true, EDIT_APPLIED, "\"change\":\"c1\""},
    {EDIT("c8", "eve", 60, SET("vms_out/v1", "null")), false, EDIT_CONFLICT,
     "vms_out"},
    {EDIT("c8", "eve", 60, SET("pools/gen", "{\"kind\":\"generate\"}")), false,
     EDIT_APPLIED, "\"gen\""},
    /* A path is an ancestor of another path only if a slash follows. */
    {EDIT("c9", "eve", 80, SET("pools/enc/model", "\"m\"")), false,
     EDIT_APPLIED, "\"model\":\"m\""},
    {EDIT("c10", "ann", 80, SET("pools/en", "{\"kind\":\"encode\"}")), false,
     EDIT_APPLIED, "\"en\""},
};

static void
test_rows(void)
{
    struct str doc = str_dup(STR_LIT(START_DOCUMENT));
    int64_t revision = 10;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        CLEANUP(buf_free) struct buf messages = {0};
        struct str before = str_dup(doc);
        enum edit_outcome r =
            run(rows[i].body, rows[i].whole, &doc, revision, &messages);
        if (r != rows[i].expected) {
            g_error("row %zu: outcome %d: %s", i, r, messages.ptr);
        }
        const char *text = r == EDIT_APPLIED ? doc.ptr : messages.ptr;
        if (rows[i].expected_text && !strstr(text, rows[i].expected_text)) {
            g_error("row %zu lacks '%s': %s", i, rows[i].expected_text, text);
        }
        g_assert_true(r == EDIT_APPLIED || str_eq(before, doc));
        revision += r == EDIT_APPLIED ? 10 : 0;
        str_free(&before);
    }
    str_free(&doc);
}

/* Guards against edits that are merged although their base is older than the
 * change history, or although another program replaced the document without
 * recording a change. */
static void
test_history(void)
{
    struct str doc = str_dup(STR_LIT(START_DOCUMENT));
    CLEANUP(buf_free) struct buf messages = {0};
    const char *stale =
        EDIT("late", "ann", 10, SET("zones/porbandar", "{\"region\":\"s\"}"));
    g_assert_cmpint(run(stale, false, &doc, 20, &messages), ==, EDIT_CONFLICT);
    g_assert_nonnull(strstr(messages.ptr, "without a recorded change"));
    for (int i = 0; i <= EDIT_MAX_CHANGES; i++) {
        CLEANUP_FREE char *body = g_strdup_printf(
            EDIT("h%d", "bob", 10, SET("defaults/deadline_ms", "%d")), i,
            1000 + i);
        char *base = strstr(body, "\"base\":10");
        g_assert_nonnull(base);
        CLEANUP_FREE char *edited =
            g_strdup_printf("%.*s\"base\":%d%s", (int)(base - body), body,
                            10 + 10 * i, base + strlen("\"base\":10"));
        g_assert_cmpint(run(edited, false, &doc, 10 + 10 * i, &messages), ==,
                        EDIT_APPLIED);
    }
    g_assert_false(edit_document_has_change(doc, STR_LIT("h0")));
    g_assert_true(edit_document_has_change(doc, STR_LIT("h1")));
    g_assert_cmpint(run(stale, false, &doc, 660, &messages), ==,
                    EDIT_CONFLICT);
    g_assert_nonnull(strstr(messages.ptr, "older than the last 64 changes"));
    str_free(&doc);
}

static void
test_redact(void)
{
    json_t *c = json_pack("{s:{s:{s:s}}}", "teams", "t", "token_hash", "ab");
    edit_redact_token_hashes(c);
    g_assert_cmpuint(
        json_object_size(json_object_get(json_object_get(c, "teams"), "t")),
        ==, 0);
    json_decref(c);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/edit/rows", test_rows);
    g_test_add_func("/edit/history", test_history);
    g_test_add_func("/edit/redact", test_redact);
    return g_test_run();
}
