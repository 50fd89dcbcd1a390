/* Guards against records of the store whose numbers, addresses or nesting end
 * the process or put servers and configurations into use that are none. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "platform/platform.h"

#define SOUND_CONFIGURATION "tests/corpus/platform_routing/sound.json"

/* Writes a sound record with one more member; it replaces one of the same
 * name. */
static void
write_endpoint(struct buf *out, const char *address, const char *member)
{
    buf_clear(out);
    buf_printf(out,
               "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\","
               "\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,%s}",
               address, member);
}

/* Guards against a record of another writer whose numbers C cannot convert: it
 * must name no server. */
static void
test_odd_endpoint(void)
{
    static const char *const rows[] = {
        "\"slots\":1e308",
        "\"slots\":-1e308",
        "\"slots\":2147483648",
        "\"slots\":9223372036854775807",
        "\"slots\":-1",
        "\"slots\":\"8\"",
        "\"slots\":1e400",
        "\"slots\":99999999999999999999999999999999999999",
        "\"coldRemainingMs\":1e308",
        "\"coldRemainingMs\":-1e308",
        "\"coldRemainingMs\":9223372036854775807",
        "\"coldRemainingMs\":[]",
        "\"born\":1e300",
        "\"born\":-9223372036854775808",
        "\"born\":{}",
        "\"born\":null",
    };
    static const char *const sound[] = {
        "\"slots\":0", "\"slots\":64", "\"coldRemainingMs\":-3",
        "\"coldRemainingMs\":0.25", "\"born\":1796453115000"};
    CLEANUP(buf_free) struct buf b = {0};
    struct endpoint_record e = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        write_endpoint(&b, "1.2.3.4:5", rows[i]);
        g_test_message("%s", b.ptr);
        g_assert_cmpint(platform_codec.endpoint(buf_str(&b), &e), ==,
                        ST_INVALID);
        g_assert_null(e.address.ptr);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(sound); i++) {
        write_endpoint(&b, i % 2 ? "[::1]:65535" : "1.2.3.4:1", sound[i]);
        g_test_message("%s", b.ptr);
        g_assert_cmpint(platform_codec.endpoint(buf_str(&b), &e), ==, ST_OK);
        g_assert_cmpint(e.cold_us, >=, 0);
        endpoint_record_free(&e);
    }
}

/* Guards against a record whose address has no usable port, or that curl would
 * read differently: it must name no server. */
static void
test_endpoint_address(void)
{
    static const char *const addresses[] = {
        "1.2.3.4:0",
        "1.2.3.4:-1",
        "1.2.3.4:65536",
        "1.2.3.4:99999",
        "1.2.3.4:4294967377",
        "1.2.3.4:",
        "1.2.3.4",
        "1.2.3.4:8x",
        "1.2.3.4:+8",
        "1.2.3.4:8:9",
        "1.2.3:8",
        "256.2.3.4:8",
        ":8",
        "host:8",
        "u@1.2.3.4:8",
        "1.2.3.4:8/p",
        "::1:8",
        "1.2.3.4:080",
    };
    CLEANUP(buf_free) struct buf b = {0};
    struct endpoint_record e = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        write_endpoint(&b, addresses[i], "\"slots\":8");
        g_test_message("%s", b.ptr);
        g_assert_cmpint(platform_codec.endpoint(buf_str(&b), &e), ==,
                        ST_INVALID);
        g_assert_null(e.address.ptr);
    }
}

/* Guards against a value that is nested deeper than the stack: on its own, and
 * in a field that is not read. */
static void
test_deep_record(void)
{
    static const int depths[] = {2000, 20000, 200000};
    for (size_t i = 0; i < G_N_ELEMENTS(depths); i++) {
        CLEANUP(buf_free) struct buf deep = {0};
        CLEANUP(buf_free) struct buf b = {0};
        struct endpoint_record e = {0};
        struct routing *rt = NULL;
        buf_printf(&deep, "\"x\":");
        for (int k = 0; k < depths[i]; k++) {
            buf_append(&deep, "[", 1);
        }
        g_assert_cmpint(platform_codec.endpoint(buf_str(&deep), &e), ==,
                        ST_INVALID);
        for (int k = 0; k < depths[i]; k++) {
            buf_append(&deep, "]", 1);
        }
        write_endpoint(&b, "1.2.3.4:5", deep.ptr);
        enum status st = platform_codec.endpoint(buf_str(&b), &e);
        g_assert_cmpint(st, ==, i == 0 ? ST_OK : ST_INVALID);
        endpoint_record_free(&e);
        buf_clear(&b);
        buf_printf(&b, "{\"version\":1,%s}", deep.ptr);
        st = platform_codec.routing(buf_str(&b), &rt);
        g_assert_cmpint(st, ==, i == 0 ? ST_OK : ST_INVALID);
        routing_unref(st == ST_OK ? rt : NULL);
    }
}

/* Replaces the first occurrence of "KEY": and its value up to the next comma
 * or brace. */
static char *
replace_value(const char *text, const char *key, const char *value)
{
    CLEANUP(buf_free) struct buf name = {0};
    buf_printf(&name, "\"%s\":", key);
    const char *at = strstr(text, name.ptr);
    g_assert_nonnull(at);
    at += name.len;
    return g_strdup_printf("%.*s%s%s", (int)(at - text), text, value,
                           at + strcspn(at, ",}"));
}

/* Guards against a configuration whose numbers C cannot convert, or with which
 * later sums overflow or divide by zero: it must not come into force. */
static void
test_odd_routing(void)
{
    static const char *const keys[] = {
        "version",         "timeoutMs",     "targetLatencyMs", "priority",
        "maxAttempts",     "bytes",         "gapAimMs",        "weight",
        "coldStartS",      "coldPerS",      "slots",           "kvCapacity",
        "queue",           "batch",         "callMs",          "itemMs",
        "roomMb",          "handleS",       "headerBytes",     "bodyBytes",
        "headerTimeoutMs", "idleTimeoutMs",
    };
    static const char *const values[] = {
        "1e308", "-1e308", "9223372036854775807", "-9223372036854775808",
        "\"7\"", "true",
    };
    static const struct {
        const char *key;
        const char *value;
        enum status st;
    } rows[] = {
        {"weight", "-1", ST_INVALID},
        {"weight", "0", ST_OK},
        {"coldPerS", "1e-300", ST_INVALID},
        {"coldPerS", "0", ST_OK},
        {"headerTimeoutMs", "2147483648", ST_INVALID},
        {"idleTimeoutMs", "-1", ST_INVALID},
        {"slots", "-64", ST_INVALID},
        {"batch", "-1", ST_INVALID},
        {"batch", "2147483647", ST_INVALID},
        {"timeoutMs", "-1", ST_INVALID},
        {"timeoutMs", "null", ST_OK},
        {"maxAttempts", "4294967297", ST_INVALID},
        {"version", "1e400", ST_INVALID},
        {"apiKeys", "[7", ST_INVALID},
        {"apiKeys", "[\"\"", ST_INVALID},
        {"after", "[0.5]", ST_INVALID},
        {"after", "[\"0\"]", ST_INVALID},
    };
    struct routing *rt = NULL;
    CLEANUP_FREE char *config_text = NULL;
    g_assert_true(
        g_file_get_contents(SOUND_CONFIGURATION, &config_text, NULL, NULL));
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(values); k++) {
            char *text = replace_value(config_text, keys[i], values[k]);
            g_test_message("%s: %s", keys[i], values[k]);
            g_assert_cmpint(platform_codec.routing(str_from_cstr(text), &rt),
                            ==, ST_INVALID);
            g_free(text);
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *text = replace_value(config_text, rows[i].key, rows[i].value);
        g_test_message("%s: %s", rows[i].key, rows[i].value);
        enum status st = platform_codec.routing(str_from_cstr(text), &rt);
        g_assert_cmpint(st, ==, rows[i].st);
        routing_unref(st == ST_OK ? rt : NULL);
        g_free(text);
    }
}

/* Guards against a list of teams that is empty, or of which nothing can be
 * read, and is taken for a missing one: everybody would be admitted. */
static void
test_empty_teams(void)
{
    static const struct {
        const char *members;
        enum status st;
        bool requires_credentials;
    } rows[] = {
        {"", ST_OK, false},
        {",\"tenants\":[]", ST_OK, true},
        {",\"tenants\":null", ST_OK, true},
        {",\"tenants\":[{\"name\":\"t\",\"apiKeys\":[]}]", ST_OK, true},
        {",\"tenants\":[{\"name\":\"t\"}]", ST_OK, true},
        {",\"tenants\":[{\"name\":\"t\",\"apiKeys\":null}]", ST_OK, true},
        {",\"tenants\":[7,null]", ST_OK, true},
        {",\"tenants\":{}", ST_INVALID, true},
        {",\"tenants\":{\"t\":{\"apiKeys\":[\"k\"]}}", ST_INVALID, true},
        {",\"tenants\":\"t\"", ST_INVALID, true},
        {",\"tenants\":false", ST_INVALID, true},
        {",\"tenants\":[{\"apiKeys\":[\"\"]}]", ST_INVALID, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        CLEANUP(buf_free) struct buf b = {0};
        struct routing *rt = NULL;
        buf_printf(&b, "{\"version\":1%s}", rows[i].members);
        g_test_message("%s", b.ptr);
        enum status st = platform_codec.routing(buf_str(&b), &rt);
        g_assert_cmpint(st, ==, rows[i].st);
        if (st == ST_OK) {
            g_assert_cmpint(routing_requires_credentials(rt), ==,
                            rows[i].requires_credentials);
            g_assert_cmpint(routing_find_team_by_credential(rt, STR_LIT("k")),
                            ==, -1);
            g_assert_cmpint(routing_find_team_by_credential(rt, STR_LIT("")),
                            ==, -1);
            routing_unref(rt);
        }
    }
}

/* Guards against a list of another type that is read as an empty one: requests
 * would skip their stages, or no route would exist. */
static void
test_lists_of_another_type(void)
{
    static const char *const templates[] = {
        "{\"version\":1,\"routes\":%s}",
        "{\"version\":1,\"services\":%s}",
        "{\"version\":1,\"tenants\":%s}",
        "{\"version\":1,\"tenants\":[{\"name\":\"t\",\"apiKeys\":%s}]}",
        "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":["
        "{\"host\":\"h\",\"prefix\":\"/\",\"backends\":%s}]}",
        "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":["
        "{\"host\":\"h\",\"prefix\":\"/\",\"stages\":%s}]}",
        "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":["
        "{\"host\":\"h\",\"prefix\":\"/\",\"stages\":[{\"service\":\"s\","
        "\"after\":%s}]}]}",
    };
    static const struct {
        const char *value;
        enum status st;
    } rows[] = {
        {"[]", ST_OK},         {"null", ST_OK},       {"{}", ST_INVALID},
        {"0", ST_INVALID},     {"\"s\"", ST_INVALID}, {"true", ST_INVALID},
        {"false", ST_INVALID},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(templates); i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(rows); k++) {
            struct routing *rt = NULL;
            char **parts = g_strsplit(templates[i], "%s", 2);
            char *text = g_strjoinv(rows[k].value, parts);
            g_strfreev(parts);
            g_test_message("%s", text);
            enum status st = platform_codec.routing(str_from_cstr(text), &rt);
            g_assert_cmpint(st, ==, rows[k].st);
            routing_unref(st == ST_OK ? rt : NULL);
            g_free(text);
        }
    }
}

/* Guards against calls whose results do not fit into the memory for them. */
static void
test_large_batch(void)
{
    struct routing *rt = NULL;
    CLEANUP_FREE char *config_text = NULL;
    g_assert_true(
        g_file_get_contents(SOUND_CONFIGURATION, &config_text, NULL, NULL));
    CLEANUP_FREE char *text = replace_value(config_text, "batch", "300");
    g_assert_cmpint(platform_codec.routing(str_from_cstr(text), &rt), ==,
                    ST_OK);
    g_assert_cmpint(routing_service(rt, 1)->pieces.batch, ==, STAGE_MAX_BATCH);
    routing_unref(rt);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform-odd/endpoint", test_odd_endpoint);
    g_test_add_func("/platform-odd/endpoint-address", test_endpoint_address);
    g_test_add_func("/platform-odd/deep-record", test_deep_record);
    g_test_add_func("/platform-odd/routing", test_odd_routing);
    g_test_add_func("/platform-odd/empty-teams", test_empty_teams);
    g_test_add_func("/platform-odd/lists-of-another-type",
                    test_lists_of_another_type);
    g_test_add_func("/platform-odd/batch", test_large_batch);
    return g_test_run();
}
