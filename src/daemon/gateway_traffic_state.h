/**
 * @file gateway_traffic_state.h
 * State of the traffic thread, private to gateway_traffic.c, which serves
 * callers, gateway_calls.c, which calls endpoints, and gateway_link.c, which
 * exchanges messages with other nodes.
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

/** A caller's request and the head of the response. */
struct exchange {
    uint64_t id;
    struct http_in_request request; /**< its strings are valid until the
                                       response ends */
    int status;
    GArray *head; /**< struct http_header; strings are owned */
};

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
    bool link_ready; /* the link may have unread messages */
    struct cluster_view *cluster_view;
    uint64_t node; /* hash of this node's name */
    struct forward *forward;
    GHashTable *exchanges; /* id -> struct exchange */
    GHashTable *calls;     /* id -> struct out_call */
    const struct relay_response_head
        *response_head;   /* valid during forward_response_head */
    GArray *paused_calls; /* struct paused_call: the caller reads slowly */
    int64_t next_notice_connect_us; /* earliest time of the next connection for
                                     notices */
    uint64_t last_release_id;
    int64_t next_rollout_report_us;
    bool reports_rollouts; /* a roll-out needs counts */
    bool draining;
};

/** Returns the open exchange with this id, or NULL. */
struct exchange *gateway_find_exchange(const struct gateway_traffic *t,
                                       uint64_t id);

/** Creates the client for calls to endpoints and sets the callbacks of the
 * forwarding core that concern calls. */
void gateway_calls_open(struct gateway_traffic *t, struct forward_io *io);
/** Cancels all calls. */
void gateway_calls_close(struct gateway_traffic *t);
/** Runs pending work of calls; must be called once per loop iteration. */
void gateway_calls_process_events(struct gateway_traffic *t,
                                  int64_t loop_now_us);

/** Binds the link to other nodes. Errors: those of link_new. */
enum status gateway_link_open(struct gateway_traffic *t,
                              const struct gateway_settings *set);
/** Sends a message of the forwarding core to another node, a callback of
 * struct forward_io. @p ctx is the struct gateway_traffic. */
void gateway_link_send(void *ctx, uint64_t node, const struct stage_msg *m);
/** Closes and reopens the connection to a node, a callback as above. */
void gateway_link_reconnect(void *ctx, uint64_t node);
/** Sends an encoded message of the control thread to another node. */
void gateway_link_send_encoded(struct gateway_traffic *t,
                               const struct bridge_msg *b);

#endif
