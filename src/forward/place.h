/**
 * @file place.h
 * Selects an endpoint for a request. For engines it weighs the prompt parts in
 * the engine's cache against the prompts queued there. Rendezvous hashing
 * gives every node the same engine order for a shared part, without
 * coordination. Spreads hot parts and bursts, and avoids slow and failing
 * endpoints.
 */
#ifndef FORWARD_PLACE_H
#define FORWARD_PLACE_H

#include "forward/endpoints.h"
#include "forward/types.h"

/** Maximum number of endpoints recorded as tried by one request. */
#define PLACE_MAX_TRIED 8

struct place_prompt {
    int count;
    uint64_t chain[FORWARD_MAX_PARTS]; /**< digest of each part and all parts
                                          before it */
    int tokens[FORWARD_MAX_PARTS];
    int64_t total; /**< prompt tokens */
};

struct place_query {
    const struct place_prompt
        *prompt; /**< NULL: the service is not an engine */
    struct str
        zone; /**< preferred zone: of this node or of the stage results */
    int64_t zone_penalty_us; /**< added cost of an endpoint in another zone */
    int tried_count;
    uint64_t tried[PLACE_MAX_TRIED]; /**< hashes of the endpoint ids */
    int nodes;
    int64_t output_tokens; /**< memory that the output needs */
    bool skip_silent; /**< endpoints that seem to be silent do not count */
};

/** Computes the part digests of a request. */
void place_prompt_init(struct place_prompt *p,
                       const struct forward_request *r);

/** Estimates the time until an engine has prefilled the prompt.
 * @param uncached set to the tokens that are not cached; may be NULL */
int64_t place_prefill_us(const struct endpoint *e,
                         const struct place_prompt *p, int64_t now_us,
                         int64_t *uncached);

/** Returns by what the known work of other nodes is multiplied, since each
 * node hears of some of them only. */
double place_remote_scale(int nodes);
/** Returns the prompt tokens that wait at an engine, those of other nodes
 * included. */
double place_queued_tokens(const struct endpoint *e, int64_t now_us);

/** @return the endpoint with the lowest cost that accepts work now, NULL if
 * there is none */
struct endpoint *place_select(const GPtrArray *endpoints,
                              const struct place_query *query, int64_t now_us);

/** Returns whether an engine is in service and none that is has memory. */
bool place_engines_full(const GPtrArray *endpoints,
                        const struct place_query *query, int64_t now_us);

/** Returns when an endpoint will accept work again; INT64_MAX if no endpoint
 * is in service. */
int64_t place_next_available_us(const GPtrArray *endpoints,
                                const struct place_query *query,
                                int64_t now_us);

#endif
