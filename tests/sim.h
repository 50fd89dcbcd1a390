/**
 * @file sim.h
 * Virtual time for control-state tests and benches: an in-memory link with
 * loss, delay, reordering and cuts, and a small key-value service with
 * outages and lost answers. Messages cross the link in encoded form.
 */
#ifndef TESTS_SIM_H
#define TESTS_SIM_H

#include "base/rng.h"
#include "control/control.h"

#define SIM_NODES_MAX 512
#define SIM_KEYS_MAX 64

struct sim_key {
    char name[64];
    int64_t revision;
    struct str value; /* owned */
};

struct sim_event;

struct sim {
    int64_t now_us;
    struct rng rng;
    int count;
    uint64_t ids[SIM_NODES_MAX];
    bool up[SIM_NODES_MAX];
    bool no_store[SIM_NODES_MAX]; /* cut off from the store */
    int group[SIM_NODES_MAX];     /* only nodes of one group hear each other */
    int64_t wake_us[SIM_NODES_MAX];
    double loss;
    int64_t delay_us;
    int64_t jitter_us;
    bool store_down;
    double store_loss; /* share of calls without an answer */
    int64_t revision;
    int key_count;
    struct sim_key keys[SIM_KEYS_MAX];
    int64_t messages;
    int64_t bytes;
    int64_t store_calls;
    int64_t store_bytes;
    struct sim_event *heap;
    size_t heap_count;
    size_t heap_cap;
    uint64_t next_seq;
    void *arg;
    /** Feeds one event to a node; its actions go to sim_action. */
    void (*step)(void *arg, int node, const struct control_event *ev);
    int64_t (*wakeup)(void *arg, int node);
};

void sim_init(struct sim *s, int count, uint64_t seed, void *arg);
void sim_clear(struct sim *s);

/** Performs CONTROL_ACT_SEND and CONTROL_ACT_STORE of a node. */
void sim_action(struct sim *s, int node, const struct control_action *a);

/** Runs all events up to the time. */
void sim_run(struct sim *s, int64_t until_us);

/** Feeds an event to a node now and reads its wakeup. */
void sim_step(struct sim *s, int node, const struct control_event *ev);

/** Writes a key as the platform would. @return its revision */
int64_t sim_put(struct sim *s, const char *key, struct str value);
struct sim_key *sim_key(struct sim *s, struct str key);

#endif
