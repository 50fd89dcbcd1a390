#include "flow/timers.h"

#include <stdlib.h>

#include "base/str.h"

void
timers_add(struct timers *t, int64_t at_us, enum timer_kind kind, uint64_t id)
{
    if (t->count == t->cap) {
        t->cap = t->cap ? t->cap * 2 : 64;
        t->heap = mem_realloc(t->heap, t->cap, sizeof(*t->heap));
    }
    size_t i = t->count++;
    while (i > 0 && t->heap[(i - 1) / 2].at_us > at_us) {
        t->heap[i] = t->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    t->heap[i] = (struct timer){at_us, id, kind};
}

bool
timers_pop_due(struct timers *t, int64_t now_us, struct timer *out)
{
    if (t->count == 0 || t->heap[0].at_us > now_us) {
        return false;
    }
    *out = t->heap[0];
    struct timer last = t->heap[--t->count];
    size_t i = 0;
    for (;;) {
        size_t c = 2 * i + 1;
        if (c >= t->count) {
            break;
        }
        if (c + 1 < t->count && t->heap[c + 1].at_us < t->heap[c].at_us) {
            c++;
        }
        if (t->heap[c].at_us >= last.at_us) {
            break;
        }
        t->heap[i] = t->heap[c];
        i = c;
    }
    t->heap[i] = last;
    return true;
}

int64_t
timers_next_due_us(const struct timers *t)
{
    return t->count ? t->heap[0].at_us : INT64_MAX;
}

void
timers_free(struct timers *t)
{
    free(t->heap);
    *t = (struct timers){0};
}
