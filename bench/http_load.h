/**
 * @file http_load.h
 * A closed-loop HTTP/1.1 load generator that runs on one thread.
 */
#ifndef BENCH_HTTP_LOAD_H
#define BENCH_HTTP_LOAD_H

#include <stdint.h>

#include "base/str.h"

struct http_load {
    int port;           /**< on 127.0.0.1 */
    struct str request; /**< whole request, sent repeatedly */
    int connections;
    int warm_up_requests; /**< requests before the measurement */
    int requests;         /**< measured requests */
};

struct http_load_result {
    int64_t p50_ns;
    int64_t p99_ns;
    double requests_per_s;
    int failures; /**< responses other than 200, and lost connections */
};

/** Sends the requests and measures; stops after 60 s at the latest. */
struct http_load_result http_load_run(const struct http_load *l);

#endif
