/**
 * @file deployment.h
 * A small deployment on loopback for the scripts of the review: the project's
 * stand-in for the store behind a proxy, servers of one plain service, and
 * nodes that are started with the command of the deploy file.
 */
#ifndef REVIEW_DEPLOYMENT_H
#define REVIEW_DEPLOYMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include "tests/platform/proxy.h"

#define DEP_NODES 5
#define DEP_SERVERS 6
#define HEARTBEAT_MS 1200

struct dep_server {
    pid_t pid; /**< 0: not running */
    int port;
    int starts;
    char id[32];     /**< of the current start */
    bool registered; /**< has an entry that it renews */
    int64_t born_ms;
};

/** One request of a client and what became of it. */
struct sent_request {
    char id[24];
    char kind; /**< a: action, c: the request that is repeated */
    int node;
    int64_t sent_us;
    int64_t ended_us;
    int status; /**< 0: no whole answer */
};

/** One line of a server's log: a request that it began to run. */
struct run_line {
    int64_t at_us;
    int server;
    char id[24];
    bool answered;
};

struct deployment {
    char dir[64];
    FILE *record;
    pid_t store;
    int store_port;
    struct proxy *proxy; /**< between the nodes and the store */
    struct dep_server servers[DEP_SERVERS];
    int server_work_ms;
    bool server_crashes; /**< servers crash as they run a body "crash" */
    struct {
        pid_t pid;
        int port;
        int ready_port;
    } nodes[DEP_NODES];
    GMutex lock;
    GArray *requests; /**< struct sent_request */
    GThread *heartbeat;
    int stop;
    int next_id;
};

/** The monotonic clock, in microseconds; all processes share it. */
int64_t dep_now_us(void);
/** Starts everything and waits until all nodes are ready. Exits with 2 if that
 * fails. @p folder: where record.txt is written */
void dep_open(struct deployment *r, const char *folder, int work_ms,
              bool crashes);
/** Ends all processes and removes the temporary folder. */
void dep_close(struct deployment *r);
/** Appends a line to record.txt. */
void dep_record(struct deployment *r, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** Removes the entry of a server from the store.
 * @return when the store had acknowledged that */
int64_t dep_remove_entry(struct deployment *r, int server);
/** Writes the entry of a server, which is renewed from then on. */
void dep_write_entry(struct deployment *r, int server);
void dep_start_server(struct deployment *r, int server);
/** Ends a server's process. */
void dep_kill_server(struct deployment *r, int server);
/** Whether the process has ended by itself; it is reaped then. */
bool dep_server_ended(struct deployment *r, int server);
/** Sends a request and notes it. @return its status, 0 without an answer */
int dep_send(struct deployment *r, int node, char kind, const char *body);
/** Reads the logs of all servers. @return struct run_line, by time */
GArray *dep_runs(struct deployment *r);
/** Finds a noted request. @return NULL if there is none */
const struct sent_request *dep_find_request(struct deployment *r,
                                            const char *id);
/** Writes all requests and runs to record.txt. */
void dep_record_all(struct deployment *r, const GArray *runs, int64_t zero_us);
/** TROUBLE=0 in the environment: without the disruption. */
bool dep_has_trouble(void);

#endif
