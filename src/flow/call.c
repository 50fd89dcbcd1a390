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

/* A dead process refuses at once; a dead VM does not answer. */
#define PROBE_WAIT_US (250 * MS)
/* Of the baseline policies. */
#define PLAIN_RETRIES 2

/* How a call ended, for what is learned from it. */
enum call_end {
    END_OK,
    END_SLOWER, /* cancelled: another call was faster, or too late */
    END_FAILED,
    END_OVERLOAD,
    END_UNSENT,
    END_DROPPED,
};

static const struct fleet_stage *
stage_of(const struct call *c)
{
    return &c->r->pipeline->stages[c->stage];
}

static bool
is_stream(const struct call *c)
{
    return stage_of(c)->kind == STAGE_GENERATE;
}

/* Of streams the time to the first byte counts, as soon as it is known: the
 * length of an answer says nothing of its endpoint, and waiting for its end
 * would draw too much work to an endpoint that has just returned. */
static void
learn_latency(struct flow *f, struct call *c)
{
    struct endpoint *ep = c->ep;
    int64_t us = f->now_us - c->start_us;
    if (!ep->reported_us) {
        limit_answer(&ep->limit, f->now_us, us, ep->in_flight, false);
    }
    outlier_latency(&ep->outlier, us);
}

static void
learn(struct flow *f, struct call *c, enum call_end end)
{
    struct endpoint *ep = c->ep;
    struct estimate *e = &ep->pool->estimate;
    int64_t us = f->now_us - c->start_us;
    if (is_stream(c) && c->first_us) {
        estimate_tokens(e, f->now_us,
                        end == END_OK ? stage_of(c)->max_tokens
                                      : c->next_index - c->resume_from,
                        f->now_us - c->first_us);
    }
    switch (end) {
    case END_OK:
        estimate_add(e, f->now_us, estimate_size(c->r->call_body.len), us);
        if (!is_stream(c)) {
            learn_latency(f, c);
        }
        outlier_answer(&ep->outlier, f->now_us, true);
        ep->refusals = 0;
        break;
    case END_SLOWER:
        /* The elapsed time is a lower bound of the latency. */
        if (c->first_us || us < (int64_t)ep->limit.recent_us) {
            return;
        }
        learn_latency(f, c);
        outlier_answer(&ep->outlier, f->now_us, true);
        break;
    case END_OVERLOAD:
        limit_answer(&ep->limit, f->now_us, us, ep->in_flight, true);
        outlier_answer(&ep->outlier, f->now_us, false);
        break;
    case END_FAILED:
        outlier_answer(&ep->outlier, f->now_us, false);
        break;
    case END_UNSENT:
    case END_DROPPED:
        return;
    }
    health_judge(f, ep);
}

/* Takes the call out of all tables; its memory lasts for this step. */
static void
end_call(struct flow *f, struct call *c, enum call_end end,
         enum credit_report report, const char *outcome)
{
    struct endpoint *ep = c->ep;
    enum stage_kind kind = stage_of(c)->kind;
    f->stage_calls[kind]++;
    f->stage_busy_us[kind] += (uint64_t)(f->now_us - c->start_us);
    if (f->full) {
        learn(f, c, end);
    }
    core_span(f, c->r, "call", c->stage, c, c->start_us, outcome);
    bool uncounted = f->full && ep->cold && !credit_valid(f, c->credit);
    if (c->credit) {
        credit_release(f, c->credit, end != END_UNSENT, end == END_OK, report);
    }
    ep->in_flight--;
    health_call_ended(f, ep);
    ep->alone = ep->alone && !c->alone;
    map_del(&f->calls, c->attempt);
    if (uncounted) {
        health_count(f, ep);
    }
    struct call **at = &c->r->calls;
    while (*at != c) {
        at = &(*at)->next;
    }
    *at = c->next;
    c->dead_next = f->dead_calls;
    f->dead_calls = c;
    pool_touch(f, ep->pool);
}

void
call_cancel(struct flow *f, struct call *c, const char *outcome)
{
    core_emit(f, FLOW_ACT_CANCEL)->cancel = c->attempt;
    f->counts[COUNT_CANCELS]++;
    /* Without this a slow endpoint would never show, since hedges and
     * deadlines cut its calls short. */
    end_call(f, c, c->hedge ? END_DROPPED : END_SLOWER, CREDIT_REPORT_NONE,
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

/* Waits and sends the current stage again, if that is allowed. */
static void
again(struct flow *f, struct request *r, bool unsent)
{
    struct pool *p = r->pools[r->stage];
    struct str name = r->pipeline->stages[r->stage].name;
    if (r->detached) {
        request_end(f, r);
        return;
    }
    r->state = REQ_BACKOFF;
    r->unsent += unsent;
    r->tries -= unsent;
    if (f->now_us >= r->deadline_us) {
        request_refuse(f, r, ERRKIND_DEADLINE_EXCEEDED, "stage %.*s",
                       STR_FMT(name));
        return;
    }
    /* Unsent calls cost the endpoints nothing and need no budget. */
    bool allowed;
    if (!f->full) {
        allowed = r->tries + r->unsent <= PLAIN_RETRIES;
    }
    else if (unsent) {
        allowed = r->unsent <= RETRY_UNSENT_MAX;
    }
    else {
        allowed = r->tries < RETRY_CALLS_MAX &&
                  retry_spend(&p->retries, &r->team->retries);
    }
    if (!allowed) {
        f->counts[COUNT_RETRIES_DENIED]++;
        request_refuse(f, r, ERRKIND_UPSTREAM_FAILED, "stage %.*s, %d calls",
                       STR_FMT(name), r->tries + r->unsent);
        return;
    }
    f->counts[COUNT_RETRIES]++;
    int n = unsent ? r->unsent : r->tries;
    r->retry_us = f->now_us + retry_backoff_us(&f->rng, n > 0 ? n - 1 : 0);
    timers_add(&f->timers, r->retry_us, TIMER_RETRY, r->req);
}

static void
note_tried(struct request *r, const struct endpoint *ep)
{
    r->tried[r->tried_count % REQ_TRIED_MAX] = ep->hash;
    r->tried_count += r->tried_count < REQ_TRIED_MAX;
    r->tried_zone = ep->zone;
}

/* Waits for a probe that tells whether the endpoint died. */
static void
await_verdict(struct flow *f, struct request *r, struct endpoint *ep)
{
    r->state = REQ_PROBING;
    r->lost = ep;
    r->probe_next = ep->waiting;
    ep->waiting = r;
    r->retry_us = f->now_us + PROBE_WAIT_US;
    timers_add(&f->timers, r->retry_us, TIMER_RETRY, r->req);
    health_probe(f, ep);
}

/* The call brought no whole answer. @p died: the endpoint may be dead. */
static void
lost(struct flow *f, struct call *c, enum call_end end, bool died,
     const char *outcome)
{
    struct request *r = c->r;
    struct endpoint *ep = c->ep;
    bool unsent = end == END_UNSENT;
    bool action = !stage_of(c)->repeatable;
    end_call(f, c, end, CREDIT_REPORT_NONE, outcome);
    note_tried(r, ep);
    if (r->calls) {
        return;
    }
    if (action && unsent) {
        r->claims[c->stage].step = CLAIM_STEP_GRANTED;
    }
    bool judge = died && f->full;
    if (judge) {
        await_verdict(f, r, ep);
    }
    if (action && !unsent) {
        r->state = judge ? REQ_PROBING : REQ_BACKOFF;
        if (r->detached && !judge) {
            request_end(f, r);
            return;
        }
        request_refuse(f, r, ERRKIND_OUTCOME_UNKNOWN, "stage %.*s: %s",
                       STR_FMT(r->pipeline->stages[c->stage].name), outcome);
        return;
    }
    if (!judge) {
        again(f, r, unsent);
    }
}

void
call_verdict(struct flow *f, struct request *r, bool died)
{
    r->state = REQ_BACKOFF;
    if (died) {
        int64_t hold_us = r->pipeline->settings[FLEET_SUSPECT_HOLD_MS] * MS;
        int n = suspects_strike(f->suspects, f->now_us, r->content, hold_us);
        f->counts[COUNT_STRIKES]++;
        core_ask(f, ASK_SUSPECT)->suspect =
            (struct suspect_notice){r->content, n, hold_us};
        if (n >= SUSPECT_QUARANTINE && !r->detached) {
            request_refuse(f, r, ERRKIND_QUARANTINED, "try another content");
            return;
        }
    }
    again(f, r, false);
}

static void
first_byte(struct flow *f, struct call *c)
{
    c->first_us = f->now_us;
    if (f->full) {
        int64_t us = f->now_us - c->start_us;
        hist_add(&c->ep->pool->estimate.first, us);
        health_first_byte(f, c->ep, us);
        if (is_stream(c)) {
            estimate_base(&c->ep->pool->estimate, f->now_us, us);
            learn_latency(f, c);
        }
    }
}

static void
heard(struct flow *f, struct call *c)
{
    struct pool *p = c->ep->pool;
    c->silent = false;
    if (!c->first_us) {
        first_byte(f, c);
        /* From here on gaps between bytes count. */
        if (f->full) {
            c->silence_us = silence_wait_us(
                &p->estimate, true, p->settings[FLEET_SILENCE_FLOOR_MS] * MS,
                c->r->deadline_us - f->now_us);
            call_listen(f, c, f->now_us + c->silence_us);
        }
    }
    c->byte_us = f->now_us;
}

void
call_listen(struct flow *f, struct call *c, int64_t at_us)
{
    c->listen_us = at_us;
    timers_add(&f->timers, at_us, TIMER_SILENCE, c->attempt);
}

void
call_bytes(struct flow *f, uint64_t attempt)
{
    struct call *c = map_get(&f->calls, attempt);
    if (c) {
        heard(f, c);
    }
}

/* The first token tells whether the engine resumed or started over. */
static bool
place(struct call *c, int index)
{
    struct request *r = c->r;
    if (index == 0) {
        c->pos = 0;
        if (r->passed == 0) {
            buf_clear(&r->text);
            r->tokens = 0;
        }
        return true;
    }
    return index == c->resume_from && c->pos == r->text.len;
}

static void
broken(struct flow *f, struct call *c, const char *why)
{
    f->counts[COUNT_BROKEN]++;
    core_emit(f, FLOW_ACT_CANCEL)->cancel = c->attempt;
    lost(f, c, END_FAILED, false, why);
}

void
call_token(struct flow *f, uint64_t attempt, int index, struct str text)
{
    struct call *c = map_get(&f->calls, attempt);
    if (!c) {
        f->counts[COUNT_LATE]++;
        return;
    }
    struct request *r = c->r;
    if (stage_of(c)->kind != STAGE_GENERATE) {
        return;
    }
    if (c->next_index >= 0 && f->full) {
        hist_add(&c->ep->pool->estimate.gap, f->now_us - c->byte_us);
    }
    heard(f, c);
    bool first = c->next_index < 0;
    if (first ? !place(c, index) : index != c->next_index) {
        broken(f, c, "token out of order");
        return;
    }
    if (first) {
        cancel_others(f, r, c);
    }
    c->next_index = index + 1;
    size_t known = r->text.len - c->pos;
    size_t n = text.len < known ? text.len : known;
    if (n > 0 && memcmp(r->text.ptr + c->pos, text.ptr, n) != 0) {
        call_cancel(f, c, "differs");
        request_refuse(f, r, ERRKIND_UPSTREAM_FAILED,
                       "the repeated stream differs from the part delivered");
        return;
    }
    buf_append(&r->text, text.ptr + n, text.len - n);
    c->pos += text.len;
    r->tokens = index + 1 > r->tokens ? index + 1 : r->tokens;
    bool last = c->stage == r->pipeline->stage_count - 1;
    if (r->stream && last && !r->detached && text.len > n) {
        struct flow_action *a = core_emit(f, FLOW_ACT_TOKEN);
        a->token.req = r->req;
        a->token.index = r->passed++;
        a->token.text = core_keep(f, str_of(text.ptr + n, text.len - n));
        f->counts[COUNT_TOKENS]++;
    }
}

/* The result of a whole 2xx answer; NULL if it is not whole. */
static json_t *
result_of(const struct call *c, struct str body)
{
    struct request *r = c->r;
    if (stage_of(c)->kind != STAGE_GENERATE) {
        struct compose_in in;
        request_compose_in(r, &in);
        return compose_result(&in, c->stage, body);
    }
    /* A repeated stream that ends before the part already delivered. */
    if (c->next_index >= 0 ? c->pos < r->text.len : r->text.len > 0) {
        return NULL;
    }
    return json_stringn(r->text.ptr ? r->text.ptr : "", r->text.len);
}

static void
answer_action(struct flow *f, struct call *c, int http_status, struct str body,
              enum credit_report report)
{
    struct request *r = c->r;
    claim_done(f, r, c->stage, http_status, body);
    bool ok = http_status / 100 == 2;
    r->results[c->stage] = ok ? result_of(c, body) : NULL;
    end_call(f, c, ok || http_status / 100 == 4 ? END_OK : END_FAILED, report,
             ok ? "ok" : "status");
    if (ok) {
        stage_begin(f, r);
    }
    else if (r->detached) {
        request_end(f, r);
    }
    else {
        stage_refuse_status(f, r, c->stage, http_status);
    }
}

static void
answer_repeatable(struct flow *f, struct call *c, int http_status,
                  struct str body, enum credit_report report)
{
    struct request *r = c->r;
    if (http_status / 100 == 2) {
        json_t *result = result_of(c, body);
        if (!result) {
            f->counts[COUNT_BROKEN]++;
            lost(f, c, END_FAILED, false, "answer not whole");
            return;
        }
        r->results[c->stage] = result;
        end_call(f, c, END_OK, report, "ok");
        cancel_others(f, r, NULL);
        stage_begin(f, r);
        return;
    }
    bool busy = http_status == 429 || http_status == 503;
    if (http_status / 100 == 4 && !busy && http_status != 408) {
        end_call(f, c, END_OK, report, "rejected");
        stage_refuse_status(f, r, c->stage, http_status);
        return;
    }
    lost(f, c, busy ? END_OVERLOAD : END_FAILED, false, "status");
}

void
call_answer(struct flow *f, uint64_t attempt, int http_status, struct str body,
            const struct call_report *report)
{
    struct call *c = map_get(&f->calls, attempt);
    if (!c) {
        f->counts[COUNT_LATE]++;
        return;
    }
    struct endpoint *ep = c->ep;
    enum credit_report said = !report->has_load ? CREDIT_REPORT_NONE
                              : report->cold    ? CREDIT_REPORT_COLD
                                                : CREDIT_REPORT_WARM;
    heard(f, c);
    if (stage_of(c)->repeatable) {
        answer_repeatable(f, c, http_status, body, said);
    }
    else {
        answer_action(f, c, http_status, body, said);
    }
    health_report(f, ep, report);
}

void
call_failed(struct flow *f, uint64_t attempt, enum call_fault fault,
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
    bool died = !unsent && (fault == CALL_RESET || fault == CALL_TRUNCATED);
    struct endpoint *ep = c->ep;
    lost(f, c, unsent ? END_UNSENT : END_FAILED, died, names[fault]);
    if (fault == CALL_REFUSED) {
        health_refused(f, ep);
    }
}

void
call_silence_timer(struct flow *f, uint64_t attempt)
{
    struct call *c = map_get(&f->calls, attempt);
    if (!c || f->now_us < c->listen_us) {
        return;
    }
    int64_t due = c->byte_us + c->silence_us;
    if (f->now_us >= due) {
        c->silent = true;
        health_probe(f, c->ep);
        due = f->now_us + c->silence_us;
    }
    call_listen(f, c, due);
}

static void
silent_call(struct flow *f, struct call *c, bool ok)
{
    struct request *r = c->r;
    struct pool *p = c->ep->pool;
    c->silent = false;
    if (!stage_of(c)->repeatable) {
        /* The call goes on, so that a late answer is still recorded. */
        if (!r->detached) {
            request_refuse(f, r, ERRKIND_OUTCOME_UNKNOWN,
                           "no answer on an open connection");
        }
        return;
    }
    /* An endpoint that is slow for all must not have its calls repeated
     * without end: the wait counts as a sample, and a repeat needs budget. */
    hist_add(c->first_us ? &p->estimate.gap : &p->estimate.first,
             f->now_us - c->byte_us);
    if (ok && (p->retries.tokens < 1 || r->team->retries.tokens < 1 ||
               r->tries >= RETRY_CALLS_MAX)) {
        c->byte_us = f->now_us;
        return;
    }
    f->counts[COUNT_SILENT]++;
    r->fresh = true;
    core_emit(f, FLOW_ACT_CANCEL)->cancel = c->attempt;
    lost(f, c, ok ? END_DROPPED : END_FAILED, false, "silent");
}

void
call_probed(struct flow *f, const struct endpoint *ep, bool ok)
{
    if (ep->in_flight == 0) {
        return;
    }
    size_t count = 0;
    size_t at = 0;
    struct call *c;
    CLEAN_FREE uint64_t *found =
        mem_zero((size_t)ep->in_flight, sizeof(*found));
    while ((c = map_next(&f->calls, &at))) {
        if (c->ep == ep && c->silent && count < (size_t)ep->in_flight) {
            found[count++] = c->attempt;
        }
    }
    for (size_t i = 0; i < count; i++) {
        if ((c = map_get(&f->calls, found[i]))) {
            silent_call(f, c, ok);
        }
    }
}

void
call_hedge_timer(struct flow *f, uint64_t attempt)
{
    struct call *c = map_get(&f->calls, attempt);
    /* Of two timers that are due the deadline's may come second. */
    if (!c || c->first_us || c->next || c->r->calls != c || !core_fresh(f) ||
        f->now_us >= c->r->deadline_us) {
        return;
    }
    struct request *r = c->r;
    struct pool *p = c->ep->pool;
    /* Queued work comes first; a hedge is for idle capacity. */
    if (r->tokens || fairq_length(p->queue) > 0 ||
        suspects_get(f->suspects, f->now_us, r->content) > 0) {
        return;
    }
    int zone = r->tried_zone;
    int count = r->tried_count;
    note_tried(r, c->ep);
    struct endpoint *ep = pool_choose(f, p, r, false);
    if (ep && ep != c->ep && !ep->cold &&
        retry_spend(&p->hedges, &r->team->hedges)) {
        f->counts[COUNT_HEDGES]++;
        stage_send(f, r, ep, true);
        return;
    }
    r->tried_count = count;
    r->tried_zone = zone;
}
