/**
 * @file compose.h
 * Bodies of stage calls, results of stages and the final answer, as JSON.
 * Pure functions.
 *
 * The text of a request is its member "input", else "query", else "prompt",
 * else the whole body as compact JSON. Results by kind: encode: the
 * embedding; retrieve and rerank: an array of documents; generate: the text;
 * service: the answer itself.
 */
#ifndef FLOW_COMPOSE_H
#define FLOW_COMPOSE_H

#include <jansson.h>

#include "base/str.h"
#include "model/fleet.h"

/** What the composition reads; nothing is owned. */
struct compose_in {
    const struct fleet *fleet;
    const struct fleet_pipeline *pipeline;
    json_t *request;
    json_t *const *results; /**< by stage; NULL where a stage did not run */
    struct str request_id;
    unsigned replayed; /**< bit set of stages answered from a record */
};

/** Body of a stage call, owned. @p resume_from: tokens already held. */
struct str compose_body(const struct compose_in *in, int stage,
                        int resume_from);

/** Hash of the first 1 KB of a generate stage's prompt; 0 for other kinds. */
uint64_t compose_prefix(const struct compose_in *in, int stage);

/** The result in an endpoint's answer, a new reference; NULL if the answer
 * is not whole. A non-repeatable stage has a result in any case, since its
 * action was performed: text that is not JSON becomes a string or null. */
json_t *compose_result(const struct compose_in *in, int stage,
                       struct str body);

/** The caller's answer, owned. */
struct str compose_answer(const struct compose_in *in);

#endif
