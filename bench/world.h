/**
 * @file world.h
 * Drives the real flow and control cores of several nodes in one process on
 * a virtual clock, with one small fake of each interface: endpoints, the
 * key-value service, links between nodes, and callers. Used by the load
 * experiments and by the stateful fuzzer. Everything is seeded, so a run
 * repeats exactly.
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
#define WORLD_NAME 32

/** Service-time model of one endpoint. Times are microseconds. */
struct world_endpoint_model {
    int slots;        /**< calls that run at once; the rest queue */
    int64_t base_us;  /**< per call */
    int64_t token_us; /**< per generated token */
    int cold_slots;   /**< calls that it bears while cold */
    int warm_after;   /**< answers until it is warm */
    double cold_slow; /**< service time factor while cold */
    bool resumes;     /**< continues a stream from resume_from */
};

/** One endpoint; fields below the model are its state. */
struct world_endpoint {
    char id[WORLD_NAME];
    char vm[WORLD_NAME];
    int pool;
    int zone;
    struct world_endpoint_model model;
    double slow; /**< injected slowness factor, 1 = none */
    bool dead;
    bool listed;
    bool leaving;
    int start_count; /**< part of the start id */
    bool cold;
    int answers; /**< since the start */
    int running;
    int queued;
    uint64_t silent_nodes; /**< bit n: open connections of node n hang */
    int64_t leaving_since;
    int64_t cold_since;
    /* observations */
    int64_t calls;
    int64_t busy_us;
    int64_t cold_overloads; /**< arrivals above cold_slots once known cold */
    int64_t crashes;
};

enum world_outcome {
    WORLD_PENDING,
    WORLD_ANSWERED,
    WORLD_REFUSED,
    WORLD_LOST, /**< the node died; the caller saw a broken connection */
    WORLD_GONE, /**< the caller went away */
};

/** One request of a caller and what became of it. */
struct world_request {
    int node;
    int pipeline;
    int team;
    uint64_t action;  /**< identity of the action; 0: none */
    uint64_t content; /**< the marker in the body */
    bool stream;
    int64_t sent_us;
    int64_t deadline_us; /**< absolute */
    enum world_outcome outcome;
    enum errkind error;
    int64_t done_us;
    int answers;   /**< answers and refusals delivered; more than 1 is wrong */
    bool at_drain; /**< open when its node's planned stop began */
    bool planned;  /**< WORLD_LOST: by a planned stop, not by a death */
    bool told;     /**< the final answer is on its way to the caller */
    bool wrong;    /**< answer is not whole or not its own */
    int tokens;    /**< streamed so far */
    int64_t first_token_us;
    bool claim_open_ran; /**< the action had run when a not_run came */
};

/** What a scenario may look at and switch. All are plain fields. */
struct world_knobs {
    double msg_loss;
    double msg_dup;
    int64_t msg_jitter_us;
    bool store_down;
    int64_t store_delay_us;
    double store_lose;             /**< share of writes whose answer is lost */
    uint64_t cut[WORLD_MAX_NODES]; /**< bit n: no messages to node n */
    uint64_t store_cut;            /**< bit n: node n has no store */
    double truncate;               /**< share of answers cut short */
    double cross; /**< share of answers sent to another attempt */
    double twice; /**< share of answers delivered twice */
    double late;  /**< share of answers delivered after a long delay */
};

/**
 * Broken variants, applied between the cores and the fakes, to show that
 * the checks notice each broken rule. Not part of the product.
 */
#define WORLD_MUTATION_LIST(X)                                                \
    X(NONE, "none")                                                           \
    X(GRANT_ALL, "grant_all")         /* every claim is granted: ONCE */      \
    X(DENY_RUN, "deny_run")           /* may_have_run told as not_run */      \
    X(CREDIT_ALL, "credit_all")       /* every credit is granted: COLD */     \
    X(KEEP_ZONE, "keep_zone")         /* zones taken out stay in: ZONE_OUT */ \
    X(KEEP_LEAVING, "keep_leaving")   /* leaving is not heard: LEAVING */     \
    X(SWAP_ANSWERS, "swap_answers")   /* no attempt check: ANSWER */          \
    X(REPLAY_ANSWER, "replay_answer") /* answers given twice: RESULT */       \
    X(CUT_DRAIN, "cut_drain")         /* a draining node just ends: DRAIN */  \
    X(REVERT, "revert")               /* an old configuration again: CONFIG */

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
    int64_t zone_us;    /**< one way between zones */
    int64_t client_us;  /**< one way to callers */
    const char *config; /**< JSON; zone, pool, pipeline order as written */
    int store_writes_per_s;
};

/** Seen by checks when an endpoint receives a call: for checks. */
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

/** Adds an endpoint before the start. @return its index */
int world_add_endpoint(struct world *w, const char *id, const char *vm,
                       const char *pool, const char *zone,
                       const struct world_endpoint_model *m);

/** Stores configuration and VM list, starts all nodes and runs until they
 * are ready, at most @p limit_us. @return false if they are not */
bool world_start(struct world *w, int64_t limit_us);

/** True if no request is open and no call or answer is on its way. */
bool world_quiet(const struct world *w);

/** Runs events until the virtual time is @p until_us. */
void world_run(struct world *w, int64_t until_us);
int64_t world_now(const struct world *w);
struct rng *world_rng(struct world *w);
struct world_knobs *world_knobs(struct world *w);

/** Sends a request to a node (-1: a ready node picked like a balancer).
 * @return its index, or -1 if no node was reachable */
int world_send(struct world *w, int node, const struct world_request *r,
               int64_t deadline_ms);
struct world_request *world_request(struct world *w, int i);
int world_request_count(const struct world *w);
void world_caller_gone(struct world *w, int request);

struct world_endpoint *world_endpoint(struct world *w, int i);
int world_endpoint_count(const struct world *w);
void world_kill_endpoint(struct world *w, int i, int64_t back_us);
void world_chill_endpoint(struct world *w, int i);
/** Publishes the VM list as it is in the endpoints' fields. */
void world_publish_vms(struct world *w);

void world_kill_node(struct world *w, int node, int64_t back_us);
void world_pause_node(struct world *w, int node, int64_t for_us);
/** Begins a graceful shutdown; the node goes when nothing is open. */
void world_drain_node(struct world *w, int node, int64_t back_us);
bool world_node_up(const struct world *w, int node);
bool world_node_ready(struct world *w, int node);
const struct control *world_control(const struct world *w, int node);

/** Sends an operator's edit. @return its index */
int world_edit(struct world *w, int node, const char *path,
               const char *value_json, const char *reason, const char *by,
               const char *change, int64_t base);
/** State of an edit: ERRKIND_COUNT while pending. */
enum errkind world_edit_result(const struct world *w, int edit,
                               int64_t *done_us, int64_t *revision);

/** Times the action ran on an endpoint. */
int world_action_runs(const struct world *w, uint64_t action);

/** Configuration revision in force on a node; 0 if none. */
int64_t world_node_revision(const struct world *w, int node);
/** True if the node's snapshot has this zone out of service. */
bool world_node_zone_out(const struct world *w, int node, int zone);
int64_t world_fresh_until(const struct world *w, int node);
const struct fleet *world_fleet(const struct world *w);

/** The store's value of a key; empty if absent. Borrowed. */
struct str world_store_value(const struct world *w, const char *key);
/** Since when the store has been reachable by all without a fault;
 * INT64_MAX while it is not. */
int64_t world_store_ok_since(struct world *w);

void world_on_call(struct world *w,
                   void (*fn)(void *ctx, const struct world_call_info *),
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
