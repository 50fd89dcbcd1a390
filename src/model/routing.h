/**
 * @file routing.h
 * The forwarding configuration: routes, services, teams and limits. It is
 * reference-counted and does not change after creation, so traffic threads
 * read it without locks.
 */
#ifndef MODEL_ROUTING_H
#define MODEL_ROUTING_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/** Maximum number of stages in a route. */
#define ROUTING_MAX_STAGES 16
/** Maximum number of services that share the traffic of a route. */
#define ROUTING_MAX_TARGETS 8

/** Whether and how a request may be sent again after a failure. */
enum repeat_policy {
    REPEAT_IDEMPOTENT,   /**< may run any number of times */
    REPEAT_AT_MOST_ONCE, /**< runs at most once */
    REPEAT_STREAM,       /**< an event stream; see route.resumable */
};

/** A service that receives a weighted share of a route's requests. */
struct route_target {
    int service; /**< index into routing.services */
    double weight;
};

/** A stage that must complete before the request itself can run. */
struct route_stage {
    int service;      /**< index into routing.services */
    uint32_t after;   /**< bit set of the stages whose results this stage
                           needs */
    int64_t bytes;    /**< approximate size of one result */
    bool feeds_stage; /**< another stage needs the results of this one */
};

struct route {
    struct str name;   /**< owned */
    struct str host;   /**< owned, lower case */
    struct str prefix; /**< owned, begins and ends with a slash */
    enum repeat_policy kind;
    bool resumable; /**< a stream may resume at another endpoint */
    bool is_public; /**< callers need no team credential */
    bool prompts;   /**< requests carry prompts, whose parts engines cache */
    int64_t timeout_us;       /**< longest time that a caller waits */
    int64_t target_us;        /**< latency objective */
    int64_t max_event_gap_us; /**< longest pause between events */
    int64_t
        caller_disconnect_us; /**< callers disconnect from a stream after this
                       time without an event; 0: they do not disconnect */
    int priority;             /**< 0 is the highest */
    int max_attempts;         /**< endpoints that one request may be sent to */
    int target_count;
    struct route_target targets[ROUTING_MAX_TARGETS];
    int stage_count;
    struct route_stage stages[ROUTING_MAX_STAGES];
};

/** Limits of each endpoint of a service that processes pieces of stages. */
struct piece_limits {
    int slots;                   /**< calls processed concurrently */
    int queue;                   /**< maximum number of queued calls */
    int batch;                   /**< maximum number of pieces in a call */
    int64_t call_us;             /**< fixed time of a call */
    int64_t item_us;             /**< additional time for each piece */
    int64_t result_memory_bytes; /**< memory for results */
    int64_t result_ttl_us;       /**< lifetime of a result */
};

struct service {
    struct str name;        /**< owned */
    struct str health_path; /**< owned */
    int max_connections;    /**< limit per endpoint, for all nodes together */
    int64_t cold_us;        /**< how long an endpoint is cold after a start */
    double cold_requests_per_s; /**< request rate limit of a cold endpoint; 0:
                                   none */
    bool is_engine;
    int engine_slots;
    int64_t engine_tokens; /**< memory of an engine in tokens */
    bool processes_pieces;
    struct piece_limits pieces;
};

struct routing_team {
    struct str name; /**< owned */
    int priority;    /**< -1: the priority of the route applies */
};

/** Limits on requests from callers. */
struct caller_limits {
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t header_timeout_ms;
    int64_t idle_timeout_ms;
};

struct routing;

/** Creates an empty configuration with one reference. The creator fills it
 * before sharing it. */
struct routing *routing_new(int64_t version);
struct routing *routing_ref(struct routing *r);
void routing_unref(struct routing *r);

int64_t routing_version(const struct routing *r);
struct caller_limits *routing_caller_limits(struct routing *r);

/** Adds a service and takes ownership of its strings. @return its index */
int routing_add_service(struct routing *r, const struct service *s);
/** Adds a route and takes ownership of its strings. */
void routing_add_route(struct routing *r, const struct route *route);
/** Makes all routes that are not public require a team's credential, also if
 * there is no team. */
void routing_require_credentials(struct routing *r);
/** Adds a team and takes ownership of its strings. Implies
 * routing_require_credentials. @return its index */
int routing_add_team(struct routing *r, const struct routing_team *t);
/** Adds a credential that authenticates callers as a team. */
void routing_add_credential(struct routing *r, struct str key, int team);

int routing_service_count(const struct routing *r);
const struct service *routing_service(const struct routing *r, int index);
/** @return the index, -1 if there is none */
int routing_find_service(const struct routing *r, struct str name);

bool routing_has_teams(const struct routing *r);
/** Whether callers need a team's credential, except on public routes. True
 * without any team if the last one was removed. */
bool routing_requires_credentials(const struct routing *r);
const struct routing_team *routing_team(const struct routing *r, int index);
/** @return the index of the credential's team, -1 if there is none */
int routing_find_team_by_credential(const struct routing *r, struct str key);

/** Returns the route of @p host whose prefix is the longest that matches
 * @p path, or NULL if there is none. Ignores the port and the case of
 * @p host. */
const struct route *routing_find_route(const struct routing *r,
                                       struct str host, struct str path);
int routing_route_count(const struct routing *r);

#endif
