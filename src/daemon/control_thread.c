#include "daemon/control_thread.h"

#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <unistd.h>

#include "base/hash.h"
#include "base/log.h"
#include "control/control.h"
#include "control/roster.h"
#include "edge/loop.h"
#include "store/store_client.h"
#include "wire/link.h"

#define ROSTER_KEY "cf/roster"
/* Request ids are unique per traffic thread; the ids passed to the core carry
 * the thread number in the high byte. */
#define THREAD_SHIFT 56

struct control_thread {
    struct control_thread_options opts;
    pthread_t thread;
    struct loop *loop;
    struct control *core;
    struct link *link;
    struct store_client *store;
    GHashTable *roster_ops; /* ids of operations on the roster -> owned value
                               of a CAS, else an empty string */
    int64_t roster_revision;
    struct str *metrics; /* last published text of each traffic thread */
    bool link_pending;   /* the link has unread messages */
    bool leaving;
    bool ready;
    int64_t start_us;
};

/* Sets the allow list of the link to the members of a roster, unless a newer
 * roster was seen before. */
static void
apply_roster(struct control_thread *c, int64_t revision, struct str text)
{
    struct roster *r;
    if (revision <= c->roster_revision || roster_parse(text, &r) != ST_OK) {
        return;
    }
    c->roster_revision = revision;
    struct link_peer *peers = mem_calloc((size_t)r->count, sizeof(*peers));
    for (int i = 0; i < r->count; i++) {
        peers[i].address = r->members[i].address;
        peers[i].public_key = r->members[i].key;
    }
    link_set_peers(c->link, peers, r->count);
    LOG_EVENT(LOG_INFO, "roster", LOG_INT("revision", revision),
              LOG_INT("members", r->count));
    free(peers);
    roster_free(r);
}

static void
push_to_all(struct control_thread *c, struct bridge_msg *(*make)(const void *),
            const void *payload)
{
    for (int i = 0; i < c->opts.threads; i++) {
        bridge_push(c->opts.to_traffic[i], make(payload));
    }
}

static struct bridge_msg *
make_reply(const void *payload)
{
    struct bridge_msg *m = bridge_msg_new(BRIDGE_CONTROL_REPLY);
    m->reply = reply_dup(payload);
    return m;
}

static struct bridge_msg *
make_snapshot(const void *payload)
{
    struct bridge_msg *m = bridge_msg_new(BRIDGE_SNAPSHOT);
    m->snapshot = snapshot_ref((struct snapshot *)payload);
    return m;
}

static struct bridge_msg *
make_freshness(const void *payload)
{
    struct bridge_msg *m = bridge_msg_new(BRIDGE_FRESHNESS);
    m->at_us = *(const int64_t *)payload;
    return m;
}

static void
send_result(struct control_thread *c, int thread, uint64_t id,
            enum errkind error, struct str text)
{
    struct bridge_msg *m = bridge_msg_new(BRIDGE_RESULT);
    m->id = id;
    m->error = error;
    m->text = str_dup(text);
    if (thread >= 0 && thread < c->opts.threads) {
        bridge_push(c->opts.to_traffic[thread], m);
    }
    else {
        bridge_msg_free(m);
    }
}

static void
submit_store_op(struct control_thread *c, const struct store_op *op)
{
    if (str_eq_cstr(op->key, ROSTER_KEY)) {
        uint64_t *id = g_new(uint64_t, 1);
        struct str *value = g_new0(struct str, 1);
        *id = op->id;
        if (op->kind == STORE_CAS) {
            *value = str_dup(op->value);
        }
        g_hash_table_insert(c->roster_ops, id, value);
    }
    store_client_submit(c->store, loop_now_us(), op);
}

/* The limits of store operations hold for the whole fleet; each live node gets
 * an equal share. */
static void
set_store_rates(struct control_thread *c, int nodes)
{
    const struct settings *set = c->opts.shared->settings;
    double n = nodes > 0 ? nodes : 1;
    store_client_set_rates(c->store, loop_now_us(), set->store_reads_per_s / n,
                           set->store_writes_per_s / n);
}

static void
perform(struct control_thread *c, const struct control_action *a)
{
    uint64_t mask = (1ULL << THREAD_SHIFT) - 1;
    switch (a->kind) {
    case CONTROL_ACT_SEND:
        link_send(c->link, a->send.to, a->send.address, &a->send.msg);
        c->link_pending = true;
        break;
    case CONTROL_ACT_STORE:
        submit_store_op(c, &a->store);
        break;
    case CONTROL_ACT_REPLY:
        if (a->reply.thread >= 0 && a->reply.thread < c->opts.threads) {
            bridge_push(c->opts.to_traffic[a->reply.thread],
                        make_reply(&a->reply.reply));
        }
        break;
    case CONTROL_ACT_NOTIFY_ALL:
        push_to_all(c, make_reply, &a->reply.reply);
        break;
    case CONTROL_ACT_SNAPSHOT:
        LOG_EVENT(LOG_INFO, "snapshot",
                  LOG_INT("revision", a->snapshot->config_revision),
                  LOG_INT("endpoints", a->snapshot->endpoint_count),
                  LOG_INT("nodes", a->snapshot->node_count));
        set_store_rates(c, a->snapshot->node_count);
        push_to_all(c, make_snapshot, a->snapshot);
        snapshot_unref(a->snapshot);
        break;
    case CONTROL_ACT_FRESHNESS:
        push_to_all(c, make_freshness, &a->fresh_until_us);
        break;
    case CONTROL_ACT_ADMIN:
        LOG_EVENT(LOG_INFO, "admin_done",
                  LOG_CSTR("outcome", errkind_info(a->admin.error)->name));
        send_result(c, (int)(a->admin.id >> THREAD_SHIFT), a->admin.id & mask,
                    a->admin.error, a->admin.body);
        break;
    case CONTROL_ACT_LEAVE_DONE:
        LOG_EVENT(LOG_INFO, "left");
        atomic_store(&c->opts.shared->left_fleet, 1);
        break;
    }
}

static void
handle_event(struct control_thread *c, const struct control_event *ev)
{
    struct control_action a;
    control_handle_event(c->core, loop_now_us(), ev);
    while (control_next_action(c->core, &a)) {
        perform(c, &a);
    }
}

static void
on_msg(void *ctx, const struct msg *m)
{
    struct control_thread *c = ctx;
    struct control_event ev = {.kind = CONTROL_EV_MSG, .msg = *m};
    if (m->type == MSG_DOC && m->doc.doc == DOC_ROSTER) {
        apply_roster(c, m->doc.revision, m->doc.bytes);
    }
    handle_event(c, &ev);
}

static void
on_lost(void *ctx, uint64_t node)
{
    struct control_event ev = {.kind = CONTROL_EV_LINK_FAILED,
                               .failed_node = node};
    handle_event(ctx, &ev);
}

static void
on_store(void *ctx, const struct store_result *r)
{
    struct control_thread *c = ctx;
    struct control_event ev = {.kind = CONTROL_EV_STORE, .store = *r};
    const struct str *written = g_hash_table_lookup(c->roster_ops, &r->id);
    if (written) {
        if (r->outcome == STORE_OK) {
            apply_roster(c, r->revision, written->len ? *written : r->value);
        }
        g_hash_table_remove(c->roster_ops, &r->id);
    }
    handle_event(c, &ev);
}

static void
append_process_metrics(struct control_thread *c, struct buf *out)
{
    struct rusage u;
    char *statm = NULL;
    long pages = 0;
    getrusage(RUSAGE_SELF, &u);
    if (g_file_get_contents("/proc/self/statm", &statm, NULL, NULL)) {
        char *end;
        strtol(statm, &end, 10);
        pages = strtol(end, NULL, 10);
        g_free(statm);
    }
    buf_printf(out, "process_resident_memory_bytes %ld\n",
               pages * sysconf(_SC_PAGESIZE));
    buf_printf(out, "process_cpu_seconds_total %.3f\n",
               (double)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) +
                   (double)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e6);
    buf_printf(out, "cf_uptime_seconds %" PRId64 "\n",
               (loop_now_us() - c->start_us) / 1000000);
    buf_printf(out, "cf_ready %d\n", c->ready);
    buf_printf(out, "cf_phase %d\n", atomic_load(&c->opts.shared->phase));
}

static void
handle_metrics(struct control_thread *c, struct bridge_msg *m)
{
    str_free(&c->metrics[m->thread]);
    c->metrics[m->thread] = m->text;
    m->text = (struct str){0};
    if (m->id == 0) {
        return;
    }
    struct buf out = {0};
    for (int i = 0; i < c->opts.threads; i++) {
        buf_append_str(&out, c->metrics[i]);
    }
    control_metrics(c->core, &out);
    link_write_metrics(c->link, &out);
    buf_printf(&out, "cf_store_pending %d\n",
               store_client_pending_count(c->store));
    append_process_metrics(c, &out);
    send_result(c, m->thread, m->id, ERRKIND_NONE, buf_str(&out));
    buf_free(&out);
}

/* Pushes a trace query to the thread that holds the trace.
 * @return true if the message was pushed */
static bool
forward_trace_query(struct control_thread *c, struct bridge_msg *m)
{
    /* The last two digits of a request id are its thread. */
    int to = m->text.len < 2
                 ? -1
                 : (int)strtol(m->text.ptr + m->text.len - 2, NULL, 16);
    if (to < 0 || to >= c->opts.threads) {
        return false;
    }
    bridge_push(c->opts.to_traffic[to], m);
    return true;
}

static void
handle_message(struct control_thread *c, struct bridge_msg *m)
{
    struct control_event ev = {0};
    switch (m->kind) {
    case BRIDGE_CONTROL_REQUEST:
        ev.kind = CONTROL_EV_REQUEST;
        ev.ask.thread = m->thread;
        ev.ask.ask = *m->ask;
        handle_event(c, &ev);
        break;
    case BRIDGE_ADMIN_REQUEST:
        ev.kind = CONTROL_EV_ADMIN;
        ev.admin.id = m->id | (uint64_t)m->thread << THREAD_SHIFT;
        ev.admin.verb = m->verb;
        ev.admin.body = m->text;
        ev.admin.deadline_us = m->at_us;
        handle_event(c, &ev);
        break;
    case BRIDGE_METRICS:
        handle_metrics(c, m);
        break;
    case BRIDGE_TRACE_GET:
        if (forward_trace_query(c, m)) {
            return;
        }
        break;
    case BRIDGE_RESULT:
        send_result(c, m->thread, m->id, m->error, m->text);
        break;
    case BRIDGE_CLUSTER_VIEW:
    case BRIDGE_FORWARD_OPTIONS:
    case BRIDGE_NODE_MESSAGE:
    case BRIDGE_ROLLOUT:
    case BRIDGE_ROLLOUT_REPORT:
    case BRIDGE_SNAPSHOT:
    case BRIDGE_FRESHNESS:
    case BRIDGE_CONTROL_REPLY:
        break;
    }
    bridge_msg_free(m);
}

static void
handle_messages(struct control_thread *c)
{
    struct bridge_msg *m;
    for (int i = 0; i < c->opts.threads; i++) {
        bridge_clear_wake(c->opts.from_traffic[i]);
        while ((m = bridge_pop(c->opts.from_traffic[i]))) {
            handle_message(c, m);
        }
    }
}

static void
on_bridge(void *ctx, uint32_t events)
{
    (void)events;
    handle_messages(ctx);
}

static void
on_link(void *ctx, uint32_t events)
{
    (void)events;
    ((struct control_thread *)ctx)->link_pending = true;
}

/* Each loop iteration runs the store client; this event only ends the wait. */
static void
on_store_ready(void *ctx, uint32_t events)
{
    (void)ctx;
    (void)events;
}

static void
on_wake(void *ctx, uint32_t events)
{
    struct control_thread *c = ctx;
    (void)events;
    bridge_clear_wake(c->opts.wake);
}

static int64_t
min_us(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

/* The control thread confirms readiness at least this often, several times
 * within READY_MAX_AGE_US of resources.c. */
#define READY_INTERVAL_US 250000

static void
run_once(struct control_thread *c)
{
    struct daemon_shared *s = c->opts.shared;
    int64_t now = loop_now_us();
    int64_t wake =
        min_us(now + READY_INTERVAL_US, control_next_wakeup_us(c->core));
    wake = min_us(wake, store_client_next_wakeup_us(c->store));
    for (int i = 0; i < c->opts.threads; i++) {
        if (!bridge_flush(c->opts.to_traffic[i])) {
            wake = min_us(wake, now + 1000);
        }
    }
    loop_run_once(c->loop, c->link_pending ? now : wake);
    if (c->link_pending) {
        c->link_pending = false;
        c->link_pending = link_process_events(c->link) || c->link_pending;
    }
    now = loop_now_us();
    store_client_process_events(c->store, now);
    if (control_next_wakeup_us(c->core) <= now) {
        struct control_event tick = {.kind = CONTROL_EV_TICK};
        handle_event(c, &tick);
    }
    /* The node leaves the fleet only after its open requests have ended: a
     * node that has left has no fresh snapshot and could not send their later
     * stages. */
    if (atomic_load(&s->phase) >= PHASE_LEAVING_FLEET && !c->leaving) {
        struct control_event leave = {.kind = CONTROL_EV_LEAVE};
        c->leaving = true;
        handle_event(c, &leave);
    }
    bool ready = control_is_ready(c->core, now);
    if (ready != c->ready) {
        c->ready = ready;
        LOG_EVENT(LOG_INFO, ready ? "ready" : "not_ready");
    }
    atomic_store(&s->ready_us, ready ? now : 0);
}

static void *
run(void *arg)
{
    struct control_thread *c = arg;
    while (atomic_load(&c->opts.shared->phase) != PHASE_STOPPING) {
        run_once(c);
    }
    return NULL;
}

static void
free_value(gpointer p)
{
    str_free(p);
    g_free(p);
}

static struct control *
new_core(const struct control_thread_options *opts)
{
    const struct settings *set = opts->shared->settings;
    struct control_peer *peers =
        mem_calloc((size_t)set->peer_count, sizeof(*peers));
    for (int i = 0; i < set->peer_count; i++) {
        peers[i].node = hash64(set->peers[i].name);
        peers[i].address = set->peers[i].address;
    }
    struct control_options core = {
        .node = opts->shared->node,
        .name = set->name,
        .incarnation = opts->shared->incarnation,
        .address = set->link_bound_address,
        .zone = set->zone,
        .region = set->region,
        .curve_public_key = set->link_public_key,
        .seed = opts->shared->seed,
        .claim_buckets = set->claim_buckets,
        .store_writes_per_s = set->store_writes_per_s,
        .threads = opts->threads,
        .peer_count = set->peer_count,
        .peers = peers,
    };
    struct control *c = control_new(&core, loop_now_us());
    free(peers);
    return c;
}

static enum status
new_link(struct control_thread *c)
{
    const struct settings *set = c->opts.shared->settings;
    struct link_peer *peers =
        mem_calloc((size_t)set->peer_count, sizeof(*peers));
    for (int i = 0; i < set->peer_count; i++) {
        peers[i].address = set->peers[i].address;
        peers[i].public_key = set->peers[i].public_key;
    }
    struct link_options link = {
        .address = set->link_bound_address,
        .public_key = set->link_public_key,
        .secret_key = set->link_secret_key,
        .peer_count = set->peer_count,
        .peers = peers,
        .ctx = c,
        .message = on_msg,
        .unreachable = on_lost,
    };
    enum status st = link_new(&link, &c->link);
    free(peers);
    return st;
}

enum status
control_thread_new(const struct control_thread_options *opts,
                   struct control_thread **out)
{
    struct control_thread *c = mem_calloc(1, sizeof(*c));
    const struct settings *set = opts->shared->settings;
    c->opts = *opts;
    c->loop = loop_new();
    c->start_us = loop_now_us();
    c->metrics = mem_calloc((size_t)opts->threads, sizeof(*c->metrics));
    c->roster_ops =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free_value);
    *out = c;
    enum status st = new_link(c);
    if (st != ST_OK) {
        return st;
    }
    loop_add(c->loop, link_fd(c->link), EPOLLIN, on_link, c);
    struct store_client_options store = {
        .url_count = set->store_url_count,
        .urls = set->store_urls,
        .reads_per_s = set->store_reads_per_s / (set->peer_count + 1.0),
        .writes_per_s = set->store_writes_per_s / (set->peer_count + 1.0),
        .seed = opts->shared->seed,
    };
    struct store_client_callback sink = {on_store, c};
    c->store = store_client_new(&store, sink, loop_now_us());
    if (!c->store) {
        return err_set(ST_INTERNAL, "cannot set up the store client");
    }
    loop_add(c->loop, store_client_fd(c->store), EPOLLIN, on_store_ready, c);
    c->core = new_core(opts);
    for (int i = 0; i < opts->threads; i++) {
        loop_add(c->loop, bridge_fd(opts->from_traffic[i]), EPOLLIN, on_bridge,
                 c);
    }
    loop_add(c->loop, bridge_fd(opts->wake), EPOLLIN, on_wake, c);
    return ST_OK;
}

enum status
control_thread_start(struct control_thread *c)
{
    if (pthread_create(&c->thread, NULL, run, c) != 0) {
        return err_set(ST_IO, "cannot start a thread");
    }
    return ST_OK;
}

void
control_thread_join(struct control_thread *c)
{
    pthread_join(c->thread, NULL);
}

void
control_thread_free(struct control_thread *c)
{
    if (!c) {
        return;
    }
    if (c->core) {
        control_free(c->core);
    }
    if (c->store) {
        store_client_free(c->store);
    }
    link_free(c->link);
    for (int i = 0; i < c->opts.threads; i++) {
        str_free(&c->metrics[i]);
    }
    free(c->metrics);
    g_hash_table_destroy(c->roster_ops);
    loop_free(c->loop);
    free(c);
}
