/**
 * @file ask.h
 * What flow cores ask of the control core and what it answers: claims,
 * credits and notices. The same structures travel between nodes.
 */
#ifndef MODEL_ASK_H
#define MODEL_ASK_H

#include <stdbool.h>
#include <stdint.h>

#include "base/hash.h"
#include "base/str.h"

/** Identity of one attempt to use a claim key; unique in the fleet. */
struct attempt_id {
    uint64_t node;        /**< node id */
    uint64_t incarnation; /**< of the node's process */
    uint64_t seq;         /**< high 8 bits: traffic thread */
};

#define CLAIM_VERB_LIST(X)                                                    \
    X(OPEN, "open")                                                           \
    X(CLAIM, "claim")                                                         \
    X(DONE, "done")                                                           \
    X(ABANDON, "abandon")

enum claim_verb {
#define X(id, name) CLAIM_VERB_##id,
    CLAIM_VERB_LIST(X)
#undef X
};

/** Longest answer, in bytes, that is kept in a claim record. */
#define CLAIM_ANSWER_MAX 1024

/** A request about one claim key. CLAIM_CLOSED acknowledges DONE and ABANDON;
 * flow cores get it for ABANDON only. */
struct claim_ask {
    enum claim_verb verb;
    struct digest key;
    struct digest body;
    struct attempt_id attempt;
    int64_t valid_us;  /**< time until the attempt's deadline; relative, so
                            that it can cross nodes */
    int http_status;   /**< DONE only */
    struct str answer; /**< DONE only; borrowed. Longer than CLAIM_ANSWER_MAX:
                            not kept; cut to one byte above it on the wire */
};

#define CLAIM_STATE_LIST(X)                                                   \
    X(OPENED, "opened")                                                       \
    X(GRANTED, "granted")                                                     \
    X(DONE, "done")                                                           \
    X(HELD, "held")                                                           \
    X(BUSY, "busy")                                                           \
    X(MISMATCH, "mismatch")                                                   \
    X(UNAVAILABLE, "unavailable")                                             \
    X(CLOSED, "closed")

enum claim_state {
#define X(id, name) CLAIM_##id,
    CLAIM_STATE_LIST(X)
#undef X
};

struct claim_reply {
    enum claim_verb verb; /**< of the request answered; flow cores do not
                               see DONE */
    enum claim_state state;
    struct digest key;
    struct attempt_id attempt; /**< the attempt that asked */
    int http_status;           /**< DONE */
    bool answer_kept;          /**< DONE: answer holds the recorded bytes */
    struct str answer;         /**< borrowed */
    bool key_free; /**< CLOSED of an ABANDON: no attempt with the key is
                        open, granted or done */
};

/** Asks for, or renews, a credit to use a cold endpoint. */
struct credit_ask {
    uint64_t credit; /**< chosen by the asker, unique per node incarnation;
                          high 8 bits: traffic thread */
    struct str endpoint;
    int64_t lifetime_us; /**< at most CREDIT_LIFE_MAX_US */
    bool renew;          /**< held already; set by the control core */
    uint64_t sent;       /**< between nodes: when, by the asker's clock */
};

#define CREDIT_LIFE_MAX_US 8000000

struct credit_reply {
    uint64_t credit;
    struct str endpoint;
    bool granted;
    int64_t retry_us;  /**< refused: ask again no sooner than this */
    uint64_t warm_seq; /**< not 0: the endpoint is warm as of this change */
    uint64_t sent;     /**< repeated from the ask */
};

/** What the load report of an answer says; NONE without a report. */
#define CREDIT_REPORT_LIST(X)                                                 \
    X(NONE, "none")                                                           \
    X(COLD, "cold")                                                           \
    X(WARM, "warm")

enum credit_report {
#define X(id, name) CREDIT_REPORT_##id,
    CREDIT_REPORT_LIST(X)
#undef X
        CREDIT_REPORT_COUNT
};

/** Gives a credit back. @c ok: the call it was used for succeeded. */
struct credit_release {
    uint64_t credit;
    struct str endpoint;
    bool used;
    bool ok;
    enum credit_report report;
    uint64_t sent; /**< between nodes: ends grants for asks up to this */
};

/** A flow core saw that an endpoint is cold, or counts its calls in flight
 * on an endpoint that it was told is cold. */
struct cold_notice {
    struct str endpoint;
    struct str start_id; /**< may be empty */
    int in_flight;       /**< of this flow core, without credits */
    bool detected;       /**< seen here, as against a mere count */
    uint64_t seq;        /**< between nodes: the change that made it cold */
};

/** The endpoint became cold or warm; control to flow. */
struct endpoint_notice {
    struct str endpoint;
    bool cold;
    struct str start_id; /**< the newest known, may be empty */
};

/** Strikes against a request content. */
struct suspect_notice {
    struct digest content;
    int strikes;     /**< 0 clears */
    int64_t hold_us; /**< relative: time until it is forgotten */
};

#define ASK_LIST(X)                                                           \
    X(CLAIM, claim, struct claim_ask)                                         \
    X(CREDIT, credit, struct credit_ask)                                      \
    X(CREDIT_RELEASE, credit_release, struct credit_release)                  \
    X(COLD, cold, struct cold_notice)                                         \
    X(SUSPECT, suspect, struct suspect_notice)

/** From a flow core to the control core. */
struct ask {
    enum ask_kind {
#define X(id, field, type) ASK_##id,
        ASK_LIST(X)
#undef X
    } kind;
    union {
#define X(id, field, type) type field;
        ASK_LIST(X)
#undef X
    };
};

#define REPLY_LIST(X)                                                         \
    X(CLAIM, claim, struct claim_reply)                                       \
    X(CREDIT, credit, struct credit_reply)                                    \
    X(ENDPOINT, endpoint, struct endpoint_notice)                             \
    X(SUSPECT, suspect, struct suspect_notice)

/** From the control core to a flow core. */
struct reply {
    enum reply_kind {
#define X(id, field, type) REPLY_##id,
        REPLY_LIST(X)
#undef X
    } kind;
    union {
#define X(id, field, type) type field;
        REPLY_LIST(X)
#undef X
    };
};

/** Deep copies, for rings between threads; free with the matching function. */
struct ask *ask_dup(const struct ask *a);
void ask_free(struct ask *a);
struct reply *reply_dup(const struct reply *r);
void reply_free(struct reply *r);

#endif
