#include "flow/suspect.h"

#include <stdlib.h>

#include "flow/map.h"

/* Limits memory use. When the table is full, a new suspect replaces the one
 * that expires first. */
#define ENTRIES_MAX 4096

struct suspect {
    struct digest d;
    int strikes;
    int64_t until_us;
};

struct suspects {
    struct map map; /* digest.lo -> struct suspect */
};

struct suspects *
suspects_new(void)
{
    return mem_calloc(1, sizeof(struct suspects));
}

void
suspects_free(struct suspects *s)
{
    if (!s) {
        return;
    }
    size_t at = 0;
    struct suspect *e;
    while ((e = map_next(&s->map, &at))) {
        free(e);
    }
    map_free(&s->map);
    free(s);
}

static struct suspect *
find_entry(const struct suspects *s, int64_t now_us, struct digest d)
{
    struct suspect *e = map_get(&s->map, d.lo);
    return e && e->d.hi == d.hi && e->until_us > now_us ? e : NULL;
}

int
suspects_strikes(const struct suspects *s, int64_t now_us, struct digest d)
{
    struct suspect *e = find_entry(s, now_us, d);
    return e ? e->strikes : 0;
}

static void
evict_if_full(struct suspects *s)
{
    if (s->map.count < ENTRIES_MAX) {
        return;
    }
    struct suspect *earliest = NULL;
    struct suspect *e;
    size_t at = 0;
    while ((e = map_next(&s->map, &at))) {
        if (!earliest || e->until_us < earliest->until_us) {
            earliest = e;
        }
    }
    if (earliest) {
        free(map_remove(&s->map, earliest->d.lo));
    }
}

void
suspects_apply_notice(struct suspects *s, int64_t now_us, struct digest d,
                      int strikes, int64_t hold_us)
{
    struct suspect *e = find_entry(s, now_us, d);
    if (strikes <= 0) {
        if (e) {
            free(map_remove(&s->map, d.lo));
        }
        return;
    }
    if (!e) {
        free(map_remove(&s->map, d.lo));
        evict_if_full(s);
        e = mem_calloc(1, sizeof(*e));
        e->d = d;
        map_put(&s->map, d.lo, e);
    }
    e->strikes = strikes > e->strikes ? strikes : e->strikes;
    e->until_us =
        now_us + hold_us > e->until_us ? now_us + hold_us : e->until_us;
}

int
suspects_add_strike(struct suspects *s, int64_t now_us, struct digest d,
                    int64_t hold_us)
{
    suspects_apply_notice(s, now_us, d, suspects_strikes(s, now_us, d) + 1,
                          hold_us);
    return suspects_strikes(s, now_us, d);
}

int
suspects_count(const struct suspects *s)
{
    return (int)s->map.count;
}
