/**
 * @file member.h
 * SWIM-like membership of the nodes in the roster, and freshness computed from
 * the contact vector.
 *
 * Probe schedule: every 500 ms a node pings 4 members in rosters up to 16
 * and 2 in larger ones, round robin over a shuffled list. With 5 nodes every
 * member is contacted in each round, four times within the freshness time.
 * With 2 pings the number of nodes that hold a vector entry grows by a factor
 * of about 3 per round, so half of 390 members have the entry after 5 rounds
 * (2.5 s) of a freshness time of 5 s. A message has about 20 bytes, and an ACK
 * has one more byte per roster member. Each node sends (bench_control) 287
 * bytes/s in 15 messages/s at 5 nodes, 325 bytes/s in 8 messages/s at 50, and
 * 2553 bytes/s in 8 messages/s at 390, with gossip about endpoints.
 * Every fourth round also pings one dead member, so that the end of a network
 * partition is detected.
 *
 * Only an ACK carries the contact vector, since only a round trip bounds the
 * age of the received information. A process is unsynchronized until it has
 * once been fresh without counting itself. An unsynchronized process sends no
 * vector and does not count towards a majority, since its predecessor may have
 * acknowledged documents that the new process lacks.
 */
#ifndef CONTROL_MEMBER_H
#define CONTROL_MEMBER_H

#include "control/outbox.h"
#include "control/roster.h"
#include "control/view.h"

struct control_peer;

/** Callbacks for the gossip of other modules that is sent with probes. */
struct member_callbacks {
    void *arg;
    /** Copies up to @p max deltas to send. @return their number */
    int (*collect_gossip)(void *arg, struct gossip *out, int max);
    /** Handles a received endpoint or suspect delta. */
    void (*receive_gossip)(void *arg, int64_t now_us, const struct gossip *g);
};

struct member_options {
    uint64_t node;
    uint64_t incarnation; /**< must exceed that of earlier processes
                               of this node */
    struct str name;
    struct str address;
    struct str zone;
    struct str region;
    uint64_t seed;
    int peer_count; /**< seeds, pinged while the roster is unknown */
    const struct control_peer *peers;
    struct member_callbacks callbacks;
};

struct member;

struct member *member_new(const struct member_options *opts, int64_t now_us);
void member_free(struct member *m);

/** Valid until the next call that takes a non-const member. */
const struct view *member_view(struct member *m);

/** Replaces the roster by the one that is now in force. */
void member_set_roster(struct member *m, int64_t now_us,
                       const struct roster *r);

/** Sets the revisions in force on this node, which each probe carries.
 * @p invalid_revision is a configuration revision that was read from the store
 * and does not parse, or 0; contacts with nodes that report this revision
 * still count. */
void member_set_revisions(struct member *m, const int64_t revisions[DOC_COUNT],
                          int64_t invalid_revision);

/** Handles a PING, PING_REQ, ACK or LEAVE. */
void member_handle_msg(struct member *m, int64_t now_us, const struct msg *msg,
                       struct outbox *out);

/** Records that the node acknowledged a document by DOC_ACK. */
void member_record_ack(struct member *m, uint64_t node, uint64_t incarnation,
                       enum doc_kind kind, int64_t revision);
void member_tick(struct member *m, int64_t now_us, struct outbox *out);
int64_t member_next_wakeup_us(const struct member *m);

/** Records that a message of any type came from the node. If no member sent a
 * message for 1 s before, pings the node at once, since the ACK carries the
 * gossip that this node missed. */
void member_record_message(struct member *m, int64_t now_us, uint64_t node,
                           struct outbox *out);

/** Probes a node at once after a call or link to this node failed. */
void member_probe_now(struct member *m, int64_t now_us, uint64_t node,
                      struct outbox *out);

/** Notifies all members that this node leaves. */
void member_announce_leave(struct member *m, int64_t now_us,
                           struct outbox *out);

/** Records that a read of cf/config that was sent at @p t0_us succeeded. */
void member_record_store_contact(struct member *m, int64_t t0_us);

/** Time until which this node may send new work; far in the past if the node
 * was never fresh. */
int64_t member_fresh_until_us(struct member *m, int64_t now_us);

/** True if contact with a majority of the voters of this node's region is
 * fresh. */
bool member_has_majority(struct member *m, int64_t now_us);
int64_t member_store_age_us(const struct member *m, int64_t now_us);
bool member_is_synchronized(const struct member *m);

/**
 * True if a majority of the region's voters is known to have @p revision of
 * the document, or a newer one, in force. Always true for a region without
 * voters.
 */
bool member_is_confirmed(struct member *m, struct str region,
                         enum doc_kind kind, int64_t revision);

/** Pings the alive voters that have not confirmed the revision. They fetch the
 * document when the ping reports the newer revision. */
void member_ping_unconfirmed(struct member *m, int64_t now_us,
                             enum doc_kind kind, int64_t revision,
                             struct outbox *out);

/** Newest revision of a document that the node is known to have; 0 if
 * unknown. */
int64_t member_known_revision(const struct member *m, uint64_t node,
                              enum doc_kind kind);

/** Newest revision of a document that any member is known to have. */
int64_t member_newest_revision(const struct member *m, enum doc_kind kind);

/** Gets the state of a member and the time of the last change of this state.
 * @return false if the member is unknown */
bool member_get_state(const struct member *m, uint64_t node,
                      enum member_state *state, int64_t *since_us);
void member_metrics(const struct member *m, struct buf *out);

#endif
