/**
 * @file fluid.h
 * Upper bound of attainment: requests as a fluid, cut into cohorts of 100 ms
 * by pipeline; each pool serves the cheapest work first, oldest first, and
 * drops cohorts that can no longer make their deadline. The bound of a
 * pipeline is that of its worst pool.
 */
#ifndef BENCH_FLUID_H
#define BENCH_FLUID_H

#define FLUID_STEP_US 100000
#define FLUID_CLASSES 3

struct fluid_pool {
    int steps;              /**< measured steps of arrivals */
    const double *capacity; /**< slot seconds a step; steps + tail long */
    int tail;               /**< steps after the last arrival */
    const double *arrivals[FLUID_CLASSES]; /**< requests a step */
    double work[FLUID_CLASSES];            /**< slot seconds a request */
    int deadline[FLUID_CLASSES];           /**< steps that it may wait */
};

/** Writes the share served per class; 1 where a class has no work here. */
void fluid_bound(const struct fluid_pool *p, double share[FLUID_CLASSES]);

#endif
