#include "bench/deploy.h"

#include <stdio.h>

struct pool_spec {
    const char *name;
    const char *kind;
    int count;
    struct world_endpoint_model model;
};

#define POOL_COUNT 7

static const char *const zones[DEPLOY_COUNT][4] = {
    {"veraval", "mandvi", "porbandar", "okha"},
    {"westlands", "embakasi", "kasarani", "langata"},
};

static const char *const teams[DEPLOY_COUNT][DEPLOY_TEAMS] = {
    {"carvers", "guild", "clerks", "grants", "archive"},
    {"traders", "inspectors", "clerks", "finance", "labs"},
};

/* 10 model servers in the first deployment and 20 in the second; 18 other
 * servers in each. */
static const struct pool_spec pools[DEPLOY_COUNT][POOL_COUNT] = {
    {{"enc", "encode", 2, {8, 20000, 0, 2, 32, 3, true}},
     {"rerank", "rerank", 2, {8, 40000, 0, 2, 32, 3, true}},
     {"gen", "generate", 6, {8, 120000, 12000, 2, 32, 3, true}},
     {"records", "retrieve", 8, {16, 15000, 0, 4, 16, 2, true}},
     {"ledger", "service", 4, {4, 30000, 0, 4, 16, 2, true}},
     {"roll", "retrieve", 3, {8, 10000, 0, 4, 16, 2, true}},
     {"notice", "service", 3, {8, 10000, 0, 4, 16, 2, true}}},
    {{"enc", "encode", 4, {8, 20000, 0, 2, 32, 3, true}},
     {"rerank", "rerank", 4, {8, 40000, 0, 2, 32, 3, true}},
     {"gen", "generate", 12, {8, 120000, 12000, 2, 32, 3, true}},
     {"records", "retrieve", 8, {16, 15000, 0, 4, 16, 2, true}},
     {"ledger", "service", 4, {4, 30000, 0, 4, 16, 2, true}},
     {"roll", "retrieve", 3, {8, 10000, 0, 4, 16, 2, true}},
     {"notice", "service", 3, {8, 10000, 0, 4, 16, 2, true}}},
};

static void
config_pipelines(struct buf *b)
{
    buf_printf(
        b, "\"pipelines\":{"
           "\"ask\":{\"class\":\"interactive\",\"stages\":["
           "{\"name\":\"encode\",\"pool\":\"enc\"},"
           "{\"name\":\"retrieve\",\"pool\":\"records\"},"
           "{\"name\":\"rerank\",\"pool\":\"rerank\"},"
           "{\"name\":\"generate\",\"pool\":\"gen\",\"max_tokens\":24}]},"
           "\"action\":{\"class\":\"action\",\"stages\":["
           "{\"name\":\"encode\",\"pool\":\"enc\"},"
           "{\"name\":\"roll\",\"pool\":\"roll\"},"
           "{\"name\":\"post\",\"pool\":\"ledger\",\"path\":\"/post\","
           "\"repeatable\":false}]},"
           "\"dossier\":{\"class\":\"bulk\",\"stages\":["
           "{\"name\":\"encode\",\"pool\":\"enc\"},"
           "{\"name\":\"retrieve\",\"pool\":\"records\"},"
           "{\"name\":\"rerank\",\"pool\":\"rerank\"},"
           "{\"name\":\"generate\",\"pool\":\"gen\",\"max_tokens\":96}]}},");
}

static void
config_pools(struct buf *b, enum deploy_kind kind)
{
    buf_printf(b, "\"pools\":{");
    for (int p = 0; p < POOL_COUNT; p++) {
        buf_printf(b, "%s\"%s\":{\"kind\":\"%s\"}", p ? "," : "",
                   pools[kind][p].name, pools[kind][p].kind);
    }
    buf_printf(b, "},\"exceptions\":{");
    for (int p = 0; p < POOL_COUNT; p++) {
        const struct world_endpoint_model *m = &pools[kind][p].model;
        buf_printf(b,
                   "%s\"slots-%s\":{\"scope\":\"pool/%s\",\"setting\":"
                   "\"max_in_flight\",\"value\":%d,\"reason\":\"slots of "
                   "the engine\"},\"cold-%s\":{\"scope\":\"pool/%s\","
                   "\"setting\":\"cold_concurrency\",\"value\":%d,"
                   "\"reason\":\"bears this much cold\"}",
                   p ? "," : "", pools[kind][p].name, pools[kind][p].name,
                   m->slots, pools[kind][p].name, pools[kind][p].name,
                   m->cold_slots);
    }
    buf_printf(b, "},");
}

static void
config_teams(struct buf *b, enum deploy_kind kind)
{
    buf_printf(b, "\"teams\":{");
    for (int t = 0; t < DEPLOY_TEAMS; t++) {
        char token[64];
        char hash[65];
        snprintf(token, sizeof(token), "token-%s", teams[kind][t]);
        fleet_format_token_hash(str_from_cstr(token), hash);
        buf_printf(b, "%s\"%s\":{\"token_hash\":\"%s\"}", t ? "," : "",
                   teams[kind][t], hash);
    }
    buf_printf(b, "}");
}

void
deploy_init(struct deploy *d, enum deploy_kind kind)
{
    *d = (struct deploy){
        .kind = kind,
        .name = kind == DEPLOY_BOARD ? "board" : "utility",
        .client_latency_us = kind == DEPLOY_BOARD ? 3000 : 1000,
        .share = {0.8, 0.1, 0.1},
        .deadline_ms = {4000, 4000, 30000},
        .team_share = {0.4, 0.3, 0.1, 0.1, 0.1},
    };
    struct buf b = {0};
    buf_printf(&b, "{\"defaults\":{\"deadline_ms\":30000},\"zones\":{");
    for (int z = 0; z < 4; z++) {
        buf_printf(&b, "%s\"%s\":{\"region\":\"home\"}", z ? "," : "",
                   zones[kind][z]);
    }
    buf_printf(&b, "},");
    config_pools(&b, kind);
    config_pipelines(&b);
    config_teams(&b, kind);
    buf_printf(&b, "}");
    d->config = buf_take_str(&b);
}

void
deploy_free(struct deploy *d)
{
    str_free(&d->config);
}

static struct world *
new_deploy_world(const struct deploy *d, uint64_t seed,
                 enum flow_policy policy, int nodes,
                 enum world_mutation mutation)
{
    struct world_options o = {
        .mutation = mutation,
        .seed = seed,
        .nodes = nodes,
        .policy = policy,
        .zone_latency_us = 500,
        .client_latency_us = d->client_latency_us,
        .config = d->config.ptr,
        .store_writes_per_s = 300,
    };
    struct world *w = world_new(&o);
    int vm = 0;
    for (int p = 0; p < POOL_COUNT; p++) {
        const struct pool_spec *s = &pools[d->kind][p];
        for (int i = 0; i < s->count; i++) {
            char id[32];
            char host[32];
            snprintf(id, sizeof(id), "%s-%d", s->name, i + 1);
            snprintf(host, sizeof(host), "vm-%d", ++vm);
            world_add_endpoint(w, id, host, s->name,
                               zones[d->kind][(i + p) % 4], &s->model);
        }
    }
    return w;
}

struct world *
deploy_new_world(const struct deploy *d, uint64_t seed,
                 enum flow_policy policy, int nodes)
{
    return new_deploy_world(d, seed, policy, nodes, WORLD_MUT_NONE);
}

struct world *
deploy_new_mutated_world(const struct deploy *d, uint64_t seed, int nodes,
                         enum world_mutation mutation)
{
    return new_deploy_world(d, seed, FLOW_POLICY_FULL, nodes, mutation);
}

static int
stage_tokens(const struct fleet_stage *s)
{
    return s->kind == STAGE_GENERATE ? s->max_tokens : 0;
}

double
deploy_work_s(const struct deploy *d, struct world *w, int pipeline, int pool)
{
    const struct fleet_pipeline *pl = &world_fleet(w)->pipelines[pipeline];
    double sum = 0;
    for (int i = 0; i < pl->stage_count; i++) {
        const struct fleet_stage *s = &pl->stages[i];
        if (s->pool == pool) {
            const struct world_endpoint_model *m = &pools[d->kind][pool].model;
            sum +=
                ((double)m->base_us + (double)m->token_us * stage_tokens(s)) /
                1e6;
        }
    }
    return sum;
}

double
deploy_capacity_per_s(const struct deploy *d, struct world *w)
{
    double best = 1e18;
    for (int p = 0; p < POOL_COUNT; p++) {
        double work = 0;
        double slots = 0;
        for (int k = 0; k < DEPLOY_PIPELINES; k++) {
            work += d->share[k] * deploy_work_s(d, w, k, p);
        }
        for (int i = 0; i < world_endpoint_count(w); i++) {
            const struct world_endpoint *e = world_endpoint(w, i);
            slots += e->pool == p ? e->model.slots : 0;
        }
        if (work > 0 && slots / work < best) {
            best = slots / work;
        }
    }
    return best;
}
