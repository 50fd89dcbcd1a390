/**
 * @file traffic.h
 * A traffic thread runs an HTTP server, an HTTP client, a flow core and its
 * trace ring on one epoll loop. It passes events to the core and performs the
 * core's actions.
 */
#ifndef DAEMON_TRAFFIC_H
#define DAEMON_TRAFFIC_H

#include "base/err.h"
#include "daemon/bridge.h"
#include "daemon/shared.h"

struct traffic;

struct traffic_options {
    struct daemon_shared *shared;
    int thread;
    int port;                  /**< 0: chosen by the system */
    struct bridge *to_control; /**< borrowed */
    struct bridge *from_control;
};

/** Opens the listening socket; the thread does not run yet. */
enum status traffic_new(const struct traffic_options *opts,
                        struct traffic **out);
int traffic_port(const struct traffic *t);
enum status traffic_start(struct traffic *t);
/** Waits for the thread to end, after PHASE_STOPPING. */
void traffic_join(struct traffic *t);
void traffic_free(struct traffic *t);

#endif
