#include "control/peers.h"

#include <stdlib.h>
#include <string.h>

#define NEVER (INT64_MIN / 4)

struct peer *
peers_find(const struct peers *p, uint64_t node)
{
    for (int i = 0; i < p->count; i++) {
        if (p->list[i].node == node) {
            return &p->list[i];
        }
    }
    return NULL;
}

static void
release(struct peer *list, int count)
{
    for (int i = 0; i < count; i++) {
        str_free(&list[i].name);
        str_free(&list[i].address);
        str_free(&list[i].zone);
        str_free(&list[i].region);
    }
    free(list);
}

/* Appends a copy of the entry, strings included. */
static struct peer *
append(struct peers *p, const struct peer *from)
{
    p->list = mem_realloc(p->list, (size_t)p->count + 1, sizeof(*p->list));
    struct peer *peer = &p->list[p->count++];
    *peer = *from;
    peer->name = str_dup(from->name);
    peer->address = str_dup(from->address);
    peer->zone = str_dup(from->zone);
    peer->region = str_dup(from->region);
    peer->last_message_us = NEVER;
    return peer;
}

static void
append_self(struct peers *p)
{
    struct peer me = {
        .node = p->self.node,
        .process_incarnation = p->self.process_incarnation,
        .name = p->self.name,
        .address = p->self.address,
        .zone = p->self.zone,
        .region = p->self.region,
    };
    append(p, &me);
}

void
peers_init(struct peers *p, const struct peers_self *self)
{
    *p = (struct peers){.self = *self, .view_changed = true};
    p->self.name = str_dup(self->name);
    p->self.address = str_dup(self->address);
    p->self.zone = str_dup(self->zone);
    p->self.region = str_dup(self->region);
    append_self(p);
}

void
peers_clear(struct peers *p)
{
    release(p->list, p->count);
    str_free(&p->self.name);
    str_free(&p->self.address);
    str_free(&p->self.zone);
    str_free(&p->self.region);
    free(p->view_members);
}

void
peers_add_seed(struct peers *p, uint64_t node, struct str address)
{
    struct peer seed = {.node = node, .address = address};
    if (!peers_find(p, node)) {
        append(p, &seed);
        p->view_changed = true;
    }
}

const struct view *
peers_view(struct peers *p)
{
    if (!p->view_changed) {
        return &p->view;
    }
    p->view_members = mem_realloc(p->view_members, (size_t)p->count,
                                  sizeof(*p->view_members));
    for (int i = 0; i < p->count; i++) {
        const struct peer *e = &p->list[i];
        p->view_members[i] = (struct view_member){
            .node = e->node,
            .incarnation = e->process_incarnation,
            .name = e->name,
            .address = e->address,
            .zone = e->zone,
            .region = e->region,
            .alive = e->node == p->self.node || e->state == MEMBER_ALIVE ||
                     e->state == MEMBER_SUSPECT,
            .in_roster = e->in_roster,
        };
    }
    p->view.self = p->self.node;
    p->view.version++;
    p->view.count = p->count;
    p->view.members = p->view_members;
    p->view_changed = false;
    return &p->view;
}

/* Copies the known state of a member into its entry of the new roster. */
static void
copy_known_state(struct peer *to, const struct peer *old, int64_t now_us)
{
    to->process_incarnation = old->process_incarnation;
    to->last_message_us = old->last_message_us;
    if (to->roster_incarnation > old->roster_incarnation &&
        to->roster_incarnation > old->process_incarnation) {
        /* A new process joined with this id and has no documents yet. */
        to->since_us = now_us;
        to->state_incarnation = old->state_incarnation > to->state_incarnation
                                    ? old->state_incarnation
                                    : to->state_incarnation;
        return;
    }
    memcpy(to->revisions, old->revisions, sizeof(to->revisions));
    to->state_incarnation = old->state_incarnation > to->state_incarnation
                                ? old->state_incarnation
                                : to->state_incarnation;
    to->state = old->state;
    to->since_us = old->since_us;
}

void
peers_set_roster(struct peers *p, int64_t now_us, const struct roster *r)
{
    struct peer *old = p->list;
    int old_count = p->count;
    p->list = NULL;
    p->count = 0;
    for (int i = 0; i < r->count; i++) {
        const struct roster_member *rm = &r->members[i];
        struct peer entry = {
            .node = rm->node,
            .name = rm->name,
            .address = rm->address,
            .zone = rm->zone,
            .region = rm->region,
            .in_roster = true,
            .vote = rm->vote,
            .roster_incarnation = rm->incarnation,
            .state_incarnation = rm->incarnation,
            .since_us = now_us,
        };
        struct peer *e = append(p, &entry);
        for (int k = 0; k < old_count; k++) {
            if (old[k].node == e->node && e->node != p->self.node) {
                copy_known_state(e, &old[k], now_us);
            }
        }
        if (e->node == p->self.node) {
            e->process_incarnation = p->self.process_incarnation;
        }
    }
    if (!peers_find(p, p->self.node)) {
        append_self(p);
    }
    release(old, old_count);
    p->view_changed = true;
}

void
peers_set_state(struct peers *p, int64_t now_us, struct peer *peer,
                enum member_state state)
{
    bool was_alive =
        peer->state == MEMBER_ALIVE || peer->state == MEMBER_SUSPECT;
    bool is_alive = state == MEMBER_ALIVE || state == MEMBER_SUSPECT;
    peer->state = state;
    peer->since_us = now_us;
    p->view_changed |= was_alive != is_alive;
}

bool
peers_is_confirmed(const struct peers *p, struct str region,
                   enum doc_kind kind, int64_t revision, int64_t own)
{
    int voters = 0;
    int have = 0;
    for (int i = 0; i < p->count; i++) {
        const struct peer *e = &p->list[i];
        if (e->vote && str_eq(e->region, region)) {
            int64_t known = e->node == p->self.node ? own : e->revisions[kind];
            voters++;
            have += known >= revision;
        }
    }
    return voters == 0 || have > voters / 2;
}
