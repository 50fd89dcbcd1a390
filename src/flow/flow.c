#include "flow/flow.h"

#include <inttypes.h>
#include <stdlib.h>

#include "flow/call.h"
#include "flow/claim.h"
#include "flow/core.h"
#include "flow/credit.h"
#include "flow/health.h"
#include "flow/pool.h"
#include "flow/request.h"
#include "flow/stage.h"

struct flow *
flow_new(const struct flow_options *opts)
{
    struct flow *f = mem_calloc(1, sizeof(*f));
    f->opts = *opts;
    f->full_policy = opts->policy == FLOW_POLICY_FULL;
    f->suspects = suspects_new();
    rng_seed(&f->rng, opts->seed);
    return f;
}

void
flow_free(struct flow *f)
{
    if (!f) {
        return;
    }
    size_t at = 0;
    struct call *c;
    while ((c = map_next(&f->calls, &at))) {
        free(c);
    }
    at = 0;
    struct request *r;
    while ((r = map_next(&f->requests, &at))) {
        request_destroy(r);
    }
    map_free(&f->calls);
    map_free(&f->requests);
    claim_free_all(f);
    credit_free_all(f);
    core_free(f);
    pool_free_all(f);
    snapshot_unref(f->snap);
    suspects_free(f->suspects);
    timers_free(&f->timers);
    free(f);
}

static void
run_timers(struct flow *f)
{
    struct timer t;
    while (timers_pop_due(&f->timers, f->now_us, &t)) {
        switch (t.kind) {
        case TIMER_DEADLINE:
            request_on_deadline(f, t.id);
            break;
        case TIMER_RETRY:
            stage_on_timer(f, t.id);
            break;
        case TIMER_SILENCE:
            call_on_silence_timer(f, t.id);
            break;
        case TIMER_HEDGE:
            call_on_hedge_timer(f, t.id);
            break;
        case TIMER_CREDIT:
            credit_on_timer(f, t.id);
            break;
        case TIMER_ENDPOINT:
            health_ejection_expired(f, t.id);
            break;
        case TIMER_POOL: {
            struct pool *p = map_get(&f->pools, t.id);
            if (p) {
                pool_schedule_dispatch(f, p);
            }
            break;
        }
        case TIMER_STAGE_DUE:
        case TIMER_FETCH_TIMEOUT:
        case TIMER_START_TIMEOUT: /* only the forwarding core uses these */
            break;
        }
    }
}

static void
handle_reply(struct flow *f, const struct reply *r)
{
    switch (r->kind) {
    case REPLY_CLAIM:
        claim_on_reply(f, &r->claim);
        break;
    case REPLY_CREDIT:
        credit_on_reply(f, &r->credit);
        break;
    case REPLY_ENDPOINT:
        health_apply_notice(f, &r->endpoint);
        break;
    case REPLY_SUSPECT:
        suspects_apply_notice(f->suspects, f->now_us, r->suspect.content,
                              r->suspect.strikes, r->suspect.hold_us);
        break;
    }
}

static void
handle_event(struct flow *f, const struct flow_event *ev)
{
    switch (ev->kind) {
    case FLOW_EV_TICK:
        break;
    case FLOW_EV_SNAPSHOT:
        pool_apply_snapshot(f, ev->snapshot);
        break;
    case FLOW_EV_FRESHNESS:
        f->fresh_until_us = ev->fresh_until_us;
        pool_schedule_dispatch_all(f);
        break;
    case FLOW_EV_REQUEST:
        request_on_arrival(f, &ev->request);
        break;
    case FLOW_EV_CALLER_GONE:
        request_on_caller_gone(f, ev->caller_gone);
        break;
    case FLOW_EV_CALL_BYTES:
        call_on_bytes(f, ev->call_bytes);
        break;
    case FLOW_EV_CALL_TOKEN:
        call_on_token(f, ev->call_token.attempt, ev->call_token.index,
                      ev->call_token.text);
        break;
    case FLOW_EV_CALL_DONE:
        call_on_answer(f, ev->call_done.attempt, ev->call_done.http_status,
                       ev->call_done.body, &ev->call_done.report);
        break;
    case FLOW_EV_CALL_FAILED:
        call_on_failure(f, ev->call_failed.attempt, ev->call_failed.fault,
                        ev->call_failed.unsent);
        break;
    case FLOW_EV_PROBE:
        health_finish_probe(f, ev->probe.endpoint, ev->probe.ok,
                            &ev->probe.report);
        break;
    case FLOW_EV_CONTROL_REPLY:
        handle_reply(f, &ev->reply);
        break;
    case FLOW_EV_DRAIN:
        f->draining = true;
        break;
    }
}

void
flow_handle_event(struct flow *f, int64_t now_us, const struct flow_event *ev)
{
    core_begin_step(f, now_us);
    claim_expire_abandoned(f);
    /* Timers run first: an event that arrives after a deadline must find the
     * request already refused. */
    run_timers(f);
    handle_event(f, ev);
    health_emit_cold_notices(f);
    while (f->dirty) {
        struct pool *p = f->dirty;
        f->dirty = p->dirty_next;
        p->dirty = false;
        stage_dispatch(f, p);
    }
}

bool
flow_next_action(struct flow *f, struct flow_action *out)
{
    if (f->action_next == f->action_count) {
        return false;
    }
    *out = f->actions[f->action_next++];
    return true;
}

int64_t
flow_next_wakeup_us(const struct flow *f)
{
    return timers_next_due_us(&f->timers);
}

int
flow_open_requests(const struct flow *f)
{
    return (int)f->requests.count;
}

static void
write_metric_header(struct buf *out, const char *name, const char *help,
                    const char *type)
{
    buf_printf(out, "# HELP camphorfall_flow_%s %s\n", name, help);
    buf_printf(out, "# TYPE camphorfall_flow_%s %s\n", name, type);
}

static void
write_pool_gauge(const struct flow *f, struct buf *out, const char *name,
                 const char *help, int (*value)(const struct pool *))
{
    write_metric_header(out, name, help, "gauge");
    size_t at = 0;
    const struct pool *p;
    while ((p = map_next(&f->pools, &at))) {
        buf_printf(out,
                   "camphorfall_flow_%s{thread=\"%d\",pool=\"%.*s\"} %d\n",
                   name, f->opts.thread, STR_FMT(p->name), value(p));
    }
}

static int
count_queued(const struct pool *p)
{
    return fairq_length(p->queue);
}

static int
count_in_flight(const struct pool *p)
{
    int n = 0;
    for (int i = 0; i < p->count; i++) {
        n += p->endpoints[i]->in_flight;
    }
    return n;
}

static int
count_cold(const struct pool *p)
{
    int n = 0;
    for (int i = 0; i < p->count; i++) {
        n += p->endpoints[i]->cold;
    }
    return n;
}

static int
count_ejected(const struct pool *p)
{
    int n = 0;
    for (int i = 0; i < p->count; i++) {
        n += p->endpoints[i]->outlier.ejected;
    }
    return n;
}

void
flow_write_metrics(const struct flow *f, struct buf *out)
{
    static const struct {
        const char *name, *help;
    } counters[] = {
#define X(id, name, help) [COUNT_##id] = {name "_total", help},
        FLOW_COUNTER_LIST(X)
#undef X
    };
    int t = f->opts.thread;
    for (int i = 0; i < COUNT_COUNT; i++) {
        write_metric_header(out, counters[i].name, counters[i].help,
                            "counter");
        buf_printf(out, "camphorfall_flow_%s{thread=\"%d\"} %" PRIu64 "\n",
                   counters[i].name, t, f->counts[i]);
    }
    write_metric_header(out, "refusals_total", "refusals by kind", "counter");
    for (int k = 1; k < ERRKIND_COUNT; k++) {
        if (f->refused_counts[k]) {
            buf_printf(out,
                       "camphorfall_flow_refusals_total{thread=\"%d\","
                       "kind=\"%s\"} %" PRIu64 "\n",
                       t, errkind_info((enum errkind)k)->name,
                       f->refused_counts[k]);
        }
    }
    write_metric_header(out, "stage_calls_total", "calls by kind of stage",
                        "counter");
    write_metric_header(out, "stage_busy_us_total",
                        "endpoint time used, in microseconds", "counter");
    for (int k = 0; k < STAGE_KIND_COUNT; k++) {
        const char *kind = stage_kind_name((enum stage_kind)k);
        buf_printf(out,
                   "camphorfall_flow_stage_calls_total{thread=\"%d\","
                   "stage=\"%s\"} %" PRIu64 "\n",
                   t, kind, f->stage_calls[k]);
        buf_printf(out,
                   "camphorfall_flow_stage_busy_us_total{thread=\"%d\","
                   "stage=\"%s\"} %" PRIu64 "\n",
                   t, kind, f->stage_busy_us[k]);
    }
    write_metric_header(out, "open_requests", "requests not yet ended",
                        "gauge");
    buf_printf(out, "camphorfall_flow_open_requests{thread=\"%d\"} %d\n", t,
               flow_open_requests(f));
    write_pool_gauge(f, out, "queued", "requests in the queue", count_queued);
    write_pool_gauge(f, out, "in_flight", "calls in flight", count_in_flight);
    write_pool_gauge(f, out, "usable_endpoints", "endpoints in service",
                     pool_usable_count);
    write_pool_gauge(f, out, "cold_endpoints", "endpoints used by credits",
                     count_cold);
    write_pool_gauge(f, out, "ejected_endpoints", "endpoints ejected",
                     count_ejected);
    write_metric_header(out, "suspects", "contents with strikes", "gauge");
    buf_printf(out, "camphorfall_flow_suspects{thread=\"%d\"} %d\n", t,
               suspects_count(f->suspects));
}
