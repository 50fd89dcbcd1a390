/**
 * @file forward.h
 * The forwarding core of one traffic thread. It receives callers' requests,
 * runs the stages that precede them, sends each to an endpoint of its service
 * and returns the response. A state machine without I/O; times are in
 * microseconds of a clock that also counts while the machine is suspended.
 */
#ifndef FORWARD_FORWARD_H
#define FORWARD_FORWARD_H

#include "forward/types.h"
#include "forward/window.h"
#include "model/cluster_view.h"
#include "rollout/rollout.h"

struct forward_options {
    struct str node; /**< name of this node */
    struct str zone; /**< zone of this node */
    struct repeat_limit repeats;
    /** An earlier process of this node may have sent repeats until then; 0:
     * there was none. */
    int64_t predecessor_until_us;
    /** Time since the last contact with the store after which team credentials
     * are no longer accepted. */
    int64_t max_store_age_us;
    /** Limit of all responses that are not yet whole; 0: 16 MiB. */
    size_t max_buffered_bytes;
    uint64_t seed;
    /** Requests wait in the order of arrival, and refused callers are told no
     * times of their own: the behaviour without docs/design/teams.md, for
     * measurements. */
    bool ignore_teams;
};

struct forward;

struct forward *forward_new(const struct forward_options *opts,
                            const struct forward_io *io);
void forward_free(struct forward *f);

/** Takes a reference of @p cluster_view. */
void forward_set_site(struct forward *f, int64_t now_us,
                      struct cluster_view *cluster_view);
/** Sets the time of the last contact with the store: the cluster view includes
 * everything that the store acknowledged before @p contact_us. */
void forward_set_store_contact(struct forward *f, int64_t contact_us);
/** Changes the settings that may change at run time. */
void forward_set_options(struct forward *f,
                         const struct forward_options *opts);
/** Takes all engines for equal, as if nothing were known of their speed and of
 * the cost of prompts to other requests. For comparisons in tests. */
void forward_set_fixed_engines(struct forward *f);
/** Returns whether requests of teams are accepted. */
bool forward_accepts_teams(const struct forward *f, int64_t now_us);

/** Applies the directive of a service's roll-out. */
void forward_set_rollout(struct forward *f, int64_t now_us,
                         const struct rollout_directive *d);
/** Writes the counts of the next service whose roll-out needs them.
 * @param from 0 for the first one, then the returned value
 * @return 0: there are no more */
int forward_rollout_report(const struct forward *f, int64_t now_us, int from,
                           struct rollout_report *out);

/** Handles a request that has been received completely. */
void forward_accept(struct forward *f, int64_t now_us,
                    const struct forward_request *r);
/** Handles a caller that has disconnected or cancelled its request. */
void forward_caller_disconnected(struct forward *f, int64_t now_us,
                                 uint64_t request);

/** Handle the response head, response bytes and end of a call that was started
 * with io->send_call. */
void forward_response_head(struct forward *f, int64_t now_us, uint64_t call,
                           int status, const struct response_meta *meta);
void forward_response_body(struct forward *f, int64_t now_us, uint64_t call,
                           struct str bytes);
void forward_call_ended(struct forward *f, int64_t now_us, uint64_t call,
                        enum call_end end);
/** The caller has read the backlog that made the core call io->pause_call. */
void forward_caller_caught_up(struct forward *f, int64_t now_us,
                              uint64_t call);

/** Handles the end of a call that was started with io->send_pieces.
 * @param status 0: no complete response
 * @param results one for each item if status is 200 */
void forward_pieces_call_ended(struct forward *f, int64_t now_us,
                               uint64_t call, enum call_end end, int status,
                               const struct response_meta *meta, int count,
                               const struct piece_result *results);

/** Handles the end of a call that was started with io->query_memory.
 * @param free_bytes -1: unknown */
void forward_memory_reported(struct forward *f, int64_t now_us, uint64_t call,
                             int64_t free_bytes);

/** Handles the end of a call that was started with io->probe_endpoint. */
void forward_endpoint_probed(struct forward *f, int64_t now_us, uint64_t call,
                             enum probe_result result);

/** Handles a message from another node. */
void forward_handle_stage_msg(struct forward *f, int64_t now_us, uint64_t from,
                              const struct stage_msg *m);

/** Runs timers and dispatches waiting work. Call once per event loop
 * iteration. */
void forward_run(struct forward *f, int64_t now_us);
int64_t forward_next_wakeup_us(const struct forward *f);

/** Returns the number of requests that have not ended. */
int forward_open_requests(const struct forward *f);
/** Appends the metrics in text format. */
void forward_metrics(const struct forward *f, struct buf *out);

#endif
