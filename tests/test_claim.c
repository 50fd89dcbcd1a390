/* Guards against actions that run twice, refusals whose `ran` is false, and
 * claims that stay held although nothing was sent. */
#include <glib.h>

#include "tests/flow_script.h"

#define START                                                                 \
    "> snap enc:e1@z1 led:l1@z1 led:l2@z2 svc:s1@z1\n"                        \
    "> fresh 100000\n"
#define ENC "{\"data\":[{\"embedding\":[1]}]}"
/* A request up to the call of its non-repeatable stage, sent to endpoint ep.
 */
#define SENT_AT(ep)                                                           \
    START "> req 1 act key=k dl=4000\nopen k1\n"                              \
          "> claim k1 opened\ncall a1 r1 e e1\n"                              \
          "> done a1 200 " ENC "\nclaim k1\n"                                 \
          "> claim k1 granted\n"                                              \
          "call a2 r1 l " ep " final\n"
#define SENT SENT_AT("l1")

static const struct {
    const char *name; /* the failure it guards against */
    const char *script;
} rows[] = {
    {"a repeated grant sends the action twice",
     SENT "> claim k1 granted\n"
          "> done a2 200 {\"n\":1}\ndone k1 200 {\"n\":1}\nanswer r1\n"
          "> claim k1 granted\n"},
    {"a call whose answer was lost is sent again or reported as not run",
     SENT "> fail a2 reset\nprobe l1\nrefuse r1 outcome_unknown may_have_run\n"
          "> probe l1 ok\n> claim k1 granted\n"},
    {"an unsent action is not retried under the same grant",
     SENT "> fail a2 refused unsent\ncold l1 0 detected\n"
          "> @700 tick\ncall a3 r1 l l2 final\n"
          "> done a3 200 {}\ndone k1 200 {}\nanswer r1\n"},
    {"an action refused by its service is reported as performed",
     SENT "> done a2 422 no\ndone k1 422 no\n"
          "refuse r1 upstream_rejected not_run\n"},
    {"an action that failed inside its service is reported as not run",
     SENT "> done a2 500 no\ndone k1 500 no\n"
          "refuse r1 outcome_unknown may_have_run\n"},
    {"a running action is cancelled with its caller, or is not recorded",
     SENT "> gone 1\n> done a2 200 {}\ndone k1 200 {}\n"},
    {"the answer of an action is lost when it comes after the deadline",
     SENT "> @1400 tick\nprobe l1\n> bytes a2\n> probe l1 ok\n"
          "> @4001 tick\nprobe l1\n"
          "refuse r1 outcome_unknown may_have_run\nprobe l1\n"
          "> done a2 200 {}\ndone k1 200 {}\n"},
    {"a silent action is sent again, or its caller waits",
     SENT "> @1400 tick\nprobe l1\n"
          "> probe l1 ok\nrefuse r1 outcome_unknown may_have_run\n"
          "> done a2 200 {}\ndone k1 200 {}\n"},
    {"a 2xx answer that is not JSON counts as incomplete",
     SENT "> done a2 200 <ok>\ndone k1 200 <ok>\nanswer r1\n"},
    {"a deadline during the call is reported as not run",
     SENT "> fail a2 timeout\nrefuse r1 outcome_unknown may_have_run\n"},
    {"an action is sent after its deadline",
     SENT "> @4001 tick\nprobe l1\nprobe l1\nprobe l1\n"
          "refuse r1 outcome_unknown may_have_run\n"
          "> fail a2 timeout unsent\nabandon k1\n"},
    {"a recorded answer is not replayed",
     START "> req 1 act key=k\nopen k1\n"
           "> claim k1 done 200 {}\nanswer r1\n"
           "> req 2 act key=k\nopen k2\n"
           "> claim k2 done 422 {}\nrefuse r2 upstream_rejected not_run\n"
           "> req 3 act key=k\nopen k3\n"
           "> claim k3 done 503 {}\nrefuse r3 outcome_unknown may_have_run\n"
           "> req 4 act key=k\nopen k4\n"
           "> claim k4 done 200\nrefuse r4 answer_not_kept ran\n"},
    {"a state of the claim is reported with a wrong kind",
     START "> req 1 act key=k\nopen k1\n"
           "> claim k1 held\nrefuse r1 outcome_unknown may_have_run\n"
           "> req 2 act key=k\nopen k2\n"
           "> claim k2 busy\nrefuse r2 in_progress may_have_run\n"
           "> req 3 act key=k\nopen k3\n"
           "> claim k3 mismatch\nrefuse r3 key_reused not_run\n"
           "> req 4 act key=k\nopen k4\n"
           "> claim k4 unavailable\nrefuse r4 claim_unknown may_have_run\n"
           "abandon k4\n"},
    {"a refusal before CLAIM_OPEN was answered says not run",
     START "> req 1 act key=k dl=500\nopen k1\n"
           "> @501 tick\nrefuse r1 claim_unknown may_have_run\nabandon k1\n"
           "> claim k1 opened\nabandon k1\n"},
    {"a store outage is reported as may have run, or a late grant stays held",
     START "> req 1 act key=k dl=500\nopen k1\n"
           "> claim k1 opened\ncall a1 r1 e e1\n"
           "> done a1 200 " ENC "\nclaim k1\n"
           "> @501 tick\nabandon k1\n"
           "> claim k1 granted\nabandon k1\n"
           "> claim k1 closed free\nrefuse r1 store_unavailable not_run\n"
           "> claim k1 granted\nabandon k1\n> claim k1 closed free\n"},
    {"not run is reported although another attempt with the key may run",
     START "> req 1 act key=k dl=500\nopen k1\n"
           "> claim k1 opened\ncall a1 r1 e e1\n"
           "> done a1 200 " ENC "\nclaim k1\n"
           "> @501 tick\nabandon k1\n"
           "> claim k1 closed\nrefuse r1 claim_unknown may_have_run\n"},
    {"not run is reported, or the caller waits, while no owner replies",
     START "> req 1 act key=k dl=500\nopen k1\n"
           "> claim k1 opened\ncall a1 r1 e e1\n"
           "> @501 tick\nprobe e1\nabandon k1\ncancel a1\n"
           "> @750 tick\n"
           "> @752 tick\nrefuse r1 claim_unknown may_have_run\n"
           "> claim k1 closed free\n"},
    {"one free key hides that the other is taken",
     START "> req 1 act2 key=k dl=500\nopen k1\nopen k2\n"
           "> claim k1 opened\n> claim k2 opened\nclaim k1\n"
           "> @501 tick\nabandon k1\nabandon k2\n> claim k2 closed\n"
           "> claim k1 closed free\nrefuse r1 claim_unknown may_have_run\n"},
    {"a caller that left before the grant keeps the claim",
     START "> req 1 act key=k\nopen k1\n"
           "> claim k1 opened\ncall a1 r1 e e1\n"
           "> done a1 200 " ENC "\nclaim k1\n"
           "> gone 1\nabandon k1\n> claim k1 granted\nabandon k1\n"},
    {"a node that is not fresh sends a granted action",
     START "> req 1 act key=k\nopen k1\n"
           "> claim k1 opened\ncall a1 r1 e e1\n"
           "> done a1 200 " ENC "\nclaim k1\n"
           "> fresh 0\n> claim k1 granted\n"
           "> fresh 100000\ncall a2 r1 l l1 final\n"},
    {"a second action's failure hides that the first was performed",
     START "> req 1 act2 key=k\nopen k1\nopen k2\n> claim k1 opened\n"
           "> claim k2 opened\nclaim k1\n"
           "> claim k1 granted\ncall a1 r1 l l1 final\n"
           "> done a1 200 {}\ndone k1 200 {}\nclaim k2\n"
           "> claim k2 unavailable\nrefuse r1 action_done ran\nabandon k2\n"},
    {"a performed action runs again when later stages are retried",
     START "> req 1 act2 key=k\nopen k1\nopen k2\n> claim k2 opened\n"
           "> claim k1 done 200 {}\nclaim k2\n"
           "> claim k2 granted\ncall a1 r1 m l1 final\n"
           "> done a1 200 {}\ndone k2 200 {}\ncall a2 r1 s s1\n"
           "> done a2 400 no\nrefuse r1 action_done ran\n"},
    {"one open action is reported as not run while another was not looked up",
     START "> req 1 act2 key=k\nopen k1\nopen k2\n> claim k1 opened\n"
           "> claim k2 busy\nrefuse r1 in_progress may_have_run\n"
           "abandon k1\n"},
};

static void
test_rows(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_test_message("%s", rows[i].name);
        flow_script(FLOW_POLICY_FULL, rows[i].script);
    }
}

/* Guards against a baseline policy that does not claim actions. */
static void
test_baseline(void)
{
    flow_script(FLOW_POLICY_LEAST_IN_FLIGHT,
                SENT_AT("l2") "> fail a2 reset\n"
                              "refuse r1 outcome_unknown may_have_run\n");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/claim/rows", test_rows);
    g_test_add_func("/claim/baseline", test_baseline);
    return g_test_run();
}
