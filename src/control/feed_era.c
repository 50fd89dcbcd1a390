#include "base/log.h"
#include "control/feed_state.h"

/* The era of a store that has never come back from an older copy. */
#define FIRST_ERA 1
/* Credentials are trusted for this time at least after the last contact where
 * their removal must be in force within 5 s. */
#define RECENT_CONTACT_US (4 * SECOND)

/* Writers write again what the copy lacks within this time after the store's
 * return: the operator at once, endpoints and nodes with their next
 * heartbeat or renewal. An endpoint that is gone does not, and its record in
 * the copy expires after three heartbeats of 1.2 s. */
static const int64_t copy_us[FEED_RANGE_COUNT] = {REMOVED_HOLD_US, 5 * SECOND,
                                                  5 * SECOND};

bool
feed_is_copy_list(const struct feed *f, int64_t now_us, enum feed_range range)
{
    const struct range_watch *rw = &f->range_watches[range];
    return !rw->watching && rw->listed_once && now_us < f->copy_end_us[range];
}

void
feed_extend_copy(struct feed *f, int64_t now_us, enum feed_range range)
{
    int64_t outage_us = now_us - f->range_watches[range].failing_since_us;
    if (!f->copy_end_us[range]) {
        return;
    }
    f->copy_end_us[range] += outage_us;
    if (range == FEED_RANGE_OPERATOR && f->contact_hold_end_us) {
        f->contact_hold_end_us = f->copy_end_us[range];
    }
    if (range == FEED_RANGE_ENDPOINTS) {
        f->removed_hold_end_us =
            MIN(now_us + REMOVED_HOLD_US,
                MAX(f->removed_hold_end_us, now_us - outage_us) + outage_us);
    }
}

/* While the store does not answer, nobody can write either. */
static bool
is_copy_due(const struct feed *f, int i)
{
    return f->copy_end_us[i] && !f->range_watches[i].failing;
}

/* The copy may lack the configuration that took credentials away. A node with
 * recent contact knows it. For any other node, the contact counts when the
 * operator has written the newest configuration, or has had time to. */
static void
hold_contact(struct feed *f, int64_t now_us)
{
    if (now_us - f->sure_contact_us > RECENT_CONTACT_US) {
        f->contact_hold_end_us = f->copy_end_us[FEED_RANGE_OPERATOR];
        f->range_watches[FEED_RANGE_OPERATOR].contact_us = f->sure_contact_us;
        f->contact_query_due = true;
        /* Watchers are skipped because they had no contact either. */
        g_hash_table_remove_all(f->suspected_until);
        LOG_EVENT(LOG_INFO, "contact_held",
                  LOG_INT("ms", (f->contact_hold_end_us - now_us) / MS));
    }
}

void
feed_note_configuration(struct feed *f)
{
    if (f->range_watches[FEED_RANGE_OPERATOR].watching) {
        f->contact_hold_end_us = 0;
        f->operator_has_written = true;
    }
}

/* The watcher has had contact all the time, so no configuration was written
 * that neither it nor this node knows. */
void
feed_note_watcher(struct feed *f, const struct feed_reply *answer)
{
    if (f->contact_hold_end_us && f->routing && answer->version > 0 &&
        answer->version <= routing_version(f->routing) &&
        answer->age_us < RECENT_CONTACT_US) {
        LOG_EVENT(LOG_INFO, "contact_confirmed",
                  LOG_INT("version", answer->version),
                  LOG_INT("age_ms", answer->age_us / MS));
        f->contact_hold_end_us = 0;
    }
}

bool
feed_take_contact_query(struct feed *f)
{
    bool due = f->contact_hold_end_us && f->contact_query_due;
    f->contact_query_due = false;
    return due;
}

/* A list is made only if it is needed: a node that the store rejects gets the
 * changes from a watcher, but no list. */
static void
end_copy(struct feed *f, int64_t now_us, struct range_watch *rw)
{
    bool held = rw->range == FEED_RANGE_OPERATOR && f->contact_hold_end_us;
    if (rw->ignored_of_copy || held) {
        f->contact_hold_end_us = held ? 0 : f->contact_hold_end_us;
        feed_restart_range(rw, now_us);
    }
    else if (rw->watching) {
        feed_remove_unseen(f, now_us, rw->range);
    }
    rw->ignored_of_copy = false;
}

void
feed_end_copies(struct feed *f, int64_t now_us)
{
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        if (is_copy_due(f, i) && now_us >= f->copy_end_us[i]) {
            f->copy_end_us[i] = 0;
            end_copy(f, now_us, &f->range_watches[i]);
        }
    }
}

int64_t
feed_copies_due_us(const struct feed *f)
{
    int64_t at = INT64_MAX;
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        if (is_copy_due(f, i)) {
            at = MIN(at, f->copy_end_us[i]);
        }
    }
    return at;
}

/* What this node knows stays in effect until the lists of the new era are
 * complete. */
static void
start_era(struct feed *f, int64_t now_us)
{
    f->era_count++;
    f->operator_has_written = false;
    f->routing_revision = 0;
    f->removed_hold_end_us =
        MAX(f->removed_hold_end_us, now_us + REMOVED_HOLD_US);
    feed_restart_registration(f, now_us);
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        struct range_watch *rw = &f->range_watches[i];
        feed_restart_range(rw, now_us);
        f->copy_end_us[i] = now_us + copy_us[i];
        rw->revision = 0;
        rw->ignored_of_copy = false;
        rw->failing_since_us = now_us;
        feed_trim_cached_changes(rw, 0);
        rw->cached_after = 0;
    }
    feed_drop_queries(f, now_us);
    hold_contact(f, now_us);
}

/* The response of the store shows whether it has a newer era. */
static void
call_store(struct feed *f, int64_t now_us)
{
    struct range_watch *rw = &f->range_watches[FEED_RANGE_OPERATOR];
    if (rw->watching) {
        rw->busy = false;
        rw->call_id = 0;
        rw->bypass_watcher = true;
        rw->next_call_us = now_us;
    }
}

bool
feed_is_peer_era(struct feed *f, int64_t now_us, int64_t era)
{
    int64_t known = f->era & FEED_ERA_MASK;
    era &= FEED_ERA_MASK;
    if (era > known && era > f->reported_era && known > 0) {
        LOG_EVENT(LOG_INFO, "store_era_reported", LOG_INT("era", era),
                  LOG_INT("known", known));
        f->reported_era = era;
        call_store(f, now_us);
    }
    /* A node of a build without eras cannot be trusted once the store has come
     * back from an older copy. */
    return era == known || (known <= FIRST_ERA && era == 0) || known == 0;
}

bool
feed_accept_era(struct feed *f, int64_t now_us, const struct kv_result *r)
{
    int64_t before = f->era;
    if (r->era == 0 || r->era == before) {
        return true;
    }
    if (r->era < before) {
        LOG_EVENT(LOG_WARN, "store_answer_old", LOG_INT("era", r->era),
                  LOG_INT("known", before), LOG_INT("revision", r->revision));
        return false;
    }
    f->era = r->era;
    LOG_EVENT(LOG_WARN, "store_era", LOG_INT("era", r->era),
              LOG_INT("before", before), LOG_INT("revision", r->revision),
              LOG_INT("http_status", r->http_status));
    if (!f->answered) {
        if (before > 0) {
            feed_restart_registration(f, now_us);
        }
        if (r->era > FIRST_ERA) {
            f->copy_end_us[FEED_RANGE_OPERATOR] =
                now_us + copy_us[FEED_RANGE_OPERATOR];
            hold_contact(f, now_us);
        }
        return true;
    }
    start_era(f, now_us);
    return false;
}

bool
feed_has_gone_back(struct feed *f, int64_t now_us,
                   const struct range_watch *rw, int64_t revision)
{
    if (revision >= rw->revision) {
        return false;
    }
    LOG_EVENT(LOG_WARN, "store_revision_back", LOG_STR("prefix", rw->prefix),
              LOG_INT("revision", revision), LOG_INT("known", rw->revision),
              LOG_INT("era", f->era));
    start_era(f, now_us);
    return true;
}
