#include "tests/fleet_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

const char fleet_sim_config[] =
    "{\"defaults\":{\"deadline_ms\":8000},\"zones\":{"
    "\"z0\":{\"region\":\"r0\"},\"z1\":{\"region\":\"r1\"}},"
    "\"pools\":{\"enc\":{\"kind\":\"encode\"}},\"teams\":{\"clerks\":{"
    "\"token_hash\":\"00000000000000000000000000000000000000000000000000"
    "00000000000000\"}}}";

static const char vms[] =
    "{\"vms\":[{\"vm\":\"v1\",\"zone\":\"z0\",\"state\":\"live\","
    "\"endpoints\":[{\"id\":\"e1\",\"pool\":\"enc\",\"url\":"
    "\"http://127.0.0.1:9001\"}]},{\"vm\":\"v2\",\"zone\":\"z1\",\"state\":"
    "\"live\",\"endpoints\":[{\"id\":\"e2\",\"pool\":\"enc\",\"url\":"
    "\"http://127.0.0.1:9002\"}]}]}";

static void
apply_action(struct fleet_sim *f, int node, const struct control_action *a)
{
    struct fleet_node *n = &f->nodes[node];
    switch (a->kind) {
    case CONTROL_ACT_SNAPSHOT:
        n->config = a->snapshot->config_revision;
        n->usable = 0;
        for (int i = 0; i < a->snapshot->endpoint_count; i++) {
            n->usable += a->snapshot->endpoints[i].usable;
        }
        snapshot_unref(a->snapshot);
        break;
    case CONTROL_ACT_FRESHNESS:
        n->fresh_until_us = a->fresh_until_us;
        break;
    case CONTROL_ACT_NOTIFY_ALL:
        n->suspect_notices += a->reply.reply.kind == REPLY_SUSPECT;
        break;
    case CONTROL_ACT_ADMIN:
        if (f->on_admin) {
            f->on_admin(f->arg, node, &a->admin);
        }
        break;
    case CONTROL_ACT_LEAVE_DONE:
        n->left = true;
        break;
    case CONTROL_ACT_REPLY:
        n->granted += a->reply.reply.kind == REPLY_CREDIT &&
                      a->reply.reply.credit.granted;
        n->claims_opened += a->reply.reply.kind == REPLY_CLAIM &&
                            a->reply.reply.claim.state == CLAIM_OPENED;
        break;
    case CONTROL_ACT_SEND:
    case CONTROL_ACT_STORE:
        vnet_perform_action(&f->net, node, a);
        break;
    }
}

static int64_t
clock_ns(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static void
run_node_step(void *arg, int node, const struct control_event *ev)
{
    struct fleet_sim *f = arg;
    struct control_action a;
    int64_t start = f->measure_cpu ? clock_ns() : 0;
    control_handle_event(f->nodes[node].core, f->net.now_us, ev);
    while (control_next_action(f->nodes[node].core, &a)) {
        apply_action(f, node, &a);
    }
    f->cpu_ns += f->measure_cpu ? clock_ns() - start : 0;
    if (f->on_step) {
        f->on_step(f->arg, node);
    }
}

static int64_t
next_wakeup_us(void *arg, int node)
{
    return control_next_wakeup_us(((struct fleet_sim *)arg)->nodes[node].core);
}

void
fleet_sim_start(struct fleet_sim *f, int node)
{
    struct fleet_node *n = &f->nodes[node];
    char name[32];
    char address[32];
    char zone[16];
    char region[16];
    struct control_peer peers[2];
    int r = node % f->regions;
    uint64_t incarnation = n->incarnation + 1;
    snprintf(name, sizeof(name), "n%d", node);
    snprintf(address, sizeof(address), "tcp://10.0.%d.%d:7000", node / 256,
             node % 256);
    snprintf(zone, sizeof(zone), "z%d", r);
    snprintf(region, sizeof(region), "r%d", r);
    for (int i = 0; i < 2; i++) {
        peers[i].node = f->net.ids[(node + 1 + i) % f->net.count];
        peers[i].address = str_from_cstr("tcp://10.0.0.0:7000");
    }
    struct control_options o = {
        .node = f->net.ids[node],
        .name = str_from_cstr(name),
        .incarnation = incarnation,
        .address = str_from_cstr(address),
        .zone = str_from_cstr(zone),
        .region = str_from_cstr(region),
        .seed = f->seed + incarnation,
        .claim_buckets = 16,
        .store_writes_per_s = 100,
        .peer_count = 2,
        .peers = peers,
    };
    control_free(n->core);
    *n = (struct fleet_node){.incarnation = incarnation,
                             .fresh_until_us = INT64_MIN / 4};
    n->core = control_new(&o, f->net.now_us);
    f->net.up[node] = true;
    f->net.process[node]++;
    f->net.paused_until_us[node] = 0;
    f->net.wakeup_time_us[node] = f->net.now_us;
}

void
fleet_sim_kill(struct fleet_sim *f, int node)
{
    f->net.up[node] = false;
    f->nodes[node].fresh_until_us = INT64_MIN / 4;
}

struct fleet_sim *
fleet_sim_new(int count, int regions, uint64_t seed)
{
    struct fleet_sim *f = mem_calloc(1, sizeof(*f));
    vnet_init(&f->net, count, seed, f);
    f->net.step = run_node_step;
    f->net.wakeup = next_wakeup_us;
    f->regions = regions;
    f->seed = seed;
    vnet_put_key(&f->net, "cf/config", str_from_cstr(fleet_sim_config));
    vnet_put_key(&f->net, "platform/vms", str_from_cstr(vms));
    for (int i = 0; i < count; i++) {
        fleet_sim_start(f, i);
    }
    return f;
}

void
fleet_sim_free(struct fleet_sim *f)
{
    for (int i = 0; i < f->net.count; i++) {
        control_free(f->nodes[i].core);
    }
    vnet_clear(&f->net);
    free(f);
}

void
fleet_sim_run(struct fleet_sim *f, int64_t until_us)
{
    vnet_run_until(&f->net, until_us);
}

void
fleet_sim_send_admin_request(struct fleet_sim *f, int node, uint64_t id,
                             enum admin_verb verb, const char *body,
                             int64_t deadline_us)
{
    struct control_event ev = {.kind = CONTROL_EV_ADMIN};
    ev.admin.id = id;
    ev.admin.verb = verb;
    ev.admin.body = str_from_cstr(body);
    ev.admin.deadline_us = deadline_us;
    vnet_dispatch_event(&f->net, node, &ev);
}

void
fleet_sim_request_leave(struct fleet_sim *f, int node)
{
    struct control_event ev = {.kind = CONTROL_EV_LEAVE};
    vnet_dispatch_event(&f->net, node, &ev);
}

bool
fleet_sim_is_ready(const struct fleet_sim *f, int node)
{
    return f->net.up[node] &&
           control_is_ready(f->nodes[node].core, f->net.now_us);
}

int
fleet_sim_count_converged(struct fleet_sim *f)
{
    int64_t newest = vnet_key(&f->net, STR_LIT("cf/config"))->revision;
    int n = 0;
    for (int i = 0; i < f->net.count; i++) {
        n += fleet_sim_is_ready(f, i) && f->nodes[i].config == newest;
    }
    return n;
}
