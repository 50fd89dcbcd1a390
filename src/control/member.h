/**
 * @file member.h
 * SWIM-like membership over the roster, and freshness by the contact vector.
 *
 * Probe schedule: every 500 ms a node pings 4 members in rosters up to 16
 * and 2 in larger ones, round robin over a shuffled list. With 5 nodes every
 * member is contacted each round, four times within the freshness time. A
 * vector entry multiplies its holders by about 3 per round with 2 pings, so
 * half of 390 members have it after 5 rounds (2.5 s) of a freshness time of
 * 5 s. A message has about 20 bytes, and an ACK one more per roster member.
 * Sent per node (bench_control): 287 bytes/s in 15 messages/s at 5 nodes, 325
 * in 8 at 50, and 2553 in 8 at 390, with gossip about endpoints.
 * Every fourth round one dead member is pinged as well, so that a healed
 * partition is noticed.
 *
 * The ACK alone carries the contact vector: only a round trip bounds the age
 * of what arrives. Until a process has once been fresh without counting
 * itself it is unsettled: it sends no vector and counts for no majority,
 * since its predecessor may have acknowledged documents that it lacks.
 */
#ifndef CONTROL_MEMBER_H
#define CONTROL_MEMBER_H

#include "control/outbox.h"
#include "control/roster.h"
#include "control/view.h"

struct control_peer;

/** Deltas of other modules that travel with probes. */
struct member_hooks {
    void *arg;
    /** Copies up to @p max deltas to send. @return their number */
    int (*gossip_out)(void *arg, struct gossip *out, int max);
    /** Receives an endpoint or suspect delta. */
    void (*gossip_in)(void *arg, int64_t now_us, const struct gossip *g);
};

struct member_options {
    uint64_t node;
    uint64_t incarnation; /**< must exceed that of earlier processes */
    struct str name;
    struct str address;
    struct str zone;
    struct str region;
    uint64_t seed;
    int peer_count; /**< seeds, pinged while the roster is unknown */
    const struct control_peer *peers;
    struct member_hooks hooks;
};

struct member;

struct member *member_new(const struct member_options *opts, int64_t now_us);
void member_free(struct member *m);

/** Valid until the next call that takes a non-const member. */
const struct view *member_view(struct member *m);

/** A new roster is in force. */
void member_roster(struct member *m, int64_t now_us, const struct roster *r);

/** Revisions in force on this node, sent with each probe. @p faulty is a
 * configuration revision that was read from the store and does not parse; it
 * does not block contacts. */
void member_revisions(struct member *m, const int64_t revisions[DOC_COUNT],
                      int64_t faulty);

/** PING, PING_REQ, ACK, LEAVE. */
void member_msg(struct member *m, int64_t now_us, const struct msg *msg,
                struct outbox *out);

/** The node acknowledged a document by DOC_ACK. */
void member_acked(struct member *m, uint64_t node, uint64_t incarnation,
                  enum doc_kind kind, int64_t revision);
void member_tick(struct member *m, int64_t now_us, struct outbox *out);
int64_t member_wakeup(const struct member *m);

/** A message of any type came from the node. After a silence of all members
 * it is probed at once, since its ACK carries the gossip that was missed. */
void member_heard(struct member *m, int64_t now_us, uint64_t node,
                  struct outbox *out);

/** A call or link to the node failed: probe it at once. */
void member_hint(struct member *m, int64_t now_us, uint64_t node,
                 struct outbox *out);

/** Tells all members that this node leaves. */
void member_leave(struct member *m, int64_t now_us, struct outbox *out);

/** A read of cf/config that was sent at @p t0_us succeeded. */
void member_store_contact(struct member *m, int64_t t0_us);

/** New work may be sent until this time; far in the past if never fresh. */
int64_t member_fresh_until(struct member *m, int64_t now_us);

/** True if contact with a majority of the own region's voters is fresh. */
bool member_majority(struct member *m, int64_t now_us);
int64_t member_store_age(const struct member *m, int64_t now_us);
bool member_settled(const struct member *m);

/**
 * True if a majority of the region's voters has @p revision of the document
 * in force, as far as this node was told. A region without voters has no
 * majority to wait for.
 */
bool member_confirmed(struct member *m, struct str region, enum doc_kind kind,
                      int64_t revision);

/** Pings the alive voters that have not confirmed; they fetch the document
 * when they see the newer revision. */
void member_poke(struct member *m, int64_t now_us, enum doc_kind kind,
                 int64_t revision, struct outbox *out);

/** A peer's newest known revision of a document; 0 if unknown. */
int64_t member_known(const struct member *m, uint64_t node,
                     enum doc_kind kind);

/** The newest revision that any member is known to have. */
int64_t member_newest(const struct member *m, enum doc_kind kind);

/** State of a member and since when. @return false if it is unknown */
bool member_state_of(const struct member *m, uint64_t node,
                     enum member_state *state, int64_t *since_us);
void member_metrics(const struct member *m, struct buf *out);

#endif
