/**
 * @file outlier.h
 * Ejection of endpoints whose failure rate or latency is far from the median
 * of their pool, and their return through a probe and a slow start.
 */
#ifndef FLOW_OUTLIER_H
#define FLOW_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

struct outlier {
    double failures;   /**< moving share of failed calls */
    double latency_us; /**< moving average */
    int64_t failed_us; /**< time of the last failure */
    int answers;       /**< since the last ejection */
    int ejections;     /**< in a row */
    bool ejected;
    int64_t until_us; /**< end of the ejection */
    int64_t slow_us;  /**< start of the slow start, 0 if none */
};

/** Learns from a finished call. */
void outlier_answer(struct outlier *o, int64_t now_us, bool ok);

/** Learns a latency that does not depend on the length of the answer. */
void outlier_latency(struct outlier *o, int64_t latency_us);

/** Share of failed calls for routing; it halves every 5 s without a failure,
 * so that an endpoint that is avoided for it gets another try. */
double outlier_failures(const struct outlier *o, int64_t now_us);

/** True if the endpoint is far from the pool's medians; they are of its
 * endpoints' moving values. */
bool outlier_far(const struct outlier *o, double median_failures,
                 double median_latency_us);

/** Ejects for 5 s, doubling to 60 s. */
void outlier_eject(struct outlier *o, int64_t now_us);

/** Ends the ejection; the share of its limit grows for 10 s. */
void outlier_return(struct outlier *o, int64_t now_us);

/** Share of the limit that may be used, in (0, 1]. */
double outlier_share(const struct outlier *o, int64_t now_us);

/** Largest number of ejected endpoints of a pool. */
int outlier_max(int endpoints, int64_t percent);

#endif
