#include "flow/fairq.h"

#include <stdlib.h>

#include "base/str.h"

/* Entries of one team within one class, in order of arrival. */
struct fairq_flow {
    uint64_t team;
    int64_t weight;
    double finish_tag; /* virtual finish time of the newest entry */
    int64_t cost_us;
    struct fairq_entry *head, *tail;
    struct fairq_flow *next;
};

struct class_queue {
    struct fairq_flow *flows;
    double virtual_time;
    int64_t cost_us;
};

struct fairq {
    bool fifo;
    int limit;
    int length;
    int64_t bulk_max_wait_us;
    /* Service time that overdue bulk work has earned ahead of other classes,
     * less what it has used; at most 0. */
    double bulk_allowance_us;
    uint64_t seq;
    struct class_queue class_queues[CLASS_COUNT];
};

/* Overdue bulk work may go ahead of other classes up to this part of their
 * work. A larger part would displace interactive work for as long as capacity
 * is short. */
#define OVERDUE_BULK_SHARE 0.05

struct fairq *
fairq_new(bool fifo)
{
    struct fairq *q = mem_calloc(1, sizeof(*q));
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
        while (q->class_queues[c].flows) {
            struct fairq_flow *fl = q->class_queues[c].flows;
            q->class_queues[c].flows = fl->next;
            free(fl);
        }
    }
    free(q);
}

void
fairq_configure(struct fairq *q, int limit, int64_t bulk_max_wait_us)
{
    q->limit = limit;
    q->bulk_max_wait_us = bulk_max_wait_us;
}

/* Returns the team's flow, which is created if needed. Idle flows whose finish
 * tag has passed are freed, since a new flow would start at the same tag. */
static struct fairq_flow *
find_or_add_flow(struct class_queue *l, uint64_t team)
{
    struct fairq_flow **link = &l->flows;
    while (*link && (*link)->team != team) {
        struct fairq_flow *fl = *link;
        if (!fl->head && fl->finish_tag <= l->virtual_time) {
            *link = fl->next;
            free(fl);
            continue;
        }
        link = &fl->next;
    }
    if (!*link) {
        *link = mem_calloc(1, sizeof(**link));
        (*link)->team = team;
    }
    return *link;
}

/* The entry with the smaller margin to its deadline is dropped first, and of
 * two entries with equal margins the newer. */
static bool
is_dropped_before(const struct fairq_entry *a, const struct fairq_entry *b)
{
    int64_t ma = a->deadline_us - a->need_us;
    int64_t mb = b->deadline_us - b->need_us;
    return ma != mb ? ma < mb : a->seq > b->seq;
}

static struct fairq_entry *
find_least_likely(struct fairq *q)
{
    struct fairq_entry *worst = NULL;
    for (int c = 0; c < CLASS_COUNT; c++) {
        for (struct fairq_flow *fl = q->class_queues[c].flows; fl;
             fl = fl->next) {
            for (struct fairq_entry *e = fl->head; e; e = e->next) {
                if (!worst || is_dropped_before(e, worst)) {
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
    struct class_queue *l = &q->class_queues[e->class];
    struct fairq_flow *fl = find_or_add_flow(l, e->team);
    fl->weight = e->weight > 0 ? e->weight : 1;
    e->start_tag =
        fl->finish_tag > l->virtual_time ? fl->finish_tag : l->virtual_time;
    fl->finish_tag =
        e->start_tag + (double)(e->cost_us + 1) / (double)fl->weight;
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
    struct fairq_entry *worst = q->fifo ? e : find_least_likely(q);
    fairq_remove(q, worst);
    return worst;
}

/* Returns the head of a flow with the smallest start tag, or in FIFO order the
 * smallest sequence number. */
static struct fairq_entry *
find_next_entry(const struct class_queue *l, bool fifo)
{
    struct fairq_entry *best = NULL;
    for (struct fairq_flow *fl = l->flows; fl; fl = fl->next) {
        struct fairq_entry *e = fl->head;
        if (e && (!best || (!fifo && e->start_tag < best->start_tag) ||
                  ((fifo || e->start_tag == best->start_tag) &&
                   e->seq < best->seq))) {
            best = e;
        }
    }
    return best;
}

static struct fairq_entry *
find_oldest_bulk(const struct fairq *q)
{
    return find_next_entry(&q->class_queues[CLASS_BULK], true);
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
            struct fairq_entry *e = find_next_entry(&q->class_queues[c], true);
            if (e && (!best || e->seq < best->seq)) {
                best = e;
            }
        }
        return best;
    }
    best = find_oldest_bulk(q);
    if (best && q->bulk_allowance_us >= 0 &&
        now_us - best->queued_us >= q->bulk_max_wait_us) {
        return best;
    }
    best = NULL;
    for (int c = 0; c < CLASS_COUNT && !best; c++) {
        best = find_next_entry(&q->class_queues[c], false);
        if (best) {
            q->class_queues[c].virtual_time = best->start_tag;
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
    q->class_queues[e->class].cost_us -= e->cost_us;
    q->length--;
    e->flow = NULL;
}

void
fairq_count_served(struct fairq *q, const struct fairq_entry *e)
{
    bool others = q->class_queues[CLASS_INTERACTIVE].cost_us > 0 ||
                  q->class_queues[CLASS_ACTION].cost_us > 0;
    if (e->class != CLASS_BULK) {
        q->bulk_allowance_us += OVERDUE_BULK_SHARE * (double)e->cost_us;
        q->bulk_allowance_us =
            q->bulk_allowance_us > 0 ? 0 : q->bulk_allowance_us;
    }
    else if (others) {
        q->bulk_allowance_us -= (double)e->cost_us;
    }
}

int
fairq_length(const struct fairq *q)
{
    return q->length;
}

int64_t
fairq_work_ahead_us(const struct fairq *q, enum request_class class,
                    uint64_t team, int64_t weight)
{
    int64_t sum = 0;
    int64_t own = 0;
    for (int c = 0; c < (int)class; c++) {
        sum += q->class_queues[c].cost_us;
    }
    const struct class_queue *l = &q->class_queues[class];
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
        /* While the team's work is served, each other team is served in
         * proportion to its weight. */
        int64_t head = fl->head ? fl->head->cost_us : 0;
        int64_t share = own * fl->weight / (weight > 0 ? weight : 1) + head;
        sum += share < fl->cost_us ? share : fl->cost_us;
    }
    return sum + own;
}
