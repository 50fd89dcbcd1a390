#include "forward/stop.h"

#include <math.h>
#include <stdlib.h>

#include "forward/state.h"

/* Weights of a new value, as usual for round-trip times (RFC 6298). */
#define MEAN_WEIGHT (1.0 / 8)
#define DEVIATION_WEIGHT (1.0 / 4)
/* Deviations above the mean within which a request is expected to end. One
 * that may be repeated costs its caller a repeat if it does not. */
#define DEVIATIONS 4
#define DEVIATIONS_REPEATABLE 1
/* Interval between checks of the requests that wait. */
#define CHECK_US (100 * MS)
/* A healthy endpoint may fall silent for about a second. */
#define SILENCE_US (1500 * MS)

void
call_duration_add(struct call_duration *d, int64_t us)
{
    double x = (double)us;
    if (d->count++ == 0) {
        d->mean_us = x;
        d->deviation_us = x / 2;
        return;
    }
    d->deviation_us +=
        DEVIATION_WEIGHT * (fabs(x - d->mean_us) - d->deviation_us);
    d->mean_us += MEAN_WEIGHT * (x - d->mean_us);
}

bool
stop_can_finish(int64_t finish_by_us, const struct stop_query *q)
{
    const struct call_duration *d = q->duration;
    if (q->deadline_us <= finish_by_us) {
        return true;
    }
    if (!d || d->count == 0) {
        return false;
    }
    double usual =
        q->repeatable ? d->mean_us + DEVIATIONS_REPEATABLE * d->deviation_us
                      : d->mean_us + DEVIATIONS * d->deviation_us + SILENCE_US;
    return (double)q->send_us + usual <= (double)finish_by_us;
}

void
forward_begin_stop(struct forward *f, int64_t accept_until_us,
                   int64_t finish_by_us)
{
    f->accept_until_us = accept_until_us;
    f->finish_by_us = finish_by_us;
}

bool
stop_refuses(const struct forward *f, const struct request *r, int64_t send_us)
{
    if (f->finish_by_us == INT64_MAX) {
        return false;
    }
    const struct stop_query q = {
        send_us, r->deadline_us, req_is_repeatable(r),
        map_get(&f->durations, hash64(r->route->name))};
    return !stop_can_finish(f->finish_by_us, &q);
}

void
stop_record_call(struct forward *f, const struct request *r, int64_t now_us)
{
    uint64_t route = hash64(r->route->name);
    struct call_duration *d = map_get(&f->durations, route);
    if (!d) {
        d = mem_calloc(1, sizeof(*d));
        map_put(&f->durations, route, d);
    }
    call_duration_add(d, now_us - r->sent_us);
}

/* Whether a request that waits for its stages or for an endpoint can no longer
 * end in time, even if it has to wait for nothing else. */
static bool
waits_too_long(const struct forward *f, const struct request *r,
               int64_t now_us)
{
    return !r->call && stop_refuses(f, r, now_us + pieces_remaining_us(r));
}

static void
end_requests(struct forward *f, int64_t now_us, bool all)
{
    GPtrArray *ends = g_ptr_array_new();
    struct request *r;
    size_t at = 0;
    while ((r = map_next(&f->requests, &at))) {
        if (all || waits_too_long(f, r, now_us)) {
            g_ptr_array_add(ends, r);
        }
    }
    for (guint i = 0; i < ends->len; i++) {
        req_refuse(f, now_us, g_ptr_array_index(ends, i), ERRKIND_NOT_READY,
                   STOP_REFUSAL, 0);
    }
    g_ptr_array_free(ends, TRUE);
}

void
forward_end_requests(struct forward *f, int64_t now_us)
{
    end_requests(f, now_us, true);
}

void
stop_run(struct forward *f, int64_t now_us)
{
    if (f->finish_by_us != INT64_MAX && now_us >= f->stop_check_us) {
        f->stop_check_us = now_us + CHECK_US;
        end_requests(f, now_us, false);
    }
}

void
stop_free(struct forward *f)
{
    size_t at = 0;
    struct call_duration *d;
    while ((d = map_next(&f->durations, &at))) {
        free(d);
    }
    map_free(&f->durations);
}
