/**
 * @file compose.h
 * Builds the JSON bodies of stage calls and the final answer, and extracts the
 * results of stages from answers. All functions are pure.
 *
 * The text of a request is its member "input", else "query", else "prompt",
 * else the complete body as compact JSON. Results by kind: encode: the
 * embedding; retrieve and rerank: an array of documents; generate: the text;
 * service: the answer itself.
 */
#ifndef FLOW_COMPOSE_H
#define FLOW_COMPOSE_H

#include <jansson.h>

#include "base/str.h"
#include "model/fleet.h"

/** Input of the functions below; nothing is owned. */
struct compose_input {
    const struct fleet *fleet;
    const struct fleet_pipeline *pipeline;
    json_t *request;
    json_t *const *results; /**< by stage; NULL where a stage did not run */
    struct str request_id;
    unsigned replayed; /**< bit set of stages answered from a record */
};

/** Body of a stage call, owned. @p resume_from: number of tokens already
 * received. */
struct str compose_call_body(const struct compose_input *in, int stage,
                             int resume_from);

/** Hash of the first 1 KB of a generate stage's prompt; 0 for other kinds. */
uint64_t compose_prompt_hash(const struct compose_input *in, int stage);

/** Extracts the result of an endpoint's answer, a new reference; NULL if the
 * answer is incomplete. A non-repeatable stage always has a result, since its
 * action was performed: a body that is not JSON becomes a string, an empty one
 * null. */
json_t *compose_result(const struct compose_input *in, int stage,
                       struct str body);

/** Builds the caller's answer, owned by the caller of this function. */
struct str compose_answer(const struct compose_input *in);

#endif
