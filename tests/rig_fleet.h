/**
 * @file rig_fleet.h
 * Fleets with several endpoints in several zones, concurrent load and the
 * outcome of each request, built on tests/proc.h. Pools: enc (engines), gen
 * (engines), led (services).
 */
#ifndef TESTS_RIG_FLEET_H
#define TESTS_RIG_FLEET_H

#include <glib.h>
#include <jansson.h>

#include "tests/proc.h"

/** A wait for an event that lasts longer aborts the program. */
#define WAIT_LIMIT_US (30 * G_USEC_PER_SEC)
/** Number of actions that fleet_start_with_service sends. */
#define FLEET_WARM_UP_ACTIONS 40
/** Evaluates @p condition until it is true; aborts after WAIT_LIMIT_US. */
#define WAIT_FOR(condition)                                                   \
    do {                                                                      \
        gint64 guard_ = g_get_monotonic_time() + WAIT_LIMIT_US;               \
        while (!(condition)) {                                                \
            if (g_get_monotonic_time() > guard_) {                            \
                g_error("%s:%d: not seen: %s", __FILE__, __LINE__,            \
                        #condition);                                          \
            }                                                                 \
            g_usleep(2000);                                                   \
        }                                                                     \
    } while (0)

/** Adds an endpoint and starts it. */
struct rig_endpoint *fleet_add_endpoint(struct rig *r, const char *program,
                                        const char *pool, const char *zone,
                                        const char *const *args);
/** Starts an endpoint that is not running, on its former port. */
void fleet_start_endpoint(struct rig *r, struct rig_endpoint *e);
/** Stores the VM list: one VM for each endpoint. */
void fleet_put_vms(struct rig *r);
/** Starts @p n nodes, applies the configuration and waits until all are
 * ready and each reports all others as alive. */
void fleet_start_nodes(struct rig *r, int n, const char *toml);
/** Starts a fleet with one service and sends actions until it is warm. */
void fleet_start_with_service(struct rig *r, int nodes);
/** Starts node @p i with all other running nodes as peers. */
void fleet_start_node(struct rig *r, int i, const char *toml);
/** Kills node @p i. */
void fleet_kill_node(struct rig *r, int i);
/** Counts the nodes that node @p i reports as alive, itself included; -1: no
 * response. */
int fleet_count_alive(struct rig *r, int i);

/** Returns the number after @p key in /admin/status of node @p i; -1: none. */
int64_t fleet_status_number(struct rig *r, int i, const char *key);
/** Starts the command line tool as operator with the URLs of @p nodes nodes,
 * beginning with node @p first; proc_signal_and_wait returns its exit code. */
pid_t fleet_start_cli(struct rig *r, int first, int nodes,
                      const char *const *command);

/** POSTs to /control of a fake. */
void fake_send_control(int port, const char *json);
/** Returns a number of /control/stats of a fake; -1: no response. */
int64_t fake_get_stat(int port, const char *name);
/** Returns how often the service recorded an action. */
int64_t fake_count_action(int port, const char *action);
/** Returns the number of records by action; owned (json_decref). */
json_t *fake_get_actions(int port);
/** Waits until the service has no requests in flight. */
void fake_wait_idle(int port);

/** The outcome of one request. */
struct outcome {
    char name[24]; /**< prompt, or idempotency key and action id */
    int node;
    int status;    /**< HTTP; 0: no complete response */
    char kind[32]; /**< error kind of a refusal */
    char ran[16];  /**< "ran" of a refusal */
    bool correct;  /**< a complete response that belongs to this request */
    bool replayed;
};

/** Aborts the program if the response to an action contradicts the number of
 * times that the service recorded the action. */
void outcome_check(const struct outcome *o, int64_t recorded);

/** Sends an action with @p name as idempotency key and action id. */
struct outcome send_order(struct rig *r, int node, const char *name,
                          int deadline_ms);
/** Sends an embedding request for the input @p name and compares the vector of
 * the response. */
struct outcome send_embed(struct rig *r, int node, const char *name,
                          int deadline_ms);
/** Streams a completion for the prompt @p name. The outcome is correct if the
 * stream has all its tokens without a gap or a repeat, and a done event. */
struct outcome send_stream(struct rig *r, int node, const char *name,
                           int deadline_ms);

/** Threads that send requests until they are stopped. */
struct load;
struct load *load_start(struct rig *r,
                        struct outcome (*send_request)(struct rig *, int,
                                                       const char *, int),
                        int callers, int nodes, int deadline_ms);
/** Returns the number of outcomes so far. */
int load_count_outcomes(struct load *l);
/** Returns the number of correct outcomes so far. */
int load_count_correct(struct load *l);
/** Waits for @p n more correct outcomes. */
void load_wait_answers(struct load *l, int n);
/** Waits until all requests that were started before the call have ended. */
void load_wait_round(struct load *l);
/** Requests /readyz before each request and skips nodes that are not ready. */
void load_skip_unready(struct load *l);
/** Stops the threads. @return array of struct outcome, owned */
GArray *load_stop(struct load *l);

#endif
