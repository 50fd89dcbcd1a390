/**
 * @file endless.h
 * A server that answers with bytes without end: a thread that accepts
 * connections on loopback, reads a request and writes until the caller closes.
 */
#ifndef TESTS_PLATFORM_ENDLESS_H
#define TESTS_PLATFORM_ENDLESS_H

struct endless;

/** What an answer consists of; "{id}" stands for the id of the request and
 * "{n}" for the number of the repetition. */
struct endless_answer {
    const char *begin;
    const char *repeat;
    int fill;   /**< bytes that each repetition adds in place of "{x}" */
    int gap_ms; /**< between repetitions; 0: as fast as they are taken */
};

struct endless *endless_new(void);
/** Connections that are accepted from now on get this answer. */
void endless_set(struct endless *e, const struct endless_answer *answer);
int endless_port(const struct endless *e);
/** Ends all connections. */
void endless_free(struct endless *e);

#endif
