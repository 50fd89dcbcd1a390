/**
 * @file traffic.h
 * The traffic thread's part of a roll-out: which version the next request
 * gets, and the counts. Without I/O; one object for each service that has a
 * directive.
 */
#ifndef ROLLOUT_TRAFFIC_H
#define ROLLOUT_TRAFFIC_H

#include "rollout/rollout.h"

/** How a server's version relates to the directive. */
enum rollout_class {
    ROLLOUT_CLASS_OLD,
    ROLLOUT_CLASS_NEW,
    ROLLOUT_CLASS_REJECTED, /**< gets no request */
};

struct rollout_traffic {
    struct rollout_directive directive;
    struct rollout_counts counts; /**< since the order */
    int64_t longest_us;           /**< longest request at an old server */
    double credit; /**< a request goes to the new version when it reaches 1 */
};

/** Applies a directive. Counts start again if its order is another one.
 * @param start random, from 0 to 1: where the sequence of versions begins, so
 * that many nodes with few requests do not choose the new one at once */
void rollout_traffic_apply(struct rollout_traffic *t,
                           const struct rollout_directive *d, double start);
enum rollout_class rollout_traffic_class(const struct rollout_traffic *t,
                                         struct str version);
/** Whether the new version may get requests now. */
bool rollout_traffic_allows_new(const struct rollout_traffic *t,
                                int64_t now_us);
/** Chooses the version of the next request. */
enum rollout_side rollout_traffic_choose(struct rollout_traffic *t,
                                         int64_t now_us);
/** Whether the next request is to go to the new version, for callers that
 * choose a server before its version; rollout_traffic_take follows. */
bool rollout_traffic_is_due(const struct rollout_traffic *t, int64_t now_us);
/** Counts a request that went to this version. */
void rollout_traffic_take(struct rollout_traffic *t, enum rollout_side side);
/** The number of new servers that together get the share, each with at least
 * the load that an old one has without a roll-out, as a version may be bad
 * under load only.
 * @param count servers in service, by version */
int rollout_traffic_servers(const struct rollout_traffic *t,
                            const int count[ROLLOUT_SIDES]);
void rollout_traffic_sent(struct rollout_traffic *t, uint64_t route,
                          enum rollout_side side);
/** Counts a response. @param duration_us to the first byte for streams */
void rollout_traffic_ended(struct rollout_traffic *t, uint64_t route,
                           enum rollout_side side, bool failed,
                           int64_t duration_us);

#endif
