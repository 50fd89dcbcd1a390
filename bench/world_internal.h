/**
 * @file world_internal.h
 * State shared by the parts of the world: the event heap, nodes, calls and
 * the fake store. struct world owns all of it.
 */
#ifndef BENCH_WORLD_INTERNAL_H
#define BENCH_WORLD_INTERNAL_H

#include <glib.h>

#include "bench/world.h"

enum event_kind {
    EV_NODE_TICK,
    EV_NODE_START,
    EV_MESSAGE,       /**< a message arrives at a node */
    EV_STORE_EXEC,    /**< an operation reaches the store */
    EV_STORE_RESULT,  /**< the store's result reaches the node */
    EV_STORE_TIMEOUT, /**< a watch or an unanswered call times out */
    EV_CALL_ARRIVE,
    EV_CALL_TOKEN,
    EV_CALL_FINISH, /**< the endpoint has the whole answer */
    EV_CALL_DELIVER,
    EV_CALL_DEADLINE,
    EV_CRASH,
    EV_ENDPOINT_UP,
    EV_PROBE_RESULT,
    EV_REQUEST_ARRIVE,
    EV_CALLER_RECEIVE,
    EV_BALANCER_CHECK,
    EV_DRAIN_START,
};

struct event {
    int64_t at_us;
    uint64_t seq;
    enum event_kind kind;
    int index;   /**< of the node, endpoint or request */
    uint64_t id; /**< incarnation, call or operation number */
    void *data;  /**< owned by the event; its type depends on kind */
};

struct node {
    struct flow *flow;
    struct control *control;
    struct snapshot *snapshot;
    struct snapshot *first_snapshot; /**< used by some broken variants */
    bool up;
    bool draining;        /**< the balancer sends it no requests */
    bool drain_started;   /**< the flow core has begun to drain */
    bool leave_requested; /**< once no request was open any more */
    bool was_drained;     /**< the last stop was a graceful shutdown */
    bool leave_done;
    bool in_rotation;
    uint64_t incarnation; /**< events of older incarnations are dropped */
    int64_t paused_until_us;
    int64_t tick_at_us;
    int64_t fresh_deadline_us;
    int64_t restart_after_us;
    struct control_request **control_requests;
    int control_request_count;
    struct reply **control_replies;
    int control_reply_count;
    GHashTable *attempts; /**< attempt -> index in world.calls */
};

enum call_state { CALL_IN_TRANSIT, CALL_QUEUED, CALL_RUNNING, CALL_FINISHED };

struct call {
    enum call_state state;
    int node;
    uint64_t incarnation;
    uint64_t attempt;
    int endpoint;
    int endpoint_start; /**< start_count of the endpoint at the start */
    int stage;
    enum stage_kind kind;
    uint64_t request;
    uint64_t content;
    uint64_t action;
    bool crashes_endpoint;
    bool new_connection;
    bool cancelled; /**< the node no longer waits for the answer */
    bool delivered;
    int resume_from;
    int tokens;
    int64_t deadline_us;
    uint64_t next_queued; /**< next call in the endpoint's queue; NO_CALL at
                             the end */
};

#define NO_CALL UINT64_MAX

struct store_entry {
    struct str key;
    struct str value;
    int64_t revision;
};

struct store_call {
    struct store_op op; /**< owns its key and value */
    int node;
    uint64_t incarnation;
    bool finished;
    bool watching; /**< a watch that has not ended */
};

struct edit {
    enum errkind result; /**< ERRKIND_COUNT while pending */
    int64_t done_us;
    int64_t revision;
};

struct delivery {
    struct flow_event ev; /**< call_token, call_done or call_failed */
    struct str text;      /**< owned */
    char start_id[WORLD_NAME_BYTES + 16];
};

struct world {
    struct world_options options;
    struct rng rng;
    struct world_faults faults;
    int64_t now_us;
    struct event *heap;
    size_t heap_count, heap_cap;
    uint64_t seq;
    struct fleet *fleet;
    struct node nodes[WORLD_MAX_NODES];
    struct world_endpoint endpoints[WORLD_MAX_ENDPOINTS];
    int endpoint_count;
    uint64_t queue_head[WORLD_MAX_ENDPOINTS];
    uint64_t queue_tail[WORLD_MAX_ENDPOINTS];
    struct call *calls;
    uint64_t call_count, call_cap;
    struct world_request *requests;
    int request_count, request_cap;
    struct store_entry *store;
    int store_count;
    int64_t store_revision;
    int64_t last_store_fault_us; /**< last time at which a store fault was
                                    active */
    struct store_call **store_calls;
    uint64_t store_call_count;
    struct edit *edits;
    int edit_count;
    int *action_runs;
    uint64_t action_cap;
    struct world_totals totals;
    void (*call_observer)(void *ctx, const struct world_call_info *info);
    void *call_observer_ctx;
};

void world_schedule_event(struct world *w, int64_t at_us, enum event_kind kind,
                          int index, uint64_t id, void *data);
int64_t world_one_way_us(const struct world *w, int zone_a, int zone_b);
int world_node_zone(const struct world *w, int node);
bool world_node_paused(struct world *w, int node);

/* Nodes, in world_node.c. */
void node_start(struct world *w, int n);
/** Ends the process of a node. @param graceful_stop it ends after a graceful
 * shutdown rather than a crash */
void node_stop(struct world *w, int n, bool graceful_stop);
void node_handle_event(struct world *w, const struct event *e);
void node_handle_flow_event(struct world *w, int n,
                            const struct flow_event *ev);
void node_handle_control_event(struct world *w, int n,
                               const struct control_event *ev);

/* Endpoints, in world_endpoint.c. */
void endpoint_handle_event(struct world *w, const struct event *e);
void endpoint_start_call(struct world *w, int n, const struct flow_action *a);
void endpoint_cancel_call(struct world *w, int n, uint64_t attempt);
void endpoint_start_probe(struct world *w, int n, struct str id);
void endpoint_cancel_node_calls(struct world *w, int n);

/* The store, in world_store.c. */
void store_handle_event(struct world *w, const struct event *e);
void store_submit(struct world *w, int n, const struct store_op *op);
void store_put(struct world *w, const char *key, struct str value);
void store_free(struct world *w);

#endif
