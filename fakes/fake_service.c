/* Stand-in for a plain service whose calls must not be repeated. A POST to any
 * path appends a record; GET /control/stats returns how often each action was
 * recorded. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "fakes/http.h"

static struct {
    struct fh *h;
    GHashTable *actions; /* action id -> count */
    GHashTable *ids;     /* X-Request-Id -> count */
    json_t *records;
    int64_t requests;
    int64_t delay_us;
    int64_t hang;        /* next N requests are recorded but get no response */
    int64_t fail_before; /* next N requests get 500 and no record */
    int64_t fail_after;  /* next N requests get 500 after the record */
    int64_t drop_before; /* next N connections are closed without a record */
    int64_t drop_after;  /* next N connections are closed after the record */
    bool leaving;
    bool report_load;
    int in_flight;
    int64_t last_us; /* arrival of the newest request; 0: none */
    char start_id[17];
} sv;

static bool
take(int64_t *n)
{
    return *n > 0 && (*n)--;
}

static int64_t
count(GHashTable *t, const char *key)
{
    int64_t n = (int64_t)(intptr_t)g_hash_table_lookup(t, key) + 1;
    g_hash_table_insert(t, g_strdup(key), (void *)(intptr_t)n);
    return n;
}

static int64_t
count_repeated(GHashTable *t)
{
    int64_t n = 0;
    GHashTableIter it;
    void *v;
    g_hash_table_iter_init(&it, t);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        n += (intptr_t)v > 1;
    }
    return n;
}

/* The action id is a member of the body or of the caller's request, which is
 * the body's member "request". */
static const char *
get_action_id(json_t *body)
{
    json_t *a = json_object_get(body, "action_id");
    if (!a) {
        a = json_object_get(json_object_get(body, "request"), "action_id");
    }
    return json_string_value(a);
}

static json_t *
append_record(struct fh_req *r)
{
    json_t *body = json_loadb(r->body.ptr, r->body.len, 0, NULL);
    const char *action = get_action_id(body);
    const char *id = fh_request_header(r, "X-Request-Id");
    json_t *rec = json_pack("{s:I,s:s?,s:s?,s:s#}", "number",
                            (json_int_t)json_array_size(sv.records) + 1,
                            "action_id", action, "request_id", id, "path",
                            r->path.ptr, (int)r->path.len);
    if (action) {
        count(sv.actions, action);
    }
    json_array_append(sv.records, rec);
    json_decref(body);
    return rec;
}

static void
headers(struct fh_req *r)
{
    const char *attempt = fh_request_header(r, "X-Attempt");
    char load[96];
    if (attempt) {
        fh_add_header(r, "X-Attempt", attempt);
    }
    fh_add_header(r, "X-Start-Id", sv.start_id);
    if (sv.report_load) {
        snprintf(load, sizeof(load),
                 "{\"in_flight\":%d,\"queue\":0,\"cold\":false}",
                 sv.in_flight);
        fh_add_header(r, "Endpoint-Load-Metrics", load);
    }
}

struct job {
    struct fh_req *r;
    uint64_t timer;
};

static void
finish(void *arg)
{
    struct job *j = arg;
    struct fh_req *r = j->r;
    j->timer = 0;
    headers(r);
    if (take(&sv.fail_before)) {
        fh_reply_json(r, 500, json_pack("{s:s}", "error", "not recorded"));
        return;
    }
    if (take(&sv.drop_before)) {
        fh_drop_connection(r);
        return;
    }
    json_t *rec = append_record(r);
    if (take(&sv.fail_after)) {
        json_decref(rec);
        fh_reply_json(r, 500, json_pack("{s:s}", "error", "after recording"));
        return;
    }
    if (take(&sv.drop_after)) {
        json_decref(rec);
        fh_drop_connection(r);
        return;
    }
    if (take(&sv.hang)) {
        json_decref(rec);
        return;
    }
    fh_reply_json(r, 200, rec);
}

static void
on_end(struct fh_req *r)
{
    struct job *j = r->user;
    sv.in_flight--;
    fh_cancel_timer(sv.h, j->timer);
    g_free(j);
}

static json_t *
stats_json(void)
{
    json_t *actions = json_object();
    GHashTableIter it;
    void *k;
    void *v;
    g_hash_table_iter_init(&it, sv.actions);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        json_object_set_new(actions, k, json_integer((intptr_t)v));
    }
    int64_t idle = sv.last_us ? (fh_now_us() - sv.last_us) / 1000 : -1;
    return json_pack(
        "{s:I,s:I,s:I,s:I,s:i,s:I,s:o}", "requests", (json_int_t)sv.requests,
        "records", (json_int_t)json_array_size(sv.records), "doubled_actions",
        (json_int_t)count_repeated(sv.actions), "duplicates",
        (json_int_t)count_repeated(sv.ids), "in_flight", sv.in_flight,
        "idle_ms", (json_int_t)idle, "actions", actions);
}

static void
control(struct fh_req *r)
{
    struct {
        const char *key;
        int64_t *to;
    } ints[] = {
        {"hang", &sv.hang},
        {"fail_before", &sv.fail_before},
        {"fail_after", &sv.fail_after},
        {"drop_before", &sv.drop_before},
        {"drop_after", &sv.drop_after},
    };
    json_t *in = json_loadb(r->body.ptr, r->body.len, 0, NULL);
    const char *key;
    json_t *v;
    json_object_foreach(in, key, v)
    {
        for (size_t i = 0; i < G_N_ELEMENTS(ints); i++) {
            if (strcmp(key, ints[i].key) == 0) {
                *ints[i].to = json_integer_value(v);
            }
        }
        if (strcmp(key, "delay_ms") == 0) {
            sv.delay_us = json_integer_value(v) * 1000;
        }
        else if (strcmp(key, "silent") == 0 && json_is_true(v)) {
            fh_silence_connections(sv.h);
        }
        else if (strcmp(key, "leaving") == 0) {
            sv.leaving = json_is_true(v);
        }
        else if (strcmp(key, "crash") == 0 && json_is_true(v)) {
            _exit(9);
        }
    }
    fh_reply_json(r, in ? 200 : 400, json_pack("{s:b}", "ok", in != NULL));
    json_decref(in);
}

static void
handle(void *ctx, struct fh_req *r)
{
    (void)ctx;
    if (str_eq_cstr(r->path, "/control/stats")) {
        fh_reply_json(r, 200, stats_json());
        return;
    }
    if (str_eq_cstr(r->path, "/control/records")) {
        fh_reply_json(r, 200, json_incref(sv.records));
        return;
    }
    if (str_eq_cstr(r->path, "/control")) {
        control(r);
        return;
    }
    if (str_eq_cstr(r->path, "/health")) {
        headers(r);
        fh_reply_json(r, 200, json_pack("{s:b}", "ok", 1));
        return;
    }
    if (sv.leaving) {
        headers(r);
        fh_add_header(r, "X-Leaving", "1");
        fh_add_header(r, "Connection", "close");
        fh_reply_json(r, 503, json_pack("{s:s}", "error", "leaving"));
        return;
    }
    const char *id = fh_request_header(r, "X-Request-Id");
    sv.requests++;
    sv.last_us = fh_now_us();
    if (id) {
        count(sv.ids, id);
    }
    struct job *j = g_new0(struct job, 1);
    j->r = r;
    r->user = j;
    r->on_end = on_end;
    sv.in_flight++;
    j->timer = fh_add_timer(sv.h, sv.delay_us, finish, j);
}

int
main(int argc, char **argv)
{
    int64_t port = 0;
    int64_t delay_ms = 5;
    int64_t load = 0;
    const char *address = "127.0.0.1";
    const struct fh_option opts[] = {
        {"address", NULL, NULL, &address, "IPv4 address (127.0.0.1)"},
        {"port", &port, NULL, NULL, "0: chosen by the system"},
        {"delay-ms", &delay_ms, NULL, NULL, "service time (5)"},
        {"report-load", &load, NULL, NULL, "1: send load reports (0)"},
    };
    fh_options(argc, argv, "Plain service that records each POST.", opts,
               G_N_ELEMENTS(opts));
    sv.delay_us = delay_ms * 1000;
    sv.report_load = load != 0;
    sv.actions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sv.ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sv.records = json_array();
    snprintf(sv.start_id, sizeof(sv.start_id), "%" PRIx64,
             (uint64_t)fh_now_us() ^ (uint64_t)getpid() << 40);
    sv.h = fh_new(&(struct fh_options){address, (int)port, handle, NULL});
    if (!sv.h) {
        fprintf(stderr, "cannot listen on %s port %d\n", address, (int)port);
        return 1;
    }
    return fh_serve(sv.h);
}
