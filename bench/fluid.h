/**
 * @file fluid.h
 * Upper bound of the share of requests that can be answered in time, by a
 * fluid model: the requests of each pipeline that arrive within 100 ms form a
 * cohort; each pool serves the class with the least work per request first and
 * the oldest cohort first, and drops cohorts that can't meet their deadline.
 * The bound of a pipeline is that of its worst pool.
 */
#ifndef BENCH_FLUID_H
#define BENCH_FLUID_H

#define FLUID_STEP_US 100000
#define FLUID_CLASS_COUNT 3

struct fluid_pool {
    int steps;              /**< measured steps of arrivals */
    const double *capacity; /**< slot seconds a step; steps + tail elements */
    int tail;               /**< steps after the last arrival */
    const double *arrivals[FLUID_CLASS_COUNT]; /**< requests a step */
    double work[FLUID_CLASS_COUNT];            /**< slot seconds a request */
    int deadline[FLUID_CLASS_COUNT]; /**< steps that a request may wait */
};

/** Writes the share of each class that is served; 1 for a class that has no
 * work in this pool. */
void fluid_compute_bound(const struct fluid_pool *p,
                         double share[FLUID_CLASS_COUNT]);

#endif
