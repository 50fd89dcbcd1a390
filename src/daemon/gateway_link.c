#include <stdlib.h>
#include <sys/epoll.h>

#include "base/log.h"
#include "daemon/gateway_traffic_state.h"

/* The first message to a node opens the connection and is queued during the
 * handshake, which takes a few round trips, or until the other node has read
 * the key of this node from the store. A request that has been queued for
 * longer has already been repeated. */
#define HANDSHAKE_QUEUE_MS 400

/* A stopping node is removed from the list of nodes before its last requests,
 * and those that it processes for other nodes, have ended. Connections to such
 * a node stay allowed for this long. */
#define DEPARTED_PEER_MS 12000
/* A connection for a notice alone is opened at most once per interval. */
#define NOTICE_CONNECT_INTERVAL_US 100000

static struct str
node_address(const struct gateway_traffic *t, uint64_t node)
{
    const struct cluster_node *n =
        t->cluster_view ? cluster_view_find_node(t->cluster_view, node) : NULL;
    return n ? n->address : (struct str){0};
}

/* Limits the rate of new connections for notices, so that a restart does not
 * cause handshakes with all nodes at once. */
static bool
allow_notice(struct gateway_traffic *t, uint64_t node)
{
    int64_t now_us = gateway_now_us();
    if (link_has_connection(t->link, node, node_address(t, node))) {
        return true;
    }
    if (now_us < t->next_notice_connect_us) {
        return false;
    }
    t->next_notice_connect_us = now_us + NOTICE_CONNECT_INTERVAL_US;
    return true;
}

void
gateway_link_send(void *ctx, uint64_t node, const struct stage_msg *m)
{
    struct gateway_traffic *t = ctx;
    struct msg out = {.from = t->node};
    if ((m->kind == STAGE_MSG_PREFILL || m->kind == STAGE_MSG_RETURNS ||
         m->kind == STAGE_MSG_ENGINES) &&
        !allow_notice(t, node)) {
        return;
    }
    switch (m->kind) {
    case STAGE_MSG_REQUEST:
        out.type = MSG_STAGE_ASK;
        out.stage_work_request = m->request;
        break;
    case STAGE_MSG_ACK:
        out.type = MSG_STAGE_ACK;
        out.stage_ack = m->ack;
        break;
    case STAGE_MSG_RESULT:
        out.type = MSG_STAGE_RESULT;
        out.stage_result = m->result;
        break;
    case STAGE_MSG_DROP:
        out.type = MSG_STAGE_DROP;
        out.stage_drop = m->drop;
        break;
    case STAGE_MSG_PREFILL:
        out.type = MSG_PREFILL;
        out.prefill = m->prefill;
        break;
    case STAGE_MSG_PARTS:
        out.type = MSG_PARTS;
        out.part_notice = m->parts;
        break;
    case STAGE_MSG_RESULTS:
        out.type = MSG_STAGE_RESULTS;
        out.stage_results = m->results;
        break;
    case STAGE_MSG_RETURNS:
        out.type = MSG_RETURNS;
        out.return_notice = m->returns;
        break;
    case STAGE_MSG_ENGINES:
        out.type = MSG_ENGINES;
        out.engine_notice = m->engines;
        break;
    case STAGE_MSG_KIND_COUNT:
        return;
    }
    link_send(t->link, node, node_address(t, node), &out);
    t->link_ready = true;
}

void
gateway_link_reconnect(void *ctx, uint64_t node)
{
    struct gateway_traffic *t = ctx;
    const struct stage_msg connect_msg = {.kind = STAGE_MSG_DROP};
    link_reset_connection(t->link, node_address(t, node));
    gateway_link_send(t, node, &connect_msg);
}

static void
push_to_control(struct gateway_traffic *t, const struct msg *m)
{
    struct bridge_msg *b = bridge_msg_new(BRIDGE_NODE_MESSAGE);
    struct buf text = {0};
    msg_encode(m, &text);
    b->id = m->from;
    b->text = buf_take_str(&text);
    bridge_push(t->to_control, b);
}

void
gateway_link_send_encoded(struct gateway_traffic *t,
                          const struct bridge_msg *b)
{
    struct msg m;
    if (msg_decode(b->text, &m) != ST_OK) {
        LOG_EVENT(LOG_ERROR, "message_unreadable",
                  LOG_CSTR("error", err_last()));
        return;
    }
    m.from = t->node;
    link_send(t->link, b->id, node_address(t, b->id), &m);
    t->link_ready = true;
}

static void
on_link_message(void *ctx, const struct msg *m)
{
    struct gateway_traffic *t = ctx;
    struct stage_msg in;
    switch (m->type) {
    case MSG_STAGE_ASK:
        in.kind = STAGE_MSG_REQUEST;
        in.request = m->stage_work_request;
        break;
    case MSG_STAGE_ACK:
        in.kind = STAGE_MSG_ACK;
        in.ack = m->stage_ack;
        break;
    case MSG_STAGE_RESULT:
        in.kind = STAGE_MSG_RESULT;
        in.result = m->stage_result;
        break;
    case MSG_STAGE_DROP:
        in.kind = STAGE_MSG_DROP;
        in.drop = m->stage_drop;
        break;
    case MSG_PREFILL:
        in.kind = STAGE_MSG_PREFILL;
        in.prefill = m->prefill;
        break;
    case MSG_PARTS:
        in.kind = STAGE_MSG_PARTS;
        in.parts = m->part_notice;
        break;
    case MSG_STAGE_RESULTS:
        in.kind = STAGE_MSG_RESULTS;
        in.results = m->stage_results;
        break;
    case MSG_RETURNS:
        in.kind = STAGE_MSG_RETURNS;
        in.returns = m->return_notice;
        break;
    case MSG_ENGINES:
        in.kind = STAGE_MSG_ENGINES;
        in.engines = m->engine_notice;
        break;
    case MSG_FEED_ASK:
    case MSG_FEED_ANSWER:
    case MSG_ROLLOUT:
        push_to_control(t, m);
        return;
    default:
        LOG_EVENT(LOG_WARN, "message_ignored",
                  LOG_CSTR("type", msg_type_name(m->type)));
        return;
    }
    forward_handle_stage_msg(t->forward, gateway_now_us(), m->from, &in);
}

static void
on_link_lost(void *ctx, uint64_t node)
{
    (void)ctx;
    LOG_EVENT(LOG_WARN, "node_unreachable", LOG_INT("node", node));
}

static void
on_link_ready(void *ctx, uint32_t events)
{
    struct gateway_traffic *t = ctx;
    (void)events;
    t->link_ready = true;
}

enum status
gateway_link_open(struct gateway_traffic *t,
                  const struct gateway_settings *set)
{
    struct buf address = {0};
    buf_printf(&address, "tcp://%.*s", STR_FMT(set->link));
    struct link_options opts = {
        .address = buf_str(&address),
        .public_key = str_from_cstr(t->shared->link_public),
        .secret_key = str_from_cstr(t->shared->link_secret),
        .reply = true,
        .removed_peer_ms = DEPARTED_PEER_MS,
        .connect_queue_ms = HANDSHAKE_QUEUE_MS,
        .ctx = t,
        .message = on_link_message,
        .unreachable = on_link_lost};
    enum status st = link_new(&opts, &t->link);
    buf_free(&address);
    if (st == ST_OK) {
        t->link_source =
            loop_add(t->loop, link_fd(t->link), EPOLLIN, on_link_ready, t);
    }
    return st;
}
