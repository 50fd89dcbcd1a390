#include "flow/outlier.h"

#include <math.h>

#define ANSWERS_MIN 10
#define FAILURE_HALF_LIFE_US 5000000LL
#define EJECTION_US 5000000LL
#define EJECTION_MAX_US 60000000LL
#define SLOW_START_US 10000000LL
/* Ejections this long after the last one ended are not in a row with it. */
#define EJECTIONS_RESET_US 60000000LL

void
outlier_record_call(struct outlier *o, int64_t now_us, bool ok)
{
    o->answers++;
    o->last_failure_us = ok ? o->last_failure_us : now_us;
    /* The first answers count as in a mean that starts with one success. */
    double a =
        o->answers < ANSWERS_MIN ? 1.0 / (o->answers + 1) : 1.0 / ANSWERS_MIN;
    o->failure_rate += ((ok ? 0 : 1) - o->failure_rate) * a;
}

void
outlier_record_latency(struct outlier *o, int64_t latency_us)
{
    double us = (double)latency_us;
    o->latency_us += (us - o->latency_us) * (o->latency_us > 0 ? 0.1 : 1);
}

double
outlier_failure_rate(const struct outlier *o, int64_t now_us)
{
    return o->failure_rate * exp2(-(double)(now_us - o->last_failure_us) /
                                  (double)FAILURE_HALF_LIFE_US);
}

bool
outlier_detected(const struct outlier *o, double median_failures,
                 double median_latency_us)
{
    if (o->ejected || o->answers < ANSWERS_MIN) {
        return false;
    }
    return o->failure_rate > median_failures + 0.4 ||
           (median_latency_us > 0 && o->latency_us > 4 * median_latency_us);
}

void
outlier_eject(struct outlier *o, int64_t now_us)
{
    if (o->until_us && now_us - o->until_us > EJECTIONS_RESET_US) {
        o->ejections = 0;
    }
    int64_t us = EJECTION_US << (o->ejections < 4 ? o->ejections : 4);
    o->ejections++;
    o->ejected = true;
    o->until_us = now_us + (us > EJECTION_MAX_US ? EJECTION_MAX_US : us);
    o->slow_start_us = 0;
}

void
outlier_end_ejection(struct outlier *o, int64_t now_us)
{
    o->ejected = false;
    o->slow_start_us = now_us;
    o->answers = 0;
    o->failure_rate = 0;
    o->latency_us = 0;
}

double
outlier_limit_share(const struct outlier *o, int64_t now_us)
{
    if (!o->slow_start_us || now_us - o->slow_start_us >= SLOW_START_US) {
        return 1;
    }
    return 0.1 + 0.9 * (double)(now_us - o->slow_start_us) / SLOW_START_US;
}

int
outlier_ejected_max(int endpoints, int64_t percent)
{
    return (int)(endpoints * percent / 100);
}
