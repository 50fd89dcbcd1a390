/* Random faults against several forwarding cores: endpoints crash, stop
 * responding, slow down, leave and return, nodes are disconnected or restart,
 * callers disconnect. Guards against actions that run twice, requests refused
 * as not run although they ran, requests that never end and memory errors. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "bench/forward_world.h"

#define MS 1000LL
#define SECOND 1000000LL
#define NODES 4
#define ENDPOINTS 14
#define STEPS 300

static const struct piece_limits limits = {.slots = 1,
                                           .queue = 2,
                                           .batch = 10,
                                           .call_us = 150 * MS,
                                           .item_us = 9 * MS,
                                           .result_memory_bytes = 1200000,
                                           .result_ttl_us = 4 * SECOND};

static void
init_world(struct fw_service *services, struct fw_endpoint *e)
{
    static const char *const names[] = {"pool", "desk", "ledger", "roll"};
    static const char *const ids[ENDPOINTS] = {"e0", "e1", "e2", "e3", "e4",
                                               "e5", "e6", "e7", "e8", "e9",
                                               "ea", "eb", "ec", "ed"};
    static const char *const zones[] = {"a", "b", "c"};
    for (int i = 0; i < 4; i++) {
        services[i] =
            (struct fw_service){.name = names[i],
                                .engine = i == 0,
                                .cold_requests_per_s = i == 0 ? 9 : 0,
                                .cold_us = i == 0 ? 3 * SECOND : 0};
        if (i >= 2) {
            services[i].pieces = limits;
        }
    }
    for (int i = 0; i < ENDPOINTS; i++) {
        e[i] = (struct fw_endpoint){.id = ids[i],
                                    .service = names[i % 4],
                                    .zone = zones[i % 3],
                                    .slots = i % 4 < 2 ? 16 : 1,
                                    .queue = i % 4 < 2 ? 30 : 2,
                                    .work_us = 30 * MS,
                                    .events = i % 4 == 0 ? 8 : 0,
                                    .result_memory_bytes =
                                        i % 4 >= 2 ? 1200000 : 0};
    }
}

static const struct fw_route routes[] = {
    {.host = "action",
     .service = "desk",
     .kind = REPEAT_AT_MOST_ONCE,
     .max_attempts = 1,
     .timeout_us = 800 * MS,
     .target_us = 100 * MS},
    {.host = "check",
     .service = "desk",
     .kind = REPEAT_IDEMPOTENT,
     .max_attempts = 2,
     .timeout_us = 800 * MS,
     .target_us = 100 * MS},
    {.host = "stream",
     .service = "pool",
     .kind = REPEAT_STREAM,
     .resumable = true,
     .max_attempts = 2,
     .timeout_us = 5 * SECOND,
     .target_us = 1 * SECOND,
     .stage_count = 1,
     .stage_service = {"ledger"},
     .stage_after = {0},
     .stage_bytes = {300000}},
    {.host = "once",
     .service = "pool",
     .kind = REPEAT_STREAM,
     .priority = 1,
     .max_attempts = 1,
     .timeout_us = 5 * SECOND,
     .target_us = 1600 * MS,
     .stage_count = 2,
     .stage_service = {"ledger", "roll"},
     .stage_after = {0, 1},
     .stage_bytes = {8000, 60000}},
};

static void
inject_fault(struct rng *rng, struct forward_world *w, struct fw_endpoint *e,
             bool *removed)
{
    struct fw_endpoint *at = &e[rng_below(rng, ENDPOINTS)];
    switch (rng_below(rng, 10)) {
    case 0:
        at->dead = !at->dead;
        break;
    case 1:
        at->silent = !at->silent;
        break;
    case 2:
        at->slow = at->slow > 1 ? 1 : 5;
        break;
    case 3:
        at->break_next_requests = 2;
        break;
    case 4:
        at->fail_next_requests = 2;
        break;
    case 5:
        at->break_after_event = (int)rng_below(rng, 6);
        break;
    case 6:
        removed[at - e] = !removed[at - e];
        forward_world_publish_view(w, removed);
        break;
    case 7:
        forward_world_set_cut(w, (int)rng_below(rng, NODES),
                              rng_below(rng, 2) == 0);
        break;
    case 8:
        forward_world_restart_node(w, (int)rng_below(rng, NODES));
        break;
    default:
        if (forward_world_request_count(w) > 0) {
            forward_world_disconnect_caller(
                w,
                (int)rng_below(rng, (uint64_t)forward_world_request_count(w)));
        }
        break;
    }
}

static void
clear_faults(struct forward_world *w, struct fw_endpoint *e, bool *removed)
{
    for (int i = 0; i < ENDPOINTS; i++) {
        e[i].dead = e[i].silent = false;
        e[i].slow = 1;
        removed[i] = false;
    }
    for (int i = 0; i < NODES; i++) {
        forward_world_set_cut(w, i, false);
    }
    forward_world_publish_view(w, removed);
}

static void
check(struct forward_world *w)
{
    for (int i = 0; i < forward_world_request_count(w); i++) {
        const struct fw_request *q = forward_world_request(w, i);
        g_assert_cmpint(q->end, !=, FW_OPEN);
        bool once = i % 4 == 0 || i % 4 == 3;
        if (q->end == FW_REFUSED && once && q->runs > 0) {
            g_test_message("request r%llu was refused and has run",
                           (unsigned long long)q->id);
        }
        if (once) {
            g_assert_cmpint(q->runs, <=, 1);
        }
        if (q->end == FW_REFUSED && once) {
            g_assert_cmpint(q->runs, ==, 0);
        }
        if (q->end == FW_ANSWERED && i % 4 >= 2 && q->status == 200) {
            g_assert_true(g_str_has_prefix(q->body.ptr, "id: 0\n"));
            g_assert_true(g_str_has_suffix(q->body.ptr, "data: e7\n\n"));
        }
    }
    for (int n = 0; n < NODES; n++) {
        g_assert_cmpint(forward_open_requests(forward_world_core(w, n)), ==,
                        0);
    }
}

static void
run_seed(uint64_t seed)
{
    static const char *const hosts[] = {"action", "check", "stream", "once"};
    struct fw_service services[4];
    struct fw_endpoint e[ENDPOINTS];
    bool removed[ENDPOINTS] = {false};
    struct rng rng;
    rng_seed(&rng, seed);
    init_world(services, e);
    struct forward_world *w = forward_world_new(
        NODES, services, 4, routes, G_N_ELEMENTS(routes), e, ENDPOINTS, seed);
    for (int i = 0; i < STEPS; i++) {
        int kind = forward_world_request_count(w) % 4;
        struct fw_request_spec ask = {
            .host = hosts[kind],
            .caller_timeout_us = kind < 2 ? 1500 * MS : 5 * SECOND,
            .prompt_tokens = 4000,
            .shared_prompt_id = 1 + rng_below(&rng, 20)};
        ask.pieces[0] = kind == 2 ? (int)rng_below(&rng, 4) : 1;
        ask.pieces[1] = kind == 3 ? 1 + (int)rng_below(&rng, 9) : 0;
        forward_world_send_request(w, (int)rng_below(&rng, NODES), &ask);
        if (rng_below(&rng, 4) == 0) {
            inject_fault(&rng, w, e, removed);
        }
        forward_world_run_until(w, forward_world_now_us(w) +
                                       (int64_t)rng_below(&rng, 60 * MS));
    }
    clear_faults(w, e, removed);
    forward_world_run_until(w, forward_world_now_us(w) + 10 * SECOND);
    check(w);
    forward_world_free(w);
}

static void
test_random(void)
{
    const char *one = g_getenv("FORWARD_SEED");
    if (one) {
        run_seed(g_ascii_strtoull(one, NULL, 10));
        return;
    }
    for (uint64_t seed = 1; seed <= 12; seed++) {
        g_test_message("seed %llu", (unsigned long long)seed);
        run_seed(seed);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/forward-random/faults", test_random);
    return g_test_run();
}
