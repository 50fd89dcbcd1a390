/**
 * @file map.h
 * Hash map from 64-bit keys to pointers (open addressing). Does not own the
 * values. NULL is not a value.
 */
#ifndef FLOW_MAP_H
#define FLOW_MAP_H

#include <stddef.h>
#include <stdint.h>

struct map_slot {
    uint64_t key;
    void *value;
};

/** Zero-initialised: empty. */
struct map {
    struct map_slot *slots;
    size_t cap; /**< power of two */
    size_t count;
};

void *map_get(const struct map *m, uint64_t key);
void map_put(struct map *m, uint64_t key, void *value);

/** Removes and returns the value; NULL if the key is absent. */
void *map_del(struct map *m, uint64_t key);
void map_free(struct map *m);

/** Iteration: *at starts at 0; returns NULL at the end. The map must not
 * change meanwhile. */
void *map_next(const struct map *m, size_t *at);

#endif
