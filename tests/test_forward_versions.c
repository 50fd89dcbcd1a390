/* Guards against requests that go to another version than the roll-out's
 * directive says, streams that stay at old endpoints, and responses that are
 * counted for the wrong version. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "bench/forward_world.h"
#include "rollout/traffic.h"

#define MS 1000LL
#define SECOND 1000000LL
#define NODES 2
#define DESKS 10
#define POOLS 4
#define LEDGERS 6
#define ENDPOINTS (DESKS + POOLS + LEDGERS)

static const struct fw_service services[] = {
    {.name = "desk"},
    {.name = "pool", .engine = true},
    {.name = "ledger",
     .pieces = {.slots = 1,
                .queue = 2,
                .batch = 4,
                .call_us = 20 * MS,
                .item_us = 2 * MS,
                .result_memory_bytes = 1000000,
                .result_ttl_us = 4 * SECOND}},
};

static const struct fw_route routes[] = {
    {.host = "check",
     .service = "desk",
     .kind = REPEAT_IDEMPOTENT,
     .max_attempts = 2,
     .timeout_us = 4 * SECOND,
     .target_us = 300 * MS},
    {.host = "stream",
     .service = "pool",
     .kind = REPEAT_STREAM,
     .resumable = true,
     .max_attempts = 3,
     .timeout_us = 30 * SECOND,
     .target_us = 1500 * MS},
    {.host = "staged",
     .service = "pool",
     .kind = REPEAT_STREAM,
     .resumable = true,
     .max_attempts = 2,
     .timeout_us = 8 * SECOND,
     .target_us = 1500 * MS,
     .stage_count = 1,
     .stage_service = {"ledger"},
     .stage_bytes = {8000}},
};

struct rig {
    struct forward_world *w;
    struct fw_endpoint endpoints[ENDPOINTS];
    char ids[ENDPOINTS][24];
};

/* Every second endpoint is of version v2, and the last desk of version v0. */
static void
rig_init(struct rig *r)
{
    memset(r, 0, sizeof(*r));
    for (int i = 0; i < ENDPOINTS; i++) {
        int service = i < DESKS ? 0 : i < DESKS + POOLS ? 1 : 2;
        snprintf(r->ids[i], sizeof(r->ids[i]), "%s-%d", services[service].name,
                 i);
        r->endpoints[i] =
            (struct fw_endpoint){.id = r->ids[i],
                                 .service = services[service].name,
                                 .zone = "a",
                                 .slots = service == 2 ? 1 : 16,
                                 .queue = 16,
                                 .work_us = 20 * MS,
                                 .events = service == 1 ? 40 : 0,
                                 .event_gap_us = 100 * MS,
                                 .version = i == DESKS - 1 ? "v0"
                                            : i % 2        ? "v2"
                                                           : "v1"};
    }
    r->w = forward_world_new(NODES, services, G_N_ELEMENTS(services), routes,
                             G_N_ELEMENTS(routes), r->endpoints, ENDPOINTS, 3);
    forward_world_run_until(r->w, forward_world_now_us(r->w) + SECOND);
}

static void
direct(struct rig *r, const char *service, int share_ppm, bool strict,
       const char *rejected)
{
    struct rollout_directive d = {.active = true,
                                  .service = hash64(str_from_cstr(service)),
                                  .order = 5,
                                  .step = 1,
                                  .target = "v2",
                                  .share_ppm = share_ppm,
                                  .reports = true,
                                  .strict = strict,
                                  .valid_until_us = INT64_MAX};
    g_strlcpy(d.rejected, rejected, sizeof(d.rejected));
    for (int i = 0; i < NODES; i++) {
        forward_set_rollout(forward_world_core(r->w, i),
                            forward_world_now_us(r->w), &d);
    }
}

static void
send(struct rig *r, const char *host, int count, int64_t gap_us)
{
    const struct fw_request_spec ask = {.host = host,
                                        .caller_timeout_us = 12 * SECOND,
                                        .pieces = {4},
                                        .prompt_tokens = 100};
    for (int i = 0; i < count; i++) {
        forward_world_send_request(r->w, i % NODES, &ask);
        forward_world_run_until(r->w, forward_world_now_us(r->w) + gap_us);
    }
}

/* Counts runs (pieces of stages) by version: v1, v2, v0. */
static void
count_runs(const struct rig *r, const char *service, int out[3])
{
    out[0] = out[1] = out[2] = 0;
    for (int i = 0; i < ENDPOINTS; i++) {
        const struct fw_endpoint *e = &r->endpoints[i];
        if (strcmp(e->service, service) == 0) {
            int version = strcmp(e->version, "v1") == 0   ? 0
                          : strcmp(e->version, "v2") == 0 ? 1
                                                          : 2;
            out[version] += e->pieces > 0 ? e->pieces : e->runs;
        }
    }
}

static int
count_unanswered(const struct rig *r)
{
    int n = 0;
    for (int i = 0; i < forward_world_request_count(r->w); i++) {
        n += forward_world_request(r->w, i)->end != FW_ANSWERED;
    }
    return n;
}

static void
settle(struct rig *r, int64_t span_us)
{
    forward_world_run_until(r->w, forward_world_now_us(r->w) + span_us);
}

/* Without a directive all versions are used. */
static void
test_no_directive(void)
{
    struct rig r;
    int runs[3];
    rig_init(&r);
    send(&r, "check", 400, 5 * MS);
    settle(&r, SECOND);
    count_runs(&r, "desk", runs);
    g_test_message("%d %d %d", runs[0], runs[1], runs[2]);
    g_assert_cmpint(runs[0], >, 0);
    g_assert_cmpint(runs[1], >, 0);
    g_assert_cmpint(runs[2], >, 0);
    forward_world_free(r.w);
}

/* The share of requests at the new version, and the reports. */
static void
test_share(void)
{
    static const int shares[] = {0, 100000, 300000, 1000000};
    for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
        struct rig r;
        int runs[3];
        struct rollout_counts sum = {0};
        rig_init(&r);
        direct(&r, "desk", shares[i], false, "v0");
        send(&r, "check", 600, 5 * MS);
        settle(&r, SECOND);
        count_runs(&r, "desk", runs);
        g_test_message("share %d: %d %d %d", shares[i], runs[0], runs[1],
                       runs[2]);
        g_assert_cmpint(runs[0] + runs[1], ==, 600);
        g_assert_cmpint(abs(runs[1] - 600 * (shares[i] / 1000) / 1000), <=,
                        NODES);
        g_assert_cmpint(runs[2], ==, 0);
        for (int node = 0; node < NODES; node++) {
            struct rollout_report report;
            g_assert_cmpint(
                forward_rollout_report(forward_world_core(r.w, node),
                                       forward_world_now_us(r.w), 0, &report),
                >, 0);
            rollout_counts_add(&sum, &report.counts, 1);
        }
        g_assert_cmpint(rollout_counts_sent(&sum, ROLLOUT_OLD), ==, runs[0]);
        g_assert_cmpint(rollout_counts_ended(&sum, ROLLOUT_NEW), ==, runs[1]);
        g_assert_cmpint(sum.running[ROLLOUT_OLD], ==, 0);
        g_assert_cmpint(count_unanswered(&r), ==, 0);
        forward_world_free(r.w);
    }
}

/* A small share goes to few new endpoints, so that a version that is bad under
 * load shows. */
static void
test_few_servers(void)
{
    struct rig r;
    int used = 0;
    rig_init(&r);
    direct(&r, "desk", 200000, false, "");
    send(&r, "check", 400, 5 * MS);
    settle(&r, SECOND);
    for (int i = 0; i < DESKS; i++) {
        used += strcmp(r.endpoints[i].version, "v2") == 0 &&
                r.endpoints[i].runs > 0;
    }
    g_assert_cmpint(used, ==, 1);
    forward_world_free(r.w);
}

/* A directive that is no longer valid ends the share. */
static void
test_expired(void)
{
    struct rig r;
    int runs[3];
    rig_init(&r);
    struct rollout_directive d = {.active = true,
                                  .service = hash64(STR_LIT("desk")),
                                  .order = 5,
                                  .target = "v2",
                                  .share_ppm = 500000,
                                  .valid_until_us =
                                      forward_world_now_us(r.w) - 1};
    for (int i = 0; i < NODES; i++) {
        forward_set_rollout(forward_world_core(r.w, i),
                            forward_world_now_us(r.w), &d);
    }
    send(&r, "check", 50, 5 * MS);
    settle(&r, SECOND);
    count_runs(&r, "desk", runs);
    g_assert_cmpint(runs[1], ==, 0);
    forward_world_free(r.w);
}

/* A request that failed at the new version is repeated at the old one, and
 * counted as a failure of the new one. */
static void
test_failures(void)
{
    struct rig r;
    struct rollout_counts sum = {0};
    rig_init(&r);
    direct(&r, "desk", 500000, false, "");
    for (int i = 0; i < DESKS; i++) {
        if (strcmp(r.endpoints[i].version, "v2") == 0) {
            r.endpoints[i].fail_next_requests = 3;
        }
    }
    send(&r, "check", 100, 20 * MS);
    settle(&r, SECOND);
    for (int node = 0; node < NODES; node++) {
        struct rollout_report report;
        forward_rollout_report(forward_world_core(r.w, node),
                               forward_world_now_us(r.w), 0, &report);
        rollout_counts_add(&sum, &report.counts, 1);
    }
    g_assert_cmpint(rollout_counts_failed(&sum, ROLLOUT_NEW), >=, 3);
    g_assert_cmpint(rollout_counts_failed(&sum, ROLLOUT_OLD), ==, 0);
    g_assert_cmpint(count_unanswered(&r), ==, 0);
    forward_world_free(r.w);
}

/* Streams that last 4 s leave the old endpoints after the move. */
static void
test_streams_move(void)
{
    struct rig r;
    struct rollout_report report;
    int64_t running = 0;
    rig_init(&r);
    direct(&r, "pool", 0, false, "");
    send(&r, "stream", 20, 10 * MS);
    direct(&r, "pool", 1000000, false, "");
    settle(&r, 2500 * MS);
    for (int node = 0; node < NODES; node++) {
        forward_rollout_report(forward_world_core(r.w, node),
                               forward_world_now_us(r.w), 0, &report);
        running += report.counts.running[ROLLOUT_OLD];
    }
    g_assert_cmpint(running, ==, 0);
    settle(&r, 10 * SECOND);
    g_assert_cmpint(count_unanswered(&r), ==, 0);
    forward_world_free(r.w);
}

/* If no endpoint of the new version takes work, callers get the old one until
 * it is closed, and never after that. */
static void
test_no_new_endpoint(void)
{
    for (int strict = 0; strict <= 1; strict++) {
        struct rig r;
        int runs[3];
        rig_init(&r);
        for (int i = 0; i < DESKS; i++) {
            r.endpoints[i].dead = strcmp(r.endpoints[i].version, "v2") == 0;
        }
        direct(&r, "desk", 1000000, strict, "v0");
        send(&r, "check", 20, 20 * MS);
        settle(&r, 5 * SECOND);
        count_runs(&r, "desk", runs);
        g_assert_cmpint(runs[0], ==, strict ? 0 : 20);
        forward_world_free(r.w);
    }
}

/* Calls of pieces follow the share, and leave the old endpoints. */
static void
test_pieces(void)
{
    static const int shares[] = {0, 200000, 1000000};
    for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
        struct rig r;
        int runs[3];
        rig_init(&r);
        direct(&r, "ledger", shares[i], false, "");
        send(&r, "staged", 100, 50 * MS);
        settle(&r, 8 * SECOND);
        count_runs(&r, "ledger", runs);
        int all = runs[0] + runs[1];
        g_test_message("share %d: %d %d", shares[i], runs[0], runs[1]);
        g_assert_cmpint(all, >=, 400);
        g_assert_cmpint(
            abs(runs[1] - (int)((int64_t)all * shares[i] / 1000000)), <=,
            all / 20);
        g_assert_cmpint(count_unanswered(&r), ==, 0);
        forward_world_free(r.w);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/versions/no-directive", test_no_directive);
    g_test_add_func("/versions/share", test_share);
    g_test_add_func("/versions/few-servers", test_few_servers);
    g_test_add_func("/versions/expired", test_expired);
    g_test_add_func("/versions/failures", test_failures);
    g_test_add_func("/versions/streams-move", test_streams_move);
    g_test_add_func("/versions/no-new-endpoint", test_no_new_endpoint);
    g_test_add_func("/versions/pieces", test_pieces);
    return g_test_run();
}
