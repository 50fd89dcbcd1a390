#include "forward/engine_speed.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define MS 1000.0
#define SECOND 1000000LL

/* What is assumed of a mean engine without samples. */
#define DEFAULT_IDLE_US (25 * MS)
#define DEFAULT_TOKENS_PER_MS 50.0
#define DEFAULT_US_PER_RUNNING 300.0
/* Prompt tokens are counted in thousands in the regression, so that all terms
 * have about the same size. */
#define TOKEN_UNIT 1000.0
/* The model remembers about 200 samples: a few seconds at the rates of a large
 * fleet. */
#define MODEL_DECAY 0.995
/* Weights of the defaults in the regression: that of two samples for the idle
 * time, of a prompt of 3,000 tokens and of some samples with 10 running
 * requests. */
static const double ridge[ENGINE_MODEL_TERMS] = {2, 9, 400};
/* Bounds of the terms, which samples of a service without prompts or of
 * another kind of server would leave. */
#define IDLE_MIN_US (1 * MS)
#define IDLE_MAX_US (500 * MS)
#define TOKENS_PER_MS_MIN 5.0
#define TOKENS_PER_MS_MAX 500.0
#define RUNNING_MAX_US (5 * MS)
/* Samples that took longer than this many times the expected time count with
 * that time: the request was held up by something else. */
#define OUTLIER_FACTOR 4.0
/* Samples within this time count as one. Slow phases last half a second, so
 * each of them is in one or two samples. */
#define SAMPLE_SPAN_US SECOND
/* Older samples do not count, so an engine that was wrongly taken for slow is
 * tried again. */
#define SAMPLE_MAX_AGE_US (20 * SECOND)
/* Bounds of the pace, and the difference from 1 that is taken for noise. VMs
 * differ by 0.6 and 1.6. */
#define PACE_MAX 8.0
#define PACE_NOISE 1.22
#define PACE_CLASS 1.5
/* Half-life of what was seen of a slow phase. */
#define PHASE_HALF_LIFE_US (300 * MS)
#define PHASE_MAX 4.0

void
engine_model_init(struct engine_model *m)
{
    memset(m, 0, sizeof(*m));
    m->idle_us = DEFAULT_IDLE_US;
    m->us_per_token = MS / DEFAULT_TOKENS_PER_MS;
    m->us_per_running = DEFAULT_US_PER_RUNNING;
}

double
engine_model_expected_us(const struct engine_model *m,
                         const struct engine_sample *s)
{
    return m->idle_us + s->tokens * m->us_per_token +
           s->running * m->us_per_running;
}

/* Solves three linear equations with a symmetric, positive definite matrix by
 * elimination. */
static void
solve(double a[ENGINE_MODEL_TERMS][ENGINE_MODEL_TERMS],
      double b[ENGINE_MODEL_TERMS])
{
    for (int i = 0; i < ENGINE_MODEL_TERMS; i++) {
        for (int k = i + 1; k < ENGINE_MODEL_TERMS; k++) {
            double f = a[k][i] / a[i][i];
            for (int j = i; j < ENGINE_MODEL_TERMS; j++) {
                a[k][j] -= f * a[i][j];
            }
            b[k] -= f * b[i];
        }
    }
    for (int i = ENGINE_MODEL_TERMS - 1; i >= 0; i--) {
        for (int j = i + 1; j < ENGINE_MODEL_TERMS; j++) {
            b[i] -= a[i][j] * b[j];
        }
        b[i] /= a[i][i];
    }
}

static void
model_add(struct engine_model *m, const struct engine_sample *s)
{
    const double x[ENGINE_MODEL_TERMS] = {1, s->tokens / TOKEN_UNIT,
                                          s->running};
    const double defaults[ENGINE_MODEL_TERMS] = {
        DEFAULT_IDLE_US, TOKEN_UNIT * MS / DEFAULT_TOKENS_PER_MS,
        DEFAULT_US_PER_RUNNING};
    double actual_us =
        MIN(s->actual_us, OUTLIER_FACTOR * engine_model_expected_us(m, s));
    double a[ENGINE_MODEL_TERMS][ENGINE_MODEL_TERMS];
    double b[ENGINE_MODEL_TERMS];
    m->samples = m->samples * MODEL_DECAY + 1;
    for (int i = 0; i < ENGINE_MODEL_TERMS; i++) {
        m->targets[i] = m->targets[i] * MODEL_DECAY + x[i] * actual_us;
        b[i] = m->targets[i] + ridge[i] * defaults[i];
        for (int k = 0; k < ENGINE_MODEL_TERMS; k++) {
            m->products[i][k] = m->products[i][k] * MODEL_DECAY + x[i] * x[k];
            a[i][k] = m->products[i][k] + (i == k ? ridge[i] : 0);
        }
    }
    solve(a, b);
    m->idle_us = CLAMP(b[0], IDLE_MIN_US, IDLE_MAX_US);
    m->us_per_token = CLAMP(b[1] / TOKEN_UNIT, MS / TOKENS_PER_MS_MAX,
                            MS / TOKENS_PER_MS_MIN);
    m->us_per_running = CLAMP(b[2], 0, RUNNING_MAX_US);
}

static double
sample_ratio(const struct engine_speed *e, int i)
{
    const struct engine_sample *s = &e->samples[i].sum;
    double expected = engine_model_expected_us(e->model, s) +
                      (e->samples[i].count - 1) * e->model->idle_us;
    return CLAMP(s->actual_us / expected, 1 / PACE_MAX, PACE_MAX);
}

/* Returns the median of the ratios of the samples that are not too old and of
 * one that stands for the mean engine. */
static double
median_ratio(const struct engine_speed *e, int64_t now_us)
{
    double sorted[ENGINE_SPEED_SAMPLES + 1] = {1};
    int n = 1;
    for (int i = 0; e->model && i < ENGINE_SPEED_SAMPLES; i++) {
        if (e->samples[i].count == 0 ||
            now_us - e->samples[i].at_us > SAMPLE_MAX_AGE_US) {
            continue;
        }
        double ratio = sample_ratio(e, i);
        int k = n++;
        for (; k > 0 && sorted[k - 1] > ratio; k--) {
            sorted[k] = sorted[k - 1];
        }
        sorted[k] = ratio;
    }
    return (sorted[(n - 1) / 2] + sorted[n / 2]) / 2;
}

void
engine_speed_record(struct engine_speed *e, int64_t now_us,
                    const struct engine_sample *s)
{
    if (!e->model || s->actual_us <= 0) {
        return;
    }
    e->recent = s->actual_us / (engine_model_expected_us(e->model, s) *
                                median_ratio(e, now_us));
    e->recent_us = now_us;
    model_add(e->model, s);
    int last = (e->next + ENGINE_SPEED_SAMPLES - 1) % ENGINE_SPEED_SAMPLES;
    if (e->samples[last].count > 0 &&
        now_us - e->samples[last].at_us < SAMPLE_SPAN_US) {
        e->samples[last].sum.actual_us += s->actual_us;
        e->samples[last].sum.tokens += s->tokens;
        e->samples[last].sum.running += s->running;
        e->samples[last].count++;
        return;
    }
    e->samples[e->next].sum = *s;
    e->samples[e->next].count = 1;
    e->samples[e->next].at_us = now_us;
    e->next = (e->next + 1) % ENGINE_SPEED_SAMPLES;
}

double
engine_speed_pace(const struct engine_speed *e, int64_t now_us)
{
    double pace = median_ratio(e, now_us);
    return pace > PACE_NOISE || pace < 1 / PACE_NOISE ? pace : 1;
}

int
engine_speed_class(const struct engine_speed *e, int64_t now_us)
{
    return (int)lround(log(median_ratio(e, now_us)) / log(PACE_CLASS));
}

double
engine_speed_phase(const struct engine_speed *e, int64_t now_us)
{
    double over = MIN(e->recent, PHASE_MAX) - PACE_NOISE;
    if (e->recent_us == 0 || over <= 0) {
        return 1;
    }
    return 1 +
           over * exp2(-(double)(now_us - e->recent_us) / PHASE_HALF_LIFE_US);
}

double
engine_speed_read_us(const struct engine_speed *e, int64_t now_us,
                     double tokens)
{
    return tokens * engine_speed_pace(e, now_us) *
           (e->model ? e->model->us_per_token : MS / DEFAULT_TOKENS_PER_MS);
}

double
engine_speed_running_us(const struct engine_speed *e, int64_t now_us)
{
    return engine_speed_pace(e, now_us) *
           (e->model ? e->model->us_per_running : DEFAULT_US_PER_RUNNING);
}

double
engine_speed_idle_us(const struct engine_speed *e, int64_t now_us)
{
    return engine_speed_pace(e, now_us) *
           (e->model ? e->model->idle_us : DEFAULT_IDLE_US);
}

void
engine_speed_clear(struct engine_speed *e)
{
    struct engine_model *model = e->model;
    memset(e, 0, sizeof(*e));
    e->model = model;
}
