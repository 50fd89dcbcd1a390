/**
 * @file curl_loop.h
 * Drives a curl multi handle from an epoll loop. Sockets of idle connections
 * stay registered until libcurl closes them, which saves two system calls per
 * transfer.
 */
#ifndef EDGE_CURL_LOOP_H
#define EDGE_CURL_LOOP_H

#include <curl/curl.h>
#include <stdint.h>

#include "edge/loop.h"

struct curl_loop;

/** @param max_idle_connections size of the connection cache
 *  @param done called with each finished transfer while its easy handle is
 *  still in the multi handle; the callback must remove the handle. A transfer
 *  that receives too many bytes that are neither header nor body ends with
 *  CURLE_WEIRD_SERVER_REPLY
 *  @param progress called after each round of I/O; may be NULL */
struct curl_loop *curl_loop_new(struct loop *l, long max_idle_connections,
                                void (*done)(void *ctx, CURL *easy,
                                             CURLcode rc),
                                void (*progress)(void *ctx), void *ctx);
/** All transfers must have been removed before. */
void curl_loop_free(struct curl_loop *c);

/** Sets the options that every transfer in this loop needs: numeric
 * addresses only, HTTP/1.1, no proxy, no redirects, no signals. */
void curl_loop_set_options(struct curl_loop *c, CURL *easy);
/** Sets the time limits of a transfer.
 * @param connect_ms for connecting; not in effect if it is as long as the
 * other
 *  @param total_ms for the whole transfer; 1 at least */
void curl_loop_set_timeouts(CURL *easy, int64_t connect_ms, int64_t total_ms);
CURLMcode curl_loop_add(struct curl_loop *c, CURL *easy);
void curl_loop_remove(struct curl_loop *c, CURL *easy);

/** Processes time-outs and reports finished transfers; must be called once
 * per loop iteration. */
void curl_loop_process_events(struct curl_loop *c, int64_t now_us);
/** @return monotonic time at which curl_loop_process_events must be called at
 * the latest; INT64_MAX if no time-out is pending */
int64_t curl_loop_next_wakeup_us(const struct curl_loop *c);

#endif
