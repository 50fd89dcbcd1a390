#include "rollout/traffic.h"

#define PPM 1e6

void
rollout_traffic_apply(struct rollout_traffic *t,
                      const struct rollout_directive *d, double start)
{
    if (!t->directive.active || t->directive.order != d->order) {
        /* Requests in progress stay counted. */
        t->counts.route_count = 0;
        t->longest_us = 0;
        t->credit = start;
    }
    t->directive = *d;
}

enum rollout_class
rollout_traffic_class(const struct rollout_traffic *t, struct str version)
{
    if (!t->directive.active) {
        return ROLLOUT_CLASS_OLD;
    }
    if (str_eq_cstr(version, t->directive.target)) {
        return ROLLOUT_CLASS_NEW;
    }
    return t->directive.rejected[0] &&
                   str_eq_cstr(version, t->directive.rejected)
               ? ROLLOUT_CLASS_REJECTED
               : ROLLOUT_CLASS_OLD;
}

bool
rollout_traffic_allows_new(const struct rollout_traffic *t, int64_t now_us)
{
    return t->directive.share_ppm > 0 && now_us < t->directive.valid_until_us;
}

enum rollout_side
rollout_traffic_choose(struct rollout_traffic *t, int64_t now_us)
{
    if (!rollout_traffic_allows_new(t, now_us)) {
        return ROLLOUT_OLD;
    }
    t->credit += t->directive.share_ppm / PPM;
    if (t->credit < 1) {
        return ROLLOUT_OLD;
    }
    t->credit -= 1;
    return ROLLOUT_NEW;
}

bool
rollout_traffic_is_due(const struct rollout_traffic *t, int64_t now_us)
{
    return rollout_traffic_allows_new(t, now_us) &&
           t->credit + t->directive.share_ppm / PPM >= 1;
}

void
rollout_traffic_take(struct rollout_traffic *t, enum rollout_side side)
{
    t->credit += t->directive.share_ppm / PPM - (side == ROLLOUT_NEW ? 1 : 0);
    /* What new servers could not take in time is not made up for. */
    t->credit = t->credit > 1 ? 1 : t->credit;
}

int
rollout_traffic_servers(const struct rollout_traffic *t,
                        const int count[ROLLOUT_SIDES])
{
    double share = t->directive.share_ppm / PPM;
    int fresh = count[ROLLOUT_NEW];
    if (share >= 1 || count[ROLLOUT_OLD] == 0) {
        return fresh;
    }
    int n = (int)(share * count[ROLLOUT_OLD]);
    n = n < 1 ? 1 : n;
    return n < fresh ? n : fresh;
}

void
rollout_traffic_sent(struct rollout_traffic *t, uint64_t route,
                     enum rollout_side side)
{
    rollout_counts_route(&t->counts, route)->sides[side].sent++;
}

void
rollout_traffic_ended(struct rollout_traffic *t, uint64_t route,
                      enum rollout_side side, bool failed, int64_t duration_us)
{
    rollout_tally_end(&rollout_counts_route(&t->counts, route)->sides[side],
                      failed, duration_us);
    if (side == ROLLOUT_OLD && duration_us > t->longest_us) {
        t->longest_us = duration_us;
    }
}
