#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "base/hash.h"
#include "base/log.h"
#include "control/feed_state.h"

/* The store answers a watch at least this often, so the data of a node is half
 * of this old on average. Revoked keys of teams must stop working within
 * seconds. */
#define OPERATOR_WATCH_WAIT_MS 1000
/* A watcher reports the age of its contact to other nodes. Their contact is
 * older by the time for which the watcher holds a query, 1 s. Another 1.4 s
 * pass before a silent watcher is skipped, so contacts stay below 4 s.
 * Credentials are trusted for 4.75 s where their removal must be in force
 * within 5 s. */
#define WATCHER_OPERATOR_WAIT_MS 1300
/* The timers of the store and of this node may differ by this much. */
#define TIMER_MARGIN_US (20 * MS)
/* The store reports changes at once, and connections that go silent together
 * show in the operator's watch, so this limits only how often a watch without
 * changes is repeated. */
#define WATCHER_ENDPOINTS_WAIT_MS 4000
/* Changes in quick succession are batched: the heartbeats of servers arrive
 * all the time, and each answered watch counts as one call to the store. */
#define BATCH_OPERATOR_US (50 * MS)
#define BATCH_ENDPOINTS_US (300 * MS)
#define BATCH_NODES_US (50 * MS)
/* The reply of a watcher crosses the network and waits for two threads. */
#define WATCHER_SLACK_US (400 * MS)
/* For this time after the nodes were listed, this node queries the store for
 * changes of nodes directly, at this interval. Processes that are started
 * together register within this time. */
#define AFTER_LIST_US (1600 * MS)
#define AFTER_LIST_INTERVAL_US (600 * MS)
/* A watcher that cannot provide the changes a second time within this period
 * is skipped. */
#define WATCHER_UNKNOWN_WINDOW_US (2 * SECOND)
/* A watcher without contact holds the query, but this node tries another
 * watcher after this time. */
#define OUTAGE_PEER_TIMEOUT_US (1400 * MS)
/* A silent connection is detected after this time plus the slack of a watch.
 * Endpoints that leave must be known within 2 s. */
#define ENDPOINTS_WATCH_WAIT_MS 1500
/* Owners that are gone are detected by their silence. If a join is seen late,
 * the limits that nodes share are too high for that time only. */
#define NODES_WATCH_WAIT_MS 15000
#define LIST_TIMEOUT_MS 2000
/* Records expire after three missed heartbeats of a second or more each, so an
 * outage shorter than this removes no record of a live endpoint. */
#define MIN_OUTAGE_US (2000 * MS)
/* Limits that nodes share shrink at once when a node joins, but grow only when
 * a node has been missing for this long: it may still send requests. */
#define NODE_MISSING_US (10 * SECOND)

struct feed *
feed_new(const struct feed_codec *codec, struct str node,
         struct str registered, uint64_t seed)
{
    struct feed *f = mem_calloc(1, sizeof(*f));
    f->codec = codec;
    f->node = g_strndup(node.ptr, node.len);
    f->registered = str_dup(registered);
    rng_seed(&f->rng, seed);
    f->records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                       feed_record_free);
    f->departed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    f->evacuated_zones =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->registrations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    f->capacities =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    codec->node_key(&f->node_key, node);
    codec->capacity_key(&f->capacity_key, node);
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        static const int64_t waits[] = {OPERATOR_WATCH_WAIT_MS,
                                        ENDPOINTS_WATCH_WAIT_MS,
                                        NODES_WATCH_WAIT_MS};
        f->range_watches[i].range = (enum feed_range)i;
        f->range_watches[i].prefix = codec->prefixes[i];
        f->range_watches[i].max_wait_ms = waits[i];
        f->range_watches[i].peer_queries =
            g_array_new(FALSE, FALSE, sizeof(struct peer_query));
        g_queue_init(&f->range_watches[i].cached);
    }
    f->self_hash = hash64(node);
    f->watchers = g_array_new(FALSE, FALSE, sizeof(struct watcher));
    f->watchers_stale = true;
    f->suspected_until =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    g_queue_init(&f->due_replies);
    feed_rollout_init(f);
    return f;
}

void
feed_set_capacity(struct feed *f, int cpu_milli)
{
    if (cpu_milli > 0) {
        buf_printf(&f->capacity, "%d", cpu_milli);
    }
}

void
feed_free(struct feed *f)
{
    if (!f) {
        return;
    }
    routing_unref(f->routing);
    g_hash_table_destroy(f->records);
    g_hash_table_destroy(f->departed);
    g_hash_table_destroy(f->evacuated_zones);
    g_hash_table_destroy(f->nodes);
    g_hash_table_destroy(f->registrations);
    g_hash_table_destroy(f->capacities);
    feed_rollout_free(f);
    g_free(f->node);
    str_free(&f->registered);
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        g_free(f->range_watches[i].list_after_key);
        g_array_free(f->range_watches[i].peer_queries, TRUE);
        feed_trim_cached_changes(&f->range_watches[i], 0);
    }
    g_hash_table_destroy(f->suspected_until);
    g_array_free(f->watchers, TRUE);
    g_queue_clear_full(&f->due_replies, free);
    buf_free(&f->node_key);
    buf_free(&f->capacity_key);
    buf_free(&f->capacity);
    free(f);
}

int64_t
feed_contact_us(const struct feed *f)
{
    return f->range_watches[FEED_RANGE_OPERATOR].contact_us;
}

/* Lists and watches */

static int64_t
contact_age_ms(const struct range_watch *rw, int64_t now_us)
{
    return rw->contact_us ? (now_us - rw->contact_us) / MS : -1;
}

/* Repeats the calls of the other key ranges. Their connections are as old as
 * one that has turned out to be silent, except those on which the store is
 * answering. */
static void
repeat_other_calls(struct feed *f, int64_t now_us,
                   const struct range_watch *silent)
{
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        struct range_watch *rw = &f->range_watches[i];
        if (rw != silent && rw->busy && !rw->via_node && rw->watching &&
            !rw->answering_us && !rw->failing && !rw->retrying) {
            rw->busy = false;
            rw->call_id = 0;
            rw->bypass_watcher = true;
            rw->next_call_us = now_us;
        }
    }
}

/* A connection may be silent while the store responds on new ones, so the
 * first call without a response does not count as a failure of the store. */
static void
retry_call(struct feed *f, int64_t now_us, struct range_watch *rw)
{
    LOG_EVENT(LOG_INFO, "store_call_repeated", LOG_STR("prefix", rw->prefix),
              LOG_INT("ms", (now_us - rw->call_sent_us) / MS),
              LOG_INT("contact_age_ms", contact_age_ms(rw, now_us)));
    rw->retrying = true;
    rw->failing_since_us = now_us;
    rw->bypass_watcher = true;
    rw->next_call_us = now_us;
    repeat_other_calls(f, now_us, rw);
}

static void
handle_call_failure(struct feed *f, int64_t now_us, struct range_watch *rw,
                    const struct kv_result *r)
{
    bool silent = r->outcome == KV_OUTCOME_UNKNOWN && r->http_status == 0;
    if (silent && !rw->failing && !rw->retrying) {
        retry_call(f, now_us, rw);
        return;
    }
    if (!rw->failing) {
        LOG_EVENT(LOG_WARN, "store_lost", LOG_STR("prefix", rw->prefix),
                  LOG_INT("http_status", r->http_status),
                  LOG_INT("contact_age_ms", contact_age_ms(rw, now_us)));
    }
    if (!rw->failing && !rw->retrying) {
        rw->failing_since_us = now_us;
    }
    rw->failing = true;
    rw->retrying = false;
    rw->answering_us = 0;
    feed_schedule_probe(f, now_us, rw, silent);
}

/* The store is back, which the operator's range detects for all ranges. */
static void
call_failing_ranges(struct feed *f, int64_t now_us)
{
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        struct range_watch *rw = &f->range_watches[i];
        if (rw->failing && !rw->busy) {
            rw->next_call_us = now_us;
        }
    }
}

/* The other key ranges are called at once: a large answer for the operator's
 * range may take seconds, and what has changed meanwhile must be known then.
 */
void
feed_handle_answering(struct feed *f, int64_t now_us, uint64_t op)
{
    struct range_watch *rw = &f->range_watches[FEED_RANGE_OPERATOR];
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        feed_take_late_probe(&f->range_watches[i], op);
        if (f->range_watches[i].call_id == op) {
            f->range_watches[i].answering_us = now_us;
        }
    }
    if (rw->call_id == op && rw->failing) {
        call_failing_ranges(f, now_us);
    }
}

/* Time of the newest response for any key range. */
static int64_t
latest_response_us(const struct feed *f)
{
    int64_t last = 0;
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        last = MAX(last, f->range_watches[i].last_response_us);
    }
    return last;
}

static void
handle_call_success(struct feed *f, int64_t now_us, struct range_watch *rw)
{
    int64_t last = latest_response_us(f);
    int64_t began_us = rw->answering_us ? rw->answering_us : now_us;
    bool failed = rw->failing || rw->retrying;
    if (failed && last && began_us - last > MIN_OUTAGE_US) {
        f->outage_end_us = began_us;
    }
    if (rw->failing && rw->range == FEED_RANGE_OPERATOR) {
        call_failing_ranges(f, now_us);
    }
    if (rw->failing) {
        feed_extend_copy(f, now_us, rw->range);
        LOG_EVENT(LOG_INFO, "store_back", LOG_STR("prefix", rw->prefix),
                  LOG_INT("contact_age_ms", contact_age_ms(rw, now_us)));
    }
    if (rw->range == FEED_RANGE_ENDPOINTS && failed && f->outage_end_us &&
        now_us - f->outage_end_us < REMOVED_HOLD_US) {
        f->removed_hold_end_us =
            MAX(f->removed_hold_end_us, f->outage_end_us + REMOVED_HOLD_US);
    }
    rw->failing = false;
    rw->retrying = false;
    rw->late_call_id = 0;
    rw->last_response_us = now_us;
    rw->next_call_us = now_us;
}

/* Whether the nodes were listed so recently that the store is polled: after a
 * restart of many nodes, a list still shows the public keys of the previous
 * processes. */
static bool
is_recently_listed(const struct feed *f, const struct range_watch *rw,
                   int64_t now_us)
{
    return rw->range == FEED_RANGE_NODES &&
           g_hash_table_size(f->nodes) > MAX_DIRECT_NODES &&
           rw->list_ended_us && now_us - rw->list_ended_us < AFTER_LIST_US;
}

static void
handle_list_page(struct feed *f, int64_t now_us, struct range_watch *rw,
                 const struct kv_result *r)
{
    if (!rw->list_after_key) {
        feed_mark_unseen(f, rw->range);
        rw->list_revision = r->revision;
    }
    /* Pages are no consistent snapshot. The watch starts at the revision of
     * the first page, so it reports the changes that happened between pages.
     */
    for (int i = 0; i < r->item_count; i++) {
        feed_apply_item(f, now_us, &r->items[i]);
    }
    g_free(rw->list_after_key);
    rw->list_after_key = NULL;
    if (r->has_more && r->item_count > 0) {
        struct str last = r->items[r->item_count - 1].key;
        rw->list_after_key = g_strndup(last.ptr, last.len);
        return;
    }
    feed_remove_unseen(f, now_us, rw->range);
    rw->listed_once = true;
    rw->revision = rw->list_revision;
    rw->list_ended_us = now_us;
    feed_trim_cached_changes(rw, 0);
    rw->cached_after = rw->revision;
    rw->watching = true;
    if (is_recently_listed(f, rw, now_us)) {
        rw->next_call_us = now_us + AFTER_LIST_INTERVAL_US;
    }
    LOG_EVENT(LOG_INFO, "store_listed", LOG_STR("prefix", rw->prefix),
              LOG_INT("revision", rw->revision), LOG_INT("era", f->era),
              LOG_INT("endpoints", g_hash_table_size(f->records)),
              LOG_INT("nodes", g_hash_table_size(f->nodes)));
}

void
feed_restart_range(struct range_watch *rw, int64_t now_us)
{
    rw->watching = false;
    rw->busy = false;
    rw->retrying = false;
    rw->call_id = 0;
    rw->late_call_id = 0;
    rw->answering_us = 0;
    g_free(rw->list_after_key);
    rw->list_after_key = NULL;
    rw->next_call_us = now_us;
}

static void
update_contact(struct feed *f, struct range_watch *rw, int64_t contact_us)
{
    if (contact_us >= f->contact_hold_end_us) {
        rw->contact_us = MAX(rw->contact_us, contact_us);
    }
    if (rw->range == FEED_RANGE_OPERATOR &&
        (!f->copy_end_us[rw->range] || f->operator_has_written)) {
        f->sure_contact_us = rw->contact_us;
    }
}

/* @param contact_us this node knows all writes acknowledged before this time
 */
static void
handle_call_result(struct feed *f, int64_t now_us, struct range_watch *rw,
                   const struct kv_result *r, int64_t contact_us)
{
    rw->busy = false;
    if (r->outcome == KV_COMPACTED || r->outcome == KV_TOO_LARGE) {
        LOG_EVENT(LOG_INFO,
                  r->outcome == KV_COMPACTED ? "store_history_gone"
                                             : "store_changes_too_large",
                  LOG_STR("prefix", rw->prefix),
                  LOG_INT("revision", rw->revision));
        feed_restart_range(rw, now_us);
        return;
    }
    if (r->outcome != KV_OK) {
        handle_call_failure(f, now_us, rw, r);
        return;
    }
    f->answered = true;
    handle_call_success(f, now_us, rw);
    if (feed_has_gone_back(f, now_us, rw, r->revision)) {
        return;
    }
    if (!rw->watching) {
        update_contact(f, rw, contact_us);
        handle_list_page(f, now_us, rw, r);
        return;
    }
    for (int i = 0; i < r->item_count; i++) {
        if (r->items[i].revision > rw->revision) {
            feed_apply_item(f, now_us, &r->items[i]);
            feed_cache_change(rw, &r->items[i]);
        }
    }
    update_contact(f, rw, contact_us);
    rw->revision = r->revision;
    feed_answer_queries(f, now_us, rw);
    if (is_recently_listed(f, rw, now_us)) {
        rw->next_call_us = now_us + AFTER_LIST_INTERVAL_US;
    }
    else if (r->item_count > 0) {
        static const int64_t batch_us[] = {BATCH_OPERATOR_US,
                                           BATCH_ENDPOINTS_US, BATCH_NODES_US};
        rw->next_call_us = now_us + batch_us[rw->range];
    }
}

/* Stops querying a watcher for some time. The next query goes to the store, so
 * that nothing ages while several dead watchers are tried in turn, and because
 * a watcher that has restarted cannot be reached before its new public key is
 * known. */
static void
suspect_watcher(struct feed *f, int64_t now_us, uint64_t node, bool failing)
{
    feed_set_suspect(f, now_us, node, failing);
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        struct range_watch *rw = &f->range_watches[i];
        if (rw->busy && rw->via_node == node) {
            rw->bypass_watcher = true;
            rw->busy = false;
            rw->next_call_us = now_us;
        }
    }
}

void
feed_handle_peer_reply(struct feed *f, int64_t now_us,
                       const struct feed_reply *answer)
{
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        struct range_watch *rw = &f->range_watches[i];
        if (!rw->busy || !rw->via_node ||
            rw->call_id != answer->correlation_id) {
            continue;
        }
        uint64_t node = rw->via_node;
        bool same_era = feed_is_peer_era(f, now_us, answer->era);
        if (!answer->known || !same_era) {
            /* Only the store has the changes that this node has missed. */
            if ((same_era && answer->age_us == FEED_AGE_UNKNOWN) ||
                feed_is_reply_stale(answer) ||
                now_us - rw->watcher_unknown_us < WATCHER_UNKNOWN_WINDOW_US) {
                suspect_watcher(f, now_us, node, rw->failing);
            }
            rw->bypass_watcher = true;
            f->contact_query_due = true;
            rw->watcher_unknown_us = now_us;
            rw->busy = false;
            rw->next_call_us = now_us;
            return;
        }
        if (rw->range == FEED_RANGE_OPERATOR) {
            feed_note_watcher(f, answer);
        }
        struct kv_item items[FEED_RELAY_MAX_ITEMS];
        for (int k = 0; k < answer->item_count; k++) {
            const struct feed_relay_item *from = &answer->items[k];
            items[k] = (struct kv_item){from->key, from->value, from->revision,
                                        from->deleted};
        }
        struct kv_result r = {.id = rw->call_id,
                              .outcome = KV_OK,
                              .http_status = 200,
                              .revision = answer->revision > rw->revision
                                              ? answer->revision
                                              : rw->revision,
                              .item_count = answer->item_count,
                              .items = items};
        handle_call_result(f, now_us, rw, &r,
                           answer->age_us == FEED_AGE_UNKNOWN
                               ? 0
                               : rw->call_sent_us - answer->age_us);
        if (feed_is_reply_stale(answer)) {
            suspect_watcher(f, now_us, node, false);
            rw->bypass_watcher = rw->range == FEED_RANGE_OPERATOR;
        }
        return;
    }
}

static void
suspect_silent_watcher(struct feed *f, int64_t now_us, struct range_watch *rw)
{
    if (rw->busy && rw->via_node && now_us >= rw->peer_timeout_us) {
        LOG_EVENT(LOG_WARN, "watcher_silent", LOG_INT("node", rw->via_node),
                  LOG_STR("prefix", rw->prefix));
        suspect_watcher(f, now_us, rw->via_node, rw->failing);
    }
}

enum feed_range
feed_range_of_op(const struct feed *f, uint64_t op)
{
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        if (f->range_watches[i].call_id == op) {
            return (enum feed_range)i;
        }
    }
    return FEED_RANGE_COUNT;
}

/* How long the store may hold a watch without changes. */
static int64_t
choose_wait_ms(const struct feed *f, const struct range_watch *rw,
               int64_t now_us)
{
    if (rw->failing || rw->bypass_watcher ||
        is_recently_listed(f, rw, now_us)) {
        return PROBE_WAIT_MS;
    }
    if (g_hash_table_size(f->nodes) <= MAX_DIRECT_NODES) {
        return rw->max_wait_ms;
    }
    switch (rw->range) {
    case FEED_RANGE_OPERATOR:
        return WATCHER_OPERATOR_WAIT_MS;
    case FEED_RANGE_ENDPOINTS:
        return WATCHER_ENDPOINTS_WAIT_MS;
    case FEED_RANGE_NODES:
    case FEED_RANGE_COUNT:
        break;
    }
    return rw->max_wait_ms;
}

static bool
next_range_op(struct feed *f, int64_t now_us, struct range_watch *rw,
              struct kv_op *out)
{
    suspect_silent_watcher(f, now_us, rw);
    feed_supersede_probe(f, now_us, rw);
    if (rw->busy || now_us < rw->next_call_us) {
        return false;
    }
    const struct range_watch *operator_range =
        &f->range_watches[FEED_RANGE_OPERATOR];
    if (rw->failing && rw != operator_range && operator_range->failing &&
        !operator_range->answering_us) {
        /* The operator's range detects the return of the store for all ranges.
         */
        rw->next_call_us = now_us + PROBE_INTERVAL_US;
        return false;
    }
    out->prefix = rw->prefix;
    rw->via_node = 0;
    if (!rw->watching) {
        out->kind = KV_LIST;
        out->after_key = str_from_cstr(rw->list_after_key);
        out->timeout_ms = LIST_TIMEOUT_MS;
    }
    else {
        out->kind = KV_WATCH;
        out->revision = rw->revision;
        rw->via_node = rw->bypass_watcher || is_recently_listed(f, rw, now_us)
                           ? 0
                           : feed_choose_watcher(f, now_us);
        out->via_node = rw->via_node;
        out->wait_for_contact =
            rw->failing || (rw->via_node && rw->range == FEED_RANGE_OPERATOR &&
                            feed_take_contact_query(f));
        out->wait_ms = choose_wait_ms(f, rw, now_us);
        out->timeout_ms =
            out->wait_ms + (rw->retrying ? CALL_SLACK_MS : WATCH_SLACK_MS);
        rw->call_wait_us = out->wait_ms * MS;
        rw->peer_timeout_us =
            now_us + (rw->failing
                          ? OUTAGE_PEER_TIMEOUT_US
                          : feed_query_hold_us(rw->range) + WATCHER_SLACK_US);
        rw->bypass_watcher = false;
    }
    if (rw->failing) {
        out->timeout_ms = CALL_SLACK_MS;
        out->new_connection = rw->late_call_id != 0;
    }
    rw->busy = true;
    rw->answering_us = 0;
    rw->call_sent_us = now_us;
    rw->call_id = out->id = feed_query_id(f->era, ++f->next_id);
    return true;
}

bool
feed_next_op(struct feed *f, int64_t now_us, struct kv_op *out)
{
    *out = (struct kv_op){0};
    feed_answer_expired_queries(f, now_us);
    feed_end_copies(f, now_us);
    if (feed_next_lease_op(f, now_us, out)) {
        return true;
    }
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        if (next_range_op(f, now_us, &f->range_watches[i], out)) {
            return true;
        }
    }
    return false;
}

/* All writes acknowledged before the returned time are in the result. The
 * store answers a watch without changes only when its wait time has ended. */
static int64_t
result_contact_us(const struct range_watch *rw, int64_t now_us,
                  const struct kv_result *r)
{
    bool waited = rw->watching && r->item_count == 0 &&
                  now_us - rw->call_sent_us >= rw->call_wait_us;
    return waited ? MAX(rw->call_sent_us,
                        rw->call_sent_us + rw->call_wait_us - TIMER_MARGIN_US)
                  : rw->call_sent_us;
}

void
feed_handle_result(struct feed *f, int64_t now_us, const struct kv_result *r)
{
    const struct kv_result ignored = {.id = r->id,
                                      .outcome = KV_OUTCOME_UNKNOWN};
    if (!feed_accept_era(f, now_us, r)) {
        r = &ignored;
    }
    if (r->id == f->lease_op_id) {
        feed_handle_lease_result(f, now_us, r);
        return;
    }
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        struct range_watch *rw = &f->range_watches[i];
        if (r->outcome == KV_OK || r->outcome == KV_COMPACTED ||
            r->outcome == KV_TOO_LARGE) {
            feed_take_late_probe(rw, r->id);
        }
        if (r->id == rw->call_id) {
            handle_call_result(f, now_us, rw, r,
                               result_contact_us(rw, now_us, r));
        }
    }
}

/* Whether the cluster view has changed since the caller last took it. */
static bool
is_site_due(const struct feed *f)
{
    return f->site_changed && f->routing &&
           f->range_watches[FEED_RANGE_OPERATOR].listed_once &&
           f->range_watches[FEED_RANGE_ENDPOINTS].listed_once;
}

int64_t
feed_next_wakeup_us(const struct feed *f)
{
    int64_t at = is_site_due(f) ? 0 : feed_replies_due_us(f);
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        const struct range_watch *rw = &f->range_watches[i];
        int64_t due = rw->next_call_us;
        if (rw->busy) {
            due = rw->via_node ? rw->peer_timeout_us : feed_probe_due_us(rw);
        }
        at = due < at ? due : at;
    }
    at = MIN(at, feed_lease_call_due_us(f));
    at = MIN(at, feed_copies_due_us(f));
    at = MIN(at, feed_removed_due_us(f));
    if (f->fewer_since_us && f->fewer_since_us + NODE_MISSING_US < at) {
        at = f->fewer_since_us + NODE_MISSING_US;
    }
    return at;
}

static void
update_sharing_nodes(struct feed *f, int64_t now_us)
{
    int count = (int)g_hash_table_size(f->nodes);
    count = count > 0 ? count : 1;
    if (count >= f->sharing_nodes) {
        f->fewer_since_us = 0;
        if (count > f->sharing_nodes) {
            f->sharing_nodes = count;
            f->site_changed = true;
        }
        return;
    }
    if (!f->fewer_since_us) {
        f->fewer_since_us = now_us;
    }
    else if (now_us - f->fewer_since_us >= NODE_MISSING_US) {
        LOG_EVENT(LOG_INFO, "nodes_sharing_limits", LOG_INT("nodes", count),
                  LOG_INT("before", f->sharing_nodes));
        f->sharing_nodes = count;
        f->fewer_since_us = 0;
        f->site_changed = true;
    }
}

static bool
is_zone_evacuated(const struct feed *f, struct str zone)
{
    if (g_hash_table_size(f->evacuated_zones) == 0) {
        return false;
    }
    CLEANUP_FREE char *name = g_strndup(zone.ptr, zone.len);
    return g_hash_table_contains(f->evacuated_zones, name);
}

struct cluster_view *
feed_take_site(struct feed *f, int64_t now_us)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    feed_drop_unreturned(f, now_us);
    update_sharing_nodes(f, now_us);
    if (!is_site_due(f)) {
        return NULL;
    }
    f->site_changed = false;
    struct cluster_view *s = cluster_view_new(
        f->routing, f->sharing_nodes, (int)g_hash_table_size(f->records),
        (int)g_hash_table_size(f->nodes));
    g_hash_table_iter_init(&it, f->nodes);
    while (g_hash_table_iter_next(&it, &k, NULL)) {
        cluster_view_add_node(
            s, str_from_cstr(k),
            str_from_cstr(g_hash_table_lookup(f->registrations, k)),
            GPOINTER_TO_INT(g_hash_table_lookup(f->capacities, k)));
    }
    cluster_view_sort_nodes(s);
    s->nodes_version = f->nodes_version;
    g_hash_table_iter_init(&it, f->records);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct endpoint_entry *r = v;
        int service = routing_find_service(f->routing, r->info.service);
        if (service >= 0 && !r->info.draining &&
            !is_zone_evacuated(f, r->info.zone)) {
            cluster_view_add_endpoint(s, &r->info, service, r->cold_until_us);
        }
    }
    return s;
}
