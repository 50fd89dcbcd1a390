/* Stand-in for a model engine: continuous batching with a service-time
 * model, prefix cache, cold start, load reports that lag behind, orders
 * (changes of the loaded model), and the faults that POST /control injects. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clean.h"
#include "fakes/engine.h"
#include "fakes/http.h"

enum job_state { JOB_QUEUED, JOB_RUNNING, JOB_FINISHED };

struct job {
    struct fh_req *r;
    enum job_state state;
    json_t *body;
    struct str prompt; /* borrowed from body */
    int priority;
    bool stream;
    bool truncated;
    bool crossed;
    int next_token;
    int end_token;
    int truncate_at_token; /* a truncated stream ends before this token */
    uint64_t timer;
    GList link;
};

struct load_report {
    int in_flight;
    int queue;
    bool cold;
};

#define COUNT_LIST(X)                                                         \
    X(requests)                                                               \
    X(answers)                                                                \
    X(refused)                                                                \
    X(cancelled)                                                              \
    X(duplicates)                                                             \
    X(truncated)                                                              \
    X(crossed)                                                                \
    X(tokens)                                                                 \
    X(prefix_hits)                                                            \
    X(max_in_flight)                                                          \
    X(while_leaving)                                                          \
    X(orders)                                                                 \
    X(orders_refused)                                                         \
    X(old_orders_run)

static struct {
    struct fh *h;
    enum stage_kind kind;
    int64_t base_us, prefill_us, token_us, batch_pct;
    int64_t slots, queue_limit, lag_us;
    const char *crash_text;
    bool crash_overloaded;
    bool fencing;
    double slowdown;
    bool leaving;
    int64_t truncate_count, cross_count, fail_count; /* of next requests */
    uint64_t variant;
    char start_id[17];
    int start_count;
    struct engine_cold cold;
    struct prefix_cache *cache;
    GQueue queued; /* by priority, then by age */
    GQueue running;
    GHashTable *ids; /* set of "X-Request-Id X-Stage" that were received */
    struct load_report reported_load, pending_load;
    int64_t pending_load_us;   /* when pending_load was taken */
    char previous_attempt[64]; /* of the previous request; a crossed answer is
                                  sent with it */
    json_t *previous_body;
    int64_t last_us; /* arrival of the newest request; 0: none */
    int64_t fence;   /* highest fencing number seen */
    char model[64];
    struct {
#define X(name) int64_t name;
        COUNT_LIST(X)
#undef X
    } n;
} fake_engine;

static void start_queued(void);

static void
generate_start_id(void)
{
    snprintf(fake_engine.start_id, sizeof(fake_engine.start_id), "%" PRIx64,
             ((uint64_t)fh_now_us() << 8 ^ (uint64_t)getpid() << 40) +
                 (uint64_t)++fake_engine.start_count);
}

static int
in_flight(void)
{
    return (int)g_queue_get_length(&fake_engine.running);
}

static int
queued_count(void)
{
    return (int)g_queue_get_length(&fake_engine.queued);
}

/* A reported load is between one and two report lags old. */
static void
refresh_load_report(void)
{
    int64_t now = fh_now_us();
    if (now - fake_engine.pending_load_us < fake_engine.lag_us) {
        return;
    }
    struct load_report fresh = {in_flight(), queued_count(),
                                fake_engine.cold.cold};
    fake_engine.reported_load =
        fake_engine.lag_us && fake_engine.pending_load_us
            ? fake_engine.pending_load
            : fresh;
    fake_engine.pending_load = fresh;
    fake_engine.pending_load_us = now;
}

static void
headers(struct fh_req *r, const char *attempt)
{
    char load[96];
    refresh_load_report();
    snprintf(load, sizeof(load), "{\"in_flight\":%d,\"queue\":%d,\"cold\":%s}",
             fake_engine.reported_load.in_flight,
             fake_engine.reported_load.queue,
             fake_engine.reported_load.cold ? "true" : "false");
    fh_add_header(r, "Endpoint-Load-Metrics", load);
    fh_add_header(r, "X-Start-Id", fake_engine.start_id);
    if (attempt) {
        fh_add_header(r, "X-Attempt", attempt);
    }
    if (fake_engine.leaving) {
        fh_add_header(r, "X-Leaving", "1");
    }
}

static void
refuse(struct fh_req *r, int status, const char *why)
{
    headers(r, fh_request_header(r, "X-Attempt"));
    if (fake_engine.leaving) {
        fh_add_header(r, "Connection", "close");
    }
    fake_engine.n.refused++;
    fh_reply_json(r, status, json_pack("{s:{s:s}}", "error", "message", why));
}

static bool
take(int64_t *n)
{
    return *n > 0 && (*n)--;
}

static int64_t
scale_service_us(double us)
{
    double factor = fake_engine.slowdown;
    if (fake_engine.cold.cold &&
        in_flight() + queued_count() > fake_engine.cold.capacity) {
        factor *= 4;
    }
    return (int64_t)(us * factor);
}

static void
finish_job(struct job *j)
{
    if (j->state == JOB_RUNNING) {
        g_queue_unlink(&fake_engine.running, &j->link);
    }
    else if (j->state == JOB_QUEUED) {
        g_queue_unlink(&fake_engine.queued, &j->link);
    }
    j->state = JOB_FINISHED;
    start_queued();
}

static void
finish_answered_job(struct job *j)
{
    fake_engine.n.answers++;
    engine_cold_count_answer(&fake_engine.cold);
    finish_job(j);
}

static void
answer(struct job *j)
{
    json_t *body = j->crossed ? fake_engine.previous_body : j->body;
    json_t *out =
        engine_build_response(fake_engine.kind, body, fake_engine.variant);
    json_object_set_new(out, "model", json_string(fake_engine.model));
    if (j->truncated) {
        char *text = json_dumps(out, JSON_COMPACT);
        json_decref(out);
        fh_reply_truncated(j->r, 200, str_from_cstr(text));
        free(text);
        fake_engine.n.truncated++;
    }
    else {
        fh_reply_json(j->r, 200, out);
    }
    finish_answered_job(j);
}

static void
write_sse_event(struct job *j, const char *data)
{
    CLEANUP(buf_free) struct buf line = {0};
    buf_printf(&line, "data: %s\n\n", data);
    fh_stream_write(j->r, buf_str(&line));
}

static void
step(void *arg)
{
    struct job *j = arg;
    j->timer = 0;
    if (!j->stream) {
        answer(j);
        return;
    }
    if (j->truncated && j->next_token >= j->truncate_at_token) {
        fake_engine.n.truncated++;
        fh_stream_end(j->r, true);
        finish_answered_job(j);
        return;
    }
    if (j->next_token < j->end_token) {
        char token[16];
        engine_format_token(j->prompt, j->next_token, fake_engine.variant,
                            token);
        json_t *chunk =
            json_pack("{s:s,s:[{s:i,s:s,s:n}],s:i}", "object",
                      "text_completion", "choices", "index", 0, "text", token,
                      "finish_reason", "token_index", j->next_token);
        char *text = json_dumps(chunk, JSON_COMPACT);
        write_sse_event(j, text);
        free(text);
        json_decref(chunk);
        j->next_token++;
        fake_engine.n.tokens++;
        double batch = 1.0 + (double)fake_engine.batch_pct / 100.0 *
                                 (double)(in_flight() - 1);
        j->timer = fh_add_timer(
            fake_engine.h,
            scale_service_us((double)fake_engine.token_us * batch), step, j);
        return;
    }
    write_sse_event(j, "{\"choices\":[{\"index\":0,\"text\":\"\","
                       "\"finish_reason\":\"stop\"}]}");
    write_sse_event(j, "[DONE]");
    fh_stream_end(j->r, true);
    finish_answered_job(j);
}

static void
start(struct job *j)
{
    if (*fake_engine.crash_text && j->r->body.len &&
        g_strstr_len(j->r->body.ptr, (gssize)j->r->body.len,
                     fake_engine.crash_text)) {
        _exit(9);
    }
    j->state = JOB_RUNNING;
    g_queue_push_tail_link(&fake_engine.running, &j->link);
    if (in_flight() > fake_engine.n.max_in_flight) {
        fake_engine.n.max_in_flight = in_flight();
    }
    int hit = prefix_cache_lookup(fake_engine.cache, j->prompt);
    fake_engine.n.prefix_hits += hit > 0;
    double us = (double)fake_engine.base_us +
                (double)fake_engine.prefill_us *
                    (engine_count_tokens(j->prompt) - hit);
    if (fake_engine.kind == STAGE_GENERATE && !j->stream) {
        us += (double)fake_engine.token_us * j->end_token;
    }
    headers(j->r, j->crossed ? fake_engine.previous_attempt
                             : fh_request_header(j->r, "X-Attempt"));
    if (j->stream) {
        fh_stream_begin(j->r, "text/event-stream");
    }
    j->timer = fh_add_timer(fake_engine.h, scale_service_us(us), step, j);
}

static void
start_queued(void)
{
    while (queued_count() > 0 && in_flight() < fake_engine.slots) {
        struct job *j = g_queue_pop_head_link(&fake_engine.queued)->data;
        start(j);
    }
}

static void
on_end(struct fh_req *r)
{
    struct job *j = r->user;
    fh_cancel_timer(fake_engine.h, j->timer);
    if (j->state != JOB_FINISHED) {
        fake_engine.n.cancelled++;
        finish_job(j);
    }
    json_decref(j->body);
    g_free(j);
}

static void
enqueue(struct job *j)
{
    GList *l = fake_engine.queued.tail;
    while (l && ((struct job *)l->data)->priority > j->priority) {
        l = l->prev;
    }
    j->state = JOB_QUEUED;
    if (l) {
        g_queue_insert_after_link(&fake_engine.queued, l, &j->link);
    }
    else {
        g_queue_push_head_link(&fake_engine.queued, &j->link);
    }
}

static struct job *
create_job(struct fh_req *r, json_t *body)
{
    struct job *j = g_new0(struct job, 1);
    int max = (int)json_integer_value(json_object_get(body, "max_tokens"));
    j->r = r;
    j->link.data = j;
    j->body = body;
    j->prompt = engine_request_prompt(body);
    j->priority = (int)json_integer_value(json_object_get(body, "priority"));
    j->stream = fake_engine.kind == STAGE_GENERATE &&
                json_is_true(json_object_get(body, "stream"));
    j->end_token = engine_completion_tokens(j->prompt, max > 0 ? max : 16);
    j->next_token =
        (int)json_integer_value(json_object_get(body, "resume_from"));
    j->truncated = take(&fake_engine.truncate_count);
    j->truncate_at_token = (j->next_token + j->end_token) / 2;
    j->crossed = fake_engine.previous_body && take(&fake_engine.cross_count);
    fake_engine.n.crossed += j->crossed;
    r->user = j;
    r->on_end = on_end;
    return j;
}

static void
count_duplicate(struct fh_req *r)
{
    const char *id = fh_request_header(r, "X-Request-Id");
    const char *stage = fh_request_header(r, "X-Stage");
    if (!id) {
        return;
    }
    char *key = g_strdup_printf("%s %s", id, stage ? stage : "");
    fake_engine.n.duplicates += !g_hash_table_add(fake_engine.ids, key);
}

static void
handle_request(struct fh_req *r)
{
    fake_engine.last_us = fh_now_us();
    fake_engine.n.requests++;
    fake_engine.n.while_leaving += fake_engine.leaving;
    count_duplicate(r);
    if (fake_engine.leaving) {
        refuse(r, 503, "leaving");
        return;
    }
    if (take(&fake_engine.fail_count)) {
        refuse(r, 500, "failure injected by the test");
        return;
    }
    json_t *body = json_loadb(r->body.ptr, r->body.len, 0, NULL);
    if (!json_is_object(body)) {
        json_decref(body);
        refuse(r, 400, "body is not a JSON object");
        return;
    }
    bool over = engine_cold_count_arrival(&fake_engine.cold,
                                          in_flight() + queued_count() + 1);
    if (over && fake_engine.crash_overloaded) {
        _exit(9);
    }
    if (in_flight() >= fake_engine.slots &&
        queued_count() >= fake_engine.queue_limit) {
        json_decref(body);
        refuse(r, 503, "queue is full");
        return;
    }
    struct job *j = create_job(r, body);
    enqueue(j);
    start_queued();
    if (!j->crossed) {
        const char *attempt = fh_request_header(r, "X-Attempt");
        snprintf(fake_engine.previous_attempt,
                 sizeof(fake_engine.previous_attempt), "%s",
                 attempt ? attempt : "0");
        json_decref(fake_engine.previous_body);
        fake_engine.previous_body = json_incref(body);
    }
}

static void
apply_order(struct fh_req *r)
{
    json_t *body = json_loadb(r->body.ptr, r->body.len, 0, NULL);
    int64_t fence = json_integer_value(json_object_get(body, "fencing"));
    const char *model = json_string_value(json_object_get(body, "model"));
    bool old = fence < fake_engine.fence;
    fake_engine.n.orders++;
    if (old && fake_engine.fencing) {
        fake_engine.n.orders_refused++;
        json_decref(body);
        refuse(r, 409, "fencing number is old");
        return;
    }
    fake_engine.n.old_orders_run += old;
    fake_engine.fence = old ? fake_engine.fence : fence;
    if (model && strcmp(model, fake_engine.model) != 0) {
        snprintf(fake_engine.model, sizeof(fake_engine.model), "%s", model);
        engine_cold_set(&fake_engine.cold, true);
    }
    json_decref(body);
    headers(r, NULL);
    fh_reply_json(
        r, 200,
        json_pack("{s:b,s:s}", "accepted", 1, "model", fake_engine.model));
}

static json_t *
stats_json(void)
{
    int64_t idle =
        fake_engine.last_us ? (fh_now_us() - fake_engine.last_us) / 1000 : -1;
    json_t *o = json_pack(
        "{s:s,s:b,s:b,s:i,s:I,s:I,s:i,s:i,s:I,s:s}", "kind",
        stage_kind_name(fake_engine.kind), "cold", fake_engine.cold.cold,
        "leaving", fake_engine.leaving, "bears", fake_engine.cold.capacity,
        "overload", (json_int_t)fake_engine.cold.overload, "overload_max",
        (json_int_t)fake_engine.cold.overload_max, "in_flight", in_flight(),
        "queue", queued_count(), "idle_ms", (json_int_t)idle, "start_id",
        fake_engine.start_id);
#define X(name)                                                               \
    json_object_set_new(o, #name, json_integer(fake_engine.n.name));
    COUNT_LIST(X)
#undef X
    return o;
}

static void
control(struct fh_req *r)
{
    json_t *in = json_loadb(r->body.ptr, r->body.len, 0, NULL);
    const char *key;
    json_t *v;
    json_object_foreach(in, key, v)
    {
        if (strcmp(key, "slow") == 0) {
            fake_engine.slowdown = json_number_value(v);
        }
        else if (strcmp(key, "silent") == 0 && json_is_true(v)) {
            fh_silence_connections(fake_engine.h);
        }
        else if (strcmp(key, "cold") == 0) {
            engine_cold_set(&fake_engine.cold, json_is_true(v));
        }
        else if (strcmp(key, "new_start") == 0 && json_is_true(v)) {
            generate_start_id();
        }
        else if (strcmp(key, "truncate") == 0) {
            fake_engine.truncate_count = json_integer_value(v);
        }
        else if (strcmp(key, "crossed") == 0) {
            fake_engine.cross_count = json_integer_value(v);
        }
        else if (strcmp(key, "fail") == 0) {
            fake_engine.fail_count = json_integer_value(v);
        }
        else if (strcmp(key, "leaving") == 0) {
            fake_engine.leaving = json_is_true(v);
        }
        else if (strcmp(key, "variant") == 0) {
            fake_engine.variant = (uint64_t)json_integer_value(v);
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
    }
    else if (str_eq_cstr(r->path, "/control")) {
        control(r);
    }
    else if (str_eq_cstr(r->path, "/health")) {
        headers(r, fh_request_header(r, "X-Attempt"));
        fh_reply_json(r, 200, json_pack("{s:b}", "ok", 1));
    }
    else if (!str_eq_cstr(r->method, "POST")) {
        refuse(r, 405, "use POST");
    }
    else if (str_eq_cstr(r->path, "/orders")) {
        apply_order(r);
    }
    else {
        handle_request(r);
    }
}

int
main(int argc, char **argv)
{
    int64_t port = 0;
    int64_t cold = 0;
    int64_t capacity = 2;
    int64_t warm_after_answers = 16;
    int64_t doubles_capacity = 0;
    int64_t entries = 32;
    int64_t lag_ms = 500;
    const char *address = "127.0.0.1";
    const char *kind = "generate";
    const char *overload = "slow";
    const char *fencing = "checked";
    fake_engine.base_us = 10000;
    fake_engine.prefill_us = 50;
    fake_engine.token_us = 2000;
    fake_engine.batch_pct = 3;
    fake_engine.slots = 16;
    fake_engine.queue_limit = 64;
    fake_engine.crash_text = "CRASH-ENGINE";
    fake_engine.slowdown = 1;
    const struct fh_option opts[] = {
        {"address", NULL, NULL, &address, "IPv4 address (127.0.0.1)"},
        {"port", &port, NULL, NULL, "0: chosen by the system"},
        {"kind", NULL, NULL, &kind, "encode, retrieve, rerank, generate"},
        {"base-us", &fake_engine.base_us, NULL, NULL, "service time (10000)"},
        {"prefill-us", &fake_engine.prefill_us, NULL, NULL,
         "per prompt token (50)"},
        {"token-us", &fake_engine.token_us, NULL, NULL,
         "per output token (2000)"},
        {"batch-pct", &fake_engine.batch_pct, NULL, NULL,
         "slowdown of tokens per other request in the batch, in % (3)"},
        {"slots", &fake_engine.slots, NULL, NULL,
         "requests in the batch (16)"},
        {"queue", &fake_engine.queue_limit, NULL, NULL,
         "queued requests (64)"},
        {"prefix-entries", &entries, NULL, NULL, "prefix cache size (32)"},
        {"cold", &cold, NULL, NULL, "1: starts cold (0)"},
        {"cold-concurrency", &capacity, NULL, NULL,
         "concurrent requests that a cold engine handles (2)"},
        {"cold-doubles", &doubles_capacity, NULL, NULL,
         "1: a cold engine's capacity doubles after as many answers (0)"},
        {"warm-after", &warm_after_answers, NULL, NULL,
         "answers until warm (16)"},
        {"cold-overload", NULL, NULL, &overload, "slow or crash (slow)"},
        {"report-lag-ms", &lag_ms, NULL, NULL, "lag of load reports (500)"},
        {"crash-text", NULL, NULL, &fake_engine.crash_text,
         "a request body with this text ends the engine (CRASH-ENGINE); "
         "empty: none"},
        {"fencing", NULL, NULL, &fencing, "checked or ignored (checked)"},
    };
    fh_options(argc, argv, "Model engine with a service-time model.", opts,
               G_N_ELEMENTS(opts));
    while (fake_engine.kind < STAGE_SERVICE &&
           strcmp(kind, stage_kind_name(fake_engine.kind)) != 0) {
        fake_engine.kind++;
    }
    fake_engine.lag_us = lag_ms * 1000;
    fake_engine.crash_overloaded = strcmp(overload, "crash") == 0;
    fake_engine.fencing = strcmp(fencing, "checked") == 0;
    fake_engine.cold.cold_capacity = (int)capacity;
    fake_engine.cold.warm_after_answers = (int)warm_after_answers;
    fake_engine.cold.doubles_capacity = doubles_capacity != 0;
    engine_cold_set(&fake_engine.cold, cold != 0);
    fake_engine.cache = prefix_cache_new((int)entries);
    fake_engine.ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    generate_start_id();
    fake_engine.h =
        fh_new(&(struct fh_options){address, (int)port, handle, NULL});
    if (!fake_engine.h || fake_engine.kind == STAGE_SERVICE) {
        fprintf(stderr, "cannot listen on %s port %d as %s\n", address,
                (int)port, kind);
        return 1;
    }
    int rc = fh_serve(fake_engine.h);
    prefix_cache_free(fake_engine.cache);
    g_hash_table_destroy(fake_engine.ids);
    json_decref(fake_engine.previous_body);
    return rc;
}
