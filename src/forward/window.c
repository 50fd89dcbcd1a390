#include "forward/window.h"

#include <string.h>

/* Part of the limit that all nodes use together. The rest covers sends that
 * cross the edge of a window and nodes that do not know of each other yet. */
#define USED_SHARE 0.75

void
window_init(struct window *w, int64_t length_us)
{
    memset(w, 0, sizeof(*w));
    /* One slot more than the length, as the oldest slot is partly outside of
     * the window. */
    w->slot_us = length_us / (WINDOW_SLOTS - 1) + 1;
}

static void
window_advance(struct window *w, int64_t now_us)
{
    int64_t slot = now_us / w->slot_us;
    if (slot - w->newest >= WINDOW_SLOTS) {
        memset(w->counts, 0, sizeof(w->counts));
        w->total = 0;
        w->newest = slot;
    }
    while (w->newest < slot) {
        w->newest++;
        int *count = &w->counts[w->newest % WINDOW_SLOTS];
        w->total -= *count;
        *count = 0;
    }
}

void
window_add(struct window *w, int64_t now_us, int n)
{
    window_advance(w, now_us);
    w->counts[w->newest % WINDOW_SLOTS] += n;
    w->total += n;
}

void
window_remove(struct window *w, int64_t now_us, int64_t added_us, int n)
{
    int64_t slot = added_us / w->slot_us;
    window_advance(w, now_us);
    if (w->newest - slot < WINDOW_SLOTS) {
        w->counts[slot % WINDOW_SLOTS] -= n;
        w->total -= n;
    }
}

int
window_sum(struct window *w, int64_t now_us)
{
    window_advance(w, now_us);
    return w->total;
}

void
repeat_budget_init(struct repeat_budget *b, const struct repeat_limit *r,
                   int64_t predecessor_until_us)
{
    b->full_share_from_us =
        predecessor_until_us ? predecessor_until_us + r->window_us : 0;
    window_init(&b->requests, r->window_us);
    window_init(&b->repeats, r->window_us);
}

void
repeat_budget_request(struct repeat_budget *b, int64_t now_us)
{
    window_add(&b->requests, now_us, 1);
}

bool
repeat_budget_allows(struct repeat_budget *b, const struct repeat_limit *r,
                     int nodes, int64_t now_us)
{
    /* After a restart, the share that an earlier process is sure to have left.
     */
    double used = now_us < b->full_share_from_us ? 1 - USED_SHARE : USED_SHARE;
    double share = used * (r->ratio * window_sum(&b->requests, now_us) +
                           (double)r->slack / nodes);
    return window_sum(&b->repeats, now_us) + 1 <= share;
}

bool
repeat_budget_take(struct repeat_budget *b, const struct repeat_limit *r,
                   int nodes, int64_t now_us)
{
    if (!repeat_budget_allows(b, r, nodes, now_us)) {
        return false;
    }
    window_add(&b->repeats, now_us, 1);
    return true;
}

void
repeat_budget_give_back(struct repeat_budget *b, int64_t now_us,
                        int64_t taken_us)
{
    window_remove(&b->repeats, now_us, taken_us, 1);
}

void
repeat_budget_move(struct repeat_budget *b, int64_t now_us, int64_t taken_us)
{
    window_remove(&b->repeats, now_us, taken_us, 1);
    window_add(&b->repeats, now_us, 1);
}
