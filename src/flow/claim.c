#include "flow/claim.h"

#include <stdlib.h>

#include "flow/pool.h"
#include "flow/request.h"
#include "flow/stage.h"

/* A grant that arrives within this time after its attempt was abandoned is
 * abandoned again. A later one stays claimed until the resend horizon, which
 * is safe. */
#define ABANDONED_KEEP_US (60 * SECOND)
#define ABANDONED_SWEEP_US (10 * SECOND)

/* The claim of an attempt that ended before anything was sent. */
struct abandoned_claim {
    uint64_t seq;
    struct digest key;
    struct digest body;
    int64_t keep_until_us;
};

static struct attempt_id
attempt_of(const struct flow *f, uint64_t seq)
{
    return (struct attempt_id){f->opts.node, f->opts.incarnation, seq};
}

static void
send_verb(struct flow *f, const struct request *r, int stage,
          enum claim_verb verb, int http_status, struct str answer)
{
    const struct stage_claim *cl = &r->claims[stage];
    core_add_control_message(f, CONTROL_REQUEST_CLAIM)->claim =
        (struct claim_request){
            .verb = verb,
            .key = cl->key,
            .body = r->content,
            .attempt = attempt_of(f, cl->seq),
            .valid_us =
                r->deadline_us > f->now_us ? r->deadline_us - f->now_us : 0,
            .http_status = http_status,
            .answer = answer,
        };
}

void
claim_open_all(struct flow *f, struct request *r, struct str key)
{
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        if (r->pipeline->stages[i].repeatable) {
            continue;
        }
        struct stage_claim *cl = &r->claims[i];
        char index = (char)('0' + i);
        struct str parts[] = {r->team->name, key, str_from_bytes(&index, 1)};
        cl->key = digest_compute(parts, 3);
        cl->seq = core_next_seq(f);
        cl->step = CLAIM_STEP_OPENING;
        cl->requested_us = f->now_us;
        map_put(&f->claims, cl->seq, r);
        send_verb(f, r, i, CLAIM_VERB_OPEN, 0, (struct str){0});
    }
}

void
claim_request_grant(struct flow *f, struct request *r)
{
    struct stage_claim *cl = &r->claims[r->stage];
    cl->step = CLAIM_STEP_CLAIMING;
    cl->requested_us = f->now_us;
    r->state = REQ_CLAIMING;
    f->counts[COUNT_CLAIMS]++;
    send_verb(f, r, r->stage, CLAIM_VERB_CLAIM, 0, (struct str){0});
}

void
claim_record_answer(struct flow *f, struct request *r, int stage,
                    int http_status, struct str answer)
{
    struct stage_claim *cl = &r->claims[stage];
    cl->step = CLAIM_STEP_DONE;
    cl->http_status = http_status;
    send_verb(f, r, stage, CLAIM_VERB_DONE, http_status,
              core_copy_str(f, answer));
}

static void
abandon(struct flow *f, struct request *r, int stage)
{
    struct stage_claim *cl = &r->claims[stage];
    send_verb(f, r, stage, CLAIM_VERB_ABANDON, 0, (struct str){0});
    f->counts[COUNT_ABANDONS]++;
    struct abandoned_claim *g = mem_calloc(1, sizeof(*g));
    *g = (struct abandoned_claim){cl->seq, cl->key, r->content,
                                  f->now_us + ABANDONED_KEEP_US};
    map_put(&f->abandoned_claims, cl->seq, g);
    cl->step = CLAIM_STEP_ENDED;
}

void
claim_abandon_unsent(struct flow *f, struct request *r)
{
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        switch (r->claims[i].step) {
        case CLAIM_STEP_NONE:
            continue;
        case CLAIM_STEP_OPENING:
        case CLAIM_STEP_OPENED:
        case CLAIM_STEP_CLAIMING:
        case CLAIM_STEP_GRANTED:
            abandon(f, r, i);
            break;
        case CLAIM_STEP_SENT:
        case CLAIM_STEP_DONE:
        case CLAIM_STEP_ABANDONING:
        case CLAIM_STEP_ENDED:
            break;
        }
        map_remove(&f->claims, r->claims[i].seq);
    }
}

bool
claim_abandon_and_check_keys(struct flow *f, struct request *r)
{
    bool any = false;
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        enum claim_step s = r->claims[i].step;
        if (s == CLAIM_STEP_OPENED || s == CLAIM_STEP_CLAIMING ||
            s == CLAIM_STEP_GRANTED) {
            abandon(f, r, i);
            r->claims[i].step = CLAIM_STEP_ABANDONING;
            any = true;
        }
    }
    return any;
}

static void
on_closed(struct flow *f, struct request *r, struct stage_claim *cl,
          const struct claim_reply *c)
{
    cl->step = CLAIM_STEP_ENDED;
    r->key_taken |= !c->key_free;
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        if (r->claims[i].step == CLAIM_STEP_ABANDONING) {
            return;
        }
    }
    request_on_claims_ended(f, r, true);
}

/* Handles OPENED or GRANTED for an abandoned attempt: sends ABANDON again,
 * since the first one may have arrived before the OPEN or CLAIM. */
static void
abandon_late_grant(struct flow *f, const struct claim_reply *c)
{
    struct abandoned_claim *g = map_get(&f->abandoned_claims, c->attempt.seq);
    if (!g || (c->state != CLAIM_OPENED && c->state != CLAIM_GRANTED)) {
        return;
    }
    f->counts[COUNT_ABANDONS]++;
    core_add_control_message(f, CONTROL_REQUEST_CLAIM)->claim =
        (struct claim_request){
            .verb = CLAIM_VERB_ABANDON,
            .key = g->key,
            .body = g->body,
            .attempt = attempt_of(f, g->seq),
        };
}

/* Uses a recorded answer as the result of its stage. @return false if the
 * request was refused because of that answer */
static bool
replay_answer(struct flow *f, struct request *r, int stage,
              const struct claim_reply *c)
{
    struct stage_claim *cl = &r->claims[stage];
    cl->step = CLAIM_STEP_DONE;
    cl->http_status = c->http_status;
    f->counts[COUNT_REPLAYS]++;
    if (c->http_status / 100 != 2) {
        stage_refuse_status(f, r, stage, c->http_status);
        return false;
    }
    if (!c->answer_stored) {
        request_refuse(f, r, ERRKIND_ANSWER_NOT_KEPT, "stage %d", stage);
        return false;
    }
    struct compose_input in;
    request_fill_compose_input(r, &in);
    r->results[stage] = compose_result(&in, stage, c->answer);
    r->replayed_stages |= 1u << stage;
    return true;
}

static void
on_opened(struct flow *f, struct request *r)
{
    int last = -1;
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        if (r->claims[i].step == CLAIM_STEP_OPENING) {
            return;
        }
        last = r->claims[i].step == CLAIM_STEP_DONE ? i : last;
    }
    core_add_span(f, r, "claim_open", -1, NULL, r->arrived_us, "ok");
    /* The last stage is done; no stage will read the results of the others. */
    if (last == r->pipeline->stage_count - 1) {
        request_finish(f, r);
        return;
    }
    request_admit(f, r);
}

static void
on_granted(struct flow *f, struct request *r)
{
    struct stage_claim *cl = &r->claims[r->stage];
    cl->step = CLAIM_STEP_GRANTED;
    core_add_span(f, r, "claim", r->stage, NULL, cl->requested_us, "granted");
    if (f->now_us >= r->deadline_us) {
        request_refuse(f, r, ERRKIND_DEADLINE_EXCEEDED, "after the claim");
        return;
    }
    stage_make_ready(f, r);
}

static void
apply_reply(struct flow *f, struct request *r, int stage,
            const struct claim_reply *c)
{
    struct stage_claim *cl = &r->claims[stage];
    bool opening = cl->step == CLAIM_STEP_OPENING;
    switch (c->state) {
    case CLAIM_OPENED:
        if (opening) {
            cl->step = CLAIM_STEP_OPENED;
            on_opened(f, r);
        }
        return;
    case CLAIM_GRANTED:
        if (!opening) {
            on_granted(f, r);
        }
        return;
    case CLAIM_DONE:
        if (!replay_answer(f, r, stage, c)) {
            return;
        }
        if (opening) {
            on_opened(f, r);
        }
        else {
            stage_start_next(f, r);
        }
        return;
    case CLAIM_HELD:
        cl->step = CLAIM_STEP_ENDED;
        request_refuse(f, r, ERRKIND_OUTCOME_UNKNOWN,
                       "an earlier request with this key");
        return;
    case CLAIM_BUSY:
        cl->step = CLAIM_STEP_ENDED;
        request_refuse(f, r, ERRKIND_IN_PROGRESS, "stage %d", stage);
        return;
    case CLAIM_MISMATCH:
        cl->step = CLAIM_STEP_ENDED;
        request_refuse(f, r, ERRKIND_KEY_REUSED, "stage %d", stage);
        return;
    case CLAIM_CLOSED: /* reply to ABANDON, see on_closed() */
        return;
    case CLAIM_UNAVAILABLE:
        request_refuse(
            f, r, opening ? ERRKIND_CLAIM_UNKNOWN : ERRKIND_STORE_UNAVAILABLE,
            "stage %d", stage);
        return;
    }
}

void
claim_on_reply(struct flow *f, const struct claim_reply *c)
{
    if (c->attempt.node != f->opts.node ||
        c->attempt.incarnation != f->opts.incarnation) {
        return;
    }
    struct request *r = map_get(&f->claims, c->attempt.seq);
    if (!r) {
        abandon_late_grant(f, c);
        return;
    }
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        struct stage_claim *cl = &r->claims[i];
        if (cl->step == CLAIM_STEP_NONE || cl->seq != c->attempt.seq ||
            !digest_eq(cl->key, c->key)) {
            continue;
        }
        if (cl->step == CLAIM_STEP_ABANDONING) {
            if (c->verb == CLAIM_VERB_ABANDON && c->state == CLAIM_CLOSED) {
                on_closed(f, r, cl, c);
                return;
            }
            abandon_late_grant(f, c);
            return;
        }
        /* A repeated or outdated reply does not match the pending message. */
        bool expected =
            (cl->step == CLAIM_STEP_OPENING && c->verb == CLAIM_VERB_OPEN) ||
            (cl->step == CLAIM_STEP_CLAIMING && c->verb == CLAIM_VERB_CLAIM);
        if (expected) {
            apply_reply(f, r, i, c);
        }
        return;
    }
}

void
claim_expire_abandoned(struct flow *f)
{
    if (f->abandoned_claims.count == 0 ||
        f->now_us - f->abandoned_swept_us < ABANDONED_SWEEP_US) {
        return;
    }
    f->abandoned_swept_us = f->now_us;
    struct map remaining = {0};
    size_t at = 0;
    struct abandoned_claim *g;
    while ((g = map_next(&f->abandoned_claims, &at))) {
        if (g->keep_until_us > f->now_us) {
            map_put(&remaining, g->seq, g);
        }
        else {
            free(g);
        }
    }
    map_free(&f->abandoned_claims);
    f->abandoned_claims = remaining;
}

void
claim_free_all(struct flow *f)
{
    size_t at = 0;
    struct abandoned_claim *g;
    while ((g = map_next(&f->abandoned_claims, &at))) {
        free(g);
    }
    map_free(&f->abandoned_claims);
    map_free(&f->claims);
}
