/**
 * @file engine_load.h
 * Work that all nodes have sent to one engine, as far as this node knows: its
 * own requests and those that other nodes reported. Bounds the memory that
 * running requests need, and shows whether engines carry load in proportion to
 * their capability. Made for engines that some dozens of nodes use at once.
 * Without I/O.
 */
#ifndef FORWARD_ENGINE_LOAD_H
#define FORWARD_ENGINE_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of other nodes' requests that are counted at one engine. */
#define ENGINE_LOAD_REMOTE 64

struct engine_load {
    int64_t held_tokens;   /**< of own requests: prompt tokens that were not
                              cached, and output */
    int64_t pinned_tokens; /**< of own requests: prompt tokens that were */
    struct {
        int64_t until_us; /**< when it has probably ended */
        int64_t held_tokens;
        int64_t pinned_tokens;
    } remote[ENGINE_LOAD_REMOTE];
    int remote_count;
    double work; /**< tokens sent recently, halved every 4 s */
    int64_t work_us;
};

/** What is known of the memory of an engine. */
struct engine_memory {
    int64_t limit_tokens;  /**< 0: unknown */
    int slots;             /**< requests that it runs at once, the others wait
                              without memory; 0: unknown */
    int64_t cached_tokens; /**< shared parts that it caches, bounds the pinned
                              ones */
    double remote_scale;   /**< other nodes / those of which this node gets
                              notices */
};

/** Output of a request that does not say how much it wants, in tokens. */
#define ENGINE_OUTPUT_TOKENS 256
/** Number of ranks whose service is compared; further ones count as the last
 * one. */
#define ENGINE_RANKS 4

/** What is sent to all engines of a service. */
struct engine_traffic {
    double uncached_mean; /**< moving average of a request's prompt tokens that
                             are not cached */
    double requests;      /**< requests of all nodes, halved every 4 s */
    int64_t requests_us;
    double output_mean; /**< moving average of the output that requests of
                           this node may need, in tokens */
    int calls;          /**< that have ended */
    double call_us;     /**< moving average of a call's duration */
    struct {
        double sent;   /**< requests sent to an engine */
        double served; /**< those that got a first event */
    } ranks[ENGINE_RANKS];
    int64_t ranks_us;
};

void engine_traffic_init(struct engine_traffic *t);
/** Returns the decayed number of requests. */
double engine_traffic_requests(const struct engine_traffic *t, int64_t now_us);
/** Returns the requests per second. */
double engine_traffic_rate(const struct engine_traffic *t, int64_t now_us);

/** Adds work of a request, in tokens. */
void engine_load_add_work(struct engine_load *l, int64_t now_us,
                          double tokens);
/** Returns the recent work, in tokens. */
double engine_load_work(const struct engine_load *l, int64_t now_us);
/** Returns the tokens per us that recent work comes to. */
double engine_load_rate(double work);
/** Counts a request of another node until @p until_us. */
void engine_load_add_remote(struct engine_load *l, int64_t now_us,
                            int64_t until_us, int64_t held_tokens,
                            int64_t pinned_tokens);
/** Returns the number of other nodes' requests that still run. */
int engine_load_remote_count(const struct engine_load *l, int64_t now_us);
/** Returns the memory that all running requests need, in tokens.
 * @param own number of requests of this node */
int64_t engine_load_tokens(const struct engine_load *l,
                           const struct engine_memory *m, int own,
                           int64_t now_us);
/** Returns whether a request that holds this many tokens more fits. */
bool engine_load_fits(const struct engine_load *l,
                      const struct engine_memory *m, int own, int64_t tokens,
                      int64_t now_us);
/** Forgets the work of other nodes, after a restart of the engine. */
void engine_load_clear_remote(struct engine_load *l);

#endif
