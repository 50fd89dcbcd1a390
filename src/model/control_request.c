#include "model/control_request.h"

#include <stdlib.h>

struct control_request *
control_request_dup(const struct control_request *a)
{
    struct control_request *d = mem_calloc(1, sizeof(*d));
    *d = *a;
    switch (a->kind) {
    case CONTROL_REQUEST_CLAIM:
        d->claim.answer = str_dup(a->claim.answer);
        break;
    case CONTROL_REQUEST_CREDIT:
        d->credit.endpoint = str_dup(a->credit.endpoint);
        break;
    case CONTROL_REQUEST_CREDIT_RELEASE:
        d->credit_release.endpoint = str_dup(a->credit_release.endpoint);
        break;
    case CONTROL_REQUEST_COLD:
        d->cold.endpoint = str_dup(a->cold.endpoint);
        d->cold.start_id = str_dup(a->cold.start_id);
        break;
    case CONTROL_REQUEST_SUSPECT:
        break;
    }
    return d;
}

void
control_request_free(struct control_request *a)
{
    if (!a) {
        return;
    }
    switch (a->kind) {
    case CONTROL_REQUEST_CLAIM:
        str_free(&a->claim.answer);
        break;
    case CONTROL_REQUEST_CREDIT:
        str_free(&a->credit.endpoint);
        break;
    case CONTROL_REQUEST_CREDIT_RELEASE:
        str_free(&a->credit_release.endpoint);
        break;
    case CONTROL_REQUEST_COLD:
        str_free(&a->cold.endpoint);
        str_free(&a->cold.start_id);
        break;
    case CONTROL_REQUEST_SUSPECT:
        break;
    }
    free(a);
}

struct reply *
reply_dup(const struct reply *r)
{
    struct reply *d = mem_calloc(1, sizeof(*d));
    *d = *r;
    switch (r->kind) {
    case REPLY_CLAIM:
        d->claim.answer = str_dup(r->claim.answer);
        break;
    case REPLY_CREDIT:
        d->credit.endpoint = str_dup(r->credit.endpoint);
        break;
    case REPLY_ENDPOINT:
        d->endpoint.endpoint = str_dup(r->endpoint.endpoint);
        d->endpoint.start_id = str_dup(r->endpoint.start_id);
        break;
    case REPLY_SUSPECT:
        break;
    }
    return d;
}

void
reply_free(struct reply *r)
{
    if (!r) {
        return;
    }
    switch (r->kind) {
    case REPLY_CLAIM:
        str_free(&r->claim.answer);
        break;
    case REPLY_CREDIT:
        str_free(&r->credit.endpoint);
        break;
    case REPLY_ENDPOINT:
        str_free(&r->endpoint.endpoint);
        str_free(&r->endpoint.start_id);
        break;
    case REPLY_SUSPECT:
        break;
    }
    free(r);
}
