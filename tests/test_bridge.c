/* Guards against messages between threads that are lost, reordered or not
 * signalled. */
#include <glib.h>
#include <poll.h>
#include <pthread.h>

#include "daemon/bridge.h"

#define MESSAGES 200000

static void *
produce(void *arg)
{
    struct bridge *b = arg;
    for (uint64_t i = 1; i <= MESSAGES; i++) {
        struct bridge_msg *m = bridge_msg_new(BRIDGE_RESULT);
        m->id = i;
        m->text = str_dup(STR_LIT("text"));
        bridge_push(b, m);
    }
    while (!bridge_flush(b)) {
    }
    return NULL;
}

/* A small ring is full most of the time; the consumer reads only when the
 * descriptor is readable. */
static void
test_order(void)
{
    struct bridge *b = bridge_new(16);
    pthread_t t;
    pthread_create(&t, NULL, produce, b);
    uint64_t next = 1;
    while (next <= MESSAGES) {
        struct pollfd p = {.fd = bridge_fd(b), .events = POLLIN};
        g_assert_cmpint(poll(&p, 1, 20000), ==, 1);
        bridge_clear_wake(b);
        struct bridge_msg *m;
        while ((m = bridge_pop(b))) {
            g_assert_cmpint(m->id, ==, next);
            next++;
            bridge_msg_free(m);
        }
    }
    pthread_join(t, NULL);
    g_assert_null(bridge_pop(b));
    bridge_free(b);
}

/* Messages that do not fit into the ring keep their order and are freed with
 * the bridge. */
static void
test_overflow_waits(void)
{
    struct bridge *b = bridge_new(4);
    for (uint64_t i = 1; i <= 10; i++) {
        struct bridge_msg *m = bridge_msg_new(BRIDGE_FRESHNESS);
        m->id = i;
        bridge_push(b, m);
    }
    g_assert_false(bridge_flush(b));
    for (uint64_t i = 1; i <= 7; i++) {
        struct bridge_msg *m = bridge_pop(b);
        g_assert_cmpint(m->id, ==, i);
        bridge_msg_free(m);
        bridge_flush(b);
    }
    g_assert_true(bridge_flush(b));
    bridge_free(b); /* frees the three messages that are left */
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/bridge/order", test_order);
    g_test_add_func("/bridge/overflow-waits", test_overflow_waits);
    return g_test_run();
}
