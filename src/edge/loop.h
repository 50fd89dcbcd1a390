/**
 * @file loop.h
 * An epoll event loop that runs the callbacks of its sources on one thread.
 */
#ifndef EDGE_LOOP_H
#define EDGE_LOOP_H

#include <stdint.h>

struct loop;
struct loop_source;

/** Receives the EPOLL* bits of a source. The callback may add and remove
 * sources. */
typedef void loop_callback(void *ctx, uint32_t events);

/** @return NULL if epoll_create1() fails */
struct loop *loop_new(void);
/** Also frees the sources that are still registered. */
void loop_free(struct loop *l);

/** Registers a descriptor. The caller keeps ownership of the descriptor and
 * must not close it before it has removed the source. */
struct loop_source *loop_add(struct loop *l, int fd, uint32_t events,
                             loop_callback *fn, void *ctx);
void loop_modify(struct loop *l, struct loop_source *s, uint32_t events);
/** Unregisters and frees a source; must be called before its descriptor is
 * closed. */
void loop_remove(struct loop *l, struct loop_source *s);

/** Waits for events until @p until_us (monotonic; INT64_MAX: no time limit)
 * and runs the callbacks of one batch of events. */
void loop_run_once(struct loop *l, int64_t until_us);

/** Monotonic time in microseconds. */
int64_t loop_now_us(void);

#endif
