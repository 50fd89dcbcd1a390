/**
 * @file contact.h
 * The contact vector and the freshness computed from the vector. For the store
 * and for each roster member, the vector has the time at which the newest
 * information that reached this node, directly or through other nodes, was
 * sent.
 *
 * A process is unsynchronized until it was once fresh by contacts that are all
 * newer than its start, without counting itself: its predecessor may have
 * acknowledged a document that the new process does not have yet.
 */
#ifndef CONTROL_CONTACT_H
#define CONTROL_CONTACT_H

#include "control/roster.h"

#define CONTACT_NEVER (INT64_MIN / 4)

struct contact;

struct contact *contact_new(uint64_t self, struct str region, int64_t now_us);
void contact_free(struct contact *c);

/** Sets a new roster and keeps the times of members that are in both
 * rosters. */
void contact_set_roster(struct contact *c, const struct roster *r);

/** Record that information sent by the store or by a member at @p t_us was
 * received. */
void contact_record_store(struct contact *c, int64_t t_us);
void contact_record_member(struct contact *c, uint64_t node, int64_t t_us);

/** Merges a vector of ages (msg.h) that was sent no earlier than @p t0_us.
 * Entries of members are used only if the vector refers to the same
 * roster. */
void contact_merge(struct contact *c, struct str ages, bool same_roster,
                   int64_t t0_us);

/** Appends this node's vector; nothing while unsynchronized. */
void contact_write_ages(const struct contact *c, int64_t now_us,
                        struct buf *out);

/** Time until which this node may send new work. Marks the process as
 * synchronized once it meets the condition. */
int64_t contact_fresh_until_us(struct contact *c, int64_t now_us);
bool contact_has_majority(struct contact *c, int64_t now_us);
bool contact_is_synchronized(const struct contact *c);

/** Time in us since the last contact with the store, direct or through other
 * nodes. */
int64_t contact_store_age_us(const struct contact *c, int64_t now_us);

/** Freshness time: 2 s, plus 0.5 s per doubling of the roster beyond 8
 * members. */
int64_t contact_freshness_us(int members);

#endif
