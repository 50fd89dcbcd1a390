/**
 * @file proc.h
 * Child processes, a blocking HTTP client, and a small fleet on loopback for
 * tests and benches: key-value service, an engine, a service and nodes.
 */
#ifndef TESTS_PROC_H
#define TESTS_PROC_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "base/str.h"

/**
 * Starts a program of $CF_BUILD_DIR; its output goes to @p log.
 * @param args NULL-terminated, without the program
 */
pid_t proc_start(const char *program, const char *const *args,
                 const char *log);
/** Returns a port on which nothing listens now. */
int rig_find_free_port(void);
/** Sends a signal (0: none) and waits for the end of the process.
 * @return exit code, or the negated number of the signal that ended it */
int proc_signal_and_wait(pid_t pid, int sig);
/** Returns the processor time of a process so far, in microseconds. */
int64_t proc_cpu_us(pid_t pid);
/** Waits until @p log has a whole line with @p key; returns the number after
 * the key. Exits the program after 20 s. */
long proc_wait_log_number(const char *log, const char *key);

/** Finds the status and the body of a response.
 * @param closed the connection has ended, which ends a body without framing
 * @param body its offset in @p in
 * @return whether the response is complete */
bool proc_parse_response(const struct buf *in, bool closed, int *status,
                         size_t *body);

/** Sends one request on a new connection. @p headers are whole lines with
 * CR LF, or "". @p answer gets the response body; may be NULL.
 * @return HTTP status, 0 if there is no complete response */
int proc_http_request(int port, const char *method, const char *path,
                      const char *headers, struct str body,
                      struct buf *answer);

#define RIG_NODES 5
#define RIG_ENDPOINTS_MAX 12
#define RIG_TEAM_HEADER "Authorization: Bearer team-token\r\n"
#define RIG_OTHER_TEAM_HEADER "Authorization: Bearer other-token\r\n"
#define RIG_OPERATOR_HEADER "Authorization: Bearer operator-token\r\n"
#define RIG_VIEWER_HEADER "Authorization: Bearer viewer-token\r\n"

struct rig {
    char dir[64];
    pid_t kv;
    pid_t engine;
    pid_t service;
    int kv_port;
    int engine_port;
    int service_port;
    struct rig_node {
        pid_t pid;        /**< 0: not running */
        _Atomic int port; /**< load threads read it while a node restarts */
        int link_port;
        int starts;
        char log[96];     /**< of the latest start */
        const char *zone; /**< NULL: "okha" */
    } nodes[RIG_NODES];
    struct rig_endpoint {
        char id[16];
        const char *program;
        const char *pool;
        const char *zone;
        const char *const *args; /**< NULL-terminated */
        bool leaving;            /**< its VM is listed as leaving */
        pid_t pid;               /**< 0: not running */
        int port;                /**< stays the same over restarts */
    } endpoints[RIG_ENDPOINTS_MAX];
    int endpoint_count;
};

/** Starts the fakes and stores the VM list; @p engine_args may be NULL. */
void rig_open(struct rig *r, const char *const *engine_args);
/** Starts the key-value service only; tests/rig_fleet.h adds endpoints. */
void rig_open_store_only(struct rig *r);
/** Starts node @p i; @p toml is appended to its settings file. */
void rig_start_node(struct rig *r, int i, const char *toml);
/** Applies the configuration on node 0 and retries until it is confirmed. */
void rig_configure(struct rig *r);
/** Stores @p bytes under @p key in the key-value service. */
void rig_put_key(struct rig *r, const char *key, struct str bytes);
/** Waits until /readyz of node @p i returns this HTTP status. */
void rig_wait_ready(struct rig *r, int i, int status);
/** Kills all processes of the rig by their ids and removes its folder. */
void rig_close(struct rig *r);

#endif
