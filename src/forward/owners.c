#include <stdlib.h>
#include <xxhash.h>

#include "base/log.h"
#include "forward/crashes.h"
#include "forward/engines.h"
#include "forward/state.h"
#include "forward/versions.h"

/* Maximum number of endpoints in one group. A group is owned by one node,
 * which batches the pieces of all nodes for it. With fewer than four endpoints
 * of a group in each zone, results cross zones and calls stay half full; an
 * owner of 24 handles about 400 stage requests a second. */
#define MAX_GROUP_ENDPOINTS 24
/* Time without a reply after which another owner is used, and the time after
 * which the connection is reopened before that, which differs from node to
 * node by up to RECONNECT_SPREAD_US. Owners acknowledge a stage request at
 * once. */
#define SILENCE_TIMEOUT_US (500 * MS)
#define RECONNECT_MIN_US (300 * MS)
#define RECONNECT_SPREAD_US (150 * MS)
/* Limits for a node that has not replied since it started. An owner completes
 * a handshake with each node before its first reply, which takes longer the
 * more nodes there are, and longer still if each node starts it again. */
#define FIRST_SILENCE_TIMEOUT_US (1500 * MS)
#define FIRST_RECONNECT_AFTER_US (800 * MS)
/* The owners of all groups, and the nodes that would replace them, are
 * contacted before the first request, one per interval, once the list of nodes
 * has not changed for CONTACT_DELAY_US. */
#define CONTACT_RANKS 2
#define CONTACT_DELAY_US (500 * MS)
#define CONTACT_INTERVAL_US (300 * MS)
#define SUSPECT_MIN_US (500 * MS)
#define SUSPECT_MAX_US (16 * SECOND)
/* Interval of checks while a node has not replied. */
#define OWNER_CHECK_US (60 * MS)
/* Owners are checked every OWNER_CHECK_US. A longer gap means that this node
 * did not run, and does not count as silence of others. */
#define STALL_THRESHOLD_US (150 * MS)

/* Prompts that an engine prefills in less than 20 ms are not worth a message.
 */
#define NOTIFY_MIN_TOKENS 1000

struct pool_entry {
    uint64_t service;
    int group;
    struct stage_pool *pool;
};

static uint64_t
pool_key(uint64_t service, int group)
{
    return service + (uint64_t)group * 0x9e3779b97f4a7c15ULL;
}

/* Acknowledgements and results for this node's own requests are delivered
 * after the pools have run, since they may end requests and so change the pool
 * that sends them. */
static void
on_send_message(void *ctx, uint64_t node, const struct stage_msg *m)
{
    struct forward *f = ctx;
    if (m->kind == STAGE_MSG_RESULTS) {
        const struct peer *p = map_get(&f->peers, node);
        if (node == f->self || !p || !p->knows_results) {
            owner_results_split(&m->results, node, on_send_message, f);
            return;
        }
        f->counters.result_groups++;
    }
    if (node != f->self) {
        f->io.send_message(f->io.ctx, node, m);
        return;
    }
    struct local_message *copy = mem_calloc(1, sizeof(*copy));
    copy->msg.kind = m->kind;
    if (m->kind == STAGE_MSG_RESULT) {
        copy->msg.result = m->result;
        copy->handle = str_dup(m->result.handle);
        copy->msg.result.handle = copy->handle;
    }
    else {
        copy->msg.ack = m->ack;
    }
    g_queue_push_tail(&f->inbox, copy);
    f->dispatch_needed = true;
}

static void
on_send_pieces(void *ctx, const struct pieces_call *call)
{
    struct forward *f = ctx;
    f->counters.piece_calls++;
    f->counters.pieces += (uint64_t)call->item_count;
    f->counters.pieces_reserve += (uint64_t)call->reserve_count;
    f->counters.pieces_late += (uint64_t)call->late_count;
    versions_pieces_sent(f, call);
    f->io.send_pieces(f->io.ctx, call);
}

static void
on_release(void *ctx, const struct release_call *call)
{
    struct forward *f = ctx;
    f->io.release_results(f->io.ctx, call);
}

static void
on_query_memory(void *ctx, const struct report_call *call)
{
    struct forward *f = ctx;
    f->io.query_memory(f->io.ctx, call);
}

static uint64_t
on_next_call(void *ctx)
{
    struct forward *f = ctx;
    return ++f->next_call;
}

static int
compare_by_zone_and_id(gconstpointer a, gconstpointer b)
{
    const struct endpoint *x = *(struct endpoint *const *)a;
    const struct endpoint *y = *(struct endpoint *const *)b;
    int c = str_cmp(x->zone, y->zone);
    return c ? c : str_cmp(x->id, y->id);
}

/* Assigns a pool the endpoints of its group: every groups-th one in the order
 * of zones, so that each group has endpoints in all zones. */
static void
assign_pool_endpoints(struct forward *f, int64_t now_us, struct pool_entry *e)
{
    struct service_state *s = map_get(&f->services, e->service);
    if (!s) {
        return;
    }
    GPtrArray *members = g_ptr_array_new();
    for (guint i = 0; i < s->endpoints->len; i++) {
        if ((int)(i % (guint)s->groups) == e->group) {
            g_ptr_array_add(members, g_ptr_array_index(s->endpoints, i));
        }
    }
    stage_pool_configure(e->pool, now_us, &s->info.pieces,
                         (struct endpoint *const *)members->pdata,
                         (int)members->len);
    g_ptr_array_free(members, TRUE);
}

static struct pool_entry *
get_pool(struct forward *f, int64_t now_us, uint64_t service, int group)
{
    const struct service_state *s = map_get(&f->services, service);
    if (!s || !s->info.processes_pieces) {
        return NULL;
    }
    group = s->groups > 0 ? group % s->groups : 0;
    struct pool_entry *e = map_get(&f->pools, pool_key(service, group));
    if (!e) {
        const struct stage_pool_io io = {f,
                                         on_send_pieces,
                                         on_release,
                                         on_query_memory,
                                         on_send_message,
                                         on_next_call};
        e = mem_calloc(1, sizeof(*e));
        e->service = service;
        e->group = group;
        e->pool = stage_pool_new(&io);
        map_put(&f->pools, pool_key(service, group), e);
        assign_pool_endpoints(f, now_us, e);
    }
    return e;
}

static struct peer *
get_peer(struct forward *f, uint64_t node)
{
    struct peer *p = map_get(&f->peers, node);
    if (!p) {
        p = mem_calloc(1, sizeof(*p));
        p->node = node;
        p->suspect_duration_us = SUSPECT_MIN_US;
        map_put(&f->peers, node, p);
    }
    return p;
}

/* A node that has registered with a new key has restarted, so its silence
 * before no longer counts. */
static void
reset_restarted_nodes(struct forward *f, int64_t now_us)
{
    for (int i = 0; i < f->cluster_view->alive_count; i++) {
        const struct cluster_node *n = &f->cluster_view->alive[i];
        struct peer *p = get_peer(f, n->hash);
        uint64_t key = hash64(n->key);
        if (p->key != key) {
            crashes_node_started(f, now_us);
            p->key = key;
            p->contacted = false;
            p->knows_results = false;
            p->results_asked_us = 0;
            p->last_received_us = 0;
            p->unanswered_us = 0;
            p->suspect_until_us = 0;
            p->suspect_duration_us = SUSPECT_MIN_US;
        }
    }
}

void
owners_set_site(struct forward *f, int64_t now_us)
{
    if (f->nodes_version != f->cluster_view->nodes_version) {
        f->nodes_version = f->cluster_view->nodes_version;
        reset_restarted_nodes(f, now_us);
        f->contact_due_us = now_us + CONTACT_DELAY_US;
    }
    size_t at = 0;
    struct service_state *s;
    struct pool_entry *e;
    while ((s = map_next(&f->services, &at))) {
        int n = (int)s->endpoints->len;
        s->groups =
            n > 0 ? (n + MAX_GROUP_ENDPOINTS - 1) / MAX_GROUP_ENDPOINTS : 1;
        g_ptr_array_sort(s->endpoints, compare_by_zone_and_id);
    }
    for (at = 0; (e = map_next(&f->pools, &at));) {
        assign_pool_endpoints(f, now_us, e);
    }
}

void
owners_free(struct forward *f)
{
    size_t at = 0;
    struct pool_entry *e;
    struct local_message *m;
    void *v;
    while ((e = map_next(&f->pools, &at))) {
        stage_pool_free(e->pool);
        free(e);
    }
    map_free(&f->pools);
    for (at = 0; (v = map_next(&f->peers, &at));) {
        free(v);
    }
    map_free(&f->peers);
    while ((m = g_queue_pop_head(&f->inbox))) {
        str_free(&m->handle);
        free(m);
    }
}

bool
owners_is_suspect(const struct forward *f, int64_t now_us, uint64_t node)
{
    const struct peer *p = map_get(&f->peers, node);
    return p && now_us < p->suspect_until_us;
}

bool
owners_is_quiet(const struct forward *f, int64_t now_us, uint64_t node,
                int64_t span_us)
{
    const struct peer *p = map_get(&f->peers, node);
    return p && now_us - p->last_received_us >= span_us &&
           now_us - p->last_request_us >= span_us;
}

/* A suspect node is avoided until it has replied to a contact message in time,
 * so that no request waits for one that is dead. */
static bool
should_avoid(const struct forward *f, uint64_t node)
{
    const struct peer *p = map_get(&f->peers, node);
    return p && p->suspect_until_us;
}

static uint64_t
owner_rank(uint64_t node, uint64_t service, int group)
{
    uint64_t parts[3] = {node, service, (uint64_t)group};
    return XXH3_64bits(parts, sizeof(parts));
}

/* An owner handles the pieces of all nodes, so nodes with a small share of a
 * core come after all others. */
static uint64_t
capable_owner_rank(const struct cluster_node *n, uint64_t service, int group)
{
    uint64_t rank = owner_rank(n->hash, service, group) >> 1;
    return n->weak ? rank : rank | 1ULL << 63;
}

uint64_t
owners_find(const struct forward *f, uint64_t service, int group)
{
    uint64_t best = f->self;
    uint64_t best_rank = 0;
    for (int i = 0; i < f->cluster_view->alive_count; i++) {
        const struct cluster_node *n = &f->cluster_view->alive[i];
        if (n->hash != f->self &&
            (n->address.len == 0 || should_avoid(f, n->hash))) {
            continue;
        }
        uint64_t rank = capable_owner_rank(n, service, group);
        if (rank > best_rank) {
            best_rank = rank;
            best = n->hash;
        }
    }
    return best;
}

static void
handle_stage_request(struct forward *f, int64_t now_us, uint64_t from,
                     const struct stage_work_request *request)
{
    struct pool_entry *e =
        get_pool(f, now_us, request->service, request->group);
    if (e) {
        stage_pool_add_request(e->pool, now_us, from, request);
        f->dispatch_needed = true;
    }
}

static void
handle_drop(struct forward *f, int64_t now_us, uint64_t from,
            const struct stage_drop *drop)
{
    size_t at = 0;
    struct pool_entry *e;
    while ((e = map_next(&f->pools, &at))) {
        if (stage_pool_drop_request(e->pool, now_us, from, drop)) {
            f->dispatch_needed = true;
            return;
        }
    }
}

void
owners_send(struct forward *f, int64_t now_us, uint64_t node,
            const struct stage_msg *m, uint64_t service, int group)
{
    (void)service;
    (void)group;
    if (node == f->self) {
        forward_handle_stage_msg(f, now_us, f->self, m);
        return;
    }
    struct peer *p = get_peer(f, node);
    if (m->kind == STAGE_MSG_REQUEST) {
        p->last_request_us = now_us;
        if (!p->knows_results) {
            owner_results_ask(f, now_us, p);
        }
    }
    if (m->kind == STAGE_MSG_REQUEST && !p->unanswered_us) {
        p->unanswered_us = now_us;
        p->unanswered_request = m->request.correlation_id;
        p->reconnected = false;
    }
    if (m->kind == STAGE_MSG_REQUEST && !p->knows_results) {
        struct stage_msg plain = *m;
        plain.request.team = 0;
        plain.request.waited_before_us = 0;
        f->io.send_message(f->io.ctx, node, &plain);
        return;
    }
    f->io.send_message(f->io.ctx, node, m);
}

/* Notifies the nodes that follow this one in the order of hashes, so that
 * joins change few of the recipients and therefore few connections. */
void
owners_notify(struct forward *f, const struct stage_msg *m)
{
    int count = f->cluster_view->alive_count;
    int first = cluster_view_lower_bound(f->cluster_view, f->self);
    for (int i = 0, notified = 0;
         i < count && notified < OWNERS_NOTIFY_MAX_NODES; i++) {
        const struct cluster_node *n =
            &f->cluster_view->alive[(first + i) % count];
        if (n->hash != f->self && n->address.len > 0) {
            f->io.send_message(f->io.ctx, n->hash, m);
            notified++;
        }
    }
}

void
owners_notify_prefill(struct forward *f, const struct request *r,
                      const struct endpoint *e, int64_t tokens)
{
    if (tokens < NOTIFY_MIN_TOKENS || f->cluster_view->alive_count == 0) {
        return;
    }
    struct stage_msg m = {.kind = STAGE_MSG_PREFILL};
    m.prefill.endpoint = e->hash;
    m.prefill.tokens = tokens;
    m.prefill.part_count = r->prompt.count;
    for (int i = 0; i < r->prompt.count; i++) {
        m.prefill.parts[i] = r->prompt.chain[i];
        m.prefill.part_tokens[i] = r->prompt.tokens[i];
    }
    owners_notify(f, &m);
}

static void
handle_prefill_notice(struct forward *f, int64_t now_us,
                      const struct prefill_notice *n)
{
    struct endpoint *e = map_get(&f->endpoints, n->endpoint);
    if (e) {
        endpoint_apply_prefill_notice(e, n, now_us);
        engines_handle_prefill_notice(f, now_us, e, n);
    }
}

/* A contact message is answered with a drop. */
static bool
replies_to(const struct stage_msg *m, uint64_t request)
{
    return (m->kind == STAGE_MSG_ACK && m->ack.correlation_id == request) ||
           (m->kind == STAGE_MSG_RESULT &&
            m->result.correlation_id == request) ||
           (m->kind == STAGE_MSG_RESULTS &&
            m->results.correlation_id == request) ||
           (m->kind == STAGE_MSG_DROP && m->drop.correlation_id == request);
}

void
forward_handle_stage_msg(struct forward *f, int64_t now_us, uint64_t from,
                         const struct stage_msg *m)
{
    if (from != f->self) {
        struct peer *p = get_peer(f, from);
        /* A late message from a slow node does not clear its suspicion; a
         * timely reply to the first request after it does. */
        if (p->suspect_until_us && p->unanswered_us &&
            replies_to(m, p->unanswered_request)) {
            LOG_EVENT(LOG_INFO, "node_answers", LOG_INT("node", from));
            p->suspect_until_us = 0;
            p->suspect_duration_us = SUSPECT_MIN_US;
        }
        if (p->suspect_until_us == 0) {
            p->unanswered_us = 0;
        }
        p->last_received_us = now_us;
    }
    switch (m->kind) {
    case STAGE_MSG_REQUEST:
        handle_stage_request(f, now_us, from, &m->request);
        break;
    case STAGE_MSG_DROP:
        handle_drop(f, now_us, from, &m->drop);
        break;
    case STAGE_MSG_PREFILL:
        handle_prefill_notice(f, now_us, &m->prefill);
        break;
    case STAGE_MSG_RESULTS:
        if (from != f->self) {
            owner_results_handle(f, now_us, get_peer(f, from), &m->results);
        }
        break;
    case STAGE_MSG_PARTS:
        crashes_handle_notice(f, now_us, &m->parts);
        break;
    case STAGE_MSG_RETURNS:
        return_slots_handle_notice(f->returns, &m->returns, now_us);
        break;
    case STAGE_MSG_ENGINES:
        engines_handle_notice(f, now_us, &m->engines);
        break;
    case STAGE_MSG_KIND_COUNT:
        break;
    case STAGE_MSG_ACK:
    case STAGE_MSG_RESULT:
        pieces_handle_reply(f, now_us, from, m);
        break;
    }
}

/* Nodes open their connections to the same owner again at different times, so
 * that one which is only slow answers some of them before it has handshakes
 * with all. */
static int64_t
reconnect_after_us(const struct forward *f, const struct peer *p)
{
    if (p->last_received_us == 0 && !p->suspect_until_us) {
        return FIRST_RECONNECT_AFTER_US;
    }
    return RECONNECT_MIN_US +
           (int64_t)(owner_rank(f->self, p->node, 0) % RECONNECT_SPREAD_US);
}

/* Sends an acknowledgement of a request that the node has not sent. It is
 * answered with a drop, which shows that the node is alive. */
static void
contact_node(struct forward *f, int64_t now_us, struct peer *p)
{
    struct stage_msg m = {.kind = STAGE_MSG_ACK};
    m.ack.correlation_id = ++f->next_call;
    p->contacted = true;
    if (!p->unanswered_us) {
        p->unanswered_us = now_us;
        p->unanswered_request = m.ack.correlation_id;
        p->reconnected = false;
    }
    f->io.send_message(f->io.ctx, p->node, &m);
}

/* Contacts a suspect node again when its time has passed. @return when to
 * check the node next */
static int64_t
check_suspect(struct forward *f, int64_t now_us, struct peer *p)
{
    if (!p->suspect_until_us ||
        !cluster_view_find_node(f->cluster_view, p->node)) {
        return INT64_MAX;
    }
    if (now_us < p->suspect_until_us) {
        return p->suspect_until_us;
    }
    contact_node(f, now_us, p);
    return now_us + OWNER_CHECK_US;
}

static void
detect_silent_owners(struct forward *f, int64_t now_us)
{
    size_t at = 0;
    struct peer *p;
    int64_t owners_checked_us = f->owners_checked_us;
    f->owners_checked_us = now_us;
    f->owners_due_us = INT64_MAX;
    while ((p = map_next(&f->peers, &at))) {
        bool first = p->last_received_us == 0 && !p->suspect_until_us;
        int64_t silent_us = now_us - p->unanswered_us;
        if (!p->unanswered_us) {
            f->owners_due_us =
                MIN(f->owners_due_us, check_suspect(f, now_us, p));
            continue;
        }
        f->owners_due_us = MIN(f->owners_due_us, now_us + OWNER_CHECK_US);
        int64_t gap_us = now_us - MAX(owners_checked_us, p->unanswered_us);
        if (gap_us > STALL_THRESHOLD_US) {
            p->unanswered_us += gap_us;
            silent_us -= gap_us;
        }
        if (!p->reconnected && silent_us >= reconnect_after_us(f, p)) {
            p->reconnected = true;
            f->io.reconnect(f->io.ctx, p->node);
        }
        if (silent_us <
                (first ? FIRST_SILENCE_TIMEOUT_US : SILENCE_TIMEOUT_US) ||
            now_us < p->suspect_until_us) {
            continue;
        }
        LOG_EVENT(LOG_WARN, "node_silent", LOG_INT("node", p->node),
                  LOG_INT("ms", (now_us - p->unanswered_us) / MS),
                  LOG_INT("answered_before", p->last_received_us != 0));
        p->unanswered_us = 0;
        p->suspect_until_us = now_us + p->suspect_duration_us;
        if (p->suspect_duration_us < SUSPECT_MAX_US) {
            p->suspect_duration_us *= 2;
        }
    }
}

/* @param place 0: the owner; 1: the node that would replace it */
static uint64_t
find_ranked_owner(const struct forward *f, uint64_t service, int group,
                  int place)
{
    uint64_t limit = UINT64_MAX;
    uint64_t found = 0;
    for (int at = 0; at <= place; at++) {
        uint64_t best_rank = 0;
        found = 0;
        for (int i = 0; i < f->cluster_view->alive_count; i++) {
            const struct cluster_node *n = &f->cluster_view->alive[i];
            uint64_t rank = capable_owner_rank(n, service, group);
            if (rank < limit && rank > best_rank) {
                best_rank = rank;
                found = n->hash;
            }
        }
        limit = best_rank;
    }
    return found;
}

/* Returns an owner that this node has not contacted, or NULL. Nodes begin with
 * different owners, so that each owner is contacted by few of them at a time.
 */
static struct peer *
next_uncontacted_owner(struct forward *f)
{
    struct peer *best = NULL;
    uint64_t best_order = 0;
    size_t at = 0;
    const struct service_state *s;
    while ((s = map_next(&f->services, &at))) {
        for (int i = 0;
             s->info.processes_pieces && i < s->groups * CONTACT_RANKS; i++) {
            uint64_t node = find_ranked_owner(f, s->hash, i / CONTACT_RANKS,
                                              i % CONTACT_RANKS);
            const struct cluster_node *n =
                cluster_view_find_node(f->cluster_view, node);
            struct peer *p = n && node != f->self && n->address.len > 0
                                 ? get_peer(f, node)
                                 : NULL;
            uint64_t order = owner_rank(f->self, node, 0);
            if (p && !p->contacted && p->last_received_us == 0 &&
                order >= best_order) {
                best = p;
                best_order = order;
            }
        }
    }
    return best;
}

/* Opens the connection to one more owner. */
static void
contact_owners(struct forward *f, int64_t now_us)
{
    if (now_us < f->contact_due_us) {
        return;
    }
    struct peer *p = next_uncontacted_owner(f);
    f->contact_due_us = p ? now_us + CONTACT_INTERVAL_US : INT64_MAX;
    if (p) {
        contact_node(f, now_us, p);
    }
}

void
owners_run(struct forward *f, int64_t now_us)
{
    size_t at = 0;
    struct pool_entry *e;
    struct local_message *m;
    contact_owners(f, now_us);
    detect_silent_owners(f, now_us);
    pieces_check_requests(f, now_us);
    while ((e = map_next(&f->pools, &at))) {
        struct service_state *s = map_get(&f->services, e->service);
        if (s) {
            versions_prepare_group(f, now_us, s, e->group);
        }
        stage_pool_run(e->pool, now_us);
    }
    while ((m = g_queue_pop_head(&f->inbox))) {
        pieces_handle_reply(f, now_us, f->self, &m->msg);
        str_free(&m->handle);
        free(m);
    }
}

int64_t
owners_next_wakeup_us(const struct forward *f)
{
    int64_t at =
        MIN(MIN(f->requests_check_us, f->contact_due_us), f->owners_due_us);
    size_t i = 0;
    const struct pool_entry *e;
    while ((e = map_next(&f->pools, &i))) {
        int64_t t = stage_pool_next_wakeup_us(e->pool);
        at = t < at ? t : at;
    }
    return at;
}

void
forward_pieces_call_ended(struct forward *f, int64_t now_us, uint64_t call,
                          enum call_end end, int status,
                          const struct response_meta *meta, int count,
                          const struct piece_result *results)
{
    size_t at = 0;
    struct pool_entry *e;
    f->dispatch_needed = true;
    versions_pieces_ended(f, now_us, call, end, status, meta, count, results);
    while ((e = map_next(&f->pools, &at))) {
        if (stage_pool_call_ended(e->pool, now_us, call, end, status, meta,
                                  count, results)) {
            return;
        }
    }
}

void
forward_memory_reported(struct forward *f, int64_t now_us, uint64_t call,
                        int64_t free_bytes)
{
    size_t at = 0;
    struct pool_entry *e;
    f->dispatch_needed = true;
    while ((e = map_next(&f->pools, &at))) {
        if (stage_pool_memory_reported(e->pool, now_us, call, free_bytes)) {
            return;
        }
    }
}
