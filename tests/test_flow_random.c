/* Guards against broken invariants in orders of events that the scripted tests
 * do not cover: fixed seeds drive a flow core with random requests, faults,
 * late and repeated replies, cold endpoints, snapshots and gaps in freshness.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "tests/flow_script.h"

#define REQUESTS 4000
#define CALLS 65536
#define KEYS 400
#define ENDPOINTS 7

enum claim { FREE, OPEN, GRANTED, DONE };

static const char *const ids[ENDPOINTS] = {"e1", "e2", "g1", "g2",
                                           "s1", "s2", "l1"};

struct world {
    struct flow *f;
    struct rng rng;
    int64_t now_us, fresh_us;
    int current_key; /* key of the request that is being sent */
    bool full;       /* FLOW_POLICY_FULL; the others use no credits */
    GPtrArray *asks; /* struct control_request without a reply */
    struct {
        bool answered;
        int key, tokens;
    } requests[REQUESTS];
    struct {
        uint64_t attempt;
        int64_t linger_us;
        int req, ep, token, key;
        bool action, ended, cold;
    } calls[CALLS];
    int call_count;
    struct {
        struct digest key;
        enum claim state;
        uint64_t seq;
        int status, may_have_run, ran; /* calls that may have run; that did */
    } keys[KEYS];
    bool cold[ENDPOINTS], out_of_service[ENDPOINTS];
    int64_t credit[ENDPOINTS]
                  [4096]; /* expiry by the low bits of the id, or 0 */
    int answers, refusals, actions, cold_calls;
};

static int
roll(struct world *w, int n)
{
    return (int)rng_below(&w->rng, (uint64_t)n);
}

static int
endpoint_of(struct str id)
{
    int e = 0;
    while (!str_eq_cstr(id, ids[e])) {
        e++;
    }
    return e;
}

static int
key_of(struct world *w, struct digest d)
{
    for (int k = 0; k < KEYS; k++) {
        if (digest_eq(w->keys[k].key, d)) {
            return k;
        }
    }
    w->keys[w->current_key].key = d;
    return w->current_key;
}

static void
on_call(struct world *w, const struct flow_action *a)
{
    int e = endpoint_of(a->call.endpoint);
    int n = w->call_count++;
    g_assert_cmpint(n, <, CALLS);
    g_assert_cmpint(w->now_us, <, w->fresh_us);
    g_assert_cmpint(w->now_us, <, a->call.deadline_us);
    g_assert_false(w->out_of_service[e]);
    w->calls[n].attempt = a->call.attempt;
    w->calls[n].req = (int)a->call.req;
    w->calls[n].ep = e;
    w->calls[n].linger_us = a->call.deadline_us + 29000000;
    w->calls[n].token = a->call.stream ? 0 : -1;
    const char *from = strstr(a->call.body.ptr, "\"resume_from\":");
    if (from && roll(w, 2)) {
        w->calls[n].token = from[14] - '0';
    }
    w->calls[n].action = a->call.check_deadline_at_send;
    if (a->call.check_deadline_at_send) {
        int k = w->requests[a->call.req].key;
        g_assert_cmpint(w->keys[k].state, ==, GRANTED);
        g_assert_cmpint(w->keys[k].may_have_run, ==, 0);
        w->keys[k].may_have_run++;
        w->actions++;
        w->calls[n].key = k;
    }
    if (w->cold[e] && w->full) {
        int valid = 0;
        for (int i = 0; i < 4096; i++) {
            valid += w->credit[e][i] > w->now_us;
        }
        for (int i = 0; i < n; i++) {
            valid -=
                w->calls[i].cold && !w->calls[i].ended && w->calls[i].ep == e;
        }
        g_assert_cmpint(valid, >, 0);
        w->calls[n].cold = true;
        w->cold_calls++;
    }
}

static void
on_control_message(struct world *w, const struct control_request *a)
{
    int k;
    switch (a->kind) {
    case CONTROL_REQUEST_CLAIM:
        k = key_of(w, a->claim.key);
        if (a->claim.verb == CLAIM_VERB_DONE) {
            w->keys[k].state = DONE;
            w->keys[k].status = a->claim.http_status;
        }
        else if (a->claim.verb == CLAIM_VERB_ABANDON) {
            /* An attempt may only abandon its own claim, and only if nothing
             * was sent. */
            if (w->keys[k].seq == a->claim.attempt.seq &&
                w->keys[k].state != DONE) {
                g_assert_cmpint(w->keys[k].may_have_run, ==, 0);
                w->keys[k].state = FREE;
            }
        }
        else {
            g_ptr_array_add(w->asks, control_request_dup(a));
        }
        break;
    case CONTROL_REQUEST_CREDIT:
        g_ptr_array_add(w->asks, control_request_dup(a));
        break;
    case CONTROL_REQUEST_CREDIT_RELEASE:
        k = endpoint_of(a->credit_release.endpoint);
        w->credit[k][a->credit_release.credit & 4095] = 0;
        break;
    case CONTROL_REQUEST_COLD:
        w->cold[endpoint_of(a->cold.endpoint)] = true;
        break;
    case CONTROL_REQUEST_SUSPECT:
        break;
    }
}

static void
run_event(struct world *w, const struct flow_event *ev)
{
    struct flow_action a;
    flow_handle_event(w->f, w->now_us, ev);
    while (flow_next_action(w->f, &a)) {
        switch (a.kind) {
        case FLOW_ACT_CALL:
            on_call(w, &a);
            break;
        case FLOW_ACT_TOKEN:
            g_assert_false(w->requests[a.token.req].answered);
            g_assert_cmpint((unsigned char)a.token.text.ptr[0], ==,
                            'a' + w->requests[a.token.req].tokens % 26);
            g_assert_cmpint(w->requests[a.token.req].tokens++, ==,
                            a.token.index);
            break;
        case FLOW_ACT_ANSWER:
            g_assert_false(w->requests[a.answer.req].answered);
            w->requests[a.answer.req].answered = true;
            w->answers++;
            break;
        case FLOW_ACT_REFUSE: {
            g_assert_false(w->requests[a.refuse.req].answered);
            w->requests[a.refuse.req].answered = true;
            w->refusals++;
            int k = w->requests[a.refuse.req].key;
            enum ran ran = errkind_info(a.refuse.error)->ran;
            if (k >= 0 && ran == RAN_NOT) {
                g_assert_cmpint(w->keys[k].may_have_run, ==, 0);
            }
            if (k >= 0 && ran == RAN_YES) {
                g_assert_cmpint(w->keys[k].ran, ==, 1);
            }
            break;
        }
        case FLOW_ACT_CONTROL_MESSAGE:
            on_control_message(w, &a.ask);
            break;
        case FLOW_ACT_CANCEL:
            for (int i = 0; i < w->call_count; i++) {
                w->calls[i].ended |= w->calls[i].attempt == a.cancel;
                g_assert_true(w->calls[i].attempt != a.cancel ||
                              !w->calls[i].action ||
                              w->now_us > w->calls[i].linger_us);
            }
            break;
        case FLOW_ACT_PROBE:
        case FLOW_ACT_SPAN:
            break;
        }
    }
}

static void
send_reply(struct world *w)
{
    if (w->asks->len == 0) {
        return;
    }
    guint i = (guint)roll(w, (int)w->asks->len);
    struct control_request *a = w->asks->pdata[i];
    struct flow_event ev = {.kind = FLOW_EV_CONTROL_REPLY};
    if (a->kind == CONTROL_REQUEST_CREDIT) {
        ev.reply.kind = REPLY_CREDIT;
        ev.reply.credit.credit = a->credit.credit;
        ev.reply.credit.endpoint = a->credit.endpoint;
        int64_t *c = &w->credit[endpoint_of(a->credit.endpoint)]
                               [a->credit.credit & 4095];
        ev.reply.credit.granted = *c || roll(w, 4);
        ev.reply.credit.retry_us = 50000;
        *c = ev.reply.credit.granted ? w->now_us + 4000000 : 0;
    }
    else {
        int k = key_of(w, a->claim.key);
        struct claim_reply *r = &ev.reply.claim;
        r->verb = a->claim.verb;
        r->key = a->claim.key;
        r->attempt = a->claim.attempt;
        bool own = w->keys[k].seq == a->claim.attempt.seq;
        bool claim = a->claim.verb == CLAIM_VERB_CLAIM;
        if (w->keys[k].state == DONE) {
            r->state = CLAIM_DONE;
            r->http_status = w->keys[k].status;
            r->answer_stored = roll(w, 4);
            r->answer = r->answer_stored ? STR_LIT("{}") : STR_LIT("");
        }
        else if (roll(w, 20) == 0) {
            r->state = CLAIM_UNAVAILABLE;
        }
        else if (w->keys[k].state == FREE || (own && claim)) {
            r->state = claim ? CLAIM_GRANTED : CLAIM_OPENED;
            w->keys[k].state = claim ? GRANTED : OPEN;
            w->keys[k].seq = a->claim.attempt.seq;
        }
        else {
            r->state = w->keys[k].state == OPEN ? CLAIM_BUSY : CLAIM_HELD;
        }
    }
    run_event(w, &ev);
    if (roll(w, 4) == 0) { /* keep it, so that the reply is repeated later */
        return;
    }
    g_ptr_array_remove_index(w->asks, i);
    control_request_free(a);
}

static void
advance_call(struct world *w)
{
    if (w->call_count == 0) {
        return;
    }
    int recent = w->call_count < 40 ? w->call_count : 40;
    int n = w->call_count - 1 - roll(w, recent);
    struct flow_event ev = {.kind = FLOW_EV_CALL_BYTES};
    /* Prefers running calls, but sometimes takes one that has ended. */
    for (int i = 0; i < 8 && w->calls[n].ended; i++) {
        n = w->call_count - 1 - roll(w, recent);
    }
    ev.call_bytes = w->calls[n].attempt;
    int what = roll(w, 40);
    bool live = !w->calls[n].ended;
    if (what < 4) {
        run_event(w, &ev);
        return;
    }
    if (w->calls[n].token >= 0 && w->calls[n].token < 5 && what < 36) {
        char text = (char)('a' + w->calls[n].token % 26);
        ev.kind = FLOW_EV_CALL_TOKEN;
        ev.call_token.attempt = w->calls[n].attempt;
        ev.call_token.index = w->calls[n].token++;
        ev.call_token.text = str_from_bytes(&text, 1);
        run_event(w, &ev);
        return;
    }
    int k = w->calls[n].key;
    bool action = w->calls[n].action && live;
    w->calls[n].ended = true;
    if (what < 34) {
        static const int statuses[] = {200, 200, 200, 200, 200, 422, 500, 503};
        int status = statuses[roll(w, 8)];
        ev.kind = FLOW_EV_CALL_DONE;
        ev.call_done.attempt = w->calls[n].attempt;
        ev.call_done.http_status = status;
        ev.call_done.body = ids[w->calls[n].ep][0] == 'e'
                                ? STR_LIT("{\"data\":[{\"embedding\":[1]}]}")
                                : STR_LIT("{}");
        ev.call_done.report.start_id =
            roll(w, 30) ? STR_LIT("A") : STR_LIT("B");
        if (action && status == 422) {
            w->keys[k].may_have_run--;
        }
        if (action && status == 200) {
            w->keys[k].ran++;
        }
    }
    else {
        ev.kind = FLOW_EV_CALL_FAILED;
        ev.call_failed.attempt = w->calls[n].attempt;
        ev.call_failed.fault = (enum call_fault)roll(w, CALL_TIMEOUT + 1);
        ev.call_failed.unsent = ev.call_failed.fault == CALL_REFUSED;
        if (action && ev.call_failed.unsent) {
            w->keys[k].may_have_run--;
        }
    }
    run_event(w, &ev);
}

static void
send_request(struct world *w, int r)
{
    static const char *const names[] = {"plain", "gen", "eg", "act", "act"};
    char key[8];
    char body[32];
    char deadline[16];
    int p = roll(w, 5);
    w->current_key = w->requests[r].key = p < 3 ? -1 : roll(w, KEYS);
    g_snprintf(key, sizeof(key), "k%d", w->requests[r].key);
    g_snprintf(body, sizeof(body), "{\"input\":\"%d\"}", roll(w, 200));
    g_snprintf(deadline, sizeof(deadline), "%d", 50 + roll(w, 4000));
    struct flow_event ev = {.kind = FLOW_EV_REQUEST,
                            .request = {.req = (uint64_t)r,
                                        .request_id = str_from_cstr(deadline),
                                        .pipeline = str_from_cstr(names[p]),
                                        .token = STR_LIT("T"),
                                        .key = str_from_cstr(key),
                                        .deadline = str_from_cstr(deadline),
                                        .body = str_from_cstr(body),
                                        .stream = roll(w, 2)}};
    run_event(w, &ev);
}

static void
send_snapshot(struct world *w)
{
    static const char *const pools[] = {"enc", "gen", "svc", "led"};
    struct buf b = {0};
    for (int e = 0; e < ENDPOINTS; e++) {
        w->out_of_service[e] = roll(w, 6) == 0;
        buf_printf(&b, "%s%s:%s@z%d%s%s", e ? " " : "", pools[e / 2], ids[e],
                   1 + e % 2, w->cold[e] ? "!" : "",
                   w->out_of_service[e] ? "-" : "");
    }
    struct flow_event ev = {.kind = FLOW_EV_SNAPSHOT,
                            .snapshot = flow_script_snapshot(b.ptr)};
    run_event(w, &ev);
    snapshot_unref(ev.snapshot);
    buf_free(&b);
}

static void
inject_change(struct world *w)
{
    int e = roll(w, ENDPOINTS);
    struct flow_event ev = {.kind = FLOW_EV_PROBE};
    switch (roll(w, 12)) {
    case 0:
        send_snapshot(w);
        return;
    case 1:
    case 2:
        w->cold[e] = roll(w, 3) == 0;
        ev.kind = FLOW_EV_CONTROL_REPLY;
        ev.reply.kind = REPLY_ENDPOINT;
        ev.reply.endpoint =
            (struct endpoint_notice){str_from_cstr(ids[e]), w->cold[e], {0}};
        break;
    case 3:
        ev.kind = FLOW_EV_CALLER_GONE;
        ev.caller_gone = (uint64_t)roll(w, REQUESTS);
        break;
    case 4:
    case 5:
        ev.probe.endpoint = str_from_cstr(ids[e]);
        ev.probe.ok = roll(w, 3);
        break;
    default:
        ev.kind = FLOW_EV_FRESHNESS;
        ev.fresh_until_us = w->fresh_us =
            w->now_us + (roll(w, 10) ? 2000000 : 0);
        break;
    }
    run_event(w, &ev);
}

static void
run_seed(uint64_t seed, enum flow_policy policy)
{
    struct flow_options opts = {
        .node = 7, .incarnation = 9, .seed = seed, .policy = policy};
    struct world *w = mem_calloc(1, sizeof(*w));
    w->f = flow_new(&opts);
    w->full = policy == FLOW_POLICY_FULL;
    w->asks = g_ptr_array_new();
    w->now_us = 1000;
    rng_seed(&w->rng, seed);
    send_snapshot(w);
    struct flow_event tick = {.kind = FLOW_EV_TICK};
    for (int r = 1; r < REQUESTS;) {
        w->now_us += roll(w, 4000);
        run_event(w, &tick);
        int what = roll(w, 100);
        if (what < 5) {
            send_request(w, r++);
        }
        else if (what < 60) {
            advance_call(w);
        }
        else if (what < 90) {
            send_reply(w);
        }
        else {
            inject_change(w);
        }
    }
    g_test_message("seed %d: %d answers, %d refusals, %d actions, %d cold",
                   (int)seed, w->answers, w->refusals, w->actions,
                   w->cold_calls);
    /* Passes every deadline and the time that calls without a reported end are
     * kept. */
    for (int i = 0; i < 400; i++) {
        w->now_us += 100000;
        run_event(w, &tick);
    }
    g_assert_cmpint(flow_open_requests(w->f), ==, 0);
    g_assert_cmpint(w->answers, >, REQUESTS / 20);
    g_assert_cmpint(w->actions, >, 0);
    g_assert_true(w->cold_calls > 0 || !w->full);
    for (guint i = 0; i < w->asks->len; i++) {
        control_request_free(w->asks->pdata[i]);
    }
    g_ptr_array_free(w->asks, TRUE);
    flow_free(w->f);
    free(w);
}

static void
test_seeds(void)
{
    for (uint64_t seed = 1; seed <= 8; seed++) {
        run_seed(seed, FLOW_POLICY_FULL);
    }
    run_seed(9, FLOW_POLICY_ROUND_ROBIN);
    run_seed(10, FLOW_POLICY_LEAST_IN_FLIGHT);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow/random", test_seeds);
    return g_test_run();
}
