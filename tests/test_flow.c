/* Guards against requests that do not get exactly one answer or refusal, calls
 * sent by a node that is not fresh or to endpoints out of service, and
 * refusals of the wrong kind. */
#include <glib.h>

#include "tests/flow_script.h"

#define ENC "{\"data\":[{\"embedding\":[1]}]}"

static const struct {
    const char *name; /* the failure it guards against */
    const char *script;
} rows[] = {
    {"checks are out of order or skipped, or refuse with a wrong kind",
     "> req 1 plain\nrefuse r1 not_ready not_run\n> req 2 act key=k\n"
     "refuse r2 claim_unknown may_have_run\n"
     "> snap svc:s1@z1 enc:e1@z1 led:l1@z1\n> req 3 plain\n"
     "refuse r3 not_ready not_run\n> req 4 act key=k\n"
     "refuse r4 claim_unknown may_have_run\n> fresh 100000\n"
     "> req 5 plain tok=x\nrefuse r5 unauthenticated not_run\n"
     "> req 6 none\nrefuse r6 not_found not_run\n"
     "> req 7 plain body=[]\nrefuse r7 bad_request not_run\n"
     "> req 8 plain body={\nrefuse r8 bad_request not_run\n"
     "> req 9 plain dl=0\nrefuse r9 bad_request not_run\n"
     "> req 10 plain dl=1s\nrefuse r10 bad_request not_run\n"
     "> req 11 act\nrefuse r11 key_required not_run\n> req 12 gen\n"
     "refuse r12 no_endpoint not_run\n> drain\n> req 13 plain\n"
     "refuse r13 not_ready not_run\n"},
    {"stages run out of order, or an ended request gets results",
     "> snap enc:e1@z1 gen:g1@z1\n> fresh 100000\n"
     "> req 1 eg stream\ncall a1 r1 e e1\n"
     "> done a1 200 " ENC "\ncall a2 r1 g g1\n"
     "> token a2 0 ab\ntoken r1 0 ab\n> token a2 1 cd\ntoken r1 1 cd\n"
     "> done a2 200\nanswer r1\n> done a2 200\n"
     "> req 2 eg\ncall a3 r2 e e1\n> gone 2\ncancel a3\n"
     "> done a3 200 " ENC "\n"},
    {"a passed deadline is not reported, or its call goes on running",
     "> snap svc:s1@z1\n> fresh 100000\n"
     "> req 1 plain dl=500\ncall a1 r1 s s1\n> @499 tick\nprobe s1\n"
     "> @501 tick\nrefuse r1 deadline_exceeded not_run\ncancel a1\n"},
    {"a node that is not fresh sends calls or loses waiting requests",
     "> snap enc:e1@z1 gen:g1@z1\n> fresh 1000\n"
     "> req 1 eg dl=3000\ncall a1 r1 e e1\n"
     "> req 2 eg dl=3000\ncall a2 r2 e e1\n"
     "> @1000 done a1 200 " ENC "\n"
     "> @1001 req 3 plain\nprobe e1\nrefuse r3 not_ready not_run\n"
     "> @1010 fresh 1500\ncall a3 r1 g g1\n"
     "> @1510 done a2 200 " ENC "\n"
     "> token a3 0 x\n> done a3 200\nanswer r1\n"
     "> @3500 tick\nrefuse r2 not_ready not_run\n"},
    {"the queue has no limit, or endpoints out of service get calls",
     "> snap svc:s1@z1\n> fresh 100000\n"
     "> req 1 plain\ncall a1 r1 s s1\n> req 2 plain\ncall a2 r2 s s1\n"
     "> req 3 plain\n> req 4 plain\n> req 5 plain\n"
     "> req 6 plain dl=7000\n"
     "> req 7 plain\nrefuse r6 overloaded not_run\n"
     "> req 8 plain\nrefuse r8 overloaded not_run\n"
     "> snap svc:s1@z1- svc:s2@z2\ncall a3 r3 s s2\ncall a4 r4 s s2\n"
     "> done a1 200 {}\nanswer r1\n"
     "> snap enc:e1@z1\nrefuse r5 no_endpoint not_run\n"
     "refuse r7 no_endpoint not_run\n> done a2 200 {}\nanswer r2\n"
     "> done a3 200 {}\nanswer r3\n"},
    {"an endpoint that reports that it is leaving gets calls",
     "> snap svc:s1@z1 svc:s2@z2\n> fresh 100000\n"
     "> req 1 plain\ncall a1 r1 s s1\n> done a1 503 x leaving\n"
     "> @600 tick\ncall a2 r1 s s2\n> done a2 200 {}\nanswer r1\n"
     "> req 2 plain\ncall a3 r2 s s2\n"},
};

static const char baseline[] =
    "> snap svc:s1@z1 svc:s2@z2!\n"
    "> fresh 100000\n> req 1 plain\ncall a1 r1 s s1\n"
    "> req 2 plain\ncall a2 r2 s s2\n> fail a1 reset\n"
    "> @600 tick\ncall a3 r1 s s1\n> fail a3 reset\n"
    "> @1200 tick\ncall a4 r1 s s2\n> fail a4 reset\n"
    "refuse r1 upstream_failed not_run\n";

static void
test_rows(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_test_message("%s", rows[i].name);
        flow_script(FLOW_POLICY_FULL, rows[i].script);
    }
}

/* Guards against a baseline policy that uses credits or probes, which it is
 * meant to be compared with. */
static void
test_baseline(void)
{
    flow_script(FLOW_POLICY_ROUND_ROBIN, baseline);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow/rows", test_rows);
    g_test_add_func("/flow/baseline", test_baseline);
    return g_test_run();
}
