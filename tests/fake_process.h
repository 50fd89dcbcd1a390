/**
 * @file fake_process.h
 * Runs one of the fakes as a process for the duration of a test.
 */
#ifndef TESTS_FAKE_PROCESS_H
#define TESTS_FAKE_PROCESS_H

#include <gio/gio.h>

struct fake_process {
    GSubprocess *process;
    int port;
};

/** Starts CF_BUILD_DIR/@p name --port 0 and waits until it listens. */
void fake_process_start(struct fake_process *p, const char *name);
/** POSTs @p body to @p path. @return the response body, owned (g_free) */
char *fake_process_post(const struct fake_process *p, const char *path,
                        const char *body);
/** Sends SIGTERM and checks that the process exits with 0. */
void fake_process_stop(struct fake_process *p);

#endif
