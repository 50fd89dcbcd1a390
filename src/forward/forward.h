/**
 * @file forward.h
 * The forwarding core of one traffic thread: takes callers' requests, does
 * the stages before them, sends each to an endpoint of its service and gives
 * the answer back. A state machine without I/O; times are microseconds of a
 * clock that also counts while the machine is suspended.
 */
#ifndef FORWARD_FORWARD_H
#define FORWARD_FORWARD_H

#include "forward/types.h"
#include "forward/window.h"
#include "model/site.h"

struct forward_options {
    struct str node; /**< name of this node */
    struct str zone; /**< of this node */
    struct repeat_bound repeats;
    /** Age of the contact with the store beyond which no team's credential
     * is trusted. */
    int64_t trust_us;
    uint64_t seed;
};

struct forward;

struct forward *forward_new(const struct forward_options *opts,
                            const struct forward_io *io);
void forward_free(struct forward *f);

/** Takes a reference of @p site. */
void forward_set_site(struct forward *f, int64_t now_us, struct site *site);
/** Everything the store acknowledged before @p contact_us is in the site. */
void forward_set_contact(struct forward *f, int64_t contact_us);
/** Changes the settings that may change while running. */
void forward_set_options(struct forward *f,
                         const struct forward_options *opts);
/** From now on new requests are refused, so that other nodes take them. */
void forward_drain(struct forward *f);
/** True if requests of teams are accepted. */
bool forward_trusted(const struct forward *f, int64_t now_us);

/** A request was received whole. */
void forward_accept(struct forward *f, int64_t now_us,
                    const struct forward_request *r);
/** The caller has gone or given up. */
void forward_gone(struct forward *f, int64_t now_us, uint64_t request);

/** Events of calls that io->send started. */
void forward_head(struct forward *f, int64_t now_us, uint64_t call, int status,
                  const struct answer_meta *meta);
void forward_bytes(struct forward *f, int64_t now_us, uint64_t call,
                   struct str bytes);
void forward_end(struct forward *f, int64_t now_us, uint64_t call,
                 enum call_end end);
/** The caller has taken what it was given after io->hold. */
void forward_taken(struct forward *f, int64_t now_us, uint64_t call);

/** The end of a call that io->send_pieces started.
 * @param status 0: no whole answer @param results one for each item if
 *  status is 200 */
void forward_pieces_end(struct forward *f, int64_t now_us, uint64_t call,
                        enum call_end end, int status,
                        const struct answer_meta *meta, int count,
                        const struct piece_result *results);

/** The end of a call that io->ask_room started. @param free_bytes -1: not told
 */
void forward_room_end(struct forward *f, int64_t now_us, uint64_t call,
                      int64_t free_bytes);

/** A message of another node about stages. */
void forward_stage_msg(struct forward *f, int64_t now_us, uint64_t from,
                       const struct stage_msg *m);

/** Runs timers and dispatches what waits; once per loop turn. */
void forward_run(struct forward *f, int64_t now_us);
int64_t forward_wakeup(const struct forward *f);

/** Requests that have not ended. */
int forward_open(const struct forward *f);
/** Appends metrics as text. */
void forward_metrics(const struct forward *f, struct buf *out);

#endif
