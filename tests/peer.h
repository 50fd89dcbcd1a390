/**
 * @file peer.h
 * A scripted TCP server on a loopback port, run by a thread, and helpers of
 * raw HTTP clients.
 */
#ifndef TESTS_PEER_H
#define TESTS_PEER_H

#include <stdbool.h>

#include "base/str.h"

struct peer;

/**
 * Starts a server that runs @p script once: steps separated by '|'.
 * accept; read (one request, $A is set to its X-Attempt); close; reset;
 * hold (until the other side closes); >TEXT writes TEXT with $A replaced.
 */
struct peer *peer_start(const char *script);
int peer_port(const struct peer *p);
/** Waits for the script to end. @return requests read */
int peer_join(struct peer *p);

/** A port on which nothing listens. */
int peer_closed_port(void);

/** A connected, non-blocking socket to a loopback port. */
int client_connect(int port);
void client_send(int fd, struct str bytes);
/** Appends what has come. @return false at the end of the connection */
bool client_read(int fd, struct buf *in);

#endif
