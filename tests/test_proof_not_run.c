/* NOT_RUN with real processes. Guards against a refusal with not_run of an
 * action that was recorded. */
#include <string.h>

#include "tests/rig_fleet.h"

static bool
refused(GArray *all, const char *ran)
{
    for (guint i = 0; i < all->len; i++) {
        if (strcmp(g_array_index(all, struct outcome, i).ran, ran) == 0) {
            return true;
        }
    }
    return false;
}

/* Each action is sent once. An action that was refused with not_run has no
 * record, even after all calls have ended; an answered action has one.
 */
static void
test_not_run(void)
{
    static const struct {
        const char *kv; /* faults */
        const char *service;
        bool loses_responses; /* the store loses responses */
    } rows[] = {
        {"{\"outage\":true}", "{}", false},
        {"{\"outage\":\"hang\"}", "{}", false},
        {"{\"outage\":\"error\"}", "{}", false},
        {"{\"lose_answers\":0.5}", "{\"drop_after\":6}", true},
        {"{\"delay_ms\":400}", "{\"fail_after\":6}", false},
        /* Clients of the store may time out before it loses a
           response. */
        {"{\"delay_ms\":1200,\"lose_answers\":0.5}", "{}", false},
    };
    struct rig r;
    fleet_start_with_service(&r, 3);
    int port = r.endpoints[0].port;
    struct load *l = load_start(&r, send_order, 16, 3, 1500);
    /* Without a live endpoint, requests are refused before a claim, and
     * the owner confirms that their keys are free: not_run. */
    load_wait_answers(l, 10);
    r.endpoints[0].leaving = true;
    fleet_put_vms(&r);
    int answered = load_count_correct(l);
    WAIT_FOR(load_count_outcomes(l) - answered >= 40);
    r.endpoints[0].leaving = false;
    fleet_put_vms(&r);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        load_wait_answers(l, 10);
        int refusals = load_count_outcomes(l) - load_count_correct(l);
        int64_t lost = fake_get_stat(r.kv_port, "lost");
        fake_send_control(port, rows[i].service);
        fake_send_control(r.kv_port, rows[i].kv);
        WAIT_FOR(load_count_outcomes(l) - load_count_correct(l) >=
                 refusals + 5);
        /* On a busy machine the refusals may have other causes. */
        WAIT_FOR(!rows[i].loses_responses ||
                 fake_get_stat(r.kv_port, "lost") > lost);
        fake_send_control(
            r.kv_port, "{\"outage\":false,\"lose_answers\":0,\"delay_ms\":0}");
    }
    load_wait_answers(l, 10);
    GArray *all = load_stop(l);
    fake_wait_idle(port);
    g_assert_true(refused(all, "not_run"));
    g_assert_true(refused(all, "may_have_run"));
    json_t *actions = fake_get_actions(port);
    for (guint i = 0; i < all->len; i++) {
        struct outcome *o = &g_array_index(all, struct outcome, i);
        outcome_check(o,
                      json_integer_value(json_object_get(actions, o->name)));
    }
    json_decref(actions);
    g_assert_cmpint(fake_get_stat(port, "doubled_actions"), ==, 0);
    g_assert_cmpint(fake_get_stat(r.kv_port, "lost"), >, 0);
    g_array_unref(all);
    rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/proof/not-run", test_not_run);
    return g_test_run();
}
