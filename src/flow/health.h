/**
 * @file health.h
 * Endpoint health: load reports, cold state, probes and ejection.
 */
#ifndef FLOW_HEALTH_H
#define FLOW_HEALTH_H

#include "flow/core.h"

/** Applies the report in the response to a call or a probe. */
void health_apply_report(struct flow *f, struct endpoint *ep,
                         const struct endpoint_report *report);

/** Marks the endpoint as cold: further calls to it need credits. */
void health_mark_cold(struct flow *f, struct endpoint *ep);

/** Schedules a notice to the owner of a cold endpoint, because a call without
 * a credit has ended. The notice has the new number of such calls and is sent
 * at the end of this step. */
void health_schedule_cold_notice(struct flow *f, struct endpoint *ep);

/** Handles a refused connection: marks the endpoint as cold and requests no
 * credits for it until a backoff has passed. */
void health_connection_refused(struct flow *f, struct endpoint *ep);

/** Handles the end of a call: corrects the number of calls without a credit
 * that was last reported to the owner of a cold endpoint. */
void health_call_ended(struct flow *f, struct endpoint *ep);

/** Records the time to a first byte. Three such times in a row far above the
 * endpoint's warm p95 mark it as cold, unless it sends load reports. */
void health_record_first_byte(struct flow *f, struct endpoint *ep, int64_t us);

/** Ejects the endpoint if its failure rate or latency is far from the medians
 * of its pool. */
void health_eject_if_outlier(struct flow *f, struct endpoint *ep);

/** Called before a call is sent: also probes the endpoint if it may have
 * become cold since its last report, as the call's first byte may be slow. */
void health_probe_if_stale(struct flow *f, struct endpoint *ep);

/** Starts a probe on a new connection, unless one is in progress. */
void health_start_probe(struct flow *f, struct endpoint *ep);

/** Applies the result of a probe. */
void health_finish_probe(struct flow *f, struct str endpoint, bool ok,
                         const struct endpoint_report *report);

/** Handles the end of an ejection: the endpoint is probed before it returns.
 */
void health_ejection_expired(struct flow *f, uint64_t hash);

/** Emits the cold notices that were scheduled in this step. */
void health_emit_cold_notices(struct flow *f);

/** Applies the cold or warm state that the control core has sent. */
void health_apply_notice(struct flow *f, const struct endpoint_notice *n);

#endif
