#include "model/ask.h"

#include <stdlib.h>

struct ask *
ask_dup(const struct ask *a)
{
    struct ask *d = mem_zero(1, sizeof(*d));
    *d = *a;
    switch (a->kind) {
    case ASK_CLAIM:
        d->claim.answer = str_dup(a->claim.answer);
        break;
    case ASK_CREDIT:
        d->credit.endpoint = str_dup(a->credit.endpoint);
        break;
    case ASK_CREDIT_RELEASE:
        d->credit_release.endpoint = str_dup(a->credit_release.endpoint);
        break;
    case ASK_COLD:
        d->cold.endpoint = str_dup(a->cold.endpoint);
        d->cold.start_id = str_dup(a->cold.start_id);
        break;
    case ASK_SUSPECT:
        break;
    }
    return d;
}

void
ask_free(struct ask *a)
{
    if (!a) {
        return;
    }
    switch (a->kind) {
    case ASK_CLAIM:
        str_free(&a->claim.answer);
        break;
    case ASK_CREDIT:
        str_free(&a->credit.endpoint);
        break;
    case ASK_CREDIT_RELEASE:
        str_free(&a->credit_release.endpoint);
        break;
    case ASK_COLD:
        str_free(&a->cold.endpoint);
        str_free(&a->cold.start_id);
        break;
    case ASK_SUSPECT:
        break;
    }
    free(a);
}

struct reply *
reply_dup(const struct reply *r)
{
    struct reply *d = mem_zero(1, sizeof(*d));
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
