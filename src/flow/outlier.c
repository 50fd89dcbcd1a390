#include "flow/outlier.h"

#include <math.h>

#define ENOUGH 10
#define HALF_LIFE_US 5000000LL
#define EJECT_US 5000000LL
#define EJECT_MAX_US 60000000LL
#define SLOW_START_US 10000000LL
#define FORGET_US 60000000LL

void
outlier_answer(struct outlier *o, int64_t now_us, bool ok)
{
    o->answers++;
    o->failed_us = ok ? o->failed_us : now_us;
    /* The first answers weigh as in a mean with one success before them. */
    double a = o->answers < ENOUGH ? 1.0 / (o->answers + 1) : 1.0 / ENOUGH;
    o->failures += ((ok ? 0 : 1) - o->failures) * a;
}

void
outlier_latency(struct outlier *o, int64_t latency_us)
{
    double us = (double)latency_us;
    o->latency_us += (us - o->latency_us) * (o->latency_us > 0 ? 0.1 : 1);
}

double
outlier_failures(const struct outlier *o, int64_t now_us)
{
    return o->failures *
           exp2(-(double)(now_us - o->failed_us) / (double)HALF_LIFE_US);
}

bool
outlier_far(const struct outlier *o, double median_failures,
            double median_latency_us)
{
    if (o->ejected || o->answers < ENOUGH) {
        return false;
    }
    return o->failures > median_failures + 0.4 ||
           (median_latency_us > 0 && o->latency_us > 4 * median_latency_us);
}

void
outlier_eject(struct outlier *o, int64_t now_us)
{
    if (o->until_us && now_us - o->until_us > FORGET_US) {
        o->ejections = 0;
    }
    int64_t us = EJECT_US << (o->ejections < 4 ? o->ejections : 4);
    o->ejections++;
    o->ejected = true;
    o->until_us = now_us + (us > EJECT_MAX_US ? EJECT_MAX_US : us);
    o->slow_us = 0;
}

void
outlier_return(struct outlier *o, int64_t now_us)
{
    o->ejected = false;
    o->slow_us = now_us;
    o->answers = 0;
    o->failures = 0;
    o->latency_us = 0;
}

double
outlier_share(const struct outlier *o, int64_t now_us)
{
    if (!o->slow_us || now_us - o->slow_us >= SLOW_START_US) {
        return 1;
    }
    return 0.1 + 0.9 * (double)(now_us - o->slow_us) / SLOW_START_US;
}

int
outlier_max(int endpoints, int64_t percent)
{
    return (int)(endpoints * percent / 100);
}
