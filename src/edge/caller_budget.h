/**
 * @file caller_budget.h
 * Shares of the machine's memory and descriptors that callers may use. All
 * limits on what callers and their responses hold follow from the two figures
 * of the settings, [limits] memory_mb and files.
 *
 * Half of the memory has no share: the process itself needs 16 to 32 MB, a
 * call to an endpoint some 24 KB, and the allocator keeps free memory.
 */
#ifndef EDGE_CALLER_BUDGET_H
#define EDGE_CALLER_BUDGET_H

#include <stddef.h>

/** Memory of libmicrohttpd for a connection: it reads into half of it, where a
 * head at its limit leaves 8 KiB for the body. */
#define HTTP_IN_CONNECTION_BYTES(max_header_bytes)                            \
    (2 * ((size_t)(max_header_bytes) + 8192))

/** What the settings say. */
struct caller_budget_limits {
    int memory_mb;        /**< memory of the machine in MiB; 0: unknown */
    int files;            /**< descriptors, with reserved ones; 0: unknown */
    int max_connections;  /**< of callers, from the settings */
    int max_header_bytes; /**< of one request */
    int threads;          /**< traffic threads; each has an equal part */
};

/** Shares of one traffic thread. */
struct caller_budget {
    /** Connections of callers; each has a buffer for a head at its limit. */
    int connections;
    /** Connections to endpoints that are kept open. */
    int endpoint_connections;
    /** Bodies of requests, from their first byte to their response. 0: the
     * limit that applies without known memory. */
    size_t body_bytes;
    /** Response bytes that callers have not read yet. 0: no limit for all
     * callers together. */
    size_t unread_bytes;
    /** Responses of endpoints that are not whole yet. 0: the limit that
     * applies without known memory. */
    size_t buffered_bytes;
};

/** Derives the shares. Without known memory or descriptors the settings' own
 * limits apply. */
struct caller_budget
caller_budget_new(const struct caller_budget_limits *limits);

/** Makes the allocator return the memory of large buffers to the system as
 * soon as they are freed; does nothing if the memory is unknown. */
void caller_budget_limit_heap(int memory_mb);

#endif
