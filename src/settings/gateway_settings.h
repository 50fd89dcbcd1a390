/**
 * @file gateway_settings.h
 * Local settings of a forwarding node, from a TOML file.
 */
#ifndef SETTINGS_GATEWAY_SETTINGS_H
#define SETTINGS_GATEWAY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/str.h"

/** All strings are owned. Tables and keys of the file are in brackets. */
struct gateway_settings {
    struct str name;      /**< [node] name */
    struct str zone;      /**< [node] zone */
    uint64_t seed;        /**< [node] seed; 0: from the system */
    struct str listen;    /**< [callers] address, "IP:PORT" */
    int max_connections;  /**< [callers] max_connections */
    int max_header_bytes; /**< [callers] max_header_bytes */
    struct str ready;     /**< [ready] address, "IP:PORT" */
    struct str metrics;   /**< [metrics] address, "IP:PORT"; empty: none */
    struct str link;      /**< [link] address, "IP:PORT", for other nodes */
    struct str store;     /**< [store] address, "IP:PORT" */
    int stop_ms;          /**< [stop] limit_s: until the node must end */
    int balancer_ms;      /**< [stop] balancer_ms: until no caller comes */
    int revoke_ms;        /**< [bounds] revoke_ms: credentials stop */
    double repeat_ratio;  /**< [bounds] repeat_ratio, of the requests */
    int repeat_slack;     /**< [bounds] repeat_slack, repeats a window */
    int repeat_window_ms; /**< [bounds] repeat_window_s */
    struct str log_level; /**< [log] level */
};

/**
 * Reads and checks a file. Every unknown key, wrong type and value out of
 * range is appended to @p errors as "FILE: KEY: message".
 */
enum status gateway_settings_load(const char *path,
                                  struct gateway_settings *out,
                                  struct buf *errors);
/** As gateway_settings_load, from text; @p path is only named in messages. */
enum status gateway_settings_parse(struct str toml, const char *path,
                                   struct gateway_settings *out,
                                   struct buf *errors);
void gateway_settings_free(struct gateway_settings *s);

#endif
