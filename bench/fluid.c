#include "bench/fluid.h"

#include <stdlib.h>

#include "base/str.h"

/* Serves one class from its oldest live cohort with the capacity left. */
static double
serve(const struct fluid_pool *p, int k, double *left, int now, double room)
{
    double done = 0;
    int first = now - p->deadline[k];
    for (int i = first < 0 ? 0 : first; i <= now && i < p->steps; i++) {
        double can = room / p->work[k];
        double n = left[i] < can ? left[i] : can;
        left[i] -= n;
        room -= n * p->work[k];
        done += n;
        if (room <= 0) {
            break;
        }
    }
    return done;
}

void
fluid_bound(const struct fluid_pool *p, double share[FLUID_CLASSES])
{
    int order[FLUID_CLASSES];
    double *left[FLUID_CLASSES];
    double total[FLUID_CLASSES] = {0};
    double done[FLUID_CLASSES] = {0};
    for (int k = 0; k < FLUID_CLASSES; k++) {
        int at = k;
        while (at > 0 && p->work[order[at - 1]] > p->work[k]) {
            order[at] = order[at - 1];
            at--;
        }
        order[at] = k;
        left[k] = mem_zero((size_t)p->steps, sizeof(double));
        for (int i = 0; i < p->steps; i++) {
            left[k][i] = p->arrivals[k][i];
            total[k] += left[k][i];
        }
    }
    for (int now = 0; now < p->steps + p->tail; now++) {
        double room = p->capacity[now];
        for (int o = 0; o < FLUID_CLASSES; o++) {
            int k = order[o];
            if (p->work[k] > 0) {
                double n = serve(p, k, left[k], now, room);
                done[k] += n;
                room -= n * p->work[k];
            }
        }
    }
    for (int k = 0; k < FLUID_CLASSES; k++) {
        bool idle = p->work[k] <= 0 || total[k] <= 0;
        share[k] = idle ? 1 : done[k] / total[k];
        free(left[k]);
    }
}
