/* Guards against metrics of teams that grow with the number of teams, leave
 * out the teams that are refused most, or break the text format. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/clean.h"
#include "base/hash.h"
#include "forward/team_counts.h"

static int
count_lines(const char *text, const char *start)
{
    int n = 0;
    for (const char *at = text; (at = strstr(at, start));
         at += strlen(start)) {
        n += at == text || at[-1] == '\n';
    }
    return n;
}

static void
test_bounds(void)
{
    struct team_counts *t = team_counts_new();
    CLEANUP(buf_free) struct buf text = {0};
    for (int i = 0; i < 3000; i++) {
        char name[32];
        snprintf(name, sizeof(name), "team-%d", i);
        struct str s = str_from_cstr(name);
        for (int k = 0; k <= i % 100; k++) {
            team_counts_add(t, hash64(s), s, TEAM_SENT);
        }
        if (i == 300) {
            team_counts_add(t, hash64(s), s, TEAM_REFUSED);
        }
    }
    team_counts_add(t, 0, (struct str){0}, TEAM_REFUSED);
    team_counts_metrics(t, &text);
    g_assert_cmpint(count_lines(text.ptr, "cf_forward_team_sends_total{"), ==,
                    TEAM_COUNTS_MAX_SHOWN + 1);
    g_assert_cmpint(count_lines(text.ptr, "cf_forward_team_refusals_total{"),
                    ==, TEAM_COUNTS_MAX_SHOWN + 1);
    g_assert_nonnull(strstr(
        text.ptr, "cf_forward_team_refusals_total{team=\"team-300\"} 1\n"));
    g_assert_nonnull(strstr(
        text.ptr, "cf_forward_team_sends_total{team=\"team-499\"} 100\n"));
    g_assert_nonnull(strstr(text.ptr, "{team=\"(others)\"}"));
    team_counts_free(t);
}

static void
test_names(void)
{
    struct team_counts *t = team_counts_new();
    CLEANUP(buf_free) struct buf text = {0};
    struct str name = STR_LIT("a\"b\\c\nd e");
    team_counts_metrics(t, &text);
    g_assert_cmpint((int)text.len, ==, 0);
    team_counts_add(t, 5, name, TEAM_SENT);
    team_counts_metrics(t, &text);
    g_assert_nonnull(strstr(text.ptr, "{team=\"a_b_c_d_e\"} 1\n"));
    team_counts_free(t);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/team_counts/bounds", test_bounds);
    g_test_add_func("/team_counts/names", test_names);
    return g_test_run();
}
