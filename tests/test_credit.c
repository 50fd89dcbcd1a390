/* Guards against calls on cold endpoints without a granted, unexpired
 * credit, and against unused credits that are not released. */
#include <glib.h>

#include "tests/flow_script.h"

#define COLD                                                                  \
    "> snap svc:s1@z1!\n"                                                     \
    "> fresh 100000\n"                                                        \
    "> req 1 plain\ncredit c1 s1\n"
#define WARM                                                                  \
    "> snap svc:s1@z1\n"                                                      \
    "> fresh 100000\n"                                                        \
    "> req 1 plain\ncall a1 r1 s s1\n"

static const struct {
    const char *name; /* the failure it guards against */
    const char *script;
} rows[] = {
    {"a call is sent without a grant, or a credit is not released",
     COLD "> credit c1 ok\ncall a1 r1 s s1\n"
          "> done a1 200 {} warm\nrelease c1 used ok warm\nanswer r1\n"
          "> credit c1 ok\nrelease c1\n"},
    {"a refused credit is requested again at once, or never",
     COLD "> credit c1 no 300\n> @299 tick\n> @302 tick\ncredit c2 s1\n"
          "> credit c2 ok\ncall a1 r1 s s1\n"},
    {"an expired credit is used, or an unused one is not released",
     COLD "> @900 fresh 0\n> credit c1 ok\n> @1099 fresh 0\n"
          "> @1101 tick\nrelease c1\n> fresh 100000\ncredit c2 s1\n"},
    {"a credit request without a reply keeps the endpoint out of use",
     COLD "> @1002 tick\nrelease c1\ncredit c2 s1\n"
          "> credit c1 ok\nrelease c1\n"
          "> credit c2 ok\ncall a1 r1 s s1\n"},
    {"the credit of a running call expires and is not renewed",
     COLD "> credit c1 ok\ncall a1 r1 s s1\n> bytes a1\n"
          "> @2002 tick\ncredit c1 s1\n> credit c1 no 500\n"
          "> @2503 tick\ncredit c1 s1\n> credit c1 ok\n> done a1 500 x\n"
          "release c1 used\n"},
    {"more credits are requested than there are queued requests",
     "> snap svc:s1@z1! svc:s2@z1!\n> fresh 100000\n"
     "> req 1 plain\ncredit c1 s2\n> req 2 plain\ncredit c2 s1\n"
     "> gone 1\n> credit c1 ok\ncall a1 r2 s s2\n> credit c2 ok\n"
     "> @202 tick\nrelease c2\n"},
    {"an endpoint that restarted gets calls without a credit",
     WARM "> done a1 200 {} start=A\nanswer r1\n"
          "> req 2 plain\ncall a2 r2 s s1\n"
          "> req 3 plain\ncall a3 r3 s s1\n"
          "> done a2 200 {} start=B\nanswer r2\ncold s1 1 detected\n"
          "> req 4 plain\ncredit c1 s1\n> snap svc:s1@z1\n"
          "> notice s1 cold\ncold s1 1\n"
          "> notice s1 warm\ncall a4 r4 s s1\n"},
    {"a process start that is known to be warm makes the endpoint cold again",
     WARM "> done a1 200 {} start=A\nanswer r1\n"
          "> notice s1 cold start=B\ncold s1 0\n> notice s1 warm start=B\n"
          "> req 2 plain\ncall a2 r2 s s1\n"
          "> done a2 200 {} start=B\nanswer r2\n"
          "> req 3 plain\ncall a3 r3 s s1\n"
          "> done a3 200 {} start=C\nanswer r3\ncold s1 0 detected\n"},
    {"calls sent before a cold start stay counted after their end",
     WARM "> req 2 plain\ncall a2 r2 s s1\n> notice s1 cold\ncold s1 2\n"
          "> done a1 200 {}\nanswer r1\ncold s1 1\n"
          "> done a2 200 {}\nanswer r2\ncold s1 0\n"},
    {"an endpoint that reports that it is cold gets calls without a credit",
     WARM "> done a1 200 {} cold\nanswer r1\ncold s1 0 detected\n"
          "> req 2 plain\ncredit c1 s1\n"},
    {"the owner counts calls without a credit that have ended",
     WARM "> req 2 plain\ncall a2 r2 s s1\n"
          "> done a1 200 {} cold\nanswer r1\ncold s1 1 detected\n"
          "> notice s1 cold\ncold s1 1\n"
          "> done a2 200 {} cold\nanswer r2\ncold s1 0\n"},
    {"an endpoint that refused a connection gets calls without a credit",
     WARM "> fail a1 refused unsent\ncold s1 0 detected\n> @240 tick\n"
          "> @252 tick\ncredit c1 s1\n> credit c1 ok\ncall a2 r1 s s1\n"
          "> fail a2 refused unsent\nrelease c1\ncold s1 0 detected\n"},
    {"the report of a cold endpoint does not reach the owner",
     COLD "> credit c1 ok\ncall a1 r1 s s1\n"
          "> done a1 200 {} cold\nrelease c1 used ok cold\nanswer r1\n"},
};

static void
test_rows(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_test_message("%s", rows[i].name);
        flow_script(FLOW_POLICY_FULL, rows[i].script);
    }
}

/* Guards against slow first tokens of a cold engine that are not noticed, and
 * against an overloaded endpoint that is treated as cold although its load
 * report says warm. */
static void
run_slow_answers(const char *load, const char *end)
{
    GString *s = g_string_new("> snap svc:s1@z1\n> fresh 100000\n");
    for (int i = 1; i <= 26; i++) {
        /* 23 answers in 10 ms, then three in 200 ms. */
        int at = i * 250;
        g_string_append_printf(s,
                               "> @%d req %d plain\ncall a%d r%d s s1\n"
                               "> @%d done a%d 200 {}%s\nanswer r%d\n",
                               at, i, i, i, at + (i > 23 ? 200 : 10), i, load,
                               i);
    }
    g_string_append(s, end);
    flow_script(FLOW_POLICY_FULL, s->str);
    g_string_free(s, TRUE);
}

static void
test_slow(void)
{
    run_slow_answers("", "cold s1 0 detected\n");
    run_slow_answers(" warm", "> req 27 plain\ncall a27 r27 s s1\n");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/credit/rows", test_rows);
    g_test_add_func("/credit/slow", test_slow);
    return g_test_run();
}
