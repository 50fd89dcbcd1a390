#include <stdlib.h>
#include <xxhash.h>

#include "base/log.h"
#include "forward/state.h"

/* Number of times the stages are restarted after a result was lost. */
#define MAX_STAGE_RESTARTS 2
/* Results of at least this size should stay within a zone. */
#define LARGE_RESULT_BYTES 500000
/* Postponed large results are requested this much earlier, so that they are
 * seldom the last to be ready. */
#define POSTPONE_MARGIN_US (100 * MS)
/* The expected wait must be this many times what a request can wait before it
 * is refused: after an endpoint was silent for a second or two, the speed of
 * the queue is measured as half of what it is. */
#define EXPECTED_WAIT_MARGIN 2
/* Interval between checks of pending stage requests, and the time after which
 * one is resent. The time doubles with each resend up to
 * RESEND_MAX_DOUBLINGS: an owner that is only slow has all of them to read. */
#define CHECK_REQUESTS_US (60 * MS)
#define RESEND_US (170 * MS)
#define RESEND_MAX_DOUBLINGS 3
/* An acknowledged stage request is resent only in case results were lost. A
 * request with its inputs takes kilobytes of a slow link. */
#define RESEND_ACKNOWLEDGED_US (700 * MS)
static bool
stage_done(const struct request *r, int i)
{
    return r->stages[i].ready == r->stages[i].count;
}

bool
pieces_init(struct forward *f, int64_t now_us, struct request *r)
{
    const struct route *route = r->route;
    int all = 0;
    for (int i = 0; i < route->stage_count; i++) {
        struct stage *st = &r->stages[i];
        const struct service *s = routing_service(r->cluster_view->routing,
                                                  route->stages[i].service);
        st->service = map_get(&f->services, hash64(s->name));
        st->count = r->in.piece_counts[i];
        if (st->count > 0 && !st->service) {
            return false;
        }
        st->pieces =
            mem_calloc((size_t)st->count + 1, sizeof(struct stage_piece));
        all += st->count;
    }
    if (all > 0 && r->service->info.is_engine) {
        struct place_query query = {.prompt = &r->prompt,
                                    .zone = f->opts.zone,
                                    .nodes = forward_node_count(f)};
        r->planned_engine =
            place_select(r->service->endpoints, &query, now_us);
    }
    return true;
}

static bool
inputs_ready(const struct request *r, int i)
{
    uint32_t after = r->route->stages[i].after;
    for (int k = 0; k < r->route->stage_count; k++) {
        if ((after >> k & 1) && !stage_done(r, k)) {
            return false;
        }
    }
    return true;
}

static int
collect_inputs(const struct request *r, int stage, struct str *out, int max)
{
    int n = 0;
    for (int k = 0; k < r->route->stage_count; k++) {
        if (!(r->route->stages[stage].after >> k & 1)) {
            continue;
        }
        for (int p = 0; p < r->stages[k].count && n < max; p++) {
            out[n++] = r->stages[k].pieces[p].handle;
        }
    }
    return n;
}

static int64_t
at_least_zero(int64_t n)
{
    return n > 0 ? n : 0;
}

/* Selects the zone in which the pieces should run. Each piece reads all its
 * inputs, and the final call reads the results: the larger transfer decides.
 */
static void
select_zone(const struct forward *f, const struct request *r, int stage,
            struct stage_work_request *out)
{
    int64_t count = r->stages[stage].count;
    int64_t inputs = count * out->held_bytes;
    int64_t results = count * r->route->stages[stage].bytes;
    if (r->planned_engine && results >= LARGE_RESULT_BYTES &&
        results >= inputs) {
        out->zone = r->planned_engine->zone;
        out->zone_bytes = results;
        return;
    }
    for (int k = 0; inputs >= LARGE_RESULT_BYTES && k < stage; k++) {
        const struct endpoint *holder = NULL;
        if ((r->route->stages[stage].after >> k & 1) &&
            r->stages[k].count > 0) {
            holder = map_get(&f->endpoints,
                             r->stages[k].pieces[0].result_endpoint_hash);
        }
        if (holder) {
            out->zone = holder->zone;
            out->zone_bytes = inputs;
            return;
        }
    }
}

/* Fills in everything of a stage request except its pieces. The latest start
 * does not include the observed waits: they are longest when the queue is
 * long, and would make all urgent work late just then. */
static void
fill_stage_request(struct forward *f, int64_t now_us, const struct request *r,
                   const struct pending_stage_request *a,
                   struct stage_work_request *out)
{
    const struct route_stage *st = &r->route->stages[a->stage];
    const struct service_state *s = r->stages[a->stage].service;
    int64_t own_us = stage_time_duration_us(s, r->stages[a->stage].count);
    int64_t after_us =
        stage_time_path_us(r, a->stage, -1, WAITS_FOR_CALL, now_us) +
        stage_time_final_work_us(now_us, r);
    int64_t min_after_us = stage_time_path_us(r, a->stage, -1, WAITS_NONE, 0) +
                           STAGE_TIME_FIRST_BYTE_MIN_US;
    out->correlation_id = a->id;
    out->team = r->team_hash;
    out->waited_before_us = at_least_zero(r->arrived_us - r->first_attempt_us);
    out->service = s->hash;
    out->group = a->group;
    out->request_id = r->in.request_id;
    out->stage = a->stage;
    out->priority = r->priority;
    out->target_left_us =
        at_least_zero(r->target_us - now_us - own_us - after_us);
    out->expiry_left_us = at_least_zero(req_caller_leaves_us(r) - now_us -
                                        own_us - min_after_us);
    out->end_left_us = at_least_zero(req_caller_leaves_us(r) - now_us);
    out->bytes = st->bytes;
    for (int k = 0; k < r->route->stage_count; k++) {
        if (st->after >> k & 1) {
            out->held_bytes += r->route->stages[k].bytes * r->stages[k].count;
        }
    }
    select_zone(f, r, a->stage, out);
    out->keyed = st->after == 0;
    out->key = r->in.piece_key;
    out->input_count =
        collect_inputs(r, a->stage, out->inputs, STAGE_MAX_INPUTS);
    (void)f;
}

static void
send_stage_request(struct forward *f, int64_t now_us, const struct request *r,
                   struct pending_stage_request *a)
{
    struct stage_msg m = {.kind = STAGE_MSG_REQUEST};
    fill_stage_request(f, now_us, r, a, &m.request);
    const struct stage *st = &r->stages[a->stage];
    for (int p = 0; p < st->count; p++) {
        if (st->pieces[p].stage_request == a->id && !st->pieces[p].ready) {
            m.request.pieces[m.request.piece_count++] = p;
        }
    }
    a->sent_us = now_us;
    if (f->requests_check_us == INT64_MAX) {
        f->requests_check_us = now_us + CHECK_REQUESTS_US;
    }
    owners_send(f, now_us, a->owner, &m, m.request.service, a->group);
}

/* Sends the owner a request for up to STAGE_MAX_PIECES pieces that have not
 * been requested. */
static bool
request_pieces(struct forward *f, int64_t now_us, struct request *r, int stage)
{
    struct stage *st = &r->stages[stage];
    uint64_t id = f->next_call + 1;
    int count = 0;
    for (int p = 0; p < st->count && count < STAGE_MAX_PIECES; p++) {
        if (!st->pieces[p].ready && !st->pieces[p].stage_request) {
            st->pieces[p].stage_request = id;
            count++;
        }
    }
    if (count == 0) {
        return false;
    }
    struct pending_stage_request *a = mem_calloc(1, sizeof(*a));
    a->id = ++f->next_call;
    a->request = r->id;
    a->stage = stage;
    a->missing_count = count;
    a->group = (int)(r->in.content.hi % (uint64_t)st->service->groups);
    a->owner = owners_find(f, st->service->hash, a->group);
    map_put(&f->pending_requests, a->id, a);
    send_stage_request(f, now_us, r, a);
    return true;
}

/* Postpones a stage with large results that only the final call reads until
 * the other stages take no longer than it does. Results made earlier would
 * occupy endpoint memory that limits other requests in a burst. */
static bool
postpone_stage(struct forward *f, int64_t now_us, struct request *r, int stage)
{
    struct stage *st = &r->stages[stage];
    const struct route_stage *info = &r->route->stages[stage];
    st->postponed_until_us = 0;
    if (info->feeds_stage || st->count * info->bytes < LARGE_RESULT_BYTES) {
        return false;
    }
    int64_t own_us = stage_time_duration_us(st->service, st->count) +
                     waits_current_us(st->service, r, now_us);
    int64_t slack_us = stage_time_path_us(r, -1, stage, WAITS_ALL, now_us) -
                       own_us - POSTPONE_MARGIN_US;
    if (slack_us <= 0) {
        return false;
    }
    st->postponed_until_us = now_us + slack_us;
    timers_add(&f->timers, st->postponed_until_us, TIMER_STAGE_DUE, r->id);
    return true;
}

static bool
is_running_stages(const struct request *r)
{
    return r->state == REQ_RUNNING_STAGES || r->preparing;
}

void
pieces_request_postponed(struct forward *f, int64_t now_us, struct request *r)
{
    for (int i = 0; i < r->route->stage_count; i++) {
        const struct stage *st = &r->stages[i];
        if (!is_running_stages(r) || !st->postponed_until_us ||
            now_us < st->postponed_until_us || stage_done(r, i) ||
            !inputs_ready(r, i)) {
            continue;
        }
        while (request_pieces(f, now_us, r, i)) {
        }
    }
}

bool
pieces_request_ready(struct forward *f, int64_t now_us, struct request *r)
{
    bool done = true;
    for (int i = 0; i < r->route->stage_count; i++) {
        if (stage_done(r, i)) {
            continue;
        }
        done = false;
        if (!inputs_ready(r, i) || postpone_stage(f, now_us, r, i)) {
            continue;
        }
        while (request_pieces(f, now_us, r, i)) {
        }
    }
    return done;
}

static void
drop_stage_request(struct forward *f, int64_t now_us, uint64_t id,
                   uint64_t service)
{
    struct pending_stage_request *a = map_remove(&f->pending_requests, id);
    if (!a) {
        return;
    }
    struct stage_msg m = {.kind = STAGE_MSG_DROP};
    m.drop.correlation_id = id;
    owners_send(f, now_us, a->owner, &m, service, a->group);
    if (a->previous_owner) {
        owners_send(f, now_us, a->previous_owner, &m, service, a->group);
    }
    free(a);
}

/* Drops the requests of a stage; the owner releases the results. */
static void
drop_stage(struct forward *f, int64_t now_us, struct request *r, int i)
{
    struct stage *st = &r->stages[i];
    for (int p = 0; p < st->count; p++) {
        if (st->pieces[p].stage_request) {
            drop_stage_request(f, now_us, st->pieces[p].stage_request,
                               st->service->hash);
            st->pieces[p].stage_request = 0;
        }
        str_free(&st->pieces[p].handle);
    }
}

void
pieces_release(struct forward *f, int64_t now_us, struct request *r)
{
    if (r->results_released) {
        return;
    }
    r->results_released = true;
    for (int i = 0; i < r->route->stage_count; i++) {
        drop_stage(f, now_us, r, i);
    }
}

/* Drops stages whose results are no longer needed because all stages that read
 * them are done. */
static void
drop_unneeded_stages(struct forward *f, int64_t now_us, struct request *r)
{
    const struct route *route = r->route;
    for (int i = 0; i < route->stage_count; i++) {
        bool needed = !route->stages[i].feeds_stage || !stage_done(r, i);
        for (int k = 0; k < route->stage_count; k++) {
            needed |= (route->stages[k].after >> i & 1) && !stage_done(r, k);
        }
        if (!needed) {
            drop_stage(f, now_us, r, i);
        }
    }
}

/* Resets the stages, so that all pieces can be requested again. @return false
 * if the limit of restarts is reached */
static bool
reset_stages(struct forward *f, int64_t now_us, struct request *r)
{
    pieces_release(f, now_us, r);
    if (r->stage_restarts++ >= MAX_STAGE_RESTARTS) {
        return false;
    }
    r->results_released = false;
    LOG_EVENT(LOG_INFO, "stages_again", LOG_STR("request", r->in.request_id),
              LOG_INT("restart", r->stage_restarts));
    for (int i = 0; i < r->route->stage_count; i++) {
        struct stage *st = &r->stages[i];
        st->ready = 0;
        for (int p = 0; p < st->count; p++) {
            st->pieces[p].ready = false;
        }
    }
    return true;
}

bool
pieces_restart(struct forward *f, int64_t now_us, struct request *r)
{
    if (!reset_stages(f, now_us, r)) {
        return false;
    }
    r->state = REQ_RUNNING_STAGES;
    pieces_request_ready(f, now_us, r);
    return true;
}

bool
pieces_prepare(struct forward *f, int64_t now_us, struct request *r)
{
    r->preparing = reset_stages(f, now_us, r);
    if (r->preparing) {
        pieces_request_ready(f, now_us, r);
    }
    return r->preparing;
}

void
pieces_stop_preparing(struct forward *f, int64_t now_us, struct request *r)
{
    r->preparing = false;
    r->stage_restarts--;
    pieces_release(f, now_us, r);
}

bool
pieces_were_released(const struct request *r)
{
    int count = 0;
    for (int i = 0; i < r->route->stage_count; i++) {
        count += r->stages[i].count;
    }
    return r->results_released && count > 0;
}

int
pieces_result_handles(const struct request *r, struct str *out, int max)
{
    int n = 0;
    for (int i = 0; i < r->route->stage_count; i++) {
        for (int p = 0; !r->route->stages[i].feeds_stage &&
                        p < r->stages[i].count && n < max;
             p++) {
            out[n++] = r->stages[i].pieces[p].handle;
        }
    }
    return n;
}

/* Refuses a request whose next stages cannot end before its caller leaves, so
 * that they are not paid for. @return whether it was refused */
static bool
refuse_unmeetable(struct forward *f, int64_t now_us, struct request *r)
{
    for (int i = 0; i < r->route->stage_count; i++) {
        if (!stage_done(r, i) && stage_time_missing_us(r, i, now_us) > 0) {
            f->counters.stages_unmeetable++;
            returns_refuse(f, now_us, r, ERRKIND_DEADLINE_UNMEETABLE,
                           "the next stage cannot end in time",
                           waits_current_us(r->stages[i].service, r, now_us) /
                               MS,
                           r->stages[i].service);
            return true;
        }
    }
    return false;
}

/* Refuses a request before its first piece is paid for if, by the wait that
 * the owner expects, its stages cannot end before its caller leaves. A request
 * that is only late by its objective is not refused: a late answer is worth
 * more than none. */
static void
refuse_by_expected_wait(struct forward *f, int64_t now_us, struct request *r,
                        int stage, int64_t wait_us)
{
    if (r->state != REQ_RUNNING_STAGES || r->stage_restarts > 0) {
        return;
    }
    for (int i = 0; i < r->route->stage_count; i++) {
        if (r->stages[i].ready > 0) {
            return;
        }
    }
    int64_t missing = stage_time_missing_us(
        r, stage, now_us + wait_us / EXPECTED_WAIT_MARGIN);
    if (missing > 0) {
        f->counters.stages_unmeetable++;
        returns_refuse(f, now_us, r, ERRKIND_DEADLINE_UNMEETABLE,
                       "a stage is not expected to start in time",
                       missing / MS, r->stages[stage].service);
    }
}

static void
handle_piece_done(struct forward *f, int64_t now_us, struct request *r,
                  int stage, const struct stage_result *res)
{
    struct stage *st = &r->stages[stage];
    struct stage_piece *p = &st->pieces[res->piece];
    if (p->ready) {
        return;
    }
    p->ready = true;
    p->handle = str_dup(res->handle);
    p->result_endpoint_hash = res->maker;
    st->ready++;
    waits_record(st->service, r, now_us, res->waited_us);
    if (!stage_done(r, stage)) {
        return;
    }
    return_slots_record_taken(f->returns, st->service->hash, now_us);
    if (!r->preparing && refuse_unmeetable(f, now_us, r)) {
        return;
    }
    drop_unneeded_stages(f, now_us, r);
    if (!pieces_request_ready(f, now_us, r)) {
        return;
    }
    if (r->preparing) {
        response_repeat_prepared(f, now_us, r);
        return;
    }
    req_send_or_wait(f, now_us, r);
}

static void
handle_result(struct forward *f, int64_t now_us,
              const struct pending_stage_request *a,
              const struct stage_result *res)
{
    struct request *r = map_get(&f->requests, a->request);
    int stage = a->stage;
    if (!r || res->piece >= r->stages[stage].count ||
        r->stages[stage].pieces[res->piece].stage_request != a->id) {
        return;
    }
    /* A previous owner may still report a piece that another one has
     * completed, even after the request was sent. */
    if (!is_running_stages(r) || r->stages[stage].pieces[res->piece].ready) {
        return;
    }
    if (r->preparing && res->outcome != PIECE_DONE) {
        pieces_stop_preparing(f, now_us, r);
        return;
    }
    switch (res->outcome) {
    case PIECE_DONE:
        handle_piece_done(f, now_us, r, stage, res);
        break;
    case PIECE_LATE:
        returns_refuse(f, now_us, r, ERRKIND_DEADLINE_UNMEETABLE,
                       "a stage cannot be done in time",
                       waits_current_us(r->stages[stage].service, r, now_us) /
                           MS,
                       r->stages[stage].service);
        break;
    case PIECE_INPUT_GONE:
        f->counters.pieces_failed++;
        if (!pieces_restart(f, now_us, r)) {
            req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT,
                       "results of stages were lost", 200);
        }
        break;
    case PIECE_NO_MEMORY:
    case PIECE_ERROR:
    case PIECE_OUTCOME_COUNT:
        f->counters.pieces_failed++;
        req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT,
                   "a stage failed several times", 200);
        break;
    }
}

void
pieces_handle_reply(struct forward *f, int64_t now_us, uint64_t from,
                    const struct stage_msg *m)
{
    uint64_t id = m->kind == STAGE_MSG_ACK ? m->ack.correlation_id
                                           : m->result.correlation_id;
    struct pending_stage_request *a = map_get(&f->pending_requests, id);
    if (!a && m->kind == STAGE_MSG_RESULT) {
        /* The drop message of the ended request is on its way, or follows the
         * owner's next acknowledgement. One for each late result would keep a
         * slow owner busy. */
        return;
    }
    if (!a) {
        /* The stage request has ended, and its drop message was lost or
         * arrived before it. */
        struct stage_msg drop = {.kind = STAGE_MSG_DROP};
        drop.drop.correlation_id = id;
        owners_send(f, now_us, from, &drop, 0, 0);
        return;
    }
    if (m->kind == STAGE_MSG_RESULT) {
        handle_result(f, now_us, a, &m->result);
        return;
    }
    a->acknowledged |= from == a->owner;
    struct request *r = map_get(&f->requests, a->request);
    /* The expected wait of the acknowledgement includes the pieces of teams
     * above their share, which the others do not have to wait for. */
    if (r && r->share != REQ_SHARE_WITHIN) {
        waits_record(r->stages[a->stage].service, r, now_us, m->ack.wait_us);
        refuse_by_expected_wait(f, now_us, r, a->stage, m->ack.wait_us);
    }
}

/* Returns whether to resend a request. If its owner has been quiet, one
 * request is resent to detect a failure of the owner. */
static bool
resend_due(const struct forward *f, int64_t now_us,
           const struct pending_stage_request *a)
{
    if (a->acknowledged) {
        return now_us - a->sent_us >= RESEND_ACKNOWLEDGED_US ||
               owners_is_quiet(f, now_us, a->owner, RESEND_US);
    }
    return now_us - a->sent_us >= RESEND_US << a->resend_doublings;
}

/* Moves a request to another owner if its owner is suspect, and resends it if
 * that is due. A request stays with its owner even when a node joins that
 * ranks higher. */
static void
check_pending_request(struct forward *f, int64_t now_us,
                      struct pending_stage_request *a)
{
    struct request *r = map_get(&f->requests, a->request);
    if (!r || stage_done(r, a->stage)) {
        return;
    }
    const struct service_state *s = r->stages[a->stage].service;
    if (a->owner != f->self && owners_is_suspect(f, now_us, a->owner)) {
        struct stage_msg drop = {.kind = STAGE_MSG_DROP};
        drop.drop.correlation_id = a->id;
        drop.drop.keep_results = true;
        f->io.send_message(f->io.ctx, a->owner, &drop);
        a->previous_owner = a->owner;
        a->acknowledged = false;
        a->resend_doublings = 0;
        a->owner = owners_find(f, s->hash, a->group);
        f->counters.owner_changes++;
        LOG_EVENT(LOG_INFO, "stage_owner_changed",
                  LOG_STR("request", r->in.request_id),
                  LOG_INT("stage", a->stage));
        send_stage_request(f, now_us, r, a);
    }
    else if (a->owner != f->self && resend_due(f, now_us, a)) {
        a->resend_doublings =
            MIN(a->resend_doublings + 1, RESEND_MAX_DOUBLINGS);
        send_stage_request(f, now_us, r, a);
    }
}

void
pieces_check_requests(struct forward *f, int64_t now_us)
{
    size_t at = 0;
    struct pending_stage_request *a;
    if (now_us < f->requests_check_us) {
        return;
    }
    f->requests_check_us =
        f->pending_requests.count > 0 ? now_us + CHECK_REQUESTS_US : INT64_MAX;
    while ((a = map_next(&f->pending_requests, &at))) {
        check_pending_request(f, now_us, a);
    }
}
