#include "bench/world_internal.h"

int64_t
world_now_us(const struct world *w)
{
    return w->now_us;
}

struct rng *
world_rng(struct world *w)
{
    return &w->rng;
}

struct world_faults *
world_faults(struct world *w)
{
    return &w->faults;
}

struct world_request *
world_request(struct world *w, int i)
{
    return &w->requests[i];
}

int
world_request_count(const struct world *w)
{
    return w->request_count;
}

struct world_endpoint *
world_endpoint(struct world *w, int i)
{
    return &w->endpoints[i];
}

int
world_endpoint_count(const struct world *w)
{
    return w->endpoint_count;
}

bool
world_node_is_up(const struct world *w, int node)
{
    return w->nodes[node].up;
}

bool
world_node_is_ready(struct world *w, int node)
{
    return w->nodes[node].up &&
           control_is_ready(w->nodes[node].control, w->now_us);
}

const struct control *
world_control(const struct world *w, int node)
{
    return w->nodes[node].control;
}

int
world_action_runs(const struct world *w, uint64_t action)
{
    return action < w->action_cap ? w->action_runs[action] : 0;
}

int64_t
world_node_revision(const struct world *w, int node)
{
    return w->nodes[node].snapshot ? w->nodes[node].snapshot->config_revision
                                   : 0;
}

bool
world_node_has_zone_out(const struct world *w, int node, int zone)
{
    const struct snapshot *s = w->nodes[node].snapshot;
    return s && s->fleet->zones[zone].out;
}

int64_t
world_node_fresh_until_us(const struct world *w, int node)
{
    return w->nodes[node].fresh_deadline_us;
}

const struct fleet *
world_fleet(const struct world *w)
{
    return w->fleet;
}

void
world_set_call_observer(struct world *w,
                        void (*fn)(void *ctx, const struct world_call_info *),
                        void *ctx)
{
    w->call_observer = fn;
    w->call_observer_ctx = ctx;
}

struct world_totals
world_totals(const struct world *w)
{
    return w->totals;
}
