/**
 * @file rig_platform.h
 * A small deployment on loopback: a stand-in for the store, servers of a plain
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

struct rig_process {
    pid_t pid; /**< 0: not running */
    int port;
    char log[96];
};

/** An action request and the status that its caller received. */
struct rig_action {
    char id[24];
    int status;
};

struct platform_rig {
    char dir[64];
    struct rig_process store;
    struct rig_process servers[PR_SERVERS]; /**< 0, 1: desk; 2, 3: pool;
                                                4, 5: ledger */
    struct rig_process nodes[PR_NODES];
    int ready_port[PR_NODES];
    int link_port[PR_NODES];
    int store_port; /**< that nodes use; may be the port of a proxy */
    int version;
    /** Settings of the nodes; set before they start. */
    int repeat_slack;
    bool decides_rollouts;            /**< the bounds of roll-outs are set */
    const char *versions[PR_SERVERS]; /**< of the servers' records; NULL:
                                         none */
    int stop_limit_s;
    int stop_balancer_ms;
    const char *node_settings; /**< TOML text appended to the settings of the
                                    nodes; NULL: none */
    int plain_timeout_ms;      /**< of the routes of the plain service, for
                                    configurations written later */
    int filler_routes;         /**< that no request uses, in configurations
                                    written later */
    GMutex lock;
    GPtrArray *actions; /**< struct rig_action, all action requests */
};

/** Starts all processes and waits until the nodes are ready. */
void platform_rig_open(struct platform_rig *r);
/** Starts the store and the servers, without the servers' records and without
 * nodes. Sets the settings of the nodes to their defaults. */
void platform_rig_open_without_nodes(struct platform_rig *r);
void platform_rig_start_nodes(struct platform_rig *r);
void platform_rig_close(struct platform_rig *r);
void platform_rig_start_node(struct platform_rig *r, int i);
/** Waits until the readiness path of node @p i returns this status. */
void platform_rig_wait_readiness(struct platform_rig *r, int i, int status);
/** Writes an item of the store, as the operator or a server would; @p text
 * NULL removes it. */
void platform_rig_put(const struct platform_rig *r, const char *key,
                      const char *text);
/** Reads an item of the store into @p out. @return false if there is none */
bool platform_rig_get(const struct platform_rig *r, const char *key,
                      struct buf *out);
/** Writes a configuration with these credentials (JSON strings). */
void platform_rig_set_credentials(struct platform_rig *r, const char *keys);
/** Writes a configuration whose list of teams is empty. */
void platform_rig_remove_teams(struct platform_rig *r);
/** Writes the record of a server; @p state NULL removes it. */
void platform_rig_set_server_state(struct platform_rig *r, int server,
                                   const char *state);
/** As platform_rig_set_server_state, with another port. */
void platform_rig_register_server_at(struct platform_rig *r, int server,
                                     const char *state, int port);
/** Queries the servers which actions ran.
 * @return the number of actions that ran more than once, or ran although the
 * caller's status said that they had not */
int platform_rig_count_violations(struct platform_rig *r);
/** Asks the servers how often they have run a request. */
int platform_rig_count_runs(const struct platform_rig *r, const char *id);
/** Writes the records of all servers. */
void platform_rig_register_servers(struct platform_rig *r);
/** @return one number of a server's statistics */
long platform_rig_server_stat(const struct platform_rig *r, int server,
                              const char *name);
/** Waits for the end of a server and starts it again. */
void platform_rig_restart_server(struct platform_rig *r, int server);
/** Posts a JSON object to /control of the process at @p port. */
void platform_rig_post_control(const struct platform_rig *r, int port,
                               const char *json);
/** Returns the number of nodes whose process has ended by itself. */
int platform_rig_count_ended_nodes(const struct platform_rig *r);
/** Sends a request to a node.
 * @return the status, 0 without a complete response */
int platform_rig_send_request(struct platform_rig *r, int node,
                              const char *host, const char *headers,
                              struct buf *response);

#endif
