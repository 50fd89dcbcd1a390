/**
 * @file feed_state.h
 * State of the feed, private to feed.c, feed_records.c and feed_share.c.
 */
#ifndef CONTROL_FEED_STATE_H
#define CONTROL_FEED_STATE_H

#include <glib.h>

#include "base/rng.h"
#include "control/feed.h"

#define MS 1000LL
#define SECOND 1000000LL
/* Nodes that watch the store for all: half of the square root of their number,
 * so that neither their work nor the store's grows with the fleet, and no
 * fewer than MIN_WATCHERS, of which some may be cut off. Small fleets watch
 * directly, which is simpler and costs the store little. */
#define DIRECT_NODES 8
#define MIN_WATCHERS 3

enum lease_state {
    LEASE_NONE,
    LEASE_ASKED,
    LEASE_HELD,
    LEASE_PUT,
    LEASE_ENDED
};

struct record {
    struct endpoint_record info;
    int64_t cold_until_us;
    int64_t missing_us; /* 0: present; else when its key was removed */
    bool listed;        /* seen by the list under way */
};

/* A node that waits for changes. */
struct waiting_ask {
    uint64_t node;
    uint64_t ask;
    int64_t revision;
    int64_t came_us;
    bool patient;
};

/* An answer that is due. */
struct ready_answer {
    uint64_t node;
    enum feed_track track;
    uint64_t ask;
    int64_t revision; /* that the asker has */
    bool known;
    int64_t age_us; /* see struct feed_answer */
};

/* A node that watches the store for others. */
struct watcher {
    uint64_t node;
    uint64_t rank;
};

/* A change that others may ask for. */
struct recent {
    char *key;
    struct str value; /* owned */
    int64_t revision;
    bool deleted;
};

/* One part of the store that is listed and then watched. */
struct track {
    enum feed_track which;
    struct str prefix;
    int64_t wait_ms;
    bool following; /* a watch is due or under way, not a list */
    bool busy;
    bool failing;  /* the last call failed */
    bool complete; /* a list has ended once */
    uint64_t id;   /* of the call under way */
    int64_t sent_us;
    int64_t waited_us; /* that the store keeps it without news */
    int64_t due_us;
    int64_t revision;
    char *page_after;
    int64_t list_revision; /* of the first page */
    int64_t listed_us;     /* a list ended then; 0: none has */
    int64_t contact_us;    /* send time of the newest answered call */
    bool direct;           /* the next call goes to the store */
    int64_t direct_us;     /* a watcher could not tell then */
    int64_t via_until_us;  /* the node must have answered */
    uint64_t via;          /* node asked by the call under way; 0: the store */
    GArray *asks;          /* struct waiting_ask */
    GQueue recent;         /* struct recent, oldest first */
    size_t recent_bytes;
    int64_t recent_from; /* changes after this revision are in recent */
    int64_t answered_us; /* when that answer came; 0: never */
};

struct feed {
    const struct feed_codec *codec;
    char *node;
    struct str registered; /* owned */
    struct rng rng;
    struct track tracks[FEED_TRACKS];
    uint64_t self;         /* hash of this node's name */
    GArray *watchers;      /* struct watcher, highest rank first */
    bool watchers_old;     /* nodes have changed since */
    int64_t outage_end_us; /* end of the last outage that was long enough for
                              records to lapse */
    GHashTable *suspects;  /* hash of node -> int64_t, until when */
    GQueue answers;        /* struct ready_answer */
    int64_t hold_until_us; /* removed records still hold */
    uint64_t next_id;

    struct routing *routing;
    int64_t routing_revision;
    GHashTable *records;     /* id -> struct record */
    GHashTable *evacuations; /* zone -> 1: unlisted, 2: listed */
    GHashTable *nodes;       /* name -> 1: unlisted, 2: listed */
    GHashTable *addresses;   /* name of node -> what it registered */
    uint64_t nodes_version;  /* rises with each change of nodes, addresses */
    int share_nodes;
    int64_t fewer_since_us;
    bool changed;

    enum lease_state lease_state;
    uint64_t lease_id; /* of the operation under way; 0: none */
    int64_t lease;
    int64_t lease_due_us;
    bool leaving;
    struct buf key;
};

/* feed_records.c */
/** Takes one item of the store over. */
void feed_apply(struct feed *f, int64_t now_us, const struct kv_item *item);
/** Before the first page of a list: nothing of the part is seen yet. */
void feed_begin_list(struct feed *f, enum feed_track which);
/** After the last page: what was not seen has been removed. */
void feed_end_list(struct feed *f, int64_t now_us, enum feed_track which);
/** Ends records that have not come back after an outage. */
void feed_drop_missing(struct feed *f, int64_t now_us);
/** Frees a struct record. */
void feed_record_free(gpointer p);

/* feed_share.c */
/** Keeps a change for nodes that ask. */
void feed_keep_recent(struct track *t, const struct kv_item *item);
/** Drops the oldest changes beyond a number and a size. */
void feed_forget_recent(struct track *t, guint most);
/** After an answer of the store: nodes that wait for its changes are told. */
void feed_answer_asks(struct feed *f, int64_t now_us, struct track *t);
/** Answers asks that have waited long enough. */
void feed_answer_due(struct feed *f, int64_t now_us);
/** When feed_answer_due has something to do. */
int64_t feed_answers_wakeup(const struct feed *f);
/** How long a watcher keeps an ask without news. */
int64_t feed_hold_us(enum feed_track which);
/** The store cannot be asked: nodes that wait are told so, unless they have no
 * contact either. */
void feed_refuse_asks(struct feed *f, int64_t now_us, struct track *t);
void feed_set_suspect(struct feed *f, int64_t now_us, uint64_t node,
                      bool failing);
/** Whether the node has told that its contact is too old. */
bool feed_is_stale(const struct feed_answer *answer);
/** The node to ask instead of the store; 0: the store. */
uint64_t feed_choose_watcher(struct feed *f, int64_t now_us);

#endif
