/* Stand-in for a server of the platform: responds to requests with its seal
 * header, with event streams and with results of stage pieces. GET
 * /control/stats returns statistics, GET /control/arrivals the time, the id
 * and whether it ran of each request, POST /control sets faults. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fakes/http.h"
#include "tests/proc.h"

/* Memory for results as in the rig's configuration, and the size of one. */
#define ROOM_MB 36
#define RESULT_BYTES 8000
/* From the response head to the crash; longer than the time within which
 * crashes count as one. */
#define CRASH_DELAY_US 100000
/* A later event is sent after a silence. */
#define EVENT_LATE_MAX_US 400000
/* Time for the response to the control call that announces a silence. */
#define SILENCE_DELAY_US 20000

static struct {
    struct fh *h;
    const char *id;
    GHashTable *runs; /* request id -> count */
    int64_t delay_us;
    int64_t events; /* of a stream; 0: plain responses */
    int64_t event_gap_us;
    int64_t tag_events;     /* events carry the id of their request */
    int64_t stage_delay_us; /* of the results of stages */
    int64_t next_handle;
    GHashTable *held;    /* numbers of the results that are kept */
    int64_t read_inputs; /* a missing input rejects the request */
    int64_t inputs_gone; /* requests that were rejected for this */
    int64_t pieces;
    int64_t calls;
    int64_t drop_after;    /* the next N requests run, but get no response */
    int64_t shed;          /* the next N requests are rejected */
    int64_t retry_after_s; /* pause that rejections ask for; 0: none */
    int64_t crash_part; /* exits after the response head of a request with this
                           prompt part; 0: none */
    int64_t fail_tenths; /* of the responses are failures */
    int64_t leaving;     /* says in all responses that it is about to stop */
    int64_t arrivals;    /* requests that arrived */
    int64_t break_at;    /* the next stream stops after this event; -1: none */
    int64_t inputs;      /* requests that had inputs */
    GArray *log;         /* struct arrival, requests other than for pieces */
    int64_t silent_us;   /* length of a silence, with open connections */
    int64_t silent_every_us; /* from one begin to the next; 0: only one */
    uint64_t silence_timer;
    bool protocol_error; /* a request violated the protocol */
} sv = {.break_at = -1, .event_gap_us = 5000};

struct arrival {
    int64_t at_us;
    char id[32];
    bool ran;
};

struct pending {
    struct fh_req *req;
    char id[32];
    json_t *results; /* of a stage; owned */
    int64_t next;
    int64_t next_us; /* time of the next event */
    int64_t stop;
    uint64_t timer;
};

static bool
take(int64_t *n)
{
    return *n > 0 && (*n)--;
}

static void
sign(struct fh_req *r, const char *id)
{
    char seal[96];
    snprintf(seal, sizeof(seal), "%s.%s", sv.id, id);
    fh_add_header(r, "Camphorfall-Response-Seal", seal);
}

static void
on_caller_disconnected(struct fh_req *r)
{
    struct pending *p = r->user;
    if (p) {
        p->req = NULL;
    }
}

static void
next_event(void *arg)
{
    struct pending *p = arg;
    char text[96];
    if (!p->req) {
        free(p);
        return;
    }
    if (p->next > p->stop || p->next >= sv.events) {
        p->req->user = NULL;
        fh_stream_end(p->req, p->next >= sv.events);
        free(p);
        return;
    }
    snprintf(text, sizeof(text), "id: %" PRId64 "\ndata: e%" PRId64 "%s%s\n\n",
             p->next, p->next, sv.tag_events ? " " : "",
             sv.tag_events ? p->id : "");
    fh_stream_write(p->req, str_from_cstr(text));
    p->next++;
    /* The times are absolute, so that late timers do not add up; after a
     * silence the stream goes on at its pace. */
    int64_t now_us = g_get_monotonic_time();
    p->next_us += sv.event_gap_us;
    if (now_us - p->next_us > EVENT_LATE_MAX_US) {
        p->next_us = now_us + sv.event_gap_us;
    }
    fh_add_timer(sv.h, p->next_us > now_us ? p->next_us - now_us : 0,
                 next_event, p);
}

static void
crash(void *arg)
{
    (void)arg;
    _exit(3);
}

static bool
has_crash_part(struct fh_req *r)
{
    char part[32];
    const char *parts = fh_request_header(r, "Camphorfall-Prompt-Prefix");
    snprintf(part, sizeof(part), ",%" PRIx64 ":", (uint64_t)sv.crash_part);
    return sv.crash_part && parts && strstr(parts, part);
}

static void
begin_stream(struct fh_req *r, const char *id)
{
    const char *last = fh_request_header(r, "Last-Event-Id");
    struct pending *p = mem_calloc(1, sizeof(*p));
    p->req = r;
    g_strlcpy(p->id, id, sizeof(p->id));
    p->next_us = g_get_monotonic_time();
    p->next = last ? g_ascii_strtoll(last, NULL, 10) + 1 : 0;
    p->stop = sv.break_at >= 0 ? sv.break_at : INT64_MAX;
    sv.break_at = -1;
    r->user = p;
    r->on_end = on_caller_disconnected;
    fh_stream_begin(r, "text/event-stream");
    if (has_crash_part(r)) {
        fh_add_timer(sv.h, CRASH_DELAY_US, crash, NULL);
        return;
    }
    next_event(p);
}

static void
answer(void *arg)
{
    struct pending *p = arg;
    struct fh_req *r = p->req;
    free(p);
    if (!r) {
        return;
    }
    r->user = NULL;
    char text[128];
    snprintf(text, sizeof(text), "answer of %s to %.*s", sv.id,
             STR_FMT(r->body));
    fh_reply(r, 200, "text/plain", str_from_cstr(text));
}

static void
run(struct fh_req *r, const char *id)
{
    char *key = g_strdup(id);
    gpointer n = g_hash_table_lookup(sv.runs, key);
    g_hash_table_replace(sv.runs, key,
                         GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
    sv.inputs += fh_request_header(r, "Camphorfall-Inputs") != NULL;
    g_array_index(sv.log, struct arrival, sv.log->len - 1).ran = true;
    if (take(&sv.drop_after)) {
        fh_drop_connection(r);
        return;
    }
    sign(r, id);
    if ((sv.arrivals * 7) % 10 < sv.fail_tenths) {
        fh_reply_json(r, 500, json_object());
        return;
    }
    if (sv.events > 0) {
        begin_stream(r, id);
        return;
    }
    struct pending *p = mem_calloc(1, sizeof(*p));
    p->req = r;
    r->user = p;
    r->on_end = on_caller_disconnected;
    fh_add_timer(sv.h, sv.delay_us, answer, p);
}

static void
send_results(void *arg)
{
    struct pending *p = arg;
    if (p->req) {
        p->req->user = NULL;
        fh_reply_json(p->req, 200, p->results);
    }
    else {
        json_decref(p->results);
    }
    free(p);
}

static void
stage_run(struct fh_req *r)
{
    json_t *body = json_loadb(r->body.ptr, r->body.len, 0, NULL);
    json_t *out = json_array();
    size_t i;
    const json_t *it;
    sv.calls++;
    json_array_foreach(json_object_get(body, "items"), i, it)
    {
        bool keyed = json_object_get(it, "key") != NULL;
        bool inputs = json_array_size(json_object_get(it, "inputs")) > 0;
        sv.protocol_error |= keyed == inputs;
        char handle[64];
        snprintf(handle, sizeof(handle), "127.0.0.1:%d/%" PRId64,
                 fh_port(sv.h), ++sv.next_handle);
        sv.pieces++;
        g_hash_table_add(sv.held, GINT_TO_POINTER((int)sv.next_handle));
        json_array_append_new(out, json_pack("{s:s}", "handle", handle));
    }
    json_decref(body);
    struct pending *p = mem_calloc(1, sizeof(*p));
    p->req = r;
    p->results = json_pack("{s:o}", "items", out);
    r->user = p;
    r->on_end = on_caller_disconnected;
    fh_add_timer(sv.h, sv.stage_delay_us, send_results, p);
}

static void
stage_free(struct fh_req *r)
{
    json_t *body = json_loadb(r->body.ptr, r->body.len, 0, NULL);
    size_t i;
    const json_t *it;
    json_array_foreach(json_object_get(body, "handles"), i, it)
    {
        const char *number = strchr(json_string_value(it), '/');
        g_hash_table_remove(sv.held,
                            GINT_TO_POINTER(number ? atoi(number + 1) : 0));
    }
    json_decref(body);
    fh_reply_json(r, 200, json_object());
}

/* Reads the inputs of a request from their makers. @return false if one of
 * them is gone */
static bool
read_inputs(struct fh_req *r)
{
    const char *all = fh_request_header(r, "Camphorfall-Inputs");
    char **handles = g_strsplit(all ? all : "", ",", -1);
    bool found = true;
    for (char **h = handles; *h; h++) {
        const char *port = strchr(*h, ':');
        const char *number = strchr(*h, '/');
        char *path = g_strdup_printf("/control/held?handle=%s",
                                     number ? number + 1 : "");
        found &= proc_http_request(port ? atoi(port + 1) : 0, "GET", path, "",
                                   STR_LIT(""), NULL) == 200;
        g_free(path);
    }
    g_strfreev(handles);
    return found;
}

static void
report(struct fh_req *r)
{
    int64_t held = g_hash_table_size(sv.held);
    int64_t free_mb = ROOM_MB - held * RESULT_BYTES / 1000000;
    fh_reply_json(r, 200,
                  json_pack("{s:i,s:b,s:I}", "queued", 0, "busy", 0, "freeMb",
                            (json_int_t)(free_mb > 0 ? free_mb : 0)));
}

static void schedule_silence(int64_t from_us);

/* Holds all work of this process; connections stay open. */
static void
fall_silent(void *arg)
{
    (void)arg;
    int64_t begin_us = fh_now_us();
    sv.silence_timer = 0;
    g_usleep((gulong)sv.silent_us);
    if (sv.silent_every_us > 0) {
        schedule_silence(begin_us + sv.silent_every_us);
    }
}

static void
schedule_silence(int64_t from_us)
{
    int64_t now_us = fh_now_us();
    fh_cancel_timer(sv.h, sv.silence_timer);
    sv.silence_timer = 0;
    if (sv.silent_us > 0) {
        from_us = MAX(from_us, now_us + SILENCE_DELAY_US);
        sv.silence_timer =
            fh_add_timer(sv.h, from_us - now_us, fall_silent, NULL);
    }
}

static void
set_faults(const struct fh_req *r)
{
    json_t *o = json_loadb(r->body.ptr, r->body.len, 0, NULL);
    json_unpack(o, "{s?I,s?I,s?I,s?I,s?I,s?I,s?I}", "drop_after",
                &sv.drop_after, "shed", &sv.shed, "break_at", &sv.break_at,
                "delay_us", &sv.delay_us, "retry_after_s", &sv.retry_after_s,
                "leaving", &sv.leaving, "crash_part", &sv.crash_part);
    json_unpack(o, "{s?I}", "fail_tenths", &sv.fail_tenths);
    json_unpack(o, "{s?I,s?I,s?I,s?I,s?I}", "events", &sv.events,
                "event_gap_us", &sv.event_gap_us, "tag_events", &sv.tag_events,
                "read_inputs", &sv.read_inputs, "stage_delay_us",
                &sv.stage_delay_us);
    if (json_object_get(o, "silent_us")) {
        /* The begin of the first silence, on the monotonic clock. */
        int64_t from_us = 0;
        sv.silent_every_us = 0;
        json_unpack(o, "{s:I,s?I,s?I}", "silent_us", &sv.silent_us,
                    "silent_from_us", &from_us, "silent_every_us",
                    &sv.silent_every_us);
        schedule_silence(from_us);
    }
    json_decref(o);
}

static void
reply_log(struct fh_req *r)
{
    json_t *rows = json_array();
    for (guint i = 0; i < sv.log->len; i++) {
        const struct arrival *a = &g_array_index(sv.log, struct arrival, i);
        json_array_append_new(
            rows, json_pack("[I,s,b]", (json_int_t)a->at_us, a->id, a->ran));
    }
    fh_reply_json(r, 200, rows);
}

static void
control(struct fh_req *r)
{
    const char *handle = fh_query_argument(r, "handle");
    if (str_eq_cstr(r->method, "POST")) {
        set_faults(r);
    }
    if (handle) {
        bool held =
            g_hash_table_contains(sv.held, GINT_TO_POINTER(atoi(handle)));
        fh_reply_json(r, held ? 200 : 404, json_object());
        return;
    }
    if (str_eq_cstr(r->path, "/control/arrivals")) {
        reply_log(r);
        return;
    }
    const char *query_id = fh_query_argument(r, "id");
    if (query_id) {
        char text[16];
        snprintf(text, sizeof(text), "%d",
                 GPOINTER_TO_INT(g_hash_table_lookup(sv.runs, query_id)));
        fh_reply(r, 200, "text/plain", str_from_cstr(text));
        return;
    }
    int64_t runs = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, sv.runs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        runs += GPOINTER_TO_INT(v);
    }
    fh_reply_json(
        r, 200,
        json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:b}", "runs",
                  (json_int_t)runs, "arrivals", (json_int_t)sv.arrivals,
                  "held", (json_int_t)g_hash_table_size(sv.held), "pieces",
                  (json_int_t)sv.pieces, "calls", (json_int_t)sv.calls,
                  "inputs", (json_int_t)sv.inputs, "inputs_gone",
                  (json_int_t)sv.inputs_gone, "bad", sv.protocol_error));
}

static void
log_arrival(const char *id)
{
    struct arrival a = {.at_us = fh_now_us()};
    g_strlcpy(a.id, id ? id : "-", sizeof(a.id));
    g_array_append_val(sv.log, a);
}

static void
handler(void *ctx, struct fh_req *r)
{
    const char *id = fh_request_header(r, "Camphorfall-Request-Id");
    const char *expected_instance =
        fh_request_header(r, "Camphorfall-Expect-Instance");
    (void)ctx;
    if (str_starts_with(r->path, STR_LIT("/control"))) {
        control(r);
        return;
    }
    if (str_eq_cstr(r->path, "/report")) {
        report(r);
        return;
    }
    if (str_eq_cstr(r->path, "/stage-free")) {
        stage_free(r);
        return;
    }
    if (id) {
        fh_add_header(r, "Camphorfall-Request-Id", id);
    }
    if (sv.leaving) {
        fh_add_header(r, "Server-Leaving", "1");
    }
    sv.arrivals++;
    if (!str_eq_cstr(r->path, "/stage-run")) {
        log_arrival(id);
    }
    if (expected_instance && strcmp(expected_instance, sv.id) != 0) {
        fh_add_header(r, "Camphorfall-Instance-Id", sv.id);
        fh_reply_json(r, 421, json_object());
        return;
    }
    if (take(&sv.shed)) {
        fh_add_header(r, "Camphorfall-Not-Executed", "1");
        if (sv.retry_after_s > 0) {
            char seconds[24];
            snprintf(seconds, sizeof(seconds), "%" PRId64, sv.retry_after_s);
            fh_add_header(r, "Retry-After", seconds);
        }
        fh_reply_json(r, 503, json_object());
        return;
    }
    if (str_eq_cstr(r->path, "/stage-run")) {
        stage_run(r);
        return;
    }
    sv.protocol_error |= !id || fh_request_header(r, "Camphorfall-Key") ||
                         !fh_request_header(r, "Camphorfall-Tenant") ||
                         !fh_request_header(r, "Camphorfall-Deadline-Ms");
    if (sv.read_inputs && !read_inputs(r)) {
        sv.inputs_gone++;
        fh_add_header(r, "Camphorfall-Not-Executed", "1");
        fh_reply_json(r, 409, json_object());
        return;
    }
    run(r, id ? id : "-");
}

int
main(int argc, char **argv)
{
    int64_t port = 0;
    const struct fh_option opts[] = {
        {"port", &port, NULL, NULL, "0: any"},
        {"id", NULL, NULL, &sv.id, "id of this server"},
        {"events", &sv.events, NULL, NULL,
         "events of a stream; 0: plain responses"},
        {"delay-us", &sv.delay_us, NULL, NULL, "delay of a plain response"},
    };
    fh_options(argc, argv, "Stand-in for a server of the platform.", opts, 4);
    sv.held = g_hash_table_new(NULL, NULL);
    sv.log = g_array_new(FALSE, FALSE, sizeof(struct arrival));
    sv.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct fh_options o = {.port = (int)port, .handler = handler};
    sv.h = fh_new(&o);
    if (!sv.h) {
        fprintf(stderr, "cannot listen on port %d\n", (int)port);
        return 1;
    }
    return fh_serve(sv.h);
}
