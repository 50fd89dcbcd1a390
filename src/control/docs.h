/**
 * @file docs.h
 * The three documents that all nodes share: configuration, roster and VM
 * list. Revisions only rise. Watcher nodes follow the store; the others learn
 * of new revisions from probes and fetch them from each other.
 *
 * Store calls: each of max(3, ceil(sqrt(n))), at most 16, watchers reads
 * cf/config every 500 ms and the other two documents every 2 s, and holds a
 * watch on these two. A node that hears nothing from the store through others
 * polls it with a period that keeps the whole fleet below 4 such reads a
 * second.
 */
#ifndef CONTROL_DOCS_H
#define CONTROL_DOCS_H

#include "control/outbox.h"
#include "control/roster.h"
#include "control/view.h"

struct docs_options {
    uint64_t node;
    uint64_t incarnation;
    uint64_t seed;
};

struct doc {
    int64_t revision; /**< 0: none */
    struct str bytes;
};

struct docs;

struct docs *docs_new(const struct docs_options *opts, int64_t now_us);
void docs_free(struct docs *d);

/** The document in force; bytes are valid until a newer one arrives. */
struct doc docs_get(const struct docs *d, enum doc_kind kind);

/** The roster in force; never NULL, empty before one is known. */
const struct roster *docs_roster(const struct docs *d);

/** True if the store or a peer has told what the document is, even absent. */
bool docs_known(const struct docs *d, enum doc_kind kind);

/** Newest revision of the configuration in the store that does not parse. */
int64_t docs_faulty(const struct docs *d);

/** When the newest successful read of cf/config was sent. */
int64_t docs_contact(const struct docs *d);

/** @p store_age_us: since the last contact with the store through others. */
void docs_tick(struct docs *d, int64_t now_us, const struct view *v,
               int64_t store_age_us, struct outbox *out);
int64_t docs_wakeup(const struct docs *d);

bool docs_owns_op(const struct docs *d, uint64_t op);
void docs_store(struct docs *d, int64_t now_us, const struct store_result *r);

/** DOC_GET, DOC. DOC_ACK is left to the membership module. */
void docs_msg(struct docs *d, int64_t now_us, const struct view *v,
              const struct msg *m, struct outbox *out);

/** A probe said which revisions a node has: fetches newer documents. */
void docs_peer(struct docs *d, int64_t now_us, const struct view *v,
               uint64_t from, const int64_t revisions[DOC_COUNT],
               struct outbox *out);

/** A document read from or written to the store by this node; a written one
 * is pushed to the members. @return ST_INVALID if it does not parse */
enum status docs_offer(struct docs *d, const struct view *v,
                       enum doc_kind kind, int64_t revision, struct str bytes,
                       bool push, struct outbox *out);

/** Watchers of a roster of @p members. */
int docs_watchers(int members);
void docs_metrics(const struct docs *d, struct buf *out);

#endif
