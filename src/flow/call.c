#include "flow/call.h"

#include <string.h>

#include "base/clean.h"
#include "flow/claim.h"
#include "flow/credit.h"
#include "flow/health.h"
#include "flow/pool.h"
#include "flow/request.h"
#include "flow/silence.h"
#include "flow/stage.h"

/* Longest wait for a probe after a call that ended without an answer. The VM
 * of a dead process refuses the connection at once; a dead VM does not answer
 * at all. */
#define CRASH_PROBE_WAIT_US (250 * MS)
/* Retries of a stage under the baseline policies. */
#define BASELINE_RETRIES 2

/* How a call ended; decides what it adds to the statistics. */
enum call_end {
    END_OK,
    END_CANCELLED, /* another call was faster, or the deadline passed */
    END_FAILED,
    END_OVERLOAD, /* the endpoint answered 429 or 503 */
    END_UNSENT,
    END_IGNORED, /* adds nothing to the statistics */
};

static const struct fleet_stage *
call_stage(const struct call *c)
{
    return &c->r->pipeline->stages[c->stage];
}

static bool
is_stream(const struct call *c)
{
    return call_stage(c)->kind == STAGE_GENERATE;
}

/* Adds the time since sending to the endpoint's latencies. For a stream this
 * is called at the first byte: the length of an answer tells nothing about the
 * endpoint, and a sample taken at its end would come so late that an endpoint
 * that has just returned gets too much work. */
static void
record_latency(struct flow *f, struct call *c)
{
    struct endpoint *ep = c->ep;
    int64_t us = f->now_us - c->start_us;
    if (!ep->reported_us) {
        limit_apply_answer(&ep->limit, f->now_us, us, ep->in_flight, false);
    }
    outlier_record_latency(&ep->outlier, us);
}

static void
record_outcome(struct flow *f, struct call *c, enum call_end end)
{
    struct endpoint *ep = c->ep;
    struct estimate *e = &ep->pool->estimate;
    int64_t us = f->now_us - c->start_us;
    if (is_stream(c) && c->first_us) {
        estimate_add_tokens(e, f->now_us,
                            end == END_OK ? call_stage(c)->max_tokens
                                          : c->next_index - c->resume_from,
                            f->now_us - c->first_us);
    }
    switch (end) {
    case END_OK:
        estimate_add_service(e, f->now_us,
                             estimate_size_class(c->r->call_body.len), us);
        if (!is_stream(c)) {
            record_latency(f, c);
        }
        outlier_record_call(&ep->outlier, f->now_us, true);
        ep->refused_connections = 0;
        break;
    case END_CANCELLED:
        /* The elapsed time is a lower bound of the latency. */
        if (c->first_us || us < (int64_t)ep->limit.recent_latency_us) {
            return;
        }
        record_latency(f, c);
        outlier_record_call(&ep->outlier, f->now_us, true);
        break;
    case END_OVERLOAD:
        limit_apply_answer(&ep->limit, f->now_us, us, ep->in_flight, true);
        outlier_record_call(&ep->outlier, f->now_us, false);
        break;
    case END_FAILED:
        outlier_record_call(&ep->outlier, f->now_us, false);
        break;
    case END_UNSENT:
    case END_IGNORED:
        return;
    }
    health_eject_if_outlier(f, ep);
}

/* Removes the call from all tables; its memory stays valid for this step. */
static void
end_call(struct flow *f, struct call *c, enum call_end end,
         enum credit_report report, const char *outcome)
{
    struct endpoint *ep = c->ep;
    enum stage_kind kind = call_stage(c)->kind;
    f->stage_calls[kind]++;
    f->stage_busy_us[kind] += (uint64_t)(f->now_us - c->start_us);
    if (f->full_policy) {
        record_outcome(f, c, end);
    }
    core_add_span(f, c->r, "call", c->stage, c, c->start_us, outcome);
    bool uncounted =
        f->full_policy && ep->cold && !credit_is_valid(f, c->credit);
    if (c->credit) {
        credit_release(f, c->credit, end != END_UNSENT, end == END_OK, report);
    }
    ep->in_flight--;
    health_call_ended(f, ep);
    ep->runs_suspect = ep->runs_suspect && !c->runs_alone;
    map_remove(&f->calls, c->attempt);
    if (uncounted) {
        health_schedule_cold_notice(f, ep);
    }
    struct call **at = &c->r->calls;
    while (*at != c) {
        at = &(*at)->next;
    }
    *at = c->next;
    c->ended_next = f->ended_calls;
    f->ended_calls = c;
    pool_schedule_dispatch(f, ep->pool);
}

void
call_cancel(struct flow *f, struct call *c, const char *outcome)
{
    core_add_action(f, FLOW_ACT_CANCEL)->cancel = c->attempt;
    f->counts[COUNT_CANCELS]++;
    /* The elapsed time is recorded, since hedges and deadlines cancel the
     * calls of a slow endpoint and it would never be noticed otherwise. */
    end_call(f, c, c->hedge ? END_IGNORED : END_CANCELLED, CREDIT_REPORT_NONE,
             outcome);
}

static void
cancel_others(struct flow *f, struct request *r, const struct call *keep)
{
    struct call *c = r->calls;
    while (c) {
        struct call *next = c->next;
        if (c != keep) {
            call_cancel(f, c, "hedged");
        }
        c = next;
    }
}

/* Retries the current stage after a backoff, or refuses the request if no
 * retry is allowed. @p unsent: no byte of the last call was sent. */
static void
retry_stage(struct flow *f, struct request *r, bool unsent)
{
    struct pool *p = r->pools[r->stage];
    struct str name = r->pipeline->stages[r->stage].name;
    if (r->detached) {
        request_end(f, r);
        return;
    }
    r->state = REQ_BACKOFF;
    r->calls_unsent += unsent;
    r->calls_sent -= unsent;
    if (f->now_us >= r->deadline_us) {
        request_refuse(f, r, ERRKIND_DEADLINE_EXCEEDED, "stage %.*s",
                       STR_FMT(name));
        return;
    }
    /* Unsent calls cost the endpoints nothing, so that their retries do not
     * use the budget. */
    bool allowed;
    if (!f->full_policy) {
        allowed = r->calls_sent + r->calls_unsent <= BASELINE_RETRIES;
    }
    else if (unsent) {
        allowed = r->calls_unsent <= RETRY_UNSENT_CALLS_MAX;
    }
    else {
        allowed = r->calls_sent < RETRY_CALLS_MAX &&
                  retry_budget_spend(&p->retries, &r->team->retries);
    }
    if (!allowed) {
        f->counts[COUNT_RETRIES_DENIED]++;
        request_refuse(f, r, ERRKIND_UPSTREAM_FAILED, "stage %.*s, %d calls",
                       STR_FMT(name), r->calls_sent + r->calls_unsent);
        return;
    }
    f->counts[COUNT_RETRIES]++;
    int n = unsent ? r->calls_unsent : r->calls_sent;
    r->wait_end_us = f->now_us + retry_backoff_us(&f->rng, n > 0 ? n - 1 : 0);
    timers_add(&f->timers, r->wait_end_us, TIMER_RETRY, r->req);
}

static void
record_tried(struct request *r, const struct endpoint *ep)
{
    r->tried[r->tried_count % REQ_TRIED_MAX] = ep->hash;
    r->tried_count += r->tried_count < REQ_TRIED_MAX;
    r->tried_zone = ep->zone;
}

/* Lets the request wait for a probe that shows whether the endpoint died. */
static void
await_crash_probe(struct flow *f, struct request *r, struct endpoint *ep)
{
    r->state = REQ_PROBING;
    r->probed_endpoint = ep;
    r->probe_next = ep->probe_waiters;
    ep->probe_waiters = r;
    r->wait_end_us = f->now_us + CRASH_PROBE_WAIT_US;
    timers_add(&f->timers, r->wait_end_us, TIMER_RETRY, r->req);
    health_start_probe(f, ep);
}

/* Ends a call without a complete answer, and retries or refuses the request
 * if it has no other call. */
static void
handle_lost_call(struct flow *f, struct call *c, enum call_end end,
                 bool may_have_crashed, const char *outcome)
{
    struct request *r = c->r;
    struct endpoint *ep = c->ep;
    bool unsent = end == END_UNSENT;
    bool action = !call_stage(c)->repeatable;
    end_call(f, c, end, CREDIT_REPORT_NONE, outcome);
    record_tried(r, ep);
    if (r->calls) {
        return;
    }
    if (action && unsent) {
        r->claims[c->stage].step = CLAIM_STEP_GRANTED;
    }
    bool check_crash = may_have_crashed && f->full_policy;
    if (check_crash) {
        await_crash_probe(f, r, ep);
    }
    if (action && !unsent) {
        r->state = check_crash ? REQ_PROBING : REQ_BACKOFF;
        if (r->detached && !check_crash) {
            request_end(f, r);
            return;
        }
        request_refuse(f, r, ERRKIND_OUTCOME_UNKNOWN, "stage %.*s: %s",
                       STR_FMT(r->pipeline->stages[c->stage].name), outcome);
        return;
    }
    if (!check_crash) {
        retry_stage(f, r, unsent);
    }
}

void
call_on_crash_probe(struct flow *f, struct request *r, bool died)
{
    r->state = REQ_BACKOFF;
    if (died) {
        int64_t hold_us = r->pipeline->settings[FLEET_SUSPECT_HOLD_MS] * MS;
        int strikes =
            suspects_add_strike(f->suspects, f->now_us, r->content, hold_us);
        f->counts[COUNT_STRIKES]++;
        core_add_control_message(f, CONTROL_REQUEST_SUSPECT)->suspect =
            (struct suspect_notice){r->content, strikes, hold_us};
        if (strikes >= SUSPECT_QUARANTINE_STRIKES && !r->detached) {
            request_refuse(f, r, ERRKIND_QUARANTINED, "try another content");
            return;
        }
    }
    retry_stage(f, r, false);
}

static void
on_first_byte(struct flow *f, struct call *c)
{
    c->first_us = f->now_us;
    if (f->full_policy) {
        int64_t us = f->now_us - c->start_us;
        hist_add(&c->ep->pool->estimate.first, us);
        health_record_first_byte(f, c->ep, us);
        if (is_stream(c)) {
            estimate_add_first_token(&c->ep->pool->estimate, f->now_us, us);
            record_latency(f, c);
        }
    }
}

static void
on_bytes(struct flow *f, struct call *c)
{
    struct pool *p = c->ep->pool;
    c->awaits_probe = false;
    if (!c->first_us) {
        on_first_byte(f, c);
        /* From here on the silence limit is for gaps between bytes. */
        if (f->full_policy) {
            c->silence_us = silence_timeout_us(
                &p->estimate, true, p->settings[FLEET_SILENCE_FLOOR_MS] * MS,
                c->r->deadline_us - f->now_us);
            call_arm_silence_timer(f, c, f->now_us + c->silence_us);
        }
    }
    c->last_byte_us = f->now_us;
}

void
call_arm_silence_timer(struct flow *f, struct call *c, int64_t at_us)
{
    c->silence_timer_us = at_us;
    timers_add(&f->timers, at_us, TIMER_SILENCE, c->attempt);
}

void
call_on_bytes(struct flow *f, uint64_t attempt)
{
    struct call *c = map_get(&f->calls, attempt);
    if (c) {
        on_bytes(f, c);
    }
}

/* Sets the text position by the index of the first token: the engine either
 * resumed or started over. @return false if it did neither */
static bool
accept_first_token(struct call *c, int index)
{
    struct request *r = c->r;
    if (index == 0) {
        c->text_pos = 0;
        if (r->tokens_delivered == 0) {
            buf_clear(&r->text);
            r->tokens = 0;
        }
        return true;
    }
    return index == c->resume_from && c->text_pos == r->text.len;
}

static void
reject_stream(struct flow *f, struct call *c, const char *reason)
{
    f->counts[COUNT_BROKEN]++;
    core_add_action(f, FLOW_ACT_CANCEL)->cancel = c->attempt;
    handle_lost_call(f, c, END_FAILED, false, reason);
}

void
call_on_token(struct flow *f, uint64_t attempt, int index, struct str text)
{
    struct call *c = map_get(&f->calls, attempt);
    if (!c) {
        f->counts[COUNT_LATE]++;
        return;
    }
    struct request *r = c->r;
    if (call_stage(c)->kind != STAGE_GENERATE) {
        return;
    }
    if (c->next_index >= 0 && f->full_policy) {
        hist_add(&c->ep->pool->estimate.gap, f->now_us - c->last_byte_us);
    }
    on_bytes(f, c);
    bool first = c->next_index < 0;
    if (first ? !accept_first_token(c, index) : index != c->next_index) {
        reject_stream(f, c, "token out of order");
        return;
    }
    if (first) {
        cancel_others(f, r, c);
    }
    c->next_index = index + 1;
    size_t known = r->text.len - c->text_pos;
    size_t n = text.len < known ? text.len : known;
    if (n > 0 && memcmp(r->text.ptr + c->text_pos, text.ptr, n) != 0) {
        call_cancel(f, c, "differs");
        request_refuse(f, r, ERRKIND_UPSTREAM_FAILED,
                       "the repeated stream differs from the part delivered");
        return;
    }
    buf_append(&r->text, text.ptr + n, text.len - n);
    c->text_pos += text.len;
    r->tokens = index + 1 > r->tokens ? index + 1 : r->tokens;
    bool last = c->stage == r->pipeline->stage_count - 1;
    if (r->stream && last && !r->detached && text.len > n) {
        struct flow_action *a = core_add_action(f, FLOW_ACT_TOKEN);
        a->token.req = r->req;
        a->token.index = r->tokens_delivered++;
        a->token.text =
            core_copy_str(f, str_from_bytes(text.ptr + n, text.len - n));
        f->counts[COUNT_TOKENS]++;
    }
}

/* The result in a 2xx answer, a new reference; NULL if it is incomplete. */
static json_t *
parse_answer(const struct call *c, struct str body)
{
    struct request *r = c->r;
    if (call_stage(c)->kind != STAGE_GENERATE) {
        struct compose_input in;
        request_fill_compose_input(r, &in);
        return compose_result(&in, c->stage, body);
    }
    /* The repeated stream ended before the part that was already received. */
    if (c->next_index >= 0 ? c->text_pos < r->text.len : r->text.len > 0) {
        return NULL;
    }
    return json_stringn(r->text.ptr ? r->text.ptr : "", r->text.len);
}

static void
finish_action_call(struct flow *f, struct call *c, int http_status,
                   struct str body, enum credit_report report)
{
    struct request *r = c->r;
    claim_record_answer(f, r, c->stage, http_status, body);
    bool ok = http_status / 100 == 2;
    r->results[c->stage] = ok ? parse_answer(c, body) : NULL;
    end_call(f, c, ok || http_status / 100 == 4 ? END_OK : END_FAILED, report,
             ok ? "ok" : "status");
    if (ok) {
        stage_start_next(f, r);
    }
    else if (r->detached) {
        request_end(f, r);
    }
    else {
        stage_refuse_status(f, r, c->stage, http_status);
    }
}

static void
finish_repeatable_call(struct flow *f, struct call *c, int http_status,
                       struct str body, enum credit_report report)
{
    struct request *r = c->r;
    if (http_status / 100 == 2) {
        json_t *result = parse_answer(c, body);
        if (!result) {
            f->counts[COUNT_BROKEN]++;
            handle_lost_call(f, c, END_FAILED, false, "answer not whole");
            return;
        }
        r->results[c->stage] = result;
        end_call(f, c, END_OK, report, "ok");
        cancel_others(f, r, NULL);
        stage_start_next(f, r);
        return;
    }
    bool overloaded = http_status == 429 || http_status == 503;
    if (http_status / 100 == 4 && !overloaded && http_status != 408) {
        end_call(f, c, END_OK, report, "rejected");
        stage_refuse_status(f, r, c->stage, http_status);
        return;
    }
    handle_lost_call(f, c, overloaded ? END_OVERLOAD : END_FAILED, false,
                     "status");
}

void
call_on_answer(struct flow *f, uint64_t attempt, int http_status,
               struct str body, const struct endpoint_report *report)
{
    struct call *c = map_get(&f->calls, attempt);
    if (!c) {
        f->counts[COUNT_LATE]++;
        return;
    }
    struct endpoint *ep = c->ep;
    enum credit_report load_report = !report->has_load ? CREDIT_REPORT_NONE
                                     : report->cold    ? CREDIT_REPORT_COLD
                                                       : CREDIT_REPORT_WARM;
    on_bytes(f, c);
    if (call_stage(c)->repeatable) {
        finish_repeatable_call(f, c, http_status, body, load_report);
    }
    else {
        finish_action_call(f, c, http_status, body, load_report);
    }
    health_apply_report(f, ep, report);
}

void
call_on_failure(struct flow *f, uint64_t attempt, enum call_fault fault,
                bool unsent)
{
    static const char *const names[] = {
#define X(id, name) [CALL_##id] = name,
        CALL_FAULT_LIST(X)
#undef X
    };
    struct call *c = map_get(&f->calls, attempt);
    if (!c) {
        return;
    }
    switch (fault) {
    case CALL_CROSSED:
        f->counts[COUNT_CROSSED]++;
        break;
    case CALL_TRUNCATED:
        f->counts[COUNT_BROKEN]++;
        break;
    case CALL_REFUSED:
    case CALL_RESET:
    case CALL_TIMEOUT:
        break;
    }
    bool may_have_crashed =
        !unsent && (fault == CALL_RESET || fault == CALL_TRUNCATED);
    struct endpoint *ep = c->ep;
    handle_lost_call(f, c, unsent ? END_UNSENT : END_FAILED, may_have_crashed,
                     names[fault]);
    if (fault == CALL_REFUSED) {
        health_connection_refused(f, ep);
    }
}

void
call_on_silence_timer(struct flow *f, uint64_t attempt)
{
    struct call *c = map_get(&f->calls, attempt);
    if (!c || f->now_us < c->silence_timer_us) {
        return;
    }
    int64_t due = c->last_byte_us + c->silence_us;
    if (f->now_us >= due) {
        c->awaits_probe = true;
        health_start_probe(f, c->ep);
        due = f->now_us + c->silence_us;
    }
    call_arm_silence_timer(f, c, due);
}

static void
handle_silent_call(struct flow *f, struct call *c, bool ok)
{
    struct request *r = c->r;
    struct pool *p = c->ep->pool;
    c->awaits_probe = false;
    if (!call_stage(c)->repeatable) {
        /* The call continues, so that a late answer is still recorded. */
        if (!r->detached) {
            request_refuse(f, r, ERRKIND_OUTCOME_UNKNOWN,
                           "no answer on an open connection");
        }
        return;
    }
    /* Calls of an endpoint that is slow for all requests must not be retried
     * endlessly: the wait is added as a sample, and a retry needs budget. */
    hist_add(c->first_us ? &p->estimate.gap : &p->estimate.first,
             f->now_us - c->last_byte_us);
    if (ok && (p->retries.tokens < 1 || r->team->retries.tokens < 1 ||
               r->calls_sent >= RETRY_CALLS_MAX)) {
        c->last_byte_us = f->now_us;
        return;
    }
    f->counts[COUNT_SILENT]++;
    r->fresh_connection = true;
    core_add_action(f, FLOW_ACT_CANCEL)->cancel = c->attempt;
    handle_lost_call(f, c, ok ? END_IGNORED : END_FAILED, false, "silent");
}

void
call_on_probe_result(struct flow *f, const struct endpoint *ep, bool ok)
{
    if (ep->in_flight == 0) {
        return;
    }
    size_t count = 0;
    size_t at = 0;
    struct call *c;
    CLEANUP_FREE uint64_t *attempts =
        mem_calloc((size_t)ep->in_flight, sizeof(*attempts));
    while ((c = map_next(&f->calls, &at))) {
        if (c->ep == ep && c->awaits_probe && count < (size_t)ep->in_flight) {
            attempts[count++] = c->attempt;
        }
    }
    for (size_t i = 0; i < count; i++) {
        if ((c = map_get(&f->calls, attempts[i]))) {
            handle_silent_call(f, c, ok);
        }
    }
}

void
call_on_hedge_timer(struct flow *f, uint64_t attempt)
{
    struct call *c = map_get(&f->calls, attempt);
    /* The deadline's timer may be due too and run after this one. */
    if (!c || c->first_us || c->next || c->r->calls != c ||
        !core_is_fresh(f) || f->now_us >= c->r->deadline_us) {
        return;
    }
    struct request *r = c->r;
    struct pool *p = c->ep->pool;
    /* Queued work comes first; hedges use idle capacity only. */
    if (r->tokens || fairq_length(p->queue) > 0 ||
        suspects_strikes(f->suspects, f->now_us, r->content) > 0) {
        return;
    }
    int old_zone = r->tried_zone;
    int old_count = r->tried_count;
    record_tried(r, c->ep);
    struct endpoint *ep = pool_choose_endpoint(f, p, r, false);
    if (ep && ep != c->ep && !ep->cold &&
        retry_budget_spend(&p->hedges, &r->team->hedges)) {
        f->counts[COUNT_HEDGES]++;
        stage_send_call(f, r, ep, true);
        return;
    }
    r->tried_count = old_count;
    r->tried_zone = old_zone;
}
