#include "forward/state.h"

/* Nodes that are notified: those that follow in the order of hashes, as with
 * notices of prompts, so that connections to them exist as a rule. In a larger
 * fleet some nodes do not recognize a caller that returns. */
#define NOTIFY_MAX_NODES 32

void
returns_refuse(struct forward *f, int64_t now_us, struct request *r,
               enum errkind kind, const char *why, int64_t retry_ms,
               const struct service_state *full)
{
    if (!forward_uses_teams(f) || r->may_have_run || r->call ||
        r->response_started) {
        req_refuse(f, now_us, r, kind, why, retry_ms);
        return;
    }
    const struct return_query q = {
        .service = full->hash,
        .content = req_content_key(&r->in, r->route),
        .rank = r->priority,
        .waited_us = now_us - r->first_attempt_us,
        .returning = r->wait.returning,
        .earliest_us = retry_ms * MS,
        /* Its next attempt has a new time for the start of the response. */
        .remaining_us = r->deadline_us - now_us};
    struct return_plan plan = return_slots_plan(f->returns, &q, now_us);
    if (plan.promised) {
        f->counters.returns_promised++;
    }
    else {
        f->counters.returns_unpromised++;
    }
    /* Rounded up, so that the caller does not return early. */
    req_refuse(f, now_us, r, kind, why, (plan.delay_us + MS - 1) / MS);
}

void
returns_arrive(struct forward *f, int64_t now_us, struct request *r)
{
    int64_t first_us;
    if (!forward_uses_teams(f)) {
        return;
    }
    switch (return_slots_arrive(f->returns, req_content_key(&r->in, r->route),
                                now_us, &first_us)) {
    case RETURN_NONE:
        break;
    case RETURN_EARLY:
        f->counters.returns_early++;
        break;
    case RETURN_IN_TIME:
        f->counters.returns_in_time++;
        r->wait.returning = true;
        r->first_attempt_us = first_us;
        break;
    }
}

void
returns_run(struct forward *f, int64_t now_us)
{
    struct stage_msg m = {.kind = STAGE_MSG_RETURNS};
    while (return_slots_next_notice(f->returns, now_us, &m.returns)) {
        int count = f->cluster_view->alive_count;
        int first = cluster_view_lower_bound(f->cluster_view, f->self);
        f->counters.return_notices++;
        for (int i = 0, notified = 0; i < count && notified < NOTIFY_MAX_NODES;
             i++) {
            const struct cluster_node *n =
                &f->cluster_view->alive[(first + i) % count];
            if (n->hash != f->self && n->address.len > 0) {
                f->io.send_message(f->io.ctx, n->hash, &m);
                notified++;
            }
        }
    }
}
