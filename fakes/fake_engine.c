/* Stand-in for a model engine: continuous batching with a service-time
 * model, prefix cache, cold start, load reports with a lag, orders, and the
 * faults that POST /control switches on. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clean.h"
#include "fakes/engine.h"
#include "fakes/http.h"

enum job_state { JOB_QUEUED, JOB_RUNNING, JOB_OVER };

struct job {
    struct fh_req *r;
    enum job_state state;
    json_t *body;
    struct str prompt; /* in body */
    int priority;
    bool stream;
    bool truncated;
    bool crossed;
    int next_token;
    int end_token;
    int cut_token; /* truncated streams end here */
    uint64_t timer;
    GList link;
};

struct load {
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
    double slow;
    bool leaving;
    int64_t truncate, cross, fail;
    uint64_t variant;
    char start_id[17];
    int start_count;
    struct engine_cold cold;
    struct prefix_cache *cache;
    GQueue queued; /* by priority, then age */
    GQueue running;
    GHashTable *ids; /* X-Request-Id and stage seen */
    struct load reported, pending;
    int64_t pending_us;
    char other_attempt[64]; /* of the request before, for crossed answers */
    json_t *other_body;
    int64_t last_us; /* when the newest request came */
    int64_t fence;   /* highest fencing number seen */
    char model[64];
    struct {
#define X(name) int64_t name;
        COUNT_LIST(X)
#undef X
    } n;
} en;

static void start_queued(void);

static void
new_start_id(void)
{
    snprintf(en.start_id, sizeof(en.start_id), "%" PRIx64,
             ((uint64_t)fh_now_us() << 8 ^ (uint64_t)getpid() << 40) +
                 (uint64_t)++en.start_count);
}

static int
in_flight(void)
{
    return (int)g_queue_get_length(&en.running);
}

static int
waiting(void)
{
    return (int)g_queue_get_length(&en.queued);
}

/* What the engine says about itself is between one and two lags old. */
static void
refresh_report(void)
{
    int64_t now = fh_now_us();
    if (now - en.pending_us < en.lag_us) {
        return;
    }
    struct load fresh = {in_flight(), waiting(), en.cold.cold};
    en.reported = en.lag_us && en.pending_us ? en.pending : fresh;
    en.pending = fresh;
    en.pending_us = now;
}

static void
headers(struct fh_req *r, const char *attempt)
{
    char load[96];
    refresh_report();
    snprintf(load, sizeof(load), "{\"in_flight\":%d,\"queue\":%d,\"cold\":%s}",
             en.reported.in_flight, en.reported.queue,
             en.reported.cold ? "true" : "false");
    fh_add_header(r, "Endpoint-Load-Metrics", load);
    fh_add_header(r, "X-Start-Id", en.start_id);
    if (attempt) {
        fh_add_header(r, "X-Attempt", attempt);
    }
    if (en.leaving) {
        fh_add_header(r, "X-Leaving", "1");
    }
}

static void
refuse(struct fh_req *r, int status, const char *why)
{
    headers(r, fh_header(r, "X-Attempt"));
    if (en.leaving) {
        fh_add_header(r, "Connection", "close");
    }
    en.n.refused++;
    fh_reply_json(r, status, json_pack("{s:{s:s}}", "error", "message", why));
}

static bool
take(int64_t *n)
{
    return *n > 0 && (*n)--;
}

static int64_t
slowed(double us)
{
    double factor = en.slow;
    if (en.cold.cold && in_flight() + waiting() > en.cold.bears) {
        factor *= 4;
    }
    return (int64_t)(us * factor);
}

static void
job_over(struct job *j)
{
    if (j->state == JOB_RUNNING) {
        g_queue_unlink(&en.running, &j->link);
    }
    else if (j->state == JOB_QUEUED) {
        g_queue_unlink(&en.queued, &j->link);
    }
    j->state = JOB_OVER;
    start_queued();
}

static void
job_answered(struct job *j)
{
    en.n.answers++;
    engine_cold_answered(&en.cold);
    job_over(j);
}

static void
answer(struct job *j)
{
    json_t *body = j->crossed ? en.other_body : j->body;
    json_t *out = engine_answer(en.kind, body, en.variant);
    json_object_set_new(out, "model", json_string(en.model));
    if (j->truncated) {
        char *text = json_dumps(out, JSON_COMPACT);
        json_decref(out);
        fh_reply_truncated(j->r, 200, str_from(text));
        free(text);
        en.n.truncated++;
    }
    else {
        fh_reply_json(j->r, 200, out);
    }
    job_answered(j);
}

static void
write_event(struct job *j, const char *data)
{
    CLEAN(buf_free) struct buf line = {0};
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
    if (j->truncated && j->next_token >= j->cut_token) {
        en.n.truncated++;
        fh_stream_end(j->r, true);
        job_answered(j);
        return;
    }
    if (j->next_token < j->end_token) {
        char token[16];
        engine_token(j->prompt, j->next_token, en.variant, token);
        json_t *chunk =
            json_pack("{s:s,s:[{s:i,s:s,s:n}],s:i}", "object",
                      "text_completion", "choices", "index", 0, "text", token,
                      "finish_reason", "token_index", j->next_token);
        char *text = json_dumps(chunk, JSON_COMPACT);
        write_event(j, text);
        free(text);
        json_decref(chunk);
        j->next_token++;
        en.n.tokens++;
        double batch =
            1.0 + (double)en.batch_pct / 100.0 * (double)(in_flight() - 1);
        j->timer =
            fh_after(en.h, slowed((double)en.token_us * batch), step, j);
        return;
    }
    write_event(j, "{\"choices\":[{\"index\":0,\"text\":\"\","
                   "\"finish_reason\":\"stop\"}]}");
    write_event(j, "[DONE]");
    fh_stream_end(j->r, true);
    job_answered(j);
}

static void
start(struct job *j)
{
    if (*en.crash_text && j->r->body.len &&
        g_strstr_len(j->r->body.ptr, (gssize)j->r->body.len, en.crash_text)) {
        _exit(9);
    }
    j->state = JOB_RUNNING;
    g_queue_push_tail_link(&en.running, &j->link);
    if (in_flight() > en.n.max_in_flight) {
        en.n.max_in_flight = in_flight();
    }
    int hit = prefix_cache_use(en.cache, j->prompt);
    en.n.prefix_hits += hit > 0;
    double us = (double)en.base_us +
                (double)en.prefill_us * (engine_tokens(j->prompt) - hit);
    if (en.kind == STAGE_GENERATE && !j->stream) {
        us += (double)en.token_us * j->end_token;
    }
    headers(j->r,
            j->crossed ? en.other_attempt : fh_header(j->r, "X-Attempt"));
    if (j->stream) {
        fh_stream_begin(j->r, "text/event-stream");
    }
    j->timer = fh_after(en.h, slowed(us), step, j);
}

static void
start_queued(void)
{
    while (waiting() > 0 && in_flight() < en.slots) {
        struct job *j = g_queue_pop_head_link(&en.queued)->data;
        start(j);
    }
}

static void
gone(struct fh_req *r)
{
    struct job *j = r->user;
    fh_cancel(en.h, j->timer);
    if (j->state != JOB_OVER) {
        en.n.cancelled++;
        job_over(j);
    }
    json_decref(j->body);
    g_free(j);
}

static void
enqueue(struct job *j)
{
    GList *l = en.queued.tail;
    while (l && ((struct job *)l->data)->priority > j->priority) {
        l = l->prev;
    }
    j->state = JOB_QUEUED;
    if (l) {
        g_queue_insert_after_link(&en.queued, l, &j->link);
    }
    else {
        g_queue_push_head_link(&en.queued, &j->link);
    }
}

static struct job *
new_job(struct fh_req *r, json_t *body)
{
    struct job *j = g_new0(struct job, 1);
    int max = (int)json_integer_value(json_object_get(body, "max_tokens"));
    j->r = r;
    j->link.data = j;
    j->body = body;
    j->prompt = engine_prompt(body);
    j->priority = (int)json_integer_value(json_object_get(body, "priority"));
    j->stream = en.kind == STAGE_GENERATE &&
                json_is_true(json_object_get(body, "stream"));
    j->end_token = engine_length(j->prompt, max > 0 ? max : 16);
    j->next_token =
        (int)json_integer_value(json_object_get(body, "resume_from"));
    j->truncated = take(&en.truncate);
    j->cut_token = (j->next_token + j->end_token) / 2;
    j->crossed = en.other_body && take(&en.cross);
    en.n.crossed += j->crossed;
    r->user = j;
    r->gone = gone;
    return j;
}

static void
count_id(struct fh_req *r)
{
    const char *id = fh_header(r, "X-Request-Id");
    const char *stage = fh_header(r, "X-Stage");
    if (!id) {
        return;
    }
    char *key = g_strdup_printf("%s %s", id, stage ? stage : "");
    en.n.duplicates += !g_hash_table_add(en.ids, key);
}

static void
work(struct fh_req *r)
{
    en.last_us = fh_now_us();
    en.n.requests++;
    en.n.while_leaving += en.leaving;
    count_id(r);
    if (en.leaving) {
        refuse(r, 503, "leaving");
        return;
    }
    if (take(&en.fail)) {
        refuse(r, 500, "failed by order of the test");
        return;
    }
    json_t *body = json_loadb(r->body.ptr, r->body.len, 0, NULL);
    if (!json_is_object(body)) {
        json_decref(body);
        refuse(r, 400, "body is not a JSON object");
        return;
    }
    bool over = engine_cold_arrived(&en.cold, in_flight() + waiting() + 1);
    if (over && en.crash_overloaded) {
        _exit(9);
    }
    if (in_flight() >= en.slots && waiting() >= en.queue_limit) {
        json_decref(body);
        refuse(r, 503, "queue is full");
        return;
    }
    struct job *j = new_job(r, body);
    enqueue(j);
    start_queued();
    if (!j->crossed) {
        const char *attempt = fh_header(r, "X-Attempt");
        snprintf(en.other_attempt, sizeof(en.other_attempt), "%s",
                 attempt ? attempt : "0");
        json_decref(en.other_body);
        en.other_body = json_incref(body);
    }
}

static void
order(struct fh_req *r)
{
    json_t *body = json_loadb(r->body.ptr, r->body.len, 0, NULL);
    int64_t fence = json_integer_value(json_object_get(body, "fencing"));
    const char *model = json_string_value(json_object_get(body, "model"));
    bool old = fence < en.fence;
    en.n.orders++;
    if (old && en.fencing) {
        en.n.orders_refused++;
        json_decref(body);
        refuse(r, 409, "fencing number is old");
        return;
    }
    en.n.old_orders_run += old;
    en.fence = old ? en.fence : fence;
    if (model && strcmp(model, en.model) != 0) {
        snprintf(en.model, sizeof(en.model), "%s", model);
        engine_cold_set(&en.cold, true);
    }
    json_decref(body);
    headers(r, NULL);
    fh_reply_json(r, 200,
                  json_pack("{s:b,s:s}", "accepted", 1, "model", en.model));
}

static json_t *
stats(void)
{
    int64_t idle = en.last_us ? (fh_now_us() - en.last_us) / 1000 : -1;
    json_t *o = json_pack(
        "{s:s,s:b,s:b,s:i,s:I,s:I,s:i,s:i,s:I,s:s}", "kind",
        stage_kind_name(en.kind), "cold", en.cold.cold, "leaving", en.leaving,
        "bears", en.cold.bears, "overload", (json_int_t)en.cold.overload,
        "overload_max", (json_int_t)en.cold.overload_max, "in_flight",
        in_flight(), "queue", waiting(), "idle_ms", (json_int_t)idle,
        "start_id", en.start_id);
#define X(name) json_object_set_new(o, #name, json_integer(en.n.name));
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
            en.slow = json_number_value(v);
        }
        else if (strcmp(key, "silent") == 0 && json_is_true(v)) {
            fh_silence(en.h);
        }
        else if (strcmp(key, "cold") == 0) {
            engine_cold_set(&en.cold, json_is_true(v));
        }
        else if (strcmp(key, "new_start") == 0 && json_is_true(v)) {
            new_start_id();
        }
        else if (strcmp(key, "truncate") == 0) {
            en.truncate = json_integer_value(v);
        }
        else if (strcmp(key, "crossed") == 0) {
            en.cross = json_integer_value(v);
        }
        else if (strcmp(key, "fail") == 0) {
            en.fail = json_integer_value(v);
        }
        else if (strcmp(key, "leaving") == 0) {
            en.leaving = json_is_true(v);
        }
        else if (strcmp(key, "variant") == 0) {
            en.variant = (uint64_t)json_integer_value(v);
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
    if (str_eq_c(r->path, "/control/stats")) {
        fh_reply_json(r, 200, stats());
    }
    else if (str_eq_c(r->path, "/control")) {
        control(r);
    }
    else if (str_eq_c(r->path, "/health")) {
        headers(r, fh_header(r, "X-Attempt"));
        fh_reply_json(r, 200, json_pack("{s:b}", "ok", 1));
    }
    else if (!str_eq_c(r->method, "POST")) {
        refuse(r, 405, "use POST");
    }
    else if (str_eq_c(r->path, "/orders")) {
        order(r);
    }
    else {
        work(r);
    }
}

int
main(int argc, char **argv)
{
    int64_t port = 0;
    int64_t cold = 0;
    int64_t bears = 2;
    int64_t warm_after = 16;
    int64_t doubles = 0;
    int64_t entries = 32;
    int64_t lag_ms = 500;
    const char *address = "127.0.0.1";
    const char *kind = "generate";
    const char *overload = "slow";
    const char *fencing = "checked";
    en.base_us = 10000;
    en.prefill_us = 50;
    en.token_us = 2000;
    en.batch_pct = 3;
    en.slots = 16;
    en.queue_limit = 64;
    en.crash_text = "CRASH-ENGINE";
    en.slow = 1;
    const struct fh_opt opts[] = {
        {"address", NULL, NULL, &address, "IP number (127.0.0.1)"},
        {"port", &port, NULL, NULL, "0: chosen by the system"},
        {"kind", NULL, NULL, &kind, "encode, retrieve, rerank, generate"},
        {"base-us", &en.base_us, NULL, NULL, "service time (10000)"},
        {"prefill-us", &en.prefill_us, NULL, NULL, "per prompt token (50)"},
        {"token-us", &en.token_us, NULL, NULL, "per output token (2000)"},
        {"batch-pct", &en.batch_pct, NULL, NULL,
         "slower tokens per request in the batch, in % (3)"},
        {"slots", &en.slots, NULL, NULL, "requests in the batch (16)"},
        {"queue", &en.queue_limit, NULL, NULL, "requests that wait (64)"},
        {"prefix-entries", &entries, NULL, NULL, "prefix cache size (32)"},
        {"cold", &cold, NULL, NULL, "1: starts cold (0)"},
        {"cold-concurrency", &bears, NULL, NULL, "borne while cold (2)"},
        {"cold-doubles", &doubles, NULL, NULL,
         "1: bears twice as many after as many answers (0)"},
        {"warm-after", &warm_after, NULL, NULL, "answers until warm (16)"},
        {"cold-overload", NULL, NULL, &overload, "slow or crash (slow)"},
        {"report-lag-ms", &lag_ms, NULL, NULL, "of load reports (500)"},
        {"crash-text", NULL, NULL, &en.crash_text,
         "a body with it ends the engine (CRASH-ENGINE); empty: none"},
        {"fencing", NULL, NULL, &fencing, "checked or ignored (checked)"},
    };
    fh_options(argc, argv, "Model engine with a service-time model.", opts,
               G_N_ELEMENTS(opts));
    while (en.kind < STAGE_SERVICE &&
           strcmp(kind, stage_kind_name(en.kind)) != 0) {
        en.kind++;
    }
    en.lag_us = lag_ms * 1000;
    en.crash_overloaded = strcmp(overload, "crash") == 0;
    en.fencing = strcmp(fencing, "checked") == 0;
    en.cold.start_bears = (int)bears;
    en.cold.warm_after = (int)warm_after;
    en.cold.doubles = doubles != 0;
    engine_cold_set(&en.cold, cold != 0);
    en.cache = prefix_cache_new((int)entries);
    en.ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    new_start_id();
    en.h = fh_new(&(struct fh_options){address, (int)port, handle, NULL});
    if (!en.h || en.kind == STAGE_SERVICE) {
        fprintf(stderr, "cannot listen on %s port %d as %s\n", address,
                (int)port, kind);
        return 1;
    }
    int rc = fh_main(en.h);
    prefix_cache_free(en.cache);
    g_hash_table_destroy(en.ids);
    json_decref(en.other_body);
    return rc;
}
