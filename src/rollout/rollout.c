#include "rollout/rollout.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/hash.h"
#include "base/log.h"
#include "rollout/rollout_state.h"

/* Time before a write that failed is tried again. The store may have changed
 * and the watch tells. */
#define WRITE_RETRY_US (400 * MS)
/* A node that is not the decider writes a record that an older copy of the
 * store lacks after this time, as the decider may not know it. */
#define REWRITE_DELAY_US (1500 * MS)

struct rollout_outgoing {
    uint64_t node;
    struct rollout_report report;
};

struct rollout *
rollout_new(const struct rollout_options *opts)
{
    struct rollout *r = mem_calloc(1, sizeof(*r));
    rollout_copy_name(r->node_name, opts->node);
    r->self = hash64(opts->node);
    r->nodes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    r->suspects =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    r->services = g_ptr_array_new();
    g_queue_init(&r->messages);
    rollout_set_options(r, opts);
    return r;
}

void
rollout_set_options(struct rollout *r, const struct rollout_options *opts)
{
    r->opts = *opts;
    r->opts.node = (struct str){0};
}

static void
service_free(struct rollout_service *s)
{
    g_hash_table_destroy(s->nodes);
    buf_free(&s->text);
    free(s);
}

void
rollout_free(struct rollout *r)
{
    if (!r) {
        return;
    }
    for (guint i = 0; i < r->services->len; i++) {
        service_free(g_ptr_array_index(r->services, i));
    }
    g_ptr_array_free(r->services, TRUE);
    g_array_free(r->nodes, TRUE);
    g_hash_table_destroy(r->suspects);
    g_queue_clear_full(&r->messages, free);
    free(r);
}

int64_t
rollout_tick_us(const struct rollout *r)
{
    return MAX(TICK_US, (int64_t)r->nodes->len * TICK_PER_NODE_US);
}

bool
rollout_has_contact(const struct rollout *r, int64_t now_us)
{
    return r->contact_us && now_us - r->contact_us <= CONTACT_MAX_AGE_US;
}

static struct rollout_service *
find_by_hash(const struct rollout *r, uint64_t hash)
{
    for (guint i = 0; i < r->services->len; i++) {
        struct rollout_service *s = g_ptr_array_index(r->services, i);
        if (s->hash == hash) {
            return s;
        }
    }
    return NULL;
}

static struct rollout_service *
add_service(struct rollout *r, struct str name)
{
    struct rollout_service *s = find_by_hash(r, hash64(name));
    if (s || !rollout_is_valid_name(name)) {
        return s;
    }
    s = mem_calloc(1, sizeof(*s));
    rollout_copy_name(s->name, name);
    s->hash = hash64(name);
    s->nodes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    g_ptr_array_add(r->services, s);
    return s;
}

void
rollout_set_nodes(struct rollout *r, const uint64_t *nodes, int count)
{
    g_array_set_size(r->nodes, 0);
    if (count > 0) {
        g_array_append_vals(r->nodes, nodes, (guint)count);
    }
}

void
rollout_set_contact(struct rollout *r, int64_t contact_us)
{
    r->contact_us = contact_us;
}

void
rollout_set_order(struct rollout *r, int64_t now_us, struct str service,
                  const struct rollout_order *order)
{
    struct rollout_service *s = add_service(r, service);
    if (!s || (!order && !s->has_order) ||
        (order && s->has_order && order->id == s->order.id)) {
        return;
    }
    LOG_EVENT(LOG_INFO, "rollout_order", LOG_STR("service", service),
              LOG_CSTR("target", order ? order->target : ""),
              LOG_INT("duration_ms", order ? order->duration_us / MS : 0));
    if (order && s->has_order && strcmp(s->order.target, order->target) != 0 &&
        (!s->has_record || s->record.order != s->order.id)) {
        memcpy(s->replaced, s->order.target, sizeof(s->replaced));
    }
    s->has_order = order != NULL;
    if (!order) {
        return;
    }
    s->order = *order;
    s->start_us = now_us;
    s->write_due = false;
    if (s->has_record && s->record.order == order->id) {
        s->start_us = MIN(now_us, s->record_us - s->record.elapsed_us);
    }
    s->next_report_us = now_us;
    s->last_ack_us = 0;
    s->candidate = 0;
}

/* Whether a record in the store is from an older copy of it. */
static bool
is_older(const struct rollout_service *s, const struct rollout_record *stored)
{
    return s->has_record && stored->step < s->record.step;
}

static void
adopt_record(struct rollout_service *s, int64_t now_us,
             const struct rollout_record *next)
{
    if (s->has_record && s->record.step == next->step &&
        s->record.order == next->order && s->record.phase == next->phase &&
        s->record.share_ppm == next->share_ppm) {
        return;
    }
    LOG_EVENT(
        LOG_INFO, "rollout", LOG_CSTR("service", s->name),
        LOG_CSTR("target", next->target),
        LOG_CSTR("phase", rollout_phase_name(next->phase)),
        LOG_INT("share_ppm", next->share_ppm), LOG_INT("step", next->step),
        LOG_INT("elapsed_ms", next->elapsed_us / MS),
        LOG_INT("sent_old", next->sent[ROLLOUT_OLD]),
        LOG_INT("sent_new", next->sent[ROLLOUT_NEW]),
        LOG_INT("failed", next->failed), LOG_CSTR("decider", next->decider),
        LOG_CSTR("reason", next->reason));
    s->record = *next;
    s->has_record = true;
    s->record_us = now_us;
    s->write_due = false;
    if (s->has_order && next->order == s->order.id) {
        s->start_us = MIN(s->start_us, now_us - next->elapsed_us);
    }
    if (!rollout_is_running(next) || next->order != s->stopped_order) {
        s->stopped_order = 0;
    }
}

void
rollout_set_record(struct rollout *r, int64_t now_us, struct str service,
                   struct str text, int64_t revision)
{
    struct rollout_record stored = {0};
    struct rollout_service *s = add_service(r, service);
    if (!s) {
        return;
    }
    if (text.len > 0 && rollout_record_read(text, &stored) != ST_OK) {
        LOG_EVENT(LOG_WARN, "rollout_record_ignored",
                  LOG_STR("service", service), LOG_CSTR("error", err_last()));
        stored = (struct rollout_record){0};
    }
    s->stored_revision = text.len > 0 ? revision : 0;
    s->stored_step = stored.step;
    if (is_older(s, &stored)) {
        if (!s->stale_since_us) {
            s->stale_since_us = now_us;
        }
        return;
    }
    s->stale_since_us = 0;
    if (stored.step > 0) {
        adopt_record(s, now_us, &stored);
        if (s->has_order && stored.order == s->order.id) {
            s->replaced[0] = 0;
        }
    }
}

void
rollout_set_servers(struct rollout *r, uint64_t service,
                    const int count[ROLLOUT_SIDES])
{
    struct rollout_service *s = find_by_hash(r, service);
    if (s) {
        memcpy(s->servers, count, sizeof(s->servers));
    }
}

void
rollout_set_counts(struct rollout *r, const struct rollout_report *own)
{
    struct rollout_service *s = find_by_hash(r, own->service);
    if (s) {
        s->own = *own;
    }
}

/* Who decides */

static bool
is_suspect(const struct rollout *r, uint64_t node, int64_t now_us)
{
    const int64_t *until = g_hash_table_lookup(r->suspects, &node);
    return until && now_us < *until;
}

/* The first node in the common order of nodes that is not suspected here; this
 * node if there is none. */
static uint64_t
find_decider(const struct rollout *r, const struct rollout_service *s,
             int64_t now_us)
{
    uint64_t best = r->self;
    uint64_t best_rank = 0;
    for (guint i = 0; i < r->nodes->len; i++) {
        uint64_t node = g_array_index(r->nodes, uint64_t, i);
        uint64_t pair[2] = {node, s->hash};
        uint64_t rank = XXH3_64bits(pair, sizeof(pair));
        if (rank >= best_rank && !is_suspect(r, node, now_us)) {
            best = node;
            best_rank = rank;
        }
    }
    return best;
}

/* A node decides while it is first in its own order, or others report to it:
 * they may have lost contact with the nodes before it. */
bool
rollout_acts_as_decider(const struct rollout *r,
                        const struct rollout_service *s, int64_t now_us)
{
    return rollout_has_contact(r, now_us) &&
           (find_decider(r, s, now_us) == r->self ||
            (s->asked_us &&
             now_us - s->asked_us < SUSPECT_AFTER_US + rollout_tick_us(r)));
}

bool
rollout_is_decider(const struct rollout *r, int64_t now_us, struct str service)
{
    const struct rollout_service *s = find_by_hash(r, hash64(service));
    return s && rollout_acts_as_decider(r, s, now_us);
}

void
rollout_send(struct rollout *r, uint64_t node, const struct rollout_report *m)
{
    struct rollout_outgoing *o = mem_calloc(1, sizeof(*o));
    o->node = node;
    o->report = *m;
    g_queue_push_tail(&r->messages, o);
}

static void
suspect_decider(struct rollout *r, const struct rollout_service *s,
                int64_t now_us)
{
    int64_t *until = g_new(int64_t, 1);
    uint64_t *key = g_new(uint64_t, 1);
    *key = s->candidate;
    *until = now_us + SUSPECT_US;
    g_hash_table_replace(r->suspects, key, until);
    LOG_EVENT(LOG_INFO, "rollout_decider_silent", LOG_CSTR("service", s->name),
              LOG_INT("node", s->candidate));
}

/* A roll-out whose phase is final needs no reports, unless an order is new. */
static bool
needs_reports(const struct rollout_service *s)
{
    return s->has_order && (!s->has_record || s->record.order != s->order.id ||
                            rollout_is_running(&s->record));
}

static void
send_report(struct rollout *r, struct rollout_service *s, int64_t now_us)
{
    int64_t tick_us = rollout_tick_us(r);
    struct rollout_report m = s->own;
    s->next_report_us = now_us + tick_us;
    if (m.order != s->order.id) {
        /* The traffic thread has not seen the order yet. */
        m = (struct rollout_report){.order = s->order.id};
    }
    m.service = s->hash;
    uint64_t decider = find_decider(r, s, now_us);
    if (decider == s->candidate && decider != r->self &&
        now_us - MAX(s->last_ack_us, s->candidate_us) >
            SUSPECT_AFTER_US + 2 * tick_us) {
        suspect_decider(r, s, now_us);
        decider = find_decider(r, s, now_us);
    }
    if (decider != s->candidate) {
        s->candidate = decider;
        s->candidate_us = now_us;
    }
    if (decider == r->self) {
        rollout_take_report(s, now_us, r->self, &m);
        s->last_ack_us = now_us;
        return;
    }
    if (rollout_acts_as_decider(r, s, now_us)) {
        rollout_take_report(s, now_us, r->self, &m);
    }
    rollout_send(r, decider, &m);
}

void
rollout_handle_report(struct rollout *r, int64_t now_us, uint64_t from,
                      const struct rollout_report *m)
{
    struct rollout_service *s = find_by_hash(r, m->service);
    if (!s || r->opts.rollback_us <= 0) {
        return;
    }
    if (m->is_ack) {
        if (from == s->candidate) {
            s->last_ack_us = now_us;
        }
        if (m->stop && s->has_order && m->order == s->order.id &&
            (!s->has_record || s->record.order != s->order.id ||
             rollout_is_running(&s->record))) {
            s->stopped_order = m->order;
        }
        return;
    }
    rollout_take_report(s, now_us, from, m);
    if (!rollout_has_contact(r, now_us)) {
        /* Without contact this node cannot write, so others are to decide. */
        return;
    }
    s->asked_us = now_us;
    rollout_send(
        r, from,
        &(struct rollout_report){.service = s->hash,
                                 .order = m->order,
                                 .step = s->has_record ? s->record.step : 0,
                                 .is_ack = true,
                                 .stop = s->stopped_order != 0 &&
                                         s->stopped_order == m->order});
}

/* Runs what is due */

static void
run_service(struct rollout *r, struct rollout_service *s, int64_t now_us)
{
    if (needs_reports(s) && now_us >= s->next_report_us) {
        send_report(r, s, now_us);
    }
    if (s->stale_since_us && !s->writing && !s->write_due &&
        now_us >= s->next_write_us && rollout_has_contact(r, now_us)) {
        int64_t delay_us =
            find_decider(r, s, now_us) == r->self ? 0 : REWRITE_DELAY_US;
        if (now_us - s->stale_since_us >= delay_us) {
            s->next = s->record;
            s->rewriting = s->write_due = true;
        }
        return;
    }
    if (rollout_acts_as_decider(r, s, now_us)) {
        rollout_decide(r, s, now_us);
    }
    else if (!s->writing) {
        s->write_due = false;
    }
}

void
rollout_run(struct rollout *r, int64_t now_us)
{
    if (r->opts.rollback_us <= 0) {
        return;
    }
    for (guint i = 0; i < r->services->len; i++) {
        run_service(r, g_ptr_array_index(r->services, i), now_us);
    }
}

int64_t
rollout_next_wakeup_us(const struct rollout *r)
{
    int64_t at = INT64_MAX;
    for (guint i = 0; r->opts.rollback_us > 0 && i < r->services->len; i++) {
        const struct rollout_service *s = g_ptr_array_index(r->services, i);
        if (needs_reports(s)) {
            at = MIN(at, s->next_report_us);
        }
        if (s->stale_since_us || s->write_due) {
            at = MIN(at, MAX(s->next_write_us, s->stale_since_us));
        }
    }
    return r->messages.length == 0 ? at : 0;
}

bool
rollout_next_message(struct rollout *r, uint64_t *node,
                     struct rollout_report *out)
{
    struct rollout_outgoing *o = g_queue_pop_head(&r->messages);
    if (!o) {
        return false;
    }
    *node = o->node;
    *out = o->report;
    free(o);
    return true;
}

bool
rollout_next_write(struct rollout *r, int64_t now_us,
                   struct rollout_write *out)
{
    for (guint i = 0; i < r->services->len; i++) {
        struct rollout_service *s = g_ptr_array_index(r->services, i);
        if (!s->write_due || s->writing || now_us < s->next_write_us) {
            continue;
        }
        s->write_due = false;
        s->writing = true;
        buf_clear(&s->text);
        rollout_record_write(&s->next, &s->text);
        *out = (struct rollout_write){.service = str_from_cstr(s->name),
                                      .target = str_from_cstr(s->next.target),
                                      .if_revision = s->stored_revision,
                                      .record = buf_str(&s->text),
                                      .phase = s->next.phase};
        return true;
    }
    return false;
}

static void
count_step(struct rollout *r, const struct rollout_service *s,
           const struct rollout_record *old)
{
    if (!s->has_record || old->order != s->next.order) {
        r->counters.started++;
    }
    if (s->next.phase == ROLLOUT_COMPLETED) {
        r->counters.completed++;
    }
    if (s->next.phase == ROLLOUT_ROLLED_BACK) {
        r->counters.rolled_back++;
    }
}

void
rollout_handle_write(struct rollout *r, int64_t now_us, struct str service,
                     enum rollout_write_result result, int64_t revision)
{
    struct rollout_service *s = find_by_hash(r, hash64(service));
    if (!s || !s->writing) {
        return;
    }
    bool rewriting = s->rewriting;
    s->writing = s->rewriting = false;
    if (result != ROLLOUT_WRITTEN) {
        /* The watch shows what the store holds. */
        LOG_EVENT(LOG_INFO, "rollout_write_failed",
                  LOG_STR("service", service),
                  LOG_INT("conflict", result == ROLLOUT_CONFLICT),
                  LOG_INT("step", s->next.step));
        r->counters.conflicts += result == ROLLOUT_CONFLICT;
        s->next_write_us = now_us + WRITE_RETRY_US;
        return;
    }
    s->next_write_us = now_us;
    if (s->next.step < s->record.step) {
        return; /* The watch has shown a newer record meanwhile. */
    }
    s->stored_revision = revision;
    s->stored_step = s->next.step;
    s->stale_since_us = 0;
    if (!rewriting) {
        count_step(r, s, &s->record);
    }
    adopt_record(s, now_us, &s->next);
}

/* What the traffic thread does */

/* The share of the target and how long it is valid without news. */
static int
share_ppm(const struct rollout *r, const struct rollout_service *s,
          int64_t now_us, int64_t *valid_until_us)
{
    const struct rollout_record *rec = &s->record;
    *valid_until_us = INT64_MAX;
    switch (rec->phase) {
    case ROLLOUT_CLOSE:
        return s->stopped_order == rec->order ? 0 : PPM;
    case ROLLOUT_COMPLETED:
        return PPM;
    case ROLLOUT_ROLLED_BACK:
    case ROLLOUT_PHASE_COUNT:
        return 0;
    case ROLLOUT_OBSERVE:
    case ROLLOUT_MOVE:
        break;
    }
    int64_t acked_us = s->last_ack_us;
    *valid_until_us = MIN(r->contact_us + CONTACT_MAX_AGE_US,
                          acked_us + ACK_MAX_AGE_US + 2 * rollout_tick_us(r));
    if (!s->has_order || s->stopped_order == rec->order ||
        now_us >= *valid_until_us) {
        return 0;
    }
    return rec->share_ppm;
}

bool
rollout_next_directive(struct rollout *r, int64_t now_us, int *at,
                       struct rollout_directive *out)
{
    while (r->opts.rollback_us > 0 && *at < (int)r->services->len) {
        const struct rollout_service *s =
            g_ptr_array_index(r->services, (guint)(*at)++);
        if (!s->has_order && !s->has_record) {
            continue;
        }
        *out =
            (struct rollout_directive){.active = true,
                                       .service = s->hash,
                                       .order = s->has_order ? s->order.id : 0,
                                       .reports = needs_reports(s),
                                       .valid_until_us = INT64_MAX};
        if (!s->has_record) {
            memcpy(out->target, s->order.target, sizeof(out->target));
            memcpy(out->rejected, s->replaced, sizeof(out->rejected));
            return true;
        }
        out->step = s->record.step;
        memcpy(out->rejected, s->record.rejected, sizeof(out->rejected));
        if (s->has_order && strcmp(s->order.target, s->record.target) != 0) {
            /* The order was replaced and the record is not written yet. */
            memcpy(out->target, s->order.target, sizeof(out->target));
            if (s->record.phase != ROLLOUT_COMPLETED) {
                memcpy(out->rejected, s->record.target, sizeof(out->rejected));
            }
            return true;
        }
        memcpy(out->target, s->record.target, sizeof(out->target));
        out->share_ppm = share_ppm(r, s, now_us, &out->valid_until_us);
        out->strict =
            out->share_ppm > 0 && (s->record.phase == ROLLOUT_CLOSE ||
                                   s->record.phase == ROLLOUT_COMPLETED);
        return true;
    }
    return false;
}

const struct rollout_record *
rollout_find_record(const struct rollout *r, struct str service)
{
    const struct rollout_service *s = find_by_hash(r, hash64(service));
    return s && s->has_record ? &s->record : NULL;
}
