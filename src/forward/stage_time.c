#include "forward/state.h"

/* Time from the final call to the first byte, excluding the prefill of the
 * prompt. */
#define FINAL_CALL_US (40 * MS)
/* Assumed uncached share of a prompt before an engine is chosen; most of a
 * prompt is shared. */
#define UNCACHED_SHARE 0.3
/* Network time between nodes and the owner's processing time. */
#define OWNER_OVERHEAD_US (3 * MS)

int64_t
stage_time_duration_us(const struct service_state *s, int pieces)
{
    int batch = s->info.pieces.batch;
    int items = batch > 0 && pieces > batch ? batch : pieces;
    return s->info.pieces.call_us + items * s->info.pieces.item_us +
           OWNER_OVERHEAD_US;
}

static bool
stage_done(const struct request *r, int i)
{
    return r->stages[i].ready == r->stages[i].count;
}

static int64_t
path_wait_us(const struct request *r, int i, enum path_waits waits,
             int64_t now_us)
{
    const struct service_state *s = r->stages[i].service;
    switch (waits) {
    case WAITS_NONE:
        break;
    case WAITS_FOR_CALL:
        return stage_time_duration_us(s, s->info.pieces.batch);
    case WAITS_ALL:
        return waits_current_us(s, r, now_us);
    }
    return 0;
}

int64_t
stage_time_path_us(const struct request *r, int from, int skip,
                   enum path_waits waits, int64_t now_us)
{
    int64_t at[ROUTING_MAX_STAGES] = {0};
    int64_t latest = 0;
    for (int i = 0; i < r->route->stage_count; i++) {
        const struct stage *st = &r->stages[i];
        bool counts = from < 0;
        for (int k = 0; k < i; k++) {
            if (!(r->route->stages[i].after >> k & 1)) {
                continue;
            }
            counts |= k == from || (from >= 0 && at[k] > 0);
            at[i] = at[k] > at[i] ? at[k] : at[i];
        }
        if (counts && i != skip && !stage_done(r, i)) {
            at[i] += stage_time_duration_us(st->service, st->count);
            at[i] += path_wait_us(r, i, waits, now_us);
        }
        latest = at[i] > latest ? at[i] : latest;
    }
    return latest;
}

int64_t
pieces_remaining_us(const struct request *r)
{
    return stage_time_path_us(r, -1, -1, WAITS_NONE, 0);
}

int64_t
pieces_expected_us(int64_t now_us, const struct request *r)
{
    return stage_time_path_us(r, -1, -1, WAITS_ALL, now_us);
}

int64_t
pieces_final_call_us(int64_t now_us, const struct request *r)
{
    if (!r->service->info.is_engine) {
        return FINAL_CALL_US / 4;
    }
    if (r->planned_engine) {
        return FINAL_CALL_US +
               place_prefill_us(r->planned_engine, &r->prompt, now_us, NULL);
    }
    return FINAL_CALL_US + (int64_t)(UNCACHED_SHARE * (double)r->prompt.total *
                                     r->service->engine_model.us_per_token);
}

int64_t
stage_time_final_work_us(int64_t now_us, const struct request *r)
{
    int64_t uncached;
    if (!r->service->info.is_engine || !r->planned_engine) {
        return pieces_final_call_us(now_us, r);
    }
    place_prefill_us(r->planned_engine, &r->prompt, now_us, &uncached);
    return FINAL_CALL_US +
           (int64_t)((double)uncached * r->service->engine_model.us_per_token);
}

int64_t
stage_time_missing_us(const struct request *r, int stage, int64_t start_us)
{
    return start_us +
           stage_time_duration_us(r->stages[stage].service,
                                  r->stages[stage].count) +
           stage_time_path_us(r, stage, -1, WAITS_NONE, 0) +
           STAGE_TIME_FIRST_BYTE_MIN_US - req_caller_leaves_us(r);
}
