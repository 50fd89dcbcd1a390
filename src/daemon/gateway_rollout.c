#include "daemon/gateway_rollout.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "platform/platform.h"
#include "rollout/traffic.h"

#define MS 1000LL
#define SECOND 1000000LL
/* The traffic thread gets all directives at this interval, as it may not have
 * known the service before. */
#define RESEND_US (1 * SECOND)
/* A directive that is valid for this much longer is sent again. */
#define EXTEND_US (200 * MS)
#define WRITE_TIMEOUT_MS 1500

/* A write in progress. */
struct write_call {
    uint64_t id;
    char *service; /* owned */
};

struct gateway_rollout {
    struct rollout *core;
    struct cluster_view *view;
    GArray *writes; /* struct write_call */
    GArray *sent;   /* struct rollout_directive, as sent last */
    int64_t next_resend_us;
    uint64_t last_id; /* counts down from the largest id, so that no id of the
                         feed is met */
};

static struct rollout_options
options_of(const struct gateway_settings *s)
{
    return (struct rollout_options){.node = s->name,
                                    .expose_share = s->expose_share,
                                    .expose_slack = s->expose_slack,
                                    .rollback_us = s->rollback_ms * MS};
}

struct gateway_rollout *
gateway_rollout_new(const struct gateway_settings *settings)
{
    struct gateway_rollout *g = mem_calloc(1, sizeof(*g));
    struct rollout_options opts = options_of(settings);
    g->core = rollout_new(&opts);
    g->writes = g_array_new(FALSE, FALSE, sizeof(struct write_call));
    g->sent = g_array_new(FALSE, FALSE, sizeof(struct rollout_directive));
    g->last_id = UINT64_MAX;
    return g;
}

void
gateway_rollout_free(struct gateway_rollout *g)
{
    if (!g) {
        return;
    }
    for (guint i = 0; i < g->writes->len; i++) {
        g_free(g_array_index(g->writes, struct write_call, i).service);
    }
    g_array_free(g->writes, TRUE);
    g_array_free(g->sent, TRUE);
    cluster_view_unref(g->view);
    rollout_free(g->core);
    free(g);
}

void
gateway_rollout_set_settings(struct gateway_rollout *g,
                             const struct gateway_settings *settings)
{
    struct rollout_options opts = options_of(settings);
    rollout_set_options(g->core, &opts);
}

void
gateway_rollout_set_view(struct gateway_rollout *g, struct cluster_view *view)
{
    cluster_view_unref(g->view);
    g->view = cluster_view_ref(view);
    uint64_t *nodes =
        mem_calloc((size_t)view->alive_count + 1, sizeof(*nodes));
    for (int i = 0; i < view->alive_count; i++) {
        nodes[i] = view->alive[i].hash;
    }
    rollout_set_nodes(g->core, nodes, view->alive_count);
    free(nodes);
    g->next_resend_us = 0;
}

void
gateway_rollout_set_counts(struct gateway_rollout *g,
                           const struct rollout_report *own)
{
    rollout_set_counts(g->core, own);
}

void
gateway_rollout_handle_message(struct gateway_rollout *g, int64_t now_us,
                               uint64_t from, const struct rollout_report *m)
{
    rollout_handle_report(g->core, now_us, from, m);
}

bool
gateway_rollout_handle_result(struct gateway_rollout *g, int64_t now_us,
                              const struct kv_result *r)
{
    for (guint i = 0; i < g->writes->len; i++) {
        struct write_call c = g_array_index(g->writes, struct write_call, i);
        if (c.id != r->id) {
            continue;
        }
        g_array_remove_index_fast(g->writes, i);
        enum rollout_write_result result =
            r->outcome == KV_OK         ? ROLLOUT_WRITTEN
            : r->outcome == KV_CONFLICT ? ROLLOUT_CONFLICT
                                        : ROLLOUT_UNKNOWN;
        rollout_handle_write(g->core, now_us, str_from_cstr(c.service), result,
                             r->revision);
        g_free(c.service);
        return true;
    }
    return false;
}

static void
take_changes(struct gateway_rollout *g, int64_t now_us, struct feed *feed)
{
    struct feed_rollout_change c;
    while (feed_next_rollout(feed, &c)) {
        if (c.is_order) {
            rollout_set_order(g->core, now_us, c.service,
                              c.order.target[0] ? &c.order : NULL);
        }
        else {
            rollout_set_record(g->core, now_us, c.service, c.record,
                               c.revision);
        }
    }
    rollout_set_contact(g->core, feed_contact_us(feed));
}

static void
start_writes(struct gateway_rollout *g, int64_t now_us,
             struct platform_store *store)
{
    struct rollout_write w;
    while (rollout_next_write(g->core, now_us, &w)) {
        struct platform_rollout_write keys;
        struct write_call c = {.id = g->last_id--,
                               .service =
                                   g_strndup(w.service.ptr, w.service.len)};
        platform_write_rollout(&w, &keys);
        g_array_append_val(g->writes, c);
        const struct kv_op op = {.id = c.id,
                                 .kind = KV_PUT_IF,
                                 .key = buf_str(&keys.key),
                                 .value = w.record,
                                 .second_key = buf_str(&keys.status_key),
                                 .second_value = buf_str(&keys.status),
                                 .if_revision = w.if_revision,
                                 .timeout_ms = WRITE_TIMEOUT_MS};
        platform_store_submit(store, &op);
        platform_rollout_write_free(&keys);
    }
}

/* The servers in service, by version. */
static void
count_servers(struct gateway_rollout *g, const struct rollout_directive *d)
{
    int count[ROLLOUT_SIDES] = {0};
    const struct rollout_traffic t = {.directive = *d};
    for (int i = 0; g->view && i < g->view->endpoint_count; i++) {
        const struct cluster_endpoint *e = &g->view->endpoints[i];
        const struct service *s =
            routing_service(g->view->routing, e->service);
        if (hash64(s->name) != d->service) {
            continue;
        }
        switch (rollout_traffic_class(&t, e->version)) {
        case ROLLOUT_CLASS_OLD:
            count[ROLLOUT_OLD]++;
            break;
        case ROLLOUT_CLASS_NEW:
            count[ROLLOUT_NEW]++;
            break;
        case ROLLOUT_CLASS_REJECTED:
            break;
        }
    }
    rollout_set_servers(g->core, d->service, count);
}

static bool
is_changed(const struct rollout_directive *a,
           const struct rollout_directive *b)
{
    return a->service != b->service || a->order != b->order ||
           a->step != b->step || a->share_ppm != b->share_ppm ||
           a->strict != b->strict || a->reports != b->reports ||
           strcmp(a->target, b->target) != 0 ||
           strcmp(a->rejected, b->rejected) != 0 ||
           b->valid_until_us < a->valid_until_us ||
           b->valid_until_us - a->valid_until_us >= EXTEND_US;
}

static void
send_directives(struct gateway_rollout *g, int64_t now_us,
                struct bridge *to_traffic)
{
    struct rollout_directive d;
    guint n = 0;
    bool all = now_us >= g->next_resend_us;
    for (int at = 0; rollout_next_directive(g->core, now_us, &at, &d); n++) {
        bool is_new = n >= g->sent->len;
        if (is_new) {
            g_array_append_val(g->sent, d);
        }
        struct rollout_directive *last =
            &g_array_index(g->sent, struct rollout_directive, n);
        if (all) {
            count_servers(g, &d);
        }
        if (all || is_new || is_changed(last, &d)) {
            struct bridge_msg *m = bridge_msg_new(BRIDGE_ROLLOUT);
            m->rollout = *last = d;
            bridge_push(to_traffic, m);
        }
    }
    if (all) {
        g->next_resend_us = now_us + RESEND_US;
    }
}

void
gateway_rollout_run(
    struct gateway_rollout *g, int64_t now_us, struct feed *feed,
    struct platform_store *store, struct bridge *to_traffic,
    void (*send)(void *ctx, uint64_t node, const struct msg *m), void *ctx)
{
    struct msg m = {.type = MSG_ROLLOUT};
    uint64_t node;
    take_changes(g, now_us, feed);
    rollout_run(g->core, now_us);
    while (rollout_next_message(g->core, &node, &m.rollout_report)) {
        send(ctx, node, &m);
    }
    start_writes(g, now_us, store);
    send_directives(g, now_us, to_traffic);
}

int64_t
gateway_rollout_next_wakeup_us(const struct gateway_rollout *g)
{
    int64_t at = rollout_next_wakeup_us(g->core);
    return g->sent->len > 0 ? MIN(at, g->next_resend_us) : at;
}

void
gateway_rollout_show(const struct gateway_rollout *g, int64_t now_us,
                     struct buf *out)
{
    rollout_show(g->core, now_us, out);
}

void
gateway_rollout_metrics(const struct gateway_rollout *g, int64_t now_us,
                        struct buf *out)
{
    rollout_metrics(g->core, now_us, out);
}
