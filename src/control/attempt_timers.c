#include "control/attempt_timers.h"

#include <stdlib.h>

void
attempt_timers_free(struct attempt_timers *t)
{
    free(t->heap);
    *t = (struct attempt_timers){0};
}

static void
swap(struct attempt_timers *t, size_t i, size_t j)
{
    struct attempt_timer tmp = t->heap[i];
    t->heap[i] = t->heap[j];
    t->heap[j] = tmp;
}

void
attempt_timers_add(struct attempt_timers *t, int64_t at_us,
                   const struct attempt_id *id)
{
    if (t->count == t->cap) {
        t->cap = t->cap ? t->cap * 2 : 64;
        t->heap = mem_realloc(t->heap, t->cap, sizeof(*t->heap));
    }
    size_t i = t->count++;
    t->heap[i] = (struct attempt_timer){at_us, *id};
    while (i > 0 && t->heap[(i - 1) / 2].at_us > t->heap[i].at_us) {
        swap(t, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
}

bool
attempt_timers_pop(struct attempt_timers *t, int64_t now_us,
                   struct attempt_timer *out)
{
    if (t->count == 0 || t->heap[0].at_us > now_us) {
        return false;
    }
    *out = t->heap[0];
    t->heap[0] = t->heap[--t->count];
    for (size_t i = 0;;) {
        size_t least = i;
        for (size_t k = 2 * i + 1; k <= 2 * i + 2 && k < t->count; k++) {
            least = t->heap[k].at_us < t->heap[least].at_us ? k : least;
        }
        if (least == i) {
            return true;
        }
        swap(t, i, least);
        i = least;
    }
}

int64_t
attempt_timers_next(const struct attempt_timers *t)
{
    return t->count ? t->heap[0].at_us : INT64_MAX;
}
