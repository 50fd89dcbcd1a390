/**
 * @file docs.h
 * The three documents that all nodes share: configuration, roster and VM
 * list. Revisions only increase. Watcher nodes read the store; the other nodes
 * learn of new revisions from probes and fetch them from other nodes.
 *
 * Store calls: there are max(3, ceil(sqrt(n))) watchers, at most 16. Each
 * reads cf/config every 500 ms and the other two documents every 2 s, and
 * keeps a watch open on these two. A node that receives nothing from the store
 * through other nodes polls the store with a period that keeps the whole fleet
 * below 4 such reads a second.
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

/** The document in force; its bytes are valid until a newer revision is in
 * force. */
struct doc docs_get(const struct docs *d, enum doc_kind kind);

/** The roster in force; never NULL, but empty before a roster is known. */
const struct roster *docs_roster(const struct docs *d);

/** True if this node has received the document from the store or a peer, or
 * the store has reported that the document does not exist. */
bool docs_is_known(const struct docs *d, enum doc_kind kind);

/** Newest revision of the configuration in the store that does not parse. */
int64_t docs_invalid_revision(const struct docs *d);

/** Time at which the newest successful read of cf/config was sent. */
int64_t docs_last_contact_us(const struct docs *d);

/** Starts due store calls. @p store_age_us is the time since the last contact
 * with the store, direct or through other nodes. */
void docs_tick(struct docs *d, int64_t now_us, const struct view *v,
               int64_t store_age_us, struct outbox *out);
int64_t docs_next_wakeup_us(const struct docs *d);

/** True if @p op is the id of a store operation of this module. */
bool docs_owns_op(const struct docs *d, uint64_t op);
void docs_handle_store_result(struct docs *d, int64_t now_us,
                              const struct store_result *r);

/** Handles a DOC_GET or DOC. The membership module handles DOC_ACK. */
void docs_handle_msg(struct docs *d, int64_t now_us, const struct view *v,
                     const struct msg *m, struct outbox *out);

/** Fetches documents from a node that has reported newer revisions. */
void docs_handle_peer_revisions(struct docs *d, int64_t now_us,
                                const struct view *v, uint64_t from,
                                const int64_t revisions[DOC_COUNT],
                                struct outbox *out);

/** Puts a document that this node has read from or written to the store in
 * force if it is newer. With @p push, also sends the newer document to the
 * members. @return ST_INVALID if the document does not parse */
enum status docs_apply(struct docs *d, const struct view *v,
                       enum doc_kind kind, int64_t revision, struct str bytes,
                       bool push, struct outbox *out);

/** Number of watchers of a roster of @p members. */
int docs_watcher_count(int members);
void docs_metrics(const struct docs *d, struct buf *out);

#endif
