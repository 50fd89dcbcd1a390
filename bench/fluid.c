#include "bench/fluid.h"

#include <stdlib.h>

#include "base/str.h"

/* Serves one class with the capacity left, from its oldest cohort that can
 * still meet its deadline. @return requests served */
static double
serve(const struct fluid_pool *p, int k, double *unserved, int now,
      double capacity_left)
{
    double done = 0;
    int first = now - p->deadline[k];
    for (int i = first < 0 ? 0 : first; i <= now && i < p->steps; i++) {
        double affordable = capacity_left / p->work[k];
        double n = unserved[i] < affordable ? unserved[i] : affordable;
        unserved[i] -= n;
        capacity_left -= n * p->work[k];
        done += n;
        if (capacity_left <= 0) {
            break;
        }
    }
    return done;
}

void
fluid_compute_bound(const struct fluid_pool *p,
                    double share[FLUID_CLASS_COUNT])
{
    int order[FLUID_CLASS_COUNT];
    double *unserved[FLUID_CLASS_COUNT];
    double total[FLUID_CLASS_COUNT] = {0};
    double done[FLUID_CLASS_COUNT] = {0};
    for (int k = 0; k < FLUID_CLASS_COUNT; k++) {
        int at = k;
        while (at > 0 && p->work[order[at - 1]] > p->work[k]) {
            order[at] = order[at - 1];
            at--;
        }
        order[at] = k;
        unserved[k] = mem_calloc((size_t)p->steps, sizeof(double));
        for (int i = 0; i < p->steps; i++) {
            unserved[k][i] = p->arrivals[k][i];
            total[k] += unserved[k][i];
        }
    }
    for (int now = 0; now < p->steps + p->tail; now++) {
        double capacity_left = p->capacity[now];
        for (int o = 0; o < FLUID_CLASS_COUNT; o++) {
            int k = order[o];
            if (p->work[k] > 0) {
                double n = serve(p, k, unserved[k], now, capacity_left);
                done[k] += n;
                capacity_left -= n * p->work[k];
            }
        }
    }
    for (int k = 0; k < FLUID_CLASS_COUNT; k++) {
        bool idle = p->work[k] <= 0 || total[k] <= 0;
        share[k] = idle ? 1 : done[k] / total[k];
        free(unserved[k]);
    }
}
