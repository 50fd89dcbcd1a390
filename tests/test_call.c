/* Guards against answers that are lost, mixed up or delivered in part, and
 * against retries that are not allowed or useless. */
#include <glib.h>
#include <string.h>

#include "base/clean.h"
#include "tests/flow_script.h"

#define TWO                                                                   \
    "> snap svc:s1@z1 svc:s2@z2\n"                                            \
    "> fresh 100000\n"                                                        \
    "> req 1 plain\ncall a1 r1 s s1\n"
#define GEN                                                                   \
    "> snap gen:g1@z1 gen:g2@z2\n"                                            \
    "> fresh 100000\n"                                                        \
    "> req 1 gen stream\ncall a1 r1 g g1\n"                                   \
    "> token a1 0 ab\ntoken r1 0 ab\n"                                        \
    "> token a1 1 cd\ntoken r1 1 cd\n"                                        \
    "> fail a1 crossed\n"                                                     \
    "> @600 tick\ncall a2 r1 g g2\n"

static const struct {
    const char *name; /* the failure it guards against */
    const char *script;
} rows[] = {
    {"a failed call is retried at the same endpoint, or its late answer "
     "counts",
     TWO "> done a1 500 x\n> @600 tick\ncall a2 r1 s s2\n"
         "> done a1 200 {}\n> done a2 200 {}\nanswer r1\n"
         "> done a2 200 {}\n"},
    {"an incomplete answer is delivered to the caller",
     TWO "> done a1 200 {\"a\":\n> @600 tick\ncall a2 r1 s s2\n"
         "> fail a2 crossed\n> @1200 tick\ncall a3 r1 s s1\n"
         "> done a3 200 {}\nanswer r1\n"},
    {"a cold start of an idle endpoint is only noticed by its slow first byte",
     TWO "> done a1 200 {}\nanswer r1\n> @999 req 2 plain\ncall a2 r2 s s1\n"
         "> done a2 200 {}\nanswer r2\n> @2100 req 3 plain\n"
         "call a3 r3 s s1\nprobe s1\n> probe s1 dead\ncold s1 1 detected\n"},
    {"a rejected request is retried",
     TWO "> done a1 422 x\nrefuse r1 upstream_rejected not_run\n"},
    {"a call is retried endlessly",
     TWO "> done a1 500 x\n> @600 tick\ncall a2 r1 s s2\n"
         "> done a2 500 x\n> @1200 tick\ncall a3 r1 s s1\n"
         "> done a3 500 x\n> @1800 tick\ncall a4 r1 s s2\n"
         "> done a4 500 x\nrefuse r1 upstream_failed not_run\n"
         "> req 2 plain\ncall a5 r2 s s1\n"
         "> done a5 500 x\nrefuse r2 upstream_failed not_run\n"},
    {"a stream is not resumed after the last token delivered",
     GEN "> token a2 2 ef\ntoken r1 2 ef\n> done a2 200\nanswer r1\n"},
    {"a stream that starts over delivers its beginning twice",
     GEN "> token a2 0 abc\n> token a2 1 def\ntoken r1 2 ef\n"
         "> done a2 200\nanswer r1\n"},
    {"a different retried stream is appended to the delivered part",
     GEN "> token a2 0 ax\ncancel a2\nrefuse r1 upstream_failed not_run\n"},
    {"a retried stream that ends too early counts as complete",
     GEN "> token a2 0 ab\n> done a2 200\n> @1200 tick\n"
         "call a3 r1 g g1\n"},
    {"a stream with a gap between its tokens is delivered",
     GEN "> token a2 2 ef\ntoken r1 2 ef\n> token a2 4 ij\ncancel a2\n"
         "> @1200 tick\ncall a3 r1 g g1\n"},
    {"a request that crashes endpoints is sent to further endpoints",
     TWO "> fail a1 reset\nprobe s1\n"
         "> probe s1 dead\nsuspect 1\ncold s1 0 detected\n"
         "> @600 tick\ncall a2 r1 s s2\n"
         "> req 2 plain body={\"input\":\"y\"}\ncredit c1 s1\n"
         "> fail a2 reset\nprobe s2\ncall a3 r2 s s2\n"
         "> probe s2 dead\nsuspect 2\nrefuse r1 quarantined not_run\n"
         "cold s2 1 detected\n"
         "> req 3 plain\nrefuse r3 quarantined not_run\n"},
    {"a lost connection counts as a crash, or a suspect that finished stays "
     "one",
     TWO "> fail a1 reset\nprobe s1\n> probe s1 ok\n"
         "> @600 tick\ncall a2 r1 s s2\n> fail a2 truncated\nprobe s2\n"
         "> probe s2 dead\nsuspect 1\ncold s2 0 detected\n"
         "> @1200 tick\ncall a3 r1 s s1\n"
         "> done a3 200 {}\nanswer r1\nsuspect 0\n"},
    {"a strike reported by another node is ignored",
     TWO "> fail a1 reset\nprobe s1\n"
         "> probe s1 dead\nsuspect 1\ncold s1 0 detected\n> suspect 2\n"
         "> @600 tick\nrefuse r1 quarantined not_run\n"},
    {"a request waits on a silent connection until its deadline",
     TWO "> @2668 tick\nprobe s1\n> probe s1 ok\ncancel a1\n"
         "> @2700 tick\ncall a2 r1 s s2 fresh\n> done a1 200 {}\n"
         "> done a2 200 {}\nanswer r1\n"},
    {"the own zone is preferred whatever the load of its endpoints",
     TWO "> req 2 plain\ncall a2 r2 s s2\n> req 3 plain\n"
         "call a3 r3 s s1\n> req 4 plain\ncall a4 r4 s s2\n"
         "> req 5 plain\n"},
};

static void
test_rows(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_test_message("%s", rows[i].name);
        flow_script(FLOW_POLICY_FULL, rows[i].script);
    }
}

/* Appends @p n requests, numbered from @p from and answered after 10 ms. */
static void
append_answers(GString *s, int from, int n)
{
    for (int i = from; i < from + n; i++) {
        g_string_append_printf(s,
                               "> @%d req %d plain\ncall a%d r%d s s1\n"
                               "> @%d done a%d 200 {}\nanswer r%d\n",
                               i * 20, i, i, i, i * 20 + 10, i, i);
    }
}

/* Guards against slow calls without a hedge, and against a slower call that is
 * not cancelled. */
static void
test_hedge(void)
{
    GString *s = g_string_new("> snap svc:s1@z1 svc:s2@z2\n> fresh 100000\n");
    append_answers(s, 1, 25);
    g_string_append(s, "> @600 req 26 plain\ncall a26 r26 s s1\n"
                       "> @640 tick\ncall a27 r26 s s2\n"
                       "> done a27 200 {}\ncancel a26\nanswer r26\n"
                       "> done a26 200 {}\n");
    flow_script(FLOW_POLICY_FULL, s->str);
    g_string_free(s, TRUE);
}

/* Guards against calls for requests that cannot meet their deadline, and
 * against an estimate that refuses everything for ever. */
static void
test_admission(void)
{
    GString *s = g_string_new("> snap svc:s1@z1\n> fresh 100000\n");
    append_answers(s, 1, 25);
    g_string_append(
        s, "> @600 req 26 plain\ncall a26 r26 s s1\n"
           "> req 27 plain dl=5\nrefuse r27 deadline_unmeetable not_run\n"
           "> @605 done a26 200 {}\nanswer r26\n"
           "> req 28 plain dl=5\ncall a27 r28 s s1\n");
    flow_script(FLOW_POLICY_FULL, s->str);
    g_string_free(s, TRUE);
}

/* Offers 7 requests every 50 ms and answers every call: s1 fails, the others
 * take 10 ms. Counts the calls and probes that s1 gets. */
static void
offer_load(struct flow *f, int64_t *now, int rounds, int *calls, int *probes)
{
    static uint64_t req;
    for (int i = 0; i < rounds; i++, *now += 40000) {
        uint64_t open[64];
        bool bad[64];
        int n = 0;
        for (int k = 0; k < 7 + n; k++) {
            struct flow_event ev = {.kind = FLOW_EV_REQUEST,
                                    .request = {.req = ++req,
                                                .request_id = STR_LIT("r"),
                                                .pipeline = STR_LIT("plain"),
                                                .token = STR_LIT("T"),
                                                .body = STR_LIT("{}")}};
            if (k == 7) {
                *now += 10000;
            }
            if (k >= 7) {
                ev = (struct flow_event){
                    .kind = FLOW_EV_CALL_DONE,
                    .call_done = {.attempt = open[k - 7],
                                  .http_status = bad[k - 7] ? 500 : 200,
                                  .body = STR_LIT("{}")}};
            }
            struct flow_action a;
            flow_handle_event(f, *now, &ev);
            while (flow_next_action(f, &a)) {
                *probes += a.kind == FLOW_ACT_PROBE;
                if (a.kind == FLOW_ACT_CALL && n < 64) {
                    bad[n] = str_eq_cstr(a.call.endpoint, "s1");
                    *calls += bad[n];
                    open[n++] = a.call.attempt;
                }
            }
        }
    }
}

/* Guards against a failing endpoint that still gets calls, ejections beyond
 * the cap, and ejected endpoints that never return. */
static void
test_ejection(void)
{
    struct flow_options opts = {.node = 7, .incarnation = 9, .seed = 1};
    struct flow *f = flow_new(&opts);
    struct snapshot *snap =
        flow_script_snapshot("svc:s1@z1 svc:s2@z1 svc:s3@z1 svc:s4@z1");
    struct flow_event ev = {.kind = FLOW_EV_SNAPSHOT, .snapshot = snap};
    int64_t now = 1000;
    int calls = 0;
    int probes = 0;
    flow_handle_event(f, now, &ev);
    snapshot_unref(snap);
    ev = (struct flow_event){.kind = FLOW_EV_FRESHNESS,
                             .fresh_until_us = INT64_MAX};
    flow_handle_event(f, now, &ev);
    offer_load(f, &now, 40, &calls, &probes);
    g_assert_cmpint(calls, >=, 10);
    calls = 0;
    offer_load(f, &now, 40, &calls, &probes);
    g_assert_cmpint(calls, ==, 0);
    g_assert_cmpint(probes, ==, 0);
    CLEANUP(buf_free) struct buf m = {0};
    flow_write_metrics(f, &m);
    g_assert_nonnull(strstr(m.ptr, "flow_ejections_total{thread=\"0\"} 1\n"));
    offer_load(f, &now, 60, &calls, &probes);
    g_assert_cmpint(probes, >=, 1);
    ev = (struct flow_event){.kind = FLOW_EV_PROBE,
                             .probe = {.endpoint = STR_LIT("s1"), .ok = true}};
    flow_handle_event(f, now, &ev);
    offer_load(f, &now, 40, &calls, &probes);
    g_assert_cmpint(calls, >, 0);
    flow_free(f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/call/rows", test_rows);
    g_test_add_func("/call/hedge", test_hedge);
    g_test_add_func("/call/admission", test_admission);
    g_test_add_func("/call/ejection", test_ejection);
    return g_test_run();
}
