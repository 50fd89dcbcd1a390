/**
 * @file state.h
 * State shared by the modules of the forwarding core. Private to src/forward.
 */
#ifndef FORWARD_STATE_H
#define FORWARD_STATE_H

#include <glib.h>
#include <sys/queue.h>

#include "base/hist.h"
#include "base/rng.h"
#include "flow/map.h"
#include "flow/timers.h"
#include "forward/blame.h"
#include "forward/endpoints.h"
#include "forward/forward.h"
#include "forward/place.h"
#include "forward/return_slots.h"
#include "forward/stage_pool.h"
#include "forward/stop.h"
#include "forward/team_counts.h"
#include "forward/team_share.h"
#include "forward/wait_list.h"

#define MS 1000LL
#define SECOND 1000000LL

/* A request that was not sent is refused this long before its caller
 * disconnects, so that the caller learns that it was not run. */
#define REFUSE_EARLY_US (60 * MS)

/* id, help */
#define FORWARD_COUNTER_LIST(X)                                               \
    X(requests, "requests received")                                          \
    X(answers, "whole answers given")                                         \
    X(refusals, "requests refused as not run")                                \
    X(failures, "requests failed after they were sent")                       \
    X(wait_refusals, "requests refused behind others that wait")              \
    X(returns_promised, "refused callers that were promised a time")          \
    X(returns_unpromised, "refused callers for which no room was left")       \
    X(returns_in_time, "callers that returned in their time")                 \
    X(returns_early, "callers that returned before their time")               \
    X(return_notices, "notices of returns sent")                              \
    X(gone, "callers that left")                                              \
    X(sends, "requests sent to endpoints")                                    \
    X(repeats, "requests sent once more")                                     \
    X(repeats_denied, "repeats that the shared budget denied")                \
    X(unsent, "sends that found no connection")                               \
    X(not_executed, "sends that an endpoint rejected")                        \
    X(broken, "sends without a whole answer")                                 \
    X(silent, "sends abandoned because their endpoint was silent")            \
    X(results_gone, "sends rejected since results of stages were gone")       \
    X(too_long, "answers longer than a node holds")                           \
    X(crossed, "answers of other requests")                                   \
    X(resumed, "streams that went on at another endpoint")                    \
    X(piece_calls, "calls of pieces")                                         \
    X(pieces, "pieces sent")                                                  \
    X(pieces_reserve, "pieces sent ahead of more urgent ones")                \
    X(pieces_late, "pieces sent too late for their latency objective")        \
    X(pieces_rejected, "calls of pieces that an endpoint rejected")           \
    X(pieces_failed, "pieces without a result")                               \
    X(stages_unmeetable,                                                      \
      "requests refused since their stages cannot end in time")               \
    X(result_groups, "results of pieces that were sent together")             \
    X(owner_changes, "asks that were taken from a silent owner")              \
    X(poisonous, "requests refused since they crash endpoints")               \
    X(part_refusals,                                                          \
      "requests refused since a prompt part crashes endpoints")               \
    X(parts_blocked, "prompt parts that were blocked")                        \
    X(contents_blocked, "request contents that were blocked")                 \
    X(engine_samples, "first events of engines that this node timed")         \
    X(engine_notices, "first events of engines that other nodes timed")       \
    X(engines_full, "requests that waited as all engines were out of memory") \
    X(urgency_raised, "requests made more urgent as their rank was starved")

enum req_state {
    REQ_RUNNING_STAGES, /* its stages are running */
    REQ_WAITING,        /* waiting for an endpoint */
    REQ_SENT,           /* sent to an endpoint; the response has not started */
    REQ_RESPONDING,     /* the response is being received */
};

struct stage_piece {
    bool ready;
    uint64_t stage_request;        /* the stage request for it; 0: none */
    struct str handle;             /* owned */
    uint64_t result_endpoint_hash; /* hash of the id of the endpoint that holds
                                      the result */
};

struct stage {
    int count; /* number of pieces */
    int ready;
    struct stage_piece *pieces;
    struct service_state *service;
    int64_t postponed_until_us; /* when its postponed pieces are requested; 0:
                                   not postponed */
};

struct request {
    uint64_t id;
    struct forward_request in;
    struct cluster_view *cluster_view; /* one reference; keeps route alive */
    const struct route *route;
    struct service_state *service; /* service of the final call */
    struct str team;               /* view into the cluster view */
    enum req_share {
        REQ_SHARE_ANY,    /* no team is above its share */
        REQ_SHARE_WITHIN, /* its team is within its share, another one above */
        REQ_SHARE_ABOVE,
    } share;            /* on arrival */
    uint64_t team_hash; /* hash of team; 0: none */
    int priority;
    int64_t arrived_us;
    int64_t first_attempt_us; /* arrival of its first attempt, which this or
                                 another node refused; else arrived_us */
    int64_t target_us;   /* absolute latency target; later responses are worth
                            less */
    int64_t deadline_us; /* absolute deadline of the complete response */
    int64_t response_start_by_us; /* absolute; the caller disconnects unless
                                     the response has started */
    enum req_state state;
    struct wait_entry wait; /* in the list of the service while it waits for an
                               endpoint */
    struct place_prompt prompt;
    struct endpoint *planned_engine; /* engine of the final call */
    struct stage stages[ROUTING_MAX_STAGES];
    int stage_restarts;
    int sends;               /* sends that reached an endpoint */
    int64_t repeat_taken_us; /* when a send that is not made yet was taken from
                                the shared limit; 0: none */
    int unsent;
    bool may_have_run;
    uint64_t call; /* 0: none */
    struct endpoint *endpoint;
    int64_t sent_us;
    int64_t first_byte_us; /* first byte of the response; 0: none yet */
    int64_t expected_first_byte_us; /* expected time to the first byte */
    int64_t prefill_tokens;         /* counted in endpoint->prefill_tokens */
    int64_t held_tokens;            /* counted in endpoint->held_tokens */
    int64_t pinned_tokens;          /* counted in endpoint->pinned_tokens */
    double sample_tokens; /* prompt tokens that the engine reads until the
                             first event */
    int tried_count;
    uint64_t tried[PLACE_MAX_TRIED];
    bool head_accepted;    /* of the current call */
    bool framed;           /* the current response has a length or chunks */
    bool response_started; /* the response to the caller has started */
    bool call_paused;      /* the call is paused until the caller has read its
                              backlog */
    int status;
    struct buf response;   /* plain: whole body; stream: an incomplete event */
    int64_t last_event_id; /* last complete one sent; -1: none */
    int64_t last_activity_us; /* last response head, complete event or, for a
                                 plain response, byte from the endpoint */
    int64_t silence_check_us; /* next look at whether the call is silent */
    bool results_released;    /* stage results were released */
    bool preparing;           /* the stages run again beside the silent call,
                                 for a repeat */
    bool version_asked;       /* version_side is set */
    bool version_counted;     /* the current call's response was counted */
    bool version_failed;      /* as bad */
    enum rollout_side version_side; /* chosen, or of the last call */
    bool trial; /* sent although its prompt parts are blocked */
};

/* A request for pieces that was sent to the owner of an endpoint group. */
struct pending_stage_request {
    uint64_t id;
    uint64_t request;
    int stage;
    int group;
    uint64_t owner;          /* hash of the node's name */
    uint64_t previous_owner; /* previous owner, which may still hold results;
                                0: none */
    int64_t sent_us;
    int missing_count; /* pieces without a result */
    int resend_doublings;
    bool acknowledged; /* the owner has acknowledged the request */
};

/* Another node that may own stage endpoints. */
struct peer {
    uint64_t node;
    uint64_t key;       /* hash of its public key; changes when it restarts */
    bool knows_results; /* has shown that it knows struct stage_results */
    int64_t results_asked_us; /* when it was last asked to; 0: never */
    bool contacted;        /* was sent a message ahead of the first request */
    bool reconnected;      /* since unanswered_us */
    int64_t unanswered_us; /* send time of the oldest message with no reply
                              since; 0: none */
    uint64_t unanswered_request; /* stage request in that message */
    int64_t last_request_us;     /* last stage request sent to it */
    int64_t last_received_us;    /* last message received from it */
    int64_t suspect_until_us;
    int64_t suspect_duration_us;
};

/* An acknowledgement or result from a pool of this node, delivered after the
 * pools have run. */
struct local_message {
    struct stage_msg msg;
    struct str handle; /* owned */
};

/* Number of priorities with separate wait estimates; lower priorities share
 * the last one. */
#define WAIT_PRIORITIES 4

/* A service as seen by this traffic thread. */
struct service_state {
    uint64_t hash;        /* hash of the name */
    struct service info;  /* strings are views into the current cluster view */
    GPtrArray *endpoints; /* usable endpoints of the current cluster view */
    struct engine_model engine_model; /* of its engines */
    struct engine_traffic engine_traffic;
    struct repeat_budget budget;
    int groups; /* number of groups of its stage endpoints; each group is owned
                   by one node */
    struct {
        int64_t us; /* moving average of the wait of pieces */
        int64_t seen_us;
    } waits[2 * WAIT_PRIORITIES]; /* the second half: of teams above their
                                     share */
    int64_t above_share_us;   /* when a request of a team above its share last
                                 arrived for the final call; 0: never */
    struct wait_list waiting; /* requests that wait for an endpoint */
    struct rollout_traffic *rollout;   /* NULL: there was no directive */
    int version_counts[ROLLOUT_SIDES]; /* of endpoints, without rejected ones
                                        */
    int64_t moved_us; /* when all traffic went to the new version; 0: it does
                         not */
    int64_t waiting_retry_us; /* when an endpoint may accept work again */
    bool waiting_retried;     /* the list is being retried */
    struct team_share *share; /* recent use by teams, in requests */
};

struct forward {
    struct forward_options opts;
    struct forward_io io;
    struct rng rng;
    struct cluster_view *cluster_view;
    int64_t contact_us;
    int64_t last_run_us;         /* last call of forward_run */
    struct map requests;         /* id -> struct request */
    struct map calls;            /* id -> struct request */
    struct map pending_requests; /* id -> struct pending_stage_request */
    struct map pools;          /* service hash + group -> struct pool_entry */
    struct map peers;          /* hash of node -> struct peer */
    GQueue inbox;              /* struct local_message */
    uint64_t self;             /* hash of this node's name */
    uint64_t nodes_version;    /* nodes_version of the cluster view */
    int64_t owners_checked_us; /* last run of detect_silent_owners */
    int64_t owners_due_us;     /* next run that is due; INT64_MAX: none */
    int64_t contact_due_us;    /* next message to an owner that this node has
                                  not contacted; INT64_MAX: none */
    int64_t requests_check_us; /* next check of pending stage requests;
                                  INT64_MAX: none */
    struct map services;       /* hash of name -> struct service_state */
    struct map endpoints;      /* hash of id -> struct endpoint */
    struct timers timers;
    uint64_t next_call;      /* last id of a call or stage request; starts at a
                                random number */
    int64_t accept_until_us; /* later requests are refused; INT64_MAX: the node
                                is not being stopped */
    int64_t finish_by_us;    /* open requests are ended then; as above */
    int64_t stop_check_us;   /* next check of the requests that wait */
    struct map durations;    /* hash of a route's name -> struct
                                call_duration */
    bool dispatch_needed;    /* pieces or waiting requests may be sendable */
    struct return_slots *returns;
    struct team_counts *team_counts;
    struct blame *blames[CRASH_SUBJECT_COUNT];
    struct map version_calls;  /* call -> struct version_call */
    int64_t versions_check_us; /* next versions_run */
    struct map probes;         /* call -> struct crash_probe */
    int64_t probe_due_us;      /* next repeated probe; INT64_MAX: none */
    int64_t sync_due_us; /* next repetition of the blocks; INT64_MAX: none
                          */
    struct {
        int64_t since_us; /* start of the second of the number */
        int accepted;
    } crash_notices[CRASH_SUBJECT_COUNT];
    struct engine_notice engine_notice; /* samples that are not sent yet */
    int64_t engine_notice_us;           /* when the last one was sent */
    struct hist latency;                /* until the complete response, us */
    struct hist first_byte;             /* until the first byte, us */
#define X(id, help) uint64_t id;
    struct {
        FORWARD_COUNTER_LIST(X)
    } counters;
#undef X
};

/* request.c */
/** Returns when the caller disconnects: its deadline, or, until the response
 * has started, the time by which it must start. */
int64_t req_caller_leaves_us(const struct request *r);
void req_send_or_wait(struct forward *f, int64_t now_us, struct request *r);
void req_refuse(struct forward *f, int64_t now_us, struct request *r,
                enum errkind kind, const char *why, int64_t retry_ms);
void req_free(struct forward *f, struct request *r);
/** Returns whether a request may be sent again after it may have run. */
bool req_is_repeatable(const struct request *r);
bool req_is_stream(const struct request *r);
/** Closes the connection of the current call, if any. */
void req_cancel_call(struct forward *f, struct request *r);
/** Takes one more send of the request from the budget of its service.
 * @return false if it may not be sent again */
bool req_take_repeat(struct forward *f, int64_t now_us, struct request *r);
/** As req_take_repeat, for a request that arrived at an endpoint and was
 * rejected without being run, which may be sent again in any case. */
bool req_take_resend(struct forward *f, int64_t now_us, struct request *r);
void req_log_outcome(const struct request *r, int64_t now_us,
                     const char *event, const char *why);
/** Returns the key of a request's content, made of the low half of the
 * content's digest, the route and the prompt parts, which a header names. */
uint64_t req_content_key(const struct forward_request *in,
                         const struct route *route);
/** Size of a text that holds the ids of all prompt parts of a request. */
#define REQ_PARTS_TEXT_BYTES (FORWARD_MAX_PARTS * 17 + 1)
/** Writes the hexadecimal ids of the prompt parts, separated by commas.
 * @return a view of @p text */
struct str req_format_parts(const struct forward_request *in,
                            char text[REQ_PARTS_TEXT_BYTES]);
/** Retries the requests that wait for an endpoint. */
void req_retry_waiting(struct forward *f, int64_t now_us,
                       struct service_state *s);
int forward_node_count(const struct forward *f);
/** Returns whether the configuration has teams, so that waiting requests and
 * refusals are ordered by docs/design/teams.md. */
bool forward_uses_teams(const struct forward *f);
/** Removes the current call and decrements the load of its endpoint. */
void req_detach_call(struct forward *f, struct request *r);

/* response.c */
/** Starts the limit on the time without a response of the current call. */
void response_watch_silence(struct forward *f, int64_t now_us,
                            struct request *r);
/** Starts to watch whether the endpoint of the current call has fetched the
 * results of the stages. */
void response_watch_fetch(struct forward *f, int64_t now_us,
                          const struct request *r);
/** Releases the results that a call reads once its endpoint has fetched them.
 */
void response_handle_fetch_timeout(struct forward *f, int64_t now_us,
                                   uint64_t call);
void response_handle_silence(struct forward *f, int64_t now_us, uint64_t call);
/** Abandons a silent call for a repeat whose stages have run. */
void response_repeat_prepared(struct forward *f, int64_t now_us,
                              struct request *r);
void response_handle_deadline(struct forward *f, int64_t now_us,
                              struct request *r);

/* returns.c */
/** Refuses a request for want of room: tells its caller a time at which there
 * may be some, and expects it then. @param retry_ms time until there may be
 * room */
void returns_refuse(struct forward *f, int64_t now_us, struct request *r,
                    enum errkind kind, const char *why, int64_t retry_ms,
                    const struct service_state *full);
/** Recognizes a caller that was refused and returns in its time. */
void returns_arrive(struct forward *f, int64_t now_us, struct request *r);
/** Sends the notices that are due to other nodes. */
void returns_run(struct forward *f, int64_t now_us);

/* waits.c */
/** Returns how long the pieces of a request are expected to wait at a service
 * of stages, from waits of requests of the same priority and share. */
int64_t waits_current_us(const struct service_state *s,
                         const struct request *r, int64_t now_us);
/** Records an observed or expected wait. */
void waits_record(struct service_state *s, const struct request *r,
                  int64_t now_us, int64_t wait_us);
/** Returns the service of the stages whose pieces wait longest, or the service
 * of the final call if none waits. */
const struct service_state *waits_slowest_service(int64_t now_us,
                                                  const struct request *r);
/** Continues a stream at another endpoint, if it may be repeated. */
void response_move_stream(struct forward *f, int64_t now_us,
                          struct request *r);

/* pieces.c */
/** Initializes the stages. @return false if a stage has no service */
bool pieces_init(struct forward *f, int64_t now_us, struct request *r);
/** Requests the pieces whose inputs are ready. @return true if all are done */
bool pieces_request_ready(struct forward *f, int64_t now_us,
                          struct request *r);
/** Requests the pieces of stages that were postponed until now. */
void pieces_request_postponed(struct forward *f, int64_t now_us,
                              struct request *r);
/** Drops all stage requests and releases their results. */
void pieces_release(struct forward *f, int64_t now_us, struct request *r);
/** Restarts all stages. @return false if the limit of restarts is reached */
bool pieces_restart(struct forward *f, int64_t now_us, struct request *r);
/** Runs all stages again beside the current call, which is silent. When they
 * are done, response_repeat_prepared is called; if they fail, nothing happens.
 * @return false if the limit of restarts is reached */
bool pieces_prepare(struct forward *f, int64_t now_us, struct request *r);
/** Ends that, and releases the results. */
void pieces_stop_preparing(struct forward *f, int64_t now_us,
                           struct request *r);
/** Returns whether the results were released although the final call needs
 * them again. */
bool pieces_were_released(const struct request *r);
/** Collects the handles of the results that the final call needs.
 * @return their number */
int pieces_result_handles(const struct request *r, struct str *out, int max);
/** Resends stage requests to owners that do not reply, or moves them to
 * another owner. */
void pieces_check_requests(struct forward *f, int64_t now_us);

/* stage_time.c */
/** Estimates the time until the final call if no piece has to wait. */
int64_t pieces_remaining_us(const struct request *r);
/** As pieces_remaining_us, including recently observed waits. */
int64_t pieces_expected_us(int64_t now_us, const struct request *r);
/** Estimates the time from the final call to the first byte of the response.
 */
int64_t pieces_final_call_us(int64_t now_us, const struct request *r);
/** Least time from the final call to the first byte. */
#define STAGE_TIME_FIRST_BYTE_MIN_US (20 * MS)
/** Which waits a path through the stages includes. */
enum path_waits {
    WAITS_NONE,
    /** The duration of a full call for each stage: a piece that comes first in
     * the order still waits for an endpoint to end its call. A stage request
     * that starts with less time left meets its objective in its own stage
     * only to miss it in the next one. */
    WAITS_FOR_CALL,
    /** The waits that were observed lately. */
    WAITS_ALL,
};
/** Duration of a call with this many pieces, with the owner's overhead. */
int64_t stage_time_duration_us(const struct service_state *s, int pieces);
/** Longest path through the remaining stages that follow stage @p from,
 * without stage @p skip (-1: all stages, none skipped). */
int64_t stage_time_path_us(const struct request *r, int from, int skip,
                           enum path_waits waits, int64_t now_us);
/** As pieces_final_call_us, without the prompts that wait at the engine. */
int64_t stage_time_final_work_us(int64_t now_us, const struct request *r);
/** Returns by how much the caller leaves too early for a stage that starts at
 * @p start_us, the stages after it and the first byte, if none of the later
 * ones has to wait; negative or 0: they can end in time. */
int64_t stage_time_missing_us(const struct request *r, int stage,
                              int64_t start_us);

/* owners.c */
void owners_set_site(struct forward *f, int64_t now_us);
void owners_run(struct forward *f, int64_t now_us);
int64_t owners_next_wakeup_us(const struct forward *f);
void owners_free(struct forward *f);
/** Sends a message to a node, which may be this node. */
void owners_send(struct forward *f, int64_t now_us, uint64_t node,
                 const struct stage_msg *m, uint64_t service, int group);
/** Returns the node that currently owns an endpoint group of a service. */
uint64_t owners_find(const struct forward *f, uint64_t service, int group);
/** Maximum number of nodes that receive a notice. It bounds the messages in a
 * large fleet: 9.5 requests a second and node make 300 messages of 60 bytes.
 */
#define OWNERS_NOTIFY_MAX_NODES 32
/** Sends a notice to other nodes. */
void owners_notify(struct forward *f, const struct stage_msg *m);
/** Notifies other nodes of a prompt that an engine has to prefill. */
void owners_notify_prefill(struct forward *f, const struct request *r,
                           const struct endpoint *e, int64_t tokens);
/** Returns whether no message from the node was received and no stage request
 * was sent to it for @p span_us. */
bool owners_is_quiet(const struct forward *f, int64_t now_us, uint64_t node,
                     int64_t span_us);
bool owners_is_suspect(const struct forward *f, int64_t now_us, uint64_t node);
/** Handles an acknowledgement or result for a stage request of this node. */
void pieces_handle_reply(struct forward *f, int64_t now_us, uint64_t from,
                         const struct stage_msg *m);

/* owner_results.c */
/** Sends results one by one with @p send. */
void owner_results_split(const struct stage_results *r, uint64_t node,
                         void (*send)(void *ctx, uint64_t node,
                                      const struct stage_msg *m),
                         void *ctx);
/** Asks a node to show that it knows struct stage_results, unless it was asked
 * lately. */
void owner_results_ask(struct forward *f, int64_t now_us, struct peer *p);
/** Handles results, or a message without any, of another node. */
void owner_results_handle(struct forward *f, int64_t now_us, struct peer *p,
                          const struct stage_results *r);

/* stream.c */
/** Finds the complete events at the front of a buffer. Sets @p last_id to the
 * last id in them, if any.
 * @return bytes of complete events */
size_t stream_complete_bytes(const struct buf *b, int64_t *last_id);

#endif
