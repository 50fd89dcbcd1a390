/* Connections that the server closes by itself. */
#include <sys/socket.h>

#include "base/clean.h"
#include "edge/http_in_state.h"

static void
close_connection(struct conn *c)
{
    http_in_set_state(c, CONN_PROCESSING);
    shutdown(c->fd, SHUT_RDWR);
    c->in->run_needed = true;
}

/* Sends status 408. MHD cannot respond before a request is complete, so the
 * response is written directly to the socket; over TLS the connection is only
 * closed. */
static void
reject_slow_sender(struct http_in *in, struct conn *c)
{
    CLEANUP(buf_free) struct buf body = {0};
    CLEANUP(buf_free) struct buf head = {0};
    in->count.slow++;
    if (in->opts.tls_cert.len > 0 || (in->opts.raw && !c->exchange)) {
        return;
    }
    http_in_append_error(&body, ERRKIND_SLOW_SENDER, STR_LIT(""),
                         c->exchange
                             ? str_from_bytes(c->exchange->request_id, 32)
                             : STR_LIT(""));
    buf_printf(&head,
               "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
               "Content-Type: application/json\r\n"
               "Content-Length: %zu\r\n\r\n%s",
               body.len, body.ptr);
    send(c->fd, head.ptr, head.len, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void
http_in_expire(struct http_in *in)
{
    for (int s = 0; s < CONN_STATES; s++) {
        struct conn *c;
        while ((c = TAILQ_FIRST(&in->conns_by_state[s])) &&
               in->now_us - c->state_since_us > in->state_timeout_us[s]) {
            if (s == CONN_RECEIVING) {
                reject_slow_sender(in, c);
            }
            close_connection(c);
        }
    }
}

void
http_in_close_idle(struct http_in *in)
{
    struct conn *c;
    while ((c = TAILQ_FIRST(&in->conns_by_state[CONN_IDLE]))) {
        close_connection(c);
    }
}
