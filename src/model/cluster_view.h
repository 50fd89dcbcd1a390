/**
 * @file cluster_view.h
 * The state that traffic threads use: the configuration, the endpoints in
 * service and the nodes that share the limits. Immutable and
 * reference-counted.
 */
#ifndef MODEL_CLUSTER_VIEW_H
#define MODEL_CLUSTER_VIEW_H

#include "model/routing.h"

/** An endpoint as described by the record that it registered. */
struct endpoint_record {
    struct str id;      /**< owned; may change when the endpoint restarts */
    struct str service; /**< owned, name of its service */
    struct str address; /**< owned, "IP:PORT" */
    struct str zone;    /**< owned */
    struct str version; /**< owned, of its program; empty: not reported */
    int slots;
    bool draining;      /**< finishes its requests and then stops */
    int64_t cold_us;    /**< remaining time with reduced capacity, as of the
                             time of the record */
    int64_t started_ms; /**< start time, Unix milliseconds; 0: not reported */
};

/** An endpoint that may receive requests. */
struct cluster_endpoint {
    struct str id;      /**< owned */
    struct str address; /**< owned */
    struct str zone;    /**< owned */
    struct str version; /**< owned; empty: not reported */
    int service;        /**< index into the routing's services */
    int slots;
    int64_t cold_until_us; /**< 0: warm */
    int64_t started_ms;
};

/** A registered node. */
struct cluster_node {
    uint64_t hash;      /**< hash of its name */
    struct str address; /**< owned, "tcp://IP:PORT"; empty: not registered */
    struct str key;     /**< owned, public key, Z85 */
    int cpu_milli; /**< thousandths of a core that it has; 0: not registered */
    bool weak; /**< has less than half of what the strongest node has, so that
                  it owns endpoint groups only if no other node can */
};

struct cluster_view {
    atomic_int refs;
    struct routing *routing; /**< one reference */
    int node_count; /**< nodes that share limits, at least 1; may be greater
                         than alive_count */
    int alive_count;
    struct cluster_node *alive; /**< registered nodes, sorted by hash */
    uint64_t nodes_version;     /**< changes when alive changes */
    int endpoint_count;
    struct cluster_endpoint *endpoints;
};

/** Creates a cluster view with a reference of its own to @p routing and memory
 * for
 * @p capacity endpoints and @p nodes nodes. */
struct cluster_view *cluster_view_new(struct routing *routing, int node_count,
                                      int capacity, int nodes);
/** Returns whether a value is "tcp://IP:PORT KEY" as a node registers it. */
bool cluster_view_is_registration(struct str registered);
/** Adds a node by its name, the value that it registered, "ADDRESS KEY", and
 * its thousandths of a core (0: not registered). */
void cluster_view_add_node(struct cluster_view *s, struct str name,
                           struct str registered, int cpu_milli);
/** Sorts the nodes by hash and finds the weak ones; call this after the last
 * cluster_view_add_node. */
void cluster_view_sort_nodes(struct cluster_view *s);
/** Returns the index of the first node whose hash is at least @p hash, or
 * alive_count if there is none. */
int cluster_view_lower_bound(const struct cluster_view *s, uint64_t hash);
/** Returns the node with this hash, or NULL if none is registered. */
const struct cluster_node *cluster_view_find_node(const struct cluster_view *s,
                                                  uint64_t hash);
struct cluster_view *cluster_view_ref(struct cluster_view *s);
void cluster_view_unref(struct cluster_view *s);
/** Adds an endpoint with copies of the strings of @p e. */
void cluster_view_add_endpoint(struct cluster_view *s,
                               const struct endpoint_record *e, int service,
                               int64_t cold_until_us);

/** Frees the strings of a record and zeroes all its fields. */
void endpoint_record_free(struct endpoint_record *e);

#endif
