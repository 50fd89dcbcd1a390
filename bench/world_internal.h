/**
 * @file world_internal.h
 * State shared by the parts of the world: the event heap, nodes, calls and
 * the fake store. Owned by struct world.
 */
#ifndef BENCH_WORLD_INTERNAL_H
#define BENCH_WORLD_INTERNAL_H

#include <glib.h>

#include "bench/world.h"

enum event_kind {
    EV_NODE_TICK,
    EV_NODE_START,
    EV_MSG,          /**< bytes arrive at a node */
    EV_STORE_EXEC,   /**< an operation reaches the store */
    EV_STORE_RESULT, /**< its result reaches the node */
    EV_STORE_EXPIRE, /**< a watch or an unanswered call times out */
    EV_CALL_ARRIVE,
    EV_CALL_TOKEN,
    EV_CALL_FINISH, /**< the endpoint has the whole answer */
    EV_CALL_DELIVER,
    EV_CALL_DEADLINE,
    EV_CRASH,
    EV_ENDPOINT_BACK,
    EV_PROBE,
    EV_REQUEST,
    EV_CALLER_DONE,
    EV_BALANCER,
    EV_DRAIN,
};

struct event {
    int64_t at;
    uint64_t seq;
    enum event_kind kind;
    int a;      /**< node, endpoint or request index */
    uint64_t b; /**< generation, call or operation number */
    void *data; /**< owned by the event; kind says what */
};

struct node {
    struct flow *flow;
    struct control *control;
    struct snapshot *snap;
    struct snapshot *first_snap; /**< for broken variants */
    bool up;
    bool draining;
    bool drain_begun;
    bool leave_begun; /**< after the last open request */
    bool was_drained; /**< the last stop was planned */
    bool left;
    bool balancer_ok;
    uint64_t gen; /**< incarnation; events of older ones are dropped */
    int64_t paused_until;
    int64_t tick_at;
    int64_t fresh_until;
    int64_t back_us;
    struct ask **asks;
    int ask_count;
    struct reply **replies;
    int reply_count;
    GHashTable *attempts; /**< attempt to call number */
};

enum call_state { CALL_FLYING, CALL_QUEUED, CALL_RUNNING, CALL_OVER };

struct call {
    enum call_state state;
    int node;
    uint64_t gen;
    uint64_t attempt;
    int endpoint;
    int start; /**< endpoint start it runs on */
    int stage;
    enum stage_kind kind;
    uint64_t request;
    uint64_t content;
    uint64_t action;
    bool crashes;
    bool fresh;
    bool cancelled; /**< the node no longer waits */
    bool delivered;
    int resume_from;
    int tokens;
    int64_t deadline_us;
    uint64_t next; /**< in the endpoint's queue, NO_CALL at the end */
};

#define NO_CALL UINT64_MAX

struct store_entry {
    struct str key;
    struct str value;
    int64_t revision;
};

struct store_call {
    struct store_op op; /**< key and value are owned */
    int node;
    uint64_t gen;
    bool over;
    bool waiting; /**< a watch */
};

struct edit {
    enum errkind result; /**< ERRKIND_COUNT: pending */
    int64_t done_us;
    int64_t revision;
};

struct delivery {
    struct flow_event ev; /**< call_token, call_done or call_failed */
    struct str text;      /**< owned */
    char start_id[WORLD_NAME + 16];
};

struct world {
    struct world_options opt;
    struct rng rng;
    struct world_knobs knobs;
    int64_t now;
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
    int64_t store_bad_at; /**< last time that a store fault was on */
    struct store_call **store_calls;
    uint64_t store_call_count;
    struct edit *edits;
    int edit_count;
    int *action_runs;
    uint64_t action_cap;
    struct world_totals totals;
    void (*on_call)(void *ctx, const struct world_call_info *info);
    void *on_call_ctx;
};

void world_push(struct world *w, int64_t at, enum event_kind kind, int a,
                uint64_t b, void *data);
int64_t world_one_way(const struct world *w, int zone_a, int zone_b);
int world_node_zone(const struct world *w, int node);
bool world_node_paused(struct world *w, int node);

/* nodes: world_node.c */
void node_start(struct world *w, int n);
/** Ends the process. @p planned: it was asked to leave and has left. */
void node_stop(struct world *w, int n, bool planned);
void node_event(struct world *w, const struct event *e);
void node_flow(struct world *w, int n, const struct flow_event *ev);
void node_control(struct world *w, int n, const struct control_event *ev);

/* endpoints: world_endpoint.c */
void endpoint_event(struct world *w, const struct event *e);
void endpoint_call(struct world *w, int n, const struct flow_action *a);
void endpoint_cancel(struct world *w, int n, uint64_t attempt);
void endpoint_probe(struct world *w, int n, struct str id);
void endpoint_drop_node(struct world *w, int n);

/* store: world_store.c */
void store_event(struct world *w, const struct event *e);
void store_submit(struct world *w, int n, const struct store_op *op);
void store_put(struct world *w, const char *key, struct str value);
void store_free_all(struct world *w);

#endif
