/**
 * @file fleet_sim.h
 * Control cores of a whole fleet on the virtual link and store of vnet.h, with
 * a record of what they told their flow cores and operators.
 */
#ifndef TESTS_FLEET_SIM_H
#define TESTS_FLEET_SIM_H

#include "tests/vnet.h"

struct fleet_node {
    struct control *core;
    uint64_t incarnation;
    int64_t config; /* revision of the newest snapshot; 0: none */
    int usable;     /* endpoints of that snapshot */
    int64_t fresh_until_us;
    int notices;
    bool left;
};

struct fleet_sim {
    struct vnet net;
    struct fleet_node nodes[VNET_NODES_MAX];
    int regions;
    uint64_t seed;
    int64_t cpu_ns; /* spent in the cores and the codec; 0 unless timed */
    bool timed;
    void *arg;
    /** An operator's answer, or NULL. */
    void (*on_admin)(void *arg, int node, const struct admin_reply *r);
    /** After each step of a node, or NULL. */
    void (*on_step)(void *arg, int node);
};

extern const char fleet_sim_config[];

/** Nodes start at time 0 with an empty roster and a store that has a
 * configuration and a VM list. */
struct fleet_sim *fleet_sim_new(int count, int regions, uint64_t seed);
void fleet_sim_free(struct fleet_sim *f);
void fleet_sim_run(struct fleet_sim *f, int64_t until_us);

/** Ends the process of a node without notice, and starts a new one. */
void fleet_sim_kill(struct fleet_sim *f, int node);
void fleet_sim_start(struct fleet_sim *f, int node);

void fleet_sim_admin(struct fleet_sim *f, int node, uint64_t id,
                     enum admin_verb verb, const char *body,
                     int64_t deadline_us);
void fleet_sim_leave(struct fleet_sim *f, int node);
bool fleet_sim_ready(const struct fleet_sim *f, int node);

/** Nodes that are up, ready and have the newest configuration. */
int fleet_sim_converged(struct fleet_sim *f);

#endif
