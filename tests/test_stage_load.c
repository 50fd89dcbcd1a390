/* Guards against an order of stage jobs that serves a less urgent kind of
 * request better than a more urgent one, or that starves a kind, under the
 * load of deployment A of docs/heavy-load.md at its size or at a quarter of
 * it. The endpoints and nodes are simulated. */
#include <glib.h>
#include <stdlib.h>

#include "base/rng.h"
#include "bench/forward_world.h"

#define MS 1000LL
#define SECOND 1000000LL
#define NODES 6
#define RUN_US (20 * SECOND)

enum kind { MEDIUM, LONG, SHORT, SHORT_LARGE, KIND_COUNT };

static const struct fw_service services[] = {
    {.name = "pool", .engine = true},
    {.name = "large",
     .pieces = {.slots = 1,
                .queue = 2,
                .batch = 10,
                .call_us = 150 * MS,
                .item_us = 13 * MS,
                .result_memory_bytes = 56000000,
                .result_ttl_us = 4 * SECOND}},
    {.name = "middle",
     .pieces = {.slots = 1,
                .queue = 2,
                .batch = 42,
                .call_us = 150 * MS,
                .item_us = 3100,
                .result_memory_bytes = 7500000,
                .result_ttl_us = 4 * SECOND}},
    {.name = "small",
     .pieces = {.slots = 1,
                .queue = 2,
                .batch = 70,
                .call_us = 150 * MS,
                .item_us = 1800,
                .result_memory_bytes = 1200000,
                .result_ttl_us = 4 * SECOND}},
};

/* One route for each kind, in the order of enum kind. */
static const struct fw_route routes[KIND_COUNT] = {
    {.host = "medium",
     .service = "pool",
     .kind = REPEAT_STREAM,
     .resumable = true,
     .max_attempts = 2,
     .timeout_us = 8 * SECOND,
     .target_us = 1700 * MS,
     .caller_disconnect_us = 6800 * MS,
     .stage_count = 3,
     .stage_service = {"large", "middle", "small"},
     .stage_after = {0, 1, 2},
     .stage_bytes = {8000, 60000, 6000}},
    {.host = "long",
     .service = "pool",
     .kind = REPEAT_STREAM,
     .resumable = true,
     .priority = 1,
     .max_attempts = 2,
     .timeout_us = 8 * SECOND,
     .target_us = 1300 * MS,
     .caller_disconnect_us = 5200 * MS,
     .stage_count = 1,
     .stage_service = {"large"},
     .stage_bytes = {3000000}},
    {.host = "short",
     .service = "pool",
     .kind = REPEAT_STREAM,
     .resumable = true,
     .priority = 2,
     .max_attempts = 2,
     .timeout_us = 8 * SECOND,
     .target_us = 1600 * MS,
     .caller_disconnect_us = 6400 * MS,
     .stage_count = 3,
     .stage_service = {"large", "middle", "small"},
     .stage_after = {0, 1, 2},
     .stage_bytes = {8000, 60000, 6000}},
    {.host = "short-large",
     .service = "pool",
     .kind = REPEAT_STREAM,
     .resumable = true,
     .priority = 2,
     .max_attempts = 2,
     .timeout_us = 8 * SECOND,
     .target_us = 1600 * MS,
     .caller_disconnect_us = 6400 * MS,
     .stage_count = 4,
     .stage_service = {"large", "large", "middle", "small"},
     .stage_after = {0, 0, 2, 4},
     .stage_bytes = {3000000, 8000, 60000, 6000}},
};

struct outcome {
    int sent;
    int served;
    int on_time;
    int refused;
    int64_t latency_us; /* sum over the served */
};

static void
send_one(struct forward_world *w, struct rng *rng, enum kind kind)
{
    struct fw_request_spec spec = {.host = routes[kind].host,
                                   .caller_timeout_us = 8 * SECOND,
                                   .prompt_tokens = 2000};
    switch (kind) {
    case MEDIUM:
    case SHORT:
        spec.pieces[0] = 1;
        spec.pieces[1] = 8;
        spec.pieces[2] = 16;
        break;
    case LONG:
        spec.pieces[0] =
            rng_uniform(rng) < 0.7 ? 2 + (rng_uniform(rng) < 0.5) : 0;
        break;
    case SHORT_LARGE:
        spec.pieces[0] = 1 + (rng_uniform(rng) < 0.5);
        spec.pieces[1] = 1;
        spec.pieces[2] = 8;
        spec.pieces[3] = 16;
        break;
    case KIND_COUNT:
        break;
    }
    forward_world_send_request(w, (int)(rng_uniform(rng) * NODES), &spec);
}

#define ENDPOINTS 169

enum size { QUARTER, FULL };

/* The endpoints of the deployment. */
struct fleet {
    int count;
    struct fw_endpoint e[ENDPOINTS];
    char names[ENDPOINTS][16];
    struct forward_world *w;
};

static void
fleet_init(struct fleet *f, uint64_t seed, enum size size)
{
    static const struct {
        const char *service;
        int count[FULL + 1];
    } groups[] = {{"pool", {30, 120}},
                  {"large", {4, 16}},
                  {"middle", {4, 15}},
                  {"small", {5, 18}}};
    static const char *const zones[] = {"a", "b", "c"};
    int n = 0;
    for (size_t g = 0; g < G_N_ELEMENTS(groups); g++) {
        for (int i = 0; i < groups[g].count[size]; i++, n++) {
            g_snprintf(f->names[n], sizeof(f->names[n]), "%s-%d",
                       groups[g].service, i);
            f->e[n] = (struct fw_endpoint){
                .id = f->names[n],
                .service = groups[g].service,
                .zone = zones[i % 3],
                .slots = g == 0 ? 32 : 1,
                .queue = g == 0 ? 100 : 2,
                .work_us = g == 0 ? 80 * MS : 0,
                .events = g == 0 ? 4 : 0,
                .result_memory_bytes = services[g].pieces.result_memory_bytes};
        }
    }
    f->count = n;
    f->w = forward_world_new(NODES, services, G_N_ELEMENTS(services), routes,
                             KIND_COUNT, f->e, n, seed);
}

/* Number of pieces that the endpoints of a service have received. */
static int
piece_count(const struct fleet *f, const char *service)
{
    int sum = 0;
    for (int i = 0; i < f->count; i++) {
        sum += g_str_equal(f->e[i].service, service) ? f->e[i].pieces : 0;
    }
    return sum;
}

/* Changes how long work takes at four in ten stage endpoints: 0.7 to 3.7 times
 * as long as usual, 1.45 times on average. */
static void
change_loads(struct fleet *f, struct rng *rng)
{
    for (int i = 0; i < f->count; i++) {
        double x = rng_uniform(rng) * rng_uniform(rng);
        if (!g_str_equal(f->e[i].service, "pool") && rng_uniform(rng) < 0.4) {
            f->e[i].load_percent = 70 + (int)(300 * x);
        }
    }
}

/* Sends the load of the deployment, with a burst of @p factor times the rate
 * from the 4th to the 10th second. */
static void
run_load(uint64_t seed, enum size size, double factor, bool changing,
         struct outcome out[KIND_COUNT])
{
    static const double rates[KIND_COUNT] = {12.5, 16.5, 11.7, 7.8};
    struct fleet f;
    fleet_init(&f, seed, size);
    struct forward_world *w = f.w;
    struct rng rng;
    rng_seed(&rng, seed);
    int64_t start_us = forward_world_now_us(w);
    for (int64_t at = 0; at < RUN_US; at += 2 * MS) {
        bool burst = at >= 4 * SECOND && at < 10 * SECOND;
        for (int k = 0; k < KIND_COUNT; k++) {
            if (rng_uniform(&rng) < rates[k] * (size == FULL ? 4 : 1) *
                                        (burst ? factor : 1) * 2 * MS /
                                        SECOND) {
                send_one(w, &rng, (enum kind)k);
            }
        }
        if (changing && at % (100 * MS) == 0) {
            change_loads(&f, &rng);
        }
        forward_world_run_until(w, start_us + at);
    }
    forward_world_run_until(w, start_us + RUN_US + 9 * SECOND);
    for (int i = 0; i < forward_world_request_count(w); i++) {
        const struct fw_request *q = forward_world_request(w, i);
        struct outcome *o = &out[q->route];
        int64_t latency_us = q->first_byte_us - q->sent_us;
        o->sent++;
        o->refused += q->end == FW_REFUSED;
        if (q->end == FW_ANSWERED) {
            o->served++;
            o->latency_us += latency_us;
            o->on_time += latency_us <= routes[q->route].target_us;
        }
    }
    forward_world_free(w);
}

/* Checks that a less urgent rank is not served better than a more urgent one.
 * Kinds of one rank may differ. */
static void
check_kinds(const struct outcome out[KIND_COUNT], bool on_time)
{
    for (int a = 0; a < KIND_COUNT; a++) {
        for (int b = 0; b < KIND_COUNT; b++) {
            double served_a = 100.0 * out[a].served / out[a].sent;
            double served_b = 100.0 * out[b].served / out[b].sent;
            double on_time_a = 100.0 * out[a].on_time / out[a].sent;
            double on_time_b = 100.0 * out[b].on_time / out[b].sent;
            g_assert_cmpfloat(served_a, >=, served_b / 2);
            if (routes[a].priority < routes[b].priority) {
                g_assert_cmpfloat(served_b, <=, served_a + 5);
                if (on_time) {
                    g_assert_cmpfloat(on_time_b, <=, on_time_a + 15);
                }
            }
        }
    }
}

static void
run_seeds(enum size size, double factor, bool changing,
          struct outcome out[KIND_COUNT])
{
    for (uint64_t seed = 1; seed <= (size == FULL ? 2 : 4); seed++) {
        run_load(seed, size, factor, changing, out);
    }
    for (int k = 0; k < KIND_COUNT; k++) {
        const struct outcome *o = &out[k];
        g_test_message(
            "burst %.1f %-12s sent %4d served %5.1f%% on time "
            "%5.1f%% refused %5.1f%% mean %4d ms",
            factor, routes[k].host, o->sent, 100.0 * o->served / o->sent,
            100.0 * o->on_time / o->sent, 100.0 * o->refused / o->sent,
            (int)(o->latency_us / MS / MAX(o->served, 1)));
    }
}

/* The bursts that callers of the deployment send. The bounds are those of the
 * design page. */
static void
test_burst(void)
{
    static const double factors[] = {1.0, 1.6, 2.2, 2.6};
    for (size_t i = 0; i < G_N_ELEMENTS(factors); i++) {
        struct outcome out[KIND_COUNT] = {0};
        run_seeds(QUARTER, factors[i], false, out);
        check_kinds(out, true);
    }
}

/* As test_burst, on endpoints whose load changes many times per second and is
 * reported. With few endpoints of each service, or a burst, rank 0 has three
 * queues to wait in and rank 1 has one, so the shares on time are only
 * compared at full size without a burst. */
static void
test_changing_load(void)
{
    static const struct {
        enum size size;
        double factor;
    } cases[] = {{QUARTER, 1.0}, {QUARTER, 1.6}, {FULL, 1.0}, {FULL, 1.6}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct outcome out[KIND_COUNT] = {0};
        run_seeds(cases[i].size, cases[i].factor, true, out);
        check_kinds(out, cases[i].size == FULL && cases[i].factor <= 1);
    }
}

/* A request that the owner does not expect to serve before its caller leaves
 * must be refused at once and cost no piece; one that will only be late must
 * not be refused. */
static void
test_expected_wait(void)
{
    struct fleet f;
    fleet_init(&f, 1, QUARTER);
    struct fw_request_spec urgent = {.host = "medium",
                                     .caller_timeout_us = 8 * SECOND,
                                     .prompt_tokens = 2000,
                                     .pieces = {1, 8, 16}};
    struct fw_request_spec spec = urgent;
    spec.host = "short";
    /* 600 pieces of 4 endpoints with 10 in a call of 283 ms take 4.2 s. */
    for (int i = 0; i < 600; i++) {
        forward_world_send_request(f.w, 0, &urgent);
    }
    forward_world_run_until(f.w, forward_world_now_us(f.w) + 100 * MS);
    spec.caller_timeout_us = 1600 * MS;
    int hopeless = forward_world_send_request(f.w, 4, &spec);
    spec.caller_timeout_us = 8 * SECOND;
    int late = forward_world_send_request(f.w, 5, &spec);
    forward_world_run_until(f.w, forward_world_now_us(f.w) + 60 * MS);
    const struct fw_request *q = forward_world_request(f.w, hopeless);
    g_assert_cmpint(q->end, ==, FW_REFUSED);
    g_assert_cmpint(q->retry_after_ms, >, 0);
    g_assert_cmpint(forward_world_request(f.w, late)->end, ==, FW_OPEN);
    forward_world_run_until(f.w, forward_world_now_us(f.w) + 9 * SECOND);
    g_assert_cmpint(forward_world_request(f.w, late)->end, ==, FW_ANSWERED);
    g_assert_cmpint(piece_count(&f, "large"), ==, 601);
    forward_world_free(f.w);
}

/* A request whose first stage took so long that the others cannot end before
 * its caller leaves must not cost calls of the next stage. */
static void
test_next_stage(void)
{
    struct fleet f;
    fleet_init(&f, 1, QUARTER);
    struct fw_request_spec spec = {.host = "medium",
                                   .caller_timeout_us = 900 * MS,
                                   .prompt_tokens = 2000,
                                   .pieces = {1, 8, 16}};
    for (int i = 0; i < f.count; i++) {
        f.e[i].slow = g_str_equal(f.e[i].service, "large") ? 4 : 1;
    }
    int q = forward_world_send_request(f.w, 0, &spec);
    forward_world_run_until(f.w, forward_world_now_us(f.w) + 2 * SECOND);
    g_assert_cmpint(forward_world_request(f.w, q)->end, ==, FW_REFUSED);
    g_assert_cmpint(piece_count(&f, "large"), >, 0);
    g_assert_cmpint(piece_count(&f, "middle"), ==, 0);
    forward_world_free(f.w);
}

/* Nodes of this build send each other results in groups, and work with nodes
 * of the build before it. Guards against requests that stay unanswered while a
 * fleet is updated, and against a message for each piece after it. */
static void
test_result_groups(void)
{
    for (int old_count = 0; old_count < NODES; old_count++) {
        struct fleet f;
        struct fw_request_spec spec = {.host = "medium",
                                       .caller_timeout_us = 8 * SECOND,
                                       .prompt_tokens = 2000,
                                       .pieces = {1, 8, 16}};
        fleet_init(&f, 1, QUARTER);
        for (int i = 0; i < old_count; i++) {
            forward_world_set_old_build(f.w, i);
        }
        for (int i = 0; i < 60; i++) {
            forward_world_send_request(f.w, i % NODES, &spec);
            forward_world_run_until(f.w, forward_world_now_us(f.w) + 80 * MS);
        }
        forward_world_run_until(f.w, forward_world_now_us(f.w) + 4 * SECOND);
        for (int i = 0; i < forward_world_request_count(f.w); i++) {
            const struct fw_request *q = forward_world_request(f.w, i);
            g_assert_cmpint(q->end, ==, FW_ANSWERED);
            g_assert_cmpint(q->first_byte_us - q->sent_us, <, 1700 * MS);
        }
        int single = forward_world_message_count(f.w, STAGE_MSG_RESULT);
        int groups = forward_world_message_count(f.w, STAGE_MSG_RESULTS);
        g_test_message("%d old nodes: %d messages with results, %d with one",
                       old_count, groups, single);
        /* 60 requests have 1500 pieces, of which one in six is of the owner's
         * own requests; the first stage has one piece. */
        if (old_count == 0) {
            g_assert_cmpint(single + groups, <=, 60 * 3 + 2 * NODES * NODES);
        }
        forward_world_free(f.w);
    }
}

/* A lost group of results must neither delay a response until its deadline nor
 * leave results that occupy memory until they expire. */
static void
test_lost_groups(void)
{
    for (int lost = 1; lost <= 4; lost++) {
        struct fleet f;
        struct fw_request_spec spec = {.host = "medium",
                                       .caller_timeout_us = 8 * SECOND,
                                       .prompt_tokens = 2000,
                                       .pieces = {1, 8, 16}};
        int held = 0;
        fleet_init(&f, 1, QUARTER);
        for (int i = 0; i < 2 * NODES; i++) {
            if (i == NODES) {
                forward_world_drop_messages(f.w, STAGE_MSG_RESULTS, lost);
            }
            forward_world_send_request(f.w, i % NODES, &spec);
            forward_world_run_until(f.w, forward_world_now_us(f.w) + 100 * MS);
        }
        forward_world_run_until(f.w, forward_world_now_us(f.w) + 8 * SECOND);
        for (int i = 0; i < 2 * NODES; i++) {
            const struct fw_request *q = forward_world_request(f.w, i);
            g_assert_cmpint(q->end, ==, FW_ANSWERED);
            g_assert_cmpint(q->first_byte_us - q->sent_us, <, 3 * SECOND);
        }
        for (int i = 0; i < f.count; i++) {
            held += f.e[i].held;
        }
        g_assert_cmpint(held, ==, 0);
        forward_world_free(f.w);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stage-load/burst", test_burst);
    g_test_add_func("/stage-load/changing-load", test_changing_load);
    g_test_add_func("/stage-load/expected-wait", test_expected_wait);
    g_test_add_func("/stage-load/next-stage", test_next_stage);
    g_test_add_func("/stage-load/result-groups", test_result_groups);
    g_test_add_func("/stage-load/lost-groups", test_lost_groups);
    return g_test_run();
}
