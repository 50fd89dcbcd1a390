/* Guards against callers' headers that a server would take for headers of this
 * system, responses that are wrongly attributed to a server, and records of
 * the store that are misread. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "platform/platform.h"

#define MAX_HEADERS 24

/* Parses "Name: value" lines. @return their number */
static int
parse_headers(const char *text, struct http_header *out)
{
    int n = 0;
    while (*text) {
        const char *end = strchr(text, '\n');
        const char *colon = strstr(text, ": ");
        out[n].name = str_from_bytes(text, (size_t)(colon - text));
        out[n].value = str_from_bytes(colon + 2, (size_t)(end - colon - 2));
        n++;
        text = end + 1;
    }
    return n;
}

static const char request_text[] =
    "Host: pule25.example\n"
    "Camphorfall-Request-Id: 9c41d07be2a35f68\n"
    "Camphorfall-Model: m\n"
    "Camphorfall-Token-Usage: 1460,80\n"
    "Camphorfall-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\n"
    "Camphorfall-Pieces: 2,0,16\n"
    "Camphorfall-Piece-Key: 7c1e07a291bd\n"
    "Camphorfall-Deadline-Ms: 12000\n"
    "Camphorfall-Key: 9dnn2ctnfzs989anu6ws\n"
    "Last-Event-Id: 12\n"
    "Camphorfall-Tenant: forged\n"
    "Camphorfall-Hold: 1\n"
    "Kv-From: 10.0.0.1:1/2\n"
    "Camphorfall-Request-Priority: 0\n"
    "Connection: close\n"
    "X-Other: kept\n";

static struct http_in_request
make_request(struct http_header *headers)
{
    struct http_in_request in = {.id = 5,
                                 .method = STR_LIT("POST"),
                                 .target = STR_LIT("/puxa400/2f?a=b"),
                                 .body = STR_LIT("body")};
    in.headers = headers;
    in.header_count = parse_headers(request_text, headers);
    return in;
}

static void
test_read_request(void)
{
    struct http_header headers[MAX_HEADERS];
    struct http_in_request in = make_request(headers);
    struct forward_request r;
    g_assert_cmpint(platform_read_request(&in, &r), ==, ST_OK);
    g_assert_true(str_eq_cstr(r.path, "/puxa400/2f"));
    g_assert_true(str_eq_cstr(r.host, "pule25.example"));
    g_assert_true(str_eq_cstr(r.request_id, "9c41d07be2a35f68"));
    g_assert_true(str_eq_cstr(r.credential, "9dnn2ctnfzs989anu6ws"));
    g_assert_cmpint(r.caller_timeout_us, ==, 12000000);
    g_assert_cmpint(r.prompt_tokens, ==, 1460);
    g_assert_cmpint(r.max_output_tokens, ==, 80);
    g_assert_cmpint(r.resume_after, ==, 12);
    g_assert_cmpint(r.part_count, ==, 3);
    g_assert_cmphex(r.parts[2].id, ==, 0xe4402b7d);
    g_assert_cmpint(r.parts[1].tokens, ==, 410);
    g_assert_cmpint(r.piece_counts[0], ==, 2);
    g_assert_cmpint(r.piece_counts[1], ==, 0);
    g_assert_cmpint(r.piece_counts[2], ==, 16);
    in.header_count = 1;
    g_assert_cmpint(platform_read_request(&in, &r), ==, ST_INVALID);
}

/* Guards against callers' numbers that overflow when they are converted, or
 * for which a node would allocate memory until the process ends. */
static void
test_odd_request_numbers(void)
{
    static const struct {
        const char *headers;
        int64_t timeout_us;
        int pieces, prompt_tokens, part_tokens;
        bool ok;
    } rows[] = {
        {"Camphorfall-Pieces: 1,0,1024\n", -1, 1, 0, 0, true},
        {"Camphorfall-Pieces: 1025\n", -1, 0, 0, 0, false},
        {"Camphorfall-Pieces: 2000000000\n", -1, 0, 0, 0, false},
        {"Camphorfall-Pieces: 2147483648\n", -1, 0, 0, 0, false},
        {"Camphorfall-Pieces: 4294967296\n", -1, 0, 0, 0, false},
        {"Camphorfall-Pieces: 9223372036854775807\n", -1, 0, 0, 0, false},
        {"Camphorfall-Pieces: 99999999999999999999999\n", -1, 0, 0, 0, false},
        {"Camphorfall-Pieces: -1\n", -1, 0, 0, 0, false},
        {"Camphorfall-Pieces: 1e3\n", -1, 0, 0, 0, false},
        {"Camphorfall-Pieces: 1,,2\n", -1, 1, 0, 0, false},
        {"Camphorfall-Pieces: \n", -1, 0, 0, 0, true},
        {"Camphorfall-Deadline-Ms: 9223372036854775807\n", 31622400000000, 0,
         0, 0, true},
        {"Camphorfall-Deadline-Ms: 9223372036854776\n", 31622400000000, 0, 0,
         0, true},
        {"Camphorfall-Deadline-Ms: -5\n", -1, 0, 0, 0, true},
        {"Camphorfall-Deadline-Ms: 99999999999999999999999\n", -1, 0, 0, 0,
         true},
        {"Camphorfall-Token-Usage: 2147483648,4294967297\n", -1, 0, 1000000000,
         0, true},
        {"Camphorfall-Token-Usage: 99999999999999999999999,7\n", -1, 0, 0, 0,
         true},
        {"Camphorfall-Prompt-Prefix: a:4294967295\n", -1, 0, 0, 1000000000,
         true},
        {"Camphorfall-Prompt-Prefix: a:-1\n", -1, 0, 0, 0, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct http_header headers[MAX_HEADERS];
        struct http_in_request in = {.target = STR_LIT("/"),
                                     .headers = headers};
        struct forward_request r;
        CLEANUP(buf_free) struct buf text = {0};
        buf_printf(&text, "Camphorfall-Request-Id: 1\n%s", rows[i].headers);
        g_test_message("%s", rows[i].headers);
        in.header_count = parse_headers(text.ptr, headers);
        g_assert_cmpint(platform_read_request(&in, &r) == ST_OK, ==,
                        rows[i].ok);
        g_assert_cmpint(r.caller_timeout_us, ==, rows[i].timeout_us);
        g_assert_cmpint(r.piece_counts[0], ==, rows[i].pieces);
        g_assert_cmpint(r.prompt_tokens, ==, rows[i].prompt_tokens);
        g_assert_cmpint(r.parts[0].tokens, ==, rows[i].part_tokens);
    }
}

/* Guards against an id or a key that a JSON text cannot hold: it would spoil
 * the call that carries pieces of other requests as well. */
static void
test_odd_request_texts(void)
{
    static const struct {
        const char *headers;
        enum status st;
    } rows[] = {
        {"Camphorfall-Request-Id: 9c41-d0_7:b, e2\n", ST_OK},
        {"Camphorfall-Request-Id: \xff\n", ST_INVALID},
        {"Camphorfall-Request-Id: a\xc3\n", ST_INVALID},
        {"Camphorfall-Request-Id: a\x01\n", ST_INVALID},
        {"Camphorfall-Request-Id: a\x7f\n", ST_INVALID},
        {"Camphorfall-Request-Id: a\nCamphorfall-Piece-Key: k\n", ST_OK},
        {"Camphorfall-Request-Id: a\nCamphorfall-Piece-Key: \n", ST_OK},
        {"Camphorfall-Request-Id: a\nCamphorfall-Piece-Key: \x80\n",
         ST_INVALID},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct http_header headers[MAX_HEADERS];
        struct http_in_request in = {.target = STR_LIT("/"),
                                     .headers = headers};
        struct forward_request r;
        in.header_count = parse_headers(rows[i].headers, headers);
        g_test_message("%s", rows[i].headers);
        g_assert_cmpint(platform_read_request(&in, &r), ==, rows[i].st);
    }
    for (int len = 200; len <= 201; len++) {
        char *text = g_strnfill((gsize)len, 'a');
        struct http_header h = {STR_LIT("Camphorfall-Request-Id"),
                                str_from_cstr(text)};
        struct http_in_request in = {
            .target = STR_LIT("/"), .headers = &h, .header_count = 1};
        struct forward_request r;
        g_assert_cmpint(platform_read_request(&in, &r) == ST_OK, ==,
                        len == 200);
        g_free(text);
    }
}

static int
count_of(const struct http_header *list, int n, const char *name,
         struct str *value)
{
    int count = 0;
    for (int i = 0; i < n; i++) {
        if (str_eq_cstr(list[i].name, name)) {
            *value = list[i].value;
            count++;
        }
    }
    return count;
}

static void
test_write_request(void)
{
    static const struct {
        const char *name;
        const char *value; /* NULL: must be absent */
    } rows[] = {
        {"Host", "pule25.example"},
        {"Camphorfall-Request-Id", "9c41d07be2a35f68"},
        {"Camphorfall-Model", "m"},
        {"Camphorfall-Token-Usage", "1460,80"},
        {"X-Other", "kept"},
        {"Camphorfall-Tenant", "bozi300"},
        {"Camphorfall-Expect-Instance", "i-7f3a91c2"},
        {"Camphorfall-Deadline-Ms", "900"},
        {"Camphorfall-Request-Priority", "2"},
        {"Last-Event-Id", "14"},
        {"Camphorfall-Inputs", "10.1.64.7:8080/a,10.1.64.8:8080/b"},
        {"Camphorfall-Key", NULL},
        {"Camphorfall-Hold", NULL},
        {"Kv-From", NULL},
        {"Connection", NULL},
    };
    struct http_header headers[MAX_HEADERS];
    struct http_in_request in = make_request(headers);
    const struct str inputs[] = {STR_LIT("10.1.64.7:8080/a"),
                                 STR_LIT("10.1.64.8:8080/b")};
    struct forward_call call = {.endpoint = STR_LIT("i-7f3a91c2"),
                                .team = STR_LIT("bozi300"),
                                .remaining_ms = 900,
                                .urgency = 2,
                                .resume_after = 14,
                                .input_count = 2,
                                .inputs = inputs};
    struct http_header out[PLATFORM_MAX_HEADERS];
    struct buf text = {0};
    int n = platform_write_request_headers(&in, &call, &text, out);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct str value = {0};
        int count = count_of(out, n, rows[i].name, &value);
        g_test_message("%s", rows[i].name);
        g_assert_cmpint(count, ==, rows[i].value ? 1 : 0);
        if (rows[i].value) {
            g_assert_true(str_eq_cstr(value, rows[i].value));
        }
    }
    buf_free(&text);
}

static void
test_read_answer(void)
{
    static const struct {
        int status;
        const char *headers;
        bool same, sealed, not_executed, other, content_encoded, leaving;
    } rows[] = {
        {200,
         "Camphorfall-Request-Id: r1\nserver-leaving: 1\n"
         "Camphorfall-Response-Seal: x\n",
         true, true, false, false, false, true},
        {200,
         "Camphorfall-Request-Id: r1\nServer-Leaving: 0\n"
         "Camphorfall-Response-Seal: x\n",
         true, true, false, false, false, false},
        {200, "Camphorfall-Request-Id: r1\nCamphorfall-Response-Seal: 3e.1\n",
         true, true, false, false, false, false},
        {200, "Camphorfall-Request-Id: r2\nCamphorfall-Response-Seal: x\n",
         false, true, false, false, false, false},
        {200, "Camphorfall-Request-Id: r1\n", true, false, false, false, false,
         false},
        {503, "Camphorfall-Not-Executed: 1\n", false, false, true, false,
         false, false},
        {421, "Camphorfall-Instance-Id: i-2\n", false, false, false, true,
         false, false},
        {200,
         "Camphorfall-Request-Id: r1\nContent-Encoding: gzip\n"
         "Camphorfall-Response-Seal: x\n",
         true, true, false, false, true, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct http_header headers[MAX_HEADERS];
        struct response_meta m;
        int n = parse_headers(rows[i].headers, headers);
        platform_read_response_headers(rows[i].status, headers, n,
                                       STR_LIT("r1"), &m);
        g_assert_cmpint(m.same_request, ==, rows[i].same);
        g_assert_cmpint(m.sealed, ==, rows[i].sealed);
        g_assert_cmpint(m.not_executed, ==, rows[i].not_executed);
        g_assert_cmpint(m.other_instance, ==, rows[i].other);
        g_assert_cmpint(m.content_encoded, ==, rows[i].content_encoded);
        g_assert_cmpint(m.leaving, ==, rows[i].leaving);
    }
}

/* Guards against a load report that becomes a small or negative number, and
 * sums of its numbers that overflow. */
static void
test_load_report(void)
{
    static const struct {
        const char *value;
        int running, waiting, percent;
    } rows[] = {{"3,4", 3, 4, 0},
                {"3,4,6", 3, 4, 0},
                {"3,4,6,100", 3, 4, 100},
                {"3, 4, 6, 285", 3, 4, 285},
                {"3,4,6,0", 3, 4, 0},
                {"3,4,6,-5", 3, 4, 0},
                {"3,4,6,x", 3, 4, 0},
                {"3,4,6,99999999999", 3, 4, 1000000},
                {"3", 3, 0, 0},
                {"2147483647,2147483647", 1000000, 1000000, 0},
                {"4294967297,4294967296", 1000000, 1000000, 0},
                {"-1,-2", -1, 0, 0},
                {"1e3,x", -1, 0, 0},
                {"99999999999999999999999", -1, 0, 0},
                {"", -1, 0, 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const struct http_header h = {STR_LIT("Camphorfall-Server-Load"),
                                      str_from_cstr(rows[i].value)};
        struct response_meta m;
        platform_read_response_headers(200, &h, 1, STR_LIT("r1"), &m);
        g_assert_cmpint(m.running, ==, rows[i].running);
        g_assert_cmpint(m.waiting, ==, rows[i].waiting);
        g_assert_cmpint(m.load_percent, ==, rows[i].percent);
    }
}

/* Guards against a response that ends with its connection and is taken for one
 * whose end is marked. */
static void
test_framed(void)
{
    static const struct {
        const char *headers;
        bool framed;
    } rows[] = {{"Content-Length: 3\n", true},
                {"transfer-encoding: chunked\n", true},
                {"Connection: close\n", false}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct http_header headers[MAX_HEADERS];
        struct response_meta m;
        int n = parse_headers(rows[i].headers, headers);
        platform_read_response_headers(200, headers, n, STR_LIT("r1"), &m);
        g_assert_cmpint(m.framed, ==, rows[i].framed);
    }
}

/* Guards against a pause that an endpoint asks for and does not get, and
 * against one without end. */
static void
test_retry_after(void)
{
    static const struct {
        int status;
        const char *value;
        int64_t us;
    } rows[] = {{503, "3", 3000000},
                {503, "0.25", 250000},
                {503, "0", 0},
                {200, "3", 0},
                {503, "99999999999", 3600000000},
                {503, "1e300", 3600000000},
                {503, "-3", 0},
                {503, "nan", 0},
                {503, "3 s", 0},
                {503, "", 0},
                {503, "Fri, 04 Dec 2026 23:57:28 GMT", 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const struct http_header h = {STR_LIT("retry-after"),
                                      str_from_cstr(rows[i].value)};
        struct response_meta m;
        platform_read_response_headers(rows[i].status, &h, 1, STR_LIT("r1"),
                                       &m);
        g_assert_cmpint(m.retry_after_us, ==, rows[i].us);
    }
}

/* Guards against a restored store that is taken for the same one, because its
 * era was not found or was misread. */
static void
test_store_era(void)
{
    static const struct {
        const char *headers;
        int64_t era;
    } rows[] = {{"Store-Era: 3\n", 3},
                {"Content-Type: application/json\nstore-era: 12\n", 12},
                {"Store-Era: 0\n", 0},
                {"Store-Era: -4\n", 0},
                {"Store-Era: 3x\n", 0},
                {"Store-Era: 99999999999999999999\n", 0},
                {"Content-Length: 3\n", 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct http_header headers[MAX_HEADERS];
        int n = parse_headers(rows[i].headers, headers);
        g_assert_cmpint(platform_read_store_era(headers, n), ==, rows[i].era);
    }
}

static void
test_pieces(void)
{
    const struct str inputs[] = {STR_LIT("10.1.64.9:8080/5c")};
    const struct piece_item items[] = {
        {STR_LIT("e5"), 0, 2, 900, STR_LIT("7c"), 0, NULL},
        {STR_LIT("14"), 2, 0, 800, STR_LIT("7c"), 1, inputs},
    };
    struct pieces_call call = {
        .endpoint = STR_LIT("i-1"), .item_count = 2, .items = items};
    struct platform_post_request post;
    platform_write_pieces_request(&call, &post);
    g_assert_cmpstr(post.target, ==, "/stage-run");
    g_assert_cmpstr(
        post.body.ptr, ==,
        "{\"items\":[{\"id\":\"e5\",\"stage\":0,\"piece\":2,"
        "\"remainingMs\":900,\"key\":\"7c\"},{\"id\":\"14\",\"stage\":2,"
        "\"piece\":0,\"remainingMs\":800,\"inputs\":[\"10.1.64.9:8080/5c\"]}"
        "]}");
    platform_post_request_free(&post);
    static const struct {
        const char *body;
        int count;
        enum piece_outcome last;
    } rows[] = {
        {"{\"items\":[{\"handle\":\"h\"},{\"reason\":\"gone\"}]}", 2,
         PIECE_INPUT_GONE},
        {"{\"items\":[{\"reason\":\"room\"}]}", 1, PIECE_NO_MEMORY},
        {"{\"items\":[{\"reason\":\"late\"}]}", 1, PIECE_LATE},
        {"{\"items\":[{\"reason\":\"odd\"}]}", 1, PIECE_ERROR},
        /* Handles are sent in headers, so invalid characters are errors. */
        {"{\"items\":[{\"handle\":\"\"}]}", 1, PIECE_ERROR},
        {"{\"items\":[{\"handle\":\"h\\r\\nX: y\"}]}", 1, PIECE_ERROR},
        {"{\"items\":[{\"handle\":\"h,other\"}]}", 1, PIECE_ERROR},
        {"{\"items\":[{\"handle\":\"h\\u00e9\"}]}", 1, PIECE_ERROR},
        {"{\"items\":[{},{},{},{},{}]}", -1, PIECE_ERROR},
        {"{\"items\":[{\"handle\"", -1, PIECE_ERROR},
        {"", -1, PIECE_ERROR},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct piece_result out[4];
        int n =
            platform_read_piece_results(str_from_cstr(rows[i].body), out, 4);
        g_assert_cmpint(n, ==, rows[i].count);
        if (n > 0) {
            g_assert_cmpint(out[n - 1].outcome, ==, rows[i].last);
            platform_free_piece_results(out, n);
        }
    }
}

/* Guards against a misread report of free memory: the endpoint would get no
 * work or more than fits into its memory. */
static void
test_room(void)
{
    static const struct {
        const char *body;
        int64_t bytes;
    } rows[] = {
        {"{\"queued\":1,\"busy\":true,\"freeMb\":17}", 17000000},
        {"{\"freeMb\":0}", 0},
        {"{\"freeMb\":0.5}", 500000},
        {"{\"freeMb\":\"17\"}", -1},
        {"{\"queued\":1}", -1},
        {"{\"freeMb\":1", -1},
        {"{\"freeMb\":1e308}", -1},
        {"{\"freeMb\":-1e308}", -1},
        {"{\"freeMb\":9223372036854775807}", -1},
        {"{\"freeMb\":-1}", -1},
        {"{\"freeMb\":1e400}", -1},
        {"", -1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_assert_cmpint(platform_read_free_memory(str_from_cstr(rows[i].body)),
                        ==, rows[i].bytes);
    }
}

static const char config_text[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"a.example\","
    "\"prefix\":\"/x/\",\"kind\":\"streaming\",\"timeoutMs\":6000,"
    "\"targetLatencyMs\":1600,\"priority\":0,\"service\":\"s1\","
    "\"maxAttempts\":1,\"stages\":[{\"service\":\"s2\",\"after\":[],"
    "\"bytes\":8000},{\"service\":\"s2\",\"after\":[0],\"bytes\":60000}],"
    "\"public\":false,\"sessionAffinity\":true,\"resumable\":true,"
    "\"gapAimMs\":250},{\"name\":\"r2\",\"host\":\"a.example\","
    "\"prefix\":\"/x/y/\",\"kind\":\"new-kind\",\"timeoutMs\":800,"
    "\"backends\":[{\"service\":\"s1\",\"weight\":90},"
    "{\"service\":\"s2\",\"weight\":10}],\"maxAttempts\":2}],"
    "\"services\":[{\"name\":\"s1\",\"healthPath\":\"/health\","
    "\"coldStartS\":3.0,\"coldPerS\":9.1,\"engine\":{\"slots\":64,"
    "\"kvCapacity\":541797}},{\"name\":\"s2\",\"pieces\":{\"slots\":1,"
    "\"queue\":2,\"batch\":8,\"callMs\":150.0,\"itemMs\":16.0,"
    "\"roomMb\":36.0,\"handleS\":4.0}}],\"limits\":{\"headerBytes\":16384,"
    "\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,"
    "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\","
    "\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1}]}";

static void
test_routing(void)
{
    struct routing *rt = NULL;
    g_assert_cmpint(platform_codec.routing(str_from_cstr(config_text), &rt),
                    ==, ST_OK);
    const struct route *r =
        routing_find_route(rt, STR_LIT("A.Example:80"), STR_LIT("/x/z"));
    g_assert_true(str_eq_cstr(r->name, "r1"));
    g_assert_cmpint(r->kind, ==, REPEAT_STREAM);
    g_assert_true(r->resumable && r->stages[0].feeds_stage);
    g_assert_cmpint(r->stages[1].after, ==, 1);
    g_assert_cmpint(r->target_us, ==, 1600000);
    /* Here callers disconnect after four times the target latency. */
    g_assert_cmpint(r->caller_disconnect_us, ==, 6400000);
    r = routing_find_route(rt, STR_LIT("a.example"), STR_LIT("/x/y/1"));
    g_assert_true(str_eq_cstr(r->name, "r2"));
    /* Requests of an unknown kind must not be repeated. */
    g_assert_cmpint(r->kind, ==, REPEAT_AT_MOST_ONCE);
    g_assert_cmpint(r->target_count, ==, 2);
    g_assert_null(
        routing_find_route(rt, STR_LIT("b.example"), STR_LIT("/x/")));
    g_assert_cmpint(routing_find_team_by_credential(rt, STR_LIT("k2")), ==, 0);
    g_assert_cmpint(routing_find_team_by_credential(rt, STR_LIT("k")), ==, -1);
    const struct service *s = routing_service(rt, 1);
    g_assert_cmpint(s->pieces.batch, ==, 8);
    g_assert_cmpint(s->pieces.item_us, ==, 16000);
    routing_unref(rt);
    g_assert_cmpint(platform_codec.routing(STR_LIT("{\"ver"), &rt), ==,
                    ST_INVALID);
}

static void
test_endpoint(void)
{
    static const struct {
        const char *text;
        enum status st;
        bool draining;
    } rows[] = {
        {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
         "\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":700,"
         "\"born\":123}",
         ST_OK, false},
        {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
         "\"slots\":6,\"state\":\"draining\",\"coldRemainingMs\":0}",
         ST_OK, true},
        {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
         "\"state\":\"draining\",\"coldRemainingMs\":0}",
         ST_INVALID, false},
        {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
         "\"state\":\"draining\",\"slots\":6}",
         ST_INVALID, false},
        {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
         "\"slots\":6,\"state\":\"odd\",\"coldRemainingMs\":0}",
         ST_INVALID, false},
        {"{\"service\":7,\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
         "\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0}",
         ST_INVALID, false},
        {"\x01\x02", ST_INVALID, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct endpoint_record e = {0};
        g_assert_cmpint(
            platform_codec.endpoint(str_from_cstr(rows[i].text), &e), ==,
            rows[i].st);
        g_assert_cmpint(e.draining, ==, rows[i].draining);
        if (i == 0) {
            g_assert_cmpint(e.cold_us, ==, 700000);
            g_assert_cmpint(e.started_ms, ==, 123);
        }
        endpoint_record_free(&e);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform/read-request", test_read_request);
    g_test_add_func("/platform/odd-request-numbers", test_odd_request_numbers);
    g_test_add_func("/platform/odd-request-texts", test_odd_request_texts);
    g_test_add_func("/platform/write-request", test_write_request);
    g_test_add_func("/platform/read-answer", test_read_answer);
    g_test_add_func("/platform/load-report", test_load_report);
    g_test_add_func("/platform/framed", test_framed);
    g_test_add_func("/platform/retry-after", test_retry_after);
    g_test_add_func("/platform/store-era", test_store_era);
    g_test_add_func("/platform/room", test_room);
    g_test_add_func("/platform/pieces", test_pieces);
    g_test_add_func("/platform/routing", test_routing);
    g_test_add_func("/platform/endpoint", test_endpoint);
    return g_test_run();
}
