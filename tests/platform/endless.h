/**
 * @file endless.h
 * A server whose responses never end. A thread accepts connections on
 * loopback; for each, another thread reads a request and writes until the
 * client closes.
 */
#ifndef TESTS_PLATFORM_ENDLESS_H
#define TESTS_PLATFORM_ENDLESS_H

struct endless_server;

/** Content of a response: begin, then repeat without end. "{id}" in begin is
 * replaced by the id of the request, "{n}" in repeat by the repetition's
 * number and "{x}" in repeat by the fill bytes. */
struct endless_response {
    const char *begin;
    const char *repeat;
    int fill_bytes;  /**< number of bytes that replace "{x}" */
    int interval_ms; /**< between repetitions; 0: without pauses */
};

struct endless_server *endless_server_new(void);
/** Sets the response for connections that are accepted from now on. */
void endless_server_set_response(struct endless_server *e,
                                 const struct endless_response *response);
int endless_server_port(const struct endless_server *e);
/** Closes all connections and frees the server. */
void endless_server_free(struct endless_server *e);

#endif
