/**
 * @file http_load.h
 * A closed-loop HTTP/1.1 load generator on one thread.
 */
#ifndef BENCH_HTTP_LOAD_H
#define BENCH_HTTP_LOAD_H

#include <stdint.h>

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

#endif
