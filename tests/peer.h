/**
 * @file peer.h
 * A scripted TCP server on a loopback port that runs in a thread of its own,
 * and functions for raw HTTP clients.
 */
#ifndef TESTS_PEER_H
#define TESTS_PEER_H

#include <stdbool.h>

#include "base/str.h"

struct peer;

/**
 * Starts a server that runs @p script once. The steps are separated by '|':
 * accept; read (reads one request and sets $A to its X-Attempt); close; reset
 * (closes with a TCP reset); hold (waits until the client closes); >TEXT
 * (writes TEXT with $A replaced).
 */
struct peer *peer_start(const char *script);
int peer_port(const struct peer *p);
/** Waits until the script has ended and frees the server.
 * @return number of requests read */
int peer_join(struct peer *p);

/** @return a port on which nothing listens */
int peer_closed_port(void);

/** @return a non-blocking socket connected to a loopback port */
int client_connect(int port);
void client_send(int fd, struct str bytes);
/** Appends the bytes that have arrived.
 * @return false at the end of the connection */
bool client_read(int fd, struct buf *in);

#endif
