#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "tests/feed_script.h"
#include "tests/feed_text.h"

#define MS 1000LL
#define SECOND 1000000LL
#define MAX_CALLS 32
#define MAX_ITEMS 64
/* Items in one page of a list. */
#define PAGE_ITEMS 2
struct item {
    char *key;
    char *value;
    int64_t revision;
    int64_t lease; /* 0: none */
};

struct change {
    char *key;
    char *value; /* NULL: the key is deleted */
    int64_t revision;
};

struct data {
    GPtrArray *items;   /* struct item, sorted by key */
    GPtrArray *changes; /* struct change */
    int64_t revision;
    int64_t leases; /* leases 1 to this number exist */
};

struct call {
    struct kv_op op;
    char *after_key;
    int64_t sent_us;
};

struct world {
    struct feed *feed;
    struct cluster_view *view; /* the newest; NULL: none yet */
    int64_t now;
    struct data data;
    struct data copy;
    int64_t era;
    bool sends_era;
    bool away;
    bool rejects; /* responds with status 503 */
    bool rejects_lists;
    struct call calls[MAX_CALLS];
    int call_count;
    struct kv_op query; /* newest of the operator's range to another node */
    bool query_open;
    struct kv_op query_e;
    bool query_e_open;
    bool watcher_holds;
    int answer_version; /* of the configuration that watchers know */
    int64_t answer_age_us;
    int answer_era; /* watchers reply at once, from this era; 0: they do not */
    int store_polls; /* watches of the operator's range without waiting */
    char *node;
    int64_t foreign_lease;          /* of another node; 0: none */
    char order[ROLLOUT_NAME_BYTES]; /* target for the service pool; empty: no
                                       order */
    int order_changes;
    char record[64]; /* of the roll-out of the service pool; empty: none */
};

static int
compare_keys(gconstpointer a, gconstpointer b)
{
    const struct item *x = *(struct item *const *)a;
    const struct item *y = *(struct item *const *)b;
    return strcmp(x->key, y->key);
}

static void
item_free(gpointer p)
{
    struct item *i = p;
    g_free(i->key);
    g_free(i->value);
    g_free(i);
}

static void
change_free(gpointer p)
{
    struct change *c = p;
    g_free(c->key);
    g_free(c->value);
    g_free(c);
}

static void
data_clear(struct data *d)
{
    if (d->items) {
        g_ptr_array_free(d->items, TRUE);
        g_ptr_array_free(d->changes, TRUE);
    }
    memset(d, 0, sizeof(*d));
}

static void
data_copy(const struct data *from, struct data *to)
{
    data_clear(to);
    to->items = g_ptr_array_new_with_free_func(item_free);
    to->changes = g_ptr_array_new_with_free_func(change_free);
    for (guint i = 0; from->items && i < from->items->len; i++) {
        const struct item *it = g_ptr_array_index(from->items, i);
        struct item *copy = g_memdup2(it, sizeof(*it));
        copy->key = g_strdup(it->key);
        copy->value = g_strdup(it->value);
        g_ptr_array_add(to->items, copy);
    }
    for (guint i = 0; from->changes && i < from->changes->len; i++) {
        const struct change *c = g_ptr_array_index(from->changes, i);
        struct change *copy = g_memdup2(c, sizeof(*c));
        copy->key = g_strdup(c->key);
        copy->value = g_strdup(c->value);
        g_ptr_array_add(to->changes, copy);
    }
    to->revision = from->revision;
    to->leases = from->leases;
}

static struct item *
find_item(const struct world *w, const char *key)
{
    for (guint i = 0; i < w->data.items->len; i++) {
        struct item *it = g_ptr_array_index(w->data.items, i);
        if (strcmp(it->key, key) == 0) {
            return it;
        }
    }
    return NULL;
}

/* @param value NULL: the key is deleted */
static void
put(struct world *w, const char *key, const char *value, int64_t lease)
{
    struct item *old = find_item(w, key);
    struct change *c = g_new0(struct change, 1);
    int64_t revision = ++w->data.revision;
    if (old) {
        g_ptr_array_remove(w->data.items, old);
    }
    if (value) {
        struct item *it = g_new0(struct item, 1);
        *it = (struct item){g_strdup(key), g_strdup(value), revision, lease};
        g_ptr_array_add(w->data.items, it);
        g_ptr_array_sort(w->data.items, compare_keys);
    }
    *c = (struct change){g_strdup(key), g_strdup(value), revision};
    g_ptr_array_add(w->data.changes, c);
}

static void
respond(struct world *w, const struct call *c, enum kv_outcome outcome,
        struct kv_result r)
{
    r.id = c->op.id;
    r.outcome = outcome;
    r.era = w->sends_era && !w->away ? w->era : 0;
    feed_handle_result(w->feed, w->now, &r);
}

static void
respond_list(struct world *w, const struct call *c)
{
    struct kv_item items[PAGE_ITEMS];
    struct kv_result r = {.revision = w->data.revision, .items = items};
    for (guint i = 0; i < w->data.items->len; i++) {
        const struct item *it = g_ptr_array_index(w->data.items, i);
        struct str key = str_from_cstr(it->key);
        if (!str_starts_with(key, c->op.prefix) ||
            (c->after_key && strcmp(it->key, c->after_key) <= 0)) {
            continue;
        }
        if (r.item_count == PAGE_ITEMS) {
            r.has_more = true;
            break;
        }
        items[r.item_count++] = (struct kv_item){key, str_from_cstr(it->value),
                                                 it->revision, false};
    }
    respond(w, c, KV_OK, r);
}

/* @return false if the store holds the watch */
static bool
respond_watch(struct world *w, const struct call *c)
{
    struct kv_item items[MAX_ITEMS];
    struct kv_result r = {.revision = w->data.revision, .items = items};
    if (c->op.revision > w->data.revision) {
        respond(w, c, KV_COMPACTED, (struct kv_result){.http_status = 410});
        return true;
    }
    for (guint i = 0; i < w->data.changes->len; i++) {
        const struct change *ch = g_ptr_array_index(w->data.changes, i);
        struct str key = str_from_cstr(ch->key);
        if (ch->revision > c->op.revision &&
            str_starts_with(key, c->op.prefix)) {
            g_assert_cmpint(r.item_count, <, MAX_ITEMS);
            items[r.item_count++] = (struct kv_item){
                key, str_from_cstr(ch->value), ch->revision, !ch->value};
        }
    }
    if (r.item_count == 0 && w->now < c->sent_us + c->op.wait_ms * MS) {
        return false;
    }
    respond(w, c, KV_OK, r);
    return true;
}

static bool
respond_lease(struct world *w, const struct call *c)
{
    bool exists = c->op.lease <= w->data.leases;
    g_assert_true(!w->foreign_lease || c->op.lease != w->foreign_lease);
    if (c->op.kind == KV_LEASE_GRANT) {
        respond(w, c, KV_OK, (struct kv_result){.lease = ++w->data.leases});
        return true;
    }
    if (exists && c->op.kind == KV_PUT) {
        char *key = g_strndup(c->op.key.ptr, c->op.key.len);
        char *value = g_strndup(c->op.value.ptr, c->op.value.len);
        put(w, key, value, c->op.lease);
        g_free(key);
        g_free(value);
    }
    respond(w, c, exists ? KV_OK : KV_LEASE_EXPIRED,
            (struct kv_result){.revision = w->data.revision});
    return true;
}

/* @return false if the call stays open */
static bool
respond_call(struct world *w, const struct call *c)
{
    if (w->away) {
        respond(w, c, KV_OUTCOME_UNKNOWN, (struct kv_result){0});
        return true;
    }
    if (w->rejects) {
        respond(w, c, KV_NOT_EXECUTED, (struct kv_result){.http_status = 503});
        return true;
    }
    if (w->rejects_lists &&
        (c->op.kind == KV_LIST || c->op.kind == KV_WATCH)) {
        respond(w, c, KV_NOT_EXECUTED, (struct kv_result){.http_status = 503});
        return true;
    }
    switch (c->op.kind) {
    case KV_LIST:
        respond_list(w, c);
        return true;
    case KV_WATCH:
        return respond_watch(w, c);
    case KV_LEASE_GRANT:
    case KV_LEASE_RENEW:
    case KV_LEASE_REVOKE:
    case KV_PUT:
    case KV_PUT_IF:
        break;
    }
    return respond_lease(w, c);
}

static void
submit(struct world *w, const struct kv_op *op)
{
    bool is_operator = str_starts_with(op->prefix, STR_LIT("o/"));
    if (op->via_node) {
        w->query = is_operator ? *op : w->query;
        w->query_open = w->query_open || is_operator;
        if (str_starts_with(op->prefix, STR_LIT("e/"))) {
            w->query_e = *op;
            w->query_e_open = true;
        }
        return;
    }
    g_assert_cmpint(w->call_count, <, MAX_CALLS);
    char *after = op->after_key.len
                      ? g_strndup(op->after_key.ptr, op->after_key.len)
                      : NULL;
    w->calls[w->call_count++] = (struct call){*op, after, w->now};
    w->store_polls += is_operator && op->kind == KV_WATCH && op->wait_ms <= 1;
}

static void
take_rollouts(struct world *w)
{
    struct feed_rollout_change c;
    while (feed_next_rollout(w->feed, &c)) {
        g_assert_true(str_eq_cstr(c.service, "pool"));
        if (c.is_order) {
            memcpy(w->order, c.order.target, sizeof(w->order));
            w->order_changes++;
        }
        else {
            g_snprintf(w->record, sizeof(w->record), "%.*s",
                       STR_FMT(c.record));
        }
    }
}

/* Calls that start now are answered in the next step, a millisecond later. */
static void
step(struct world *w)
{
    struct kv_op op;
    w->now += MS;
    for (int i = 0; i < w->call_count;) {
        struct call c = w->calls[i];
        if (!respond_call(w, &c)) {
            i++;
            continue;
        }
        g_free(c.after_key);
        w->calls[i] = w->calls[--w->call_count];
    }
    while (feed_next_op(w->feed, w->now, &op)) {
        submit(w, &op);
    }
    take_rollouts(w);
    if (w->query_open && w->answer_era) {
        struct feed_reply r = {.correlation_id = w->query.id,
                               .known = true,
                               .era = w->answer_era,
                               .version = w->answer_version,
                               .age_us = w->answer_age_us,
                               .revision = w->query.revision};
        w->query_open = false;
        feed_handle_peer_reply(w->feed, w->now, &r);
    }
    if (w->query_e_open && w->answer_era) {
        /* the watcher passes on the newest records of e/ that the asker lacks
         */
        struct feed_reply r = {.correlation_id = w->query_e.id,
                               .known = true,
                               .era = w->answer_era,
                               .version = w->answer_version,
                               .revision = w->data.revision};
        for (guint i = 0; i < w->data.changes->len; i++) {
            const struct change *c = g_ptr_array_index(w->data.changes, i);
            if (c->revision > w->query_e.revision &&
                strncmp(c->key, "e/", 2) == 0) {
                r.items[r.item_count++] = (struct feed_relay_item){
                    str_from_cstr(c->key), str_from_cstr(c->value),
                    c->revision, !c->value};
            }
        }
        if (r.item_count) {
            w->query_e_open = false;
            feed_handle_peer_reply(w->feed, w->now, &r);
        }
    }
    struct cluster_view *v = feed_take_site(w->feed, w->now);
    if (v) {
        cluster_view_unref(w->view);
        w->view = v;
    }
}

static void
start_node(struct world *w)
{
    feed_free(w->feed);
    cluster_view_unref(w->view);
    w->view = NULL;
    while (w->call_count > 0) {
        g_free(w->calls[--w->call_count].after_key);
    }
    w->query_open = false;
    w->feed = feed_new(&feed_text_codec, str_from_cstr(w->node),
                       STR_LIT("tcp://x key"), 5);
}

static const struct cluster_endpoint *
find_endpoint(const struct world *w, const char *id)
{
    for (int i = 0; w->view && i < w->view->endpoint_count; i++) {
        if (str_eq_cstr(w->view->endpoints[i].id, id)) {
            return &w->view->endpoints[i];
        }
    }
    return NULL;
}

static int64_t
contact_age_ms(const struct world *w)
{
    return (w->now - feed_contact_us(w->feed)) / MS;
}

/* Checks the public key of node-1. */
static void
check_node_key(struct world *w, const char *key)
{
    for (int i = 0; w->view && i < w->view->alive_count; i++) {
        if (w->view->alive[i].hash == hash64(STR_LIT("node-1"))) {
            g_assert_true(str_eq_cstr(w->view->alive[i].key, key));
            return;
        }
    }
    g_error("node-1 is not registered");
}

static void
check(struct world *w, const char *what, const char *argument)
{
    if (strcmp(what, "version") == 0) {
        g_assert_nonnull(w->view);
        g_assert_cmpint(routing_version(w->view->routing), ==, atoi(argument));
    }
    else if (strcmp(what, "used") == 0) {
        g_assert_nonnull(find_endpoint(w, argument));
    }
    else if (strcmp(what, "unused") == 0) {
        g_assert_nonnull(w->view);
        g_assert_null(find_endpoint(w, argument));
    }
    else if (strcmp(what, "contact-below") == 0) {
        g_assert_cmpint(contact_age_ms(w), <, atoi(argument));
    }
    else if (strcmp(what, "contact-above") == 0) {
        g_assert_cmpint(contact_age_ms(w), >, atoi(argument));
    }
    else if (strcmp(what, "no-contact") == 0) {
        g_assert_cmpint(feed_contact_us(w->feed), ==, 0);
    }
    else if (strcmp(what, "order") == 0) {
        g_assert_cmpstr(w->order, ==, argument ? argument : "");
    }
    else if (strcmp(what, "order-changes") == 0) {
        g_assert_cmpint(w->order_changes, ==, atoi(argument));
    }
    else if (strcmp(what, "record") == 0) {
        g_assert_cmpstr(w->record, ==, argument ? argument : "");
    }
    else if (strcmp(what, "registered") == 0) {
        g_assert_nonnull(find_item(w, argument));
    }
    else if (strcmp(what, "unregistered") == 0) {
        g_assert_true(feed_is_deregistered(w->feed));
    }
    else if (strcmp(what, "nodes") == 0) {
        int count = w->view ? w->view->alive_count : 0;
        g_assert_cmpint(count, ==, atoi(argument));
    }
    else if (strcmp(what, "node-key") == 0) {
        check_node_key(w, argument);
    }
    else if (strcmp(what, "started-at") == 0) {
        /* Of the endpoint one. */
        const struct cluster_endpoint *e = find_endpoint(w, "one");
        g_assert_nonnull(e);
        g_assert_cmpint(e->started_ms, ==, atoi(argument));
    }
    else {
        g_error("unknown step %s", what);
    }
}

/* Node 42 queries the operator's range: "query ERA REVISION". */
static void
receive_query(struct world *w, const char *era, const char *revision)
{
    struct feed_query q = {feed_query_id(atoi(era), 7), FEED_RANGE_OPERATOR,
                           atoi(revision), false};
    feed_handle_peer_query(w->feed, w->now, 42, &q);
}

/* Checks the next reply: "reply known|unknown ERA". */
static void
check_reply(struct world *w, const char *known, const char *era)
{
    uint64_t node;
    struct feed_reply r;
    g_assert_true(feed_next_peer_reply(w->feed, &node, &r));
    g_assert_cmpint(r.known, ==, strcmp(known, "known") == 0);
    g_assert_cmpint(r.era, ==, atoi(era));
}

/* The watcher replies with a configuration: "answer ERA VERSION". */
static void
receive_reply(struct world *w, const char *era, const char *version)
{
    struct feed_reply r = {.correlation_id = w->query.id,
                           .known = true,
                           .era = atoi(era),
                           .revision = w->query.revision + 5,
                           .item_count = 1};
    r.items[0] =
        (struct feed_relay_item){STR_LIT("o/config"), str_from_cstr(version),
                                 w->query.revision + 5, false};
    g_assert_true(w->query_open);
    w->query_open = false;
    feed_handle_peer_reply(w->feed, w->now, &r);
}

/* Steps that concern other nodes. @return false if this is none */
static bool
run_peer_step(struct world *w, const char *const *words)
{
    if (strcmp(words[0], "query-wait") == 0) {
        struct feed_query q = {feed_query_id(atoi(words[1]), 9),
                               FEED_RANGE_OPERATOR, atoi(words[2]), true};
        feed_handle_peer_query(w->feed, w->now, 42, &q);
    }
    else if (strcmp(words[0], "query") == 0) {
        receive_query(w, words[1], words[2]);
    }
    else if (strcmp(words[0], "reply") == 0) {
        check_reply(w, words[1], words[2]);
    }
    else if (strcmp(words[0], "answer") == 0) {
        receive_reply(w, words[1], words[2]);
    }
    else if (strcmp(words[0], "no-reply") == 0) {
        uint64_t node;
        struct feed_reply r;
        g_assert_false(feed_next_peer_reply(w->feed, &node, &r));
    }
    else if (strcmp(words[0], "no-poll") == 0) {
        w->store_polls = 0;
    }
    else if (strcmp(words[0], "polls-below") == 0) {
        g_assert_cmpint(w->store_polls, <, atoi(words[1]));
    }
    else if (strcmp(words[0], "answer-always") == 0) {
        w->answer_era = atoi(words[1]);
    }
    else if (strcmp(words[0], "answer-version") == 0) {
        w->answer_version = atoi(words[1]);
    }
    else if (strcmp(words[0], "answer-age") == 0) {
        w->answer_age_us = atoi(words[1]) * MS;
    }
    else if (strcmp(words[0], "polled") == 0) {
        g_assert_cmpint(w->store_polls, >, 0);
    }
    else {
        return false;
    }
    return true;
}

/* Runs one step: "NAME ARGUMENT [TEXT]". */
static void
run_step(struct world *w, const char *text)
{
    char **words = g_strsplit(text, " ", 3);
    const char *what = words[0];
    const char *argument = words[1];
    if (run_peer_step(w, (const char *const *)words)) {
        /* done */
    }
    else if (strcmp(what, "put") == 0) {
        put(w, argument, words[2], 0);
    }
    else if (strcmp(what, "delete") == 0) {
        put(w, argument, NULL, 0);
    }
    else if (strcmp(what, "copy") == 0) {
        data_copy(&w->data, &w->copy);
    }
    else if (strcmp(what, "away") == 0) {
        w->away = true;
    }
    else if (strcmp(what, "restored") == 0) {
        data_copy(&w->copy, &w->data);
        w->era++;
        w->away = false;
    }
    else if (strcmp(what, "back") == 0) {
        w->away = w->rejects = w->rejects_lists = false;
    }
    else if (strcmp(what, "rejects") == 0) {
        w->rejects = true;
    }
    else if (strcmp(what, "rejects-lists") == 0) {
        w->rejects_lists = true;
    }
    else if (strcmp(what, "era") == 0) {
        w->era = atoi(argument);
    }
    else if (strcmp(what, "without-era") == 0) {
        w->sends_era = false;
    }
    else if (strcmp(what, "with-era") == 0) {
        w->sends_era = true;
    }
    else if (strcmp(what, "foreign-lease") == 0) {
        w->foreign_lease = ++w->data.leases;
    }
    else if (strcmp(what, "leave") == 0) {
        feed_start_deregistration(w->feed, w->now);
    }
    else if (strcmp(what, "start") == 0) {
        start_node(w);
    }
    else if (strcmp(what, "run") == 0) {
        for (int64_t end = w->now + atoi(argument) * MS; w->now < end;) {
            step(w);
        }
    }
    else {
        check(w, what, argument);
    }
    g_strfreev(words);
}

void
feed_script_run(const struct feed_script *row, const char *node, int nodes)
{
    struct world w = {.now = 100 * SECOND, .era = 1, .sends_era = true};
    w.node = g_strdup(node);
    data_copy(&(struct data){0}, &w.data);
    put(&w, "o/config", "3", 0);
    put(&w, "e/one", "pool ready 0 1", 0);
    put(&w, "e/two", "pool ready 0 1", 0);
    for (int i = 1; i < nodes; i++) {
        char *key = g_strdup_printf("n/node-%d", i);
        put(&w, key, "tcp://x key", 0);
        g_free(key);
    }
    data_copy(&w.data, &w.copy);
    start_node(&w);
    g_test_message("%s", row->name);
    run_step(&w, "run 2000");
    char **steps = g_strsplit(row->steps, "; ", -1);
    for (int i = 0; steps[i]; i++) {
        g_test_message("  %lld ms: %s",
                       (long long)((w.now - 100 * SECOND) / MS), steps[i]);
        run_step(&w, steps[i]);
    }
    g_strfreev(steps);
    while (w.call_count > 0) {
        g_free(w.calls[--w.call_count].after_key);
    }
    feed_free(w.feed);
    cluster_view_unref(w.view);
    data_clear(&w.data);
    data_clear(&w.copy);
    g_free(w.node);
}
