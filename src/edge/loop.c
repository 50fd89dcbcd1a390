#include "edge/loop.h"

#include <errno.h>
#include <glib.h>
#include <stddef.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/queue.h>
#include <time.h>
#include <unistd.h>

#include "base/log.h"
#include "base/str.h"

#define EVENTS_PER_WAIT 128

struct loop_source {
    int fd;
    loop_callback *fn; /* NULL after removal */
    void *ctx;
    struct loop_source *next_removed;
    LIST_ENTRY(loop_source) link;
};

struct loop {
    int fd;
    struct loop_source *removed;
    LIST_HEAD(, loop_source) sources;
};

int64_t
loop_now_us(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return ts.tv_sec * 1000000LL + ts.tv_nsec / 1000;
}

struct loop *
loop_new(void)
{
    int fd = epoll_create1(EPOLL_CLOEXEC);
    if (fd < 0) {
        return NULL;
    }
    struct loop *l = mem_calloc(1, sizeof(*l));
    l->fd = fd;
    return l;
}

/* Frees the removed sources. This is done only after a batch of events, since
 * later events of the same batch may still point to a removed source. */
static void
reap(struct loop *l)
{
    while (l->removed) {
        struct loop_source *s = l->removed;
        l->removed = s->next_removed;
        free(s);
    }
}

void
loop_free(struct loop *l)
{
    if (!l) {
        return;
    }
    reap(l);
    struct loop_source *s;
    while ((s = LIST_FIRST(&l->sources))) {
        LIST_REMOVE(s, link);
        free(s);
    }
    close(l->fd);
    free(l);
}

/* Without its registration a source gets no events. */
static void
log_failure(const char *event, int fd)
{
    int error = errno;
    LOG_EVENT(LOG_ERROR, event, LOG_INT("fd", fd),
              LOG_CSTR("error", g_strerror(error)));
}

struct loop_source *
loop_add(struct loop *l, int fd, uint32_t events, loop_callback *fn, void *ctx)
{
    struct loop_source *s = mem_calloc(1, sizeof(*s));
    s->fd = fd;
    s->fn = fn;
    s->ctx = ctx;
    LIST_INSERT_HEAD(&l->sources, s, link);
    struct epoll_event ev = {.events = events, .data.ptr = s};
    if (epoll_ctl(l->fd, EPOLL_CTL_ADD, fd, &ev) != 0) {
        log_failure("epoll_add_failed", fd);
    }
    return s;
}

void
loop_modify(struct loop *l, struct loop_source *s, uint32_t events)
{
    struct epoll_event ev = {.events = events, .data.ptr = s};
    if (epoll_ctl(l->fd, EPOLL_CTL_MOD, s->fd, &ev) != 0) {
        log_failure("epoll_modify_failed", s->fd);
    }
}

void
loop_remove(struct loop *l, struct loop_source *s)
{
    epoll_ctl(l->fd, EPOLL_CTL_DEL, s->fd, NULL);
    LIST_REMOVE(s, link);
    s->fn = NULL;
    s->next_removed = l->removed;
    l->removed = s;
}

void
loop_run_once(struct loop *l, int64_t until_us)
{
    struct epoll_event evs[EVENTS_PER_WAIT];
    struct timespec ts = {0, 0};
    struct timespec *timeout = &ts;
    int64_t remaining_us =
        until_us == INT64_MAX ? -1 : until_us - loop_now_us();
    if (until_us == INT64_MAX) {
        timeout = NULL;
    }
    else if (remaining_us > 0) {
        ts.tv_sec = remaining_us / 1000000;
        ts.tv_nsec = remaining_us % 1000000 * 1000;
    }
    int n = epoll_pwait2(l->fd, evs, EVENTS_PER_WAIT, timeout, NULL);
    for (int i = 0; i < n; i++) {
        struct loop_source *s = evs[i].data.ptr;
        if (s->fn) {
            s->fn(s->ctx, evs[i].events);
        }
    }
    reap(l);
}
