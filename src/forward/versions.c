#include "forward/versions.h"

#include <stdlib.h>
#include <xxhash.h>

#include "base/log.h"

/* Calls of an endpoint that break within this time count as one failure: a VM
 * may crash under a good version. */
#define BREAK_WINDOW_US (50 * MS)
/* Streams that can go on elsewhere leave old endpoints this long after the
 * traffic has moved. Most end by then. */
#define STREAM_MOVE_US (1500 * MS)
#define STREAM_CHECK_US (200 * MS)
#define ENGINE_UNIT_US (100 * MS)
/* Requests without a response count as slow ones from this age on, since they
 * may end after the decision. */
#define PENDING_US (1 * SECOND)

/* A call of pieces in progress. */
struct version_call {
    uint64_t id;
    uint64_t service;
    enum rollout_side side;
    int64_t sent_us;
    int items;
};

static enum rollout_side
side_of(const struct service_state *s, const struct endpoint *e)
{
    /* Rejected versions must be left as old ones. */
    return rollout_traffic_class(s->rollout, e->version) == ROLLOUT_CLASS_NEW
               ? ROLLOUT_NEW
               : ROLLOUT_OLD;
}

static int
compare_by_rank(gconstpointer a, gconstpointer b)
{
    const struct endpoint *x = *(struct endpoint *const *)a;
    const struct endpoint *y = *(struct endpoint *const *)b;
    return x->version_rank < y->version_rank   ? -1
           : x->version_rank > y->version_rank ? 1
                                               : 0;
}

static bool
is_in_group(const struct service_state *s, guint i, int group)
{
    return s->groups <= 1 || (int)(i % (guint)s->groups) == group;
}

/* Chooses the new endpoints of a group that get the share. All nodes choose
 * the same ones. */
static void
choose_endpoints(struct service_state *s, int group)
{
    int count[ROLLOUT_SIDES] = {0};
    GPtrArray *fresh = g_ptr_array_new();
    for (guint i = 0; i < s->endpoints->len; i++) {
        struct endpoint *e = g_ptr_array_index(s->endpoints, i);
        if (!is_in_group(s, i, group)) {
            continue;
        }
        e->version_class = rollout_traffic_class(s->rollout, e->version);
        e->version_chosen = false;
        if (e->version_class == ROLLOUT_CLASS_NEW) {
            uint64_t pair[2] = {e->hash, s->rollout->directive.order};
            e->version_rank = XXH3_64bits(pair, sizeof(pair));
            g_ptr_array_add(fresh, e);
            count[ROLLOUT_NEW]++;
        }
        else if (e->version_class == ROLLOUT_CLASS_OLD) {
            count[ROLLOUT_OLD]++;
        }
    }
    g_ptr_array_sort(fresh, compare_by_rank);
    int chosen = rollout_traffic_servers(s->rollout, count);
    for (int i = 0; i < chosen; i++) {
        ((struct endpoint *)g_ptr_array_index(fresh, (guint)i))
            ->version_chosen = true;
    }
    g_ptr_array_free(fresh, TRUE);
    s->version_counts[ROLLOUT_OLD] += count[ROLLOUT_OLD];
    s->version_counts[ROLLOUT_NEW] += count[ROLLOUT_NEW];
}

void
versions_update(struct forward *f, struct service_state *s)
{
    if (!s->rollout) {
        return;
    }
    s->version_counts[ROLLOUT_OLD] = s->version_counts[ROLLOUT_NEW] = 0;
    int groups = s->info.processes_pieces ? MAX(s->groups, 1) : 1;
    for (int group = 0; group < groups; group++) {
        choose_endpoints(s, groups > 1 ? group : 0);
    }
    f->dispatch_needed = true;
}

void
forward_set_rollout(struct forward *f, int64_t now_us,
                    const struct rollout_directive *d)
{
    struct service_state *s = map_get(&f->services, d->service);
    if (!s) {
        return;
    }
    bool moved = d->share_ppm >= ROLLOUT_PPM;
    if (!s->rollout) {
        s->rollout = mem_calloc(1, sizeof(*s->rollout));
    }
    bool was_moved = s->rollout->directive.share_ppm >= ROLLOUT_PPM;
    s->moved_us = moved ? (was_moved ? s->moved_us : now_us) : 0;
    rollout_traffic_apply(s->rollout, d, rng_uniform(&f->rng));
    versions_update(f, s);
}

/* Requests */

/* All traffic goes to the new version. */
static bool
is_moved(const struct service_state *s, int64_t now_us)
{
    return rollout_traffic_allows_new(s->rollout, now_us) &&
           s->rollout->directive.share_ppm >= ROLLOUT_PPM;
}

static enum rollout_side
choose_side(struct request *r, int64_t now_us)
{
    const struct service_state *s = r->service;
    if (is_moved(s, now_us)) {
        return ROLLOUT_NEW;
    }
    /* A failure may be the new version's, so repeats go to the old one. */
    if (r->tried_count > 0 || r->response_started) {
        return ROLLOUT_OLD;
    }
    if (!r->version_asked) {
        r->version_asked = true;
        r->version_side = rollout_traffic_choose(s->rollout, now_us);
    }
    return rollout_traffic_allows_new(s->rollout, now_us) ? r->version_side
                                                          : ROLLOUT_OLD;
}

static void
withhold(const struct service_state *s, enum rollout_side side, bool all_new)
{
    for (guint i = 0; i < s->endpoints->len; i++) {
        struct endpoint *e = g_ptr_array_index(s->endpoints, i);
        switch (e->version_class) {
        case ROLLOUT_CLASS_OLD:
            e->withheld = side != ROLLOUT_OLD;
            break;
        case ROLLOUT_CLASS_NEW:
            e->withheld =
                side != ROLLOUT_NEW || !(e->version_chosen || all_new);
            break;
        case ROLLOUT_CLASS_REJECTED:
            e->withheld = true;
            break;
        }
    }
}

void
versions_withhold_for(const struct forward *f, int64_t now_us,
                      const struct request *r)
{
    const struct service_state *s = r->service;
    (void)f;
    if (s->rollout && s->rollout->directive.active) {
        withhold(s, is_moved(s, now_us) ? ROLLOUT_NEW : ROLLOUT_OLD, false);
    }
}

struct endpoint *
versions_select(struct forward *f, int64_t now_us, struct request *r,
                const struct place_query *query)
{
    struct service_state *s = r->service;
    (void)f;
    if (!s->rollout || !s->rollout->directive.active) {
        return place_select(s->endpoints, query, now_us);
    }
    enum rollout_side side = choose_side(r, now_us);
    withhold(s, side, false);
    struct endpoint *e = place_select(s->endpoints, query, now_us);
    if (e) {
        return e;
    }
    bool strict =
        s->rollout->directive.strict && s->version_counts[ROLLOUT_NEW] > 0;
    if (side == ROLLOUT_NEW && !strict && s->version_counts[ROLLOUT_OLD] > 0) {
        withhold(s, ROLLOUT_OLD, false);
        return place_select(s->endpoints, query, now_us);
    }
    if (side == ROLLOUT_OLD && s->version_counts[ROLLOUT_OLD] == 0) {
        /* No other endpoint is left, and callers would get nothing. */
        withhold(s, ROLLOUT_NEW, true);
        return place_select(s->endpoints, query, now_us);
    }
    return NULL;
}

void
versions_call_sent(const struct forward *f, struct request *r)
{
    const struct service_state *s = r->service;
    (void)f;
    if (s->rollout) {
        r->version_side = side_of(s, r->endpoint);
        r->version_asked = true;
        r->version_counted = r->version_failed = false;
        rollout_traffic_sent(s->rollout, hash64(r->route->name),
                             r->version_side);
    }
}

/* The time that an engine takes depends on the prompt and on what it has in
 * its cache, which is empty in a new server. So its responses are compared by
 * the ratio of the actual to the expected time, in units of ENGINE_UNIT_US. */
static int64_t
comparable_us(const struct request *r, int64_t now_us)
{
    int64_t took_us = now_us - r->sent_us;
    return r->service->info.is_engine && r->expected_first_byte_us > 0
               ? took_us * ENGINE_UNIT_US / r->expected_first_byte_us
               : took_us;
}

static void
count_end(const struct request *r, int64_t now_us, bool failed)
{
    rollout_traffic_ended(r->service->rollout, hash64(r->route->name),
                          r->version_side, failed, comparable_us(r, now_us));
}

void
versions_call_good(const struct forward *f, int64_t now_us, struct request *r)
{
    struct service_state *s = r->service;
    (void)f;
    if (!s->rollout || !r->version_asked) {
        return;
    }
    if (!r->version_counted) {
        r->version_counted = true;
        count_end(r, now_us, false);
    }
    if (r->version_side == ROLLOUT_OLD) {
        s->rollout->longest_us =
            MAX(s->rollout->longest_us, now_us - r->sent_us);
    }
}

void
versions_call_bad(const struct forward *f, int64_t now_us, struct request *r,
                  bool broke)
{
    struct service_state *s = r->service;
    (void)f;
    if (!s->rollout || !r->endpoint || !r->version_asked ||
        r->version_failed) {
        return;
    }
    struct endpoint *e = r->endpoint;
    bool same = broke && e->version_break_us &&
                now_us - e->version_break_us < BREAK_WINDOW_US;
    e->version_break_us = broke ? now_us : e->version_break_us;
    r->version_counted = r->version_failed = true;
    if (!same) {
        count_end(r, now_us, true);
    }
}

/* Pieces */

static bool
is_free(const struct service_state *s, const struct endpoint *e,
        int64_t now_us)
{
    struct endpoint copy = *e;
    copy.withheld = false;
    return endpoint_is_available(&copy, now_us) &&
           e->calls_in_flight < s->info.pieces.slots;
}

void
versions_prepare_group(const struct forward *f, int64_t now_us,
                       struct service_state *s, int group)
{
    bool old_listed = false;
    bool new_listed = false;
    bool new_free = false;
    (void)f;
    if (!s->rollout || !s->rollout->directive.active) {
        return;
    }
    for (guint i = 0; i < s->endpoints->len; i++) {
        const struct endpoint *e = g_ptr_array_index(s->endpoints, i);
        if (is_in_group(s, i, group)) {
            old_listed |= e->version_class == ROLLOUT_CLASS_OLD;
            new_listed |= e->version_chosen;
            new_free |= e->version_chosen && is_free(s, e, now_us);
        }
    }
    bool moved = is_moved(s, now_us);
    bool due = moved || rollout_traffic_is_due(s->rollout, now_us);
    bool use_new = due && new_listed && (moved || new_free);
    for (guint i = 0; i < s->endpoints->len; i++) {
        struct endpoint *e = g_ptr_array_index(s->endpoints, i);
        if (!is_in_group(s, i, group)) {
            continue;
        }
        switch (e->version_class) {
        case ROLLOUT_CLASS_OLD:
            e->withheld =
                use_new || (s->rollout->directive.strict && new_listed);
            break;
        case ROLLOUT_CLASS_NEW:
            e->withheld = old_listed && !(use_new && e->version_chosen);
            break;
        case ROLLOUT_CLASS_REJECTED:
            e->withheld = true;
            break;
        }
    }
}

void
versions_pieces_sent(struct forward *f, const struct pieces_call *call)
{
    struct endpoint *e = map_get(&f->endpoints, hash64(call->endpoint));
    struct service_state *s = e ? map_get(&f->services, e->service) : NULL;
    if (!s || !s->rollout) {
        return;
    }
    struct version_call *c = mem_calloc(1, sizeof(*c));
    *c = (struct version_call){.id = call->id,
                               .service = s->hash,
                               .side = side_of(s, e),
                               .sent_us = f->last_run_us,
                               .items = call->item_count};
    map_put(&f->version_calls, c->id, c);
    rollout_traffic_sent(s->rollout, s->hash, c->side);
    rollout_traffic_take(s->rollout, c->side);
    for (int group = 0; group < MAX(s->groups, 1); group++) {
        versions_prepare_group(f, f->last_run_us, s, group);
    }
}

void
versions_pieces_ended(struct forward *f, int64_t now_us, uint64_t call,
                      enum call_end end, int status,
                      const struct response_meta *meta, int count,
                      const struct piece_result *results)
{
    struct version_call *c = map_get(&f->version_calls, call);
    if (!c) {
        return;
    }
    map_remove(&f->version_calls, call);
    struct service_state *s = map_get(&f->services, c->service);
    bool not_run = end == CALL_END_UNSENT ||
                   (end == CALL_END_COMPLETE && meta->not_executed);
    bool failed = end != CALL_END_COMPLETE || status != 200;
    for (int i = 0; !failed && i < count; i++) {
        failed = results[i].outcome == PIECE_ERROR;
    }
    if (s && s->rollout && !not_run) {
        int64_t took_us = now_us - c->sent_us;
        /* Calls have different numbers of pieces. */
        int64_t items_us = c->items * s->info.pieces.item_us;
        rollout_traffic_ended(s->rollout, s->hash, c->side, failed,
                              MAX(took_us - items_us, 0));
    }
    free(c);
}

/* Reports */

static void
count_pending(const struct forward *f, const struct service_state *s,
              struct rollout_report *out, int64_t now_us)
{
    size_t at = 0;
    const struct request *r;
    while ((r = map_next(&f->requests, &at))) {
        if (r->service == s && r->call && !r->version_counted &&
            now_us - r->sent_us >= PENDING_US) {
            struct rollout_route *row =
                rollout_counts_route(&out->counts, hash64(r->route->name));
            rollout_tally_end(&row->sides[r->version_side], false,
                              comparable_us(r, now_us));
        }
    }
}

int
forward_rollout_report(const struct forward *f, int64_t now_us, int from,
                       struct rollout_report *out)
{
    int i = 0;
    size_t at = 0;
    const struct service_state *s;
    while ((s = map_next(&f->services, &at))) {
        if (i++ < from || !s->rollout || !s->rollout->directive.reports) {
            continue;
        }
        *out = (struct rollout_report){.service = s->hash,
                                       .order = s->rollout->directive.order,
                                       .step = s->rollout->directive.step,
                                       .longest_us = s->rollout->longest_us,
                                       .counts = s->rollout->counts};
        out->counts.running[ROLLOUT_OLD] = 0;
        out->counts.running[ROLLOUT_NEW] = 0;
        count_pending(f, s, out, now_us);
        size_t k = 0;
        const struct endpoint *e;
        while ((e = map_next(&f->endpoints, &k))) {
            if (e->service == s->hash) {
                out->counts.running[side_of(s, e)] +=
                    e->in_flight + e->calls_in_flight;
            }
        }
        return i;
    }
    return 0;
}

/* Streams */

static bool
is_due_to_move(const struct request *r, int64_t now_us)
{
    const struct service_state *s = r->service;
    return s->rollout && s->moved_us && is_moved(s, now_us) &&
           now_us - s->moved_us >= STREAM_MOVE_US && r->call &&
           r->state == REQ_RESPONDING && req_is_stream(r) &&
           req_is_repeatable(r) && side_of(s, r->endpoint) == ROLLOUT_OLD;
}

void
versions_run(struct forward *f, int64_t now_us)
{
    bool any = false;
    size_t at = 0;
    const struct service_state *s;
    if (now_us < f->versions_check_us) {
        return;
    }
    f->versions_check_us = now_us + STREAM_CHECK_US;
    while ((s = map_next(&f->services, &at))) {
        any |= s->rollout && s->rollout->directive.reports && s->moved_us;
    }
    if (!any) {
        return;
    }
    /* Moving a stream may remove its request. */
    GArray *due = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    struct request *r;
    for (at = 0; (r = map_next(&f->requests, &at));) {
        if (is_due_to_move(r, now_us)) {
            g_array_append_val(due, r->id);
        }
    }
    for (guint i = 0; i < due->len; i++) {
        r = map_get(&f->requests, g_array_index(due, uint64_t, i));
        if (r && is_due_to_move(r, now_us)) {
            response_move_stream(f, now_us, r);
        }
    }
    g_array_free(due, TRUE);
}

void
versions_free(struct forward *f)
{
    size_t at = 0;
    void *v;
    while ((v = map_next(&f->version_calls, &at))) {
        free(v);
    }
    map_free(&f->version_calls);
}
