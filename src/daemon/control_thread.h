/**
 * @file control_thread.h
 * The control thread runs the control core, the store client and the link to
 * other nodes on one epoll loop. Bridges connect it to the traffic threads.
 */
#ifndef DAEMON_CONTROL_THREAD_H
#define DAEMON_CONTROL_THREAD_H

#include "base/err.h"
#include "daemon/bridge.h"
#include "daemon/shared.h"

struct control_thread;

struct control_thread_options {
    struct daemon_shared *shared;
    int threads;                  /**< number of traffic threads */
    struct bridge **to_traffic;   /**< borrowed, one per traffic thread */
    struct bridge **from_traffic; /**< borrowed */
    /** Borrowed; main wakes the thread with it and sends no messages. */
    struct bridge *wake;
};

enum status control_thread_new(const struct control_thread_options *opts,
                               struct control_thread **out);
enum status control_thread_start(struct control_thread *c);
/** Waits for the thread to end, after PHASE_STOPPING. */
void control_thread_join(struct control_thread *c);
void control_thread_free(struct control_thread *c);

#endif
