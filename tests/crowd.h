/**
 * @file crowd.h
 * Many uncontrolled callers of one process on loopback, in one thread, and the
 * memory and descriptors that the process uses meanwhile.
 */
#ifndef TESTS_CROWD_H
#define TESTS_CROWD_H

#include <stdbool.h>
#include <sys/types.h>

#include "base/str.h"

#define CROWD_MAX_CALLERS 1024

/** What the callers of a crowd do. All send the same bytes. */
struct crowd_plan {
    int callers;
    struct str bytes;    /**< sent by each caller, which then keeps its
                              connection open */
    size_t turn_bytes;   /**< sent at most before the next caller's turn */
    bool many_addresses; /**< each caller has a loopback address of its own */
    int trickle_turns;   /**< after the bytes, each caller sends trickle that
                              many times */
    struct str trickle;  /**< bytes of each of these turns */
    int small_window;    /**< receive buffer in bytes; 0: the system's */
};

struct crowd {
    int count;
    int fds[CROWD_MAX_CALLERS]; /**< -1: closed */
    size_t sent[CROWD_MAX_CALLERS];
    pid_t pid;     /**< of the process that the callers connect to */
    int max_files; /**< most open descriptors of the process seen */
};

/** Connects the callers and sends their bytes until all are sent, their
 * connections are closed, or nothing could be sent for some seconds.
 * Returns when the process has read them or reads no further. */
void crowd_open(struct crowd *c, const struct crowd_plan *plan, pid_t pid,
                int port);
/** Waits @p wait_ms, counts descriptors and reads nothing. */
void crowd_sample(struct crowd *c, int wait_ms);
/** Closes the connections. */
void crowd_close(struct crowd *c);

/** @return open descriptors of a process */
int crowd_count_files(pid_t pid);
/** @return peak of the resident memory of a process in KiB */
long crowd_peak_kb(pid_t pid);

#endif
