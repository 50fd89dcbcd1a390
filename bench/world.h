/**
 * @file world.h
 * Simulation that runs the real flow and control cores of several nodes in
 * one process on a virtual clock, with a small fake of each interface:
 * endpoints, the key-value store, links between nodes, and callers. The load
 * experiments and the stateful fuzzer use it. All random choices come from
 * one seed, so a run repeats exactly.
 */
#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/errkind.h"
#include "base/rng.h"
#include "control/control.h"
#include "flow/flow.h"

#define WORLD_MAX_NODES 64
#define WORLD_MAX_ENDPOINTS 256
#define WORLD_NAME_BYTES 32

/** Service-time model of one endpoint. Times are microseconds. */
struct world_endpoint_model {
    int slots;              /**< calls that run at once; the rest queue */
    int64_t base_us;        /**< per call */
    int64_t token_us;       /**< per generated token */
    int cold_slots;         /**< calls that it can run while cold */
    int warm_after_answers; /**< answers after which it is warm */
    double cold_factor;     /**< factor on service times while cold */
    bool can_resume;        /**< can continue a stream from resume_from */
};

/** One endpoint: its model, then its state, then what was counted. */
struct world_endpoint {
    char id[WORLD_NAME_BYTES];
    char vm[WORLD_NAME_BYTES];
    int pool;
    int zone;
    struct world_endpoint_model model;
    double slow; /**< injected slowness factor, 1 = none */
    bool dead;
    bool listed;
    bool leaving;
    int start_count; /**< number of restarts; part of the start id */
    bool cold;
    int answers; /**< since its last start */
    int running;
    int queued;
    /** Bit n: calls on open connections of node n hang. */
    uint64_t hung_nodes;
    int64_t leaving_since_us;
    int64_t cold_since_us;
    /* Counted during the run. */
    int64_t calls;
    int64_t busy_us;
    int64_t cold_overloads; /**< arrivals above cold_slots while cold */
    int64_t crashes;
};

enum world_outcome {
    WORLD_PENDING,
    WORLD_ANSWERED,
    WORLD_REFUSED,
    WORLD_LOST, /**< the node ended; the caller saw a broken connection */
    WORLD_DISCONNECTED, /**< the caller closed its connection */
};

/** One request of a caller and its outcome. */
struct world_request {
    int node;
    int pipeline;
    int team;
    uint64_t action;  /**< id of the action; 0: none */
    uint64_t content; /**< number in the marker of the body */
    bool stream;
    int64_t sent_us;
    int64_t deadline_us; /**< absolute */
    enum world_outcome outcome;
    enum errkind error;
    int64_t done_us;
    int answers; /**< answers and refusals delivered; more than 1 is a fault */
    bool open_at_drain; /**< open when the graceful shutdown of its node began
                         */
    bool graceful_stop; /**< WORLD_LOST: by a graceful shutdown, not a crash */
    bool answer_sent;   /**< the final answer is on its way to the caller */
    bool wrong; /**< the answer is incomplete or that of another request */
    int tokens; /**< number streamed so far */
    int64_t first_token_us;
    bool ran_despite_not_run; /**< refused with not_run though its action had
                                 run */
};

/** Faults that a scenario or the fuzzer switches on while the world runs.
 * Shares and probabilities are from 0 to 1. */
struct world_faults {
    double message_loss;
    double message_duplication;
    int64_t message_jitter_us;
    bool store_down;
    int64_t store_delay_us;
    double store_result_loss;      /**< share of writes whose result is lost */
    uint64_t cut[WORLD_MAX_NODES]; /**< bit n: no messages to node n */
    uint64_t store_cut_nodes;      /**< bit n: node n can't reach the store */
    double truncated_share;        /**< share of answers that are truncated */
    double crossed_share;    /**< share of answers sent to another attempt */
    double duplicated_share; /**< share of answers delivered two times */
    double delayed_share; /**< share of answers delivered after a long delay */
};

/**
 * Deliberately broken variants for mutation tests: each is applied between
 * the cores and the fakes and breaks one rule, named in capitals, which the
 * checks must detect. Not part of the product.
 */
#define WORLD_MUTATION_LIST(X)                                                \
    X(NONE, "none")                                                           \
    X(GRANT_ALL, "grant_all")   /* every claim is granted: ONCE */            \
    X(DENY_RUN, "deny_run")     /* may_have_run reported as not_run */        \
    X(CREDIT_ALL, "credit_all") /* every credit is granted: COLD */           \
    X(KEEP_ZONE, "keep_zone")   /* zones out of service are used: ZONE_OUT */ \
    X(KEEP_LEAVING, "keep_leaving")   /* leaving is ignored: LEAVING */       \
    X(SWAP_ANSWERS, "swap_answers")   /* answers go to any attempt: ANSWER */ \
    X(REPLAY_ANSWER, "replay_answer") /* doubles each answer: RESULT */       \
    X(CUT_DRAIN, "cut_drain") /* a drain ends the node at once: DRAIN */      \
    X(REVERT, "revert")       /* goes back to an old configuration: CONFIG */

enum world_mutation {
#define X(id, name) WORLD_MUT_##id,
    WORLD_MUTATION_LIST(X)
#undef X
        WORLD_MUT_COUNT
};

struct world_options {
    uint64_t seed;
    enum world_mutation mutation;
    int nodes;
    enum flow_policy policy;
    int64_t zone_latency_us;   /**< one-way latency between zones */
    int64_t client_latency_us; /**< one-way latency to callers */
    const char *config; /**< JSON; indexes of zones, pools and pipelines follow
                         its order */
    int store_writes_per_s;
};

/** What a call observer learns when an endpoint receives a call. */
struct world_call_info {
    int64_t now_us;
    int node;
    int endpoint;
    int stage;
    uint64_t request; /**< index of the caller's request */
    uint64_t attempt;
    uint64_t action;
};

struct world;

struct world *world_new(const struct world_options *o);
void world_free(struct world *w);

/** Adds an endpoint before the nodes are started. @return its index */
int world_add_endpoint(struct world *w, const char *id, const char *vm,
                       const char *pool, const char *zone,
                       const struct world_endpoint_model *m);

/** Stores the configuration and the VM list, starts all nodes and runs until
 * they are ready or @p limit_us have passed. @return true if all are ready */
bool world_start_nodes(struct world *w, int64_t limit_us);

/** True if no request is open and no call or answer is on its way. */
bool world_is_idle(const struct world *w);

/** Runs events until the virtual time is @p until_us. */
void world_run_until(struct world *w, int64_t until_us);
int64_t world_now_us(const struct world *w);
struct rng *world_rng(struct world *w);
struct world_faults *world_faults(struct world *w);

/** Sends a request to a node (-1: a ready node picked as a load
 * balancer would do).
 * @return its index, or -1 if no node was ready */
int world_send_request(struct world *w, int node,
                       const struct world_request *r, int64_t deadline_ms);
struct world_request *world_request(struct world *w, int i);
int world_request_count(const struct world *w);
void world_disconnect_caller(struct world *w, int request);

struct world_endpoint *world_endpoint(struct world *w, int i);
int world_endpoint_count(const struct world *w);
/** Ends an endpoint; it accepts calls again after @p restart_after_us
 * (0: never). */
void world_kill_endpoint(struct world *w, int i, int64_t restart_after_us);
void world_restart_endpoint_cold(struct world *w, int i);
/** Writes the VM list, made from the fields of the endpoints, to the store. */
void world_publish_vms(struct world *w);

/** Ends a node without a shutdown; it is started again after
 * @p restart_after_us (0: never). */
void world_kill_node(struct world *w, int node, int64_t restart_after_us);
void world_pause_node(struct world *w, int node, int64_t duration_us);
/** Starts a graceful shutdown; the node ends when no request is open and is
 * started again after @p restart_after_us (0: never). */
void world_start_drain(struct world *w, int node, int64_t restart_after_us);
bool world_node_is_up(const struct world *w, int node);
bool world_node_is_ready(struct world *w, int node);
const struct control *world_control(const struct world *w, int node);

/** Sends an operator's edit of the configuration to a node. @return its
 * index */
int world_send_edit(struct world *w, int node, const char *path,
                    const char *value_json, const char *reason, const char *by,
                    const char *change, int64_t base);
/** State of an edit: ERRKIND_COUNT while pending. */
enum errkind world_edit_result(const struct world *w, int edit,
                               int64_t *done_us, int64_t *revision);

/** Number of times that an action ran on an endpoint. */
int world_action_runs(const struct world *w, uint64_t action);

/** Configuration revision in force on a node; 0 if none. */
int64_t world_node_revision(const struct world *w, int node);
/** True if the zone is out of service in the snapshot of the node. */
bool world_node_has_zone_out(const struct world *w, int node, int zone);
int64_t world_node_fresh_until_us(const struct world *w, int node);
const struct fleet *world_fleet(const struct world *w);

/** The store's value of a key; empty if absent. Borrowed. */
struct str world_store_value(const struct world *w, const char *key);
/** Time since which all nodes have reached the store without a fault;
 * INT64_MAX while a store fault is active. */
int64_t world_store_ok_since_us(struct world *w);

void world_set_call_observer(struct world *w,
                             void (*fn)(void *ctx,
                                        const struct world_call_info *),
                             void *ctx);

/** Totals since the start. */
struct world_totals {
    int64_t store_calls;
    int64_t store_writes;
    int64_t messages;
    int64_t message_bytes;
    int64_t calls;
};
struct world_totals world_totals(const struct world *w);

#endif
