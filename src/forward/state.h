/**
 * @file state.h
 * State shared by the modules of the forwarding core. Not for use outside of
 * src/forward.
 */
#ifndef FORWARD_STATE_H
#define FORWARD_STATE_H

#include <glib.h>
#include <sys/queue.h>

#include "base/hist.h"
#include "base/rng.h"
#include "flow/map.h"
#include "flow/timers.h"
#include "forward/endpoints.h"
#include "forward/forward.h"
#include "forward/place.h"
#include "forward/stage_pool.h"

#define MS 1000LL
#define SECOND 1000000LL

/* id, help */
#define FORWARD_COUNTER_LIST(X)                                               \
    X(requests, "requests received")                                          \
    X(answers, "whole answers given")                                         \
    X(refusals, "requests refused as not run")                                \
    X(failures, "requests failed after they were sent")                       \
    X(gone, "callers that left")                                              \
    X(sends, "requests sent to endpoints")                                    \
    X(repeats, "requests sent once more")                                     \
    X(repeats_denied, "repeats that the shared budget denied")                \
    X(unsent, "sends that found no connection")                               \
    X(not_executed, "sends that an endpoint rejected")                        \
    X(broken, "sends without a whole answer")                                 \
    X(too_long, "answers longer than a node holds")                           \
    X(crossed, "answers of other requests")                                   \
    X(resumed, "streams that went on at another endpoint")                    \
    X(piece_calls, "calls of pieces")                                         \
    X(pieces, "pieces sent")                                                  \
    X(pieces_rejected, "calls of pieces that an endpoint rejected")           \
    X(pieces_failed, "pieces without a result")                               \
    X(owner_changes, "asks that were taken from a silent owner")              \
    X(poisonous, "requests refused since they crash endpoints")

enum req_state {
    REQ_STAGES,  /* stages before it are under way */
    REQ_WAITING, /* waits for an endpoint */
    REQ_SENT,    /* at an endpoint, no answer has begun */
    REQ_ANSWER,  /* the answer is being passed on */
};

struct stage_piece {
    bool ready;
    uint64_t ask;        /* under which it is made; 0: none yet */
    struct str handle;   /* owned */
    uint64_t maker_hash; /* endpoint that holds the result */
};

struct stage {
    int count; /* pieces */
    int ready;
    struct stage_piece *pieces;
    struct svc *svc;
    int64_t due_us; /* its pieces are asked for then; 0: at once */
};

struct request {
    uint64_t id;
    struct forward_request in;
    struct site *site; /* one reference: holds the route */
    const struct route *route;
    struct svc *svc; /* of the final call */
    struct str team; /* view into the site */
    int priority;
    int64_t arrived_us;
    int64_t target_us;   /* absolute; later answers are worth less */
    int64_t deadline_us; /* absolute; the final answer is due */
    int64_t begin_by_us; /* absolute; the caller leaves unless it has begun */
    enum req_state state;
    struct place_prompt prompt;
    struct endpoint *planned; /* engine that the stages work towards */
    struct stage stages[ROUTING_MAX_STAGES];
    int stage_restarts;
    int sends; /* that reached an endpoint */
    int unsent;
    bool maybe_ran;
    uint64_t call; /* 0: none */
    struct endpoint *endpoint;
    int64_t sent_us;
    int64_t first_us;    /* first byte of the answer; 0: none yet */
    int64_t expected_us; /* until the first byte */
    int64_t reading;     /* prompt tokens counted at the endpoint */
    int64_t read_after;  /* resume position of the call under way; -1 */
    int tried_count;
    uint64_t tried[PLACE_MAX_TRIED];
    bool accepted; /* the head of the call under way was taken */
    bool begun;    /* the caller's answer has begun */
    bool held;     /* the caller has not taken what it was given */
    int status;
    int64_t length;
    struct buf answer;  /* plain: whole body; stream: part of an event */
    int64_t last_event; /* given to the caller whole; -1: none */
    int64_t heard_us;   /* last head, whole event or, of a plain answer, byte
                           from the endpoint */
    bool freed;         /* results were released */
};

/* Pieces that the owner of a group of endpoints was asked for. */
struct open_ask {
    uint64_t id;
    uint64_t request;
    int stage;
    int group;
    uint64_t owner;    /* hash of the node */
    uint64_t previous; /* owner before, which may hold results; 0: none */
    int64_t sent_us;
    int left;   /* pieces without a result */
    bool known; /* the owner has acknowledged it */
};

/* Another node as an owner of stage endpoints. */
struct peer {
    uint64_t node;
    uint64_t key;     /* hash of its public key; changes when it restarts */
    bool reconnected; /* since unanswered_us */
    int64_t unanswered_us;   /* oldest message without a word since; 0: none */
    uint64_t unanswered_ask; /* that message */
    int64_t asked_us;        /* last ask */
    int64_t heard_us;        /* last word */
    int64_t suspect_until_us;
    int64_t suspect_span_us;
};

/* An ack or result from a pool of this node, delivered after the step. */
struct local_msg {
    struct stage_msg msg;
    struct str handle; /* owned */
};

/* Priorities whose waits are told apart; less urgent ones share the last. */
#define WAIT_PRIORITIES 4

/* A service at this thread. */
struct svc {
    uint64_t hash;        /* of the name */
    struct service info;  /* strings are views into the newest site */
    GPtrArray *endpoints; /* usable ones, of the newest site */
    struct repeat_budget budget;
    int groups; /* of stage endpoints; each is owned by one node */
    struct {
        int64_t us; /* that pieces wait, moving */
        int64_t seen_us;
    } waits[WAIT_PRIORITIES];
    struct request **waiting; /* for an endpoint, oldest first */
    int waiting_count;
    int64_t waiting_due_us; /* when an endpoint may take work again */
    int waiting_cap;
};

/* A request content that was running when endpoints died. */
struct strike {
    int count;
    int64_t until_us;
};

struct forward {
    struct forward_options opts;
    struct forward_io io;
    struct rng rng;
    struct site *site;
    int64_t contact_us;
    int64_t ran_us;         /* last forward_run */
    struct map requests;    /* id -> struct request */
    struct map calls;       /* id -> struct request */
    struct map asks;        /* id -> struct open_ask */
    struct map pools;       /* service hash + group -> struct pool_entry */
    struct map peers;       /* hash of node -> struct peer */
    GQueue inbox;           /* struct local_msg */
    uint64_t self;          /* hash of this node's name */
    uint64_t nodes_version; /* of the site */
    int64_t looked_us;      /* at silent owners */
    int new_keys;           /* of nodes, since new_keys_us */
    int64_t new_keys_us;
    int64_t asks_due_us;  /* open asks are looked at; INT64_MAX: none */
    struct map services;  /* hash of name -> struct svc */
    struct map endpoints; /* hash of id -> struct endpoint */
    struct timers timers;
    uint64_t next_call; /* of calls and asks; begins at random */
    bool draining;
    bool dispatch;       /* pieces or waiting requests may be sent */
    GHashTable *strikes; /* low half of the content's digest -> strike */
    struct hist latency; /* until the whole answer, us */
    struct hist first;   /* until the first byte, us */
#define X(id, help) uint64_t id;
    struct {
        FORWARD_COUNTER_LIST(X)
    } count;
#undef X
};

/* request.c */
/** The caller leaves then, unless its answer has ended or, before its first
 * event, begun. */
int64_t req_by_us(const struct request *r);
void req_send_or_wait(struct forward *f, int64_t now_us, struct request *r);
void req_refuse(struct forward *f, int64_t now_us, struct request *r,
                enum errkind kind, const char *why, int64_t retry_ms);
void req_free(struct forward *f, struct request *r);
void req_silence(struct forward *f, int64_t now_us, uint64_t call);
void req_deadline(struct forward *f, int64_t now_us, struct request *r);
/** Identifies a request content among those that crash endpoints. */
uint64_t req_strike_key(const struct forward_request *in,
                        const struct route *route);
/** Tries the requests that wait for an endpoint again. */
void req_retry_waiting(struct forward *f, int64_t now_us, struct svc *s);
int forward_nodes(const struct forward *f);
/** An answer of the call under way ended the call; its endpoint is freed. */
void req_end_call(struct forward *f, struct request *r);

/* pieces.c */
/** Prepares the stages. @return false if a stage has no service */
bool pieces_plan(struct forward *f, int64_t now_us, struct request *r);
/** Asks for the pieces whose inputs are ready. @return true if all are done */
bool pieces_advance(struct forward *f, int64_t now_us, struct request *r);
/** Asks for pieces that were put off until now. */
void pieces_due(struct forward *f, int64_t now_us, struct request *r);
/** Ends all asks; results are given back. */
void pieces_drop(struct forward *f, int64_t now_us, struct request *r);
/** Makes all stages again. @return false if that was done too often */
bool pieces_restart(struct forward *f, int64_t now_us, struct request *r);
/** The results were given back, and the final call needs them once more. */
bool pieces_lost(const struct request *r);
/** Results that the final call needs. @return their number */
int pieces_inputs(const struct request *r, struct str *out, int max);
/** Time until the final call if no piece waits. */
int64_t pieces_left_us(const struct request *r);
/** As pieces_left_us, with the waits seen of late. */
int64_t pieces_expected_us(int64_t now_us, const struct request *r);
/** Time from the final call to the first byte of the answer. */
int64_t pieces_final_us(int64_t now_us, const struct request *r);
/** Repeats asks of owners that are silent. */
void pieces_follow(struct forward *f, int64_t now_us);

/* owners.c */
void owners_set_site(struct forward *f, int64_t now_us);
void owners_run(struct forward *f, int64_t now_us);
int64_t owners_wakeup(const struct forward *f);
void owners_free(struct forward *f);
/** Sends to the owner, which may be this node. */
void owners_tell(struct forward *f, int64_t now_us, uint64_t node,
                 const struct stage_msg *m, uint64_t service, int group);
/** The node that owns a group of a service's endpoints now. */
uint64_t owners_find(const struct forward *f, int64_t now_us, uint64_t service,
                     int group);
/** Tells other nodes what an engine has to read. */
void owners_notify_prefill(struct forward *f, const struct request *r,
                           const struct endpoint *e, int64_t tokens);
/** Neither heard of nor asked for a time. */
bool owners_quiet(const struct forward *f, int64_t now_us, uint64_t node,
                  int64_t span_us);
bool owners_suspect(const struct forward *f, int64_t now_us, uint64_t node);
/** An ack or result for an ask of this node. */
void pieces_answer(struct forward *f, int64_t now_us, uint64_t from,
                   const struct stage_msg *m);

/* stream.c */
/** Takes whole events from the front of r->answer.
 * @return bytes of whole events */
size_t stream_whole(const struct buf *b, int64_t *last_id);

#endif
