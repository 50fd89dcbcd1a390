/**
 * @file site.h
 * What a traffic thread knows of the world at one moment: the configuration,
 * the endpoints in service and the number of nodes that share the limits.
 * Immutable and reference-counted.
 */
#ifndef MODEL_SITE_H
#define MODEL_SITE_H

#include "model/routing.h"

/** One endpoint as its own record describes it. */
struct endpoint_record {
    struct str id;      /**< owned; new at most starts */
    struct str service; /**< owned, name */
    struct str address; /**< owned, "IP:PORT" */
    struct str zone;    /**< owned */
    int slots;
    bool draining;   /**< finishes its work and leaves */
    int64_t cold_us; /**< how much longer it bears little, when written */
    int64_t born_ms; /**< start, Unix milliseconds; 0: not told */
};

/** An endpoint that may be used. */
struct site_endpoint {
    struct str id;      /**< owned */
    struct str address; /**< owned */
    struct str zone;    /**< owned */
    int service;        /**< index into the routing's services */
    int slots;
    int64_t cold_until_us; /**< 0: warm */
    int64_t born_ms;
};

/** A node of this system. */
struct site_node {
    uint64_t hash;      /**< of its name */
    struct str address; /**< owned, "tcp://IP:PORT"; empty: not told */
    struct str key;     /**< owned, public key, Z85 */
};

struct site {
    atomic_int refs;
    struct routing *routing; /**< one reference */
    int node_count; /**< nodes that share limits, at least 1; may be more than
                         the nodes that are known to live */
    int alive_count;
    struct site_node *alive; /**< nodes that are registered, by hash */
    uint64_t nodes_version;  /**< differs when alive differs */
    int endpoint_count;
    struct site_endpoint *endpoints;
};

/** Takes a reference of @p routing; room for @p capacity endpoints and
 * @p nodes nodes. */
struct site *site_new(struct routing *routing, int node_count, int capacity,
                      int nodes);
/** Adds a node by its name and what it registered, "ADDRESS KEY". */
void site_add_node(struct site *s, struct str name, struct str registered);
/** Orders the nodes, after the last site_add_node. */
void site_sort_nodes(struct site *s);
/** Index of the first node whose hash is not below @p hash; alive_count if
 * there is none. */
int site_node_at(const struct site *s, uint64_t hash);
/** @return NULL: not registered */
const struct site_node *site_find_node(const struct site *s, uint64_t hash);
struct site *site_ref(struct site *s);
void site_unref(struct site *s);
/** Copies the strings. */
void site_add(struct site *s, const struct endpoint_record *e, int service,
              int64_t cold_until_us);

/** Frees the strings of a record and empties it. */
void endpoint_record_free(struct endpoint_record *e);

#endif
