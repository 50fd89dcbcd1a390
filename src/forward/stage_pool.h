/**
 * @file stage_pool.h
 * The owner's side of stages: batches the pieces that nodes request into calls
 * to the endpoints that this node owns. Stage endpoints have few slots and
 * little memory for results, so the pool fills batches while they are busy,
 * serves requests that can meet their target first, and sends no piece without
 * memory for its result.
 */
#ifndef FORWARD_STAGE_POOL_H
#define FORWARD_STAGE_POOL_H

#include "forward/endpoints.h"
#include "forward/types.h"

struct stage_pool_io {
    void *ctx;
    void (*send_pieces)(void *ctx, const struct pieces_call *call);
    void (*release_results)(void *ctx, const struct release_call *call);
    void (*query_memory)(void *ctx, const struct report_call *call);
    /** Sends an acknowledgement or result to the requesting node. */
    void (*send_message)(void *ctx, uint64_t node, const struct stage_msg *m);
    uint64_t (*next_call)(void *ctx);
};

struct stage_pool;

struct stage_pool *stage_pool_new(const struct stage_pool_io *io);
void stage_pool_free(struct stage_pool *p);

/** Sets the endpoints of the pool, which stay owned by the caller. Call this
 * whenever they or the limits change. Endpoints with calls in flight must stay
 * allocated. */
void stage_pool_configure(struct stage_pool *p, int64_t now_us,
                          const struct piece_limits *limits,
                          struct endpoint *const *endpoints, int count);

/** Adds a node's request for pieces. A repeated request is acknowledged again,
 * and the results it still lists are sent again. */
void stage_pool_add_request(struct stage_pool *p, int64_t now_us,
                            uint64_t node,
                            const struct stage_work_request *request);
/** Drops a node's request. @return false if the pool has no such request */
bool stage_pool_drop_request(struct stage_pool *p, int64_t now_us,
                             uint64_t node, const struct stage_drop *drop);

/** Handles the end of a call. @return false if the call is not of this pool */
bool stage_pool_call_ended(struct stage_pool *p, int64_t now_us, uint64_t call,
                           enum call_end end, int status,
                           const struct response_meta *meta, int count,
                           const struct piece_result *results);

/** Handles the response to a call of query_memory.
 * @param free_bytes -1: unknown
 * @return false if it is not of this pool */
bool stage_pool_memory_reported(struct stage_pool *p, int64_t now_us,
                                uint64_t call, int64_t free_bytes);

/** Starts calls, releases results and ends requests that are too late. */
void stage_pool_run(struct stage_pool *p, int64_t now_us);
/** Returns when stage_pool_run must be called even without an event. */
int64_t stage_pool_next_wakeup_us(const struct stage_pool *p);

struct stage_pool_stats {
    uint64_t calls;
    uint64_t pieces;
    uint64_t rejected; /**< calls that the endpoint rejected */
    uint64_t failed;   /**< pieces without a result */
    uint64_t late;     /**< pieces that did not start in time */
    int queued;
};
void stage_pool_stats(const struct stage_pool *p,
                      struct stage_pool_stats *out);

#endif
