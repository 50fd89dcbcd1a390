/**
 * @file engine.h
 * The parts of the fake model engine without I/O: response bodies, the prompt
 * prefix cache, and the number of concurrent requests that a cold engine
 * handles.
 */
#ifndef FAKES_ENGINE_H
#define FAKES_ENGINE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "model/fleet.h"

/** Prompts with the same first 1024 bytes share a prefix cache entry. */
#define ENGINE_PREFIX_BYTES 1024

/** A cache of prompt prefixes; the least recently used is evicted first. */
struct prefix_cache;
struct prefix_cache *prefix_cache_new(int entries);
void prefix_cache_free(struct prefix_cache *c);
/** Returns the tokens of the prompt that need no prefill, and makes its prefix
 * the most recently used entry. */
int prefix_cache_lookup(struct prefix_cache *c, struct str prompt);

/** Counts the tokens of a prompt: one for each four bytes, and one more. */
int engine_count_tokens(struct str prompt);

/** Returns the prompt of a request body: the member prompt, input or query;
 * borrowed from @p body, "" if there is none. */
struct str engine_request_prompt(json_t *body);

/** Returns the number of tokens of a completion: 50 to 100% of @p max_tokens,
 * depending on the hash of the prompt. */
int engine_completion_tokens(struct str prompt, int max_tokens);

/** Writes token @p index of the completion of a prompt. All engines of one
 * variant give the same token, so that another engine can resume a stream. */
void engine_format_token(struct str prompt, int index, uint64_t variant,
                         char out[16]);

/** Builds the response body of a request that is not streamed; owned
 * (json_decref). */
json_t *engine_build_response(enum stage_kind kind, json_t *body,
                              uint64_t variant);

/** Cold start: the engine handles few concurrent requests until it is warm. */
struct engine_cold {
    bool cold;
    int capacity;            /**< concurrent requests that it can handle now */
    int cold_capacity;       /**< capacity when it turns cold */
    int warm_after_answers;  /**< answers until the engine is warm */
    bool doubles_capacity;   /**< after each run of capacity answers */
    int answers_since_cold;  /**< answers since the engine turned cold */
    int answers_at_capacity; /**< answers since capacity was last doubled */
    int64_t overload;        /**< requests that arrived above capacity */
    int64_t overload_max;    /**< largest excess over capacity at one time */
};

/** Makes the engine cold or warm and resets its counts of answers. */
void engine_cold_set(struct engine_cold *c, bool cold);
/** Counts an answer; the capacity may double, the engine may become warm. */
void engine_cold_count_answer(struct engine_cold *c);
/** Counts an arrived request. @p load: concurrent requests including it.
 * @return true if @p load is above the capacity of a cold engine */
bool engine_cold_count_arrival(struct engine_cold *c, int load);

#endif
