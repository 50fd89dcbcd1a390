#include "flow/credit.h"

#include <stdlib.h>

#include "flow/pool.h"

/* Below CREDIT_LIFE_MAX_US, so that the credits of a dead node return soon;
 * long against a renewal's round trip. */
#define LIFE_US (4 * SECOND)
#define UNUSED_US (200 * MS)
#define ANSWER_US (1 * SECOND)
/* Asked or unused credits of one endpoint at a time. */
#define MOST 4

enum credit_state { CREDIT_ASKED, CREDIT_HELD, CREDIT_USED };

struct credit {
    uint64_t id;
    struct endpoint *ep;
    enum credit_state state;
    int64_t asked_us;
    int64_t expires_us;  /* 0: never granted */
    int64_t due_us;      /* of its newest timer; earlier ones are void */
    struct credit *next; /* in ep->held */
};

static void
arm(struct flow *f, struct credit *c, int64_t at_us)
{
    c->due_us = at_us;
    timers_add(&f->timers, at_us, TIMER_CREDIT, c->id);
}

static void
ask(struct flow *f, struct credit *c)
{
    c->asked_us = f->now_us;
    f->counts[COUNT_CREDITS_ASKED]++;
    core_ask(f, ASK_CREDIT)->credit = (struct credit_ask){
        .credit = c->id, .endpoint = c->ep->id, .lifetime_us = LIFE_US};
}

static void
emit_release(struct flow *f, uint64_t id, struct str endpoint, bool used,
             bool ok, enum credit_report report)
{
    core_ask(f, ASK_CREDIT_RELEASE)->credit_release =
        (struct credit_release){.credit = id,
                                .endpoint = endpoint,
                                .used = used,
                                .ok = ok,
                                .report = report};
    f->counts[COUNT_CREDITS_UNUSED] += !used;
}

static void
unhold(struct credit *c)
{
    struct credit **at = &c->ep->held;
    while (*at && *at != c) {
        at = &(*at)->next;
    }
    if (*at) {
        *at = c->next;
    }
}

static void
drop_unused(struct flow *f, struct credit *c)
{
    if (c->state == CREDIT_HELD) {
        unhold(c);
    }
    c->ep->credits--;
    emit_release(f, c->id, core_keep(f, c->ep->id), false, false,
                 CREDIT_REPORT_NONE);
    map_del(&f->credits, c->id);
    free(c);
}

void
credit_want(struct flow *f, struct pool *p, int wanted)
{
    for (int i = 0; i < p->count && wanted > 0; i++) {
        wanted -= p->endpoints[i]->credits;
    }
    for (int round = 0; round < MOST && wanted > 0; round++) {
        for (int i = 0; i < p->count && wanted > 0; i++) {
            struct endpoint *ep = p->endpoints[(p->next + i) % p->count];
            if (!ep->cold || !pool_endpoint_usable(ep) ||
                ep->outlier.ejected || ep->credits > round ||
                round > ep->credits_more || f->now_us < ep->credit_retry_us) {
                continue;
            }
            struct credit *c = mem_zero(1, sizeof(*c));
            c->id = core_seq(f);
            c->ep = ep;
            ep->credits++;
            wanted--;
            map_put(&f->credits, c->id, c);
            ask(f, c);
            arm(f, c, f->now_us + ANSWER_US);
        }
    }
}

static void
refused(struct flow *f, struct credit *c, int64_t retry_us)
{
    int64_t wait = retry_us > 10 * MS ? retry_us : 10 * MS;
    struct endpoint *ep = c->ep;
    /* A refusal says that the endpoint is full: further ones would only be
     * more messages. */
    ep->credits_more = 0;
    if (c->state == CREDIT_USED) {
        arm(f, c, f->now_us + wait);
        return;
    }
    ep->credit_retry_us = f->now_us + wait;
    timers_add(&f->timers, ep->credit_retry_us, TIMER_POOL, ep->pool->hash);
    if (c->state == CREDIT_ASKED) {
        ep->credits--;
        map_del(&f->credits, c->id);
        free(c);
    }
}

void
credit_reply(struct flow *f, const struct credit_reply *in)
{
    struct credit *c = map_get(&f->credits, in->credit);
    if (!c) {
        if (in->granted) {
            emit_release(f, in->credit, core_keep(f, in->endpoint), false,
                         false, CREDIT_REPORT_NONE);
        }
        return;
    }
    if (!in->granted) {
        refused(f, c, in->retry_us);
        return;
    }
    f->counts[COUNT_CREDITS_GRANTED]++;
    /* From the time of asking: never later than the owner's count. */
    c->expires_us = c->asked_us + LIFE_US;
    if (c->state != CREDIT_ASKED) {
        return;
    }
    c->state = CREDIT_HELD;
    c->ep->credits_more += c->ep->credits_more < MOST - 1;
    c->next = c->ep->held;
    c->ep->held = c;
    if (!c->ep->cold || !pool_endpoint_usable(c->ep)) {
        drop_unused(f, c);
        return;
    }
    arm(f, c, f->now_us + UNUSED_US);
    pool_touch(f, c->ep->pool);
}

void
credit_timer(struct flow *f, uint64_t id)
{
    struct credit *c = map_get(&f->credits, id);
    if (!c || f->now_us < c->due_us) {
        return;
    }
    struct pool *p = c->ep->pool;
    switch (c->state) {
    case CREDIT_ASKED:
        drop_unused(f, c);
        pool_touch(f, p);
        break;
    case CREDIT_HELD:
        drop_unused(f, c);
        break;
    case CREDIT_USED:
        if (c->ep->cold) {
            ask(f, c);
        }
        arm(f, c, f->now_us + LIFE_US / 2);
        break;
    }
}

bool
credit_valid(const struct flow *f, const struct credit *c)
{
    return c && c->expires_us > f->now_us;
}

int64_t
credit_asked_us(const struct credit *c)
{
    return c->asked_us;
}

int
credit_usable(const struct flow *f, const struct endpoint *ep)
{
    int n = 0;
    for (const struct credit *c = ep->held; c; c = c->next) {
        n += credit_valid(f, c);
    }
    return n;
}

struct credit *
credit_take(struct flow *f, struct endpoint *ep)
{
    for (struct credit *c = ep->held; c; c = c->next) {
        if (credit_valid(f, c)) {
            unhold(c);
            ep->credits--;
            c->state = CREDIT_USED;
            arm(f, c, c->asked_us + LIFE_US / 2);
            return c;
        }
    }
    return NULL;
}

void
credit_release(struct flow *f, struct credit *c, bool used, bool ok,
               enum credit_report report)
{
    emit_release(f, c->id, core_keep(f, c->ep->id), used, ok, report);
    map_del(&f->credits, c->id);
    free(c);
}

void
credit_drop_unused(struct flow *f, struct endpoint *ep)
{
    struct credit *c = ep->held;
    ep->held = NULL;
    while (c) {
        struct credit *next = c->next;
        drop_unused(f, c);
        c = next;
    }
}

void
credit_free_all(struct flow *f)
{
    size_t at = 0;
    struct credit *c;
    while ((c = map_next(&f->credits, &at))) {
        free(c);
    }
    map_free(&f->credits);
}
