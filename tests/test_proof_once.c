/* ONCE with real processes. Guards against an action that is recorded twice,
 * and against resends that get a false response about it. */
#include <pthread.h>
#include <signal.h>
#include <string.h>

#include "base/clean.h"
#include "tests/rig_fleet.h"

#define DEADLINE_MS 4000
#define KEYS 8
#define KEYS_MAX 24

struct send_task {
    struct rig *rig;
    pthread_t thread;
    int node;
    char name[24];
    struct outcome result;
};

static void *
send_one(void *arg)
{
    struct send_task *s = arg;
    s->result = send_order(s->rig, s->node, s->name, DEADLINE_MS);
    return NULL;
}

static void
start_send(struct send_task *s, struct rig *r, int node, const char *name,
           void *(*run)(void *))
{
    *s = (struct send_task){.rig = r, .node = node};
    g_strlcpy(s->name, name, sizeof(s->name));
    pthread_create(&s->thread, NULL, run, s);
}

/* Sends a key again until the response has its outcome; checks that no
 * response before it is false. */
static void *
resend_until_settled(void *arg)
{
    struct send_task *s = arg;
    int port = s->rig->endpoints[0].port;
    gint64 guard = g_get_monotonic_time() + WAIT_LIMIT_US;
    for (;;) {
        send_one(s);
        fake_wait_idle(port);
        outcome_check(&s->result, fake_count_action(port, s->name));
        if (s->result.status == 200 ||
            strcmp(s->result.kind, "outcome_unknown") == 0) {
            return NULL;
        }
        if (g_get_monotonic_time() > guard) {
            g_error("%s: no outcome", s->name);
        }
        g_usleep(20000);
    }
}

/* Sends all keys again, alternately to nodes @p a and @p b. */
static void
resend(struct rig *r, const struct send_task *first, int count, int a, int b)
{
    struct send_task again[KEYS_MAX];
    for (int i = 0; i < count; i++) {
        start_send(&again[i], r, i % 2 ? a : b, first[i].name,
                   resend_until_settled);
    }
    for (int i = 0; i < count; i++) {
        pthread_join(again[i].thread, NULL);
    }
}

/* Sends the same permits to all five nodes at once, while the service fails
 * before and after recording and responses to store writes are lost. */
static void
test_five_at_once(void)
{
    static const char *const faults[] = {
        "{}", "{\"drop_before\":3}", "{\"drop_after\":3}",
        "{\"fail_before\":3}", "{\"fail_after\":3}"};
    struct rig r;
    struct send_task sends[RIG_NODES][KEYS];
    fleet_start_with_service(&r, RIG_NODES);
    int port = r.endpoints[0].port;
    fake_send_control(r.kv_port, "{\"lose_answers\":0.3}");
    for (size_t f = 0; f < G_N_ELEMENTS(faults); f++) {
        fake_send_control(port, faults[f]);
        for (int i = 0; i < KEYS * RIG_NODES; i++) {
            char name[24];
            g_snprintf(name, sizeof(name), "five-%zu-%d.", f, i / RIG_NODES);
            start_send(&sends[i % RIG_NODES][i / RIG_NODES], &r, i % RIG_NODES,
                       name, send_one);
        }
        for (int i = 0; i < KEYS * RIG_NODES; i++) {
            struct send_task *s = &sends[i % RIG_NODES][i / RIG_NODES];
            pthread_join(s->thread, NULL);
            g_assert_true(s->result.status != 200 || s->result.correct);
        }
        resend(&r, sends[0], KEYS, (int)f, (int)(f + 1) % RIG_NODES);
        for (int k = 0; k < KEYS; k++) {
            g_assert_cmpint(fake_count_action(port, sends[0][k].name), <=, 1);
        }
    }
    g_assert_cmpint(fake_get_stat(port, "doubled_actions"), ==, 0);
    g_assert_cmpint(fake_get_stat(port, "records"), >, 0);
    g_assert_cmpint(fake_get_stat(r.kv_port, "lost"), >, 0);
    rig_close(&r);
}

/* A node is killed while the service processes its calls, before and after
 * recording; the caller sends again to the other nodes. */
static void
test_node_killed(void)
{
    struct rig r;
    fleet_start_with_service(&r, RIG_NODES);
    int port = r.endpoints[0].port;
    for (int after = 0; after < 2; after++) {
        struct send_task sends[KEYS];
        int node = RIG_NODES - 1 - after;
        fake_send_control(port, after ? "{\"delay_ms\":0,\"hang\":8}"
                                      : "{\"delay_ms\":30000}");
        for (int k = 0; k < KEYS; k++) {
            char name[24];
            g_snprintf(name, sizeof(name), "kill-%d-%d.", after, k);
            start_send(&sends[k], &r, node, name, send_one);
        }
        WAIT_FOR(fake_get_stat(port, "in_flight") == KEYS);
        WAIT_FOR(fake_get_stat(port, "records") ==
                 FLEET_WARM_UP_ACTIONS + after * KEYS);
        fleet_kill_node(&r, node);
        fake_send_control(port, "{\"delay_ms\":0,\"hang\":0}");
        for (int k = 0; k < KEYS; k++) {
            pthread_join(sends[k].thread, NULL);
            g_assert_cmpint(sends[k].result.status, ==, 0);
        }
        resend(&r, sends, KEYS, 0, 1);
        resend(&r, sends, KEYS, 1, 2);
        for (int k = 0; k < KEYS; k++) {
            g_assert_cmpint(fake_count_action(port, sends[k].name), ==, after);
        }
    }
    g_assert_cmpint(fake_get_stat(port, "doubled_actions"), ==, 0);
    rig_close(&r);
}

/* While permits are sent through all nodes, a node is stopped until its
 * ownership of buckets has expired, and resumed after the others took over.
 * With 24 keys and three owners it owns at least one of their buckets in all
 * but 1 of 16,000 runs. */
static void
test_owner_paused(void)
{
    enum { NODES = 3, ROUNDS = 1 };
    struct rig r;
    fleet_start_with_service(&r, NODES);
    int port = r.endpoints[0].port;
    for (int stopped = 0; stopped < ROUNDS; stopped++) {
        struct send_task sends[KEYS_MAX];
        int other = (stopped + 1) % NODES;
        int third = (stopped + 2) % NODES;
        int64_t before = fake_get_stat(port, "requests");
        fake_send_control(port, "{\"delay_ms\":20}");
        for (int k = 0; k < KEYS_MAX; k++) {
            char name[24];
            g_snprintf(name, sizeof(name), "stop-%d-%d.", stopped, k);
            start_send(&sends[k], &r, k % NODES, name, send_one);
        }
        WAIT_FOR(fake_get_stat(port, "requests") > before);
        kill(r.nodes[stopped].pid, SIGSTOP);
        WAIT_FOR(fleet_count_alive(&r, other) == NODES - 1);
        WAIT_FOR(fleet_count_alive(&r, third) == NODES - 1);
        /* The other nodes own all buckets now. */
        resend(&r, sends, KEYS_MAX, other, third);
        kill(r.nodes[stopped].pid, SIGCONT);
        for (int k = 0; k < KEYS_MAX; k++) {
            pthread_join(sends[k].thread, NULL);
            fake_wait_idle(port);
            g_assert_cmpint(fake_count_action(port, sends[k].name), <=, 1);
        }
        rig_wait_ready(&r, stopped, 200);
        resend(&r, sends, KEYS_MAX, stopped, stopped);
        for (int i = 0; i < NODES; i++) {
            WAIT_FOR(fleet_count_alive(&r, i) == NODES);
        }
    }
    g_assert_cmpint(fake_get_stat(port, "doubled_actions"), ==, 0);
    g_assert_cmpint(fake_get_stat(port, "records"), >, FLEET_WARM_UP_ACTIONS);
    rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/proof/once/five-at-once", test_five_at_once);
    g_test_add_func("/proof/once/node-killed", test_node_killed);
    g_test_add_func("/proof/once/owner-paused", test_owner_paused);
    return g_test_run();
}
