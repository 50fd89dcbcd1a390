#include "base/log.h"
#include "control/feed_state.h"

/* What this node knows stays in effect until the lists of the new era are
 * complete. */
static void
start_era(struct feed *f, int64_t now_us)
{
    f->routing_revision = 0;
    feed_restart_registration(f, now_us);
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        struct range_watch *rw = &f->range_watches[i];
        feed_restart_range(rw, now_us);
        rw->revision = 0;
        feed_trim_cached_changes(rw, 0);
        feed_reject_queries(f, now_us, rw);
    }
}

bool
feed_accept_era(struct feed *f, int64_t now_us, const struct kv_result *r)
{
    int64_t before = f->era;
    if (r->era == 0 || r->era == before) {
        return true;
    }
    if (r->era < before) {
        LOG_EVENT(LOG_WARN, "store_answer_old", LOG_INT("era", r->era),
                  LOG_INT("known", before), LOG_INT("revision", r->revision));
        return false;
    }
    f->era = r->era;
    LOG_EVENT(LOG_WARN, "store_era", LOG_INT("era", r->era),
              LOG_INT("before", before), LOG_INT("revision", r->revision),
              LOG_INT("http_status", r->http_status));
    if (!f->answered) {
        return true;
    }
    start_era(f, now_us);
    return false;
}
