#include <stdlib.h>
#include <sys/epoll.h>

#include "base/log.h"
#include "daemon/gateway_traffic_state.h"

/* A connection is opened by the first message, which waits for the handshake:
 * a few round trips, or until the other node has read this one's key from the
 * store. An older ask has been repeated. */
#define EARLY_MS 400

/* A node that stops leaves the list of nodes before its last requests and
 * those that it does for others have ended; it has some seconds for them. */
#define LEAVE_MS 12000
/* A connection that is only for notices is opened this often. */
#define NOTIFY_OPEN_US 100000

static struct str
address_of(const struct gateway_traffic *t, uint64_t node)
{
    const struct site_node *n = t->site ? site_find_node(t->site, node) : NULL;
    return n ? n->address : (struct str){0};
}

/* Notices are worth a new connection now and then, not a handshake with all
 * their nodes at the moment of a restart. */
static bool
may_notify(struct gateway_traffic *t, uint64_t node)
{
    int64_t now_us = gateway_now_us();
    if (link_reachable(t->link, node, address_of(t, node))) {
        return true;
    }
    if (now_us < t->notify_open_us) {
        return false;
    }
    t->notify_open_us = now_us + NOTIFY_OPEN_US;
    return true;
}

void
gateway_link_tell(void *ctx, uint64_t node, const struct stage_msg *m)
{
    struct gateway_traffic *t = ctx;
    struct msg out = {.from = t->node};
    if (m->kind == STAGE_MSG_PREFILL && !may_notify(t, node)) {
        return;
    }
    switch (m->kind) {
    case STAGE_MSG_ASK:
        out.type = MSG_STAGE_ASK;
        out.stage_ask = m->ask;
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
    }
    link_send(t->link, node, address_of(t, node), &out);
    t->link_ready = true;
}

void
gateway_link_reconnect(void *ctx, uint64_t node)
{
    struct gateway_traffic *t = ctx;
    const struct stage_msg hello = {.kind = STAGE_MSG_DROP};
    link_reset(t->link, address_of(t, node));
    gateway_link_tell(t, node, &hello);
}

static void
pass_to_control(struct gateway_traffic *t, const struct msg *m)
{
    struct bridge_msg *b = bridge_msg_new(BRIDGE_LINK);
    struct buf text = {0};
    msg_encode(m, &text);
    b->id = m->from;
    b->text = buf_take(&text);
    bridge_push(t->to_control, b);
}

void
gateway_link_forward(struct gateway_traffic *t, const struct bridge_msg *b)
{
    struct msg m;
    if (msg_decode(b->text, &m) != ST_OK) {
        LOG_EVENT(LOG_ERROR, "message_unreadable", LOG_C("error", err_last()));
        return;
    }
    m.from = t->node;
    link_send(t->link, b->id, address_of(t, b->id), &m);
    t->link_ready = true;
}

static void
on_link_message(void *ctx, const struct msg *m)
{
    struct gateway_traffic *t = ctx;
    struct stage_msg in;
    switch (m->type) {
    case MSG_STAGE_ASK:
        in.kind = STAGE_MSG_ASK;
        in.ask = m->stage_ask;
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
    case MSG_FEED_ASK:
    case MSG_FEED_ANSWER:
        pass_to_control(t, m);
        return;
    default:
        LOG_EVENT(LOG_WARN, "message_ignored",
                  LOG_C("type", msg_type_name(m->type)));
        return;
    }
    forward_stage_msg(t->forward, gateway_now_us(), m->from, &in);
}

static void
on_link_lost(void *ctx, uint64_t node)
{
    (void)ctx;
    LOG_EVENT(LOG_WARN, "node_unreachable", LOG_I("node", node));
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
    struct link_options opts = {.address = buf_str(&address),
                                .public_key = str_from(t->shared->link_public),
                                .secret_key = str_from(t->shared->link_secret),
                                .reply = true,
                                .leave_ms = LEAVE_MS,
                                .early_ms = EARLY_MS,
                                .ctx = t,
                                .message = on_link_message,
                                .lost = on_link_lost};
    enum status st = link_new(&opts, &t->link);
    buf_free(&address);
    if (st == ST_OK) {
        t->link_source =
            loop_add(t->loop, link_fd(t->link), EPOLLIN, on_link_ready, t);
    }
    return st;
}
