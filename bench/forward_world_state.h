/**
 * @file forward_world_state.h
 * State of a forward_world, private to forward_world.c, which simulates the
 * nodes and callers, and forward_world_endpoint.c, which simulates the
 * endpoints.
 */
#ifndef BENCH_FORWARD_WORLD_STATE_H
#define BENCH_FORWARD_WORLD_STATE_H

#include <glib.h>

#include "base/rng.h"
#include "bench/forward_world.h"

#define MS 1000LL
/* One-way latency between nodes, and between nodes and endpoints. */
#define ONE_WAY_US 500
#define STEP_US 500
#define MAX_STORE_AGE_US (4000 * MS)
#define CREDENTIAL "key-of-team"

enum sim_event_kind {
    SIM_CALL_HEAD,
    SIM_CALL_BYTES,
    SIM_CALL_END,
    SIM_PIECES_END,
    SIM_FREE_MEMORY,
    SIM_PROBED,
    SIM_MESSAGE,
    SIM_SLOT_FREE,
    SIM_CRASH,
    SIM_RESTART,
    SIM_RESUME,      /* a silent endpoint goes on */
    SIM_ENGINE_STEP, /* end of a step of an engine that reads in chunks */
    SIM_DROPPED,     /* dropped because its node has restarted */
};

/* An event of the simulation, handled at at_us. */
struct sim_event {
    int64_t at_us;
    uint64_t seq;
    enum sim_event_kind kind;
    int node;
    uint64_t call;
    enum call_end end;
    enum probe_result probed;
    int status;
    struct response_meta meta;
    char text[64];
    int result_count;
    struct piece_result *results;
    uint64_t from;
    struct stage_msg *msg;
    int64_t work_us;    /* processing time that its node has not spent yet */
    GPtrArray *strings; /* owns the strings of msg and results */
    int endpoint;       /* -1: the event does not come from an endpoint */
    int64_t free_bytes;
};

/* A call that waits or runs at an endpoint. */
struct sim_call {
    int node;
    uint64_t call;
    uint64_t request;
    bool pieces;
    int urgency;
    int count;
    struct {
        char handle[64];
        char request[24];
        int64_t bytes;
        bool fits; /* its result found free memory */
    } items[128];
    int64_t resume_after;
    GPtrArray *inputs; /* handles of the results that it reads; NULL: none */
};

struct held_result {
    int64_t bytes;
    int64_t expires_us;
};

struct sim_endpoint {
    struct fw_endpoint *spec;
    bool removed; /* not in the published view */
    int64_t crashed_us;
    int64_t paused_until_us; /* silent before this time */
    GQueue unread;           /* struct sim_call that arrived meanwhile */
    GQueue waiting;
    int running;
    struct sim_engine *engine; /* NULL: does not read prompts in chunks */
    GHashTable *results;       /* handle -> struct held_result */
    int64_t used_bytes;
};

struct sim_node {
    struct forward_world *world;
    int index;
    struct forward *core;
    bool cut;
    bool old_build;
    /* From the arrival of a message to its handling. */
    int64_t message_delay_us;
    int64_t paused_until_us; /* the node does not run before this time */
    int64_t busy_until_us;   /* end of the processing of its last message */
    int received_messages;
    bool store_lost;
    int start_count;
    char name[24];
    uint64_t hash; /* of name */
};

struct forward_world {
    int64_t now_us;
    struct rng rng;
    uint64_t nodes_version;
    size_t backlog; /* unread bytes reported for every caller */
    int pause_count;
    int reconnect_count;
    int message_counts[STAGE_MSG_KIND_COUNT]; /* by kind */
    int node_count;
    struct sim_node *nodes;
    int64_t message_us;   /* processing time of a message */
    int64_t handshake_us; /* processing time of a handshake */
    bool *connected;      /* for each pair of nodes, [from * node_count + to];
                             both directions are set together */
    int endpoint_count;
    struct sim_endpoint *sim_endpoints;
    const struct fw_service *services;
    int service_count;
    struct routing *routing;
    GPtrArray *requests;       /* struct fw_request */
    GPtrArray *events;         /* struct sim_event, a binary heap by time */
    GHashTable *cancelled;     /* keys by call_key() */
    GHashTable *result_owners; /* handle -> id of the request */
    struct repeat_limit repeats;
    bool ignore_teams;
    uint64_t seed;
    uint64_t seq;
    uint64_t handle_count;
    const struct fw_route *routes;
    int route_count;
    enum stage_msg_kind drop_kind;
    int drop_count; /* messages of drop_kind still to drop */
    uint64_t deadly_part;
    uint64_t deadly_content;
    int64_t deadly_down_us;
    int64_t exit_us;
    GArray *deadly_arrivals_us; /* int64_t */
    GArray *crashes_us;         /* int64_t */
    GArray *arrivals;           /* struct sim_arrival */
};

/* A call of a request that reached an endpoint. */
struct sim_arrival {
    int64_t at_us;
    uint64_t request;
    const char *service;
};

/** Adds an event to the queue. @return owned by the queue */
struct sim_event *forward_world_schedule(struct forward_world *w,
                                         int64_t at_us,
                                         enum sim_event_kind kind, int node);
/** @return NULL if no endpoint has the address */
struct sim_endpoint *forward_world_find_endpoint(struct forward_world *w,
                                                 struct str address);
const struct fw_service *
forward_world_find_service(const struct forward_world *w,
                           const struct sim_endpoint *s);
struct fw_request *forward_world_find_request(const struct forward_world *w,
                                              uint64_t id);
/** A call reaches an endpoint. @param job is owned by the
 * endpoint from here on */
void forward_world_receive_call(struct forward_world *w,
                                struct sim_endpoint *s, struct sim_call *job);
/** Identifies a call of a node, as in forward_world.cancelled. */
uint64_t forward_world_call_key(int node, uint64_t call);
void forward_world_free_call(struct sim_call *job);
/** A silent endpoint goes on: it reads the calls that have arrived and runs
 * those that were not cancelled. */
void forward_world_resume_endpoint(struct forward_world *w,
                                   struct sim_endpoint *s);
/** Starts the waiting requests of an engine that reads prompts in chunks. */
void forward_world_engine_start(struct forward_world *w,
                                struct sim_endpoint *s);
/** Ends a step of such an engine and starts the next one. */
void forward_world_engine_step(struct forward_world *w,
                               struct sim_endpoint *s);
/** Drops what runs there, and its cache. */
void forward_world_engine_stop(struct sim_endpoint *s);
/** Starts the waiting calls that an endpoint has free slots for. */
void forward_world_start_calls(struct forward_world *w,
                               struct sim_endpoint *s);
/** Removes expired results. @return free bytes for results at an endpoint;
 * INT64_MAX if they are unlimited */
int64_t forward_world_free_bytes(struct forward_world *w,
                                 struct sim_endpoint *s);
/** Breaks the calls that wait or run at an endpoint. */
void forward_world_break_calls(struct forward_world *w,
                               struct sim_endpoint *s);
/** Reports to a node that its call got no connection and was not sent. */
void forward_world_fail_unsent(struct forward_world *w, int node,
                               uint64_t call, bool pieces);

#endif
