/**
 * @file engine.h
 * The pure part of the fake model engine: what it answers, what its prompt
 * prefix cache holds, and how many requests it bears while cold.
 */
#ifndef FAKES_ENGINE_H
#define FAKES_ENGINE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "model/fleet.h"

/** Prompt bytes that decide which prefix cache entry a prompt uses. */
#define ENGINE_PREFIX_BYTES 1024

/** Least recently used prompt prefixes. */
struct prefix_cache;
struct prefix_cache *prefix_cache_new(int entries);
void prefix_cache_free(struct prefix_cache *c);
/** Tokens of the prompt that need no prefill; remembers the prompt. */
int prefix_cache_use(struct prefix_cache *c, struct str prompt);

/** A token is four bytes of prompt. */
int engine_tokens(struct str prompt);

/** The prompt of a request body: prompt, input or query. */
struct str engine_prompt(json_t *body);

/** Tokens that a completion has; 50 to 100% of max_tokens by content. */
int engine_length(struct str prompt, int max_tokens);

/** Token @p index of the completion of a prompt; the same on all engines of
 * one variant, so that streams can be resumed elsewhere. */
void engine_token(struct str prompt, int index, uint64_t variant,
                  char out[16]);

/** The answer of one of the kinds that are not streamed. */
json_t *engine_answer(enum stage_kind kind, json_t *body, uint64_t variant);

/** Cold start: the endpoint bears few requests until it is warm. */
struct engine_cold {
    bool cold;
    int bears;         /**< concurrent requests it can handle now */
    int start_bears;   /**< bears when it turns cold */
    int warm_after;    /**< answers until it is warm */
    bool doubles;      /**< bears doubles after as many answers as it bears */
    int answers;       /**< since it turned cold */
    int level_answers; /**< since bears was last doubled */
    int64_t overload;  /**< requests that came above bears */
    int64_t overload_max; /**< most requests above bears at one time */
};

void engine_cold_set(struct engine_cold *c, bool cold);
void engine_cold_answered(struct engine_cold *c);
/** A request came and makes @p load; @return true if it is too many. */
bool engine_cold_arrived(struct engine_cold *c, int load);

#endif
