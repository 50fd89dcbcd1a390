#include <stdlib.h>
#include <xxhash.h>

#include "base/log.h"
#include "forward/state.h"

/* Stages are made again this often when a result was lost. */
#define STAGE_RESTARTS 2
/* Bytes that are worth keeping inside a zone. */
#define LARGE_RESULT_BYTES 500000
/* Large results are asked for this much ahead, so that they seldom come last.
 */
#define LARGE_AHEAD_US (100 * MS)
/* Time from the final call to the first byte, besides reading the prompt. */
#define FINAL_US (40 * MS)
/* Share of a prompt that is not in an engine's memory, before one is chosen;
 * most of a prompt is shared. */
#define UNCACHED_SHARE 0.3
/* A wait that was seen counts half after this time. */
#define WAIT_HALF_US (400 * MS)
#define WAIT_WEIGHT 0.3
/* Open asks are looked at this often, and repeated after this time. */
#define FOLLOW_US (60 * MS)
#define REPEAT_US (170 * MS)
/* An ask that its owner has acknowledged is repeated for lost results only. An
 * ask with its inputs takes kilobytes of a thin link. */
#define REPEAT_KNOWN_US (700 * MS)
/* Time between nodes and for the owner's turn. */
#define OWNER_US (3 * MS)

static int64_t
length_us(const struct svc *s, int pieces)
{
    int batch = s->info.pieces.batch;
    int items = batch > 0 && pieces > batch ? batch : pieces;
    return s->info.pieces.call_us + items * s->info.pieces.item_us + OWNER_US;
}

static int
wait_class(int priority)
{
    return CLAMP(priority, 0, WAIT_PRIORITIES - 1);
}

static int64_t
wait_now(const struct svc *s, int priority, int64_t now_us)
{
    int class = wait_class(priority);
    int64_t halves = (now_us - s->waits[class].seen_us) / WAIT_HALF_US;
    return halves > 8 ? 0 : s->waits[class].us >> halves;
}

static void
saw_wait(struct svc *s, int priority, int64_t now_us, int64_t wait_us)
{
    double before = (double)wait_now(s, priority, now_us);
    int class = wait_class(priority);
    s->waits[class].us =
        (int64_t)((1 - WAIT_WEIGHT) * before + WAIT_WEIGHT * (double)wait_us);
    s->waits[class].seen_us = now_us;
}

static bool
stage_done(const struct request *r, int i)
{
    return r->stages[i].ready == r->stages[i].count;
}

/* Longest way through the stages that are left, from stage @p from on and but
 * for stage @p skip (-1: from the start, all).
 * @param now_us 0: without waits */
static int64_t
way_us(const struct request *r, int from, int skip, int64_t now_us)
{
    int64_t at[ROUTING_MAX_STAGES] = {0};
    int64_t latest = 0;
    for (int i = 0; i < r->route->stage_count; i++) {
        const struct stage *st = &r->stages[i];
        bool counts = from < 0;
        for (int k = 0; k < i; k++) {
            if (!(r->route->stages[i].after >> k & 1)) {
                continue;
            }
            counts |= k == from || (from >= 0 && at[k] > 0);
            at[i] = at[k] > at[i] ? at[k] : at[i];
        }
        if (counts && i != skip && !stage_done(r, i)) {
            at[i] += length_us(st->svc, st->count);
            at[i] += now_us ? wait_now(st->svc, r->priority, now_us) : 0;
        }
        latest = at[i] > latest ? at[i] : latest;
    }
    return latest;
}

int64_t
pieces_left_us(const struct request *r)
{
    return way_us(r, -1, -1, 0);
}

int64_t
pieces_expected_us(int64_t now_us, const struct request *r)
{
    return way_us(r, -1, -1, now_us);
}

int64_t
pieces_final_us(int64_t now_us, const struct request *r)
{
    if (!r->svc->info.is_engine) {
        return FINAL_US / 4;
    }
    if (r->planned) {
        return FINAL_US + place_read_us(r->planned, &r->prompt, now_us, NULL);
    }
    return FINAL_US + (int64_t)(UNCACHED_SHARE * (double)r->prompt.total) *
                          MS / ENGINE_TOKENS_PER_MS;
}

bool
pieces_plan(struct forward *f, int64_t now_us, struct request *r)
{
    const struct route *route = r->route;
    int all = 0;
    for (int i = 0; i < route->stage_count; i++) {
        struct stage *st = &r->stages[i];
        const struct service *s =
            routing_service(r->site->routing, route->stages[i].service);
        st->svc = map_get(&f->services, hash64(s->name));
        st->count = r->in.piece_counts[i];
        if (st->count > 0 && !st->svc) {
            return false;
        }
        st->pieces =
            mem_zero((size_t)st->count + 1, sizeof(struct stage_piece));
        all += st->count;
    }
    if (all > 0 && r->svc->info.is_engine) {
        struct place_ask ask = {.prompt = &r->prompt,
                                .zone = f->opts.zone,
                                .nodes = forward_nodes(f)};
        r->planned = place_choose(r->svc->endpoints, &ask, now_us);
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
gather_inputs(const struct request *r, int stage, struct str *out, int max)
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

/* Each piece reads all its inputs, and the final call reads the results: the
 * larger of the two decides in which zone the pieces should be made. */
static void
wish_zone(const struct forward *f, const struct request *r, int stage,
          struct stage_ask *out)
{
    int64_t count = r->stages[stage].count;
    int64_t inputs = count * out->held_bytes;
    int64_t results = count * r->route->stages[stage].bytes;
    if (r->planned && results >= LARGE_RESULT_BYTES && results >= inputs) {
        out->zone = r->planned->zone;
        out->zone_bytes = results;
        return;
    }
    for (int k = 0; inputs >= LARGE_RESULT_BYTES && k < stage; k++) {
        const struct endpoint *maker = NULL;
        if ((r->route->stages[stage].after >> k & 1) &&
            r->stages[k].count > 0) {
            maker = map_get(&f->endpoints, r->stages[k].pieces[0].maker_hash);
        }
        if (maker) {
            out->zone = maker->zone;
            out->zone_bytes = inputs;
            return;
        }
    }
}

/* Everything of an ask but its pieces. */
static void
describe(struct forward *f, int64_t now_us, const struct request *r,
         const struct open_ask *a, struct stage_ask *out)
{
    const struct route_stage *st = &r->route->stages[a->stage];
    const struct svc *s = r->stages[a->stage].svc;
    int64_t own = length_us(s, r->stages[a->stage].count);
    int64_t after =
        way_us(r, a->stage, -1, now_us) + pieces_final_us(now_us, r);
    int64_t least = way_us(r, a->stage, -1, 0) + FINAL_US / 2;
    out->ask = a->id;
    out->service = s->hash;
    out->group = a->group;
    out->request_id = r->in.request_id;
    out->stage = a->stage;
    out->priority = r->priority;
    out->target_left_us = at_least_zero(r->target_us - now_us - own - after);
    out->dead_left_us = at_least_zero(req_by_us(r) - now_us - own - least);
    out->end_left_us = at_least_zero(req_by_us(r) - now_us);
    out->bytes = st->bytes;
    for (int k = 0; k < r->route->stage_count; k++) {
        if (st->after >> k & 1) {
            out->held_bytes += r->route->stages[k].bytes * r->stages[k].count;
        }
    }
    wish_zone(f, r, a->stage, out);
    out->keyed = st->after == 0;
    out->key = r->in.piece_key;
    out->input_count =
        gather_inputs(r, a->stage, out->inputs, STAGE_MAX_INPUTS);
    (void)f;
}

static void
send_ask(struct forward *f, int64_t now_us, const struct request *r,
         struct open_ask *a)
{
    struct stage_msg m = {.kind = STAGE_MSG_ASK};
    describe(f, now_us, r, a, &m.ask);
    const struct stage *st = &r->stages[a->stage];
    for (int p = 0; p < st->count; p++) {
        if (st->pieces[p].ask == a->id && !st->pieces[p].ready) {
            m.ask.pieces[m.ask.piece_count++] = p;
        }
    }
    a->sent_us = now_us;
    if (f->asks_due_us == INT64_MAX) {
        f->asks_due_us = now_us + FOLLOW_US;
    }
    owners_tell(f, now_us, a->owner, &m, m.ask.service, a->group);
}

/* Asks the owner for up to STAGE_MAX_PIECES pieces that nobody makes yet. */
static bool
open_ask(struct forward *f, int64_t now_us, struct request *r, int stage)
{
    struct stage *st = &r->stages[stage];
    uint64_t id = f->next_call + 1;
    int count = 0;
    for (int p = 0; p < st->count && count < STAGE_MAX_PIECES; p++) {
        if (!st->pieces[p].ready && !st->pieces[p].ask) {
            st->pieces[p].ask = id;
            count++;
        }
    }
    if (count == 0) {
        return false;
    }
    struct open_ask *a = mem_zero(1, sizeof(*a));
    a->id = ++f->next_call;
    a->request = r->id;
    a->stage = stage;
    a->left = count;
    a->group = (int)(r->in.content.hi % (uint64_t)st->svc->groups);
    a->owner = owners_find(f, now_us, st->svc->hash, a->group);
    map_put(&f->asks, a->id, a);
    send_ask(f, now_us, r, a);
    return true;
}

/* Large results that only the final call reads are asked for when the other
 * stages are about to take no longer, since the room that they take at the
 * endpoints is what stops others in a burst. */
static bool
postpone(struct forward *f, int64_t now_us, struct request *r, int stage)
{
    struct stage *st = &r->stages[stage];
    const struct route_stage *info = &r->route->stages[stage];
    st->due_us = 0;
    if (info->feeds_stage || st->count * info->bytes < LARGE_RESULT_BYTES) {
        return false;
    }
    int64_t own =
        length_us(st->svc, st->count) + wait_now(st->svc, r->priority, now_us);
    int64_t spare = way_us(r, -1, stage, now_us) - own - LARGE_AHEAD_US;
    if (spare <= 0) {
        return false;
    }
    st->due_us = now_us + spare;
    timers_add(&f->timers, st->due_us, TIMER_STAGE, r->id);
    return true;
}

void
pieces_due(struct forward *f, int64_t now_us, struct request *r)
{
    for (int i = 0; i < r->route->stage_count; i++) {
        const struct stage *st = &r->stages[i];
        if (r->state != REQ_STAGES || !st->due_us || now_us < st->due_us ||
            stage_done(r, i)) {
            continue;
        }
        while (open_ask(f, now_us, r, i)) {
        }
    }
}

bool
pieces_advance(struct forward *f, int64_t now_us, struct request *r)
{
    bool done = true;
    for (int i = 0; i < r->route->stage_count; i++) {
        if (stage_done(r, i)) {
            continue;
        }
        done = false;
        if (!inputs_ready(r, i) || postpone(f, now_us, r, i)) {
            continue;
        }
        while (open_ask(f, now_us, r, i)) {
        }
    }
    return done;
}

static void
drop_ask(struct forward *f, int64_t now_us, uint64_t id, uint64_t service)
{
    struct open_ask *a = map_del(&f->asks, id);
    if (!a) {
        return;
    }
    struct stage_msg m = {.kind = STAGE_MSG_DROP};
    m.drop.ask = id;
    owners_tell(f, now_us, a->owner, &m, service, a->group);
    if (a->previous) {
        owners_tell(f, now_us, a->previous, &m, service, a->group);
    }
    free(a);
}

/* Ends the asks of a stage; the owner gives the results back. */
static void
drop_stage(struct forward *f, int64_t now_us, struct request *r, int i)
{
    struct stage *st = &r->stages[i];
    for (int p = 0; p < st->count; p++) {
        if (st->pieces[p].ask) {
            drop_ask(f, now_us, st->pieces[p].ask, st->svc->hash);
            st->pieces[p].ask = 0;
        }
        str_free(&st->pieces[p].handle);
    }
}

void
pieces_drop(struct forward *f, int64_t now_us, struct request *r)
{
    if (r->freed) {
        return;
    }
    r->freed = true;
    for (int i = 0; i < r->route->stage_count; i++) {
        drop_stage(f, now_us, r, i);
    }
}

/* Results of stages whose readers are all done are of no more use. */
static void
drop_read_stages(struct forward *f, int64_t now_us, struct request *r)
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

bool
pieces_restart(struct forward *f, int64_t now_us, struct request *r)
{
    pieces_drop(f, now_us, r);
    r->freed = false;
    if (r->stage_restarts++ >= STAGE_RESTARTS) {
        return false;
    }
    LOG_EVENT(LOG_INFO, "stages_again", LOG_S("request", r->in.request_id),
              LOG_I("restart", r->stage_restarts));
    for (int i = 0; i < r->route->stage_count; i++) {
        struct stage *st = &r->stages[i];
        st->ready = 0;
        for (int p = 0; p < st->count; p++) {
            st->pieces[p].ready = false;
        }
    }
    r->state = REQ_STAGES;
    pieces_advance(f, now_us, r);
    return true;
}

bool
pieces_lost(const struct request *r)
{
    int count = 0;
    for (int i = 0; i < r->route->stage_count; i++) {
        count += r->stages[i].count;
    }
    return r->freed && count > 0;
}

int
pieces_inputs(const struct request *r, struct str *out, int max)
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

static void
piece_made(struct forward *f, int64_t now_us, struct request *r, int stage,
           const struct stage_result *res)
{
    struct stage *st = &r->stages[stage];
    struct stage_piece *p = &st->pieces[res->piece];
    if (p->ready) {
        return;
    }
    p->ready = true;
    p->handle = str_dup(res->handle);
    p->maker_hash = res->maker;
    st->ready++;
    saw_wait(st->svc, r->priority, now_us, res->waited_us);
    if (!stage_done(r, stage)) {
        return;
    }
    drop_read_stages(f, now_us, r);
    if (pieces_advance(f, now_us, r)) {
        req_send_or_wait(f, now_us, r);
    }
}

static void
take_result(struct forward *f, int64_t now_us, const struct open_ask *a,
            const struct stage_result *res)
{
    struct request *r = map_get(&f->requests, a->request);
    int stage = a->stage;
    if (!r || res->piece >= r->stages[stage].count ||
        r->stages[stage].pieces[res->piece].ask != a->id) {
        return;
    }
    /* An owner that was passed over may still tell of a piece that another
     * one has made, even after the request was sent. */
    if (r->state != REQ_STAGES || r->stages[stage].pieces[res->piece].ready) {
        return;
    }
    switch (res->outcome) {
    case PIECE_DONE:
        piece_made(f, now_us, r, stage, res);
        break;
    case PIECE_LATE:
        req_refuse(f, now_us, r, ERRKIND_DEADLINE_UNMEETABLE,
                   "a stage cannot be done in time",
                   wait_now(r->stages[stage].svc, r->priority, now_us) / MS);
        break;
    case PIECE_GONE:
        f->count.pieces_failed++;
        if (!pieces_restart(f, now_us, r)) {
            req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT,
                       "results of stages were lost", 200);
        }
        break;
    case PIECE_ROOM:
    case PIECE_ERROR:
    case PIECE_OUTCOME_COUNT:
        f->count.pieces_failed++;
        req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT,
                   "a stage failed several times", 200);
        break;
    }
}

void
pieces_answer(struct forward *f, int64_t now_us, uint64_t from,
              const struct stage_msg *m)
{
    uint64_t id = m->kind == STAGE_MSG_ACK ? m->ack.ask : m->result.ask;
    struct open_ask *a = map_get(&f->asks, id);
    if (!a) {
        /* The ask has ended, and its drop was lost or overtook it. */
        struct stage_msg drop = {.kind = STAGE_MSG_DROP};
        drop.drop.ask = id;
        owners_tell(f, now_us, from, &drop, 0, 0);
        return;
    }
    if (m->kind == STAGE_MSG_RESULT) {
        take_result(f, now_us, a, &m->result);
        return;
    }
    a->known |= from == a->owner;
    const struct request *r = map_get(&f->requests, a->request);
    if (r) {
        saw_wait(r->stages[a->stage].svc, r->priority, now_us, m->ack.wait_us);
    }
}

/* One ask is repeated to an owner that was not heard of, so that its end is
 * noticed. */
static bool
repeat_due(const struct forward *f, int64_t now_us, const struct open_ask *a)
{
    if (a->known && now_us - a->sent_us < REPEAT_KNOWN_US) {
        return owners_quiet(f, now_us, a->owner, REPEAT_US);
    }
    return now_us - a->sent_us >= REPEAT_US;
}

/* The owner changes when it is silent or a node joins with a higher rank; an
 * ask stays with its owner unless that is silent. */
static void
follow(struct forward *f, int64_t now_us, struct open_ask *a)
{
    struct request *r = map_get(&f->requests, a->request);
    if (!r || stage_done(r, a->stage)) {
        return;
    }
    const struct svc *s = r->stages[a->stage].svc;
    if (a->owner != f->self && owners_suspect(f, now_us, a->owner)) {
        struct stage_msg drop = {.kind = STAGE_MSG_DROP};
        drop.drop.ask = a->id;
        drop.drop.keep_results = true;
        f->io.tell(f->io.ctx, a->owner, &drop);
        a->previous = a->owner;
        a->known = false;
        a->owner = owners_find(f, now_us, s->hash, a->group);
        f->count.owner_changes++;
        LOG_EVENT(LOG_INFO, "stage_owner_changed",
                  LOG_S("request", r->in.request_id),
                  LOG_I("stage", a->stage));
        send_ask(f, now_us, r, a);
    }
    else if (a->owner != f->self && repeat_due(f, now_us, a)) {
        send_ask(f, now_us, r, a);
    }
}

void
pieces_follow(struct forward *f, int64_t now_us)
{
    size_t at = 0;
    struct open_ask *a;
    if (now_us < f->asks_due_us) {
        return;
    }
    f->asks_due_us = f->asks.count > 0 ? now_us + FOLLOW_US : INT64_MAX;
    while ((a = map_next(&f->asks, &at))) {
        follow(f, now_us, a);
    }
}
