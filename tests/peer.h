/**
 * @file peer.h
 * Runs one of the fakes as a process for the duration of a test.
 */
#ifndef TESTS_PEER_H
#define TESTS_PEER_H

#include <gio/gio.h>

struct peer {
    GSubprocess *process;
    int port;
};

/** Starts CF_BUILD_DIR/@p name --port 0 and waits until it listens. */
void peer_start(struct peer *p, const char *name);
/** POSTs @p body to @p path; @return the answer's body, owned (g_free). */
char *peer_post(const struct peer *p, const char *path, const char *body);
/** Ends the process and checks that it exits with 0. */
void peer_stop(struct peer *p);

#endif
