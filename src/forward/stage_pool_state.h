/**
 * @file stage_pool_state.h
 * State of a stage pool, private to stage_pool.c, which keeps the jobs,
 * stage_dispatch.c, which chooses what is sent where, stage_ends.c, which
 * takes the answers, and stage_room.c, which knows the endpoints' room.
 */
#ifndef FORWARD_STAGE_POOL_STATE_H
#define FORWARD_STAGE_POOL_STATE_H

#include <glib.h>
#include <sys/queue.h>

#include "forward/stage_pool.h"

#define MS 1000LL
#define SECOND 1000000LL

/* A piece is sent this often at most. */
#define PIECE_TRIES 4

/* Priorities that are counted apart; less urgent ones share the last. */
#define POOL_PRIORITIES 4

enum piece_state { WAITING, SENT, DONE };

struct piece {
    int number;
    enum piece_state state;
    int tries;
    int calls; /* under way */
    struct endpoint *maker;
    char *handle; /* NULL: none */
};

struct job_key {
    uint64_t node;
    uint64_t ask;
};

/* An ask of one node. */
struct job {
    struct job_key key;    /* first: the table's key */
    TAILQ_ENTRY(job) link; /* in pool->jobs, in order */
    char *request_id;
    int stage;
    int priority;
    int64_t asked_us;
    int64_t heard_us;  /* last ask or reminder */
    int64_t target_us; /* latest start to be on time */
    int64_t dead_us;   /* latest start to be of use */
    int64_t end_us;    /* the caller stops waiting */
    int64_t forget_us; /* results have expired */
    int64_t bytes;
    bool started;  /* a piece was sent, or it holds large results elsewhere */
    bool sent_any; /* a piece was sent */
    char *zone;
    int64_t zone_us; /* cost of another zone */
    bool keyed;
    char *piece_key;
    int waiting; /* pieces in that state */
    int piece_count;
    struct piece *pieces;
    int input_count;
    struct str *inputs; /* owned strings */
};
TAILQ_HEAD(job_list, job);

/* What this owner knows of one endpoint besides its health. */
struct maker {
    struct endpoint *endpoint;
    int64_t room_used;
    int64_t returning;  /* bytes of results that wait to be given back */
    int64_t foreign;    /* bytes of results that this owner does not know */
    int64_t foreign_us; /* when they were noticed or reported */
    int64_t doubt_until_us; /* until then it may hold unknown results */
    uint64_t report_call;   /* asks for its free room; 0: none */
    int64_t used_at_report; /* known use when that call was sent */
    int64_t busy_until_us;  /* expected end of the call under way */
    int64_t paced_us;       /* last time that its pace was seen */
    int64_t rejected_us;
    bool listed;
    bool known; /* was listed before */
};

struct pool_call {
    uint64_t id;
    struct maker *maker;
    int64_t sent_us;
    int64_t expected_us;
    bool hedged;
    int count;
    struct {
        uint64_t node;
        uint64_t ask;
        int piece; /* index in the job */
        int64_t bytes;
    } items[];
};

struct stage_pool {
    struct stage_pool_io io;
    struct piece_limits limits;
    struct job_list jobs;
    struct job_list ended;
    GHashTable *jobs_by_key;
    GHashTable *calls;    /* id -> struct pool_call */
    GHashTable *makers;   /* endpoint -> struct maker */
    GHashTable *releases; /* endpoint -> GPtrArray of handles */
    int64_t release_us;   /* 0: none */
    int64_t report_us;    /* endpoints are asked for their room then */
    int64_t remind_us;    /* next reminder, as of the last step */
    int64_t expire_us;    /* jobs are looked through for their ends then */
    int64_t late_log_us;  /* last line on late pieces */
    int64_t unreserved;   /* room for jobs that begin, as of the last call */
    int64_t counted_us;   /* when waiting[] was counted */
    int waiting[POOL_PRIORITIES]; /* pieces by priority */
    int64_t span_us;     /* begin of the span that is measured; 0: none */
    int64_t span_pieces; /* stats.pieces at its begin */
    int64_t drain_us;    /* last span's time for a piece; 0: no queue */
    struct stage_pool_stats stats;
    bool dirty;
};

/** NULL if the job has ended. */
struct job *stage_pool_find_job(const struct stage_pool *p, uint64_t node,
                                uint64_t ask);

/** @return a copy to be freed; never NULL, unlike g_strndup of an empty view
 */
char *stage_pool_copy(struct str s);
/** Frees a result at its endpoint, together with others. */
void stage_pool_give_back(struct stage_pool *p, int64_t now_us,
                          struct endpoint *e, const char *handle,
                          int64_t bytes);
/** Tells the asking node how a piece ended. */
void stage_pool_tell_result(struct stage_pool *p, int64_t now_us,
                            const struct job *j, const struct piece *piece,
                            enum piece_outcome outcome);

/* stage_dispatch.c */
/** Expected length of a call. */
int64_t stage_pool_call_us(const struct stage_pool *p, int items);
/** Actual against expected time of an endpoint's calls, at least 1. */
double stage_pool_slowness(const struct maker *m, int64_t now_us);
/** Starts calls for what waits. */
void stage_pool_dispatch(struct stage_pool *p, int64_t now_us);
/** Gives the pieces of slow calls to other endpoints as well. */
void stage_pool_hedge(struct stage_pool *p, int64_t now_us);

/* stage_room.c */
/** Free room by the results that are known. */
int64_t stage_pool_room_known(const struct stage_pool *p,
                              const struct maker *m);
/** As stage_pool_room_known, less what unknown results are taken to use. */
int64_t stage_pool_room_left(const struct stage_pool *p, const struct maker *m,
                             int64_t now_us);
void stage_pool_recount_room(struct stage_pool *p, struct maker *m);
/** Results of another owner may lie there. */
void stage_pool_doubt_room(struct stage_pool *p, struct maker *m,
                           int64_t now_us);
/** A piece found no room. */
void stage_pool_no_room(struct stage_pool *p, struct maker *m, int64_t now_us);
void stage_pool_ask_room(struct stage_pool *p, int64_t now_us);

#endif
