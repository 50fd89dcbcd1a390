#include "edge/caller_budget.h"

#include <glib.h>
#include <malloc.h>

#define MIB ((size_t)1 << 20)
/* Descriptors that the platform reserves for itself. */
#define RESERVED_FILES 200
/* A third of the others each for callers, for endpoints, and for the rest:
 * 390 nodes with two sockets each, the store, timers, log and listeners. */
#define FILE_SHARES 3
/* Parts of the memory, as divisors; together half of it. Bodies: a sixth, on
 * the smallest machine (120 MB) five bodies of 4 MB, or 250 of the usual 80
 * KB. Connections: a sixth, there 420; 3,700 requests per second at
 * 63 nodes, each for five seconds, need 300. Unread and buffered responses: a
 * twelfth each, there two of 4 MB. */
#define BODY_SHARE 6
#define CONNECTION_SHARE 6
#define UNREAD_SHARE 12
#define BUFFERED_SHARE 12
/* Memory of a connection besides libmicrohttpd's: the state of the connection
 * and of its request. */
#define CONNECTION_STATE_BYTES 1024
/* The limits that apply without known memory are not exceeded either. */
#define MAX_BODY_BYTES (256 * MIB)
#define MAX_BUFFERED_BYTES (16 * MIB)
#define MAX_ENDPOINT_CONNECTIONS 1024
#define MIN_CONNECTIONS 8
/* Buffers of this size and more are returned to the system when freed. The
 * default rises to the largest freed buffer, up to 32 MiB. */
#define MMAP_THRESHOLD_BYTES (128 << 10)

struct caller_budget
caller_budget_new(const struct caller_budget_limits *l)
{
    size_t threads = (size_t)MAX(l->threads, 1);
    size_t connections = ((size_t)l->max_connections + threads - 1) / threads;
    struct caller_budget b = {.endpoint_connections =
                                  MAX_ENDPOINT_CONNECTIONS};
    if (l->memory_mb > 0) {
        size_t memory = (size_t)l->memory_mb * MIB / threads;
        b.body_bytes = MIN(memory / BODY_SHARE, MAX_BODY_BYTES);
        b.unread_bytes = memory / UNREAD_SHARE;
        b.buffered_bytes = MIN(memory / BUFFERED_SHARE, MAX_BUFFERED_BYTES);
        connections = MIN(connections,
                          memory / CONNECTION_SHARE /
                              (HTTP_IN_CONNECTION_BYTES(l->max_header_bytes) +
                               CONNECTION_STATE_BYTES));
    }
    if (l->files > 0) {
        size_t share =
            (size_t)MAX(l->files - RESERVED_FILES, 0) / FILE_SHARES / threads;
        connections = MIN(connections, share);
        b.endpoint_connections = (int)MAX(
            MIN((size_t)b.endpoint_connections, share), MIN_CONNECTIONS);
    }
    if (l->memory_mb > 0 || l->files > 0) {
        connections = MAX(connections, MIN_CONNECTIONS);
    }
    b.connections = (int)connections;
    return b;
}

void
caller_budget_limit_heap(int memory_mb)
{
    if (memory_mb > 0) {
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
        mallopt(M_TRIM_THRESHOLD, MMAP_THRESHOLD_BYTES);
    }
}
