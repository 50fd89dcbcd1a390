#include "tests/rollout_sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define MS 1000LL
#define SECOND 1000000LL
#define STEP_US (10 * MS)
#define SERVICE STR_LIT("svc")
#define LEASE_US (10 * SECOND)
#define MEAN_US 80000.0

enum change_kind { CHANGE_ORDER, CHANGE_RECORD };

struct sim_change {
    enum change_kind kind;
    int64_t at_us;
    int64_t revision;
    struct rollout_order order; /* target empty: withdrawn */
    char record[512];           /* empty: none */
    char status[32];
};

struct sim_write {
    int node;
    int64_t apply_us;
    int64_t reply_us;
    bool applied;
    enum rollout_write_result result;
    int64_t if_revision;
    int64_t revision;
    enum rollout_phase phase;
    char record[512];
    char target[ROLLOUT_NAME_BYTES];
};

struct sim_message {
    int64_t at_us;
    int from;
    int to;
    struct rollout_report report;
};

struct sim_request {
    int64_t end_us;
    int64_t duration_us;
    int node;
    uint64_t route;
    enum rollout_side side;
    bool failed;
    bool is_bad;
};

static uint64_t
node_hash(int i)
{
    char name[32];
    snprintf(name, sizeof(name), "node-%d", i);
    return hash64(str_from_cstr(name));
}

static int
find_node(const struct sim *s, uint64_t hash)
{
    for (int i = 0; i < s->opts.nodes; i++) {
        if (node_hash(i) == hash) {
            return i;
        }
    }
    return -1;
}

struct sim *
rollout_sim_new(const struct sim_options *opts)
{
    struct sim *s = g_new0(struct sim, 1);
    s->opts = *opts;
    rng_seed(&s->rng, opts->seed);
    s->now_us = 1000 * SECOND;
    s->changes = g_array_new(FALSE, FALSE, sizeof(struct sim_change));
    s->writes = g_array_new(FALSE, FALSE, sizeof(struct sim_write));
    s->messages = g_array_new(FALSE, FALSE, sizeof(struct sim_message));
    s->requests = g_array_new(FALSE, FALSE, sizeof(struct sim_request));
    uint64_t hashes[SIM_MAX_NODES];
    for (int i = 0; i < opts->nodes; i++) {
        hashes[i] = node_hash(i);
    }
    for (int i = 0; i < opts->nodes; i++) {
        char name[32];
        snprintf(name, sizeof(name), "node-%d", i);
        struct rollout_options o = {.node = str_from_cstr(name),
                                    .expose_share = 0.1,
                                    .expose_slack = 50,
                                    .rollback_us = 5 * SECOND};
        s->nodes[i].alive = true;
        s->nodes[i].core = rollout_new(&o);
        s->nodes[i].registered_until_us = INT64_MAX;
        s->nodes[i].watch_us = 20 * MS + (int64_t)rng_below(&s->rng, 300 * MS);
        rollout_set_nodes(s->nodes[i].core, hashes, opts->nodes);
    }
    return s;
}

void
rollout_sim_free(struct sim *s)
{
    for (int i = 0; i < s->opts.nodes; i++) {
        rollout_free(s->nodes[i].core);
    }
    g_array_free(s->changes, TRUE);
    g_array_free(s->writes, TRUE);
    g_array_free(s->messages, TRUE);
    g_array_free(s->requests, TRUE);
    g_free(s);
}

void
rollout_sim_order(struct sim *s, const char *target, int64_t duration_us)
{
    struct sim_change c = {
        .kind = CHANGE_ORDER, .at_us = s->now_us, .revision = ++s->revision};
    c.order.id = (uint64_t)s->revision * 977;
    c.order.duration_us = duration_us;
    g_strlcpy(c.order.target, target ? target : "", sizeof(c.order.target));
    g_array_append_val(s->changes, c);
    s->order_us = s->now_us;
    s->opts.duration_us = duration_us;
    s->requests_since_order = s->exposed = 0;
    s->finished_us = 0;
    s->status[0] = 0;
}

void
rollout_sim_kill(struct sim *s, int node)
{
    s->nodes[node].alive = false;
    s->nodes[node].registered_until_us = s->now_us + LEASE_US;
}

static void
append_record_change(struct sim *s)
{
    struct sim_change c = {.kind = CHANGE_RECORD,
                           .at_us = s->now_us,
                           .revision = s->record_revision};
    g_strlcpy(c.record, s->record, sizeof(c.record));
    g_strlcpy(c.status, s->status, sizeof(c.status));
    g_array_append_val(s->changes, c);
}

void
rollout_sim_restore(struct sim *s, int write)
{
    int n = 0;
    s->record[0] = s->status[0] = 0;
    s->record_revision = 0;
    for (guint i = 0; i < s->changes->len && n < write; i++) {
        struct sim_change c = g_array_index(s->changes, struct sim_change, i);
        if (c.kind == CHANGE_RECORD) {
            n++;
            g_strlcpy(s->record, c.record, sizeof(s->record));
            g_strlcpy(s->status, c.status, sizeof(s->status));
            s->record_revision = c.revision;
        }
    }
    append_record_change(s);
}

static void
note_status(struct sim *s, const struct sim_write *w)
{
    static const char *const states[] = {"running", "running", "running",
                                         "completed", "rolled_back"};
    bool was_final = s->finished_us != 0;
    g_strlcpy(s->status, states[w->phase], sizeof(s->status));
    g_strlcpy(s->status_target, w->target, sizeof(s->status_target));
    if (w->phase == ROLLOUT_COMPLETED) {
        g_strlcpy(s->completed, w->target, sizeof(s->completed));
    }
    if (w->phase >= ROLLOUT_COMPLETED && !was_final) {
        s->finished_us = s->now_us;
        s->bad_at_end = s->bad_responses;
        if (w->phase == ROLLOUT_COMPLETED) {
            s->old_at_completion = s->old_running;
        }
    }
}

static void
apply_write(struct sim *s, struct sim_write *w)
{
    w->applied = true;
    if (s->store_down) {
        w->result = ROLLOUT_UNKNOWN;
        return;
    }
    if (w->if_revision != s->record_revision) {
        w->result = ROLLOUT_CONFLICT;
        return;
    }
    int n = ++s->record_writes;
    if (s->on_write && !s->on_write(s, w->node, n)) {
        w->result = ROLLOUT_UNKNOWN;
        return;
    }
    w->result = ROLLOUT_WRITTEN;
    w->revision = s->record_revision = ++s->revision;
    g_strlcpy(s->record, w->record, sizeof(s->record));
    note_status(s, w);
    append_record_change(s);
}

static void
run_writes(struct sim *s)
{
    for (guint i = 0; i < s->writes->len;) {
        struct sim_write *w = &g_array_index(s->writes, struct sim_write, i);
        if (!w->applied && s->now_us >= w->apply_us) {
            apply_write(s, w);
        }
        w = &g_array_index(s->writes, struct sim_write, i);
        if (s->now_us < w->reply_us) {
            i++;
            continue;
        }
        struct sim_write done = *w;
        g_array_remove_index(s->writes, i);
        if (s->nodes[done.node].alive) {
            rollout_handle_write(s->nodes[done.node].core, s->now_us, SERVICE,
                                 done.result, done.revision);
        }
    }
}

static void
run_messages(struct sim *s)
{
    for (guint i = 0; i < s->messages->len;) {
        struct sim_message m =
            g_array_index(s->messages, struct sim_message, i);
        if (s->now_us < m.at_us) {
            i++;
            continue;
        }
        g_array_remove_index_fast(s->messages, i);
        if (s->nodes[m.to].alive && !s->nodes[m.to].cut_peers) {
            rollout_handle_report(s->nodes[m.to].core, s->now_us,
                                  node_hash(m.from), &m.report);
        }
    }
}

static void
follow_store(struct sim *s, struct sim_node *n)
{
    if (s->store_down || n->cut_store) {
        return;
    }
    while (n->seen < s->changes->len) {
        const struct sim_change *c =
            &g_array_index(s->changes, struct sim_change, n->seen);
        if (s->now_us < c->at_us + n->watch_us + s->opts.store_us) {
            break;
        }
        if (c->kind == CHANGE_ORDER) {
            rollout_set_order(n->core, s->now_us, SERVICE,
                              c->order.target[0] ? &c->order : NULL);
        }
        else {
            rollout_set_record(n->core, s->now_us, SERVICE,
                               str_from_cstr(c->record), c->revision);
        }
        n->seen++;
    }
    rollout_set_contact(n->core, s->now_us - 500 * MS - s->opts.store_us);
}

static void
submit(struct sim *s, int node, const struct rollout_write *w)
{
    struct sim_write out = {.node = node,
                            .apply_us =
                                s->now_us + 2 * MS + s->opts.store_us / 2,
                            .if_revision = w->if_revision,
                            .phase = w->phase,
                            .result = ROLLOUT_UNKNOWN};
    out.reply_us = out.apply_us + 2 * MS + s->opts.store_us / 2;
    if (s->store_down || s->nodes[node].cut_store) {
        out.applied = true;
        out.reply_us = s->now_us + 700 * MS;
    }
    snprintf(out.record, sizeof(out.record), "%.*s", STR_FMT(w->record));
    snprintf(out.target, sizeof(out.target), "%.*s", STR_FMT(w->target));
    g_array_append_val(s->writes, out);
}

static void
run_node(struct sim *s, int i)
{
    struct sim_node *n = &s->nodes[i];
    struct rollout_directive d;
    int at = 0;
    follow_store(s, n);
    if (s->now_us / STEP_US % 10 == i % 10) {
        /* The traffic thread reports its counts ten times a second. */
        struct rollout_report own = {.service = hash64(SERVICE),
                                     .order = n->traffic.directive.order,
                                     .step = n->traffic.directive.step,
                                     .longest_us = n->traffic.longest_us,
                                     .counts = n->traffic.counts};
        const int servers[ROLLOUT_SIDES] = {s->opts.servers, s->opts.servers};
        rollout_set_counts(n->core, &own);
        rollout_set_servers(n->core, own.service, servers);
    }
    rollout_run(n->core, s->now_us);
    struct sim_message m = {.from = i};
    uint64_t to;
    while (rollout_next_message(n->core, &to, &m.report)) {
        m.to = find_node(s, to);
        m.at_us = s->now_us + MS + (int64_t)rng_below(&s->rng, 15 * MS);
        if (m.to >= 0 && !n->cut_peers &&
            rng_uniform(&s->rng) >= s->opts.loss) {
            g_array_append_val(s->messages, m);
        }
    }
    struct rollout_write w;
    while (rollout_next_write(n->core, s->now_us, &w)) {
        submit(s, i, &w);
    }
    while (rollout_next_directive(n->core, s->now_us, &at, &d)) {
        rollout_traffic_apply(&n->traffic, &d, rng_uniform(&s->rng));
    }
}

/* Whether a response of the new version is a failure, or slow. */
static bool
is_bad(struct sim *s, uint64_t route, int server)
{
    double chance = 0;
    int64_t age_us = s->now_us - s->order_us;
    switch (s->opts.kind) {
    case SIM_GOOD:
    case SIM_NOISY:
    case SIM_KIND_COUNT:
        return false;
    case SIM_BAD_AT_ONCE:
        chance = 0.3;
        break;
    case SIM_SLOW:
        chance = 0.4;
        break;
    case SIM_BAD_LATER:
        chance =
            age_us > s->opts.duration_us / 6 +
                         (int64_t)(s->opts.seed % 4) * s->opts.duration_us / 12
                ? 0.3
                : 0;
        break;
    case SIM_BAD_LOAD:
        /* Loads vary by chance, so not only the mean load of an old server
         * counts. */
        chance = s->server_load[server] >= 0.8 * s->opts.rate / s->opts.servers
                     ? 0.3
                     : 0;
        break;
    case SIM_BAD_ROUTE:
        chance = route == 1 ? 0.4 : 0;
        break;
    case SIM_BAD_TENTH:
        chance = 0.1;
        break;
    }
    return rng_uniform(&s->rng) < chance;
}

static void
start_request(struct sim *s)
{
    static const uint64_t routes[] = {1, 2, 2, 3};
    int i = (int)rng_below(&s->rng, (uint64_t)s->opts.nodes);
    struct sim_node *n = &s->nodes[i];
    if (!n->alive) {
        return;
    }
    struct sim_request q = {.node = i, .route = routes[rng_below(&s->rng, 4)]};
    bool ended = s->now_us - s->order_us > s->opts.duration_us;
    s->requests_since_order += !ended;
    q.side = rollout_traffic_choose(&n->traffic, s->now_us);
    if (q.side == ROLLOUT_OLD && s->finished_us &&
        strcmp(s->status, "completed") == 0) {
        q.side = ROLLOUT_NEW; /* There are no old servers. */
    }
    /* Sum of exponentials: most durations are near the mean. */
    double us = 0;
    for (int k = 0; k < 4; k++) {
        us += rng_exp(&s->rng, MEAN_US / 4);
    }
    q.duration_us = (int64_t)us;
    if (rng_uniform(&s->rng) < 0.01) {
        q.duration_us *= 8;
    }
    if (s->opts.long_us > 0 && rng_below(&s->rng, 50) == 0) {
        q.duration_us = s->opts.long_us;
    }
    q.failed =
        rng_uniform(&s->rng) < (s->opts.kind == SIM_NOISY ? 0.02 : 0.001);
    if (q.side == ROLLOUT_NEW) {
        const int count[ROLLOUT_SIDES] = {s->opts.servers, s->opts.servers};
        int used = rollout_traffic_servers(&n->traffic, count);
        int server = (int)rng_below(&s->rng, (uint64_t)MAX(used, 1));
        s->server_load[server] += 1;
        q.is_bad = is_bad(s, q.route, server);
        s->exposed += !n->cut_store && !ended;
        s->last_new_us = n->cut_store ? s->last_new_us : s->now_us;
        if (q.is_bad && s->opts.kind == SIM_SLOW) {
            q.duration_us *= 5;
        }
        else {
            q.failed |= q.is_bad;
        }
    }
    else {
        s->old_running++;
    }
    q.end_us = s->now_us + q.duration_us;
    n->traffic.counts.running[q.side]++;
    rollout_traffic_sent(&n->traffic, q.route, q.side);
    g_array_append_val(s->requests, q);
}

static void
run_requests(struct sim *s)
{
    for (guint i = 0; i < s->requests->len;) {
        struct sim_request q =
            g_array_index(s->requests, struct sim_request, i);
        if (s->now_us < q.end_us) {
            i++;
            continue;
        }
        g_array_remove_index_fast(s->requests, i);
        struct sim_node *n = &s->nodes[q.node];
        s->old_running -= q.side == ROLLOUT_OLD;
        n->traffic.counts.running[q.side]--;
        rollout_traffic_ended(&n->traffic, q.route, q.side, q.failed,
                              q.duration_us);
        if (q.is_bad && ++s->bad_responses == 50) {
            s->bad_50_us = s->now_us;
        }
    }
    for (int i = 0; i < s->opts.servers; i++) {
        s->server_load[i] *= 1 - (double)STEP_US / SECOND;
    }
    double next = rng_exp(&s->rng, 1 / s->opts.rate);
    while (next < (double)STEP_US / SECOND) {
        start_request(s);
        next += rng_exp(&s->rng, 1 / s->opts.rate);
    }
}

static void
update_nodes(struct sim *s)
{
    uint64_t hashes[SIM_MAX_NODES];
    int count = 0;
    for (int i = 0; i < s->opts.nodes; i++) {
        if (s->now_us < s->nodes[i].registered_until_us) {
            hashes[count++] = node_hash(i);
        }
    }
    for (int i = 0; i < s->opts.nodes; i++) {
        rollout_set_nodes(s->nodes[i].core, hashes, count);
    }
}

void
rollout_sim_run(struct sim *s, int64_t span_us)
{
    int64_t until_us = s->now_us + span_us;
    for (; s->now_us < until_us; s->now_us += STEP_US) {
        run_writes(s);
        run_messages(s);
        if (s->now_us / STEP_US % 50 == 0) {
            update_nodes(s);
        }
        for (int i = 0; i < s->opts.nodes; i++) {
            if (s->nodes[i].alive) {
                run_node(s, i);
            }
        }
        run_requests(s);
    }
}
