#include <inttypes.h>
#include <math.h>

#include "rollout/rollout_state.h"

/* The quantile of the good responses' durations, in ms, as the limit of its
 * bucket; -1 without responses. */
static int64_t
duration_ms(const struct rollout_counts *c, enum rollout_side side,
            double quantile)
{
    int64_t buckets[ROLLOUT_BUCKETS] = {0};
    int64_t n = 0;
    for (int i = 0; i < c->route_count; i++) {
        for (int k = 0; k < ROLLOUT_BUCKETS; k++) {
            buckets[k] += c->routes[i].sides[side].buckets[k];
            n += c->routes[i].sides[side].buckets[k];
        }
    }
    int64_t below = 0;
    for (int k = 0; k < ROLLOUT_BUCKETS; k++) {
        below += buckets[k];
        if (n > 0 && (double)below >= quantile * (double)n) {
            return rollout_bucket_limit_us(k) / MS;
        }
    }
    return -1;
}

/* Names and reasons contain no quotes, see rollout_is_valid_name. */
static void
write_service(const struct rollout *r, const struct rollout_service *s,
              int64_t now_us, struct buf *out)
{
    const struct rollout_record *rec = &s->record;
    struct rollout_counts sum;
    rollout_sum(s, &sum);
    buf_printf(out, "{\"service\":\"%s\"", s->name);
    buf_printf(out, ",\"target\":\"%s\"",
               s->has_record ? rec->target : s->order.target);
    buf_printf(out, ",\"phase\":\"%s\"",
               s->has_record ? rollout_phase_name(rec->phase) : "ordered");
    buf_printf(out, ",\"share\":%.3f", (double)rec->share_ppm / PPM);
    buf_printf(out, ",\"elapsed_ms\":%" PRId64,
               (int64_t)(rec->elapsed_us / MS));
    buf_printf(out, ",\"sent_old\":%" PRId64, rec->sent[ROLLOUT_OLD]);
    buf_printf(out, ",\"sent_new\":%" PRId64, rec->sent[ROLLOUT_NEW]);
    buf_printf(out, ",\"failed_new\":%" PRId64, rec->failed);
    buf_printf(out, ",\"failed_old\":%" PRId64,
               rollout_counts_failed(&sum, ROLLOUT_OLD));
    buf_printf(out, ",\"p90_old_ms\":%" PRId64,
               duration_ms(&sum, ROLLOUT_OLD, 0.9));
    buf_printf(out, ",\"p90_new_ms\":%" PRId64,
               duration_ms(&sum, ROLLOUT_NEW, 0.9));
    buf_printf(out, ",\"reports\":%u", g_hash_table_size(s->nodes));
    buf_printf(out, ",\"decides\":%s",
               rollout_acts_as_decider(r, s, now_us) ? "true" : "false");
    buf_printf(out, ",\"decider\":\"%s\"", rec->decider);
    buf_printf(out, ",\"reason\":\"%s\"}", rec->reason);
}

void
rollout_show(const struct rollout *r, int64_t now_us, struct buf *out)
{
    bool first = true;
    buf_printf(out, "{\"rollouts\":[");
    for (guint i = 0; i < r->services->len; i++) {
        const struct rollout_service *s = g_ptr_array_index(r->services, i);
        if (s->has_order || s->has_record) {
            buf_printf(out, "%s", first ? "" : ",");
            write_service(r, s, now_us, out);
            first = false;
        }
    }
    buf_printf(out, "]}\n");
}

void
rollout_metrics(const struct rollout *r, int64_t now_us, struct buf *out)
{
    buf_printf(out, "cf_rollouts_started_total %" PRId64 "\n",
               r->counters.started);
    buf_printf(out, "cf_rollouts_completed_total %" PRId64 "\n",
               r->counters.completed);
    buf_printf(out, "cf_rollouts_rolled_back_total %" PRId64 "\n",
               r->counters.rolled_back);
    buf_printf(out, "cf_rollout_write_conflicts_total %" PRId64 "\n",
               r->counters.conflicts);
    for (guint i = 0; i < r->services->len; i++) {
        const struct rollout_service *s = g_ptr_array_index(r->services, i);
        if (!s->has_record) {
            continue;
        }
        buf_printf(out,
                   "cf_rollout{service=\"%s\",target=\"%s\",phase=\"%s\","
                   "decider=\"%s\",reason=\"%s\"} %d\n",
                   s->name, s->record.target,
                   rollout_phase_name(s->record.phase), s->record.decider,
                   s->record.reason, rollout_acts_as_decider(r, s, now_us));
        buf_printf(out, "cf_rollout_share_ppm{service=\"%s\"} %d\n", s->name,
                   s->record.share_ppm);
        for (int side = 0; side < ROLLOUT_SIDES; side++) {
            buf_printf(out,
                       "cf_rollout_sent{service=\"%s\",side=\"%s\"} %" PRId64
                       "\n",
                       s->name, side == ROLLOUT_OLD ? "old" : "new",
                       s->record.sent[side]);
        }
        buf_printf(out, "cf_rollout_failed{service=\"%s\"} %" PRId64 "\n",
                   s->name, s->record.failed);
    }
}
