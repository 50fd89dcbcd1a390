#include "forward/return_slots.h"

#include <stdlib.h>
#include <sys/queue.h>

#include "base/str.h"
#include "flow/map.h"
#include "forward/window.h"

/* Width of a slot. Callers of a slot return within it, which is short against
 * latency objectives of a second. */
#define SLOT_US 50000LL
#define SLOTS 64
/* Callers heed a time up to this part of what they have left, and retry once
 * as a rule. */
#define HEEDED_PART 3
/* Where the search for a slot starts at the latest, in that time. */
#define START_PART 0.9
/* Shortest time that is told; see also RETRY_AFTER_MS of request.c. */
#define MIN_DELAY_US 150000LL
/* Room of a node from which nothing was taken lately, requests per second. */
#define MIN_ROOM_PER_S 1.0
/* Part of the room that callers of a rank may be promised, by rank: the rest
 * is left to more urgent ones, which are refused later. Callers that were
 * refused before may have all of it. */
static const double rank_parts[] = {1.0, 0.75, 0.5};
/* Notices: gathered for this time, and sent at this mean rate, with some
 * saved up. With 32 recipients and 8 returns each, some 230 bytes on the wire,
 * a node sends at most 80 messages and 18 KB per second, and receives as much
 * if all nodes refuse as many. */
#define GATHER_US 20000LL
#define NOTICE_INTERVAL_US 400000LL
#define NOTICES_SAVED 5
/* More returns than these go without a notice. */
#define MAX_UNSENT 64

struct expected {
    uint64_t content;
    int64_t due_us;
    int64_t first_us; /* first attempt */
    TAILQ_ENTRY(expected) by_age;
};

TAILQ_HEAD(expected_list, expected);

/* Slots of one service, numbered by the time divided by SLOT_US; number n is
 * kept at n % SLOTS. */
struct service_slots {
    struct window taken; /* requests that the service took */
    int64_t numbers[SLOTS];
    int promised[SLOTS];
    int told[SLOTS]; /* including those without a promise */
};

struct return_slots {
    struct map services;       /* hash -> struct service_slots */
    struct map expected;       /* content -> struct expected */
    struct expected_list list; /* oldest first */
    int unsent_count;
    struct expected unsent[MAX_UNSENT]; /* copies, for the next notices */
    int64_t gathered_us;                /* when the oldest of them is sent */
    int64_t next_notice_us; /* time at which the saved notices are used up */
};

struct return_slots *
return_slots_new(void)
{
    struct return_slots *s = mem_calloc(1, sizeof(*s));
    TAILQ_INIT(&s->list);
    return s;
}

static void
forget(struct return_slots *s, struct expected *e)
{
    map_remove(&s->expected, e->content);
    TAILQ_REMOVE(&s->list, e, by_age);
    free(e);
}

void
return_slots_free(struct return_slots *s)
{
    size_t at = 0;
    void *v;
    if (!s) {
        return;
    }
    while ((v = TAILQ_FIRST(&s->list))) {
        forget(s, v);
    }
    while ((v = map_next(&s->services, &at))) {
        free(v);
    }
    map_free(&s->services);
    map_free(&s->expected);
    free(s);
}

/* Returns the place of a slot, which is emptied if it was used for an earlier
 * one. */
static int
slot_index(struct service_slots *t, int64_t number)
{
    int i = (int)(number % SLOTS);
    if (t->numbers[i] != number) {
        t->numbers[i] = number;
        t->promised[i] = t->told[i] = 0;
    }
    return i;
}

static double
promised_part(const struct return_query *q)
{
    int last = (int)(sizeof(rank_parts) / sizeof(*rank_parts)) - 1;
    if (q->returning) {
        return 1;
    }
    return rank_parts[q->rank < 0 ? 0 : q->rank > last ? last : q->rank];
}

static void
expect(struct return_slots *s, const struct expected *from, int64_t now_us)
{
    struct expected *e;
    while ((e = TAILQ_FIRST(&s->list)) &&
           (e->due_us + RETURN_LATE_US < now_us ||
            s->expected.count >= RETURN_SLOTS_MAX_EXPECTED)) {
        forget(s, e);
    }
    e = map_get(&s->expected, from->content);
    if (e) {
        /* Another caller with the same content, or a repeated notice. The
         * later time holds, so that an early retry gains nothing. */
        e->due_us = e->due_us > from->due_us ? e->due_us : from->due_us;
        e->first_us =
            e->first_us < from->first_us ? e->first_us : from->first_us;
        return;
    }
    e = mem_calloc(1, sizeof(*e));
    e->content = from->content;
    e->due_us = from->due_us;
    e->first_us = from->first_us;
    map_put(&s->expected, e->content, e);
    TAILQ_INSERT_TAIL(&s->list, e, by_age);
}

static struct service_slots *
get_slots(struct return_slots *s, uint64_t service)
{
    struct service_slots *t = map_get(&s->services, service);
    if (!t) {
        t = mem_calloc(1, sizeof(*t));
        window_init(&t->taken, RETURN_ROOM_US);
        map_put(&s->services, service, t);
    }
    return t;
}

/* This node's part of the room of a service, requests per second. */
static double
room_per_s(struct service_slots *t, int64_t now_us)
{
    double room = window_sum(&t->taken, now_us) * 1e6 / RETURN_ROOM_US;
    return room > MIN_ROOM_PER_S ? room : MIN_ROOM_PER_S;
}

void
return_slots_record_taken(struct return_slots *s, uint64_t service,
                          int64_t now_us)
{
    window_add(&get_slots(s, service)->taken, now_us, 1);
}

struct return_plan
return_slots_plan(struct return_slots *s, const struct return_query *q,
                  int64_t now_us)
{
    struct service_slots *t = get_slots(s, q->service);
    int64_t last_us = q->remaining_us / HEEDED_PART;
    int64_t first_us = (int64_t)(START_PART * (double)last_us);
    first_us = q->earliest_us < first_us ? q->earliest_us : first_us;
    const struct expected *before = map_get(&s->expected, q->content);
    if (before && before->due_us - now_us > first_us) {
        /* An early retry is told no earlier time than before. */
        first_us = before->due_us - now_us;
    }
    first_us = first_us > MIN_DELAY_US ? first_us : MIN_DELAY_US;
    if (last_us > (SLOTS - 2) * SLOT_US) {
        last_us = (SLOTS - 2) * SLOT_US;
    }
    if (first_us > last_us) {
        /* It is told when there may be room, although it is too late for it:
         * an earlier return would be in vain. */
        int64_t delay = q->earliest_us > first_us ? q->earliest_us : first_us;
        return (struct return_plan){delay, false};
    }
    double room = room_per_s(t, now_us) * promised_part(q) / 1e6;
    int promised =
        return_slots_promised(s, q->service, now_us + first_us - 1, now_us);
    int least = -1;
    int64_t least_number = 0;
    int64_t first = (now_us + first_us + SLOT_US - 1) / SLOT_US;
    int64_t chosen = -1;
    for (int64_t n = first; n * SLOT_US <= now_us + last_us; n++) {
        int i = slot_index(t, n);
        int64_t end_us = (n + 1) * SLOT_US - now_us;
        promised += t->promised[i];
        /* One may always be promised, or a node with little room could promise
         * nothing in the time that callers heed. */
        if ((promised == 0 || promised + 1 <= room * (double)end_us) &&
            (t->promised[i] == 0 ||
             t->promised[i] + 1 <= 2 * room * SLOT_US)) {
            chosen = n;
            break;
        }
        if (least < 0 || t->told[i] < least) {
            least = t->told[i];
            least_number = n;
        }
    }
    if (chosen < 0 && least < 0) {
        /* No slot begins between the two. */
        return (struct return_plan){first_us, false};
    }
    struct return_plan plan = {0, chosen >= 0};
    int64_t number = plan.promised ? chosen : least_number;
    int i = slot_index(t, number);
    t->told[i]++;
    plan.delay_us =
        number * SLOT_US - now_us + (int64_t)(q->content % (uint64_t)SLOT_US);
    plan.delay_us = plan.delay_us < last_us ? plan.delay_us : last_us;
    if (plan.promised) {
        const struct expected e = {.content = q->content,
                                   .due_us = now_us + plan.delay_us,
                                   .first_us = now_us - q->waited_us};
        t->promised[i]++;
        expect(s, &e, now_us);
        if (s->unsent_count < MAX_UNSENT) {
            s->gathered_us =
                s->unsent_count == 0 ? now_us + GATHER_US : s->gathered_us;
            s->unsent[s->unsent_count++] = e;
        }
    }
    return plan;
}

int
return_slots_promised(const struct return_slots *s, uint64_t service,
                      int64_t until_us, int64_t now_us)
{
    const struct service_slots *t = map_get(&s->services, service);
    int sum = 0;
    for (int i = 0; t && i < SLOTS; i++) {
        if ((t->numbers[i] + 1) * SLOT_US > now_us &&
            t->numbers[i] * SLOT_US <= until_us) {
            sum += t->promised[i];
        }
    }
    return sum;
}

enum return_kind
return_slots_arrive(struct return_slots *s, uint64_t content, int64_t now_us,
                    int64_t *first_us)
{
    struct expected *e = map_get(&s->expected, content);
    if (!e) {
        return RETURN_NONE;
    }
    if (now_us < e->due_us - RETURN_EARLY_US) {
        return RETURN_EARLY;
    }
    enum return_kind kind = RETURN_NONE;
    if (now_us <= e->due_us + RETURN_LATE_US) {
        kind = RETURN_IN_TIME;
        *first_us = e->first_us;
    }
    forget(s, e);
    return kind;
}

void
return_slots_handle_notice(struct return_slots *s,
                           const struct return_notice *n, int64_t now_us)
{
    for (int i = 0; i < n->count; i++) {
        /* No caller is told a time beyond the slots. */
        if (n->returns[i].due_left_us > SLOTS * SLOT_US) {
            continue;
        }
        const struct expected e = {
            .content = n->returns[i].content,
            .due_us = now_us + n->returns[i].due_left_us,
            .first_us = now_us - n->returns[i].waited_us};
        expect(s, &e, now_us);
    }
}

int64_t
return_slots_notice_due_us(const struct return_slots *s)
{
    if (s->unsent_count == 0) {
        return INT64_MAX;
    }
    int64_t allowed =
        s->next_notice_us - (NOTICES_SAVED - 1) * NOTICE_INTERVAL_US;
    return allowed > s->gathered_us ? allowed : s->gathered_us;
}

bool
return_slots_next_notice(struct return_slots *s, int64_t now_us,
                         struct return_notice *out)
{
    if (now_us < return_slots_notice_due_us(s)) {
        return false;
    }
    s->next_notice_us =
        (s->next_notice_us > now_us ? s->next_notice_us : now_us) +
        NOTICE_INTERVAL_US;
    out->count = 0;
    int used = 0;
    for (; used < s->unsent_count && out->count < RETURN_NOTICE_MAX; used++) {
        const struct expected *e = &s->unsent[used];
        if (e->due_us > now_us) {
            out->returns[out->count].content = e->content;
            out->returns[out->count].due_left_us = e->due_us - now_us;
            out->returns[out->count++].waited_us = now_us - e->first_us;
        }
    }
    s->unsent_count -= used;
    for (int i = 0; i < s->unsent_count; i++) {
        s->unsent[i] = s->unsent[i + used];
    }
    return out->count > 0;
}

int
return_slots_expected_count(const struct return_slots *s)
{
    return (int)s->expected.count;
}
