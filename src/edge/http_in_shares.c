/* Shares of memory and connections that callers may use. When a share is
 * exhausted, callers that make no progress are dropped first. Progress is
 * measured in bytes over time: a mark moves when a caller has sent or read
 * PROGRESS_BYTES since it last moved, so that single bytes do not count. */
#include <inttypes.h>

#include "base/log.h"
#include "edge/http_in_state.h"

/* Callers on a link of 10 Mbit/s need 13 ms for as much. */
#define PROGRESS_BYTES (16 << 10)
/* Limit of the request bodies in memory if the memory is unknown. */
#define DEFAULT_BODY_BYTES_IN_MEMORY ((size_t)256 << 20)
/* While no connection is free, those without progress for this time are
 * closed: ordinary heads arrive at once and bodies within some round trips. */
#define STALLED_US 250000
/* The same for responses, which wait for slow callers more often. */
#define UNREAD_STALLED_US 1000000
/* Closes this part of the connections at a time, at this interval. */
#define CLOSED_PART 16
#define CHECK_INTERVAL_US 50000
#define LOG_INTERVAL_US 1000000

static size_t
body_share(const struct http_in *in)
{
    return in->opts.budget.body_bytes > 0 ? in->opts.budget.body_bytes
                                          : DEFAULT_BODY_BYTES_IN_MEMORY;
}

static void
leave_bodies(struct exchange *x)
{
    if (x->in_bodies) {
        x->in_bodies = false;
        TAILQ_REMOVE(&x->conn->in->bodies, x, body_link);
    }
}

/* Puts a body behind all that made progress earlier. */
static void
mark_body(struct exchange *x)
{
    struct http_in *in = x->conn->in;
    leave_bodies(x);
    x->in_bodies = true;
    x->body_mark_us = in->now_us;
    x->body_mark_bytes = x->body.len;
    TAILQ_INSERT_TAIL(&in->bodies, x, body_link);
}

static void
charge_body(struct exchange *x, size_t bytes)
{
    x->conn->in->body_bytes += bytes - x->body_charge;
    x->body_charge = bytes;
}

void
http_in_free_body(struct exchange *x)
{
    leave_bodies(x);
    buf_free(&x->body);
    charge_body(x, 0);
}

void
http_in_deliver_body(struct exchange *x)
{
    leave_bodies(x);
}

/* Refuses a request whose body is incomplete. */
static void
drop_body(struct exchange *x)
{
    struct http_in *in = x->conn->in;
    in->count.dropped_bodies++;
    http_in_free_body(x);
    x->error_kind = ERRKIND_OVERLOADED;
    x->error_message = "too many bodies are being received";
    http_in_refuse_incomplete(x, ERRKIND_OVERLOADED);
}

bool
http_in_store_body(struct exchange *x, const char *data, size_t n)
{
    struct http_in *in = x->conn->in;
    struct exchange *victim;
    if (!x->in_bodies) {
        mark_body(x);
    }
    /* A body that is alone is stored in any case. */
    while (in->body_bytes + n > body_share(in) &&
           in->body_bytes > x->body_charge) {
        victim = TAILQ_FIRST(&in->bodies);
        drop_body(victim);
        if (victim == x) {
            return false;
        }
    }
    buf_append(&x->body, data, n);
    charge_body(x, x->body.cap);
    if (x->body.len - x->body_mark_bytes >= PROGRESS_BYTES) {
        mark_body(x);
    }
    return true;
}

static void
leave_unread(struct exchange *x)
{
    if (x->in_unread) {
        x->in_unread = false;
        TAILQ_REMOVE(&x->conn->in->unread, x, unread_link);
    }
}

static void
mark_unread(struct exchange *x)
{
    struct http_in *in = x->conn->in;
    leave_unread(x);
    x->in_unread = true;
    x->unread_mark_us = in->now_us;
    x->unread_mark_bytes = x->bytes_read;
    TAILQ_INSERT_TAIL(&in->unread, x, unread_link);
}

void
http_in_charge_unread(struct exchange *x, size_t bytes)
{
    x->conn->in->unread_bytes += bytes - x->unread_charge;
    x->unread_charge = bytes;
    if (bytes == 0) {
        leave_unread(x);
    }
    else if (!x->in_unread ||
             x->bytes_read - x->unread_mark_bytes >= PROGRESS_BYTES) {
        mark_unread(x);
    }
}

/* Closes the connection of a caller that does not read its response. */
static void
drop_unread(struct exchange *x)
{
    x->conn->in->count.dropped_responses++;
    buf_free(&x->out);
    x->out_offset = 0;
    http_in_charge_unread(x, 0);
    /* The response that was begun must not look complete. */
    x->aborted = true;
    http_in_handle_disconnect(x);
    x->disconnected = true;
    http_in_close_connection(x->conn);
    http_in_resume(x);
}

static void
limit_unread(struct http_in *in)
{
    size_t share = in->opts.budget.unread_bytes;
    struct exchange *x;
    while (share > 0 && in->unread_bytes > share &&
           (x = TAILQ_FIRST(&in->unread)) &&
           in->unread_bytes > x->unread_charge) {
        drop_unread(x);
    }
}

static bool
is_stalled_head(const struct conn *c)
{
    return !c->exchange || c->exchange->error_kind;
}

/* Closes up to @p want connections whose head is incomplete, or whose request
 * is refused and read to its end. @return number left */
static int
close_stalled_heads(struct http_in *in, int want)
{
    struct conn *next;
    for (struct conn *c = TAILQ_FIRST(&in->conns_by_state[CONN_RECEIVING]);
         c && want > 0 && in->now_us - c->state_since_us >= STALLED_US;
         c = next) {
        next = TAILQ_NEXT(c, link);
        if (is_stalled_head(c)) {
            http_in_close_connection(c);
            want--;
        }
    }
    return want;
}

static int
close_idle(struct http_in *in, int want)
{
    struct conn *next;
    for (struct conn *c = TAILQ_FIRST(&in->conns_by_state[CONN_IDLE]);
         c && want > 0 && in->now_us - c->state_since_us >= STALLED_US;
         c = next) {
        next = TAILQ_NEXT(c, link);
        if (!http_in_has_unread_bytes(c)) {
            http_in_close_connection(c);
            want--;
        }
    }
    return want;
}

static int
close_stalled_requests(struct http_in *in, int want)
{
    struct exchange *x;
    while (want > 0 && (x = TAILQ_FIRST(&in->bodies)) &&
           in->now_us - x->body_mark_us >= STALLED_US) {
        drop_body(x);
        http_in_close_connection(x->conn);
        want--;
    }
    while (want > 0 && (x = TAILQ_FIRST(&in->unread)) &&
           in->now_us - x->unread_mark_us >= UNREAD_STALLED_US) {
        drop_unread(x);
        want--;
    }
    return want;
}

/* If no connection is free, closes some that make no progress. Others wait in
 * the queue of the listening socket. */
static void
free_connections(struct http_in *in)
{
    if (in->connection_count < in->opts.max_connections ||
        in->now_us < in->next_check_us) {
        return;
    }
    int want = in->opts.max_connections / CLOSED_PART + 1;
    int left = close_stalled_heads(in, want);
    left = close_idle(in, left);
    left = close_stalled_requests(in, left);
    in->count.dropped_connections += (uint64_t)(want - left);
    in->next_check_us = in->now_us + CHECK_INTERVAL_US;
}

static void
log_drops(struct http_in *in)
{
    uint64_t sum = in->count.dropped_bodies + in->count.dropped_responses +
                   in->count.dropped_connections;
    if (sum == in->logged_drops ||
        in->now_us - in->last_drop_log_us < LOG_INTERVAL_US) {
        return;
    }
    LOG_EVENT(LOG_WARN, "callers_dropped",
              LOG_INT("dropped", sum - in->logged_drops),
              LOG_INT("bodies", in->count.dropped_bodies),
              LOG_INT("responses", in->count.dropped_responses),
              LOG_INT("connections", in->count.dropped_connections),
              LOG_INT("open", in->connection_count),
              LOG_INT("body_bytes", in->body_bytes),
              LOG_INT("unread_bytes", in->unread_bytes));
    in->logged_drops = sum;
    in->last_drop_log_us = in->now_us;
}

void
http_in_enforce_shares(struct http_in *in)
{
    limit_unread(in);
    free_connections(in);
    log_drops(in);
}

int64_t
http_in_next_check_us(const struct http_in *in)
{
    return in->connection_count >= in->opts.max_connections ? in->next_check_us
                                                            : INT64_MAX;
}

void
http_in_append_share_metrics(const struct http_in *in, struct buf *out)
{
    buf_printf(out, "cf_http_in_connections_open{thread=\"%d\"} %d\n",
               in->opts.thread, in->connection_count);
    buf_printf(out, "cf_http_in_body_bytes{thread=\"%d\"} %zu\n",
               in->opts.thread, in->body_bytes);
    buf_printf(out, "cf_http_in_unread_bytes{thread=\"%d\"} %zu\n",
               in->opts.thread, in->unread_bytes);
}
