#include "flow/admit.h"

#include "flow/pool.h"

/* Part of the estimated wait that admission counts. Real waits are shorter
 * than estimated, because of the shares of other teams and because older work
 * is dropped; counting the whole wait leaves too little work queued at the end
 * of a burst. A request that was admitted but cannot meet its deadline is
 * refused before its costly stage. */
#define COUNTED_WAIT_SHARE 0.7

static int64_t
queue_wait_us(const struct flow *f, const struct pool *p,
              const struct request *r)
{
    if (fairq_length(p->queue) == 0) {
        return 0;
    }
    double slots = pool_capacity(f, p);
    int64_t ahead =
        fairq_work_ahead_us(p->queue, r->pipeline->class, r->team->id,
                            r->team_settings[FLEET_TEAM_WEIGHT]);
    return (int64_t)(COUNTED_WAIT_SHARE * (double)ahead /
                     (slots < 1 ? 1 : slots));
}

int64_t
admit_stage_service_us(const struct flow *f, const struct request *r,
                       int stage, double q)
{
    return estimate_service_us(&r->pools[stage]->estimate, f->now_us,
                               estimate_size_class(r->call_body.len),
                               r->pipeline->stages[stage].max_tokens, q);
}

int64_t
admit_later_stages_us(const struct flow *f, const struct request *r)
{
    int64_t sum = 0;
    for (int i = r->stage + 1; i < r->pipeline->stage_count; i++) {
        sum += r->results[i] ? 0 : admit_stage_service_us(f, r, i, 0.5);
    }
    return sum;
}

int64_t
admit_remaining_us(const struct flow *f, const struct request *r)
{
    int64_t sum = 0;
    for (int i = r->stage; i < r->pipeline->stage_count; i++) {
        const struct pool *p = r->pools[i];
        if (r->results[i]) {
            continue;
        }
        sum += admit_stage_service_us(f, r, i, 0.5);
        sum += queue_wait_us(f, p, r);
    }
    return sum;
}

bool
admit_can_meet_deadline(const struct flow *f, const struct request *r,
                        int64_t need_us)
{
    if (f->now_us + need_us <= r->deadline_us) {
        return true;
    }
    const struct pool *p = r->pools[r->stage];
    int in_flight = 0;
    for (int i = 0; i < p->count; i++) {
        in_flight += p->endpoints[i]->in_flight;
    }
    int others = fairq_length(p->queue) - (r->state == REQ_QUEUED);
    return in_flight == 0 && others == 0;
}
