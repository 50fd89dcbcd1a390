/**
 * @file map.h
 * Hash map from 64-bit keys to pointers (open addressing). The map does not
 * own the values. A value cannot be NULL.
 */
#ifndef FLOW_MAP_H
#define FLOW_MAP_H

#include <stddef.h>
#include <stdint.h>

struct map_slot {
    uint64_t key;
    void *value;
};

/** A zero-initialised map is empty. */
struct map {
    struct map_slot *slots;
    size_t cap; /**< power of two */
    size_t count;
};

/** Returns the value, or NULL if the key is absent. */
void *map_get(const struct map *m, uint64_t key);

/** Adds the value or replaces the value of the key. */
void map_put(struct map *m, uint64_t key, void *value);

/** Removes and returns the value; NULL if the key is absent. */
void *map_remove(struct map *m, uint64_t key);
void map_free(struct map *m);

/** Iterates over the values: *position starts at 0; returns NULL at the end.
 * The map must not change during the iteration. */
void *map_next(const struct map *m, size_t *position);

#endif
