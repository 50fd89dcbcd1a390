/**
 * @file stage_pool.h
 * The owner's side of stages: gathers the pieces that nodes ask for into
 * calls to the endpoints that this node owns. Answers the load of stage
 * endpoints with few slots and little room for results: full calls while they
 * are busy, requests that can be on time first, no call without room.
 */
#ifndef FORWARD_STAGE_POOL_H
#define FORWARD_STAGE_POOL_H

#include "forward/endpoints.h"
#include "forward/types.h"

struct stage_pool_io {
    void *ctx;
    void (*send_pieces)(void *ctx, const struct pieces_call *call);
    void (*release)(void *ctx, const struct release_call *call);
    void (*ask_room)(void *ctx, const struct room_call *call);
    /** An ack or result for the node that asked. */
    void (*tell)(void *ctx, uint64_t node, const struct stage_msg *m);
    uint64_t (*next_call)(void *ctx);
};

struct stage_pool;

struct stage_pool *stage_pool_new(const struct stage_pool_io *io);
void stage_pool_free(struct stage_pool *p);

/** The endpoints of the pool, which stay the caller's; call whenever they or
 * the limits change. Endpoints with calls under way must stay alive. */
void stage_pool_set(struct stage_pool *p, int64_t now_us,
                    const struct piece_limits *limits,
                    struct endpoint *const *endpoints, int count);

/** An ask of a node; a repeated one is only acknowledged. */
void stage_pool_ask(struct stage_pool *p, int64_t now_us, uint64_t node,
                    const struct stage_ask *ask);
/** @return false if the ask is not known here */
bool stage_pool_drop(struct stage_pool *p, int64_t now_us, uint64_t node,
                     const struct stage_drop *drop);

/** The end of a call. @return false if the call is not of this pool */
bool stage_pool_end(struct stage_pool *p, int64_t now_us, uint64_t call,
                    enum call_end end, int status,
                    const struct answer_meta *meta, int count,
                    const struct piece_result *results);

/** The answer to a call that ask_room started.
 * @param free_bytes -1: not told @return false if it is not of this pool */
bool stage_pool_room(struct stage_pool *p, int64_t now_us, uint64_t call,
                     int64_t free_bytes);

/** Starts calls, gives results back, ends what came too late. */
void stage_pool_run(struct stage_pool *p, int64_t now_us);
/** When stage_pool_run has something to do without an event. */
int64_t stage_pool_wakeup(const struct stage_pool *p);

struct stage_pool_stats {
    uint64_t calls;
    uint64_t pieces;
    uint64_t rejected; /**< calls that the endpoint did not take */
    uint64_t failed;   /**< pieces without a result */
    uint64_t late;     /**< pieces that were not begun in time */
    int queued;
};
void stage_pool_stats(const struct stage_pool *p,
                      struct stage_pool_stats *out);

#endif
