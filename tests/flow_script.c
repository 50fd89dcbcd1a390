#include "tests/flow_script.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"

static const char config[] =
    "{\"defaults\":{\"deadline_ms\":8000,\"max_in_flight\":2,"
    "\"queue_limit\":4,\"max_body_bytes\":400,\"team_max_in_flight\":8,"
    "\"retry_budget_pct\":10},"
    "\"zones\":{\"z1\":{\"region\":\"r\"},\"z2\":{\"region\":\"r\"}},"
    "\"pools\":{\"enc\":{\"kind\":\"encode\"},\"gen\":{\"kind\":\"generate\"},"
    "\"svc\":{\"kind\":\"service\"},\"led\":{\"kind\":\"service\"}},"
    "\"pipelines\":{"
    "\"plain\":{\"class\":\"interactive\",\"stages\":[{\"name\":\"s\","
    "\"pool\":\"svc\",\"path\":\"/s\",\"repeatable\":true}]},"
    "\"gen\":{\"class\":\"interactive\",\"stages\":[{\"name\":\"g\","
    "\"pool\":\"gen\"}]},"
    "\"eg\":{\"class\":\"interactive\",\"stages\":[{\"name\":\"e\","
    "\"pool\":\"enc\"},{\"name\":\"g\",\"pool\":\"gen\"}]},"
    "\"act\":{\"class\":\"action\",\"stages\":[{\"name\":\"e\","
    "\"pool\":\"enc\"},{\"name\":\"l\",\"pool\":\"led\",\"path\":\"/l\","
    "\"repeatable\":false}]},"
    "\"act2\":{\"class\":\"action\",\"stages\":[{\"name\":\"l\","
    "\"pool\":\"led\",\"path\":\"/l\",\"repeatable\":false},{\"name\":\"m\","
    "\"pool\":\"led\",\"path\":\"/m\",\"repeatable\":false},{\"name\":\"s\","
    "\"pool\":\"svc\",\"path\":\"/s\",\"repeatable\":true}]}},"
    "\"teams\":{\"t\":{\"token_hash\":\"%s\"}}}";

#define X(id, name) name,
static const char *const verbs[] = {CLAIM_VERB_LIST(X)};
static const char *const states[] = {CLAIM_STATE_LIST(X)};
static const char *const faults[] = {CALL_FAULT_LIST(X)};
#undef X

struct script {
    struct flow *f;
    int64_t now_us;
    struct buf out;
    uint64_t attempts[64], credits[64], claims[64];
    struct digest keys[64];
    enum claim_verb verbs[64];
    struct digest content;
};

static int
number_of_id(uint64_t *ids, uint64_t id)
{
    int i = 1;
    while (ids[i] && ids[i] != id) {
        i++;
    }
    g_assert_cmpint(i, <, 63);
    ids[i] = id;
    return i;
}

struct snapshot *
flow_script_snapshot(const char *endpoints)
{
    char hex[65];
    fleet_format_token_hash(STR_LIT("T"), hex);
    CLEANUP_FREE char *text = g_strdup_printf(config, hex);
    CLEANUP(buf_free) struct buf errors = {0};
    CLEANUP(buf_free) struct buf vms = {0};
    bool cold[16] = {0};
    int n = 0;
    gchar **list = g_strsplit(endpoints, " ", 0);
    buf_printf(&vms, "{\"vms\":[");
    for (; list[n] && *list[n]; n++) {
        char pool[16] = "";
        char id[16] = "";
        char zone[3] = "";
        sscanf(list[n], "%15[^:]:%15[^@]@%2s", pool, id, zone);
        cold[n] = strchr(list[n], '!') != NULL;
        buf_printf(&vms,
                   "%s{\"vm\":\"v%d\",\"zone\":\"%s\",\"state\":\"%s\","
                   "\"endpoints\":[{\"id\":\"%s\",\"pool\":\"%s\","
                   "\"url\":\"http://%s\"}]}",
                   n ? "," : "", n, zone,
                   strchr(list[n], '-') ? "leaving" : "live", id, pool, id);
    }
    buf_printf(&vms, "]}");
    g_strfreev(list);
    struct fleet *fleet = NULL;
    struct vmlist *v = NULL;
    if (fleet_parse(str_from_cstr(text), &fleet, &errors) != ST_OK ||
        vmlist_parse(buf_str(&vms), &v, &errors) != ST_OK) {
        g_error("%s", errors.ptr);
    }
    struct snapshot *s = snapshot_new(fleet, v, 1, STR_LIT("z1"));
    for (int i = 0; i < n; i++) {
        s->endpoints[i].cold = cold[i];
    }
    return s;
}

static void
print_ask(struct script *s, const struct control_request *a)
{
    struct buf *b = &s->out;
    int k;
    switch (a->kind) {
    case CONTROL_REQUEST_CLAIM:
        k = number_of_id(s->claims, a->claim.attempt.seq);
        s->keys[k] = a->claim.key;
        s->verbs[k] = a->claim.verb;
        buf_printf(b, "%s k%d", verbs[a->claim.verb], k);
        if (a->claim.verb == CLAIM_VERB_DONE) {
            buf_printf(b, " %d %.*s", a->claim.http_status,
                       STR_FMT(a->claim.answer));
        }
        break;
    case CONTROL_REQUEST_CREDIT:
        buf_printf(b, "credit c%d %.*s",
                   number_of_id(s->credits, a->credit.credit),
                   STR_FMT(a->credit.endpoint));
        break;
    case CONTROL_REQUEST_CREDIT_RELEASE:
        buf_printf(b, "release c%d%s%s%s",
                   number_of_id(s->credits, a->credit_release.credit),
                   a->credit_release.used ? " used" : "",
                   a->credit_release.ok ? " ok" : "",
                   a->credit_release.report == CREDIT_REPORT_WARM   ? " warm"
                   : a->credit_release.report == CREDIT_REPORT_COLD ? " cold"
                                                                    : "");
        break;
    case CONTROL_REQUEST_COLD:
        buf_printf(b, "cold %.*s %d%s", STR_FMT(a->cold.endpoint),
                   a->cold.in_flight, a->cold.detected ? " detected" : "");
        break;
    case CONTROL_REQUEST_SUSPECT:
        s->content = a->suspect.content;
        buf_printf(b, "suspect %d", a->suspect.strikes);
        break;
    }
}

static void
print_action(struct script *s, const struct flow_action *a)
{
    struct buf *b = &s->out;
    switch (a->kind) {
    case FLOW_ACT_CALL:
        buf_printf(b, "call a%d r%d %.*s %.*s%s%s",
                   number_of_id(s->attempts, a->call.attempt),
                   (int)a->call.req, STR_FMT(a->call.stage_name),
                   STR_FMT(a->call.endpoint),
                   a->call.check_deadline_at_send ? " final" : "",
                   a->call.fresh_connection ? " fresh" : "");
        g_assert_cmpint(a->call.deadline_us, >, s->now_us);
        break;
    case FLOW_ACT_CANCEL:
        buf_printf(b, "cancel a%d", number_of_id(s->attempts, a->cancel));
        break;
    case FLOW_ACT_PROBE:
        buf_printf(b, "probe %.*s", STR_FMT(a->probe.endpoint));
        break;
    case FLOW_ACT_TOKEN:
        buf_printf(b, "token r%d %d %.*s", (int)a->token.req, a->token.index,
                   STR_FMT(a->token.text));
        break;
    case FLOW_ACT_ANSWER:
        buf_printf(b, "answer r%d", (int)a->answer.req);
        break;
    case FLOW_ACT_REFUSE:
        buf_printf(b, "refuse r%d %s %s", (int)a->refuse.req,
                   errkind_info(a->refuse.error)->name,
                   ran_name(errkind_info(a->refuse.error)->ran));
        break;
    case FLOW_ACT_CONTROL_MESSAGE:
        print_ask(s, &a->ask);
        break;
    case FLOW_ACT_SPAN:
        return;
    }
    buf_append(b, "\n", 1);
}

static void
run_event(struct script *s, int64_t now_us, const struct flow_event *ev)
{
    struct flow_action a;
    s->now_us = now_us;
    flow_handle_event(s->f, now_us, ev);
    while (flow_next_action(s->f, &a)) {
        print_action(s, &a);
    }
}

/* Finds "key=VALUE" or the plain word "key". @return the value, the word, or
 * NULL if there is neither */
static const char *
find_option(gchar **w, const char *key)
{
    size_t n = strlen(key);
    for (; *w; w++) {
        if (strncmp(*w, key, n) == 0 && (!(*w)[n] || (*w)[n] == '=')) {
            return (*w)[n] ? *w + n + 1 : *w;
        }
    }
    return NULL;
}

static uint64_t
id_of_name(const uint64_t *ids, const char *name)
{
    return ids[atoi(name + 1)];
}

static void
parse_claim(struct script *s, gchar **w, struct reply *r)
{
    int k = atoi(w[1] + 1);
    r->kind = REPLY_CLAIM;
    r->claim = (struct claim_reply){
        .verb = s->verbs[k],
        .key = s->keys[k],
        .attempt = {7, 9, s->claims[k]},
        .http_status = w[3] ? atoi(w[3]) : 0,
        .answer_stored = w[3] && w[4],
        .answer = str_from_cstr(w[3] ? w[4] : NULL),
    };
    while (strcmp(states[r->claim.state], w[2]) != 0) {
        r->claim.state++;
    }
    r->claim.key_free = find_option(w, "free") != NULL;
    /* A late reply belongs to the CLAIM sent before the ABANDON. */
    if (r->claim.verb == CLAIM_VERB_ABANDON &&
        r->claim.state != CLAIM_CLOSED) {
        r->claim.verb = CLAIM_VERB_CLAIM;
    }
}

static struct endpoint_report
parse_report(gchar **w)
{
    return (struct endpoint_report){
        .start_id = str_from_cstr(find_option(w, "start")),
        .has_load = find_option(w, "cold") || find_option(w, "warm"),
        .cold = find_option(w, "cold") != NULL,
        .leaving = find_option(w, "leaving") != NULL,
    };
}

static void
parse_call_event(struct script *s, gchar **w, struct flow_event *ev)
{
    uint64_t attempt = id_of_name(s->attempts, w[1]);
    if (!strcmp(w[0], "bytes")) {
        ev->kind = FLOW_EV_CALL_BYTES;
        ev->call_bytes = attempt;
    }
    else if (!strcmp(w[0], "token")) {
        ev->kind = FLOW_EV_CALL_TOKEN;
        ev->call_token.attempt = attempt;
        ev->call_token.index = atoi(w[2]);
        ev->call_token.text = str_from_cstr(w[3]);
    }
    else if (!strcmp(w[0], "done")) {
        ev->kind = FLOW_EV_CALL_DONE;
        ev->call_done.attempt = attempt;
        ev->call_done.http_status = atoi(w[2]);
        ev->call_done.body = str_from_cstr(w[3]);
        ev->call_done.report = parse_report(w);
    }
    else {
        g_assert_cmpstr(w[0], ==, "fail");
        ev->kind = FLOW_EV_CALL_FAILED;
        ev->call_failed.attempt = attempt;
        while (strcmp(faults[ev->call_failed.fault], w[2]) != 0) {
            ev->call_failed.fault++;
        }
        ev->call_failed.unsent = find_option(w, "unsent") != NULL;
    }
}

static void
parse_event(struct script *s, gchar **w, const char *line,
            struct flow_event *ev)
{
    if (!strcmp(w[0], "req")) {
        const char *token = find_option(w, "tok");
        const char *body = find_option(w, "body");
        ev->kind = FLOW_EV_REQUEST;
        ev->request = (struct flow_request){
            .req = (uint64_t)atoi(w[1]),
            .request_id = str_from_cstr(w[1]),
            .pipeline = str_from_cstr(w[2]),
            .token = str_from_cstr(token ? token : "T"),
            .key = str_from_cstr(find_option(w, "key")),
            .deadline = str_from_cstr(find_option(w, "dl")),
            .body = str_from_cstr(body ? body : "{\"input\":\"x\"}"),
            .stream = find_option(w, "stream") != NULL,
        };
    }
    else if (!strcmp(w[0], "gone")) {
        ev->kind = FLOW_EV_CALLER_GONE;
        ev->caller_gone = (uint64_t)atoi(w[1]);
    }
    else if (!strcmp(w[0], "probe")) {
        ev->kind = FLOW_EV_PROBE;
        ev->probe.endpoint = str_from_cstr(w[1]);
        ev->probe.ok = !strcmp(w[2], "ok");
        ev->probe.report = parse_report(w);
    }
    else if (!strcmp(w[0], "claim")) {
        ev->kind = FLOW_EV_CONTROL_REPLY;
        parse_claim(s, w, &ev->reply);
    }
    else if (!strcmp(w[0], "credit")) {
        ev->kind = FLOW_EV_CONTROL_REPLY;
        ev->reply.kind = REPLY_CREDIT;
        ev->reply.credit.credit = id_of_name(s->credits, w[1]);
        ev->reply.credit.granted = !strcmp(w[2], "ok");
        ev->reply.credit.retry_us = w[3] ? atoi(w[3]) * 1000LL : 0;
    }
    else if (!strcmp(w[0], "notice")) {
        ev->kind = FLOW_EV_CONTROL_REPLY;
        ev->reply.kind = REPLY_ENDPOINT;
        ev->reply.endpoint.endpoint = str_from_cstr(w[1]);
        ev->reply.endpoint.cold = !strcmp(w[2], "cold");
        ev->reply.endpoint.start_id = parse_report(w).start_id;
    }
    else if (!strcmp(w[0], "suspect")) {
        ev->kind = FLOW_EV_CONTROL_REPLY;
        ev->reply.kind = REPLY_SUSPECT;
        ev->reply.suspect =
            (struct suspect_notice){s->content, atoi(w[1]), 1000000};
    }
    else if (!strcmp(w[0], "fresh")) {
        ev->kind = FLOW_EV_FRESHNESS;
        ev->fresh_until_us = atoi(w[1]) * 1000LL;
    }
    else if (!strcmp(w[0], "snap")) {
        ev->kind = FLOW_EV_SNAPSHOT;
        ev->snapshot = flow_script_snapshot(strchr(line, ' ') + 1);
    }
    else if (!strcmp(w[0], "drain")) {
        ev->kind = FLOW_EV_DRAIN;
    }
    else {
        g_assert_cmpstr(w[0], ==, "tick");
    }
}

static void
run_line(struct script *s, const char *line)
{
    int64_t at = s->now_us;
    if (*line == '@') {
        at = strtol(line + 1, (char **)&line, 10) * 1000;
        line++;
    }
    struct flow_event ev = {.kind = FLOW_EV_TICK};
    while (flow_next_wakeup_us(s->f) <= at) {
        int64_t due = flow_next_wakeup_us(s->f);
        run_event(s, due > s->now_us ? due : s->now_us, &ev);
    }
    gchar **w = g_strsplit(line, " ", 0);
    if (strstr("bytes token done fail", w[0])) {
        parse_call_event(s, w, &ev);
    }
    else {
        parse_event(s, w, line, &ev);
    }
    run_event(s, at, &ev);
    if (ev.kind == FLOW_EV_SNAPSHOT) {
        snapshot_unref(ev.snapshot);
    }
    g_strfreev(w);
}

void
flow_script(enum flow_policy policy, const char *script)
{
    struct flow_options opts = {
        .node = 7, .incarnation = 9, .seed = 1, .policy = policy};
    struct script s = {.f = flow_new(&opts), .now_us = 1000};
    gchar **lines = g_strsplit(script, "\n", 0);
    CLEANUP(buf_free) struct buf expected = {0};
    for (gchar **l = lines; *l; l++) {
        if (**l) {
            buf_printf(&expected, "%s\n", *l);
        }
        if (**l == '>') {
            buf_printf(&s.out, "%s\n", *l);
            run_line(&s, *l + 2);
        }
    }
    g_strfreev(lines);
    flow_free(s.f);
    struct str actual_str = buf_str(&s.out);
    struct str expected_str = buf_str(&expected);
    if (!str_eq(actual_str, expected_str)) {
        size_t at = 0;
        size_t line = 0;
        for (; at < expected_str.len && at < actual_str.len &&
               expected_str.ptr[at] == actual_str.ptr[at];
             at++) {
            line = expected_str.ptr[at] == '\n' ? at + 1 : line;
        }
        g_test_message("expected:\n%s\nactual:\n%s", expected_str.ptr + line,
                       actual_str.ptr + line);
        g_test_fail();
    }
    buf_free(&s.out);
}
