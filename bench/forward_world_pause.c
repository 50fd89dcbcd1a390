#include "bench/forward_world_state.h"

/* Returns whether a silent endpoint delays an event: all but what it had sent
 * before. */
static bool
is_delayed(const struct forward_world *w, const struct sim_event *ev,
           int endpoint)
{
    if (ev->endpoint != endpoint) {
        return false;
    }
    switch (ev->kind) {
    case SIM_CALL_HEAD:
    case SIM_CALL_BYTES:
    case SIM_CALL_END:
    case SIM_PIECES_END:
        return ev->at_us > w->now_us + ONE_WAY_US;
    case SIM_SLOT_FREE:
    case SIM_CRASH:
    case SIM_ENGINE_STEP:
        return true;
    case SIM_FREE_MEMORY:
    case SIM_PROBED:
    case SIM_MESSAGE:
    case SIM_RESTART:
    case SIM_RESUME:
    case SIM_DROPPED:
        break;
    }
    return false;
}

static gint
compare_events(gconstpointer a, gconstpointer b)
{
    const struct sim_event *x = *(struct sim_event *const *)a;
    const struct sim_event *y = *(struct sim_event *const *)b;
    if (x->at_us != y->at_us) {
        return x->at_us < y->at_us ? -1 : 1;
    }
    return x->seq < y->seq ? -1 : x->seq > y->seq;
}

void
forward_world_pause_endpoint(struct forward_world *w, int endpoint,
                             int64_t duration_us)
{
    struct sim_endpoint *s = &w->sim_endpoints[endpoint];
    s->paused_until_us = w->now_us + duration_us;
    for (guint i = 0; i < w->events->len; i++) {
        struct sim_event *ev = g_ptr_array_index(w->events, i);
        if (is_delayed(w, ev, endpoint)) {
            ev->at_us += duration_us;
        }
    }
    /* A sorted array is a heap. */
    g_ptr_array_sort(w->events, compare_events);
    forward_world_schedule(w, s->paused_until_us, SIM_RESUME, 0)->endpoint =
        endpoint;
}

void
forward_world_resume_endpoint(struct forward_world *w, struct sim_endpoint *s)
{
    struct sim_call *job;
    GQueue unread = s->unread;
    g_queue_init(&s->unread);
    while ((job = g_queue_pop_head(&unread))) {
        uint64_t key = forward_world_call_key(job->node, job->call);
        if (g_hash_table_contains(w->cancelled, &key) && !job->pieces) {
            struct sim_arrival a = {w->now_us, job->request, s->spec->service};
            g_array_append_val(w->arrivals, a);
            forward_world_free_call(job);
            continue;
        }
        forward_world_receive_call(w, s, job);
    }
    forward_world_start_calls(w, s);
}

void
forward_world_lose_results(struct forward_world *w, int endpoint)
{
    struct sim_endpoint *s = &w->sim_endpoints[endpoint];
    g_hash_table_remove_all(s->results);
    s->used_bytes = 0;
    s->spec->held = 0;
}

/* Marks the arrivals at a service that are not the first of their request. */
static GArray *
find_repeats(const struct forward_world *w, const char *service)
{
    GArray *repeats_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GHashTable *seen = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (guint i = 0; i < w->arrivals->len; i++) {
        struct sim_arrival *a =
            &g_array_index(w->arrivals, struct sim_arrival, i);
        if (g_strcmp0(a->service, service) == 0 &&
            !g_hash_table_add(seen, &a->request)) {
            g_array_append_val(repeats_us, a->at_us);
        }
    }
    g_hash_table_destroy(seen);
    return repeats_us;
}

static int
count_between(const GArray *times_us, int64_t from_us, int64_t to_us)
{
    int n = 0;
    for (guint i = 0; i < times_us->len; i++) {
        int64_t at_us = g_array_index(times_us, int64_t, i);
        n += at_us >= from_us && at_us < to_us;
    }
    return n;
}

int
forward_world_repeats(const struct forward_world *w, const char *service,
                      int64_t from_us, int64_t to_us)
{
    GArray *repeats_us = find_repeats(w, service);
    int n = count_between(repeats_us, from_us, to_us);
    g_array_free(repeats_us, TRUE);
    return n;
}

static GArray *
request_times(const struct forward_world *w, const char *service)
{
    GArray *sent_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (guint i = 0; i < w->requests->len; i++) {
        const struct fw_request *r = g_ptr_array_index(w->requests, i);
        if (g_strcmp0(w->routes[r->route].service, service) == 0) {
            g_array_append_val(sent_us, r->sent_us);
        }
    }
    return sent_us;
}

int
forward_world_repeat_excess(const struct forward_world *w, const char *service,
                            const struct repeat_limit *limit)
{
    GArray *repeats_us = find_repeats(w, service);
    GArray *sent_us = request_times(w, service);
    int worst = INT_MIN;
    for (guint i = 0; i < repeats_us->len; i++) {
        int64_t from_us = g_array_index(repeats_us, int64_t, i);
        int requests = 0;
        for (int half = 0; half <= 2; half++) {
            int64_t start_us = from_us - half * limit->window_us / 2;
            requests =
                MAX(requests, count_between(sent_us, start_us,
                                            start_us + limit->window_us));
        }
        int allowed = (int)(limit->ratio * requests) + limit->slack;
        worst = MAX(worst, count_between(repeats_us, from_us,
                                         from_us + limit->window_us) -
                               allowed);
    }
    g_array_free(repeats_us, TRUE);
    g_array_free(sent_us, TRUE);
    return worst;
}
