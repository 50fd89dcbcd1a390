#include "base/log.h"
#include "control/feed_state.h"

/* The registration of a dead node ends after this time. A registration
 * survives the loss of two renewals. */
#define LEASE_TTL_MS 10000
#define LEASE_RENEW_INTERVAL_US (3300 * MS)
#define LEASE_RETRY_INTERVAL_US (500 * MS)

void
feed_handle_lease_result(struct feed *f, int64_t now_us,
                         const struct kv_result *r)
{
    f->lease_op_id = 0;
    f->next_lease_call_us = now_us + LEASE_RENEW_INTERVAL_US;
    if (r->outcome == KV_LEASE_EXPIRED) {
        LOG_EVENT(LOG_WARN, "registration_lapsed", LOG_INT("lease", f->lease));
        f->lease_state = f->leaving ? LEASE_ENDED : LEASE_NONE;
        f->next_lease_call_us = now_us;
        return;
    }
    if (r->outcome != KV_OK) {
        if (f->lease_state == LEASE_REQUESTED) {
            f->lease_state = LEASE_NONE;
        }
        f->next_lease_call_us = now_us + LEASE_RETRY_INTERVAL_US;
        return;
    }
    switch (f->lease_state) {
    case LEASE_REQUESTED:
        f->lease = r->lease;
        f->lease_state = LEASE_GRANTED;
        f->next_lease_call_us = now_us;
        break;
    case LEASE_GRANTED:
        f->lease_state = LEASE_REGISTERED;
        f->registered_revision = r->revision;
        break;
    case LEASE_REGISTERED:
        if (f->leaving) {
            f->lease_state = LEASE_ENDED;
        }
        break;
    case LEASE_NONE:
    case LEASE_ENDED:
        break;
    }
}

void
feed_restart_registration(struct feed *f, int64_t now_us)
{
    if (f->lease_state == LEASE_ENDED) {
        return;
    }
    f->lease_op_id = 0;
    f->lease = 0;
    f->lease_state = f->leaving ? LEASE_ENDED : LEASE_NONE;
    f->next_lease_call_us = now_us;
}

void
feed_note_own_removal(struct feed *f, int64_t now_us, int64_t revision)
{
    if (f->lease_state == LEASE_REGISTERED && !f->leaving &&
        revision > f->registered_revision) {
        LOG_EVENT(LOG_WARN, "registration_removed", LOG_INT("lease", f->lease),
                  LOG_INT("revision", revision));
        feed_restart_registration(f, now_us);
    }
}

static bool
all_listed(const struct feed *f)
{
    bool listed = true;
    for (int i = 0; i < FEED_RANGE_COUNT; i++) {
        listed &= f->range_watches[i].listed_once;
    }
    return listed;
}

bool
feed_next_lease_op(struct feed *f, int64_t now_us, struct kv_op *out)
{
    if (f->lease_op_id || now_us < f->next_lease_call_us) {
        return false;
    }
    switch (f->lease_state) {
    case LEASE_NONE:
        if (f->leaving) {
            f->lease_state = LEASE_ENDED;
            return false;
        }
        out->kind = KV_LEASE_GRANT;
        out->ttl_ms = LEASE_TTL_MS;
        f->lease_state = LEASE_REQUESTED;
        break;
    case LEASE_GRANTED:
        /* Other nodes send queries to a registered node, so this node must
         * know the cluster view first. */
        if (!all_listed(f)) {
            return false;
        }
        out->kind = KV_PUT;
        out->key = buf_str(&f->node_key);
        out->value = f->registered;
        out->second_key = buf_str(&f->capacity_key);
        out->second_value = buf_str(&f->capacity);
        out->lease = f->lease;
        break;
    case LEASE_REGISTERED:
        if (f->leaving && f->range_watches[FEED_RANGE_OPERATOR].failing) {
            /* If the store comes back from an older copy, the lease may be
             * another node's. */
            f->next_lease_call_us = now_us + LEASE_RETRY_INTERVAL_US;
            return false;
        }
        out->kind = f->leaving ? KV_LEASE_REVOKE : KV_LEASE_RENEW;
        out->lease = f->lease;
        break;
    case LEASE_REQUESTED:
    case LEASE_ENDED:
        return false;
    }
    out->timeout_ms = CALL_SLACK_MS;
    f->lease_op_id = out->id = ++f->next_id;
    return true;
}

void
feed_start_deregistration(struct feed *f, int64_t now_us)
{
    f->leaving = true;
    f->next_lease_call_us = now_us;
}

bool
feed_is_deregistered(const struct feed *f)
{
    return f->lease_state == LEASE_ENDED ||
           (f->leaving && f->lease_state == LEASE_NONE);
}

int64_t
feed_lease_call_due_us(const struct feed *f)
{
    bool waits = f->lease_op_id || f->lease_state == LEASE_ENDED ||
                 (f->lease_state == LEASE_GRANTED && !all_listed(f));
    return waits ? INT64_MAX : f->next_lease_call_us;
}
