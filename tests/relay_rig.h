/**
 * @file relay_rig.h
 * Servers on threads of their own and a client with one relay, for tests of
 * the relay.
 */
#ifndef TESTS_RELAY_RIG_H
#define TESTS_RELAY_RIG_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "edge/relay.h"

#define IDLE_CONNECTIONS 16

struct test_server {
    int fd; /**< listens; accept returns after 100 ms without a connection */
    int port;
    pthread_t thread;
    _Atomic bool stop;
};

/** @return a socket that listens on a free port of loopback */
int listen_on_port(int backlog, int *port);
/** Starts a thread that serves connections until s->stop is set.
 * @param run receives @p s */
void server_open(struct test_server *s, void *(*run)(void *arg));
/** @return the next connection; -1: s->stop was set before one was made */
int server_accept(struct test_server *s);
void server_close(struct test_server *s);

/** Callbacks of a relay that do nothing. */
void ignore_head(void *ctx, uint64_t id,
                 const struct relay_response_head *head);
void ignore_bytes(void *ctx, uint64_t id, struct str bytes);

struct outcome {
    bool ended;
    enum relay_result result;
    int status; /**< of the response; 0: no head was reported */
};

struct client {
    struct loop *loop;
    struct relay *relay;
    uint64_t last_call;
    struct outcome outcome; /**< of the last call */
};

void client_open(struct client *c);
void client_close(struct client *c);
/** Makes a call to @p port on loopback and waits for its end. Sets its id and
 * its address. */
enum relay_result client_run(struct client *c, int port,
                             struct relay_call *call);

#endif
