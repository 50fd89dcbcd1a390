/**
 * @file snapshot.h
 * The fleet state that traffic threads use: an immutable, reference-counted
 * view of the configuration and the endpoints, created by the control core.
 * The reference count is atomic; all other fields are constant once the
 * snapshot is published.
 */
#ifndef MODEL_SNAPSHOT_H
#define MODEL_SNAPSHOT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "model/fleet.h"
#include "model/vmlist.h"

/** An endpoint as known to the control core. */
struct snapshot_endpoint {
    struct str id; /**< stable across snapshots */
    struct str url;
    struct str vm;
    int pool;    /**< index into fleet.pools */
    int zone;    /**< index into fleet.zones */
    bool usable; /**< zone and VM in service, not leaving */
    bool cold;   /**< requires credits from the node that owns it */
};

struct snapshot {
    uint64_t refs; /**< atomic */
    int64_t config_revision;
    int node_count; /**< alive nodes, this one included */
    int own_zone;   /**< index into fleet.zones, -1 if unknown */
    struct fleet *fleet;
    struct vmlist *vmlist;
    int endpoint_count;
    struct snapshot_endpoint *endpoints;
    /** Releases fleet and vmlist when refs drops to 0; set by the creator. */
    void (*release)(struct snapshot *s);
};

/** Builds a snapshot with one reference. Takes ownership of fleet and vmlist.
 * Endpoints of unknown pools or zones are left out. Every endpoint starts
 * with cold = false; the creator sets it before publishing. */
struct snapshot *snapshot_new(struct fleet *fleet, struct vmlist *vmlist,
                              int64_t config_revision, struct str own_zone);
struct snapshot *snapshot_ref(struct snapshot *s);
void snapshot_unref(struct snapshot *s);

#endif
