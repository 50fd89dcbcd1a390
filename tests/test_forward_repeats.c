/* Guards against repeats above the shared limit that arrive later than they
 * were granted or after a 409, and against requests that end although a repeat
 * could be sent. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "bench/forward_world.h"
#include "forward/stop.h"

#define MS 1000LL
#define SECOND 1000000LL
#define NODES 5
#define ENGINES 18
#define LEDGERS 4
#define ENDPOINTS (ENGINES + LEDGERS)

static const struct repeat_limit limit = {0.2, 52, 10 * SECOND};

static const struct fw_service services[] = {
    {.name = "pool", .engine = true},
    {.name = "ledger",
     .pieces = {.slots = 1,
                .queue = 2,
                .batch = 8,
                .call_us = 150 * MS,
                .item_us = 16 * MS,
                .result_memory_bytes = 1000000,
                .result_ttl_us = 4 * SECOND}},
};

#define STREAM(...)                                                           \
    {                                                                         \
        .service = "pool", .kind = REPEAT_STREAM, .resumable = true,          \
        .timeout_us = 12 * SECOND, .target_us = 1500 * MS,                    \
        .max_event_gap_us = 250 * MS, .max_attempts = 2, __VA_ARGS__          \
    }

static const struct fw_route routes[] = {
    STREAM(.host = "staged", .caller_disconnect_us = 6 * SECOND,
           .stage_count = 1, .stage_service = {"ledger"},
           .stage_bytes = {8000}),
    STREAM(.host = "impatient", .caller_disconnect_us = 2 * SECOND),
};

struct fleet {
    struct forward_world *w;
    struct fw_endpoint endpoints[ENDPOINTS];
    char ids[ENDPOINTS][24];
    struct rng rng;
};

static void
fleet_init(struct fleet *f, int events, int64_t event_gap_us)
{
    static const char *const zones[] = {"a", "b", "c"};
    memset(f, 0, sizeof(*f));
    rng_seed(&f->rng, 32);
    for (int i = 0; i < ENDPOINTS; i++) {
        bool engine = i < ENGINES;
        const char *service = services[engine ? 0 : 1].name;
        snprintf(f->ids[i], sizeof(f->ids[i]), "%s-%d", service, i);
        f->endpoints[i] = (struct fw_endpoint){.id = f->ids[i],
                                               .service = service,
                                               .zone = zones[i % 3],
                                               .slots = engine ? 64 : 1,
                                               .queue = engine ? 100 : 24,
                                               .work_us = engine ? 80 * MS : 0,
                                               .events = engine ? events : 0,
                                               .event_gap_us = event_gap_us};
    }
    f->w =
        forward_world_new(NODES, services, G_N_ELEMENTS(services), routes,
                          G_N_ELEMENTS(routes), f->endpoints, ENDPOINTS, 32);
    forward_world_set_repeat_limit(f->w, &limit);
}

enum fault_kind { FAULT_NONE, FAULT_BREAK, FAULT_PAUSE, FAULT_LOSE_RESULTS };

/* A fault of all endpoints of a service. */
struct fault {
    enum fault_kind kind;
    const char *service;
    int64_t at_us;
    int64_t every_us; /* 0: once */
    int64_t duration_us;
};

static void
cause_fault(struct fleet *f, const struct fault *fault)
{
    for (int i = 0; i < ENDPOINTS; i++) {
        if (strcmp(f->endpoints[i].service, fault->service) != 0) {
            continue;
        }
        switch (fault->kind) {
        case FAULT_BREAK:
            forward_world_reset_connections(f->w, i);
            break;
        case FAULT_PAUSE:
            forward_world_pause_endpoint(f->w, i, fault->duration_us);
            break;
        case FAULT_LOSE_RESULTS:
            forward_world_lose_results(f->w, i);
            break;
        case FAULT_NONE:
            break;
        }
    }
}

static bool
is_due(const struct fault *fault, int64_t at_us)
{
    int64_t since_us = at_us - fault->at_us;
    return fault->kind != FAULT_NONE && since_us >= 0 &&
           (fault->every_us ? since_us % fault->every_us == 0 : since_us == 0);
}

static const struct {
    const char *title;
    int requests_per_s;
    int64_t event_gap_us;
    struct fault faults[3];
} rows[] = {
    /* Each such call arrives, and ends with 409. */
    {"results are lost before silent engines go on",
     40,
     50 * MS,
     {{FAULT_PAUSE, "pool", 2 * SECOND, 3 * SECOND, 1300 * MS},
      {FAULT_LOSE_RESULTS, "ledger", 3250 * MS, 3 * SECOND, 0}}},
    /* The repeats are granted when the connections break, and sent when the
     * stages are done, in the window of the second break. */
    {"repeats wait 1.3 s for their stages",
     20,
     250 * MS,
     {{FAULT_BREAK, "pool", 5 * SECOND, 0, 0},
      {FAULT_PAUSE, "ledger", 5 * SECOND, 0, 1300 * MS},
      {FAULT_BREAK, "pool", 15200 * MS, 0, 0}}},
    {"repeats wait 1 s for their stages",
     20,
     250 * MS,
     {{FAULT_BREAK, "pool", 5 * SECOND, 0, 0},
      {FAULT_PAUSE, "ledger", 5 * SECOND, 0, 1000 * MS},
      {FAULT_BREAK, "pool", 15200 * MS, 0, 0}}},
};

static void
test_limit(void)
{
    const int64_t step_us = 5 * MS;
    const int64_t duration_us = 28 * SECOND;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct fleet f;
        fleet_init(&f, 20, rows[i].event_gap_us);
        int64_t start_us = forward_world_now_us(f.w);
        for (int64_t at = 0; at < duration_us; at += step_us) {
            struct fw_request_spec spec = {.host = "staged",
                                           .caller_timeout_us = 12 * SECOND,
                                           .prompt_tokens = 2000,
                                           .pieces = {2}};
            if (at % (SECOND / rows[i].requests_per_s) == 0) {
                forward_world_send_request(f.w, (int)rng_below(&f.rng, NODES),
                                           &spec);
            }
            for (size_t k = 0; k < G_N_ELEMENTS(rows[i].faults); k++) {
                if (is_due(&rows[i].faults[k], at)) {
                    cause_fault(&f, &rows[i].faults[k]);
                }
            }
            forward_world_run_until(f.w, start_us + at + step_us);
        }
        forward_world_run_until(f.w, forward_world_now_us(f.w) + 14 * SECOND);
        int excess = forward_world_repeat_excess(f.w, "pool", &limit);
        g_test_message("%s: %d repeats, %d above the limit", rows[i].title,
                       forward_world_repeats(f.w, "pool", 0, INT64_MAX),
                       excess);
        g_assert_cmpint(excess, <=, 0);
        for (int k = 0; k < forward_world_request_count(f.w); k++) {
            const struct fw_request *r = forward_world_request(f.w, k);
            g_assert_cmpint(r->end, !=, FW_OPEN);
            g_assert_true(r->end != FW_REFUSED || r->runs == 0);
        }
        forward_world_free(f.w);
    }
}

static void
pause_used_engines(struct fleet *f, int64_t duration_us)
{
    for (int i = 0; i < ENGINES; i++) {
        if (f->endpoints[i].calls > 0) {
            forward_world_pause_endpoint(f->w, i, duration_us);
        }
    }
}

/* Stages that run again beside a silent call use up no restart. */
static void
test_break_after_silences(void)
{
    for (int silences = 0; silences <= 3; silences++) {
        struct fleet f;
        struct fw_request_spec spec = {.host = "staged",
                                       .caller_timeout_us = 12 * SECOND,
                                       .prompt_tokens = 2000,
                                       .pieces = {2}};
        fleet_init(&f, 40, 100 * MS);
        forward_world_send_request(f.w, 0, &spec);
        forward_world_run_until(f.w, forward_world_now_us(f.w) + 900 * MS);
        for (int i = 0; i < silences; i++) {
            pause_used_engines(&f, 2480 * MS);
            forward_world_run_until(f.w,
                                    forward_world_now_us(f.w) + 3 * SECOND);
        }
        for (int i = 0; i < ENGINES; i++) {
            forward_world_reset_connections(f.w, i);
        }
        forward_world_run_until(f.w, forward_world_now_us(f.w) + 14 * SECOND);
        g_test_message("%d silences, then a broken connection", silences);
        g_assert_cmpint(forward_world_request(f.w, 0)->end, ==, FW_ANSWERED);
        g_assert_cmpint(forward_world_repeats(f.w, "pool", 0, INT64_MAX), ==,
                        1);
        forward_world_free(f.w);
    }
}

/* A silent call is not abandoned when it is too late for a repeat. */
static void
test_too_late(void)
{
    struct fleet f;
    struct fw_request_spec spec = {.host = "impatient",
                                   .caller_timeout_us = 12 * SECOND,
                                   .prompt_tokens = 2000};
    fleet_init(&f, 20, 50 * MS);
    forward_world_send_request(f.w, 0, &spec);
    forward_world_run_until(f.w, forward_world_now_us(f.w) + 20 * MS);
    pause_used_engines(&f, 2600 * MS);
    forward_world_run_until(f.w, forward_world_now_us(f.w) + 14 * SECOND);
    g_assert_cmpint(forward_world_request(f.w, 0)->end, ==, FW_ANSWERED);
    forward_world_free(f.w);
}

/* A silent call is not abandoned when the node stops before a repeat could
 * end. */
static void
test_stop(void)
{
    struct fleet f;
    struct fw_request_spec spec = {.host = "staged",
                                   .caller_timeout_us = 12 * SECOND,
                                   .prompt_tokens = 2000};
    fleet_init(&f, 20, 50 * MS);
    forward_world_send_request(f.w, 0, &spec);
    forward_world_run_until(f.w, forward_world_now_us(f.w) + 400 * MS);
    int64_t now_us = forward_world_now_us(f.w);
    forward_begin_stop(forward_world_core(f.w, 0), now_us + 2 * SECOND,
                       now_us + 7 * SECOND);
    pause_used_engines(&f, 3200 * MS);
    forward_world_run_until(f.w, now_us + 14 * SECOND);
    g_assert_cmpint(forward_world_request(f.w, 0)->end, ==, FW_ANSWERED);
    forward_world_free(f.w);
}

/* A response with an error is passed on when the node stops before a repeat
 * could end. */
static void
test_error_in_stop(void)
{
    struct fleet f;
    struct fw_request_spec spec = {.host = "staged",
                                   .caller_timeout_us = 12 * SECOND,
                                   .prompt_tokens = 2000};
    fleet_init(&f, 20, 50 * MS);
    for (int i = 0; i < ENGINES; i++) {
        f.endpoints[i].fail_next_requests = 1;
    }
    forward_world_send_request(f.w, 0, &spec);
    forward_world_run_until(f.w, forward_world_now_us(f.w) + 10 * MS);
    int64_t now_us = forward_world_now_us(f.w);
    forward_begin_stop(forward_world_core(f.w, 0), now_us + 2 * SECOND,
                       now_us + 7 * SECOND);
    forward_world_run_until(f.w, now_us + 14 * SECOND);
    g_assert_cmpint(forward_world_request(f.w, 0)->end, ==, FW_ANSWERED);
    g_assert_cmpint(forward_world_repeats(f.w, "pool", 0, INT64_MAX), ==, 0);
    forward_world_free(f.w);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/forward-repeats/limit", test_limit);
    g_test_add_func("/forward-repeats/break-after-silences",
                    test_break_after_silences);
    g_test_add_func("/forward-repeats/too-late", test_too_late);
    g_test_add_func("/forward-repeats/stop", test_stop);
    g_test_add_func("/forward-repeats/error-in-stop", test_error_in_stop);
    return g_test_run();
}
