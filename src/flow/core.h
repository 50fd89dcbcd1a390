/**
 * @file core.h
 * State shared by the modules of one flow core. Only files in src/flow may
 * include this header.
 *
 * Ownership: struct flow owns requests, pools, teams, endpoints, calls and
 * credits. Objects that end during a step are freed at the start of the next
 * step, so that strings in actions stay valid.
 */
#ifndef FLOW_CORE_H
#define FLOW_CORE_H

#include <jansson.h>

#include "base/rng.h"
#include "flow/estimate.h"
#include "flow/fairq.h"
#include "flow/flow.h"
#include "flow/limit.h"
#include "flow/map.h"
#include "flow/outlier.h"
#include "flow/retry.h"
#include "flow/suspect.h"
#include "flow/timers.h"

/* Times are in microseconds. */
#define MS 1000LL
#define SECOND 1000000LL

/* id, metric name, help */
#define FLOW_COUNTER_LIST(X)                                                  \
    X(REQUESTS, "requests", "requests received")                              \
    X(ANSWERS, "answers", "whole answers given")                              \
    X(TOKENS, "tokens", "tokens passed to callers")                           \
    X(RETRIES, "retries", "calls repeated")                                   \
    X(RETRIES_DENIED, "retries_denied", "retries refused by a budget")        \
    X(HEDGES, "hedges", "second calls for slow ones")                         \
    X(LATE, "late_answers", "answers of finished attempts dropped")           \
    X(CROSSED, "crossed_answers", "answers of other attempts dropped")        \
    X(BROKEN, "broken_answers", "answers that were not whole")                \
    X(SILENT, "silent_calls", "calls abandoned for silence")                  \
    X(CANCELS, "cancelled_calls", "calls cancelled")                          \
    X(CLAIMS, "claims", "claims asked")                                       \
    X(REPLAYS, "replays", "recorded results replayed")                        \
    X(ABANDONS, "abandons", "claims abandoned unsent")                        \
    X(CREDITS_ASKED, "credits_asked", "credits asked, renewals included")     \
    X(CREDITS_GRANTED, "credits_granted", "credits granted")                  \
    X(CREDITS_UNUSED, "credits_unused", "credits given back unused")          \
    X(COLD, "cold_detected", "endpoints found cold")                          \
    X(EJECTIONS, "ejections", "endpoints ejected")                            \
    X(PROBES, "probes", "endpoint probes")                                    \
    X(STRIKES, "strikes", "requests blamed for a dead endpoint")

enum flow_counter {
#define X(id, name, help) COUNT_##id,
    FLOW_COUNTER_LIST(X)
#undef X
        COUNT_COUNT
};

struct team {
    struct str name; /**< owned */
    uint64_t id;     /**< hash of the name */
    int open;        /**< requests admitted and not yet ended */
    struct retry_budget retries;
    struct retry_budget hedges;
};

struct endpoint {
    struct str id;  /**< owned */
    struct str url; /**< owned */
    uint64_t hash;  /**< of id */
    struct pool *pool;
    int zone;
    bool usable;  /**< in service according to the snapshot */
    bool removed; /**< absent from the newest snapshot */
    bool leaving; /**< by its own report, it is shutting down */
    bool cold;
    int uncredited_calls_sent; /**< calls without a credit, as last sent to the
                                  credit owner */
    bool detected;    /**< this node found it cold; the owner has not confirmed
                         that */
    int64_t probe_us; /**< start of the running probe, 0 if none */
    int64_t answer_report_us;     /**< last report in an answer, 0 if none */
    struct endpoint *notice_next; /**< list link of f->notice_due */
    bool notice_due;      /**< a cold notice is to be sent in this step */
    bool notice_detected; /**< the notice reports that this node found it cold
                           */
    bool reserved_for_suspect; /**< gets no more calls, until a suspect request
                                  can run */
    bool
        runs_suspect; /**< a suspect request is running, without other calls */
    int in_flight;
    int slow_first_tokens;   /**< consecutive slow first tokens */
    int refused_connections; /**< consecutive refused connections */
    struct str start_id;     /**< owned; changes with each process start */
    int reported_load;   /**< calls in flight and queued, by its load report */
    int64_t reported_us; /**< time of that load report, 0 if none */
    int64_t credit_retry_us; /**< no credit is requested before */
    int credits;             /**< requested or granted, unused */
    int extra_credits; /**< credits that may be requested besides the first */
    struct credit *held_credits; /**< granted and unused credits */
    struct limit limit;
    struct outlier outlier;
    struct hist warm; /**< times to the first byte while warm */
    struct request
        *probe_waiters; /**< their calls failed; they need its probe */
    struct endpoint *next_removed;
};

struct pool {
    struct str name; /**< owned */
    uint64_t hash;
    int index;                   /**< in the newest snapshot, -1 if absent */
    const int64_t *settings;     /**< of the newest snapshot */
    struct endpoint **endpoints; /**< of the newest snapshot */
    int count;
    int next; /**< start of the round robin */
    struct fairq *queue;
    /** Requests with a granted claim or a retry; sent before queued ones. */
    struct request *ready;
    struct request *suspects; /**< may only run without other calls */
    struct estimate estimate;
    struct retry_budget retries;
    struct retry_budget hedges;
    struct affinity_slot *affinity;
    bool dirty; /**< in f->dirty: is dispatched at the end of the step */
    struct pool *dirty_next;
};

/** The endpoint that prompts with a given prefix were last sent to. */
struct affinity_slot {
    uint64_t prefix;
    uint64_t endpoint; /**< hash of its id */
    int64_t seen_us;
};

enum claim_step {
    CLAIM_STEP_NONE,    /**< the stage is repeatable and has no claim */
    CLAIM_STEP_OPENING, /**< OPEN sent, no reply yet */
    CLAIM_STEP_OPENED,
    CLAIM_STEP_CLAIMING, /**< CLAIM sent, no reply yet */
    CLAIM_STEP_GRANTED,  /**< granted, nothing sent */
    CLAIM_STEP_SENT,     /**< bytes may have been sent */
    CLAIM_STEP_DONE, /**< the complete answer is known, http_status is set */
    CLAIM_STEP_ABANDONING, /**< ABANDON sent; its reply says whether the key is
                              free */
    CLAIM_STEP_ENDED,      /**< abandoned, or held by another attempt */
};

struct stage_claim {
    enum claim_step step;
    uint64_t seq; /**< sequence number in the attempt id */
    struct digest key;
    int http_status;
    int64_t requested_us;
};

enum req_state {
    REQ_OPENING, /**< waits for the replies to OPEN */
    REQ_QUEUED,
    REQ_CLAIMING,
    REQ_READY,   /**< has its claim or is retried, waits for an endpoint */
    REQ_SUSPECT, /**< a suspect that waits for an idle endpoint */
    REQ_CALLING,
    REQ_BACKOFF,
    REQ_PROBING, /**< waits for a probe of the endpoint of its failed call */
    REQ_ENDING_CLAIMS, /**< refusal decided, waits for the end of its claims */
    REQ_ENDED,
};

#define REQ_TRIED_MAX 8

struct request {
    uint64_t req;
    struct str request_id; /**< owned */
    json_t *body_json;     /**< parsed request body */
    struct snapshot *snap; /**< at admission; holds a reference */
    const struct fleet_pipeline *pipeline;
    struct team *team;
    const int64_t *team_settings;
    struct pool *pools[FLEET_MAX_STAGES];
    json_t *results[FLEET_MAX_STAGES];
    struct stage_claim claims[FLEET_MAX_STAGES];
    /** REQ_ENDING_CLAIMS: the refusal that is sent if the keys are free. */
    enum errkind refusal_kind;
    struct str refusal_detail; /**< owned */
    bool key_taken;            /**< REQ_ENDING_CLAIMS: a key is not free */
    struct digest content;     /**< digest of pipeline name and body */
    uint64_t prefix;           /**< hash of the prompt's first 1 KB */
    unsigned replayed_stages;  /**< bit set of stages answered from a record */
    bool stream;
    bool detached;         /**< the caller has left or has been refused */
    bool counted_in_team;  /**< included in team->open */
    bool fresh_connection; /**< the next call must open a new connection */
    enum req_state state;
    int stage;
    int calls_sent;   /**< calls of this stage that were sent */
    int calls_unsent; /**< calls of this stage that failed before any byte was
                         sent */
    int64_t arrived_us;
    int64_t deadline_us;
    int64_t wait_start_us; /**< start of the current wait for an endpoint */
    int64_t wait_end_us; /**< end of a backoff, or of a wait for a probe or for
                            claims */
    struct str call_body; /**< owned; body of the calls of the current stage */
    uint64_t tried[REQ_TRIED_MAX]; /**< endpoint hashes of failed calls */
    int tried_count;
    int tried_zone; /**< zone of the last failed call, -1 if none */
    struct call *calls;
    struct buf text; /**< tokens of the current generate stage */
    int tokens;
    int tokens_delivered; /**< tokens sent to the caller */
    struct fairq_entry entry;
    struct request *next; /**< list link of pool->ready or pool->suspects */
    struct request *probe_next; /**< list link of endpoint->probe_waiters */
    struct endpoint
        *probed_endpoint; /**< REQ_PROBING: the endpoint that is probed */
    struct request *ended_next;
};

/** One attempt to run a stage at an endpoint. */
struct call {
    uint64_t attempt;
    struct request *r;
    struct endpoint *ep;
    struct credit *credit;
    int stage;
    bool hedge;
    bool awaits_probe; /**< no bytes for silence_us, probe requested */
    bool runs_alone;   /**< the request is a suspect */
    int64_t start_us;
    int64_t first_us;     /**< time of the first byte, 0 before it */
    int64_t last_byte_us; /**< time of the newest byte; of sending before the
                             first */
    int64_t silence_us;   /**< longest allowed wait since last_byte_us */
    int64_t silence_timer_us; /**< when the valid TIMER_SILENCE is due */
    int resume_from;          /**< tokens that were held when it was sent */
    int next_index;           /**< of the next token, -1 before the first */
    size_t text_pos; /**< offset of the next token's text in r->text */
    struct call *next;
    struct call *ended_next;
};

struct flow {
    struct flow_options opts;
    bool full_policy; /**< the policy is FLOW_POLICY_FULL */
    struct rng rng;
    int64_t now_us;
    int64_t fresh_until_us; /**< new work may be sent before this */
    bool draining;
    struct snapshot *snap;
    uint64_t seq; /**< last number given to an attempt, claim or credit */
    struct map requests;
    struct map calls;
    struct map claims;           /**< seq -> struct request */
    struct map abandoned_claims; /**< seq -> struct abandoned_claim */
    struct map credits;
    struct map endpoints; /**< hash -> struct endpoint */
    struct map pools;     /**< hash -> struct pool, never freed before f */
    struct map teams;     /**< hash -> struct team, never freed before f */
    struct timers timers;
    struct suspects *suspects;
    struct request *ended_requests;
    struct call *ended_calls;
    struct endpoint *removed_endpoints;
    struct pool *dirty;
    struct endpoint *notice_due;
    int64_t abandoned_swept_us; /**< last removal of old ones */
    /* Actions of the current step, and memory for their strings. */
    struct flow_action *actions;
    size_t action_count, action_cap, action_next;
    struct arena_block *arena;
    uint64_t counts[COUNT_COUNT];
    uint64_t refused_counts[ERRKIND_COUNT];
    uint64_t stage_calls[STAGE_KIND_COUNT];
    uint64_t stage_busy_us[STAGE_KIND_COUNT];
};

/** Adds an action to the current step. @return the action to fill in, valid
 * until the next one is added */
struct flow_action *core_add_action(struct flow *f,
                                    enum flow_action_kind kind);

/** Adds a message to the control core, to be filled in like an action. */
struct control_request *
core_add_control_message(struct flow *f, enum control_request_kind kind);

/** Copies a string. @return a copy that is valid until the next step */
struct str core_copy_str(struct flow *f, struct str s);

/** Adds the action for a trace span that ends now. @p c may be NULL; @p name
 * and @p outcome are static. */
void core_add_span(struct flow *f, const struct request *r, const char *name,
                   int stage, const struct call *c, int64_t start_us,
                   const char *outcome);

/** Returns a number that is unique within the node incarnation; the high byte
 * is the thread. */
uint64_t core_next_seq(struct flow *f);

/** True while new work may be sent. */
bool core_is_fresh(const struct flow *f);

/** Starts a step: drops the actions of the previous step and frees the objects
 * that ended in it. */
void core_begin_step(struct flow *f, int64_t now_us);

/** Frees the actions, their strings and the ended objects. */
void core_free(struct flow *f);

#endif
