/**
 * @file forward_world.h
 * Simulation of several forwarding cores on a virtual clock, with simulated
 * endpoints that process requests and pieces and may be slow, dead, cold or
 * full. Runs the forwarding decisions of the daemon without a network.
 */
#ifndef BENCH_FORWARD_WORLD_H
#define BENCH_FORWARD_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/forward.h"

struct forward_world;

/** Behaviour of an endpoint, and counts of what it has done. */
struct fw_endpoint {
    const char *id;
    const char *service;
    const char *zone;
    int slots;
    int queue;        /**< calls that may wait; more are rejected */
    int64_t work_us;  /**< time to run a request */
    double slow;      /**< factor on all run times; 0 is taken as 1 */
    int load_percent; /**< of its run times, and reported in its responses; 0:
                         100, not reported */
    bool dead;        /**< refuses connections */
    bool silent;      /**< accepts calls and never answers */
    int break_next_requests; /**< next requests whose connection breaks after
                       the run */
    int fail_next_requests;  /**< next requests that are answered with 500 */
    int stale_refusals; /**< next requests that run while an earlier refusal,
                           with the id of another request, arrives again */
    int empty_next_streams; /**< next streams that end whole without an event,
                               as when the endpoint closes the connection */
    int events; /**< in a streamed answer; 0: the answer is not streamed */
    int64_t event_gap_us;   /**< between events; 0: 10 ms */
    int break_after_event;  /**< the next stream breaks after this event; 0:
                               none */
    int64_t retry_after_us; /**< rejects calls, and asks for this pause in each
                               rejection; 0: accepts them */
    bool other_instance;    /**< another endpoint has its address and rejects
                               all calls */
    bool leaving;           /**< says so in its responses; still in the view */
    int64_t started_ms;
    const char *version;         /**< of its program; NULL: none */
    int64_t result_memory_bytes; /**< memory for results; 0: unlimited */
    int64_t cold_until_us;
    /* An engine that reads prompts in chunks between the tokens of the
     * requests beside them, instead of running each request for work_us. */
    double tokens_per_ms;  /**< prompt tokens read; 0: not such an engine */
    int64_t step_us;       /**< shortest time between two tokens */
    int output_tokens;     /**< of each request */
    int64_t memory_tokens; /**< memory for running requests and shared parts */
    /* Counted during the run. */
    int64_t read_tokens;     /**< prompt tokens read */
    int64_t max_held_tokens; /**< most tokens of running requests */
    int64_t busy_us;         /**< time of all steps of an engine */
    int runs;
    int calls;
    int pieces;
    int rejected;
    int no_memory_results;
    int releases; /**< calls that release results */
    int held;     /**< results stored now */
    int max_held_results;
    int max_running;
    int64_t last_arrival_us; /**< arrival of the last call */
};

/** How a request ended. */
enum fw_outcome { FW_OPEN, FW_ANSWERED, FW_REFUSED, FW_FAILED, FW_ABORTED };

struct fw_request {
    uint64_t id;
    char name[24]; /**< the id that the caller sends */
    int node;
    int route; /**< index of its route */
    enum fw_outcome end;
    int status;
    int64_t sent_us;
    int64_t first_byte_us; /**< first byte of the answer */
    int64_t end_us;
    int64_t retry_after_ms;
    const char
        *refusal_reason; /**< reason of the refusal; NULL: not refused */
    int runs;            /**< times that an endpoint ran it */
    uint64_t parts[2];   /**< its shared prompt parts; 0: none */
    uint64_t content;
    struct buf body;
    int prompt_tokens;
    int shared_tokens;      /**< those of parts[0] */
    int64_t longest_gap_us; /**< longest time between two of its tokens */
};

struct fw_route {
    const char *host;
    const char *service;
    enum repeat_policy kind;
    bool resumable;
    int priority;
    int max_attempts;
    int64_t timeout_us;
    int64_t target_us;
    int64_t caller_disconnect_us; /**< callers disconnect from a stream after
                          this time without an event; 0: never */
    int64_t max_event_gap_us; /**< longest pause between events that callers
                                 accept as on time */
    int stage_count;
    const char *stage_service[4];
    uint32_t stage_after[4];
    int64_t stage_bytes[4];
};

struct fw_service {
    const char *name;
    bool engine;
    int64_t engine_tokens; /**< memory of an engine; 0: 500,000 */
    int engine_slots;      /**< 0: unknown */
    double cold_requests_per_s;
    int64_t cold_us;
    struct piece_limits pieces; /**< batch 0: does not process pieces */
};

/** @param endpoints remain owned by the caller, which may change them during
 * the run */
struct forward_world *
forward_world_new(int nodes, const struct fw_service *services,
                  int service_count, const struct fw_route *routes,
                  int route_count, struct fw_endpoint *endpoints,
                  int endpoint_count, uint64_t seed);
void forward_world_free(struct forward_world *w);

/** Publishes a new view of the cluster without the endpoints that are marked
 * in @p removed (NULL: with all). */
void forward_world_publish_view(struct forward_world *w, const bool *removed);
/** A node that is cut off, as by a stop, neither sends messages to other nodes
 * nor receives theirs. */
void forward_world_set_cut(struct forward_world *w, int node, bool cut);
/** A node of the build before struct stage_results ignores and never sends
 * these; a stage request to it with fields that it rejects fails the test. */
void forward_world_set_old_build(struct forward_world *w, int node);
/** Delays the messages that a node receives from other nodes. */
void forward_world_set_message_delay(struct forward_world *w, int node,
                                     int64_t delay_us);
/** Sets the time for which a message occupies its sender and its receiver, and
 * the time for which the handshake of a new connection occupies the node that
 * accepts it. A node does one of these at a time. Both are 0 at first. */
void forward_world_set_processing_times(struct forward_world *w,
                                        int64_t message_us,
                                        int64_t handshake_us);
/** Sets the nodes to take all engines for equal, without regard to the cost of
 * prompts to other requests, for comparisons. */
void forward_world_set_fixed_engines(struct forward_world *w);
/** Sets the number of bytes that each caller is reported not to have read
 * yet. */
void forward_world_set_caller_backlog(struct forward_world *w, size_t backlog);
/** Number of times that a node paused reading a call because its caller was
 * slow. */
int forward_world_pause_count(const struct forward_world *w);
/** A node does not run for @p duration_us; events that arrive meanwhile are
 * handled right after its timers. */
void forward_world_pause_node(struct forward_world *w, int node,
                              int64_t duration_us);
/** Number of messages that other nodes have sent to a node. */
int forward_world_received_messages(const struct forward_world *w, int node);
/** Number of messages of one kind that nodes have sent to each other. */
int forward_world_message_count(const struct forward_world *w,
                                enum stage_msg_kind kind);
/** Number of times that a node closed a connection to open it again. */
int forward_world_reconnect_count(const struct forward_world *w);
/** Ends the process of a node and starts it again; the open requests of its
 * callers are aborted. */
void forward_world_restart_node(struct forward_world *w, int node);
/** Drops the next @p count messages of one kind between nodes. */
void forward_world_drop_messages(struct forward_world *w,
                                 enum stage_msg_kind kind, int count);
/** Sets whether the contact of a node with the store is no longer renewed. */
void forward_world_set_store_lost(struct forward_world *w, int node,
                                  bool lost);

/** An endpoint that has sent the head of a response to a request with this
 * prompt part crashes before the body: its calls break, and it refuses
 * connections for @p down_us. 0: no part. */
void forward_world_set_deadly_part(struct forward_world *w, uint64_t part,
                                   int64_t down_us);
/** An endpoint that runs a request with this content crashes before it
 * responds, as with a deadly part. 0: no content. */
void forward_world_set_deadly_content(struct forward_world *w,
                                      uint64_t content, int64_t down_us);
/** Sets the time for which an endpoint that has crashed still accepts
 * connections and closes them at once. */
void forward_world_set_exit_time(struct forward_world *w, int64_t exit_us);
/** Breaks all calls at an endpoint, which refuses connections for
 * @p down_us. */
void forward_world_crash_endpoint(struct forward_world *w, int endpoint,
                                  int64_t down_us);
/** Sets the limit on repeated sends that the nodes share. */
void forward_world_set_repeat_limit(struct forward_world *w,
                                    const struct repeat_limit *limit);
/** An endpoint does nothing for @p duration_us and then goes on where it was:
 * its connections stay open, and what arrives meanwhile is read afterwards. */
void forward_world_pause_endpoint(struct forward_world *w, int endpoint,
                                  int64_t duration_us);
/** An endpoint loses all stage results that it holds. */
void forward_world_lose_results(struct forward_world *w, int endpoint);
/** Number of calls beyond the first of their request that reached a service's
 * endpoints from @p from_us to before @p to_us, also those that an endpoint
 * rejected. */
int forward_world_repeats(const struct forward_world *w, const char *service,
                          int64_t from_us, int64_t to_us);
/** Greatest excess of these repeats over the limit in any window. The requests
 * are counted in the window, in the one before it or in the one half a window
 * before it, whichever has most. @return 0 or less if the limit held */
int forward_world_repeat_excess(const struct forward_world *w,
                                const char *service,
                                const struct repeat_limit *limit);
/** Breaks all calls at an endpoint, which stays up. */
void forward_world_reset_connections(struct forward_world *w, int endpoint);
/** Number of endpoints that the deadly part or content has crashed. */
int forward_world_crash_count(const struct forward_world *w);
/** Returns when it crashed an endpoint for the n-th time, counted from 0. */
int64_t forward_world_crash_us(const struct forward_world *w, int n);
/** Number of calls with the deadly part or content that reached an endpoint at
 * or after
 * @p since_us. */
int forward_world_deadly_arrivals(const struct forward_world *w,
                                  int64_t since_us);

/** Sets whether the nodes ignore teams; see forward_options. */
void forward_world_set_ignore_teams(struct forward_world *w, bool ignore);

/** Teams besides the usual one; their credentials are "key-of-team-1" and so
 * on. */
#define FORWARD_WORLD_TEAMS 16

/** A request that a caller sends. */
struct fw_request_spec {
    const char *host;
    const char *key; /**< credential; NULL: that of the usual team */
    int64_t caller_timeout_us;
    int pieces[4];
    int prompt_tokens;
    uint64_t shared_prompt_id; /**< id of the shared beginning of the prompt;
                      0: none */
    int output_tokens; /**< greatest length of the answer; 0: not said */
    int shared_tokens; /**< tokens of that; 0: three quarters of the prompt */
    uint64_t second_part; /**< id of the part after the shared beginning; 0:
                             none */
    uint64_t content;
};

/** A caller sends a request to a node. @return its index */
int forward_world_send_request(struct forward_world *w, int node,
                               const struct fw_request_spec *ask);
void forward_world_disconnect_caller(struct forward_world *w, int request);
const struct fw_request *forward_world_request(const struct forward_world *w,
                                               int index);
int forward_world_request_count(const struct forward_world *w);

/** Runs until the clock is at @p until_us. */
void forward_world_run_until(struct forward_world *w, int64_t until_us);
int64_t forward_world_now_us(const struct forward_world *w);
struct forward *forward_world_core(struct forward_world *w, int node);

#endif
