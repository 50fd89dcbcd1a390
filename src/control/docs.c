#include "control/docs.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/clean.h"
#include "base/log.h"
#include "base/rng.h"
#include "model/fleet.h"
#include "model/vmlist.h"

#define OP_TAG (UINT64_C(0xd0) << 56)
#define OP_MASK (UINT64_C(0xff) << 56)
#define NEVER (INT64_MIN / 4)

#define CONFIG_POLL_US 500000
#define OTHER_POLL_US 2000000
#define GET_TIMEOUT_US 1000000
#define WATCH_TIMEOUT_US 30000000
#define MAX_BACKOFF_US 4000000
#define START_JITTER_US 200000
#define RECOVERY_JITTER_US 1000000
#define FETCH_TIMEOUT_US 500000
/* Nodes that are not watchers poll with a period of this time multiplied by
 * the number of members: the whole fleet then sends at most 4 reads a
 * second. */
#define FALLBACK_POLL_PER_MEMBER_US 250000
#define FALLBACK_STORE_AGE_US 2000000
#define MAX_DIRECT_PUSH_NODES 64
#define TREE_FANOUT 8

struct doc_state {
    struct doc doc;
    bool known;
    int64_t invalid_revision; /* revision in the store that does not parse */
    int64_t logged_revision;  /* the last one that was logged as unreadable */
    uint64_t get_op;          /* operation in flight, 0: none */
    int64_t get_sent_us;
    int64_t next_get_us;
    uint64_t watch_op;
    int64_t next_watch_us;
    uint64_t fetch_node; /* node that a DOC_GET was sent to, 0: none */
    int64_t fetch_sent_us;
};

struct docs {
    uint64_t self;
    uint64_t incarnation;
    struct rng rng;
    struct doc_state state[DOC_COUNT];
    struct roster *roster;
    uint64_t next_op;
    int64_t last_contact_us;
    int failed_reads; /* consecutive failures of config reads */
    bool watcher;
    uint64_t view_version;
    uint64_t reads, rejected, stale, received, sent;
};

static const char *const keys[DOC_COUNT] = {
    [DOC_CONFIG] = "cf/config",
    [DOC_ROSTER] = "cf/roster",
    [DOC_VMS] = "platform/vms",
};

struct docs *
docs_new(const struct docs_options *o, int64_t now_us)
{
    struct docs *d = mem_calloc(1, sizeof(*d));
    d->self = o->node;
    d->incarnation = o->incarnation;
    rng_seed(&d->rng, o->seed ^ (o->node * 3));
    roster_parse((struct str){0}, &d->roster);
    d->last_contact_us = NEVER;
    d->watcher = true;
    for (int k = 0; k < DOC_COUNT; k++) {
        d->state[k].next_get_us =
            now_us + (int64_t)rng_below(&d->rng, START_JITTER_US);
    }
    return d;
}

void
docs_free(struct docs *d)
{
    if (!d) {
        return;
    }
    for (int k = 0; k < DOC_COUNT; k++) {
        str_free(&d->state[k].doc.bytes);
    }
    roster_free(d->roster);
    free(d);
}

struct doc
docs_get(const struct docs *d, enum doc_kind kind)
{
    return d->state[kind].doc;
}

const struct roster *
docs_roster(const struct docs *d)
{
    return d->roster;
}

bool
docs_is_known(const struct docs *d, enum doc_kind kind)
{
    return d->state[kind].known;
}

int64_t
docs_invalid_revision(const struct docs *d)
{
    return d->state[DOC_CONFIG].invalid_revision;
}

int64_t
docs_last_contact_us(const struct docs *d)
{
    return d->last_contact_us;
}

int
docs_watcher_count(int members)
{
    int n = 3;
    while (n < 16 && n * n < members) {
        n++;
    }
    return n;
}

static const char *const doc_names[] = {"config", "roster", "vms"};

static const char *
doc_name(enum doc_kind kind)
{
    return kind < DOC_COUNT ? doc_names[kind] : "unknown";
}

/* @param errors the errors of the document, one a line; may stay empty */
static bool
parse_and_apply(struct docs *d, enum doc_kind kind, struct str bytes,
                struct buf *errors)
{
    struct fleet *fleet = NULL;
    struct vmlist *vms = NULL;
    struct roster *roster = NULL;
    switch (kind) {
    case DOC_CONFIG:
        if (fleet_parse(bytes, &fleet, errors) != ST_OK) {
            return false;
        }
        fleet_free(fleet);
        return true;
    case DOC_ROSTER:
        if (roster_parse(bytes, &roster) != ST_OK) {
            return false;
        }
        roster_free(d->roster);
        d->roster = roster;
        return true;
    case DOC_VMS:
        if (vmlist_parse(bytes, &vms, errors) != ST_OK) {
            return false;
        }
        vmlist_free(vms);
        return true;
    case DOC_COUNT:
        break;
    }
    return false;
}

/* Puts a newer document in force.
 * @return false if the document is not newer or does not parse */
static bool
accept_revision(struct docs *d, enum doc_kind kind, int64_t revision,
                struct str bytes)
{
    struct doc_state *state = &d->state[kind];
    if (revision <= state->doc.revision) {
        d->stale += revision < state->doc.revision;
        return false;
    }
    CLEANUP(buf_free) struct buf errors = {0};
    if (!parse_and_apply(d, kind, bytes, &errors)) {
        d->rejected++;
        if (revision != state->logged_revision) {
            LOG_EVENT(LOG_WARN, "document_unreadable",
                      LOG_CSTR("doc", doc_name(kind)),
                      LOG_INT("revision", revision),
                      LOG_CSTR("error", err_last()),
                      LOG_STR("details", buf_str(&errors)));
            state->logged_revision = revision;
        }
        return false;
    }
    str_free(&state->doc.bytes);
    state->doc = (struct doc){revision, str_dup(bytes)};
    state->known = true;
    state->fetch_node = 0;
    return true;
}

static void
send_doc(struct docs *d, const struct view *v, uint64_t to, enum msg_type type,
         enum doc_kind kind, struct outbox *out)
{
    const struct view_member *m = view_find(v, to);
    struct control_action a = {.kind = CONTROL_ACT_SEND};
    a.send.to = to;
    a.send.address = m ? m->address : (struct str){0};
    a.send.msg.type = type;
    a.send.msg.from = d->self;
    a.send.msg.incarnation = d->incarnation;
    a.send.msg.doc.doc = kind;
    a.send.msg.doc.revision = d->state[kind].doc.revision;
    if (type == MSG_DOC) {
        a.send.msg.doc.bytes = d->state[kind].doc.bytes;
        d->sent++;
    }
    outbox_push(out, &a);
}

struct tree_node {
    uint64_t weight;
    uint64_t node;
    bool alive;
};

static int
compare_by_weight(const void *a, const void *b)
{
    const struct tree_node *x = a;
    const struct tree_node *y = b;
    if (x->weight != y->weight) {
        return x->weight < y->weight ? -1 : 1;
    }
    return (x->node > y->node) - (x->node < y->node);
}

/* Sends the document to a node of the tree, or to the children of the node if
 * the node is down. */
static void
push_to_tree_node(struct docs *d, const struct view *v, enum doc_kind kind,
                  const struct tree_node *nodes, int count, int at,
                  struct outbox *out)
{
    if (at >= count) {
        return;
    }
    if (nodes[at].alive && nodes[at].node != d->self) {
        send_doc(d, v, nodes[at].node, MSG_DOC, kind, out);
        return;
    }
    /* A dead inner node has at most 8 children; the depth is log8(count). */
    for (int i = 0; i < TREE_FANOUT; i++) {
        push_to_tree_node(d, v, kind, nodes, count, TREE_FANOUT * (at + 1) + i,
                          out);
    }
}

/* Forwards the document to this node's children in the distribution tree. All
 * nodes order the roster by the same hash of node and revision, so that each
 * node knows its position in the tree without knowing the root. */
static void
push_tree(struct docs *d, const struct view *v, enum doc_kind kind,
          bool from_root, struct outbox *out)
{
    struct tree_node *nodes = mem_calloc((size_t)v->count, sizeof(*nodes));
    int count = 0;
    for (int i = 0; i < v->count; i++) {
        const struct view_member *m = &v->members[i];
        if (m->in_roster) {
            struct rng r;
            rng_seed(&r,
                     m->node ^ (uint64_t)d->state[kind].doc.revision << 20);
            nodes[count++] =
                (struct tree_node){rng_next(&r), m->node, m->alive};
        }
    }
    qsort(nodes, (size_t)count, sizeof(*nodes), compare_by_weight);
    int own = 0;
    while (own < count && nodes[own].node != d->self) {
        own++;
    }
    for (int i = 0; i < TREE_FANOUT; i++) {
        if (from_root) {
            push_to_tree_node(d, v, kind, nodes, count, i, out);
        }
        if (own < count && !(from_root && own < TREE_FANOUT)) {
            push_to_tree_node(d, v, kind, nodes, count,
                              TREE_FANOUT * (own + 1) + i, out);
        }
    }
    free(nodes);
}

enum status
docs_apply(struct docs *d, const struct view *v, enum doc_kind kind,
           int64_t revision, struct str bytes, bool push, struct outbox *out)
{
    bool is_newer = accept_revision(d, kind, revision, bytes);
    if (!is_newer) {
        return d->state[kind].doc.revision >= revision ? ST_OK : ST_INVALID;
    }
    if (!push) {
        return ST_OK;
    }
    if (v->count > MAX_DIRECT_PUSH_NODES) {
        push_tree(d, v, kind, true, out);
        return ST_OK;
    }
    for (int i = 0; i < v->count; i++) {
        if (v->members[i].alive && v->members[i].node != d->self) {
            send_doc(d, v, v->members[i].node, MSG_DOC, kind, out);
        }
    }
    return ST_OK;
}

void
docs_handle_msg(struct docs *d, int64_t now_us, const struct view *v,
                const struct msg *m, struct outbox *out)
{
    enum doc_kind kind = m->doc.doc;
    (void)now_us;
    if (kind >= DOC_COUNT || m->from == d->self) {
        return;
    }
    struct doc_state *state = &d->state[kind];
    if (m->type == MSG_DOC_GET) {
        if (state->doc.revision > m->doc.revision) {
            send_doc(d, v, m->from, MSG_DOC, kind, out);
        }
        return;
    }
    if (m->type != MSG_DOC) {
        return;
    }
    if (accept_revision(d, kind, m->doc.revision, m->doc.bytes)) {
        d->received++;
        if (v->count > MAX_DIRECT_PUSH_NODES) {
            push_tree(d, v, kind, false, out);
        }
    }
    if (state->doc.revision >= m->doc.revision) {
        /* The node that makes the edit must learn of a newer roster before
         * it counts this acknowledgement towards a majority. */
        if (kind == DOC_CONFIG) {
            send_doc(d, v, m->from, MSG_DOC_ACK, DOC_ROSTER, out);
        }
        send_doc(d, v, m->from, MSG_DOC_ACK, kind, out);
    }
}

void
docs_handle_peer_revisions(struct docs *d, int64_t now_us,
                           const struct view *v, uint64_t from,
                           const int64_t revisions[DOC_COUNT],
                           struct outbox *out)
{
    for (int k = 0; k < DOC_COUNT; k++) {
        struct doc_state *state = &d->state[k];
        if (revisions[k] <= state->doc.revision ||
            revisions[k] == state->invalid_revision ||
            (state->fetch_node &&
             now_us < state->fetch_sent_us + FETCH_TIMEOUT_US)) {
            continue;
        }
        state->fetch_node = from;
        state->fetch_sent_us = now_us;
        send_doc(d, v, from, MSG_DOC_GET, (enum doc_kind)k, out);
    }
}

static uint64_t
start_store_call(struct docs *d, enum doc_kind kind, enum store_op_kind op,
                 int64_t timeout_us, struct outbox *out)
{
    struct control_action a = {.kind = CONTROL_ACT_STORE};
    a.store.id = OP_TAG | ++d->next_op;
    a.store.kind = op;
    a.store.key = str_from_cstr(keys[kind]);
    a.store.expect = d->state[kind].doc.revision;
    a.store.timeout_us = timeout_us;
    outbox_push(out, &a);
    d->reads++;
    return a.store.id;
}

static int64_t
jitter(struct docs *d, int64_t t_us)
{
    return t_us / 2 + (int64_t)rng_below(&d->rng, (uint64_t)t_us);
}

static void
start_get(struct docs *d, int64_t now_us, enum doc_kind kind,
          struct outbox *out)
{
    d->state[kind].get_sent_us = now_us;
    d->state[kind].get_op =
        start_store_call(d, kind, STORE_GET, GET_TIMEOUT_US, out);
}

static void
follow_store(struct docs *d, int64_t now_us, struct outbox *out)
{
    for (int k = 0; k < DOC_COUNT; k++) {
        struct doc_state *state = &d->state[k];
        bool suspended = k != DOC_CONFIG && d->failed_reads > 0;
        if (!state->get_op && !suspended && now_us >= state->next_get_us) {
            start_get(d, now_us, (enum doc_kind)k, out);
        }
        if (k != DOC_CONFIG && !state->watch_op && !suspended &&
            state->known && now_us >= state->next_watch_us) {
            state->watch_op = start_store_call(
                d, (enum doc_kind)k, STORE_WATCH, WATCH_TIMEOUT_US, out);
        }
    }
}

/* Starts the reads of a node that is not a watcher: each document once after
 * the start, and the configuration while nothing from the store reaches the
 * node. */
static void
poll_as_non_watcher(struct docs *d, int64_t now_us, int members,
                    int64_t store_age_us, struct outbox *out)
{
    struct doc_state *c = &d->state[DOC_CONFIG];
    for (int k = 0; k < DOC_COUNT; k++) {
        struct doc_state *state = &d->state[k];
        if (!state->known && !state->get_op && !d->failed_reads &&
            now_us >= state->next_get_us) {
            start_get(d, now_us, (enum doc_kind)k, out);
        }
    }
    if (c->get_op || now_us < c->next_get_us) {
        return;
    }
    c->next_get_us = now_us + CONFIG_POLL_US;
    if (store_age_us > FALLBACK_STORE_AGE_US) {
        int64_t period = FALLBACK_POLL_PER_MEMBER_US * members;
        start_get(d, now_us, DOC_CONFIG, out);
        c->next_get_us =
            now_us +
            jitter(d, period > MAX_BACKOFF_US ? period : MAX_BACKOFF_US);
    }
}

void
docs_tick(struct docs *d, int64_t now_us, const struct view *v,
          int64_t store_age_us, struct outbox *out)
{
    if (v->version != d->view_version) {
        const struct view_member *self = view_find(v, d->self);
        bool was_watcher = d->watcher;
        d->view_version = v->version;
        d->watcher = !self || !self->in_roster ||
                     view_is_in_top(v, STR_LIT("watcher"),
                                    docs_watcher_count(v->count), d->self);
        for (int k = 0; k < DOC_COUNT && d->watcher && !was_watcher; k++) {
            d->state[k].next_get_us =
                now_us + (int64_t)rng_below(&d->rng, START_JITTER_US);
        }
    }
    if (d->watcher) {
        follow_store(d, now_us, out);
    }
    else {
        poll_as_non_watcher(d, now_us, v->count, store_age_us, out);
    }
}

int64_t
docs_next_wakeup_us(const struct docs *d)
{
    int64_t at = INT64_MAX;
    for (int k = 0; k < DOC_COUNT; k++) {
        const struct doc_state *state = &d->state[k];
        bool suspended = k != DOC_CONFIG && d->failed_reads > 0;
        if (!state->get_op && !suspended && state->next_get_us < at &&
            (d->watcher || !state->known || k == DOC_CONFIG)) {
            at = state->next_get_us;
        }
        if (k != DOC_CONFIG && !state->watch_op && !suspended && d->watcher &&
            state->known && state->next_watch_us < at) {
            at = state->next_watch_us;
        }
    }
    return at;
}

bool
docs_owns_op(const struct docs *d, uint64_t op)
{
    (void)d;
    return (op & OP_MASK) == OP_TAG;
}

/* Handles the result of a read or watch of a document. @return true if the
 * store's revision is not older than the one in force on this node */
static bool
handle_read(struct docs *d, enum doc_kind kind, const struct store_result *r)
{
    struct doc_state *state = &d->state[kind];
    if (r->outcome == STORE_NOT_FOUND) {
        state->known = true;
        return state->doc.revision == 0;
    }
    uint64_t rejected = d->rejected;
    accept_revision(d, kind, r->revision, r->value);
    if (d->rejected != rejected && r->revision > state->invalid_revision) {
        /* A document that does not parse cannot have been accepted, so the
         * old one stays in force. */
        state->invalid_revision = r->revision;
        state->known = true;
    }
    return r->revision >= state->doc.revision;
}

static void
handle_config_read(struct docs *d, int64_t now_us, bool ok)
{
    struct doc_state *state = &d->state[DOC_CONFIG];
    if (!ok) {
        int64_t wait = CONFIG_POLL_US;
        d->failed_reads++;
        for (int i = 1; i < d->failed_reads && wait < MAX_BACKOFF_US; i++) {
            wait *= 2;
        }
        wait = jitter(d, wait);
        if (state->next_get_us < now_us + wait) {
            state->next_get_us = now_us + wait;
        }
        return;
    }
    if (d->watcher) {
        state->next_get_us = state->get_sent_us + CONFIG_POLL_US;
    }
    for (int k = 0; k < DOC_COUNT && d->failed_reads; k++) {
        /* Reads that waited for the store's recovery start at random times,
         * so that they do not all arrive at once. */
        if (k != DOC_CONFIG) {
            d->state[k].next_get_us =
                now_us + (int64_t)rng_below(&d->rng, RECOVERY_JITTER_US);
            d->state[k].next_watch_us = d->state[k].next_get_us;
        }
    }
    d->failed_reads = 0;
}

void
docs_handle_store_result(struct docs *d, int64_t now_us,
                         const struct store_result *r)
{
    bool ok = r->outcome == STORE_OK || r->outcome == STORE_NOT_FOUND;
    for (int k = 0; k < DOC_COUNT; k++) {
        struct doc_state *state = &d->state[k];
        if (state->watch_op == r->id) {
            state->watch_op = 0;
            state->next_watch_us =
                now_us + (ok ? 0 : jitter(d, OTHER_POLL_US));
            if (r->outcome == STORE_OK) {
                handle_read(d, (enum doc_kind)k, r);
            }
            return;
        }
        if (state->get_op != r->id) {
            continue;
        }
        state->get_op = 0;
        bool newest = ok && handle_read(d, (enum doc_kind)k, r);
        if (k != DOC_CONFIG) {
            state->next_get_us = now_us + jitter(d, OTHER_POLL_US);
            return;
        }
        handle_config_read(d, now_us, ok);
        if (newest && state->get_sent_us > d->last_contact_us) {
            d->last_contact_us = state->get_sent_us;
        }
        return;
    }
}

void
docs_metrics(const struct docs *d, struct buf *out)
{
    for (int k = 0; k < DOC_COUNT; k++) {
        buf_printf(out, "camphorfall_doc_revision{doc=\"%s\"} %" PRId64 "\n",
                   doc_names[k], d->state[k].doc.revision);
    }
    buf_printf(out,
               "camphorfall_docs_watcher %d\n"
               "camphorfall_docs_store_calls_total %" PRIu64 "\n"
               "camphorfall_docs_rejected_total %" PRIu64 "\n"
               "camphorfall_docs_stale_total %" PRIu64 "\n"
               "camphorfall_docs_received_total %" PRIu64 "\n"
               "camphorfall_docs_sent_total %" PRIu64 "\n",
               d->watcher, d->reads, d->rejected, d->stale, d->received,
               d->sent);
}
