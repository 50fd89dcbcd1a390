/**
 * @file rollout.h
 * Decides and follows the roll-outs of services on one node. A state machine
 * without I/O: orders and records come from the store's watches, counts from
 * the traffic thread, reports from other nodes; it returns messages, writes
 * and directives for the traffic thread. Times are microseconds of a clock
 * that also counts while the machine is suspended.
 *
 * Made for up to 390 nodes and 4,000 requests per second and service.
 */
#ifndef ROLLOUT_ROLLOUT_H
#define ROLLOUT_ROLLOUT_H

#include "rollout/record.h"

struct rollout_options {
    struct str node;     /**< name of this node */
    double expose_share; /**< largest share of a service's requests that a
                            bad version may get */
    double expose_slack; /**< requests beyond that share */
    int64_t rollback_us; /**< longest time from the 50th bad response of a
                            version to its last request; 0: this node
                            neither decides nor follows roll-outs */
};

/** What the traffic thread does with the requests of a service. */
struct rollout_directive {
    bool active;      /**< false: versions are not told apart */
    uint64_t service; /**< hash of its name */
    uint64_t order;   /**< counts start at 0 when it changes */
    int64_t step;
    char target[ROLLOUT_NAME_BYTES];
    char rejected[ROLLOUT_NAME_BYTES];
    int share_ppm;          /**< share of the target, in millionths */
    bool reports;           /**< counts are needed */
    bool strict;            /**< old servers get no request, even if no new one
                               takes work, unless none is registered */
    int64_t valid_until_us; /**< then the share is 0; INT64_MAX: no end */
};

/** A write to the store: the record and, if it is not empty, the status. */
struct rollout_write {
    struct str service;  /**< valid until the next call */
    struct str target;   /**< as above */
    int64_t if_revision; /**< that the record has; 0: it does not exist */
    struct str record;   /**< as above */
    enum rollout_phase phase;
};

enum rollout_write_result {
    ROLLOUT_WRITTEN,
    ROLLOUT_CONFLICT, /**< the condition failed */
    ROLLOUT_UNKNOWN,  /**< it may have taken effect */
};

struct rollout;

struct rollout *rollout_new(const struct rollout_options *opts);
void rollout_free(struct rollout *r);
/** Changes the bounds. */
void rollout_set_options(struct rollout *r,
                         const struct rollout_options *opts);

/** Sets the registered nodes, by hash of their names. */
void rollout_set_nodes(struct rollout *r, const uint64_t *nodes, int count);
/** Sets the time of the contact with the store, see feed.h. */
void rollout_set_contact(struct rollout *r, int64_t contact_us);
/** Sets the order for a service. @param order NULL: withdrawn */
void rollout_set_order(struct rollout *r, int64_t now_us, struct str service,
                       const struct rollout_order *order);
/** Sets the record that the store holds. @param text empty: none */
void rollout_set_record(struct rollout *r, int64_t now_us, struct str service,
                        struct str text, int64_t revision);
/** Sets the number of servers in service, for which versions are compared with
 * the target of the newest directive. */
void rollout_set_servers(struct rollout *r, uint64_t service,
                         const int count[ROLLOUT_SIDES]);
/** Sets what the traffic thread has counted since the order.
 * @param own order, step, longest_us and counts are set */
void rollout_set_counts(struct rollout *r, const struct rollout_report *own);
/** Handles a message of another node. */
void rollout_handle_report(struct rollout *r, int64_t now_us, uint64_t from,
                           const struct rollout_report *m);

/** Runs what is due. Call before the functions below. */
void rollout_run(struct rollout *r, int64_t now_us);
int64_t rollout_next_wakeup_us(const struct rollout *r);
/** The next message to send. @return false if there is none */
bool rollout_next_message(struct rollout *r, uint64_t *node,
                          struct rollout_report *out);
/** The next write, one at a time for each service.
 * @return false if there is none */
bool rollout_next_write(struct rollout *r, int64_t now_us,
                        struct rollout_write *out);
/** Handles the result of the write for a service. */
void rollout_handle_write(struct rollout *r, int64_t now_us,
                          struct str service, enum rollout_write_result result,
                          int64_t revision);
/** The directives, one for each service with an order or a record.
 * @param at 0 for the first one; advanced. @return false at the end */
bool rollout_next_directive(struct rollout *r, int64_t now_us, int *at,
                            struct rollout_directive *out);
/** The record of a service that this node acts on, or NULL. */
const struct rollout_record *rollout_find_record(const struct rollout *r,
                                                 struct str service);
/** Whether this node decides for the service at present. */
bool rollout_is_decider(const struct rollout *r, int64_t now_us,
                        struct str service);
/** Appends all roll-outs as JSON: the records, and the evidence that this node
 * has, which is all of it at the decider. */
void rollout_show(const struct rollout *r, int64_t now_us, struct buf *out);
/** Appends the metrics in text format. */
void rollout_metrics(const struct rollout *r, int64_t now_us, struct buf *out);

#endif
