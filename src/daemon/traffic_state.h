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
    GHashTable *open;          /**< req -> struct open_request */
    GArray *gone;              /**< uint64_t, callers gone while actions ran */
    GArray *waiting;           /**< struct waiting, for the control thread */
    int64_t publish_us;
    bool draining;
    bool drained;
};

/** An operator's or monitor's request that waits for another thread. */
struct waiting {
    uint64_t id;
    enum bridge_kind kind;
    bool changes; /**< an edit: its outcome is unknown if no answer comes */
    int64_t deadline_us;
};

/** Serves everything but pipelines. */
void resources_request(struct traffic *t, const struct http_in_request *r);
/** An answer from the control thread, or a question of another thread. */
void resources_message(struct traffic *t, struct bridge_msg *m);
/** Refuses requests whose answer did not come in time. */
void resources_tick(struct traffic *t, int64_t now_us);
int64_t resources_wakeup(const struct traffic *t);

#endif
