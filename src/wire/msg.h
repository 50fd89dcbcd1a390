/**
 * @file msg.h
 * Messages between nodes and their MessagePack codec. Loss, duplication and
 * reordering of any message are harmless; see MSG_LIST for the reasons.
 */
#ifndef WIRE_MSG_H
#define WIRE_MSG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/hash.h"
#include "base/str.h"
#include "model/control_request.h"
#include "model/feed_relay.h"
#include "model/stage_work.h"
#include "rollout/record.h"

#define MSG_VERSION 1
#define MSG_MAX_GOSSIP 8
#define MSG_MAX_BYTES (1536 * 1024)

enum doc_kind { DOC_CONFIG, DOC_ROSTER, DOC_VMS, DOC_COUNT };

enum member_state { MEMBER_ALIVE, MEMBER_SUSPECT, MEMBER_DEAD, MEMBER_LEFT };

/** One gossip update. It is applied only if it is newer than the known state,
 * so duplicates and late arrivals have no effect. */
struct gossip {
    enum gossip_kind { GOSSIP_MEMBER, GOSSIP_ENDPOINT, GOSSIP_SUSPECT } kind;
    union {
        struct {
            uint64_t node;
            uint64_t incarnation;
            enum member_state state;
        } member;
        struct {
            struct str endpoint;
            struct str start_id;
            uint64_t seq; /**< increases with each change of state */
            bool cold;
        } endpoint;
        struct suspect_notice suspect;
    };
};

/** Body of PING, PING_REQ, ACK and LEAVE. */
struct probe_body {
    uint64_t seq;    /**< copied into the ACK */
    uint64_t target; /**< PING_REQ: the node to probe */
    int64_t revisions[DOC_COUNT];
    int64_t contact_roster; /**< roster revision that contact_age_bytes refers
                               to */
    struct str contact_age_bytes; /**< time since the last contact in units of
                              100 ms, one byte each: [0] the store, [1+i]
                              roster member i; 255: 25.5 s or more */
    int gossip_count;
    struct gossip gossip[MSG_MAX_GOSSIP];
};

struct doc_body {
    enum doc_kind doc;
    int64_t revision;
    struct str bytes; /**< DOC only */
};

#define MSG_MAX_CREDITS 64

/** Reply to CREDIT_QUERY: from now on the sender uses only the querying
 * owner's credits for the endpoint. Lists the credits that the sender holds
 * and counts its calls in flight without a credit. */
struct credit_state {
    struct str endpoint;
    uint64_t query;    /**< copied from the query */
    uint64_t bound;    /**< the owner's query since which the sender has
                            used only this owner's credits */
    uint64_t warm_seq; /**< not 0: the endpoint is warm as far as the
                            sender knows */
    int in_flight;     /**< calls in flight without a credit */
    int count;
    uint64_t credits[MSG_MAX_CREDITS];
};

struct credit_query {
    struct str endpoint;
    uint64_t query; /**< send time by the owner's clock */
};

/*
 * Columns: id, name, union field, body type. Loss, duplication and reordering
 * are harmless for these reasons:
 * PING, PING_REQ, ACK: periodic; matched by sequence; values only increase.
 * DOC_GET, DOC, DOC_ACK: revisions only increase; probes cause repeats.
 * LEAVE: a hint; probes detect a leaving node as well.
 * CLAIM: repeated with the same attempt id until answered; idempotent.
 * CLAIM_REPLY: matched by attempt and verb; a late grant is abandoned.
 * CREDIT, CREDIT_RELEASE: idempotent per credit id; credits expire.
 * CREDIT_REPLY: matched by credit id; a late grant is released.
 * CREDIT_QUERY, CREDIT_STATE: repeated until answered or settled.
 * STAGE_*: see model/stage_work.h. FEED_*: see model/feed_relay.h.
 * PARTS: see model/part_notice.h. RETURNS: see model/return_notice.h; builds
 * before it count it as malformed and ignore it.
 * ROLLOUT: see struct rollout_report.
 */
#define MSG_LIST(X)                                                           \
    X(PING, "ping", probe, struct probe_body)                                 \
    X(PING_REQ, "ping_req", probe, struct probe_body)                         \
    X(ACK, "ack", probe, struct probe_body)                                   \
    X(DOC_GET, "doc_get", doc, struct doc_body)                               \
    X(DOC, "doc", doc, struct doc_body)                                       \
    X(DOC_ACK, "doc_ack", doc, struct doc_body)                               \
    X(LEAVE, "leave", probe, struct probe_body)                               \
    X(CLAIM, "claim", claim, struct claim_request)                            \
    X(CLAIM_REPLY, "claim_reply", claim_reply, struct claim_reply)            \
    X(CREDIT, "credit", credit, struct credit_request)                        \
    X(CREDIT_REPLY, "credit_reply", credit_reply, struct credit_reply)        \
    X(CREDIT_RELEASE, "credit_release", credit_release,                       \
      struct credit_release)                                                  \
    X(CREDIT_QUERY, "credit_query", credit_query, struct credit_query)        \
    X(CREDIT_STATE, "credit_state", credit_state, struct credit_state)        \
    X(COLD, "cold", cold, struct cold_notice)                                 \
    X(STAGE_ASK, "stage_ask", stage_work_request, struct stage_work_request)  \
    X(STAGE_ACK, "stage_ack", stage_ack, struct stage_ack)                    \
    X(STAGE_RESULT, "stage_result", stage_result, struct stage_result)        \
    X(STAGE_DROP, "stage_drop", stage_drop, struct stage_drop)                \
    X(PREFILL, "prefill", prefill, struct prefill_notice)                     \
    X(FEED_ASK, "feed_ask", feed_query, struct feed_query)                    \
    X(FEED_ANSWER, "feed_answer", feed_reply, struct feed_reply)              \
    X(PARTS, "parts", part_notice, struct part_notice)                        \
    X(STAGE_RESULTS, "stage_results", stage_results, struct stage_results)    \
    X(RETURNS, "returns", return_notice, struct return_notice)                \
    X(ENGINES, "engines", engine_notice, struct engine_notice)                \
    X(ROLLOUT, "rollout", rollout_report, struct rollout_report)

enum msg_type {
#define X(id, name, field, type) MSG_##id,
    MSG_LIST(X)
#undef X
        MSG_TYPE_COUNT
};

struct msg {
    enum msg_type type;
    uint64_t from;        /**< id of the sending node */
    uint64_t incarnation; /**< of the sender's process */
    union {
        struct probe_body probe;
        struct doc_body doc;
        struct claim_request claim;
        struct claim_reply claim_reply;
        struct credit_request credit;
        struct credit_reply credit_reply;
        struct credit_release credit_release;
        struct credit_query credit_query;
        struct credit_state credit_state;
        struct cold_notice cold;
        struct stage_work_request stage_work_request;
        struct stage_ack stage_ack;
        struct stage_result stage_result;
        struct stage_drop stage_drop;
        struct prefill_notice prefill;
        struct feed_query feed_query;
        struct feed_reply feed_reply;
        struct part_notice part_notice;
        struct stage_results stage_results;
        struct return_notice return_notice;
        struct engine_notice engine_notice;
        struct rollout_report rollout_report;
    };
};

/** @return a static string; "unknown" for a value outside of the enum */
const char *msg_type_name(enum msg_type t);

/** Appends the encoded message. */
void msg_encode(const struct msg *m, struct buf *out);

/**
 * Decodes one message. Strings in @p out point into @p bytes.
 * @return ST_INVALID for malformed, truncated or oversized bytes and for an
 * unknown version or type
 */
enum status msg_decode(struct str bytes, struct msg *out);

#endif
