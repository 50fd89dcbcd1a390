/**
 * @file contact.h
 * The contact vector: for the store and for each roster member the last time
 * at which information from it reached this node, directly or through others;
 * and freshness, which is computed from it.
 *
 * A process is unsettled until it was fresh by contacts that are all younger
 * than its start, without counting itself: its predecessor may have
 * acknowledged a document that it does not have yet.
 */
#ifndef CONTROL_CONTACT_H
#define CONTROL_CONTACT_H

#include "control/roster.h"

#define CONTACT_NEVER (INT64_MIN / 4)

struct contact;

struct contact *contact_new(uint64_t self, struct str region, int64_t now_us);
void contact_free(struct contact *c);

/** A new roster; times of members that stay are kept. */
void contact_roster(struct contact *c, const struct roster *r);

/** Information sent by the store or by a member at @p t_us was received. */
void contact_store(struct contact *c, int64_t t_us);
void contact_touch(struct contact *c, uint64_t node, int64_t t_us);

/** Merges a vector of ages (msg.h) that was sent no earlier than @p t0_us.
 * Member entries are used if it refers to the same roster. */
void contact_merge(struct contact *c, struct str ages, bool same_roster,
                   int64_t t0_us);

/** Appends this node's vector; nothing while unsettled. */
void contact_ages(const struct contact *c, int64_t now_us, struct buf *out);

/** New work may be sent until this time. Settles the process if it can. */
int64_t contact_fresh_until(struct contact *c, int64_t now_us);
bool contact_majority(struct contact *c, int64_t now_us);
bool contact_settled(const struct contact *c);

/** us since the last contact with the store, through others or not. */
int64_t contact_store_age(const struct contact *c, int64_t now_us);

/** 2 s, plus 0.5 s per doubling of the roster beyond 8 members. */
int64_t contact_fresh_time(int members);

#endif
