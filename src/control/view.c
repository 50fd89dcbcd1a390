#include "control/view.h"

#include <xxhash.h>

const struct view_member *
view_find(const struct view *v, uint64_t node)
{
    for (int i = 0; i < v->count; i++) {
        if (v->members[i].node == node) {
            return &v->members[i];
        }
    }
    return NULL;
}

static bool
is_eligible(const struct view_member *m)
{
    return m->alive && m->in_roster;
}

int
view_alive_count(const struct view *v)
{
    int n = 0;
    for (int i = 0; i < v->count; i++) {
        n += is_eligible(&v->members[i]);
    }
    return n;
}

static uint64_t
rendezvous_weight(struct str item, uint64_t node)
{
    return XXH3_64bits_withSeed(item.ptr, item.len, node);
}

/* Orders equal weights by node id, so that all nodes agree. */
static bool
ranks_higher(uint64_t weight, uint64_t node, uint64_t than_weight,
             uint64_t than_node)
{
    return weight > than_weight || (weight == than_weight && node > than_node);
}

uint64_t
view_owner(const struct view *v, struct str item, struct str region)
{
    uint64_t best = 0;
    uint64_t best_weight = 0;
    bool best_local = false;
    for (int i = 0; i < v->count; i++) {
        const struct view_member *m = &v->members[i];
        if (!is_eligible(m)) {
            continue;
        }
        bool local = region.len == 0 || str_eq(m->region, region);
        uint64_t weight = rendezvous_weight(item, m->node);
        if (best == 0 || local > best_local ||
            (local == best_local &&
             ranks_higher(weight, m->node, best_weight, best))) {
            best = m->node;
            best_weight = weight;
            best_local = local;
        }
    }
    return best;
}

bool
view_is_in_top(const struct view *v, struct str item, int n, uint64_t node)
{
    const struct view_member *self = view_find(v, node);
    if (!self || !is_eligible(self)) {
        return false;
    }
    uint64_t weight = rendezvous_weight(item, node);
    int higher = 0;
    for (int i = 0; i < v->count && higher < n; i++) {
        const struct view_member *m = &v->members[i];
        higher +=
            is_eligible(m) && ranks_higher(rendezvous_weight(item, m->node),
                                           m->node, weight, node);
    }
    return higher < n;
}
