/**
 * @file forward_world.h
 * Several forwarding cores on a virtual clock, with endpoints that work on
 * requests and pieces and may be slow, dead, cold or full. Drives the deciding
 * code of the daemon without a network.
 */
#ifndef BENCH_FORWARD_WORLD_H
#define BENCH_FORWARD_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/forward.h"

struct forward_world;

/** What an endpoint does with the calls that it gets. */
struct fw_endpoint {
    const char *id;
    const char *service;
    const char *zone;
    int slots;
    int queue;          /**< calls that wait besides; more are rejected */
    int64_t work_us;    /**< of a request */
    double slow;        /**< factor on all work, 1 */
    bool dead;          /**< refuses connections */
    bool silent;        /**< takes calls and never answers */
    int break_next;     /**< requests that break after they have run */
    int fail_next;      /**< requests that are answered with 500 */
    int events;         /**< of a streamed answer; 0: a plain one */
    int break_after;    /**< one stream breaks after this event; 0: none */
    int64_t room_bytes; /**< for results; 0: any */
    int64_t cold_until_us;
    /* Seen. */
    int runs;
    int calls;
    int pieces;
    int rejected;
    int no_room;
    int held; /**< results that lie here */
    int max_held;
    int max_running;
    int64_t last_us; /**< last arrival */
};

/** How a request ended. */
enum fw_end { FW_OPEN, FW_ANSWERED, FW_REFUSED, FW_FAILED, FW_ABORTED };

struct fw_request {
    uint64_t id;
    int node;
    int route; /**< index of its route */
    enum fw_end end;
    int status;
    int64_t sent_us;
    int64_t first_us; /**< first byte of the answer */
    int64_t end_us;
    int64_t retry_after_ms;
    const char *why; /**< it was refused; NULL: it was not */
    int runs;        /**< endpoints that ran it */
    struct buf body;
};

struct fw_route {
    const char *host;
    const char *service;
    enum repeat_kind kind;
    bool resumable;
    int priority;
    int max_attempts;
    int64_t timeout_us;
    int64_t target_us;
    int64_t leave_us; /**< callers leave a stream without an event; 0: never */
    int stage_count;
    const char *stage_service[4];
    uint32_t stage_after[4];
    int64_t stage_bytes[4];
};

struct fw_service {
    const char *name;
    bool engine;
    double cold_per_s;
    int64_t cold_us;
    struct piece_limits pieces; /**< batch 0: does no pieces */
};

/** @param endpoints stay the caller's and may be changed while running */
struct forward_world *
forward_world_new(int nodes, const struct fw_service *services,
                  int service_count, const struct fw_route *routes,
                  int route_count, struct fw_endpoint *endpoints,
                  int endpoint_count, uint64_t seed);
void forward_world_free(struct forward_world *w);

/** Publishes a new site without the endpoints that are marked as left. */
void forward_world_publish(struct forward_world *w, const bool *left);
/** Nodes that a stop has cut off take and send no messages. */
void forward_world_cut(struct forward_world *w, int node, bool cut);
/** A node handles messages of others this much later. */
void forward_world_delay(struct forward_world *w, int node, int64_t delay_us);
/** Callers have this much left to take. */
void forward_world_lag(struct forward_world *w, size_t backlog);
/** Times that a node stopped reading a call for its caller. */
int forward_world_holds(const struct forward_world *w);
/** A node does not run for a time; what comes meanwhile is handled right
 * after its timers. */
void forward_world_stall(struct forward_world *w, int node, int64_t span_us);
/** The process of a node ends and is started again; its callers' requests are
 * aborted. */
void forward_world_restart(struct forward_world *w, int node);
/** The next messages of one kind between nodes are lost. */
void forward_world_lose_messages(struct forward_world *w,
                                 enum stage_msg_kind kind, int count);
/** The contact of a node with the store stops being renewed. */
void forward_world_lose_store(struct forward_world *w, int node, bool lost);

struct fw_ask {
    const char *host;
    const char *key;
    int64_t patience_us;
    int pieces[4];
    int prompt_tokens;
    uint64_t part; /**< shared prompt part; 0: none */
    uint64_t content;
};

/** A caller sends a request to a node. @return its index */
int forward_world_send(struct forward_world *w, int node,
                       const struct fw_ask *ask);
void forward_world_leave(struct forward_world *w, int request);
const struct fw_request *forward_world_request(const struct forward_world *w,
                                               int index);
int forward_world_count(const struct forward_world *w);

/** Runs until the clock is at @p until_us. */
void forward_world_run(struct forward_world *w, int64_t until_us);
int64_t forward_world_now(const struct forward_world *w);
struct forward *forward_world_core(struct forward_world *w, int node);

#endif
