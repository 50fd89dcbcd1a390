/* Guards against prompt parts and request contents that crash one endpoint
 * after the other, and against sound requests that are refused because they
 * were running beside such a request or share another part with it. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "bench/forward_world.h"

#define MS 1000LL
#define SECOND 1000000LL
#define ENGINES_MAX 60
#define DEADLY_PART 666
#define SAME_FIRST_PART 777
#define FIRST_PARTS 1000 /* ids of first parts start here */
#define DOWN_US (3 * SECOND)
/* Time in which all nodes must act on the fifth crash, and the number of later
 * sends that are allowed. */
#define CONTACT_US (3 * SECOND)
#define CRASHES_KNOWN 5
#define LATE_SENDS_MAX 3

static const struct fw_service service = {.name = "pool", .engine = true};
static const struct fw_route route = {.host = "stream",
                                      .service = "pool",
                                      .kind = REPEAT_STREAM,
                                      .resumable = true,
                                      .max_attempts = 2,
                                      .timeout_us = 8 * SECOND,
                                      .target_us = 1 * SECOND};

#define DEADLY_CONTENT 13
/* Crashes by a content after which all nodes must act in the same time. */
#define CONTENT_CRASHES_KNOWN 3

static const struct fw_service plain_service = {.name = "desk"};

struct fleet {
    struct forward_world *w;
    struct fw_route check; /* of the plain service */
    int nodes;
    struct fw_endpoint endpoints[ENGINES_MAX];
    char ids[ENGINES_MAX][24];
    struct rng rng;
};

static void
fleet_init(struct fleet *f, int nodes, int engines, uint64_t seed)
{
    static const char *const zones[] = {"a", "b", "c"};
    memset(f, 0, sizeof(*f));
    f->nodes = nodes;
    rng_seed(&f->rng, seed);
    for (int i = 0; i < engines; i++) {
        snprintf(f->ids[i], sizeof(f->ids[i]), "pool-%d", i);
        f->endpoints[i] = (struct fw_endpoint){.id = f->ids[i],
                                               .service = "pool",
                                               .zone = zones[i % 3],
                                               .slots = 64,
                                               .queue = 100,
                                               .work_us = 60 * MS,
                                               .events = 40};
    }
    f->w = forward_world_new(nodes, &service, 1, &route, 1, f->endpoints,
                             engines, seed);
}

static int
send(struct fleet *f, int node, uint64_t first, uint64_t second)
{
    struct fw_request_spec spec = {.host = "stream",
                                   .caller_timeout_us = 8 * SECOND,
                                   .prompt_tokens = 2000,
                                   .shared_prompt_id = first,
                                   .second_part = second};
    spec.content =
        (uint64_t)forward_world_request_count(f->w) * 0x9e3779b97f4a7c15ULL;
    return forward_world_send_request(f->w, node, &spec);
}

struct load {
    int requests_per_s;
    int first_parts; /* number of first parts that requests share */
    int hot_percent; /* requests whose first part is the first one */
    int deadly_per_1000;
    int same_percent; /* sound requests with the first part that all requests
                         with the deadly part have; 0: these have any */
};

/* Sends requests to random nodes. */
static void
run_load(struct fleet *f, const struct load *l, int64_t duration_us)
{
    int64_t count = duration_us * l->requests_per_s / SECOND;
    for (int64_t i = 0; i < count; i++) {
        uint64_t first = FIRST_PARTS;
        uint64_t second = 0;
        if (rng_uniform(&f->rng) * 100 >= l->hot_percent) {
            first += (uint64_t)(rng_uniform(&f->rng) * l->first_parts);
        }
        if (rng_uniform(&f->rng) * 1000 < l->deadly_per_1000) {
            second = DEADLY_PART;
        }
        if (l->same_percent &&
            (second || rng_uniform(&f->rng) * 100 < l->same_percent)) {
            first = SAME_FIRST_PART;
        }
        send(f, (int)(rng_uniform(&f->rng) * f->nodes), first, second);
        forward_world_run_until(f->w, forward_world_now_us(f->w) +
                                          SECOND / l->requests_per_s);
    }
}

/* Number of calls with the deadly part that were sent too late. */
static int
late_sends(const struct fleet *f)
{
    if (forward_world_crash_count(f->w) < CRASHES_KNOWN) {
        return 0;
    }
    return forward_world_deadly_arrivals(
        f->w, forward_world_crash_us(f->w, CRASHES_KNOWN - 1) + CONTACT_US);
}

/* Share of the sound requests from index @p since on, with this first part
 * (0: any), that an endpoint began to run. */
static double
sound_share(const struct fleet *f, int since, uint64_t first)
{
    int sent = 0;
    int begun = 0;
    for (int i = since; i < forward_world_request_count(f->w); i++) {
        const struct fw_request *r = forward_world_request(f->w, i);
        if (r->parts[1] != DEADLY_PART &&
            (first == 0 || r->parts[0] == first)) {
            sent++;
            begun += r->runs > 0;
        }
    }
    g_assert_cmpint(sent, >=, 20);
    return (double)begun / sent;
}

static const struct {
    const char *title;
    int nodes;
    int engines;
    struct load load;
} days[] = {
    {"a few nodes", 5, 24, {40, 75, 0, 25, 0}},
    {"a few nodes, one first part", 5, 24, {40, 75, 0, 25, 5}},
    {"a few nodes, one request in five", 5, 24, {40, 75, 0, 200, 5}},
    {"a hot part beside it", 5, 24, {60, 75, 40, 25, 0}},
    {"25 nodes", 25, 40, {150, 300, 0, 25, 3}},
    {"118 nodes", 118, 60, {400, 800, 0, 25, 1}},
};

static void
test_part(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(days); i++) {
        const struct load *l = &days[i].load;
        struct fleet f;
        fleet_init(&f, days[i].nodes, days[i].engines, 29 + i);
        run_load(&f, l, 2 * SECOND);
        forward_world_set_deadly_part(f.w, DEADLY_PART, DOWN_US);
        int since = forward_world_request_count(f.w);
        run_load(&f, l, 14 * SECOND);
        double sound = sound_share(&f, since, 0);
        double same =
            l->same_percent ? sound_share(&f, since, SAME_FIRST_PART) : 1;
        g_test_message("%s: %d crashes, %d late sends, %.2f of the sound "
                       "requests begun, %.2f of those with the same part",
                       days[i].title, forward_world_crash_count(f.w),
                       late_sends(&f), sound, same);
        g_assert_cmpint(late_sends(&f), <=, LATE_SENDS_MAX);
        g_assert_cmpfloat(sound, >=, 0.95);
        g_assert_cmpfloat(same, >=, 0.95);
        forward_world_free(f.w);
    }
}

/* Guards against a crash that is not seen because the endpoint still accepts a
 * connection as it ends. */
static void
test_slow_exit(void)
{
    struct fleet f;
    const struct load l = {40, 75, 0, 25, 5};
    fleet_init(&f, 5, 24, 37);
    forward_world_set_exit_time(f.w, 30 * MS);
    run_load(&f, &l, 2 * SECOND);
    forward_world_set_deadly_part(f.w, DEADLY_PART, DOWN_US);
    run_load(&f, &l, 14 * SECOND);
    g_assert_cmpint(forward_world_crash_count(f.w), <=, CRASHES_KNOWN);
    g_assert_cmpint(late_sends(&f), <=, LATE_SENDS_MAX);
    forward_world_free(f.w);
}

/* Sends requests with the deadly part until it is blocked. */
static void
crash_until_blocked(struct fleet *f, const struct load *l)
{
    run_load(f, l, 2 * SECOND);
    forward_world_set_deadly_part(f->w, DEADLY_PART, DOWN_US);
    run_load(f, l, 8 * SECOND);
    g_assert_cmpint(forward_world_crash_count(f->w), >=, 2);
    g_assert_cmpint(forward_world_crash_count(f->w), <=, CRASHES_KNOWN);
}

/* Sends requests with the deadly part to one node. @return number that
 * reached an endpoint */
static int
send_deadly(struct fleet *f, int node, int count)
{
    int64_t since_us = forward_world_now_us(f->w);
    for (int i = 0; i < count; i++) {
        send(f, node, SAME_FIRST_PART, DEADLY_PART);
        forward_world_run_until(f->w, forward_world_now_us(f->w) + 100 * MS);
    }
    return forward_world_deadly_arrivals(f->w, since_us);
}

static const struct load usual = {60, 75, 0, 25, 5};

/* A node that starts later, or misses the first messages, refuses the part as
 * well, without crashes of its own. */
static void
test_started_later(void)
{
    struct fleet f;
    fleet_init(&f, 6, 24, 31);
    forward_world_drop_messages(f.w, STAGE_MSG_PARTS, 12);
    crash_until_blocked(&f, &usual);
    for (int node = 0; node < f.nodes; node++) {
        forward_world_restart_node(f.w, node);
        run_load(&f, &usual, 2500 * MS);
        g_assert_cmpint(send_deadly(&f, node, 10), ==, 0);
    }
    forward_world_free(f.w);
}

/* A node is told of a blocked part as soon as others see that it has started:
 * callers use it from its first moment on. */
static void
test_told_at_start(void)
{
    struct fleet f;
    fleet_init(&f, 40, 24, 36);
    crash_until_blocked(&f, &usual);
    for (int node = 0; node < f.nodes; node++) {
        forward_world_restart_node(f.w, node);
        forward_world_run_until(f.w, forward_world_now_us(f.w) + 20 * MS);
        g_assert_cmpint(send_deadly(&f, node, 2), ==, 0);
    }
    forward_world_free(f.w);
}

/* Calls that break without a crash, as connections are reset, blame nobody:
 * neither a part that many requests share nor one that few do. */
static void
test_resets(void)
{
    struct fleet f;
    fleet_init(&f, 5, 24, 32);
    for (int i = 0; i < 200; i++) {
        run_load(&f, &(struct load){60, 75, 40, 0, 5}, 50 * MS);
        forward_world_reset_connections(f.w, i % 24);
    }
    int since = forward_world_request_count(f.w);
    run_load(&f, &(struct load){60, 75, 40, 0, 5}, 8 * SECOND);
    g_assert_cmpfloat(sound_share(&f, since, 0), ==, 1);
    forward_world_free(f.w);
}

/* Endpoints that crash one after the other for another reason, a third of
 * them at once every few seconds: no sound request is refused for long. */
static void
test_other_crashes(void)
{
    struct fleet f;
    const struct load sound = {60, 75, 40, 0, 5};
    fleet_init(&f, 5, 24, 33);
    int since = forward_world_request_count(f.w);
    for (int i = 0; i < 24; i++) {
        run_load(&f, &sound, 1 * SECOND);
        forward_world_crash_endpoint(f.w, i * 7 % 24, 2 * SECOND);
        for (int k = 0; i % 6 == 0 && k < 8; k++) {
            forward_world_crash_endpoint(f.w, (i + 3 * k) % 24, 2 * SECOND);
        }
    }
    run_load(&f, &sound, 3 * SECOND);
    g_assert_cmpfloat(sound_share(&f, since, 0), >=, 0.99);
    g_assert_cmpfloat(sound_share(&f, since, SAME_FIRST_PART), >=, 0.99);
    forward_world_free(f.w);
}

/* The part is tried again later, at most three times in ten minutes, and
 * served once it no longer crashes endpoints. */
static void
test_tried_again(void)
{
    struct fleet f;
    const struct load slow = {2, 75, 0, 500, 5};
    fleet_init(&f, 5, 24, 34);
    crash_until_blocked(&f, &usual);
    int64_t blocked_us = forward_world_now_us(f.w);
    run_load(&f, &slow, 600 * SECOND);
    g_assert_cmpint(forward_world_deadly_arrivals(f.w, blocked_us), <=,
                    LATE_SENDS_MAX);
    forward_world_set_deadly_part(f.w, 0, 0);
    run_load(&f, &slow, 1200 * SECOND);
    int since = forward_world_request_count(f.w);
    run_load(&f, &slow, 30 * SECOND);
    for (int i = since; i < forward_world_request_count(f.w); i++) {
        g_assert_cmpint(forward_world_request(f.w, i)->runs, >, 0);
    }
    forward_world_free(f.w);
}

/* A refusal says that the request was not run, and only if that is true. */
static void
test_truthful(void)
{
    struct fleet f;
    fleet_init(&f, 5, 24, 35);
    crash_until_blocked(&f, &usual);
    int refused = 0;
    for (int i = 0; i < forward_world_request_count(f.w); i++) {
        const struct fw_request *r = forward_world_request(f.w, i);
        if (r->end == FW_REFUSED) {
            g_assert_cmpint(r->runs, ==, 0);
            g_assert_cmpint(r->parts[1], ==, DEADLY_PART);
            refused++;
        }
    }
    g_assert_cmpint(refused, >, 0);
    forward_world_free(f.w);
}

static void
plain_fleet_init(struct fleet *f, int nodes, int servers, int attempts,
                 uint64_t seed)
{
    static const char *const zones[] = {"a", "b", "c"};
    memset(f, 0, sizeof(*f));
    f->check = (struct fw_route){.host = "check",
                                 .service = "desk",
                                 .kind = REPEAT_IDEMPOTENT,
                                 .max_attempts = attempts,
                                 .timeout_us = 2 * SECOND,
                                 .target_us = 200 * MS};
    f->nodes = nodes;
    rng_seed(&f->rng, seed);
    for (int i = 0; i < servers; i++) {
        snprintf(f->ids[i], sizeof(f->ids[i]), "desk-%d", i);
        f->endpoints[i] = (struct fw_endpoint){.id = f->ids[i],
                                               .service = "desk",
                                               .zone = zones[i % 3],
                                               .slots = 8,
                                               .queue = 20,
                                               .work_us = 40 * MS};
    }
    f->w = forward_world_new(nodes, &plain_service, 1, &f->check, 1,
                             f->endpoints, servers, seed);
}

static int
send_plain(struct fleet *f, int node, uint64_t content)
{
    const struct fw_request_spec spec = {
        .host = "check", .caller_timeout_us = 1500 * MS, .content = content};
    return forward_world_send_request(f->w, node, &spec);
}

/* Guards against a content that crashes endpoints through each node in turn,
 * since each counts its crashes alone, and through the repeats of an attempt.
 */
static void
test_content(void)
{
    static const struct {
        const char *title;
        int nodes;
        int servers;
        int attempts;
        int interval_ms;     /* between two deadly requests */
        int caller_retry_ms; /* until a caller sends again; -1: never */
        uint64_t sound;      /* content of all other requests; 0: all differ */
    } rows[] = {
        {"each 2.5 s, repeated by the caller", 5, 9, 2, 2500, 100, 0},
        {"the caller repeats at once", 5, 9, 2, 4000, 0, 0},
        {"three attempts, the caller repeats at once", 5, 9, 3, 4000, 0, 0},
        {"one attempt", 5, 9, 1, 4000, -1, 0},
        {"seldom", 5, 9, 2, 70000, -1, 0},
        {"others have one content", 5, 9, 2, 2500, 100, 14},
        {"25 nodes", 25, 30, 2, 1500, 100, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct fleet f;
        int asked = 0;
        int refused = 0;
        plain_fleet_init(&f, rows[i].nodes, rows[i].servers, rows[i].attempts,
                         41 + i);
        forward_world_set_deadly_content(f.w, DEADLY_CONTENT, DOWN_US);
        int64_t end_us =
            forward_world_now_us(f.w) + 12LL * rows[i].interval_ms * MS;
        int64_t next_us = forward_world_now_us(f.w) + SECOND;
        int again = -1; /* the deadly request that its caller may repeat */
        int64_t again_us = 0;
        while (forward_world_now_us(f.w) < end_us) {
            int64_t now_us = forward_world_now_us(f.w);
            if (now_us >= next_us) {
                again = send_plain(&f, asked++ % f.nodes, DEADLY_CONTENT);
                next_us = now_us + rows[i].interval_ms * MS;
                again_us = 0;
            }
            const struct fw_request *r =
                again >= 0 ? forward_world_request(f.w, again) : NULL;
            if (r && r->end == FW_FAILED && rows[i].caller_retry_ms >= 0) {
                again_us = r->end_us + rows[i].caller_retry_ms * MS;
                again = -1;
            }
            if (again_us && now_us >= again_us) {
                send_plain(&f, asked++ % f.nodes, DEADLY_CONTENT);
                again_us = 0;
            }
            send_plain(&f, (int)(rng_uniform(&f.rng) * f.nodes),
                       rows[i].sound);
            forward_world_run_until(f.w, now_us + 10 * MS);
        }
        for (int k = 0; k < forward_world_request_count(f.w); k++) {
            const struct fw_request *r = forward_world_request(f.w, k);
            refused += r->content != DEADLY_CONTENT && r->end == FW_REFUSED;
        }
        int crashes = forward_world_crash_count(f.w);
        int late =
            crashes < CONTENT_CRASHES_KNOWN
                ? 0
                : forward_world_deadly_arrivals(
                      f.w,
                      forward_world_crash_us(f.w, CONTENT_CRASHES_KNOWN - 1) +
                          CONTACT_US);
        g_test_message("%s: %d deadly requests, %d crashes, %d late sends, "
                       "%d other requests refused",
                       rows[i].title, asked, crashes, late, refused);
        g_assert_cmpint(late, <=, LATE_SENDS_MAX);
        g_assert_cmpint(refused, ==, 0);
        forward_world_free(f.w);
    }
}

/* Guards against a content that is refused because it runs everywhere when
 * endpoints crash for another reason. */
static void
test_sound_content(void)
{
    struct fleet f;
    int answered = 0;
    plain_fleet_init(&f, 5, 24, 2, 61);
    for (int i = 0; i < 24; i++) {
        f.endpoints[i].work_us = 300 * MS;
    }
    for (int i = 0; i < 2000; i++) {
        int64_t now_us = forward_world_now_us(f.w);
        send_plain(&f, i % f.nodes, 14);
        for (int k = 0; i % 200 == 100 && k < 8; k++) {
            forward_world_crash_endpoint(f.w, (i / 200 + 3 * k) % 24,
                                         2 * SECOND);
        }
        forward_world_run_until(f.w, now_us + 10 * MS);
    }
    forward_world_run_until(f.w, forward_world_now_us(f.w) + 3 * SECOND);
    for (int i = 0; i < forward_world_request_count(f.w); i++) {
        const struct fw_request *r = forward_world_request(f.w, i);
        g_assert_true(!r->refusal_reason ||
                      !strstr(r->refusal_reason, "crash"));
        answered += r->end == FW_ANSWERED;
    }
    g_test_message("%d of %d answered", answered,
                   forward_world_request_count(f.w));
    g_assert_cmpint(answered, >=, forward_world_request_count(f.w) * 9 / 10);
    forward_world_free(f.w);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/forward-crashes/part", test_part);
    g_test_add_func("/forward-crashes/slow-exit", test_slow_exit);
    g_test_add_func("/forward-crashes/started-later", test_started_later);
    g_test_add_func("/forward-crashes/told-at-start", test_told_at_start);
    g_test_add_func("/forward-crashes/resets", test_resets);
    g_test_add_func("/forward-crashes/other-crashes", test_other_crashes);
    g_test_add_func("/forward-crashes/tried-again", test_tried_again);
    g_test_add_func("/forward-crashes/truthful", test_truthful);
    g_test_add_func("/forward-crashes/content", test_content);
    g_test_add_func("/forward-crashes/sound-content", test_sound_content);
    return g_test_run();
}
