#include "tests/claim_sim.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

enum sim_event_kind { SIM_MSG, SIM_APPLY, SIM_RESULT };

/* A singly linked list in order of time; it stays short. */
struct sim_event {
    struct sim_event *next;
    int64_t at_us;
    enum sim_event_kind kind;
    int node;
    uint64_t incarnation;
    struct store_op op;
    struct store_result result;
    struct str bytes; /* owned: message, value of a CAS or of a result */
    bool drop_result; /* the result is not reported */
};

static void
add(struct sim *s, struct sim_event ev)
{
    struct sim_event **p = &s->events;
    while (*p && (*p)->at_us <= ev.at_us) {
        p = &(*p)->next;
    }
    struct sim_event *e = mem_calloc(1, sizeof(*e));
    *e = ev;
    e->next = *p;
    *p = e;
}

static bool
chance(struct sim *s, double p)
{
    return p > 0 && rng_uniform(&s->rng) < p;
}

static int64_t
random_up_to(struct sim *s, int64_t us)
{
    return (int64_t)rng_below(&s->rng, (uint64_t)us + 1);
}

static void
send_msg(struct sim *s, int node, const struct control_action *a)
{
    int copies = chance(s, s->msg_loss_rate) ? 0 : 1;
    copies += chance(s, s->msg_loss_rate);
    for (int i = 0; i < copies; i++) {
        struct buf b = {0};
        msg_encode(&a->send.msg, &b);
        int64_t delay = s->msg_us;
        if (s->msg_loss_rate > 0) {
            delay = random_up_to(s, 4 * s->msg_us);
            delay = chance(s, 0.02) ? delay + random_up_to(s, 5000000) : delay;
        }
        add(s, (struct sim_event){.at_us = s->now_us + delay,
                                  .kind = SIM_MSG,
                                  .node = (int)a->send.to - 1,
                                  .bytes = buf_take_str(&b)});
    }
    if (a->send.msg.type == MSG_CLAIM_REPLY && s->on_owner_reply) {
        s->on_owner_reply(s, node, &a->send.msg.claim_reply);
    }
}

static void
start_op(struct sim *s, int node, const struct store_op *op)
{
    struct sim_event apply = {.at_us = s->now_us + s->store_us / 2,
                              .kind = SIM_APPLY,
                              .node = node,
                              .incarnation = s->node[node].incarnation,
                              .op = *op,
                              .bytes = str_dup(op->value)};
    struct sim_event failed = apply;
    failed.kind = SIM_RESULT;
    failed.bytes = (struct str){0};
    failed.result.id = op->id;
    s->reads += op->kind == STORE_GET;
    s->writes += op->kind == STORE_CAS;
    if (s->lost_answer_rate > 0) {
        apply.at_us += random_up_to(s, s->store_us);
    }
    if (chance(s, s->store_failure_rate)) {
        failed.at_us += random_up_to(s, op->timeout_us);
        failed.result.outcome = STORE_FAILED;
        add(s, failed);
        str_free(&apply.bytes);
        return;
    }
    if (chance(s, s->lost_answer_rate)) {
        /* The operation may take effect before or after the caller gets the
         * result, or never. */
        failed.at_us = s->now_us + op->timeout_us;
        failed.result.outcome = STORE_OUTCOME_UNKNOWN;
        add(s, failed);
        if (chance(s, 0.3)) {
            str_free(&apply.bytes);
            return;
        }
        apply.drop_result = true;
        apply.at_us = s->now_us + random_up_to(s, 2 * op->timeout_us);
    }
    add(s, apply);
}

static void
apply(struct sim *s, struct sim_event *e)
{
    int n = atoi(e->op.key.ptr + strlen("cf/claims/"));
    struct sim_event r = *e;
    r.kind = SIM_RESULT;
    r.at_us = s->now_us + s->store_us / 2;
    r.bytes = (struct str){0};
    r.result = (struct store_result){.id = e->op.id, .outcome = STORE_OK};
    if (e->op.kind == STORE_CAS) {
        if (s->revision[n] != e->op.expect) {
            r.result.outcome = STORE_CONFLICT;
        }
        else {
            str_free(&s->record[n]);
            s->record[n] = e->bytes;
            e->bytes = (struct str){0};
            s->revision[n] = ++s->newest_revision;
        }
    }
    else if (s->revision[n] == 0) {
        r.result.outcome = STORE_NOT_FOUND;
    }
    else {
        r.bytes = str_dup(s->record[n]);
    }
    r.result.revision = s->revision[n];
    if (e->drop_result) {
        str_free(&r.bytes);
        return;
    }
    add(s, r);
}

static void
drain(struct sim *s, int node, struct outbox *out, bool from_reply)
{
    struct control_action a;
    while (outbox_take(out, &a)) {
        switch (a.kind) {
        case CONTROL_ACT_SEND:
            send_msg(s, node, &a);
            break;
        case CONTROL_ACT_STORE:
            a.store.key.ptr = g_intern_string(a.store.key.ptr);
            start_op(s, node, &a.store);
            break;
        case CONTROL_ACT_REPLY:
            /* Outside the handling of a reply message, a reply to a flow
             * core comes from a local owner. */
            if (!from_reply && s->on_owner_reply) {
                s->on_owner_reply(s, node, &a.reply.reply.claim);
            }
            s->on_flow(s, node, &a.reply.reply.claim);
            break;
        default:
            g_assert_not_reached();
        }
    }
    outbox_free(out);
}

static int64_t
local_time_us(const struct sim *s, int node)
{
    return s->now_us + s->node[node].offset_us;
}

void
sim_send_request(struct sim *s, int node, const struct claim_request *req)
{
    struct sim_node *n = &s->node[node];
    struct outbox *out = outbox_new();
    claims_handle_request(n->claims, local_time_us(s, node), &n->view, 0, req,
                          out);
    drain(s, node, out, false);
}

static void
deliver(struct sim *s, struct sim_event *e)
{
    struct sim_node *n = &s->node[e->node];
    struct outbox *out = outbox_new();
    bool is_reply = false;
    if (e->kind == SIM_MSG) {
        struct msg m;
        g_assert_cmpint(msg_decode(e->bytes, &m), ==, ST_OK);
        is_reply = m.type == MSG_CLAIM_REPLY;
        claims_handle_message(n->claims, local_time_us(s, e->node), &n->view,
                              &m, out);
    }
    else if (e->incarnation == n->incarnation) {
        e->result.value = e->bytes;
        g_assert_true(claims_owns_op(n->claims, e->result.id));
        claims_handle_store_result(n->claims, local_time_us(s, e->node),
                                   &n->view, &e->result, out);
    }
    drain(s, e->node, out, is_reply);
}

static int64_t
next_wakeup_us(const struct sim *s, int i)
{
    int64_t at = claims_next_wakeup_us(s->node[i].claims);
    if (at == INT64_MAX) {
        return at;
    }
    at -= s->node[i].offset_us;
    return MAX(at, s->node[i].paused_until_us);
}

void
sim_run(struct sim *s, int64_t until_us)
{
    for (;;) {
        int64_t at = s->events ? s->events->at_us : INT64_MAX;
        int woken = -1;
        for (int i = 0; i < s->nodes; i++) {
            int64_t w = next_wakeup_us(s, i);
            if (w < at) {
                at = w;
                woken = i;
            }
        }
        if (at > until_us) {
            break;
        }
        s->now_us = MAX(s->now_us, at);
        if (woken >= 0) {
            struct sim_node *n = &s->node[woken];
            struct outbox *out = outbox_new();
            claims_tick(n->claims, local_time_us(s, woken), &n->view, out);
            drain(s, woken, out, false);
            continue;
        }
        struct sim_event *e = s->events;
        if (!e) {
            break;
        }
        s->events = e->next;
        if (e->kind == SIM_APPLY) {
            apply(s, e);
        }
        else if (s->node[e->node].paused_until_us > s->now_us) {
            e->at_us = s->node[e->node].paused_until_us;
            add(s, *e);
            e->bytes = (struct str){0};
        }
        else {
            deliver(s, e);
        }
        str_free(&e->bytes);
        free(e);
    }
    s->now_us = until_us;
}

void
sim_restart(struct sim *s, int node)
{
    struct sim_node *n = &s->node[node];
    claims_free(n->claims);
    n->incarnation++;
    struct claims_options o = {.node = (uint64_t)node + 1,
                               .incarnation = n->incarnation,
                               .seed = rng_next(&s->rng),
                               .buckets = s->buckets,
                               .store_writes_per_s = s->writes_per_s};
    n->claims = claims_new(&o);
    for (int i = 0; i < s->nodes; i++) {
        s->node[i].members[node].incarnation = n->incarnation;
        s->node[i].view.version++;
    }
}

void
sim_set_member_alive(struct sim *s, int node, int other, bool alive)
{
    s->node[node].members[other].alive = alive || node == other;
    s->node[node].view.version++;
}

void
sim_start(struct sim *s, uint64_t seed)
{
    rng_seed(&s->rng, seed);
    for (int i = 0; i < s->nodes; i++) {
        struct sim_node *n = &s->node[i];
        n->offset_us = (int64_t)rng_below(&s->rng, 1000000000);
        n->view = (struct view){(uint64_t)i + 1, 1, s->nodes, n->members};
        for (int k = 0; k < s->nodes; k++) {
            n->members[k] = (struct view_member){.node = (uint64_t)k + 1,
                                                 .incarnation = 1,
                                                 .address = STR_LIT("a"),
                                                 .alive = true,
                                                 .in_roster = true};
        }
    }
    for (int i = 0; i < s->nodes; i++) {
        sim_restart(s, i);
    }
}

void
sim_free(struct sim *s)
{
    while (s->events) {
        struct sim_event *e = s->events;
        s->events = e->next;
        str_free(&e->bytes);
        free(e);
    }
    for (int i = 0; i < s->nodes; i++) {
        claims_free(s->node[i].claims);
    }
    for (int i = 0; i < SIM_BUCKETS; i++) {
        str_free(&s->record[i]);
    }
}

bool
sim_durable(const struct sim *s, const struct digest *key,
            struct claim_entry *out)
{
    uint64_t n = key->lo % (uint64_t)s->buckets;
    struct claim_header h;
    size_t at;
    if (s->revision[n] == 0) {
        return false;
    }
    g_assert_cmpint(claim_header_decode(s->record[n], &h, &at), ==, ST_OK);
    for (uint32_t i = 0; i < h.count; i++) {
        g_assert_cmpint(claim_entry_decode(s->record[n], &at, out), ==, ST_OK);
        if (digest_eq(out->key, *key)) {
            return true;
        }
    }
    return false;
}
