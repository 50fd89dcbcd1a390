/* The nodes' open connections to the store go silent; meanwhile a server
 * leaves: its entry is removed, it serves for drainMs and a little longer and
 * exits. Counts the actions that reach it too late. */
#include <stdlib.h>

#include "review/standin/deployment.h"

#define WORK_MS 80
#define CLIENTS_PER_NODE 4
#define CLIENT_PAUSE_US 200000
#define WARM_UP_US 4000000
/* Bounds of the pages. */
#define DRAIN_US 2000000
#define CONTACT_US 3000000
/* The entry is removed this long after the connections have gone silent. */
#define REMOVAL_US 200000
/* How long the server serves beyond drainMs. */
#define LINGER_US 1600000
/* This happens to servers 1 to ROUNDS, one after the other. A round is no
 * multiple of the times at which nodes call the store. */
#define ROUNDS 5
#define ROUND_US 11370000
/* A new server comes at the address of the one that has left. */
#define NEW_SERVER_US 1000000
/* Clocks and processes may be late by this much. */
#define MARGIN_US 50000

static struct deployment dep;
static int stop;

static gpointer
client(gpointer p)
{
    int n = GPOINTER_TO_INT(p);
    g_usleep((gulong)(CLIENT_PAUSE_US / CLIENTS_PER_NODE * (n / DEP_NODES)));
    while (!g_atomic_int_get(&stop)) {
        int64_t next_us = dep_now_us() + CLIENT_PAUSE_US;
        dep_send(&dep, n % DEP_NODES, 'a', "entry");
        int64_t now_us = dep_now_us();
        g_usleep(next_us > now_us ? (gulong)(next_us - now_us) : 0);
    }
    return NULL;
}

static void
sleep_until(int64_t at_us)
{
    int64_t now_us = dep_now_us();
    if (at_us > now_us) {
        g_usleep((gulong)(at_us - now_us));
    }
}

struct departure {
    int64_t silent_us; /* when the connections went silent */
    int64_t removed_us;
    int64_t exit_us;
    int64_t last_us; /* the last request at the server */
    int late;
    int lost;
};

/* Server @p i leaves. */
static struct departure
remove_server(int i)
{
    struct departure d = {.silent_us = dep_now_us()};
    if (dep_has_trouble()) {
        proxy_set_fault(dep.proxy, PROXY_SILENCE);
    }
    sleep_until(d.silent_us + REMOVAL_US);
    d.removed_us = dep_remove_entry(&dep, i);
    proxy_set_fault(dep.proxy, PROXY_PASS);
    d.exit_us = d.removed_us + DRAIN_US + LINGER_US;
    sleep_until(d.exit_us);
    dep_kill_server(&dep, i);
    sleep_until(d.exit_us + NEW_SERVER_US);
    dep_start_server(&dep, i);
    g_usleep(100000);
    dep_write_entry(&dep, i);
    sleep_until(d.silent_us + ROUND_US);
    return d;
}

/* Counts a request that reached a server, if it came too late. */
static void
judge(struct departure *d, const struct run_line *x,
      const struct sent_request *q)
{
    if (x->at_us > d->exit_us) {
        return; /* the new server at this address */
    }
    d->last_us = x->at_us;
    /* Only requests that the node had taken while it was in touch. */
    if (x->at_us > d->removed_us + DRAIN_US + MARGIN_US &&
        q->sent_us > d->silent_us + CONTACT_US + MARGIN_US) {
        d->late++;
        d->lost += q->status != 200;
    }
}

int
main(int argc, char **argv)
{
    GThread *threads[DEP_NODES * CLIENTS_PER_NODE];
    struct departure departures[DEP_SERVERS] = {0};
    int late = 0;
    int lost = 0;
    int served = 0;
    if (argc != 2) {
        return 2;
    }
    dep_open(&dep, argv[1], WORK_MS, false);
    for (int i = 0; i < DEP_NODES * CLIENTS_PER_NODE; i++) {
        threads[i] = g_thread_new("client", client, GINT_TO_POINTER(i));
    }
    g_usleep(WARM_UP_US);
    int64_t zero_us = dep_now_us();
    for (int i = 1; i <= ROUNDS; i++) {
        departures[i] = remove_server(i);
    }
    g_atomic_int_set(&stop, 1);
    for (int i = 0; i < DEP_NODES * CLIENTS_PER_NODE; i++) {
        g_thread_join(threads[i]);
    }
    GArray *runs = dep_runs(&dep);
    for (guint i = 0; i < runs->len; i++) {
        const struct run_line *x = &g_array_index(runs, struct run_line, i);
        const struct sent_request *q = dep_find_request(&dep, x->id);
        served += x->answered;
        if (q && departures[x->server].exit_us) {
            judge(&departures[x->server], x, q);
        }
    }
    dep_record(&dep, "times are in ms since the first disruption");
    dep_record(&dep, "disruption: %s",
               dep_has_trouble()
                   ? "the nodes' open connections to the store go silent, new "
                     "ones work; five times"
                   : "none");
    for (int i = 1; i <= ROUNDS; i++) {
        const struct departure *d = &departures[i];
        dep_record(&dep,
                   "server-%d: connections silent at %.1f, entry removed "
                   "(acknowledged) at %.1f, exit at %.1f, last request %.1f "
                   "ms after the acknowledgement, too late: %d, of these "
                   "without a 200: %d",
                   i, (double)(d->silent_us - zero_us) / 1e3,
                   (double)(d->removed_us - zero_us) / 1e3,
                   (double)(d->exit_us - zero_us) / 1e3,
                   (double)(d->last_us - d->removed_us) / 1e3, d->late,
                   d->lost);
        late += d->late;
        lost += d->lost;
    }
    dep_record(&dep, "actions sent: %u, answered by servers: %d",
               dep.requests->len, served);
    dep_record(&dep,
               "requests that reached a server later than drainMs after the "
               "acknowledgement, from machines in touch: %d",
               late);
    dep_record(&dep, "of these, actions that ran there and got no 200: %d",
               lost);
    dep_record(&dep, late > 0 ? "DRAIN broken" : "DRAIN held");
    dep_record_all(&dep, runs, zero_us);
    printf("late %d, lost %d, %s\n", late, lost,
           late > 0 ? "DRAIN broken" : "DRAIN held");
    g_array_free(runs, TRUE);
    dep_close(&dep);
    return served == 0 ? 2 : late > 0 ? 1 : 0;
}
