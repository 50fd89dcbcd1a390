/* Guards against shares that together exceed the machine, that change a
 * deployment whose settings do not name its memory, or that refuse a single
 * request at the limits of the configuration on the smallest machine. */
#include "edge/caller_budget.h"

#include <glib.h>

#define MIB ((size_t)1 << 20)
#define BODY_BYTES (4 * MIB)
#define HEAD_BYTES 16384
/* Descriptors that the platform reserves for itself. */
#define RESERVED_FILES 200
/* Resident memory of a process without load, measured: 16 MB. */
#define PROCESS_BYTES (32 * MIB)

static struct caller_budget
compute(int memory_mb, int files, int threads)
{
    return caller_budget_new(&(struct caller_budget_limits){
        memory_mb, files, 4096, HEAD_BYTES, threads});
}

static void
test_unknown(void)
{
    struct caller_budget b = compute(0, 0, 1);
    g_assert_cmpint(b.connections, ==, 4096);
    g_assert_cmpint(b.endpoint_connections, ==, 1024);
    g_assert_cmpuint(b.body_bytes, ==, 0);
    g_assert_cmpuint(b.unread_bytes, ==, 0);
    g_assert_cmpuint(b.buffered_bytes, ==, 0);
    g_assert_cmpint(compute(0, 0, 3).connections, ==, 1366);
}

/* The shares of all threads and the process fit into the machine. */
static void
test_fits(void)
{
    static const int memory_mb[] = {64, 120, 400, 512, 4096};
    static const int files[] = {300, 700, 3075, 65536};
    for (size_t i = 0; i < G_N_ELEMENTS(memory_mb); i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(files); k++) {
            for (int threads = 1; threads <= 4; threads++) {
                struct caller_budget b =
                    compute(memory_mb[i], files[k], threads);
                size_t memory = b.body_bytes + b.unread_bytes +
                                b.buffered_bytes +
                                (size_t)b.connections *
                                    HTTP_IN_CONNECTION_BYTES(HEAD_BYTES);
                g_assert_cmpuint(memory * (size_t)threads + PROCESS_BYTES, <=,
                                 (size_t)memory_mb[i] * MIB);
                g_assert_cmpint((b.connections + b.endpoint_connections) *
                                    threads,
                                <, files[k] - RESERVED_FILES);
            }
        }
    }
}

static void
test_smallest(void)
{
    struct caller_budget b = compute(120, 3075, 1);
    g_assert_cmpuint(b.body_bytes, >=, BODY_BYTES);
    g_assert_cmpuint(b.unread_bytes, >=, BODY_BYTES);
    g_assert_cmpuint(b.buffered_bytes, >=, BODY_BYTES);
    /* 3,700 requests per second at 63 nodes, each for five seconds. */
    g_assert_cmpint(b.connections, >=, 300);
}

/* Limits of the settings are never raised. */
static void
test_settings(void)
{
    struct caller_budget b = caller_budget_new(
        &(struct caller_budget_limits){.memory_mb = 4096,
                                       .files = 65536,
                                       .max_connections = 10,
                                       .max_header_bytes = HEAD_BYTES,
                                       .threads = 1});
    g_assert_cmpint(b.connections, ==, 10);
    g_assert_cmpuint(b.body_bytes, <=, 256 * MIB);
    g_assert_cmpuint(b.buffered_bytes, <=, 16 * MIB);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/caller-budget/unknown", test_unknown);
    g_test_add_func("/caller-budget/fits", test_fits);
    g_test_add_func("/caller-budget/smallest", test_smallest);
    g_test_add_func("/caller-budget/settings", test_settings);
    return g_test_run();
}
