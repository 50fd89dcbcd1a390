/* Measures the cost of the control state of whole fleets in virtual time:
 * bytes and messages between nodes, CPU time, memory, store calls, and the
 * time until a change is in force on all nodes.
 * Usage: bench_control [SIZE...] */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clean.h"
#include "tests/fleet_sim.h"

#define SECOND INT64_C(1000000)
#define STEADY_S 60
#define CHANGES 8

struct figures {
    int nodes;
    double bytes_per_s;        /* sent per node */
    double messages_per_s;     /* sent per node */
    double cpu_ms_per_s;       /* per node and virtual second, steady phase */
    double memory_kb;          /* per node */
    double store_calls_per_s;  /* store calls of the fleet */
    double outage_calls_per_s; /* the same while the store is down */
    double change_max_s;       /* longest time until all nodes have a change */
    double reply_max_s; /* longest time until the operator has the reply */
    double vm_list_s;   /* time until all nodes have a new VM list */
    double change_kb;   /* sent by the fleet for one change, per node */
};

static int64_t replied_us;
static struct fleet_sim *fleet;

static void
on_admin(void *arg, int node, const struct admin_reply *r)
{
    (void)arg;
    (void)node;
    if (r->error != ERRKIND_NONE) {
        fprintf(stderr, "edit failed: %.*s\n", STR_FMT(r->body));
        exit(1);
    }
    replied_us = fleet->net.now_us;
}

static void
put_documents(struct fleet_sim *f, int n)
{
    CLEANUP(buf_free) struct buf b = {0};
    int teams = n < 100 ? 5 : 230;
    int endpoints = n < 100 ? 38 : 600;
    buf_printf(&b, "{\"members\":[");
    for (int i = 0; i < n; i++) {
        buf_printf(&b,
                   "%s{\"id\":\"%016x\",\"name\":\"node-%03d\",\"address\":"
                   "\"tcp://10.0.%d.%d:7000\",\"zone\":\"z%d\",\"region\":"
                   "\"r%d\",\"incarnation\":1,\"vote\":true}",
                   i ? "," : "", i + 1, i, i / 256, i % 256, i % f->regions,
                   i % f->regions);
    }
    buf_printf(&b, "]}");
    vnet_put_key(&f->net, "cf/roster", buf_str(&b));
    buf_clear(&b);
    buf_printf(&b, "{\"zones\":{\"z0\":{\"region\":\"r0\"},\"z1\":{"
                   "\"region\":\"r1\"}},\"pools\":{\"enc\":{\"kind\":"
                   "\"encode\"}},\"teams\":{");
    for (int i = 0; i < teams; i++) {
        buf_printf(&b, "%s\"team-%03d\":{\"token_hash\":\"%064x\"}",
                   i ? "," : "", i, i);
    }
    buf_printf(&b, "}}");
    vnet_put_key(&f->net, "cf/config", buf_str(&b));
    buf_clear(&b);
    buf_printf(&b, "{\"vms\":[");
    for (int i = 0; i < endpoints; i++) {
        buf_printf(&b,
                   "%s{\"vm\":\"vm-%04d\",\"zone\":\"z%d\",\"state\":"
                   "\"live\",\"endpoints\":[{\"id\":\"e-%04d\",\"pool\":"
                   "\"enc\",\"url\":\"http://10.1.%d.%d:9000\"}]}",
                   i ? "," : "", i, i % 2, i, i / 256, i % 256);
    }
    buf_printf(&b, "]}");
    vnet_put_key(&f->net, "platform/vms", buf_str(&b));
}

/* Runs in steps of 10 ms, for 30 s at most, until all nodes have the
 * configuration. @return the time taken in seconds */
static double
run_until_config_everywhere(struct fleet_sim *f, int64_t revision)
{
    int64_t start = f->net.now_us;
    for (int i = 0; i < 3000; i++) {
        int updated = 0;
        fleet_sim_run(f, f->net.now_us + SECOND / 100);
        for (int k = 0; k < f->net.count; k++) {
            updated += f->nodes[k].config >= revision;
        }
        if (updated == f->net.count) {
            break;
        }
    }
    return (double)(f->net.now_us - start) / SECOND;
}

static void
measure_changes(struct fleet_sim *f, struct figures *r)
{
    int64_t bytes = f->net.bytes;
    int64_t start_us = f->net.now_us;
    for (int i = 0; i < CHANGES; i++) {
        char body[256];
        int node = i * (f->net.count - 1) / (CHANGES - 1);
        int64_t revision = vnet_key(&f->net, STR_LIT("cf/config"))->revision;
        int64_t start = f->net.now_us;
        snprintf(body, sizeof(body),
                 "{\"change\":\"c%d\",\"by\":\"bench\",\"base\":%" PRId64
                 ",\"set\":[{\"path\":\"defaults/deadline_ms\",\"value\":%d}"
                 "]}",
                 i, revision, 1000 + i);
        replied_us = 0;
        fleet_sim_send_admin_request(f, node, (uint64_t)i, ADMIN_EDIT, body,
                                     start + 20 * SECOND);
        double t = run_until_config_everywhere(f, revision + 1);
        r->change_max_s = t > r->change_max_s ? t : r->change_max_s;
        fleet_sim_run(f, start + 21 * SECOND);
        t = (double)(replied_us - start) / SECOND;
        r->reply_max_s = t > r->reply_max_s ? t : r->reply_max_s;
    }
    double steady = r->bytes_per_s * (double)f->net.count *
                    (double)(f->net.now_us - start_us) / SECOND;
    r->change_kb = ((double)(f->net.bytes - bytes) - steady) / 1000 / CHANGES /
                   f->net.count;
}

static double
measure_vm_list_change(struct fleet_sim *f)
{
    int64_t start = f->net.now_us;
    int usable = f->nodes[0].usable;
    vnet_put_key(&f->net, "platform/vms", STR_LIT("{\"vms\":[]}"));
    for (int i = 0; i < 3000 && usable; i++) {
        fleet_sim_run(f, f->net.now_us + SECOND / 100);
        usable = 0;
        for (int k = 0; k < f->net.count; k++) {
            usable += f->nodes[k].usable;
        }
    }
    return (double)(f->net.now_us - start) / SECOND;
}

static struct figures
measure(int n)
{
    struct figures r = {.nodes = n};
    size_t before = mallinfo2().uordblks;
    struct fleet_sim *f = fleet_sim_new(n, n < 100 ? 1 : 2, 1);
    fleet = f;
    f->on_admin = on_admin;
    put_documents(f, n);
    fleet_sim_run(f, 20 * SECOND);
    if (fleet_sim_count_converged(f) != n) {
        fprintf(stderr, "%d of %d nodes are ready after 20 s\n",
                fleet_sim_count_converged(f), n);
        exit(1);
    }
    r.memory_kb = (double)(mallinfo2().uordblks - before) / 1000 / n;
    int64_t bytes = f->net.bytes;
    int64_t messages = f->net.messages;
    int64_t calls = f->net.store_calls;
    f->measure_cpu = true;
    fleet_sim_run(f, f->net.now_us + STEADY_S * SECOND);
    f->measure_cpu = false;
    r.cpu_ms_per_s = (double)f->cpu_ns / 1e6 / n / STEADY_S;
    r.bytes_per_s = (double)(f->net.bytes - bytes) / n / STEADY_S;
    r.messages_per_s = (double)(f->net.messages - messages) / n / STEADY_S;
    r.store_calls_per_s = (double)(f->net.store_calls - calls) / STEADY_S;
    measure_changes(f, &r);
    r.vm_list_s = measure_vm_list_change(f);
    f->net.store_down = true;
    fleet_sim_run(f, f->net.now_us + 20 * SECOND);
    calls = f->net.store_calls;
    fleet_sim_run(f, f->net.now_us + STEADY_S * SECOND);
    r.outage_calls_per_s = (double)(f->net.store_calls - calls) / STEADY_S;
    if (fleet_sim_count_converged(f) != n) {
        fprintf(stderr, "%d of %d nodes are ready in the outage\n",
                fleet_sim_count_converged(f), n);
        exit(1);
    }
    fleet_sim_free(f);
    return r;
}

int
main(int argc, char **argv)
{
    static const char *const default_sizes[] = {"", "5", "40", "50", "390"};
    int count = argc > 1 ? argc : 5;
    const char *const *sizes =
        argc > 1 ? (const char *const *)argv : default_sizes;
    CLEANUP(buf_free) struct buf figures_line = {0};
    setlinebuf(stdout);
    printf("nodes  bytes/s  msgs/s  cpu ms/s  memory KB  store/s  outage/s  "
           "change s  answer s  VM list s  KB/change\n");
    for (int i = 1; i < count; i++) {
        int n = (int)strtol(sizes[i], NULL, 10);
        if (n < 1 || n > VNET_NODES_MAX) {
            fprintf(stderr, "usage: bench_control [SIZE...], 1 to %d\n",
                    VNET_NODES_MAX);
            return 2;
        }
        struct figures r = measure(n);
        printf("%5d  %7.0f  %6.1f  %8.3f  %9.0f  %7.1f  %8.1f  %8.2f  %8.2f  "
               "%9.2f  %9.1f\n",
               n, r.bytes_per_s, r.messages_per_s, r.cpu_ms_per_s, r.memory_kb,
               r.store_calls_per_s, r.outage_calls_per_s, r.change_max_s,
               r.reply_max_s, r.vm_list_s, r.change_kb);
        buf_printf(&figures_line,
                   "%sbytes_s_%d=%.0f msgs_s_%d=%.1f cpu_ms_%d=%.3f "
                   "memory_kb_%d=%.0f store_s_%d=%.1f outage_s_%d=%.1f "
                   "change_s_%d=%.2f answer_s_%d=%.2f vms_s_%d=%.2f",
                   i > 1 ? " " : "", n, r.bytes_per_s, n, r.messages_per_s, n,
                   r.cpu_ms_per_s, n, r.memory_kb, n, r.store_calls_per_s, n,
                   r.outage_calls_per_s, n, r.change_max_s, n, r.reply_max_s,
                   n, r.vm_list_s);
    }
    printf("%s\n", buf_str(&figures_line).ptr);
    return 0;
}
