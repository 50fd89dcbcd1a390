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

#define ROUND_INTERVAL_US 500000
#define INDIRECT_PROBE_DELAY_US 200000
#define INDIRECT_PROBE_COUNT 3
#define SUSPECT_TIMEOUT_US 1500000
#define MAX_PROBES 1024
/* Open probes are dropped after this time: a later ACK says nothing useful
 * about the state of the member. */
#define PROBE_LIFETIME_US 2000000
/* Gossip that a member is suspect or dead is ignored if a message arrived
 * directly from that member within this time. */
#define RECENT_MESSAGE_US 1000000
/* A longer gap between two ticks means that this process was paused. Missing
 * ACKs then say nothing about the other members. */
#define PAUSE_THRESHOLD_US 1000000
/* If no member sent a message for this long, this node has missed gossip. */
#define SILENCE_THRESHOLD_US 1000000
#define SMALL_ROSTER_MAX_MEMBERS 16
#define SMALL_ROSTER_PINGS 4
#define LARGE_ROSTER_PINGS 2
#define DEAD_PING_INTERVAL_ROUNDS 4

struct probe {
    uint64_t seq;
    uint64_t target;
    int64_t sent_us;
    bool indirect_done;  /* PING_REQs were sent or are not needed */
    bool suspicion_done; /* the target was suspected or must not be */
    uint64_t origin;
    uint64_t origin_seq; /* sequence number of the PING_REQ from
                              origin; valid if origin is not 0 */
};

struct member {
    uint64_t self;
    uint64_t process_incarnation;
    uint64_t state_incarnation; /* a refutation raises this number above
                                   process_incarnation */
    struct peers peers;
    struct member_callbacks callbacks;
    struct rng rng;
    struct contact *contact;
    struct gossipq *gossip;
    int64_t revisions[DOC_COUNT];
    int64_t invalid_revision;
    int probe_count;
    struct probe probes[MAX_PROBES];
    uint64_t next_seq;
    int *order;
    int order_next;
    int64_t next_round_us;
    int64_t last_tick_us;
    int64_t last_message_us; /* last message from any member */
    uint64_t rounds;
    bool leaving;
    uint64_t deaths, refutations, restarts;
};

/* Puts the indices of all peers into a new random order. */
static void
shuffle(struct member *m)
{
    m->order =
        mem_realloc(m->order, (size_t)m->peers.count, sizeof(*m->order));
    for (int i = 0; i < m->peers.count; i++) {
        int j = (int)rng_below(&m->rng, (uint64_t)i + 1);
        m->order[i] = m->order[j];
        m->order[j] = i;
    }
    m->order_next = 0;
}

struct member *
member_new(const struct member_options *o, int64_t now_us)
{
    struct member *m = mem_calloc(1, sizeof(*m));
    m->self = o->node;
    m->process_incarnation = o->incarnation;
    m->state_incarnation = o->incarnation;
    struct peers_self self = {o->node,    o->incarnation, o->name,
                              o->address, o->zone,        o->region};
    peers_init(&m->peers, &self);
    m->callbacks = o->callbacks;
    rng_seed(&m->rng, o->seed ^ o->node);
    m->contact = contact_new(o->node, o->region, now_us);
    m->gossip = gossipq_new();
    for (int i = 0; i < o->peer_count; i++) {
        peers_add_seed(&m->peers, o->peers[i].node, o->peers[i].address);
    }
    shuffle(m);
    m->last_tick_us = now_us;
    /* The phase is random so that the rounds of many nodes do not coincide. */
    m->next_round_us =
        now_us + (int64_t)rng_below(&m->rng, ROUND_INTERVAL_US / 5);
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
member_set_roster(struct member *m, int64_t now_us, const struct roster *r)
{
    peers_set_roster(&m->peers, now_us, r);
    contact_set_roster(m->contact, r);
    shuffle(m);
}

void
member_set_revisions(struct member *m, const int64_t revisions[DOC_COUNT],
                     int64_t invalid_revision)
{
    memcpy(m->revisions, revisions, sizeof(m->revisions));
    m->invalid_revision = invalid_revision;
}

static void
set_state(struct member *m, int64_t now_us, struct peer *p,
          enum member_state state)
{
    m->deaths += state == MEMBER_DEAD;
    peers_set_state(&m->peers, now_us, p, state);
}

static void
queue_member_gossip(struct member *m, uint64_t node,
                    uint64_t state_incarnation, enum member_state state)
{
    struct gossip g = {.kind = GOSSIP_MEMBER};
    g.member.node = node;
    g.member.incarnation = state_incarnation;
    g.member.state = state;
    gossipq_put(m->gossip, &g, gossipq_send_count(m->peers.count));
}

static void
append_member_gossip(struct probe_body *b, uint64_t node,
                     uint64_t state_incarnation, enum member_state state)
{
    struct gossip *g = &b->gossip[b->gossip_count++];
    g->kind = GOSSIP_MEMBER;
    g->member.node = node;
    g->member.incarnation = state_incarnation;
    g->member.state = state;
}

/* Sends a probe message. If the node is unknown, the address is empty and the
 * link sends the message on the connection that the request came from. */
static void
send_probe(struct member *m, int64_t now_us, enum msg_type type, uint64_t to,
           uint64_t seq, uint64_t target, struct outbox *out)
{
    struct control_action a = {.kind = CONTROL_ACT_SEND};
    struct msg *msg = &a.send.msg;
    struct probe_body *b = &msg->probe;
    CLEANUP(buf_free) struct buf ages = {0};
    const struct peer *p = peers_find(&m->peers, to);
    a.send.to = to;
    a.send.address = p ? p->address : (struct str){0};
    msg->type = type;
    msg->from = m->self;
    msg->incarnation = m->process_incarnation;
    b->seq = seq;
    b->target = target;
    memcpy(b->revisions, m->revisions, sizeof(b->revisions));
    if (type == MSG_ACK) {
        contact_write_ages(m->contact, now_us, &ages);
        b->contact_roster = m->revisions[DOC_ROSTER];
        b->contact_age_bytes = buf_str(&ages);
    }
    /* A member must learn that this node considers it dead or suspect, so
     * that it can refute this state. */
    if (p && p->state != MEMBER_ALIVE) {
        append_member_gossip(b, to, p->state_incarnation, p->state);
    }
    if (m->leaving) {
        append_member_gossip(b, m->self, m->state_incarnation, MEMBER_LEFT);
    }
    /* Member gossip takes at most half of the slots at first, so that other
     * deltas are sent even while many members change state at once. */
    int free_slots = MSG_MAX_GOSSIP / 2;
    b->gossip_count +=
        gossipq_take(m->gossip, b->gossip + b->gossip_count, free_slots);
    free_slots = MSG_MAX_GOSSIP - b->gossip_count;
    b->gossip_count += m->callbacks.collect_gossip(
        m->callbacks.arg, b->gossip + b->gossip_count, free_slots);
    free_slots = MSG_MAX_GOSSIP - b->gossip_count;
    b->gossip_count +=
        gossipq_take(m->gossip, b->gossip + b->gossip_count, free_slots);
    outbox_push(out, &a);
}

static struct probe *
start_probe(struct member *m, int64_t now_us, uint64_t target)
{
    if (m->probe_count == MAX_PROBES) {
        memmove(m->probes, m->probes + 1,
                sizeof(*m->probes) * (MAX_PROBES - 1));
        m->probe_count--;
    }
    struct probe *p = &m->probes[m->probe_count++];
    *p = (struct probe){.target = target, .sent_us = now_us};
    p->seq = ++m->next_seq;
    return p;
}

static void
send_ping(struct member *m, int64_t now_us, struct peer *p, bool may_suspect,
          struct outbox *out)
{
    struct probe *pr = start_probe(m, now_us, p->node);
    pr->indirect_done = !may_suspect;
    pr->suspicion_done = !may_suspect;
    send_probe(m, now_us, MSG_PING, p->node, pr->seq, p->node, out);
}

/* Records a message and its sender's incarnation: any message of a process
 * proves that the process is alive. @return the sender's entry, or NULL if the
 * sender is unknown or an earlier process of its node */
static struct peer *
record_sender(struct member *m, int64_t now_us, const struct msg *msg)
{
    struct peer *p = peers_find(&m->peers, msg->from);
    if (!p || msg->incarnation < p->process_incarnation) {
        return NULL;
    }
    if (msg->incarnation > p->process_incarnation) {
        m->restarts += p->process_incarnation != 0;
        /* The new process does not have its predecessor's documents. */
        memset(p->revisions, 0, sizeof(p->revisions));
        p->process_incarnation = msg->incarnation;
        m->peers.view_changed = true;
        if (p->state == MEMBER_LEFT &&
            msg->incarnation > p->state_incarnation) {
            p->state_incarnation = msg->incarnation;
            set_state(m, now_us, p, MEMBER_ALIVE);
            queue_member_gossip(m, p->node, p->state_incarnation,
                                MEMBER_ALIVE);
        }
    }
    p->last_message_us = now_us;
    if (p->state == MEMBER_SUSPECT || p->state == MEMBER_DEAD) {
        set_state(m, now_us, p, MEMBER_ALIVE);
    }
    return p;
}

/* Refutes gossip that this node is not alive, unless this node is leaving. */
static void
refute_gossip(struct member *m, uint64_t state_incarnation,
              enum member_state state)
{
    if (state == MEMBER_ALIVE || state_incarnation < m->state_incarnation ||
        m->leaving) {
        return;
    }
    m->state_incarnation = state_incarnation + 1;
    m->refutations++;
    queue_member_gossip(m, m->self, m->state_incarnation, MEMBER_ALIVE);
}

static void
apply_member_gossip(struct member *m, int64_t now_us, uint64_t node,
                    uint64_t state_incarnation, enum member_state state)
{
    struct peer *p = peers_find(&m->peers, node);
    if (node == m->self) {
        refute_gossip(m, state_incarnation, state);
        return;
    }
    if (!p || state_incarnation < p->state_incarnation) {
        return;
    }
    bool is_new = state_incarnation > p->state_incarnation;
    bool has_recent_message = now_us - p->last_message_us < RECENT_MESSAGE_US;
    switch (state) {
    case MEMBER_ALIVE:
        if (is_new && p->state != MEMBER_ALIVE) {
            set_state(m, now_us, p, MEMBER_ALIVE);
        }
        break;
    case MEMBER_SUSPECT:
        if (has_recent_message || (!is_new && p->state != MEMBER_ALIVE)) {
            return;
        }
        is_new = true;
        set_state(m, now_us, p, MEMBER_SUSPECT);
        break;
    case MEMBER_DEAD:
        if (has_recent_message || (!is_new && (p->state == MEMBER_DEAD ||
                                               p->state == MEMBER_LEFT))) {
            return;
        }
        is_new = true;
        set_state(m, now_us, p, MEMBER_DEAD);
        break;
    case MEMBER_LEFT:
        if (!is_new && p->state == MEMBER_LEFT) {
            return;
        }
        is_new = true;
        set_state(m, now_us, p, MEMBER_LEFT);
        break;
    }
    p->state_incarnation = state_incarnation;
    if (is_new) {
        queue_member_gossip(m, node, state_incarnation, state);
    }
}

static void
apply_probe_body(struct member *m, int64_t now_us, struct peer *p,
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
            apply_member_gossip(m, now_us, g->member.node,
                                g->member.incarnation, g->member.state);
        }
        else {
            m->callbacks.receive_gossip(m->callbacks.arg, now_us, g);
        }
    }
}

/* Merges the contact vector of an ACK. A node that lacks a document which the
 * sender has in force must fetch that document before it may count the
 * contact. */
static void
merge_contacts(struct member *m, uint64_t from, const struct probe_body *b,
               int64_t t0_us)
{
    bool config = m->revisions[DOC_CONFIG] >= b->revisions[DOC_CONFIG] ||
                  m->invalid_revision == b->revisions[DOC_CONFIG];
    bool roster = m->revisions[DOC_ROSTER] >= b->revisions[DOC_ROSTER];
    if (!config || !roster || !b->contact_age_bytes.len) {
        return;
    }
    contact_record_member(m->contact, from, t0_us);
    contact_merge(m->contact, b->contact_age_bytes,
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
    merge_contacts(m, msg->from, &msg->probe, pr->sent_us);
    if (pr->origin) {
        send_probe(m, now_us, MSG_ACK, pr->origin, pr->origin_seq, pr->target,
                   out);
    }
    if (msg->from != pr->target && msg->probe.target == pr->target) {
        struct peer *p = peers_find(&m->peers, pr->target);
        if (p && p->state == MEMBER_SUSPECT) {
            set_state(m, now_us, p, MEMBER_ALIVE);
        }
        pr->suspicion_done = true;
    }
    if (msg->from == pr->target) {
        memmove(pr, pr + 1, sizeof(*pr) * (size_t)(m->probe_count - i - 1));
        m->probe_count--;
    }
}

void
member_handle_msg(struct member *m, int64_t now_us, const struct msg *msg,
                  struct outbox *out)
{
    if (msg->from == m->self) {
        return;
    }
    struct peer *p = record_sender(m, now_us, msg);
    apply_probe_body(m, now_us, p, &msg->probe);
    switch (msg->type) {
    case MSG_PING:
        send_probe(m, now_us, MSG_ACK, msg->from, msg->probe.seq, m->self,
                   out);
        break;
    case MSG_PING_REQ: {
        struct probe *pr = start_probe(m, now_us, msg->probe.target);
        pr->indirect_done = true;
        pr->suspicion_done = true;
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
            if (p->state_incarnation < msg->incarnation) {
                p->state_incarnation = msg->incarnation;
            }
            set_state(m, now_us, p, MEMBER_LEFT);
            queue_member_gossip(m, p->node, p->state_incarnation, MEMBER_LEFT);
        }
        break;
    default:
        break;
    }
}

void
member_record_ack(struct member *m, uint64_t node, uint64_t incarnation,
                  enum doc_kind kind, int64_t revision)
{
    struct peer *p = peers_find(&m->peers, node);
    if (p && p->process_incarnation == incarnation &&
        revision > p->revisions[kind]) {
        p->revisions[kind] = revision;
    }
}

static void
send_ping_reqs(struct member *m, int64_t now_us, struct probe pr,
               struct outbox *out)
{
    int sent = 0;
    int at = (int)rng_below(&m->rng, (uint64_t)m->peers.count);
    for (int i = 0; i < m->peers.count && sent < INDIRECT_PROBE_COUNT; i++) {
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
        if (!pr->indirect_done &&
            now_us >= pr->sent_us + INDIRECT_PROBE_DELAY_US) {
            pr->indirect_done = true;
            send_ping_reqs(m, now_us, *pr, out);
        }
        if (!pr->suspicion_done && now_us >= pr->sent_us + ROUND_INTERVAL_US) {
            struct peer *p = peers_find(&m->peers, pr->target);
            pr->suspicion_done = true;
            if (p && p->state == MEMBER_ALIVE &&
                p->last_message_us < pr->sent_us) {
                set_state(m, now_us, p, MEMBER_SUSPECT);
                queue_member_gossip(m, p->node, p->state_incarnation,
                                    MEMBER_SUSPECT);
            }
        }
        if (now_us < pr->sent_us + PROBE_LIFETIME_US) {
            m->probes[kept++] = *pr;
        }
    }
    m->probe_count = kept;
    for (int i = 0; i < m->peers.count; i++) {
        struct peer *p = &m->peers.list[i];
        if (p->state == MEMBER_SUSPECT &&
            now_us >= p->since_us + SUSPECT_TIMEOUT_US) {
            set_state(m, now_us, p, MEMBER_DEAD);
            queue_member_gossip(m, p->node, p->state_incarnation, MEMBER_DEAD);
        }
    }
}

static void
send_round_pings(struct member *m, int64_t now_us, struct outbox *out)
{
    int pings = m->peers.count > SMALL_ROSTER_MAX_MEMBERS ? LARGE_ROSTER_PINGS
                                                          : SMALL_ROSTER_PINGS;
    bool dead = ++m->rounds % DEAD_PING_INTERVAL_ROUNDS == 0;
    for (int tried = 0; tried < m->peers.count && (pings > 0 || dead);
         tried++) {
        if (m->order_next >= m->peers.count) {
            shuffle(m);
        }
        struct peer *p = &m->peers.list[m->order[m->order_next++]];
        bool is_down = p->state == MEMBER_DEAD || p->state == MEMBER_LEFT;
        if (p->node == m->self || (is_down && !dead) || (!is_down && !pings)) {
            continue;
        }
        if (is_down) {
            dead = false;
        }
        else {
            pings--;
        }
        send_ping(m, now_us, p, !is_down && p->in_roster, out);
    }
}

/* After a pause of this process, drops open probes and restarts the timeouts
 * of suspect members: other members only seemed silent during the pause. */
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
    if (now_us - m->last_tick_us > PAUSE_THRESHOLD_US) {
        resume(m, now_us);
    }
    m->last_tick_us = now_us;
    check_probes(m, now_us, out);
    if (now_us >= m->next_round_us) {
        send_round_pings(m, now_us, out);
        m->next_round_us += ROUND_INTERVAL_US;
        if (m->next_round_us <= now_us) {
            m->next_round_us = now_us + ROUND_INTERVAL_US;
        }
    }
}

int64_t
member_next_wakeup_us(const struct member *m)
{
    int64_t at = m->next_round_us;
    for (int i = 0; i < m->probe_count; i++) {
        const struct probe *pr = &m->probes[i];
        int64_t t = pr->sent_us + INDIRECT_PROBE_DELAY_US;
        if (pr->indirect_done) {
            t = pr->sent_us +
                (pr->suspicion_done ? PROBE_LIFETIME_US : ROUND_INTERVAL_US);
        }
        at = t < at ? t : at;
    }
    return at;
}

void
member_probe_now(struct member *m, int64_t now_us, uint64_t node,
                 struct outbox *out)
{
    struct peer *p = peers_find(&m->peers, node);
    if (p && p->state == MEMBER_ALIVE && node != m->self) {
        send_ping(m, now_us, p, true, out);
    }
}

void
member_record_message(struct member *m, int64_t now_us, uint64_t node,
                      struct outbox *out)
{
    struct peer *p = peers_find(&m->peers, node);
    if (!p || node == m->self) {
        return;
    }
    if (now_us - m->last_message_us > SILENCE_THRESHOLD_US) {
        send_ping(m, now_us, p, false, out);
    }
    m->last_message_us = now_us;
}

void
member_announce_leave(struct member *m, int64_t now_us, struct outbox *out)
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
member_record_store_contact(struct member *m, int64_t t0_us)
{
    contact_record_store(m->contact, t0_us);
}

int64_t
member_fresh_until_us(struct member *m, int64_t now_us)
{
    return contact_fresh_until_us(m->contact, now_us);
}

bool
member_has_majority(struct member *m, int64_t now_us)
{
    return contact_has_majority(m->contact, now_us);
}

int64_t
member_store_age_us(const struct member *m, int64_t now_us)
{
    return contact_store_age_us(m->contact, now_us);
}

bool
member_is_synchronized(const struct member *m)
{
    return contact_is_synchronized(m->contact);
}

bool
member_is_confirmed(struct member *m, struct str region, enum doc_kind kind,
                    int64_t revision)
{
    return peers_is_confirmed(&m->peers, region, kind, revision,
                              m->revisions[kind]);
}

void
member_ping_unconfirmed(struct member *m, int64_t now_us, enum doc_kind kind,
                        int64_t revision, struct outbox *out)
{
    for (int i = 0; i < m->peers.count; i++) {
        struct peer *p = &m->peers.list[i];
        if (p->vote && p->node != m->self && p->revisions[kind] < revision &&
            (p->state == MEMBER_ALIVE || p->state == MEMBER_SUSPECT)) {
            send_ping(m, now_us, p, false, out);
        }
    }
}

int64_t
member_known_revision(const struct member *m, uint64_t node,
                      enum doc_kind kind)
{
    const struct peer *p = peers_find(&m->peers, node);
    return p ? p->revisions[kind] : 0;
}

int64_t
member_newest_revision(const struct member *m, enum doc_kind kind)
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
member_get_state(const struct member *m, uint64_t node,
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
               states[MEMBER_DEAD], states[MEMBER_LEFT], m->deaths,
               m->refutations, m->restarts);
}
