/* Guards against invalid settings that are accepted, errors that are reported
 * one at a time or without their key, and a sample file that the parser
 * rejects. */
#include <glib.h>
#include <string.h>

#include "base/clean.h"
#include "settings/gateway_settings.h"
#include "settings/settings.h"

#define PUB "Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID"
#define SEC "D:)Q[IlAW!ahhC2ac:9*A}h:p?([4%wOTJ%JR%cs"
#define NODE "[node]\nname='a'\nzone='z'\nregion='r'\n"
#define HTTP "[http]\nplain=true\n"
#define LINK "[link]\naddress='tcp://127.0.0.1:7000'\n"
#define STORE "[store]\nurls=['http://127.0.0.1:1']\n"

static void
test_faults(void)
{
    /* Each row: a settings file, then texts that the errors must contain;
     * without texts the file must be accepted. */
    static const char *const rows[][5] = {
        {NODE HTTP LINK STORE},
        {NODE HTTP LINK STORE "[log", "f: line 11, column "},
        {NODE HTTP LINK STORE "[colour]\n", "f: colour: unknown table"},
        {NODE HTTP "colour=1\nport='x'\n" LINK STORE,
         "f: http.colour: unknown key", "f: http.port: must be an integer"},
        {NODE HTTP "port=65536\nmax_connections=1\n"
                   "max_connections_per_caller=2\n" LINK STORE,
         "f: http.port: must be from 0 to 65535",
         "f: http.max_connections_per_caller: must not exceed"},
        {NODE "[http]\ntls_key='k'\n" LINK STORE,
         "f: http.tls_key: needs http.tls_cert"},
        {NODE "[http]\ntls_cert='k'\n" LINK STORE,
         "f: http.tls_cert: needs http.tls_key"},
        {NODE LINK STORE, "f: http.plain: needs tls_cert"},
        {NODE HTTP "tls_cert='c'\ntls_key='k'\n" LINK STORE,
         "f: http.plain: contradicts"},
        {NODE HTTP "address='localhost'\n" LINK STORE,
         "f: http.address: must be an IP number"},
        {NODE HTTP "port=7000\n" LINK STORE,
         "f: link.address: is the address and port of [http]"},
        {NODE HTTP "[link]\naddress='tcp://0.0.0.0:1'\n"
                   "public_key='" PUB "'\nsecret_key='" SEC "'\n" STORE,
         "f: link.address: must be an address at which"},
        {NODE HTTP "[link]\naddress='tcp://10.0.0.1:1'\n" STORE,
         "f: link.secret_key: must be given unless"},
        {NODE HTTP "[link]\naddress='tcp://h:1'\npublic_key='x'\n" STORE,
         "f: link.address: must be tcp://IP:PORT",
         "f: link.public_key: must be 40 Z85 characters",
         "f: link.public_key: public_key and secret_key need each other"},
        {NODE HTTP LINK "public_key='rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7'"
                        "\nsecret_key='" SEC "'\n" STORE,
         "f: link.public_key: does not belong"},
        {NODE HTTP LINK "[[link.peer]]\nname='a'\n"
                        "address='tcp://127.0.0.1:7000'\n"
                        "[[link.peer]]\naddress='127.0.0.1:1'\nport=1\n" STORE,
         "f: link.peer[0].name: is the node's own name",
         "f: link.peer[0].address: is the node's own address",
         "f: link.peer[1].name: must be given", "f: link.peer[1]."},
        {HTTP LINK STORE, "f: node.name: must be given",
         "f: node.zone: must be given", "f: node.region: must be given"},
        {NODE HTTP LINK "[store]\nurls=['http://kv:1']\n[log]\nlevel='x'\n",
         "f: store.urls[0]: must be http", "f: log.level: must be debug"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        CLEANUP(buf_free) struct buf errors = {0};
        CLEANUP(settings_free) struct settings s = {0};
        enum status expected = rows[i][1] ? ST_INVALID : ST_OK;
        enum status st =
            settings_parse(str_from_cstr(rows[i][0]), "f", &s, &errors);
        if (st != expected) {
            g_error("row %zu: %s: %s", i, status_name(st), errors.ptr);
        }
        for (int k = 1; k < 5 && rows[i][k]; k++) {
            if (!strstr(errors.ptr, rows[i][k])) {
                g_error("row %zu lacks '%s': %s", i, rows[i][k], errors.ptr);
            }
        }
        /* A secret key in a message would end up in logs. */
        g_assert_true(!errors.ptr || !strstr(errors.ptr, SEC));
    }
}

static void
test_example(void)
{
    CLEANUP(buf_free) struct buf errors = {0};
    CLEANUP(settings_free) struct settings s = {0};
    if (settings_load("examples/node.toml", &s, &errors) != ST_OK) {
        g_error("%s", errors.ptr);
    }
    g_assert_true(str_eq_cstr(s.zone, "okha"));
    g_assert_true(str_eq_cstr(s.peers[0].name, "entry-2"));
    g_assert_cmpint(s.claim_buckets, ==, 256);
    g_assert_cmpint(s.store_writes_per_s, ==, 300);
    g_assert_true(str_eq_cstr(s.log_level, "info"));
    struct settings unused;
    g_assert_cmpint(settings_load("none", &unused, &errors), ==, ST_IO);
}

#define GATEWAY                                                               \
    "[node]\nname='a'\nzone='z'\n[callers]\naddress='127.0.0.1:1'\n"          \
    "[ready]\naddress='127.0.0.1:2'\n[link]\naddress='127.0.0.1:3'\n"         \
    "[store]\naddress='127.0.0.1:4'\n"

/* Guards against a node that does not start because the platform writes a
 * bound as a fraction. */
static void
test_gateway(void)
{
    static const struct {
        const char *bounds;
        const char *error; /* NULL: none */
        int expected[5];   /* stop, revocation, slack, window, balancer */
    } rows[] = {
        {"", NULL, {8000, 5000, 10, 10000, 2300}},
        {"[stop]\nlimit_s=2", NULL, {2000, 5000, 10, 10000, 1000}},
        {"[stop]\nlimit_s=2\nbalancer_ms=2000",
         "stop.balancer_ms: must be below",
         {0}},
        {"[stop]\nlimit_s=7\n[bounds]\nrevoke_ms=900\nrepeat_slack=33\n"
         "repeat_window_s=4\nrepeat_ratio=1",
         NULL,
         {7000, 900, 33, 4000, 2300}},
        {"[stop]\nlimit_s=7.2504\n[bounds]\nrevoke_ms=4999.9\n"
         "repeat_slack=33.16\nrepeat_window_s=0.5\nrepeat_ratio=0.2",
         NULL,
         {7250, 4999, 33, 500, 2300}},
        {"[stop]\nlimit_s=0.5",
         "f: stop.limit_s: must be from 1 to 3600",
         {0}},
        {"[bounds]\nrepeat_slack=true", "repeat_slack: must be a number", {0}},
        {"[bounds]\nrevoke_ms=[1, 2]",
         "f: bounds.revoke_ms: must be a number",
         {0}},
        {"[bounds]\nrevoke_ms=nan",
         "f: bounds.revoke_ms: must be a number",
         {0}},
        {"[bounds]\nrepeat_window_s='4'",
         "repeat_window_s: must be a number",
         {0}},
        {"[bounds]\ncolour=1.5", "f: bounds.colour: unknown key", {0}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        CLEANUP(buf_free) struct buf errors = {0};
        CLEANUP(gateway_settings_free) struct gateway_settings s = {0};
        CLEANUP(buf_free) struct buf text = {0};
        buf_printf(&text, "%s%s\n", GATEWAY, rows[i].bounds);
        enum status st =
            gateway_settings_parse(buf_str(&text), "f", &s, &errors);
        g_test_message("row %zu: %s", i, errors.ptr ? errors.ptr : "");
        g_assert_cmpint(st, ==, rows[i].error ? ST_INVALID : ST_OK);
        if (rows[i].error) {
            g_assert_nonnull(
                strstr(errors.ptr ? errors.ptr : "", rows[i].error));
            continue;
        }
        g_assert_cmpint(s.stop_limit_ms, ==, rows[i].expected[0]);
        g_assert_cmpint(s.revoke_ms, ==, rows[i].expected[1]);
        g_assert_cmpint(s.repeat_slack, ==, rows[i].expected[2]);
        g_assert_cmpint(s.repeat_window_ms, ==, rows[i].expected[3]);
        g_assert_cmpint(s.balancer_drain_ms, ==, rows[i].expected[4]);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/settings/faults", test_faults);
    g_test_add_func("/settings/example", test_example);
    g_test_add_func("/settings/gateway", test_gateway);
    return g_test_run();
}
