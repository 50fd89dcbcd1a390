/**
 * @file snapshot.h
 * What the traffic threads know of the fleet: an immutable, reference-counted
 * view of configuration and endpoints, made by the control core. The
 * reference count is atomic; everything else never changes after creation.
 */
#ifndef MODEL_SNAPSHOT_H
#define MODEL_SNAPSHOT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "model/fleet.h"
#include "model/vmlist.h"

/** One endpoint as seen by the control core. */
struct snapshot_endpoint {
    struct str id; /**< stable across snapshots */
    struct str url;
    struct str vm;
    int pool;    /**< index into fleet.pools */
    int zone;    /**< index into fleet.zones */
    bool usable; /**< zone and VM in service, not leaving */
    bool cold;   /**< only with credits from its owner */
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
    /** Set by the maker: releases fleet and vmlist when refs drops to 0. */
    void (*release)(struct snapshot *s);
};

/** Builds a snapshot with one reference. Takes ownership of fleet and vmlist.
 * Endpoints of unknown pools or zones are left out. Every endpoint starts
 * with cold = false; the maker sets it before publishing. */
struct snapshot *snapshot_new(struct fleet *fleet, struct vmlist *vmlist,
                              int64_t config_revision, struct str own_zone);
struct snapshot *snapshot_ref(struct snapshot *s);
void snapshot_unref(struct snapshot *s);

#endif
