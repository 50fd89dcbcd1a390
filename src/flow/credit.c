#include "flow/credit.h"

#include <stdlib.h>

#include "flow/pool.h"

/* Less than CREDIT_MAX_LIFETIME_US, so that the credits of a dead node expire
 * soon, and much longer than the round trip of a renewal. */
#define LIFETIME_US (4 * SECOND)
#define UNUSED_TIMEOUT_US (200 * MS)
#define REPLY_TIMEOUT_US (1 * SECOND)
/* Limit of requested or unused credits of one endpoint. */
#define MAX_PER_ENDPOINT 4

enum credit_state { CREDIT_REQUESTED, CREDIT_HELD, CREDIT_USED };

struct credit {
    uint64_t id;
    struct endpoint *ep;
    enum credit_state state;
    int64_t requested_us;
    int64_t expires_us; /* 0: not granted yet */
    int64_t
        due_us; /* when its valid timer is due; earlier timers are ignored */
    struct credit *next; /* list link of ep->held_credits */
};

static void
arm_timer(struct flow *f, struct credit *c, int64_t at_us)
{
    c->due_us = at_us;
    timers_add(&f->timers, at_us, TIMER_CREDIT, c->id);
}

static void
request_credit(struct flow *f, struct credit *c)
{
    c->requested_us = f->now_us;
    f->counts[COUNT_CREDITS_ASKED]++;
    core_add_control_message(f, CONTROL_REQUEST_CREDIT)->credit =
        (struct credit_request){.credit = c->id,
                                .endpoint = c->ep->id,
                                .lifetime_us = LIFETIME_US};
}

static void
emit_release(struct flow *f, uint64_t id, struct str endpoint, bool used,
             bool ok, enum credit_report report)
{
    core_add_control_message(f, CONTROL_REQUEST_CREDIT_RELEASE)
        ->credit_release = (struct credit_release){.credit = id,
                                                   .endpoint = endpoint,
                                                   .used = used,
                                                   .ok = ok,
                                                   .report = report};
    f->counts[COUNT_CREDITS_UNUSED] += !used;
}

static void
remove_held(struct credit *c)
{
    struct credit **at = &c->ep->held_credits;
    while (*at && *at != c) {
        at = &(*at)->next;
    }
    if (*at) {
        *at = c->next;
    }
}

static void
release_unused(struct flow *f, struct credit *c)
{
    if (c->state == CREDIT_HELD) {
        remove_held(c);
    }
    c->ep->credits--;
    emit_release(f, c->id, core_copy_str(f, c->ep->id), false, false,
                 CREDIT_REPORT_NONE);
    map_remove(&f->credits, c->id);
    free(c);
}

void
credit_request_for_queue(struct flow *f, struct pool *p, int wanted)
{
    for (int i = 0; i < p->count && wanted > 0; i++) {
        wanted -= p->endpoints[i]->credits;
    }
    for (int round = 0; round < MAX_PER_ENDPOINT && wanted > 0; round++) {
        for (int i = 0; i < p->count && wanted > 0; i++) {
            struct endpoint *ep = p->endpoints[(p->next + i) % p->count];
            if (!ep->cold || !pool_endpoint_usable(ep) ||
                ep->outlier.ejected || ep->credits > round ||
                round > ep->extra_credits || f->now_us < ep->credit_retry_us) {
                continue;
            }
            struct credit *c = mem_calloc(1, sizeof(*c));
            c->id = core_next_seq(f);
            c->ep = ep;
            ep->credits++;
            wanted--;
            map_put(&f->credits, c->id, c);
            request_credit(f, c);
            arm_timer(f, c, f->now_us + REPLY_TIMEOUT_US);
        }
    }
}

static void
on_refusal(struct flow *f, struct credit *c, int64_t retry_us)
{
    int64_t wait_us = retry_us > 10 * MS ? retry_us : 10 * MS;
    struct endpoint *ep = c->ep;
    /* A refusal means that the endpoint is full; requesting more credits would
     * only cause more messages. */
    ep->extra_credits = 0;
    if (c->state == CREDIT_USED) {
        arm_timer(f, c, f->now_us + wait_us);
        return;
    }
    ep->credit_retry_us = f->now_us + wait_us;
    timers_add(&f->timers, ep->credit_retry_us, TIMER_POOL, ep->pool->hash);
    if (c->state == CREDIT_REQUESTED) {
        ep->credits--;
        map_remove(&f->credits, c->id);
        free(c);
    }
}

void
credit_on_reply(struct flow *f, const struct credit_reply *in)
{
    struct credit *c = map_get(&f->credits, in->credit);
    if (!c) {
        if (in->granted) {
            emit_release(f, in->credit, core_copy_str(f, in->endpoint), false,
                         false, CREDIT_REPORT_NONE);
        }
        return;
    }
    if (!in->granted) {
        on_refusal(f, c, in->retry_us);
        return;
    }
    f->counts[COUNT_CREDITS_GRANTED]++;
    /* Counted from the time of the request: this is never later than the
     * expiry that the owner computes. */
    c->expires_us = c->requested_us + LIFETIME_US;
    if (c->state != CREDIT_REQUESTED) {
        return;
    }
    c->state = CREDIT_HELD;
    c->ep->extra_credits += c->ep->extra_credits < MAX_PER_ENDPOINT - 1;
    c->next = c->ep->held_credits;
    c->ep->held_credits = c;
    if (!c->ep->cold || !pool_endpoint_usable(c->ep)) {
        release_unused(f, c);
        return;
    }
    arm_timer(f, c, f->now_us + UNUSED_TIMEOUT_US);
    pool_schedule_dispatch(f, c->ep->pool);
}

void
credit_on_timer(struct flow *f, uint64_t id)
{
    struct credit *c = map_get(&f->credits, id);
    if (!c || f->now_us < c->due_us) {
        return;
    }
    struct pool *p = c->ep->pool;
    switch (c->state) {
    case CREDIT_REQUESTED:
        release_unused(f, c);
        pool_schedule_dispatch(f, p);
        break;
    case CREDIT_HELD:
        release_unused(f, c);
        break;
    case CREDIT_USED:
        if (c->ep->cold) {
            request_credit(f, c);
        }
        arm_timer(f, c, f->now_us + LIFETIME_US / 2);
        break;
    }
}

bool
credit_is_valid(const struct flow *f, const struct credit *c)
{
    return c && c->expires_us > f->now_us;
}

int64_t
credit_requested_us(const struct credit *c)
{
    return c->requested_us;
}

int
credit_usable_count(const struct flow *f, const struct endpoint *ep)
{
    int n = 0;
    for (const struct credit *c = ep->held_credits; c; c = c->next) {
        n += credit_is_valid(f, c);
    }
    return n;
}

struct credit *
credit_take(struct flow *f, struct endpoint *ep)
{
    for (struct credit *c = ep->held_credits; c; c = c->next) {
        if (credit_is_valid(f, c)) {
            remove_held(c);
            ep->credits--;
            c->state = CREDIT_USED;
            arm_timer(f, c, c->requested_us + LIFETIME_US / 2);
            return c;
        }
    }
    return NULL;
}

void
credit_release(struct flow *f, struct credit *c, bool used, bool ok,
               enum credit_report report)
{
    emit_release(f, c->id, core_copy_str(f, c->ep->id), used, ok, report);
    map_remove(&f->credits, c->id);
    free(c);
}

void
credit_release_unused(struct flow *f, struct endpoint *ep)
{
    struct credit *c = ep->held_credits;
    ep->held_credits = NULL;
    while (c) {
        struct credit *next = c->next;
        release_unused(f, c);
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
