/**
 * @file http_load.h
 * A closed-loop HTTP/1.1 load generator on one thread, and child processes
 * of benches.
 */
#ifndef BENCH_HTTP_LOAD_H
#define BENCH_HTTP_LOAD_H

#include <stdint.h>
#include <sys/types.h>

#include "base/str.h"

struct http_load {
    int port;           /**< on 127.0.0.1 */
    struct str request; /**< whole request, sent again and again */
    int connections;
    int warm_up;  /**< requests before measuring */
    int requests; /**< measured requests */
};

struct http_load_result {
    int64_t p50_ns;
    int64_t p99_ns;
    double per_s;
    int bad; /**< answers without status 200, and lost connections */
};

/** Runs the load; gives up after 60 s. */
struct http_load_result http_load_run(const struct http_load *l);

/**
 * Starts a program whose standard error goes to @p log.
 * @param args NULL-terminated, args[0] is the path
 */
pid_t child_start(char *const args[], const char *log);
/** Sends SIGTERM and waits. @return exit code */
int child_stop(pid_t pid);
/** Processor time of a child so far, in microseconds. */
int64_t child_cpu_us(pid_t pid);
/** Waits until @p log holds @p key and returns the number after it; ends the
 * process after 20 s. */
long log_number(const char *log, const char *key);

#endif
