#include "control/docs.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/clean.h"
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
#define BACKOFF_MAX_US 4000000
#define START_SPREAD_US 200000
#define RESUME_SPREAD_US 1000000
#define FETCH_TIMEOUT_US 500000
/* Share of one member in the period of polls by nodes that are no watchers:
 * the whole fleet then sends at most 4 a second. */
#define FALLBACK_PER_MEMBER_US 250000
#define FALLBACK_AGE_US 2000000
#define PUSH_ALL_MAX 64
#define TREE_FANOUT 8

struct follow {
    struct doc doc;
    bool known;
    int64_t faulty; /* revision in the store that does not parse */
    uint64_t get;   /* operation in flight, 0: none */
    int64_t get_sent_us;
    int64_t next_get_us;
    uint64_t watch;
    int64_t next_watch_us;
    uint64_t fetch; /* node asked for a newer revision, 0: none */
    int64_t fetch_sent_us;
};

struct docs {
    uint64_t self;
    uint64_t incarnation;
    struct rng rng;
    struct follow f[DOC_COUNT];
    struct roster *roster;
    uint64_t next_op;
    int64_t contact_us;
    int fails; /* consecutive failures of config reads */
    bool watcher;
    uint64_t view_version;
    uint64_t reads, rejected, stale, fetched, pushed;
};

static const char *const keys[DOC_COUNT] = {
    [DOC_CONFIG] = "cf/config",
    [DOC_ROSTER] = "cf/roster",
    [DOC_VMS] = "platform/vms",
};

struct docs *
docs_new(const struct docs_options *o, int64_t now_us)
{
    struct docs *d = mem_zero(1, sizeof(*d));
    d->self = o->node;
    d->incarnation = o->incarnation;
    rng_seed(&d->rng, o->seed ^ (o->node * 3));
    roster_parse((struct str){0}, &d->roster);
    d->contact_us = NEVER;
    d->watcher = true;
    for (int k = 0; k < DOC_COUNT; k++) {
        d->f[k].next_get_us =
            now_us + (int64_t)rng_below(&d->rng, START_SPREAD_US);
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
        str_free(&d->f[k].doc.bytes);
    }
    roster_free(d->roster);
    free(d);
}

struct doc
docs_get(const struct docs *d, enum doc_kind kind)
{
    return d->f[kind].doc;
}

const struct roster *
docs_roster(const struct docs *d)
{
    return d->roster;
}

bool
docs_known(const struct docs *d, enum doc_kind kind)
{
    return d->f[kind].known;
}

int64_t
docs_faulty(const struct docs *d)
{
    return d->f[DOC_CONFIG].faulty;
}

int64_t
docs_contact(const struct docs *d)
{
    return d->contact_us;
}

int
docs_watchers(int members)
{
    int n = 3;
    while (n < 16 && n * n < members) {
        n++;
    }
    return n;
}

static bool
parses(struct docs *d, enum doc_kind kind, struct str bytes)
{
    CLEAN(buf_free) struct buf errors = {0};
    struct fleet *fleet = NULL;
    struct vmlist *vms = NULL;
    struct roster *roster = NULL;
    switch (kind) {
    case DOC_CONFIG:
        if (fleet_parse(bytes, &fleet, &errors) != ST_OK) {
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
        if (vmlist_parse(bytes, &vms, &errors) != ST_OK) {
            return false;
        }
        vmlist_free(vms);
        return true;
    case DOC_COUNT:
        break;
    }
    return false;
}

/* Puts a newer document in force. @return true if it was news */
static bool
take(struct docs *d, enum doc_kind kind, int64_t revision, struct str bytes)
{
    struct follow *f = &d->f[kind];
    if (revision <= f->doc.revision) {
        d->stale += revision < f->doc.revision;
        return false;
    }
    if (!parses(d, kind, bytes)) {
        d->rejected++;
        return false;
    }
    str_free(&f->doc.bytes);
    f->doc = (struct doc){revision, str_dup(bytes)};
    f->known = true;
    f->fetch = 0;
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
    a.send.msg.doc.revision = d->f[kind].doc.revision;
    if (type == MSG_DOC) {
        a.send.msg.doc.bytes = d->f[kind].doc.bytes;
        d->pushed++;
    }
    outbox_push(out, &a);
}

struct place {
    uint64_t weight;
    uint64_t node;
    bool alive;
};

static int
by_weight(const void *a, const void *b)
{
    const struct place *x = a;
    const struct place *y = b;
    if (x->weight != y->weight) {
        return x->weight < y->weight ? -1 : 1;
    }
    return (x->node > y->node) - (x->node < y->node);
}

/* Sends to the node at a place of the tree; the children of one that is down
 * are served in its stead. */
static void
push_place(struct docs *d, const struct view *v, enum doc_kind kind,
           const struct place *places, int count, int at, struct outbox *out)
{
    if (at >= count) {
        return;
    }
    if (places[at].alive && places[at].node != d->self) {
        send_doc(d, v, places[at].node, MSG_DOC, kind, out);
        return;
    }
    /* A dead inner place has at most 8 children; depth is log8(count). */
    for (int i = 0; i < TREE_FANOUT; i++) {
        push_place(d, v, kind, places, count, TREE_FANOUT * (at + 1) + i, out);
    }
}

/* All nodes order the roster by a hash with the revision, so that each knows
 * its place in the tree without being told the root. */
static void
push_tree(struct docs *d, const struct view *v, enum doc_kind kind,
          bool from_root, struct outbox *out)
{
    struct place *places = mem_zero((size_t)v->count, sizeof(*places));
    int count = 0;
    for (int i = 0; i < v->count; i++) {
        const struct view_member *m = &v->members[i];
        if (m->in_roster) {
            struct rng r;
            rng_seed(&r, m->node ^ (uint64_t)d->f[kind].doc.revision << 20);
            places[count++] = (struct place){rng_next(&r), m->node, m->alive};
        }
    }
    qsort(places, (size_t)count, sizeof(*places), by_weight);
    int own = 0;
    while (own < count && places[own].node != d->self) {
        own++;
    }
    for (int i = 0; i < TREE_FANOUT; i++) {
        if (from_root) {
            push_place(d, v, kind, places, count, i, out);
        }
        if (own < count && !(from_root && own < TREE_FANOUT)) {
            push_place(d, v, kind, places, count, TREE_FANOUT * (own + 1) + i,
                       out);
        }
    }
    free(places);
}

enum status
docs_offer(struct docs *d, const struct view *v, enum doc_kind kind,
           int64_t revision, struct str bytes, bool push, struct outbox *out)
{
    bool news = take(d, kind, revision, bytes);
    if (!news) {
        return d->f[kind].doc.revision >= revision ? ST_OK : ST_INVALID;
    }
    if (!push) {
        return ST_OK;
    }
    if (v->count > PUSH_ALL_MAX) {
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
docs_msg(struct docs *d, int64_t now_us, const struct view *v,
         const struct msg *m, struct outbox *out)
{
    enum doc_kind kind = m->doc.doc;
    (void)now_us;
    if (kind >= DOC_COUNT || m->from == d->self) {
        return;
    }
    struct follow *f = &d->f[kind];
    if (m->type == MSG_DOC_GET) {
        if (f->doc.revision > m->doc.revision) {
            send_doc(d, v, m->from, MSG_DOC, kind, out);
        }
        return;
    }
    if (m->type != MSG_DOC) {
        return;
    }
    if (take(d, kind, m->doc.revision, m->doc.bytes)) {
        d->fetched++;
        if (v->count > PUSH_ALL_MAX) {
            push_tree(d, v, kind, false, out);
        }
    }
    if (f->doc.revision >= m->doc.revision) {
        /* The editor must learn of a newer roster before it counts this
         * acknowledgement towards a majority. */
        if (kind == DOC_CONFIG) {
            send_doc(d, v, m->from, MSG_DOC_ACK, DOC_ROSTER, out);
        }
        send_doc(d, v, m->from, MSG_DOC_ACK, kind, out);
    }
}

void
docs_peer(struct docs *d, int64_t now_us, const struct view *v, uint64_t from,
          const int64_t revisions[DOC_COUNT], struct outbox *out)
{
    for (int k = 0; k < DOC_COUNT; k++) {
        struct follow *f = &d->f[k];
        if (revisions[k] <= f->doc.revision || revisions[k] == f->faulty ||
            (f->fetch && now_us < f->fetch_sent_us + FETCH_TIMEOUT_US)) {
            continue;
        }
        f->fetch = from;
        f->fetch_sent_us = now_us;
        send_doc(d, v, from, MSG_DOC_GET, (enum doc_kind)k, out);
    }
}

static uint64_t
store_op(struct docs *d, enum doc_kind kind, enum store_op_kind op,
         int64_t timeout_us, struct outbox *out)
{
    struct control_action a = {.kind = CONTROL_ACT_STORE};
    a.store.id = OP_TAG | ++d->next_op;
    a.store.kind = op;
    a.store.key = str_from(keys[kind]);
    a.store.expect = d->f[kind].doc.revision;
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
get(struct docs *d, int64_t now_us, enum doc_kind kind, struct outbox *out)
{
    d->f[kind].get_sent_us = now_us;
    d->f[kind].get = store_op(d, kind, STORE_GET, GET_TIMEOUT_US, out);
}

static void
follow_store(struct docs *d, int64_t now_us, struct outbox *out)
{
    for (int k = 0; k < DOC_COUNT; k++) {
        struct follow *f = &d->f[k];
        bool quiet = k != DOC_CONFIG && d->fails > 0;
        if (!f->get && !quiet && now_us >= f->next_get_us) {
            get(d, now_us, (enum doc_kind)k, out);
        }
        if (k != DOC_CONFIG && !f->watch && !quiet && f->known &&
            now_us >= f->next_watch_us) {
            f->watch = store_op(d, (enum doc_kind)k, STORE_WATCH,
                                WATCH_TIMEOUT_US, out);
        }
    }
}

/* Polls by a node that does not follow the store: each document once after
 * start, and the configuration when nothing from the store reaches it. */
static void
fall_back(struct docs *d, int64_t now_us, int members, int64_t store_age_us,
          struct outbox *out)
{
    struct follow *c = &d->f[DOC_CONFIG];
    for (int k = 0; k < DOC_COUNT; k++) {
        struct follow *f = &d->f[k];
        if (!f->known && !f->get && !d->fails && now_us >= f->next_get_us) {
            get(d, now_us, (enum doc_kind)k, out);
        }
    }
    if (c->get || now_us < c->next_get_us) {
        return;
    }
    c->next_get_us = now_us + CONFIG_POLL_US;
    if (store_age_us > FALLBACK_AGE_US) {
        int64_t period = FALLBACK_PER_MEMBER_US * members;
        get(d, now_us, DOC_CONFIG, out);
        c->next_get_us =
            now_us +
            jitter(d, period > BACKOFF_MAX_US ? period : BACKOFF_MAX_US);
    }
}

void
docs_tick(struct docs *d, int64_t now_us, const struct view *v,
          int64_t store_age_us, struct outbox *out)
{
    if (v->version != d->view_version) {
        const struct view_member *self = view_find(v, d->self);
        bool was = d->watcher;
        d->view_version = v->version;
        d->watcher = !self || !self->in_roster ||
                     view_among(v, STR_LIT("watcher"), docs_watchers(v->count),
                                d->self);
        for (int k = 0; k < DOC_COUNT && d->watcher && !was; k++) {
            d->f[k].next_get_us =
                now_us + (int64_t)rng_below(&d->rng, START_SPREAD_US);
        }
    }
    if (d->watcher) {
        follow_store(d, now_us, out);
    }
    else {
        fall_back(d, now_us, v->count, store_age_us, out);
    }
}

int64_t
docs_wakeup(const struct docs *d)
{
    int64_t at = INT64_MAX;
    for (int k = 0; k < DOC_COUNT; k++) {
        const struct follow *f = &d->f[k];
        bool quiet = k != DOC_CONFIG && d->fails > 0;
        if (!f->get && !quiet && f->next_get_us < at &&
            (d->watcher || !f->known || k == DOC_CONFIG)) {
            at = f->next_get_us;
        }
        if (k != DOC_CONFIG && !f->watch && !quiet && d->watcher && f->known &&
            f->next_watch_us < at) {
            at = f->next_watch_us;
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

/* A read or watch of the document answered. @return true if this node now
 * has what the store had */
static bool
answered(struct docs *d, enum doc_kind kind, const struct store_result *r)
{
    struct follow *f = &d->f[kind];
    if (r->outcome == STORE_ABSENT) {
        f->known = true;
        return f->doc.revision == 0;
    }
    uint64_t rejected = d->rejected;
    take(d, kind, r->revision, r->value);
    if (d->rejected != rejected && r->revision > f->faulty) {
        /* It cannot have been accepted, so the old one stays in force. */
        f->faulty = r->revision;
        f->known = true;
    }
    return r->revision >= f->doc.revision;
}

static void
config_read(struct docs *d, int64_t now_us, bool ok)
{
    struct follow *f = &d->f[DOC_CONFIG];
    if (!ok) {
        int64_t wait = CONFIG_POLL_US;
        d->fails++;
        for (int i = 1; i < d->fails && wait < BACKOFF_MAX_US; i++) {
            wait *= 2;
        }
        wait = jitter(d, wait);
        if (f->next_get_us < now_us + wait) {
            f->next_get_us = now_us + wait;
        }
        return;
    }
    if (d->watcher) {
        f->next_get_us = f->get_sent_us + CONFIG_POLL_US;
    }
    for (int k = 0; k < DOC_COUNT && d->fails; k++) {
        /* Reads that waited for the store's recovery are spread. */
        if (k != DOC_CONFIG) {
            d->f[k].next_get_us =
                now_us + (int64_t)rng_below(&d->rng, RESUME_SPREAD_US);
            d->f[k].next_watch_us = d->f[k].next_get_us;
        }
    }
    d->fails = 0;
}

void
docs_store(struct docs *d, int64_t now_us, const struct store_result *r)
{
    bool ok = r->outcome == STORE_OK || r->outcome == STORE_ABSENT;
    for (int k = 0; k < DOC_COUNT; k++) {
        struct follow *f = &d->f[k];
        if (f->watch == r->id) {
            f->watch = 0;
            f->next_watch_us = now_us + (ok ? 0 : jitter(d, OTHER_POLL_US));
            if (r->outcome == STORE_OK) {
                answered(d, (enum doc_kind)k, r);
            }
            return;
        }
        if (f->get != r->id) {
            continue;
        }
        f->get = 0;
        bool newest = ok && answered(d, (enum doc_kind)k, r);
        if (k != DOC_CONFIG) {
            f->next_get_us = now_us + jitter(d, OTHER_POLL_US);
            return;
        }
        config_read(d, now_us, ok);
        if (newest && f->get_sent_us > d->contact_us) {
            d->contact_us = f->get_sent_us;
        }
        return;
    }
}

void
docs_metrics(const struct docs *d, struct buf *out)
{
    static const char *const names[] = {"config", "roster", "vms"};
    for (int k = 0; k < DOC_COUNT; k++) {
        buf_printf(out, "camphorfall_doc_revision{doc=\"%s\"} %" PRId64 "\n",
                   names[k], d->f[k].doc.revision);
    }
    buf_printf(out,
               "camphorfall_docs_watcher %d\n"
               "camphorfall_docs_store_calls_total %" PRIu64 "\n"
               "camphorfall_docs_rejected_total %" PRIu64 "\n"
               "camphorfall_docs_stale_total %" PRIu64 "\n"
               "camphorfall_docs_received_total %" PRIu64 "\n"
               "camphorfall_docs_sent_total %" PRIu64 "\n",
               d->watcher, d->reads, d->rejected, d->stale, d->fetched,
               d->pushed);
}
