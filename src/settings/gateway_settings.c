#include "settings/gateway_settings.h"

#include "base/address.h"
#include "base/clean.h"
#include "settings/fields.h"

/* The balancer takes a node out after two checks at an interval of one second.
 * A node that has less time for its stop keeps half of it for open requests.
 */
#define BALANCER_MS 2300
#define BALANCER_UNSET (-1)
#define OFFSET(member) offsetof(struct gateway_settings, member)

static const struct settings_field fields[] = {
    {"node", "name", FIELD_TEXT, OFFSET(name), 1, 63, 0, NULL},
    {"node", "zone", FIELD_TEXT, OFFSET(zone), 1, 63, 0, NULL},
    {"node", "seed", FIELD_SEED, OFFSET(seed), 0, INT64_MAX, 0, NULL},
    {"node", "first_start", FIELD_BOOL, OFFSET(first_start), 0, 1, 0, NULL},
    {"callers", "address", FIELD_TEXT, OFFSET(listen), 1, 63, 0, NULL},
    {"callers", "max_connections", FIELD_INT, OFFSET(max_connections), 1,
     100000, 4096, NULL},
    {"callers", "max_header_bytes", FIELD_INT, OFFSET(max_header_bytes), 1024,
     1048576, 16384, NULL},
    {"ready", "address", FIELD_TEXT, OFFSET(ready), 1, 63, 0, NULL},
    {"metrics", "address", FIELD_TEXT, OFFSET(metrics), 0, 63, 0, ""},
    {"link", "address", FIELD_TEXT, OFFSET(link), 1, 63, 0, NULL},
    {"store", "address", FIELD_TEXT, OFFSET(store), 1, 63, 0, NULL},
    {"stop", "limit_s", FIELD_SECONDS_AS_MS, OFFSET(stop_limit_ms), 1000,
     3600000, 8000, NULL},
    {"stop", "balancer_ms", FIELD_INT, OFFSET(balancer_drain_ms), 0, 600000,
     BALANCER_UNSET, NULL},
    {"bounds", "revoke_ms", FIELD_ROUNDED_INT, OFFSET(revoke_ms), 100, 3600000,
     5000, NULL},
    {"bounds", "repeat_ratio", FIELD_REAL, OFFSET(repeat_ratio), 0, 100, 200,
     NULL},
    {"bounds", "repeat_slack", FIELD_ROUNDED_INT, OFFSET(repeat_slack), 0,
     1000000, 10, NULL},
    {"bounds", "repeat_window_s", FIELD_SECONDS_AS_MS,
     OFFSET(repeat_window_ms), 100, 3600000, 10000, NULL},
    {"bounds", "expose_share", FIELD_REAL, OFFSET(expose_share), 0, 1, 0,
     NULL},
    {"bounds", "expose_slack", FIELD_ROUNDED_INT, OFFSET(expose_slack), 0,
     1000000, 0, NULL},
    {"bounds", "rollback_ms", FIELD_ROUNDED_INT, OFFSET(rollback_ms), 0,
     3600000, 0, NULL},
    {"limits", "cpu_share", FIELD_REAL, OFFSET(cpu_share), 0, 1000, 0, NULL},
    {"limits", "memory_mb", FIELD_ROUNDED_INT, OFFSET(memory_mb), 0, 1048576,
     0, NULL},
    {"limits", "files", FIELD_ROUNDED_INT, OFFSET(files), 0, 1048576, 0, NULL},
    {"log", "level", FIELD_TEXT, OFFSET(log_level), 0, 15, 0, "info"},
};

static const char *const other_keys[] = {NULL};

static void
json_cleanup(json_t **v)
{
    json_decref(*v);
}

static void
check_address(struct settings_report *c, const char *key, struct str address)
{
    struct str ip;
    int port;
    if (address.len > 0 && !address_split(address, &ip, &port)) {
        settings_report_error(c, key, "must be IP:PORT");
    }
}

enum status
gateway_settings_parse(struct str toml, const char *path,
                       struct gateway_settings *out, struct buf *errors)
{
    struct settings_report c = {path, errors, 0};
    *out = (struct gateway_settings){0};
    CLEANUP(json_cleanup) json_t *doc = settings_read_toml(&c, toml);
    if (!doc) {
        return ST_INVALID;
    }
    settings_read_fields(&c, fields, G_N_ELEMENTS(fields), other_keys, doc,
                         out);
    check_address(&c, "callers.address", out->listen);
    check_address(&c, "ready.address", out->ready);
    check_address(&c, "metrics.address", out->metrics);
    check_address(&c, "store.address", out->store);
    check_address(&c, "link.address", out->link);
    if (out->balancer_drain_ms == BALANCER_UNSET) {
        out->balancer_drain_ms = MIN(BALANCER_MS, out->stop_limit_ms / 2);
    }
    if (out->balancer_drain_ms >= out->stop_limit_ms) {
        settings_report_error(&c, "stop.balancer_ms",
                              "must be below stop.limit_s");
    }
    settings_check_log_level(&c, out->log_level);
    if (c.error_count) {
        gateway_settings_free(out);
        return err_set(ST_INVALID, "%s has %d faults", path, c.error_count);
    }
    return ST_OK;
}

enum status
gateway_settings_load(const char *path, struct gateway_settings *out,
                      struct buf *errors)
{
    gchar *text = NULL;
    gsize len = 0;
    *out = (struct gateway_settings){0};
    if (settings_read_file(path, &text, &len, errors) != ST_OK) {
        return ST_IO;
    }
    enum status st =
        gateway_settings_parse(str_from_bytes(text, len), path, out, errors);
    g_free(text);
    return st;
}

void
gateway_settings_free(struct gateway_settings *s)
{
    settings_free_fields(fields, G_N_ELEMENTS(fields), s);
    *s = (struct gateway_settings){0};
}
