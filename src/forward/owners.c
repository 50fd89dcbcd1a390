#include <stdlib.h>
#include <xxhash.h>

#include "base/log.h"
#include "forward/state.h"

/* Endpoints in one group at most; a group is owned by one node, which gathers
 * the pieces of all nodes for it. Fewer than four of a group in each zone let
 * results cross zones and leave calls half full; an owner of 24 handles about
 * 400 asks a second. */
#define GROUP_ENDPOINTS 24
/* An owner that has not answered for this long is passed over; before that its
 * connection is opened anew. Owners acknowledge an ask at once. */
#define SILENT_US (500 * MS)
#define RECONNECT_US (150 * MS)
/* After a restart of many nodes, each owner has a handshake with each node to
 * do before it can say its first word. To pass it over would only move that
 * load to the next node. It holds when a third of the keys have changed within
 * NEW_KEY_US. */
#define NEW_KEY_US (5 * SECOND)
#define NEW_KEYS_SHARE 3
#define FIRST_SILENT_US (1500 * MS)
#define FIRST_RECONNECT_US (800 * MS)
#define SUSPECT_MIN_US (500 * MS)
#define SUSPECT_MAX_US (16 * SECOND)
/* Asks are looked at every 60 ms; a longer gap is time in which this node did
 * not run, and no silence of others. */
#define STALLED_US (150 * MS)

/* Prompts that an engine reads in less than 20 ms are not worth a message. The
 * number of nodes that are told bounds the messages of a large fleet: 9.5
 * requests a second and node make 300 messages of 60 bytes. */
#define NOTIFY_TOKENS 1000
#define NOTIFY_NODES 32

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

/* Acks and results for this node's own asks are delivered after the step, as
 * they may end requests and so change the pool that sends them. */
static void
on_tell(void *ctx, uint64_t node, const struct stage_msg *m)
{
    struct forward *f = ctx;
    if (node != f->self) {
        f->io.tell(f->io.ctx, node, m);
        return;
    }
    struct local_msg *copy = mem_zero(1, sizeof(*copy));
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
    f->dispatch = true;
}

static void
on_send_pieces(void *ctx, const struct pieces_call *call)
{
    struct forward *f = ctx;
    f->count.piece_calls++;
    f->count.pieces += (uint64_t)call->item_count;
    f->io.send_pieces(f->io.ctx, call);
}

static void
on_release(void *ctx, const struct release_call *call)
{
    struct forward *f = ctx;
    f->io.release(f->io.ctx, call);
}

static void
on_ask_room(void *ctx, const struct room_call *call)
{
    struct forward *f = ctx;
    f->io.ask_room(f->io.ctx, call);
}

static uint64_t
on_next_call(void *ctx)
{
    struct forward *f = ctx;
    return ++f->next_call;
}

static int
by_zone_and_id(gconstpointer a, gconstpointer b)
{
    const struct endpoint *x = *(struct endpoint *const *)a;
    const struct endpoint *y = *(struct endpoint *const *)b;
    int c = str_cmp(x->zone, y->zone);
    return c ? c : str_cmp(x->id, y->id);
}

/* Gives a pool the endpoints of its group: every groups-th one in the order
 * of zones, so that each group has endpoints in all zones. */
static void
fill_pool(struct forward *f, int64_t now_us, struct pool_entry *e)
{
    struct svc *s = map_get(&f->services, e->service);
    if (!s) {
        return;
    }
    GPtrArray *mine = g_ptr_array_new();
    for (guint i = 0; i < s->endpoints->len; i++) {
        if ((int)(i % (guint)s->groups) == e->group) {
            g_ptr_array_add(mine, g_ptr_array_index(s->endpoints, i));
        }
    }
    stage_pool_set(e->pool, now_us, &s->info.pieces,
                   (struct endpoint *const *)mine->pdata, (int)mine->len);
    g_ptr_array_free(mine, TRUE);
}

static struct pool_entry *
pool_for(struct forward *f, int64_t now_us, uint64_t service, int group)
{
    const struct svc *s = map_get(&f->services, service);
    if (!s || !s->info.does_pieces) {
        return NULL;
    }
    group = s->groups > 0 ? group % s->groups : 0;
    struct pool_entry *e = map_get(&f->pools, pool_key(service, group));
    if (!e) {
        const struct stage_pool_io io = {
            f, on_send_pieces, on_release, on_ask_room, on_tell, on_next_call};
        e = mem_zero(1, sizeof(*e));
        e->service = service;
        e->group = group;
        e->pool = stage_pool_new(&io);
        map_put(&f->pools, pool_key(service, group), e);
        fill_pool(f, now_us, e);
    }
    return e;
}

static struct peer *
peer_of(struct forward *f, uint64_t node)
{
    struct peer *p = map_get(&f->peers, node);
    if (!p) {
        p = mem_zero(1, sizeof(*p));
        p->node = node;
        p->suspect_span_us = SUSPECT_MIN_US;
        map_put(&f->peers, node, p);
    }
    return p;
}

static void
count_new_key(struct forward *f, int64_t now_us)
{
    if (now_us - f->new_keys_us >= NEW_KEY_US) {
        f->new_keys = 0;
        f->new_keys_us = now_us;
    }
    f->new_keys++;
}

/* A node that has registered with a new key has restarted and answers. */
static void
clear_restarted(struct forward *f, int64_t now_us, bool first)
{
    for (int i = 0; i < f->site->alive_count; i++) {
        const struct site_node *n = &f->site->alive[i];
        struct peer *p = peer_of(f, n->hash);
        uint64_t key = hash64(n->key);
        if (p->key != key) {
            p->key = key;
            if (!first) {
                count_new_key(f, now_us);
            }
            p->heard_us = 0;
            p->unanswered_us = 0;
            p->suspect_until_us = 0;
            p->suspect_span_us = SUSPECT_MIN_US;
        }
    }
}

void
owners_set_site(struct forward *f, int64_t now_us)
{
    if (f->nodes_version != f->site->nodes_version) {
        bool first = f->nodes_version == UINT64_MAX;
        f->nodes_version = f->site->nodes_version;
        clear_restarted(f, now_us, first);
    }
    size_t at = 0;
    struct svc *s;
    struct pool_entry *e;
    while ((s = map_next(&f->services, &at))) {
        int n = (int)s->endpoints->len;
        s->groups = n > 0 ? (n + GROUP_ENDPOINTS - 1) / GROUP_ENDPOINTS : 1;
        g_ptr_array_sort(s->endpoints, by_zone_and_id);
    }
    for (at = 0; (e = map_next(&f->pools, &at));) {
        fill_pool(f, now_us, e);
    }
}

void
owners_free(struct forward *f)
{
    size_t at = 0;
    struct pool_entry *e;
    struct local_msg *m;
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
owners_suspect(const struct forward *f, int64_t now_us, uint64_t node)
{
    const struct peer *p = map_get(&f->peers, node);
    return p && now_us < p->suspect_until_us;
}

bool
owners_quiet(const struct forward *f, int64_t now_us, uint64_t node,
             int64_t span_us)
{
    const struct peer *p = map_get(&f->peers, node);
    return p && now_us - p->heard_us >= span_us &&
           now_us - p->asked_us >= span_us;
}

/* Passed over, or asked once again after that and not heard of yet: one ask
 * at a time finds out whether a node is back. */
static bool
avoided(const struct forward *f, int64_t now_us, uint64_t node)
{
    const struct peer *p = map_get(&f->peers, node);
    return p && p->suspect_until_us &&
           (now_us < p->suspect_until_us || p->unanswered_us);
}

uint64_t
owners_find(const struct forward *f, int64_t now_us, uint64_t service,
            int group)
{
    uint64_t best = f->self;
    uint64_t best_rank = 0;
    for (int i = 0; i < f->site->alive_count; i++) {
        const struct site_node *n = &f->site->alive[i];
        if (n->hash != f->self &&
            (n->address.len == 0 || avoided(f, now_us, n->hash))) {
            continue;
        }
        uint64_t parts[3] = {n->hash, service, (uint64_t)group};
        uint64_t rank = XXH3_64bits(parts, sizeof(parts));
        if (rank > best_rank) {
            best_rank = rank;
            best = n->hash;
        }
    }
    return best;
}

static void
take_ask(struct forward *f, int64_t now_us, uint64_t from,
         const struct stage_ask *ask)
{
    struct pool_entry *e = pool_for(f, now_us, ask->service, ask->group);
    if (e) {
        stage_pool_ask(e->pool, now_us, from, ask);
        f->dispatch = true;
    }
}

static void
take_drop(struct forward *f, int64_t now_us, uint64_t from,
          const struct stage_drop *drop)
{
    size_t at = 0;
    struct pool_entry *e;
    while ((e = map_next(&f->pools, &at))) {
        if (stage_pool_drop(e->pool, now_us, from, drop)) {
            f->dispatch = true;
            return;
        }
    }
}

void
owners_tell(struct forward *f, int64_t now_us, uint64_t node,
            const struct stage_msg *m, uint64_t service, int group)
{
    (void)service;
    (void)group;
    if (node == f->self) {
        forward_stage_msg(f, now_us, f->self, m);
        return;
    }
    struct peer *p = peer_of(f, node);
    if (m->kind == STAGE_MSG_ASK) {
        p->asked_us = now_us;
    }
    if (m->kind == STAGE_MSG_ASK && !p->unanswered_us) {
        p->unanswered_us = now_us;
        p->unanswered_ask = m->ask.ask;
        p->reconnected = false;
    }
    f->io.tell(f->io.ctx, node, m);
}

void
owners_notify_prefill(struct forward *f, const struct request *r,
                      const struct endpoint *e, int64_t tokens)
{
    int count = f->site->alive_count;
    if (tokens < NOTIFY_TOKENS || count == 0) {
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
    /* Those that follow this node in the order of hashes, so that joins change
     * few of them and with them few connections. */
    int first = site_node_at(f->site, f->self);
    for (int i = 0, told = 0; i < count && told < NOTIFY_NODES; i++) {
        const struct site_node *n = &f->site->alive[(first + i) % count];
        if (n->hash != f->self && n->address.len > 0) {
            f->io.tell(f->io.ctx, n->hash, &m);
            told++;
        }
    }
}

static void
take_prefill(struct forward *f, int64_t now_us, const struct prefill_notice *n)
{
    struct endpoint *e = map_get(&f->endpoints, n->endpoint);
    if (e) {
        endpoint_told(e, n, now_us);
    }
}

static bool
answers(const struct stage_msg *m, uint64_t ask)
{
    return (m->kind == STAGE_MSG_ACK && m->ack.ask == ask) ||
           (m->kind == STAGE_MSG_RESULT && m->result.ask == ask);
}

void
forward_stage_msg(struct forward *f, int64_t now_us, uint64_t from,
                  const struct stage_msg *m)
{
    if (from != f->self) {
        struct peer *p = peer_of(f, from);
        /* A late word of a slow node does not end its time; an answer in time
         * to the first ask after it does. */
        if (p->suspect_until_us && p->unanswered_us &&
            answers(m, p->unanswered_ask)) {
            LOG_EVENT(LOG_INFO, "node_answers", LOG_I("node", from));
            p->suspect_until_us = 0;
            p->suspect_span_us = SUSPECT_MIN_US;
        }
        if (p->suspect_until_us == 0) {
            p->unanswered_us = 0;
        }
        p->heard_us = now_us;
    }
    switch (m->kind) {
    case STAGE_MSG_ASK:
        take_ask(f, now_us, from, &m->ask);
        break;
    case STAGE_MSG_DROP:
        take_drop(f, now_us, from, &m->drop);
        break;
    case STAGE_MSG_PREFILL:
        take_prefill(f, now_us, &m->prefill);
        break;
    case STAGE_MSG_ACK:
    case STAGE_MSG_RESULT:
        pieces_answer(f, now_us, from, m);
        break;
    }
}

static bool
many_new_keys(const struct forward *f, int64_t now_us)
{
    return now_us - f->new_keys_us < NEW_KEY_US && f->site &&
           f->new_keys * NEW_KEYS_SHARE >= f->site->alive_count;
}

static void
find_silent(struct forward *f, int64_t now_us)
{
    size_t at = 0;
    struct peer *p;
    int64_t looked_us = f->looked_us;
    f->looked_us = now_us;
    while ((p = map_next(&f->peers, &at))) {
        bool first = p->heard_us == 0 && many_new_keys(f, now_us);
        int64_t silent_us = now_us - p->unanswered_us;
        if (!p->unanswered_us) {
            continue;
        }
        int64_t gap_us = now_us - MAX(looked_us, p->unanswered_us);
        if (gap_us > STALLED_US) {
            p->unanswered_us += gap_us;
            silent_us -= gap_us;
        }
        if (!p->reconnected &&
            silent_us >= (first ? FIRST_RECONNECT_US : RECONNECT_US)) {
            p->reconnected = true;
            f->io.reconnect(f->io.ctx, p->node);
        }
        if (silent_us < (first ? FIRST_SILENT_US : SILENT_US) ||
            now_us < p->suspect_until_us) {
            continue;
        }
        LOG_EVENT(LOG_WARN, "node_silent", LOG_I("node", p->node),
                  LOG_I("ms", (now_us - p->unanswered_us) / MS));
        p->unanswered_us = 0;
        p->suspect_until_us = now_us + p->suspect_span_us;
        if (p->suspect_span_us < SUSPECT_MAX_US) {
            p->suspect_span_us *= 2;
        }
    }
}

void
owners_run(struct forward *f, int64_t now_us)
{
    size_t at = 0;
    struct pool_entry *e;
    struct local_msg *m;
    find_silent(f, now_us);
    pieces_follow(f, now_us);
    while ((e = map_next(&f->pools, &at))) {
        stage_pool_run(e->pool, now_us);
    }
    while ((m = g_queue_pop_head(&f->inbox))) {
        pieces_answer(f, now_us, f->self, &m->msg);
        str_free(&m->handle);
        free(m);
    }
}

int64_t
owners_wakeup(const struct forward *f)
{
    int64_t at = f->asks_due_us;
    size_t i = 0;
    const struct pool_entry *e;
    while ((e = map_next(&f->pools, &i))) {
        int64_t t = stage_pool_wakeup(e->pool);
        at = t < at ? t : at;
    }
    return at;
}

void
forward_pieces_end(struct forward *f, int64_t now_us, uint64_t call,
                   enum call_end end, int status,
                   const struct answer_meta *meta, int count,
                   const struct piece_result *results)
{
    size_t at = 0;
    struct pool_entry *e;
    f->dispatch = true;
    while ((e = map_next(&f->pools, &at))) {
        if (stage_pool_end(e->pool, now_us, call, end, status, meta, count,
                           results)) {
            return;
        }
    }
}

void
forward_room_end(struct forward *f, int64_t now_us, uint64_t call,
                 int64_t free_bytes)
{
    size_t at = 0;
    struct pool_entry *e;
    f->dispatch = true;
    while ((e = map_next(&f->pools, &at))) {
        if (stage_pool_room(e->pool, now_us, call, free_bytes)) {
            return;
        }
    }
}
