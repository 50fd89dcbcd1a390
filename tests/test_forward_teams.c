/* Guards against a burst of one team that is at the expense of the others, a
 * less urgent request that is sent before a more urgent one, and requests that
 * wait although no endpoint takes them in time. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
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

/* Returns the value of a counter of a node. */
static int
counter(struct cold_world *c, int node, const char *name)
{
    CLEANUP(buf_free) struct buf text = {0};
    char line[64];
    snprintf(line, sizeof(line), "\n%s ", name);
    forward_metrics(forward_world_core(c->w, node), &text);
    const char *at = strstr(text.ptr, line);
    g_assert_nonnull(at);
    return atoi(at + strlen(line));
}

/* Fills the waiting lists of both nodes until node 0 refuses a request, which
 * returns to node 1 @p after_ms after its time while others wait there.
 * @return time from its return to its first byte, ms; -1: not answered */
static int
play_return(bool lose_notices, bool restart, int after_ms, int *recognized)
{
    struct cold_world c;
    struct fw_request_spec ask = {.host = "usual",
                                  .key = "key-of-team-1",
                                  .caller_timeout_us = 2 * SECOND,
                                  .content = 77};
    cold_init(&c, false);
    if (lose_notices) {
        forward_world_drop_messages(c.w, STAGE_MSG_RETURNS, 1000);
    }
    const struct fw_request *first = NULL;
    for (int i = 0; i < 60 && (!first || first->end == FW_OPEN); i++) {
        ask.content = 77 + (uint64_t)i;
        first = forward_world_request(
            c.w, forward_world_send_request(c.w, 0, &ask));
    }
    g_assert_cmpint(first->end, ==, FW_REFUSED);
    g_assert_cmpint(first->retry_after_ms, <=, 2000 / 3);
    int64_t due =
        forward_world_now_us(c.w) + (first->retry_after_ms + after_ms) * MS;
    forward_world_run_until(c.w, due - 100 * MS);
    if (restart) {
        forward_world_restart_node(c.w, 0);
    }
    forward_world_run_until(c.w, due - 20 * MS);
    for (int i = 0; i < 15; i++) {
        /* These have less time left, and would be sent before it. */
        struct fw_request_spec other = ask;
        other.content = 0;
        other.caller_timeout_us = 1200 * MS;
        forward_world_send_request(c.w, 1, &other);
    }
    forward_world_run_until(c.w, due);
    ask.caller_timeout_us -= first->retry_after_ms * MS;
    const struct fw_request *again =
        forward_world_request(c.w, forward_world_send_request(c.w, 1, &ask));
    run_for(&c, 3 * SECOND);
    *recognized = counter(&c, 1, "cf_forward_returns_in_time_total");
    int ms = again->end == FW_ANSWERED
                 ? (int)((again->first_byte_us - again->sent_us) / MS)
                 : -1;
    forward_world_free(c.w);
    return ms;
}

/* Guards against a caller that returns when told, to another node, and waits
 * behind new ones; and against one that is preferred although it came early
 * or much later. */
static void
test_return(void)
{
    int recognized;
    int ms = play_return(false, false, 0, &recognized);
    g_test_message("returned when told: %d ms", ms);
    g_assert_cmpint(recognized, ==, 1);
    /* One opening of a cold endpoint, 167 ms, and the run. */
    g_assert_cmpint(ms, >=, 0);
    g_assert_cmpint(ms, <=, 200);
    /* The node that refused it has ended meanwhile. */
    ms = play_return(false, true, 0, &recognized);
    g_assert_cmpint(recognized, ==, 1);
    g_assert_cmpint(ms, >=, 0);
    g_assert_cmpint(ms, <=, 200);
    int late = play_return(false, false, 1100, &recognized);
    g_assert_cmpint(recognized, ==, 0);
    g_assert_true(late < 0 || late > 200);
    int early = play_return(false, false, -100, &recognized);
    g_assert_cmpint(recognized, ==, 0);
    g_assert_true(early < 0 || early > 200);
    /* A lost notice costs only the preference. */
    int lost = play_return(true, false, 0, &recognized);
    g_test_message("too late: %d ms, too early: %d ms, notices lost: %d ms",
                   late, early, lost);
    g_assert_cmpint(recognized, ==, 0);
    g_assert_cmpint(lost, >, 200);
}

/* Guards against counts by team that are missing from the metrics. */
static void
test_counts(void)
{
    struct cold_world c;
    cold_init(&c, false);
    for (int i = 0; i < 40; i++) {
        send_as(&c, 0, "usual", 3);
    }
    run_for(&c, 1 * SECOND);
    g_assert_cmpint(
        counter(&c, 0, "cf_forward_team_refusals_total{team=\"team-3\"}"), >,
        0);
    g_assert_cmpint(
        counter(&c, 0, "cf_forward_team_sends_total{team=\"team-3\"}"), >, 0);
    forward_world_free(c.w);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/forward_teams/burst", test_burst);
    g_test_add_func("/forward_teams/rank", test_rank);
    g_test_add_func("/forward_teams/refused_at_once", test_refused_at_once);
    g_test_add_func("/forward_teams/return", test_return);
    g_test_add_func("/forward_teams/counts", test_counts);
    return g_test_run();
}
