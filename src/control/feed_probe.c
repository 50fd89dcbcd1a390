#include "control/feed_state.h"

/* A call that gets no answer has lasted long enough itself. The return of the
 * store must be noticed within 0.8 s: removed records stay in effect for 2.2 s
 * from then, and must not when this node counts as connected, after 3 s. */
#define PROBE_SILENT_INTERVAL_US (150 * MS)
/* The list of nodes may be older than the other data. It is queried at this
 * interval while its calls fail and those for the operator's records do not.
 */
#define NODES_PROBE_INTERVAL_US (2 * SECOND)

void
feed_schedule_probe(struct feed *f, int64_t now_us, struct range_watch *rw,
                    bool silent)
{
    int64_t interval_us =
        silent ? PROBE_SILENT_INTERVAL_US : PROBE_INTERVAL_US;
    if (rw->range == FEED_RANGE_NODES) {
        interval_us = NODES_PROBE_INTERVAL_US;
    }
    rw->next_call_us = now_us + interval_us / 2 +
                       (int64_t)rng_below(&f->rng, (uint64_t)interval_us);
    feed_reject_queries(f, now_us, rw);
}

int64_t
feed_probe_due_us(const struct range_watch *rw)
{
    return rw->failing && !rw->via_node && !rw->answering_us
               ? rw->call_sent_us + PROBE_TIMEOUT_MS * MS
               : INT64_MAX;
}

void
feed_supersede_probe(struct feed *f, int64_t now_us, struct range_watch *rw)
{
    if (rw->busy && now_us >= feed_probe_due_us(rw)) {
        rw->late_call_id = rw->call_id;
        rw->late_sent_us = rw->call_sent_us;
        rw->call_id = 0;
        rw->busy = false;
        feed_schedule_probe(f, now_us, rw, true);
    }
}

bool
feed_take_late_probe(struct range_watch *rw, uint64_t op)
{
    if (!rw->late_call_id || op != rw->late_call_id || rw->answering_us) {
        return false;
    }
    rw->call_id = rw->late_call_id;
    rw->call_sent_us = rw->late_sent_us;
    rw->call_wait_us = PROBE_WAIT_MS * MS;
    rw->late_call_id = 0;
    rw->via_node = 0;
    rw->busy = true;
    return true;
}
