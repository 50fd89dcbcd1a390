/**
 * @file stop.h
 * Requests of a node that is being stopped: which are taken, and how those
 * that are still open end. Times are microseconds of the core's clock.
 */
#ifndef FORWARD_STOP_H
#define FORWARD_STOP_H

#include <stdbool.h>
#include <stdint.h>

/** Reason of a refusal. */
#define STOP_REFUSAL "the node is stopping"

struct forward;
struct request;

/** Usual time from the last send of a route's requests to their end. */
struct call_duration {
    double mean_us;
    double deviation_us; /**< mean distance from the mean */
    int count;
};

void call_duration_add(struct call_duration *d, int64_t us);

/** What decides whether a request may be sent before the node stops. */
struct stop_query {
    int64_t send_us;     /**< expected time of the send */
    int64_t deadline_us; /**< the request ends by then in any case */
    bool repeatable;     /**< the caller may send it again elsewhere */
    /** Of its route; NULL: none has ended yet. */
    const struct call_duration *duration;
};

/** Returns whether a request usually ends before @p finish_by_us. */
bool stop_can_finish(int64_t finish_by_us, const struct stop_query *q);

/**
 * Starts a stop. Requests that arrive later than @p accept_until_us are
 * refused, and so are those that would not end before @p finish_by_us.
 */
void forward_begin_stop(struct forward *f, int64_t accept_until_us,
                        int64_t finish_by_us);

/** Ends all open requests with an answer: as not run if they were not passed
 * on, otherwise as failed. Answers that have begun are broken off. */
void forward_end_requests(struct forward *f, int64_t now_us);

/* Within the forwarding core: */

/** Returns whether the node stops before a request that is sent at
 * @p send_us could end. */
bool stop_refuses(const struct forward *f, const struct request *r,
                  int64_t send_us);
/** Refuses the waiting requests that can no longer end before the node stops.
 */
void stop_run(struct forward *f, int64_t now_us);
/** Records the duration of the last call of a request that was answered. */
void stop_record_call(struct forward *f, const struct request *r,
                      int64_t now_us);
void stop_free(struct forward *f);

#endif
