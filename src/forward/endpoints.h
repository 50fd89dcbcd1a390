/**
 * @file endpoints.h
 * Endpoints as one traffic thread sees them: their health, the work sent to
 * them and, for engines, the prompt parts they hold. Answers the load of
 * crashed, slow, failing and cold endpoints.
 */
#ifndef FORWARD_ENDPOINTS_H
#define FORWARD_ENDPOINTS_H

#include <glib.h>

#include "base/str.h"
#include "model/site.h"
#include "model/stage_work.h"

/** Prefill speed that is assumed of engines, in tokens per ms; it only ranks
 * engines against each other. */
#define ENGINE_TOKENS_PER_MS 50

struct endpoint {
    struct str id;      /**< owned */
    struct str address; /**< owned */
    struct str zone;    /**< owned */
    uint64_t hash;      /**< of id */
    bool usable;        /**< in the newest site */
    int64_t cold_until_us;
    double cold_per_s;    /**< of its service; 0: no bound */
    int64_t cold_us;      /**< of its service */
    int64_t cold_next_us; /**< earliest next send while cold */
    int in_flight;        /**< requests sent and not ended */
    int calls_in_flight;  /**< calls of pieces */
    double failures;      /**< moving share of failed calls */
    int64_t failed_us;
    int failed_in_row;
    int64_t ejected_until_us;
    double latency_us;     /**< moving average until the head of an answer */
    double slowness;       /**< moving ratio of actual to expected time */
    int64_t reading;       /**< prompt tokens sent and not yet read */
    int64_t told_until_us; /**< other nodes' prompts are read by then */
    int running;           /**< by its load report */
    int waiting;
    int64_t reported_us; /**< 0: never */
    int64_t engine_tokens;
    GHashTable *parts; /**< prompt parts that it holds, by chain */
    int64_t part_tokens;
};

struct endpoint *endpoint_new(const struct site_endpoint *e);
void endpoint_free(struct endpoint *e);

/** A call ended well, after @p latency_us until its head (0: not told). */
void endpoint_good(struct endpoint *e, int64_t now_us, int64_t latency_us);
/** A call failed. @param refused the connection could not be made */
void endpoint_bad(struct endpoint *e, int64_t now_us, bool refused);
/** Actual against expected time of a call. */
void endpoint_pace(struct endpoint *e, int64_t actual_us, int64_t expected_us);
/** Moving share of failures, halved for each 3 s without one. */
double endpoint_failures(const struct endpoint *e, int64_t now_us);

/** Whether work may be sent now, ejection and coldness considered. */
bool endpoint_open(const struct endpoint *e, int64_t now_us);
/** Accounts for a send: a cold endpoint gets its next one after this node's
 * share of the time between two requests that it bears. */
void endpoint_sent(struct endpoint *e, int nodes, int64_t now_us);

/** Tokens of the leading parts that the endpoint is known to hold. */
int64_t endpoint_held(const struct endpoint *e, const uint64_t *chain,
                      const int *tokens, int count);
/** Notes that the endpoint has read the parts. */
void endpoint_hold(struct endpoint *e, const uint64_t *chain,
                   const int *tokens, int count, int64_t now_us);
/** Another node has sent it a prompt. */
void endpoint_told(struct endpoint *e, const struct prefill_notice *n,
                   int64_t now_us);
/** Forgets the parts, after a restart. */
void endpoint_forget(struct endpoint *e);

#endif
