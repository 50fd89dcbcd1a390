/* Guards against a CAS whose outcome is reported as certain although it is
 * unknown, a write that libcurl repeats by itself, changes missed by a watch,
 * and calls that exceed the budget. */
#include <glib.h>
#include <poll.h>
#include <string.h>

#include "base/clean.h"
#include "store/store_client.h"
#include "tests/fake_process.h"

/* Port 9 on loopback refuses connections. */
#define REFUSING "http://127.0.0.1:9"

struct test_client {
    struct store_client *c;
    struct store_result last;
    struct buf value;
    int results;
};

static void
on_result(void *ctx, const struct store_result *r)
{
    struct test_client *tc = ctx;
    tc->last = *r;
    tc->results++;
    buf_clear(&tc->value);
    buf_append_str(&tc->value, r->value);
}

static void
open_client(struct test_client *tc, const struct fake_process *kv,
            bool with_refusing)
{
    char *url = g_strdup_printf("http://127.0.0.1:%d", kv->port);
    struct str urls[] = {STR_LIT(REFUSING), str_from_cstr(url)};
    struct store_client_options o = {
        with_refusing ? 2 : 1, with_refusing ? urls : urls + 1, 1000, 1000, 1};
    *tc = (struct test_client){0};
    tc->c = store_client_new(&o, (struct store_client_callback){on_result, tc},
                             g_get_monotonic_time());
    g_free(url);
}

static void
close_client(struct test_client *tc)
{
    g_assert_cmpint(store_client_pending_count(tc->c), ==, 0);
    store_client_free(tc->c);
    buf_free(&tc->value);
}

static void
submit(struct test_client *tc, enum store_op_kind kind, const char *value,
       int64_t expect, int64_t timeout_us)
{
    struct store_op op = {
        7, kind, STR_LIT("cf/k"), str_from_cstr(value), expect, timeout_us};
    store_client_submit(tc->c, g_get_monotonic_time(), &op);
}

static void
run_once(struct test_client *tc)
{
    struct pollfd fd = {store_client_fd(tc->c), POLLIN, 0};
    int64_t wait = store_client_next_wakeup_us(tc->c) - g_get_monotonic_time();
    wait = wait < 0 ? 0 : wait > 50000 ? 50000 : wait;
    poll(&fd, 1, (int)((wait + 999) / 1000));
    store_client_process_events(tc->c, g_get_monotonic_time());
}

static void
run_until_results(struct test_client *tc, int results)
{
    while (tc->results < results) {
        run_once(tc);
    }
}

static void
configure_store(const struct fake_process *kv, const char *body)
{
    g_free(fake_process_post(kv, "/control", body));
}

static void
test_table(void)
{
    /* The rows run in order on one key. An expect of -1 stands for the
     * revision of the last result. */
    static const struct {
        const char *control;
        enum store_op_kind kind;
        const char *value;
        int64_t expect;
        int64_t timeout_us;
        enum store_outcome want;
        const char *read;
    } rows[] = {
        {"{}", STORE_GET, "", 0, 3000000, STORE_NOT_FOUND, ""},
        {"{}", STORE_CAS, "one", 0, 3000000, STORE_OK, ""},
        {"{}", STORE_GET, "", 0, 3000000, STORE_OK, "one"},
        {"{}", STORE_CAS, "two", 0, 3000000, STORE_CONFLICT, ""},
        {"{}", STORE_CAS, "two", -1, 3000000, STORE_OK, ""},
        /* The write takes effect, but its response is lost. */
        {"{\"lose_answers\":1}", STORE_CAS, "three", -1, 3000000,
         STORE_OUTCOME_UNKNOWN, ""},
        {"{}", STORE_GET, "", 0, 3000000, STORE_OK, "three"},
        {"{\"outage\":true}", STORE_CAS, "four", -1, 3000000,
         STORE_OUTCOME_UNKNOWN, ""},
        {"{\"outage\":true}", STORE_GET, "", 0, 3000000, STORE_FAILED, ""},
        {"{\"outage\":\"hang\"}", STORE_CAS, "four", 1, 100000,
         STORE_OUTCOME_UNKNOWN, ""},
        {"{\"outage\":\"hang\"}", STORE_GET, "", 0, 100000, STORE_FAILED, ""},
        {"{\"outage\":\"error\"}", STORE_CAS, "four", 1, 3000000,
         STORE_OUTCOME_UNKNOWN, ""},
        {"{\"outage\":false,\"delay_ms\":60}", STORE_GET, "", 0, 3000000,
         STORE_OK, "three"},
        {"{\"delay_ms\":0}", STORE_WATCH, "", 1, 3000000, STORE_OK, "three"},
    };
    struct fake_process kv;
    fake_process_start(&kv, "fake_kv");
    for (int refusing = 0; refusing < 2; refusing++) {
        struct test_client tc;
        open_client(&tc, &kv, refusing);
        int first = refusing ? 6 : 0;
        for (size_t i = (size_t)first; i < G_N_ELEMENTS(rows); i++) {
            configure_store(&kv, rows[i].control);
            int64_t expect =
                rows[i].expect < 0 ? tc.last.revision : rows[i].expect;
            submit(&tc, rows[i].kind, rows[i].value, expect,
                   rows[i].timeout_us);
            run_until_results(&tc, tc.results + 1);
            g_test_message("row %zu, refusing %d", i, refusing);
            g_assert_cmpint(tc.last.outcome, ==, rows[i].want);
            g_assert_cmpint((int)tc.last.id, ==, 7);
            g_assert_true(str_eq_cstr(buf_str(&tc.value), rows[i].read));
        }
        close_client(&tc);
    }
    fake_process_stop(&kv);
}

static void
test_refused(void)
{
    struct fake_process none = {NULL, 9};
    struct test_client tc;
    open_client(&tc, &none, true);
    submit(&tc, STORE_CAS, "x", 0, 3000000);
    run_until_results(&tc, 1);
    g_assert_cmpint(tc.last.outcome, ==, STORE_FAILED);
    close_client(&tc);
}

static void
test_watch(void)
{
    struct fake_process kv;
    struct test_client tc;
    fake_process_start(&kv, "fake_kv");
    open_client(&tc, &kv, false);
    submit(&tc, STORE_WATCH, "", 0, 5000000);
    char *stats = NULL;
    do {
        g_free(stats);
        run_once(&tc);
        stats = fake_process_post(&kv, "/control/stats", "");
    } while (!strstr(stats, "\"watches_open\":1"));
    g_assert_nonnull(strstr(stats, "\"reads\":1,"));
    g_free(stats);
    submit(&tc, STORE_CAS, "a", 0, 3000000);
    run_until_results(&tc, 2);
    /* The store does not report the change, so the watch ends at its time-out.
     */
    configure_store(&kv, "{\"watch_gap\":true}");
    submit(&tc, STORE_WATCH, "", 1, 200000);
    submit(&tc, STORE_CAS, "b", 1, 3000000);
    run_until_results(&tc, 4);
    g_assert_cmpint(tc.last.outcome, ==, STORE_FAILED);
    configure_store(&kv, "{\"watch_gap\":false}");
    submit(&tc, STORE_WATCH, "", 1, 3000000);
    run_until_results(&tc, 5);
    g_assert_true(str_eq_cstr(buf_str(&tc.value), "b"));
    close_client(&tc);
    fake_process_stop(&kv);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store_client/table", test_table);
    g_test_add_func("/store_client/refused", test_refused);
    g_test_add_func("/store_client/watch", test_watch);
    return g_test_run();
}
