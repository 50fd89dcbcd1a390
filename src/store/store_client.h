/**
 * @file store_client.h
 * Performs store operations over the etcd v3 JSON gateway with libcurl,
 * inside the caller's epoll or poll loop. One thread.
 *
 * Outcomes: STORE_FAILED is given only if nothing can have been written (no
 * connection, never sent, or refused with a 4xx status). A CAS that was sent
 * and not answered with a readable 200 or a 4xx is STORE_LOST; a 5xx may come
 * after the write was proposed. A GET or WATCH that ends without an answer is
 * STORE_FAILED. A WATCH whose key was deleted is STORE_ABSENT.
 */
#ifndef STORE_STORE_CLIENT_H
#define STORE_STORE_CLIENT_H

#include "store/store.h"

struct store_client_options {
    int url_count;
    const struct str *urls; /**< "http://IP:PORT", tried in turn */
    double reads_per_s;     /**< this node's share; a waiting watch is one */
    double writes_per_s;
    uint64_t seed;
};

/** Called from store_client_step only; @p r is valid during the call. */
struct store_client_sink {
    void (*done)(void *ctx, const struct store_result *r);
    void *ctx;
};

struct store_client;

/** Options are copied. @return NULL if libcurl cannot be set up */
struct store_client *store_client_new(const struct store_client_options *opts,
                                      struct store_client_sink sink,
                                      int64_t now_us);
/** Operations that have not ended get no result. */
void store_client_free(struct store_client *c);

/** Accepts an operation; strings are copied. It starts in the next step. */
void store_client_submit(struct store_client *c, int64_t now_us,
                         const struct store_op *op);

/** An epoll descriptor, readable when a step is due for I/O. */
int store_client_fd(const struct store_client *c);
/** When the next step is due without I/O; INT64_MAX if never. */
int64_t store_client_wakeup(const struct store_client *c);
/** Performs what is due and reports ended operations. Never blocks. */
void store_client_step(struct store_client *c, int64_t now_us);

/** Changes this node's share of the budget. */
void store_client_share(struct store_client *c, int64_t now_us,
                        double reads_per_s, double writes_per_s);
/** Operations that have not ended. */
int store_client_pending(const struct store_client *c);

#endif
