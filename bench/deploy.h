/**
 * @file deploy.h
 * The two users' deployments at today's sizes, as a configuration and the
 * endpoints' service-time models, and the fluid bound of what they can do.
 */
#ifndef BENCH_DEPLOY_H
#define BENCH_DEPLOY_H

#include "bench/world.h"

enum deploy_kind { DEPLOY_BOARD, DEPLOY_UTILITY, DEPLOY_COUNT };

/** Pipelines in the order of the configuration. */
enum deploy_pipeline {
    DEPLOY_ASK,     /**< interactive, four stages, streamed */
    DEPLOY_ACTION,  /**< permit or refund: encode, retrieve, service */
    DEPLOY_DOSSIER, /**< bulk, four stages, long answer */
    DEPLOY_PIPELINES
};

#define DEPLOY_TEAMS 5

struct deploy {
    enum deploy_kind kind;
    const char *name;
    int64_t client_us;
    double share[DEPLOY_PIPELINES]; /**< of the requests */
    int64_t deadline_ms[DEPLOY_PIPELINES];
    double team_share[DEPLOY_TEAMS];
    struct str config; /**< owned */
};

void deploy_init(struct deploy *d, enum deploy_kind kind);
void deploy_free(struct deploy *d);

/** A world with the deployment's endpoints, not yet started. */
struct world *deploy_world(const struct deploy *d, uint64_t seed,
                           enum flow_policy policy, int nodes);

/** The same with a broken variant, for the checks' own tests. */
struct world *deploy_world_mutated(const struct deploy *d, uint64_t seed,
                                   int nodes, enum world_mutation mutation);

/** Requests a second that the scarcest pool can serve for the mix. */
double deploy_capacity(const struct deploy *d, struct world *w);

/** Seconds of one endpoint slot that a request of a pipeline needs in a
 * pool, by the models. */
double deploy_work(const struct deploy *d, struct world *w, int pipeline,
                   int pool);

#endif
