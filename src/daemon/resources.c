#include "daemon/traffic_state.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "base/log.h"

/* The control core acknowledges an edit when a majority of the roster has
 * confirmed it. Without their answers the request fails after this time. */
#define ADMIN_TIMEOUT_US 8000000
#define ANSWER_GRACE_US 1000000
/* The control thread confirms readiness several times a second; an older
 * confirmation means that the thread hangs. */
#define READY_MAX_AGE_US 2000000
#define REQUEST_ID_LENGTH 32

static bool
is_get(const struct http_in_request *r)
{
    return str_eq_cstr(r->method, "GET") || str_eq_cstr(r->method, "HEAD");
}

static void
refuse(struct traffic *t, uint64_t id, enum errkind kind, const char *message)
{
    http_in_send_error(t->in, id, kind, str_from_cstr(message), 0);
}

static void
wait_for(struct traffic *t, struct bridge_msg *m, bool changes,
         int64_t limit_us)
{
    struct pending_query w = {m->id, m->kind, changes,
                              loop_now_us() + limit_us};
    g_array_append_val(t->pending, w);
    bridge_push(t->opts.to_control, m);
}

static void
serve_ready(struct traffic *t, const struct http_in_request *r)
{
    struct daemon_shared *s = t->opts.shared;
    int64_t at = atomic_load(&s->ready_us);
    if (atomic_load(&s->phase) != PHASE_RUNNING) {
        refuse(t, r->id, ERRKIND_NOT_READY, "the node is leaving");
    }
    else if (at == 0 || loop_now_us() - at > READY_MAX_AGE_US ||
             !t->snapshot) {
        refuse(t, r->id, ERRKIND_NOT_READY, "");
    }
    else {
        http_in_send_response(t->in, r->id, 200, "text/plain",
                              STR_LIT("ready\n"));
    }
}

static void
serve_metrics(struct traffic *t, const struct http_in_request *r)
{
    struct bridge_msg *m = bridge_msg_new(BRIDGE_METRICS);
    struct buf text = {0};
    flow_write_metrics(t->flow, &text);
    http_in_append_metrics(t->in, &text);
    http_out_append_metrics(t->out, t->opts.thread, &text);
    m->id = r->id;
    m->thread = t->opts.thread;
    m->text = buf_take_str(&text);
    wait_for(t, m, false, ANSWER_GRACE_US);
}

static void
answer_trace(struct traffic *t, uint64_t id, struct str request_id,
             struct str team, bool is_operator)
{
    CLEANUP(buf_free) struct buf out = {0};
    if (trace_append_json(t->traces, request_id, team, is_operator, &out) ==
        ST_OK) {
        http_in_send_response(t->in, id, 200, "application/json",
                              buf_str(&out));
    }
    else {
        refuse(t, id, ERRKIND_NOT_FOUND, "no such trace on this node");
    }
}

static int
request_thread(struct str id)
{
    char hex[3] = {0};
    if (id.len != REQUEST_ID_LENGTH) {
        return -1;
    }
    memcpy(hex, id.ptr + REQUEST_ID_LENGTH - 2, 2);
    char *end;
    long n = strtol(hex, &end, 16);
    return *end ? -1 : (int)n;
}

static void
serve_trace(struct traffic *t, const struct http_in_request *r, struct str id)
{
    const struct fleet *f = t->snapshot ? t->snapshot->fleet : NULL;
    int team = f ? fleet_authenticate_team(f, r->token) : -1;
    bool is_operator = f && fleet_authenticate_operator(f, r->token) >= 0;
    if (team < 0 && !is_operator) {
        refuse(t, r->id, ERRKIND_UNAUTHENTICATED, "");
        return;
    }
    struct str name = team >= 0 ? f->teams[team].name : STR_LIT("");
    int thread = request_thread(id);
    if (thread == t->opts.thread || thread < 0 ||
        thread >= t->opts.shared->settings->traffic_threads) {
        answer_trace(t, r->id, id, name, is_operator);
        return;
    }
    /* Another thread holds the trace; the control thread forwards the
     * query. */
    struct bridge_msg *m = bridge_msg_new(BRIDGE_TRACE_GET);
    m->id = r->id;
    m->thread = t->opts.thread;
    m->text = str_dup(id);
    m->team = str_dup(name);
    m->is_operator = is_operator;
    wait_for(t, m, false, ANSWER_GRACE_US);
}

static enum admin_verb
parse_admin_verb(struct str name, bool *known)
{
    *known = true;
#define X(id, text)                                                           \
    if (str_eq_cstr(name, text)) {                                            \
        return ADMIN_##id;                                                    \
    }
    ADMIN_VERB_LIST(X)
#undef X
    *known = false;
    return ADMIN_SHOW;
}

/* Copies the body and sets "by" to the owner of the credential, whatever the
 * body says. */
static bool
copy_body_with_author(const struct http_in_request *r, struct str by,
                      struct str *out)
{
    json_t *j =
        json_loadb(r->body.ptr, r->body.len, JSON_REJECT_DUPLICATES, NULL);
    if (!json_is_object(j)) {
        json_decref(j);
        return false;
    }
    json_object_set_new(j, "by", json_stringn(by.ptr, by.len));
    char *text = json_dumps(j, JSON_COMPACT);
    json_decref(j);
    *out = str_from_cstr(text);
    return text != NULL;
}

static void
serve_admin(struct traffic *t, const struct http_in_request *r,
            struct str name)
{
    bool known;
    enum admin_verb verb = parse_admin_verb(name, &known);
    bool changes = verb == ADMIN_EDIT || verb == ADMIN_APPLY;
    const struct fleet *f = t->snapshot ? t->snapshot->fleet : NULL;
    int operator_index = f ? fleet_authenticate_operator(f, r->token) : -1;
    /* A fleet without configuration has no operators yet: the first
     * configuration is accepted from loopback addresses. */
    bool bootstrap = !f && r->loopback && verb != ADMIN_EDIT;
    struct bridge_msg *m;
    if (!known) {
        refuse(t, r->id, ERRKIND_NOT_FOUND, "");
        return;
    }
    if (operator_index < 0 && !bootstrap) {
        refuse(t, r->id, ERRKIND_UNAUTHENTICATED, "");
        return;
    }
    if (changes && !bootstrap && !f->operators[operator_index].may_edit) {
        refuse(t, r->id, ERRKIND_FORBIDDEN, "viewers only read");
        return;
    }
    if (changes ? !str_eq_cstr(r->method, "POST") : !is_get(r)) {
        refuse(t, r->id, ERRKIND_BAD_REQUEST,
               changes ? "needs POST" : "needs GET");
        return;
    }
    m = bridge_msg_new(BRIDGE_ADMIN_REQUEST);
    if (changes && !copy_body_with_author(
                       r,
                       operator_index >= 0 ? f->operators[operator_index].name
                                           : STR_LIT("bootstrap"),
                       &m->text)) {
        bridge_msg_free(m);
        refuse(t, r->id, ERRKIND_BAD_REQUEST, "the body is no JSON object");
        return;
    }
    m->id = r->id;
    m->thread = t->opts.thread;
    m->verb = verb;
    m->at_us = loop_now_us() + ADMIN_TIMEOUT_US;
    if (changes) {
        LOG_EVENT(LOG_INFO, "admin", LOG_STR("verb", name),
                  LOG_STR("by", operator_index >= 0
                                    ? f->operators[operator_index].name
                                    : STR_LIT("bootstrap")),
                  LOG_STR("request", r->request_id));
    }
    wait_for(t, m, changes, ADMIN_TIMEOUT_US + ANSWER_GRACE_US);
}

static bool
cut(struct str path, struct str prefix, struct str *rest)
{
    if (!str_starts_with(path, prefix)) {
        return false;
    }
    *rest = str_from_bytes(path.ptr + prefix.len, path.len - prefix.len);
    return true;
}

void
resources_handle_request(struct traffic *t, const struct http_in_request *r)
{
    struct str rest;
    if (cut(r->path, STR_LIT("/admin/"), &rest)) {
        serve_admin(t, r, rest);
    }
    else if (str_eq_cstr(r->path, "/healthz")) {
        http_in_send_response(t->in, r->id, 200, "text/plain",
                              STR_LIT("ok\n"));
    }
    else if (str_eq_cstr(r->path, "/readyz")) {
        serve_ready(t, r);
    }
    else if (str_eq_cstr(r->path, "/metrics")) {
        serve_metrics(t, r);
    }
    else if (cut(r->path, STR_LIT("/v1/traces/"), &rest)) {
        serve_trace(t, r, rest);
    }
    else {
        refuse(t, r->id, ERRKIND_NOT_FOUND, "");
    }
}

static bool
remove_pending(struct traffic *t, uint64_t id, struct pending_query *out)
{
    for (guint i = 0; i < t->pending->len; i++) {
        struct pending_query *w =
            &g_array_index(t->pending, struct pending_query, i);
        if (w->id == id) {
            *out = *w;
            g_array_remove_index_fast(t->pending, i);
            return true;
        }
    }
    return false;
}

/* Refuses a request with details from the control core, for instance who
 * changed a setting in the meantime. */
static void
refuse_with_details(struct traffic *t, uint64_t id, enum errkind kind,
                    struct str details)
{
    json_t *d = json_loadb(details.ptr, details.len, 0, NULL);
    if (!json_is_object(d)) {
        json_decref(d);
        refuse(t, id, kind, "");
        return;
    }
    CLEANUP(buf_free) struct buf plain = {0};
    const char *message = json_string_value(json_object_get(d, "message"));
    http_in_append_error(&plain, kind, str_from_cstr(message), STR_LIT(""));
    json_t *whole = json_loadb(plain.ptr, plain.len, 0, NULL);
    json_t *error = json_object_get(whole, "error");
    json_object_del(d, "message");
    json_object_del(error, "request_id");
    json_object_set_new(error, "details", d);
    CLEANUP_FREE char *text = json_dumps(whole, JSON_COMPACT);
    json_decref(whole);
    http_in_send_response(t->in, id, errkind_info(kind)->http_status,
                          "application/json", str_from_cstr(text));
}

void
resources_handle_message(struct traffic *t, struct bridge_msg *m)
{
    struct pending_query w;
    if (m->kind == BRIDGE_TRACE_GET) {
        struct bridge_msg *back = bridge_msg_new(BRIDGE_RESULT);
        struct buf out = {0};
        back->id = m->id;
        back->thread = m->thread;
        if (trace_append_json(t->traces, m->text, m->team, m->is_operator,
                              &out) != ST_OK) {
            back->error = ERRKIND_NOT_FOUND;
        }
        back->text = buf_take_str(&out);
        bridge_push(t->opts.to_control, back);
        return;
    }
    if (!remove_pending(t, m->id, &w)) {
        return;
    }
    if (m->error != ERRKIND_NONE) {
        refuse_with_details(t, m->id, m->error, m->text);
        return;
    }
    http_in_send_response(t->in, m->id, 200,
                          w.kind == BRIDGE_METRICS
                              ? "text/plain; version=0.0.4"
                              : "application/json",
                          m->text);
}

void
resources_expire(struct traffic *t, int64_t now_us)
{
    for (guint i = 0; i < t->pending->len;) {
        struct pending_query w =
            g_array_index(t->pending, struct pending_query, i);
        if (w.deadline_us > now_us) {
            i++;
            continue;
        }
        g_array_remove_index_fast(t->pending, i);
        refuse(t, w.id,
               w.is_change ? ERRKIND_CHANGE_UNCONFIRMED : ERRKIND_NOT_READY,
               "no answer from the control thread");
    }
}

int64_t
resources_next_wakeup_us(const struct traffic *t)
{
    int64_t at = INT64_MAX;
    for (guint i = 0; i < t->pending->len; i++) {
        int64_t d =
            g_array_index(t->pending, struct pending_query, i).deadline_us;
        at = d < at ? d : at;
    }
    return at;
}
