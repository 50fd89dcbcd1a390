/* Stand-in for the platform's key-value service: the subset of the etcd v3
 * JSON gateway that section 3 of docs/design.md names. It keeps only the
 * newest state of each key. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clean.h"
#include "base/rng.h"
#include "fakes/http.h"

#define MAX_VALUE_BYTES (1024 * 1024)

struct entry {
    char *key;   /* base64, like value; keys are compared in this form */
    char *value; /* NULL: deleted */
    int64_t create_revision;
    int64_t mod_revision;
    int64_t version;
    int64_t lease;
};

struct lease {
    int64_t id;
    int64_t ttl_s;
    int64_t expires_us;
};

struct watch {
    struct fh_req *r;
    char *key;
    GList link;
};

#define CALL_LIST(X)                                                          \
    X(RANGE, "range", "/v3/kv/range")                                         \
    X(PUT, "put", "/v3/kv/put")                                               \
    X(TXN, "txn", "/v3/kv/txn")                                               \
    X(DELETE, "deleterange", "/v3/kv/deleterange")                            \
    X(GRANT, "lease_grant", "/v3/lease/grant")                                \
    X(KEEPALIVE, "lease_keepalive", "/v3/lease/keepalive")                    \
    X(REVOKE, "lease_revoke", "/v3/lease/revoke")                             \
    X(WATCH, "watch", "/v3/watch")

enum call {
#define X(id, name, path) CALL_##id,
    CALL_LIST(X)
#undef X
        CALL_COUNT
};

static const struct {
    const char *name;
    const char *path;
} calls[] = {
#define X(id, name, path) {name, path},
    CALL_LIST(X)
#undef X
};

enum outage { OUTAGE_NONE, OUTAGE_DROP, OUTAGE_HANG, OUTAGE_ERROR };

static struct {
    struct fh *h;
    GHashTable *keys;
    GHashTable *leases;
    GQueue watches;
    int64_t revision;
    int64_t next_lease;
    enum outage outage;
    int64_t delay_us;
    double lose_answer_share;
    int64_t lose_answer_count;
    bool watch_gap;
    struct rng rng;
    int64_t counts[CALL_COUNT];
    int64_t lost;
    int64_t conflicts;
} kv;

static const char *
text(json_t *o, const char *key)
{
    return json_string_value(json_object_get(o, key));
}

/* The JSON gateway writes 64-bit numbers as strings, and accepts strings and
 * numbers. */
static int64_t
number(json_t *o, const char *key)
{
    json_t *v = json_object_get(o, key);
    int64_t n = json_integer_value(v);
    if (json_is_string(v)) {
        str_to_i64(str_from_cstr(json_string_value(v)), &n);
    }
    return n;
}

static void
set_int64_string(json_t *o, const char *key, int64_t n)
{
    char s[24];
    snprintf(s, sizeof(s), "%" PRId64, n);
    json_object_set_new(o, key, json_string(s));
}

static json_t *
header_json(void)
{
    json_t *h = json_object();
    set_int64_string(h, "revision", kv.revision);
    return h;
}

static json_t *
response_json(void)
{
    return json_pack("{s:o}", "header", header_json());
}

static json_t *
entry_json(const struct entry *e)
{
    json_t *o = json_pack("{s:s}", "key", e->key);
    set_int64_string(o, "mod_revision", e->mod_revision);
    if (e->value) {
        set_int64_string(o, "create_revision", e->create_revision);
        set_int64_string(o, "version", e->version);
        json_object_set_new(o, "value", json_string(e->value));
    }
    if (e->lease) {
        set_int64_string(o, "lease", e->lease);
    }
    return o;
}

static void
send_event(struct watch *w, const struct entry *e)
{
    json_t *event = json_pack("{s:o}", "kv", entry_json(e));
    if (!e->value) {
        json_object_set_new(event, "type", json_string("DELETE"));
    }
    json_t *line = json_pack("{s:{s:o,s:[o]}}", "result", "header",
                             header_json(), "events", event);
    char *out = json_dumps(line, JSON_COMPACT);
    fh_stream_write(w->r, str_from_cstr(out));
    fh_stream_write(w->r, STR_LIT("\n"));
    free(out);
    json_decref(line);
}

static void
changed(const struct entry *e)
{
    for (GList *l = kv.watches.head; l && !kv.watch_gap; l = l->next) {
        struct watch *w = l->data;
        if (strcmp(w->key, e->key) == 0) {
            send_event(w, e);
        }
    }
}

static struct entry *
find(const char *key)
{
    struct entry *e = key ? g_hash_table_lookup(kv.keys, key) : NULL;
    return e && e->value ? e : NULL;
}

static void
put(const char *key, const char *value, int64_t lease)
{
    struct entry *e = g_hash_table_lookup(kv.keys, key);
    if (!e) {
        e = g_new0(struct entry, 1);
        e->key = g_strdup(key);
        g_hash_table_insert(kv.keys, e->key, e);
    }
    kv.revision++;
    if (!e->value) {
        e->create_revision = kv.revision;
        e->version = 0;
    }
    g_free(e->value);
    e->value = g_strdup(value);
    e->mod_revision = kv.revision;
    e->version++;
    e->lease = lease;
    changed(e);
}

static bool
delete_key(const char *key)
{
    struct entry *e = find(key);
    if (!e) {
        return false;
    }
    kv.revision++;
    g_free(e->value);
    e->value = NULL;
    e->lease = 0;
    e->mod_revision = kv.revision;
    changed(e);
    return true;
}

static json_t *
range(json_t *in)
{
    json_t *out = response_json();
    struct entry *e = find(text(in, "key"));
    if (e) {
        json_object_set_new(out, "kvs", json_pack("[o]", entry_json(e)));
        json_object_set_new(out, "count", json_string("1"));
    }
    return out;
}

static bool
is_valid_put(json_t *in)
{
    const char *value = text(in, "value");
    int64_t lease = number(in, "lease");
    return text(in, "key") &&
           strlen(value ? value : "") / 4 * 3 <= MAX_VALUE_BYTES &&
           (!lease || g_hash_table_lookup(kv.leases, &lease));
}

static void
apply_put(json_t *in)
{
    const char *value = text(in, "value");
    put(text(in, "key"), value ? value : "", number(in, "lease"));
}

static json_t *
apply_txn(json_t *in)
{
    json_t *cmp = json_array_get(json_object_get(in, "compare"), 0);
    json_t *op = json_object_get(
        json_array_get(json_object_get(in, "success"), 0), "request_put");
    const char *target = text(cmp, "target");
    if (!text(cmp, "key") || !target || strcmp(target, "MOD") != 0 ||
        json_array_size(json_object_get(in, "compare")) != 1 ||
        json_array_size(json_object_get(in, "success")) != 1 ||
        !is_valid_put(op)) {
        return NULL;
    }
    struct entry *e = find(text(cmp, "key"));
    bool compare_succeeded =
        (e ? e->mod_revision : 0) == number(cmp, "mod_revision");
    if (compare_succeeded) {
        apply_put(op);
    }
    kv.conflicts += !compare_succeeded;
    json_t *out = response_json();
    json_t *other = json_object_get(
        json_array_get(json_object_get(in, "failure"), 0), "request_range");
    if (compare_succeeded) {
        json_object_set_new(out, "succeeded", json_true());
        json_object_set_new(
            out, "responses",
            json_pack("[{s:{s:o}}]", "response_put", "header", header_json()));
    }
    else if (other) {
        json_object_set_new(
            out, "responses",
            json_pack("[{s:o}]", "response_range", range(other)));
    }
    return out;
}

static json_t *
lease_json(int64_t id, int64_t ttl_s)
{
    json_t *out = response_json();
    set_int64_string(out, "ID", id);
    if (ttl_s) {
        set_int64_string(out, "TTL", ttl_s);
    }
    return out;
}

static json_t *
grant_lease(json_t *in)
{
    struct lease *l = g_new0(struct lease, 1);
    l->id = number(in, "ID");
    l->id = l->id ? l->id : ++kv.next_lease;
    l->ttl_s = number(in, "TTL");
    l->expires_us = fh_now_us() + l->ttl_s * 1000000;
    g_hash_table_replace(kv.leases, &l->id, l);
    return lease_json(l->id, l->ttl_s);
}

static json_t *
renew_lease(json_t *in)
{
    int64_t id = number(in, "ID");
    struct lease *l = g_hash_table_lookup(kv.leases, &id);
    if (l) {
        l->expires_us = fh_now_us() + l->ttl_s * 1000000;
    }
    return json_pack("{s:o}", "result", lease_json(id, l ? l->ttl_s : 0));
}

static void
end_lease(int64_t id)
{
    GHashTableIter it;
    void *v;
    g_hash_table_iter_init(&it, kv.keys);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct entry *e = v;
        if (id && e->lease == id) {
            delete_key(e->key);
        }
    }
    g_hash_table_remove(kv.leases, &id);
}

static void
expire(void *unused)
{
    GHashTableIter it;
    void *v;
    (void)unused;
    CLEANUP_FREE int64_t *ids =
        mem_calloc(g_hash_table_size(kv.leases), sizeof(int64_t));
    int n = 0;
    g_hash_table_iter_init(&it, kv.leases);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lease *l = v;
        if (l->expires_us <= fh_now_us()) {
            ids[n++] = l->id;
        }
    }
    while (n > 0) {
        end_lease(ids[--n]);
    }
    fh_add_timer(kv.h, 100000, expire, NULL);
}

static void
remove_watch(struct fh_req *r)
{
    struct watch *w = r->user;
    g_queue_unlink(&kv.watches, &w->link);
    g_free(w->key);
    g_free(w);
}

static void
watch(struct fh_req *r, json_t *in)
{
    json_t *create = json_object_get(in, "create_request");
    const char *key = text(create, "key");
    if (!key) {
        fh_reply_json(r, 400,
                      json_pack("{s:s}", "error", "the key is missing"));
        return;
    }
    struct watch *w = g_new0(struct watch, 1);
    w->r = r;
    w->key = g_strdup(key);
    w->link.data = w;
    g_queue_push_tail_link(&kv.watches, &w->link);
    r->user = w;
    r->on_end = remove_watch;
    fh_stream_begin(r, "application/json");
    json_t *line = json_pack("{s:{s:o,s:b}}", "result", "header",
                             header_json(), "created", 1);
    char *out = json_dumps(line, JSON_COMPACT);
    json_decref(line);
    fh_stream_write(r, str_from_cstr(out));
    fh_stream_write(r, STR_LIT("\n"));
    free(out);
    int64_t from = number(create, "start_revision");
    struct entry *e = g_hash_table_lookup(kv.keys, key);
    if (e && from && e->mod_revision >= from && !kv.watch_gap) {
        send_event(w, e);
    }
}

static void
perform(struct fh_req *r, enum call call)
{
    json_t *in = json_loadb(r->body.ptr, r->body.len, 0, NULL);
    json_t *out = NULL;
    switch (call) {
    case CALL_RANGE:
        out = text(in, "key") ? range(in) : NULL;
        break;
    case CALL_PUT:
        if (is_valid_put(in)) {
            apply_put(in);
            out = response_json();
        }
        break;
    case CALL_TXN:
        out = apply_txn(in);
        break;
    case CALL_DELETE:
        out = response_json();
        if (delete_key(text(in, "key"))) {
            json_object_set_new(out, "deleted", json_string("1"));
        }
        break;
    case CALL_GRANT:
        out = grant_lease(in);
        break;
    case CALL_KEEPALIVE:
        out = renew_lease(in);
        break;
    case CALL_REVOKE:
        end_lease(number(in, "ID"));
        out = response_json();
        break;
    case CALL_WATCH:
        watch(r, in);
        json_decref(in);
        return;
    case CALL_COUNT:
        json_decref(in);
        fh_drop_connection(r);
        return;
    }
    json_decref(in);
    /* Only writes lose their responses: a read without a response is an
     * outage. */
    bool lose =
        call != CALL_RANGE && (kv.lose_answer_count > 0 ||
                               rng_uniform(&kv.rng) < kv.lose_answer_share);
    if (lose) {
        kv.lose_answer_count -= kv.lose_answer_count > 0;
        kv.lost++;
        json_decref(out);
        fh_drop_connection(r);
        return;
    }
    if (!out) {
        fh_reply_json(
            r, 400, json_pack("{s:s,s:i}", "error", "bad request", "code", 3));
        return;
    }
    fh_reply_json(r, 200, out);
}

struct delayed_call {
    struct fh_req *r;
    enum call call;
    uint64_t timer;
};

static void
cancel_delayed_call(struct fh_req *r)
{
    struct delayed_call *d = r->user;
    fh_cancel_timer(kv.h, d->timer);
    g_free(d);
}

static void
run_delayed_call(void *arg)
{
    struct delayed_call *d = arg;
    struct fh_req *r = d->r;
    enum call call = d->call;
    r->on_end = NULL;
    g_free(d);
    perform(r, call);
}

static json_t *
stats_json(void)
{
    json_t *o = json_object();
    json_t *by_name = json_object();
    int64_t reads = kv.counts[CALL_RANGE] + kv.counts[CALL_WATCH];
    int64_t all = 0;
    for (int i = 0; i < CALL_COUNT; i++) {
        all += kv.counts[i];
        json_object_set_new(by_name, calls[i].name,
                            json_integer(kv.counts[i]));
    }
    json_object_set_new(o, "calls", by_name);
    json_object_set_new(o, "reads", json_integer(reads));
    json_object_set_new(o, "writes", json_integer(all - reads));
    json_object_set_new(o, "lost", json_integer(kv.lost));
    json_object_set_new(o, "conflicts", json_integer(kv.conflicts));
    json_object_set_new(o, "watches_open",
                        json_integer(g_queue_get_length(&kv.watches)));
    json_object_set_new(o, "revision", json_integer(kv.revision));
    return o;
}

static enum outage
parse_outage(json_t *v)
{
    const char *s = json_string_value(v);
    if (s && strcmp(s, "hang") == 0) {
        return OUTAGE_HANG;
    }
    if (s && strcmp(s, "error") == 0) {
        return OUTAGE_ERROR;
    }
    return json_is_true(v) || s ? OUTAGE_DROP : OUTAGE_NONE;
}

/* lose_answers: an integer N loses the responses of the next N writes, a real
 * number the responses of this share of all writes. */
static void
control(struct fh_req *r)
{
    json_t *in = json_loadb(r->body.ptr, r->body.len, 0, NULL);
    const char *key;
    json_t *v;
    json_object_foreach(in, key, v)
    {
        if (strcmp(key, "outage") == 0) {
            kv.outage = parse_outage(v);
        }
        else if (strcmp(key, "delay_ms") == 0) {
            kv.delay_us = json_integer_value(v) * 1000;
        }
        else if (strcmp(key, "lose_answers") == 0) {
            kv.lose_answer_count =
                json_is_integer(v) ? json_integer_value(v) : 0;
            kv.lose_answer_share = json_is_real(v) ? json_real_value(v) : 0;
        }
        else if (strcmp(key, "watch_gap") == 0) {
            kv.watch_gap = json_is_true(v);
        }
        else if (strcmp(key, "silent") == 0 && json_is_true(v)) {
            fh_silence_connections(kv.h);
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
    if (str_eq_cstr(r->path, "/control")) {
        control(r);
        return;
    }
    int call = 0;
    while (call < CALL_COUNT && !str_eq_cstr(r->path, calls[call].path)) {
        call++;
    }
    if (call == CALL_COUNT) {
        fh_reply_json(r, 404, json_pack("{s:s}", "error", "Not Found"));
        return;
    }
    kv.counts[call]++;
    switch (kv.outage) {
    case OUTAGE_DROP:
        fh_drop_connection(r);
        return;
    case OUTAGE_HANG:
        return;
    case OUTAGE_ERROR:
        fh_reply_json(
            r, 503, json_pack("{s:s,s:i}", "error", "no leader", "code", 14));
        return;
    case OUTAGE_NONE:
        break;
    }
    if (!kv.delay_us) {
        perform(r, call);
        return;
    }
    struct delayed_call *d = g_new0(struct delayed_call, 1);
    *d = (struct delayed_call){r, call, 0};
    r->user = d;
    r->on_end = cancel_delayed_call;
    d->timer = fh_add_timer(kv.h, kv.delay_us, run_delayed_call, d);
}

static void
free_entry(void *p)
{
    struct entry *e = p;
    g_free(e->key);
    g_free(e->value);
    g_free(e);
}

int
main(int argc, char **argv)
{
    int64_t port = 0;
    int64_t seed = 1;
    const char *address = "127.0.0.1";
    const struct fh_option opts[] = {
        {"address", NULL, NULL, &address, "IPv4 address (127.0.0.1)"},
        {"port", &port, NULL, NULL, "0: chosen by the system"},
        {"seed", &seed, NULL, NULL, "seed of the choice of lost answers (1)"},
    };
    fh_options(argc, argv, "Key-value service, etcd v3 JSON gateway.", opts,
               G_N_ELEMENTS(opts));
    rng_seed(&kv.rng, (uint64_t)seed);
    kv.keys = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    kv.leases =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    kv.h = fh_new(&(struct fh_options){address, (int)port, handle, NULL});
    if (!kv.h) {
        fprintf(stderr, "cannot listen on %s port %d\n", address, (int)port);
        return 1;
    }
    fh_add_timer(kv.h, 100000, expire, NULL);
    int rc = fh_serve(kv.h);
    g_hash_table_destroy(kv.keys);
    g_hash_table_destroy(kv.leases);
    return rc;
}
