/* Guards against a burst of one team that is at the expense of the others, a
 * less urgent request that is sent before a more urgent one, and requests that
 * wait although no endpoint takes them in time. */
#include <glib.h>
#include <stdio.h>

#include "base/rng.h"
#include "bench/forward_world.h"

#define MS 1000LL
#define SECOND 1000000LL

/* Engines that are cold for the whole test, so that requests wait. */
static const struct fw_service cold_services[] = {
    {.name = "pool",
     .engine = true,
     .cold_requests_per_s = 12,
     .cold_us = 60 * SECOND},
};

static const struct fw_route cold_routes[] = {
    {.host = "urgent",
     .service = "pool",
     .kind = REPEAT_STREAM,
     .priority = 0,
     .max_attempts = 2,
     .timeout_us = 2 * SECOND,
     .target_us = 1 * SECOND},
    {.host = "usual",
     .service = "pool",
     .kind = REPEAT_STREAM,
     .priority = 1,
     .max_attempts = 2,
     .timeout_us = 2 * SECOND,
     .target_us = 1 * SECOND},
};

/* Two cold endpoints that take 12 requests a second each; NODES nodes. */
#define NODES 2

struct cold_world {
    struct forward_world *w;
    struct fw_endpoint endpoints[2];
};

static void
cold_init(struct cold_world *c, bool ignore_teams)
{
    const struct fw_endpoint e = {.id = "pool-1",
                                  .service = "pool",
                                  .zone = "a",
                                  .slots = 64,
                                  .queue = 100,
                                  .work_us = 20 * MS,
                                  .events = 1,
                                  .cold_until_us = 60 * SECOND};
    c->endpoints[0] = c->endpoints[1] = e;
    c->endpoints[1].id = "pool-2";
    c->w = forward_world_new(NODES, cold_services, 1, cold_routes, 2,
                             c->endpoints, 2, 11);
    forward_world_set_ignore_teams(c->w, ignore_teams);
}

static int
send_as(struct cold_world *c, int node, const char *host, int team)
{
    char key[32];
    snprintf(key, sizeof(key), "key-of-team-%d", team);
    struct fw_request_spec ask = {
        .host = host, .key = key, .caller_timeout_us = 2 * SECOND};
    return forward_world_send_request(c->w, node, &ask);
}

static void
run_for(struct cold_world *c, int64_t us)
{
    forward_world_run_until(c->w, forward_world_now_us(c->w) + us);
}

/* Team 1 sends four times what the endpoints take for four seconds, teams 2 to
 * 4 together half of it. @return answered requests of these in 100 */
static int
play_burst(bool ignore_teams)
{
    struct cold_world c;
    struct rng rng;
    int steady[256];
    int count = 0;
    int answered = 0;
    rng_seed(&rng, 3);
    cold_init(&c, ignore_teams);
    int64_t end = forward_world_now_us(c.w) + 4 * SECOND;
    while (forward_world_now_us(c.w) < end) {
        int node = (int)rng_below(&rng, NODES);
        if (rng_below(&rng, 9) > 0) {
            send_as(&c, node, "usual", 1);
        }
        else if (count < 256) {
            steady[count++] =
                send_as(&c, node, "usual", 2 + (int)rng_below(&rng, 3));
        }
        run_for(&c, (int64_t)rng_exp(&rng, 9300));
    }
    run_for(&c, 4 * SECOND);
    for (int i = 0; i < count; i++) {
        answered += forward_world_request(c.w, steady[i])->end == FW_ANSWERED;
    }
    forward_world_free(c.w);
    g_assert_cmpint(count, >, 0);
    return count > 0 ? 100 * answered / count : 0;
}

static void
test_burst(void)
{
    int on = play_burst(false);
    int off = play_burst(true);
    g_test_message("steady teams: %d in 100 answered, %d without shares", on,
                   off);
    /* The steady teams need half of the capacity, and their share is three
     * quarters. */
    g_assert_cmpint(on, >=, 98);
    g_assert_cmpint(off, <, on);
}

/* Guards against urgent requests that wait behind others, also behind those of
 * a team that is within its share. */
static void
test_rank(void)
{
    struct cold_world c;
    int urgent[8];
    cold_init(&c, false);
    for (int i = 0; i < 20; i++) {
        send_as(&c, 0, "usual", 2 + i % 3);
    }
    for (int i = 0; i < 4; i++) {
        urgent[i] = send_as(&c, 0, "urgent", 1);
    }
    run_for(&c, 4 * SECOND);
    int64_t last = 0;
    for (int i = 0; i < 4; i++) {
        const struct fw_request *r = forward_world_request(c.w, urgent[i]);
        g_assert_cmpint(r->end, ==, FW_ANSWERED);
        last = MAX(last, r->first_byte_us - r->sent_us);
    }
    /* 12 a second at this node: the fourth one is sent after 333 ms. */
    g_assert_cmpint(last, <, 450 * MS);
    forward_world_free(c.w);
}

/* Guards against requests that are held to their deadline although it is known
 * that others are sent first. */
static void
test_refused_at_once(void)
{
    struct cold_world c;
    int refused = 0;
    cold_init(&c, false);
    for (int i = 0; i < 100; i++) {
        int n = send_as(&c, 0, "usual", 1);
        const struct fw_request *r = forward_world_request(c.w, n);
        run_for(&c, 2 * MS);
        if (r->end == FW_REFUSED) {
            refused++;
            g_assert_cmpint(r->status, ==, 503);
            g_assert_cmpint(r->retry_after_ms, >=, 150);
            g_assert_cmpint(r->end_us - r->sent_us, <=, 2 * MS);
        }
    }
    int64_t at = forward_world_now_us(c.w);
    run_for(&c, 4 * SECOND);
    /* 12 a second for 2.2 s, from the first arrival to the last deadline, and
     * the first one at each endpoint. */
    g_assert_cmpint(refused, >=, 100 - 28);
    for (int i = 0; i < 100; i++) {
        const struct fw_request *r = forward_world_request(c.w, i);
        g_assert_true(r->end == FW_ANSWERED || r->end_us <= at);
    }
    forward_world_free(c.w);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/forward_teams/burst", test_burst);
    g_test_add_func("/forward_teams/rank", test_rank);
    g_test_add_func("/forward_teams/refused_at_once", test_refused_at_once);
    return g_test_run();
}
