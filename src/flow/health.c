#include "flow/health.h"

#include <stdlib.h>

#include "base/clean.h"
#include "flow/call.h"
#include "flow/credit.h"
#include "flow/pool.h"
#include "flow/request.h"

/* A probe without a result is repeated after this time. */
#define PROBE_RETRY_US (1 * SECOND)
/* An endpoint without a report for this time may have become cold unnoticed.
 * This is half of the time within which all nodes must know of a cold start.
 */
#define REPORT_STALE_US (1 * SECOND)
#define SLOW_FIRST_BYTE_FACTOR 4
#define SLOW_FIRST_BYTES_MAX 3
#define OUTLIER_CHECK_ANSWERS 10
#define REFUSED_BACKOFF_US (250 * MS)

/* Counts the calls in flight without a valid credit, which the owner of a cold
 * endpoint does not know of. */
static int
count_calls_without_credit(const struct flow *f, const struct endpoint *ep)
{
    int n = 0;
    size_t at = 0;
    struct call *c;
    if (ep->in_flight == 0) {
        return 0;
    }
    while ((c = map_next(&f->calls, &at))) {
        n += c->ep == ep && !credit_is_valid(f, c->credit);
    }
    return n;
}

/* Notices are emitted at the end of the step, so that calls that ended in it
 * are no longer counted. */
static void
schedule_cold_notice(struct flow *f, struct endpoint *ep, bool detected)
{
    ep->notice_detected |= detected;
    if (!ep->notice_due) {
        ep->notice_due = true;
        ep->notice_next = f->notice_due;
        f->notice_due = ep;
    }
}

void
health_schedule_cold_notice(struct flow *f, struct endpoint *ep)
{
    schedule_cold_notice(f, ep, false);
}

void
health_emit_cold_notices(struct flow *f)
{
    while (f->notice_due) {
        struct endpoint *ep = f->notice_due;
        f->notice_due = ep->notice_next;
        core_add_control_message(f, CONTROL_REQUEST_COLD)->cold =
            (struct cold_notice){
                .endpoint = core_copy_str(f, ep->id),
                .start_id = core_copy_str(f, ep->start_id),
                .in_flight = ep->uncredited_calls_sent =
                    count_calls_without_credit(f, ep),
                .detected = ep->notice_detected,
            };
        ep->notice_due = ep->notice_detected = false;
    }
}

void
health_mark_cold(struct flow *f, struct endpoint *ep)
{
    if (ep->cold || !f->full_policy) {
        return;
    }
    ep->cold = true;
    ep->detected = true;
    ep->slow_first_tokens = 0;
    f->counts[COUNT_COLD]++;
    schedule_cold_notice(f, ep, true);
    pool_schedule_dispatch(f, ep->pool);
}

void
health_call_ended(struct flow *f, struct endpoint *ep)
{
    if (f->full_policy && ep->cold && ep->uncredited_calls_sent > 0) {
        schedule_cold_notice(f, ep, false);
    }
}

void
health_connection_refused(struct flow *f, struct endpoint *ep)
{
    if (!f->full_policy) {
        return;
    }
    /* On this notice the owner restarts the warm-up at the lowest level. */
    if (ep->cold) {
        schedule_cold_notice(f, ep, true);
    }
    health_mark_cold(f, ep);
    /* Each new request would be sent to a dead endpoint that still has
     * credits. */
    int64_t wait = REFUSED_BACKOFF_US
                   << (ep->refused_connections < 4 ? ep->refused_connections
                                                   : 4);
    ep->refused_connections++;
    ep->credit_retry_us = f->now_us + wait;
    timers_add(&f->timers, ep->credit_retry_us, TIMER_POOL, ep->pool->hash);
    credit_release_unused(f, ep);
}

void
health_apply_report(struct flow *f, struct endpoint *ep,
                    const struct endpoint_report *report)
{
    ep->answer_report_us = f->now_us;
    if (report->start_id.len && !str_eq(report->start_id, ep->start_id)) {
        bool restarted = ep->start_id.len > 0;
        str_free(&ep->start_id);
        ep->start_id = str_dup(report->start_id);
        if (restarted) {
            ep->leaving = false;
            hist_init(&ep->warm, 256);
            if (ep->cold && f->full_policy) {
                schedule_cold_notice(f, ep, true);
            }
            health_mark_cold(f, ep);
        }
    }
    if (report->leaving) {
        ep->leaving = true;
        pool_schedule_dispatch(f, ep->pool);
    }
    if (report->has_load) {
        ep->reported_load = report->in_flight + report->queued;
        ep->reported_us = f->now_us;
        limit_apply_report(&ep->limit, report->in_flight, report->queued,
                           ep->in_flight + 1);
        if (report->cold) {
            health_mark_cold(f, ep);
        }
    }
}

void
health_record_first_byte(struct flow *f, struct endpoint *ep, int64_t us)
{
    if (ep->cold) {
        return;
    }
    int64_t p95 = estimate_quantile_or(&ep->warm, 0.95, -1);
    if (p95 > 0 && us > SLOW_FIRST_BYTE_FACTOR * p95) {
        /* Load reports state whether the endpoint is cold; a slow first byte
         * of an endpoint that reports warm is caused by queueing. */
        if (ep->reported_us) {
            return;
        }
        if (++ep->slow_first_tokens >= SLOW_FIRST_BYTES_MAX) {
            health_mark_cold(f, ep);
        }
        return;
    }
    ep->slow_first_tokens = 0;
    hist_add(&ep->warm, us);
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

static double
median(double *v, int n)
{
    qsort(v, (size_t)n, sizeof(*v), compare_doubles);
    return n ? v[(n - 1) / 2] : 0;
}

static void
eject_endpoint(struct flow *f, struct endpoint *ep)
{
    outlier_eject(&ep->outlier, f->now_us);
    f->counts[COUNT_EJECTIONS]++;
    timers_add(&f->timers, ep->outlier.until_us, TIMER_ENDPOINT, ep->hash);
}

void
health_eject_if_outlier(struct flow *f, struct endpoint *ep)
{
    struct pool *p = ep->pool;
    if (ep->outlier.answers % OUTLIER_CHECK_ANSWERS || ep->outlier.ejected) {
        return;
    }
    CLEANUP_FREE double *failure_rates =
        mem_calloc((size_t)p->count, sizeof(*failure_rates));
    CLEANUP_FREE double *latency =
        mem_calloc((size_t)p->count, sizeof(*latency));
    int rate_count = 0;
    int latency_count = 0;
    int ejected = 0;
    for (int i = 0; i < p->count; i++) {
        const struct outlier *o = &p->endpoints[i]->outlier;
        ejected += o->ejected;
        if (o->answers > 0 && !o->ejected) {
            failure_rates[rate_count++] = o->failure_rate;
        }
        if (o->latency_us > 0 && !o->ejected) {
            latency[latency_count++] = o->latency_us;
        }
    }
    int ejected_max =
        outlier_ejected_max(p->count, p->settings[FLEET_EJECT_MAX_PCT]);
    if (ejected < ejected_max &&
        outlier_detected(&ep->outlier, median(failure_rates, rate_count),
                         median(latency, latency_count))) {
        eject_endpoint(f, ep);
    }
}

void
health_start_probe(struct flow *f, struct endpoint *ep)
{
    if (ep->probe_us && f->now_us - ep->probe_us < PROBE_RETRY_US) {
        return;
    }
    ep->probe_us = f->now_us;
    f->counts[COUNT_PROBES]++;
    struct buf url = {0};
    buf_append_str(&url, ep->url);
    buf_append_str(&url, STR_LIT("/health"));
    struct str url_copy = core_copy_str(f, buf_str(&url));
    buf_free(&url);
    struct flow_action *a = core_add_action(f, FLOW_ACT_PROBE);
    a->probe.endpoint = ep->id;
    a->probe.url = url_copy;
}

void
health_probe_if_stale(struct flow *f, struct endpoint *ep)
{
    if (f->full_policy && ep->answer_report_us &&
        f->now_us - ep->answer_report_us >= REPORT_STALE_US) {
        health_start_probe(f, ep);
    }
}

void
health_finish_probe(struct flow *f, struct str endpoint, bool ok,
                    const struct endpoint_report *report)
{
    struct endpoint *ep = map_get(&f->endpoints, hash64(endpoint));
    if (!ep) {
        return;
    }
    ep->probe_us = 0;
    bool restarted_or_dead =
        !ok || (report->start_id.len && ep->start_id.len &&
                !str_eq(report->start_id, ep->start_id));
    if (ok) {
        health_apply_report(f, ep, report);
    }
    else {
        health_mark_cold(f, ep);
    }
    struct request *r = ep->probe_waiters;
    ep->probe_waiters = NULL;
    while (r) {
        struct request *next = r->probe_next;
        r->probed_endpoint = NULL;
        call_on_crash_probe(f, r, restarted_or_dead);
        r = next;
    }
    call_on_probe_result(f, ep, ok);
    if (ep->outlier.ejected && f->now_us >= ep->outlier.until_us) {
        if (ok) {
            outlier_end_ejection(&ep->outlier, f->now_us);
            pool_schedule_dispatch(f, ep->pool);
        }
        else {
            eject_endpoint(f, ep);
        }
    }
}

void
health_ejection_expired(struct flow *f, uint64_t hash)
{
    struct endpoint *ep = map_get(&f->endpoints, hash);
    if (ep && ep->outlier.ejected && f->now_us >= ep->outlier.until_us) {
        health_start_probe(f, ep);
        timers_add(&f->timers, f->now_us + PROBE_RETRY_US, TIMER_ENDPOINT,
                   hash);
    }
}

void
health_apply_notice(struct flow *f, const struct endpoint_notice *n)
{
    struct endpoint *ep = map_get(&f->endpoints, hash64(n->endpoint));
    if (!ep || !f->full_policy) {
        return;
    }
    ep->detected = false;
    ep->cold = n->cold;
    /* A start that another node has already reported is not treated as a
     * restart when this node first sees it. */
    if (!str_eq(n->start_id, ep->start_id)) {
        str_free(&ep->start_id);
        ep->start_id = str_dup(n->start_id);
    }
    if (n->cold) {
        schedule_cold_notice(f, ep, false);
    }
    else {
        ep->slow_first_tokens = 0;
        credit_release_unused(f, ep);
    }
    pool_schedule_dispatch(f, ep->pool);
}
