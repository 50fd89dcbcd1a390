/**
 * @file gateway.h
 * A forwarding node has one control thread, which watches the platform's store
 * and serves readiness and metrics, and one traffic thread, which forwards
 * requests.
 */
#ifndef DAEMON_GATEWAY_H
#define DAEMON_GATEWAY_H

#include <stdatomic.h>

#include "base/err.h"
#include "daemon/bridge.h"
#include "daemon/gateway_stop.h"
#include "edge/caller_budget.h"
#include "settings/fields.h"
#include "settings/gateway_settings.h"

/** State that the threads share besides the bridges. Times are microseconds
 * of gateway_now_us. */
struct gateway_shared {
    const struct gateway_settings *settings;
    const char *settings_path;
    uint64_t seed;
    char link_public[41]; /**< key pair of this process, Z85 */
    char link_secret[41];
    _Atomic int phase;             /**< enum gateway_phase */
    struct gateway_stop_plan stop; /**< set before the phase first changes */
    _Atomic int reload;            /**< 1: read the settings again */
    _Atomic int64_t store_contact_us; /**< see feed_contact_us */
    _Atomic int accepts_requests;     /**< set by the traffic thread */
    /** Last iteration of the traffic thread's loop. */
    _Atomic int64_t last_turn_us;
    _Atomic int open_requests; /**< callers' requests that were received
                                    completely and have not ended */
    _Atomic int receiving;     /**< while the node drains: requests that are
                                    not received completely */
    _Atomic int applied_phase; /**< phase that the traffic thread has acted on;
                                    open_requests is not older */
    _Atomic int deregistered;  /**< the registration has ended */
};

/** Monotonic microseconds, which also advance while the machine is
 * suspended. */
int64_t gateway_now_us(void);
/** Converts a time of gateway_now_us to the loop's clock. */
int64_t gateway_to_loop_time(int64_t at_us);
/** Returns the options of the forwarding core for these settings. */
struct forward_options
gateway_forward_options(const struct gateway_settings *s, uint64_t seed);
/** Returns the shares of memory and descriptors for callers. */
struct caller_budget gateway_caller_budget(const struct gateway_settings *s);

struct gateway_control;
enum status gateway_control_start(struct gateway_shared *shared,
                                  struct bridge *to_traffic,
                                  struct bridge *from_traffic,
                                  struct bridge *wake,
                                  struct gateway_control **out);
void gateway_control_join(struct gateway_control *c);

struct gateway_traffic;
enum status gateway_traffic_start(struct gateway_shared *shared,
                                  struct bridge *from_control,
                                  struct bridge *to_control,
                                  struct gateway_traffic **out);
void gateway_traffic_join(struct gateway_traffic *t);

#endif
