#include "daemon/gateway_stop.h"

#include <sys/param.h>

#define MS 1000LL
/* The process ends this long before it would be killed: a tenth of the limit,
 * and at most half a second. */
#define MARGIN_SHARE 10
#define MARGIN_MAX_US (500 * MS)
/* Time to send the answers that end open requests. */
#define FLUSH_SHARE 40
#define FLUSH_MAX_US (100 * MS)
/* How long the node waits for the end of its registration; its last requests
 * finish meanwhile. */
#define DEREGISTER_US (400 * MS)

void
gateway_stop_begin(struct gateway_stop *s, int64_t now_us, int64_t limit_us,
                   int64_t balancer_us)
{
    int64_t margin = MIN(limit_us / MARGIN_SHARE, MARGIN_MAX_US);
    int64_t flush = MIN(limit_us / FLUSH_SHARE, FLUSH_MAX_US);
    s->phase = GATEWAY_NOT_READY;
    s->plan.exit_by_us = now_us + limit_us - margin;
    s->plan.finish_by_us = s->plan.exit_by_us - flush;
    s->plan.accept_until_us = MIN(now_us + balancer_us, s->plan.finish_by_us);
}

enum gateway_phase
gateway_stop_advance(struct gateway_stop *s, int64_t now_us,
                     const struct gateway_stop_report *r)
{
    const struct gateway_stop_plan *p = &s->plan;
    if (s->phase == GATEWAY_NOT_READY && now_us >= p->accept_until_us) {
        s->phase = GATEWAY_DRAINING;
        return s->phase;
    }
    bool applied = r->applied == s->phase;
    bool idle = applied && r->open_requests == 0;
    if (s->phase == GATEWAY_DRAINING &&
        (now_us >= p->finish_by_us ||
         (idle && (r->deregistered ||
                   now_us >= p->accept_until_us + DEREGISTER_US)))) {
        s->phase = GATEWAY_FINISHING;
        s->flushed_us = now_us + (p->exit_by_us - p->finish_by_us);
        return s->phase;
    }
    /* Requests that are not received completely are refused in this phase;
     * their callers are given some time to read that. */
    if (s->phase == GATEWAY_FINISHING &&
        (now_us >= p->exit_by_us ||
         (idle && (r->receiving == 0 || now_us >= s->flushed_us)))) {
        s->phase = GATEWAY_STOPPING;
    }
    return s->phase;
}
