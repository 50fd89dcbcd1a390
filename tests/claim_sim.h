/**
 * @file claim_sim.h
 * Simulates several claims objects in virtual time with a small store and a
 * network between them, both of which can lose, repeat, delay and reorder.
 * Shared by the claims test and the claims bench.
 */
#ifndef TESTS_CLAIM_SIM_H
#define TESTS_CLAIM_SIM_H

#include "base/rng.h"
#include "control/claims.h"
#include "control/claim_record.h"

#define SIM_NODES 5
#define SIM_BUCKETS 256

struct sim_node {
    struct claims *claims;
    struct view_member members[SIM_NODES];
    struct view view;
    uint64_t incarnation;
    int64_t offset_us; /**< of the node's clock */
    int64_t paused_until_us;
};

struct sim {
    /* Set by the user before sim_start; may change while running. */
    int nodes;
    int buckets;
    int writes_per_s;
    int64_t store_us;     /**< duration of a store operation */
    int64_t msg_us;       /**< one way; random up to 4 times this with loss */
    double msg_loss_rate; /**< probability; the same for a duplicate */
    double lost_answer_rate;   /**< probability; the CAS may come late */
    double store_failure_rate; /**< probability; nothing is written */
    void *user;
    /** Called for each reply to the flow core of a node. */
    void (*on_flow)(struct sim *s, int node, const struct claim_reply *r);
    /** Called for each reply that an owner sends, to itself or to another
     * node. */
    void (*on_owner_reply)(struct sim *s, int node,
                           const struct claim_reply *r);

    int64_t now_us;
    struct rng rng;
    struct sim_node node[SIM_NODES];
    struct str record[SIM_BUCKETS]; /**< owned */
    int64_t revision[SIM_BUCKETS];
    int64_t newest_revision;
    uint64_t reads;
    uint64_t writes;
    struct sim_event *events;
    uint64_t event_seq;
};

void sim_start(struct sim *s, uint64_t seed);
void sim_free(struct sim *s);

/** Sends a request of a node's flow core. */
void sim_send_request(struct sim *s, int node,
                      const struct claim_request *req);

/** Runs the simulation until the given time. */
void sim_run(struct sim *s, int64_t until_us);

/** Replaces a node's process; its memory is lost. */
void sim_restart(struct sim *s, int node);

/** Sets whether @p node considers @p other alive. */
void sim_set_member_alive(struct sim *s, int node, int other, bool alive);

/** Finds the durable claim of a key. @return false if there is none */
bool sim_durable(const struct sim *s, const struct digest *key,
                 struct claim_entry *out);

#endif
