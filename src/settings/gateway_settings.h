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
    struct str name;   /**< [node] name */
    struct str zone;   /**< [node] zone */
    uint64_t seed;     /**< [node] seed; 0: taken from the system */
    bool first_start;  /**< [node] first_start: the whole system starts for the
                          first time, so no earlier process of this node has
                          used its share of limits */
    struct str listen; /**< [callers] address, "IP:PORT" */
    int max_connections;  /**< [callers] max_connections */
    int max_header_bytes; /**< [callers] max_header_bytes */
    struct str ready;     /**< [ready] address, "IP:PORT" */
    struct str metrics;   /**< [metrics] address, "IP:PORT"; empty: none */
    struct str link;      /**< [link] address, "IP:PORT", for other nodes */
    struct str store;     /**< [store] address, "IP:PORT" */
    int stop_limit_ms;    /**< [stop] limit_s: time until the node must exit */
    int balancer_drain_ms; /**< [stop] balancer_ms: time until the load
                          balancer sends no more callers; if it is not set,
                          2300 or half of the limit */
    int revoke_ms; /**< [bounds] revoke_ms: time until a revoked credential
                        must be rejected */
    double repeat_ratio; /**< [bounds] repeat_ratio: repeats per request */
    int repeat_slack; /**< [bounds] repeat_slack: repeats added per window */
    int repeat_window_ms; /**< [bounds] repeat_window_s, in ms */
    double expose_share;  /**< [bounds] expose_share: largest share of a
                             service's requests for a bad version */
    int expose_slack;     /**< [bounds] expose_slack: requests beyond it */
    int rollback_ms;      /**< [bounds] rollback_ms: time from the 50th bad
                             response to the last request; 0: this node takes
                             no part in roll-outs */
    double cpu_share;     /**< [limits] cpu_share: cores that the machine gives
                             this process; 0: unknown */
    int memory_mb; /**< [limits] memory_mb: memory of the machine in MiB; 0:
                        unknown */
    int files;     /**< [limits] files: descriptors that a process may open,
                        including those that the platform reserves; 0:
                        unknown */
    struct str log_level; /**< [log] level */
};

/**
 * Reads and validates a file. Appends an error for every unknown key, wrong
 * type and value out of range to @p errors as "FILE: KEY: message".
 */
enum status gateway_settings_load(const char *path,
                                  struct gateway_settings *out,
                                  struct buf *errors);
/** Like gateway_settings_load, but from text; @p path is only used in
 * messages. */
enum status gateway_settings_parse(struct str toml, const char *path,
                                   struct gateway_settings *out,
                                   struct buf *errors);
void gateway_settings_free(struct gateway_settings *s);

#endif
