#include "forward/state.h"

/* Half-life of an observed wait. */
#define WAIT_HALF_LIFE_US (400 * MS)
#define WAIT_WEIGHT 0.3

/* Requests of teams above their share wait longer than others of their
 * priority, so their waits are estimated apart. */
static int
wait_index(const struct request *r)
{
    int index = CLAMP(r->priority, 0, WAIT_PRIORITIES - 1);
    return r->share == REQ_SHARE_ABOVE ? WAIT_PRIORITIES + index : index;
}

int64_t
waits_current_us(const struct service_state *s, const struct request *r,
                 int64_t now_us)
{
    int index = wait_index(r);
    int64_t halves = (now_us - s->waits[index].seen_us) / WAIT_HALF_LIFE_US;
    return halves > 8 ? 0 : s->waits[index].us >> halves;
}

void
waits_record(struct service_state *s, const struct request *r, int64_t now_us,
             int64_t wait_us)
{
    double before = (double)waits_current_us(s, r, now_us);
    int index = wait_index(r);
    s->waits[index].us =
        (int64_t)((1 - WAIT_WEIGHT) * before + WAIT_WEIGHT * (double)wait_us);
    s->waits[index].seen_us = now_us;
}

const struct service_state *
waits_slowest_service(int64_t now_us, const struct request *r)
{
    const struct service_state *slowest = r->service;
    int64_t longest = 0;
    for (int i = 0; i < r->route->stage_count; i++) {
        const struct service_state *s = r->stages[i].service;
        if (r->stages[i].count == 0 ||
            r->stages[i].ready == r->stages[i].count) {
            continue;
        }
        int64_t wait = waits_current_us(s, r, now_us);
        if (wait > longest) {
            longest = wait;
            slowest = s;
        }
    }
    return slowest;
}
