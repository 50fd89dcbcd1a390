/* Guards against a large team that starves small teams, bulk work that waits
 * forever or is served too early, and a full queue that drops the wrong entry.
 */
#include <glib.h>
#include <stdio.h>

#include "flow/fairq.h"

/* Each word of a script is a push, TEAM WEIGHT[/DEADLINE_MS] without a space,
 * or a pop, ".". Entries are numbered from 0 in order of pushes; the expected
 * text lists the popped and dropped (with !) entries in order. Time advances
 * by 1 ms with each word. */
static const struct {
    const char *name; /* the failure that the row guards against */
    bool fifo;
    int limit;
    const char *script;
    const char *expected;
} rows[] = {
    {"a team with more work goes first", false, 10, "a1 a1 a1 b1 . . . .",
     "0 3 1 2 "},
    {"weights are not kept", false, 10, "a1 a1 a1 a1 b3 b3 b3 . . . . .",
     "0 4 5 6 1 "},
    {"an idle team saves up its share", false, 20,
     "a1 a1 . . . a1 a1 a1 b1 b1 . . . .", "0 1 5 2 6 3 "},
    {"arrival order is lost in FIFO mode", true, 10, "a1 a1 b1 A1 . . . .",
     "0 1 2 3 "},
    {"classes out of order", false, 10, "B1 A1 a1 . . .", "2 1 0 "},
    {"a full queue drops one that can meet its deadline", false, 2,
     "a1/900 b1/200 b1/800 . .", "!1 0 2 "},
    {"of equal entries an older one is dropped", false, 2,
     "a1/900 b1/900 b1/900 . .", "!2 0 1 "},
    {"FIFO drops a queued entry", true, 2, "a1/900 b1/2 b1/800 . .",
     "!2 0 1 "},
};

static void
test_rows(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct fairq *q = fairq_new(rows[i].fifo);
        struct fairq_entry e[16] = {0};
        GString *actual = g_string_new("");
        gchar **words = g_strsplit(rows[i].script, " ", 0);
        int n = 0;
        int64_t now = 0;
        fairq_configure(q, rows[i].limit, 1000000);
        for (int k = 0; words[k]; k++, now += 1000) {
            struct fairq_entry *out;
            char team = 0;
            int weight = 0;
            int deadline = 1000;
            if (*words[k] == '.') {
                out = fairq_peek(q, now);
                if (out) {
                    fairq_remove(q, out);
                    g_string_append_printf(actual, "%d ", (int)(out - e));
                }
                continue;
            }
            sscanf(words[k], "%c%d/%d", &team, &weight, &deadline);
            e[n].team = (uint64_t)team;
            /* Team A has action work, B bulk work, and others interactive. */
            e[n].class = team == 'A'   ? CLASS_ACTION
                         : team == 'B' ? CLASS_BULK
                                       : CLASS_INTERACTIVE;
            e[n].weight = weight;
            e[n].cost_us = 1000;
            e[n].deadline_us = deadline * 1000;
            out = fairq_push(q, now, &e[n++]);
            if (out) {
                g_string_append_printf(actual, "!%d ", (int)(out - e));
            }
        }
        g_test_message("%s", rows[i].name);
        g_assert_cmpstr(actual->str, ==, rows[i].expected);
        g_strfreev(words);
        g_string_free(actual, TRUE);
        fairq_free(q);
    }
}

/* Guards against bulk work that waits behind interactive work for longer than
 * its maximum wait, and bulk work that goes first before that time. */
static void
test_bulk_wait(void)
{
    struct fairq *q = fairq_new(false);
    struct fairq_entry bulk = {.class = CLASS_BULK, .weight = 1};
    struct fairq_entry interactive = {.class = CLASS_INTERACTIVE, .weight = 1};
    fairq_configure(q, 10, 10000);
    fairq_push(q, 0, &bulk);
    fairq_push(q, 5000, &interactive);
    g_assert_true(fairq_peek(q, 9999) == &interactive);
    g_assert_true(fairq_peek(q, 10000) == &bulk);
    fairq_free(q);
}

/* Guards against overdue bulk work that takes all capacity when that is short,
 * and overdue bulk work that gets no capacity. */
static void
test_bulk_share(void)
{
    struct fairq *q = fairq_new(false);
    struct fairq_entry bulk[50] = {0};
    struct fairq_entry interactive[200] = {0};
    int served = 0;
    fairq_configure(q, 1000, 10000);
    for (int i = 0; i < 200; i++) {
        interactive[i].weight = 1;
        interactive[i].cost_us = 100;
        fairq_push(q, 0, &interactive[i]);
    }
    for (int i = 0; i < 50; i++) {
        bulk[i].class = CLASS_BULK;
        bulk[i].weight = 1;
        bulk[i].cost_us = 300;
        fairq_push(q, 0, &bulk[i]);
    }
    for (int i = 0; i < 100; i++) {
        struct fairq_entry *e = fairq_peek(q, 20000);
        fairq_remove(q, e);
        fairq_count_served(q, e);
        served += e->class == CLASS_BULK;
    }
    /* 98 x 100 us and 2 x 300 us: a twentieth of the work. */
    g_assert_cmpint(served, ==, 2);
    fairq_free(q);
}

/* Guards against wait estimates that count the whole backlog of other teams.
 */
static void
test_ahead(void)
{
    struct fairq *q = fairq_new(false);
    struct fairq_entry e[12] = {0};
    fairq_configure(q, 100, 1000000);
    for (int i = 0; i < 12; i++) {
        e[i].team = i < 10 ? 1 : 2;
        e[i].weight = 1;
        e[i].cost_us = 100;
        e[i].class = CLASS_INTERACTIVE;
        fairq_push(q, 0, &e[i]);
    }
    g_assert_cmpint(fairq_work_ahead_us(q, CLASS_INTERACTIVE, 1, 1), ==, 1200);
    g_assert_cmpint(fairq_work_ahead_us(q, CLASS_INTERACTIVE, 2, 1), ==, 500);
    g_assert_cmpint(fairq_work_ahead_us(q, CLASS_INTERACTIVE, 3, 1), ==, 200);
    g_assert_cmpint(fairq_work_ahead_us(q, CLASS_ACTION, 3, 1), ==, 1200);
    fairq_free(q);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fairq/rows", test_rows);
    g_test_add_func("/fairq/bulk_wait", test_bulk_wait);
    g_test_add_func("/fairq/bulk_share", test_bulk_share);
    g_test_add_func("/fairq/ahead", test_ahead);
    return g_test_run();
}
