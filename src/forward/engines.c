#include "forward/engines.h"

#include <math.h>

/* Work of a request besides reading its prompt, in prompt tokens: its part in
 * the steps of the batch. */
#define REQUEST_WORK_TOKENS 3000
/* Weight of the newest request in the means of a service. */
#define MEAN_WEIGHT 0.02
/* Requests of other nodes are taken to run for this many mean durations, at a
 * slow engine for longer. */
#define REMOTE_DURATIONS 1.5
/* Interval of notices about engine samples. With up to four samples of 25
 * bytes each to 32 nodes a node sends 4 KB/s. */
#define NOTICE_INTERVAL_US SECOND
/* Classes of urgency within a rank, by the time left to the latency objective
 * after the expected first event: in the first class a wait for one long
 * prompt makes the request late, in the second one a wait for a few. A request
 * that is late by more than LATE_US has missed its objective and yields to
 * those of the first class. */
#define CLASSES 3
#define FIRST_CLASS_US (200 * MS)
#define SECOND_CLASS_US (600 * MS)
#define LATE_US (-300 * MS)
#define URGENCY_MAX 9
/* A rank is starved if the share of its requests that get a first event is
 * less than this part of that of another rank. The limit of the requirement is
 * one half. */
#define STARVED_SHARE 0.6
#define STARVED_MIN_REQUESTS 5.0
#define RANK_HALF_LIFE_US (5 * SECOND)

int64_t
engines_output_tokens(const struct forward_request *in)
{
    return in->max_output_tokens > 0 ? in->max_output_tokens
                                     : ENGINE_OUTPUT_TOKENS;
}

static int
rank_of(const struct request *r)
{
    return CLAMP(r->priority, 0, ENGINE_RANKS - 1);
}

static void
decay_ranks(struct engine_traffic *t, int64_t now_us)
{
    double keep = exp2(-(double)(now_us - t->ranks_us) / RANK_HALF_LIFE_US);
    t->ranks_us = now_us;
    for (int i = 0; i < ENGINE_RANKS; i++) {
        t->ranks[i].sent *= keep;
        t->ranks[i].served *= keep;
    }
}

static void
add_traffic(struct engine_traffic *t, int64_t now_us, double tokens,
            double requests)
{
    t->uncached_mean =
        t->uncached_mean > 0
            ? t->uncached_mean + MEAN_WEIGHT * (tokens - t->uncached_mean)
            : tokens;
    t->requests = engine_traffic_requests(t, now_us) + requests;
    t->requests_us = now_us;
}

void
engines_call_started(struct forward *f, int64_t now_us, struct request *r,
                     struct endpoint *e)
{
    struct engine_traffic *t = &r->service->engine_traffic;
    int64_t uncached;
    r->expected_first_byte_us =
        (int64_t)engine_speed_idle_us(&e->speed, now_us) +
        place_prefill_us(e, &r->prompt, now_us, &uncached);
    r->sample_tokens = place_queued_tokens(e, now_us) + (double)uncached;
    owners_notify_prefill(f, r, e, uncached);
    r->prefill_tokens = uncached;
    e->prefill_tokens += uncached;
    r->held_tokens = uncached + engines_output_tokens(&r->in);
    r->pinned_tokens = r->prompt.total - uncached;
    e->load.held_tokens += r->held_tokens;
    e->load.pinned_tokens += r->pinned_tokens;
    engine_load_add_work(&e->load, now_us,
                         (double)uncached + REQUEST_WORK_TOKENS);
    endpoint_cache_parts(e, r->prompt.chain, r->prompt.tokens, r->prompt.count,
                         now_us);
    add_traffic(t, now_us, (double)uncached, 1);
    t->output_mean +=
        MEAN_WEIGHT * ((double)engines_output_tokens(&r->in) - t->output_mean);
    decay_ranks(t, now_us);
    t->ranks[rank_of(r)].sent++;
}

void
engines_call_ended(int64_t now_us, struct request *r)
{
    struct engine_traffic *t = &r->service->engine_traffic;
    struct engine_load *l = &r->endpoint->load;
    if (r->held_tokens == 0) {
        return;
    }
    l->held_tokens -= r->held_tokens;
    l->pinned_tokens -= r->pinned_tokens;
    r->held_tokens = 0;
    r->pinned_tokens = 0;
    if (r->state == REQ_RESPONDING) {
        /* The first calls have the weight of a plain mean. */
        t->calls++;
        t->call_us += MAX(MEAN_WEIGHT, 1 / (double)(t->calls + 1)) *
                      ((double)(now_us - r->sent_us) - t->call_us);
    }
}

static void
queue_notice(struct forward *f, int64_t now_us, const struct endpoint *e,
             const struct engine_sample *s)
{
    struct engine_notice *n = &f->engine_notice;
    if (n->count < ENGINE_NOTICE_MAX) {
        n->samples[n->count].endpoint = e->hash;
        n->samples[n->count].actual_us = (int64_t)s->actual_us;
        n->samples[n->count].tokens = (int64_t)s->tokens;
        n->samples[n->count].running = (int)s->running;
        n->count++;
    }
    if (now_us - f->engine_notice_us < NOTICE_INTERVAL_US) {
        return;
    }
    const struct stage_msg m = {.kind = STAGE_MSG_ENGINES, .engines = *n};
    f->engine_notice_us = now_us;
    n->count = 0;
    owners_notify(f, &m);
}

void
engines_first_event(struct forward *f, int64_t now_us, const struct request *r)
{
    struct endpoint *e = r->endpoint;
    struct engine_traffic *t = &r->service->engine_traffic;
    bool reported = e->load_report_us > r->sent_us && e->reported_running > 0;
    const struct engine_sample sample = {
        .actual_us = (double)(now_us - r->sent_us),
        .tokens = r->sample_tokens,
        .running = reported ? e->reported_running - 1 : e->in_flight - 1};
    decay_ranks(t, now_us);
    t->ranks[rank_of(r)].served++;
    if (r->status >= 300 || !e->speed.model || e->speed.model->fixed) {
        return;
    }
    f->counters.engine_samples++;
    engine_speed_record(&e->speed, now_us, &sample);
    queue_notice(f, now_us, e, &sample);
}

/* Returns whether requests of this rank get their first event much less often
 * than those of another one. */
static bool
is_starved(const struct engine_traffic *t, int rank)
{
    if (t->ranks[rank].sent < STARVED_MIN_REQUESTS) {
        return false;
    }
    double own = t->ranks[rank].served / t->ranks[rank].sent;
    for (int i = 0; i < ENGINE_RANKS; i++) {
        if (i != rank && t->ranks[i].sent >= STARVED_MIN_REQUESTS &&
            own < STARVED_SHARE * t->ranks[i].served / t->ranks[i].sent) {
            return true;
        }
    }
    return false;
}

int
engines_urgency(struct forward *f, int64_t now_us, const struct request *r)
{
    struct engine_traffic *t = &r->service->engine_traffic;
    int rank = r->priority;
    int64_t left_us = r->target_us - now_us - r->expected_first_byte_us;
    int class_in_rank = left_us < LATE_US           ? 1
                        : left_us < FIRST_CLASS_US  ? 0
                        : left_us < SECOND_CLASS_US ? 1
                                                    : 2;
    if (r->service->engine_model.fixed) {
        return MIN(rank, URGENCY_MAX);
    }
    decay_ranks(t, now_us);
    if (rank > 0 && is_starved(t, rank_of(r))) {
        /* The last class of the rank above it. */
        f->counters.urgency_raised++;
        return MIN(rank * CLASSES - 1, URGENCY_MAX);
    }
    return MIN(rank * CLASSES + class_in_rank, URGENCY_MAX);
}

void
engines_handle_notice(struct forward *f, int64_t now_us,
                      const struct engine_notice *n)
{
    for (int i = 0; i < n->count; i++) {
        struct endpoint *e = map_get(&f->endpoints, n->samples[i].endpoint);
        const struct engine_sample sample = {
            .actual_us = (double)n->samples[i].actual_us,
            .tokens = (double)n->samples[i].tokens,
            .running = n->samples[i].running};
        if (e && e->speed.model) {
            f->counters.engine_notices++;
            engine_speed_record(&e->speed, now_us, &sample);
        }
    }
}

void
engines_handle_prefill_notice(const struct forward *f, int64_t now_us,
                              struct endpoint *e,
                              const struct prefill_notice *n)
{
    struct engine_traffic *t = e->traffic;
    double scale = place_remote_scale(forward_node_count(f));
    int64_t parts = 0;
    for (int i = 0; i < n->part_count; i++) {
        parts += n->part_tokens[i];
    }
    if (!t) {
        return;
    }
    engine_load_add_work(&e->load, now_us,
                         scale * ((double)n->tokens + REQUEST_WORK_TOKENS));
    engine_load_add_remote(
        &e->load, now_us,
        now_us + (int64_t)(REMOTE_DURATIONS * t->call_us *
                           MAX(engine_speed_pace(&e->speed, now_us), 1)),
        n->tokens + (int64_t)t->output_mean, MAX(parts - n->tokens, 0));
    add_traffic(t, now_us, (double)n->tokens, scale);
}
