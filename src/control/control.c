#include "control/control.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "base/log.h"
#include "control/claims.h"
#include "control/confedit.h"
#include "control/credits.h"
#include "control/docs.h"
#include "control/gossipq.h"
#include "control/join.h"
#include "control/member.h"
#include "control/status.h"
#include "control/strikes.h"

/* Smaller advances of fresh_until_us produce no action. */
#define MIN_FRESHNESS_ADVANCE_US 50000
/* Minimum interval of snapshots that differ only in the node count. The loss
 * of a zone changes the count many times in a row, and the documents are
 * parsed for each snapshot. */
#define NODE_COUNT_SNAPSHOT_INTERVAL_US 500000
/* A leave waits no longer than this for claims, since the store may be
 * down. */
#define LEAVE_TIMEOUT_US 10000000

struct control {
    uint64_t node;
    uint64_t incarnation;
    struct str zone;
    struct str region;
    struct outbox *out;
    struct member *member;
    struct docs *docs;
    struct join *join;
    struct confedit *confedit;
    struct claims *claims;
    struct credits *credits;
    struct strikes *strikes;
    struct gossipq *suspect_gossip;
    struct snapshot *snapshot; /* the last one published, or NULL */
    int64_t roster_revision;   /* last set in the membership module */
    int64_t config_revision;   /* of the last snapshot */
    int64_t vms_revision;
    int64_t snapshot_us;
    int64_t fresh_until_us;
    int64_t now_us;
    bool majority;                 /* as last passed to credits_tick */
    uint64_t credits_view_version; /* version of the view at the last
                                          credits_tick */
    bool tick_now;                 /* a change affects the timers of modules */
    bool leaving;
    bool leave_done;
    int64_t leave_start_us;
    uint64_t messages[MSG_TYPE_COUNT];
    uint64_t snapshots;
};

static int
collect_gossip(void *arg, struct gossip *out, int max)
{
    struct control *c = arg;
    int n = gossipq_take(c->suspect_gossip, out, max);
    return n + credits_collect_gossip(c->credits, out + n, max - n);
}

static void
suspect(struct control *c, int64_t now_us, const struct suspect_notice *n)
{
    if (!strikes_apply(c->strikes, now_us, n)) {
        return;
    }
    struct gossip g = {.kind = GOSSIP_SUSPECT, .suspect = *n};
    struct control_action a = {.kind = CONTROL_ACT_NOTIFY_ALL};
    gossipq_put(c->suspect_gossip, &g,
                gossipq_send_count(member_view(c->member)->count));
    a.reply.reply.kind = REPLY_SUSPECT;
    a.reply.reply.suspect = *n;
    outbox_push(c->out, &a);
}

static void
receive_gossip(void *arg, int64_t now_us, const struct gossip *g)
{
    struct control *c = arg;
    switch (g->kind) {
    case GOSSIP_MEMBER:
        break;
    case GOSSIP_ENDPOINT:
        credits_apply_gossip(c->credits, now_us, g, c->out);
        break;
    case GOSSIP_SUSPECT:
        suspect(c, now_us, &g->suspect);
        break;
    }
}

static void
create_modules(struct control *c, const struct control_options *o,
               int64_t now_us)
{
    struct member_options mo = {
        .node = o->node,
        .incarnation = o->incarnation,
        .name = o->name,
        .address = o->address,
        .zone = o->zone,
        .region = o->region,
        .seed = o->seed,
        .peer_count = o->peer_count,
        .peers = o->peers,
        .callbacks = {c, collect_gossip, receive_gossip},
    };
    struct docs_options docs = {o->node, o->incarnation, o->seed};
    struct join_options jo = {
        .self = {o->node, o->incarnation, o->name, o->address, o->zone,
                 o->region, o->curve_public_key, false},
        .seed = o->seed,
    };
    struct claims_options claims = {
        .node = o->node,
        .incarnation = o->incarnation,
        .seed = o->seed,
        .buckets = o->claim_buckets,
        .store_writes_per_s = o->store_writes_per_s,
    };
    struct credits_options credits = {
        .node = o->node,
        .incarnation = o->incarnation,
        .seed = o->seed,
        .threads = o->threads > 0 ? o->threads : 1,
    };
    c->member = member_new(&mo, now_us);
    c->docs = docs_new(&docs, now_us);
    c->join = join_new(&jo, now_us);
    c->confedit = confedit_new(o->node, o->seed);
    c->claims = claims_new(&claims);
    c->credits = credits_new(&credits);
}

struct control *
control_new(const struct control_options *o, int64_t now_us)
{
    struct control *c = mem_calloc(1, sizeof(*c));
    c->node = o->node;
    c->incarnation = o->incarnation;
    c->zone = str_dup(o->zone);
    c->region = str_dup(o->region);
    c->out = outbox_new();
    c->strikes = strikes_new();
    c->suspect_gossip = gossipq_new();
    c->fresh_until_us = INT64_MIN / 4;
    c->snapshot_us = INT64_MIN / 4;
    c->now_us = now_us;
    create_modules(c, o, now_us);
    return c;
}

void
control_free(struct control *c)
{
    if (!c) {
        return;
    }
    outbox_free(c->out);
    snapshot_unref(c->snapshot);
    member_free(c->member);
    docs_free(c->docs);
    join_free(c->join);
    confedit_free(c->confedit);
    claims_free(c->claims);
    credits_free(c->credits);
    strikes_free(c->strikes);
    gossipq_free(c->suspect_gossip);
    str_free(&c->zone);
    str_free(&c->region);
    free(c);
}

static int
node_count(struct control *c)
{
    int alive = view_alive_count(member_view(c->member));
    return alive > 0 ? alive : 1;
}

static void
publish(struct control *c, int64_t now_us)
{
    CLEANUP(buf_free) struct buf errors = {0};
    struct fleet *fleet = NULL;
    struct vmlist *vms = NULL;
    struct doc config = docs_get(c->docs, DOC_CONFIG);
    struct doc list = docs_get(c->docs, DOC_VMS);
    const struct view *v = member_view(c->member);
    c->config_revision = config.revision;
    c->vms_revision = list.revision;
    c->snapshot_us = now_us;
    if (fleet_parse(config.bytes, &fleet, &errors) != ST_OK) {
        return;
    }
    if (list.revision) {
        /* Entries of the list that cannot be read name no endpoint. */
        enum status st = vmlist_parse(list.bytes, &vms, &errors);
        if (st != ST_OK || errors.len > 0) {
            LOG_EVENT(LOG_WARN, "vms_ignored",
                      LOG_INT("revision", list.revision),
                      LOG_STR("errors", buf_str(&errors)));
        }
    }
    claims_set_horizon(c->claims,
                       fleet->defaults[FLEET_CLAIM_HORIZON_MS] * 1000);
    struct snapshot *s = snapshot_new(fleet, vms, config.revision, c->zone);
    s->node_count = node_count(c);
    credits_apply_snapshot(c->credits, now_us, v, s, c->out);
    for (int i = 0; i < s->endpoint_count; i++) {
        s->endpoints[i].cold =
            credits_endpoint_is_cold(c->credits, s->endpoints[i].id);
    }
    snapshot_unref(c->snapshot);
    c->snapshot = s;
    c->snapshots++;
    struct control_action a = {.kind = CONTROL_ACT_SNAPSHOT,
                               .snapshot = snapshot_ref(s)};
    outbox_push(c->out, &a);
}

/* Applies new documents in the order roster, snapshot, freshness: work that is
 * sent because of the new freshness must use the documents that this freshness
 * was computed for. */
static void
apply_documents(struct control *c, int64_t now_us)
{
    int64_t revisions[DOC_COUNT];
    for (int k = 0; k < DOC_COUNT; k++) {
        revisions[k] = docs_get(c->docs, (enum doc_kind)k).revision;
    }
    if (revisions[DOC_ROSTER] != c->roster_revision) {
        c->roster_revision = revisions[DOC_ROSTER];
        member_set_roster(c->member, now_us, docs_roster(c->docs));
        c->tick_now = true;
    }
    member_set_revisions(c->member, revisions, docs_invalid_revision(c->docs));
    member_record_store_contact(c->member, docs_last_contact_us(c->docs));
    bool count_due =
        c->snapshot &&
        now_us >= c->snapshot_us + NODE_COUNT_SNAPSHOT_INTERVAL_US &&
        node_count(c) != c->snapshot->node_count;
    if (revisions[DOC_CONFIG] &&
        (revisions[DOC_CONFIG] != c->config_revision ||
         revisions[DOC_VMS] != c->vms_revision || count_due)) {
        publish(c, now_us);
        c->tick_now = true;
    }
    int64_t until = member_fresh_until_us(c->member, now_us);
    if (c->snapshot && until >= c->fresh_until_us + MIN_FRESHNESS_ADVANCE_US) {
        struct control_action a = {.kind = CONTROL_ACT_FRESHNESS,
                                   .fresh_until_us = until};
        c->fresh_until_us = until;
        outbox_push(c->out, &a);
    }
}

static void
tick(struct control *c, int64_t now_us)
{
    c->tick_now = false;
    member_tick(c->member, now_us, c->out);
    const struct view *v = member_view(c->member);
    docs_tick(c->docs, now_us, v, member_store_age_us(c->member, now_us),
              c->out);
    join_tick(c->join, now_us, c->docs, c->member, c->out);
    claims_tick(c->claims, now_us, v, c->out);
    /* credits_tick visits all endpoints, so it runs only when it is due. */
    bool majority = member_has_majority(c->member, now_us);
    if (now_us >= credits_next_wakeup_us(c->credits) ||
        majority != c->majority || v->version != c->credits_view_version) {
        c->majority = majority;
        c->credits_view_version = v->version;
        credits_tick(c->credits, now_us, v, majority, c->out);
    }
    if (c->leaving && !c->leave_done &&
        ((join_is_leave_done(c->join, c->docs, now_us) &&
          claims_is_idle(c->claims)) ||
         now_us >= c->leave_start_us + LEAVE_TIMEOUT_US)) {
        struct control_action a = {.kind = CONTROL_ACT_LEAVE_DONE};
        c->leave_done = true;
        outbox_push(c->out, &a);
    }
}

static void
on_msg(struct control *c, int64_t now_us, const struct msg *m)
{
    const struct view *v = member_view(c->member);
    int64_t seen[DOC_COUNT] = {0};
    if (m->type < MSG_TYPE_COUNT) {
        c->messages[m->type]++;
    }
    member_record_message(c->member, now_us, m->from, c->out);
    switch (m->type) {
    case MSG_PING:
    case MSG_PING_REQ:
    case MSG_ACK:
    case MSG_LEAVE:
        member_handle_msg(c->member, now_us, m, c->out);
        docs_handle_peer_revisions(c->docs, now_us, member_view(c->member),
                                   m->from, m->probe.revisions, c->out);
        break;
    case MSG_DOC_ACK:
        if (m->doc.doc < DOC_COUNT) {
            seen[m->doc.doc] = m->doc.revision;
            member_record_ack(c->member, m->from, m->incarnation, m->doc.doc,
                              m->doc.revision);
            docs_handle_peer_revisions(c->docs, now_us, v, m->from, seen,
                                       c->out);
        }
        break;
    case MSG_DOC_GET:
    case MSG_DOC:
        docs_handle_msg(c->docs, now_us, v, m, c->out);
        break;
    case MSG_CLAIM:
    case MSG_CLAIM_REPLY:
        claims_handle_message(c->claims, now_us, v, m, c->out);
        break;
    case MSG_CREDIT:
    case MSG_CREDIT_REPLY:
    case MSG_CREDIT_RELEASE:
    case MSG_CREDIT_QUERY:
    case MSG_CREDIT_STATE:
    case MSG_COLD:
        credits_handle_message(c->credits, now_us, v, m, c->out);
        break;
    case MSG_STAGE_ASK:
    case MSG_STAGE_ACK:
    case MSG_STAGE_RESULT:
    case MSG_STAGE_DROP:
    case MSG_PREFILL:
    case MSG_PARTS:
    case MSG_STAGE_RESULTS:
    case MSG_RETURNS:
    case MSG_ENGINES:
    case MSG_ROLLOUT:
    case MSG_FEED_ASK:
    case MSG_FEED_ANSWER:
    case MSG_TYPE_COUNT:
        break;
    }
}

static void
on_store(struct control *c, int64_t now_us, const struct store_result *r)
{
    if (docs_owns_op(c->docs, r->id)) {
        docs_handle_store_result(c->docs, now_us, r);
    }
    else if (join_owns_op(c->join, r->id)) {
        join_handle_store_result(c->join, now_us, c->docs, c->member, r,
                                 c->out);
    }
    else if (confedit_owns_op(c->confedit, r->id)) {
        confedit_handle_store_result(c->confedit, now_us, c->docs, c->member,
                                     r, c->out);
    }
    else if (claims_owns_op(c->claims, r->id)) {
        claims_handle_store_result(c->claims, now_us, member_view(c->member),
                                   r, c->out);
    }
}

static void
on_ask(struct control *c, int64_t now_us, int thread,
       const struct control_request *ask)
{
    const struct view *v = member_view(c->member);
    switch (ask->kind) {
    case CONTROL_REQUEST_CLAIM:
        claims_handle_request(c->claims, now_us, v, thread, &ask->claim,
                              c->out);
        break;
    case CONTROL_REQUEST_CREDIT:
    case CONTROL_REQUEST_CREDIT_RELEASE:
    case CONTROL_REQUEST_COLD:
        credits_handle_request(c->credits, now_us, v, thread, ask, c->out);
        break;
    case CONTROL_REQUEST_SUSPECT:
        suspect(c, now_us, &ask->suspect);
        break;
    }
}

static bool
is_endpoint_cold(void *arg, struct str endpoint)
{
    return credits_endpoint_is_cold(((struct control *)arg)->credits,
                                    endpoint);
}

static void
on_admin(struct control *c, int64_t now_us, const struct control_event *ev)
{
    CLEANUP(buf_free) struct buf body = {0};
    struct status_input in = {
        .now_us = now_us,
        .docs = c->docs,
        .member = c->member,
        .snapshot = c->snapshot,
        .fresh_until_us = c->fresh_until_us,
        .ready = control_is_ready(c, now_us),
        .leaving = c->leaving,
        .open_edits = confedit_open_count(c->confedit),
        .arg = c,
        .is_cold = is_endpoint_cold,
    };
    switch (ev->admin.verb) {
    case ADMIN_EDIT:
    case ADMIN_APPLY:
        confedit_start(c->confedit, now_us, c->docs, c->member, ev->admin.id,
                       ev->admin.verb == ADMIN_APPLY, ev->admin.body,
                       ev->admin.deadline_us, c->out);
        return;
    case ADMIN_SHOW:
        status_write_config(c->docs, &body);
        break;
    case ADMIN_STATUS:
        status_write_report(&in, &body);
        break;
    }
    struct control_action a = {.kind = CONTROL_ACT_ADMIN};
    a.admin.id = ev->admin.id;
    a.admin.body = buf_str(&body);
    outbox_push(c->out, &a);
}

void
control_handle_event(struct control *c, int64_t now_us,
                     const struct control_event *ev)
{
    outbox_clear(c->out);
    c->now_us = now_us;
    switch (ev->kind) {
    case CONTROL_EV_TICK:
        tick(c, now_us);
        break;
    case CONTROL_EV_MSG:
        on_msg(c, now_us, &ev->msg);
        break;
    case CONTROL_EV_STORE:
        on_store(c, now_us, &ev->store);
        break;
    case CONTROL_EV_REQUEST:
        on_ask(c, now_us, ev->ask.thread, &ev->ask.ask);
        break;
    case CONTROL_EV_ADMIN:
        on_admin(c, now_us, ev);
        break;
    case CONTROL_EV_LINK_FAILED:
        member_probe_now(c->member, now_us, ev->failed_node, c->out);
        break;
    case CONTROL_EV_LEAVE:
        if (!c->leaving) {
            c->leaving = true;
            c->leave_start_us = now_us;
            member_announce_leave(c->member, now_us, c->out);
            join_start_leave(c->join, now_us);
        }
        break;
    }
    apply_documents(c, now_us);
    if (confedit_open_count(c->confedit)) {
        confedit_tick(c->confedit, now_us, c->docs, c->member, c->out);
        apply_documents(c, now_us);
    }
}

bool
control_next_action(struct control *c, struct control_action *out)
{
    return outbox_take(c->out, out);
}

static int64_t
min_time_us(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

int64_t
control_next_wakeup_us(const struct control *c)
{
    if (c->tick_now) {
        return c->now_us;
    }
    int64_t at = member_next_wakeup_us(c->member);
    at = min_time_us(at, docs_next_wakeup_us(c->docs));
    at = min_time_us(at, join_next_wakeup_us(c->join));
    at = min_time_us(at, confedit_next_wakeup_us(c->confedit));
    at = min_time_us(at, claims_next_wakeup_us(c->claims));
    at = min_time_us(at, credits_next_wakeup_us(c->credits));
    return at;
}

bool
control_is_ready(const struct control *c, int64_t now_us)
{
    return c->snapshot && !c->leaving && now_us < c->fresh_until_us &&
           docs_is_known(c->docs, DOC_VMS) &&
           join_is_in_roster(c->join, c->docs);
}

void
control_metrics(const struct control *c, struct buf *out)
{
    for (int t = 0; t < MSG_TYPE_COUNT; t++) {
        buf_printf(out,
                   "camphorfall_messages_received_total{type=\"%s\"} %" PRIu64
                   "\n",
                   msg_type_name((enum msg_type)t), c->messages[t]);
    }
    buf_printf(out,
               "camphorfall_snapshots_total %" PRIu64 "\n"
               "camphorfall_suspect_contents %d\n"
               "camphorfall_fresh_until_us %" PRId64 "\n",
               c->snapshots, strikes_content_count(c->strikes),
               c->fresh_until_us);
    member_metrics(c->member, out);
    docs_metrics(c->docs, out);
    join_metrics(c->join, out);
    confedit_metrics(c->confedit, out);
    claims_write_metrics(c->claims, out);
    credits_write_metrics(c->credits, out);
}
