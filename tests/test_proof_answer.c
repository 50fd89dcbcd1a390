/* ANSWER and RESULT with real processes. Guards against responses that reach a
 * caller although they are truncated, belong to another request (crossed), are
 * duplicated or late, and against streams with a gap or a repeated token. */
#include <signal.h>
#include <string.h>

#include "tests/rig_fleet.h"

#define NODES 3
#define ENGINES 4

static const char *const encoder[] = {"--kind", "encode", NULL};
static const char *const generator[] = {"--kind", "generate", NULL};
static const char *const zones[] = {"okha", "mandvi", "veraval", "okha"};

struct fault {
    const char *control;
    const char *counter; /* of the engine: calls that the fault affected */
};

/* Returns an engine with requests in flight, or NULL: routing does not have to
 * use all engines. */
static struct rig_endpoint *
find_busy_engine(struct rig *r, int from)
{
    for (int i = 0; i < ENGINES; i++) {
        struct rig_endpoint *e = &r->endpoints[(from + i) % ENGINES];
        if (fake_get_stat(e->port, "in_flight") > 0) {
            return e;
        }
    }
    return NULL;
}

static void
run(const struct fault *rows, size_t count,
    struct outcome (*send_request)(struct rig *, int, const char *, int),
    const char *pool, const char *const *args)
{
    struct rig r;
    rig_open_store_only(&r);
    for (int i = 0; i < ENGINES; i++) {
        fleet_add_endpoint(&r, "fake_engine", pool, zones[i], args);
    }
    fleet_put_vms(&r);
    fleet_start_nodes(&r, NODES, "");
    struct load *l = load_start(&r, send_request, 12, NODES, 5000);
    load_wait_answers(l, 100);
    for (size_t i = 0; i < count; i++) {
        /* The fault must affect calls: the engine needs some in flight. */
        struct rig_endpoint *e = NULL;
        WAIT_FOR((e = find_busy_engine(&r, (int)i)) != NULL);
        g_test_message("fault %s of %s",
                       rows[i].control ? rows[i].control : "kill", e->id);
        if (rows[i].control) {
            int64_t before =
                rows[i].counter ? fake_get_stat(e->port, rows[i].counter) : 0;
            fake_send_control(e->port, rows[i].control);
            WAIT_FOR(!rows[i].counter ||
                     fake_get_stat(e->port, rows[i].counter) > before);
        }
        else {
            proc_signal_and_wait(e->pid, SIGKILL);
            e->pid = 0;
        }
        load_wait_answers(l, 50);
        if (!e->pid) {
            fleet_start_endpoint(&r, e);
        }
    }
    GArray *all = load_stop(l);
    int refused = 0;
    for (guint i = 0; i < all->len; i++) {
        struct outcome *o = &g_array_index(all, struct outcome, i);
        g_test_message("%s at node %d: %d %s correct %d", o->name, o->node,
                       o->status, o->kind, o->correct);
        g_assert_cmpint(o->status, !=, 0);
        g_assert_true(o->correct || o->kind[0]);
        refused += !o->correct;
    }
    g_test_message("%u requests, %d refused", all->len, refused);
    g_array_unref(all);
    rig_close(&r);
}

static void
test_answer(void)
{
    static const struct fault rows[] = {
        {"{\"truncate\":5}", "truncated"},
        {"{\"crossed\":5}", "crossed"},
        {"{\"fail\":5}", "refused"},
        {"{\"slow\":100}", NULL}, /* late responses of hedged calls */
        {"{\"silent\":true}", NULL},
        {NULL, NULL},
    };
    run(rows, G_N_ELEMENTS(rows), send_embed, "enc", encoder);
}

static void
test_streams(void)
{
    static const struct fault rows[] = {
        {"{\"truncate\":5}", "truncated"},
        {"{\"crossed\":5}", "crossed"},
        {"{\"silent\":true}", NULL},
        {NULL, NULL},
    };
    run(rows, G_N_ELEMENTS(rows), send_stream, "gen", generator);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/proof/answer", test_answer);
    g_test_add_func("/proof/result/streams", test_streams);
    return g_test_run();
}
