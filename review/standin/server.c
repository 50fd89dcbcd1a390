/* Stand-in for a server of a plain service. It appends a line to a file when
 * it begins to run a request and one when it has answered it, so that the
 * lines outlast the process. With --crashes 1 it crashes as it begins to run a
 * request whose body is "crash". */
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fakes/http.h"

static struct {
    struct fh *h;
    const char *id;
    int64_t work_ms;
    int64_t crashes;
    int fd;
} sv;

struct run {
    struct fh_req *req;
    char id[32];
};

static void
note(const char *what, const char *id)
{
    char line[96];
    int n = snprintf(line, sizeof(line), "%" PRId64 " %s %s\n",
                     (int64_t)g_get_monotonic_time(), what, id);
    if (write(sv.fd, line, (size_t)n) != n) {
        _exit(1);
    }
}

static void
on_closed(struct fh_req *r)
{
    struct run *x = r->user;
    if (x) {
        x->req = NULL;
    }
}

static void
answer(void *arg)
{
    struct run *x = arg;
    if (x->req) {
        char seal[80];
        snprintf(seal, sizeof(seal), "%s.%s", sv.id, x->id);
        x->req->user = NULL;
        note("answers", x->id);
        fh_add_header(x->req, "Camphorfall-Response-Seal", seal);
        fh_reply(x->req, 200, "text/plain", str_from_cstr(seal));
    }
    free(x);
}

static void
handler(void *ctx, struct fh_req *r)
{
    const char *id = fh_request_header(r, "Camphorfall-Request-Id");
    const char *expected = fh_request_header(r, "Camphorfall-Expect-Instance");
    (void)ctx;
    if (str_eq_cstr(r->path, "/health")) {
        fh_add_header(r, "Camphorfall-Instance-Id", sv.id);
        fh_reply(r, 200, "text/plain", STR_LIT("ok"));
        return;
    }
    if (id) {
        fh_add_header(r, "Camphorfall-Request-Id", id);
    }
    if (!id || (expected && strcmp(expected, sv.id) != 0)) {
        fh_add_header(r, "Camphorfall-Not-Executed", "1");
        fh_reply(r, id ? 421 : 400, "text/plain", STR_LIT(""));
        return;
    }
    note("runs", id);
    if (sv.crashes && str_eq_cstr(r->body, "crash")) {
        _exit(3);
    }
    struct run *x = mem_calloc(1, sizeof(*x));
    x->req = r;
    g_strlcpy(x->id, id, sizeof(x->id));
    r->user = x;
    r->on_end = on_closed;
    fh_add_timer(sv.h, sv.work_ms * 1000, answer, x);
}

int
main(int argc, char **argv)
{
    int64_t port = 0;
    const char *runs = NULL;
    const struct fh_option opts[] = {
        {"port", &port, NULL, NULL, "0: any"},
        {"id", NULL, NULL, &sv.id, "id of this start"},
        {"work-ms", &sv.work_ms, NULL, NULL, "time for a request"},
        {"runs", NULL, NULL, &runs, "file for the requests that it runs"},
        {"crashes", &sv.crashes, NULL, NULL, "1: a body \"crash\" crashes it"},
    };
    fh_options(argc, argv, "Stand-in for a server.", opts, 5);
    sv.fd = open(runs, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    struct fh_options o = {.port = (int)port, .handler = handler};
    sv.h = fh_new(&o);
    if (!sv.h || sv.fd < 0) {
        fprintf(stderr, "cannot listen on port %d\n", (int)port);
        return 1;
    }
    return fh_serve(sv.h);
}
