/* Guards against engines that are ranked by an assumed speed, against queues
 * and short slow phases that are taken for a slow VM, and against wrong
 * knowledge that stays. */
#include <glib.h>

#include "base/rng.h"
#include "forward/engine_speed.h"

#define MS 1000LL
#define SECOND 1000000LL
#define ENGINES 20
#define ROUNDS 40

/* Engines of a service, whose true times are known. */
struct service {
    struct engine_model model;
    struct engine_speed engines[ENGINES];
    double pace[ENGINES]; /* true time relative to a mean engine */
    struct rng rng;
    int64_t now_us;
};

static void
service_init(struct service *s)
{
    engine_model_init(&s->model);
    rng_seed(&s->rng, 11);
    s->now_us = SECOND;
    for (int i = 0; i < ENGINES; i++) {
        s->engines[i] = (struct engine_speed){.model = &s->model};
        s->pace[i] = 1;
    }
}

/* Records a first event after this many tokens, with a tenth of noise. */
static void
record(struct service *s, int engine, double us_per_token, double tokens,
       double factor)
{
    double noise = 0.9 + 0.2 * rng_uniform(&s->rng);
    double running = (double)rng_below(&s->rng, 8);
    double actual = 20.0 * MS + tokens * us_per_token + running * 400;
    const struct engine_sample sample = {
        actual * s->pace[engine] * factor * noise, tokens, running};
    engine_speed_record(&s->engines[engine], s->now_us, &sample);
}

/* Each engine gets a prompt of 1,000 to 9,000 tokens in each round. */
static void
run_rounds(struct service *s, int rounds, double us_per_token)
{
    for (int r = 0; r < rounds; r++) {
        for (int i = 0; i < ENGINES; i++) {
            s->now_us += 60 * MS;
            record(s, i, us_per_token, 1000 + (double)rng_below(&s->rng, 8000),
                   1);
        }
    }
}

static double
tokens_per_ms(const struct service *s, int engine)
{
    return MS / engine_speed_read_us(&s->engines[engine], s->now_us, 1);
}

static void
test_defaults(void)
{
    struct service s;
    service_init(&s);
    g_assert_cmpfloat(tokens_per_ms(&s, 0), ==, 50);
    struct engine_speed alone = {0};
    g_assert_cmpfloat(engine_speed_read_us(&alone, s.now_us, 50), ==, MS);
    g_assert_cmpfloat(engine_speed_pace(&alone, s.now_us), ==, 1);
    g_assert_cmpfloat(engine_speed_phase(&alone, s.now_us), ==, 1);
}

/* Guards against choices that change by noise where all engines are equal. */
static void
test_equal(void)
{
    static const double speeds[] = {20, 50, 120};
    for (size_t k = 0; k < G_N_ELEMENTS(speeds); k++) {
        struct service s;
        service_init(&s);
        run_rounds(&s, ROUNDS, MS / speeds[k]);
        for (int i = 0; i < ENGINES; i++) {
            g_assert_cmpfloat(engine_speed_pace(&s.engines[i], s.now_us), ==,
                              1);
            g_assert_cmpint(engine_speed_class(&s.engines[i], s.now_us), ==,
                            0);
            g_assert_cmpfloat(engine_speed_phase(&s.engines[i], s.now_us), ==,
                              1);
        }
        g_test_message("%.0f tokens per ms: learned %.1f, idle %.1f ms, "
                       "%.2f ms a running request",
                       speeds[k], tokens_per_ms(&s, 0), s.model.idle_us / MS,
                       s.model.us_per_running / MS);
        g_assert_cmpfloat(tokens_per_ms(&s, 0), >, speeds[k] * 0.85);
        g_assert_cmpfloat(tokens_per_ms(&s, 0), <, speeds[k] * 1.15);
        g_assert_cmpfloat(s.model.idle_us, >, 8 * MS);
        g_assert_cmpfloat(s.model.idle_us, <, 32 * MS);
    }
}

/* VMs of deployment A: 0.6, 1.0 and 1.6 times as fast. */
static void
test_unequal(void)
{
    static const double speeds[] = {0.6, 1.0, 1.6};
    struct service s;
    service_init(&s);
    for (int i = 0; i < ENGINES; i++) {
        s.pace[i] = 1 / speeds[i % 3];
    }
    run_rounds(&s, ROUNDS, 20);
    for (int i = 0; i < ENGINES; i++) {
        double expected = 50 * speeds[i % 3];
        g_assert_cmpfloat(tokens_per_ms(&s, i), >, expected * 0.8);
        g_assert_cmpfloat(tokens_per_ms(&s, i), <, expected * 1.25);
    }
    g_assert_cmpint(engine_speed_class(&s.engines[0], s.now_us), >,
                    engine_speed_class(&s.engines[2], s.now_us));
}

/* An engine is not slow since prompts waited there. */
static void
test_queue(void)
{
    struct service s;
    service_init(&s);
    run_rounds(&s, ROUNDS, 20);
    for (int i = 0; i < ENGINE_SPEED_SAMPLES; i++) {
        s.now_us += 1100 * MS;
        record(&s, 3, 20, 40000, 1);
    }
    g_assert_cmpfloat(engine_speed_pace(&s.engines[3], s.now_us), ==, 1);
    g_assert_cmpfloat(engine_speed_phase(&s.engines[3], s.now_us), ==, 1);
}

/* A slow phase counts at once, and a second later not at all. */
static void
test_slow_phase(void)
{
    struct service s;
    service_init(&s);
    run_rounds(&s, ROUNDS, 20);
    for (int i = 0; i < 6; i++) {
        s.now_us += 100 * MS;
        record(&s, 5, 20, 4000, 2.5);
    }
    g_assert_cmpfloat(engine_speed_phase(&s.engines[5], s.now_us), >, 1.8);
    g_assert_cmpfloat(engine_speed_pace(&s.engines[5], s.now_us), ==, 1);
    s.now_us += 1500 * MS;
    g_assert_cmpfloat(engine_speed_phase(&s.engines[5], s.now_us), <, 1.1);
    record(&s, 5, 20, 4000, 1);
    g_assert_cmpfloat(engine_speed_phase(&s.engines[5], s.now_us), ==, 1);
    g_assert_cmpfloat(engine_speed_pace(&s.engines[5], s.now_us), ==, 1);
}

/* Knowledge that is no longer confirmed is dropped, and a restart ends it. */
static void
test_decay(void)
{
    struct service s;
    service_init(&s);
    s.pace[0] = 3;
    s.pace[1] = 3;
    run_rounds(&s, ROUNDS, 20);
    g_assert_cmpfloat(engine_speed_pace(&s.engines[0], s.now_us), >, 2);
    engine_speed_clear(&s.engines[1]);
    g_assert_cmpfloat(engine_speed_pace(&s.engines[1], s.now_us), ==, 1);
    s.now_us += 25 * SECOND;
    g_assert_cmpfloat(engine_speed_pace(&s.engines[0], s.now_us), ==, 1);
}

/* A single call that is held up leaves the model and the pace as they were. */
static void
test_outlier(void)
{
    struct service s;
    service_init(&s);
    run_rounds(&s, ROUNDS, 20);
    double before = tokens_per_ms(&s, 7);
    s.now_us += 2 * SECOND;
    record(&s, 7, 20, 2000, 100);
    g_assert_cmpfloat(tokens_per_ms(&s, 7), >, before * 0.9);
    g_assert_cmpfloat(engine_speed_phase(&s.engines[7], s.now_us), <=, 4);
}

/* An engine that was silent for seconds is not slow when it goes on. */
static void
test_held_up(void)
{
    struct service s;
    service_init(&s);
    run_rounds(&s, ROUNDS, 20);
    for (int i = 0; i < 2 * ENGINE_SPEED_SAMPLES; i++) {
        s.now_us += 1100 * MS;
        record(&s, 9, 20, 4000, 30);
    }
    g_assert_cmpfloat(engine_speed_pace(&s.engines[9], s.now_us), ==, 1);
    g_assert_cmpint(engine_speed_class(&s.engines[9], s.now_us), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/engine_speed/defaults", test_defaults);
    g_test_add_func("/engine_speed/equal", test_equal);
    g_test_add_func("/engine_speed/unequal", test_unequal);
    g_test_add_func("/engine_speed/queue", test_queue);
    g_test_add_func("/engine_speed/slow_phase", test_slow_phase);
    g_test_add_func("/engine_speed/decay", test_decay);
    g_test_add_func("/engine_speed/outlier", test_outlier);
    g_test_add_func("/engine_speed/held_up", test_held_up);
    return g_test_run();
}
