/* Guards against answers that are cut, and against repeats above the shared
 * limit, because healthy endpoints fall silent for a second or two and go on.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "base/rng.h"
#include "bench/forward_world.h"

#define MS 1000LL
#define SECOND 1000000LL
#define NODES 5
#define ENGINES 18
#define DESKS 4
#define LEDGERS 4
#define INDEXES 4
#define ENDPOINTS (ENGINES + DESKS + LEDGERS + INDEXES)
#define DURATION_US (30 * SECOND)

static const struct repeat_limit limit = {0.2, 52, 10 * SECOND};

static const struct fw_service services[] = {
    {.name = "pool", .engine = true},
    {.name = "desk"},
    {.name = "ledger",
     .pieces = {.slots = 1,
                .queue = 2,
                .batch = 8,
                .call_us = 150 * MS,
                .item_us = 16 * MS,
                .result_memory_bytes = 1000000,
                .result_ttl_us = 4 * SECOND}},
    {.name = "index",
     .pieces = {.slots = 1,
                .queue = 2,
                .batch = 8,
                .call_us = 20 * MS,
                .item_us = 4 * MS,
                .result_memory_bytes = 1000000,
                .result_ttl_us = 4 * SECOND}},
};

#define STREAM(...)                                                           \
    {                                                                         \
        .service = "pool", .kind = REPEAT_STREAM, .resumable = true,          \
        .timeout_us = 12 * SECOND, .target_us = 1500 * MS,                    \
        .caller_disconnect_us = 6 * SECOND, .max_event_gap_us = 250 * MS,     \
        .max_attempts = 2, __VA_ARGS__                                        \
    }

static const struct fw_route routes[] = {
    STREAM(.host = "stream"),
    STREAM(.host = "staged", .stage_count = 1, .stage_service = {"ledger"},
           .stage_bytes = {8000}),
    STREAM(.host = "quick", .stage_count = 1, .stage_service = {"index"},
           .stage_bytes = {8000}),
    {.host = "action",
     .service = "desk",
     .kind = REPEAT_AT_MOST_ONCE,
     .max_attempts = 1,
     .timeout_us = 4 * SECOND,
     .target_us = 300 * MS},
    {.host = "check",
     .service = "desk",
     .kind = REPEAT_IDEMPOTENT,
     .max_attempts = 2,
     .timeout_us = 4 * SECOND,
     .target_us = 300 * MS},
};

struct fleet {
    struct forward_world *w;
    struct fw_endpoint endpoints[ENDPOINTS];
    char ids[ENDPOINTS][24];
    struct rng rng;
};

static void
fleet_init(struct fleet *f)
{
    static const char *const zones[] = {"a", "b", "c"};
    memset(f, 0, sizeof(*f));
    rng_seed(&f->rng, 32);
    for (int i = 0; i < ENDPOINTS; i++) {
        int service = i < ENGINES                     ? 0
                      : i < ENGINES + DESKS           ? 1
                      : i < ENGINES + DESKS + LEDGERS ? 2
                                                      : 3;
        bool engine = service == 0;
        snprintf(f->ids[i], sizeof(f->ids[i]), "%s-%d", services[service].name,
                 i);
        f->endpoints[i] =
            (struct fw_endpoint){.id = f->ids[i],
                                 .service = services[service].name,
                                 .zone = zones[i % 3],
                                 .slots = engine         ? 64
                                          : service == 1 ? 6
                                                         : 1,
                                 .queue = engine ? 100 : 24,
                                 .work_us = engine ? 80 * MS : 60 * MS,
                                 .events = engine ? 20 : 0,
                                 .event_gap_us = 50 * MS};
    }
    f->w =
        forward_world_new(NODES, services, G_N_ELEMENTS(services), routes,
                          G_N_ELEMENTS(routes), f->endpoints, ENDPOINTS, 32);
    forward_world_set_repeat_limit(f->w, &limit);
}

struct silence {
    const char *title;
    const char *host;
    const char *silent; /* service of the silent endpoints; NULL: the route's
                           own */
    int requests_per_s;
    int endpoints;     /* of the route's service that fall silent together */
    int64_t silent_us; /* 0: their connections break instead */
    int64_t period_us;
    int64_t restart_us; /* interval between restarts of all nodes; 0: none */
    bool overload; /* the stages have more to do than they can, so requests
 may be refused */
};

static const struct silence streams[] = {
    {"one engine for 0.8 s", "stream", NULL, 20, 1, 800 * MS, 4 * SECOND, 0,
     false},
    {"all engines for 0.8 s", "stream", NULL, 20, 18, 800 * MS, 4 * SECOND, 0,
     false},
    {"one engine for 1.3 s", "stream", NULL, 20, 1, 1300 * MS, 4 * SECOND, 0,
     false},
    {"all engines for 1.3 s", "stream", NULL, 20, 18, 1300 * MS, 4 * SECOND, 0,
     false},
    {"all engines for 1.8 s", "stream", NULL, 20, 18, 1800 * MS, 4 * SECOND, 0,
     false},
    {"all engines for 3.2 s", "stream", NULL, 20, 18, 3200 * MS, 6 * SECOND, 0,
     false},
    {"half of the engines for 3.2 s", "stream", NULL, 40, 9, 3200 * MS,
     6 * SECOND, 0, false},
    {"half of the engines, often", "stream", NULL, 40, 9, 1300 * MS,
     2 * SECOND, 0, false},
};

static const struct silence staged[] = {
    {"one engine for 1.3 s", "staged", NULL, 20, 1, 1300 * MS, 4 * SECOND, 0,
     false},
    {"all engines for 0.8 s", "staged", NULL, 20, 18, 800 * MS, 4 * SECOND, 0,
     false},
    {"all engines for 1.3 s", "staged", NULL, 20, 18, 1300 * MS, 4 * SECOND, 0,
     false},
    {"all engines for 1.8 s", "staged", NULL, 20, 18, 1800 * MS, 4 * SECOND, 0,
     false},
    {"all engines for 3.2 s", "staged", NULL, 20, 18, 3200 * MS, 6 * SECOND, 0,
     false},
    {"half of the engines for 3.2 s", "staged", NULL, 40, 9, 3200 * MS,
     6 * SECOND, 0, false},
    {"half of the engines for 3.2 s, overload", "staged", NULL, 80, 9,
     3200 * MS, 6 * SECOND, 0, true},
    {"one stage endpoint for 1.3 s", "staged", "ledger", 20, 1, 1300 * MS,
     4 * SECOND, 0, false},
    {"all stage endpoints for 1.3 s", "staged", "ledger", 20, 4, 1300 * MS,
     4 * SECOND, 0, false},
    {"all stage endpoints for 1.8 s", "staged", "ledger", 20, 4, 1800 * MS,
     4 * SECOND, 0, false},
    {"one quick stage endpoint for 1.3 s", "quick", "index", 20, 1, 1300 * MS,
     4 * SECOND, 0, false},
    {"all quick stage endpoints for 0.8 s", "quick", "index", 20, 4, 800 * MS,
     4 * SECOND, 0, false},
    {"all quick stage endpoints for 1.3 s", "quick", "index", 20, 4, 1300 * MS,
     4 * SECOND, 0, false},
    {"all quick stage endpoints for 1.8 s", "quick", "index", 20, 4, 1800 * MS,
     4 * SECOND, 0, false},
    {"half of the engines, often", "staged", NULL, 20, 9, 1300 * MS,
     2 * SECOND, 0, false},
};

static const struct silence plain[] = {
    {"actions, all for 1.3 s", "action", NULL, 12, 4, 1300 * MS, 4 * SECOND, 0,
     false},
    {"checks, all for 1.3 s", "check", NULL, 12, 4, 1300 * MS, 4 * SECOND, 0,
     false},
    {"checks, all for 1.8 s", "check", NULL, 30, 4, 1800 * MS, 4 * SECOND, 0,
     false},
    {"checks, one for 1.8 s", "check", NULL, 12, 1, 1800 * MS, 4 * SECOND, 0,
     false},
};

static const struct silence restarts[] = {
    {"no restart", "stream", NULL, 20, 18, 0, 1 * SECOND, 0, false},
    {"nodes restart", "stream", NULL, 20, 18, 0, 1 * SECOND, 9 * SECOND,
     false},
    {"nodes restart often", "stream", NULL, 20, 18, 0, 1 * SECOND, 4 * SECOND,
     false},
};

static void
disturb(struct fleet *f, int endpoint, const struct silence *row)
{
    if (row->silent_us) {
        forward_world_pause_endpoint(f->w, endpoint, row->silent_us);
    }
    else {
        forward_world_reset_connections(f->w, endpoint);
    }
}

static void
run_load(struct fleet *f, const struct silence *row, const char *service)
{
    const int64_t step_us = SECOND / row->requests_per_s;
    int64_t start_us = forward_world_now_us(f->w);
    int64_t silent_at_us = start_us + SECOND;
    int64_t restart_at_us =
        row->restart_us ? start_us + row->restart_us : INT64_MAX;
    int next = 0;
    for (int64_t at = 0; at < DURATION_US; at += step_us) {
        struct fw_request_spec spec = {.host = row->host,
                                       .caller_timeout_us = 12 * SECOND,
                                       .prompt_tokens = 2000,
                                       .pieces = {2}};
        forward_world_send_request(f->w, (int)rng_below(&f->rng, NODES),
                                   &spec);
        if (start_us + at >= silent_at_us) {
            silent_at_us += row->period_us;
            for (int i = 0, n = 0; i < ENDPOINTS && n < row->endpoints; i++) {
                int k = (next + i) % ENDPOINTS;
                if (strcmp(f->endpoints[k].service, service) == 0) {
                    disturb(f, k, row);
                    n++;
                    next = row->endpoints == 1 ? k + 1 : next;
                }
            }
        }
        if (start_us + at >= restart_at_us) {
            restart_at_us += row->restart_us;
            for (int i = 0; i < NODES; i++) {
                forward_world_restart_node(f->w, i);
            }
        }
        forward_world_run_until(f->w, start_us + at + step_us);
    }
    forward_world_run_until(f->w, forward_world_now_us(f->w) + 14 * SECOND);
}

static const char *
service_of(const char *host)
{
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        if (strcmp(routes[i].host, host) == 0) {
            return routes[i].service;
        }
    }
    g_error("no route %s", host);
}

/* Sum of a counter of the forwarding cores over all nodes. */
static int
sum_counter(const struct fleet *f, const char *name)
{
    int sum = 0;
    for (int i = 0; i < NODES; i++) {
        struct buf out = {0};
        CLEANUP_FREE char *line =
            g_strdup_printf("\ncf_forward_%s_total ", name);
        forward_metrics(forward_world_core(f->w, i), &out);
        buf_append(&out, "", 1);
        const char *at = strstr(out.ptr, line);
        g_assert_nonnull(at);
        sum += (int)g_ascii_strtoll(strchr(at, ' '), NULL, 10);
        buf_free(&out);
    }
    return sum;
}

static bool
check_row(const struct silence *row)
{
    struct fleet f;
    const char *service = service_of(row->host);
    int ends[FW_ABORTED + 1] = {0};
    fleet_init(&f);
    run_load(&f, row, row->silent ? row->silent : service);
    int count = forward_world_request_count(f.w);
    for (int k = 0; k < count; k++) {
        ends[forward_world_request(f.w, k)->end]++;
    }
    int excess = forward_world_repeat_excess(f.w, service, &limit);
    bool ok =
        excess <= 0 &&
        (!row->silent_us ||
         ends[FW_ANSWERED] + (row->overload ? ends[FW_REFUSED] : 0) == count);
    g_test_message("%s: %d requests, %d answered, %d refused, %d failed, "
                   "%d cut, %d repeats, %d above the limit, %d abandoned for "
                   "silence, %d without results%s",
                   row->title, count, ends[FW_ANSWERED], ends[FW_REFUSED],
                   ends[FW_FAILED], ends[FW_ABORTED],
                   forward_world_repeats(f.w, service, 0, INT64_MAX),
                   MAX(excess, 0), sum_counter(&f, "silent"),
                   sum_counter(&f, "results_gone"), ok ? "" : " (FAILED)");
    forward_world_free(f.w);
    return ok;
}

static void
check_rows(const struct silence *rows, size_t count)
{
    int failed = 0;
    for (size_t i = 0; i < count; i++) {
        failed += !check_row(&rows[i]);
    }
    g_assert_cmpint(failed, ==, 0);
}

static void
test_streams(void)
{
    check_rows(streams, G_N_ELEMENTS(streams));
}

static void
test_staged(void)
{
    check_rows(staged, G_N_ELEMENTS(staged));
}

static void
test_plain(void)
{
    check_rows(plain, G_N_ELEMENTS(plain));
}

static void
test_restarts(void)
{
    check_rows(restarts, G_N_ELEMENTS(restarts));
}

/* The addresses of all endpoints but one pass to others in turn, so that many
 * calls are rejected, each by an endpoint that received it. */
static void
test_other_instances(void)
{
    static const char *const hosts[] = {"stream", "action"};
    for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++) {
        struct fleet f;
        struct fw_request_spec spec = {.host = hosts[i],
                                       .caller_timeout_us = 12 * SECOND,
                                       .prompt_tokens = 2000};
        const char *service = service_of(hosts[i]);
        fleet_init(&f);
        for (int n = 0; n < 600; n++) {
            for (int k = 0; n % 10 == 0 && k < ENDPOINTS; k++) {
                f.endpoints[k].other_instance = rng_below(&f.rng, 4) > 0;
            }
            spec.content = (uint64_t)n * 0x9e3779b97f4a7c15ULL + 1;
            forward_world_send_request(f.w, (int)rng_below(&f.rng, NODES),
                                       &spec);
            forward_world_run_until(f.w, forward_world_now_us(f.w) + 20 * MS);
        }
        forward_world_run_until(f.w, forward_world_now_us(f.w) + 14 * SECOND);
        int excess = forward_world_repeat_excess(f.w, service, &limit);
        g_test_message("%s: %d repeats, %d above the limit", hosts[i],
                       forward_world_repeats(f.w, service, 0, INT64_MAX),
                       MAX(excess, 0));
        g_assert_cmpint(excess, <=, 0);
        for (int k = 0; k < forward_world_request_count(f.w); k++) {
            const struct fw_request *r = forward_world_request(f.w, k);
            g_assert_true(r->end == FW_ANSWERED || r->end == FW_REFUSED);
            g_assert_true(r->end == FW_ANSWERED || r->runs == 0);
        }
        forward_world_free(f.w);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/forward-silence/streams", test_streams);
    g_test_add_func("/forward-silence/staged", test_staged);
    g_test_add_func("/forward-silence/plain", test_plain);
    g_test_add_func("/forward-silence/restarts", test_restarts);
    g_test_add_func("/forward-silence/other-instances", test_other_instances);
    return g_test_run();
}
