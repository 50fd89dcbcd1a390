/* One request crashes each server that begins to run it and comes again, with
 * the same path, caller and body, at any machine. Counts the retries that
 * still reach servers after the third crash and contactMs. */
#include <stdlib.h>
#include <string.h>

#include "review/standin/deployment.h"

#define WORK_MS 100
#define CLIENTS_PER_NODE 2
#define CLIENT_PAUSE_US 250000
#define WARM_UP_US 3000000
#define CONTACT_US 3000000
#define MARGIN_US 50000
/* The rule allows this many retries after that. */
#define RETRIES_ALLOWED 3
#define ROUNDS 12
#define ROUND_US 2500000
/* The request's client waits this long before its one retry. */
#define RETRY_US 200000
/* A crashed server is back after this time. */
#define DOWN_US 3000000
/* Entries are removed after three heartbeats without a sign. */
#define ENTRY_US (3 * HEARTBEAT_MS * 1000)

static struct deployment dep;
static int stop;

static gpointer
client(gpointer p)
{
    int n = GPOINTER_TO_INT(p);
    while (!g_atomic_int_get(&stop)) {
        dep_send(&dep, n % DEP_NODES, 'a', "entry");
        g_usleep(CLIENT_PAUSE_US);
    }
    return NULL;
}

/* Starts crashed servers again, as new incarnations at the same address. */
static gpointer
supervisor(gpointer unused)
{
    int64_t crashed_us[DEP_SERVERS] = {0};
    char old_key[DEP_SERVERS][48];
    (void)unused;
    while (!g_atomic_int_get(&stop)) {
        int64_t now_us = dep_now_us();
        for (int i = 0; i < DEP_SERVERS; i++) {
            struct dep_server *s = &dep.servers[i];
            if (s->pid && dep_server_ended(&dep, i)) {
                crashed_us[i] = now_us;
                g_strlcpy(old_key[i], s->id, sizeof(old_key[i]));
            }
            else if (!s->pid && crashed_us[i] &&
                     now_us - crashed_us[i] > ENTRY_US) {
                /* The old entry has expired by now. */
                dep_remove_entry(&dep, i);
                dep_start_server(&dep, i);
                g_usleep(100000);
                dep_write_entry(&dep, i);
                crashed_us[i] = 0;
            }
        }
        g_usleep(5000);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    GThread *threads[DEP_NODES * CLIENTS_PER_NODE];
    bool trouble = dep_has_trouble();
    if (argc != 2) {
        return 2;
    }
    dep_open(&dep, argv[1], WORK_MS, trouble);
    GThread *restarts = g_thread_new("supervisor", supervisor, NULL);
    for (int i = 0; i < DEP_NODES * CLIENTS_PER_NODE; i++) {
        threads[i] = g_thread_new("client", client, GINT_TO_POINTER(i));
    }
    g_usleep(WARM_UP_US);
    int64_t zero_us = dep_now_us();
    int node = 0;
    for (int i = 0; i < ROUNDS; i++) {
        int64_t next_us = dep_now_us() + ROUND_US;
        int status = dep_send(&dep, node++ % DEP_NODES, 'c', "crash");
        if (status != 200) {
            g_usleep(RETRY_US);
            dep_send(&dep, node++ % DEP_NODES, 'c', "crash");
        }
        int64_t now_us = dep_now_us();
        g_usleep(next_us > now_us ? (gulong)(next_us - now_us) : 0);
    }
    g_atomic_int_set(&stop, 1);
    for (int i = 0; i < DEP_NODES * CLIENTS_PER_NODE; i++) {
        g_thread_join(threads[i]);
    }
    g_thread_join(restarts);
    GArray *runs = dep_runs(&dep);
    int crashes = 0;
    int64_t third_us = INT64_MAX - CONTACT_US - MARGIN_US;
    int retries = 0;
    int sends = 0;
    int lost = 0;
    int lost_late = 0;
    int served = 0;
    const char *last_id = "";
    for (guint i = 0; i < runs->len; i++) {
        const struct run_line *x = &g_array_index(runs, struct run_line, i);
        const struct sent_request *q = dep_find_request(&dep, x->id);
        if (!q || q->kind == 'a') {
            served += x->answered;
            if (q && !x->answered) {
                lost++;
                lost_late += x->at_us > third_us + CONTACT_US;
            }
            continue;
        }
        if (trouble && ++crashes == 3) {
            third_us = x->at_us;
        }
        if (x->at_us > third_us + CONTACT_US + MARGIN_US) {
            sends++;
            retries += strcmp(last_id, x->id) != 0;
        }
        last_id = x->id;
    }
    bool broken = retries > RETRIES_ALLOWED;
    dep_record(&dep, "times are in ms since the first request that crashes");
    dep_record(&dep, "disruption: %s",
               trouble ? "one request crashes each server that begins to run "
                         "it, and comes again"
                       : "none");
    dep_record(&dep, "servers crashed: %d", crashes);
    if (crashes >= 3) {
        dep_record(&dep, "third crash at %.1f",
                   (double)(third_us - zero_us) / 1e3);
    }
    dep_record(&dep,
               "retries that reached servers later than contactMs after it: "
               "%d (%d are allowed), in %d sends",
               retries, RETRIES_ALLOWED, sends);
    dep_record(&dep,
               "other callers' actions that ran and were cut off by crashes: "
               "%d, %d of them later than contactMs after the third",
               lost, lost_late);
    dep_record(&dep, broken ? "BUDGET broken" : "BUDGET held");
    dep_record_all(&dep, runs, zero_us);
    printf("crashes %d, late retries %d in %d sends, actions cut off %d (%d "
           "late), %s\n",
           crashes, retries, sends, lost, lost_late,
           broken ? "BUDGET broken" : "BUDGET held");
    g_array_free(runs, TRUE);
    bool worked = served > 0;
    dep_close(&dep);
    return !worked ? 2 : broken ? 1 : 0;
}
