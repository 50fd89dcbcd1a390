#include "flow/map.h"

#include <stdlib.h>

#include "base/str.h"

/* Keys may be sequential numbers, so their bits are mixed before masking. */
static size_t
home_slot(const struct map *m, uint64_t key)
{
    key ^= key >> 32;
    key *= 0x9e3779b97f4a7c15ULL;
    return (size_t)(key >> 20) & (m->cap - 1);
}

static size_t
find_slot(const struct map *m, uint64_t key)
{
    size_t i = home_slot(m, key);
    while (m->slots[i].value && m->slots[i].key != key) {
        i = (i + 1) & (m->cap - 1);
    }
    return i;
}

void *
map_get(const struct map *m, uint64_t key)
{
    return m->cap ? m->slots[find_slot(m, key)].value : NULL;
}

static void
grow(struct map *m)
{
    struct map old = *m;
    m->cap = old.cap ? old.cap * 2 : 64;
    m->slots = mem_calloc(m->cap, sizeof(*m->slots));
    for (size_t i = 0; i < old.cap; i++) {
        if (old.slots[i].value) {
            m->slots[find_slot(m, old.slots[i].key)] = old.slots[i];
        }
    }
    free(old.slots);
}

void
map_put(struct map *m, uint64_t key, void *value)
{
    if (m->count * 2 >= m->cap) {
        grow(m);
    }
    size_t i = find_slot(m, key);
    m->count += m->slots[i].value == NULL;
    m->slots[i] = (struct map_slot){key, value};
}

void *
map_remove(struct map *m, uint64_t key)
{
    if (!m->cap) {
        return NULL;
    }
    size_t i = find_slot(m, key);
    void *value = m->slots[i].value;
    if (!value) {
        return NULL;
    }
    m->slots[i].value = NULL;
    m->count--;
    /* Moves back the entries whose probe sequence passed the freed slot. */
    size_t mask = m->cap - 1;
    for (size_t j = (i + 1) & mask; m->slots[j].value; j = (j + 1) & mask) {
        size_t h = home_slot(m, m->slots[j].key);
        if (((j - h) & mask) >= ((j - i) & mask)) {
            m->slots[i] = m->slots[j];
            m->slots[j].value = NULL;
            i = j;
        }
    }
    return value;
}

void
map_free(struct map *m)
{
    free(m->slots);
    *m = (struct map){0};
}

void *
map_next(const struct map *m, size_t *position)
{
    while (*position < m->cap) {
        void *v = m->slots[(*position)++].value;
        if (v) {
            return v;
        }
    }
    return NULL;
}
