/**
 * @file fairq.h
 * Bounded queue of one pool: start-time fair queueing over teams within each
 * class. Classes are served in order of priority, except that bulk work that
 * has waited for bulk_max_wait_us goes first, up to a small share of the work
 * served. In FIFO mode only arrival order counts. Entries are intrusive and
 * owned by the caller.
 */
#ifndef FLOW_FAIRQ_H
#define FLOW_FAIRQ_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "model/fleet.h"

struct fairq_flow;

struct fairq_entry {
    uint64_t team;       /**< unique, stable id */
    int64_t weight;      /**< of the team, at least 1 */
    int64_t cost_us;     /**< expected service time */
    int64_t need_us;     /**< expected time until the answer is complete */
    int64_t deadline_us; /**< absolute */
    enum request_class class;
    /* The queue owns these fields while the entry is queued. */
    int64_t queued_us;
    uint64_t seq;
    double start_tag;
    struct fairq_flow *flow;
    struct fairq_entry *prev, *next;
};

struct fairq;

struct fairq *fairq_new(bool fifo);
void fairq_free(struct fairq *q);

/** Sets the maximum length of the queue and the time after which bulk work is
 * overdue. */
void fairq_configure(struct fairq *q, int limit, int64_t bulk_max_wait_us);

/** Adds an entry. If the queue is full, drops and returns an entry, possibly
 * @p e itself; otherwise returns NULL. */
struct fairq_entry *fairq_push(struct fairq *q, int64_t now_us,
                               struct fairq_entry *e);

/** Returns the entry to serve next, which stays queued; NULL if empty. */
struct fairq_entry *fairq_peek(struct fairq *q, int64_t now_us);
void fairq_remove(struct fairq *q, struct fairq_entry *e);

/** Accounts for the work of a removed entry that is sent to an endpoint. */
void fairq_count_served(struct fairq *q, const struct fairq_entry *e);
int fairq_length(const struct fairq *q);

/** Returns the sum of cost_us of the entries that would be served before a new
 * entry of the class and team: all entries of the team, and of each other team
 * as much as its fair share allows. */
int64_t fairq_work_ahead_us(const struct fairq *q, enum request_class class,
                            uint64_t team, int64_t weight);

#endif
