/**
 * @file outlier.h
 * Outlier detection: endpoints whose failure rate or latency is far above the
 * median of their pool are ejected, and return after a probe with a slow
 * start.
 */
#ifndef FLOW_OUTLIER_H
#define FLOW_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

struct outlier {
    double failure_rate;     /**< moving average of failed calls, 0 to 1 */
    double latency_us;       /**< moving average */
    int64_t last_failure_us; /**< time of the last failure */
    int answers;             /**< since the last ejection */
    int ejections;           /**< in a row */
    bool ejected;
    int64_t until_us;      /**< end of the ejection */
    int64_t slow_start_us; /**< start of the slow start, 0 if none */
};

/** Records the outcome of a finished call. */
void outlier_record_call(struct outlier *o, int64_t now_us, bool ok);

/** Records a latency that does not depend on the length of the answer. */
void outlier_record_latency(struct outlier *o, int64_t latency_us);

/** Returns the failure rate for routing. The rate halves every 5 s without a
 * failure, so that an endpoint avoided for failures gets calls again. */
double outlier_failure_rate(const struct outlier *o, int64_t now_us);

/** Returns true if the endpoint is far above the pool's medians, which are
 * taken over the moving averages of its endpoints. */
bool outlier_detected(const struct outlier *o, double median_failures,
                      double median_latency_us);

/** Ejects the endpoint for 5 s, doubled with each ejection in a row, up to
 * 60 s. */
void outlier_eject(struct outlier *o, int64_t now_us);

/** Ends the ejection; the endpoint's share of its limit grows for 10 s. */
void outlier_end_ejection(struct outlier *o, int64_t now_us);

/** Returns the share of the limit that may be used, in (0, 1]. */
double outlier_limit_share(const struct outlier *o, int64_t now_us);

/** Returns the maximum number of ejected endpoints of a pool. */
int outlier_ejected_max(int endpoints, int64_t percent);

#endif
