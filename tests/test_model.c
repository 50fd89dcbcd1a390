/* Guards against invalid configurations that are accepted, errors that are
 * reported one at a time, and endpoints that stay usable after their zone or
 * VM was taken out of service. */
#include <glib.h>
#include <string.h>

#include "base/clean.h"
#include "model/cluster_view.h"
#include "model/snapshot.h"

#define HASH                                                                  \
    "\"token_hash\":\"00000000000000000000000000000000000000000000000000"     \
    "00000000000000\""

static const char *const valid =
    "{\"defaults\":{\"deadline_ms\":5000},"
    "\"zones\":{\"okha\":{\"region\":\"s\"},\"veraval\":{\"region\":\"s\"}},"
    "\"zones_out\":{\"okha\":{\"reason\":\"flood\"}},"
    "\"vms_out\":{\"v3\":{\"reason\":\"disk\"}},"
    "\"pools\":{\"enc\":{\"kind\":\"encode\"},"
    "\"ledger\":{\"kind\":\"service\"}},"
    "\"pipelines\":{\"permit\":{\"class\":\"action\",\"stages\":["
    "{\"name\":\"e\",\"pool\":\"enc\"},"
    "{\"name\":\"l\",\"pool\":\"ledger\",\"path\":\"/permits\","
    "\"repeatable\":false}]}},"
    "\"teams\":{\"clerks\":{" HASH "}},"
    "\"exceptions\":{\"x1\":{\"scope\":\"pool/enc\","
    "\"setting\":\"max_in_flight\",\"value\":4,\"reason\":\"small VM\"}}}";

static void
test_good(void)
{
    CLEANUP(buf_free) struct buf errors = {0};
    struct fleet *f = NULL;
    g_assert_cmpint(fleet_parse(str_from_cstr(valid), &f, &errors), ==, ST_OK);
    g_assert_true(f->pipelines[0].needs_key);
    g_assert_cmpint(f->pipelines[0].settings[FLEET_DEADLINE_MS], ==, 5000);
    int enc = fleet_find_pool(f, STR_LIT("enc"));
    g_assert_cmpint(f->pools[enc].settings[FLEET_MAX_IN_FLIGHT], ==, 4);
    g_assert_cmpint(f->defaults[FLEET_MAX_IN_FLIGHT], ==, 16);
    g_assert_true(f->zones[fleet_find_zone(f, STR_LIT("okha"))].out);
    g_assert_cmpint(fleet_authenticate_team(f, STR_LIT("")), ==, -1);
    fleet_free(f);
}

static void
test_faults(void)
{
    /* Each row: a configuration, then texts that the errors must contain. */
    static const char *const rows[][4] = {
        {"[]", "must be an object"},
        {"{\"defaults\":5,\"pools\":[],\"teams\":{\"t\":1}}",
         "defaults: must be a table", "pools: must be a table",
         "teams/t: must be a table"},
        {"{\"a\":1,\"a\":2}", "duplicate"},
        {"{\"colour\":1}", "colour: unknown key"},
        {"{\"\":{}}", ": unknown key"},
        {"{\"defaults\":{\"deadline_ms\":\"8\",\"x\":1}}",
         "defaults/deadline_ms: must be an integer from 10 to 3600000",
         "defaults/x: unknown setting"},
        {"{\"zones_out\":{\"okha\":{}}}", "zones_out/okha/reason",
         "zones_out/okha: no such zone"},
        {"{\"exceptions\":{\"e\":{\"scope\":\"pool/none\","
         "\"setting\":\"queue_limit\",\"value\":5}}}",
         "exceptions/e/reason", "exceptions/e/scope"},
        {"{\"pools\":{\"l\":{\"kind\":\"service\"}},\"pipelines\":{\"p\":{"
         "\"class\":\"action\",\"stages\":[{\"name\":\"s\",\"pool\":\"l\"}]}}"
         "}",
         "pipelines/p/stages/0/repeatable"},
        {"{\"pools\":{\"g\":{\"kind\":\"generate\"}},\"pipelines\":{\"p\":{"
         "\"class\":\"slow\",\"stages\":[{\"name\":\"s\",\"pool\":\"g\","
         "\"repeatable\":false}]}}}",
         "pipelines/p/class", "pipelines/p/stages/0/repeatable"},
        {"{\"teams\":{\"t\":{\"token_hash\":\"12\"}}}", "teams/t/token_hash"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        CLEANUP(buf_free) struct buf errors = {0};
        struct fleet *f = NULL;
        g_assert_cmpint(fleet_parse(str_from_cstr(rows[i][0]), &f, &errors),
                        ==, ST_INVALID);
        for (int k = 1; k < 4 && rows[i][k]; k++) {
            if (!strstr(errors.ptr, rows[i][k])) {
                g_error("row %zu lacks '%s': %s", i, rows[i][k], errors.ptr);
            }
        }
    }
}

static void
test_snapshot(void)
{
    static const char *const vms =
        "{\"vms\":["
        "{\"vm\":\"v1\",\"zone\":\"veraval\",\"state\":\"live\",\"endpoints\""
        ":[{\"id\":\"e1\",\"pool\":\"enc\",\"url\":\"u\"},"
        "{\"id\":\"e9\",\"pool\":\"none\",\"url\":\"u\"}]},"
        "{\"vm\":\"v2\",\"zone\":\"okha\",\"state\":\"live\",\"endpoints\""
        ":[{\"id\":\"e2\",\"pool\":\"enc\",\"url\":\"u\"}]},"
        "{\"vm\":\"v3\",\"zone\":\"veraval\",\"state\":\"live\",\"endpoints\""
        ":[{\"id\":\"e3\",\"pool\":\"enc\",\"url\":\"u\"}]},"
        "{\"vm\":\"v4\",\"zone\":\"veraval\",\"state\":\"leaving\","
        "\"endpoints\":[{\"id\":\"e4\",\"pool\":\"enc\",\"url\":\"u\"}]},"
        "{\"vm\":\"v5\",\"state\":\"live\"}]}";
    static const struct {
        const char *id;
        bool usable;
    } expected[] = {{"e1", true}, {"e2", false}, {"e3", false}, {"e4", false}};
    CLEANUP(buf_free) struct buf errors = {0};
    struct fleet *f = NULL;
    struct vmlist *v = NULL;
    g_assert_cmpint(fleet_parse(str_from_cstr(valid), &f, &errors), ==, ST_OK);
    g_assert_cmpint(vmlist_parse(str_from_cstr(vms), &v, &errors), ==, ST_OK);
    g_assert_nonnull(strstr(errors.ptr, "vms[4]"));
    struct snapshot *s = snapshot_new(f, v, 7, STR_LIT("veraval"));
    g_assert_cmpint(s->endpoint_count, ==, 4);
    for (int i = 0; i < 4; i++) {
        g_assert_true(str_eq_cstr(s->endpoints[i].id, expected[i].id));
        g_assert_cmpint(s->endpoints[i].usable, ==, expected[i].usable);
    }
    snapshot_ref(s);
    snapshot_unref(s);
    snapshot_unref(s);
}

/* Guards against a value of another writer that is taken for a node: its
 * stages and queries would wait for a node that does not exist. */
static void
test_registration(void)
{
    static const char key[] = "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7";
    static const struct {
        const char *address;
        const char *key;
        bool ok;
    } rows[] = {
        {"tcp://1.2.3.4:5 ", key, true},
        {"tcp://[::1]:65535 ", key, true},
        {"tcp://1.2.3.4:5", key, false},
        {"tcp://1.2.3.4:0 ", key, false},
        {"tcp://1.2.3.4:65536 ", key, false},
        {"tcp://host:5 ", key, false},
        {"inproc://x ", key, false},
        {"ipc:///tmp/x ", key, false},
        {"1.2.3.4:5 ", key, false},
        {" ", key, false},
        {"", "", false},
        {"tcp://1.2.3.4:5 ", "", false},
        {"tcp://1.2.3.4:5 ", "short", false},
        {"tcp://1.2.3.4:5  ", key, false},
        {"tcp://1.2.3.4:5 ", "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf\x7f",
         false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *text = g_strconcat(rows[i].address, rows[i].key, NULL);
        g_test_message("%s", text);
        g_assert_cmpint(cluster_view_is_registration(str_from_cstr(text)), ==,
                        rows[i].ok);
        g_free(text);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/model/good", test_good);
    g_test_add_func("/model/faults", test_faults);
    g_test_add_func("/model/snapshot", test_snapshot);
    g_test_add_func("/model/registration", test_registration);
    return g_test_run();
}
