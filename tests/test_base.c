/* Guards against malformed log lines, wrong integer parsing, wrong digests and
 * quantiles, and error kinds with a duplicate name or without an HTTP error
 * status. */
#include <glib.h>
#include <math.h>

#include "base/address.h"
#include "base/errkind.h"
#include "base/hash.h"
#include "base/hist.h"
#include "base/log.h"
#include "base/number.h"
#include "base/str.h"
#include "base/clean.h"

static void
test_integers(void)
{
    static const struct {
        const char *in;
        bool ok;
        int64_t value;
    } rows[] = {
        {"0", true, 0},       {"-12", true, -12},
        {"8000", true, 8000}, {"", false, 0},
        {"12x", false, 0},    {" 1", false, 0},
        {"+1", false, 0},     {"1e3", false, 0},
        {"-", false, 0},      {"9223372036854775808", false, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        int64_t v = 0;
        g_assert_cmpint(str_to_i64(str_from_cstr(rows[i].in), &v), ==,
                        rows[i].ok);
        g_assert_cmpint(v, ==, rows[i].value);
    }
}

/* Guards against conversions that C leaves undefined. */
static void
test_numbers(void)
{
    static const struct {
        double value;
        double scale;
        int64_t min, max;
        bool ok;
        int64_t result;
    } rows[] = {
        {1.5, 1000, 0, INT64_MAX, true, 1500},
        {-0.5, 1, 0, 10, true, 0},
        {10, 1, 0, 10, true, 10},
        {11, 1, 0, 10, false, 0},
        {-1, 1, 0, 10, false, 0},
        {-9223372036854775808.0, 1, INT64_MIN, INT64_MAX, true, INT64_MIN},
        {9223372036854775807.0, 1, INT64_MIN, INT64_MAX, false, 0},
        {1e308, 1, INT64_MIN, INT64_MAX, false, 0},
        {1e308, 1000, INT64_MIN, INT64_MAX, false, 0},
        {-1e308, 1000, INT64_MIN, INT64_MAX, false, 0},
        {NAN, 1, INT64_MIN, INT64_MAX, false, 0},
        {-INFINITY, 1, INT64_MIN, INT64_MAX, false, 0},
    };
    static const struct {
        const char *text;
        bool ok;
    } texts[] = {{"1", true},      {"65535", true},
                 {"0", false},     {"-1", false},
                 {"65536", false}, {"4294967377", false},
                 {"1e3", false},   {"", false},
                 {"x", false},     {"99999999999999999999999", false}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        int64_t n = 0;
        g_assert_cmpint(number_from_real(rows[i].value, rows[i].scale,
                                         rows[i].min, rows[i].max, &n),
                        ==, rows[i].ok);
        g_assert_cmpint(n, ==, rows[i].result);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        int64_t n = -7;
        g_assert_cmpint(
            number_from_text(str_from_cstr(texts[i].text), 1, 65535, &n), ==,
            texts[i].ok);
        g_assert_cmpint(n == -7, !=, texts[i].ok);
    }
    g_assert_cmpint(number_clamp(INT64_MAX, 0, 9), ==, 9);
    g_assert_cmpint(number_clamp(INT64_MIN, 0, 9), ==, 0);
    g_assert_cmpint(number_clamp(5, 0, 9), ==, 5);
}

/* Guards against an address that another reader understands differently. */
static void
test_addresses(void)
{
    static const struct {
        const char *text;
        bool ok;
        int port;
    } rows[] = {
        {"1.2.3.4:1", true, 1},
        {"1.2.3.4:65535", true, 65535},
        {"[::1]:80", true, 80},
        {"1.2.3.4:0", false, 0},
        {"1.2.3.4:65536", false, 0},
        {"1.2.3.4:-1", false, 0},
        {"1.2.3.4:+1", false, 0},
        {"1.2.3.4:080", false, 0},
        {"1.2.3.4: 80", false, 0},
        {"1.2.3.4:4294967377", false, 0},
        {"1.2.3.4:", false, 0},
        {"1.2.3.4", false, 0},
        {"::1:80", false, 0},
        {"[::1]", false, 0},
        {"[1.2.3.4:80", false, 0},
        {"256.2.3.4:80", false, 0},
        {"1.2.3:80", false, 0},
        {"host:80", false, 0},
        {"u@1.2.3.4:80", false, 0},
        {"1.2.3.4:80/x", false, 0},
        {"tcp://1.2.3.4:80", false, 0},
        {":80", false, 0},
        {":", false, 0},
        {"", false, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        CLEANUP(buf_free) struct buf url = {0};
        struct str ip = {0};
        int port = 0;
        g_test_message("%s", rows[i].text);
        buf_printf(&url, "tcp://%s", rows[i].text);
        g_assert_cmpint(address_split(str_from_cstr(rows[i].text), &ip, &port),
                        ==, rows[i].ok);
        g_assert_cmpint(port, ==, rows[i].port);
        g_assert_cmpint(address_split_url(buf_str(&url), "tcp://", &ip, &port),
                        ==, rows[i].ok);
        g_assert_false(
            address_split_url(buf_str(&url), "http://", &ip, &port));
    }
}

static void
test_log_quoting(void)
{
    CLEANUP(buf_free) struct buf out = {0};
    struct log_field fields[] = {LOG_CSTR("a", "plain"),
                                 LOG_CSTR("b", "two words"),
                                 LOG_CSTR("c", "line\nbreak \"q\""),
                                 LOG_CSTR("d", ""),
                                 LOG_INT("n", -3),
                                 {0}};
    log_format(&out, "e", fields);
    g_assert_cmpstr(out.ptr, ==,
                    "event=e a=plain b=\"two words\" "
                    "c=\"line\\x0abreak \\\"q\\\"\" d=\"\" n=-3");
}

static void
test_error_table(void)
{
    for (int k = 1; k < ERRKIND_COUNT; k++) {
        const struct errkind_info *e = errkind_info(k);
        g_assert_cmpint(e->http_status, >=, 400);
        g_assert_cmpint(e->http_status, <, 600);
        g_assert_nonnull(e->message);
        for (int j = 1; j < k; j++) {
            g_assert_cmpstr(e->name, !=, errkind_info(j)->name);
        }
    }
}

static void
test_digest_parts(void)
{
    struct str a[] = {STR_LIT("ab"), STR_LIT("c")};
    struct str b[] = {STR_LIT("a"), STR_LIT("bc")};
    struct digest d = digest_compute(a, 2);
    struct digest parsed;
    char hex[33];
    g_assert_false(digest_eq(d, digest_compute(b, 2)));
    digest_hex(d, hex);
    g_assert_true(digest_from_hex(str_from_cstr(hex), &parsed));
    g_assert_true(digest_eq(d, parsed));
    g_assert_false(digest_from_hex(STR_LIT("xyz"), &parsed));
}

static void
test_quantiles(void)
{
    struct hist h;
    hist_init(&h, 0);
    g_assert_cmpint(hist_quantile(&h, 0.5), ==, 0);
    for (int i = 1; i <= 1000; i++) {
        hist_add(&h, i * 100);
    }
    g_assert_cmpint(hist_quantile(&h, 0.5), >, 45000);
    g_assert_cmpint(hist_quantile(&h, 0.5), <, 55000);
    g_assert_cmpint(hist_quantile(&h, 0.99), >, 90000);
    g_assert_cmpint(hist_quantile(&h, 0.99), <, 109000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/base/integers", test_integers);
    g_test_add_func("/base/numbers", test_numbers);
    g_test_add_func("/base/addresses", test_addresses);
    g_test_add_func("/base/log-quoting", test_log_quoting);
    g_test_add_func("/base/error-table", test_error_table);
    g_test_add_func("/base/digest-parts", test_digest_parts);
    g_test_add_func("/base/quantiles", test_quantiles);
    return g_test_run();
}
