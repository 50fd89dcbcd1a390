/* Guards against wrong answers to operators: "not_accepted" for a change that
 * is stored, and "done" before each region has the change in force. Also
 * guards against a change that is applied twice after a lost answer, and edits
 * without an answer. */
#include <glib.h>
#include <string.h>

#include "base/clean.h"
#include "control/confedit.h"
#include "control/control.h"
#include "model/edit.h"

#define MS INT64_C(1000)
#define DEADLINE_US (6000 * MS)

/* Voters 1 (this node) and 2 in region a, 3 in region b. */
static const char roster[] =
    "{\"members\":["
    "{\"id\":\"0000000000000001\",\"address\":\"x\",\"region\":\"a\","
    "\"incarnation\":1,\"vote\":true},"
    "{\"id\":\"0000000000000002\",\"address\":\"x\",\"region\":\"a\","
    "\"incarnation\":1,\"vote\":true},"
    "{\"id\":\"0000000000000003\",\"address\":\"x\",\"region\":\"b\","
    "\"incarnation\":1,\"vote\":true}]}";

static const char edit[] =
    "{\"change\":\"c1\",\"by\":\"ann\",\"base\":5,\"set\":[{\"path\":"
    "\"defaults/deadline_ms\",\"value\":5000}]}";

/*
 * Each letter of a script is the store's reaction to one operation; the last
 * letter is repeated.
 * CAS: o succeeds; c conflicts, since another operator has changed another
 * path; C conflicts, since another operator has changed the same path; f fails
 * without a write; L writes, but the answer is lost; l does not write, and the
 * answer is lost; d writes later, just before the next CAS, and the answer is
 * lost.
 * GET: g succeeds; G succeeds after another operator has changed another path;
 * x fails.
 * Both: h no answer at all.
 */
static const struct {
    const char *script;
    const char *body;
    const char *acks; /* nodes that acknowledge; "-": there is no roster */
    enum errkind expected_error;
    const char *body_contains;
    int change_count; /* how many times the change is in the history */
} rows[] = {
    {"o", edit, "23", ERRKIND_NONE, "\"revision\":6", 1},
    {"o", edit, "2", ERRKIND_CHANGE_UNCONFIRMED, "\"regions\":[\"b\"]", 1},
    {"o", edit, "3", ERRKIND_CHANGE_UNCONFIRMED, "\"regions\":[\"a\"]", 1},
    {"o", edit, "", ERRKIND_CHANGE_UNCONFIRMED, "\"regions\":[\"a\",\"b\"]",
     1},
    {"o", edit, "-", ERRKIND_CHANGE_UNCONFIRMED, "\"regions\":[]", 1},
    {"cgo", edit, "23", ERRKIND_NONE, "\"revision\":7", 1},
    {"ccgcgo", edit, "23", ERRKIND_NONE, "\"revision\":", 1},
    {"Cg", edit, "23", ERRKIND_CONFLICT,
     "defaults/deadline_ms was changed by eve (change e", 0},
    {"fgo", edit, "23", ERRKIND_NONE, "\"revision\":6", 1},
    {"fxxgfgo", edit, "23", ERRKIND_NONE, "\"revision\":6", 1},
    {"fx", edit, "23", ERRKIND_NOT_ACCEPTED, "not stored", 0},
    {"fh", edit, "23", ERRKIND_NOT_ACCEPTED, "not stored", 0},
    {"Lg", edit, "23", ERRKIND_NONE, "\"revision\":6", 1},
    {"LG", edit, "23", ERRKIND_NONE, "\"revision\":7", 1},
    {"lgo", edit, "23", ERRKIND_NONE, "\"revision\":6", 1},
    {"dgcg", edit, "23", ERRKIND_NONE, "\"revision\":", 1},
    {"Lx", edit, "23", ERRKIND_CHANGE_UNCONFIRMED, "\"stored\":\"unknown\"",
     1},
    {"lx", edit, "23", ERRKIND_CHANGE_UNCONFIRMED, "\"stored\":\"unknown\"",
     0},
    /* The document is unchanged, so the lost write may still arrive. */
    {"lgfx", edit, "23", ERRKIND_CHANGE_UNCONFIRMED, "\"stored\":\"unknown\"",
     0},
    /* The document has a newer revision, so the lost write can no longer take
     * effect. */
    {"lGfx", edit, "23", ERRKIND_NOT_ACCEPTED, "not stored", 0},
    {"h", edit, "23", ERRKIND_CHANGE_UNCONFIRMED, "\"stored\":\"unknown\"", 0},
    {"o", "{\"change\":\"c1\"}", "23", ERRKIND_BAD_REQUEST, "base: must be",
     0},
    {"o",
     "{\"change\":\"c1\",\"by\":\"ann\",\"base\":5,\"set\":[{\"path\":"
     "\"defaults/deadline_ms\",\"value\":1},{\"path\":\"colour\","
     "\"value\":1}]}",
     "23", ERRKIND_BAD_REQUEST, "colour: unknown key", 0},
    /* The operator has read a newer document than this node. */
    {"GCg",
     "{\"change\":\"c1\",\"by\":\"ann\",\"base\":6,\"set\":[{\"path\":"
     "\"defaults/deadline_ms\",\"value\":5000}]}",
     "23", ERRKIND_CONFLICT, "was changed by eve", 0},
};

struct world {
    struct docs *d;
    struct member *m;
    struct confedit *c;
    struct outbox *out;
    int64_t now_us;
    const char *script;
    const char *acks;
    struct str doc; /* in the store */
    int64_t revision;
    struct str delayed_value; /* value that is written before the next CAS */
    int64_t delayed_expect;
    int other_edits;
    bool answered;
    enum errkind error;
    char body[512];
};

static int
collect_no_gossip(void *arg, struct gossip *out, int max)
{
    (void)arg;
    (void)out;
    (void)max;
    return 0;
}

static void
put(struct world *w, struct str value)
{
    struct str copy = str_dup(value);
    str_free(&w->doc);
    w->doc = copy;
    w->revision++;
}

/* Another operator changes the same or another path. */
static void
other_edit(struct world *w, bool same_path)
{
    CLEANUP(buf_free) struct buf out = {0};
    CLEANUP(buf_free) struct buf why = {0};
    CLEANUP_FREE char *body = g_strdup_printf(
        "{\"change\":\"e%d\",\"by\":\"eve\",\"base\":%d,\"set\":[{\"path\":"
        "\"defaults/%s\",\"value\":%d}]}",
        w->other_edits, (int)w->revision,
        same_path ? "deadline_ms" : "queue_limit", 100 + w->other_edits);
    struct edit *e = NULL;
    w->other_edits++;
    g_assert_cmpint(edit_parse(str_from_cstr(body), false, &e, &why), ==,
                    ST_OK);
    g_assert_cmpint(edit_apply(e, w->doc, w->revision, &out, &why), ==,
                    EDIT_APPLIED);
    put(w, buf_str(&out));
    edit_free(e);
}

/* Performs a store operation by the next letter of the script.
 * @return false if the operation gets no answer */
static bool
perform(struct world *w, const struct store_op *op, struct store_result *r)
{
    char reaction = *w->script;
    w->script += w->script[1] != 0;
    *r = (struct store_result){.id = op->id, .outcome = STORE_OUTCOME_UNKNOWN};
    if (op->kind == STORE_CAS && w->delayed_value.len) {
        if (w->delayed_expect == w->revision) {
            put(w, w->delayed_value);
        }
        str_free(&w->delayed_value);
    }
    if (reaction == 'c' || reaction == 'C' || reaction == 'G') {
        bool mine = edit_document_has_change(w->doc, STR_LIT("c1"));
        if (reaction == 'G' || !mine) {
            other_edit(w, reaction == 'C');
        }
    }
    switch (reaction) {
    case 'o':
        g_assert_cmpint(op->expect, ==, w->revision);
        put(w, op->value);
        r->outcome = STORE_OK;
        break;
    case 'c':
    case 'C':
        g_assert_cmpint(op->expect, !=, w->revision);
        r->outcome = STORE_CONFLICT;
        break;
    case 'f':
    case 'x':
        r->outcome = STORE_FAILED;
        break;
    case 'L':
        put(w, op->value);
        break;
    case 'd':
        w->delayed_value = str_dup(op->value);
        w->delayed_expect = op->expect;
        break;
    case 'g':
    case 'G':
        g_assert_cmpint(op->kind, ==, STORE_GET);
        r->outcome = STORE_OK;
        r->value = w->doc;
        break;
    case 'h':
        return false;
    default:
        break;
    }
    r->revision = w->revision;
    return true;
}

/* Performs the actions of a step and all actions that result from these. */
static void
drain(struct world *w)
{
    struct control_action a;
    struct store_result r[4];
    int count = 0;
    while (outbox_take(w->out, &a)) {
        if (a.kind == CONTROL_ACT_ADMIN) {
            g_assert_false(w->answered);
            w->answered = true;
            w->error = a.admin.error;
            g_strlcpy(w->body, a.admin.body.ptr, sizeof(w->body));
        }
        else if (a.kind == CONTROL_ACT_STORE) {
            w->now_us += MS;
            count += perform(w, &a.store, &r[count]);
        }
    }
    outbox_clear(w->out);
    for (int i = 0; i < count; i++) {
        confedit_handle_store_result(w->c, w->now_us, w->d, w->m, &r[i],
                                     w->out);
    }
    int64_t revisions[DOC_COUNT] = {docs_get(w->d, DOC_CONFIG).revision, 1, 0};
    member_set_revisions(w->m, revisions, 0);
    for (const char *p = w->acks; *p; p++) {
        member_record_ack(w->m, (uint64_t)(*p - '0'), 0, DOC_CONFIG,
                          revisions[0]);
    }
    if (count) {
        drain(w);
    }
}

static void
ask(struct world *w, const char *script, const char *body)
{
    int64_t deadline = w->now_us + DEADLINE_US;
    w->script = script;
    w->answered = false;
    confedit_start(w->c, w->now_us, w->d, w->m, 7, false, str_from_cstr(body),
                   deadline, w->out);
    drain(w);
    while (!w->answered) {
        int64_t at = confedit_next_wakeup_us(w->c);
        g_assert_cmpint(at, <=, deadline);
        w->now_us = at > w->now_us ? at : w->now_us;
        confedit_tick(w->c, w->now_us, w->d, w->m, w->out);
        drain(w);
    }
    g_assert_cmpint(w->now_us, <=, deadline + 2 * MS);
    g_assert_cmpint(confedit_open_count(w->c), ==, 0);
}

static int
change_count(struct str doc)
{
    int n = 0;
    for (const char *p = doc.ptr; (p = strstr(p, "\"change\":\"c1\"")); p++) {
        n++;
    }
    return n;
}

static void
run_row(size_t i)
{
    struct world w = {.acks = rows[i].acks, .revision = 5};
    struct member_options mo = {.node = 1,
                                .incarnation = 1,
                                .region = STR_LIT("a"),
                                .callbacks = {NULL, collect_no_gossip, NULL}};
    struct docs_options dopt = {.node = 1, .incarnation = 1};
    w.doc = str_dup(STR_LIT("{}"));
    w.out = outbox_new();
    w.d = docs_new(&dopt, 0);
    w.m = member_new(&mo, 0);
    w.c = confedit_new(1, 1);
    const struct view *v = member_view(w.m);
    if (*w.acks == '-') {
        w.acks = "";
    }
    else {
        docs_apply(w.d, v, DOC_ROSTER, 1, str_from_cstr(roster), false, w.out);
    }
    docs_apply(w.d, v, DOC_CONFIG, 5, w.doc, false, w.out);
    member_set_roster(w.m, 0, docs_roster(w.d));
    ask(&w, rows[i].script, rows[i].body);
    if (w.error != rows[i].expected_error ||
        !strstr(w.body, rows[i].body_contains) ||
        change_count(w.doc) != rows[i].change_count) {
        g_error("row %zu (%s): %s %s, %d effects", i, rows[i].script,
                errkind_info(w.error)->name, w.body, change_count(w.doc));
    }
    if (w.error == ERRKIND_NONE) {
        /* A second request with the same change id has no effect, and no
         * write is sent to the store. */
        ask(&w, "g", rows[i].body);
        g_assert_cmpint(w.error, ==, ERRKIND_NONE);
        g_assert_cmpint(change_count(w.doc), ==, 1);
    }
    str_free(&w.delayed_value);
    str_free(&w.doc);
    outbox_free(w.out);
    docs_free(w.d);
    member_free(w.m);
    confedit_free(w.c);
}

static void
test_rows(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        run_row(i);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/confedit/rows", test_rows);
    return g_test_run();
}
