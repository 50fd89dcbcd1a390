/**
 * @file fleet.h
 * The active fleet configuration: zones, pools, pipelines, teams,
 * operators, and settings resolved from defaults and exceptions. Parsed from
 * the JSON document `cf/config` and immutable afterwards.
 */
#ifndef MODEL_FLEET_H
#define MODEL_FLEET_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/str.h"

/* Columns: id, name, minimum, maximum, default. Names contain the unit. */
#define FLEET_SETTING_LIST(X)                                                 \
    X(DEADLINE_MS, "deadline_ms", 10, 3600000, 8000)                          \
    X(MAX_BODY_BYTES, "max_body_bytes", 64, 16777216, 1048576)                \
    X(COLD_CONCURRENCY, "cold_concurrency", 1, 64, 2)                         \
    X(WARM_SUCCESSES, "warm_successes", 1, 10000, 16)                         \
    X(MAX_IN_FLIGHT, "max_in_flight", 1, 4096, 16)                            \
    X(QUEUE_LIMIT, "queue_limit", 1, 100000, 256)                             \
    X(RETRY_BUDGET_PCT, "retry_budget_pct", 0, 100, 10)                       \
    X(HEDGE_BUDGET_PCT, "hedge_budget_pct", 0, 100, 5)                        \
    X(EJECT_MAX_PCT, "eject_max_pct", 0, 100, 30)                             \
    X(BULK_MAX_WAIT_MS, "bulk_max_wait_ms", 100, 3600000, 10000)              \
    X(SUSPECT_HOLD_MS, "suspect_hold_ms", 1000, 86400000, 300000)             \
    X(SILENCE_FLOOR_MS, "silence_floor_ms", 10, 60000, 250)                   \
    X(AFFINITY_MS, "affinity_ms", 0, 3600000, 30000)                          \
    X(CLAIM_HORIZON_MS, "claim_horizon_ms", 10000, 604800000, 86400000)       \
    X(TEAM_MAX_IN_FLIGHT, "team_max_in_flight", 1, 100000, 1024)              \
    X(TEAM_WEIGHT, "team_weight", 1, 1000, 1)

enum fleet_setting {
#define X(id, name, min, max, default_value) FLEET_##id,
    FLEET_SETTING_LIST(X)
#undef X
        FLEET_SETTING_COUNT
};

/* Columns: id, name, default engine path of stages without a path. */
#define STAGE_KIND_LIST(X)                                                    \
    X(ENCODE, "encode", "/v1/embeddings")                                     \
    X(RETRIEVE, "retrieve", "/retrieve")                                      \
    X(RERANK, "rerank", "/v1/rerank")                                         \
    X(GENERATE, "generate", "/v1/completions")                                \
    X(SERVICE, "service", "/")

enum stage_kind {
#define X(id, name, path) STAGE_##id,
    STAGE_KIND_LIST(X)
#undef X
        STAGE_KIND_COUNT
};

/* Request classes in order of priority, highest first. */
#define REQUEST_CLASS_LIST(X)                                                 \
    X(INTERACTIVE, "interactive")                                             \
    X(ACTION, "action")                                                       \
    X(BULK, "bulk")

enum request_class {
#define X(id, name) CLASS_##id,
    REQUEST_CLASS_LIST(X)
#undef X
        CLASS_COUNT
};

#define FLEET_MAX_STAGES 8

struct fleet_zone {
    struct str name;
    struct str region;
    bool out;
    struct str reason; /**< why the zone is out of service; empty if in
                            service */
};

struct fleet_pool {
    struct str name;
    enum stage_kind kind;
    bool fencing_checked; /**< engines reject old fencing numbers */
    struct str model;     /**< model that the engines serve; may be empty */
    int64_t settings[FLEET_SETTING_COUNT];
};

struct fleet_stage {
    struct str name;
    enum stage_kind kind;
    int pool; /**< index into fleet.pools */
    struct str path;
    bool repeatable; /**< only a service stage may be non-repeatable */
    int max_tokens;  /**< generate stages only */
    int top_k;       /**< retrieve and rerank stages only */
};

struct fleet_pipeline {
    struct str name;
    enum request_class class;
    bool needs_key; /**< has a non-repeatable stage */
    int stage_count;
    struct fleet_stage stages[FLEET_MAX_STAGES];
    int64_t settings[FLEET_SETTING_COUNT];
};

struct fleet_team {
    struct str name;
    unsigned char token_hash[32]; /**< BLAKE2b-256 of the bearer token */
    int64_t settings[FLEET_SETTING_COUNT];
};

struct fleet_operator {
    struct str name;
    unsigned char token_hash[32];
    bool may_edit; /**< true: role "operator"; false: role "viewer",
                            read-only */
};

struct fleet_exception {
    struct str scope; /**< "pool/NAME", "pipeline/NAME" or "team/NAME" */
    enum fleet_setting setting;
    int64_t value;
    struct str reason;
};

struct fleet {
    int64_t defaults[FLEET_SETTING_COUNT];
    int zone_count;
    struct fleet_zone *zones;
    int pool_count;
    struct fleet_pool *pools;
    int pipeline_count;
    struct fleet_pipeline *pipelines;
    int team_count;
    struct fleet_team *teams;
    int operator_count;
    struct fleet_operator *operators;
    int exception_count;
    struct fleet_exception *exceptions;
    int vm_out_count;
    struct str *vms_out;
    json_t *doc; /**< owned; all strings above point into it */
};

/**
 * Parses and validates a configuration document. Appends all errors to
 * @p errors, one per line with the path of the setting.
 * @return ST_OK and an owned *out, or ST_INVALID.
 */
enum status fleet_parse(struct str text, struct fleet **out,
                        struct buf *errors);
void fleet_free(struct fleet *f);

/** Return the index of the named entry, or -1 if there is none. */
int fleet_find_zone(const struct fleet *f, struct str name);
int fleet_find_pool(const struct fleet *f, struct str name);
int fleet_find_pipeline(const struct fleet *f, struct str name);

/**
 * Finds the team or operator whose credential is @p token. Compares all
 * entries, each in constant time. @return the index, or -1 if there is none
 */
int fleet_authenticate_team(const struct fleet *f, struct str token);
int fleet_authenticate_operator(const struct fleet *f, struct str token);

/** Writes the hash of a credential as 64 lower-case hex digits and a NUL. */
void fleet_format_token_hash(struct str token, char hex[65]);

/** Returns true if operators took the VM out of service. */
bool fleet_vm_out_of_service(const struct fleet *f, struct str vm);

const char *fleet_setting_name(enum fleet_setting s);
/** Returns the setting of this name, or FLEET_SETTING_COUNT if unknown. */
enum fleet_setting fleet_find_setting(struct str name);
const char *stage_kind_name(enum stage_kind k);
const char *request_class_name(enum request_class c);

#endif
