#include "bench/oracle.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The stated targets for these delays. */
#define ZONE_OUT_LIMIT_US 3000000
#define LEAVING_LIMIT_US 3000000
#define CONFIG_LIMIT_US 8000000
/* The checks treat an endpoint as cold only after its state can have reached
 * every node: a restart resets its calls at once, and one gossip round
 * spreads the state. */
#define COLD_PROPAGATION_US 2000000

#define MAX_EDITS 256

struct observed_edit {
    int edit;
    char path[64];
    int zone;
    bool taken_out; /**< takes the zone out, false: brings it back */
    int64_t sent_us;
    int64_t accepted_us; /**< 0: not accepted */
    int64_t revision;
};

struct oracle {
    struct world *w;
    int violation_count[INVARIANT_COUNT];
    char first_violation[INVARIANT_COUNT][256];
    struct observed_edit edits[MAX_EDITS];
    int edit_count;
    int64_t revision[WORLD_MAX_NODES]; /**< newest one observed in force */
};

const char *
invariant_name(enum invariant i)
{
    static const char *const names[] = {
#define X(id) [INVARIANT_##id] = #id,
        INVARIANT_LIST(X)
#undef X
    };
    return names[i];
}

static void report_violation(struct oracle *o, enum invariant i,
                             const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static void
report_violation(struct oracle *o, enum invariant i, const char *fmt, ...)
{
    if (o->violation_count[i]++ == 0) {
        int n = snprintf(o->first_violation[i], sizeof(o->first_violation[i]),
                         "t=%.3fs ", (double)world_now_us(o->w) / 1e6);
        va_list ap;
        va_start(ap, fmt);
        vsnprintf(o->first_violation[i] + n,
                  sizeof(o->first_violation[i]) - (size_t)n, fmt, ap);
        va_end(ap);
    }
}

/* Returns when the edit was accepted that took the zone out, if no later edit
 * may have brought it back. Returns INT64_MAX if the zone is not out for
 * certain. */
static int64_t
zone_out_since(const struct oracle *o, int zone)
{
    int64_t since = INT64_MAX;
    for (int i = 0; i < o->edit_count; i++) {
        const struct observed_edit *e = &o->edits[i];
        if (e->zone != zone) {
            continue;
        }
        if (!e->taken_out) {
            since = INT64_MAX;
        }
        else if (e->accepted_us && since == INT64_MAX) {
            since = e->accepted_us;
        }
    }
    return since;
}

static void
on_call(void *ctx, const struct world_call_info *c)
{
    struct oracle *o = ctx;
    const struct world_endpoint *e = world_endpoint(o->w, c->endpoint);
    int64_t out = zone_out_since(o, e->zone);
    if (out != INT64_MAX && c->now_us > out + ZONE_OUT_LIMIT_US) {
        report_violation(o, INVARIANT_ZONE_OUT,
                         "node %d called %s, out for %.3fs, request %" PRIu64,
                         c->node, e->id, (double)(c->now_us - out) / 1e6,
                         c->request);
    }
    int64_t store_ok_us = world_store_ok_since_us(o->w);
    int64_t since_us =
        e->leaving_since_us > store_ok_us ? e->leaving_since_us : store_ok_us;
    if (e->leaving && store_ok_us != INT64_MAX &&
        c->now_us > since_us + LEAVING_LIMIT_US) {
        report_violation(o, INVARIANT_LEAVING, "node %d called leaving %s",
                         c->node, e->id);
    }
    if (e->cold && c->now_us > e->cold_since_us + COLD_PROPAGATION_US &&
        e->running + e->queued >= e->model.cold_slots) {
        report_violation(o, INVARIANT_COLD,
                         "node %d called %s with %d calls, cold for %.3fs",
                         c->node, e->id, e->running + e->queued,
                         (double)(c->now_us - e->cold_since_us) / 1e6);
    }
}

struct oracle *
oracle_new(struct world *w)
{
    struct oracle *o = mem_calloc(1, sizeof(*o));
    o->w = w;
    world_set_call_observer(w, on_call, o);
    return o;
}

void
oracle_free(struct oracle *o)
{
    free(o);
}

void
oracle_record_edit(struct oracle *o, int edit, const char *path, int zone,
                   bool taken_out)
{
    if (o->edit_count == MAX_EDITS) {
        return;
    }
    struct observed_edit *e = &o->edits[o->edit_count++];
    *e = (struct observed_edit){.edit = edit,
                                .zone = zone,
                                .taken_out = taken_out,
                                .sent_us = world_now_us(o->w)};
    snprintf(e->path, sizeof(e->path), "%s", path);
}

static void
update_edit_results(struct oracle *o)
{
    for (int i = 0; i < o->edit_count; i++) {
        struct observed_edit *e = &o->edits[i];
        if (!e->accepted_us &&
            world_edit_result(o->w, e->edit, NULL, NULL) == ERRKIND_NONE) {
            world_edit_result(o->w, e->edit, &e->accepted_us, &e->revision);
        }
    }
}

static void
check_node(struct oracle *o, int n)
{
    int64_t now = world_now_us(o->w);
    int64_t rev = world_node_revision(o->w, n);
    if (rev && rev < o->revision[n]) {
        report_violation(o, INVARIANT_CONFIG,
                         "node %d went from revision %" PRId64 " to %" PRId64,
                         n, o->revision[n], rev);
    }
    if (rev > o->revision[n]) {
        o->revision[n] = rev;
    }
    if (!rev || world_node_fresh_until_us(o->w, n) <= now) {
        return; /* a node without fresh configuration sends no new work */
    }
    for (int i = 0; i < o->edit_count; i++) {
        const struct observed_edit *e = &o->edits[i];
        if (e->accepted_us && now > e->accepted_us + CONFIG_LIMIT_US &&
            rev < e->revision) {
            report_violation(o, INVARIANT_CONFIG,
                             "node %d is fresh with revision %" PRId64
                             ", %s was accepted as %" PRId64,
                             n, rev, e->path, e->revision);
        }
    }
}

void
oracle_poll(struct oracle *o)
{
    update_edit_results(o);
    for (int n = 0; n < WORLD_MAX_NODES && n < 64; n++) {
        if (world_node_is_up(o->w, n)) {
            check_node(o, n);
        }
    }
}

/* Returns true if the document has a value at the path SECTION/KEY. */
static bool
has_value_at_path(json_t *doc, const char *path)
{
    char section[64];
    snprintf(section, sizeof(section), "%s", path);
    char *slash = strchr(section, '/');
    if (!slash) {
        return false;
    }
    *slash = 0;
    return json_object_get(json_object_get(doc, section), slash + 1) != NULL;
}

static void
check_edits_at_end(struct oracle *o)
{
    struct str text = world_store_value(o->w, "cf/config");
    json_t *doc = json_loadb(text.ptr, text.len, 0, NULL);
    for (int i = 0; i < o->edit_count; i++) {
        const struct observed_edit *e = &o->edits[i];
        enum errkind k = world_edit_result(o->w, e->edit, NULL, NULL);
        bool has_unique_path = e->zone < 0;
        if (!has_unique_path) {
            continue;
        }
        if (k == ERRKIND_NONE && !has_value_at_path(doc, e->path)) {
            report_violation(o, INVARIANT_CONFIG, "accepted %s is not stored",
                             e->path);
        }
        if ((k == ERRKIND_NOT_ACCEPTED || k == ERRKIND_CONFLICT) &&
            has_value_at_path(doc, e->path)) {
            report_violation(o, INVARIANT_CONFIG,
                             "%s is stored but was refused as %s", e->path,
                             errkind_info(k)->name);
        }
    }
    json_decref(doc);
}

static bool
is_action_sent_once(const struct oracle *o, uint64_t action)
{
    int n = 0;
    for (int i = 0; i < world_request_count(o->w); i++) {
        n += world_request(o->w, i)->action == action;
    }
    return n == 1;
}

static void
check_request_at_end(struct oracle *o, int i)
{
    const struct world_request *r = world_request(o->w, i);
    if (r->wrong) {
        report_violation(o, INVARIANT_ANSWER,
                         "request %d got a wrong or partial answer", i);
    }
    if (r->outcome == WORLD_PENDING) {
        report_violation(o, INVARIANT_ANSWER, "request %d was never answered",
                         i);
    }
    if (r->answers > 1) {
        report_violation(o, INVARIANT_RESULT, "request %d got %d answers", i,
                         r->answers);
    }
    if (r->outcome == WORLD_LOST && r->graceful_stop) {
        report_violation(o, INVARIANT_DRAIN,
                         "request %d was cut by a planned stop", i);
    }
    if (r->open_at_drain && r->outcome == WORLD_REFUSED &&
        r->error == ERRKIND_NOT_READY &&
        r->done_us < r->deadline_us - 100000) {
        report_violation(
            o, INVARIANT_DRAIN,
            "request %d was refused as not_ready during a planned stop", i);
    }
    if (!r->action) {
        return;
    }
    int runs = world_action_runs(o->w, r->action);
    if (runs > 1) {
        report_violation(o, INVARIANT_ONCE, "action %" PRIu64 " ran %d times",
                         r->action, runs);
    }
    bool not_run =
        r->outcome == WORLD_REFUSED && errkind_info(r->error)->ran == RAN_NOT;
    if (r->ran_despite_not_run ||
        (not_run && runs > 0 && is_action_sent_once(o, r->action))) {
        report_violation(o, INVARIANT_NOT_RUN,
                         "request %d was refused as %s, action %" PRIu64
                         " ran",
                         i, errkind_info(r->error)->name, r->action);
    }
    if (r->outcome == WORLD_ANSWERED && runs == 0) {
        report_violation(o, INVARIANT_RESULT,
                         "request %d was answered, action %" PRIu64
                         " never ran",
                         i, r->action);
    }
}

void
oracle_check_end(struct oracle *o)
{
    update_edit_results(o);
    check_edits_at_end(o);
    for (int i = 0; i < world_request_count(o->w); i++) {
        check_request_at_end(o, i);
    }
}

int
oracle_violation_count(const struct oracle *o, enum invariant i)
{
    return o->violation_count[i];
}

const char *
oracle_first_violation(const struct oracle *o, enum invariant i)
{
    return o->violation_count[i] ? o->first_violation[i] : NULL;
}
