/**
 * @file engine_speed.h
 * Learns how fast the engines of a service are, from the time between a
 * request and its first event. A model of the service holds what a mean engine
 * needs: idle time, time per prompt token, time per running request. Each
 * engine has a pace, its time relative to that model. A lasting pace (a slow
 * VM) slowly follows the median of samples that are seconds apart, so a slow
 * phase of half a second does not change it; what is seen within a phase
 * counts for the moment only. Made for services whose engines get a request
 * every few seconds from all nodes together. Without I/O.
 */
#ifndef FORWARD_ENGINE_SPEED_H
#define FORWARD_ENGINE_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/** Number of samples of an engine from which its lasting pace is taken. */
#define ENGINE_SPEED_SAMPLES 5
/** Unknowns of the model of a service. */
#define ENGINE_MODEL_TERMS 3

/** One first event of an engine. */
struct engine_sample {
    double actual_us; /**< time from the request to the first event */
    double tokens;    /**< prompt tokens read until then: its own ones that
                         were not cached, and those queued before it */
    double running;   /**< requests that ran beside it */
};

/** Mean engine of a service: ridge regression over the newest samples of all
 * its engines. The ridge holds terms that the samples do not determine at
 * their defaults. */
struct engine_model {
    double products[ENGINE_MODEL_TERMS][ENGINE_MODEL_TERMS];
    double targets[ENGINE_MODEL_TERMS];
    bool fixed;       /**< samples do not count, for comparisons */
    double ratio_log; /**< logarithm of the mean pace of the engines */
    double idle_us;   /**< time to first event of an idle engine without prompt
                       */
    double us_per_token;
    double us_per_running;
};

/** What is known of one engine. */
struct engine_speed {
    struct engine_model *model; /**< of its service; not owned */
    struct {
        struct engine_sample sum; /**< of the samples within one second */
        int count;
        int64_t at_us; /**< first of them */
    } samples[ENGINE_SPEED_SAMPLES];
    int next;         /**< where the next sample is stored */
    double settled;   /**< pace in steps of the classes, slowly following */
    int settle_count; /**< samples that it has followed */
    int pace_class;   /**< class that it was rounded to last */
    double recent;    /**< newest actual time relative to the lasting pace */
    int64_t recent_us;
};

void engine_model_init(struct engine_model *m);
/** @return the time that a mean engine needs for a sample, in us */
double engine_model_expected_us(const struct engine_model *m,
                                const struct engine_sample *s);

/** Records a first event. A sample with queued prompts says something of the
 * sum of all tokens read, so a queue is not taken for a slow engine. */
void engine_speed_record(struct engine_speed *e, int64_t now_us,
                         const struct engine_sample *s);
/** Returns the lasting time of the engine relative to a mean one; 1 if it is
 * unknown or does not differ by more than the noise of the samples. */
double engine_speed_pace(const struct engine_speed *e, int64_t now_us);
/** Returns the pace as a whole number of steps of 1.5, 0 for a mean engine.
 * Nodes with slightly different samples agree on it. */
int engine_speed_class(const struct engine_speed *e, int64_t now_us);
/** Returns the factor by which the engine is slower at the moment than its
 * lasting pace, 1 or more. */
double engine_speed_phase(const struct engine_speed *e, int64_t now_us);
/** Returns the time in which the engine reads prompt tokens, in us. */
double engine_speed_read_us(const struct engine_speed *e, int64_t now_us,
                            double tokens);
/** Returns the time that each running request adds, in us. */
double engine_speed_running_us(const struct engine_speed *e, int64_t now_us);
/** Returns the time to the first event of an idle engine, in us. */
double engine_speed_idle_us(const struct engine_speed *e, int64_t now_us);
/** Forgets the engine, which has started again and may run on another VM. */
void engine_speed_clear(struct engine_speed *e);

#endif
