/**
 * @file traffic_state.h
 * State of a traffic thread, private to traffic_thread.c and resources.c.
 */
#ifndef DAEMON_TRAFFIC_STATE_H
#define DAEMON_TRAFFIC_STATE_H

#include <glib.h>
#include <pthread.h>

#include "daemon/traffic.h"
#include "edge/http_in.h"
#include "edge/http_out.h"
#include "edge/loop.h"
#include "edge/trace.h"
#include "flow/flow.h"

struct traffic {
    struct traffic_options opts;
    pthread_t thread;
    struct loop *loop;
    struct loop_source *bridge_source;
    struct http_in *in;
    struct http_out *out;
    struct flow *flow;
    struct trace_ring *traces;
    struct snapshot *snapshot; /**< NULL: no configuration yet */
    GHashTable *open_requests; /**< req -> struct open_request */
    GArray *gone_callers; /**< uint64_t, requests whose callers disconnected
                              while actions were performed */
    GArray *pending;      /**< struct pending_query */
    int64_t next_publish_us;
    bool draining;
    bool drained;
};

/** An operator's or monitor's request that waits for the answer of another
 * thread. */
struct pending_query {
    uint64_t id;
    enum bridge_kind kind;
    bool is_change; /**< an edit: without an answer its outcome is unknown */
    int64_t deadline_us;
};

/** Serves all requests except those that run pipelines. */
void resources_handle_request(struct traffic *t,
                              const struct http_in_request *r);
/** Handles an answer from the control thread, or a trace query of another
 * thread. */
void resources_handle_message(struct traffic *t, struct bridge_msg *m);
/** Refuses the requests whose answer did not arrive before their deadline. */
void resources_expire(struct traffic *t, int64_t now_us);
/** Returns the earliest deadline, INT64_MAX if no request waits. */
int64_t resources_next_wakeup_us(const struct traffic *t);

#endif
