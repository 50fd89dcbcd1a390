/**
 * @file place.h
 * Chooses an endpoint. For engines: prompt parts already in memory against
 * the prompts that wait there, with a common order of the engines for each
 * shared part, so that nodes agree without telling each other. Answers hot
 * parts, bursts, slow and failing endpoints.
 */
#ifndef FORWARD_PLACE_H
#define FORWARD_PLACE_H

#include "forward/endpoints.h"
#include "forward/types.h"

/** Endpoints that were tried by one request. */
#define PLACE_MAX_TRIED 8

struct place_prompt {
    int count;
    uint64_t chain[FORWARD_MAX_PARTS]; /**< digest of each part and those
                                            before it */
    int tokens[FORWARD_MAX_PARTS];
    int64_t total; /**< prompt tokens */
};

struct place_ask {
    const struct place_prompt *prompt; /**< NULL: not for an engine */
    struct str zone;         /**< that is preferred; of the node or results */
    int64_t zone_penalty_us; /**< cost of another zone */
    int tried_count;
    uint64_t tried[PLACE_MAX_TRIED]; /**< hashes of endpoint ids */
    int nodes;
};

/** Prepares the parts of a request for comparing. */
void place_prompt(struct place_prompt *p, const struct forward_request *r);

/** Expected time until an engine has read the prompt. */
int64_t place_read_us(const struct endpoint *e, const struct place_prompt *p,
                      int64_t now_us, int64_t *uncached);

/** @return the best endpoint that takes work now, NULL if there is none */
struct endpoint *place_choose(const GPtrArray *endpoints,
                              const struct place_ask *ask, int64_t now_us);

/** When an endpoint will take work again; INT64_MAX if none is in service. */
int64_t place_next_us(const GPtrArray *endpoints, const struct place_ask *ask,
                      int64_t now_us);

#endif
