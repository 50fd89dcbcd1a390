/**
 * @file versions.h
 * Roll-outs in the forwarding core: chooses the version that a request or a
 * call of pieces goes to, and counts what comes back. A service without a
 * directive uses endpoints of all versions alike.
 */
#ifndef FORWARD_VERSIONS_H
#define FORWARD_VERSIONS_H

#include "forward/state.h"

/** Classifies the endpoints of a service; call this when they or the directive
 * have changed. */
void versions_update(struct forward *f, struct service_state *s);
/** As place_select, among the endpoints of the version that the request gets.
 */
struct endpoint *versions_select(struct forward *f, int64_t now_us,
                                 struct request *r,
                                 const struct place_query *query);
/** Withholds the endpoints that a repeat of the request would not get, for
 * place_next_available_us. */
void versions_withhold_for(const struct forward *f, int64_t now_us,
                           const struct request *r);

/** Counts a call of a request to its endpoint. */
void versions_call_sent(const struct forward *f, struct request *r);
/** Counts a good response: the first event of a stream, or the end of a plain
 * response. */
void versions_call_good(const struct forward *f, int64_t now_us,
                        struct request *r);
/** Counts a bad response of the current call.
 * @param broke its connection broke: if an endpoint crashes, all its calls
 * break at once and count as one */
void versions_call_bad(const struct forward *f, int64_t now_us,
                       struct request *r, bool broke);

/** Withholds the endpoints of a group that its pool may not use now. */
void versions_prepare_group(const struct forward *f, int64_t now_us,
                            struct service_state *s, int group);
/** Counts a call of pieces. */
void versions_pieces_sent(struct forward *f, const struct pieces_call *call);
/** Counts the end of a call of pieces. */
void versions_pieces_ended(struct forward *f, int64_t now_us, uint64_t call,
                           enum call_end end, int status,
                           const struct response_meta *meta, int count,
                           const struct piece_result *results);

/** Lets streams that can go on elsewhere leave the old endpoints of services
 * whose traffic has moved. */
void versions_run(struct forward *f, int64_t now_us);
void versions_free(struct forward *f);

#endif
