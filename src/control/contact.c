#include "control/contact.h"

#include <stdlib.h>

#define AGE_UNIT_US 100000
#define AGE_MAX 255
#define BASE_FRESHNESS_US 2000000
#define FRESHNESS_STEP_US 500000

struct entry {
    uint64_t node;
    bool counts_for_majority; /* a voter of this node's region, but not
                                 this node */
    int64_t t_us;
};

struct contact {
    uint64_t self;
    struct str region;
    int64_t start_us;
    int64_t store_us;
    bool synchronized;
    bool self_votes;
    int voters; /* of this node's region */
    int count;
    struct entry *entries; /* in roster order */
    bool changed;          /* since majority_since_us was computed */
    int64_t majority_since_us;
};

struct contact *
contact_new(uint64_t self, struct str region, int64_t now_us)
{
    struct contact *c = mem_calloc(1, sizeof(*c));
    c->self = self;
    c->region = str_dup(region);
    c->start_us = now_us;
    c->store_us = CONTACT_NEVER;
    c->changed = true;
    return c;
}

void
contact_free(struct contact *c)
{
    if (c) {
        str_free(&c->region);
        free(c->entries);
        free(c);
    }
}

static struct entry *
find(const struct contact *c, uint64_t node)
{
    for (int i = 0; i < c->count; i++) {
        if (c->entries[i].node == node) {
            return &c->entries[i];
        }
    }
    return NULL;
}

void
contact_set_roster(struct contact *c, const struct roster *r)
{
    struct entry *next = mem_calloc((size_t)r->count, sizeof(*next));
    c->voters = 0;
    c->self_votes = false;
    for (int i = 0; i < r->count; i++) {
        const struct roster_member *m = &r->members[i];
        const struct entry *old = find(c, m->node);
        bool own = m->vote && str_eq(m->region, c->region);
        c->voters += own;
        c->self_votes |= own && m->node == c->self;
        next[i] = (struct entry){m->node, own && m->node != c->self,
                                 old ? old->t_us : CONTACT_NEVER};
    }
    free(c->entries);
    c->entries = next;
    c->count = r->count;
    c->changed = true;
}

void
contact_record_store(struct contact *c, int64_t t_us)
{
    if (t_us > c->store_us) {
        c->store_us = t_us;
    }
}

static void
advance_entry(struct contact *c, struct entry *e, int64_t t_us)
{
    if (t_us > e->t_us) {
        e->t_us = t_us;
        c->changed = true;
    }
}

void
contact_record_member(struct contact *c, uint64_t node, int64_t t_us)
{
    struct entry *e = find(c, node);
    if (e) {
        advance_entry(c, e, t_us);
    }
}

void
contact_merge(struct contact *c, struct str ages, bool same_roster,
              int64_t t0_us)
{
    for (size_t i = 0; i < ages.len; i++) {
        int age = (unsigned char)ages.ptr[i];
        int64_t t = t0_us - (int64_t)age * AGE_UNIT_US;
        if (age == AGE_MAX) {
            continue;
        }
        if (i == 0) {
            contact_record_store(c, t);
        }
        else if (same_roster && i <= (size_t)c->count) {
            advance_entry(c, &c->entries[i - 1], t);
        }
    }
}

/* Ages are rounded up, since a contact must never look newer than it is. */
static unsigned char
encode_age(int64_t now_us, int64_t t_us)
{
    int64_t units = (now_us - t_us + AGE_UNIT_US - 1) / AGE_UNIT_US;
    if (units < 0) {
        return 0;
    }
    return (unsigned char)(units < AGE_MAX ? units : AGE_MAX);
}

void
contact_write_ages(const struct contact *c, int64_t now_us, struct buf *out)
{
    if (!c->synchronized) {
        return;
    }
    unsigned char age = encode_age(now_us, c->store_us);
    buf_append(out, &age, 1);
    for (int i = 0; i < c->count; i++) {
        const struct entry *e = &c->entries[i];
        age = e->node == c->self ? 0 : encode_age(now_us, e->t_us);
        buf_append(out, &age, 1);
    }
}

static int
newest_first(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x < y) - (x > y);
}

/* Newest time such that a majority of the voters of this node's region has
 * sent information at or after this time. */
static int64_t
majority_since(struct contact *c, int64_t now_us)
{
    int need = c->voters / 2 + 1 - (c->synchronized && c->self_votes);
    if (!c->voters) {
        return CONTACT_NEVER;
    }
    if (need == 0) {
        return now_us;
    }
    if (!c->changed) {
        return c->majority_since_us;
    }
    int64_t *t = mem_calloc((size_t)c->count + 1, sizeof(*t));
    int n = 0;
    for (int i = 0; i < c->count; i++) {
        if (c->entries[i].counts_for_majority) {
            t[n++] = c->entries[i].t_us;
        }
    }
    qsort(t, (size_t)n, sizeof(*t), newest_first);
    c->majority_since_us = need <= n ? t[need - 1] : CONTACT_NEVER;
    c->changed = false;
    free(t);
    return c->majority_since_us;
}

int64_t
contact_freshness_us(int members)
{
    int64_t t = BASE_FRESHNESS_US;
    for (int n = 8; n < members; n *= 2) {
        t += FRESHNESS_STEP_US;
    }
    return t;
}

int64_t
contact_fresh_until_us(struct contact *c, int64_t now_us)
{
    int64_t since = majority_since(c, now_us);
    int64_t fresh = contact_freshness_us(c->count);
    if (c->store_us > since) {
        since = c->store_us;
    }
    if (!c->synchronized) {
        if (since < c->start_us || since + fresh <= now_us) {
            return CONTACT_NEVER;
        }
        c->synchronized = true;
        c->changed = true;
    }
    return since + fresh;
}

bool
contact_has_majority(struct contact *c, int64_t now_us)
{
    return c->synchronized &&
           majority_since(c, now_us) + contact_freshness_us(c->count) > now_us;
}

bool
contact_is_synchronized(const struct contact *c)
{
    return c->synchronized;
}

int64_t
contact_store_age_us(const struct contact *c, int64_t now_us)
{
    return now_us - c->store_us;
}
