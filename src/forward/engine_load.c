#include "forward/engine_load.h"

#include <glib.h>
#include <math.h>

#define SECOND 1000000LL
#define WORK_HALF_LIFE_US (4 * SECOND)
/* Share of an engine's memory that running requests may fill. Of some twenty
 * requests at an engine of a large fleet this node hears of half, so its
 * estimate of their sum is off by a third at times.
 */
#define MEMORY_SHARE 0.75
/* Margin of the number of unknown requests, in standard deviations. */
#define MARGIN_DEVIATIONS 2.0

/* Assumed duration of a call before the first one has ended. */
#define CALL_DEFAULT_US (2 * SECOND)

void
engine_traffic_init(struct engine_traffic *t)
{
    *t = (struct engine_traffic){.call_us = CALL_DEFAULT_US,
                                 .output_mean = ENGINE_OUTPUT_TOKENS};
}

double
engine_traffic_requests(const struct engine_traffic *t, int64_t now_us)
{
    return t->requests > 0
               ? t->requests * exp2(-(double)(now_us - t->requests_us) /
                                    WORK_HALF_LIFE_US)
               : 0;
}

double
engine_traffic_rate(const struct engine_traffic *t, int64_t now_us)
{
    return engine_traffic_requests(t, now_us) * M_LN2 * SECOND /
           WORK_HALF_LIFE_US;
}

void
engine_load_add_work(struct engine_load *l, int64_t now_us, double tokens)
{
    l->work = engine_load_work(l, now_us) + tokens;
    l->work_us = now_us;
}

double
engine_load_work(const struct engine_load *l, int64_t now_us)
{
    return l->work > 0 ? l->work * exp2(-(double)(now_us - l->work_us) /
                                        WORK_HALF_LIFE_US)
                       : 0;
}

double
engine_load_rate(double work)
{
    return work * M_LN2 / WORK_HALF_LIFE_US;
}

void
engine_load_add_remote(struct engine_load *l, int64_t now_us, int64_t until_us,
                       int64_t held_tokens, int64_t pinned_tokens)
{
    int at = l->remote_count;
    for (int i = 0; i < l->remote_count; i++) {
        if (l->remote[i].until_us <= now_us) {
            at = i;
            break;
        }
        /* If none has ended, the one that ends first is replaced. */
        if (l->remote_count == ENGINE_LOAD_REMOTE &&
            (at == l->remote_count ||
             l->remote[i].until_us < l->remote[at].until_us)) {
            at = i;
        }
    }
    l->remote_count = MAX(l->remote_count, at + 1);
    l->remote[at].until_us = until_us;
    l->remote[at].held_tokens = held_tokens;
    l->remote[at].pinned_tokens = pinned_tokens;
}

int
engine_load_remote_count(const struct engine_load *l, int64_t now_us)
{
    int count = 0;
    for (int i = 0; i < l->remote_count; i++) {
        count += l->remote[i].until_us > now_us;
    }
    return count;
}

int64_t
engine_load_tokens(const struct engine_load *l, const struct engine_memory *m,
                   int own, int64_t now_us)
{
    double held = 0;
    double pinned = 0;
    for (int i = 0; i < l->remote_count; i++) {
        if (l->remote[i].until_us > now_us) {
            held += (double)l->remote[i].held_tokens;
            pinned += (double)l->remote[i].pinned_tokens;
        }
    }
    /* Nodes choose the engines whose load they know least of, so the number
     * of unknown requests is taken to be well above its mean. */
    int known = engine_load_remote_count(l, now_us);
    double unknown = (m->remote_scale - 1) * known;
    if (known > 0) {
        held += held / known * (unknown + MARGIN_DEVIATIONS * sqrt(unknown));
    }
    held += (double)l->held_tokens;
    pinned = pinned * m->remote_scale + (double)l->pinned_tokens;
    double count = own + known + unknown;
    if (m->slots > 0 && count > m->slots) {
        pinned *= m->slots / count;
    }
    /* Requests share the parts that they have in common. */
    return (int64_t)(held + MIN(pinned, (double)m->cached_tokens));
}

bool
engine_load_fits(const struct engine_load *l, const struct engine_memory *m,
                 int own, int64_t tokens, int64_t now_us)
{
    int64_t held = engine_load_tokens(l, m, own, now_us);
    /* An idle engine may be filled by one request. */
    double share = held == 0 ? 1 : MEMORY_SHARE;
    return m->limit_tokens <= 0 ||
           (double)(held + tokens) <= share * (double)m->limit_tokens;
}

void
engine_load_clear_remote(struct engine_load *l)
{
    l->remote_count = 0;
    l->work = 0;
}
