/* A minimal HTTP forwarder on libmicrohttpd and libcurl: it has one thread,
 * buffers whole bodies and has no limits and no checks. bench_latency uses it
 * as its baseline. Usage: bench_forwarder TARGET_URL; prints "port=N". */
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
    struct buf response;
    CURL *easy;
    long status;
    bool done;
};

static struct loop *loop;
static CURLM *multi;
static const char *target;
static struct curl_slist *headers;
static int64_t timer_us = INT64_MAX;
static CURL *idle_handles[1024];
static int idle_handle_count;
static volatile sig_atomic_t stopping;

static size_t
on_response_body(char *p, size_t size, size_t n, void *ctx)
{
    buf_append(&((struct request *)ctx)->response, p, size * n);
    return size * n;
}

static void
forward_request(struct request *r)
{
    r->easy = idle_handle_count ? idle_handles[--idle_handle_count]
                                : curl_easy_init();
    curl_easy_setopt(r->easy, CURLOPT_URL, target);
    curl_easy_setopt(r->easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(r->easy, CURLOPT_PRIVATE, r);
    curl_easy_setopt(r->easy, CURLOPT_WRITEFUNCTION, on_response_body);
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
        *con_cls = r = mem_calloc(1, sizeof(*r));
        r->conn = conn;
        return MHD_YES;
    }
    if (*size) {
        buf_append(&r->body, data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (!r->done) {
        forward_request(r);
        MHD_suspend_connection(conn);
        return MHD_YES;
    }
    struct MHD_Response *mhd_response = MHD_create_response_from_buffer(
        r->response.len, r->response.ptr, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(mhd_response, "Content-Type", "application/json");
    enum MHD_Result ok =
        MHD_queue_response(conn, (unsigned)r->status, mhd_response);
    MHD_destroy_response(mhd_response);
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
        buf_free(&r->response);
        free(r);
    }
}

static void
collect(void)
{
    CURLMsg *m;
    int messages_left;
    while ((m = curl_multi_info_read(multi, &messages_left))) {
        struct request *r = NULL;
        CURL *easy = m->easy_handle;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&r);
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &r->status);
        r->status = m->data.result == CURLE_OK ? r->status : 502;
        r->done = true;
        curl_multi_remove_handle(multi, easy);
        if (idle_handle_count < 1024) {
            idle_handles[idle_handle_count++] = easy;
        }
        else {
            curl_easy_cleanup(easy);
        }
        MHD_resume_connection(r->conn);
    }
}

struct watched_socket {
    int fd;
    struct loop_source *source;
};

static void
on_socket_ready(void *ctx, uint32_t events)
{
    struct watched_socket *w = ctx;
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
    struct watched_socket *w = sock;
    uint32_t events = (what & CURL_POLL_IN ? EPOLLIN : 0) |
                      (what & CURL_POLL_OUT ? EPOLLOUT : 0);
    (void)easy;
    (void)ctx;
    if (what == CURL_POLL_REMOVE) {
        if (w) {
            loop_remove(loop, w->source);
            free(w);
        }
        return 0;
    }
    if (w) {
        loop_modify(loop, w->source, events);
        return 0;
    }
    w = mem_calloc(1, sizeof(*w));
    w->fd = fd;
    w->source = loop_add(loop, fd, events, on_socket_ready, w);
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
on_server_ready(void *ctx, uint32_t events)
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
    loop_add(loop, fd, EPOLLIN, on_server_ready, NULL);
    printf("port=%d\n",
           MHD_get_daemon_info(d, MHD_DAEMON_INFO_BIND_PORT)->port);
    fflush(stdout);
    while (!stopping) {
        MHD_UNSIGNED_LONG_LONG ms;
        int64_t wake_us = timer_us;
        int running;
        if (MHD_get_timeout(d, &ms) == MHD_YES &&
            loop_now_us() + (int64_t)ms * 1000 < wake_us) {
            wake_us = loop_now_us() + (int64_t)ms * 1000;
        }
        loop_run_once(loop, wake_us);
        if (timer_us <= loop_now_us()) {
            timer_us = INT64_MAX;
            curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running);
            collect();
        }
        MHD_run(d);
    }
    return 0;
}
