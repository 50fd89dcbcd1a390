/**
 * @file settings.h
 * Local settings of one node, read from a TOML file and validated as a whole.
 */
#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/str.h"

#define SETTINGS_MAX_PEERS 512

struct settings_peer {
    struct str name;
    struct str address;    /**< "tcp://IP:PORT" */
    struct str public_key; /**< Z85, 40 characters */
};

/** All strings are owned. Tables and keys of the file are in brackets. */
struct settings {
    struct str name;           /**< [node] name */
    struct str zone;           /**< [node] zone */
    struct str region;         /**< [node] region */
    struct str listen_address; /**< [http] address, an IP address */
    int listen_port;           /**< [http] port */
    struct str tls_cert;       /**< [http] tls_cert, path; empty: none */
    struct str tls_key;        /**< [http] tls_key, path */
    bool plain_http;     /**< [http] plain = true: plain HTTP is explicitly
                              allowed */
    int max_connections; /**< [http] max_connections */
    int max_connections_per_caller; /**< [http] max_connections_per_caller */
    int receive_timeout_ms;         /**< [http] receive_timeout_ms */
    int max_header_bytes;           /**< [http] max_header_bytes */
    int traffic_threads;            /**< [traffic] threads */
    struct str link_bound_address;  /**< [link] address, "tcp://IP:PORT" */
    struct str link_public_key;     /**< [link] public_key, Z85 */
    struct str link_secret_key; /**< [link] secret_key, Z85; never logged */
    int peer_count;
    struct settings_peer
        *peers; /**< [[link.peer]] name, address, public_key */
    int store_url_count;
    struct str *store_urls; /**< [store] urls */
    int store_writes_per_s; /**< [store] writes_per_s, for the whole fleet */
    int store_reads_per_s;  /**< [store] reads_per_s, for the whole fleet */
    int claim_buckets;      /**< [claims] buckets */
    int balancer_wait_ms;   /**< [drain] balancer_wait_ms */
    int drain_limit_ms;     /**< [drain] limit_ms */
    int memory_mb; /**< [limits] memory_mb: memory of the machine in MiB; 0:
                        unknown */
    int files;     /**< [limits] files: descriptors that a process may open,
                        including those that the platform reserves; 0:
                        unknown */
    struct str log_level; /**< [log] level */
    uint64_t seed;        /**< [node] seed; 0: taken from the system */
};

/**
 * Reads and validates a file. Appends an error for every unknown key, wrong
 * type, value out of range and contradiction to @p errors as
 * "FILE: KEY: message".
 */
enum status settings_load(const char *path, struct settings *out,
                          struct buf *errors);
/** Like settings_load, but from text; @p path is only used in messages. */
enum status settings_parse(struct str toml, const char *path,
                           struct settings *out, struct buf *errors);
void settings_free(struct settings *s);

#endif
