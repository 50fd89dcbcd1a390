#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "base/hash.h"
#include "base/log.h"
#include "control/feed_state.h"

/* A watch is answered at least this often; half of it is the mean age of what
 * a node knows. The keys of teams must stop working within seconds. */
#define OPERATOR_WAIT_MS 1000
/* A watcher's contact is told to other nodes, whose own is older by the time
 * that an ask is kept, 1 s. With the time until a silent watcher is passed
 * over, 1.4 s, contacts stay below 4 s; credentials are trusted for 4.75 s
 * where their removal must be in force within 5 s. */
#define WATCHER_WAIT_MS 1300
/* Timers of the store and of this node may differ by this much. */
#define WAIT_MARGIN_US (20 * MS)
/* Changes are answered at once and a silent connection is ended by its
 * keep-alive probes, so this bounds only the calls without news. */
#define WATCHER_ENDPOINTS_WAIT_MS 4000
/* Changes that come in quick succession are taken together: heartbeats of the
 * servers come all the time, and each answered watch is a call of the store.
 */
#define GATHER_OPERATOR_US (50 * MS)
#define GATHER_ENDPOINTS_US (300 * MS)
#define GATHER_NODES_US (50 * MS)
/* An answer of a watcher travels between nodes and waits for two threads. */
#define WATCHER_SLACK_US (400 * MS)
/* Nodes are asked for directly for this time after they were listed, this
 * often; processes that are started together register within it. */
#define LISTED_US (1600 * MS)
#define LISTED_GAP_US (600 * MS)
/* A watcher that cannot tell again so soon after the store was asked is passed
 * over. */
#define DIRECT_AGAIN_US (2 * SECOND)
/* A watcher without contact keeps an ask, but this node tries others. */
#define PATIENT_US (1400 * MS)
/* A connection that has gone silent is noticed after this time and the slack
 * of a call; leaving endpoints must be known within seconds. */
#define ENDPOINTS_WAIT_MS 1500
/* Owners that are gone are noticed by their silence; a join that is seen late
 * only lets limits that nodes share be too high for that time. */
#define NODES_WAIT_MS 15000
/* After a failure the store is asked without waiting, with short time-outs,
 * so that its return is noticed soon. Each such call is one that the store
 * counts, so nodes that share watches ask a watcher most of these times. */
#define PROBE_WAIT_MS 1
#define PROBE_TIMEOUT_MS 700
#define PROBE_GAP_US (400 * MS)
/* The list of nodes may be older; it is asked for this often while it fails
 * and the operator's records do not. */
#define NODES_PROBE_GAP_US (2 * SECOND)
/* A slow store takes some hundred ms an answer. */
#define CALL_SLACK_MS 1500
#define LIST_TIMEOUT_MS 2000
/* Records that expired during an outage are back within two seconds of the
 * store's return; until then missing ones still hold. */
#define RETURN_HOLD_US (2200 * MS)
/* Records expire after three missed heartbeats of a second or more each, so a
 * shorter time without an answer removes none that is alive. */
#define OUTAGE_US (2000 * MS)
/* The registration of a node that died ends after this time; it outlasts two
 * renewals that were lost. */
#define LEASE_TTL_MS 10000
#define LEASE_RENEW_US (3300 * MS)
#define LEASE_RETRY_US (500 * MS)
/* Limits that nodes share shrink at once when a node joins and grow only when
 * it has been missing this long, since an unseen node may still send. */
#define NODE_MISSING_US (10 * SECOND)

struct feed *
feed_new(const struct feed_codec *codec, struct str node,
         struct str registered, uint64_t seed)
{
    struct feed *f = mem_zero(1, sizeof(*f));
    f->codec = codec;
    f->node = g_strndup(node.ptr, node.len);
    f->registered = str_dup(registered);
    rng_seed(&f->rng, seed);
    f->records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                       feed_record_free);
    f->evacuations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->addresses =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    codec->node_key(&f->key, node);
    for (int i = 0; i < FEED_TRACKS; i++) {
        static const int64_t waits[] = {OPERATOR_WAIT_MS, ENDPOINTS_WAIT_MS,
                                        NODES_WAIT_MS};
        f->tracks[i].which = (enum feed_track)i;
        f->tracks[i].prefix = codec->prefixes[i];
        f->tracks[i].wait_ms = waits[i];
        f->tracks[i].asks =
            g_array_new(FALSE, FALSE, sizeof(struct waiting_ask));
        g_queue_init(&f->tracks[i].recent);
    }
    f->self = hash64(node);
    f->watchers = g_array_new(FALSE, FALSE, sizeof(struct watcher));
    f->watchers_old = true;
    f->suspects =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    g_queue_init(&f->answers);
    return f;
}

void
feed_free(struct feed *f)
{
    if (!f) {
        return;
    }
    routing_unref(f->routing);
    g_hash_table_destroy(f->records);
    g_hash_table_destroy(f->evacuations);
    g_hash_table_destroy(f->nodes);
    g_hash_table_destroy(f->addresses);
    g_free(f->node);
    str_free(&f->registered);
    for (int i = 0; i < FEED_TRACKS; i++) {
        g_free(f->tracks[i].page_after);
        g_array_free(f->tracks[i].asks, TRUE);
        feed_forget_recent(&f->tracks[i], 0);
    }
    g_hash_table_destroy(f->suspects);
    g_array_free(f->watchers, TRUE);
    g_queue_clear_full(&f->answers, free);
    buf_free(&f->key);
    free(f);
}

int64_t
feed_contact_us(const struct feed *f)
{
    return f->tracks[FEED_TRACK_OPERATOR].contact_us;
}

/* Lists and watches */

static int64_t
contact_age_ms(const struct track *t, int64_t now_us)
{
    return t->contact_us ? (now_us - t->contact_us) / MS : -1;
}

static void
track_failed(struct feed *f, int64_t now_us, struct track *t,
             const struct kv_result *r)
{
    if (!t->failing) {
        LOG_EVENT(LOG_WARN, "store_lost", LOG_S("prefix", t->prefix),
                  LOG_I("http_status", r->http_status),
                  LOG_I("contact_age_ms", contact_age_ms(t, now_us)));
    }
    t->failing = true;
    int64_t gap =
        t->which == FEED_TRACK_NODES ? NODES_PROBE_GAP_US : PROBE_GAP_US;
    t->due_us = now_us + gap / 2 + (int64_t)rng_below(&f->rng, (uint64_t)gap);
    feed_refuse_asks(f, now_us, t);
}

/* Time of the newest answer for any part. */
static int64_t
last_answered_us(const struct feed *f)
{
    int64_t last = 0;
    for (int i = 0; i < FEED_TRACKS; i++) {
        last = MAX(last, f->tracks[i].answered_us);
    }
    return last;
}

/* @param contact_us what was acknowledged before is known now */
static void
track_answered(struct feed *f, int64_t now_us, struct track *t,
               int64_t contact_us)
{
    int64_t last = last_answered_us(f);
    if (t->failing && last && now_us - last > OUTAGE_US) {
        f->outage_end_us = now_us;
    }
    if (t->failing) {
        LOG_EVENT(LOG_INFO, "store_back", LOG_S("prefix", t->prefix),
                  LOG_I("contact_age_ms", contact_age_ms(t, now_us)));
    }
    if (t->which == FEED_TRACK_ENDPOINTS && t->failing && f->outage_end_us &&
        now_us - f->outage_end_us < RETURN_HOLD_US) {
        f->hold_until_us = f->outage_end_us + RETURN_HOLD_US;
    }
    t->failing = false;
    t->contact_us = MAX(t->contact_us, contact_us);
    t->answered_us = now_us;
    t->due_us = now_us;
}

/* After a restart of many nodes, a list shows the keys of the processes
 * before. */
static bool
newly_listed(const struct feed *f, const struct track *t, int64_t now_us)
{
    return t->which == FEED_TRACK_NODES &&
           g_hash_table_size(f->nodes) > DIRECT_NODES && t->listed_us &&
           now_us - t->listed_us < LISTED_US;
}

static void
list_result(struct feed *f, int64_t now_us, struct track *t,
            const struct kv_result *r)
{
    if (!t->page_after) {
        feed_begin_list(f, t->which);
        t->list_revision = r->revision;
    }
    /* Pages are no snapshot; what changes between them is seen by the watch,
     * which begins at the revision of the first page. */
    for (int i = 0; i < r->item_count; i++) {
        feed_apply(f, now_us, &r->items[i]);
    }
    g_free(t->page_after);
    t->page_after = NULL;
    if (r->more && r->item_count > 0) {
        struct str last = r->items[r->item_count - 1].key;
        t->page_after = g_strndup(last.ptr, last.len);
        return;
    }
    feed_end_list(f, now_us, t->which);
    t->complete = true;
    t->revision = t->list_revision;
    t->listed_us = now_us;
    feed_forget_recent(t, 0);
    t->recent_from = t->revision;
    t->following = true;
    if (newly_listed(f, t, now_us)) {
        t->due_us = now_us + LISTED_GAP_US;
    }
    LOG_EVENT(LOG_INFO, "store_listed", LOG_S("prefix", t->prefix),
              LOG_I("revision", t->revision),
              LOG_I("endpoints", g_hash_table_size(f->records)),
              LOG_I("nodes", g_hash_table_size(f->nodes)));
}

static void
relist(struct track *t, int64_t now_us)
{
    t->following = false;
    g_free(t->page_after);
    t->page_after = NULL;
    t->due_us = now_us;
}

static void
track_result(struct feed *f, int64_t now_us, struct track *t,
             const struct kv_result *r, int64_t contact_us)
{
    t->busy = false;
    if (r->outcome == KV_COMPACTED) {
        LOG_EVENT(LOG_INFO, "store_history_gone", LOG_S("prefix", t->prefix),
                  LOG_I("revision", t->revision));
        relist(t, now_us);
        return;
    }
    if (r->outcome != KV_OK) {
        track_failed(f, now_us, t, r);
        return;
    }
    track_answered(f, now_us, t, contact_us);
    if (!t->following) {
        list_result(f, now_us, t, r);
        return;
    }
    for (int i = 0; i < r->item_count; i++) {
        if (r->items[i].revision > t->revision) {
            feed_apply(f, now_us, &r->items[i]);
            feed_keep_recent(t, &r->items[i]);
        }
    }
    if (r->revision < t->revision) {
        LOG_EVENT(LOG_WARN, "store_revision_back",
                  LOG_I("revision", r->revision), LOG_I("known", t->revision));
        relist(t, now_us);
        return;
    }
    t->revision = r->revision;
    feed_answer_asks(f, now_us, t);
    if (newly_listed(f, t, now_us)) {
        t->due_us = now_us + LISTED_GAP_US;
    }
    else if (r->item_count > 0) {
        static const int64_t gather[] = {GATHER_OPERATOR_US,
                                         GATHER_ENDPOINTS_US, GATHER_NODES_US};
        t->due_us = now_us + gather[t->which];
    }
}

/* A watcher is asked no more. The store is asked next: for the operator's part
 * so that the contact does not age while one watcher after the other is found
 * to be gone, and for the nodes because a watcher that has restarted cannot be
 * reached before its new key is known. */
static void
pass_over(struct feed *f, int64_t now_us, uint64_t node, bool failing)
{
    feed_set_suspect(f, now_us, node, failing);
    for (int i = 0; i < FEED_TRACKS; i++) {
        struct track *t = &f->tracks[i];
        if (t->busy && t->via == node) {
            t->direct = t->which != FEED_TRACK_ENDPOINTS;
            t->busy = false;
            t->due_us = now_us;
        }
    }
}

void
feed_peer_answer(struct feed *f, int64_t now_us,
                 const struct feed_answer *answer)
{
    for (int i = 0; i < FEED_TRACKS; i++) {
        struct track *t = &f->tracks[i];
        if (!t->busy || !t->via || t->id != answer->ask) {
            continue;
        }
        uint64_t node = t->via;
        if (!answer->known) {
            /* Only the store can tell what this node has missed. */
            if (answer->age_us == FEED_AGE_UNKNOWN || feed_is_stale(answer) ||
                now_us - t->direct_us < DIRECT_AGAIN_US) {
                pass_over(f, now_us, node, t->failing);
            }
            t->direct = true;
            t->direct_us = now_us;
            t->busy = false;
            t->due_us = now_us;
            return;
        }
        struct kv_item items[FEED_RELAY_ITEMS];
        for (int k = 0; k < answer->item_count; k++) {
            const struct feed_relay_item *from = &answer->items[k];
            items[k] = (struct kv_item){from->key, from->value, from->revision,
                                        from->deleted};
        }
        struct kv_result r = {.id = t->id,
                              .outcome = KV_OK,
                              .http_status = 200,
                              .revision = answer->revision > t->revision
                                              ? answer->revision
                                              : t->revision,
                              .item_count = answer->item_count,
                              .items = items};
        track_result(f, now_us, t, &r,
                     answer->age_us == FEED_AGE_UNKNOWN
                         ? 0
                         : t->sent_us - answer->age_us);
        if (feed_is_stale(answer)) {
            pass_over(f, now_us, node, false);
            t->direct = t->which == FEED_TRACK_OPERATOR;
        }
        return;
    }
}

static void
pass_over_silent(struct feed *f, int64_t now_us, struct track *t)
{
    if (t->busy && t->via && now_us >= t->via_until_us) {
        LOG_EVENT(LOG_WARN, "watcher_silent", LOG_I("node", t->via),
                  LOG_S("prefix", t->prefix));
        pass_over(f, now_us, t->via, t->failing);
    }
}

enum feed_track
feed_track_of(const struct feed *f, uint64_t op)
{
    for (int i = 0; i < FEED_TRACKS; i++) {
        if (f->tracks[i].id == op) {
            return (enum feed_track)i;
        }
    }
    return FEED_TRACKS;
}

/* How long the store may keep a watch without news. */
static int64_t
wait_ms(const struct feed *f, const struct track *t, int64_t now_us)
{
    if (t->failing || t->direct || newly_listed(f, t, now_us)) {
        return PROBE_WAIT_MS;
    }
    if (g_hash_table_size(f->nodes) <= DIRECT_NODES) {
        return t->wait_ms;
    }
    switch (t->which) {
    case FEED_TRACK_OPERATOR:
        return WATCHER_WAIT_MS;
    case FEED_TRACK_ENDPOINTS:
        return WATCHER_ENDPOINTS_WAIT_MS;
    case FEED_TRACK_NODES:
    case FEED_TRACKS:
        break;
    }
    return t->wait_ms;
}

static bool
track_op(struct feed *f, int64_t now_us, struct track *t, struct kv_op *out)
{
    pass_over_silent(f, now_us, t);
    if (t->busy || now_us < t->due_us) {
        return false;
    }
    if (t->failing && t->which != FEED_TRACK_OPERATOR &&
        f->tracks[FEED_TRACK_OPERATOR].failing) {
        /* One part finds out for all when the store is back. */
        t->due_us = now_us + PROBE_GAP_US;
        return false;
    }
    out->prefix = t->prefix;
    t->via = 0;
    if (!t->following) {
        out->kind = KV_LIST;
        out->after_key = str_from(t->page_after);
        out->timeout_ms = t->failing ? PROBE_TIMEOUT_MS : LIST_TIMEOUT_MS;
    }
    else {
        out->kind = KV_WATCH;
        out->revision = t->revision;
        t->via = t->direct || newly_listed(f, t, now_us)
                     ? 0
                     : feed_choose_watcher(f, now_us);
        out->patient = t->failing;
        out->via = t->via;
        out->wait_ms = wait_ms(f, t, now_us);
        out->timeout_ms =
            t->failing ? PROBE_TIMEOUT_MS : out->wait_ms + CALL_SLACK_MS;
        t->waited_us = out->wait_ms * MS;
        t->via_until_us =
            now_us + (t->failing ? PATIENT_US
                                 : feed_hold_us(t->which) + WATCHER_SLACK_US);
        t->direct = false;
    }
    t->busy = true;
    t->sent_us = now_us;
    t->id = out->id = ++f->next_id;
    return true;
}

/* The registration of this node */

static void
lease_result(struct feed *f, int64_t now_us, const struct kv_result *r)
{
    f->lease_id = 0;
    f->lease_due_us = now_us + LEASE_RENEW_US;
    if (r->outcome == KV_NO_LEASE) {
        LOG_EVENT(LOG_WARN, "registration_lapsed", LOG_I("lease", f->lease));
        f->lease_state = f->leaving ? LEASE_ENDED : LEASE_NONE;
        f->lease_due_us = now_us;
        return;
    }
    if (r->outcome != KV_OK) {
        if (f->lease_state == LEASE_ASKED) {
            f->lease_state = LEASE_NONE;
        }
        f->lease_due_us = now_us + LEASE_RETRY_US;
        return;
    }
    switch (f->lease_state) {
    case LEASE_ASKED:
        f->lease = r->lease;
        f->lease_state = LEASE_HELD;
        f->lease_due_us = now_us;
        break;
    case LEASE_HELD:
        f->lease_state = LEASE_PUT;
        break;
    case LEASE_PUT:
        if (f->leaving) {
            f->lease_state = LEASE_ENDED;
        }
        break;
    case LEASE_NONE:
    case LEASE_ENDED:
        break;
    }
}

static bool
all_listed(const struct feed *f)
{
    bool listed = true;
    for (int i = 0; i < FEED_TRACKS; i++) {
        listed &= f->tracks[i].complete;
    }
    return listed;
}

static bool
lease_op(struct feed *f, int64_t now_us, struct kv_op *out)
{
    if (f->lease_id || now_us < f->lease_due_us) {
        return false;
    }
    switch (f->lease_state) {
    case LEASE_NONE:
        if (f->leaving) {
            f->lease_state = LEASE_ENDED;
            return false;
        }
        out->kind = KV_LEASE;
        out->ttl_ms = LEASE_TTL_MS;
        f->lease_state = LEASE_ASKED;
        break;
    case LEASE_HELD:
        /* Other nodes ask a registered one, so it must know the site. */
        if (!all_listed(f)) {
            return false;
        }
        out->kind = KV_PUT;
        out->key = buf_str(&f->key);
        out->value = f->registered;
        out->lease = f->lease;
        break;
    case LEASE_PUT:
        out->kind = f->leaving ? KV_END : KV_KEEP;
        out->lease = f->lease;
        break;
    case LEASE_ASKED:
    case LEASE_ENDED:
        return false;
    }
    out->timeout_ms = CALL_SLACK_MS;
    f->lease_id = out->id = ++f->next_id;
    return true;
}

void
feed_leave(struct feed *f, int64_t now_us)
{
    f->leaving = true;
    f->lease_due_us = now_us;
}

bool
feed_left(const struct feed *f)
{
    return f->lease_state == LEASE_ENDED ||
           (f->leaving && f->lease_state == LEASE_NONE);
}

bool
feed_next_op(struct feed *f, int64_t now_us, struct kv_op *out)
{
    *out = (struct kv_op){0};
    feed_answer_due(f, now_us);
    if (lease_op(f, now_us, out)) {
        return true;
    }
    for (int i = 0; i < FEED_TRACKS; i++) {
        if (track_op(f, now_us, &f->tracks[i], out)) {
            return true;
        }
    }
    return false;
}

/* What was acknowledged before this time is in the answer. The store answers a
 * watch without changes only when its wait has ended. */
static int64_t
shown_us(const struct track *t, int64_t now_us, const struct kv_result *r)
{
    bool waited = t->following && r->item_count == 0 &&
                  now_us - t->sent_us >= t->waited_us;
    return waited ? MAX(t->sent_us, t->sent_us + t->waited_us - WAIT_MARGIN_US)
                  : t->sent_us;
}

void
feed_result(struct feed *f, int64_t now_us, const struct kv_result *r)
{
    if (r->id == f->lease_id) {
        lease_result(f, now_us, r);
        return;
    }
    for (int i = 0; i < FEED_TRACKS; i++) {
        if (r->id == f->tracks[i].id) {
            track_result(f, now_us, &f->tracks[i], r,
                         shown_us(&f->tracks[i], now_us, r));
        }
    }
}

/* A site that nobody has taken yet. */
static bool
site_due(const struct feed *f)
{
    return f->changed && f->routing &&
           f->tracks[FEED_TRACK_OPERATOR].complete &&
           f->tracks[FEED_TRACK_ENDPOINTS].complete;
}

int64_t
feed_wakeup(const struct feed *f)
{
    int64_t at = site_due(f) ? 0 : feed_answers_wakeup(f);
    for (int i = 0; i < FEED_TRACKS; i++) {
        const struct track *t = &f->tracks[i];
        int64_t due = t->due_us;
        if (t->busy) {
            due = t->via ? t->via_until_us : INT64_MAX;
        }
        at = due < at ? due : at;
    }
    if (!f->lease_id && f->lease_state != LEASE_ENDED &&
        (f->lease_state != LEASE_HELD || all_listed(f)) &&
        f->lease_due_us < at) {
        at = f->lease_due_us;
    }
    if (f->hold_until_us && f->hold_until_us < at) {
        at = f->hold_until_us;
    }
    if (f->fewer_since_us && f->fewer_since_us + NODE_MISSING_US < at) {
        at = f->fewer_since_us + NODE_MISSING_US;
    }
    return at;
}

static void
update_share(struct feed *f, int64_t now_us)
{
    int count = (int)g_hash_table_size(f->nodes);
    count = count > 0 ? count : 1;
    if (count >= f->share_nodes) {
        f->fewer_since_us = 0;
        if (count > f->share_nodes) {
            f->share_nodes = count;
            f->changed = true;
        }
        return;
    }
    if (!f->fewer_since_us) {
        f->fewer_since_us = now_us;
    }
    else if (now_us - f->fewer_since_us >= NODE_MISSING_US) {
        LOG_EVENT(LOG_INFO, "nodes_sharing_limits", LOG_I("nodes", count),
                  LOG_I("before", f->share_nodes));
        f->share_nodes = count;
        f->fewer_since_us = 0;
        f->changed = true;
    }
}

static bool
evacuated(const struct feed *f, struct str zone)
{
    if (g_hash_table_size(f->evacuations) == 0) {
        return false;
    }
    CLEAN_FREE char *name = g_strndup(zone.ptr, zone.len);
    return g_hash_table_contains(f->evacuations, name);
}

struct site *
feed_site(struct feed *f, int64_t now_us)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    feed_drop_missing(f, now_us);
    update_share(f, now_us);
    if (!site_due(f)) {
        return NULL;
    }
    f->changed = false;
    struct site *s = site_new(f->routing, f->share_nodes,
                              (int)g_hash_table_size(f->records),
                              (int)g_hash_table_size(f->nodes));
    g_hash_table_iter_init(&it, f->nodes);
    while (g_hash_table_iter_next(&it, &k, NULL)) {
        site_add_node(s, str_from(k),
                      str_from(g_hash_table_lookup(f->addresses, k)));
    }
    site_sort_nodes(s);
    s->nodes_version = f->nodes_version;
    g_hash_table_iter_init(&it, f->records);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct record *r = v;
        int service = routing_find_service(f->routing, r->info.service);
        if (service >= 0 && !r->info.draining && !evacuated(f, r->info.zone)) {
            site_add(s, &r->info, service, r->cold_until_us);
        }
    }
    return s;
}
