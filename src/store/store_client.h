/**
 * @file store_client.h
 * Performs store operations over the etcd v3 JSON gateway with libcurl,
 * inside the caller's epoll or poll loop. One thread.
 *
 * Outcomes: STORE_FAILED means that nothing can have been written (no
 * connection, request never sent, or rejected with a 4xx status). A CAS that
 * was sent and got neither a well-formed 200 response nor a 4xx status ends
 * with STORE_OUTCOME_UNKNOWN; the service may respond with a 5xx status after
 * the write was proposed. A GET or WATCH without a response ends with
 * STORE_FAILED, and a WATCH whose key was deleted with STORE_NOT_FOUND.
 */
#ifndef STORE_STORE_CLIENT_H
#define STORE_STORE_CLIENT_H

#include "store/store.h"

struct store_client_options {
    int url_count;
    const struct str *urls; /**< "http://IP:PORT", tried in order */
    double reads_per_s; /**< this node's share; a watch counts as one read */
    double writes_per_s;
    uint64_t seed;
};

/** Called from store_client_process_events only; @p r is valid only during the
 * call. */
struct store_client_callback {
    void (*done)(void *ctx, const struct store_result *r);
    void *ctx;
};

struct store_client;

/** Options are copied. @return NULL if libcurl cannot be set up */
struct store_client *store_client_new(const struct store_client_options *opts,
                                      struct store_client_callback sink,
                                      int64_t now_us);
/** Cancels operations in progress; these get no result. */
void store_client_free(struct store_client *c);

/** Queues an operation and copies its strings. The next
 * store_client_process_events starts it. */
void store_client_submit(struct store_client *c, int64_t now_us,
                         const struct store_op *op);

/** An epoll descriptor that is readable when store_client_process_events has
 * I/O to do.
 */
int store_client_fd(const struct store_client *c);
/** When store_client_process_events has to be called even without I/O;
 * INT64_MAX if never. */
int64_t store_client_next_wakeup_us(const struct store_client *c);
/** Starts queued operations, performs pending I/O and reports completed
 * operations. Never blocks. */
void store_client_process_events(struct store_client *c, int64_t now_us);

/** Changes the rates of calls that this node may make. */
void store_client_set_rates(struct store_client *c, int64_t now_us,
                            double reads_per_s, double writes_per_s);
/** The number of operations in progress or queued. */
int store_client_pending_count(const struct store_client *c);

#endif
