/**
 * @file gateway_stop.h
 * Decides when a node that is being stopped takes requests, ends those that
 * are still open, and exits. Has no side effects. Times are microseconds of
 * any one clock.
 */
#ifndef DAEMON_GATEWAY_STOP_H
#define DAEMON_GATEWAY_STOP_H

#include <stdbool.h>
#include <stdint.h>

enum gateway_phase {
    GATEWAY_RUNNING,
    GATEWAY_NOT_READY, /**< readiness checks fail, new callers are still
                            served */
    GATEWAY_DRAINING,  /**< no new requests; connections close when idle */
    GATEWAY_FINISHING, /**< open requests are ended with an answer */
    GATEWAY_STOPPING,  /**< threads end */
};

struct gateway_stop_plan {
    int64_t accept_until_us; /**< end of GATEWAY_NOT_READY */
    int64_t finish_by_us;    /**< latest start of GATEWAY_FINISHING */
    int64_t exit_by_us;      /**< latest start of GATEWAY_STOPPING */
};

/** What the node's threads report. */
struct gateway_stop_report {
    enum gateway_phase applied; /**< phase that the traffic thread has acted
                                     on */
    int open_requests; /**< received requests whose answer is not yet sent
                            completely; as of that phase */
    int receiving;     /**< requests that are not yet received completely; as
                            above */
    bool deregistered; /**< the registration has ended */
};

struct gateway_stop {
    struct gateway_stop_plan plan;
    enum gateway_phase phase;
    int64_t flushed_us; /**< end of the time to send the last answers */
};

/**
 * Starts a stop.
 * @param limit_us from @p now_us until the process would be killed
 * @param balancer_us until the load balancer sends no more callers
 */
void gateway_stop_begin(struct gateway_stop *s, int64_t now_us,
                        int64_t limit_us, int64_t balancer_us);

/** Moves on to the phase that is due. @return the phase */
enum gateway_phase gateway_stop_advance(struct gateway_stop *s, int64_t now_us,
                                        const struct gateway_stop_report *r);

#endif
