#include "forward/stage_order.h"

#include <stdlib.h>

static int
compare_i64(int64_t a, int64_t b)
{
    return (a > b) - (a < b);
}

static int
compare_main(const void *pa, const void *pb)
{
    const struct stage_order_entry *a = pa;
    const struct stage_order_entry *b = pb;
    if (a->band != b->band) {
        return a->band - b->band;
    }
    if (a->holder != b->holder) {
        return a->holder - b->holder;
    }
    if (a->team_excess < b->team_excess || a->team_excess > b->team_excess) {
        return a->team_excess < b->team_excess ? -1 : 1;
    }
    if (a->time_us != b->time_us) {
        return compare_i64(a->time_us, b->time_us);
    }
    return compare_i64(a->received_us, b->received_us);
}

/* Order of the reserve: jobs that hold memory, and then the ones that have
 * begun to starve last, since they are the least late of those. */
static int
compare_reserve(const void *pa, const void *pb)
{
    const struct stage_order_entry *a =
        ((const struct stage_order_ref *)pa)->entry;
    const struct stage_order_entry *b =
        ((const struct stage_order_ref *)pb)->entry;
    if (a->holder != b->holder) {
        return a->holder - b->holder;
    }
    return compare_i64(b->starving_us, a->starving_us);
}

static int64_t
starving_us(const struct stage_order_job *job)
{
    return job->received_us +
           (job->latest_useful_start_us - job->received_us) / 2;
}

void
stage_order_classify(const struct stage_order_job *job, int64_t now_us,
                     struct stage_order_entry *out)
{
    bool is_late = now_us > job->latest_start_us;
    out->holder = job->has_started ? 0 : job->holds_large_results ? 1 : 2;
    /* Two bands for each rank: jobs that can be on time, then late jobs of the
     * rank before. */
    out->band = 2 * job->rank + (is_late ? 3 : 0);
    out->rank = job->rank;
    out->received_us = job->received_us;
    out->team_excess = job->team_excess;
    out->time_us = is_late ? -job->latest_start_us : job->latest_start_us;
    out->starving_us = starving_us(job);
    out->in_reserve = out->holder < 2 || now_us >= out->starving_us;
    out->from_reserve = out->is_placed = false;
}

int64_t
stage_order_charge(int64_t credit, bool from_reserve, int pieces, int batch)
{
    if (from_reserve) {
        return credit - (int64_t)pieces * (STAGE_ORDER_RESERVE_SHARE - 1);
    }
    int64_t limit = (int64_t)batch * (STAGE_ORDER_RESERVE_SHARE - 1);
    return credit + pieces < limit ? credit + pieces : limit;
}

int64_t
stage_order_arrange(struct stage_order_entry *entries, int count,
                    int64_t credit, int batch, struct stage_order_entry *out,
                    struct stage_order_ref *scratch)
{
    int reserved = 0;
    int main_at = 0;
    int reserve_at = 0;
    qsort(entries, (size_t)count, sizeof(entries[0]), compare_main);
    int most_urgent = count > 0 ? entries[0].rank : 0;
    for (int i = 1; i < count; i++) {
        most_urgent =
            entries[i].rank < most_urgent ? entries[i].rank : most_urgent;
    }
    for (int i = 0; i < count; i++) {
        if (entries[i].in_reserve && entries[i].rank > most_urgent) {
            scratch[reserved++].entry = &entries[i];
        }
    }
    qsort(scratch, (size_t)reserved, sizeof(scratch[0]), compare_reserve);
    if (reserved == 0) {
        credit = credit > 0 ? 0 : credit;
    }
    int64_t kept = credit;
    for (int n = 0; n < count; n++) {
        while (reserve_at < reserved && scratch[reserve_at].entry->is_placed) {
            reserve_at++;
        }
        while (main_at < count && entries[main_at].is_placed) {
            main_at++;
        }
        bool from_reserve =
            credit >= STAGE_ORDER_RESERVE_SHARE - 1 && reserve_at < reserved;
        struct stage_order_entry *e =
            from_reserve ? scratch[reserve_at].entry : &entries[main_at];
        e->is_placed = true;
        e->from_reserve = from_reserve;
        credit = stage_order_charge(credit, from_reserve, e->pieces, batch);
        out[n] = *e;
    }
    return kept;
}
