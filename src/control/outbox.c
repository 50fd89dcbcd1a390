#include "control/outbox.h"

#include <stdlib.h>
#include <string.h>

#define BLOCK_BYTES 8192

/* Block of memory for copied strings; all blocks are released together. */
struct block {
    struct block *next;
    size_t used;
    size_t size;
    char bytes[];
};

struct outbox {
    struct control_action *actions;
    size_t count;
    size_t cap;
    size_t taken;
    struct block *blocks;
};

struct outbox *
outbox_new(void)
{
    return mem_calloc(1, sizeof(struct outbox));
}

static void
release(struct outbox *o)
{
    for (size_t i = o->taken; i < o->count; i++) {
        if (o->actions[i].kind == CONTROL_ACT_SNAPSHOT) {
            snapshot_unref(o->actions[i].snapshot);
        }
    }
    o->count = o->taken = 0;
    while (o->blocks && o->blocks->next) {
        struct block *b = o->blocks;
        o->blocks = b->next;
        free(b);
    }
    if (o->blocks) {
        o->blocks->used = 0;
    }
}

void
outbox_free(struct outbox *o)
{
    if (!o) {
        return;
    }
    release(o);
    free(o->blocks);
    free(o->actions);
    free(o);
}

static void
copy_str(struct outbox *o, struct str *s)
{
    if (s->len == 0) {
        *s = STR_LIT("");
        return;
    }
    struct block *b = o->blocks;
    if (!b || b->size - b->used < s->len + 1) {
        size_t size = s->len + 1 > BLOCK_BYTES ? s->len + 1 : BLOCK_BYTES;
        b = mem_calloc(1, sizeof(*b) + size);
        b->size = size;
        b->next = o->blocks;
        o->blocks = b;
    }
    char *p = b->bytes + b->used;
    memcpy(p, s->ptr, s->len);
    p[s->len] = '\0';
    b->used += s->len + 1;
    s->ptr = p;
}

static void
copy_probe(struct outbox *o, struct probe_body *b)
{
    copy_str(o, &b->contact_age_bytes);
    for (int i = 0; i < b->gossip_count; i++) {
        if (b->gossip[i].kind == GOSSIP_ENDPOINT) {
            copy_str(o, &b->gossip[i].endpoint.endpoint);
            copy_str(o, &b->gossip[i].endpoint.start_id);
        }
    }
}

static void
copy_msg(struct outbox *o, struct msg *m)
{
    switch (m->type) {
    case MSG_PING:
    case MSG_PING_REQ:
    case MSG_ACK:
    case MSG_LEAVE:
        copy_probe(o, &m->probe);
        break;
    case MSG_DOC_GET:
    case MSG_DOC:
    case MSG_DOC_ACK:
        copy_str(o, &m->doc.bytes);
        break;
    case MSG_CLAIM:
        copy_str(o, &m->claim.answer);
        break;
    case MSG_CLAIM_REPLY:
        copy_str(o, &m->claim_reply.answer);
        break;
    case MSG_CREDIT:
        copy_str(o, &m->credit.endpoint);
        break;
    case MSG_CREDIT_REPLY:
        copy_str(o, &m->credit_reply.endpoint);
        break;
    case MSG_CREDIT_RELEASE:
        copy_str(o, &m->credit_release.endpoint);
        break;
    case MSG_CREDIT_QUERY:
        copy_str(o, &m->credit_query.endpoint);
        break;
    case MSG_CREDIT_STATE:
        copy_str(o, &m->credit_state.endpoint);
        break;
    case MSG_COLD:
        copy_str(o, &m->cold.endpoint);
        copy_str(o, &m->cold.start_id);
        break;
    case MSG_STAGE_ASK:
    case MSG_STAGE_ACK:
    case MSG_STAGE_RESULT:
    case MSG_STAGE_DROP:
    case MSG_PREFILL:
    case MSG_PARTS:
    case MSG_STAGE_RESULTS:
    case MSG_RETURNS:
    case MSG_ENGINES:
    case MSG_ROLLOUT:
    case MSG_FEED_ASK:
    case MSG_FEED_ANSWER:
    case MSG_TYPE_COUNT:
        break;
    }
}

static void
copy_reply(struct outbox *o, struct reply *r)
{
    switch (r->kind) {
    case REPLY_CLAIM:
        copy_str(o, &r->claim.answer);
        break;
    case REPLY_CREDIT:
        copy_str(o, &r->credit.endpoint);
        break;
    case REPLY_ENDPOINT:
        copy_str(o, &r->endpoint.endpoint);
        copy_str(o, &r->endpoint.start_id);
        break;
    case REPLY_SUSPECT:
        break;
    }
}

void
outbox_push(struct outbox *o, const struct control_action *a)
{
    if (o->count == o->cap) {
        o->cap = o->cap ? o->cap * 2 : 16;
        o->actions = mem_realloc(o->actions, o->cap, sizeof(*o->actions));
    }
    struct control_action *c = &o->actions[o->count++];
    *c = *a;
    switch (a->kind) {
    case CONTROL_ACT_SEND:
        copy_str(o, &c->send.address);
        copy_msg(o, &c->send.msg);
        break;
    case CONTROL_ACT_STORE:
        copy_str(o, &c->store.key);
        copy_str(o, &c->store.value);
        break;
    case CONTROL_ACT_REPLY:
    case CONTROL_ACT_NOTIFY_ALL:
        copy_reply(o, &c->reply.reply);
        break;
    case CONTROL_ACT_ADMIN:
        copy_str(o, &c->admin.body);
        break;
    case CONTROL_ACT_SNAPSHOT:
    case CONTROL_ACT_FRESHNESS:
    case CONTROL_ACT_LEAVE_DONE:
        break;
    }
}

bool
outbox_take(struct outbox *o, struct control_action *out)
{
    if (o->taken == o->count) {
        return false;
    }
    *out = o->actions[o->taken++];
    return true;
}

void
outbox_clear(struct outbox *o)
{
    release(o);
}
