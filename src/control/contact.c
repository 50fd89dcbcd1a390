#include "control/contact.h"

#include <stdlib.h>

#define AGE_UNIT_US 100000
#define AGE_MAX 255
#define FRESH_US 2000000
#define FRESH_STEP_US 500000

struct entry {
    uint64_t node;
    bool counts; /* a voter of the own region, other than this node */
    int64_t t_us;
};

struct contact {
    uint64_t self;
    struct str region;
    int64_t start_us;
    int64_t store_us;
    bool settled;
    bool self_votes;
    int voters; /* of the own region */
    int count;
    struct entry *entries; /* in roster order */
    bool changed;          /* since kth was computed */
    int64_t kth_us;
};

struct contact *
contact_new(uint64_t self, struct str region, int64_t now_us)
{
    struct contact *c = mem_zero(1, sizeof(*c));
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
contact_roster(struct contact *c, const struct roster *r)
{
    struct entry *next = mem_zero((size_t)r->count, sizeof(*next));
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
contact_store(struct contact *c, int64_t t_us)
{
    if (t_us > c->store_us) {
        c->store_us = t_us;
    }
}

static void
raise_entry(struct contact *c, struct entry *e, int64_t t_us)
{
    if (t_us > e->t_us) {
        e->t_us = t_us;
        c->changed = true;
    }
}

void
contact_touch(struct contact *c, uint64_t node, int64_t t_us)
{
    struct entry *e = find(c, node);
    if (e) {
        raise_entry(c, e, t_us);
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
            contact_store(c, t);
        }
        else if (same_roster && i <= (size_t)c->count) {
            raise_entry(c, &c->entries[i - 1], t);
        }
    }
}

/* Ages are rounded up: a contact must never look younger than it is. */
static unsigned char
age_of(int64_t now_us, int64_t t_us)
{
    int64_t units = (now_us - t_us + AGE_UNIT_US - 1) / AGE_UNIT_US;
    if (units < 0) {
        return 0;
    }
    return (unsigned char)(units < AGE_MAX ? units : AGE_MAX);
}

void
contact_ages(const struct contact *c, int64_t now_us, struct buf *out)
{
    if (!c->settled) {
        return;
    }
    unsigned char age = age_of(now_us, c->store_us);
    buf_append(out, &age, 1);
    for (int i = 0; i < c->count; i++) {
        const struct entry *e = &c->entries[i];
        age = e->node == c->self ? 0 : age_of(now_us, e->t_us);
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

/* The time since which a majority of the own region was heard from. */
static int64_t
majority_since(struct contact *c, int64_t now_us)
{
    int need = c->voters / 2 + 1 - (c->settled && c->self_votes);
    if (!c->voters) {
        return CONTACT_NEVER;
    }
    if (need == 0) {
        return now_us;
    }
    if (!c->changed) {
        return c->kth_us;
    }
    int64_t *t = mem_zero((size_t)c->count + 1, sizeof(*t));
    int n = 0;
    for (int i = 0; i < c->count; i++) {
        if (c->entries[i].counts) {
            t[n++] = c->entries[i].t_us;
        }
    }
    qsort(t, (size_t)n, sizeof(*t), newest_first);
    c->kth_us = need <= n ? t[need - 1] : CONTACT_NEVER;
    c->changed = false;
    free(t);
    return c->kth_us;
}

int64_t
contact_fresh_time(int members)
{
    int64_t t = FRESH_US;
    for (int n = 8; n < members; n *= 2) {
        t += FRESH_STEP_US;
    }
    return t;
}

int64_t
contact_fresh_until(struct contact *c, int64_t now_us)
{
    int64_t since = majority_since(c, now_us);
    int64_t fresh = contact_fresh_time(c->count);
    if (c->store_us > since) {
        since = c->store_us;
    }
    if (!c->settled) {
        if (since < c->start_us || since + fresh <= now_us) {
            return CONTACT_NEVER;
        }
        c->settled = true;
        c->changed = true;
    }
    return since + fresh;
}

bool
contact_majority(struct contact *c, int64_t now_us)
{
    return c->settled &&
           majority_since(c, now_us) + contact_fresh_time(c->count) > now_us;
}

bool
contact_settled(const struct contact *c)
{
    return c->settled;
}

int64_t
contact_store_age(const struct contact *c, int64_t now_us)
{
    return now_us - c->store_us;
}
