/**
 * @file vnet.h
 * A simulated network in virtual time for tests and benches of the control
 * state: an in-memory link with loss, delay, reordering and partitions, and a
 * small key-value service with outages and lost responses. Messages cross the
 * link in encoded form.
 */
#ifndef TESTS_VNET_H
#define TESTS_VNET_H

#include "base/rng.h"
#include "control/control.h"

#define VNET_NODES_MAX 512
#define VNET_KEYS_MAX 64

struct vnet_key {
    char name[64];
    int64_t revision;
    struct str value; /* owned */
};

struct vnet_event;

struct vnet {
    int64_t now_us;
    struct rng rng;
    int count;
    uint64_t ids[VNET_NODES_MAX];
    bool up[VNET_NODES_MAX];
    bool store_unreachable[VNET_NODES_MAX]; /* the node cannot reach the store
                                             */
    int partition_id[VNET_NODES_MAX];       /* only nodes of one group are
                                               connected */
    int64_t wakeup_time_us[VNET_NODES_MAX];
    int64_t paused_until_us[VNET_NODES_MAX]; /* delays its events */
    int immediate_ticks[VNET_NODES_MAX]; /* consecutive ticks due at once */
    int process[VNET_NODES_MAX]; /* store results for earlier ones are dropped
                                  */
    double loss;
    double large_message_loss; /* of messages above 400 bytes: documents */
    int64_t delay_us;
    int64_t jitter_us;
    bool store_down;
    double store_loss; /* share of calls without a response */
    int64_t revision;
    int key_count;
    struct vnet_key keys[VNET_KEYS_MAX];
    int64_t messages;
    int64_t bytes;
    int64_t store_calls;
    int64_t store_bytes;
    struct vnet_event *heap;
    size_t heap_count;
    size_t heap_cap;
    uint64_t next_seq;
    void *arg;
    /** Passes one event to a node; the callback passes the resulting actions
     * to vnet_perform_action. */
    void (*step)(void *arg, int node, const struct control_event *ev);
    int64_t (*wakeup)(void *arg, int node);
};

void vnet_init(struct vnet *s, int count, uint64_t seed, void *arg);
void vnet_clear(struct vnet *s);

/** Performs CONTROL_ACT_SEND and CONTROL_ACT_STORE of a node. */
void vnet_perform_action(struct vnet *s, int node,
                         const struct control_action *a);

/** Processes all events up to @p until_us, and sets the clock to it. */
void vnet_run_until(struct vnet *s, int64_t until_us);

/** Passes an event to a node now and reads its next wakeup time. */
void vnet_dispatch_event(struct vnet *s, int node,
                         const struct control_event *ev);

/** Writes a key as the platform would. @return the new revision of the key */
int64_t vnet_put_key(struct vnet *s, const char *key, struct str value);
/** Returns a key, which is created without a value if it does not exist. */
struct vnet_key *vnet_key(struct vnet *s, struct str key);

#endif
