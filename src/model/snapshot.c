#include "model/snapshot.h"

#include <stdlib.h>

static void
release_documents(struct snapshot *s)
{
    fleet_free(s->fleet);
    vmlist_free(s->vmlist);
}

struct snapshot *
snapshot_new(struct fleet *fleet, struct vmlist *vmlist,
             int64_t config_revision, struct str own_zone)
{
    struct snapshot *s = mem_calloc(1, sizeof(*s));
    s->refs = 1;
    s->config_revision = config_revision;
    s->node_count = 1;
    s->fleet = fleet;
    s->vmlist = vmlist;
    s->release = release_documents;
    s->own_zone = fleet_find_zone(fleet, own_zone);
    int count = vmlist ? vmlist->endpoint_count : 0;
    s->endpoints = mem_calloc((size_t)count, sizeof(*s->endpoints));
    for (int i = 0; i < count; i++) {
        const struct vmlist_endpoint *e = &vmlist->endpoints[i];
        int pool = fleet_find_pool(fleet, e->pool);
        int zone = fleet_find_zone(fleet, e->zone);
        if (pool < 0 || zone < 0) {
            continue;
        }
        s->endpoints[s->endpoint_count++] = (struct snapshot_endpoint){
            .id = e->id,
            .url = e->url,
            .vm = e->vm,
            .pool = pool,
            .zone = zone,
            .usable = !e->leaving && !fleet->zones[zone].out &&
                      !fleet_vm_out_of_service(fleet, e->vm),
        };
    }
    return s;
}

struct snapshot *
snapshot_ref(struct snapshot *s)
{
    __atomic_add_fetch(&s->refs, 1, __ATOMIC_RELAXED);
    return s;
}

void
snapshot_unref(struct snapshot *s)
{
    /* Acquire-release order: reads by other holders complete before the
     * memory is freed. */
    if (s && __atomic_sub_fetch(&s->refs, 1, __ATOMIC_ACQ_REL) == 0) {
        s->release(s);
        free(s->endpoints);
        free(s);
    }
}
