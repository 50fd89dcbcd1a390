#include "control/strikes.h"

#include <stdlib.h>

#define ENTRIES_MAX 4096
/* A cleared content is kept for this time; queued copies of older strikes
 * arrive within it. */
#define CLEARED_KEEP_US 15000000

struct entry {
    struct digest content;
    int strikes;
    bool cleared; /* strikes up to this count are ignored */
    int64_t expires_us;
};

struct strikes {
    int count;
    struct entry entries[ENTRIES_MAX];
};

struct strikes *
strikes_new(void)
{
    return mem_calloc(1, sizeof(struct strikes));
}

void
strikes_free(struct strikes *s)
{
    free(s);
}

/* Returns the entry of the content, or NULL; removes expired entries during
 * the search. */
static struct entry *
find(struct strikes *s, int64_t now_us, struct digest content)
{
    int i = 0;
    while (i < s->count) {
        struct entry *e = &s->entries[i];
        if (now_us >= e->expires_us) {
            *e = s->entries[--s->count];
        }
        else if (digest_eq(e->content, content)) {
            return e;
        }
        else {
            i++;
        }
    }
    return NULL;
}

static struct entry *
first_to_expire(struct strikes *s)
{
    struct entry *e = &s->entries[0];
    for (int i = 1; i < s->count; i++) {
        if (s->entries[i].expires_us < e->expires_us) {
            e = &s->entries[i];
        }
    }
    return e;
}

bool
strikes_apply(struct strikes *s, int64_t now_us,
              const struct suspect_notice *n)
{
    struct entry *e = find(s, now_us, n->content);
    if (!e && n->strikes == 0) {
        return false;
    }
    if (n->strikes == 0) {
        if (e->cleared) {
            return false;
        }
        e->cleared = true;
        e->expires_us = now_us + CLEARED_KEEP_US;
        return true;
    }
    if (e && n->strikes <= e->strikes) {
        return false;
    }
    if (!e) {
        e = s->count < ENTRIES_MAX ? &s->entries[s->count++]
                                   : first_to_expire(s);
    }
    *e = (struct entry){n->content, n->strikes, false, now_us + n->hold_us};
    return true;
}

int
strikes_content_count(const struct strikes *s)
{
    return s->count;
}
