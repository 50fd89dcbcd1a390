/**
 * @file endpoints.h
 * Endpoint state of one traffic thread: health, requests in flight and, for
 * engines, the prompt parts they cache. Limits the load on crashed, slow,
 * failing and cold endpoints.
 */
#ifndef FORWARD_ENDPOINTS_H
#define FORWARD_ENDPOINTS_H

#include <glib.h>

#include "base/str.h"
#include "forward/engine_load.h"
#include "forward/engine_speed.h"
#include "model/cluster_view.h"
#include "model/stage_work.h"
#include "rollout/traffic.h"

struct endpoint {
    struct str id;      /**< owned */
    struct str address; /**< owned */
    struct str zone;    /**< owned */
    struct str version; /**< owned, of its program */
    uint64_t hash;      /**< hash of id */
    uint64_t service;   /**< hash of the name of its service */
    /** See versions.h. */
    enum rollout_class version_class;
    bool version_chosen;      /**< gets requests of the new version's share */
    uint64_t version_rank;    /**< order in which new endpoints are chosen */
    int64_t version_break_us; /**< when its calls last broke; 0: never */
    bool withheld; /**< may not be selected now, because of its version */
    bool usable;   /**< listed in the current cluster view */
    bool leaving;  /**< has said that it is about to stop; it gets no new work
                      until it starts again */
    int64_t paused_until_us; /**< it has asked for no work until then */
    int64_t unlisted_us;     /**< when it left the cluster view */
    int64_t started_ms;      /**< start time of its process; 0: unknown */
    int64_t cold_until_us;
    double cold_requests_per_s; /**< requests per second its service allows
                          while cold; 0: no limit */
    int64_t cold_us;            /**< cold period of its service */
    int64_t cold_next_send_us;  /**< earliest next send while cold */
    int in_flight;              /**< requests sent and not yet ended */
    int calls_in_flight;        /**< stage calls in flight */
    int streams; /**< requests in flight whose first event has come and that
                    are being read */
    int64_t
        received_us; /**< when a part of a response to a request last came */
    int64_t silent_until_us; /**< a call was abandoned because the endpoint was
                                silent; counts until then, or until something
                                is received */
    double failure_rate; /**< moving average of the share of failed calls */
    int64_t last_failure_us;
    int consecutive_failures;
    int64_t ejected_until_us;
    double latency_us; /**< moving average of the time to the response head */
    double slowness;   /**< moving average of actual / expected duration of
                          stage calls */
    struct engine_speed speed;      /**< of an engine */
    struct engine_load load;        /**< of an engine */
    struct engine_traffic *traffic; /**< of its service; not owned */
    int64_t prefill_tokens; /**< prompt tokens sent and not yet prefilled */
    int64_t remote_prefill_until_us; /**< when the prompts sent by other nodes
                                        are expected to be prefilled */
    int reported_running;            /**< from its load report; -1: unknown */
    int reported_waiting;
    int64_t load_report_us; /**< time of the load report; 0: none yet */
    int load_percent; /**< how long work takes there, from its latest report;
                         0: not reported */
    int64_t load_percent_us;
    double normal_latency_us; /**< as latency_us, divided by the load factor at
                                 the time */
    int64_t engine_tokens;    /**< its memory in tokens; 0: unknown */
    int engine_slots;         /**< requests that it runs at once; 0: unknown */
    GHashTable *cached_parts; /**< prompt parts, by chain digest */
    int64_t cached_tokens;
};

struct endpoint *endpoint_new(const struct cluster_endpoint *e);
void endpoint_free(struct endpoint *e);

/** Records a successful call with @p latency_us until the response head (0:
 * unknown). */
void endpoint_record_success(struct endpoint *e, int64_t now_us,
                             int64_t latency_us);
/** Records a failed call. @param refused the connection could not be made */
void endpoint_record_failure(struct endpoint *e, int64_t now_us, bool refused);
/** Updates the slowness from the actual and expected duration of a call. */
void endpoint_record_duration(struct endpoint *e, int64_t actual_us,
                              int64_t expected_us);
/** Moving average of the failure rate, halved for every 3 s without a failure.
 */
double endpoint_failure_rate(const struct endpoint *e, int64_t now_us);

/** Applies how long an endpoint says that work takes; 0: not reported. */
void endpoint_apply_load(struct endpoint *e, int64_t now_us, int percent);
/** Returns how long work takes there compared with its usual time. A report
 * loses its weight within 400 ms, since the load changes many times per
 * second. 1: as usual, or unknown */
double endpoint_load_factor(const struct endpoint *e, int64_t now_us);

/** Records that a part of a response to a request has come. */
void endpoint_record_received(struct endpoint *e, int64_t now_us);
/** Records a call that was abandoned because nothing came. */
void endpoint_record_silence(struct endpoint *e, int64_t now_us);
/** Returns whether the endpoint seems to be silent now. It may be sound all
 * the same. */
bool endpoint_is_silent(const struct endpoint *e, int64_t now_us);

/** Applies what a response says of its endpoint besides its load.
 * @param pause_us time for which it asks for no work; 0: none */
void endpoint_apply_response(struct endpoint *e, int64_t now_us, bool leaving,
                             int64_t pause_us);
/** Returns whether the state of an endpoint that is not in the cluster view is
 * still needed, since it may be listed again without having started again. */
bool endpoint_is_remembered(const struct endpoint *e, int64_t now_us);
/** Sets the start time from its record; another one than before means that the
 * endpoint has started again. */
void endpoint_set_start(struct endpoint *e, int64_t started_ms);
/** Returns whether work may be sent now, given its ejection and cold state. */
bool endpoint_is_available(const struct endpoint *e, int64_t now_us);
/** Records a send. A cold endpoint may get the next request from this node
 * after this node's share of the interval that the endpoint's rate limit
 * allows. */
void endpoint_record_send(struct endpoint *e, int nodes, int64_t now_us);

/** Returns the tokens of the leading prompt parts that the endpoint is known
 * to cache. */
int64_t endpoint_cached_tokens(const struct endpoint *e, const uint64_t *chain,
                               const int *tokens, int count);
/** Returns the tokens of the cached parts that were used since @p since_us,
 * each counted once. */
int64_t endpoint_used_tokens(const struct endpoint *e, int64_t since_us);
/** Records that the endpoint has cached the parts. */
void endpoint_cache_parts(struct endpoint *e, const uint64_t *chain,
                          const int *tokens, int count, int64_t now_us);
/** Accounts for a prompt that another node has sent to the endpoint. */
void endpoint_apply_prefill_notice(struct endpoint *e,
                                   const struct prefill_notice *n,
                                   int64_t now_us);
/** Clears the cached parts after a restart of the endpoint. */
void endpoint_clear_cache(struct endpoint *e);

#endif
