/**
 * @file rollout_sim.h
 * Simulates the roll-out of one service on a fleet of nodes, with a store,
 * links and servers, on virtual time.
 */
#ifndef TESTS_ROLLOUT_SIM_H
#define TESTS_ROLLOUT_SIM_H

#include <glib.h>

#include "base/rng.h"
#include "rollout/rollout.h"
#include "rollout/traffic.h"

#define SIM_MAX_NODES 400
#define SIM_MAX_SERVERS 600
#define SIM_ROUTES 3

enum sim_kind {
    SIM_GOOD,
    SIM_BAD_AT_ONCE, /* 3 of 10 responses are failures */
    SIM_SLOW,        /* 4 of 10 responses take five times as long */
    SIM_BAD_LATER,   /* as BAD_AT_ONCE, after 2 to 5 of 12 s */
    SIM_BAD_LOAD,    /* as BAD_AT_ONCE, on servers with the load of an old one
                      */
    SIM_BAD_ROUTE,   /* 4 of 10 responses on a route with a quarter of the
                        requests are failures */
    SIM_BAD_TENTH,   /* a tenth of all responses are failures */
    SIM_NOISY, /* as good: 2 of 100 responses of both versions are failures */
    SIM_KIND_COUNT
};

struct sim_options {
    int nodes;
    int servers; /* of each version */
    double rate; /* requests per second of the whole fleet */
    enum sim_kind kind;
    int64_t duration_us; /* of the order */
    uint64_t seed;
    int64_t store_us; /* time of an operation of the store */
    int64_t long_us;  /* duration of one request in 50; 0: there are none */
    double loss;      /* share of lost messages */
};

struct sim_node {
    bool alive;
    bool cut_store; /* no contact with the store */
    bool cut_peers; /* no contact with other nodes */
    struct rollout *core;
    struct rollout_traffic traffic;
    int64_t registered_until_us;
    int64_t watch_us; /* delay of its watch */
    guint seen;       /* changes of the store that it has seen */
};

struct sim {
    struct sim_options opts;
    struct rng rng;
    int64_t now_us;
    int64_t order_us; /* when the newest order was written */
    struct sim_node nodes[SIM_MAX_NODES];
    GArray *changes;  /* struct sim_change, all changes of the store */
    GArray *writes;   /* struct sim_write */
    GArray *messages; /* struct sim_message */
    GArray *requests; /* struct sim_request, in progress */
    char record[512]; /* in the store */
    int64_t record_revision;
    int64_t revision;
    bool store_down;
    char status[32]; /* in the store */
    char status_target[ROLLOUT_NAME_BYTES];
    int record_writes;
    double server_load[SIM_MAX_SERVERS]; /* requests of the last second */
    int old_running;
    /* What the test checks. */
    int64_t requests_since_order;
    int64_t exposed; /* requests to the new version, of nodes in contact */
    int64_t bad_responses;
    int64_t bad_50_us;   /* time of the 50th one; 0: never */
    int64_t last_new_us; /* last request to the new version */
    int64_t finished_us; /* when the status became final; 0: never */
    char completed[ROLLOUT_NAME_BYTES]; /* last version that completed */
    int64_t bad_at_end;    /* bad responses until the status became final */
    int old_at_completion; /* requests at old servers then */
    /* Called at each write of a record, before it takes effect; returns
     * whether it does. May be NULL. */
    bool (*on_write)(struct sim *s, int node, int write);
    void *arg;
};

struct sim *rollout_sim_new(const struct sim_options *opts);
void rollout_sim_free(struct sim *s);
/** Writes an order; @p target NULL withdraws it. */
void rollout_sim_order(struct sim *s, const char *target, int64_t duration_us);
void rollout_sim_run(struct sim *s, int64_t span_us);
/** Kills a node; its registration lasts for 10 s. */
void rollout_sim_kill(struct sim *s, int node);
/** Brings the record and the status back to those after write @p write. */
void rollout_sim_restore(struct sim *s, int write);

#endif
