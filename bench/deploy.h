/**
 * @file deploy.h
 * Two deployments, each as a configuration and the service-time models of its
 * endpoints, and the capacity that follows from these models.
 */
#ifndef BENCH_DEPLOY_H
#define BENCH_DEPLOY_H

#include "bench/world.h"

enum deploy_kind { DEPLOY_BOARD, DEPLOY_UTILITY, DEPLOY_COUNT };

/** Pipelines in the order of the configuration. */
enum deploy_pipeline {
    DEPLOY_ASK,     /**< interactive, four stages, streamed */
    DEPLOY_ACTION,  /**< a permit or refund; encode, retrieve, service */
    DEPLOY_DOSSIER, /**< bulk, four stages, long answer */
    DEPLOY_PIPELINES
};

#define DEPLOY_TEAMS 5

struct deploy {
    enum deploy_kind kind;
    const char *name;
    int64_t client_latency_us;
    double share[DEPLOY_PIPELINES]; /**< of all requests, by pipeline */
    int64_t deadline_ms[DEPLOY_PIPELINES];
    double team_share[DEPLOY_TEAMS];
    struct str config; /**< owned */
};

void deploy_init(struct deploy *d, enum deploy_kind kind);
void deploy_free(struct deploy *d);

/** Creates a world with the endpoints of the deployment and does not start
 * it. */
struct world *deploy_new_world(const struct deploy *d, uint64_t seed,
                               enum flow_policy policy, int nodes);

/** Creates the same world with a broken variant that the checks must
 * detect. */
struct world *deploy_new_mutated_world(const struct deploy *d, uint64_t seed,
                                       int nodes,
                                       enum world_mutation mutation);

/** @return requests a second of this mix that the bottleneck pool can
 * serve */
double deploy_capacity_per_s(const struct deploy *d, struct world *w);

/** @return slot seconds that a request of a pipeline needs in a pool, by the
 * service-time models */
double deploy_work_s(const struct deploy *d, struct world *w, int pipeline,
                     int pool);

#endif
