/**
 * @file shared.h
 * What the threads of the daemon share: constants set before they start and
 * a few atomics. Everything else passes through bridges.
 */
#ifndef DAEMON_SHARED_H
#define DAEMON_SHARED_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/str.h"
#include "settings/settings.h"

enum daemon_phase {
    PHASE_RUNNING,
    PHASE_LEAVING,  /**< readiness fails, requests are still served */
    PHASE_DRAINING, /**< new requests are refused, open ones finish */
    PHASE_HANDOVER, /**< the node leaves the fleet */
    PHASE_STOPPING, /**< threads end */
};

struct shared {
    const struct settings *settings;
    uint64_t node;
    uint64_t incarnation;
    uint64_t seed;
    struct str tls_cert; /**< PEM text, empty without TLS */
    struct str tls_key;
    _Atomic int phase;
    /** When the control core last said that the node is ready; monotonic
     * microseconds, 0: never. */
    _Atomic int64_t ready_us;
    _Atomic int drained; /**< traffic threads without open requests */
    _Atomic int left;    /**< 1: the graceful leave is complete */
};

#endif
