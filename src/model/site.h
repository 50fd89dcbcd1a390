/**
 * @file site.h
 * The state that traffic threads use: the configuration, the endpoints in
 * service and the nodes that share the limits. Immutable and
 * reference-counted.
 */
#ifndef MODEL_SITE_H
#define MODEL_SITE_H

#include "model/routing.h"

/** An endpoint as described by the record that it registered. */
struct endpoint_record {
    struct str id;      /**< owned; may change when the endpoint restarts */
    struct str service; /**< owned, name of its service */
    struct str address; /**< owned, "IP:PORT" */
    struct str zone;    /**< owned */
    int slots;
    bool draining;   /**< finishes its requests and then stops */
    int64_t cold_us; /**< remaining time with reduced capacity, as of the
                          time of the record */
    int64_t born_ms; /**< start time, Unix milliseconds; 0: not reported */
};

/** An endpoint that may receive requests. */
struct site_endpoint {
    struct str id;      /**< owned */
    struct str address; /**< owned */
    struct str zone;    /**< owned */
    int service;        /**< index into the routing's services */
    int slots;
    int64_t cold_until_us; /**< 0: warm */
    int64_t born_ms;
};

/** A registered node. */
struct site_node {
    uint64_t hash;      /**< hash of its name */
    struct str address; /**< owned, "tcp://IP:PORT"; empty: not registered */
    struct str key;     /**< owned, public key, Z85 */
};

struct site {
    atomic_int refs;
    struct routing *routing; /**< one reference */
    int node_count; /**< nodes that share limits, at least 1; may be greater
                         than alive_count */
    int alive_count;
    struct site_node *alive; /**< registered nodes, sorted by hash */
    uint64_t nodes_version;  /**< changes when alive changes */
    int endpoint_count;
    struct site_endpoint *endpoints;
};

/** Creates a site with a reference of its own to @p routing and memory for
 * @p capacity endpoints and @p nodes nodes. */
struct site *site_new(struct routing *routing, int node_count, int capacity,
                      int nodes);
/** Adds a node by its name and the value that it registered, "ADDRESS KEY". */
void site_add_node(struct site *s, struct str name, struct str registered);
/** Sorts the nodes by hash; call this after the last site_add_node. */
void site_sort_nodes(struct site *s);
/** Returns the index of the first node whose hash is at least @p hash, or
 * alive_count if there is none. */
int site_node_at(const struct site *s, uint64_t hash);
/** Returns the node with this hash, or NULL if none is registered. */
const struct site_node *site_find_node(const struct site *s, uint64_t hash);
struct site *site_ref(struct site *s);
void site_unref(struct site *s);
/** Adds an endpoint with copies of the strings of @p e. */
void site_add(struct site *s, const struct endpoint_record *e, int service,
              int64_t cold_until_us);

/** Frees the strings of a record and zeroes all its fields. */
void endpoint_record_free(struct endpoint_record *e);

#endif
