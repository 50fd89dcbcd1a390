#include <math.h>
#include <string.h>

#include "base/hash.h"
#include "base/log.h"
#include "rollout/rollout_state.h"

/* A version is bad if its responses are chance with at most this probability.
 * A roll-out takes about 100 decisions with several tests each, of which none
 * may be wrong in 100 roll-outs. The rates that it is compared with are upper
 * bounds, so a good version hardly gets there. */
#define BAD_CHANCE 1e-4
/* When all traffic has moved it uses the budget within a second, so less
 * evidence must do where there are few responses. */
#define BAD_CHANCE_MOVED 2e-3
#define FEW_RESPONSES 200
/* A version is not moved to if its responses are chance with at most this
 * probability. More responses then decide. */
#define DOUBTFUL_CHANCE 5e-3
/* Responses after which a version without bad ones counts as good. */
#define MIN_RESPONSES 4
/* With fewer responses, the roll-out stays in MOVE until only CLOSE_US are
 * left, which two writes and their watches need. */
#define ENOUGH_RESPONSES 40
#define CLOSE_US (2500 * MS)
/* The rate of requests is known after this time, or the order has so little
 * time that it cannot be waited for. */
#define MEASURE_US (600 * MS)
/* The share is written again only if it changes by this part. */
#define SHARE_STEP 0.25
#define SHARE_WRITE_INTERVAL_US (500 * MS)
/* The last write is made this long before the deadline: the order was known
 * later than it was written, and the store may be slow. */
#define DEADLINE_MARGIN_US (1000 * MS)
/* A registered node that sends no reports is waited for this long and two
 * intervals, since the
 * registration of a node that was killed lasts for 10 s. */
#define SILENT_NODE_US (1 * SECOND)
/* Before completion: a node that is in contact with the store alone follows
 * CLOSE within this time, and most requests at old servers have ended. */
#define FOLLOW_US (1500 * MS)
/* Reports are needed from this part of the nodes, each no older than this and
 * an interval. */
#define REPORTING_PART 0.75
#define REPORT_MAX_AGE_US (500 * MS)
/* A new decider has reports of all nodes after this time. */
#define COLLECT_US (600 * MS)
/* The new servers that are needed for the move, as a part of the old ones;
 * later any number must do. */
#define SERVERS_PART 0.5
#define FEW_SERVERS_DELAY 0.4

void
rollout_sum(const struct rollout_service *s, struct rollout_counts *out)
{
    GHashTableIter it;
    gpointer v;
    *out = s->lost;
    memset(out->running, 0, sizeof(out->running));
    g_hash_table_iter_init(&it, s->nodes);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        rollout_counts_add(
            out, &((const struct rollout_node *)v)->report.counts, 1);
    }
}

static int64_t
total_sent(const struct rollout_counts *c)
{
    return rollout_counts_sent(c, ROLLOUT_OLD) +
           rollout_counts_sent(c, ROLLOUT_NEW);
}

static void
start_evidence(struct rollout_service *s, uint64_t order)
{
    g_hash_table_remove_all(s->nodes);
    memset(&s->lost, 0, sizeof(s->lost));
    s->snapshot_count = 0;
    s->reports_since_us = 0;
    s->counted_order = order;
}

void
rollout_take_report(struct rollout_service *s, int64_t now_us, uint64_t from,
                    const struct rollout_report *m)
{
    if (!s->has_order || m->order != s->order.id) {
        return;
    }
    if (s->counted_order != s->order.id) {
        start_evidence(s, s->order.id);
    }
    struct rollout_node *n = g_hash_table_lookup(s->nodes, &from);
    if (!n) {
        n = mem_calloc(1, sizeof(*n));
        n->node = from;
        g_hash_table_insert(s->nodes, &n->node, n);
    }
    else if (total_sent(&m->counts) < total_sent(&n->report.counts)) {
        /* The node has started again, or an older report has overtaken a newer
         * one, which then counts twice: the exposure is overestimated. */
        rollout_counts_add(&s->lost, &n->report.counts, 1);
    }
    n->received_us = now_us;
    n->report = *m;
    if (!s->reports_since_us) {
        s->reports_since_us = now_us;
    }
}

/* Evidence of the last two seconds, compared with all of the old version, for
 * a version that has turned bad. */
static void
recent_counts(const struct rollout_service *s,
              const struct rollout_counts *sum, struct rollout_counts *out)
{
    *out = *sum;
    if (s->snapshot_count == 0) {
        return;
    }
    rollout_counts_add(out, &s->snapshots[0], -1);
    for (int i = 0; i < out->route_count; i++) {
        for (int k = 0; k < sum->route_count; k++) {
            if (sum->routes[k].route == out->routes[i].route) {
                out->routes[i].sides[ROLLOUT_OLD] =
                    sum->routes[k].sides[ROLLOUT_OLD];
            }
        }
    }
}

bool
rollout_is_bad(const struct rollout_service *s, const char **why)
{
    struct rollout_counts sum;
    struct rollout_counts recent;
    if (s->counted_order != s->order.id) {
        return false;
    }
    rollout_sum(s, &sum);
    bool hurry = s->record.phase != ROLLOUT_OBSERVE &&
                 rollout_counts_ended(&sum, ROLLOUT_NEW) < FEW_RESPONSES;
    double limit = hurry ? BAD_CHANCE_MOVED : BAD_CHANCE;
    enum rollout_test test = hurry ? ROLLOUT_TEST_MOVED : ROLLOUT_TEST_BAD;
    if (rollout_chance(&sum, test, why) < limit) {
        return true;
    }
    recent_counts(s, &sum, &recent);
    return rollout_chance(&recent, test, why) < limit;
}

static void
take_snapshot(struct rollout_service *s, int64_t now_us,
              const struct rollout_counts *sum)
{
    if (now_us < s->next_snapshot_us) {
        return;
    }
    s->next_snapshot_us = now_us + WINDOW_STEP_US;
    if (s->snapshot_count == WINDOW_STEPS) {
        memmove(s->snapshots, s->snapshots + 1,
                (WINDOW_STEPS - 1) * sizeof(s->snapshots[0]));
        s->snapshot_count--;
    }
    s->snapshots[s->snapshot_count++] = *sum;
}

/* Whether the evidence allows that all traffic moves. */
static bool
is_good(const struct rollout_service *s, const struct rollout_counts *sum)
{
    struct rollout_counts recent;
    if (rollout_counts_ended(sum, ROLLOUT_NEW) < MIN_RESPONSES) {
        return false;
    }
    recent_counts(s, sum, &recent);
    return rollout_chance(sum, ROLLOUT_TEST_DOUBT, NULL) > DOUBTFUL_CHANCE &&
           rollout_chance(&recent, ROLLOUT_TEST_DOUBT, NULL) > DOUBTFUL_CHANCE;
}

/* Whether the evidence is of most nodes. Without their reports the exposure is
 * underestimated, and bad responses are not seen. */
static bool
has_reports(const struct rollout *r, const struct rollout_service *s,
            int64_t now_us)
{
    guint fresh = 0;
    for (guint i = 0; i < r->nodes->len; i++) {
        uint64_t id = g_array_index(r->nodes, uint64_t, i);
        const struct rollout_node *n = g_hash_table_lookup(s->nodes, &id);
        fresh += n && now_us - n->received_us <=
                          REPORT_MAX_AGE_US + rollout_tick_us(r);
    }
    return fresh >= REPORTING_PART * r->nodes->len;
}

/* Whether all nodes have applied the record and none has a request at an old
 * server. */
static bool
is_moved(const struct rollout *r, const struct rollout_service *s,
         int64_t now_us)
{
    for (guint i = 0; i < r->nodes->len; i++) {
        uint64_t id = g_array_index(r->nodes, uint64_t, i);
        const struct rollout_node *n = g_hash_table_lookup(s->nodes, &id);
        int64_t heard_us =
            n ? MAX(n->received_us, s->reports_since_us) : s->reports_since_us;
        if (now_us - heard_us > SILENT_NODE_US + 2 * rollout_tick_us(r) &&
            (s->record.phase == ROLLOUT_MOVE ||
             now_us - s->record_us > FOLLOW_US)) {
            continue;
        }
        if (!n || n->received_us < s->record_us ||
            n->report.step < s->record.step ||
            n->report.counts.running[ROLLOUT_OLD] > 0) {
            return false;
        }
    }
    return true;
}

/* Whether a node acts on a newer record than this one knows. */
static bool
is_behind(const struct rollout_service *s)
{
    GHashTableIter it;
    gpointer v;
    int64_t step = s->has_record ? s->record.step : 0;
    g_hash_table_iter_init(&it, s->nodes);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (((const struct rollout_node *)v)->report.step > step) {
            return true;
        }
    }
    return false;
}

static int64_t
longest_us(const struct rollout_service *s)
{
    int64_t longest = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->nodes);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        longest =
            MAX(longest, ((const struct rollout_node *)v)->report.longest_us);
    }
    return longest;
}

static void
propose(struct rollout *r, struct rollout_service *s, int64_t now_us,
        enum rollout_phase phase, int share_ppm, const char *reason)
{
    struct rollout_counts sum;
    rollout_sum(s, &sum);
    s->next = s->record;
    s->next.step = (s->has_record ? s->record.step : 0) + 1;
    s->next.phase = phase;
    s->next.share_ppm = share_ppm;
    s->next.elapsed_us = MAX(now_us - s->start_us, 0);
    if (s->counted_order == s->next.order) {
        /* The counts of processes that have ended may be lost with an earlier
         * decider, so the totals of the record never fall. */
        for (int side = 0; side < ROLLOUT_SIDES; side++) {
            s->next.sent[side] =
                MAX(s->next.sent[side],
                    rollout_counts_sent(&sum, (enum rollout_side)side));
        }
        s->next.failed =
            MAX(s->next.failed, rollout_counts_failed(&sum, ROLLOUT_NEW));
    }
    memcpy(s->next.decider, r->node_name, sizeof(s->next.decider));
    g_strlcpy(s->next.reason, reason, sizeof(s->next.reason));
    s->rewriting = false;
    s->write_due = true;
}

/* Takes up an order that the record does not belong to. */
static void
begin_order(struct rollout *r, struct rollout_service *s, int64_t now_us)
{
    struct rollout_record old = s->record;
    bool same = s->has_record && strcmp(old.target, s->order.target) == 0;
    if (same && old.phase != ROLLOUT_ROLLED_BACK) {
        propose(r, s, now_us, old.phase, old.share_ppm,
                "the order was repeated");
        s->next.order = s->order.id;
        return;
    }
    propose(r, s, now_us, ROLLOUT_OBSERVE, 0, "measures the request rate");
    s->next.order = s->order.id;
    s->next.sent[ROLLOUT_OLD] = s->next.sent[ROLLOUT_NEW] = 0;
    s->next.failed = 0;
    memcpy(s->next.target, s->order.target, sizeof(s->next.target));
    if (s->has_record && !same && old.phase != ROLLOUT_COMPLETED) {
        memcpy(s->next.rejected, old.target, sizeof(s->next.rejected));
    }
    else if (s->replaced[0]) {
        memcpy(s->next.rejected, s->replaced, sizeof(s->next.rejected));
    }
    if (strcmp(s->next.rejected, s->next.target) == 0) {
        s->next.rejected[0] = 0;
    }
}

static void
adapt_share(struct rollout *r, struct rollout_service *s, int64_t now_us,
            const struct rollout_counts *sum, int64_t move_us)
{
    struct rollout_budget b = {
        .expose_share = r->opts.expose_share,
        .expose_slack = r->opts.expose_slack,
        .elapsed_us = MAX(now_us - s->start_us, 1),
        .move_us = move_us,
        .duration_us = s->order.duration_us,
        .sent = {MAX(s->record.sent[ROLLOUT_OLD],
                     rollout_counts_sent(sum, ROLLOUT_OLD)),
                 MAX(s->record.sent[ROLLOUT_NEW],
                     rollout_counts_sent(sum, ROLLOUT_NEW))},
        .old_servers = s->servers[ROLLOUT_OLD]};
    int64_t measure_us = MIN(MEASURE_US, s->order.duration_us / 20);
    if (b.elapsed_us < measure_us ||
        now_us - s->reports_since_us < MIN(measure_us, COLLECT_US) ||
        now_us - s->record_us < SHARE_WRITE_INTERVAL_US) {
        return;
    }
    int share = rollout_budget_share(&b);
    if (!has_reports(r, s, now_us)) {
        share = MIN(share, s->record.share_ppm);
    }
    double change = fabs((double)(share - s->record.share_ppm));
    if (change > SHARE_STEP * (double)MAX(share, s->record.share_ppm)) {
        propose(r, s, now_us, ROLLOUT_OBSERVE, share, "gathers evidence");
    }
}

static bool
has_servers(const struct rollout_service *s, int64_t elapsed_us,
            int64_t move_us)
{
    int64_t delay_us = (int64_t)(FEW_SERVERS_DELAY *
                                 (double)(s->order.duration_us - move_us));
    return s->servers[ROLLOUT_NEW] > 0 &&
           (s->servers[ROLLOUT_NEW] >=
                SERVERS_PART * s->servers[ROLLOUT_OLD] ||
            elapsed_us >= move_us + delay_us);
}

/* Tells all nodes at once that the version is bad. The record follows, which
 * takes a write and a watch. */
static void
stop_nodes(struct rollout *r, struct rollout_service *s)
{
    GHashTableIter it;
    gpointer v;
    const struct rollout_report m = {.service = s->hash,
                                     .order = s->order.id,
                                     .step = s->record.step,
                                     .is_ack = true,
                                     .stop = true};
    s->stopped_order = s->order.id;
    g_hash_table_iter_init(&it, s->nodes);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (((const struct rollout_node *)v)->node != r->self) {
            rollout_send(r, ((const struct rollout_node *)v)->node, &m);
        }
    }
}

/* Takes the next step of a roll-out that is running. */
static void
advance(struct rollout *r, struct rollout_service *s, int64_t now_us)
{
    struct rollout_counts sum;
    const char *why = NULL;
    int64_t elapsed_us = now_us - s->start_us;
    int64_t move_us = rollout_move_time_us(s->order.duration_us, longest_us(s),
                                           rollout_tick_us(r));
    rollout_sum(s, &sum);
    take_snapshot(s, now_us, &sum);
    if (s->stopped_order == s->order.id || rollout_is_bad(s, &why)) {
        stop_nodes(r, s);
        propose(r, s, now_us, ROLLOUT_ROLLED_BACK, 0,
                why ? why : "bad by an earlier decision");
        return;
    }
    if (elapsed_us >= s->order.duration_us - DEADLINE_MARGIN_US) {
        propose(r, s, now_us, ROLLOUT_ROLLED_BACK, 0,
                s->record.phase == ROLLOUT_OBSERVE || !is_good(s, &sum)
                    ? "not shown to be good by the deadline"
                    : "requests at old servers at the deadline");
        return;
    }
    switch (s->record.phase) {
    case ROLLOUT_OBSERVE:
        if (elapsed_us >= move_us && is_good(s, &sum) &&
            has_reports(r, s, now_us) && has_servers(s, elapsed_us, move_us)) {
            propose(r, s, now_us, ROLLOUT_MOVE, PPM, "good so far");
        }
        else {
            adapt_share(r, s, now_us, &sum, move_us);
        }
        break;
    case ROLLOUT_MOVE:
        if (is_good(s, &sum) && is_moved(r, s, now_us) &&
            (rollout_counts_ended(&sum, ROLLOUT_NEW) >= ENOUGH_RESPONSES ||
             elapsed_us >= s->order.duration_us - CLOSE_US)) {
            propose(r, s, now_us, ROLLOUT_CLOSE, PPM,
                    "nothing runs on old servers");
        }
        break;
    case ROLLOUT_CLOSE:
        if (is_good(s, &sum) && is_moved(r, s, now_us)) {
            propose(r, s, now_us, ROLLOUT_COMPLETED, PPM,
                    "all nodes have moved");
        }
        break;
    case ROLLOUT_COMPLETED:
    case ROLLOUT_ROLLED_BACK:
    case ROLLOUT_PHASE_COUNT:
        break;
    }
}

void
rollout_decide(struct rollout *r, struct rollout_service *s, int64_t now_us)
{
    if (s->writing || s->write_due || now_us < s->next_write_us ||
        s->stale_since_us || is_behind(s)) {
        return;
    }
    if (!s->has_order) {
        if (s->has_record && rollout_is_running(&s->record)) {
            propose(r, s, now_us, ROLLOUT_ROLLED_BACK, 0,
                    "the order was withdrawn");
        }
        return;
    }
    if (!s->has_record || s->record.order != s->order.id) {
        begin_order(r, s, now_us);
        return;
    }
    if (rollout_is_running(&s->record)) {
        advance(r, s, now_us);
    }
}
