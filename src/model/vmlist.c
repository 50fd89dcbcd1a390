#include "model/vmlist.h"

#include <stdlib.h>

static struct str
json_text(const json_t *obj, const char *key)
{
    const json_t *v = json_object_get(obj, key);
    if (!json_is_string(v)) {
        return (struct str){0};
    }
    return str_from_bytes(json_string_value(v), json_string_length(v));
}

static void
add_vm(struct vmlist *v, size_t index, const json_t *vm, struct buf *errors)
{
    struct str name = json_text(vm, "vm");
    struct str zone = json_text(vm, "zone");
    struct str state = json_text(vm, "state");
    if (!name.len || !zone.len) {
        buf_printf(errors, "vms[%zu]: needs vm and zone\n", index);
        return;
    }
    bool leaving = str_eq_cstr(state, "leaving");
    if (!leaving && !str_eq_cstr(state, "live")) {
        buf_printf(errors, "vms[%zu].state: must be live or leaving\n", index);
        return;
    }
    size_t i;
    json_t *e;
    json_array_foreach(json_object_get(vm, "endpoints"), i, e)
    {
        struct vmlist_endpoint endpoint = {json_text(e, "id"),
                                           json_text(e, "pool"),
                                           json_text(e, "url"),
                                           name,
                                           zone,
                                           leaving};
        if (!endpoint.id.len || !endpoint.pool.len || !endpoint.url.len) {
            buf_printf(errors,
                       "vms[%zu].endpoints[%zu]: needs id, pool and url\n",
                       index, i);
            continue;
        }
        v->endpoints = mem_realloc(v->endpoints, (size_t)v->endpoint_count + 1,
                                   sizeof(endpoint));
        v->endpoints[v->endpoint_count++] = endpoint;
    }
}

enum status
vmlist_parse(struct str in, struct vmlist **out, struct buf *errors)
{
    json_error_t json_error;
    json_t *doc =
        json_loadb(in.ptr, in.len, JSON_REJECT_DUPLICATES, &json_error);
    json_t *vms = json_object_get(doc, "vms");
    if (!json_is_array(vms)) {
        json_decref(doc);
        return err_set(ST_INVALID, "VM list: %s",
                       doc ? "needs an array vms" : json_error.text);
    }
    struct vmlist *v = mem_calloc(1, sizeof(*v));
    v->doc = doc;
    size_t i;
    json_t *vm;
    json_array_foreach(vms, i, vm)
    {
        add_vm(v, i, vm, errors);
    }
    *out = v;
    return ST_OK;
}

void
vmlist_free(struct vmlist *v)
{
    if (!v) {
        return;
    }
    json_decref(v->doc);
    free(v->endpoints);
    free(v);
}
