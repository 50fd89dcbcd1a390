/* The smallest forwarder that libmicrohttpd and libcurl allow: one thread,
 * whole bodies, no limits, no checks. The baseline of bench_latency.
 * Usage: bench_forwarder TARGET_URL; prints "port=N". */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include "base/str.h"
#include "edge/loop.h"

struct request {
    struct MHD_Connection *conn;
    struct buf body;
    struct buf answer;
    CURL *easy;
    long status;
    bool done;
};

static struct loop *loop;
static CURLM *multi;
static const char *target;
static struct curl_slist *headers;
static int64_t timer_us = INT64_MAX;
static CURL *spare[1024];
static int spare_count;
static volatile sig_atomic_t stopping;

static size_t
on_answer(char *p, size_t size, size_t n, void *ctx)
{
    buf_append(&((struct request *)ctx)->answer, p, size * n);
    return size * n;
}

static void
forward(struct request *r)
{
    r->easy = spare_count ? spare[--spare_count] : curl_easy_init();
    curl_easy_setopt(r->easy, CURLOPT_URL, target);
    curl_easy_setopt(r->easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(r->easy, CURLOPT_PRIVATE, r);
    curl_easy_setopt(r->easy, CURLOPT_WRITEFUNCTION, on_answer);
    curl_easy_setopt(r->easy, CURLOPT_WRITEDATA, r);
    curl_easy_setopt(r->easy, CURLOPT_POSTFIELDS, r->body.ptr);
    curl_easy_setopt(r->easy, CURLOPT_POSTFIELDSIZE, (long)r->body.len);
    curl_multi_add_handle(multi, r->easy);
}

static enum MHD_Result
handle(void *cls, struct MHD_Connection *conn, const char *url,
       const char *method, const char *version, const char *data, size_t *size,
       void **con_cls)
{
    struct request *r = *con_cls;
    (void)cls;
    (void)url;
    (void)method;
    (void)version;
    if (!r) {
        *con_cls = r = mem_zero(1, sizeof(*r));
        r->conn = conn;
        return MHD_YES;
    }
    if (*size) {
        buf_append(&r->body, data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (!r->done) {
        forward(r);
        MHD_suspend_connection(conn);
        return MHD_YES;
    }
    struct MHD_Response *resp = MHD_create_response_from_buffer(
        r->answer.len, r->answer.ptr, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(resp, "Content-Type", "application/json");
    enum MHD_Result ok = MHD_queue_response(conn, (unsigned)r->status, resp);
    MHD_destroy_response(resp);
    return ok;
}

static void
completed(void *cls, struct MHD_Connection *conn, void **con_cls,
          enum MHD_RequestTerminationCode code)
{
    struct request *r = *con_cls;
    (void)cls;
    (void)conn;
    (void)code;
    if (r) {
        buf_free(&r->body);
        buf_free(&r->answer);
        free(r);
    }
}

static void
collect(void)
{
    CURLMsg *m;
    int left;
    while ((m = curl_multi_info_read(multi, &left))) {
        struct request *r = NULL;
        CURL *easy = m->easy_handle;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&r);
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &r->status);
        r->status = m->data.result == CURLE_OK ? r->status : 502;
        r->done = true;
        curl_multi_remove_handle(multi, easy);
        if (spare_count < 1024) {
            spare[spare_count++] = easy;
        }
        else {
            curl_easy_cleanup(easy);
        }
        MHD_resume_connection(r->conn);
    }
}

struct watched {
    int fd;
    struct loop_source *source;
};

static void
on_ready(void *ctx, uint32_t events)
{
    struct watched *w = ctx;
    int running;
    curl_multi_socket_action(multi, w->fd,
                             (events & EPOLLIN ? CURL_CSELECT_IN : 0) |
                                 (events & EPOLLOUT ? CURL_CSELECT_OUT : 0),
                             &running);
    collect();
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *sock)
{
    struct watched *w = sock;
    uint32_t events = (what & CURL_POLL_IN ? EPOLLIN : 0) |
                      (what & CURL_POLL_OUT ? EPOLLOUT : 0);
    (void)easy;
    (void)ctx;
    if (what == CURL_POLL_REMOVE) {
        if (w) {
            loop_del(loop, w->source);
            free(w);
        }
        return 0;
    }
    if (w) {
        loop_mod(loop, w->source, events);
        return 0;
    }
    w = mem_zero(1, sizeof(*w));
    w->fd = fd;
    w->source = loop_add(loop, fd, events, on_ready, w);
    curl_multi_assign(multi, fd, w);
    return 0;
}

static int
on_timer(CURLM *m, long ms, void *ctx)
{
    (void)m;
    (void)ctx;
    timer_us = ms < 0 ? INT64_MAX : loop_now_us() + ms * 1000L;
    return 0;
}

static void
on_server(void *ctx, uint32_t events)
{
    (void)ctx;
    (void)events;
}

static void
on_signal(int sig)
{
    (void)sig;
    stopping = 1;
}

int
main(int argc, char **argv)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    if (argc != 2) {
        fputs("usage: bench_forwarder TARGET_URL\n", stderr);
        return 2;
    }
    target = argv[1];
    signal(SIGTERM, on_signal);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    headers = curl_slist_append(NULL, "Content-Type: application/json");
    headers = curl_slist_append(headers, "Expect:");
    headers = curl_slist_append(headers, "X-Attempt: 1");
    loop = loop_new();
    multi = curl_multi_init();
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, on_timer);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, 1024L);
    struct MHD_Daemon *d = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle, NULL,
        MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&a,
        MHD_OPTION_NOTIFY_COMPLETED, completed, NULL, MHD_OPTION_END);
    if (!d) {
        return 1;
    }
    int fd = MHD_get_daemon_info(d, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    loop_add(loop, fd, EPOLLIN, on_server, NULL);
    printf("port=%d\n",
           MHD_get_daemon_info(d, MHD_DAEMON_INFO_BIND_PORT)->port);
    fflush(stdout);
    while (!stopping) {
        MHD_UNSIGNED_LONG_LONG ms;
        int64_t wake = timer_us;
        int running;
        if (MHD_get_timeout(d, &ms) == MHD_YES &&
            loop_now_us() + (int64_t)ms * 1000 < wake) {
            wake = loop_now_us() + (int64_t)ms * 1000;
        }
        loop_run(loop, wake);
        if (timer_us <= loop_now_us()) {
            timer_us = INT64_MAX;
            curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running);
            collect();
        }
        MHD_run(d);
    }
    return 0;
}
