/**
 * @file feed_state.h
 * State of the feed, private to feed.c, feed_era.c, feed_records.c,
 * feed_register.c and feed_share.c.
 */
#ifndef CONTROL_FEED_STATE_H
#define CONTROL_FEED_STATE_H

#include <glib.h>

#include "base/rng.h"
#include "control/feed.h"

#define MS 1000LL
#define SECOND 1000000LL
/* In fleets larger than MAX_DIRECT_NODES only some nodes, the watchers, watch
 * the store; the others query a watcher. The number of watchers is half of the
 * square root of the number of nodes, so that neither their work nor the load
 * of the store grows in proportion to the fleet, and at least MIN_WATCHERS, as
 * some may be disconnected. In small fleets all nodes watch the store
 * directly, which is simpler and costs the store little. */
#define MAX_DIRECT_NODES 8
#define MIN_WATCHERS 3
/* Records that expired during an outage are written again within two seconds
 * of the store's return. Until then removed records stay in effect. */
#define REMOVED_HOLD_US (2200 * MS)
/* A slow store takes some hundred ms per response, and more than a second at
 * worst. */
#define CALL_SLACK_MS 1500
/* A watch that gets no response for this time beyond its wait is repeated on a
 * new connection: what a silent connection hides must be known within 2 s. */
#define WATCH_SLACK_MS 500

/* After a failure the store is polled without waiting, so that its return is
 * noticed soon. The store counts each such call, so nodes that share watches
 * query a watcher most of these times. */
#define PROBE_WAIT_MS 1
#define PROBE_INTERVAL_US (400 * MS)
/* A probe without an answer is followed by another one after this time. */
#define PROBE_TIMEOUT_MS 700

enum lease_state {
    LEASE_NONE,
    LEASE_REQUESTED,
    LEASE_GRANTED,
    LEASE_REGISTERED, /* the node's key is written under the lease */
    LEASE_ENDED
};

struct endpoint_entry {
    struct endpoint_record info;
    int64_t era; /* era_count at the revision */
    int64_t revision;
    int64_t cold_until_us;
    int64_t removed_us; /* when its key was removed; 0: the key exists */
    bool seen_in_list;  /* in a page of the list in progress */
};

/* A start of an endpoint that has been removed. */
struct departed_endpoint {
    int64_t started_ms;
    int64_t removed_us;
};

/* A query of another node that waits for changes. */
struct peer_query {
    uint64_t node;
    uint64_t id;
    int64_t revision; /* that the querying node has */
    int64_t received_us;
    bool hold_until_contact; /* see struct feed_query */
};

/* A reply that is ready to be sent. */
struct due_reply {
    uint64_t node;
    enum feed_range track;
    uint64_t id;      /* of the query */
    int64_t revision; /* that the querying node has */
    bool known;
    int64_t age_us; /* see struct feed_reply */
};

/* A node that watches the store for others. */
struct watcher {
    uint64_t node;
    uint64_t rank;
};

/* A change that other nodes may query. */
struct cached_change {
    char *key;
    struct str value; /* owned */
    int64_t revision;
    bool deleted;
};

/* State of one key range, which is listed and then watched. */
struct range_watch {
    enum feed_range range;
    struct str prefix;
    int64_t max_wait_ms;
    bool watching; /* the current or next call is a watch, not a list */
    bool busy;     /* a call is in progress */
    bool failing;  /* the last two calls failed */
    bool retrying; /* the last call got no response, so it is repeated */
    bool listed_once;
    uint64_t call_id; /* of the call in progress */
    int64_t call_sent_us;
    int64_t answering_us;  /* when the store began to answer it; 0: not yet */
    int64_t call_wait_us;  /* how long the store holds it without changes */
    uint64_t late_call_id; /* of a probe whose answer may still arrive although
                              another one has been or will be sent; 0: none */
    int64_t late_sent_us;
    int64_t next_call_us;
    int64_t revision;
    char *list_after_key;  /* last key of the previous page; NULL: none */
    int64_t list_revision; /* of the first page */
    int64_t list_ended_us; /* end of the last complete list; 0: none */
    int64_t contact_us;    /* this node knows all writes acknowledged before
                              this time; see feed.h */
    bool bypass_watcher;   /* the next call goes to the store */
    int64_t watcher_unknown_us; /* when a watcher last lacked the changes */
    int64_t peer_timeout_us;    /* when the queried node counts as silent */
    uint64_t
        via_node; /* node that the call in progress queries; 0: the store */
    GArray *peer_queries; /* struct peer_query */
    GQueue cached;        /* struct cached_change, oldest first */
    size_t cached_bytes;
    int64_t cached_after;     /* all changes after this revision are cached */
    int64_t last_response_us; /* when the last result arrived; 0: never */
    int64_t failing_since_us; /* when the first of these calls failed, or the
                                 era began */
    bool ignored_of_copy;     /* an item of a list was ignored because the list
                                 may be older than what this node knows */
};

struct feed {
    const struct feed_codec *codec;
    char *node;
    struct str registered; /* owned */
    struct rng rng;
    struct range_watch range_watches[FEED_RANGE_COUNT];
    uint64_t self_hash;    /* hash of this node's name */
    GArray *watchers;      /* struct watcher, highest rank first */
    bool watchers_stale;   /* nodes have changed since they were ranked */
    int64_t outage_end_us; /* end of the last outage that was long enough for
                              records to expire */
    GHashTable *suspected_until; /* hash of node -> int64_t, time in us */
    GQueue due_replies;          /* struct due_reply */
    int64_t era;                 /* newest era of the store; 0: unknown */
    int64_t era_count;           /* eras that this node has seen begin, also
                                    without a number */
    bool operator_has_written;   /* a configuration, in this era */
    int64_t sure_contact_us; /* newest contact that was not with an older copy
                              */
    /* Until then, lists may lack what was written before the store came back
     * from an older copy; 0: they do not. */
    int64_t copy_end_us[FEED_RANGE_COUNT];
    /* Contacts before this time do not count: the operator may not have
     * written again what an older copy lacks; 0: all count. */
    int64_t contact_hold_end_us;
    bool contact_query_due;      /* see feed_take_contact_query */
    int64_t reported_era;        /* newest era that other nodes have named */
    bool answered;               /* the store has answered a list or a watch */
    int64_t removed_hold_end_us; /* removed records stay in effect until then;
                                    0: they are dropped at once */
    uint64_t next_id;

    struct routing *routing;
    int64_t routing_revision;
    GHashTable *records;         /* id -> struct endpoint_entry */
    GHashTable *departed;        /* id -> struct departed_endpoint */
    GHashTable *evacuated_zones; /* zone -> 1: unseen, 2: seen in the list */
    GHashTable *nodes;           /* name -> 1: unseen, 2: seen in the list */
    GHashTable *registrations;   /* name of node -> what it registered */
    GHashTable *capacities;      /* name of node -> thousandths of a core */
    GHashTable *orders;          /* service -> struct order_entry */
    GHashTable *rollouts; /* service with a record -> 1: unseen, 2: seen in the
                             list */
    GQueue rollout_changes;                    /* struct feed_rollout_change */
    struct feed_rollout_change *rollout_taken; /* by the last
                                                  feed_next_rollout */
    uint64_t nodes_version; /* rises with each change of nodes and
                               registrations */
    int sharing_nodes;      /* number of nodes that limits are divided by */
    int64_t fewer_since_us; /* since when there are fewer nodes than that; 0:
                               there are not */
    bool site_changed;

    enum lease_state lease_state;
    uint64_t lease_op_id; /* of the operation in progress; 0: none */
    int64_t lease;        /* the store's id of the lease */
    int64_t next_lease_call_us;
    int64_t registered_revision; /* of the key that this node has written */
    bool leaving;
    struct buf node_key; /* under which this node registers */
    struct buf capacity_key;
    struct buf capacity; /* value under capacity_key; empty: none */
};

/* feed.c */
/** Lists a key range again. The result of a call in progress is ignored. */
void feed_restart_range(struct range_watch *rw, int64_t now_us);

/* feed_probe.c: calls after a failure. A silent store must be probed again
 * soon, and a slow one needs more time, so two probes may be open. */
/** Sets when the next probe is due after one that failed or got no answer. */
void feed_schedule_probe(struct feed *f, int64_t now_us,
                         struct range_watch *rw, bool silent);
/** When feed_supersede_probe is due if a call is in progress. */
int64_t feed_probe_due_us(const struct range_watch *rw);
/** Makes room for another probe if the one in progress got no answer yet. */
void feed_supersede_probe(struct feed *f, int64_t now_us,
                          struct range_watch *rw);
/** Makes the superseded probe the call in progress again, as its answer
 * arrives, unless the newer probe is being answered.
 * @return false if this operation is not that probe */
bool feed_take_late_probe(struct range_watch *rw, uint64_t op);

/* feed_era.c: the store comes back from an older copy */
/** Takes the era from a result.
 * @return false if the result must be ignored, because the data of this node
 * is of another era */
bool feed_accept_era(struct feed *f, int64_t now_us,
                     const struct kv_result *r);

/** Whether the revision of a list or a watch shows that the store has gone
 * back without a new era, as its revisions never fall otherwise. If so, this
 * is handled as a new era. */
bool feed_has_gone_back(struct feed *f, int64_t now_us,
                        const struct range_watch *rw, int64_t revision);
/** Whether the list in progress may be older than what this node knows. */
bool feed_is_copy_list(const struct feed *f, int64_t now_us,
                       enum feed_range range);
/** The store answers again after an outage, so its writers need time again. */
void feed_extend_copy(struct feed *f, int64_t now_us, enum feed_range range);
/** A configuration is in force that a list or a watch has brought. */
void feed_note_configuration(struct feed *f);
/** A watcher with recent contact has replied in this era. */
void feed_note_watcher(struct feed *f, const struct feed_reply *answer);
/** Whether the next query must be answered at once, because the watcher may
 * show that the held contact counts. */
bool feed_take_contact_query(struct feed *f);
/** Lists the key ranges again that may have been an older copy. */
void feed_end_copies(struct feed *f, int64_t now_us);
/** When feed_end_copies is due; INT64_MAX if no key range is an older copy. */
int64_t feed_copies_due_us(const struct feed *f);
/** Whether a revision of another node can be compared with the revisions of
 * this node. If the other node knows a newer era, this node calls the store at
 * once. @param era of that revision, 0: unknown */
bool feed_is_peer_era(struct feed *f, int64_t now_us, int64_t era);

/* feed_records.c */
/** Applies one item of the store. */
void feed_apply_item(struct feed *f, int64_t now_us,
                     const struct kv_item *item);
/** Marks all entries of a range as unseen, before the first page of a list. */
void feed_mark_unseen(struct feed *f, enum feed_range range);
/** Removes the entries that are still unseen, after the last page of a list.
 */
void feed_remove_unseen(struct feed *f, int64_t now_us, enum feed_range range);
/** Drops removed records that were not written again in time after an outage.
 */
void feed_drop_unreturned(struct feed *f, int64_t now_us);
/** When feed_drop_unreturned is due; INT64_MAX: no record is held, or the
 * store does not answer. */
int64_t feed_removed_due_us(const struct feed *f);
/** Frees a struct endpoint_entry. */
void feed_record_free(gpointer p);

/* feed_rollout.c: orders and records of roll-outs */
void feed_rollout_init(struct feed *f);
void feed_rollout_free(struct feed *f);
/** Applies an item whose key names this service. */
void feed_apply_order(struct feed *f, int64_t now_us, const char *service,
                      const struct kv_item *item);
void feed_apply_rollout(struct feed *f, const char *service,
                        const struct kv_item *item);
/** As feed_mark_unseen and feed_remove_unseen. */
void feed_mark_rollouts_unseen(struct feed *f, enum feed_range range);
void feed_remove_unseen_rollouts(struct feed *f, int64_t now_us,
                                 enum feed_range range);

/* feed_register.c: the registration of this node */
/** Handles the result of the operation lease_op_id. */
void feed_handle_lease_result(struct feed *f, int64_t now_us,
                              const struct kv_result *r);
/** Registers this node again, without the lease that it has: an older copy of
 * the store may have given the id of that lease to another node. */
void feed_restart_registration(struct feed *f, int64_t now_us);
/** Registers this node again if its key was removed at @p revision. */
void feed_note_own_removal(struct feed *f, int64_t now_us, int64_t revision);
/** The next operation of the registration. @return false if there is none now
 */
bool feed_next_lease_op(struct feed *f, int64_t now_us, struct kv_op *out);
/** When feed_next_lease_op may return an operation; INT64_MAX: after a result
 */
int64_t feed_lease_call_due_us(const struct feed *f);

/* feed_share.c */
/** Caches a change for queries of other nodes. */
void feed_cache_change(struct range_watch *rw, const struct kv_item *item);
/** Drops the oldest changes above @p max_changes or the size limit. */
void feed_trim_cached_changes(struct range_watch *rw, guint max_changes);
/** After a response of the store: answers the queries that its changes
 * concern. */
void feed_answer_queries(struct feed *f, int64_t now_us,
                         struct range_watch *rw);
/** Answers all queries of the previous era as unknown. */
void feed_drop_queries(struct feed *f, int64_t now_us);
/** Answers queries that have waited for the maximum time. */
void feed_answer_expired_queries(struct feed *f, int64_t now_us);
/** When the next reply is due; INT64_MAX if none is. */
int64_t feed_replies_due_us(const struct feed *f);
/** How long a watcher holds a query without changes. */
int64_t feed_query_hold_us(enum feed_range range);
/** After a failed call to the store: answers the waiting queries as unknown,
 * except for those of nodes that have no contact either. */
void feed_reject_queries(struct feed *f, int64_t now_us,
                         struct range_watch *rw);
/** Skips a watcher for some time.
 * @param failing this node has no contact, so the time is shorter */
void feed_set_suspect(struct feed *f, int64_t now_us, uint64_t node,
                      bool failing);
/** Whether the reply reports that the watcher's contact is too old. */
bool feed_is_reply_stale(const struct feed_reply *answer);
/** The node to query instead of the store; 0: the store. */
uint64_t feed_choose_watcher(struct feed *f, int64_t now_us);

#endif
