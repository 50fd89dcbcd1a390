/**
 * @file loop.h
 * A small epoll loop: sources with callbacks on one thread.
 */
#ifndef EDGE_LOOP_H
#define EDGE_LOOP_H

#include <stdint.h>

struct loop;
struct loop_source;

/** Called with EPOLL* bits. Sources may be added and removed inside. */
typedef void loop_fn(void *ctx, uint32_t events);

/** @return NULL if the system refuses an epoll set */
struct loop *loop_new(void);
/** Frees the sources that are left as well. */
void loop_free(struct loop *l);

/** The descriptor stays the caller's and must outlive the source. */
struct loop_source *loop_add(struct loop *l, int fd, uint32_t events,
                             loop_fn *fn, void *ctx);
void loop_mod(struct loop *l, struct loop_source *s, uint32_t events);
/** Must be called before the descriptor is closed. */
void loop_del(struct loop *l, struct loop_source *s);

/** Waits until an event or until @p until_us and runs the callbacks. */
void loop_run(struct loop *l, int64_t until_us);

/** Monotonic time in microseconds. */
int64_t loop_now_us(void);

#endif
