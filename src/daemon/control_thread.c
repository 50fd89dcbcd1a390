#include "daemon/control_thread.h"

#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/epoll.h>

#include "base/log.h"
#include "edge/loop.h"

struct control_thread {
    struct control_thread_options opts;
    pthread_t thread;
    struct loop *loop;
};

static void *
run(void *arg)
{
    struct control_thread *c = arg;
    struct shared *s = c->opts.shared;
    char *config = NULL;
    char *vms = NULL;
    struct fleet *f = NULL;
    struct vmlist *v = NULL;
    struct buf errors = {0};
    g_file_get_contents(c->opts.thin_config, &config, NULL, NULL);
    g_file_get_contents(c->opts.thin_vms, &vms, NULL, NULL);
    if (!config || !vms ||
        fleet_parse(str_from(config), &f, &errors) != ST_OK ||
        vmlist_parse(str_from(vms), &v, &errors) != ST_OK) {
        LOG_EVENT(LOG_ERROR, "thin", LOG_S("errors", buf_str(&errors)));
        return NULL;
    }
    struct snapshot *snap = snapshot_new(f, v, 1, s->settings->zone);
    for (int i = 0; i < c->opts.threads; i++) {
        struct bridge_msg *m = bridge_msg_new(BRIDGE_SNAPSHOT);
        m->snapshot = snapshot_ref(snap);
        bridge_push(c->opts.to_traffic[i], m);
        m = bridge_msg_new(BRIDGE_FRESH);
        m->at_us = INT64_MAX;
        bridge_push(c->opts.to_traffic[i], m);
    }
    snapshot_unref(snap);
    while (atomic_load(&s->phase) != PHASE_STOPPING) {
        atomic_store(&s->ready_us, loop_now_us());
        loop_run(c->loop, loop_now_us() + 10000);
        for (int i = 0; i < c->opts.threads; i++) {
            bridge_msg_free(bridge_pop(c->opts.from_traffic[i]));
        }
        atomic_store(&s->left, atomic_load(&s->phase) >= PHASE_DRAINING);
    }
    return NULL;
}

enum status
control_thread_new(const struct control_thread_options *opts,
                   struct control_thread **out)
{
    *out = mem_zero(1, sizeof(**out));
    (*out)->opts = *opts;
    (*out)->loop = loop_new();
    return ST_OK;
}

enum status
control_thread_start(struct control_thread *c)
{
    pthread_create(&c->thread, NULL, run, c);
    return ST_OK;
}

void
control_thread_join(struct control_thread *c)
{
    pthread_join(c->thread, NULL);
}

void
control_thread_free(struct control_thread *c)
{
    loop_free(c->loop);
    free(c);
}
