/* Guards against a cold endpoint that gets more work than it can handle, an
 * endpoint that stays cold, work that is sent without credits after a cold
 * start was detected, and nodes that get no credits. */
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "control/credits.h"

#define NODES 5
#define CREDITS 256
#define SECOND 1000000LL
#define ENDPOINT STR_LIT("e")

struct event {
    struct event *next;
    int64_t at_us;
    int node;
    struct str bytes; /* owned */
};

/* A flow core's state of one credit. */
struct use {
    int node;
    uint64_t incarnation;
    uint64_t id; /* unique: slot + CREDITS * generation */
    bool asked;
    bool usable;
    int64_t asked_us;
    int64_t granted_us;
};

struct world {
    uint64_t seed;
    int64_t now_us;
    struct rng rng;
    double msg_loss_rate;
    bool majority;
    struct event *events;
    struct credits *credits[NODES];
    struct view_member members[NODES][NODES];
    struct view view[NODES];
    uint64_t incarnation[NODES];
    int64_t offset_us[NODES];
    int64_t paused_us[NODES];
    int notices[NODES];
    int grants[NODES];
    int max_usable; /* no more credits than this may be usable */
    uint64_t generation;
    struct use use[CREDITS];
};

static struct fleet_pool pool = {.settings[FLEET_COLD_CONCURRENCY] = 2,
                                 .settings[FLEET_MAX_IN_FLIGHT] = 16,
                                 .settings[FLEET_WARM_SUCCESSES] = 1000};
static struct fleet_zone zone = {.region = {"r", 1}};
static struct fleet fleet = {.pools = &pool, .zones = &zone};
static struct snapshot_endpoint endpoint = {.id = {"e", 1}};
static struct snapshot snapshot = {
    .fleet = &fleet, .endpoint_count = 1, .endpoints = &endpoint};

static int64_t
local_time_us(const struct world *w, int n)
{
    return w->now_us + w->offset_us[n];
}

static void
add(struct world *w, int64_t at_us, int node, struct str bytes)
{
    struct event **p = &w->events;
    while (*p && (*p)->at_us <= at_us) {
        p = &(*p)->next;
    }
    struct event *e = mem_calloc(1, sizeof(*e));
    *e = (struct event){*p, at_us, node, bytes};
    *p = e;
}

static void
on_credit_reply(struct world *w, int node, const struct credit_reply *r)
{
    struct use *u = &w->use[r->credit % CREDITS];
    bool cold = credits_endpoint_is_cold(w->credits[node], ENDPOINT);
    int usable = 0;
    if (u->id != r->credit || u->node != node) {
        return;
    }
    u->asked = false;
    if (!r->granted) {
        return;
    }
    u->usable = true;
    /* A warm endpoint needs no credit. */
    u->granted_us = cold ? u->asked_us : INT64_MIN / 2;
    w->grants[node] += cold;
    for (int i = 0; i < CREDITS; i++) {
        const struct use *o = &w->use[i];
        usable += o->usable && o->incarnation == w->incarnation[o->node] &&
                  w->now_us < o->granted_us + CREDIT_MAX_LIFETIME_US;
    }
    if (cold && usable > w->max_usable) {
        g_error("seed %lu: %d usable credits at %ld us", w->seed, usable,
                w->now_us);
    }
}

static void
drain(struct world *w, int node, struct outbox *out)
{
    struct control_action a;
    while (outbox_take(out, &a)) {
        if (a.kind == CONTROL_ACT_NOTIFY_ALL) {
            w->notices[node]++;
        }
        else if (a.kind == CONTROL_ACT_REPLY) {
            on_credit_reply(w, node, &a.reply.reply.credit);
        }
        else {
            int copies = (rng_uniform(&w->rng) >= w->msg_loss_rate) +
                         (rng_uniform(&w->rng) < w->msg_loss_rate);
            while (copies-- > 0) {
                struct buf b = {0};
                int64_t delay = 500;
                if (w->msg_loss_rate > 0) {
                    delay += (int64_t)rng_below(
                        &w->rng, rng_below(&w->rng, 50) ? 4000 : 3 * SECOND);
                }
                msg_encode(&a.send.msg, &b);
                add(w, w->now_us + delay, (int)a.send.to - 1,
                    buf_take_str(&b));
            }
        }
    }
    outbox_free(out);
}

static void
restart(struct world *w, int n)
{
    struct credits_options o = {.node = (uint64_t)n + 1,
                                .incarnation = ++w->incarnation[n],
                                .seed = rng_next(&w->rng),
                                .threads = 1};
    struct outbox *out = outbox_new();
    credits_free(w->credits[n]);
    w->credits[n] = credits_new(&o);
    credits_apply_snapshot(w->credits[n], local_time_us(w, n), &w->view[n],
                           &snapshot, out);
    drain(w, n, out);
}

static struct world *
world_new(uint64_t seed)
{
    struct world *w = mem_calloc(1, sizeof(*w));
    w->seed = seed;
    w->max_usable = 2;
    w->majority = true;
    rng_seed(&w->rng, seed);
    for (int i = 0; i < NODES; i++) {
        w->view[i] = (struct view){(uint64_t)i + 1, 1, NODES, w->members[i]};
        w->offset_us[i] = (int64_t)rng_below(&w->rng, 1000 * SECOND);
        for (int k = 0; k < NODES; k++) {
            w->members[i][k] = (struct view_member){.node = (uint64_t)k + 1,
                                                    .region = zone.region,
                                                    .alive = true,
                                                    .in_roster = true};
        }
        restart(w, i);
    }
    return w;
}

static void
world_free(struct world *w)
{
    while (w->events) {
        struct event *e = w->events;
        w->events = e->next;
        str_free(&e->bytes);
        free(e);
    }
    for (int i = 0; i < NODES; i++) {
        credits_free(w->credits[i]);
    }
    free(w);
}

static void
run_for(struct world *w, int64_t us)
{
    int64_t until = w->now_us + us;
    for (;;) {
        int64_t at = w->events ? w->events->at_us : INT64_MAX;
        int woken = -1;
        for (int i = 0; i < NODES; i++) {
            int64_t wake = credits_next_wakeup_us(w->credits[i]);
            wake = wake == INT64_MAX ? wake : wake - w->offset_us[i];
            wake = MAX(wake, w->paused_us[i]);
            if (wake < at) {
                at = wake;
                woken = i;
            }
        }
        if (at > until || (woken < 0 && !w->events)) {
            break;
        }
        w->now_us = MAX(w->now_us, at);
        struct outbox *out = outbox_new();
        if (woken >= 0) {
            credits_tick(w->credits[woken], local_time_us(w, woken),
                         &w->view[woken], w->majority, out);
            drain(w, woken, out);
            continue;
        }
        struct event *e = w->events;
        int n = e->node;
        w->events = e->next;
        if (w->paused_us[n] > w->now_us) {
            add(w, w->paused_us[n], n, e->bytes);
            e->bytes = (struct str){0};
        }
        else {
            struct msg m;
            g_assert_cmpint(msg_decode(e->bytes, &m), ==, ST_OK);
            credits_handle_message(w->credits[n], local_time_us(w, n),
                                   &w->view[n], &m, out);
        }
        drain(w, n, out);
        str_free(&e->bytes);
        free(e);
    }
    w->now_us = until;
}

static void
send_request(struct world *w, int n, const struct control_request *req)
{
    struct outbox *out = outbox_new();
    credits_tick(w->credits[n], local_time_us(w, n), &w->view[n], w->majority,
                 out);
    credits_handle_request(w->credits[n], local_time_us(w, n), &w->view[n], 0,
                           req, out);
    drain(w, n, out);
}

static void
ask(struct world *w, int n, int slot)
{
    struct use *u = &w->use[slot];
    /* A usable credit is renewed under its id. */
    u->id = u->usable ? u->id : (uint64_t)slot + CREDITS * ++w->generation;
    u->node = n;
    u->incarnation = w->incarnation[n];
    u->asked = true;
    u->asked_us = w->now_us;
    struct control_request a = {
        .kind = CONTROL_REQUEST_CREDIT,
        .credit = {.credit = u->id,
                   .endpoint = ENDPOINT,
                   .lifetime_us = CREDIT_MAX_LIFETIME_US}};
    send_request(w, n, &a);
}

static void
return_credit(struct world *w, int slot, bool ok, enum credit_report report)
{
    struct control_request a = {.kind = CONTROL_REQUEST_CREDIT_RELEASE,
                                .credit_release = {.credit = w->use[slot].id,
                                                   .endpoint = ENDPOINT,
                                                   .used = true,
                                                   .ok = ok,
                                                   .report = report}};
    w->use[slot].usable = false;
    send_request(w, w->use[slot].node, &a);
}

static void
send_cold_notice(struct world *w, int n, int in_flight, bool detected)
{
    struct control_request a = {.kind = CONTROL_REQUEST_COLD,
                                .cold = {.endpoint = ENDPOINT,
                                         .start_id = STR_LIT("s2"),
                                         .in_flight = in_flight,
                                         .detected = detected}};
    send_request(w, n, &a);
}

/* All nodes keep two requests open, node 0 @p extra_requests more, and use
 * every credit for 20 ms, until the endpoint is warm on node 0 or the time
 * is over. @return the time that passed, in us */
static int64_t
load(struct world *w, int64_t us, bool ok, enum credit_report report,
     int extra_requests)
{
    int64_t start = w->now_us;
    while (w->now_us < start + us &&
           credits_endpoint_is_cold(w->credits[0], ENDPOINT)) {
        for (int c = 0; c < 2 * NODES + extra_requests; c++) {
            if (w->use[c].usable) {
                return_credit(w, c, ok, report);
            }
            if (!w->use[c].asked) {
                ask(w, c < 2 * NODES ? c % NODES : 0, c);
            }
        }
        run_for(w, 20000);
    }
    return w->now_us - start;
}

/* Sends each node's gossip to all nodes once. */
static void
exchange_gossip(struct world *w)
{
    for (int i = 0; i < NODES; i++) {
        struct gossip g;
        int n = credits_collect_gossip(w->credits[i], &g, 1);
        for (int k = 0; n > 0 && k < NODES; k++) {
            struct outbox *out = outbox_new();
            credits_apply_gossip(w->credits[k], local_time_us(w, k), &g, out);
            drain(w, k, out);
        }
    }
}

static int
total(const struct world *w)
{
    int sum = 0;
    for (int i = 0; i < NODES; i++) {
        sum += w->grants[i];
    }
    return sum;
}

/* Fleet-wide start: 2, 4 and 8 successes at the three limits make the
 * endpoint warm, soon after members may answer; the owner informs a
 * restarted node. */
static void
test_ramp(void)
{
    struct world *w = world_new(1);
    w->max_usable = 8;
    g_assert_cmpint(load(w, 20 * SECOND, true, CREDIT_REPORT_WARM, 0), <,
                    3 * SECOND);
    g_assert_cmpint(total(w), >=, 14);
    exchange_gossip(w);
    for (int i = 0; i < NODES; i++) {
        g_assert_false(credits_endpoint_is_cold(w->credits[i], ENDPOINT));
        g_assert_cmpint(w->notices[i], ==, 1);
    }
    for (int i = 0; i < NODES; i++) {
        restart(w, i);
        g_assert_true(credits_endpoint_is_cold(w->credits[i], ENDPOINT));
        ask(w, i, 100 + i);
        run_for(w, 3 * SECOND);
        ask(w, i, 200 + i);
        run_for(w, SECOND);
        g_assert_false(credits_endpoint_is_cold(w->credits[i], ENDPOINT));
    }
    world_free(w);
}

/* Failures do not raise the limit, the endpoint's own report makes it warm
 * early, and without a majority nothing is granted. Nodes get equal shares. */
static void
test_rules(void)
{
    struct world *w = world_new(2);
    w->majority = false;
    load(w, 12 * SECOND, true, CREDIT_REPORT_WARM, 0);
    g_assert_cmpint(total(w), ==, 0);
    w->majority = true;
    load(w, 10 * SECOND, false, CREDIT_REPORT_WARM, 20);
    g_assert_true(credits_endpoint_is_cold(w->credits[0], ENDPOINT));
    for (int i = 0; i < NODES; i++) {
        g_assert_cmpint(w->grants[i] * NODES, >, total(w) * 3 / 4);
        g_assert_cmpint(w->grants[i] * NODES, <, total(w) * 5 / 4);
    }
    world_free(w);
    pool.settings[FLEET_WARM_SUCCESSES] = 3;
    w = world_new(3);
    w->max_usable = 4;
    load(w, 10 * SECOND, true, CREDIT_REPORT_WARM, 0);
    g_assert_false(credits_endpoint_is_cold(w->credits[0], ENDPOINT));
    g_assert_cmpint(total(w), <, 10);
    pool.settings[FLEET_WARM_SUCCESSES] = 1000;
    world_free(w);
}

/* Guards against a limit that rises too early, never rises, or is kept
 * after a restart. */
static void
test_level(void)
{
    static const struct {
        const char *name;
        int warm_successes;
        int max_usable; /* highest number of usable credits */
        enum credit_report report;
        bool warm;      /* in the end */
        int min_grants; /* grants until then */
    } rows[] = {
        {"an endpoint that reports cold gets more than its limit", 16, 2,
         CREDIT_REPORT_COLD, false, 100},
        {"an endpoint without a report gets more before it is known", 1000000,
         2, CREDIT_REPORT_NONE, false, 100},
        {"an endpoint without a report never becomes warm", 16, 8,
         CREDIT_REPORT_NONE, true, 16 + 14},
        {"an endpoint that reports warm waits for its successes", 1000000, 8,
         CREDIT_REPORT_WARM, true, 14},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        pool.settings[FLEET_WARM_SUCCESSES] = rows[i].warm_successes;
        struct world *w = world_new(5);
        w->max_usable = rows[i].max_usable;
        load(w, 10 * SECOND, true, rows[i].report, 0);
        if (credits_endpoint_is_cold(w->credits[0], ENDPOINT) ==
                rows[i].warm ||
            total(w) < rows[i].min_grants) {
            g_error("%s: %d grants", rows[i].name, total(w));
        }
        world_free(w);
    }
    pool.settings[FLEET_WARM_SUCCESSES] = 1000000;
    pool.settings[FLEET_MAX_IN_FLIGHT] = 4096;
    for (int refused = 0; refused < 2; refused++) {
        struct world *w = world_new(6);
        w->max_usable = CREDITS;
        load(w, 4 * SECOND, true, CREDIT_REPORT_WARM, 20);
        run_for(w, SECOND);
        g_assert_true(credits_endpoint_is_cold(w->credits[0], ENDPOINT));
        int held = 0;
        for (int c = 0; c < CREDITS; c++) {
            if (w->use[c].usable) {
                held++;
                return_credit(w, c, !refused, CREDIT_REPORT_COLD);
            }
        }
        g_assert_cmpint(held, >, 2);
        if (refused) {
            send_cold_notice(w, 1, 0, true);
        }
        run_for(w, SECOND);
        w->max_usable = 2;
        load(w, 2 * SECOND, false, CREDIT_REPORT_NONE, 20);
        world_free(w);
    }
    pool.settings[FLEET_WARM_SUCCESSES] = 1000;
    pool.settings[FLEET_MAX_IN_FLIGHT] = 16;
}

/* A cold start that one node detects stops all nodes. Their calls in flight
 * are subtracted, and a dead roster member delays grants only until the
 * settle time. */
static void
test_detected(void)
{
    struct world *w = world_new(4);
    w->max_usable = 8;
    load(w, 20 * SECOND, true, CREDIT_REPORT_WARM, 0);
    exchange_gossip(w);
    w->max_usable = 2;
    memset(w->use, 0, sizeof(w->use));
    memset(w->grants, 0, sizeof(w->grants));
    w->paused_us[4] = INT64_MAX;
    for (int i = 0; i < NODES; i++) {
        w->members[i][4].alive = false;
        w->view[i].version++;
    }
    send_cold_notice(w, 1, 1, true);
    exchange_gossip(w);
    for (int i = 0; i < NODES - 1; i++) {
        g_assert_true(credits_endpoint_is_cold(w->credits[i], ENDPOINT));
        g_assert_cmpint(w->notices[i], ==, 2);
        send_cold_notice(w, i, i == 2 ? 2 : 0, false);
    }
    for (int k = 0; k < 24; k++) {
        ask(w, k % 4, k);
        run_for(w, SECOND / 2);
    }
    g_assert_cmpint(total(w), ==, 0);
    send_cold_notice(w, 2, 1, false);
    ask(w, 0, 100);
    run_for(w, SECOND);
    ask(w, 1, 101);
    run_for(w, SECOND);
    g_assert_cmpint(total(w), ==, 1);
    world_free(w);
}

/* Guards against a node that never learns of a change to cold because all
 * of its messages were lost. A change to warm is passed on a limited number
 * of times only. */
static void
test_repeated(void)
{
    struct world *w = world_new(7);
    struct gossip g;
    w->max_usable = 8;
    load(w, 20 * SECOND, true, CREDIT_REPORT_WARM, 0);
    exchange_gossip(w);
    for (int i = 0; i < 100; i++) {
        credits_collect_gossip(w->credits[0], &g, 1);
    }
    g_assert_cmpint(credits_collect_gossip(w->credits[0], &g, 1), ==, 0);
    send_cold_notice(w, 0, 0, true);
    for (int i = 0; i < 100; i++) {
        g_assert_cmpint(credits_collect_gossip(w->credits[0], &g, 1), ==, 1);
    }
    g_assert_false(credits_endpoint_is_cold(w->credits[1], ENDPOINT));
    exchange_gossip(w);
    g_assert_true(credits_endpoint_is_cold(w->credits[1], ENDPOINT));
    world_free(w);
}

/* Lost, repeated and late messages, pauses, restarts and differing views:
 * usable credits never exceed the limit. After the faults, all nodes get
 * credits. */
static void
test_random(void)
{
    /* These seeds found faults, or fail if one of the rules is broken. */
    static const uint64_t regression_seeds[] = {498, 4659, 7152};
    int grants = 0;
    for (uint64_t s = 1; s <= 400 + G_N_ELEMENTS(regression_seeds); s++) {
        uint64_t seed = s <= 400 ? s : regression_seeds[s - 401];
        struct world *w = world_new(seed);
        w->msg_loss_rate = 0.1;
        while (w->now_us < 25 * SECOND) {
            int n = (int)rng_below(&w->rng, NODES);
            int c = (int)rng_below(&w->rng, 40);
            struct use *u = &w->use[c];
            /* A replaced process has lost its calls. */
            if (u->incarnation != w->incarnation[c % NODES]) {
                u->asked = u->usable = false;
            }
            bool up = w->paused_us[c % NODES] <= w->now_us;
            if (up && u->usable && rng_below(&w->rng, 3) == 0) {
                return_credit(w, c, false, CREDIT_REPORT_NONE);
            }
            else if (up && !u->usable && !u->asked) {
                ask(w, c % NODES, c);
            }
            else if (up && u->usable && rng_below(&w->rng, 2)) {
                ask(w, c % NODES, c); /* renew */
            }
            switch (rng_below(&w->rng, 60)) {
            case 0:
                w->paused_us[n] =
                    w->now_us + (int64_t)rng_below(&w->rng, 12 * SECOND);
                break;
            case 1:
                if (rng_below(&w->rng, 3) == 0) {
                    /* Real processes take longer to restart than this. */
                    restart(w, n);
                }
                break;
            case 2:
                w->msg_loss_rate = rng_uniform(&w->rng) * 0.4;
                break;
            case 3:
            case 4:
                w->members[n][c % NODES].alive =
                    n == c % NODES || rng_below(&w->rng, 2) == 0;
                w->view[n].version++;
                break;
            default:
                break;
            }
            run_for(w, 1 + (int64_t)rng_below(&w->rng, 100000));
        }
        grants += total(w);
        w->msg_loss_rate = 0;
        for (int i = 0; i < NODES; i++) {
            w->paused_us[i] = 0;
            w->view[i].version++;
            for (int k = 0; k < NODES; k++) {
                w->members[i][k].alive = true;
            }
        }
        run_for(w, 13 * SECOND);
        for (int c = 0; c < 40; c++) {
            if (w->use[c].usable) {
                return_credit(w, c, false, CREDIT_REPORT_NONE);
            }
        }
        run_for(w, SECOND);
        memset(w->use, 0, sizeof(w->use));
        memset(w->grants, 0, sizeof(w->grants));
        load(w, 2 * SECOND, false, CREDIT_REPORT_NONE, 0);
        for (int i = 0; i < NODES; i++) {
            if (w->grants[i] == 0) {
                g_error("seed %lu: node %d gets no credit", seed, i);
            }
        }
        world_free(w);
    }
    g_test_message("%d grants", grants);
    g_assert_cmpint(grants, >, 2000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/credits/ramp", test_ramp);
    g_test_add_func("/credits/rules", test_rules);
    g_test_add_func("/credits/level", test_level);
    g_test_add_func("/credits/detected", test_detected);
    g_test_add_func("/credits/repeated", test_repeated);
    g_test_add_func("/credits/random", test_random);
    return g_test_run();
}
