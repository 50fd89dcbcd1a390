/**
 * @file vmlist.h
 * The platform's list of live and leaving VMs with the endpoints on them,
 * parsed from the JSON document `platform/vms`. The list lags behind the real
 * state of the VMs.
 *
 * Shape: {"vms":[{"vm":"v1","zone":"okha","state":"live"|"leaving",
 * "endpoints":[{"id":"gen-1","pool":"gen","url":"http://127.0.0.1:9001"}]}]}
 */
#ifndef MODEL_VMLIST_H
#define MODEL_VMLIST_H

#include <jansson.h>
#include <stdbool.h>

#include "base/err.h"
#include "base/str.h"

struct vmlist_endpoint {
    struct str id;
    struct str pool;
    struct str url; /**< scheme, IP and port, no path */
    struct str vm;
    struct str zone;
    bool leaving;
};

struct vmlist {
    int endpoint_count;
    struct vmlist_endpoint *endpoints;
    json_t *doc; /**< owned; all strings point into it */
};

/** Parses the list. Invalid entries are skipped and reported in @p errors,
 * because one bad entry must not hide the rest of the list. */
enum status vmlist_parse(struct str text, struct vmlist **out,
                         struct buf *errors);
void vmlist_free(struct vmlist *v);

#endif
