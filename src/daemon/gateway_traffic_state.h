/**
 * @file gateway_traffic_state.h
 * State of the traffic thread, private to gateway_traffic.c, which serves
 * callers and calls endpoints, and gateway_link.c, which talks to other nodes.
 */
#ifndef DAEMON_GATEWAY_TRAFFIC_STATE_H
#define DAEMON_GATEWAY_TRAFFIC_STATE_H

#include <glib.h>
#include <pthread.h>

#include "daemon/gateway.h"
#include "edge/http_in.h"
#include "edge/relay.h"
#include "forward/forward.h"
#include "wire/link.h"

struct gateway_traffic {
    pthread_t thread;
    struct gateway_shared *shared;
    struct bridge *from_control;
    struct bridge *to_control;
    struct loop *loop;
    struct loop_source *bridge_source;
    struct http_in *in;
    struct relay *relay;
    struct link *link;
    struct loop_source *link_source;
    bool link_ready; /* the link may have messages */
    struct site *site;
    uint64_t node; /* hash of the name */
    struct forward *forward;
    GHashTable *exchanges;         /* id -> struct exchange */
    GHashTable *calls;             /* id -> struct out_call */
    const struct relay_head *head; /* being handed in */
    GArray *held;           /* struct held_call, whose callers lag behind */
    int64_t notify_open_us; /* the next connection for notices */
    uint64_t next_release;
    bool draining;
};

/** Binds the link to other nodes. Errors: as link_new. */
enum status gateway_link_open(struct gateway_traffic *t,
                              const struct gateway_settings *set);
/** Effects of the forwarding core. @p ctx is the struct gateway_traffic */
void gateway_link_tell(void *ctx, uint64_t node, const struct stage_msg *m);
void gateway_link_reconnect(void *ctx, uint64_t node);
/** Sends a message of the control thread to another node. */
void gateway_link_forward(struct gateway_traffic *t,
                          const struct bridge_msg *b);

#endif
