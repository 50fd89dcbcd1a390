/**
 * @file credit.h
 * Credits for calls on cold endpoints: asked when there is queued work, used
 * once, renewed while the call runs, and given back with its outcome.
 */
#ifndef FLOW_CREDIT_H
#define FLOW_CREDIT_H

#include "flow/core.h"

struct credit;

/** Asks credits of the pool's cold endpoints for up to @p wanted requests. */
void credit_want(struct flow *f, struct pool *p, int wanted);
void credit_reply(struct flow *f, const struct credit_reply *c);
void credit_timer(struct flow *f, uint64_t id);

/** Unused, unexpired credits for the endpoint. */
int credit_usable(const struct flow *f, const struct endpoint *ep);

/** Takes a usable credit for a call; NULL if there is none. */
struct credit *credit_take(struct flow *f, struct endpoint *ep);

/** Gives the credit of a finished call back. @p used: it may have been sent.
 */
void credit_release(struct flow *f, struct credit *c, bool used, bool ok,
                    enum credit_report report);

/** Gives back the unused credits of an endpoint that needs none. */
void credit_drop_unused(struct flow *f, struct endpoint *ep);

/** When the credit was last asked for or renewed. */
int64_t credit_asked_us(const struct credit *c);

/** True while the owner counts this credit. */
bool credit_valid(const struct flow *f, const struct credit *c);
void credit_free_all(struct flow *f);

#endif
