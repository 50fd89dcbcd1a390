/**
 * @file rollout_state.h
 * State of the roll-outs of one node, private to rollout.c, decide.c and
 * budget.c.
 */
#ifndef ROLLOUT_ROLLOUT_STATE_H
#define ROLLOUT_ROLLOUT_STATE_H

#include <glib.h>

#include "rollout/rollout.h"

#define MS 1000LL
#define SECOND 1000000LL
#define PPM ROLLOUT_PPM

/* Interval of reports and decisions. Detection, report and acknowledgement
 * take three of them, which is far below rollback_us. */
#define TICK_US (100 * MS)
/* In large fleets reports are less frequent, so that the decider receives at
 * most 250 per second. */
#define TICK_PER_NODE_US (4 * MS)
/* A node without an acknowledgement for this time and two intervals reports to
 * the next node in the order of deciders. */
#define SUSPECT_AFTER_US (600 * MS)
/* Silent deciders are skipped for this time. */
#define SUSPECT_US (5 * SECOND)
/* A node without an acknowledgement for this time, plus two intervals, sends
 * nothing to a version that is not known to be good. */
#define ACK_MAX_AGE_US (1500 * MS)
/* Contacts of nodes that query watchers are up to 2.7 s old in normal
 * operation. This and the limit above stay below rollback_us. */
#define CONTACT_MAX_AGE_US (3 * SECOND)
/* Number of snapshots of the totals, one for each WINDOW_STEP_US. */
#define WINDOW_STEPS 5
#define WINDOW_STEP_US (500 * MS)

/* The newest report of a node. */
struct rollout_node {
    uint64_t node;
    int64_t received_us;
    struct rollout_report report;
};

struct rollout_service {
    char name[ROLLOUT_NAME_BYTES];
    uint64_t hash;
    bool has_order;
    struct rollout_order order;
    /* Target of an earlier order without a record; empty: none. */
    char replaced[ROLLOUT_NAME_BYTES];
    int64_t start_us; /* when the order was written, as far as is known */
    bool has_record;
    struct rollout_record record; /* the newest one that is known */
    int64_t record_us;            /* when this node learned of it */
    int64_t stored_revision;      /* of the record in the store; 0: none */
    int64_t stored_step;          /* of the record in the store; 0: none */
    int64_t stale_since_us; /* since when the store holds an older record than
                               the one that is known; 0: it does not */
    struct rollout_report own;
    int servers[ROLLOUT_SIDES];
    uint64_t candidate;     /* the node that this node takes for the decider */
    int64_t candidate_us;   /* when it became that */
    int64_t last_ack_us;    /* of any decider; 0: none for this order */
    int64_t asked_us;       /* when another node last reported to this one */
    uint64_t stopped_order; /* the decider found its version bad; 0: none */
    int64_t next_report_us;
    int64_t reports_since_us;   /* since when this node gets reports without a
                                   gap; 0: it does not */
    GHashTable *nodes;          /* hash -> struct rollout_node */
    uint64_t counted_order;     /* that the reports and the following are of */
    struct rollout_counts lost; /* of processes that have ended */
    struct rollout_counts snapshots[WINDOW_STEPS]; /* oldest first */
    int snapshot_count;
    int64_t next_snapshot_us;
    bool write_due; /* next is to be written */
    struct rollout_record next;
    bool writing;
    bool rewriting; /* the write repeats the record that is known */
    int64_t next_write_us;
    struct buf text; /* of the write */
};

struct rollout {
    struct rollout_options opts;
    char node_name[ROLLOUT_NAME_BYTES];
    uint64_t self;
    GArray *nodes;        /* uint64_t */
    GHashTable *suspects; /* hash -> int64_t, time in us */
    GPtrArray *services;  /* struct rollout_service */
    GQueue messages;      /* struct rollout_outgoing */
    int64_t contact_us;
    struct {
        int64_t started;
        int64_t completed;
        int64_t rolled_back;
        int64_t conflicts;
    } counters;
};

/* rollout.c */
/** Queues a message. */
void rollout_send(struct rollout *r, uint64_t node,
                  const struct rollout_report *m);
/** Whether this node decides for the service at present. */
bool rollout_acts_as_decider(const struct rollout *r,
                             const struct rollout_service *s, int64_t now_us);
/** Interval of reports for the number of nodes. */
int64_t rollout_tick_us(const struct rollout *r);
/** Whether the store and the decider are in contact with this node. */
bool rollout_has_contact(const struct rollout *r, int64_t now_us);

/* decide.c */
/** Adds a report to the evidence. */
void rollout_take_report(struct rollout_service *s, int64_t now_us,
                         uint64_t from, const struct rollout_report *m);
/** Takes the next decision, if one is due, as s->next. */
void rollout_decide(struct rollout *r, struct rollout_service *s,
                    int64_t now_us);
/** Whether the evidence of this node shows that the new version is bad. */
bool rollout_is_bad(const struct rollout_service *s, const char **why);
/** The sum of all reports. */
void rollout_sum(const struct rollout_service *s, struct rollout_counts *out);

/* budget.c */
/** What a decision on the share depends on. */
struct rollout_budget {
    double expose_share;
    double expose_slack;
    int64_t elapsed_us;  /**< since the order */
    int64_t move_us;     /**< time of the move, since the order */
    int64_t duration_us; /**< from the order to its deadline */
    int64_t sent[ROLLOUT_SIDES];
    int old_servers;
};
/** The number of requests that the new version may get until the deadline. */
double rollout_budget_total(const struct rollout_budget *b);
/** The share that uses the part of the budget that is for observation until
 * the move, in millionths. */
int rollout_budget_share(const struct rollout_budget *b);
/** The time of the move, since the order.
 * @param longest_us longest request at an old server
 * @param tick_us interval of reports */
int64_t rollout_move_time_us(int64_t duration_us, int64_t longest_us,
                             int64_t tick_us);

#endif
