/**
 * @file fleet_sim.h
 * Simulates the control cores of a whole fleet on the virtual link and store
 * of vnet.h, and records what they send to their flow cores and operators.
 */
#ifndef TESTS_FLEET_SIM_H
#define TESTS_FLEET_SIM_H

#include "tests/vnet.h"

struct fleet_node {
    struct control *core;
    uint64_t incarnation;
    int64_t config; /* revision of the newest snapshot; 0: none */
    int usable;     /* usable endpoints in that snapshot */
    int64_t fresh_until_us;
    int suspect_notices; /* suspect notices received */
    int granted;         /* credits granted */
    int claims_opened;   /* claims opened */
    bool left;
};

struct fleet_sim {
    struct vnet net;
    struct fleet_node nodes[VNET_NODES_MAX];
    int regions;
    uint64_t seed;
    int64_t
        cpu_ns; /* CPU time of the cores and the codec; 0 unless measure_cpu */
    bool measure_cpu;
    void *arg;
    /** Receives the response to an operator's request; may be NULL. */
    void (*on_admin)(void *arg, int node, const struct admin_reply *r);
    /** Called after each step of a node; may be NULL. */
    void (*on_step)(void *arg, int node);
};

extern const char fleet_sim_config[];

/** Starts the nodes at time 0 with an empty roster and a store that contains a
 * configuration and a VM list. */
struct fleet_sim *fleet_sim_new(int count, int regions, uint64_t seed);
void fleet_sim_free(struct fleet_sim *f);
void fleet_sim_run(struct fleet_sim *f, int64_t until_us);

/** Kills the process of a node without notice. */
void fleet_sim_kill(struct fleet_sim *f, int node);
/** Starts a new process of a node. */
void fleet_sim_start(struct fleet_sim *f, int node);

/** Sends an operator's request to a node. */
void fleet_sim_send_admin_request(struct fleet_sim *f, int node, uint64_t id,
                                  enum admin_verb verb, const char *body,
                                  int64_t deadline_us);
/** Requests that a node leaves the fleet. */
void fleet_sim_request_leave(struct fleet_sim *f, int node);
bool fleet_sim_is_ready(const struct fleet_sim *f, int node);

/** The number of nodes that are running, ready and have the newest
 * configuration. */
int fleet_sim_count_converged(struct fleet_sim *f);

#endif
