#include "flow/fairq.h"

#include <stdlib.h>

#include "base/str.h"

/* Entries of one team within one class, in order of arrival. */
struct fairq_flow {
    uint64_t team;
    int64_t weight;
    double finish; /* virtual finish tag of the newest entry */
    int64_t cost_us;
    struct fairq_entry *head, *tail;
    struct fairq_flow *next;
};

struct lane {
    struct fairq_flow *flows;
    double virtual_now;
    int64_t cost_us;
};

struct fairq {
    bool fifo;
    int limit;
    int length;
    int64_t bulk_max_wait_us;
    /* Work that overdue bulk may pass ahead of, less what it has passed. */
    double bulk_due_us;
    uint64_t seq;
    struct lane lanes[CLASS_COUNT];
};

/* Part of the work that overdue bulk gets before other work. More would take
 * the place of interactive work for as long as capacity is short. */
#define BULK_SHARE 0.05

struct fairq *
fairq_new(bool fifo)
{
    struct fairq *q = mem_zero(1, sizeof(*q));
    q->fifo = fifo;
    q->limit = 256;
    q->bulk_max_wait_us = 10000000;
    return q;
}

void
fairq_free(struct fairq *q)
{
    if (!q) {
        return;
    }
    for (int c = 0; c < CLASS_COUNT; c++) {
        while (q->lanes[c].flows) {
            struct fairq_flow *fl = q->lanes[c].flows;
            q->lanes[c].flows = fl->next;
            free(fl);
        }
    }
    free(q);
}

void
fairq_set(struct fairq *q, int limit, int64_t bulk_max_wait_us)
{
    q->limit = limit;
    q->bulk_max_wait_us = bulk_max_wait_us;
}

/* The team's flow; idle flows whose finish tag has passed are freed, since
 * a new flow would start at the same tag. */
static struct fairq_flow *
flow_of(struct lane *l, uint64_t team)
{
    struct fairq_flow **at = &l->flows;
    while (*at && (*at)->team != team) {
        struct fairq_flow *fl = *at;
        if (!fl->head && fl->finish <= l->virtual_now) {
            *at = fl->next;
            free(fl);
            continue;
        }
        at = &fl->next;
    }
    if (!*at) {
        *at = mem_zero(1, sizeof(**at));
        (*at)->team = team;
    }
    return *at;
}

/* A smaller margin is dropped first; of equal ones the newest. */
static bool
drops_before(const struct fairq_entry *a, const struct fairq_entry *b)
{
    int64_t ma = a->deadline_us - a->need_us;
    int64_t mb = b->deadline_us - b->need_us;
    return ma != mb ? ma < mb : a->seq > b->seq;
}

static struct fairq_entry *
least_likely(struct fairq *q)
{
    struct fairq_entry *worst = NULL;
    for (int c = 0; c < CLASS_COUNT; c++) {
        for (struct fairq_flow *fl = q->lanes[c].flows; fl; fl = fl->next) {
            for (struct fairq_entry *e = fl->head; e; e = e->next) {
                if (!worst || drops_before(e, worst)) {
                    worst = e;
                }
            }
        }
    }
    return worst;
}

struct fairq_entry *
fairq_push(struct fairq *q, int64_t now_us, struct fairq_entry *e)
{
    struct lane *l = &q->lanes[e->class];
    struct fairq_flow *fl = flow_of(l, e->team);
    fl->weight = e->weight > 0 ? e->weight : 1;
    e->start = fl->finish > l->virtual_now ? fl->finish : l->virtual_now;
    fl->finish = e->start + (double)(e->cost_us + 1) / (double)fl->weight;
    e->queued_us = now_us;
    e->seq = q->seq++;
    e->flow = fl;
    e->next = NULL;
    e->prev = fl->tail;
    *(fl->tail ? &fl->tail->next : &fl->head) = e;
    fl->tail = e;
    fl->cost_us += e->cost_us;
    l->cost_us += e->cost_us;
    if (++q->length <= q->limit) {
        return NULL;
    }
    struct fairq_entry *worst = q->fifo ? e : least_likely(q);
    fairq_remove(q, worst);
    return worst;
}

/* The head with the smallest start tag, or of FIFO the smallest number. */
static struct fairq_entry *
first(const struct lane *l, bool fifo)
{
    struct fairq_entry *best = NULL;
    for (struct fairq_flow *fl = l->flows; fl; fl = fl->next) {
        struct fairq_entry *e = fl->head;
        if (e && (!best || (!fifo && e->start < best->start) ||
                  ((fifo || e->start == best->start) && e->seq < best->seq))) {
            best = e;
        }
    }
    return best;
}

static struct fairq_entry *
oldest_bulk(const struct fairq *q)
{
    return first(&q->lanes[CLASS_BULK], true);
}

struct fairq_entry *
fairq_peek(struct fairq *q, int64_t now_us)
{
    if (q->length == 0) {
        return NULL;
    }
    struct fairq_entry *best = NULL;
    if (q->fifo) {
        for (int c = 0; c < CLASS_COUNT; c++) {
            struct fairq_entry *e = first(&q->lanes[c], true);
            if (e && (!best || e->seq < best->seq)) {
                best = e;
            }
        }
        return best;
    }
    best = oldest_bulk(q);
    if (best && q->bulk_due_us >= 0 &&
        now_us - best->queued_us >= q->bulk_max_wait_us) {
        return best;
    }
    best = NULL;
    for (int c = 0; c < CLASS_COUNT && !best; c++) {
        best = first(&q->lanes[c], false);
        if (best) {
            q->lanes[c].virtual_now = best->start;
        }
    }
    return best;
}

void
fairq_remove(struct fairq *q, struct fairq_entry *e)
{
    struct fairq_flow *fl = e->flow;
    if (!fl) {
        return;
    }
    *(e->prev ? &e->prev->next : &fl->head) = e->next;
    *(e->next ? &e->next->prev : &fl->tail) = e->prev;
    fl->cost_us -= e->cost_us;
    q->lanes[e->class].cost_us -= e->cost_us;
    q->length--;
    e->flow = NULL;
}

void
fairq_served(struct fairq *q, const struct fairq_entry *e)
{
    bool others = q->lanes[CLASS_INTERACTIVE].cost_us > 0 ||
                  q->lanes[CLASS_ACTION].cost_us > 0;
    if (e->class != CLASS_BULK) {
        q->bulk_due_us += BULK_SHARE * (double)e->cost_us;
        q->bulk_due_us = q->bulk_due_us > 0 ? 0 : q->bulk_due_us;
    }
    else if (others) {
        q->bulk_due_us -= (double)e->cost_us;
    }
}

int
fairq_length(const struct fairq *q)
{
    return q->length;
}

int64_t
fairq_ahead_us(const struct fairq *q, enum req_class class, uint64_t team,
               int64_t weight)
{
    int64_t sum = 0;
    int64_t own = 0;
    for (int c = 0; c < (int)class; c++) {
        sum += q->lanes[c].cost_us;
    }
    const struct lane *l = &q->lanes[class];
    if (q->fifo) {
        return sum + l->cost_us;
    }
    for (struct fairq_flow *fl = l->flows; fl; fl = fl->next) {
        own += fl->team == team ? fl->cost_us : 0;
    }
    for (struct fairq_flow *fl = l->flows; fl; fl = fl->next) {
        if (fl->team == team || fl->cost_us == 0) {
            continue;
        }
        /* While own work drains, each other team gets its share of it. */
        int64_t head = fl->head ? fl->head->cost_us : 0;
        int64_t share = own * fl->weight / (weight > 0 ? weight : 1) + head;
        sum += share < fl->cost_us ? share : fl->cost_us;
    }
    return sum + own;
}
