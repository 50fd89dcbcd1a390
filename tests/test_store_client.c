/* Guards against a CAS whose outcome is reported as certain when it is not,
 * a write that libcurl repeats by itself, changes missed by a watch, and
 * calls outside the budget. */
#include <glib.h>
#include <poll.h>
#include <string.h>

#include "base/clean.h"
#include "store/store_client.h"
#include "tests/fake_process.h"

/* Port 9 on loopback refuses connections. */
#define REFUSING "http://127.0.0.1:9"

struct run {
    struct store_client *c;
    struct store_result last;
    struct buf value;
    int results;
};

static void
done(void *ctx, const struct store_result *r)
{
    struct run *run = ctx;
    run->last = *r;
    run->results++;
    buf_clear(&run->value);
    buf_append_str(&run->value, r->value);
}

static void
open_client(struct run *run, const struct fake_process *kv, bool with_refusing)
{
    char *url = g_strdup_printf("http://127.0.0.1:%d", kv->port);
    struct str urls[] = {STR_LIT(REFUSING), str_from(url)};
    struct store_client_options o = {
        with_refusing ? 2 : 1, with_refusing ? urls : urls + 1, 1000, 1000, 1};
    *run = (struct run){0};
    run->c = store_client_new(&o, (struct store_client_sink){done, run},
                              g_get_monotonic_time());
    g_free(url);
}

static void
close_client(struct run *run)
{
    g_assert_cmpint(store_client_pending(run->c), ==, 0);
    store_client_free(run->c);
    buf_free(&run->value);
}

static void
submit(struct run *run, enum store_op_kind kind, const char *value,
       int64_t expect, int64_t timeout_us)
{
    struct store_op op = {7,      kind,      STR_LIT("cf/k"), str_from(value),
                          expect, timeout_us};
    store_client_submit(run->c, g_get_monotonic_time(), &op);
}

static void
step(struct run *run)
{
    struct pollfd fd = {store_client_fd(run->c), POLLIN, 0};
    int64_t wait = store_client_wakeup(run->c) - g_get_monotonic_time();
    wait = wait < 0 ? 0 : wait > 50000 ? 50000 : wait;
    poll(&fd, 1, (int)((wait + 999) / 1000));
    store_client_step(run->c, g_get_monotonic_time());
}

static void
wait_for(struct run *run, int results)
{
    while (run->results < results) {
        step(run);
    }
}

static void
control(const struct fake_process *kv, const char *body)
{
    g_free(fake_process_post(kv, "/control", body));
}

static void
test_table(void)
{
    /* Each row runs after the ones before it on one key. expect -1: the
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
        {"{}", STORE_GET, "", 0, 3000000, STORE_ABSENT, ""},
        {"{}", STORE_CAS, "one", 0, 3000000, STORE_OK, ""},
        {"{}", STORE_GET, "", 0, 3000000, STORE_OK, "one"},
        {"{}", STORE_CAS, "two", 0, 3000000, STORE_CONFLICT, ""},
        {"{}", STORE_CAS, "two", -1, 3000000, STORE_OK, ""},
        /* The write takes effect, its answer does not come. */
        {"{\"lose_answers\":1}", STORE_CAS, "three", -1, 3000000, STORE_LOST,
         ""},
        {"{}", STORE_GET, "", 0, 3000000, STORE_OK, "three"},
        {"{\"outage\":true}", STORE_CAS, "four", -1, 3000000, STORE_LOST, ""},
        {"{\"outage\":true}", STORE_GET, "", 0, 3000000, STORE_FAILED, ""},
        {"{\"outage\":\"hang\"}", STORE_CAS, "four", 1, 100000, STORE_LOST,
         ""},
        {"{\"outage\":\"hang\"}", STORE_GET, "", 0, 100000, STORE_FAILED, ""},
        {"{\"outage\":\"error\"}", STORE_CAS, "four", 1, 3000000, STORE_LOST,
         ""},
        {"{\"outage\":false,\"delay_ms\":60}", STORE_GET, "", 0, 3000000,
         STORE_OK, "three"},
        {"{\"delay_ms\":0}", STORE_WATCH, "", 1, 3000000, STORE_OK, "three"},
    };
    struct fake_process kv;
    fake_process_start(&kv, "fake_kv");
    for (int refusing = 0; refusing < 2; refusing++) {
        struct run run;
        open_client(&run, &kv, refusing);
        int first = refusing ? 6 : 0;
        for (size_t i = (size_t)first; i < G_N_ELEMENTS(rows); i++) {
            control(&kv, rows[i].control);
            int64_t expect =
                rows[i].expect < 0 ? run.last.revision : rows[i].expect;
            submit(&run, rows[i].kind, rows[i].value, expect,
                   rows[i].timeout_us);
            wait_for(&run, run.results + 1);
            g_test_message("row %zu, refusing %d", i, refusing);
            g_assert_cmpint(run.last.outcome, ==, rows[i].want);
            g_assert_cmpint((int)run.last.id, ==, 7);
            g_assert_true(str_eq_c(buf_str(&run.value), rows[i].read));
        }
        close_client(&run);
    }
    fake_process_stop(&kv);
}

static void
test_refused(void)
{
    struct fake_process none = {NULL, 9};
    struct run run;
    open_client(&run, &none, true);
    submit(&run, STORE_CAS, "x", 0, 3000000);
    wait_for(&run, 1);
    g_assert_cmpint(run.last.outcome, ==, STORE_FAILED);
    close_client(&run);
}

static void
test_watch(void)
{
    struct fake_process kv;
    struct run run;
    fake_process_start(&kv, "fake_kv");
    open_client(&run, &kv, false);
    submit(&run, STORE_WATCH, "", 0, 5000000);
    char *stats = NULL;
    do {
        g_free(stats);
        step(&run);
        stats = fake_process_post(&kv, "/control/stats", "");
    } while (!strstr(stats, "\"watches_open\":1"));
    g_assert_nonnull(strstr(stats, "\"reads\":1,"));
    g_free(stats);
    submit(&run, STORE_CAS, "a", 0, 3000000);
    wait_for(&run, 2);
    /* A gap: the change is not reported, the watch ends at its time-out. */
    control(&kv, "{\"watch_gap\":true}");
    submit(&run, STORE_WATCH, "", 1, 200000);
    submit(&run, STORE_CAS, "b", 1, 3000000);
    wait_for(&run, 4);
    g_assert_cmpint(run.last.outcome, ==, STORE_FAILED);
    control(&kv, "{\"watch_gap\":false}");
    submit(&run, STORE_WATCH, "", 1, 3000000);
    wait_for(&run, 5);
    g_assert_true(str_eq_c(buf_str(&run.value), "b"));
    close_client(&run);
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
