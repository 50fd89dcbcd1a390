/**
 * @file forward_world_state.h
 * State of a forward_world, private to forward_world.c, which plays the nodes
 * and callers, and forward_world_endpoint.c, which plays the endpoints.
 */
#ifndef BENCH_FORWARD_WORLD_STATE_H
#define BENCH_FORWARD_WORLD_STATE_H

#include <glib.h>

#include "base/rng.h"
#include "bench/forward_world.h"

#define MS 1000LL
/* One way between nodes and endpoints. */
#define TRAVEL_US 500
#define STEP_US 500
#define CREDENTIAL "key-of-team"

enum happening_kind {
    H_HEAD,
    H_BYTES,
    H_END,
    H_PIECES,
    H_ROOM,
    H_MSG,
    H_TURN,
    H_LOST, /* its node has restarted */
};

/* Something that is due at a time. */
struct happening {
    int64_t at_us;
    uint64_t seq;
    enum happening_kind kind;
    int node;
    uint64_t call;
    enum call_end end;
    int status;
    struct answer_meta meta;
    char text[64];
    int result_count;
    struct piece_result *results;
    uint64_t from;
    struct stage_msg *msg;
    GPtrArray *strings; /* of msg and results */
    int endpoint;
    int64_t free_bytes;
};

/* A call that waits or runs at an endpoint. */
struct work {
    int node;
    uint64_t call;
    uint64_t request;
    bool pieces;
    int count;
    struct {
        char handle[64];
        char request[24];
        int64_t bytes;
        bool room;
    } items[128];
    int64_t resume_after;
    bool cancelled;
};

struct held_result {
    int64_t bytes;
    int64_t expires_us;
};

struct shop {
    struct fw_endpoint *spec;
    bool left; /* out of the site */
    GQueue waiting;
    int running;
    GHashTable *results; /* handle -> struct held_result */
    int64_t used;
};

struct world_node {
    struct forward_world *world;
    int index;
    struct forward *core;
    bool cut;
    int64_t delay_us;         /* until a message that has come is handled */
    int64_t stalled_until_us; /* does not run before */
    bool store_lost;
    int starts;
    char name[24];
};

struct forward_world {
    int64_t now_us;
    struct rng rng;
    uint64_t nodes_version;
    size_t backlog; /* of every caller */
    int holds;
    int node_count;
    struct world_node *nodes;
    int endpoint_count;
    struct shop *shops;
    const struct fw_service *services;
    int service_count;
    struct routing *routing;
    GPtrArray *requests;   /* struct fw_request */
    GPtrArray *queue;      /* struct happening, a heap by time */
    GHashTable *cancelled; /* node << 48 ^ call */
    GHashTable *made_for;  /* handle -> id of the request */
    uint64_t seed;
    uint64_t seq;
    uint64_t handles;
    const struct fw_route *routes;
    int route_count;
    enum stage_msg_kind lost_kind;
    int lose; /* messages of lost_kind */
};

/** Plans something for later. @return owned by the queue */
struct happening *forward_world_plan(struct forward_world *w, int64_t at_us,
                                     enum happening_kind kind, int node);
/** NULL if no endpoint has the address. */
struct shop *forward_world_shop(struct forward_world *w, struct str address);
const struct fw_service *forward_world_service(const struct forward_world *w,
                                               const struct shop *s);
struct fw_request *forward_world_by_id(const struct forward_world *w,
                                       uint64_t id);
/** A call reaches an endpoint. @param k is owned from here on */
void forward_world_arrive(struct forward_world *w, struct shop *s,
                          struct work *k);
/** Begins the work that an endpoint has free slots for. */
void forward_world_work(struct forward_world *w, struct shop *s);
/** Free room for results at an endpoint, without those that have expired. */
int64_t forward_world_room(struct forward_world *w, struct shop *s);
/** The call of a node found no connection. */
void forward_world_unsent(struct forward_world *w, int node, uint64_t call,
                          bool pieces);

#endif
