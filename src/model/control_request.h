/**
 * @file control_request.h
 * Requests from flow cores to the control core and its replies: claims,
 * credits and notices. Nodes exchange the same structures over the network.
 */
#ifndef MODEL_CONTROL_REQUEST_H
#define MODEL_CONTROL_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include "base/hash.h"
#include "base/str.h"

/** Identifies one attempt to use a claim key; unique in the fleet. */
struct attempt_id {
    uint64_t node;        /**< node id */
    uint64_t incarnation; /**< incarnation of the node's process */
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

/** Longest answer, in bytes, that a claim record stores. */
#define CLAIM_ANSWER_MAX_BYTES 1024

/** A request about one claim key. The control core acknowledges DONE and
 * ABANDON with CLAIM_CLOSED; flow cores receive it for ABANDON only. */
struct claim_request {
    enum claim_verb verb;
    struct digest key;
    struct digest body;
    struct attempt_id attempt;
    int64_t valid_us;  /**< time until the attempt's deadline; relative,
                            because clocks differ between nodes */
    int http_status;   /**< DONE only */
    struct str answer; /**< DONE only; borrowed. An answer longer than
                            CLAIM_ANSWER_MAX_BYTES is not stored; messages
                          carry its first CLAIM_ANSWER_MAX_BYTES + 1 bytes */
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
    enum claim_verb verb; /**< verb of the request; flow cores never receive
                               a reply to DONE */
    enum claim_state state;
    struct digest key;
    struct attempt_id attempt; /**< attempt that sent the request */
    int http_status;           /**< DONE */
    bool answer_stored;        /**< DONE: answer holds the stored bytes */
    struct str answer;         /**< borrowed */
    bool key_free; /**< CLOSED after ABANDON: no attempt with the key is
                        open, granted or done */
};

/** Requests or renews a credit to use a cold endpoint. */
struct credit_request {
    uint64_t credit; /**< id chosen by the requester, unique per node
                          incarnation; high 8 bits: traffic thread */
    struct str endpoint;
    int64_t lifetime_us; /**< at most CREDIT_MAX_LIFETIME_US */
    bool renew;          /**< the requester holds the credit already; set by
                              the control core */
    uint64_t sent;       /**< between nodes: send time by the requester's
                              clock */
};

#define CREDIT_MAX_LIFETIME_US 8000000

struct credit_reply {
    uint64_t credit;
    struct str endpoint;
    bool granted;
    int64_t retry_us;  /**< refused: wait at least this long before a retry */
    uint64_t warm_seq; /**< not 0: the endpoint became warm with this change */
    uint64_t sent;     /**< copied from the request */
};

/** Endpoint state in the load report of an answer; NONE: no report. */
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

/** Returns a credit. @c ok: the call that used the credit succeeded. */
struct credit_release {
    uint64_t credit;
    struct str endpoint;
    bool used;
    bool ok;
    enum credit_report report;
    uint64_t sent; /**< between nodes: ends the grants of all requests
                             that were sent up to this time */
};

/** A flow core reports that it detected a cold endpoint, or how many calls it
 * has in flight on an endpoint that the control core reported as cold. */
struct cold_notice {
    struct str endpoint;
    struct str start_id; /**< may be empty */
    int in_flight;       /**< calls of this flow core without credits */
    bool detected;       /**< this flow core detected it; false: the notice
                               only carries the count */
    uint64_t seq;        /**< between nodes: the change that made the endpoint
                               cold */
};

/** Reports to flow cores that an endpoint became cold or warm. */
struct endpoint_notice {
    struct str endpoint;
    bool cold;
    struct str start_id; /**< the newest known start; may be empty */
};

/** Reports the strikes (suspected failures) against a request content. */
struct suspect_notice {
    struct digest content;
    int strikes;     /**< 0 clears the suspicion */
    int64_t hold_us; /**< relative: time until the suspicion expires */
};

#define CONTROL_REQUEST_LIST(X)                                               \
    X(CLAIM, claim, struct claim_request)                                     \
    X(CREDIT, credit, struct credit_request)                                  \
    X(CREDIT_RELEASE, credit_release, struct credit_release)                  \
    X(COLD, cold, struct cold_notice)                                         \
    X(SUSPECT, suspect, struct suspect_notice)

/** A message from a flow core to the control core. */
struct control_request {
    enum control_request_kind {
#define X(id, field, type) CONTROL_REQUEST_##id,
        CONTROL_REQUEST_LIST(X)
#undef X
    } kind;
    union {
#define X(id, field, type) type field;
        CONTROL_REQUEST_LIST(X)
#undef X
    };
};

#define REPLY_LIST(X)                                                         \
    X(CLAIM, claim, struct claim_reply)                                       \
    X(CREDIT, credit, struct credit_reply)                                    \
    X(ENDPOINT, endpoint, struct endpoint_notice)                             \
    X(SUSPECT, suspect, struct suspect_notice)

/** A message from the control core to a flow core. */
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

/** Make deep copies for the rings between threads; the caller frees them with
 * the matching function. */
struct control_request *control_request_dup(const struct control_request *a);
void control_request_free(struct control_request *a);
struct reply *reply_dup(const struct reply *r);
void reply_free(struct reply *r);

#endif
