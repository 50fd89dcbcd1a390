/**
 * @file rig_platform.h
 * A small deployment on loopback: the store's stand-in, servers of a plain
 * service, of an engine and of a stage, and forwarding nodes.
 */
#ifndef TESTS_PLATFORM_RIG_PLATFORM_H
#define TESTS_PLATFORM_RIG_PLATFORM_H

#include <glib.h>
#include <sys/types.h>

#include "base/str.h"

#define PR_NODES 3
#define PR_SERVERS 6
#define PR_KEY "Camphorfall-Key: key-1\r\n"

struct pr_process {
    pid_t pid; /**< 0: not running */
    int port;
    char log[96];
};

/** An action as its caller saw it. */
struct pr_action {
    char id[24];
    int status;
};

struct platform_rig {
    char dir[64];
    struct pr_process store;
    struct pr_process servers[PR_SERVERS]; /**< 0, 1: desk; 2, 3: pool;
                                                4, 5: ledger */
    struct pr_process nodes[PR_NODES];
    int ready_port[PR_NODES];
    int link_port[PR_NODES];
    int store_port; /**< that nodes use; a proxy may stand before the store */
    int version;
    int repeat_slack; /**< of the nodes' settings; set before they start */
    GMutex lock;
    GPtrArray *actions; /**< struct pr_action, all that were asked */
};

/** Starts everything and waits until the nodes are ready. */
void platform_rig_open(struct platform_rig *r);
/** As platform_rig_open, without the nodes and their records. */
void platform_rig_open_stopped(struct platform_rig *r);
void platform_rig_start_nodes(struct platform_rig *r);
void platform_rig_close(struct platform_rig *r);
void platform_rig_node_start(struct platform_rig *r, int i);
/** Waits until the readiness of node @p i has this status. */
void platform_rig_wait_ready(struct platform_rig *r, int i, int status);
/** Writes a configuration with these credentials (JSON strings). */
void platform_rig_configure(struct platform_rig *r, const char *keys);
/** Writes or removes the record of a server. */
void platform_rig_record(struct platform_rig *r, int server,
                         const char *state);
/** As platform_rig_record, with another port. */
void platform_rig_record_at(struct platform_rig *r, int server,
                            const char *state, int port);
/** Asks the servers which actions ran. @return the number of those that ran
 * more than once, or ran though they were refused as not run */
int platform_rig_untrue(struct platform_rig *r);
/** One number of a server's statistics. */
long platform_rig_stat(const struct platform_rig *r, int server,
                       const char *name);
void platform_rig_control(const struct platform_rig *r, int port,
                          const char *json);
/** A request to a node. @return the status, 0 without a whole answer */
int platform_rig_ask(struct platform_rig *r, int node, const char *host,
                     const char *headers, struct buf *answer);

#endif
