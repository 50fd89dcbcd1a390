/**
 * @file shared.h
 * State that the threads of the daemon share: constants that are set before
 * the threads start, and a few atomics. All other data passes through
 * bridges.
 */
#ifndef DAEMON_SHARED_H
#define DAEMON_SHARED_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/str.h"
#include "settings/settings.h"

enum daemon_phase {
    PHASE_RUNNING,
    PHASE_NOT_READY, /**< readiness checks fail, requests are still served */
    PHASE_DRAINING,  /**< new requests are refused, open ones finish */
    PHASE_LEAVING_FLEET, /**< the node leaves the fleet */
    PHASE_STOPPING,      /**< threads end */
};

struct daemon_shared {
    const struct settings *settings;
    uint64_t node;
    uint64_t incarnation;
    uint64_t seed;
    struct str tls_cert; /**< PEM text, empty without TLS */
    struct str tls_key;
    _Atomic int phase;
    /** When the control core last reported that the node is ready; monotonic
     * microseconds, 0: the node is not ready. */
    _Atomic int64_t ready_us;
    _Atomic int drained_threads; /**< traffic threads without open requests */
    _Atomic int left_fleet;      /**< 1: the node has left the fleet */
};

#endif
