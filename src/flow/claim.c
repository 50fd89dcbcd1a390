#include "flow/claim.h"

#include <stdlib.h>

#include "flow/pool.h"
#include "flow/request.h"
#include "flow/stage.h"

/* A grant may come this late after its attempt was given up; later ones stay
 * claimed until the resend horizon, which is safe. */
#define GIVEN_UP_US (60 * SECOND)
#define SWEEP_US (10 * SECOND)

/* An attempt that ended before anything was sent. */
struct given_up {
    uint64_t seq;
    struct digest key;
    struct digest body;
    int64_t until_us;
};

static struct attempt_id
attempt_of(const struct flow *f, uint64_t seq)
{
    return (struct attempt_id){f->opts.node, f->opts.incarnation, seq};
}

static void
emit(struct flow *f, const struct request *r, int stage, enum claim_verb verb,
     int http_status, struct str answer)
{
    const struct stage_claim *cl = &r->claims[stage];
    core_ask(f, ASK_CLAIM)->claim = (struct claim_ask){
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
claim_open(struct flow *f, struct request *r, struct str key)
{
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        if (r->pipeline->stages[i].repeatable) {
            continue;
        }
        struct stage_claim *cl = &r->claims[i];
        char index = (char)('0' + i);
        struct str parts[] = {r->team->name, key, str_of(&index, 1)};
        cl->key = digest_of(parts, 3);
        cl->seq = core_seq(f);
        cl->step = CLAIM_STEP_OPENING;
        cl->asked_us = f->now_us;
        map_put(&f->claims, cl->seq, r);
        emit(f, r, i, CLAIM_VERB_OPEN, 0, (struct str){0});
    }
}

void
claim_ask(struct flow *f, struct request *r)
{
    struct stage_claim *cl = &r->claims[r->stage];
    cl->step = CLAIM_STEP_CLAIMING;
    cl->asked_us = f->now_us;
    r->state = REQ_CLAIMING;
    f->counts[COUNT_CLAIMS]++;
    emit(f, r, r->stage, CLAIM_VERB_CLAIM, 0, (struct str){0});
}

void
claim_done(struct flow *f, struct request *r, int stage, int http_status,
           struct str answer)
{
    struct stage_claim *cl = &r->claims[stage];
    cl->step = CLAIM_STEP_DONE;
    cl->http_status = http_status;
    emit(f, r, stage, CLAIM_VERB_DONE, http_status, core_keep(f, answer));
}

static void
abandon(struct flow *f, struct request *r, int stage)
{
    struct stage_claim *cl = &r->claims[stage];
    emit(f, r, stage, CLAIM_VERB_ABANDON, 0, (struct str){0});
    f->counts[COUNT_ABANDONS]++;
    struct given_up *g = mem_zero(1, sizeof(*g));
    *g = (struct given_up){cl->seq, cl->key, r->content,
                           f->now_us + GIVEN_UP_US};
    map_put(&f->given_up, cl->seq, g);
    cl->step = CLAIM_STEP_CLOSED;
}

void
claim_close(struct flow *f, struct request *r)
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
        case CLAIM_STEP_CLOSING:
        case CLAIM_STEP_CLOSED:
            break;
        }
        map_del(&f->claims, r->claims[i].seq);
    }
}

bool
claim_check_free(struct flow *f, struct request *r)
{
    bool any = false;
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        enum claim_step s = r->claims[i].step;
        if (s == CLAIM_STEP_OPENED || s == CLAIM_STEP_CLAIMING ||
            s == CLAIM_STEP_GRANTED) {
            abandon(f, r, i);
            r->claims[i].step = CLAIM_STEP_CLOSING;
            any = true;
        }
    }
    return any;
}

static void
closed(struct flow *f, struct request *r, struct stage_claim *cl,
       const struct claim_reply *c)
{
    cl->step = CLAIM_STEP_CLOSED;
    r->key_taken |= !c->key_free;
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        if (r->claims[i].step == CLAIM_STEP_CLOSING) {
            return;
        }
    }
    request_closed(f, r, true);
}

/* OPENED or GRANTED for an attempt that was given up: abandoned again, since
 * the request may have overtaken the first ABANDON. */
static void
late(struct flow *f, const struct claim_reply *c)
{
    struct given_up *g = map_get(&f->given_up, c->attempt.seq);
    if (!g || (c->state != CLAIM_OPENED && c->state != CLAIM_GRANTED)) {
        return;
    }
    f->counts[COUNT_ABANDONS]++;
    core_ask(f, ASK_CLAIM)->claim = (struct claim_ask){
        .verb = CLAIM_VERB_ABANDON,
        .key = g->key,
        .body = g->body,
        .attempt = attempt_of(f, g->seq),
    };
}

/* Takes a recorded answer as the stage's. @return false if the request was
 * refused because of it */
static bool
replay(struct flow *f, struct request *r, int stage,
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
    if (!c->answer_kept) {
        request_refuse(f, r, ERRKIND_ANSWER_NOT_KEPT, "stage %d", stage);
        return false;
    }
    struct compose_in in;
    request_compose_in(r, &in);
    r->results[stage] = compose_result(&in, stage, c->answer);
    r->replayed |= 1u << stage;
    return true;
}

static void
opened(struct flow *f, struct request *r)
{
    int last = -1;
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        if (r->claims[i].step == CLAIM_STEP_OPENING) {
            return;
        }
        last = r->claims[i].step == CLAIM_STEP_DONE ? i : last;
    }
    core_span(f, r, "claim_open", -1, NULL, r->arrived_us, "ok");
    /* Nothing is left that would read the results of earlier stages. */
    if (last == r->pipeline->stage_count - 1) {
        request_finish(f, r);
        return;
    }
    request_admit(f, r);
}

static void
granted(struct flow *f, struct request *r)
{
    struct stage_claim *cl = &r->claims[r->stage];
    cl->step = CLAIM_STEP_GRANTED;
    core_span(f, r, "claim", r->stage, NULL, cl->asked_us, "granted");
    if (f->now_us >= r->deadline_us) {
        request_refuse(f, r, ERRKIND_DEADLINE_EXCEEDED, "after the claim");
        return;
    }
    stage_ready(f, r);
}

static void
apply(struct flow *f, struct request *r, int stage,
      const struct claim_reply *c)
{
    struct stage_claim *cl = &r->claims[stage];
    bool opening = cl->step == CLAIM_STEP_OPENING;
    switch (c->state) {
    case CLAIM_OPENED:
        if (opening) {
            cl->step = CLAIM_STEP_OPENED;
            opened(f, r);
        }
        return;
    case CLAIM_GRANTED:
        if (!opening) {
            granted(f, r);
        }
        return;
    case CLAIM_DONE:
        if (!replay(f, r, stage, c)) {
            return;
        }
        if (opening) {
            opened(f, r);
        }
        else {
            stage_begin(f, r);
        }
        return;
    case CLAIM_HELD:
        cl->step = CLAIM_STEP_CLOSED;
        request_refuse(f, r, ERRKIND_OUTCOME_UNKNOWN,
                       "an earlier request with this key");
        return;
    case CLAIM_BUSY:
        cl->step = CLAIM_STEP_CLOSED;
        request_refuse(f, r, ERRKIND_IN_PROGRESS, "stage %d", stage);
        return;
    case CLAIM_MISMATCH:
        cl->step = CLAIM_STEP_CLOSED;
        request_refuse(f, r, ERRKIND_KEY_REUSED, "stage %d", stage);
        return;
    case CLAIM_CLOSED: /* of an ABANDON: see closed() */
        return;
    case CLAIM_UNAVAILABLE:
        request_refuse(
            f, r, opening ? ERRKIND_CLAIM_UNKNOWN : ERRKIND_STORE_UNAVAILABLE,
            "stage %d", stage);
        return;
    }
}

void
claim_reply(struct flow *f, const struct claim_reply *c)
{
    if (c->attempt.node != f->opts.node ||
        c->attempt.incarnation != f->opts.incarnation) {
        return;
    }
    struct request *r = map_get(&f->claims, c->attempt.seq);
    if (!r) {
        late(f, c);
        return;
    }
    for (int i = 0; i < r->pipeline->stage_count; i++) {
        struct stage_claim *cl = &r->claims[i];
        if (cl->step == CLAIM_STEP_NONE || cl->seq != c->attempt.seq ||
            !digest_eq(cl->key, c->key)) {
            continue;
        }
        if (cl->step == CLAIM_STEP_CLOSING) {
            if (c->verb == CLAIM_VERB_ABANDON && c->state == CLAIM_CLOSED) {
                closed(f, r, cl, c);
                return;
            }
            late(f, c);
            return;
        }
        /* A repeated or overtaken reply does not match the open question. */
        bool open =
            (cl->step == CLAIM_STEP_OPENING && c->verb == CLAIM_VERB_OPEN) ||
            (cl->step == CLAIM_STEP_CLAIMING && c->verb == CLAIM_VERB_CLAIM);
        if (open) {
            apply(f, r, i, c);
        }
        return;
    }
}

void
claim_sweep(struct flow *f)
{
    if (f->given_up.count == 0 || f->now_us - f->swept_us < SWEEP_US) {
        return;
    }
    f->swept_us = f->now_us;
    struct map kept = {0};
    size_t at = 0;
    struct given_up *g;
    while ((g = map_next(&f->given_up, &at))) {
        if (g->until_us > f->now_us) {
            map_put(&kept, g->seq, g);
        }
        else {
            free(g);
        }
    }
    map_free(&f->given_up);
    f->given_up = kept;
}

void
claim_free(struct flow *f)
{
    size_t at = 0;
    struct given_up *g;
    while ((g = map_next(&f->given_up, &at))) {
        free(g);
    }
    map_free(&f->given_up);
    map_free(&f->claims);
}
