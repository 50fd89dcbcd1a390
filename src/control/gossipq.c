#include "control/gossipq.h"

#include <stdlib.h>
#include <string.h>

/* Bounds the queue when many strikes are recorded at once. */
#define MAX_QUEUED_DELTAS 1024

struct entry {
    struct gossip g;
    int sends_left;
};

struct gossipq {
    int count;
    int cap;
    struct entry *entries;
};

struct gossipq *
gossipq_new(void)
{
    return mem_calloc(1, sizeof(struct gossipq));
}

void
gossipq_free(struct gossipq *q)
{
    if (q) {
        free(q->entries);
        free(q);
    }
}

static bool
same_subject(const struct gossip *a, const struct gossip *b)
{
    if (a->kind != b->kind) {
        return false;
    }
    switch (a->kind) {
    case GOSSIP_MEMBER:
        return a->member.node == b->member.node;
    case GOSSIP_SUSPECT:
        return digest_eq(a->suspect.content, b->suspect.content);
    case GOSSIP_ENDPOINT:
        return str_eq(a->endpoint.endpoint, b->endpoint.endpoint);
    }
    return false;
}

static int
find_fewest_sends_left(const struct gossipq *q)
{
    int at = 0;
    for (int i = 1; i < q->count; i++) {
        if (q->entries[i].sends_left < q->entries[at].sends_left) {
            at = i;
        }
    }
    return at;
}

void
gossipq_put(struct gossipq *q, const struct gossip *g, int sends)
{
    int at = 0;
    while (at < q->count && !same_subject(&q->entries[at].g, g)) {
        at++;
    }
    if (at == q->count && q->count == MAX_QUEUED_DELTAS) {
        at = find_fewest_sends_left(q);
    }
    else if (at == q->count) {
        if (q->count == q->cap) {
            q->cap = q->cap ? q->cap * 2 : 16;
            q->entries =
                mem_realloc(q->entries, (size_t)q->cap, sizeof(*q->entries));
        }
        q->count++;
    }
    q->entries[at] = (struct entry){*g, sends};
}

int
gossipq_take(struct gossipq *q, struct gossip *out, int max)
{
    int taken = 0;
    while (taken < max && taken < q->count) {
        int best = taken;
        for (int i = taken + 1; i < q->count; i++) {
            if (q->entries[i].sends_left > q->entries[best].sends_left) {
                best = i;
            }
        }
        struct entry e = q->entries[best];
        q->entries[best] = q->entries[taken];
        e.sends_left--;
        out[taken] = e.g;
        q->entries[taken++] = e;
    }
    int kept = 0;
    for (int i = 0; i < q->count; i++) {
        if (q->entries[i].sends_left > 0) {
            q->entries[kept++] = q->entries[i];
        }
    }
    q->count = kept;
    return taken;
}

int
gossipq_size(const struct gossipq *q)
{
    return q->count;
}

int
gossipq_send_count(int nodes)
{
    int n = 4;
    for (int reach = 1; reach < nodes; reach *= 2) {
        n += 3;
    }
    return n;
}
