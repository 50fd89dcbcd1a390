/**
 * @file stage_pool_state.h
 * State of a stage pool, private to stage_pool.c (jobs), stage_dispatch.c
 * (selection of pieces and endpoints), stage_ends.c (call results) and
 * stage_room.c (endpoint memory).
 */
#ifndef FORWARD_STAGE_POOL_STATE_H
#define FORWARD_STAGE_POOL_STATE_H

#include <glib.h>
#include <sys/queue.h>

#include "forward/stage_order.h"
#include "forward/stage_pool.h"
#include "forward/team_share.h"

#define MS 1000LL
#define SECOND 1000000LL

/* Maximum number of times a piece is sent. */
#define MAX_PIECE_SENDS 4

/* Number of priorities that are counted separately; lower priorities share the
 * last count. */
#define POOL_PRIORITIES 4

enum piece_state { PIECE_STATE_WAITING, PIECE_STATE_SENT, PIECE_STATE_DONE };

struct piece {
    int number;
    enum piece_state state;
    int send_count;
    int64_t sent_us; /* when it was last sent */
    int calls;       /* calls in flight that contain it */
    struct endpoint *result_endpoint;
    char *handle;        /* NULL: none */
    int64_t expires_us;  /* when the endpoint drops the result */
    bool result_expired; /* the endpoint has dropped the result */
};

struct job_key {
    uint64_t node;
    uint64_t stage_request;
};

/* A request for pieces from one node. */
struct job {
    struct job_key key;          /* key in jobs_by_key */
    TAILQ_ENTRY(job) link;       /* in pool->jobs or pool->ended */
    TAILQ_ENTRY(job) queue_link; /* in pool->queue, if is_queued */
    bool is_queued;
    char *request_id;
    int stage;
    int priority;
    int64_t received_us;
    int64_t last_request_us; /* last time the node sent the request or was
                                reminded of it */
    int64_t latest_start_us; /* latest start that meets the latency target */
    int64_t latest_useful_start_us; /* latest start that meets the deadline */
    int64_t deadline_us;            /* deadline of the caller */
    int64_t results_expire_us;      /* when all its results have expired */
    int64_t next_expiry_us; /* when its next result expires; INT64_MAX: none */
    int64_t result_bytes;
    bool holds_large_results; /* at endpoints of other stages */
    bool sent_any_piece;      /* a piece was sent */
    uint64_t team;            /* hash of its name; 0: unknown */
    int64_t waited_before_us; /* in earlier attempts of the caller */
    char *zone;
    int64_t zone_cost_us; /* added cost of another zone */
    bool keyed;
    char *piece_key;
    int waiting_count; /* pieces in PIECE_STATE_WAITING */
    int piece_count;
    struct piece *pieces;
    int input_count;
    struct str *inputs; /* owned strings */
};
TAILQ_HEAD(job_list, job);

/* An endpoint of the pool and what the owner knows of its memory and calls. */
struct pool_endpoint {
    struct endpoint *endpoint;
    int64_t used_bytes;
    int64_t releasing_bytes; /* bytes of results that are queued for release */
    int64_t unknown_bytes;   /* in results that this owner did not request */
    int64_t unknown_bytes_us; /* when unknown_bytes was observed or reported */
    int64_t query_until_us;   /* until then it may hold results that this owner
                                 did not request */
    uint64_t memory_query;    /* call that queries its free memory; 0: none */
    int64_t used_at_query_bytes; /* known use when memory_query was sent */
    int64_t busy_until_us;       /* expected end of the latest call */
    int64_t slowness_updated_us; /* last update of its slowness */
    int64_t last_rejection_us;
    bool in_pool;
    bool was_in_pool; /* was in the pool before */
};

/* An endpoint that a dispatch may use or wait for. */
struct candidate {
    struct pool_endpoint *pool_endpoint;
    bool is_idle;
    int64_t free_bytes; /* if idle */
    double call_us;     /* expected duration of a full call */
    double wait_us;     /* expected time until it is idle */
    double cost_us;     /* call_us and the penalty for failures */
    int planned_count;  /* pieces that wait for its next call */
};

struct pool_call {
    uint64_t id;
    struct pool_endpoint *pool_endpoint;
    int64_t sent_us;
    int64_t expected_us;
    bool hedged;
    int count;
    struct {
        uint64_t node;
        uint64_t stage_request;
        int piece; /* index in the job */
        int64_t bytes;
    } items[];
};

struct stage_pool {
    struct stage_pool_io io;
    struct piece_limits limits;
    struct job_list jobs;
    struct job_list ended;
    /* Jobs with waiting pieces, by arrival. A job without any stays in it
     * until the next dispatch. */
    struct job_list queue;
    GHashTable *jobs_by_key;
    GHashTable *calls;           /* id -> struct pool_call */
    GHashTable *endpoints;       /* endpoint -> struct pool_endpoint */
    GHashTable *releases;        /* endpoint -> GPtrArray of handles */
    int64_t release_due_us;      /* next release of queued results; 0: none */
    int64_t memory_query_due_us; /* next query of the endpoints' free memory */
    int64_t reminder_due_us;  /* next reminder, as of the last expire_jobs */
    int64_t expire_due_us;    /* next run of expire_jobs */
    int64_t last_late_log_us; /* last pieces_late log line */
    int64_t unreserved_bytes; /* memory available to jobs that have not
                                 started, as of the last dispatch */
    int64_t counted_us;       /* when waiting[] was counted */
    GArray *entries;          /* struct stage_order_entry, of a dispatch */
    GArray *order;            /* the same, in the order of service */
    GArray *reserve;          /* scratch of stage_order_arrange */
    GArray *candidates;       /* struct candidate, of a dispatch */
    struct team_share *share; /* use of the endpoints by teams */
    double mean_load_factor;  /* moving average of the load reports */
    int64_t reserve_credit;   /* see stage_order_charge */
    int64_t dispatch_due_us;  /* next dispatch without an event */
    int waiting[POOL_PRIORITIES]; /* waiting pieces by priority */
    int64_t interval_start_us;    /* start of the measured interval; 0: none */
    int64_t interval_start_pieces; /* stats.pieces at its start */
    int64_t last_progress_us; /* end of the last interval in which the queue
                                 was empty or pieces were sent */
    int64_t us_per_piece;     /* in the last interval; 0: no queue */
    struct stage_pool_stats stats;
    bool collects_results; /* results are collected in pending_results */
    uint64_t pending_results_node;
    struct stage_results
        pending_results; /* handles are views of the pieces' */
    bool dispatch_needed;
};

/** Returns NULL if the job has ended. */
struct job *stage_pool_find_job(const struct stage_pool *p, uint64_t node,
                                uint64_t stage_request);

/** @return a copy to be freed with g_free; never NULL, unlike g_strndup of an
 * empty view */
char *stage_pool_copy_str(struct str s);
/** Queues a result for release at its endpoint, batched with others. */
void stage_pool_release_result(struct stage_pool *p, int64_t now_us,
                               struct endpoint *e, const char *handle,
                               int64_t bytes);
/** Sends the results collected since collects_results was set. */
void stage_pool_flush_results(struct stage_pool *p);
/** Sends the outcome of a piece to the requesting node. */
void stage_pool_send_result(struct stage_pool *p, int64_t now_us,
                            const struct job *j, const struct piece *piece,
                            enum piece_outcome outcome);

/** Adds a job with waiting pieces to the queue, unless it is there. */
void stage_pool_enqueue(struct stage_pool *p, struct job *j);

/* stage_dispatch.c */
/** Expected duration of a call. */
int64_t stage_pool_call_duration_us(const struct stage_pool *p, int items);
/** Ratio of actual to expected duration of the endpoint's calls, at least 1.
 */
double stage_pool_slowness(const struct pool_endpoint *pe, int64_t now_us);
/** Starts calls for waiting pieces. */
void stage_pool_dispatch(struct stage_pool *p, int64_t now_us);
/** Requeues the pieces of slow calls, so that other endpoints run them as
 * well. */
void stage_pool_hedge_slow_calls(struct stage_pool *p, int64_t now_us);

/* stage_room.c */
/** Free memory of the endpoint, considering known results only. */
int64_t stage_pool_known_free_bytes(const struct stage_pool *p,
                                    const struct pool_endpoint *pe);
/** As stage_pool_known_free_bytes, less the estimated size of unknown results.
 */
int64_t stage_pool_free_bytes(const struct stage_pool *p,
                              const struct pool_endpoint *pe, int64_t now_us);
void stage_pool_recount_memory(struct stage_pool *p, struct pool_endpoint *pe);
/** Starts memory queries for an endpoint that may hold results of another
 * owner. */
void stage_pool_start_memory_queries(struct stage_pool *p,
                                     struct pool_endpoint *pe, int64_t now_us);
/** Handles a piece that was rejected because the endpoint had no memory for
 * its result. */
void stage_pool_handle_no_memory(struct stage_pool *p,
                                 struct pool_endpoint *pe, int64_t now_us);
/** Frees the memory of a job's results that their endpoints have dropped. A
 * node that has ended sends no drop: after the loss of a zone, the results of
 * its nodes blocked the endpoints of the other zones until the callers'
 * deadlines. */
void stage_pool_expire_results(struct stage_pool *p, int64_t now_us,
                               struct job *j);
void stage_pool_query_memory(struct stage_pool *p, int64_t now_us);

#endif
