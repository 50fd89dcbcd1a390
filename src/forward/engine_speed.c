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
/* The weight of a sample is the time since the engine's last one in seconds,
 * within these bounds, so that engines which get more work do not count more.
 * The model remembers a weight of about 500: a few seconds with 140 engines.
 */
#define MODEL_DECAY 0.002
/* Weight of a second of an engine in the mean of all engines' paces. */
#define RATIO_WEIGHT 0.01
#define WEIGHT_MIN 0.05
#define WEIGHT_MAX 4.0
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
#define RUNNING_MAX_US (0.6 * MS)
/* Bound of a sample's distance from the model, as in regression by the median:
 * requests wait for prompts of which this node has not heard, and engines have
 * cached parts that it does not know of, or have evicted others. */
#define OUTLIER_FACTOR 1.3
/* Samples within this time count as one. Slow phases last half a second, so
 * each of them is in one or two samples. */
#define SAMPLE_SPAN_US SECOND
/* Older samples do not count, so an engine that was wrongly taken for slow is
 * tried again. */
#define SAMPLE_MAX_AGE_US (20 * SECOND)
/* Samples beyond these bounds come from a faulty engine or node. */
#define SAMPLE_MAX_US (120 * SECOND)
#define SAMPLE_MAX_TOKENS 5e6
#define SAMPLE_MAX_RUNNING 1e4
/* With fewer samples, a mean engine counts as one of them. */
#define SAMPLES_MIN 3
/* Bounds of the pace, and the difference from 1 that is taken for noise. VMs
 * differ by 0.6 and 1.6. */
#define PACE_MAX 8.0
/* A request that took longer than this many times the time of a mean engine
 * was held up, as by an engine that was silent or by a queue that this node
 * does not know. It says nothing of the speed of a VM: the slowest ones take
 * 1.7 times as long, 4.2 times in a slow phase, and half of a queue may be
 * unknown. With 4.2, samples of slow VMs were lost. */
#define HELD_UP_FACTOR 8.0
#define PACE_NOISE 1.22
#define PACE_CLASS 1.5
/* Weight of a second in the slowly following pace, and its distance from the
 * class, in steps, at which the class changes. */
#define SETTLE_WEIGHT 0.06
#define CLASS_MARGIN 0.7
/* Half-life of the pace of an engine of which no sample has come for
 * SAMPLE_MAX_AGE_US, and the time after which its class ends. */
#define UNSEEN_HALF_LIFE_US (2 * SECOND)
#define CLASS_MAX_AGE_US (40 * SECOND)
/* Half-life of what was seen of a slow phase. */
#define PHASE_HALF_LIFE_US (300 * MS)
#define PHASE_MAX 2.5

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
model_add(struct engine_model *m, const struct engine_sample *s, double weight)
{
    const double x[ENGINE_MODEL_TERMS] = {1, s->tokens / TOKEN_UNIT,
                                          s->running};
    const double defaults[ENGINE_MODEL_TERMS] = {
        DEFAULT_IDLE_US, TOKEN_UNIT * MS / DEFAULT_TOKENS_PER_MS,
        DEFAULT_US_PER_RUNNING};
    double expected_us = engine_model_expected_us(m, s);
    double actual_us = CLAMP(s->actual_us, expected_us / OUTLIER_FACTOR,
                             expected_us * OUTLIER_FACTOR);
    double a[ENGINE_MODEL_TERMS][ENGINE_MODEL_TERMS];
    double b[ENGINE_MODEL_TERMS];
    double keep = 1 - MODEL_DECAY * weight;
    for (int i = 0; i < ENGINE_MODEL_TERMS; i++) {
        m->targets[i] = m->targets[i] * keep + weight * x[i] * actual_us;
        b[i] = m->targets[i] + ridge[i] * defaults[i];
        for (int k = 0; k < ENGINE_MODEL_TERMS; k++) {
            m->products[i][k] =
                m->products[i][k] * keep + weight * x[i] * x[k];
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

/* Returns the median of the ratios of the samples that are not too old,
 * relative to the mean of the service's engines: what holds up all of them, as
 * prompts of which this node does not hear, says nothing of one. With fewer
 * than SAMPLES_MIN samples, one of a mean engine counts as well. */
static double
median_ratio(const struct engine_speed *e, int64_t now_us)
{
    double sorted[ENGINE_SPEED_SAMPLES + 1];
    double mean = e->model ? exp(e->model->ratio_log) : 1;
    int n = 0;
    for (int i = 0; e->model && i <= ENGINE_SPEED_SAMPLES; i++) {
        double ratio = 1;
        if (i < ENGINE_SPEED_SAMPLES) {
            if (e->samples[i].count == 0 ||
                now_us - e->samples[i].at_us > SAMPLE_MAX_AGE_US) {
                continue;
            }
            ratio = sample_ratio(e, i) / mean;
        }
        else if (n >= SAMPLES_MIN) {
            break;
        }
        int k = n++;
        for (; k > 0 && sorted[k - 1] > ratio; k--) {
            sorted[k] = sorted[k - 1];
        }
        sorted[k] = ratio;
    }
    return n > 0 ? (sorted[(n - 1) / 2] + sorted[n / 2]) / 2 : 1;
}

/* Follows the pace slowly. Each change of the class moves shared parts to
 * other engines, which have to read them once more. */
static void
settle(struct engine_speed *e, double steps, double weight)
{
    /* The first samples have the weight of a plain mean. */
    e->settle_count++;
    weight = MAX(weight, 1 / (double)(e->settle_count + 1));
    e->settled += weight * (steps - e->settled);
    if (fabs(e->settled - e->pace_class) > CLASS_MARGIN) {
        e->pace_class = (int)lround(e->settled);
    }
}

void
engine_speed_record(struct engine_speed *e, int64_t now_us,
                    const struct engine_sample *s)
{
    if (!e->model || e->model->fixed || s->actual_us <= 0 ||
        s->actual_us > SAMPLE_MAX_US || s->tokens > SAMPLE_MAX_TOKENS ||
        s->running > SAMPLE_MAX_RUNNING) {
        return;
    }
    bool held_up = s->actual_us > HELD_UP_FACTOR * exp(e->model->ratio_log) *
                                      engine_model_expected_us(e->model, s);
    double pace = median_ratio(e, now_us);
    e->recent = s->actual_us / (engine_model_expected_us(e->model, s) * pace *
                                exp(e->model->ratio_log));
    double weight = e->recent_us > 0
                        ? (double)(now_us - e->recent_us) / (double)SECOND
                        : 1;
    weight = CLAMP(weight, WEIGHT_MIN, WEIGHT_MAX);
    e->recent_us = now_us;
    /* The time that a mean engine would have taken. Otherwise the model would
     * explain slow engines by the requests that run there. */
    struct engine_sample mean = *s;
    mean.actual_us /= pace;
    settle(e, log(pace) / log(PACE_CLASS), SETTLE_WEIGHT * weight);
    e->model->ratio_log += RATIO_WEIGHT * weight * log(pace);
    model_add(e->model, &mean, weight);
    if (held_up) {
        return;
    }
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
    double unseen = (double)MAX(now_us - e->recent_us - SAMPLE_MAX_AGE_US, 0);
    double pace =
        pow(PACE_CLASS, e->settled * exp2(-unseen / UNSEEN_HALF_LIFE_US));
    return pace > PACE_NOISE || pace < 1 / PACE_NOISE ? pace : 1;
}

int
engine_speed_class(const struct engine_speed *e, int64_t now_us)
{
    return now_us - e->recent_us > CLASS_MAX_AGE_US ? 0 : e->pace_class;
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
