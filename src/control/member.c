#include "control/member.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "base/rng.h"
#include "control/contact.h"
#include "control/control.h"
#include "control/gossipq.h"
#include "control/peers.h"

#define ROUND_US 500000
#define INDIRECT_US 200000
#define INDIRECT_COUNT 3
#define SUSPECT_US 1500000
#define PROBES_MAX 1024
/* An ACK later than this says nothing of use about the member. */
#define PROBE_KEEP_US 2000000
/* Gossip of suspicion is ignored about a member heard directly this lately. */
#define HEARD_US 1000000
/* Without a tick for this long the process was paused, and missing ACKs say
 * nothing about the other members. */
#define PAUSE_US 1000000
/* Nothing was heard of anyone for this long: gossip was missed. */
#define MISSED_US 1000000
#define SMALL_ROSTER 16
#define PINGS_SMALL 4
#define PINGS_LARGE 2
#define DEAD_ROUNDS 4

struct probe {
    uint64_t seq;
    uint64_t target;
    int64_t sent_us;
    bool indirect; /* PING_REQs were sent, or none are wanted */
    bool judged;   /* the target was suspected, or must not be */
    uint64_t origin;
    uint64_t origin_seq; /* relayed for this node, if not 0 */
};

struct member {
    uint64_t self;
    uint64_t process;
    uint64_t rank; /* refutation raises it above process */
    struct peers peers;
    struct member_hooks hooks;
    struct rng rng;
    struct contact *contact;
    struct gossipq *gossip;
    int64_t revisions[DOC_COUNT];
    int64_t faulty;
    int probe_count;
    struct probe probes[PROBES_MAX];
    uint64_t next_seq;
    int *order;
    int order_at;
    int64_t next_round_us;
    int64_t last_tick_us;
    int64_t heard_us; /* any message of any member */
    uint64_t rounds;
    bool leaving;
    uint64_t deaths, refuted, restarts;
};

/* A fresh shuffle of the indices of all peers. */
static void
shuffle(struct member *m)
{
    m->order = mem_grow(m->order, (size_t)m->peers.count, sizeof(*m->order));
    for (int i = 0; i < m->peers.count; i++) {
        int j = (int)rng_below(&m->rng, (uint64_t)i + 1);
        m->order[i] = m->order[j];
        m->order[j] = i;
    }
    m->order_at = 0;
}

struct member *
member_new(const struct member_options *o, int64_t now_us)
{
    struct member *m = mem_zero(1, sizeof(*m));
    m->self = o->node;
    m->process = o->incarnation;
    m->rank = o->incarnation;
    struct peers_self self = {o->node,    o->incarnation, o->name,
                              o->address, o->zone,        o->region};
    peers_init(&m->peers, &self);
    m->hooks = o->hooks;
    rng_seed(&m->rng, o->seed ^ o->node);
    m->contact = contact_new(o->node, o->region, now_us);
    m->gossip = gossipq_new();
    for (int i = 0; i < o->peer_count; i++) {
        peers_seed(&m->peers, o->peers[i].node, o->peers[i].address);
    }
    shuffle(m);
    m->last_tick_us = now_us;
    /* The phase is random, so that rounds of many nodes do not coincide. */
    m->next_round_us = now_us + (int64_t)rng_below(&m->rng, ROUND_US / 5);
    return m;
}

void
member_free(struct member *m)
{
    if (!m) {
        return;
    }
    peers_clear(&m->peers);
    contact_free(m->contact);
    gossipq_free(m->gossip);
    free(m->order);
    free(m);
}

const struct view *
member_view(struct member *m)
{
    return peers_view(&m->peers);
}

void
member_roster(struct member *m, int64_t now_us, const struct roster *r)
{
    peers_roster(&m->peers, now_us, r);
    contact_roster(m->contact, r);
    shuffle(m);
}

void
member_revisions(struct member *m, const int64_t revisions[DOC_COUNT],
                 int64_t faulty)
{
    memcpy(m->revisions, revisions, sizeof(m->revisions));
    m->faulty = faulty;
}

static void
set_state(struct member *m, int64_t now_us, struct peer *p,
          enum member_state state)
{
    m->deaths += state == MEMBER_DEAD;
    peers_set_state(&m->peers, now_us, p, state);
}

static void
spread(struct member *m, uint64_t node, uint64_t rank, enum member_state state)
{
    struct gossip g = {.kind = GOSSIP_MEMBER};
    g.member.node = node;
    g.member.incarnation = rank;
    g.member.state = state;
    gossipq_put(m->gossip, &g, gossipq_sends(m->peers.count));
}

static void
add_state(struct probe_body *b, uint64_t node, uint64_t rank,
          enum member_state state)
{
    struct gossip *g = &b->gossip[b->gossip_count++];
    g->kind = GOSSIP_MEMBER;
    g->member.node = node;
    g->member.incarnation = rank;
    g->member.state = state;
}

/* Sends a probe message to a node that may be unknown; the link then answers
 * on the connection that the request came from. */
static void
send_probe(struct member *m, int64_t now_us, enum msg_type type, uint64_t to,
           uint64_t seq, uint64_t target, struct outbox *out)
{
    struct control_action a = {.kind = CONTROL_ACT_SEND};
    struct msg *msg = &a.send.msg;
    struct probe_body *b = &msg->probe;
    CLEAN(buf_free) struct buf ages = {0};
    const struct peer *p = peers_find(&m->peers, to);
    a.send.to = to;
    a.send.address = p ? p->address : (struct str){0};
    msg->type = type;
    msg->from = m->self;
    msg->incarnation = m->process;
    b->seq = seq;
    b->target = target;
    memcpy(b->revisions, m->revisions, sizeof(b->revisions));
    if (type == MSG_ACK) {
        contact_ages(m->contact, now_us, &ages);
        b->contact_roster = m->revisions[DOC_ROSTER];
        b->contacts = buf_str(&ages);
    }
    /* A member that is thought dead or suspect must hear it to refute it. */
    if (p && p->state != MEMBER_ALIVE) {
        add_state(b, to, p->rank, p->state);
    }
    if (m->leaving) {
        add_state(b, m->self, m->rank, MEMBER_LEFT);
    }
    /* Half of the places stay free for other deltas while many members
     * change state at once. */
    int room = MSG_MAX_DELTAS / 2;
    b->gossip_count +=
        gossipq_take(m->gossip, b->gossip + b->gossip_count, room);
    room = MSG_MAX_DELTAS - b->gossip_count;
    b->gossip_count +=
        m->hooks.gossip_out(m->hooks.arg, b->gossip + b->gossip_count, room);
    room = MSG_MAX_DELTAS - b->gossip_count;
    b->gossip_count +=
        gossipq_take(m->gossip, b->gossip + b->gossip_count, room);
    outbox_push(out, &a);
}

static struct probe *
start_probe(struct member *m, int64_t now_us, uint64_t target)
{
    if (m->probe_count == PROBES_MAX) {
        memmove(m->probes, m->probes + 1,
                sizeof(*m->probes) * (PROBES_MAX - 1));
        m->probe_count--;
    }
    struct probe *p = &m->probes[m->probe_count++];
    *p = (struct probe){.target = target, .sent_us = now_us};
    p->seq = ++m->next_seq;
    return p;
}

static void
ping(struct member *m, int64_t now_us, struct peer *p, bool judge,
     struct outbox *out)
{
    struct probe *pr = start_probe(m, now_us, p->node);
    pr->indirect = !judge;
    pr->judged = !judge;
    send_probe(m, now_us, MSG_PING, p->node, pr->seq, p->node, out);
}

/* Any message of a process proves that it is alive. */
static struct peer *
heard(struct member *m, int64_t now_us, const struct msg *msg)
{
    struct peer *p = peers_find(&m->peers, msg->from);
    if (!p || msg->incarnation < p->process) {
        return NULL;
    }
    if (msg->incarnation > p->process) {
        m->restarts += p->process != 0;
        /* Its predecessor's documents are gone. */
        memset(p->revisions, 0, sizeof(p->revisions));
        p->process = msg->incarnation;
        m->peers.view_changed = true;
        if (p->state == MEMBER_LEFT && msg->incarnation > p->rank) {
            p->rank = msg->incarnation;
            set_state(m, now_us, p, MEMBER_ALIVE);
            spread(m, p->node, p->rank, MEMBER_ALIVE);
        }
    }
    p->heard_us = now_us;
    if (p->state == MEMBER_SUSPECT || p->state == MEMBER_DEAD) {
        set_state(m, now_us, p, MEMBER_ALIVE);
    }
    return p;
}

static void
gossip_self(struct member *m, uint64_t rank, enum member_state state)
{
    if (state == MEMBER_ALIVE || rank < m->rank || m->leaving) {
        return;
    }
    m->rank = rank + 1;
    m->refuted++;
    spread(m, m->self, m->rank, MEMBER_ALIVE);
}

static void
gossip_member(struct member *m, int64_t now_us, uint64_t node, uint64_t rank,
              enum member_state state)
{
    struct peer *p = peers_find(&m->peers, node);
    if (node == m->self) {
        gossip_self(m, rank, state);
        return;
    }
    if (!p || rank < p->rank) {
        return;
    }
    bool news = rank > p->rank;
    bool just_heard = now_us - p->heard_us < HEARD_US;
    switch (state) {
    case MEMBER_ALIVE:
        if (news && p->state != MEMBER_ALIVE) {
            set_state(m, now_us, p, MEMBER_ALIVE);
        }
        break;
    case MEMBER_SUSPECT:
        if (just_heard || (!news && p->state != MEMBER_ALIVE)) {
            return;
        }
        news = true;
        set_state(m, now_us, p, MEMBER_SUSPECT);
        break;
    case MEMBER_DEAD:
        if (just_heard ||
            (!news && (p->state == MEMBER_DEAD || p->state == MEMBER_LEFT))) {
            return;
        }
        news = true;
        set_state(m, now_us, p, MEMBER_DEAD);
        break;
    case MEMBER_LEFT:
        if (!news && p->state == MEMBER_LEFT) {
            return;
        }
        news = true;
        set_state(m, now_us, p, MEMBER_LEFT);
        break;
    }
    p->rank = rank;
    if (news) {
        spread(m, node, rank, state);
    }
}

static void
take_body(struct member *m, int64_t now_us, struct peer *p,
          const struct probe_body *b)
{
    for (int k = 0; p && k < DOC_COUNT; k++) {
        if (b->revisions[k] > p->revisions[k]) {
            p->revisions[k] = b->revisions[k];
        }
    }
    for (int i = 0; i < b->gossip_count; i++) {
        const struct gossip *g = &b->gossip[i];
        if (g->kind == GOSSIP_MEMBER) {
            gossip_member(m, now_us, g->member.node, g->member.incarnation,
                          g->member.state);
        }
        else {
            m->hooks.gossip_in(m->hooks.arg, now_us, g);
        }
    }
}

/* Contacts follow the documents: a node that lacks what the sender has in
 * force must fetch it before it may count the contact. */
static void
merge(struct member *m, uint64_t from, const struct probe_body *b,
      int64_t t0_us)
{
    bool config = m->revisions[DOC_CONFIG] >= b->revisions[DOC_CONFIG] ||
                  m->faulty == b->revisions[DOC_CONFIG];
    bool roster = m->revisions[DOC_ROSTER] >= b->revisions[DOC_ROSTER];
    if (!config || !roster || !b->contacts.len) {
        return;
    }
    contact_touch(m->contact, from, t0_us);
    contact_merge(m->contact, b->contacts,
                  b->contact_roster == m->revisions[DOC_ROSTER], t0_us);
}

static void
on_ack(struct member *m, int64_t now_us, const struct msg *msg,
       struct outbox *out)
{
    int i = 0;
    while (i < m->probe_count && m->probes[i].seq != msg->probe.seq) {
        i++;
    }
    if (i == m->probe_count) {
        return;
    }
    struct probe *pr = &m->probes[i];
    merge(m, msg->from, &msg->probe, pr->sent_us);
    if (pr->origin) {
        send_probe(m, now_us, MSG_ACK, pr->origin, pr->origin_seq, pr->target,
                   out);
    }
    if (msg->from != pr->target && msg->probe.target == pr->target) {
        struct peer *p = peers_find(&m->peers, pr->target);
        if (p && p->state == MEMBER_SUSPECT) {
            set_state(m, now_us, p, MEMBER_ALIVE);
        }
        pr->judged = true;
    }
    if (msg->from == pr->target) {
        memmove(pr, pr + 1, sizeof(*pr) * (size_t)(m->probe_count - i - 1));
        m->probe_count--;
    }
}

void
member_msg(struct member *m, int64_t now_us, const struct msg *msg,
           struct outbox *out)
{
    if (msg->from == m->self) {
        return;
    }
    struct peer *p = heard(m, now_us, msg);
    take_body(m, now_us, p, &msg->probe);
    switch (msg->type) {
    case MSG_PING:
        send_probe(m, now_us, MSG_ACK, msg->from, msg->probe.seq, m->self,
                   out);
        break;
    case MSG_PING_REQ: {
        struct probe *pr = start_probe(m, now_us, msg->probe.target);
        pr->indirect = true;
        pr->judged = true;
        pr->origin = msg->from;
        pr->origin_seq = msg->probe.seq;
        send_probe(m, now_us, MSG_PING, pr->target, pr->seq, pr->target, out);
        break;
    }
    case MSG_ACK:
        on_ack(m, now_us, msg, out);
        break;
    case MSG_LEAVE:
        if (p && p->state != MEMBER_LEFT) {
            if (p->rank < msg->incarnation) {
                p->rank = msg->incarnation;
            }
            set_state(m, now_us, p, MEMBER_LEFT);
            spread(m, p->node, p->rank, MEMBER_LEFT);
        }
        break;
    default:
        break;
    }
}

void
member_acked(struct member *m, uint64_t node, uint64_t incarnation,
             enum doc_kind kind, int64_t revision)
{
    struct peer *p = peers_find(&m->peers, node);
    if (p && p->process == incarnation && revision > p->revisions[kind]) {
        p->revisions[kind] = revision;
    }
}

static void
ask_others(struct member *m, int64_t now_us, struct probe pr,
           struct outbox *out)
{
    int sent = 0;
    int at = (int)rng_below(&m->rng, (uint64_t)m->peers.count);
    for (int i = 0; i < m->peers.count && sent < INDIRECT_COUNT; i++) {
        const struct peer *p = &m->peers.list[(at + i) % m->peers.count];
        if (p->node != m->self && p->node != pr.target &&
            p->state == MEMBER_ALIVE) {
            send_probe(m, now_us, MSG_PING_REQ, p->node, pr.seq, pr.target,
                       out);
            sent++;
        }
    }
}

static void
check_probes(struct member *m, int64_t now_us, struct outbox *out)
{
    int kept = 0;
    for (int i = 0; i < m->probe_count; i++) {
        struct probe *pr = &m->probes[i];
        if (!pr->indirect && now_us >= pr->sent_us + INDIRECT_US) {
            pr->indirect = true;
            ask_others(m, now_us, *pr, out);
        }
        if (!pr->judged && now_us >= pr->sent_us + ROUND_US) {
            struct peer *p = peers_find(&m->peers, pr->target);
            pr->judged = true;
            if (p && p->state == MEMBER_ALIVE && p->heard_us < pr->sent_us) {
                set_state(m, now_us, p, MEMBER_SUSPECT);
                spread(m, p->node, p->rank, MEMBER_SUSPECT);
            }
        }
        if (now_us < pr->sent_us + PROBE_KEEP_US) {
            m->probes[kept++] = *pr;
        }
    }
    m->probe_count = kept;
    for (int i = 0; i < m->peers.count; i++) {
        struct peer *p = &m->peers.list[i];
        if (p->state == MEMBER_SUSPECT && now_us >= p->since_us + SUSPECT_US) {
            set_state(m, now_us, p, MEMBER_DEAD);
            spread(m, p->node, p->rank, MEMBER_DEAD);
        }
    }
}

static void
round_pings(struct member *m, int64_t now_us, struct outbox *out)
{
    int pings = m->peers.count > SMALL_ROSTER ? PINGS_LARGE : PINGS_SMALL;
    bool dead = ++m->rounds % DEAD_ROUNDS == 0;
    for (int tried = 0; tried < m->peers.count && (pings > 0 || dead);
         tried++) {
        if (m->order_at >= m->peers.count) {
            shuffle(m);
        }
        struct peer *p = &m->peers.list[m->order[m->order_at++]];
        bool down = p->state == MEMBER_DEAD || p->state == MEMBER_LEFT;
        if (p->node == m->self || (down && !dead) || (!down && !pings)) {
            continue;
        }
        if (down) {
            dead = false;
        }
        else {
            pings--;
        }
        ping(m, now_us, p, !down && p->in_roster, out);
    }
}

/* Forgets what a pause of this process made look like silence of others. */
static void
resume(struct member *m, int64_t now_us)
{
    m->probe_count = 0;
    for (int i = 0; i < m->peers.count; i++) {
        if (m->peers.list[i].state == MEMBER_SUSPECT) {
            m->peers.list[i].since_us = now_us;
        }
    }
}

void
member_tick(struct member *m, int64_t now_us, struct outbox *out)
{
    if (now_us - m->last_tick_us > PAUSE_US) {
        resume(m, now_us);
    }
    m->last_tick_us = now_us;
    check_probes(m, now_us, out);
    if (now_us >= m->next_round_us) {
        round_pings(m, now_us, out);
        m->next_round_us += ROUND_US;
        if (m->next_round_us <= now_us) {
            m->next_round_us = now_us + ROUND_US;
        }
    }
}

int64_t
member_wakeup(const struct member *m)
{
    int64_t at = m->next_round_us;
    for (int i = 0; i < m->probe_count; i++) {
        const struct probe *pr = &m->probes[i];
        int64_t t = pr->sent_us + INDIRECT_US;
        if (pr->indirect) {
            t = pr->sent_us + (pr->judged ? PROBE_KEEP_US : ROUND_US);
        }
        at = t < at ? t : at;
    }
    return at;
}

void
member_hint(struct member *m, int64_t now_us, uint64_t node,
            struct outbox *out)
{
    struct peer *p = peers_find(&m->peers, node);
    if (p && p->state == MEMBER_ALIVE && node != m->self) {
        ping(m, now_us, p, true, out);
    }
}

void
member_heard(struct member *m, int64_t now_us, uint64_t node,
             struct outbox *out)
{
    struct peer *p = peers_find(&m->peers, node);
    if (!p || node == m->self) {
        return;
    }
    if (now_us - m->heard_us > MISSED_US) {
        ping(m, now_us, p, false, out);
    }
    m->heard_us = now_us;
}

void
member_leave(struct member *m, int64_t now_us, struct outbox *out)
{
    m->leaving = true;
    for (int i = 0; i < m->peers.count; i++) {
        if (m->peers.list[i].node != m->self) {
            send_probe(m, now_us, MSG_LEAVE, m->peers.list[i].node, 0, m->self,
                       out);
        }
    }
}

void
member_store_contact(struct member *m, int64_t t0_us)
{
    contact_store(m->contact, t0_us);
}

int64_t
member_fresh_until(struct member *m, int64_t now_us)
{
    return contact_fresh_until(m->contact, now_us);
}

bool
member_majority(struct member *m, int64_t now_us)
{
    return contact_majority(m->contact, now_us);
}

int64_t
member_store_age(const struct member *m, int64_t now_us)
{
    return contact_store_age(m->contact, now_us);
}

bool
member_settled(const struct member *m)
{
    return contact_settled(m->contact);
}

bool
member_confirmed(struct member *m, struct str region, enum doc_kind kind,
                 int64_t revision)
{
    return peers_confirmed(&m->peers, region, kind, revision,
                           m->revisions[kind]);
}

void
member_poke(struct member *m, int64_t now_us, enum doc_kind kind,
            int64_t revision, struct outbox *out)
{
    for (int i = 0; i < m->peers.count; i++) {
        struct peer *p = &m->peers.list[i];
        if (p->vote && p->node != m->self && p->revisions[kind] < revision &&
            (p->state == MEMBER_ALIVE || p->state == MEMBER_SUSPECT)) {
            ping(m, now_us, p, false, out);
        }
    }
}

int64_t
member_known(const struct member *m, uint64_t node, enum doc_kind kind)
{
    const struct peer *p = peers_find(&m->peers, node);
    return p ? p->revisions[kind] : 0;
}

int64_t
member_newest(const struct member *m, enum doc_kind kind)
{
    int64_t newest = 0;
    for (int i = 0; i < m->peers.count; i++) {
        if (m->peers.list[i].revisions[kind] > newest) {
            newest = m->peers.list[i].revisions[kind];
        }
    }
    return newest;
}

bool
member_state_of(const struct member *m, uint64_t node,
                enum member_state *state, int64_t *since_us)
{
    const struct peer *p = peers_find(&m->peers, node);
    if (p) {
        *state = p->state;
        *since_us = p->since_us;
    }
    return p != NULL;
}

void
member_metrics(const struct member *m, struct buf *out)
{
    int states[4] = {0};
    for (int i = 0; i < m->peers.count; i++) {
        states[m->peers.list[i].state]++;
    }
    buf_printf(out,
               "camphorfall_members{state=\"alive\"} %d\n"
               "camphorfall_members{state=\"suspect\"} %d\n"
               "camphorfall_members{state=\"dead\"} %d\n"
               "camphorfall_members{state=\"left\"} %d\n"
               "camphorfall_member_deaths_total %" PRIu64 "\n"
               "camphorfall_member_refutations_total %" PRIu64 "\n"
               "camphorfall_member_restarts_total %" PRIu64 "\n",
               states[MEMBER_ALIVE], states[MEMBER_SUSPECT],
               states[MEMBER_DEAD], states[MEMBER_LEFT], m->deaths, m->refuted,
               m->restarts);
}
