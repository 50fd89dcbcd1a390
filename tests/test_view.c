/* Guards against nodes that disagree about owners, owners that are dead or not
 * in the roster, owners in the wrong region, an uneven distribution, and
 * ownership that moves although the owner is still alive. */
#include <glib.h>
#include <stdio.h>

#include "control/view.h"

static void
make_members(struct view_member *m, int n)
{
    for (int i = 0; i < n; i++) {
        m[i] =
            (struct view_member){.node = (uint64_t)i + 1,
                                 .region = i % 2 ? STR_LIT("b") : STR_LIT("a"),
                                 .alive = true,
                                 .in_roster = true};
    }
}

static struct str
item(char buf[16], int i)
{
    return str_from_bytes(buf, (size_t)snprintf(buf, 16, "claims/%d", i));
}

static void
test_owner(void)
{
    struct view_member m[10];
    struct view v = {1, 1, 10, m};
    int owned_items[11] = {0};
    char b[16];
    make_members(m, 10);
    for (int i = 0; i < 1000; i++) {
        uint64_t owner = view_owner(&v, item(b, i), STR_LIT(""));
        uint64_t in_b = view_owner(&v, item(b, i), STR_LIT("b"));
        owned_items[owner]++;
        g_assert_cmpint(in_b % 2, ==, 0);
        g_assert_true(view_is_in_top(&v, item(b, i), 1, owner));
        int among = 0;
        for (uint64_t n = 1; n <= 10; n++) {
            among += view_is_in_top(&v, item(b, i), 3, n);
        }
        g_assert_cmpint(among, ==, 3);
        /* The death of another node does not move the ownership, and a node
         * that is not in the roster owns nothing. */
        uint64_t other = owner % 10 + 1;
        m[other - 1].alive = false;
        g_assert_cmpuint(view_owner(&v, item(b, i), STR_LIT("")), ==, owner);
        m[other - 1].alive = true;
        m[owner - 1].in_roster = false;
        g_assert_cmpuint(view_owner(&v, item(b, i), STR_LIT("")), !=, owner);
        g_assert_false(view_is_in_top(&v, item(b, i), 10, owner));
        m[owner - 1].in_roster = true;
    }
    for (int n = 1; n <= 10; n++) {
        g_assert_cmpint(owned_items[n], >, 60);
        g_assert_cmpint(owned_items[n], <, 140);
    }
}

static void
test_region_gone(void)
{
    struct view_member m[4];
    struct view v = {1, 1, 4, m};
    make_members(m, 4);
    m[1].alive = m[3].alive = false;
    uint64_t o = view_owner(&v, STR_LIT("x"), STR_LIT("b"));
    g_assert_true(o == 1 || o == 3);
    g_assert_cmpint(view_alive_count(&v), ==, 2);
    m[0].alive = m[2].alive = false;
    g_assert_cmpuint(view_owner(&v, STR_LIT("x"), STR_LIT("")), ==, 0);
    g_assert_null(view_find(&v, 9));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/view/owner", test_owner);
    g_test_add_func("/view/region-gone", test_region_gone);
    return g_test_run();
}
