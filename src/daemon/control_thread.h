/**
 * @file control_thread.h
 * The control thread: control core, store client and link on one epoll loop,
 * connected to the traffic threads by bridges.
 */
#ifndef DAEMON_CONTROL_THREAD_H
#define DAEMON_CONTROL_THREAD_H

#include "base/err.h"
#include "daemon/bridge.h"
#include "daemon/shared.h"

struct control_thread;

struct control_thread_options {
    struct shared *shared;
    int threads;                  /**< traffic threads */
    struct bridge **to_traffic;   /**< borrowed, one per traffic thread */
    struct bridge **from_traffic; /**< borrowed */
    struct bridge *wake; /**< from main: only its descriptor is used */
};

enum status control_thread_new(const struct control_thread_options *opts,
                               struct control_thread **out);
enum status control_thread_start(struct control_thread *c);
/** Waits for the thread to end, after PHASE_STOPPING. */
void control_thread_join(struct control_thread *c);
void control_thread_free(struct control_thread *c);

#endif
