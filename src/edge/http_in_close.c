/* Connections that the server closes by itself. */
#include <sys/socket.h>
#include <unistd.h>

#include "base/clean.h"
#include "base/log.h"
#include "edge/http_in_state.h"

/* Returns whether the caller has sent something that was not read yet. Such a
 * connection is not idle: closing it would reset it and lose a request. */
bool
http_in_has_unread_bytes(const struct conn *c)
{
    char byte;
    return recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void
http_in_close_connection(struct conn *c)
{
    http_in_set_state(c, CONN_PROCESSING);
    shutdown(c->fd, SHUT_RDWR);
    c->in->run_needed = true;
}

/* Sends an error to a caller whose request is still being received. MHD cannot
 * respond before a request is complete, so the response is written directly to
 * the socket. @return false over TLS, where that is not possible */
static bool
send_early_error(struct conn *c, enum errkind kind, const char *headers)
{
    CLEANUP(buf_free) struct buf body = {0};
    CLEANUP(buf_free) struct buf text = {0};
    int status = errkind_info(kind)->http_status;
    if (c->in->opts.tls_cert.len > 0) {
        return false;
    }
    http_in_append_error(&body, kind, STR_LIT(""),
                         c->exchange
                             ? str_from_bytes(c->exchange->request_id, 32)
                             : STR_LIT(""));
    buf_printf(&text,
               "HTTP/1.1 %d %s\r\nConnection: close\r\n"
               "Content-Type: application/json\r\n%s"
               "Content-Length: %zu\r\n\r\n%s",
               status, MHD_get_reason_phrase_for((unsigned)status), headers,
               body.len, body.ptr);
    send(c->fd, text.ptr, text.len, MSG_NOSIGNAL | MSG_DONTWAIT);
    return true;
}

static void
reject_slow_sender(struct http_in *in, struct conn *c)
{
    in->count.slow++;
    if (!in->opts.raw || (c->exchange && !c->exchange->answered)) {
        send_early_error(c, ERRKIND_SLOW_SENDER, "");
    }
}

static bool
is_receiving(const struct conn *c)
{
    return c->exchange && !c->exchange->delivered;
}

/* The rest of the request is read and discarded until the caller has read the
 * response and closes the connection. Closing it with unread bytes would reset
 * it, and the caller could lose the response. */
void
http_in_refuse_incomplete(struct exchange *x, enum errkind kind)
{
    struct conn *c = x->conn;
    if (x->answered || !send_early_error(c, kind, "Retry-After: 1\r\n")) {
        return;
    }
    shutdown(c->fd, SHUT_WR);
    x->error_kind = kind;
    x->answered = true;
    x->aborted = true;
    c->in->count.refusals++;
    http_in_free_body(x);
}

static void
refuse_receiving(struct conn *c)
{
    struct exchange *x = c->exchange;
    if (x->answered) {
        return;
    }
    size_t bytes = x->body.len;
    http_in_refuse_incomplete(x, ERRKIND_NOT_READY);
    if (!x->answered) {
        return;
    }
    LOG_EVENT(LOG_INFO, "refused", LOG_CSTR("why", "the node is stopping"),
              LOG_STR("target", c->target),
              LOG_INT("status", errkind_info(ERRKIND_NOT_READY)->http_status),
              LOG_INT("ms", (c->in->now_us - c->state_since_us) / 1000),
              LOG_INT("bytes", bytes));
}

void
http_in_refuse_receiving(struct http_in *in, int64_t older_than_us)
{
    struct conn *c;
    TAILQ_FOREACH(c, &in->conns_by_state[CONN_RECEIVING], link)
    {
        if (in->now_us - c->state_since_us < older_than_us) {
            return;
        }
        if (is_receiving(c)) {
            refuse_receiving(c);
        }
    }
}

int
http_in_receiving_requests(const struct http_in *in)
{
    const struct conn *c;
    int count = 0;
    TAILQ_FOREACH(c, &in->conns_by_state[CONN_RECEIVING], link)
    {
        count += is_receiving(c);
    }
    return count;
}

void
http_in_expire(struct http_in *in)
{
    for (int s = 0; s < CONN_STATES; s++) {
        struct conn *c;
        while ((c = TAILQ_FIRST(&in->conns_by_state[s])) &&
               in->now_us - c->state_since_us > in->state_timeout_us[s]) {
            if (s == CONN_IDLE && http_in_has_unread_bytes(c)) {
                http_in_set_state(c, CONN_IDLE);
                in->run_needed = true;
                continue;
            }
            if (s == CONN_RECEIVING) {
                reject_slow_sender(in, c);
            }
            http_in_close_connection(c);
        }
    }
}

void
http_in_close_idle(struct http_in *in)
{
    struct conn *c;
    struct conn *next;
    for (c = TAILQ_FIRST(&in->conns_by_state[CONN_IDLE]); c; c = next) {
        next = TAILQ_NEXT(c, link);
        if (!http_in_has_unread_bytes(c)) {
            http_in_close_connection(c);
        }
    }
}

void
http_in_stop_listening(struct http_in *in)
{
    if (!in->listening) {
        return;
    }
    in->listening = false;
    MHD_socket fd = MHD_quiesce_daemon(in->daemon);
    if (fd == MHD_INVALID_SOCKET) {
        LOG_EVENT(LOG_WARN, "still_listening", LOG_INT("port", in->opts.port));
        return;
    }
    close(fd);
}
