/**
 * @file credit.h
 * Credits for calls on cold endpoints. A credit is requested when requests are
 * queued, used for one call, renewed while the call runs, and released with
 * its outcome.
 */
#ifndef FLOW_CREDIT_H
#define FLOW_CREDIT_H

#include "flow/core.h"

struct credit;

/** Requests credits of the pool's cold endpoints, for up to @p wanted waiting
 * requests. */
void credit_request_for_queue(struct flow *f, struct pool *p, int wanted);
void credit_on_reply(struct flow *f, const struct credit_reply *c);
void credit_on_timer(struct flow *f, uint64_t id);

/** Number of unused, unexpired credits for the endpoint. */
int credit_usable_count(const struct flow *f, const struct endpoint *ep);

/** Takes a usable credit for a call; NULL if there is none. */
struct credit *credit_take(struct flow *f, struct endpoint *ep);

/** Returns the credit of a finished call to its owner and frees it. @p used:
 * the call may have been sent. */
void credit_release(struct flow *f, struct credit *c, bool used, bool ok,
                    enum credit_report report);

/** Returns the unused credits of an endpoint that does not need them. */
void credit_release_unused(struct flow *f, struct endpoint *ep);

/** When the credit or its last renewal was requested. */
int64_t credit_requested_us(const struct credit *c);

/** True while the owner surely counts this credit; false for NULL. */
bool credit_is_valid(const struct flow *f, const struct credit *c);
void credit_free_all(struct flow *f);

#endif
