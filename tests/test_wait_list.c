/* Guards against waiting requests that are sent in the order of arrival
 * instead of by rank, team and time left, and against requests that wait
 * although no endpoint takes them in time. */
#include <glib.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>

#include "forward/wait_list.h"

#define MS 1000LL

/* Each word is an entry, TEAM RANK [r]/MS_LEFT without spaces; expected are
 * the numbers of the entries in their order. */
static const struct {
    const char *name; /* the failure that the row guards against */
    const char *entries;
    const char *expected;
} rows[] = {
    {"a less urgent rank goes first", "a2/100 a0/900 a1/500", "1 2 0 "},
    {"time left does not order a team's entries", "a1/900 a1/100 a1/500",
     "1 2 0 "},
    {"a team with many entries has all of them first",
     "a1/100 a1/200 a1/300 b1/800 c1/900", "0 3 4 1 2 "},
    {"a team's excess counts more than a rank", "a0/900 a0/800 b1/100",
     "1 0 2 "},
    {"a caller that returns waits behind new ones", "a1/100 a1r/800 b1/200",
     "1 2 0 "},
    {"a team gains by callers that return", "a1r/500 a1r/600 b1/900",
     "0 2 1 "},
    {"arrival does not decide between equals", "a1/100 a1/100 a1/100",
     "0 1 2 "},
};

static int
parse(const char *text, struct wait_entry *out, int max)
{
    gchar **words = g_strsplit(text, " ", 0);
    int n = 0;
    for (; words[n]; n++) {
        int left = 0;
        g_assert_cmpint(n, <, max);
        out[n].team = (uint64_t)words[n][0];
        out[n].rank = words[n][1] - '0';
        out[n].returning = words[n][2] == 'r';
        sscanf(strchr(words[n], '/'), "/%d", &left);
        out[n].by_us = left * MS;
    }
    g_strfreev(words);
    return n;
}

static void
test_rows(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct team_share *share = team_share_new();
        struct wait_list list = {0};
        struct wait_entry e[8] = {0};
        GString *actual = g_string_new("");
        int n = parse(rows[i].entries, e, 8);
        for (int k = 0; k < n; k++) {
            wait_list_add(&list, &e[k]);
        }
        wait_list_sort(&list, share, 0);
        for (int k = 0; k < n; k++) {
            g_string_append_printf(actual, "%d ", (int)(list.entries[k] - e));
        }
        g_test_message("%s", rows[i].name);
        g_assert_cmpstr(actual->str, ==, rows[i].expected);
        g_string_free(actual, TRUE);
        wait_list_free(&list);
        team_share_free(share);
    }
}

/* Guards against a burst that is served before a steady team because its use
 * is not counted, and an entry whose place is counted wrongly. */
static void
test_share(void)
{
    struct team_share *share = team_share_new();
    struct wait_list list = {0};
    struct wait_entry e[4] = {
        {.team = 1, .by_us = 100 * MS},
        {.team = 1, .by_us = 200 * MS},
        {.team = 2, .by_us = 900 * MS},
        {.team = 2, .by_us = 950 * MS},
    };
    for (int i = 0; i < 50; i++) {
        team_share_charge(share, 1, 1, 0);
    }
    for (int i = 0; i < 3; i++) {
        wait_list_add(&list, &e[i]);
    }
    g_assert_cmpint(wait_list_ahead(&list, &e[2], share, 0), ==, 0);
    g_assert_cmpint(wait_list_ahead(&list, &e[0], share, 0), ==, 1);
    g_assert_cmpint(wait_list_ahead(&list, &e[3], share, 0), ==, 1);
    g_assert_cmpint(list.count, ==, 3);
    /* Without teams, the time left decides. */
    g_assert_cmpint(wait_list_ahead(&list, &e[0], NULL, 0), ==, 0);
    wait_list_remove(&list, &e[2]);
    wait_list_remove(&list, &e[2]);
    g_assert_cmpint(list.count, ==, 2);
    wait_list_free(&list);
    team_share_free(share);
}

/* Guards against requests that wait for endpoints which take others first. */
static void
test_openings(void)
{
    const struct wait_opening cold[] = {{100, 1000}, {600, 500}};
    const struct wait_opening paused[] = {{100, 1000}, {3000, 0}};
    g_assert_cmpint(wait_openings_until(cold, 2, 99), ==, 0);
    g_assert_cmpint(wait_openings_until(cold, 2, 100), ==, 1);
    g_assert_cmpint(wait_openings_until(cold, 2, 1100), ==, 4);
    g_assert_cmpint(wait_openings_until(paused, 2, 2999), ==, 3);
    g_assert_cmpint(wait_openings_until(paused, 2, 3000), ==, INT_MAX);
    g_assert_cmpint(wait_openings_expected_us(cold, 2, 0), ==, 100);
    g_assert_cmpint(wait_openings_expected_us(cold, 2, 30), ==, 10100);
    g_assert_cmpint(wait_openings_expected_us(paused, 2, 30), ==, 3000);
    g_assert_true(wait_openings_expected_us(NULL, 0, 0) == INT64_MAX);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/wait_list/rows", test_rows);
    g_test_add_func("/wait_list/share", test_share);
    g_test_add_func("/wait_list/openings", test_openings);
    return g_test_run();
}
