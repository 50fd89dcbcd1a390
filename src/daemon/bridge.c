#include "daemon/bridge.h"

#include <ck_ring.h>
#include <glib.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* ThreadSanitizer does not see the memory fences of Concurrency Kit, which are
 * inline assembly; these annotations declare the order that the fences
 * establish. */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define ORDER_BEFORE_PUT(b) __tsan_release(b)
#define ORDER_AFTER_TAKE(b) __tsan_acquire(b)
#else
#define ORDER_BEFORE_PUT(b) (void)(b)
#define ORDER_AFTER_TAKE(b) (void)(b)
#endif

struct bridge {
    ck_ring_t ring;
    ck_ring_buffer_t *slots;
    GQueue overflow;       /* used by the producer only */
    atomic_bool signalled; /* the eventfd is readable */
    int fd;
};

struct bridge *
bridge_new(unsigned capacity)
{
    struct bridge *b = NULL;
    /* ck_ring keeps its two counters on separate cache lines. */
    if (posix_memalign((void **)&b, CK_MD_CACHELINE, sizeof(*b)) != 0) {
        abort();
    }
    *b = (struct bridge){.fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)};
    if (b->fd < 0) {
        abort();
    }
    b->slots = mem_calloc(capacity, sizeof(ck_ring_buffer_t));
    ck_ring_init(&b->ring, capacity);
    g_queue_init(&b->overflow);
    return b;
}

void
bridge_free(struct bridge *b)
{
    struct bridge_msg *m;
    if (!b) {
        return;
    }
    while ((m = bridge_pop(b)) || (m = g_queue_pop_head(&b->overflow))) {
        bridge_msg_free(m);
    }
    close(b->fd);
    free(b->slots);
    free(b);
}

struct bridge_msg *
bridge_msg_new(enum bridge_kind kind)
{
    struct bridge_msg *m = mem_calloc(1, sizeof(*m));
    m->kind = kind;
    return m;
}

void
bridge_msg_free(struct bridge_msg *m)
{
    if (!m) {
        return;
    }
    str_free(&m->text);
    str_free(&m->team);
    cluster_view_unref(m->cluster_view);
    if (m->snapshot) {
        snapshot_unref(m->snapshot);
    }
    if (m->ask) {
        control_request_free(m->ask);
    }
    if (m->reply) {
        reply_free(m->reply);
    }
    free(m->report);
    free(m);
}

void
bridge_wake(struct bridge *b)
{
    /* One write is enough until the consumer clears the flag. */
    if (!atomic_exchange(&b->signalled, true)) {
        uint64_t one = 1;
        write(b->fd, &one, sizeof(one));
    }
}

void
bridge_clear_wake(struct bridge *b)
{
    uint64_t n;
    read(b->fd, &n, sizeof(n));
    /* The atomic read of the flag makes the messages that were pushed before
     * earlier wakes visible to this thread. */
    atomic_exchange(&b->signalled, false);
}

static bool
put(struct bridge *b, struct bridge_msg *m)
{
    ORDER_BEFORE_PUT(b);
    return ck_ring_enqueue_spsc(&b->ring, b->slots, m);
}

bool
bridge_flush(struct bridge *b)
{
    bool moved = false;
    while (!g_queue_is_empty(&b->overflow) &&
           put(b, g_queue_peek_head(&b->overflow))) {
        g_queue_pop_head(&b->overflow);
        moved = true;
    }
    if (moved) {
        bridge_wake(b);
    }
    return g_queue_is_empty(&b->overflow);
}

void
bridge_push(struct bridge *b, struct bridge_msg *m)
{
    if (g_queue_is_empty(&b->overflow) && put(b, m)) {
        bridge_wake(b);
        return;
    }
    g_queue_push_tail(&b->overflow, m);
    bridge_flush(b);
}

int
bridge_fd(const struct bridge *b)
{
    return b->fd;
}

struct bridge_msg *
bridge_pop(struct bridge *b)
{
    void *m = NULL;
    bool taken = ck_ring_dequeue_spsc(&b->ring, b->slots, &m);
    ORDER_AFTER_TAKE(b);
    return taken ? m : NULL;
}
